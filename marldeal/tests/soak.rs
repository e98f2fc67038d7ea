//! A small soak test: a few limiters as processes, overlapping faults, and checks from outside. `cargo run
//! --release -p marldeal-soak` runs many seeds with a few dozen processes (docs/operate/soak.md).

use marldeal_soak::command::{request_trace, run_seed, Arguments};
use tempfile::TempDir;

fn arguments(failing_calls: bool) -> Arguments {
    Arguments {
        program: env!("CARGO_BIN_EXE_marldeal").into(),
        seeds: String::new(),
        limiters: 6,
        servers: 5,
        seconds: 12.0,
        failing_calls,
        keep: None,
        variables: Vec::new(),
    }
}

fn assert_no_violation(seed: u64, failing_calls: bool) {
    let files = TempDir::new().expect("a directory");
    let result = run_seed(&arguments(failing_calls), seed, files.path());
    let (history, breaches) = result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    let report: Vec<String> = breaches
        .iter()
        .flat_map(|b| std::iter::once(b.to_string()).chain(request_trace(&history, files.path(), b)))
        .collect();
    assert!(breaches.is_empty(), "seed {seed}:\n{}", report.join("\n"));
    assert!(history.events.len() > 1000, "{} events", history.events.len());
}

#[test]
fn overlapping_faults_violate_no_rule() {
    assert_no_violation(1, false);
}

#[test]
fn overlapping_faults_with_failing_calls_violate_no_rule() {
    assert_no_violation(2, true);
}
