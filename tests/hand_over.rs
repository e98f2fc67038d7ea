//! Two processes of one limiter, of which one hands its accounts over to the other while both still receive requests.

mod common;
use common::*;
use fawnhill::*;

/// The bound of [`WITH_CEILING`] and of [`RATE_LIMITED`]: units at once, units a second, and slack.
const CEILING: (f64, f64, f64) = (60.0, 12.0, 3.0);
const QUOTA: (f64, f64, f64) = (12.0, 6.0, 0.0);

/// Units beyond the bound that show the fault.
const MIN_EXCESS: f64 = 5.0;

/// How the old process writes its last snapshot.
#[derive(Clone, Copy, PartialEq)]
enum Export {
    /// It hands its accounts over.
    Retires,
    /// It goes on granting from its accounts: the fault that these tests are to find.
    GoesOn,
}

/// Two processes of one limiter, and the link between them.
struct Upgrade {
    old: SimulatedLimiter,
    new: SimulatedLimiter,
    link_is_up: bool,
}

impl Upgrade {
    /// An old process whose accounts are full, and a new one that waits for them.
    fn new() -> Upgrade {
        let settings = Settings { limiters: 1, ..settings(0) };
        let (old, new) = (SimulatedLimiter::new(settings.clone(), 3), SimulatedLimiter::new(settings, 3));
        let mut upgrade = Upgrade { old, new, link_is_up: true };
        upgrade.advance(8000.0);
        upgrade
    }

    fn hand_over(&mut self, export: Export) {
        let now = self.old.now;
        let state = match export {
            Export::Retires => self.old.inner.retire(now),
            Export::GoesOn => self.old.inner.export_state(now),
        };
        self.new.inner.import_state(now, &state, true);
    }

    /// Delivers the old process's messages over the link, and the replies. Returns its other actions.
    fn exchange(&mut self, actions: Vec<Action>) -> Vec<Action> {
        let mut rest = Vec::new();
        for action in actions {
            match action {
                Action::SendHandoverMessage { body } if self.link_is_up => {
                    for reply in self.new.handle(Event::HandoverMessage { body }) {
                        let Action::SendHandoverMessage { body } = reply else { panic!("{reply:?}") };
                        let actions = self.old.handle(Event::HandoverMessage { body });
                        rest.extend(self.exchange(actions));
                    }
                }
                Action::SendHandoverMessage { .. } => {}
                other => rest.push(other),
            }
        }
        rest
    }

    fn advance(&mut self, ms: Millis) -> Vec<Action> {
        let actions = self.old.advance(ms);
        let mut all = self.exchange(actions);
        all.extend(self.new.advance(ms));
        all
    }

    /// Submits a request to the old process and returns the actions that follow.
    fn submit_to_old(&mut self, request: Request) -> Vec<Action> {
        let actions = self.old.submit(request);
        self.exchange(actions)
    }

    /// Submits a request to either process, and ends its attempt. Returns whether it was sent.
    fn serve(&mut self, to_old: bool, request: Request) -> bool {
        let id = request.id;
        let actions = match to_old {
            true => self.submit_to_old(request),
            false => self.new.submit(request),
        };
        let sent = !sent_to(&actions).is_empty();
        if sent && to_old {
            let actions = self.old.end_attempt(id, 0, Outcome::Ok, 5.0);
            self.exchange(actions);
        } else if sent {
            self.new.end_attempt(id, 0, Outcome::Ok, 5.0);
        }
        sent
    }
}

/// Sends far more than is allowed to both processes around a hand-over. Returns how far the units that were admitted
/// pass the bound, at worst.
fn worst_excess(seed: u64, plan: usize, (burst, rate, slack): (f64, f64, f64), export: Export) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut upgrade = Upgrade::new();
    let hand_over_at = rng.usize(0..120);
    let (mut left, mut worst) = (burst, f64::NEG_INFINITY);
    for n in 0..400 {
        if n == hand_over_at {
            upgrade.hand_over(export);
        }
        upgrade.link_is_up = rng.f64() < 0.8;
        let to_old = n < hand_over_at || rng.bool();
        if upgrade.serve(to_old, request(n as u32 + if to_old { 0 } else { 1 << 20 }, SAFE, plan)) {
            left -= 1.0;
        }
        worst = f64::max(worst, -left - slack);
        let ms = rng.f64() * 12.0;
        upgrade.advance(ms);
        left = (left + rate * ms / 1000.0).min(burst);
    }
    worst
}

/// Guards against two processes that grant from the same accounts: together they admit no more than one limiter may.
#[test]
fn both_processes_together_keep_quota_and_ceiling() {
    for seed in 0..40 {
        for (plan, bound) in [(WITH_CEILING, CEILING), (RATE_LIMITED, QUOTA)] {
            let excess = worst_excess(seed, plan, bound, Export::Retires);
            assert!(excess <= 1e-6, "{excess} units beyond the bound of plan {plan}, seed {seed}");
        }
    }
}

/// The check above finds an old process that goes on granting.
#[test]
fn an_old_process_that_goes_on_granting_is_found() {
    for (plan, bound) in [(WITH_CEILING, CEILING), (RATE_LIMITED, QUOTA)] {
        let excess = (0..40).map(|seed| worst_excess(seed, plan, bound, Export::GoesOn)).fold(0.0, f64::max);
        assert!(excess > MIN_EXCESS, "plan {plan}: {excess}");
    }
}

/// Guards against an old process that refuses everything: within quota and ceiling its successor grants what it asks
/// for, and units that it does not use return.
#[test]
fn requests_of_the_old_process_are_granted_by_its_successor() {
    let mut upgrade = Upgrade::new();
    upgrade.hand_over(Export::Retires);
    // Their clients leave before a server accepts the requests.
    let all = |condition| (0..3).map(|n| ServerEntry { condition, ..server_entry(n) }).collect();
    upgrade.old.update_servers(true, all(Condition::Draining));
    for id in 0..5 {
        assert!(sent_to(&upgrade.submit_to_old(request(id, SAFE, RATE_LIMITED))).is_empty());
        let actions = upgrade.old.handle(Event::ClientDisconnected { id });
        upgrade.exchange(actions);
    }
    upgrade.old.update_servers(true, all(Condition::Serving));
    for n in 0..12 {
        let sent = sent_to(&upgrade.submit_to_old(request(1000 + n, SAFE, RATE_LIMITED)));
        assert_eq!(sent.len(), 1, "request {n} of a burst of 12");
    }
    assert!(upgrade
        .submit_to_old(request(2000, SAFE, RATE_LIMITED))
        .iter()
        .any(|a| matches!(a, Action::Refuse { .. })));
}

/// A limit on concurrent requests counts those of both processes, and each end.
#[test]
fn concurrent_requests_of_both_processes_are_counted_together() {
    let mut upgrade = Upgrade::new();
    for id in 0..2 {
        assert_eq!(sent_to(&upgrade.submit_to_old(request(id, SAFE, CONCURRENCY_LIMITED))).len(), 1);
    }
    upgrade.hand_over(Export::Retires);
    for id in 2..4 {
        assert_eq!(sent_to(&upgrade.submit_to_old(request(id, SAFE, CONCURRENCY_LIMITED))).len(), 1);
        let new_id = (1 << 20) + id;
        assert_eq!(sent_to(&upgrade.new.submit(request(new_id, SAFE, CONCURRENCY_LIMITED))).len(), 1);
    }
    assert!(refused(&upgrade.submit_to_old(request(10, SAFE, CONCURRENCY_LIMITED))), "six are open");
    assert!(refused(&upgrade.new.submit(request((1 << 20) + 10, SAFE, CONCURRENCY_LIMITED))));
    for id in 0..4 {
        let actions = upgrade.old.end_attempt(id, 0, Outcome::Ok, 5.0);
        upgrade.exchange(actions);
    }
    for id in 20..24 {
        let new_id = (1 << 20) + id;
        assert_eq!(sent_to(&upgrade.new.submit(request(new_id, SAFE, CONCURRENCY_LIMITED))).len(), 1);
    }
}

/// Without a link to its successor the old process refuses what has a quota, in time, and serves the rest.
#[test]
fn an_old_process_without_a_link_refuses() {
    let mut upgrade = Upgrade::new();
    upgrade.hand_over(Export::Retires);
    upgrade.link_is_up = false;
    for (id, plan) in [(1, RATE_LIMITED), (2, WITH_CEILING), (3, CONCURRENCY_LIMITED)] {
        let mut actions = upgrade.submit_to_old(request(id, SAFE, plan));
        actions.extend(upgrade.advance(500.0));
        assert!(refused(&actions) && sent_to(&actions).is_empty(), "plan {plan}: {actions:?}");
    }
    assert_eq!(sent_to(&upgrade.submit_to_old(request(4, SAFE, UNLIMITED))).len(), 1);
}

/// Sends requests for two seconds while the only server starts cold, to both processes after a hand-over or to one
/// process alone. Returns how many the server received.
fn sent_to_cold_server(seed: u64, hands_over: bool) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut upgrade = Upgrade::new();
    for id in 0..200 {
        upgrade.serve(true, request(id, SAFE, UNLIMITED));
        upgrade.advance(5.0);
    }
    let cold = ServerEntry { started: upgrade.old.now, ..server_entry(9) };
    upgrade.old.update_servers(true, vec![cold.clone()]);
    upgrade.new.update_servers(true, vec![cold]);
    upgrade.hand_over(if hands_over { Export::Retires } else { Export::GoesOn });
    let mut sent = 0;
    for n in 0..400 {
        let to_old = !hands_over || rng.bool();
        sent += usize::from(
            upgrade.serve(to_old, request(n + 1000 + if to_old { 0 } else { 1 << 20 }, SAFE, UNLIMITED)),
        );
        sent += sent_to(&upgrade.advance(5.0)).len();
    }
    sent
}

/// Guards against a slow start of which each process sends its share. One request may lie between the two draws.
#[test]
fn both_processes_together_send_a_cold_server_no_more_than_one() {
    for seed in 0..20 {
        let (by_one, by_both) = (sent_to_cold_server(seed, false), sent_to_cold_server(seed, true));
        assert!(by_both <= by_one + 1, "{by_both} where one process sends {by_one}, seed {seed}");
    }
}
