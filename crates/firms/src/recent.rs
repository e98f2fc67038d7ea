//! Remembers which keys were used within the last seconds, without a record per key.

use std::fmt::{self, Debug, Formatter};
use std::hash::Hash;

use crate::{cell_indexes, KeyedHash, Millis};

const ROWS: usize = 4;

/// Two Bloom filters (Bloom 1970) that are rotated: a key is remembered for one to two rotation periods. Clearing one
/// filter at a rotation is the only full pass: 64 KiB per half a million cells.
pub struct RecentKeys {
    hash: KeyedHash,
    bits: u32,
    period_ms: Millis,
    rotated_at: Millis,
    current: Vec<u64>,
    previous: Vec<u64>,
}

impl RecentKeys {
    /// A filter for `keys` keys in each period of `period_ms`. At that load another key is taken for one of them
    /// 2% of the time. It uses two bytes per key.
    pub fn new(keys: usize, period_ms: Millis, seed: u64) -> RecentKeys {
        let bits = (keys.clamp(64, 1 << 24) * 8 / ROWS).next_power_of_two().trailing_zeros();
        let words = (ROWS << bits) / 64;
        let hash = KeyedHash::new(seed, 0x1a7e);
        RecentKeys {
            hash,
            bits,
            period_ms,
            rotated_at: 0.0,
            current: vec![0; words],
            previous: vec![0; words],
        }
    }

    /// Returns whether a key was used within the last period, and marks it as used now.
    pub fn check_and_insert<K: Hash>(&mut self, now: Millis, key: &K) -> bool {
        if now - self.rotated_at >= self.period_ms {
            let both_expired = now - self.rotated_at >= 2.0 * self.period_ms;
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.fill(0);
            if both_expired {
                self.previous.fill(0);
            }
            self.rotated_at = now;
        }
        let (mut in_current, mut in_previous) = (true, true);
        for index in cell_indexes(self.hash.hash(key), ROWS, self.bits) {
            let (word, bit) = (index / 64, 1 << (index % 64));
            in_current &= self.current[word] & bit != 0;
            in_previous &= self.previous[word] & bit != 0;
            self.current[word] |= bit;
        }
        in_current || in_previous
    }

    /// Memory in bytes.
    pub fn bytes(&self) -> usize {
        2 * self.current.len() * 8
    }
}

impl Debug for RecentKeys {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        // The printed name is fixed and differs from the type's name.
        f.debug_struct("Lately").field("bytes", &self.bytes()).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_remembered_for_one_period_and_forgotten_after_two() {
        let mut recent = RecentKeys::new(1000, 100.0, 5);
        assert!(!recent.check_and_insert(1000.0, &7u64));
        assert!(recent.check_and_insert(1001.0, &7u64));
        assert!(recent.check_and_insert(1100.0, &7u64));
        assert!(!recent.check_and_insert(1310.0, &7u64));
    }

    #[test]
    fn false_positives_are_rare_at_the_design_load() {
        let mut recent = RecentKeys::new(10_000, 100.0, 5);
        let false_positives = (0..10_000u64).filter(|key| recent.check_and_insert(0.0, key)).count();
        assert!(false_positives < 400, "{false_positives} of 10000");
    }
}
