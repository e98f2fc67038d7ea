//! What a run on real processes came to, beside the service that the rehearsal counts.

use hdrhistogram::Histogram;
use marldeal_rehearsal::draws;
use marldeal_rehearsal::figures::{Figures, Second};
use marldeal_rehearsal::observe::Breach;
use marldeal_rehearsal::scenario::Scenario;
use serde::Serialize;

use crate::datagrams::DatagramCounts;

/// All of a run.
pub struct Run {
    /// Service, as the brief counts it.
    pub figures: Figures,
    /// Each second.
    pub seconds: Vec<Second>,
    /// DatagramCounts over the fleet.
    pub fleet: Fleet,
}

impl Run {
    /// Rules and invariants that were violation_count.
    pub fn violation_count(&self) -> u64 {
        self.figures.broken_count + self.fleet.breach_count
    }

    /// The first of them, in words.
    pub fn first_violation(&self) -> Option<String> {
        let rule = self.figures.broken.first();
        let rule = rule.map(|b| (b.at_s, format!("{:?} at {:.3} s: {}", b.rule, b.at_s, b.what)));
        let begin = marldeal_rehearsal::world::BEGIN_MS;
        let breach = self.fleet.breaches.first().map(|b| {
            let at_s = (b.at_ms - begin) / 1000.0;
            (at_s, format!("{} at {at_s:.3} s: {}", b.invariant, b.what))
        });
        rule.into_iter().chain(breach).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, what)| what)
    }
}

/// DatagramCounts over the fleet.
#[derive(Debug, Clone, Serialize)]
pub struct Fleet {
    /// How tries ended that the rules say something of.
    pub outcomes: Outcomes,
    /// Words between limiters.
    #[serde(skip)]
    pub words: DatagramCounts,
    /// CPU of each limiter, in milliseconds.
    pub cpu_ms: Vec<f64>,
    /// Resident memory of each limiter that runs at the end, in MB.
    pub memory_mb: Vec<f64>,
    /// Most descriptors that the ground held.
    pub descriptors: usize,
    /// Load of servers against their fair part.
    pub load: Load,
    /// The ground's own lateness.
    pub lateness: LatenessQuantiles,
    /// Invariants that were violation_count, the first ones.
    pub breaches: Vec<Breach>,
    /// How many were.
    pub breach_count: u64,
    /// What limiters said outside their log's form.
    pub notes: Vec<String>,
}

/// How tries and requests ended that the rules, or the next issues' figures, say something of.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcomes {
    /// Tries answered after their client's time, within the grace.
    pub late: u64,
    /// Tries never answered, or whose connection ended without an answer, of limiters that ran all the time.
    pub lost: u64,
    /// The same of limiters that were hindered: the clients' to ask again.
    pub excused: u64,
    /// Limiters that ended by themselves.
    pub crashes: u64,
    /// Limiters that had to be killed after SIGTERM.
    pub hung: u64,
    /// Kills aimed between taking a request and sending it that fell there, as far as nodes record.
    pub killed_taken: u64,
    /// The same between sending and answering.
    pub killed_sent: u64,
    /// Worth asked for inside the quotas.
    pub inside: f64,
    /// Of that: refused in the end.
    pub refused_inside: f64,
    /// Units sent on, and those beyond the quotas.
    pub units: [f64; 2],
}

/// Largest, 99th percentile and smallest load of a server over its fair part, in windows of one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Load {
    /// As it was.
    pub seen: [f64; 3],
    /// As chance alone gives it when every request goes to a server drawn by its fair part.
    pub by_chance: [f64; 3],
    /// Mean over the windows of the largest, as it was and by chance: steadier than the one largest.
    pub mean_largest: [f64; 2],
}

/// Requests that have come to each node in each second.
pub struct Arrivals {
    server_speeds: Vec<f64>,
    now: Vec<u32>,
    fit: Vec<bool>,
    windows: Vec<Vec<(u32, f64)>>,
    seconds: usize,
}

impl Arrivals {
    /// For the nodes of a scenario, of which the server_speeds are given.
    pub fn new(scenario: &Scenario, server_speeds: &[f64]) -> Arrivals {
        Arrivals {
            server_speeds: server_speeds.to_vec(),
            now: vec![0; server_speeds.len()],
            fit: vec![true; server_speeds.len()],
            windows: Vec::new(),
            seconds: scenario.seconds as usize,
        }
    }

    /// One has come.
    pub fn record(&mut self, node: usize) {
        self.now[node] += 1;
    }

    /// A second is over at a node; only what is fit from its beginning to its end has a fair part.
    pub fn end_second(&mut self, node: usize, fit: bool) {
        if node == 0 {
            self.windows.push(Vec::new());
        }
        let counts = fit && self.fit[node];
        let count = std::mem::take(&mut self.now[node]);
        self.fit[node] = fit;
        if let Some(window) = self.windows.last_mut().filter(|_| counts) {
            window.push((count, self.server_speeds[node]));
        }
    }

    /// What it came to. Chance is drawn by the seed.
    pub fn finish(&self, seed: u64) -> Load {
        let mut rng = draws::stream(seed, "fair", 0);
        let (mut seen, mut chance) = (Vec::new(), Vec::new());
        let (mut largest, mut by_chance) = (Vec::new(), Vec::new());
        for window in self.windows.iter().take(self.seconds) {
            let (count, whole): (u32, f64) = window.iter().fold((0, 0.0), |s, w| (s.0 + w.0, s.1 + w.1));
            if count == 0 || window.len() < 2 {
                continue;
            }
            let ratio =
                |count: u32, speed: f64, all: u32| f64::from(count) / (f64::from(all) * speed / whole);
            let mut drawn = vec![0; window.len()];
            for _ in 0..count {
                let mut at = draws::between(&mut rng, [0.0, whole]);
                let hit = window.iter().position(|(_, speed)| {
                    at -= speed;
                    at < 0.0
                });
                drawn[hit.unwrap_or(0)] += 1;
            }
            let real: Vec<f64> = window.iter().map(|(n, speed)| ratio(*n, *speed, count)).collect();
            let luck: Vec<f64> = window.iter().zip(&drawn).map(|((_, s), n)| ratio(*n, *s, count)).collect();
            let most = |all: &[f64]| all.iter().copied().fold(0.0, f64::max);
            largest.push(most(&real));
            by_chance.push(most(&luck));
            seen.extend(real);
            chance.extend(luck);
        }
        let three = |all: &mut Vec<f64>| {
            all.sort_by(f64::total_cmp);
            let at =
                |q: f64| all.get(((all.len() as f64 * q) as usize).min(all.len().saturating_sub(1))).copied();
            [1.0, 0.99, 0.0].map(|q| at(q).unwrap_or(0.0))
        };
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        Load {
            seen: three(&mut seen),
            by_chance: three(&mut chance),
            mean_largest: [mean(&largest), mean(&by_chance)],
        }
    }
}

/// How late the ground itself was.
pub struct Lateness {
    us: Histogram<u64>,
    tolerance_ms: f64,
    /// When it was last later than allowed.
    pub last_exceeded: f64,
}

/// Quantiles of the ground's lateness in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatenessQuantiles {
    /// Half of the time.
    pub p50_ms: f64,
    /// In 99 of 100 cases.
    pub p99_ms: f64,
    /// At most.
    pub most_ms: f64,
}

/// Lateness at the 99th percentile from which times in the figures are the ground's own.
const MAX_P99_LATENESS_MS: f64 = 20.0;

impl LatenessQuantiles {
    /// Times that were measured are the ground's own as much as the limiters'.
    pub fn distorts_times(&self) -> bool {
        self.p99_ms > MAX_P99_LATENESS_MS
    }
}

impl Lateness {
    /// From `tolerance_ms` on nothing is held against limiters.
    pub fn new(tolerance_ms: f64) -> Lateness {
        let us =
            Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!("legal bounds"));
        Lateness { us, tolerance_ms, last_exceeded: 0.0 }
    }

    /// It woke up so late.
    pub fn record(&mut self, now: f64, late_ms: f64) {
        let _ = self.us.record(((late_ms * 1000.0) as u64).clamp(1, 600_000_000));
        if late_ms > self.tolerance_ms {
            self.last_exceeded = now;
        }
    }

    /// What it came to.
    pub fn finish(&self) -> LatenessQuantiles {
        let at = |q| self.us.value_at_quantile(q) as f64 / 1000.0;
        LatenessQuantiles { p50_ms: at(0.5), p99_ms: at(0.99), most_ms: self.us.max() as f64 / 1000.0 }
    }
}

/// What a process has used so far.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// CPU, in milliseconds.
    pub cpu_ms: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
}

/// Asks the kernel about a process; nothing if it is gone.
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = procfs::process::Process::new(pid as i32).and_then(|p| p.stat()).ok()?;
    let ticks = procfs::ticks_per_second() as f64;
    let memory_mb = (stat.rss * procfs::page_size()) as f64 / f64::from(1 << 20);
    Some(Usage { cpu_ms: (stat.utime + stat.stime) as f64 * 1000.0 / ticks, memory_mb })
}

/// Descriptors that this process holds; 0 where the kernel does not tell.
pub fn own_descriptors() -> usize {
    procfs::process::Process::myself().and_then(|p| p.fd_count()).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_server_that_gets_all_stands_far_from_chance_and_an_even_one_near_it() {
        let scenario = Scenario { seconds: 40.0, ..Scenario::default() };
        let load = |even: bool| {
            let mut arrivals = Arrivals::new(&scenario, &[1.0; 10]);
            for _ in 0..40 {
                for node in 0..10 {
                    let some = if even { 10 } else { usize::from(node == 3) * 100 };
                    (0..some).for_each(|_| arrivals.record(node));
                }
                (0..10).for_each(|node| arrivals.end_second(node, true));
            }
            arrivals.finish(7)
        };
        let (even, herd) = (load(true), load(false));
        assert_eq!((even.seen, herd.seen), ([1.0; 3], [10.0, 10.0, 0.0]));
        assert!((1.3..2.5).contains(&even.by_chance[0]) && even.by_chance[2] < 0.8, "{even:?}");
        assert!(even.by_chance == herd.by_chance && herd.mean_largest[0] == 10.0);
    }

    #[test]
    fn a_server_that_was_not_fit_all_the_second_has_no_fair_part() {
        let scenario = Scenario { seconds: 3.0, ..Scenario::default() };
        let mut arrivals = Arrivals::new(&scenario, &[1.0; 3]);
        for fit in [true, false, true] {
            (0..3).for_each(|node| arrivals.record(node));
            (0..3).for_each(|node| arrivals.end_second(node, node > 0 || fit));
        }
        assert_eq!(arrivals.windows.iter().map(Vec::len).collect::<Vec<_>>(), [3, 2, 2]);
    }

    #[test]
    fn lateness_beyond_the_bound_is_remembered() {
        let mut lateness = Lateness::new(100.0);
        (0..99).for_each(|n| lateness.record(f64::from(n), 1.0));
        assert_eq!(lateness.last_exceeded, 0.0);
        lateness.record(500.0, 250.0);
        assert_eq!(lateness.last_exceeded, 500.0);
        assert!(!lateness.finish().distorts_times() && lateness.finish().most_ms >= 249.0);
    }
}
