//! Floods of names, forgetting and returning: what is bounded, and what quotas and ceilings survive it.

mod common;
use common::*;
use fawnhill::*;

/// One limiter that remembers so many customers.
fn small(firms: u32) -> Settings {
    Settings { limiters: 1, firms, ..settings(0) }
}

fn of(customer: u64, id: RequestId, plan: usize, units: f64) -> Request {
    Request { customer, units, spread: 1, ..request(id, SAFE, plan) }
}

/// A request that is served at once if it is sent on; whether it was.
fn served(rig: &mut Rig, request: Request) -> bool {
    let id = request.id;
    let sent = !sent(&rig.ask(request)).is_empty();
    if sent {
        rig.ended(id, 0, Outcome::Ok, 5.0);
    }
    sent
}

/// A bucket that sees all: the most that may be let in of one customer.
#[derive(Clone, Copy)]
struct Oracle {
    level: f64,
    at: Millis,
}

impl Oracle {
    fn new(most: f64, at: Millis) -> Oracle {
        Oracle { level: most, at }
    }
    fn spend(&mut self, now: Millis, units: f64, rate: f64, most: f64) -> f64 {
        self.level = (self.level + rate * (now - self.at) / 1000.0).min(most) - units;
        self.at = now;
        self.level
    }
}

/// Customers of a plan come and go at random at a limiter that remembers few; the first broken bound, if any.
fn forgetting(seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let plan = if rng.bool() { RATED } else { CEILED };
    let s = small(rng.u32(1..12));
    let (rate, most) = match plan {
        RATED => (s.plans[RATED].rate, s.plans[RATED].burst),
        _ => (s.plans[CEILED].ceiling_rate, s.plans[CEILED].ceiling_burst + s.plans[CEILED].ceiling_slack),
    };
    let mut rig = Rig::new(s, 3);
    // Ceilings start as if spent.
    rig.pass(6000.0);
    let names = rng.u64(2..40);
    let mut all = vec![Oracle::new(most, rig.now); names as usize];
    for id in 0..400 {
        rig.pass(if rng.u32(0..20) == 0 { rng.f64() * 5000.0 } else { rng.f64() * 20.0 });
        // Some names come again and again, between bursts of others.
        let customer = if rng.bool() { 0 } else { rng.u64(0..names) };
        let units = f64::from(rng.u32(1..5));
        if served(&mut rig, of(customer, id, plan, units)) {
            let left = all[customer as usize].spend(rig.now, units, rate, most);
            if left < -1e-6 {
                return Err(format!("seed {seed}: customer {customer} is {} units over at {id}", -left));
            }
        }
    }
    Ok(())
}

#[cfg(not(feature = "forgotten-means-full"))]
#[test]
fn whoever_is_forgotten_and_returns_gets_no_second_burst() {
    for seed in 0..2000 {
        forgetting(seed).unwrap_or_else(|broken| panic!("{broken}"));
    }
}

/// The test above finds what it is for: run with `--features forgotten-means-full`.
#[cfg(feature = "forgotten-means-full")]
#[test]
fn a_planted_second_burst_is_found() {
    let found = (0..20).find_map(|seed| forgetting(seed).err());
    assert!(found.is_some(), "not found in 20 seeds");
}

/// Under a hard ceiling: a flood pushes the customer out, it returns at once, every two seconds, for a minute.
#[test]
#[cfg(not(feature = "forgotten-means-full"))]
fn a_ceiling_holds_for_a_customer_that_a_flood_pushes_out() {
    let s = small(200);
    let plan = s.plans[CEILED].clone();
    let most = plan.ceiling_burst + plan.ceiling_slack;
    let mut rig = Rig::new(s, 3);
    rig.pass(6000.0);
    let mut oracle = Oracle::new(most, rig.now);
    let (mut id, mut name, mut let_in) = (0, 1u64 << 20, 0.0);
    for _ in 0..30 {
        for _ in 0..100 {
            id += 1;
            if served(&mut rig, of(7, id, CEILED, 1.0)) {
                let_in += 1.0;
                let left = oracle.spend(rig.now, 1.0, plan.ceiling_rate, most);
                assert!(left > -1e-6, "{} over", -left);
            }
        }
        // Twice each, so that it is not turned away as a stranger.
        for n in 0..1000 {
            (id, name) = (id + 1, name + n % 2);
            served(&mut rig, of(name, id, RATED, 1.0));
            rig.pass(2.0);
        }
    }
    // And it is not starved either: the one keeper's part of 12 units a second for a minute.
    assert!(let_in > 0.9 * 0.62 * plan.ceiling_rate * 60.0, "{let_in}");
    assert!(
        rig.limiter.customer_counts().evicted_full + rig.limiter.customer_counts().evicted_with_deficit
            > 10_000
    );
}

/// A flood of nothing but new names beside usual ones, which are neither pushed out nor refused.
#[test]
fn a_flood_of_strangers_costs_usual_customers_nothing() {
    let mut rig = Rig::new(small(1000), 3);
    let mut id = 0;
    let mut ask = |rig: &mut Rig, customer| {
        id += 1;
        served(rig, of(customer, id, RATED, 1.0))
    };
    for customer in 0..300 {
        assert!(ask(&mut rig, customer));
        rig.pass(40.0);
    }
    let (mut refused, mut strangers) = (0, 0);
    for name in 0..120_000u64 {
        strangers += u64::from(ask(&mut rig, 1_000_000 + name));
        if name % 40 == 0 {
            refused += u32::from(!ask(&mut rig, name / 40 % 300));
        }
        rig.pass(0.1);
    }
    assert_eq!(refused, 0, "usual customers");
    let firms = rig.limiter.customer_counts();
    assert!(firms.customers <= 1000 && firms.accounts <= 1000, "{firms:?}");
    // 10,000 a second against a table of 1,000: turned away at first sight once that is seen.
    assert!(strangers < 20_000 && firms.new_refused > 100_000, "{strangers} of 120000, {firms:?}");
}

#[test]
fn a_stranger_that_comes_again_is_let_in() {
    let mut rig = Rig::new(Settings { may_advise: true, ..small(100) }, 3);
    for name in 0..5000u64 {
        served(&mut rig, of(1_000_000 + name, name as u32, RATED, 1.0));
        rig.pass(0.1);
    }
    let first = rig.ask(of(7, 10_000, RATED, 1.0));
    assert!(
        first.iter().any(|a| matches!(a, Action::Refuse { retry_ms, .. } if *retry_ms > 0.0)),
        "refused with advice: {first:?}"
    );
    rig.pass(200.0);
    assert!(served(&mut rig, of(7, 10_001, RATED, 1.0)));
}

/// Rigs log to nobody: the lines are looked for in what `handle` says.
#[test]
fn the_bound_is_told_once_when_reached_and_once_when_over() {
    let mut rig = Rig::new(small(50), 3);
    let mut lines = Vec::new();
    let step = |rig: &mut Rig, lines: &mut Vec<String>, ms: f64| {
        rig.now += ms;
        let mut out = Vec::new();
        rig.limiter.handle(rig.now, Event::Wake { token: 0 }, &mut out);
        lines.extend(out.into_iter().filter_map(|a| match a {
            Action::Log(line) if line.starts_with("firms:") => Some(line),
            _ => None,
        }));
    };
    for name in 0..2000u64 {
        served(&mut rig, of(name, name as u32, RATED, 1.0));
        step(&mut rig, &mut lines, if name < 100 { 1000.0 } else { 1.0 });
    }
    (0..2000).for_each(|_| step(&mut rig, &mut lines, 100.0));
    let order = ["the bound, what", "would displace all", "let in again", "below the bound"];
    assert_eq!(lines.len(), order.len(), "{lines:#?}");
    assert!(lines.iter().zip(order).all(|(line, what)| line.contains(what)), "{lines:#?}");
}

/// 100,000 that fall due in one millisecond, also after a pause: each step drops a bounded number.
#[test]
fn what_falls_due_at_once_is_dropped_in_pieces() {
    for pause in [0.0, 30_000.0] {
        let mut rig = Rig::new(small(500_000), 3);
        for name in 0..100_000u64 {
            served(&mut rig, of(name, name as u32, FREE, 1.0));
        }
        assert_eq!(rig.limiter.customer_counts().customers, 100_000);
        // Without steps while it is paused.
        rig.now += 59_000.0 + pause;
        let (mut most, mut held) = (0, 100_000);
        for _ in 0..200 {
            rig.pass(100.0);
            let now = rig.limiter.customer_counts().customers;
            (most, held) = (most.max(held - now), now);
        }
        assert_eq!(held, 0, "all are dropped in the end");
        assert!(most <= 2 * 1024, "{most} in one go");
    }
}

/// An hour after a flood nothing of it is left.
#[test]
fn memory_comes_back_after_a_flood() {
    let mut rig = Rig::new(small(20_000), 3);
    let size = |rig: &Rig| format!("{:?}", rig.limiter).len();
    let before = size(&rig);
    for name in 0..30_000u64 {
        served(&mut rig, of(name, name as u32, RATED, 1.0));
        rig.pass(2.0);
    }
    assert!(rig.limiter.customer_counts().customers >= 19_000);
    rig.pass(3_600_000.0);
    let firms = rig.limiter.customer_counts();
    assert_eq!((firms.customers, firms.accounts), (0, 0));
    assert!(size(&rig) < before + 8000, "{} bytes of text before, {} after", before, size(&rig));
}

/// A peer that sends a million customers, or as fast as it can, costs what its allowance lets through.
#[test]
fn a_peer_costs_no_more_than_its_allowance() {
    let mut teller = Rig::new(settings(1), 3);
    let mut keeper = Rig::new(settings(0), 3);
    let mut bodies = Vec::new();
    let mut id = 0;
    while bodies.len() < 3000 {
        id += 1;
        let told = teller.ask(Request { customer: u64::from(id), ..request(id, SAFE, RATED) });
        bodies.extend(told.into_iter().chain(teller.pass(1.0)).filter_map(|a| match a {
            Action::SendMessage { to: Some(0), body } => Some(body),
            _ => None,
        }));
    }
    for body in bodies {
        keeper.give(Event::MessageReceived { from: 1, body });
    }
    let accounts = keeper.limiter.customer_counts().accounts;
    // 100 messages at once, of nine asks at most.
    assert!((100..=900).contains(&accounts), "{accounts}");
}

/// New names through all limiters of a tier, each more than the allowance of messages carries: what waits to be sent
/// is bounded, and a usual customer's words still come in time.
#[test]
fn a_flood_through_a_tier_does_not_hold_up_the_words_of_usual_customers() {
    let one = |position| Settings { firms: 500, ..settings(position) };
    let mut net = Net::new((0..3).map(one).collect(), 3, 5);
    let mut id = 0;
    let mut asked = std::collections::BTreeSet::new();
    let mut units = 0;
    for round in 0..3000u32 {
        for p in 0..3 {
            id += 1;
            let stranger = Request { customer: 1_000_000 + u64::from(id), ..request(id, SAFE, RATED) };
            net.give(p, Event::Request(stranger));
        }
        if round % 50 == 0 {
            id += 1;
            asked.insert(id);
            let p = (round / 50 % 3) as usize;
            let usual = Request { customer: 3, ..request(id, SAFE, RATED) };
            units += sent(&net.give(p, Event::Request(usual))).len();
        }
        for (_, action) in net.pass(4.0) {
            if let Action::Send { id, .. } = action {
                units += usize::from(asked.contains(&id));
            }
        }
    }
    assert!(units * 20 >= asked.len() * 19, "{units} of {}", asked.len());
    for rig in &net.rigs {
        let text = format!("{:?}", rig.limiter);
        let outbox = &text[text.find("outbox").expect("there")..text.find("mail:").expect("there")];
        assert!(outbox.len() < 200_000, "{} bytes of text wait to be sent", outbox.len());
    }
}

/// Honest customers by Zipf's law, far more than are remembered: each within its bucket, nearly all let in.
#[test]
#[cfg(not(feature = "forgotten-means-full"))]
fn many_honest_customers_keep_their_quotas_exactly() {
    let s = small(20_000);
    let plan = s.plans[RATED].clone();
    let mut rig = Rig::new(s, 3);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut all = std::collections::HashMap::new();
    let (mut let_in, mut due) = (0u32, 0u32);
    for id in 0..150_000 {
        // Zipf 1.1 over a million by inversion of the continuous law.
        let (n, a) = (1e6f64, 0.1);
        let customer = (1.0 - rng.f64() * (1.0 - n.powf(-a))).powf(-1.0 / a) as u64;
        let full = Oracle::new(plan.burst, rig.now);
        let (oracle, greedy) = all.entry(customer).or_insert((full, full));
        if greedy.spend(rig.now, 0.0, plan.rate, plan.burst) >= 1.0 {
            greedy.level -= 1.0;
            due += 1;
        }
        if served(&mut rig, of(customer, id, RATED, 1.0)) {
            let_in += 1;
            let left = oracle.spend(rig.now, 1.0, plan.rate, plan.burst);
            assert!(left > -1e-6, "customer {customer}: {} over", -left);
        }
        rig.pass(1.0);
    }
    assert!(f64::from(let_in) > 0.97 * f64::from(due), "{let_in} of {due}");
}
