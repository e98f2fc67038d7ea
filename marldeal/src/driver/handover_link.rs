//! Messages between two processes of one limiter during a hand-over. The process that has handed over has no socket for
//! peers any more, so that its messages to peers, and the peers' replies, pass through its successor.

use std::rc::Rc;

use bytes::Bytes;
use marldeal_engine::Input;
use tokio::sync::mpsc;

use super::Driver;
use crate::upgrade::frame::LinkMessage;

/// The other process on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkRole {
    /// It hands over to this process.
    Predecessor,
    /// This process hands over to it.
    Successor,
}

/// The links of a process. Between two upgrades it may have both.
#[derive(Debug, Default)]
pub(super) struct HandoverLinks {
    predecessor: Option<mpsc::UnboundedSender<LinkMessage>>,
    successor: Option<mpsc::UnboundedSender<LinkMessage>>,
}

impl HandoverLinks {
    fn link(&mut self, role: LinkRole) -> &mut Option<mpsc::UnboundedSender<LinkMessage>> {
        match role {
            LinkRole::Predecessor => &mut self.predecessor,
            LinkRole::Successor => &mut self.successor,
        }
    }

    /// Sends a message to one of the other processes. It is dropped if there is none, as any message may be lost.
    pub(super) fn send(&mut self, role: LinkRole, message: LinkMessage) {
        if let Some(link) = self.link(role) {
            let _ = link.send(message);
        }
    }
}

impl Driver {
    /// Sends messages to the other process through `link` from now on.
    pub fn connect_link(&self, role: LinkRole, link: mpsc::UnboundedSender<LinkMessage>) {
        *self.links.borrow_mut().link(role) = Some(link);
    }

    /// Drops messages to the other process from now on.
    pub fn disconnect_link(&self, role: LinkRole) {
        *self.links.borrow_mut().link(role) = None;
    }

    /// Handles a message from the other process: one of its decision module, one that it has received from a peer for
    /// this process, or one that it sends to a peer through this process.
    pub fn receive_link_message(self: &Rc<Self>, from: LinkRole, message: LinkMessage) {
        match (message.peer, from) {
            (None, _) => {
                let mut state = self.state.borrow_mut();
                self.handle_input(&mut state, Input::HandoverMessage { body: message.body.into() });
                self.execute_outputs(&mut state, None);
            }
            (Some(peer), LinkRole::Successor) => self.receive_peer_message(peer, message.body.into()),
            (Some(peer), LinkRole::Predecessor) => self.send_to_peer(Some(peer), &message.body),
        }
    }

    /// Sends a message of the decision module to the other process: to the successor, or else to the predecessor.
    pub(super) fn send_handover_message(&self, body: Vec<u8>) {
        let mut links = self.links.borrow_mut();
        let role = match links.successor {
            Some(_) => LinkRole::Successor,
            None => LinkRole::Predecessor,
        };
        links.send(role, LinkMessage { peer: None, body: body.into() });
    }

    /// Passes a message from a peer on to the predecessor, whose requests it may concern.
    pub(super) fn pass_to_predecessor(&self, from: u32, body: &[u8]) {
        let mut links = self.links.borrow_mut();
        if links.predecessor.is_some() {
            let message = LinkMessage { peer: Some(from), body: Bytes::copy_from_slice(body) };
            links.send(LinkRole::Predecessor, message);
        }
    }
}
