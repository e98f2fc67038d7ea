//! Limiters as processes of their own on loopback. Dropping a process handle kills the process.

use std::net::SocketAddr;
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

/// Time in which a limiter has to listen and to get ready; long, because hundreds may start at once.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// The program to start, and its environment.
#[derive(Debug, Clone)]
pub struct Program {
    /// Path of the built program.
    pub path: PathBuf,
    /// Environment variables for all of its processes.
    pub variables: Vec<(String, String)>,
}

impl Program {
    /// Returns the program that runs now.
    ///
    /// # Errors
    /// Its path cannot be read.
    pub fn current() -> Result<Program, String> {
        let path = std::env::current_exe()
            .map_err(|e| format!("cannot read the path of the running program: {e}"))?;
        Ok(Program { path, variables: Vec::new() })
    }
}

/// One line of a limiter's log.
#[derive(Debug, Clone)]
pub enum LogLine {
    /// A line in JSON form.
    Fields(serde_json::Value),
    /// A line in another form, such as the message of a panic.
    Text(String),
}

impl LogLine {
    fn read(text: String) -> LogLine {
        match serde_json::from_str::<serde_json::Value>(&text) {
            Ok(fields) if fields.is_object() => LogLine::Fields(fields),
            _ => LogLine::Text(text),
        }
    }

    /// Returns the line's event, if it names one.
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
    /// Creates the directory. Limiters at the first `prefetch` positions prefetch units of quotas.
    ///
    /// # Errors
    /// Says which file or directory could not be written.
    pub fn new(prefetch: u32) -> Result<ConfigFiles, String> {
        let at = TempDir::with_prefix("marldeal-")
            .map_err(|e| format!("cannot create a directory for files: {e}"))?;
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

/// A limiter's process; killed when dropped.
pub struct Process {
    child: Child,
    /// Its process id.
    pub pid: u32,
    /// The address at which it serves.
    pub addr: SocketAddr,
    /// Its log lines after the one that says where it serves.
    pub lines: Option<mpsc::UnboundedReceiver<LogLine>>,
}

impl Process {
    /// Starts a limiter with that configuration and waits until it listens.
    ///
    /// # Errors
    /// Says what could not be started, with the last line that the limiter logged.
    pub async fn start(
        program: &Program,
        files: &ConfigFiles,
        config: &serde_json::Value,
    ) -> Result<Process, String> {
        let mut child = spawn(program, files, config)?;
        let pid = child.id().ok_or("a limiter ended at once")?;
        let log = child.stderr.take().ok_or("a limiter has no log")?;
        let (sender, mut received) = mpsc::unbounded_channel();
        // Reads the log to its end, so that the limiter never blocks on writing it.
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
        let addr = addr.map_err(|_| "a limiter did not listen in time".to_string())?;
        let addr = addr.ok_or_else(|| format!("a limiter ended during its start: {last}"))?;
        Ok(Process { child, pid, addr, lines: Some(received) })
    }

    /// Starts a limiter and kills it before it can listen.
    ///
    /// # Errors
    /// The limiter cannot be started or killed.
    pub async fn start_and_kill(
        program: &Program,
        files: &ConfigFiles,
        config: &serde_json::Value,
    ) -> Result<(), String> {
        let mut child = spawn(program, files, config)?;
        child.kill().await.map_err(|e| format!("a limiter cannot be killed: {e}"))
    }

    /// Sends a signal; no effect on a process that has ended.
    pub fn signal(&self, what: Signal) {
        // The process id stays reserved until the process has been waited for, which only `exit_status` does.
        if self.child.id().is_some() {
            let _ = kill(Pid::from_raw(self.pid as i32), what);
        }
    }

    /// Returns the exit status if the process has ended by itself.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits for its end, so that its addresses are free.
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
    command.spawn().map_err(|e| format!("a limiter cannot be started: {e}"))
}

/// Waits until a limiter is ready.
///
/// # Errors
/// The limiter is not ready within the start time-out.
pub async fn wait_until_ready(client: &Client, addr: SocketAddr) -> Result<(), String> {
    let began = Instant::now();
    loop {
        let request = hyper::Request::get("/-/ready").header("host", "ground").body(bytes::Bytes::new());
        let request = request.map_err(|e| e.to_string())?;
        if client.exchange(addr, request).await.is_ok_and(|a| a.status() == 200) {
            return Ok(());
        }
        if began.elapsed() > START_TIMEOUT {
            return Err(format!("the limiter at {addr} did not get ready in time"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
