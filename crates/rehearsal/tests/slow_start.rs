//! All limiters together keep to what servers in slow start can take. `marldeal rehearse slow-start --seeds 5` plays all
//! scenarios too.

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
    check(&small_trials(), &[1, 2, 3]);
}

/// All scenarios. Takes minutes.
#[test]
fn cold_servers_of_all_fleets_get_no_more_than_they_can_take() {
    check(&full_trials(), &[1, 2, 3, 4, 5]);
}
