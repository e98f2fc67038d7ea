//! Validation of the settings.

use crate::interface::*;

/// One message for each setting that is out of range.
pub fn validation_errors(s: &Settings) -> Vec<String> {
    let valid = |x: f64| x.is_finite() && x >= 0.0;
    let class_ok = |c: &Class| c.aim_ms > 0.0 && valid(c.aim_ms) && valid(c.window_ms) && valid(c.late_worth);
    let plan_ok =
        |p: &Plan| [p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack].into_iter().all(valid);
    let tests = [
        (s.plans.len() <= 255, "plans must be 255 at most".to_string()),
        ((1..=65_535).contains(&s.limiters), "limiters must be 1 to 65535".to_string()),
        (s.position < s.limiters, format!("position {} is not below limiters {}", s.position, s.limiters)),
        (s.max_attempts > 0, "max_attempts must be 1 or more".to_string()),
        (valid(s.round_ms), format!("round_ms {} is not a valid duration", s.round_ms)),
        (valid(s.cold_ms) && valid(s.fall_ms), "cold_ms or fall_ms is not a valid duration".to_string()),
        (
            valid(s.cold_share) && s.cold_share <= 1.0,
            format!("cold_share {} is not between 0 and 1", s.cold_share),
        ),
        (valid(s.fall_multiple), format!("fall_multiple {} is not a number from 0", s.fall_multiple)),
        ((1..=1 << 30).contains(&s.firms), format!("firms {} is not between 1 and 2^30", s.firms)),
        (valid(s.messages_per_s), format!("messages_per_s {} is not a valid rate", s.messages_per_s)),
    ];
    let values = tests.into_iter().filter(|t| !t.0).map(|t| t.1);
    let classes = s.classes.iter().enumerate().filter(|(_, c)| !class_ok(c));
    let plans = s.plans.iter().enumerate().filter(|(_, p)| !plan_ok(p));
    values
        .chain(classes.map(|(i, _)| format!("class {i}: aim_ms, window_ms or late_worth is out of range")))
        .chain(plans.map(|(i, _)| format!("plan {i} has a negative or infinite value")))
        .collect()
}

/// Checks the settings.
///
/// # Errors
/// The first message of [`validation_errors`].
pub fn validate(s: &Settings) -> Result<(), String> {
    validation_errors(s).into_iter().next().map_or(Ok(()), Err)
}
