//! Messages between limiters: the socket for datagrams, and what is sent and received over it.

use std::rc::Rc;

use bytes::Bytes;
use marldeal_engine::Input;
use tokio::net::UdpSocket;

use super::{Driver, LinkRole};
use crate::upgrade::frame::LinkMessage;

/// Longest datagram between limiters, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

impl Driver {
    /// Binds the address for messages from peers, if one is configured.
    ///
    /// # Errors
    /// The address cannot be bound, for instance because another process holds it.
    pub async fn open_peer_socket(&self) -> std::io::Result<Option<Rc<UdpSocket>>> {
        let Some(at) = self.config.peer_listen else { return Ok(None) };
        let socket = Rc::new(UdpSocket::bind(at).await?);
        *self.peer_socket.borrow_mut() = Some(socket.clone());
        Ok(Some(socket))
    }

    /// Stops sending and receiving messages between peers: no quota is granted to peers from here on.
    pub fn close_peer_socket(&self) {
        drop(self.peer_socket.borrow_mut().take());
        self.peer_socket_closed.notify_waiters();
    }

    /// Handles a message from a peer.
    pub fn receive_peer_message(self: &Rc<Self>, from: u32, body: Vec<u8>) {
        self.pass_to_predecessor(from, &body);
        let mut state = self.state.borrow_mut();
        self.handle_input(&mut state, Input::MessageReceived { from, body });
        self.execute_outputs(&mut state, None);
    }

    /// Sends a datagram to one peer or to all. It is dropped if the socket's buffer is full, as any datagram may
    /// be lost. A process that has handed over sends it through its successor.
    pub(super) fn send_to_peer(&self, to: Option<u32>, body: &[u8]) {
        if body.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        let Some(socket) = self.peer_socket.borrow().clone() else {
            if to.is_some() {
                let message = LinkMessage { peer: to, body: Bytes::copy_from_slice(body) };
                self.links.borrow_mut().send(LinkRole::Successor, message);
            }
            return;
        };
        let address = match to {
            Some(position) => self.config.peers.get(position as usize).copied(),
            None => self.config.peers_all,
        };
        if let Some(address) = address {
            let _ = socket.try_send_to(body, address);
        }
    }
}
