//! Capacity planning: finds the smallest number of servers with which a scenario reaches a score under every seed.
//!
//! The demand stays as the scenario defines it; only the number of servers changes. Apart from chance, the score
//! rises with the number of servers, so the number is found by bisection. The next lower number, if it is within the
//! bounds, has been evaluated too and misses the goal.

use serde::{Deserialize, Serialize};

use crate::scenario::Scenario;
use crate::trials;

/// Goal of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Goal {
    /// Minimum score: the weighted mean of the figures `whole`, `worst_10s` and `worst_plan`, less deductions.
    pub score: f64,
    /// Smallest and largest number of servers to consider.
    pub nodes: [u32; 2],
}

/// Result for one number of servers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Evaluation {
    /// Number of servers.
    pub nodes: u32,
    /// Lowest score over the seeds.
    pub least: f64,
    /// Mean score over the seeds.
    pub mean: f64,
    /// Whether the goal was met under every seed. A run that violates a rule has score 0.
    pub good: bool,
}

/// Result of planning.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Results for the numbers of servers that were evaluated, in ascending order.
    pub tried: Vec<Evaluation>,
    /// The smallest number of servers that meets the goal; `None` if the largest considered does not.
    pub nodes: Option<u32>,
}

/// Returns the scenario with another number of servers and the same demand. Faults of servers that no longer exist
/// affect others instead.
pub fn with_server_count(scenario: &Scenario, count: u32) -> Scenario {
    let mut s = scenario.clone();
    s.clients.load = scenario.clients.load * f64::from(scenario.nodes.count) / f64::from(count);
    s.nodes.count = count;
    for fault in &mut s.timeline {
        if let Some(list) = &mut fault.nodes {
            list.iter_mut().for_each(|n| *n %= count);
            list.sort_unstable();
            list.dedup();
        }
    }
    s
}

/// Finds the smallest number of servers that meets the goal. `on_result` is called for each number that is evaluated.
///
/// # Errors
/// If the scenario is invalid with one of the numbers of servers, since its load is out of range, or cannot run.
pub fn plan(
    scenario: &Scenario,
    seeds: &[u64],
    goal: Goal,
    mut on_result: impl FnMut(Evaluation),
) -> Result<Plan, String> {
    let mut tried: Vec<Evaluation> = Vec::new();
    let mut evaluate = |nodes: u32| -> Result<bool, String> {
        if let Some(known) = tried.iter().find(|t| t.nodes == nodes) {
            return Ok(known.good);
        }
        let s = with_server_count(scenario, nodes);
        if let Some(error) = s.validation_errors().first() {
            return Err(format!("with {nodes} servers: {error}"));
        }
        let scores: Vec<f64> = trials::play(&s, seeds, |_| {})?.iter().map(|f| f.score).collect();
        let spread = trials::spread(&scores).ok_or("no seeds given")?;
        let result =
            Evaluation { nodes, least: spread.least, mean: spread.mean, good: spread.least >= goal.score };
        on_result(result);
        tried.push(result);
        Ok(result.good)
    };
    let [mut low, mut high] = goal.nodes;
    let mut smallest = None;
    if evaluate(high)? {
        // `high` meets the goal; the smallest number that does lies between `low` and `high`.
        while low < high {
            let middle = low + (high - low) / 2;
            if evaluate(middle)? {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        smallest = Some(high);
    }
    tried.sort_by_key(|t| t.nodes);
    Ok(Plan { tried, nodes: smallest })
}
