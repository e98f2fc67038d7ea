//! A key-value table with a bounded number of records; each call takes constant time.

use std::fmt::{self, Debug, Formatter};
use std::hash::Hash;

use crate::frequency::FrequencySketch;
use crate::{KeyedHash, Millis};

/// Index that refers to no slot.
const NONE: u32 = u32::MAX;
/// Records in one allocated chunk. Chunks are allocated and freed one at a time, so the table is never copied whole.
const CHUNK_RECORDS: usize = 1024;
/// Fraction of the table that keys used repeatedly may occupy. The rest is for keys used once, which a scan replaces.
const PROTECTED_FRACTION: f64 = 0.8;
/// Records examined in each list when one has to be evicted.
const MAX_EXAMINED: usize = 8;

/// Whether and at what cost a record can be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evictability {
    /// Evicting the record loses no information.
    Lossless,
    /// The record has a deficit, which the caller must store elsewhere.
    WithDeficit,
    /// The record must not be evicted.
    Pinned,
}

#[derive(Debug)]
struct Slot<K, V> {
    key: K,
    value: V,
    /// When the record was last moved to the young end of its list.
    moved_at: Millis,
    /// Next slot in the same bucket.
    next_in_bucket: u32,
    older: u32,
    younger: u32,
    protected: bool,
}

/// A doubly linked list through the slots, ordered by age.
#[derive(Debug, Clone, Copy)]
struct List {
    oldest: u32,
    youngest: u32,
    len: usize,
}

/// A bounded map with a segmented LRU policy (Karedla, Love and Wherry 1994). A new key is on probation; if it is used
/// again there, it moves to the protected segment. If that segment is full, the key must have been used more often
/// recently than the one it would displace (TinyLFU). Records to evict are looked for first among the oldest on
/// probation.
///
/// Memory: 2 to 4 bytes of buckets and as many of frequency counters for each key of the capacity, which the operating
/// system provides only once they are touched, and the records actually held, in chunks of 1,024.
pub struct Table<K, V> {
    hash: KeyedHash,
    capacity: usize,
    buckets: Vec<u32>,
    chunks: Vec<Vec<Slot<K, V>>>,
    len: usize,
    lists: [List; 2],
    frequencies: Option<FrequencySketch>,
}

/// Prints the records only, in the order of [`Table::iter`].
impl<K: Copy + Eq + Hash + Debug, V: Debug> Debug for Table<K, V> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter()).finish()
    }
}

impl<K: Copy + Eq + Hash, V> Table<K, V> {
    /// A table of at most `capacity` records that keeps the keys in use.
    pub fn new(capacity: usize, seed: u64) -> Self {
        Table { frequencies: Some(FrequencySketch::new(capacity)), ..Table::fifo(capacity, seed) }
    }

    /// A table of at most `capacity` records whose keys are not used again, evicted in insertion order.
    pub fn fifo(capacity: usize, seed: u64) -> Self {
        let capacity = capacity.clamp(1, 1 << 30);
        Table {
            hash: KeyedHash::new(seed, 0x7ab1),
            capacity,
            // Zeroed memory becomes resident only once it is touched. A bucket holds a slot's index plus one, and a
            // full table has one or two records per bucket.
            buckets: vec![0; (capacity.next_power_of_two() / 2).max(1)],
            chunks: Vec::new(),
            len: 0,
            lists: [List { oldest: NONE, youngest: NONE, len: 0 }; 2],
            frequencies: None,
        }
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the table holds no record.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Maximum number of records.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Memory of the whole table when it is full, in bytes.
    pub fn max_bytes(&self) -> usize {
        let fixed = self.buckets.len() * 4 + self.frequencies.as_ref().map_or(0, FrequencySketch::bytes);
        fixed + self.capacity.next_multiple_of(CHUNK_RECORDS) * std::mem::size_of::<Slot<K, V>>()
    }

    /// Memory of the chunks that hold records at present, in bytes.
    pub fn record_bytes(&self) -> usize {
        self.chunks.len() * CHUNK_RECORDS * std::mem::size_of::<Slot<K, V>>()
    }

    fn slot(&self, index: u32) -> &Slot<K, V> {
        &self.chunks[index as usize / CHUNK_RECORDS][index as usize % CHUNK_RECORDS]
    }

    fn slot_mut(&mut self, index: u32) -> &mut Slot<K, V> {
        &mut self.chunks[index as usize / CHUNK_RECORDS][index as usize % CHUNK_RECORDS]
    }

    fn bucket(&self, hash: u64) -> usize {
        (hash >> 32) as usize & (self.buckets.len() - 1)
    }

    fn find(&self, hash: u64, key: &K) -> Option<u32> {
        let mut index = self.buckets[self.bucket(hash)].wrapping_sub(1);
        while index != NONE {
            let slot = self.slot(index);
            if slot.key == *key {
                return Some(index);
            }
            index = slot.next_in_bucket;
        }
        None
    }

    /// Returns a record without changing its age.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.find(self.hash.hash(key), key).map(|index| &self.slot(index).value)
    }

    /// Returns a record for modification without changing its age.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.find(self.hash.hash(key), key)?;
        Some(&mut self.slot_mut(index).value)
    }

    /// Returns a record and marks it as used at `now`. The use is counted even if the key is not in the table.
    pub fn touch(&mut self, now: Millis, key: &K) -> Option<&mut V> {
        let hash = self.hash.hash(key);
        if let Some(frequencies) = &mut self.frequencies {
            frequencies.record(hash);
        }
        let index = self.find(hash, key)?;
        let protected = self.slot(index).protected || self.try_promote(hash);
        self.unlink(index);
        self.link(now, index, protected);
        Some(&mut self.slot_mut(index).value)
    }

    /// Whether a key that was used again on probation moves to the protected segment. If the segment is full, its
    /// least recently used record is demoted, provided that its key has been used less often.
    fn try_promote(&mut self, hash: u64) -> bool {
        let list = self.lists[1];
        if (list.len as f64) < self.capacity as f64 * PROTECTED_FRACTION {
            return true;
        }
        let Some(frequencies) = &self.frequencies else { return false };
        let Some(last) = (list.oldest != NONE).then(|| self.slot(list.oldest)) else { return false };
        if frequencies.estimate(hash) <= frequencies.estimate(self.hash.hash(&last.key)) {
            return false;
        }
        let (index, moved_at) = (list.oldest, last.moved_at);
        self.unlink(index);
        self.link(moved_at, index, false);
        true
    }

    /// Adds a record for a key that is not in the table.
    ///
    /// # Errors
    /// Returns the value if the table is full or holds the key.
    pub fn insert(&mut self, now: Millis, key: K, value: V) -> Result<&mut V, V> {
        let hash = self.hash.hash(&key);
        if self.len >= self.capacity || self.find(hash, &key).is_some() {
            return Err(value);
        }
        let (bucket, index) = (self.bucket(hash), self.len as u32);
        if self.len.is_multiple_of(CHUNK_RECORDS) && self.chunks.len() * CHUNK_RECORDS == self.len {
            self.chunks.push(Vec::with_capacity(CHUNK_RECORDS));
        }
        let next_in_bucket = self.buckets[bucket].wrapping_sub(1);
        let slot =
            Slot { key, value, moved_at: now, next_in_bucket, older: NONE, younger: NONE, protected: false };
        self.chunks[self.len / CHUNK_RECORDS].push(slot);
        self.buckets[bucket] = index + 1;
        self.len += 1;
        // A key that was used before, but evicted, can return to the protected segment at once.
        let protected = self.frequencies.as_ref().is_some_and(|frequencies| frequencies.estimate(hash) > 1)
            && self.try_promote(hash);
        self.link(now, index, protected);
        Ok(&mut self.slot_mut(index).value)
    }

    /// Removes a record and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.find(self.hash.hash(key), key)?;
        Some(self.remove_slot(index).1)
    }

    /// Evicts one record if the table is full, and returns it with its evictability, so that the caller can store its
    /// deficit. Of the oldest records on probation, and then of the oldest protected ones, it evicts the first
    /// that is lossless, else the oldest that is not pinned. Returns `None` if the table is not full or if all records
    /// that were examined are pinned.
    pub fn evict_if_full(
        &mut self,
        classify: impl Fn(&K, &V) -> Evictability,
    ) -> Option<(K, V, Evictability)> {
        if self.len < self.capacity {
            return None;
        }
        for list in 0..2 {
            let (mut index, mut with_deficit, mut examined) = (self.lists[list].oldest, None, 0);
            while index != NONE && examined < MAX_EXAMINED {
                let slot = self.slot(index);
                match classify(&slot.key, &slot.value) {
                    Evictability::Lossless => {
                        let (key, value) = self.remove_slot(index);
                        return Some((key, value, Evictability::Lossless));
                    }
                    Evictability::WithDeficit => with_deficit = with_deficit.or(Some(index)),
                    Evictability::Pinned => {}
                }
                (index, examined) = (self.slot(index).younger, examined + 1);
            }
            if let Some(index) = with_deficit {
                let (key, value) = self.remove_slot(index);
                return Some((key, value, Evictability::WithDeficit));
            }
            // Pinned records move to the young end, so that the next call examines others.
            for _ in 0..examined {
                let (index, moved_at) =
                    (self.lists[list].oldest, self.slot(self.lists[list].oldest).moved_at);
                self.unlink(index);
                self.link(moved_at.max(self.youngest_moved_at(list)), index, list == 1);
            }
        }
        None
    }

    fn youngest_moved_at(&self, list: usize) -> Millis {
        let index = self.lists[list].youngest;
        if index == NONE {
            f64::NEG_INFINITY
        } else {
            self.slot(index).moved_at
        }
    }

    /// Removes lossless records that were last used at `used_until` or earlier. A record with a deficit or a pinned one
    /// moves to the young end as of `now`, and is examined again once it is that old. Examines at most `max_records`
    /// records, and returns how many it examined.
    pub fn expire(
        &mut self,
        now: Millis,
        used_until: Millis,
        max_records: usize,
        classify: impl Fn(&K, &V) -> Evictability,
    ) -> usize {
        let mut examined = 0;
        for list in 0..2 {
            while examined < max_records {
                let index = self.lists[list].oldest;
                if index == NONE || self.slot(index).moved_at > used_until {
                    break;
                }
                examined += 1;
                let slot = self.slot(index);
                if classify(&slot.key, &slot.value) == Evictability::Lossless {
                    self.remove_slot(index);
                } else {
                    self.unlink(index);
                    self.link(now, index, list == 1);
                }
            }
        }
        examined
    }

    /// All records, in an order that depends only on the preceding calls. For tests and statistics: it visits the
    /// whole table.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.chunks.iter().flatten().map(|slot| (&slot.key, &slot.value))
    }

    fn unlink(&mut self, index: u32) {
        let slot = self.slot(index);
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

    fn link(&mut self, moved_at: Millis, index: u32, protected: bool) {
        let list = usize::from(protected);
        let youngest = self.lists[list].youngest;
        let slot = self.slot_mut(index);
        (slot.moved_at, slot.older, slot.younger, slot.protected) = (moved_at, youngest, NONE, protected);
        match youngest {
            NONE => self.lists[list].oldest = index,
            youngest => self.slot_mut(youngest).younger = index,
        }
        self.lists[list].youngest = index;
        self.lists[list].len += 1;
    }

    /// Redirects the reference to slot `from`, in its bucket or in the slot before it in the chain, to `to`.
    fn redirect(&mut self, key: &K, from: u32, to: u32) {
        let bucket = self.bucket(self.hash.hash(key));
        let mut index = self.buckets[bucket].wrapping_sub(1);
        if index == from {
            self.buckets[bucket] = to.wrapping_add(1);
            return;
        }
        while self.slot(index).next_in_bucket != from {
            index = self.slot(index).next_in_bucket;
        }
        self.slot_mut(index).next_in_bucket = to;
    }

    /// Removes a slot and moves the last one into its place, so that records stay contiguous and chunks can be freed.
    fn remove_slot(&mut self, index: u32) -> (K, V) {
        self.unlink(index);
        let (key, next_in_bucket) = (self.slot(index).key, self.slot(index).next_in_bucket);
        self.redirect(&key, index, next_in_bucket);
        let last = (self.len - 1) as u32;
        if index != last {
            let moved = self.slot(last);
            let (key, older, younger, list) =
                (moved.key, moved.older, moved.younger, usize::from(moved.protected));
            self.redirect(&key, last, index);
            match older {
                NONE => self.lists[list].oldest = index,
                older => self.slot_mut(older).younger = index,
            }
            match younger {
                NONE => self.lists[list].youngest = index,
                younger => self.slot_mut(younger).older = index,
            }
        }
        let mut slot =
            self.chunks[last as usize / CHUNK_RECORDS].pop().expect("the last chunk holds the last slot");
        if index != last {
            std::mem::swap(&mut slot, self.slot_mut(index));
        }
        self.len -= 1;
        // One empty chunk is kept, so that a table whose size varies by one does not allocate each time.
        if self.chunks.len() > self.len.div_ceil(CHUNK_RECORDS) + 1 {
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

    /// Checks that each record is found and on exactly one list, and that the protected list is in the order of use.
    fn check(table: &Table<u64, u64>, model: &BTreeMap<u64, u64>) {
        assert_eq!(table.len(), model.len());
        for (key, value) in model {
            assert_eq!(table.get(key), Some(value), "{key}");
        }
        let mut linked = 0;
        for (list, ends) in table.lists.iter().enumerate() {
            let (mut index, mut previous, mut moved_at) = (ends.oldest, NONE, f64::NEG_INFINITY);
            while index != NONE {
                let slot = table.slot(index);
                assert_eq!((slot.older, usize::from(slot.protected)), (previous, list));
                assert!(list == 0 || slot.moved_at >= moved_at, "the protected list is in the order of use");
                (previous, index, moved_at, linked) = (index, slot.younger, slot.moved_at, linked + 1);
            }
            assert_eq!(ends.youngest, previous);
        }
        assert_eq!(linked, table.len());
        assert!(table.chunks.len() <= table.len().div_ceil(CHUNK_RECORDS) + 1);
    }

    proptest! {
        /// Compares the table with a plain map over random calls. A fifth of the keys are pinned, and a third of the
        /// others have a deficit.
        #[test]
        fn behaves_as_a_bounded_map(
            seed in any::<u64>(),
            capacity in 1usize..40,
            operations in proptest::collection::vec((0u8..6, 0u64..60), 1..400),
        ) {
            let classify = |key: &u64, _: &u64| match key {
                key if key % 5 == 0 => Evictability::Pinned,
                key if key % 3 == 0 => Evictability::WithDeficit,
                _ => Evictability::Lossless,
            };
            let (mut table, mut model) = (Table::new(capacity, seed), BTreeMap::new());
            for (n, (operation, key)) in operations.into_iter().enumerate() {
                let now = n as f64;
                match operation {
                    0 | 1 => {
                        let present = model.contains_key(&key);
                        if let Some((evicted, value, evictability)) = (!present).then(|| table.evict_if_full(classify)).flatten() {
                            prop_assert_eq!(classify(&evicted, &value), evictability);
                            prop_assert!(evictability != Evictability::Pinned);
                            prop_assert_eq!(model.remove(&evicted), Some(value));
                        }
                        let inserted = table.insert(now, key, now as u64).is_ok();
                        prop_assert_eq!(inserted, !present && model.len() < capacity);
                        if inserted {
                            model.insert(key, now as u64);
                        }
                    }
                    2 => prop_assert_eq!(table.remove(&key), model.remove(&key)),
                    3 => {
                        let examined = table.expire(now, now - 20.0, 3, classify);
                        prop_assert!(examined <= 3);
                        let kept: BTreeMap<u64, u64> = table.iter().map(|(k, v)| (*k, *v)).collect();
                        prop_assert!(model.iter().all(|(k, v)| kept.contains_key(k) || classify(k, v) == Evictability::Lossless));
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

    /// Keys that occur once or twice do not evict those that are in use.
    #[test]
    fn a_scan_does_not_evict_keys_in_use() {
        for times in [1, 2] {
            let mut table = Table::new(1000, 3);
            let mut now = 0.0;
            let mut use_key = |table: &mut Table<u64, ()>, key: u64| {
                now += 1.0;
                if table.touch(now, &key).is_none() {
                    table.evict_if_full(|_, _| Evictability::Lossless);
                    assert!(table.insert(now, key, ()).is_ok());
                }
            };
            // 300 keys are used once a round, beside a scan that would replace the whole table in each round.
            for round in 0..50u64 {
                for key in 0..300 {
                    use_key(&mut table, key);
                    for n in 0..4 {
                        (0..times).for_each(|_| use_key(&mut table, 1_000_000 + (round * 300 + key) * 4 + n));
                    }
                }
            }
            let kept = (0..300).filter(|key| table.get(key).is_some()).count();
            assert!(kept >= 270, "{kept} of 300 kept beside keys that occur {times} times");
        }
    }

    #[test]
    fn empty_chunks_are_freed() {
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
    fn the_same_seed_gives_the_same_order() {
        let run = || {
            let mut table = Table::new(50, 9);
            for step in 0..500u64 {
                let key = step * step % 97;
                if table.touch(step as f64, &key).is_none() {
                    table.evict_if_full(|k, _| {
                        if k % 7 == 0 {
                            Evictability::Pinned
                        } else {
                            Evictability::WithDeficit
                        }
                    });
                    let _ = table.insert(step as f64, key, step);
                }
            }
            table.iter().map(|(k, v)| (*k, *v)).collect::<Vec<_>>()
        };
        assert_eq!(run(), run());
    }
}
