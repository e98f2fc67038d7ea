//! Which names were seen within the last seconds, without a record of them.

use std::fmt::{self, Debug, Formatter};
use std::hash::Hash;

use crate::{places, Keyed, Millis};

const ROWS: usize = 4;

/// Two Bloom filters (Bloom 1970) that take turns: a name counts as seen for one to two turns. Clearing one is the only
/// pass it makes: 64 KiB for each half a million cells.
pub struct RecentKeys {
    hash: Keyed,
    bits: u32,
    turn_ms: Millis,
    turned: Millis,
    new: Vec<u64>,
    old: Vec<u64>,
}

impl RecentKeys {
    /// Remembers some `names` in each turn of `turn_ms`, mistaking another for one of them 2% of the time; a byte for
    /// each name, twice.
    pub fn new(names: usize, turn_ms: Millis, seed: u64) -> RecentKeys {
        let bits = (names.clamp(64, 1 << 24) * 8 / ROWS).next_power_of_two().trailing_zeros();
        let words = (ROWS << bits) / 64;
        let hash = Keyed::new(seed, 0x1a7e);
        RecentKeys { hash, bits, turn_ms, turned: 0.0, new: vec![0; words], old: vec![0; words] }
    }

    /// Whether a name was seen within the last turn; from now on it was.
    pub fn check_and_insert<K: Hash>(&mut self, now: Millis, key: &K) -> bool {
        if now - self.turned >= self.turn_ms {
            let long = now - self.turned >= 2.0 * self.turn_ms;
            std::mem::swap(&mut self.new, &mut self.old);
            self.new.fill(0);
            if long {
                self.old.fill(0);
            }
            self.turned = now;
        }
        let (mut in_new, mut in_old) = (true, true);
        for place in places(self.hash.hash(key), ROWS, self.bits) {
            let (word, bit) = (place / 64, 1 << (place % 64));
            in_new &= self.new[word] & bit != 0;
            in_old &= self.old[word] & bit != 0;
            self.new[word] |= bit;
        }
        in_new || in_old
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        2 * self.new.len() * 8
    }
}

impl Debug for RecentKeys {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lately").field("bytes", &self.bytes()).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_is_known_for_a_turn_and_forgotten_after_two() {
        let mut lately = RecentKeys::new(1000, 100.0, 5);
        assert!(!lately.check_and_insert(1000.0, &7u64));
        assert!(lately.check_and_insert(1001.0, &7u64));
        assert!(lately.check_and_insert(1100.0, &7u64));
        assert!(!lately.check_and_insert(1310.0, &7u64));
    }

    #[test]
    fn few_are_mistaken_at_its_size() {
        let mut lately = RecentKeys::new(10_000, 100.0, 5);
        let wrong = (0..10_000u64).filter(|name| lately.check_and_insert(0.0, name)).count();
        assert!(wrong < 400, "{wrong} of 10000");
    }
}
