//! The oracle, which checks every attempt, outcome and answer of all limiters against the five rules.
//!
//! It keeps its own records (token buckets, outstanding attempts, notices that limiters received) and never queries
//! the limiters, so that a fault of a limiter cannot hide in that limiter's own figures.

use fawnhill::{Millis, Outcome};
use marldeal_engine::Answer;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::clients::ANSWER_SLACK_MS;
use crate::scenario::{Repeats, Scenario};

/// The five rules, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every accepted request gets one final answer in time.
    Answer,
    /// No request takes effect twice or has two outstanding attempts.
    Effect,
    /// A server gets no new requests later than 1 s after the notice that it drains or was removed.
    Drain,
    /// No cold server is overloaded until it fails.
    Cold,
    /// No customer exceeds its ceiling.
    Ceiling,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it happened, in seconds of the scenario.
    pub at_s: f64,
    /// Description of the violation.
    pub what: String,
}

/// A token bucket that starts full. The rate per second and the capacity are arguments of each call.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    level: f64,
    at: Millis,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens.
    pub fn full(now: Millis, level: f64) -> TokenBucket {
        TokenBucket { level, at: now }
    }

    fn level_at(&self, now: Millis, rate: f64, capacity: f64) -> f64 {
        (self.level + rate * (now - self.at).max(0.0) / 1000.0).min(capacity)
    }

    /// Takes tokens if the bucket holds enough. Returns whether it does.
    pub fn take(&mut self, now: Millis, rate: f64, capacity: f64, units: f64) -> bool {
        let level = self.level_at(now, rate, capacity);
        let sufficient = level + 1e-9 >= units;
        *self = TokenBucket { level: level - if sufficient { units } else { 0.0 }, at: now };
        sufficient
    }

    /// Whether the bucket holds enough tokens.
    pub fn holds(&self, now: Millis, rate: f64, capacity: f64, units: f64) -> bool {
        self.level_at(now, rate, capacity) + 1e-9 >= units
    }

    /// Takes tokens whether or not the bucket holds enough, and returns the balance, which may be negative.
    pub fn withdraw(&mut self, now: Millis, rate: f64, capacity: f64, units: f64) -> f64 {
        *self = TokenBucket { level: self.level_at(now, rate, capacity) - units, at: now };
        self.level
    }
}

#[derive(Debug, Clone, Copy)]
struct Customer {
    plan: u32,
    quota: TokenBucket,
    ceiling: TokenBucket,
}

#[derive(Debug, Clone)]
struct OpenTry {
    class: usize,
    customer: usize,
    limiter: usize,
    deadline: Millis,
    sent: bool,
    outstanding: u32,
    /// When the first attempt was sent that may have run.
    may_have_run: Option<Millis>,
    answered: bool,
    /// The deadline is not checked, because the limiter was stalled or the client disconnected.
    excused: bool,
}

/// What servers have done with a request.
#[derive(Debug, Clone, Copy)]
struct Effect {
    first: Millis,
    held: u32,
    ran: bool,
}

/// Maximum number of violations that are recorded; all are counted.
const MAX_RECORDED_VIOLATIONS: usize = 100;
/// Time after the notice that a server drains or was removed, during which requests may still be sent to it.
const DRAIN_GRACE_MS: Millis = 1000.0;
/// Maximum delay with which an oracle at the servers' sockets observes what a limiter did.
pub const OBSERVATION_DELAY_MS: Millis = 150.0;
/// Share of the work from limiters that had been notified of a server's start, from which they are blamed for its
/// failure.
const BLAMED_SHARE: f64 = 2.0 / 3.0;

/// Checks the five rules; see the module documentation.
pub struct Oracle {
    scenario: Scenario,
    from: Millis,
    customers: Vec<Customer>,
    tries: FxHashMap<u64, OpenTry>,
    effects: FxHashMap<u64, Effect>,
    /// By limiter and server, when the limiter was notified that the server accepts no new requests.
    not_accepting_since: Vec<Vec<Option<Millis>>>,
    violations: Vec<Violation>,
    violation_count: u64,
    /// Attempts are observed at the servers, with a small delay and not always in order.
    delayed_observation: bool,
}

impl Oracle {
    /// Creates the oracle of a scenario that begins at `from`.
    pub fn new(scenario: &Scenario, from: Millis) -> Oracle {
        let server_count = scenario.nodes.count as usize;
        Oracle {
            from,
            customers: Vec::new(),
            tries: FxHashMap::default(),
            effects: FxHashMap::default(),
            not_accepting_since: vec![vec![None; server_count]; scenario.limiters.count as usize],
            violations: Vec::new(),
            violation_count: 0,
            delayed_observation: false,
            scenario: scenario.clone(),
        }
    }

    /// Creates an oracle that observes attempts when they arrive at servers. It allows [`OBSERVATION_DELAY_MS`] more
    /// for each time limit, and does not check whether an attempt had ended before the next began.
    pub fn with_delayed_observation(scenario: &Scenario, from: Millis) -> Oracle {
        Oracle { delayed_observation: true, ..Oracle::new(scenario, from) }
    }

    fn observation_delay_ms(&self) -> Millis {
        if self.delayed_observation {
            OBSERVATION_DELAY_MS
        } else {
            0.0
        }
    }

    /// Adds the next customer, in the order of their indices, with a plan and full token buckets.
    pub fn add_customer(&mut self, now: Millis, plan: usize) {
        let quota = TokenBucket::full(now, self.scenario.quota(plan).1);
        let ceiling = TokenBucket::full(now, self.ceiling(plan).1);
        self.customers.push(Customer { plan: plan as u32, quota, ceiling });
    }

    fn ceiling(&self, plan: usize) -> (f64, f64, f64) {
        let plan_settings = &self.scenario.plans[plan];
        let largest = self.scenario.largest_request_units();
        let burst = plan_settings.ceiling * plan_settings.rate * plan_settings.burst_s;
        (plan_settings.ceiling * plan_settings.rate, burst.max(largest), (0.1 * burst).max(largest))
    }

    fn add_violation(&mut self, rule: Rule, now: Millis, what: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(Violation { rule, at_s: (now - self.from) / 1000.0, what });
        }
    }

    /// Records a violation that was detected elsewhere.
    pub fn record_violation(&mut self, rule: Rule, now: Millis, what: String) {
        self.add_violation(rule, now, what);
    }

    /// The recorded violations, the first ones.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of all violations.
    pub fn violation_count(&self) -> u64 {
        self.violation_count
    }

    /// A limiter has accepted a try.
    pub fn try_accepted(
        &mut self,
        try_id: u64,
        customer: usize,
        class: usize,
        limiter: usize,
        deadline: Millis,
    ) {
        let open = OpenTry {
            class,
            customer,
            limiter,
            deadline,
            sent: false,
            outstanding: 0,
            may_have_run: None,
            answered: false,
            excused: false,
        };
        self.tries.insert(try_id, open);
    }

    /// A limiter has sent an attempt. For the first attempt of a try, returns whether its units were inside the
    /// quota.
    pub fn attempt_sent(&mut self, now: Millis, try_id: u64, server: usize) -> Option<bool> {
        if self.delayed_observation && !self.tries.contains_key(&try_id) {
            return None;
        }
        let Some(open) = self.tries.get_mut(&try_id) else {
            self.add_violation(Rule::Answer, now, format!("try {try_id}: sent on although it is finished"));
            return None;
        };
        let (limiter, customer, class) = (open.limiter, open.customer, open.class);
        let excused = open.excused || self.delayed_observation;
        let (answered, another_outstanding, since) =
            (open.answered && !excused, open.outstanding > 0, open.may_have_run);
        let first = !std::mem::replace(&mut open.sent, true);
        open.outstanding += 1;
        if answered {
            self.add_violation(
                Rule::Answer,
                now,
                format!("limiter {limiter}, try {try_id}: sent on after its answer"),
            );
        }
        if another_outstanding && !self.delayed_observation {
            self.add_violation(
                Rule::Effect,
                now,
                format!("limiter {limiter}, try {try_id}: two outstanding attempts"),
            );
        }
        let class_settings = &self.scenario.classes[class];
        let unsafe_repeat = since.is_some_and(|s| match class_settings.repeats {
            Repeats::Safe => false,
            Repeats::Keyed => now - s > class_settings.window_s * 1000.0,
            Repeats::Unsafe => true,
        });
        if unsafe_repeat {
            let what = format!(
                "limiter {limiter}, try {try_id} of {}: sent again though it may have run",
                class_settings.name
            );
            self.add_violation(Rule::Effect, now, what);
        }
        if let Some(since) = self.not_accepting_since[limiter][server]
            .filter(|t| now - t > DRAIN_GRACE_MS + self.observation_delay_ms())
        {
            let what =
                format!("limiter {limiter}: sends to server {server} {:.0} ms after the notice", now - since);
            self.add_violation(Rule::Drain, now, what);
        }
        first.then(|| self.charge_customer(now, customer, class))
    }

    fn charge_customer(&mut self, now: Millis, customer: usize, class: usize) -> bool {
        let plan = self.customers[customer].plan as usize;
        let units = self.scenario.classes[class].units;
        let (rate, capacity) = self.scenario.quota(plan);
        let inside = self.customers[customer].quota.take(now, rate, capacity, units);
        if self.scenario.plans[plan].ceiling > 0.0 {
            let (rate, capacity, slack) = self.ceiling(plan);
            let balance = self.customers[customer].ceiling.withdraw(now, rate, capacity, units);
            if balance < -slack - rate * self.observation_delay_ms() / 1000.0 - 1e-6 {
                let what =
                    format!("customer {customer}: {:.1} units past its ceiling, slack {slack:.1}", -balance);
                self.add_violation(Rule::Ceiling, now, what);
            }
        }
        inside
    }

    /// A limiter has received the outcome of an attempt.
    pub fn attempt_ended(&mut self, try_id: u64, sent: Millis, outcome: Outcome) {
        let Some(open) = self.tries.get_mut(&try_id) else { return };
        open.outstanding = open.outstanding.saturating_sub(1);
        if !matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent) {
            open.may_have_run = Some(open.may_have_run.unwrap_or(sent));
        }
        self.remove_if_finished(try_id);
    }

    /// A limiter gives its final answer. `excused` is set if it was stalled and could not answer in time.
    pub fn try_answered(&mut self, now: Millis, try_id: u64, answer: Answer, excused: bool) {
        let Some(open) = self.tries.get_mut(&try_id) else {
            if excused {
                return;
            }
            return self.add_violation(
                Rule::Answer,
                now,
                format!("try {try_id}: answered although it is finished"),
            );
        };
        let excused = excused || open.excused;
        let (repeated, late, limiter) = (open.answered && !excused, now - open.deadline, open.limiter);
        let unsafe_refused = matches!(answer, Answer::Refused { .. })
            && open.may_have_run.is_some()
            && self.scenario.classes[open.class].repeats == Repeats::Unsafe;
        open.answered = true;
        if repeated {
            self.add_violation(
                Rule::Answer,
                now,
                format!("limiter {limiter}, try {try_id}: a second final answer"),
            );
        }
        if late > ANSWER_SLACK_MS + self.observation_delay_ms() && !excused {
            self.add_violation(
                Rule::Answer,
                now,
                format!("limiter {limiter}, try {try_id}: answered {late:.0} ms late"),
            );
        }
        if unsafe_refused {
            self.add_violation(
                Rule::Effect,
                now,
                format!("limiter {limiter}, try {try_id}: refused although it may have run"),
            );
        }
        self.remove_if_finished(try_id);
    }

    /// The client closes its connection. `excused` is set if its limiter was killed or stalled. What the limiter does
    /// until it receives the disconnect is not a violation.
    pub fn client_disconnected(&mut self, now: Millis, try_id: u64, excused: bool) {
        let observation_delay_ms = self.observation_delay_ms();
        let Some(open) = self.tries.get_mut(&try_id) else { return };
        let (limiter, late) = (open.limiter, now - open.deadline);
        let overdue = !open.answered && !excused && late >= ANSWER_SLACK_MS + observation_delay_ms - 1.0;
        open.excused = true;
        if overdue {
            self.add_violation(
                Rule::Answer,
                now,
                format!("limiter {limiter}, try {try_id}: no answer before its deadline"),
            );
        }
    }

    /// The limiter has received the disconnect of the client.
    pub fn disconnect_received(&mut self, try_id: u64) {
        let Some(open) = self.tries.get_mut(&try_id) else { return };
        (open.answered, open.excused) = (true, false);
        self.remove_if_finished(try_id);
    }

    fn remove_if_finished(&mut self, try_id: u64) {
        if self.tries.get(&try_id).is_some_and(|o| o.answered && o.outstanding == 0) {
            self.tries.remove(&try_id);
        }
    }

    /// A limiter has exited; its clients have to retry the requests that it held.
    pub fn limiter_exited(&mut self, limiter: usize) {
        self.tries.retain(|_, open| open.limiter != limiter);
    }

    /// A limiter is notified whether a server accepts new requests.
    pub fn server_notice(&mut self, now: Millis, limiter: usize, server: usize, accepting: bool) {
        let since = &mut self.not_accepting_since[limiter][server];
        *since = if accepting { None } else { since.or(Some(now)) };
    }

    /// A cold server has failed from overload.
    pub fn server_overloaded(&mut self, now: Millis, server: usize, notified_share: f64) {
        if notified_share >= BLAMED_SHARE {
            let what = format!(
                "server {server}: pushed over while cold, {:.0}% by limiters notified of its start",
                notified_share * 100.0
            );
            self.add_violation(Rule::Cold, now, what);
        }
    }

    /// A request has reached a server. Returns true if the server drops it as a repeat of a request that some server
    /// holds or has completed.
    pub fn attempt_arrived(&mut self, now: Millis, job: u64, class: usize) -> bool {
        let class_settings = &self.scenario.classes[class];
        if class_settings.repeats == Repeats::Safe {
            return false;
        }
        let window = class_settings.window_s * 1000.0;
        let effect = self.effects.entry(job).or_insert(Effect { first: now, held: 0, ran: false });
        let known = effect.ran || effect.held > 0;
        let repeat = class_settings.repeats == Repeats::Keyed && known && now - effect.first <= window;
        if !known {
            effect.first = now;
        }
        effect.held += 1;
        repeat
    }

    /// A server has completed a request, or has dropped it (`ran` is false then).
    pub fn attempt_left_server(&mut self, now: Millis, job: u64, repeat: bool, ran: bool) {
        let Some(effect) = self.effects.get_mut(&job) else { return };
        effect.held = effect.held.saturating_sub(1);
        let twice = ran && !repeat && effect.ran;
        // A dropped repeat has no effect of its own.
        effect.ran |= ran && !repeat;
        if !effect.ran && effect.held == 0 {
            self.effects.remove(&job);
        }
        if twice {
            self.add_violation(Rule::Effect, now, format!("request {job}: has taken effect twice"));
        }
    }

    /// Removes records of effects that no repeat can refer to any more.
    pub fn expire_effects(&mut self, now: Millis) {
        let window =
            self.scenario.classes.iter().map(|c| c.window_s.max(c.give_up_s)).fold(0.0, f64::max) * 2000.0;
        self.effects.retain(|_, e| e.held > 0 || now - e.first < window);
    }
}
