//! What goes wrong in a run, drawn from its seed: troubles meet in twos and threes, within a fraction of a second, at the same
//! limiter or server.

use crate::history::{Limiter, Millis, Server};

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
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
    AgentAway(Limiter, Millis),
    /// A limiter's watch ends.
    WatchEnds(Limiter),
    /// A limiter's watch stays open, and says nothing more.
    WatchMute(Limiter),
    /// All clients of a limiter that wait for an answer leave.
    ClientsLeave(Limiter),
    /// So many idle clients connect to a limiter and stay.
    Crowd(Limiter, u32),
}

/// A trouble and when it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// Milliseconds from the begin of the run.
    pub at: Millis,
    /// What.
    pub trouble: Trouble,
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
    pub entries: Vec<Entry>,
}

/// Nothing goes wrong before all have settled, and in the last part of a run.
const QUIET_MS: (Millis, Millis) = (2500.0, 4000.0);
/// Between one crossing of troubles and the next, and within one.
const BETWEEN_MS: (Millis, Millis) = (300.0, 1200.0);
const WITHIN_MS: Millis = 400.0;

fn between(rng: &mut fastrand::Rng, (low, high): (Millis, Millis)) -> Millis {
    low + (high - low) * rng.f64()
}

/// A trouble of a limiter's own.
fn at_limiter(rng: &mut fastrand::Rng, limiter: Limiter) -> Trouble {
    match rng.u32(0..11) {
        0 | 1 => Trouble::Stop(limiter, between(rng, (100.0, 400.0))),
        2 => Trouble::Stop(limiter, between(rng, (1000.0, 2500.0))),
        3 | 4 => Trouble::Reload(limiter),
        5 => Trouble::Restart(limiter),
        6 => Trouble::Kill(limiter),
        7 => Trouble::AgentAway(limiter, between(rng, (500.0, 5000.0))),
        8 => Trouble::WatchEnds(limiter),
        9 => Trouble::WatchMute(limiter),
        _ if rng.bool() => Trouble::ClientsLeave(limiter),
        _ => Trouble::Crowd(limiter, rng.u32(20..200)),
    }
}

/// A trouble of a server's.
fn at_server(rng: &mut fastrand::Rng, server: Server) -> Trouble {
    match rng.u32(0..6) {
        0..=2 => Trouble::Drain(server, between(rng, (2000.0, 5000.0))),
        3 => Trouble::Crash(server, between(rng, (300.0, 2000.0))),
        4 => Trouble::Hang(server, between(rng, (500.0, 3000.0))),
        _ => Trouble::Reset(server),
    }
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64, limiters: usize, servers: usize, length_ms: Millis) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut entries = Vec::new();
        let mut at = QUIET_MS.0;
        while at < length_ms - QUIET_MS.1 {
            let (limiter, server) = (rng.usize(0..limiters), rng.usize(0..servers));
            let mut meet = vec![at_limiter(&mut rng, limiter), at_server(&mut rng, server)];
            if rng.bool() {
                meet.push(at_limiter(&mut rng, limiter));
            }
            for trouble in meet {
                let at = at + rng.f64() * WITHIN_MS;
                entries.push(Entry { at, trouble });
            }
            at += between(&mut rng, BETWEEN_MS);
        }
        entries.sort_by(|a, b| a.at.total_cmp(&b.at));
        Plan { seed, limiters, servers, length_ms, entries }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_the_same_plan_and_troubles_meet() {
        let plan = Plan::draw(7, 24, 10, 30_000.0);
        assert_eq!(plan, Plan::draw(7, 24, 10, 30_000.0));
        assert_ne!(plan.entries, Plan::draw(8, 24, 10, 30_000.0).entries);
        assert!(plan.entries.len() > 40, "{}", plan.entries.len());
        assert!(plan.entries.iter().all(|e| e.at >= QUIET_MS.0 && e.at < 30_000.0 - QUIET_MS.1 + WITHIN_MS));
    }
}
