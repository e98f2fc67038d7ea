//! A rehearsal on real sockets: the world's clients and nodes on loopback, in real time, with real limiters between them
//! as processes of their own.
//!
//! Clients, nodes, figures and the oracle are those of the virtual world (`marldeal_rehearsal`); only what carries them is
//! different. Nodes burn no CPU: a request is answered when the model says that its work is done.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fawnhill::{Condition, Outcome};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use marldeal_engine::Answer;
use marldeal_rehearsal::clients::{Clients, Got, Say, Try};
use marldeal_rehearsal::draws::{self, Stream};
use marldeal_rehearsal::figures::Recorder;
use marldeal_rehearsal::node::{Done, Job, Node, Turned};
use marldeal_rehearsal::rules::{Oracle, Store};
use marldeal_rehearsal::scenario::{name_of, Repeats, Scenario, Trouble, What};
use marldeal_rehearsal::world::{Run, BEGIN_MS};
use marldeal_standin::client::Client;
use marldeal_standin::discovery::Discovery;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, AbortHandle, LocalSet};

use crate::command::children::{self, Limiter};

/// Time allowed after the last arrival for all to be answered.
const AFTER: Duration = Duration::from_secs(10);
/// Work that a node spends on a repeat that it drops.
const REPEAT_MS: f64 = 1.0;

/// What of a scenario cannot be played on sockets, and why; nothing if all can.
pub fn mistakes(scenario: &Scenario) -> Vec<String> {
    let no = |t: &Trouble| {
        let why = match t.what {
            What::Cut | What::Lossy => "loopback has no buildings and loses no message",
            What::Vanish => "a loopback address cannot fall silent without privileges",
            What::Late | What::Twice | What::Garble | What::Groups => "nothing stands between limiters there",
            What::Refuse | What::Mute | What::Break | What::Hold | What::Trickle => {
                "nothing stands between limiters and nodes there"
            }
            What::Starve => "only whole processes stand still there",
            _ => return None,
        };
        Some(format!("\"{}\" is played in the virtual world only: {why}", name_of(t.what)))
    };
    let mut found: Vec<String> = scenario.timeline.iter().filter_map(no).collect();
    if scenario.clients.proxied > 0.0 {
        found.push("clients.proxied: proxies are played in the virtual world only".to_string());
    }
    if scenario.nodes.count > 60 || scenario.limiters.count > 12 {
        found.push("at most 60 nodes and 12 limiters are played on sockets".to_string());
    }
    if scenario.requests_per_s() > 1500.0 {
        found.push(format!(
            "at most 1500 requests a second are played on sockets, not {:.0}",
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
    /// Ends its exchange, and with it the connection.
    task: AbortHandle,
}

struct State {
    scenario: Scenario,
    began: Instant,
    unix_ms: f64,
    clients: Clients,
    oracle: Oracle,
    recorder: Recorder,
    hosts: Vec<Host>,
    limiters: Vec<Option<Limiter>>,
    addrs: Vec<SocketAddr>,
    configs: Vec<serde_json::Value>,
    tries: HashMap<u64, Sent>,
    asked: Vec<Store>,
    usual: usize,
    inside: HashMap<u64, bool>,
    next_attempt: u64,
    version: u64,
    silent: u32,
    rng: Stream,
    trouble: Option<String>,
}

struct Stage {
    state: RefCell<State>,
    client: Client,
    clients_changed: Notify,
    discovery: Discovery,
}

impl State {
    fn now(&self) -> f64 {
        BEGIN_MS + self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// A moment of the world on the process's clock.
    fn instant(&self, at: f64) -> tokio::time::Instant {
        (self.began + Duration::from_secs_f64(((at - BEGIN_MS) / 1000.0).clamp(0.0, 1e6))).into()
    }

    fn roster(&mut self) -> String {
        self.version += 1;
        let entry = |h: &Host| {
            let started = h.node.started();
            let started_ms = if started > 0.0 { self.unix_ms + started - BEGIN_MS } else { 0.0 };
            let state = if h.condition == Condition::Serving { "active" } else { "leaving" };
            serde_json::json!({"id": h.id, "addr": h.addr, "zone": format!("b{}", h.zone), "kind": "m", "cell": 0,
                "state": state, "weight": 1.0, "started_ms": started_ms})
        };
        let servers: Vec<_> =
            self.hosts.iter().filter(|h| h.condition != Condition::Gone).map(entry).collect();
        format!("{}\n", serde_json::json!({"version": self.version, "full": true, "servers": servers}))
    }
}

/// Plays a scenario in real time; `progress` is told each second that has passed.
///
/// # Errors
/// One plain line a mistake, or what could not be started.
pub fn play(scenario: &Scenario, seed: u64, progress: impl FnMut(f64) + 'static) -> Result<Run, String> {
    let wrong = mistakes(scenario);
    if !wrong.is_empty() {
        return Err(wrong.join("\n"));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    LocalSet::new().block_on(&runtime, stage(scenario, seed, progress))
}

async fn stage(
    scenario: &Scenario,
    seed: u64,
    mut progress: impl FnMut(f64) + 'static,
) -> Result<Run, String> {
    let mut hosts = Vec::new();
    let mut listeners = Vec::new();
    for n in 0..scenario.nodes.count {
        let mut rng = draws::stream(seed, "node", u64::from(n));
        let speed = draws::between(&mut rng, scenario.nodes.speed);
        let listener =
            TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("no port for a node: {e}"))?;
        let addr = listener.local_addr().map_err(|e| format!("no port for a node: {e}"))?;
        listeners.push(listener);
        hosts.push(Host {
            node: Node::warm(scenario.model(speed), BEGIN_MS),
            id: format!("node-{n}"),
            addr,
            zone: n % scenario.buildings,
            condition: Condition::Serving,
            told: true,
            waiting: HashMap::new(),
            life: watch::channel(0).0,
            changed: Rc::new(Notify::new()),
            errors: 0.0,
            resets: 0.0,
            before_ms: 0.0,
            rng,
        });
    }
    let mut state = State {
        began: Instant::now(),
        unix_ms: 0.0,
        clients: Clients::new(scenario, seed, BEGIN_MS),
        oracle: Oracle::from_afar(scenario, BEGIN_MS),
        recorder: Recorder::new(scenario, BEGIN_MS),
        hosts,
        limiters: Vec::new(),
        addrs: Vec::new(),
        configs: Vec::new(),
        tries: HashMap::new(),
        asked: Vec::new(),
        usual: 0,
        inside: HashMap::new(),
        next_attempt: 0,
        version: 0,
        silent: 0,
        rng: draws::stream(seed, "sockets", 0),
        trouble: None,
        scenario: scenario.clone(),
    };
    state.usual = state.clients.firms().len();
    let discovery = Discovery::shared(state.roster());
    let mail = children::mail(scenario.limiters.count as usize)?;
    for position in 0..scenario.limiters.count {
        state.configs.push(config(scenario, seed, position, discovery.addr, &mail));
    }
    for config in &state.configs {
        let limiter = Limiter::start(config)?;
        state.addrs.push(limiter.addr);
        state.limiters.push(Some(limiter));
    }
    // A limiter that starts again does so at its address.
    for (config, addr) in state.configs.iter_mut().zip(&state.addrs) {
        config["listen"] = addr.to_string().into();
    }
    let client = Client::default();
    for addr in &state.addrs {
        children::ready(&client, *addr).await?;
    }
    state.began = Instant::now();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    state.unix_ms = unix.as_secs_f64() * 1000.0;
    let stage =
        Rc::new(Stage { state: RefCell::new(state), client, clients_changed: Notify::new(), discovery });
    for (n, listener) in listeners.into_iter().enumerate() {
        spawn_local(serve(stage.clone(), n, listener));
        spawn_local(work(stage.clone(), n));
    }
    for trouble in 0..scenario.timeline.len() {
        spawn_local(happens(stage.clone(), trouble));
    }
    let asking = spawn_local(ask(stage.clone()));
    let last = Duration::from_secs_f64(scenario.seconds);
    let began = stage.state.borrow().began;
    for second in 1u32.. {
        tokio::time::sleep_until((began + Duration::from_secs(u64::from(second))).into()).await;
        tick(&stage);
        progress(f64::from(second));
        let over = stage.state.borrow().clients.open() == 0;
        if began.elapsed() > last + AFTER || (began.elapsed() > last && over) {
            break;
        }
    }
    asking.abort();
    let mut state = stage.state.borrow_mut();
    if let Some(trouble) = state.trouble.take() {
        return Err(trouble);
    }
    let spare = Recorder::new(scenario, BEGIN_MS);
    let mut recorder = std::mem::replace(&mut state.recorder, spare);
    recorder.done_ms = state.hosts.iter().map(|h| h.node.done_ms()).sum();
    let (figures, seconds) = recorder.finish(seed, state.oracle.broken(), state.oracle.count(), 0);
    Ok(Run { figures, seconds })
}

/// What the limiter at a position is told, in the platform's form.
fn config(
    scenario: &Scenario,
    seed: u64,
    position: u32,
    discovery: SocketAddr,
    mail: &[SocketAddr],
) -> serde_json::Value {
    let s = scenario.settings(position);
    let class = |(of, c): (&marldeal_rehearsal::scenario::ClassOf, &fawnhill::Class)| {
        let effect = match of.repeats {
            Repeats::Safe => "read_like",
            Repeats::Keyed => "idempotency_key",
            Repeats::Unsafe => "non_idempotent",
        };
        serde_json::json!({"Name": of.name, "AimMs": c.aim_ms, "Effect": effect, "KeyScope": "all", "WindowMs": c.window_ms})
    };
    let plan = |(of, p): (&marldeal_rehearsal::scenario::PlanOf, &fawnhill::Plan)| {
        serde_json::json!({"Name": of.name, "Rate": p.rate, "StoreSize": p.burst, "HardRate": p.ceiling_rate,
            "NeverOverDepth": p.ceiling_burst, "CeilingSlack": p.ceiling_slack})
    };
    let zones: Vec<String> = (0..scenario.buildings).map(|b| format!("b{b}")).collect();
    serde_json::json!({
        "name": format!("limiter-{position}"), "listen": "127.0.0.1:0", "discovery": discovery,
        "seed": format!("{:x}", seed.wrapping_add(u64::from(position))),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": mail[position as usize], "peers": mail,
        "settings": {
            "Balancers": s.limiters, "Position": position, "Zone": zones[s.zone as usize], "Dcs": zones,
            "RoundMs": s.round_ms, "Discovery": "automatic",
            "Classes": scenario.classes.iter().zip(&s.classes).map(class).collect::<Vec<_>>(),
            "TiersOfService": scenario.plans.iter().zip(&s.plans).map(plan).collect::<Vec<_>>(),
            "Bounds": {"MostTries": s.max_attempts, "DialTimeoutMs": s.connect_timeout_ms, "Cancelling": true,
                       "MayTell": s.may_tell, "RetryAfter": s.may_advise},
            "Obligations": {"StartCapacity": s.cold_share, "ColdMs": s.cold_ms, "FallMultiple": s.fall_multiple,
                            "TipAfterMs": s.fall_ms},
            "Domain": {"MailPerS": s.messages_per_s}
        }
    })
}

fn tick(stage: &Rc<Stage>) {
    let mut state = stage.state.borrow_mut();
    let now = state.now();
    let (mut busy, mut held) = (Vec::new(), Vec::new());
    for h in &mut state.hosts {
        let done = h.node.done_ms();
        busy.push(((done - h.before_ms) / (h.node.model().capacity() * 1000.0)) as f32);
        held.push(h.node.held() as f32);
        h.before_ms = done;
    }
    state.recorder.tick(now, busy, held);
    state.oracle.sweep(now);
}

// ---- Clients ----

async fn ask(stage: Rc<Stage>) {
    loop {
        let due = {
            let state = stage.state.borrow();
            state.clients.next_due().map(|at| state.instant(at))
        };
        match due {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = stage.clients_changed.notified() => continue,
            },
            None => stage.clients_changed.notified().await,
        }
        let mut said = Vec::new();
        {
            let mut state = stage.state.borrow_mut();
            let now = state.now();
            state.clients.due(now, &mut said);
        }
        hear(&stage, said);
    }
}

fn hear(stage: &Rc<Stage>, said: Vec<Say>) {
    for say in said {
        let mut guard = stage.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        match say {
            Say::Send(of) => send(stage, state, now, of),
            Say::Leave(try_id) => {
                if let Some(sent) = state.tries.remove(&try_id) {
                    state.oracle.leaves_now(now, try_id, true);
                    state.oracle.gone(try_id);
                    sent.task.abort();
                }
            }
            Say::Over { last, how } => {
                let plan = state.clients.firms()[last.firm].plan;
                let inside = state.inside.remove(&last.job).unwrap_or(false);
                state.recorder.over(now, plan, &last, how, inside);
            }
        }
    }
}

fn send(stage: &Rc<Stage>, state: &mut State, now: f64, of: Try) {
    let (firm, class) = (state.clients.firms()[of.firm].clone(), state.scenario.classes[of.class].clone());
    if of.turn == 0 {
        while state.asked.len() <= of.firm {
            state.oracle.enlist(now, state.clients.firms()[state.asked.len()].plan);
            state.asked.push(Store::full(now, f64::INFINITY));
        }
        let (rate, most) = state.scenario.quota(firm.plan);
        let inside = of.firm < state.usual && state.asked[of.firm].take(now, rate, most, class.units);
        state.recorder.asked(now, firm.plan, of.class, inside);
    }
    let keyed = class.repeats == Repeats::Keyed;
    let weight = format!("units={},spread={},first={}", class.units, firm.spread, firm.first);
    let mut request = Request::builder()
        .method(if class.repeats == Repeats::Safe { "GET" } else { "POST" })
        .uri(format!("/{}/{:016x}", class.name, firm.customer))
        .header("host", "service.internal")
        .header("x-correlation-id", format!("{:016x}", of.id))
        .header("x-tariff", state.scenario.plans[firm.plan].name.as_str())
        .header("x-time-left", format!("{:.4}", of.budget_ms / 1000.0))
        .header("x-weight", weight);
    if keyed {
        request = request.header("idempotency-key", format!("{:016x}", of.job));
    }
    let body = if class.repeats == Repeats::Safe { Bytes::new() } else { Bytes::from_static(b"lot=7") };
    let Ok(request) = request.body(body) else {
        state.trouble = Some(format!("class {:?} cannot stand in a path", class.name));
        return;
    };
    let (addr, try_id, limiter) = (state.addrs[of.limiter], of.id, of.limiter);
    state.oracle.taken(try_id, of.firm, of.class, limiter, now + of.budget_ms);
    state.recorder.taken(now, limiter);
    let of_stage = stage.clone();
    let task = spawn_local(async move {
        let came = of_stage.client.exchange(addr, request).await;
        let got = match came {
            Ok(answer) => Got::Answer(read(&answer)),
            Err(_) => Got::Nothing,
        };
        let mut said = Vec::new();
        {
            let mut state = of_stage.state.borrow_mut();
            let now = state.now();
            if state.tries.remove(&try_id).is_some() {
                match got {
                    Got::Answer(answer) => state.oracle.answered(now, try_id, answer, false),
                    Got::Nothing => state.oracle.gone(try_id),
                }
            }
            state.clients.got(now, try_id, got, &mut said);
        }
        hear(&of_stage, said);
        of_stage.clients_changed.notify_one();
    });
    state.tries.insert(try_id, Sent { of, task: task.abort_handle() });
}

fn read(answer: &Response<Bytes>) -> Answer {
    match answer.status().as_u16() {
        200 => Answer::Served,
        429 | 503 => {
            let told = answer.headers().get("retry-after").and_then(|v| v.to_str().ok());
            let seconds = told.and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
            Answer::Refused { retry_ms: seconds * 1000.0 }
        }
        _ => Answer::Failed,
    }
}

// ---- Nodes ----

async fn serve(stage: Rc<Stage>, n: usize, listener: TcpListener) {
    let mut life = stage.state.borrow().hosts[n].life.subscribe();
    loop {
        tokio::select! {
            // The listener closes with the process.
            _ = life.changed() => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let _ = stream.set_nodelay(true);
                    spawn_local(connection(stage.clone(), n, stream));
                }
            }
        }
    }
}

async fn connection(stage: Rc<Stage>, n: usize, stream: TcpStream) {
    let mut life = {
        let mut state = stage.state.borrow_mut();
        let now = state.now();
        state.recorder.connections += 1;
        if !state.hosts[n].node.connect(now) {
            return;
        }
        state.hosts[n].life.subscribe()
    };
    let fresh = Cell::new(true);
    let service =
        hyper::service::service_fn(|request| answer(stage.clone(), n, request, fresh.replace(false)));
    let serving = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = life.changed() => return,
        _ = serving => {}
    }
    let mut state = stage.state.borrow_mut();
    let now = state.now();
    state.hosts[n].node.disconnect(now, 1);
}

/// A request that a node holds; dropped when its connection ends.
struct Held {
    stage: Rc<Stage>,
    n: usize,
    key: u64,
    job: u64,
    try_id: u64,
    repeat: bool,
    sent: f64,
    over: bool,
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let mut guard = self.stage.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        let host = &mut state.hosts[self.n];
        if host.waiting.remove(&self.key).is_some() {
            use marldeal_rehearsal::node::CalledOff;
            let how = host.node.call_off(now, self.key);
            if how != CalledOff::RunsOn {
                state.oracle.leaves(now, self.job, self.repeat, false);
            }
            state.oracle.ended(self.try_id, self.sent, Outcome::Cancelled);
            state.hosts[self.n].changed.notify_one();
        }
    }
}

async fn answer(
    stage: Rc<Stage>,
    n: usize,
    request: Request<Incoming>,
    fresh: bool,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let name = request.headers().get("x-correlation-id").and_then(|v| v.to_str().ok());
    let try_id = name.and_then(|v| u64::from_str_radix(v, 16).ok()).unwrap_or(0);
    request.into_body().collect().await.map_err(std::io::Error::other)?;
    let (held, outcome) = {
        let mut guard = stage.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        // A client that has left is not known any more: the node works for it all the same, as any would.
        let known = state.tries.get(&try_id).map(|s| (s.of.job, s.of.class, s.of.work, s.of.firm));
        let (job, class, work, firm) = known.unwrap_or((try_id, 0, state.scenario.classes[0].work_ms, 0));
        state.recorder.attempts += 1;
        if known.is_some() {
            if let Some(inside) = state.oracle.sent(now, try_id, n) {
                state.recorder.sent(state.clients.firms()[firm].plan, class, inside);
                *state.inside.entry(job).or_insert(false) |= inside;
            }
        }
        let repeat = state.oracle.arrives(now, job, class);
        state.next_attempt += 1;
        let key = state.next_attempt;
        let host = &mut state.hosts[n];
        let job_of = Job { key, work: if repeat { REPEAT_MS } else { work }, told: host.told };
        match host.node.arrive(now, job_of, fresh) {
            Ok(()) => {
                let (done, outcome) = oneshot::channel();
                host.waiting.insert(key, done);
                host.changed.notify_one();
                let held = Held { stage: stage.clone(), n, key, job, try_id, repeat, sent: now, over: false };
                (held, outcome)
            }
            Err(turned) => {
                state.oracle.leaves(now, job, repeat, false);
                let outcome = if turned == Turned::Full { Outcome::Full } else { Outcome::Severed };
                state.oracle.ended(try_id, now, outcome);
                if turned == Turned::Fell {
                    let share = state.hosts[n].node.fall().map_or(0.0, |f| f.told_share);
                    state.oracle.fell(now, n, share);
                    state.recorder.falls += 1;
                    exit(&stage, state, n);
                }
                drop(guard);
                return worded(outcome);
            }
        }
    };
    let mut held = held;
    let outcome = outcome.await.unwrap_or(Outcome::Severed);
    held.over = true;
    let mut state = stage.state.borrow_mut();
    state.oracle.ended(try_id, held.sent, outcome);
    if outcome == Outcome::Ok {
        let work = state.tries.get(&try_id).map_or(0.0, |s| s.of.work);
        state.recorder.useful_ms += if held.repeat { REPEAT_MS } else { work };
    }
    drop(state);
    worded(outcome)
}

fn worded(outcome: Outcome) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let plain = |status: u16| Response::builder().status(status);
    let answer = match outcome {
        Outcome::Ok => plain(200).body(Full::new(Bytes::from_static(b"booked"))),
        Outcome::Full => plain(503).header("x-unprocessed", "1").body(Full::default()),
        Outcome::Error => plain(500).body(Full::default()),
        _ => return Err(std::io::ErrorKind::ConnectionReset.into()),
    };
    answer.map_err(std::io::Error::other)
}

/// Ends requests when the model says that they are done.
async fn work(stage: Rc<Stage>, n: usize) {
    let changed = stage.state.borrow().hosts[n].changed.clone();
    loop {
        let due = {
            let state = stage.state.borrow();
            state.hosts[n].node.next_due().map(|at| state.instant(at))
        };
        match due {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = changed.notified() => {}
            },
            None => changed.notified().await,
        }
        let mut guard = stage.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        let mut done: Vec<Done> = Vec::new();
        let host = &mut state.hosts[n];
        host.node.due(now, &mut done);
        for d in done {
            let outcome = if draws::chance(&mut host.rng, host.errors) {
                Outcome::Error
            } else if draws::chance(&mut host.rng, host.resets) {
                Outcome::Severed
            } else {
                Outcome::Ok
            };
            if let Some(waits) = host.waiting.remove(&d.key) {
                let _ = waits.send(outcome);
            }
        }
    }
}

/// A node's process ends: its listener and its connections with it.
fn exit(stage: &Rc<Stage>, state: &mut State, n: usize) {
    let now = state.now();
    let host = &mut state.hosts[n];
    host.node.exit(now);
    host.waiting.clear();
    host.life.send_modify(|life| *life += 1);
    publish(stage, state, n, Condition::Gone);
}

fn publish(stage: &Rc<Stage>, state: &mut State, n: usize, condition: Condition) {
    state.hosts[n].condition = condition;
    state.hosts[n].told = false;
    let after = draws::between(&mut state.rng, state.scenario.net.roster_s);
    let stage = stage.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from_secs_f64(after)).await;
        announce(&stage);
    });
}

/// Tells all limiters the roster as it stands, unless it is silent.
fn announce(stage: &Rc<Stage>) {
    let mut guard = stage.state.borrow_mut();
    let state = &mut *guard;
    if state.silent > 0 {
        return;
    }
    let list = state.roster();
    stage.discovery.announce(&list);
    let now = state.now();
    for n in 0..state.hosts.len() {
        state.hosts[n].told = true;
        let takes = state.hosts[n].condition == Condition::Serving;
        for limiter in 0..state.limiters.len() {
            state.oracle.told(now, limiter, n, takes);
        }
    }
}

// ---- The timeline ----

async fn happens(stage: Rc<Stage>, trouble: usize) {
    let (t, from, until): (Trouble, _, _) = {
        let state = stage.state.borrow();
        let t = state.scenario.timeline[trouble].clone();
        let at = |s: f64| state.instant(BEGIN_MS + s * 1000.0);
        let (from, until) = (at(t.at_s), at(t.at_s + t.for_s));
        (t, from, until)
    };
    tokio::time::sleep_until(from).await;
    let nodes = stage.state.borrow().scenario.nodes_of(&t);
    let limiters: Vec<usize> = t.limiters.iter().flatten().map(|l| *l as usize).collect();
    let plan = t.plan.as_deref().and_then(|p| stage.state.borrow().scenario.plan(p));
    let each = |change: &dyn Fn(&mut Host, f64)| {
        let mut guard = stage.state.borrow_mut();
        let now = guard.now();
        for n in &nodes {
            let host = &mut guard.hosts[*n];
            change(host, now);
            host.changed.notify_one();
        }
    };
    let with = |change: &dyn Fn(&mut State, f64)| {
        let mut guard = stage.state.borrow_mut();
        let now = guard.now();
        change(&mut guard, now);
        stage.clients_changed.notify_one();
    };
    let second = |s: Option<f64>| Duration::from_secs_f64(s.unwrap_or(0.0));
    match t.what {
        What::Surge => with(&|s, now| s.clients.surge(now, plan, t.times.unwrap_or(1.0))),
        What::Flood => with(&|s, now| s.clients.flood(now, t.firms.unwrap_or(1), t.share.unwrap_or(0.0))),
        What::Strangers => with(&|s, now| s.clients.strangers(now, t.per_s.map(|p| (p, plan.unwrap_or(0))))),
        What::Exit => {
            nodes.iter().for_each(|n| exit(&stage, &mut stage.state.borrow_mut(), *n));
        }
        What::Drain => {
            for n in &nodes {
                let mut state = stage.state.borrow_mut();
                state.hosts[*n].node.drain();
                publish(&stage, &mut state, *n, Condition::Draining);
            }
            tokio::time::sleep(second(t.after_s)).await;
            nodes.iter().for_each(|n| exit(&stage, &mut stage.state.borrow_mut(), *n));
        }
        What::Stall => each(&|h, now| h.node.halt(now, true)),
        What::Slow => each(&|h, now| h.node.slow(now, t.times.unwrap_or(1.0).max(0.01))),
        What::Errors => each(&|h, _| h.errors = t.share.unwrap_or(0.0)),
        What::Resets => each(&|h, _| h.resets = t.share.unwrap_or(0.0)),
        What::RosterSilent => with(&|s, _| s.silent += 1),
        What::Pause => {
            while tokio::time::Instant::now() < until {
                each(&|h, now| h.node.halt(now, true));
                tokio::time::sleep(second(t.length_s)).await;
                each(&|h, now| h.node.halt(now, false));
                let rest = t.every_s.unwrap_or(1.0) - t.length_s.unwrap_or(0.0);
                tokio::time::sleep(Duration::from_secs_f64(rest.max(0.001))).await;
            }
        }
        What::Restart | What::Kill => {
            for limiter in limiters {
                let gently = t.what == What::Restart;
                spawn_local(restart(stage.clone(), limiter, gently, second(Some(t.for_s))));
            }
        }
        What::Rolling => {
            let all = stage.state.borrow().limiters.len();
            for limiter in 0..all {
                spawn_local(restart(stage.clone(), limiter, true, second(t.down_s)));
                tokio::time::sleep(second(t.every_s)).await;
            }
        }
        What::Freeze => {
            limiters.iter().for_each(|l| signal(&stage, *l, Signal::SIGSTOP));
            tokio::time::sleep_until(until).await;
            limiters.iter().for_each(|l| signal(&stage, *l, Signal::SIGCONT));
        }
        _ => {}
    }
    tokio::time::sleep_until(until).await;
    match t.what {
        What::Surge => with(&|s, now| s.clients.surge(now, plan, 1.0)),
        What::Flood => with(&|s, now| s.clients.flood(now, t.firms.unwrap_or(1), 0.0)),
        What::Strangers => with(&|s, now| s.clients.strangers(now, None)),
        What::Exit | What::Drain => {
            for n in nodes {
                start(&stage, n).await;
            }
        }
        What::Stall => each(&|h, now| h.node.halt(now, false)),
        What::Slow => each(&|h, now| h.node.slow(now, 1.0)),
        What::Errors => each(&|h, _| h.errors = 0.0),
        What::Resets => each(&|h, _| h.resets = 0.0),
        What::RosterSilent => {
            with(&|s, _| s.silent -= 1);
            announce(&stage);
        }
        _ => {}
    }
}

/// A node's process starts again at its address.
async fn start(stage: &Rc<Stage>, n: usize) {
    let addr = stage.state.borrow().hosts[n].addr;
    let listener = match TcpListener::bind(addr).await {
        Ok(listener) => listener,
        Err(e) => {
            stage.state.borrow_mut().trouble = Some(format!("a node does not start again at {addr}: {e}"));
            return;
        }
    };
    let mut state = stage.state.borrow_mut();
    let now = state.now();
    state.hosts[n].node.start(now);
    spawn_local(serve(stage.clone(), n, listener));
    publish(stage, &mut state, n, Condition::Serving);
}

fn signal(stage: &Rc<Stage>, limiter: usize, what: Signal) {
    if let Some(process) = &stage.state.borrow().limiters[limiter] {
        let _ = kill(Pid::from_raw(process.id() as i32), what);
    }
}

/// Ends a limiter, by SIGTERM or at once, and starts it again.
async fn restart(stage: Rc<Stage>, limiter: usize, gently: bool, down: Duration) {
    if gently {
        signal(&stage, limiter, Signal::SIGTERM);
        let kill_s = stage.state.borrow().scenario.limiters.kill_s;
        let until = tokio::time::Instant::now() + Duration::from_secs_f64(kill_s);
        let ended = || stage.state.borrow_mut().limiters[limiter].as_mut().is_none_or(Limiter::ended);
        while !ended() && tokio::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    // Dropped, it is killed.
    drop(stage.state.borrow_mut().limiters[limiter].take());
    stage.state.borrow_mut().oracle.died(limiter);
    tokio::time::sleep(down).await;
    let config = stage.state.borrow().configs[limiter].clone();
    let started = tokio::task::spawn_blocking(move || Limiter::start(&config)).await;
    let mut state = stage.state.borrow_mut();
    match started.map_err(|e| e.to_string()).and_then(|s| s) {
        Ok(process) => state.limiters[limiter] = Some(process),
        Err(why) => state.trouble = Some(format!("limiter {limiter} does not start again: {why}")),
    }
}
