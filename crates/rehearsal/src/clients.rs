//! Member customers and their dispatch programs: who asks when, for what, at which limiter, and what a client does next.
//!
//! Open loop: arrivals are decided by the seed alone and wait for no answer. It sends nothing itself: [`ClientAction`] tells
//! what a client does, and the host, a virtual network or sockets, carries it out.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fawnhill::{CustomerId, Millis};
use marldeal_engine::Answer;
use rand::RngExt;
use rustc_hash::FxHashMap;

use crate::draws::{self, Stream};
use crate::scenario::{Repeats, Scenario, MOST_FIRMS};

/// A member customer.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Its number, the same at every limiter.
    pub id: CustomerId,
    /// Its plan.
    pub plan: usize,
    /// How many limiters get its requests...
    pub spread: u32,
    /// ...counted round from this one.
    pub first: u32,
    /// Its requests come through proxies that ask a limiter about each.
    pub proxied: bool,
    /// Units a second that it asks for, without its moods.
    pub asks: f64,
    mood: Mood,
    /// What its moods and the day's troubles make of it.
    times: f64,
    surge: f64,
    /// How its requests are dealt out to its limiters, as cumulative shares.
    dealt: [f64; 4],
    /// Arrivals drawn before a change of its rate no longer count.
    turn: u32,
    rng: Stream,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mood {
    Even,
    Greedy(f64),
    Flash(f64),
}

/// One try of a client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
    /// Which try; never used twice.
    pub id: u64,
    /// Which request: the same for a client's further tries.
    pub job: u64,
    /// Whose.
    pub customer: usize,
    /// Its class.
    pub class: usize,
    /// At which limiter.
    pub limiter: usize,
    /// Work that it will cost a node.
    pub work: Millis,
    /// How long the client waits.
    pub budget_ms: Millis,
    /// When the request was first asked for.
    pub asked: Millis,
    /// Which try of the request, from 0.
    pub turn: u32,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientOutcome {
    /// Served.
    Served,
    /// Refused, and not asked again.
    Refused,
    /// Failed, or nobody was reached, and not asked again.
    Failed,
    /// The client left without an answer.
    Disconnected,
}

/// What a client does.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientAction {
    /// Sends a try.
    Send(Try),
    /// Closes the connection of a try.
    Disconnect(u64),
    /// A request is over.
    Finished {
        /// Its last try.
        last: Try,
        /// How.
        outcome: ClientOutcome,
    },
}

/// What came of a try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TryResult {
    /// A limiter's final answer.
    Answer(Answer),
    /// No connection, or it broke: no limiter answers.
    NoAnswer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Moment {
    Arrives { customer: u32, turn: u32 },
    Again { slot: u32, job: u64 },
    Patience { slot: u32, try_id: u64 },
    Moody { customer: u32, on: bool },
    Shift { customer: u32 },
    Stranger,
}

#[derive(Debug, Clone)]
struct Open {
    current: Try,
    /// When the client's patience with the whole request ends.
    until: Millis,
    waits: bool,
}

/// All clients.
pub struct Clients {
    scenario: Scenario,
    customers: Vec<Customer>,
    moments: BinaryHeap<Reverse<(u64, u64, Moment)>>,
    number: u64,
    /// Requests that are open, by slot; a slot is used again.
    open: Vec<Option<Open>>,
    free: Vec<u32>,
    /// The slot of each try that is out, and of each request that waits for its next.
    slots: FxHashMap<u64, u32>,
    next: u64,
    rng: Stream,
    end: Millis,
    /// Strangers a second and their plan.
    strangers: Option<(f64, usize)>,
    usual: usize,
}

/// Firms well within their quota use this share of it.
const USUAL_USE: [f64; 2] = [0.1, 0.6];
/// Firms that use nearly all.
const FULL_USE: f64 = 0.95;
/// Seconds of a greedy customer's spells, and of the times between.
const SPELL_S: [f64; 2] = [10.0, 30.0];
/// Seconds between the moments of a flash customer.
const FLASH_EVERY_S: [f64; 2] = [8.0, 30.0];
/// An answer that is on its way when the time is up is still taken.
pub const ANSWER_SLACK_MS: Millis = 50.0;
/// Numbers of customers begin here; those of strangers at `STRANGERS`.
const FIRST_CUSTOMER: CustomerId = 1000;
const STRANGERS: CustomerId = 1 << 32;

/// Moments are ordered as whole nanoseconds.
fn nanos(ms: Millis) -> u64 {
    (ms * 1e6).ceil() as u64
}

impl Clients {
    /// The clients of a scenario; requests are drawn from `from` on, for as long as it lasts.
    pub fn new(scenario: &Scenario, seed: u64, from: Millis) -> Clients {
        let mut clients = Clients {
            scenario: scenario.clone(),
            customers: Vec::new(),
            moments: BinaryHeap::new(),
            number: 0,
            open: Vec::new(),
            free: Vec::new(),
            slots: FxHashMap::default(),
            next: 0,
            rng: draws::stream(seed, "clients", 0),
            end: from + scenario.seconds * 1000.0,
            strangers: None,
            usual: 0,
        };
        clients.enlist(seed, from);
        clients.usual = clients.customers.len();
        clients
    }

    /// Draws customers, plan by plan, until their use inside the quotas comes to what the scenario wants.
    fn enlist(&mut self, seed: u64, from: Millis) {
        let units_per_s = self.scenario.requests_per_s() * self.scenario.mean(|c| c.units);
        let c = self.scenario.clients.clone();
        for plan in 0..self.scenario.plans.len() {
            let wanted = units_per_s * self.scenario.plan_share(plan);
            let rate = self.scenario.plans[plan].rate;
            let mut used = 0.0;
            while used < wanted && self.customers.len() < MOST_FIRMS {
                let index = self.customers.len() as u64;
                let mut rng = draws::stream(seed, "firm", index);
                let kind = rng.random::<f64>();
                let usual = draws::between(&mut rng, USUAL_USE);
                let most = rng.random::<f64>();
                let (share, mood) = if kind < c.full {
                    (FULL_USE, Mood::Even)
                } else if kind < c.full + c.greedy {
                    (usual, Mood::Greedy(1.0 + (c.greedy_times - 1.0) * most))
                } else if kind < c.full + c.greedy + c.flash {
                    (usual, Mood::Flash(1.0 + (c.flash_times - 1.0) * most))
                } else {
                    (usual, Mood::Even)
                };
                // The last customer of a plan asks for what is still wanted.
                let asks = (share * rate).min(wanted - used).max(0.02 * rate);
                used += asks;
                let spread =
                    c.spread[0] + (rng.random::<f64>() * f64::from(c.spread[1] - c.spread[0] + 1)) as u32;
                let limiters = self.scenario.limiters.count;
                let first = (rng.random::<f64>() * f64::from(limiters)) as u32 % limiters;
                // A stream of its own: the rest of the draws stay as they are without proxies.
                let proxied = draws::chance(&mut draws::stream(seed, "proxied", index), c.proxied);
                self.customers.push(Customer {
                    id: FIRST_CUSTOMER + index,
                    proxied,
                    plan,
                    spread: spread.min(limiters).min(4),
                    first,
                    asks,
                    mood,
                    times: 1.0,
                    surge: 1.0,
                    dealt: [1.0; 4],
                    turn: 0,
                    rng,
                });
            }
        }
        for customer in 0..self.customers.len() {
            self.deal(from, customer);
            self.draw(from, customer);
            let every = match self.customers[customer].mood {
                Mood::Even => continue,
                Mood::Greedy(_) => SPELL_S,
                Mood::Flash(_) => FLASH_EVERY_S,
            };
            let wait = draws::between(&mut self.customers[customer].rng, [0.0, every[1]]);
            self.note(from + wait * 1000.0, Moment::Moody { customer: customer as u32, on: true });
        }
    }

    /// The customers, by number.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// Requests that are not over.
    pub fn open_requests(&self) -> usize {
        self.slots.len()
    }

    /// All customers, or those of a plan, ask for so many times as much; 1 ends it.
    pub fn surge(&mut self, now: Millis, plan: Option<usize>, times: f64) {
        for customer in 0..self.usual {
            if plan.is_none_or(|p| p == self.customers[customer].plan) {
                self.customers[customer].surge = times;
                self.draw(now, customer);
            }
        }
    }

    /// The last `customers` customers of the list (they are of the last plan) add `share` to all traffic; 0 ends it.
    pub fn flood(&mut self, now: Millis, customers: u32, share: f64) {
        let total: f64 = self.customers[..self.usual].iter().map(|f| f.asks).sum();
        let some: Vec<usize> = (0..self.usual).rev().take(customers as usize).collect();
        for customer in &some {
            let asks = self.customers[*customer].asks;
            self.customers[*customer].surge = 1.0 + total * share / (some.len() as f64 * asks);
            self.draw(now, *customer);
        }
    }

    /// Requests of customers that nobody has seen come at a rate, on a plan; nothing ends it.
    pub fn strangers(&mut self, now: Millis, strangers: Option<(f64, usize)>) {
        let before = std::mem::replace(&mut self.strangers, strangers);
        if before.is_none() && strangers.is_some() {
            self.note(now, Moment::Stranger);
        }
    }

    /// When [`Clients::due`] is to be called.
    pub fn next_due(&self) -> Option<Millis> {
        self.moments.peek().map(|Reverse((at, ..))| *at as f64 / 1e6)
    }

    /// Does what is due.
    pub fn due(&mut self, now: Millis, out: &mut Vec<ClientAction>) {
        while self.moments.peek().is_some_and(|Reverse((at, ..))| *at as f64 / 1e6 <= now) {
            let Some(Reverse((_, _, moment))) = self.moments.pop() else { return };
            match moment {
                Moment::Arrives { customer, turn } => self.arrives(now, customer as usize, turn, out),
                Moment::Again { slot, job } => self.again(now, slot, job, out),
                Moment::Patience { slot, try_id } => self.leaves(now, slot, try_id, out),
                Moment::Moody { customer, on } => self.moody(now, customer as usize, on),
                Moment::Shift { customer } => self.deal(now, customer as usize),
                Moment::Stranger => self.stranger(now, out),
            }
        }
    }

    /// A try has come to its end.
    pub fn try_ended(&mut self, now: Millis, try_id: u64, got: TryResult, out: &mut Vec<ClientAction>) {
        let Some(slot) = self.slots.get(&try_id).copied() else { return };
        let Some(open) = self.open[slot as usize].as_ref() else { return };
        let current = open.current.clone();
        let class = &self.scenario.classes[current.class];
        let (advice, outcome, may) = match got {
            TryResult::Answer(Answer::Served) => return self.over(slot, ClientOutcome::Served, out),
            TryResult::Answer(Answer::Refused { retry_ms }) => (retry_ms, ClientOutcome::Refused, true),
            // What may have run is asked again only if a repeat does no harm.
            TryResult::Answer(Answer::Failed) | TryResult::NoAnswer => {
                let keyed = class.repeats == Repeats::Keyed && now - current.asked < class.window_s * 1000.0;
                (0.0, ClientOutcome::Failed, class.repeats == Repeats::Safe || keyed)
            }
        };
        let until = open.until;
        let c = &self.scenario.clients;
        let times = 2f64.powi(current.turn as i32);
        let mut wait = draws::between(&mut self.rng, c.backoff_ms) * times;
        if draws::chance(&mut self.rng, c.obey) {
            wait = wait.max(advice);
        }
        if !may || current.turn >= c.retries || now + wait >= until {
            return self.over(slot, outcome, out);
        }
        self.slots.remove(&try_id);
        // Kept under a number that no answer names, until it is sent again.
        let id = self.number_try();
        self.slots.insert(id, slot);
        if let Some(open) = self.open[slot as usize].as_mut() {
            open.current.id = id;
            open.waits = true;
        }
        self.note(now + wait, Moment::Again { slot, job: current.job });
    }

    fn number_try(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn note(&mut self, at: Millis, moment: Moment) {
        self.number += 1;
        self.moments.push(Reverse((nanos(at), self.number, moment)));
    }

    /// Draws a customer's next arrival, in place of one drawn before: Poisson arrivals have no memory.
    fn draw(&mut self, now: Millis, customer: usize) {
        let units = self.scenario.mean(|c| c.units);
        let f = &mut self.customers[customer];
        f.turn = f.turn.wrapping_add(1);
        let per_ms = f.asks * f.times * f.surge / units / 1000.0;
        if per_ms <= 0.0 {
            return;
        }
        let (at, turn) = (now + draws::gap(&mut f.rng, per_ms), f.turn);
        if at < self.end {
            self.note(at, Moment::Arrives { customer: customer as u32, turn });
        }
    }

    /// Deals a customer's requests out anew: one of its limiters gets the most.
    fn deal(&mut self, now: Millis, customer: usize) {
        let shift = self.scenario.clients.shift_s;
        let f = &mut self.customers[customer];
        let spread = f.spread as usize;
        let mut parts = [0.0; 4];
        for part in &mut parts[..spread] {
            *part = 0.2 + f.rng.random::<f64>();
        }
        parts[(f.rng.random::<f64>() * spread as f64) as usize % spread] += 1.5;
        let whole: f64 = parts.iter().sum();
        let mut sum = 0.0;
        for (dealt, part) in f.dealt.iter_mut().zip(parts) {
            sum += part / whole;
            *dealt = sum;
        }
        let at = now + draws::between(&mut f.rng, shift) * 1000.0;
        if spread > 1 && at < self.end {
            self.note(at, Moment::Shift { customer: customer as u32 });
        }
    }

    fn moody(&mut self, now: Millis, customer: usize, on: bool) {
        let flash_s = self.scenario.clients.flash_s;
        let rate = self.scenario.plans[self.customers[customer].plan].rate;
        let f = &mut self.customers[customer];
        let (times, lasts, rests) = match f.mood {
            Mood::Even => return,
            Mood::Greedy(times) => (times, SPELL_S, SPELL_S),
            Mood::Flash(times) => (times, flash_s, FLASH_EVERY_S),
        };
        f.times = if on { times * rate / f.asks } else { 1.0 };
        let next = draws::between(&mut f.rng, if on { lasts } else { rests });
        self.draw(now, customer);
        self.note(now + next * 1000.0, Moment::Moody { customer: customer as u32, on: !on });
    }

    fn stranger(&mut self, now: Millis, out: &mut Vec<ClientAction>) {
        let Some((per_s, plan)) = self.strangers else { return };
        if now >= self.end || self.customers.len() >= MOST_FIRMS {
            return;
        }
        let index = self.customers.len();
        let limiters = self.scenario.limiters.count;
        let first = (self.rng.random::<f64>() * f64::from(limiters)) as u32 % limiters;
        let rng = draws::stream(self.next, "stranger", index as u64);
        self.customers.push(Customer {
            id: STRANGERS + index as u64,
            proxied: false,
            plan,
            spread: 1,
            first,
            asks: 0.0,
            mood: Mood::Even,
            times: 1.0,
            surge: 1.0,
            dealt: [1.0; 4],
            turn: 0,
            rng,
        });
        self.asks(now, index, out);
        let at = now + draws::gap(&mut self.rng, per_s / 1000.0);
        self.note(at, Moment::Stranger);
    }

    fn arrives(&mut self, now: Millis, customer: usize, turn: u32, out: &mut Vec<ClientAction>) {
        if self.customers[customer].turn == turn {
            self.asks(now, customer, out);
            self.draw(now, customer);
        }
    }

    fn asks(&mut self, now: Millis, customer: usize, out: &mut Vec<ClientAction>) {
        let f = &mut self.customers[customer];
        let shares: f64 = self.scenario.classes.iter().map(|c| c.share).sum();
        let mut pick = f.rng.random::<f64>() * shares;
        let class = self.scenario.classes.iter().position(|c| {
            pick -= c.share;
            pick < 0.0
        });
        let class = class.unwrap_or(0);
        let work = draws::work(&mut f.rng, self.scenario.nodes.law, self.scenario.classes[class].work_ms);
        let give_up = self.scenario.classes[class].give_up_s * 1000.0;
        let job = self.number_try();
        let first =
            Try { id: 0, job, customer, class, limiter: 0, work, budget_ms: 0.0, asked: now, turn: 0 };
        let slot = self.free.pop().unwrap_or_else(|| {
            self.open.push(None);
            self.open.len() as u32 - 1
        });
        self.open[slot as usize] = Some(Open { current: first, until: now + give_up, waits: false });
        self.send(now, slot, out);
    }

    fn again(&mut self, now: Millis, slot: u32, job: u64, out: &mut Vec<ClientAction>) {
        let Some(open) = self.open[slot as usize].as_mut().filter(|o| o.waits && o.current.job == job) else {
            return;
        };
        open.waits = false;
        open.current.turn += 1;
        self.slots.remove(&open.current.id);
        self.send(now, slot, out);
    }

    fn send(&mut self, now: Millis, slot: u32, out: &mut Vec<ClientAction>) {
        let id = self.number_try();
        let c = &self.scenario.clients;
        let Some(open) = self.open[slot as usize].as_mut() else { return };
        let f = &mut self.customers[open.current.customer];
        let pick = f.rng.random::<f64>();
        let at = f.dealt.iter().position(|share| pick < *share).unwrap_or(0) as u32;
        let limiter = (f.first + at.min(f.spread - 1)) % self.scenario.limiters.count;
        let give_up = self.scenario.classes[open.current.class].give_up_s * 1000.0;
        let patience = draws::between(&mut self.rng, c.patience);
        let left = open.until - now;
        open.current.id = id;
        open.current.limiter = limiter as usize;
        open.current.budget_ms = (give_up * patience).min(left).max(1.0);
        let mut leaves = now + open.current.budget_ms + ANSWER_SLACK_MS;
        if draws::chance(&mut self.rng, c.leave) {
            leaves = now + open.current.budget_ms * self.rng.random::<f64>();
        }
        let said = open.current.clone();
        self.slots.insert(id, slot);
        out.push(ClientAction::Send(said));
        self.note(leaves, Moment::Patience { slot, try_id: id });
    }

    fn leaves(&mut self, _now: Millis, slot: u32, try_id: u64, out: &mut Vec<ClientAction>) {
        if self.slots.get(&try_id) != Some(&slot) {
            return;
        }
        out.push(ClientAction::Disconnect(try_id));
        self.over(slot, ClientOutcome::Disconnected, out);
    }

    fn over(&mut self, slot: u32, outcome: ClientOutcome, out: &mut Vec<ClientAction>) {
        let Some(open) = self.open[slot as usize].take() else { return };
        self.slots.remove(&open.current.id);
        self.free.push(slot);
        out.push(ClientAction::Finished { last: open.current, outcome });
    }
}
