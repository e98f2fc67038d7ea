//! The engine on a virtual clock: what it owes whatever the outside does, in any order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fawnhill::*;
use marldeal_engine::counters::RequestOutcome;
use marldeal_engine::{Answer, Engine, Input, Output};
use proptest::prelude::*;

fn class(effect: Effect) -> Class {
    Class { aim_ms: 1000.0, late_worth: 0.0, effect, group: KeyGroup::All, window_ms: 3000.0 }
}

fn settings() -> Settings {
    Settings {
        limiters: 2,
        position: 0,
        zone: 0,
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        plans: vec![
            Plan {
                rate: 6.0,
                burst: 12.0,
                open: 0,
                ceiling_rate: 0.0,
                ceiling_burst: 0.0,
                ceiling_slack: 0.0,
            },
            Plan {
                rate: 0.0,
                burst: 0.0,
                open: 0,
                ceiling_rate: 0.0,
                ceiling_burst: 0.0,
                ceiling_slack: 0.0,
            },
        ],
        round_ms: 4.0,
        max_attempts: 3,
        connect_timeout_ms: 250.0,
        may_probe: false,
        may_tell: false,
        may_cancel: true,
        may_advise: true,
        messages_per_s: 60.0,
        must_subscribe: false,
        cold_share: 0.2,
        cold_ms: 9000.0,
        fall_multiple: 3.0,
        fall_ms: 2000.0,
        firms: 10_000,
    }
}

fn entry(n: u32, condition: Condition) -> ServerEntry {
    ServerEntry {
        server: Arc::from(format!("s-{n}")),
        zone: 0,
        cell: 0,
        condition,
        weight: 1.0,
        started: 0.0,
    }
}

fn request(class: usize, plan: usize) -> Request {
    Request { id: 0, class, plan, customer: 7, budget_ms: 3000.0, units: 1.0, spread: 1, first: 0 }
}

fn engine() -> (Engine, Vec<Output>) {
    let mut engine = Engine::new(settings(), 7, 0.0).expect("good settings");
    let mut out = Vec::new();
    let entries = (1..=3).map(|n| entry(n, Condition::Serving)).collect();
    engine.handle(0.0, Input::Servers { whole: true, entries }, &mut out);
    (engine, out)
}

#[test]
fn bad_settings_are_an_error_that_names_the_value() {
    let error = Engine::new(Settings { limiters: 0, ..settings() }, 1, 0.0).err().expect("refused");
    assert!(error.contains("limiters"), "{error}");
}

#[test]
fn a_name_that_is_open_is_not_taken_again_and_is_free_afterwards() {
    let (mut engine, mut out) = engine();
    let name: marldeal_engine::CorrelationId = (*b"c-1").into();
    let arrive = |request| Input::Request { correlation_id: name.clone(), request };
    let id = engine.handle(1.0, arrive(request(0, 1)), &mut out).expect("free");
    assert_eq!(engine.handle(2.0, arrive(request(0, 1)), &mut out), None);
    engine.handle(3.0, Input::ClientDisconnected { id }, &mut out);
    assert!(engine.handle(4.0, arrive(request(0, 1)), &mut out).is_some());
}

/// A module that is left unanswered by everyone still ends its requests in time; the engine names every moment.
#[test]
fn a_request_that_nobody_reports_on_is_answered_before_its_deadline() {
    let (mut engine, mut out) = engine();
    let id = engine
        .handle(0.0, Input::Request { correlation_id: (*b"c").into(), request: request(2, 1) }, &mut out)
        .expect("taken");
    let mut now = 0.0;
    let answer = loop {
        out.clear();
        now =
            engine.next_due().filter(|at| *at <= 3000.0).expect("a due moment before the deadline").max(now);
        engine.handle(now, Input::TimerExpired, &mut out);
        if let Some(Output::Answer { id: who, answer }) =
            out.iter().find(|o| matches!(o, Output::Answer { .. }))
        {
            assert_eq!(*who, id);
            break *answer;
        }
    };
    // An unsafe request that may have run promises nothing.
    assert_eq!(answer, Answer::Failed);
    assert!(now <= 3000.0 && engine.open_requests() == 0);
    assert_eq!(engine.outstanding_attempts(), 1, "the attempt is still owed its end");
    engine.handle(now, Input::attempt_ended(id, 0, Outcome::Cancelled), &mut out);
    assert_eq!(engine.outstanding_attempts(), 0);
}

/// A server that drains between the module's choice and the send is not sent to: here nothing takes work at all.
#[test]
fn a_drained_roster_gets_nothing() {
    let (mut engine, mut out) = engine();
    let entries = (1..=3).map(|n| entry(n, Condition::Draining)).collect();
    engine.handle(1.0, Input::Servers { whole: false, entries }, &mut out);
    assert!(!engine.is_ready(10_000.0) && !engine.accepts_requests(&Arc::from("s-1")));
    out.clear();
    engine.handle(2.0, Input::Request { correlation_id: (*b"c").into(), request: request(0, 1) }, &mut out);
    assert!(!out.iter().any(|o| matches!(o, Output::Send { .. })), "{out:?}");
}

#[derive(Debug, Clone)]
enum Step {
    Arrive(usize, usize, u8),
    Leave(usize),
    End(usize, u8),
    Roster(u32, u8),
    Wait(u32),
    /// Ends what was stopped.
    Obey,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3, 0usize..2, 0u8..12).prop_map(|(c, p, n)| Step::Arrive(c, p, n)),
        1 => any::<usize>().prop_map(Step::Leave),
        4 => (any::<usize>(), 0u8..8).prop_map(|(w, o)| Step::End(w, o)),
        1 => (1u32..4, 0u8..3).prop_map(|(n, c)| Step::Roster(n, c)),
        3 => (1u32..900).prop_map(Step::Wait),
        2 => Just(Step::Obey),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Severed,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// What the outside saw, checked as it goes.
#[derive(Default)]
struct Watch {
    out: BTreeMap<u32, u32>,
    stopped: BTreeMap<(u32, u32), Outcome>,
    taken: BTreeMap<u32, (f64, usize)>,
    answered: BTreeSet<u32>,
    left: BTreeSet<u32>,
    may_have_run: BTreeSet<u32>,
}

impl Watch {
    fn look(&mut self, now: f64, outputs: &mut Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                Output::Send { id, attempt, deadline: attempt_deadline, .. } => {
                    assert!(!self.answered.contains(&id), "sent after its final answer");
                    assert!(!self.left.contains(&id), "sent after its client left");
                    assert!(self.out.insert(id, attempt).is_none(), "two attempts out");
                    let (deadline, class) = self.taken[&id];
                    assert!(now <= deadline && attempt_deadline <= deadline, "sent past its deadline");
                    assert!(!(class == 2 && self.may_have_run.contains(&id)), "an unsafe one sent again");
                    assert!(attempt < 3);
                }
                Output::Stop { id, attempt, outcome } => {
                    self.stopped.entry((id, attempt)).or_insert(outcome);
                }
                Output::Answer { id, answer } => {
                    assert!(!self.left.contains(&id) && self.answered.insert(id), "answered twice");
                    let (deadline, class) = self.taken[&id];
                    assert!(now <= deadline, "answered {now} past {deadline}");
                    if let Answer::Refused { .. } = answer {
                        let unknown = self.may_have_run.contains(&id) || self.out.contains_key(&id);
                        assert!(class == 0 || !unknown, "refused though it may have run");
                    }
                }
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// One final answer in time, never two attempts out, nothing after the answer, nothing left at the end.
    #[test]
    fn the_rules_hold_in_any_order(steps in prop::collection::vec(step(), 1..120)) {
        let (mut engine, mut out) = engine();
        let (mut now, mut watch) = (0.0_f64, Watch::default());
        watch.look(now, &mut out);
        let end = |engine: &mut Engine, watch: &mut Watch, now, id, n, outcome, out: &mut Vec<Output>| {
            watch.out.remove(&id);
            watch.stopped.remove(&(id, n));
            if !matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent) {
                watch.may_have_run.insert(id);
            }
            engine.handle(now, Input::attempt_ended(id, n, outcome), out);
            watch.look(now, out);
        };
        for step in steps.into_iter().chain([Step::Wait(4000), Step::Obey, Step::Wait(4000)]) {
            match step {
                Step::Arrive(class, plan, name) => {
                    let request = request(class, plan);
                    if let Some(id) = engine.handle(now, Input::Request { correlation_id: [name].into(), request }, &mut out) {
                        watch.taken.insert(id, (now + 3000.0, class));
                    }
                }
                Step::Leave(which) => {
                    let open: Vec<u32> = watch.taken.keys().copied()
                        .filter(|id| !watch.answered.contains(id) && !watch.left.contains(id)).collect();
                    if !open.is_empty() {
                        let id = open[which % open.len()];
                        watch.left.insert(id);
                        engine.handle(now, Input::ClientDisconnected { id }, &mut out);
                    }
                }
                Step::End(which, outcome) => {
                    let all: Vec<(u32, u32)> = watch.out.iter().map(|(id, n)| (*id, *n)).collect();
                    if !all.is_empty() {
                        let (id, n) = all[which % all.len()];
                        end(&mut engine, &mut watch, now, id, n, OUTCOMES[usize::from(outcome)], &mut out);
                    }
                }
                Step::Roster(n, condition) => {
                    let condition = [Condition::Serving, Condition::Draining, Condition::Gone][usize::from(condition)];
                    let entries = [entry(n, condition)].into();
                    engine.handle(now, Input::Servers { whole: false, entries }, &mut out);
                }
                Step::Wait(ms) => {
                    let until = now + f64::from(ms);
                    while let Some(due) = engine.next_due().filter(|due| *due <= until) {
                        now = due.max(now);
                        engine.handle(now, Input::TimerExpired, &mut out);
                        watch.look(now, &mut out);
                    }
                    now = until;
                }
                Step::Obey => {
                    for ((id, n), how) in watch.stopped.clone() {
                        end(&mut engine, &mut watch, now, id, n, how, &mut out);
                    }
                }
            }
            watch.look(now, &mut out);
        }
        prop_assert_eq!(engine.open_requests(), 0);
        prop_assert_eq!(engine.outstanding_attempts(), 0);
        for id in watch.taken.keys() {
            prop_assert!(watch.answered.contains(id) || watch.left.contains(id), "request {} unanswered", id);
        }
    }
}

/// Calls the engine whenever it is due until a moment.
fn pass(engine: &mut Engine, until: f64, out: &mut Vec<Output>) {
    while let Some(at) = engine.next_due().filter(|at| *at <= until) {
        engine.handle(at, Input::TimerExpired, out);
    }
}

fn answers(out: &[Output]) -> Vec<Answer> {
    let answer = |o: &Output| if let Output::Answer { answer, .. } = o { Some(*answer) } else { None };
    out.iter().filter_map(answer).collect()
}

/// A client's time counts from its last byte: however long the body takes, and not a moment longer after it.
#[test]
fn the_clock_of_an_upload_starts_with_its_last_byte() {
    for written in [None, Some(50_000.0)] {
        let (mut engine, mut out) = engine();
        let taken = Input::Request { correlation_id: b"a".as_slice().into(), request: request(1, 1) };
        let id = engine.handle(10.0, taken, &mut out).expect("taken");
        engine.handle(10.0, Input::Uploading { id }, &mut out);
        pass(&mut engine, 60_000.0_f64.min(written.unwrap_or(60_000.0)), &mut out);
        assert_eq!((answers(&out), engine.open_requests()), (vec![], 1));
        let Some(at) = written else { continue };
        engine.handle(at, Input::Written { id, attempt: 0 }, &mut out);
        assert_eq!(engine.counters().forwarded(), 1);
        pass(&mut engine, at + 2900.0, &mut out);
        assert_eq!(answers(&out), []);
        pass(&mut engine, at + 3001.0, &mut out);
        assert_eq!(answers(&out), [Answer::Failed]);
        assert!(out.iter().any(|o| matches!(o, Output::Stop { outcome: Outcome::TimedOut, .. })));
    }
}

/// An answer that is passed on outlives every deadline; broken off it is an abort, and nothing is sent again.
#[test]
fn a_streamed_answer_has_no_deadline_and_no_second_attempt() {
    for (class, outcome) in [(0, Outcome::Severed), (1, Outcome::Severed), (0, Outcome::Ok)] {
        let (mut engine, mut out) = engine();
        let taken = Input::Request { correlation_id: b"a".as_slice().into(), request: request(class, 1) };
        let id = engine.handle(10.0, taken, &mut out).expect("taken");
        engine.handle(100.0, Input::Streaming { id, attempt: 0 }, &mut out);
        pass(&mut engine, 30_000.0, &mut out);
        assert_eq!((answers(&out).len(), engine.counters().outstanding()), (0, 1));
        assert!(!out.iter().any(|o| matches!(o, Output::Stop { .. })));
        engine.handle(30_000.0, Input::attempt_ended(id, 0, outcome), &mut out);
        assert_eq!(out.iter().filter(|o| matches!(o, Output::Send { .. })).count(), 1);
        let ends = [RequestOutcome::Succeeded, RequestOutcome::Declined, RequestOutcome::Aborted]
            .map(|end| engine.counters().finished(class, end));
        assert_eq!(ends, if outcome == Outcome::Ok { [1, 0, 0] } else { [0, 0, 1] });
        assert_eq!(engine.open_requests(), 0);
    }
}
