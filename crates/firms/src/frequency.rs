//! Estimates how often a key was used recently, with counters up to 15 and without a record per key.

use crate::cell_indexes;

const ROWS: usize = 4;
const MAX_COUNT: u8 = 15;
/// All counters are halved once in this many uses per key of the capacity (TinyLFU, Einziger, Friedman and Manes 2017).
const AGING_USES_PER_KEY: usize = 10;

/// A count-min sketch with aging. A few cells are halved at fixed intervals of uses, so that no call visits all cells.
#[derive(Debug)]
pub(crate) struct FrequencySketch {
    bits: u32,
    cells: Vec<u8>,
    aging_index: usize,
    uses: usize,
}

impl FrequencySketch {
    pub(crate) fn new(keys: usize) -> FrequencySketch {
        // Four rows with 0.5 to 1 one-byte cell per key: 2 to 4 bytes per key.
        let bits = (keys.clamp(32, 1 << 25).next_power_of_two() / 2).trailing_zeros();
        FrequencySketch { bits, cells: vec![0; ROWS << bits], aging_index: 0, uses: 0 }
    }

    pub(crate) fn record(&mut self, hash: u64) {
        let estimate = self.estimate(hash);
        if estimate < MAX_COUNT {
            // Conservative update (Estan and Varghese 2002): only the cells that equal the estimate are raised.
            for index in cell_indexes(hash, ROWS, self.bits) {
                self.cells[index] = self.cells[index].max(estimate + 1);
            }
        }
        self.uses += 1;
        if self.uses.is_multiple_of(4 * AGING_USES_PER_KEY) {
            // 8 cells per 40 uses: 2 * `keys` cells in `AGING_USES_PER_KEY` * `keys` uses.
            for cell in &mut self.cells[self.aging_index..self.aging_index + 2 * ROWS] {
                *cell /= 2;
            }
            self.aging_index = (self.aging_index + 2 * ROWS) % self.cells.len();
        }
    }

    pub(crate) fn estimate(&self, hash: u64) -> u8 {
        cell_indexes(hash, ROWS, self.bits).map(|index| self.cells[index]).min().unwrap_or(0)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.cells.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_grow_with_uses_and_fade_with_those_of_other_keys() {
        let mut frequency = FrequencySketch::new(64);
        let spread = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (0..9).for_each(|_| frequency.record(spread(1)));
        assert!(frequency.estimate(spread(1)) >= 8);
        (0..64 * AGING_USES_PER_KEY as u64 * 8).for_each(|n| frequency.record(spread(n % 7 + 100)));
        assert!(frequency.estimate(spread(1)) <= 1, "{}", frequency.estimate(spread(1)));
        // The maximum, or half of it right after an aging step.
        assert!(frequency.estimate(spread(100)) >= MAX_COUNT / 2, "{}", frequency.estimate(spread(100)));
    }
}
