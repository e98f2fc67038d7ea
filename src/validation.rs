//! Which settings can be served at all.

use crate::interface::*;

/// Each value that cannot be served, named.
pub fn validation_errors(s: &Settings) -> Vec<String> {
    let fine = |x: f64| x.is_finite() && x >= 0.0;
    let class_ok = |c: &Class| c.aim_ms > 0.0 && fine(c.aim_ms) && fine(c.window_ms) && fine(c.late_worth);
    let plan_ok =
        |p: &Plan| [p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack].into_iter().all(fine);
    let tests = [
        (s.plans.len() <= 255, "plans must be 255 at most".to_string()),
        ((1..=65_535).contains(&s.limiters), "limiters must be 1 to 65535".to_string()),
        (s.position < s.limiters, format!("position {} is not below limiters {}", s.position, s.limiters)),
        (s.max_attempts > 0, "max_attempts must be 1 or more".to_string()),
        (fine(s.round_ms), format!("round_ms {} is not a time", s.round_ms)),
        (fine(s.cold_ms) && fine(s.fall_ms), "cold_ms or fall_ms is not a time".to_string()),
        (fine(s.cold_share) && s.cold_share <= 1.0, format!("cold_share {} is not a share", s.cold_share)),
        (fine(s.fall_multiple), format!("fall_multiple {} is not a number from 0", s.fall_multiple)),
        ((1..=1 << 30).contains(&s.firms), format!("firms {} is not 1 to 2^30", s.firms)),
        (fine(s.messages_per_s), format!("messages_per_s {} is not a rate", s.messages_per_s)),
    ];
    let values = tests.into_iter().filter(|t| !t.0).map(|t| t.1);
    let classes = s.classes.iter().enumerate().filter(|(_, c)| !class_ok(c));
    let plans = s.plans.iter().enumerate().filter(|(_, p)| !plan_ok(p));
    values
        .chain(
            classes.map(|(i, _)| format!("class {i} has an aim, window or late worth that cannot be served")),
        )
        .chain(plans.map(|(i, _)| format!("plan {i} has a negative or endless figure")))
        .collect()
}

/// An error that names the first value that cannot be served.
pub fn check(s: &Settings) -> Result<(), String> {
    validation_errors(s).into_iter().next().map_or(Ok(()), Err)
}
