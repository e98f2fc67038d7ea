//! The list of servers: the configuration's, discovery's, and what passes between two processes of this limiter.

use std::net::SocketAddr;
use std::rc::Rc;

use fawnhill::{Condition, ServerEntry};
use marldeal_engine::Input;
use marldeal_snapshot::server_list::{ListOrigin, ListedServer, ServerList};
use tracing::info;

use super::{Driver, ServerInstance, State};
use crate::settings::config::Config;
use crate::settings::server_list::{server_update, ServerUpdate, MAX_SERVERS};

impl Driver {
    /// Applies the list of the configuration, which may be old.
    pub(super) fn apply_configured_servers(self: &Rc<Self>) {
        let Some(mut known) = self.config.known_servers.clone() else { return };
        let origin =
            ListOrigin { source: self.config.discovery, version: known.version, from_discovery: false };
        self.record_origin(origin, self.now());
        known.set_full();
        let (update, notes) = server_update(known, &self.config.names);
        notes.iter().for_each(|note| info!("{note}"));
        self.apply_server_list(update);
    }

    /// Handles an update of the server list, of this version, from discovery at `source`.
    pub fn update_servers(self: &Rc<Self>, update: ServerUpdate, source: SocketAddr, version: u64) {
        let first = !self.list_received.replace(true);
        self.record_origin(ListOrigin { source, version, from_discovery: true }, self.now());
        self.apply_server_list(update);
        if first {
            self.phase_changed.notify_waiters();
        }
    }

    fn apply_server_list(self: &Rc<Self>, mut update: ServerUpdate) {
        let now = self.now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let received = update.entries.len();
        let mut free_places = MAX_SERVERS - if update.full { 0 } else { state.listed.len() };
        update.entries.retain(|(entry, _)| {
            let known = !update.full && state.listed.contains_key(&entry.server);
            let keep = known || entry.condition == Condition::Gone || free_places > 0;
            free_places -= usize::from(keep && !known && entry.condition != Condition::Gone);
            keep
        });
        if update.entries.len() < received {
            let over = received - update.entries.len();
            info!("discovery: {over} servers beyond {MAX_SERVERS} were passed over");
        }
        if update.full {
            state.listed.retain(|id, _| {
                let keep = update.entries.iter().any(|(e, _)| e.server == *id);
                if !keep {
                    self.upstream.close_idle(id);
                }
                keep
            });
            state.draining_since.retain(|id, _| state.listed.contains_key(id));
        }
        for (entry, addr) in &update.entries {
            let (id, removed) = (&entry.server, entry.condition == Condition::Gone);
            let was_accepting = state.engine.accepts_requests(id);
            match entry.condition {
                Condition::Draining => {
                    state.draining_since.entry(id.clone()).or_insert(now);
                }
                Condition::Serving | Condition::Gone => {
                    state.draining_since.remove(id);
                }
            }
            // A start that is no longer told was long ago.
            let known_start = state.listed.get(id).map_or(0.0, |known| known.started);
            let started = if entry.started > 0.0 { entry.started } else { known_start };
            let instance = ServerInstance { addr: *addr, started };
            let previous =
                if removed { state.listed.remove(id) } else { state.listed.insert(id.clone(), instance) };
            let condition = entry.condition;
            let accepts = condition == Condition::Serving;
            let changed = previous
                .map_or(!removed, |previous| removed || was_accepting != accepts || previous.addr != *addr);
            if changed {
                info!(event = "server", server = %id, %addr, state = ?condition, "server {id} at {addr}: {condition:?}");
            } else if previous.is_some_and(|previous| previous != instance) {
                info!(event = "server_restarted", server = %id, %addr, "server {id} at {addr} has restarted");
            }
            // Its connections are those of a process that has gone, or takes no new requests.
            if previous.is_some_and(|previous| !accepts || previous != instance) {
                self.upstream.close_idle(id);
            }
        }
        let entries = update.entries.into_iter().map(|(e, _)| e).collect();
        self.handle_input(state, Input::Servers { whole: update.full, entries });
        self.execute_outputs(state, None);
    }

    fn record_origin(&self, origin: ListOrigin, changed_at: f64) {
        self.list_origin.set(Some(origin));
        self.list_changed_at.set(changed_at);
    }

    /// The list for a successor; none if this process knows none.
    pub(super) fn export_server_list(&self, state: &State) -> Option<ServerList> {
        let now = self.now();
        let server = |entry: &ServerEntry| {
            let draining_since = state.draining_since.get(&entry.server);
            Some(ListedServer {
                id: entry.server.to_string(),
                addr: state.listed.get(&entry.server)?.addr,
                zone: entry.zone,
                cell: entry.cell,
                weight: entry.weight,
                started: entry.started,
                draining_for_ms: draining_since.map(|since| now - since),
            })
        };
        Some(ServerList {
            origin: self.list_origin.get()?,
            source_moved: self.sources.has_moved(),
            age_ms: now - self.list_changed_at.get(),
            servers: state.engine.server_entries().filter_map(server).collect(),
        })
    }

    /// Follows a predecessor that has moved to another discovery service. After a reload the configuration file has
    /// precedence over the environment, which is still that of the predecessor's start. Returns whether this process moves.
    fn follow_predecessor(&self, list: &ServerList) -> bool {
        if !list.source_moved {
            return false;
        }
        let moves = match Config::reload() {
            Ok(file) => self.sources.switch_to(file.discovery),
            Err(why) => {
                info!("the predecessor has moved to another discovery service; reading the configuration: {why}");
                false
            }
        };
        if moves {
            info!(
                event = "discovery_moved",
                "discovery is at {}, as reloaded by the predecessor",
                self.sources.addr.get()
            );
        }
        moves
    }

    /// Takes over the list of a predecessor if it is newer than the own one: what that process was told binds this one,
    /// which discovery may not have told anything yet. Discovery's next word goes on from there.
    pub(super) fn import_server_list(self: &Rc<Self>, list: ServerList) {
        let moves = self.follow_predecessor(&list);
        // A list from a place that the predecessor has left is older than any that it has.
        let own = if moves { None } else { self.list_origin.get() };
        if !list.origin.supersedes(own.as_ref()) {
            return;
        }
        if list.origin.from_discovery && list.origin.source == self.sources.addr.get() {
            self.sources.forget_earlier();
        }
        // What another source has changed since its own list does not fit this one.
        if own.is_some_and(|own| own.source != list.origin.source) {
            self.list_refresh.send_modify(|requests| *requests += 1);
        }
        let now = self.now();
        let draining = list.servers.iter().filter(|server| server.draining_for_ms.is_some()).count();
        info!(
            event = "server_list",
            version = list.origin.version,
            "the predecessor's list of {} servers, {draining} of them draining, is {:.0} ms old and newer than the own one",
            list.servers.len(),
            list.age_ms
        );
        self.record_origin(list.origin, now - list.age_ms);
        let entries = list.servers.iter().map(|server| (server.entry(), server.addr)).collect();
        self.apply_server_list(ServerUpdate { full: true, entries });
        let mut state = self.state.borrow_mut();
        for server in list.servers {
            if let Some(ms) = server.draining_for_ms {
                state.draining_since.insert(server.id.into(), now - ms);
            }
        }
    }
}
