//! The links from limiters to nodes and discovery. Limiters that the same troubles befall are one group: a group has a discovery
//! of its own, and a proxy to each node to which something is ever fault with its way.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marldeal_rehearsal::draws;
use marldeal_rehearsal::post::Post;
use marldeal_rehearsal::scenario::{Scenario, Trouble, What};
use marldeal_standin::discovery::Discovery;
use tokio::sync::mpsc;

use super::State;
use crate::processes::loopback_address;
use crate::streams::{LinkFaults, StreamFault, StreamProxy};

/// A number for apply_cuts of buildings, which no trouble of the timeline has.
const CUT_FAULT_ID: usize = usize::MAX;

pub(super) struct Links {
    group_of: Vec<usize>,
    /// A limiter of each group.
    representative: Vec<usize>,
    discoveries: Vec<Discovery>,
    proxies: HashMap<(usize, usize), StreamProxy>,
    /// Before the discovery of a group, where anything is ever fault with the way there.
    discovery_proxies: HashMap<usize, StreamProxy>,
    /// Lines of discovery that limiters have been told through proxies: by group, of one limiter each.
    received: RefCell<Option<mpsc::UnboundedReceiver<(usize, String)>>>,
    buildings: u32,
}

fn is_stream_fault(t: &Trouble) -> bool {
    matches!(t.what, What::Refuse | What::Mute | What::Break | What::Hold | What::Trickle)
}

fn affects(t: &Trouble, limiter: usize) -> bool {
    t.limiters.as_ref().is_none_or(|some| some.contains(&(limiter as u32)))
}

/// For each limiter its group.
fn limiter_groups(scenario: &Scenario) -> Vec<usize> {
    let cut = scenario.timeline.iter().any(|t| t.what == What::Cut);
    let mut known: Vec<Vec<u32>> = Vec::new();
    (0..scenario.limiters.count as usize)
        .map(|limiter| {
            let one = scenario.timeline.iter().filter(|t| is_stream_fault(t) || t.what == What::RosterSilent);
            let mut signature: Vec<u32> = one.map(|t| u32::from(affects(t, limiter))).collect();
            // What it was told is seen on its proxy, which is its own.
            let is_observed = scenario.timeline.iter().any(|t| t.on_discovery() && affects(t, limiter));
            signature.push(if is_observed { 1 + limiter as u32 } else { 0 });
            signature.push(if cut { limiter as u32 % scenario.buildings } else { 0 });
            known.iter().position(|k| *k == signature).unwrap_or_else(|| {
                known.push(signature);
                known.len() - 1
            })
        })
        .collect()
}

/// The pairs of group and node that need a proxy.
fn proxied_links(scenario: &Scenario, group_of: &[usize]) -> Vec<(usize, usize)> {
    let cut = scenario.timeline.iter().any(|t| t.what == What::Cut);
    let mut pairs = Vec::new();
    for group in 0..group_of.iter().max().map_or(0, |s| s + 1) {
        let representative = group_of.iter().position(|s| *s == group).unwrap_or(0);
        for node in 0..scenario.nodes.count as usize {
            let of = |t: &Trouble| {
                is_stream_fault(t)
                    && !t.on_discovery()
                    && affects(t, representative)
                    && scenario.nodes_of(t).contains(&node)
            };
            if cut || scenario.timeline.iter().any(of) {
                pairs.push((group, node));
            }
        }
    }
    pairs
}

/// The group_count whose discovery needs a proxy.
fn proxied_discoveries(scenario: &Scenario, group_of: &[usize]) -> Vec<usize> {
    let count = group_of.iter().max().map_or(0, |s| s + 1);
    let representative = |group: usize| group_of.iter().position(|s| *s == group).unwrap_or(0);
    let of = |group: &usize| {
        scenario.timeline.iter().any(|t| t.on_discovery() && affects(t, representative(*group)))
    };
    (0..count).filter(of).collect()
}

impl Links {
    /// How many proxies a scenario needs, who is meant being drawn.
    pub fn proxy_count(scenario: &Scenario) -> usize {
        let group_of = limiter_groups(scenario);
        proxied_links(scenario, &group_of).len() + proxied_discoveries(scenario, &group_of).len()
    }

    pub async fn open(scenario: &Scenario, seed: u64, nodes: &[SocketAddr]) -> Result<Links, String> {
        let group_of = limiter_groups(scenario);
        let count = group_of.iter().max().map_or(0, |s| s + 1);
        let representative =
            (0..count).filter_map(|group| group_of.iter().position(|s| *s == group)).collect();
        let mut proxies = HashMap::new();
        for (group, node) in proxied_links(scenario, &group_of) {
            let number = group * nodes.len() + node;
            let faults = LinkFaults::new(draws::stream(seed, "gate", number as u64));
            let at = SocketAddr::from((loopback_address(15, number), 0));
            proxies.insert((group, node), StreamProxy::open(at, nodes[node], faults).await?);
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

    /// What limiters are told is seen on a proxy.
    pub fn is_observed(&self, group: usize) -> bool {
        self.discovery_proxies.contains_key(&group)
    }

    /// The lines that are seen there; for the representative who asks.
    pub fn take_received_lines(&self) -> Option<mpsc::UnboundedReceiver<(usize, String)>> {
        self.received.borrow_mut().take()
    }

    pub fn announce(&self, group: usize, list: &str) {
        self.discoveries[group].announce(list);
    }

    /// Where a group finds a node, which listens at `addr` itself.
    pub fn addr(&self, group: usize, node: usize, addr: SocketAddr) -> SocketAddr {
        self.proxies.get(&(group, node)).map_or(addr, |proxy| proxy.addr)
    }

    fn link_faults<'a>(
        &'a self,
        t: &'a Trouble,
        nodes: &'a [usize],
    ) -> impl Iterator<Item = &'a Rc<LinkFaults>> + 'a {
        let affected = move |group: usize| affects(t, self.representative[group]);
        let to_nodes = self
            .proxies
            .iter()
            .filter(move |((group, node), _)| !t.on_discovery() && affected(*group) && nodes.contains(node));
        let discovery_proxies =
            self.discovery_proxies.iter().filter(move |(group, _)| t.on_discovery() && affected(**group));
        to_nodes.map(|(_, proxy)| &proxy.faults).chain(discovery_proxies.map(|(_, proxy)| &proxy.faults))
    }

    /// Something goes fault with streams; other troubles are passed over.
    pub fn start_fault(&self, id: usize, t: &Trouble, nodes: &[usize]) {
        let share = t.share.unwrap_or(0.0);
        let fault = match t.what {
            What::Refuse => StreamFault::Refuse,
            What::Mute => StreamFault::Mute,
            What::Break => StreamFault::Break { share, towards_limiter: t.on_discovery() },
            What::Hold => StreamFault::Hold(t.late_ms.unwrap_or([0.0, 0.0])),
            What::Trickle => StreamFault::Trickle(t.per_s.unwrap_or(1.0)),
            _ => return,
        };
        self.link_faults(t, nodes).for_each(|faults| faults.start(id, fault));
    }

    pub fn end_fault(&self, id: usize, t: &Trouble, nodes: &[usize]) {
        if is_stream_fault(t) {
            self.link_faults(t, nodes).for_each(|faults| faults.end(id));
        }
    }

    /// Buildings are cut off, or no more: streams between them sender nothing meanwhile.
    pub fn apply_cuts(&self, network: &Post) {
        for ((group, node), proxy) in &self.proxies {
            let limiter = self.representative[*group] as u32 % self.buildings;
            proxy.faults.end(CUT_FAULT_ID);
            if !network.reachable(limiter, *node as u32 % self.buildings) {
                proxy.faults.start(CUT_FAULT_ID, StreamFault::Mute);
            }
        }
    }

    /// A node's process has exit_status or started.
    pub fn set_server_down(&self, node: usize, down: bool) {
        for group in 0..self.group_count() {
            if let Some(proxy) = self.proxies.get(&(group, node)) {
                proxy.faults.set_target_down(down);
            }
        }
    }

    /// A group's limiters stand in that building, if buildings are ever cut off.
    pub fn building(&self, group: usize) -> u32 {
        self.representative[group] as u32 % self.buildings
    }
}

impl State {
    /// The list as one group is told it.
    pub(super) fn server_list(&mut self, links: &Links, group: usize) -> String {
        self.version += 1;
        let entry = |(n, h): (usize, &super::TestServer)| {
            let started = h.simulation.started();
            let started_ms = if started > 0.0 { self.start_unix_ms + started - super::BEGIN_MS } else { 0.0 };
            let state = if h.condition == fawnhill::Condition::Serving { "active" } else { "leaving" };
            serde_json::json!({"id": h.id, "addr": links.addr(group, n, h.addr), "zone": format!("b{}", h.zone),
                "kind": "m", "cell": 0, "state": state, "weight": 1.0, "started_ms": started_ms})
        };
        let there = self.servers.iter().enumerate().filter(|(_, h)| h.condition != fawnhill::Condition::Gone);
        let servers: Vec<_> = there.map(entry).collect();
        format!("{}\n", serde_json::json!({"version": self.version, "full": true, "servers": servers}))
    }
}
