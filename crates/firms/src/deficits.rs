//! Remembers the deficits of evicted keys; the estimate is never too low.

use std::fmt::{self, Debug, Formatter};
use std::hash::Hash;

use crate::{cell_indexes, KeyedHash, Millis};

const ROWS: usize = 4;

/// Stores for each key the time until which it has a deficit: the latest one recorded for it, or a later one of keys
/// that share its cells in every row. Entries expire by themselves: once the time has passed, the key has no deficit
/// and its cells are free again, without a pass over the sketch. (A count-min sketch, Cormode and Muthukrishnan 2005,
/// with maxima in place of sums; the time is the theoretical arrival time of the generic cell rate algorithm,
/// ITU-T I.371.)
#[derive(Clone)]
pub struct DeficitSketch {
    seed: u64,
    hash: KeyedHash,
    bits: u32,
    cells: Vec<Millis>,
}

impl DeficitSketch {
    /// A sketch with `cells` cells per row, rounded down to a power of two. It uses 32 bytes per cell of a row.
    pub fn new(cells: usize, seed: u64) -> DeficitSketch {
        let bits = cells.clamp(16, 1 << 24).ilog2();
        // Zeroed pages become resident only once a deficit is written to them.
        DeficitSketch { seed, hash: KeyedHash::new(seed, 0xdeb7), bits, cells: vec![0.0; ROWS << bits] }
    }

    /// Records that a key has a deficit until `until`. A time earlier than the recorded one changes nothing.
    pub fn record<K: Hash>(&mut self, key: &K, until: Millis) {
        for index in cell_indexes(self.hash.hash(key), ROWS, self.bits) {
            if self.cells[index] < until {
                self.cells[index] = until;
            }
        }
    }

    /// Time until which a key has a deficit: never earlier than recorded, possibly later. 0 if none was recorded.
    pub fn deficit_until<K: Hash>(&self, key: &K) -> Millis {
        let cells = cell_indexes(self.hash.hash(key), ROWS, self.bits).map(|index| self.cells[index]);
        cells.fold(f64::INFINITY, f64::min)
    }

    /// Exports the deficits that last beyond `now`: the hash seed, and the index and remaining time of each cell.
    pub fn remaining(&self, now: Millis) -> (u64, Vec<(u32, Millis)>) {
        let used = self.cells.iter().enumerate().filter(|(_, until)| **until > now);
        (self.seed, used.map(|(index, until)| (index as u32, until - now)).collect())
    }

    /// Replaces the content by what another sketch of the same size exported with [`DeficitSketch::remaining`].
    /// Returns false and changes nothing if the cells do not fit.
    pub fn restore(&mut self, now: Millis, (seed, remaining): &(u64, Vec<(u32, Millis)>)) -> bool {
        let fits = remaining.iter().all(|(index, ms)| (*index as usize) < self.cells.len() && *ms > 0.0);
        if fits {
            (self.seed, self.hash) = (*seed, KeyedHash::new(*seed, 0xdeb7));
            self.cells.fill(0.0);
            remaining.iter().for_each(|(index, ms)| self.cells[*index as usize] = now + ms);
        }
        fits
    }

    /// Maximum memory in bytes.
    pub fn bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<Millis>()
    }
}

impl Debug for DeficitSketch {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        // The printed name is fixed and differs from the type's name.
        f.debug_struct("Debts").field("bytes", &self.bytes()).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn a_deficit_is_never_underestimated(
            recorded in proptest::collection::vec((0u64..500, 1.0f64..1e6), 1..400),
            seed in any::<u64>(),
        ) {
            let mut deficits = DeficitSketch::new(16, seed);
            let mut expected = std::collections::BTreeMap::new();
            for (key, until) in recorded {
                deficits.record(&key, until);
                let latest = expected.entry(key).or_insert(0.0f64);
                *latest = latest.max(until);
            }
            for (key, until) in expected {
                prop_assert!(deficits.deficit_until(&key) >= until);
            }
        }
    }

    #[test]
    fn restored_deficits_last_as_long() {
        let mut deficits = DeficitSketch::new(64, 7);
        (0..50u64).for_each(|key| deficits.record(&key, 100.0 + key as f64));
        let mut other = DeficitSketch::new(64, 8);
        other.record(&99u64, 1e9);
        assert!(other.restore(1020.0, &deficits.remaining(20.0)));
        for key in 0..100u64 {
            let (before, after) = (deficits.deficit_until(&key), other.deficit_until(&key));
            assert!(
                if before > 20.0 { (after - before - 1000.0).abs() < 1e-6 } else { after == 0.0 },
                "{key}: {before} {after}"
            );
        }
        assert!(!DeficitSketch::new(16, 1).restore(0.0, &(7, vec![(64, 1.0)])));
    }

    /// A key without a deficit appears to have one only by chance: with half as many deficits as cells per row,
    /// (1 - e^-0.5)^4 = 2.4% of the time.
    #[test]
    fn false_positives_are_as_rare_as_computed() {
        let mut deficits = DeficitSketch::new(4096, 7);
        (0..2048u64).for_each(|key| deficits.record(&key, 1.0));
        let false_positives = (10_000..20_000u64).filter(|key| deficits.deficit_until(key) > 0.0).count();
        assert!((100..400).contains(&false_positives), "{false_positives} of 10000");
    }

    /// Keys that would share one cell of an unseeded sketch, such as multiples of its size, are spread by the seed.
    #[test]
    fn chosen_keys_do_not_share_cells() {
        let mut deficits = DeficitSketch::new(4096, 7);
        (0..64u64).for_each(|n| deficits.record(&(n << 32), 1.0));
        let false_positives = (64..1064u64).filter(|n| deficits.deficit_until(&(n << 32)) > 0.0).count();
        assert!(false_positives < 5, "{false_positives} of 1000");
    }
}
