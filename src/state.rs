//! What a limiter remembers, as plain records. What they hold and mean is decided in `policy.rs`.

use std::collections::{BTreeMap, VecDeque};

use marldeal_firms::{DeficitSketch, RecentKeys, Table};

use crate::interface::*;
use crate::message::Line;
use crate::prefetch::{Lent, Prefetch};

/// A value that fades towards nothing: a sum of amounts over `span` milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Fading {
    pub sum: f64,
    pub at: Millis,
    pub span: Millis,
}

impl Fading {
    pub fn new(now: Millis, span: Millis) -> Self {
        Fading { sum: 0.0, at: now, span }
    }
    pub fn add(&mut self, now: Millis, amount: f64) {
        self.sum = self.value(now) + amount;
        self.at = now;
    }
    pub fn value(&self, now: Millis) -> f64 {
        self.sum * (-(now - self.at) / self.span).exp()
    }
    /// Goes on over another span at the same rate.
    pub fn respan(&mut self, now: Millis, span: Millis) {
        *self = Fading { sum: self.value(now) * span / self.span, at: now, span };
    }
    /// Amount a second.
    pub fn rate(&self, now: Millis) -> f64 {
        self.value(now) * 1000.0 / self.span
    }
}

/// The mean of samples that fade: their sum and their number.
#[derive(Debug, Clone, Copy)]
pub struct Mean {
    pub sum: Fading,
    pub count: Fading,
}

impl Mean {
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
pub struct Store {
    pub level: f64,
    pub at: Millis,
}

impl Store {
    pub fn fill(&mut self, now: Millis, rate: f64, most: f64) {
        self.level = (self.level + rate * (now - self.at).max(0.0) / 1000.0).min(most);
        self.at = self.at.max(now);
    }
}

/// One limiter: all that it remembers. `policy.rs` holds its decisions.
#[derive(Debug)]
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Millis,
    pub(crate) born: Millis,
    /// When this process began, whomever it goes on as.
    pub(crate) began: Millis,
    /// Tells one start from another in messages.
    pub(crate) incarnation: u32,
    pub(crate) started: bool,
    /// A peer has been heard that started long before.
    pub(crate) joined: bool,
    pub(crate) requests: BTreeMap<RequestId, Open>,
    pub(crate) attempts: BTreeMap<(RequestId, u32), Attempt>,
    pub(crate) held: VecDeque<RequestId>,
    pub(crate) customers: Table<CustomerId, Customer>,
    pub(crate) accounts: Table<CustomerId, Account>,
    /// What forgotten ones still owe, by customer and plan: even parts, stores, ceilings.
    pub(crate) owed: Owed,
    /// New customers a second, and those seen of late without a record.
    pub(crate) strangers: Fading,
    pub(crate) lately: RecentKeys,
    pub(crate) press: Press,
    pub(crate) counts: CustomerCounts,
    pub(crate) grants: Table<GrantKey, Grant>,
    /// Units granted under a ceiling, and grants that count as out: when, and whose, the oldest first.
    pub(crate) lent: Lent,
    pub(crate) opened: VecDeque<(Millis, GrantKey)>,
    /// Messages that each peer may still send.
    pub(crate) allowance: BTreeMap<u32, Store>,
    pub(crate) outbox: VecDeque<(u32, Vec<Line>)>,
    /// Messages that may be sent now.
    pub(crate) mail: Store,
    pub(crate) mail_due: bool,
    pub(crate) missed: BTreeMap<u32, Missed>,
    /// Usual wait for a keeper's word.
    pub(crate) wait_ms: Millis,
    pub(crate) stepped: Millis,
    /// When this limiter last went on after a pause.
    pub(crate) woke: Millis,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) order: Vec<ServerId>,
    /// Lists taken in so far.
    pub(crate) lists: u32,
    /// Attempts that were to be sent, whether a server could have them or not.
    pub(crate) wanted: Fading,
    /// Attempts a second that this limiter has for each server when all are there.
    pub(crate) pace: f64,
    /// Servers that have served of late.
    pub(crate) fleet: f64,
    /// Usual latency of all servers.
    pub(crate) usual: Millis,
    pub(crate) units: VecDeque<f64>,
    /// Lower bounds of the four classes of units.
    pub(crate) bounds: [f64; 4],
    pub(crate) occupied: f64,
    pub(crate) ghosts: Fading,
    pub(crate) limit: f64,
    pub(crate) big: f64,
    /// Latency as a share of the aim, sum and count: of this limiter alone, and with what peers told.
    pub(crate) own: Mean,
    pub(crate) latency: Mean,
    pub(crate) full: Mean,
    /// Good answers, and the sum of their aims.
    pub(crate) done: Fading,
    pub(crate) aims: Fading,
    pub(crate) hold_rate: Fading,
    pub(crate) admit_rate: Fading,
    pub(crate) retries: f64,
    /// Units held ahead of need, where that is switched on.
    pub(crate) prefetch: Option<Box<Prefetch>>,
}

impl Limiter {
    /// Nothing seen yet; rates are smoothed over `smooth`, the pace of attempts over `pace`. `most` bounds what is kept.
    pub(crate) fn blank(
        settings: Settings,
        seed: u64,
        now: Millis,
        (smooth, pace): (Millis, Millis),
        most: &Most,
    ) -> Self {
        let fading = Fading::new(now, smooth);
        let debts = |n: u64| DeficitSketch::new(most.cells, seed ^ n);
        Limiter {
            customers: Table::new(most.firms, seed),
            accounts: Table::new(most.firms, seed ^ 1),
            owed: Owed { evens: debts(2), stores: debts(3), ceilings: debts(4) },
            strangers: Fading::new(now, most.pace_ms),
            lately: RecentKeys::new(most.lately, most.lately_ms, seed ^ 5),
            press: Press::Calm,
            counts: CustomerCounts::default(),
            grants: Table::fifo(most.grants, seed ^ 6),
            lent: Lent::default(),
            opened: VecDeque::new(),
            allowance: BTreeMap::new(),
            // Limiters that were given one seed must not draw alike: what each lets in by chance sums up.
            rng: fastrand::Rng::with_seed(
                seed ^ u64::from(settings.position).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ),
            settings,
            now,
            born: now,
            began: now,
            incarnation: now as u64 as u32,
            started: false,
            joined: false,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            held: VecDeque::new(),
            outbox: VecDeque::new(),
            mail: Store { level: 1.0, at: now },
            mail_due: false,
            missed: BTreeMap::new(),
            wait_ms: 0.0,
            stepped: now,
            woke: f64::NEG_INFINITY,
            servers: BTreeMap::new(),
            order: Vec::new(),
            lists: 0,
            wanted: Fading::new(now, pace),
            pace: 0.0,
            fleet: 0.0,
            usual: 0.0,
            units: VecDeque::new(),
            bounds: [0.0; 4],
            occupied: 0.0,
            ghosts: fading,
            limit: 0.0,
            big: 0.0,
            own: Mean { sum: fading, count: fading },
            latency: Mean { sum: fading, count: fading },
            full: Mean { sum: fading, count: fading },
            done: fading,
            aims: fading,
            hold_rate: fading,
            admit_rate: fading,
            retries: 0.0,
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
            WAKE_DEADLINE | WAKE_AIM => open().is_some(),
            WAKE_CHECK => open().is_some_and(|r| r.out),
            WAKE_WORD => open().is_some_and(|r| r.asked.is_some()),
            _ => true,
        }
    }
}

/// Sizes of what is kept by name.
pub(crate) struct Most {
    pub firms: usize,
    pub grants: usize,
    /// Cells a row of the sketches of debts.
    pub cells: usize,
    /// Names seen without a record, and for how long.
    pub lately: usize,
    pub lately_ms: Millis,
    /// Over which the pace of new names is taken.
    pub pace_ms: Millis,
}

/// Until when forgotten customers owe, by customer and plan.
#[derive(Debug, Clone)]
pub struct Owed {
    pub evens: DeficitSketch,
    pub stores: DeficitSketch,
    pub ceilings: DeficitSketch,
}

/// How far the bound on customers is felt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Press {
    /// There is room.
    Calm,
    /// A new one displaces another.
    Full,
    /// New ones come so fast that they would displace all: strangers are refused.
    Flooded,
}

/// What a member of a customer's set remembers of it.
#[derive(Debug, Default)]
pub struct Customer {
    /// The even part here, for the time without a keeper.
    pub even: Store,
    /// Units in the keeper's store, as told last, less what was spent here since; full until a word comes.
    pub room: f64,
    /// Demand at all limiters as a multiple of the quota, as a keeper told it, and when.
    pub told_at: Millis,
    pub told: f32,
    /// Units refused by chance since the last ask.
    pub unasked: f32,
    pub spread: u16,
    pub plan: u8,
    /// Seen more than once.
    pub known: bool,
}

/// What a keeper holds for a customer, as of `at`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Account {
    pub at: Millis,
    pub store: f64,
    pub ceiling: f64,
    /// Units granted under the ceiling that a member may still spend.
    pub lent: f64,
    /// Units asked for, and units granted: sums that fade.
    pub demand: f64,
    pub let_in: f64,
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
pub struct Missed {
    pub misses: u32,
    pub at: Millis,
}

#[derive(Debug)]
pub struct Server {
    pub entry: ServerEntry,
    /// Attempts of this limiter out there.
    pub out: u32,
    pub latency: f64,
    pub errors: f64,
    pub silences: u32,
    /// Set aside until then; `aside_for` is how long the last time was.
    pub aside_until: Millis,
    pub aside_for: Millis,
    /// Why, until the log has told.
    pub aside_why: Option<&'static str>,
    pub full_until: Millis,
    pub last_answer: Millis,
    /// It counts as cold from this moment on.
    pub cold_from: Option<Millis>,
    pub cold: Store,
    /// Answers of the last seconds: how far its own figures are to be trusted.
    pub heard: Fading,
}

#[derive(Debug)]
pub struct Open {
    pub request: Request,
    pub arrived: Millis,
    /// Keepers passed over so far, and asks to the present one.
    pub rank: u32,
    pub asks: u32,
    /// Waiting for a keeper's word since then.
    pub asked: Option<(u32, Millis)>,
    /// Units under a ceiling count as lent from this moment on: its arrival, or when they were asked for ahead.
    pub lent_from: Millis,
    /// Its units were held ahead.
    pub ahead: bool,
    /// The keeper that granted the units.
    pub keeper: Option<u32>,
    /// When the quota let it in.
    pub let_in: Millis,
    pub true_units: Option<f64>,
    pub deadline: Millis,
    pub attempts: u32,
    /// The earliest attempt that may have run: when it was sent, zone and cell of its server.
    pub may_have_run: Option<(Millis, u32, u32)>,
    pub out: bool,
    pub held: bool,
    pub streaming: bool,
    /// Server of the last attempt, avoided by the next.
    pub last: Option<ServerId>,
}

impl Open {
    pub fn new(request: Request, now: Millis, deadline: Millis) -> Self {
        Open {
            request,
            arrived: now,
            lent_from: now,
            ahead: false,
            rank: 0,
            asks: 0,
            asked: None,
            keeper: None,
            let_in: now,
            true_units: None,
            deadline,
            attempts: 0,
            may_have_run: None,
            out: false,
            held: false,
            streaming: false,
            last: None,
        }
    }
}

#[derive(Debug)]
pub struct Attempt {
    pub server: ServerId,
    /// Zone and cell of the server when it was sent: the list may have dropped it since.
    pub place: (u32, u32),
    pub sent: Millis,
    pub slots: f64,
    pub class: usize,
    pub cancelled: bool,
}

impl Server {
    /// A line for the staff when the server has been set aside.
    pub fn watch(&mut self, id: &ServerId) -> Option<String> {
        let why = self.aside_why.take()?;
        Some(format!("server {id} {why}, set aside for {} ms", self.aside_for))
    }

    /// `span` is the time over which its answers are counted.
    pub fn new(entry: ServerEntry, now: Millis, span: Millis) -> Self {
        Server {
            entry,
            out: 0,
            latency: 0.0,
            errors: 0.0,
            silences: 0,
            aside_until: f64::NEG_INFINITY,
            aside_for: 0.0,
            aside_why: None,
            full_until: f64::NEG_INFINITY,
            last_answer: f64::NEG_INFINITY,
            cold_from: None,
            cold: Store { level: 1.0, at: now },
            heard: Fading::new(now, span),
        }
    }
}

/// The token of a wake-up: a request and, in the three low bits, a kind.
pub fn token(id: RequestId, kind: u64) -> u64 {
    u64::from(id) << 3 | kind
}

/// Kinds of wake-up, kept in the low bits of a token, the request above them.
pub const WAKE_STEP: u64 = 0;
pub const WAKE_DEADLINE: u64 = 1;
pub const WAKE_AIM: u64 = 2;
pub const WAKE_CHECK: u64 = 3;
pub const WAKE_WORD: u64 = 4;
pub const WAKE_MAIL: u64 = 5;
