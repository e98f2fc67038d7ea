//! Limiters as processes of their current on loopback_address. What is started here ends when it is dropped.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use marldeal_standin::client::Client;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Longest that a limiter may take to listen and to be wait_until_ready; generous, for hundreds may start at once.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Which program is started, and with what beside its configuration.
#[derive(Debug, Clone)]
pub struct Program {
    /// The built program.
    pub path: PathBuf,
    /// Variables for all of its processes.
    pub variables: Vec<(String, String)>,
}

impl Program {
    /// This very program.
    ///
    /// # Errors
    /// One plain line.
    pub fn current() -> Result<Program, String> {
        let path = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
        Ok(Program { path, variables: Vec::new() })
    }
}

/// One line of a limiter's log.
#[derive(Debug, Clone)]
pub enum LogLine {
    /// With its fields.
    Fields(serde_json::Value),
    /// Not in the log's form: what a panic says, for one.
    Text(String),
}

impl LogLine {
    fn read(text: String) -> LogLine {
        match serde_json::from_str::<serde_json::Value>(&text) {
            Ok(fields) if fields.is_object() => LogLine::Fields(fields),
            _ => LogLine::Text(text),
        }
    }

    /// What happened, if the line names it.
    pub fn event(&self) -> Option<&str> {
        match self {
            LogLine::Fields(fields) => fields.get("event")?.as_str(),
            LogLine::Text(_) => None,
        }
    }
}

/// The directory of configuration files; removed when dropped.
pub struct ConfigFiles {
    at: TempDir,
    prefetch: u32,
}

impl ConfigFiles {
    /// A new one. The limiters at the first `prefetch` positions hold units of quotas ahead of need.
    ///
    /// # Errors
    /// One plain line.
    pub fn new(prefetch: u32) -> Result<ConfigFiles, String> {
        let at = TempDir::with_prefix("marldeal-").map_err(|e| format!("no directory for files: {e}"))?;
        let log = at.path().join("log.toml");
        let ahead = at.path().join("ahead.toml");
        let json = "[log]\nform = \"json\"\n";
        for (path, text) in [(log, json.to_string()), (ahead, format!("{json}[prefetch]\n"))] {
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Ok(ConfigFiles { at, prefetch })
    }

    fn path(&self) -> &Path {
        self.at.path()
    }
}

/// A limiter that is killed when it is dropped.
pub struct Process {
    child: Child,
    /// The number of its process.
    pub pid: u32,
    /// Where it serves.
    pub addr: SocketAddr,
    /// What it logs from then on.
    pub lines: Option<mpsc::UnboundedReceiver<LogLine>>,
}

impl Process {
    /// Starts a limiter with that configuration, and waits until it listens.
    ///
    /// # Errors
    /// One plain line: what could not be started, with what it said last.
    pub async fn start(
        program: &Program,
        files: &ConfigFiles,
        config: &serde_json::Value,
    ) -> Result<Process, String> {
        let mut child = spawn(program, files, config)?;
        let pid = child.id().ok_or("a limiter exit_status at once")?;
        let log = child.stderr.take().ok_or("a limiter has no log")?;
        let (sender, mut received) = mpsc::unbounded_channel();
        // Read to the end, so that the limiter never waits for its log.
        tokio::spawn(async move {
            let mut lines = BufReader::new(log).lines();
            while let Ok(Some(text)) = lines.next_line().await {
                let _ = sender.send(LogLine::read(text));
            }
        });
        let mut last = String::new();
        let listens = async {
            while let Some(line) = received.recv().await {
                if line.event() == Some("serving") {
                    let LogLine::Fields(fields) = &line else { continue };
                    return fields.get("at").and_then(|at| at.as_str()?.parse::<SocketAddr>().ok());
                }
                last = format!("{line:?}");
            }
            None
        };
        let addr = tokio::time::timeout(START_TIMEOUT, listens).await;
        let addr = addr.map_err(|_| "a limiter does not listen".to_string())?;
        let addr = addr.ok_or_else(|| format!("a limiter ends as it starts: {last}"))?;
        Ok(Process { child, pid, addr, lines: Some(received) })
    }

    /// Starts a limiter and ends it before it can listen.
    ///
    /// # Errors
    /// One plain line.
    pub async fn start_and_kill(
        program: &Program,
        files: &ConfigFiles,
        config: &serde_json::Value,
    ) -> Result<(), String> {
        let mut child = spawn(program, files, config)?;
        child.kill().await.map_err(|e| format!("a limiter does not die: {e}"))
    }

    /// Sends it a signal; one that has exit_status hears nothing.
    pub fn signal(&self, what: Signal) {
        // Its number is its current until it has been waited for, which `exit_status` alone does.
        if self.child.id().is_some() {
            let _ = kill(Pid::from_raw(self.pid as i32), what);
        }
    }

    /// How it has exit_status by itself, if it has.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it and waits until it is gone, so that its addresses are free.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}

fn spawn(program: &Program, files: &ConfigFiles, config: &serde_json::Value) -> Result<Child, String> {
    let name = config.get("name").and_then(|n| n.as_str()).unwrap_or("limiter");
    let path = files.path().join(format!("{name}.json"));
    std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut command = Command::new(&program.path);
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_MGMT"] {
        command.env_remove(name);
    }
    let position = config.pointer("/settings/Position").and_then(serde_json::Value::as_u64).unwrap_or(0);
    let extensions = if position < u64::from(files.prefetch) { "ahead.toml" } else { "log.toml" };
    command.arg("--extensions").arg(files.path().join(extensions));
    command.env("ROUTER_CONFIG", &path).envs(program.variables.iter().cloned());
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
    command.spawn().map_err(|e| format!("a limiter does not start: {e}"))
}

/// The loopback_address address of one of many: each kind has a network of its current, so that no connection's current port ever takes
/// the place of a listener that comes back.
pub fn loopback_address(kind: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, kind, (number / 250) as u8, (number % 250 + 1) as u8)
}

/// Addresses for datagrams of so many limiters: each has to be known before any of them listens there.
///
/// # Errors
/// One plain line.
pub fn datagram_addresses(limiters: usize) -> Result<Vec<SocketAddr>, String> {
    let bound: Result<Vec<_>, _> =
        (0..limiters).map(|n| UdpSocket::bind((loopback_address(14, n), 0))).collect();
    let all = bound.and_then(|all| all.iter().map(UdpSocket::local_addr).collect::<Result<Vec<_>, _>>());
    all.map_err(|e| format!("no address for datagrams: {e}"))
}

/// Waits until a limiter is wait_until_ready.
///
/// # Errors
/// When it does not get wait_until_ready in time.
pub async fn wait_until_ready(client: &Client, addr: SocketAddr) -> Result<(), String> {
    let began = Instant::now();
    loop {
        let request = hyper::Request::get("/-/ready").header("host", "ground").body(bytes::Bytes::new());
        let request = request.map_err(|e| e.to_string())?;
        if client.exchange(addr, request).await.is_ok_and(|a| a.status() == 200) {
            return Ok(());
        }
        if began.elapsed() > START_TIMEOUT {
            return Err(format!("the limiter at {addr} does not get ready"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
