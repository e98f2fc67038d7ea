//! What the faults planted in the engine do (`fawnhill::planted`): nothing of it happens without the feature.

use std::collections::HashMap;

use fawnhill::planted::{self, Fault};
use fawnhill::{Event, Millis, RequestId};

use crate::Due;
use crate::{Engine, Out, Output};

/// By peer: when it was last heard, and what it said of late.
pub type Echoes = HashMap<u32, (Millis, Vec<Vec<u8>>)>;

/// A peer that was not heard for so long has been away.
const AWAY_MS: Millis = 1000.0;
const MOST_ECHOES: usize = 32;
/// A request that is so long past its deadline was stopped past it.
const STOPPED_MS: Millis = 100.0;
/// How long it then goes on.
const GOES_ON_MS: Millis = 1000.0;

impl Engine {
    /// What was heard of a peer before it fell silent is heard again.
    pub(crate) fn echo(&mut self, now: Millis, from: u32, body: &[u8]) {
        let (at, kept) = self.echoes.entry(from).or_default();
        if now - *at > AWAY_MS {
            self.events.extend(kept.drain(..).map(|body| Event::MessageReceived { from, body }));
        }
        *at = now;
        kept.push(body.to_vec());
        if kept.len() > MOST_ECHOES {
            kept.remove(0);
        }
    }

    /// A request that was stopped past its deadline is sent on.
    pub(crate) fn thaws(&self, now: Millis, id: RequestId) -> bool {
        let stopped = || self.open.get(&id).is_some_and(|o| now - o.deadline > STOPPED_MS);
        planted::is_active(Fault::Thaw) && stopped()
    }

    /// Sends it to the first server that takes work.
    pub(crate) fn thaw(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let server = self.servers.iter().find(|(_, takes)| **takes).map(|(server, _)| server.clone());
        let Some((open, server)) = self.open.get_mut(&id).zip(server) else { return };
        (open.deadline, open.out) = (now + GOES_ON_MS, true);
        let (attempt, deadline) = (open.attempts, open.deadline);
        open.attempts += 1;
        self.out.insert((id, attempt), Out { sent: now, began: None, deadline });
        self.timers.push(deadline, Due::Deadline(id));
        out.push(Output::Send { id, attempt, server, deadline });
    }
}
