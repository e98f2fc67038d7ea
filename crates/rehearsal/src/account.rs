//! The time that limiters add to requests, and the cost of their control messages.
//!
//! *Added* time is the time from the complete receipt of a request to the first byte of its first attempt: the wait
//! until its ask may be sent under the message limit, the wait for the reply of the quota owner, queueing for a slot
//! or a server, and the round trip of a new connection. It does not include a limiter's processor time, of which the
//! virtual world has none (`marldeal-bench slopes` measures it on a process). *Control* is the messages between
//! limiters and the changes of the server list; requests, attempts and their answers are data and don't count.
//! Nothing here does I/O.

use fawnhill::{LineKind, Millis, RequestId};
use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Quantiles 0.5, 0.99 and 0.999 of a time in milliseconds.
pub type Quantiles = [f64; 3];

/// The time that limiters add to requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Added {
    /// Number of requests that were sent on.
    pub sent_on: u64,
    /// Of these, the number that waited until their ask was sent or for the reply of the quota owner.
    pub waited: u64,
    /// Of these, the number that waited for a slot or a server.
    pub queued: u64,
    /// Of these, the number whose first attempt needed a new connection.
    pub connected: u64,
    /// The whole added time.
    pub ms: Quantiles,
    /// Wait until the ask was sent.
    pub ask_ms: Quantiles,
    /// Wait from there for the reply of the quota owner.
    pub word_ms: Quantiles,
    /// Wait for a slot or a server.
    pub queue_ms: Quantiles,
    /// The round trip of a new connection.
    pub handshake_ms: Quantiles,
    /// Time until the refusal of requests that were never sent on.
    pub refused_ms: Quantiles,
}

/// Control messages and server list changes per second: the mean over all limiters, and the maximum of a limiter. The
/// time for which a limiter was down counts as well.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Messages sent.
    pub messages_out: [f64; 2],
    /// Bytes sent.
    pub bytes_out: [f64; 2],
    /// Messages received.
    pub messages_in: [f64; 2],
    /// Bytes received.
    pub bytes_in: [f64; 2],
    /// Changed entries of the server list.
    pub changes: [f64; 2],
}

#[derive(Debug, Clone, Copy, Default)]
struct MessageCounts {
    sent: [u64; 2],
    received: [u64; 2],
    changes: u64,
}

/// A request that waits for its first attempt.
#[derive(Debug, Clone, Copy)]
struct Wait {
    received_at: Millis,
    asked_at: Option<Millis>,
    replied_at: Option<Millis>,
}

/// Collects both during a run.
pub struct Account {
    from: Millis,
    to: Millis,
    limiters: Vec<MessageCounts>,
    waits: FxHashMap<(usize, RequestId), Wait>,
    added: Added,
    histograms: [Histogram<u64>; 6],
}

/// Maximum recorded time, in microseconds; longer times count as this.
const MAX_TIME_US: u64 = 600_000_000;
/// Shorter waits are rounding errors and do not count as waits.
const MIN_WAIT_MS: Millis = 1e-6;

impl Account {
    /// Creates an empty account of a number of limiters. Control messages count between `from` and `to`.
    pub fn new(limiters: u32, from: Millis, to: Millis) -> Account {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_TIME_US, 3).unwrap_or_else(|_| unreachable!("legal bounds"));
        Account {
            from,
            to,
            limiters: vec![MessageCounts::default(); limiters as usize],
            waits: FxHashMap::default(),
            added: Added::default(),
            histograms: std::array::from_fn(|_| histogram()),
        }
    }

    /// A limiter has received a request completely.
    pub fn request_received(&mut self, now: Millis, limiter: usize, id: RequestId) {
        self.waits.insert((limiter, id), Wait { received_at: now, asked_at: None, replied_at: None });
    }

    /// A limiter has sent a message.
    pub fn message_sent(&mut self, now: Millis, limiter: usize, bytes: usize, lines: &[LineKind]) {
        if self.in_interval(now) {
            let sent = &mut self.limiters[limiter].sent;
            *sent = [sent[0] + 1, sent[1] + bytes as u64];
        }
        for line in lines {
            if let LineKind::Ask(id) = line {
                if let Some(wait) = self.waits.get_mut(&(limiter, *id)) {
                    wait.asked_at = wait.asked_at.or(Some(now));
                }
            }
        }
    }

    /// A limiter has received a message.
    pub fn message_received(&mut self, now: Millis, limiter: usize, bytes: usize, lines: &[LineKind]) {
        if self.in_interval(now) {
            let received = &mut self.limiters[limiter].received;
            *received = [received[0] + 1, received[1] + bytes as u64];
        }
        for line in lines {
            if let LineKind::Reply(id) = line {
                if let Some(wait) = self.waits.get_mut(&(limiter, *id)) {
                    wait.replied_at = Some(now);
                }
            }
        }
    }

    /// A limiter has received changes of the server list.
    pub fn server_list_changed(&mut self, now: Millis, limiter: usize, entries: usize) {
        if self.in_interval(now) {
            self.limiters[limiter].changes += entries as u64;
        }
    }

    /// The first attempt of a request is sent, after `round_trip` if it needs a new connection.
    pub fn first_attempt_sent(
        &mut self,
        now: Millis,
        limiter: usize,
        id: RequestId,
        round_trip: Option<Millis>,
    ) {
        let Some(wait) = self.waits.remove(&(limiter, id)) else { return };
        // If no reply came, the limiter waited for it until it decided without one.
        let (ask, reply) = wait.asked_at.map_or((0.0, 0.0), |asked_at| {
            (asked_at - wait.received_at, (wait.replied_at.unwrap_or(now).min(now) - asked_at).max(0.0))
        });
        let queue = (now - wait.received_at - ask - reply).max(0.0);
        let handshake = round_trip.unwrap_or(0.0);
        self.added.sent_on += 1;
        self.added.waited += u64::from(ask + reply > MIN_WAIT_MS);
        self.added.queued += u64::from(queue > MIN_WAIT_MS);
        self.added.connected += u64::from(round_trip.is_some());
        for (n, ms) in [ask + reply + queue + handshake, ask, reply, queue, handshake].into_iter().enumerate()
        {
            self.record(n, ms);
        }
    }

    /// A request has its final answer or was abandoned.
    pub fn request_finished(&mut self, now: Millis, limiter: usize, id: RequestId, refused: bool) {
        if let Some(wait) = self.waits.remove(&(limiter, id)).filter(|_| refused) {
            self.record(5, now - wait.received_at);
        }
    }

    fn in_interval(&self, now: Millis) -> bool {
        (self.from..self.to).contains(&now)
    }

    fn record(&mut self, index: usize, ms: Millis) {
        let _ = self.histograms[index].record(((ms * 1000.0).round() as u64).clamp(1, MAX_TIME_US));
    }

    /// Returns the added time and the control figures.
    pub fn finish(mut self) -> (Added, Control) {
        // The smallest value of a histogram is one microsecond, which also stands for zero.
        let ms = |us: u64| if us <= 1 { 0.0 } else { us as f64 / 1000.0 };
        let quantiles = self
            .histograms
            .each_ref()
            .map(|h| [0.5, 0.99, 0.999].map(|q| ms(h.value_at_quantile(q)) * f64::from(!h.is_empty())));
        [
            self.added.ms,
            self.added.ask_ms,
            self.added.word_ms,
            self.added.queue_ms,
            self.added.handshake_ms,
            self.added.refused_ms,
        ] = quantiles;
        let seconds = ((self.to - self.from) / 1000.0).max(1e-3);
        let per_second = |count: fn(&MessageCounts) -> u64| {
            let all = || self.limiters.iter().map(count);
            let mean = all().sum::<u64>() as f64 / self.limiters.len().max(1) as f64;
            [mean / seconds, all().max().unwrap_or(0) as f64 / seconds]
        };
        let control = Control {
            messages_out: per_second(|c| c.sent[0]),
            bytes_out: per_second(|c| c.sent[1]),
            messages_in: per_second(|c| c.received[0]),
            bytes_in: per_second(|c| c.received[1]),
            changes: per_second(|c| c.changes),
        };
        (self.added, control)
    }
}
