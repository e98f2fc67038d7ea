//! Cache of final answers by idempotency key: a client that repeats a request under the same key gets the
//! stored answer, and no server handles the request a second time.
//!
//! An entry is identified by scope (class and customer, as the path names them) and key, and holds the
//! content of its request: another customer's request, or other content under the same key, never gets the
//! answer. The cache is bounded in entries and in bytes. Eviction of the oldest answers is safe, because
//! servers drop repeats themselves; the repeat merely gets no stored answer. The crate neither reads a clock
//! nor does I/O: the time is an argument.
//!
//! ```
//! use bytes::Bytes;
//! use marldeal_outcomes::{AnswerCache, KeyedRequest, Limits, Lookup};
//!
//! let mut cache = AnswerCache::new(Limits::default());
//! let request = KeyedRequest { scope: b"/pickup-book/07", key: b"k-1", content: b"lot=7" };
//! assert_eq!(cache.lookup(0.0, &request), Lookup::Miss);
//! cache.insert(10.0, 8000.0, &request, Bytes::from_static(b"booked"));
//! assert_eq!(cache.lookup(5000.0, &request), Lookup::Hit(Bytes::from_static(b"booked")));
//! assert_eq!(cache.lookup(5000.0, &KeyedRequest { content: b"lot=8", ..request }), Lookup::KeyReused);
//! assert_eq!(cache.lookup(8010.0, &request), Lookup::Miss);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use fawnhill::Millis;

/// Limits on the size of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of answers.
    pub max_answers: usize,
    /// Maximum number of bytes of all answers, with their keys, request contents and overhead.
    pub max_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { max_answers: 16_384, max_bytes: 8 << 20 }
    }
}

/// A request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyedRequest<'a> {
    /// Scope in which the key is unique: class and customer.
    pub scope: &'a [u8],
    /// The value of `Idempotency-Key`.
    pub key: &'a [u8],
    /// Content of the request.
    pub content: &'a [u8],
}

/// Result of a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// No answer is stored, or it has expired or been evicted.
    Miss,
    /// The final answer to this request.
    Hit(Bytes),
    /// The key was used for a request with other content. The draft `httpapi-idempotency-key-header`, section
    /// 2.7, has such a request refused.
    KeyReused,
}

#[derive(Debug)]
struct Entry {
    content: Box<[u8]>,
    answer: Bytes,
    expires_at: Millis,
    sequence: u64,
}

/// Estimated bytes that an entry takes in both collections in addition to its own contents.
const ENTRY_OVERHEAD: usize = 160;

/// The cache of final answers.
#[derive(Debug)]
pub struct AnswerCache {
    limits: Limits,
    /// By scope and key. It is never iterated, so its order does not matter.
    entries: HashMap<Box<[u8]>, Entry>,
    /// Keys in order of insertion. A key that was inserted again occurs twice; only its latest sequence
    /// number is valid.
    order: VecDeque<(u64, Box<[u8]>)>,
    bytes: usize,
    sequence: u64,
}

/// Joins scope and key. The length of the scope comes first, so that two different pairs never give the same
/// bytes.
fn entry_key(request: &KeyedRequest) -> Box<[u8]> {
    let length = (request.scope.len() as u64).to_be_bytes();
    [&length[..], request.scope, request.key].concat().into()
}

fn entry_bytes(entry_key: &[u8], content: &[u8], answer: &Bytes) -> usize {
    2 * entry_key.len() + content.len() + answer.len() + ENTRY_OVERHEAD
}

impl AnswerCache {
    /// Creates an empty cache.
    pub fn new(limits: Limits) -> AnswerCache {
        AnswerCache { limits, entries: HashMap::new(), order: VecDeque::new(), bytes: 0, sequence: 0 }
    }

    /// Number of answers stored.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no answer is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes stored, counted as for [`Limits::max_bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores the final answer to a request for `ttl_ms`. An unexpired answer under the same key is not
    /// replaced, and an answer larger than the whole cache is not stored.
    pub fn insert(&mut self, now: Millis, ttl_ms: Millis, request: &KeyedRequest, answer: Bytes) {
        self.expire(now);
        let key = entry_key(request);
        let added = entry_bytes(&key, request.content, &answer);
        let present = self.entries.get(&key).is_some_and(|e| e.expires_at > now);
        if present || added > self.limits.max_bytes || self.limits.max_answers == 0 {
            return;
        }
        self.remove(&key);
        // Entries with a short life behind one with a long life leave invalid keys in `order`: removed once
        // they outnumber the valid ones.
        if self.order.len() > 2 * self.entries.len() + 16 {
            let entries = &self.entries;
            self.order.retain(|(sequence, key)| entries.get(key).is_some_and(|e| e.sequence == *sequence));
        }
        while self.entries.len() >= self.limits.max_answers || self.bytes + added > self.limits.max_bytes {
            self.evict_oldest();
        }
        self.sequence += 1;
        let content = request.content.into();
        self.order.push_back((self.sequence, key.clone()));
        self.entries
            .insert(key, Entry { content, answer, expires_at: now + ttl_ms, sequence: self.sequence });
        self.bytes += added;
    }

    /// Looks up the answer to a request.
    pub fn lookup(&mut self, now: Millis, request: &KeyedRequest) -> Lookup {
        self.expire(now);
        match self.entries.get(&entry_key(request)).filter(|e| e.expires_at > now) {
            None => Lookup::Miss,
            Some(entry) if *entry.content == *request.content => Lookup::Hit(entry.answer.clone()),
            Some(_) => Lookup::KeyReused,
        }
    }

    /// Removes expired entries from the oldest on. Expired entries behind an unexpired one stay; the limits
    /// bound them.
    fn expire(&mut self, now: Millis) {
        while let Some((sequence, key)) = self.order.front() {
            if self.entries.get(key).is_some_and(|e| e.sequence == *sequence && e.expires_at > now) {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((sequence, key)) = self.order.pop_front() else { return };
        if self.entries.get(&key).is_some_and(|e| e.sequence == sequence) {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &[u8]) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry_bytes(key, &entry.content, &entry.answer);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn request<'a>(scope: &'a [u8], key: &'a [u8]) -> KeyedRequest<'a> {
        KeyedRequest { scope, key, content: b"lot=7" }
    }

    /// The boundary between scope and key is part of the identity: "/a" + "bc" and "/ab" + "c" are two
    /// entries.
    #[test]
    fn answer_is_not_found_under_another_customers_key() {
        let mut cache = AnswerCache::new(Limits::default());
        cache.insert(0.0, 8000.0, &request(b"/book/1", b"23"), Bytes::from_static(b"mine"));
        for other in [request(b"/book/12", b"3"), request(b"/book/2", b"23"), request(b"/book/1", b"2")] {
            assert_eq!(cache.lookup(1.0, &other), Lookup::Miss);
        }
    }

    #[test]
    fn first_answer_is_kept_and_oldest_is_evicted() {
        let mut cache = AnswerCache::new(Limits { max_answers: 2, max_bytes: 4096 });
        let insert = |cache: &mut AnswerCache, key: &[u8], answer: &'static str| {
            cache.insert(0.0, 8000.0, &request(b"/b", key), Bytes::from_static(answer.as_bytes()));
        };
        insert(&mut cache, b"1", "first");
        insert(&mut cache, b"1", "second");
        assert_eq!(cache.lookup(0.0, &request(b"/b", b"1")), Lookup::Hit(Bytes::from_static(b"first")));
        insert(&mut cache, b"2", "x");
        insert(&mut cache, b"3", "x");
        assert_eq!(cache.lookup(0.0, &request(b"/b", b"1")), Lookup::Miss);
        cache.insert(0.0, 8000.0, &request(b"/b", b"4"), vec![0; 5000].into());
        assert_eq!((cache.len(), cache.lookup(0.0, &request(b"/b", b"4"))), (2, Lookup::Miss));
    }

    proptest! {
        /// Compared with a list of all insertions: an answer found was inserted for this request and has not
        /// expired, the limits hold, and no entries or bytes remain after all have expired.
        #[test]
        fn cache_agrees_with_a_list_of_insertions(
            steps in prop::collection::vec(
                (0u8..6, 0u8..3, 0usize..300, 0.0..3000.0f64, any::<bool>(), 1.0..9000.0f64),
                1..200,
            ),
        ) {
            let limits = Limits { max_answers: 4, max_bytes: 1500 };
            let mut cache = AnswerCache::new(limits);
            let (mut now, mut inserted): (f64, Vec<(u8, u8, Bytes, f64)>) = (0.0, Vec::new());
            for (key, content, length, wait, inserts, ttl) in steps {
                now += wait;
                let (key_bytes, content_bytes) = ([key], [content]);
                let request = KeyedRequest { scope: b"/book/1", key: &key_bytes, content: &content_bytes };
                if inserts {
                    let answer = Bytes::from(vec![key; length]);
                    cache.insert(now, ttl, &request, answer.clone());
                    inserted.push((key, content, answer, now + ttl));
                } else if let Lookup::Hit(answer) = cache.lookup(now, &request) {
                    prop_assert!(inserted.iter().any(|(k, c, a, expires_at)| (*k, *c) == (key, content)
                        && *a == answer
                        && *expires_at > now));
                }
                prop_assert!(cache.len() <= limits.max_answers && cache.bytes() <= limits.max_bytes);
                prop_assert!(cache.order.len() <= 2 * limits.max_answers + 17);
            }
            let last = [9];
            cache.lookup(now + 1e6, &KeyedRequest { scope: b"", key: &last, content: b"" });
            prop_assert_eq!((cache.len(), cache.bytes(), cache.order.len()), (0, 0, 0));
        }
    }
}
