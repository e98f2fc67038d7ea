//! What goes into and comes out of the decision module: settings, events and actions, as plain data.
//! Times are milliseconds of one clock that only goes forward; amounts are quota units.

use std::sync::Arc;

/// A moment or a length of time in milliseconds.
pub type Millis = f64;
/// A request at one limiter; never used twice.
pub type RequestId = u32;
/// A customer, the same at every limiter.
pub type CustomerId = u64;
/// A server, the same at every limiter and after a restart of its process.
pub type ServerId = Arc<str>;

/// How often a request may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Servers of one group drop repeats for a time.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which servers drop repeats of a keyed request together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyGroup {
    /// Every server.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim_ms: Millis,
    /// Share of the worth that a later answer still earns.
    pub late_worth: f64,
    /// How often it may run.
    pub effect: Effect,
    /// For keyed requests: who drops repeats.
    pub group: KeyGroup,
    /// For keyed requests: how long repeats are dropped, from the first attempt that may have run.
    pub window_ms: Millis,
}

/// A plan: the quotas that each customer on it has over all limiters together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Units a second; 0 for no quota on the rate.
    pub rate: f64,
    /// Units that the quota's store holds at most.
    pub burst: f64,
    /// Attempts out at once; 0 for no such quota.
    pub open: u32,
    /// Units a second of the hard ceiling; 0 for none.
    pub ceiling_rate: f64,
    /// Units that the ceiling's store holds at most.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's store may fall below nothing.
    pub ceiling_slack: f64,
}

/// Settings of one limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Limiters before this back end.
    pub limiters: u32,
    /// This limiter's number among them, from 0.
    pub position: u32,
    /// This limiter's zone.
    pub zone: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Shortest time between two rounds of events.
    pub round_ms: Millis,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// A connection not made by then has failed.
    pub connect_timeout_ms: Millis,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Peers may be told something.
    pub may_tell: bool,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Clients are given advice on when to try again.
    pub may_advise: bool,
    /// Messages a second that a limiter takes in.
    pub messages_per_s: f64,
    /// Servers must be subscribed to: the list does not come by itself.
    pub must_subscribe: bool,
    /// A server that just started has this share of its capacity or more.
    pub cold_share: f64,
    /// A server is warm after this time at the latest.
    pub cold_ms: Millis,
    /// A cold server falls over when sent this many times what it can do...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall_ms: Millis,
    /// Customers remembered at most; [`Settings::BYTES_PER_CUSTOMER`] for each.
    pub firms: u32,
}

impl Settings {
    /// Bytes that a customer takes at most, in this limiter's part as a member and as a keeper, with its share of the
    /// indexes and sketches; `marldeal-bench firms` measures it.
    pub const BYTES_PER_CUSTOMER: usize = 200;

    /// The longest aim of a class, in milliseconds.
    pub(crate) fn longest_target_ms(&self) -> Millis {
        self.classes.iter().map(|c| c.aim_ms).fold(0.0, f64::max)
    }
}

/// How many customers are remembered, and what became of others since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CustomerCounts {
    /// Remembered as a member.
    pub customers: usize,
    /// Remembered as a keeper.
    pub accounts: usize,
    /// Forgotten for want of room with nothing owed.
    pub evicted_full: u64,
    /// Forgotten for want of room while they owed, which is carried on.
    pub evicted_with_deficit: u64,
    /// Requests of strangers refused while new names came too fast.
    pub new_refused: u64,
    /// Asks decided without a record, since none could go.
    pub decided_without_record: u64,
}

/// What the server list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Takes requests.
    Serving,
    /// Completes what it has; nothing new may go there.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One line of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// What it does.
    pub condition: Condition,
    /// Its size in relation to the others.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started: Millis,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// Connection lost; it may have run.
    Severed,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A load report of a server; what it does not report is absent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests it holds.
    pub inflight: Option<f64>,
    /// Its recent service time without waiting.
    pub service_ms: Option<f64>,
}

/// A client request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Which request.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its plan in the settings.
    pub plan: usize,
    /// Whose it is.
    pub customer: CustomerId,
    /// Time until the client gives this try up.
    pub budget_ms: Millis,
    /// Its size in units, told or guessed.
    pub units: f64,
    /// How many limiters get this customer's requests...
    pub spread: u32,
    /// ...counted round from this position.
    pub first: u32,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list: all of it, or the changed lines.
    Servers {
        /// True for the whole list, false for changes to it.
        whole: bool,
        /// The lines.
        entries: Arc<[ServerEntry]>,
    },
    /// A subscription to the server list, or a look at it, failed.
    ListFailed,
    /// A request arrived.
    Request(Request),
    /// An answer has begun to stream; no deadline applies any more.
    Streaming {
        /// Which request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// How long it took.
        took_ms: Millis,
        /// Nothing more is owed for the request.
        settled: bool,
        /// True units, with the first good answer of a guessed request.
        units: Option<f64>,
        /// Load report that came along.
        load: Load,
    },
    /// The client has left; nothing is owed.
    ClientDisconnected {
        /// Which request.
        id: RequestId,
    },
    /// A wake-up asked for.
    Wake {
        /// As given.
        token: u64,
    },
    /// A probe came back.
    Probed {
        /// Which server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Load report that came along.
        load: Load,
    },
    /// A peer has told something.
    MessageReceived {
        /// The sender's position.
        from: u32,
        /// What it told.
        body: Vec<u8>,
    },
    /// A counter call ended.
    Counted {
        /// Name of the count.
        name: u64,
        /// How.
        outcome: Outcome,
        /// Its value; means something with `Ok` only.
        total: f64,
    },
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request to a server: its next attempt.
    Send {
        /// Which request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Give the attempt up after this long; 0 for as long as the client waits.
        cap_ms: Millis,
    },
    /// Call an attempt off.
    Cancel {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: not served, trying again is harmless.
    Refuse {
        /// Which request.
        id: RequestId,
        /// Advice to the client; 0 for none.
        retry_ms: Millis,
    },
    /// Final answer: an error that promises nothing.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Ask for a wake-up.
    Wake {
        /// How long from now.
        after_ms: Millis,
        /// Comes back with it.
        token: u64,
    },
    /// Probe a server.
    Probe {
        /// Which.
        server: ServerId,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// Which.
        server: ServerId,
    },
    /// Tell peers something, 256 bytes at most.
    SendMessage {
        /// A position, or none for all peers.
        to: Option<u32>,
        /// What.
        body: Vec<u8>,
    },
    /// Add to a shared count and get its total.
    Count {
        /// Name of the count.
        name: u64,
        /// Amount.
        add: f64,
        /// Life of a new name.
        life_ms: Millis,
    },
    /// OpenRequest or close a standing subscription to the server list.
    Subscribe(bool),
    /// Ask for the whole server list once.
    FetchList,
    /// One line for the staff.
    Log(String),
}
