//! State kept by name, in fixed memory: a [`Table`] of the names in use, a [`DeficitSketch`] sketch of what the forgotten
//! ones still owe, and a filter of the names seen [`RecentKeys`].
//!
//! All take any flood of names in constant time and memory. They do *not* decide what a record means, whether it may
//! go or what its debt is: the caller says so when asked, and brings the time with each call. They read no clock and
//! draw no random numbers: the same seed and calls give the same records in the same order.
//!
//! ```
//! use marldeal_firms::{DeficitSketch, Evictability, Table};
//!
//! // Two names at most. What a name spent fills again within its debt's milliseconds.
//! let mut table = Table::new(2, 42);
//! let mut debts = DeficitSketch::new(1024, 42);
//! for name in [1u64, 2, 3] {
//!     if let Some((gone, full_at, _)) = table.evict_if_full(|_, _| Evictability::WithDeficit) {
//!         debts.record(&gone, full_at);
//!     }
//!     table.insert(0.0, name, 500.0).expect("room was made");
//! }
//! assert_eq!(table.len(), 2);
//! // The first one was forgotten, what it owes was not.
//! assert!(table.get(&1u64).is_none());
//! assert!(debts.deficit_until(&1u64) >= 500.0);
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

/// A moment in milliseconds of the caller's clock.
pub type Millis = f64;

/// A hash that nobody without the seed can make collide (SipHash-1-3, Aumasson and Bernstein 2012).
#[derive(Debug, Clone, Copy)]
struct Keyed(u64, u64);

impl Keyed {
    /// `salt` keeps apart what shares a seed.
    fn new(seed: u64, salt: u64) -> Keyed {
        Keyed(seed, salt)
    }

    fn hash<K: Hash>(self, key: &K) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.0, self.1);
        key.hash(&mut hasher);
        hasher.finish()
    }
}

/// Places of one hash in `rows` rows of `1 << bits` cells each (Kirsch and Mitzenmacher 2006: two halves of one hash
/// serve as well as a hash for each row).
fn places(hash: u64, rows: usize, bits: u32) -> impl Iterator<Item = usize> {
    let (one, two) = (hash as u32, (hash >> 32) as u32 | 1);
    let mask = (1usize << bits) - 1;
    (0..rows).map(move |row| {
        let at = one.wrapping_add((row as u32).wrapping_mul(two)) as usize;
        (row << bits) + (at & mask)
    })
}
