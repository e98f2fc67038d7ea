//! How much each should get: by demand, max-min fair with weights, the rest as stand-by.

use crate::Grains;

/// What one member wants of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Grains it could use now.
    pub want: Grains,
    /// Its weight against the others', above 0.
    pub weight: f64,
}

/// Divides a whole by demand (water-filling): nobody gets more than it wants while another lacks, those who lack get by
/// weight, and what nobody wants is left as stand-by in even parts. The sum never passes the whole. Takes n log n.
pub fn max_min(whole: Grains, demands: &[Demand]) -> Vec<Grains> {
    let mut shares = vec![0; demands.len()];
    // Those that are full first, by how much of a weight their demand is.
    let mut order: Vec<usize> = (0..demands.len()).filter(|n| demands[*n].weight > 0.0).collect();
    let level = |n: usize| demands[n].want as f64 / demands[n].weight;
    order.sort_by(|a, b| level(*a).total_cmp(&level(*b)).then(a.cmp(b)));
    let mut left = whole;
    let mut weights: f64 = order.iter().map(|n| demands[*n].weight).sum();
    for n in order {
        let part = left as f64 * (demands[n].weight / weights).min(1.0);
        shares[n] = demands[n].want.min(part as Grains).min(left);
        left -= shares[n];
        weights = (weights - demands[n].weight).max(f64::MIN_POSITIVE);
    }
    let even = left / demands.len().max(1) as u64;
    shares.iter_mut().for_each(|share| *share += even);
    shares
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn demands(wants: &[Grains]) -> Vec<Demand> {
        wants.iter().map(|want| Demand { want: *want, weight: 1.0 }).collect()
    }

    #[test]
    fn those_who_want_little_get_it_and_the_others_share_the_rest() {
        assert_eq!(max_min(100, &demands(&[10, 80, 90])), [10, 45, 45]);
        assert_eq!(max_min(90, &demands(&[10, 10, 10])), [30, 30, 30], "what nobody wants stands by");
        let weighed = [Demand { want: 100, weight: 3.0 }, Demand { want: 100, weight: 1.0 }];
        assert_eq!(max_min(100, &weighed), [75, 25]);
        assert!(max_min(5, &[]).is_empty());
    }

    proptest! {
        #[test]
        fn shares_stay_within_the_whole_and_nobody_lacks_beside_one_with_more(
            whole in 0u64..1_000_000, wants in prop::collection::vec(0u64..100_000, 1..60)
        ) {
            let shares = max_min(whole, &demands(&wants));
            prop_assert!(shares.iter().sum::<u64>() <= whole);
            let lacks = wants.iter().zip(&shares).filter(|(want, share)| share < want).map(|(_, share)| *share);
            if let Some(least) = lacks.min() {
                // Rounding may cost each a grain.
                let most = shares.iter().max().copied().unwrap_or(0);
                prop_assert!(most <= least + wants.len() as u64, "{least} beside {most}");
            }
        }
    }
}
