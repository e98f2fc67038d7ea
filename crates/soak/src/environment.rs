//! State shared by all parts of a run: the clock, the history, the servers, and the list of them that discovery
//! sends.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{watch, Notify};

use crate::history::{Event, History, Limiter, Millis, Request, Server, Terms, What};
use crate::plan::Plan;

/// State of a server as discovery announces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// The server takes new work.
    Active,
    /// The server drains: it finishes the work that it has.
    Leaving,
    /// The server was removed.
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

/// A server as the test environment sees it.
pub struct ServerEntry {
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// State that discovery announces, and the version of the list in which it last changed.
    pub state: ServerState,
    pub(crate) version: u64,
    /// Unix time of its last start in milliseconds; 0 if it has run since before the test.
    pub started_ms: u64,
    /// Time until which it answers nothing.
    pub hung_until: Millis,
    /// Whether its last process vanished with its machine: its connections stay open and silent.
    pub vanished: bool,
    /// When its process started that runs now; infinite while none does.
    pub restarted_at: Millis,
    /// Counts its processes; a change closes the listener and connections of the process before.
    pub generation: watch::Sender<u64>,
}

/// A limiter as the test environment sees it.
pub struct LimiterEntry {
    /// The address to which clients connect.
    pub addr: Cell<SocketAddr>,
    /// Addresses of its two discovery agents.
    pub agents: [SocketAddr; 2],
    /// Index of the agent that its configuration names.
    pub active_agent: Cell<usize>,
    /// Whether its agent sends nothing and receives no updates.
    pub agent_silent: Cell<bool>,
    /// Time by which a limiter with muted watches has to have opened a new watch; what the muted ones miss
    /// counts as notified from then on.
    pub muted_until: Cell<Millis>,
    /// Number of its newest watch.
    pub watch_count: Cell<u64>,
    /// The first watch that is not muted; earlier ones send nothing more.
    pub first_unmuted_watch: Cell<u64>,
    /// Notified to close its watches.
    pub close_watches: Notify,
    /// State of each server that the limiter counts as notified of.
    notified: RefCell<Vec<Option<ServerState>>>,
    /// Number of its present process.
    pub process_number: Cell<u32>,
    /// Whether clients may connect.
    pub accepts_clients: Cell<bool>,
    /// Notified to disconnect the clients that wait for an answer.
    pub disconnect_clients: Notify,
}

/// State shared by all parts of a run.
pub struct Environment {
    started: Instant,
    /// The faults of the run.
    pub plan: Plan,
    /// The terms that limiters have to keep.
    pub terms: Terms,
    events: RefCell<Vec<Event>>,
    /// The servers.
    pub servers: RefCell<Vec<ServerEntry>>,
    /// The limiters.
    pub limiters: Vec<LimiterEntry>,
    /// Version of the server list.
    pub version: Cell<u64>,
    /// Changes when the list does, or when an agent is no longer silent.
    pub changed: watch::Sender<u64>,
    next_number: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
    /// Whether clients send no more requests.
    pub clients_done: Cell<bool>,
}

impl Environment {
    /// Starts a run now.
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

    /// Returns the milliseconds since the start of the run.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns a number that is unique in the run.
    pub fn number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Draws from the run's random generator.
    pub fn draw<T>(&self, draw: impl FnOnce(&mut fastrand::Rng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Returns true with the given probability.
    pub fn chance(&self, share: f64) -> bool {
        self.draw(|rng| rng.f64()) < share
    }

    /// Draws a time uniformly between two bounds.
    pub fn between(&self, low: Millis, high: Millis) -> Millis {
        low + (high - low) * self.draw(|rng| rng.f64())
    }

    /// Records an event that happens now.
    pub fn record(&self, what: What) {
        self.events.borrow_mut().push(Event { at: self.now(), what });
    }

    /// Returns the events so far.
    pub fn history(&self) -> History {
        History { terms: self.terms, events: self.events.borrow().clone() }
    }

    /// Changes the announced state of a server.
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

    /// Counts a limiter as notified of the present list, unless its agent is silent or its watches are muted.
    pub fn notify_if_reachable(&self, limiter: Limiter) {
        let entry = &self.limiters[limiter];
        if !entry.agent_silent.get() && entry.muted_until.get() <= self.now() {
            self.notify(limiter);
        }
    }

    /// Counts a limiter as notified of the present list.
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

    /// Forgets what limiters were notified of about a server, so that its start counts as new to each of them.
    pub fn forget_notified(&self, server: Server) {
        for entry in &self.limiters {
            if let Some(notified) = entry.notified.borrow_mut().get_mut(server) {
                *notified = None;
            }
        }
    }

    /// Returns the list in discovery's form: the changes after a version, or else all servers that take work.
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

    /// Returns the `X-Correlation-Id` of a request.
    pub fn correlation_id(request: Request) -> String {
        format!("{request:016x}")
    }
}

impl LimiterEntry {
    /// Creates a limiter that listens at `addr`, with two discovery agents.
    pub fn new(addr: SocketAddr, agents: [SocketAddr; 2]) -> LimiterEntry {
        LimiterEntry {
            addr: Cell::new(addr),
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

/// Returns the Unix time in milliseconds.
#[expect(clippy::disallowed_methods, reason = "discovery names start times of servers as Unix time")]
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
