//! Plays the same recorded traffic in direct and in external mode over three limiters that exchange messages as peers,
//! on one virtual clock. Units, admitted and refused requests per customer, and the final answer of each request must
//! be identical.

mod common;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use common::*;
use fawnhill::{Condition, Outcome, Request};
use marldeal_engine::{Answer, Engine, Input as EngineInput, Output};
use marldeal_external::*;
use marldeal_standin::traffic::{generate, sample_traffic, Call};

const LIMITERS: u32 = 3;
const SECONDS: f64 = 30.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    Direct,
    External(RetryMode),
}

#[derive(Debug)]
enum Event {
    RequestArrives(usize),
    /// A server responds. Fields: limiter, request, attempt, call, and stream in external mode.
    AttemptEnds(usize, u32, u32, usize, StreamId),
    /// A proxy presents a call. Fields: call, attempt.
    RequestPresented(usize, u32),
    MessageReceived(usize, u32, Vec<u8>),
}

/// A scheduled event: its time, a sequence number that preserves the order of events at the same time, and the event.
struct Scheduled(f64, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// Externally visible results of a run.
#[derive(Debug, Default, PartialEq)]
struct Results {
    /// By customer: units of the requests that were forwarded, the number of those requests, and of refused ones.
    units: BTreeMap<u64, u64>,
    admitted: BTreeMap<u64, u32>,
    refused: BTreeMap<u64, u32>,
    /// By call: the final answers, in the order in which they were given.
    answers: BTreeMap<usize, Vec<&'static str>>,
    attempts: u32,
}

struct Simulation<'a> {
    mode: Mode,
    seed: u64,
    calls: &'a [Call],
    engines: Vec<Engine>,
    externals: Vec<ExternalProcessor>,
    events: BinaryHeap<Scheduled>,
    sequence: u64,
    message_count: u64,
    now: f64,
    /// Direct mode: the call of each request of each limiter.
    calls_by_request: BTreeMap<(usize, u32), usize>,
    /// External mode: the call and attempt of each stream.
    streams: BTreeMap<StreamId, (usize, u32)>,
    outstanding: BTreeMap<(usize, u32), u32>,
    results: Results,
}

/// Returns a pseudo-random number in 0..1 that depends on the arguments only.
fn chance(seed: u64, a: u64, b: u64) -> f64 {
    fastrand::Rng::with_seed(seed ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32)).f64()
}

impl Simulation<'_> {
    fn schedule(&mut self, after_ms: f64, event: Event) {
        self.sequence += 1;
        self.events.push(Scheduled(self.now + after_ms, self.sequence, event));
    }

    fn request(&self, call: usize) -> Request {
        let call = &self.calls[call];
        let plan = match call.customer.plan.as_str() {
            "small-yard" => SMALL_PLAN,
            "mill" => MEDIUM_PLAN,
            _ => CEILING_PLAN,
        };
        Request {
            id: 0,
            class: if call.kind.keyed { KEYED } else { SAFE },
            plan,
            customer: call.customer.id,
            budget_ms: call.kind.budget_s * 1000.0,
            units: call.kind.units,
            spread: call.customer.spread,
            first: call.customer.first,
        }
    }

    fn request_arrives(&mut self, call: usize) {
        let limiter = self.calls[call].limiter;
        match self.mode {
            Mode::Direct => {
                let correlation_id = self.calls[call].name.as_bytes().into();
                let request = self.request(call);
                let mut outputs = Vec::new();
                let input = EngineInput::Request { correlation_id, request };
                let id = self.engines[limiter]
                    .handle(self.now, input, &mut outputs)
                    .expect("the correlation id is new");
                self.calls_by_request.insert((limiter, id), call);
                outputs.into_iter().for_each(|output| self.perform(limiter, output));
            }
            Mode::External(_) => self.present(call, 1),
        }
    }

    fn present(&mut self, call: usize, attempt: u32) {
        let limiter = self.calls[call].limiter;
        let correlation_id = self.calls[call].name.as_bytes().into();
        let key = self.calls[call].kind.keyed.then(|| self.calls[call].name.as_bytes().into());
        let request = self.request(call);
        let stream = call as u64 * 10 + u64::from(attempt);
        self.streams.insert(stream, (call, attempt));
        let presentation = Presentation { correlation_id, key, attempt: Some(attempt), request };
        self.handle_external(limiter, Input::Presented { stream, presentation });
    }

    fn handle_engine(&mut self, limiter: usize, input: EngineInput) {
        let mut outputs = Vec::new();
        self.engines[limiter].handle(self.now, input, &mut outputs);
        for output in outputs {
            if self.externals[limiter].owns(&output) {
                self.handle_external(limiter, Input::Engine(output));
            } else {
                self.perform(limiter, output);
            }
        }
    }

    fn handle_external(&mut self, limiter: usize, input: Input) {
        let mut out = Vec::new();
        self.externals[limiter].handle(self.now, input, &mut self.engines[limiter], &mut out);
        for item in out {
            match item {
                Action::Engine(output) => self.perform(limiter, output),
                Action::Reply { stream, verdict } => self.reply_received(limiter, stream, verdict),
            }
        }
    }

    fn reply_received(&mut self, limiter: usize, stream: StreamId, verdict: Verdict) {
        let (call, attempt) = self.streams[&stream];
        match verdict {
            Verdict::Admit(grant) => self.attempt_sent(limiter, 0, grant.attempt, call, stream),
            Verdict::Retry(grant) if self.mode == Mode::External(RetryMode::SameStream) => {
                self.attempt_sent(limiter, 0, grant.attempt, call, stream);
            }
            Verdict::Retry(_) => self.schedule(0.0, Event::RequestPresented(call, attempt + 1)),
            Verdict::PassThrough => self.record_answer(call, "served"),
            Verdict::Refuse { .. } => self.record_answer(call, "refused"),
            Verdict::Fail => self.record_answer(call, "failed"),
            other => panic!("{other:?}"),
        }
    }

    fn perform(&mut self, limiter: usize, output: Output) {
        match output {
            Output::Send { id, attempt, .. } => {
                self.outstanding.insert((limiter, id), attempt);
                self.attempt_sent(limiter, id, attempt, self.calls_by_request[&(limiter, id)], 0);
            }
            Output::Stop { id, attempt, outcome } => {
                let was_outstanding = self.outstanding.remove(&(limiter, id)).is_some();
                let input = EngineInput::attempt_ended(id, attempt, outcome);
                was_outstanding.then(|| self.handle_engine(limiter, input));
            }
            Output::Answer { id, answer } => {
                let answer = match answer {
                    Answer::Served => "served",
                    Answer::Refused { .. } => "refused",
                    Answer::Failed => "failed",
                };
                self.record_answer(self.calls_by_request[&(limiter, id)], answer);
            }
            Output::SendMessage { to, body } => {
                for peer in (0..LIMITERS as usize).filter(|p| *p != limiter) {
                    if to.is_none_or(|to| to as usize == peer) {
                        self.message_count += 1;
                        let random = chance(self.seed, 77, self.message_count);
                        if random > 0.03 {
                            self.schedule(
                                2.0 + 6.0 * random,
                                Event::MessageReceived(peer, limiter as u32, body.clone()),
                            );
                        }
                    }
                }
            }
            _ => {}
        }
    }

    /// Starts an attempt at a server, whose response depends on the call and the attempt only.
    fn attempt_sent(&mut self, limiter: usize, id: u32, attempt: u32, call: usize, stream: StreamId) {
        self.results.attempts += 1;
        let sent_call = &self.calls[call];
        if attempt == 0 {
            *self.results.units.entry(sent_call.customer.id).or_default() += sent_call.kind.units as u64;
            *self.results.admitted.entry(sent_call.customer.id).or_default() += 1;
        }
        let work_ms = 40.0 + 200.0 * chance(self.seed, call as u64, u64::from(attempt));
        self.schedule(work_ms, Event::AttemptEnds(limiter, id, attempt, call, stream));
    }

    fn attempt_ends(&mut self, limiter: usize, id: u32, attempt: u32, call: usize, stream: StreamId) {
        let outcome = match chance(self.seed, call as u64, 100 + u64::from(attempt)) {
            random if random < 0.03 => Outcome::Full,
            random if random < 0.05 => Outcome::Error,
            random if random < 0.06 => Outcome::NoConnection,
            _ => Outcome::Ok,
        };
        match self.mode {
            Mode::Direct => {
                if self.outstanding.get(&(limiter, id)) == Some(&attempt) {
                    self.outstanding.remove(&(limiter, id));
                    self.handle_engine(limiter, EngineInput::attempt_ended(id, attempt, outcome));
                }
            }
            Mode::External(_) => self.handle_external(limiter, Input::Responded { stream, outcome }),
        }
    }

    fn record_answer(&mut self, call: usize, answer: &'static str) {
        if answer == "refused" {
            *self.results.refused.entry(self.calls[call].customer.id).or_default() += 1;
        }
        self.results.answers.entry(call).or_default().push(answer);
    }

    fn run(mut self) -> Results {
        for limiter in 0..LIMITERS as usize {
            let entries = (1..=6).map(|n| entry(n, Condition::Serving)).collect();
            self.handle_engine(limiter, EngineInput::Servers { whole: true, entries });
        }
        for (call, recorded) in self.calls.iter().enumerate() {
            self.schedule(recorded.at_ms, Event::RequestArrives(call));
        }
        let end = (SECONDS + 10.0) * 1000.0;
        loop {
            let due = |simulation: &mut Simulation, l: usize| {
                let (engine_due, external_due) =
                    (simulation.engines[l].next_due(), simulation.externals[l].next_due());
                engine_due.into_iter().chain(external_due).min_by(f64::total_cmp)
            };
            let next = (0..LIMITERS as usize)
                .filter_map(|l| Some((due(&mut self, l)?, l)))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let next_event_at = self.events.peek().map(|d| d.0);
            if let Some((at, limiter)) =
                next.filter(|(at, _)| next_event_at.is_none_or(|event_at| *at < event_at))
            {
                if at > end {
                    break;
                }
                self.now = at.max(self.now);
                self.handle_engine(limiter, EngineInput::TimerExpired);
                self.handle_external(limiter, Input::TimerExpired);
                continue;
            }
            let Some(Scheduled(at, _, event)) = self.events.pop() else { break };
            self.now = at;
            match event {
                Event::RequestArrives(call) => self.request_arrives(call),
                Event::AttemptEnds(l, id, attempt, call, stream) => {
                    self.attempt_ends(l, id, attempt, call, stream)
                }
                Event::RequestPresented(call, attempt) => self.present(call, attempt),
                Event::MessageReceived(limiter, from, body) => {
                    self.handle_engine(limiter, EngineInput::MessageReceived { from, body })
                }
            }
        }
        assert!(self.engines.iter().all(|e| e.open_requests() == 0 && e.outstanding_attempts() == 0));
        assert!(self.externals.iter().all(|e| e.open_requests() == 0));
        self.results
    }
}

fn run(mode: Mode, seed: u64, calls: &[Call]) -> Results {
    let retry_mode = if let Mode::External(retry_mode) = mode { retry_mode } else { RetryMode::None };
    let engine =
        |l| Engine::new(settings(LIMITERS, l), seed ^ u64::from(l), 0.0).expect("settings are valid");
    let config = ProcessorConfig { retry_mode, ..ProcessorConfig::default() };
    Simulation {
        mode,
        seed,
        calls,
        engines: (0..LIMITERS).map(engine).collect(),
        externals: (0..LIMITERS).map(|l| ExternalProcessor::new(config, &settings(LIMITERS, l))).collect(),
        events: BinaryHeap::new(),
        sequence: 0,
        message_count: 0,
        now: 0.0,
        calls_by_request: BTreeMap::new(),
        streams: BTreeMap::new(),
        outstanding: BTreeMap::new(),
        results: Results::default(),
    }
    .run()
}

#[test]
fn external_mode_and_direct_mode_decide_alike() {
    // The greedy customer requests three times its ceiling.
    let (customers, kinds) = sample_traffic(96.0);
    for seed in [11, 12, 13] {
        let calls = generate(seed, &customers, &kinds, LIMITERS, SECONDS);
        assert!(calls.len() >= 3000, "seed {seed}: {}", calls.len());
        let direct = run(Mode::Direct, seed, &calls);
        assert_eq!(direct.answers.len(), calls.len(), "seed {seed}: each request is answered");
        assert!(direct.answers.values().all(|f| f.len() == 1), "seed {seed}: each request is answered once");
        // The traffic exercises the quotas: customers beyond their quota or ceiling are refused, those within it are
        // not, and some requests are retried.
        assert!(direct.refused.get(&301).copied().unwrap_or(0) > 500, "seed {seed}: {:?}", direct.refused);
        assert!(direct.refused.get(&202).copied().unwrap_or(0) > 50, "seed {seed}: {:?}", direct.refused);
        assert!(direct.attempts > direct.admitted.values().sum::<u32>() + 20, "seed {seed}");
        for retry_mode in [RetryMode::NewStream, RetryMode::SameStream] {
            let external = run(Mode::External(retry_mode), seed, &calls);
            assert_eq!(direct, external, "seed {seed}, {retry_mode:?}");
        }
    }
}
