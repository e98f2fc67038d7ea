//! All limiters together keep to what servers in slow start can take. `MARLDEAL_SLOW_START=full` plays all scenarios
//! under five seeds, as `marldeal rehearse slow-start --seeds 5` does.

use marldeal_rehearsal::slow_start::{full_trials, play, small_trials, Trial, Verdict};

fn check(trials: &[Trial], seeds: &[u64]) {
    let results = play(trials, seeds, |_| {}).expect("valid scenarios");
    let mut failures = Vec::new();
    for result in results {
        let found = &result.findings;
        let line = format!(
            "{}: {} cases, worst ratio {:.3}, {} breaches, {}",
            result.trial.name(),
            found.cases,
            found.worst_ratio(),
            found.breaches.len(),
            found.verdict()
        );
        println!("{line}");
        if found.verdict() != Verdict::Passed {
            failures.push(format!("{line} {:?}", result.breached_seeds));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn cold_servers_get_no_more_than_they_can_take() {
    match std::env::var("MARLDEAL_SLOW_START").as_deref() {
        Ok("full") => check(&full_trials(), &[1, 2, 3, 4, 5]),
        _ => check(&small_trials(), &[1, 2, 3]),
    }
}
