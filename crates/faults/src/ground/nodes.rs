//! Nodes on loopback: the model says when a request is done, sockets say so to the limiter.

use std::cell::Cell;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use marldeal_rehearsal::node::{CalledOff, Done, Job, Turned};
use tokio::net::TcpStream;

use super::*;

/// Work that a node spends on a repeat that it drops.
const REPEAT_MS: f64 = 1.0;

/// All nodes of a scenario, with their listeners.
pub(super) async fn open(scenario: &Scenario, seed: u64) -> Result<(Vec<Host>, Vec<TcpListener>), String> {
    let (mut hosts, mut listeners) = (Vec::new(), Vec::new());
    for n in 0..scenario.nodes.count {
        let mut rng = draws::stream(seed, "node", u64::from(n));
        let speed = draws::between(&mut rng, scenario.nodes.speed);
        let no = |e: std::io::Error| format!("no port for a node: {e}");
        let listener = TcpListener::bind((loopback(10, n as usize), 0)).await.map_err(no)?;
        let addr = listener.local_addr().map_err(no)?;
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
    Ok((hosts, listeners))
}

pub(super) async fn serve(stage: Rc<Stage>, n: usize, listener: TcpListener) {
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
        state.arrivals.saw(n);
        if let Some(sent) = state.tries.get_mut(&try_id) {
            sent.arrived = true;
        }
        state.killed_before.remove(&try_id);
        // Also for a client that has given up: nothing is to arrive any more.
        let sent = state.tries.get(&try_id).map(|s| (s.of.limiter, s.deadline));
        if let Some((limiter, deadline)) = sent.or(state.past.get(&try_id).copied()) {
            let stopped = !state.held_to(limiter, deadline - 60_000.0);
            // What the ground itself brings late is not the limiter's.
            if state.lateness.last_beyond < deadline {
                state.judges.see(now, &Seen::Arrived { node: n, try_id, limiter, deadline, stopped });
            }
        }
        if known.is_some() {
            if let Some(inside) = state.oracle.sent(now, try_id, n) {
                state.recorder.sent(state.clients.firms()[firm].plan, class, inside);
                let units = state.scenario.classes[class].units;
                state.outcomes.units[0] += units;
                state.outcomes.units[1] += if inside { 0.0 } else { units };
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
pub(super) async fn work(stage: Rc<Stage>, n: usize) {
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
pub(super) fn exit(stage: &Rc<Stage>, state: &mut State, n: usize) {
    stage.ways.down(n, true);
    let now = state.now();
    let host = &mut state.hosts[n];
    host.node.exit(now);
    host.waiting.clear();
    host.life.send_modify(|life| *life += 1);
    publish(stage, state, n, Condition::Gone);
}

pub(super) fn publish(stage: &Rc<Stage>, state: &mut State, n: usize, condition: Condition) {
    state.hosts[n].condition = condition;
    state.hosts[n].told = false;
    let after = draws::between(&mut state.rng, state.scenario.net.roster_s);
    let stage = stage.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from_secs_f64(after)).await;
        announce(&stage);
    });
}

/// Tells the roster as it stands to all limiters that can hear it.
pub(super) fn announce(stage: &Rc<Stage>) {
    let mut guard = stage.state.borrow_mut();
    let state = &mut *guard;
    let now = state.now();
    for side in 0..stage.ways.sides() {
        if state.silent[side] > 0 || !stage.mail.post.borrow().told(stage.ways.building(side)) {
            continue;
        }
        let list = state.roster(&stage.ways, side);
        stage.ways.announce(side, &list);
        state.announced[side] = state.version;
        if stage.ways.watched(side) {
            continue;
        }
        state.heard[side] = state.version;
        for n in 0..state.hosts.len() {
            let takes = state.hosts[n].condition == Condition::Serving;
            for limiter in stage.ways.limiters(side) {
                state.oracle.told(now, limiter, n, takes);
            }
        }
    }
    state.all_told();
}

/// What limiters are told through relays counts from when they have been told it.
pub(super) async fn hear_discovery(stage: Rc<Stage>) {
    let Some(mut heard) = stage.ways.heard() else { return };
    while let Some((side, line)) = heard.recv().await {
        let Ok(list) = serde_json::from_str::<serde_json::Value>(&line) else { continue };
        let (Some(version), Some(servers)) = (list["version"].as_u64(), list["servers"].as_array()) else {
            continue;
        };
        let mut guard = stage.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        // A new watch is told the list again.
        state.heard[side] = state.heard[side].max(version);
        for n in 0..state.hosts.len() {
            let id = state.hosts[n].id.as_str();
            let takes = servers.iter().any(|s| s["id"] == id && s["state"] == "active");
            for limiter in stage.ways.limiters(side) {
                state.oracle.told(now, limiter, n, takes);
            }
        }
        state.all_told();
    }
}

impl State {
    /// A start that one side has not heard of is nobody's fault there.
    fn all_told(&mut self) {
        let told = |s: usize| self.silent[s] == 0 && self.heard[s] >= self.announced[s];
        let all = (0..self.silent.len()).all(told);
        for host in &mut self.hosts {
            host.told |= all;
        }
    }
}

/// A node's process starts again at its address.
pub(super) async fn start(stage: &Rc<Stage>, n: usize) {
    let addr = stage.state.borrow().hosts[n].addr;
    let listener = match TcpListener::bind(addr).await {
        Ok(listener) => listener,
        Err(e) => {
            stage.state.borrow_mut().trouble = Some(format!("a node does not start again at {addr}: {e}"));
            return;
        }
    };
    stage.ways.down(n, false);
    let mut state = stage.state.borrow_mut();
    let now = state.now();
    state.hosts[n].node.start(now);
    spawn_local(serve(stage.clone(), n, listener));
    publish(stage, &mut state, n, Condition::Serving);
}
