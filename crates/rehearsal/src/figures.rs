//! Figures of the service that a run provided, for the whole run and for each second.

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
    /// Requests made by clients; retries do not count.
    pub asked: u64,
    /// Served within the target latency.
    pub in_time: u64,
    /// Served after the target latency.
    pub late: u64,
    /// Refused at the last try.
    pub refused: u64,
    /// Failed at the last try, or no limiter was reached.
    pub failed: u64,
    /// Disconnected without an answer.
    pub left: u64,
}

/// Figures of a plan.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanFigures {
    /// Name of the plan.
    pub plan: String,
    /// Worth served in time inside the quotas, divided by worth requested inside them.
    pub service: f64,
    /// Outcomes of its requests.
    pub ends: OutcomeCounts,
    /// Quantiles 0.5, 0.9, 0.99 and 0.999 of the latency of served requests, in milliseconds.
    pub latency_ms: [f64; 4],
}

/// Figures of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Overall score: weighted service minus deductions; 0 if a rule was broken.
    pub score: f64,
    /// Service over the whole run.
    pub whole: f64,
    /// Service in the worst 10 s.
    pub worst_10s: f64,
    /// Service of the plan with the worst service.
    pub worst_plan: f64,
    /// Deductions, in points of service: over quota, failing late, wasted work, messages, crossing zones.
    pub deductions: [f64; 5],
    /// Outcomes of all requests.
    pub ends: OutcomeCounts,
    /// Figures by plan.
    pub plans: Vec<PlanFigures>,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Attempts per try that was sent on.
    pub attempts_a_try: f64,
    /// Messages sent between limiters, and messages that were not received.
    pub messages: [u64; 2],
    /// Bytes of all messages sent.
    pub message_bytes: u64,
    /// Share of the servers' work whose answer no client received in time.
    pub wasted: f64,
    /// Share of the servers' work that was done after the client had disconnected.
    pub for_nobody: f64,
    /// Connections opened to servers.
    pub connections: u64,
    /// Servers that failed from overload.
    pub falls: u32,
    /// Number of all violations of rules.
    pub broken_count: u64,
    /// The first violations.
    pub broken: Vec<Violation>,
    /// Events that the world handled.
    pub events: u64,
    /// Time added to requests; only measured in the virtual world.
    #[serde(default)]
    pub added: Added,
    /// Control messages and server list changes; only measured in the virtual world.
    #[serde(default)]
    pub control: Control,
}

/// Figures of one second of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// By plan: worth requested inside the quotas in this second, and the part of it that was served in time.
    pub worth: Vec<[f64; 2]>,
    /// Outcomes of requests in this second.
    pub ends: OutcomeCounts,
    /// Quantiles 0.5 and 0.99 of the latency of served requests, in milliseconds.
    pub latency_ms: [f64; 2],
    /// By server: share of its warm capacity that was used.
    pub busy: Vec<f32>,
    /// By server: requests held at the end of the second.
    pub held: Vec<f32>,
    /// By limiter: tries accepted.
    pub taken: Vec<f32>,
    /// Messages sent between limiters.
    pub messages: u64,
}

/// Collects figures during a run.
pub struct Recorder {
    scenario: Scenario,
    from: Millis,
    seconds: Vec<Second>,
    second_latencies_ms: Vec<f64>,
    latencies: Vec<Histogram<u64>>,
    ends: Vec<OutcomeCounts>,
    over_quota_cost: f64,
    requested_worth: f64,
    late_failure_worth: f64,
    /// Attempts sent to servers. The caller updates this and the following counts.
    pub attempts: u64,
    /// Tries that were sent on.
    pub tries_sent: u64,
    /// Attempts sent to a server in another zone.
    pub cross_zone_attempts: u64,
    /// Messages sent, and messages that were not received.
    pub messages: [u64; 2],
    /// Bytes of all messages sent.
    pub message_bytes: u64,
    /// Work whose answer a client received.
    pub useful_work_ms: f64,
    /// All work done.
    pub completed_work_ms: f64,
    /// Work done after the client had disconnected.
    pub abandoned_work_ms: f64,
    /// Connections opened.
    pub connections: u64,
    /// Servers that failed from overload.
    pub overload_failures: u32,
}

/// Size of a full message, by which the deduction for messages is scaled.
const FULL_MESSAGE_BYTES: f64 = 256.0;
/// Maximum recorded latency, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        1.0
    }
}

impl Recorder {
    /// Creates the recorder of a scenario that begins at `from`.
    pub fn new(scenario: &Scenario, from: Millis) -> Recorder {
        let plans = scenario.plans.len();
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!("legal bounds"))
        };
        Recorder {
            from,
            seconds: Vec::new(),
            second_latencies_ms: Vec::new(),
            latencies: (0..plans).map(|_| histogram()).collect(),
            ends: vec![OutcomeCounts::default(); plans],
            over_quota_cost: 0.0,
            requested_worth: 0.0,
            late_failure_worth: 0.0,
            attempts: 0,
            tries_sent: 0,
            cross_zone_attempts: 0,
            messages: [0; 2],
            message_bytes: 0,
            useful_work_ms: 0.0,
            completed_work_ms: 0.0,
            abandoned_work_ms: 0.0,
            connections: 0,
            overload_failures: 0,
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

    /// A client makes a request. `inside` is set if a single token bucket for all its customer's requests admits it.
    pub fn request_made(&mut self, now: Millis, plan: usize, class: usize, inside: bool) {
        let worth = self.scenario.classes[class].worth * self.scenario.plans[plan].price;
        self.ends[plan].asked += 1;
        self.requested_worth += worth;
        let second = self.second(now);
        second.ends.asked += 1;
        if inside {
            second.worth[plan][0] += worth;
        }
    }

    /// A limiter has accepted a try.
    pub fn try_accepted(&mut self, now: Millis, limiter: usize) {
        self.second(now).taken[limiter] += 1.0;
    }

    /// A limiter has sent the first attempt of a try. `inside` is set if the try was inside the quota.
    pub fn try_sent_on(&mut self, plan: usize, class: usize, inside: bool) {
        self.tries_sent += 1;
        if !inside {
            let p = &self.scenario.plans[plan];
            self.over_quota_cost += p.over_cost * p.price * self.scenario.classes[class].worth;
        }
    }

    /// A limiter has sent a message. `arrives` is false if the network loses it.
    pub fn message_sent(&mut self, now: Millis, bytes: usize, arrives: bool) {
        self.messages[0] += 1;
        self.messages[1] += u64::from(!arrives);
        self.message_bytes += bytes as u64;
        self.second(now).messages += 1;
    }

    /// A request is finished for its client. `inside` is set if a try that was sent on was inside the quota.
    pub fn finished(&mut self, now: Millis, plan: usize, last: &Try, outcome: ClientOutcome, inside: bool) {
        let class = &self.scenario.classes[last.class];
        let worth = class.worth * self.scenario.plans[plan].price;
        let elapsed_ms = now - last.requested_at;
        let in_time = elapsed_ms <= class.aim_s * 1000.0;
        let add_outcome = |ends: &mut OutcomeCounts| match outcome {
            ClientOutcome::Served if in_time => ends.in_time += 1,
            ClientOutcome::Served => ends.late += 1,
            ClientOutcome::Refused => ends.refused += 1,
            ClientOutcome::Failed => ends.failed += 1,
            ClientOutcome::Disconnected => ends.left += 1,
        };
        add_outcome(&mut self.ends[plan]);
        add_outcome(&mut self.second(now).ends);
        if outcome == ClientOutcome::Served {
            let us = (elapsed_ms * 1000.0).round() as u64;
            let _ = self.latencies[plan].record(us.clamp(1, MAX_LATENCY_US));
            self.second_latencies_ms.push(elapsed_ms);
            if in_time && inside {
                self.second(last.requested_at).worth[plan][1] += worth;
            }
        } else if !in_time {
            self.late_failure_worth += worth;
        }
    }

    /// A second has ended, in which the servers were busy and held requests as given.
    pub fn tick(&mut self, end: Millis, busy: Vec<f32>, held: Vec<f32>) {
        let mut latencies = std::mem::take(&mut self.second_latencies_ms);
        latencies.sort_by(f64::total_cmp);
        let at = |q: f64| {
            latencies
                .get(((latencies.len() as f64 * q) as usize).min(latencies.len().saturating_sub(1)))
                .copied()
        };
        let quantiles = [at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0)];
        let second = self.second(end - 1.0);
        (second.busy, second.held, second.latency_ms) = (busy, held, quantiles);
    }

    /// Returns the figures of the run and of each second.
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
            (asked, ratio(served, asked))
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
                    service: ratio(served, asked),
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
            100.0 * if asked > 0.0 { self.over_quota_cost / asked } else { 0.0 },
            5.0 * if self.requested_worth > 0.0 {
                self.late_failure_worth / self.requested_worth
            } else {
                0.0
            },
            3.0 * ((self.completed_work_ms - self.useful_work_ms).max(0.0) / work),
            2.0 * (self.message_bytes as f64 / FULL_MESSAGE_BYTES / requests),
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
            attempts_a_try: ratio(self.attempts as f64, self.tries_sent as f64),
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
            falls: self.overload_failures,
            broken_count,
            broken: broken.to_vec(),
            events,
            added: Added::default(),
            control: Control::default(),
        };
        (figures, self.seconds)
    }
}
