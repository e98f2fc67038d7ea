//! Figures of a run on real processes, beside the service figures that the simulation computes too.

use hdrhistogram::Histogram;
use marldeal_rehearsal::draws;
use marldeal_rehearsal::figures::{Figures, Second};
use marldeal_rehearsal::observe::Breach;
use marldeal_rehearsal::scenario::Scenario;
use serde::Serialize;

use crate::datagrams::DatagramCounts;

/// All figures of a run.
pub struct Run {
    /// Service figures, as the simulation computes them.
    pub figures: Figures,
    /// Figures of each second.
    pub seconds: Vec<Second>,
    /// Counts over the fleet.
    pub fleet: Fleet,
}

impl Run {
    /// Returns the number of violations of rules and invariants.
    pub fn violation_count(&self) -> u64 {
        self.figures.broken_count + self.fleet.breach_count
    }

    /// Describes the earliest violation.
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

/// Counts over the fleet.
#[derive(Debug, Clone, Serialize)]
pub struct Fleet {
    /// Outcomes of requests that the rules refer to.
    pub outcomes: Outcomes,
    /// Datagrams between limiters; not written to reports.
    #[serde(skip)]
    pub words: DatagramCounts,
    /// CPU time of each limiter, in milliseconds.
    pub cpu_ms: Vec<f64>,
    /// Resident memory of each limiter that runs at the end, in MB.
    pub memory_mb: Vec<f64>,
    /// Largest number of descriptors that the test environment held.
    pub descriptors: usize,
    /// Load of servers relative to their fair share.
    pub load: Load,
    /// Lateness of the test environment itself.
    pub lateness: LatenessQuantiles,
    /// The first violations of invariants.
    pub breaches: Vec<Breach>,
    /// Number of all violations of invariants.
    pub breach_count: u64,
    /// Lines that limiters wrote in another form than that of the log.
    pub notes: Vec<String>,
}

/// Outcomes of requests that the rules or further figures refer to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcomes {
    /// Requests answered after their client's deadline, within the grace period.
    pub late: u64,
    /// Requests without an answer, or whose connection ended without one, at limiters that ran without
    /// interruption.
    pub lost: u64,
    /// The same at limiters that were interrupted; their clients ask again.
    pub excused: u64,
    /// Limiters whose process ended by itself.
    pub crashes: u64,
    /// Limiters that had to be killed after SIGTERM.
    pub hung: u64,
    /// Kills aimed between taking a request and sending it on that came at that moment, as far as servers saw.
    pub killed_taken: u64,
    /// The same for kills between sending a request on and answering it.
    pub killed_sent: u64,
    /// Worth of the requests within the quotas.
    pub inside: f64,
    /// Worth of the requests within the quotas that were refused in the end.
    pub refused_inside: f64,
    /// Units sent on, and the units of these beyond the quotas.
    pub units: [f64; 2],
}

/// Largest, 99th percentile and smallest load of a server relative to its fair share, in windows of one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Load {
    /// As measured.
    pub seen: [f64; 3],
    /// As random choice alone gives it, with each request at a server drawn in proportion to its fair share.
    pub by_chance: [f64; 3],
    /// Mean over the windows of the largest load, as measured and by chance; steadier than the single largest.
    pub mean_largest: [f64; 2],
}

/// Requests that reached each server in each second.
pub struct Arrivals {
    server_speeds: Vec<f64>,
    current: Vec<u32>,
    fit: Vec<bool>,
    windows: Vec<Vec<(u32, f64)>>,
    seconds: usize,
}

impl Arrivals {
    /// Creates the counts for the servers of a scenario with the given speeds.
    pub fn new(scenario: &Scenario, server_speeds: &[f64]) -> Arrivals {
        Arrivals {
            server_speeds: server_speeds.to_vec(),
            current: vec![0; server_speeds.len()],
            fit: vec![true; server_speeds.len()],
            windows: Vec::new(),
            seconds: scenario.seconds as usize,
        }
    }

    /// Counts a request at a server.
    pub fn record(&mut self, server: usize) {
        self.current[server] += 1;
    }

    /// Ends a second at a server. A server counts in a window only if it was fit from its beginning to its end.
    pub fn end_second(&mut self, server: usize, fit: bool) {
        if server == 0 {
            self.windows.push(Vec::new());
        }
        let counted = fit && self.fit[server];
        let count = std::mem::take(&mut self.current[server]);
        self.fit[server] = fit;
        if let Some(window) = self.windows.last_mut().filter(|_| counted) {
            window.push((count, self.server_speeds[server]));
        }
    }

    /// Computes the load figures. The comparison by chance is drawn from the seed.
    pub fn finish(&self, seed: u64) -> Load {
        let mut rng = draws::stream(seed, "fair", 0);
        let (mut seen, mut chance) = (Vec::new(), Vec::new());
        let (mut largest, mut by_chance) = (Vec::new(), Vec::new());
        for window in self.windows.iter().take(self.seconds) {
            let (count, total): (u32, f64) = window.iter().fold((0, 0.0), |s, w| (s.0 + w.0, s.1 + w.1));
            if count == 0 || window.len() < 2 {
                continue;
            }
            let ratio =
                |count: u32, speed: f64, all: u32| f64::from(count) / (f64::from(all) * speed / total);
            let mut drawn = vec![0; window.len()];
            for _ in 0..count {
                let mut at = draws::between(&mut rng, [0.0, total]);
                let hit = window.iter().position(|(_, speed)| {
                    at -= speed;
                    at < 0.0
                });
                drawn[hit.unwrap_or(0)] += 1;
            }
            let measured: Vec<f64> = window.iter().map(|(n, speed)| ratio(*n, *speed, count)).collect();
            let random: Vec<f64> =
                window.iter().zip(&drawn).map(|((_, s), n)| ratio(*n, *s, count)).collect();
            let maximum = |all: &[f64]| all.iter().copied().fold(0.0, f64::max);
            largest.push(maximum(&measured));
            by_chance.push(maximum(&random));
            seen.extend(measured);
            chance.extend(random);
        }
        let quantiles = |all: &mut Vec<f64>| {
            all.sort_by(f64::total_cmp);
            let at =
                |q: f64| all.get(((all.len() as f64 * q) as usize).min(all.len().saturating_sub(1))).copied();
            [1.0, 0.99, 0.0].map(|q| at(q).unwrap_or(0.0))
        };
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
        Load {
            seen: quantiles(&mut seen),
            by_chance: quantiles(&mut chance),
            mean_largest: [mean(&largest), mean(&by_chance)],
        }
    }
}

/// Lateness of the test environment's own wake-ups.
pub struct Lateness {
    us: Histogram<u64>,
    tolerance_ms: f64,
    /// When the lateness last exceeded the tolerance.
    pub last_exceeded: f64,
}

/// Quantiles of the test environment's lateness in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatenessQuantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub most_ms: f64,
}

/// 99th percentile of the lateness above which the test environment distorts measured times.
const MAX_P99_LATENESS_MS: f64 = 20.0;

impl LatenessQuantiles {
    /// Whether the test environment's lateness distorts the measured times of limiters.
    pub fn distorts_times(&self) -> bool {
        self.p99_ms > MAX_P99_LATENESS_MS
    }
}

impl Lateness {
    /// Creates an empty record. Nothing is held against limiters around lateness above `tolerance_ms`.
    pub fn new(tolerance_ms: f64) -> Lateness {
        let us =
            Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!("legal bounds"));
        Lateness { us, tolerance_ms, last_exceeded: 0.0 }
    }

    /// Records a wake-up that was late by so much.
    pub fn record(&mut self, now: f64, late_ms: f64) {
        let _ = self.us.record(((late_ms * 1000.0) as u64).clamp(1, 600_000_000));
        if late_ms > self.tolerance_ms {
            self.last_exceeded = now;
        }
    }

    /// Returns the quantiles.
    pub fn finish(&self) -> LatenessQuantiles {
        let at = |q| self.us.value_at_quantile(q) as f64 / 1000.0;
        LatenessQuantiles { p50_ms: at(0.5), p99_ms: at(0.99), most_ms: self.us.max() as f64 / 1000.0 }
    }
}

/// Resources that a process has used.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// CPU time, in milliseconds.
    pub cpu_ms: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
}

/// Reads the usage of a process from the kernel; `None` if the process has ended.
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = procfs::process::Process::new(pid as i32).and_then(|p| p.stat()).ok()?;
    let ticks = procfs::ticks_per_second() as f64;
    let memory_mb = (stat.rss * procfs::page_size()) as f64 / f64::from(1 << 20);
    Some(Usage { cpu_ms: (stat.utime + stat.stime) as f64 * 1000.0 / ticks, memory_mb })
}

/// Returns the number of descriptors that this process holds, or 0 where the kernel does not say.
pub fn own_descriptors() -> usize {
    procfs::process::Process::myself().and_then(|p| p.fd_count()).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn uneven_load_exceeds_chance_and_even_load_does_not() {
        let scenario = Scenario { seconds: 40.0, ..Scenario::default() };
        let load = |even: bool| {
            let mut arrivals = Arrivals::new(&scenario, &[1.0; 10]);
            for _ in 0..40 {
                for server in 0..10 {
                    let count = if even { 10 } else { usize::from(server == 3) * 100 };
                    (0..count).for_each(|_| arrivals.record(server));
                }
                (0..10).for_each(|server| arrivals.end_second(server, true));
            }
            arrivals.finish(7)
        };
        let (even, uneven) = (load(true), load(false));
        assert_eq!((even.seen, uneven.seen), ([1.0; 3], [10.0, 10.0, 0.0]));
        assert!((1.3..2.5).contains(&even.by_chance[0]) && even.by_chance[2] < 0.8, "{even:?}");
        assert!(even.by_chance == uneven.by_chance && uneven.mean_largest[0] == 10.0);
    }

    #[test]
    fn server_unfit_within_a_second_is_not_counted_in_it() {
        let scenario = Scenario { seconds: 3.0, ..Scenario::default() };
        let mut arrivals = Arrivals::new(&scenario, &[1.0; 3]);
        for fit in [true, false, true] {
            (0..3).for_each(|server| arrivals.record(server));
            (0..3).for_each(|server| arrivals.end_second(server, server > 0 || fit));
        }
        assert_eq!(arrivals.windows.iter().map(Vec::len).collect::<Vec<_>>(), [3, 2, 2]);
    }

    #[test]
    fn lateness_above_the_tolerance_is_recorded() {
        let mut lateness = Lateness::new(100.0);
        (0..99).for_each(|n| lateness.record(f64::from(n), 1.0));
        assert_eq!(lateness.last_exceeded, 0.0);
        lateness.record(500.0, 250.0);
        assert_eq!(lateness.last_exceeded, 500.0);
        assert!(!lateness.finish().distorts_times() && lateness.finish().most_ms >= 249.0);
    }
}
