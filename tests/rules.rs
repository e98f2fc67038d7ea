//! The five rules at a single limiter: one final answer in time, safe retries, key groups and windows,
//! servers that may not be used, and ceilings.

mod common;
use common::*;
use fawnhill::*;

#[test]
fn request_is_refused_before_its_deadline_if_there_is_no_server() {
    let mut limiter = SimulatedLimiter::new(settings(0), 0);
    assert!(limiter.submit(request(1, SAFE, UNLIMITED)).is_empty(), "queued at first");
    assert!(refused(&limiter.advance(2999.0)));
}

#[test]
fn request_with_an_outstanding_attempt_fails_before_its_deadline() {
    let mut s = settings(0);
    s.classes[UNSAFE].late_worth = 0.2;
    let mut limiter = SimulatedLimiter::new(s, 3);
    assert_eq!(sent_to(&limiter.submit(request(1, UNSAFE, UNLIMITED))).len(), 1);
    assert!(!failed(&limiter.advance(2900.0)), "a late answer still has a value");
    let end = limiter.advance(98.0);
    assert!(failed(&end) && !refused(&end), "a refusal would promise that it did not run");
    assert!(
        limiter.advance(5000.0).iter().all(|a| matches!(a, Action::SendMessage { .. })),
        "no action for the request after its final answer"
    );
}

/// Guards against requests that are unanswered when the process is killed, or fail where a repeat is known to be
/// harmless: the module gives its answer in time after the notice.
#[test]
fn open_requests_are_answered_before_the_process_may_be_killed() {
    let mut s = settings(0);
    s.classes.iter_mut().for_each(|class| class.late_worth = 0.2);
    let mut limiter = SimulatedLimiter::new(s, 3);
    limiter.submit(request(1, SAFE, UNLIMITED));
    limiter.submit(request(2, UNSAFE, UNLIMITED));
    limiter.advance(500.0);
    assert!(limiter.handle(Event::KillExpected { at: limiter.now + 1000.0 }).is_empty());
    let before = limiter.advance(980.0);
    assert!(!refused(&before) && !failed(&before), "{before:?}");
    let answers = limiter.advance(19.0);
    assert!(answers.contains(&Action::Refuse { id: 1, retry_ms: 0.0 }), "{answers:?}");
    assert!(answers.contains(&Action::Fail { id: 2 }), "{answers:?}");
}

#[test]
fn unsafe_request_that_may_have_run_is_not_retried() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Severed, Outcome::Cancelled] {
        let mut limiter = SimulatedLimiter::new(settings(0), 3);
        limiter.submit(request(1, UNSAFE, UNLIMITED));
        let after = limiter.end_attempt(1, 0, outcome, 5.0);
        assert!(failed(&after) && sent_to(&after).is_empty(), "{outcome:?}");
    }
}

#[test]
fn unsafe_request_that_did_not_run_is_retried_at_another_server() {
    for outcome in [Outcome::Full, Outcome::NoConnection] {
        let mut limiter = SimulatedLimiter::new(settings(0), 3);
        let first = sent_to(&limiter.submit(request(1, UNSAFE, UNLIMITED)));
        let second = sent_to(&limiter.end_attempt(1, 0, outcome, 5.0));
        assert_eq!(second.len(), 1, "{outcome:?}");
        assert_ne!(first, second);
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let mut s = settings(0);
    s.classes[KEYED].window_ms = 300.0;
    let mut limiter = SimulatedLimiter::new(s.clone(), 3);
    limiter.submit(request(1, KEYED, UNLIMITED));
    limiter.advance(200.0);
    assert_eq!(sent_to(&limiter.end_attempt(1, 0, Outcome::Error, 200.0)).len(), 1, "within the window");
    let mut limiter = SimulatedLimiter::new(s, 3);
    limiter.submit(request(1, KEYED, UNLIMITED));
    limiter.advance(310.0);
    let after = limiter.end_attempt(1, 0, Outcome::Error, 310.0);
    assert!(sent_to(&after).is_empty() && failed(&after));
}

#[test]
fn keyed_request_that_may_have_run_is_retried_in_its_zone() {
    let mut s = settings(0);
    s.classes[KEYED].group = KeyGroup::Zone;
    let mut limiter = SimulatedLimiter::new(s, 0);
    let other_zone = ServerEntry { zone: 1, ..server_entry(2) };
    limiter.update_servers(true, vec![server_entry(1), other_zone]);
    let first = sent_to(&limiter.submit(request(1, KEYED, UNLIMITED)));
    let second = sent_to(&limiter.end_attempt(1, 0, Outcome::Error, 5.0));
    assert_eq!(first, second, "only a server of the same zone recognises the repeat");
}

/// Guards against a retry in another group of servers, which would not recognise the repeat. The server is
/// removed from the list while the attempt is outstanding, and then its connection breaks, so its group can't
/// be looked up any more.
#[test]
fn keyed_request_stays_in_its_group_when_its_server_is_removed() {
    for group in [KeyGroup::Zone, KeyGroup::Cell] {
        let mut s = settings(0);
        s.classes[KEYED].group = group;
        let mut limiter = SimulatedLimiter::new(s, 0);
        let first = ServerEntry { zone: 1, cell: 4, ..server_entry(1) };
        limiter.update_servers(true, vec![first]);
        assert_eq!(sent_to(&limiter.submit(request(1, KEYED, UNLIMITED))).len(), 1);
        let others = vec![
            ServerEntry { zone: 0, cell: 0, ..server_entry(2) },
            ServerEntry { zone: 0, cell: 0, ..server_entry(3) },
        ];
        limiter.update_servers(true, others);
        let after = limiter.end_attempt(1, 0, Outcome::Severed, 5.0);
        assert!(sent_to(&after).is_empty(), "{group:?}");
    }
}

#[test]
fn attempts_are_limited() {
    let mut limiter = SimulatedLimiter::new(settings(0), 5);
    limiter.submit(request(1, SAFE, UNLIMITED));
    assert_eq!(sent_to(&limiter.end_attempt(1, 0, Outcome::Error, 5.0)).len(), 1);
    assert_eq!(sent_to(&limiter.end_attempt(1, 1, Outcome::Error, 5.0)).len(), 1);
    assert!(refused(&limiter.end_attempt(1, 2, Outcome::Error, 5.0)));
}

#[test]
fn draining_or_removed_server_gets_no_new_attempts() {
    for condition in [Condition::Draining, Condition::Gone] {
        let mut limiter = SimulatedLimiter::new(settings(0), 2);
        limiter.update_servers(false, vec![ServerEntry { condition, ..server_entry(0) }]);
        for id in 0..50 {
            assert!(sent_to(&limiter.submit(request(id, SAFE, UNLIMITED)))
                .iter()
                .all(|s| *s == server_id(1)));
        }
    }
}

#[test]
fn server_missing_from_a_full_list_is_removed() {
    let mut limiter = SimulatedLimiter::new(settings(0), 2);
    limiter.update_servers(true, vec![server_entry(1)]);
    for id in 0..50 {
        assert!(sent_to(&limiter.submit(request(id, SAFE, UNLIMITED))).iter().all(|s| *s == server_id(1)));
    }
}

/// A limiter whose clock shows more than two hours.
fn long_running_limiter(servers: u32) -> SimulatedLimiter {
    let mut limiter = SimulatedLimiter::new(settings(0), servers);
    limiter.now += 8_000_000.0;
    limiter.advance(1000.0);
    limiter
}

/// How many of 200 requests within 2 s go to a new server whose reported start time is off by `offset_ms`.
fn attempts_at_new_server(offset_ms: Millis) -> usize {
    let mut limiter = long_running_limiter(3);
    limiter.update_servers(true, (0..3).map(server_entry).collect());
    limiter.update_servers(false, vec![ServerEntry { started: limiter.now + offset_ms, ..server_entry(9) }]);
    let mut new_server = 0;
    for id in 0..200 {
        let servers = sent_to(&limiter.submit(request(id, SAFE, UNLIMITED)));
        new_server += servers.iter().filter(|s| **s == server_id(9)).count();
        limiter.advance(10.0);
        limiter.end_attempt(id, 0, Outcome::Ok, 10.0);
    }
    new_server
}

#[test]
fn server_in_slow_start_gets_a_reduced_share() {
    // 100 requests a second over four servers for 2 s: an equal share would be 50, and slow start begins with
    // a fifth to two fifths of that.
    let attempts = attempts_at_new_server(0.0);
    assert!((1..=20).contains(&attempts), "{attempts} attempts");
}

/// Guards against a server that has just started and gets no slow start, because the wall clock of this
/// machine or of the server's was stepped by an hour before this process read it.
#[test]
fn slow_start_applies_when_a_wall_clock_was_stepped() {
    for offset_ms in [-3_600_000.0, 3_600_000.0] {
        let attempts = attempts_at_new_server(offset_ms);
        assert!(
            (1..=20).contains(&attempts),
            "{attempts} attempts with a start time that is off by {offset_ms} ms"
        );
    }
}

/// The same for a server whose process restarts under its id, also if its own clock was set back in between.
#[test]
fn slow_start_applies_to_a_restarted_server_when_a_wall_clock_was_stepped() {
    for (before, offset_ms) in [(0.0, -3_600_000.0), (-5000.0, -3_600_000.0), (-5000.0, -9000.0)] {
        let mut limiter = long_running_limiter(3);
        let started = |limiter: &SimulatedLimiter, ms: Millis| if ms == 0.0 { 0.0 } else { limiter.now + ms };
        let known = ServerEntry { started: started(&limiter, before), ..server_entry(9) };
        limiter.update_servers(true, (0..3).map(server_entry).chain([known]).collect());
        limiter.advance(20_000.0);
        limiter.update_servers(
            false,
            vec![ServerEntry { started: limiter.now - 20_000.0 + offset_ms, ..server_entry(9) }],
        );
        let servers: Vec<_> =
            (0..40).flat_map(|id| sent_to(&limiter.submit(request(id, SAFE, UNLIMITED)))).collect();
        let attempts = servers.iter().filter(|s| **s == server_id(9)).count();
        assert!(
            attempts <= 1,
            "{attempts} of 40 at once, start time reported as {before} ms before and {offset_ms} ms now"
        );
    }
}

/// The share of a server in slow start is computed for the limiters whose subset contains it: an attempt from
/// any other limiter would exceed it, even if no other server is left.
#[test]
fn server_in_slow_start_gets_no_attempts_from_limiters_outside_its_subset() {
    let limiters_using_it = (0..100).filter(|position| {
        let mut limiter = SimulatedLimiter::new(Settings { limiters: 100, ..settings(*position) }, 60);
        let starting = |n| ServerEntry { started: limiter.now, ..server_entry(n) };
        let draining = |n| ServerEntry { condition: Condition::Draining, ..server_entry(n) };
        limiter
            .update_servers(true, (0..60).map(|n| if n == 33 { starting(n) } else { draining(n) }).collect());
        (0..50).any(|id| {
            !sent_to(&limiter.submit(request(id, SAFE, UNLIMITED))).is_empty()
                || !sent_to(&limiter.advance(20.0)).is_empty()
        })
    });
    assert!((4..=9).contains(&limiters_using_it.count()));
}

/// Guards against an overload of the first servers when a whole fleet stops and starts again together and the
/// list reports the servers one after another: the first ones must not get the load of all.
#[test]
fn first_server_of_a_restarting_fleet_is_not_overloaded() {
    let mut limiter = SimulatedLimiter::new(settings(0), 3);
    let mut id = 0;
    let mut submit = |limiter: &mut SimulatedLimiter| {
        id += 1;
        let servers = sent_to(&limiter.submit(request(id, SAFE, UNLIMITED)));
        limiter.advance(10.0);
        if !servers.is_empty() {
            limiter.end_attempt(id, 0, Outcome::Ok, 10.0);
        }
        servers
    };
    (0..1000).for_each(|_| drop(submit(&mut limiter)));
    let removed = |n| ServerEntry { condition: Condition::Gone, ..server_entry(n) };
    for n in 0..3 {
        limiter.update_servers(false, vec![removed(n)]);
        (0..50).for_each(|_| drop(submit(&mut limiter)));
    }
    (0..300).for_each(|_| drop(submit(&mut limiter)));
    limiter.update_servers(false, vec![ServerEntry { started: limiter.now, ..server_entry(0) }]);
    let attempts: usize = (0..200).map(|_| submit(&mut limiter).len()).sum();
    // 100 requests a second over three servers: after slow start each gets 33. In slow start, for 2 s, it
    // gets half of `fall_multiple` (three) times a fifth to two fifths of that.
    assert!((1..=39).contains(&attempts), "{attempts} attempts");
}

/// Guards against an overload of a small server in slow start: it must not get as much as a large one.
#[test]
fn servers_in_slow_start_get_their_share_by_size() {
    let mut limiter = SimulatedLimiter::new(settings(0), 2);
    let started = limiter.now + 5000.0;
    let mut attempts = [0, 0];
    for id in 0..700 {
        if id == 500 {
            let sized = |n, weight| ServerEntry { started, weight, ..server_entry(n) };
            limiter.update_servers(false, vec![sized(0, 0.2), sized(1, 1.8)]);
            attempts = [0, 0];
        }
        let mut actions = limiter.submit(request(id, SAFE, UNLIMITED));
        actions.extend(limiter.advance(10.0));
        for action in actions {
            let Action::Send { id, server, .. } = action else { continue };
            attempts[usize::from(server == server_id(1))] += 1;
            limiter.end_attempt(id, 0, Outcome::Ok, 10.0);
        }
    }
    // 100 requests a second over two servers for 2 s: after slow start equal ones would get 100 each. In slow start
    // they would get half of `fall_multiple` (three) times a fifth to 36% of that, 42, and one that was saved.
    // These get 0.2 and 1.8 times as much.
    let [small, large] = attempts;
    assert!((1..=9).contains(&small), "{small} attempts at the small server");
    assert!(
        (4 * small..=77).contains(&large),
        "{large} attempts at the large server, {small} at the small one"
    );
}

#[test]
fn limiter_without_replies_spends_only_its_equal_share_of_a_ceiling() {
    let mut limiter = SimulatedLimiter::new(settings(0), 5);
    limiter.advance(60_000.0);
    let mut units = 0.0;
    for id in 0..500 {
        let r = Request { units: 2.0, ..request(id, SAFE, WITH_CEILING) };
        units += 2.0 * sent_to(&limiter.submit(r)).len() as f64;
        limiter.end_attempt(id, 0, Outcome::Ok, 5.0);
    }
    // A third of a burst of 60 units and of a slack of 3 units.
    assert!(units <= 21.0, "{units} units");
}

#[test]
fn share_of_a_ceiling_is_empty_at_the_start() {
    let mut limiter = SimulatedLimiter::new(settings(0), 5);
    let mut units = 0.0;
    for id in 0..100 {
        units += sent_to(&limiter.submit(request(id, SAFE, WITH_CEILING))).len() as f64;
    }
    assert!(units <= 1.0, "{units} units at the start");
    limiter.advance(1000.0);
    for id in 100..200 {
        units += sent_to(&limiter.submit(request(id, SAFE, WITH_CEILING))).len() as f64;
    }
    // 0.6 units a second as a quota owner of low rank, 1.2 as one of three members.
    assert!((1.0..=4.0).contains(&units), "{units} units after a second");
}

#[test]
fn queued_retry_of_a_keyed_request_ends_with_its_window() {
    let mut s = settings(0);
    s.classes[KEYED].window_ms = 200.0;
    let mut limiter = SimulatedLimiter::new(s, 1);
    limiter.submit(request(1, KEYED, UNLIMITED));
    limiter.update_servers(true, vec![]);
    assert!(limiter.end_attempt(1, 0, Outcome::Error, 5.0).is_empty(), "queued, because no server is left");
    let mut after = limiter.advance(150.0);
    limiter.now += 100.0;
    after.extend(limiter.update_servers(true, vec![server_entry(2)]));
    assert!(sent_to(&after).is_empty() && failed(&after));
}

#[test]
fn second_outcome_of_an_attempt_is_ignored() {
    let mut limiter = SimulatedLimiter::new(settings(0), 3);
    limiter.submit(request(1, SAFE, UNLIMITED));
    assert_eq!(sent_to(&limiter.end_attempt(1, 0, Outcome::Error, 5.0)).len(), 1);
    assert!(limiter.end_attempt(1, 0, Outcome::Error, 5.0).is_empty(), "attempt 1 is outstanding");
}

/// Guards against a process that wakes up for every time-out of requests that ended long ago.
#[test]
fn timers_of_an_ended_request_are_not_needed() {
    let mut limiter = SimulatedLimiter::new(settings(0), 3);
    let before = limiter.needed_timers();
    limiter.submit(request(1, SAFE, UNLIMITED));
    assert!(
        limiter.needed_timers() >= before + 3,
        "timers for deadline, target latency and unresponsive server"
    );
    limiter.end_attempt(1, 0, Outcome::Ok, 50.0);
    assert_eq!(limiter.needed_timers(), before);
}

/// A refusal comes at once and says when to retry, if the settings allow such advice.
#[test]
fn refusal_says_when_to_retry() {
    let retry_ms = |may_advise: bool, plan: usize| {
        let mut limiter = SimulatedLimiter::new(Settings { may_advise, limiters: 1, ..settings(0) }, 0);
        let mut all = limiter.submit(Request { units: 2.0, spread: 1, ..request(1, SAFE, plan) });
        all.extend(limiter.advance(3000.0));
        all.iter().find_map(|a| if let Action::Refuse { retry_ms, .. } = a { Some(*retry_ms) } else { None })
    };
    assert_eq!(retry_ms(true, RATE_LIMITED), Some(2000.0 / 6.0));
    assert_eq!(retry_ms(true, UNLIMITED), Some(250.0));
    assert_eq!(retry_ms(false, RATE_LIMITED), Some(0.0));
}

/// Only attempts that are safe to stop are cancelled when their client disconnects, and the server's health
/// is not affected.
#[test]
fn attempts_of_a_disconnected_client_are_cancelled_only_if_safe() {
    for (class, cancelled) in [(SAFE, true), (KEYED, false), (UNSAFE, false)] {
        let mut limiter = SimulatedLimiter::new(settings(0), 2);
        assert_eq!(sent_to(&limiter.submit(request(1, class, UNLIMITED))).len(), 1);
        let actions = limiter.handle(Event::ClientDisconnected { id: 1 });
        let cancels = actions.iter().filter(|a| matches!(a, Action::Cancel { id: 1, attempt: 0 })).count();
        assert_eq!(cancels, usize::from(cancelled), "class {class}");
        assert!(!actions
            .iter()
            .any(|a| matches!(a, Action::Send { .. } | Action::Refuse { .. } | Action::Fail { .. })));
        let after = limiter.end_attempt(1, 0, if cancelled { Outcome::Cancelled } else { Outcome::Ok }, 20.0);
        assert!(sent_to(&after).is_empty(), "no retry for a disconnected client");
    }
    // A server still gets its share after dozens of its clients have disconnected.
    let mut limiter = SimulatedLimiter::new(settings(0), 1);
    for id in 0..40 {
        limiter.submit(request(id, SAFE, UNLIMITED));
        limiter.advance(5.0);
        limiter.handle(Event::ClientDisconnected { id });
        limiter.end_attempt(id, 0, Outcome::Cancelled, 5.0);
    }
    assert_eq!(sent_to(&limiter.submit(request(100, SAFE, UNLIMITED))).len(), 1);
}
