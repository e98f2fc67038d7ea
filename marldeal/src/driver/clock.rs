//! The clock of the decision module.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time in milliseconds: Unix time at the start, continued by the monotonic clock. Start times from discovery need
/// no conversion, and a limiter that restarts never sees the same time twice.
pub(super) struct Clock {
    pub(super) started: Instant,
    unix_ms: f64,
}

impl Clock {
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }
    pub(super) fn now(&self) -> f64 {
        self.unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }
    pub(super) fn instant(&self, at: f64) -> Instant {
        self.started + Duration::from_secs_f64(((at - self.unix_ms) / 1000.0).clamp(0.0, 1e9))
    }
}
