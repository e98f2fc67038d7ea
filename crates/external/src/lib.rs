//! Requests that a proxy carries out and this limiter decides on: who presents which request, what came of each
//! attempt, and which verdict stands.
//!
//! A request is known by its name (`X-Correlation-Id`). It may be *presented* several times: by a proxy whose filter
//! runs once a try, by one that lost its stream, or twice at once. All presentations of its time belong to one
//! request of the engine, so that units are taken once, effect classes hold, and never two attempts are out. This
//! crate does *not* speak gRPC, read a clock or choose servers: [`ExternalProcessor::handle`] takes what a stream said, or what
//! the engine asks, and gives what streams are to be told.
//!
//! ```
//! use fawnhill::{Class, Condition, Effect, KeyGroup, Outcome, Plan, Request, ServerEntry, Settings};
//! use marldeal_engine::{Engine, Input as EngineInput};
//! use marldeal_external::{ProcessorConfig, ExternalProcessor, Input, Action, Presentation, Verdict};
//!
//! # let look = Class {
//! #     aim_ms: 1000.0, late_worth: 0.0, effect: Effect::Safe, group: KeyGroup::All, window_ms: 0.0,
//! # };
//! # let basic = Plan {
//! #     rate: 4.0, burst: 8.0, open: 0, ceiling_rate: 0.0, ceiling_burst: 0.0, ceiling_slack: 0.0,
//! # };
//! # let settings = Settings {
//! #     limiters: 1, position: 0, zone: 0, classes: vec![look], plans: vec![basic], round_ms: 1.0,
//! #     max_attempts: 3, connect_timeout_ms: 250.0, may_probe: false, may_tell: false, may_cancel: true,
//! #     may_advise: false, messages_per_s: 0.0, must_subscribe: false, cold_share: 0.2, cold_ms: 10_000.0,
//! #     fall_multiple: 3.0, fall_ms: 2000.0, firms: 10_000,
//! # };
//! let mut external = ExternalProcessor::new(ProcessorConfig::default(), &settings);
//! let mut engine = Engine::new(settings, 42, 0.0)?;
//! let node = ServerEntry {
//!     server: "node-1".into(), zone: 0, cell: 0, condition: Condition::Serving, weight: 1.0, started: 0.0,
//! };
//! engine.handle(0.0, EngineInput::Servers { whole: true, entries: [node].into() }, &mut Vec::new());
//!
//! let request = Request {
//!     id: 0, class: 0, plan: 0, customer: 7, budget_ms: 3000.0, units: 1.0, spread: 1, first: 0,
//! };
//! let presentation = Presentation { correlation_id: (*b"c-1").into(), key: None, attempt: Some(1), request };
//! let mut out = Vec::new();
//! external.handle(5.0, Input::Presented { stream: 1, presentation }, &mut engine, &mut out);
//! assert!(matches!(&out[..], [Action::Reply { stream: 1, verdict: Verdict::Admit(_) }]));
//!
//! out.clear();
//! external.handle(90.0, Input::Responded { stream: 1, outcome: Outcome::Ok }, &mut engine, &mut out);
//! assert_eq!(out, [Action::Reply { stream: 1, verdict: Verdict::PassThrough }]);
//! assert_eq!((external.open_requests(), engine.open_requests(), engine.outstanding_attempts()), (0, 0, 0));
//! # Ok::<(), String>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use fawnhill::{Class, Effect, Millis, Outcome, Request, RequestId, ServerId, Settings};
use marldeal_engine::timers::Timers;
use marldeal_engine::{Answer, CorrelationId, Engine, Input as EngineInput, Output};

/// A stream of a proxy; never used twice.
pub type StreamId = u64;

/// How a proxy carries out a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// It presents the request again, on a new stream: its filter runs once a try.
    NewStream,
    /// It goes on at once, on the same stream.
    SameStream,
    /// Not at all.
    None,
}

/// What this part holds at most, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessorConfig {
    /// Requests without a final answer; further ones are turned away.
    pub max_open_requests: usize,
    /// Verdicts that stand for later presentations; the oldest make way.
    pub max_standing_verdicts: usize,
    /// How long a further attempt that was granted waits for the presentation that carries it out, and a request
    /// whose stream has ended for its next one.
    pub next_presentation_timeout_ms: Millis,
    /// How long a presentation waits for the stream of the attempt before it to end.
    pub handover_timeout_ms: Millis,
    /// How long an attempt is taken to be out whose end nobody will tell.
    pub unreported_attempt_ms: Millis,
    /// How further attempts are made.
    pub retry_mode: RetryMode,
    /// A final answer that comes while an attempt is out is told at once, unasked.
    pub push_final_answers: bool,
}

impl Default for ProcessorConfig {
    fn default() -> ProcessorConfig {
        ProcessorConfig {
            max_open_requests: 4096,
            max_standing_verdicts: 8192,
            next_presentation_timeout_ms: 1000.0,
            handover_timeout_ms: 100.0,
            unreported_attempt_ms: 250.0,
            retry_mode: RetryMode::NewStream,
            push_final_answers: true,
        }
    }
}

/// A request as a proxy presents it.
#[derive(Debug, Clone, PartialEq)]
pub struct Presentation {
    /// What tells it from others.
    pub correlation_id: CorrelationId,
    /// Its idempotency key.
    pub key: Option<Arc<[u8]>>,
    /// `x-envoy-attempt-count`, from 1, where the proxy tells it.
    pub attempt: Option<u32>,
    /// What it asks; the id is not looked at.
    pub request: Request,
}

/// What has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A stream presents a request; a stream does so once.
    Presented {
        /// Which stream.
        stream: StreamId,
        /// The request.
        presentation: Presentation,
    },
    /// The attempt that a stream carries has ended.
    Responded {
        /// Which stream.
        stream: StreamId,
        /// How, by [`marldeal_engine::outcomes`].
        outcome: Outcome,
    },
    /// Nobody will tell what comes of the attempt that a stream carries: its proxy's protocol cannot. The module
    /// hears neither of an answer nor of silence; the attempt holds its slots for [`ProcessorConfig::unreported_attempt_ms`].
    Unreported {
        /// Which stream.
        stream: StreamId,
    },
    /// A stream has ended, in whatever way.
    Closed {
        /// Which stream.
        stream: StreamId,
    },
    /// The engine asks for something, after an input that came from elsewhere.
    Engine(Output),
    /// The moment that [`ExternalProcessor::next_due`] named has come.
    TimerExpired,
}

/// An attempt that a proxy is to make.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Where to.
    pub server: ServerId,
    /// When it is given up, on the caller's clock.
    pub deadline: Millis,
    /// Which attempt of its request, from 0.
    pub attempt: u32,
}

/// Why a presentation is not taken. Promises nothing: the request of that name may be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conflict {
    /// A request of that name is open, here or at the direct front, and this is not its next attempt.
    Open,
    /// It has been served.
    Served,
    /// A request of that name asks something else.
    Mismatch,
}

/// What a stream is told. All but `Go`, and `Retry` where proxies loop, are the last word on it.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Let in: make this attempt.
    Admit(Grant),
    /// Answer to an outcome: another attempt.
    Retry(Grant),
    /// Answer to an outcome: the client gets the server's answer.
    PassThrough,
    /// Final: trying again is harmless, after so many milliseconds if not 0.
    Refuse {
        /// Advice; 0 for none.
        retry_ms: Millis,
    },
    /// Final: promises nothing.
    Fail,
    /// Not taken.
    Conflict(Conflict),
    /// Not taken, nothing has run: too many are open.
    Busy,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Tell a stream.
    Reply {
        /// Which.
        stream: StreamId,
        /// What.
        verdict: Verdict,
    },
    /// The engine asks for something that concerns no request of a proxy.
    Engine(Output),
}

/// What has happened since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Presentations.
    pub presented: u64,
    /// Requests that the module was asked about.
    pub taken: u64,
    /// First attempts granted.
    pub let_in: u64,
    /// Further attempts granted.
    pub again: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused by the module.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Presentations that were in conflict with an open or served request.
    pub conflicts: u64,
    /// Presentations turned away for want of room.
    pub busy: u64,
    /// Further attempts presented of requests not known here, failed because an earlier one may have run.
    pub strangers: u64,
    /// Streams that ended without an outcome while they carried an attempt.
    pub unreported: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    Presented,
    Responded,
    /// Nothing: its attempt's time is up.
    Nothing,
}

#[derive(Debug)]
enum State {
    /// The module holds it. `None`: its stream has ended.
    Held(Option<(StreamId, Asked)>),
    /// A stream carries this attempt.
    Out(StreamId, u32),
    /// This attempt waits for a presentation that carries it.
    Offered(Grant),
    /// The verdict stands.
    Over(Answer),
}

#[derive(Debug)]
struct Entry {
    id: RequestId,
    key: Option<Arc<[u8]>>,
    request: Request,
    deadline: Millis,
    state: State,
    /// Presentations that were let in or wait to be.
    presented: u32,
    /// When a first attempt was granted.
    first_go: Option<Millis>,
    /// When an orphan, an offer or a standing verdict is dropped.
    until: Millis,
    /// The next presentation, that came before the stream of the one before it has ended, and until when it waits.
    parked: Option<(StreamId, Millis)>,
}

impl Entry {
    /// A presentation more, by the proxy's own count where it tells one.
    fn count(&mut self, req: Option<u32>) {
        self.presented = req.unwrap_or(self.presented.saturating_add(1));
    }

    fn same(&self, other: &Presentation) -> bool {
        let (a, b) = (&self.request, &other.request);
        self.key == other.key
            && (a.class, a.plan, a.customer, a.units.to_bits())
                == (b.class, b.plan, b.customer, b.units.to_bits())
    }
}

/// All requests of proxies at one limiter.
pub struct ExternalProcessor {
    bounds: ProcessorConfig,
    classes: Vec<Class>,
    entries: HashMap<CorrelationId, Entry>,
    ids: HashMap<RequestId, CorrelationId>,
    /// What each stream presented; the id tells it from a later request of the same name.
    streams: HashMap<StreamId, (CorrelationId, RequestId)>,
    /// Whose record is to be looked at.
    timers: Timers<CorrelationId>,
    /// Names of standing verdicts, the oldest first; some may have been dropped or renewed since.
    standing: VecDeque<(CorrelationId, RequestId)>,
    /// Attempts whose end nobody will tell, and when they are taken to have ended; the soonest first.
    blind: VecDeque<(Millis, RequestId, u32)>,
    open: usize,
    over: usize,
    counts: Counts,
}

/// One call's surroundings.
struct Context<'a> {
    now: Millis,
    engine: &'a mut Engine,
    queue: VecDeque<Output>,
    out: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Gives the engine an input; what it asks is worked off after what it asked before.
    fn tell(&mut self, input: EngineInput) -> Option<RequestId> {
        let mut outputs = Vec::new();
        let id = self.engine.handle(self.now, input, &mut outputs);
        self.queue.extend(outputs);
        id
    }

    fn reply(&mut self, stream: StreamId, verdict: Verdict) {
        self.out.push(Action::Reply { stream, verdict });
    }
}

impl ExternalProcessor {
    /// Nothing presented yet; `settings` are the engine's.
    pub fn new(bounds: ProcessorConfig, settings: &Settings) -> ExternalProcessor {
        ExternalProcessor {
            bounds,
            classes: settings.classes.clone(),
            entries: HashMap::new(),
            ids: HashMap::new(),
            streams: HashMap::new(),
            timers: Timers::default(),
            standing: VecDeque::new(),
            blind: VecDeque::new(),
            open: 0,
            over: 0,
            counts: Counts::default(),
        }
    }

    /// Requests of proxies that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.open
    }

    /// Verdicts that stand.
    pub fn standing_verdicts(&self) -> usize {
        self.over
    }

    /// Streams that are owed a word or carry an attempt.
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// What has happened since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether the engine's output concerns a request of a proxy, and so is to be given to [`ExternalProcessor::handle`].
    pub fn owns(&self, output: &Output) -> bool {
        match output {
            Output::Send { id, .. } | Output::Stop { id, .. } | Output::Answer { id, .. } => {
                self.ids.contains_key(id)
            }
            _ => false,
        }
    }

    /// When [`Input::TimerExpired`] is to come, at the latest.
    pub fn next_due(&mut self) -> Option<Millis> {
        let entries = &self.entries;
        let next = self.timers.next_due(|at, name| {
            entries.get(name).is_some_and(|r| {
                let parked = r.parked.is_some_and(|(_, until)| Timers::<CorrelationId>::matches(at, until));
                parked || Timers::<CorrelationId>::matches(at, r.until)
            })
        });
        next.into_iter().chain(self.blind.front().map(|b| b.0)).min_by(f64::total_cmp)
    }

    /// Takes in what has happened and adds to `out` what is to be done, in this order. `now` never goes back.
    pub fn handle(&mut self, now: Millis, input: Input, engine: &mut Engine, out: &mut Vec<Action>) {
        let mut cx = Context { now, engine, queue: VecDeque::new(), out };
        match input {
            Input::Presented { stream, presentation } => self.presented(stream, presentation, &mut cx),
            Input::Responded { stream, outcome } => self.responded(stream, outcome, &mut cx),
            Input::Unreported { stream } => self.unreported(stream, &mut cx),
            Input::Closed { stream } => self.closed(stream, &mut cx),
            Input::Engine(output) => cx.queue.push_back(output),
            Input::TimerExpired => self.due(&mut cx),
        }
        self.work(&mut cx);
    }

    fn presented(&mut self, stream: StreamId, req: Presentation, cx: &mut Context) {
        self.counts.presented += 1;
        let Some(entry) = self.entries.get_mut(&req.correlation_id) else { return self.add(stream, req, cx) };
        if !entry.same(&req) {
            return self.conflict(stream, Conflict::Mismatch, cx);
        }
        let next = req.attempt.is_some_and(|n| n.checked_sub(1) == Some(entry.presented));
        match entry.state {
            State::Over(Answer::Refused { retry_ms }) => cx.reply(stream, Verdict::Refuse { retry_ms }),
            State::Over(Answer::Failed) => cx.reply(stream, Verdict::Fail),
            State::Over(Answer::Served) => self.conflict(stream, Conflict::Served, cx),
            State::Held(None) => {
                entry.count(req.attempt);
                entry.until = f64::INFINITY;
                entry.state = State::Held(Some((stream, Asked::Presented)));
                self.streams.insert(stream, (req.correlation_id, entry.id));
            }
            State::Offered(_) => {
                entry.count(req.attempt);
                let name = req.correlation_id;
                self.take_up(&name, stream, cx);
            }
            // The stream of the attempt before may only seem to be there still: its end can come a little later,
            // on another connection.
            State::Out(..) | State::Held(Some(_)) if next && entry.parked.is_none() => {
                let until = cx.now + self.bounds.handover_timeout_ms;
                entry.parked = Some((stream, until));
                self.timers.push(until, req.correlation_id.clone());
                self.streams.insert(stream, (req.correlation_id, entry.id));
            }
            State::Out(..) | State::Held(Some(_)) => self.conflict(stream, Conflict::Open, cx),
        }
    }

    /// A presentation of a name that is not known here.
    fn add(&mut self, stream: StreamId, req: Presentation, cx: &mut Context) {
        let Presentation { correlation_id, key, attempt, request } = req;
        let effect = self.classes.get(request.class).map_or(Effect::Unsafe, |c| c.effect);
        // An earlier attempt may have run, when nobody here knows: only what may run any number of times goes on.
        if attempt.is_some_and(|n| n > 1) && effect != Effect::Safe {
            self.counts.strangers += 1;
            return cx.reply(stream, Verdict::Fail);
        }
        if self.open >= self.bounds.max_open_requests {
            self.counts.busy += 1;
            return cx.reply(stream, Verdict::Busy);
        }
        let deadline = cx.now + request.budget_ms;
        let Some(id) = cx
            .tell(EngineInput::Request { correlation_id: correlation_id.clone(), request: request.clone() })
        else {
            return self.conflict(stream, Conflict::Open, cx);
        };
        self.counts.taken += 1;
        self.open += 1;
        self.ids.insert(id, correlation_id.clone());
        self.streams.insert(stream, (correlation_id.clone(), id));
        let entry = Entry {
            id,
            key,
            request,
            deadline,
            state: State::Held(Some((stream, Asked::Presented))),
            presented: attempt.unwrap_or(1).max(1),
            first_go: None,
            until: f64::INFINITY,
            parked: None,
        };
        self.entries.insert(correlation_id, entry);
    }

    fn conflict(&mut self, stream: StreamId, why: Conflict, cx: &mut Context) {
        self.counts.conflicts += 1;
        cx.reply(stream, Verdict::Conflict(why));
    }

    /// A stream takes up the attempt that is on offer, unless its server takes nothing new by now.
    fn take_up(&mut self, name: &CorrelationId, stream: StreamId, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        let State::Offered(grant) = &entry.state else { return };
        let grant = grant.clone();
        entry.until = f64::INFINITY;
        self.streams.insert(stream, (name.clone(), entry.id));
        if cx.engine.accepts_requests(&grant.server) {
            entry.state = State::Out(stream, grant.attempt);
            cx.reply(stream, Verdict::Admit(grant));
        } else {
            entry.state = State::Held(Some((stream, Asked::Presented)));
            cx.tell(EngineInput::attempt_ended(entry.id, grant.attempt, Outcome::NotSent));
        }
    }

    fn responded(&mut self, stream: StreamId, outcome: Outcome, cx: &mut Context) {
        let Some((name, id)) = self.streams.get(&stream).cloned() else { return };
        match self.entries.get_mut(&name).filter(|r| r.id == id) {
            Some(entry) => match entry.state {
                State::Out(carrier, attempt) if carrier == stream => {
                    entry.state = State::Held(Some((stream, Asked::Responded)));
                    cx.tell(EngineInput::attempt_ended(entry.id, attempt, outcome));
                }
                // Its attempt's time was up; the verdict to come is told in answer to this.
                State::Held(Some((holder, Asked::Nothing))) if holder == stream => {
                    entry.state = State::Held(Some((stream, Asked::Responded)));
                }
                // The module has given the request up meanwhile: its verdict stands, whatever came later.
                State::Over(answer) => {
                    self.streams.remove(&stream);
                    cx.reply(stream, verdict(answer));
                }
                _ => {}
            },
            // Its verdict stands no more, and its name may be another's: what came late is promised nothing.
            None => {
                self.streams.remove(&stream);
                cx.reply(stream, Verdict::Fail);
            }
        }
    }

    fn unreported(&mut self, stream: StreamId, cx: &mut Context) {
        let Some((name, id)) = self.streams.get(&stream).cloned() else { return };
        let Some(entry) = self.entries.get(&name).filter(|r| r.id == id) else { return };
        let State::Out(carrier, attempt) = entry.state else { return };
        if carrier != stream {
            return;
        }
        self.streams.remove(&stream);
        self.counts.unreported += 1;
        self.blind.push_back((cx.now + self.bounds.unreported_attempt_ms, id, attempt));
        cx.tell(EngineInput::ClientDisconnected { id });
        self.over(&name, Answer::Served, cx.now);
    }

    fn closed(&mut self, stream: StreamId, cx: &mut Context) {
        let Some((name, id)) = self.streams.remove(&stream) else { return };
        let Some(entry) = self.entries.get_mut(&name).filter(|r| r.id == id) else { return };
        if entry.parked.is_some_and(|(parked, _)| parked == stream) {
            entry.parked = None;
            return;
        }
        match entry.state {
            // Nothing has gone out: nothing remains, unless the next presentation is here already.
            State::Held(Some((holder, _)))
                if holder == stream && entry.first_go.is_none() && entry.parked.is_none() =>
            {
                let id = entry.id;
                cx.tell(EngineInput::ClientDisconnected { id });
                self.forget(&name);
            }
            State::Held(Some((holder, _))) if holder == stream => self.orphan(&name, cx),
            State::Out(carrier, attempt) if carrier == stream => {
                self.counts.unreported += 1;
                let id = entry.id;
                self.orphan(&name, cx);
                // It may have run. Most often the client has left, which says nothing against the server.
                cx.tell(EngineInput::attempt_ended(id, attempt, Outcome::Cancelled));
            }
            _ => {}
        }
    }

    /// The stream of a request has ended after an attempt: the next presentation may be on its way.
    fn orphan(&mut self, name: &CorrelationId, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if let Some((stream, _)) = entry.parked.take() {
            entry.count(None);
            entry.state = State::Held(Some((stream, Asked::Presented)));
            return;
        }
        entry.state = State::Held(None);
        // Where proxies do not present again, the client has left.
        if self.bounds.retry_mode != RetryMode::NewStream {
            let id = entry.id;
            cx.tell(EngineInput::ClientDisconnected { id });
            self.over(name, Answer::Failed, cx.now);
            return;
        }
        entry.until = (cx.now + self.bounds.next_presentation_timeout_ms).min(entry.deadline);
        self.timers.push(entry.until, name.clone());
    }

    fn work(&mut self, cx: &mut Context) {
        while let Some(output) = cx.queue.pop_front() {
            let (Output::Send { id, .. } | Output::Stop { id, .. } | Output::Answer { id, .. }) = &output
            else {
                cx.out.push(Action::Engine(output));
                continue;
            };
            let Some(name) = self.ids.get(id).cloned() else {
                // One that was forgotten owes the engine nothing; all others belong to another front.
                cx.out.push(Action::Engine(output));
                continue;
            };
            match output {
                Output::Send { attempt, server, deadline, .. } => {
                    self.send(&name, Grant { server, deadline, attempt }, cx);
                }
                Output::Stop { attempt, outcome, .. } => self.stop(&name, attempt, outcome, cx),
                Output::Answer { answer, .. } => self.answer(&name, answer, cx),
                _ => {}
            }
        }
    }

    fn send(&mut self, name: &CorrelationId, grant: Grant, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if entry.first_go.is_some() {
            self.counts.again += 1;
        } else {
            self.counts.let_in += 1;
            entry.first_go = Some(cx.now);
        }
        match entry.state {
            State::Held(Some((stream, Asked::Presented))) => {
                entry.state = State::Out(stream, grant.attempt);
                cx.reply(stream, Verdict::Admit(grant));
            }
            State::Held(Some((stream, Asked::Responded)))
                if self.bounds.retry_mode == RetryMode::SameStream =>
            {
                entry.state = State::Out(stream, grant.attempt);
                cx.reply(stream, Verdict::Retry(grant));
            }
            State::Held(holder) => {
                let asked = holder.filter(|(_, asked)| *asked == Asked::Responded);
                if self.bounds.retry_mode == RetryMode::None {
                    let input = EngineInput::attempt_ended(entry.id, grant.attempt, Outcome::NotSent);
                    cx.tell(input);
                    return;
                }
                // An offer outlives neither the request nor the time in which servers drop a repeat.
                let class = &self.classes[entry.request.class];
                let window = match (class.effect, entry.first_go) {
                    (Effect::Keyed, Some(first)) => first + class.window_ms,
                    _ => f64::INFINITY,
                };
                entry.until =
                    (cx.now + self.bounds.next_presentation_timeout_ms).min(entry.deadline).min(window);
                self.timers.push(entry.until, name.clone());
                entry.state = State::Offered(grant.clone());
                if let Some((stream, _)) = asked {
                    self.streams.remove(&stream);
                    cx.reply(stream, Verdict::Retry(grant));
                }
                if let Some((stream, _)) = entry.parked.take() {
                    entry.count(None);
                    self.take_up(name, stream, cx);
                }
            }
            State::Out(..) | State::Offered(_) | State::Over(_) => {}
        }
    }

    fn stop(&mut self, name: &CorrelationId, attempt: u32, outcome: Outcome, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        match (&entry.state, outcome) {
            // Nobody has reported in time: what the attempt holds comes free. The proxy was told the limit.
            (State::Out(stream, out), Outcome::TimedOut) if *out == attempt => {
                entry.state = State::Held(Some((*stream, Asked::Nothing)));
                cx.tell(EngineInput::attempt_ended(entry.id, attempt, outcome));
            }
            // A proxy cannot be made to leave a server and go to another: the attempt stays out until it reports.
            // Where the request is over, the final answer that follows ends the attempt.
            _ => {}
        }
    }

    fn answer(&mut self, name: &CorrelationId, answer: Answer, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        match answer {
            Answer::Served => self.counts.served += 1,
            Answer::Refused { .. } => self.counts.refused += 1,
            Answer::Failed => self.counts.failed += 1,
        }
        let id = entry.id;
        match &entry.state {
            State::Held(Some((_, Asked::Nothing))) if !self.bounds.push_final_answers => {}
            State::Held(Some((stream, asked))) => {
                let (stream, asked) = (*stream, *asked);
                self.streams.remove(&stream);
                let verdict = match (answer, asked) {
                    (Answer::Served, Asked::Responded) => Verdict::PassThrough,
                    _ => verdict(answer),
                };
                cx.reply(stream, verdict);
            }
            State::Out(stream, attempt) => {
                let (stream, attempt) = (*stream, *attempt);
                if self.bounds.push_final_answers {
                    self.streams.remove(&stream);
                    cx.reply(stream, verdict(answer));
                }
                cx.tell(EngineInput::attempt_ended(id, attempt, Outcome::Cancelled));
            }
            State::Offered(grant) => {
                let input = EngineInput::attempt_ended(id, grant.attempt, Outcome::NotSent);
                cx.tell(input);
            }
            State::Held(None) | State::Over(_) => {}
        }
        if let Some((stream, _)) = self.entries.get_mut(name).and_then(|r| r.parked.take()) {
            self.streams.remove(&stream);
            cx.reply(stream, verdict(answer));
        }
        self.over(name, answer, cx.now);
    }

    /// The verdict stands from now on, for as long as the client could have waited.
    fn over(&mut self, name: &CorrelationId, answer: Answer, now: Millis) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        entry.state = State::Over(answer);
        entry.until = entry.deadline.max(now);
        self.timers.push(entry.until, name.clone());
        self.ids.remove(&entry.id);
        self.standing.push_back((name.clone(), entry.id));
        self.open -= 1;
        self.over += 1;
        while self.over > self.bounds.max_standing_verdicts {
            let Some((oldest, id)) = self.standing.pop_front() else { break };
            if self.entries.get(&oldest).is_some_and(|r| r.id == id) {
                self.forget(&oldest);
            }
        }
    }

    fn forget(&mut self, name: &CorrelationId) {
        let Some(entry) = self.entries.remove(name) else { return };
        if matches!(entry.state, State::Over(_)) {
            self.over -= 1;
        } else {
            self.ids.remove(&entry.id);
            self.open -= 1;
        }
        // What was dropped before its turn leaves its place behind.
        if self.standing.len() > 2 * self.over.max(64) {
            let entries = &self.entries;
            self.standing.retain(|(n, id)| entries.get(n).is_some_and(|r| r.id == *id));
        }
    }

    fn due(&mut self, cx: &mut Context) {
        while let Some((_, id, attempt)) = self.blind.front().copied().filter(|b| b.0 <= cx.now) {
            self.blind.pop_front();
            // Says nothing of the server, for nothing is known.
            cx.tell(EngineInput::attempt_ended(id, attempt, Outcome::NotSent));
        }
        while let Some(name) = self.timers.pop(cx.now) {
            self.look(&name, cx);
            self.work(cx);
        }
    }

    /// Ends what has waited for long enough.
    fn look(&mut self, name: &CorrelationId, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if let Some((stream, _)) = entry.parked.filter(|(_, until)| *until <= cx.now) {
            entry.parked = None;
            self.streams.remove(&stream);
            self.counts.conflicts += 1;
            cx.reply(stream, Verdict::Conflict(Conflict::Open));
        }
        if entry.until > cx.now {
            return;
        }
        let id = entry.id;
        match &entry.state {
            State::Over(_) => self.forget(name),
            // Nobody has come for it.
            State::Offered(grant) => {
                let attempt = grant.attempt;
                self.over(name, Answer::Failed, cx.now);
                cx.tell(EngineInput::ClientDisconnected { id });
                cx.tell(EngineInput::attempt_ended(id, attempt, Outcome::NotSent));
            }
            State::Held(None) => {
                self.over(name, Answer::Failed, cx.now);
                cx.tell(EngineInput::ClientDisconnected { id });
            }
            State::Held(Some(_)) | State::Out(..) => {}
        }
    }
}

/// The final answer in the words that a stream is told. One that was served elsewhere cannot be given again.
fn verdict(answer: Answer) -> Verdict {
    match answer {
        Answer::Served => Verdict::Conflict(Conflict::Served),
        Answer::Refused { retry_ms } => Verdict::Refuse { retry_ms },
        Answer::Failed => Verdict::Fail,
    }
}
