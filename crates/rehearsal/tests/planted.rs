//! Rules broken on purpose in the module and the engine: each is found within a stated number of seeds, and the scenario
//! that shows it is shrunk to what matters. `cargo test -p marldeal-rehearsal --features planted --test planted`.
#![cfg(feature = "planted")]

use fawnhill::planted::{activate, Fault};
use marldeal_rehearsal::rules::Rule;
use marldeal_rehearsal::scenario::{Repeats, Scenario};
use marldeal_rehearsal::{library, shrink};

/// Seeds within which each fault has to be found.
const SEEDS: u64 = 5;

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
        Fault::Thaw | Fault::Echo => unreachable!("only processes show them (marldeal/tests/planted.rs)"),
        Fault::Sweep | Fault::Shout => unreachable!("they break no rule, but cost more (growth.rs)"),
        Fault::Ceiling => {
            let mut scenario = named("flood-by-three");
            scenario.timeline[0].share = Some(2.0);
            (scenario, Rule::Ceiling)
        }
    }
}

/// One test, for what is planted is planted in the whole process.
#[test]
fn each_planted_fault_is_found_and_shrunk() {
    for fault in [Fault::Answer, Fault::Effect, Fault::Drain, Fault::Cold, Fault::Ceiling] {
        let (scenario, rule) = scenario(fault);
        activate(None);
        assert!(
            (1..=SEEDS).all(|seed| shrink::first_violation(&scenario, seed, rule).is_none()),
            "{fault:?}: found without it"
        );
        activate(Some(fault));
        let found = (1..=SEEDS).find(|seed| shrink::first_violation(&scenario, *seed, rule).is_some());
        let seed = found.unwrap_or_else(|| panic!("{fault:?} is not found within {SEEDS} seeds"));
        let shrunk = shrink::shrink(&scenario, seed, rule, 120).scenario;
        assert!(
            shrink::first_violation(&shrunk, seed, rule).is_some(),
            "{fault:?}: the shrunk scenario breaks the rule"
        );
        let size = |s: &Scenario| {
            s.seconds * f64::from(s.nodes.count * s.limiters.count) * (1 + s.timeline.len()) as f64
        };
        println!("{fault:?}: seed {seed}, {:.0} of {:.0} left", size(&shrunk), size(&scenario));
        assert!(size(&shrunk) < 0.7 * size(&scenario), "{fault:?}: {}", shrunk.write());
    }
}
