//! Detects stalls of the whole process when it resumes: data read then may have been waiting for as long as the stall.
//!
//! A client counts its deadline from when it sent a request; a limiter that was stopped meanwhile, or got no CPU, reads
//! the request as if it were new. The detector has no clock: the caller reports a heartbeat whenever it checks its
//! timers, and the latest time of the next one. A heartbeat much later than that ends a stall, which began at the
//! previous heartbeat at the earliest.
//!
//! ```
//! use marldeal_lifecycle::stalls::StallDetector;
//!
//! let mut detector = StallDetector::default();
//! detector.heartbeat(1000.0, Some(1100.0));
//! assert_eq!(detector.max_queued_ms(1090.0), 0.0);
//! // Stopped for almost 5 s: data read now may have arrived 4.95 s ago.
//! assert_eq!(detector.max_queued_ms(5950.0), 4950.0);
//! ```

use crate::Millis;

/// A heartbeat later than this indicates a stall: the kernel's scheduling and a busy event loop cause far less delay.
const HEARTBEAT_TOLERANCE_MS: Millis = 50.0;
/// Data that arrived during a stall is read within this time after it.
const MAX_READ_DELAY_MS: Millis = 100.0;

/// The last heartbeat of a process and its last stall.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallDetector {
    /// Time of the last heartbeat, and when the next one is due.
    last_heartbeat: Option<(Millis, Millis)>,
    /// Earliest start of the last stall, and when the stall was detected.
    last_stall: Option<(Millis, Millis)>,
}

impl StallDetector {
    /// Reports that the caller checks its timers now, and will do so again by `next` at the latest, if given.
    pub fn heartbeat(&mut self, now: Millis, next: Option<Millis>) {
        self.detect(now);
        self.last_heartbeat = next.map(|next| (now, next.max(now)));
    }

    fn detect(&mut self, now: Millis) {
        if let Some((started_at, _)) =
            self.last_heartbeat.filter(|(_, due_at)| now - due_at > HEARTBEAT_TOLERANCE_MS)
        {
            self.last_stall = Some((started_at, now));
            // The same stall must not be detected twice; the next heartbeat follows at once.
            self.last_heartbeat = None;
        }
    }

    /// When the end of the last stall was detected; `None` if there was no stall.
    pub fn last_stall_end(&mut self, now: Millis) -> Option<Millis> {
        self.detect(now);
        self.last_stall.map(|(_, ended_at)| ended_at)
    }

    /// Longest time that data read now may have been waiting to be read.
    pub fn max_queued_ms(&mut self, now: Millis) -> Millis {
        self.detect(now);
        match self.last_stall {
            Some((started_at, ended_at)) if now - ended_at <= MAX_READ_DELAY_MS => now - started_at,
            _ => 0.0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn data_read_just_after_a_stall_may_be_as_old_as_the_stall() {
        let mut detector = StallDetector::default();
        detector.heartbeat(0.0, Some(100.0));
        detector.heartbeat(100.0, Some(200.0));
        // Timers fire first; the waiting data is read after them.
        detector.heartbeat(3100.0, Some(3200.0));
        assert_eq!(detector.max_queued_ms(3101.0), 3001.0);
        detector.heartbeat(3150.0, Some(3250.0));
        assert_eq!(detector.max_queued_ms(3200.0), 3100.0);
        assert_eq!(detector.max_queued_ms(3201.0), 0.0);
    }

    #[test]
    fn an_idle_or_slightly_late_caller_is_not_stalled() {
        let mut detector = StallDetector::default();
        detector.heartbeat(0.0, None);
        assert_eq!(detector.max_queued_ms(60_000.0), 0.0, "no heartbeat was due");
        detector.heartbeat(60_000.0, Some(90_000.0));
        assert_eq!(detector.max_queued_ms(89_000.0), 0.0);
        assert_eq!(
            (detector.max_queued_ms(90_050.0), detector.last_stall_end(90_050.0)),
            (0.0, None),
            "within the tolerance for a busy machine"
        );
        assert_eq!(
            (detector.max_queued_ms(90_051.0), detector.last_stall_end(90_060.0)),
            (30_051.0, Some(90_051.0))
        );
    }

    #[test]
    fn a_stall_is_detected_once() {
        let mut detector = StallDetector::default();
        detector.heartbeat(0.0, Some(100.0));
        assert!(detector.max_queued_ms(2000.0) > 0.0);
        assert_eq!(detector.max_queued_ms(2150.0), 0.0);
        detector.heartbeat(2160.0, Some(2260.0));
        assert_eq!(detector.max_queued_ms(2300.0), 0.0);
    }
}
