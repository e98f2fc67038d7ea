//! The server list in the format of the discovery service, and the address of that service.

use std::cell::Cell;
use std::net::SocketAddr;

use fawnhill::{Condition, ServerEntry};
use fawnhill_wirehost::wire::Names;
use serde::Deserialize;
use tokio::sync::Notify;

/// A server list, or changes to one, as the discovery service sends it.
#[derive(Deserialize, Clone)]
pub struct ServerList {
    /// Version number of the list.
    pub version: u64,
    #[serde(default)]
    full: bool,
    servers: Vec<serde_json::Value>,
}

impl ServerList {
    /// Marks the list as complete, as the list that is known at the start is.
    pub fn set_full(&mut self) {
        self.full = true;
    }
}

/// Maximum number of servers kept. Bounds the memory that a faulty discovery service can take.
pub const MAX_SERVERS: usize = 10_000;
/// Maximum length of a server's id in bytes; the same bound for the same reason.
const MAX_ID_LEN: usize = 256;
/// Maximum number of invalid entries of one list that are logged one by one.
const MAX_NOTES: usize = 8;

/// One entry of a server list.
#[derive(Deserialize, Clone)]
struct Line {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    state: String,
    weight: Option<f64>,
    #[serde(default)]
    started_ms: f64,
}

/// A server list converted to the types of the decision module, with the addresses of the servers.
pub struct ServerUpdate {
    /// True if the entries are all servers, false if they are changes to the previous list.
    pub full: bool,
    /// The servers and the addresses on which they listen.
    pub entries: Vec<(ServerEntry, SocketAddr)>,
}

/// Converts a server list, and returns a log line for each invalid entry, which is skipped. The clock of the decision
/// module counts Unix time, so start times need no conversion.
pub fn server_update(list: ServerList, names: &Names) -> (ServerUpdate, Vec<String>) {
    let mut notes = Vec::new();
    let mut skipped = 0;
    let mut skip = |reason: String| {
        skipped += 1;
        if skipped <= MAX_NOTES {
            notes.push(format!("discovery: skipped an invalid entry: {reason}"));
        }
    };
    let entry = |value: serde_json::Value| {
        // An invalid entry must not invalidate the others.
        let line: Line = match serde_json::from_value(value) {
            Ok(line) => line,
            Err(e) => {
                skip(e.to_string());
                return None;
            }
        };
        if line.id.len() > MAX_ID_LEN {
            skip(format!("its id has {} bytes, the maximum is {MAX_ID_LEN}", line.id.len()));
            return None;
        }
        let entry = ServerEntry {
            server: line.id.into(),
            // A zone that the settings do not name is not the zone of any limiter.
            zone: names.zone(&line.zone).unwrap_or(u32::MAX),
            cell: line.cell,
            condition: match line.state.as_str() {
                "active" => Condition::Serving,
                "left" => Condition::Gone,
                _ => Condition::Draining,
            },
            weight: line.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
            started: line.started_ms,
        };
        Some((entry, line.addr))
    };
    let entries = list.servers.into_iter().filter_map(entry).collect();
    if skipped > MAX_NOTES {
        notes.push(format!("discovery: skipped {} more invalid entries", skipped - MAX_NOTES));
    }
    (ServerUpdate { full: list.full, entries }, notes)
}

/// The address of the discovery service. A reload can change it; every address is a source with its own number.
pub struct DiscoverySource {
    /// Address of the current source.
    pub addr: Cell<SocketAddr>,
    /// Number of the current source.
    pub current: Cell<u32>,
    /// Number of the newest source that has sent a list.
    pub last_received: Cell<u32>,
    /// Notified when the source changes.
    pub changed: Notify,
}

impl DiscoverySource {
    /// Creates the first source, from which no list has been received yet.
    pub fn new(addr: SocketAddr) -> DiscoverySource {
        DiscoverySource {
            addr: Cell::new(addr),
            current: Cell::new(0),
            last_received: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Switches to another address. Returns false if it is the current one already.
    pub fn switch_to(&self, addr: SocketAddr) -> bool {
        let differs = self.addr.replace(addr) != addr;
        if differs {
            self.current.set(self.current.get() + 1);
            self.changed.notify_one();
        }
        differs
    }

    /// Whether the address has changed since the start.
    pub fn has_moved(&self) -> bool {
        self.current.get() > 0
    }

    /// Ends the watches of earlier sources, as if the current one had sent a list.
    pub fn forget_earlier(&self) {
        self.last_received.set(self.current.get());
    }
}
