//! Stand-ins for clients, servers, discovery and the platform, and the start of limiters by the deploy file. Standard
//! library only; the few system calls that it lacks are declared here.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(fd: i32, command: i32, argument: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn ioctl(fd: i32, request: u64, argument: *mut i32) -> i32;
}
const F_SETFD: i32 = 2;
const PR_SET_PDEATHSIG: i32 = 1;
const TIOCOUTQ: u64 = 0x5411;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

// ---- Time, record and end of the run ----

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Seconds since the start of the run.
pub fn now() -> f64 {
    STARTED.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep_until(at: f64) {
    let left = at - now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Writes one line to the record.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:8.3} {line}", now());
    }
}

/// Opens the record and starts the watchdog.
pub fn begin() {
    now();
    // Ends with the script, and the limiters with it.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
    let path = std::env::var("RECORD").expect("RECORD names the record");
    let _ = RECORD.set(Mutex::new(File::create(path).expect("the record is created")));
    std::panic::set_hook(Box::new(|why| {
        record(&format!("could not run: {why}"));
        end(2);
    }));
    std::thread::spawn(|| {
        sleep_until(110.0);
        record("could not run: took longer than 110 s");
        end(2);
    });
    record(&format!("disruption: {}", if trouble() { "played" } else { "not played (TROUBLE=0)" }));
}

/// Ends the processes that were started, and the run: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn end(code: i32) -> ! {
    for pid in CHILDREN.lock().map(|mut c| std::mem::take(&mut *c)).unwrap_or_default() {
        unsafe { kill(pid, SIGKILL) };
    }
    let verdict = ["the rule held", "the rule was broken", "the case could not run"][code as usize];
    record(&format!("exit {code}: {verdict}"));
    println!("{verdict}");
    std::process::exit(code)
}

// ---- Messages ----

pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v)
    }
    pub fn status(&self) -> u32 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a whole message; `None` if the connection ends or a read times out before that.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let first_line = line.trim_end().to_string();
    let mut headers = BTreeMap::new();
    loop {
        line.clear();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|c| c == "chunked") {
        loop {
            line.clear();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let length = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; length + 2];
            from.read_exact(&mut chunk).ok()?;
            if length == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..length]);
        }
    } else if let Some(length) = headers.get("content-length") {
        body = vec![0; length.parse().ok()?];
        from.read_exact(&mut body).ok()?;
    }
    Some(Message { first_line, headers, body })
}

// ---- Servers ----

/// A server that handles each whole request with `handle`, which may sleep and returns the body of a 200 answer.
pub fn server(handle: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().expect("clone"));
                let mut writer = stream;
                while let Some(request) = read_message(&mut reader) {
                    let body = handle(&request);
                    let mut answer =
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
                    answer.extend_from_slice(&body);
                    if writer.write_all(&answer).is_err() {
                        break;
                    }
                }
            });
        }
    });
    addr
}

/// A server that hangs: its machine accepts connections and bytes, the process reads and answers nothing.
pub fn hanging_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let _listener = listener;
        loop {
            std::thread::park();
        }
    });
    addr
}

// ---- Discovery ----

/// An agent that lists these servers as active, long started.
pub fn discovery(servers: &[SocketAddr]) -> SocketAddr {
    let entries: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(n, addr)| {
            format!(
                r#"{{"id":"s-{n:04x}","addr":"{addr}","zone":"{}","kind":"std-4core","cell":{},"state":"active","weight":1.0,"started_ms":0}}"#,
                ZONES[n % ZONES.len()],
                n / 3
            )
        })
        .collect();
    let list = format!("{{\"version\":41,\"full\":true,\"servers\":[{}]}}\n", entries.join(","));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("clone"));
                let mut writer = stream;
                let Some(request) = read_message(&mut reader) else { return };
                if !request.first_line.contains("watch=1") {
                    let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                    return;
                }
                let _ = write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let mut text = list.as_str();
                while write!(writer, "{:x}\r\n{text}\r\n", text.len()).is_ok() {
                    std::thread::sleep(Duration::from_secs(2));
                    text = "\n";
                }
            });
        }
    });
    addr
}

// ---- Limiters ----

pub const ZONES: [&str; 3] = ["north-block", "yard-office", "annex"];
pub const LIMITERS: usize = 3;

/// Figures of the plan `fleet`; those of the others are in `settings`.
#[derive(Clone, Copy)]
pub struct Fleet {
    pub rate: f64,
    pub burst: f64,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub ceiling_slack: f64,
}

pub const USUAL_FLEET: Fleet =
    Fleet { rate: 13.0, burst: 30.0, ceiling_rate: 25.0, ceiling_burst: 59.0, ceiling_slack: 6.0 };

/// The settings of the page WIRE's example, within the ranges of the site file.
fn settings(position: usize, fleet: &Fleet) -> String {
    let Fleet { rate, burst, ceiling_rate, ceiling_burst, ceiling_slack } = fleet;
    let zone = ZONES[position];
    format!(
        r#"{{"Balancers":{LIMITERS},"Position":{position},"Zone":"{zone}","Dcs":["north-block","yard-office","annex"],
"RoundMs":4.0,"Discovery":"automatic","Family":"gate","HostTypes":["std-4core"],"Tier":0,"Tiers":["booking-fleet"],"WeightSource":"rough",
"Classes":[{{"Name":"slot-check","AimMs":1000.0,"DeadlineMs":4000.0,"Effect":"read_like","KeyScope":"all","LateWorth":0.0,"Streaming":false,"WindowMs":5000.0,"Worth":1.0}},
{{"Name":"pickup-book","AimMs":2500.0,"DeadlineMs":8000.0,"Effect":"idempotency_key","KeyScope":"all","LateWorth":0.0,"Streaming":false,"WindowMs":8000.0,"Worth":3.0}}],
"TiersOfService":[{{"Name":"small-yard","Rate":1.2,"StoreSize":6.0,"AtOnce":0,"HardRate":0.0,"NeverOverDepth":0.0,"CeilingSlack":0.0,"Price":0.72,"OverWorth":0.0,"OverrunCost":1.0}},
{{"Name":"mill","Rate":5.4,"StoreSize":30.0,"AtOnce":0,"HardRate":0.0,"NeverOverDepth":0.0,"CeilingSlack":0.0,"Price":1.2,"OverWorth":0.0,"OverrunCost":1.2}},
{{"Name":"fleet","Rate":{rate},"StoreSize":{burst},"AtOnce":0,"HardRate":{ceiling_rate},"NeverOverDepth":{ceiling_burst},"CeilingSlack":{ceiling_slack},"Price":1.8,"OverWorth":0.0,"OverrunCost":0.6}}],
"Bounds":{{"Cancelling":true,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeoutMs":250.0,"IdleCloseMs":30000.0,"MaxOpen":20000,"MaxRetryAfterMs":1000.0,"MayTell":true,"MostTries":3,"Probes":false,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":100}},
"ClientHabits":{{"MarksRetry":true}},"Report":{{"Names":[],"Via":"silent"}},
"Charges":{{"Connection":0.0,"CrossZone":0.005,"Discovery":0.0,"Handshake":0.0,"LateFail":0.05,"Moves":0.0,"Origin":0.0,"Peer":0.02,"Probe":0.0,"Waste":0.03}},
"Domain":{{"CountFee":0.005,"CountWaitMs":80.0,"HasCounter":true,"MailPerS":60.0,"TruedUp":false,"UnitsTop":4,"UsePeriodMs":0.0}},
"Obligations":{{"AnswerSlackMs":16.0,"AskWithinMs":10000.0,"ColdMs":14000.0,"DrainGraceMs":1000.0,"FallMultiple":4.0,"StartCapacity":0.17,"TipAfterMs":2000.0}},
"ScoringMix":{{"Whole":0.65,"WorstClass":0.0,"WorstTenant":0.15,"WorstWindow":0.2}}}}"#
    )
}

/// What the platform holds for the tier: the clients' listening sockets, addresses and folders of the limiters, and the
/// network between them, on which each message takes 10 ms.
pub struct Platform {
    pub listeners: Vec<TcpListener>,
    pub addrs: Vec<SocketAddr>,
    discovery: SocketAddr,
    fleet: Fleet,
    /// Memory limit of a limiter in MB; 192 unless a case sets another.
    pub memory_mb: u32,
    /// Own address of each limiter for messages, and the address under which `a` sees `b`.
    own: Vec<SocketAddr>,
    seen: BTreeMap<(usize, usize), SocketAddr>,
    /// Processes inherit the clients' listening socket, as on days with upgrades.
    inherited: bool,
    folder: PathBuf,
    root: PathBuf,
    run: String,
}

pub struct Limiter {
    pub position: usize,
    pub pid: i32,
    child: Mutex<Child>,
    management: SocketAddr,
}

const MESSAGE_DELAY: Duration = Duration::from_millis(10);

impl Platform {
    pub fn new(discovery: SocketAddr, fleet: Fleet, inherited: bool) -> Platform {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"));
        let folder = PathBuf::from(std::env::var("FOLDER").expect("FOLDER names a temporary folder"));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.split('"').next().map(str::to_string))
            .expect("the deploy file has a run line");
        let mut listeners: Vec<_> =
            (0..LIMITERS).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let addrs = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        if !inherited {
            listeners.clear();
        }
        // Held and freed: the limiters bind these themselves.
        let held: Vec<_> = (0..LIMITERS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        let own: Vec<SocketAddr> = held.iter().map(|s| s.local_addr().unwrap()).collect();
        let mut sockets = BTreeMap::new();
        for a in 0..LIMITERS {
            for b in (0..LIMITERS).filter(|b| *b != a) {
                sockets.insert((a, b), Arc::new(UdpSocket::bind("127.0.0.1:0").expect("a port")));
            }
        }
        drop(held);
        let seen = sockets.iter().map(|(k, s)| (*k, s.local_addr().unwrap())).collect();
        for ((a, b), from) in &sockets {
            let (from, back, to) = (from.clone(), sockets[&(*b, *a)].clone(), own[*b]);
            let (sender, due) = mpsc::channel::<(Instant, Vec<u8>)>();
            std::thread::spawn(move || {
                let mut buffer = [0; 2048];
                while let Ok((length, _)) = from.recv_from(&mut buffer) {
                    let _ = sender.send((Instant::now() + MESSAGE_DELAY, buffer[..length].to_vec()));
                }
            });
            std::thread::spawn(move || {
                for (at, bytes) in due {
                    std::thread::sleep(at.saturating_duration_since(Instant::now()));
                    let _ = back.send_to(&bytes, to);
                }
            });
        }
        Platform {
            listeners,
            addrs,
            discovery,
            fleet,
            memory_mb: 192,
            own,
            seen,
            inherited,
            folder,
            root,
            run,
        }
    }

    /// Starts a process of a limiter by the deploy file's `run`. It inherits the clients' listening socket as
    /// descriptor 3; a second one while the first runs is an upgrade.
    pub fn start(&self, position: usize) -> Limiter {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let management = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        let peers: Vec<String> = (0..LIMITERS)
            .map(|b| if b == position { self.own[b] } else { self.seen[&(position, b)] })
            .map(|a| format!("\"{a}\""))
            .collect();
        let (name, listen, discovery) = (format!("n{position}"), self.addrs[position], self.discovery);
        let memory_mb = self.memory_mb;
        let (own, peers, settings) = (self.own[position], peers.join(","), settings(position, &self.fleet));
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"peer_listen":"{own}","peers":[{peers}],"mgmt":"{management}","settings":{settings}}}"#,
            0x8c1f_30d2_7a5b_e964_u64.wrapping_mul(number + 1)
        );
        let path = self.folder.join(format!("config-{number}.json"));
        std::fs::write(&path, config).expect("the configuration is written");
        let temporary = self.folder.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&temporary).expect("a folder");
        let log = File::create(self.folder.join(format!("log-{number}-{name}.txt"))).expect("a log");
        let inherits = self.inherited;
        let fd: RawFd = self.listeners.get(position).map_or(-1, AsRawFd::as_raw_fd);
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &self.run]).current_dir(&self.root).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("clone")).stderr(log);
        command
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_MGMT", management.to_string())
            .env("TMPDIR", &temporary);
        command.env("ROUTER_NAME", &name).env("ROUTER_LISTEN", listen.to_string());
        command.env("ROUTER_DISCOVERY", discovery.to_string()).env_remove("ROUTER_ACCEPT_FD");
        if inherits {
            command.env("ROUTER_ACCEPT_FD", "3");
        }
        unsafe {
            command.pre_exec(move || {
                if inherits && fd == 3 {
                    fcntl(3, F_SETFD, 0);
                } else if inherits {
                    dup2(fd, 3);
                }
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the limiter starts");
        let pid = child.id() as i32;
        CHILDREN.lock().unwrap().push(pid);
        record(&format!("limiter {name}: process {pid} started by '{}'", self.run));
        Limiter { position, pid, child: Mutex::new(child), management }
    }

    /// Waits until a limiter says that clients may come.
    pub fn wait_ready(&self, position: usize) {
        let until = now() + 30.0;
        while now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.addrs[position]) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
                let answer = read_message(&mut BufReader::new(stream));
                if answer.is_some_and(|a| a.status() == 200) {
                    return;
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("limiter n{position} is not ready after 30 s");
    }

    /// The log of a limiter's processes, for the record.
    pub fn record_logs(&self) {
        let mut files: Vec<_> =
            std::fs::read_dir(&self.folder).expect("a folder").flatten().map(|e| e.path()).collect();
        files.sort();
        for path in
            files.iter().filter(|p| p.file_name().is_some_and(|n| n.to_string_lossy().starts_with("log-")))
        {
            record(&format!("{}:", path.file_name().unwrap().to_string_lossy()));
            for line in std::fs::read_to_string(path).unwrap_or_default().lines() {
                record(&format!("    {line}"));
            }
        }
    }
}

impl Limiter {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid, signal) };
    }
    pub fn has_ended(&self) -> bool {
        self.child.lock().unwrap().try_wait().is_ok_and(|s| s.is_some())
    }
    /// An operator's call, as on the page on daily operation.
    pub fn call(&self, line: &str) -> String {
        let mut answer = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.management) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let _ = writeln!(stream, "{line}");
            let _ = stream.read_to_string(&mut answer);
        }
        answer.trim_end().to_string()
    }
    /// Waits until the process says that it can serve.
    pub fn wait_yes(&self) {
        let until = now() + 6.0;
        while now() < until {
            let answer = self.call("status");
            if answer.starts_with("SUCCESS") {
                return record(&format!("limiter n{}: process {} says '{answer}'", self.position, self.pid));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("process {} of limiter n{} does not say yes within 6 s", self.pid, self.position);
    }
}

// ---- Clients ----

/// A request on its way: its id and bytes.
pub struct Request {
    pub id: String,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

/// A request of a customer of limiters 0, 1 and 2. A booking has a key and a body, a slot-check neither.
pub fn request(class: &str, plan: &str, customer: u64, units: u32, time_left: f64, body: Vec<u8>) -> Request {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let id = format!("{:08x}{:08x}", unix as u32, NUMBER.fetch_add(1, Ordering::SeqCst));
    let framing = match class {
        "slot-check" => String::new(),
        _ => format!("Idempotency-Key: {id}{id}\r\nContent-Length: {}\r\n", body.len()),
    };
    let method = if class == "slot-check" { "GET" } else { "POST" };
    let head = format!(
        "{method} /{class}/{customer:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Tariff: {plan}\r\nX-Time-Left: {time_left:.3}\r\n{framing}X-Weight: units={units},spread=3,first=0\r\n\r\n"
    );
    Request { id, head: head.into_bytes(), body }
}

/// Bytes that the other machine has not yet taken.
pub fn unacknowledged(stream: &TcpStream) -> i32 {
    let mut bytes = 0;
    unsafe { ioctl(stream.as_raw_fd(), TIOCOUTQ, &mut bytes) };
    bytes
}

/// Reads the answer until `until`. `Ok` is a whole answer, `Err` says what came instead.
pub fn read_answer(stream: &TcpStream, until: f64) -> Result<Message, String> {
    let mut all = Vec::new();
    loop {
        if let Some(message) = read_message(&mut BufReader::new(&all[..])) {
            return Ok(message);
        }
        let left = until - now();
        if left <= 0.0 {
            return Err(format!("nothing more after {} bytes, the connection is open", all.len()));
        }
        let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(left.max(0.001))));
        let mut buffer = [0; 16384];
        match (&*stream).read(&mut buffer) {
            Ok(0) => return Err(format!("the connection ended after {} bytes of an answer", all.len())),
            Ok(n) => all.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(e) => {
                return Err(format!("the connection broke after {} bytes of an answer: {e}", all.len()))
            }
        }
    }
}

pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the limiter accepts a connection");
    stream.set_nodelay(true).expect("no delay");
    stream
}
