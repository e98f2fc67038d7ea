//! Units under a ceiling for requests whose bodies are passed on while they are received.
//!
//! A request takes its units from a ceiling when it has come whole to a server. A quota owner counts granted units
//! against the ceiling's depth for [`GRANT_LIFETIME_MS`] only, but the body of an upload may take much longer: the ceiling
//! would fill up over units that are still to be taken. The end of a body is therefore held back until it is known that
//! the units are granted. If the grant has expired by then, the units of the quota are returned, and both are asked for
//! again. Without a grant the request is refused, which is harmless, since no server has received it whole.

use crate::accounts::GRANT_LIFETIME_MS;
use crate::interface::*;
use crate::state::*;

/// Marks the ids of asks for units at the end of a body. The ids of requests are below it.
pub const COMPLETION_BIT: RequestId = 1 << 30;

impl Limiter {
    /// Decides whether the end of a body, of which the rest has been passed on, may be passed on too.
    pub(crate) fn on_body_received(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.completion == Completion::Asked {
            return;
        }
        let has_ceiling = self.settings.plans[open.request.plan].ceiling_rate > 0.0;
        if !has_ceiling || self.now - open.leased_from <= GRANT_LIFETIME_MS {
            return self.complete_body(id, out);
        }
        let (granted_by, expired_id) = (open.owner.take(), open.grant_id);
        (open.completion, open.grant_id) = (Completion::Asked, id | COMPLETION_BIT);
        (open.rank, open.asks, open.pending_ask) = (0, 0, None);
        (open.asked_from, open.leased_from) = (self.now, self.now);
        if let Some(owner) = granted_by {
            self.report_use(owner, expired_id, 0.0, out);
        }
        self.ask_owner(id, out);
    }

    /// Continues with a request whose units are granted.
    pub(crate) fn proceed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.requests.get(&id).map(|open| open.completion) {
            Some(Completion::Asked) => self.complete_body(id, out),
            _ => self.dispatch(id, out),
        }
    }

    fn complete_body(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.completion = Completion::Allowed;
        out.push(Action::CompleteBody { id, attempt: open.attempts.saturating_sub(1) });
    }

    /// Finds the request that waits for the reply to an ask of this id.
    pub(crate) fn request_of_ask(&self, ask: RequestId) -> Option<RequestId> {
        let asked = |id: &RequestId| self.requests.get(id).is_some_and(|open| open.grant_id == ask);
        [ask, ask & !COMPLETION_BIT].into_iter().find(asked)
    }
}
