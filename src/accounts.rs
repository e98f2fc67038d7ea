//! Arithmetic of token buckets, rates and deficits in the records of customers. The decisions based on it are
//! in `customers.rs` and `policy.rs`.
//!
//! Each customer has a set of limiters that receive its requests, its members. Some of them are its quota
//! owners, in a fixed order of rank.

use marldeal_firms::Evictability;

use crate::interface::*;
use crate::state::*;

/// Number of quota owners of a customer.
pub(crate) const QUOTA_OWNERS: usize = 3;
/// The first owner holds this multiple of the quota's fraction of a ceiling, within these bounds. What it
/// grants beyond the quota is guaranteed to nobody.
const FIRST_OWNER_HEADROOM: f64 = 1.05;
const MIN_FIRST_OWNER_FRACTION: f64 = 0.3;
const MAX_FIRST_OWNER_FRACTION: f64 = 0.62;
/// Fractions of the rest held by the other owners, which take over while the first one is down. With
/// `MEMBERS_FRACTION` they sum to one.
const OTHER_OWNER_FRACTIONS: [f64; QUOTA_OWNERS - 1] = [0.13, 0.07];
/// Fraction of the rest held by all members together, for the time without any owner.
const MEMBERS_FRACTION: f64 = 0.8;
/// Fraction of the quota that the other owners grant: the first one may be cut off from some members only.
pub(crate) const BACKUP_OWNER_FRACTION: f64 = 0.5;
/// Bounds of the time over which demand is smoothed; within them it is the time of a whole burst.
pub(crate) const MIN_DEMAND_WINDOW_MS: Millis = 1000.0;
pub(crate) const MAX_DEMAND_WINDOW_MS: Millis = 10_000.0;
/// Time from its arrival in which a request may spend units granted under a ceiling; the quota owner counts
/// them against the ceiling's depth until then. It covers the waits for a reply and for a server.
pub(crate) const GRANT_LIFETIME_MS: Millis = 500.0;
/// Customers per cell of a row in the deficit sketches.
pub(crate) const CUSTOMERS_PER_CELL: usize = 8;
/// Leased units up to this amount are rounding errors.
const ROUNDING_UNITS: f64 = 1e-6;

/// Fraction of the quota that an owner of this rank grants.
pub(crate) fn quota_fraction(rank: u8) -> f64 {
    if rank == 0 {
        1.0
    } else {
        BACKUP_OWNER_FRACTION
    }
}

/// Fraction of the ceiling held by the first owner. It depends on the plan alone and does not change when
/// owners are silent. Without a ceiling the quotient may be NaN, which `max` and `min` replace by a bound.
#[allow(clippy::manual_clamp)] // `clamp` would return NaN.
fn first_owner_fraction(plan: &Plan) -> f64 {
    let quota = (plan.rate / plan.ceiling_rate).max(plan.burst / plan.ceiling_burst);
    (quota * FIRST_OWNER_HEADROOM).max(MIN_FIRST_OWNER_FRACTION).min(MAX_FIRST_OWNER_FRACTION)
}

/// Fraction of the ceiling held by an owner of this rank.
pub(crate) fn ceiling_fraction(plan: &Plan, rank: u8) -> f64 {
    let first = first_owner_fraction(plan);
    if rank == 0 {
        first
    } else {
        (1.0 - first) * OTHER_OWNER_FRACTIONS[usize::from(rank) - 1]
    }
}

/// Rate and capacity of a member's equal share: of the quota, or under a ceiling of what the owners leave to
/// members.
pub(crate) fn equal_share(plan: &Plan, spread: u32) -> (f64, f64) {
    let spread = f64::from(spread);
    if plan.ceiling_rate > 0.0 {
        let fraction = (1.0 - first_owner_fraction(plan)) * MEMBERS_FRACTION / spread;
        (plan.ceiling_rate * fraction, plan.ceiling_burst * fraction)
    } else {
        (plan.rate / spread, plan.burst / spread)
    }
}

/// When a bucket that lacks units is full again.
fn full_at(at: Millis, lacking: f64, rate: f64) -> Millis {
    match lacking > 0.0 {
        true if rate > 0.0 => at + 1000.0 * lacking / rate,
        true => f64::INFINITY,
        false => at,
    }
}

impl Customer {
    /// When the equal share is full again. Without a rate it fills within one target latency.
    pub(crate) fn full_at(&self, settings: &Settings) -> Millis {
        let plan = &settings.plans[usize::from(self.plan)];
        let (rate, capacity) = equal_share(plan, u32::from(self.spread));
        match rate > 0.0 {
            true => full_at(self.equal_share.at, capacity - self.equal_share.level, rate),
            false => self.equal_share.at + settings.longest_target_ms(),
        }
    }
}

impl Account {
    /// Brings buckets and rates to `now`, for an owner of this rank.
    pub(crate) fn refresh(&mut self, now: Millis, plan: &Plan, rank: u8, fills_from: Millis) {
        let past_s = |from: Millis| (now - from).max(0.0) / 1000.0;
        let (share, fraction) = (quota_fraction(rank), ceiling_fraction(plan, self.rank));
        self.store = (self.store + plan.rate * share * past_s(self.at)).min(plan.burst * share);
        let fill_s = past_s(self.at.max(fills_from + GRANT_LIFETIME_MS));
        self.ceiling = (self.ceiling + plan.ceiling_rate * fraction * fill_s)
            .min(plan.ceiling_burst * fraction - self.leased);
        let decay = self.decay(now, plan);
        (self.demand, self.admitted, self.at) =
            (self.demand * decay, self.admitted * decay, self.at.max(now));
    }

    fn decay(&self, now: Millis, plan: &Plan) -> f64 {
        (-(now - self.at).max(0.0) / demand_window_ms(plan)).exp()
    }

    /// Demand as a multiple of the quota, or of the admitted rate while the limit of open requests is reached.
    pub(crate) fn demand_multiple(&self, now: Millis, plan: &Plan) -> f32 {
        let rate = |sum: f64| sum * self.decay(now, plan) * 1000.0 / demand_window_ms(plan);
        let full = plan.open > 0 && self.open >= plan.open;
        let quota = if plan.rate > 0.0 { plan.rate } else { f64::INFINITY };
        (rate(self.demand) / if full { rate(self.admitted).max(1e-3) } else { quota }) as f32
    }

    /// When the store and this owner's part of the ceiling are full again.
    pub(crate) fn full_at(&self, plan: &Plan, fills_from: Millis) -> (Millis, Millis) {
        let (share, fraction) = (quota_fraction(self.rank), ceiling_fraction(plan, self.rank));
        let store = full_at(self.at, plan.burst * share - self.store, plan.rate * share);
        let lacking = plan.ceiling_burst * fraction - self.ceiling;
        let ceiling =
            full_at(self.at.max(fills_from + GRANT_LIFETIME_MS), lacking, plan.ceiling_rate * fraction);
        (if plan.rate > 0.0 { store } else { 0.0 }, if plan.ceiling_rate > 0.0 { ceiling } else { 0.0 })
    }

    pub(crate) fn release_lease(&mut self, units: f64) {
        self.leased -= units;
        if self.leased < ROUNDING_UNITS {
            self.leased = 0.0;
        }
    }
}

fn demand_window_ms(plan: &Plan) -> Millis {
    (1000.0 * plan.burst / plan.rate.max(1e-9)).clamp(MIN_DEMAND_WINDOW_MS, MAX_DEMAND_WINDOW_MS)
}

impl CustomerCounts {
    pub(crate) fn count_eviction(&mut self, eviction: Evictability) {
        match eviction {
            Evictability::Lossless => self.evicted_full += 1,
            _ => self.evicted_with_deficit += 1,
        }
    }

    pub(crate) fn log_line(&self, used: usize, capacity: usize, state: &str) -> String {
        format!(
            "customers: {used} of {capacity} records in use: {state} (evicted without a deficit {}, with one {}; \
             new customers refused {}; asks decided without a record {})",
            self.evicted_full, self.evicted_with_deficit, self.new_refused, self.decided_without_record
        )
    }
}

/// Seconds until a time, 0 if it has passed.
pub(crate) fn seconds_until(until: Millis, now: Millis) -> f64 {
    (until - now).max(0.0) / 1000.0
}

#[cfg(test)]
mod tests {
    use marldeal_firms::{DeficitSketch, Table};

    use super::*;

    /// The parts of any ceiling sum to the whole, and the first owner's part covers the quota unless that would
    /// leave the others nothing.
    #[test]
    fn fractions_of_a_ceiling_sum_to_one() {
        for times in [1.0, 1.5, 1.8, 2.6, 10.0] {
            let (rate, burst) = (20.0, 30.0);
            let (ceiling_rate, ceiling_burst) = (rate * times, burst * times);
            let plan = Plan { rate, burst, open: 0, ceiling_rate, ceiling_burst, ceiling_slack: 4.0 };
            let owners: f64 = (0..QUOTA_OWNERS as u8).map(|rank| ceiling_fraction(&plan, rank)).sum();
            let (member_rate, member_burst) = equal_share(&plan, 40);
            let sum = |whole: f64, member: f64| owners + 40.0 * member / whole;
            assert!((sum(ceiling_rate, member_rate) - 1.0).abs() < 1e-9, "{times}");
            assert!((sum(ceiling_burst, member_burst) - 1.0).abs() < 1e-9, "{times}");
            assert!(times < 1.8 || ceiling_fraction(&plan, 0) * ceiling_rate >= rate, "{times}");
        }
    }

    /// Covers everything that grows with the number of customers, at sizes just below, at and just above powers
    /// of two.
    #[test]
    fn a_customer_takes_at_most_the_stated_bytes() {
        for customers in [20_971, 65_536, 65_537, 100_000, 1_048_576, 1_048_577] {
            let tables = Table::<CustomerId, Customer>::new(customers, 1).max_bytes()
                + Table::<CustomerId, Account>::new(customers, 1).max_bytes();
            let bytes = tables + 3 * DeficitSketch::new(customers / CUSTOMERS_PER_CELL, 1).bytes();
            let bytes_each = bytes as f64 / customers as f64;
            assert!(
                bytes_each <= Settings::BYTES_PER_CUSTOMER as f64,
                "{bytes_each} bytes each for {customers}"
            );
        }
    }
}
