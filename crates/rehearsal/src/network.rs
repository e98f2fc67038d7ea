//! What becomes of each datagram between two limiters: lost, late, twice, corruption, or cut off. Each ordered pair is a way of
//! its own. No I/O and no clock: the virtual world and real processes ask the same machine.

use fawnhill::Millis;
use rand::RngExt;

use crate::draws::{self, Stream};
use crate::rules::TokenBucket;
use crate::scenario::{Scenario, Trouble, What};

/// One arrival of a datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// After so many milliseconds.
    pub after_ms: Millis,
    /// One of its bytes is corruption: which, as a share of its length, and by what.
    pub corruption: Option<(f64, u8)>,
}

/// The ways between limiters, and what is wrong with them now.
pub struct Network {
    mail_ms: [f64; 2],
    loss: f64,
    per_s: f64,
    buildings: u32,
    far_ms: [f64; 2],
    /// How often each building is cut off now.
    cut: Vec<u32>,
    /// How often each region is parted from the others now.
    parted: Vec<u32>,
    /// What is wrong now, by its number in the timeline.
    wrong: Vec<(usize, Trouble)>,
    /// What each limiter may still take in.
    room: Vec<TokenBucket>,
}

impl Network {
    /// The post of a scenario that begins at `from`.
    pub fn new(scenario: &Scenario, from: Millis) -> Network {
        let per_s = scenario.limiters.messages_per_s;
        Network {
            mail_ms: scenario.net.mail_ms,
            loss: scenario.net.mail_loss,
            per_s,
            buildings: scenario.buildings,
            far_ms: scenario.net.far_ms,
            cut: vec![0; scenario.buildings as usize],
            parted: vec![0; scenario.regions as usize],
            wrong: Vec::new(),
            room: vec![TokenBucket::full(from, per_s); scenario.limiters.count as usize],
        }
    }

    /// A trouble of the timeline begins; those that have nothing to do with datagrams are passed over.
    pub fn begin_fault(&mut self, number: usize, trouble: &Trouble) {
        match trouble.what {
            What::Cut => self.cut[trouble.building.unwrap_or(0) as usize] += 1,
            What::Part => self.parted[trouble.region.unwrap_or(0) as usize] += 1,
            What::Lossy | What::Late | What::Twice | What::Garble | What::Groups => {
                self.wrong.push((number, trouble.clone()));
            }
            _ => {}
        }
    }

    /// It ends.
    pub fn end_fault(&mut self, number: usize, trouble: &Trouble) {
        if trouble.what == What::Cut {
            self.cut[trouble.building.unwrap_or(0) as usize] -= 1;
        }
        if trouble.what == What::Part {
            self.parted[trouble.region.unwrap_or(0) as usize] -= 1;
        }
        self.wrong.retain(|(n, _)| *n != number);
    }

    /// Two buildings reach one another.
    pub fn reachable(&self, a: u32, b: u32) -> bool {
        a == b || (self.cut[a as usize] == 0 && self.cut[b as usize] == 0 && self.near(a, b))
    }

    /// The region in which a building stands.
    fn region(&self, building: u32) -> usize {
        building as usize % self.parted.len()
    }

    /// No region between two buildings is parted from the other's.
    fn near(&self, a: u32, b: u32) -> bool {
        let (a, b) = (self.region(a), self.region(b));
        a == b || (self.parted[a] == 0 && self.parted[b] == 0)
    }

    /// Two buildings stand in different regions.
    pub fn in_different_regions(&self, a: u32, b: u32) -> bool {
        self.region(a) != self.region(b)
    }

    /// Discovery reaches a building.
    pub fn discovery_reaches(&self, building: u32) -> bool {
        self.cut[building as usize] == 0
    }

    /// Discovery reaches a building with news of a node in another: not from a region that is parted from its own.
    pub fn discovery_reports(&self, building: u32, node: u32) -> bool {
        self.discovery_reaches(building) && self.near(building, node)
    }

    /// The arrivals of a datagram that `from` sends to `to` now; none if it is lost.
    pub fn arrivals(&self, from: usize, to: usize, rng: &mut Stream, out: &mut Vec<Arrival>) {
        let on_way = |t: &Trouble| {
            let of =
                |list: &Option<Vec<u32>>, who: usize| list.as_ref().is_none_or(|l| l.contains(&(who as u32)));
            of(&t.from, from) && of(&t.to, to)
        };
        let wrong =
            |what: What| self.wrong.iter().map(|(_, t)| t).filter(move |t| t.what == what && on_way(t));
        let share = |what: What| wrong(what).map(|t| t.share.unwrap_or(0.0)).sum::<f64>();
        let lost = draws::chance(rng, self.loss + share(What::Lossy));
        let parted = wrong(What::Groups).any(|t| {
            let both = |g: &Vec<u32>| g.contains(&(from as u32)) && g.contains(&(to as u32));
            !t.groups.iter().flatten().any(both)
        });
        let building = |l: usize| l as u32 % self.buildings;
        if lost || parted || !self.reachable(building(from), building(to)) {
            return;
        }
        let copies = if draws::chance(rng, share(What::Twice)) { 2 } else { 1 };
        for _ in 0..copies {
            let mut after_ms = draws::between(rng, self.mail_ms);
            if self.in_different_regions(building(from), building(to)) {
                after_ms += draws::between(rng, self.far_ms);
            }
            for late in wrong(What::Late) {
                after_ms += draws::between(rng, late.late_ms.unwrap_or([0.0, 0.0]));
            }
            // Never by 0: that would leave it whole.
            let corruption = draws::chance(rng, share(What::Garble))
                .then(|| (rng.random::<f64>(), 1 + (rng.random::<f64>() * 255.0) as u8));
            out.push(Arrival { after_ms, corruption });
        }
    }

    /// A datagram has come to a limiter: false if that has taken in as many as it may.
    pub fn accepts(&mut self, now: Millis, to: usize) -> bool {
        self.room[to].take(now, self.per_s, self.per_s, 1.0)
    }
}

impl Arrival {
    /// What arrives of it.
    pub fn body(&self, mut body: Vec<u8>) -> Vec<u8> {
        if let Some((place, by)) = self.corruption {
            let at = (place * body.len() as f64) as usize;
            if let Some(byte) = body.get_mut(at) {
                *byte ^= by;
            }
        }
        body
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MANY: usize = 4000;

    fn post(timeline: &str) -> Network {
        let text = format!("[limiters]\ncount = 6\n[net]\nmail_loss = 0.0\n{timeline}");
        let scenario = Scenario::read(&text).unwrap_or_else(|wrong| panic!("{wrong:?}"));
        let mut post = Network::new(&scenario, 0.0);
        for (n, t) in scenario.timeline.iter().enumerate() {
            post.begin_fault(n, t);
        }
        post
    }

    /// Share of the datagrams that arrive, and the mean of their arrivals.
    fn arrive(post: &Network, from: usize, to: usize) -> (f64, Vec<Arrival>) {
        let mut rng = draws::stream(3, "post", 0);
        let mut all = Vec::new();
        let mut came = 0;
        for _ in 0..MANY {
            let mut out = Vec::new();
            post.arrivals(from, to, &mut rng, &mut out);
            came += usize::from(!out.is_empty());
            all.append(&mut out);
        }
        (came as f64 / MANY as f64, all)
    }

    #[test]
    fn one_way_can_be_deaf_while_the_other_hears() {
        let post =
            post("[[timeline]]\nwhat = \"lossy\"\nshare = 1.0\nfrom = [0]\nto = [1]\nat_s = 0\nfor_s = 9\n");
        assert_eq!((arrive(&post, 0, 1).0, arrive(&post, 1, 0).0, arrive(&post, 0, 2).0), (0.0, 1.0, 1.0));
    }

    #[test]
    fn groups_that_overlap_leave_one_limiter_in_two_fleets() {
        let post = post(
            "[[timeline]]\nwhat = \"groups\"\ngroups = [[0, 1, 2], [2, 3, 4, 5]]\nat_s = 0\nfor_s = 9\n",
        );
        let hears = |a, b| arrive(&post, a, b).0 == 1.0;
        assert!(hears(0, 2) && hears(2, 3) && hears(3, 2) && !hears(0, 3) && !hears(4, 1));
    }

    #[test]
    fn twice_late_and_garbled_are_drawn_by_their_figures() {
        let post = post(
            "[[timeline]]\nwhat = \"twice\"\nshare = 1.0\nat_s = 0\nfor_s = 9\n\
             [[timeline]]\nwhat = \"late\"\nlate_ms = [500, 700]\nat_s = 0\nfor_s = 9\n\
             [[timeline]]\nwhat = \"garble\"\nshare = 0.25\nat_s = 0\nfor_s = 9\n",
        );
        let (_, all) = arrive(&post, 0, 1);
        assert_eq!(all.len(), 2 * MANY);
        assert!(all.iter().all(|a| (501.0..=713.0).contains(&a.after_ms)));
        let corruption = all.iter().filter(|a| a.corruption.is_some()).count() as f64 / all.len() as f64;
        assert!((0.22..0.28).contains(&corruption), "{corruption}");
        let whole = vec![7; 40];
        let differ = |a: &Arrival| a.body(whole.clone()).iter().filter(|b| **b != 7).count();
        assert!(all.iter().all(|a| differ(a) == usize::from(a.corruption.is_some())));
    }

    #[test]
    fn a_parted_region_hears_itself_alone_and_far_words_take_longer() {
        let text = "buildings = 4\nregions = 2\n[limiters]\ncount = 8\n[net]\nmail_loss = 0.0\n\
                    mail_ms = [1.0, 2.0]\nfar_ms = [30.0, 40.0]\n[[timeline]]\nwhat = \"part\"\nregion = 1\nat_s = 0\nfor_s = 9\n";
        let scenario = Scenario::read(text).unwrap_or_else(|wrong| panic!("{wrong:?}"));
        let mut post = Network::new(&scenario, 0.0);
        // Buildings 0 and 2 stand in region 0, 1 and 3 in region 1.
        let (share, all) = arrive(&post, 0, 1);
        assert!(share == 1.0 && all.iter().all(|a| (31.0..=42.0).contains(&a.after_ms)));
        assert!(arrive(&post, 0, 2).1.iter().all(|a| a.after_ms <= 2.0));
        post.begin_fault(0, &scenario.timeline[0]);
        assert_eq!((arrive(&post, 0, 1).0, arrive(&post, 1, 3).0, arrive(&post, 0, 2).0), (0.0, 1.0, 1.0));
        assert!(!post.reachable(0, 3) && post.reachable(1, 3) && post.reachable(0, 2));
        assert!(
            post.discovery_reports(1, 3)
                && !post.discovery_reports(1, 2)
                && !post.discovery_reports(0, 1)
                && post.discovery_reports(0, 2)
        );
        post.end_fault(0, &scenario.timeline[0]);
        assert!(post.reachable(0, 3) && post.discovery_reports(1, 2) && arrive(&post, 0, 1).0 == 1.0);
    }

    #[test]
    fn what_ends_leaves_nothing_behind() {
        let scenario = Scenario::read(
            "[[timeline]]\nwhat = \"cut\"\nbuilding = 1\nat_s = 0\nfor_s = 9\n\
             [[timeline]]\nwhat = \"lossy\"\nshare = 1.0\nat_s = 0\nfor_s = 9\n",
        )
        .expect("a scenario");
        let mut post = Network::new(&scenario, 0.0);
        scenario.timeline.iter().enumerate().for_each(|(n, t)| post.begin_fault(n, t));
        assert!(
            !post.reachable(0, 1)
                && post.reachable(0, 2)
                && !post.discovery_reaches(1)
                && post.discovery_reaches(2)
        );
        scenario.timeline.iter().enumerate().for_each(|(n, t)| post.end_fault(n, t));
        assert!(post.reachable(0, 1) && arrive(&post, 0, 1).0 > 0.9);
    }
}
