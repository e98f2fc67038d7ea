//! The discovery agent: sends scripted lists of servers on the watches opened by limiters, and heartbeats in between.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::message;
use crate::wait_for;

/// Interval between heartbeats. The protocol has one every 2 s; a shorter interval is valid and makes tests faster.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How often a call that waits for the end of a silence checks for it.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A line of the discovery protocol: the list's version, whether the list is complete, and servers as (ID, address,
/// state).
pub fn update_line(version: u64, full: bool, servers: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(id, addr, state): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
        )
    };
    let servers: Vec<String> = servers.iter().map(entry).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}\n", servers.join(","))
}

/// What is sent first on a new watch.
enum Initial {
    /// This text on the first watch, and a heartbeat on the others.
    FirstWatch(String),
    /// The current list on each watch.
    EachWatch(Mutex<String>),
}

struct Watches {
    initial: Initial,
    /// Heads of the requests that opened the watches.
    heads: Mutex<Vec<String>>,
    streams: Mutex<Vec<TcpStream>>,
    /// Whether heartbeats are suspended.
    heartbeats_stopped: AtomicBool,
    /// Whether nothing is sent. Calls are accepted, and answered once this has ended.
    silent: AtomicBool,
}

impl Watches {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A discovery agent on a loopback address.
pub struct Discovery {
    /// The address it listens on.
    pub addr: SocketAddr,
    watches: Arc<Watches>,
}

impl Discovery {
    /// Sends `initial` on the first watch; everything after it is sent with [`Discovery::push`].
    pub fn new(initial: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Discovery::on(listener, Initial::FirstWatch(initial))
    }

    /// Sends the current list on each new watch, for several limiters; [`Discovery::announce`] changes the list.
    pub fn shared(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Discovery::shared_on(listener, list)
    }

    /// Like [`Discovery::shared`], on the caller's listener.
    pub fn shared_on(listener: TcpListener, list: String) -> Discovery {
        Discovery::on(listener, Initial::EachWatch(Mutex::new(list)))
    }

    fn on(listener: TcpListener, initial: Initial) -> Discovery {
        let addr = listener.local_addr().expect("an address");
        let watches = Arc::new(Watches {
            initial,
            heads: Mutex::default(),
            streams: Mutex::default(),
            heartbeats_stopped: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        });
        let shared = watches.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                let Some(message) = message::read(&mut stream) else { continue };
                while shared.is_silent() {
                    std::thread::sleep(SILENCE_POLL_INTERVAL);
                }
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                // The lock is held while the list is written, so that the watch misses no change of the list.
                let mut streams = lock(&shared.streams);
                let mut heads = lock(&shared.heads);
                match &shared.initial {
                    Initial::FirstWatch(text) => {
                        write_chunk(&mut stream, if heads.is_empty() { text.as_str() } else { "\n" });
                    }
                    Initial::EachWatch(list) => write_chunk(&mut stream, &lock(list)),
                }
                streams.push(stream);
                heads.push(message.head);
            }
        });
        let heartbeats = watches.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT_INTERVAL);
            if !heartbeats.heartbeats_stopped.load(Ordering::SeqCst) && !heartbeats.is_silent() {
                lock(&heartbeats.streams).iter_mut().for_each(|s| write_chunk(s, "\n"));
            }
        });
        Discovery { addr, watches }
    }

    /// Sends text on the newest watch, waiting for a first one if there is none.
    pub fn push(&self, text: &str) {
        wait_for("a watch", || !lock(&self.watches.heads).is_empty());
        if let Some(stream) = lock(&self.watches.streams).last_mut() {
            // A heartbeat would end an incomplete line, so heartbeats are suspended until the line is complete.
            self.watches.heartbeats_stopped.store(true, Ordering::SeqCst);
            write_chunk(stream, text);
        }
        self.watches.heartbeats_stopped.store(!text.ends_with('\n'), Ordering::SeqCst);
    }

    /// Sends a complete list on all watches. A shared agent also sends it first on later ones.
    pub fn announce(&self, list: &str) {
        let mut streams = lock(&self.watches.streams);
        if let Initial::EachWatch(current) = &self.watches.initial {
            *lock(current) = list.to_string();
        }
        streams.iter_mut().for_each(|s| write_chunk(s, list));
    }

    /// Request heads of all watches so far.
    pub fn watches(&self) -> Vec<String> {
        lock(&self.watches.heads).clone()
    }
    /// Begins or ends a silence: no heartbeats, and no answers to new calls.
    pub fn set_silent(&self, silent: bool) {
        self.watches.silent.store(silent, Ordering::SeqCst);
    }
    /// Stops sending heartbeats.
    pub fn stop_heartbeats(&self) {
        self.watches.heartbeats_stopped.store(true, Ordering::SeqCst);
    }
    /// Closes all watches.
    pub fn close_watches(&self) {
        for stream in lock(&self.watches.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Writes one chunk of the chunked response.
fn write_chunk(stream: &mut TcpStream, text: &str) {
    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
}
