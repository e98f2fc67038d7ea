//! A limiter is upgraded in place while bookings of one member firm are still being written to it. Counts what all
//! limiters together send on for that firm against the hard ceiling of its plan.

mod common;
use common::*;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// Within the site's ranges: 22 units a second, 3 s worth at once, a ceiling of 1.8 times the quota, a slack of 10%.
const PLAN: Fleet =
    Fleet { rate: 22.0, burst: 66.0, ceiling_rate: 39.6, ceiling_burst: 118.8, ceiling_slack: 11.88 };
/// On sockets the slack is wider by what the ceiling's rate gives in this time, in seconds.
const WIDER_S: f64 = 0.15;
const FIRM: u64 = 7;
/// The limiter that keeps this firm's quota, by the hash in `quota_owner` (src/customers.rs).
const KEEPER: usize = 2;
/// A booking's body: 1 s at 64 kB a second, in pieces.
const BODY: usize = 64_000;
const PIECES: usize = 10;

struct Tally {
    /// When each first attempt came whole to a server. Every request counts one unit.
    first_attempts: Mutex<(HashSet<String>, Vec<f64>)>,
    answers: Mutex<std::collections::BTreeMap<String, usize>>,
}

fn send(platform: &Platform, tally: &Tally, limiter: usize, class: &str, what: &str, at: f64) {
    sleep_until(at);
    let (time_left, body) = if class == "slot-check" { (4.0, Vec::new()) } else { (8.0, vec![b'b'; BODY]) };
    let request = request(class, "fleet", FIRM, 1, time_left, body);
    let stream = connect(platform.addrs[limiter]);
    use std::io::Write;
    let mut writer = &stream;
    let _ = writer.write_all(&request.head);
    for (n, piece) in request.body.chunks(BODY / PIECES).enumerate() {
        sleep_until(at + (n + 1) as f64 / PIECES as f64);
        let _ = writer.write_all(piece);
    }
    let answer = read_answer(&stream, now() + 9.0);
    let came = answer.map_or_else(|why| why, |a| a.status().to_string());
    record(&format!("client: {} ({what}, {class} at n{limiter}): {came}", request.id));
    *tally.answers.lock().unwrap().entry(format!("{what} at n{limiter}: {came}")).or_default() += 1;
}

fn main() {
    begin();
    let tally = Arc::new(Tally { first_attempts: Mutex::default(), answers: Mutex::default() });
    let servers: Vec<_> = (0..9)
        .map(|n| {
            let tally = tally.clone();
            server(move |request| {
                let id = request.header("x-correlation-id").to_string();
                {
                    let mut seen = tally.first_attempts.lock().unwrap();
                    let at = now();
                    let first = seen.0.insert(id.clone());
                    if first {
                        seen.1.push(at);
                    }
                    record(&format!("server s-{n:04x}: {id} {}, first attempt: {first}", request.first_line));
                }
                std::thread::sleep(std::time::Duration::from_millis(50));
                format!("made for {id}").into_bytes()
            })
        })
        .collect();
    let platform = Arc::new(Platform::new(discovery(&servers), PLAN, true));
    let old: Vec<_> = (0..LIMITERS).map(|n| platform.start(n)).collect();
    (0..LIMITERS).for_each(|n| platform.wait_ready(n));

    // The firm is known to all three limiters and has its whole quota and ceiling.
    for limiter in [0, 1, 2, 0, 1, 2, 0, 1, 2] {
        send(&platform, &tally, limiter, "slot-check", "calm", now());
    }
    std::thread::sleep(std::time::Duration::from_secs(6));

    let new = trouble().then(|| {
        let new = platform.start(KEEPER);
        new.wait_yes();
        new
    });
    let begin_at = now() + 0.2;
    let mut clients = Vec::new();
    let mut start = |limiter: usize, class: &'static str, what: &'static str, at: f64| {
        let (platform, tally) = (platform.clone(), tally.clone());
        clients.push(std::thread::spawn(move || send(&platform, &tally, limiter, class, what, at)));
    };
    // 66 bookings begin within 0.13 s at the firm's busiest limiter and take 1 s to be written.
    (0..66).for_each(|n| start(KEEPER, "pickup-book", "booking", begin_at + f64::from(n) * 0.002));
    // When they are whole, the firm's slot-checks come through all its limiters.
    let burst_at = begin_at + 1.05;
    (0..70).for_each(|_| start(KEEPER, "slot-check", "burst", burst_at - 0.010));
    for limiter in (0..LIMITERS).filter(|n| *n != KEEPER) {
        (0..16).for_each(|_| start(limiter, "slot-check", "burst", burst_at));
    }
    sleep_until(begin_at + 0.4);
    if new.is_some() {
        record(&format!("platform: SIGTERM to the old process of n{KEEPER}"));
        old[KEEPER].signal(SIGTERM);
    }
    for client in clients {
        let _ = client.join();
    }
    platform.record_logs();

    let mut times = std::mem::take(&mut tally.first_attempts.lock().unwrap().1);
    times.sort_by(f64::total_cmp);
    let (mut level, mut at, mut lowest) =
        (PLAN.ceiling_burst, times.first().copied().unwrap_or(0.0), f64::INFINITY);
    for time in &times {
        level = (level + PLAN.ceiling_rate * (time - at)).min(PLAN.ceiling_burst) - 1.0;
        at = *time;
        lowest = lowest.min(level);
    }
    for (what, count) in tally.answers.lock().unwrap().iter() {
        record(&format!("{what}: {count}"));
    }
    let limit = -(PLAN.ceiling_slack + PLAN.ceiling_rate * WIDER_S);
    record(&format!(
        "{} first attempts of one unit; the firm's ceiling store went down to {lowest:.2}, allowed are {limit:.2}",
        times.len()
    ));
    if times.len() < 50 {
        record("could not run: too few requests were sent on");
        end(2);
    }
    end(i32::from(lowest < limit))
}
