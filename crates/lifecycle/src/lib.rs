//! Lifecycle phases of a limiter, and what each allows: readiness, accepting connections, keep-alive, closing idle
//! connections and exit. The crate does *not* read a clock, count requests or hold sockets: the time and the amount of
//! unfinished work are arguments.
//!
//! | phase | ready | accepts connections | keeps connections after an answer | closes idle connections |
//! | --- | --- | --- | --- | --- |
//! | warming | no | no: the predecessor does | yes | no |
//! | starting | no | yes | yes | no |
//! | serving | yes | yes | yes | no |
//! | standby | no | yes | no | after [`Timings::standby_idle_ms`] |
//! | stopping | no | for [`Timings::readiness_lag_ms`] | for [`Timings::drain_ms`] | after that |
//! | handing over | no | no: the successor does | no | after [`Timings::drain_ms`] |
//!
//! ```
//! use marldeal_lifecycle::{Command, Lifecycle, Phase, Timings};
//!
//! let mut lifecycle = Lifecycle::new(Timings::default());
//! lifecycle.set_can_serve(0.0, true);
//! assert_eq!(lifecycle.handle(10.0, Command::Standby), Ok(Phase::Standby));
//! assert!(!lifecycle.is_ready() && lifecycle.accepts_connections(10.0) && !lifecycle.keeps_alive(10.0) && !lifecycle.closes_idle(10.0));
//! assert!(lifecycle.closes_idle(1010.0));
//! assert_eq!(lifecycle.handle(2000.0, Command::Active), Ok(Phase::Serving));
//! assert!(lifecycle.is_ready());
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod eviction;
pub mod final_drain;
pub mod queue_age;
pub mod stalls;
pub mod transfers;

use std::fmt;

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// Lifecycle phase of a limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Runs beside a predecessor that still accepts connections.
    Warming,
    /// Accepts connections, but cannot serve requests yet.
    Starting,
    /// Serves clients.
    Serving,
    /// Sends its clients away, but keeps running.
    Standby,
    /// Has been replaced by another process; finishes its requests and exits.
    HandingOver,
    /// Finishes its requests and exits.
    Stopping,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Phase::Warming => "warming",
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Standby => "standby",
            Phase::HandingOver => "handing over",
            Phase::Stopping => "stopping",
        })
    }
}

/// Command from the operator, the platform or a successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Send clients away, but keep running.
    Standby,
    /// Serve clients again.
    Active,
    /// The predecessor no longer accepts connections or has exited: take its place.
    TakeOver,
    /// A successor accepts connections from now on: finish the requests and exit.
    HandOver,
    /// Finish the requests and exit.
    Stop,
}

/// Error of a command that has no effect because the process is ending, which cannot be undone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AlreadyEnding(pub Phase);

impl fmt::Display for AlreadyEnding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "this process is {} and takes no clients any more", self.0)
    }
}

/// Durations of the lifecycle steps, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timings {
    /// How long new clients may still arrive after the limiter first reported that it is not ready.
    pub readiness_lag_ms: Millis,
    /// Time in standby after which idle connections are closed.
    pub standby_idle_ms: Millis,
    /// How long requests are still accepted after a stop; each of them can be answered before the process is killed.
    pub drain_ms: Millis,
    /// Longest time from a stop to the exit; requests that are unanswered then are abandoned.
    pub max_stop_ms: Millis,
    /// Earliest time after a stop at which the platform kills the process, less the time needed to write an answer;
    /// infinite if the settings do not specify it.
    pub kill_after_ms: Millis,
}

impl Default for Timings {
    fn default() -> Timings {
        Timings {
            readiness_lag_ms: 600.0,
            standby_idle_ms: 1000.0,
            drain_ms: 600.0,
            max_stop_ms: 20_000.0,
            kill_after_ms: f64::INFINITY,
        }
    }
}

/// Lifecycle state machine of a limiter.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    timings: Timings,
    phase: Phase,
    phase_since: Millis,
    /// Earliest time at which the first stop may have been commanded, from which the platform counts the time to the
    /// kill, whatever phases follow.
    stopped_at: Option<Millis>,
    /// When the standby that preceded the present phase began; minus infinity if the process was only warming up.
    standby_since: Option<Millis>,
    can_serve: bool,
}

impl Lifecycle {
    /// Lifecycle of a limiter that starts.
    pub fn new(timings: Timings) -> Lifecycle {
        Lifecycle {
            timings,
            phase: Phase::Starting,
            phase_since: 0.0,
            stopped_at: None,
            standby_since: None,
            can_serve: false,
        }
    }

    /// Lifecycle of a limiter that starts beside the one it is going to replace.
    pub fn beside_predecessor(timings: Timings) -> Lifecycle {
        Lifecycle { phase: Phase::Warming, ..Lifecycle::new(timings) }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Sets whether a request could be served now. The first time that it could ends the starting phase.
    pub fn set_can_serve(&mut self, now: Millis, can_serve: bool) {
        self.can_serve = can_serve;
        if can_serve && self.phase == Phase::Starting {
            (self.phase, self.phase_since) = (Phase::Serving, now);
        }
    }

    /// Applies a command and returns the resulting phase. A command that asks for the present phase changes nothing.
    /// A stop or a hand-over cannot be undone: later commands are errors, except for repetitions, a stop during a
    /// hand-over, which changes nothing, and a hand-over during a stop.
    ///
    /// # Errors
    /// [`AlreadyEnding`] if the process is ending.
    pub fn handle(&mut self, now: Millis, command: Command) -> Result<Phase, AlreadyEnding> {
        let next = match (self.phase, command) {
            (Phase::Stopping, Command::Stop) | (Phase::HandingOver, Command::Stop | Command::HandOver) => {
                self.phase
            }
            (Phase::Stopping, Command::HandOver) => Phase::HandingOver,
            (Phase::Stopping | Phase::HandingOver, _) => return Err(AlreadyEnding(self.phase)),
            (Phase::Warming, Command::TakeOver) if self.can_serve => Phase::Serving,
            (Phase::Warming, Command::TakeOver) => Phase::Starting,
            (phase, Command::TakeOver) => phase,
            // A warming process has no clients to send away, so the phase stays as it is.
            (Phase::Warming, Command::Standby | Command::Active) => Phase::Warming,
            (_, Command::Standby) => Phase::Standby,
            (Phase::Standby, Command::Active) if !self.can_serve => Phase::Starting,
            (Phase::Standby, Command::Active) => Phase::Serving,
            (phase, Command::Active) => phase,
            (_, Command::HandOver) => Phase::HandingOver,
            (_, Command::Stop) => Phase::Stopping,
        };
        if command == Command::Stop {
            self.stopped_at.get_or_insert(now);
        }
        if next != self.phase {
            self.standby_since = match self.phase {
                Phase::Standby => Some(self.phase_since),
                // A warming process has never received clients.
                Phase::Warming => Some(f64::NEG_INFINITY),
                _ => None,
            };
            (self.phase, self.phase_since) = (next, now);
        }
        Ok(next)
    }

    /// Sets how long the stop may have waited before it was read, which is long if the process was stalled. The platform
    /// counts the time to the kill from when it sent the stop.
    pub fn backdate_stop(&mut self, delay_ms: Millis) {
        if let Some(stopped_at) = &mut self.stopped_at {
            *stopped_at -= delay_ms.max(0.0);
        }
    }

    /// The last time at which an answer can be given, since the platform may kill the process then; infinite unless the
    /// process has been asked to stop. A hand-over does not change it.
    pub fn last_answer_at(&self) -> Millis {
        self.stopped_at.map_or(f64::INFINITY, |stopped_at| stopped_at + self.timings.kill_after_ms)
    }

    /// Whether new clients may be sent to this limiter.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving && self.can_serve
    }

    /// Whether new connections are accepted. After a stop this holds only while the front end may not have noticed it:
    /// later connections are not from clients it routed, and would displace connections that those keep using.
    pub fn accepts_connections(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Starting | Phase::Serving | Phase::Standby => true,
            Phase::Stopping => {
                !self.drain_over(now) && now - self.phase_since < self.timings.readiness_lag_ms
            }
            Phase::Warming | Phase::HandingOver => false,
        }
    }

    /// Whether requests on new connections are refused at once. The connections are still accepted, so that a request
    /// in the listen queue is not reset, but they occupy a place only until the refusal. A process that was only
    /// warming up leaves them to its predecessor, which owns the listen queue.
    pub fn rejects_connections(&self, now: Millis) -> bool {
        let warmed_up = self.standby_since == Some(f64::NEG_INFINITY);
        self.phase == Phase::Stopping && !warmed_up && !self.accepts_connections(now)
    }

    /// Time left for an answer before the platform may kill the process; infinite unless it has been asked to stop.
    pub fn remaining_ms(&self, now: Millis) -> Millis {
        (self.last_answer_at() - now).max(0.0)
    }

    /// Whether a connection stays open after an answer.
    pub fn keeps_alive(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Warming | Phase::Starting | Phase::Serving => true,
            Phase::Standby | Phase::HandingOver => false,
            Phase::Stopping => self.standby_since.is_none() && !self.drain_over(now),
        }
    }

    /// Whether idle connections are closed.
    pub fn closes_idle(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Warming | Phase::Starting | Phase::Serving => false,
            Phase::Standby => now - self.phase_since >= self.timings.standby_idle_ms,
            Phase::Stopping | Phase::HandingOver => self.drain_over(now),
        }
    }

    /// Whether the process may exit: no more requests can arrive, and the accepted ones are answered or abandoned. A
    /// process that hands over may exit early once it has no connections.
    pub fn may_exit(&self, now: Millis, answers_pending: bool, has_connections: bool) -> bool {
        let drained = match self.phase {
            Phase::Stopping => self.drain_over(now),
            Phase::HandingOver => self.drain_over(now) || !has_connections,
            _ => return false,
        };
        drained && (!answers_pending || now - self.phase_since >= self.timings.max_stop_ms)
    }

    /// Whether the time in which an ending process accepts requests has passed.
    fn drain_over(&self, now: Millis) -> bool {
        let standby_noticed =
            self.standby_since.is_some_and(|since| now - since >= self.timings.readiness_lag_ms);
        now - self.phase_since >= self.timings.drain_ms || (self.phase == Phase::Stopping && standby_noticed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn serving() -> Lifecycle {
        let mut lifecycle = Lifecycle::new(Timings::default());
        lifecycle.set_can_serve(0.0, true);
        lifecycle
    }

    #[test]
    fn repeated_and_out_of_order_commands_have_defined_results() {
        let mut lifecycle = serving();
        assert_eq!(lifecycle.handle(1.0, Command::Active), Ok(Phase::Serving));
        assert_eq!(lifecycle.handle(2.0, Command::Standby), Ok(Phase::Standby));
        assert_eq!(lifecycle.handle(900.0, Command::Standby), Ok(Phase::Standby));
        // The repeated command does not restart the drain.
        assert!(lifecycle.closes_idle(1002.0));
        assert_eq!(lifecycle.handle(1500.0, Command::Stop), Ok(Phase::Stopping));
        // The front end already knows, so there is no drain time.
        assert!(
            !lifecycle.accepts_connections(1500.0)
                && lifecycle.may_exit(1500.0, false, true)
                && !lifecycle.may_exit(1500.0, true, true)
        );
        assert_eq!(lifecycle.handle(1600.0, Command::Active), Err(AlreadyEnding(Phase::Stopping)));
        assert_eq!(lifecycle.handle(1600.0, Command::Standby), Err(AlreadyEnding(Phase::Stopping)));
        assert_eq!(lifecycle.handle(1600.0, Command::Stop), Ok(Phase::Stopping));
    }

    #[test]
    fn a_stopping_limiter_serves_while_clients_may_still_arrive() {
        let mut lifecycle = serving();
        assert_eq!(lifecycle.handle(0.0, Command::Stop), Ok(Phase::Stopping));
        assert!(
            !lifecycle.is_ready()
                && lifecycle.accepts_connections(599.0)
                && lifecycle.keeps_alive(599.0)
                && !lifecycle.may_exit(599.0, false, false)
        );
        assert!(
            !lifecycle.accepts_connections(600.0)
                && !lifecycle.keeps_alive(600.0)
                && lifecycle.closes_idle(600.0)
        );
        assert!(
            lifecycle.may_exit(600.0, false, true)
                && !lifecycle.may_exit(600.0, true, true)
                && lifecycle.may_exit(20_000.0, true, true)
        );
    }

    /// Guards against many new connections that displace the kept ones while a limiter stops.
    #[test]
    fn a_stopping_limiter_keeps_connections_longer_than_it_accepts_new_ones() {
        let mut lifecycle = Lifecycle::new(Timings { drain_ms: 2400.0, ..Timings::default() });
        lifecycle.set_can_serve(0.0, true);
        assert_eq!(lifecycle.handle(0.0, Command::Stop), Ok(Phase::Stopping));
        assert!(lifecycle.accepts_connections(599.0) && !lifecycle.accepts_connections(600.0));
        assert!(
            lifecycle.keeps_alive(2399.0) && !lifecycle.closes_idle(2399.0) && lifecycle.closes_idle(2400.0)
        );
    }

    /// Guards against resets of connections in the listen queue, and against answers that would be written after the
    /// process is killed.
    #[test]
    fn a_stopping_limiter_rejects_late_connections_and_limits_the_time_of_answers() {
        let mut lifecycle =
            Lifecycle::new(Timings { drain_ms: 900.0, kill_after_ms: 3400.0, ..Timings::default() });
        lifecycle.set_can_serve(0.0, true);
        assert!(!lifecycle.rejects_connections(0.0) && lifecycle.remaining_ms(5.0) == f64::INFINITY);
        assert_eq!(lifecycle.handle(100.0, Command::Stop), Ok(Phase::Stopping));
        assert!(
            !lifecycle.rejects_connections(699.0)
                && lifecycle.rejects_connections(700.0)
                && lifecycle.rejects_connections(5000.0)
        );
        assert_eq!(
            (lifecycle.remaining_ms(100.0), lifecycle.remaining_ms(3400.0), lifecycle.remaining_ms(4000.0)),
            (3400.0, 100.0, 0.0)
        );
    }

    /// Guards against answers that are planned for after SIGKILL because the stopped process has handed over meanwhile.
    #[test]
    fn a_hand_over_does_not_prolong_the_time_of_answers() {
        let mut lifecycle = Lifecycle::new(Timings { kill_after_ms: 3400.0, ..Timings::default() });
        lifecycle.set_can_serve(0.0, true);
        assert_eq!(lifecycle.last_answer_at(), f64::INFINITY);
        assert_eq!(lifecycle.handle(100.0, Command::Stop), Ok(Phase::Stopping));
        lifecycle.backdate_stop(50.0);
        assert_eq!(lifecycle.handle(200.0, Command::HandOver), Ok(Phase::HandingOver));
        assert_eq!((lifecycle.last_answer_at(), lifecycle.remaining_ms(3000.0)), (3450.0, 450.0));
        assert_eq!(lifecycle.handle(300.0, Command::Stop), Ok(Phase::HandingOver));
        assert_eq!(lifecycle.last_answer_at(), 3450.0, "the platform counts from the first stop");
    }

    /// Guards against answers that are planned for after SIGKILL because SIGTERM arrived while the process was stalled.
    #[test]
    fn a_stop_that_was_read_late_leaves_less_time() {
        let mut lifecycle = Lifecycle::new(Timings { kill_after_ms: 3400.0, ..Timings::default() });
        lifecycle.set_can_serve(0.0, true);
        assert_eq!(lifecycle.handle(2000.0, Command::Stop), Ok(Phase::Stopping));
        lifecycle.backdate_stop(1500.0);
        assert_eq!(lifecycle.remaining_ms(2000.0), 1900.0);
        assert!(
            lifecycle.accepts_connections(2599.0),
            "new connections are accepted as long as without the delay"
        );
    }

    #[test]
    fn a_limiter_that_hands_over_accepts_nothing_and_closes_after_each_answer() {
        let mut lifecycle = serving();
        assert_eq!(lifecycle.handle(0.0, Command::HandOver), Ok(Phase::HandingOver));
        assert!(
            !lifecycle.accepts_connections(0.0)
                && !lifecycle.keeps_alive(0.0)
                && !lifecycle.closes_idle(599.0)
                && lifecycle.closes_idle(600.0)
        );
        assert!(
            lifecycle.may_exit(1.0, false, false)
                && !lifecycle.may_exit(1.0, false, true)
                && !lifecycle.may_exit(1.0, true, true)
        );
        assert_eq!(lifecycle.handle(5.0, Command::Stop), Ok(Phase::HandingOver));
        assert!(lifecycle.handle(5.0, Command::Active).is_err());
    }

    #[test]
    fn beside_a_predecessor_nothing_is_accepted_before_the_take_over() {
        let mut lifecycle = Lifecycle::beside_predecessor(Timings::default());
        lifecycle.set_can_serve(0.0, true);
        assert!(!lifecycle.is_ready() && !lifecycle.accepts_connections(0.0));
        assert_eq!(lifecycle.handle(1.0, Command::Standby), Ok(Phase::Warming));
        assert_eq!(lifecycle.handle(2.0, Command::TakeOver), Ok(Phase::Serving));
        assert!(lifecycle.is_ready() && lifecycle.accepts_connections(2.0));
        assert_eq!(lifecycle.handle(3.0, Command::TakeOver), Ok(Phase::Serving));
        let mut stopped_while_warming = Lifecycle::beside_predecessor(Timings::default());
        assert_eq!(stopped_while_warming.handle(0.0, Command::Stop), Ok(Phase::Stopping));
        assert!(
            !stopped_while_warming.accepts_connections(0.0)
                && !stopped_while_warming.rejects_connections(0.0)
                && stopped_while_warming.may_exit(0.0, false, true)
        );
        assert!(stopped_while_warming.handle(1.0, Command::TakeOver).is_err());
    }

    #[test]
    fn standby_during_the_start_stays_and_active_returns_to_starting() {
        let mut lifecycle = Lifecycle::new(Timings::default());
        assert_eq!(lifecycle.handle(0.0, Command::Standby), Ok(Phase::Standby));
        lifecycle.set_can_serve(1.0, false);
        assert_eq!(lifecycle.handle(2.0, Command::Active), Ok(Phase::Starting));
        lifecycle.set_can_serve(3.0, true);
        assert!(lifecycle.is_ready());
    }

    proptest! {
        /// For any sequence of commands: a ready limiter accepts and keeps connections, an ending one never serves
        /// again, and idle connections are closed from one second after the start of a standby until `active`.
        #[test]
        fn invariants_hold_for_any_sequence_of_commands(steps in prop::collection::vec((0u8..5, 0.0..700.0f64, any::<bool>()), 1..40)) {
            let mut lifecycle = Lifecycle::new(Timings::default());
            let (mut now, mut ended, mut standby_since): (f64, bool, Option<f64>) = (0.0, false, None);
            for (command_index, step_ms, can_serve) in steps {
                now += step_ms;
                lifecycle.set_can_serve(now, can_serve);
                let command = [Command::Standby, Command::Active, Command::HandOver, Command::Stop].get(usize::from(command_index));
                let result = command.map(|c| lifecycle.handle(now, *c));
                ended |= matches!(lifecycle.phase(), Phase::Stopping | Phase::HandingOver);
                prop_assert_eq!(ended, matches!(lifecycle.phase(), Phase::Stopping | Phase::HandingOver));
                if result == Some(Ok(Phase::Standby)) { standby_since = standby_since.or(Some(now)); }
                if !ended && lifecycle.phase() != Phase::Standby { standby_since = None; }
                if let Some(from) = standby_since {
                    prop_assert!(!lifecycle.is_ready() && !lifecycle.keeps_alive(now));
                    prop_assert!(ended || lifecycle.closes_idle(now) == (now - from >= 1000.0));
                }
                prop_assert!(!lifecycle.is_ready() || (lifecycle.accepts_connections(now) && lifecycle.keeps_alive(now) && !lifecycle.closes_idle(now)));
                prop_assert!(!lifecycle.may_exit(now, true, false) || ended);
            }
        }
    }
}
