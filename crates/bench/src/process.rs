//! Processes under measurement.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat` (USER_HZ, see proc(5)). User space always sees 100 on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Number of the next configuration file; keeps the file names of processes distinct.
static NEXT_FILE: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

/// Configuration of a limiter under measurement.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Uses the external processor instead of direct mode.
    pub external: bool,
    /// Enables the management listener; its address becomes the address of the process.
    pub managed: bool,
    /// The only plan, in the platform's JSON format.
    pub plan: String,
    /// `limits.memory_mb`.
    pub memory_mb: f64,
    /// `limits.sockets`.
    pub sockets: u32,
    /// Number of limiters in the tier, of which this one is the first.
    pub limiters: u32,
    /// Address that receives the datagrams to all peers; `None` sends none.
    pub peers: Option<SocketAddr>,
}

impl Default for Setup {
    /// A single limiter without quotas.
    fn default() -> Setup {
        Setup {
            external: false,
            managed: false,
            plan: r#"{"Name":"basic"}"#.to_string(),
            memory_mb: 192.0,
            sockets: 1024,
            limiters: 1,
            peers: None,
        }
    }
}

/// A child process that is killed when this value is dropped.
pub struct Process {
    child: Child,
    files: Vec<PathBuf>,
    /// The address on which it listens, as its log reports it.
    pub addr: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

impl Process {
    /// Starts a command and waits until its log (standard error) has a line with `prefix` followed by an address.
    pub fn start(mut command: Command, prefix: &'static str, files: Vec<PathBuf>) -> Result<Process, String> {
        let child = command.stderr(Stdio::piped()).spawn().map_err(|e| format!("{command:?}: {e}"))?;
        let mut process = Process { child, files, addr: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let log = process.child.stderr.take().ok_or("standard error is not captured")?;
        let (sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for text in BufReader::new(log).lines().map_while(Result::ok) {
                let _ = sender.send(text);
            }
        });
        let mut seen = String::new();
        loop {
            let text = lines
                .recv_timeout(Duration::from_secs(15))
                .map_err(|_| format!("the process did not start: {seen}"))?;
            if let Some((_, at)) = text.split_once(prefix) {
                process.addr =
                    at.trim().parse().map_err(|_| format!("no address in the log line: {text}"))?;
                return Ok(process);
            }
            seen.push_str(&text);
        }
    }

    /// Starts this program with a hidden command.
    pub fn baseline(arguments: &[&str]) -> Result<Process, String> {
        let mut command = Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
        command.args(arguments);
        Process::start(command, "serves on ", Vec::new())
    }

    /// Starts a limiter without quotas. With `external`, its address is that of the external processor.
    pub fn limiter(program: &Path, discovery: SocketAddr, external: bool) -> Result<Process, String> {
        Process::configured(program, discovery, &Setup { external, ..Setup::default() })
    }

    /// Starts a limiter with one plan and a memory limit.
    pub fn limiter_with(
        program: &Path,
        discovery: SocketAddr,
        plan: &str,
        limit_mb: f64,
    ) -> Result<Process, String> {
        let setup = Setup { plan: plan.to_string(), memory_mb: limit_mb, ..Setup::default() };
        Process::configured(program, discovery, &setup)
    }

    /// Starts a limiter with the given setup.
    pub fn configured(program: &Path, discovery: SocketAddr, setup: &Setup) -> Result<Process, String> {
        let Setup { external, managed, plan, memory_mb, sockets, limiters, peers } = setup;
        let management = if *managed { r#""mgmt":"127.0.0.1:0","# } else { "" };
        let peers = peers.map_or(String::new(), |sink| {
            let all = vec![format!("\"{sink}\""); *limiters as usize].join(",");
            format!(r#""peer_listen":"127.0.0.1:0","peers":[{all}],"peers_all":"{sink}","#)
        });
        let config = format!(
            r#"{{"name":"bench","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"5",{peers}{management}
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
            "settings":{{"Balancers":{limiters},"Position":0,"Zone":"a","Dcs":["a"],"RoundMs":4,"Discovery":"automatic",
            "Classes":[{{"Name":"look","AimMs":50000,"Effect":"read_like"}}],
            "TiersOfService":[{plan}],"Bounds":{{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"RetryAfter":true}},
            "Obligations":{{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000}},
            "Domain":{{"MailPerS":60}}}}}}"#
        );
        let path = |kind: &str| {
            let number = NEXT_FILE.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            std::env::temp_dir().join(format!("marldeal-bench-{}-{number}.{kind}", std::process::id()))
        };
        let write = |path: &Path, text: &str| std::fs::write(path, text).map_err(|e| e.to_string());
        let file = path("json");
        write(&file, &config)?;
        let mut command = Command::new(program);
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(name);
        }
        command.env("ROUTER_CONFIG", &file);
        let mut files = vec![file];
        if *external {
            let extensions = path("toml");
            write(
                &extensions,
                "[external_processor]\nlisten = \"127.0.0.1:0\"\nmax_open_requests = 100000\n",
            )?;
            command.arg("--extensions").arg(&extensions);
            files.push(extensions);
        }
        let prefix = match (external, managed) {
            (true, _) => "external processor on ",
            (_, true) => "management on ",
            _ => "serves on ",
        };
        Process::start(command, prefix, files)
    }

    /// Returns the CPU time used so far, in seconds. Uses the scheduler's count of all threads in nanoseconds if the
    /// kernel reports it (proc(5), `schedstat`), and clock ticks otherwise.
    pub fn cpu(&self) -> Result<f64, String> {
        if let Some(ns) = self.scheduled_ns() {
            return Ok(ns / 1e9);
        }
        let text = self.proc("stat")?;
        // The command name in parentheses may contain spaces, so fields are counted after it (proc(5): utime is field
        // 14, stime field 15).
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).ok_or("no CPU figure");
        Ok((ticks(11)? + ticks(12)?) / TICKS_PER_S)
    }

    /// Returns the CPU time of all threads in nanoseconds, `None` if the kernel does not report it.
    fn scheduled_ns(&self) -> Option<f64> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).ok()?;
        let task_ns = |task: std::io::Result<std::fs::DirEntry>| -> Option<f64> {
            let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse().ok()
        };
        tasks.map(task_ns).sum()
    }

    /// Returns the resident memory, in bytes.
    pub fn resident(&self) -> Result<f64, String> {
        let text = self.proc("status")?;
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
        let kb = line.split_whitespace().next().and_then(|n| n.parse::<f64>().ok()).ok_or("no VmRSS")?;
        Ok(kb * 1024.0)
    }

    /// Reads a file of the process in `/proc`.
    fn proc(&self, file: &str) -> Result<String, String> {
        let path = format!("/proc/{}/{file}", self.child.id());
        std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))
    }
}
