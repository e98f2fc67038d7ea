//! How a quota owner counts prefetched units under a ceiling, and how a member treats them after a stall.

use super::*;
use crate::accounts::ceiling_fraction;
use crate::state::WAKE_STEP;

const START_MS: Millis = 1_000_000.0;
const CUSTOMER: CustomerId = 7;

fn settings(position: u32) -> Settings {
    let class =
        Class { aim_ms: 1000.0, late_worth: 0.0, effect: Effect::Safe, group: KeyGroup::All, window_ms: 0.0 };
    // The quota is far above the ceiling, so that only the ceiling decides.
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

fn first_owner() -> u32 {
    quota_owner(CUSTOMER, (0, 3), 3, 0).expect("a quota owner")
}

/// The customer's first quota owner when its part of the ceiling has filled; prefetch is on if `enabled`.
fn owner_with_full_ceiling(enabled: bool) -> Limiter {
    let mut limiter = Limiter::new(settings(first_owner()), 1, START_MS).expect("valid settings");
    if enabled {
        limiter.enable_prefetch(100);
    }
    advance(&mut limiter, START_MS + 60_000.0);
    limiter
}

fn advance(limiter: &mut Limiter, now: Millis) {
    limiter.handle(now, Event::Wake { token: WAKE_STEP }, &mut Vec::new());
}

fn ask(id: RequestId, units: f32) -> Ask {
    Ask { id, customer: CUSTOMER, plan: 0, first: 0, spread: 3, units, unreported: 0.0, already_spent: false }
}

/// Units granted to other members now, one by one.
fn grantable_units(limiter: &mut Limiter, first: RequestId) -> f64 {
    let ids = first..first + 1000;
    let granted =
        |id: &RequestId| limiter.answer_ask(9, 1, &ask(*id, 1.0)).is_some_and(|reply| reply.granted);
    ids.take_while(granted).count() as f64
}

fn capacity() -> f64 {
    let plan = &settings(0).plans[0];
    ((plan.ceiling_burst + plan.ceiling_slack) * ceiling_fraction(plan, 0)).floor()
}

#[test]
fn prefetched_units_count_against_the_ceiling_until_they_expire() {
    let mut owner = owner_with_full_ceiling(true);
    let reply = owner.answer_ask(9, 1, &ask(PREFETCH_BIT | 5, 20.0)).expect("a reply");
    assert!(reply.granted && reply.long_lease);
    // The store has filled again by then, and the 20 units may still be in use.
    let later = owner.now + PREFETCH_LIFETIME_MS + GRANT_LIFETIME_MS - 100.0;
    advance(&mut owner, later);
    let prefetched = grantable_units(&mut owner, 1);
    assert!(
        prefetched <= capacity() - 20.0 && prefetched >= capacity() - 21.0,
        "{prefetched} of {}",
        capacity()
    );
    // After they have certainly expired the whole depth fills again.
    advance(&mut owner, later + 200.0);
    advance(&mut owner, later + 60_000.0);
    assert_eq!(grantable_units(&mut owner, 2000), capacity());
}

#[test]
fn a_finished_prefetch_lease_ends_and_its_unused_units_return() {
    let mut limiter = owner_with_full_ceiling(true);
    limiter.answer_ask(9, 1, &ask(PREFETCH_BIT | 5, 20.0)).expect("a reply");
    limiter.on_done((9, 1, PREFETCH_BIT | 5), 5.0);
    // 15 units were returned at once, 5 are spent.
    assert_eq!(grantable_units(&mut limiter, 1), capacity() - 5.0);
    // A repeated report changes nothing.
    limiter.on_done((9, 1, PREFETCH_BIT | 5), 0.0);
    assert_eq!(grantable_units(&mut limiter, 2000), 0.0);
}

/// An owner without prefetch counts a prefetch ask like any other, so its member must not keep the units for
/// long.
#[test]
fn an_owner_without_prefetch_grants_no_long_lease() {
    let mut limiter = owner_with_full_ceiling(false);
    let reply = limiter.answer_ask(9, 1, &ask(PREFETCH_BIT | 5, 20.0)).expect("a reply");
    assert!(reply.granted && !reply.long_lease);
}

/// Units prefetched from the previous process may still be spent: nothing is granted until they have expired.
#[test]
fn a_restarted_owner_waits_until_earlier_prefetch_leases_expire() {
    let from_start = |enabled: bool, after: Millis| {
        let mut limiter = Limiter::new(settings(first_owner()), 1, START_MS).expect("valid settings");
        if enabled {
            limiter.enable_prefetch(100);
        }
        // The ceiling starts at minus its slack and fills from then on.
        let deficit_ms = 1000.0 * (1.0 + 2.0 * 5.0 * 0.62) / (10.0 * 0.62);
        advance(&mut limiter, START_MS + after + deficit_ms);
        grantable_units(&mut limiter, 1)
    };
    assert!(from_start(false, GRANT_LIFETIME_MS) >= 1.0);
    assert!(from_start(true, GRANT_LIFETIME_MS) < from_start(false, GRANT_LIFETIME_MS));
    assert_eq!(
        from_start(true, GRANT_LIFETIME_MS + PREFETCH_LIFETIME_MS),
        from_start(false, GRANT_LIFETIME_MS)
    );
}

/// Clients are accepted only when the ceilings can have begun to fill, with and without prefetch.
#[test]
fn readiness_is_delayed_as_long_as_the_filling_of_ceilings() {
    let ready_ms = |enabled: bool| {
        let mut limiter = Limiter::new(settings(0), 1, START_MS).expect("valid settings");
        if enabled {
            limiter.enable_prefetch(100);
        }
        (0..200)
            .map(|n| 100.0 * f64::from(n))
            .find(|ms| limiter.is_ready(START_MS + ms))
            .expect("becomes ready")
    };
    assert_eq!(ready_ms(true), ready_ms(false) + PREFETCH_LIFETIME_MS);
}

/// A member whose quota owner is another limiter.
fn member() -> Limiter {
    let position = (first_owner() + 1) % 3;
    let mut limiter = Limiter::new(settings(position), 1, START_MS).expect("valid settings");
    limiter.enable_prefetch(100);
    let server = ServerEntry {
        server: "s".into(),
        zone: 0,
        cell: 0,
        condition: Condition::Serving,
        weight: 1.0,
        started: 0.0,
    };
    limiter.handle(START_MS, Event::Servers { whole: true, entries: [server].into() }, &mut Vec::new());
    limiter
}

/// Sends requests until the member has prefetched, and the reply to that ask; returns the units it then has.
fn prefetch_units(limiter: &mut Limiter, long_lease: bool, first: RequestId) -> f64 {
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
    let prefetched = &limiter.prefetch.as_ref().expect("prefetch is enabled").customers[&CUSTOMER];
    let id = prefetched.pending.expect("a prefetch ask").id;
    let incarnation = limiter.incarnation;
    let reply = Reply {
        id,
        customer: CUSTOMER,
        incarnation,
        granted: true,
        long_lease,
        demand: 0.5,
        store_left: 3000.0,
    };
    limiter.on_prefetch_reply(first_owner(), &reply);
    units(limiter)
}

fn units(limiter: &Limiter) -> f64 {
    limiter.prefetch.as_ref().expect("prefetch is enabled").customers[&CUSTOMER]
        .batches
        .iter()
        .map(|batch| batch.left)
        .sum()
}

fn spends(limiter: &mut Limiter, now: Millis, id: RequestId) -> Prefetched {
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
    limiter.requests.insert(id, OpenRequest::new(request, now, now + 3000.0));
    limiter.spend_prefetched(id)
}

#[test]
fn expired_units_are_not_spent_after_a_stall() {
    for (long_lease, lifetime) in [(true, PREFETCH_LIFETIME_MS), (false, CEILING_LIFETIME_MS)] {
        let mut limiter = member();
        assert!(prefetch_units(&mut limiter, long_lease, 0) >= 1.0);
        let prefetched = &limiter.prefetch.as_ref().expect("prefetch is enabled").customers[&CUSTOMER];
        let asked = prefetched.batches[0].asked;
        let (before, after) = (asked + lifetime - 1.0, asked + lifetime);
        assert_eq!(spends(&mut limiter, before, 900), Prefetched::Spent, "long lease {long_lease}");
        // There was no review in between, as after a stall.
        assert_ne!(spends(&mut limiter, after, 901), Prefetched::Spent, "long lease {long_lease}");
    }
}

/// An owner without prefetch support soon stops counting the units, so a request must be sent within the
/// lifetime of a grant, counted from the prefetch ask.
#[test]
fn a_short_lease_counts_from_the_prefetch_ask() {
    let mut limiter = member();
    prefetch_units(&mut limiter, false, 0);
    let asked = limiter.prefetch.as_ref().expect("prefetch is enabled").customers[&CUSTOMER].batches[0].asked;
    assert_eq!(spends(&mut limiter, asked + 100.0, 900), Prefetched::Spent);
    assert_eq!(limiter.requests[&900].leased_from, asked);
    let mut limiter = member();
    prefetch_units(&mut limiter, true, 0);
    let asked = limiter.prefetch.as_ref().expect("prefetch is enabled").customers[&CUSTOMER].batches[0].asked;
    assert_eq!(spends(&mut limiter, asked + 100.0, 900), Prefetched::Spent);
    assert_eq!(limiter.requests[&900].leased_from, asked + 100.0);
}

#[test]
fn a_repeated_reply_adds_no_units() {
    let mut limiter = member();
    let prefetched = prefetch_units(&mut limiter, true, 0);
    let id = limiter.prefetch.as_ref().expect("prefetch is enabled").customers[&CUSTOMER].batches[0].id;
    let reply = Reply {
        id,
        customer: CUSTOMER,
        incarnation: limiter.incarnation,
        granted: true,
        long_lease: true,
        demand: 0.5,
        store_left: 3000.0,
    };
    limiter.on_prefetch_reply(first_owner(), &reply);
    assert_eq!(units(&limiter), prefetched);
}

/// Exported leases count at the successor for as long as here.
#[test]
fn a_successor_counts_prefetch_leases_to_their_end() {
    let mut leases = Leases { prefetch_enabled: true, ..Leases::default() };
    leases.add(100.0, (1, 1, PREFETCH_BIT | 1), CUSTOMER, 4.0);
    leases.add(100.0, (1, 1, 1), CUSTOMER, 2.0);
    let mut next = Leases::default();
    next.import(leases.export());
    assert_eq!(next.pop_expired(100.0 + GRANT_LIFETIME_MS + 1.0), Some((CUSTOMER, 2.0)));
    assert_eq!(next.pop_expired(100.0 + GRANT_LIFETIME_MS + PREFETCH_LIFETIME_MS - 1.0), None);
    assert_eq!(
        next.pop_expired(100.0 + GRANT_LIFETIME_MS + PREFETCH_LIFETIME_MS + 1.0),
        Some((CUSTOMER, 4.0))
    );
}
