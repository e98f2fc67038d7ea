//! What forgotten names still owe, never less than the truth.

use std::fmt::{self, Debug, Formatter};
use std::hash::Hash;

use crate::{places, Keyed, Millis};

const ROWS: usize = 4;

/// For each name a moment until which it owes: the latest that was told of it, or a later one told of names that share
/// its cells in every row. A moment is its own fading: once it is past, the name owes nothing and its cells are free
/// again, without a pass. (A count-min sketch, Cormode and Muthukrishnan 2005, of maxima in place of sums; the moment
/// is the theoretical arrival time of the generic cell rate algorithm, ITU-T I.371.)
#[derive(Clone)]
pub struct DeficitSketch {
    seed: u64,
    hash: Keyed,
    bits: u32,
    cells: Vec<Millis>,
}

impl DeficitSketch {
    /// A sketch of `cells` cells a row, rounded down to a power of two; 32 bytes for each.
    pub fn new(cells: usize, seed: u64) -> DeficitSketch {
        let bits = cells.clamp(16, 1 << 24).ilog2();
        // Zeroed pages are not resident until a debt touches them.
        DeficitSketch { seed, hash: Keyed::new(seed, 0xdeb7), bits, cells: vec![0.0; ROWS << bits] }
    }

    /// Notes that a name owes until a moment. An earlier moment changes nothing.
    pub fn record<K: Hash>(&mut self, key: &K, until: Millis) {
        for place in places(self.hash.hash(key), ROWS, self.bits) {
            if self.cells[place] < until {
                self.cells[place] = until;
            }
        }
    }

    /// Until when a name owes, as far as is known: never earlier than what was told, perhaps later. 0 if nothing was.
    pub fn deficit_until<K: Hash>(&self, key: &K) -> Millis {
        let cells = places(self.hash.hash(key), ROWS, self.bits).map(|place| self.cells[place]);
        cells.fold(f64::INFINITY, f64::min)
    }

    /// All that is owed after `now`: the seed of its places, and how much longer each cell in use owes.
    pub fn remaining(&self, now: Millis) -> (u64, Vec<(u32, Millis)>) {
        let used = self.cells.iter().enumerate().filter(|(_, until)| **until > now);
        (self.seed, used.map(|(at, until)| (at as u32, until - now)).collect())
    }

    /// Takes over what another sketch of the same size told with [`DeficitSketch::remaining`], in place of all that is here. False,
    /// and nothing changes, if its cells do not fit.
    pub fn restore(&mut self, now: Millis, (seed, owing): &(u64, Vec<(u32, Millis)>)) -> bool {
        let fits = owing.iter().all(|(at, ms)| (*at as usize) < self.cells.len() && *ms > 0.0);
        if fits {
            (self.seed, self.hash) = (*seed, Keyed::new(*seed, 0xdeb7));
            self.cells.fill(0.0);
            owing.iter().for_each(|(at, ms)| self.cells[*at as usize] = now + ms);
        }
        fits
    }

    /// Bytes that it holds at most.
    pub fn bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<Millis>()
    }
}

impl Debug for DeficitSketch {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Debts").field("bytes", &self.bytes()).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn a_debt_is_never_told_shorter_than_it_is(
            told in proptest::collection::vec((0u64..500, 1.0f64..1e6), 1..400),
            seed in any::<u64>(),
        ) {
            let mut debts = DeficitSketch::new(16, seed);
            let mut truth = std::collections::BTreeMap::new();
            for (name, until) in told {
                debts.record(&name, until);
                let longest = truth.entry(name).or_insert(0.0f64);
                *longest = longest.max(until);
            }
            for (name, until) in truth {
                prop_assert!(debts.deficit_until(&name) >= until);
            }
        }
    }

    #[test]
    fn debts_taken_over_are_as_long() {
        let mut debts = DeficitSketch::new(64, 7);
        (0..50u64).for_each(|name| debts.record(&name, 100.0 + name as f64));
        let mut other = DeficitSketch::new(64, 8);
        other.record(&99u64, 1e9);
        assert!(other.restore(1020.0, &debts.remaining(20.0)));
        for name in 0..100u64 {
            let (was, is) = (debts.deficit_until(&name), other.deficit_until(&name));
            assert!(
                if was > 20.0 { (is - was - 1000.0).abs() < 1e-6 } else { is == 0.0 },
                "{name}: {was} {is}"
            );
        }
        assert!(!DeficitSketch::new(16, 1).restore(0.0, &(7, vec![(64, 1.0)])));
    }

    /// A name that owes nothing is taken for a debtor by chance alone: with half as many debts as cells a row,
    /// (1 - e^-0.5)^4 = 2.4% of the time.
    #[test]
    fn few_names_are_taken_for_others() {
        let mut debts = DeficitSketch::new(4096, 7);
        (0..2048u64).for_each(|name| debts.record(&name, 1.0));
        let wrong = (10_000..20_000u64).filter(|name| debts.deficit_until(name) > 0.0).count();
        assert!((100..400).contains(&wrong), "{wrong} of 10000");
    }

    /// Names that fall into one cell of an unkeyed table, such as multiples of its size, are spread by the seed.
    #[test]
    fn chosen_names_do_not_share_cells() {
        let mut debts = DeficitSketch::new(4096, 7);
        (0..64u64).for_each(|n| debts.record(&(n << 32), 1.0));
        let wrong = (64..1064u64).filter(|n| debts.deficit_until(&(n << 32)) > 0.0).count();
        assert!(wrong < 5, "{wrong} of 1000");
    }
}
