//! Property tests of the rules under arbitrary valid events, with fixed seeds.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use fawnhill::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
enum Step {
    Submit { limiter: usize, class: usize, plan: usize, customer: u64, units: u8, budget: u16 },
    EndAttempt { limiter: usize, pick: u16, outcome: u8 },
    Advance(u16),
    ChangeServer { limiter: usize, n: u32, change: u8 },
    Restart(usize),
    Disconnect { limiter: usize, pick: u16 },
    InvalidMessage { limiter: usize, from: u32, body: Vec<u8> },
}

fn step() -> impl Strategy<Value = Step> {
    let limiter = 0usize..3;
    prop_oneof![
        8 => (limiter.clone(), 0usize..3, 0usize..4, 0u64..3, 1u8..4, 5u16..3000).prop_map(
            |(limiter, class, plan, customer, units, budget)| {
                let customer = customer * 4 + plan as u64;
                Step::Submit { limiter, class, plan, customer, units, budget }
            }
        ),
        6 => (limiter.clone(), any::<u16>(), 0u8..7).prop_map(|(limiter, pick, outcome)| Step::EndAttempt {
            limiter,
            pick,
            outcome
        }),
        4 => (0u16..600).prop_map(Step::Advance),
        1 => (limiter.clone(), 0u32..5, 0u8..4).prop_map(|(limiter, n, change)| Step::ChangeServer {
            limiter,
            n,
            change
        }),
        1 => limiter.clone().prop_map(Step::Restart),
        1 => (limiter.clone(), any::<u16>()).prop_map(|(limiter, pick)| Step::Disconnect { limiter, pick }),
        1 => (limiter, 0u32..4, prop::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(limiter, from, body)| Step::InvalidMessage { limiter, from, body }),
    ]
}

/// Tracks one limiter's requests and attempts from outside and checks its actions against the rules.
#[derive(Default)]
struct Checker {
    /// Requests without a final answer, with their deadlines.
    open: BTreeMap<RequestId, (Request, Millis)>,
    /// Outstanding attempts.
    attempts: BTreeMap<(RequestId, u32), ServerId>,
    /// Number of attempts made of each request.
    attempt_counts: BTreeMap<RequestId, u32>,
    /// Requests with an outstanding attempt.
    outstanding: BTreeSet<RequestId>,
    /// When the first attempt that may have run was sent.
    may_have_run: BTreeMap<RequestId, Millis>,
    /// When the latest attempt was sent.
    sent_at: BTreeMap<RequestId, Millis>,
    /// Draining and removed servers.
    unavailable: BTreeSet<ServerId>,
    listed: BTreeSet<ServerId>,
}

/// Reference token bucket of each customer's ceiling over all limiters: level and time of the last update.
type Ceilings = BTreeMap<u64, (f64, Millis)>;

fn spend(s: &Settings, ceilings: &mut Ceilings, r: &Request, now: Millis) -> Result<(), TestCaseError> {
    let plan = &s.plans[r.plan];
    if plan.ceiling_rate <= 0.0 {
        return Ok(());
    }
    let (level, updated) = ceilings.entry(r.customer).or_insert((plan.ceiling_burst, now));
    *level = (*level + plan.ceiling_rate * (now - *updated) / 1000.0).min(plan.ceiling_burst) - r.units;
    *updated = now;
    prop_assert!(*level >= -plan.ceiling_slack - 1e-6, "ceiling exceeded: level {level}");
    Ok(())
}

impl Checker {
    fn check(
        &mut self,
        s: &Settings,
        now: Millis,
        actions: &[Action],
        ceilings: &mut Ceilings,
    ) -> Result<(), TestCaseError> {
        for a in actions {
            match a {
                Action::Send { id, server, .. } => {
                    let (r, _) = self.open.get(id).cloned().ok_or_else(|| {
                        TestCaseError::fail(format!("attempt for request {id}, which has ended"))
                    })?;
                    prop_assert!(!self.outstanding.contains(id), "two outstanding attempts");
                    prop_assert!(
                        !self.unavailable.contains(server),
                        "attempt at a draining or removed server"
                    );
                    prop_assert!(self.listed.contains(server), "attempt at an unlisted server");
                    let n = self.attempt_counts.entry(*id).or_insert(0);
                    prop_assert!(*n < s.max_attempts);
                    if *n == 0 {
                        spend(s, ceilings, &r, now)?;
                    }
                    if let Some(ran) = self.may_have_run.get(id) {
                        let class = &s.classes[r.class];
                        prop_assert!(
                            class.effect != Effect::Unsafe,
                            "retry of an unsafe request that may have run"
                        );
                        prop_assert!(
                            class.effect != Effect::Keyed || now - ran <= class.window_ms,
                            "retry of a keyed request after its window"
                        );
                    }
                    self.attempts.insert((*id, *n), server.clone());
                    self.sent_at.insert(*id, now);
                    self.outstanding.insert(*id);
                    *n += 1;
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    let (r, _) = self
                        .open
                        .remove(id)
                        .ok_or_else(|| TestCaseError::fail(format!("second final answer for {id}")))?;
                    if matches!(a, Action::Refuse { .. }) && s.classes[r.class].effect == Effect::Unsafe {
                        let may_have_run =
                            self.may_have_run.contains_key(id) || self.outstanding.contains(id);
                        prop_assert!(!may_have_run, "unsafe request refused although it may have run");
                    }
                }
                Action::Cancel { id, attempt } => {
                    prop_assert!(
                        self.attempts.remove(&(*id, *attempt)).is_some(),
                        "cancel of an attempt that is not outstanding"
                    );
                    self.outstanding.remove(id);
                    self.may_have_run.entry(*id).or_insert(self.sent_at[id]);
                }
                Action::SendMessage { body, .. } => prop_assert!(body.len() <= 256),
                _ => {}
            }
        }
        for (id, (_, deadline)) in &self.open {
            prop_assert!(now <= deadline + 16.0, "request {id} has no final answer by its deadline");
        }
        Ok(())
    }
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Severed,
    Outcome::Cancelled,
];

fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut s = settings(0);
    s.classes[KEYED].window_ms = 700.0;
    // A ceiling small enough to be reached often.
    let low_ceiling =
        Plan { ceiling_rate: 3.0, ceiling_burst: 6.0, ceiling_slack: 1.0, ..s.plans[WITH_CEILING].clone() };
    s.plans[WITH_CEILING] = low_ceiling;
    let start = |p: usize, now: Millis| {
        let mut limiter = SimulatedLimiter::new(Settings { position: p as u32, ..s.clone() }, 0);
        limiter.inner = Limiter::new(Settings { position: p as u32, ..s.clone() }, p as u64, now)
            .expect("valid settings");
        limiter.now = now;
        limiter.update_servers(true, (0..5).map(server_entry).collect());
        let checker = Checker { listed: (0..5).map(server_id).collect(), ..Checker::default() };
        (limiter, checker)
    };
    let mut now = 100_000.0;
    let mut ceilings = Ceilings::new();
    let mut all: Vec<(SimulatedLimiter, Checker)> = (0..3).map(|p| start(p, now)).collect();
    let mut last_id = 0;
    for step in steps {
        let mut messages = Vec::new();
        match step {
            Step::Submit { limiter, class, plan, customer, units, budget } => {
                last_id += 1;
                let (budget_ms, units) = (f64::from(budget), f64::from(units));
                let r = Request { id: last_id, class, plan, customer, budget_ms, units, spread: 3, first: 1 };
                let (limiter, checker) = &mut all[limiter];
                checker.open.insert(last_id, (r.clone(), now + budget_ms));
                let actions = limiter.submit(r);
                checker.check(&s, now, &actions, &mut ceilings)?;
            }
            Step::EndAttempt { limiter, pick, outcome } => {
                let (limiter, checker) = &mut all[limiter];
                if checker.attempts.is_empty() {
                    continue;
                }
                let index = usize::from(pick) % checker.attempts.len();
                let (id, n) = *checker.attempts.keys().nth(index).expect("in range");
                checker.attempts.remove(&(id, n));
                checker.outstanding.remove(&id);
                let outcome = OUTCOMES[usize::from(outcome)];
                if !matches!(outcome, Outcome::Full | Outcome::NoConnection) {
                    let sent_at = checker.sent_at[&id];
                    checker.may_have_run.entry(id).or_insert(sent_at);
                }
                if outcome == Outcome::Ok {
                    checker.open.remove(&id);
                }
                let actions = limiter.end_attempt(id, n, outcome, 30.0);
                checker.check(&s, now, &actions, &mut ceilings)?;
            }
            Step::Advance(ms) => {
                // In steps of one round, so that each action is checked at its own time.
                for _ in 0..ms / 4 {
                    now += 4.0;
                    for (p, (limiter, checker)) in all.iter_mut().enumerate() {
                        let actions = limiter.advance(4.0);
                        checker.check(&s, now, &actions, &mut ceilings)?;
                        messages.extend(actions.into_iter().filter_map(|a| match a {
                            Action::SendMessage { to: Some(to), body } => Some((p, to, body)),
                            _ => None,
                        }));
                    }
                }
            }
            Step::ChangeServer { limiter, n, change } => {
                let (limiter, checker) = &mut all[limiter];
                let condition =
                    [Condition::Serving, Condition::Draining, Condition::Gone, Condition::Serving]
                        [usize::from(change)];
                if condition == Condition::Serving {
                    checker.unavailable.remove(&server_id(n));
                } else {
                    checker.unavailable.insert(server_id(n));
                }
                let started = if change == 3 { now } else { 0.0 };
                let actions = limiter
                    .update_servers(false, vec![ServerEntry { condition, started, ..server_entry(n) }]);
                checker.check(&s, now, &actions, &mut ceilings)?;
            }
            Step::Restart(p) => all[p] = start(p, now),
            Step::Disconnect { limiter, pick } => {
                let (limiter, checker) = &mut all[limiter];
                if !checker.open.is_empty() {
                    let index = usize::from(pick) % checker.open.len();
                    let id = *checker.open.keys().nth(index).expect("in range");
                    checker.open.remove(&id);
                    let actions = limiter.handle(Event::ClientDisconnected { id });
                    checker.check(&s, now, &actions, &mut ceilings)?;
                }
            }
            Step::InvalidMessage { limiter, from, body } => {
                let (limiter, checker) = &mut all[limiter];
                let actions = limiter.handle(Event::MessageReceived { from, body });
                checker.check(&s, now, &actions, &mut ceilings)?;
            }
        }
        for (from, to, body) in messages {
            let (limiter, checker) = &mut all[to as usize];
            let actions = limiter.handle(Event::MessageReceived { from: from as u32, body });
            checker.check(&s, now, &actions, &mut ceilings)?;
        }
    }
    Ok(())
}

#[test]
fn rules_hold_under_arbitrary_valid_events() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner.run(&prop::collection::vec(step(), 1..150), run).expect("a rule is violated");
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut limiter = SimulatedLimiter::new(settings(0), 5);
        let mut all = Vec::new();
        for id in 0..400 {
            all.extend(
                limiter.submit(Request { customer: u64::from(id % 9), ..request(id, SAFE, RATE_LIMITED) }),
            );
            all.extend(limiter.advance(7.0));
            all.extend(limiter.end_attempt(
                id,
                0,
                if id % 5 == 0 { Outcome::Error } else { Outcome::Ok },
                9.0,
            ));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn state_of_ended_requests_is_removed() {
    let mut limiter = SimulatedLimiter::new(settings(0), 3);
    let size = |limiter: &SimulatedLimiter| format!("{:?}", limiter.inner).len();
    for id in 0..300 {
        limiter.submit(Request { customer: u64::from(id), ..request(id, SAFE, RATE_LIMITED) });
        limiter.end_attempt(id, 0, Outcome::Ok, 5.0);
    }
    let full = size(&limiter);
    limiter.advance(120_000.0);
    assert!(size(&limiter) < full / 3, "debug output of {} bytes, {full} before", size(&limiter));
}

/// Six limiters admit requests of three customers with a ceiling. Messages are lost, delayed and reordered;
/// limiters stall, restart and receive their backlog at once. Returns the lowest level of a reference bucket
/// and the units admitted.
fn run_ceiling_simulation(seed: u64) -> (f64, f64) {
    const LIMITERS: u32 = 6;
    let limiter_settings = |position| Settings { limiters: LIMITERS, ..settings(position) };
    let mut net = SimulatedNetwork::new((0..LIMITERS).map(limiter_settings).collect(), 4, seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    net.loss = 0.3 * rng.f64();
    net.delay_ms = (1.0, [20.0, 200.0, 700.0][rng.usize(0..3)]);
    let plan = settings(0).plans[WITH_CEILING].clone();
    let mut buckets = [(plan.ceiling_burst, net.now); 3];
    let mut submitted: BTreeMap<(usize, RequestId), Request> = BTreeMap::new();
    let (mut lowest, mut admitted) = (f64::INFINITY, 0.0);
    for id in 0..2500 {
        let p = rng.usize(0..LIMITERS as usize);
        let mut actions: Vec<(usize, Action)> = Vec::new();
        match rng.u32(0..300) {
            0 => net.restart(p, limiter_settings(p as u32), 4, u64::from(id)),
            1..=4 => net.stalled_until[p] = net.now + 3000.0 * rng.f64(),
            _ if net.now >= net.stalled_until[p] => {
                let customer = rng.u64(0..3);
                let units = 1.0 + f64::from(rng.u32(0..3));
                let r = Request { customer, units, spread: LIMITERS, ..request(id, UNSAFE, WITH_CEILING) };
                submitted.insert((p, id), r.clone());
                actions.extend(net.handle(p, Event::Request(r)).into_iter().map(|a| (p, a)));
            }
            _ => {}
        }
        actions.extend(net.advance(if id % 500 < 300 { 4.0 } else { 20.0 }));
        for (p, a) in actions {
            let Action::Send { id, .. } = a else { continue };
            let r = &submitted[&(p, id)];
            let bucket = &mut buckets[r.customer as usize];
            bucket.0 = (bucket.0 + plan.ceiling_rate * (net.now - bucket.1) / 1000.0).min(plan.ceiling_burst)
                - r.units;
            bucket.1 = net.now;
            lowest = lowest.min(bucket.0);
            admitted += r.units;
            net.complete(p, id, 5.0);
        }
    }
    (lowest, admitted)
}

#[test]
fn ceilings_hold_with_lossy_links_stalls_and_restarts() {
    let slack = settings(0).plans[WITH_CEILING].ceiling_slack;
    let mut total = 0.0;
    for seed in 0..60 {
        let (lowest, admitted) = run_ceiling_simulation(seed);
        assert!(lowest >= -slack - 1e-6, "seed {seed}: lowest level {lowest}");
        total += admitted;
    }
    // Most of the ceiling is used: three customers with a burst and 12 units a second for some 26 s each.
    assert!(total / 60.0 > 300.0, "{} units admitted per seed", total / 60.0);
}

/// Forty limiters send to a server that has just started. Returns its attempts in the worst period of 0.4 s,
/// and the rate of a server after slow start in attempts a second.
fn run_slow_start_simulation(seed: u64) -> (u32, f64) {
    const LIMITERS: u32 = 40;
    let limiter_settings = |position| Settings { limiters: LIMITERS, ..settings(position) };
    let mut net = SimulatedNetwork::new((0..LIMITERS).map(limiter_settings).collect(), 8, seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut worst, mut total, mut warm) = (0, 0, 0);
    let mut recent = std::collections::VecDeque::new();
    for id in 0..3000 {
        if id == 1500 {
            let started = net.now;
            for p in 0..LIMITERS as usize {
                let entries = vec![ServerEntry { started, ..server_entry(3) }];
                net.handle(p, Event::Servers { whole: false, entries: entries.into() });
            }
        }
        let p = rng.usize(0..LIMITERS as usize);
        let actions = net
            .handle(p, Event::Request(Request { customer: u64::from(id), ..request(id, SAFE, UNLIMITED) }));
        for a in actions {
            let Action::Send { server, .. } = a else { continue };
            total += u32::from(id >= 1500);
            warm += u32::from(id >= 1500 && server == server_id(2));
            if server == server_id(3) && id >= 1500 {
                recent.push_back(net.now);
            }
            net.complete(p, id, 20.0);
        }
        while recent.front().is_some_and(|t| net.now - t > 400.0) {
            recent.pop_front();
        }
        worst = worst.max(recent.len() as u32);
        net.advance(4.0);
    }
    (worst, f64::from(warm.max(total / 16)) / 6.0)
}

/// A hundred limiters with six requests a second each, for which a third of the servers start together.
/// Returns the attempts at these servers in each period of 2 s of the first 12 s, relative to the average
/// before.
fn run_zone_restart(seed: u64) -> Vec<f64> {
    const LIMITERS: u32 = 100;
    let limiter_settings =
        |position| Settings { limiters: LIMITERS, cold_ms: 14_000.0, ..settings(position) };
    let mut net = SimulatedNetwork::new((0..LIMITERS).map(limiter_settings).collect(), 60, seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let restarted: Vec<_> = (0..60).step_by(3).map(server_entry).collect();
    let (mut attempts, at) = (vec![0.0; 10], net.now + 8000.0);
    for id in 0..12_000 {
        if id == 4800 {
            let entries =
                restarted.iter().map(|e| ServerEntry { started: at, ..e.clone() }).collect::<Vec<_>>();
            let event = Event::Servers { whole: false, entries: entries.into() };
            (0..LIMITERS as usize).for_each(|p| drop(net.handle(p, event.clone())));
        }
        let p = rng.usize(0..LIMITERS as usize);
        for a in
            net.handle(p, Event::Request(Request { customer: u64::from(id), ..request(id, SAFE, UNLIMITED) }))
        {
            let Action::Send { server, .. } = a else { continue };
            attempts[id as usize / 1200] += f64::from(restarted.iter().any(|e| e.server == server));
            net.complete(p, id, 20.0);
        }
        // 600 requests a second.
        net.advance(if id % 5 == 4 { 1000.0 / 120.0 } else { 0.0 });
    }
    attempts[4..].iter().map(|n| n / (attempts[1] + attempts[2] + attempts[3]) * 3.0).collect()
}

/// Guards against restarted servers that stay idle because each limiter takes a hundredth of their share,
/// although only eight of the limiters use such a server.
#[test]
fn servers_in_slow_start_get_their_share_from_a_hundred_limiters() {
    for seed in 0..3 {
        let ratios = run_zone_restart(seed);
        for (period, ratio) in ratios.iter().enumerate() {
            // Slow start raises the share from a fifth to all of it within 14 s.
            let share = 0.2 + 0.8 * (period as f64 + 0.5) / 7.0;
            assert!(
                (0.64 * share..1.6 * share).contains(ratio),
                "seed {seed}: {ratios:.2?}, expected about {share:.2} in period {period}"
            );
        }
    }
}

/// Guards against a server in slow start that is overloaded because each of hundreds of limiters sends it one
/// attempt.
#[test]
fn server_in_slow_start_is_not_overloaded_by_many_limiters() {
    for seed in 0..5 {
        let (worst, warm_per_s) = run_slow_start_simulation(seed);
        // Three times a fifth of what a server can do after slow start, which is more than it gets here.
        assert!(
            f64::from(worst) <= warm_per_s,
            "seed {seed}: {worst} attempts in 0.4 s, while a server after slow start gets {warm_per_s} a second"
        );
    }
}
