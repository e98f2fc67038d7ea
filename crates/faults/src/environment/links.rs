//! Links from limiters to servers and discovery.
//!
//! Limiters that the same faults affect form a group. Each group has its own discovery, and a proxy to each
//! server whose link has a fault at any time of the run.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marldeal_rehearsal::draws;
use marldeal_rehearsal::network::Network;
use marldeal_rehearsal::scenario::{Scenario, Trouble, What};
use marldeal_standin::addresses::loopback_address;
use marldeal_standin::discovery::Discovery;
use tokio::sync::mpsc;

use super::State;
use crate::streams::{LinkFaults, StreamFault, StreamProxy};

/// Identifies cuts between buildings; no fault of the timeline has this index.
const CUT_FAULT_ID: usize = usize::MAX;

pub(super) struct Links {
    group_of: Vec<usize>,
    /// One limiter of each group.
    representative: Vec<usize>,
    discoveries: Vec<Discovery>,
    proxies: HashMap<(usize, usize), StreamProxy>,
    /// Proxies in front of discovery, for the groups whose link to discovery has a fault at any time.
    discovery_proxies: HashMap<usize, StreamProxy>,
    /// Lines of discovery that passed a proxy, with the group; such a group has one limiter.
    received: RefCell<Option<mpsc::UnboundedReceiver<(usize, String)>>>,
    buildings: u32,
}

fn is_stream_fault(t: &Trouble) -> bool {
    matches!(t.what, What::Refuse | What::Mute | What::Break | What::Hold | What::Trickle)
}

fn affects(t: &Trouble, limiter: usize) -> bool {
    t.limiters.as_ref().is_none_or(|listed| listed.contains(&(limiter as u32)))
}

/// Returns the group of each limiter.
fn limiter_groups(scenario: &Scenario) -> Vec<usize> {
    let cut = scenario.timeline.iter().any(|t| t.what == What::Cut);
    let mut known: Vec<Vec<u32>> = Vec::new();
    (0..scenario.limiters.count as usize)
        .map(|limiter| {
            let faults =
                scenario.timeline.iter().filter(|t| is_stream_fault(t) || t.what == What::RosterSilent);
            let mut signature: Vec<u32> = faults.map(|t| u32::from(affects(t, limiter))).collect();
            // The lines that a limiter received are observed on its proxy, so the limiter forms a group of its
            // own.
            let is_observed = scenario.timeline.iter().any(|t| t.targets_discovery() && affects(t, limiter));
            signature.push(if is_observed { 1 + limiter as u32 } else { 0 });
            signature.push(if cut { limiter as u32 % scenario.buildings } else { 0 });
            known.iter().position(|k| *k == signature).unwrap_or_else(|| {
                known.push(signature);
                known.len() - 1
            })
        })
        .collect()
}

/// Returns the pairs of group and server that need a proxy.
fn proxied_links(scenario: &Scenario, group_of: &[usize]) -> Vec<(usize, usize)> {
    let cut = scenario.timeline.iter().any(|t| t.what == What::Cut);
    let mut pairs = Vec::new();
    for group in 0..group_of.iter().max().map_or(0, |s| s + 1) {
        let representative = group_of.iter().position(|s| *s == group).unwrap_or(0);
        for server in 0..scenario.nodes.count as usize {
            let of = |t: &Trouble| {
                is_stream_fault(t)
                    && !t.targets_discovery()
                    && affects(t, representative)
                    && scenario.affected_servers(t).contains(&server)
            };
            if cut || scenario.timeline.iter().any(of) {
                pairs.push((group, server));
            }
        }
    }
    pairs
}

/// Returns the groups whose discovery needs a proxy.
fn proxied_discoveries(scenario: &Scenario, group_of: &[usize]) -> Vec<usize> {
    let count = group_of.iter().max().map_or(0, |s| s + 1);
    let representative = |group: usize| group_of.iter().position(|s| *s == group).unwrap_or(0);
    let of = |group: &usize| {
        scenario.timeline.iter().any(|t| t.targets_discovery() && affects(t, representative(*group)))
    };
    (0..count).filter(of).collect()
}

impl Links {
    /// Returns the number of proxies that a scenario needs; its random choices of limiters and servers must
    /// have been drawn.
    pub fn proxy_count(scenario: &Scenario) -> usize {
        let group_of = limiter_groups(scenario);
        proxied_links(scenario, &group_of).len() + proxied_discoveries(scenario, &group_of).len()
    }

    pub async fn open(scenario: &Scenario, seed: u64, servers: &[SocketAddr]) -> Result<Links, String> {
        let group_of = limiter_groups(scenario);
        let count = group_of.iter().max().map_or(0, |s| s + 1);
        let representative =
            (0..count).filter_map(|group| group_of.iter().position(|s| *s == group)).collect();
        let mut proxies = HashMap::new();
        for (group, server) in proxied_links(scenario, &group_of) {
            let number = group * servers.len() + server;
            let faults = LinkFaults::new(draws::stream(seed, "gate", number as u64));
            let at = SocketAddr::from((loopback_address(15, number), 0));
            proxies.insert((group, server), StreamProxy::open(at, servers[server], faults).await?);
        }
        let discoveries: Vec<Discovery> = (0..count).map(|_| Discovery::shared(String::new())).collect();
        let mut discovery_proxies = HashMap::new();
        let (sender, received) = mpsc::unbounded_channel();
        for group in proxied_discoveries(scenario, &group_of) {
            let faults = LinkFaults::new(draws::stream(seed, "discovery gate", group as u64));
            let at = SocketAddr::from((loopback_address(16, group), 0));
            discovery_proxies.insert(
                group,
                StreamProxy::open_observed(
                    at,
                    discoveries[group].addr,
                    faults,
                    Some((group, sender.clone())),
                )
                .await?,
            );
        }
        let received = RefCell::new(Some(received));
        Ok(Links {
            received,
            group_of,
            representative,
            discoveries,
            proxies,
            discovery_proxies,
            buildings: scenario.buildings,
        })
    }

    pub fn group_count(&self) -> usize {
        self.discoveries.len()
    }

    pub fn group_of(&self, limiter: usize) -> usize {
        self.group_of[limiter]
    }

    pub fn limiters(&self, group: usize) -> impl Iterator<Item = usize> + '_ {
        self.group_of.iter().enumerate().filter(move |(_, s)| **s == group).map(|(limiter, _)| limiter)
    }

    pub fn discovery(&self, group: usize) -> SocketAddr {
        self.discovery_proxies.get(&group).map_or(self.discoveries[group].addr, |proxy| proxy.addr)
    }

    /// Whether the lines that a group receives from discovery are observed on a proxy.
    pub fn is_observed(&self, group: usize) -> bool {
        self.discovery_proxies.contains_key(&group)
    }

    /// Takes the receiver of the observed lines; `None` after the first call.
    pub fn take_received_lines(&self) -> Option<mpsc::UnboundedReceiver<(usize, String)>> {
        self.received.borrow_mut().take()
    }

    pub fn announce(&self, group: usize, list: &str) {
        self.discoveries[group].announce(list);
    }

    /// Returns the address at which a group reaches a server that listens at `addr` itself.
    pub fn addr(&self, group: usize, server: usize, addr: SocketAddr) -> SocketAddr {
        self.proxies.get(&(group, server)).map_or(addr, |proxy| proxy.addr)
    }

    fn link_faults<'a>(
        &'a self,
        t: &'a Trouble,
        servers: &'a [usize],
    ) -> impl Iterator<Item = &'a Rc<LinkFaults>> + 'a {
        let affected = move |group: usize| affects(t, self.representative[group]);
        let to_servers = self.proxies.iter().filter(move |((group, server), _)| {
            !t.targets_discovery() && affected(*group) && servers.contains(server)
        });
        let discovery_proxies = self
            .discovery_proxies
            .iter()
            .filter(move |(group, _)| t.targets_discovery() && affected(**group));
        to_servers.map(|(_, proxy)| &proxy.faults).chain(discovery_proxies.map(|(_, proxy)| &proxy.faults))
    }

    /// Starts a fault of streams; other faults are ignored.
    pub fn start_fault(&self, id: usize, t: &Trouble, servers: &[usize]) {
        let share = t.share.unwrap_or(0.0);
        let fault = match t.what {
            What::Refuse => StreamFault::Refuse,
            What::Mute => StreamFault::Mute,
            What::Break => StreamFault::Break { share, towards_limiter: t.targets_discovery() },
            What::Hold => StreamFault::Hold(t.late_ms.unwrap_or([0.0, 0.0])),
            What::Trickle => StreamFault::Trickle(t.per_s.unwrap_or(1.0)),
            _ => return,
        };
        self.link_faults(t, servers).for_each(|faults| faults.start(id, fault));
    }

    pub fn end_fault(&self, id: usize, t: &Trouble, servers: &[usize]) {
        if is_stream_fault(t) {
            self.link_faults(t, servers).for_each(|faults| faults.end(id));
        }
    }

    /// Applies the present cuts between buildings: streams between cut-off buildings carry nothing meanwhile.
    pub fn apply_cuts(&self, network: &Network) {
        for ((group, server), proxy) in &self.proxies {
            let limiter = self.representative[*group] as u32 % self.buildings;
            proxy.faults.end(CUT_FAULT_ID);
            if !network.reachable(limiter, *server as u32 % self.buildings) {
                proxy.faults.start(CUT_FAULT_ID, StreamFault::Mute);
            }
        }
    }

    /// Records that a server's process has ended or started.
    pub fn set_server_down(&self, server: usize, down: bool) {
        for group in 0..self.group_count() {
            if let Some(proxy) = self.proxies.get(&(group, server)) {
                proxy.faults.set_target_down(down);
            }
        }
    }

    /// Returns the building of a group's limiters. It is meaningful only in scenarios that cut off buildings.
    pub fn building(&self, group: usize) -> u32 {
        self.representative[group] as u32 % self.buildings
    }
}

impl State {
    /// Returns the server list as discovery sends it to a group.
    pub(super) fn server_list(&mut self, links: &Links, group: usize) -> String {
        self.version += 1;
        let entry = |(n, server): (usize, &super::TestServer)| {
            let started = server.simulation.started();
            let started_ms = if started > 0.0 { self.start_unix_ms + started - super::BEGIN_MS } else { 0.0 };
            let state = if server.condition == fawnhill::Condition::Serving { "active" } else { "leaving" };
            serde_json::json!({"id": server.id, "addr": links.addr(group, n, server.addr), "zone": format!("b{}", server.zone),
                "kind": "m", "cell": 0, "state": state, "weight": 1.0, "started_ms": started_ms})
        };
        let present = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, server)| server.condition != fawnhill::Condition::Gone);
        let servers: Vec<_> = present.map(entry).collect();
        format!("{}\n", serde_json::json!({"version": self.version, "full": true, "servers": servers}))
    }
}
