//! The hard cases one by one, on a virtual clock.

mod common;

use common::*;
use fawnhill::{Condition, Outcome};
use marldeal_engine::{Engine, Input as EngineInput};
use marldeal_external::*;

struct Case {
    engine: Engine,
    external: ExternalProcessor,
    now: f64,
}

impl Case {
    fn new(bounds: ProcessorConfig) -> Case {
        let settings = settings(1, 0);
        let external = ExternalProcessor::new(bounds, &settings);
        let mut engine = Engine::new(settings, 9, 0.0).expect("good settings");
        let entries = (1..=3).map(|n| entry(n, Condition::Serving)).collect();
        engine.handle(0.0, EngineInput::Servers { whole: true, entries }, &mut Vec::new());
        Case { engine, external, now: 0.0 }
    }

    fn give(&mut self, input: Input) -> Vec<(StreamId, Verdict)> {
        let mut out = Vec::new();
        self.external.handle(self.now, input, &mut self.engine, &mut out);
        Case::replies(out)
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
        let request = request(class, FREE, 7);
        let presentation = Presentation { correlation_id: (*b"c-1").into(), key, attempt, request };
        self.give(Input::Presented { stream, presentation }).pop().map(|(_, verdict)| verdict)
    }

    fn respond(&mut self, stream: StreamId, outcome: Outcome) -> Option<Verdict> {
        self.give(Input::Responded { stream, outcome }).pop().map(|(_, verdict)| verdict)
    }

    fn wait(&mut self, ms: f64) -> Vec<(StreamId, Verdict)> {
        let until = self.now + ms;
        let mut all = Vec::new();
        loop {
            let (a, b) = (self.engine.next_due(), self.external.next_due());
            let next = a.into_iter().chain(b).min_by(f64::total_cmp);
            let Some(at) = next.filter(|at| *at <= until) else { break };
            self.now = at.max(self.now);
            let mut outputs = Vec::new();
            self.engine.handle(self.now, EngineInput::TimerExpired, &mut outputs);
            for output in outputs {
                if self.external.owns(&output) {
                    all.extend(self.give(Input::Engine(output)));
                }
            }
            all.extend(self.give(Input::TimerExpired));
        }
        self.now = until;
        all
    }

    fn is_over(&mut self) {
        self.wait(10_000.0);
        assert_eq!((self.engine.open_requests(), self.engine.outstanding_attempts()), (0, 0));
        assert_eq!((self.external.open_requests(), self.external.standing_verdicts()), (0, 0));
    }
}

fn is_go(verdict: &Option<Verdict>) -> bool {
    matches!(verdict, Some(Verdict::Admit(_)))
}

/// An unsafe request whose stream ended without a word may have run: it fails, and so does each later presentation.
#[test]
fn an_unsafe_request_that_may_have_run_is_never_let_in_again() {
    let mut case = Case::new(ProcessorConfig::default());
    assert!(is_go(&case.present(1, UNSAFE, Some(1))));
    case.give(Input::Closed { stream: 1 });
    assert_eq!(case.present(2, UNSAFE, Some(2)), Some(Verdict::Fail));
    assert_eq!(case.present(3, UNSAFE, Some(3)), Some(Verdict::Fail));
    case.is_over();
}

#[test]
fn an_unsafe_request_that_was_never_sent_goes_on() {
    let mut case = Case::new(ProcessorConfig::default());
    assert!(is_go(&case.present(1, UNSAFE, Some(1))));
    assert!(matches!(case.respond(1, Outcome::NoConnection), Some(Verdict::Retry(_))));
    assert!(is_go(&case.present(2, UNSAFE, Some(2))));
    assert_eq!(case.respond(2, Outcome::Ok), Some(Verdict::PassThrough));
    case.is_over();
}

/// Servers drop repeats for 2 s here. A retry that was granted in time is not taken up after it.
#[test]
fn a_granted_retry_of_a_keyed_request_lapses_with_its_window() {
    let mut case =
        Case::new(ProcessorConfig { next_presentation_timeout_ms: 2500.0, ..ProcessorConfig::default() });
    assert!(is_go(&case.present(1, KEYED, Some(1))));
    case.wait(600.0);
    assert!(matches!(case.respond(1, Outcome::Error), Some(Verdict::Retry(_))));
    case.wait(1500.0);
    assert_eq!(case.present(2, KEYED, Some(2)), Some(Verdict::Fail));
    case.is_over();
}

/// A retry that was granted before its server's drain goes elsewhere when it is taken up after it.
#[test]
fn a_granted_retry_is_not_taken_up_at_a_server_that_drains_by_then() {
    let mut case = Case::new(ProcessorConfig::default());
    assert!(is_go(&case.present(1, SAFE, Some(1))));
    let Some(Verdict::Retry(first)) = case.respond(1, Outcome::Full) else { panic!("no retry") };
    let n = (1..=3).find(|n| entry(*n, Condition::Serving).server == first.server).expect("a server");
    let entries = [entry(n, Condition::Draining)].into();
    case.engine.handle(case.now, EngineInput::Servers { whole: false, entries }, &mut Vec::new());
    let Some(Verdict::Admit(second)) = case.present(2, SAFE, Some(2)) else { panic!("not let in") };
    assert_ne!(second.server, first.server);
    case.respond(2, Outcome::Ok);
    case.is_over();
}

/// Nobody comes for a granted retry: it holds nothing once its time is up.
#[test]
fn a_granted_retry_that_nobody_takes_up_comes_free() {
    let mut case =
        Case::new(ProcessorConfig { next_presentation_timeout_ms: 500.0, ..ProcessorConfig::default() });
    assert!(is_go(&case.present(1, SAFE, Some(1))));
    assert!(matches!(case.respond(1, Outcome::Full), Some(Verdict::Retry(_))));
    assert_eq!(case.engine.outstanding_attempts(), 1);
    case.wait(501.0);
    assert_eq!((case.engine.outstanding_attempts(), case.external.open_requests()), (0, 0));
    assert_eq!(case.present(2, SAFE, Some(2)), Some(Verdict::Fail), "its verdict stands");
    case.is_over();
}

/// Without leave to speak unasked, the verdict waits for the outcome, which no longer counts.
#[test]
fn without_push_the_verdict_stands_for_the_outcome_that_comes_late() {
    let mut case = Case::new(ProcessorConfig { push_final_answers: false, ..ProcessorConfig::default() });
    assert!(is_go(&case.present(1, KEYED, Some(1))));
    assert_eq!(case.wait(2900.0), [], "nothing is said unasked");
    assert_eq!((case.engine.open_requests(), case.engine.outstanding_attempts()), (0, 0));
    assert_eq!(case.respond(1, Outcome::Ok), Some(Verdict::Fail));
    case.is_over();
}

/// An outcome that comes after its request's time, when another has the name: it is promised nothing, and the other is
/// not disturbed.
#[test]
fn a_late_outcome_does_not_meet_a_later_request_of_its_name() {
    let mut case = Case::new(ProcessorConfig { push_final_answers: false, ..ProcessorConfig::default() });
    assert!(is_go(&case.present(1, KEYED, Some(1))));
    case.wait(4000.0);
    assert!(is_go(&case.present(2, KEYED, Some(1))), "a new request");
    assert_eq!(case.respond(1, Outcome::Ok), Some(Verdict::Fail));
    assert_eq!(case.respond(2, Outcome::Ok), Some(Verdict::PassThrough));
    assert!(is_go(&{
        let correlation_id = (*b"c-2").into();
        let presentation =
            Presentation { correlation_id, key: None, attempt: None, request: request(SAFE, FREE, 7) };
        case.give(Input::Presented { stream: 3, presentation }).pop().map(|(_, verdict)| verdict)
    }));
    case.wait(4000.0);
    assert_eq!(case.respond(3, Outcome::Ok), Some(Verdict::Fail), "nobody has its name");
    assert_eq!(case.external.open_streams(), 0);
    case.is_over();
}

#[test]
fn standing_verdicts_are_bounded_and_the_oldest_make_way() {
    let mut case = Case::new(ProcessorConfig { max_standing_verdicts: 10, ..ProcessorConfig::default() });
    for n in 0..1000_u64 {
        let correlation_id = n.to_be_bytes().as_slice().into();
        let presentation =
            Presentation { correlation_id, key: None, attempt: None, request: request(SAFE, FREE, 7) };
        assert_eq!(case.give(Input::Presented { stream: n, presentation }).len(), 1);
        case.give(Input::Responded { stream: n, outcome: Outcome::Ok });
        assert!(case.external.standing_verdicts() <= 10);
        case.now += 1.0;
    }
    assert_eq!(case.external.open_streams(), 0);
    case.is_over();
}

/// New firms without end from a proxy: the module remembers so many, strangers are refused, and records go.
#[test]
fn a_flood_of_names_from_a_proxy_is_bounded() {
    let mut case = Case::new(ProcessorConfig { max_standing_verdicts: 100, ..ProcessorConfig::default() });
    let mut refused = 0;
    for n in 0..50_000_u64 {
        let correlation_id = n.to_be_bytes().as_slice().into();
        let asked = fawnhill::Request { customer: 1_000_000 + n, ..request(SAFE, FREE, 7) };
        let presentation = Presentation { correlation_id, key: None, attempt: None, request: asked };
        let verdict =
            case.give(Input::Presented { stream: n, presentation }).pop().map(|(_, verdict)| verdict);
        match verdict {
            Some(Verdict::Refuse { .. }) => refused += 1,
            _ => drop(case.give(Input::Responded { stream: n, outcome: Outcome::Ok })),
        }
        case.give(Input::Closed { stream: n });
        case.wait(0.5);
        assert!(
            case.engine.customer_counts().customers <= 10_000 && case.external.standing_verdicts() <= 100
        );
        assert_eq!((case.external.open_requests(), case.external.open_streams()), (0, 0));
    }
    assert!(refused > 40_000, "{refused} of 50000 strangers");
    case.is_over();
}

/// An attempt whose end nobody tells holds its slot for the stated time, and says nothing of its server.
#[test]
fn an_unreported_attempt_is_out_for_the_stated_time() {
    let mut case = Case::new(ProcessorConfig { unreported_attempt_ms: 300.0, ..ProcessorConfig::default() });
    assert!(is_go(&case.present(1, KEYED, None)));
    case.give(Input::Unreported { stream: 1 });
    assert_eq!((case.external.open_requests(), case.engine.outstanding_attempts()), (0, 1));
    case.wait(299.0);
    assert_eq!(case.engine.outstanding_attempts(), 1);
    case.wait(2.0);
    assert_eq!(case.engine.outstanding_attempts(), 0);
    assert_eq!(case.present(2, KEYED, None), Some(Verdict::Conflict(Conflict::Served)));
    case.is_over();
}

/// Where proxies loop, a stream that ends has left for good.
#[test]
fn a_looping_proxy_that_leaves_is_not_waited_for() {
    let mut case =
        Case::new(ProcessorConfig { retry_mode: RetryMode::SameStream, ..ProcessorConfig::default() });
    assert!(is_go(&case.present(1, SAFE, None)));
    assert!(matches!(case.respond(1, Outcome::Full), Some(Verdict::Retry(_))));
    case.give(Input::Closed { stream: 1 });
    assert_eq!((case.external.open_requests(), case.engine.outstanding_attempts()), (0, 0));
    case.is_over();
}

/// A presentation that waits for the stream before it to end is told so when that does not come.
#[test]
fn a_presentation_beside_a_live_stream_waits_and_is_then_in_conflict() {
    let mut case = Case::new(ProcessorConfig::default());
    assert!(is_go(&case.present(1, SAFE, Some(1))));
    assert_eq!(case.present(2, SAFE, Some(2)), None);
    assert_eq!(case.wait(101.0), [(2, Verdict::Conflict(Conflict::Open))]);
    assert_eq!(case.respond(1, Outcome::Ok), Some(Verdict::PassThrough));
    case.is_over();
}
