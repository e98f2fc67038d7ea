//! The list of servers as discovery words it, and where discovery is.

use std::cell::Cell;
use std::net::SocketAddr;

use fawnhill::{Condition, ServerEntry};
use fawnhill_wirehost::wire::Names;
use serde::Deserialize;
use tokio::sync::Notify;

/// A list of servers or of changes to it.
#[derive(Deserialize, Clone)]
pub struct ServerList {
    /// Its number.
    pub version: u64,
    #[serde(default)]
    full: bool,
    servers: Vec<serde_json::Value>,
}

impl ServerList {
    /// Counts as the whole list, as what a start finds does.
    pub fn set_full(&mut self) {
        self.full = true;
    }
}

/// Most servers kept, and longest name of one: what a discovery gone wrong may cost.
pub const MAX_SERVERS: usize = 10_000;
const MOST_ID: usize = 256;
/// Entries of one list that are spoken of in the log one by one.
const MOST_NOTES: usize = 8;

/// One server of a list.
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

/// A list in the module's terms, with the servers' addresses.
pub struct ServerUpdate {
    /// All servers, not only changes.
    pub full: bool,
    /// The servers and where they listen.
    pub entries: Vec<(ServerEntry, SocketAddr)>,
}

/// A list in the module's terms, and a note on each entry that makes no sense. The module's clock counts Unix time,
/// so that starts need no conversion.
pub fn server_update(list: ServerList, names: &Names) -> (ServerUpdate, Vec<String>) {
    let mut notes = Vec::new();
    let mut passed_over = 0;
    let mut pass_over = |why: String| {
        passed_over += 1;
        if passed_over <= MOST_NOTES {
            notes.push(format!("discovery: an entry was passed over: {why}"));
        }
    };
    let entry = |value: serde_json::Value| {
        // One entry that makes no sense must not cost the others.
        let line: Line = match serde_json::from_value(value) {
            Ok(line) => line,
            Err(e) => {
                pass_over(e.to_string());
                return None;
            }
        };
        if line.id.len() > MOST_ID {
            pass_over(format!("its id has {} bytes, {MOST_ID} at most", line.id.len()));
            return None;
        }
        let entry = ServerEntry {
            server: line.id.into(),
            // A zone that the settings do not name is no limiter's own.
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
    if passed_over > MOST_NOTES {
        notes.push(format!("discovery: {} more entries were passed over", passed_over - MOST_NOTES));
    }
    (ServerUpdate { full: list.full, entries }, notes)
}

/// Where discovery is. A reload may name another place; each place is a source with a number of its own.
pub struct DiscoverySource {
    /// Where the newest source is.
    pub addr: Cell<SocketAddr>,
    /// Its number.
    pub current: Cell<u32>,
    /// The newest that has told a list.
    pub last_received: Cell<u32>,
    /// There is a newer source.
    pub changed: Notify,
}

impl DiscoverySource {
    /// One source, that has told nothing.
    pub fn new(addr: SocketAddr) -> DiscoverySource {
        DiscoverySource {
            addr: Cell::new(addr),
            current: Cell::new(0),
            last_received: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Watches there from now on; false if that is so already.
    pub fn switch_to(&self, addr: SocketAddr) -> bool {
        let other = self.addr.replace(addr) != addr;
        if other {
            self.current.set(self.current.get() + 1);
            self.changed.notify_one();
        }
        other
    }
}
