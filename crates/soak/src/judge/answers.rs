//! Final answers: exactly one, in time, and honest.

use super::{Asked, Breach, Case, Millis, Rule, SLACK_MS};
use crate::history::{Effect, Outcome};

/// An answer after the client's time earns nothing; one that comes later than this is lost.
const LATE_MS: Millis = 500.0;

pub(super) fn judge(case: &Case, asked: &Asked, breaches: &mut Vec<Breach>) {
    let mut breach = |rule, at, what: String| {
        let what = format!("limiter {}, request {}: {what}", asked.limiter, asked.id);
        breaches.push(Breach { rule, at, what, request: Some(asked.id) });
    };
    let deadline = asked.at + asked.budget_ms;
    if let Some((at, status, body_of)) = asked.answered {
        let paused = case.paused_ms(asked.limiter, asked.at, at);
        let late = at - deadline - LATE_MS - SLACK_MS - paused - case.lateness(asked.at, at);
        if late > 0.0 {
            breach(Rule::Answer, at, format!("answered {:.0} ms after its time", at - deadline));
        }
        let honest =
            |t: &super::Try| Some(t.attempt) == body_of && matches!(t.over, Some((_, Outcome::Served)));
        if status == 200 && !asked.tries.iter().any(honest) {
            breach(Rule::Forged, at, "answered 200 with what no server made for it".to_string());
        }
        let refused = [429, 503].contains(&status) && asked.effect != Effect::Safe;
        let ran = asked.tries.iter().find(|t| t.may_have_run() && t.arrived < at);
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
    let owed_until = deadline + LATE_MS + SLACK_MS;
    let paused = case.paused_ms(asked.limiter, asked.at, owed_until);
    if asked.left.is_some() || case.killed(asked.limiter, asked.at, owed_until + paused) {
        return;
    }
    match asked.unanswered {
        // It crossed the end of a resting connection, unread, and was asked again on a new one.
        Some(_) if asked.kept && asked.anew && asked.tries.is_empty() => {}
        Some(at) => {
            let on = if asked.kept { "kept" } else { "new" };
            breach(Rule::Answer, at, format!("its {on} connection ended with no answer"));
        }
        None if case.end > owed_until + paused + case.lateness(asked.at, case.end) => {
            breach(Rule::Answer, owed_until, "no answer".to_string());
        }
        None => {}
    }
}
