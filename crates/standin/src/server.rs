//! A booking node: one thread a connection, answers by a closure or by a script of faults.

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

/// What a scripted node does with a request in place of serving it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// 500: it may have run.
    Error,
    /// 503 with `X-Unprocessed: 1`: it never ran.
    Unprocessed,
    /// 503 without the mark: it may have run.
    Unavailable,
    /// The connection is closed after the request was read.
    Reset,
    /// Half an answer, then a close.
    Half,
    /// No answer for so many milliseconds, then a close.
    Silent(u64),
}

/// How a fault is written on the command line: `error`, `turn-away`, `unavailable`, `reset`, `half`, `silent=MS`.
impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Fault, String> {
        match text.split_once('=') {
            None if text == "error" => Ok(Fault::Error),
            None if text == "turn-away" => Ok(Fault::Unprocessed),
            None if text == "unavailable" => Ok(Fault::Unavailable),
            None if text == "reset" => Ok(Fault::Reset),
            None if text == "half" => Ok(Fault::Half),
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

/// How a scripted node behaves.
#[derive(Debug, Clone)]
pub struct Script {
    /// Milliseconds of work for each request.
    pub work_ms: u64,
    /// Requests worked on at once; further ones wait.
    pub cores: usize,
    /// Body of an answer.
    pub body: String,
    /// Which requests, counted from 0 over all connections, meet which fault. The first range that holds counts.
    pub faults: Vec<(Range<usize>, Fault)>,
}

impl Default for Script {
    fn default() -> Script {
        Script { work_ms: 0, cores: usize::MAX, body: "booked".to_string(), faults: Vec::new() }
    }
}

/// Places for work; waits while all are taken.
struct Cores {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Cores {
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

/// A test that panics while it holds a lock must not hide its message behind a second panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Counts {
    seen: Mutex<Vec<Message>>,
    arrivals: AtomicUsize,
    connections: AtomicUsize,
    open: AtomicUsize,
    most_open: AtomicUsize,
    closed_by_peer: AtomicUsize,
    stop: AtomicBool,
    /// Requests of each `X-Correlation-Id` that are being worked on, and the most at once.
    at_once: Mutex<(BTreeMap<String, usize>, usize)>,
}

/// A booking node on a loopback address.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    counts: Arc<Counts>,
}

impl Server {
    /// A node that answers as the closure does; false from it ends the connection.
    pub fn new(answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Server::on(listener, answer)
    }

    /// A node that follows a script.
    pub fn scripted(script: Script) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Server::scripted_on(listener, script)
    }

    /// A node that follows a script, on a listener of the caller's.
    pub fn scripted_on(listener: TcpListener, script: Script) -> Server {
        let arrived = AtomicUsize::new(0);
        let cores = Cores { free: Mutex::new(script.cores.max(1)), freed: Condvar::new() };
        Server::on(listener, move |_, stream| {
            let number = arrived.fetch_add(1, Ordering::SeqCst);
            let fault = script.faults.iter().find(|(range, _)| range.contains(&number)).map(|(_, f)| *f);
            let plain = |stream: &mut TcpStream, head: &str| {
                write!(stream, "HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n").is_ok()
            };
            match fault {
                None => {
                    cores.work(script.work_ms);
                    write_ok(stream, &script.body)
                }
                Some(Fault::Error) => plain(stream, "500 Internal Server Error"),
                Some(Fault::Unprocessed) => plain(stream, "503 Service Unavailable\r\nX-Unprocessed: 1"),
                Some(Fault::Unavailable) => plain(stream, "503 Service Unavailable"),
                Some(Fault::Reset) => false,
                Some(Fault::Half) => {
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
        let all = counts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if all.stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (counts, answer) = (all.clone(), answer.clone());
                std::thread::spawn(move || connection(stream, &counts, &*answer));
            }
        });
        Server { addr, counts }
    }

    /// All requests so far.
    pub fn requests(&self) -> Vec<Message> {
        lock(&self.counts.seen).clone()
    }
    /// Number of requests so far.
    pub fn request_count(&self) -> usize {
        self.counts.arrivals.load(Ordering::SeqCst)
    }
    /// Number of connections so far.
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::SeqCst)
    }
    /// Most connections open at once.
    pub fn max_open_connections(&self) -> usize {
        self.counts.most_open.load(Ordering::SeqCst)
    }
    /// Connections that ended, whoever closed them.
    pub fn closed_connections(&self) -> usize {
        self.counts.closed_by_peer.load(Ordering::SeqCst)
    }
    /// Most requests of one `X-Correlation-Id` worked on at once, by this node.
    pub fn max_concurrent_requests(&self) -> usize {
        lock(&self.counts.at_once).1
    }
    /// Stops listening; returns when connections are refused.
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
    counts.most_open.fetch_max(open, Ordering::SeqCst);
    while let Some(message) = message::read(&mut stream) {
        let id = message.header("x-correlation-id").unwrap_or_default();
        {
            let mut at_once = lock(&counts.at_once);
            let now = at_once.0.entry(id.clone()).or_default();
            *now += 1;
            let now = *now;
            at_once.1 = at_once.1.max(now);
        }
        lock(&counts.seen).push(message.clone());
        counts.arrivals.fetch_add(1, Ordering::SeqCst);
        let goes_on = answer(&message, &mut stream);
        let mut at_once = lock(&counts.at_once);
        if let Some(now) = at_once.0.get_mut(&id) {
            *now -= 1;
            if *now == 0 {
                at_once.0.remove(&id);
            }
        }
        drop(at_once);
        if !goes_on {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    counts.closed_by_peer.fetch_add(1, Ordering::SeqCst);
    counts.open.fetch_sub(1, Ordering::SeqCst);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_are_read_as_they_are_written() {
        assert_eq!("silent=250".parse(), Ok(Fault::Silent(250)));
        assert_eq!("turn-away".parse(), Ok(Fault::Unprocessed));
        assert!("silent=soon".parse::<Fault>().expect_err("no number").contains("'soon'"));
        assert!("explode".parse::<Fault>().expect_err("unknown").contains("turn-away"));
    }

    #[test]
    fn a_script_meets_the_requests_it_names() {
        let script =
            Script { faults: vec![(1..2, Fault::Unprocessed), (2..3, Fault::Reset)], ..Script::default() };
        let node = Server::scripted(script);
        let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        let mut stream = TcpStream::connect(node.addr).expect("connect");
        assert_eq!(message::exchange(&mut stream, request).status, 200);
        let away = message::exchange(&mut stream, request);
        assert_eq!((away.status, away.header("x-unprocessed").as_deref()), (503, Some("1")));
        stream.write_all(request.as_bytes()).expect("write");
        assert!(message::read(&mut stream).is_none());
        assert_eq!((node.request_count(), node.connections()), (3, 1));
    }
}
