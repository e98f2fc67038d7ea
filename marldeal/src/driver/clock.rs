//! The clocks of the driver. This is the only place in the limiter that reads the wall clock.
//!
//! The wall clock is read once, at the start, as the origin of the decision module's clock; from there on that clock runs
//! by the monotonic clock. A wall clock that is stepped later changes nothing in this process. Of two processes or
//! machines, one may have read it before a step and the other after it, so a time that passes between them is typed:
//! [`WallTime`] has no arithmetic, and spans are measured between two [`MonotonicTime`]s. Times that carry the origin
//! leave the process, or enter it, here:
//!
//! - A snapshot for a successor holds a [`WallTime`] for successors of earlier releases. Its age is measured between two
//!   [`MonotonicTime`]s; all other times in it are spans up to the moment of writing.
//! - The frames of an upgrade hold no time of a clock, only the age of an incomplete request.
//! - Messages between peers name the sender's start (`incarnation`), cut to 32 bits, to tell its processes apart. The
//!   decision module also compares it with its own start, to see whether a peer was there first (`older_ms` in
//!   `src/policy.rs`). That is not a span of real time if a wall clock was stepped between the two starts.
//! - The list of servers names start times by the wall clocks of other machines; `src/slow_start.rs` counts one that is
//!   implausible as now.
//! - Figures for operators, log lines and requests to servers hold no time of this clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use marldeal_snapshot::moments::{MonotonicTime, WallTime};
use nix::time::{clock_gettime, ClockId};

/// The decision module's clock, in milliseconds: Unix time at the start, continued by the monotonic clock. Start times
/// from discovery need no conversion, and a limiter that restarts does not see the same time twice.
pub(super) struct Clock {
    pub(super) started: Instant,
    wall_start: WallTime,
}

impl Clock {
    #[expect(clippy::disallowed_methods, reason = "the origin of the clock is Unix time")]
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), wall_start: WallTime::from_unix_millis(unix.as_secs_f64() * 1000.0) }
    }

    pub(super) fn now(&self) -> f64 {
        self.wall_start.unix_millis() + self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub(super) fn instant(&self, at: f64) -> Instant {
        let since_start_ms = at - self.wall_start.unix_millis();
        self.started + Duration::from_secs_f64((since_start_ms / 1000.0).clamp(0.0, 1e9))
    }

    /// The present moment by the wall clock as it was at the start.
    pub(super) fn wall_time(&self) -> WallTime {
        WallTime::from_unix_millis(self.now())
    }

    /// The present moment on the clock that all processes of this machine share. Linux always has this clock; a reading
    /// that fails counts as 0, which makes what is written now too old to be used.
    pub(super) fn monotonic_time(&self) -> MonotonicTime {
        let reading = clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(Duration::ZERO, Duration::from);
        MonotonicTime::from_millis(reading.as_secs_f64() * 1000.0)
    }
}
