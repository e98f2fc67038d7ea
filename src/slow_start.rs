//! When the slow start of a server begins. Its start is reported by a wall clock, and any machine's wall clock
//! may be stepped, by seconds or by an hour: an implausible start counts as now.

use crate::interface::Millis;

/// Maximum age of a start that is new: discovery reports it within seconds, or after an outage later.
const MAX_NEW_START_AGE_MS: Millis = 60_000.0;

/// What discovery reports about a server's last start, in milliseconds of Unix time; 0 for long ago.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Start {
    /// The start as reported now.
    pub reported: Millis,
    /// The start as reported before, if the server was listed.
    pub reported_before: Option<Millis>,
    /// The start is new: an earlier list would have contained it otherwise.
    pub is_new: bool,
}

impl Start {
    /// Time since which the server counts as cold; none if it is warm or its start is unchanged.
    pub fn cold_since(self, now: Millis, cold_ms: Millis) -> Option<Millis> {
        if self.reported <= 0.0 || self.reported_before == Some(self.reported) {
            return None;
        }
        let age = now - self.reported;
        // A later start with an earlier time: the server's clock was set back in between.
        let earlier = self.reported_before.is_some_and(|before| self.reported < before);
        let too_old = self.is_new && age > MAX_NEW_START_AGE_MS;
        if age < 0.0 || earlier || too_old {
            return Some(now);
        }
        (age < cold_ms).then_some(self.reported)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Millis = 1.7e12;
    const COLD_MS: Millis = 14_000.0;
    const HOUR_MS: Millis = 3_600_000.0;

    fn since(reported: Millis, reported_before: Option<Millis>, is_new: bool) -> Option<Millis> {
        Start { reported, reported_before, is_new }.cold_since(NOW, COLD_MS)
    }

    #[test]
    fn a_plausible_start_is_accepted() {
        assert_eq!(since(0.0, None, true), None);
        assert_eq!(since(NOW - 3000.0, None, false), Some(NOW - 3000.0));
        assert_eq!(since(NOW - 3000.0, Some(0.0), true), Some(NOW - 3000.0));
        assert_eq!(since(NOW - 20_000.0, Some(0.0), true), None, "reported after an outage, already warm");
        assert_eq!(since(NOW - HOUR_MS, None, false), None, "a first list may report old starts");
        assert_eq!(since(NOW - 3000.0, Some(NOW - 3000.0), true), None, "unchanged start");
    }

    #[test]
    fn an_implausible_start_counts_as_now() {
        assert_eq!(
            since(NOW + HOUR_MS, None, false),
            Some(NOW),
            "this clock is behind or the server clock ahead"
        );
        assert_eq!(since(NOW - HOUR_MS, None, true), Some(NOW), "this clock is ahead");
        assert_eq!(since(NOW - HOUR_MS, Some(0.0), true), Some(NOW));
        assert_eq!(
            since(NOW - 40_000.0, Some(NOW - 30_000.0), true),
            Some(NOW),
            "the server clock was set back"
        );
    }
}
