// An operator's drain (`standby`) while a client has sent several requests at once on one connection.
#[path = "common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
const CONNECTIONS: usize = 4;
const AT_ONCE: usize = 4;
const TIME_LEFT: f64 = 4.0;

fn main() {
    let record = Record::new();
    let folder = Folder::new();
    let servers: Vec<ServerEntry> = (0..SERVERS)
        .map(|n| {
            let record = record.clone();
            let addr = server(n, move |seen, stream| {
                record.note(format!("server s{n}: whole request {}", seen.id()));
                std::thread::sleep(Duration::from_millis(150));
                record.note(format!("server s{n}: ran {}", seen.id()));
                stream.write_all(ok(&seen.id()).as_bytes()).is_ok()
            });
            ServerEntry { id: format!("s-{n}"), addr, zone: ["north-block", "yard-office", "annex"][n % 3], state: "active", started_ms: 0 }
        })
        .collect();
    let full = list(1, true, &servers);
    let discovery = Discovery::new(full.clone());
    let limiters = start_limiters(&folder.0, 3, Limits { memory_mb: 192, sockets: 1024 }, discovery.addr, &full, &record);
    let addr = limiters[0].addr;
    let results: Arc<Mutex<(usize, usize)>> = Arc::default();
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            let (record, results) = (record.clone(), results.clone());
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(addr).expect("a connection");
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(TIME_LEFT + 1.0)));
                let ids: Vec<String> = (0..AT_ONCE).map(|_| new_id()).collect();
                let mut bytes = Vec::new();
                for (k, id) in ids.iter().enumerate() {
                    let ask = Ask { class: "slot-check", customer: 0x2000 + (n * AT_ONCE + k) as u64, plan: "mill", id, time_left: TIME_LEFT, units: 1, spread: 3, first: 0, body: None };
                    bytes.extend(ask.head().into_bytes());
                }
                stream.write_all(&bytes).expect("written");
                let sent = Instant::now();
                record.note(format!("client {n}: sent {} on one connection", ids.join(" ")));
                let (mut rest, mut unanswered) = (Vec::new(), 0);
                for id in &ids {
                    match read_answer(&mut stream, &mut rest) {
                        Ok(answer) => {
                            let close = header(&answer.head, "connection").unwrap_or_default();
                            record.note(format!("client {n}: {id} answered {} {close}", answer.status));
                            if sent.elapsed().as_secs_f64() > TIME_LEFT + 0.5 {
                                unanswered += 1;
                            }
                        }
                        Err(why) => {
                            record.note(format!("client {n}: {id} not answered: {why}"));
                            unanswered += 1;
                        }
                    }
                }
                let mut results = results.lock().unwrap();
                *results = (results.0 + ids.len(), results.1 + unanswered);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    if trouble() {
        record.note(format!("operator: standby: {}", operator_call(limiters[0].mgmt, "standby")));
    }
    for client in clients {
        let _ = client.join();
    }
    let (sent, lost) = *results.lock().unwrap();
    if sent != CONNECTIONS * AT_ONCE {
        std::process::exit(NOT_RUN);
    }
    let code = finish(&record, lost > 0, &format!("{sent} requests taken, {lost} got no final answer"));
    drop(limiters);
    drop(folder);
    std::process::exit(code);
}
