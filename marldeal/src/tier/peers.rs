//! Datagrams between limiters.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::driver::{Driver, MAX_DATAGRAM_BYTES};

/// Passes messages from peers to the driver until the peer socket is closed. Datagrams from unknown senders and
/// oversized datagrams are ignored.
pub async fn listen(driver: Rc<Driver>, socket: Rc<UdpSocket>) {
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            () = driver.peer_socket_closed.notified() => return,
        };
        match received {
            Ok((length, sender)) if length <= MAX_DATAGRAM_BYTES => {
                if let Some(from) = position(&driver.config.peers, sender) {
                    driver.receive_peer_message(from, buffer[..length].to_vec());
                }
            }
            Ok(_) => {}
            // An unreachable peer surfaces as an error of the next receive. Nothing is lost by going on.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(1)).await,
        }
    }
}

fn position(peers: &[SocketAddr], sender: SocketAddr) -> Option<u32> {
    peers.iter().position(|p| *p == sender).and_then(|at| u32::try_from(at).ok())
}
