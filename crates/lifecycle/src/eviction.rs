//! Selects the connection to close when the connection limit is reached.

use crate::Millis;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// A request is being processed or answered.
    RequestOpen,
    /// An upload or an answer that its client does not go on with.
    StalledTransfer,
    /// The last request has been answered, and no other one has begun.
    Idle,
    /// Part of a request has arrived, or the client has just connected and has not sent its first request.
    PartialRequest,
}

/// A connection that may be closed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What the connection is doing.
    pub activity: Activity,
    /// Time since the last byte was received or sent, in milliseconds.
    pub inactive_ms: Millis,
}

/// Inactivity thresholds of idle connections: long and short. The next request may arrive at any moment, so below the
/// long threshold an idle connection is kept rather than one with a stalled partial request. Below the short one the
/// connection may still be writing its answer.
const IDLE_THRESHOLDS_MS: [Millis; 2] = [1000.0, 100.0];
/// Inactivity threshold of a stalled transfer. Its client has no other request, so that it makes way before a partial
/// request, which may be an ordinary one.
const STALLED_TRANSFER_THRESHOLD_MS: Millis = 300.0;
/// Inactivity thresholds of connections with a partial request: long and short. A slow client sends its request piece
/// by piece; one that has sent nothing for the long threshold will probably never finish it.
const PARTIAL_REQUEST_THRESHOLDS_MS: [Millis; 2] = [500.0, 100.0];

impl Candidate {
    /// Eviction rank: the candidate with the greatest rank is closed first. `None` if the connection must be kept.
    fn rank(self) -> Option<(u8, Millis)> {
        let rank_if_inactive =
            |rank: u8, threshold: Millis| (self.inactive_ms >= threshold).then_some((rank, self.inactive_ms));
        match self.activity {
            Activity::RequestOpen => None,
            Activity::StalledTransfer => rank_if_inactive(3, STALLED_TRANSFER_THRESHOLD_MS),
            Activity::Idle => {
                rank_if_inactive(4, IDLE_THRESHOLDS_MS[0]).or(rank_if_inactive(1, IDLE_THRESHOLDS_MS[1]))
            }
            Activity::PartialRequest => rank_if_inactive(2, PARTIAL_REQUEST_THRESHOLDS_MS[0])
                .or(rank_if_inactive(0, PARTIAL_REQUEST_THRESHOLDS_MS[1])),
        }
    }
}

/// Index of the connection to close: first those idle for long, then those with a stalled transfer, then those with a
/// stalled partial request, then others; within each group the longest inactive first. Connections with an open request and those active a moment
/// ago are never selected.
pub fn select_candidate(candidates: impl Iterator<Item = Candidate>) -> Option<usize> {
    let ranked = candidates.enumerate().filter_map(|(index, candidate)| Some((index, candidate.rank()?)));
    let selected = ranked.max_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    selected.map(|(index, _)| index)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn select(candidates: &[(Activity, Millis)]) -> Option<usize> {
        select_candidate(
            candidates
                .iter()
                .map(|(activity, inactive_ms)| Candidate { activity: *activity, inactive_ms: *inactive_ms }),
        )
    }

    /// Guards against closing the connections of slow clients in favour of many idle ones that sent only one request.
    #[test]
    fn a_slow_request_is_kept_while_idle_connections_can_be_closed() {
        assert_eq!(
            select(&[(Activity::PartialRequest, 300.0), (Activity::Idle, 1200.0), (Activity::Idle, 5000.0)]),
            Some(2)
        );
        assert_eq!(select(&[(Activity::PartialRequest, 2000.0), (Activity::Idle, 1200.0)]), Some(1));
        // A stalled partial request is closed before a connection that was used recently.
        assert_eq!(
            select(&[
                (Activity::Idle, 400.0),
                (Activity::PartialRequest, 600.0),
                (Activity::PartialRequest, 200.0)
            ]),
            Some(1)
        );
        assert_eq!(select(&[(Activity::PartialRequest, 400.0), (Activity::Idle, 150.0)]), Some(1));
        assert_eq!(select(&[(Activity::PartialRequest, 200.0), (Activity::PartialRequest, 300.0)]), Some(1));
    }

    /// Guards against slow clients that lose their place to a crowd that holds others with uploads that stand still.
    #[test]
    fn a_stalled_transfer_makes_way_before_a_partial_request() {
        let transfer = Activity::StalledTransfer;
        assert_eq!(select(&[(Activity::PartialRequest, 2000.0), (transfer, 300.0)]), Some(1));
        assert_eq!(select(&[(transfer, 5000.0), (Activity::Idle, 1000.0)]), Some(1));
        assert_eq!(select(&[(transfer, 299.0)]), None, "it may go on");
    }

    #[test]
    fn connections_with_an_open_request_or_recent_activity_are_never_selected() {
        assert_eq!(
            select(&[(Activity::RequestOpen, 1e9), (Activity::Idle, 99.0), (Activity::PartialRequest, 99.0)]),
            None
        );
        assert_eq!(select(&[]), None);
    }
}
