//! Faults of a run, drawn from its seed: they coincide in twos and threes, within a fraction of a second, at
//! the same limiter or server.

use crate::history::{Limiter, Millis, Server};

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A limiter's process is stopped for so long.
    Stop(Limiter, Millis),
    /// A limiter's configuration is changed to the other discovery agent and reloaded.
    Reload(Limiter),
    /// A limiter is asked to end, killed when its time is up, and started again.
    Restart(Limiter),
    /// A limiter is killed and started again.
    Kill(Limiter),
    /// A server drains for so long, is removed, and comes back cold.
    Drain(Server, Millis),
    /// A server's process ends and comes back cold after so long.
    Crash(Server, Millis),
    /// A server's machine vanishes: its connections stay open and silent, and it comes back cold after so long, at the
    /// same address.
    Vanish(Server, Millis),
    /// A server answers nothing for so long.
    Hang(Server, Millis),
    /// A server resets all its connections.
    Reset(Server),
    /// A limiter's discovery agent sends nothing for so long, and receives no updates.
    SilenceAgent(Limiter, Millis),
    /// A limiter's watch on discovery is closed.
    CloseWatch(Limiter),
    /// A limiter's watch on discovery stays open and sends nothing more.
    SilenceWatch(Limiter),
    /// All clients that wait for an answer of a limiter disconnect.
    DisconnectClients(Limiter),
    /// So many clients connect to a limiter, send nothing and stay connected.
    IdleConnections(Limiter, u32),
    /// So many clients of a limiter stop half way in a request, write one slowly, or read a long answer slowly.
    SlowCrowd(Limiter, u32),
}

/// A fault with its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds from the start of the run.
    pub at_ms: Millis,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Seed of the run.
    pub seed: u64,
    /// Number of limiters.
    pub limiters: usize,
    /// Number of servers.
    pub servers: usize,
    /// How long clients send requests.
    pub length_ms: Millis,
    /// The faults in the order of time.
    pub faults: Vec<ScheduledFault>,
}

/// No fault starts before this, while limiters and clients settle.
const FIRST_FAULT_MS: Millis = 2500.0;
/// No fault starts in this last part of a run.
const QUIET_END_MS: Millis = 4000.0;
/// Time between one group of coinciding faults and the next, at least and at most.
const CROSSING_INTERVAL_MS: (Millis, Millis) = (300.0, 1200.0);
/// Faults of a group start within this time.
const CROSSING_SPREAD_MS: Millis = 400.0;

fn between(rng: &mut fastrand::Rng, (low, high): (Millis, Millis)) -> Millis {
    low + (high - low) * rng.f64()
}

/// Number of limiters from which on crowds are large. The short runs of a debug build share a few cores with other tests.
const LARGE_RUN_LIMITERS: usize = 8;

/// Draws a fault of a limiter.
fn draw_limiter_fault(rng: &mut fastrand::Rng, limiter: Limiter, limiters: usize) -> Fault {
    match rng.u32(0..12) {
        0 | 1 => Fault::Stop(limiter, between(rng, (100.0, 400.0))),
        2 => Fault::Stop(limiter, between(rng, (1000.0, 2500.0))),
        3 | 4 => Fault::Reload(limiter),
        5 => Fault::Restart(limiter),
        6 => Fault::Kill(limiter),
        7 => Fault::SilenceAgent(limiter, between(rng, (500.0, 5000.0))),
        8 => Fault::CloseWatch(limiter),
        9 => Fault::SilenceWatch(limiter),
        10 if limiters >= LARGE_RUN_LIMITERS => Fault::SlowCrowd(limiter, rng.u32(100..400)),
        10 => Fault::SlowCrowd(limiter, rng.u32(30..100)),
        _ if rng.bool() => Fault::DisconnectClients(limiter),
        _ => Fault::IdleConnections(limiter, rng.u32(20..200)),
    }
}

/// Draws a fault of a server.
fn draw_server_fault(rng: &mut fastrand::Rng, server: Server) -> Fault {
    match rng.u32(0..7) {
        0..=2 => Fault::Drain(server, between(rng, (2000.0, 5000.0))),
        3 => Fault::Crash(server, between(rng, (300.0, 2000.0))),
        4 => Fault::Vanish(server, between(rng, (300.0, 2000.0))),
        5 => Fault::Hang(server, between(rng, (500.0, 3000.0))),
        _ => Fault::Reset(server),
    }
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, limiters: usize, servers: usize, length_ms: Millis) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT_MS;
        while at < length_ms - QUIET_END_MS {
            let (limiter, server) = (rng.usize(0..limiters), rng.usize(0..servers));
            let mut crossing =
                vec![draw_limiter_fault(&mut rng, limiter, limiters), draw_server_fault(&mut rng, server)];
            if rng.bool() {
                crossing.push(draw_limiter_fault(&mut rng, limiter, limiters));
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
    fn plan_is_reproducible_and_dense() {
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
