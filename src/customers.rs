//! Which customers are remembered, which are forgotten first, and what of the forgotten is carried on.
//!
//! A customer's store is one number: the moment at which it will be full again. What is forgotten before that
//! moment leaves it in a sketch that never tells an earlier one, so that whoever returns finds its store, and
//! its part of a ceiling, no fuller than it left them.

use marldeal_firms::Evictability;

use crate::accounts::{even, owed_s, part, share, FIRMS_A_CELL, GRANT_MS, KEEPERS};
use crate::interface::*;
use crate::message::Ask;
use crate::state::*;

/// A customer not seen for so many milliseconds is dropped, if nothing is lost by it.
const IDLE_MS: Millis = 60_000.0;
/// Milliseconds in which new names alone would displace all that is remembered: from then on a name is let
/// in when it is seen for the second time within `LATELY_MS`. A client that is refused with advice comes
/// back sooner.
const TURNOVER_MS: Millis = 30_000.0;
const LATELY_MS: Millis = 5000.0;
/// Names that are known so at least: as many as one core turns away in that time, at a byte each, twice.
const LEAST_LATELY: usize = 500_000;
/// Milliseconds over which the pace of new names is taken, and the share of the table they may fill before.
const PACE_MS: Millis = 1000.0;
const FILLED: f64 = 0.25;
/// Records gone through in one step at most; a step comes every 100 ms.
const STEP_WORK: usize = 1024;
/// Milliseconds that a keeper remembers its words, and that they count at a member.
pub(crate) const GRANT_KEPT_MS: Millis = 8000.0;
pub(crate) const TOLD_MS: Millis = 4000.0;
/// Units granted under ceilings, or grants out, that are kept in order at most; beyond it none is granted.
pub(crate) const MOST_TERMS: usize = 1 << 16;
/// Share of the bound at which it counts as left behind.
const OVER: f64 = 0.9;
/// Least grants kept, for the requests that are open here; lines of a message.
const LEAST_GRANTS: usize = 8192;
const MOST_LINES: f64 = 10.0;

/// How much is kept.
pub(crate) fn most(settings: &Settings) -> Most {
    let firms = settings.firms as usize;
    let told = settings.messages_per_s * MOST_LINES * settings.longest_ms().max(GRANT_KEPT_MS) / 1000.0;
    Most {
        firms,
        grants: LEAST_GRANTS + told as usize,
        cells: firms / FIRMS_A_CELL,
        lately: (firms * 4).max(LEAST_LATELY),
        lately_ms: LATELY_MS,
        pace_ms: PACE_MS,
    }
}

impl Account {
    /// One with units out stays: they come back to it.
    fn fate(&self, now: Millis, settings: &Settings, born: Millis) -> Evictability {
        let (store, ceiling) = self.full_at(&settings.plans[usize::from(self.plan)], born);
        match self.lent > 0.0 || self.open > 0 {
            true => Evictability::Pinned,
            false if store.max(ceiling) > now => Evictability::WithDeficit,
            false => Evictability::Lossless,
        }
    }
}

impl Limiter {
    /// New names come so fast that strangers are refused, as of the last step.
    pub fn refuses_new_customers(&self) -> bool {
        self.press == Press::Flooded
    }

    /// How many customers are remembered, and what became of others.
    pub fn customer_counts(&self) -> CustomerCounts {
        CustomerCounts { customers: self.customers.len(), accounts: self.accounts.len(), ..self.counts }
    }

    /// What is remembered of a request's customer; nothing of a stranger while new names come too fast.
    pub(crate) fn customer(&mut self, request: &Request) -> Option<&mut Customer> {
        let (now, id) = (self.now, request.customer);
        let known = self.customers.touch(now, &id).is_some();
        if !known {
            self.strangers.add(now, 1.0);
            if self.flooded() && !self.lately.check_and_insert(now, &id) {
                self.counts.new_refused += 1;
                return None;
            }
            let fresh = self.fresh_customer(request);
            let Limiter { customers, settings, owed, counts, .. } = self;
            let fate = |_: &CustomerId, c: &Customer| {
                let told = now - c.told_at > TOLD_MS || c.told <= 1.0;
                if told && c.full_at(settings) <= now {
                    Evictability::Lossless
                } else {
                    Evictability::WithDeficit
                }
            };
            if let Some((gone, c, fate)) = customers.evict_if_full(fate) {
                owed.evens.record(&(gone, c.plan), c.full_at(settings));
                counts.forgot(fate);
            }
            let _ = customers.insert(now, id, fresh);
        }
        let c = self.customers.get_mut(&id)?;
        (c.known, c.plan, c.spread) = (known, request.plan as u8, request.spread as u16);
        Some(c)
    }

    /// Whether new names alone would displace all that is remembered in a short time; over at half that pace,
    /// so that a flood held back by refusals does not pass for its end.
    fn flooded(&self) -> bool {
        let within = if self.press == Press::Flooded { 2.0 * TURNOVER_MS } else { TURNOVER_MS };
        let most = self.customers.capacity();
        let held = self.customers.len() as f64 >= most as f64 * FILLED;
        held && self.strangers.rate(self.now) * within / 1000.0 > most as f64
    }

    fn fresh_customer(&self, request: &Request) -> Customer {
        let plan = &self.settings.plans[request.plan];
        let (rate, most) = even(plan, request.spread);
        let owed_s = owed_s(self.owed.evens.deficit_until(&(request.customer, request.plan as u8)), self.now);
        let rate = if rate > 0.0 { rate } else { f64::INFINITY };
        // Of a ceiling as if spent at the start: an earlier start of this limiter may have spent it.
        let whole = match plan.ceiling_rate > 0.0 {
            true => most.min(rate * (self.now - self.began) / 1000.0),
            false => most.max(request.units),
        };
        let level = if owed_s > 0.0 { (whole - rate * owed_s).max(0.0) } else { whole };
        Customer {
            even: Store { level, at: self.now },
            // One that owes asks before it spends: what its keeper has left was forgotten too.
            room: if owed_s > 0.0 { 0.0 } else { plan.burst },
            told_at: f64::NEG_INFINITY,
            spread: request.spread as u16,
            plan: request.plan as u8,
            ..Customer::default()
        }
    }

    /// This limiter's rank among the keepers of a customer, if it is one.
    pub(crate) fn rank(&self, ask: &Ask) -> Option<u8> {
        let (n, me) = (self.settings.limiters, self.settings.position);
        let set = (ask.first.into(), ask.spread.into());
        (0..KEEPERS as u32).find(|k| keeper(ask.customer, set, n, *k) == Some(me)).map(|k| k as u8)
    }

    /// A keeper's account of one not remembered. The part of the ceiling starts as if spent and fills only
    /// once all that an earlier start of this limiter may have granted has lapsed; what the customer owes
    /// from before it was forgotten is taken off both, down to the lowest that they can have been.
    pub(crate) fn fresh_account(&self, ask: &Ask, rank: u8) -> Account {
        let plan = &self.settings.plans[usize::from(ask.plan)];
        let (share, part, key) = (share(rank), part(plan, rank), (ask.customer, ask.plan));
        let (most, lowest) = (plan.ceiling_burst * part, -plan.ceiling_slack * part);
        let filled_s = (self.now - self.ceilings_from() - GRANT_MS).max(0.0) / 1000.0;
        let filled = (lowest + plan.ceiling_rate * part * filled_s).min(most);
        let owed = |debts: &marldeal_firms::DeficitSketch| owed_s(debts.deficit_until(&key), self.now);
        let ceiling = most - plan.ceiling_rate * part * owed(&self.owed.ceilings);
        let store = plan.burst * share - plan.rate * share * owed(&self.owed.stores);
        Account {
            at: self.now,
            store: store.max(-plan.burst),
            ceiling: filled.min(ceiling).max(lowest),
            plan: ask.plan,
            rank,
            ..Account::default()
        }
    }

    /// Makes sure that there is an account for a customer; false if all that could go must stay.
    pub(crate) fn recorded(&mut self, ask: &Ask, rank: u8) -> bool {
        let (now, born) = (self.now, self.ceilings_from());
        if self.accounts.touch(now, &ask.customer).is_some() {
            return true;
        }
        let fresh = self.fresh_account(ask, rank);
        let settings = &self.settings;
        if let Some((gone, a, fate)) = self.accounts.evict_if_full(|_, a| a.fate(now, settings, born)) {
            self.counts.forgot(fate);
            self.carry_on(gone, &a);
        }
        self.accounts.insert(now, ask.customer, fresh).is_ok()
    }

    /// Keeps what an account owes, once it has no record.
    pub(crate) fn carry_on(&mut self, customer: CustomerId, a: &Account) {
        let (store, ceiling) = a.full_at(&self.settings.plans[usize::from(a.plan)], self.ceilings_from());
        if cfg!(feature = "forgotten-means-full") {
            return;
        }
        self.owed.stores.record(&(customer, a.plan), store);
        self.owed.ceilings.record(&(customer, a.plan), ceiling);
    }

    /// Forgets customers not seen for long, and what was granted long ago, a bounded number in one go.
    pub(crate) fn drop_idle(&mut self) {
        let born = self.ceilings_from();
        let Limiter { now, settings, accounts, grants, customers, lent, opened, .. } = self;
        let (now, longest) = (*now, settings.longest_ms());
        for _ in 0..STEP_WORK {
            let Some((customer, units)) = lent.lapsed(now) else { break };
            if let Some(a) = accounts.get_mut(&customer) {
                a.give_back(units);
            }
        }
        for _ in 0..STEP_WORK {
            // A lost word of the end must not hold its place for ever.
            let Some((at, key)) = opened.front() else { break };
            if now - at <= longest {
                break;
            }
            if let Some(g) = grants.get_mut(key).filter(|g| g.open) {
                g.open = false;
                if let Some(a) = accounts.get_mut(&g.customer) {
                    a.open = a.open.saturating_sub(1);
                }
            }
            opened.pop_front();
        }
        let any =
            |_: &GrantKey, g: &Grant| if g.open { Evictability::Pinned } else { Evictability::Lossless };
        let mut work = STEP_WORK;
        work -= grants.expire(now, now - GRANT_KEPT_MS.max(longest), work, any);
        let full = |_: &CustomerId, c: &Customer| {
            if c.full_at(settings) > now {
                Evictability::WithDeficit
            } else {
                Evictability::Lossless
            }
        };
        work -= customers.expire(now, now - IDLE_MS, work, full);
        accounts.expire(now, now - IDLE_MS, work, |_, a| a.fate(now, settings, born));
    }

    /// A line for the staff when the bound on customers is first reached, when names flood in, and when
    /// either is over.
    pub(crate) fn watch_firms(&mut self) -> Option<String> {
        let (held, most) = (self.customers.len().max(self.accounts.len()), self.customers.capacity());
        let press = match self.press {
            _ if self.flooded() => Press::Flooded,
            Press::Calm if held < most => Press::Calm,
            _ if (held as f64) < most as f64 * OVER => Press::Calm,
            _ => Press::Full,
        };
        let was = std::mem::replace(&mut self.press, press);
        let what = match (was, press) {
            (was, now) if was == now => return None,
            (_, Press::Flooded) => "new ones would displace all, strangers are refused until they come again",
            (Press::Calm, _) => "the bound, what those forgotten owe is carried on",
            (Press::Flooded, _) => "strangers are let in again",
            _ => "below the bound again",
        };
        Some(self.customer_counts().line(held, most, what))
    }
}

/// The position of a customer's keeper of that rank, the same at every limiter; none past the last.
pub(crate) fn keeper(
    customer: CustomerId,
    (first, spread): (u32, u32),
    limiters: u32,
    rank: u32,
) -> Option<u32> {
    let spread = spread.clamp(1, limiters);
    let keepers = (KEEPERS as u32).min(spread);
    // Fibonacci hashing: customers fall evenly on their sets.
    let hash = (customer.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32;
    let place = (hash % spread + rank * (spread / keepers)) % spread;
    let position = (u64::from(first) + u64::from(place)) % u64::from(limiters);
    (rank < keepers).then_some(position as u32)
}
