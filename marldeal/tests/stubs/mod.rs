//! Stub servers, a stub of discovery, and the program under test.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something holds; it is the only measure of time in most tests, and generous.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A message as it came: head and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string())
    }
}

fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let mut message = Message { head: String::from_utf8_lossy(&head).into_owned(), ..Message::default() };
    message.status = message.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

#[derive(Default)]
struct Counts {
    seen: Mutex<Vec<Message>>,
    connections: AtomicUsize,
    open: AtomicUsize,
    most_open: AtomicUsize,
    closed_by_peer: AtomicUsize,
    stop: AtomicBool,
}

/// A server that answers as it is told; false from the closure ends the connection.
pub struct Stub {
    pub addr: SocketAddr,
    counts: Arc<Counts>,
}

impl Stub {
    pub fn new(answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Stub {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        let (counts, answer) = (Arc::new(Counts::default()), Arc::new(answer));
        let all = counts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if all.stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut stream) = stream else { continue };
                let (counts, answer) = (all.clone(), answer.clone());
                counts.connections.fetch_add(1, Ordering::SeqCst);
                let open = counts.open.fetch_add(1, Ordering::SeqCst) + 1;
                counts.most_open.fetch_max(open, Ordering::SeqCst);
                std::thread::spawn(move || {
                    loop {
                        let Some(message) = read_message(&mut stream) else {
                            counts.closed_by_peer.fetch_add(1, Ordering::SeqCst);
                            break;
                        };
                        counts.seen.lock().expect("lock").push(message.clone());
                        if !answer(&message, &mut stream) {
                            counts.closed_by_peer.fetch_add(1, Ordering::SeqCst);
                            break;
                        }
                    }
                    counts.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Stub { addr, counts }
    }

    pub fn seen(&self) -> Vec<Message> {
        self.counts.seen.lock().expect("lock").clone()
    }
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::SeqCst)
    }
    pub fn most_open(&self) -> usize {
        self.counts.most_open.load(Ordering::SeqCst)
    }
    pub fn closed_by_peer(&self) -> usize {
        self.counts.closed_by_peer.load(Ordering::SeqCst)
    }
    /// Stops listening; returns when connections are refused.
    pub fn close(&self) {
        self.counts.stop.store(true, Ordering::SeqCst);
        wait_for("the listener to close", || TcpStream::connect(self.addr).is_err());
    }
}

pub fn write_ok(stream: &mut TcpStream, body: &str) -> bool {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
}

/// A line of discovery.
pub fn line(version: u64, full: bool, servers: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(id, addr, state): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
        )
    };
    let servers: Vec<String> = servers.iter().map(entry).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}\n", servers.join(","))
}

#[derive(Default)]
struct Watches {
    heads: Mutex<Vec<String>>,
    streams: Mutex<Vec<TcpStream>>,
    muted: AtomicBool,
}

/// Discovery: watches that say what they are told, and beats.
pub struct Discovery {
    pub addr: SocketAddr,
    watches: Arc<Watches>,
}

impl Discovery {
    pub fn new(first: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        let watches = Arc::new(Watches::default());
        let all = watches.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                let Some(message) = read_message(&mut stream) else { continue };
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let text = if all.heads.lock().expect("lock").is_empty() { first.as_str() } else { "\n" };
                chunk(&mut stream, text);
                all.streams.lock().expect("lock").push(stream);
                all.heads.lock().expect("lock").push(message.head);
            }
        });
        let beats = watches.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(500));
            if !beats.muted.load(Ordering::SeqCst) {
                beats.streams.lock().expect("lock").iter_mut().for_each(|s| chunk(s, "\n"));
            }
        });
        Discovery { addr, watches }
    }

    /// Says something on the newest watch.
    pub fn push(&self, text: &str) {
        wait_for("a watch", || !self.watches.heads.lock().expect("lock").is_empty());
        if let Some(stream) = self.watches.streams.lock().expect("lock").last_mut() {
            // A beat would end a half line: it is held back from now on.
            self.watches.muted.store(true, Ordering::SeqCst);
            chunk(stream, text);
        }
        self.watches.muted.store(!text.ends_with('\n'), Ordering::SeqCst);
    }
    pub fn watches(&self) -> Vec<String> {
        self.watches.heads.lock().expect("lock").clone()
    }
    pub fn mute(&self) {
        self.watches.muted.store(true, Ordering::SeqCst);
    }
    pub fn end(&self) {
        for stream in self.watches.streams.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) {
    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
}

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
    child: Child,
    log: Arc<Mutex<String>>,
    config: PathBuf,
}

fn write_config(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("marldeal-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("the configuration is written");
    path
}

fn command(config: &PathBuf, descriptors: u32) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n \"$1\"; exec \"$0\"", env!("CARGO_BIN_EXE_marldeal")]);
    command.arg(descriptors.to_string());
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
        command.env_remove(name);
    }
    command.env("ROUTER_CONFIG", config).stderr(Stdio::piped());
    command
}

impl Node {
    pub fn start(servers: &[(&str, &Stub, &str)]) -> Node {
        Node::with(servers, |config| config)
    }

    /// Starts with an altered configuration.
    pub fn with(servers: &[(&str, &Stub, &str)], alter: impl Fn(String) -> String) -> Node {
        Node::new(servers, alter, 1024)
    }

    /// Starts with a limit on descriptors that the configuration does not tell.
    pub fn limited(servers: &[(&str, &Stub, &str)], descriptors: u32) -> Node {
        Node::new(servers, |config| config, descriptors)
    }

    /// Waits until the program is ready, if it has servers.
    fn new(servers: &[(&str, &Stub, &str)], alter: impl Fn(String) -> String, descriptors: u32) -> Node {
        let entries: Vec<_> = servers.iter().map(|(id, stub, state)| (*id, stub.addr, *state)).collect();
        let discovery = Discovery::new(line(1, true, &entries));
        let config = write_config(&alter(CONFIG.replace("DISCOVERY", &discovery.addr.to_string())));
        // At the start the variable stands above the file; a reload goes by the file.
        let told = discovery.addr.to_string();
        let mut child =
            command(&config, descriptors).env("ROUTER_DISCOVERY", told).spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let log = Arc::new(Mutex::new(String::new()));
        let all = log.clone();
        std::thread::spawn(move || {
            for text in stderr.lines().map_while(Result::ok) {
                all.lock().expect("lock").push_str(&format!("{text}\n"));
            }
        });
        let mut addr = None;
        wait_for("the program to listen", || {
            let text = log.lock().expect("lock");
            let at = text.lines().find_map(|l| l.split_once("serves on "));
            addr = at.and_then(|(_, a)| a.trim().parse().ok());
            addr.is_some()
        });
        let node = Node { addr: addr.expect("an address"), discovery, child, log, config };
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

    /// Replaces the configuration and tells the program.
    pub fn reload(&self, alter: impl Fn(String) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the configuration is there");
        std::fs::write(&self.config, alter(text)).expect("the configuration is written");
        self.signal("HUP");
    }

    pub fn wait_log(&self, text: &str) {
        wait_for(text, || self.log.lock().expect("lock").contains(text));
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

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        if std::thread::panicking() {
            eprintln!("log:\n{}", self.log.lock().map(|l| l.clone()).unwrap_or_default());
        }
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

pub fn read_answer(stream: &mut TcpStream) -> Message {
    stream.set_read_timeout(Some(PATIENCE)).expect("time-out");
    read_message(stream).expect("a whole answer")
}

pub fn exchange(stream: &mut TcpStream, request: &str) -> Message {
    stream.write_all(request.as_bytes()).expect("write");
    read_answer(stream)
}

pub fn ask(node: &Node, request: &str) -> Message {
    exchange(&mut TcpStream::connect(node.addr).expect("connect"), request)
}

pub fn ready(node: &Node) -> u16 {
    ask(node, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status
}
