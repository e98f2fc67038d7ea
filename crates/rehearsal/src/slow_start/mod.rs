//! Checks that all limiters together keep to what a server in slow start can take.
//!
//! The judge observes what servers receive and never asks a limiter. Within each fall window a cold server may
//! receive N requests of mean work and a tolerance for chance, [`max_requests`]. N is the fall multiple times its
//! present capacity times the length of the window; the capacity grows from the cold share to one over the cold
//! time. A window that exceeds this is a breach if over two thirds of its requests came from limiters that had been
//! notified of the start.

mod trials;

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use fawnhill::Millis;
use rustc_hash::FxHashMap;

use crate::scenario::Nodes;
pub use trials::{full_trials, play, small_trials, Condition, Returning, Sizes, Trial, TrialResult};

/// Least number of judged windows from which a result without a breach counts as passed.
pub const MIN_CASES: u32 = 20;
/// Share of the requests in a window that has to come from limiters that had been notified of the start.
const NOTIFIED_SHARE: f64 = 2.0 / 3.0;
/// From this N on the tolerance for chance is the smaller one.
const LARGE_N: f64 = 30.0;
/// Rounding tolerance of sums of requests.
const ROUNDING_REQUESTS: f64 = 1e-9;

/// Largest number of requests of mean work that a cold server may receive within a fall window in which the settings
/// allow `n`.
pub fn max_requests(n: f64) -> f64 {
    if n < LARGE_N {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// What the settings say about the slow start of servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Share of its capacity that a server has when it has just started.
    pub cold_share: f64,
    /// Time from the start until the server is warm.
    pub cold_ms: Millis,
    /// A cold server falls at this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...within a window of this length.
    pub fall_ms: Millis,
}

impl Terms {
    /// The terms of a scenario's servers.
    pub fn of(nodes: &Nodes) -> Terms {
        Terms {
            cold_share: nodes.cold_share,
            cold_ms: nodes.cold_s * 1000.0,
            fall_multiple: nodes.fall_multiple,
            fall_ms: nodes.fall_s * 1000.0,
        }
    }

    /// N of the window that ends at an age, for a server that processes so many requests a second when warm. The
    /// capacity in the middle of the window stands for all of it; before its start a server counts as just started.
    pub fn allowed(&self, capacity_per_s: f64, age_ms: Millis) -> f64 {
        let middle = ((age_ms - self.fall_ms / 2.0) / self.cold_ms).clamp(0.0, 1.0);
        let share = self.cold_share + (1.0 - self.cold_share) * middle;
        self.fall_multiple * capacity_per_s * share * self.fall_ms / 1000.0
    }
}

/// A window of a cold server.
#[derive(Debug, Clone, PartialEq)]
pub struct Window {
    /// The server.
    pub server: usize,
    /// Its end.
    pub at: Millis,
    /// Age of the server at its end.
    pub age_ms: Millis,
    /// What the settings allow in it.
    pub n: f64,
    /// Requests of mean work that the server received in it.
    pub received: f64,
    /// Share of them from limiters that had been notified of the start.
    pub notified_share: f64,
    /// Number of requests by limiter, in the order of their positions.
    pub senders: Vec<(usize, u32)>,
}

impl Window {
    /// Received requests as a multiple of what the server may receive.
    pub fn ratio(&self) -> f64 {
        self.received / max_requests(self.n)
    }

    /// Whether the limiters overloaded the server and knew of its start.
    pub fn is_breach(&self) -> bool {
        self.exceeds() && self.is_notified()
    }

    fn exceeds(&self) -> bool {
        self.received > max_requests(self.n) + ROUNDING_REQUESTS
    }

    fn is_notified(&self) -> bool {
        self.notified_share > NOTIFIED_SHARE
    }
}

/// Result of the judgement of one run or of several.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// Starts of servers.
    pub starts: u32,
    /// Judged windows: the time after each start, cut into fall windows, counts as far as the server received
    /// requests of notified limiters.
    pub cases: u32,
    /// Requests that cold servers received.
    pub requests: u64,
    /// Smallest and largest N of a judged window.
    pub n_range: Option<(f64, f64)>,
    /// The judged window with the highest ratio.
    pub worst: Option<Window>,
    /// Cases with a breach, each with its worst window.
    pub breaches: Vec<Window>,
    /// Cases that exceeded the bound by requests of limiters that had not been notified.
    pub unnotified: u32,
}

/// Verdict on findings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No breach in enough cases.
    Passed,
    /// No breach, but fewer than [`MIN_CASES`] cases.
    TooFew,
    /// At least one breach.
    Breached,
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Verdict::Passed => "passed",
            Verdict::TooFew => "too few",
            Verdict::Breached => "BREACHED",
        })
    }
}

impl Findings {
    /// The verdict.
    pub fn verdict(&self) -> Verdict {
        match self.cases {
            _ if !self.breaches.is_empty() => Verdict::Breached,
            cases if cases < MIN_CASES => Verdict::TooFew,
            _ => Verdict::Passed,
        }
    }

    /// Highest ratio of received to allowed requests; 0 without a case.
    pub fn worst_ratio(&self) -> f64 {
        self.worst.as_ref().map_or(0.0, Window::ratio)
    }

    /// Adds the findings of another run.
    pub fn merge(&mut self, other: Findings) {
        if other.worst_ratio() > self.worst_ratio() {
            self.worst = other.worst;
        }
        self.starts += other.starts;
        self.cases += other.cases;
        self.requests += other.requests;
        self.unnotified += other.unnotified;
        self.breaches.extend(other.breaches);
        for n in other.n_range.into_iter().flat_map(|(low, high)| [low, high]) {
            self.include_n(n);
        }
    }

    fn include_n(&mut self, n: f64) {
        let (low, high) = self.n_range.unwrap_or((n, n));
        self.n_range = Some((low.min(n), high.max(n)));
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Millis,
    limiter: usize,
    notified: bool,
    requests: f64,
}

/// The current case of a cold server.
#[derive(Debug, Default)]
struct Case {
    index: u32,
    is_judged: bool,
    is_unnotified: bool,
    worst: Option<Window>,
}

#[derive(Debug)]
struct ColdServer {
    started: Millis,
    capacity_per_s: f64,
    recent: VecDeque<Arrival>,
    case: Case,
}

/// Observes what cold servers receive.
#[derive(Debug)]
pub struct Judge {
    terms: Terms,
    cold: FxHashMap<usize, ColdServer>,
    findings: Findings,
}

impl Judge {
    /// Creates a judge that has seen no server.
    pub fn new(terms: Terms) -> Judge {
        Judge { terms, cold: FxHashMap::default(), findings: Findings::default() }
    }

    /// A server has started, cold. It processes so many requests of mean work a second when warm.
    pub fn server_started(&mut self, now: Millis, server: usize, capacity_per_s: f64) {
        self.server_exited(server);
        self.findings.starts += 1;
        let cold =
            ColdServer { started: now, capacity_per_s, recent: VecDeque::new(), case: Case::default() };
        self.cold.insert(server, cold);
    }

    /// A server's process has ended.
    pub fn server_exited(&mut self, server: usize) {
        if let Some(mut cold) = self.cold.remove(&server) {
            self.findings.close(&mut cold.case);
        }
    }

    /// A server has received a request of `requests` times the mean work. `notified` says whether its limiter had been
    /// notified of the server's start.
    pub fn request_arrived(
        &mut self,
        now: Millis,
        server: usize,
        limiter: usize,
        notified: bool,
        requests: f64,
    ) {
        let Some(cold) = self.cold.get_mut(&server) else { return };
        let age_ms = now - cold.started;
        if age_ms >= self.terms.cold_ms {
            return self.server_exited(server);
        }
        self.findings.requests += 1;
        cold.recent.push_back(Arrival { at: now, limiter, notified, requests });
        while cold.recent.front().is_some_and(|arrival| now - arrival.at > self.terms.fall_ms) {
            cold.recent.pop_front();
        }
        let index = (age_ms / self.terms.fall_ms) as u32;
        if index != cold.case.index {
            self.findings.close(&mut cold.case);
            cold.case.index = index;
        }
        let n = self.terms.allowed(cold.capacity_per_s, age_ms);
        let window = window(server, now, age_ms, n, &cold.recent);
        if window.is_notified() {
            self.findings.include_n(n);
            cold.case.is_judged = true;
            if cold.case.worst.as_ref().is_none_or(|worst| window.ratio() > worst.ratio()) {
                cold.case.worst = Some(window);
            }
        } else if window.exceeds() {
            cold.case.is_unnotified = true;
        }
    }

    /// Whether a server is cold now.
    pub fn is_cold(&self, now: Millis, server: usize) -> bool {
        self.cold.get(&server).is_some_and(|cold| now - cold.started < self.terms.cold_ms)
    }

    /// Whether a cold server may receive one more request of mean work within its bound.
    pub fn has_room(&self, now: Millis, server: usize) -> bool {
        let Some(cold) = self.cold.get(&server).filter(|_| self.is_cold(now, server)) else { return false };
        let recent = cold.recent.iter().filter(|arrival| now - arrival.at <= self.terms.fall_ms);
        let received: f64 = recent.map(|arrival| arrival.requests).sum();
        received + 1.0 <= max_requests(self.terms.allowed(cold.capacity_per_s, now - cold.started))
    }

    /// Ends the observation.
    pub fn finish(mut self) -> Findings {
        let mut servers: Vec<usize> = self.cold.keys().copied().collect();
        servers.sort_unstable();
        servers.into_iter().for_each(|server| self.server_exited(server));
        self.findings
    }
}

impl Findings {
    /// Adds a case that is over.
    fn close(&mut self, case: &mut Case) {
        let Case { is_judged, is_unnotified, worst, .. } = std::mem::take(case);
        self.cases += u32::from(is_judged);
        self.unnotified += u32::from(is_unnotified);
        let Some(worst) = worst else { return };
        if worst.is_breach() {
            self.breaches.push(worst.clone());
        }
        if worst.ratio() > self.worst_ratio() {
            self.worst = Some(worst);
        }
    }
}

fn window(server: usize, at: Millis, age_ms: Millis, n: f64, recent: &VecDeque<Arrival>) -> Window {
    let received: f64 = recent.iter().map(|arrival| arrival.requests).sum();
    let notified: f64 =
        recent.iter().filter(|arrival| arrival.notified).map(|arrival| arrival.requests).sum();
    let mut senders: Vec<(usize, u32)> = Vec::new();
    for arrival in recent {
        match senders.iter_mut().find(|(limiter, _)| *limiter == arrival.limiter) {
            Some((_, count)) => *count += 1,
            None => senders.push((arrival.limiter, 1)),
        }
    }
    senders.sort_unstable();
    Window { server, at, age_ms, n, received, notified_share: notified / received, senders }
}
