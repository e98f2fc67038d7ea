//! Prefetched units: requests do not wait for a reply, quotas and ceilings hold as without prefetching, and
//! failures of messages, quota owners and members are tolerated.

mod common;
use common::*;
use fawnhill::*;

const MAX_CUSTOMERS: usize = 1000;

/// Three limiters, of which the first `prefetching` prefetch units.
fn three_limiters(prefetching: usize) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::new((0..3).map(settings).collect(), 3, 5);
    net.limiters[..prefetching].iter_mut().for_each(|limiter| limiter.inner.enable_prefetch(MAX_CUSTOMERS));
    net
}

/// Outcome of a series of requests of one unit each.
#[derive(Default, Debug)]
struct Counts {
    submitted: u32,
    /// Requests sent to a server at once, and those sent later.
    sent_at_once: u32,
    sent_later: u32,
    refused_at_once: u32,
    /// When each was sent.
    sent_at: Vec<Millis>,
}

impl Counts {
    fn sent(&self) -> u32 {
        self.sent_at_once + self.sent_later
    }

    /// Maximum number of requests sent within any period of `ms`.
    fn max_sent_within(&self, ms: Millis) -> usize {
        let within = |from: &Millis| self.sent_at.iter().filter(|at| (*from..from + ms).contains(at)).count();
        self.sent_at.iter().map(within).max().unwrap_or(0)
    }
}

/// Submits `per_s` requests a second, evenly spaced and at each of the three limiters in turn.
fn run_requests(net: &mut SimulatedNetwork, plan: usize, first_id: u32, seconds: u32, per_s: u32) -> Counts {
    run_requests_at(net, plan, first_id, seconds, per_s, |n| n as usize % 3)
}

/// Submits `per_s` requests a second, evenly spaced, the `n`-th at the limiter `position(n)`.
fn run_requests_at(
    net: &mut SimulatedNetwork,
    plan: usize,
    first_id: u32,
    seconds: u32,
    per_s: u32,
    position: impl Fn(u32) -> usize,
) -> Counts {
    let mut counts = Counts::default();
    let interval_ms = 1000.0 / f64::from(per_s);
    for n in 0..seconds * per_s {
        let (p, id) = (position(n), first_id + n);
        counts.submitted += 1;
        let at_once = net.handle(p, Event::Request(request(id, SAFE, plan)));
        let mut all: Vec<(usize, Action)> = at_once.into_iter().map(|a| (p, a)).collect();
        let actions_at_once = all.len();
        let started = net.now;
        all.extend(net.advance(interval_ms));
        for (k, (p, a)) in all.iter().enumerate() {
            match a {
                Action::Send { id: sent_id, .. } => {
                    counts.sent_at.push(if k < actions_at_once { started } else { net.now });
                    match k < actions_at_once && *sent_id == id {
                        true => counts.sent_at_once += 1,
                        false => counts.sent_later += 1,
                    }
                    net.complete(*p, *sent_id, 5.0);
                }
                Action::Refuse { id: refused_id, .. } if k < actions_at_once && *refused_id == id => {
                    counts.refused_at_once += 1
                }
                _ => {}
            }
        }
    }
    counts
}

#[test]
fn requests_within_a_quota_rarely_wait_for_a_reply() {
    // 5 of 6 units a second, three in four of them at one limiter, each in turn. Its own share is 2 a second.
    for busiest in 0..3 {
        let waiting_fraction = |prefetching| {
            let mut net = three_limiters(prefetching);
            let position = |n: u32| if n.is_multiple_of(4) { (busiest + 1) % 3 } else { busiest };
            run_requests_at(&mut net, RATE_LIMITED, 0, 10, 5, position);
            let counts = run_requests_at(&mut net, RATE_LIMITED, 10_000, 30, 5, position);
            (f64::from(counts.sent_later) / f64::from(counts.sent()), counts)
        };
        let ((without, _), (with, counts)) = (waiting_fraction(0), waiting_fraction(3));
        assert!(
            with < 0.02,
            "limiter {busiest}: {with} wait with prefetching, {without} without: {counts:?}"
        );
        // The third limiter is the customer's quota owner, where no request waits.
        assert!(without > 0.1 || busiest == 2, "limiter {busiest}: {without} wait without prefetching");
        assert!(counts.sent() >= 148, "{counts:?}");
    }
}

#[test]
fn customer_beyond_its_quota_gets_its_quota_and_immediate_refusals() {
    let mut net = three_limiters(3);
    let counts = run_requests(&mut net, RATE_LIMITED, 0, 30, 20);
    // 6 units a second for 30 s and a burst of 12, and what members admit before the first replies arrive.
    assert!((160..=205).contains(&counts.sent()), "{counts:?}");
    assert!(f64::from(counts.sent_later) < 0.03 * f64::from(counts.sent()), "{counts:?}");
    assert!(counts.refused_at_once * 10 > (counts.submitted - counts.sent()) * 9, "{counts:?}");
}

/// Checks a ceiling of 12 units a second with a burst of 60 and a slack of 3, under a request every 10 ms.
fn assert_ceiling_holds(net: &mut SimulatedNetwork, case: &str) {
    let counts = run_requests(net, WITH_CEILING, 0, 20, 100);
    for ms in [1000.0, 3000.0, 5000.0, 10_000.0] {
        let max = 60.0 + 3.0 + 12.0 * ms / 1000.0;
        assert!(
            counts.max_sent_within(ms) as f64 <= max + 1.0,
            "{case}: {} sent in {ms} ms",
            counts.max_sent_within(ms)
        );
    }
    assert!(counts.sent() > 150, "{case}: {counts:?}");
}

#[test]
fn ceiling_holds_when_some_all_or_none_of_the_limiters_prefetch() {
    for prefetching in 0..=3 {
        assert_ceiling_holds(&mut three_limiters(prefetching), &format!("{prefetching} of 3"));
    }
}

#[test]
fn ceiling_holds_when_messages_are_lost_or_delayed() {
    for (loss, max_delay) in [(0.3, 10.0), (0.0, 400.0), (0.1, 2000.0)] {
        let mut net = three_limiters(3);
        (net.loss, net.delay_ms) = (loss, (2.0, max_delay));
        let counts = run_requests(&mut net, WITH_CEILING, 0, 20, 100);
        for ms in [1000.0, 3000.0, 5000.0, 10_000.0] {
            let max = 60.0 + 3.0 + 12.0 * ms / 1000.0;
            assert!(
                counts.max_sent_within(ms) as f64 <= max + 1.0,
                "loss {loss}, delay up to {max_delay} ms: {} sent in {ms} ms",
                counts.max_sent_within(ms)
            );
        }
    }
}

/// A reply that arrives twice has no effect the second time.
#[test]
fn duplicate_reply_grants_no_units_twice() {
    let mut limiter = SimulatedLimiter::new(settings(0), 3);
    limiter.inner.enable_prefetch(MAX_CUSTOMERS);
    let mut peer = SimulatedLimiter::new(settings(1), 3);
    peer.inner.enable_prefetch(MAX_CUSTOMERS);
    let primary_owner = |customer| {
        // The limiter's first quota request goes to the customer's primary quota owner.
        let mut probe = SimulatedLimiter::new(settings(0), 3);
        let actions =
            (0..20).flat_map(|id| probe.submit(Request { customer, ..request(id, SAFE, WITH_CEILING) }));
        let receivers: Vec<u32> =
            actions.filter_map(|a| if let Action::SendMessage { to, .. } = a { to } else { None }).collect();
        receivers.first().copied()
    };
    let customer =
        (0..100).find(|c| primary_owner(*c) == Some(1)).expect("a customer whose primary owner is limiter 1");
    let (mut sent, mut replies) = (0, Vec::new());
    let mut last_submitted = 0.0;
    for id in 0..1200 {
        let mut actions = limiter.submit(Request { customer, ..request(id, SAFE, WITH_CEILING) });
        actions.extend(limiter.advance(10.0));
        peer.now = limiter.now;
        peer.advance(0.0);
        for a in actions {
            match a {
                Action::Send { id, .. } => {
                    sent += 1;
                    limiter.end_attempt(id, 0, Outcome::Ok, 5.0);
                }
                Action::SendMessage { to: Some(1), body } => {
                    for reply in peer.handle(Event::MessageReceived { from: 0, body }) {
                        if let Action::SendMessage { to: Some(0), body } = reply {
                            replies.push(body);
                        }
                    }
                }
                _ => {}
            }
        }
        for body in std::mem::take(&mut replies) {
            for _ in 0..2 {
                let actions = limiter.handle(Event::MessageReceived { from: 1, body: body.clone() });
                for a in actions {
                    if let Action::Send { id, .. } = a {
                        sent += 1;
                        limiter.end_attempt(id, 0, Outcome::Ok, 5.0);
                    }
                }
            }
        }
        last_submitted = limiter.now;
    }
    assert!(last_submitted > 0.0);
    // The primary owner's share of the ceiling is 0.62 of 12 units a second and of a burst of 60 with a slack
    // of 3, and fills 3 s after its start. The member's own share is a tenth.
    let max = 0.72 * (12.0 * 12.0 + 63.0);
    assert!((60.0..=max).contains(&f64::from(sent)), "{sent} sent, expected 60 to {max}");
    assert!(limiter.inner.prefetch_counts().expect("prefetching is enabled").granted > 0);
}

/// A process that stalls for 10 s while it holds prefetched units spends none of them afterwards.
#[test]
fn stalled_member_does_not_spend_expired_units() {
    let mut net = three_limiters(3);
    run_requests(&mut net, WITH_CEILING, 0, 10, 40);
    let until = net.now + 10_000.0;
    net.stalled_until = vec![until, 0.0, 0.0];
    // The other limiters use the whole ceiling meanwhile.
    run_requests_at(&mut net, WITH_CEILING, 10_000, 10, 60, |n| 1 + n as usize % 2);
    let counts = run_requests(&mut net, WITH_CEILING, 20_000, 3, 100);
    for ms in [500.0, 1000.0, 2000.0] {
        let max = 60.0 + 3.0 + 12.0 * ms / 1000.0;
        assert!(
            counts.max_sent_within(ms) as f64 <= max + 1.0,
            "{} sent in {ms} ms",
            counts.max_sent_within(ms)
        );
    }
}

/// Unused units return to the quota: a customer that no longer sends requests to two limiters can use its
/// whole burst at the third.
#[test]
fn unused_units_are_returned() {
    let mut net = three_limiters(3);
    run_requests(&mut net, RATE_LIMITED, 0, 10, 12);
    net.advance(8000.0);
    let expired: f64 = net
        .limiters
        .iter()
        .filter_map(|limiter| limiter.inner.prefetch_counts())
        .map(|p| p.expired_units)
        .sum();
    assert!(expired > 0.0, "units were held when the requests ended");
    let customers: usize =
        net.limiters.iter().filter_map(|limiter| limiter.inner.prefetch_counts()).map(|p| p.customers).sum();
    assert_eq!(customers, 0, "no units are held for a customer without requests");
    let counts = run_requests_at(&mut net, RATE_LIMITED, 10_000, 1, 100, |_| 1);
    assert!(counts.sent() >= 11, "{counts:?}");
}

/// The quota owner restarts while members hold units granted by it: the requests admitted stay below the
/// ceiling.
#[test]
fn restarted_quota_owner_grants_no_units_twice() {
    for owner in 0..3 {
        let mut net = three_limiters(3);
        let before = run_requests(&mut net, WITH_CEILING, 0, 6, 100);
        net.restart(owner, settings(owner as u32), 3, 9);
        net.limiters[owner].inner.enable_prefetch(MAX_CUSTOMERS);
        let after = run_requests(&mut net, WITH_CEILING, 10_000, 6, 100);
        let mut combined = Counts { sent_at: before.sent_at, ..after };
        combined.sent_at.extend(two_more_seconds(&mut net, 20_000));
        for ms in [500.0, 1000.0, 3000.0] {
            let max = 60.0 + 3.0 + 12.0 * ms / 1000.0;
            assert!(
                combined.max_sent_within(ms) as f64 <= max + 1.0,
                "owner {owner}: {} sent in {ms} ms",
                combined.max_sent_within(ms)
            );
        }
    }
}

fn two_more_seconds(net: &mut SimulatedNetwork, first_id: u32) -> Vec<Millis> {
    run_requests(net, WITH_CEILING, first_id, 2, 100).sent_at
}

/// A quota owner of an earlier version, or one without prefetching, answers prefetch requests like any other
/// quota request, so that nothing waits in vain.
#[test]
fn prefetching_works_when_part_of_the_fleet_does_not_support_it() {
    for prefetching in [1, 2] {
        let mut net = three_limiters(prefetching);
        let counts = run_requests(&mut net, RATE_LIMITED, 0, 30, 6);
        assert!(counts.sent() >= 165, "{prefetching} limiters prefetch: {counts:?}");
    }
}

#[test]
fn number_of_customers_with_prefetched_units_is_limited() {
    let mut net = three_limiters(0);
    net.limiters.iter_mut().for_each(|limiter| limiter.inner.enable_prefetch(10));
    for id in 0..600 {
        for p in 0..3 {
            let customer = u64::from(id % 200);
            net.handle(p, Event::Request(Request { customer, ..request(id, SAFE, RATE_LIMITED) }));
        }
        net.advance(4.0);
    }
    let customers: Vec<usize> = net
        .limiters
        .iter()
        .filter_map(|limiter| limiter.inner.prefetch_counts())
        .map(|p| p.customers)
        .collect();
    assert!(customers.iter().all(|n| *n <= 10) && customers.iter().any(|n| *n > 0), "{customers:?}");
}

/// Prefetch requests have ids above those of client requests. They occur only if prefetching is enabled.
#[test]
fn units_are_prefetched_only_if_enabled() {
    let prefetch_requests = |enabled: bool| {
        let mut count = 0;
        for position in 0..3 {
            let mut limiter = SimulatedLimiter::new(settings(position), 3);
            if enabled {
                limiter.inner.enable_prefetch(MAX_CUSTOMERS);
            }
            for id in 0..60 {
                let mut actions = limiter.submit(request(id, SAFE, RATE_LIMITED));
                actions.extend(limiter.advance(20.0));
                let messages = actions.iter().filter_map(|a| {
                    if let Action::SendMessage { body, .. } = a {
                        line_kinds(body)
                    } else {
                        None
                    }
                });
                count += messages
                    .flatten()
                    .filter(|line| matches!(line, LineKind::Ask(id) if id >> 31 == 1))
                    .count();
            }
            assert_eq!(limiter.inner.prefetch_counts().is_some(), enabled);
        }
        count
    };
    assert_eq!(prefetch_requests(false), 0);
    assert!(prefetch_requests(true) > 0);
}
