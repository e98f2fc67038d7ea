//! The shared counter: adds an amount to a named count and tells the total, with scripted faults.
//!
//! `POST /v2/numbers/NAME?delta=AMOUNT&life_ms=LIFE`: 200 with the total as the body, 503 when a part's line is long,
//! 400 or 404 for what is no such call; in the last three cases nothing is added. Answers come in the order of the
//! calls of a connection. A name is forgotten when the life of its first call is up, 60 s at most.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::message::{self, Message};
use crate::wait_for;

/// Connections that one counter holds; further ones are reset.
const MOST_CONNECTIONS: usize = 32;
/// A connection that has stood idle for so long is closed.
const IDLE: Duration = Duration::from_secs(10);
/// Longest life of a name, in milliseconds, and the largest amount.
const MOST_LIFE_MS: f64 = 60_000.0;
const MOST_DELTA: f64 = 1e9;

/// How a counter works.
#[derive(Debug, Clone)]
pub struct Script {
    /// Parts that names lie on; each serves its calls in turn.
    pub parts: usize,
    /// Milliseconds that a call takes its part.
    pub work_ms: f64,
    /// Calls that may wait for a part; further ones are turned away.
    pub queue: usize,
}

impl Default for Script {
    fn default() -> Script {
        Script { parts: 2, work_ms: 0.0, queue: 100 }
    }
}

/// What goes wrong with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Added, but the connection ends before the answer.
    LostAnswer,
    /// Turned away, nothing added.
    Unprocessed,
    /// Added, and answered with what is no number.
    Garbage,
    /// Added, and never answered; the connection stays open.
    Silent,
}

/// One part: its counts with the moment at which each is forgotten, and the calls that wait for it.
#[derive(Default)]
struct Part {
    counts: Mutex<HashMap<String, (f64, Instant)>>,
    waiting: AtomicUsize,
}

struct Shared {
    script: Script,
    parts: Vec<Part>,
    /// Times slower, in thousandths.
    slower: AtomicU64,
    /// The fault of the next calls, and how many.
    fault: Mutex<Option<(Fault, usize)>>,
    connections: Mutex<Vec<TcpStream>>,
    up: AtomicBool,
    calls: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A counter on a loopback address.
pub struct Counter {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Counter {
    /// A counter with nothing counted.
    pub fn new(script: Script) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Counter::on(listener, script)
    }

    /// The same on a listener of the caller's.
    pub fn on(listener: TcpListener, script: Script) -> Counter {
        let addr = listener.local_addr().expect("an address");
        let parts = (0..script.parts.max(1)).map(|_| Part::default()).collect();
        let shared = Arc::new(Shared {
            script,
            parts,
            slower: AtomicU64::new(1000),
            fault: Mutex::new(None),
            connections: Mutex::default(),
            up: AtomicBool::new(true),
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
                if !shared.up.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let Ok(kept) = stream.try_clone() else { continue };
                let mut connections = lock(&shared.connections);
                // What has ended is known by its peer's address being gone.
                connections.retain(|c| c.peer_addr().is_ok());
                if connections.len() < MOST_CONNECTIONS {
                    connections.push(kept);
                    let shared = shared.clone();
                    std::thread::spawn(move || connection(stream, &shared));
                }
            }
        });
    }

    /// The next `calls` calls meet a fault.
    pub fn fail(&self, fault: Fault, calls: usize) {
        *lock(&self.shared.fault) = Some((fault, calls));
    }

    /// Calls take so many times as long from now on.
    pub fn slow(&self, times: f64) {
        self.shared.slower.store((times * 1000.0) as u64, Ordering::SeqCst);
    }

    /// Stops: open connections end, new ones are refused.
    pub fn stop(&self) {
        self.shared.up.store(false, Ordering::SeqCst);
        for stream in lock(&self.shared.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        wait_for("the counter to stop", || TcpStream::connect(self.addr).is_err());
    }

    /// Starts again at its address, with its counts or empty.
    ///
    /// # Panics
    /// When the address has been taken by another.
    pub fn start(&self, with_counts: bool) {
        if !with_counts {
            self.shared.parts.iter().for_each(|part| lock(&part.counts).clear());
        }
        let listener = TcpListener::bind(self.addr).expect("its address is free");
        self.shared.up.store(true, Ordering::SeqCst);
        self.listen(listener);
    }

    /// The total of a name, if it is known.
    pub fn total(&self, name: &str) -> Option<f64> {
        let now = Instant::now();
        let counts = lock(&self.shared.part(name).counts);
        counts.get(name).filter(|(_, until)| now < *until).map(|(total, _)| *total)
    }

    /// Calls that have come so far.
    pub fn calls(&self) -> usize {
        self.shared.calls.load(Ordering::SeqCst)
    }
}

impl Shared {
    fn part(&self, name: &str) -> &Part {
        // FNV-1a: which part a name lies on is the same in every run.
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        &self.parts[hash as usize % self.parts.len()]
    }

    /// The next call's fault.
    fn next_fault(&self) -> Option<Fault> {
        let mut fault = lock(&self.fault);
        let (what, left) = (*fault)?;
        *fault = (left > 1).then_some((what, left - 1));
        Some(what)
    }

    /// Adds, after a turn at the name's part; nothing if its line is too long.
    fn add(&self, call: &Call) -> Option<f64> {
        let part = self.part(&call.name);
        if part.waiting.fetch_add(1, Ordering::SeqCst) >= self.script.queue {
            part.waiting.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        let mut counts = lock(&part.counts);
        let times = self.slower.load(Ordering::SeqCst) as f64 / 1000.0;
        if self.script.work_ms > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(self.script.work_ms * times / 1000.0));
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
        part.waiting.fetch_sub(1, Ordering::SeqCst);
        Some(total)
    }
}

#[derive(Debug, PartialEq)]
struct Call {
    name: String,
    delta: f64,
    life_ms: f64,
}

/// Reads a call; the status of what is none.
fn read(message: &Message) -> Result<Call, &'static str> {
    let mut words = message.head.split(' ');
    let (Some("POST"), Some(target)) = (words.next(), words.next()) else { return Err("404 Not Found") };
    let target = target.strip_prefix("/v2/numbers/").ok_or("404 Not Found")?;
    let (name, query) = target.split_once('?').ok_or("400 Bad Request")?;
    let number = |key: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        value.and_then(|v| v.parse::<f64>().ok()).filter(|v| v.is_finite()).ok_or("400 Bad Request")
    };
    let (delta, life_ms) = (number("delta")?, number("life_ms")?);
    if !(1..=64).contains(&name.len()) || delta.abs() > MOST_DELTA || life_ms < 1.0 {
        return Err("400 Bad Request");
    }
    Ok(Call { name: name.to_string(), delta, life_ms: life_ms.min(MOST_LIFE_MS) })
}

fn connection(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE));
    while let Some(message) = message::read(&mut stream) {
        shared.calls.fetch_add(1, Ordering::SeqCst);
        let fault = shared.next_fault();
        let answer = |stream: &mut TcpStream, status: &str, body: &str| {
            write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
        };
        let call = match read(&message) {
            Ok(call) => call,
            Err(status) => {
                if answer(&mut stream, status, "") {
                    continue;
                }
                break;
            }
        };
        let total = if fault == Some(Fault::Unprocessed) { None } else { shared.add(&call) };
        let goes_on = match (fault, total) {
            (_, None) => answer(&mut stream, "503 Service Unavailable", ""),
            (Some(Fault::LostAnswer), _) => false,
            (Some(Fault::Silent), _) => true,
            (Some(Fault::Garbage), _) => answer(&mut stream, "200 OK", "many"),
            (_, Some(total)) => answer(&mut stream, "200 OK", &total.to_string()),
        };
        if !goes_on {
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
    fn it_adds_in_order_also_to_calls_written_one_behind_another() {
        let counter = Counter::new(Script::default());
        let mut stream = connect(&counter);
        let all = [call("a", 2.5, 9000), call("b", 1.0, 9000), call("a", -1.0, 9000)].concat();
        stream.write_all(all.as_bytes()).expect("write");
        let bodies: Vec<String> = (0..3).map(|_| message::read_answer(&mut stream).body).collect();
        assert_eq!(bodies, ["2.5", "1", "1.5"]);
        assert_eq!((counter.total("a"), counter.total("never"), counter.calls()), (Some(1.5), None, 3));
    }

    #[test]
    fn what_is_no_call_adds_nothing() {
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
    fn a_name_is_forgotten_when_its_life_is_up() {
        let counter = Counter::new(Script::default());
        let mut stream = connect(&counter);
        assert_eq!(message::exchange(&mut stream, &call("a", 5.0, 1)).body, "5");
        wait_for("the name to be forgotten", || counter.total("a").is_none());
        assert_eq!(message::exchange(&mut stream, &call("a", 2.0, 9000)).body, "2");
    }

    #[test]
    fn faults_tell_what_was_added_and_what_was_not() {
        let counter = Counter::new(Script::default());
        counter.fail(Fault::LostAnswer, 1);
        let mut stream = connect(&counter);
        stream.write_all(call("a", 1.0, 9000).as_bytes()).expect("write");
        assert!(message::read(&mut stream).is_none());
        assert_eq!(counter.total("a"), Some(1.0), "added, though nobody heard");
        let mut stream = connect(&counter);
        counter.fail(Fault::Unprocessed, 1);
        assert_eq!(message::exchange(&mut stream, &call("a", 1.0, 9000)).status, 503);
        counter.fail(Fault::Garbage, 1);
        assert_eq!(message::exchange(&mut stream, &call("a", 1.0, 9000)).body, "many");
        assert_eq!(message::exchange(&mut stream, &call("a", 1.0, 9000)).body, "3");
    }

    #[test]
    fn it_stops_and_starts_with_its_counts_or_empty() {
        let counter = Counter::new(Script::default());
        let mut stream = connect(&counter);
        message::exchange(&mut stream, &call("a", 4.0, 60_000));
        counter.stop();
        assert!(message::read(&mut stream).is_none(), "open connections end");
        counter.start(true);
        assert_eq!(message::exchange(&mut connect(&counter), &call("a", 1.0, 60_000)).body, "5");
        counter.stop();
        counter.start(false);
        assert_eq!(message::exchange(&mut connect(&counter), &call("a", 1.0, 60_000)).body, "1");
    }

    #[test]
    fn a_long_line_is_turned_away() {
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
