//! Settings, events and actions of the decision module, as plain data. Times are milliseconds of one monotonic
//! clock; amounts are quota units.

use std::sync::Arc;

/// A point in time or a duration in milliseconds.
pub type Millis = f64;
/// Id of a request at one limiter; never reused.
pub type RequestId = u32;
/// Id of a customer, the same at every limiter.
pub type CustomerId = u64;
/// Id of a server, the same at every limiter and after a restart of its process.
pub type ServerId = Arc<str>;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Servers of one group drop repeats for a time.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The servers that drop repeats of a keyed request together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyGroup {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Target latency: an answer within this time earns the full value.
    pub aim_ms: Millis,
    /// Fraction of the value that a later answer still earns.
    pub late_worth: f64,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// For keyed requests: the servers that drop repeats together.
    pub group: KeyGroup,
    /// For keyed requests: how long repeats are dropped, from the first attempt that may have run.
    pub window_ms: Millis,
}

/// A plan: the quotas that each of its customers has over all limiters together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Units per second; 0 for no rate quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket in units.
    pub burst: f64,
    /// Maximum number of outstanding attempts; 0 for no such quota.
    pub open: u32,
    /// Units per second of the hard ceiling; 0 for none.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's bucket may fall below zero.
    pub ceiling_slack: f64,
}

/// Settings of one limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of limiters in front of this back end.
    pub limiters: u32,
    /// This limiter's position among them, from 0.
    pub position: u32,
    /// This limiter's zone.
    pub zone: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Shortest time between two rounds of events.
    pub round_ms: Millis,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout_ms: Millis,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Messages may be sent to peers.
    pub may_tell: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Refused clients are advised when to retry.
    pub may_advise: bool,
    /// Messages per second that a limiter accepts.
    pub messages_per_s: f64,
    /// The server list has to be subscribed to; it does not arrive by itself.
    pub must_subscribe: bool,
    /// A server that has just started has at least this fraction of its capacity.
    pub cold_share: f64,
    /// Time after which a server is warm at the latest.
    pub cold_ms: Millis,
    /// A cold server fails when it gets this multiple of what it can do...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall_ms: Millis,
    /// Maximum number of customers with a record; each takes [`Settings::BYTES_PER_CUSTOMER`].
    pub firms: u32,
}

impl Settings {
    /// Maximum memory per customer, in its record as a member, its account as a quota owner, and its share of
    /// indexes and sketches; `marldeal-bench firms` measures it.
    pub const BYTES_PER_CUSTOMER: usize = 200;

    /// The longest target latency of a class, in milliseconds.
    pub(crate) fn longest_target_ms(&self) -> Millis {
        self.classes.iter().map(|c| c.aim_ms).fold(0.0, f64::max)
    }
}

/// Number of customers with records, and what happened to others since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CustomerCounts {
    /// Records as a member.
    pub customers: usize,
    /// Accounts as a quota owner.
    pub accounts: usize,
    /// Evicted from a full table with full buckets.
    pub evicted_full: u64,
    /// Evicted from a full table with a deficit, which is kept.
    pub evicted_with_deficit: u64,
    /// Requests of new customers that were refused while these arrived too fast.
    pub new_refused: u64,
    /// Asks decided without an account, since none could be evicted.
    pub decided_without_record: u64,
}

/// State of a server by the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Accepts requests.
    Serving,
    /// Finishes its requests; no new ones may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub condition: Condition,
    /// Its size relative to other servers.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub started: Millis,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Refused by the server without execution.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it did not run.
    NoConnection,
    /// Connection lost; it may have run.
    Severed,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A server's load report; values that it does not report are absent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Number of requests it holds.
    pub inflight: Option<f64>,
    /// Its recent service time without queueing.
    pub service_ms: Option<f64>,
}

/// A client request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its plan in the settings.
    pub plan: usize,
    /// The customer that it belongs to.
    pub customer: CustomerId,
    /// Time until the client gives up.
    pub budget_ms: Millis,
    /// Its size in units, declared or estimated.
    pub units: f64,
    /// Number of limiters in the customer's set, those that receive its requests...
    pub spread: u32,
    /// ...counted from this position.
    pub first: u32,
}

/// State of a successful response that does not arrive all at once, and of which nothing has been passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseState {
    /// Its head has arrived, and its body is awaited.
    Head,
    /// Its body is arriving. It will be passed on at the client's deadline, complete or not.
    Body,
    /// Nothing has arrived for so long that its server does not count as giving it any more.
    Stalled,
}

impl ResponseState {
    /// Whether the server counts as giving the response.
    pub fn is_arriving(self) -> bool {
        self != ResponseState::Stalled
    }
}

/// An event that a limiter handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or changes to it.
    Servers {
        /// True for the whole list, false for changes to it.
        whole: bool,
        /// The entries.
        entries: Arc<[ServerEntry]>,
    },
    /// A subscription to the server list, or fetching it, failed.
    ListFailed,
    /// A request arrived.
    Request(Request),
    /// An answer has begun to stream; deadlines no longer apply.
    Streaming {
        /// Id of the request.
        id: RequestId,
    },
    /// The response of the outstanding attempt arrives piece by piece, or no longer does.
    ResponseProgress {
        /// Id of the request.
        id: RequestId,
        /// How far it has arrived.
        state: ResponseState,
    },
    /// All of a streamed body has been received, and all but its end passed on. The end is passed on with
    /// [`Action::CompleteBody`].
    BodyReceived {
        /// Id of the request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took_ms: Millis,
        /// The request needs no further answer.
        settled: bool,
        /// Actual units, with the first good answer to a request whose units were estimated.
        units: Option<f64>,
        /// Load report received with the answer.
        load: Load,
    },
    /// The client disconnected; the request needs no answer.
    ClientDisconnected {
        /// Id of the request.
        id: RequestId,
    },
    /// A requested wake-up.
    Wake {
        /// The token of the request for it.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Load report received with it.
        load: Load,
    },
    /// A message from a peer.
    MessageReceived {
        /// Position of the sender.
        from: u32,
        /// The message.
        body: Vec<u8>,
    },
    /// A message from the other process of this limiter, during a hand-over.
    HandoverMessage {
        /// The message.
        body: Vec<u8>,
    },
    /// The process may be killed at this time, and every open request is to be answered before it. The budgets of later
    /// requests take it into account.
    KillExpected {
        /// The last time at which an answer can be given.
        at: Millis,
    },
    /// A counter call ended.
    Counted {
        /// Name of the counter.
        name: u64,
        /// How it ended.
        outcome: Outcome,
        /// Its value; only valid with [`Outcome::Ok`].
        total: f64,
    },
}

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request to a server.
    Send {
        /// Id of the request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out of the attempt; 0 for as long as the client waits.
        cap_ms: Millis,
    },
    /// Cancel an attempt.
    Cancel {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Pass on the end of a streamed body.
    CompleteBody {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not served; a retry is harmless.
    Refuse {
        /// Id of the request.
        id: RequestId,
        /// Time after which the client may retry; 0 for no advice.
        retry_ms: Millis,
    },
    /// Final answer: an error that promises nothing.
    Fail {
        /// Id of the request.
        id: RequestId,
    },
    /// Schedule a wake-up.
    Wake {
        /// Time from now.
        after_ms: Millis,
        /// Returned with the wake-up.
        token: u64,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a message of at most 256 bytes to peers.
    SendMessage {
        /// Position of a peer; none for all peers.
        to: Option<u32>,
        /// The message.
        body: Vec<u8>,
    },
    /// Send a message to the other process of this limiter, during a hand-over.
    SendHandoverMessage {
        /// The message.
        body: Vec<u8>,
    },
    /// Add to a shared counter and get its total.
    Count {
        /// Name of the counter.
        name: u64,
        /// Amount to add.
        add: f64,
        /// Lifetime of a new counter.
        life_ms: Millis,
    },
    /// Open or close a subscription to the server list.
    Subscribe(bool),
    /// Fetch the whole server list once.
    FetchList,
    /// A log line.
    Log(String),
    /// Why a request was ended or gets another attempt; only while tracing is enabled.
    Trace(crate::DecisionTrace),
}
