//! Runs the engine: passes it events with the time and carries out its outputs. The sockets of clients and servers
//! belong to the fronts and to [`Upstream`].

mod clock;
mod handover_link;
mod peer_messages;
mod permission;
mod proxied;
mod server_list;
mod stall_tracking;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use fawnhill::{DecisionTrace, Effect, Outcome, Request, RequestId, ResponseState, ServerId};
use hyper::header::HeaderValue;
use marldeal_bodies::Budget;
use marldeal_engine::counters::{RequestCounters, RequestOutcome};
use marldeal_engine::{outcomes, Engine, Input, Output};
use marldeal_external as external;
use marldeal_lifecycle::stalls::StallDetector;
use marldeal_lifecycle::transfers::TransferLimits;
use marldeal_lifecycle::{AlreadyEnding, Command, Lifecycle, Phase};
use marldeal_outcomes::{AnswerCache, KeyedRequest, Lookup};
use marldeal_permit::violation::ViolationCounts;
use marldeal_snapshot::server_list::ListOrigin;
use marldeal_snapshot::{Assessment, Snapshot, SnapshotKind};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tracing::{debug, info};

use crate::logging;
use crate::payload::{Chunk, Payload, StreamedBody};
use crate::reload::ReloadTrigger;
use crate::settings::config::Config;
use crate::settings::server_list::DiscoverySource;
use crate::socket::SharedSocket;
use clock::Clock;
use handover_link::HandoverLinks;
pub use handover_link::LinkRole;
pub use peer_messages::MAX_DATAGRAM_BYTES;
pub use proxied::ProxyReply;
use proxied::ProxyRequests;

/// The final answer to a client of the direct front.
#[derive(Debug)]
pub enum Answer {
    /// A server's body.
    Served(Bytes),
    /// A server's body that is too long to be buffered, and its length in bytes if the server announced one.
    Streamed(mpsc::Receiver<Chunk>, Option<u64>),
    /// The request was refused and may be retried safely, after so many milliseconds if not 0.
    Refused(f64),
    /// The request failed; it may or may not have been executed.
    Failed,
}

/// The parts of a request that are forwarded to a server unchanged, and what the driver keeps with them.
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
    /// The client's whole time budget, in milliseconds.
    pub budget_ms: f64,
    /// When the first byte of the answer is due for it to be in time, in milliseconds of the decision module's clock;
    /// infinite while the body is still arriving.
    pub first_byte_due: f64,
    /// Notified when the response has to be streamed to the client, however little of it has arrived.
    pub pass_on: Notify,
    /// How long the final answer is cached under the idempotency key, in milliseconds; `None` if it is not cached.
    pub answer_retention_ms: Option<f64>,
    /// What a second execution of the request would do.
    pub effect: marldeal_permit::Effect,
    /// When the first attempt that may have run was sent.
    pub may_have_run_since: Cell<Option<f64>>,
    /// When the current attempt was sent.
    pub attempt_sent_at: Cell<Option<f64>>,
}

impl RequestContent {
    /// The request under which its answer is cached: the path names class and customer.
    fn keyed_request(&self) -> Option<KeyedRequest<'_>> {
        let key = self.idempotency_key.as_ref()?.as_bytes();
        Some(KeyedRequest { scope: self.target.path().as_bytes(), key, content: self.body.small()? })
    }
}

/// One process of a server. A server that restarts keeps its id and address, but not its connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerInstance {
    /// Where it listens.
    pub addr: SocketAddr,
    /// When it started, in milliseconds of Unix time as discovery tells it; 0 for long ago.
    pub started: f64,
}

/// One attempt that this process sends to a server itself.
pub struct AttemptJob {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: u32,
    /// The server to send it to.
    pub server: ServerId,
    /// What to send.
    pub content: Rc<RequestContent>,
    /// When the attempt is abandoned, in milliseconds of the decision module's clock.
    pub deadline: f64,
}

/// Sends attempts to servers.
pub trait Upstream {
    /// Starts an attempt and reports its end with [`Driver::attempt_ended`]. A message on `stopped` cancels it.
    fn start(&self, driver: Rc<Driver>, job: AttemptJob, stopped: oneshot::Receiver<Outcome>);
    /// Closes the idle connections to a server.
    fn close_idle(&self, server: &ServerId);
    /// Closes idle connections until at most `limit` connections are open, as far as idle ones suffice.
    fn trim(&self, limit: usize);
}

/// A request of the direct front that has no final answer yet.
struct DirectRequest {
    content: Rc<RequestContent>,
    answer: oneshot::Sender<Answer>,
    client: SharedSocket,
    /// When the client was last known to be connected; negative infinity if nothing shows that it was.
    connected_at: Cell<f64>,
}

/// An attempt that has been started and has not ended.
struct OutstandingAttempt {
    /// Cancels the attempt.
    cancel: oneshot::Sender<Outcome>,
    /// When it is abandoned; infinite where the body is streamed.
    deadline: f64,
    /// The body, if it is streamed.
    upload: Option<Rc<StreamedBody>>,
}

struct State {
    engine: Engine,
    proxy_requests: Option<ProxyRequests>,
    outputs: VecDeque<Output>,
    /// Reused between calls to save allocations.
    output_buffer: Vec<Output>,
    direct_requests: HashMap<RequestId, DirectRequest>,
    outstanding: HashMap<(RequestId, u32), OutstandingAttempt>,
    listed: HashMap<ServerId, ServerInstance>,
    /// When each server of the list that drains was told to.
    draining_since: HashMap<ServerId, f64>,
    /// When the engine is to be called again, as last set for [`Driver::run_timers`].
    next_timer: Option<f64>,
}

impl State {
    /// Updates the time of the next call to the engine; true if it has changed.
    fn update_next_timer(&mut self) -> bool {
        let mut next = self.engine.next_due();
        if let Some(proxy_requests) = &mut self.proxy_requests {
            next = next.into_iter().chain(proxy_requests.processor.next_due()).min_by(f64::total_cmp);
        }
        std::mem::replace(&mut self.next_timer, next) != next
    }
}

/// How often the configuration was reloaded, by result.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReloadCounts {
    /// The new configuration was valid, changed or not.
    pub applied: u64,
    /// The new configuration was invalid, and nothing changed.
    pub rejected: u64,
}

/// Statistics for operators.
#[derive(Debug, Clone)]
pub struct DriverStats {
    /// Counts of requests and attempts.
    pub request_counters: RequestCounters,
    /// Servers in the list.
    pub discovered: usize,
    /// How many of these are ejected at present.
    pub ejected: usize,
    /// Reloads of the configuration.
    pub reloads: ReloadCounts,
    /// Attempts that were not sent, because conditions had changed after the decision.
    pub denied: u64,
    /// Transfers that were ended, or not begun, to keep connections for ordinary requests.
    pub ended_transfers: u64,
    /// Violations of the rules that this process has detected in itself.
    pub violations: u64,
    /// Log lines that were dropped, because nobody read them or they could not be written.
    pub log_dropped: u64,
}

/// The engine and everything around it. Single-threaded, so nothing is locked.
pub struct Driver {
    /// The configuration as read at the start.
    pub config: Arc<Config>,
    /// Where the list of servers comes from.
    pub sources: DiscoverySource,
    /// Signals that the decision module wants its list of servers refreshed. The value counts the requests for the
    /// whole list. Every watch is woken, whatever it is doing.
    pub list_refresh: watch::Sender<u64>,
    list_received: Cell<bool>,
    /// Where the list of servers comes from; none if there is none.
    list_origin: Cell<Option<ListOrigin>>,
    /// When discovery last sent the list or a change to it, to this process or a predecessor.
    list_changed_at: Cell<f64>,
    /// The sockets over which sources of the list are watched, by number of the source.
    watch_sockets: RefCell<BTreeMap<u32, SharedSocket>>,
    /// Everything that discovery had sent by then has been read, including what arrived while the process was
    /// stalled.
    list_current_at: Cell<f64>,
    violations: Cell<ViolationCounts>,
    denied_attempts: Cell<u64>,
    ended_transfers: Cell<u64>,
    lifecycle: RefCell<Lifecycle>,
    /// Detects that the process did not run for a while.
    stall_detector: RefCell<StallDetector>,
    /// End of the last stall for which a task reports when its backlog has been read.
    backlog_tracked: Cell<f64>,
    /// Notified when the phase changes, and when the first server list arrives.
    pub phase_changed: Notify,
    reload_counts: Cell<ReloadCounts>,
    clock: Clock,
    /// The socket for messages between peers; `None` while another process of this limiter holds the address.
    peer_socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Notified when the peer socket has been closed.
    pub peer_socket_closed: Notify,
    /// The links to other processes of this limiter.
    links: RefCell<HandoverLinks>,
    /// A snapshot of a predecessor has been restored.
    snapshot_restored: Cell<bool>,
    /// Another process of this limiter is running: each may use half of each limit.
    overlapping: Cell<bool>,
    upstream: Rc<dyn Upstream>,
    state: RefCell<State>,
    /// Final answers by idempotency key, where caching is enabled.
    answer_cache: RefCell<Option<AnswerCache>>,
    timers_changed: Notify,
    /// Limits the bytes of request bodies that are held in memory.
    pub body_budget: Rc<Budget>,
}

/// How long a request is on its way to the limiter and an attempt on its way to the server, in milliseconds, beyond what the
/// limiter's clock shows. The time that an attempt names may exceed what the client has left by 0.15 s, and a process
/// may be held up for all of that before it writes.
const TIME_ON_THE_WAY_MS: f64 = 10.0;

/// Fraction of the target latency after which the first byte of an answer is due. The rest is the way to the client.
const FIRST_BYTE_FRACTION: f64 = 0.9;

/// A server list from the configuration counts as current after this time without an update from discovery.
const DISCOVERY_TIMEOUT_MS: f64 = 2000.0;

impl Driver {
    /// Creates a limiter that starts with the configured list of servers. `second` says that a predecessor,
    /// another process of the same limiter, is still serving.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(config: Arc<Config>, upstream: Rc<dyn Upstream>, second: bool) -> Result<Rc<Driver>, String> {
        let clock = Clock::start();
        let mut engine = Engine::new(config.settings.clone(), config.seed, clock.now())
            .map_err(|e| format!("settings: {e}"))?;
        if tracing::enabled!(tracing::Level::DEBUG) {
            engine.enable_tracing();
        }
        let state = State {
            engine,
            proxy_requests: None,
            outputs: VecDeque::new(),
            output_buffer: Vec::new(),
            direct_requests: HashMap::new(),
            outstanding: HashMap::new(),
            listed: HashMap::new(),
            draining_since: HashMap::new(),
            next_timer: None,
        };
        let life = match second {
            true => Lifecycle::beside_predecessor(config.timings),
            false => Lifecycle::new(config.timings),
        };
        let driver = Rc::new(Driver {
            sources: DiscoverySource::new(config.discovery),
            body_budget: Budget::new(config.max_body_bytes),
            config,
            list_refresh: watch::Sender::new(0),
            list_received: Cell::new(false),
            list_origin: Cell::new(None),
            list_changed_at: Cell::new(f64::NEG_INFINITY),
            watch_sockets: RefCell::default(),
            list_current_at: Cell::new(f64::NEG_INFINITY),
            violations: Cell::default(),
            denied_attempts: Cell::new(0),
            ended_transfers: Cell::new(0),
            lifecycle: RefCell::new(life),
            stall_detector: RefCell::default(),
            backlog_tracked: Cell::new(f64::NEG_INFINITY),
            phase_changed: Notify::new(),
            reload_counts: Cell::default(),
            clock,
            peer_socket: RefCell::default(),
            peer_socket_closed: Notify::new(),
            links: RefCell::default(),
            snapshot_restored: Cell::new(false),
            overlapping: Cell::new(second),
            upstream,
            state: RefCell::new(state),
            answer_cache: RefCell::new(None),
            timers_changed: Notify::new(),
        });
        driver.apply_configured_servers();
        Ok(driver)
    }

    /// The time on the decision module's clock, in milliseconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The moment at which the decision module's clock shows `at`, in milliseconds.
    pub fn instant(&self, at: f64) -> std::time::Instant {
        self.clock.instant(at)
    }

    /// The time that an attempt with this deadline names to its server, in milliseconds.
    pub fn time_left_ms(&self, deadline: f64) -> f64 {
        deadline - self.now() - TIME_ON_THE_WAY_MS
    }

    /// Whether a request could be served: a server accepts requests, discovery has sent a list or had time to, and
    /// the decision module is ready to admit requests.
    pub fn can_serve(&self) -> bool {
        let received = self.list_received.get() || self.elapsed_ms() > DISCOVERY_TIMEOUT_MS;
        let now = self.now();
        let engine = &self.state.borrow().engine;
        // The predecessor's accounts replace these later, as full as they are then: there is nothing to wait for
        // here.
        let follows = self.snapshot_restored.get() && self.phase() == Phase::Warming && engine.has_servers();
        let able = received && (follows || engine.is_ready(now));
        self.lifecycle.borrow_mut().set_can_serve(now, able);
        able
    }

    fn elapsed_ms(&self) -> f64 {
        self.clock.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Whether clients may be sent to this limiter.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.lifecycle.borrow().is_ready()
    }

    /// The phase of this process in its lifecycle.
    pub fn phase(&self) -> Phase {
        self.lifecycle.borrow().phase()
    }

    /// Queries the lifecycle at the present time.
    pub fn with_lifecycle<T>(&self, ask: impl Fn(&Lifecycle, f64) -> T) -> T {
        ask(&self.lifecycle.borrow(), self.now())
    }

    /// Carries out a command of the operator, the platform or a successor.
    ///
    /// # Errors
    /// The process is already ending.
    pub fn handle_command(self: &Rc<Self>, command: Command) -> Result<Phase, AlreadyEnding> {
        self.can_serve();
        let before = self.phase();
        let now = self.now();
        let already_stopped = self.with_lifecycle(|life, _| life.last_answer_at().is_finite());
        let result = self.lifecycle.borrow_mut().handle(now, command);
        if command == Command::Stop && !already_stopped {
            self.expect_kill(now);
        }
        if self.phase() != before {
            let phase = self.phase();
            info!(event = "phase", from = %before, to = %phase, "phase changed from {before} to {phase}");
            self.phase_changed.notify_waiters();
        }
        result
    }

    /// Computes from a stop that was read at `now` when the process may be killed, and notifies the engine.
    fn expect_kill(self: &Rc<Self>, now: f64) {
        let waited_ms = self.stall_detector.borrow_mut().max_queued_ms(now);
        self.lifecycle.borrow_mut().backdate_stop(waited_ms);
        let at = self.with_lifecycle(|life, _| life.last_answer_at());
        if at.is_finite() {
            let mut state = self.state.borrow_mut();
            self.handle_input(&mut state, Input::KillExpected { at });
            self.execute_outputs(&mut state, None);
        }
    }

    /// Sets whether another process of this limiter is running, and adapts the limits.
    pub fn set_overlapping(&self, overlapping: bool) {
        self.overlapping.set(overlapping);
        self.body_budget.set_max_bytes(self.share_of(self.config.max_body_bytes));
        self.upstream.trim(self.share_of(self.config.max_server_connections));
    }

    /// The part of a limit that this process may use.
    pub fn share_of(&self, limit: usize) -> usize {
        if self.overlapping.get() {
            limit / 2
        } else {
            limit
        }
    }

    /// Closes all idle connections to servers.
    pub fn close_idle_connections(&self) {
        self.upstream.trim(0);
    }

    /// The present state, encoded. With a final snapshot this process hands its accounts over and grants nothing any
    /// more.
    pub fn snapshot(&self, kind: SnapshotKind) -> Vec<u8> {
        let (written_at, wall_time) = (self.clock.monotonic_time(), self.clock.wall_time());
        let mut state = self.state.borrow_mut();
        let mut snapshot = state.engine.snapshot(self.now(), written_at, wall_time, kind);
        snapshot.server_list = self.export_server_list(&state);
        snapshot.to_bytes(&self.config.settings)
    }

    /// Restores the state that another process of this limiter has sent. Returns a description of the result for
    /// the log.
    pub fn restore_snapshot(self: &Rc<Self>, bytes: &[u8]) -> String {
        let mut snapshot = match Snapshot::from_bytes(bytes, &self.config.settings) {
            Ok(snapshot) => snapshot,
            Err(why) => return format!("{why}; starting without the predecessor's state"),
        };
        let (now, monotonic_time) = (self.now(), self.clock.monotonic_time());
        // Before the state, which holds what is known of the listed servers.
        if let Some(list) = snapshot.take_server_list(monotonic_time) {
            self.import_server_list(list);
        }
        let unfinished = std::mem::take(&mut snapshot.unfinished);
        let assessment = marldeal_snapshot::assess(snapshot, monotonic_time);
        let result = match &assessment {
            Assessment::SameLimiter { state, .. } => format!(
                "goes on as the same limiter with {} servers, {} customers, {} accounts",
                state.servers.len(),
                state.customers.len(),
                state.accounts.len()
            ),
            Assessment::Hints { .. } => "the servers are known; ceilings start as spent".to_string(),
            Assessment::Expired { age_ms } => format!("the snapshot is {age_ms} ms old and was ignored"),
        };
        self.snapshot_restored.set(!matches!(assessment, Assessment::Expired { .. }));
        let mut state = self.state.borrow_mut();
        state.engine.restore(now, assessment);
        state.engine.reject_repeats(now, unfinished);
        if state.update_next_timer() {
            self.timers_changed.notify_one();
        }
        result
    }

    /// Counters and present values for operators.
    pub fn stats(&self) -> DriverStats {
        let state = self.state.borrow();
        DriverStats {
            request_counters: state.engine.counters().clone(),
            discovered: state.listed.len(),
            ejected: state.engine.ejected_servers(self.now()),
            reloads: self.reload_counts.get(),
            denied: self.denied_attempts.get(),
            ended_transfers: self.ended_transfers.get(),
            violations: self.violations().total(),
            log_dropped: logging::dropped_lines(),
        }
    }

    /// Updates counters for something that happens outside the engine.
    pub fn update_counters(&self, update: impl Fn(&mut RequestCounters)) {
        update(self.state.borrow_mut().engine.counters_mut());
    }

    /// Whether the decision module refuses customers that it has not seen before, since new ones arrive too fast.
    pub fn refuses_new_customers(&self) -> bool {
        self.state.borrow().engine.refuses_new_customers()
    }

    /// Reads the configuration again. Only the address of discovery can change while serving. Returns false if the
    /// configuration cannot be read or is invalid; then nothing changes. The counts are of signals, not of read
    /// attempts.
    pub fn reload(&self, trigger: ReloadTrigger) -> bool {
        let new = match Config::reload() {
            Ok(new) => new,
            Err(why) => {
                if trigger == ReloadTrigger::Signal {
                    self.update_reload_counts(|reloads| reloads.rejected += 1);
                    info!(
                        event = "reload",
                        read = false,
                        "reload: {why}; the old configuration stands; reading it again"
                    );
                }
                return false;
            }
        };
        self.update_reload_counts(|reloads| reloads.applied += 1);
        match self.sources.switch_to(new.discovery) {
            true => info!(event = "reload", read = true, "reload: discovery is now at {}", new.discovery),
            false => info!(event = "reload", read = true, "reload: no change"),
        }
        true
    }

    fn update_reload_counts(&self, update: impl Fn(&mut ReloadCounts)) {
        let mut reloads = self.reload_counts.get();
        update(&mut reloads);
        self.reload_counts.set(reloads);
    }

    /// Submits a client's request. Returns its id and the receiver of its final answer, or `None` if a request
    /// with the same `X-Correlation-Id` is open.
    pub fn submit(
        self: &Rc<Self>,
        content: RequestContent,
        mut request: Request,
        client: SharedSocket,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        // The client's time runs from when it sent the request, which may have waited in the socket while this
        // process was stalled. The time of a request whose body is still arriving has not begun.
        if !matches!(content.body, Payload::Streamed(_)) {
            request.budget_ms -= self.stall_detector.borrow_mut().max_queued_ms(self.now());
        }
        let mut state = self.state.borrow_mut();
        let correlation_id = content.correlation_id.as_bytes().into();
        let id = self.handle_input(&mut state, Input::Request { correlation_id, request })?;
        if matches!(content.body, Payload::Streamed(_)) {
            self.handle_input(&mut state, Input::Uploading { id });
        }
        let (answer, answered) = oneshot::channel();
        let connected_at = Cell::new(self.last_seen_connected(&client));
        state
            .direct_requests
            .insert(id, DirectRequest { content: Rc::new(content), answer, client, connected_at });
        self.execute_outputs(&mut state, None);
        Some((id, answered))
    }

    /// Handles that the client of a request is still sending the body: the time budget has not begun.
    pub fn body_arriving(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        self.handle_input(&mut state, Input::Uploading { id });
        self.execute_outputs(&mut state, None);
    }

    /// Caches final answers to requests with an idempotency key from now on.
    pub fn enable_answer_cache(&self, limits: marldeal_outcomes::Limits) {
        *self.answer_cache.borrow_mut() = Some(AnswerCache::new(limits));
    }

    /// Prefetches units of quotas, for at most `limit` customers.
    pub fn enable_prefetch(&self, limit: usize) {
        self.state.borrow_mut().engine.enable_prefetch(limit);
    }

    /// When the first byte of the answer to a request that has just arrived is due for it to be in time.
    pub fn first_byte_due(&self, request: &Request) -> f64 {
        let class = self.config.settings.classes.get(request.class);
        class.map_or(f64::INFINITY, |class| self.now() + class.aim_ms * FIRST_BYTE_FRACTION)
    }

    /// How long the answer to a request is cached, from its arrival: the window of the class, in which servers
    /// recognise repeats. `None` if it is not cached.
    pub fn answer_retention_ms(&self, request: &Request) -> Option<f64> {
        let class = self.config.settings.classes.get(request.class)?;
        (class.effect == Effect::Keyed && self.answer_cache.borrow().is_some()).then_some(class.window_ms)
    }

    /// The cached answer to an identical earlier request with the same idempotency key.
    pub fn cached_answer(&self, content: &RequestContent) -> Option<Bytes> {
        content.answer_retention_ms?;
        let found = self.answer_cache.borrow_mut().as_mut()?.lookup(self.now(), &content.keyed_request()?);
        match found {
            Lookup::Hit(body) => Some(body),
            // A different request under the same key is left to the servers, which know the key as well.
            Lookup::Miss | Lookup::KeyReused => None,
        }
    }

    /// Handles that all of a streamed body has been received, and all but its end passed on.
    pub fn body_received(self: &Rc<Self>, id: RequestId, attempt: u32) {
        let mut state = self.state.borrow_mut();
        self.handle_input(&mut state, Input::BodyReceived { id, attempt });
        self.execute_outputs(&mut state, None);
    }

    /// Handles that the last byte of an attempt has been written.
    pub fn attempt_written(self: &Rc<Self>, id: RequestId, attempt: u32) {
        let mut state = self.state.borrow_mut();
        self.check_written(&state, id, attempt);
        self.handle_input(&mut state, Input::Written { id, attempt });
        self.execute_outputs(&mut state, None);
    }

    /// Starts to stream an attempt's answer to its client. Returns the sender for its pieces, or `None` if nobody
    /// waits for the answer any more.
    pub fn begin_streaming(
        self: &Rc<Self>,
        job: &AttemptJob,
        length: Option<u64>,
    ) -> Option<mpsc::Sender<Chunk>> {
        let mut state = self.state.borrow_mut();
        let direct = state.direct_requests.remove(&job.id)?;
        // With one piece in the channel the reader sets the pace.
        let (sender, receiver) = mpsc::channel(1);
        direct.answer.send(Answer::Streamed(receiver, length)).ok()?;
        self.handle_input(&mut state, Input::Streaming { id: job.id, attempt: job.attempt });
        self.execute_outputs(&mut state, None);
        Some(sender)
    }

    /// Handles how far a response has arrived that does not arrive all at once.
    pub fn response_progress(self: &Rc<Self>, job: &AttemptJob, response: ResponseState) {
        let (id, attempt) = (job.id, job.attempt);
        debug!(event = "progress", request = id, attempt, ?response, "request {id}: response {response:?}");
        let mut state = self.state.borrow_mut();
        self.handle_input(&mut state, Input::ResponseProgress { id, attempt, state: response });
        self.execute_outputs(&mut state, None);
    }

    /// Handles that the client has disconnected, or has stopped reading, while its answer was streamed.
    pub fn reader_disconnected(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        self.handle_input(&mut state, Input::ClientDisconnected { id });
        self.execute_outputs(&mut state, None);
    }

    /// Refuses a request whose body is still being passed on, so that no server can have begun it. Returns false if that
    /// is not certain; then nothing changes.
    pub fn refuse_upload(self: &Rc<Self>, id: RequestId) -> bool {
        let mut state = self.state.borrow_mut();
        if !state.engine.is_uploading(id) || state.direct_requests.remove(&id).is_none() {
            return false;
        }
        let outcome = RequestOutcome::Declined;
        self.handle_input(&mut state, Input::AnsweredByCaller { id, outcome });
        self.execute_outputs(&mut state, None);
        true
    }

    /// Ends a request whose response is too long to be buffered and may not be streamed, since transfers take too many
    /// connections: a refusal if a second execution is harmless, else a failure.
    pub fn decline_streaming(self: &Rc<Self>, job: &AttemptJob) {
        let mut state = self.state.borrow_mut();
        let Some(direct) = state.direct_requests.remove(&job.id) else { return };
        let (answer, outcome) = match job.content.effect {
            marldeal_permit::Effect::Safe => (Answer::Refused(0.0), RequestOutcome::Declined),
            _ => (Answer::Failed, RequestOutcome::Aborted),
        };
        let _ = direct.answer.send(answer);
        self.ended_transfers.set(self.ended_transfers.get() + 1);
        self.handle_input(&mut state, Input::AnsweredByCaller { id: job.id, outcome });
        self.execute_outputs(&mut state, None);
    }

    /// Counts a slow transfer that was ended to keep connections for ordinary requests.
    pub fn record_ended_transfer(&self) {
        self.ended_transfers.set(self.ended_transfers.get() + 1);
    }

    /// How many connections transfers may take at present.
    pub fn transfer_limits(&self) -> TransferLimits {
        let config = &self.config;
        TransferLimits::new(
            self.share_of(config.max_client_connections),
            self.share_of(config.max_server_connections),
        )
    }

    /// Handles that the client has disconnected before its answer.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let request_open = state.direct_requests.remove(&id).is_some();
        drop(state);
        if request_open {
            self.reader_disconnected(id);
        }
    }

    /// The process of a server that accepts requests at present.
    pub fn server_instance(&self, server: &ServerId) -> Option<ServerInstance> {
        let state = self.state.borrow();
        state.listed.get(server).filter(|_| state.engine.accepts_requests(server)).copied()
    }

    /// Handles the end of an attempt; its connection is closed or back in the pool by now. An answer in time goes
    /// to the client, and one for a request that has ended is dropped.
    pub fn attempt_ended(self: &Rc<Self>, job: &AttemptJob, outcome: Outcome, body: Option<Bytes>) {
        let (id, attempt) = (job.id, job.attempt);
        debug!(
            event = "ended",
            request = id,
            attempt,
            ?outcome,
            "request {id}: attempt {attempt} ended, {outcome:?}"
        );
        if let Some(sent) = job.content.attempt_sent_at.take().filter(|_| outcomes::may_have_run(outcome)) {
            let first = job.content.may_have_run_since.get().unwrap_or(sent);
            job.content.may_have_run_since.set(Some(first));
        }
        // Also if the client has disconnected: its next try under the key gets this answer.
        if let (Outcome::Ok, Some(body), Some(retention_ms)) =
            (outcome, &body, job.content.answer_retention_ms)
        {
            if let (Some(cache), Some(keyed_request)) =
                (&mut *self.answer_cache.borrow_mut(), job.content.keyed_request())
            {
                cache.insert(self.now(), retention_ms, &keyed_request, body.clone());
            }
        }
        let mut state = self.state.borrow_mut();
        state.outstanding.remove(&(id, attempt));
        self.handle_input(&mut state, Input::attempt_ended(id, attempt, outcome));
        self.execute_outputs(&mut state, body);
    }

    fn handle_input(&self, state: &mut State, input: Input) -> Option<RequestId> {
        let id = state.engine.handle(self.now(), input, &mut state.output_buffer);
        state.outputs.extend(state.output_buffer.drain(..));
        id
    }

    /// Carries out the outputs of the engine. `body` belongs to the attempt that has just ended, which is the only
    /// one that can have served its request.
    fn execute_outputs(self: &Rc<Self>, state: &mut State, mut body: Option<Bytes>) {
        while let Some(output) = state.outputs.pop_front() {
            if state.proxy_requests.as_ref().is_some_and(|p| p.processor.owns(&output)) {
                self.handle_external_input(state, external::Input::Engine(output));
                continue;
            }
            match output {
                Output::Send { id, attempt, server, deadline } => {
                    let Some(direct) = state.direct_requests.get(&id) else { continue };
                    let job = AttemptJob { id, attempt, server, content: direct.content.clone(), deadline };
                    let (cancel, cancelled) = oneshot::channel();
                    // The deadline of an upload moves on for as long as the client sends.
                    let (deadline, upload) = match &job.content.body {
                        Payload::Buffered { .. } => (deadline, None),
                        Payload::Streamed(body) => (f64::INFINITY, Some(body.clone())),
                    };
                    state.outstanding.insert((id, attempt), OutstandingAttempt { cancel, deadline, upload });
                    self.upstream.start(self.clone(), job, cancelled);
                }
                Output::Stop { id, attempt, outcome } => {
                    if let Some(out) = state.outstanding.remove(&(id, attempt)) {
                        let _ = out.cancel.send(outcome);
                    }
                }
                Output::PassOnResponse { id, .. } => {
                    if let Some(direct) = state.direct_requests.get(&id) {
                        direct.content.pass_on.notify_one();
                    }
                }
                Output::CompleteBody { id, attempt } => {
                    let started = state.outstanding.get(&(id, attempt));
                    if let Some(upload) = started.and_then(|attempt| attempt.upload.as_ref()) {
                        upload.allow_end();
                    }
                }
                // A client that has disconnected meanwhile gets no answer.
                Output::Answer { id, answer } => {
                    debug!(event = "answered", request = id, ?answer, "request {id}: {answer:?}");
                    if let Some(direct) = state.direct_requests.remove(&id) {
                        let _ = direct.answer.send(match answer {
                            marldeal_engine::Answer::Served => {
                                Answer::Served(body.take().unwrap_or_default())
                            }
                            marldeal_engine::Answer::Refused { retry_ms } => Answer::Refused(retry_ms),
                            marldeal_engine::Answer::Failed => Answer::Failed,
                        });
                    }
                }
                Output::SendMessage { to, body } => self.send_to_peer(to, &body),
                Output::SendHandoverMessage { body } => self.send_handover_message(body),
                Output::CloseIdle { server } => self.upstream.close_idle(&server),
                Output::RefreshWatch => self.list_refresh.send_modify(|_| {}),
                Output::FetchServerList => self.list_refresh.send_modify(|times| *times += 1),
                Output::Log(line) => info!("{line}"),
                Output::Trace(trace) => log_decision(trace),
            }
        }
        if state.update_next_timer() {
            self.timers_changed.notify_one();
        }
    }

    /// Calls the engine whenever something is due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next_timer = {
                let mut state = self.state.borrow_mut();
                self.handle_input(&mut state, Input::TimerExpired);
                self.handle_external_input(&mut state, external::Input::TimerExpired);
                // Updated here, so that the next due time does not wake this loop again.
                state.update_next_timer();
                self.stall_detector.borrow_mut().heartbeat(self.now(), state.next_timer);
                self.execute_outputs(&mut state, None);
                state.next_timer.map(|at| self.clock.instant(at))
            };
            self.track_backlog();
            let changed = self.timers_changed.notified();
            match next_timer {
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {}
                    () = changed => {}
                },
                None => changed.await,
            }
        }
    }
}

/// Logs why a request was ended, or gets another attempt.
fn log_decision(trace: DecisionTrace) {
    let DecisionTrace { id, decision } = trace;
    debug!(event = "decided", request = id, decision = %decision, "request {id}: {decision}");
}
