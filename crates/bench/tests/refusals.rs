//! The work for a request must not grow with the number of listed servers, also when none of them can take it. Checked
//! servers are counted rather than time, so that the result is the same on every machine.
//! `cargo test -p marldeal-bench --features planted --test refusals`.
#![cfg(feature = "planted")]

use fawnhill::planted::{activate, checks_counted, Fault};

#[allow(dead_code)]
#[path = "../src/harness.rs"]
mod harness;
#[allow(dead_code)]
#[path = "../src/outage.rs"]
mod outage;
use outage::{Case, Run, CASES};

const FEW_SERVERS: u32 = 30;
const MANY_SERVERS: u32 = 4800;
/// Maximum growth of the checked servers per request from few servers to many.
const MAX_GROWTH: f64 = 1.4;
const RATE: f64 = 1000.0;
const WARM_UP_MS: f64 = 2000.0;
const MEASURED_MS: f64 = 10_000.0;

/// Servers checked, and attempts sent, per request.
fn costs(case: Case, servers: u32, single: bool) -> [f64; 2] {
    let mut run = Run::new(case, servers, single);
    run.run(WARM_UP_MS, RATE);
    let (before, sent) = (checks_counted(), run.counts);
    run.run(MEASURED_MS, RATE);
    let counts = run.counts;
    let requests = (counts.requests - sent.requests) as f64;
    [(checks_counted() - before) as f64 / requests, (counts.attempts - sent.attempts) as f64 / requests]
}

/// Growth of the servers checked per request, where every attempt needs one check at least.
fn growth(case: Case, single: bool) -> f64 {
    let [few, many] = [FEW_SERVERS, MANY_SERVERS].map(|servers| costs(case, servers, single));
    let growth = many[0] / few[0].max(many[1]).max(f64::MIN_POSITIVE);
    println!(
        "{case:?}, single {single}: checks and attempts a request {few:.2?}, {many:.2?}: {growth:.2} times"
    );
    growth
}

/// A single test, since a planted fault affects the whole process.
#[test]
fn work_for_a_refusal_does_not_grow_with_the_servers() {
    let refused = CASES.into_iter().filter(|case| *case != Case::Served);
    let cases: Vec<_> = refused.flat_map(|case| [(case, false), (case, true)]).collect();
    assert!(growth(Case::Served, false) > 0.0, "no checked server was counted");
    for (case, single) in &cases {
        let growth = growth(*case, *single);
        assert!(growth <= MAX_GROWTH, "{case:?}: the checked servers grow by a factor of {growth:.2}");
    }
    activate(Some(Fault::Scan));
    for (case, single) in cases {
        let growth = growth(case, single);
        assert!(growth > MAX_GROWTH, "{case:?}: a check of every server is not detected: {growth:.2}");
    }
    activate(None);
}
