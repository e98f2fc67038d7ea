//! What limiters add to a request's time, and what their control costs, each counted where it happens.
//!
//! *Added* is the time from a request's coming whole to its first attempt's first byte: its ask's wait for the allowance of
//! messages, the wait for the keeper's word, queueing for a slot or a server, and the round trip of a new connection. A limiter's own processor time is not in it;
//! the virtual world has none (`marldeal-bench slopes` measures it on a process). *Control* is what limiters say to one
//! another and hear of the roster; requests, attempts and their answers are data and not in it. Nothing here does I/O.

use fawnhill::{LineKind, Millis, RequestId};
use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Quantiles of a time in milliseconds: 0.5, 0.99, 0.999.
pub type Quantiles = [f64; 3];

/// The time that limiters add to requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Added {
    /// Requests that were sent on.
    pub sent_on: u64,
    /// Of these, those that waited for a keeper's word, or for their ask to go out.
    pub waited: u64,
    /// Of these, those that waited for a slot or a server.
    pub queued: u64,
    /// Of these, those whose first attempt needed a new connection.
    pub connected: u64,
    /// In all.
    pub ms: Quantiles,
    /// Until its ask went out.
    pub ask_ms: Quantiles,
    /// From there until the keeper's word came.
    pub word_ms: Quantiles,
    /// Waiting for a slot or a server.
    pub queue_ms: Quantiles,
    /// The round trip of a new connection.
    pub handshake_ms: Quantiles,
    /// Until a refusal, of requests that were never sent on.
    pub refused_ms: Quantiles,
}

/// What limiters say to one another and hear of the roster, a second: the mean over all of them, and at the one that has
/// most. A limiter that was down some of the time counts as if it had been there.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Messages sent.
    pub messages_out: [f64; 2],
    /// Their bytes.
    pub bytes_out: [f64; 2],
    /// Messages taken in.
    pub messages_in: [f64; 2],
    /// Their bytes.
    pub bytes_in: [f64; 2],
    /// Servers whose lines in the roster changed.
    pub changes: [f64; 2],
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    out: [u64; 2],
    heard: [u64; 2],
    changes: u64,
}

/// A request that waits for its first attempt.
#[derive(Debug, Clone, Copy)]
struct Wait {
    taken: Millis,
    asked: Option<Millis>,
    word: Option<Millis>,
}

/// What both are made from while a run goes on.
pub struct Account {
    from: Millis,
    to: Millis,
    limiters: Vec<Counts>,
    waits: FxHashMap<(usize, RequestId), Wait>,
    added: Added,
    times: [Histogram<u64>; 6],
}

/// Longest time that is told, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// What is shorter is no wait, in milliseconds.
const NO_WAIT_MS: Millis = 1e-6;

impl Account {
    /// Nothing seen of so many limiters; control is counted `from` then `to` then.
    pub fn new(limiters: u32, from: Millis, to: Millis) -> Account {
        let time =
            || Histogram::new_with_bounds(1, LONGEST_US, 3).unwrap_or_else(|_| unreachable!("legal bounds"));
        Account {
            from,
            to,
            limiters: vec![Counts::default(); limiters as usize],
            waits: FxHashMap::default(),
            added: Added::default(),
            times: std::array::from_fn(|_| time()),
        }
    }

    /// A request has come whole.
    pub fn request_received(&mut self, now: Millis, limiter: usize, id: RequestId) {
        self.waits.insert((limiter, id), Wait { taken: now, asked: None, word: None });
    }

    /// A limiter has sent a message.
    pub fn message_sent(&mut self, now: Millis, limiter: usize, bytes: usize, lines: &[LineKind]) {
        if self.counts(now) {
            let out = &mut self.limiters[limiter].out;
            *out = [out[0] + 1, out[1] + bytes as u64];
        }
        for line in lines {
            if let LineKind::Ask(id) = line {
                if let Some(wait) = self.waits.get_mut(&(limiter, *id)) {
                    wait.asked = wait.asked.or(Some(now));
                }
            }
        }
    }

    /// A limiter has taken a message in.
    pub fn message_received(&mut self, now: Millis, limiter: usize, bytes: usize, lines: &[LineKind]) {
        if self.counts(now) {
            let heard = &mut self.limiters[limiter].heard;
            *heard = [heard[0] + 1, heard[1] + bytes as u64];
        }
        for line in lines {
            if let LineKind::Reply(id) = line {
                if let Some(wait) = self.waits.get_mut(&(limiter, *id)) {
                    wait.word = Some(now);
                }
            }
        }
    }

    /// A limiter has heard of changes of the roster.
    pub fn server_list_changed(&mut self, now: Millis, limiter: usize, entries: usize) {
        if self.counts(now) {
            self.limiters[limiter].changes += entries as u64;
        }
    }

    /// The first attempt of a request goes out; on a new connection after a round trip.
    pub fn first_attempt_sent(
        &mut self,
        now: Millis,
        limiter: usize,
        id: RequestId,
        round_trip: Option<Millis>,
    ) {
        let Some(wait) = self.waits.remove(&(limiter, id)) else { return };
        // One whose word never came has waited for it until its own part decided.
        let (ask, word) = wait.asked.map_or((0.0, 0.0), |asked| {
            (asked - wait.taken, (wait.word.unwrap_or(now).min(now) - asked).max(0.0))
        });
        let queue = (now - wait.taken - ask - word).max(0.0);
        let handshake = round_trip.unwrap_or(0.0);
        self.added.sent_on += 1;
        self.added.waited += u64::from(ask + word > NO_WAIT_MS);
        self.added.queued += u64::from(queue > NO_WAIT_MS);
        self.added.connected += u64::from(round_trip.is_some());
        for (n, ms) in [ask + word + queue + handshake, ask, word, queue, handshake].into_iter().enumerate() {
            self.note(n, ms);
        }
    }

    /// A request has its final answer, or is given up.
    pub fn request_finished(&mut self, now: Millis, limiter: usize, id: RequestId, refused: bool) {
        if let Some(wait) = self.waits.remove(&(limiter, id)).filter(|_| refused) {
            self.note(5, now - wait.taken);
        }
    }

    fn counts(&self, now: Millis) -> bool {
        (self.from..self.to).contains(&now)
    }

    fn note(&mut self, which: usize, ms: Millis) {
        let _ = self.times[which].record(((ms * 1000.0).round() as u64).clamp(1, LONGEST_US));
    }

    /// What it came to.
    pub fn finish(mut self) -> (Added, Control) {
        // Below a microsecond a histogram tells one.
        let ms = |us: u64| if us <= 1 { 0.0 } else { us as f64 / 1000.0 };
        let times = self
            .times
            .each_ref()
            .map(|h| [0.5, 0.99, 0.999].map(|q| ms(h.value_at_quantile(q)) * f64::from(!h.is_empty())));
        [
            self.added.ms,
            self.added.ask_ms,
            self.added.word_ms,
            self.added.queue_ms,
            self.added.handshake_ms,
            self.added.refused_ms,
        ] = times;
        let seconds = ((self.to - self.from) / 1000.0).max(1e-3);
        let of = |count: fn(&Counts) -> u64| {
            let all = || self.limiters.iter().map(count);
            let mean = all().sum::<u64>() as f64 / self.limiters.len().max(1) as f64;
            [mean / seconds, all().max().unwrap_or(0) as f64 / seconds]
        };
        let control = Control {
            messages_out: of(|c| c.out[0]),
            bytes_out: of(|c| c.out[1]),
            messages_in: of(|c| c.heard[0]),
            bytes_in: of(|c| c.heard[1]),
            changes: of(|c| c.changes),
        };
        (self.added, control)
    }
}
