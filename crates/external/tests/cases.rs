//! Edge cases of the external processor, one by one, on a virtual clock.

mod common;

use common::*;
use fawnhill::{Condition, Outcome};
use marldeal_engine::{Engine, Input as EngineInput};
use marldeal_external::*;

struct Harness {
    engine: Engine,
    external: ExternalProcessor,
    now: f64,
}

impl Harness {
    fn new(config: ProcessorConfig) -> Harness {
        let settings = settings(1, 0);
        let external = ExternalProcessor::new(config, &settings);
        let mut engine = Engine::new(settings, 9, 0.0).expect("settings are valid");
        let entries = (1..=3).map(|n| entry(n, Condition::Serving)).collect();
        engine.handle(0.0, EngineInput::Servers { whole: true, entries }, &mut Vec::new());
        Harness { engine, external, now: 0.0 }
    }

    fn handle(&mut self, input: Input) -> Vec<(StreamId, Verdict)> {
        let mut out = Vec::new();
        self.external.handle(self.now, input, &mut self.engine, &mut out);
        Harness::replies(out)
    }

    fn replies(out: Vec<Action>) -> Vec<(StreamId, Verdict)> {
        let reply = |item| match item {
            Action::Reply { stream, verdict } => Some((stream, verdict)),
            Action::Engine(_) => None,
        };
        out.into_iter().filter_map(reply).collect()
    }

    fn present(&mut self, stream: StreamId, class: usize, attempt: Option<u32>) -> Option<Verdict> {
        let key = (class == KEYED).then(|| (*b"key").into());
        let request = request(class, UNLIMITED_PLAN, 7);
        let presentation = Presentation { correlation_id: (*b"c-1").into(), key, attempt, request };
        self.handle(Input::Presented { stream, presentation }).pop().map(|(_, verdict)| verdict)
    }

    fn respond(&mut self, stream: StreamId, outcome: Outcome) -> Option<Verdict> {
        self.handle(Input::Responded { stream, outcome }).pop().map(|(_, verdict)| verdict)
    }

    fn advance(&mut self, ms: f64) -> Vec<(StreamId, Verdict)> {
        let until = self.now + ms;
        let mut replies = Vec::new();
        loop {
            let (engine_due, external_due) = (self.engine.next_due(), self.external.next_due());
            let next = engine_due.into_iter().chain(external_due).min_by(f64::total_cmp);
            let Some(at) = next.filter(|at| *at <= until) else { break };
            self.now = at.max(self.now);
            let mut outputs = Vec::new();
            self.engine.handle(self.now, EngineInput::TimerExpired, &mut outputs);
            for output in outputs {
                if self.external.owns(&output) {
                    replies.extend(self.handle(Input::Engine(output)));
                }
            }
            replies.extend(self.handle(Input::TimerExpired));
        }
        self.now = until;
        replies
    }

    fn assert_nothing_open(&mut self) {
        self.advance(10_000.0);
        assert_eq!((self.engine.open_requests(), self.engine.outstanding_attempts()), (0, 0));
        assert_eq!((self.external.open_requests(), self.external.standing_verdicts()), (0, 0));
    }
}

fn is_admitted(verdict: &Option<Verdict>) -> bool {
    matches!(verdict, Some(Verdict::Admit(_)))
}

/// An unsafe request whose stream closed without an outcome may have run: it fails, and so does every later
/// presentation.
#[test]
fn unsafe_request_that_may_have_run_is_not_admitted_again() {
    let mut harness = Harness::new(ProcessorConfig::default());
    assert!(is_admitted(&harness.present(1, UNSAFE, Some(1))));
    harness.handle(Input::Closed { stream: 1 });
    assert_eq!(harness.present(2, UNSAFE, Some(2)), Some(Verdict::Fail));
    assert_eq!(harness.present(3, UNSAFE, Some(3)), Some(Verdict::Fail));
    harness.assert_nothing_open();
}

#[test]
fn unsafe_request_that_was_not_sent_is_retried() {
    let mut harness = Harness::new(ProcessorConfig::default());
    assert!(is_admitted(&harness.present(1, UNSAFE, Some(1))));
    assert!(matches!(harness.respond(1, Outcome::NoConnection), Some(Verdict::Retry(_))));
    assert!(is_admitted(&harness.present(2, UNSAFE, Some(2))));
    assert_eq!(harness.respond(2, Outcome::Ok), Some(Verdict::PassThrough));
    harness.assert_nothing_open();
}

/// Servers drop repeats for 2 s in this test. A retry granted within that window must not be made after it.
#[test]
fn granted_retry_of_a_keyed_request_expires_with_its_window() {
    let mut harness =
        Harness::new(ProcessorConfig { next_presentation_timeout_ms: 2500.0, ..ProcessorConfig::default() });
    assert!(is_admitted(&harness.present(1, KEYED, Some(1))));
    harness.advance(600.0);
    assert!(matches!(harness.respond(1, Outcome::Error), Some(Verdict::Retry(_))));
    harness.advance(1500.0);
    assert_eq!(harness.present(2, KEYED, Some(2)), Some(Verdict::Fail));
    harness.assert_nothing_open();
}

/// A retry granted before its server started to drain goes to another server if it is presented afterwards.
#[test]
fn granted_retry_is_not_sent_to_a_server_that_drains_meanwhile() {
    let mut harness = Harness::new(ProcessorConfig::default());
    assert!(is_admitted(&harness.present(1, SAFE, Some(1))));
    let Some(Verdict::Retry(first)) = harness.respond(1, Outcome::Full) else {
        panic!("the retry is not granted")
    };
    let n =
        (1..=3).find(|n| entry(*n, Condition::Serving).server == first.server).expect("the server exists");
    let entries = [entry(n, Condition::Draining)].into();
    harness.engine.handle(harness.now, EngineInput::Servers { whole: false, entries }, &mut Vec::new());
    let Some(Verdict::Admit(second)) = harness.present(2, SAFE, Some(2)) else {
        panic!("the request is not admitted")
    };
    assert_ne!(second.server, first.server);
    harness.respond(2, Outcome::Ok);
    harness.assert_nothing_open();
}

/// A granted retry that no proxy presents occupies no slot once it has expired.
#[test]
fn unused_granted_retry_is_released() {
    let mut harness =
        Harness::new(ProcessorConfig { next_presentation_timeout_ms: 500.0, ..ProcessorConfig::default() });
    assert!(is_admitted(&harness.present(1, SAFE, Some(1))));
    assert!(matches!(harness.respond(1, Outcome::Full), Some(Verdict::Retry(_))));
    assert_eq!(harness.engine.outstanding_attempts(), 1);
    harness.advance(501.0);
    assert_eq!((harness.engine.outstanding_attempts(), harness.external.open_requests()), (0, 0));
    assert_eq!(harness.present(2, SAFE, Some(2)), Some(Verdict::Fail), "the verdict is kept");
    harness.assert_nothing_open();
}

/// If final answers are not pushed, the verdict waits for the outcome, which no longer changes it.
#[test]
fn without_push_a_late_outcome_gets_the_final_verdict() {
    let mut harness =
        Harness::new(ProcessorConfig { push_final_answers: false, ..ProcessorConfig::default() });
    assert!(is_admitted(&harness.present(1, KEYED, Some(1))));
    assert_eq!(harness.advance(2900.0), [], "nothing is sent without a message of the proxy");
    assert_eq!((harness.engine.open_requests(), harness.engine.outstanding_attempts()), (0, 0));
    assert_eq!(harness.respond(1, Outcome::Ok), Some(Verdict::Fail));
    harness.assert_nothing_open();
}

/// An outcome arrives after its request has expired, when a new request has the same correlation id: the late outcome
/// fails, and the new request is not affected.
#[test]
fn late_outcome_does_not_affect_a_new_request_with_the_same_correlation_id() {
    let mut harness =
        Harness::new(ProcessorConfig { push_final_answers: false, ..ProcessorConfig::default() });
    assert!(is_admitted(&harness.present(1, KEYED, Some(1))));
    harness.advance(4000.0);
    assert!(is_admitted(&harness.present(2, KEYED, Some(1))), "a new request is admitted");
    assert_eq!(harness.respond(1, Outcome::Ok), Some(Verdict::Fail));
    assert_eq!(harness.respond(2, Outcome::Ok), Some(Verdict::PassThrough));
    assert!(is_admitted(&{
        let correlation_id = (*b"c-2").into();
        let presentation = Presentation {
            correlation_id,
            key: None,
            attempt: None,
            request: request(SAFE, UNLIMITED_PLAN, 7),
        };
        harness.handle(Input::Presented { stream: 3, presentation }).pop().map(|(_, verdict)| verdict)
    }));
    harness.advance(4000.0);
    assert_eq!(harness.respond(3, Outcome::Ok), Some(Verdict::Fail), "no request has this correlation id");
    assert_eq!(harness.external.open_streams(), 0);
    harness.assert_nothing_open();
}

#[test]
fn standing_verdicts_are_bounded_and_the_oldest_are_evicted() {
    let mut harness =
        Harness::new(ProcessorConfig { max_standing_verdicts: 10, ..ProcessorConfig::default() });
    for n in 0..1000_u64 {
        let correlation_id = n.to_be_bytes().as_slice().into();
        let presentation = Presentation {
            correlation_id,
            key: None,
            attempt: None,
            request: request(SAFE, UNLIMITED_PLAN, 7),
        };
        assert_eq!(harness.handle(Input::Presented { stream: n, presentation }).len(), 1);
        harness.handle(Input::Responded { stream: n, outcome: Outcome::Ok });
        assert!(harness.external.standing_verdicts() <= 10);
        harness.now += 1.0;
    }
    assert_eq!(harness.external.open_streams(), 0);
    harness.assert_nothing_open();
}

/// A proxy sends an endless stream of new customers: the decision module tracks a bounded number of them and refuses
/// the others, and no entries accumulate.
#[test]
fn flood_of_new_customers_from_a_proxy_is_bounded() {
    let mut harness =
        Harness::new(ProcessorConfig { max_standing_verdicts: 100, ..ProcessorConfig::default() });
    let mut refused = 0;
    for n in 0..50_000_u64 {
        let correlation_id = n.to_be_bytes().as_slice().into();
        let request = fawnhill::Request { customer: 1_000_000 + n, ..request(SAFE, UNLIMITED_PLAN, 7) };
        let presentation = Presentation { correlation_id, key: None, attempt: None, request };
        let verdict =
            harness.handle(Input::Presented { stream: n, presentation }).pop().map(|(_, verdict)| verdict);
        match verdict {
            Some(Verdict::Refuse { .. }) => refused += 1,
            _ => drop(harness.handle(Input::Responded { stream: n, outcome: Outcome::Ok })),
        }
        harness.handle(Input::Closed { stream: n });
        harness.advance(0.5);
        assert!(
            harness.engine.customer_counts().customers <= 10_000
                && harness.external.standing_verdicts() <= 100
        );
        assert_eq!((harness.external.open_requests(), harness.external.open_streams()), (0, 0));
    }
    assert!(refused > 40_000, "{refused} of 50000 unknown customers were refused");
    harness.assert_nothing_open();
}

/// An attempt whose end cannot be reported occupies its slot for the configured time, and does not count against its
/// server.
#[test]
fn unreported_attempt_is_outstanding_for_the_configured_time() {
    let mut harness =
        Harness::new(ProcessorConfig { unreported_attempt_ms: 300.0, ..ProcessorConfig::default() });
    assert!(is_admitted(&harness.present(1, KEYED, None)));
    harness.handle(Input::Unreported { stream: 1 });
    assert_eq!((harness.external.open_requests(), harness.engine.outstanding_attempts()), (0, 1));
    harness.advance(299.0);
    assert_eq!(harness.engine.outstanding_attempts(), 1);
    harness.advance(2.0);
    assert_eq!(harness.engine.outstanding_attempts(), 0);
    assert_eq!(harness.present(2, KEYED, None), Some(Verdict::Conflict(Conflict::Served)));
    harness.assert_nothing_open();
}

/// If proxies retry on the same stream, the client of a closed stream has disconnected.
#[test]
fn closed_stream_ends_the_request_if_retries_use_the_same_stream() {
    let mut harness =
        Harness::new(ProcessorConfig { retry_mode: RetryMode::SameStream, ..ProcessorConfig::default() });
    assert!(is_admitted(&harness.present(1, SAFE, None)));
    assert!(matches!(harness.respond(1, Outcome::Full), Some(Verdict::Retry(_))));
    harness.handle(Input::Closed { stream: 1 });
    assert_eq!((harness.external.open_requests(), harness.engine.outstanding_attempts()), (0, 0));
    harness.assert_nothing_open();
}

/// A presentation that waits for the previous stream to close is rejected if that stream stays open.
#[test]
fn presentation_beside_an_open_stream_is_rejected_after_the_handover_timeout() {
    let mut harness = Harness::new(ProcessorConfig::default());
    assert!(is_admitted(&harness.present(1, SAFE, Some(1))));
    assert_eq!(harness.present(2, SAFE, Some(2)), None);
    assert_eq!(harness.advance(101.0), [(2, Verdict::Conflict(Conflict::Open))]);
    assert_eq!(harness.respond(1, Outcome::Ok), Some(Verdict::PassThrough));
    harness.assert_nothing_open();
}
