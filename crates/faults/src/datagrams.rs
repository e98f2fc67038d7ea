//! The relay between limiters: one face for each, a socket whose address its peer_addrs know it by.
//!
//! A limiter sends to a peer's face; the face tells by the sender's address which ordered pair it is, asks
//! [`Post`](marldeal_rehearsal::post::Post) what becomes of the datagram, and the sender's own face forward it on, so that
//! the receiver sees the address that stands in its `peer_addrs`. One socket a limiter, not one a pair.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fawnhill::Millis;
use marldeal_rehearsal::draws::{self, Stream};
use marldeal_rehearsal::post::Post;
use marldeal_rehearsal::scenario::Scenario;
use tokio::net::UdpSocket;

use crate::processes::loopback_address;
use crate::tasks::spawn_local;

/// Longest datagram that the platform lets through.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Datagrams so far.
#[derive(Debug, Clone, Default)]
pub struct DatagramCounts {
    /// By sender.
    pub sent: Vec<u64>,
    /// By receiver.
    pub received: Vec<u64>,
    /// That never arrived: lost, cut off, or beyond what the receiver may take in.
    pub lost: u64,
    /// Longer than the platform lets through.
    pub too_long: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// The relay.
pub struct DatagramProxy {
    sockets: Vec<UdpSocket>,
    broadcast: UdpSocket,
    /// Where each limiter really listens.
    limiter_addrs: Vec<SocketAddr>,
    index_by_addr: HashMap<SocketAddr, usize>,
    /// What becomes of datagrams now.
    pub network: RefCell<Post>,
    rng: RefCell<Stream>,
    counts: RefCell<DatagramCounts>,
    clock: Box<dyn Fn() -> Millis>,
    observer: RefCell<Option<Observer>>,
}

/// Is notify_observer of each datagram: from whom, to whom, whether it was delivered to its receiver or taken from its sender, its bytes.
pub type Observer = Box<dyn Fn(usize, usize, bool, &[u8])>;

impl DatagramProxy {
    /// Faces for all limiters of a scenario, of which `limiter_addrs` says where each listens; `clock` gives the milliseconds.
    ///
    /// # Errors
    /// One plain line.
    pub async fn open(
        scenario: &Scenario,
        seed: u64,
        limiter_addrs: Vec<SocketAddr>,
        clock: impl Fn() -> Millis + 'static,
    ) -> Result<Rc<DatagramProxy>, String> {
        let no = |e: std::io::Error| format!("no face for datagrams: {e}");
        let mut sockets = Vec::new();
        for n in 0..limiter_addrs.len() {
            sockets.push(UdpSocket::bind((loopback_address(13, n), 0)).await.map_err(no)?);
        }
        let broadcast = UdpSocket::bind((loopback_address(12, 0), 0)).await.map_err(no)?;
        let counts = DatagramCounts {
            sent: vec![0; limiter_addrs.len()],
            received: vec![0; limiter_addrs.len()],
            ..DatagramCounts::default()
        };
        let proxy = Rc::new(DatagramProxy {
            index_by_addr: limiter_addrs.iter().enumerate().map(|(n, at)| (*at, n)).collect(),
            network: RefCell::new(Post::new(scenario, clock())),
            rng: RefCell::new(draws::stream(seed, "mail", 0)),
            counts: RefCell::new(counts),
            clock: Box::new(clock),
            observer: RefCell::default(),
            sockets,
            broadcast,
            limiter_addrs,
        });
        for to in 0..proxy.sockets.len() {
            spawn_local(proxy.clone().serve(Some(to)));
        }
        spawn_local(proxy.clone().serve(None));
        Ok(proxy)
    }

    /// The addresses by which limiters know one another.
    ///
    /// # Errors
    /// One plain line.
    pub fn peer_addrs(&self) -> Result<Vec<SocketAddr>, String> {
        let all: Result<Vec<_>, _> = self.sockets.iter().map(UdpSocket::local_addr).collect();
        all.map_err(|e| format!("no face for datagrams: {e}"))
    }

    /// The address that reaches all.
    ///
    /// # Errors
    /// One plain line.
    pub fn broadcast_addr(&self) -> Result<SocketAddr, String> {
        self.broadcast.local_addr().map_err(|e| format!("no face for datagrams: {e}"))
    }

    /// From now on this is notify_observer of all datagrams.
    pub fn set_observer(&self, by: Observer) {
        *self.observer.borrow_mut() = Some(by);
    }

    fn notify_observer(&self, from: usize, to: usize, delivered: bool, body: &[u8]) {
        if let Some(observer) = &*self.observer.borrow() {
            observer(from, to, delivered, body);
        }
    }

    /// What has gone through.
    pub fn counts(&self) -> DatagramCounts {
        self.counts.borrow().clone()
    }

    /// Takes in what is sent to one face, or to that of all.
    async fn serve(self: Rc<Self>, to: Option<usize>) {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
        let socket = to.map_or(&self.broadcast, |to| &self.sockets[to]);
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => {
                    // Strangers are passed over, as a limiter does.
                    let Some(from) = self.index_by_addr.get(&sender).copied() else { continue };
                    if length > MAX_DATAGRAM_BYTES {
                        self.counts.borrow_mut().too_long += 1;
                        continue;
                    }
                    match to {
                        Some(to) => self.forward(from, to, &buffer[..length]),
                        None => (0..self.sockets.len())
                            .filter(|to| *to != from)
                            .for_each(|to| self.forward(from, to, &buffer[..length])),
                    }
                }
                // A peer that is down shows up as an error of the next receive.
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }

    fn forward(self: &Rc<Self>, from: usize, to: usize, body: &[u8]) {
        self.notify_observer(from, to, false, body);
        let mut arrivals = Vec::new();
        self.network.borrow().arrivals(from, to, &mut self.rng.borrow_mut(), &mut arrivals);
        let mut counts = self.counts.borrow_mut();
        counts.sent[from] += 1;
        counts.bytes += body.len() as u64;
        counts.lost += u64::from(arrivals.is_empty());
        for arrival in arrivals {
            let (proxy, body) = (self.clone(), arrival.body(body.to_vec()));
            spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(arrival.after_ms / 1000.0)).await;
                let takes = proxy.network.borrow_mut().takes_in((proxy.clock)(), to);
                // Told first: its answer may be back before this goes on.
                if takes {
                    proxy.notify_observer(from, to, true, &body);
                }
                let mut counts = proxy.counts.borrow_mut();
                if takes && proxy.sockets[from].try_send_to(&body, proxy.limiter_addrs[to]).is_ok() {
                    counts.received[to] += 1;
                } else {
                    counts.lost += 1;
                }
            });
        }
    }
}
