//! Written, read, spoilt, aged: what a reader believes.

use fawnhill::{Class, Condition, Effect, KeyGroup, Outcome, Plan, Request, ServerEntry, Settings};
use marldeal_engine::{Answer, Engine, Input, Output};
use marldeal_snapshot::{assess, Assessment, ReadError, Snapshot, SnapshotKind, MAX_AGE_MS, MAX_BYTES};
use proptest::prelude::*;

fn settings() -> Settings {
    let look =
        Class { aim_ms: 1000.0, late_worth: 0.0, effect: Effect::Safe, group: KeyGroup::All, window_ms: 0.0 };
    let plan =
        Plan { rate: 2.0, burst: 8.0, open: 0, ceiling_rate: 4.0, ceiling_burst: 16.0, ceiling_slack: 2.0 };
    Settings {
        limiters: 1,
        position: 0,
        zone: 0,
        classes: vec![look],
        plans: vec![plan],
        round_ms: 1.0,
        max_attempts: 3,
        connect_timeout_ms: 250.0,
        may_probe: false,
        may_tell: true,
        may_cancel: true,
        may_advise: false,
        messages_per_s: 60.0,
        must_subscribe: false,
        cold_share: 0.2,
        cold_ms: 10_000.0,
        fall_multiple: 3.0,
        fall_ms: 2000.0,
        firms: 10_000,
    }
}

const START: f64 = 1.7e12;

fn engine(seed: u64, now: f64) -> Engine {
    let mut engine = Engine::new(settings(), seed, now).expect("settings");
    let node = |id: &str| ServerEntry {
        server: id.into(),
        zone: 0,
        cell: 0,
        condition: Condition::Serving,
        weight: 1.0,
        started: 0.0,
    };
    let entries = [node("a"), node("b")].into();
    engine.handle(now, Input::Servers { whole: true, entries }, &mut Vec::new());
    engine
}

/// Asks for one unit of a customer; whether it was let in.
fn ask(engine: &mut Engine, now: f64, name: u32, customer: u64) -> bool {
    let request =
        Request { id: 0, class: 0, plan: 0, customer, budget_ms: 3000.0, units: 1.0, spread: 1, first: 0 };
    let mut out = Vec::new();
    let correlation_id = name.to_be_bytes().as_slice().into();
    let id = engine.handle(now, Input::Request { correlation_id, request }, &mut out).expect("a new name");
    let sent = out.iter().any(|o| matches!(o, Output::Send { .. }));
    if sent {
        out.clear();
        engine.handle(now + 1.0, Input::attempt_ended(id, 0, Outcome::Ok), &mut out);
        assert!(out.contains(&Output::Answer { id, answer: Answer::Served }));
    }
    sent
}

/// A limiter whose ceilings have filled, and that has let a firm use all it may.
fn used() -> (Engine, f64, u32) {
    let mut engine = engine(1, START);
    let mut now = START + 10_000.0;
    let mut let_in = 0;
    for n in 0..40 {
        now += 5.0;
        let_in += u32::from(ask(&mut engine, now, n, 7));
    }
    (engine, now, let_in)
}

/// The reader of a last snapshot is the same limiter: a firm gets from both together what it would get from one.
#[test]
fn a_firm_gets_no_second_allowance_from_the_successor() {
    let (old, now, let_in) = used();
    assert_eq!(let_in, 8, "one burst");
    let bytes = old.snapshot(now, SnapshotKind::Final).to_bytes(&settings());
    let mut new = engine(2, now + 20.0);
    let read = Snapshot::from_bytes(&bytes, &settings()).expect("whole");
    new.restore(now + 30.0, assess(read, now + 30.0));
    assert!(new.is_ready(now + 30.0), "its ceilings are as full as the old one's");
    assert!((0..20).all(|n| !ask(&mut new, now + 31.0, n, 7)), "nothing is left");
    assert!(ask(&mut new, now + 32.0, 100, 8), "another firm has its own");
    // From then on it gets what the old one would have let it have.
    let mut old = old;
    let later = |engine: &mut Engine| {
        (0..1000).filter(|n| ask(engine, now + 40.0 + f64::from(*n) * 10.0, 200 + n, 7)).count()
    };
    let (by_new, by_old) = (later(&mut new), later(&mut old));
    assert!(by_new.abs_diff(by_old) <= 3 && by_new <= 21, "{by_new} and {by_old} in 10 s");
}

/// One that learnt nothing would grant a second burst once it serves: the guard above is not empty.
#[test]
fn without_a_snapshot_the_burst_is_there_again() {
    let (_, now, _) = used();
    let mut new = engine(2, now);
    assert!(!new.is_ready(now + 30.0));
    let let_in = (0..20).filter(|n| ask(&mut new, now + 10_000.0, *n, 7)).count();
    assert_eq!(let_in, 8);
}

/// An earlier snapshot of one that died: ceilings start as if spent, servers are known.
#[test]
fn hints_open_no_ceiling() {
    let (old, now, _) = used();
    let bytes = old.snapshot(now, SnapshotKind::Running).to_bytes(&settings());
    let mut new = engine(2, now + 500.0);
    let read = Snapshot::from_bytes(&bytes, &settings()).expect("whole");
    let belief = assess(read, now + 500.0);
    assert!(matches!(belief, Assessment::Hints { .. }));
    new.restore(now + 500.0, belief);
    assert!(!new.is_ready(now + 500.0));
    assert!(!ask(&mut new, now + 501.0, 1, 8));
}

#[test]
fn age_discounts_and_ends_belief() {
    let (old, now, _) = used();
    let mut snapshot = old.snapshot(now, SnapshotKind::Running);
    for (_, s) in &mut snapshot.knowledge.servers {
        (s.errors, s.silences, s.ejected) = (0.4, 3, (5000.0, 8000.0));
    }
    let at = |age: f64| assess(snapshot.clone(), now + age);
    let errors = |b: Assessment| match b {
        Assessment::Hints { knowledge } => knowledge.servers[0].1.errors,
        _ => f64::NAN,
    };
    assert!((errors(at(0.0)) - 0.4).abs() < 1e-9);
    assert!(errors(at(10_000.0)) < 0.2 && errors(at(10_000.0)) > 0.1);
    let Assessment::Hints { knowledge } = at(20_000.0) else { panic!("hints") };
    assert_eq!((knowledge.servers[0].1.silences, knowledge.servers[0].1.ejected.0), (0, 0.0));
    assert_eq!(at(MAX_AGE_MS + 1.0), Assessment::Expired { age_ms: MAX_AGE_MS + 1.0 });
    // A clock that went back is no age.
    assert!((errors(at(-5000.0)) - 0.4).abs() < 1e-9);
    let late = Snapshot { kind: SnapshotKind::Final, ..snapshot };
    assert!(matches!(assess(late, now + 6000.0), Assessment::Hints { .. }), "its reader slept");
}

#[test]
fn what_is_spoilt_is_refused_whole_and_named() {
    let (old, now, _) = used();
    let good = old.snapshot(now, SnapshotKind::Final).to_bytes(&settings());
    let read = |bytes: &[u8]| Snapshot::from_bytes(bytes, &settings());
    assert!(read(&good).is_ok());
    assert_eq!(read(&[]), Err(ReadError::NotASnapshot));
    assert_eq!(read(b"MDSN"), Err(ReadError::Truncated));
    assert_eq!(read(&good[..good.len() - 1]), Err(ReadError::Truncated));
    assert_eq!(read(&[&good[..], b"x"].concat()), Err(ReadError::Truncated));
    assert_eq!(read(&vec![0; MAX_BYTES + 1]), Err(ReadError::TooLarge(MAX_BYTES + 1)));
    let mut other = good.clone();
    other[5] = 9;
    assert_eq!(read(&other), Err(ReadError::Version(9)));
    let mut dearer = settings();
    dearer.plans[0].rate = 3.0;
    assert_eq!(Snapshot::from_bytes(&good, &dearer), Err(ReadError::Settings));
    // A record that cannot belong here, though the checksum fits.
    let mut wrong = old.snapshot(now, SnapshotKind::Final);
    wrong.knowledge.accounts[0].1.plan = 9;
    assert!(matches!(read(&wrong.to_bytes(&settings())), Err(ReadError::Corrupt(_))));
}

/// However many firms there are, the bytes stay within their bound and can be read.
#[test]
fn the_bytes_are_bounded() {
    let (old, now, _) = used();
    let mut snapshot = old.snapshot(now, SnapshotKind::Final);
    let (customer, account) = (snapshot.knowledge.customers[0], snapshot.knowledge.accounts[0]);
    snapshot.knowledge.customers = (0..100_000).map(|n| (n, customer.1)).collect();
    snapshot.knowledge.accounts = (0..100_000).map(|n| (n, account.1)).collect();
    let bytes = snapshot.to_bytes(&settings());
    assert!(bytes.len() <= MAX_BYTES, "{}", bytes.len());
    assert!(Snapshot::from_bytes(&bytes, &settings()).is_ok());
}

proptest! {
    /// One byte changed anywhere is seen; no bytes make the reader panic.
    #[test]
    fn no_garbled_byte_passes(at in any::<prop::sample::Index>(), flip in 1u8..=255, noise in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = engine(1, START).snapshot(START + 100.0, SnapshotKind::Final).to_bytes(&settings());
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        prop_assert!(Snapshot::from_bytes(&bytes, &settings()).is_err());
        prop_assert!(Snapshot::from_bytes(&noise, &settings()).is_err());
        let mut framed = bytes[..10].to_vec();
        framed.extend_from_slice(&(noise.len() as u32).to_be_bytes());
        framed.extend_from_slice(&crc32fast::hash(&noise).to_be_bytes());
        framed.extend_from_slice(&noise);
        let _ = Snapshot::from_bytes(&framed, &settings());
    }
}
