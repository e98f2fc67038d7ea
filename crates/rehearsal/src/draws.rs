//! Random numbers. A run has one seed and an independent stream per purpose, so that a change to one part of a
//! scenario leaves the draws of the other parts as they are (common random numbers, which make two runs comparable).

use fawnhill::Millis;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// A stream of random numbers, the same on every machine. Samples of distributions use the platform's logarithms.
pub type Stream = Pcg64Mcg;

/// Returns the stream of a purpose, which `what` names; `index` distinguishes several streams of the same purpose.
pub fn stream(seed: u64, what: &str, index: u64) -> Stream {
    // FNV-1a, written out because the stream of a name must not change with a library version.
    let name = what
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let mut seeder =
        Stream::seed_from_u64(seed ^ name.rotate_left(17) ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Stream::seed_from_u64(seeder.next_u64())
}

/// Draws a number between `low` and `high`, uniformly.
pub fn between(rng: &mut Stream, [low, high]: [f64; 2]) -> f64 {
    low + (high - low) * rng.random::<f64>()
}

/// Returns true with a probability of `share`.
pub fn chance(rng: &mut Stream, share: f64) -> bool {
    share > 0.0 && rng.random::<f64>() < share
}

/// Draws the time to the next event of a Poisson process with a rate per millisecond.
pub fn gap(rng: &mut Stream, per_ms: f64) -> Millis {
    let unit: f64 = Exp1.sample(rng);
    unit / per_ms
}

/// Distribution of the work of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Law {
    /// Always the mean.
    Fixed,
    /// Exponential: coefficient of variation 1.
    Exponential,
    /// Log-normal with coefficient of variation 0.6.
    Lognormal,
}

/// Shape parameter of the log-normal distribution with a coefficient of variation of 0.6.
const SIGMA: f64 = 0.554_513;

/// Draws the work of a request from a distribution with the given mean.
pub fn work(rng: &mut Stream, law: Law, mean: Millis) -> Millis {
    match law {
        Law::Fixed => mean,
        Law::Exponential => {
            let unit: f64 = Exp1.sample(rng);
            unit * mean
        }
        Law::Lognormal => {
            let law = LogNormal::new(-SIGMA * SIGMA / 2.0, SIGMA);
            law.map_or(mean, |law| law.sample(rng) * mean)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_are_distinct_and_reproducible() {
        let first = |what, index| stream(5, what, index).next_u64();
        assert_eq!(first("firm", 1), first("firm", 1));
        assert_ne!(first("firm", 1), first("firm", 2));
        assert_ne!(first("firm", 1), first("mail", 1));
        // If this number changes, all committed figures change.
        assert_eq!(first("firm", 0), 15_086_751_269_642_564_011);
    }

    #[test]
    fn distributions_keep_their_mean_and_variation() {
        for (law, variation) in [(Law::Fixed, 0.0), (Law::Exponential, 1.0), (Law::Lognormal, 0.6)] {
            let mut rng = stream(1, "law", 0);
            let drawn: Vec<f64> = (0..200_000).map(|_| work(&mut rng, law, 250.0)).collect();
            let mean = drawn.iter().sum::<f64>() / drawn.len() as f64;
            let spread = (drawn.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / drawn.len() as f64).sqrt();
            assert!((mean / 250.0 - 1.0).abs() < 0.01, "{law:?}: mean {mean}");
            assert!((spread / mean - variation).abs() < 0.02, "{law:?}: variation {}", spread / mean);
        }
    }
}
