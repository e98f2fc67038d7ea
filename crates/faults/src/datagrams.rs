//! Proxy for datagrams between limiters. Each limiter is known to its peers by a socket of the proxy.
//!
//! A limiter sends to a peer's proxy socket. The proxy identifies the sender by its address, asks [`Network`] what
//! becomes of the datagram, and forwards it from the sender's proxy socket, so that the receiver sees the address
//! that stands in its `peers`. This takes one socket for each limiter, not one for each pair.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fawnhill::Millis;
use marldeal_rehearsal::draws::{self, Stream};
use marldeal_rehearsal::network::Network;
use marldeal_rehearsal::scenario::Scenario;
use marldeal_standin::addresses::loopback_address;
use tokio::net::UdpSocket;

use crate::tasks::spawn_local;

/// Longest datagram that the platform delivers.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Counts of datagrams.
#[derive(Debug, Clone, Default)]
pub struct DatagramCounts {
    /// Datagrams sent, by sender.
    pub sent: Vec<u64>,
    /// Datagrams received, by receiver.
    pub received: Vec<u64>,
    /// Datagrams that did not arrive: lost, cut off, or above the rate that the receiver may take in.
    pub lost: u64,
    /// Datagrams longer than the platform delivers.
    pub too_long: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// The proxy.
pub struct DatagramProxy {
    sockets: Vec<UdpSocket>,
    broadcast: UdpSocket,
    /// Address at which each limiter listens.
    limiter_addrs: Vec<SocketAddr>,
    index_by_addr: HashMap<SocketAddr, usize>,
    /// Model that decides what becomes of each datagram.
    pub network: RefCell<Network>,
    rng: RefCell<Stream>,
    counts: RefCell<DatagramCounts>,
    clock: Box<dyn Fn() -> Millis>,
    observer: RefCell<Option<Observer>>,
}

/// Called for each datagram with the sender, the receiver, whether it was delivered (`true`) or sent (`false`),
/// and its bytes.
pub type Observer = Box<dyn Fn(usize, usize, bool, &[u8])>;

impl DatagramProxy {
    /// Opens sockets for all limiters of a scenario. `limiter_addrs` are the addresses at which they listen,
    /// `clock` returns the time in milliseconds.
    ///
    /// # Errors
    /// Says which socket could not be opened.
    pub async fn open(
        scenario: &Scenario,
        seed: u64,
        limiter_addrs: Vec<SocketAddr>,
        clock: impl Fn() -> Millis + 'static,
    ) -> Result<Rc<DatagramProxy>, String> {
        let socket_error = |e: std::io::Error| format!("cannot open a socket for datagrams: {e}");
        let mut sockets = Vec::new();
        for n in 0..limiter_addrs.len() {
            sockets.push(UdpSocket::bind((loopback_address(13, n), 0)).await.map_err(socket_error)?);
        }
        let broadcast = UdpSocket::bind((loopback_address(12, 0), 0)).await.map_err(socket_error)?;
        let counts = DatagramCounts {
            sent: vec![0; limiter_addrs.len()],
            received: vec![0; limiter_addrs.len()],
            ..DatagramCounts::default()
        };
        let proxy = Rc::new(DatagramProxy {
            index_by_addr: limiter_addrs.iter().enumerate().map(|(n, at)| (*at, n)).collect(),
            network: RefCell::new(Network::new(scenario, clock())),
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

    /// Returns the addresses by which limiters know one another.
    ///
    /// # Errors
    /// The address of a socket cannot be read.
    pub fn peer_addrs(&self) -> Result<Vec<SocketAddr>, String> {
        let all: Result<Vec<_>, _> = self.sockets.iter().map(UdpSocket::local_addr).collect();
        all.map_err(|e| format!("cannot read the address of a datagram socket: {e}"))
    }

    /// Returns the address that reaches all limiters.
    ///
    /// # Errors
    /// The address of the socket cannot be read.
    pub fn broadcast_addr(&self) -> Result<SocketAddr, String> {
        self.broadcast.local_addr().map_err(|e| format!("cannot read the address of a datagram socket: {e}"))
    }

    /// Sets the observer of all datagrams from now on.
    pub fn set_observer(&self, observer: Observer) {
        *self.observer.borrow_mut() = Some(observer);
    }

    fn notify_observer(&self, from: usize, to: usize, delivered: bool, body: &[u8]) {
        if let Some(observer) = &*self.observer.borrow() {
            observer(from, to, delivered, body);
        }
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> DatagramCounts {
        self.counts.borrow().clone()
    }

    /// Receives what is sent to one limiter's proxy socket, or to the broadcast socket.
    async fn serve(self: Rc<Self>, to: Option<usize>) {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
        let socket = to.map_or(&self.broadcast, |to| &self.sockets[to]);
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => {
                    // Datagrams from unknown senders are ignored, as a limiter ignores them.
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
                // A peer that is down shows as an error of the next receive.
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
                let takes = proxy.network.borrow_mut().accepts((proxy.clock)(), to);
                // The observer is notified first: the answer to a datagram may arrive before this task runs
                // again.
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
