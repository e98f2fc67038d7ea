//! A limiter is upgraded in place while a client writes a booking at 64 kB a second. The old process takes the booking
//! and has to answer it before the platform's SIGKILL.

mod common;
use common::*;
use std::io::Write;
use std::sync::{Arc, Mutex};

const BODY: usize = 208_000;
const BYTES_PER_S: f64 = 64_000.0;
const PIECE: usize = 6_400;
const TIME_LEFT_S: f64 = 8.0;
const LATE_S: f64 = 0.5 + 0.05;
/// SIGKILL follows SIGTERM after the longest deadline, 3 s at most, and 0.7 s.
const KILL_AFTER_S: f64 = 3.0 + 0.7;
/// What a server takes for a booking: about twice the mean of its class.
const WORK_MS: u64 = 800;
const BOOKINGS: u64 = 6;

fn book(platform: &Platform, customer: u64, at: f64) -> (String, Option<f64>, Result<u32, String>) {
    sleep_until(at);
    let request = request("pickup-book", "mill", customer, 1, TIME_LEFT_S, vec![b'b'; BODY]);
    let stream = connect(platform.addrs[0]);
    let mut writer = &stream;
    let mut sent = writer.write_all(&request.head);
    for (n, piece) in request.body.chunks(PIECE).enumerate() {
        sleep_until(at + (n * PIECE + piece.len()) as f64 / BYTES_PER_S);
        sent = sent.and_then(|()| writer.write_all(piece));
    }
    let mut taken_at = None;
    let patience = now() + 0.3;
    while sent.is_ok() && taken_at.is_none() && now() < patience {
        match unacknowledged(&stream) {
            0 => taken_at = Some(now()),
            _ => std::thread::sleep(std::time::Duration::from_millis(1)),
        }
    }
    let answer =
        read_answer(&stream, taken_at.unwrap_or_else(now) + TIME_LEFT_S + LATE_S).map(|a| a.status());
    record(&format!(
        "client: booking {} of customer {customer:016x}, whole at {}: {} at {:.3}",
        request.id,
        taken_at.map_or("never".to_string(), |t| format!("{t:.3}")),
        answer.as_ref().map_or_else(|why| why.clone(), |status| format!("answered {status}")),
        now()
    ));
    (request.id, taken_at, answer)
}

fn main() {
    begin();
    let servers: Vec<_> = (0..9)
        .map(|n| {
            server(move |request| {
                let id = request.header("x-correlation-id").to_string();
                record(&format!("server s-{n:04x}: {id} whole, {} bytes of body", request.body.len()));
                std::thread::sleep(std::time::Duration::from_millis(WORK_MS));
                format!("made for {id}").into_bytes()
            })
        })
        .collect();
    let platform = Arc::new(Platform::new(discovery(&servers), USUAL_FLEET, true));
    let old: Vec<_> = (0..LIMITERS).map(|n| platform.start(n)).collect();
    (0..LIMITERS).for_each(|n| platform.wait_ready(n));
    let new = trouble().then(|| {
        let new = platform.start(0);
        new.wait_yes();
        new
    });
    let (outcomes, begin_at) = (Arc::new(Mutex::new(Vec::new())), now() + 0.2);
    let clients: Vec<_> = (0..BOOKINGS)
        .map(|n| {
            let (platform, outcomes) = (platform.clone(), outcomes.clone());
            std::thread::spawn(move || {
                let outcome = book(&platform, n + 1, begin_at + n as f64 * 0.05);
                outcomes.lock().unwrap().push(outcome);
            })
        })
        .collect();
    // All bookings have begun.
    let term_at = begin_at + 0.35;
    sleep_until(term_at);
    if new.is_some() {
        record(&format!("platform: SIGTERM to the old process {} of n0", old[0].pid));
        old[0].signal(SIGTERM);
        sleep_until(term_at + KILL_AFTER_S);
        if old[0].has_ended() {
            record("platform: the old process has ended by itself");
        } else {
            record(&format!("platform: SIGKILL to the old process {} of n0", old[0].pid));
            old[0].signal(SIGKILL);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    platform.record_logs();
    let outcomes = outcomes.lock().unwrap();
    let taken: Vec<_> = outcomes.iter().filter(|o| o.1.is_some()).collect();
    let lost: Vec<_> = taken.iter().filter(|o| o.2.is_err()).collect();
    for (id, ..) in &lost {
        record(&format!("lost: {id} was taken and got no final answer"));
    }
    record(&format!(
        "{} bookings, {} taken whole, {} of these lost",
        outcomes.len(),
        taken.len(),
        lost.len()
    ));
    if taken.len() < BOOKINGS as usize {
        record("could not run: not all bookings were written whole");
        end(2);
    }
    end(i32::from(!lost.is_empty()))
}
