//! How much a service needs: the fewest nodes with which a scenario keeps a wanted service under every seed.
//!
//! The fleet's demand stays what the scenario makes it, and only the number of nodes changes. Service rises with nodes but
//! for chance, so the least number is found by bisection and then checked: the one below it must miss the goal.

use serde::{Deserialize, Serialize};

use crate::scenario::Scenario;
use crate::trials;

/// What is wanted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Goal {
    /// Least service (`whole`, `worst_10s` and `worst_plan` are each held against it with their weights: the score).
    pub score: f64,
    /// Nodes, fewest and most that are looked at.
    pub nodes: [u32; 2],
}

/// What so many nodes came to.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Tried {
    /// Nodes.
    pub nodes: u32,
    /// Least score over the seeds.
    pub least: f64,
    /// Mean score.
    pub mean: f64,
    /// No rule was broken and the goal was met under every seed.
    pub good: bool,
}

/// The plan: what was tried, by number of nodes, and the least that is good.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// In the order of their numbers.
    pub tried: Vec<Tried>,
    /// The least number that meets the goal; nothing if the most does not.
    pub nodes: Option<u32>,
}

/// The scenario with another number of nodes and the same demand. Troubles of nodes that are gone hit others instead.
pub fn with_nodes(scenario: &Scenario, nodes: u32) -> Scenario {
    let mut s = scenario.clone();
    s.clients.load = scenario.clients.load * f64::from(scenario.nodes.count) / f64::from(nodes);
    s.nodes.count = nodes;
    for trouble in &mut s.timeline {
        if let Some(list) = &mut trouble.nodes {
            list.iter_mut().for_each(|n| *n %= nodes);
            list.sort_unstable();
            list.dedup();
        }
    }
    s
}

/// Finds the least number of nodes.
///
/// # Errors
/// When the scenario cannot be played with some number of nodes: its load would be out of bounds.
pub fn plan(
    scenario: &Scenario,
    seeds: &[u64],
    goal: Goal,
    mut told: impl FnMut(Tried),
) -> Result<Plan, String> {
    let mut tried: Vec<Tried> = Vec::new();
    let mut judge = |nodes: u32| -> Result<bool, String> {
        if let Some(known) = tried.iter().find(|t| t.nodes == nodes) {
            return Ok(known.good);
        }
        let s = with_nodes(scenario, nodes);
        if let Some(wrong) = s.validation_errors().first() {
            return Err(format!("with {nodes} nodes: {wrong}"));
        }
        let scores: Vec<f64> = trials::play(&s, seeds, |_| {})?.iter().map(|f| f.score).collect();
        let spread = trials::spread(&scores).ok_or("no seeds")?;
        let this = Tried { nodes, least: spread.least, mean: spread.mean, good: spread.least >= goal.score };
        told(this);
        tried.push(this);
        Ok(this.good)
    };
    let [mut low, mut high] = goal.nodes;
    let mut found = None;
    if judge(high)? {
        // Between `low` and `high` lies the first that is good; `high` is.
        while low < high {
            let middle = low + (high - low) / 2;
            if judge(middle)? {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        found = Some(high);
    }
    tried.sort_by_key(|t| t.nodes);
    Ok(Plan { tried, nodes: found })
}
