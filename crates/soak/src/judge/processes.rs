//! Rules on processes: they start and end well, and report no broken rule of their own.

use std::collections::HashMap;

use super::{Breach, HistoryIndex, Limiter, Millis, Rule, SLACK_MS};
use crate::history::What;

/// Time within which `READY_FRACTION` of all starts have to be ready.
const READY_MS: Millis = 10_000.0;
/// Share of starts that have to be ready within `READY_MS`.
const READY_FRACTION: f64 = 0.9;
/// Longest time that any start may take.
const MAX_READY_MS: Millis = 30_000.0;
/// Time within which a client that stops in the middle of a request is disconnected.
const MAX_INCOMPLETE_REQUEST_MS: Millis = 3000.0;

pub(super) fn judge(index: &HistoryIndex, breaches: &mut Vec<Breach>) {
    let mut starting: HashMap<Limiter, Millis> = HashMap::new();
    let mut start_durations: Vec<Millis> = Vec::new();
    for event in index.events {
        let mut breach =
            |rule, what: String| breaches.push(Breach { rule, at: event.at, what, request: None });
        match &event.what {
            What::Started { limiter, .. } => drop(starting.insert(*limiter, event.at)),
            What::Ready { limiter } => {
                if let Some(from) = starting.remove(limiter) {
                    start_durations.push(event.at - from - index.stalled_ms(*limiter, from, event.at));
                }
            }
            What::Killed { limiter } => drop(starting.remove(limiter)),
            What::Exited { limiter, well: false } => {
                breach(Rule::Process, format!("limiter {limiter} ended by itself"));
            }
            What::Confessed { limiter, line } => {
                breach(Rule::Confessed, format!("limiter {limiter}: {line}"))
            }
            What::HalfEnded { limiter, after_ms } => {
                let from = event.at - after_ms.unwrap_or(0.0);
                let slack =
                    SLACK_MS + index.stalled_ms(*limiter, from, event.at) + index.lateness(from, event.at);
                match after_ms {
                    Some(after) if *after <= MAX_INCOMPLETE_REQUEST_MS + slack => {}
                    Some(after) => {
                        breach(
                            Rule::Half,
                            format!("limiter {limiter}: an incomplete request was ended after {after:.0} ms"),
                        );
                    }
                    None => {
                        breach(Rule::Half, format!("limiter {limiter}: an incomplete request was not ended"))
                    }
                }
            }
            _ => {}
        }
    }
    start_durations
        .extend(starting.values().map(|from| index.end - from).filter(|waited| *waited > READY_MS));
    let late_count = start_durations.iter().filter(|ms| **ms > READY_MS).count() as f64;
    if late_count > (1.0 - READY_FRACTION) * start_durations.len() as f64
        || start_durations.iter().any(|ms| *ms > MAX_READY_MS)
    {
        let what =
            format!("{late_count} of {} starts were not ready within {READY_MS} ms", start_durations.len());
        breaches.push(Breach { rule: Rule::Process, at: index.end, what, request: None });
    }
}
