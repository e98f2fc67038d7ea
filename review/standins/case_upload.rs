//! One of nine servers hangs while bookings with long bodies come. Each booking that was written whole to the limiter
//! is owed a final answer before its client's time is up.

mod common;
use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};

/// Memory limit of a limiter in MB. A body over an eighth of a fifth of it, 4,980,736 bytes, is piped.
const MEMORY_MB: u32 = 190;
/// Length of a body in bytes; the operators' pages allow 32 MB. What the limiter leaves in its socket is some kilobytes, which
/// its machine surely takes.
const BODY: usize = 4_988_000;
const TIME_LEFT_S: f64 = 8.0;
/// An answer half a second after its time only earns nothing; on sockets each limit is 50 ms longer.
const LATE_S: f64 = 0.5 + 0.05;
const BOOKINGS: u64 = 30;
const SERVERS: usize = 9;

struct Outcome {
    id: String,
    /// When the limiter's machine had taken the last byte.
    taken_at: Option<f64>,
    answer: Result<u32, String>,
}

fn book(platform: &Platform, customer: u64, at: f64) -> Outcome {
    sleep_until(at);
    let request = request("pickup-book", "mill", customer, 1, TIME_LEFT_S, vec![b'b'; BODY]);
    let stream = connect(platform.addrs[0]);
    let mut writer = &stream;
    let sent = writer.write_all(&request.head).and_then(|()| writer.write_all(&request.body));
    // The last byte counts as written only when the limiter's machine has acknowledged it.
    let mut taken_at = None;
    let patience = now() + TIME_LEFT_S;
    while sent.is_ok() && taken_at.is_none() && now() < patience {
        match unacknowledged(&stream) {
            0 => taken_at = Some(now()),
            _ => std::thread::sleep(std::time::Duration::from_millis(1)),
        }
    }
    let until = taken_at.unwrap_or_else(now) + TIME_LEFT_S + LATE_S;
    let answer = read_answer(&stream, until).map(|a| a.status());
    record(&format!(
        "client: booking {} of customer {customer:016x}, whole at {}: {} at {:.3}",
        request.id,
        taken_at.map_or("never".to_string(), |t| format!("{t:.3}")),
        answer.as_ref().map_or_else(|why| why.clone(), |status| format!("answered {status}")),
        now()
    ));
    Outcome { id: request.id, taken_at, answer }
}

fn main() {
    begin();
    let mut servers: Vec<_> = (0..SERVERS)
        .map(|n| {
            server(move |request| {
                let id = request.header("x-correlation-id").to_string();
                record(&format!("server s-{n:04x}: {id} whole, {} bytes of body", request.body.len()));
                std::thread::sleep(std::time::Duration::from_millis(250));
                format!("made for {id}").into_bytes()
            })
        })
        .collect();
    if trouble() {
        servers[SERVERS / 2] = hanging_server();
        record(&format!("server s-{:04x} hangs", SERVERS / 2));
    }
    let mut platform = Platform::new(discovery(&servers), USUAL_FLEET, false);
    platform.memory_mb = MEMORY_MB;
    let platform = Arc::new(platform);
    let _limiters: Vec<_> = (0..LIMITERS).map(|n| platform.start(n)).collect();
    (0..LIMITERS).for_each(|n| platform.wait_ready(n));

    let (outcomes, begin_at) = (Arc::new(Mutex::new(Vec::new())), now() + 0.2);
    let clients: Vec<_> = (0..BOOKINGS)
        .map(|n| {
            let (platform, outcomes) = (platform.clone(), outcomes.clone());
            std::thread::spawn(move || {
                let outcome = book(&platform, n + 1, begin_at + n as f64 * 0.045);
                outcomes.lock().unwrap().push(outcome);
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    platform.record_logs();
    let outcomes = outcomes.lock().unwrap();
    let taken: Vec<_> = outcomes.iter().filter(|o| o.taken_at.is_some()).collect();
    let lost: Vec<_> = taken.iter().filter(|o| o.answer.is_err()).collect();
    for outcome in &lost {
        record(&format!("lost: {} was taken and got no final answer", outcome.id));
    }
    record(&format!(
        "{} bookings, {} taken whole, {} of these lost",
        outcomes.len(),
        taken.len(),
        lost.len()
    ));
    if outcomes.len() < BOOKINGS as usize || taken.len() < BOOKINGS as usize / 2 {
        record("could not run: too few bookings were written whole");
        end(2);
    }
    end(i32::from(!lost.is_empty()))
}
