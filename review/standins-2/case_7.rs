// A booking with a long body is reset after it has run; it is sent again, and comes whole after the window for repeats.
#[path = "common.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
const RESETTING: usize = 4;
const REQUESTS: usize = 6;
/// Clients that look up slots meanwhile, about 2.5 requests a second each.
const LOOKUPS: usize = 16;
const BODY: usize = 4_700_000;
const TIME_LEFT: f64 = 4.0;
const WINDOW_MS: f64 = 1200.0;
/// What each server takes of a body, in bytes a second: 0.78 s for one.
const TAKEN_RATE: f64 = 6_000_000.0;

type Runs = Arc<Mutex<HashMap<String, Vec<(f64, f64, usize)>>>>;

fn serve(n: usize, record: Arc<Record>, runs: Runs, on: Arc<AtomicBool>, first_sent: Arc<Mutex<HashMap<String, f64>>>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs, on, first_sent) = (record.clone(), runs.clone(), on.clone(), first_sent.clone());
            std::thread::spawn(move || {
                let mut stream: TcpStream = stream;
                let _ = stream.set_nodelay(true);
                let mut bytes = Vec::new();
                while let Some((head, _)) = read_head(&mut stream, &mut bytes) {
                    let key = header(&head, "idempotency-key").unwrap_or_default();
                    let length: usize = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
                    if length == 0 {
                        std::thread::sleep(Duration::from_millis(120));
                        if stream.write_all(ok("free").as_bytes()).is_err() {
                            return;
                        }
                        continue;
                    }
                    let trouble = on.load(Ordering::SeqCst) && trouble();
                    let (began, from) = (Instant::now(), record.now());
                    record.note(format!("server s{n}: first bytes of {key}"));
                    let mut got = bytes.len();
                    let mut buffer = vec![0; 65536];
                    while got < length {
                        let ahead = got as f64 / TAKEN_RATE - began.elapsed().as_secs_f64();
                        if ahead > 0.0 {
                            std::thread::sleep(Duration::from_secs_f64(ahead));
                        }
                        match stream.read(&mut buffer) {
                            Ok(0) | Err(_) => {
                                record.note(format!("server s{n}: {key} broke off after {got} bytes"));
                                return;
                            }
                            Ok(count) => got += count,
                        }
                    }
                    bytes.clear();
                    // A limiter gives up an attempt by closing its connection: such an attempt is not run.
                    let _ = stream.set_nonblocking(true);
                    let given_up = match stream.peek(&mut buffer[..1]) {
                        Ok(0) => true,
                        Ok(_) => false,
                        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
                    };
                    let _ = stream.set_nonblocking(false);
                    if given_up {
                        record.note(format!("server s{n}: {key} came whole after its connection was closed, not run"));
                        return;
                    }
                    // The servers remember a key for the window, from the first send of it.
                    let at = record.now();
                    let mut all = runs.lock().unwrap();
                    let earlier = all.entry(key.clone()).or_default();
                    // Counted from the first bytes of the first attempt that has come whole.
                    let sent = *first_sent.lock().unwrap().entry(key.clone()).or_insert(from);
                    let remembered = earlier.last().is_some_and(|_| at - sent <= WINDOW_MS / 1000.0);
                    if remembered {
                        record.note(format!("server s{n}: {key} is a repeat, dropped"));
                    } else {
                        earlier.push((sent, at, n));
                        record.note(format!("server s{n}: runs {key}, {:.3} s after it was first sent", at - sent));
                    }
                    drop(all);
                    std::thread::sleep(Duration::from_millis(50));
                    if trouble && n < RESETTING {
                        record.note(format!("server s{n}: resets the connection of {key}"));
                        return;
                    }
                    if stream.write_all(ok(&key).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn main() {
    let record = Record::new();
    let folder = Folder::new();
    let runs: Runs = Arc::default();
    let first_sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let on = Arc::new(AtomicBool::new(false));
    let servers: Vec<ServerEntry> = (0..SERVERS)
        .map(|n| {
            let addr = serve(n, record.clone(), runs.clone(), on.clone(), first_sent.clone());
            ServerEntry { id: format!("s-{n}"), addr, zone: ["north-block", "yard-office", "annex"][n % 3], state: "active", started_ms: 0 }
        })
        .collect();
    let full = list(1, true, &servers);
    let discovery = Discovery::new(full.clone());
    let window = format!("\"WindowMs\":{WINDOW_MS}");
    let change = |s: String| s.replace("\"WindowMs\":8000", &window);
    let limiters = start_with(&folder.0, 3, Limits { memory_mb: 192, sockets: 1024 }, discovery.addr, &full, &record, change);
    let addr = limiters[0].addr;
    // Other clients' look-ups, which all servers answer.
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..LOOKUPS)
        .map(|n| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let (mut stream, mut rest) = (TcpStream::connect(addr).expect("a connection"), Vec::new());
                let _ = stream.set_nodelay(true);
                while !stop.load(Ordering::SeqCst) {
                    let id = new_id();
                    let ask = Ask { class: "slot-check", customer: 0x2000 + n as u64, plan: "mill", id: &id, time_left: 4.0, units: 1, spread: 3, first: 0, body: None };
                    let _ = stream.write_all(ask.head().as_bytes());
                    if read_answer(&mut stream, &mut rest).is_err() {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    on.store(true, Ordering::SeqCst);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || {
                let id = new_id();
                let ask = Ask { class: "pickup-book", customer: 0x1000 + n as u64, plan: "mill", id: &id, time_left: TIME_LEFT, units: 2, spread: 3, first: 0, body: Some(BODY) };
                let mut stream = TcpStream::connect(addr).expect("a connection");
                let mut bytes = ask.head().into_bytes();
                bytes.resize(bytes.len() + BODY, b'x');
                let _ = stream.write_all(&bytes);
                record.note(format!("client: last byte of k{id} written"));
                let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(TIME_LEFT + 2.0)));
                let what = match read_answer(&mut stream, &mut Vec::new()) {
                    Ok(answer) => answer.status.to_string(),
                    Err(why) => why,
                };
                record.note(format!("client: k{id}: {what}"));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    others.into_iter().for_each(|o| drop(o.join()));
    let runs = runs.lock().unwrap();
    let twice = runs.values().filter(|r| r.len() > 1).count();
    let code = finish(&record, twice > 0, &format!("{} bookings, {twice} run twice", runs.len()));
    drop(limiters);
    drop(folder);
    std::process::exit(code);
}
