//! Faults planted in the module and the engine: each is detected within a given number of seeds, and the scenario
//! that shows it can be reduced. `cargo test -p marldeal-rehearsal --features planted --test planted`.
#![cfg(feature = "planted")]

use fawnhill::planted::{activate, Fault};
use marldeal_rehearsal::rules::Rule;
use marldeal_rehearsal::scenario::{Repeats, Scenario};
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

/// A single test, since a planted fault affects the whole process.
#[test]
fn each_planted_fault_is_found_and_shrunk() {
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
