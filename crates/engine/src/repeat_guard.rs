//! Remembers requests with an effect that may have run, or may still run, and whose client will get no answer any more. A
//! client that sends such a request again, under the same correlation id, must not cause a second execution.

use std::collections::{HashMap, VecDeque};

use fawnhill::{Effect, Millis, Outcome, RequestId};

use crate::outcomes::may_have_run;
use crate::CorrelationId;

/// How long an unsafe request that may have run is remembered.
const MEMORY_MS: Millis = 60_000.0;
/// Maximum number of requests that are remembered. Beyond it the oldest are forgotten.
const MAX_REMEMBERED: usize = 8192;

/// A request whose client has disconnected while an attempt was outstanding.
struct Abandoned {
    correlation_id: CorrelationId,
    effect: Effect,
    /// An earlier attempt may have run.
    may_have_run: bool,
}

/// The remembered requests.
#[derive(Default)]
pub(crate) struct RepeatGuard {
    /// Until when each correlation id may not be used again; infinite while an attempt is outstanding.
    blocked_until: HashMap<CorrelationId, Millis>,
    /// The same in the order in which they were added, to find those that have expired.
    order: VecDeque<CorrelationId>,
    abandoned: HashMap<RequestId, Abandoned>,
}

impl RepeatGuard {
    /// Whether a request with this correlation id may be opened.
    pub(crate) fn allows(&mut self, now: Millis, correlation_id: &CorrelationId) -> bool {
        if self.blocked_until.is_empty() {
            return true;
        }
        self.forget_expired(now);
        self.blocked_until.get(correlation_id).is_none_or(|until| *until <= now)
    }

    /// Handles that the client of a request has disconnected while an attempt was outstanding, or after one that may have
    /// run.
    pub(crate) fn abandon(
        &mut self,
        now: Millis,
        id: RequestId,
        correlation_id: CorrelationId,
        effect: Effect,
        state: AttemptState,
    ) {
        match (effect, state.outstanding) {
            (Effect::Safe, _) => {}
            (_, true) => {
                self.block(correlation_id.clone(), f64::INFINITY);
                let abandoned = Abandoned { correlation_id, effect, may_have_run: state.may_have_run };
                self.abandoned.insert(id, abandoned);
            }
            (Effect::Unsafe, false) if state.may_have_run => self.block(correlation_id, now + MEMORY_MS),
            (Effect::Keyed | Effect::Unsafe, false) => {}
        }
    }

    /// Handles the end of the attempt of a request that was abandoned. A keyed request may come again from then on,
    /// since servers drop its repeats.
    pub(crate) fn attempt_ended(&mut self, now: Millis, id: RequestId, outcome: Outcome) {
        let Some(abandoned) = self.abandoned.remove(&id) else { return };
        let has_effect = abandoned.may_have_run || may_have_run(outcome);
        if abandoned.effect == Effect::Unsafe && has_effect {
            self.block(abandoned.correlation_id, now + MEMORY_MS);
        } else {
            self.blocked_until.remove(&abandoned.correlation_id);
        }
    }

    /// The remembered correlation ids, for a successor.
    pub(crate) fn correlation_ids(&mut self, now: Millis) -> impl Iterator<Item = &CorrelationId> {
        self.forget_expired(now);
        self.blocked_until.iter().filter(move |(_, until)| **until > now).map(|(id, _)| id)
    }

    /// Remembers the requests that another process of this limiter has open or remembers.
    pub(crate) fn import(&mut self, now: Millis, correlation_ids: impl Iterator<Item = CorrelationId>) {
        correlation_ids.for_each(|id| self.block(id, now + MEMORY_MS));
    }

    fn block(&mut self, correlation_id: CorrelationId, until: Millis) {
        if self.blocked_until.insert(correlation_id.clone(), until).is_none() {
            self.order.push_back(correlation_id);
        }
        if self.order.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.blocked_until.remove(&oldest);
            }
        }
    }

    fn forget_expired(&mut self, now: Millis) {
        while let Some(oldest) = self.order.front() {
            if self.blocked_until.get(oldest).is_some_and(|until| *until > now) {
                return;
            }
            self.blocked_until.remove(oldest);
            self.order.pop_front();
        }
    }
}

/// What has become of the attempts of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptState {
    /// An attempt is outstanding that a server may run.
    pub(crate) outstanding: bool,
    /// An earlier attempt may have run.
    pub(crate) may_have_run: bool,
}

#[cfg(test)]
mod tests {
    use super::*;

    const OUTSTANDING: AttemptState = AttemptState { outstanding: true, may_have_run: false };

    fn id(n: usize) -> CorrelationId {
        format!("c-{n}").into_bytes().into()
    }

    #[test]
    fn unsafe_request_is_blocked_until_it_is_known_not_to_have_run() {
        let mut guard = RepeatGuard::default();
        guard.abandon(0.0, 1, id(1), Effect::Unsafe, OUTSTANDING);
        assert!(!guard.allows(1e9, &id(1)) && guard.allows(0.0, &id(2)));
        guard.attempt_ended(100.0, 1, Outcome::Full);
        assert!(guard.allows(100.0, &id(1)));
        guard.abandon(200.0, 2, id(2), Effect::Unsafe, OUTSTANDING);
        guard.attempt_ended(300.0, 2, Outcome::Severed);
        assert!(!guard.allows(300.0 + MEMORY_MS - 1.0, &id(2)) && guard.allows(300.0 + MEMORY_MS, &id(2)));
        assert!(guard.blocked_until.is_empty() && guard.order.is_empty());
    }

    #[test]
    fn keyed_request_is_blocked_while_its_attempt_is_outstanding_and_a_safe_one_never() {
        let mut guard = RepeatGuard::default();
        guard.abandon(0.0, 1, id(1), Effect::Keyed, OUTSTANDING);
        assert!(!guard.allows(10.0, &id(1)));
        guard.attempt_ended(20.0, 1, Outcome::Ok);
        assert!(guard.allows(20.0, &id(1)));
        guard.abandon(0.0, 2, id(2), Effect::Safe, OUTSTANDING);
        assert!(guard.allows(0.0, &id(2)));
    }

    #[test]
    fn memory_is_bounded() {
        let mut guard = RepeatGuard::default();
        let ran = AttemptState { outstanding: false, may_have_run: true };
        for n in 0..3 * MAX_REMEMBERED {
            guard.abandon(0.0, n as RequestId, id(n), Effect::Unsafe, ran);
        }
        assert_eq!((guard.blocked_until.len(), guard.order.len()), (MAX_REMEMBERED, MAX_REMEMBERED));
        assert!(!guard.allows(1.0, &id(3 * MAX_REMEMBERED - 1)) && guard.allows(1.0, &id(0)));
    }
}
