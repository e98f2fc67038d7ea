//! Fair shares of a budget: weighted max-min fairness by demand, with the rest divided equally.

use crate::Units;

/// Demand of one member for a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Units that it could use now.
    pub wanted: Units,
    /// Its weight relative to the other members, above 0.
    pub weight: f64,
}

/// Divides a budget by weighted max-min fairness (water-filling): no member gets more than it wants while
/// another gets less than it wants, such members share by weight, and unclaimed units are divided equally as
/// a reserve. The sum never exceeds the budget. Runs in O(n log n).
pub fn max_min(budget: Units, demands: &[Demand]) -> Vec<Units> {
    let mut shares = vec![0; demands.len()];
    // In ascending order of demand per weight, so that members whose demand is met come first.
    let mut order: Vec<usize> = (0..demands.len()).filter(|n| demands[*n].weight > 0.0).collect();
    let level = |n: usize| demands[n].wanted as f64 / demands[n].weight;
    order.sort_by(|a, b| level(*a).total_cmp(&level(*b)).then(a.cmp(b)));
    let mut remaining = budget;
    let mut weights: f64 = order.iter().map(|n| demands[*n].weight).sum();
    for n in order {
        let share = remaining as f64 * (demands[n].weight / weights).min(1.0);
        shares[n] = demands[n].wanted.min(share as Units).min(remaining);
        remaining -= shares[n];
        weights = (weights - demands[n].weight).max(f64::MIN_POSITIVE);
    }
    let reserve = remaining / demands.len().max(1) as u64;
    shares.iter_mut().for_each(|share| *share += reserve);
    shares
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn demands(wanted: &[Units]) -> Vec<Demand> {
        wanted.iter().map(|wanted| Demand { wanted: *wanted, weight: 1.0 }).collect()
    }

    #[test]
    fn small_demands_are_met_and_the_rest_is_shared() {
        assert_eq!(max_min(100, &demands(&[10, 80, 90])), [10, 45, 45]);
        assert_eq!(max_min(90, &demands(&[10, 10, 10])), [30, 30, 30], "unclaimed units are divided equally");
        let weighted = [Demand { wanted: 100, weight: 3.0 }, Demand { wanted: 100, weight: 1.0 }];
        assert_eq!(max_min(100, &weighted), [75, 25]);
        assert!(max_min(5, &[]).is_empty());
    }

    proptest! {
        #[test]
        fn shares_are_within_the_budget_and_max_min_fair(
            budget in 0u64..1_000_000, wanted in prop::collection::vec(0u64..100_000, 1..60)
        ) {
            let shares = max_min(budget, &demands(&wanted));
            prop_assert!(shares.iter().sum::<u64>() <= budget);
            let unmet =
                wanted.iter().zip(&shares).filter(|(wanted, share)| share < wanted).map(|(_, share)| *share);
            if let Some(min) = unmet.min() {
                // Rounding may cost each member one unit.
                let max = shares.iter().max().copied().unwrap_or(0);
                prop_assert!(
                    max <= min + wanted.len() as u64,
                    "unmet demand with share {min} while another has {max}"
                );
            }
        }
    }
}
