//! A table of a bounded number of names, each call in constant time.

use std::fmt::{self, Debug, Formatter};
use std::hash::Hash;

use crate::frequency::Frequency;
use crate::{Keyed, Millis};

/// No slot.
const NONE: u32 = u32::MAX;
/// Records in one piece of memory; pieces come and go one at a time, so that nothing is ever copied as a whole.
const CHUNK: usize = 1024;
/// Share of the table that names seen again may hold; the rest is for those seen once, which a scan turns over.
const PROTECTED: f64 = 0.8;
/// Records looked at for one to forget.
const LOOKS: usize = 8;

/// What becomes of a record that is to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evictability {
    /// Nothing is lost by forgetting it.
    Lossless,
    /// It owes something, which must be carried on elsewhere.
    WithDeficit,
    /// It must stay.
    Pinned,
}

#[derive(Debug)]
struct Slot<K, V> {
    key: K,
    value: V,
    /// When it was last put to the young end of its list.
    stamp: Millis,
    /// Next in its bucket.
    chain: u32,
    older: u32,
    younger: u32,
    protected: bool,
}

/// A list through the slots by age.
#[derive(Debug, Clone, Copy)]
struct List {
    oldest: u32,
    youngest: u32,
    len: usize,
}

/// Records by name, at most so many. A segmented LRU (Karedla, Love and Wherry 1994): a new name is on probation, one
/// that is seen there again moves to the protected part, and where that is full, only if it has been seen more often
/// of late than the one it would displace (TinyLFU). What is to go is looked for among the oldest on probation.
///
/// Memory: 2 to 4 bytes of buckets and as many of frequencies for each name it may hold, which the system gives only
/// once touched, and the records that it does hold, in pieces of 1,024.
pub struct Table<K, V> {
    hash: Keyed,
    capacity: usize,
    buckets: Vec<u32>,
    chunks: Vec<Vec<Slot<K, V>>>,
    len: usize,
    lists: [List; 2],
    seen: Option<Frequency>,
}

/// The records alone, in the order of [`Table::iter`].
impl<K: Copy + Eq + Hash + Debug, V: Debug> Debug for Table<K, V> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}

impl<K: Copy + Eq + Hash, V> Table<K, V> {
    /// A table of `most` records that keeps the names in use.
    pub fn new(capacity: usize, seed: u64) -> Self {
        Table { seen: Some(Frequency::new(capacity)), ..Table::fifo(capacity, seed) }
    }

    /// A table of `most` records that are never seen again, such as names in the order in which they came.
    pub fn fifo(capacity: usize, seed: u64) -> Self {
        let capacity = capacity.clamp(1, 1 << 30);
        Table {
            hash: Keyed::new(seed, 0x7ab1),
            capacity,
            // Zeroed: the system gives these pages as they are touched. A bucket holds a slot's number and one.
            // One or two records to a bucket when full.
            buckets: vec![0; (capacity.next_power_of_two() / 2).max(1)],
            chunks: Vec::new(),
            len: 0,
            lists: [List { oldest: NONE, youngest: NONE, len: 0 }; 2],
            seen: None,
        }
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Most records held.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Bytes held at most by the whole table when full.
    pub fn max_bytes(&self) -> usize {
        let fixed = self.buckets.len() * 4 + self.seen.as_ref().map_or(0, Frequency::bytes);
        fixed + self.capacity.next_multiple_of(CHUNK) * std::mem::size_of::<Slot<K, V>>()
    }

    /// Bytes of the pieces that hold records at present.
    pub fn record_bytes(&self) -> usize {
        self.chunks.len() * CHUNK * std::mem::size_of::<Slot<K, V>>()
    }

    fn slot(&self, at: u32) -> &Slot<K, V> {
        &self.chunks[at as usize / CHUNK][at as usize % CHUNK]
    }

    fn slot_mut(&mut self, at: u32) -> &mut Slot<K, V> {
        &mut self.chunks[at as usize / CHUNK][at as usize % CHUNK]
    }

    fn bucket(&self, hash: u64) -> usize {
        (hash >> 32) as usize & (self.buckets.len() - 1)
    }

    fn find(&self, hash: u64, key: &K) -> Option<u32> {
        let mut at = self.buckets[self.bucket(hash)].wrapping_sub(1);
        while at != NONE {
            let slot = self.slot(at);
            if slot.key == *key {
                return Some(at);
            }
            at = slot.chain;
        }
        None
    }

    /// A record, as it is.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.find(self.hash.hash(key), key).map(|at| &self.slot(at).value)
    }

    /// A record, to be changed; its age stays.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let at = self.find(self.hash.hash(key), key)?;
        Some(&mut self.slot_mut(at).value)
    }

    /// A record that is in use at `now`. A name that is not held counts as seen as well.
    pub fn touch(&mut self, now: Millis, key: &K) -> Option<&mut V> {
        let hash = self.hash.hash(key);
        if let Some(seen) = &mut self.seen {
            seen.add(hash);
        }
        let at = self.find(hash, key)?;
        let protected = self.slot(at).protected || self.protects(hash);
        self.unlink(at);
        self.link(now, at, protected);
        Some(&mut self.slot_mut(at).value)
    }

    /// Whether a name seen again on probation moves up; where there is no place, the one that has not been used for
    /// longest makes room if it is seen less.
    fn protects(&mut self, hash: u64) -> bool {
        let list = self.lists[1];
        if (list.len as f64) < self.capacity as f64 * PROTECTED {
            return true;
        }
        let Some(seen) = &self.seen else { return false };
        let Some(last) = (list.oldest != NONE).then(|| self.slot(list.oldest)) else { return false };
        if seen.of(hash) <= seen.of(self.hash.hash(&last.key)) {
            return false;
        }
        let (at, stamp) = (list.oldest, last.stamp);
        self.unlink(at);
        self.link(stamp, at, false);
        true
    }

    /// Adds a record for a name that is not held. Given back if there is no room.
    ///
    /// # Errors
    /// The value, if the table is full or holds the name.
    pub fn insert(&mut self, now: Millis, key: K, value: V) -> Result<&mut V, V> {
        let hash = self.hash.hash(&key);
        if self.len >= self.capacity || self.find(hash, &key).is_some() {
            return Err(value);
        }
        let (bucket, at) = (self.bucket(hash), self.len as u32);
        if self.len.is_multiple_of(CHUNK) && self.chunks.len() * CHUNK == self.len {
            self.chunks.push(Vec::with_capacity(CHUNK));
        }
        let chain = self.buckets[bucket].wrapping_sub(1);
        let slot = Slot { key, value, stamp: now, chain, older: NONE, younger: NONE, protected: false };
        self.chunks[self.len / CHUNK].push(slot);
        self.buckets[bucket] = at + 1;
        self.len += 1;
        // One that was forgotten a moment ago need not prove itself again.
        let back = self.seen.as_ref().is_some_and(|seen| seen.of(hash) > 1) && self.protects(hash);
        self.link(now, at, back);
        Ok(&mut self.slot_mut(at).value)
    }

    /// Takes a record out.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let at = self.find(self.hash.hash(key), key)?;
        Some(self.take(at).1)
    }

    /// Where the table is full, forgets one record and gives it back with its fate, for its debt to be carried on:
    /// among the oldest on probation, then among the oldest of all, the first that is full again, else the oldest that
    /// may go. Nothing if there is room, or if all that was looked at must stay.
    pub fn evict_if_full(&mut self, weigh: impl Fn(&K, &V) -> Evictability) -> Option<(K, V, Evictability)> {
        if self.len < self.capacity {
            return None;
        }
        for list in 0..2 {
            let (mut at, mut owes, mut looks) = (self.lists[list].oldest, None, 0);
            while at != NONE && looks < LOOKS {
                let slot = self.slot(at);
                match weigh(&slot.key, &slot.value) {
                    Evictability::Lossless => {
                        let (key, value) = self.take(at);
                        return Some((key, value, Evictability::Lossless));
                    }
                    Evictability::WithDeficit => owes = owes.or(Some(at)),
                    Evictability::Pinned => {}
                }
                (at, looks) = (self.slot(at).younger, looks + 1);
            }
            if let Some(at) = owes {
                let (key, value) = self.take(at);
                return Some((key, value, Evictability::WithDeficit));
            }
            // What must stay goes to the young end, so that the next call sees others.
            for _ in 0..looks {
                let (at, stamp) = (self.lists[list].oldest, self.slot(self.lists[list].oldest).stamp);
                self.unlink(at);
                self.link(stamp.max(self.youngest_stamp(list)), at, list == 1);
            }
        }
        None
    }

    fn youngest_stamp(&self, list: usize) -> Millis {
        let at = self.lists[list].youngest;
        if at == NONE {
            f64::NEG_INFINITY
        } else {
            self.slot(at).stamp
        }
    }

    /// Drops records that were last used at `before` or earlier, if nothing is lost by it; one that owes or must stay is
    /// put to the young end as of `now`, to be asked about again when it is old. Looks at `at_most` records, and says
    /// at how many.
    pub fn expire(
        &mut self,
        now: Millis,
        before: Millis,
        at_most: usize,
        weigh: impl Fn(&K, &V) -> Evictability,
    ) -> usize {
        let mut looked = 0;
        for list in 0..2 {
            while looked < at_most {
                let at = self.lists[list].oldest;
                if at == NONE || self.slot(at).stamp > before {
                    break;
                }
                looked += 1;
                let slot = self.slot(at);
                if weigh(&slot.key, &slot.value) == Evictability::Lossless {
                    self.take(at);
                } else {
                    self.unlink(at);
                    self.link(now, at, list == 1);
                }
            }
        }
        looked
    }

    /// All records, in an order that follows from the calls alone. For tests and figures: it walks.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.chunks.iter().flatten().map(|slot| (&slot.key, &slot.value))
    }

    fn unlink(&mut self, at: u32) {
        let slot = self.slot(at);
        let (older, younger, list) = (slot.older, slot.younger, usize::from(slot.protected));
        match older {
            NONE => self.lists[list].oldest = younger,
            older => self.slot_mut(older).younger = younger,
        }
        match younger {
            NONE => self.lists[list].youngest = older,
            younger => self.slot_mut(younger).older = older,
        }
        self.lists[list].len -= 1;
    }

    fn link(&mut self, now: Millis, at: u32, protected: bool) {
        let list = usize::from(protected);
        let youngest = self.lists[list].youngest;
        let slot = self.slot_mut(at);
        (slot.stamp, slot.older, slot.younger, slot.protected) = (now, youngest, NONE, protected);
        match youngest {
            NONE => self.lists[list].oldest = at,
            youngest => self.slot_mut(youngest).younger = at,
        }
        self.lists[list].youngest = at;
        self.lists[list].len += 1;
    }

    /// Points whatever leads to slot `from`, its bucket or the one before it in the chain, to `to`.
    fn lead(&mut self, key: &K, from: u32, to: u32) {
        let bucket = self.bucket(self.hash.hash(key));
        let mut at = self.buckets[bucket].wrapping_sub(1);
        if at == from {
            self.buckets[bucket] = to.wrapping_add(1);
            return;
        }
        while self.slot(at).chain != from {
            at = self.slot(at).chain;
        }
        self.slot_mut(at).chain = to;
    }

    /// Takes a slot out and moves the last one into its place, so that records lie close and pieces can be given back.
    fn take(&mut self, at: u32) -> (K, V) {
        self.unlink(at);
        let (key, chain) = (self.slot(at).key, self.slot(at).chain);
        self.lead(&key, at, chain);
        let last = (self.len - 1) as u32;
        if at != last {
            let moved = self.slot(last);
            let (key, older, younger, list) =
                (moved.key, moved.older, moved.younger, usize::from(moved.protected));
            self.lead(&key, last, at);
            match older {
                NONE => self.lists[list].oldest = at,
                older => self.slot_mut(older).younger = at,
            }
            match younger {
                NONE => self.lists[list].youngest = at,
                younger => self.slot_mut(younger).older = at,
            }
        }
        let mut slot = self.chunks[last as usize / CHUNK].pop().expect("the last slot is there");
        if at != last {
            std::mem::swap(&mut slot, self.slot_mut(at));
        }
        self.len -= 1;
        // One empty piece is kept, so that a table that goes up and down by one does not allocate each time.
        if self.chunks.len() > self.len.div_ceil(CHUNK) + 1 {
            self.chunks.pop();
        }
        (slot.key, slot.value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    /// Each record is found, is on one list once, and lists are in the order of their stamps.
    fn check(table: &Table<u64, u64>, model: &BTreeMap<u64, u64>) {
        assert_eq!(table.len(), model.len());
        for (key, value) in model {
            assert_eq!(table.get(key), Some(value), "{key}");
        }
        let mut linked = 0;
        for (list, ends) in table.lists.iter().enumerate() {
            let (mut at, mut before, mut stamp) = (ends.oldest, NONE, f64::NEG_INFINITY);
            while at != NONE {
                let slot = table.slot(at);
                assert_eq!((slot.older, usize::from(slot.protected)), (before, list));
                assert!(list == 0 || slot.stamp >= stamp, "the protected part is in the order of use");
                (before, at, stamp, linked) = (at, slot.younger, slot.stamp, linked + 1);
            }
            assert_eq!(ends.youngest, before);
        }
        assert_eq!(linked, table.len());
        assert!(table.chunks.len() <= table.len().div_ceil(CHUNK) + 1);
    }

    proptest! {
        /// Against a plain map, with every way a record comes, moves and goes; one in five must stay, one in three owes.
        #[test]
        fn behaves_as_a_bounded_map(
            seed in any::<u64>(),
            most in 1usize..40,
            calls in proptest::collection::vec((0u8..6, 0u64..60), 1..400),
        ) {
            let fate = |key: &u64, _: &u64| match key {
                key if key % 5 == 0 => Evictability::Pinned,
                key if key % 3 == 0 => Evictability::WithDeficit,
                _ => Evictability::Lossless,
            };
            let (mut table, mut model) = (Table::new(most, seed), BTreeMap::new());
            for (n, (call, key)) in calls.into_iter().enumerate() {
                let now = n as f64;
                match call {
                    0 | 1 => {
                        let had = model.contains_key(&key);
                        if let Some((gone, value, how)) = (!had).then(|| table.evict_if_full(fate)).flatten() {
                            prop_assert_eq!(fate(&gone, &value), how);
                            prop_assert!(how != Evictability::Pinned);
                            prop_assert_eq!(model.remove(&gone), Some(value));
                        }
                        let done = table.insert(now, key, now as u64).is_ok();
                        prop_assert_eq!(done, !had && model.len() < most);
                        if done {
                            model.insert(key, now as u64);
                        }
                    }
                    2 => prop_assert_eq!(table.remove(&key), model.remove(&key)),
                    3 => {
                        let looked = table.expire(now, now - 20.0, 3, fate);
                        prop_assert!(looked <= 3);
                        let kept: BTreeMap<u64, u64> = table.iter().map(|(k, v)| (*k, *v)).collect();
                        prop_assert!(model.iter().all(|(k, v)| kept.contains_key(k) || fate(k, v) == Evictability::Lossless));
                        model = kept;
                    }
                    _ => {
                        if let Some(value) = table.touch(now, &key) {
                            *value += 1;
                        }
                        model.entry(key).and_modify(|v| *v += 1);
                    }
                }
                check(&table, &model);
            }
        }
    }

    /// Names that come once do not push out those that are used, nor do names that come twice.
    #[test]
    fn a_scan_does_not_win_against_names_in_use() {
        for times in [1, 2] {
            let mut table = Table::new(1000, 3);
            let mut now = 0.0;
            let mut add = |table: &mut Table<u64, ()>, key: u64| {
                now += 1.0;
                if table.touch(now, &key).is_none() {
                    table.evict_if_full(|_, _| Evictability::Lossless);
                    assert!(table.insert(now, key, ()).is_ok());
                }
            };
            // 300 names in use, each once a round, beside a scan that would turn the table over in each round.
            for round in 0..50u64 {
                for key in 0..300 {
                    add(&mut table, key);
                    for n in 0..4 {
                        (0..times).for_each(|_| add(&mut table, 1_000_000 + (round * 300 + key) * 4 + n));
                    }
                }
            }
            let kept = (0..300).filter(|key| table.get(key).is_some()).count();
            assert!(kept >= 270, "{kept} of 300 kept beside names that come {times} times");
        }
    }

    #[test]
    fn pieces_are_given_back() {
        let mut table = Table::fifo(100_000, 1);
        (0..100_000u64).for_each(|key| assert!(table.insert(0.0, key, [0u64; 4]).is_ok()));
        let full = table.record_bytes();
        assert!(full <= table.max_bytes());
        (0..100_000u64)
            .rev()
            .filter(|key| key % 100 != 0)
            .for_each(|key| assert!(table.remove(&key).is_some()));
        assert!(table.record_bytes() * 20 < full, "{} of {full}", table.record_bytes());
        assert!((0..100_000u64).step_by(100).all(|key| table.get(&key).is_some()));
    }

    #[test]
    fn one_seed_gives_one_order() {
        let run = || {
            let mut table = Table::new(50, 9);
            for key in 0..500u64 {
                let name = key * key % 97;
                if table.touch(key as f64, &name).is_none() {
                    table.evict_if_full(|k, _| {
                        if k % 7 == 0 {
                            Evictability::Pinned
                        } else {
                            Evictability::WithDeficit
                        }
                    });
                    let _ = table.insert(key as f64, name, key);
                }
            }
            table.iter().map(|(k, v)| (*k, *v)).collect::<Vec<_>>()
        };
        assert_eq!(run(), run());
    }
}
