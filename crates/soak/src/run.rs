//! Plays a plan: servers, agents and clients on loopback round limiters as processes.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::history::{History, Server, Terms, What};
use crate::limiter::{self, Process, Program, LONGEST_MS};
use crate::plan::Plan;
use crate::world::{Host, Place, State, World};
use crate::{agent, client, server, troubles};

/// What limiters keep to in every run.
pub const TERMS: Terms = Terms {
    drain_grace_ms: 1000.0,
    window_ms: 1500.0,
    kill_after_ms: LONGEST_MS + 800.0,
    capacity_per_s: 40.0,
    cold: (0.2, 6000.0),
    fall: (4.0, 2000.0),
};

/// Clients that ask of each limiter.
const CLIENTS: usize = 3;
/// Limiters that start at one time.
const TOGETHER: usize = 8;
/// After clients have asked their last all is waited for so long.
const AFTER: Duration = Duration::from_millis(5000);
/// The harness looks so often whether it is late itself, and notes what is over this.
const OWN_LOOK: Duration = Duration::from_millis(10);
const OWN_LATE_MS: f64 = 15.0;

/// All of a run that troubles reach.
pub struct Stage {
    /// What all share.
    pub world: Rc<World>,
    /// What is started.
    pub program: Program,
    /// The limiters' processes; none while one is started again.
    pub processes: RefCell<Vec<Option<Process>>>,
    /// Troubles that keep each limiter stopped.
    pub stops: Vec<Cell<u32>>,
    /// Where limiters hear one another.
    pub peers: Vec<SocketAddr>,
    /// Servers that another trouble has.
    pub busy_servers: RefCell<HashSet<Server>>,
    failure: RefCell<Option<String>>,
}

impl Stage {
    /// The harness itself cannot go on.
    pub fn fails(&self, why: String) {
        self.failure.borrow_mut().get_or_insert(why);
    }
}

/// Which program is played, and where its configurations and logs are kept.
pub struct Subject {
    /// The built limiter.
    pub program: PathBuf,
    /// Variables by limiter, for those that get any.
    pub variables: Vec<Vec<(String, String)>>,
    /// An empty directory.
    pub files: PathBuf,
}

/// Plays a plan and returns what was seen. Interrupted, it ends all that it has started.
///
/// # Errors
/// One plain line: what of the harness could not be done.
pub fn play(plan: &Plan, subject: Subject) -> Result<History, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        tokio::select! {
            seen = stage(plan, subject) => seen,
            _ = tokio::signal::ctrl_c() => Err("interrupted".to_string()),
            _ = term.recv() => Err("asked to end".to_string()),
        }
    })
}

async fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("no port: {e}"))?;
    let addr = listener.local_addr().map_err(|e| format!("no address: {e}"))?;
    Ok((listener, addr))
}

async fn stage(plan: &Plan, subject: Subject) -> Result<History, String> {
    let (mut hosts, mut servers) = (Vec::new(), Vec::new());
    for _ in 0..plan.servers {
        let (listener, addr) = listen().await?;
        let life = watch::Sender::new(0);
        hosts.push(Host { addr, state: State::Active, version: 1, started_ms: 0, hangs_until: 0.0, life });
        servers.push(listener);
    }
    let (mut places, mut agents) = (Vec::new(), Vec::new());
    for _ in 0..plan.limiters {
        let (first, second) = (listen().await?, listen().await?);
        places.push(Place::new([first.1, second.1]));
        agents.push([first.0, second.0]);
    }
    let world = Rc::new(World::new(plan.clone(), TERMS, hosts, places));
    for (n, listener) in servers.into_iter().enumerate() {
        tokio::task::spawn_local(server::serve(world.clone(), n, listener));
    }
    for (n, both) in agents.into_iter().enumerate() {
        for (which, listener) in both.into_iter().enumerate() {
            tokio::task::spawn_local(agent::serve(world.clone(), n, which, listener));
        }
    }
    let program = Program { path: subject.program, variables: subject.variables, files: subject.files };
    let stage = Rc::new(Stage {
        world: world.clone(),
        program,
        processes: RefCell::new((0..plan.limiters).map(|_| None).collect()),
        stops: (0..plan.limiters).map(|_| Cell::new(0)).collect(),
        peers: limiter::peer_addresses(plan.limiters)?,
        busy_servers: RefCell::default(),
        failure: RefCell::default(),
    });
    start_all(&stage).await?;
    tokio::task::spawn_local(watch_own_lateness(world.clone()));
    asked_and_troubled(&stage).await;
    end_all(&stage).await;
    let failure = stage.failure.borrow_mut().take();
    match failure {
        Some(why) => Err(why),
        None => Ok(world.history()),
    }
}

async fn start_all(stage: &Rc<Stage>) -> Result<(), String> {
    let limiters = stage.world.places.len();
    for from in (0..limiters).step_by(TOGETHER) {
        let some: Vec<_> = (from..(from + TOGETHER).min(limiters))
            .map(|n| {
                let stage = stage.clone();
                tokio::task::spawn_local(async move {
                    limiter::start(&stage.world, &stage.program, n, &stage.peers).await
                })
            })
            .collect();
        for (n, starting) in some.into_iter().enumerate() {
            let process = starting.await.map_err(|e| e.to_string())??;
            stage.processes.borrow_mut()[from + n] = Some(process);
        }
    }
    for limiter in 0..limiters {
        stage.world.tell(limiter);
        limiter::ready(&stage.world, limiter).await;
        stage.world.record(What::Ready { limiter });
        stage.world.places[limiter].open.set(true);
    }
    Ok(())
}

/// Clients ask, and troubles happen, for the length of the plan.
async fn asked_and_troubled(stage: &Rc<Stage>) {
    let world = &stage.world;
    let began = world.now();
    for limiter in 0..world.places.len() {
        for _ in 0..CLIENTS {
            tokio::task::spawn_local(client::ask(world.clone(), limiter));
        }
        tokio::task::spawn_local(client::stop_half_way(world.clone(), limiter));
    }
    for entry in world.plan.entries.clone() {
        let wait = (began + entry.at - world.now()).max(0.0);
        tokio::time::sleep(Duration::from_secs_f64(wait / 1000.0)).await;
        tokio::task::spawn_local(troubles::happens(stage.clone(), entry.trouble));
    }
    let left = (began + world.plan.length_ms - world.now()).max(0.0);
    tokio::time::sleep(Duration::from_secs_f64(left / 1000.0)).await;
    world.over.set(true);
    tokio::time::sleep(AFTER).await;
}

/// All limiters are told to end, and have to do so well.
async fn end_all(stage: &Rc<Stage>) {
    let world = &stage.world;
    for process in stage.processes.borrow().iter().flatten() {
        process.signal(Signal::SIGCONT);
        process.signal(Signal::SIGTERM);
    }
    tokio::time::sleep(Duration::from_secs_f64(world.terms.kill_after_ms / 1000.0)).await;
    for (limiter, process) in stage.processes.borrow_mut().iter_mut().enumerate() {
        if let Some(process) = process {
            // One that still runs is killed by the platform; nothing is open any more.
            if let Some(well) = process.ended() {
                world.record(What::Exited { limiter, well });
            }
        }
    }
}

async fn watch_own_lateness(world: Rc<World>) {
    loop {
        let due = tokio::time::Instant::now() + OWN_LOOK;
        tokio::time::sleep_until(due).await;
        let by_ms = due.elapsed().as_secs_f64() * 1000.0;
        if by_ms > OWN_LATE_MS {
            world.record(What::HarnessLate { by_ms });
        }
    }
}

/// What a limiter wrote to its log, of those lines that name a request.
pub fn log_of_request(files: &Path, limiter: usize, correlation: &str) -> Vec<String> {
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
