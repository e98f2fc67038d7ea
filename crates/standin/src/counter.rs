//! The shared counter: adds an amount to a named count and returns the total, with scripted faults.
//!
//! `POST /v2/numbers/NAME?delta=AMOUNT&life_ms=LIFE` is answered with 200 and the total as the body, with 503 if the
//! queue of the name's partition is full, or with 400 or 404 if the call is invalid; in the last three cases nothing is
//! added. The calls of a connection are answered in their order. A count expires when the lifetime given by its first
//! call is over, after at most 60 s.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::message::{self, Message};
use crate::wait_for;

/// Maximum number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 32;
/// A connection that is idle for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum lifetime of a count, in milliseconds; longer ones are shortened to it.
const MAX_LIFE_MS: f64 = 60_000.0;
/// Maximum absolute amount of a call.
const MAX_DELTA: f64 = 1e9;

/// Configuration of a counter.
#[derive(Debug, Clone)]
pub struct Script {
    /// Number of partitions that names are distributed over; each serves its calls one after another.
    pub parts: usize,
    /// Time that a call occupies its partition, in milliseconds.
    pub work_ms: f64,
    /// Maximum number of calls in progress or waiting per partition; further ones are answered with 503.
    pub queue: usize,
}

impl Default for Script {
    fn default() -> Script {
        Script { parts: 2, work_ms: 0.0, queue: 100 }
    }
}

/// A fault that is applied to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The amount is added, but the connection is closed before the answer.
    LostAnswer,
    /// Nothing is added; the answer is 503.
    Unprocessed,
    /// The amount is added, and the answer's body is not a number.
    Garbage,
    /// The amount is added, and there is no answer; the connection stays open.
    Silent,
}

/// A partition: its counts with the time at which each expires, and the number of calls in progress or waiting.
#[derive(Default)]
struct Partition {
    counts: Mutex<HashMap<String, (f64, Instant)>>,
    waiting: AtomicUsize,
}

struct Shared {
    script: Script,
    partitions: Vec<Partition>,
    /// Factor on the time that a call takes, in thousandths.
    slowdown_thousandths: AtomicU64,
    /// The fault of the next calls, and their number.
    fault: Mutex<Option<(Fault, usize)>>,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicBool,
    calls: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A counter on a loopback address.
pub struct Counter {
    /// The address it listens on.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Counter {
    /// Starts a counter without counts.
    pub fn new(script: Script) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Counter::on(listener, script)
    }

    /// Like [`Counter::new`], on the caller's listener.
    pub fn on(listener: TcpListener, script: Script) -> Counter {
        let addr = listener.local_addr().expect("an address");
        let partitions = (0..script.parts.max(1)).map(|_| Partition::default()).collect();
        let shared = Arc::new(Shared {
            script,
            partitions,
            slowdown_thousandths: AtomicU64::new(1000),
            fault: Mutex::new(None),
            connections: Mutex::default(),
            running: AtomicBool::new(true),
            calls: AtomicUsize::new(0),
        });
        let counter = Counter { addr, shared };
        counter.listen(listener);
        counter
    }

    fn listen(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if !shared.running.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let Ok(handle) = stream.try_clone() else { continue };
                let mut connections = lock(&shared.connections);
                // A connection that has ended has no peer address any more.
                connections.retain(|c| c.peer_addr().is_ok());
                if connections.len() < MAX_CONNECTIONS {
                    connections.push(handle);
                    let shared = shared.clone();
                    std::thread::spawn(move || connection(stream, &shared));
                }
            }
        });
    }

    /// Applies a fault to the next `calls` calls.
    pub fn fail(&self, fault: Fault, calls: usize) {
        *lock(&self.shared.fault) = Some((fault, calls));
    }

    /// Multiplies the time that each further call takes by `factor`, counted from the scripted time.
    pub fn slow(&self, factor: f64) {
        self.shared.slowdown_thousandths.store((factor * 1000.0) as u64, Ordering::SeqCst);
    }

    /// Stops the counter: closes open connections and refuses new ones.
    pub fn stop(&self) {
        self.shared.running.store(false, Ordering::SeqCst);
        for stream in lock(&self.shared.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        wait_for("the counter to stop", || TcpStream::connect(self.addr).is_err());
    }

    /// Starts the counter again on its address, with its previous counts or without any.
    ///
    /// # Panics
    /// If the address is in use.
    pub fn start(&self, with_counts: bool) {
        if !with_counts {
            self.shared.partitions.iter().for_each(|partition| lock(&partition.counts).clear());
        }
        let listener = TcpListener::bind(self.addr).expect("the address is free");
        self.shared.running.store(true, Ordering::SeqCst);
        self.listen(listener);
    }

    /// The total of a name, if there is one and it has not expired.
    pub fn total(&self, name: &str) -> Option<f64> {
        let now = Instant::now();
        let counts = lock(&self.shared.partition(name).counts);
        counts.get(name).filter(|(_, expiry)| now < *expiry).map(|(total, _)| *total)
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> usize {
        self.shared.calls.load(Ordering::SeqCst)
    }
}

impl Shared {
    fn partition(&self, name: &str) -> &Partition {
        // FNV-1a, so that a name is on the same partition in every run.
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        &self.partitions[hash as usize % self.partitions.len()]
    }

    /// Takes the fault of the next call, if there is one.
    fn next_fault(&self) -> Option<Fault> {
        let mut fault = lock(&self.fault);
        let (next, remaining) = (*fault)?;
        *fault = (remaining > 1).then_some((next, remaining - 1));
        Some(next)
    }

    /// Adds the amount once the partition is free, and returns the total. Returns `None` if the queue is full.
    fn add(&self, call: &Call) -> Option<f64> {
        let partition = self.partition(&call.name);
        if partition.waiting.fetch_add(1, Ordering::SeqCst) >= self.script.queue {
            partition.waiting.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        let mut counts = lock(&partition.counts);
        let slowdown = self.slowdown_thousandths.load(Ordering::SeqCst) as f64 / 1000.0;
        if self.script.work_ms > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(self.script.work_ms * slowdown / 1000.0));
        }
        let now = Instant::now();
        let life = Duration::from_secs_f64(call.life_ms / 1000.0);
        let count = counts.entry(call.name.clone()).or_insert((0.0, now + life));
        if now >= count.1 {
            *count = (0.0, now + life);
        }
        count.0 += call.delta;
        let total = count.0;
        drop(counts);
        partition.waiting.fetch_sub(1, Ordering::SeqCst);
        Some(total)
    }
}

#[derive(Debug, PartialEq)]
struct Call {
    name: String,
    delta: f64,
    life_ms: f64,
}

/// Parses a call; the error is the status line for an invalid one.
fn parse(message: &Message) -> Result<Call, &'static str> {
    let mut parts = message.head.split(' ');
    let (Some("POST"), Some(target)) = (parts.next(), parts.next()) else { return Err("404 Not Found") };
    let target = target.strip_prefix("/v2/numbers/").ok_or("404 Not Found")?;
    let (name, query) = target.split_once('?').ok_or("400 Bad Request")?;
    let number = |key: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        value.and_then(|v| v.parse::<f64>().ok()).filter(|v| v.is_finite()).ok_or("400 Bad Request")
    };
    let (delta, life_ms) = (number("delta")?, number("life_ms")?);
    if !(1..=64).contains(&name.len()) || delta.abs() > MAX_DELTA || life_ms < 1.0 {
        return Err("400 Bad Request");
    }
    Ok(Call { name: name.to_string(), delta, life_ms: life_ms.min(MAX_LIFE_MS) })
}

fn connection(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
    while let Some(message) = message::read(&mut stream) {
        shared.calls.fetch_add(1, Ordering::SeqCst);
        let fault = shared.next_fault();
        let answer = |stream: &mut TcpStream, status: &str, body: &str| {
            write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
        };
        let call = match parse(&message) {
            Ok(call) => call,
            Err(status) => {
                if answer(&mut stream, status, "") {
                    continue;
                }
                break;
            }
        };
        let total = if fault == Some(Fault::Unprocessed) { None } else { shared.add(&call) };
        let keep_open = match (fault, total) {
            (_, None) => answer(&mut stream, "503 Service Unavailable", ""),
            (Some(Fault::LostAnswer), _) => false,
            (Some(Fault::Silent), _) => true,
            (Some(Fault::Garbage), _) => answer(&mut stream, "200 OK", "many"),
            (_, Some(total)) => answer(&mut stream, "200 OK", &total.to_string()),
        };
        if !keep_open {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(name: &str, delta: f64, life_ms: u32) -> String {
        format!("POST /v2/numbers/{name}?delta={delta}&life_ms={life_ms} HTTP/1.1\r\nHost: counter\r\n\r\n")
    }

    fn connect(counter: &Counter) -> TcpStream {
        TcpStream::connect(counter.addr).expect("connect")
    }

    #[test]
    fn pipelined_calls_are_added_and_answered_in_order() {
        let counter = Counter::new(Script::default());
        let mut stream = connect(&counter);
        let all = [call("a", 2.5, 9000), call("b", 1.0, 9000), call("a", -1.0, 9000)].concat();
        stream.write_all(all.as_bytes()).expect("write");
        let bodies: Vec<String> = (0..3).map(|_| message::read_answer(&mut stream).body).collect();
        assert_eq!(bodies, ["2.5", "1", "1.5"]);
        assert_eq!((counter.total("a"), counter.total("never"), counter.calls()), (Some(1.5), None, 3));
    }

    #[test]
    fn invalid_calls_add_nothing() {
        let counter = Counter::new(Script::default());
        let mut stream = connect(&counter);
        let statuses: Vec<u16> = [
            call("a", 1.0, 9000).replace("POST", "GET"),
            call("a", 1.0, 9000).replace("numbers", "letters"),
            call("a", 1.0, 9000).replace("delta=1", "delta=NaN"),
            call("a", 2e9, 9000),
            call("a", 1.0, 0),
            call(&"n".repeat(65), 1.0, 9000),
        ]
        .iter()
        .map(|text| message::exchange(&mut stream, text).status)
        .collect();
        assert_eq!(statuses, [404, 404, 400, 400, 400, 400]);
        assert_eq!(counter.total("a"), None);
    }

    #[test]
    fn count_expires_after_its_lifetime() {
        let counter = Counter::new(Script::default());
        let mut stream = connect(&counter);
        assert_eq!(message::exchange(&mut stream, &call("a", 5.0, 1)).body, "5");
        wait_for("the count to expire", || counter.total("a").is_none());
        assert_eq!(message::exchange(&mut stream, &call("a", 2.0, 9000)).body, "2");
    }

    #[test]
    fn faults_add_the_amount_or_not_as_documented() {
        let counter = Counter::new(Script::default());
        counter.fail(Fault::LostAnswer, 1);
        let mut stream = connect(&counter);
        stream.write_all(call("a", 1.0, 9000).as_bytes()).expect("write");
        assert!(message::read(&mut stream).is_none());
        assert_eq!(counter.total("a"), Some(1.0), "added although the answer was lost");
        let mut stream = connect(&counter);
        counter.fail(Fault::Unprocessed, 1);
        assert_eq!(message::exchange(&mut stream, &call("a", 1.0, 9000)).status, 503);
        counter.fail(Fault::Garbage, 1);
        assert_eq!(message::exchange(&mut stream, &call("a", 1.0, 9000)).body, "many");
        assert_eq!(message::exchange(&mut stream, &call("a", 1.0, 9000)).body, "3");
    }

    #[test]
    fn counter_restarts_with_its_counts_or_empty() {
        let counter = Counter::new(Script::default());
        let mut stream = connect(&counter);
        message::exchange(&mut stream, &call("a", 4.0, 60_000));
        counter.stop();
        assert!(message::read(&mut stream).is_none(), "open connections are closed");
        counter.start(true);
        assert_eq!(message::exchange(&mut connect(&counter), &call("a", 1.0, 60_000)).body, "5");
        counter.stop();
        counter.start(false);
        assert_eq!(message::exchange(&mut connect(&counter), &call("a", 1.0, 60_000)).body, "1");
    }

    #[test]
    fn calls_beyond_the_queue_limit_are_rejected() {
        let counter = Counter::new(Script { parts: 1, work_ms: 200.0, queue: 1 });
        let mut first = connect(&counter);
        first.write_all(call("a", 1.0, 9000).as_bytes()).expect("write");
        wait_for("the first call", || counter.calls() == 1);
        let mut statuses: Vec<u16> =
            (0..2).map(|_| message::exchange(&mut connect(&counter), &call("a", 1.0, 9000)).status).collect();
        statuses.push(message::read_answer(&mut first).status);
        assert!(statuses.contains(&503), "{statuses:?}");
        let added = statuses.iter().filter(|s| **s == 200).count();
        assert_eq!(counter.total("a"), Some(added as f64), "{statuses:?}");
    }
}
