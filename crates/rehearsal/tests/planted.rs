//! Faults planted in the module and the engine: each is detected within a given number of seeds, and the scenario
//! that shows it can be reduced. `cargo test -p marldeal-rehearsal --features planted --test planted`.
#![cfg(feature = "planted")]

use std::sync::{Mutex, PoisonError};

use fawnhill::planted::{activate, Fault};
use marldeal_rehearsal::rules::Rule;
use marldeal_rehearsal::scenario::{Repeats, Scenario};
use marldeal_rehearsal::slow_start::{play, small_trials, Returning, Trial, Verdict};
use marldeal_rehearsal::{library, shrink};

/// Number of seeds within which each fault has to be detected.
const MAX_SEEDS: u64 = 5;

fn scenario(fault: Fault) -> (Scenario, Rule) {
    let named = |name: &str| library::find(name).expect("a scenario");
    match fault {
        Fault::Answer => (named("quiet-day"), Rule::Answer),
        Fault::Effect => {
            let mut scenario = named("bad-nodes");
            scenario.classes[1].repeats = Repeats::Unsafe;
            (scenario, Rule::Effect)
        }
        Fault::Drain => (named("slow-drains"), Rule::Drain),
        Fault::Cold => {
            let mut scenario = named("fleet-restarted");
            scenario.clients.load = 0.9;
            (scenario, Rule::Cold)
        }
        Fault::Thaw | Fault::Echo => {
            unreachable!("only real processes show these faults (marldeal/tests/planted.rs)")
        }
        Fault::Sweep | Fault::Shout | Fault::Scan => {
            unreachable!("these faults violate no rule but raise the cost (growth.rs)")
        }
        Fault::Ceiling => {
            let mut scenario = named("flood-by-three");
            scenario.timeline[0].share = Some(2.0);
            (scenario, Rule::Ceiling)
        }
    }
}

/// A planted fault affects the whole process, so that one test at a time may run.
static ACTIVE_FAULT: Mutex<()> = Mutex::new(());

/// The judge of slow starts finds that cold servers count as warm, before few limiters and before many, where no warm
/// server is left. Beside warm servers their latency protects cold ones.
#[test]
fn a_cold_server_that_counts_as_warm_is_found_by_the_judge() {
    let _active = ACTIVE_FAULT.lock().unwrap_or_else(PoisonError::into_inner);
    let mut trials: Vec<Trial> = small_trials();
    trials.retain(|trial| trial.returning == Returning::All);
    for (fault, expected) in [(None, Verdict::Passed), (Some(Fault::Cold), Verdict::Breached)] {
        activate(fault);
        let results = play(&trials, &[1, 2, 3], |_| {});
        activate(None);
        for result in results.expect("valid scenarios") {
            let found = &result.findings;
            let (name, ratio) = (result.trial.name(), found.worst_ratio());
            println!("{fault:?}, {name}: worst ratio {ratio:.3}, {} breaches", found.breaches.len());
            assert_eq!(found.verdict(), expected, "{fault:?}, {name}: worst ratio {ratio:.3}");
        }
    }
}

#[test]
fn each_planted_fault_is_found_and_shrunk() {
    let _active = ACTIVE_FAULT.lock().unwrap_or_else(PoisonError::into_inner);
    for fault in [Fault::Answer, Fault::Effect, Fault::Drain, Fault::Cold, Fault::Ceiling] {
        let (scenario, rule) = scenario(fault);
        activate(None);
        assert!(
            (1..=MAX_SEEDS).all(|seed| shrink::first_violation(&scenario, seed, rule).is_none()),
            "{fault:?}: violation without the fault"
        );
        activate(Some(fault));
        let found = (1..=MAX_SEEDS).find(|seed| shrink::first_violation(&scenario, *seed, rule).is_some());
        let seed = found.unwrap_or_else(|| panic!("{fault:?} is not detected within {MAX_SEEDS} seeds"));
        let shrunk = shrink::shrink(&scenario, seed, rule, 120).scenario;
        assert!(
            shrink::first_violation(&shrunk, seed, rule).is_some(),
            "{fault:?}: the reduced scenario does not violate the rule"
        );
        let size = |s: &Scenario| {
            s.seconds * f64::from(s.nodes.count * s.limiters.count) * (1 + s.timeline.len()) as f64
        };
        println!("{fault:?}: seed {seed}, size {:.0} reduced from {:.0}", size(&shrunk), size(&scenario));
        assert!(size(&shrunk) < 0.7 * size(&scenario), "{fault:?}: {}", shrunk.write());
    }
}
