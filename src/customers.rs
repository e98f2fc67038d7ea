//! Which customers have a record, which are evicted first, and what is kept of evicted customers.
//!
//! The state of a full or filling bucket is one number: the time at which it will be full again. If a record is
//! evicted before that time, the time goes into a sketch that never returns an earlier one. A returning
//! customer therefore finds its store and its part of a ceiling no fuller than before.

use marldeal_firms::Evictability;

use crate::accounts::{
    ceiling_fraction, equal_share, quota_fraction, seconds_until, CUSTOMERS_PER_CELL, GRANT_LIFETIME_MS,
    QUOTA_OWNERS,
};
use crate::interface::*;
use crate::message::Ask;
use crate::state::*;

/// A customer not seen for this time is removed if nothing is lost by it.
const IDLE_MS: Millis = 60_000.0;
/// If new customers alone would replace all records within this time, a new customer is accepted only when it
/// is seen a second time within `RECENT_KEY_MS`. A client that is refused with a retry time comes back sooner.
const TURNOVER_MS: Millis = 30_000.0;
const RECENT_KEY_MS: Millis = 5000.0;
/// Minimum number of keys remembered that way: twice as many as one core refuses in that time, at one byte
/// each.
const MIN_RECENT_KEYS: usize = 500_000;
/// Time over which the rate of new customers is taken.
const NEW_CUSTOMER_RATE_MS: Millis = 1000.0;
/// Fraction of the table that must be filled before that rate counts.
const MIN_FILL_FRACTION: f64 = 0.25;
/// Maximum number of records visited per step; a step runs every 100 ms.
const RECORDS_PER_STEP: usize = 1024;
/// Time for which a quota owner keeps its grants.
pub(crate) const GRANT_RETENTION_MS: Millis = 8000.0;
/// Time for which a reply is valid at a member.
pub(crate) const REPLY_VALIDITY_MS: Millis = 4000.0;
/// Maximum number of leases under ceilings, and of open grants. Beyond it nothing more is granted.
pub(crate) const MAX_OUTSTANDING_GRANTS: usize = 1 << 16;
/// Fraction of the capacity below which the table no longer counts as full.
const NOT_FULL_FRACTION: f64 = 0.9;
/// Minimum number of grants kept, for the open requests of this limiter.
const MIN_GRANTS: usize = 8192;
/// Lines in a message.
const MAX_MESSAGE_LINES: f64 = 10.0;

/// Capacities of the tables under these settings.
pub(crate) fn capacities(settings: &Settings) -> Capacities {
    let customers = settings.firms as usize;
    let max_lines_kept =
        settings.messages_per_s * MAX_MESSAGE_LINES * settings.longest_target_ms().max(GRANT_RETENTION_MS)
            / 1000.0;
    Capacities {
        customers,
        grants: MIN_GRANTS + max_lines_kept as usize,
        cells: customers / CUSTOMERS_PER_CELL,
        recent_keys: (customers * 4).max(MIN_RECENT_KEYS),
        recent_keys_ms: RECENT_KEY_MS,
        rate_window_ms: NEW_CUSTOMER_RATE_MS,
    }
}

impl Account {
    /// An account with leased units or open requests stays, since these return to it.
    fn evictability(&self, now: Millis, settings: &Settings, fills_from: Millis) -> Evictability {
        let (store, ceiling) = self.full_at(&settings.plans[usize::from(self.plan)], fills_from);
        match self.leased > 0.0 || self.open > 0 {
            true => Evictability::Pinned,
            false if store.max(ceiling) > now => Evictability::WithDeficit,
            false => Evictability::Lossless,
        }
    }
}

impl Limiter {
    /// Whether new customers arrive so fast that they are refused, as of the last step.
    pub fn refuses_new_customers(&self) -> bool {
        self.pressure == Pressure::Overloaded
    }

    /// Number of remembered customers, and what happened to the others.
    pub fn customer_counts(&self) -> CustomerCounts {
        CustomerCounts { customers: self.customers.len(), accounts: self.accounts.len(), ..self.counts }
    }

    /// The record of a request's customer, created if necessary; none for a new customer while these arrive too
    /// fast.
    pub(crate) fn customer_record(&mut self, request: &Request) -> Option<&mut Customer> {
        let (now, id) = (self.now, request.customer);
        let seen_before = self.customers.touch(now, &id).is_some();
        if !seen_before {
            self.new_customers.add(now, 1.0);
            if self.has_new_customer_overload() && !self.recent_keys.check_and_insert(now, &id) {
                self.counts.new_refused += 1;
                return None;
            }
            let fresh = self.new_customer(request);
            let Limiter { customers, settings, deficits, counts, .. } = self;
            let evictability = |_: &CustomerId, c: &Customer| {
                let within_quota = now - c.demand_at > REPLY_VALIDITY_MS || c.demand <= 1.0;
                if within_quota && c.full_at(settings) <= now {
                    Evictability::Lossless
                } else {
                    Evictability::WithDeficit
                }
            };
            if let Some((evicted, c, eviction)) = customers.evict_if_full(evictability) {
                deficits.equal_shares.record(&(evicted, c.plan), c.full_at(settings));
                counts.count_eviction(eviction);
            }
            let _ = customers.insert(now, id, fresh);
        }
        let c = self.customers.get_mut(&id)?;
        (c.seen_before, c.plan, c.spread) = (seen_before, request.plan as u8, request.spread as u16);
        Some(c)
    }

    /// Whether new customers alone would replace all records in a short time. It ends at half that rate, so
    /// that a flood held back by refusals does not count as over.
    fn has_new_customer_overload(&self) -> bool {
        let within = if self.pressure == Pressure::Overloaded { 2.0 * TURNOVER_MS } else { TURNOVER_MS };
        let capacity = self.customers.capacity();
        let filled = self.customers.len() as f64 >= capacity as f64 * MIN_FILL_FRACTION;
        filled && self.new_customers.rate(self.now) * within / 1000.0 > capacity as f64
    }

    fn new_customer(&self, request: &Request) -> Customer {
        let plan = &self.settings.plans[request.plan];
        let (rate, capacity) = equal_share(plan, request.spread);
        let deficit_s = seconds_until(
            self.deficits.equal_shares.deficit_until(&(request.customer, request.plan as u8)),
            self.now,
        );
        let rate = if rate > 0.0 { rate } else { f64::INFINITY };
        // A share of a ceiling starts empty, since an earlier start of this limiter may have spent it.
        let initial = match plan.ceiling_rate > 0.0 {
            true => capacity.min(rate * (self.now - self.process_started_at) / 1000.0),
            false => capacity.max(request.units),
        };
        let level = if deficit_s > 0.0 { (initial - rate * deficit_s).max(0.0) } else { initial };
        Customer {
            equal_share: TokenBucket { level, at: self.now },
            // A customer with a deficit asks before it spends: what its owner's store holds was forgotten too.
            store_left: if deficit_s > 0.0 { 0.0 } else { plan.burst },
            demand_at: f64::NEG_INFINITY,
            spread: request.spread as u16,
            plan: request.plan as u8,
            ..Customer::default()
        }
    }

    /// This limiter's rank among the quota owners of a customer, if it is one.
    pub(crate) fn rank(&self, ask: &Ask) -> Option<u8> {
        let (limiters, me) = (self.settings.limiters, self.settings.position);
        let set = (ask.first.into(), ask.spread.into());
        (0..QUOTA_OWNERS as u32)
            .find(|k| quota_owner(ask.customer, set, limiters, *k) == Some(me))
            .map(|k| k as u8)
    }

    /// An account for a customer without a record. The part of the ceiling starts empty and fills only after
    /// all grants of an earlier start have expired. The deficit from before an eviction is deducted from both,
    /// down to the lowest possible values.
    pub(crate) fn new_account(&self, ask: &Ask, rank: u8) -> Account {
        let plan = &self.settings.plans[usize::from(ask.plan)];
        let (share, fraction, key) =
            (quota_fraction(rank), ceiling_fraction(plan, rank), (ask.customer, ask.plan));
        let (capacity, lowest) = (plan.ceiling_burst * fraction, -plan.ceiling_slack * fraction);
        let filled_s = (self.now - self.ceilings_from() - GRANT_LIFETIME_MS).max(0.0) / 1000.0;
        let filled = (lowest + plan.ceiling_rate * fraction * filled_s).min(capacity);
        let deficit_s =
            |sketch: &marldeal_firms::DeficitSketch| seconds_until(sketch.deficit_until(&key), self.now);
        let ceiling = capacity - plan.ceiling_rate * fraction * deficit_s(&self.deficits.ceilings);
        let store = plan.burst * share - plan.rate * share * deficit_s(&self.deficits.stores);
        Account {
            at: self.now,
            store: store.max(-plan.burst),
            ceiling: filled.min(ceiling).max(lowest),
            plan: ask.plan,
            rank,
            ..Account::default()
        }
    }

    /// Creates the account of a customer if it has none; false if no record can be evicted for it.
    pub(crate) fn ensure_account(&mut self, ask: &Ask, rank: u8) -> bool {
        let (now, fills_from) = (self.now, self.ceilings_from());
        if self.accounts.touch(now, &ask.customer).is_some() {
            return true;
        }
        let fresh = self.new_account(ask, rank);
        let settings = &self.settings;
        if let Some((evicted, a, eviction)) =
            self.accounts.evict_if_full(|_, a| a.evictability(now, settings, fills_from))
        {
            self.counts.count_eviction(eviction);
            self.record_deficit(evicted, &a);
        }
        self.accounts.insert(now, ask.customer, fresh).is_ok()
    }

    /// Records the deficit of an account that is evicted.
    pub(crate) fn record_deficit(&mut self, customer: CustomerId, a: &Account) {
        let (store, ceiling) = a.full_at(&self.settings.plans[usize::from(a.plan)], self.ceilings_from());
        if cfg!(feature = "forgotten-means-full") {
            return;
        }
        self.deficits.stores.record(&(customer, a.plan), store);
        self.deficits.ceilings.record(&(customer, a.plan), ceiling);
    }

    /// Removes idle customers and old grants, a bounded number per call.
    pub(crate) fn evict_idle(&mut self) {
        let fills_from = self.ceilings_from();
        let Limiter { now, settings, accounts, grants, customers, leases, open_grants, .. } = self;
        let (now, longest) = (*now, settings.longest_target_ms());
        for _ in 0..RECORDS_PER_STEP {
            let Some((customer, units)) = leases.pop_expired(now) else { break };
            if let Some(a) = accounts.get_mut(&customer) {
                a.release_lease(units);
            }
        }
        for _ in 0..RECORDS_PER_STEP {
            // A lost message about the end must not keep the request open forever.
            let Some((at, key)) = open_grants.front() else { break };
            if now - at <= longest {
                break;
            }
            if let Some(g) = grants.get_mut(key).filter(|g| g.open) {
                g.open = false;
                if let Some(a) = accounts.get_mut(&g.customer) {
                    a.open = a.open.saturating_sub(1);
                }
            }
            open_grants.pop_front();
        }
        let unless_open =
            |_: &GrantKey, g: &Grant| if g.open { Evictability::Pinned } else { Evictability::Lossless };
        let mut work = RECORDS_PER_STEP;
        work -= grants.expire(now, now - GRANT_RETENTION_MS.max(longest), work, unless_open);
        let evictability = |_: &CustomerId, c: &Customer| {
            if c.full_at(settings) > now {
                Evictability::WithDeficit
            } else {
                Evictability::Lossless
            }
        };
        work -= customers.expire(now, now - IDLE_MS, work, evictability);
        accounts.expire(now, now - IDLE_MS, work, |_, a| a.evictability(now, settings, fills_from));
    }

    /// A log line when the table first reaches its capacity, when new customers arrive too fast, and when
    /// either ends.
    pub(crate) fn log_customer_pressure(&mut self) -> Option<String> {
        let (used, capacity) = (self.customers.len().max(self.accounts.len()), self.customers.capacity());
        let pressure = match self.pressure {
            _ if self.has_new_customer_overload() => Pressure::Overloaded,
            Pressure::BelowCapacity if used < capacity => Pressure::BelowCapacity,
            _ if (used as f64) < capacity as f64 * NOT_FULL_FRACTION => Pressure::BelowCapacity,
            _ => Pressure::Full,
        };
        let previous = std::mem::replace(&mut self.pressure, pressure);
        let state = match (previous, pressure) {
            (previous, now) if previous == now => return None,
            (_, Pressure::Overloaded) => {
                "new customers arrive too fast, they are refused until their second request"
            }
            (Pressure::BelowCapacity, _) => "full, the deficits of evicted customers are kept",
            (Pressure::Overloaded, _) => "new customers are accepted again",
            _ => "below capacity again",
        };
        Some(self.customer_counts().log_line(used, capacity, state))
    }
}

/// Position of a customer's quota owner of this rank, the same at every limiter; none beyond the last rank.
pub(crate) fn quota_owner(
    customer: CustomerId,
    (first, spread): (u32, u32),
    limiters: u32,
    rank: u32,
) -> Option<u32> {
    let spread = spread.clamp(1, limiters);
    let owners = (QUOTA_OWNERS as u32).min(spread);
    // Fibonacci hashing spreads customers evenly over their sets.
    let hash = (customer.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u32;
    let offset = (hash % spread + rank * (spread / owners)) % spread;
    let position = (u64::from(first) + u64::from(offset)) % u64::from(limiters);
    (rank < owners).then_some(position as u32)
}
