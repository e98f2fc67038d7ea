//! The listed servers, and an index of those that may get a request. The index changes when a server changes,
//! so that a request need not check every server. The rules that it follows are in `server_health.rs`.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::planted;
use crate::server_health::*;
use crate::state::Server;

/// Position of a server among all listed ones, in the order of their ids.
pub(crate) type Position = u32;

/// A server's place in the index.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Place {
    standing: Standing,
    zone: u32,
    cell: u32,
    /// When the standing changes without any event; never if infinite.
    until: Millis,
}

impl Place {
    fn of(server: &Server, now: Millis, zone: u32) -> Place {
        let (standing, until) = server.standing(now, zone);
        Place { standing, zone: server.entry.zone, cell: server.entry.cell, until }
    }

    fn scopes(&self) -> [Scope; 3] {
        [Scope::All, Scope::Zone(self.zone), Scope::Cell(self.cell)]
    }
}

/// The servers among which a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Scope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone(u32),
    /// Those of one cell.
    Cell(u32),
}

/// The servers of one scope that are not closed or cold, by standing.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    pub open: BTreeSet<Position>,
    pub ejected: BTreeMap<TimeFactors, BTreeSet<Position>>,
    pub ejected_with_answers: BTreeSet<Position>,
}

impl Candidates {
    fn of(all: &[(Position, Standing)]) -> Candidates {
        let open = all.iter().filter(|(_, standing)| *standing == Standing::Open).map(|(at, _)| *at);
        // A set is built at once in less time than one by one, and most servers are open.
        let mut candidates = Candidates { open: open.collect(), ..Candidates::default() };
        let others = all.iter().filter(|(_, standing)| *standing != Standing::Open);
        others.for_each(|(at, standing)| candidates.insert(*at, *standing));
        candidates
    }

    fn insert(&mut self, at: Position, standing: Standing) {
        match standing {
            Standing::Closed | Standing::Cold => {}
            Standing::Open => drop(self.open.insert(at)),
            Standing::Ejected(factors) => drop(self.ejected.entry(factors).or_default().insert(at)),
            Standing::EjectedWithAnswers => drop(self.ejected_with_answers.insert(at)),
        }
    }

    fn remove(&mut self, at: Position, standing: Standing) {
        match standing {
            Standing::Closed | Standing::Cold => {}
            Standing::Open => drop(self.open.remove(&at)),
            Standing::EjectedWithAnswers => drop(self.ejected_with_answers.remove(&at)),
            Standing::Ejected(factors) => {
                let Some(group) = self.ejected.get_mut(&factors) else { return };
                group.remove(&at);
                if group.is_empty() {
                    self.ejected.remove(&factors);
                }
            }
        }
    }
}

/// The ejected servers with answers that can have the lowest expected time for a while: the others are known to
/// stay at or above a floor.
#[derive(Debug)]
pub(crate) struct Shortlist {
    pub members: BTreeSet<Position>,
    /// Lowest expected time of any other server, and the least rank of those that can reach it.
    pub floor: (f64, usize),
    /// The typical latency for which this holds, and until when.
    pub typical: Millis,
    pub until: Millis,
}

impl Shortlist {
    fn expired() -> Shortlist {
        let (floor, until) = ((0.0, 0), f64::NEG_INFINITY);
        Shortlist { members: BTreeSet::new(), floor, typical: 0.0, until }
    }
}

/// The listed servers in the order of their ids, with their index.
#[derive(Debug)]
pub(crate) struct Servers {
    /// The limiter's zone.
    zone: u32,
    list: Vec<Server>,
    places: Vec<Place>,
    scopes: BTreeMap<Scope, Candidates>,
    cold: BTreeSet<Position>,
    /// Servers whose standing changes at a known time.
    timed: BTreeSet<(Ordered, Position)>,
    shortlist: Shortlist,
    /// Servers with an ejection that is not logged yet.
    unlogged: BTreeSet<Position>,
    serving: usize,
    /// At least the largest weight of a listed server.
    max_weight: f64,
}

/// What a selection needs of the servers: the records, and the index beside them.
pub(crate) struct Selectable<'a> {
    pub list: &'a mut [Server],
    /// The candidates of the scope; none if it has no servers.
    pub candidates: Option<&'a Candidates>,
    pub cold: &'a BTreeSet<Position>,
    pub shortlist: &'a mut Shortlist,
    pub max_weight: f64,
}

impl Servers {
    /// No servers, for a limiter in this zone.
    pub fn new(zone: u32) -> Servers {
        Servers {
            zone,
            list: Vec::new(),
            places: Vec::new(),
            scopes: BTreeMap::new(),
            cold: BTreeSet::new(),
            timed: BTreeSet::new(),
            shortlist: Shortlist::expired(),
            unlogged: BTreeSet::new(),
            serving: 0,
            max_weight: 0.0,
        }
    }

    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Number of servers that the list states to be serving.
    pub fn serving(&self) -> usize {
        self.serving
    }

    /// All servers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.list.iter()
    }

    fn position(&self, id: &str) -> Option<usize> {
        self.list.binary_search_by(|s| (*s.entry.server).cmp(id)).ok()
    }

    pub fn get(&self, id: &str) -> Option<&Server> {
        self.position(id).map(|at| &self.list[at])
    }

    pub fn id(&self, at: usize) -> ServerId {
        self.list[at].entry.server.clone()
    }

    /// Changes a server and its place in the index.
    pub fn update<R>(&mut self, now: Millis, id: &str, change: impl FnOnce(&mut Server) -> R) -> Option<R> {
        let at = self.position(id)?;
        let served = self.list[at].is_listed_as_serving();
        let result = change(&mut self.list[at]);
        let server = &self.list[at];
        self.serving = self.serving + usize::from(server.is_listed_as_serving()) - usize::from(served);
        self.max_weight = self.max_weight.max(server.entry.weight);
        if server.ejection_reason.is_some() {
            self.unlogged.insert(at as Position);
        }
        self.place(now, at);
        if self.places[at].standing == Standing::EjectedWithAnswers {
            self.shortlist.members.insert(at as Position);
        }
        Some(result)
    }

    /// Changes which servers are listed, and builds the index anew.
    pub fn relist(&mut self, now: Millis, change: impl FnOnce(&mut BTreeMap<ServerId, Server>)) {
        let list = std::mem::take(&mut self.list);
        let mut by_id = list.into_iter().map(|s| (s.entry.server.clone(), s)).collect();
        change(&mut by_id);
        self.list = by_id.into_values().collect();
        self.rebuild(now);
    }

    /// The server with this id, added if it is not listed. The index is to be built anew afterwards.
    pub fn get_or_insert(&mut self, id: &str, fresh: impl FnOnce() -> Server) -> &mut Server {
        let at = self.list.binary_search_by(|s| (*s.entry.server).cmp(id)).unwrap_or_else(|at| {
            self.list.insert(at, fresh());
            at
        });
        &mut self.list[at]
    }

    /// Removes a server. The index is to be built anew afterwards.
    pub fn remove(&mut self, id: &str) {
        if let Some(at) = self.position(id) {
            self.list.remove(at);
        }
    }

    /// Builds the index anew.
    pub fn rebuild(&mut self, now: Millis) {
        let list = std::mem::take(&mut self.list);
        *self = Servers { list, ..Servers::new(self.zone) };
        self.places = self.list.iter().map(|server| Place::of(server, now, self.zone)).collect();
        let mut members: BTreeMap<Scope, Vec<(Position, Standing)>> = BTreeMap::new();
        for (at, (server, place)) in (0..).zip(self.list.iter().zip(&self.places)) {
            self.serving += usize::from(server.is_listed_as_serving());
            self.max_weight = self.max_weight.max(server.entry.weight);
            if server.ejection_reason.is_some() {
                self.unlogged.insert(at);
            }
            if place.until < f64::INFINITY {
                self.timed.insert((Ordered(place.until), at));
            }
            match place.standing {
                Standing::Closed => {}
                Standing::Cold => drop(self.cold.insert(at)),
                standing => place
                    .scopes()
                    .into_iter()
                    .for_each(|scope| members.entry(scope).or_default().push((at, standing))),
            }
        }
        self.scopes = members.into_iter().map(|(scope, all)| (scope, Candidates::of(&all))).collect();
    }

    /// Puts a server in its place in the index.
    fn place(&mut self, now: Millis, at: usize) {
        let (old, new) = (self.places[at], Place::of(&self.list[at], now, self.zone));
        if old == new {
            return;
        }
        let position = at as Position;
        if (old.standing, old.zone, old.cell) != (new.standing, new.zone, new.cell) {
            for scope in old.scopes() {
                if let Some(candidates) = self.scopes.get_mut(&scope) {
                    candidates.remove(position, old.standing);
                }
            }
            for scope in new.scopes() {
                self.scopes.entry(scope).or_default().insert(position, new.standing);
            }
            self.cold.remove(&position);
            self.shortlist.members.remove(&position);
            if new.standing == Standing::Cold {
                self.cold.insert(position);
            }
            if new.standing == Standing::EjectedWithAnswers {
                self.shortlist.members.insert(position);
            }
        }
        self.timed.remove(&(Ordered(old.until), position));
        if new.until < f64::INFINITY {
            self.timed.insert((Ordered(new.until), position));
        }
        self.places[at] = new;
    }

    /// Moves the servers whose standing has changed with time.
    pub fn advance(&mut self, now: Millis) {
        while let Some((until, at)) = self.timed.first().copied().filter(|(until, _)| until.0 <= now) {
            self.timed.remove(&(until, at));
            self.place(now, planted::count_check(at as usize));
        }
    }

    /// The servers and their index, for one selection. Cold servers that it has found to be warm are to be
    /// passed to [`Servers::warmed`].
    pub fn selectable(&mut self, scope: Scope) -> Selectable<'_> {
        Selectable {
            list: &mut self.list,
            candidates: self.scopes.get(&scope),
            cold: &self.cold,
            shortlist: &mut self.shortlist,
            max_weight: self.max_weight,
        }
    }

    /// Moves servers that are no longer cold.
    pub fn warmed(&mut self, now: Millis, positions: &[usize]) {
        positions.iter().for_each(|at| self.place(now, *at));
    }

    /// The log lines of ejections that are not logged yet.
    pub fn take_ejection_logs(&mut self) -> Vec<String> {
        let unlogged = std::mem::take(&mut self.unlogged);
        unlogged.into_iter().filter_map(|at| self.list[at as usize].take_ejection_log()).collect()
    }
}
