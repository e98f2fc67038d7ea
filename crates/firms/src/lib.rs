//! Per-key state in fixed memory: a [`Table`] of records for the keys in use, a [`DeficitSketch`] with the deficits of
//! evicted keys, and [`RecentKeys`], a filter of the keys used recently.
//!
//! Each handles any number of distinct keys in constant time per call and constant memory. They do *not* decide what a
//! record means, whether it may be evicted or how large its deficit is: the caller supplies this, and the time with
//! each call. They read no clock and draw no random numbers: the same seed and calls give the same records in the same
//! order.
//!
//! ```
//! use marldeal_firms::{DeficitSketch, Evictability, Table};
//!
//! // The table holds two keys. Each record is the time until which its key has a deficit.
//! let mut table = Table::new(2, 42);
//! let mut deficits = DeficitSketch::new(1024, 42);
//! for key in [1u64, 2, 3] {
//!     if let Some((evicted, full_at, _)) = table.evict_if_full(|_, _| Evictability::WithDeficit) {
//!         deficits.record(&evicted, full_at);
//!     }
//!     table.insert(0.0, key, 500.0).expect("a record was evicted");
//! }
//! assert_eq!(table.len(), 2);
//! // The first record was evicted; its deficit is still known.
//! assert!(table.get(&1u64).is_none());
//! assert!(deficits.deficit_until(&1u64) >= 500.0);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod deficits;
mod frequency;
mod recent;
mod table;

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

pub use deficits::DeficitSketch;
pub use recent::RecentKeys;
pub use table::{Evictability, Table};

/// A point in time in milliseconds of the caller's clock.
pub type Millis = f64;

/// A keyed hash: without the seed nobody can construct collisions (SipHash-1-3, Aumasson and Bernstein 2012).
#[derive(Debug, Clone, Copy)]
struct KeyedHash(u64, u64);

impl KeyedHash {
    /// `salt` gives structures that share a seed different hashes.
    fn new(seed: u64, salt: u64) -> KeyedHash {
        KeyedHash(seed, salt)
    }

    fn hash<K: Hash>(self, key: &K) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.0, self.1);
        key.hash(&mut hasher);
        hasher.finish()
    }
}

/// Cell indexes of a hash in `rows` rows of `1 << bits` cells each. Two halves of one hash serve as well as a separate
/// hash for each row (Kirsch and Mitzenmacher 2006).
fn cell_indexes(hash: u64, rows: usize, bits: u32) -> impl Iterator<Item = usize> {
    let (first, second) = (hash as u32, (hash >> 32) as u32 | 1);
    let mask = (1usize << bits) - 1;
    (0..rows).map(move |row| {
        let column = first.wrapping_add((row as u32).wrapping_mul(second)) as usize;
        (row << bits) + (column & mask)
    })
}
