//! What forgotten names still owe, never less than the truth.

use std::fmt::{self, Debug, Formatter};
use std::hash::Hash;

use crate::{places, Keyed, Millis};

const ROWS: usize = 4;

/// For each name a moment until which it owes: the latest that was told of it, or a later one told of names that share
/// its cells in every row. A moment is its own fading: once it is past, the name owes nothing and its cells are free
/// again, without a pass. (A count-min sketch, Cormode and Muthukrishnan 2005, of maxima in place of sums; the moment
/// is the theoretical arrival time of the generic cell rate algorithm, ITU-T I.371.)
pub struct Debts {
    hash: Keyed,
    bits: u32,
    cells: Vec<Millis>,
}

impl Debts {
    /// A sketch of `cells` cells a row, rounded down to a power of two; 32 bytes for each.
    pub fn new(cells: usize, seed: u64) -> Debts {
        let bits = cells.clamp(16, 1 << 24).ilog2();
        // Zeroed pages are not resident until a debt touches them.
        Debts { hash: Keyed::new(seed, 0xdeb7), bits, cells: vec![0.0; ROWS << bits] }
    }

    /// Notes that a name owes until a moment. An earlier moment changes nothing.
    pub fn owe<K: Hash>(&mut self, key: &K, until: Millis) {
        for place in places(self.hash.hash(key), ROWS, self.bits) {
            if self.cells[place] < until {
                self.cells[place] = until;
            }
        }
    }

    /// Until when a name owes, as far as is known: never earlier than what was told, perhaps later. 0 if nothing was.
    pub fn owed_until<K: Hash>(&self, key: &K) -> Millis {
        let cells = places(self.hash.hash(key), ROWS, self.bits).map(|place| self.cells[place]);
        cells.fold(f64::INFINITY, f64::min)
    }

    /// Bytes that it holds at most.
    pub fn bytes(&self) -> usize {
        self.cells.len() * std::mem::size_of::<Millis>()
    }
}

impl Debug for Debts {
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
            let mut debts = Debts::new(16, seed);
            let mut truth = std::collections::BTreeMap::new();
            for (name, until) in told {
                debts.owe(&name, until);
                let longest = truth.entry(name).or_insert(0.0f64);
                *longest = longest.max(until);
            }
            for (name, until) in truth {
                prop_assert!(debts.owed_until(&name) >= until);
            }
        }
    }

    /// A name that owes nothing is taken for a debtor by chance alone: with half as many debts as cells a row,
    /// (1 - e^-0.5)^4 = 2.4% of the time.
    #[test]
    fn few_names_are_taken_for_others() {
        let mut debts = Debts::new(4096, 7);
        (0..2048u64).for_each(|name| debts.owe(&name, 1.0));
        let wrong = (10_000..20_000u64).filter(|name| debts.owed_until(name) > 0.0).count();
        assert!((100..400).contains(&wrong), "{wrong} of 10000");
    }

    /// Names that fall into one cell of an unkeyed table, such as multiples of its size, are spread by the seed.
    #[test]
    fn chosen_names_do_not_share_cells() {
        let mut debts = Debts::new(4096, 7);
        (0..64u64).for_each(|n| debts.owe(&(n << 32), 1.0));
        let wrong = (64..1064u64).filter(|n| debts.owed_until(&(n << 32)) > 0.0).count();
        assert!(wrong < 5, "{wrong} of 1000");
    }
}
