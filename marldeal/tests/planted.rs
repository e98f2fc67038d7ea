//! Defects planted in the limiters' processes: each one is detected from outside within a fixed number of
//! seeds, and the same seed detects it again. Run with `cargo test -p marldeal --features planted --test
//! planted`.
#![cfg(feature = "planted")]

use marldeal_faults::figures::Run;
use marldeal_faults::processes::Program;
use marldeal_faults::{environment, plans};
use marldeal_rehearsal::scenario::{Repeats, Scenario};
use marldeal_soak::command::{run_seed, Arguments};
use marldeal_soak::judge::{judge, Rule};
use marldeal_soak::plan::{Fault, Plan, ScheduledFault};
use marldeal_soak::run::{self, RunConfig};

/// The number of seeds within which each defect has to be detected.
const SEEDS: u64 = 3;

fn parse(text: &str) -> Scenario {
    Scenario::read(text).unwrap_or_else(|errors| panic!("{errors:?}"))
}

/// A plan that exposes a defect, and a part of the message about it.
fn plan(fault: &str) -> (Scenario, &'static str) {
    match fault {
        // The 500th request of a limiter is never answered.
        "answer" => (parse("seconds = 16\n[nodes]\ncount = 20\n[clients]\nload = 0.4\n"), "no answer by its deadline"),
        "effect" => {
            let mut scenario = parse(
                "seconds = 14\n[[timeline]]\nwhat = \"resets\"\nnodes = [1, 4]\nshare = 0.3\nat_s = 2\nfor_s = 10\n",
            );
            scenario.classes[1].repeats = Repeats::Unsafe;
            (scenario, "sent again though it may have run")
        }
        "drain" => (
            parse("seconds = 14\n[[timeline]]\nwhat = \"drain\"\nnodes = [0, 3]\nafter_s = 8\nat_s = 2\nfor_s = 10\n"),
            "after the notice",
        ),
        "cold" => (
            parse(
                "seconds = 16\n[clients]\nload = 0.9\n[nodes]\ncold_share = 0.1\n\
                 [[timeline]]\nwhat = \"exit\"\nnode_share = 1.0\nat_s = 3\nfor_s = 3\n",
            ),
            "pushed over while cold",
        ),
        "ceiling" => (
            parse("seconds = 16\n[[timeline]]\nwhat = \"flood\"\nfirms = 3\nshare = 4.0\nat_s = 2\nfor_s = 12\n"),
            "past its ceiling",
        ),
        "thaw" => (plans::find("stopped-past-deadlines").expect("a plan"), "which had been stopped"),
        "echo" => (plans::find("third-cut-off").expect("a plan"), "which asks nothing"),
        other => panic!("no plan for {other}"),
    }
}

/// Runs a scenario with limiters that have the given defect, if any.
fn run_scenario(scenario: &Scenario, seed: u64, fault: Option<&str>) -> Run {
    let variables = fault.map(|f| ("MARLDEAL_PLANTED".to_string(), f.to_string())).into_iter().collect();
    let program = Program { path: env!("CARGO_BIN_EXE_marldeal").into(), variables };
    environment::run_scenario(scenario, seed, &program, Vec::new(), |_| {})
        .unwrap_or_else(|why| panic!("{why}"))
}

/// Whether a violation of a rule or an invariant was reported with this text.
fn reports(run: &Run, text: &str) -> bool {
    let rules = run.figures.broken.iter().map(|b| &b.what);
    rules.chain(run.fleet.breaches.iter().map(|b| &b.what)).any(|what| what.contains(text))
}

fn assert_detected(fault: &str) {
    let (scenario, text) = plan(fault);
    let detects = |seed, fault| reports(&run_scenario(&scenario, seed, fault), text);
    // The first seed runs twice with the defect and once without it, in parallel since most of a run is waiting.
    let (without, mut found, mut again) = std::thread::scope(|scope| {
        let spawn = |fault| scope.spawn(move || detects(1, fault));
        let runs = [spawn(None), spawn(Some(fault)), spawn(Some(fault))];
        let [without, found, again] =
            runs.map(|run| run.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic)));
        (without, found, again)
    });
    assert!(!without, "{fault}: detected without the defect");
    let mut seed = 1;
    while !found && seed < SEEDS {
        seed += 1;
        found = detects(seed, Some(fault));
        again = found && detects(seed, Some(fault));
    }
    assert!(found, "{fault} is not detected within {SEEDS} seeds");
    assert!(again, "{fault}: seed {seed} does not detect it again");
    println!("{fault}: seed {seed}");
}

#[test]
fn a_request_that_gets_no_answer() {
    assert_detected("answer");
}
#[test]
fn an_effect_that_happens_twice() {
    assert_detected("effect");
}
#[test]
fn a_drain_that_is_not_heeded() {
    assert_detected("drain");
}
#[test]
fn a_cold_node_that_is_pushed_over() {
    assert_detected("cold");
}
#[test]
fn a_ceiling_that_is_passed() {
    assert_detected("ceiling");
}
#[test]
fn one_that_sends_on_after_it_was_stopped_past_a_deadline() {
    assert_detected("thaw");
}
#[test]
fn one_that_answers_words_of_a_partition_it_has_left() {
    assert_detected("echo");
}

/// Asserts that the soak test detects a defect within three seeds, as a violation of the expected rule.
fn assert_soak_detects(fault: &str, rule: Rule) {
    let arguments = Arguments {
        program: env!("CARGO_BIN_EXE_marldeal").into(),
        seeds: String::new(),
        limiters: 6,
        servers: 5,
        seconds: 14.0,
        failing_calls: false,
        keep: None,
        variables: vec![("MARLDEAL_PLANTED".to_string(), fault.to_string())],
    };
    let found = (1..=3).any(|seed| {
        let files = tempfile::TempDir::new().expect("a directory");
        let (_, breaches) = run_seed(&arguments, seed, files.path()).unwrap_or_else(|why| panic!("{why}"));
        breaches.iter().any(|b| b.rule == rule)
    });
    assert!(found, "{fault} was not detected as {rule:?}");
}

#[test]
fn one_that_drains_nothing_is_found_by_the_soak_test() {
    assert_soak_detects("drain", Rule::Drain);
}

#[test]
fn one_that_repeats_what_may_have_run_is_found_by_the_soak_test() {
    assert_soak_detects("effect", Rule::Repeat);
}

/// All servers hang, and then all limiters are stopped until the deadlines of their requests have passed. This
/// does not depend on the seed, as it would if the stops affected few requests.
#[test]
fn one_that_sends_on_what_is_past_its_time_is_found_by_the_soak_test() {
    let (limiters, servers) = (6, 5);
    let hang = |server| ScheduledFault { at_ms: 3000.0, fault: Fault::Hang(server, 3500.0) };
    let stop = |limiter| ScheduledFault { at_ms: 3700.0, fault: Fault::Stop(limiter, 2600.0) };
    let faults = (0..servers).map(hang).chain((0..limiters).map(stop)).collect();
    let plan = Plan { seed: 1, limiters, servers, length_ms: 9000.0, faults };
    let files = tempfile::TempDir::new().expect("a directory");
    let planted = vec![("MARLDEAL_PLANTED".to_string(), "thaw".to_string())];
    let config = RunConfig {
        program: env!("CARGO_BIN_EXE_marldeal").into(),
        variables: vec![planted; limiters],
        files: files.path().to_path_buf(),
    };
    let history = run::run_plan(&plan, config).unwrap_or_else(|why| panic!("{why}"));
    let late = judge(&history).iter().filter(|b| b.rule == Rule::Afterwards).count();
    assert!(late > 0, "no request sent past its deadline was detected");
}
