//! The discovery agent: watches that say what they are told, and beats in between.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::message;
use crate::wait_for;

/// Between two beats. The protocol has one every 2 s; more often does no harm and makes tests quick.
const BEAT: Duration = Duration::from_millis(500);

/// A line of discovery: version, whether it is the whole list, and servers by id, address and state.
pub fn update_line(version: u64, full: bool, servers: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(id, addr, state): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
        )
    };
    let servers: Vec<String> = servers.iter().map(entry).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}\n", servers.join(","))
}

/// What a new watch is told first.
enum First {
    /// This, the first watch; the others only a beat.
    Once(String),
    /// The list as it stands.
    Always(Mutex<String>),
}

struct Watches {
    first: First,
    heads: Mutex<Vec<String>>,
    streams: Mutex<Vec<TcpStream>>,
    muted: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Discovery on a loopback address.
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    watches: Arc<Watches>,
}

impl Discovery {
    /// Tells `first` to the first watch; what comes after it is [`Discovery::push`]ed by hand.
    pub fn new(first: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Discovery::on(listener, First::Once(first))
    }

    /// Tells each new watch the list as it stands, for several limiters; [`Discovery::announce`] changes it.
    pub fn shared(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        Discovery::shared_on(listener, list)
    }

    /// The same on a listener of the caller's.
    pub fn shared_on(listener: TcpListener, list: String) -> Discovery {
        Discovery::on(listener, First::Always(Mutex::new(list)))
    }

    fn on(listener: TcpListener, first: First) -> Discovery {
        let addr = listener.local_addr().expect("an address");
        let watches = Arc::new(Watches {
            first,
            heads: Mutex::default(),
            streams: Mutex::default(),
            muted: AtomicBool::new(false),
        });
        let all = watches.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                let Some(message) = message::read(&mut stream) else { continue };
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                // Held while the list is written, so that no change falls between it and the watch's start.
                let mut streams = lock(&all.streams);
                let mut heads = lock(&all.heads);
                match &all.first {
                    First::Once(text) => {
                        chunk(&mut stream, if heads.is_empty() { text.as_str() } else { "\n" });
                    }
                    First::Always(list) => chunk(&mut stream, &lock(list)),
                }
                streams.push(stream);
                heads.push(message.head);
            }
        });
        let beats = watches.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(BEAT);
            if !beats.muted.load(Ordering::SeqCst) {
                lock(&beats.streams).iter_mut().for_each(|s| chunk(s, "\n"));
            }
        });
        Discovery { addr, watches }
    }

    /// Says something on the newest watch.
    pub fn push(&self, text: &str) {
        wait_for("a watch", || !lock(&self.watches.heads).is_empty());
        if let Some(stream) = lock(&self.watches.streams).last_mut() {
            // A beat would end a half line: it is held back from now on.
            self.watches.muted.store(true, Ordering::SeqCst);
            chunk(stream, text);
        }
        self.watches.muted.store(!text.ends_with('\n'), Ordering::SeqCst);
    }

    /// Says a whole list on all watches, and to those that come; only for a shared one.
    pub fn announce(&self, list: &str) {
        let mut streams = lock(&self.watches.streams);
        if let First::Always(now) = &self.watches.first {
            *lock(now) = list.to_string();
        }
        streams.iter_mut().for_each(|s| chunk(s, list));
    }

    /// Heads of all watches so far.
    pub fn watches(&self) -> Vec<String> {
        lock(&self.watches.heads).clone()
    }
    /// No more beats.
    pub fn stop_heartbeats(&self) {
        self.watches.muted.store(true, Ordering::SeqCst);
    }
    /// Ends all watches.
    pub fn close_watches(&self) {
        for stream in lock(&self.watches.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) {
    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
}
