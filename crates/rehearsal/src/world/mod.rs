//! The virtual world: clients, limiters, nodes and the network between them on one virtual clock, under one seed.
//!
//! Each limiter is the real [`Engine`] with the decision module in it. Nothing here decides what a limiter does; what
//! the world decides (delays, losses, work) is drawn from the seed. One run is one thread and one queue of events; events
//! of one moment come in the order in which they were noted, so that a seed gives the same run everywhere.

mod clients;
mod limiters;
mod nodes;
mod proxies;
mod timeline;
mod way;

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
use crate::clients::{ClientAction, Clients, Try, TryResult};
use crate::draws::{self, Stream};
use crate::figures::{Figures, Recorder, Second};
use crate::network::Network;
use crate::rules::{Oracle, TokenBucket};
use crate::scenario::{Repeats, Scenario, Trouble, What};
use crate::server_model::{Cancellation, Completion, Job, Rejection, ServerModel};

/// When a scenario begins on the world's clock: a steady clock that no limiter may take for 0.
pub const BEGIN_MS: Millis = 10_000_000.0;
/// Limiters start so long before the clients, so that their ceilings have filled.
const EARLY_MS: Millis = 6000.0;
/// Time allowed after the last arrival for all to be answered.
const AFTER_MS: Millis = 20_000.0;
/// One way between client and limiter, least and most.
const CLIENT_MS: [f64; 2] = [0.2, 1.0];
/// Work that a node spends on a repeat that it drops.
const REPEAT_MS: Millis = 1.0;
/// A limiter that stood still is not held to the deadlines that passed meanwhile, until so long after it goes on.
const THAW_MS: Millis = 1000.0;
/// Most idle connections that a limiter keeps to a node.
const MOST_IDLE: usize = 64;

#[derive(Debug)]
enum Event {
    Clients { at: u64 },
    TryArrives(Box<Try>),
    Left { limiter: usize, try_id: u64 },
    GivenUp { key: u64 },
    Answered { try_id: u64, got: TryResult },
    Due { limiter: usize, epoch: u32, at: u64 },
    Roster { limiter: usize, entries: Arc<[ServerEntry]> },
    Mail { limiter: usize, from: u32, body: Vec<u8> },
    Connects { key: u64 },
    ConnectTimeout { key: u64 },
    Reaches { key: u64 },
    CancelArrives { node: usize, key: u64 },
    NodeDue { node: usize, turn: u32 },
    Ended { key: u64, outcome: Outcome },
    Stopped { key: u64, outcome: Outcome },
    Begin { trouble: usize },
    End { trouble: usize },
    Blink { trouble: usize, on: bool },
    NodeExit { node: usize },
    Closes { limiter: usize, epoch: u32, down_ms: Millis },
    Killed { limiter: usize, epoch: u32, down_ms: Millis },
    Up { limiter: usize },
    Tick,
}

#[derive(Debug)]
struct Noted(u64, u64, Event);

impl PartialEq for Noted {
    fn eq(&self, other: &Noted) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Noted {}
impl PartialOrd for Noted {
    fn partial_cmp(&self, other: &Noted) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Noted {
    fn cmp(&self, other: &Noted) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Moments as whole nanoseconds, rounded up: what is due has come.
fn nanos(ms: Millis) -> u64 {
    (ms * 1e6).ceil() as u64
}

struct Limiter {
    engine: Option<Engine>,
    epoch: u32,
    zone: u32,
    listening: bool,
    /// It stands still until then, or did; 0 for never.
    frozen_until: Millis,
    armed: Option<f64>,
    open: FxHashMap<RequestId, u64>,
    ids: FxHashMap<u64, RequestId>,
    /// What proxies present, one stream a try, and the attempt that a proxy carries for it.
    external: Option<ExternalProcessor>,
    presented: FxHashSet<u64>,
    carried: FxHashMap<u64, u64>,
    attempts: FxHashMap<(RequestId, u32), u64>,
    /// Idle connections by node: since when.
    idle: Vec<Vec<Millis>>,
    /// The roster as its machine's agent has it.
    view: Vec<ServerEntry>,
    /// When the agent hears the last change sent so far.
    heard: Millis,
    rng: Stream,
}

struct Machine {
    node: ServerModel,
    id: ServerId,
    zone: u32,
    turn: u32,
    condition: Condition,
    silent: bool,
    errors: f64,
    resets: f64,
    before_ms: f64,
    rng: Stream,
}

struct Attempt {
    limiter: usize,
    epoch: u32,
    /// Nothing for one that a proxy carries.
    id: Option<RequestId>,
    attempt: u32,
    try_id: u64,
    node: usize,
    way: Millis,
    sent: Millis,
    fresh: bool,
    /// Its connection is up; from then on it may have been written, and may run.
    connected: bool,
    /// Its limiter has heard an outcome.
    over: bool,
    at_node: bool,
    /// Its client has left, when so much of its work was still to be done.
    left_with: Option<Millis>,
    repeat: bool,
    job: u64,
    class: usize,
    work: Millis,
}

struct Sent {
    job: u64,
    customer: usize,
    class: usize,
    limiter: usize,
    work: Millis,
}

/// One run of a scenario.
pub struct World {
    scenario: Scenario,
    now: Millis,
    queue: BinaryHeap<Reverse<Noted>>,
    number: u64,
    clients: Clients,
    clients_at: Option<u64>,
    limiters: Vec<Limiter>,
    machines: Vec<Machine>,
    by_id: FxHashMap<ServerId, usize>,
    attempts: FxHashMap<u64, Attempt>,
    next_attempt: u64,
    tries: FxHashMap<u64, Sent>,
    /// Requests of which a try was inside the quota when it was sent on.
    inside: FxHashMap<u64, bool>,
    /// All-seeing stores of what is asked for, by customer.
    asked: Vec<TokenBucket>,
    /// Firms that are not strangers.
    usual: usize,
    post: Network,
    /// How often each limiter hears nothing of the roster now.
    roster_silent: Vec<u32>,
    /// Roster changes that a limiter cannot hear of now.
    unheard: Vec<Vec<Arc<[ServerEntry]>>>,
    oracle: Oracle,
    recorder: Recorder,
    account: Account,
    seed: u64,
    events: u64,
    rng: Stream,
    outputs: Vec<Output>,
    said: Vec<ClientAction>,
    done: Vec<Completion>,
    tap: Option<OutputHook>,
    /// Time that the limiters took for their own work, where it is measured.
    decision_time: Option<std::time::Duration>,
}

/// Tampers with what a limiter asks to be done, for tests of the oracle: what it returns is done instead.
pub type OutputHook = Box<dyn FnMut(Millis, usize, Output) -> Vec<Output> + Send>;

/// What a run leaves.
pub struct Run {
    /// What it came to.
    pub figures: Figures,
    /// Each second.
    pub seconds: Vec<Second>,
    /// Time that the limiters took for their own work, as this machine has it; nothing unless it was measured.
    pub decision_time: Option<std::time::Duration>,
}

impl World {
    /// A world before its first event.
    ///
    /// # Errors
    /// When the limiters cannot be served with the scenario's settings; it names the setting.
    pub fn new(scenario: &Scenario, seed: u64) -> Result<World, String> {
        if let Some(wrong) = scenario.not_virtual().first() {
            return Err(wrong.to_string());
        }
        let scenario = &scenario.drawn(seed);
        let start = BEGIN_MS - EARLY_MS;
        let count = scenario.limiters.count as usize;
        let nodes = scenario.nodes.count as usize;
        let mut machines = Vec::with_capacity(nodes);
        for n in 0..nodes {
            let mut rng = draws::stream(seed, "node", n as u64);
            let speed = draws::between(&mut rng, scenario.nodes.speed);
            // Ids tell nothing of zone, kind or age.
            let id: ServerId = format!("n-{:08x}", rng.random::<u32>()).into();
            machines.push(Machine {
                node: ServerModel::warm(scenario.model(speed), start),
                id,
                zone: n as u32 % scenario.buildings,
                turn: 0,
                condition: Condition::Serving,
                silent: false,
                errors: 0.0,
                resets: 0.0,
                before_ms: 0.0,
                rng,
            });
        }
        let by_id = machines.iter().enumerate().map(|(n, m)| (m.id.clone(), n)).collect();
        let view: Vec<ServerEntry> = machines.iter().map(Machine::entry).collect();
        let limiters = (0..count).map(|l| Limiter {
            engine: None,
            epoch: 0,
            zone: l as u32 % scenario.buildings,
            listening: false,
            frozen_until: 0.0,
            armed: None,
            open: FxHashMap::default(),
            ids: FxHashMap::default(),
            external: None,
            presented: FxHashSet::default(),
            carried: FxHashMap::default(),
            attempts: FxHashMap::default(),
            idle: vec![Vec::new(); nodes],
            view: view.clone(),
            heard: start,
            rng: draws::stream(seed, "limiter", l as u64),
        });
        let mut world = World {
            now: start,
            queue: BinaryHeap::new(),
            number: 0,
            clients: Clients::new(scenario, seed, BEGIN_MS),
            clients_at: None,
            limiters: limiters.collect(),
            machines,
            by_id,
            attempts: FxHashMap::default(),
            next_attempt: 0,
            tries: FxHashMap::default(),
            inside: FxHashMap::default(),
            asked: Vec::new(),
            usual: 0,
            post: Network::new(scenario, start),
            roster_silent: vec![0; count],
            unheard: vec![Vec::new(); count],
            oracle: Oracle::new(scenario, BEGIN_MS),
            recorder: Recorder::new(scenario, BEGIN_MS),
            account: Account::new(scenario.limiters.count, BEGIN_MS, BEGIN_MS + scenario.seconds * 1000.0),
            seed,
            events: 0,
            rng: draws::stream(seed, "world", 0),
            outputs: Vec::new(),
            said: Vec::new(),
            done: Vec::new(),
            tap: None,
            decision_time: None,
            scenario: scenario.clone(),
        };
        world.usual = world.clients.customers().len();
        for limiter in 0..count {
            // Not in step: their rounds of work lie apart, as those of real machines do.
            let at = start + 100.0 * world.rng.random::<f64>();
            world.now = start;
            world.note(at, Event::Up { limiter });
        }
        for trouble in 0..scenario.timeline.len() {
            world.note(BEGIN_MS + scenario.timeline[trouble].at_s * 1000.0, Event::Begin { trouble });
        }
        world.stir();
        world.note(BEGIN_MS + 1000.0, Event::Tick);
        // A setting that no limiter can serve shows before the run.
        Engine::new(scenario.settings(0), 0, start)?;
        Ok(world)
    }

    /// How many customers there are.
    pub fn customer_count(&self) -> usize {
        self.clients.customers().len()
    }

    /// Lets `tap` change what limiters ask to be done.
    pub fn with_output_hook(mut self, tap: OutputHook) -> World {
        self.tap = Some(tap);
        self
    }

    /// Measures the time that the limiters take for their own work: the one figure that differs from run to run.
    pub fn with_decision_time(mut self) -> World {
        self.decision_time = Some(std::time::Duration::ZERO);
        self
    }

    /// Plays to the end. `progress` is told each second of the scenario that has passed.
    pub fn play(mut self, mut progress: impl FnMut(f64)) -> Run {
        let last = BEGIN_MS + self.scenario.seconds * 1000.0;
        let mut told = BEGIN_MS;
        while let Some(Reverse(Noted(at, _, event))) = self.queue.pop() {
            self.now = self.now.max(at as f64 / 1e6);
            if self.now > last + AFTER_MS
                || (self.now > last && self.clients.open_requests() == 0 && self.attempts.is_empty())
            {
                break;
            }
            if self.now >= told + 1000.0 {
                told += 1000.0;
                progress((told - BEGIN_MS) / 1000.0);
            }
            self.events += 1;
            self.happens(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Run {
        self.recorder.completed_work_ms = self.machines.iter().map(|m| m.node.completed_work_ms()).sum();
        let broken = self.oracle.violations().to_vec();
        let (mut figures, seconds) =
            self.recorder.finish(self.seed, &broken, self.oracle.violation_count(), self.events);
        (figures.added, figures.control) = self.account.finish();
        Run { figures, seconds, decision_time: self.decision_time }
    }

    fn note(&mut self, at: Millis, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Noted(nanos(at.max(self.now)), self.number, event)));
    }

    fn happens(&mut self, event: Event) {
        // A limiter that stands still takes things in when it goes on, in their order.
        let to = match &event {
            Event::TryArrives(t) => Some(t.limiter),
            Event::Left { limiter, .. } | Event::Due { limiter, .. } | Event::Roster { limiter, .. } => {
                Some(*limiter)
            }
            Event::Mail { limiter, .. } => Some(*limiter),
            Event::Ended { key, .. } | Event::ConnectTimeout { key } | Event::GivenUp { key } => {
                self.attempts.get(key).map(|a| a.limiter)
            }
            _ => None,
        };
        if let Some(until) = to.map(|l| self.limiters[l].frozen_until).filter(|until| *until > self.now) {
            return self.note(until, event);
        }
        match event {
            Event::Clients { at } => {
                // One that was noted before an earlier moment came up means nothing.
                if self.clients_at != Some(at) {
                    return;
                }
                self.clients_at = None;
                let mut said = std::mem::take(&mut self.said);
                self.clients.due(self.now, &mut said);
                self.hear(said);
            }
            Event::TryArrives(said) => self.try_arrives(*said),
            Event::Left { limiter, try_id } => self.left(limiter, try_id),
            Event::GivenUp { key } => self.given_up(key),
            Event::Answered { try_id, got } => {
                let mut said = std::mem::take(&mut self.said);
                self.clients.try_ended(self.now, try_id, got, &mut said);
                self.hear(said);
            }
            Event::Due { limiter, epoch, at } => {
                let l = &self.limiters[limiter];
                if l.epoch == epoch && l.armed.is_some_and(|armed| armed.to_bits() == at) {
                    self.limiters[limiter].armed = None;
                    self.tell(limiter, Input::TimerExpired);
                    self.give(limiter, external::Input::TimerExpired);
                }
            }
            Event::Roster { limiter, entries } => self.roster_heard(limiter, entries),
            Event::Mail { limiter, from, body } => self.mail_arrives(limiter, from, body),
            Event::Connects { key } => self.connects(key),
            Event::ConnectTimeout { key } => {
                if self.attempts.get(&key).is_some_and(|a| !a.connected) {
                    self.ended(key, Outcome::NoConnection);
                }
            }
            Event::Reaches { key } => self.reaches(key),
            Event::CancelArrives { node, key } => self.called_off(node, key),
            Event::NodeDue { node, turn } => {
                if self.machines[node].turn == turn {
                    self.node_due(node);
                }
            }
            Event::Ended { key, outcome } => self.ended(key, outcome),
            Event::Stopped { key, outcome } => self.hear_end(key, outcome),
            Event::Begin { trouble } => self.begins(trouble),
            Event::End { trouble } => self.ends(trouble),
            Event::Blink { trouble, on } => self.blinks(trouble, on),
            Event::NodeExit { node } => self.node_exits(node),
            Event::Closes { limiter, epoch, down_ms } => self.closes(limiter, epoch, down_ms),
            Event::Killed { limiter, epoch, down_ms } => {
                if self.limiters[limiter].epoch == epoch {
                    self.dies(limiter, down_ms);
                }
            }
            Event::Up { limiter } => self.comes_up(limiter),
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut busy = Vec::with_capacity(self.machines.len());
        let mut held = Vec::with_capacity(self.machines.len());
        for m in &mut self.machines {
            let done = m.node.completed_work_ms();
            busy.push(((done - m.before_ms) / (m.node.parameters().capacity() * 1000.0)) as f32);
            held.push(m.node.held() as f32);
            m.before_ms = done;
        }
        self.recorder.tick(now, busy, held);
        self.oracle.expire_effects(now);
        self.note(now + 1000.0, Event::Tick);
    }
}

impl Limiter {
    /// It stands still, or has just gone on: what it owed meanwhile it could not do.
    fn excused(&self, now: Millis) -> bool {
        self.frozen_until > 0.0 && now - self.frozen_until < THAW_MS
    }
}

impl Machine {
    fn entry(&self) -> ServerEntry {
        ServerEntry {
            server: self.id.clone(),
            zone: self.zone,
            cell: 0,
            condition: self.condition,
            weight: 1.0,
            started: self.node.started(),
        }
    }
}
