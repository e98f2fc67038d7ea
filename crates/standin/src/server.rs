//! A back-end server with one thread per connection. A closure or a script of faults determines its answers.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::message::{self, write_ok, Message};
use crate::wait_for;

/// What a scripted server does with a request instead of serving it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Answers 500: the request may have run.
    Error,
    /// Answers 503 with `X-Unprocessed: 1`: the request did not run.
    Unprocessed,
    /// Answers 503 without that header: the request may have run.
    Unavailable,
    /// Closes the connection after reading the request.
    Reset,
    /// Sends an incomplete answer, then closes the connection.
    Truncated,
    /// Sends no answer for this many milliseconds, then closes the connection.
    Silent(u64),
}

/// Parses a fault as it is written on the command line: `error`, `turn-away`, `unavailable`, `reset`, `half`,
/// `silent=MS`.
impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Fault, String> {
        match text.split_once('=') {
            None if text == "error" => Ok(Fault::Error),
            None if text == "turn-away" => Ok(Fault::Unprocessed),
            None if text == "unavailable" => Ok(Fault::Unavailable),
            None if text == "reset" => Ok(Fault::Reset),
            None if text == "half" => Ok(Fault::Truncated),
            Some(("silent", ms)) => {
                let ms = ms.parse().map_err(|_| format!("'{ms}' is not a number of milliseconds"))?;
                Ok(Fault::Silent(ms))
            }
            _ => Err(format!(
                "'{text}' is no fault: error, turn-away, unavailable, reset, half or silent=MS is expected"
            )),
        }
    }
}

/// Behaviour of a scripted server.
#[derive(Debug, Clone)]
pub struct Script {
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
    /// Maximum number of requests processed at once; further ones wait.
    pub cores: usize,
    /// Body of each successful answer.
    pub body: String,
    /// Faults by request number, counted from 0 over all connections. The first matching range applies.
    pub faults: Vec<(Range<usize>, Fault)>,
}

impl Default for Script {
    fn default() -> Script {
        Script { work_ms: 0, cores: usize::MAX, body: "booked".to_string(), faults: Vec::new() }
    }
}

/// The server's processing slots.
struct Cores {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Cores {
    /// Waits for a free slot and occupies it for `ms` milliseconds.
    fn work(&self, ms: u64) {
        let mut free = lock(&self.free);
        while *free == 0 {
            free = self.freed.wait(free).unwrap_or_else(PoisonError::into_inner);
        }
        *free -= 1;
        drop(free);
        std::thread::sleep(Duration::from_millis(ms));
        *lock(&self.free) += 1;
        self.freed.notify_one();
    }
}

/// Locks a mutex even if it is poisoned: after a test panics with the lock, a second panic would hide its message.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Counts {
    requests: Mutex<Vec<Message>>,
    request_count: AtomicUsize,
    connections: AtomicUsize,
    open: AtomicUsize,
    max_open: AtomicUsize,
    closed: AtomicUsize,
    stop: AtomicBool,
    /// Number of requests in progress by `X-Correlation-Id`, and the maximum so far for any one.
    concurrent: Mutex<(BTreeMap<String, usize>, usize)>,
}

/// A back-end server on a loopback address.
pub struct Server {
    /// The address it listens on.
    pub addr: SocketAddr,
    counts: Arc<Counts>,
}

impl Server {
    /// Starts a server whose requests the closure answers. The closure returns false to close the connection.
    pub fn new(answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Server::on(listener, answer)
    }

    /// Starts a server that follows a script.
    pub fn scripted(script: Script) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Server::scripted_on(listener, script)
    }

    /// Like [`Server::scripted`], on the caller's listener.
    pub fn scripted_on(listener: TcpListener, script: Script) -> Server {
        let next_number = AtomicUsize::new(0);
        let cores = Cores { free: Mutex::new(script.cores.max(1)), freed: Condvar::new() };
        Server::on(listener, move |_, stream| {
            let number = next_number.fetch_add(1, Ordering::SeqCst);
            let fault = script.faults.iter().find(|(range, _)| range.contains(&number)).map(|(_, f)| *f);
            let answer_empty = |stream: &mut TcpStream, head: &str| {
                write!(stream, "HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").is_ok()
            };
            match fault {
                None => {
                    cores.work(script.work_ms);
                    write_ok(stream, &script.body)
                }
                Some(Fault::Error) => answer_empty(stream, "500 Internal Server Error"),
                Some(Fault::Unprocessed) => {
                    answer_empty(stream, "503 Service Unavailable\r\nX-Unprocessed: 1")
                }
                Some(Fault::Unavailable) => answer_empty(stream, "503 Service Unavailable"),
                Some(Fault::Reset) => false,
                Some(Fault::Truncated) => {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                    false
                }
                Some(Fault::Silent(ms)) => {
                    std::thread::sleep(Duration::from_millis(ms));
                    false
                }
            }
        })
    }

    fn on(
        listener: TcpListener,
        answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Server {
        let addr = listener.local_addr().expect("an address");
        let (counts, answer) = (Arc::new(Counts::default()), Arc::new(answer));
        let shared = counts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if shared.stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (counts, answer) = (shared.clone(), answer.clone());
                std::thread::spawn(move || connection(stream, &counts, &*answer));
            }
        });
        Server { addr, counts }
    }

    /// All requests received so far.
    pub fn requests(&self) -> Vec<Message> {
        lock(&self.counts.requests).clone()
    }
    /// Number of requests received so far.
    pub fn request_count(&self) -> usize {
        self.counts.request_count.load(Ordering::SeqCst)
    }
    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::SeqCst)
    }
    /// Maximum number of connections open at once so far.
    pub fn max_open_connections(&self) -> usize {
        self.counts.max_open.load(Ordering::SeqCst)
    }
    /// Number of connections that have ended, whichever side closed them.
    pub fn closed_connections(&self) -> usize {
        self.counts.closed.load(Ordering::SeqCst)
    }
    /// Maximum number of requests with the same `X-Correlation-Id` that this server processed at once so far.
    pub fn max_concurrent_requests(&self) -> usize {
        lock(&self.counts.concurrent).1
    }
    /// Stops listening, and returns once connections are refused.
    pub fn close(&self) {
        self.counts.stop.store(true, Ordering::SeqCst);
        wait_for("the listener to close", || TcpStream::connect(self.addr).is_err());
    }
}

fn connection(
    mut stream: TcpStream,
    counts: &Counts,
    answer: &(dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    counts.connections.fetch_add(1, Ordering::SeqCst);
    let open = counts.open.fetch_add(1, Ordering::SeqCst) + 1;
    counts.max_open.fetch_max(open, Ordering::SeqCst);
    while let Some(message) = message::read(&mut stream) {
        let id = message.header("x-correlation-id").unwrap_or_default();
        {
            let mut concurrent = lock(&counts.concurrent);
            let count = concurrent.0.entry(id.clone()).or_default();
            *count += 1;
            let count = *count;
            concurrent.1 = concurrent.1.max(count);
        }
        lock(&counts.requests).push(message.clone());
        counts.request_count.fetch_add(1, Ordering::SeqCst);
        let keep_open = answer(&message, &mut stream);
        let mut concurrent = lock(&counts.concurrent);
        if let Some(count) = concurrent.0.get_mut(&id) {
            *count -= 1;
            if *count == 0 {
                concurrent.0.remove(&id);
            }
        }
        drop(concurrent);
        if !keep_open {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    counts.closed.fetch_add(1, Ordering::SeqCst);
    counts.open.fetch_sub(1, Ordering::SeqCst);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_are_parsed() {
        assert_eq!("silent=250".parse(), Ok(Fault::Silent(250)));
        assert_eq!("turn-away".parse(), Ok(Fault::Unprocessed));
        assert!("silent=soon".parse::<Fault>().expect_err("no number").contains("'soon'"));
        assert!("explode".parse::<Fault>().expect_err("unknown").contains("turn-away"));
    }

    #[test]
    fn script_applies_faults_to_the_numbered_requests() {
        let script =
            Script { faults: vec![(1..2, Fault::Unprocessed), (2..3, Fault::Reset)], ..Script::default() };
        let server = Server::scripted(script);
        let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let mut stream = TcpStream::connect(server.addr).expect("connect");
        assert_eq!(message::exchange(&mut stream, request).status, 200);
        let rejected = message::exchange(&mut stream, request);
        assert_eq!((rejected.status, rejected.header("x-unprocessed").as_deref()), (503, Some("1")));
        stream.write_all(request.as_bytes()).expect("write");
        assert!(message::read(&mut stream).is_none());
        assert_eq!((server.request_count(), server.connections()), (3, 1));
    }
}
