//! What all parts of a run share: the clock, the history, the servers and the list of them that discovery keeps.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{watch, Notify};

use crate::history::{Event, History, Limiter, Millis, Request, Server, Terms, What};
use crate::plan::Plan;

/// What discovery says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is gone.
    Left,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Active => "active",
            State::Leaving => "leaving",
            State::Left => "left",
        }
    }
}

/// A server as the harness keeps it.
pub struct Host {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What discovery says of it, and the version of the list in which that changed.
    pub state: State,
    pub(crate) version: u64,
    /// Unix time of its last start, in milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// It answers nothing until then.
    pub hangs_until: Millis,
    /// Its processes so far; a change ends listener and connections of the one before.
    pub life: watch::Sender<u64>,
}

/// A limiter as the harness keeps it.
pub struct Place {
    /// Where clients connect.
    pub addr: Cell<SocketAddr>,
    /// Where its two places of discovery are.
    pub agents: [SocketAddr; 2],
    /// Which of them its configuration names.
    pub agent: Cell<usize>,
    /// Its agent says and learns nothing.
    pub away: Cell<bool>,
    /// Its watches are mute until they are opened anew, which counts as done by then.
    pub mute_until: Cell<Millis>,
    /// Number of its newest watch; those before are mute where there was a reason for it.
    pub watches: Cell<u64>,
    /// The first watch that is not mute.
    pub first_heard: Cell<u64>,
    /// Its watches are to end.
    pub watches_end: Notify,
    /// What counts as told to it, by server.
    told: RefCell<Vec<Option<State>>>,
    /// Which of its processes runs.
    pub process: Cell<u32>,
    /// Clients may connect.
    pub open: Cell<bool>,
    /// Clients that wait are to leave.
    pub leave: Notify,
}

/// All that a run shares.
pub struct World {
    began: Instant,
    /// What goes wrong.
    pub plan: Plan,
    /// What limiters keep to.
    pub terms: Terms,
    events: RefCell<Vec<Event>>,
    /// Servers.
    pub hosts: RefCell<Vec<Host>>,
    /// Limiters.
    pub places: Vec<Place>,
    /// The version of the list.
    pub version: Cell<u64>,
    /// The list has changed, or an agent is back.
    pub changed: watch::Sender<u64>,
    next: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
    /// Clients ask no more.
    pub over: Cell<bool>,
}

impl World {
    /// A run that begins now.
    pub fn new(plan: Plan, terms: Terms, hosts: Vec<Host>, places: Vec<Place>) -> World {
        let rng = fastrand::Rng::with_seed(plan.seed ^ 0x5eed);
        World {
            began: Instant::now(),
            plan,
            terms,
            events: RefCell::default(),
            hosts: RefCell::new(hosts),
            places,
            version: Cell::new(1),
            changed: watch::Sender::new(0),
            next: Cell::new(1),
            rng: RefCell::new(rng),
            over: Cell::new(false),
        }
    }

    /// Milliseconds since the begin.
    pub fn now(&self) -> Millis {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// A number that nothing else has.
    pub fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Draws something.
    pub fn draw<T>(&self, draw: impl FnOnce(&mut fastrand::Rng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// True so often.
    pub fn chance(&self, share: f64) -> bool {
        self.draw(|rng| rng.f64()) < share
    }

    /// Between two times, evenly.
    pub fn between(&self, low: Millis, high: Millis) -> Millis {
        low + (high - low) * self.draw(|rng| rng.f64())
    }

    /// Something has happened now.
    pub fn record(&self, what: What) {
        self.events.borrow_mut().push(Event { at: self.now(), what });
    }

    /// All that has happened.
    pub fn history(&self) -> History {
        History { terms: self.terms, events: self.events.borrow().clone() }
    }

    /// What discovery says of a server changes.
    pub fn publish(&self, server: Server, state: State, started: bool) {
        let version = self.version.get() + 1;
        self.version.set(version);
        {
            let mut hosts = self.hosts.borrow_mut();
            let host = &mut hosts[server];
            (host.state, host.version) = (state, version);
            if started {
                host.started_ms = unix_ms();
            }
        }
        for limiter in 0..self.places.len() {
            self.tell_if_reached(limiter);
        }
        self.changed.send_modify(|times| *times += 1);
    }

    /// What a limiter's agent has counts as told, unless it is away, or its watch has fallen silent of late.
    pub fn tell_if_reached(&self, limiter: Limiter) {
        let place = &self.places[limiter];
        if !place.away.get() && place.mute_until.get() <= self.now() {
            self.tell(limiter);
        }
    }

    /// The list as it stands is told to a limiter.
    pub fn tell(&self, limiter: Limiter) {
        let hosts = self.hosts.borrow();
        let mut told = self.places[limiter].told.borrow_mut();
        told.resize(hosts.len(), None);
        for (server, host) in hosts.iter().enumerate() {
            let takes = host.state == State::Active;
            let before = told[server].map(|state| state == State::Active);
            told[server] = Some(host.state);
            if before != Some(takes) {
                self.record(What::Told { limiter, server, takes });
            }
        }
    }

    /// A start is news to all that are told of the list from now on.
    pub fn forget_told(&self, server: Server) {
        for place in &self.places {
            if let Some(told) = place.told.borrow_mut().get_mut(server) {
                *told = None;
            }
        }
    }

    /// The list in discovery's form: what has changed after a version, or all of it, without those that drain.
    pub fn list(&self, after: Option<u64>) -> String {
        let hosts = self.hosts.borrow();
        let wanted = |h: &Host| match after {
            Some(after) => h.version > after,
            None => h.state == State::Active,
        };
        let entry = |(n, h): (usize, &Host)| {
            serde_json::json!({"id": format!("s-{n}"), "addr": h.addr, "zone": "a", "kind": "m", "cell": 0,
                "state": h.state.name(), "weight": 1.0, "started_ms": h.started_ms})
        };
        let servers: Vec<_> = hosts.iter().enumerate().filter(|(_, h)| wanted(h)).map(entry).collect();
        let list =
            serde_json::json!({"version": self.version.get(), "full": after.is_none(), "servers": servers});
        format!("{list}\n")
    }

    /// A request's `X-Correlation-Id`.
    pub fn correlation(request: Request) -> String {
        format!("{request:016x}")
    }
}

impl Place {
    /// A limiter with its places of discovery.
    pub fn new(agents: [SocketAddr; 2]) -> Place {
        Place {
            addr: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))),
            agents,
            agent: Cell::new(0),
            away: Cell::new(false),
            mute_until: Cell::new(0.0),
            watches: Cell::new(0),
            first_heard: Cell::new(0),
            watches_end: Notify::new(),
            told: RefCell::default(),
            process: Cell::new(0),
            open: Cell::new(false),
            leave: Notify::new(),
        }
    }
}

/// The wall clock.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
