//! The state of a limiter as plain records. The rules on them are in `policy.rs`, `customers.rs` and
//! `accounts.rs`.

use std::collections::{BTreeMap, VecDeque};

use marldeal_firms::{DeficitSketch, RecentKeys, Table};

use crate::interface::*;
use crate::message::Line;
use crate::prefetch::{Leases, Prefetch};
use crate::servers::Servers;

/// A sum of amounts that decays exponentially over `span` milliseconds.
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
    /// Changes the span and keeps the rate.
    pub fn set_span(&mut self, now: Millis, span: Millis) {
        *self = DecayingSum { sum: self.value(now) * span / self.span, at: now, span };
    }
    /// Amount per second.
    pub fn rate(&self, now: Millis) -> f64 {
        self.value(now) * 1000.0 / self.span
    }
}

/// Exponentially weighted mean: the decayed sum and number of samples.
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
    /// The mean, if the weight of half a sample or more is left.
    pub fn value(&self, now: Millis) -> Option<f64> {
        let count = self.count.value(now);
        (count > 0.5).then(|| self.sum.value(now) / count)
    }
}

/// Token bucket that fills with time.
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

/// State of one limiter. Its decisions are in `policy.rs`.
#[derive(Debug)]
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// Decisions that end or repeat an attempt are traced.
    pub(crate) tracing: bool,
    pub(crate) now: Millis,
    pub(crate) started_at: Millis,
    /// Start of this process, also where it continues another process's state.
    pub(crate) process_started_at: Millis,
    /// Distinguishes the starts of a limiter in messages.
    pub(crate) incarnation: u32,
    pub(crate) has_started: bool,
    /// A peer that started well before this limiter has sent a message.
    pub(crate) older_peer_seen: bool,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) attempts: BTreeMap<(RequestId, u32), Attempt>,
    pub(crate) held: VecDeque<RequestId>,
    pub(crate) customers: Table<CustomerId, Customer>,
    pub(crate) accounts: Table<CustomerId, Account>,
    /// Deficits of evicted customers, by customer and plan.
    pub(crate) deficits: Deficits,
    /// Rate of new customers, and recent customers without a record.
    pub(crate) new_customers: DecayingSum,
    pub(crate) recent_keys: RecentKeys,
    pub(crate) pressure: Pressure,
    pub(crate) counts: CustomerCounts,
    pub(crate) grants: Table<GrantKey, Grant>,
    /// Units granted under ceilings, and open grants with their time, the oldest first.
    pub(crate) leases: Leases,
    pub(crate) open_grants: VecDeque<(Millis, GrantKey)>,
    /// Messages that each peer may still send.
    pub(crate) allowance: BTreeMap<u32, TokenBucket>,
    pub(crate) outbox: VecDeque<(u32, Vec<Line>)>,
    /// Messages that this limiter may send now.
    pub(crate) send_bucket: TokenBucket,
    pub(crate) send_scheduled: bool,
    pub(crate) missed_replies: BTreeMap<u32, MissedReplies>,
    /// Smoothed wait for a quota owner's reply.
    pub(crate) reply_wait_ms: Millis,
    pub(crate) last_step: Millis,
    /// End of this limiter's last stall.
    pub(crate) resumed_at: Millis,
    pub(crate) servers: Servers,
    /// Number of server lists received.
    pub(crate) lists_received: u32,
    /// Attempts that were due, whether or not a server accepted them.
    pub(crate) attempt_demand: DecayingSum,
    /// Attempts per second that this limiter has for each server when all are up.
    pub(crate) attempts_per_server: f64,
    /// Mean weight of the serving servers.
    pub(crate) mean_weight: f64,
    /// Number of servers that served recently.
    pub(crate) recent_servers: f64,
    /// Typical latency of all servers.
    pub(crate) typical_latency: Millis,
    pub(crate) recent_units: VecDeque<f64>,
    /// Lower bounds of the four classes of units.
    pub(crate) class_bounds: [f64; 4],
    pub(crate) occupied_slots: f64,
    pub(crate) cancelled_slots: DecayingSum,
    pub(crate) slot_limit: f64,
    pub(crate) num_big_queries: f64,
    /// Latency as a fraction of the target latency: of this limiter alone, and including what peers report.
    pub(crate) own_latency: DecayingMean,
    pub(crate) latency: DecayingMean,
    pub(crate) refused_full: DecayingMean,
    /// Good answers, and the sum of their target latencies.
    pub(crate) completed: DecayingSum,
    pub(crate) completed_targets: DecayingSum,
    pub(crate) hold_rate: DecayingSum,
    pub(crate) admit_rate: DecayingSum,
    pub(crate) retry_budget: f64,
    /// Prefetched units, if prefetch is enabled.
    pub(crate) prefetch: Option<Box<Prefetch>>,
    /// The accounts have been handed over to another process: nothing is granted or spent without asking.
    pub(crate) retired: bool,
}

impl Limiter {
    /// A limiter without history. Rates are smoothed over `smoothing_ms`, the attempt rate over
    /// `attempt_rate_ms`; `capacities` bounds the tables.
    pub(crate) fn blank(
        settings: Settings,
        seed: u64,
        now: Millis,
        (smoothing_ms, attempt_rate_ms): (Millis, Millis),
        capacities: &Capacities,
    ) -> Self {
        let (empty, zone) = (DecayingSum::new(now, smoothing_ms), settings.zone);
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
            // Limiters with the same seed must draw different numbers: their random admissions add up.
            tracing: false,
            rng: fastrand::Rng::with_seed(
                seed ^ u64::from(settings.position).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ),
            settings,
            now,
            started_at: now,
            process_started_at: now,
            incarnation: now as u64 as u32,
            has_started: false,
            retired: false,
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
            servers: Servers::new(zone),
            lists_received: 0,
            attempt_demand: DecayingSum::new(now, attempt_rate_ms),
            attempts_per_server: 0.0,
            mean_weight: 1.0,
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
    /// Whether a requested wake-up still has an effect. A wake-up for a finished request, an answered ask or an
    /// ended attempt does nothing, so the caller may drop it or deliver it.
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

/// Capacities of the tables.
pub(crate) struct Capacities {
    pub customers: usize,
    pub grants: usize,
    /// Cells per row of the deficit sketches.
    pub cells: usize,
    /// Keys remembered without a record, and for how long.
    pub recent_keys: usize,
    pub recent_keys_ms: Millis,
    /// Time over which the rate of new customers is taken.
    pub rate_window_ms: Millis,
}

/// Times until which evicted customers have a deficit, by customer and plan.
#[derive(Debug, Clone)]
pub struct Deficits {
    pub equal_shares: DeficitSketch,
    pub stores: DeficitSketch,
    pub ceilings: DeficitSketch,
}

/// How close the customer table is to its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pressure {
    /// Records are free.
    BelowCapacity,
    /// A new customer evicts another one.
    Full,
    /// New customers arrive so fast that they would evict all others; they are refused.
    Overloaded,
}

/// A member's record of a customer.
#[derive(Debug, Default)]
pub struct Customer {
    /// This limiter's equal share, used while no quota owner answers.
    pub equal_share: TokenBucket,
    /// Units in the quota owner's store by its last reply, less what was spent here since; full before the
    /// first reply.
    pub store_left: f64,
    /// Demand at all limiters as a multiple of the quota by the last reply, and when that was.
    pub demand_at: Millis,
    pub demand: f32,
    /// Units refused by chance since the last ask.
    pub unreported: f32,
    pub spread: u16,
    pub plan: u8,
    /// The customer was seen more than once.
    pub seen_before: bool,
}

/// A quota owner's account of a customer, as of `at`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Account {
    pub at: Millis,
    pub store: f64,
    pub ceiling: f64,
    /// Units granted under the ceiling that a member may still spend.
    pub leased: f64,
    /// Units asked for and units granted, as decaying sums.
    pub demand: f64,
    pub admitted: f64,
    /// Requests that are granted and not done.
    pub open: u32,
    pub plan: u8,
    /// This owner's rank, which determines its share.
    pub rank: u8,
}

/// A member's request at its quota owner: position and incarnation of the member, request number.
pub type GrantKey = (u32, u32, RequestId);

/// A quota owner's decision, kept for repeated asks and for the end of the request.
#[derive(Debug)]
pub struct Grant {
    pub customer: CustomerId,
    pub units: f64,
    pub granted: bool,
    /// Counts as an open request.
    pub open: bool,
    pub done: bool,
}

/// Missed replies of a quota owner.
#[derive(Debug, Clone, Copy)]
pub struct MissedReplies {
    pub misses: u32,
    pub at: Millis,
}

/// A listed server and what this limiter knows about it.
#[derive(Debug)]
pub struct Server {
    pub entry: ServerEntry,
    /// Attempts of this limiter that are outstanding at the server.
    pub outstanding: u32,
    /// Those of them whose bodies are streamed, for as long as their clients need. They do not show whether the server
    /// answers.
    pub streaming: u32,
    pub latency: f64,
    pub errors: f64,
    pub silences: u32,
    /// End of the ejection; `ejection_ms` is the length of the last one.
    pub ejected_until: Millis,
    pub ejection_ms: Millis,
    /// Reason of an ejection that is not logged yet.
    pub ejection_reason: Option<&'static str>,
    pub full_until: Millis,
    pub last_answer: Millis,
    /// The server counts as cold since then.
    pub cold_since: Option<Millis>,
    pub cold_bucket: TokenBucket,
    /// Recent answers, which say how far the server's own figures can be trusted.
    pub answers: DecayingSum,
}

/// Whether the end of a streamed body may be passed on to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Nobody has asked.
    Undecided,
    /// A quota owner is asked for units.
    Asked,
    /// It may.
    Allowed,
}

/// A client request without a final answer.
#[derive(Debug)]
pub struct OpenRequest {
    pub request: Request,
    pub arrived: Millis,
    /// Rank of the quota owner that is asked, and number of asks to it.
    pub rank: u32,
    pub asks: u32,
    /// Start of the time in which quota owners are asked: the arrival of the request, or of the end of its body.
    pub asked_from: Millis,
    /// The id under which the quota owner that is asked knows the request.
    pub grant_id: RequestId,
    /// Whether the end of its body may be passed on, if that is streamed.
    pub completion: Completion,
    /// The quota owner whose reply is awaited, and since when.
    pub pending_ask: Option<(u32, Millis)>,
    /// Start of the lease of units under a ceiling: the arrival of the request or of the end of its body, or the time
    /// of the prefetch ask.
    pub leased_from: Millis,
    /// The units were prefetched.
    pub prefetched: bool,
    /// The quota owner that granted the units.
    pub owner: Option<u32>,
    /// When the quota admitted the request.
    pub admitted_at: Millis,
    pub actual_units: Option<f64>,
    pub deadline: Millis,
    pub attempts: u32,
    /// The first attempt that may have run: when it was sent, and zone and cell of its server.
    pub may_have_run: Option<(Millis, u32, u32)>,
    pub outstanding: bool,
    pub held: bool,
    pub streaming: bool,
    /// State of the outstanding attempt's response, if that arrives piece by piece.
    pub response: Option<ResponseState>,
    /// Server of the last attempt, avoided by the next one.
    pub last_server: Option<ServerId>,
}

impl OpenRequest {
    /// Whether the server of the outstanding attempt is giving its response.
    pub(crate) fn is_being_answered(&self) -> bool {
        self.response.is_some_and(ResponseState::is_arriving)
    }

    /// Whether units that are granted now let the request go on.
    pub(crate) fn awaits_units(&self) -> bool {
        self.attempts == 0 || self.completion == Completion::Asked
    }

    pub fn new(request: Request, now: Millis, deadline: Millis) -> Self {
        OpenRequest {
            grant_id: request.id,
            request,
            arrived: now,
            asked_from: now,
            completion: Completion::Undecided,
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
            response: None,
            last_server: None,
        }
    }
}

/// An outstanding attempt.
#[derive(Debug)]
pub struct Attempt {
    pub server: ServerId,
    /// Zone and cell of the server at the time of sending; the server may have left the list since.
    pub location: (u32, u32),
    pub sent: Millis,
    pub slots: f64,
    pub class: usize,
    pub cancelled: bool,
    /// A body of it is streamed.
    pub streaming: bool,
}

impl Server {
    /// Takes the log line of an ejection that is not logged yet.
    pub fn take_ejection_log(&mut self) -> Option<String> {
        let reason = self.ejection_reason.take()?;
        Some(format!("server {} {reason}, ejected for {} ms", self.entry.server, self.ejection_ms))
    }

    /// A new server; its answers are counted over `span` milliseconds.
    pub fn new(entry: ServerEntry, now: Millis, span: Millis) -> Self {
        Server {
            entry,
            outstanding: 0,
            streaming: 0,
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

/// Token of a wake-up: the request and, in the three low bits, the kind.
pub fn wake_token(id: RequestId, kind: u64) -> u64 {
    u64::from(id) << 3 | kind
}

/// Kinds of wake-up, in the low bits of a token.
pub const WAKE_STEP: u64 = 0;
pub const WAKE_DEADLINE: u64 = 1;
pub const WAKE_TARGET: u64 = 2;
pub const WAKE_SILENCE_CHECK: u64 = 3;
pub const WAKE_REPLY: u64 = 4;
pub const WAKE_SEND: u64 = 5;
