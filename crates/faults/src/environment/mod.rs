//! Runs a scenario on loopback in real time: clients, servers and discovery in this process, limiters as
//! processes of their own, and proxies between all of them.
//!
//! The models of clients, servers and message loss, the figures and the rules are those of the simulation
//! (`marldeal_rehearsal`); only the transport differs. Servers use no CPU: a request is answered when the model
//! says that its work is done.

mod clients;
mod config;
mod links;
mod servers;
mod timeline;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fawnhill::{Condition, Outcome};
use marldeal_rehearsal::clients::{Clients, Try};
use marldeal_rehearsal::draws::{self, Stream};
use marldeal_rehearsal::figures::Recorder;
use marldeal_rehearsal::observe::{
    Invariant, InvariantSet, NothingAfterDeadline, Observation, OneActorPerNumber, OneReplyPerAsk,
    SharesWithinTotal,
};
use marldeal_rehearsal::rules::{Oracle, Rule, TokenBucket};
use marldeal_rehearsal::scenario::{fault_name, Scenario, Trouble, What};
use marldeal_rehearsal::server_model::ServerModel;
use marldeal_rehearsal::world::BEGIN_MS;
use marldeal_standin::addresses::{loopback_address, unused_addresses};
use marldeal_standin::client::Client;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{AbortHandle, LocalSet};

use crate::datagrams::DatagramProxy;
use crate::figures::{Arrivals, Fleet, Lateness, Outcomes, Run};
use crate::processes::{self, ConfigFiles, LogLine, Process, Program};
use crate::resources::ResourceNeeds;
use crate::tasks::{self, spawn_local};
use links::Links;

/// Time allowed for final answers after the last arrival.
const FINAL_ANSWERS_TIMEOUT: Duration = Duration::from_secs(12);
/// Limiters that are started at the same time.
const CONCURRENT_STARTS: usize = 16;
/// Time after its deadline in which a client's exchange stays open. An answer in this time is late, a later one
/// is lost.
const GRACE_MS: f64 = 2000.0;
/// Lateness of the test environment itself above which nothing late is held against a limiter.
const MAX_OWN_LATENESS_MS: f64 = 100.0;
/// Delay allowed between the sending of an attempt and its observation: links, the server's accept queue, a
/// busy machine.
const OBSERVATION_SLACK_MS: f64 = 1000.0;
/// Log lines in no known form that are kept of a run.
const MAX_NOTES: usize = 40;
/// Largest scenario that a machine of 8 cores and 24 GiB runs with real processes.
const MAX_LIMITERS: u32 = 300;
const MAX_SERVERS: u32 = 400;
const MAX_REQUESTS_PER_S: f64 = 4000.0;

/// Returns what real processes cannot run of a scenario, and why; empty if they can run all of it.
pub fn unsupported(scenario: &Scenario) -> Vec<String> {
    let unsupported_fault = |t: &Trouble| {
        let why = match t.what {
            What::Part => "the test environment has no regions",
            What::Vanish => "a loopback address cannot fall silent without privileges",
            _ => return None,
        };
        Some(format!("\"{}\" runs in the simulation only: {why}", fault_name(t.what)))
    };
    let mut found: Vec<String> = scenario.timeline.iter().filter_map(unsupported_fault).collect();
    if scenario.regions > 1 {
        found.push("regions: the test environment has one region and no long-distance links".to_string());
    }
    if scenario.clients.proxied > 0.0 {
        found.push("clients.proxied: proxies run in the simulation only".to_string());
    }
    if scenario.nodes.count > MAX_SERVERS || scenario.limiters.count > MAX_LIMITERS {
        found.push(format!("at most {MAX_SERVERS} servers and {MAX_LIMITERS} limiters run as processes"));
    }
    if scenario.requests_per_s() > MAX_REQUESTS_PER_S {
        found.push(format!(
            "at most {MAX_REQUESTS_PER_S} requests a second are supported with processes, not {:.0}",
            scenario.requests_per_s()
        ));
    }
    found
}

struct TestServer {
    simulation: ServerModel,
    id: String,
    addr: SocketAddr,
    zone: u32,
    condition: Condition,
    /// Whether discovery has announced its last start.
    start_notified: bool,
    waiting: HashMap<u64, oneshot::Sender<Outcome>>,
    /// Counts the processes of this server; a change closes the listener and connections of the process before.
    generation: watch::Sender<u64>,
    changed: Rc<Notify>,
    error_share: f64,
    reset_share: f64,
    last_busy_ms: f64,
    rng: Stream,
}

struct SentRequest {
    request: Try,
    deadline: f64,
    /// When the request was handed to the limiter.
    sent_at: f64,
    /// Whether an attempt for it has reached a server.
    arrived: bool,
    /// Aborts the exchange and closes its connection.
    task: AbortHandle,
}

/// A limiter as the test environment sees it.
struct Limiter {
    process: Option<Process>,
    /// Present reasons why nothing is held against the limiter: stopped, starved, asked to end or down.
    hindrances: u32,
    /// When the number of these reasons last changed.
    hindered_until: f64,
    /// CPU time of its processes that have ended.
    cpu_ms: f64,
}

struct State {
    scenario: Scenario,
    started: Instant,
    start_unix_ms: f64,
    clients: Clients,
    oracle: Oracle,
    invariants: InvariantSet,
    recorder: Recorder,
    outcomes: Outcomes,
    servers: Vec<TestServer>,
    limiters: Vec<Limiter>,
    addrs: Vec<SocketAddr>,
    configs: Vec<serde_json::Value>,
    sent_requests: HashMap<u64, SentRequest>,
    /// Limiter and deadline of requests whose client has given up; kept for as long as an attempt may still
    /// arrive.
    abandoned: HashMap<u64, (usize, f64)>,
    quota_stores: Vec<TokenBucket>,
    usual_customers: usize,
    within_quota: HashMap<u64, bool>,
    worth_within_quota: HashMap<u64, f64>,
    next_attempt: u64,
    version: u64,
    /// Number of present faults that silence discovery, by group.
    discovery_silences: Vec<u32>,
    /// Version of the server list that was last announced to each group, and that each group has last received.
    announced: Vec<u64>,
    received: Vec<u64>,
    /// Requests whose limiter was killed before any attempt for them reached a server.
    killed_before_sending: HashSet<u64>,
    arrivals: Arrivals,
    lateness: Lateness,
    descriptors: usize,
    rng: Stream,
    notes: Vec<String>,
    failure: Option<String>,
}

struct Environment {
    state: RefCell<State>,
    client: Client,
    clients_changed: Notify,
    links: Links,
    datagrams: Rc<DatagramProxy>,
    program: Program,
    files: ConfigFiles,
}

impl State {
    fn now(&self) -> f64 {
        BEGIN_MS + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time of the scenario to the process's clock.
    fn instant(&self, at: f64) -> tokio::time::Instant {
        (self.started + Duration::from_secs_f64(((at - BEGIN_MS) / 1000.0).clamp(0.0, 1e6))).into()
    }

    /// Whether the limiter ran without interruption since then, and the test environment itself was not late.
    fn is_accountable(&self, limiter: usize, since: f64) -> bool {
        let limiter = &self.limiters[limiter];
        limiter.hindrances == 0 && limiter.hindered_until < since && self.lateness.last_exceeded < since
    }

    fn change_hindrances(&mut self, limiter: usize, by: i32) {
        let now = self.now();
        let limiter = &mut self.limiters[limiter];
        limiter.hindrances = limiter.hindrances.saturating_add_signed(by);
        limiter.hindered_until = now;
    }

    fn record_violation(&mut self, rule: Rule, what: String) {
        let now = self.now();
        self.oracle.record_violation(rule, now, what);
    }
}

/// Runs a scenario in real time, with the given invariants checked beside the standard ones. `progress` is
/// called with each second that has passed.
///
/// # Errors
/// Returns one line for each part of the scenario that is not supported, or says what could not be started.
pub fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    invariants: Vec<Box<dyn Invariant>>,
    progress: impl FnMut(f64) + 'static,
) -> Result<Run, String> {
    let unsupported = unsupported(scenario);
    if !unsupported.is_empty() {
        return Err(unsupported.join("\n"));
    }
    let scenario = scenario.resolve_random_targets(seed);
    ResourceNeeds::for_scenario(&scenario, Links::proxy_count(&scenario)).check()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    // On an interrupt the run is dropped, and with it every process that it has started.
    LocalSet::new().block_on(&runtime, async {
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .map_err(|e| format!("SIGTERM: {e}"))?;
        tokio::select! {
            run = run_in_environment(&scenario, seed, program, invariants, progress) => run,
            _ = tokio::signal::ctrl_c() => Err("interrupted".to_string()),
            _ = term.recv() => Err("terminated".to_string()),
        }
    })
}

async fn run_in_environment(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    mut invariants: Vec<Box<dyn Invariant>>,
    mut progress: impl FnMut(f64) + 'static,
) -> Result<Run, String> {
    // Discards the panic of an earlier run on this thread.
    drop(tasks::take_panic());
    invariants.push(Box::new(NothingAfterDeadline { slack_ms: OBSERVATION_SLACK_MS }));
    invariants.push(Box::new(OneReplyPerAsk::default()));
    invariants.push(Box::new(OneActorPerNumber::default()));
    invariants.push(Box::new(SharesWithinTotal::default()));
    let started = Instant::now();
    let count = scenario.limiters.count as usize;
    let (servers, listeners) = servers::open(scenario, seed).await?;
    let targets: Vec<SocketAddr> = servers.iter().map(|server| server.addr).collect();
    let links = Links::open(scenario, seed, &targets).await?;
    let limiter_addrs = unused_addresses(count);
    let clock = move || BEGIN_MS + started.elapsed().as_secs_f64() * 1000.0;
    let datagrams = DatagramProxy::open(scenario, seed, limiter_addrs.clone(), clock).await?;
    let mut state = State {
        started,
        start_unix_ms: 0.0,
        clients: Clients::new(scenario, seed, BEGIN_MS),
        oracle: Oracle::with_delayed_observation(scenario, BEGIN_MS),
        invariants: InvariantSet::new(invariants),
        recorder: Recorder::new(scenario, BEGIN_MS),
        outcomes: Outcomes::default(),
        arrivals: Arrivals::new(
            scenario,
            &servers.iter().map(|server| server.simulation.parameters().speed).collect::<Vec<_>>(),
        ),
        lateness: Lateness::new(MAX_OWN_LATENESS_MS),
        descriptors: 0,
        servers,
        limiters: Vec::new(),
        addrs: Vec::new(),
        configs: Vec::new(),
        sent_requests: HashMap::new(),
        abandoned: HashMap::new(),
        quota_stores: Vec::new(),
        usual_customers: 0,
        within_quota: HashMap::new(),
        worth_within_quota: HashMap::new(),
        next_attempt: 0,
        version: 0,
        discovery_silences: vec![0; links.group_count()],
        announced: vec![0; links.group_count()],
        received: vec![0; links.group_count()],
        killed_before_sending: HashSet::new(),
        rng: draws::stream(seed, "sockets", 0),
        notes: Vec::new(),
        failure: None,
        scenario: scenario.clone(),
    };
    state.usual_customers = state.clients.customers().len();
    for group in 0..links.group_count() {
        links.announce(group, &state.server_list(&links, group));
    }
    let (peers, broadcast) = (datagrams.peer_addrs()?, datagrams.broadcast_addr()?);
    for (position, datagrams) in limiter_addrs.iter().enumerate() {
        let discovery = links.discovery(links.group_of(position));
        let at = config::Addresses { discovery, datagrams: *datagrams, peers: peers.clone(), broadcast };
        state.configs.push(config::config(scenario, seed, position as u32, &at));
    }
    let files = ConfigFiles::new(scenario.limiters.prefetch)?;
    let environment = Rc::new(Environment {
        state: RefCell::new(state),
        client: Client::default(),
        clients_changed: Notify::new(),
        links,
        datagrams,
        program: program.clone(),
        files,
    });
    let weak_environment = Rc::downgrade(&environment);
    environment.datagrams.set_observer(Box::new(move |from, to, delivered, body| {
        let (Some(environment), Some(lines)) = (weak_environment.upgrade(), fawnhill::line_kinds(body))
        else {
            return;
        };
        let mut state = environment.state.borrow_mut();
        let now = state.now();
        state.invariants.observe(now, &Observation::Datagram { from, to, delivered, lines: &lines });
    }));
    spawn_local(servers::record_received_lists(environment.clone()));
    start_all(&environment).await?;
    let started = {
        let mut state = environment.state.borrow_mut();
        state.started = Instant::now();
        #[expect(clippy::disallowed_methods, reason = "discovery names start times of servers as Unix time")]
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        state.start_unix_ms = unix.as_secs_f64() * 1000.0;
        for limiter in &mut state.limiters {
            limiter.hindered_until = 0.0;
        }
        state.started
    };
    for (n, listener) in listeners.into_iter().enumerate() {
        spawn_local(servers::serve(environment.clone(), n, listener));
        spawn_local(servers::complete_requests(environment.clone(), n));
    }
    for index in 0..scenario.timeline.len() {
        spawn_local(timeline::run_fault(environment.clone(), index));
    }
    spawn_local(measure_own_lateness(environment.clone()));
    let client_task = spawn_local(clients::run_clients(environment.clone()));
    let last = Duration::from_secs_f64(scenario.seconds);
    for second in 1u32.. {
        tokio::time::sleep_until((started + Duration::from_secs(u64::from(second))).into()).await;
        end_second(&environment);
        progress(f64::from(second));
        if let Some(message) = tasks::take_panic() {
            return Err(format!("the test environment panicked: {message}"));
        }
        if let Some(failure) = environment.state.borrow_mut().failure.take() {
            return Err(failure);
        }
        let over = environment.state.borrow().clients.open_requests() == 0;
        if started.elapsed() > last + FINAL_ANSWERS_TIMEOUT || (started.elapsed() > last && over) {
            break;
        }
    }
    client_task.abort();
    Ok(collect_result(&environment, seed))
}

fn collect_result(environment: &Rc<Environment>, seed: u64) -> Run {
    let mut guard = environment.state.borrow_mut();
    let state = &mut *guard;
    let scenario = state.scenario.clone();
    let mut recorder = std::mem::replace(&mut state.recorder, Recorder::new(&scenario, BEGIN_MS));
    recorder.completed_work_ms =
        state.servers.iter().map(|server| server.simulation.completed_work_ms()).sum();
    state.outcomes.killed_taken = state.killed_before_sending.len() as u64;
    let counts = environment.datagrams.counts();
    let lost = counts.lost;
    recorder.messages = [counts.sent.iter().sum(), lost];
    recorder.message_bytes = counts.bytes;
    let mut cpu_ms = Vec::new();
    let mut memory_mb = Vec::new();
    for limiter in &mut state.limiters {
        let now = limiter.process.as_ref().and_then(|p| crate::figures::usage(p.pid));
        cpu_ms.push(limiter.cpu_ms + now.map_or(0.0, |u| u.cpu_ms));
        memory_mb.extend(now.map(|u| u.memory_mb));
    }
    let (figures, seconds) =
        recorder.finish(seed, state.oracle.violations(), state.oracle.violation_count(), 0);
    let fleet = Fleet {
        outcomes: state.outcomes.clone(),
        words: counts,
        cpu_ms,
        memory_mb,
        descriptors: state.descriptors,
        load: state.arrivals.finish(seed),
        lateness: state.lateness.finish(),
        breaches: state.invariants.breaches().to_vec(),
        breach_count: state.invariants.count(),
        notes: std::mem::take(&mut state.notes),
    };
    Run { figures, seconds, fleet }
}

/// Starts all limiters, several at a time, and waits until each is ready.
async fn start_all(environment: &Rc<Environment>) -> Result<(), String> {
    let count = environment.state.borrow().configs.len();
    for from in (0..count).step_by(CONCURRENT_STARTS) {
        let starts: Vec<_> = (from..(from + CONCURRENT_STARTS).min(count))
            .map(|n| {
                let environment = environment.clone();
                let config = environment.state.borrow().configs[n].clone();
                spawn_local(
                    async move { Process::start(&environment.program, &environment.files, &config).await },
                )
            })
            .collect();
        for start in starts {
            let process =
                start.await.map_err(|e| e.to_string())?.ok_or("the start of a limiter panicked")??;
            let position = environment.state.borrow().limiters.len();
            let mut state = environment.state.borrow_mut();
            state.addrs.push(process.addr);
            // A restarted limiter listens at the same address.
            state.configs[position]["listen"] = process.addr.to_string().into();
            state.limiters.push(Limiter { process: None, hindrances: 0, hindered_until: 0.0, cpu_ms: 0.0 });
            drop(state);
            attach_process(environment, position, process);
        }
    }
    let addrs = environment.state.borrow().addrs.clone();
    for addr in addrs {
        processes::wait_until_ready(&environment.client, addr).await?;
    }
    Ok(())
}

/// Records the limiter's new process and reads its log.
fn attach_process(environment: &Rc<Environment>, limiter: usize, mut process: Process) {
    if let Some(mut lines) = process.lines.take() {
        let environment = environment.clone();
        spawn_local(async move {
            while let Some(line) = lines.recv().await {
                handle_log_line(&environment, limiter, line);
            }
        });
    }
    environment.state.borrow_mut().limiters[limiter].process = Some(process);
}

/// Handles one line of a limiter's log.
fn handle_log_line(environment: &Rc<Environment>, limiter: usize, line: LogLine) {
    let mut guard = environment.state.borrow_mut();
    let state = &mut *guard;
    let now = state.now();
    match line {
        LogLine::Text(text) => {
            if state.notes.len() < MAX_NOTES {
                state.notes.push(format!("limiter {limiter}: {text}"));
            }
        }
        LogLine::Fields(fields) => {
            let text = |key: &str| fields.get(key).and_then(|v| v.as_str());
            let number = |key: &str| fields.get(key).and_then(serde_json::Value::as_f64);
            match text("event") {
                Some("acts") => {
                    if let (Some(duty), Some(fence)) =
                        (text("duty"), fields.get("number").and_then(|n| n.as_u64()))
                    {
                        state.invariants.observe(now, &Observation::Acts { limiter, duty, number: fence });
                    }
                }
                Some("holds") => {
                    let figures = (text("budget"), number("part"), number("whole"), number("for_ms"));
                    if let (Some(budget), Some(part), Some(whole), Some(for_ms)) = figures {
                        let until = now + for_ms;
                        state
                            .invariants
                            .observe(now, &Observation::Holds { limiter, budget, part, whole, until });
                    }
                }
                _ => {}
            }
        }
    }
}

/// Measures how late this process wakes up; what it sees late is not held against limiters.
async fn measure_own_lateness(environment: Rc<Environment>) {
    const INTERVAL: Duration = Duration::from_millis(20);
    loop {
        let due = tokio::time::Instant::now() + INTERVAL;
        tokio::time::sleep_until(due).await;
        let late_ms = due.elapsed().as_secs_f64() * 1000.0;
        let mut state = environment.state.borrow_mut();
        let now = state.now();
        state.lateness.record(now, late_ms);
    }
}

fn end_second(environment: &Rc<Environment>) {
    let mut guard = environment.state.borrow_mut();
    let state = &mut *guard;
    let now = state.now();
    let (mut busy, mut held) = (Vec::new(), Vec::new());
    for (n, server) in state.servers.iter_mut().enumerate() {
        let done = server.simulation.completed_work_ms();
        busy.push(
            ((done - server.last_busy_ms) / (server.simulation.parameters().capacity() * 1000.0)) as f32,
        );
        held.push(server.simulation.held() as f32);
        server.last_busy_ms = done;
        let ready = server.condition == Condition::Serving && server.simulation.share(now) >= 1.0;
        let seen = Observation::Load {
            server: n,
            ready,
            held: server.simulation.held(),
            slots: server.simulation.parameters().slots,
        };
        state.invariants.observe(now, &seen);
        state.arrivals.end_second(n, ready);
    }
    state.recorder.tick(now, busy, held);
    state.descriptors = state.descriptors.max(crate::figures::own_descriptors());
    state.oracle.expire_effects(now);
    state.abandoned.retain(|_, (_, deadline)| now - *deadline < 60_000.0);
    for n in 0..state.limiters.len() {
        let limiter = &mut state.limiters[n];
        // A hindered limiter is ended and started again by the fault that affects it.
        let exit_status = if limiter.hindrances == 0 {
            limiter.process.as_mut().and_then(Process::exit_status)
        } else {
            None
        };
        if let Some(status) = exit_status {
            limiter.process = None;
            state.outcomes.crashes += 1;
            state.invariants.observe(now, &Observation::LimiterExited { limiter: n });
            let what = format!("limiter {n} ended by itself: {status}");
            state.record_violation(Rule::Answer, what);
        }
    }
}
