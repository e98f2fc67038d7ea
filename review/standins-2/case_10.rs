// An upgrade in place while discovery is down; a drain was told to the old process before.
#[path = "common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
}

const SERVERS: usize = 9;
const DRAINING: usize = 2;
const RATE: f64 = 40.0;
/// Discovery is down for this long, from 1 s after it told the drain.
const DOWN: Duration = Duration::from_secs(8);
const GRACE: f64 = 1.0 + 0.05;
/// What discovery tells binds a new process from then on after its yes.
const BINDS_AFTER: f64 = 2.0 + 0.05;
const SIGKILL_AFTER: f64 = 3.8;

/// A discovery agent that can fall silent: calls are accepted and answered once it is back.
#[derive(Clone)]
struct Agent {
    down: Arc<AtomicBool>,
    lines: Arc<Mutex<(String, Vec<String>)>>,
}

impl Agent {
    fn start(full: String, record: Arc<Record>) -> (Agent, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let agent = Agent { down: Arc::default(), lines: Arc::new(Mutex::new((full, Vec::new()))) };
        let all = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (agent, record) = (all.clone(), record.clone());
                std::thread::spawn(move || agent.watch(stream, &record));
            }
        });
        (agent, addr)
    }
    fn watch(&self, mut stream: TcpStream, record: &Record) {
        let chunk = |text: &str| format!("{:x}\r\n{}\r\n", text.len(), text);
        if read_head(&mut stream, &mut Vec::new()).is_none() {
            return;
        }
        while self.down.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let (full, mut told) = {
            let lines = self.lines.lock().unwrap();
            (lines.0.clone(), lines.1.len())
        };
        let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&format!("{full}\n")));
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        record.note("discovery: the whole list to a watch");
        let mut beat = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(10));
            if self.down.load(Ordering::SeqCst) {
                continue;
            }
            let news: Vec<String> = self.lines.lock().unwrap().1[told..].to_vec();
            told += news.len();
            for line in &news {
                if stream.write_all(chunk(&format!("{line}\n")).as_bytes()).is_err() {
                    return;
                }
                record.note("discovery: the change to a watch");
            }
            if beat.elapsed() >= Duration::from_secs(2) {
                beat = Instant::now();
                if stream.write_all(chunk("\n").as_bytes()).is_err() {
                    return;
                }
            }
        }
    }
}

fn spawn(folder: &Folder, n: usize, mgmt: u16, listener: Option<&TcpListener>) -> Process {
    let log = std::fs::File::create(folder.0.join(format!("log-{n}-{mgmt}.txt"))).unwrap();
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(run_command())
        .current_dir(root())
        .env("ROUTER_CONFIG", folder.0.join(format!("config-{n}.json")))
        .env("ROUTER_MGMT", format!("127.0.0.1:{mgmt}"))
        .env("TMPDIR", folder.0.join(format!("tmp-{n}")))
        .env_remove("ROUTER_NAME")
        .env_remove("ROUTER_LISTEN")
        .env_remove("ROUTER_DISCOVERY")
        .env_remove("ROUTER_ACCEPT_FD")
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log);
    if let Some(listener) = listener {
        let fd = listener.as_raw_fd();
        command.env("ROUTER_ACCEPT_FD", "3");
        unsafe {
            command.pre_exec(move || if dup2(fd, 3) == 3 { Ok(()) } else { Err(std::io::Error::last_os_error()) });
        }
    }
    let child = command.spawn().expect("the limiter starts");
    note_process(child.id());
    Process(child)
}

fn main() {
    let record = Record::new();
    let folder = Folder::new();
    let sends: Arc<Mutex<Vec<f64>>> = Arc::default();
    let served = Arc::new(AtomicUsize::new(0));
    let entry = |n: usize, addr: SocketAddr, state| ServerEntry { id: format!("s-{n}"), addr, zone: ["north-block", "yard-office", "annex"][n % 3], state, started_ms: 0 };
    let addrs: Vec<SocketAddr> = (0..SERVERS)
        .map(|n| {
            let (record, sends) = (record.clone(), sends.clone());
            server(n, move |seen, stream| {
                if n < DRAINING {
                    sends.lock().unwrap().push(record.now());
                    record.note(format!("server s-{n}: gets {}", seen.id()));
                }
                std::thread::sleep(Duration::from_millis(150));
                stream.write_all(ok(&seen.id()).as_bytes()).is_ok()
            })
        })
        .collect();
    let whole = |version, state: &'static str| {
        let entries: Vec<ServerEntry> = addrs.iter().enumerate().map(|(n, a)| entry(n, *a, if n < DRAINING { state } else { "active" })).collect();
        list(version, true, &entries)
    };
    let known = whole(1, "active");
    let (agent, discovery) = Agent::start(known.clone(), record.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut listens: Vec<SocketAddr> = vec![listener.local_addr().unwrap()];
    listens.extend((1..3).map(|_| SocketAddr::from(([127, 0, 0, 1], free_port()))));
    let peers: Vec<u16> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()).collect();
    let peer_list: Vec<String> = peers.iter().map(|p| format!("\"127.0.0.1:{p}\"")).collect();
    for n in 0..3 {
        std::fs::create_dir_all(folder.0.join(format!("tmp-{n}"))).unwrap();
        let text = format!(
            r#"{{"name":"n{n}","listen":"{}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"peer_listen":"127.0.0.1:{}","peers":[{}],"known":{known},"settings":{}}}"#,
            listens[n], 0x51u64 + n as u64 + u64::from(std::process::id()), peers[n], peer_list.join(","), settings(n, 3)
        );
        std::fs::write(folder.0.join(format!("config-{n}.json")), text).unwrap();
    }
    let mut old = spawn(&folder, 0, free_port(), Some(&listener));
    let others: Vec<Process> = (1..3).map(|n| spawn(&folder, n, free_port(), None)).collect();
    let deadline = Instant::now() + Duration::from_secs(30);
    while !listens.iter().all(|at| ready(*at)) {
        if Instant::now() > deadline {
            std::process::exit(NOT_RUN);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.note("all limiters are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let at = listens[0];
    let pool: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let exchange = {
        let served = served.clone();
        Arc::new(move |customer: u64| {
            let id = new_id();
            let ask = Ask { class: "slot-check", customer, plan: "mill", id: &id, time_left: 4.0, units: 1, spread: 3, first: 0, body: None };
            for _ in 0..2 {
                let pooled = pool.lock().unwrap().pop();
                let Some(mut stream) = pooled.or_else(|| TcpStream::connect(at).ok()) else { continue };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                if stream.write_all(ask.head().as_bytes()).is_err() {
                    continue;
                }
                if let Ok(answer) = read_answer(&mut stream, &mut Vec::new()) {
                    served.fetch_add(usize::from(answer.status == 200), Ordering::SeqCst);
                    pool.lock().unwrap().push(stream);
                    return;
                }
            }
        })
    };
    let traffic = {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let (began, mut sent) = (Instant::now(), 0u64);
            while !stop.load(Ordering::SeqCst) {
                while (sent as f64) < began.elapsed().as_secs_f64() * RATE {
                    let exchange = exchange.clone();
                    let customer = 0x5000 + sent % 200;
                    std::thread::spawn(move || exchange(customer));
                    sent += 1;
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        })
    };
    std::thread::sleep(Duration::from_secs(2));
    // Discovery tells all limiters that two servers drain. They go on answering.
    let change: Vec<ServerEntry> = (0..DRAINING).map(|n| entry(n, addrs[n], "leaving")).collect();
    {
        let mut lines = agent.lines.lock().unwrap();
        lines.0 = whole(2, "leaving");
        lines.1.push(list(2, false, &change));
    }
    std::thread::sleep(Duration::from_millis(50));
    let told = record.now();
    std::thread::sleep(Duration::from_secs(1));
    let down_at = Instant::now();
    if trouble() {
        record.note("discovery: down");
        agent.down.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_millis(200));
    let mgmt = free_port();
    record.note("platform: starts n0 once more");
    let new = spawn(&folder, 0, mgmt, Some(&listener));
    let status = SocketAddr::from(([127, 0, 0, 1], mgmt));
    let deadline = Instant::now() + Duration::from_secs(6);
    while !operator_call(status, "status").starts_with("SUCCESS") {
        if Instant::now() > deadline {
            record.note("the new process does not say yes");
            std::process::exit(NOT_RUN);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let yes = record.now();
    record.note("platform: the new process says yes, SIGTERM to the old one");
    let terminated = Instant::now();
    old.signal("TERM");
    while terminated.elapsed().as_secs_f64() < SIGKILL_AFTER && old.ended().is_none() {
        std::thread::sleep(Duration::from_millis(10));
    }
    record.note("platform: the old process has ended or gets SIGKILL");
    old.signal("KILL");
    std::thread::sleep(DOWN.saturating_sub(down_at.elapsed()));
    agent.down.store(false, Ordering::SeqCst);
    record.note("discovery: back");
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    std::thread::sleep(Duration::from_millis(500));
    let sends = sends.lock().unwrap();
    let after: Vec<f64> = sends.iter().copied().filter(|t| *t > told + GRACE).collect();
    let breaks: Vec<f64> = after.iter().copied().filter(|t| *t > yes + BINDS_AFTER).collect();
    let last = breaks.last().map_or(0.0, |t| t - told);
    let summary = format!(
        "{} requests served; {} sent to draining servers over {GRACE} s after the drain was told, {} of them over {BINDS_AFTER} s after the yes, the last {last:.3} s after it was told",
        served.load(Ordering::SeqCst), after.len(), breaks.len()
    );
    let code = finish(&record, !breaks.is_empty(), &summary);
    drop((old, new, others));
    drop(folder);
    std::process::exit(code);
}
