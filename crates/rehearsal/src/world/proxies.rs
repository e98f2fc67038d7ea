//! Proxies that ask a limiter about each request, carry out its verdict and report the outcome.

use super::*;

impl World {
    /// Passes an input to the external processor of a limiter and performs its actions.
    pub(super) fn handle_external(&mut self, limiter: usize, input: external::Input) {
        let Limiter { engine, external, .. } = &mut self.limiters[limiter];
        let (Some(engine), Some(external)) = (engine, external) else { return };
        let mut out = Vec::new();
        external.handle(self.now, input, engine, &mut out);
        for item in out {
            match item {
                Action::Engine(output) => self.perform_outputs(limiter, vec![output]),
                Action::Reply { stream, verdict } => self.apply_verdict(limiter, stream, verdict),
            }
        }
        self.schedule_limiter(limiter);
    }

    /// A proxy receives a verdict.
    pub(super) fn apply_verdict(&mut self, limiter: usize, try_id: u64, verdict: Verdict) {
        let answer = match verdict {
            Verdict::Admit(grant) | Verdict::Retry(grant) => {
                return self.send_proxied_attempt(limiter, try_id, grant)
            }
            Verdict::PassThrough => Answer::Served,
            Verdict::Refuse { retry_ms } => Answer::Refused { retry_ms },
            Verdict::Busy => Answer::Refused { retry_ms: 0.0 },
            Verdict::Fail | Verdict::Conflict(_) => Answer::Failed,
        };
        if self.limiters[limiter].proxied_tries.remove(&try_id) {
            self.drop_proxied_attempt(limiter, try_id);
            self.send_answer(limiter, try_id, answer);
            self.handle_external(limiter, external::Input::Closed { stream: try_id });
        }
    }

    /// A proxy sends the attempt that a grant allows.
    pub(super) fn send_proxied_attempt(&mut self, limiter: usize, try_id: u64, grant: Grant) {
        if let Some(key) = self.send_attempt(limiter, try_id, None, grant.attempt, &grant.server) {
            self.limiters[limiter].proxied_attempts.insert(try_id, key);
            self.schedule(grant.deadline, Event::ProxyTimeout { key });
        }
    }

    /// Ends an attempt of a proxy at its deadline.
    pub(super) fn expire_proxied_attempt(&mut self, key: u64) {
        if let Some(a) = self.attempts.get(&key).filter(|a| !a.ended) {
            let outcome = if a.connected { Outcome::TimedOut } else { Outcome::NoConnection };
            self.abandon_attempt(key);
            self.report_attempt_end(key, outcome);
        }
    }

    /// Abandons the attempt that a proxy carries for a try, if there is one.
    pub(super) fn drop_proxied_attempt(&mut self, limiter: usize, try_id: u64) {
        if let Some(key) = self.limiters[limiter].proxied_attempts.remove(&try_id) {
            if self.attempts.get(&key).is_some_and(|a| !a.ended) {
                self.abandon_attempt(key);
                self.oracle.attempt_ended(try_id, self.now, Outcome::Cancelled);
            }
        }
    }
}
