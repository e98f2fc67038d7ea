//! The virtual world: clients, limiters, servers and the network between them on one virtual clock, under one seed.
//!
//! Each limiter is the real [`Engine`] with the decision module in it; the world decides nothing for it. Network
//! delays, losses and work are drawn from the seed. A run uses one thread and one event queue. Events at the same
//! time are handled in the order in which they were scheduled, so that a seed gives the same run on every machine.

mod attempts;
mod clients;
mod limiters;
mod proxies;
mod servers;
mod timeline;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use fawnhill::{Condition, Millis, Outcome, Request, RequestId, ServerEntry, ServerId};
use marldeal_engine::{Answer, Engine, Input, Output};
use marldeal_external::{
    self as external, Action, ExternalProcessor, Grant, Presentation, ProcessorConfig, RetryMode, Verdict,
};
use rand::RngExt;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::account::Account;
use crate::causes::{Causes, FleetState};
use crate::clients::{ClientAction, Clients, Try, TryResult};
use crate::draws::{self, Stream};
use crate::figures::{Figures, Recorder, Second};
use crate::network::Network;
use crate::rules::{Oracle, TokenBucket};
use crate::scenario::{Repeats, Scenario, Trouble, What};
use crate::server_model::{Cancellation, Completion, Job, Rejection, ServerModel};
use crate::slow_start;

/// Time on the world's clock at which a scenario begins. It is above 0 because limiters treat a time of 0 as unset.
pub const BEGIN_MS: Millis = 10_000_000.0;
/// Time for which limiters run before the first client, so that their ceilings are full.
const WARM_UP_MS: Millis = 6000.0;
/// Time allowed after the last arrival for all requests to be answered.
const COMPLETION_TIMEOUT_MS: Millis = 20_000.0;
/// One-way latency between client and limiter, minimum and maximum.
const CLIENT_LATENCY_MS: [f64; 2] = [0.2, 1.0];
/// Work that a server spends on a repeat that it drops.
const REPEAT_WORK_MS: Millis = 1.0;
/// Time after a stall during which a limiter is not held to the deadlines that passed while it was stalled.
const STALL_GRACE_MS: Millis = 1000.0;
/// Maximum number of idle connections that a limiter keeps to a server.
const MAX_IDLE_CONNECTIONS: usize = 64;

#[derive(Debug)]
enum Event {
    ClientsDue { at: u64 },
    TryArrives(Box<Try>),
    ClientDisconnected { limiter: usize, try_id: u64 },
    ProxyTimeout { key: u64 },
    AnswerArrives { try_id: u64, result: TryResult },
    LimiterDue { limiter: usize, epoch: u32, at: u64 },
    ServerListArrives { limiter: usize, entries: Arc<[ServerEntry]> },
    MessageArrives { limiter: usize, from: u32, body: Vec<u8> },
    ConnectArrives { key: u64 },
    ConnectTimeout { key: u64 },
    RequestArrives { key: u64 },
    CancelArrives { server: usize, key: u64 },
    ServerDue { server: usize, generation: u32 },
    AttemptEnded { key: u64, outcome: Outcome },
    AttemptStopped { key: u64, outcome: Outcome },
    FaultBegins { fault: usize },
    FaultEnds { fault: usize },
    FaultStep { fault: usize, on: bool },
    ServerExits { server: usize },
    ServerStarts { server: usize },
    LimiterCloses { limiter: usize, epoch: u32, down_ms: Millis },
    LimiterKilled { limiter: usize, epoch: u32, down_ms: Millis },
    LimiterStarts { limiter: usize },
    SecondEnds,
}

/// An event with its time in nanoseconds and its sequence number, by which it is ordered.
#[derive(Debug)]
struct ScheduledEvent(u64, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Converts a time to whole nanoseconds, rounded up so that an event is never handled before its time.
fn nanos(ms: Millis) -> u64 {
    (ms * 1e6).ceil() as u64
}

struct Limiter {
    /// `None` while the limiter is down.
    engine: Option<Engine>,
    /// Incremented at each start and stop; events of an earlier epoch are ignored.
    epoch: u32,
    zone: u32,
    listening: bool,
    /// End of the current or last stall; 0 if the limiter was never stalled.
    stalled_until: Millis,
    /// When the engine is called next.
    scheduled_at: Option<f64>,
    /// Tries and requests that are in progress, each by the id of the other.
    try_by_request: FxHashMap<RequestId, u64>,
    request_by_try: FxHashMap<u64, RequestId>,
    external: Option<ExternalProcessor>,
    /// Tries that a proxy has presented, one stream per try, and the attempt that the proxy carries for each.
    proxied_tries: FxHashSet<u64>,
    proxied_attempts: FxHashMap<u64, u64>,
    attempts: FxHashMap<(RequestId, u32), u64>,
    /// For each server, since when each idle connection to it has been idle.
    idle_since: Vec<Vec<Millis>>,
    /// The server list that the limiter has received.
    known_servers: Vec<ServerEntry>,
    /// When the last change of the server list sent so far arrives.
    last_notice_at: Millis,
    rng: Stream,
}

struct SimulatedServer {
    model: ServerModel,
    id: ServerId,
    zone: u32,
    /// Incremented whenever the next completion is rescheduled; due events of an earlier generation are ignored.
    generation: u32,
    condition: Condition,
    /// Its size in the server list.
    weight: f64,
    /// Packets to and from the server are lost.
    silent: bool,
    /// Share of requests answered with an error.
    errors: f64,
    /// Share of requests whose connection is reset.
    resets: f64,
    /// Work completed up to the start of the current second.
    before_ms: f64,
    rng: Stream,
}

struct Attempt {
    limiter: usize,
    epoch: u32,
    /// `None` if a proxy carries the attempt.
    id: Option<RequestId>,
    attempt: u32,
    try_id: u64,
    server: usize,
    /// One-way latency to the server.
    latency: Millis,
    sent_at: Millis,
    /// The attempt opened a new connection.
    new_connection: bool,
    /// The connection is established; from then on the request may have been written and may run.
    connected: bool,
    /// The limiter has received an outcome.
    ended: bool,
    at_server: bool,
    /// Work that remained when the client disconnected.
    work_at_disconnect: Option<Millis>,
    /// The server drops the request as a repeat.
    repeat: bool,
    job: u64,
    class: usize,
    work: Millis,
}

struct SentTry {
    job: u64,
    customer: usize,
    class: usize,
    limiter: usize,
    work: Millis,
    /// A single limiter with the customer's whole quota would have sent it on.
    inside_quota: bool,
}

/// One run of a scenario.
pub struct World {
    scenario: Scenario,
    now: Millis,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    sequence: u64,
    clients: Clients,
    clients_due_at: Option<u64>,
    limiters: Vec<Limiter>,
    servers: Vec<SimulatedServer>,
    by_id: FxHashMap<ServerId, usize>,
    attempts: FxHashMap<u64, Attempt>,
    next_attempt: u64,
    tries: FxHashMap<u64, SentTry>,
    /// For each request that was sent on, whether one of its tries was inside the quota at that time.
    inside_quota: FxHashMap<u64, bool>,
    /// For each customer, the token bucket that a single limiter receiving all requests would have.
    quota_buckets: Vec<TokenBucket>,
    /// Number of customers of the scenario; those after them are strangers.
    regular_customers: usize,
    network: Network,
    /// For each limiter, the number of faults that keep server list changes from it now.
    discovery_silence: Vec<u32>,
    /// For each limiter, server list changes that cannot reach it now.
    held_server_lists: Vec<Vec<Arc<[ServerEntry]>>>,
    oracle: Oracle,
    recorder: Recorder,
    account: Account,
    seed: u64,
    events: u64,
    rng: Stream,
    outputs: Vec<Output>,
    actions: Vec<ClientAction>,
    completions: Vec<Completion>,
    output_hook: Option<OutputHook>,
    slow_start: Option<slow_start::Judge>,
    causes: Option<Causes>,
    /// Time that the limiters took for their decisions, if measured.
    decision_time: Option<std::time::Duration>,
}

/// Replaces outputs of limiters, for tests of the oracle. It gets the time, the limiter and one output; the outputs
/// that it returns are performed instead.
pub type OutputHook = Box<dyn FnMut(Millis, usize, Output) -> Vec<Output> + Send>;

/// The result of a run.
pub struct Run {
    /// Figures of the whole run.
    pub figures: Figures,
    /// Figures of each second.
    pub seconds: Vec<Second>,
    /// Real time that the limiters took for their decisions; `None` unless [`World::with_decision_time`] was called.
    pub decision_time: Option<std::time::Duration>,
    /// What cold servers received; `None` unless [`World::with_slow_start_judge`] was called.
    pub slow_start: Option<slow_start::Findings>,
    /// Causes of refusals; `None` unless [`World::with_causes`] was called.
    pub causes: Option<Causes>,
}

impl World {
    /// Creates the world of a scenario under a seed, before its first event.
    ///
    /// # Errors
    /// If the scenario has faults that the virtual world cannot simulate, or settings that no limiter accepts. The
    /// text names the key or the setting.
    pub fn new(scenario: &Scenario, seed: u64) -> Result<World, String> {
        if let Some(wrong) = scenario.unsupported_in_simulation().first() {
            return Err(wrong.to_string());
        }
        let scenario = &scenario.resolve_random_targets(seed);
        let start = BEGIN_MS - WARM_UP_MS;
        let count = scenario.limiters.count as usize;
        let server_count = scenario.nodes.count as usize;
        let mut servers = Vec::with_capacity(server_count);
        for n in 0..server_count {
            let mut rng = draws::stream(seed, "node", n as u64);
            let speed = draws::between(&mut rng, scenario.nodes.speed);
            // Ids are drawn, so that they reveal neither zone nor age.
            let id: ServerId = format!("n-{:08x}", rng.random::<u32>()).into();
            servers.push(SimulatedServer {
                model: ServerModel::warm(scenario.model(speed), start),
                id,
                zone: n as u32 % scenario.buildings,
                generation: 0,
                condition: Condition::Serving,
                weight: 1.0,
                silent: false,
                errors: 0.0,
                resets: 0.0,
                before_ms: 0.0,
                rng,
            });
        }
        let by_id = servers.iter().enumerate().map(|(n, m)| (m.id.clone(), n)).collect();
        let known_servers: Vec<ServerEntry> = servers.iter().map(SimulatedServer::entry).collect();
        let limiters = (0..count).map(|l| Limiter {
            engine: None,
            epoch: 0,
            zone: l as u32 % scenario.buildings,
            listening: false,
            stalled_until: 0.0,
            scheduled_at: None,
            try_by_request: FxHashMap::default(),
            request_by_try: FxHashMap::default(),
            external: None,
            proxied_tries: FxHashSet::default(),
            proxied_attempts: FxHashMap::default(),
            attempts: FxHashMap::default(),
            idle_since: vec![Vec::new(); server_count],
            known_servers: known_servers.clone(),
            last_notice_at: start,
            rng: draws::stream(seed, "limiter", l as u64),
        });
        let mut world = World {
            now: start,
            queue: BinaryHeap::new(),
            sequence: 0,
            clients: Clients::new(scenario, seed, BEGIN_MS),
            clients_due_at: None,
            limiters: limiters.collect(),
            servers,
            by_id,
            attempts: FxHashMap::default(),
            next_attempt: 0,
            tries: FxHashMap::default(),
            inside_quota: FxHashMap::default(),
            quota_buckets: Vec::new(),
            regular_customers: 0,
            network: Network::new(scenario, start),
            discovery_silence: vec![0; count],
            held_server_lists: vec![Vec::new(); count],
            oracle: Oracle::new(scenario, BEGIN_MS),
            recorder: Recorder::new(scenario, BEGIN_MS),
            account: Account::new(scenario.limiters.count, BEGIN_MS, BEGIN_MS + scenario.seconds * 1000.0),
            seed,
            events: 0,
            rng: draws::stream(seed, "world", 0),
            outputs: Vec::new(),
            actions: Vec::new(),
            completions: Vec::new(),
            output_hook: None,
            slow_start: None,
            causes: None,
            decision_time: None,
            scenario: scenario.clone(),
        };
        world.regular_customers = world.clients.customers().len();
        for limiter in 0..count {
            // Limiters start at different times, so that their periodic work is not synchronized.
            let at = start + 100.0 * world.rng.random::<f64>();
            world.now = start;
            world.schedule(at, Event::LimiterStarts { limiter });
        }
        for fault in 0..scenario.timeline.len() {
            world.schedule(BEGIN_MS + scenario.timeline[fault].at_s * 1000.0, Event::FaultBegins { fault });
        }
        world.reschedule_clients();
        world.schedule(BEGIN_MS + 1000.0, Event::SecondEnds);
        // Settings that no limiter accepts are reported before the run.
        Engine::new(scenario.settings(0), 0, start)?;
        Ok(world)
    }

    /// Number of customers, strangers included.
    pub fn customer_count(&self) -> usize {
        self.clients.customers().len()
    }

    /// Passes each output of a limiter through `hook` before it is performed.
    pub fn with_output_hook(mut self, hook: OutputHook) -> World {
        self.output_hook = Some(hook);
        self
    }

    /// Measures the real time that the limiters take for their decisions. This is the only figure that differs
    /// between two runs of the same seed.
    pub fn with_decision_time(mut self) -> World {
        self.decision_time = Some(std::time::Duration::ZERO);
        self
    }

    /// Judges what servers in slow start receive. They do not fail under overload, so that each window is observed to
    /// its end.
    pub fn with_slow_start_judge(mut self) -> World {
        self.servers.iter_mut().for_each(|server| server.model.disable_overload_failure());
        self.slow_start = Some(slow_start::Judge::new(slow_start::Terms::of(&self.scenario.nodes)));
        self
    }

    /// Counts what servers were doing when limiters refused requests. Unused room of cold servers is only known with
    /// [`World::with_slow_start_judge`].
    pub fn with_causes(mut self) -> World {
        self.causes = Some(Causes::default());
        self
    }

    /// Lists the speed of each server as its size. Without this all servers are listed as equal.
    pub fn with_listed_sizes(mut self) -> World {
        for server in 0..self.servers.len() {
            self.servers[server].weight = self.servers[server].model.parameters().speed;
            self.list_initially(server);
        }
        self
    }

    /// Enters a server into the list that limiters start with.
    fn list_initially(&mut self, server: usize) {
        let entry = self.servers[server].entry();
        self.limiters.iter_mut().for_each(|limiter| limiter.known_servers[server] = entry.clone());
    }

    /// Keeps servers out of the fleet until they join it, cold, at a time of the scenario.
    pub fn with_joining_servers(mut self, servers: &[usize], at_s: f64) -> World {
        for server in servers.iter().copied() {
            self.servers[server].model.exit(self.now);
            self.servers[server].condition = Condition::Gone;
            self.list_initially(server);
            self.schedule(BEGIN_MS + at_s * 1000.0, Event::ServerStarts { server });
        }
        self
    }

    /// Runs the scenario to its end. `progress` is called after each second of the scenario.
    pub fn play(mut self, mut progress: impl FnMut(f64)) -> Run {
        let last = BEGIN_MS + self.scenario.seconds * 1000.0;
        let mut reported = BEGIN_MS;
        while let Some(Reverse(ScheduledEvent(at, _, event))) = self.queue.pop() {
            self.now = self.now.max(at as f64 / 1e6);
            if self.now > last + COMPLETION_TIMEOUT_MS
                || (self.now > last && self.clients.open_requests() == 0 && self.attempts.is_empty())
            {
                break;
            }
            if self.now >= reported + 1000.0 {
                reported += 1000.0;
                progress((reported - BEGIN_MS) / 1000.0);
            }
            self.events += 1;
            self.handle_event(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Run {
        self.recorder.completed_work_ms = self.servers.iter().map(|m| m.model.completed_work_ms()).sum();
        let broken = self.oracle.violations().to_vec();
        let (mut figures, seconds) =
            self.recorder.finish(self.seed, &broken, self.oracle.violation_count(), self.events);
        (figures.added, figures.control) = self.account.finish();
        let slow_start = self.slow_start.map(slow_start::Judge::finish);
        Run { figures, seconds, decision_time: self.decision_time, slow_start, causes: self.causes }
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent(nanos(at.max(self.now)), self.sequence, event)));
    }

    fn handle_event(&mut self, event: Event) {
        // A stalled limiter handles its events when the stall ends, in their order.
        let to = match &event {
            Event::TryArrives(t) => Some(t.limiter),
            Event::ClientDisconnected { limiter, .. }
            | Event::LimiterDue { limiter, .. }
            | Event::ServerListArrives { limiter, .. } => Some(*limiter),
            Event::MessageArrives { limiter, .. } => Some(*limiter),
            Event::AttemptEnded { key, .. } | Event::ConnectTimeout { key } | Event::ProxyTimeout { key } => {
                self.attempts.get(key).map(|a| a.limiter)
            }
            _ => None,
        };
        if let Some(until) = to.map(|l| self.limiters[l].stalled_until).filter(|until| *until > self.now) {
            return self.schedule(until, event);
        }
        match event {
            Event::ClientsDue { at } => {
                // An event that was superseded by an earlier one is ignored.
                if self.clients_due_at != Some(at) {
                    return;
                }
                self.clients_due_at = None;
                let mut actions = std::mem::take(&mut self.actions);
                self.clients.due(self.now, &mut actions);
                self.apply_client_actions(actions);
            }
            Event::TryArrives(sent) => self.receive_try(*sent),
            Event::ClientDisconnected { limiter, try_id } => self.receive_disconnect(limiter, try_id),
            Event::ProxyTimeout { key } => self.expire_proxied_attempt(key),
            Event::AnswerArrives { try_id, result } => {
                let mut actions = std::mem::take(&mut self.actions);
                self.clients.try_ended(self.now, try_id, result, &mut actions);
                self.apply_client_actions(actions);
            }
            Event::LimiterDue { limiter, epoch, at } => {
                let l = &self.limiters[limiter];
                if l.epoch == epoch && l.scheduled_at.is_some_and(|due| due.to_bits() == at) {
                    self.limiters[limiter].scheduled_at = None;
                    self.handle_input(limiter, Input::TimerExpired);
                    self.handle_external(limiter, external::Input::TimerExpired);
                }
            }
            Event::ServerListArrives { limiter, entries } => self.receive_server_list(limiter, entries),
            Event::MessageArrives { limiter, from, body } => self.receive_message(limiter, from, body),
            Event::ConnectArrives { key } => self.connect(key),
            Event::ConnectTimeout { key } => {
                if self.attempts.get(&key).is_some_and(|a| !a.connected) {
                    self.end_attempt(key, Outcome::NoConnection);
                }
            }
            Event::RequestArrives { key } => self.request_arrives(key),
            Event::CancelArrives { server, key } => self.cancel_arrives(server, key),
            Event::ServerDue { server, generation } => {
                if self.servers[server].generation == generation {
                    self.server_due(server);
                }
            }
            Event::AttemptEnded { key, outcome } => self.end_attempt(key, outcome),
            Event::AttemptStopped { key, outcome } => self.report_attempt_end(key, outcome),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::FaultStep { fault, on } => self.step_fault(fault, on),
            Event::ServerExits { server } => self.exit_server(server),
            Event::ServerStarts { server } => self.start_server(server),
            Event::LimiterCloses { limiter, epoch, down_ms } => self.close_limiter(limiter, epoch, down_ms),
            Event::LimiterKilled { limiter, epoch, down_ms } => {
                if self.limiters[limiter].epoch == epoch {
                    self.stop_limiter(limiter, down_ms);
                }
            }
            Event::LimiterStarts { limiter } => self.start_limiter(limiter),
            Event::SecondEnds => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut busy = Vec::with_capacity(self.servers.len());
        let mut held = Vec::with_capacity(self.servers.len());
        for m in &mut self.servers {
            let done = m.model.completed_work_ms();
            busy.push(((done - m.before_ms) / (m.model.parameters().capacity() * 1000.0)) as f32);
            held.push(m.model.held() as f32);
            m.before_ms = done;
        }
        self.recorder.tick(now, busy, held);
        self.oracle.expire_effects(now);
        self.schedule(now + 1000.0, Event::SecondEnds);
    }
}

impl Limiter {
    /// Returns whether the limiter is stalled or was until a moment ago, so that missed deadlines are not its fault.
    fn excused(&self, now: Millis) -> bool {
        self.stalled_until > 0.0 && now - self.stalled_until < STALL_GRACE_MS
    }
}

impl SimulatedServer {
    fn entry(&self) -> ServerEntry {
        ServerEntry {
            server: self.id.clone(),
            zone: self.zone,
            cell: 0,
            condition: self.condition,
            weight: self.weight,
            started: self.model.started(),
        }
    }
}
