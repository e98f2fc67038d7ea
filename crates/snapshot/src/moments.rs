//! Moments of the two clocks that meet in a snapshot, as types that do not mix.
//!
//! The monotonic clock of a machine runs on whatever happens and reads the same in all its processes, so a span between
//! two processes is measured on it. The wall clock may be stepped at any time, forward or back: a moment of it is a label,
//! and no span can be computed from two of them.
//!
//! ```compile_fail
//! use marldeal_snapshot::moments::{MonotonicTime, WallTime};
//! // A wall-clock time is not accepted where a span is measured.
//! MonotonicTime::from_millis(2.0).since(WallTime::from_unix_millis(1.0));
//! ```
//!
//! ```compile_fail
//! use marldeal_snapshot::moments::WallTime;
//! // Nor can two of them be compared or subtracted.
//! let _ = WallTime::from_unix_millis(2.0) - WallTime::from_unix_millis(1.0);
//! ```

use fawnhill::Millis;
use serde::{Deserialize, Serialize};

/// A moment of the machine's monotonic clock (`CLOCK_MONOTONIC`), the same in all processes of one boot.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MonotonicTime(Millis);

impl MonotonicTime {
    /// A moment by its reading in milliseconds.
    pub fn from_millis(reading_ms: Millis) -> MonotonicTime {
        MonotonicTime(reading_ms)
    }

    /// Milliseconds from an earlier moment to this one; 0 if that one is later.
    pub fn since(self, earlier: MonotonicTime) -> Millis {
        (self.0 - earlier.0).max(0.0)
    }

    /// Whether the reading is a finite number.
    pub fn is_finite(self) -> bool {
        self.0.is_finite()
    }
}

/// A moment of the wall clock, as Unix time. It can be written and shown; it has no arithmetic and no order.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(Millis);

impl WallTime {
    /// A moment by its Unix time in milliseconds.
    pub fn from_unix_millis(unix_ms: Millis) -> WallTime {
        WallTime(unix_ms)
    }

    /// Unix time in milliseconds.
    pub fn unix_millis(self) -> Millis {
        self.0
    }
}
