//! A registry that a whole tier calls at once: it answers calls one after another, also those whose caller has
//! given up. The calls that a limiter makes so as to be notified in time must not keep the registry busy for
//! ever.

use std::collections::VecDeque;

use marldeal::upstream::registry_backoff::RegistryBackoff;
use marldeal::upstream::watch_controller::{CallId, Millis, StartReason, Step, WatchController, WatchSource};

/// A registry with one queue.
struct Registry {
    call_ms: Millis,
    /// A call that would wait for longer is turned away at once.
    longest_queue_ms: Millis,
    free_at: Millis,
}

/// When each limiter has its list, sorted, in milliseconds.
fn notified_at(limiters: u32, mut registry: Registry, silent: bool, seed: u64) -> Vec<Millis> {
    let mut controllers: Vec<WatchController> = (0..limiters)
        .map(|n| {
            let backoff = RegistryBackoff::new(limiters, seed * 10_000 + u64::from(n));
            let reason = if silent { StartReason::NoList } else { StartReason::KnownList };
            let mut controller = WatchController::new(WatchSource::Registry(backoff), 0.0, reason);
            if silent {
                // A watch that is open and tells nothing from here on.
                assert_eq!(controller.step(0.0), Some(Step::Begin(1)));
                assert!(controller.answered(0.0, 1));
                controller.message_received(0.0, true);
            }
            controller
        })
        .collect();
    let mut answers: VecDeque<(Millis, usize, CallId)> = VecDeque::new();
    let mut notified: Vec<Option<Millis>> = vec![None; controllers.len()];
    for now in (0..120_000).map(f64::from) {
        for (n, controller) in controllers.iter_mut().enumerate().filter(|(n, _)| notified[*n].is_none()) {
            while let Some(step) = controller.step(now) {
                let Step::Begin(call) = step else { continue };
                if registry.free_at - now > registry.longest_queue_ms {
                    controller.ended(now, call);
                    continue;
                }
                registry.free_at = registry.free_at.max(now) + registry.call_ms;
                answers.push_back((registry.free_at, n, call));
            }
        }
        while let Some((_, n, call)) = answers.front().copied().filter(|(at, ..)| *at <= now) {
            answers.pop_front();
            if notified[n].is_none() && controllers[n].answered(now, call) {
                notified[n] = Some(now);
            }
        }
    }
    let mut all: Vec<Millis> = notified.into_iter().map(|at| at.unwrap_or(f64::INFINITY)).collect();
    all.sort_by(f64::total_cmp);
    all
}

/// The shortest time in which the registry can tell all limiters, and twice that and the silence of the watches.
fn bound_ms(limiters: u32, call_ms: Millis) -> Millis {
    2.0 * call_ms * f64::from(limiters) + 6000.0
}

#[test]
fn a_crowded_registry_tells_all_limiters_soon() {
    let mut late = Vec::new();
    for (limiters, call_ms) in [(12, 60.0), (30, 60.0), (100, 60.0), (100, 100.0), (300, 60.0)] {
        for silent in [true, false] {
            for longest_queue_ms in [f64::INFINITY, 2000.0] {
                for seed in 0..2 {
                    let registry = Registry { call_ms, longest_queue_ms, free_at: 0.0 };
                    let at = notified_at(limiters, registry, silent, seed);
                    let (half, last) = (at[at.len() / 2], at[at.len() - 1]);
                    let what = format!(
                        "{limiters} limiters, {call_ms} ms a call, silent {silent}, queue of {longest_queue_ms} ms, seed {seed}: \
                         half at {half:.0} ms, all at {last:.0} ms"
                    );
                    println!("{what}");
                    late.extend((last > bound_ms(limiters, call_ms)).then_some(what));
                }
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}
