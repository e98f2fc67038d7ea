//! Searches for the parameters that lower the score of a scenario most, within a given factor of its values.
//!
//! The search is a seeded (1 + λ) evolution strategy. Each generation draws `CHILDREN` variants of the worst
//! scenario so far, runs them in parallel on the same seeds, and continues from the one with the lowest score. A
//! violated rule ends the search, since no score is lower.

use rand::RngExt;
use rayon::prelude::*;

use crate::draws::{self, Stream};
use crate::scenario::{Scenario, Trouble};
use crate::trials;

/// Bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Minimum and maximum load.
    pub load: [f64; 2],
    /// Other values stay between the scenario's value divided by this factor and multiplied by it. Only the start of
    /// a fault may be anywhere in the run.
    pub factor: f64,
    /// Number of generations.
    pub generations: u32,
    /// Number of seeds on which each candidate runs.
    pub seeds: u32,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { load: [0.4, 0.9], factor: 2.0, generations: 8, seeds: 2 }
    }
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq)]
pub struct Found {
    /// The scenario with the lowest score.
    pub scenario: Scenario,
    /// Its mean score.
    pub score: f64,
    /// Mean score of the original scenario.
    pub given: f64,
    /// Whether the scenario violates a rule.
    pub broken: bool,
    /// Number of candidates that ran.
    pub candidates: u32,
}

/// Candidates per generation.
const CHILDREN: u64 = 8;

/// Runs the search. `on_generation` is called with the number of each generation and the lowest score so far.
///
/// # Errors
/// If a scenario cannot run: it has faults that cannot be simulated, or settings that the limiters reject.
pub fn search(
    given: &Scenario,
    seed: u64,
    bounds: Bounds,
    mut on_generation: impl FnMut(u32, f64),
) -> Result<Found, String> {
    let seeds: Vec<u64> = (0..u64::from(bounds.seeds.max(1))).map(|n| seed + n).collect();
    let evaluate = |s: &Scenario| -> Result<(f64, bool), String> {
        let runs = trials::play(s, &seeds, |_| {})?;
        let mean = runs.iter().map(|r| r.score).sum::<f64>() / runs.len() as f64;
        Ok((mean, runs.iter().any(|r| r.broken_count > 0)))
    };
    let (score, broken) = evaluate(given)?;
    let mut found = Found { scenario: given.clone(), score, given: score, broken, candidates: 1 };
    for generation in 0..bounds.generations {
        if found.broken {
            break;
        }
        let child = |n| {
            let mut rng = draws::stream(seed, "search", u64::from(generation) * CHILDREN + n);
            mutate(&mut rng, given, &found.scenario, bounds)
        };
        let children: Vec<Scenario> =
            (0..CHILDREN).map(child).filter(|c| c.validation_errors().is_empty()).collect();
        let results: Vec<(f64, bool)> = children.par_iter().map(evaluate).collect::<Result<_, _>>()?;
        found.candidates += children.len() as u32;
        for (child, (score, broken)) in children.into_iter().zip(results) {
            if score < found.score {
                (found.scenario, found.score, found.broken) = (child, score, broken);
            }
        }
        on_generation(generation + 1, found.score);
    }
    Ok(found)
}

/// Multiplies a value by a random factor from 0.67 to 1.5, within its bounds.
fn perturb(rng: &mut Stream, value: f64, [low, high]: [f64; 2]) -> f64 {
    (value * draws::between(rng, [0.67, 1.5])).clamp(low.min(high), high)
}

/// Returns a variant of `from` whose values stay within the bounds around those of `given`.
fn mutate(rng: &mut Stream, given: &Scenario, from: &Scenario, bounds: Bounds) -> Scenario {
    let round = |value: f64| (value * 1000.0).round() / 1000.0;
    let range = |value: f64| [value / bounds.factor, value * bounds.factor];
    let mut s = from.clone();
    if draws::chance(rng, 0.5) {
        s.clients.load = round(perturb(rng, s.clients.load, bounds.load));
    }
    if draws::chance(rng, 0.3) {
        s.net.mail_loss = round(perturb(rng, s.net.mail_loss, range(given.net.mail_loss)).min(1.0));
    }
    if draws::chance(rng, 0.3) {
        let factor = perturb(rng, s.clients.greedy_times, range(given.clients.greedy_times));
        s.clients.greedy_times = round(factor.max(1.0));
    }
    let seconds = s.seconds;
    for (t, original) in s.timeline.iter_mut().zip(&given.timeline) {
        if draws::chance(rng, 0.5) {
            t.at_s = round(rng.random::<f64>() * (seconds - 1.0).max(0.0));
        }
        let change = |rng: &mut Stream, current: &mut f64, original: f64| {
            if draws::chance(rng, 0.4) {
                *current = round(perturb(rng, *current, range(original)));
            }
        };
        change(rng, &mut t.for_s, original.for_s);
        let values: [fn(&mut Trouble) -> &mut Option<f64>; 6] = [
            |t| &mut t.times,
            |t| &mut t.share,
            |t| &mut t.per_s,
            |t| &mut t.every_s,
            |t| &mut t.length_s,
            |t| &mut t.down_s,
        ];
        for value in values {
            let original = *value(&mut original.clone());
            if let (Some(current), Some(original)) = (value(t).as_mut(), original) {
                change(rng, current, original);
            }
        }
    }
    s
}
