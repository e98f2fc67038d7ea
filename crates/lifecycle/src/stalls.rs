//! Detects stalls of the whole process when it resumes: data read then may have been waiting for as long as the stall.
//!
//! A client counts its deadline from when it sent a request; a limiter that was stopped meanwhile, or got no CPU, reads
//! the request as if it were new. The detector has no clock: the caller reports a heartbeat whenever it checks its
//! timers, and the latest time of the next one. A heartbeat much later than that ends a stall, which began at the
//! previous heartbeat at the earliest.
//!
//! After a stall the process has a backlog: data that arrived meanwhile and has not been read. Where CPU time is scarce,
//! reading it takes long, and may be interrupted by another stall. Data may be as old as the first of these stalls until the
//! caller reports that the backlog has been read.
//!
//! ```
//! use marldeal_lifecycle::stalls::StallDetector;
//!
//! let mut detector = StallDetector::default();
//! detector.heartbeat(1000.0, Some(1100.0));
//! assert_eq!(detector.max_queued_ms(1090.0), 0.0);
//! // Stopped for almost 5 s: data read now may have arrived 4.95 s ago.
//! assert_eq!(detector.max_queued_ms(5950.0), 4950.0);
//! // The event loop has turned often enough to read everything that had arrived by then.
//! let stall_end = detector.backlog_since(5950.0).expect("there is a backlog");
//! detector.backlog_read(5960.0, stall_end);
//! assert_eq!(detector.max_queued_ms(6060.0), 0.0);
//! ```

use crate::Millis;

/// A heartbeat later than this indicates a stall: the kernel's scheduling and a busy event loop cause far less delay.
const HEARTBEAT_TOLERANCE_MS: Millis = 50.0;
/// Data read this soon after a stall may have arrived during it, whatever the caller reports.
const MIN_BACKLOG_MS: Millis = 100.0;

/// A stall, and whether the data that arrived during it has been read.
#[derive(Debug, Clone, Copy)]
struct Stall {
    /// Earliest time at which unread data may have arrived.
    started_at: Millis,
    /// When the end of the stall was detected.
    ended_at: Millis,
    /// When all data that had arrived by its end had been read.
    backlog_read_at: Option<Millis>,
}

impl Stall {
    /// Whether data read at this time may have arrived during the stall.
    fn has_backlog(&self, at: Millis) -> bool {
        self.backlog_read_at.is_none_or(|read_at| at <= read_at) || at - self.ended_at <= MIN_BACKLOG_MS
    }
}

/// The last heartbeat of a process and its last stall.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallDetector {
    /// Time of the last heartbeat, and when the next one is due.
    last_heartbeat: Option<(Millis, Millis)>,
    last_stall: Option<Stall>,
}

impl StallDetector {
    /// Reports that the caller checks its timers now, and will do so again by `next` at the latest, if given.
    pub fn heartbeat(&mut self, now: Millis, next: Option<Millis>) {
        self.detect(now);
        self.last_heartbeat = next.map(|next| (now, next.max(now)));
    }

    fn detect(&mut self, now: Millis) {
        let overdue = self.last_heartbeat.filter(|(_, due_at)| now - due_at > HEARTBEAT_TOLERANCE_MS);
        let Some((heartbeat_at, _)) = overdue else { return };
        // The backlog of the stall before may still be unread.
        let earlier = self.last_stall.filter(|stall| stall.has_backlog(heartbeat_at));
        let started_at = earlier.map_or(heartbeat_at, |stall| stall.started_at);
        self.last_stall = Some(Stall { started_at, ended_at: now, backlog_read_at: None });
        // The same stall must not be detected twice; the next heartbeat follows at once.
        self.last_heartbeat = None;
    }

    /// When the end of the last stall was detected; `None` if there was no stall.
    pub fn last_stall_end(&mut self, now: Millis) -> Option<Millis> {
        self.detect(now);
        self.last_stall.map(|stall| stall.ended_at)
    }

    /// The end of the last stall, if its backlog has not been reported as read.
    pub fn backlog_since(&mut self, now: Millis) -> Option<Millis> {
        self.detect(now);
        self.last_stall.filter(|stall| stall.backlog_read_at.is_none()).map(|stall| stall.ended_at)
    }

    /// Reports that all data which had arrived by `stall_end` has been read. No effect if there was a stall since.
    pub fn backlog_read(&mut self, now: Millis, stall_end: Millis) {
        if let Some(stall) = self.last_stall.as_mut().filter(|stall| stall.ended_at <= stall_end) {
            stall.backlog_read_at.get_or_insert(now);
        }
    }

    /// Whether data that was read at `read_since` or later, until now, may have arrived during a stall.
    pub fn may_have_queued_since(&mut self, now: Millis, read_since: Millis) -> bool {
        self.detect(now);
        self.last_stall.is_some_and(|stall| stall.has_backlog(read_since))
    }

    /// Longest time that data read now may have been waiting to be read.
    pub fn max_queued_ms(&mut self, now: Millis) -> Millis {
        self.detect(now);
        match self.last_stall.filter(|stall| stall.has_backlog(now)) {
            Some(stall) => now - stall.started_at,
            None => 0.0,
        }
    }
}
