//! Runs of one scenario under many seeds, and comparison of two scenarios under the same seeds.

use rayon::prelude::*;
use serde::{Deserialize, Serialize};

use crate::draws;
use crate::figures::Figures;
use crate::scenario::Scenario;
use crate::world::World;
use rand::RngExt;

/// Runs a scenario under each seed, on all cores. The figures are in the order of the seeds, whatever the number of
/// threads. `on_run` is called after each run.
///
/// # Errors
/// If the scenario has faults that cannot be simulated, or settings that the limiters reject.
pub fn play(
    scenario: &Scenario,
    seeds: &[u64],
    on_run: impl Fn(&Figures) + Sync,
) -> Result<Vec<Figures>, String> {
    let run = |seed: &u64| {
        let figures = World::new(scenario, *seed)?.play(|_| {}).figures;
        on_run(&figures);
        Ok(figures)
    };
    seeds.par_iter().map(run).collect()
}

/// Distribution of a figure over many seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Minimum.
    pub least: f64,
    /// Median.
    pub median: f64,
    /// Mean.
    pub mean: f64,
    /// Maximum.
    pub most: f64,
}

/// Distribution of some values; `None` if there are none.
pub fn spread(values: &[f64]) -> Option<Spread> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (least, most) = (*sorted.first()?, *sorted.last()?);
    let median = (sorted[(sorted.len() - 1) / 2] + sorted[sorted.len() / 2]) / 2.0;
    Some(Spread { least, median, mean: sorted.iter().sum::<f64>() / sorted.len() as f64, most })
}

/// Difference between two builds or settings on the same seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Mean of the paired differences, second minus first.
    pub mean: f64,
    /// Its 95% bootstrap confidence interval (percentile method; Efron and Tibshirani, An Introduction to the
    /// Bootstrap, ch. 13).
    pub interval: [f64; 2],
    /// Number of pairs.
    pub pairs: usize,
}

impl Difference {
    /// Verdict in words: whether the second is better, assuming that higher values are.
    pub fn verdict(&self) -> &'static str {
        match self.interval {
            _ if self.pairs < 5 => "cannot tell: five seeds or more are needed",
            [low, _] if low > 0.0 => "better",
            [_, high] if high < 0.0 => "worse",
            _ => "cannot tell",
        }
    }
}

/// Number of bootstrap resamples.
const RESAMPLES: usize = 4000;

/// Paired difference of two series of values; `None` if there are no pairs.
pub fn difference(first: &[f64], second: &[f64]) -> Option<Difference> {
    let pairs: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
    let mean = spread(&pairs)?.mean;
    let mut rng = draws::stream(0, "bootstrap", pairs.len() as u64);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let pick = |_| pairs[(rng.random::<f64>() * pairs.len() as f64) as usize];
            (0..pairs.len()).map(pick).sum::<f64>() / pairs.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let interval = [means[RESAMPLES / 40], means[RESAMPLES - 1 - RESAMPLES / 40]];
    Some(Difference { mean, interval, pairs: pairs.len() })
}
