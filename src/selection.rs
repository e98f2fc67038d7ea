//! Which server gets the next attempt of a request. Servers are checked in an order that differs from limiter to
//! limiter; the index in `servers.rs` leaves out those that cannot be chosen, and does not change the choice.

use std::collections::BTreeSet;
use std::ops::Range;

use crate::interface::*;
use crate::planted::{self, Fault};
use crate::server_health::{typical_latency_ms, Ordered, MIN_WEIGHT};
use crate::servers::*;
use crate::state::*;

/// Number of limiters that share each server as one of their own.
const LIMITERS_PER_SERVER: f64 = 8.0;
/// Minimum number of a limiter's own servers. Among few servers a limiter learns sooner which are slow, and its
/// outstanding requests there count against them.
const MIN_OWN_SERVERS: f64 = 2.0;
/// Factor on the expected time of an ejected or just tried server, the last choice.
const LAST_CHOICE_FACTOR: f64 = 1e6;
/// Number of ejected servers with answers that are compared for each request.
const SHORTLIST_LEN: usize = 32;
/// Time after which they are selected anew, and their number at which they are.
const SHORTLIST_MS: Millis = 5000.0;
const MAX_SHORTLIST_LEN: usize = 4 * SHORTLIST_LEN;
/// Relative error of a computed bound of an expected time at most.
const BOUND_ERROR: f64 = 1e-13;

/// The order in which a limiter checks servers: first its own ones, which follow one another from `start`, then
/// the others from another place, so that a lost server's neighbours are not overloaded.
struct CheckOrder {
    start: usize,
    others: usize,
    own_count: usize,
    all: usize,
}

impl CheckOrder {
    fn new(limiter: u32, own_count: usize, all: usize) -> CheckOrder {
        // Golden ratio: neighbouring limiters, which share customers, start far apart and evenly spread.
        let from = |ratio: f64| ((f64::from(limiter) * ratio).fract() * all as f64) as usize;
        CheckOrder { start: from(0.618_034), others: from(0.754_878), own_count, all }
    }

    fn is_own(&self, at: usize) -> bool {
        (at + self.all - self.start) % self.all < self.own_count
    }

    /// Place of a position in the order.
    fn rank(&self, at: usize) -> usize {
        if self.is_own(at) {
            (at + self.all - self.start) % self.all
        } else {
            self.all + (at + self.all - self.others) % self.all
        }
    }

    /// The positions from one on, going round at the end of the list.
    fn round(&self, from: usize, count: usize) -> [Range<Position>; 2] {
        let from = from % self.all;
        let end = (from + count).min(self.all);
        [from as Position..end as Position, 0..(from + count - end) as Position]
    }

    /// All positions in the order, as ranges.
    fn ranges(&self) -> impl Iterator<Item = Range<Position>> {
        // Where the own servers begin, counted from the first of the others.
        let own_from = (self.start + self.all - self.others) % self.all;
        let own_end = own_from + self.own_count;
        let (before, after) = match own_end.checked_sub(self.all) {
            None => (0..own_from, own_end..self.all),
            Some(wrapped) => (wrapped..own_from, 0..0),
        };
        let parts = [
            self.round(self.start, self.own_count),
            self.round(self.others + before.start, before.len()),
            self.round(self.others + after.start, after.len()),
        ];
        parts.into_iter().flatten()
    }

    /// The first position of a set in the order.
    fn first(&self, set: &BTreeSet<Position>) -> Option<usize> {
        self.ranges().find_map(|range| set.range(range).next().copied()).map(|at| at as usize)
    }
}

/// The server with the lowest expected time so far; of several the first in the order.
struct Best {
    time: f64,
    rank: usize,
    at: Option<usize>,
}

impl Best {
    fn consider(&mut self, time: f64, rank: usize, at: usize) {
        if self.at.is_none() || (time, rank) < (self.time, self.rank) {
            *self = Best { time, rank, at: Some(at) };
        }
    }
}

/// The positions of two sets within a range in ascending order, and whether each is from the second.
fn merged<'a>(
    open: &'a BTreeSet<Position>,
    cold: &'a BTreeSet<Position>,
    range: Range<Position>,
) -> impl Iterator<Item = (usize, bool)> + 'a {
    let mut open = open.range(range.clone()).copied().peekable();
    let mut cold = cold.range(range).copied().peekable();
    std::iter::from_fn(move || {
        let from_cold = cold.peek().is_some_and(|c| open.peek().is_none_or(|o| c < o));
        let next = if from_cold { cold.next() } else { open.next() };
        next.map(|at| (at as usize, from_cold))
    })
}

impl Limiter {
    /// Number of servers that are this limiter's own; each server belongs to several limiters.
    pub(crate) fn own_server_count(&self) -> usize {
        let all = self.servers.len();
        ((LIMITERS_PER_SERVER * all as f64 / f64::from(self.settings.limiters)).max(MIN_OWN_SERVERS) as usize)
            .min(all)
    }

    fn check_order(&self) -> CheckOrder {
        CheckOrder::new(self.settings.position, self.own_server_count(), self.servers.len())
    }

    /// Picks the server with the lowest expected time among a few that accept the request.
    pub(crate) fn choose_server(&mut self, id: RequestId) -> Option<ServerId> {
        if self.servers.len() == 0 {
            return None;
        }
        if [Fault::Drain, Fault::Sweep, Fault::Scan].into_iter().any(planted::is_active) {
            return self.choose_by_scan(id);
        }
        let order = self.check_order();
        let Limiter {
            requests,
            servers,
            settings,
            rng,
            now,
            attempts_per_server,
            mean_weight,
            typical_latency,
            retired,
            ..
        } = self;
        let (request, now, typical) = (requests.get(&id)?, *now, *typical_latency);
        servers.advance(now);
        let scope = scope_of_key_group(request, settings);
        let Selectable { list, candidates, cold, shortlist, max_weight } = servers.selectable(scope);
        let nobody = Candidates::default();
        let candidates = candidates.unwrap_or(&nobody);
        let mut best = Best { time: f64::INFINITY, rank: 0, at: None };
        let (mut considered, mut last_rank, mut warmed) = (0, usize::MAX, Vec::new());
        for (at, is_cold) in order.ranges().flat_map(|range| merged(&candidates.open, cold, range)) {
            let s = &mut list[planted::count_check(at)];
            if is_cold {
                let accepts = s.accepts(now, *attempts_per_server, *mean_weight, order.is_own(at), settings);
                if s.cold_since.is_none() {
                    warmed.push(at);
                }
                // The slow start of a server is one budget, which the successor holds.
                let budget_handed_over = *retired && s.cold_since.is_some();
                if !accepts || budget_handed_over || !allowed_by_key_group(request, s, settings) {
                    continue;
                }
            }
            let last = now < s.ejected_until || request.last_server.as_ref() == Some(&s.entry.server);
            let factor = if last { LAST_CHOICE_FACTOR } else { 1.0 + 0.1 * rng.f64() };
            best.consider(s.expected_ms(now, typical, settings.zone) * factor, order.rank(at), at);
            considered += usize::from(!last);
            if considered == order.own_count {
                last_rank = order.rank(at);
                break;
            }
        }
        // No ejected server has a lower expected time than this.
        let lowest_last_choice = LAST_CHOICE_FACTOR / max_weight.max(MIN_WEIGHT) * (1.0 - BOUND_ERROR);
        if best.time >= lowest_last_choice {
            let mut last_choice =
                LastChoice { list, candidates, order: &order, now, typical, zone: settings.zone, last_rank };
            last_choice.consider_groups(&mut best);
            match scope {
                Scope::All if last_rank == usize::MAX => last_choice.consider_shortlist(shortlist, &mut best),
                _ => last_choice.consider_with_answers(&mut best),
            }
        }
        servers.warmed(now, &warmed);
        best.at.map(|at| servers.id(at))
    }

    /// The same choice by a check of every server, for tests and planted faults.
    fn choose_by_scan(&mut self, id: RequestId) -> Option<ServerId> {
        let order = self.check_order();
        let Limiter {
            requests,
            servers,
            settings,
            rng,
            now,
            attempts_per_server,
            mean_weight,
            typical_latency,
            retired,
            ..
        } = self;
        let request = requests.get(&id)?;
        let list = servers.selectable(Scope::All).list;
        let (mut best, mut considered): (Option<(f64, usize)>, usize) = (None, 0);
        let others = (order.others..order.others + order.all).filter(|at| !order.is_own(at % order.all));
        let own = order.start..order.start + order.own_count;
        let mut warmed = Vec::new();
        for at in own.chain(others).map(|at| planted::count_check(at % order.all)) {
            let s = &mut list[at];
            let was_cold = s.cold_since.is_some();
            let accepts = s.accepts(*now, *attempts_per_server, *mean_weight, order.is_own(at), settings);
            if was_cold && s.cold_since.is_none() {
                warmed.push(at);
            }
            let budget_handed_over = *retired && s.cold_since.is_some();
            if !accepts || budget_handed_over || !allowed_by_key_group(request, s, settings) {
                continue;
            }
            let last = *now < s.ejected_until || request.last_server.as_ref() == Some(&s.entry.server);
            let factor = if last { LAST_CHOICE_FACTOR } else { 1.0 + 0.1 * rng.f64() };
            let time = s.expected_ms(*now, *typical_latency, settings.zone) * factor;
            if best.is_none_or(|b| time < b.0) {
                best = Some((time, at));
            }
            considered += usize::from(!last);
            if considered == order.own_count && !planted::is_active(Fault::Sweep) {
                break;
            }
        }
        servers.warmed(*now, &warmed);
        best.map(|b| servers.id(b.1))
    }
}

/// The choice among ejected servers.
struct LastChoice<'a> {
    list: &'a [Server],
    candidates: &'a Candidates,
    order: &'a CheckOrder,
    now: Millis,
    typical: Millis,
    zone: u32,
    /// Servers after this rank are not checked any more.
    last_rank: usize,
}

impl LastChoice<'_> {
    fn time(&self, at: usize, now: Millis) -> f64 {
        self.list[at].expected_ms(now, self.typical, self.zone) * LAST_CHOICE_FACTOR
    }

    fn consider(&self, at: usize, best: &mut Best) {
        let rank = self.order.rank(planted::count_check(at));
        if rank <= self.last_rank {
            best.consider(self.time(at, self.now), rank, at);
        }
    }

    /// Considers the servers with the typical latency: of each group with equal expected times the first.
    fn consider_groups(&self, best: &mut Best) {
        let lowest = typical_latency_ms(self.typical) * LAST_CHOICE_FACTOR * (1.0 - BOUND_ERROR);
        for (factors, group) in &self.candidates.ejected {
            if factors.product.0 * lowest > best.time {
                return;
            }
            if let Some(at) = self.order.first(group) {
                self.consider(at, best);
            }
        }
    }

    /// Considers the servers with answers of their own, one by one.
    fn consider_with_answers(&self, best: &mut Best) {
        self.candidates.ejected_with_answers.iter().for_each(|at| self.consider(*at as usize, best));
    }

    /// Considers the servers with answers of their own that can have the lowest expected time.
    fn consider_shortlist(&mut self, shortlist: &mut Shortlist, best: &mut Best) {
        let all = &self.candidates.ejected_with_answers;
        if all.is_empty() {
            return;
        }
        let valid = self.now <= shortlist.until
            && self.typical == shortlist.typical
            && shortlist.members.len() <= MAX_SHORTLIST_LEN;
        if valid {
            shortlist.members.iter().for_each(|at| self.consider(*at as usize, best));
            if (best.time, best.rank) < shortlist.floor {
                return;
            }
        }
        self.consider_with_answers(best);
        let until = self.now + SHORTLIST_MS;
        let mut bounds: Vec<_> = all.iter().map(|at| (self.lowest_until(*at as usize, until), *at)).collect();
        let mut floor = (f64::INFINITY, 0);
        if bounds.len() > SHORTLIST_LEN {
            let order = |((time, rank), _): &((f64, usize), Position)| (Ordered(*time), *rank);
            floor = bounds.select_nth_unstable_by_key(SHORTLIST_LEN, order).1 .0;
        }
        let members = bounds.iter().take(SHORTLIST_LEN).map(|(_, at)| *at).collect();
        *shortlist = Shortlist { members, floor, typical: self.typical, until };
    }

    /// A lower bound of a server's expected time from now until a later time, unless it changes, and its rank.
    /// Its latency moves towards the typical one as its answers age.
    fn lowest_until(&self, at: usize, until: Millis) -> (f64, usize) {
        let now = self.time(at, self.now);
        // Shorter latencies count as one millisecond, exactly.
        let constant = self.list[at].latency <= 1.0 && self.typical <= 1.0;
        let bound = if constant { now } else { now.min(self.time(at, until)) * (1.0 - BOUND_ERROR) };
        (bound, self.order.rank(at))
    }
}

/// The servers among which a keyed request that may have run stays: the group that drops its repeats.
fn scope_of_key_group(request: &OpenRequest, settings: &Settings) -> Scope {
    let class = &settings.classes[request.request.class];
    match (class.effect, request.may_have_run, class.group) {
        (Effect::Keyed, Some((_, zone, _)), KeyGroup::Zone) => Scope::Zone(zone),
        (Effect::Keyed, Some((_, _, cell)), KeyGroup::Cell) => Scope::Cell(cell),
        _ => Scope::All,
    }
}

fn allowed_by_key_group(request: &OpenRequest, server: &Server, settings: &Settings) -> bool {
    match scope_of_key_group(request, settings) {
        Scope::All => true,
        Scope::Zone(zone) => server.entry.zone == zone,
        Scope::Cell(cell) => server.entry.cell == cell,
    }
}
