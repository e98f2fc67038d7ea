//! Loopback addresses that are known before anything listens on them.
//!
//! Limiters have to know each other's addresses before any of them listens. An address that a socket was bound to and
//! closed again is no such address: a process that another thread starts holds a copy of the socket until it runs its
//! own program, so that the address may still be in use. These addresses are derived from the process id instead, and
//! no socket is opened for them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// First of the ports. With [`PORTS`] they end below the range from which kernels choose ports by themselves, which
/// begins at 32,768 on Linux.
const FIRST_PORT: u32 = 10_000;
/// Ports among which processes are spread by their ids.
const PORTS: u32 = 20_000;
/// Second octet of the first of the networks 127.N.0.0/16; those below it are for other kinds of sockets.
const FIRST_NETWORK: u32 = 32;
/// Calls of one process after which a network is used again.
const NETWORKS: u32 = 200;
/// Addresses of a network whose last octet is used, so that none ends in 0 or 255.
const HOSTS_PER_OCTET: usize = 250;

/// Returns so many addresses at which nothing listens. Each call of a process gets a network of its own, each process a
/// port of its own.
pub fn unused_addresses(count: usize) -> Vec<SocketAddr> {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let network = (FIRST_NETWORK + call % NETWORKS) as u8;
    let port = (FIRST_PORT + std::process::id() % PORTS) as u16;
    (0..count).map(|number| SocketAddr::from((loopback_address(network, number), port))).collect()
}

/// Returns the loopback address of that number in the network 127.`network`.0.0/16.
pub fn loopback_address(network: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, network, (number / HOSTS_PER_OCTET) as u8, (number % HOSTS_PER_OCTET + 1) as u8)
}
