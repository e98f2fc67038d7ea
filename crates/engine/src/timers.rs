//! Timer queue that discards timers which are no longer relevant.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fawnhill::Millis;

/// Number of queued timers at which irrelevant ones are removed for the first time.
const MIN_SWEEP_LEN: usize = 1024;

/// A queue of timers, the earliest first.
///
/// Most requests end long before their time-outs. Irrelevant timers are therefore discarded at the head of the queue,
/// where they would wake an idle process, and everywhere else whenever the queue has doubled, so that its length stays
/// within twice the number of relevant timers.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(u64, T)>>,
    sweep_at: usize,
}

/// Converts milliseconds to whole microseconds, which have a total order.
fn micros(ms: Millis) -> u64 {
    (ms * 1000.0).ceil() as u64
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), sweep_at: MIN_SWEEP_LEN }
    }
}

impl<T: Ord> Timers<T> {
    /// Adds a timer that expires at `at`.
    pub fn push(&mut self, at: Millis, timer: T) {
        self.heap.push(Reverse((micros(at), timer)));
    }

    /// Returns whether a stored expiry time, as passed to the filter of [`Timers::next_due`], equals `at`.
    pub fn matches(stored: u64, at: Millis) -> bool {
        micros(at) == stored
    }

    /// Returns when the earliest relevant timer expires. `is_relevant` gets the stored expiry time and the timer.
    pub fn next_due(&mut self, is_relevant: impl Fn(u64, &T) -> bool) -> Option<Millis> {
        if self.heap.len() >= self.sweep_at {
            self.heap.retain(|Reverse((at, timer))| is_relevant(*at, timer));
            self.sweep_at = (self.heap.len() * 2).max(MIN_SWEEP_LEN);
        }
        while let Some(Reverse((at, timer))) = self.heap.peek() {
            if is_relevant(*at, timer) {
                return Some(*at as f64 / 1000.0);
            }
            self.heap.pop();
        }
        None
    }

    /// Removes and returns the earliest timer if it has expired by `now`.
    pub fn pop(&mut self, now: Millis) -> Option<T> {
        match self.heap.peek() {
            // The same conversion as in `next_due`, so that the timer has expired at the time returned there.
            Some(Reverse((at, _))) if *at as f64 / 1000.0 <= now => self.heap.pop().map(|e| e.0 .1),
            _ => None,
        }
    }

    /// Returns the number of queued timers, relevant or not.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Returns whether no timer is queued.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_expire_in_order_and_not_early() {
        let mut timers = Timers::default();
        timers.push(5.0, 'b');
        timers.push(2.5, 'a');
        assert_eq!(timers.pop(2.4), None);
        assert_eq!((timers.pop(9.0), timers.pop(9.0), timers.pop(9.0)), (Some('a'), Some('b'), None));
    }

    /// Guards against an endless loop on a virtual clock: if rounding made the returned time earlier than the expiry,
    /// the caller would come back at the same time again and again.
    #[test]
    fn next_timer_has_expired_at_the_returned_time() {
        let mut timers = Timers::default();
        for n in 0..10_000 {
            timers.push(1.7e12 + f64::from(n) * 0.337, n);
            timers.push(f64::from(n) * 0.337, n);
        }
        while let Some(at) = timers.next_due(|_, _| true) {
            assert!(timers.pop(at).is_some(), "timer due at {at} has not expired at that time");
        }
    }

    /// Guards against unbounded memory: irrelevant timers far in the future never reach the head of the queue.
    #[test]
    fn irrelevant_timers_do_not_accumulate() {
        let mut timers = Timers::default();
        timers.push(1.0, 0);
        for n in 1..100_000 {
            timers.push(1e6, n);
            assert_eq!(timers.next_due(|_, timer| *timer == 0), Some(1.0));
        }
        assert!(timers.len() <= MIN_SWEEP_LEN, "{} timers are queued", timers.len());
    }
}
