//! The soak test in small: a few limiters as processes, troubles that cross, judged from outside. Many seeds with a few dozen
//! processes are played by `cargo run --release -p marldeal-soak` (docs/operate/soak.md).

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

fn keeps_all_rules(seed: u64, failing_calls: bool) {
    let files = TempDir::new().expect("a directory");
    let played = run_seed(&arguments(failing_calls), seed, files.path());
    let (history, breaches) = played.unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    let told: Vec<String> = breaches
        .iter()
        .flat_map(|b| std::iter::once(b.to_string()).chain(request_trace(&history, files.path(), b)))
        .collect();
    assert!(breaches.is_empty(), "seed {seed}:\n{}", told.join("\n"));
    assert!(history.events.len() > 1000, "{} events", history.events.len());
}

#[test]
fn troubles_that_cross_break_no_rule() {
    keeps_all_rules(1, false);
}

#[test]
fn troubles_that_cross_calls_that_fail_break_no_rule() {
    keeps_all_rules(2, true);
}
