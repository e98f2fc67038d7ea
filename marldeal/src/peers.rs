//! Datagrams between limiters.

use std::net::SocketAddr;
use std::rc::Rc;

use fawnhill::Event;
use tokio::net::UdpSocket;

use crate::driver::Driver;

/// Longest datagram that may be sent, and is taken in.
pub const MOST_BYTES: usize = 256;

/// Hands what peers tell to the module. Guards against strangers and oversized datagrams: both are ignored.
pub async fn listen(driver: Rc<Driver>, socket: Rc<UdpSocket>) {
    let mut buffer = [0u8; MOST_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) if length <= MOST_BYTES => {
                if let Some(from) = position(&driver.config.peers, sender) {
                    driver.event(Event::Heard { from, body: buffer[..length].to_vec() });
                }
            }
            Ok(_) => {}
            // An unreachable peer shows up as an error of the next receive: nothing is lost by going on.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(1)).await,
        }
    }
}

fn position(peers: &[SocketAddr], sender: SocketAddr) -> Option<u32> {
    peers.iter().position(|p| *p == sender).and_then(|at| u32::try_from(at).ok())
}

/// Sends a datagram; one that finds no room is lost, as any may be.
pub fn tell(socket: Option<&UdpSocket>, to: Option<SocketAddr>, body: &[u8]) {
    if let (Some(socket), Some(to), true) = (socket, to, body.len() <= MOST_BYTES) {
        let _ = socket.try_send_to(body, to);
    }
}
