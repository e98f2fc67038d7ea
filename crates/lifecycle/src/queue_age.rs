//! Bounds how long a connection may have waited in the accept queue. The queue tells nobody when a connection came; but it
//! is served in order, so that a connection behind all those that were queued at some time has come later.

use std::collections::VecDeque;

use crate::Millis;

/// An observation of the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation {
    at: Millis,
    /// Number of the last connection that was queued then.
    last_queued: u64,
}

/// The longest time that the next accepted connection may have waited.
#[derive(Debug, Clone, Default)]
pub struct QueueAge {
    /// Number of connections accepted so far.
    accepted: u64,
    /// The next connection has come after this; `None` while the queue is known to be empty.
    waiting_since: Option<Millis>,
    /// Observations of connections that have not been accepted yet, in order.
    observations: VecDeque<Observation>,
}

impl QueueAge {
    /// Whether connections may be waiting.
    pub fn may_be_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }

    /// Handles that connections may be waiting from now on, since none is accepted.
    pub fn begin_waiting(&mut self, now: Millis) {
        self.waiting_since.get_or_insert(now);
    }

    /// Handles that the queue was found empty.
    pub fn emptied(&mut self) {
        self.waiting_since = None;
        self.observations.clear();
    }

    /// Handles that so many connections were queued.
    pub fn observed(&mut self, now: Millis, length: u64) {
        let last_queued = self.accepted + length;
        self.observations.push_back(Observation { at: now, last_queued });
    }

    /// Handles that a connection was accepted, and returns the longest time that it may have waited.
    pub fn accepted(&mut self, now: Millis) -> Millis {
        self.accepted += 1;
        while let Some(observation) = self.observations.front().filter(|o| o.last_queued < self.accepted) {
            self.waiting_since = self.waiting_since.map(|since| since.max(observation.at));
            self.observations.pop_front();
        }
        self.waiting_since.map_or(0.0, |since| now - since)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn connection_behind_an_observed_queue_has_come_after_the_observation() {
        let mut age = QueueAge::default();
        assert_eq!(age.accepted(10.0), 0.0, "nothing was waiting");
        age.begin_waiting(100.0);
        age.observed(1000.0, 2);
        assert_eq!([age.accepted(1100.0), age.accepted(1200.0)], [1000.0, 1100.0]);
        assert_eq!(age.accepted(1300.0), 300.0, "it was not queued at 1000");
        age.emptied();
        assert_eq!(age.accepted(1400.0), 0.0);
    }

    proptest! {
        /// For connections that come and are accepted at any times: the bound is never less than the true time.
        #[test]
        fn bound_is_never_less_than_the_time_waited(
            steps in prop::collection::vec((0u8..4, 1.0f64..100.0), 1..200),
        ) {
            let (mut age, mut queue, mut now) = (QueueAge::default(), VecDeque::new(), 0.0);
            age.begin_waiting(0.0);
            for (kind, elapsed) in steps {
                now += elapsed;
                match kind {
                    0 | 1 => queue.push_back(now),
                    2 => age.observed(now, queue.len() as u64),
                    _ => {
                        if let Some(came) = queue.pop_front() {
                            let bound = age.accepted(now);
                            prop_assert!(bound >= now - came, "{} < {}", bound, now - came);
                        }
                    }
                }
            }
        }
    }
}
