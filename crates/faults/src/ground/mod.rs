//! Clients and nodes of a scenario on loopback, in real time, round limiters that are processes of their own, with relays
//! between all of them.
//!
//! Clients, nodes, post, figures and the oracle are those of the virtual world (`marldeal_rehearsal`); only what carries
//! them is different. Nodes burn no CPU: a request is answered when the model says that its work is done.

mod clients;
mod config;
mod nodes;
mod timeline;
mod ways;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fawnhill::{Condition, Outcome};
use marldeal_rehearsal::clients::{Clients, Try};
use marldeal_rehearsal::draws::{self, Stream};
use marldeal_rehearsal::figures::Recorder;
use marldeal_rehearsal::node::Node;
use marldeal_rehearsal::observe::{
    Invariant, Judges, NothingAfterDeadline, OneUnderANumber, OneWordAnAsk, PartsWithinWhole, Seen,
};
use marldeal_rehearsal::rules::{Oracle, Rule, Store};
use marldeal_rehearsal::scenario::{name_of, Scenario, Trouble, What};
use marldeal_rehearsal::world::BEGIN_MS;
use marldeal_standin::client::Client;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{AbortHandle, LocalSet};

use crate::figures::{Arrivals, Fleet, Lateness, Outcomes, Run};
use crate::mail::Mail;
use crate::processes::{self, loopback, Files, Line, Process, Program};
use crate::room::Needs;
use crate::tasks::{self, spawn_local};
use ways::Ways;

/// Time allowed after the last arrival for all to be answered.
const AFTER: Duration = Duration::from_secs(12);
/// Processes that start at one time.
const START_TOGETHER: usize = 16;
/// How long a client whose time is over still listens for an answer: what comes then was late, what does not is lost.
const GRACE_MS: f64 = 2000.0;
/// The ground's own lateness from which nothing that a limiter does late is held against it.
const GROUND_LATE_MS: f64 = 100.0;
/// How much later than sent an attempt may be seen: ways, the node's queue of accepted connections, a busy machine.
const SEEN_LATE_MS: f64 = 1000.0;
/// Lines that are not in the log's form and are kept of a run.
const MOST_NOTES: usize = 40;
/// Most that real processes play: what one machine of 8 cores and 24 GiB was seen to bear.
const MOST_LIMITERS: u32 = 300;
const MOST_NODES: u32 = 400;
const MOST_PER_S: f64 = 4000.0;

/// What of a scenario real processes cannot play, and why; nothing if all can.
pub fn mistakes(scenario: &Scenario) -> Vec<String> {
    let no = |t: &Trouble| {
        let why = match t.what {
            What::Part => "the ground has no regions",
            What::Vanish => "a loopback address cannot fall silent without privileges",
            _ => return None,
        };
        Some(format!("\"{}\" is played in the virtual world only: {why}", name_of(t.what)))
    };
    let mut found: Vec<String> = scenario.timeline.iter().filter_map(no).collect();
    if scenario.regions > 1 {
        found.push("regions: the ground has one, and no far ways".to_string());
    }
    if scenario.clients.proxied > 0.0 {
        found.push("clients.proxied: proxies are played in the virtual world only".to_string());
    }
    if scenario.nodes.count > MOST_NODES || scenario.limiters.count > MOST_LIMITERS {
        found
            .push(format!("at most {MOST_NODES} nodes and {MOST_LIMITERS} limiters are played by processes"));
    }
    if scenario.requests_per_s() > MOST_PER_S {
        found.push(format!(
            "at most {MOST_PER_S} requests a second are played by processes, not {:.0}",
            scenario.requests_per_s()
        ));
    }
    found
}

struct Host {
    node: Node,
    id: String,
    addr: SocketAddr,
    zone: u32,
    condition: Condition,
    /// Discovery has told of its last start.
    told: bool,
    waiting: HashMap<u64, oneshot::Sender<Outcome>>,
    /// Ends its listener and connections when its process does.
    life: watch::Sender<u64>,
    changed: Rc<Notify>,
    errors: f64,
    resets: f64,
    before_ms: f64,
    rng: Stream,
}

struct Sent {
    of: Try,
    deadline: f64,
    /// When it was handed to the limiter.
    at: f64,
    /// An attempt of it has come to a node.
    arrived: bool,
    /// Ends its exchange, and with it the connection.
    task: AbortHandle,
}

/// A limiter's process, as the ground keeps it.
struct Limiter {
    process: Option<Process>,
    /// Stopped, starved, asked to end or down: since then; what it owed then is not held against it.
    hindered: u32,
    /// When it was last hindered.
    until: f64,
    /// CPU of those of its processes that have ended.
    cpu_ms: f64,
}

struct State {
    scenario: Scenario,
    began: Instant,
    unix_ms: f64,
    clients: Clients,
    oracle: Oracle,
    judges: Judges,
    recorder: Recorder,
    outcomes: Outcomes,
    hosts: Vec<Host>,
    limiters: Vec<Limiter>,
    addrs: Vec<SocketAddr>,
    configs: Vec<serde_json::Value>,
    tries: HashMap<u64, Sent>,
    /// Tries whose client has given up: limiter, deadline; until they cannot matter any more.
    past: HashMap<u64, (usize, f64)>,
    asked: Vec<Store>,
    usual: usize,
    inside: HashMap<u64, bool>,
    asked_inside: HashMap<u64, f64>,
    next_attempt: u64,
    version: u64,
    /// How often discovery is silent towards a side now.
    silent: Vec<u32>,
    /// Version of the list that each side was announced last, and that it has heard last.
    announced: Vec<u64>,
    heard: Vec<u64>,
    /// Tries whose limiter was killed before it had sent them on, as far as was seen.
    killed_before: HashSet<u64>,
    arrivals: Arrivals,
    lateness: Lateness,
    descriptors: usize,
    rng: Stream,
    notes: Vec<String>,
    trouble: Option<String>,
}

struct Stage {
    state: RefCell<State>,
    client: Client,
    clients_changed: Notify,
    ways: Ways,
    mail: Rc<Mail>,
    program: Program,
    files: Files,
}

impl State {
    fn now(&self) -> f64 {
        BEGIN_MS + self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// A moment of the world on the process's clock.
    fn instant(&self, at: f64) -> tokio::time::Instant {
        (self.began + Duration::from_secs_f64(((at - BEGIN_MS) / 1000.0).clamp(0.0, 1e6))).into()
    }

    /// The limiter ran all the time since then, and the ground was not late itself.
    fn held_to(&self, limiter: usize, since: f64) -> bool {
        let l = &self.limiters[limiter];
        l.hindered == 0 && l.until < since && self.lateness.last_beyond < since
    }

    fn hinders(&mut self, limiter: usize, by: i32) {
        let now = self.now();
        let l = &mut self.limiters[limiter];
        l.hindered = l.hindered.saturating_add_signed(by);
        l.until = now;
    }

    fn breaks(&mut self, rule: Rule, what: String) {
        let now = self.now();
        self.oracle.saw(rule, now, what);
    }
}

/// Plays a scenario in real time with the given judges beside those that always sit; `progress` is told each second that
/// has passed.
///
/// # Errors
/// One plain line a mistake, or what could not be started.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    judges: Vec<Box<dyn Invariant>>,
    progress: impl FnMut(f64) + 'static,
) -> Result<Run, String> {
    let wrong = mistakes(scenario);
    if !wrong.is_empty() {
        return Err(wrong.join("\n"));
    }
    let scenario = scenario.drawn(seed);
    Needs::of(&scenario, Ways::relays(&scenario)).check()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    // Interrupted, the run is dropped, and with it every process that it has started.
    LocalSet::new().block_on(&runtime, async {
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .map_err(|e| format!("SIGTERM: {e}"))?;
        tokio::select! {
            run = stage(&scenario, seed, program, judges, progress) => run,
            _ = tokio::signal::ctrl_c() => Err("interrupted".to_string()),
            _ = term.recv() => Err("asked to end".to_string()),
        }
    })
}

async fn stage(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    mut judges: Vec<Box<dyn Invariant>>,
    mut progress: impl FnMut(f64) + 'static,
) -> Result<Run, String> {
    // What an earlier run of this thread has left.
    drop(tasks::panicked());
    judges.push(Box::new(NothingAfterDeadline { slack_ms: SEEN_LATE_MS }));
    judges.push(Box::new(OneWordAnAsk::default()));
    judges.push(Box::new(OneUnderANumber::default()));
    judges.push(Box::new(PartsWithinWhole::default()));
    let started = Instant::now();
    let count = scenario.limiters.count as usize;
    let (hosts, listeners) = nodes::open(scenario, seed).await?;
    let targets: Vec<SocketAddr> = hosts.iter().map(|h| h.addr).collect();
    let ways = Ways::open(scenario, seed, &targets).await?;
    let real = processes::mail_addresses(count)?;
    let clock = move || BEGIN_MS + started.elapsed().as_secs_f64() * 1000.0;
    let mail = Mail::open(scenario, seed, real.clone(), clock).await?;
    let mut state = State {
        began: started,
        unix_ms: 0.0,
        clients: Clients::new(scenario, seed, BEGIN_MS),
        oracle: Oracle::from_afar(scenario, BEGIN_MS),
        judges: Judges::new(judges),
        recorder: Recorder::new(scenario, BEGIN_MS),
        outcomes: Outcomes::default(),
        arrivals: Arrivals::new(scenario, &hosts.iter().map(|h| h.node.model().speed).collect::<Vec<_>>()),
        lateness: Lateness::new(GROUND_LATE_MS),
        descriptors: 0,
        hosts,
        limiters: Vec::new(),
        addrs: Vec::new(),
        configs: Vec::new(),
        tries: HashMap::new(),
        past: HashMap::new(),
        asked: Vec::new(),
        usual: 0,
        inside: HashMap::new(),
        asked_inside: HashMap::new(),
        next_attempt: 0,
        version: 0,
        silent: vec![0; ways.sides()],
        announced: vec![0; ways.sides()],
        heard: vec![0; ways.sides()],
        killed_before: HashSet::new(),
        rng: draws::stream(seed, "sockets", 0),
        notes: Vec::new(),
        trouble: None,
        scenario: scenario.clone(),
    };
    state.usual = state.clients.firms().len();
    for side in 0..ways.sides() {
        ways.announce(side, &state.roster(&ways, side));
    }
    let (peers, everyone) = (mail.peers()?, mail.everyone()?);
    for (position, mail) in real.iter().enumerate() {
        let discovery = ways.discovery(ways.side_of(position));
        let at = config::Addresses { discovery, mail: *mail, peers: peers.clone(), everyone };
        state.configs.push(config::config(scenario, seed, position as u32, &at));
    }
    let files = Files::new(scenario.limiters.prefetch)?;
    let stage = Rc::new(Stage {
        state: RefCell::new(state),
        client: Client::default(),
        clients_changed: Notify::new(),
        ways,
        mail,
        program: program.clone(),
        files,
    });
    let watched = Rc::downgrade(&stage);
    stage.mail.observed(Box::new(move |from, to, given, body| {
        let (Some(stage), Some(lines)) = (watched.upgrade(), fawnhill::line_kinds(body)) else { return };
        let mut state = stage.state.borrow_mut();
        let now = state.now();
        state.judges.see(now, &Seen::Words { from, to, given, lines: &lines });
    }));
    spawn_local(nodes::hear_discovery(stage.clone()));
    start_all(&stage).await?;
    let began = {
        let mut state = stage.state.borrow_mut();
        state.began = Instant::now();
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        state.unix_ms = unix.as_secs_f64() * 1000.0;
        for l in &mut state.limiters {
            l.until = 0.0;
        }
        state.began
    };
    for (n, listener) in listeners.into_iter().enumerate() {
        spawn_local(nodes::serve(stage.clone(), n, listener));
        spawn_local(nodes::work(stage.clone(), n));
    }
    for trouble in 0..scenario.timeline.len() {
        spawn_local(timeline::happens(stage.clone(), trouble));
    }
    spawn_local(watch_own_lateness(stage.clone()));
    let asking = spawn_local(clients::ask(stage.clone()));
    let last = Duration::from_secs_f64(scenario.seconds);
    for second in 1u32.. {
        tokio::time::sleep_until((began + Duration::from_secs(u64::from(second))).into()).await;
        tick(&stage);
        progress(f64::from(second));
        if let Some(said) = tasks::panicked() {
            return Err(format!("the ground panicked: {said}"));
        }
        if let Some(trouble) = stage.state.borrow_mut().trouble.take() {
            return Err(trouble);
        }
        let over = stage.state.borrow().clients.open() == 0;
        if began.elapsed() > last + AFTER || (began.elapsed() > last && over) {
            break;
        }
    }
    asking.abort();
    Ok(finish(&stage, seed))
}

fn finish(stage: &Rc<Stage>, seed: u64) -> Run {
    let mut guard = stage.state.borrow_mut();
    let state = &mut *guard;
    let scenario = state.scenario.clone();
    let mut recorder = std::mem::replace(&mut state.recorder, Recorder::new(&scenario, BEGIN_MS));
    recorder.done_ms = state.hosts.iter().map(|h| h.node.done_ms()).sum();
    state.outcomes.killed_taken = state.killed_before.len() as u64;
    let words = stage.mail.counts();
    let lost = words.lost;
    recorder.messages = [words.sent.iter().sum(), lost];
    recorder.message_bytes = words.bytes;
    let mut cpu_ms = Vec::new();
    let mut memory_mb = Vec::new();
    for l in &mut state.limiters {
        let now = l.process.as_ref().and_then(|p| crate::figures::usage(p.pid));
        cpu_ms.push(l.cpu_ms + now.map_or(0.0, |u| u.cpu_ms));
        memory_mb.extend(now.map(|u| u.memory_mb));
    }
    let (figures, seconds) = recorder.finish(seed, state.oracle.broken(), state.oracle.count(), 0);
    let fleet = Fleet {
        outcomes: state.outcomes.clone(),
        words,
        cpu_ms,
        memory_mb,
        descriptors: state.descriptors,
        load: state.arrivals.finish(seed),
        lateness: state.lateness.finish(),
        breaches: state.judges.breaches().to_vec(),
        breach_count: state.judges.count(),
        notes: std::mem::take(&mut state.notes),
    };
    Run { figures, seconds, fleet }
}

/// Starts all limiters, some at a time, and waits until each is ready.
async fn start_all(stage: &Rc<Stage>) -> Result<(), String> {
    let count = stage.state.borrow().configs.len();
    for from in (0..count).step_by(START_TOGETHER) {
        let some: Vec<_> = (from..(from + START_TOGETHER).min(count))
            .map(|n| {
                let stage = stage.clone();
                let config = stage.state.borrow().configs[n].clone();
                spawn_local(async move { Process::start(&stage.program, &stage.files, &config).await })
            })
            .collect();
        for starting in some {
            let process = starting.await.map_err(|e| e.to_string())?.ok_or("a start panicked")??;
            let position = stage.state.borrow().limiters.len();
            let mut state = stage.state.borrow_mut();
            state.addrs.push(process.addr);
            // A limiter that starts again does so at its address.
            state.configs[position]["listen"] = process.addr.to_string().into();
            state.limiters.push(Limiter { process: None, hindered: 0, until: 0.0, cpu_ms: 0.0 });
            drop(state);
            takes_up(stage, position, process);
        }
    }
    let addrs = stage.state.borrow().addrs.clone();
    for addr in addrs {
        processes::ready(&stage.client, addr).await?;
    }
    Ok(())
}

/// A limiter runs from now on; its log is read.
fn takes_up(stage: &Rc<Stage>, limiter: usize, mut process: Process) {
    if let Some(mut lines) = process.lines.take() {
        let stage = stage.clone();
        spawn_local(async move {
            while let Some(line) = lines.recv().await {
                hears(&stage, limiter, line);
            }
        });
    }
    stage.state.borrow_mut().limiters[limiter].process = Some(process);
}

/// A limiter tells something in its log.
fn hears(stage: &Rc<Stage>, limiter: usize, line: Line) {
    let mut guard = stage.state.borrow_mut();
    let state = &mut *guard;
    let now = state.now();
    match line {
        Line::Other(text) => {
            if state.notes.len() < MOST_NOTES {
                state.notes.push(format!("limiter {limiter}: {text}"));
            }
        }
        Line::Told(told) => {
            let text = |key: &str| told.get(key).and_then(|v| v.as_str());
            let number = |key: &str| told.get(key).and_then(serde_json::Value::as_f64);
            match text("event") {
                Some("acts") => {
                    if let (Some(duty), Some(fence)) =
                        (text("duty"), told.get("number").and_then(|n| n.as_u64()))
                    {
                        state.judges.see(now, &Seen::Acts { limiter, duty, number: fence });
                    }
                }
                Some("holds") => {
                    let figures = (text("budget"), number("part"), number("whole"), number("for_ms"));
                    if let (Some(budget), Some(part), Some(whole), Some(for_ms)) = figures {
                        let until = now + for_ms;
                        state.judges.see(now, &Seen::Holds { limiter, budget, part, whole, until });
                    }
                }
                _ => {}
            }
        }
    }
}

/// How late this process itself wakes up: what it sees late is not held against limiters.
async fn watch_own_lateness(stage: Rc<Stage>) {
    const EVERY: Duration = Duration::from_millis(20);
    loop {
        let due = tokio::time::Instant::now() + EVERY;
        tokio::time::sleep_until(due).await;
        let late_ms = due.elapsed().as_secs_f64() * 1000.0;
        let mut state = stage.state.borrow_mut();
        let now = state.now();
        state.lateness.saw(now, late_ms);
    }
}

fn tick(stage: &Rc<Stage>) {
    let mut guard = stage.state.borrow_mut();
    let state = &mut *guard;
    let now = state.now();
    let (mut busy, mut held) = (Vec::new(), Vec::new());
    for (n, h) in state.hosts.iter_mut().enumerate() {
        let done = h.node.done_ms();
        busy.push(((done - h.before_ms) / (h.node.model().capacity() * 1000.0)) as f32);
        held.push(h.node.held() as f32);
        h.before_ms = done;
        let fit = h.condition == Condition::Serving && h.node.share(now) >= 1.0;
        let seen = Seen::Load { node: n, fit, held: h.node.held(), slots: h.node.model().slots };
        state.judges.see(now, &seen);
        state.arrivals.tick(n, fit);
    }
    state.recorder.tick(now, busy, held);
    state.descriptors = state.descriptors.max(crate::figures::own_descriptors());
    state.oracle.sweep(now);
    state.past.retain(|_, (_, deadline)| now - *deadline < 60_000.0);
    for n in 0..state.limiters.len() {
        let l = &mut state.limiters[n];
        // One that is hindered is ended and started by its trouble.
        let ended = if l.hindered == 0 { l.process.as_mut().and_then(Process::ended) } else { None };
        if let Some(how) = ended {
            l.process = None;
            state.outcomes.crashes += 1;
            state.judges.see(now, &Seen::Died { limiter: n });
            let what = format!("limiter {n} ended by itself: {how}");
            state.breaks(Rule::Answer, what);
        }
    }
}
