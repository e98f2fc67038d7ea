//! Fabricated arrivals at cold servers.

use super::*;

const TERMS: Terms = Terms { cold_share: 0.2, cold_ms: 14_000.0, fall_multiple: 4.0, fall_ms: 2000.0 };
const START: Millis = 1000.0;
const CAPACITY_PER_S: f64 = 30.0;

/// Findings on requests at a fixed interval from 100 ms after the start on.
fn findings(interval_ms: Millis, count: u32, notified: impl Fn(u32) -> bool) -> Findings {
    let mut judge = Judge::new(TERMS);
    judge.server_started(START, 0, CAPACITY_PER_S);
    for n in 0..count {
        let at = START + 100.0 + f64::from(n) * interval_ms;
        judge.request_arrived(at, 0, n as usize % 5, notified(n), 1.0);
    }
    judge.finish()
}

#[test]
fn the_bound_has_a_larger_tolerance_for_few_requests() {
    assert_eq!(max_requests(0.0), 3.0);
    assert_eq!(max_requests(1.0), 7.0);
    assert_eq!(max_requests(25.0), 43.0);
    assert_eq!(max_requests(36.0), 50.0);
    assert_eq!(max_requests(100.0), 122.0);
}

#[test]
fn what_is_allowed_grows_with_the_capacity() {
    let allowed = |age_ms| TERMS.allowed(CAPACITY_PER_S, age_ms);
    assert!((allowed(0.0) - 48.0).abs() < 1e-9);
    assert!((allowed(1000.0) - 48.0).abs() < 1e-9);
    assert!((allowed(8000.0) - 144.0).abs() < 1e-9, "half of the way from a fifth to the whole");
    assert!((allowed(15_000.0) - 240.0).abs() < 1e-9);
}

/// Four times a fifth of 30 a second for 2 s is 48; the tolerance makes it 63.9.
#[test]
fn the_first_request_beyond_the_bound_is_a_breach() {
    assert_eq!(findings(5.0, 63, |_| true).breaches, []);
    let found = findings(5.0, 64, |_| true);
    assert_eq!((found.breaches.len(), found.verdict()), (1, Verdict::Breached));
    assert_eq!(found.breaches[0].received, 64.0);
    assert_eq!(found.breaches[0].senders, [(0, 13), (1, 13), (2, 13), (3, 13), (4, 12)]);
}

#[test]
fn a_window_counts_by_its_work() {
    let mut judge = Judge::new(TERMS);
    judge.server_started(START, 0, CAPACITY_PER_S);
    for n in 0..32 {
        judge.request_arrived(START + 100.0 + f64::from(n), 0, 0, true, 2.0);
    }
    assert_eq!(judge.finish().breaches.len(), 1);
}

#[test]
fn limiters_that_were_not_notified_are_not_blamed() {
    let unnotified = findings(5.0, 99, |_| false);
    assert_eq!((unnotified.breaches.len(), unnotified.cases, unnotified.unnotified), (0, 0, 1));
    assert_eq!(findings(5.0, 99, |n| n % 3 != 0).breaches, [], "just two thirds");
    assert_eq!(findings(5.0, 100, |n| n % 4 != 0).breaches.len(), 1, "three quarters");
}

/// 45 requests in each of seven windows are within the bound.
#[test]
fn fewer_than_twenty_cases_are_too_few() {
    let found = findings(2000.0 / 45.0, 7 * 45 - 3, |_| true);
    assert_eq!((found.cases, found.verdict()), (7, Verdict::TooFew));
    let mut merged = Findings::default();
    (0..3).for_each(|_| merged.merge(found.clone()));
    assert_eq!((merged.starts, merged.cases, merged.verdict()), (3, 21, Verdict::Passed));
    assert!(merged.worst_ratio() > 0.5 && merged.worst_ratio() < 1.0);
}

#[test]
fn warm_servers_and_ended_processes_are_not_judged() {
    let mut judge = Judge::new(TERMS);
    (0..500).for_each(|n| judge.request_arrived(START + f64::from(n), 1, 0, true, 1.0));
    judge.server_started(START, 1, CAPACITY_PER_S);
    (0..500).for_each(|n| judge.request_arrived(START + 14_000.0 + f64::from(n), 1, 0, true, 1.0));
    judge.server_started(START, 2, CAPACITY_PER_S);
    judge.server_exited(2);
    (0..500).for_each(|n| judge.request_arrived(START + f64::from(n), 2, 0, true, 1.0));
    let found = judge.finish();
    assert_eq!((found.starts, found.cases, found.requests), (2, 0, 0));
}

/// 63 requests are within the bound of 63.9.
#[test]
fn room_is_left_until_the_bound_and_while_the_server_is_cold() {
    let mut judge = Judge::new(TERMS);
    judge.server_started(START, 0, CAPACITY_PER_S);
    assert!(judge.has_room(START, 0) && !judge.has_room(START, 1));
    (0..62).for_each(|_| judge.request_arrived(START, 0, 0, true, 1.0));
    assert!(judge.has_room(START, 0));
    judge.request_arrived(START, 0, 0, true, 1.0);
    assert!(!judge.has_room(START, 0));
    assert!(judge.has_room(START + 2001.0, 0), "the window has passed");
    assert!(!judge.has_room(START + 14_000.0, 0), "warm");
}
