//! Decides whether a starting process may accept connections.

use crate::Millis;

/// Longest wait for the first server list from a discovery agent that does not answer.
const MAX_LIST_WAIT_MS: Millis = 2000.0;
/// The wait is also limited to this fraction of the shortest target latency.
const TARGET_LATENCY_FRACTION: f64 = 0.25;

/// Progress of a process's start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartupState {
    /// This process has received a server list from discovery.
    pub list_received: bool,
    /// The server list has to be requested from a registry, and is binding only once the registry has sent it.
    pub uses_registry: bool,
    /// Time since the process started.
    pub elapsed_ms: Millis,
    /// Shortest target latency of any class; infinite if there are no classes.
    pub min_target_latency_ms: Millis,
}

/// Whether connections may be accepted. A list that a discovery agent holds is binding from the start, even before it
/// has arrived: a request served earlier might be sent to a server that drains.
pub fn may_accept(start: &StartupState) -> bool {
    let max_wait_ms = MAX_LIST_WAIT_MS.min(start.min_target_latency_ms * TARGET_LATENCY_FRACTION);
    start.list_received || start.uses_registry || start.elapsed_ms > max_wait_ms
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_wait_for_the_first_list_is_limited_by_the_shortest_target_latency() {
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
