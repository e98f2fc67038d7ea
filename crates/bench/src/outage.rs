//! One limiter's engine on a virtual clock with servers that answer, or fail to, in a given way.

use std::collections::BTreeMap;
use std::sync::Arc;

use fawnhill::{Condition, Outcome, Request, RequestId, ServerEntry};
use marldeal_engine::{Engine, Input, Output};
use marldeal_snapshot::moments::{MonotonicTime, WallTime};
use marldeal_snapshot::{Assessment, SnapshotKind};
use rand::RngExt;

use crate::harness::settings;

/// Servers per limiter in the planned size.
const SERVERS_PER_LIMITER: f64 = 9.23;
/// Time after which a refused connection, a full server or a failing one is known.
const FAST_ANSWER_MS: f64 = 0.2;
/// Response times of the servers: the shortest, and the range above it.
const RESPONSE_MS: (f64, f64) = (5.0, 20.0);
/// Quota of the plan, which refuses nothing.
const UNITS_PER_S: f64 = 1e9;
const BUDGET_MS: f64 = 3000.0;
const CUSTOMERS: u64 = 100;
/// Longer than any run.
const FOREVER_MS: f64 = 1e9;

/// Why requests are refused, if they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// All servers answer.
    Served,
    /// All servers are ejected: connections have been refused from the start.
    NeverReached,
    /// All servers are ejected, and answered before.
    Lost,
    /// All servers are ejected; they accept attempts and answer nothing.
    Silent,
    /// All servers are ejected for errors.
    Failing,
    /// All servers have refused attempts as full.
    Full,
    /// All listed servers drain.
    Draining,
}

pub const CASES: [Case; 7] =
    [Case::Served, Case::NeverReached, Case::Lost, Case::Silent, Case::Failing, Case::Full, Case::Draining];

impl Case {
    /// How an attempt ends and after which time; `None` if it gets no answer.
    fn end_of_attempt(self, draw: f64) -> Option<(Outcome, f64)> {
        match self {
            Case::Served => Some((Outcome::Ok, RESPONSE_MS.0 + draw * RESPONSE_MS.1)),
            Case::NeverReached | Case::Lost => Some((Outcome::NoConnection, FAST_ANSWER_MS)),
            Case::Failing => Some((Outcome::Error, FAST_ANSWER_MS)),
            Case::Full => Some((Outcome::Full, FAST_ANSWER_MS)),
            Case::Silent | Case::Draining => None,
        }
    }

    /// Whether all servers are ejected at the start.
    fn starts_ejected(self) -> bool {
        matches!(self, Case::NeverReached | Case::Lost | Case::Silent | Case::Failing)
    }
}

/// A change of the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListChange {
    /// One server drains, or serves again.
    State,
    /// One server leaves, or joins again.
    Membership,
    /// The whole list is received again.
    Whole,
}

pub const LIST_CHANGES: [ListChange; 3] = [ListChange::State, ListChange::Membership, ListChange::Whole];

/// What was counted since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Requests submitted.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Attempts sent.
    pub attempts: u64,
}

/// One limiter on a virtual clock, its servers and clients.
pub struct Run {
    engine: Engine,
    case: Case,
    /// The server list at the start.
    list: Arc<[ServerEntry]>,
    outputs: Vec<Output>,
    /// Ends of attempts that are on their way, by time in microseconds and in the order of sending.
    ends: BTreeMap<(u64, u64), (RequestId, u32, Outcome)>,
    rng: rand::rngs::SmallRng,
    now: f64,
    sequence: u64,
    /// What was counted since the last reset.
    pub counts: Counts,
}

impl Run {
    /// A limiter before this many servers. `single`: it is the only one, and uses all of them. Otherwise the tier grows
    /// with the servers.
    pub fn new(case: Case, servers: u32, single: bool) -> Run {
        let limiters = match single {
            true => 1,
            false => (f64::from(servers) / SERVERS_PER_LIMITER).round().max(1.0) as u32,
        };
        let settings = fawnhill::Settings { limiters, ..settings(UNITS_PER_S, 1000) };
        let mut engine = Engine::new(settings, 1, 0.0).expect("valid settings");
        let condition = if case == Case::Draining { Condition::Draining } else { Condition::Serving };
        let mut outputs = Vec::new();
        let entries: Arc<[_]> = (0..servers).map(|n| entry(n, condition)).collect();
        let list = entries.clone();
        engine.handle(0.0, Input::Servers { whole: true, entries }, &mut outputs);
        let mut rng = rand::SeedableRng::seed_from_u64(1);
        set_server_states(&mut engine, case, &mut rng);
        Run {
            engine,
            case,
            list,
            outputs,
            ends: BTreeMap::new(),
            rng,
            now: 0.0,
            sequence: 0,
            counts: Counts::default(),
        }
    }

    /// Runs for some virtual time under a constant rate of requests.
    pub fn run(&mut self, duration_ms: f64, rate: f64) {
        let requests = (duration_ms * rate / 1000.0) as u64;
        let start = self.now;
        for n in 0..requests {
            self.advance(start + n as f64 * 1000.0 / rate);
            self.submit();
        }
    }

    /// Handles everything that happens up to a time.
    fn advance(&mut self, until: f64) {
        loop {
            let timer = self.engine.next_due().filter(|at| *at <= until);
            let end = self.ends.first_key_value().map(|(key, _)| *key).filter(|key| micros(*key) <= until);
            match (timer, end) {
                (Some(timer), end) if end.is_none_or(|key| timer < micros(key)) => {
                    self.now = self.now.max(timer);
                    self.handle(Input::TimerExpired);
                }
                (_, Some(key)) => {
                    self.now = self.now.max(micros(key));
                    let (id, attempt, outcome) = self.ends.remove(&key).expect("an end that was just found");
                    self.handle(Input::attempt_ended(id, attempt, outcome));
                }
                _ => break,
            }
        }
        self.now = self.now.max(until);
    }

    /// Passes the `n`th of a sequence of changes of the server list to the engine. Each second one undoes the one before.
    pub fn change_list(&mut self, change: ListChange, n: u32) {
        let server = n / 2 % self.list.len() as u32;
        let (whole, entries) = match change {
            ListChange::Whole => (true, self.list.clone()),
            _ if n % 2 == 1 => (false, [entry(server, Condition::Serving)].into()),
            ListChange::State => (false, [entry(server, Condition::Draining)].into()),
            ListChange::Membership => (false, [entry(server, Condition::Gone)].into()),
        };
        self.handle(Input::Servers { whole, entries });
    }

    fn submit(&mut self) {
        self.sequence += 1;
        self.counts.requests += 1;
        let request = Request {
            id: 0,
            class: 0,
            plan: 0,
            customer: self.rng.random_range(0..CUSTOMERS),
            budget_ms: BUDGET_MS,
            units: 1.0,
            spread: 1,
            first: 0,
        };
        let correlation_id = self.sequence.to_be_bytes().as_slice().into();
        self.handle(Input::Request { correlation_id, request });
    }

    fn handle(&mut self, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.engine.handle(self.now, input, &mut outputs);
        let mut stopped = Vec::new();
        for output in outputs.drain(..) {
            match output {
                Output::Send { id, attempt, .. } => {
                    self.counts.attempts += 1;
                    self.sequence += 1;
                    let draw = self.rng.random::<f64>();
                    if let Some((outcome, after_ms)) = self.case.end_of_attempt(draw) {
                        let at = ((self.now + after_ms) * 1000.0) as u64;
                        self.ends.insert((at, self.sequence), (id, attempt, outcome));
                    }
                }
                Output::Stop { id, attempt, outcome } => {
                    stopped.push(Input::attempt_ended(id, attempt, outcome))
                }
                Output::Answer { answer, .. } => {
                    self.counts.served += u64::from(answer == marldeal_engine::Answer::Served);
                }
                _ => {}
            }
        }
        self.outputs = outputs;
        stopped.into_iter().for_each(|input| self.handle(input));
    }
}

fn entry(n: u32, condition: Condition) -> ServerEntry {
    let server = format!("s-{n:08x}").into();
    ServerEntry { server, zone: 0, cell: 0, condition, weight: 1.0, started: 0.0 }
}

/// Gives the limiter the state of servers that it knows by experience.
fn set_server_states(engine: &mut Engine, case: Case, rng: &mut rand::rngs::SmallRng) {
    let (written_at, wall_time) = (MonotonicTime::from_millis(0.0), WallTime::from_unix_millis(0.0));
    let mut state = engine.snapshot(0.0, written_at, wall_time, SnapshotKind::Running).state;
    for (_, server) in &mut state.servers {
        if case.starts_ejected() {
            (server.ejected, server.silences) = ((FOREVER_MS, 8000.0), 3);
        }
        if case == Case::Full {
            server.full = FOREVER_MS;
        }
        if case == Case::Lost {
            server.latency = RESPONSE_MS.0 + rng.random::<f64>() * RESPONSE_MS.1;
            server.answers.0 = 1.0 + rng.random::<f64>() * 20.0;
        }
    }
    if case == Case::Lost {
        state.feedback.figures[0] = RESPONSE_MS.0 + RESPONSE_MS.1 / 2.0;
    }
    engine.restore(0.0, Assessment::SameLimiter { state, next_request: 0 });
}

fn micros((at, _): (u64, u64)) -> f64 {
    at as f64 / 1000.0
}
