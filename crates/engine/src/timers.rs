//! What is due when: a heap that forgets what no longer means anything.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fawnhill::Millis;

/// Entries at which the heap is gone through for the first time.
const FIRST_SWEEP: usize = 1024;

/// Things that are due, the soonest first. Most requests end long before their time-outs: what has lost its meaning
/// is dropped at the front, where it would wake an idle process, and behind whenever the heap has doubled, so that it
/// stays within twice what still has a meaning.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(u64, T)>>,
    sweep_at: usize,
}

/// Moments are kept in whole microseconds, so that they can be ordered.
fn micros(ms: Millis) -> u64 {
    (ms * 1000.0).ceil() as u64
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), sweep_at: FIRST_SWEEP }
    }
}

impl<T: Ord> Timers<T> {
    /// Adds what is due at a moment, in milliseconds.
    pub fn push(&mut self, at: Millis, what: T) {
        self.heap.push(Reverse((micros(at), what)));
    }

    /// Whether a kept moment is this one.
    pub fn matches(stored: u64, at: Millis) -> bool {
        micros(at) == stored
    }

    /// When the first thing is due that is still wanted; `wanted` is asked with its moment as kept.
    pub fn next_due(&mut self, wanted: impl Fn(u64, &T) -> bool) -> Option<Millis> {
        if self.heap.len() >= self.sweep_at {
            self.heap.retain(|Reverse((at, what))| wanted(*at, what));
            self.sweep_at = (self.heap.len() * 2).max(FIRST_SWEEP);
        }
        while let Some(Reverse((at, what))) = self.heap.peek() {
            if wanted(*at, what) {
                return Some(*at as f64 / 1000.0);
            }
            self.heap.pop();
        }
        None
    }

    /// Takes the first thing that is due by `now`.
    pub fn pop(&mut self, now: Millis) -> Option<T> {
        match self.heap.peek() {
            // The very figure that `next_due` gave: a caller who comes at that moment finds it due.
            Some(Reverse((at, _))) if *at as f64 / 1000.0 <= now => self.heap.pop().map(|e| e.0 .1),
            _ => None,
        }
    }

    /// How many are kept, wanted or not.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_due_comes_in_order_and_not_before() {
        let mut timers = Timers::default();
        timers.push(5.0, 'b');
        timers.push(2.5, 'a');
        assert_eq!(timers.pop(2.4), None);
        assert_eq!((timers.pop(9.0), timers.pop(9.0), timers.pop(9.0)), (Some('a'), Some('b'), None));
    }

    /// Guards against a caller on a virtual clock that would come again and again at the moment it was told.
    #[test]
    fn what_is_due_next_is_due_at_the_moment_named() {
        let mut timers = Timers::default();
        for n in 0..10_000 {
            timers.push(1.7e12 + f64::from(n) * 0.337, n);
            timers.push(f64::from(n) * 0.337, n);
        }
        while let Some(at) = timers.next_due(|_, _| true) {
            assert!(timers.pop(at).is_some(), "{at}");
        }
    }

    /// Guards against memory that grows with what has long been over: far moments never reach the front.
    #[test]
    fn what_is_not_wanted_does_not_pile_up() {
        let mut timers = Timers::default();
        timers.push(1.0, 0);
        for n in 1..100_000 {
            timers.push(1e6, n);
            assert_eq!(timers.next_due(|_, what| *what == 0), Some(1.0));
        }
        assert!(timers.len() <= FIRST_SWEEP, "{}", timers.len());
    }
}
