//! Final answers: exactly one, in time, and honest.

use super::{Breach, HistoryIndex, Millis, RequestRecord, Rule, SLACK_MS};
use crate::history::{Effect, Outcome};

/// An answer after the client's time earns nothing; one that comes later than this is lost.
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
            breach(Rule::Answer, at, format!("answered {:.0} ms after its time", at - deadline));
        }
        let honest = |t: &super::AttemptRecord| {
            Some(t.attempt) == body_of && matches!(t.over, Some((_, Outcome::Served)))
        };
        if status == 200 && !record.attempts.iter().any(honest) {
            breach(Rule::Forged, at, "answered 200 with what no server made for it".to_string());
        }
        let refused = [429, 503].contains(&status) && record.effect != Effect::Safe;
        let ran = record.attempts.iter().find(|t| t.may_have_run() && t.arrived < at);
        if let (true, Some(ran)) = (refused, ran) {
            breach(
                Rule::Refusal,
                at,
                format!("refused, though an attempt at server {} may have run", ran.server),
            );
        }
        return;
    }
    // Whoever has left, or whose limiter was killed, is owed nothing.
    let due_until = deadline + MAX_LATENESS_MS + SLACK_MS;
    let paused = index.stalled_ms(record.limiter, record.at, due_until);
    if record.client_left.is_some() || index.killed(record.limiter, record.at, due_until + paused) {
        return;
    }
    match record.unanswered {
        // It crossed the end of a resting connection, unread, and was record again on a new one.
        Some(_) if record.kept && record.asked_again && record.attempts.is_empty() => {}
        Some(at) => {
            let on = if record.kept { "kept" } else { "new" };
            breach(Rule::Answer, at, format!("its {on} connection ended with no answer"));
        }
        None if index.end > due_until + paused + index.lateness(record.at, index.end) => {
            breach(Rule::Answer, due_until, "no answer".to_string());
        }
        None => {}
    }
}
