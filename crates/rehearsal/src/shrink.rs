//! The shortest scenario that still breaks a rule, found by taking things away.

use crate::rules::Rule;
use crate::scenario::Scenario;
use crate::world::World;

/// A scenario that breaks a rule, and how many runs it took to find.
#[derive(Debug, Clone, PartialEq)]
pub struct Shrunk {
    /// The scenario.
    pub scenario: Scenario,
    /// Runs that were played.
    pub runs: u32,
}

/// Seconds that are left after the moment of the break.
const TAIL_S: f64 = 1.0;

/// Takes entries of the timeline, time, limiters, nodes, classes and plans away for as long as the same rule breaks under
/// the same seed, with `most` runs at most. The scenario comes back as it is if it does not break the rule.
pub fn shrink(scenario: &Scenario, seed: u64, rule: Rule, most: u32) -> Shrunk {
    let mut runs = 0;
    let mut best = scenario.clone();
    // Each pass tries everything once; what was kept by one may let another be taken away.
    loop {
        let before = best.clone();
        for step in 0.. {
            let Some(next) = smaller(&best, step) else { break };
            if runs >= most {
                return Shrunk { scenario: best, runs };
            }
            let Some(next) = next.filter(|s| *s != best && s.validation_errors().is_empty()) else {
                continue;
            };
            runs += 1;
            if let Some(at_s) = breaks(&next, seed, rule) {
                best = next;
                best.seconds = best.seconds.min((at_s + TAIL_S).max(2.0));
            }
        }
        if best == before {
            return Shrunk { scenario: best, runs };
        }
    }
}

/// When the rule is broken first, in seconds.
pub fn breaks(scenario: &Scenario, seed: u64, rule: Rule) -> Option<f64> {
    let run = World::new(scenario, seed).ok()?.play(|_| {});
    run.figures.broken.iter().find(|b| b.rule == rule).map(|b| b.at_s)
}

/// The scenario with one thing less. Nothing when there are no more steps; an inner nothing when this one has no use.
fn smaller(of: &Scenario, step: usize) -> Option<Option<Scenario>> {
    let mut s = of.clone();
    let troubles = s.timeline.len();
    if step < troubles {
        // From the last on: what came after the break goes first.
        s.timeline.remove(troubles - 1 - step);
        return Some(Some(s));
    }
    match step - troubles {
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
