//! Whether a process that starts may accept connections.

use crate::Millis;

/// An agent that says nothing is waited for so long, and for a part of the shortest time that a client wants its answer in.
const MOST_WAIT_MS: Millis = 2000.0;
const AIM_PART: f64 = 0.25;

/// How far a start has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Start {
    /// Discovery has told its list to this process.
    pub list_told: bool,
    /// The list has to be asked for at a registry: what that has counts once it has told it.
    pub asks_registry: bool,
    /// Since the process began.
    pub since_ms: Millis,
    /// The shortest time in which a class wants its answer; infinite without classes.
    pub shortest_aim_ms: Millis,
}

/// Whether connections may be accepted: what an agent has counts as told from the first moment, so that a request served
/// before its first word might go to a server that drains.
pub fn may_accept(start: &Start) -> bool {
    let most_ms = MOST_WAIT_MS.min(start.shortest_aim_ms * AIM_PART);
    start.list_told || start.asks_registry || start.since_ms > most_ms
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_agents_first_word_is_waited_for_a_part_of_the_shortest_aim() {
        let start =
            Start { list_told: false, asks_registry: false, since_ms: 200.0, shortest_aim_ms: 1000.0 };
        assert!(!may_accept(&start));
        assert!(may_accept(&Start { since_ms: 251.0, ..start }));
        assert!(may_accept(&Start { list_told: true, ..start }));
        assert!(may_accept(&Start { asks_registry: true, ..start }));
        assert!(!may_accept(&Start { since_ms: 1999.0, shortest_aim_ms: f64::INFINITY, ..start }));
        assert!(may_accept(&Start { since_ms: 2001.0, shortest_aim_ms: f64::INFINITY, ..start }));
    }
}
