//! Owns the one `Limiter` with its clock, timers, open requests and attempts: the only caller of `handle`.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use fawnhill::{Action, Condition, Event, Limiter, Load, Outcome, Request, RequestId, ServerId};
use hyper::header::HeaderValue;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, Notify};

use crate::config::Config;
use crate::discovery::{self, News, Sources};
use crate::peers;
use crate::servers::{self, Pool};

/// Time in milliseconds: Unix time at the start, then the steady clock. Discovery's start times need no
/// conversion, and a limiter that starts again never sees a moment twice.
struct Clock {
    began: Instant,
    unix_ms: f64,
}

impl Clock {
    fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }
    fn now(&self) -> f64 {
        self.unix_ms + self.began.elapsed().as_secs_f64() * 1000.0
    }
    fn instant(&self, at: f64) -> Instant {
        self.began + Duration::from_secs_f64(((at - self.unix_ms) / 1000.0).clamp(0.0, 1e9))
    }
}

/// The final answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// A server's body.
    Served(Bytes),
    /// Trying again is harmless, after so many milliseconds if not 0.
    Refused(f64),
    /// No promise.
    Failed,
}

/// What of a request goes on to a server unchanged.
pub struct Content {
    /// `GET` or `POST`.
    pub method: hyper::Method,
    /// Path and query.
    pub target: hyper::Uri,
    /// `X-Correlation-Id`.
    pub correlation: HeaderValue,
    /// `Idempotency-Key`.
    pub key: Option<HeaderValue>,
    /// The whole body.
    pub body: Bytes,
}

struct Open {
    content: Rc<Content>,
    answer: oneshot::Sender<Answer>,
    deadline: f64,
    attempts: u32,
    /// An attempt is out.
    out: bool,
}

struct Out {
    sent: f64,
    cancel: oneshot::Sender<Outcome>,
}

struct Known {
    addr: SocketAddr,
    takes: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake(u64),
    /// An attempt's time is up.
    Cap(RequestId, u32),
    /// The client's time is up.
    Deadline(RequestId),
}

struct State {
    limiter: Limiter,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    /// Microseconds of the clock, and what is due then.
    timers: BinaryHeap<Reverse<(u64, Due)>>,
    armed: u64,
    open: HashMap<RequestId, Open>,
    /// The `X-Correlation-Id` of each open request.
    named: HashSet<HeaderValue>,
    out: HashMap<(RequestId, u32), Out>,
    servers: HashMap<ServerId, Known>,
    next: RequestId,
}

impl State {
    /// Takes a request off the open ones.
    fn settle(&mut self, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        self.named.remove(&open.content.correlation);
        Some(open)
    }

    /// Drops what is next due but no longer means anything; true if the next moment has moved. Most requests
    /// end long before their time-outs, and each of these would wake an idle process.
    fn prune(&mut self) -> bool {
        let before = self.timers.len();
        while let Some(Reverse((_, what))) = self.timers.peek() {
            let wanted = match what {
                Due::Wake(token) => self.limiter.wants(*token),
                Due::Cap(id, attempt) => self.out.contains_key(&(*id, *attempt)),
                Due::Deadline(id) => self.open.contains_key(id),
            };
            if wanted {
                break;
            }
            self.timers.pop();
        }
        self.timers.len() < before
    }
}

/// The limiter with all that surrounds it; one thread, so that nothing is locked.
pub struct Driver {
    /// As told at the start.
    pub config: Config,
    /// Where the list of servers comes from.
    pub sources: Sources,
    /// Connections to servers.
    pub pool: RefCell<Pool>,
    /// The module wants the list: ends the watch's waiting.
    pub list_wanted: Notify,
    whole_wanted: Cell<bool>,
    told: Cell<bool>,
    /// SIGTERM has come.
    pub draining: Cell<bool>,
    clock: Clock,
    mail: Option<Rc<UdpSocket>>,
    state: RefCell<State>,
    timers_changed: Notify,
}

/// A list that was handed over at the start counts as good after this long without word from discovery.
const UNTOLD_MS: f64 = 2000.0;

fn micros(ms: f64) -> u64 {
    (ms * 1000.0).ceil() as u64
}

impl Driver {
    /// A limiter with the list of servers that it last had.
    pub fn new(config: Config, mail: Option<Rc<UdpSocket>>) -> Result<Rc<Driver>, String> {
        let clock = Clock::start();
        let limiter = Limiter::new(config.settings.clone(), config.seed, clock.now())
            .map_err(|e| format!("settings: {e}"))?;
        let state = State {
            limiter,
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: BinaryHeap::new(),
            armed: u64::MAX,
            open: HashMap::new(),
            named: HashSet::new(),
            out: HashMap::new(),
            servers: HashMap::new(),
            next: 0,
        };
        let driver = Rc::new(Driver {
            sources: Sources::new(config.discovery),
            pool: RefCell::new(Pool::new(config.most_servers, config.idle_ms)),
            config,
            list_wanted: Notify::new(),
            whole_wanted: Cell::new(false),
            told: Cell::new(false),
            draining: Cell::new(false),
            clock,
            mail,
            state: RefCell::new(state),
            timers_changed: Notify::new(),
        });
        if let Some(mut known) = driver.config.known.clone() {
            known.set_whole();
            let news = discovery::news(known, &driver);
            driver.apply(news);
        }
        Ok(driver)
    }

    /// One line for the operator.
    pub fn log(&self, line: &str) {
        // A log that nobody reads any more must not end the limiter, as `eprintln!` would.
        let _ = writeln!(std::io::stderr(), "{}: {line}", self.config.name);
    }

    /// Milliseconds of the module's clock.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// A request could be served: a server takes work, discovery has spoken or had its chance, and the module is
    /// ready to let requests in.
    pub fn ready(&self) -> bool {
        let told = self.told.get() || self.clock.began.elapsed().as_secs_f64() * 1000.0 > UNTOLD_MS;
        let state = self.state.borrow();
        told && !self.draining.get()
            && state.servers.values().any(|s| s.takes)
            && state.limiter.settled(self.now())
    }

    /// Reads the configuration again; of what it says only where discovery is can change while serving. One
    /// that makes no sense changes nothing.
    pub fn reload(&self) {
        match Config::reloaded() {
            Ok(new) if self.sources.turn_to(new.discovery) => {
                self.log(&format!("reload: discovery is at {} now", new.discovery));
            }
            Ok(_) => self.log("reload: nothing new"),
            Err(why) => self.log(&format!("reload: {why}; the old configuration stands")),
        }
    }

    /// Whether the module asked for the whole list; asked once.
    pub fn take_whole_wanted(&self) -> bool {
        self.whole_wanted.replace(false)
    }

    /// Takes one event in and does what the module answers.
    pub fn event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.work(&mut state);
    }

    /// Discovery's news.
    pub fn servers(self: &Rc<Self>, news: News) {
        self.told.set(true);
        self.apply(news);
    }

    fn apply(self: &Rc<Self>, news: News) {
        let mut state = self.state.borrow_mut();
        if news.whole {
            let mut pool = self.pool.borrow_mut();
            state.servers.retain(|id, _| {
                let stays = news.entries.iter().any(|(e, _)| e.server == *id);
                if !stays {
                    pool.drop_idle(id);
                }
                stays
            });
        }
        for (entry, addr) in &news.entries {
            let takes = entry.condition == Condition::Serving;
            let gone = entry.condition == Condition::Gone;
            let old = if gone {
                state.servers.remove(&entry.server)
            } else {
                state.servers.insert(entry.server.clone(), Known { addr: *addr, takes })
            };
            let news = match &old {
                Some(old) => gone || old.takes != takes || old.addr != *addr,
                None => !gone,
            };
            if news {
                self.log(&format!("server {} at {addr}: {:?}", entry.server, entry.condition));
            }
            if old.is_some_and(|o| !takes || o.addr != *addr) {
                self.pool.borrow_mut().drop_idle(&entry.server);
            }
        }
        let entries = news.entries.into_iter().map(|(e, _)| e).collect();
        state.events.push_back(Event::Servers { whole: news.whole, entries });
        self.work(&mut state);
    }

    /// A client's request that has come whole: its id, and where its final answer will come from. Nothing if
    /// one with the same `X-Correlation-Id` is open: two at the servers could not be told apart.
    pub fn request(
        self: &Rc<Self>,
        content: Content,
        mut request: Request,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let mut state = self.state.borrow_mut();
        if !state.named.insert(content.correlation.clone()) {
            return None;
        }
        let id = state.next;
        state.next = state.next.wrapping_add(1);
        request.id = id;
        let deadline = self.now() + request.budget_ms;
        let (answer, answered) = oneshot::channel();
        let open = Open { content: Rc::new(content), answer, deadline, attempts: 0, out: false };
        state.open.insert(id, open);
        self.due(&mut state, deadline, Due::Deadline(id));
        state.events.push_back(Event::Request(request));
        self.work(&mut state);
        Some((id, answered))
    }

    /// The client has gone before its answer.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        if state.settle(id).is_some() {
            state.events.push_back(Event::ClientGone { id });
            self.work(&mut state);
        }
    }

    /// Where a server listens, if it takes work at this moment.
    pub fn address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.state.borrow().servers.get(server).filter(|s| s.takes).map(|s| s.addr)
    }

    /// An attempt has ended; its connection is closed or back in the pool by now. An answer in time goes to
    /// the client; one for a request that is over is dropped, yet the module hears of the outcome.
    pub fn ended(self: &Rc<Self>, id: RequestId, attempt: u32, outcome: Outcome, body: Option<Bytes>) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let Some(out) = state.out.remove(&(id, attempt)) else { return };
        let mut settled = true;
        if let Some(open) = state.open.get_mut(&id) {
            open.out = false;
            settled = false;
        }
        if outcome == Outcome::Ok {
            if let Some(open) = state.settle(id) {
                settled = true;
                let _ = open.answer.send(Answer::Served(body.unwrap_or_default()));
            }
        }
        let took_ms = self.now() - out.sent;
        state.events.push_back(attempt_ended(id, attempt, outcome, took_ms, settled));
        self.work(state);
    }

    fn work(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.limiter.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(state, action);
            }
            state.actions = actions;
        }
        if state.prune() {
            self.timers_changed.notify_one();
        }
    }

    fn act(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { id, server, cap_ms } => self.send(state, id, server, cap_ms),
            Action::Cancel { id, attempt } => stop(state, id, attempt, Outcome::Cancelled),
            Action::Refuse { id, retry_ms } => answer(state, id, Answer::Refused(retry_ms)),
            Action::Fail { id } => answer(state, id, Answer::Failed),
            Action::Wake { after_ms, token } => {
                self.due(state, self.now() + after_ms.max(0.0), Due::Wake(token));
            }
            Action::Tell { to, body } => {
                let to = match to {
                    Some(position) => self.config.peers.get(position as usize).copied(),
                    None => self.config.peers_all,
                };
                peers::tell(self.mail.as_deref(), to, &body);
            }
            Action::CloseIdle { server } => {
                self.pool.borrow_mut().drop_idle(&server);
            }
            // The watch is always on; asking again only ends its waiting.
            Action::Subscribe(_) => self.list_wanted.notify_waiters(),
            Action::FetchList => {
                self.whole_wanted.set(true);
                self.list_wanted.notify_waiters();
            }
            Action::Log(line) => self.log(&line),
            // Servers may not be probed here, and limiters talk as peers: the module does neither. Should it,
            // it hears at once that nothing was sent.
            Action::Probe { server } => {
                state.events.push_back(Event::Probed {
                    server,
                    outcome: Outcome::NotSent,
                    load: Load::default(),
                });
            }
            Action::Count { name, .. } => {
                state.events.push_back(Event::Counted { name, outcome: Outcome::NotSent, total: 0.0 });
            }
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, id: RequestId, server: ServerId, cap_ms: f64) {
        let Some(open) = state.open.get_mut(&id) else { return };
        let now = self.now();
        let attempt = open.attempts;
        open.attempts += 1;
        let takes = state.servers.get(&server).is_some_and(|s| s.takes);
        if open.out || !takes {
            if open.out {
                self.log(&format!("request {id}: a second attempt beside the first was not sent"));
            }
            let settled = false;
            state.events.push_back(attempt_ended(id, attempt, Outcome::NotSent, 0.0, settled));
            return;
        }
        open.out = true;
        let end = if cap_ms > 0.0 { open.deadline.min(now + cap_ms) } else { open.deadline };
        let (cancel, cancelled) = oneshot::channel();
        let job = servers::Job { id, attempt, server, content: open.content.clone(), end };
        state.out.insert((id, attempt), Out { sent: now, cancel });
        self.due(state, end, Due::Cap(id, attempt));
        tokio::task::spawn_local(servers::attempt(self.clone(), job, cancelled));
    }

    fn due(&self, state: &mut State, at_ms: f64, what: Due) {
        let at = micros(at_ms);
        state.timers.push(Reverse((at, what)));
        if at < state.armed {
            self.timers_changed.notify_one();
        }
    }

    /// Fires what is due, for ever.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.fire();
            let armed = next.map(|at| self.clock.instant(at as f64 / 1000.0));
            let changed = self.timers_changed.notified();
            match armed {
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {}
                    () = changed => {}
                },
                None => changed.await,
            }
        }
    }

    /// Fires what is due; the moment at which the next is.
    fn fire(self: &Rc<Self>) -> Option<u64> {
        let mut state = self.state.borrow_mut();
        loop {
            let Some(Reverse((at, what))) = state.timers.peek().copied() else {
                state.armed = u64::MAX;
                return None;
            };
            if self.now() * 1000.0 < at as f64 {
                state.armed = at;
                return Some(at);
            }
            state.timers.pop();
            match what {
                Due::Wake(token) => state.events.push_back(Event::Wake { token }),
                Due::Cap(id, attempt) => stop(&mut state, id, attempt, Outcome::TimedOut),
                // The backstop: the module ends its requests before this. Nothing is sent after it.
                Due::Deadline(id) => {
                    if state.open.contains_key(&id) {
                        self.log(&format!("request {id}: failed at its deadline"));
                        answer(&mut state, id, Answer::Failed);
                        state.events.push_back(Event::ClientGone { id });
                    }
                }
            }
            self.work(&mut state);
        }
    }
}

fn attempt_ended(id: RequestId, attempt: u32, outcome: Outcome, took_ms: f64, settled: bool) -> Event {
    Event::AttemptEnded { id, attempt, outcome, took_ms, settled, units: None, load: Load::default() }
}

/// Tells an attempt to close its connection and then to end as told.
fn stop(state: &mut State, id: RequestId, attempt: u32, how: Outcome) {
    if let Some(out) = state.out.get_mut(&(id, attempt)) {
        let (spent, _) = oneshot::channel();
        let _ = std::mem::replace(&mut out.cancel, spent).send(how);
    }
}

/// Gives the one final answer. A client that has left meanwhile gets none.
fn answer(state: &mut State, id: RequestId, answer: Answer) {
    if let Some(open) = state.settle(id) {
        let _ = open.answer.send(answer);
    }
}
