//! Units of a quota that a member holds ahead of need, so that a request need not wait for its keeper's reply
//! (token prefetch). Off unless switched on; `docs/design/prefetch.md` weighs the ways.
//!
//! A member asks a customer's first keeper for units before the requests that will use them, by the same ask as for a
//! request and under a number that no request has: a keeper of any version answers it. What the keeper grants is off its
//! store from then on, so that the units are counted once wherever they are spent. They lapse by this member's own clock,
//! counted from when it *asked*; what is left then is given back as for a request that used less. A lost reply, a dead
//! keeper or a restart loses units and never makes any.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crate::accounts::GRANT_LIFETIME_MS;
use crate::customers::{quota_owner, REPLY_VALIDITY_MS};
use crate::interface::*;
use crate::message::{Ask, Done, Line, Reply};
use crate::state::*;

/// Numbers of asks ahead have this bit; those of requests are below it.
pub(crate) const PREFETCH_BIT: RequestId = 1 << 31;
/// Units held ahead lapse so long after they were asked for; a keeper remembers its words for longer. Under a ceiling, a
/// keeper that knows nothing of asks ahead counts them as spent after `GRANT_LIFETIME_MS`: then they lapse sooner, less what a
/// request may wait for a server.
const PREFETCH_LIFETIME_MS: Millis = 2500.0;
const CEILING_LIFETIME_MS: Millis = GRANT_LIFETIME_MS / 2.0;
/// Use over so long tells what will be used; it is held for so long ahead: an ask and its reply take that long at most.
const USE_RATE_MS: Millis = 2000.0;
const LOOKAHEAD_MS: Millis = 250.0;
/// Requests, of the largest seen, that are held at least.
const MIN_PREFETCHED_REQUESTS: f64 = 2.0;
/// Share of the quota's store that one member may hold ahead, beyond these.
const MAX_PREFETCH_FRACTION: f64 = 0.1;
/// An ask ahead without its reply is repeated after so long, and after so long is lost, or its keeper is.
const REPEAT_ASK_MS: Millis = 100.0;
const LOST_ASK_MS: Millis = 500.0;
/// Share of the quota's store that must be left, as last told, for a member to spend its own batch unreported: its keeper's
/// words come often, and a wait costs more here than a little sent beyond a quota.
const PREFETCH_MIN_STORE_FRACTION: f64 = 0.2;
/// Demand at all limiters, as a multiple of the quota, up to which a customer counts as within it: a Poisson stream that
/// uses nearly all of its quota looks so now and then.
const WITHIN_QUOTA_MULTIPLE: f64 = 1.3;
/// Where a customer within its quota has so much of it left, as told so recent_keys, it is let in on that alone.
const AMPLE_STORE: (f64, Millis) = (0.5, 1000.0);
/// Units that lapse sooner are not counted on: an ask for others is on its way by then.
const EXPIRING_SOON_MS: Millis = 60.0;
/// Seconds of the allowance that lines of customers not seen before may fill.
const NEW_CUSTOMER_QUEUE_S: f64 = 0.5;
/// Messages of the allowance that must be left beside the one to go, for asks that a request waits on, for asks ahead, and
/// for what has been spent: that is told when there are more.
const SEND_RESERVE: [f64; 3] = [0.0, 1.0, 2.0];
/// Least time between two looks at a customer, and for how long one is looked at after its last request.
const REVIEW_MS: (Millis, Millis) = (100.0, PREFETCH_LIFETIME_MS);
/// Units that are no more than rounding.
const ROUNDING_UNITS: f64 = 1e-6;

/// What became of units held ahead, since the start.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefetchCounts {
    /// Asks for units ahead, and those granted.
    pub asks: u64,
    /// See `asks`.
    pub granted: u64,
    /// Requests served from units held ahead.
    pub served: u64,
    /// Requests refused at once, since the keeper's store cannot hold their units yet.
    pub refused: u64,
    /// Units that lapsed unused and were told back.
    pub expired_units: f64,
    /// Customers that units are held or asked for now.
    pub customers: usize,
}

/// What a member does with a request that its own batch does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Prefetched {
    /// Its units were held.
    Spent,
    /// The keeper would refuse it.
    Refused,
    /// The keeper has to be asked.
    Unknown,
}

/// Units granted by one ask ahead.
#[derive(Debug)]
struct Batch {
    id: RequestId,
    owner: u32,
    units: f64,
    left: f64,
    asked: Millis,
    until: Millis,
    /// Its keeper counts it as lent until it hears that it is over, or for so long that it surely is.
    long_lease: bool,
    /// When a request last spent of it.
    spent: Millis,
}

/// An ask ahead that waits for its reply.
#[derive(Debug, Clone, Copy)]
struct PendingAsk {
    id: RequestId,
    units: f64,
    at: Millis,
    repeated: bool,
}

/// What is held ahead for one customer.
#[derive(Debug)]
struct CustomerPrefetch {
    /// Its last request, for its plan and its set.
    last_request: Request,
    last_seen: Millis,
    /// Units a second that it uses here.
    use_rate: DecayingSum,
    /// Most and least units of one of its requests.
    largest: f64,
    smallest: f64,
    /// This member's own batch holds another request.
    share_suffices: bool,
    /// As far as is known its keeper knows of asks ahead.
    long_leases: bool,
    batches: VecDeque<Batch>,
    pending: Option<PendingAsk>,
    /// Most units of an ask: half of one that was refused, since all is granted or nothing, and twice one granted.
    max_ask: f64,
    /// No use asking before: the keeper's store cannot hold a request.
    not_before: Millis,
    /// Units in the keeper's store, as told last, and when.
    store: Option<(f64, Millis)>,
    /// When it is looked at next.
    next_review: Millis,
}

/// Everything held ahead.
#[derive(Debug)]
pub(crate) struct Prefetch {
    customers: BTreeMap<CustomerId, CustomerPrefetch>,
    reviews: BinaryHeap<Reverse<(u64, CustomerId)>>,
    next_id: RequestId,
    max_customers: usize,
    counts: PrefetchCounts,
}

impl CustomerPrefetch {
    /// Units at hand for a while yet.
    fn available_units(&self, now: Millis) -> f64 {
        self.batches.iter().filter(|batch| batch.until - now > EXPIRING_SOON_MS).map(|batch| batch.left).sum()
    }

    /// Units that should be at hand.
    fn target_units(&self, now: Millis, plan: &Plan) -> f64 {
        // What is not used under a ceiling is gone at a keeper that knows nothing of asks ahead: only what surely will be.
        let used = self.use_rate.rate(now) * CEILING_LIFETIME_MS / 1000.0;
        if plan.ceiling_rate > 0.0 && !self.long_leases && used < self.largest {
            return 0.0;
        }
        let lookahead =
            (self.use_rate.rate(now) * LOOKAHEAD_MS / 1000.0).min(plan.burst * MAX_PREFETCH_FRACTION);
        MIN_PREFETCHED_REQUESTS * self.largest + lookahead
    }
}

/// Units that a keeper granted under ceilings and that may still be spent: they count against a ceiling's depth.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    /// To requests: when, and whose, the oldest first.
    request_leases: VecDeque<(Millis, CustomerId, f64)>,
    /// Asked for ahead, until their member says that they are over.
    prefetch_leases: BTreeMap<GrantKey, (CustomerId, f64)>,
    /// When the latter are over at the latest, the oldest first.
    prefetch_ends: VecDeque<(Millis, GrantKey)>,
    /// Units are held ahead of need in this fleet.
    pub prefetch_enabled: bool,
}

impl Leases {
    /// How many grants.
    pub fn len(&self) -> usize {
        self.request_leases.len() + self.prefetch_ends.len()
    }

    /// What is granted under this number counts for as long as units are held ahead.
    pub fn is_long(&self, id: RequestId) -> bool {
        self.prefetch_enabled && is_prefetch(id)
    }

    /// Counts units from now on.
    pub fn add(&mut self, now: Millis, key: GrantKey, customer: CustomerId, units: f64) {
        if self.is_long(key.2) {
            self.prefetch_leases.insert(key, (customer, units));
            self.prefetch_ends.push_back((now + PREFETCH_LIFETIME_MS + GRANT_LIFETIME_MS, key));
        } else {
            self.request_leases.push_back((now, customer, units));
        }
    }

    /// The member says that what it asked for ahead is over: so many units, if they count still.
    pub fn release(&mut self, key: &GrantKey) -> Option<f64> {
        self.prefetch_leases.remove(key).map(|(_, units)| units)
    }

    /// Units that cannot be spent any more, and whose; takes them off.
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

    /// All of it, each as if lent to a request at a moment from which it counts as long.
    pub fn export(&self) -> impl Iterator<Item = (Millis, CustomerId, f64)> + '_ {
        let prefetched = self.prefetch_ends.iter().filter_map(|(end, key)| {
            let (customer, units) = self.prefetch_leases.get(key)?;
            Some((end - GRANT_LIFETIME_MS, *customer, *units))
        });
        self.request_leases.iter().copied().chain(prefetched)
    }

    /// Goes on with what was told so.
    pub fn import(&mut self, leases: impl Iterator<Item = (Millis, CustomerId, f64)>) {
        let mut sorted: Vec<_> = leases.collect();
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.request_leases = sorted.into();
    }
}

/// A reply that answers an ask ahead.
pub(crate) fn is_prefetch(id: RequestId) -> bool {
    id & PREFETCH_BIT != 0
}

impl Limiter {
    /// Holds units ahead of need from now on, for so many customers at most; the requests of others wait for their reply. As
    /// a keeper it counts what it grants ahead for as long as members may spend it.
    pub fn enable_prefetch(&mut self, max_customers: usize) {
        self.leases.prefetch_enabled = true;
        // A later process of the same limiter must not use a number again that its keepers still remember: moments in
        // milliseconds go up faster than asks.
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

    /// Ceilings kept here fill from a while after this moment on: what an earlier start granted, also ahead, has lapsed
    /// then.
    pub(crate) fn ceilings_from(&self) -> Millis {
        self.started_at + if self.leases.prefetch_enabled { PREFETCH_LIFETIME_MS } else { 0.0 }
    }

    /// What became of units held ahead; nothing where none are.
    pub fn prefetch_counts(&self) -> Option<PrefetchCounts> {
        let p = self.prefetch.as_ref()?;
        Some(PrefetchCounts { customers: p.customers.len(), ..p.counts })
    }

    /// Share of the quota's store that must be left for a member to spend unreported, `usual` where nothing is held ahead.
    pub(crate) fn min_store_fraction(&self, default: f64, customer: CustomerId) -> f64 {
        if self.prefetch.is_none() {
            return default;
        }
        // One whose demand at all limiters is within its quota may be let in whatever its store holds just now.
        let within_quota =
            self.customers.get(&customer).is_some_and(|c| f64::from(c.demand) <= WITHIN_QUOTA_MULTIPLE);
        if within_quota {
            -1.0
        } else {
            PREFETCH_MIN_STORE_FRACTION
        }
    }

    /// A customer within its quota has plenty of it left: a request is let in though this member's own batch, which falls
    /// below nothing by it, does not hold its units. Never under a ceiling.
    pub(crate) fn has_ample_store(&self, request: &Request) -> bool {
        let (plan, c) = (&self.settings.plans[request.plan], self.customers.get(&request.customer));
        let Some(c) = c.filter(|_| self.prefetch.is_some()) else { return false };
        let ample = c.store_left >= plan.burst * AMPLE_STORE.0 && self.now - c.demand_at <= AMPLE_STORE.1;
        plan.ceiling_rate <= 0.0 && ample && f64::from(c.demand) <= WITHIN_QUOTA_MULTIPLE
    }

    /// Seconds of the allowance that lines of customers not seen before may fill, `usual` where nothing is held ahead: what
    /// has been spent holds up nothing else.
    pub(crate) fn new_customer_queue_s(&self, default: f64) -> f64 {
        self.prefetch.as_ref().map_or(default, |_| NEW_CUSTOMER_QUEUE_S)
    }

    /// A request whose units this member's own batch does not hold: from what is held ahead, if it is.
    pub(crate) fn spend_prefetched(&mut self, id: RequestId) -> Prefetched {
        let (now, Limiter { prefetch, requests, settings, customers, .. }) = (self.now, self);
        let (Some(p), Some(open)) = (prefetch, requests.get_mut(&id)) else { return Prefetched::Unknown };
        let (customer, units) = (open.request.customer, open.request.units);
        let Some(entry) = p.customers.get_mut(&customer) else { return Prefetched::Unknown };
        let plan = &settings.plans[open.request.plan];
        // What has lapsed is told back at the next look.
        let live = |batch: &&mut Batch| now < batch.until;
        if entry.batches.iter_mut().filter(live).map(|p| p.left).sum::<f64>() >= units {
            let (mut rest, mut asked) = (units, now);
            for batch in entry.batches.iter_mut().filter(live) {
                let take = batch.left.min(rest);
                (batch.left, rest) = (batch.left - take, rest - take);
                if take > 0.0 {
                    batch.spent = now;
                    // A kept batch is lent for as long as a request that came in time may wait.
                    asked = if batch.long_lease { asked } else { asked.min(batch.asked) };
                }
            }
            let has_ceiling = plan.ceiling_rate > 0.0;
            entry.batches.retain(|batch| batch.left > ROUNDING_UNITS || (has_ceiling && batch.long_lease));
            (open.prefetched, open.leased_from) = (true, asked);
            p.counts.served += 1;
            return Prefetched::Spent;
        }
        // What others take only lowers the store, and it fills at its rate: a reply could say nothing else.
        let max_store = |(left, at): (f64, Millis)| left + plan.rate * (now - at) / 1000.0;
        let surely_refused = plan.rate > 0.0 && entry.store.is_some_and(|report| max_store(report) < units);
        // Beyond its quota some are refused in any case. What is on its way, or comes when the store has filled, is for
        // the next: to wait for it would serve none more.
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

    /// A request has come that a keeper elsewhere counts: what its like will need is asked for, unless this member's own
    /// batch holds it.
    pub(crate) fn record_use(&mut self, request: &Request, share_suffices: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(p) = &mut self.prefetch else { return };
        if p.customers.len() >= p.max_customers && !p.customers.contains_key(&request.customer) {
            return;
        }
        let entry = p.customers.entry(request.customer).or_insert_with(|| {
            p.reviews.push(Reverse(((now + REVIEW_MS.0).to_bits(), request.customer)));
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
                next_review: now + REVIEW_MS.0,
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

    /// Asks for what is missing of what should be at hand.
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
        // No more than the store can hold, where it is known: all is granted or nothing.
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

    /// A keeper's reply, on whatever was asked: what it says of its store; and the units, if it answers an ask ahead.
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
        // One that came twice, or after it was given up for lost, moves nothing: its units stay spent.
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
        entry.not_before = now + after.max(REVIEW_MS.0);
    }

    /// Looks at the customers that are due: what has lapsed is told back, and what is missing asked for.
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
                // A request that spent of it may wait for a server yet.
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
            let active = now - entry.last_seen < REVIEW_MS.1;
            if !active && entry.batches.is_empty() && entry.pending.is_none() {
                p.customers.remove(&customer);
            } else {
                let expires = entry.batches.iter().map(|batch| batch.until).fold(now + LOST_ASK_MS, f64::min);
                // Never at once: what is retained for another reason must not be looked at for ever.
                entry.next_review = if active { now + REVIEW_MS.0 } else { expires.max(now + 1.0) };
                p.reviews.push(Reverse((entry.next_review.to_bits(), customer)));
            }
            for (owner, done) in returned {
                self.send_line(owner, Line::Done(done), true, out);
            }
            if let Some((id, units, request)) = repeat {
                let set = (request.first, request.spread);
                // The same number: a keeper that has answered says the same again.
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

    /// A request that spent units held ahead has ended: what it really used is put right in what is held still. Under a
    /// ceiling what was spent stays spent.
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

    /// The message that goes out next, by its place, and how far the allowance must have filled for it, which holds `most`.
    /// Where units are held ahead, what a request waits on goes first, then asks ahead, then what has been spent.
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

    /// Takes that message, if it may go now.
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
