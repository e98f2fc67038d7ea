// Stand-ins and helpers that the cases share: the platform (configuration, start, signals, discovery), servers,
// and clients on raw sockets. All addresses are loopback addresses.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
        let file = std::fs::File::create(path).expect("the record");
        Arc::new(Record { started: Instant::now(), file: Mutex::new(file) })
    }
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    pub fn note(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", self.now(), text.as_ref());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A free TCP port of the loopback address.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

fn free_udp_port() -> u16 {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"))
}

/// The command that starts a limiter, from the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|l| l.starts_with("run = ")).expect("run in the deploy file");
    line.splitn(2, '"').nth(1).unwrap().trim_end().trim_end_matches('"').to_string()
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let path = std::env::temp_dir().join(format!(
            "mdr-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::SeqCst)
        ));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the project. Dropping it kills it.
pub struct Process(pub Child);

impl Process {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.0.id())).stderr(Stdio::null()).status();
    }
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.0.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Notes a started process, so that `run.sh` can end it if this process is ended first.
pub fn note_process(id: u32) {
    if let Ok(path) = std::env::var("PIDS") {
        if let Ok(mut file) = std::fs::OpenOptions::new().create(true).append(true).open(path) {
            let _ = writeln!(file, "{id}");
        }
    }
}

pub struct ServerEntry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
    pub started_ms: u64,
}

pub fn list(version: u64, full: bool, servers: &[ServerEntry]) -> String {
    let entries: Vec<String> = servers
        .iter()
        .map(|s| {
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std-4core","cell":0,"state":"{}","weight":1.0,"started_ms":{}}}"#,
                s.id, s.addr, s.zone, s.state, s.started_ms
            )
        })
        .collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

/// A discovery agent: the first line of a watch is the whole list, empty lines follow every 2 s.
pub struct Discovery {
    pub addr: SocketAddr,
    full: Arc<Mutex<String>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{}\r\n", text.len(), text).into_bytes()
}

impl Discovery {
    pub fn new(full: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let discovery = Discovery { addr, full: Arc::new(Mutex::new(full)), watches: Arc::default() };
        let (full, watches) = (discovery.full.clone(), discovery.watches.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (full, watches) = (full.clone(), watches.clone());
                std::thread::spawn(move || {
                    let mut stream = stream;
                    let mut bytes = Vec::new();
                    let Some((head, _)) = read_head(&mut stream, &mut bytes) else { return };
                    let body = full.lock().unwrap().clone() + "\n";
                    if !head.contains("watch=1") {
                        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        return;
                    }
                    let mut watches = watches.lock().unwrap();
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let _ = stream.write_all(&chunk(&body));
                    watches.push(stream);
                });
            }
        });
        let watches = discovery.watches.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_secs(2));
            watches.lock().unwrap().retain_mut(|w| w.write_all(&chunk("\n")).is_ok());
        });
        discovery
    }
    /// Tells all watches a change; `full` is the whole list from then on.
    pub fn tell(&self, change: &str, full: String) {
        let mut watches = self.watches.lock().unwrap();
        *self.full.lock().unwrap() = full;
        watches.retain_mut(|w| w.write_all(&chunk(&format!("{change}\n"))).is_ok());
    }
}

/// Reads up to the end of a head. `bytes` holds what was read and not consumed.
pub fn read_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, usize)> {
    loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..at + 4]).to_string();
            bytes.drain(..at + 4);
            return Some((head, at + 4));
        }
        let mut buffer = [0; 16384];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
        }
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (n, v) = line.split_once(':')?;
        n.trim().eq_ignore_ascii_case(name).then(|| v.trim().to_string())
    })
}

fn read_exact_from(stream: &mut TcpStream, bytes: &mut Vec<u8>, count: usize) -> Option<Vec<u8>> {
    let mut buffer = vec![0; 65536];
    while bytes.len() < count {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
        }
    }
    Some(bytes.drain(..count).collect())
}

/// Reads a body with a length or in chunks.
pub fn read_body(stream: &mut TcpStream, bytes: &mut Vec<u8>, head: &str) -> Option<Vec<u8>> {
    if header(head, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(at) = bytes.windows(2).position(|w| w == b"\r\n") {
                    let line = String::from_utf8_lossy(&bytes[..at]).to_string();
                    bytes.drain(..at + 2);
                    break line;
                }
                let mut buffer = [0; 16384];
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => return None,
                    Ok(n) => bytes.extend_from_slice(&buffer[..n]),
                }
            };
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            body.extend(read_exact_from(stream, bytes, size)?);
            read_exact_from(stream, bytes, 2)?;
            if size == 0 {
                return Some(body);
            }
        }
    }
    let length = header(head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    read_exact_from(stream, bytes, length)
}

/// A request as a server has read it.
pub struct Seen {
    pub server: usize,
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection at this server.
    pub connection: u64,
}

impl Seen {
    pub fn id(&self) -> String {
        header(&self.head, "x-correlation-id").unwrap_or_default()
    }
}

/// Starts a server. The closure answers each request on the stream and returns whether the connection stays open.
pub fn server(number: usize, handle: impl Fn(&Seen, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for (connection, stream) in (0..).zip(listener.incoming().flatten()) {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut bytes = Vec::new();
                while let Some((head, _)) = read_head(&mut stream, &mut bytes) {
                    let Some(body) = read_body(&mut stream, &mut bytes, &head) else { return };
                    if !handle(&Seen { server: number, head, body, connection }, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The settings of the limiters' deployment, as the pages give them: three limiters, two classes, three plans.
pub fn settings(position: usize, limiters: usize) -> String {
    let zones = ["north-block", "yard-office", "annex"];
    format!(
        r#"{{"Balancers":{limiters},"Position":{position},"Zone":"{}","Dcs":["north-block","yard-office","annex"],
"RoundMs":4,"Discovery":"automatic","HostTypes":["std-4core"],"Tier":0,"Tiers":["booking-fleet"],
"Classes":[{{"Name":"slot-check","AimMs":1000,"DeadlineMs":4000,"Effect":"read_like","KeyScope":"all","LateWorth":0,"Worth":1,"WindowMs":5000,"Streaming":false}},
{{"Name":"pickup-book","AimMs":2500,"DeadlineMs":8000,"Effect":"idempotency_key","KeyScope":"all","LateWorth":0,"Worth":3,"WindowMs":8000,"Streaming":false}}],
"TiersOfService":[{{"Name":"small-yard","Rate":1.2,"StoreSize":6,"Price":0.72}},
{{"Name":"mill","Rate":4.2,"StoreSize":23,"Price":1.2}},
{{"Name":"fleet","Rate":13,"StoreSize":30,"Price":1.8,"HardRate":25,"NeverOverDepth":59,"CeilingSlack":6}}],
"Bounds":{{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"MayTell":true,"RetryAfter":true,"MaxRetryAfterMs":1000,"IdleCloseMs":30000,"Probes":false,"SecondCopies":false}},
"ClientHabits":{{"MarksRetry":true}},
"Obligations":{{"AnswerSlackMs":16,"AskWithinMs":10000,"ColdMs":14000,"DrainGraceMs":1000,"FallMultiple":4,"StartCapacity":0.17,"TipAfterMs":2000}},
"Domain":{{"HasCounter":true,"CountWaitMs":80,"MailPerS":60,"TruedUp":false,"UnitsTop":4}}}}"#,
        zones[position % 3]
    )
}

pub struct Limiter {
    pub addr: SocketAddr,
    pub mgmt: SocketAddr,
    pub process: Process,
}

pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

/// Starts `limiters` limiters with the command of the deploy file and waits until all are ready.
pub fn start_limiters(
    folder: &Path,
    limiters: usize,
    limits: Limits,
    discovery: SocketAddr,
    known: &str,
    record: &Record,
) -> Vec<Limiter> {
    start_with(folder, limiters, limits, discovery, known, record, |s| s)
}

pub fn start_with(
    folder: &Path,
    limiters: usize,
    limits: Limits,
    discovery: SocketAddr,
    known: &str,
    record: &Record,
    change: impl Fn(String) -> String,
) -> Vec<Limiter> {
    let peers: Vec<u16> = (0..limiters).map(|_| free_udp_port()).collect();
    let peer_list: Vec<String> = peers.iter().map(|p| format!("\"127.0.0.1:{p}\"")).collect();
    let mut started = Vec::new();
    for n in 0..limiters {
        let (listen, mgmt) = (free_port(), free_port());
        let temporary = folder.join(format!("tmp-{n}"));
        std::fs::create_dir_all(&temporary).unwrap();
        let config = folder.join(format!("config-{n}.json"));
        let text = format!(
            r#"{{"name":"n{n}","listen":"127.0.0.1:{listen}","discovery":"{discovery}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"mgmt":"127.0.0.1:{mgmt}",
"peer_listen":"127.0.0.1:{}","peers":[{}],"known":{known},"settings":{}}}"#,
            0x8c1f_30d2_7a5b_e964u64 ^ (n as u64) << 32 ^ u64::from(std::process::id()),
            limits.memory_mb,
            limits.sockets,
            peers[n],
            peer_list.join(","),
            change(settings(n, limiters))
        );
        std::fs::write(&config, text).unwrap();
        let log = std::fs::File::create(folder.join(format!("log-{n}.txt"))).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .current_dir(root())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .env_remove("ROUTER_MGMT")
            .env_remove("ROUTER_ACCEPT_FD")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the limiter starts");
        note_process(child.id());
        started.push(Limiter {
            addr: format!("127.0.0.1:{listen}").parse().unwrap(),
            mgmt: format!("127.0.0.1:{mgmt}").parse().unwrap(),
            process: Process(child),
        });
    }
    let deadline = Instant::now() + Duration::from_secs(30);
    for (n, limiter) in started.iter().enumerate() {
        loop {
            if ready(limiter.addr) {
                record.note(format!("limiter n{n} at {} is ready", limiter.addr));
                break;
            }
            if Instant::now() > deadline {
                eprintln!("limiter n{n} is not ready");
                std::process::exit(NOT_RUN);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    started
}

pub fn ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    if stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n").is_err() {
        return false;
    }
    let mut bytes = Vec::new();
    read_head(&mut stream, &mut bytes).is_some_and(|(head, _)| head.starts_with("HTTP/1.1 200"))
}

/// One line to the operators' address; returns the first line of the answer.
pub fn operator_call(addr: SocketAddr, call: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(addr) else { return "no connection".to_string() };
    let _ = stream.write_all(format!("{call}\n").as_bytes());
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.lines().next().unwrap_or_default().to_string()
}

pub fn operator_text(addr: SocketAddr, call: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(addr) else { return "no connection".to_string() };
    let _ = stream.write_all(format!("{call}\n").as_bytes());
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

/// A new id, as 16 hex digits.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ unix_ms())
}

/// A client's request as bytes.
pub struct Ask<'a> {
    pub class: &'a str,
    pub customer: u64,
    pub plan: &'a str,
    pub id: &'a str,
    pub time_left: f64,
    pub units: u32,
    pub spread: u32,
    pub first: u32,
    pub body: Option<usize>,
}

impl Ask<'_> {
    pub fn head(&self) -> String {
        let method = if self.body.is_some() { "POST" } else { "GET" };
        let mut head = format!(
            "{method} /{}/{:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\nX-Tariff: {}\r\nX-Time-Left: {:.3}\r\nX-Weight: units={},spread={},first={}\r\n",
            self.class, self.customer, self.id, self.plan, self.time_left, self.units, self.spread, self.first
        );
        if let Some(length) = self.body {
            head += &format!("Idempotency-Key: k{}\r\nContent-Length: {length}\r\n", self.id);
        }
        head + "\r\n"
    }
}

/// An answer: status, head and body, or why there is none.
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

pub fn read_answer(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Result<Answer, String> {
    let head = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..at + 4]).to_string();
            bytes.drain(..at + 4);
            break head;
        }
        let mut buffer = [0; 16384];
        match stream.read(&mut buffer) {
            Ok(0) => return Err(format!("the connection was closed, {} bytes of an answer", bytes.len())),
            Err(e) => return Err(format!("{e}, {} bytes of an answer", bytes.len())),
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
        }
    };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let body = read_body(stream, bytes, &head).ok_or("the body is not whole")?;
    Ok(Answer { status, head, body })
}

pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

pub fn finish(record: &Record, broken: bool, summary: &str) -> i32 {
    record.note(summary);
    println!("{summary}");
    if broken {
        BROKEN
    } else {
        HELD
    }
}
