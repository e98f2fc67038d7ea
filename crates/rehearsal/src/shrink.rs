//! Reduces a scenario that violates a rule to a minimal one that still violates it.

use crate::rules::Rule;
use crate::scenario::Scenario;
use crate::world::World;

/// A reduced scenario, and the number of runs that it took.
#[derive(Debug, Clone, PartialEq)]
pub struct Shrunk {
    /// The reduced scenario.
    pub scenario: Scenario,
    /// Number of runs.
    pub runs: u32,
}

/// Time that a scenario continues after the violation, in seconds.
const TAIL_S: f64 = 1.0;

/// Removes entries of the timeline, time, limiters, servers, classes and plans while the same rule is violated under
/// the same seed, in at most `max_runs` runs. Returns the scenario unchanged if it does not violate the rule.
pub fn shrink(scenario: &Scenario, seed: u64, rule: Rule, max_runs: u32) -> Shrunk {
    let mut runs = 0;
    let mut best = scenario.clone();
    // Each pass tries every step once. Repeated, since one reduction may make another possible.
    loop {
        let before = best.clone();
        for step in 0.. {
            let Some(new) = reduce(&best, step) else { break };
            if runs >= max_runs {
                return Shrunk { scenario: best, runs };
            }
            let Some(new) = new.filter(|s| *s != best && s.validation_errors().is_empty()) else { continue };
            runs += 1;
            if let Some(at_s) = first_violation(&new, seed, rule) {
                best = new;
                best.seconds = best.seconds.min((at_s + TAIL_S).max(2.0));
            }
        }
        if best == before {
            return Shrunk { scenario: best, runs };
        }
    }
}

/// Time of the first violation of the rule, in seconds; `None` if the run does not violate it.
pub fn first_violation(scenario: &Scenario, seed: u64, rule: Rule) -> Option<f64> {
    let run = World::new(scenario, seed).ok()?.play(|_| {});
    run.figures.broken.iter().find(|b| b.rule == rule).map(|b| b.at_s)
}

/// Applies one step of the reduction. Returns `None` if there are no more steps, and `Some(None)` if this step does
/// not apply to the scenario.
fn reduce(scenario: &Scenario, step: usize) -> Option<Option<Scenario>> {
    let mut s = scenario.clone();
    let faults = s.timeline.len();
    if step < faults {
        // The last entries are removed first, since those after the violation cannot have caused it.
        s.timeline.remove(faults - 1 - step);
        return Some(Some(s));
    }
    match step - faults {
        0 => s.nodes.count = (s.nodes.count / 2).max(1),
        1 => s.nodes.count = (s.nodes.count - 1).max(1),
        2 => s.limiters.count = (s.limiters.count / 2).max(1),
        3 => s.limiters.count = (s.limiters.count - 1).max(1),
        4 => s.clients.load /= 2.0,
        5 => (s.buildings, s.regions) = (1, 1),
        6 => s.seconds = (s.seconds / 2.0).max(2.0),
        7 => s.clients.retries = 0,
        8 => (s.clients.greedy, s.clients.flash) = (0.0, 0.0),
        9 => s.net.mail_loss = 0.0,
        10 if s.classes.len() > 1 => drop(s.classes.pop()),
        11 if s.classes.len() > 1 => drop(s.classes.remove(0)),
        12 if s.plans.len() > 1 => drop(s.plans.pop()),
        13 if s.plans.len() > 1 => drop(s.plans.remove(0)),
        10..=13 => return Some(None),
        _ => return None,
    }
    Some(Some(s))
}
