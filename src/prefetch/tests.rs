//! What a keeper counts of units asked for ahead under a ceiling, and what a member makes of them after a pause.

use super::*;
use crate::accounts::part;
use crate::state::WAKE_STEP;

const BEGAN: Millis = 1_000_000.0;
const CUSTOMER: CustomerId = 7;

fn settings(position: u32) -> Settings {
    let class =
        Class { aim_ms: 1000.0, late_worth: 0.0, effect: Effect::Safe, group: KeyGroup::All, window_ms: 0.0 };
    // The quota is so far above the ceiling that the ceiling alone decides.
    let plan = Plan {
        rate: 1000.0,
        burst: 4000.0,
        open: 0,
        ceiling_rate: 10.0,
        ceiling_burst: 100.0,
        ceiling_slack: 5.0,
    };
    Settings {
        limiters: 3,
        position,
        zone: 0,
        classes: vec![class],
        plans: vec![plan],
        round_ms: 1.0,
        max_attempts: 3,
        connect_timeout_ms: 250.0,
        may_probe: false,
        may_tell: true,
        may_cancel: true,
        may_advise: true,
        messages_per_s: 1000.0,
        must_subscribe: false,
        cold_share: 0.2,
        cold_ms: 10_000.0,
        fall_multiple: 3.0,
        fall_ms: 2000.0,
        firms: 1000,
    }
}

fn first_keeper() -> u32 {
    keeper(CUSTOMER, (0, 3), 3, 0).expect("a keeper")
}

/// The customer's first keeper, `on` or not, when its part of the ceiling has filled.
fn filled(on: bool) -> Limiter {
    let mut limiter = Limiter::new(settings(first_keeper()), 1, BEGAN).expect("legal settings");
    if on {
        limiter.enable_prefetch(100);
    }
    at(&mut limiter, BEGAN + 60_000.0);
    limiter
}

fn at(limiter: &mut Limiter, now: Millis) {
    limiter.handle(now, Event::Wake { token: WAKE_STEP }, &mut Vec::new());
}

fn ask(id: RequestId, units: f32) -> Ask {
    Ask { id, customer: CUSTOMER, plan: 0, first: 0, spread: 3, units, unasked: 0.0, spent: false }
}

/// Units that other members are granted now, one by one.
fn room(limiter: &mut Limiter, first: RequestId) -> f64 {
    let ids = first..first + 1000;
    let granted = |id: &RequestId| limiter.judge(9, 1, &ask(*id, 1.0)).is_some_and(|word| word.granted);
    ids.take_while(granted).count() as f64
}

fn whole() -> f64 {
    let plan = &settings(0).plans[0];
    ((plan.ceiling_burst + plan.ceiling_slack) * part(plan, 0)).floor()
}

#[test]
fn units_asked_for_ahead_count_against_the_depth_for_as_long_as_they_may_be_spent() {
    let mut keeper = filled(true);
    let word = keeper.judge(9, 1, &ask(AHEAD_BIT | 5, 20.0)).expect("a word");
    assert!(word.granted && word.kept);
    // The store has filled again by then, and the 20 may be out there still.
    let later = keeper.now + HELD_MS + GRANT_MS - 100.0;
    at(&mut keeper, later);
    let held = room(&mut keeper, 1);
    assert!(held <= whole() - 20.0 && held >= whole() - 21.0, "{held} of {}", whole());
    // Once they have surely lapsed the whole depth fills again.
    at(&mut keeper, later + 200.0);
    at(&mut keeper, later + 60_000.0);
    assert_eq!(room(&mut keeper, 2000), whole());
}

#[test]
fn what_a_member_says_is_over_counts_no_more_and_what_it_did_not_use_comes_back() {
    let mut limiter = filled(true);
    limiter.judge(9, 1, &ask(AHEAD_BIT | 5, 20.0)).expect("a word");
    limiter.on_done((9, 1, AHEAD_BIT | 5), 5.0);
    // 15 came back at once, and 5 are spent.
    assert_eq!(room(&mut limiter, 1), whole() - 5.0);
    // Said again it moves nothing.
    limiter.on_done((9, 1, AHEAD_BIT | 5), 0.0);
    assert_eq!(room(&mut limiter, 2000), 0.0);
}

/// Whoever does not hold units ahead in this fleet counts an ask ahead as any: its member must not hold it for long.
#[test]
fn a_keeper_that_is_not_told_to_says_that_it_does_not_keep() {
    let mut limiter = filled(false);
    let word = limiter.judge(9, 1, &ask(AHEAD_BIT | 5, 20.0)).expect("a word");
    assert!(word.granted && !word.kept);
}

/// What the process before granted ahead may be spent still: nothing is granted until that has lapsed.
#[test]
fn a_keeper_that_starts_waits_until_what_was_held_ahead_has_lapsed() {
    let from_start = |on: bool, after: Millis| {
        let mut limiter = Limiter::new(settings(first_keeper()), 1, BEGAN).expect("legal settings");
        if on {
            limiter.enable_prefetch(100);
        }
        // It owes its slack at the start, and fills from then on.
        let owed_ms = 1000.0 * (1.0 + 2.0 * 5.0 * 0.62) / (10.0 * 0.62);
        at(&mut limiter, BEGAN + after + owed_ms);
        room(&mut limiter, 1)
    };
    assert!(from_start(false, GRANT_MS) >= 1.0);
    assert!(from_start(true, GRANT_MS) < from_start(false, GRANT_MS));
    assert_eq!(from_start(true, GRANT_MS + HELD_MS), from_start(false, GRANT_MS));
}

/// Clients come no sooner than the ceilings can have begun to fill, as without it.
#[test]
fn it_is_ready_as_much_later_as_its_ceilings_fill() {
    let ready_ms = |on: bool| {
        let mut limiter = Limiter::new(settings(0), 1, BEGAN).expect("legal settings");
        if on {
            limiter.enable_prefetch(100);
        }
        (0..200).map(|n| 100.0 * f64::from(n)).find(|ms| limiter.is_ready(BEGAN + ms)).expect("it gets ready")
    };
    assert_eq!(ready_ms(true), ready_ms(false) + HELD_MS);
}

/// A member whose keeper is another.
fn member() -> Limiter {
    let position = (first_keeper() + 1) % 3;
    let mut limiter = Limiter::new(settings(position), 1, BEGAN).expect("legal settings");
    limiter.enable_prefetch(100);
    let server = ServerEntry {
        server: "s".into(),
        zone: 0,
        cell: 0,
        condition: Condition::Serving,
        weight: 1.0,
        started: 0.0,
    };
    limiter.handle(BEGAN, Event::Servers { whole: true, entries: [server].into() }, &mut Vec::new());
    limiter
}

/// Gives it requests until it has asked ahead, and that ask's word; the units that it holds then.
fn hold(limiter: &mut Limiter, kept: bool, first: RequestId) -> f64 {
    let mut out = Vec::new();
    for id in first..first + 40 {
        let request = Request {
            id,
            class: 0,
            plan: 0,
            customer: CUSTOMER,
            budget_ms: 3000.0,
            units: 1.0,
            spread: 3,
            first: 0,
        };
        let now = limiter.now + 1.0;
        limiter.handle(now, Event::Request(request), &mut out);
    }
    let held = &limiter.prefetch.as_ref().expect("on").held[&CUSTOMER];
    let id = held.out.expect("an ask ahead").id;
    let born = limiter.incarnation;
    let word = Word { id, customer: CUSTOMER, born, granted: true, kept, over: 0.5, left: 3000.0 };
    limiter.word_ahead(first_keeper(), &word);
    units(limiter)
}

fn units(limiter: &Limiter) -> f64 {
    limiter.prefetch.as_ref().expect("on").held[&CUSTOMER].parts.iter().map(|part| part.left).sum()
}

fn spends(limiter: &mut Limiter, now: Millis, id: RequestId) -> Ahead {
    limiter.now = now;
    let request = Request {
        id,
        class: 0,
        plan: 0,
        customer: CUSTOMER,
        budget_ms: 3000.0,
        units: 1.0,
        spread: 3,
        first: 0,
    };
    limiter.requests.insert(id, Open::new(request, now, now + 3000.0));
    limiter.spend_ahead(id)
}

#[test]
fn after_a_pause_nothing_is_spent_that_has_lapsed_meanwhile() {
    for (kept, life) in [(true, HELD_MS), (false, CEILED_MS)] {
        let mut limiter = member();
        assert!(hold(&mut limiter, kept, 0) >= 1.0);
        let held = &limiter.prefetch.as_ref().expect("on").held[&CUSTOMER];
        let asked = held.parts[0].asked;
        let (before, after) = (asked + life - 1.0, asked + life);
        assert_eq!(spends(&mut limiter, before, 900), Ahead::Spent, "kept {kept}");
        // No look came in between, as when the process stood still.
        assert_ne!(spends(&mut limiter, after, 901), Ahead::Spent, "kept {kept}");
    }
}

/// At a keeper that forgets it soon a request must go out in the time of a request, counted from the ask ahead.
#[test]
fn a_request_that_waits_for_a_server_counts_from_the_ask_where_the_keeper_does_not_keep() {
    let mut limiter = member();
    hold(&mut limiter, false, 0);
    let asked = limiter.prefetch.as_ref().expect("on").held[&CUSTOMER].parts[0].asked;
    assert_eq!(spends(&mut limiter, asked + 100.0, 900), Ahead::Spent);
    assert_eq!(limiter.requests[&900].lent_from, asked);
    let mut limiter = member();
    hold(&mut limiter, true, 0);
    let asked = limiter.prefetch.as_ref().expect("on").held[&CUSTOMER].parts[0].asked;
    assert_eq!(spends(&mut limiter, asked + 100.0, 900), Ahead::Spent);
    assert_eq!(limiter.requests[&900].lent_from, asked + 100.0);
}

#[test]
fn a_word_that_comes_twice_or_late_gives_nothing_more() {
    let mut limiter = member();
    let held = hold(&mut limiter, true, 0);
    let id = limiter.prefetch.as_ref().expect("on").held[&CUSTOMER].parts[0].id;
    let word = Word {
        id,
        customer: CUSTOMER,
        born: limiter.incarnation,
        granted: true,
        kept: true,
        over: 0.5,
        left: 3000.0,
    };
    limiter.word_ahead(first_keeper(), &word);
    assert_eq!(units(&limiter), held);
}

/// What is told to a successor as lent counts there for as long as here.
#[test]
fn a_successor_counts_what_was_lent_ahead_to_its_end() {
    let mut lent = Lent { keeps: true, ..Lent::default() };
    lent.lend(100.0, (1, 1, AHEAD_BIT | 1), CUSTOMER, 4.0);
    lent.lend(100.0, (1, 1, 1), CUSTOMER, 2.0);
    let mut next = Lent::default();
    next.hear(lent.told());
    assert_eq!(next.lapsed(100.0 + GRANT_MS + 1.0), Some((CUSTOMER, 2.0)));
    assert_eq!(next.lapsed(100.0 + GRANT_MS + HELD_MS - 1.0), None);
    assert_eq!(next.lapsed(100.0 + GRANT_MS + HELD_MS + 1.0), Some((CUSTOMER, 4.0)));
}
