//! A pause of the whole process is seen on waking: what is read then may have lain there for as long as the pause.
//!
//! A client counts its time from when it sent a request; a limiter that was stopped meanwhile, or got no core, reads it
//! as if it were new. It does not keep time itself: its host beats whenever it looks at its timers, and says when it
//! will at the latest. A beat that comes much later than that ends a pause that began at the beat before, at the earliest.
//!
//! ```
//! use marldeal_lifecycle::stalls::StallDetector;
//!
//! let mut pauses = StallDetector::default();
//! pauses.heartbeat(1000.0, Some(1100.0));
//! assert_eq!(pauses.max_queued_ms(1090.0), 0.0);
//! // Stopped for 5 s: what is read now may be 4.95 s old.
//! assert_eq!(pauses.max_queued_ms(5950.0), 4950.0);
//! ```

use crate::Millis;

/// A beat that is later than this was held up: the kernel and a busy loop take far less.
const LATE_MS: Millis = 50.0;
/// What lay there during a pause is read within this after it.
const READ_MS: Millis = 100.0;

/// When a process last ran, and the pause that it woke from.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallDetector {
    /// When it beat last, and when the next beat was due.
    beat: Option<(Millis, Millis)>,
    /// When the last pause began, at the earliest, and when it was seen.
    pause: Option<(Millis, Millis)>,
}

impl StallDetector {
    /// The host looks at its timers, and does so again by `next` at the latest, if it says so.
    pub fn heartbeat(&mut self, now: Millis, next: Option<Millis>) {
        self.look(now);
        self.beat = next.map(|next| (now, next.max(now)));
    }

    fn look(&mut self, now: Millis) {
        if let Some((from, _)) = self.beat.filter(|(_, due)| now - due > LATE_MS) {
            self.pause = Some((from, now));
            // The same pause is not seen twice: the next beat comes at once.
            self.beat = None;
        }
    }

    /// When the last pause was seen to be over; nothing if there was none.
    pub fn last_stall_end(&mut self, now: Millis) -> Option<Millis> {
        self.look(now);
        self.pause.map(|(_, woke)| woke)
    }

    /// How long something that is read now may have lain there, at the most.
    pub fn max_queued_ms(&mut self, now: Millis) -> Millis {
        self.look(now);
        match self.pause {
            Some((from, woke)) if now - woke <= READ_MS => now - from,
            _ => 0.0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_that_is_read_just_after_a_pause_may_be_as_old_as_it() {
        let mut pauses = StallDetector::default();
        pauses.heartbeat(0.0, Some(100.0));
        pauses.heartbeat(100.0, Some(200.0));
        // The timers wake first, what lay there is read behind them.
        pauses.heartbeat(3100.0, Some(3200.0));
        assert_eq!(pauses.max_queued_ms(3101.0), 3001.0);
        pauses.heartbeat(3150.0, Some(3250.0));
        assert_eq!(pauses.max_queued_ms(3200.0), 3100.0);
        assert_eq!(pauses.max_queued_ms(3201.0), 0.0);
    }

    #[test]
    fn an_idle_host_and_one_a_little_late_have_not_paused() {
        let mut pauses = StallDetector::default();
        pauses.heartbeat(0.0, None);
        assert_eq!(pauses.max_queued_ms(60_000.0), 0.0, "no beat was due");
        pauses.heartbeat(60_000.0, Some(90_000.0));
        assert_eq!(pauses.max_queued_ms(89_000.0), 0.0);
        assert_eq!(
            (pauses.max_queued_ms(90_050.0), pauses.last_stall_end(90_050.0)),
            (0.0, None),
            "late by what a busy machine takes"
        );
        assert_eq!(
            (pauses.max_queued_ms(90_051.0), pauses.last_stall_end(90_060.0)),
            (30_051.0, Some(90_051.0))
        );
    }

    #[test]
    fn a_pause_is_seen_once() {
        let mut pauses = StallDetector::default();
        pauses.heartbeat(0.0, Some(100.0));
        assert!(pauses.max_queued_ms(2000.0) > 0.0);
        assert_eq!(pauses.max_queued_ms(2150.0), 0.0);
        pauses.heartbeat(2160.0, Some(2260.0));
        assert_eq!(pauses.max_queued_ms(2300.0), 0.0);
    }
}
