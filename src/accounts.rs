//! The arithmetic of stores, rates and debts in the records of customers. What follows from it is decided in
//! `firms.rs` and `policy.rs`.

use marldeal_firms::Evictability;

use crate::interface::*;
use crate::state::*;

/// Keepers of a customer.
pub(crate) const KEEPERS: usize = 3;
/// The first keeper owns this many times the quota's part of a ceiling, within these shares: what it grants beyond the
/// quota is owed to nobody.
const FIRST_ROOM: f64 = 1.05;
const FIRST_PART: (f64, f64) = (0.3, 0.62);
/// Shares of the rest that the other keepers own, who carry on while the first is dead, and that all members of the set
/// own together, for the time in which they hear nobody. All sum to one.
const OTHERS_PARTS: [f64; KEEPERS - 1] = [0.13, 0.07];
const MEMBERS_PART: f64 = 0.8;
/// Share of the quota that the others grant: the first one may be cut off from some members only.
pub(crate) const BACKUP_PART: f64 = 0.5;
/// Least and most milliseconds over which demand is smoothed, in between the time of a whole burst.
pub(crate) const DEMAND_MS: (Millis, Millis) = (1000.0, 10_000.0);
/// Milliseconds after its arrival in which a request may spend units granted under a ceiling; until then the
/// keeper counts them against its depth. Waits for a word and for room fit in.
pub(crate) const GRANT_MS: Millis = 500.0;
/// Customers for each cell of a row in the sketches of debts.
pub(crate) const FIRMS_A_CELL: usize = 8;
/// Units lent that are no more than rounding.
const NO_UNITS: f64 = 1e-6;

/// Share of the quota that a keeper of this rank grants.
pub(crate) fn share(rank: u8) -> f64 {
    if rank == 0 {
        1.0
    } else {
        BACKUP_PART
    }
}

/// Share of the ceiling that the first keeper owns. Fixed by the plan: no silence moves it.
fn first_part(plan: &Plan) -> f64 {
    let quota = (plan.rate / plan.ceiling_rate).max(plan.burst / plan.ceiling_burst);
    (quota * FIRST_ROOM).max(FIRST_PART.0).min(FIRST_PART.1)
}

/// Share of the ceiling that a keeper of this rank owns.
pub(crate) fn part(plan: &Plan, rank: u8) -> f64 {
    let first = first_part(plan);
    if rank == 0 {
        first
    } else {
        (1.0 - first) * OTHERS_PARTS[usize::from(rank) - 1]
    }
}

/// Rate and depth of a member's even part: of the quota, or under a ceiling of what its keepers leave to members.
pub(crate) fn even(plan: &Plan, spread: u32) -> (f64, f64) {
    let spread = f64::from(spread);
    if plan.ceiling_rate > 0.0 {
        let part = (1.0 - first_part(plan)) * MEMBERS_PART / spread;
        (plan.ceiling_rate * part, plan.ceiling_burst * part)
    } else {
        (plan.rate / spread, plan.burst / spread)
    }
}

/// When a store that lacks units is full again.
fn full_at(at: Millis, lacking: f64, rate: f64) -> Millis {
    match lacking > 0.0 {
        true if rate > 0.0 => at + 1000.0 * lacking / rate,
        true => f64::INFINITY,
        false => at,
    }
}

impl Customer {
    /// When its even part is full again. A plan without a rate fills within an aim.
    pub(crate) fn full_at(&self, settings: &Settings) -> Millis {
        let plan = &settings.plans[usize::from(self.plan)];
        let (rate, most) = even(plan, u32::from(self.spread));
        match rate > 0.0 {
            true => full_at(self.even.at, most - self.even.level, rate),
            false => self.even.at + settings.longest_ms(),
        }
    }
}

impl Account {
    /// Brings the stores and rates to `now`, as a keeper of this rank owns them.
    pub(crate) fn refresh(&mut self, now: Millis, plan: &Plan, rank: u8, born: Millis) {
        let past_s = |from: Millis| (now - from).max(0.0) / 1000.0;
        let (share, part) = (share(rank), part(plan, self.rank));
        self.store = (self.store + plan.rate * share * past_s(self.at)).min(plan.burst * share);
        let fills = past_s(self.at.max(born + GRANT_MS));
        self.ceiling =
            (self.ceiling + plan.ceiling_rate * part * fills).min(plan.ceiling_burst * part - self.lent);
        let fade = self.fade(now, plan);
        (self.demand, self.let_in, self.at) = (self.demand * fade, self.let_in * fade, self.at.max(now));
    }

    fn fade(&self, now: Millis, plan: &Plan) -> f64 {
        (-(now - self.at).max(0.0) / demand_ms(plan)).exp()
    }

    /// Demand as a multiple of the quota; of what was let in where a cap on attempts out is full.
    pub(crate) fn over(&self, now: Millis, plan: &Plan) -> f32 {
        let rate = |sum: f64| sum * self.fade(now, plan) * 1000.0 / demand_ms(plan);
        let full = plan.open > 0 && self.open >= plan.open;
        let quota = if plan.rate > 0.0 { plan.rate } else { f64::INFINITY };
        (rate(self.demand) / if full { rate(self.let_in).max(1e-3) } else { quota }) as f32
    }

    /// When its store and its part of the ceiling are full again.
    pub(crate) fn full_at(&self, plan: &Plan, born: Millis) -> (Millis, Millis) {
        let (share, part) = (share(self.rank), part(plan, self.rank));
        let store = full_at(self.at, plan.burst * share - self.store, plan.rate * share);
        let lacking = plan.ceiling_burst * part - self.ceiling;
        let ceiling = full_at(self.at.max(born + GRANT_MS), lacking, plan.ceiling_rate * part);
        (if plan.rate > 0.0 { store } else { 0.0 }, if plan.ceiling_rate > 0.0 { ceiling } else { 0.0 })
    }

    pub(crate) fn give_back(&mut self, units: f64) {
        self.lent -= units;
        if self.lent < NO_UNITS {
            self.lent = 0.0;
        }
    }
}

fn demand_ms(plan: &Plan) -> Millis {
    (1000.0 * plan.burst / plan.rate.max(1e-9)).clamp(DEMAND_MS.0, DEMAND_MS.1)
}

impl CustomerCounts {
    pub(crate) fn forgot(&mut self, fate: Evictability) {
        match fate {
            Evictability::Lossless => self.evicted_full += 1,
            _ => self.evicted_with_deficit += 1,
        }
    }

    pub(crate) fn line(&self, held: usize, most: usize, what: &str) -> String {
        format!(
            "firms: {held} of {most} remembered: {what} (forgotten full {}, owing {}; strangers refused {}; decided \
             without a record {})",
            self.evicted_full, self.evicted_with_deficit, self.new_refused, self.decided_without_record
        )
    }
}

/// Seconds until a moment, none if it is past.
pub(crate) fn owed_s(until: Millis, now: Millis) -> f64 {
    (until - now).max(0.0) / 1000.0
}

#[cfg(test)]
mod tests {
    use marldeal_firms::{DeficitSketch, Table};

    use super::*;

    /// For any ceiling the parts sum to the whole, and the first keeper's covers the quota where that leaves the others any.
    #[test]
    fn parts_of_a_ceiling_sum_to_the_whole() {
        for times in [1.0, 1.5, 1.8, 2.6, 10.0] {
            let (rate, burst) = (20.0, 30.0);
            let (ceiling_rate, ceiling_burst) = (rate * times, burst * times);
            let plan = Plan { rate, burst, open: 0, ceiling_rate, ceiling_burst, ceiling_slack: 4.0 };
            let keepers: f64 = (0..KEEPERS as u8).map(|rank| part(&plan, rank)).sum();
            let (member_rate, member_burst) = even(&plan, 40);
            let sum = |whole: f64, member: f64| keepers + 40.0 * member / whole;
            assert!((sum(ceiling_rate, member_rate) - 1.0).abs() < 1e-9, "{times}");
            assert!((sum(ceiling_burst, member_burst) - 1.0).abs() < 1e-9, "{times}");
            assert!(times < 1.8 || part(&plan, 0) * ceiling_rate >= rate, "{times}");
        }
    }

    /// All that grows with the number of customers, at sizes just under, at and just over a power of two.
    #[test]
    fn a_customer_takes_no_more_than_is_stated() {
        for firms in [20_971, 65_536, 65_537, 100_000, 1_048_576, 1_048_577] {
            let tables = Table::<CustomerId, Customer>::new(firms, 1).max_bytes()
                + Table::<CustomerId, Account>::new(firms, 1).max_bytes();
            let bytes = tables + 3 * DeficitSketch::new(firms / FIRMS_A_CELL, 1).bytes();
            let each = bytes as f64 / firms as f64;
            assert!(each <= Settings::BYTES_PER_CUSTOMER as f64, "{each} bytes each of {firms}");
        }
    }
}
