//! Results of many runs: paired differences, capacity planning, and the search for harmful parameters.

use marldeal_rehearsal::draws;
use marldeal_rehearsal::library;
use marldeal_rehearsal::planner::{plan, with_server_count, Goal};
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::search::{search, Bounds};
use marldeal_rehearsal::trials::{self, difference};

fn short(name: &str, seconds: f64) -> Scenario {
    Scenario { seconds, ..library::find(name).expect("a scenario") }
}

/// 200 experiments each on noise alone and on noise with a shift of half its spread, with 30 pairs each. The
/// coverage of the interval is slightly below 95% for so few pairs (Efron and Tibshirani, ch. 14).
#[test]
fn difference_is_distinguished_from_noise() {
    let verdicts = |shift: f64, verdict: &str| {
        let count = (0..200).filter(|n| {
            let mut rng = draws::stream(*n, "noise", shift.to_bits());
            let mut noise = || draws::between(&mut rng, [-1.0, 1.0]) + draws::between(&mut rng, [-1.0, 1.0]);
            let first: Vec<f64> = (0..30).map(|_| noise()).collect();
            let second: Vec<f64> = first.iter().map(|f| f + shift + 0.5 * noise()).collect();
            difference(&first, &second).expect("pairs").verdict() == verdict
        });
        count.count()
    };
    assert!(verdicts(0.0, "cannot tell") >= 180, "{}", verdicts(0.0, "cannot tell"));
    assert!(verdicts(0.4, "better") >= 190, "{}", verdicts(0.4, "better"));
    assert!(verdicts(-0.4, "worse") >= 190, "{}", verdicts(-0.4, "worse"));
    assert!(
        difference(&[1.0; 4], &[2.0; 4]).expect("pairs").verdict().starts_with("cannot tell"),
        "four pairs must be too few for a verdict"
    );
    assert!(difference(&[], &[]).is_none());
}

/// The number found meets the goal, the next lower one does not, and the demand is the same for every number.
#[test]
fn bisection_finds_the_smallest_number_of_servers() {
    let scenario = short("near-capacity", 15.0);
    let seeds = [1, 2, 3];
    let goal = Goal { score: 0.97, nodes: [8, 16] };
    let found = plan(&scenario, &seeds, goal, |_| {}).expect("scenario runs").nodes.expect("enough servers");
    let meets_goal = |nodes| {
        let runs = trials::play(&with_server_count(&scenario, nodes), &seeds, |_| {}).expect("scenario runs");
        runs.iter().all(|f| f.score >= goal.score)
    };
    assert!((9..16).contains(&found) && meets_goal(found) && !meets_goal(found - 1), "{found}");
    let demand = |s: &Scenario| s.requests_per_s();
    assert!((demand(&with_server_count(&scenario, 15)) / demand(&scenario) - 1.0).abs() < 1e-9);
    assert_eq!(
        plan(&scenario, &seeds, Goal { score: 1.1, ..goal }, |_| {}).expect("scenario runs").nodes,
        None
    );
}

/// The scenario found has a lower score than the given one, its values are within the factor, and the same seed
/// finds it again.
#[test]
fn search_lowers_the_score_within_its_bounds() {
    let given = short("reopening-day", 30.0);
    let bounds = Bounds { generations: 3, seeds: 1, ..Bounds::default() };
    let found = search(&given, 4, bounds, |_, _| {}).expect("scenario runs");
    assert!(found.score < found.given - 0.05, "{} and {}", found.given, found.score);
    assert_eq!(search(&given, 4, bounds, |_, _| {}).expect("scenario runs"), found);
    assert!((0.4..=0.9).contains(&found.scenario.clients.load));
    for (t, original) in found.scenario.timeline.iter().zip(&given.timeline) {
        let within = |value: f64, original: f64| {
            value >= original / bounds.factor - 1e-3 && value <= original * bounds.factor + 1e-3
        };
        assert!(within(t.for_s, original.for_s) && t.what == original.what, "{t:?}");
        assert!(t.times.zip(original.times).is_none_or(|(value, original)| within(value, original)), "{t:?}");
    }
    let score = trials::play(&found.scenario, &[4], |_| {}).expect("scenario runs")[0].score;
    assert_eq!(
        score, found.score,
        "a run of the scenario found differs from the score that the search reported"
    );
}
