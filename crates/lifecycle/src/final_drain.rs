//! The last steps of a process that stops: it refuses new clients for a moment, blocks new connections, closes its
//! listener, finishes what it has accepted, and exits. After the listener is closed no connection can be accepted
//! that nobody reads.

use crate::Millis;

/// New clients are refused for this long: clients whose request crossed the close of their connection try again on a
/// new one.
pub const REFUSAL_MS: Millis = 100.0;
/// Time between blocking new connections and closing the listener, in which handshakes that have begun are completed.
pub const HANDSHAKE_MS: Millis = 50.0;
/// Time after blocking new connections at which the listener is closed although connections are queued, since none
/// can be accepted.
pub const MAX_QUEUE_MS: Millis = 500.0;
/// Longest time for which unfinished clients are waited for after the listener has been closed.
pub const MAX_UNFINISHED_MS: Millis = 700.0;
/// The steps begin this long before answers are no longer possible, even if requests are still open.
pub const RESERVE_MS: Millis = 250.0;
/// Once answers are no longer possible, unfinished clients are waited for until this long after the listener has been
/// closed.
pub const MIN_UNFINISHED_MS: Millis = 100.0;

/// The state of a process that stops.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Facts {
    /// All accepted requests are answered or abandoned: see [`crate::Lifecycle::may_exit`].
    pub may_exit: bool,
    /// Time left for answers: see [`crate::Lifecycle::remaining_ms`].
    pub remaining_ms: Millis,
    /// The listener is open in this process.
    pub listener_open: bool,
    /// Another process accepts from the same queue, so that new connections must not be blocked.
    pub listener_shared: bool,
    /// No connection is waiting to be accepted.
    pub queue_empty: bool,
    /// Number of connections whose client may be about to complete a request, or waits to be refused.
    pub unfinished_clients: usize,
}

/// What to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Continue as before.
    Continue,
    /// Let no new handshake begin.
    BlockNewConnections,
    /// Close the listener.
    CloseListener,
    /// End the process.
    Exit,
}

/// Progress through the last steps.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FinalDrain {
    began_at: Option<Millis>,
    blocked_at: Option<Millis>,
    closed_at: Option<Millis>,
}

impl FinalDrain {
    /// Whether new connections are blocked. The accept queue has to be emptied before each further step.
    pub fn blocks_connections(&self) -> bool {
        self.blocked_at.is_some() && self.closed_at.is_none()
    }

    /// Returns the step that is due. The caller carries it out before it asks again.
    pub fn next_step(&mut self, now: Millis, facts: &Facts) -> Step {
        match facts.listener_open {
            true => self.step_towards_close(now, facts),
            false => self.step_towards_exit(now, facts),
        }
    }

    fn step_towards_close(&mut self, now: Millis, facts: &Facts) -> Step {
        let is_due = facts.may_exit || facts.remaining_ms <= RESERVE_MS;
        if self.began_at.is_none() && !is_due {
            return Step::Continue;
        }
        if now - *self.began_at.get_or_insert(now) < REFUSAL_MS {
            return Step::Continue;
        }
        if facts.listener_shared {
            return Step::CloseListener;
        }
        let Some(blocked_at) = self.blocked_at else {
            self.blocked_at = Some(now);
            return Step::BlockNewConnections;
        };
        let blocked_ms = now - blocked_at;
        match (blocked_ms >= HANDSHAKE_MS && facts.queue_empty) || blocked_ms >= MAX_QUEUE_MS {
            true => Step::CloseListener,
            false => Step::Continue,
        }
    }

    fn step_towards_exit(&mut self, now: Millis, facts: &Facts) -> Step {
        let closed_ms = now - *self.closed_at.get_or_insert(now);
        let max_ms = if facts.remaining_ms > 0.0 { MAX_UNFINISHED_MS } else { MIN_UNFINISHED_MS };
        match facts.may_exit && (facts.unfinished_clients == 0 || closed_ms >= max_ms) {
            true => Step::Exit,
            false => Step::Continue,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn facts() -> Facts {
        Facts {
            may_exit: true,
            remaining_ms: f64::INFINITY,
            listener_open: true,
            listener_shared: false,
            queue_empty: true,
            unfinished_clients: 0,
        }
    }

    #[test]
    fn new_connections_are_refused_then_blocked_then_the_listener_is_closed() {
        let mut drain = FinalDrain::default();
        assert_eq!(drain.next_step(0.0, &Facts { may_exit: false, ..facts() }), Step::Continue);
        assert_eq!(drain.next_step(1000.0, &facts()), Step::Continue);
        assert_eq!(drain.next_step(1099.0, &facts()), Step::Continue);
        assert!(!drain.blocks_connections());
        assert_eq!(drain.next_step(1100.0, &facts()), Step::BlockNewConnections);
        assert!(drain.blocks_connections());
        assert_eq!(drain.next_step(1149.0, &facts()), Step::Continue);
        assert_eq!(drain.next_step(1150.0, &facts()), Step::CloseListener);
        let closed = Facts { listener_open: false, ..facts() };
        assert_eq!(drain.next_step(1150.0, &closed), Step::Exit);
        assert!(!drain.blocks_connections());
    }

    /// Guards against connections that are accepted last and never read.
    #[test]
    fn a_process_waits_for_the_clients_that_it_accepted_last() {
        let mut drain = FinalDrain::default();
        let open = Facts { listener_open: false, unfinished_clients: 3, ..facts() };
        assert_eq!(drain.next_step(0.0, &open), Step::Continue);
        assert_eq!(drain.next_step(699.0, &open), Step::Continue);
        let mut answered = drain;
        assert_eq!(answered.next_step(699.0, &Facts { unfinished_clients: 0, ..open }), Step::Exit);
        assert_eq!(
            drain.next_step(700.0, &open),
            Step::Exit,
            "clients that send nothing do not delay the exit"
        );
    }

    /// Guards against a listener that is closed, or never closed, while descriptors have run out.
    #[test]
    fn the_listener_stays_open_while_connections_are_queued_but_not_for_ever() {
        let mut drain = FinalDrain::default();
        let queued = Facts { queue_empty: false, ..facts() };
        assert_eq!(drain.next_step(0.0, &queued), Step::Continue);
        assert_eq!(drain.next_step(100.0, &queued), Step::BlockNewConnections);
        assert_eq!(drain.next_step(599.0, &queued), Step::Continue);
        assert_eq!(drain.next_step(600.0, &queued), Step::CloseListener);
    }

    #[test]
    fn a_shared_listener_is_closed_without_blocking_the_other_process() {
        let mut drain = FinalDrain::default();
        let shared = Facts { listener_shared: true, queue_empty: false, ..facts() };
        assert_eq!(drain.next_step(0.0, &shared), Step::Continue);
        assert_eq!(drain.next_step(100.0, &shared), Step::CloseListener);
    }

    /// Guards against connections that are still being accepted when the platform kills the process.
    #[test]
    fn the_steps_are_done_before_the_kill_even_if_requests_are_open() {
        let mut drain = FinalDrain::default();
        let open = Facts { may_exit: false, unfinished_clients: 2, ..facts() };
        assert_eq!(drain.next_step(0.0, &Facts { remaining_ms: 251.0, ..open }), Step::Continue);
        assert_eq!(drain.next_step(1.0, &Facts { remaining_ms: 250.0, ..open }), Step::Continue);
        let soon = Facts { remaining_ms: 150.0, ..open };
        assert_eq!(drain.next_step(101.0, &soon), Step::BlockNewConnections);
        assert_eq!(drain.next_step(151.0, &Facts { remaining_ms: 100.0, ..open }), Step::CloseListener);
        let closed = Facts { listener_open: false, ..open };
        assert_eq!(drain.next_step(151.0, &Facts { remaining_ms: 100.0, ..closed }), Step::Continue);
        assert_eq!(
            drain.next_step(251.0, &Facts { remaining_ms: 0.0, ..closed }),
            Step::Continue,
            "no answer yet"
        );
        let answered = Facts { may_exit: true, remaining_ms: 0.0, ..closed };
        assert_eq!(drain.next_step(251.0, &answered), Step::Exit);
    }
}
