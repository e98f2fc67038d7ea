//! The oracle: sees every send, outcome and answer of all limiters, and holds them against the five rules of the brief.
//!
//! It keeps its own books (stores of units, attempts out, what limiters were told) and asks the limiters nothing, so
//! that a fault of theirs cannot hide in figures of theirs.

use fawnhill::{Millis, Outcome};
use marldeal_engine::Answer;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::clients::ANSWER_SLACK_MS;
use crate::scenario::{Repeats, Scenario};

/// The five rules, as the brief numbers them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One final answer for every request taken, in time.
    Answer,
    /// No effect twice, never two attempts out.
    Effect,
    /// Nothing new to a node later than 1 s after the notice.
    Drain,
    /// No cold node pushed over.
    Cold,
    /// No ceiling passed.
    Ceiling,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When, in seconds of the scenario.
    pub at_s: f64,
    /// What happened.
    pub what: String,
}

/// A store of units that starts full, fills at a rate and holds so much at most.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    level: f64,
    at: Millis,
}

impl TokenBucket {
    /// A store that is full.
    pub fn full(now: Millis, level: f64) -> TokenBucket {
        TokenBucket { level, at: now }
    }

    fn filled(&self, now: Millis, rate: f64, most: f64) -> f64 {
        (self.level + rate * (now - self.at).max(0.0) / 1000.0).min(most)
    }

    /// Takes units if it holds them.
    pub fn take(&mut self, now: Millis, rate: f64, most: f64, units: f64) -> bool {
        let level = self.filled(now, rate, most);
        let holds = level + 1e-9 >= units;
        *self = TokenBucket { level: level - if holds { units } else { 0.0 }, at: now };
        holds
    }

    /// Takes units whether it holds them or not; what is left.
    pub fn draw(&mut self, now: Millis, rate: f64, most: f64, units: f64) -> f64 {
        *self = TokenBucket { level: self.filled(now, rate, most) - units, at: now };
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
struct Open {
    class: usize,
    customer: usize,
    limiter: usize,
    deadline: Millis,
    sent: bool,
    out: u32,
    /// Since when an attempt of it may have run.
    may_have_run: Option<Millis>,
    answered: bool,
    /// Its limiter stood still: its deadline binds nobody.
    excused: bool,
}

/// What nodes have done with a key.
#[derive(Debug, Clone, Copy)]
struct Effect {
    first: Millis,
    held: u32,
    ran: bool,
}

/// Most broken rules that are written down.
const MOST: usize = 100;
/// Rule 1.1 of the brief: grace after the notice.
const DRAIN_GRACE_MS: Millis = 1000.0;
/// How much later an oracle on sockets may see what a limiter did.
pub const OBSERVATION_DELAY_MS: Millis = 150.0;
/// Share of the pushes by limiters who were told of the start, from which a fall is theirs.
const TOLD_SHARE: f64 = 2.0 / 3.0;

/// See the module's head.
pub struct Oracle {
    scenario: Scenario,
    from: Millis,
    customers: Vec<Customer>,
    tries: FxHashMap<u64, Open>,
    effects: FxHashMap<u64, Effect>,
    /// By limiter and node: since when it is told that the node takes nothing new.
    told: Vec<Vec<Option<Millis>>>,
    broken: Vec<Violation>,
    count: u64,
    /// Attempts are seen where they arrive, a little late and not always in their order.
    delayed_observation: bool,
}

impl Oracle {
    /// An oracle over a scenario that begins at `from`.
    pub fn new(scenario: &Scenario, from: Millis) -> Oracle {
        let nodes = scenario.nodes.count as usize;
        Oracle {
            from,
            customers: Vec::new(),
            tries: FxHashMap::default(),
            effects: FxHashMap::default(),
            told: vec![vec![None; nodes]; scenario.limiters.count as usize],
            broken: Vec::new(),
            count: 0,
            delayed_observation: false,
            scenario: scenario.clone(),
        }
    }

    /// An oracle that sees attempts when they arrive at nodes: its clock is wider by [`OBSERVATION_DELAY_MS`], and it does not judge
    /// whether one attempt was over before the next began.
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

    /// The next customer, in the order of their numbers, is on that plan; its stores are full.
    pub fn add_customer(&mut self, now: Millis, plan: usize) {
        let quota = TokenBucket::full(now, self.scenario.quota(plan).1);
        let ceiling = TokenBucket::full(now, self.ceiling(plan).1);
        self.customers.push(Customer { plan: plan as u32, quota, ceiling });
    }

    fn ceiling(&self, plan: usize) -> (f64, f64, f64) {
        let p = &self.scenario.plans[plan];
        let largest = self.scenario.largest_request_units();
        let burst = p.ceiling * p.rate * p.burst_s;
        (p.ceiling * p.rate, burst.max(largest), (0.1 * burst).max(largest))
    }

    fn breaks(&mut self, rule: Rule, now: Millis, what: String) {
        self.count += 1;
        if self.broken.len() < MOST {
            self.broken.push(Violation { rule, at_s: (now - self.from) / 1000.0, what });
        }
    }

    /// Somebody else has seen that a rule was broken.
    pub fn record_violation(&mut self, rule: Rule, now: Millis, what: String) {
        self.breaks(rule, now, what);
    }

    /// What was broken so far, the first ones.
    pub fn violations(&self) -> &[Violation] {
        &self.broken
    }

    /// How often a rule was broken.
    pub fn violation_count(&self) -> u64 {
        self.count
    }

    /// A limiter has taken a try.
    pub fn try_accepted(
        &mut self,
        try_id: u64,
        customer: usize,
        class: usize,
        limiter: usize,
        deadline: Millis,
    ) {
        let open = Open {
            class,
            customer,
            limiter,
            deadline,
            sent: false,
            out: 0,
            may_have_run: None,
            answered: false,
            excused: false,
        };
        self.tries.insert(try_id, open);
    }

    /// An attempt goes out; true if the try's units were inside the quota, nothing for a further attempt.
    pub fn attempt_sent(&mut self, now: Millis, try_id: u64, node: usize) -> Option<bool> {
        if self.delayed_observation && !self.tries.contains_key(&try_id) {
            return None;
        }
        let Some(open) = self.tries.get_mut(&try_id) else {
            self.breaks(Rule::Answer, now, format!("try {try_id}: sent on though it is over"));
            return None;
        };
        let (limiter, customer, class) = (open.limiter, open.customer, open.class);
        let excused = open.excused || self.delayed_observation;
        let (answered, beside, since) = (open.answered && !excused, open.out > 0, open.may_have_run);
        let first = !std::mem::replace(&mut open.sent, true);
        open.out += 1;
        if answered {
            self.breaks(
                Rule::Answer,
                now,
                format!("limiter {limiter}, try {try_id}: sent on after its answer"),
            );
        }
        if beside && !self.delayed_observation {
            self.breaks(
                Rule::Effect,
                now,
                format!("limiter {limiter}, try {try_id}: two attempts out at once"),
            );
        }
        let kind = &self.scenario.classes[class];
        let lapsed = since.is_some_and(|s| match kind.repeats {
            Repeats::Safe => false,
            Repeats::Keyed => now - s > kind.window_s * 1000.0,
            Repeats::Unsafe => true,
        });
        if lapsed {
            let what = format!(
                "limiter {limiter}, try {try_id} of {}: sent again though it may have run",
                kind.name
            );
            self.breaks(Rule::Effect, now, what);
        }
        if let Some(told) =
            self.told[limiter][node].filter(|t| now - t > DRAIN_GRACE_MS + self.observation_delay_ms())
        {
            let what =
                format!("limiter {limiter}: sends to node {node} {:.0} ms after the notice", now - told);
            self.breaks(Rule::Drain, now, what);
        }
        first.then(|| self.draw(now, customer, class))
    }

    fn draw(&mut self, now: Millis, customer: usize, class: usize) -> bool {
        let plan = self.customers[customer].plan as usize;
        let units = self.scenario.classes[class].units;
        let (rate, most) = self.scenario.quota(plan);
        let inside = self.customers[customer].quota.take(now, rate, most, units);
        if self.scenario.plans[plan].ceiling > 0.0 {
            let (rate, most, slack) = self.ceiling(plan);
            let left = self.customers[customer].ceiling.draw(now, rate, most, units);
            if left < -slack - rate * self.observation_delay_ms() / 1000.0 - 1e-6 {
                let what = format!("firm {customer}: {:.1} units past its ceiling, slack {slack:.1}", -left);
                self.breaks(Rule::Ceiling, now, what);
            }
        }
        inside
    }

    /// An attempt's outcome has come to its limiter.
    pub fn attempt_ended(&mut self, try_id: u64, sent: Millis, outcome: Outcome) {
        let Some(open) = self.tries.get_mut(&try_id) else { return };
        open.out = open.out.saturating_sub(1);
        if !matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent) {
            open.may_have_run = Some(open.may_have_run.unwrap_or(sent));
        }
        self.close(try_id);
    }

    /// A limiter gives its final answer. `excused`: it has stood still, and could not in time.
    pub fn try_answered(&mut self, now: Millis, try_id: u64, answer: Answer, excused: bool) {
        let Some(open) = self.tries.get_mut(&try_id) else {
            if excused {
                return;
            }
            return self.breaks(Rule::Answer, now, format!("try {try_id}: answered though it is over"));
        };
        let excused = excused || open.excused;
        let (again, late, limiter) = (open.answered && !excused, now - open.deadline, open.limiter);
        let unsafe_refused = matches!(answer, Answer::Refused { .. })
            && open.may_have_run.is_some()
            && self.scenario.classes[open.class].repeats == Repeats::Unsafe;
        open.answered = true;
        if again {
            self.breaks(Rule::Answer, now, format!("limiter {limiter}, try {try_id}: a second final answer"));
        }
        if late > ANSWER_SLACK_MS + self.observation_delay_ms() && !excused {
            self.breaks(
                Rule::Answer,
                now,
                format!("limiter {limiter}, try {try_id}: answered {late:.0} ms late"),
            );
        }
        if unsafe_refused {
            self.breaks(
                Rule::Effect,
                now,
                format!("limiter {limiter}, try {try_id}: refused though it may have run"),
            );
        }
        self.close(try_id);
    }

    /// The client closes its connection. `excused`: its limiter was killed, or did not run in that time. What the limiter
    /// does until it hears of that is not its fault.
    pub fn client_disconnected(&mut self, now: Millis, try_id: u64, excused: bool) {
        let observation_delay_ms = self.observation_delay_ms();
        let Some(open) = self.tries.get_mut(&try_id) else { return };
        let (limiter, late) = (open.limiter, now - open.deadline);
        let overdue = !open.answered && !excused && late >= ANSWER_SLACK_MS + observation_delay_ms - 1.0;
        open.excused = true;
        if overdue {
            self.breaks(
                Rule::Answer,
                now,
                format!("limiter {limiter}, try {try_id}: no answer before its deadline"),
            );
        }
    }

    /// The limiter hears that the client is gone.
    pub fn disconnect_received(&mut self, try_id: u64) {
        let Some(open) = self.tries.get_mut(&try_id) else { return };
        (open.answered, open.excused) = (true, false);
        self.close(try_id);
    }

    fn close(&mut self, try_id: u64) {
        if self.tries.get(&try_id).is_some_and(|o| o.answered && o.out == 0) {
            self.tries.remove(&try_id);
        }
    }

    /// A limiter has died: what it held is the clients' to ask again.
    pub fn limiter_exited(&mut self, limiter: usize) {
        self.tries.retain(|_, open| open.limiter != limiter);
    }

    /// A limiter is told whether a node takes new work.
    pub fn server_notice(&mut self, now: Millis, limiter: usize, node: usize, takes: bool) {
        let told = &mut self.told[limiter][node];
        *told = if takes { None } else { told.or(Some(now)) };
    }

    /// A node has fallen over.
    pub fn server_overloaded(&mut self, now: Millis, node: usize, notified_share: f64) {
        if notified_share >= TOLD_SHARE {
            let what = format!(
                "node {node}: pushed over while cold, {:.0}% by limiters who knew",
                notified_share * 100.0
            );
            self.breaks(Rule::Cold, now, what);
        }
    }

    /// A request reaches a node: true if the node drops it as the repeat of one that it, or another, has or had.
    pub fn attempt_arrived(&mut self, now: Millis, job: u64, class: usize) -> bool {
        let kind = &self.scenario.classes[class];
        if kind.repeats == Repeats::Safe {
            return false;
        }
        let window = kind.window_s * 1000.0;
        let effect = self.effects.entry(job).or_insert(Effect { first: now, held: 0, ran: false });
        let known = effect.ran || effect.held > 0;
        let repeat = kind.repeats == Repeats::Keyed && known && now - effect.first <= window;
        if !known {
            effect.first = now;
        }
        effect.held += 1;
        repeat
    }

    /// A node has done a request, or has let go of one (`ran` is false then).
    pub fn attempt_left_server(&mut self, now: Millis, job: u64, repeat: bool, ran: bool) {
        let Some(effect) = self.effects.get_mut(&job) else { return };
        effect.held = effect.held.saturating_sub(1);
        let twice = ran && !repeat && effect.ran;
        // The repeat itself takes no effect: the one that it repeats does.
        effect.ran |= ran && !repeat;
        if !effect.ran && effect.held == 0 {
            self.effects.remove(&job);
        }
        if twice {
            self.breaks(Rule::Effect, now, format!("request {job}: has taken effect twice"));
        }
    }

    /// Forgets effects that are too old to matter.
    pub fn expire_effects(&mut self, now: Millis) {
        let window =
            self.scenario.classes.iter().map(|c| c.window_s.max(c.give_up_s)).fold(0.0, f64::max) * 2000.0;
        self.effects.retain(|_, e| e.held > 0 || now - e.first < window);
    }
}
