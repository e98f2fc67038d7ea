//! Service as the brief counts it (its sections 2 and 3), and what a report shows over time.

use fawnhill::Millis;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::account::{Added, Control};
use crate::clients::{ClientOutcome, Try};
use crate::rules::Violation;
use crate::scenario::Scenario;

/// Number of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Asked for by clients, each once.
    pub asked: u64,
    /// Served in the wanted time.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end, or nobody was reached.
    pub failed: u64,
    /// Left without an answer.
    pub left: u64,
}

/// A plan's part.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanFigures {
    /// Its name.
    pub plan: String,
    /// Worth served in time inside the quotas over worth asked for inside them.
    pub service: f64,
    /// Its requests.
    pub ends: OutcomeCounts,
    /// Quantiles of the time to an answer, in milliseconds: 0.5, 0.9, 0.99, 0.999.
    pub latency_ms: [f64; 4],
}

/// What a run came to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Name of the scenario.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// The one figure: weighted service less deductions; 0 if a rule was broken.
    pub score: f64,
    /// Service over the whole run.
    pub whole: f64,
    /// In its worst 10 s.
    pub worst_10s: f64,
    /// Of its worst-served plan.
    pub worst_plan: f64,
    /// Deductions, in points of service: over quota, failing late, wasted work, messages, crossing zones.
    pub deductions: [f64; 5],
    /// All requests.
    pub ends: OutcomeCounts,
    /// By plan.
    pub plans: Vec<PlanFigures>,
    /// Attempts sent to nodes.
    pub attempts: u64,
    /// Attempts a request that was sent on at all.
    pub attempts_a_try: f64,
    /// Messages between limiters sent, and those that did not arrive.
    pub messages: [u64; 2],
    /// Their bytes.
    pub message_bytes: u64,
    /// Share of the nodes' work whose answer nobody took in time.
    pub wasted: f64,
    /// Share of the nodes' work that was done for clients who had left by then.
    pub for_nobody: f64,
    /// Connections opened to nodes.
    pub connections: u64,
    /// Nodes that fell over.
    pub falls: u32,
    /// Rules broken, in all.
    pub broken_count: u64,
    /// The first of them.
    pub broken: Vec<Violation>,
    /// Events that the world went through.
    pub events: u64,
    /// Time added to requests; the virtual world fills it.
    #[serde(default)]
    pub added: Added,
    /// Messages and changes at a limiter; the virtual world fills it.
    #[serde(default)]
    pub control: Control,
}

/// One second of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// By plan: worth asked for inside the quotas in this second, and of that served in time.
    pub worth: Vec<[f64; 2]>,
    /// How requests ended in this second.
    pub ends: OutcomeCounts,
    /// Time to an answer, in milliseconds: 0.5 and 0.99 quantiles.
    pub latency_ms: [f64; 2],
    /// By node: share of its warm capacity that was worked.
    pub busy: Vec<f32>,
    /// By node: requests held at its end.
    pub held: Vec<f32>,
    /// By limiter: requests taken.
    pub taken: Vec<f32>,
    /// Messages sent between limiters.
    pub messages: u64,
}

/// What figures are made from while a run goes on.
pub struct Recorder {
    scenario: Scenario,
    from: Millis,
    seconds: Vec<Second>,
    now_ms: Vec<f64>,
    latencies: Vec<Histogram<u64>>,
    ends: Vec<OutcomeCounts>,
    over_cost: f64,
    asked_worth: f64,
    late_fails: f64,
    /// Counted by the world.
    pub attempts: u64,
    /// Tries that were sent on.
    pub tries_sent: u64,
    /// Attempts that left their limiter's building.
    pub cross_zone_attempts: u64,
    /// Messages sent, and those that did not arrive.
    pub messages: [u64; 2],
    /// Their bytes.
    pub message_bytes: u64,
    /// Work whose answer was taken.
    pub useful_work_ms: f64,
    /// Work done.
    pub completed_work_ms: f64,
    /// Work done for clients who had left by then.
    pub abandoned_work_ms: f64,
    /// Connections opened.
    pub connections: u64,
    /// Nodes fallen over.
    pub falls: u32,
}

/// Bytes of a full message.
const FULL_MESSAGE: f64 = 256.0;
/// Longest time to an answer that a histogram tells, in microseconds.
const LONGEST_US: u64 = 600_000_000;

fn over(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        1.0
    }
}

impl Recorder {
    /// Figures of a scenario that begins at `from`.
    pub fn new(scenario: &Scenario, from: Millis) -> Recorder {
        let plans = scenario.plans.len();
        let histogram =
            || Histogram::new_with_bounds(1, LONGEST_US, 3).unwrap_or_else(|_| unreachable!("legal bounds"));
        Recorder {
            from,
            seconds: Vec::new(),
            now_ms: Vec::new(),
            latencies: (0..plans).map(|_| histogram()).collect(),
            ends: vec![OutcomeCounts::default(); plans],
            over_cost: 0.0,
            asked_worth: 0.0,
            late_fails: 0.0,
            attempts: 0,
            tries_sent: 0,
            cross_zone_attempts: 0,
            messages: [0; 2],
            message_bytes: 0,
            useful_work_ms: 0.0,
            completed_work_ms: 0.0,
            abandoned_work_ms: 0.0,
            connections: 0,
            falls: 0,
            scenario: scenario.clone(),
        }
    }

    fn second(&mut self, at: Millis) -> &mut Second {
        let n = (((at - self.from) / 1000.0).max(0.0)) as usize;
        let s = &self.scenario;
        while self.seconds.len() <= n {
            self.seconds.push(Second {
                worth: vec![[0.0; 2]; s.plans.len()],
                taken: vec![0.0; s.limiters.count as usize],
                ..Second::default()
            });
        }
        &mut self.seconds[n]
    }

    /// A client asks, for the first time; `inside`: one bucket that saw all would let it in.
    pub fn request_made(&mut self, now: Millis, plan: usize, class: usize, inside: bool) {
        let worth = self.scenario.classes[class].worth * self.scenario.plans[plan].price;
        self.ends[plan].asked += 1;
        self.asked_worth += worth;
        let second = self.second(now);
        second.ends.asked += 1;
        if inside {
            second.worth[plan][0] += worth;
        }
    }

    /// A limiter takes a try.
    pub fn try_accepted(&mut self, now: Millis, limiter: usize) {
        self.second(now).taken[limiter] += 1.0;
    }

    /// A try is sent on for the first time.
    pub fn try_sent_on(&mut self, plan: usize, class: usize, inside: bool) {
        self.tries_sent += 1;
        if !inside {
            let p = &self.scenario.plans[plan];
            self.over_cost += p.over_cost * p.price * self.scenario.classes[class].worth;
        }
    }

    /// A message goes to a limiter.
    pub fn message_sent(&mut self, now: Millis, bytes: usize, arrives: bool) {
        self.messages[0] += 1;
        self.messages[1] += u64::from(!arrives);
        self.message_bytes += bytes as u64;
        self.second(now).messages += 1;
    }

    /// A request is over for its client; `inside`: the try that was sent on was inside the quota.
    pub fn finished(&mut self, now: Millis, plan: usize, last: &Try, outcome: ClientOutcome, inside: bool) {
        let class = &self.scenario.classes[last.class];
        let worth = class.worth * self.scenario.plans[plan].price;
        let took = now - last.asked;
        let in_time = took <= class.aim_s * 1000.0;
        let count = |ends: &mut OutcomeCounts| match outcome {
            ClientOutcome::Served if in_time => ends.in_time += 1,
            ClientOutcome::Served => ends.late += 1,
            ClientOutcome::Refused => ends.refused += 1,
            ClientOutcome::Failed => ends.failed += 1,
            ClientOutcome::Disconnected => ends.left += 1,
        };
        count(&mut self.ends[plan]);
        count(&mut self.second(now).ends);
        if outcome == ClientOutcome::Served {
            let us = (took * 1000.0).round() as u64;
            let _ = self.latencies[plan].record(us.clamp(1, LONGEST_US));
            self.now_ms.push(took);
            if in_time && inside {
                self.second(last.asked).worth[plan][1] += worth;
            }
        } else if !in_time {
            self.late_fails += worth;
        }
    }

    /// A second is over: what the nodes did in it.
    pub fn tick(&mut self, end: Millis, busy: Vec<f32>, held: Vec<f32>) {
        let mut now_ms = std::mem::take(&mut self.now_ms);
        now_ms.sort_by(f64::total_cmp);
        let at = |q: f64| {
            now_ms.get(((now_ms.len() as f64 * q) as usize).min(now_ms.len().saturating_sub(1))).copied()
        };
        let quantiles = [at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0)];
        let second = self.second(end - 1.0);
        (second.busy, second.held, second.latency_ms) = (busy, held, quantiles);
    }

    /// What it all came to.
    pub fn finish(
        self,
        seed: u64,
        broken: &[Violation],
        broken_count: u64,
        events: u64,
    ) -> (Figures, Vec<Second>) {
        let plans = self.scenario.plans.len();
        let capped = |seconds: &[Second], plan: usize| {
            let sum = |which: usize| seconds.iter().map(|s| s.worth[plan][which]).sum::<f64>();
            (sum(0), sum(1).min(sum(0)))
        };
        let service = |seconds: &[Second]| {
            let (asked, served) =
                (0..plans).map(|p| capped(seconds, p)).fold((0.0, 0.0), |s, c| (s.0 + c.0, s.1 + c.1));
            (asked, over(served, asked))
        };
        let (asked, whole) = service(&self.seconds);
        let busy = (self.scenario.seconds.ceil() as usize).min(self.seconds.len());
        let window = 10.min(busy.max(1));
        let worst_10s = self.seconds[..busy].windows(window).map(|w| service(w).1).fold(whole, f64::min);
        let by_plan: Vec<PlanFigures> = (0..plans)
            .map(|p| {
                let (asked, served) = capped(&self.seconds, p);
                let at = |q| self.latencies[p].value_at_quantile(q) as f64 / 1000.0;
                PlanFigures {
                    plan: self.scenario.plans[p].name.clone(),
                    service: over(served, asked),
                    ends: self.ends[p],
                    latency_ms: [at(0.5), at(0.9), at(0.99), at(0.999)],
                }
            })
            .collect();
        let used = by_plan.iter().filter(|p| p.ends.asked > 0);
        let worst_plan = used.map(|p| p.service).fold(1.0, f64::min);
        let ends = self.ends.iter().fold(OutcomeCounts::default(), |s, e| OutcomeCounts {
            asked: s.asked + e.asked,
            in_time: s.in_time + e.in_time,
            late: s.late + e.late,
            refused: s.refused + e.refused,
            failed: s.failed + e.failed,
            left: s.left + e.left,
        });
        let requests = ends.asked.max(1) as f64;
        let work = self.scenario.mean(|c| c.work_ms) * requests;
        let deductions = [
            100.0 * if asked > 0.0 { self.over_cost / asked } else { 0.0 },
            5.0 * if self.asked_worth > 0.0 { self.late_fails / self.asked_worth } else { 0.0 },
            3.0 * ((self.completed_work_ms - self.useful_work_ms).max(0.0) / work),
            2.0 * (self.message_bytes as f64 / FULL_MESSAGE / requests),
            0.5 * (self.cross_zone_attempts as f64 / requests),
        ];
        let weighted = 0.65 * whole + 0.20 * worst_10s + 0.15 * worst_plan;
        let score = weighted - deductions.iter().sum::<f64>() / 100.0;
        let figures = Figures {
            scenario: self.scenario.name.clone(),
            seed,
            score: if broken_count > 0 { 0.0 } else { score.max(0.0) },
            whole,
            worst_10s,
            worst_plan,
            deductions,
            ends,
            plans: by_plan,
            attempts: self.attempts,
            attempts_a_try: over(self.attempts as f64, self.tries_sent as f64),
            messages: self.messages,
            message_bytes: self.message_bytes,
            wasted: if self.completed_work_ms > 0.0 {
                1.0 - (self.useful_work_ms / self.completed_work_ms).min(1.0)
            } else {
                0.0
            },
            for_nobody: if self.completed_work_ms > 0.0 {
                self.abandoned_work_ms / self.completed_work_ms
            } else {
                0.0
            },
            connections: self.connections,
            falls: self.falls,
            broken_count,
            broken: broken.to_vec(),
            events,
            added: Added::default(),
            control: Control::default(),
        };
        (figures, self.seconds)
    }
}
