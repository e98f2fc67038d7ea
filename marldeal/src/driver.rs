//! The host of the engine: gives it the time and does what it asks. Owns neither clients' nor servers' sockets.

mod clock;
mod permission;
mod proxied;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use fawnhill::{Condition, Effect, Outcome, Request, RequestId, ServerId};
use hyper::header::HeaderValue;
use marldeal_bodies::Budget;
use marldeal_engine::counters::RequestCounters;
use marldeal_engine::{Engine, Input, Output};
use marldeal_external as external;
use marldeal_lifecycle::stalls::StallDetector;
use marldeal_lifecycle::{AlreadyEnding, Command, Lifecycle, Phase};
use marldeal_outcomes::{AnswerCache, KeyedRequest, Lookup};
use marldeal_permit::violation::ViolationCounts;
use marldeal_snapshot::{Assessment, Snapshot, SnapshotKind};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tracing::{debug, info};

use crate::payload::{Chunk, Payload};
use crate::reload::ReloadTrigger;
use crate::settings::config::Config;
use crate::settings::server_list::{self, DiscoverySource, ServerUpdate, MAX_SERVERS};
use crate::socket::SharedSocket;
use clock::Clock;
use proxied::Proxied;
pub use proxied::ProxyReply;

/// The final answer to a client of the direct front.
#[derive(Debug)]
pub enum Answer {
    /// A server's body.
    Served(Bytes),
    /// A server's body that is too long to be read whole first, of so many bytes if that was told.
    Streamed(mpsc::Receiver<Chunk>, Option<u64>),
    /// Trying again is harmless, after so many milliseconds if not 0.
    Refused(f64),
    /// No promise.
    Failed,
}

/// What of a request goes on to a server unchanged.
pub struct RequestContent {
    /// `GET` or `POST`.
    pub method: hyper::Method,
    /// Path and query.
    pub target: hyper::Uri,
    /// `X-Correlation-Id`.
    pub correlation_id: HeaderValue,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: Payload,
    /// The client's whole time, in milliseconds.
    pub budget_ms: f64,
    /// How long its final answer is kept by its key, in milliseconds; nothing for one that is not.
    pub answer_retention_ms: Option<f64>,
    /// What a second execution would do.
    pub effect: marldeal_permit::Effect,
    /// When the first attempt that may have run went out.
    pub may_have_run_since: Cell<Option<f64>>,
    /// When the present attempt went out.
    pub attempt_sent_at: Cell<Option<f64>>,
}

impl RequestContent {
    /// What was asked under its key: the path names class and firm.
    fn question(&self) -> Option<KeyedRequest<'_>> {
        let key = self.idempotency_key.as_ref()?.as_bytes();
        Some(KeyedRequest { scope: self.target.path().as_bytes(), key, content: self.body.small()? })
    }
}

/// One attempt that this program makes itself.
pub struct AttemptJob {
    /// Which request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: u32,
    /// Where to.
    pub server: ServerId,
    /// What.
    pub content: Rc<RequestContent>,
    /// When it is given up, in the module's milliseconds.
    pub deadline: f64,
}

/// Carries attempts to servers.
pub trait Upstream {
    /// Starts an attempt, and reports its end with [`Driver::attempt_ended`]. `stopped` calls it off.
    fn start(&self, driver: Rc<Driver>, job: AttemptJob, stopped: oneshot::Receiver<Outcome>);
    /// Closes the idle connections to a server.
    fn close_idle(&self, server: &ServerId);
    /// Closes idle connections until no more than so many are open, where that can be.
    fn trim(&self, most: usize);
}

/// A request of the direct front, until its final answer.
struct Direct {
    content: Rc<RequestContent>,
    answer: oneshot::Sender<Answer>,
    client: SharedSocket,
    /// When its client was last seen to be connected.
    seen: Cell<f64>,
}

/// An attempt that is out.
struct Out {
    /// Calls it off.
    cancel: oneshot::Sender<Outcome>,
    /// It is given up then; infinite where a body goes on as it comes.
    deadline: f64,
}

struct State {
    engine: Engine,
    proxied: Option<Proxied>,
    outputs: VecDeque<Output>,
    /// Keeps its room from call to call.
    spare: Vec<Output>,
    direct: HashMap<RequestId, Direct>,
    out: HashMap<(RequestId, u32), Out>,
    addresses: HashMap<ServerId, SocketAddr>,
    /// When the engine is to be called again, as last told to the timers.
    armed: Option<f64>,
}

impl State {
    /// Notes when the engine is due next; true if that has changed.
    fn rearm(&mut self) -> bool {
        let mut next = self.engine.next_due();
        if let Some(proxied) = &mut self.proxied {
            next = next.into_iter().chain(proxied.machine.next_due()).min_by(f64::total_cmp);
        }
        std::mem::replace(&mut self.armed, next) != next
    }
}

/// How often the configuration was read again, with what result.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReloadCounts {
    /// It took effect, or told nothing new.
    pub applied: u64,
    /// It had a mistake, and nothing changed.
    pub rejected: u64,
}

/// What operators are told.
#[derive(Debug, Clone)]
pub struct DriverStats {
    /// Requests and attempts.
    pub request_counters: RequestCounters,
    /// Servers in the list.
    pub discovered: usize,
    /// Of these, those that the module avoids now.
    pub ejected: usize,
    /// Reloads.
    pub reloads: ReloadCounts,
    /// Attempts that were not sent, since something had changed after the decision.
    pub denied: u64,
    /// Rules that this process broke, as far as it can see.
    pub violations: u64,
}

/// The engine with all that surrounds it; one thread, so that nothing is locked.
pub struct Driver {
    /// As told at the start.
    pub config: Arc<Config>,
    /// Where the list of servers comes from.
    pub sources: DiscoverySource,
    /// The module wants the list anew; how often it has asked for all of it. Each watch hears of it, whatever it is at.
    pub list_refresh: watch::Sender<u64>,
    told: Cell<bool>,
    /// The sockets over which sources of the list are watched, by the sources' numbers.
    watches: RefCell<BTreeMap<u32, SharedSocket>>,
    /// All that discovery had told by then has been read, also what came while the process stood still.
    list_read: Cell<f64>,
    violations: Cell<ViolationCounts>,
    denied: Cell<u64>,
    life: RefCell<Lifecycle>,
    /// Whether the process stood still of late.
    pauses: RefCell<StallDetector>,
    /// A command has changed the phase.
    pub phase_changed: Notify,
    reloads: Cell<ReloadCounts>,
    clock: Clock,
    /// Where peers are told and heard; nowhere while another process of this limiter does.
    mail: RefCell<Option<Rc<UdpSocket>>>,
    /// The mail has been closed.
    pub peer_socket_closed: Notify,
    /// A predecessor has told what it knows.
    follows: Cell<bool>,
    /// Another process of this limiter lives: each holds half of what one may.
    overlaps: Cell<bool>,
    upstream: Rc<dyn Upstream>,
    state: RefCell<State>,
    /// Final answers by key, where they are kept.
    record: RefCell<Option<AnswerCache>>,
    timers_changed: Notify,
    /// Bytes of requests' bodies that are held.
    pub body_budget: Rc<Budget>,
}

/// Longest datagram between limiters.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// A list that was handed over at the start counts as good after this long without word from discovery.
const UNTOLD_MS: f64 = 2000.0;

impl Driver {
    /// A limiter with the list of servers that it last had; `beside` one that serves in its place still.
    pub fn new(config: Arc<Config>, upstream: Rc<dyn Upstream>, beside: bool) -> Result<Rc<Driver>, String> {
        let clock = Clock::start();
        let engine = Engine::new(config.settings.clone(), config.seed, clock.now())
            .map_err(|e| format!("settings: {e}"))?;
        let state = State {
            engine,
            proxied: None,
            outputs: VecDeque::new(),
            spare: Vec::new(),
            direct: HashMap::new(),
            out: HashMap::new(),
            addresses: HashMap::new(),
            armed: None,
        };
        let life = match beside {
            true => Lifecycle::beside_predecessor(config.timings),
            false => Lifecycle::new(config.timings),
        };
        let driver = Rc::new(Driver {
            sources: DiscoverySource::new(config.discovery),
            body_budget: Budget::new(config.max_body_bytes),
            config,
            list_refresh: watch::Sender::new(0),
            told: Cell::new(false),
            watches: RefCell::default(),
            list_read: Cell::new(f64::NEG_INFINITY),
            violations: Cell::default(),
            denied: Cell::new(0),
            life: RefCell::new(life),
            pauses: RefCell::default(),
            phase_changed: Notify::new(),
            reloads: Cell::default(),
            clock,
            mail: RefCell::default(),
            peer_socket_closed: Notify::new(),
            follows: Cell::new(false),
            overlaps: Cell::new(beside),
            upstream,
            state: RefCell::new(state),
            record: RefCell::new(None),
            timers_changed: Notify::new(),
        });
        if let Some(mut known) = driver.config.known_servers.clone() {
            known.set_full();
            let (news, notes) = server_list::server_update(known, &driver.config.names);
            notes.iter().for_each(|note| info!("{note}"));
            driver.apply(news);
        }
        Ok(driver)
    }

    /// Milliseconds of the module's clock.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// A request could be served: a server takes work, discovery has spoken or had its chance, and the module is
    /// ready to let requests in.
    pub fn can_serve(&self) -> bool {
        let told = self.told.get() || self.since_start_ms() > UNTOLD_MS;
        let now = self.now();
        let engine = &self.state.borrow().engine;
        // Beside a predecessor its accounts are still to come, as full as they are: nothing has to fill here first.
        let follows = self.follows.get() && self.phase() == Phase::Warming && engine.has_servers();
        let able = told && (follows || engine.is_ready(now));
        self.life.borrow_mut().set_can_serve(now, able);
        able
    }

    fn since_start_ms(&self) -> f64 {
        self.clock.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Clients may come.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.life.borrow().is_ready()
    }

    /// What this limiter is at.
    pub fn phase(&self) -> Phase {
        self.life.borrow().phase()
    }

    /// Asks the lifecycle something, at this moment.
    pub fn with_lifecycle<T>(&self, ask: impl Fn(&Lifecycle, f64) -> T) -> T {
        ask(&self.life.borrow(), self.now())
    }

    /// Takes a command of the operator, the platform or a successor.
    ///
    /// # Errors
    /// The process is ending.
    pub fn handle_command(&self, command: Command) -> Result<Phase, AlreadyEnding> {
        self.can_serve();
        let before = self.phase();
        let now = self.now();
        let said = self.life.borrow_mut().handle(now, command);
        if self.phase() != before {
            let waited_ms = self.pauses.borrow_mut().max_queued_ms(now);
            self.life.borrow_mut().backdate_command(waited_ms);
            let phase = self.phase();
            info!(event = "phase", from = %before, to = %phase, "{before} until now, {phase} from now on");
            self.phase_changed.notify_waiters();
        }
        said
    }

    /// Binds the address for peers' datagrams, where there is one.
    ///
    /// # Errors
    /// It cannot be bound, as while another process has it.
    pub async fn open_peer_socket(&self) -> std::io::Result<Option<Rc<UdpSocket>>> {
        let Some(at) = self.config.peer_listen else { return Ok(None) };
        let socket = Rc::new(UdpSocket::bind(at).await?);
        *self.mail.borrow_mut() = Some(socket.clone());
        Ok(Some(socket))
    }

    /// Tells and hears peers no more: nothing is granted from here on.
    pub fn close_peer_socket(&self) {
        drop(self.mail.borrow_mut().take());
        self.peer_socket_closed.notify_waiters();
    }

    /// Another process of this limiter lives, or none does any more.
    pub fn set_overlapping(&self, overlaps: bool) {
        self.overlaps.set(overlaps);
        self.body_budget.set_max_bytes(self.share_of(self.config.max_body_bytes));
        self.upstream.trim(self.share_of(self.config.max_server_connections));
    }

    /// How much of a bound this process may use.
    pub fn share_of(&self, most: usize) -> usize {
        if self.overlaps.get() {
            most / 2
        } else {
            most
        }
    }

    /// Closes all idle connections to servers.
    pub fn close_idle_connections(&self) {
        self.upstream.trim(0);
    }

    /// What is known now, as bytes.
    pub fn snapshot(&self, grade: SnapshotKind) -> Vec<u8> {
        self.state.borrow().engine.snapshot(self.now(), grade).to_bytes(&self.config.settings)
    }

    /// Learns what another process of this limiter knew; tells what was made of it.
    pub fn restore_snapshot(self: &Rc<Self>, bytes: &[u8]) -> String {
        let read = match Snapshot::from_bytes(bytes, &self.config.settings) {
            Ok(read) => read,
            Err(why) => return format!("{why}; it starts as if alone"),
        };
        let now = self.now();
        let belief = marldeal_snapshot::assess(read, now);
        let said = match &belief {
            Assessment::SameLimiter { state, .. } => format!(
                "goes on as the same limiter with {} servers, {} customers, {} accounts",
                state.servers.len(),
                state.customers.len(),
                state.accounts.len()
            ),
            Assessment::Hints { .. } => "knows the servers; ceilings start as if spent".to_string(),
            Assessment::Expired { age_ms } => format!("a snapshot {age_ms} ms old is not believed"),
        };
        self.follows.set(!matches!(belief, Assessment::Expired { .. }));
        let mut state = self.state.borrow_mut();
        state.engine.restore(now, belief);
        if state.rearm() {
            self.timers_changed.notify_one();
        }
        said
    }

    /// What has been counted, and how things stand.
    pub fn stats(&self) -> DriverStats {
        let state = self.state.borrow();
        DriverStats {
            request_counters: state.engine.counters().clone(),
            discovered: state.addresses.len(),
            ejected: state.engine.ejected_servers(self.now()),
            reloads: self.reloads.get(),
            denied: self.denied.get(),
            violations: self.violations().total(),
        }
    }

    /// Counts something that happens outside the engine.
    pub fn update_counters(&self, what: impl Fn(&mut RequestCounters)) {
        what(self.state.borrow_mut().engine.counters_mut());
    }

    /// New names come so fast that the module refuses those it has never seen.
    pub fn refuses_new_customers(&self) -> bool {
        self.state.borrow().engine.refuses_new_customers()
    }

    /// Reads the configuration again; of what it says only where discovery is can change while serving. One that cannot be
    /// read, or makes no sense, changes nothing: false. What is counted is signals, not readings.
    pub fn reload(&self, trigger: ReloadTrigger) -> bool {
        let new = match Config::reload() {
            Ok(new) => new,
            Err(why) => {
                if trigger == ReloadTrigger::Signal {
                    self.count_reload(|reloads| reloads.rejected += 1);
                    info!(
                        event = "reload",
                        read = false,
                        "reload: {why}; the old configuration stands, and it is tried again"
                    );
                }
                return false;
            }
        };
        self.count_reload(|reloads| reloads.applied += 1);
        match self.sources.switch_to(new.discovery) {
            true => info!(event = "reload", read = true, "reload: discovery is at {} now", new.discovery),
            false => info!(event = "reload", read = true, "reload: nothing new"),
        }
        true
    }

    fn count_reload(&self, count: impl Fn(&mut ReloadCounts)) {
        let mut reloads = self.reloads.get();
        count(&mut reloads);
        self.reloads.set(reloads);
    }

    /// A peer has told something.
    pub fn receive_peer_message(self: &Rc<Self>, from: u32, body: Vec<u8>) {
        let mut state = self.state.borrow_mut();
        self.input(&mut state, Input::MessageReceived { from, body });
        self.perform(&mut state, None);
    }

    /// Discovery's news.
    pub fn update_servers(self: &Rc<Self>, news: ServerUpdate) {
        let first = !self.told.replace(true);
        self.apply(news);
        if first {
            self.phase_changed.notify_waiters();
        }
    }

    fn apply(self: &Rc<Self>, mut news: ServerUpdate) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let told = news.entries.len();
        let mut room = MAX_SERVERS - if news.full { 0 } else { state.addresses.len() };
        news.entries.retain(|(entry, _)| {
            let known = !news.full && state.addresses.contains_key(&entry.server);
            let stays = known || entry.condition == Condition::Gone || room > 0;
            room -= usize::from(stays && !known && entry.condition != Condition::Gone);
            stays
        });
        if news.entries.len() < told {
            let over = told - news.entries.len();
            info!("discovery: {over} servers beyond {MAX_SERVERS} were passed over");
        }
        if news.full {
            state.addresses.retain(|id, _| {
                let stays = news.entries.iter().any(|(e, _)| e.server == *id);
                if !stays {
                    self.upstream.close_idle(id);
                }
                stays
            });
        }
        for (entry, addr) in &news.entries {
            let (id, gone) = (&entry.server, entry.condition == Condition::Gone);
            let took = state.engine.accepts_requests(id);
            let old =
                if gone { state.addresses.remove(id) } else { state.addresses.insert(id.clone(), *addr) };
            let changed = match old {
                Some(old) => gone || took != (entry.condition == Condition::Serving) || old != *addr,
                None => !gone,
            };
            if changed {
                let state = entry.condition;
                info!(event = "server", server = %id, %addr, ?state, "server {id} at {addr}: {state:?}");
            }
            if old.is_some_and(|old| entry.condition != Condition::Serving || old != *addr) {
                self.upstream.close_idle(id);
            }
        }
        let entries = news.entries.into_iter().map(|(e, _)| e).collect();
        self.input(state, Input::Servers { whole: news.full, entries });
        self.perform(state, None);
    }

    /// A client's request that has come whole: its id, and where its final answer will come from. Nothing if
    /// one with the same `X-Correlation-Id` is open.
    pub fn submit(
        self: &Rc<Self>,
        content: RequestContent,
        mut request: Request,
        client: SharedSocket,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        // Its client counts from when it was sent: while this process stood still, it may have lain here. The clock of
        // one whose body is still to come has not begun.
        if !matches!(content.body, Payload::Streamed(_)) {
            request.budget_ms -= self.pauses.borrow_mut().max_queued_ms(self.now());
        }
        // Past that nobody is left to answer.
        request.budget_ms = request.budget_ms.min(self.with_lifecycle(Lifecycle::remaining_ms));
        let mut state = self.state.borrow_mut();
        let correlation_id = content.correlation_id.as_bytes().into();
        let id = self.input(&mut state, Input::Request { correlation_id, request })?;
        if matches!(content.body, Payload::Streamed(_)) {
            self.input(&mut state, Input::Uploading { id });
        }
        let (answer, answered) = oneshot::channel();
        let seen = Cell::new(self.now());
        state.direct.insert(id, Direct { content: Rc::new(content), answer, client, seen });
        self.perform(&mut state, None);
        Some((id, answered))
    }

    /// Final answers to keyed requests are kept from now on.
    pub fn enable_answer_cache(&self, bounds: marldeal_outcomes::Limits) {
        *self.record.borrow_mut() = Some(AnswerCache::new(bounds));
    }

    /// Holds units of quotas ahead of need, for so many customers at most.
    pub fn enable_prefetch(&self, most: usize) {
        self.state.borrow_mut().engine.enable_prefetch(most);
    }

    /// How long the answer to a request is kept from when it came: the class's window, in which servers drop its repeats.
    pub fn answer_retention_ms(&self, request: &Request) -> Option<f64> {
        let class = self.config.settings.classes.get(request.class)?;
        (class.effect == Effect::Keyed && self.record.borrow().is_some()).then_some(class.window_ms)
    }

    /// The answer that there was to this very request, asked before under its key.
    pub fn cached_answer(&self, content: &RequestContent) -> Option<Bytes> {
        content.answer_retention_ms?;
        let found = self.record.borrow_mut().as_mut()?.lookup(self.now(), &content.question()?);
        match found {
            Lookup::Hit(body) => Some(body),
            // Servers judge what was asked differently under one key: they know the key as well.
            Lookup::Miss | Lookup::KeyReused => None,
        }
    }

    /// An attempt's last byte has been written.
    pub fn attempt_written(self: &Rc<Self>, id: RequestId, attempt: u32) {
        let mut state = self.state.borrow_mut();
        self.check_written(&state, id, attempt);
        self.input(&mut state, Input::Written { id, attempt });
        self.perform(&mut state, None);
    }

    /// An attempt's answer is passed on as it comes: where its pieces go; nothing if nobody waits for them any more.
    pub fn begin_streaming(
        self: &Rc<Self>,
        job: &AttemptJob,
        length: Option<u64>,
    ) -> Option<mpsc::Sender<Chunk>> {
        let mut state = self.state.borrow_mut();
        let direct = state.direct.remove(&job.id)?;
        // One piece waits: the pace is the reader's.
        let (pieces, read) = mpsc::channel(1);
        direct.answer.send(Answer::Streamed(read, length)).ok()?;
        self.input(&mut state, Input::Streaming { id: job.id, attempt: job.attempt });
        self.perform(&mut state, None);
        Some(pieces)
    }

    /// The client has gone, or does not read on, in the middle of its answer.
    pub fn reader_disconnected(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        self.input(&mut state, Input::ClientDisconnected { id });
        self.perform(&mut state, None);
    }

    /// The client has gone before its answer.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let waited = state.direct.remove(&id).is_some();
        drop(state);
        if waited {
            self.reader_disconnected(id);
        }
    }

    /// Where a server listens, if it takes work at this moment.
    pub fn server_address(&self, server: &ServerId) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.addresses.get(server).filter(|_| state.engine.accepts_requests(server)).copied()
    }

    /// An attempt has ended; its connection is closed or back in the pool by now. An answer in time goes to
    /// the client; one for a request that is over is dropped.
    pub fn attempt_ended(self: &Rc<Self>, job: &AttemptJob, outcome: Outcome, body: Option<Bytes>) {
        let (id, attempt) = (job.id, job.attempt);
        debug!(
            event = "ended",
            request = id,
            attempt,
            ?outcome,
            "request {id}: attempt {attempt} ended, {outcome:?}"
        );
        if let Some(sent) = job.content.attempt_sent_at.take().filter(|_| permission::may_have_run(outcome)) {
            let first = job.content.may_have_run_since.get().unwrap_or(sent);
            job.content.may_have_run_since.set(Some(first));
        }
        // Also where the client has left: its next try under the key gets this answer.
        if let (Outcome::Ok, Some(body), Some(keep_ms)) = (outcome, &body, job.content.answer_retention_ms) {
            if let (Some(record), Some(question)) = (&mut *self.record.borrow_mut(), job.content.question()) {
                record.insert(self.now(), keep_ms, &question, body.clone());
            }
        }
        let mut state = self.state.borrow_mut();
        state.out.remove(&(id, attempt));
        self.input(&mut state, Input::attempt_ended(id, attempt, outcome));
        self.perform(&mut state, body);
    }

    fn input(&self, state: &mut State, input: Input) -> Option<RequestId> {
        let id = state.engine.handle(self.now(), input, &mut state.spare);
        state.outputs.extend(state.spare.drain(..));
        id
    }

    /// Does what the engine asks. `body` belongs to the attempt that has just ended: the only one that can have
    /// served its request.
    fn perform(self: &Rc<Self>, state: &mut State, mut body: Option<Bytes>) {
        while let Some(output) = state.outputs.pop_front() {
            if state.proxied.as_ref().is_some_and(|p| p.machine.owns(&output)) {
                self.give(state, external::Input::Engine(output));
                continue;
            }
            match output {
                Output::Send { id, attempt, server, deadline } => {
                    let Some(direct) = state.direct.get(&id) else { continue };
                    let job = AttemptJob { id, attempt, server, content: direct.content.clone(), deadline };
                    let (cancel, cancelled) = oneshot::channel();
                    state.out.insert((id, attempt), Out { cancel, deadline });
                    self.upstream.start(self.clone(), job, cancelled);
                }
                Output::Stop { id, attempt, outcome } => {
                    if let Some(out) = state.out.remove(&(id, attempt)) {
                        let _ = out.cancel.send(outcome);
                    }
                }
                // A client that has left meanwhile gets no answer.
                Output::Answer { id, answer } => {
                    debug!(event = "answered", request = id, ?answer, "request {id}: {answer:?}");
                    if let Some(direct) = state.direct.remove(&id) {
                        let _ = direct.answer.send(match answer {
                            marldeal_engine::Answer::Served => {
                                Answer::Served(body.take().unwrap_or_default())
                            }
                            marldeal_engine::Answer::Refused { retry_ms } => Answer::Refused(retry_ms),
                            marldeal_engine::Answer::Failed => Answer::Failed,
                        });
                    }
                }
                Output::SendMessage { to, body } => self.tell(to, &body),
                Output::CloseIdle { server } => self.upstream.close_idle(&server),
                Output::RefreshWatch => self.list_refresh.send_modify(|_| {}),
                Output::FetchServerList => self.list_refresh.send_modify(|times| *times += 1),
                Output::Log(line) => info!("{line}"),
            }
        }
        if state.rearm() {
            self.timers_changed.notify_one();
        }
    }

    /// Sends a datagram; one that finds no room is lost, as any may be.
    fn tell(&self, to: Option<u32>, body: &[u8]) {
        let to = match to {
            Some(position) => self.config.peers.get(position as usize).copied(),
            None => self.config.peers_all,
        };
        if let (Some(socket), Some(to), true) = (&*self.mail.borrow(), to, body.len() <= MAX_DATAGRAM_BYTES) {
            let _ = socket.try_send_to(body, to);
        }
    }

    /// Calls the engine when something is due, for ever.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let armed = {
                let mut state = self.state.borrow_mut();
                self.input(&mut state, Input::TimerExpired);
                self.give(&mut state, external::Input::TimerExpired);
                // Armed here already: what is due next is no news to this loop.
                state.rearm();
                self.pauses.borrow_mut().heartbeat(self.now(), state.armed);
                self.perform(&mut state, None);
                state.armed.map(|at| self.clock.instant(at))
            };
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
}
