//! Rules on final answers: exactly one, in time, and made by a server.

use super::{Breach, HistoryIndex, Millis, RequestRecord, Rule, SLACK_MS};
use crate::history::{Effect, Outcome};

/// An answer that is later than this after the client's deadline counts as lost.
const MAX_LATENESS_MS: Millis = 500.0;

pub(super) fn judge(index: &HistoryIndex, record: &RequestRecord, breaches: &mut Vec<Breach>) {
    let mut breach = |rule, at, what: String| {
        let what = format!("limiter {}, request {}: {what}", record.limiter, record.id);
        breaches.push(Breach { rule, at, what, request: Some(record.id) });
    };
    let deadline = record.at + record.budget_ms;
    if let Some((at, status, body_of)) = record.answered {
        let paused = index.stalled_ms(record.limiter, record.at, at);
        let late = at - deadline - MAX_LATENESS_MS - SLACK_MS - paused - index.lateness(record.at, at);
        if late > 0.0 {
            breach(Rule::Answer, at, format!("answered {:.0} ms after its deadline", at - deadline));
        }
        let made_by_server = |t: &super::AttemptRecord| {
            Some(t.attempt) == body_of && matches!(t.over, Some((_, Outcome::Served)))
        };
        if status == 200 && !record.attempts.iter().any(made_by_server) {
            breach(Rule::Forged, at, "answered 200 with a body that no server made for it".to_string());
        }
        let refused = [429, 503].contains(&status) && record.effect != Effect::Safe;
        let executed = record.attempts.iter().find(|t| t.may_have_run() && t.arrived < at);
        if let (true, Some(executed)) = (refused, executed) {
            breach(
                Rule::Refusal,
                at,
                format!("refused, though an attempt at server {} may have run", executed.server),
            );
        }
        return;
    }
    // No answer is due to a client that disconnected, or whose limiter's process was killed.
    let due_until = deadline + MAX_LATENESS_MS + SLACK_MS;
    let paused = index.stalled_ms(record.limiter, record.at, due_until);
    if record.client_left.is_some() || index.process_killed(record, due_until + paused) {
        return;
    }
    match record.unanswered {
        // The limiter closed the idle connection without reading the request, and the client asked again on a
        // new one.
        Some(_) if record.kept && record.asked_again && record.attempts.is_empty() => {}
        Some(at) => {
            let on = if record.kept { "kept" } else { "new" };
            breach(Rule::Answer, at, format!("its {on} connection ended without an answer"));
        }
        None if index.end > due_until + paused + index.lateness(record.at, index.end) => {
            breach(Rule::Answer, due_until, "no answer".to_string());
        }
        None => {}
    }
}
