// Servers that send a second answer some milliseconds late, while many connections to servers are open.
#[path = "common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const SERVERS: usize = 9;
const LIMITERS: usize = 3;
/// Clients at each limiter; each sends this many requests, the next one so long after the last answer.
const CLIENTS: usize = 72;
const REQUESTS: usize = 4;
const PAUSE_MS: std::ops::Range<u64> = 10..18;
const WORK_MS: u64 = 400;
const SECOND_ANSWER_MS: u64 = 15;
const SPOILT_ONE_IN: usize = 5;
const TIME_LEFT: f64 = 4.0;

fn main() {
    let record = Record::new();
    let folder = Folder::new();
    let answers = Arc::new(AtomicUsize::new(0));
    let spoilt = Arc::new(AtomicUsize::new(0));
    let servers: Vec<ServerEntry> = (0..SERVERS)
        .map(|n| {
            let (record, answers, spoilt) = (record.clone(), answers.clone(), spoilt.clone());
            let addr = server(n, move |seen, stream| {
                std::thread::sleep(Duration::from_millis(WORK_MS));
                let answer = ok(&seen.id());
                record.note(format!("server s{n} connection {}: ran {}", seen.connection, seen.id()));
                if stream.write_all(answer.as_bytes()).is_err() {
                    return false;
                }
                let count = answers.fetch_add(1, Ordering::SeqCst);
                if trouble() && count % SPOILT_ONE_IN == 0 {
                    let (mut stream, record, id, connection) = (stream.try_clone().unwrap(), record.clone(), seen.id(), seen.connection);
                    spoilt.fetch_add(1, Ordering::SeqCst);
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(SECOND_ANSWER_MS));
                        if stream.write_all(answer.as_bytes()).is_ok() {
                            record.note(format!("server s{n} connection {connection}: a second answer to {id}"));
                        }
                    });
                }
                true
            });
            ServerEntry { id: format!("s-{n}"), addr, zone: ["north-block", "yard-office", "annex"][n % 3], state: "active", started_ms: 0 }
        })
        .collect();
    let full = list(1, true, &servers);
    let discovery = Discovery::new(full.clone());
    let limiters = start_limiters(&folder.0, LIMITERS, Limits { memory_mb: 192, sockets: 512 }, discovery.addr, &full, &record);
    let foreign = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let addrs: Vec<_> = limiters.iter().map(|l| l.addr).collect();
    let clients: Vec<_> = (0..LIMITERS * CLIENTS)
        .map(|n| {
            let (limiter, record, foreign, served) = (n % LIMITERS, record.clone(), foreign.clone(), served.clone());
            let addr = addrs[limiter];
            std::thread::spawn(move || {
                let (mut stream, mut rest) = (TcpStream::connect(addr).expect("a connection"), Vec::new());
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(TIME_LEFT + 1.0)));
                for k in 0..REQUESTS {
                    let id = new_id();
                    let ask = Ask { class: "slot-check", customer: 0x4000 + n as u64, plan: "mill", id: &id, time_left: TIME_LEFT, units: 1, spread: 3, first: 0, body: None };
                    if stream.write_all(ask.head().as_bytes()).is_err() {
                        return;
                    }
                    let answer = match read_answer(&mut stream, &mut rest) {
                        Ok(answer) => answer,
                        Err(why) => return record.note(format!("client at n{limiter}: {id}: {why}")),
                    };
                    if answer.status == 200 {
                        served.fetch_add(1, Ordering::SeqCst);
                        let body = String::from_utf8_lossy(&answer.body).to_string();
                        if body != id {
                            foreign.fetch_add(1, Ordering::SeqCst);
                            record.note(format!("client at n{limiter}: {id} got the answer to {body}"));
                        }
                    }
                    let pause = PAUSE_MS.start + ((n + 7 * k) as u64 * 5) % (PAUSE_MS.end - PAUSE_MS.start);
                    std::thread::sleep(Duration::from_millis(pause));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|c| drop(c.join()));
    let (served, foreign, spoilt) = (served.load(Ordering::SeqCst), foreign.load(Ordering::SeqCst), spoilt.load(Ordering::SeqCst));
    let code = finish(&record, foreign > 0, &format!("{served} requests served, {spoilt} second answers, {foreign} requests got the answer to another"));
    drop(limiters);
    drop(folder);
    std::process::exit(if served < LIMITERS * CLIENTS { NOT_RUN } else { code });
}
