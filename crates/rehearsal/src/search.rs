//! Which parameters of a scenario hurt most, within a stated factor of what it says.
//!
//! A seeded (1 + λ) evolution strategy: each generation draws `CHILDREN` changes of the worst scenario so far, plays them
//! side by side on the same seeds, and goes on from the worst. A broken rule ends the search: nothing is worse.

use rand::RngExt;
use rayon::prelude::*;

use crate::draws::{self, Stream};
use crate::scenario::{Scenario, Trouble};
use crate::trials;

/// What is searched.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Loads, least and most.
    pub load: [f64; 2],
    /// No other figure goes beyond this many times what the scenario says, or below as small a part of it.
    pub factor: f64,
    /// Generations.
    pub generations: u32,
    /// Seeds on which each candidate is played.
    pub seeds: u32,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { load: [0.4, 0.9], factor: 2.0, generations: 8, seeds: 2 }
    }
}

/// What was found.
#[derive(Debug, Clone, PartialEq)]
pub struct Found {
    /// The scenario that hurts most.
    pub scenario: Scenario,
    /// Its mean score.
    pub score: f64,
    /// The score of the scenario that was given.
    pub given: f64,
    /// A rule was broken.
    pub broken: bool,
    /// Candidates played.
    pub candidates: u32,
}

/// Candidates a generation.
const CHILDREN: u64 = 8;

/// Searches; `told` hears of each generation and its worst score.
///
/// # Errors
/// When the scenario itself cannot be played.
pub fn search(
    given: &Scenario,
    seed: u64,
    bounds: Bounds,
    mut told: impl FnMut(u32, f64),
) -> Result<Found, String> {
    let seeds: Vec<u64> = (0..u64::from(bounds.seeds.max(1))).map(|n| seed + n).collect();
    let judge = |s: &Scenario| -> Result<(f64, bool), String> {
        let runs = trials::play(s, &seeds, |_| {})?;
        let mean = runs.iter().map(|r| r.score).sum::<f64>() / runs.len() as f64;
        Ok((mean, runs.iter().any(|r| r.broken_count > 0)))
    };
    let (score, broken) = judge(given)?;
    let mut found = Found { scenario: given.clone(), score, given: score, broken, candidates: 1 };
    for generation in 0..bounds.generations {
        if found.broken {
            break;
        }
        let child = |n| {
            let mut rng = draws::stream(seed, "search", u64::from(generation) * CHILDREN + n);
            changed(&mut rng, given, &found.scenario, bounds)
        };
        let children: Vec<Scenario> =
            (0..CHILDREN).map(child).filter(|c| c.validation_errors().is_empty()).collect();
        let judged: Vec<(f64, bool)> = children.par_iter().map(judge).collect::<Result<_, _>>()?;
        found.candidates += children.len() as u32;
        for (child, (score, broken)) in children.into_iter().zip(judged) {
            if score < found.score {
                (found.scenario, found.score, found.broken) = (child, score, broken);
            }
        }
        told(generation + 1, found.score);
    }
    Ok(found)
}

/// A figure moved by up to a third, within its bounds.
fn moved(rng: &mut Stream, value: f64, [low, high]: [f64; 2]) -> f64 {
    (value * draws::between(rng, [0.67, 1.5])).clamp(low.min(high), high)
}

fn changed(rng: &mut Stream, given: &Scenario, from: &Scenario, bounds: Bounds) -> Scenario {
    let round = |value: f64| (value * 1000.0).round() / 1000.0;
    let within = |of: f64| [of / bounds.factor, of * bounds.factor];
    let mut s = from.clone();
    if draws::chance(rng, 0.5) {
        s.clients.load = round(moved(rng, s.clients.load, bounds.load));
    }
    if draws::chance(rng, 0.3) {
        s.net.mail_loss = round(moved(rng, s.net.mail_loss, within(given.net.mail_loss)).min(1.0));
    }
    if draws::chance(rng, 0.3) {
        let times = moved(rng, s.clients.greedy_times, within(given.clients.greedy_times));
        s.clients.greedy_times = round(times.max(1.0));
    }
    let seconds = s.seconds;
    for (t, was) in s.timeline.iter_mut().zip(&given.timeline) {
        if draws::chance(rng, 0.5) {
            t.at_s = round(rng.random::<f64>() * (seconds - 1.0).max(0.0));
        }
        let change = |rng: &mut Stream, now: &mut f64, was: f64| {
            if draws::chance(rng, 0.4) {
                *now = round(moved(rng, *now, within(was)));
            }
        };
        change(rng, &mut t.for_s, was.for_s);
        let figures: [fn(&mut Trouble) -> &mut Option<f64>; 6] = [
            |t| &mut t.times,
            |t| &mut t.share,
            |t| &mut t.per_s,
            |t| &mut t.every_s,
            |t| &mut t.length_s,
            |t| &mut t.down_s,
        ];
        for figure in figures {
            let was = *figure(&mut was.clone());
            if let (Some(now), Some(was)) = (figure(t).as_mut(), was) {
                change(rng, now, was);
            }
        }
    }
    s
}
