//! Hand-over between two processes of one limiter. At any time one of them holds the quota accounts.
//!
//! The process that hands over exports its accounts and is retired by that. It grants nothing any more, and has no share
//! as a member: for each request that it still receives it asks its successor, or another quota owner, as any member
//! does. Without a reply it refuses the request.

use crate::interface::*;
use crate::limiter_state::LimiterState;
use crate::message::{decode_message, encode_message, Line};
use crate::state::*;

impl Limiter {
    /// Exports the state at `now` for a successor that continues as this limiter, and retires this process.
    pub fn retire(&mut self, now: Millis) -> LimiterState {
        let state = self.export_state(now);
        self.retired = true;
        // Prefetched units that are not spent expire at their owners.
        self.prefetch = None;
        state
    }

    /// Handles a message from the other process of this limiter: asks and reports from its predecessor, or replies from
    /// its successor.
    pub(crate) fn on_handover_message(&mut self, body: &[u8], out: &mut Vec<Action>) {
        let position = self.settings.position;
        let Some((incarnation, _, lines)) = decode_message(body) else { return };
        for line in lines {
            match line {
                // After a stall the request has been answered, and a grant would only waste units.
                Line::Ask(ask) if !self.retired && self.resumed_at < self.now => {
                    if let Some(reply) = self.answer_ask(position, incarnation, &ask) {
                        self.send_handover_line(Line::Reply(reply), out);
                    }
                }
                Line::Done(done) if !self.retired => {
                    self.on_done((position, incarnation, done.id), done.used);
                }
                Line::Reply(reply) if self.retired && reply.incarnation == self.incarnation => {
                    self.on_reply(position, &reply, out);
                }
                _ => {}
            }
        }
    }

    /// Sends a line to the other process of this limiter. The link between them has no message rate.
    pub(crate) fn send_handover_line(&self, line: Line, out: &mut Vec<Action>) {
        out.push(Action::SendHandoverMessage { body: encode_message(self.incarnation, None, &[line]) });
    }
}
