//! Units of a quota that a member holds ahead of need, so that a request need not wait for its keeper's word
//! (token prefetch). Off unless switched on; `docs/design/prefetch.md` weighs the ways.
//!
//! A member asks a customer's first keeper for units before the requests that will use them, by the same ask as for a
//! request and under a number that no request has: a keeper of any version answers it. What the keeper grants is off its
//! store from then on, so that the units are counted once wherever they are spent. They lapse by this member's own clock,
//! counted from when it *asked*; what is left then is given back as for a request that used less. A lost word, a dead
//! keeper or a restart loses units and never makes any.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crate::accounts::GRANT_MS;
use crate::customers::{keeper, TOLD_MS};
use crate::interface::*;
use crate::message::{Ask, Done, Line, Word};
use crate::state::*;

/// Numbers of asks ahead have this bit; those of requests are below it.
pub(crate) const AHEAD_BIT: RequestId = 1 << 31;
/// Units held ahead lapse so long after they were asked for; a keeper remembers its words for longer. Under a ceiling, a
/// keeper that knows nothing of asks ahead counts them as spent after `GRANT_MS`: then they lapse sooner, less what a
/// request may wait for a server.
const HELD_MS: Millis = 2500.0;
const CEILED_MS: Millis = GRANT_MS / 2.0;
/// Use over so long tells what will be used; it is held for so long ahead: an ask and its word take that long at most.
const PACE_MS: Millis = 2000.0;
const AHEAD_MS: Millis = 250.0;
/// Requests, of the largest seen, that are held at least.
const HELD_REQUESTS: f64 = 2.0;
/// Share of the quota's store that one member may hold ahead, beyond these.
const HELD_PART: f64 = 0.1;
/// An ask ahead without its word is repeated after so long, and after so long is lost, or its keeper is.
const REPEAT_MS: Millis = 100.0;
const LOST_MS: Millis = 500.0;
/// Share of the quota's store that must be left, as last told, for a member to spend its own part unasked: its keeper's
/// words come often, and a wait costs more here than a little sent beyond a quota.
const ROOM_PART: f64 = 0.2;
/// Demand at all limiters, as a multiple of the quota, up to which a customer counts as within it: a Poisson stream that
/// uses nearly all of its quota looks so now and then.
const CALM: f64 = 1.3;
/// Where a customer within its quota has so much of it left, as told so lately, it is let in on that alone.
const PLENTY: (f64, Millis) = (0.5, 1000.0);
/// Units that lapse sooner are not counted on: an ask for others is on its way by then.
const SOON_MS: Millis = 60.0;
/// Seconds of the allowance that lines of customers not seen before may fill.
const STRANGERS_S: f64 = 0.5;
/// Messages of the allowance that must be left beside the one to go, for asks that a request waits on, for asks ahead, and
/// for what has been spent: that is told when there are more.
const RESERVE: [f64; 3] = [0.0, 1.0, 2.0];
/// Least time between two looks at a customer, and for how long one is looked at after its last request.
const LOOK_MS: (Millis, Millis) = (100.0, HELD_MS);
/// Units that are no more than rounding.
const NO_UNITS: f64 = 1e-6;

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

/// What a member does with a request that its own part does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ahead {
    /// Its units were held.
    Spent,
    /// The keeper would refuse it.
    Refused,
    /// The keeper has to be asked.
    Unknown,
}

/// Units granted by one ask ahead.
#[derive(Debug)]
struct Part {
    id: RequestId,
    keeper: u32,
    units: f64,
    left: f64,
    asked: Millis,
    until: Millis,
    /// Its keeper counts it as lent until it hears that it is over, or for so long that it surely is.
    kept: bool,
    /// When a request last spent of it.
    spent: Millis,
}

/// An ask ahead that waits for its word.
#[derive(Debug, Clone, Copy)]
struct Out {
    id: RequestId,
    units: f64,
    at: Millis,
    repeated: bool,
}

/// What is held ahead for one customer.
#[derive(Debug)]
struct Held {
    /// Its last request, for its plan and its set.
    like: Request,
    last: Millis,
    /// Units a second that it uses here.
    pace: Fading,
    /// Most and least units of one of its requests.
    largest: f64,
    least: f64,
    /// This member's own part holds another request.
    enough: bool,
    /// As far as is known its keeper knows of asks ahead.
    kept: bool,
    parts: VecDeque<Part>,
    out: Option<Out>,
    /// Most units of an ask: half of one that was refused, since all is granted or nothing, and twice one granted.
    most: f64,
    /// No use asking before: the keeper's store cannot hold a request.
    not_before: Millis,
    /// Units in the keeper's store, as told last, and when.
    store: Option<(f64, Millis)>,
    /// When it is looked at next.
    look: Millis,
}

/// Everything held ahead.
#[derive(Debug)]
pub(crate) struct Prefetch {
    held: BTreeMap<CustomerId, Held>,
    looks: BinaryHeap<Reverse<(u64, CustomerId)>>,
    next: RequestId,
    most: usize,
    counts: PrefetchCounts,
}

impl Held {
    /// Units at hand for a while yet.
    fn units(&self, now: Millis) -> f64 {
        self.parts.iter().filter(|part| part.until - now > SOON_MS).map(|part| part.left).sum()
    }

    /// Units that should be at hand.
    fn wanted(&self, now: Millis, plan: &Plan) -> f64 {
        // What is not used under a ceiling is gone at a keeper that knows nothing of asks ahead: only what surely will be.
        let used = self.pace.rate(now) * CEILED_MS / 1000.0;
        if plan.ceiling_rate > 0.0 && !self.kept && used < self.largest {
            return 0.0;
        }
        let ahead = (self.pace.rate(now) * AHEAD_MS / 1000.0).min(plan.burst * HELD_PART);
        HELD_REQUESTS * self.largest + ahead
    }
}

/// Units that a keeper granted under ceilings and that may still be spent: they count against a ceiling's depth.
#[derive(Debug, Default)]
pub(crate) struct Lent {
    /// To requests: when, and whose, the oldest first.
    usual: VecDeque<(Millis, CustomerId, f64)>,
    /// Asked for ahead, until their member says that they are over.
    ahead: BTreeMap<GrantKey, (CustomerId, f64)>,
    /// When the latter are over at the latest, the oldest first.
    ends: VecDeque<(Millis, GrantKey)>,
    /// Units are held ahead of need in this fleet.
    pub keeps: bool,
}

impl Lent {
    /// How many grants.
    pub fn len(&self) -> usize {
        self.usual.len() + self.ends.len()
    }

    /// What is granted under this number counts for as long as units are held ahead.
    pub fn keeps(&self, id: RequestId) -> bool {
        self.keeps && is_ahead(id)
    }

    /// Counts units from now on.
    pub fn lend(&mut self, now: Millis, key: GrantKey, customer: CustomerId, units: f64) {
        if self.keeps(key.2) {
            self.ahead.insert(key, (customer, units));
            self.ends.push_back((now + HELD_MS + GRANT_MS, key));
        } else {
            self.usual.push_back((now, customer, units));
        }
    }

    /// The member says that what it asked for ahead is over: so many units, if they count still.
    pub fn done(&mut self, key: &GrantKey) -> Option<f64> {
        self.ahead.remove(key).map(|(_, units)| units)
    }

    /// Units that cannot be spent any more, and whose; takes them off.
    pub fn lapsed(&mut self, now: Millis) -> Option<(CustomerId, f64)> {
        if let Some((at, ..)) = self.usual.front().filter(|lent| now - lent.0 > GRANT_MS) {
            debug_assert!(*at <= now);
            return self.usual.pop_front().map(|(_, customer, units)| (customer, units));
        }
        while let Some((_, key)) = self.ends.front().copied().filter(|end| now > end.0) {
            self.ends.pop_front();
            if let Some(lent) = self.ahead.remove(&key) {
                return Some(lent);
            }
        }
        None
    }

    /// All of it, each as if lent to a request at a moment from which it counts as long.
    pub fn told(&self) -> impl Iterator<Item = (Millis, CustomerId, f64)> + '_ {
        let ahead = self.ends.iter().filter_map(|(end, key)| {
            let (customer, units) = self.ahead.get(key)?;
            Some((end - GRANT_MS, *customer, *units))
        });
        self.usual.iter().copied().chain(ahead)
    }

    /// Goes on with what was told so.
    pub fn hear(&mut self, told: impl Iterator<Item = (Millis, CustomerId, f64)>) {
        let mut usual: Vec<_> = told.collect();
        usual.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.usual = usual.into();
    }
}

/// A word that answers an ask ahead.
pub(crate) fn is_ahead(id: RequestId) -> bool {
    id & AHEAD_BIT != 0
}

impl Limiter {
    /// Holds units ahead of need from now on, for so many customers at most; the requests of others wait for their word. As
    /// a keeper it counts what it grants ahead for as long as members may spend it.
    pub fn enable_prefetch(&mut self, most: usize) {
        self.lent.keeps = true;
        // A later process of the same limiter must not use a number again that its keepers still remember: moments in
        // milliseconds go up faster than asks.
        let next = AHEAD_BIT | self.now as u64 as u32;
        self.prefetch.get_or_insert_with(|| {
            let (held, looks) = (BTreeMap::new(), BinaryHeap::new());
            Box::new(Prefetch { held, looks, next, most, counts: PrefetchCounts::default() })
        });
    }

    /// Ceilings kept here fill from a while after this moment on: what an earlier start granted, also ahead, has lapsed
    /// then.
    pub(crate) fn ceilings_from(&self) -> Millis {
        self.born + if self.lent.keeps { HELD_MS } else { 0.0 }
    }

    /// What became of units held ahead; nothing where none are.
    pub fn prefetch_counts(&self) -> Option<PrefetchCounts> {
        let p = self.prefetch.as_ref()?;
        Some(PrefetchCounts { customers: p.held.len(), ..p.counts })
    }

    /// Share of the quota's store that must be left for a member to spend unasked, `usual` where nothing is held ahead.
    pub(crate) fn room_part(&self, usual: f64, customer: CustomerId) -> f64 {
        if self.prefetch.is_none() {
            return usual;
        }
        // One whose demand at all limiters is within its quota may be let in whatever its store holds just now.
        let calm = self.customers.get(&customer).is_some_and(|c| f64::from(c.told) <= CALM);
        if calm {
            -1.0
        } else {
            ROOM_PART
        }
    }

    /// A customer within its quota has plenty of it left: a request is let in though this member's own part, which falls
    /// below nothing by it, does not hold its units. Never under a ceiling.
    pub(crate) fn plenty(&self, request: &Request) -> bool {
        let (plan, c) = (&self.settings.plans[request.plan], self.customers.get(&request.customer));
        let Some(c) = c.filter(|_| self.prefetch.is_some()) else { return false };
        let left = c.room >= plan.burst * PLENTY.0 && self.now - c.told_at <= PLENTY.1;
        plan.ceiling_rate <= 0.0 && left && f64::from(c.told) <= CALM
    }

    /// Seconds of the allowance that lines of customers not seen before may fill, `usual` where nothing is held ahead: what
    /// has been spent holds up nothing else.
    pub(crate) fn stranger_wait_s(&self, usual: f64) -> f64 {
        self.prefetch.as_ref().map_or(usual, |_| STRANGERS_S)
    }

    /// A request whose units this member's own part does not hold: from what is held ahead, if it is.
    pub(crate) fn spend_ahead(&mut self, id: RequestId) -> Ahead {
        let (now, Limiter { prefetch, requests, settings, customers, .. }) = (self.now, self);
        let (Some(p), Some(open)) = (prefetch, requests.get_mut(&id)) else { return Ahead::Unknown };
        let (customer, units) = (open.request.customer, open.request.units);
        let Some(held) = p.held.get_mut(&customer) else { return Ahead::Unknown };
        let plan = &settings.plans[open.request.plan];
        // What has lapsed is told back at the next look.
        let live = |part: &&mut Part| now < part.until;
        if held.parts.iter_mut().filter(live).map(|p| p.left).sum::<f64>() >= units {
            let (mut rest, mut asked) = (units, now);
            for part in held.parts.iter_mut().filter(live) {
                let take = part.left.min(rest);
                (part.left, rest) = (part.left - take, rest - take);
                if take > 0.0 {
                    part.spent = now;
                    // A kept part is lent for as long as a request that came in time may wait.
                    asked = if part.kept { asked } else { asked.min(part.asked) };
                }
            }
            let ceiled = plan.ceiling_rate > 0.0;
            held.parts.retain(|part| part.left > NO_UNITS || (ceiled && part.kept));
            (open.ahead, open.lent_from) = (true, asked);
            p.counts.served += 1;
            return Ahead::Spent;
        }
        // What others take only lowers the store, and it fills at its rate: a word could say nothing else.
        let most = |(left, at): (f64, Millis)| left + plan.rate * (now - at) / 1000.0;
        let sure = plan.rate > 0.0 && held.store.is_some_and(|told| most(told) < units);
        // Beyond its quota some are refused in any case. What is on its way, or comes when the store has filled, is for
        // the next: to wait for it would serve none more.
        let Some(c) = customers.get_mut(&customer) else { return Ahead::Unknown };
        let over = now - c.told_at <= TOLD_MS && f64::from(c.told) > CALM;
        if sure || (over && (held.out.is_some() || now < held.not_before)) {
            c.unasked += units as f32;
            p.counts.refused += 1;
            return Ahead::Refused;
        }
        Ahead::Unknown
    }

    /// A request has come that a keeper elsewhere counts: what its like will need is asked for, unless this member's own
    /// part holds it.
    pub(crate) fn expect_like(&mut self, request: &Request, enough: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(p) = &mut self.prefetch else { return };
        if p.held.len() >= p.most && !p.held.contains_key(&request.customer) {
            return;
        }
        let held = p.held.entry(request.customer).or_insert_with(|| {
            p.looks.push(Reverse(((now + LOOK_MS.0).to_bits(), request.customer)));
            Held {
                like: request.clone(),
                last: now,
                pace: Fading::new(now, PACE_MS),
                largest: 0.0,
                least: f64::INFINITY,
                enough,
                kept: true,
                parts: VecDeque::new(),
                out: None,
                most: f64::INFINITY,
                not_before: now,
                store: None,
                look: now + LOOK_MS.0,
            }
        });
        (held.last, held.enough, held.largest) = (now, enough, held.largest.max(request.units));
        if held.like.plan != request.plan
            || (held.like.first, held.like.spread) != (request.first, request.spread)
        {
            held.store = None;
        }
        held.least = held.least.min(request.units);
        held.like = request.clone();
        held.pace.add(now, request.units);
        self.ask_ahead(request.customer, out);
    }

    /// Asks for what is missing of what should be at hand.
    fn ask_ahead(&mut self, customer: CustomerId, out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.settings.position);
        let Some(held) = self.prefetch.as_ref().and_then(|p| p.held.get(&customer)) else { return };
        let plan = &self.settings.plans[held.like.plan];
        let wanted = held.wanted(now, plan);
        let missing = wanted - held.units(now);
        if missing < wanted / 2.0 && held.units(now) >= held.largest {
            return;
        }
        if held.enough || held.out.is_some() || now < held.not_before {
            return;
        }
        let set = (held.like.first, held.like.spread);
        let Some(to) = keeper(customer, set, self.settings.limiters, 0).filter(|k| *k != me) else { return };
        // No more than the store can hold, where it is known: all is granted or nothing.
        let store = held.store.map_or(f64::INFINITY, |(left, at)| left + plan.rate * (now - at) / 1000.0);
        let units = missing.min(store).min(held.most).max(held.least);
        let like = held.like.clone();
        let mut ask: Ask = self.ask_of(&like);
        let Some(p) = &mut self.prefetch else { return };
        (ask.id, ask.units) = (p.next, units as f32);
        p.next = p.next.wrapping_add(1) | AHEAD_BIT;
        if let Some(held) = p.held.get_mut(&customer) {
            held.out = Some(Out { id: ask.id, units: f64::from(ask.units), at: now, repeated: false });
        }
        p.counts.asks += 1;
        self.tell(to, Line::Ask(ask), true, out);
    }

    /// A keeper's word, on whatever was asked: what it says of its store; and the units, if it answers an ask ahead.
    pub(crate) fn word_ahead(&mut self, from: u32, word: &Word) {
        let now = self.now;
        let Limiter { prefetch, settings, .. } = self;
        let Some(p) = prefetch else { return };
        let Some(held) = p.held.get_mut(&word.customer) else { return };
        let plan = &settings.plans[held.like.plan];
        let set = (held.like.first, held.like.spread);
        if keeper(word.customer, set, settings.limiters, 0) == Some(from) {
            held.store = Some((f64::from(word.left), now));
        }
        // One that came twice, or after it was given up for lost, moves nothing: its units stay spent.
        let Some(asked) = held.out.filter(|asked| asked.id == word.id) else { return };
        held.out = None;
        if word.granted {
            p.counts.granted += 1;
            held.kept = word.kept;
            held.most = 2.0 * asked.units;
            let until = asked.at + if plan.ceiling_rate > 0.0 && !word.kept { CEILED_MS } else { HELD_MS };
            let (id, units, left, spent) = (asked.id, asked.units, asked.units, f64::NEG_INFINITY);
            let (asked, kept) = (asked.at, word.kept);
            held.parts.push_back(Part { id, keeper: from, units, left, asked, until, kept, spent });
            if until < held.look {
                held.look = until;
                p.looks.push(Reverse((until.to_bits(), word.customer)));
            }
            return;
        }
        held.most = asked.units / 2.0;
        let lacking = (held.least - f64::from(word.left)).max(0.0);
        let after = if plan.rate > 0.0 { 1000.0 * lacking / plan.rate } else { LOST_MS };
        held.not_before = now + after.max(LOOK_MS.0);
    }

    /// Looks at the customers that are due: what has lapsed is told back, and what is missing asked for.
    pub(crate) fn look_ahead(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        loop {
            let Some(p) = &mut self.prefetch else { return };
            let due = p.looks.peek().filter(|Reverse((at, _))| f64::from_bits(*at) <= now);
            let Some(Reverse((at, customer))) = due.copied() else { return };
            p.looks.pop();
            let Some(held) = p.held.get_mut(&customer).filter(|h| h.look.to_bits() == at) else { continue };
            let mut back = Vec::new();
            held.parts.retain(|part| {
                // A request that spent of it may wait for a server yet.
                let lapsed = (now >= part.until || part.left <= NO_UNITS) && now - part.spent > GRANT_MS;
                if lapsed {
                    back.push((part.keeper, Done { id: part.id, used: (part.units - part.left) as f32 }));
                    p.counts.expired_units += part.left;
                }
                !lapsed
            });
            let mut again = None;
            if let Some(asked) = held.out.as_mut().filter(|a| !a.repeated && now - a.at > REPEAT_MS) {
                asked.repeated = true;
                again = Some((asked.id, asked.units, held.like.clone()));
            }
            if held.out.is_some_and(|asked| now - asked.at > LOST_MS) {
                held.out = None;
                held.not_before = now + LOST_MS;
            }
            let wanted = now - held.last < LOOK_MS.1;
            if !wanted && held.parts.is_empty() && held.out.is_none() {
                p.held.remove(&customer);
            } else {
                let lapses = held.parts.iter().map(|part| part.until).fold(now + LOST_MS, f64::min);
                // Never at once: what is retained for another reason must not be looked at for ever.
                held.look = if wanted { now + LOOK_MS.0 } else { lapses.max(now + 1.0) };
                p.looks.push(Reverse((held.look.to_bits(), customer)));
            }
            for (keeper, done) in back {
                self.tell(keeper, Line::Done(done), true, out);
            }
            if let Some((id, units, like)) = again {
                let set = (like.first, like.spread);
                // The same number: a keeper that has answered says the same again.
                if let Some(to) = keeper(customer, set, self.settings.limiters, 0) {
                    let ask = Ask { id, units: units as f32, unasked: 0.0, ..self.ask_of(&like) };
                    self.tell(to, Line::Ask(ask), true, out);
                }
            }
            if wanted {
                self.ask_ahead(customer, out);
            }
        }
    }

    /// A request that spent units held ahead has ended: what it really used is put right in what is held still. Under a
    /// ceiling what was spent stays spent.
    pub(crate) fn settle_ahead(&mut self, open: &Open) {
        let Limiter { prefetch, settings, now, .. } = self;
        let (Some(p), true) = (prefetch, open.ahead) else { return };
        let units = open.request.units;
        let used = if open.attempts == 0 { 0.0 } else { open.true_units.unwrap_or(units) };
        let ceiled = settings.plans[open.request.plan].ceiling_rate > 0.0;
        let Some(held) = p.held.get_mut(&open.request.customer).filter(|_| !ceiled) else { return };
        if let Some(part) = held.parts.iter_mut().rev().find(|part| *now < part.until) {
            part.left = (part.left + units - used).clamp(0.0, part.units);
        }
    }

    /// The message that goes out next, by its place, and how far the allowance must have filled for it, which holds `most`.
    /// Where units are held ahead, what a request waits on goes first, then asks ahead, then what has been spent.
    pub(crate) fn mail_needed(&self, most: f64) -> (usize, f64) {
        if self.prefetch.is_none() {
            return (0, 1.0);
        }
        let rank = |line: &Line| match line {
            Line::Ask(ask) if !ask.spent => usize::from(is_ahead(ask.id)),
            _ => 2,
        };
        let rank = |lines: &[Line]| lines.iter().map(rank).min().unwrap_or(2);
        let ranks = self.outbox.iter().map(|(_, lines)| rank(lines)).enumerate();
        let (first, rank) = ranks.min_by_key(|(_, rank)| *rank).unwrap_or((0, 2));
        (first, 1.0 + RESERVE[rank].min(most - 1.0))
    }

    /// Takes that message, if it may go now.
    pub(crate) fn next_mail(&mut self, most: f64) -> Option<(u32, Vec<Line>)> {
        let (first, needed) = self.mail_needed(most);
        if self.mail.level < needed {
            return None;
        }
        self.outbox.remove(first)
    }
}

#[cfg(test)]
mod tests;
