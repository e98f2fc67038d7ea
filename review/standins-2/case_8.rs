// A planned restart while bookings with long bodies come in chunks; some servers hang through the whole shutdown.
#[path = "common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}
/// Bytes that were written to a socket and that the other machine has not acknowledged.
const TIOCOUTQ: u64 = 0x5411;

const SERVERS: usize = 9;
const HANGING: usize = 4;
const REQUESTS: usize = 7;
/// What clients write at once, and the rest, which they write at 64 kB a second.
const FIRST: usize = 5_035_000;
const REST: usize = 58_000;
const REST_RATE: f64 = 64_000.0;
const TIME_LEFT: f64 = 7.0;
/// SIGKILL comes no sooner than 3.7 s after SIGTERM.
const SIGKILL_AFTER: f64 = 3.8;
/// A request that SIGKILL finds unanswered is lost if it came more than 0.7 s after SIGTERM.
const COUNTS_AFTER: f64 = 0.7;

struct Outcome {
    id: String,
    taken: Option<Instant>,
    answered: Option<Instant>,
}

fn chunk(length: usize) -> Vec<u8> {
    let mut bytes = format!("{length:x}\r\n").into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    bytes.extend(b"\r\n");
    bytes
}

fn main() {
    let record = Record::new();
    let folder = Folder::new();
    let servers: Vec<ServerEntry> = (0..SERVERS)
        .map(|n| {
            let addr = if n < HANGING {
                // Its machine takes connections and bytes, its process reads nothing.
                let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
                let addr = listener.local_addr().unwrap();
                let record = record.clone();
                std::thread::spawn(move || {
                    let mut held = Vec::new();
                    for stream in listener.incoming().flatten() {
                        record.note(format!("server s{n}: hangs with a connection"));
                        held.push(stream);
                    }
                });
                addr
            } else {
                let record = record.clone();
                server(n, move |seen, stream| {
                    record.note(format!("server s{n}: whole request {} ({} bytes)", seen.id(), seen.body.len()));
                    std::thread::sleep(Duration::from_millis(300));
                    record.note(format!("server s{n}: ran {}", seen.id()));
                    stream.write_all(ok(&seen.id()).as_bytes()).is_ok()
                })
            };
            ServerEntry { id: format!("s-{n}"), addr, zone: ["north-block", "yard-office", "annex"][n % 3], state: "active", started_ms: 0 }
        })
        .collect();
    let full = list(1, true, &servers);
    let discovery = Discovery::new(full.clone());
    let mut limiters = start_limiters(&folder.0, 3, Limits { memory_mb: 192, sockets: 1024 }, discovery.addr, &full, &record);
    let addr = limiters[0].addr;
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let begun = Arc::new(AtomicUsize::new(0));
    // Set at SIGTERM: clients go on with the rest of their bodies.
    let go = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (record, outcomes, begun, go) = (record.clone(), outcomes.clone(), begun.clone(), go.clone());
            std::thread::spawn(move || {
                let id = new_id();
                let ask = Ask { class: "pickup-book", customer: 0x1000 + n as u64, plan: "mill", id: &id, time_left: TIME_LEFT, units: 2, spread: 3, first: 0, body: Some(0) };
                let head = ask.head().replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
                let mut stream = TcpStream::connect(addr).expect("a connection");
                let _ = stream.set_nodelay(true);
                let _ = stream.set_write_timeout(Some(Duration::from_secs(10)));
                let mut outcome = Outcome { id: id.clone(), taken: None, answered: None };
                let written = (|| {
                    stream.write_all(head.as_bytes())?;
                    for _ in 0..FIRST / 5_000 {
                        stream.write_all(&chunk(5_000))?;
                    }
                    record.note(format!("client: {id}: the first part is written"));
                    begun.fetch_add(1, Ordering::SeqCst);
                    while !go.load(Ordering::SeqCst) {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    let (began, mut sent) = (Instant::now(), 0);
                    while sent < REST {
                        std::thread::sleep(Duration::from_millis(50));
                        let due = ((began.elapsed().as_secs_f64() * REST_RATE) as usize).min(REST);
                        stream.write_all(&chunk(due - sent))?;
                        sent = due;
                    }
                    stream.write_all(b"0\r\n\r\n")
                })();
                if let Err(e) = written {
                    record.note(format!("client: {id} could not be written whole: {e}"));
                }
                // The last byte is written to the limiter's machine once that has acknowledged it.
                let waited = Instant::now();
                while waited.elapsed() < Duration::from_secs(1) {
                    let mut left: i32 = 0;
                    if unsafe { ioctl(stream.as_raw_fd(), TIOCOUTQ, &mut left) } == 0 && left == 0 {
                        outcome.taken = Some(Instant::now());
                        record.note(format!("client: the limiter's machine has the last byte of {id}"));
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(1));
                }
                let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(TIME_LEFT + 2.0)));
                let what = match read_answer(&mut stream, &mut Vec::new()) {
                    Ok(answer) => {
                        outcome.answered = Some(Instant::now());
                        answer.status.to_string()
                    }
                    Err(why) => why,
                };
                record.note(format!("client: {id} ends: {what}"));
                outcomes.lock().unwrap().push(outcome);
            })
        })
        .collect();
    let deadline = Instant::now() + Duration::from_secs(10);
    while begun.load(Ordering::SeqCst) < REQUESTS && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut terminated = None;
    go.store(!trouble(), Ordering::SeqCst);
    if trouble() {
        record.note("platform: SIGTERM to n0");
        let at = Instant::now();
        terminated = Some(at);
        limiters[0].process.signal("TERM");
        go.store(true, Ordering::SeqCst);
        while at.elapsed().as_secs_f64() < SIGKILL_AFTER && limiters[0].process.ended().is_none() {
            std::thread::sleep(Duration::from_millis(5));
        }
        if limiters[0].process.ended().is_none() {
            record.note(format!("platform: SIGKILL to n0, {:.3} s after SIGTERM", at.elapsed().as_secs_f64()));
            limiters[0].process.signal("KILL");
        } else {
            record.note(format!("platform: n0 has ended, {:.3} s after SIGTERM", at.elapsed().as_secs_f64()));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let counted: Vec<&Outcome> = outcomes
        .iter()
        .filter(|o| o.taken.is_some_and(|taken| terminated.is_none_or(|at| (taken - at).as_secs_f64() > COUNTS_AFTER)))
        .collect();
    if counted.is_empty() {
        record.note("no request came more than 0.7 s after SIGTERM");
        std::process::exit(NOT_RUN);
    }
    let lost: Vec<&str> = counted
        .iter()
        .filter(|o| o.answered.is_none_or(|at| (at - o.taken.unwrap()).as_secs_f64() > TIME_LEFT + 0.5))
        .map(|o| o.id.as_str())
        .collect();
    let summary = format!("{} requests taken (with the restart, over 0.7 s after SIGTERM), {} got no final answer {}", counted.len(), lost.len(), lost.join(" "));
    let code = finish(&record, !lost.is_empty(), &summary);
    drop(limiters);
    drop(folder);
    std::process::exit(code);
}
