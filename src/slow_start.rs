//! From when on a server counts as cold. Its start is told by a wall clock, and the wall clock of any machine may be stepped,
//! by seconds or by an hour: a start that cannot be right counts as one of this moment.

use crate::interface::Millis;

/// A start that is news was at most so long ago: discovery tells it within seconds, and after an outage later.
const MOST_NEWS_MS: Millis = 60_000.0;

/// What discovery says of a server's last start, in milliseconds of Unix time; 0 for long ago.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Start {
    /// As it is told now.
    pub told: Millis,
    /// As it was told before, of a server that is known.
    pub before: Option<Millis>,
    /// Had it been so for long, an earlier list would have told it.
    pub news: bool,
}

impl Start {
    /// Since when the server counts as cold; nothing if it is warm, or nothing is new about it.
    pub fn cold_since(self, now: Millis, cold_ms: Millis) -> Option<Millis> {
        if self.told <= 0.0 || self.before == Some(self.told) {
            return None;
        }
        let age = now - self.told;
        // A later start with an earlier time: the server's clock was set back in between.
        let earlier = self.before.is_some_and(|before| self.told < before);
        let too_old = self.news && age > MOST_NEWS_MS;
        if age < 0.0 || earlier || too_old {
            return Some(now);
        }
        (age < cold_ms).then_some(self.told)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Millis = 1.7e12;
    const COLD_MS: Millis = 14_000.0;
    const HOUR_MS: Millis = 3_600_000.0;

    fn since(told: Millis, before: Option<Millis>, news: bool) -> Option<Millis> {
        Start { told, before, news }.cold_since(NOW, COLD_MS)
    }

    #[test]
    fn a_start_that_can_be_right_is_taken_as_it_is_told() {
        assert_eq!(since(0.0, None, true), None);
        assert_eq!(since(NOW - 3000.0, None, false), Some(NOW - 3000.0));
        assert_eq!(since(NOW - 3000.0, Some(0.0), true), Some(NOW - 3000.0));
        assert_eq!(since(NOW - 20_000.0, Some(0.0), true), None, "told after an outage, and warm by now");
        assert_eq!(since(NOW - HOUR_MS, None, false), None, "a first list tells of old starts");
        assert_eq!(since(NOW - 3000.0, Some(NOW - 3000.0), true), None, "nothing new");
    }

    #[test]
    fn a_start_that_cannot_be_right_counts_from_now_on() {
        assert_eq!(
            since(NOW + HOUR_MS, None, false),
            Some(NOW),
            "this clock is behind, or the server's ahead"
        );
        assert_eq!(since(NOW - HOUR_MS, None, true), Some(NOW), "this clock is ahead");
        assert_eq!(since(NOW - HOUR_MS, Some(0.0), true), Some(NOW));
        assert_eq!(since(NOW - 40_000.0, Some(NOW - 30_000.0), true), Some(NOW), "the server's was set back");
    }
}
