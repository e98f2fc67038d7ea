//! What a limiter remembers, as plain records. What they hold and mean is decided in `policy.rs`.

use std::collections::{BTreeMap, VecDeque};

use marldeal_firms::{DeficitSketch, RecentKeys, Table};

use crate::interface::*;
use crate::message::Line;
use crate::prefetch::{Leases, Prefetch};

/// A value that fades towards nothing: a sum of amounts over `span` milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct DecayingSum {
    pub sum: f64,
    pub at: Millis,
    pub span: Millis,
}

impl DecayingSum {
    pub fn new(now: Millis, span: Millis) -> Self {
        DecayingSum { sum: 0.0, at: now, span }
    }
    pub fn add(&mut self, now: Millis, amount: f64) {
        self.sum = self.value(now) + amount;
        self.at = now;
    }
    pub fn value(&self, now: Millis) -> f64 {
        self.sum * (-(now - self.at) / self.span).exp()
    }
    /// Goes on over another span at the same rate.
    pub fn set_span(&mut self, now: Millis, span: Millis) {
        *self = DecayingSum { sum: self.value(now) * span / self.span, at: now, span };
    }
    /// Amount a second.
    pub fn rate(&self, now: Millis) -> f64 {
        self.value(now) * 1000.0 / self.span
    }
}

/// The mean of samples that fade: their sum and their number.
#[derive(Debug, Clone, Copy)]
pub struct DecayingMean {
    pub sum: DecayingSum,
    pub count: DecayingSum,
}

impl DecayingMean {
    pub fn add(&mut self, now: Millis, sample: f64) {
        self.sum.add(now, sample);
        self.count.add(now, 1.0);
    }
    /// The mean, if half a sample or more is left.
    pub fn value(&self, now: Millis) -> Option<f64> {
        let count = self.count.value(now);
        (count > 0.5).then(|| self.sum.value(now) / count)
    }
}

/// A store of units that fills with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    pub level: f64,
    pub at: Millis,
}

impl TokenBucket {
    pub fn fill(&mut self, now: Millis, rate: f64, capacity: f64) {
        self.level = (self.level + rate * (now - self.at).max(0.0) / 1000.0).min(capacity);
        self.at = self.at.max(now);
    }
}

/// One limiter: all that it remembers. `policy.rs` holds its decisions.
#[derive(Debug)]
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Millis,
    pub(crate) started_at: Millis,
    /// When this process began, whomever it goes on as.
    pub(crate) process_started_at: Millis,
    /// Tells one start from another in messages.
    pub(crate) incarnation: u32,
    pub(crate) has_started: bool,
    /// A peer has been heard that started long before.
    pub(crate) older_peer_seen: bool,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) attempts: BTreeMap<(RequestId, u32), Attempt>,
    pub(crate) held: VecDeque<RequestId>,
    pub(crate) customers: Table<CustomerId, Customer>,
    pub(crate) accounts: Table<CustomerId, Account>,
    /// What forgotten ones still owe, by customer and plan: even parts, stores, ceilings.
    pub(crate) deficits: Deficits,
    /// New customers a second, and those seen of late without a record.
    pub(crate) new_customers: DecayingSum,
    pub(crate) recent_keys: RecentKeys,
    pub(crate) pressure: Pressure,
    pub(crate) counts: CustomerCounts,
    pub(crate) grants: Table<GrantKey, Grant>,
    /// Units granted under a ceiling, and grants that count as out: when, and whose, the oldest first.
    pub(crate) leases: Leases,
    pub(crate) open_grants: VecDeque<(Millis, GrantKey)>,
    /// Messages that each peer may still send.
    pub(crate) allowance: BTreeMap<u32, TokenBucket>,
    pub(crate) outbox: VecDeque<(u32, Vec<Line>)>,
    /// Messages that may be sent now.
    pub(crate) send_bucket: TokenBucket,
    pub(crate) send_scheduled: bool,
    pub(crate) missed_replies: BTreeMap<u32, MissedReplies>,
    /// Usual wait for a keeper's word.
    pub(crate) reply_wait_ms: Millis,
    pub(crate) last_step: Millis,
    /// When this limiter last went on after a pause.
    pub(crate) resumed_at: Millis,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) server_order: Vec<ServerId>,
    /// Lists taken in so far.
    pub(crate) lists_received: u32,
    /// Attempts that were to be sent, whether a server could have them or not.
    pub(crate) attempt_demand: DecayingSum,
    /// Attempts a second that this limiter has for each server when all are there.
    pub(crate) attempts_per_server: f64,
    /// Servers that have served of late.
    pub(crate) recent_servers: f64,
    /// Usual latency of all servers.
    pub(crate) typical_latency: Millis,
    pub(crate) recent_units: VecDeque<f64>,
    /// Lower bounds of the four classes of units.
    pub(crate) class_bounds: [f64; 4],
    pub(crate) occupied_slots: f64,
    pub(crate) cancelled_slots: DecayingSum,
    pub(crate) slot_limit: f64,
    pub(crate) num_big_queries: f64,
    /// Latency as a share of the aim, sum and count: of this limiter alone, and with what peers told.
    pub(crate) own_latency: DecayingMean,
    pub(crate) latency: DecayingMean,
    pub(crate) refused_full: DecayingMean,
    /// Good answers, and the sum of their aims.
    pub(crate) completed: DecayingSum,
    pub(crate) completed_targets: DecayingSum,
    pub(crate) hold_rate: DecayingSum,
    pub(crate) admit_rate: DecayingSum,
    pub(crate) retry_budget: f64,
    /// Units held ahead of need, where that is switched on.
    pub(crate) prefetch: Option<Box<Prefetch>>,
}

impl Limiter {
    /// Nothing seen yet; rates are smoothed over `smooth`, the pace of attempts over `pace`. `most` bounds what is kept.
    pub(crate) fn blank(
        settings: Settings,
        seed: u64,
        now: Millis,
        (smoothing_ms, attempt_rate_ms): (Millis, Millis),
        capacities: &Capacities,
    ) -> Self {
        let empty = DecayingSum::new(now, smoothing_ms);
        let sketch = |n: u64| DeficitSketch::new(capacities.cells, seed ^ n);
        Limiter {
            customers: Table::new(capacities.customers, seed),
            accounts: Table::new(capacities.customers, seed ^ 1),
            deficits: Deficits { equal_shares: sketch(2), stores: sketch(3), ceilings: sketch(4) },
            new_customers: DecayingSum::new(now, capacities.rate_window_ms),
            recent_keys: RecentKeys::new(capacities.recent_keys, capacities.recent_keys_ms, seed ^ 5),
            pressure: Pressure::BelowCapacity,
            counts: CustomerCounts::default(),
            grants: Table::fifo(capacities.grants, seed ^ 6),
            leases: Leases::default(),
            open_grants: VecDeque::new(),
            allowance: BTreeMap::new(),
            // Limiters that were given one seed must not draw alike: what each lets in by chance sums up.
            rng: fastrand::Rng::with_seed(
                seed ^ u64::from(settings.position).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ),
            settings,
            now,
            started_at: now,
            process_started_at: now,
            incarnation: now as u64 as u32,
            has_started: false,
            older_peer_seen: false,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            held: VecDeque::new(),
            outbox: VecDeque::new(),
            send_bucket: TokenBucket { level: 1.0, at: now },
            send_scheduled: false,
            missed_replies: BTreeMap::new(),
            reply_wait_ms: 0.0,
            last_step: now,
            resumed_at: f64::NEG_INFINITY,
            servers: BTreeMap::new(),
            server_order: Vec::new(),
            lists_received: 0,
            attempt_demand: DecayingSum::new(now, attempt_rate_ms),
            attempts_per_server: 0.0,
            recent_servers: 0.0,
            typical_latency: 0.0,
            recent_units: VecDeque::new(),
            class_bounds: [0.0; 4],
            occupied_slots: 0.0,
            cancelled_slots: empty,
            slot_limit: 0.0,
            num_big_queries: 0.0,
            own_latency: DecayingMean { sum: empty, count: empty },
            latency: DecayingMean { sum: empty, count: empty },
            refused_full: DecayingMean { sum: empty, count: empty },
            completed: empty,
            completed_targets: empty,
            hold_rate: empty,
            admit_rate: empty,
            retry_budget: 0.0,
            prefetch: None,
        }
    }
}

impl Limiter {
    /// Whether a wake-up asked for still means something. One for a request that is over, an ask that was
    /// answered or an attempt that has ended does nothing when it comes, so that the caller need not wait for
    /// it; it may come all the same.
    pub fn wake_is_needed(&self, wake: u64) -> bool {
        let open = || self.requests.get(&((wake >> 3) as RequestId));
        match wake & 7 {
            WAKE_DEADLINE | WAKE_TARGET => open().is_some(),
            WAKE_SILENCE_CHECK => open().is_some_and(|r| r.outstanding),
            WAKE_REPLY => open().is_some_and(|r| r.pending_ask.is_some()),
            _ => true,
        }
    }
}

/// Sizes of what is kept by name.
pub(crate) struct Capacities {
    pub customers: usize,
    pub grants: usize,
    /// Cells a row of the sketches of debts.
    pub cells: usize,
    /// Names seen without a record, and for how long.
    pub recent_keys: usize,
    pub recent_keys_ms: Millis,
    /// Over which the pace of new names is taken.
    pub rate_window_ms: Millis,
}

/// Until when forgotten customers owe, by customer and plan.
#[derive(Debug, Clone)]
pub struct Deficits {
    pub equal_shares: DeficitSketch,
    pub stores: DeficitSketch,
    pub ceilings: DeficitSketch,
}

/// How far the bound on customers is felt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pressure {
    /// There is room.
    BelowCapacity,
    /// A new one displaces another.
    Full,
    /// New ones come so fast that they would displace all: strangers are refused.
    Overloaded,
}

/// What a member of a customer's set remembers of it.
#[derive(Debug, Default)]
pub struct Customer {
    /// The even part here, for the time without a keeper.
    pub equal_share: TokenBucket,
    /// Units in the keeper's store, as told last, less what was spent here since; full until a word comes.
    pub store_left: f64,
    /// Demand at all limiters as a multiple of the quota, as a keeper told it, and when.
    pub demand_at: Millis,
    pub demand: f32,
    /// Units refused by chance since the last ask.
    pub unreported: f32,
    pub spread: u16,
    pub plan: u8,
    /// Seen more than once.
    pub seen_before: bool,
}

/// What a keeper holds for a customer, as of `at`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Account {
    pub at: Millis,
    pub store: f64,
    pub ceiling: f64,
    /// Units granted under the ceiling that a member may still spend.
    pub leased: f64,
    /// Units asked for, and units granted: sums that fade.
    pub demand: f64,
    pub admitted: f64,
    /// Requests granted and not yet done.
    pub open: u32,
    pub plan: u8,
    /// This keeper's rank, which says what share it owns.
    pub rank: u8,
}

/// A member's request at its keeper: position and start of the member, number of the request.
pub type GrantKey = (u32, u32, RequestId);

/// What a keeper answered, kept for repeats and for the end of the request.
#[derive(Debug)]
pub struct Grant {
    pub customer: CustomerId,
    pub units: f64,
    pub granted: bool,
    /// Counts as out.
    pub open: bool,
    pub done: bool,
}

/// A keeper that left an ask unanswered.
#[derive(Debug, Clone, Copy)]
pub struct MissedReplies {
    pub misses: u32,
    pub at: Millis,
}

#[derive(Debug)]
pub struct Server {
    pub entry: ServerEntry,
    /// Attempts of this limiter out there.
    pub outstanding: u32,
    pub latency: f64,
    pub errors: f64,
    pub silences: u32,
    /// Set aside until then; `ejection_ms` is how long the last time was.
    pub ejected_until: Millis,
    pub ejection_ms: Millis,
    /// Why, until the log has told.
    pub ejection_reason: Option<&'static str>,
    pub full_until: Millis,
    pub last_answer: Millis,
    /// It counts as cold from this moment on.
    pub cold_since: Option<Millis>,
    pub cold_bucket: TokenBucket,
    /// Answers of the last seconds: how far its own figures are to be trusted.
    pub answers: DecayingSum,
}

#[derive(Debug)]
pub struct OpenRequest {
    pub request: Request,
    pub arrived: Millis,
    /// Keepers passed over so far, and asks to the present one.
    pub rank: u32,
    pub asks: u32,
    /// Waiting for a keeper's word since then.
    pub pending_ask: Option<(u32, Millis)>,
    /// Units under a ceiling count as lent from this moment on: its arrival, or when they were asked for ahead.
    pub leased_from: Millis,
    /// Its units were held ahead.
    pub prefetched: bool,
    /// The keeper that granted the units.
    pub owner: Option<u32>,
    /// When the quota let it in.
    pub admitted_at: Millis,
    pub actual_units: Option<f64>,
    pub deadline: Millis,
    pub attempts: u32,
    /// The earliest attempt that may have run: when it was sent, zone and cell of its server.
    pub may_have_run: Option<(Millis, u32, u32)>,
    pub outstanding: bool,
    pub held: bool,
    pub streaming: bool,
    /// Server of the last attempt, avoided by the next.
    pub last_server: Option<ServerId>,
}

impl OpenRequest {
    pub fn new(request: Request, now: Millis, deadline: Millis) -> Self {
        OpenRequest {
            request,
            arrived: now,
            leased_from: now,
            prefetched: false,
            rank: 0,
            asks: 0,
            pending_ask: None,
            owner: None,
            admitted_at: now,
            actual_units: None,
            deadline,
            attempts: 0,
            may_have_run: None,
            outstanding: false,
            held: false,
            streaming: false,
            last_server: None,
        }
    }
}

#[derive(Debug)]
pub struct Attempt {
    pub server: ServerId,
    /// Zone and cell of the server when it was sent: the list may have dropped it since.
    pub location: (u32, u32),
    pub sent: Millis,
    pub slots: f64,
    pub class: usize,
    pub cancelled: bool,
}

impl Server {
    /// A line for the staff when the server has been set aside.
    pub fn take_ejection_log(&mut self, id: &ServerId) -> Option<String> {
        let reason = self.ejection_reason.take()?;
        Some(format!("server {id} {reason}, ejected for {} ms", self.ejection_ms))
    }

    /// `span` is the time over which its answers are counted.
    pub fn new(entry: ServerEntry, now: Millis, span: Millis) -> Self {
        Server {
            entry,
            outstanding: 0,
            latency: 0.0,
            errors: 0.0,
            silences: 0,
            ejected_until: f64::NEG_INFINITY,
            ejection_ms: 0.0,
            ejection_reason: None,
            full_until: f64::NEG_INFINITY,
            last_answer: f64::NEG_INFINITY,
            cold_since: None,
            cold_bucket: TokenBucket { level: 1.0, at: now },
            answers: DecayingSum::new(now, span),
        }
    }
}

/// The token of a wake-up: a request and, in the three low bits, a kind.
pub fn wake_token(id: RequestId, kind: u64) -> u64 {
    u64::from(id) << 3 | kind
}

/// Kinds of wake-up, kept in the low bits of a token, the request above them.
pub const WAKE_STEP: u64 = 0;
pub const WAKE_DEADLINE: u64 = 1;
pub const WAKE_TARGET: u64 = 2;
pub const WAKE_SILENCE_CHECK: u64 = 3;
pub const WAKE_REPLY: u64 = 4;
pub const WAKE_SEND: u64 = 5;
