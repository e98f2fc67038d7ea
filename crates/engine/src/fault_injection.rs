//! Effects of the faults that `fawnhill::planted` can inject into the engine. Without the feature `planted` none of
//! them occurs.

use std::collections::HashMap;

use fawnhill::planted::{self, Fault};
use fawnhill::{Event, Millis, RequestId};

use crate::Timer;
use crate::{Attempt, Engine, Output};

/// By peer: when its last message was received, and its recent messages.
pub type PeerHistory = HashMap<u32, (Millis, Vec<Vec<u8>>)>;

/// Silence of a peer after which its earlier messages are replayed.
const PEER_SILENCE_MS: Millis = 1000.0;
const MAX_REPLAYED_MESSAGES: usize = 32;
/// Time past the deadline of a request after which its limiter counts as having stalled.
const STALL_MS: Millis = 100.0;
/// Time allowed to the attempt that is sent after a stall.
const EXTENDED_DEADLINE_MS: Millis = 1000.0;

impl Engine {
    /// Records a message of a peer. After a silence of the peer, its messages from before the silence are received
    /// again.
    pub(crate) fn replay_messages(&mut self, now: Millis, from: u32, body: &[u8]) {
        let (at, messages) = self.peer_history.entry(from).or_default();
        if now - *at > PEER_SILENCE_MS {
            self.events.extend(messages.drain(..).map(|body| Event::MessageReceived { from, body }));
        }
        *at = now;
        messages.push(body.to_vec());
        if messages.len() > MAX_REPLAYED_MESSAGES {
            messages.remove(0);
        }
    }

    /// Returns whether the limiter stalled past the deadline of a request and the fault is active by which the request
    /// is sent all the same.
    pub(crate) fn sends_late(&self, now: Millis, id: RequestId) -> bool {
        let stalled = || self.requests.get(&id).is_some_and(|r| now - r.deadline > STALL_MS);
        planted::is_active(Fault::Thaw) && stalled()
    }

    /// Sends a request to the first server that accepts requests, past its deadline.
    pub(crate) fn send_late(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let server = self.servers.iter().find(|(_, accepts)| **accepts).map(|(server, _)| server.clone());
        let Some((request, server)) = self.requests.get_mut(&id).zip(server) else { return };
        (request.deadline, request.outstanding) = (now + EXTENDED_DEADLINE_MS, true);
        let (attempt, deadline) = (request.attempt_count, request.deadline);
        request.attempt_count += 1;
        self.attempts.insert((id, attempt), Attempt { sent: now, streaming_since: None, deadline });
        self.timers.push(deadline, Timer::Deadline(id));
        out.push(Output::Send { id, attempt, server, deadline });
    }
}
