//! The ways from limiters to nodes and discovery. Limiters that the same troubles befall are one side: a side has a discovery
//! of its own, and a relay to each node to which something is ever wrong with its way.

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
use crate::processes::loopback;
use crate::streams::{Gate, Relay, Wrong};

/// A number for cuts of buildings, which no trouble of the timeline has.
const CUT: usize = usize::MAX;

pub(super) struct Ways {
    side_of: Vec<usize>,
    /// A limiter of each side.
    first: Vec<usize>,
    discoveries: Vec<Discovery>,
    relays: HashMap<(usize, usize), Relay>,
    /// Before the discovery of a side, where anything is ever wrong with the way there.
    to_discovery: HashMap<usize, Relay>,
    /// Lines of discovery that limiters have been told through relays: by side, of one limiter each.
    heard: RefCell<Option<mpsc::UnboundedReceiver<(usize, String)>>>,
    buildings: u32,
}

fn on_streams(t: &Trouble) -> bool {
    matches!(t.what, What::Refuse | What::Mute | What::Break | What::Hold | What::Trickle)
}

fn befalls(t: &Trouble, limiter: usize) -> bool {
    t.limiters.as_ref().is_none_or(|some| some.contains(&(limiter as u32)))
}

/// For each limiter its side.
fn sides(scenario: &Scenario) -> Vec<usize> {
    let cut = scenario.timeline.iter().any(|t| t.what == What::Cut);
    let mut known: Vec<Vec<u32>> = Vec::new();
    (0..scenario.limiters.count as usize)
        .map(|limiter| {
            let one = scenario.timeline.iter().filter(|t| on_streams(t) || t.what == What::RosterSilent);
            let mut sign: Vec<u32> = one.map(|t| u32::from(befalls(t, limiter))).collect();
            // What it was told is seen on its relay, which is its own.
            let watched = scenario.timeline.iter().any(|t| t.on_discovery() && befalls(t, limiter));
            sign.push(if watched { 1 + limiter as u32 } else { 0 });
            sign.push(if cut { limiter as u32 % scenario.buildings } else { 0 });
            known.iter().position(|k| *k == sign).unwrap_or_else(|| {
                known.push(sign);
                known.len() - 1
            })
        })
        .collect()
}

/// The pairs of side and node that need a relay.
fn relayed(scenario: &Scenario, side_of: &[usize]) -> Vec<(usize, usize)> {
    let cut = scenario.timeline.iter().any(|t| t.what == What::Cut);
    let mut pairs = Vec::new();
    for side in 0..side_of.iter().max().map_or(0, |s| s + 1) {
        let first = side_of.iter().position(|s| *s == side).unwrap_or(0);
        for node in 0..scenario.nodes.count as usize {
            let of = |t: &Trouble| {
                on_streams(t)
                    && !t.on_discovery()
                    && befalls(t, first)
                    && scenario.nodes_of(t).contains(&node)
            };
            if cut || scenario.timeline.iter().any(of) {
                pairs.push((side, node));
            }
        }
    }
    pairs
}

/// The sides whose discovery needs a relay.
fn discovery_relayed(scenario: &Scenario, side_of: &[usize]) -> Vec<usize> {
    let count = side_of.iter().max().map_or(0, |s| s + 1);
    let first = |side: usize| side_of.iter().position(|s| *s == side).unwrap_or(0);
    let of = |side: &usize| scenario.timeline.iter().any(|t| t.on_discovery() && befalls(t, first(*side)));
    (0..count).filter(of).collect()
}

impl Ways {
    /// How many relays a scenario needs, who is meant being drawn.
    pub fn relays(scenario: &Scenario) -> usize {
        let side_of = sides(scenario);
        relayed(scenario, &side_of).len() + discovery_relayed(scenario, &side_of).len()
    }

    pub async fn open(scenario: &Scenario, seed: u64, nodes: &[SocketAddr]) -> Result<Ways, String> {
        let side_of = sides(scenario);
        let count = side_of.iter().max().map_or(0, |s| s + 1);
        let first = (0..count).filter_map(|side| side_of.iter().position(|s| *s == side)).collect();
        let mut relays = HashMap::new();
        for (side, node) in relayed(scenario, &side_of) {
            let number = side * nodes.len() + node;
            let gate = Gate::new(draws::stream(seed, "gate", number as u64));
            let at = SocketAddr::from((loopback(15, number), 0));
            relays.insert((side, node), Relay::open(at, nodes[node], gate).await?);
        }
        let discoveries: Vec<Discovery> = (0..count).map(|_| Discovery::shared(String::new())).collect();
        let mut to_discovery = HashMap::new();
        let (say, heard) = mpsc::unbounded_channel();
        for side in discovery_relayed(scenario, &side_of) {
            let gate = Gate::new(draws::stream(seed, "discovery gate", side as u64));
            let at = SocketAddr::from((loopback(16, side), 0));
            to_discovery.insert(
                side,
                Relay::open_heard(at, discoveries[side].addr, gate, Some((side, say.clone()))).await?,
            );
        }
        let heard = RefCell::new(Some(heard));
        Ok(Ways { heard, side_of, first, discoveries, relays, to_discovery, buildings: scenario.buildings })
    }

    pub fn sides(&self) -> usize {
        self.discoveries.len()
    }

    pub fn side_of(&self, limiter: usize) -> usize {
        self.side_of[limiter]
    }

    pub fn limiters(&self, side: usize) -> impl Iterator<Item = usize> + '_ {
        self.side_of.iter().enumerate().filter(move |(_, s)| **s == side).map(|(limiter, _)| limiter)
    }

    pub fn discovery(&self, side: usize) -> SocketAddr {
        self.to_discovery.get(&side).map_or(self.discoveries[side].addr, |relay| relay.addr)
    }

    /// What limiters are told is seen on a relay.
    pub fn watched(&self, side: usize) -> bool {
        self.to_discovery.contains_key(&side)
    }

    /// The lines that are seen there; for the first who asks.
    pub fn heard(&self) -> Option<mpsc::UnboundedReceiver<(usize, String)>> {
        self.heard.borrow_mut().take()
    }

    pub fn announce(&self, side: usize, list: &str) {
        self.discoveries[side].announce(list);
    }

    /// Where a side finds a node, which listens at `addr` itself.
    pub fn addr(&self, side: usize, node: usize, addr: SocketAddr) -> SocketAddr {
        self.relays.get(&(side, node)).map_or(addr, |relay| relay.addr)
    }

    fn gates<'a>(&'a self, t: &'a Trouble, nodes: &'a [usize]) -> impl Iterator<Item = &'a Rc<Gate>> + 'a {
        let befallen = move |side: usize| befalls(t, self.first[side]);
        let to_nodes = self
            .relays
            .iter()
            .filter(move |((side, node), _)| !t.on_discovery() && befallen(*side) && nodes.contains(node));
        let to_discovery =
            self.to_discovery.iter().filter(move |(side, _)| t.on_discovery() && befallen(**side));
        to_nodes.map(|(_, relay)| &relay.gate).chain(to_discovery.map(|(_, relay)| &relay.gate))
    }

    /// Something goes wrong with streams; other troubles are passed over.
    pub fn begins(&self, number: usize, t: &Trouble, nodes: &[usize]) {
        let share = t.share.unwrap_or(0.0);
        let wrong = match t.what {
            What::Refuse => Wrong::Refuse,
            What::Mute => Wrong::Mute,
            What::Break => Wrong::Break { share, answers: t.on_discovery() },
            What::Hold => Wrong::Hold(t.late_ms.unwrap_or([0.0, 0.0])),
            What::Trickle => Wrong::Trickle(t.per_s.unwrap_or(1.0)),
            _ => return,
        };
        self.gates(t, nodes).for_each(|gate| gate.begins(number, wrong));
    }

    pub fn ends(&self, number: usize, t: &Trouble, nodes: &[usize]) {
        if on_streams(t) {
            self.gates(t, nodes).for_each(|gate| gate.ends(number));
        }
    }

    /// Buildings are cut off, or no more: streams between them say nothing meanwhile.
    pub fn cuts(&self, post: &Post) {
        for ((side, node), relay) in &self.relays {
            let limiter = self.first[*side] as u32 % self.buildings;
            relay.gate.ends(CUT);
            if !post.reachable(limiter, *node as u32 % self.buildings) {
                relay.gate.begins(CUT, Wrong::Mute);
            }
        }
    }

    /// A node's process has ended or started.
    pub fn down(&self, node: usize, down: bool) {
        for side in 0..self.sides() {
            if let Some(relay) = self.relays.get(&(side, node)) {
                relay.gate.set_down(down);
            }
        }
    }

    /// A side's limiters stand in that building, if buildings are ever cut off.
    pub fn building(&self, side: usize) -> u32 {
        self.first[side] as u32 % self.buildings
    }
}

impl State {
    /// The list as one side is told it.
    pub(super) fn roster(&mut self, ways: &Ways, side: usize) -> String {
        self.version += 1;
        let entry = |(n, h): (usize, &super::Host)| {
            let started = h.node.started();
            let started_ms = if started > 0.0 { self.unix_ms + started - super::BEGIN_MS } else { 0.0 };
            let state = if h.condition == fawnhill::Condition::Serving { "active" } else { "leaving" };
            serde_json::json!({"id": h.id, "addr": ways.addr(side, n, h.addr), "zone": format!("b{}", h.zone),
                "kind": "m", "cell": 0, "state": state, "weight": 1.0, "started_ms": started_ms})
        };
        let there = self.hosts.iter().enumerate().filter(|(_, h)| h.condition != fawnhill::Condition::Gone);
        let servers: Vec<_> = there.map(entry).collect();
        format!("{}\n", serde_json::json!({"version": self.version, "full": true, "servers": servers}))
    }
}
