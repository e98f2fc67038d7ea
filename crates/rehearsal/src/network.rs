//! The simulated network between limiters, which decides for each datagram whether it is lost, delayed, duplicated,
//! corrupted or cut off. Each ordered pair of limiters is a link of its own. There is no I/O and no clock here; the
//! virtual world and the test environment of real processes use the same code.

use fawnhill::Millis;
use rand::RngExt;

use crate::draws::{self, Stream};
use crate::rules::TokenBucket;
use crate::scenario::{Scenario, Trouble, What};

/// One arrival of a datagram at its receiver.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Delay in milliseconds.
    pub after_ms: Millis,
    /// The corrupted byte, if any: its position as a share of the length, and the mask that it is XORed with.
    pub corruption: Option<(f64, u8)>,
}

/// The links between limiters, and the faults that are active on them.
pub struct Network {
    latency_ms: [f64; 2],
    loss: f64,
    messages_per_s: f64,
    zones: u32,
    far_ms: [f64; 2],
    /// For each zone, the number of active faults that cut it off.
    zone_cuts: Vec<u32>,
    /// For each region, the number of active faults that separate it from the others.
    region_cuts: Vec<u32>,
    /// Active faults with their index in the timeline.
    active: Vec<(usize, Trouble)>,
    /// For each limiter, a token bucket of the datagrams that it may still receive.
    receive_limits: Vec<TokenBucket>,
}

impl Network {
    /// Creates the network of a scenario that begins at `from`.
    pub fn new(scenario: &Scenario, from: Millis) -> Network {
        let messages_per_s = scenario.limiters.messages_per_s;
        Network {
            latency_ms: scenario.net.mail_ms,
            loss: scenario.net.mail_loss,
            messages_per_s,
            zones: scenario.buildings,
            far_ms: scenario.net.far_ms,
            zone_cuts: vec![0; scenario.buildings as usize],
            region_cuts: vec![0; scenario.regions as usize],
            active: Vec::new(),
            receive_limits: vec![TokenBucket::full(from, messages_per_s); scenario.limiters.count as usize],
        }
    }

    /// Begins a fault of the timeline. Faults that do not concern datagrams are ignored.
    pub fn begin_fault(&mut self, index: usize, fault: &Trouble) {
        match fault.what {
            What::Cut => self.zone_cuts[fault.building.unwrap_or(0) as usize] += 1,
            What::Part => self.region_cuts[fault.region.unwrap_or(0) as usize] += 1,
            What::Lossy | What::Late | What::Twice | What::Garble | What::Groups => {
                self.active.push((index, fault.clone()));
            }
            _ => {}
        }
    }

    /// Ends a fault.
    pub fn end_fault(&mut self, index: usize, fault: &Trouble) {
        if fault.what == What::Cut {
            self.zone_cuts[fault.building.unwrap_or(0) as usize] -= 1;
        }
        if fault.what == What::Part {
            self.region_cuts[fault.region.unwrap_or(0) as usize] -= 1;
        }
        self.active.retain(|(n, _)| *n != index);
    }

    /// Whether two zones reach each other.
    pub fn reachable(&self, a: u32, b: u32) -> bool {
        a == b || (self.zone_cuts[a as usize] == 0 && self.zone_cuts[b as usize] == 0 && self.connected(a, b))
    }

    /// The region of a zone.
    fn region(&self, zone: u32) -> usize {
        zone as usize % self.region_cuts.len()
    }

    /// Whether the regions of two zones reach each other.
    fn connected(&self, a: u32, b: u32) -> bool {
        let (a, b) = (self.region(a), self.region(b));
        a == b || (self.region_cuts[a] == 0 && self.region_cuts[b] == 0)
    }

    /// Whether two zones are in different regions.
    pub fn in_different_regions(&self, a: u32, b: u32) -> bool {
        self.region(a) != self.region(b)
    }

    /// Whether discovery reaches a zone.
    pub fn discovery_reaches(&self, zone: u32) -> bool {
        self.zone_cuts[zone as usize] == 0
    }

    /// Whether discovery reaches a zone with changes of a server in another: both have to be in regions that reach
    /// each other.
    pub fn discovery_reports(&self, zone: u32, server_zone: u32) -> bool {
        self.discovery_reaches(zone) && self.connected(zone, server_zone)
    }

    /// Appends the arrivals of a datagram that `from` sends to `to` now: none if it is lost, two if it is duplicated.
    pub fn arrivals(&self, from: usize, to: usize, rng: &mut Stream, out: &mut Vec<Arrival>) {
        let on_link = |t: &Trouble| {
            let applies =
                |list: &Option<Vec<u32>>, who: usize| list.as_ref().is_none_or(|l| l.contains(&(who as u32)));
            applies(&t.from, from) && applies(&t.to, to)
        };
        let active =
            |what: What| self.active.iter().map(|(_, t)| t).filter(move |t| t.what == what && on_link(t));
        let share = |what: What| active(what).map(|t| t.share.unwrap_or(0.0)).sum::<f64>();
        let lost = draws::chance(rng, self.loss + share(What::Lossy));
        let separated = active(What::Groups).any(|t| {
            let holds_both = |g: &Vec<u32>| g.contains(&(from as u32)) && g.contains(&(to as u32));
            !t.groups.iter().flatten().any(holds_both)
        });
        let zone = |l: usize| l as u32 % self.zones;
        if lost || separated || !self.reachable(zone(from), zone(to)) {
            return;
        }
        let copies = if draws::chance(rng, share(What::Twice)) { 2 } else { 1 };
        for _ in 0..copies {
            let mut after_ms = draws::between(rng, self.latency_ms);
            if self.in_different_regions(zone(from), zone(to)) {
                after_ms += draws::between(rng, self.far_ms);
            }
            for fault in active(What::Late) {
                after_ms += draws::between(rng, fault.late_ms.unwrap_or([0.0, 0.0]));
            }
            // A mask of 0 would leave the byte unchanged.
            let corruption = draws::chance(rng, share(What::Garble))
                .then(|| (rng.random::<f64>(), 1 + (rng.random::<f64>() * 255.0) as u8));
            out.push(Arrival { after_ms, corruption });
        }
    }

    /// Returns whether a limiter receives a datagram that has arrived; false if it exceeds its message rate.
    pub fn accepts(&mut self, now: Millis, to: usize) -> bool {
        self.receive_limits[to].take(now, self.messages_per_s, self.messages_per_s, 1.0)
    }
}

impl Arrival {
    /// The body as it arrives, with the corrupted byte if there is one.
    pub fn body(&self, mut body: Vec<u8>) -> Vec<u8> {
        if let Some((position, mask)) = self.corruption {
            let at = (position * body.len() as f64) as usize;
            if let Some(byte) = body.get_mut(at) {
                *byte ^= mask;
            }
        }
        body
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MANY: usize = 4000;

    fn network(timeline: &str) -> Network {
        let text = format!("[limiters]\ncount = 6\n[net]\nmail_loss = 0.0\n{timeline}");
        let scenario = Scenario::read(&text).unwrap_or_else(|errors| panic!("{errors:?}"));
        let mut network = Network::new(&scenario, 0.0);
        for (n, t) in scenario.timeline.iter().enumerate() {
            network.begin_fault(n, t);
        }
        network
    }

    /// Returns the share of datagrams that arrive, and all their arrivals.
    fn arrive(network: &Network, from: usize, to: usize) -> (f64, Vec<Arrival>) {
        let mut rng = draws::stream(3, "post", 0);
        let mut all = Vec::new();
        let mut arrived = 0;
        for _ in 0..MANY {
            let mut out = Vec::new();
            network.arrivals(from, to, &mut rng, &mut out);
            arrived += usize::from(!out.is_empty());
            all.append(&mut out);
        }
        (arrived as f64 / MANY as f64, all)
    }

    #[test]
    fn loss_can_be_limited_to_one_direction() {
        let network = network(
            "[[timeline]]\nwhat = \"lossy\"\nshare = 1.0\nfrom = [0]\nto = [1]\nat_s = 0\nfor_s = 9\n",
        );
        assert_eq!(
            (arrive(&network, 0, 1).0, arrive(&network, 1, 0).0, arrive(&network, 0, 2).0),
            (0.0, 1.0, 1.0)
        );
    }

    #[test]
    fn overlapping_groups_leave_one_limiter_in_both() {
        let network = network(
            "[[timeline]]\nwhat = \"groups\"\ngroups = [[0, 1, 2], [2, 3, 4, 5]]\nat_s = 0\nfor_s = 9\n",
        );
        let reaches = |a, b| arrive(&network, a, b).0 == 1.0;
        assert!(reaches(0, 2) && reaches(2, 3) && reaches(3, 2) && !reaches(0, 3) && !reaches(4, 1));
    }

    #[test]
    fn duplicates_delays_and_corruption_follow_their_shares() {
        let network = network(
            "[[timeline]]\nwhat = \"twice\"\nshare = 1.0\nat_s = 0\nfor_s = 9\n\
             [[timeline]]\nwhat = \"late\"\nlate_ms = [500, 700]\nat_s = 0\nfor_s = 9\n\
             [[timeline]]\nwhat = \"garble\"\nshare = 0.25\nat_s = 0\nfor_s = 9\n",
        );
        let (_, all) = arrive(&network, 0, 1);
        assert_eq!(all.len(), 2 * MANY);
        assert!(all.iter().all(|a| (501.0..=713.0).contains(&a.after_ms)));
        let corrupted = all.iter().filter(|a| a.corruption.is_some()).count() as f64 / all.len() as f64;
        assert!((0.22..0.28).contains(&corrupted), "{corrupted}");
        let whole = vec![7; 40];
        let differ = |a: &Arrival| a.body(whole.clone()).iter().filter(|b| **b != 7).count();
        assert!(all.iter().all(|a| differ(a) == usize::from(a.corruption.is_some())));
    }

    #[test]
    fn separated_region_reaches_only_itself_and_distant_datagrams_take_longer() {
        let text = "buildings = 4\nregions = 2\n[limiters]\ncount = 8\n[net]\nmail_loss = 0.0\n\
                    mail_ms = [1.0, 2.0]\nfar_ms = [30.0, 40.0]\n[[timeline]]\nwhat = \"part\"\nregion = 1\nat_s = 0\nfor_s = 9\n";
        let scenario = Scenario::read(text).unwrap_or_else(|errors| panic!("{errors:?}"));
        let mut network = Network::new(&scenario, 0.0);
        // Zones 0 and 2 are in region 0, zones 1 and 3 in region 1.
        let (share, all) = arrive(&network, 0, 1);
        assert!(share == 1.0 && all.iter().all(|a| (31.0..=42.0).contains(&a.after_ms)));
        assert!(arrive(&network, 0, 2).1.iter().all(|a| a.after_ms <= 2.0));
        network.begin_fault(0, &scenario.timeline[0]);
        assert_eq!(
            (arrive(&network, 0, 1).0, arrive(&network, 1, 3).0, arrive(&network, 0, 2).0),
            (0.0, 1.0, 1.0)
        );
        assert!(!network.reachable(0, 3) && network.reachable(1, 3) && network.reachable(0, 2));
        assert!(
            network.discovery_reports(1, 3)
                && !network.discovery_reports(1, 2)
                && !network.discovery_reports(0, 1)
                && network.discovery_reports(0, 2)
        );
        network.end_fault(0, &scenario.timeline[0]);
        assert!(
            network.reachable(0, 3) && network.discovery_reports(1, 2) && arrive(&network, 0, 1).0 == 1.0
        );
    }

    #[test]
    fn ended_faults_have_no_effect() {
        let scenario = Scenario::read(
            "[[timeline]]\nwhat = \"cut\"\nbuilding = 1\nat_s = 0\nfor_s = 9\n\
             [[timeline]]\nwhat = \"lossy\"\nshare = 1.0\nat_s = 0\nfor_s = 9\n",
        )
        .expect("a scenario");
        let mut network = Network::new(&scenario, 0.0);
        scenario.timeline.iter().enumerate().for_each(|(n, t)| network.begin_fault(n, t));
        assert!(
            !network.reachable(0, 1)
                && network.reachable(0, 2)
                && !network.discovery_reaches(1)
                && network.discovery_reaches(2)
        );
        scenario.timeline.iter().enumerate().for_each(|(n, t)| network.end_fault(n, t));
        assert!(network.reachable(0, 1) && arrive(&network, 0, 1).0 > 0.9);
    }
}
