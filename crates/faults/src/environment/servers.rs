//! Servers on loopback: the server model says when a request is done, the sockets carry the answer to the
//! limiter.

use std::cell::Cell;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use marldeal_rehearsal::server_model::{Cancellation, Completion, Job, Rejection};
use tokio::net::TcpStream;

use super::*;

/// Work that a server spends on a repeated request that it drops.
const REPEAT_MS: f64 = 1.0;

/// Opens the listeners of all servers of a scenario.
pub(super) async fn open(
    scenario: &Scenario,
    seed: u64,
) -> Result<(Vec<TestServer>, Vec<TcpListener>), String> {
    let (mut servers, mut listeners) = (Vec::new(), Vec::new());
    for index in 0..scenario.nodes.count {
        let mut rng = draws::stream(seed, "node", u64::from(index));
        let speed = draws::between(&mut rng, scenario.nodes.speed);
        let port_error = |e: std::io::Error| format!("cannot open a port for a server: {e}");
        let listener =
            TcpListener::bind((loopback_address(10, index as usize), 0)).await.map_err(port_error)?;
        let addr = listener.local_addr().map_err(port_error)?;
        listeners.push(listener);
        servers.push(TestServer {
            simulation: ServerModel::warm(scenario.model(speed), BEGIN_MS),
            id: format!("node-{index}"),
            addr,
            zone: index % scenario.buildings,
            condition: Condition::Serving,
            start_notified: true,
            waiting: HashMap::new(),
            generation: watch::channel(0).0,
            changed: Rc::new(Notify::new()),
            error_share: 0.0,
            reset_share: 0.0,
            last_busy_ms: 0.0,
            rng,
        });
    }
    Ok((servers, listeners))
}

pub(super) async fn serve(environment: Rc<Environment>, index: usize, listener: TcpListener) {
    let mut generation = environment.state.borrow().servers[index].generation.subscribe();
    loop {
        tokio::select! {
            // The listener closes when the process ends.
            _ = generation.changed() => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let _ = stream.set_nodelay(true);
                    spawn_local(serve_connection(environment.clone(), index, stream));
                }
            }
        }
    }
}

async fn serve_connection(environment: Rc<Environment>, index: usize, stream: TcpStream) {
    let mut generation = {
        let mut state = environment.state.borrow_mut();
        let now = state.now();
        state.recorder.connections += 1;
        if !state.servers[index].simulation.connect(now) {
            return;
        }
        state.servers[index].generation.subscribe()
    };
    let fresh = Cell::new(true);
    let service = hyper::service::service_fn(|request| {
        handle_request(environment.clone(), index, request, fresh.replace(false))
    });
    let serving = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = generation.changed() => return,
        _ = serving => {}
    }
    let mut state = environment.state.borrow_mut();
    let now = state.now();
    state.servers[index].simulation.disconnect(now, 1);
}

/// A request that a server holds; dropping it when its connection ends cancels its work.
struct HeldRequest {
    environment: Rc<Environment>,
    index: usize,
    key: u64,
    job: u64,
    try_id: u64,
    repeat: bool,
    sent: f64,
    completed: bool,
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        if self.completed {
            return;
        }
        let mut guard = self.environment.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        let server = &mut state.servers[self.index];
        if server.waiting.remove(&self.key).is_some() {
            let cancellation = server.simulation.cancel(now, self.key);
            if cancellation != Cancellation::RunsOn {
                state.oracle.attempt_left_server(now, self.job, self.repeat, false);
            }
            state.oracle.attempt_ended(self.try_id, self.sent, Outcome::Cancelled);
            state.servers[self.index].changed.notify_one();
        }
    }
}

async fn handle_request(
    environment: Rc<Environment>,
    index: usize,
    request: Request<Incoming>,
    fresh: bool,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let name = request.headers().get("x-correlation-id").and_then(|v| v.to_str().ok());
    let try_id = name.and_then(|v| u64::from_str_radix(v, 16).ok()).unwrap_or(0);
    request.into_body().collect().await.map_err(std::io::Error::other)?;
    let (held, outcome) = {
        let mut guard = environment.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        // A request whose client has disconnected is no longer known here; the server works on it all the same, as any
        // server would.
        let known = state
            .sent_requests
            .get(&try_id)
            .map(|s| (s.request.job, s.request.class, s.request.work, s.request.customer));
        let (job, class, work, customer) = known.unwrap_or((try_id, 0, state.scenario.classes[0].work_ms, 0));
        state.recorder.attempts += 1;
        state.arrivals.record(index);
        if let Some(sent) = state.sent_requests.get_mut(&try_id) {
            sent.arrived = true;
        }
        state.killed_before_sending.remove(&try_id);
        // Attempts for a client that has given up are judged too: none may arrive any more.
        let sent = state.sent_requests.get(&try_id).map(|s| (s.request.limiter, s.deadline));
        if let Some((limiter, deadline)) = sent.or(state.abandoned.get(&try_id).copied()) {
            let stopped = !state.is_accountable(limiter, deadline - 60_000.0);
            // An attempt that the test environment itself delayed is not held against the limiter.
            if state.lateness.last_exceeded < deadline {
                state.invariants.observe(
                    now,
                    &Observation::Arrived { server: index, try_id, limiter, deadline, stopped },
                );
            }
        }
        if known.is_some() {
            if let Some(inside) = state.oracle.attempt_sent(now, try_id, index) {
                state.recorder.try_sent_on(state.clients.customers()[customer].plan, class, inside);
                let units = state.scenario.classes[class].units;
                state.outcomes.units[0] += units;
                state.outcomes.units[1] += if inside { 0.0 } else { units };
                *state.within_quota.entry(job).or_insert(false) |= inside;
            }
        }
        let repeat = state.oracle.attempt_arrived(now, job, class);
        state.next_attempt += 1;
        let key = state.next_attempt;
        let server = &mut state.servers[index];
        let work_item =
            Job { key, work: if repeat { REPEAT_MS } else { work }, sender_notified: server.start_notified };
        match server.simulation.arrive(now, work_item, fresh) {
            Ok(()) => {
                let (done, outcome) = oneshot::channel();
                server.waiting.insert(key, done);
                server.changed.notify_one();
                let held = HeldRequest {
                    environment: environment.clone(),
                    index,
                    key,
                    job,
                    try_id,
                    repeat,
                    sent: now,
                    completed: false,
                };
                (held, outcome)
            }
            Err(rejection) => {
                state.oracle.attempt_left_server(now, job, repeat, false);
                let outcome = if rejection == Rejection::Full { Outcome::Full } else { Outcome::Severed };
                state.oracle.attempt_ended(try_id, now, outcome);
                if rejection == Rejection::Overloaded {
                    let share =
                        state.servers[index].simulation.overload_failure().map_or(0.0, |f| f.notified_share);
                    state.oracle.server_overloaded(now, index, share);
                    state.recorder.overload_failures += 1;
                    end_process(&environment, state, index);
                }
                drop(guard);
                return response_for(outcome);
            }
        }
    };
    let mut held = held;
    let outcome = outcome.await.unwrap_or(Outcome::Severed);
    held.completed = true;
    let mut state = environment.state.borrow_mut();
    state.oracle.attempt_ended(try_id, held.sent, outcome);
    if outcome == Outcome::Ok {
        let work = state.sent_requests.get(&try_id).map_or(0.0, |s| s.request.work);
        state.recorder.useful_work_ms += if held.repeat { REPEAT_MS } else { work };
    }
    drop(state);
    response_for(outcome)
}

fn response_for(outcome: Outcome) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let plain = |status: u16| Response::builder().status(status);
    let answer = match outcome {
        Outcome::Ok => plain(200).body(Full::new(Bytes::from_static(b"booked"))),
        Outcome::Full => plain(503).header("x-unprocessed", "1").body(Full::default()),
        Outcome::Error => plain(500).body(Full::default()),
        _ => return Err(std::io::ErrorKind::ConnectionReset.into()),
    };
    answer.map_err(std::io::Error::other)
}

/// Completes requests when the server model says that their work is done.
pub(super) async fn complete_requests(environment: Rc<Environment>, index: usize) {
    let changed = environment.state.borrow().servers[index].changed.clone();
    loop {
        let due = {
            let state = environment.state.borrow();
            state.servers[index].simulation.next_due().map(|at| state.instant(at))
        };
        match due {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = changed.notified() => {}
            },
            None => changed.notified().await,
        }
        let mut guard = environment.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        let mut done: Vec<Completion> = Vec::new();
        let server = &mut state.servers[index];
        server.simulation.due(now, &mut done);
        for d in done {
            let outcome = if draws::chance(&mut server.rng, server.error_share) {
                Outcome::Error
            } else if draws::chance(&mut server.rng, server.reset_share) {
                Outcome::Severed
            } else {
                Outcome::Ok
            };
            if let Some(sender) = server.waiting.remove(&d.key) {
                let _ = sender.send(outcome);
            }
        }
    }
}

/// Ends a server's process, and with it its listener and connections.
pub(super) fn end_process(environment: &Rc<Environment>, state: &mut State, index: usize) {
    environment.links.set_server_down(index, true);
    let now = state.now();
    let server = &mut state.servers[index];
    server.simulation.exit(now);
    server.waiting.clear();
    server.generation.send_modify(|generation| *generation += 1);
    set_condition(environment, state, index, Condition::Gone);
}

pub(super) fn set_condition(
    environment: &Rc<Environment>,
    state: &mut State,
    index: usize,
    condition: Condition,
) {
    state.servers[index].condition = condition;
    state.servers[index].start_notified = false;
    let after = draws::between(&mut state.rng, state.scenario.net.roster_s);
    let environment = environment.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from_secs_f64(after)).await;
        announce(&environment);
    });
}

/// Sends the present server list to all groups that discovery reaches.
pub(super) fn announce(environment: &Rc<Environment>) {
    let mut guard = environment.state.borrow_mut();
    let state = &mut *guard;
    let now = state.now();
    for group in 0..environment.links.group_count() {
        if state.discovery_silences[group] > 0
            || !environment.datagrams.network.borrow().discovery_reaches(environment.links.building(group))
        {
            continue;
        }
        let list = state.server_list(&environment.links, group);
        environment.links.announce(group, &list);
        state.announced[group] = state.version;
        if environment.links.is_observed(group) {
            continue;
        }
        state.received[group] = state.version;
        for index in 0..state.servers.len() {
            let takes = state.servers[index].condition == Condition::Serving;
            for limiter in environment.links.limiters(group) {
                state.oracle.server_notice(now, limiter, index, takes);
            }
        }
    }
    state.mark_starts_notified();
}

/// Records what limiters behind a proxy have been notified of, as of when the proxy has passed it on.
pub(super) async fn record_received_lists(environment: Rc<Environment>) {
    let Some(mut received) = environment.links.take_received_lines() else { return };
    while let Some((group, line)) = received.recv().await {
        let Ok(list) = serde_json::from_str::<serde_json::Value>(&line) else { continue };
        let (Some(version), Some(servers)) = (list["version"].as_u64(), list["servers"].as_array()) else {
            continue;
        };
        let mut guard = environment.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        // A new watch receives the list again.
        state.received[group] = state.received[group].max(version);
        for index in 0..state.servers.len() {
            let id = state.servers[index].id.as_str();
            let takes = servers.iter().any(|s| s["id"] == id && s["state"] == "active");
            for limiter in environment.links.limiters(group) {
                state.oracle.server_notice(now, limiter, index, takes);
            }
        }
        state.mark_starts_notified();
    }
}

impl State {
    /// Marks starts as announced once every group has received the newest list; a limiter that has not received
    /// a start cannot protect the server.
    fn mark_starts_notified(&mut self) {
        let notified = |s: usize| self.discovery_silences[s] == 0 && self.received[s] >= self.announced[s];
        let all = (0..self.discovery_silences.len()).all(notified);
        for server in &mut self.servers {
            server.start_notified |= all;
        }
    }
}

/// Starts a server's process again at its address.
pub(super) async fn restart_process(environment: &Rc<Environment>, index: usize) {
    let addr = environment.state.borrow().servers[index].addr;
    let listener = match TcpListener::bind(addr).await {
        Ok(listener) => listener,
        Err(e) => {
            environment.state.borrow_mut().failure =
                Some(format!("a server cannot listen at {addr} again: {e}"));
            return;
        }
    };
    environment.links.set_server_down(index, false);
    let mut state = environment.state.borrow_mut();
    let now = state.now();
    state.servers[index].simulation.start(now);
    spawn_local(serve(environment.clone(), index, listener));
    set_condition(environment, &mut state, index, Condition::Serving);
}
