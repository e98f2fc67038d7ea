//! What is rehearsed: the house, its clients, and a timeline of faults and load, as a TOML file gives them.
//!
//! Every key has a default, and together the defaults are the association's house as its brief describes it: a file
//! says only what is different. [`Scenario::read`] names each mistake with its key.

mod check;
mod house;

pub use check::{schema, Wrong, MAX_CUSTOMERS};
use fawnhill::{Effect, KeyGroup, Settings};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::draws::Law;
use crate::server_model::ServerParameters;

/// A whole scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Short name, for reports.
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// What is rehearsed and what to look at, for staff.
    #[garde(skip)]
    pub about: String,
    /// How long clients send, in seconds.
    #[garde(range(min = 2.0, max = 7200.0))]
    pub seconds: f64,
    /// Buildings over which limiters and nodes are spread in turn.
    #[garde(range(min = 1, max = 64))]
    pub buildings: u32,
    /// Regions over which the buildings are spread in turn: the ways between them are far, and may be lost for long.
    #[garde(range(min = 1, max = 16))]
    pub regions: u32,
    /// The ways between machines.
    #[garde(dive)]
    pub net: Net,
    /// The limiters.
    #[garde(dive)]
    pub limiters: Limiters,
    /// The booking nodes.
    #[garde(dive)]
    pub nodes: Nodes,
    /// Classes of requests.
    #[garde(dive, length(min = 1, max = 16))]
    pub classes: Vec<ClassOf>,
    /// Plans of the member firms.
    #[garde(dive, length(min = 1, max = 16))]
    pub plans: Vec<PlanOf>,
    /// Member firms and their dispatch programs.
    #[garde(dive)]
    pub clients: ClientsOf,
    /// What goes wrong, and when.
    #[garde(dive, length(max = 400))]
    pub timeline: Vec<Trouble>,
}

/// The ways between machines, in milliseconds one way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Net {
    /// Within a building, least and most.
    #[garde(custom(span(0.0, 1000.0)))]
    pub same_ms: [f64; 2],
    /// Between buildings, least and most.
    #[garde(custom(span(0.0, 1000.0)))]
    pub cross_ms: [f64; 2],
    /// Between regions, least and most; what is said between limiters takes as much longer.
    #[garde(custom(span(0.0, 1000.0)))]
    pub far_ms: [f64; 2],
    /// Messages between limiters, least and most.
    #[garde(custom(span(0.0, 1000.0)))]
    pub mail_ms: [f64; 2],
    /// Share of the messages between limiters that is lost.
    #[garde(range(min = 0.0, max = 1.0))]
    pub mail_loss: f64,
    /// How late a limiter hears a change of the roster, least and most, in seconds.
    #[garde(custom(span(0.0, 60.0)))]
    pub roster_s: [f64; 2],
}

/// The limiters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Limiters {
    /// How many.
    #[garde(range(min = 1, max = 1000))]
    pub count: u32,
    /// Firms that each remembers at most.
    #[garde(range(min = 16, max = 10_000_000))]
    pub firms: u32,
    /// Messages a second that each takes in; those beyond are lost.
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub messages_per_s: f64,
    /// Most attempts for a request.
    #[garde(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// A connection not made by then has failed, in milliseconds.
    #[garde(range(min = 1.0, max = 60_000.0))]
    pub connect_timeout_ms: f64,
    /// Seconds after SIGTERM in which new connections are still taken.
    #[garde(range(min = 0.0, max = 60.0))]
    pub close_s: f64,
    /// Seconds after SIGTERM at which a limiter is killed.
    #[garde(range(min = 0.0, max = 60.0))]
    pub kill_s: f64,
    /// They tell refused clients when to return.
    #[garde(skip)]
    pub advise: bool,
    /// The first so many hold units of quotas ahead of need (`[prefetch]` in the extensions file); the others are as before.
    #[garde(range(min = 0, max = 1000))]
    pub prefetch: u32,
}

/// The booking nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// How many.
    #[garde(range(min = 1, max = 20_000))]
    pub count: u32,
    /// Cores of each.
    #[garde(range(min = 0.1, max = 1024.0))]
    pub cores: f64,
    /// Requests in work at most.
    #[garde(range(min = 1, max = 10_000))]
    pub slots: u32,
    /// Requests waiting at most.
    #[garde(range(min = 0, max = 100_000))]
    pub queue: u32,
    /// Speeds, least and most; drawn once for each node.
    #[garde(custom(span(0.01, 100.0)))]
    pub speed: [f64; 2],
    /// Law of the work of a request round its class's mean.
    #[garde(skip)]
    pub law: Law,
    /// Capacity of a node that has just started, as a share.
    #[garde(range(min = 0.01, max = 1.0))]
    pub cold_share: f64,
    /// Seconds until it is warm.
    #[garde(range(min = 0.0, max = 600.0))]
    pub cold_s: f64,
    /// Sent more than this many times what it can do at that moment...
    #[garde(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// ...for so many seconds, a cold node falls over.
    #[garde(range(min = 0.0, max = 60.0))]
    pub fall_s: f64,
    /// Share of capacity lost when slots and waiting room are full, in proportion.
    #[garde(range(min = 0.0, max = 0.99))]
    pub thrash: f64,
    /// Connections at most.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: u32,
    /// Share of capacity that a full table of connections takes.
    #[garde(range(min = 0.0, max = 0.99))]
    pub table_tax: f64,
    /// Work that a new connection costs, in milliseconds.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub handshake_ms: f64,
    /// Idle connections are closed after so many seconds.
    #[garde(range(min = 0.1, max = 3600.0))]
    pub idle_s: f64,
    /// Work stops when its request is called off; else it runs on.
    #[garde(skip)]
    pub cancel_stops: bool,
}

/// How often a request may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Any number of times.
    Safe,
    /// All nodes drop repeats of its key for the window.
    Keyed,
    /// Once at most.
    Unsafe,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassOf {
    /// Its name.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// Share of the requests; the shares of all classes count in proportion.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// Mean work, in milliseconds of one core.
    #[garde(range(min = 0.1, max = 60_000.0))]
    pub work_ms: f64,
    /// An answer within so many seconds earns its worth.
    #[garde(range(min = 0.01, max = 600.0))]
    pub aim_s: f64,
    /// Given up after so many seconds.
    #[garde(range(min = 0.01, max = 600.0))]
    pub give_up_s: f64,
    /// Worth of one.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub worth: f64,
    /// Units that it takes.
    #[garde(range(min = 0.1, max = 1000.0))]
    pub units: f64,
    /// How often it may run.
    #[garde(skip)]
    pub repeats: Repeats,
    /// Seconds for which nodes drop repeats.
    #[garde(range(min = 0.0, max = 600.0))]
    #[serde(default)]
    pub window_s: f64,
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct PlanOf {
    /// Its name.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// Share of the use inside quotas; counts in proportion.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// Units a second for each firm.
    #[garde(range(min = 0.01, max = 1e6))]
    pub rate: f64,
    /// Seconds' worth of the rate that may be used at once.
    #[garde(range(min = 0.0, max = 600.0))]
    pub burst_s: f64,
    /// What worth counts times.
    #[garde(range(min = 0.0, max = 100.0))]
    pub price: f64,
    /// What is sent on beyond the quota costs this share of its worth.
    #[garde(range(min = 0.0, max = 10.0))]
    pub over_cost: f64,
    /// Hard ceiling as a multiple of the quota; 0 for none.
    #[garde(range(min = 0.0, max = 100.0))]
    #[serde(default)]
    pub ceiling: f64,
}

/// Member firms and their dispatch programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct ClientsOf {
    /// Use inside the quotas as a share of what the fleet can do.
    #[garde(range(min = 0.001, max = 3.0))]
    pub load: f64,
    /// Share of the firms that use nearly all of their quota.
    #[garde(range(min = 0.0, max = 1.0))]
    pub full: f64,
    /// Share of the firms that ask for up to `greedy_times` their quota for long spells.
    #[garde(range(min = 0.0, max = 1.0))]
    pub greedy: f64,
    /// See `greedy`.
    #[garde(range(min = 1.0, max = 1000.0))]
    pub greedy_times: f64,
    /// Share of the firms that ask for up to `flash_times` their quota for a moment now and then.
    #[garde(range(min = 0.0, max = 1.0))]
    pub flash: f64,
    /// See `flash`.
    #[garde(range(min = 1.0, max = 1000.0))]
    pub flash_times: f64,
    /// How long such a moment lasts, in seconds.
    #[garde(custom(span(0.01, 600.0)))]
    pub flash_s: [f64; 2],
    /// Limiters through which a firm's requests come in.
    #[garde(custom(whole_span(1, 4)))]
    pub spread: [u32; 2],
    /// Seconds after which the busiest of them change.
    #[garde(custom(span(0.1, 3600.0)))]
    pub shift_s: [f64; 2],
    /// How often a client tries again by itself, at most.
    #[garde(range(min = 0, max = 20))]
    pub retries: u32,
    /// How long it waits before, in milliseconds; doubled each time.
    #[garde(custom(span(0.0, 60_000.0)))]
    pub backoff_ms: [f64; 2],
    /// Share of the clients that obey advice on when to return.
    #[garde(range(min = 0.0, max = 1.0))]
    pub obey: f64,
    /// A try is given up after this share of the class's time.
    #[garde(custom(span(0.01, 1.0)))]
    pub patience: [f64; 2],
    /// Share of the firms whose requests come through proxies that ask a limiter about each (external processor).
    #[garde(range(min = 0.0, max = 1.0))]
    pub proxied: f64,
    /// Share of the tries whose client leaves without waiting.
    #[garde(range(min = 0.0, max = 1.0))]
    pub leave: f64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// All firms, or those of `plan`, ask for `times` as much.
    Surge,
    /// So many `firms` add `share` to all traffic, each the same.
    Flood,
    /// Requests of firms that nobody has seen, `per_s` of them, on `plan`.
    Strangers,
    /// The processes of `nodes` end at once and start again, cold, after `for_s`.
    Exit,
    /// The roster says that `nodes` drain; they exit after `after_s` and start again, cold, after `for_s`.
    Drain,
    /// `nodes` keep all connections, take requests in and do nothing.
    Stall,
    /// `nodes` do nothing for `length_s` every `every_s`.
    Pause,
    /// `nodes` take `times` as long.
    Slow,
    /// `nodes` answer a `share` of the requests with an error, after having done them.
    Errors,
    /// `nodes` reset the connection of a `share` of the requests instead of answering.
    Resets,
    /// The machines of `nodes` say nothing: no connection comes up, none is reset.
    Vanish,
    /// `building` is cut off from the others.
    Cut,
    /// `region` is parted from the others: neither requests, nor messages, nor news of the others' nodes pass. Within it all
    /// goes on, its own registry too.
    Part,
    /// A further `share` of the messages between limiters is lost; with `from` and `to` on those ways alone.
    Lossy,
    /// Messages between limiters, or those `from` some `to` others, come later by `late_ms`, each by its own.
    Late,
    /// A `share` of the messages comes twice.
    Twice,
    /// A `share` of the messages comes with a byte spoilt.
    Garble,
    /// Limiters hear one another only where one of `groups` holds both.
    Groups,
    /// Nobody, or none of `limiters`, hears a change of the roster.
    RosterSilent,
    /// `nodes` refuse connections of `limiters`; those that are open stay.
    Refuse,
    /// `nodes` accept connections of `limiters`, and take in and say nothing on any of them.
    Mute,
    /// A `share` of what `limiters` send to `nodes` breaks off before its last byte; of discovery, of what it says to them.
    Break,
    /// Answers of `nodes` to `limiters` are held back by `late_ms`.
    Hold,
    /// No more than `per_s` bytes a second go each way between `limiters` and `nodes`, on each connection.
    Trickle,
    /// `limiters` get SIGTERM, and are up again `for_s` after they ended.
    Restart,
    /// All limiters are restarted one after another, `every_s` apart, each down for `down_s`.
    Rolling,
    /// `limiters` are killed and up again after `for_s`; with `stumbles` they die so often as they start, with `moment` each
    /// is killed when it next holds a request that far.
    Kill,
    /// `limiters` stand still, and go on.
    Freeze,
    /// `limiters` have a slow core: they stand still for a `share` of each 100 ms.
    Starve,
}

/// How far a request has come that a limiter holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Moment {
    /// Taken from its client, and not sent on.
    Taken,
    /// Sent on, and not answered.
    Sent,
}

/// One entry of the timeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What.
    #[garde(skip)]
    pub what: What,
    /// When it begins, in seconds from the start.
    #[garde(range(min = 0.0, max = 7200.0))]
    pub at_s: f64,
    /// How long it lasts, in seconds.
    #[garde(range(min = 0.001, max = 7200.0))]
    pub for_s: f64,
    /// Which nodes, by number from 0.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<Vec<u32>>,
    /// Which nodes, as a share of all, evenly picked.
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node_share: Option<f64>,
    /// Which limiters, by number from 0.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limiters: Option<Vec<u32>>,
    /// Which limiters, as a share of all, drawn by the seed.
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limiter_share: Option<f64>,
    /// Whose messages, by number from 0; all if left out.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Vec<u32>>,
    /// Messages to whom, by number from 0; all if left out.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<Vec<u32>>,
    /// Groups of limiters, which may overlap.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub groups: Option<Vec<Vec<u32>>>,
    /// How much later, least and most, in milliseconds.
    #[garde(inner(custom(span(0.0, 600_000.0))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<[f64; 2]>,
    /// How often a limiter dies as it starts.
    #[garde(inner(range(min = 0, max = 20)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stumbles: Option<u32>,
    /// What befalls streams befalls those to discovery, not those to nodes.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub discovery: Option<bool>,
    /// How far a request has come when its limiter is killed.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moment: Option<Moment>,
    /// Which building, by number from 0.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub building: Option<u32>,
    /// Which region, by number from 0.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<u32>,
    /// Name of a plan.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<String>,
    /// How many times.
    #[garde(inner(range(min = 0.0, max = 1000.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<f64>,
    /// Which share.
    #[garde(inner(range(min = 0.0, max = 10.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// How many firms.
    #[garde(inner(range(min = 1, max = 1000)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub firms: Option<u32>,
    /// How many a second.
    #[garde(inner(range(min = 0.01, max = 1e6)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub per_s: Option<f64>,
    /// Seconds from the notice to the exit.
    #[garde(inner(range(min = 0.0, max = 7200.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_s: Option<f64>,
    /// Seconds from one to the next.
    #[garde(inner(range(min = 0.01, max = 7200.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_s: Option<f64>,
    /// Seconds that each lasts.
    #[garde(inner(range(min = 0.001, max = 7200.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub length_s: Option<f64>,
    /// Seconds that each is down.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub down_s: Option<f64>,
}

fn span(low: f64, high: f64) -> impl FnOnce(&[f64; 2], &()) -> garde::Result {
    move |[from, to], _| {
        let good = (low..=high).contains(from) && (low..=high).contains(to) && from <= to;
        good.then_some(()).ok_or_else(|| {
            garde::Error::new(format!("two numbers from {low} to {high}, the lower first, are expected"))
        })
    }
}

fn whole_span(low: u32, high: u32) -> impl FnOnce(&[u32; 2], &()) -> garde::Result {
    move |[from, to], _| span(f64::from(low), f64::from(high))(&[f64::from(*from), f64::from(*to)], &())
}

impl Trouble {
    /// It befalls streams to discovery.
    pub fn targets_discovery(&self) -> bool {
        self.discovery == Some(true)
    }
}

impl Scenario {
    /// Number of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|p| p.name == name)
    }

    /// Mean over the classes of some figure of theirs.
    pub fn mean(&self, of: impl Fn(&ClassOf) -> f64) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share * of(c)).sum::<f64>() / shares
    }

    /// Requests a second inside the quotas.
    pub fn requests_per_s(&self) -> f64 {
        let speed = (self.nodes.speed[0] + self.nodes.speed[1]) / 2.0;
        let can = f64::from(self.nodes.count) * self.nodes.cores * speed * 1000.0;
        self.clients.load * can / self.mean(|c| c.work_ms)
    }

    /// Units of the largest request.
    pub fn largest_request_units(&self) -> f64 {
        self.classes.iter().map(|c| c.units).fold(0.0, f64::max)
    }

    /// A plan's quota for each firm: units a second, and units that its store holds at most, which are those of the
    /// largest request at least.
    pub fn quota(&self, plan: usize) -> (f64, f64) {
        let p = &self.plans[plan];
        (p.rate, (p.rate * p.burst_s).max(self.largest_request_units()))
    }

    /// Share of the use inside quotas that a plan has.
    pub fn plan_share(&self, plan: usize) -> f64 {
        self.plans[plan].share / self.plans.iter().map(|p| p.share).sum::<f64>()
    }

    /// A node of this scenario.
    pub fn model(&self, speed: f64) -> ServerParameters {
        let n = &self.nodes;
        ServerParameters {
            cores: n.cores,
            slots: n.slots as usize,
            queue: n.queue as usize,
            speed,
            cold_share: n.cold_share,
            cold_ms: n.cold_s * 1000.0,
            fall_multiple: n.fall_multiple,
            fall_ms: n.fall_s * 1000.0,
            thrash: n.thrash,
            connections: n.connections as usize,
            table_tax: n.table_tax,
            handshake_ms: n.handshake_ms,
            cancel_stops: n.cancel_stops,
        }
    }

    /// What the limiter at a position is told.
    pub fn settings(&self, position: u32) -> Settings {
        let largest = self.classes.iter().map(|c| c.units).fold(0.0, f64::max);
        let class = |c: &ClassOf| fawnhill::Class {
            aim_ms: c.aim_s * 1000.0,
            late_worth: 0.0,
            effect: match c.repeats {
                Repeats::Safe => Effect::Safe,
                Repeats::Keyed => Effect::Keyed,
                Repeats::Unsafe => Effect::Unsafe,
            },
            group: KeyGroup::All,
            window_ms: c.window_s * 1000.0,
        };
        let plan = |p: &PlanOf| {
            let ceiling_burst = p.ceiling * p.rate * p.burst_s;
            // The brief's rule: 10% or one of the largest requests, whichever is more.
            let slack = if p.ceiling > 0.0 { (0.1 * ceiling_burst).max(largest) } else { 0.0 };
            fawnhill::Plan {
                rate: p.rate,
                burst: (p.rate * p.burst_s).max(largest),
                open: 0,
                ceiling_rate: p.ceiling * p.rate,
                ceiling_burst: if p.ceiling > 0.0 { ceiling_burst.max(largest) } else { 0.0 },
                ceiling_slack: slack,
            }
        };
        Settings {
            limiters: self.limiters.count,
            position,
            zone: position % self.buildings,
            classes: self.classes.iter().map(class).collect(),
            plans: self.plans.iter().map(plan).collect(),
            round_ms: 1.0,
            max_attempts: self.limiters.max_attempts,
            connect_timeout_ms: self.limiters.connect_timeout_ms,
            may_probe: false,
            may_tell: self.limiters.messages_per_s > 0.0,
            may_cancel: true,
            may_advise: self.limiters.advise,
            messages_per_s: self.limiters.messages_per_s,
            must_subscribe: false,
            cold_share: self.nodes.cold_share,
            cold_ms: self.nodes.cold_s * 1000.0,
            fall_multiple: self.nodes.fall_multiple,
            fall_ms: self.nodes.fall_s * 1000.0,
            firms: self.limiters.firms,
        }
    }

    /// The nodes that a trouble is about.
    pub fn affected_servers(&self, trouble: &Trouble) -> Vec<usize> {
        match (&trouble.nodes, trouble.node_share) {
            (Some(nodes), _) => nodes.iter().map(|n| *n as usize).collect(),
            (None, Some(share)) => {
                let (all, some) =
                    (self.nodes.count as usize, (f64::from(self.nodes.count) * share).round() as usize);
                // Evenly over the list, and so over the buildings.
                (0..some).map(|n| n * all / some.max(1)).collect()
            }
            (None, None) => Vec::new(),
        }
    }
}

impl Scenario {
    /// The same with all draws that the seed leaves open made: who of the limiters a trouble is about.
    pub fn resolve_random_targets(&self, seed: u64) -> Scenario {
        let mut drawn = self.clone();
        for (n, t) in drawn.timeline.iter_mut().enumerate() {
            if let Some(share) = t.limiter_share.take() {
                let mut rng = crate::draws::stream(seed, "who", n as u64);
                let mut all: Vec<u32> = (0..self.limiters.count).collect();
                let some = (f64::from(self.limiters.count) * share).round() as usize;
                for at in 0..some {
                    let other = crate::draws::between(&mut rng, [at as f64, all.len() as f64]) as usize;
                    let other = other.min(all.len() - 1);
                    all.swap(at, other);
                }
                all.truncate(some);
                all.sort_unstable();
                t.limiters = Some(all);
            }
        }
        drawn
    }

    /// What of it the virtual world cannot play, and why.
    pub fn unsupported_in_simulation(&self) -> Vec<Wrong> {
        let of = |(n, t): (usize, &Trouble)| {
            let why = match t.what {
                What::Refuse | What::Mute | What::Break | What::Hold | What::Trickle => "it has no streams",
                What::Starve => "a limiter there takes no time to decide",
                What::Kill if t.stumbles.is_some() => "a limiter there starts in no time",
                What::Kill if t.moment.is_some() => {
                    "its kills fall at their second, whatever a limiter holds"
                }
                _ => return None,
            };
            let what = format!(
                "\"{}\" is played by real processes only (`marldeal faults`): {why}",
                fault_name(t.what)
            );
            Some(Wrong { key: format!("timeline[{n}].what"), what })
        };
        self.timeline.iter().enumerate().filter_map(of).collect()
    }
}

/// The name of a trouble as files have it.
pub fn fault_name(what: What) -> String {
    format!("{what:?}").chars().fold(String::new(), |mut name, c| {
        if c.is_uppercase() && !name.is_empty() {
            name.push('_');
        }
        name.extend(c.to_lowercase());
        name
    })
}
