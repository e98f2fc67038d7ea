//! A proxy for TCP streams between limiters and a listener, with faults that can be switched on and off.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marldeal_rehearsal::draws::{self, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};

use crate::tasks::spawn_local;

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StreamFault {
    /// New connections are refused.
    Refuse,
    /// Connections are accepted, but carry nothing in either direction.
    Mute,
    /// A share of what is sent in one direction breaks off before its last byte.
    Break {
        /// The share.
        share: f64,
        /// Whether the direction towards the limiter is affected, and not the one from it.
        towards_limiter: bool,
    },
    /// Answers are delayed by so many milliseconds, at least and at most.
    Hold([f64; 2]),
    /// Each direction carries so many bytes a second.
    Trickle(f64),
}

/// The present faults of a link.
pub struct LinkFaults {
    active: RefCell<Vec<(usize, StreamFault)>>,
    /// Whether the target does not listen.
    target_down: Cell<bool>,
    changed: Notify,
    rng: RefCell<Stream>,
}

impl LinkFaults {
    /// Creates a link without faults.
    pub fn new(rng: Stream) -> Rc<LinkFaults> {
        Rc::new(LinkFaults {
            active: RefCell::default(),
            target_down: Cell::new(false),
            changed: Notify::new(),
            rng: RefCell::new(rng),
        })
    }

    /// Starts a fault; `number` identifies it.
    pub fn start(&self, number: usize, active: StreamFault) {
        self.active.borrow_mut().push((number, active));
        self.changed.notify_waiters();
    }

    /// Ends a fault.
    pub fn end(&self, number: usize) {
        self.active.borrow_mut().retain(|(n, _)| *n != number);
        self.changed.notify_waiters();
    }

    /// Sets whether the target does not listen: without this a proxy would accept connections for it.
    pub fn set_target_down(&self, target_down: bool) {
        self.target_down.set(target_down);
        self.changed.notify_waiters();
    }

    fn any(&self, of: impl Fn(&StreamFault) -> bool) -> bool {
        self.active.borrow().iter().any(|(_, w)| of(w))
    }

    fn refuses_connections(&self) -> bool {
        self.target_down.get() || self.any(|w| *w == StreamFault::Refuse)
    }

    fn is_muted(&self) -> bool {
        self.any(|w| *w == StreamFault::Mute)
    }

    async fn wait_until(&self, holds: impl Fn(&LinkFaults) -> bool) {
        loop {
            let changed = self.changed.notified();
            if holds(self) {
                return;
            }
            changed.await;
        }
    }

    fn draws_break(&self, direction: bool) -> bool {
        let shares = |w: &StreamFault| match w {
            StreamFault::Break { share, towards_limiter } if *towards_limiter == direction => *share,
            _ => 0.0,
        };
        let share = self.active.borrow().iter().map(|(_, w)| shares(w)).sum();
        draws::chance(&mut self.rng.borrow_mut(), share)
    }

    /// Returns how long so many bytes take in a direction.
    fn delay_ms(&self, bytes: usize, towards_limiter: bool) -> f64 {
        let mut rng = self.rng.borrow_mut();
        let one = |w: &StreamFault, rng: &mut Stream| match w {
            StreamFault::Hold(ms) if towards_limiter => draws::between(rng, *ms),
            StreamFault::Trickle(per_s) => 1000.0 * bytes as f64 / per_s,
            _ => 0.0,
        };
        self.active.borrow().iter().map(|(_, w)| one(w, &mut rng)).sum()
    }
}

/// Receives the whole lines that were passed on to limiters, with the proxy's number.
pub type LineSender = mpsc::UnboundedSender<(usize, String)>;

/// A proxy in front of `target`; it ends when dropped.
pub struct StreamProxy {
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// The present faults of its link.
    pub faults: Rc<LinkFaults>,
    task: tokio::task::AbortHandle,
}

impl Drop for StreamProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StreamProxy {
    /// Opens a proxy at the given address; port 0 takes any port.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn open(
        at: SocketAddr,
        target: SocketAddr,
        faults: Rc<LinkFaults>,
    ) -> Result<StreamProxy, String> {
        StreamProxy::open_observed(at, target, faults, None).await
    }

    /// Opens a proxy that sends each line to `observer` once it has been passed on to a limiter.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn open_observed(
        at: SocketAddr,
        target: SocketAddr,
        faults: Rc<LinkFaults>,
        observer: Option<(usize, LineSender)>,
    ) -> Result<StreamProxy, String> {
        let port_error = |e: std::io::Error| format!("cannot open a port for a proxy: {e}");
        let listener = TcpListener::bind(at).await.map_err(port_error)?;
        let addr = listener.local_addr().map_err(port_error)?;
        let task = spawn_local(accept(listener, addr, target, faults.clone(), observer)).abort_handle();
        Ok(StreamProxy { addr, faults, task })
    }
}

async fn accept(
    listener: TcpListener,
    addr: SocketAddr,
    target: SocketAddr,
    faults: Rc<LinkFaults>,
    observer: Option<(usize, LineSender)>,
) {
    let mut listener = Some(listener);
    loop {
        if faults.refuses_connections() {
            // Only a closed listener refuses connections. No connection has its address as local address, so it
            // can be bound again.
            drop(listener.take());
            faults.wait_until(|g| !g.refuses_connections()).await;
        }
        let Some(open) = &listener else {
            match TcpListener::bind(addr).await {
                Ok(bound) => listener = Some(bound),
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => match accepted {
                Ok((stream, _)) => drop(spawn_local(forward_connection(stream, target, faults.clone(), observer.clone()))),
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            },
            () = faults.wait_until(LinkFaults::refuses_connections) => {}
        }
    }
}

/// Forwards one connection until either side ends it.
async fn forward_connection(
    stream: TcpStream,
    target: SocketAddr,
    faults: Rc<LinkFaults>,
    observer: Option<(usize, LineSender)>,
) {
    let stalled = faults.is_muted();
    faults.wait_until(|g| !g.is_muted()).await;
    let Ok(onward) = TcpStream::connect(target).await else { return };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (from_limiter, to_limiter) = stream.into_split();
    let (from_server, to_server) = onward.into_split();
    tokio::select! {
        () = forward(from_limiter, to_server, &faults, false, stalled, None) => {}
        () = forward(from_server, to_limiter, &faults, true, false, observer) => {}
    }
}

/// Longest line that is observed: room for a list of the largest number of servers.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Time in which a close behind stalled bytes becomes visible.
const CLOSE_DETECTION_TIMEOUT: Duration = Duration::from_millis(5);

/// Whether the sender has closed its connection after the bytes that were read last.
async fn is_closed(from: &mut OwnedReadHalf) -> bool {
    let mut one = [0; 1];
    matches!(tokio::time::timeout(CLOSE_DETECTION_TIMEOUT, from.peek(&mut one)).await, Ok(Ok(0) | Err(_)))
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: &LinkFaults,
    towards_limiter: bool,
    mut stalled: bool,
    observer: Option<(usize, LineSender)>,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut line = Vec::new();
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else { return };
        stalled |= faults.is_muted();
        faults.wait_until(|g| !g.is_muted()).await;
        // A request that its sender cancelled while the link was muted never arrives: on a network the close
        // would follow it at once.
        if std::mem::take(&mut stalled) && is_closed(&mut from).await {
            return;
        }
        let delay_ms = faults.delay_ms(read, towards_limiter);
        if delay_ms > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(delay_ms / 1000.0)).await;
        }
        let breaks = faults.draws_break(towards_limiter);
        let passed = if breaks { read - 1 } else { read };
        if to.write_all(&buffer[..passed]).await.is_err() || breaks {
            return;
        }
        let Some((number, lines)) = &observer else { continue };
        for byte in &buffer[..passed] {
            if *byte == b'\n' {
                let _ =
                    lines.send((*number, String::from_utf8_lossy(&std::mem::take(&mut line)).into_owned()));
            } else if line.len() < MAX_LINE_BYTES {
                line.push(*byte);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::future::Future;

    use tokio::task::LocalSet;

    use super::*;

    fn on_sockets(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, test);
    }

    /// Starts a server that echoes what it receives, behind a proxy.
    async fn echo() -> StreamProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let target = listener.local_addr().expect("an address");
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(async move {
                    let (mut from, mut to) = stream.into_split();
                    let _ = tokio::io::copy(&mut from, &mut to).await;
                });
            }
        });
        let faults = LinkFaults::new(draws::stream(1, "gate", 0));
        StreamProxy::open("127.0.0.1:0".parse().expect("an address"), target, faults).await.expect("a proxy")
    }

    async fn echoed(stream: &mut TcpStream, text: &[u8]) -> Option<Vec<u8>> {
        stream.write_all(text).await.ok()?;
        let mut back = vec![0; text.len()];
        stream.read_exact(&mut back).await.ok()?;
        Some(back)
    }

    #[test]
    fn refusing_link_keeps_open_connections_and_refuses_new_ones() {
        on_sockets(async {
            let proxy = echo().await;
            let mut stream = TcpStream::connect(proxy.addr).await.expect("a connection");
            assert_eq!(echoed(&mut stream, b"hello").await.as_deref(), Some(&b"hello"[..]));
            proxy.faults.start(0, StreamFault::Refuse);
            let mut refused = false;
            while !refused {
                refused = TcpStream::connect(proxy.addr).await.is_err();
                tokio::task::yield_now().await;
            }
            assert_eq!(echoed(&mut stream, b"still").await.as_deref(), Some(&b"still"[..]));
            proxy.faults.end(0);
            while TcpStream::connect(proxy.addr).await.is_err() {
                tokio::task::yield_now().await;
            }
        });
    }

    #[test]
    fn muted_link_delays_data_until_the_fault_ends() {
        on_sockets(async {
            let proxy = echo().await;
            proxy.faults.start(0, StreamFault::Mute);
            let mut stream = TcpStream::connect(proxy.addr).await.expect("it accepts");
            let reply = echoed(&mut stream, b"hello");
            assert!(tokio::time::timeout(Duration::from_millis(100), reply).await.is_err());
            proxy.faults.end(0);
            let mut back = [0; 5];
            stream.read_exact(&mut back).await.expect("delayed, not lost");
            assert_eq!(&back, b"hello");
        });
    }

    #[test]
    fn request_cancelled_on_a_muted_link_never_arrives() {
        on_sockets(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let target = listener.local_addr().expect("an address");
            let faults = LinkFaults::new(draws::stream(1, "gate", 0));
            let proxy = StreamProxy::open("127.0.0.1:0".parse().expect("an address"), target, faults)
                .await
                .expect("a proxy");
            let mut stream = TcpStream::connect(proxy.addr).await.expect("a connection");
            let (mut behind, _) = listener.accept().await.expect("passed on");
            proxy.faults.start(0, StreamFault::Mute);
            stream.write_all(b"hello").await.expect("written");
            drop(stream);
            tokio::time::sleep(Duration::from_millis(50)).await;
            proxy.faults.end(0);
            let mut received = Vec::new();
            let _ = behind.read_to_end(&mut received).await;
            assert!(received.is_empty(), "{received:?}");
        });
    }

    #[test]
    fn broken_transfer_lacks_its_last_byte() {
        on_sockets(async {
            let proxy = echo().await;
            proxy.faults.start(0, StreamFault::Break { share: 1.0, towards_limiter: false });
            let mut stream = TcpStream::connect(proxy.addr).await.expect("a connection");
            stream.write_all(b"hello").await.expect("written");
            let mut back = Vec::new();
            let _ = stream.read_to_end(&mut back).await;
            assert!(back.len() < 5, "{back:?}");
        });
    }

    #[test]
    fn lines_are_observed_once_forwarded_and_never_when_broken() {
        on_sockets(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let target = listener.local_addr().expect("an address");
            let faults = LinkFaults::new(draws::stream(1, "gate", 0));
            let (say, mut observer) = mpsc::unbounded_channel();
            let at = "127.0.0.1:0".parse().expect("an address");
            let proxy =
                StreamProxy::open_observed(at, target, faults, Some((7, say))).await.expect("a proxy");
            let mut stream = TcpStream::connect(proxy.addr).await.expect("a connection");
            let (mut behind, _) = listener.accept().await.expect("passed on");
            behind.write_all(b"one\ntw").await.expect("written");
            assert_eq!(observer.recv().await, Some((7, "one".to_string())));
            proxy.faults.start(0, StreamFault::Break { share: 1.0, towards_limiter: true });
            behind.write_all(b"o\n").await.expect("written");
            let mut received = Vec::new();
            let _ = stream.read_to_end(&mut received).await;
            assert_eq!((received.as_slice(), observer.try_recv().is_err()), (&b"one\ntwo"[..], true));
        });
    }

    #[test]
    fn held_answers_and_trickle_delay_data() {
        on_sockets(async {
            let proxy = echo().await;
            let took = |from: std::time::Instant| from.elapsed().as_secs_f64() * 1000.0;
            let mut stream = TcpStream::connect(proxy.addr).await.expect("a connection");
            proxy.faults.start(0, StreamFault::Hold([80.0, 80.0]));
            let from = std::time::Instant::now();
            assert!(echoed(&mut stream, b"hello").await.is_some() && took(from) >= 80.0);
            proxy.faults.end(0);
            proxy.faults.start(1, StreamFault::Trickle(100.0));
            let from = std::time::Instant::now();
            // Five bytes in each direction at 100 a second.
            assert!(echoed(&mut stream, b"hello").await.is_some() && took(from) >= 99.0);
        });
    }
}
