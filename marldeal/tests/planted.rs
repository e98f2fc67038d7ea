//! Rules broken on purpose in the limiters' processes: each is found from outside within a stated number of seeds, and the
//! seed finds it again. `cargo test -p marldeal --features planted --test planted`.
#![cfg(feature = "planted")]

use marldeal_faults::figures::Run;
use marldeal_faults::processes::Program;
use marldeal_faults::{environment, plans};
use marldeal_rehearsal::scenario::{Repeats, Scenario};
use marldeal_soak::command::{run_seed, Arguments};
use marldeal_soak::judge::{judge, Rule};
use marldeal_soak::plan::{Fault, Plan, ScheduledFault};
use marldeal_soak::run::{self, RunConfig};

/// Seeds within which each fault has to be found.
const SEEDS: u64 = 3;

fn short(text: &str) -> Scenario {
    Scenario::read(text).unwrap_or_else(|wrong| panic!("{wrong:?}"))
}

/// A plan that brings a fault out, and a word of what is said of it.
fn plan(fault: &str) -> (Scenario, &'static str) {
    match fault {
        // The 500th request of a limiter is never answered.
        "answer" => (short("seconds = 16\n[nodes]\ncount = 20\n[clients]\nload = 0.4\n"), "no answer by its deadline"),
        "effect" => {
            let mut scenario = short(
                "seconds = 14\n[[timeline]]\nwhat = \"resets\"\nnodes = [1, 4]\nshare = 0.3\nat_s = 2\nfor_s = 10\n",
            );
            scenario.classes[1].repeats = Repeats::Unsafe;
            (scenario, "sent again though it may have run")
        }
        "drain" => (
            short("seconds = 14\n[[timeline]]\nwhat = \"drain\"\nnodes = [0, 3]\nafter_s = 8\nat_s = 2\nfor_s = 10\n"),
            "after the notice",
        ),
        "cold" => (
            short(
                "seconds = 16\n[clients]\nload = 0.9\n[nodes]\ncold_share = 0.1\n\
                 [[timeline]]\nwhat = \"exit\"\nnode_share = 1.0\nat_s = 3\nfor_s = 3\n",
            ),
            "pushed over while cold",
        ),
        "ceiling" => (
            short("seconds = 16\n[[timeline]]\nwhat = \"flood\"\nfirms = 3\nshare = 4.0\nat_s = 2\nfor_s = 12\n"),
            "past its ceiling",
        ),
        "thaw" => (plans::find("stopped-past-deadlines").expect("a plan"), "which had been stopped"),
        "echo" => (plans::find("third-cut-off").expect("a plan"), "which asks nothing"),
        other => panic!("no plan for {other}"),
    }
}

fn play(scenario: &Scenario, seed: u64, fault: Option<&str>) -> Run {
    let variables = fault.map(|f| ("MARLDEAL_PLANTED".to_string(), f.to_string())).into_iter().collect();
    let program = Program { path: env!("CARGO_BIN_EXE_marldeal").into(), variables };
    environment::run_scenario(scenario, seed, &program, Vec::new(), |_| {})
        .unwrap_or_else(|why| panic!("{why}"))
}

fn says(run: &Run, word: &str) -> bool {
    let rules = run.figures.broken.iter().map(|b| &b.what);
    rules.chain(run.fleet.breaches.iter().map(|b| &b.what)).any(|what| what.contains(word))
}

fn is_found(fault: &str) {
    let (scenario, word) = plan(fault);
    let says_it = |seed, fault| says(&play(&scenario, seed, fault), word);
    // The first seed, found and found again, beside the run without the fault: most of a run is waiting.
    let (without, mut found, mut again) = std::thread::scope(|scope| {
        let of = |fault| scope.spawn(move || says_it(1, fault));
        let runs = [of(None), of(Some(fault)), of(Some(fault))];
        let [without, found, again] =
            runs.map(|run| run.join().unwrap_or_else(|broken| std::panic::resume_unwind(broken)));
        (without, found, again)
    });
    assert!(!without, "{fault}: found without it");
    let mut seed = 1;
    while !found && seed < SEEDS {
        seed += 1;
        found = says_it(seed, Some(fault));
        again = found && says_it(seed, Some(fault));
    }
    assert!(found, "{fault} is not found within {SEEDS} seeds");
    assert!(again, "{fault}: seed {seed} finds it again");
    println!("{fault}: seed {seed}");
}

#[test]
fn a_request_that_gets_no_answer() {
    is_found("answer");
}
#[test]
fn an_effect_that_happens_twice() {
    is_found("effect");
}
#[test]
fn a_drain_that_is_not_heeded() {
    is_found("drain");
}
#[test]
fn a_cold_node_that_is_pushed_over() {
    is_found("cold");
}
#[test]
fn a_ceiling_that_is_passed() {
    is_found("ceiling");
}
#[test]
fn one_that_sends_on_after_it_was_stopped_past_a_deadline() {
    is_found("thaw");
}
#[test]
fn one_that_answers_words_of_a_partition_it_has_left() {
    is_found("echo");
}

/// The soak test's judge finds a broken rule within three seeds, by the rule that was broken.
fn soak_finds(fault: &str, rule: Rule) {
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
    assert!(found, "{fault} was not found as {rule:?}");
}

#[test]
fn one_that_drains_nothing_is_found_by_the_soak_test() {
    soak_finds("drain", Rule::Drain);
}

#[test]
fn one_that_repeats_what_may_have_run_is_found_by_the_soak_test() {
    soak_finds("effect", Rule::Repeat);
}

/// All servers hang, and then all limiters stand still until the time of what they hold is over: which seed it is makes no
/// difference, as it would where stops meet few requests.
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
    assert!(late > 0, "nothing was found that was sent on past its time");
}
