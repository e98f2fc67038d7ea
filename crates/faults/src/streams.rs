//! A relay for streams: it stands between limiters and a listener, and does to their connections what a gate says.

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

/// What is wrong with a way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Wrong {
    /// New connections are refused.
    Refuse,
    /// Connections come up; nothing goes either way.
    Mute,
    /// This share of what is sent one way breaks off before its last byte.
    Break {
        /// Which share.
        share: f64,
        /// Of what is said to the limiter, not of what it says.
        answers: bool,
    },
    /// Answers wait so many milliseconds, least and most.
    Hold([f64; 2]),
    /// So many bytes a second go each way.
    Trickle(f64),
}

/// What stands in a way now.
pub struct Gate {
    wrong: RefCell<Vec<(usize, Wrong)>>,
    /// Nobody listens behind it.
    down: Cell<bool>,
    changed: Notify,
    rng: RefCell<Stream>,
}

impl Gate {
    /// An open one.
    pub fn new(rng: Stream) -> Rc<Gate> {
        Rc::new(Gate {
            wrong: RefCell::default(),
            down: Cell::new(false),
            changed: Notify::new(),
            rng: RefCell::new(rng),
        })
    }

    /// Something is wrong from now on; `number` tells it apart.
    pub fn begins(&self, number: usize, wrong: Wrong) {
        self.wrong.borrow_mut().push((number, wrong));
        self.changed.notify_waiters();
    }

    /// It is over.
    pub fn ends(&self, number: usize) {
        self.wrong.borrow_mut().retain(|(n, _)| *n != number);
        self.changed.notify_waiters();
    }

    /// Whether anybody listens behind it: a relay would accept for one that does not.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.changed.notify_waiters();
    }

    fn any(&self, of: impl Fn(&Wrong) -> bool) -> bool {
        self.wrong.borrow().iter().any(|(_, w)| of(w))
    }

    fn refuses(&self) -> bool {
        self.down.get() || self.any(|w| *w == Wrong::Refuse)
    }

    fn mute(&self) -> bool {
        self.any(|w| *w == Wrong::Mute)
    }

    async fn until(&self, holds: impl Fn(&Gate) -> bool) {
        loop {
            let changed = self.changed.notified();
            if holds(self) {
                return;
            }
            changed.await;
        }
    }

    fn breaks(&self, way: bool) -> bool {
        let shares = |w: &Wrong| match w {
            Wrong::Break { share, answers } if *answers == way => *share,
            _ => 0.0,
        };
        let share = self.wrong.borrow().iter().map(|(_, w)| shares(w)).sum();
        draws::chance(&mut self.rng.borrow_mut(), share)
    }

    /// How long some bytes take; `answers` go towards the limiter.
    fn takes_ms(&self, bytes: usize, answers: bool) -> f64 {
        let mut rng = self.rng.borrow_mut();
        let one = |w: &Wrong, rng: &mut Stream| match w {
            Wrong::Hold(ms) if answers => draws::between(rng, *ms),
            Wrong::Trickle(per_s) => 1000.0 * bytes as f64 / per_s,
            _ => 0.0,
        };
        self.wrong.borrow().iter().map(|(_, w)| one(w, &mut rng)).sum()
    }
}

/// Whole lines that limiters were told through a relay, with the relay's number.
pub type Lines = mpsc::UnboundedSender<(usize, String)>;

/// A relay in front of `target`; ends when it is dropped. Where limiters connect is told.
pub struct Relay {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What stands in its way.
    pub gate: Rc<Gate>,
    task: tokio::task::AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Listens at an address of the caller's choice, port 0 for any.
    ///
    /// # Errors
    /// One plain line.
    pub async fn open(at: SocketAddr, target: SocketAddr, gate: Rc<Gate>) -> Result<Relay, String> {
        Relay::open_heard(at, target, gate, None).await
    }

    /// The same; each line that has been passed on to a limiter is told, when it has been.
    ///
    /// # Errors
    /// One plain line.
    pub async fn open_heard(
        at: SocketAddr,
        target: SocketAddr,
        gate: Rc<Gate>,
        heard: Option<(usize, Lines)>,
    ) -> Result<Relay, String> {
        let no = |e: std::io::Error| format!("no port for a relay: {e}");
        let listener = TcpListener::bind(at).await.map_err(no)?;
        let addr = listener.local_addr().map_err(no)?;
        let task = spawn_local(accept(listener, addr, target, gate.clone(), heard)).abort_handle();
        Ok(Relay { addr, gate, task })
    }
}

async fn accept(
    listener: TcpListener,
    addr: SocketAddr,
    target: SocketAddr,
    gate: Rc<Gate>,
    heard: Option<(usize, Lines)>,
) {
    let mut listener = Some(listener);
    loop {
        if gate.refuses() {
            // Only a closed listener refuses. Its address is no connection's own, so it is free when it comes back.
            drop(listener.take());
            gate.until(|g| !g.refuses()).await;
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
                Ok((stream, _)) => drop(spawn_local(carry(stream, target, gate.clone(), heard.clone()))),
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            },
            () = gate.until(Gate::refuses) => {}
        }
    }
}

/// One connection: ends with either side.
async fn carry(stream: TcpStream, target: SocketAddr, gate: Rc<Gate>, heard: Option<(usize, Lines)>) {
    let held = gate.mute();
    gate.until(|g| !g.mute()).await;
    let Ok(onward) = TcpStream::connect(target).await else { return };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (from_limiter, to_limiter) = stream.into_split();
    let (from_server, to_server) = onward.into_split();
    tokio::select! {
        () = pump(from_limiter, to_server, &gate, false, held, None) => {}
        () = pump(from_server, to_limiter, &gate, true, false, heard) => {}
    }
}

/// Longest line that is kept of what is told: a list of the most nodes that are played.
const MOST_LINE: usize = 1 << 20;
/// How long an end that came while a way was held takes to show.
const END_SHOWS: Duration = Duration::from_millis(5);

/// The sender has ended its connection behind what was read last.
async fn gone(from: &mut OwnedReadHalf) -> bool {
    let mut one = [0; 1];
    matches!(tokio::time::timeout(END_SHOWS, from.peek(&mut one)).await, Ok(Ok(0) | Err(_)))
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    gate: &Gate,
    answers: bool,
    mut held: bool,
    heard: Option<(usize, Lines)>,
) {
    let mut buffer = vec![0; 16 * 1024];
    let mut line = Vec::new();
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else { return };
        held |= gate.mute();
        gate.until(|g| !g.mute()).await;
        // What its sender has called off meanwhile never comes: on a network the end would be right behind it.
        if std::mem::take(&mut held) && gone(&mut from).await {
            return;
        }
        let takes_ms = gate.takes_ms(read, answers);
        if takes_ms > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(takes_ms / 1000.0)).await;
        }
        let breaks = gate.breaks(answers);
        let passed = if breaks { read - 1 } else { read };
        if to.write_all(&buffer[..passed]).await.is_err() || breaks {
            return;
        }
        let Some((number, lines)) = &heard else { continue };
        for byte in &buffer[..passed] {
            if *byte == b'\n' {
                let _ =
                    lines.send((*number, String::from_utf8_lossy(&std::mem::take(&mut line)).into_owned()));
            } else if line.len() < MOST_LINE {
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

    /// A server that says back what it hears, behind a relay.
    async fn echo() -> Relay {
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
        let gate = Gate::new(draws::stream(1, "gate", 0));
        Relay::open("127.0.0.1:0".parse().expect("an address"), target, gate).await.expect("a relay")
    }

    async fn says(stream: &mut TcpStream, text: &[u8]) -> Option<Vec<u8>> {
        stream.write_all(text).await.ok()?;
        let mut back = vec![0; text.len()];
        stream.read_exact(&mut back).await.ok()?;
        Some(back)
    }

    #[test]
    fn an_open_gate_passes_all_and_a_refusing_one_no_new_connection() {
        on_sockets(async {
            let relay = echo().await;
            let mut stream = TcpStream::connect(relay.addr).await.expect("a connection");
            assert_eq!(says(&mut stream, b"hello").await.as_deref(), Some(&b"hello"[..]));
            relay.gate.begins(0, Wrong::Refuse);
            let mut refused = false;
            while !refused {
                refused = TcpStream::connect(relay.addr).await.is_err();
                tokio::task::yield_now().await;
            }
            assert_eq!(says(&mut stream, b"still").await.as_deref(), Some(&b"still"[..]));
            relay.gate.ends(0);
            while TcpStream::connect(relay.addr).await.is_err() {
                tokio::task::yield_now().await;
            }
        });
    }

    #[test]
    fn a_mute_way_says_nothing_until_it_is_let_go() {
        on_sockets(async {
            let relay = echo().await;
            relay.gate.begins(0, Wrong::Mute);
            let mut stream = TcpStream::connect(relay.addr).await.expect("it accepts");
            let waits = says(&mut stream, b"hello");
            assert!(tokio::time::timeout(Duration::from_millis(100), waits).await.is_err());
            relay.gate.ends(0);
            let mut back = [0; 5];
            stream.read_exact(&mut back).await.expect("let go late, not lost");
            assert_eq!(&back, b"hello");
        });
    }

    #[test]
    fn what_is_called_off_while_a_way_is_mute_never_arrives() {
        on_sockets(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let target = listener.local_addr().expect("an address");
            let gate = Gate::new(draws::stream(1, "gate", 0));
            let relay =
                Relay::open("127.0.0.1:0".parse().expect("an address"), target, gate).await.expect("a relay");
            let mut stream = TcpStream::connect(relay.addr).await.expect("a connection");
            let (mut behind, _) = listener.accept().await.expect("passed on");
            relay.gate.begins(0, Wrong::Mute);
            stream.write_all(b"hello").await.expect("written");
            drop(stream);
            tokio::time::sleep(Duration::from_millis(50)).await;
            relay.gate.ends(0);
            let mut came = Vec::new();
            let _ = behind.read_to_end(&mut came).await;
            assert!(came.is_empty(), "{came:?}");
        });
    }

    #[test]
    fn what_breaks_off_lacks_its_last_byte() {
        on_sockets(async {
            let relay = echo().await;
            relay.gate.begins(0, Wrong::Break { share: 1.0, answers: false });
            let mut stream = TcpStream::connect(relay.addr).await.expect("a connection");
            stream.write_all(b"hello").await.expect("written");
            let mut back = Vec::new();
            let _ = stream.read_to_end(&mut back).await;
            assert!(back.len() < 5, "{back:?}");
        });
    }

    #[test]
    fn lines_are_told_when_they_have_been_passed_on_and_a_broken_one_never() {
        on_sockets(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let target = listener.local_addr().expect("an address");
            let gate = Gate::new(draws::stream(1, "gate", 0));
            let (say, mut heard) = mpsc::unbounded_channel();
            let at = "127.0.0.1:0".parse().expect("an address");
            let relay = Relay::open_heard(at, target, gate, Some((7, say))).await.expect("a relay");
            let mut stream = TcpStream::connect(relay.addr).await.expect("a connection");
            let (mut behind, _) = listener.accept().await.expect("passed on");
            behind.write_all(b"one\ntw").await.expect("written");
            assert_eq!(heard.recv().await, Some((7, "one".to_string())));
            relay.gate.begins(0, Wrong::Break { share: 1.0, answers: true });
            behind.write_all(b"o\n").await.expect("written");
            let mut came = Vec::new();
            let _ = stream.read_to_end(&mut came).await;
            assert_eq!((came.as_slice(), heard.try_recv().is_err()), (&b"one\ntwo"[..], true));
        });
    }

    #[test]
    fn held_answers_and_a_trickle_take_their_time() {
        on_sockets(async {
            let relay = echo().await;
            let took = |from: std::time::Instant| from.elapsed().as_secs_f64() * 1000.0;
            let mut stream = TcpStream::connect(relay.addr).await.expect("a connection");
            relay.gate.begins(0, Wrong::Hold([80.0, 80.0]));
            let from = std::time::Instant::now();
            assert!(says(&mut stream, b"hello").await.is_some() && took(from) >= 80.0);
            relay.gate.ends(0);
            relay.gate.begins(1, Wrong::Trickle(100.0));
            let from = std::time::Instant::now();
            // Five bytes each way at 100 a second.
            assert!(says(&mut stream, b"hello").await.is_some() && took(from) >= 99.0);
        });
    }
}
