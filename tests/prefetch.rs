//! Units held ahead of need: no wait for a word, quotas and ceilings as before, and what happens when words, keepers or
//! members fail.

mod common;
use common::*;
use fawnhill::*;

const MOST: usize = 1000;

/// Three limiters, of which the first `ahead` hold units ahead.
fn tier(ahead: usize) -> Net {
    let mut net = Net::new((0..3).map(settings).collect(), 3, 5);
    net.rigs[..ahead].iter_mut().for_each(|rig| rig.limiter.enable_prefetch(MOST));
    net
}

/// What came of requests of one unit that come evenly at all limiters in turn, `per_s` in all.
#[derive(Default, Debug)]
struct Came {
    asked: u32,
    /// Sent on at once, and later.
    at_once: u32,
    waited: u32,
    refused_at_once: u32,
    /// When each was sent on.
    sends: Vec<Millis>,
}

impl Came {
    fn sent(&self) -> u32 {
        self.at_once + self.waited
    }

    /// Most sends that lie within any so long a time.
    fn most_within(&self, ms: Millis) -> usize {
        let within = |from: &Millis| self.sends.iter().filter(|at| (*from..from + ms).contains(at)).count();
        self.sends.iter().map(within).max().unwrap_or(0)
    }
}

fn drive(net: &mut Net, plan: usize, first: u32, seconds: u32, per_s: u32) -> Came {
    drive_at(net, plan, first, seconds, per_s, |n| n as usize % 3)
}

fn drive_at(
    net: &mut Net,
    plan: usize,
    first: u32,
    seconds: u32,
    per_s: u32,
    place: impl Fn(u32) -> usize,
) -> Came {
    let mut came = Came::default();
    let step = 1000.0 / f64::from(per_s);
    for n in 0..seconds * per_s {
        let (p, id) = (place(n), first + n);
        came.asked += 1;
        let at_once = net.give(p, Event::Request(request(id, SAFE, plan)));
        let mut all: Vec<(usize, Action)> = at_once.into_iter().map(|a| (p, a)).collect();
        let now = all.len();
        let began = net.now;
        all.extend(net.pass(step));
        for (k, (p, a)) in all.iter().enumerate() {
            match a {
                Action::Send { id: of, .. } => {
                    came.sends.push(if k < now { began } else { net.now });
                    match k < now && *of == id {
                        true => came.at_once += 1,
                        false => came.waited += 1,
                    }
                    net.served(*p, *of, 5.0);
                }
                Action::Refuse { id: of, .. } if k < now && *of == id => came.refused_at_once += 1,
                _ => {}
            }
        }
    }
    came
}

#[test]
fn within_a_quota_hardly_anyone_waits_for_a_word() {
    // 5 of 6 units a second, three in four of them at one limiter, each in turn: its own part holds 2 a second.
    for busy in 0..3 {
        let waits = |ahead| {
            let mut net = tier(ahead);
            let place = |n: u32| if n.is_multiple_of(4) { (busy + 1) % 3 } else { busy };
            drive_at(&mut net, RATED, 0, 10, 5, place);
            let came = drive_at(&mut net, RATED, 10_000, 30, 5, place);
            (f64::from(came.waited) / f64::from(came.sent()), came)
        };
        let ((before, _), (after, came)) = (waits(0), waits(3));
        assert!(after < 0.02, "{busy}: {after} for {before}: {came:?}");
        // The third is the customer's keeper: nobody waits there.
        assert!(before > 0.1 || busy == 2, "{busy}: without: {before}");
        assert!(came.sent() >= 148, "{came:?}");
    }
}

#[test]
fn a_customer_beyond_its_quota_gets_its_quota_and_refusals_at_once() {
    let mut net = tier(3);
    let came = drive(&mut net, RATED, 0, 30, 20);
    // 6 units a second for 30 s and a burst of 12, and what members let in before the first words came.
    assert!((160..=205).contains(&came.sent()), "{came:?}");
    assert!(f64::from(came.waited) < 0.03 * f64::from(came.sent()), "{came:?}");
    assert!(came.refused_at_once * 10 > (came.asked - came.sent()) * 9, "{came:?}");
}

/// 12 units a second, a depth of 60, a slack of 3; a message every few milliseconds for each limiter.
fn ceiling_holds(net: &mut Net, what: &str) {
    let came = drive(net, CEILED, 0, 20, 100);
    for ms in [1000.0, 3000.0, 5000.0, 10_000.0] {
        let most = 60.0 + 3.0 + 12.0 * ms / 1000.0;
        assert!(came.most_within(ms) as f64 <= most + 1.0, "{what}: {} in {ms} ms", came.most_within(ms));
    }
    assert!(came.sent() > 150, "{what}: {came:?}");
}

#[test]
fn a_ceiling_holds_with_units_held_ahead_by_some_all_or_none() {
    for ahead in 0..=3 {
        ceiling_holds(&mut tier(ahead), &format!("{ahead} of 3"));
    }
}

#[test]
fn a_ceiling_holds_when_words_are_lost_or_late() {
    for (loss, late) in [(0.3, 10.0), (0.0, 400.0), (0.1, 2000.0)] {
        let mut net = tier(3);
        (net.loss, net.delay_ms) = (loss, (2.0, late));
        let came = drive(&mut net, CEILED, 0, 20, 100);
        for ms in [1000.0, 3000.0, 5000.0, 10_000.0] {
            let most = 60.0 + 3.0 + 12.0 * ms / 1000.0;
            assert!(
                came.most_within(ms) as f64 <= most + 1.0,
                "loss {loss}, late {late}: {}",
                came.most_within(ms)
            );
        }
    }
}

/// A word that comes twice moves nothing the second time.
#[test]
fn a_doubled_word_gives_no_units_twice() {
    let mut rig = Rig::new(settings(0), 3);
    rig.limiter.enable_prefetch(MOST);
    let mut other = Rig::new(settings(1), 3);
    other.limiter.enable_prefetch(MOST);
    let keeper = |customer| {
        // A customer of which the second limiter is the first keeper: its ask goes there.
        let mut probe = Rig::new(settings(0), 3);
        let asked = (0..20).flat_map(|id| probe.ask(Request { customer, ..request(id, SAFE, CEILED) }));
        let to: Vec<u32> =
            asked.filter_map(|a| if let Action::SendMessage { to, .. } = a { to } else { None }).collect();
        to.first().copied()
    };
    let customer = (0..100).find(|c| keeper(*c) == Some(1)).expect("one of a hundred");
    let (mut sent, mut words) = (0, Vec::new());
    let mut given = 0.0;
    for id in 0..1200 {
        let mut out = rig.ask(Request { customer, ..request(id, SAFE, CEILED) });
        out.extend(rig.pass(10.0));
        other.now = rig.now;
        other.pass(0.0);
        for a in out {
            match a {
                Action::Send { id, .. } => {
                    sent += 1;
                    rig.ended(id, 0, Outcome::Ok, 5.0);
                }
                Action::SendMessage { to: Some(1), body } => {
                    for said in other.give(Event::MessageReceived { from: 0, body }) {
                        if let Action::SendMessage { to: Some(0), body } = said {
                            words.push(body);
                        }
                    }
                }
                _ => {}
            }
        }
        for body in std::mem::take(&mut words) {
            for _ in 0..2 {
                let more = rig.give(Event::MessageReceived { from: 1, body: body.clone() });
                for a in more {
                    if let Action::Send { id, .. } = a {
                        sent += 1;
                        rig.ended(id, 0, Outcome::Ok, 5.0);
                    }
                }
            }
        }
        given = rig.now;
    }
    assert!(given > 0.0);
    // The first keeper's part of the ceiling is 0.62 of 12 units a second and of a depth of 60 with its slack of 3, and
    // fills 3 s after its start; the member's own is a tenth.
    let most = 0.72 * (12.0 * 12.0 + 63.0);
    assert!((60.0..=most).contains(&f64::from(sent)), "{sent} of {most}");
    assert!(rig.limiter.prefetch_counts().expect("on").granted > 0);
}

/// The process stands still for 10 s while it holds units: none of them is spent when it goes on.
#[test]
fn a_member_that_stood_still_spends_nothing_that_has_lapsed() {
    let mut net = tier(3);
    drive(&mut net, CEILED, 0, 10, 40);
    let until = net.now + 10_000.0;
    net.stalled = vec![until, 0.0, 0.0];
    // The others use all that the ceiling gives meanwhile.
    drive_at(&mut net, CEILED, 10_000, 10, 60, |n| 1 + n as usize % 2);
    let came = drive(&mut net, CEILED, 20_000, 3, 100);
    for ms in [500.0, 1000.0, 2000.0] {
        let most = 60.0 + 3.0 + 12.0 * ms / 1000.0;
        assert!(came.most_within(ms) as f64 <= most + 1.0, "{} in {ms} ms", came.most_within(ms));
    }
}

/// What is not used comes back to the quota: a customer that falls silent at two limiters has its whole store at the third.
#[test]
fn unused_units_are_given_back() {
    let mut net = tier(3);
    drive(&mut net, RATED, 0, 10, 12);
    net.pass(8000.0);
    let lapsed: f64 =
        net.rigs.iter().filter_map(|rig| rig.limiter.prefetch_counts()).map(|p| p.expired_units).sum();
    assert!(lapsed > 0.0, "something was held when it fell silent");
    let customers: usize =
        net.rigs.iter().filter_map(|rig| rig.limiter.prefetch_counts()).map(|p| p.customers).sum();
    assert_eq!(customers, 0, "nothing is held for a customer that asks no more");
    let came = drive_at(&mut net, RATED, 10_000, 1, 100, |_| 1);
    assert!(came.sent() >= 11, "{came:?}");
}

/// The keeper is killed with units of it held, and starts again: what is let in stays below the ceiling.
#[test]
fn a_keeper_that_dies_and_starts_again_grants_nothing_twice() {
    for keeper in 0..3 {
        let mut net = tier(3);
        let first = drive(&mut net, CEILED, 0, 6, 100);
        net.restart(keeper, settings(keeper as u32), 3, 9);
        net.rigs[keeper].limiter.enable_prefetch(MOST);
        let second = drive(&mut net, CEILED, 10_000, 6, 100);
        let mut both = Came { sends: first.sends, ..second };
        both.sends.extend(second_sends(&mut net, 20_000));
        for ms in [500.0, 1000.0, 3000.0] {
            let most = 60.0 + 3.0 + 12.0 * ms / 1000.0;
            assert!(both.most_within(ms) as f64 <= most + 1.0, "{keeper}: {} in {ms}", both.most_within(ms));
        }
    }
}

fn second_sends(net: &mut Net, first: u32) -> Vec<Millis> {
    drive(net, CEILED, first, 2, 100).sends
}

/// A keeper of the version before, or one that is not told to, answers asks ahead as any: nobody waits for nothing.
#[test]
fn half_of_the_fleet_may_know_nothing_of_it() {
    for ahead in [1, 2] {
        let mut net = tier(ahead);
        let came = drive(&mut net, RATED, 0, 30, 6);
        assert!(came.sent() >= 165, "{ahead}: {came:?}");
    }
}

#[test]
fn no_more_customers_than_told_are_held_for() {
    let mut net = tier(0);
    net.rigs.iter_mut().for_each(|rig| rig.limiter.enable_prefetch(10));
    for id in 0..600 {
        for p in 0..3 {
            let customer = u64::from(id % 200);
            net.give(p, Event::Request(Request { customer, ..request(id, SAFE, RATED) }));
        }
        net.pass(4.0);
    }
    let held: Vec<usize> =
        net.rigs.iter().filter_map(|rig| rig.limiter.prefetch_counts()).map(|p| p.customers).collect();
    assert!(held.iter().all(|n| *n <= 10) && held.iter().any(|n| *n > 0), "{held:?}");
}

/// Off, no ask has a number above those of requests; on, some have.
#[test]
fn only_where_it_is_on_is_anything_asked_for_ahead() {
    let asked_ahead = |on: bool| {
        let mut ahead = 0;
        for position in 0..3 {
            let mut rig = Rig::new(settings(position), 3);
            if on {
                rig.limiter.enable_prefetch(MOST);
            }
            for id in 0..60 {
                let mut out = rig.ask(request(id, SAFE, RATED));
                out.extend(rig.pass(20.0));
                let told = out.iter().filter_map(|a| {
                    if let Action::SendMessage { body, .. } = a {
                        line_kinds(body)
                    } else {
                        None
                    }
                });
                ahead +=
                    told.flatten().filter(|line| matches!(line, LineKind::Ask(id) if id >> 31 == 1)).count();
            }
            assert_eq!(rig.limiter.prefetch_counts().is_some(), on);
        }
        ahead
    };
    assert_eq!(asked_ahead(false), 0);
    assert!(asked_ahead(true) > 0);
}
