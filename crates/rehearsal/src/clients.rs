//! Customers and their clients: when a request is made, of which class, at which limiter, and when a client retries.
//!
//! The load is an open loop: the seed alone decides the arrivals, which do not wait for answers. This module sends
//! nothing itself. Each [`ClientAction`] says what a client does, and the caller carries it out in a virtual network
//! or on sockets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fawnhill::{CustomerId, Millis};
use marldeal_engine::Answer;
use rand::RngExt;
use rustc_hash::FxHashMap;

use crate::draws::{self, Stream};
use crate::scenario::{Repeats, Scenario, MAX_CUSTOMERS};

/// A customer.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Its id, the same at every limiter.
    pub id: CustomerId,
    /// Index of its plan.
    pub plan: usize,
    /// Number of limiters that receive its requests...
    pub spread: u32,
    /// ...starting at this one, in the order of their positions.
    pub first: u32,
    /// Whether its requests come through proxies that ask a limiter about each.
    pub proxied: bool,
    /// Units per second that it requests on average, before its pattern and faults change that.
    pub demand: f64,
    pattern: Pattern,
    /// Factors on the demand from its pattern and from faults.
    demand_factor: f64,
    surge: f64,
    /// Cumulative shares of its requests by limiter.
    limiter_shares: [f64; 4],
    /// Incremented at each change of its rate; arrivals of an earlier generation no longer count.
    generation: u32,
    rng: Stream,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Pattern {
    Steady,
    Sustained(f64),
    Burst(f64),
}

/// One try of a request: the request as sent once by the client.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
    /// Id of the try, unique within a run.
    pub id: u64,
    /// Id of the request, the same for all its tries.
    pub job: u64,
    /// Index of the customer.
    pub customer: usize,
    /// Index of the request's class.
    pub class: usize,
    /// The limiter that it is sent to.
    pub limiter: usize,
    /// Work that the request costs a server, in milliseconds of one core.
    pub work: Millis,
    /// How long the client waits for an answer.
    pub budget_ms: Millis,
    /// When the request was made.
    pub requested_at: Millis,
    /// Number of earlier tries of the request.
    pub earlier_tries: u32,
}

/// Outcome of a request for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The request was served.
    Served,
    /// The last try was refused.
    Refused,
    /// The last try failed, or no limiter was reached.
    Failed,
    /// The client disconnected without an answer.
    Disconnected,
}

/// An action of a client.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientAction {
    /// The client sends a try.
    Send(Try),
    /// The client closes the connection of a try.
    Disconnect(u64),
    /// A request is finished.
    Finished {
        /// The last try.
        last: Try,
        /// The outcome.
        outcome: ClientOutcome,
    },
}

/// Result of a try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TryResult {
    /// The final answer of a limiter.
    Answer(Answer),
    /// There was no connection, or it was lost before an answer.
    NoAnswer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { customer: u32, generation: u32 },
    Retry { slot: u32, job: u64 },
    Timeout { slot: u32, try_id: u64 },
    PatternChange { customer: u32, on: bool },
    LimiterShift { customer: u32 },
    Stranger,
}

#[derive(Debug, Clone)]
struct OpenRequest {
    current: Try,
    /// When the client gives up the whole request.
    give_up_at: Millis,
    waiting_for_retry: bool,
}

/// The clients of all customers.
pub struct Clients {
    scenario: Scenario,
    customers: Vec<Customer>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    /// Open requests by slot; slots are reused.
    open: Vec<Option<OpenRequest>>,
    free: Vec<u32>,
    /// The slot of each outstanding try, and of each request that waits for its next try.
    slots: FxHashMap<u64, u32>,
    last_id: u64,
    rng: Stream,
    end: Millis,
    /// Requests of strangers per second, and their plan.
    strangers: Option<(f64, usize)>,
    regular_customers: usize,
}

/// Share of their quota that most customers use, minimum and maximum.
const NORMAL_USE: [f64; 2] = [0.1, 0.6];
/// Share of their quota that customers with high use request.
const HIGH_USE: f64 = 0.95;
/// Length in seconds of periods of sustained excess demand, and of the pauses between them.
const SUSTAINED_S: [f64; 2] = [10.0, 30.0];
/// Seconds between short bursts.
const BURST_INTERVAL_S: [f64; 2] = [8.0, 30.0];
/// Time after the deadline for which a client still takes an answer, because it may be on its way.
pub const ANSWER_SLACK_MS: Millis = 50.0;
/// First ids of customers and of strangers.
const FIRST_CUSTOMER: CustomerId = 1000;
const FIRST_STRANGER: CustomerId = 1 << 32;

/// Converts a time to whole nanoseconds, by which events are ordered.
fn nanos(ms: Millis) -> u64 {
    (ms * 1e6).ceil() as u64
}

impl Clients {
    /// Creates the clients of a scenario. Requests are drawn from `from` on, for the length of the scenario.
    pub fn new(scenario: &Scenario, seed: u64, from: Millis) -> Clients {
        let mut clients = Clients {
            scenario: scenario.clone(),
            customers: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            open: Vec::new(),
            free: Vec::new(),
            slots: FxHashMap::default(),
            last_id: 0,
            rng: draws::stream(seed, "clients", 0),
            end: from + scenario.seconds * 1000.0,
            strangers: None,
            regular_customers: 0,
        };
        clients.create_customers(seed, from);
        clients.regular_customers = clients.customers.len();
        clients
    }

    /// Draws customers, plan by plan, until their use within the quotas reaches that of the scenario.
    fn create_customers(&mut self, seed: u64, from: Millis) {
        let units_per_s = self.scenario.requests_per_s() * self.scenario.mean(|c| c.units);
        let c = self.scenario.clients.clone();
        for plan in 0..self.scenario.plans.len() {
            let target = units_per_s * self.scenario.plan_share(plan);
            let rate = self.scenario.plans[plan].rate;
            let mut used = 0.0;
            while used < target && self.customers.len() < MAX_CUSTOMERS {
                let index = self.customers.len() as u64;
                let mut rng = draws::stream(seed, "firm", index);
                let kind = rng.random::<f64>();
                let normal_use = draws::between(&mut rng, NORMAL_USE);
                let intensity = rng.random::<f64>();
                let (share, pattern) = if kind < c.full {
                    (HIGH_USE, Pattern::Steady)
                } else if kind < c.full + c.greedy {
                    (normal_use, Pattern::Sustained(1.0 + (c.greedy_times - 1.0) * intensity))
                } else if kind < c.full + c.greedy + c.flash {
                    (normal_use, Pattern::Burst(1.0 + (c.flash_times - 1.0) * intensity))
                } else {
                    (normal_use, Pattern::Steady)
                };
                // The last customer of a plan gets the demand that remains.
                let demand = (share * rate).min(target - used).max(0.02 * rate);
                used += demand;
                let spread =
                    c.spread[0] + (rng.random::<f64>() * f64::from(c.spread[1] - c.spread[0] + 1)) as u32;
                let limiters = self.scenario.limiters.count;
                let first = (rng.random::<f64>() * f64::from(limiters)) as u32 % limiters;
                // A stream of its own, so that the other draws do not depend on the share of proxies.
                let proxied = draws::chance(&mut draws::stream(seed, "proxied", index), c.proxied);
                self.customers.push(Customer {
                    id: FIRST_CUSTOMER + index,
                    proxied,
                    plan,
                    spread: spread.min(limiters).min(4),
                    first,
                    demand,
                    pattern,
                    demand_factor: 1.0,
                    surge: 1.0,
                    limiter_shares: [1.0; 4],
                    generation: 0,
                    rng,
                });
            }
        }
        for customer in 0..self.customers.len() {
            self.draw_limiter_shares(from, customer);
            self.draw_arrival(from, customer);
            let every = match self.customers[customer].pattern {
                Pattern::Steady => continue,
                Pattern::Sustained(_) => SUSTAINED_S,
                Pattern::Burst(_) => BURST_INTERVAL_S,
            };
            let wait = draws::between(&mut self.customers[customer].rng, [0.0, every[1]]);
            self.schedule(from + wait * 1000.0, Event::PatternChange { customer: customer as u32, on: true });
        }
    }

    /// The customers, by index.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.slots.len()
    }

    /// Multiplies the demand of all customers, or of those of a plan; a factor of 1 ends the surge.
    pub fn surge(&mut self, now: Millis, plan: Option<usize>, factor: f64) {
        for customer in 0..self.regular_customers {
            if plan.is_none_or(|p| p == self.customers[customer].plan) {
                self.customers[customer].surge = factor;
                self.draw_arrival(now, customer);
            }
        }
    }

    /// Lets the last `customers` customers of the list, which are of the last plan, add `share` to the total traffic.
    /// A share of 0 ends the flood.
    pub fn flood(&mut self, now: Millis, customers: u32, share: f64) {
        let total: f64 = self.customers[..self.regular_customers].iter().map(|state| state.demand).sum();
        let some: Vec<usize> = (0..self.regular_customers).rev().take(customers as usize).collect();
        for customer in &some {
            let demand = self.customers[*customer].demand;
            self.customers[*customer].surge = 1.0 + total * share / (some.len() as f64 * demand);
            self.draw_arrival(now, *customer);
        }
    }

    /// Lets requests of unknown customers (strangers) arrive at a rate per second, on a plan; `None` ends it.
    pub fn strangers(&mut self, now: Millis, strangers: Option<(f64, usize)>) {
        let previous = std::mem::replace(&mut self.strangers, strangers);
        if previous.is_none() && strangers.is_some() {
            self.schedule(now, Event::Stranger);
        }
    }

    /// When [`Clients::due`] has to be called next.
    pub fn next_due(&self) -> Option<Millis> {
        self.events.peek().map(|Reverse((at, ..))| *at as f64 / 1e6)
    }

    /// Handles all events that are due and appends the actions of clients.
    pub fn due(&mut self, now: Millis, out: &mut Vec<ClientAction>) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at as f64 / 1e6 <= now) {
            let Some(Reverse((_, _, event))) = self.events.pop() else { return };
            match event {
                Event::Arrival { customer, generation } => {
                    self.arrive(now, customer as usize, generation, out)
                }
                Event::Retry { slot, job } => self.retry(now, slot, job, out),
                Event::Timeout { slot, try_id } => self.time_out(now, slot, try_id, out),
                Event::PatternChange { customer, on } => self.change_pattern(now, customer as usize, on),
                Event::LimiterShift { customer } => self.draw_limiter_shares(now, customer as usize),
                Event::Stranger => self.arrive_stranger(now, out),
            }
        }
    }

    /// Handles the result of a try: finishes the request, or schedules a retry.
    pub fn try_ended(&mut self, now: Millis, try_id: u64, result: TryResult, out: &mut Vec<ClientAction>) {
        let Some(slot) = self.slots.get(&try_id).copied() else { return };
        let Some(open) = self.open[slot as usize].as_ref() else { return };
        let current = open.current.clone();
        let class = &self.scenario.classes[current.class];
        let (advised_wait, outcome, may_retry) = match result {
            TryResult::Answer(Answer::Served) => return self.finish(slot, ClientOutcome::Served, out),
            TryResult::Answer(Answer::Refused { retry_ms }) => (retry_ms, ClientOutcome::Refused, true),
            // A request that may have run is retried only if a repeat does no harm.
            TryResult::Answer(Answer::Failed) | TryResult::NoAnswer => {
                let keyed =
                    class.repeats == Repeats::Keyed && now - current.requested_at < class.window_s * 1000.0;
                (0.0, ClientOutcome::Failed, class.repeats == Repeats::Safe || keyed)
            }
        };
        let give_up_at = open.give_up_at;
        let c = &self.scenario.clients;
        let backoff_factor = 2f64.powi(current.earlier_tries as i32);
        let mut wait = draws::between(&mut self.rng, c.backoff_ms) * backoff_factor;
        if draws::chance(&mut self.rng, c.obey) {
            wait = wait.max(advised_wait);
        }
        if !may_retry || current.earlier_tries >= c.retries || now + wait >= give_up_at {
            return self.finish(slot, outcome, out);
        }
        self.slots.remove(&try_id);
        // Until it is sent again, the request is kept under a new id, which no answer refers to.
        let id = self.next_id();
        self.slots.insert(id, slot);
        if let Some(open) = self.open[slot as usize].as_mut() {
            open.current.id = id;
            open.waiting_for_retry = true;
        }
        self.schedule(now + wait, Event::Retry { slot, job: current.job });
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((nanos(at), self.sequence, event)));
    }

    /// Draws a customer's next arrival, which replaces the one drawn before. That is correct because Poisson arrivals
    /// are memoryless.
    fn draw_arrival(&mut self, now: Millis, customer: usize) {
        let units = self.scenario.mean(|c| c.units);
        let state = &mut self.customers[customer];
        state.generation = state.generation.wrapping_add(1);
        let per_ms = state.demand * state.demand_factor * state.surge / units / 1000.0;
        if per_ms <= 0.0 {
            return;
        }
        let (at, generation) = (now + draws::gap(&mut state.rng, per_ms), state.generation);
        if at < self.end {
            self.schedule(at, Event::Arrival { customer: customer as u32, generation });
        }
    }

    /// Draws how a customer's requests are spread over its limiters; one of them gets the largest share.
    fn draw_limiter_shares(&mut self, now: Millis, customer: usize) {
        let shift = self.scenario.clients.shift_s;
        let state = &mut self.customers[customer];
        let spread = state.spread as usize;
        let mut weights = [0.0; 4];
        for weight in &mut weights[..spread] {
            *weight = 0.2 + state.rng.random::<f64>();
        }
        weights[(state.rng.random::<f64>() * spread as f64) as usize % spread] += 1.5;
        let total: f64 = weights.iter().sum();
        let mut sum = 0.0;
        for (share, weight) in state.limiter_shares.iter_mut().zip(weights) {
            sum += weight / total;
            *share = sum;
        }
        let at = now + draws::between(&mut state.rng, shift) * 1000.0;
        if spread > 1 && at < self.end {
            self.schedule(at, Event::LimiterShift { customer: customer as u32 });
        }
    }

    fn change_pattern(&mut self, now: Millis, customer: usize, on: bool) {
        let flash_s = self.scenario.clients.flash_s;
        let rate = self.scenario.plans[self.customers[customer].plan].rate;
        let state = &mut self.customers[customer];
        let (factor, active_s, pause_s) = match state.pattern {
            Pattern::Steady => return,
            Pattern::Sustained(factor) => (factor, SUSTAINED_S, SUSTAINED_S),
            Pattern::Burst(factor) => (factor, flash_s, BURST_INTERVAL_S),
        };
        state.demand_factor = if on { factor * rate / state.demand } else { 1.0 };
        let next = draws::between(&mut state.rng, if on { active_s } else { pause_s });
        self.draw_arrival(now, customer);
        self.schedule(now + next * 1000.0, Event::PatternChange { customer: customer as u32, on: !on });
    }

    fn arrive_stranger(&mut self, now: Millis, out: &mut Vec<ClientAction>) {
        let Some((per_s, plan)) = self.strangers else { return };
        if now >= self.end || self.customers.len() >= MAX_CUSTOMERS {
            return;
        }
        let index = self.customers.len();
        let limiters = self.scenario.limiters.count;
        let first = (self.rng.random::<f64>() * f64::from(limiters)) as u32 % limiters;
        let rng = draws::stream(self.last_id, "stranger", index as u64);
        self.customers.push(Customer {
            id: FIRST_STRANGER + index as u64,
            proxied: false,
            plan,
            spread: 1,
            first,
            demand: 0.0,
            pattern: Pattern::Steady,
            demand_factor: 1.0,
            surge: 1.0,
            limiter_shares: [1.0; 4],
            generation: 0,
            rng,
        });
        self.start_request(now, index, out);
        let at = now + draws::gap(&mut self.rng, per_s / 1000.0);
        self.schedule(at, Event::Stranger);
    }

    fn arrive(&mut self, now: Millis, customer: usize, generation: u32, out: &mut Vec<ClientAction>) {
        if self.customers[customer].generation == generation {
            self.start_request(now, customer, out);
            self.draw_arrival(now, customer);
        }
    }

    fn start_request(&mut self, now: Millis, customer: usize, out: &mut Vec<ClientAction>) {
        let state = &mut self.customers[customer];
        let shares: f64 = self.scenario.classes.iter().map(|c| c.share).sum();
        let mut pick = state.rng.random::<f64>() * shares;
        let class = self.scenario.classes.iter().position(|c| {
            pick -= c.share;
            pick < 0.0
        });
        let class = class.unwrap_or(0);
        let work = draws::work(&mut state.rng, self.scenario.nodes.law, self.scenario.classes[class].work_ms);
        let give_up = self.scenario.classes[class].give_up_s * 1000.0;
        let job = self.next_id();
        let first_try = Try {
            id: 0,
            job,
            customer,
            class,
            limiter: 0,
            work,
            budget_ms: 0.0,
            requested_at: now,
            earlier_tries: 0,
        };
        let slot = self.free.pop().unwrap_or_else(|| {
            self.open.push(None);
            self.open.len() as u32 - 1
        });
        self.open[slot as usize] =
            Some(OpenRequest { current: first_try, give_up_at: now + give_up, waiting_for_retry: false });
        self.send(now, slot, out);
    }

    fn retry(&mut self, now: Millis, slot: u32, job: u64, out: &mut Vec<ClientAction>) {
        let Some(open) =
            self.open[slot as usize].as_mut().filter(|o| o.waiting_for_retry && o.current.job == job)
        else {
            return;
        };
        open.waiting_for_retry = false;
        open.current.earlier_tries += 1;
        self.slots.remove(&open.current.id);
        self.send(now, slot, out);
    }

    fn send(&mut self, now: Millis, slot: u32, out: &mut Vec<ClientAction>) {
        let id = self.next_id();
        let c = &self.scenario.clients;
        let Some(open) = self.open[slot as usize].as_mut() else { return };
        let state = &mut self.customers[open.current.customer];
        let pick = state.rng.random::<f64>();
        let at = state.limiter_shares.iter().position(|share| pick < *share).unwrap_or(0) as u32;
        let limiter = (state.first + at.min(state.spread - 1)) % self.scenario.limiters.count;
        let give_up = self.scenario.classes[open.current.class].give_up_s * 1000.0;
        let patience = draws::between(&mut self.rng, c.patience);
        let remaining = open.give_up_at - now;
        open.current.id = id;
        open.current.limiter = limiter as usize;
        open.current.budget_ms = (give_up * patience).min(remaining).max(1.0);
        let mut times_out_at = now + open.current.budget_ms + ANSWER_SLACK_MS;
        if draws::chance(&mut self.rng, c.leave) {
            times_out_at = now + open.current.budget_ms * self.rng.random::<f64>();
        }
        let sent = open.current.clone();
        self.slots.insert(id, slot);
        out.push(ClientAction::Send(sent));
        self.schedule(times_out_at, Event::Timeout { slot, try_id: id });
    }

    fn time_out(&mut self, _now: Millis, slot: u32, try_id: u64, out: &mut Vec<ClientAction>) {
        if self.slots.get(&try_id) != Some(&slot) {
            return;
        }
        out.push(ClientAction::Disconnect(try_id));
        self.finish(slot, ClientOutcome::Disconnected, out);
    }

    fn finish(&mut self, slot: u32, outcome: ClientOutcome, out: &mut Vec<ClientAction>) {
        let Some(open) = self.open[slot as usize].take() else { return };
        self.slots.remove(&open.current.id);
        self.free.push(slot);
        out.push(ClientAction::Finished { last: open.current, outcome });
    }
}
