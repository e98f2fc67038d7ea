//! The same recorded traffic in direct and in external mode, over three limiters that talk as peers, on one virtual
//! clock: units per firm, requests let in and refused per firm, and the final answer of each request are identical.

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
enum Moment {
    Arrives(usize),
    /// A node answers: limiter, request, attempt, call, stream in external mode.
    Ends(usize, u32, u32, usize, StreamId),
    /// A proxy presents a call again.
    Presents(usize, u32),
    Hears(usize, u32, Vec<u8>),
}

/// A moment, and a number that keeps those of one time in the order in which they were noted.
struct Due(f64, u64, Moment);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// What a run shows to the outside.
#[derive(Debug, Default, PartialEq)]
struct Figures {
    /// By firm: units of the tries that were sent on, those tries, and those refused.
    units: BTreeMap<u64, u64>,
    let_in: BTreeMap<u64, u32>,
    refused: BTreeMap<u64, u32>,
    /// By call: the final answers, in the order in which they came.
    finals: BTreeMap<usize, Vec<&'static str>>,
    attempts: u32,
}

struct World<'a> {
    mode: Mode,
    seed: u64,
    calls: &'a [Call],
    engines: Vec<Engine>,
    externals: Vec<ExternalProcessor>,
    moments: BinaryHeap<Due>,
    number: u64,
    letters: u64,
    now: f64,
    /// Direct mode: the call of each request of each limiter.
    owners: BTreeMap<(usize, u32), usize>,
    /// External mode: the call and limiter of each stream.
    streams: BTreeMap<StreamId, (usize, u32)>,
    out: BTreeMap<(usize, u32), u32>,
    figures: Figures,
}

/// A number in 0..1 that only its arguments decide.
fn chance(seed: u64, a: u64, b: u64) -> f64 {
    fastrand::Rng::with_seed(seed ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32)).f64()
}

impl World<'_> {
    fn later(&mut self, after_ms: f64, moment: Moment) {
        self.number += 1;
        self.moments.push(Due(self.now + after_ms, self.number, moment));
    }

    fn request(&self, call: usize) -> Request {
        let call = &self.calls[call];
        let plan = match call.customer.plan.as_str() {
            "small-yard" => SMALL,
            "mill" => MILL,
            _ => FLEET,
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

    fn arrives(&mut self, call: usize) {
        let limiter = self.calls[call].limiter;
        match self.mode {
            Mode::Direct => {
                let correlation_id = self.calls[call].name.as_bytes().into();
                let request = self.request(call);
                let mut outputs = Vec::new();
                let input = EngineInput::Request { correlation_id, request };
                let id = self.engines[limiter].handle(self.now, input, &mut outputs).expect("a new name");
                self.owners.insert((limiter, id), call);
                outputs.into_iter().for_each(|output| self.perform(limiter, output));
            }
            Mode::External(_) => self.presents(call, 1),
        }
    }

    fn presents(&mut self, call: usize, attempt: u32) {
        let limiter = self.calls[call].limiter;
        let correlation_id = self.calls[call].name.as_bytes().into();
        let key = self.calls[call].kind.keyed.then(|| self.calls[call].name.as_bytes().into());
        let request = self.request(call);
        let stream = call as u64 * 10 + u64::from(attempt);
        self.streams.insert(stream, (call, attempt));
        let presentation = Presentation { correlation_id, key, attempt: Some(attempt), request };
        self.give(limiter, Input::Presented { stream, presentation });
    }

    fn tell(&mut self, limiter: usize, input: EngineInput) {
        let mut outputs = Vec::new();
        self.engines[limiter].handle(self.now, input, &mut outputs);
        for output in outputs {
            if self.externals[limiter].owns(&output) {
                self.give(limiter, Input::Engine(output));
            } else {
                self.perform(limiter, output);
            }
        }
    }

    fn give(&mut self, limiter: usize, input: Input) {
        let mut out = Vec::new();
        self.externals[limiter].handle(self.now, input, &mut self.engines[limiter], &mut out);
        for item in out {
            match item {
                Action::Engine(output) => self.perform(limiter, output),
                Action::Reply { stream, verdict } => self.told(limiter, stream, verdict),
            }
        }
    }

    fn told(&mut self, limiter: usize, stream: StreamId, verdict: Verdict) {
        let (call, attempt) = self.streams[&stream];
        match verdict {
            Verdict::Admit(grant) => self.sent(limiter, 0, grant.attempt, call, stream),
            Verdict::Retry(grant) if self.mode == Mode::External(RetryMode::SameStream) => {
                self.sent(limiter, 0, grant.attempt, call, stream);
            }
            Verdict::Retry(_) => self.later(0.0, Moment::Presents(call, attempt + 1)),
            Verdict::PassThrough => self.done(call, "served"),
            Verdict::Refuse { .. } => self.done(call, "refused"),
            Verdict::Fail => self.done(call, "failed"),
            other => panic!("{other:?}"),
        }
    }

    fn perform(&mut self, limiter: usize, output: Output) {
        match output {
            Output::Send { id, attempt, .. } => {
                self.out.insert((limiter, id), attempt);
                self.sent(limiter, id, attempt, self.owners[&(limiter, id)], 0);
            }
            Output::Stop { id, attempt, outcome } => {
                let was_out = self.out.remove(&(limiter, id)).is_some();
                let ended = EngineInput::attempt_ended(id, attempt, outcome);
                was_out.then(|| self.tell(limiter, ended));
            }
            Output::Answer { id, answer } => {
                let what = match answer {
                    Answer::Served => "served",
                    Answer::Refused { .. } => "refused",
                    Answer::Failed => "failed",
                };
                self.done(self.owners[&(limiter, id)], what);
            }
            Output::SendMessage { to, body } => {
                for peer in (0..LIMITERS as usize).filter(|p| *p != limiter) {
                    if to.is_none_or(|to| to as usize == peer) {
                        self.letters += 1;
                        let dice = chance(self.seed, 77, self.letters);
                        if dice > 0.03 {
                            self.later(2.0 + 6.0 * dice, Moment::Hears(peer, limiter as u32, body.clone()));
                        }
                    }
                }
            }
            _ => {}
        }
    }

    /// An attempt reaches a node, whose answer depends on the call and the attempt alone.
    fn sent(&mut self, limiter: usize, id: u32, attempt: u32, call: usize, stream: StreamId) {
        self.figures.attempts += 1;
        let of = &self.calls[call];
        if attempt == 0 {
            *self.figures.units.entry(of.customer.id).or_default() += of.kind.units as u64;
            *self.figures.let_in.entry(of.customer.id).or_default() += 1;
        }
        let work_ms = 40.0 + 200.0 * chance(self.seed, call as u64, u64::from(attempt));
        self.later(work_ms, Moment::Ends(limiter, id, attempt, call, stream));
    }

    fn ends(&mut self, limiter: usize, id: u32, attempt: u32, call: usize, stream: StreamId) {
        let outcome = match chance(self.seed, call as u64, 100 + u64::from(attempt)) {
            dice if dice < 0.03 => Outcome::Full,
            dice if dice < 0.05 => Outcome::Error,
            dice if dice < 0.06 => Outcome::NoConnection,
            _ => Outcome::Ok,
        };
        match self.mode {
            Mode::Direct => {
                if self.out.get(&(limiter, id)) == Some(&attempt) {
                    self.out.remove(&(limiter, id));
                    self.tell(limiter, EngineInput::attempt_ended(id, attempt, outcome));
                }
            }
            Mode::External(_) => self.give(limiter, Input::Responded { stream, outcome }),
        }
    }

    fn done(&mut self, call: usize, what: &'static str) {
        if what == "refused" {
            *self.figures.refused.entry(self.calls[call].customer.id).or_default() += 1;
        }
        self.figures.finals.entry(call).or_default().push(what);
    }

    fn run(mut self) -> Figures {
        for limiter in 0..LIMITERS as usize {
            let entries = (1..=6).map(|n| entry(n, Condition::Serving)).collect();
            self.tell(limiter, EngineInput::Servers { whole: true, entries });
        }
        for (call, of) in self.calls.iter().enumerate() {
            self.later(of.at_ms, Moment::Arrives(call));
        }
        let end = (SECONDS + 10.0) * 1000.0;
        loop {
            let due = |world: &mut World, l: usize| {
                let (a, b) = (world.engines[l].next_due(), world.externals[l].next_due());
                a.into_iter().chain(b).min_by(f64::total_cmp)
            };
            let next = (0..LIMITERS as usize)
                .filter_map(|l| Some((due(&mut self, l)?, l)))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let moment = self.moments.peek().map(|d| d.0);
            if let Some((at, limiter)) = next.filter(|(at, _)| moment.is_none_or(|m| *at < m)) {
                if at > end {
                    break;
                }
                self.now = at.max(self.now);
                self.tell(limiter, EngineInput::TimerExpired);
                self.give(limiter, Input::TimerExpired);
                continue;
            }
            let Some(Due(at, _, moment)) = self.moments.pop() else { break };
            self.now = at;
            match moment {
                Moment::Arrives(call) => self.arrives(call),
                Moment::Ends(l, id, attempt, call, stream) => self.ends(l, id, attempt, call, stream),
                Moment::Presents(call, attempt) => self.presents(call, attempt),
                Moment::Hears(limiter, from, body) => {
                    self.tell(limiter, EngineInput::MessageReceived { from, body })
                }
            }
        }
        assert!(self.engines.iter().all(|e| e.open_requests() == 0 && e.outstanding_attempts() == 0));
        assert!(self.externals.iter().all(|e| e.open_requests() == 0));
        self.figures
    }
}

fn play(mode: Mode, seed: u64, calls: &[Call]) -> Figures {
    let retry_mode = if let Mode::External(retries) = mode { retries } else { RetryMode::None };
    let engine = |l| Engine::new(settings(LIMITERS, l), seed ^ u64::from(l), 0.0).expect("good settings");
    let bounds = ProcessorConfig { retry_mode, ..ProcessorConfig::default() };
    World {
        mode,
        seed,
        calls,
        engines: (0..LIMITERS).map(engine).collect(),
        externals: (0..LIMITERS).map(|l| ExternalProcessor::new(bounds, &settings(LIMITERS, l))).collect(),
        moments: BinaryHeap::new(),
        number: 0,
        letters: 0,
        now: 0.0,
        owners: BTreeMap::new(),
        streams: BTreeMap::new(),
        out: BTreeMap::new(),
        figures: Figures::default(),
    }
    .run()
}

#[test]
fn external_mode_decides_as_direct_mode_does() {
    // The greedy firm asks for three times its ceiling.
    let (firms, kinds) = sample_traffic(96.0);
    for seed in [11, 12, 13] {
        let calls = generate(seed, &firms, &kinds, LIMITERS, SECONDS);
        assert!(calls.len() >= 3000, "seed {seed}: {}", calls.len());
        let direct = play(Mode::Direct, seed, &calls);
        assert_eq!(direct.finals.len(), calls.len(), "seed {seed}: each request is answered");
        assert!(direct.finals.values().all(|f| f.len() == 1), "seed {seed}: once");
        // The traffic is what it is meant to be: firms beyond their quota and the fleet at its ceiling are refused,
        // those inside are not, and some requests are tried again.
        assert!(direct.refused.get(&301).copied().unwrap_or(0) > 500, "seed {seed}: {:?}", direct.refused);
        assert!(direct.refused.get(&202).copied().unwrap_or(0) > 50, "seed {seed}: {:?}", direct.refused);
        assert!(direct.attempts > direct.let_in.values().sum::<u32>() + 20, "seed {seed}");
        for retries in [RetryMode::NewStream, RetryMode::SameStream] {
            let external = play(Mode::External(retries), seed, &calls);
            assert_eq!(direct, external, "seed {seed}, {retries:?}");
        }
    }
}
