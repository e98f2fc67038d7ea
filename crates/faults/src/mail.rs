//! The relay between limiters: one face for each, a socket whose address its peers know it by.
//!
//! A limiter sends to a peer's face; the face tells by the sender's address which ordered pair it is, asks
//! [`Post`](marldeal_rehearsal::post::Post) what becomes of the datagram, and the sender's own face passes it on, so that
//! the receiver sees the address that stands in its `peers`. One socket a limiter, not one a pair.

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

use crate::processes::loopback;
use crate::tasks::spawn_local;

/// Longest datagram that the platform lets through.
const MOST: usize = 256;

/// Datagrams so far.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// By sender.
    pub sent: Vec<u64>,
    /// By receiver.
    pub heard: Vec<u64>,
    /// That never arrived: lost, cut off, or beyond what the receiver may take in.
    pub lost: u64,
    /// Longer than the platform lets through.
    pub too_long: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// The relay.
pub struct Mail {
    faces: Vec<UdpSocket>,
    all: UdpSocket,
    /// Where each limiter really listens.
    real: Vec<SocketAddr>,
    who: HashMap<SocketAddr, usize>,
    /// What becomes of datagrams now.
    pub post: RefCell<Post>,
    rng: RefCell<Stream>,
    counts: RefCell<Counts>,
    clock: Box<dyn Fn() -> Millis>,
    observer: RefCell<Option<Observer>>,
}

/// Is told of each datagram: from whom, to whom, whether it was given to its receiver or taken from its sender, its bytes.
pub type Observer = Box<dyn Fn(usize, usize, bool, &[u8])>;

impl Mail {
    /// Faces for all limiters of a scenario, of which `real` says where each listens; `clock` gives the milliseconds.
    ///
    /// # Errors
    /// One plain line.
    pub async fn open(
        scenario: &Scenario,
        seed: u64,
        real: Vec<SocketAddr>,
        clock: impl Fn() -> Millis + 'static,
    ) -> Result<Rc<Mail>, String> {
        let no = |e: std::io::Error| format!("no face for datagrams: {e}");
        let mut faces = Vec::new();
        for n in 0..real.len() {
            faces.push(UdpSocket::bind((loopback(13, n), 0)).await.map_err(no)?);
        }
        let all = UdpSocket::bind((loopback(12, 0), 0)).await.map_err(no)?;
        let counts = Counts { sent: vec![0; real.len()], heard: vec![0; real.len()], ..Counts::default() };
        let mail = Rc::new(Mail {
            who: real.iter().enumerate().map(|(n, at)| (*at, n)).collect(),
            post: RefCell::new(Post::new(scenario, clock())),
            rng: RefCell::new(draws::stream(seed, "mail", 0)),
            counts: RefCell::new(counts),
            clock: Box::new(clock),
            observer: RefCell::default(),
            faces,
            all,
            real,
        });
        for to in 0..mail.faces.len() {
            spawn_local(mail.clone().serve(Some(to)));
        }
        spawn_local(mail.clone().serve(None));
        Ok(mail)
    }

    /// The addresses by which limiters know one another.
    ///
    /// # Errors
    /// One plain line.
    pub fn peers(&self) -> Result<Vec<SocketAddr>, String> {
        let all: Result<Vec<_>, _> = self.faces.iter().map(UdpSocket::local_addr).collect();
        all.map_err(|e| format!("no face for datagrams: {e}"))
    }

    /// The address that reaches all.
    ///
    /// # Errors
    /// One plain line.
    pub fn everyone(&self) -> Result<SocketAddr, String> {
        self.all.local_addr().map_err(|e| format!("no face for datagrams: {e}"))
    }

    /// From now on this is told of all datagrams.
    pub fn observed(&self, by: Observer) {
        *self.observer.borrow_mut() = Some(by);
    }

    fn told(&self, from: usize, to: usize, given: bool, body: &[u8]) {
        if let Some(observer) = &*self.observer.borrow() {
            observer(from, to, given, body);
        }
    }

    /// What has gone through.
    pub fn counts(&self) -> Counts {
        self.counts.borrow().clone()
    }

    /// Takes in what is sent to one face, or to that of all.
    async fn serve(self: Rc<Self>, to: Option<usize>) {
        let mut buffer = [0u8; MOST + 1];
        let socket = to.map_or(&self.all, |to| &self.faces[to]);
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, sender)) => {
                    // Strangers are passed over, as a limiter does.
                    let Some(from) = self.who.get(&sender).copied() else { continue };
                    if length > MOST {
                        self.counts.borrow_mut().too_long += 1;
                        continue;
                    }
                    match to {
                        Some(to) => self.passes(from, to, &buffer[..length]),
                        None => (0..self.faces.len())
                            .filter(|to| *to != from)
                            .for_each(|to| self.passes(from, to, &buffer[..length])),
                    }
                }
                // A peer that is down shows up as an error of the next receive.
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }

    fn passes(self: &Rc<Self>, from: usize, to: usize, body: &[u8]) {
        self.told(from, to, false, body);
        let mut arrivals = Vec::new();
        self.post.borrow().arrivals(from, to, &mut self.rng.borrow_mut(), &mut arrivals);
        let mut counts = self.counts.borrow_mut();
        counts.sent[from] += 1;
        counts.bytes += body.len() as u64;
        counts.lost += u64::from(arrivals.is_empty());
        for arrival in arrivals {
            let (mail, body) = (self.clone(), arrival.body(body.to_vec()));
            spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(arrival.after_ms / 1000.0)).await;
                let takes = mail.post.borrow_mut().takes_in((mail.clock)(), to);
                // Told first: its answer may be back before this goes on.
                if takes {
                    mail.told(from, to, true, &body);
                }
                let mut counts = mail.counts.borrow_mut();
                if takes && mail.faces[from].try_send_to(&body, mail.real[to]).is_ok() {
                    counts.heard[to] += 1;
                } else {
                    counts.lost += 1;
                }
            });
        }
    }
}
