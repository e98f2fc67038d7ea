//! Whether a process that starts may accept connections.

use crate::Millis;

/// An agent that says nothing is waited for so long, and for a part of the shortest time that a client wants its answer in.
const MOST_WAIT_MS: Millis = 2000.0;
const AIM_PART: f64 = 0.25;

/// How far a start has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartupState {
    /// Discovery has told its list to this process.
    pub list_received: bool,
    /// The list has to be asked for at a registry: what that has counts once it has told it.
    pub uses_registry: bool,
    /// Since the process began.
    pub elapsed_ms: Millis,
    /// The shortest time in which a class wants its answer; infinite without classes.
    pub min_target_latency_ms: Millis,
}

/// Whether connections may be accepted: what an agent has counts as told from the first moment, so that a request served
/// before its first word might go to a server that drains.
pub fn may_accept(start: &StartupState) -> bool {
    let most_ms = MOST_WAIT_MS.min(start.min_target_latency_ms * AIM_PART);
    start.list_received || start.uses_registry || start.elapsed_ms > most_ms
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_agents_first_word_is_waited_for_a_part_of_the_shortest_aim() {
        let start = StartupState {
            list_received: false,
            uses_registry: false,
            elapsed_ms: 200.0,
            min_target_latency_ms: 1000.0,
        };
        assert!(!may_accept(&start));
        assert!(may_accept(&StartupState { elapsed_ms: 251.0, ..start }));
        assert!(may_accept(&StartupState { list_received: true, ..start }));
        assert!(may_accept(&StartupState { uses_registry: true, ..start }));
        assert!(!may_accept(&StartupState {
            elapsed_ms: 1999.0,
            min_target_latency_ms: f64::INFINITY,
            ..start
        }));
        assert!(may_accept(&StartupState {
            elapsed_ms: 2001.0,
            min_target_latency_ms: f64::INFINITY,
            ..start
        }));
    }
}
