//! When a registry that all share is asked for the list of servers, so that a whole tier that starts, or loses its watches, at one moment does not
//! keep its registry busy with calls that nobody waits for any more. No I/O and no clock.

use std::time::Duration;

/// A shared registry's time for a call, as this limiter guesses it: a tier spreads its calls over so much for each member.
const CALL_MS: f64 = 60.0;
/// A failed call says that the registry's line is longer than it waits for; each further one doubles the time over which
/// the tier spreads its calls, so many times at most.
const DOUBLINGS: i32 = 2;
/// Longest wait: a limiter that has not asked for longer counts as told what it has not heard.
const MOST_MS: f64 = 20_000.0;
/// Longest wait where something is missed that counts as told soon: after a watch has fallen silent, or at a new place; and
/// the longest usual one of a tier that the registry can answer within as much.
const URGENT_MS: f64 = 2000.0;

/// Waits before calls, with their jitter.
#[derive(Debug)]
pub struct Asking {
    /// Limiters in the tier: each call costs the registry work, and it takes them in turn.
    limiters: u32,
    failures: i32,
    rng: fastrand::Rng,
}

impl Asking {
    /// Nothing asked yet. The same seed gives the same waits.
    pub fn new(limiters: u32, seed: u64) -> Asking {
        Asking { limiters, failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    fn spread_ms(&self) -> f64 {
        CALL_MS * f64::from(self.limiters)
    }

    /// How long to wait before the first call: the list that was known last serves meanwhile, and others start too.
    pub fn first(&mut self) -> Duration {
        wait(self.spread_ms().min(MOST_MS) * self.rng.f64())
    }

    /// How long to wait where something is missed that counts as told soon.
    pub fn urgent(&mut self) -> Duration {
        wait(self.spread_ms().min(URGENT_MS) * self.rng.f64())
    }

    /// How long to wait after a call or a watch has ended; `told` if it had told anything. Between half of the time and
    /// one and a half times it, evenly: limiters that failed together do not come back together.
    pub fn again(&mut self, told: bool) -> Duration {
        self.failures = if told { 0 } else { self.failures + 1 };
        let doublings = (self.failures - 1).clamp(0, DOUBLINGS);
        let most_ms = if self.spread_ms() <= URGENT_MS { URGENT_MS } else { MOST_MS / 1.5 };
        let usual = (self.spread_ms() * 2f64.powi(doublings)).min(most_ms);
        wait(usual * (0.5 + self.rng.f64()))
    }
}

fn wait(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    const TIME_OUT_MS: f64 = 2000.0;

    /// A hundred limiters ask one registry at the same moment. It takes calls in turn, `call_ms` each, and works on those
    /// whose caller has given up too. When each had its list, in seconds; nothing if it had none within a minute.
    fn tier(
        limiters: usize,
        call_ms: f64,
        mut wait: impl FnMut(usize, Option<u32>) -> f64,
    ) -> Vec<Option<f64>> {
        let (mut served, mut line) = (vec![None; limiters], VecDeque::new());
        let mut asks: Vec<(f64, u32)> = (0..limiters).map(|n| (wait(n, None), 0)).collect();
        let mut free_at = 0.0f64;
        for now in (0..60_000).map(f64::from) {
            for (n, ask) in asks.iter_mut().enumerate() {
                if ask.0 <= now && served[n].is_none() {
                    line.push_back((n, now));
                    ask.1 += 1;
                    ask.0 = now + TIME_OUT_MS + wait(n, Some(ask.1));
                }
            }
            while let Some((n, came)) = line.front().copied().filter(|_| free_at <= now) {
                line.pop_front();
                free_at = free_at.max(now) + call_ms;
                if free_at - came <= TIME_OUT_MS && served[n].is_none() {
                    served[n] = Some(free_at / 1000.0);
                }
            }
        }
        served
    }

    /// Guards against a registry that is kept busy for good with calls that nobody waits for any more.
    #[test]
    fn a_whole_tier_has_its_list_soon_after_it_starts_at_once() {
        for (seed, call_ms) in [(1, 40.0), (2, 60.0), (3, 80.0), (4, 100.0)] {
            let new = |n: u64| Asking::new(100, seed * 1000 + n);
            let mut all: Vec<_> = (0..100).map(new).collect();
            let served = tier(100, call_ms, |n, failures| {
                let wait = if failures.is_some() { all[n].again(false) } else { all[n].first() };
                wait.as_secs_f64() * 1000.0
            });
            let within = |s: f64| served.iter().flatten().filter(|at| **at <= s).count();
            assert!(
                within(15.0) >= 50 && within(60.0) == 100,
                "{call_ms} ms a call, seed {seed}: {served:.1?}"
            );
        }
        // On one schedule: 50 ms, doubled up to a second.
        let in_step = |_, failures: Option<u32>| {
            failures.map_or(0.0, |f| (50.0 * f64::from(2u32.pow(f.min(8)))).min(1000.0))
        };
        let served = tier(100, 80.0, in_step);
        assert!(served.iter().flatten().count() < 50, "this registry is not hard to ask: {served:.1?}");
    }

    #[test]
    fn waits_are_short_for_few_and_bounded_for_any() {
        for (limiters, most_ms) in [(3, 1080), (100_000, 20_000)] {
            let mut asking = Asking::new(limiters, 1);
            let longest = (0..50).map(|_| asking.again(false)).max().max(Some(asking.first()));
            assert!(longest <= Some(Duration::from_millis(most_ms)), "{limiters}: {longest:?}");
            let urgent = (0..50).map(|_| asking.urgent()).max();
            assert!(urgent <= Some(Duration::from_millis(most_ms.min(2000))), "{limiters}: {urgent:?}");
        }
    }
}
