//! The phases of a limiter's life, and what each allows: readiness, accepting, keeping connections, closing idle ones and
//! the end. It does *not* read a clock, count requests or hold sockets: the time and what is owed are arguments.
//!
//! | phase | ready | accepts | keeps connections after an answer | closes idle ones |
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
//! let mut life = Lifecycle::new(Timings::default());
//! life.set_can_serve(0.0, true);
//! assert_eq!(life.handle(10.0, Command::Standby), Ok(Phase::Standby));
//! assert!(!life.is_ready() && life.accepts_connections(10.0) && !life.keeps_alive(10.0) && !life.closes_idle(10.0));
//! assert!(life.closes_idle(1010.0));
//! assert_eq!(life.handle(2000.0, Command::Active), Ok(Phase::Serving));
//! assert!(life.is_ready());
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod eviction;
pub mod stalls;

use std::fmt;

/// A moment or a length of time in milliseconds.
pub type Millis = f64;

/// What a limiter is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Beside a predecessor that still accepts.
    Warming,
    /// Not able to serve yet.
    Starting,
    /// Takes clients.
    Serving,
    /// Sends its clients away and runs on.
    Standby,
    /// Another process has taken its place: finishes what it has.
    HandingOver,
    /// Finishes what it has, and ends.
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

/// What the operator, the platform or a successor wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Send clients away, run on.
    Standby,
    /// Take clients again.
    Active,
    /// The predecessor accepts no more, or is gone: take its place.
    TakeOver,
    /// A successor accepts from now on: finish and end.
    HandOver,
    /// Finish and end.
    Stop,
}

/// Why a command changes nothing: the process ends, and nothing brings it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AlreadyEnding(pub Phase);

impl fmt::Display for AlreadyEnding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "this process is {} and takes no clients any more", self.0)
    }
}

/// How long each step lasts, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timings {
    /// Clients come for so long after the first word that this limiter is not ready.
    pub readiness_lag_ms: Millis,
    /// In standby idle connections are closed after this time.
    pub standby_idle_ms: Millis,
    /// After a stop requests are taken for so long, since each can still be answered then.
    pub drain_ms: Millis,
    /// After a stop nothing is waited for any longer.
    pub max_stop_ms: Millis,
    /// The platform ends the process so long after a stop at the earliest, less what an answer needs to be written; infinite
    /// where the settings do not tell.
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

/// A limiter's life.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    times: Timings,
    phase: Phase,
    since: Millis,
    /// The word to end may have come then already, while the process stood still.
    told: Millis,
    /// The standby that came before the end began then.
    away: Option<Millis>,
    able: bool,
}

impl Lifecycle {
    /// A limiter that starts.
    pub fn new(times: Timings) -> Lifecycle {
        Lifecycle { times, phase: Phase::Starting, since: 0.0, told: 0.0, away: None, able: false }
    }

    /// A limiter that starts beside one that serves in the same place.
    pub fn beside_predecessor(times: Timings) -> Lifecycle {
        Lifecycle { phase: Phase::Warming, ..Lifecycle::new(times) }
    }

    /// What it is at.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether a request could be served now; the first yes ends the start.
    pub fn set_can_serve(&mut self, now: Millis, able: bool) {
        self.able = able;
        if able && self.phase == Phase::Starting {
            (self.phase, self.since) = (Phase::Serving, now);
        }
    }

    /// Takes a command and tells the phase that follows. One that asks for what is so already changes nothing. A stop or
    /// a hand-over stands: what follows it is an error, but for a stop of one that hands over, which is at its end anyway.
    ///
    /// # Errors
    /// The process is ending.
    pub fn handle(&mut self, now: Millis, command: Command) -> Result<Phase, AlreadyEnding> {
        let next = match (self.phase, command) {
            (Phase::Stopping, Command::Stop) | (Phase::HandingOver, Command::Stop | Command::HandOver) => {
                self.phase
            }
            (Phase::Stopping, Command::HandOver) => Phase::HandingOver,
            (Phase::Stopping | Phase::HandingOver, _) => return Err(AlreadyEnding(self.phase)),
            (Phase::Warming, Command::TakeOver) if self.able => Phase::Serving,
            (Phase::Warming, Command::TakeOver) => Phase::Starting,
            (phase, Command::TakeOver) => phase,
            // One that warms up has no clients to send away: it says so by staying as it is.
            (Phase::Warming, Command::Standby | Command::Active) => Phase::Warming,
            (_, Command::Standby) => Phase::Standby,
            (Phase::Standby, Command::Active) if !self.able => Phase::Starting,
            (Phase::Standby, Command::Active) => Phase::Serving,
            (phase, Command::Active) => phase,
            (_, Command::HandOver) => Phase::HandingOver,
            (_, Command::Stop) => Phase::Stopping,
        };
        if next != self.phase {
            self.away = match self.phase {
                Phase::Standby => Some(self.since),
                // Clients were never sent to it.
                Phase::Warming => Some(f64::NEG_INFINITY),
                _ => None,
            };
            (self.phase, self.since, self.told) = (next, now, now);
        }
        Ok(next)
    }

    /// The command that began the present phase may have come so long before it was read: whoever sent it counts from then.
    pub fn backdate_command(&mut self, waited_ms: Millis) {
        self.told = self.since - waited_ms.max(0.0);
    }

    /// Clients may come.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving && self.able
    }

    /// New connections are accepted. After a stop only while the front may not know of it: those that come later are not
    /// its clients', and would take the place of the connections that these go on using.
    pub fn accepts_connections(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Starting | Phase::Serving | Phase::Standby => true,
            Phase::Stopping => !self.over(now) && now - self.since < self.times.readiness_lag_ms,
            Phase::Warming | Phase::HandingOver => false,
        }
    }

    /// New connections are turned away: what they ask is refused at once, so that no request in the queue of connections ends
    /// in a reset, and they take no place for longer than that. One that only warmed up leaves them to its predecessor, whose
    /// queue it is.
    pub fn rejects_connections(&self, now: Millis) -> bool {
        let warmed_up = self.away == Some(f64::NEG_INFINITY);
        self.phase == Phase::Stopping && !warmed_up && !self.accepts_connections(now)
    }

    /// How long an answer may still take before the process may be ended from outside; infinite while it is not to end.
    pub fn remaining_ms(&self, now: Millis) -> Millis {
        match self.phase {
            Phase::Stopping => (self.told + self.times.kill_after_ms - now).max(0.0),
            _ => f64::INFINITY,
        }
    }

    /// A connection stays open after an answer.
    pub fn keeps_alive(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Warming | Phase::Starting | Phase::Serving => true,
            Phase::Standby | Phase::HandingOver => false,
            Phase::Stopping => self.away.is_none() && !self.over(now),
        }
    }

    /// Connections on which nothing is asked are closed.
    pub fn closes_idle(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Warming | Phase::Starting | Phase::Serving => false,
            Phase::Standby => now - self.since >= self.times.standby_idle_ms,
            Phase::Stopping | Phase::HandingOver => self.over(now),
        }
    }

    /// The process may end: no more requests can come, and what was taken is answered or not waited for any longer. One
    /// that hands over need not wait once it holds no connection any more.
    pub fn may_exit(&self, now: Millis, owes: bool, holds: bool) -> bool {
        let over = match self.phase {
            Phase::Stopping => self.over(now),
            Phase::HandingOver => self.over(now) || !holds,
            _ => return false,
        };
        over && (!owes || now - self.since >= self.times.max_stop_ms)
    }

    /// The time in which an ending process takes requests has passed.
    fn over(&self, now: Millis) -> bool {
        let front_knows = self.away.is_some_and(|at| now - at >= self.times.readiness_lag_ms);
        now - self.since >= self.times.drain_ms || (self.phase == Phase::Stopping && front_knows)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn serving() -> Lifecycle {
        let mut life = Lifecycle::new(Timings::default());
        life.set_can_serve(0.0, true);
        life
    }

    #[test]
    fn commands_twice_and_out_of_turn_have_stated_results() {
        let mut life = serving();
        assert_eq!(life.handle(1.0, Command::Active), Ok(Phase::Serving));
        assert_eq!(life.handle(2.0, Command::Standby), Ok(Phase::Standby));
        assert_eq!(life.handle(900.0, Command::Standby), Ok(Phase::Standby));
        // The second word does not begin the drain anew.
        assert!(life.closes_idle(1002.0));
        assert_eq!(life.handle(1500.0, Command::Stop), Ok(Phase::Stopping));
        // The front knows: nothing is waited for.
        assert!(
            !life.accepts_connections(1500.0)
                && life.may_exit(1500.0, false, true)
                && !life.may_exit(1500.0, true, true)
        );
        assert_eq!(life.handle(1600.0, Command::Active), Err(AlreadyEnding(Phase::Stopping)));
        assert_eq!(life.handle(1600.0, Command::Standby), Err(AlreadyEnding(Phase::Stopping)));
        assert_eq!(life.handle(1600.0, Command::Stop), Ok(Phase::Stopping));
    }

    #[test]
    fn a_stop_serves_on_while_clients_may_still_come() {
        let mut life = serving();
        assert_eq!(life.handle(0.0, Command::Stop), Ok(Phase::Stopping));
        assert!(
            !life.is_ready()
                && life.accepts_connections(599.0)
                && life.keeps_alive(599.0)
                && !life.may_exit(599.0, false, false)
        );
        assert!(!life.accepts_connections(600.0) && !life.keeps_alive(600.0) && life.closes_idle(600.0));
        assert!(
            life.may_exit(600.0, false, true)
                && !life.may_exit(600.0, true, true)
                && life.may_exit(20_000.0, true, true)
        );
    }

    /// Guards against crowds that take the places of kept connections while a limiter stops.
    #[test]
    fn a_stop_keeps_connections_longer_than_it_accepts_new_ones() {
        let mut life = Lifecycle::new(Timings { drain_ms: 2400.0, ..Timings::default() });
        life.set_can_serve(0.0, true);
        assert_eq!(life.handle(0.0, Command::Stop), Ok(Phase::Stopping));
        assert!(life.accepts_connections(599.0) && !life.accepts_connections(600.0));
        assert!(life.keeps_alive(2399.0) && !life.closes_idle(2399.0) && life.closes_idle(2400.0));
    }

    /// Guards against what lies in the queue of connections being reset, and against an answer that would come after the end.
    #[test]
    fn a_stop_turns_late_connections_away_and_leaves_each_answer_its_time() {
        let mut life =
            Lifecycle::new(Timings { drain_ms: 900.0, kill_after_ms: 3400.0, ..Timings::default() });
        life.set_can_serve(0.0, true);
        assert!(!life.rejects_connections(0.0) && life.remaining_ms(5.0) == f64::INFINITY);
        assert_eq!(life.handle(100.0, Command::Stop), Ok(Phase::Stopping));
        assert!(
            !life.rejects_connections(699.0)
                && life.rejects_connections(700.0)
                && life.rejects_connections(5000.0)
        );
        assert_eq!(
            (life.remaining_ms(100.0), life.remaining_ms(3400.0), life.remaining_ms(4000.0)),
            (3400.0, 100.0, 0.0)
        );
    }

    /// Guards against answers after SIGKILL where SIGTERM came while the process stood still.
    #[test]
    fn a_stop_that_lay_unread_leaves_less_time() {
        let mut life = Lifecycle::new(Timings { kill_after_ms: 3400.0, ..Timings::default() });
        life.set_can_serve(0.0, true);
        assert_eq!(life.handle(2000.0, Command::Stop), Ok(Phase::Stopping));
        life.backdate_command(1500.0);
        assert_eq!(life.remaining_ms(2000.0), 1900.0);
        assert!(life.accepts_connections(2599.0), "clients come as long as ever");
    }

    #[test]
    fn one_that_hands_over_accepts_nothing_and_closes_with_each_answer() {
        let mut life = serving();
        assert_eq!(life.handle(0.0, Command::HandOver), Ok(Phase::HandingOver));
        assert!(
            !life.accepts_connections(0.0)
                && !life.keeps_alive(0.0)
                && !life.closes_idle(599.0)
                && life.closes_idle(600.0)
        );
        assert!(
            life.may_exit(1.0, false, false)
                && !life.may_exit(1.0, false, true)
                && !life.may_exit(1.0, true, true)
        );
        assert_eq!(life.handle(5.0, Command::Stop), Ok(Phase::HandingOver));
        assert!(life.handle(5.0, Command::Active).is_err());
    }

    #[test]
    fn beside_a_predecessor_nothing_is_accepted_until_its_place_is_taken() {
        let mut life = Lifecycle::beside_predecessor(Timings::default());
        life.set_can_serve(0.0, true);
        assert!(!life.is_ready() && !life.accepts_connections(0.0));
        assert_eq!(life.handle(1.0, Command::Standby), Ok(Phase::Warming));
        assert_eq!(life.handle(2.0, Command::TakeOver), Ok(Phase::Serving));
        assert!(life.is_ready() && life.accepts_connections(2.0));
        assert_eq!(life.handle(3.0, Command::TakeOver), Ok(Phase::Serving));
        let mut stopped = Lifecycle::beside_predecessor(Timings::default());
        assert_eq!(stopped.handle(0.0, Command::Stop), Ok(Phase::Stopping));
        assert!(
            !stopped.accepts_connections(0.0)
                && !stopped.rejects_connections(0.0)
                && stopped.may_exit(0.0, false, true)
        );
        assert!(stopped.handle(1.0, Command::TakeOver).is_err());
    }

    #[test]
    fn standby_before_the_first_yes_stays_and_active_returns_to_the_start() {
        let mut life = Lifecycle::new(Timings::default());
        assert_eq!(life.handle(0.0, Command::Standby), Ok(Phase::Standby));
        life.set_can_serve(1.0, false);
        assert_eq!(life.handle(2.0, Command::Active), Ok(Phase::Starting));
        life.set_can_serve(3.0, true);
        assert!(life.is_ready());
    }

    proptest! {
        /// Whatever is commanded: ready means that it accepts and keeps; one that ends never serves again; an idle
        /// connection is closed within a second of standby and stays closed until `active`.
        #[test]
        fn no_order_of_commands_breaks_it(steps in prop::collection::vec((0u8..5, 0.0..700.0f64, any::<bool>()), 1..40)) {
            let mut life = Lifecycle::new(Timings::default());
            let (mut now, mut ended, mut away): (f64, bool, Option<f64>) = (0.0, false, None);
            for (what, wait, able) in steps {
                now += wait;
                life.set_can_serve(now, able);
                let command = [Command::Standby, Command::Active, Command::HandOver, Command::Stop].get(usize::from(what));
                let said = command.map(|c| life.handle(now, *c));
                ended |= matches!(life.phase(), Phase::Stopping | Phase::HandingOver);
                prop_assert_eq!(ended, matches!(life.phase(), Phase::Stopping | Phase::HandingOver));
                if said == Some(Ok(Phase::Standby)) { away = away.or(Some(now)); }
                if !ended && life.phase() != Phase::Standby { away = None; }
                if let Some(from) = away {
                    prop_assert!(!life.is_ready() && !life.keeps_alive(now));
                    prop_assert!(ended || life.closes_idle(now) == (now - from >= 1000.0));
                }
                prop_assert!(!life.is_ready() || (life.accepts_connections(now) && life.keeps_alive(now) && !life.closes_idle(now)));
                prop_assert!(!life.may_exit(now, true, false) || ended);
            }
        }
    }
}
