//! Limiters as processes: configuration, start, signals and log.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::oneshot;

use crate::environment::Environment;
use crate::history::{Limiter, Millis, Terms, What};
use crate::http::{self, Buffer};

/// Longest time that a client waits for an answer.
pub const MAX_CLIENT_BUDGET_MS: Millis = 2500.0;
/// Time within which a process has to listen.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The program to start and its files.
pub struct Program {
    /// Path of the built limiter.
    pub path: PathBuf,
    /// Environment variables by limiter; limiters beyond the list get none.
    pub variables: Vec<Vec<(String, String)>>,
    /// Directory for configurations and logs.
    pub files: PathBuf,
}

/// A running limiter; killed when dropped.
pub struct Process {
    child: Child,
    pid: i32,
}

impl Process {
    /// Sends a signal; no effect on a process that has been waited for.
    pub fn signal(&self, signal: Signal) {
        if self.child.id().is_some() {
            let _ = kill(Pid::from_raw(self.pid), signal);
        }
    }

    /// Returns whether the process exited with success; `None` while it runs.
    pub fn exited_well(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }
}

/// Every second limiter has little memory, so that it streams long uploads.
fn memory_mb(limiter: Limiter) -> u32 {
    if limiter.is_multiple_of(2) {
        192
    } else {
        48
    }
}

/// Returns the configuration of a limiter, with the present server list.
pub fn configuration(environment: &Environment, limiter: Limiter, peers: &[SocketAddr]) -> String {
    let entry = &environment.limiters[limiter];
    let terms: Terms = environment.terms;
    let class = |name: &str, effect: &str, target_ms: u32, late_worth: f64| {
        serde_json::json!({"Name": name, "AimMs": target_ms, "Effect": effect, "KeyScope": "all", "LateWorth": late_worth,
            "WindowMs": terms.window_ms, "DeadlineMs": MAX_CLIENT_BUDGET_MS})
    };
    let known: serde_json::Value = serde_json::from_str(&environment.server_list(None)).unwrap_or_default();
    let config = serde_json::json!({
        "name": format!("n{limiter}"), "listen": entry.addr.get(), "discovery": entry.agents[entry.active_agent.get()],
        "seed": format!("{:x}", environment.plan.seed.wrapping_add(limiter as u64)),
        "limits": {"cores": 1.0, "memory_mb": memory_mb(limiter), "sockets": 512},
        "peer_listen": peers[limiter], "peers": peers, "known": known,
        "settings": {
            "Balancers": peers.len(), "Position": limiter, "Zone": "a", "Dcs": ["a"], "RoundMs": 4, "Discovery": "automatic",
            "Classes": [class("look", "read_like", 500, 0.0), class("book", "idempotency_key", 1500, 0.2),
                class("pay", "non_idempotent", 900, 0.0)],
            "TiersOfService": [{"Name": "free", "Rate": 0, "StoreSize": 0}, {"Name": "rated", "Rate": 30, "StoreSize": 60}],
            "Bounds": {"MostTries": 3, "DialTimeoutMs": 250, "Cancelling": true, "MayTell": true, "RetryAfter": true},
            "Obligations": {"StartCapacity": terms.cold.0, "ColdMs": terms.cold.1, "FallMultiple": terms.fall.0,
                "TipAfterMs": terms.fall.1, "DrainGraceMs": terms.drain_grace_ms},
            "Domain": {"MailPerS": 60}
        }
    });
    config.to_string()
}

/// Writes the present configuration of a limiter and returns its path.
///
/// # Errors
/// The file cannot be written.
pub fn write_configuration(
    environment: &Environment,
    program: &Program,
    limiter: Limiter,
    peers: &[SocketAddr],
) -> Result<PathBuf, String> {
    let path = program.files.join(format!("n{limiter}.json"));
    std::fs::write(&path, configuration(environment, limiter, peers))
        .map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(path)
}

/// Starts a process of a limiter and waits until it listens.
///
/// # Errors
/// Says what could not be started.
pub async fn start(
    environment: &Rc<Environment>,
    program: &Program,
    limiter: Limiter,
    peers: &[SocketAddr],
) -> Result<Process, String> {
    let config = write_configuration(environment, program, limiter, peers)?;
    let mut command = Command::new(&program.path);
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_MGMT", "ROUTER_ACCEPT_FD"] {
        command.env_remove(name);
    }
    command.arg("--extensions").arg(log_settings(&program.files)?);
    command.env("ROUTER_CONFIG", config).envs(program.variables.get(limiter).into_iter().flatten().cloned());
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn().map_err(|e| format!("a limiter cannot be started: {e}"))?;
    let pid = child.id().ok_or("a limiter ended at once")? as i32;
    let log = child.stderr.take().ok_or("a limiter has no log")?;
    let entry = &environment.limiters[limiter];
    entry.process_number.set(entry.process_number.get() + 1);
    environment.record(What::Started { limiter, process: entry.process_number.get() });
    let (address_sender, listening) = oneshot::channel();
    let copy = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(program.files.join(format!("n{limiter}.log")));
    tokio::task::spawn_local(read_log(environment.clone(), limiter, log, address_sender, copy.ok()));
    let at = tokio::time::timeout(START_TIMEOUT, listening).await;
    let at = at.map_err(|_| format!("limiter {limiter} did not listen in time"))?;
    entry.addr.set(at.map_err(|_| format!("limiter {limiter} ended during its start"))?);
    Ok(Process { child, pid })
}

fn log_settings(files: &Path) -> Result<PathBuf, String> {
    let path = files.join("log.toml");
    if !path.exists() {
        std::fs::write(&path, "[log]\nform = \"json\"\nrequests = true\n")
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(path)
}

/// Reads a log to its end: the address at which the limiter serves, and rules that it reports as broken. All
/// lines are copied to a file.
async fn read_log(
    environment: Rc<Environment>,
    limiter: Limiter,
    log: tokio::process::ChildStderr,
    address_sender: oneshot::Sender<SocketAddr>,
    mut copy: Option<std::fs::File>,
) {
    let mut address_sender = Some(address_sender);
    let mut lines = BufReader::new(log).lines();
    while let Ok(Some(text)) = lines.next_line().await {
        if let Some(file) = &mut copy {
            let _ = std::io::Write::write_all(file, format!("{:.1} {text}\n", environment.now()).as_bytes());
        }
        let Ok(line) = serde_json::from_str::<serde_json::Value>(&text) else {
            environment.record(What::Confessed { limiter, line: text });
            continue;
        };
        let field = |name: &str| line.get(name).and_then(|v| v.as_str());
        match field("event") {
            Some("serving") => {
                let at = field("at").and_then(|at| at.parse().ok());
                if let (Some(at), Some(address_sender)) = (at, address_sender.take()) {
                    let _ = address_sender.send(at);
                }
            }
            Some("violation") => environment.record(What::Confessed { limiter, line: text.clone() }),
            _ => {}
        }
    }
}

/// Waits until a limiter reports that it is ready, as the platform's front does; false if its process was
/// replaced meanwhile.
pub async fn wait_until_ready(environment: &Environment, limiter: Limiter) -> bool {
    let entry = &environment.limiters[limiter];
    let process = entry.process_number.get();
    while entry.process_number.get() == process {
        if is_ready(entry.addr.get()).await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

async fn is_ready(addr: SocketAddr) -> bool {
    let status = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n").await.ok()?;
        http::read_message(&mut stream, &mut Buffer::default()).await.ok()??.status()
    };
    tokio::time::timeout(Duration::from_secs(5), status).await.ok().flatten() == Some(200)
}
