//! Open requests, attempts and due times round the decision module: [`Input`] in, [`Output`] out.
//!
//! The engine is the only caller of [`fawnhill::Limiter::handle`]. It gives requests their ids, keeps two attempts of
//! one request from being out at once, ends a request at its deadline should the module not have, and knows when it
//! must be called again. It does *not* open sockets, read a clock, start threads or draw random numbers of its own:
//! the time is an argument of every call and the seed one of [`Engine::new`], so that sockets, a virtual clock and a
//! recorded run drive the same code.
//!
//! ```
//! use fawnhill::{Class, Condition, Effect, KeyGroup, Outcome, Plan, Request, ServerEntry, Settings};
//! use marldeal_engine::{Answer, Engine, Input, Output};
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
//! let mut engine = Engine::new(settings, 42, 0.0)?;
//! let mut out = Vec::new();
//! let node = ServerEntry {
//!     server: "node-1".into(), zone: 0, cell: 0, condition: Condition::Serving, weight: 1.0, started: 0.0,
//! };
//! engine.handle(0.0, Input::Servers { whole: true, entries: [node].into() }, &mut out);
//!
//! let request = Request {
//!     id: 0, class: 0, plan: 0, customer: 7, budget_ms: 3000.0, units: 1.0, spread: 1, first: 0,
//! };
//! let id = engine.handle(5.0, Input::Request { correlation_id: (*b"c-1").into(), request }, &mut out).expect("a new name");
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
pub mod outcomes;
mod tampered;
pub mod timers;

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use counters::{RequestCounters, RequestOutcome};
use fawnhill::planted::{self, Fault};
pub use fawnhill::Millis;
use fawnhill::{
    Action, Condition, CustomerCounts, Event, Limiter, Load, Outcome, Request, RequestId, ServerEntry,
    ServerId, Settings,
};
use marldeal_snapshot::{Assessment, Snapshot, SnapshotKind};
use timers::Timers;

/// What tells one client's request from another while it is open, such as the value of `X-Correlation-Id`.
pub type CorrelationId = Arc<[u8]>;

/// What has happened outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The roster: all of it, or the changed lines.
    Servers {
        /// True for the whole roster, false for changes to it.
        whole: bool,
        /// The lines.
        entries: Arc<[ServerEntry]>,
    },
    /// The roster could not be asked for.
    ServerListFailed,
    /// A request has come whole. Its `id` is not looked at: the engine gives it one. One without any time left is refused
    /// at once, and the module never hears of it.
    Request {
        /// Its name; a second request of that name is not taken while the first is open.
        correlation_id: CorrelationId,
        /// What it asks.
        request: Request,
    },
    /// An attempt has ended: nothing more of it can reach a server.
    AttemptEnded {
        /// Which request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// True units, where the answer told them.
        units: Option<f64>,
        /// Load report that came along.
        load: Load,
    },
    /// The body of a request that was just taken is still to come, and goes to a server as it comes: the request gets one
    /// attempt, and its time counts from [`Input::Written`].
    Uploading {
        /// Which request.
        id: RequestId,
    },
    /// The last byte of an attempt has been written to its server.
    Written {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// An attempt's answer is too long to be read whole first: it is passed on as it comes. No deadline applies any more.
    Streaming {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// The client has left: nothing is owed.
    ClientDisconnected {
        /// Which request.
        id: RequestId,
    },
    /// A peer has told something.
    MessageReceived {
        /// The sender's position.
        from: u32,
        /// What it told.
        body: Vec<u8>,
    },
    /// The moment that [`Engine::next_due`] open_correlation_ids has come.
    TimerExpired,
}

impl Input {
    /// The end of an attempt that told neither units nor load.
    pub fn attempt_ended(id: RequestId, attempt: u32, outcome: Outcome) -> Input {
        Input::AttemptEnded { id, attempt, outcome, units: None, load: Load::default() }
    }
}

/// The one final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// The attempt that ended last served it.
    Served,
    /// Not served; trying again is harmless.
    Refused {
        /// When to try again, in milliseconds from now; 0 for no advice.
        retry_ms: Millis,
    },
    /// An error that promises nothing.
    Failed,
}

/// What is to be done outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Start an attempt. [`Input::AttemptEnded`] is owed for it.
    Send {
        /// Which request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// Where to.
        server: ServerId,
        /// When it is given up, on the caller's clock.
        deadline: Millis,
    },
    /// Call an attempt off; [`Input::AttemptEnded`] is still owed, once nothing more of it can reach a server.
    Stop {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// The outcome to report, unless another came first.
        outcome: Outcome,
    },
    /// Give the final answer: the first and only one of its request.
    Answer {
        /// Which request.
        id: RequestId,
        /// What to say.
        answer: Answer,
    },
    /// Tell peers something, 256 bytes at most.
    SendMessage {
        /// A position, or none for all peers.
        to: Option<u32>,
        /// What.
        body: Vec<u8>,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// Which.
        server: ServerId,
    },
    /// Keep the watch on the roster fresh.
    RefreshWatch,
    /// Ask for the whole roster once.
    FetchServerList,
    /// One line for the operator.
    Log(String),
}

/// Numbers of requests end here and begin anew; the module has a use for those above ([`fawnhill::Limiter::enable_prefetch`]).
const MOST_ID: RequestId = (1 << 31) - 1;

struct Open {
    correlation_id: CorrelationId,
    class: usize,
    deadline: Millis,
    /// Its whole time, which counts from the last byte where the body is still to come.
    budget_ms: Millis,
    uploading: bool,
    /// Its answer is being passed on.
    streaming: bool,
    attempts: u32,
    /// An attempt is out.
    out: bool,
}

/// An attempt that is out.
struct Out {
    sent: Millis,
    /// Its answer is passed on since then.
    began: Option<Millis>,
    /// It is given up then.
    deadline: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake(u64),
    /// An attempt's time is up.
    Cap(RequestId, u32),
    /// The client's time is up.
    Deadline(RequestId),
}

/// The decision module with its open requests, attempts and due times.
pub struct Engine {
    limiter: Limiter,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: Timers<Due>,
    open: HashMap<RequestId, Open>,
    open_correlation_ids: HashSet<CorrelationId>,
    /// Attempts that are out.
    out: HashMap<(RequestId, u32), Out>,
    /// Whether each server of the roster takes new work.
    servers: HashMap<ServerId, bool>,
    next: RequestId,
    counters: RequestCounters,
    echoes: tampered::Echoes,
}

impl Engine {
    /// An engine whose module has just started at `now`. The error names the setting that cannot be served.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Engine, String> {
        Ok(Engine {
            counters: RequestCounters::new(settings.classes.len()),
            limiter: Limiter::new(settings, seed, now)?,
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: Timers::default(),
            open: HashMap::new(),
            open_correlation_ids: HashSet::new(),
            out: HashMap::new(),
            servers: HashMap::new(),
            next: 0,
            echoes: tampered::Echoes::default(),
        })
    }

    /// Holds units of quotas ahead of need from now on ([`fawnhill::Limiter::enable_prefetch`]).
    pub fn enable_prefetch(&mut self, max_customers: usize) {
        self.limiter.enable_prefetch(max_customers);
    }

    /// What became of units held ahead; nothing where none are.
    pub fn prefetch_counts(&self) -> Option<fawnhill::PrefetchCounts> {
        self.limiter.prefetch_counts()
    }

    /// Takes in what has happened and adds to `out` what is to be done, in this order. The id that a request got, if
    /// it was taken: one is not while another of its name is open, for two at the servers could not be told apart.
    ///
    /// `now` never goes back from call to call.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) -> Option<RequestId> {
        let mut taken = None;
        match input {
            Input::Servers { whole, entries } => {
                self.roster(whole, entries);
                if planted::is_active(Fault::Shout) {
                    out.push(Output::SendMessage { to: None, body: Vec::new() });
                }
            }
            Input::ServerListFailed => self.events.push_back(Event::ListFailed),
            Input::Request { correlation_id, request } => {
                let late = request.budget_ms <= 0.0;
                taken = self.take(now, correlation_id, request);
                // Its client's time is over, and nothing of it has gone out: to ask again does no harm.
                if let Some(id) = taken.filter(|id| late && self.settle(*id, RequestOutcome::Declined)) {
                    out.push(Output::Answer { id, answer: Answer::Refused { retry_ms: 0.0 } });
                }
            }
            Input::AttemptEnded { id, attempt, outcome, units, load } => {
                self.ended(now, id, attempt, outcome, units, load, out);
            }
            Input::Uploading { id } => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.uploading = true;
                    if open.out {
                        self.upload_begins(id);
                    }
                }
            }
            Input::Written { id, attempt } => self.written(now, id, attempt),
            Input::Streaming { id, attempt } => self.streams(now, id, attempt),
            Input::ClientDisconnected { id } => {
                if self.settle(id, RequestOutcome::Aborted) {
                    self.events.push_back(Event::ClientDisconnected { id });
                }
            }
            Input::MessageReceived { from, body } => {
                if planted::is_active(Fault::Echo) {
                    self.echo(now, from, &body);
                }
                self.events.push_back(Event::MessageReceived { from, body });
            }
            Input::TimerExpired => self.fire(now, out),
        }
        self.work(now, out);
        taken
    }

    /// When [`Input::TimerExpired`] is to come, at the latest.
    pub fn next_due(&mut self) -> Option<Millis> {
        let Engine { timers, limiter, out, open, .. } = self;
        timers.next_due(|_, what| match what {
            Due::Wake(token) => limiter.wake_is_needed(*token),
            Due::Cap(id, attempt) => out.contains_key(&(*id, *attempt)),
            Due::Deadline(id) => open.contains_key(id),
        })
    }

    /// Whether a server of the roster takes new work.
    pub fn accepts_requests(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|takes| *takes || planted::is_active(Fault::Drain))
    }

    /// A server of the roster takes new work.
    pub fn has_servers(&self) -> bool {
        self.servers.values().any(|takes| *takes)
    }

    /// A request could be served: a server takes work, and the module is ready to let requests in.
    pub fn is_ready(&self, now: Millis) -> bool {
        self.has_servers() && self.limiter.is_ready(now)
    }

    /// How many customers are remembered, and what became of others.
    pub fn customer_counts(&self) -> CustomerCounts {
        self.limiter.customer_counts()
    }

    /// New names come so fast that the module refuses those it has never seen.
    pub fn refuses_new_customers(&self) -> bool {
        self.limiter.refuses_new_customers()
    }

    /// What has been counted of requests and attempts.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// For what is counted outside: attempts as they are written, requests that a front ended itself.
    pub fn counters_mut(&mut self) -> &mut RequestCounters {
        &mut self.counters
    }

    /// Servers of the roster that the module avoids now.
    pub fn ejected_servers(&self, now: Millis) -> usize {
        self.limiter.avoided_servers(now)
    }

    /// What is known at `now`, for another process to go on with; `grade` says what this one does from here on.
    pub fn snapshot(&self, now: Millis, kind: SnapshotKind) -> Snapshot {
        Snapshot { kind, written_ms: now, next_request: self.next, knowledge: self.limiter.export_state(now) }
    }

    /// Takes over what is believed of another process's snapshot. Only before the first request: what this one had
    /// learnt itself is replaced.
    pub fn restore(&mut self, now: Millis, assessment: Assessment) {
        match assessment {
            Assessment::SameLimiter { knowledge, next_request } => {
                self.next = self.next.max(next_request);
                self.limiter.import_state(now, &knowledge, true);
            }
            Assessment::Hints { knowledge } => self.limiter.import_state(now, &knowledge, false),
            Assessment::Expired { .. } => {}
        }
    }

    /// Requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Attempts that are out.
    pub fn outstanding_attempts(&self) -> usize {
        self.out.len()
    }

    fn roster(&mut self, whole: bool, entries: Arc<[ServerEntry]>) {
        if whole {
            self.servers.clear();
        }
        for entry in entries.iter() {
            match entry.condition {
                Condition::Gone => drop(self.servers.remove(&entry.server)),
                condition => {
                    let takes = condition == Condition::Serving;
                    self.servers.insert(entry.server.clone(), takes);
                }
            }
        }
        self.events.push_back(Event::Servers { whole, entries });
    }

    fn take(
        &mut self,
        now: Millis,
        correlation_id: CorrelationId,
        mut request: Request,
    ) -> Option<RequestId> {
        if !self.open_correlation_ids.insert(correlation_id.clone()) {
            return None;
        }
        let id = self.next;
        self.next = self.next.wrapping_add(1) & MOST_ID;
        request.id = id;
        let deadline = now + request.budget_ms;
        self.counters.record_received(request.class);
        self.open.insert(
            id,
            Open {
                correlation_id,
                class: request.class,
                deadline,
                budget_ms: request.budget_ms,
                uploading: false,
                streaming: false,
                attempts: 0,
                out: false,
            },
        );
        self.timers.push(deadline, Due::Deadline(id));
        if request.budget_ms > 0.0 {
            self.events.push_back(Event::Request(request));
        }
        Some(id)
    }

    /// The clock of a request stands still while its body comes: the client's time counts from the last byte.
    fn upload_begins(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.deadline = f64::INFINITY;
            let attempt = open.attempts - 1;
            self.out.entry((id, attempt)).and_modify(|out| out.deadline = f64::INFINITY);
            self.events.push_back(Event::Streaming { id });
        }
    }

    fn written(&mut self, now: Millis, id: RequestId, attempt: u32) {
        self.counters.record_forwarded();
        let Some(open) = self.open.get_mut(&id).filter(|open| open.uploading && open.out) else { return };
        open.uploading = false;
        open.deadline = now + open.budget_ms;
        self.timers.push(open.deadline, Due::Deadline(id));
        // How long the client took to send says nothing of the server.
        let deadline = open.deadline;
        self.out.entry((id, attempt)).and_modify(|out| (out.sent, out.deadline) = (now, deadline));
    }

    fn streams(&mut self, now: Millis, id: RequestId, attempt: u32) {
        let Some(out) = self.out.get_mut(&(id, attempt)) else { return };
        let Some(open) = self.open.get_mut(&id) else { return };
        (out.began, out.deadline) = (Some(now), f64::INFINITY);
        open.streaming = true;
        open.deadline = f64::INFINITY;
        self.events.push_back(Event::Streaming { id });
    }

    /// Takes a request off the open ones and counts its end; false if it was not open.
    fn settle(&mut self, id: RequestId, outcome: RequestOutcome) -> bool {
        let Some(open) = self.open.remove(&id) else { return false };
        self.open_correlation_ids.remove(&open.correlation_id);
        self.counters.record_finished(open.class, outcome);
        true
    }

    /// An answer in time is the final one; for a request that is over the module hears of the outcome all the same.
    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        units: Option<f64>,
        load: Load,
        out: &mut Vec<Output>,
    ) {
        let Some(gone) = self.out.remove(&(id, attempt)) else { return };
        let mut settled = true;
        if let Some(open) = self.open.get_mut(&id) {
            open.out = false;
            settled = false;
        }
        if outcome == Outcome::Ok && self.settle(id, RequestOutcome::Succeeded) {
            settled = true;
            out.push(Output::Answer { id, answer: Answer::Served });
        }
        let took_ms = gone.began.unwrap_or(now) - gone.sent;
        self.events.push_back(Event::AttemptEnded { id, attempt, outcome, took_ms, settled, units, load });
    }

    /// Fires all that is due.
    fn fire(&mut self, now: Millis, out: &mut Vec<Output>) {
        while let Some(what) = self.timers.pop(now) {
            match what {
                Due::Wake(token) => self.events.push_back(Event::Wake { token }),
                Due::Cap(id, attempt) => {
                    if self.out.get(&(id, attempt)).is_some_and(|out| out.deadline <= now) {
                        self.stop(id, attempt, Outcome::TimedOut, out);
                    }
                }
                // The backstop: the module ends its requests before this. Nothing is sent after it.
                Due::Deadline(id) => {
                    if self.open.get(&id).is_some_and(|open| open.deadline > now) {
                        continue;
                    }
                    if let Some(open) = self.open.get(&id).filter(|open| open.out) {
                        self.stop(id, open.attempts - 1, Outcome::TimedOut, out);
                    }
                    if self.settle(id, RequestOutcome::Aborted) {
                        out.push(Output::Log(format!("request {id}: failed at its deadline")));
                        out.push(Output::Answer { id, answer: Answer::Failed });
                        self.events.push_back(Event::ClientDisconnected { id });
                    }
                }
            }
            self.work(now, out);
        }
    }

    fn work(&mut self, now: Millis, out: &mut Vec<Output>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.limiter.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Millis, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { id, server, cap_ms } => self.send(now, id, server, cap_ms, out),
            Action::Cancel { id, attempt } => self.stop(id, attempt, Outcome::Cancelled, out),
            Action::Refuse { id, .. } | Action::Fail { id } if self.thaws(now, id) => self.thaw(now, id, out),
            Action::Refuse { id, retry_ms } => self.answer(id, Answer::Refused { retry_ms }, out),
            Action::Fail { id } => self.answer(id, Answer::Failed, out),
            Action::Wake { after_ms, token } => self.timers.push(now + after_ms.max(0.0), Due::Wake(token)),
            Action::SendMessage { to, body } => out.push(Output::SendMessage { to, body }),
            Action::CloseIdle { server } => out.push(Output::CloseIdle { server }),
            // The watch is always on; asking again only freshens it.
            Action::Subscribe(_) => out.push(Output::RefreshWatch),
            Action::FetchList => out.push(Output::FetchServerList),
            Action::Log(line) => out.push(Output::Log(line)),
            // Servers may not be probed here, and limiters talk as peers: the module does neither. Should it,
            // it hears at once that nothing was sent.
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
        let takes = self.accepts_requests(&server);
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        if open.out || !takes {
            if open.out {
                let line = format!("request {id}: a second attempt beside the first was not sent");
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
        open.out = true;
        let deadline = if cap_ms > 0.0 { open.deadline.min(now + cap_ms) } else { open.deadline };
        let uploading = open.uploading;
        self.out.insert((id, attempt), Out { sent: now, began: None, deadline });
        self.timers.push(deadline, Due::Cap(id, attempt));
        out.push(Output::Send { id, attempt, server, deadline });
        if uploading {
            self.upload_begins(id);
        }
    }

    fn stop(&mut self, id: RequestId, attempt: u32, outcome: Outcome, out: &mut Vec<Output>) {
        if self.out.contains_key(&(id, attempt)) {
            out.push(Output::Stop { id, attempt, outcome });
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer, out: &mut Vec<Output>) {
        // A client that has a part of an answer can only be cut off: that is no refusal.
        let streaming = self.open.get(&id).is_some_and(|open| open.streaming);
        let end = match answer {
            _ if streaming => RequestOutcome::Aborted,
            Answer::Served => RequestOutcome::Succeeded,
            Answer::Refused { .. } => RequestOutcome::Declined,
            Answer::Failed => RequestOutcome::Aborted,
        };
        if self.settle(id, end) && !(planted::is_active(Fault::Answer) && id.is_multiple_of(500)) {
            out.push(Output::Answer { id, answer });
        }
    }
}
