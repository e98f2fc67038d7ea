//! Runs a plan: servers, agents and clients on loopback, with limiters as processes.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use marldeal_standin::addresses::unused_addresses;
use nix::sys::signal::Signal;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::environment::{Environment, LimiterEntry, ServerEntry, ServerState};
use crate::history::{History, Server, Terms, What};
use crate::limiter::{self, Process, Program, MAX_CLIENT_BUDGET_MS};
use crate::plan::Plan;
use crate::{agent, client, faults, server, slow_peers};

/// Terms that limiters have to keep in every run.
pub const TERMS: Terms = Terms {
    drain_grace_ms: 1000.0,
    window_ms: 1500.0,
    kill_after_ms: MAX_CLIENT_BUDGET_MS + 700.0,
    capacity_per_s: 40.0,
    cold: (0.2, 6000.0),
    fall: (4.0, 2000.0),
};

/// Clients of each limiter.
const CLIENTS_PER_LIMITER: usize = 3;
/// Limiters that are started at the same time.
const CONCURRENT_STARTS: usize = 8;
/// Time allowed for final answers after clients have sent their last request.
const FINAL_ANSWERS_TIMEOUT: Duration = Duration::from_millis(5000);
/// Interval at which the test environment checks its own lateness.
const LATENESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Lateness above this is recorded.
const MIN_RECORDED_LATENESS_MS: f64 = 15.0;

/// The parts of a run that faults act on.
pub struct TestRun {
    /// The state shared by all parts of the run.
    pub environment: Rc<Environment>,
    /// The program to start.
    pub program: Program,
    /// The limiters' processes; `None` while one is being started again.
    pub processes: RefCell<Vec<Option<Process>>>,
    /// Number of faults that keep each limiter stopped.
    pub stop_counts: Vec<Cell<u32>>,
    /// Addresses at which limiters receive datagrams.
    pub peers: Vec<SocketAddr>,
    /// Servers that a fault already acts on.
    pub busy_servers: RefCell<HashSet<Server>>,
    failure: RefCell<Option<String>>,
}

impl TestRun {
    /// Records that the test environment itself cannot go on.
    pub fn record_failure(&self, why: String) {
        self.failure.borrow_mut().get_or_insert(why);
    }
}

/// The program to run, and where its configurations and logs are kept.
pub struct RunConfig {
    /// Path of the built limiter.
    pub program: PathBuf,
    /// Environment variables by limiter.
    pub variables: Vec<Vec<(String, String)>>,
    /// An empty directory.
    pub files: PathBuf,
}

/// Runs a plan and returns what was observed. On an interrupt all started processes end.
///
/// # Errors
/// Says what the test environment could not do.
pub fn run_plan(plan: &Plan, config: RunConfig) -> Result<History, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        tokio::select! {
            history = run_on_loopback(plan, config) => history,
            _ = tokio::signal::ctrl_c() => Err("interrupted".to_string()),
            _ = term.recv() => Err("terminated".to_string()),
        }
    })
}

async fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("cannot open a port: {e}"))?;
    let addr = listener.local_addr().map_err(|e| format!("cannot read the address of a port: {e}"))?;
    Ok((listener, addr))
}

async fn run_on_loopback(plan: &Plan, config: RunConfig) -> Result<History, String> {
    let (mut servers, mut server_listeners) = (Vec::new(), Vec::new());
    for _ in 0..plan.servers {
        let (listener, addr) = listen().await?;
        let generation = watch::Sender::new(0);
        servers.push(ServerEntry {
            addr,
            state: ServerState::Active,
            version: 1,
            started_ms: 0,
            hung_until: 0.0,
            vanished: false,
            restarted_at: 0.0,
            generation,
        });
        server_listeners.push(listener);
    }
    let (mut limiters, mut agents) = (Vec::new(), Vec::new());
    for addr in unused_addresses(plan.limiters) {
        let (first, second) = (listen().await?, listen().await?);
        limiters.push(LimiterEntry::new(addr, [first.1, second.1]));
        agents.push([first.0, second.0]);
    }
    let environment = Rc::new(Environment::new(plan.clone(), TERMS, servers, limiters));
    for (n, listener) in server_listeners.into_iter().enumerate() {
        tokio::task::spawn_local(server::serve(environment.clone(), n, listener));
    }
    for (n, listeners) in agents.into_iter().enumerate() {
        for (which, listener) in listeners.into_iter().enumerate() {
            tokio::task::spawn_local(agent::serve(environment.clone(), n, which, listener));
        }
    }
    let program = Program { path: config.program, variables: config.variables, files: config.files };
    let test_run = Rc::new(TestRun {
        environment: environment.clone(),
        program,
        processes: RefCell::new((0..plan.limiters).map(|_| None).collect()),
        stop_counts: (0..plan.limiters).map(|_| Cell::new(0)).collect(),
        peers: unused_addresses(plan.limiters),
        busy_servers: RefCell::default(),
        failure: RefCell::default(),
    });
    start_all(&test_run).await?;
    tokio::task::spawn_local(record_own_lateness(environment.clone()));
    run_clients_and_faults(&test_run).await;
    end_all(&test_run).await;
    let failure = test_run.failure.borrow_mut().take();
    match failure {
        Some(why) => Err(why),
        None => Ok(environment.history()),
    }
}

async fn start_all(test_run: &Rc<TestRun>) -> Result<(), String> {
    let limiters = test_run.environment.limiters.len();
    for from in (0..limiters).step_by(CONCURRENT_STARTS) {
        let starts: Vec<_> = (from..(from + CONCURRENT_STARTS).min(limiters))
            .map(|n| {
                let test_run = test_run.clone();
                tokio::task::spawn_local(async move {
                    limiter::start(&test_run.environment, &test_run.program, n, &test_run.peers).await
                })
            })
            .collect();
        for (n, start) in starts.into_iter().enumerate() {
            let process = start.await.map_err(|e| e.to_string())??;
            test_run.processes.borrow_mut()[from + n] = Some(process);
        }
    }
    for limiter in 0..limiters {
        test_run.environment.notify(limiter);
        limiter::wait_until_ready(&test_run.environment, limiter).await;
        test_run.environment.record(What::Ready { limiter });
        test_run.environment.limiters[limiter].accepts_clients.set(true);
    }
    Ok(())
}

/// Runs clients and faults for the length of the plan.
async fn run_clients_and_faults(test_run: &Rc<TestRun>) {
    let environment = &test_run.environment;
    let began = environment.now();
    for limiter in 0..environment.limiters.len() {
        for _ in 0..CLIENTS_PER_LIMITER {
            tokio::task::spawn_local(client::run_client(environment.clone(), limiter));
        }
        tokio::task::spawn_local(client::send_incomplete_requests(environment.clone(), limiter));
        tokio::task::spawn_local(slow_peers::run(environment.clone(), limiter));
    }
    for scheduled in environment.plan.faults.clone() {
        let wait = (began + scheduled.at_ms - environment.now()).max(0.0);
        tokio::time::sleep(Duration::from_secs_f64(wait / 1000.0)).await;
        tokio::task::spawn_local(faults::run_fault(test_run.clone(), scheduled.fault));
    }
    let left = (began + environment.plan.length_ms - environment.now()).max(0.0);
    tokio::time::sleep(Duration::from_secs_f64(left / 1000.0)).await;
    environment.clients_done.set(true);
    tokio::time::sleep(FINAL_ANSWERS_TIMEOUT).await;
}

/// Asks all limiters to end, which they have to do with success.
async fn end_all(test_run: &Rc<TestRun>) {
    let environment = &test_run.environment;
    for process in test_run.processes.borrow().iter().flatten() {
        process.signal(Signal::SIGCONT);
        process.signal(Signal::SIGTERM);
    }
    tokio::time::sleep(Duration::from_secs_f64(environment.terms.kill_after_ms / 1000.0)).await;
    for (limiter, process) in test_run.processes.borrow_mut().iter_mut().enumerate() {
        if let Some(process) = process {
            // The platform would kill a process that still runs; no request is open any more.
            if let Some(well) = process.exited_well() {
                environment.record(What::Exited { limiter, well });
            }
        }
    }
}

async fn record_own_lateness(environment: Rc<Environment>) {
    loop {
        let due = tokio::time::Instant::now() + LATENESS_CHECK_INTERVAL;
        tokio::time::sleep_until(due).await;
        let by_ms = due.elapsed().as_secs_f64() * 1000.0;
        if by_ms > MIN_RECORDED_LATENESS_MS {
            environment.record(What::HarnessLate { by_ms });
        }
    }
}

/// Returns the lines of a limiter's log that name a request, by its correlation id or its number in the log.
pub fn request_log_lines(files: &Path, limiter: usize, correlation: &str) -> Vec<String> {
    let text = std::fs::read_to_string(files.join(format!("n{limiter}.log"))).unwrap_or_default();
    let numbers: Vec<String> = text
        .lines()
        .filter(|line| line.contains(correlation))
        .filter_map(|line| line.split("\"request\":").nth(1)?.split([',', '}']).next().map(str::to_string))
        .collect();
    let names = |line: &&str| {
        line.contains(correlation)
            || numbers.iter().any(|n| {
                line.contains(&format!("\"request\":{n},")) || line.contains(&format!("\"request\":{n}}}"))
            })
    };
    text.lines().filter(names).map(str::to_string).collect()
}
