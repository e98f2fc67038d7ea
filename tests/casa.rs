//! The slot limit and its feedback, and the choice of servers.

mod common;
use common::*;
use fawnhill::*;

/// Submits `n` requests of `units` and returns how many were sent to a server at once.
fn burst(limiter: &mut SimulatedLimiter, first_id: RequestId, n: u32, units: f64) -> usize {
    let new_request = |id| Request { units, ..request(id, KEYED, UNLIMITED) };
    (first_id..first_id + n).map(|id| sent_to(&limiter.submit(new_request(id))).len()).sum()
}

/// Ends the first attempts of the requests `ids` successfully, each after `took_ms`.
fn complete(limiter: &mut SimulatedLimiter, ids: std::ops::Range<RequestId>, took_ms: Millis) {
    for id in ids {
        limiter.end_attempt(id, 0, Outcome::Ok, took_ms);
    }
}

/// A limiter whose servers answered slowly for two seconds.
fn limiter_after_slow_answers() -> SimulatedLimiter {
    let mut limiter = SimulatedLimiter::new(settings(0), 4);
    for round in 0..20 {
        let ids = round * 100..round * 100 + 10;
        for id in ids.clone() {
            limiter.submit(Request {
                units: if id % 2 == 0 { 1.0 } else { 8.0 },
                ..request(id, KEYED, UNLIMITED)
            });
        }
        limiter.advance(100.0);
        complete(&mut limiter, ids, 900.0);
    }
    limiter.advance(100.0);
    limiter
}

#[test]
fn slot_limit_does_not_bind_while_latency_is_within_target() {
    let mut limiter = SimulatedLimiter::new(settings(0), 4);
    assert_eq!(burst(&mut limiter, 0, 500, 1.0), 500);
}

#[test]
fn slow_answers_lower_the_slot_limit_and_excess_requests_are_queued_then_refused() {
    let mut limiter = limiter_after_slow_answers();
    let sent_at_once = burst(&mut limiter, 10_000, 300, 1.0);
    assert!((1..100).contains(&sent_at_once), "{sent_at_once} of 300 sent at once");
    let later = limiter.advance(500.0);
    let refusals = later.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    assert_eq!(refusals, 300 - sent_at_once, "keyed requests that never ran are refused, not failed");
}

/// A limiter whose servers stayed slow for `rounds` periods of 100 ms while costly requests came.
fn limiter_under_sustained_load(rounds: u32) -> SimulatedLimiter {
    let mut limiter = limiter_after_slow_answers();
    for round in 0..rounds {
        burst(&mut limiter, 200_000 + round * 100, 30, 8.0);
        limiter.advance(100.0);
        complete(&mut limiter, 200_000 + round * 100..200_030 + round * 100, 900.0);
    }
    limiter.advance(3000.0);
    limiter
}

#[test]
fn costly_request_takes_more_slots_than_a_cheap_one_under_load() {
    // Queued requests make Re positive, so that numBigQueries falls and alpha rises.
    let cheap = burst(&mut limiter_under_sustained_load(30), 50_000, 200, 1.0);
    let costly = burst(&mut limiter_under_sustained_load(30), 50_000, 200, 8.0);
    assert!(costly < cheap, "{costly} costly and {cheap} cheap requests sent at once");
}

/// Guards against alpha rising until one costly request takes the whole slot limit (incident i0d1449).
#[test]
fn costly_requests_never_take_the_whole_slot_limit() {
    let costly = burst(&mut limiter_under_sustained_load(500), 50_000, 200, 8.0);
    assert!(costly >= 2, "{costly} costly requests sent at once");
}

/// Six seconds with six requests every 100 ms, all answered quickly.
fn answer_quickly(limiter: &mut SimulatedLimiter) {
    for round in 0..60 {
        let ids = 40_000 + round * 100..40_006 + round * 100;
        burst(limiter, ids.start, 6, 1.0);
        limiter.advance(100.0);
        complete(limiter, ids, 50.0);
    }
}

#[test]
fn attempts_at_an_unresponsive_server_do_not_use_slots_of_others() {
    let mut limiter = limiter_after_slow_answers();
    answer_quickly(&mut limiter);
    limiter.advance(10.0);
    let new_request = |id| request(id, UNSAFE, UNLIMITED);
    let before = (60_000..60_100).filter(|id| !sent_to(&limiter.submit(new_request(*id))).is_empty()).count();
    // The others are queued and refused after a quarter of the target latency; the attempts count as
    // unresponsive after 0.4 of it.
    limiter.advance(600.0);
    limiter.update_servers(false, (10..14).map(server_entry).collect());
    let after = burst(&mut limiter, 70_000, 100, 1.0);
    assert!(after * 2 >= before, "{after} sent at once, {before} before");
}

#[test]
fn slot_limit_rises_again_when_answers_are_quick() {
    let mut limiter = limiter_after_slow_answers();
    let before = burst(&mut limiter, 30_000, 200, 1.0);
    limiter.advance(2900.0);
    complete(&mut limiter, 30_000..30_200, 900.0);
    answer_quickly(&mut limiter);
    let after = burst(&mut limiter, 60_000, 200, 1.0);
    assert!(after > before, "{before} sent at once before, {after} after");
}

/// Guards against slots that are freed as soon as an attempt is cancelled, although the server goes on with
/// the work (incidents i97b245 and ib77c81).
#[test]
fn cancelled_attempts_keep_their_slots_for_a_while() {
    let fitting = burst(&mut limiter_after_slow_answers(), 30_000, 100, 1.0);
    let mut limiter = limiter_after_slow_answers();
    for id in 30_000..30_000 + fitting as u32 {
        assert_eq!(sent_to(&limiter.submit(request(id, UNSAFE, UNLIMITED))).len(), 1);
    }
    for id in 30_000..30_000 + fitting as u32 {
        limiter.end_attempt(id, 0, Outcome::Cancelled, 900.0);
    }
    let second = burst(&mut limiter, 31_000, 100, 1.0);
    assert!(second * 2 < fitting, "{second} sent at once after {fitting} were cancelled");
}

/// Guards against a server that did not respond during an overload, is taken for a restarted one and gets
/// almost no requests for the time of a slow start (incident i97b245).
#[test]
fn unresponsive_server_gets_its_full_share_once_it_answers() {
    let mut limiter = SimulatedLimiter::new(Settings { limiters: 1, ..settings(0) }, 1);
    for id in 0..5 {
        limiter.submit(Request { spread: 1, ..request(id, UNSAFE, UNLIMITED) });
    }
    limiter.advance(990.0);
    for id in 0..5 {
        limiter.end_attempt(id, 0, Outcome::TimedOut, 990.0);
    }
    limiter.advance(9000.0);
    limiter.submit(request(9, SAFE, UNLIMITED));
    limiter.end_attempt(9, 0, Outcome::Ok, 5.0);
    assert!(burst(&mut limiter, 100, 10, 1.0) >= 5);
}

/// Guards against healthy servers that are ejected for a few slow requests (found in the scenario
/// kiln-booking rough-2).
#[test]
fn slow_requests_do_not_eject_a_server() {
    let mut limiter = SimulatedLimiter::new(settings(0), 2);
    for id in 0..4 {
        limiter.submit(request(id, UNSAFE, UNLIMITED));
    }
    limiter.advance(450.0);
    for id in 0..4 {
        limiter.end_attempt(id, 0, Outcome::Ok, 450.0);
    }
    let servers: std::collections::BTreeSet<_> =
        (10..20).flat_map(|id| sent_to(&limiter.submit(request(id, SAFE, UNLIMITED)))).collect();
    assert_eq!(servers.len(), 2);
}

#[test]
fn server_that_fails_fast_is_ejected() {
    let mut limiter = SimulatedLimiter::new(settings(0), 3);
    let mut failing = 0;
    let mut outstanding = std::collections::VecDeque::new();
    for id in 0..400 {
        let mut attempt = 0;
        let mut servers = sent_to(&limiter.submit(request(id, SAFE, UNLIMITED)));
        while let Some(server) = servers.pop() {
            if server != server_id(0) {
                outstanding.push_back((id, attempt));
                break;
            }
            failing += 1;
            servers = sent_to(&limiter.end_attempt(id, attempt, Outcome::Error, 1.0));
            attempt += 1;
        }
        // The healthy servers are kept busy, so that the failing one seems to have the least load.
        while outstanding.len() > 30 {
            let (id, attempt) = outstanding.pop_front().expect("not empty");
            limiter.end_attempt(id, attempt, Outcome::Ok, 100.0);
        }
        limiter.advance(5.0);
    }
    assert!((1..12).contains(&failing), "{failing} attempts went to the failing server");
}

#[test]
fn server_with_a_higher_weight_gets_more_requests() {
    let mut limiter = SimulatedLimiter::new(settings(0), 0);
    limiter.update_servers(true, vec![server_entry(1), ServerEntry { weight: 3.0, ..server_entry(2) }]);
    let servers: Vec<_> =
        (0..40).flat_map(|id| sent_to(&limiter.submit(request(id, SAFE, UNLIMITED)))).collect();
    let large = servers.iter().filter(|s| **s == server_id(2)).count();
    assert!((28..=32).contains(&large), "{large} of 40, expected three in four");
}

/// Guards against slow readers of long answers that use up the slot limit although the servers' work is done.
#[test]
fn streamed_answer_frees_its_slots() {
    let mut limiter = limiter_after_slow_answers();
    let available = burst(&mut limiter, 10_000, 100, 1.0);
    assert!(
        (1..100).contains(&available) && burst(&mut limiter, 20_000, 1, 1.0) == 0,
        "the slot limit must bind"
    );
    for id in 10_000..10_100 {
        limiter.handle(Event::Streaming { id });
    }
    assert_eq!(burst(&mut limiter, 30_000, 1, 1.0), 1);
}
