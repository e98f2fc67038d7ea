//! What all parts of a run share: the clock, the history, the servers and the list of them that discovery keeps.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{watch, Notify};

use crate::history::{Event, History, Limiter, Millis, Request, Server, Terms, What};
use crate::plan::Plan;

/// What discovery says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes work.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is gone.
    Removed,
}

impl ServerState {
    fn name(self) -> &'static str {
        match self {
            ServerState::Active => "active",
            ServerState::Leaving => "leaving",
            ServerState::Removed => "left",
        }
    }
}

/// A server as the harness keeps it.
pub struct ServerEntry {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What discovery says of it, and the version of the list in which that changed.
    pub state: ServerState,
    pub(crate) version: u64,
    /// Unix time of its last start, in milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// It answers nothing until then.
    pub hung_until: Millis,
    /// Its processes so far; a change ends listener and connections of the one before.
    pub generation: watch::Sender<u64>,
}

/// A limiter as the harness keeps it.
pub struct LimiterEntry {
    /// Where clients connect.
    pub addr: Cell<SocketAddr>,
    /// Where its two limiters of discovery are.
    pub agents: [SocketAddr; 2],
    /// Which of them its configuration names.
    pub active_agent: Cell<usize>,
    /// Its agent says and learns nothing.
    pub agent_silent: Cell<bool>,
    /// Its watches are mute until they are opened anew, which counts as done by then.
    pub muted_until: Cell<Millis>,
    /// Number of its newest watch; those before are mute where there was a reason for it.
    pub watch_count: Cell<u64>,
    /// The first watch that is not mute.
    pub first_unmuted_watch: Cell<u64>,
    /// Its watches are to end.
    pub close_watches: Notify,
    /// What counts as notified to it, by server.
    notified: RefCell<Vec<Option<ServerState>>>,
    /// Which of its processes runs.
    pub process_number: Cell<u32>,
    /// Clients may connect.
    pub accepts_clients: Cell<bool>,
    /// Clients that wait are to leave.
    pub disconnect_clients: Notify,
}

/// All that a run shares.
pub struct Environment {
    started: Instant,
    /// What goes wrong.
    pub plan: Plan,
    /// What limiters keep to.
    pub terms: Terms,
    events: RefCell<Vec<Event>>,
    /// Servers.
    pub servers: RefCell<Vec<ServerEntry>>,
    /// Limiters.
    pub limiters: Vec<LimiterEntry>,
    /// The version of the list.
    pub version: Cell<u64>,
    /// The list has changed, or an agent is back.
    pub changed: watch::Sender<u64>,
    next_number: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
    /// Clients ask no more.
    pub clients_done: Cell<bool>,
}

impl Environment {
    /// A run that begins now.
    pub fn new(
        plan: Plan,
        terms: Terms,
        servers: Vec<ServerEntry>,
        limiters: Vec<LimiterEntry>,
    ) -> Environment {
        let rng = fastrand::Rng::with_seed(plan.seed ^ 0x5eed);
        Environment {
            started: Instant::now(),
            plan,
            terms,
            events: RefCell::default(),
            servers: RefCell::new(servers),
            limiters,
            version: Cell::new(1),
            changed: watch::Sender::new(0),
            next_number: Cell::new(1),
            rng: RefCell::new(rng),
            clients_done: Cell::new(false),
        }
    }

    /// Milliseconds since the begin.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// A number that nothing else has.
    pub fn number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
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
    pub fn publish(&self, server: Server, state: ServerState, started: bool) {
        let version = self.version.get() + 1;
        self.version.set(version);
        {
            let mut servers = self.servers.borrow_mut();
            let entry = &mut servers[server];
            (entry.state, entry.version) = (state, version);
            if started {
                entry.started_ms = unix_ms();
            }
        }
        for limiter in 0..self.limiters.len() {
            self.notify_if_reachable(limiter);
        }
        self.changed.send_modify(|times| *times += 1);
    }

    /// What a limiter's agent has counts as notified, unless it is away, or its watch has fallen silent of late.
    pub fn notify_if_reachable(&self, limiter: Limiter) {
        let entry = &self.limiters[limiter];
        if !entry.agent_silent.get() && entry.muted_until.get() <= self.now() {
            self.notify(limiter);
        }
    }

    /// The list as it stands is notified to a limiter.
    pub fn notify(&self, limiter: Limiter) {
        let servers = self.servers.borrow();
        let mut notified = self.limiters[limiter].notified.borrow_mut();
        notified.resize(servers.len(), None);
        for (server, entry) in servers.iter().enumerate() {
            let takes = entry.state == ServerState::Active;
            let before = notified[server].map(|state| state == ServerState::Active);
            notified[server] = Some(entry.state);
            if before != Some(takes) {
                self.record(What::Told { limiter, server, takes });
            }
        }
    }

    /// A start is news to all that are notified of the list from now on.
    pub fn forget_notified(&self, server: Server) {
        for entry in &self.limiters {
            if let Some(notified) = entry.notified.borrow_mut().get_mut(server) {
                *notified = None;
            }
        }
    }

    /// The list in discovery's form: what has changed after a version, or all of it, without those that drain.
    pub fn server_list(&self, after: Option<u64>) -> String {
        let servers = self.servers.borrow();
        let wanted = |server: &ServerEntry| match after {
            Some(after) => server.version > after,
            None => server.state == ServerState::Active,
        };
        let entry = |(n, server): (usize, &ServerEntry)| {
            serde_json::json!({"id": format!("s-{n}"), "addr": server.addr, "zone": "a", "kind": "m", "cell": 0,
                "state": server.state.name(), "weight": 1.0, "started_ms": server.started_ms})
        };
        let servers: Vec<_> =
            servers.iter().enumerate().filter(|(_, server)| wanted(server)).map(entry).collect();
        let list =
            serde_json::json!({"version": self.version.get(), "full": after.is_none(), "servers": servers});
        format!("{list}\n")
    }

    /// A request's `X-Correlation-Id`.
    pub fn correlation_id(request: Request) -> String {
        format!("{request:016x}")
    }
}

impl LimiterEntry {
    /// A limiter with its limiters of discovery.
    pub fn new(agents: [SocketAddr; 2]) -> LimiterEntry {
        LimiterEntry {
            addr: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))),
            agents,
            active_agent: Cell::new(0),
            agent_silent: Cell::new(false),
            muted_until: Cell::new(0.0),
            watch_count: Cell::new(0),
            first_unmuted_watch: Cell::new(0),
            close_watches: Notify::new(),
            notified: RefCell::default(),
            process_number: Cell::new(0),
            accepts_clients: Cell::new(false),
            disconnect_clients: Notify::new(),
        }
    }
}

/// The wall clock.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
