//! Final answers of keyed requests, kept for as long as a repeat may come: whoever asks again under the same key gets the
//! answer that there was, and nothing runs a second time.
//!
//! A key belongs to its place (class and firm, as the path names them) and to what was asked under it: another firm's
//! request, or other content under the same key, never gets the answer. The record is bounded in number and in bytes; the
//! oldest answers make way, which costs a repeat its answer and nothing else, for nodes drop repeats themselves. It does
//! *not* read a clock, and tells nobody: the time is an argument.
//!
//! ```
//! use bytes::Bytes;
//! use marldeal_outcomes::{Limits, Lookup, KeyedRequest, AnswerCache};
//!
//! let mut record = AnswerCache::new(Limits::default());
//! let asked = KeyedRequest { scope: b"/pickup-book/07", key: b"k-1", content: b"lot=7" };
//! assert_eq!(record.lookup(0.0, &asked), Lookup::Miss);
//! record.insert(10.0, 8000.0, &asked, Bytes::from_static(b"booked"));
//! assert_eq!(record.lookup(5000.0, &asked), Lookup::Hit(Bytes::from_static(b"booked")));
//! assert_eq!(record.lookup(5000.0, &KeyedRequest { content: b"lot=8", ..asked }), Lookup::KeyReused);
//! assert_eq!(record.lookup(8010.0, &asked), Lookup::Miss);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use fawnhill::Millis;

/// What the record holds at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Answers.
    pub max_answers: usize,
    /// Bytes of all answers with their names, contents and overhead.
    pub max_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { max_answers: 16_384, max_bytes: 8 << 20 }
    }
}

/// What was asked, and under which key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyedRequest<'a> {
    /// Whose key it is: class and firm.
    pub scope: &'a [u8],
    /// The value of `Idempotency-Key`.
    pub key: &'a [u8],
    /// What was asked under it.
    pub content: &'a [u8],
}

/// What the record knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// No answer, or none any more.
    Miss,
    /// The final answer to this very question.
    Hit(Bytes),
    /// Something else was asked under this key (the draft `httpapi-idempotency-key-header`, section 2.7, has it refused).
    KeyReused,
}

#[derive(Debug)]
struct Kept {
    content: Box<[u8]>,
    answer: Bytes,
    until: Millis,
    number: u64,
}

/// Bytes that an answer takes beside its own, in both collections.
const OVERHEAD: usize = 160;

/// The record.
#[derive(Debug)]
pub struct AnswerCache {
    bounds: Limits,
    /// By place and key; nothing of it is ever listed, so that its order does not matter.
    kept: HashMap<Box<[u8]>, Kept>,
    /// In the order in which they came; one that was kept anew stands here twice, and only its last number counts.
    order: VecDeque<(u64, Box<[u8]>)>,
    bytes: usize,
    number: u64,
}

/// Place and key as one name: the length keeps one from running into the other.
fn name(question: &KeyedRequest) -> Box<[u8]> {
    let length = (question.scope.len() as u64).to_be_bytes();
    [&length[..], question.scope, question.key].concat().into()
}

fn size(name: &[u8], content: &[u8], answer: &Bytes) -> usize {
    2 * name.len() + content.len() + answer.len() + OVERHEAD
}

impl AnswerCache {
    /// An empty record.
    pub fn new(bounds: Limits) -> AnswerCache {
        AnswerCache { bounds, kept: HashMap::new(), order: VecDeque::new(), bytes: 0, number: 0 }
    }

    /// Answers held.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Bytes held, as the bound counts them.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps the final answer to a question for `life_ms`. The first answer stands: a second one to the same question within
    /// its life is not kept. One that is too large for the whole record is not either.
    pub fn insert(&mut self, now: Millis, life_ms: Millis, question: &KeyedRequest, answer: Bytes) {
        self.expire(now);
        let name = name(question);
        let takes = size(&name, question.content, &answer);
        let stands = self.kept.get(&name).is_some_and(|k| k.until > now);
        if stands || takes > self.bounds.max_bytes || self.bounds.max_answers == 0 {
            return;
        }
        self.forget(&name);
        // Short lives behind a long one leave their places behind: cleared when they are as many as what lives.
        if self.order.len() > 2 * self.kept.len() + 16 {
            let kept = &self.kept;
            self.order.retain(|(number, name)| kept.get(name).is_some_and(|k| k.number == *number));
        }
        while self.kept.len() >= self.bounds.max_answers || self.bytes + takes > self.bounds.max_bytes {
            self.drop_oldest();
        }
        self.number += 1;
        let content = question.content.into();
        self.order.push_back((self.number, name.clone()));
        self.kept.insert(name, Kept { content, answer, until: now + life_ms, number: self.number });
        self.bytes += takes;
    }

    /// What is known of a question.
    pub fn lookup(&mut self, now: Millis, question: &KeyedRequest) -> Lookup {
        self.expire(now);
        match self.kept.get(&name(question)).filter(|k| k.until > now) {
            None => Lookup::Miss,
            Some(kept) if *kept.content == *question.content => Lookup::Hit(kept.answer.clone()),
            Some(_) => Lookup::KeyReused,
        }
    }

    /// Drops what is over, from the oldest on: a longer life in front holds up the rest, which the bounds allow for.
    fn expire(&mut self, now: Millis) {
        while let Some((number, name)) = self.order.front() {
            if self.kept.get(name).is_some_and(|k| k.number == *number && k.until > now) {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((number, name)) = self.order.pop_front() else { return };
        if self.kept.get(&name).is_some_and(|k| k.number == number) {
            self.forget(&name);
        }
    }

    fn forget(&mut self, name: &[u8]) {
        if let Some(kept) = self.kept.remove(name) {
            self.bytes -= size(name, &kept.content, &kept.answer);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn question<'a>(scope: &'a [u8], key: &'a [u8]) -> KeyedRequest<'a> {
        KeyedRequest { scope, key, content: b"lot=7" }
    }

    /// The boundary between place and key must not move: "/a" + "bc" and "/ab" + "c" are two.
    #[test]
    fn another_firms_key_never_gets_the_answer() {
        let mut record = AnswerCache::new(Limits::default());
        record.insert(0.0, 8000.0, &question(b"/book/1", b"23"), Bytes::from_static(b"mine"));
        for other in [question(b"/book/12", b"3"), question(b"/book/2", b"23"), question(b"/book/1", b"2")] {
            assert_eq!(record.lookup(1.0, &other), Lookup::Miss);
        }
    }

    #[test]
    fn the_first_answer_stands_and_the_oldest_make_way() {
        let mut record = AnswerCache::new(Limits { max_answers: 2, max_bytes: 4096 });
        let keep = |record: &mut AnswerCache, key: &[u8], answer: &'static str| {
            record.insert(0.0, 8000.0, &question(b"/b", key), Bytes::from_static(answer.as_bytes()));
        };
        keep(&mut record, b"1", "first");
        keep(&mut record, b"1", "second");
        assert_eq!(record.lookup(0.0, &question(b"/b", b"1")), Lookup::Hit(Bytes::from_static(b"first")));
        keep(&mut record, b"2", "x");
        keep(&mut record, b"3", "x");
        assert_eq!(record.lookup(0.0, &question(b"/b", b"1")), Lookup::Miss);
        record.insert(0.0, 8000.0, &question(b"/b", b"4"), vec![0; 5000].into());
        assert_eq!((record.len(), record.lookup(0.0, &question(b"/b", b"4"))), (2, Lookup::Miss));
    }

    proptest! {
        /// Against a plain list of all that was kept: what is found was kept for this very question and lives; the bounds
        /// hold; the bytes add up to nothing when all is over.
        #[test]
        fn whatever_comes(steps in prop::collection::vec((0u8..6, 0u8..3, 0usize..300, 0.0..3000.0f64, any::<bool>(), 1.0..9000.0f64), 1..200)) {
            let bounds = Limits { max_answers: 4, max_bytes: 1500 };
            let mut record = AnswerCache::new(bounds);
            let (mut now, mut all): (f64, Vec<(u8, u8, Bytes, f64)>) = (0.0, Vec::new());
            for (key, content, length, wait, keeps, life) in steps {
                now += wait;
                let (key_bytes, content_bytes) = ([key], [content]);
                let asked = KeyedRequest { scope: b"/book/1", key: &key_bytes, content: &content_bytes };
                if keeps {
                    let answer = Bytes::from(vec![key; length]);
                    record.insert(now, life, &asked, answer.clone());
                    all.push((key, content, answer, now + life));
                } else if let Lookup::Hit(answer) = record.lookup(now, &asked) {
                    prop_assert!(all.iter().any(|(k, c, a, until)| (*k, *c) == (key, content) && *a == answer && *until > now));
                }
                prop_assert!(record.len() <= bounds.max_answers && record.bytes() <= bounds.max_bytes);
                prop_assert!(record.order.len() <= 2 * bounds.max_answers + 17);
            }
            let last = [9];
            record.lookup(now + 1e6, &KeyedRequest { scope: b"", key: &last, content: b"" });
            prop_assert_eq!((record.len(), record.bytes(), record.order.len()), (0, 0, 0));
        }
    }
}
