//! Proxies: they ask a limiter about each request, carry out what it says, and tell what came of it.

use super::*;

impl World {
    pub(super) fn give(&mut self, limiter: usize, input: external::Input) {
        let Limiter { engine, external, .. } = &mut self.limiters[limiter];
        let (Some(engine), Some(external)) = (engine, external) else { return };
        let mut out = Vec::new();
        external.handle(self.now, input, engine, &mut out);
        for item in out {
            match item {
                Action::Engine(output) => self.perform(limiter, vec![output]),
                Action::Reply { stream, verdict } => self.proxy_told(limiter, stream, verdict),
            }
        }
        self.arm(limiter);
    }

    pub(super) fn proxy_told(&mut self, limiter: usize, try_id: u64, verdict: Verdict) {
        let answer = match verdict {
            Verdict::Admit(grant) | Verdict::Retry(grant) => return self.proxy_sends(limiter, try_id, grant),
            Verdict::PassThrough => Answer::Served,
            Verdict::Refuse { retry_ms } => Answer::Refused { retry_ms },
            Verdict::Busy => Answer::Refused { retry_ms: 0.0 },
            Verdict::Fail | Verdict::Conflict(_) => Answer::Failed,
        };
        if self.limiters[limiter].presented.remove(&try_id) {
            self.drop_carried(limiter, try_id);
            self.answered(limiter, try_id, answer);
            self.give(limiter, external::Input::Closed { stream: try_id });
        }
    }

    pub(super) fn proxy_sends(&mut self, limiter: usize, try_id: u64, grant: Grant) {
        if let Some(key) = self.sends(limiter, try_id, None, grant.attempt, &grant.server) {
            self.limiters[limiter].carried.insert(try_id, key);
            self.note(grant.deadline, Event::GivenUp { key });
        }
    }

    /// A proxy gives an attempt up whose time is over.
    pub(super) fn given_up(&mut self, key: u64) {
        if let Some(a) = self.attempts.get(&key).filter(|a| !a.over) {
            let outcome = if a.connected { Outcome::TimedOut } else { Outcome::NoConnection };
            self.abandon(key);
            self.hear_end(key, outcome);
        }
    }

    /// The attempt that a proxy carries for a try is of no use any more.
    pub(super) fn drop_carried(&mut self, limiter: usize, try_id: u64) {
        if let Some(key) = self.limiters[limiter].carried.remove(&try_id) {
            if self.attempts.get(&key).is_some_and(|a| !a.over) {
                self.abandon(key);
                self.oracle.attempt_ended(try_id, self.now, Outcome::Cancelled);
            }
        }
    }
}
