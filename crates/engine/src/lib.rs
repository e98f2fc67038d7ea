//! Tracks open requests, attempts and timers around the decision module: [`Input`] in, [`Output`] out.
//!
//! The engine is the only caller of [`fawnhill::Limiter::handle`]. It assigns request ids, prevents two attempts of one
//! request from being outstanding at the same time, ends a request at its deadline if the decision module has not done
//! so, and knows when it has to be called again. It does *not* open sockets, read a clock, start threads or draw random
//! numbers of its own: the time is an argument of every call and the seed is an argument of [`Engine::new`], so that
//! sockets, a virtual clock and a recorded run drive the same code.
//!
//! ```
//! use fawnhill::{Class, Condition, Effect, KeyGroup, Outcome, Plan, Request, ServerEntry, Settings};
//! use marldeal_engine::{Answer, Engine, Input, Output};
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
//! let mut engine = Engine::new(settings, 42, 0.0)?;
//! let mut out = Vec::new();
//! let server = ServerEntry {
//!     server: "server-1".into(), zone: 0, cell: 0, condition: Condition::Serving, weight: 1.0, started: 0.0,
//! };
//! engine.handle(0.0, Input::Servers { whole: true, entries: [server].into() }, &mut out);
//!
//! let request = Request {
//!     id: 0, class: 0, plan: 0, customer: 7, budget_ms: 3000.0, units: 1.0, spread: 1, first: 0,
//! };
//! let input = Input::Request { correlation_id: (*b"c-1").into(), request };
//! let id = engine.handle(5.0, input, &mut out).expect("no request with this correlation id is open");
//! assert!(matches!(out.last(), Some(Output::Send { attempt: 0, .. })));
//!
//! out.clear();
//! engine.handle(90.0, Input::attempt_ended(id, 0, Outcome::Ok), &mut out);
//! assert_eq!(out, [Output::Answer { id, answer: Answer::Served }]);
//! assert_eq!(engine.open_requests(), 0);
//! # Ok::<(), String>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod counters;
mod fault_injection;
pub mod outcomes;
mod repeat_guard;
pub mod timers;

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use counters::{RequestCounters, RequestOutcome};
use fawnhill::planted::{self, Fault};
pub use fawnhill::Millis;
use fawnhill::{
    Action, Condition, CustomerCounts, DecisionTrace, Effect, Event, Limiter, Load, Outcome, Request,
    RequestId, ResponseState, ServerEntry, ServerId, Settings,
};
use marldeal_snapshot::moments::{MonotonicTime, WallTime};
use marldeal_snapshot::{Assessment, Snapshot, SnapshotKind};
use repeat_guard::{AttemptState, RepeatGuard};
use timers::Timers;

/// Identifies a client's request among the open ones, such as the value of `X-Correlation-Id`.
pub type CorrelationId = Arc<[u8]>;

/// An event for the engine to handle.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The server list was received, in whole or as changes.
    Servers {
        /// True for the whole list, false for changes to it.
        whole: bool,
        /// The entries.
        entries: Arc<[ServerEntry]>,
    },
    /// The server list could not be fetched.
    ServerListFailed,
    /// A request was received whole. Its `id` is ignored; the engine assigns one. A request without remaining time
    /// budget is refused at once and is not passed to the decision module.
    Request {
        /// Correlation id. A second request with the same id is rejected while the first is open.
        correlation_id: CorrelationId,
        /// The request.
        request: Request,
    },
    /// An attempt has ended: nothing of it can reach a server any more.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// The actual size of the request in units, if the response stated it.
        units: Option<f64>,
        /// The load report sent with the response.
        load: Load,
    },
    /// The client of a request is still sending the body, which is streamed to a server. To be repeated for as long as
    /// that is known: the request's time budget counts from the last of these inputs, whether or not a server takes the
    /// body. The request gets a single attempt.
    Uploading {
        /// The request.
        id: RequestId,
    },
    /// All of a body that is streamed has been received, and all but its end passed on. The end is passed on with
    /// [`Output::CompleteBody`].
    BodyReceived {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The last byte of an attempt was written to its server.
    Written {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The successful response of an attempt does not arrive all at once. As long as its body arrives, the request is not
    /// ended at its deadline; what has arrived is passed on then ([`Output::PassOnResponse`]).
    ResponseProgress {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How far the response has arrived.
        state: ResponseState,
    },
    /// The response of an attempt is too long to be buffered and is streamed to the client. No deadline applies any
    /// more.
    Streaming {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client of a request has disconnected: no answer is needed.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The caller has answered a request itself, with this result. An attempt whose request was not written whole is
    /// cancelled.
    AnsweredByCaller {
        /// The request.
        id: RequestId,
        /// How it was answered.
        outcome: RequestOutcome,
    },
    /// A message was received from a peer.
    MessageReceived {
        /// The sender's position.
        from: u32,
        /// The message.
        body: Vec<u8>,
    },
    /// The process may be killed at this time. Each request is answered before it, whether it is open already or is
    /// received later, however much of its time budget is left then. An answer that is being streamed goes on.
    KillExpected {
        /// The last time at which an answer can be given.
        at: Millis,
    },
    /// A message was received from the other process of this limiter, during a hand-over.
    HandoverMessage {
        /// The message.
        body: Vec<u8>,
    },
    /// The time returned by [`Engine::next_due`] has come.
    TimerExpired,
}

impl Input {
    /// Returns the end of an attempt for which neither units nor load were reported.
    pub fn attempt_ended(id: RequestId, attempt: u32, outcome: Outcome) -> Input {
        Input::AttemptEnded { id, attempt, outcome, units: None, load: Load::default() }
    }
}

/// The final answer to a request. Each request gets exactly one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// The request was served by the attempt that ended last.
    Served,
    /// The request was not served, and repeating it is harmless.
    Refused {
        /// Advised delay before the client repeats the request, in milliseconds; 0 for no advice.
        retry_ms: Millis,
    },
    /// The request failed, and it may have run.
    Failed,
}

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Answer::Served => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        })
    }
}

/// An action for the caller to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Start an attempt. The caller must report its end with [`Input::AttemptEnded`].
    Send {
        /// The request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// The server to send the attempt to.
        server: ServerId,
        /// When the attempt times out, on the caller's clock.
        deadline: Millis,
    },
    /// Cancel an attempt. The caller must still report [`Input::AttemptEnded`], once nothing of the attempt can reach a
    /// server any more.
    Stop {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The outcome to report, unless the attempt ended otherwise before.
        outcome: Outcome,
    },
    /// Stream a response to the client from here on, with what has arrived of it. Unless it is complete by now, the caller
    /// reports [`Input::Streaming`].
    PassOnResponse {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Pass on the end of a streamed body.
    CompleteBody {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Give the final answer to a request.
    Answer {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Send a message of at most 256 bytes to peers.
    SendMessage {
        /// Position of the receiver, or `None` for all peers.
        to: Option<u32>,
        /// The message.
        body: Vec<u8>,
    },
    /// Send a message to the other process of this limiter, during a hand-over.
    SendHandoverMessage {
        /// The message.
        body: Vec<u8>,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Refresh the subscription to the server list.
    RefreshWatch,
    /// Fetch the whole server list once.
    FetchServerList,
    /// Write a line to the operator's log.
    Log(String),
    /// Write a decision about a request to the request log.
    Trace(DecisionTrace),
}

/// Largest request id; ids start again at 0 after it. The decision module uses the ids above it
/// for asks of its own.
const MAX_REQUEST_ID: RequestId = fawnhill::COMPLETION_BIT - 1;

/// Longest correlation id that a successor is told, so that many of them fit into a snapshot.
const MAX_HANDED_OVER_ID_BYTES: usize = 256;

/// A request without a final answer.
struct OpenRequest {
    correlation_id: CorrelationId,
    class: usize,
    deadline: Millis,
    /// The whole time budget, which counts from the client's last byte.
    budget_ms: Millis,
    body: BodyProgress,
    /// The response is being streamed to the client.
    streaming: bool,
    /// State of the outstanding attempt's response, if that arrives piece by piece.
    response: Option<ResponseState>,
    attempt_count: u32,
    /// An attempt is outstanding.
    outstanding: bool,
    /// An attempt that has ended may have run.
    may_have_run: bool,
}

/// How far the body of a request has been passed on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyProgress {
    /// It was received whole before the request was opened.
    Buffered,
    /// It is streamed, and its last byte has not been written to a server, which therefore cannot have begun.
    Streaming,
    /// It was streamed, and its last byte has been written to a server.
    Streamed,
}

/// An outstanding attempt.
struct Attempt {
    sent: Millis,
    /// When its response began to be streamed to the client.
    streaming_since: Option<Millis>,
    /// When the attempt times out.
    deadline: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A wake-up requested by the decision module.
    Wake(u64),
    /// The time-out of an attempt.
    AttemptTimeout(RequestId, u32),
    /// The deadline of a request.
    Deadline(RequestId),
}

/// The decision module with its open requests, attempts and timers.
pub struct Engine {
    limiter: Limiter,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: Timers<Timer>,
    requests: HashMap<RequestId, OpenRequest>,
    open_correlation_ids: HashSet<CorrelationId>,
    /// Outstanding attempts.
    attempts: HashMap<(RequestId, u32), Attempt>,
    /// Whether each server of the list accepts new requests.
    servers: HashMap<ServerId, bool>,
    /// Number of servers that accept new requests.
    accepting: usize,
    /// What a second execution of a request of each class does.
    effects: Vec<Effect>,
    repeat_guard: RepeatGuard,
    next_id: RequestId,
    /// The last time at which an answer can be given; infinite unless the process is about to end.
    last_answer_at: Millis,
    counters: RequestCounters,
    peer_history: fault_injection::PeerHistory,
}

impl Engine {
    /// Creates an engine whose decision module starts at `now`. `seed` seeds its random numbers.
    ///
    /// # Errors
    ///
    /// Returns a message that names the setting that is not supported.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Engine, String> {
        let effects = settings.classes.iter().map(|class| class.effect).collect();
        Ok(Engine {
            counters: RequestCounters::new(settings.classes.len()),
            limiter: Limiter::new(settings, seed, now)?,
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: Timers::default(),
            requests: HashMap::new(),
            open_correlation_ids: HashSet::new(),
            attempts: HashMap::new(),
            servers: HashMap::new(),
            accepting: 0,
            effects,
            repeat_guard: RepeatGuard::default(),
            next_id: 0,
            last_answer_at: f64::INFINITY,
            peer_history: fault_injection::PeerHistory::default(),
        })
    }

    /// Prefetches quota units for up to `max_customers` customers from now on
    /// ([`fawnhill::Limiter::enable_prefetch`]).
    pub fn enable_prefetch(&mut self, max_customers: usize) {
        self.limiter.enable_prefetch(max_customers);
    }

    /// Emits an [`Output::Trace`] for each decision that ends or repeats an attempt, from now on.
    pub fn enable_tracing(&mut self) {
        self.limiter.enable_tracing();
    }

    /// Returns the counters of prefetched units, or `None` if prefetching is off.
    pub fn prefetch_counts(&self) -> Option<fawnhill::PrefetchCounts> {
        self.limiter.prefetch_counts()
    }

    /// Handles an input and appends the resulting outputs to `out`, in the order in which they are to be performed.
    /// Returns the id of an accepted request. A request is rejected while another with the same correlation id is open,
    /// because the servers could not distinguish the two.
    ///
    /// `now` must not decrease from call to call.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) -> Option<RequestId> {
        let mut opened = None;
        match input {
            Input::Servers { whole, entries } => {
                self.update_servers(whole, entries);
                if planted::is_active(Fault::Shout) {
                    out.push(Output::SendMessage { to: None, body: Vec::new() });
                }
            }
            Input::ServerListFailed => self.events.push_back(Event::ListFailed),
            Input::Request { correlation_id, mut request } => {
                request.budget_ms = request.budget_ms.min(self.last_answer_at - now);
                let expired = request.budget_ms <= 0.0;
                opened = self.open_request(now, correlation_id, request);
                // The client's time is over and no attempt was made: repeating the request is harmless.
                if let Some(id) = opened.filter(|id| expired && self.finish(*id, RequestOutcome::Declined)) {
                    out.push(Output::Answer { id, answer: Answer::Refused { retry_ms: 0.0 } });
                }
            }
            Input::AttemptEnded { id, attempt, outcome, units, load } => {
                self.attempt_ended(now, id, attempt, outcome, units, load, out);
            }
            Input::Uploading { id } => self.renew_upload(now, id),
            Input::BodyReceived { id, attempt } => self.body_received(id, attempt, out),
            Input::Written { id, attempt } => self.attempt_written(now, id, attempt),
            Input::ResponseProgress { id, attempt, state } => self.response_progress(id, attempt, state),
            Input::Streaming { id, attempt } => self.response_streaming(now, id, attempt),
            Input::ClientDisconnected { id } => {
                self.guard_against_repeats(now, id);
                self.end_unanswered(id, RequestOutcome::Aborted, out);
            }
            Input::AnsweredByCaller { id, outcome } => self.end_unanswered(id, outcome, out),
            Input::MessageReceived { from, body } => {
                if planted::is_active(Fault::Echo) {
                    self.replay_messages(now, from, &body);
                }
                self.events.push_back(Event::MessageReceived { from, body });
            }
            Input::KillExpected { at } => self.expect_kill(now, at, out),
            Input::HandoverMessage { body } => self.events.push_back(Event::HandoverMessage { body }),
            Input::TimerExpired => self.expire_timers(now, out),
        }
        self.process_events(now, out);
        opened
    }

    /// Returns the time by which [`Input::TimerExpired`] has to be passed to [`Engine::handle`].
    pub fn next_due(&mut self) -> Option<Millis> {
        let Engine { timers, limiter, attempts, requests, .. } = self;
        timers.next_due(|_, timer| match timer {
            Timer::Wake(token) => limiter.wake_is_needed(*token),
            Timer::AttemptTimeout(id, attempt) => attempts.contains_key(&(*id, *attempt)),
            Timer::Deadline(id) => requests.contains_key(id),
        })
    }

    /// Returns whether a server is on the server list and accepts new requests.
    pub fn accepts_requests(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|accepts| *accepts || planted::is_active(Fault::Drain))
    }

    /// Returns whether any server of the list accepts new requests.
    pub fn has_servers(&self) -> bool {
        self.accepting > 0
    }

    /// Returns whether a request could be served: a server accepts requests, and the decision module is ready to admit
    /// them.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.has_servers() && self.limiter.is_ready(now)
    }

    /// Returns how many customers are tracked, and what became of others.
    pub fn customer_counts(&self) -> CustomerCounts {
        self.limiter.customer_counts()
    }

    /// Returns whether new customers arrive so fast that the decision module refuses unknown ones.
    pub fn refuses_new_customers(&self) -> bool {
        self.limiter.refuses_new_customers()
    }

    /// Returns the request and attempt counters.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// Returns the counters for events outside the engine, such as requests that a front end answered itself.
    pub fn counters_mut(&mut self) -> &mut RequestCounters {
        &mut self.counters
    }

    /// Returns the number of servers of the list that are ejected at `now`.
    pub fn ejected_servers(&self, now: Millis) -> usize {
        self.limiter.avoided_servers(now)
    }

    /// Returns the server list as the decision module knows it, in the order of the ids. It holds no addresses.
    pub fn server_entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.limiter.server_entries()
    }

    /// Returns the state at `now` for a successor process, without the server list. `written_at` and `wall_time` are the same moment on the
    /// machine's clocks. `kind` says what this process does from here on: with a final snapshot the decision module hands
    /// its accounts over and grants nothing any more.
    pub fn snapshot(
        &mut self,
        now: Millis,
        written_at: MonotonicTime,
        wall_time: WallTime,
        kind: SnapshotKind,
    ) -> Snapshot {
        Snapshot {
            kind,
            wall_time,
            next_request: self.next_id,
            state: match kind {
                SnapshotKind::Running => self.limiter.export_state(now),
                SnapshotKind::Final => self.limiter.retire(now),
            },
            written_at: Some(written_at),
            server_list: None,
            unfinished: self.unfinished_requests(now),
        }
    }

    /// The correlation ids of requests with an effect that may run, or may have run, and are not answered.
    fn unfinished_requests(&mut self, now: Millis) -> Vec<Vec<u8>> {
        let Engine { requests, effects, repeat_guard, .. } = self;
        let has_effect = |r: &&OpenRequest| effects.get(r.class) != Some(&Effect::Safe);
        let open = requests.values().filter(has_effect).map(|r| &r.correlation_id);
        let all = open.chain(repeat_guard.correlation_ids(now));
        all.filter(|id| id.len() <= MAX_HANDED_OVER_ID_BYTES).map(|id| id.to_vec()).collect()
    }

    /// Rejects requests with the correlation ids of requests that another process of this limiter may still run.
    pub fn reject_repeats(&mut self, now: Millis, unfinished: Vec<Vec<u8>>) {
        self.repeat_guard.import(now, unfinished.into_iter().map(Into::into));
    }

    /// Restores state from the snapshot of another process. To be called before the first request only, because the
    /// state learnt by this process is replaced.
    pub fn restore(&mut self, now: Millis, assessment: Assessment) {
        match assessment {
            Assessment::SameLimiter { state, next_request } => {
                self.next_id = self.next_id.max(next_request) & MAX_REQUEST_ID;
                self.limiter.import_state(now, &state, true);
            }
            Assessment::Hints { state } => self.limiter.import_state(now, &state, false),
            Assessment::Expired { .. } => {}
        }
    }

    /// Returns the number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of outstanding attempts.
    pub fn outstanding_attempts(&self) -> usize {
        self.attempts.len()
    }

    fn update_servers(&mut self, whole: bool, entries: Arc<[ServerEntry]>) {
        if whole {
            self.servers.clear();
            self.accepting = 0;
        }
        for entry in entries.iter() {
            let accepts = entry.condition == Condition::Serving;
            let accepted = match entry.condition {
                Condition::Gone => self.servers.remove(&entry.server),
                _ => self.servers.insert(entry.server.clone(), accepts),
            };
            self.accepting += usize::from(accepts);
            self.accepting -= usize::from(accepted == Some(true));
        }
        self.events.push_back(Event::Servers { whole, entries });
    }

    fn open_request(
        &mut self,
        now: Millis,
        correlation_id: CorrelationId,
        mut request: Request,
    ) -> Option<RequestId> {
        if !self.repeat_guard.allows(now, &correlation_id)
            || !self.open_correlation_ids.insert(correlation_id.clone())
        {
            return None;
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1) & MAX_REQUEST_ID;
        request.id = id;
        let deadline = now + request.budget_ms;
        self.counters.record_received(request.class);
        self.requests.insert(
            id,
            OpenRequest {
                correlation_id,
                class: request.class,
                deadline,
                budget_ms: request.budget_ms,
                body: BodyProgress::Buffered,
                streaming: false,
                response: None,
                attempt_count: 0,
                outstanding: false,
                may_have_run: false,
            },
        );
        self.timers.push(deadline, Timer::Deadline(id));
        if request.budget_ms > 0.0 {
            self.events.push_back(Event::Request(request));
        }
        Some(id)
    }

    /// Shortens the time budget of each open request, so that it is answered before the process may be killed. No later
    /// input need come for it: a body of unknown length is not known to arrive while its server takes nothing.
    fn expect_kill(&mut self, now: Millis, at: Millis, out: &mut Vec<Output>) {
        self.last_answer_at = at;
        let mut shortened = 0;
        for (id, request) in &mut self.requests {
            if !request.streaming && request.deadline > at {
                request.deadline = at;
                self.timers.push(at, Timer::Deadline(*id));
                shortened += 1;
            }
        }
        let (open, left_ms) = (self.requests.len(), (at - now).max(0.0));
        out.push(Output::Log(format!(
            "{open} requests are open, {shortened} of them get less time: answers are possible for {left_ms:.0} ms"
        )));
        self.events.push_back(Event::KillExpected { at });
    }

    /// Restarts the time budget of a request whose client is still sending the body.
    fn renew_upload(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.streaming || request.body == BodyProgress::Streamed {
            return;
        }
        let begins = request.body == BodyProgress::Buffered;
        request.body = BodyProgress::Streaming;
        let deadline = (now + request.budget_ms).min(self.last_answer_at.max(now));
        // A timer that expires too early is set again; one for an earlier deadline has to be added.
        if deadline < request.deadline {
            self.timers.push(deadline, Timer::Deadline(id));
        }
        request.deadline = deadline;
        if begins && request.outstanding {
            self.exempt_upload(id);
        }
    }

    /// Leaves the time of an upload to the deadline of its request: how long it takes depends on the client.
    fn exempt_upload(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let attempt = request.attempt_count - 1;
        self.attempts.entry((id, attempt)).and_modify(|a| a.deadline = f64::INFINITY);
        self.events.push_back(Event::Streaming { id });
    }

    /// Asks the decision module whether a body may be completed. Without a request that waits for the answer, the
    /// attempt is cancelled: no server can have begun it.
    fn body_received(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Output>) {
        if self.requests.contains_key(&id) {
            self.events.push_back(Event::BodyReceived { id });
        } else {
            self.stop(id, attempt, Outcome::Cancelled, out);
        }
    }

    /// Remembers a request whose client will get no answer, as far as it may have run or may still run.
    fn guard_against_repeats(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let effect = self.effects.get(request.class).copied().unwrap_or(Effect::Unsafe);
        let state = AttemptState {
            // Without its last byte no server runs a request, and its attempt is cancelled.
            outstanding: request.outstanding && request.body != BodyProgress::Streaming,
            may_have_run: request.may_have_run,
        };
        self.repeat_guard.abandon(now, id, request.correlation_id.clone(), effect, state);
    }

    /// Ends a request that needs no answer of the engine.
    fn end_unanswered(&mut self, id: RequestId, outcome: RequestOutcome, out: &mut Vec<Output>) {
        self.stop_incomplete_upload(id, out);
        if self.finish(id, outcome) {
            self.events.push_back(Event::ClientDisconnected { id });
        }
    }

    /// Whether the body of an open request has not been written whole to a server, so that none can have begun it.
    pub fn is_uploading(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| r.body == BodyProgress::Streaming && r.response.is_none())
    }

    /// Cancels the attempt of a request whose body was not written whole: no server can have begun it.
    fn stop_incomplete_upload(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let incomplete = |r: &&OpenRequest| r.outstanding && r.body == BodyProgress::Streaming;
        let Some(request) = self.requests.get(&id).filter(incomplete) else { return };
        self.stop(id, request.attempt_count - 1, Outcome::Cancelled, out);
    }

    fn attempt_written(&mut self, now: Millis, id: RequestId, attempt: u32) {
        self.counters.record_forwarded();
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.body != BodyProgress::Streaming || !open.outstanding {
            return;
        }
        open.body = BodyProgress::Streamed;
        // The duration of the upload depends on the client and must not count as response time of the server.
        let deadline = open.deadline;
        self.attempts.entry((id, attempt)).and_modify(|a| (a.sent, a.deadline) = (now, deadline));
    }

    fn response_progress(&mut self, id: RequestId, attempt: u32, state: ResponseState) {
        let outstanding = self.attempts.contains_key(&(id, attempt));
        let Some(request) = self.requests.get_mut(&id).filter(|r| outstanding && !r.streaming) else {
            return;
        };
        request.response = Some(state);
        self.events.push_back(Event::ResponseProgress { id, state });
    }

    fn response_streaming(&mut self, now: Millis, id: RequestId, attempt: u32) {
        let Some(attempt) = self.attempts.get_mut(&(id, attempt)) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        attempt.streaming_since.get_or_insert(now);
        attempt.deadline = f64::INFINITY;
        request.streaming = true;
        request.deadline = f64::INFINITY;
        // A long response is streamed from its head on, without any earlier notice.
        self.events.push_back(Event::ResponseProgress { id, state: ResponseState::Body });
        self.events.push_back(Event::Streaming { id });
    }

    /// Removes an open request and counts its end. Returns false if the request was not open.
    fn finish(&mut self, id: RequestId, outcome: RequestOutcome) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        self.open_correlation_ids.remove(&request.correlation_id);
        self.counters.record_finished(request.class, outcome);
        true
    }

    /// Handles the end of an attempt. A successful response in time is the final answer. The decision module is notified
    /// of the outcome even if the request has finished already.
    #[allow(clippy::too_many_arguments)]
    fn attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        units: Option<f64>,
        load: Load,
        out: &mut Vec<Output>,
    ) {
        let Some(ended) = self.attempts.remove(&(id, attempt)) else { return };
        self.repeat_guard.attempt_ended(now, id, outcome);
        let mut settled = true;
        if let Some(request) = self.requests.get_mut(&id) {
            (request.outstanding, request.response) = (false, None);
            request.may_have_run |= outcomes::may_have_run(outcome);
            settled = false;
        }
        if outcome == Outcome::Ok && self.finish(id, RequestOutcome::Succeeded) {
            settled = true;
            out.push(Output::Answer { id, answer: Answer::Served });
        }
        let took_ms = ended.streaming_since.unwrap_or(now) - ended.sent;
        self.events.push_back(Event::AttemptEnded { id, attempt, outcome, took_ms, settled, units, load });
    }

    /// Handles all expired timers.
    fn expire_timers(&mut self, now: Millis, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Wake(token) => self.events.push_back(Event::Wake { token }),
                Timer::AttemptTimeout(id, attempt) => {
                    let expired = self.attempts.get(&(id, attempt)).is_some_and(|a| a.deadline <= now);
                    if expired && !self.is_giving_response(id) {
                        self.stop(id, attempt, Outcome::TimedOut, out);
                    }
                }
                // Safeguard: the decision module normally ends its requests earlier. Nothing is sent after the deadline.
                Timer::Deadline(id) => self.expire_request(now, id, out),
            }
            self.process_events(now, out);
        }
    }

    /// Whether the body of the response to a request is arriving, and the request itself was written whole.
    fn is_giving_response(&self, id: RequestId) -> bool {
        let arrives =
            |r: &OpenRequest| r.response == Some(ResponseState::Body) && r.body != BodyProgress::Streaming;
        self.requests.get(&id).is_some_and(arrives)
    }

    /// Ends a request whose deadline has passed, unless a server is giving the response: then what has arrived of it is
    /// passed on. The request is refused if its body was not written whole, since no server can
    /// have begun it, and fails otherwise.
    fn expire_request(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (deadline, body) = (request.deadline, request.body);
        let answered_early = request.response.is_some();
        let correlation_id = String::from_utf8_lossy(&request.correlation_id).into_owned();
        if deadline > now {
            if deadline.is_finite() {
                self.timers.push(deadline, Timer::Deadline(id));
            }
            return;
        }
        if self.is_giving_response(id) {
            let attempt = request.attempt_count - 1;
            out.push(Output::PassOnResponse { id, attempt });
            return self.response_streaming(now, id, attempt);
        }
        if request.outstanding {
            self.stop(id, request.attempt_count - 1, Outcome::TimedOut, out);
        }
        let (outcome, answer) = match body {
            // A server that has answered early may have run the part that it has.
            BodyProgress::Streaming if !answered_early => {
                (RequestOutcome::Declined, Answer::Refused { retry_ms: 0.0 })
            }
            _ => (RequestOutcome::Aborted, Answer::Failed),
        };
        if self.finish(id, outcome) {
            out.push(Output::Log(format!(
                "request {id} ({correlation_id}): {answer}, its deadline has passed"
            )));
            out.push(Output::Answer { id, answer });
            self.events.push_back(Event::ClientDisconnected { id });
        }
    }

    fn process_events(&mut self, now: Millis, out: &mut Vec<Output>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.limiter.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn perform(&mut self, now: Millis, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { id, server, cap_ms } => self.send(now, id, server, cap_ms, out),
            Action::CompleteBody { id, attempt } => out.push(Output::CompleteBody { id, attempt }),
            Action::Cancel { id, attempt } => self.stop(id, attempt, Outcome::Cancelled, out),
            Action::Refuse { id, .. } | Action::Fail { id } if self.sends_late(now, id) => {
                self.send_late(now, id, out)
            }
            Action::Refuse { id, retry_ms } => self.answer(id, Answer::Refused { retry_ms }, out),
            Action::Fail { id } => self.answer(id, Answer::Failed, out),
            Action::Wake { after_ms, token } => self.timers.push(now + after_ms.max(0.0), Timer::Wake(token)),
            Action::SendMessage { to, body } => out.push(Output::SendMessage { to, body }),
            Action::SendHandoverMessage { body } => out.push(Output::SendHandoverMessage { body }),
            Action::CloseIdle { server } => out.push(Output::CloseIdle { server }),
            // The subscription is always open; subscribing again only refreshes it.
            Action::Subscribe(_) => out.push(Output::RefreshWatch),
            Action::FetchList => out.push(Output::FetchServerList),
            Action::Log(line) => out.push(Output::Log(line)),
            Action::Trace(trace) => out.push(Output::Trace(trace)),
            // Servers may not be probed here, and limiters exchange messages instead of sharing counters, so that the
            // decision module requests neither. If it does, it is notified at once that nothing was sent.
            Action::Probe { server } => self.events.push_back(Event::Probed {
                server,
                outcome: Outcome::NotSent,
                load: Load::default(),
            }),
            Action::Count { name, .. } => {
                self.events.push_back(Event::Counted { name, outcome: Outcome::NotSent, total: 0.0 });
            }
        }
    }

    fn send(&mut self, now: Millis, id: RequestId, server: ServerId, cap_ms: Millis, out: &mut Vec<Output>) {
        let accepts = self.accepts_requests(&server);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempt_count;
        request.attempt_count += 1;
        if request.outstanding || !accepts {
            if request.outstanding {
                let line = format!("request {id}: attempt not sent, another attempt is outstanding");
                out.push(Output::Log(line));
            }
            self.events.push_back(Event::AttemptEnded {
                id,
                attempt,
                outcome: Outcome::NotSent,
                took_ms: 0.0,
                settled: false,
                units: None,
                load: Load::default(),
            });
            return;
        }
        request.outstanding = true;
        let deadline = if cap_ms > 0.0 { request.deadline.min(now + cap_ms) } else { request.deadline };
        let uploading = request.body == BodyProgress::Streaming;
        self.attempts.insert((id, attempt), Attempt { sent: now, streaming_since: None, deadline });
        self.timers.push(deadline, Timer::AttemptTimeout(id, attempt));
        out.push(Output::Send { id, attempt, server, deadline });
        if uploading {
            self.exempt_upload(id);
        }
    }

    fn stop(&mut self, id: RequestId, attempt: u32, outcome: Outcome, out: &mut Vec<Output>) {
        if self.attempts.contains_key(&(id, attempt)) {
            out.push(Output::Stop { id, attempt, outcome });
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer, out: &mut Vec<Output>) {
        // A client that has received part of a response can only be disconnected, which counts as aborted.
        let streaming = self.requests.get(&id).is_some_and(|r| r.streaming);
        let outcome = match answer {
            _ if streaming => RequestOutcome::Aborted,
            Answer::Served => RequestOutcome::Succeeded,
            Answer::Refused { .. } => RequestOutcome::Declined,
            Answer::Failed => RequestOutcome::Aborted,
        };
        if self.finish(id, outcome) && !(planted::is_active(Fault::Answer) && id.is_multiple_of(500)) {
            out.push(Output::Answer { id, answer });
        }
    }
}
