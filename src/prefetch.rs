//! Token prefetch: a member obtains units of a quota before requests need them, so that a request need not wait
//! for the quota owner's reply. Off by default; `docs/design/prefetch.md` compares the alternatives.
//!
//! A member asks a customer's first quota owner for units with an ordinary ask, under an id that no request
//! has, so that owners of any version answer it. Granted units leave the owner's store at once and are counted
//! once, wherever they are spent. They expire by the member's own clock, counted from when it *asked*; the rest
//! is returned as for a request that used less. A lost reply, a dead owner or a restart loses units and never
//! creates any.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crate::accounts::GRANT_LIFETIME_MS;
use crate::customers::{quota_owner, REPLY_VALIDITY_MS};
use crate::interface::*;
use crate::message::{Ask, Done, Line, Reply};
use crate::state::*;

/// Ids of prefetch asks have this bit set; ids of requests are below it.
pub(crate) const PREFETCH_BIT: RequestId = 1 << 31;
/// Lifetime of prefetched units from the time of the ask; a quota owner keeps its grants for longer.
const PREFETCH_LIFETIME_MS: Millis = 2500.0;
/// Lifetime under a ceiling if the owner has no prefetch support: it counts the units as spent after
/// `GRANT_LIFETIME_MS`, less the time that a request may wait for a server.
const CEILING_LIFETIME_MS: Millis = GRANT_LIFETIME_MS / 2.0;
/// Time over which use is measured.
const USE_RATE_MS: Millis = 2000.0;
/// Time of use that is prefetched: the longest that an ask and its reply take.
const LOOKAHEAD_MS: Millis = 250.0;
/// Minimum of prefetched units, in requests of the largest size seen.
const MIN_PREFETCHED_REQUESTS: f64 = 2.0;
/// Fraction of the quota's store that one member may prefetch beyond that minimum.
const MAX_PREFETCH_FRACTION: f64 = 0.1;
/// Time after which an unanswered prefetch ask is repeated.
const REPEAT_ASK_MS: Millis = 100.0;
/// Time after which the ask or its owner counts as lost.
const LOST_ASK_MS: Millis = 500.0;
/// Fraction of the quota's store that must be left by the last reply before a member spends its own share
/// without asking. It is lower than without prefetch: replies are frequent, and a wait costs more here than a
/// little use beyond the quota.
const PREFETCH_MIN_STORE_FRACTION: f64 = 0.2;
/// Demand at all limiters, as a multiple of the quota, up to which a customer counts as within its quota. A
/// Poisson stream that uses nearly all of its quota reaches this now and then.
const WITHIN_QUOTA_MULTIPLE: f64 = 1.3;
/// Fraction of the store that must be left for a customer within its quota to be admitted without units.
const AMPLE_STORE_FRACTION: f64 = 0.5;
/// Maximum age of the reply that says so.
const AMPLE_STORE_MAX_AGE_MS: Millis = 1000.0;
/// Units that expire sooner are not counted on: an ask for others is already on its way.
const EXPIRING_SOON_MS: Millis = 60.0;
/// Seconds of the message rate that lines of customers not seen before may fill.
const NEW_CUSTOMER_QUEUE_S: f64 = 0.5;
/// Messages that must remain in the send bucket: for asks that a request waits for, for prefetch asks, and for
/// reports of spent units, which are sent only when the bucket allows it.
const SEND_RESERVE: [f64; 3] = [0.0, 1.0, 2.0];
/// Shortest time between two reviews of a customer.
const REVIEW_INTERVAL_MS: Millis = 100.0;
/// How long a customer is reviewed after its last request.
const ACTIVE_MS: Millis = PREFETCH_LIFETIME_MS;
/// Units up to this amount are rounding errors.
const ROUNDING_UNITS: f64 = 1e-6;

/// Counters of prefetched units since the start.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefetchCounts {
    /// Prefetch asks.
    pub asks: u64,
    /// Granted prefetch asks.
    pub granted: u64,
    /// Requests served from prefetched units.
    pub served: u64,
    /// Requests refused at once, since the quota owner's store cannot hold their units yet.
    pub refused: u64,
    /// Units that expired unused and were returned.
    pub expired_units: f64,
    /// Customers with prefetched units or pending asks.
    pub customers: usize,
}

/// What happens to a request that this member's own share does not cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Prefetched {
    /// Prefetched units were spent.
    Spent,
    /// The quota owner would refuse it.
    Refused,
    /// The quota owner has to be asked.
    Unknown,
}

/// Units granted by one prefetch ask.
#[derive(Debug)]
struct Batch {
    id: RequestId,
    owner: u32,
    units: f64,
    left: f64,
    asked: Millis,
    until: Millis,
    /// The owner counts the units as leased until the member reports the end, or until they have certainly
    /// expired.
    long_lease: bool,
    /// When a request last spent from this batch.
    spent: Millis,
}

/// A prefetch ask without a reply.
#[derive(Debug, Clone, Copy)]
struct PendingAsk {
    id: RequestId,
    units: f64,
    at: Millis,
    repeated: bool,
}

/// Prefetched units of one customer.
#[derive(Debug)]
struct CustomerPrefetch {
    /// The last request, for its plan and its set of limiters.
    last_request: Request,
    last_seen: Millis,
    /// Units per second used here.
    use_rate: DecayingSum,
    /// Largest and smallest units of a request.
    largest: f64,
    smallest: f64,
    /// This member's own share covers another request.
    share_suffices: bool,
    /// By its last reply the quota owner supports prefetch.
    long_leases: bool,
    batches: VecDeque<Batch>,
    pending: Option<PendingAsk>,
    /// Maximum units of an ask: half of a refused one, since an ask is granted in full or not at all, or twice
    /// a granted one.
    max_ask: f64,
    /// Asking earlier is useless: the quota owner's store cannot hold a request.
    not_before: Millis,
    /// Units in the quota owner's store by the last reply, and when that was.
    store: Option<(f64, Millis)>,
    /// Time of the next review.
    next_review: Millis,
}

/// All prefetched units of this limiter.
#[derive(Debug)]
pub(crate) struct Prefetch {
    customers: BTreeMap<CustomerId, CustomerPrefetch>,
    reviews: BinaryHeap<Reverse<(u64, CustomerId)>>,
    next_id: RequestId,
    max_customers: usize,
    counts: PrefetchCounts,
}

impl CustomerPrefetch {
    /// Units that do not expire soon.
    fn available_units(&self, now: Millis) -> f64 {
        self.batches.iter().filter(|batch| batch.until - now > EXPIRING_SOON_MS).map(|batch| batch.left).sum()
    }

    /// Units that should be available.
    fn target_units(&self, now: Millis, plan: &Plan) -> f64 {
        // Units left unused under a ceiling are lost at an owner without prefetch support, so only units that
        // will certainly be used are prefetched.
        let used = self.use_rate.rate(now) * CEILING_LIFETIME_MS / 1000.0;
        if plan.ceiling_rate > 0.0 && !self.long_leases && used < self.largest {
            return 0.0;
        }
        let lookahead =
            (self.use_rate.rate(now) * LOOKAHEAD_MS / 1000.0).min(plan.burst * MAX_PREFETCH_FRACTION);
        MIN_PREFETCHED_REQUESTS * self.largest + lookahead
    }
}

/// Units granted by a quota owner under ceilings that may still be spent; they count against the ceiling's
/// depth.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    /// Leases of requests: time, customer and units, the oldest first.
    request_leases: VecDeque<(Millis, CustomerId, f64)>,
    /// Leases of prefetch asks, until their member reports the end.
    prefetch_leases: BTreeMap<GrantKey, (CustomerId, f64)>,
    /// Latest end of each prefetch lease, the oldest first.
    prefetch_ends: VecDeque<(Millis, GrantKey)>,
    /// Limiters prefetch units.
    pub prefetch_enabled: bool,
}

impl Leases {
    /// Number of leases.
    pub fn len(&self) -> usize {
        self.request_leases.len() + self.prefetch_ends.len()
    }

    /// Whether a grant under this id counts for the lifetime of prefetched units.
    pub fn is_long(&self, id: RequestId) -> bool {
        self.prefetch_enabled && is_prefetch(id)
    }

    /// Adds a lease that starts now.
    pub fn add(&mut self, now: Millis, key: GrantKey, customer: CustomerId, units: f64) {
        if self.is_long(key.2) {
            self.prefetch_leases.insert(key, (customer, units));
            self.prefetch_ends.push_back((now + PREFETCH_LIFETIME_MS + GRANT_LIFETIME_MS, key));
        } else {
            self.request_leases.push_back((now, customer, units));
        }
    }

    /// Ends a prefetch lease reported as over; returns its units if it still counted.
    pub fn release(&mut self, key: &GrantKey) -> Option<f64> {
        self.prefetch_leases.remove(key).map(|(_, units)| units)
    }

    /// Removes an expired lease and returns its customer and units.
    pub fn pop_expired(&mut self, now: Millis) -> Option<(CustomerId, f64)> {
        if let Some((at, ..)) = self.request_leases.front().filter(|lease| now - lease.0 > GRANT_LIFETIME_MS)
        {
            debug_assert!(*at <= now);
            return self.request_leases.pop_front().map(|(_, customer, units)| (customer, units));
        }
        while let Some((_, key)) = self.prefetch_ends.front().copied().filter(|end| now > end.0) {
            self.prefetch_ends.pop_front();
            if let Some(lease) = self.prefetch_leases.remove(&key) {
                return Some(lease);
            }
        }
        None
    }

    /// All leases, each with the start that a request's lease with the same end would have.
    pub fn export(&self) -> impl Iterator<Item = (Millis, CustomerId, f64)> + '_ {
        let prefetched = self.prefetch_ends.iter().filter_map(|(end, key)| {
            let (customer, units) = self.prefetch_leases.get(key)?;
            Some((end - GRANT_LIFETIME_MS, *customer, *units))
        });
        self.request_leases.iter().copied().chain(prefetched)
    }

    /// Replaces the request leases by exported ones.
    pub fn import(&mut self, leases: impl Iterator<Item = (Millis, CustomerId, f64)>) {
        let mut sorted: Vec<_> = leases.collect();
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.request_leases = sorted.into();
    }
}

/// Whether an id is that of a prefetch ask.
pub(crate) fn is_prefetch(id: RequestId) -> bool {
    id & PREFETCH_BIT != 0
}

impl Limiter {
    /// Enables prefetch for at most this many customers; the requests of others wait for their replies. As a
    /// quota owner, this limiter then counts prefetch grants for as long as members may spend them.
    pub fn enable_prefetch(&mut self, max_customers: usize) {
        self.leases.prefetch_enabled = true;
        // A later process of the same limiter must not reuse an id that quota owners still remember: time in
        // milliseconds grows faster than the number of asks.
        let next_id = PREFETCH_BIT | self.now as u64 as u32;
        self.prefetch.get_or_insert_with(|| {
            let (customers, reviews) = (BTreeMap::new(), BinaryHeap::new());
            Box::new(Prefetch {
                customers,
                reviews,
                next_id,
                max_customers,
                counts: PrefetchCounts::default(),
            })
        });
    }

    /// Start of the time after which the ceilings owned here fill: by then all grants of an earlier start,
    /// including prefetched units, have expired.
    pub(crate) fn ceilings_from(&self) -> Millis {
        self.started_at + if self.leases.prefetch_enabled { PREFETCH_LIFETIME_MS } else { 0.0 }
    }

    /// Counters of prefetched units; none if prefetch is disabled.
    pub fn prefetch_counts(&self) -> Option<PrefetchCounts> {
        let p = self.prefetch.as_ref()?;
        Some(PrefetchCounts { customers: p.customers.len(), ..p.counts })
    }

    /// Fraction of the quota's store that must be left for a member to spend without asking; `default` if
    /// prefetch is disabled.
    pub(crate) fn min_store_fraction(&self, default: f64, customer: CustomerId) -> f64 {
        if self.prefetch.is_none() {
            return default;
        }
        // A customer whose demand at all limiters is within its quota is admitted whatever its store holds.
        let within_quota =
            self.customers.get(&customer).is_some_and(|c| f64::from(c.demand) <= WITHIN_QUOTA_MULTIPLE);
        if within_quota {
            -1.0
        } else {
            PREFETCH_MIN_STORE_FRACTION
        }
    }

    /// Whether a customer within its quota has enough of it left that a request is admitted although this
    /// member's own share does not cover it. The share then falls below zero. Never true under a ceiling.
    pub(crate) fn has_ample_store(&self, request: &Request) -> bool {
        let (plan, c) = (&self.settings.plans[request.plan], self.customers.get(&request.customer));
        let Some(c) = c.filter(|_| self.prefetch.is_some()) else { return false };
        let ample = c.store_left >= plan.burst * AMPLE_STORE_FRACTION
            && self.now - c.demand_at <= AMPLE_STORE_MAX_AGE_MS;
        plan.ceiling_rate <= 0.0 && ample && f64::from(c.demand) <= WITHIN_QUOTA_MULTIPLE
    }

    /// Seconds of the message rate that lines of customers not seen before may fill; `default` if prefetch is
    /// disabled. Reports of spent units do not delay other messages.
    pub(crate) fn new_customer_queue_s(&self, default: f64) -> f64 {
        self.prefetch.as_ref().map_or(default, |_| NEW_CUSTOMER_QUEUE_S)
    }

    /// Serves a request that this member's own share does not cover from prefetched units, if there are enough.
    pub(crate) fn spend_prefetched(&mut self, id: RequestId) -> Prefetched {
        let (now, Limiter { prefetch, requests, settings, customers, .. }) = (self.now, self);
        let (Some(p), Some(open)) = (prefetch, requests.get_mut(&id)) else { return Prefetched::Unknown };
        let (customer, units) = (open.request.customer, open.request.units);
        let Some(entry) = p.customers.get_mut(&customer) else { return Prefetched::Unknown };
        let plan = &settings.plans[open.request.plan];
        // Expired units are returned at the next review.
        let live = |batch: &&mut Batch| now < batch.until;
        if entry.batches.iter_mut().filter(live).map(|p| p.left).sum::<f64>() >= units {
            let (mut rest, mut asked) = (units, now);
            for batch in entry.batches.iter_mut().filter(live) {
                let take = batch.left.min(rest);
                (batch.left, rest) = (batch.left - take, rest - take);
                if take > 0.0 {
                    batch.spent = now;
                    // A long lease counts from now, for as long as a request that arrived in time may wait.
                    asked = if batch.long_lease { asked } else { asked.min(batch.asked) };
                }
            }
            let has_ceiling = plan.ceiling_rate > 0.0;
            entry.batches.retain(|batch| batch.left > ROUNDING_UNITS || (has_ceiling && batch.long_lease));
            (open.prefetched, open.leased_from) = (true, asked);
            p.counts.served += 1;
            return Prefetched::Spent;
        }
        // Other members only lower the store, and it fills at its rate, so a reply could not say anything else.
        let max_store = |(left, at): (f64, Millis)| left + plan.rate * (now - at) / 1000.0;
        let surely_refused = plan.rate > 0.0 && entry.store.is_some_and(|report| max_store(report) < units);
        // Beyond its quota some requests are refused in any case. Units that are on their way, or available
        // once the store has filled, serve the next requests; waiting for them would serve no more.
        let Some(c) = customers.get_mut(&customer) else { return Prefetched::Unknown };
        let over_quota =
            now - c.demand_at <= REPLY_VALIDITY_MS && f64::from(c.demand) > WITHIN_QUOTA_MULTIPLE;
        if surely_refused || (over_quota && (entry.pending.is_some() || now < entry.not_before)) {
            c.unreported += units as f32;
            p.counts.refused += 1;
            return Prefetched::Refused;
        }
        Prefetched::Unknown
    }

    /// Records a request that another quota owner counts and asks for the units that similar requests will
    /// need, unless this member's own share covers them.
    pub(crate) fn record_use(&mut self, request: &Request, share_suffices: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(p) = &mut self.prefetch else { return };
        if p.customers.len() >= p.max_customers && !p.customers.contains_key(&request.customer) {
            return;
        }
        let entry = p.customers.entry(request.customer).or_insert_with(|| {
            p.reviews.push(Reverse(((now + REVIEW_INTERVAL_MS).to_bits(), request.customer)));
            CustomerPrefetch {
                last_request: request.clone(),
                last_seen: now,
                use_rate: DecayingSum::new(now, USE_RATE_MS),
                largest: 0.0,
                smallest: f64::INFINITY,
                share_suffices,
                long_leases: true,
                batches: VecDeque::new(),
                pending: None,
                max_ask: f64::INFINITY,
                not_before: now,
                store: None,
                next_review: now + REVIEW_INTERVAL_MS,
            }
        });
        (entry.last_seen, entry.share_suffices, entry.largest) =
            (now, share_suffices, entry.largest.max(request.units));
        if entry.last_request.plan != request.plan
            || (entry.last_request.first, entry.last_request.spread) != (request.first, request.spread)
        {
            entry.store = None;
        }
        entry.smallest = entry.smallest.min(request.units);
        entry.last_request = request.clone();
        entry.use_rate.add(now, request.units);
        self.prefetch_units(request.customer, out);
    }

    /// Asks for the units that are missing.
    fn prefetch_units(&mut self, customer: CustomerId, out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.settings.position);
        let Some(entry) = self.prefetch.as_ref().and_then(|p| p.customers.get(&customer)) else { return };
        let plan = &self.settings.plans[entry.last_request.plan];
        let target = entry.target_units(now, plan);
        let missing = target - entry.available_units(now);
        if missing < target / 2.0 && entry.available_units(now) >= entry.largest {
            return;
        }
        if entry.share_suffices || entry.pending.is_some() || now < entry.not_before {
            return;
        }
        let set = (entry.last_request.first, entry.last_request.spread);
        let Some(to) = quota_owner(customer, set, self.settings.limiters, 0).filter(|k| *k != me) else {
            return;
        };
        // Asks for at most what the store can hold, if known, since an ask is granted in full or not at all.
        let store = entry.store.map_or(f64::INFINITY, |(left, at)| left + plan.rate * (now - at) / 1000.0);
        let units = missing.min(store).min(entry.max_ask).max(entry.smallest);
        let request = entry.last_request.clone();
        let mut ask: Ask = self.ask_for(&request);
        let Some(p) = &mut self.prefetch else { return };
        (ask.id, ask.units) = (p.next_id, units as f32);
        p.next_id = p.next_id.wrapping_add(1) | PREFETCH_BIT;
        if let Some(entry) = p.customers.get_mut(&customer) {
            entry.pending =
                Some(PendingAsk { id: ask.id, units: f64::from(ask.units), at: now, repeated: false });
        }
        p.counts.asks += 1;
        self.send_line(to, Line::Ask(ask), true, out);
    }

    /// Applies a quota owner's reply to any ask: the level of its store and, for a prefetch ask, the granted
    /// units.
    pub(crate) fn on_prefetch_reply(&mut self, from: u32, reply: &Reply) {
        let now = self.now;
        let Limiter { prefetch, settings, .. } = self;
        let Some(p) = prefetch else { return };
        let Some(entry) = p.customers.get_mut(&reply.customer) else { return };
        let plan = &settings.plans[entry.last_request.plan];
        let set = (entry.last_request.first, entry.last_request.spread);
        if quota_owner(reply.customer, set, settings.limiters, 0) == Some(from) {
            entry.store = Some((f64::from(reply.store_left), now));
        }
        // A repeated reply, or one that counts as lost, changes nothing; its units stay spent.
        let Some(asked) = entry.pending.filter(|asked| asked.id == reply.id) else { return };
        entry.pending = None;
        if reply.granted {
            p.counts.granted += 1;
            entry.long_leases = reply.long_lease;
            entry.max_ask = 2.0 * asked.units;
            let until = asked.at
                + if plan.ceiling_rate > 0.0 && !reply.long_lease {
                    CEILING_LIFETIME_MS
                } else {
                    PREFETCH_LIFETIME_MS
                };
            let (id, units, left, spent) = (asked.id, asked.units, asked.units, f64::NEG_INFINITY);
            let (asked, long_lease) = (asked.at, reply.long_lease);
            entry.batches.push_back(Batch { id, owner: from, units, left, asked, until, long_lease, spent });
            if until < entry.next_review {
                entry.next_review = until;
                p.reviews.push(Reverse((until.to_bits(), reply.customer)));
            }
            return;
        }
        entry.max_ask = asked.units / 2.0;
        let lacking = (entry.smallest - f64::from(reply.store_left)).max(0.0);
        let after = if plan.rate > 0.0 { 1000.0 * lacking / plan.rate } else { LOST_ASK_MS };
        entry.not_before = now + after.max(REVIEW_INTERVAL_MS);
    }

    /// Reviews the customers that are due: returns expired units and asks for missing ones.
    pub(crate) fn review_prefetches(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        loop {
            let Some(p) = &mut self.prefetch else { return };
            let due = p.reviews.peek().filter(|Reverse((at, _))| f64::from_bits(*at) <= now);
            let Some(Reverse((at, customer))) = due.copied() else { return };
            p.reviews.pop();
            let Some(entry) = p.customers.get_mut(&customer).filter(|h| h.next_review.to_bits() == at) else {
                continue;
            };
            let mut returned = Vec::new();
            entry.batches.retain(|batch| {
                // A request that spent from the batch may still wait for a server.
                let expired = (now >= batch.until || batch.left <= ROUNDING_UNITS)
                    && now - batch.spent > GRANT_LIFETIME_MS;
                if expired {
                    returned
                        .push((batch.owner, Done { id: batch.id, used: (batch.units - batch.left) as f32 }));
                    p.counts.expired_units += batch.left;
                }
                !expired
            });
            let mut repeat = None;
            if let Some(asked) = entry.pending.as_mut().filter(|a| !a.repeated && now - a.at > REPEAT_ASK_MS)
            {
                asked.repeated = true;
                repeat = Some((asked.id, asked.units, entry.last_request.clone()));
            }
            if entry.pending.is_some_and(|asked| now - asked.at > LOST_ASK_MS) {
                entry.pending = None;
                entry.not_before = now + LOST_ASK_MS;
            }
            let active = now - entry.last_seen < ACTIVE_MS;
            if !active && entry.batches.is_empty() && entry.pending.is_none() {
                p.customers.remove(&customer);
            } else {
                let expires = entry.batches.iter().map(|batch| batch.until).fold(now + LOST_ASK_MS, f64::min);
                // At least 1 ms later, so that a batch kept for another reason is not reviewed in an endless
                // loop.
                entry.next_review = if active { now + REVIEW_INTERVAL_MS } else { expires.max(now + 1.0) };
                p.reviews.push(Reverse((entry.next_review.to_bits(), customer)));
            }
            for (owner, done) in returned {
                self.send_line(owner, Line::Done(done), true, out);
            }
            if let Some((id, units, request)) = repeat {
                let set = (request.first, request.spread);
                // The same id, so that an owner that already answered repeats its reply.
                if let Some(to) = quota_owner(customer, set, self.settings.limiters, 0) {
                    let ask = Ask { id, units: units as f32, unreported: 0.0, ..self.ask_for(&request) };
                    self.send_line(to, Line::Ask(ask), true, out);
                }
            }
            if active {
                self.prefetch_units(customer, out);
            }
        }
    }

    /// Corrects the prefetched units by what a finished request actually used. Under a ceiling spent units stay
    /// spent.
    pub(crate) fn settle_prefetched(&mut self, open: &OpenRequest) {
        let Limiter { prefetch, settings, now, .. } = self;
        let (Some(p), true) = (prefetch, open.prefetched) else { return };
        let units = open.request.units;
        let used = if open.attempts == 0 { 0.0 } else { open.actual_units.unwrap_or(units) };
        let has_ceiling = settings.plans[open.request.plan].ceiling_rate > 0.0;
        let Some(entry) = p.customers.get_mut(&open.request.customer).filter(|_| !has_ceiling) else {
            return;
        };
        if let Some(batch) = entry.batches.iter_mut().rev().find(|batch| *now < batch.until) {
            batch.left = (batch.left + units - used).clamp(0.0, batch.units);
        }
    }

    /// Index of the next message to send, and the level that the send bucket (of this capacity) must have for
    /// it. With prefetch, asks that a request waits for go first, then prefetch asks, then reports of spent
    /// units.
    pub(crate) fn next_message(&self, capacity: f64) -> (usize, f64) {
        if self.prefetch.is_none() {
            return (0, 1.0);
        }
        let rank = |line: &Line| match line {
            Line::Ask(ask) if !ask.already_spent => usize::from(is_prefetch(ask.id)),
            _ => 2,
        };
        let rank = |lines: &[Line]| lines.iter().map(rank).min().unwrap_or(2);
        let ranks = self.outbox.iter().map(|(_, lines)| rank(lines)).enumerate();
        let (first, rank) = ranks.min_by_key(|(_, rank)| *rank).unwrap_or((0, 2));
        (first, 1.0 + SEND_RESERVE[rank].min(capacity - 1.0))
    }

    /// Takes the next message if it may be sent now.
    pub(crate) fn take_next_message(&mut self, capacity: f64) -> Option<(u32, Vec<Line>)> {
        let (first, needed) = self.next_message(capacity);
        if self.send_bucket.level < needed {
            return None;
        }
        self.outbox.remove(first)
    }
}

#[cfg(test)]
mod tests;
