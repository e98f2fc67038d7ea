//! Which connection makes way when there is no room for another.

use crate::Millis;

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// A request of it is taken in or answered.
    RequestOpen,
    /// It has been answered and asks nothing.
    Idle,
    /// A request has begun on it, or is owed by one that has just connected.
    PartialRequest,
}

/// One connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What it is at.
    pub activity: Activity,
    /// For how long no byte has come or gone, in milliseconds.
    pub inactive_ms: Millis,
}

/// An idle connection may be asked on again at any moment: within this time it is worth more than one that has begun a
/// request and stands still. It may also still be writing its answer.
const IDLE: [Millis; 2] = [1000.0, 100.0];
/// A slow client writes piece by piece: one that has written nothing for so long is rather one that never will.
const HALF: [Millis; 2] = [500.0, 100.0];

impl Candidate {
    /// How soon it makes way: the greatest first; nothing for one that must stay.
    fn rank(self) -> Option<(u8, Millis)> {
        let after = |rank: u8, from: Millis| (self.inactive_ms >= from).then_some((rank, self.inactive_ms));
        match self.activity {
            Activity::RequestOpen => None,
            Activity::Idle => after(3, IDLE[0]).or(after(1, IDLE[1])),
            Activity::PartialRequest => after(2, HALF[0]).or(after(0, HALF[1])),
        }
    }
}

/// The place of the one that makes way first: idle for long, then half a request that stands inactive_ms, then the others, the
/// longest still first. One with an open request never does, nor one that has only just done something.
pub fn select_candidate(all: impl Iterator<Item = Candidate>) -> Option<usize> {
    let ranked = all.enumerate().filter_map(|(at, standing)| Some((at, standing.rank()?)));
    let most = ranked.max_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    most.map(|(at, _)| at)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn first(all: &[(Activity, Millis)]) -> Option<usize> {
        select_candidate(
            all.iter()
                .map(|(activity, inactive_ms)| Candidate { activity: *activity, inactive_ms: *inactive_ms }),
        )
    }

    /// Guards against a crowd that asked once and stayed, for which slow but honest clients made way.
    #[test]
    fn a_slow_request_stays_while_idle_ones_can_go() {
        assert_eq!(
            first(&[(Activity::PartialRequest, 300.0), (Activity::Idle, 1200.0), (Activity::Idle, 5000.0)]),
            Some(2)
        );
        assert_eq!(first(&[(Activity::PartialRequest, 2000.0), (Activity::Idle, 1200.0)]), Some(1));
        // One that stands still goes before one that was asked on a moment ago.
        assert_eq!(
            first(&[
                (Activity::Idle, 400.0),
                (Activity::PartialRequest, 600.0),
                (Activity::PartialRequest, 200.0)
            ]),
            Some(1)
        );
        assert_eq!(first(&[(Activity::PartialRequest, 400.0), (Activity::Idle, 150.0)]), Some(1));
        assert_eq!(first(&[(Activity::PartialRequest, 200.0), (Activity::PartialRequest, 300.0)]), Some(1));
    }

    #[test]
    fn an_open_request_never_makes_way_nor_one_that_just_moved() {
        assert_eq!(
            first(&[(Activity::RequestOpen, 1e9), (Activity::Idle, 99.0), (Activity::PartialRequest, 99.0)]),
            None
        );
        assert_eq!(first(&[]), None);
    }
}
