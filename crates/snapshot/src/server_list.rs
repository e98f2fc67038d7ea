//! The list of servers that a process passes to its successor, and which of two lists binds.
//!
//! What a limiter has been told of its servers binds it whichever of its processes was told: a server that drains gets no new
//! request from the successor either, also while discovery is silent. The successor starts with the list of its
//! configuration, which may be older.

use std::net::SocketAddr;

use fawnhill::{Condition, Millis, ServerEntry};
use serde::{Deserialize, Serialize};

/// Where a list comes from, and its version there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListOrigin {
    /// Address of the discovery service.
    pub source: SocketAddr,
    /// Version of the list. Versions of different sources are not comparable.
    pub version: u64,
    /// Discovery has sent the list, or a change to it; otherwise it is the configuration's.
    pub from_discovery: bool,
}

impl ListOrigin {
    /// Whether this list of a predecessor is newer than the own one. Of the lists of one source that is the one with the
    /// higher version; of two sources, one that discovery has sent is newer than one that stands in the configuration.
    pub fn supersedes(&self, own: Option<&ListOrigin>) -> bool {
        let Some(own) = own else { return true };
        if self.source == own.source {
            return self.version > own.version;
        }
        self.from_discovery && !own.from_discovery
    }
}

/// One server of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Id of the server.
    pub id: String,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Index of its zone.
    pub zone: u32,
    /// Number of its cell.
    pub cell: u32,
    /// Relative share of requests.
    pub weight: f64,
    /// When it last started, as discovery reports it: Unix time in milliseconds, 0 for long ago.
    pub started: Millis,
    /// How long ago it was told that the server drains; none if the server accepts requests.
    pub draining_for_ms: Option<Millis>,
}

impl ListedServer {
    /// The entry for the decision module.
    pub fn entry(&self) -> ServerEntry {
        ServerEntry {
            server: self.id.as_str().into(),
            zone: self.zone,
            cell: self.cell,
            condition: match self.draining_for_ms {
                Some(_) => Condition::Draining,
                None => Condition::Serving,
            },
            weight: self.weight,
            started: self.started,
        }
    }
}

/// All servers that a process knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    /// Where the list comes from.
    pub origin: ListOrigin,
    /// The writer has moved to another discovery service since its start, when its configuration was reloaded.
    pub source_moved: bool,
    /// Time since discovery last sent the list or a change to it, in milliseconds.
    pub age_ms: Millis,
    /// The servers. Those that are gone are not among them.
    pub servers: Vec<ListedServer>,
}

impl ServerList {
    /// Brings the list forward by `elapsed_ms`.
    pub(crate) fn advance(&mut self, elapsed_ms: Millis) {
        self.age_ms += elapsed_ms;
        for server in &mut self.servers {
            server.draining_for_ms = server.draining_for_ms.map(|ms| ms + elapsed_ms);
        }
    }

    /// Checks that all numbers are finite.
    pub(crate) fn is_finite(&self) -> bool {
        let finite = |server: &ListedServer| {
            server.weight.is_finite()
                && server.started.is_finite()
                && server.draining_for_ms.is_none_or(f64::is_finite)
        };
        self.age_ms.is_finite() && self.servers.iter().all(finite)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn origin(port: u16, version: u64, from_discovery: bool) -> ListOrigin {
        ListOrigin { source: SocketAddr::from(([127, 0, 0, 1], port)), version, from_discovery }
    }

    /// Guards against an old list that takes the place of a newer one.
    #[test]
    fn the_newer_list_binds() {
        let (configured, heard) = (|version| origin(1, version, false), |version| origin(1, version, true));
        assert!(heard(1).supersedes(None), "any list is newer than none");
        assert!(heard(2).supersedes(Some(&configured(1))));
        assert!(heard(2).supersedes(Some(&heard(1))), "the predecessor was told more");
        assert!(!heard(1).supersedes(Some(&heard(2))), "this process was told more");
        assert!(!heard(1).supersedes(Some(&configured(2))), "the configuration is newer");
        assert!(!heard(2).supersedes(Some(&heard(2))), "the same list");
        let elsewhere = |from_discovery| origin(2, 1, from_discovery);
        assert!(elsewhere(true).supersedes(Some(&configured(9))), "versions of two sources do not compare");
        assert!(!elsewhere(true).supersedes(Some(&heard(1))), "the own source has been heard");
        assert!(!elsewhere(false).supersedes(Some(&configured(1))));
    }
}
