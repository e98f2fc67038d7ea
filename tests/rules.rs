//! The five rules, each kept by one limiter alone.

mod common;
use common::*;
use fawnhill::*;

#[test]
fn a_request_without_any_server_is_refused_before_the_client_leaves() {
    let mut rig = Rig::new(settings(0), 0);
    assert!(rig.ask(request(1, SAFE, FREE)).is_empty(), "held at first");
    assert!(refused(&rig.pass(2999.0)));
}

#[test]
fn an_attempt_out_at_the_deadline_ends_in_one_answer_in_time() {
    let mut s = settings(0);
    s.classes[UNSAFE].late_worth = 0.2;
    let mut rig = Rig::new(s, 3);
    assert_eq!(sent(&rig.ask(request(1, UNSAFE, FREE))).len(), 1);
    assert!(!failed(&rig.pass(2900.0)), "a late answer still earns something");
    let end = rig.pass(98.0);
    assert!(failed(&end) && !refused(&end), "it may have run: no promise");
    assert!(
        rig.pass(5000.0).iter().all(|a| matches!(a, Action::SendMessage { .. })),
        "nothing after the end"
    );
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_sent_again() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Severed, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(0), 3);
        rig.ask(request(1, UNSAFE, FREE));
        let after = rig.ended(1, 0, outcome, 5.0);
        assert!(failed(&after) && sent(&after).is_empty(), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_request_proved_never_to_have_run_goes_elsewhere() {
    for outcome in [Outcome::Full, Outcome::NoConnection] {
        let mut rig = Rig::new(settings(0), 3);
        let first = sent(&rig.ask(request(1, UNSAFE, FREE)));
        let second = sent(&rig.ended(1, 0, outcome, 5.0));
        assert_eq!(second.len(), 1, "{outcome:?}");
        assert_ne!(first, second);
    }
}

#[test]
fn a_keyed_request_is_not_repeated_after_its_window() {
    let mut s = settings(0);
    s.classes[KEYED].window_ms = 300.0;
    let mut rig = Rig::new(s.clone(), 3);
    rig.ask(request(1, KEYED, FREE));
    rig.pass(200.0);
    assert_eq!(sent(&rig.ended(1, 0, Outcome::Error, 200.0)).len(), 1, "inside the window");
    let mut rig = Rig::new(s, 3);
    rig.ask(request(1, KEYED, FREE));
    rig.pass(310.0);
    let after = rig.ended(1, 0, Outcome::Error, 310.0);
    assert!(sent(&after).is_empty() && failed(&after));
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_zone() {
    let mut s = settings(0);
    s.classes[KEYED].group = KeyGroup::Zone;
    let mut rig = Rig::new(s, 0);
    let other = ServerEntry { zone: 1, ..entry(2) };
    rig.list(true, vec![entry(1), other]);
    let first = sent(&rig.ask(request(1, KEYED, FREE)));
    let again = sent(&rig.ended(1, 0, Outcome::Error, 5.0));
    assert_eq!(first, again, "only the server of the same zone drops the repeat");
}

/// The server leaves the list while the attempt is out, and then its connection breaks. Guards against a repeat in another
/// group of servers, which would not know it: the place was looked up when the attempt ended, and none was found.
#[test]
fn a_keyed_request_stays_in_its_group_when_its_server_leaves_the_list_meanwhile() {
    for group in [KeyGroup::Zone, KeyGroup::Cell] {
        let mut s = settings(0);
        s.classes[KEYED].group = group;
        let mut rig = Rig::new(s, 0);
        let first = ServerEntry { zone: 1, cell: 4, ..entry(1) };
        rig.list(true, vec![first]);
        assert_eq!(sent(&rig.ask(request(1, KEYED, FREE))).len(), 1);
        let others =
            vec![ServerEntry { zone: 0, cell: 0, ..entry(2) }, ServerEntry { zone: 0, cell: 0, ..entry(3) }];
        rig.list(true, others);
        let after = rig.ended(1, 0, Outcome::Severed, 5.0);
        assert!(sent(&after).is_empty(), "{group:?}");
    }
}

#[test]
fn attempts_stop_at_the_limit() {
    let mut rig = Rig::new(settings(0), 5);
    rig.ask(request(1, SAFE, FREE));
    assert_eq!(sent(&rig.ended(1, 0, Outcome::Error, 5.0)).len(), 1);
    assert_eq!(sent(&rig.ended(1, 1, Outcome::Error, 5.0)).len(), 1);
    assert!(refused(&rig.ended(1, 2, Outcome::Error, 5.0)));
}

#[test]
fn nothing_new_goes_to_a_draining_or_gone_server() {
    for condition in [Condition::Draining, Condition::Gone] {
        let mut rig = Rig::new(settings(0), 2);
        rig.list(false, vec![ServerEntry { condition, ..entry(0) }]);
        for id in 0..50 {
            assert!(sent(&rig.ask(request(id, SAFE, FREE))).iter().all(|s| *s == server(1)));
        }
    }
}

#[test]
fn a_server_missing_from_a_whole_list_is_gone() {
    let mut rig = Rig::new(settings(0), 2);
    rig.list(true, vec![entry(1)]);
    for id in 0..50 {
        assert!(sent(&rig.ask(request(id, SAFE, FREE))).iter().all(|s| *s == server(1)));
    }
}

/// A limiter whose clock shows more than two hours.
fn long_after_start(servers: u32) -> Rig {
    let mut rig = Rig::new(settings(0), servers);
    rig.now += 8_000_000.0;
    rig.pass(1000.0);
    rig
}

/// How many of 200 requests within 2 s go to a server that is told of when it starts, its start being off by so much.
fn sends_to_a_server_that_starts(off_ms: Millis) -> usize {
    let mut rig = long_after_start(3);
    rig.list(true, (0..3).map(entry).collect());
    rig.list(false, vec![ServerEntry { started: rig.now + off_ms, ..entry(9) }]);
    let mut cold = 0;
    for id in 0..200 {
        let to = sent(&rig.ask(request(id, SAFE, FREE)));
        cold += to.iter().filter(|s| **s == server(9)).count();
        rig.pass(10.0);
        rig.ended(id, 0, Outcome::Ok, 10.0);
    }
    cold
}

#[test]
fn a_cold_server_gets_its_part_only() {
    // 100 a second over four servers for 2 s: an even share would be 50, a fifth to two fifths of it is right.
    let cold = sends_to_a_server_that_starts(0.0);
    assert!((1..=20).contains(&cold), "{cold}");
}

/// The wall clock of this machine, or of the server's, was stepped by an hour before this process read it. Guards against a
/// server that has just started and is taken for warm.
#[test]
fn a_cold_server_gets_its_part_only_where_a_wall_clock_was_stepped() {
    for off_ms in [-3_600_000.0, 3_600_000.0] {
        let cold = sends_to_a_server_that_starts(off_ms);
        assert!((1..=20).contains(&cold), "{cold} with a start that is off by {off_ms} ms");
    }
}

/// The same for one whose process starts again under its id, also where its own clock was set back in between.
#[test]
fn a_server_that_starts_again_is_cold_where_a_wall_clock_was_stepped() {
    for (before, off_ms) in [(0.0, -3_600_000.0), (-5000.0, -3_600_000.0), (-5000.0, -9000.0)] {
        let mut rig = long_after_start(3);
        let start = |rig: &Rig, ms: Millis| if ms == 0.0 { 0.0 } else { rig.now + ms };
        let known = ServerEntry { started: start(&rig, before), ..entry(9) };
        rig.list(true, (0..3).map(entry).chain([known]).collect());
        rig.pass(20_000.0);
        rig.list(false, vec![ServerEntry { started: rig.now - 20_000.0 + off_ms, ..entry(9) }]);
        let to: Vec<_> = (0..40).flat_map(|id| sent(&rig.ask(request(id, SAFE, FREE)))).collect();
        let cold = to.iter().filter(|s| **s == server(9)).count();
        assert!(cold <= 1, "{cold} of 40 at once, told {before} before and {off_ms} now");
    }
}

/// A cold server's part is reckoned for the limiters whose own it is: one more would be beyond it, even with nothing else left.
#[test]
fn a_cold_server_gets_nothing_from_limiters_whose_own_it_is_not() {
    let users = (0..100).filter(|position| {
        let mut rig = Rig::new(Settings { limiters: 100, ..settings(*position) }, 60);
        let cold = |n| ServerEntry { started: rig.now, ..entry(n) };
        let drains = |n| ServerEntry { condition: Condition::Draining, ..entry(n) };
        rig.list(true, (0..60).map(|n| if n == 33 { cold(n) } else { drains(n) }).collect());
        (0..50).any(|id| {
            !sent(&rig.ask(request(id, SAFE, FREE))).is_empty() || !sent(&rig.pass(20.0)).is_empty()
        })
    });
    assert!((4..=9).contains(&users.count()));
}

/// All nodes of a fleet end and start together, and the list tells of one after another: the first ones must not get what
/// all together would. Found by rehearsing such a day.
#[test]
fn the_first_of_a_fleet_that_comes_back_is_not_pushed_over() {
    let mut rig = Rig::new(settings(0), 3);
    let mut id = 0;
    let mut ask = |rig: &mut Rig| {
        id += 1;
        let to = sent(&rig.ask(request(id, SAFE, FREE)));
        rig.pass(10.0);
        if !to.is_empty() {
            rig.ended(id, 0, Outcome::Ok, 10.0);
        }
        to
    };
    (0..1000).for_each(|_| drop(ask(&mut rig)));
    let gone = |n| ServerEntry { condition: Condition::Gone, ..entry(n) };
    for n in 0..3 {
        rig.list(false, vec![gone(n)]);
        (0..50).for_each(|_| drop(ask(&mut rig)));
    }
    (0..300).for_each(|_| drop(ask(&mut rig)));
    rig.list(false, vec![ServerEntry { started: rig.now, ..entry(0) }]);
    let first: usize = (0..200).map(|_| ask(&mut rig).len()).sum();
    // 100 a second over three servers: a warm one has 33, and a cold one half the multiple of three times a fifth to two
    // fifths of that for 2 s.
    assert!((1..=39).contains(&first), "{first}");
}

#[test]
fn a_ceiling_is_spent_by_the_even_part_only() {
    let mut rig = Rig::new(settings(0), 5);
    rig.pass(60_000.0);
    let mut units = 0.0;
    for id in 0..500 {
        let r = Request { units: 2.0, ..request(id, SAFE, CEILED) };
        units += 2.0 * sent(&rig.ask(r)).len() as f64;
        rig.ended(id, 0, Outcome::Ok, 5.0);
    }
    // A third of 60 units and of 3 units of slack.
    assert!(units <= 21.0, "{units}");
}

#[test]
fn a_fresh_limiter_owns_no_full_part_of_a_ceiling() {
    let mut rig = Rig::new(settings(0), 5);
    let mut units = 0.0;
    for id in 0..100 {
        units += sent(&rig.ask(request(id, SAFE, CEILED))).len() as f64;
    }
    assert!(units <= 1.0, "{units}");
    rig.pass(1000.0);
    for id in 100..200 {
        units += sent(&rig.ask(request(id, SAFE, CEILED))).len() as f64;
    }
    // As a late keeper 0.6 units a second, as one of three members 1.2.
    assert!((1.0..=4.0).contains(&units), "{units}");
}

#[test]
fn a_held_repeat_of_a_keyed_request_ends_when_its_window_is_over() {
    let mut s = settings(0);
    s.classes[KEYED].window_ms = 200.0;
    let mut rig = Rig::new(s, 1);
    rig.ask(request(1, KEYED, FREE));
    rig.list(true, vec![]);
    assert!(rig.ended(1, 0, Outcome::Error, 5.0).is_empty(), "held: no server is left");
    let mut after = rig.pass(150.0);
    rig.now += 100.0;
    after.extend(rig.list(true, vec![entry(2)]));
    assert!(sent(&after).is_empty() && failed(&after));
}

#[test]
fn a_second_outcome_of_an_attempt_changes_nothing() {
    let mut rig = Rig::new(settings(0), 3);
    rig.ask(request(1, SAFE, FREE));
    assert_eq!(sent(&rig.ended(1, 0, Outcome::Error, 5.0)).len(), 1);
    assert!(rig.ended(1, 0, Outcome::Error, 5.0).is_empty(), "attempt 1 is still out");
}

/// Guards against a process woken for every time-out of requests that ended long ago.
#[test]
fn wake_ups_for_an_ended_request_are_not_wanted() {
    let mut rig = Rig::new(settings(0), 3);
    let before = rig.wanted();
    rig.ask(request(1, SAFE, FREE));
    assert!(rig.wanted() >= before + 3, "its deadline, its aim and its silence");
    rig.ended(1, 0, Outcome::Ok, 50.0);
    assert_eq!(rig.wanted(), before);
}

/// A refusal comes at once and says when to come back, where clients are given advice.
#[test]
fn a_refusal_tells_when_to_come_back() {
    let advice = |may_advise: bool, plan: usize| {
        let mut rig = Rig::new(Settings { may_advise, limiters: 1, ..settings(0) }, 0);
        let mut all = rig.ask(Request { units: 2.0, spread: 1, ..request(1, SAFE, plan) });
        all.extend(rig.pass(3000.0));
        all.iter().find_map(|a| if let Action::Refuse { retry_ms, .. } = a { Some(*retry_ms) } else { None })
    };
    assert_eq!(advice(true, RATED), Some(2000.0 / 6.0));
    assert_eq!(advice(true, FREE), Some(250.0));
    assert_eq!(advice(false, RATED), Some(0.0));
}

/// Of what is out for a client that has left, only what is safe to stop is called off, and its server is not blamed.
#[test]
fn what_is_out_for_a_client_that_left_is_called_off_if_that_is_safe() {
    for (class, called_off) in [(SAFE, true), (KEYED, false), (UNSAFE, false)] {
        let mut rig = Rig::new(settings(0), 2);
        assert_eq!(sent(&rig.ask(request(1, class, FREE))).len(), 1);
        let out = rig.give(Event::ClientDisconnected { id: 1 });
        let cancels = out.iter().filter(|a| matches!(a, Action::Cancel { id: 1, attempt: 0 })).count();
        assert_eq!(cancels, usize::from(called_off), "class {class}");
        assert!(!out
            .iter()
            .any(|a| matches!(a, Action::Send { .. } | Action::Refuse { .. } | Action::Fail { .. })));
        let after = rig.ended(1, 0, if called_off { Outcome::Cancelled } else { Outcome::Ok }, 20.0);
        assert!(sent(&after).is_empty(), "nothing goes out for it again");
    }
    // Clients that leave by the dozen do not make a server look bad: it still gets its share.
    let mut rig = Rig::new(settings(0), 1);
    for id in 0..40 {
        rig.ask(request(id, SAFE, FREE));
        rig.pass(5.0);
        rig.give(Event::ClientDisconnected { id });
        rig.ended(id, 0, Outcome::Cancelled, 5.0);
    }
    assert_eq!(sent(&rig.ask(request(100, SAFE, FREE))).len(), 1);
}
