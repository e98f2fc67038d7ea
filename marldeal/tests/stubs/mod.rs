//! The program under test, with stand-ins round it.
#![allow(dead_code, unused_imports)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

pub use marldeal_soak::shim::{FailingCalls, Shim};
pub use marldeal_standin::discovery::{update_line, Discovery};
pub use marldeal_standin::message::{exchange, read_answer, write_ok, Message};
pub use marldeal_standin::server::Server as Stub;
pub use marldeal_standin::wait_for;

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[]},
"settings":{"Balancers":1,"Position":0,"Zone":"a","Dcs":["a","b"],"RoundMs":4,"Discovery":"automatic",
"Classes":[{"Name":"look","AimMs":1000,"Effect":"read_like","LateWorth":0},
{"Name":"book","AimMs":2500,"Effect":"idempotency_key","KeyScope":"all","WindowMs":8000}],
"TiersOfService":[{"Name":"basic","Rate":0,"StoreSize":0}],
"Bounds":{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"MayTell":true},
"Obligations":{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000},"Domain":{"MailPerS":60}}}"#;

/// The program, running.
pub struct Node {
    pub addr: SocketAddr,
    pub discovery: Discovery,
    process: Process,
    config: PathBuf,
    extensions: Option<PathBuf>,
}

/// The library that makes calls fail, compiled once a test program.
fn shim() -> &'static Shim {
    static SHIM: OnceLock<Shim> = OnceLock::new();
    SHIM.get_or_init(|| Shim::build().expect("the shim compiles"))
}

fn write_config(text: &str) -> PathBuf {
    write_file(text, "json")
}

fn write_file(text: &str, kind: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("marldeal-test-{}-{number}.{kind}", std::process::id()));
    std::fs::write(&path, text).expect("the configuration is written");
    path
}

fn command(config: &PathBuf, descriptors: u32) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n \"$1\"; shift; exec \"$0\" \"$@\"", env!("CARGO_BIN_EXE_marldeal")]);
    command.arg(descriptors.to_string());
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_MGMT", "ROUTER_ACCEPT_FD"] {
        command.env_remove(name);
    }
    command.env("ROUTER_CONFIG", config);
    command
}

/// A process of the program, and what it says.
pub struct Process {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Process {
    pub fn start(command: &mut Command) -> Process {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let log = Arc::new(Mutex::new(String::new()));
        let all = log.clone();
        std::thread::spawn(move || {
            for text in stderr.lines().map_while(Result::ok) {
                all.lock().expect("lock").push_str(&format!("{text}\n"));
            }
        });
        Process { child, log }
    }

    pub fn log(&self) -> String {
        self.log.lock().expect("lock").clone()
    }
    pub fn wait_log(&self, text: &str) {
        wait_for(text, || self.log().contains(text));
    }
    /// An address that it says it listens on.
    pub fn listens(&self, what: &str) -> SocketAddr {
        let log = self.log();
        let at = log.lines().find_map(|l| l.split_once(what));
        at.and_then(|(_, a)| a.trim().parse().ok()).unwrap_or_else(|| panic!("no '{what}' in {log}"))
    }
    /// The answer to bytes of an operator.
    pub fn operator(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.listens("management on ")).expect("connect");
        stream.set_read_timeout(Some(marldeal_standin::TIMEOUT)).expect("time-out");
        stream.write_all(bytes).expect("write");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer and its end");
        answer
    }
    /// One of the figures.
    pub fn figure(&self, name: &str) -> u64 {
        let text = self.operator(b"stats\n");
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('='));
        line.and_then(|n| n.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
    }
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().expect("kill").success());
    }
    pub fn exit_code(&mut self) -> Option<i32> {
        wait_for("the exit", || self.child.try_wait().expect("a child").is_some());
        self.child.wait().expect("a child").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("log:\n{}", self.log());
        }
    }
}

/// A node that holds requests with the body `slow` until it is let go.
pub fn held() -> (Stub, Arc<AtomicBool>) {
    let release = Arc::new(AtomicBool::new(false));
    let held = release.clone();
    let server = Stub::new(move |seen, stream| {
        if seen.body == "slow" {
            wait_for("release", || held.load(Ordering::SeqCst));
        }
        write_ok(stream, "done")
    });
    (server, release)
}

/// The program with a discovery of the test's own: a raw listener, that may also say nothing.
pub struct Bare {
    pub addr: SocketAddr,
    process: Process,
    config: PathBuf,
}

impl Bare {
    /// Returns once it listens, ready or not.
    pub fn start(discovery: SocketAddr, alter: impl Fn(String) -> String) -> Bare {
        let config = write_config(&alter(self::config(discovery)));
        let process = Process::start(&mut command(&config, 1024));
        process.wait_log("serves on ");
        Bare { addr: process.listens("serves on "), process, config }
    }
    pub fn ask(&self, request: &str) -> Message {
        exchange(&mut TcpStream::connect(self.addr).expect("connect"), request)
    }
}

impl std::ops::Deref for Bare {
    type Target = Process;
    fn deref(&self) -> &Process {
        &self.process
    }
}

impl std::ops::DerefMut for Bare {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Drop for Bare {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config);
    }
}

/// The configuration that all tests begin with.
pub fn config(discovery: SocketAddr) -> String {
    CONFIG.replace("DISCOVERY", &discovery.to_string())
}

impl Node {
    pub fn start(servers: &[(&str, &Stub, &str)]) -> Node {
        Node::with(servers, |config| config)
    }

    /// Starts with an altered configuration.
    pub fn with(servers: &[(&str, &Stub, &str)], alter: impl Fn(String) -> String) -> Node {
        Node::new(servers, alter, 1024, None)
    }

    /// Starts with a limit on descriptors that the configuration does not tell.
    pub fn limited(servers: &[(&str, &Stub, &str)], descriptors: u32) -> Node {
        Node::new(servers, |config| config, descriptors, None)
    }

    /// Starts with an altered configuration and calls of the process that fail.
    pub fn failing(
        servers: &[(&str, &Stub, &str)],
        alter: impl Fn(String) -> String,
        calls: &FailingCalls,
    ) -> Node {
        let environment = shim().environment(calls);
        Node::in_environment(servers, alter, 1024, None, &|_| environment.clone())
    }

    /// Starts with opens of its configuration that fail as long as a file exists.
    pub fn failing_open(servers: &[(&str, &Stub, &str)], while_exists: &Path) -> Node {
        Node::in_environment(servers, |c| c, 1024, None, &|config| shim().failing_open(config, while_exists))
    }

    /// Starts with an altered configuration, and an external processor with these lines beside `listen`.
    pub fn proxied(
        servers: &[(&str, &Stub, &str)],
        alter: impl Fn(String) -> String,
        extension: &str,
    ) -> Node {
        let text = format!("[external_processor]\nlisten = \"127.0.0.1:0\"\n{extension}\n");
        Node::new(servers, alter, 1024, Some(text))
    }

    /// Where the external processor listens.
    pub fn processor(&self) -> SocketAddr {
        self.process.listens("external processor on ")
    }

    /// Starts with an altered configuration and a management address.
    pub fn managed(servers: &[(&str, &Stub, &str)], alter: impl Fn(String) -> String) -> Node {
        let managed = |c: String| c.replacen("{", r#"{"mgmt":"127.0.0.1:0","#, 1);
        Node::new(servers, |c| alter(managed(c)), 1024, None)
    }

    /// Where operators call.
    pub fn management(&self) -> SocketAddr {
        self.process.listens("management on ")
    }

    /// Waits until the program is ready, if it has servers.
    fn new(
        servers: &[(&str, &Stub, &str)],
        alter: impl Fn(String) -> String,
        descriptors: u32,
        extensions: Option<String>,
    ) -> Node {
        Node::in_environment(servers, alter, descriptors, extensions, &|_| Vec::new())
    }

    /// The same with further variables, which may depend on the path of the configuration.
    fn in_environment(
        servers: &[(&str, &Stub, &str)],
        alter: impl Fn(String) -> String,
        descriptors: u32,
        extensions: Option<String>,
        variables: &dyn Fn(&Path) -> Vec<(String, String)>,
    ) -> Node {
        let entries: Vec<_> = servers.iter().map(|(id, stub, state)| (*id, stub.addr, *state)).collect();
        let discovery = Discovery::new(update_line(1, true, &entries));
        let config = write_config(&alter(self::config(discovery.addr)));
        // At the start the variable stands above the file; a reload goes by the file.
        let told = discovery.addr.to_string();
        let extensions = extensions.map(|text| write_file(&text, "toml"));
        let mut command = command(&config, descriptors);
        if let Some(path) = &extensions {
            command.arg("--extensions").arg(path);
        }
        command.envs(variables(&config));
        let process = Process::start(command.env("ROUTER_DISCOVERY", told));
        process.wait_log("serves on ");
        let addr = process.listens("serves on ");
        let node = Node { addr, discovery, process, config, extensions };
        wait_for("the watch", || !node.discovery.watches().is_empty());
        if !servers.is_empty() {
            wait_for("readiness", || ready(&node) == 200);
        }
        node
    }

    /// Exit code and standard error of a start that must fail.
    pub fn refused(alter: impl Fn(String) -> String) -> (Option<i32>, String) {
        let config = write_config(&alter(CONFIG.replace("DISCOVERY", "127.0.0.1:1")));
        let output = command(&config, 1024).output().expect("the program starts");
        let _ = std::fs::remove_file(config);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    }

    /// Replaces the configuration and tells the program nothing.
    pub fn rewrite(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the configuration is written");
    }

    /// Replaces the configuration and tells the program.
    pub fn reload(&self, alter: impl Fn(String) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the configuration is there");
        std::fs::write(&self.config, alter(text)).expect("the configuration is written");
        self.process.signal("HUP");
    }
}

impl std::ops::Deref for Node {
    type Target = Process;
    fn deref(&self) -> &Process {
        &self.process
    }
}

impl std::ops::DerefMut for Node {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config);
        self.extensions.iter().for_each(|path| drop(std::fs::remove_file(path)));
    }
}

pub fn get(class: &str, more: &str) -> String {
    format!(
        "GET /{class}/00000000b4d65521?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: c-1\r\n\
         X-Tariff: basic\r\nX-Time-Left: 3.0\r\nX-Weight: units=1,spread=1,first=0\r\n{more}\r\n"
    )
}

pub fn post(class: &str, key: &str, more: &str, body: &str) -> String {
    let more = format!("Idempotency-Key: {key}\r\nContent-Length: {}\r\n{more}", body.len());
    let head = get(class, &more).replacen("GET", "POST", 1).replace("c-1", &format!("c-{key}"));
    head + body
}

pub fn ask(node: &Node, request: &str) -> Message {
    exchange(&mut TcpStream::connect(node.addr).expect("connect"), request)
}

pub fn ready(node: &Node) -> u16 {
    ask(node, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status
}
