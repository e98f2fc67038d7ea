//! Waits between calls to the registry that a whole tier shares for its list of servers. When all limiters
//! start or lose their watches at once, the waits keep the registry from being busy with calls whose callers
//! have given up. `watch_controller` limits the waits to what lets the limiter be notified in time. No I/O and no
//! clock.

use std::time::Duration;

/// The assumed time that a shared registry takes for one call. A tier spreads its calls over this time per
/// limiter.
const CALL_COST_MS: f64 = 60.0;
/// A failed call shows that the registry's queue is longer than the call's time-out. Each further failure
/// doubles the time over which the tier spreads its calls, at most this many times.
const MAX_DOUBLINGS: i32 = 2;
/// Longest wait. A limiter that has not called for longer is expected to know the changes that it could have
/// fetched.
const MAX_WAIT_MS: f64 = 20_000.0;
/// Longest wait when the limiter is soon expected to know changes that it misses, as after a watch has fallen
/// silent or at a new address. Also the longest usual wait in a tier small enough for the registry to answer
/// all of it in that time.
const MAX_URGENT_WAIT_MS: f64 = 2000.0;

/// Draws the waits before calls, with jitter.
#[derive(Debug)]
pub struct RegistryBackoff {
    /// Limiters in the tier. The registry answers their calls one after another.
    limiters: u32,
    failures: i32,
    rng: fastrand::Rng,
}

impl RegistryBackoff {
    /// The state before the first call. The same seed gives the same waits.
    pub fn new(limiters: u32, seed: u64) -> RegistryBackoff {
        RegistryBackoff { limiters, failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    fn spread_ms(&self) -> f64 {
        CALL_COST_MS * f64::from(self.limiters)
    }

    /// The wait before the first call. Meanwhile the last known list is used, and the other limiters start as
    /// well.
    pub fn initial_wait(&mut self) -> Duration {
        wait(self.spread_ms().min(MAX_WAIT_MS) * self.rng.f64())
    }

    /// The wait when the limiter is soon expected to know changes that it misses.
    pub fn urgent_wait(&mut self) -> Duration {
        wait(self.spread_ms().min(MAX_URGENT_WAIT_MS) * self.rng.f64())
    }

    /// The wait after a call or a watch has ended. `received` says whether it brought a list. The wait is drawn
    /// uniformly between 0.5 and 1.5 times the base time, so that limiters that failed together do not call
    /// again together.
    pub fn next_wait(&mut self, received: bool) -> Duration {
        self.failures = if received { 0 } else { self.failures + 1 };
        let doublings = (self.failures - 1).clamp(0, MAX_DOUBLINGS);
        let max_ms =
            if self.spread_ms() <= MAX_URGENT_WAIT_MS { MAX_URGENT_WAIT_MS } else { MAX_WAIT_MS / 1.5 };
        let base_ms = (self.spread_ms() * 2f64.powi(doublings)).min(max_ms);
        wait(base_ms * (0.5 + self.rng.f64()))
    }

    /// A wait in milliseconds, at most `max_ms`. One that is longer is drawn anew between half of that and all
    /// of it, so that limiters whose waits are cut do not call together.
    pub fn limited_ms(&mut self, wait: Duration, max_ms: f64) -> f64 {
        let wait_ms = wait.as_secs_f64() * 1000.0;
        if wait_ms <= max_ms {
            return wait_ms;
        }
        max_ms * (0.5 + 0.5 * self.rng.f64())
    }

    /// The time within which a registry that all limiters of the tier call twice has answered, if it answers in
    /// the order of the calls.
    pub fn queue_ms(&self) -> f64 {
        2.0 * self.spread_ms()
    }
}

fn wait(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    const CALL_TIMEOUT_MS: f64 = 2000.0;

    /// Simulates limiters that call one registry at the same moment. It answers calls one after another,
    /// `call_ms` each, including those whose caller has given up. Returns when each limiter received its list
    /// in seconds, or nothing if it did not within a minute.
    fn simulate_registry(
        limiters: usize,
        call_ms: f64,
        mut wait: impl FnMut(usize, Option<u32>) -> f64,
    ) -> Vec<Option<f64>> {
        let (mut served, mut queue) = (vec![None; limiters], VecDeque::new());
        let mut next_calls: Vec<(f64, u32)> = (0..limiters).map(|n| (wait(n, None), 0)).collect();
        let mut free_at = 0.0f64;
        for now in (0..60_000).map(f64::from) {
            for (n, next_call) in next_calls.iter_mut().enumerate() {
                if next_call.0 <= now && served[n].is_none() {
                    queue.push_back((n, now));
                    next_call.1 += 1;
                    next_call.0 = now + CALL_TIMEOUT_MS + wait(n, Some(next_call.1));
                }
            }
            while let Some((n, queued_at)) = queue.front().copied().filter(|_| free_at <= now) {
                queue.pop_front();
                free_at = free_at.max(now) + call_ms;
                if free_at - queued_at <= CALL_TIMEOUT_MS && served[n].is_none() {
                    served[n] = Some(free_at / 1000.0);
                }
            }
        }
        served
    }

    /// Guards against a registry that stays busy with calls whose callers have given up.
    #[test]
    fn a_tier_that_starts_at_once_has_its_lists_soon() {
        for (seed, call_ms) in [(1, 40.0), (2, 60.0), (3, 80.0), (4, 100.0)] {
            let new = |n: u64| RegistryBackoff::new(100, seed * 1000 + n);
            let mut backoffs: Vec<_> = (0..100).map(new).collect();
            let served = simulate_registry(100, call_ms, |n, failures| {
                let wait = if failures.is_some() {
                    backoffs[n].next_wait(false)
                } else {
                    backoffs[n].initial_wait()
                };
                wait.as_secs_f64() * 1000.0
            });
            let within = |s: f64| served.iter().flatten().filter(|at| **at <= s).count();
            assert!(
                within(15.0) >= 50 && within(60.0) == 100,
                "{call_ms} ms a call, seed {seed}: {served:.1?}"
            );
        }
        // Without jitter: 50 ms, doubled up to a second.
        let fixed_schedule = |_, failures: Option<u32>| {
            failures.map_or(0.0, |f| (50.0 * f64::from(2u32.pow(f.min(8)))).min(1000.0))
        };
        let served = simulate_registry(100, 80.0, fixed_schedule);
        assert!(served.iter().flatten().count() < 50, "this registry is not overloaded: {served:.1?}");
    }

    #[test]
    fn waits_are_short_for_few_limiters_and_bounded_for_any_number() {
        for (limiters, max_ms) in [(3, 1080), (100_000, 20_000)] {
            let mut backoff = RegistryBackoff::new(limiters, 1);
            let longest = (0..50).map(|_| backoff.next_wait(false)).max().max(Some(backoff.initial_wait()));
            assert!(longest <= Some(Duration::from_millis(max_ms)), "{limiters}: {longest:?}");
            let urgent = (0..50).map(|_| backoff.urgent_wait()).max();
            assert!(urgent <= Some(Duration::from_millis(max_ms.min(2000))), "{limiters}: {urgent:?}");
        }
    }
}
