//! What goes wrong in a run, drawn from its seed: troubles crossing in twos and threes, within a fraction of a second, at the same
//! limiter or server.

use crate::history::{Limiter, Millis, Server};

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A limiter's process stands still.
    Stop(Limiter, Millis),
    /// A limiter's configuration names another place of discovery.
    Reload(Limiter),
    /// A limiter is told to end, killed in time and started again.
    Restart(Limiter),
    /// A limiter is killed and started again.
    Kill(Limiter),
    /// A server drains, for so long; then it is gone, and comes back cold.
    Drain(Server, Millis),
    /// A server's process dies and comes back cold after so long.
    Crash(Server, Millis),
    /// A server answers nothing for so long.
    Hang(Server, Millis),
    /// A server resets all its connections.
    Reset(Server),
    /// A limiter's agent says nothing for so long, and learns nothing.
    SilenceAgent(Limiter, Millis),
    /// A limiter's watch ends.
    CloseWatch(Limiter),
    /// A limiter's watch stays open, and says nothing more.
    SilenceWatch(Limiter),
    /// All clients of a limiter that wait for an answer leave.
    DisconnectClients(Limiter),
    /// So many idle clients connect to a limiter and stay.
    IdleConnections(Limiter, u32),
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds from the begin of the run.
    pub at_ms: Millis,
    /// What.
    pub fault: Fault,
}

/// A run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Draws all of it.
    pub seed: u64,
    /// How many limiters.
    pub limiters: usize,
    /// How many servers.
    pub servers: usize,
    /// How long clients ask.
    pub length_ms: Millis,
    /// What goes wrong, in the order of time.
    pub faults: Vec<ScheduledFault>,
}

/// Nothing goes wrong before all have settled, and in the last part of a run.
const FIRST_FAULT_MS: Millis = 2500.0;
const QUIET_END_MS: Millis = 4000.0;
/// Between one crossing of troubles and the next, and within one.
const CROSSING_INTERVAL_MS: (Millis, Millis) = (300.0, 1200.0);
const CROSSING_SPREAD_MS: Millis = 400.0;

fn between(rng: &mut fastrand::Rng, (low, high): (Millis, Millis)) -> Millis {
    low + (high - low) * rng.f64()
}

/// A fault of a limiter's own.
fn draw_limiter_fault(rng: &mut fastrand::Rng, limiter: Limiter) -> Fault {
    match rng.u32(0..11) {
        0 | 1 => Fault::Stop(limiter, between(rng, (100.0, 400.0))),
        2 => Fault::Stop(limiter, between(rng, (1000.0, 2500.0))),
        3 | 4 => Fault::Reload(limiter),
        5 => Fault::Restart(limiter),
        6 => Fault::Kill(limiter),
        7 => Fault::SilenceAgent(limiter, between(rng, (500.0, 5000.0))),
        8 => Fault::CloseWatch(limiter),
        9 => Fault::SilenceWatch(limiter),
        _ if rng.bool() => Fault::DisconnectClients(limiter),
        _ => Fault::IdleConnections(limiter, rng.u32(20..200)),
    }
}

/// A fault of a server's.
fn draw_server_fault(rng: &mut fastrand::Rng, server: Server) -> Fault {
    match rng.u32(0..6) {
        0..=2 => Fault::Drain(server, between(rng, (2000.0, 5000.0))),
        3 => Fault::Crash(server, between(rng, (300.0, 2000.0))),
        4 => Fault::Hang(server, between(rng, (500.0, 3000.0))),
        _ => Fault::Reset(server),
    }
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64, limiters: usize, servers: usize, length_ms: Millis) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT_MS;
        while at < length_ms - QUIET_END_MS {
            let (limiter, server) = (rng.usize(0..limiters), rng.usize(0..servers));
            let mut crossing =
                vec![draw_limiter_fault(&mut rng, limiter), draw_server_fault(&mut rng, server)];
            if rng.bool() {
                crossing.push(draw_limiter_fault(&mut rng, limiter));
            }
            for fault in crossing {
                let at = at + rng.f64() * CROSSING_SPREAD_MS;
                faults.push(ScheduledFault { at_ms: at, fault });
            }
            at += between(&mut rng, CROSSING_INTERVAL_MS);
        }
        faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        Plan { seed, limiters, servers, length_ms, faults }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_the_same_plan_and_troubles_meet() {
        let plan = Plan::draw(7, 24, 10, 30_000.0);
        assert_eq!(plan, Plan::draw(7, 24, 10, 30_000.0));
        assert_ne!(plan.faults, Plan::draw(8, 24, 10, 30_000.0).faults);
        assert!(plan.faults.len() > 40, "{}", plan.faults.len());
        assert!(plan
            .faults
            .iter()
            .all(|e| e.at_ms >= FIRST_FAULT_MS && e.at_ms < 30_000.0 - QUIET_END_MS + CROSSING_SPREAD_MS));
    }
}
