//! State machine for requests that a proxy carries out and on which this limiter decides: which stream presents which
//! request, how each attempt ended, and which verdict applies.
//!
//! A request is identified by its correlation id (`X-Correlation-Id`). It may be *presented* several times: by a proxy
//! whose filter runs once per attempt, by a proxy that lost its stream, or on two streams at once. All presentations
//! within the time budget of a request belong to one request of the engine, so that its units are charged once, its
//! effect class is respected, and no two attempts are outstanding at the same time. This crate does *not* speak gRPC,
//! read a clock or choose servers: [`ExternalProcessor::handle`] takes an event of a stream or an output of the engine
//! and returns the replies to the streams.
//!
//! ```
//! use fawnhill::{Class, Condition, Effect, KeyGroup, Outcome, Plan, Request, ServerEntry, Settings};
//! use marldeal_engine::{Engine, Input as EngineInput};
//! use marldeal_external::{Action, ExternalProcessor, Input, Presentation, ProcessorConfig, Verdict};
//!
//! # let lookup = Class {
//! #     aim_ms: 1000.0, late_worth: 0.0, effect: Effect::Safe, group: KeyGroup::All, window_ms: 0.0,
//! # };
//! # let basic = Plan {
//! #     rate: 4.0, burst: 8.0, open: 0, ceiling_rate: 0.0, ceiling_burst: 0.0, ceiling_slack: 0.0,
//! # };
//! # let settings = Settings {
//! #     limiters: 1, position: 0, zone: 0, classes: vec![lookup], plans: vec![basic], round_ms: 1.0,
//! #     max_attempts: 3, connect_timeout_ms: 250.0, may_probe: false, may_tell: false, may_cancel: true,
//! #     may_advise: false, messages_per_s: 0.0, must_subscribe: false, cold_share: 0.2, cold_ms: 10_000.0,
//! #     fall_multiple: 3.0, fall_ms: 2000.0, firms: 10_000,
//! # };
//! let mut external = ExternalProcessor::new(ProcessorConfig::default(), &settings);
//! let mut engine = Engine::new(settings, 42, 0.0)?;
//! let server = ServerEntry {
//!     server: "server-1".into(), zone: 0, cell: 0, condition: Condition::Serving, weight: 1.0, started: 0.0,
//! };
//! engine.handle(0.0, EngineInput::Servers { whole: true, entries: [server].into() }, &mut Vec::new());
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

/// Identifies a stream of a proxy. Ids are never reused.
pub type StreamId = u64;

/// How a proxy makes a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// The proxy presents the request again on a new stream, because its filter runs once per attempt.
    NewStream,
    /// The proxy makes the further attempt at once, on the same stream.
    SameStream,
    /// The proxy makes no further attempts.
    None,
}

/// Capacity limits, time-outs and proxy behaviour of an [`ExternalProcessor`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessorConfig {
    /// Maximum number of requests without a final answer. Further requests are rejected with [`Verdict::Busy`].
    pub max_open_requests: usize,
    /// Maximum number of verdicts kept for later presentations. The oldest are evicted.
    pub max_standing_verdicts: usize,
    /// How long a granted retry waits for the presentation that carries it out, and how long a request whose stream
    /// has closed waits for its next presentation.
    pub next_presentation_timeout_ms: Millis,
    /// How long a presentation waits for the stream of the previous attempt to close.
    pub handover_timeout_ms: Millis,
    /// How long an attempt counts as outstanding if its proxy cannot report the end.
    pub unreported_attempt_ms: Millis,
    /// How proxies make further attempts.
    pub retry_mode: RetryMode,
    /// Whether a final answer that is given while an attempt is outstanding is sent to the stream at once, without
    /// waiting for the proxy's next message.
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

/// A request as presented by a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct Presentation {
    /// Identifies the request.
    pub correlation_id: CorrelationId,
    /// The idempotency key, if the request has one.
    pub key: Option<Arc<[u8]>>,
    /// `x-envoy-attempt-count`, from 1, if the proxy sends it.
    pub attempt: Option<u32>,
    /// The request. Its `id` is ignored.
    pub request: Request,
}

/// An event to handle.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A stream presents a request. Each stream does so once.
    Presented {
        /// The stream.
        stream: StreamId,
        /// The request.
        presentation: Presentation,
    },
    /// The attempt of a stream has ended.
    Responded {
        /// The stream.
        stream: StreamId,
        /// The outcome, as mapped by [`marldeal_engine::outcomes`].
        outcome: Outcome,
    },
    /// The end of a stream's attempt will not be reported, because the protocol of the proxy has no means for it. The
    /// decision module learns neither of a response nor of a time-out; the attempt occupies its slots for
    /// [`ProcessorConfig::unreported_attempt_ms`].
    Unreported {
        /// The stream.
        stream: StreamId,
    },
    /// A stream has closed, for whatever reason.
    Closed {
        /// The stream.
        stream: StreamId,
    },
    /// An output of the engine, produced by an input that did not go through [`ExternalProcessor::handle`].
    Engine(Output),
    /// The time returned by [`ExternalProcessor::next_due`] has come.
    TimerExpired,
}

/// Permission for a proxy to make an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The server to send the attempt to.
    pub server: ServerId,
    /// When the attempt times out, on the caller's clock.
    pub deadline: Millis,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
}

/// Why a presentation is rejected. A conflict says nothing about whether the request has run: one with the same
/// correlation id may be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conflict {
    /// A request with this correlation id is open, here or at the direct front end, and the presentation is not its
    /// next attempt.
    Open,
    /// The request has been served.
    Served,
    /// The request with this correlation id has a different content.
    Mismatch,
}

/// Reply to a stream. It is the last reply of the stream unless it is [`Verdict::Admit`], or [`Verdict::Retry`] with
/// [`RetryMode::SameStream`].
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The request is admitted: the proxy makes this attempt.
    Admit(Grant),
    /// Reply to an outcome: the proxy makes another attempt.
    Retry(Grant),
    /// Reply to an outcome: the proxy passes the server's response to the client.
    PassThrough,
    /// Final: the request is refused, and repeating it is harmless.
    Refuse {
        /// Advised delay before the client repeats the request; 0 for no advice.
        retry_ms: Millis,
    },
    /// Final: the request failed, and it may have run.
    Fail,
    /// The presentation is rejected.
    Conflict(Conflict),
    /// The presentation is rejected because too many requests are open. Nothing has run.
    Busy,
}

/// An action for the caller to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Reply to a stream.
    Reply {
        /// The stream.
        stream: StreamId,
        /// The reply.
        verdict: Verdict,
    },
    /// Perform an output of the engine that does not concern a request of a proxy.
    Engine(Output),
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Presentations received.
    pub presented: u64,
    /// Requests passed to the engine for a decision.
    pub taken: u64,
    /// First attempts granted.
    pub let_in: u64,
    /// Further attempts granted.
    pub again: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused by the decision module.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Presentations rejected because of a conflict with an open or served request.
    pub conflicts: u64,
    /// Presentations rejected because too many requests were open.
    pub busy: u64,
    /// Presentations of further attempts of unknown requests, failed because an earlier attempt may have run.
    pub strangers: u64,
    /// Streams that closed without an outcome while their attempt was outstanding.
    pub unreported: u64,
}

/// The message to which a stream still awaits a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingReply {
    /// The presentation of the request.
    Presentation,
    /// The outcome of the attempt.
    Outcome,
    /// None: the attempt of the stream has timed out and its proxy has not reported an outcome.
    None,
}

#[derive(Debug)]
enum State {
    /// The engine is deciding on the request. `None` if the stream of the last attempt has closed.
    Deciding(Option<(StreamId, PendingReply)>),
    /// The attempt with this number is outstanding on the stream.
    Outstanding(StreamId, u32),
    /// This further attempt is granted and waits for a presentation that carries it out.
    RetryGranted(Grant),
    /// The request has its final answer, which is kept for later presentations.
    Finished(Answer),
}

#[derive(Debug)]
struct Entry {
    id: RequestId,
    key: Option<Arc<[u8]>>,
    request: Request,
    deadline: Millis,
    state: State,
    /// Number of accepted presentations, as counted by the proxy if it sends a count.
    presentations: u32,
    /// When the first attempt was granted.
    first_granted: Option<Millis>,
    /// When the request is given up for lack of a presentation, or its verdict is dropped.
    expires: Millis,
    /// The next presentation, received before the stream of the previous one closed, and until when it waits.
    next_presentation: Option<(StreamId, Millis)>,
}

impl Entry {
    /// Counts an accepted presentation, by the proxy's own count if it sends one.
    fn record_presentation(&mut self, attempt: Option<u32>) {
        self.presentations = attempt.unwrap_or(self.presentations.saturating_add(1));
    }

    /// Returns whether a presentation has the same content as this request.
    fn matches(&self, other: &Presentation) -> bool {
        let (a, b) = (&self.request, &other.request);
        self.key == other.key
            && (a.class, a.plan, a.customer, a.units.to_bits())
                == (b.class, b.plan, b.customer, b.units.to_bits())
    }
}

/// State machine for all requests of proxies at one limiter.
pub struct ExternalProcessor {
    config: ProcessorConfig,
    classes: Vec<Class>,
    entries: HashMap<CorrelationId, Entry>,
    /// Correlation ids of open requests.
    ids: HashMap<RequestId, CorrelationId>,
    /// The request presented by each stream. The request id distinguishes it from a later request with the same
    /// correlation id.
    streams: HashMap<StreamId, (CorrelationId, RequestId)>,
    /// Expiry times of entries and of waiting presentations.
    timers: Timers<CorrelationId>,
    /// Finished requests, the oldest first. Some may have been dropped or replaced by a new request since.
    finished: VecDeque<(CorrelationId, RequestId)>,
    /// Attempts whose end will not be reported, with the time at which each is assumed to end, the earliest first.
    unreported_attempts: VecDeque<(Millis, RequestId, u32)>,
    open_count: usize,
    finished_count: usize,
    counts: Counts,
}

/// Arguments and work queue of one call of [`ExternalProcessor::handle`].
struct Context<'a> {
    now: Millis,
    engine: &'a mut Engine,
    queue: VecDeque<Output>,
    out: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Passes an input to the engine and queues its outputs behind earlier ones.
    fn notify_engine(&mut self, input: EngineInput) -> Option<RequestId> {
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
    /// Creates a state machine without requests. `settings` are those of the engine.
    pub fn new(config: ProcessorConfig, settings: &Settings) -> ExternalProcessor {
        ExternalProcessor {
            config,
            classes: settings.classes.clone(),
            entries: HashMap::new(),
            ids: HashMap::new(),
            streams: HashMap::new(),
            timers: Timers::default(),
            finished: VecDeque::new(),
            unreported_attempts: VecDeque::new(),
            open_count: 0,
            finished_count: 0,
            counts: Counts::default(),
        }
    }

    /// Returns the number of requests of proxies without a final answer.
    pub fn open_requests(&self) -> usize {
        self.open_count
    }

    /// Returns the number of verdicts kept for later presentations.
    pub fn standing_verdicts(&self) -> usize {
        self.finished_count
    }

    /// Returns the number of streams that await a reply or carry an attempt.
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// Returns the counters since the start of the process.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether an output of the engine concerns a request of a proxy and has to be passed to
    /// [`ExternalProcessor::handle`].
    pub fn owns(&self, output: &Output) -> bool {
        match output {
            Output::Send { id, .. } | Output::Stop { id, .. } | Output::Answer { id, .. } => {
                self.ids.contains_key(id)
            }
            _ => false,
        }
    }

    /// Returns the time by which [`Input::TimerExpired`] has to be passed to [`ExternalProcessor::handle`].
    pub fn next_due(&mut self) -> Option<Millis> {
        let entries = &self.entries;
        let next = self.timers.next_due(|at, correlation_id| {
            entries.get(correlation_id).is_some_and(|e| {
                let handover_due =
                    e.next_presentation.is_some_and(|(_, until)| Timers::<CorrelationId>::matches(at, until));
                handover_due || Timers::<CorrelationId>::matches(at, e.expires)
            })
        });
        next.into_iter().chain(self.unreported_attempts.front().map(|b| b.0)).min_by(f64::total_cmp)
    }

    /// Handles an input and appends the resulting actions to `out`, in the order in which they are to be performed.
    /// `now` must not decrease from call to call.
    pub fn handle(&mut self, now: Millis, input: Input, engine: &mut Engine, out: &mut Vec<Action>) {
        let mut cx = Context { now, engine, queue: VecDeque::new(), out };
        match input {
            Input::Presented { stream, presentation } => self.presented(stream, presentation, &mut cx),
            Input::Responded { stream, outcome } => self.responded(stream, outcome, &mut cx),
            Input::Unreported { stream } => self.unreported(stream, &mut cx),
            Input::Closed { stream } => self.closed(stream, &mut cx),
            Input::Engine(output) => cx.queue.push_back(output),
            Input::TimerExpired => self.expire_timers(&mut cx),
        }
        self.process_outputs(&mut cx);
    }

    fn presented(&mut self, stream: StreamId, req: Presentation, cx: &mut Context) {
        self.counts.presented += 1;
        let Some(entry) = self.entries.get_mut(&req.correlation_id) else { return self.add(stream, req, cx) };
        if !entry.matches(&req) {
            return self.reply_conflict(stream, Conflict::Mismatch, cx);
        }
        let is_next_attempt = req.attempt.is_some_and(|n| n.checked_sub(1) == Some(entry.presentations));
        match entry.state {
            State::Finished(Answer::Refused { retry_ms }) => cx.reply(stream, Verdict::Refuse { retry_ms }),
            State::Finished(Answer::Failed) => cx.reply(stream, Verdict::Fail),
            State::Finished(Answer::Served) => self.reply_conflict(stream, Conflict::Served, cx),
            State::Deciding(None) => {
                entry.record_presentation(req.attempt);
                entry.expires = f64::INFINITY;
                entry.state = State::Deciding(Some((stream, PendingReply::Presentation)));
                self.streams.insert(stream, (req.correlation_id, entry.id));
            }
            State::RetryGranted(_) => {
                entry.record_presentation(req.attempt);
                let correlation_id = req.correlation_id;
                self.start_granted_retry(&correlation_id, stream, cx);
            }
            // The stream of the previous attempt may have closed already: its closing can arrive a little later, on
            // another connection.
            State::Outstanding(..) | State::Deciding(Some(_))
                if is_next_attempt && entry.next_presentation.is_none() =>
            {
                let until = cx.now + self.config.handover_timeout_ms;
                entry.next_presentation = Some((stream, until));
                self.timers.push(until, req.correlation_id.clone());
                self.streams.insert(stream, (req.correlation_id, entry.id));
            }
            State::Outstanding(..) | State::Deciding(Some(_)) => {
                self.reply_conflict(stream, Conflict::Open, cx)
            }
        }
    }

    /// Handles a presentation whose correlation id is not known here.
    fn add(&mut self, stream: StreamId, req: Presentation, cx: &mut Context) {
        let Presentation { correlation_id, key, attempt, request } = req;
        let effect = self.classes.get(request.class).map_or(Effect::Unsafe, |c| c.effect);
        // An earlier attempt, unknown here, may have run. Only requests that may run any number of times proceed.
        if attempt.is_some_and(|n| n > 1) && effect != Effect::Safe {
            self.counts.strangers += 1;
            return cx.reply(stream, Verdict::Fail);
        }
        if self.open_count >= self.config.max_open_requests {
            self.counts.busy += 1;
            return cx.reply(stream, Verdict::Busy);
        }
        let deadline = cx.now + request.budget_ms;
        let Some(id) = cx.notify_engine(EngineInput::Request {
            correlation_id: correlation_id.clone(),
            request: request.clone(),
        }) else {
            return self.reply_conflict(stream, Conflict::Open, cx);
        };
        self.counts.taken += 1;
        self.open_count += 1;
        self.ids.insert(id, correlation_id.clone());
        self.streams.insert(stream, (correlation_id.clone(), id));
        let entry = Entry {
            id,
            key,
            request,
            deadline,
            state: State::Deciding(Some((stream, PendingReply::Presentation))),
            presentations: attempt.unwrap_or(1).max(1),
            first_granted: None,
            expires: f64::INFINITY,
            next_presentation: None,
        };
        self.entries.insert(correlation_id, entry);
    }

    fn reply_conflict(&mut self, stream: StreamId, why: Conflict, cx: &mut Context) {
        self.counts.conflicts += 1;
        cx.reply(stream, Verdict::Conflict(why));
    }

    /// Starts the granted retry on a stream, unless its server no longer accepts new requests.
    fn start_granted_retry(&mut self, correlation_id: &CorrelationId, stream: StreamId, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(correlation_id) else { return };
        let State::RetryGranted(grant) = &entry.state else { return };
        let grant = grant.clone();
        entry.expires = f64::INFINITY;
        self.streams.insert(stream, (correlation_id.clone(), entry.id));
        if cx.engine.accepts_requests(&grant.server) {
            entry.state = State::Outstanding(stream, grant.attempt);
            cx.reply(stream, Verdict::Admit(grant));
        } else {
            entry.state = State::Deciding(Some((stream, PendingReply::Presentation)));
            cx.notify_engine(EngineInput::attempt_ended(entry.id, grant.attempt, Outcome::NotSent));
        }
    }

    fn responded(&mut self, stream: StreamId, outcome: Outcome, cx: &mut Context) {
        let Some((correlation_id, id)) = self.streams.get(&stream).cloned() else { return };
        match self.entries.get_mut(&correlation_id).filter(|e| e.id == id) {
            Some(entry) => match entry.state {
                State::Outstanding(current, attempt) if current == stream => {
                    entry.state = State::Deciding(Some((stream, PendingReply::Outcome)));
                    cx.notify_engine(EngineInput::attempt_ended(entry.id, attempt, outcome));
                }
                // The attempt had timed out; the coming verdict is the reply to this outcome.
                State::Deciding(Some((current, PendingReply::None))) if current == stream => {
                    entry.state = State::Deciding(Some((stream, PendingReply::Outcome)));
                }
                // The decision module has given up the request meanwhile: its verdict stays, whatever the outcome.
                State::Finished(answer) => {
                    self.streams.remove(&stream);
                    cx.reply(stream, final_verdict(answer));
                }
                _ => {}
            },
            // The verdict was dropped, and the correlation id may belong to a new request: a late outcome fails.
            None => {
                self.streams.remove(&stream);
                cx.reply(stream, Verdict::Fail);
            }
        }
    }

    fn unreported(&mut self, stream: StreamId, cx: &mut Context) {
        let Some((correlation_id, id)) = self.streams.get(&stream).cloned() else { return };
        let Some(entry) = self.entries.get(&correlation_id).filter(|e| e.id == id) else { return };
        let State::Outstanding(current, attempt) = entry.state else { return };
        if current != stream {
            return;
        }
        self.streams.remove(&stream);
        self.counts.unreported += 1;
        self.unreported_attempts.push_back((cx.now + self.config.unreported_attempt_ms, id, attempt));
        cx.notify_engine(EngineInput::ClientDisconnected { id });
        self.finish(&correlation_id, Answer::Served, cx.now);
    }

    fn closed(&mut self, stream: StreamId, cx: &mut Context) {
        let Some((correlation_id, id)) = self.streams.remove(&stream) else { return };
        let Some(entry) = self.entries.get_mut(&correlation_id).filter(|e| e.id == id) else { return };
        if entry.next_presentation.is_some_and(|(next_presentation, _)| next_presentation == stream) {
            entry.next_presentation = None;
            return;
        }
        match entry.state {
            // No attempt was granted: nothing of the request remains, unless its next presentation is waiting.
            State::Deciding(Some((current, _)))
                if current == stream
                    && entry.first_granted.is_none()
                    && entry.next_presentation.is_none() =>
            {
                let id = entry.id;
                cx.notify_engine(EngineInput::ClientDisconnected { id });
                self.remove_entry(&correlation_id);
            }
            State::Deciding(Some((current, _))) if current == stream => self.stream_lost(&correlation_id, cx),
            State::Outstanding(current, attempt) if current == stream => {
                self.counts.unreported += 1;
                let id = entry.id;
                self.stream_lost(&correlation_id, cx);
                // The attempt may have run. Usually the client has disconnected, which is no fault of the server.
                cx.notify_engine(EngineInput::attempt_ended(id, attempt, Outcome::Cancelled));
            }
            _ => {}
        }
    }

    /// Handles the closing of a stream after an attempt was granted: the next presentation may be on its way.
    fn stream_lost(&mut self, correlation_id: &CorrelationId, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(correlation_id) else { return };
        if let Some((stream, _)) = entry.next_presentation.take() {
            entry.record_presentation(None);
            entry.state = State::Deciding(Some((stream, PendingReply::Presentation)));
            return;
        }
        entry.state = State::Deciding(None);
        // If proxies do not present requests again, the client has disconnected.
        if self.config.retry_mode != RetryMode::NewStream {
            let id = entry.id;
            cx.notify_engine(EngineInput::ClientDisconnected { id });
            self.finish(correlation_id, Answer::Failed, cx.now);
            return;
        }
        entry.expires = (cx.now + self.config.next_presentation_timeout_ms).min(entry.deadline);
        self.timers.push(entry.expires, correlation_id.clone());
    }

    fn process_outputs(&mut self, cx: &mut Context) {
        while let Some(output) = cx.queue.pop_front() {
            let (Output::Send { id, .. } | Output::Stop { id, .. } | Output::Answer { id, .. }) = &output
            else {
                cx.out.push(Action::Engine(output));
                continue;
            };
            let Some(correlation_id) = self.ids.get(id).cloned() else {
                // The request belongs to the direct front end, or it was removed and needs no reply.
                cx.out.push(Action::Engine(output));
                continue;
            };
            match output {
                Output::Send { attempt, server, deadline, .. } => {
                    self.send(&correlation_id, Grant { server, deadline, attempt }, cx);
                }
                Output::Stop { attempt, outcome, .. } => self.stop(&correlation_id, attempt, outcome, cx),
                Output::Answer { answer, .. } => self.answer(&correlation_id, answer, cx),
                _ => {}
            }
        }
    }

    fn send(&mut self, correlation_id: &CorrelationId, grant: Grant, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(correlation_id) else { return };
        if entry.first_granted.is_some() {
            self.counts.again += 1;
        } else {
            self.counts.let_in += 1;
            entry.first_granted = Some(cx.now);
        }
        match entry.state {
            State::Deciding(Some((stream, PendingReply::Presentation))) => {
                entry.state = State::Outstanding(stream, grant.attempt);
                cx.reply(stream, Verdict::Admit(grant));
            }
            State::Deciding(Some((stream, PendingReply::Outcome)))
                if self.config.retry_mode == RetryMode::SameStream =>
            {
                entry.state = State::Outstanding(stream, grant.attempt);
                cx.reply(stream, Verdict::Retry(grant));
            }
            State::Deciding(current) => {
                let awaiting_retry = current.filter(|(_, pending)| *pending == PendingReply::Outcome);
                if self.config.retry_mode == RetryMode::None {
                    let input = EngineInput::attempt_ended(entry.id, grant.attempt, Outcome::NotSent);
                    cx.notify_engine(input);
                    return;
                }
                // The granted retry expires with the request, and with the window in which servers drop repeats.
                let class = &self.classes[entry.request.class];
                let window = match (class.effect, entry.first_granted) {
                    (Effect::Keyed, Some(first)) => first + class.window_ms,
                    _ => f64::INFINITY,
                };
                entry.expires =
                    (cx.now + self.config.next_presentation_timeout_ms).min(entry.deadline).min(window);
                self.timers.push(entry.expires, correlation_id.clone());
                entry.state = State::RetryGranted(grant.clone());
                if let Some((stream, _)) = awaiting_retry {
                    self.streams.remove(&stream);
                    cx.reply(stream, Verdict::Retry(grant));
                }
                if let Some((stream, _)) = entry.next_presentation.take() {
                    entry.record_presentation(None);
                    self.start_granted_retry(correlation_id, stream, cx);
                }
            }
            State::Outstanding(..) | State::RetryGranted(_) | State::Finished(_) => {}
        }
    }

    fn stop(&mut self, correlation_id: &CorrelationId, attempt: u32, outcome: Outcome, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(correlation_id) else { return };
        match (&entry.state, outcome) {
            // The proxy has not reported in time, although it knew the deadline: the attempt's slots are released.
            (State::Outstanding(stream, out), Outcome::TimedOut) if *out == attempt => {
                entry.state = State::Deciding(Some((*stream, PendingReply::None)));
                cx.notify_engine(EngineInput::attempt_ended(entry.id, attempt, outcome));
            }
            // A proxy cannot be made to abandon a server for another: the attempt stays outstanding until the proxy
            // reports. If the request is over, the final answer that follows ends the attempt.
            _ => {}
        }
    }

    fn answer(&mut self, correlation_id: &CorrelationId, answer: Answer, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(correlation_id) else { return };
        match answer {
            Answer::Served => self.counts.served += 1,
            Answer::Refused { .. } => self.counts.refused += 1,
            Answer::Failed => self.counts.failed += 1,
        }
        let id = entry.id;
        match &entry.state {
            State::Deciding(Some((_, PendingReply::None))) if !self.config.push_final_answers => {}
            State::Deciding(Some((stream, pending))) => {
                let (stream, pending) = (*stream, *pending);
                self.streams.remove(&stream);
                let verdict = match (answer, pending) {
                    (Answer::Served, PendingReply::Outcome) => Verdict::PassThrough,
                    _ => final_verdict(answer),
                };
                cx.reply(stream, verdict);
            }
            State::Outstanding(stream, attempt) => {
                let (stream, attempt) = (*stream, *attempt);
                if self.config.push_final_answers {
                    self.streams.remove(&stream);
                    cx.reply(stream, final_verdict(answer));
                }
                cx.notify_engine(EngineInput::attempt_ended(id, attempt, Outcome::Cancelled));
            }
            State::RetryGranted(grant) => {
                let input = EngineInput::attempt_ended(id, grant.attempt, Outcome::NotSent);
                cx.notify_engine(input);
            }
            State::Deciding(None) | State::Finished(_) => {}
        }
        if let Some((stream, _)) =
            self.entries.get_mut(correlation_id).and_then(|e| e.next_presentation.take())
        {
            self.streams.remove(&stream);
            cx.reply(stream, final_verdict(answer));
        }
        self.finish(correlation_id, answer, cx.now);
    }

    /// Stores the final answer for later presentations, until the deadline of the request.
    fn finish(&mut self, correlation_id: &CorrelationId, answer: Answer, now: Millis) {
        let Some(entry) = self.entries.get_mut(correlation_id) else { return };
        entry.state = State::Finished(answer);
        entry.expires = entry.deadline.max(now);
        self.timers.push(entry.expires, correlation_id.clone());
        self.ids.remove(&entry.id);
        self.finished.push_back((correlation_id.clone(), entry.id));
        self.open_count -= 1;
        self.finished_count += 1;
        while self.finished_count > self.config.max_standing_verdicts {
            let Some((oldest, id)) = self.finished.pop_front() else { break };
            if self.entries.get(&oldest).is_some_and(|e| e.id == id) {
                self.remove_entry(&oldest);
            }
        }
    }

    fn remove_entry(&mut self, correlation_id: &CorrelationId) {
        let Some(entry) = self.entries.remove(correlation_id) else { return };
        if matches!(entry.state, State::Finished(_)) {
            self.finished_count -= 1;
        } else {
            self.ids.remove(&entry.id);
            self.open_count -= 1;
        }
        // Removing an entry leaves its place in the queue behind; the queue is compacted from time to time.
        if self.finished.len() > 2 * self.finished_count.max(64) {
            let entries = &self.entries;
            self.finished.retain(|(n, id)| entries.get(n).is_some_and(|e| e.id == *id));
        }
    }

    fn expire_timers(&mut self, cx: &mut Context) {
        while let Some((_, id, attempt)) = self.unreported_attempts.front().copied().filter(|b| b.0 <= cx.now)
        {
            self.unreported_attempts.pop_front();
            // Reported as not sent: nothing is known of the outcome, so that the server is not judged by it.
            cx.notify_engine(EngineInput::attempt_ended(id, attempt, Outcome::NotSent));
        }
        while let Some(correlation_id) = self.timers.pop(cx.now) {
            self.check_expiry(&correlation_id, cx);
            self.process_outputs(cx);
        }
    }

    /// Expires the waiting presentation or the entry of a request if its time has come.
    fn check_expiry(&mut self, correlation_id: &CorrelationId, cx: &mut Context) {
        let Some(entry) = self.entries.get_mut(correlation_id) else { return };
        if let Some((stream, _)) = entry.next_presentation.filter(|(_, until)| *until <= cx.now) {
            entry.next_presentation = None;
            self.streams.remove(&stream);
            self.counts.conflicts += 1;
            cx.reply(stream, Verdict::Conflict(Conflict::Open));
        }
        if entry.expires > cx.now {
            return;
        }
        let id = entry.id;
        match &entry.state {
            State::Finished(_) => self.remove_entry(correlation_id),
            // No presentation has carried out the retry.
            State::RetryGranted(grant) => {
                let attempt = grant.attempt;
                self.finish(correlation_id, Answer::Failed, cx.now);
                cx.notify_engine(EngineInput::ClientDisconnected { id });
                cx.notify_engine(EngineInput::attempt_ended(id, attempt, Outcome::NotSent));
            }
            State::Deciding(None) => {
                self.finish(correlation_id, Answer::Failed, cx.now);
                cx.notify_engine(EngineInput::ClientDisconnected { id });
            }
            State::Deciding(Some(_)) | State::Outstanding(..) => {}
        }
    }
}

/// Returns the verdict for a final answer. A response that went to another stream cannot be given again.
fn final_verdict(answer: Answer) -> Verdict {
    match answer {
        Answer::Served => Verdict::Conflict(Conflict::Served),
        Answer::Refused { retry_ms } => Verdict::Refuse { retry_ms },
        Answer::Failed => Verdict::Fail,
    }
}
