//! Scenarios for the judge: servers join a fleet and others come back, all cold, before few and many limiters.

use rayon::prelude::*;

use super::Findings;
use crate::draws::Law;
use crate::scenario::{ClassOf, Limiters, Net, Nodes, PlanOf, Repeats, Scenario, Trouble, What};
use crate::world::World;

/// What the limiters have to deal with while servers are cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Steady traffic.
    Steady,
    /// For a time, 1.5 times the traffic.
    Burst,
    /// A third of the limiters has just started and knows no peers.
    NewMembers,
    /// All messages between limiters are lost.
    SilentPeers,
    /// All of that at once.
    All,
}

impl Condition {
    /// All conditions.
    pub const EACH: [Condition; 5] =
        [Condition::Steady, Condition::Burst, Condition::NewMembers, Condition::SilentPeers, Condition::All];

    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Condition::Steady => "steady",
            Condition::Burst => "burst",
            Condition::NewMembers => "new-members",
            Condition::SilentPeers => "silent-peers",
            Condition::All => "all-at-once",
        }
    }

    fn includes(self, part: Condition) -> bool {
        self == part || self == Condition::All
    }
}

/// Sizes of the servers of one fleet. The server list names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sizes {
    /// All servers are equal.
    Equal,
    /// The servers have between a fifth and nine fifths of the mean size.
    Mixed,
}

impl Sizes {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Sizes::Equal => "equal",
            Sizes::Mixed => "mixed",
        }
    }

    /// Smallest and largest size relative to the mean.
    fn range(self) -> [f64; 2] {
        match self {
            Sizes::Equal => [1.0, 1.0],
            Sizes::Mixed => [0.2, 1.8],
        }
    }
}

/// Which servers come back at the time at which others join.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Returning {
    /// A sixth of the fleet; two thirds stay warm.
    Sixth,
    /// All that do not join, after an outage of all.
    All,
}

impl Returning {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Returning::Sixth => "sixth",
            Returning::All => "all",
        }
    }
}

/// One scenario.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trial {
    /// Number of limiters.
    pub limiters: u32,
    /// Number of servers; a sixth of them joins.
    pub servers: u32,
    /// Requests a second that a warm server of mean size processes.
    pub capacity_per_s: f64,
    /// Whether the servers of the fleet are equal or differ in size.
    pub sizes: Sizes,
    /// Which servers come back.
    pub returning: Returning,
    /// What the limiters have to deal with.
    pub condition: Condition,
}

/// Result of a trial over some seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialResult {
    /// The trial.
    pub trial: Trial,
    /// Findings of all seeds.
    pub findings: Findings,
    /// Seeds with a breach, each with the number of its breaches.
    pub breached_seeds: Vec<(u64, usize)>,
    /// Seed of the worst window.
    pub worst_seed: u64,
}

/// Numbers of limiters of the full form.
const LIMITERS: [u32; 7] = [1, 2, 3, 10, 30, 100, 300];
/// Capacities of a warm server. N starts at 0.4, 3, 20 and 80.
const CAPACITIES_PER_S: [f64; 4] = [0.5, 4.0, 25.0, 100.0];
/// Numbers of servers of small fleets, which all numbers of limiters serve.
const SMALL_FLEETS: [u32; 2] = [4, 12];
/// Fleets with as many servers as limiters: numbers of limiters and capacities.
const LARGE_FLEETS: [u32; 3] = [30, 100, 300];
const LARGE_FLEET_CAPACITIES_PER_S: [f64; 2] = [0.5, 4.0];
/// Fleet of the servers that differ in size, and numbers of its limiters.
const MIXED_FLEET: u32 = 12;
const MIXED_FLEET_LIMITERS: [u32; 4] = [1, 3, 30, 300];
/// One server in so many joins.
const SERVERS_PER_COLD: u32 = 6;

/// Steady load as a share of the capacity of all servers when warm.
const LOAD: f64 = 0.9;
const BURST_TIMES: f64 = 1.5;
/// Times in seconds: the end of the processes that come back, the start of all cold ones, the burst.
const EXIT_S: f64 = 2.0;
const START_S: f64 = 6.0;
const BURST_S: f64 = 5.0;
const BURST_LENGTH_S: f64 = 8.0;
/// New members start shortly before the servers.
const KILL_S: f64 = 5.0;
const KILLED_FOR_S: f64 = 0.8;
const NEW_MEMBER_SHARE: f64 = 0.34;
/// Time after the last cold window until the end of a run.
const MARGIN_S: f64 = 1.0;

/// Most customers use between 0.1 and 0.6 of their quota.
const MEAN_USE: f64 = 0.35;
/// Least number of customers, and least quota of one in units a second.
const MIN_CUSTOMERS: f64 = 40.0;
const MIN_QUOTA_PER_S: f64 = 0.5;
/// Burst of a quota in units.
const QUOTA_BURST_UNITS: f64 = 20.0;
/// Milliseconds of work that keeps one core busy for a second.
const CORE_MS_PER_S: f64 = 1000.0;
/// Work of the smallest request, up to the core's limit.
const MIN_WORK_MS: f64 = 80.0;
/// Target latency in multiples of the work of a request, at least, and patience in target latencies.
const TARGET_WORKS: f64 = 6.0;
const PATIENCE_TARGETS: f64 = 4.0;
const MIN_TARGET_S: f64 = 4.0;
/// Queue of a server in seconds of its warm capacity, and least length of it.
const QUEUE_S: f64 = 6.0;
const MIN_QUEUE: u32 = 24;
/// Share of its capacity that a server has when it has just started.
const COLD_SHARE: f64 = 0.1;

/// All scenarios.
pub fn full_trials() -> Vec<Trial> {
    let mut trials = Vec::new();
    let mut add = |limiters, servers, sizes, capacities: &[f64]| {
        for returning in [Returning::Sixth, Returning::All] {
            for capacity_per_s in capacities.iter().copied() {
                let trial =
                    |condition| Trial { limiters, servers, capacity_per_s, sizes, returning, condition };
                trials.extend(Condition::EACH.map(trial));
            }
        }
    };
    for limiters in LIMITERS {
        for servers in SMALL_FLEETS {
            add(limiters, servers, Sizes::Equal, &CAPACITIES_PER_S);
        }
    }
    for limiters in LARGE_FLEETS {
        add(limiters, limiters, Sizes::Equal, &LARGE_FLEET_CAPACITIES_PER_S);
    }
    for limiters in MIXED_FLEET_LIMITERS {
        add(limiters, MIXED_FLEET, Sizes::Mixed, &CAPACITIES_PER_S);
    }
    trials
}

/// A few scenarios that take seconds.
pub fn small_trials() -> Vec<Trial> {
    let small = [
        (1, 25.0, Returning::All, Condition::Steady),
        (2, 4.0, Returning::All, Condition::NewMembers),
        (3, 0.5, Returning::All, Condition::All),
        (3, 25.0, Returning::All, Condition::All),
        (10, 4.0, Returning::All, Condition::Burst),
        (30, 4.0, Returning::All, Condition::SilentPeers),
        (30, 25.0, Returning::Sixth, Condition::All),
        (100, 4.0, Returning::Sixth, Condition::All),
        (300, 4.0, Returning::Sixth, Condition::Burst),
    ];
    let trial = |(limiters, capacity_per_s, returning, condition)| Trial {
        limiters,
        servers: SMALL_FLEETS[1],
        capacity_per_s,
        sizes: Sizes::Equal,
        returning,
        condition,
    };
    let mixed = |limiters, capacity_per_s| Trial {
        sizes: Sizes::Mixed,
        ..trial((limiters, capacity_per_s, Returning::All, Condition::Burst))
    };
    small.map(trial).into_iter().chain([mixed(1, 100.0), mixed(3, 25.0)]).collect()
}

impl Trial {
    /// The scenario, without the servers that join.
    pub fn scenario(&self) -> Scenario {
        let cores = (self.capacity_per_s * MIN_WORK_MS / CORE_MS_PER_S).ceil().max(1.0);
        let work_ms = CORE_MS_PER_S * cores / self.capacity_per_s;
        let aim_s = (TARGET_WORKS * work_ms / 1000.0).max(MIN_TARGET_S);
        let nodes = Nodes {
            count: self.servers,
            cores,
            slots: 2 * cores as u32,
            queue: MIN_QUEUE.max((QUEUE_S * self.capacity_per_s) as u32),
            cold_share: COLD_SHARE,
            speed: self.sizes.range(),
            law: Law::Fixed,
            ..Nodes::default()
        };
        let class = ClassOf {
            name: "request".into(),
            share: 1.0,
            work_ms,
            aim_s,
            give_up_s: PATIENCE_TARGETS * aim_s,
            worth: 1.0,
            units: 1.0,
            repeats: Repeats::Safe,
            window_s: 0.0,
        };
        let mut scenario = Scenario {
            name: self.name(),
            seconds: START_S + nodes.cold_s + MARGIN_S,
            limiters: Limiters { count: self.limiters, ..Limiters::default() },
            nodes,
            classes: vec![class],
            timeline: self.timeline(),
            ..Scenario::default()
        };
        scenario.clients.load = LOAD;
        scenario.clients.full = 0.0;
        scenario.clients.greedy = 0.0;
        scenario.clients.flash = 0.0;
        scenario.plans = vec![self.plan(scenario.requests_per_s())];
        if self.condition.includes(Condition::SilentPeers) {
            scenario.net = Net { mail_loss: 1.0, ..scenario.net };
        }
        scenario
    }

    /// Name of the scenario.
    pub fn name(&self) -> String {
        let Trial { limiters, servers, capacity_per_s, sizes, returning, condition } = self;
        let (sizes, returning, condition) = (sizes.name(), returning.name(), condition.name());
        format!("{limiters} limiters, {servers} {sizes} servers of {capacity_per_s}/s, {returning} return, {condition}")
    }

    /// A quota that does not bind, for as many customers as limiters where the traffic allows it.
    fn plan(&self, requests_per_s: f64) -> PlanOf {
        let customers = MIN_CUSTOMERS.max(f64::from(self.limiters));
        let rate = (requests_per_s / (MEAN_USE * customers)).max(MIN_QUOTA_PER_S);
        PlanOf {
            name: "plan".into(),
            share: 1.0,
            rate,
            burst_s: QUOTA_BURST_UNITS / rate + 2.0,
            price: 1.0,
            over_cost: 1.0,
            ceiling: 0.0,
        }
    }

    fn timeline(&self) -> Vec<Trouble> {
        let fault = |what, at_s, for_s| Trouble::new(what, at_s, for_s);
        let returning = match self.returning {
            Returning::Sixth => self.cold_servers(SERVERS_PER_COLD / 2).map(|n| n as u32).collect(),
            Returning::All => (0..self.servers).filter(|n| n % SERVERS_PER_COLD != 0).collect(),
        };
        let mut timeline =
            vec![Trouble { nodes: Some(returning), ..fault(What::Exit, EXIT_S, START_S - EXIT_S) }];
        if self.condition.includes(Condition::Burst) {
            let burst = fault(What::Surge, BURST_S, BURST_LENGTH_S);
            timeline.push(Trouble { times: Some(BURST_TIMES), ..burst });
        }
        if self.condition.includes(Condition::NewMembers) {
            let kill = fault(What::Kill, KILL_S, KILLED_FOR_S);
            timeline.push(Trouble { limiter_share: Some(NEW_MEMBER_SHARE), ..kill });
        }
        timeline
    }

    /// The servers that join.
    pub fn joining_servers(&self) -> Vec<usize> {
        self.cold_servers(0).collect()
    }

    /// Every sixth server, from one on.
    fn cold_servers(&self, first: u32) -> impl Iterator<Item = usize> {
        (first..self.servers).step_by(SERVERS_PER_COLD as usize).map(|n| n as usize)
    }

    /// Findings under one seed.
    ///
    /// # Errors
    /// If the scenario cannot run.
    pub fn play(&self, seed: u64) -> Result<Findings, String> {
        let world = World::new(&self.scenario(), seed)?
            .with_joining_servers(&self.joining_servers(), START_S)
            .with_listed_sizes()
            .with_slow_start_judge();
        world.play(|_| {}).slow_start.ok_or_else(|| "the run was not judged".to_string())
    }
}

/// Plays trials under some seeds, on all cores; results are in the order of the trials. `on_result` is called after
/// each trial.
///
/// # Errors
/// If a scenario cannot run.
pub fn play(
    trials: &[Trial],
    seeds: &[u64],
    on_result: impl Fn(&TrialResult) + Sync,
) -> Result<Vec<TrialResult>, String> {
    let run = |trial: &Trial| {
        let mut result = TrialResult {
            trial: *trial,
            findings: Findings::default(),
            breached_seeds: Vec::new(),
            worst_seed: 0,
        };
        for seed in seeds {
            let findings = trial.play(*seed)?;
            if !findings.breaches.is_empty() {
                result.breached_seeds.push((*seed, findings.breaches.len()));
            }
            if findings.worst_ratio() > result.findings.worst_ratio() {
                result.worst_seed = *seed;
            }
            result.findings.merge(findings);
        }
        on_result(&result);
        Ok(result)
    };
    trials.par_iter().map(run).collect()
}
