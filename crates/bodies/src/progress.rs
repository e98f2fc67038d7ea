//! The progress that is required of a sender: it may pause for a grace period, and has to keep up a minimum data rate.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// The minimum data rate required of a sender.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MinDataRate {
    /// Longest time that a sender may fall behind the rate, in milliseconds.
    pub grace_ms: Millis,
    /// Required rate in bytes per second.
    pub bytes_per_s: f64,
}

/// Measures a sender's progress. Only the time in which the sender is waited for counts, so that a sender that is held
/// back by its receiver is not blamed. Bytes win back time up to the grace period and no further: a sender that stops
/// is noticed after the grace period, however much it has sent before.
///
/// ```
/// use marldeal_bodies::{MinDataRate, ProgressClock};
///
/// let mut clock = ProgressClock::new(MinDataRate { grace_ms: 2000.0, bytes_per_s: 1000.0 }, 0.0);
/// assert_eq!(clock.expires_at(), Some(2000.0));
/// clock.received(1500.0, 500_000);
/// assert_eq!(clock.expires_at(), Some(3500.0));
/// clock.pause(1600.0);
/// assert_eq!(clock.expires_at(), None);
/// clock.resume(9000.0);
/// assert_eq!(clock.expires_at(), Some(10_900.0));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgressClock {
    rate: MinDataRate,
    /// How much longer the sender may be waited for, at `counted_to`.
    allowance_ms: Millis,
    counted_to: Millis,
    waiting: bool,
}

impl ProgressClock {
    /// Starts to wait for a sender.
    pub fn new(rate: MinDataRate, now: Millis) -> ProgressClock {
        ProgressClock { rate, allowance_ms: rate.grace_ms, counted_to: now, waiting: true }
    }

    /// Takes bytes into account that have arrived.
    pub fn received(&mut self, now: Millis, bytes: u64) {
        self.count(now);
        let earned_ms = bytes as f64 * 1000.0 / self.rate.bytes_per_s;
        self.allowance_ms = (self.allowance_ms.max(0.0) + earned_ms).min(self.rate.grace_ms);
    }

    /// The sender is not waited for until [`ProgressClock::resume`].
    pub fn pause(&mut self, now: Millis) {
        self.count(now);
        self.waiting = false;
    }

    /// The sender is waited for again.
    pub fn resume(&mut self, now: Millis) {
        self.count(now);
        self.waiting = true;
    }

    /// When the sender has failed to make progress, unless more arrives before; `None` while it is not waited for.
    pub fn expires_at(&self) -> Option<Millis> {
        self.waiting.then_some(self.counted_to + self.allowance_ms)
    }

    fn count(&mut self, now: Millis) {
        let now = now.max(self.counted_to);
        if self.waiting {
            self.allowance_ms -= now - self.counted_to;
        }
        self.counted_to = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const RATE: MinDataRate = MinDataRate { grace_ms: 2400.0, bytes_per_s: 60_000.0 };

    proptest! {
        /// A sender that keeps up the rate, in pieces at most 2 s apart, is never given up, whatever pauses its
        /// receiver makes.
        #[test]
        fn sender_at_the_rate_is_never_given_up(
            pieces in prop::collection::vec((1.0f64..2000.0, 0.0f64..5000.0), 1..50),
        ) {
            let (mut clock, mut now) = (ProgressClock::new(RATE, 0.0), 0.0);
            for (gap_ms, held_back_ms) in pieces {
                now += gap_ms;
                prop_assert!(clock.expires_at().is_some_and(|at| at > now));
                clock.received(now, (gap_ms * 64.0) as u64 + 1);
                clock.pause(now);
                now += held_back_ms;
                clock.resume(now);
            }
        }

        /// A sender that stops is given up within the grace period, however much it has sent before.
        #[test]
        fn sender_that_stops_is_given_up_within_the_grace_period(
            pieces in prop::collection::vec((1.0f64..100.0, 1u64..4_000_000), 0..50),
        ) {
            let (mut clock, mut now) = (ProgressClock::new(RATE, 0.0), 0.0);
            for (gap_ms, bytes) in pieces {
                now += gap_ms;
                clock.received(now, bytes);
            }
            prop_assert!(clock.expires_at().is_some_and(|at| at <= now + RATE.grace_ms));
        }

        /// A sender at half of the rate is given up after twice the grace period at the latest.
        #[test]
        fn trickling_sender_is_given_up(gap_ms in 1.0f64..1000.0) {
            let (mut clock, mut now) = (ProgressClock::new(RATE, 0.0), 0.0);
            while clock.expires_at().is_some_and(|at| at > now + gap_ms) {
                now += gap_ms;
                clock.received(now, (gap_ms * 30.0) as u64);
            }
            prop_assert!(now <= 2.0 * RATE.grace_ms + gap_ms, "{}", now);
        }
    }
}
