//! A program under measurement.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Clock ticks a second in `/proc/PID/stat` (USER_HZ; proc(5)): 100 on every Linux that shows it to programs.
const TICKS: f64 = 100.0;

/// Processes started so far: each has files of its own.
static STARTED: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

/// How a limiter under measurement is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its external processor is asked, not its direct front.
    pub external: bool,
    /// The operators' listener is on, and its address is the process's.
    pub managed: bool,
    /// One plan, in the platform's form.
    pub plan: String,
    /// `limits.memory_mb`.
    pub memory_mb: f64,
    /// `limits.sockets`.
    pub sockets: u32,
    /// Limiters of the tier; it is the first of them.
    pub limiters: u32,
    /// Where datagrams to all of them go; nowhere: they are not told anything.
    pub peers: Option<SocketAddr>,
}

impl Default for Setup {
    /// Without quotas, alone.
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

/// A child that ends with its owner.
pub struct Process {
    child: Child,
    files: Vec<PathBuf>,
    /// Where it listens, by the word that its log has before the address.
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
    /// Starts a command and waits until its log (standard error) has a line with `word` and an address.
    pub fn start(mut command: Command, word: &'static str, files: Vec<PathBuf>) -> Result<Process, String> {
        let child = command.stderr(Stdio::piped()).spawn().map_err(|e| format!("{command:?}: {e}"))?;
        let mut process = Process { child, files, addr: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let log = process.child.stderr.take().ok_or("no log")?;
        let (told, heard) = mpsc::channel();
        std::thread::spawn(move || {
            for text in BufReader::new(log).lines().map_while(Result::ok) {
                let _ = told.send(text);
            }
        });
        let mut seen = String::new();
        loop {
            let text =
                heard.recv_timeout(Duration::from_secs(15)).map_err(|_| format!("no start: {seen}"))?;
            if let Some((_, at)) = text.split_once(word) {
                process.addr = at.trim().parse().map_err(|_| format!("no address: {text}"))?;
                return Ok(process);
            }
            seen.push_str(&text);
        }
    }

    /// This program with a hidden command.
    pub fn own(arguments: &[&str]) -> Result<Process, String> {
        let mut command = Command::new(std::env::current_exe().map_err(|e| e.to_string())?);
        command.args(arguments);
        Process::start(command, "serves on ", Vec::new())
    }

    /// A limiter without quotas that takes all time, before nodes at these addresses. With `external` the address is
    /// the external processor's.
    pub fn limiter(program: &Path, discovery: SocketAddr, external: bool) -> Result<Process, String> {
        Process::configured(program, discovery, &Setup { external, ..Setup::default() })
    }

    /// A limiter that holds one plan, with so much memory.
    pub fn limiter_with(
        program: &Path,
        discovery: SocketAddr,
        plan: &str,
        mb: f64,
    ) -> Result<Process, String> {
        let setup = Setup { plan: plan.to_string(), memory_mb: mb, ..Setup::default() };
        Process::configured(program, discovery, &setup)
    }

    /// A limiter that is set up so, before nodes of this discovery.
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
            let number = STARTED.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
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
        let word = match (external, managed) {
            (true, _) => "external processor on ",
            (_, true) => "management on ",
            _ => "serves on ",
        };
        Process::start(command, word, files)
    }

    /// CPU used so far, in seconds: of all its threads by the scheduler's own count, in nanoseconds, where the kernel
    /// tells (proc(5), `schedstat`), else in ticks.
    pub fn cpu(&self) -> Result<f64, String> {
        if let Some(ns) = self.scheduled_ns() {
            return Ok(ns / 1e9);
        }
        let text = self.proc("stat")?;
        // The name in brackets may hold spaces; fields are counted behind it (proc(5): utime 14, stime 15).
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).ok_or("no CPU figure");
        Ok((ticks(11)? + ticks(12)?) / TICKS)
    }

    fn scheduled_ns(&self) -> Option<f64> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).ok()?;
        let of = |task: std::io::Result<std::fs::DirEntry>| -> Option<f64> {
            let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse().ok()
        };
        tasks.map(of).sum()
    }

    /// Resident memory, in bytes.
    pub fn resident(&self) -> Result<f64, String> {
        let text = self.proc("status")?;
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
        let kb = line.split_whitespace().next().and_then(|n| n.parse::<f64>().ok()).ok_or("no VmRSS")?;
        Ok(kb * 1024.0)
    }

    fn proc(&self, file: &str) -> Result<String, String> {
        let path = format!("/proc/{}/{file}", self.child.id());
        std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))
    }
}
