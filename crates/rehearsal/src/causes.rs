//! What servers were doing when limiters refused requests, counted over the whole fleet. The counts only describe a
//! run; no rule depends on them.

use crate::scenario::{Limiters, Nodes, Scenario, Trouble, What};

/// Counts of refused tries. The states of servers are those of the whole fleet at the time of the refusal, and several
/// may apply to one refusal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Causes {
    /// All refused tries.
    pub refused: u64,
    /// Of them, those that a single limiter with the customer's whole quota would have refused too.
    pub beyond_quota: u64,
    /// Of the others, those while a cold server had unused room within its bound.
    pub cold_room: u64,
    /// Of the others, those while there were warm servers and none of them had a free slot.
    pub warm_full: u64,
    /// Of the others, those while a server held no request.
    pub idle: u64,
    /// The others in none of these states.
    pub unexplained: u64,
}

/// State of the fleet at the time of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetState {
    /// A cold server had unused room within its bound.
    pub cold_room: bool,
    /// There were warm servers and none of them had a free slot.
    pub warm_full: bool,
    /// A server held no request.
    pub idle: bool,
}

impl Causes {
    /// Counts a refused try.
    pub fn count(&mut self, beyond_quota: bool, state: FleetState) {
        self.refused += 1;
        if beyond_quota {
            self.beyond_quota += 1;
            return;
        }
        let FleetState { cold_room, warm_full, idle } = state;
        self.cold_room += u64::from(cold_room);
        self.warm_full += u64::from(warm_full);
        self.idle += u64::from(idle);
        self.unexplained += u64::from(!cold_room && !warm_full && !idle);
    }
}

/// Servers of the throng that join and that come back.
const JOINING: [usize; 4] = [0, 10, 20, 30];
const RETURNING: [u32; 12] = [2, 5, 8, 12, 15, 18, 22, 25, 28, 32, 35, 38];
/// Time in seconds at which all of them start.
const START_S: f64 = 8.0;

/// A throng: 24 limiters before 40 servers, of which four join and twelve come back during a burst, with a colder start
/// and some clients beyond their quotas.
pub fn throng() -> Scenario {
    let returning =
        Trouble { nodes: Some(RETURNING.to_vec()), ..Trouble::new(What::Exit, 4.0, START_S - 4.0) };
    let burst = Trouble { times: Some(1.5), ..Trouble::new(What::Surge, 7.0, 14.0) };
    let flood = Trouble { firms: Some(3), share: Some(0.2), ..Trouble::new(What::Flood, 7.0, 14.0) };
    let mut scenario = Scenario {
        name: "throng".into(),
        seconds: 26.0,
        limiters: Limiters { count: 24, ..Limiters::default() },
        nodes: Nodes { count: 40, cold_share: 0.05, ..Nodes::default() },
        timeline: vec![returning, burst, flood],
        ..Scenario::default()
    };
    scenario.clients.load = 0.7;
    scenario
}

/// Counts of the throng under a seed.
///
/// # Errors
/// If the scenario cannot run.
pub fn play_throng(seed: u64) -> Result<Causes, String> {
    let world = crate::world::World::new(&throng(), seed)?
        .with_joining_servers(&JOINING, START_S)
        .with_slow_start_judge()
        .with_causes();
    world.play(|_| {}).causes.ok_or_else(|| "no refusals were counted".to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_refusal_beyond_the_quota_has_no_other_cause() {
        let mut causes = Causes::default();
        let state = FleetState { cold_room: true, warm_full: true, idle: false };
        causes.count(true, state);
        causes.count(false, state);
        causes.count(false, FleetState { cold_room: false, warm_full: false, idle: false });
        let expected =
            Causes { refused: 3, beyond_quota: 1, cold_room: 1, warm_full: 1, idle: 0, unexplained: 1 };
        assert_eq!(causes, expected);
    }

    /// A server holds requests or is idle, a warm one has a free slot or has none: each refusal is in a column.
    #[test]
    fn refusals_of_the_throng_are_counted() {
        let causes = play_throng(1).expect("a valid scenario");
        println!("{causes:?}");
        assert!(causes.refused > 100 && causes.beyond_quota < causes.refused, "{causes:?}");
        assert_eq!(Ok(causes), play_throng(1));
    }
}
