//! Scenarios in TOML: the deployment, its clients, and a timeline of faults and load changes.
//!
//! Every key has a default. The defaults together describe the reference deployment, so a file holds only what
//! differs from it. [`Scenario::read`] reports each error with its key.

mod check;
mod defaults;

pub use check::{schema, ScenarioError, MAX_CUSTOMERS};
use fawnhill::{Effect, KeyGroup, Settings};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::draws::Law;
use crate::server_model::ServerParameters;

/// A scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Short name, shown in reports.
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    /// What the scenario simulates and which results to look at.
    #[garde(skip)]
    pub about: String,
    /// Time during which clients send requests, in seconds.
    #[garde(range(min = 2.0, max = 7200.0))]
    pub seconds: f64,
    /// Number of buildings (zones). Limiters and servers are assigned to them round-robin.
    #[garde(range(min = 1, max = 64))]
    pub buildings: u32,
    /// Number of regions. Buildings are assigned to them round-robin. Links between regions have a high latency, and
    /// may be down for long.
    #[garde(range(min = 1, max = 16))]
    pub regions: u32,
    /// The network between machines.
    #[garde(dive)]
    pub net: Net,
    /// The limiters.
    #[garde(dive)]
    pub limiters: Limiters,
    /// The servers.
    #[garde(dive)]
    pub nodes: Nodes,
    /// Request classes.
    #[garde(dive, length(min = 1, max = 16))]
    pub classes: Vec<ClassOf>,
    /// Plans of the customers.
    #[garde(dive, length(min = 1, max = 16))]
    pub plans: Vec<PlanOf>,
    /// Customers and their client programs.
    #[garde(dive)]
    pub clients: ClientsOf,
    /// Faults and load changes, each with its time.
    #[garde(dive, length(max = 400))]
    pub timeline: Vec<Trouble>,
}

/// Network between machines. Latencies are one-way, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Net {
    /// Latency within a building, minimum and maximum.
    #[garde(custom(span(0.0, 1000.0)))]
    pub same_ms: [f64; 2],
    /// Latency between buildings, minimum and maximum.
    #[garde(custom(span(0.0, 1000.0)))]
    pub cross_ms: [f64; 2],
    /// Latency between regions, minimum and maximum. It is added to the latency of messages between limiters.
    #[garde(custom(span(0.0, 1000.0)))]
    pub far_ms: [f64; 2],
    /// Latency of messages between limiters, minimum and maximum.
    #[garde(custom(span(0.0, 1000.0)))]
    pub mail_ms: [f64; 2],
    /// Fraction of the messages between limiters that is lost.
    #[garde(range(min = 0.0, max = 1.0))]
    pub mail_loss: f64,
    /// Delay until a limiter receives a change of the server list, minimum and maximum, in seconds.
    #[garde(custom(span(0.0, 60.0)))]
    pub roster_s: [f64; 2],
}

/// The limiters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Limiters {
    /// Number of limiters.
    #[garde(range(min = 1, max = 1000))]
    pub count: u32,
    /// Maximum number of customers that each limiter keeps state for.
    #[garde(range(min = 16, max = 10_000_000))]
    pub firms: u32,
    /// Maximum rate of messages that each limiter receives, per second; messages above it are lost.
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub messages_per_s: f64,
    /// Maximum number of attempts per request.
    #[garde(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// Time-out for establishing a connection, in milliseconds.
    #[garde(range(min = 1.0, max = 60_000.0))]
    pub connect_timeout_ms: f64,
    /// Time after SIGTERM during which new connections are still accepted, in seconds.
    #[garde(range(min = 0.0, max = 60.0))]
    pub close_s: f64,
    /// Time after SIGTERM at which a limiter is killed, in seconds.
    #[garde(range(min = 0.0, max = 60.0))]
    pub kill_s: f64,
    /// Whether limiters tell refused clients when to retry.
    #[garde(skip)]
    pub advise: bool,
    /// Number of limiters that prefetch quota units (`[prefetch]` in the extensions file): the first ones by
    /// position.
    #[garde(range(min = 0, max = 1000))]
    pub prefetch: u32,
}

/// The servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// Number of servers.
    #[garde(range(min = 1, max = 20_000))]
    pub count: u32,
    /// Cores of each server.
    #[garde(range(min = 0.1, max = 1024.0))]
    pub cores: f64,
    /// Maximum number of requests that a server processes concurrently.
    #[garde(range(min = 1, max = 10_000))]
    pub slots: u32,
    /// Maximum number of requests in a server's queue.
    #[garde(range(min = 0, max = 100_000))]
    pub queue: u32,
    /// Relative speed, minimum and maximum; drawn once for each server.
    #[garde(custom(span(0.01, 100.0)))]
    pub speed: [f64; 2],
    /// Probability distribution of a request's work around the mean of its class.
    #[garde(skip)]
    pub law: Law,
    /// Capacity of a server that has just started, as a fraction of its full capacity.
    #[garde(range(min = 0.01, max = 1.0))]
    pub cold_share: f64,
    /// Time after its start until a server has its full capacity, in seconds.
    #[garde(range(min = 0.0, max = 600.0))]
    pub cold_s: f64,
    /// A server in slow start crashes if it receives more than this multiple of its current capacity...
    #[garde(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// ...over this time, in seconds.
    #[garde(range(min = 0.0, max = 60.0))]
    pub fall_s: f64,
    /// Fraction of capacity that is lost when slots and queue are full; proportionally less when they are partly
    /// full.
    #[garde(range(min = 0.0, max = 0.99))]
    pub thrash: f64,
    /// Maximum number of connections of a server.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: u32,
    /// Fraction of capacity that a full connection table uses.
    #[garde(range(min = 0.0, max = 0.99))]
    pub table_tax: f64,
    /// Work to accept a new connection, in milliseconds.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub handshake_ms: f64,
    /// Time after which idle connections are closed, in seconds.
    #[garde(range(min = 0.1, max = 3600.0))]
    pub idle_s: f64,
    /// Whether a server stops work on a cancelled request; otherwise the work runs to its end.
    #[garde(skip)]
    pub cancel_stops: bool,
}

/// How often a request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Any number of times.
    Safe,
    /// Any number of times, since all servers ignore repeats with the same key within the window.
    Keyed,
    /// At most once.
    Unsafe,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassOf {
    /// Name of the class.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// Weight of the class among all requests.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// Mean work of a request, in milliseconds of one core.
    #[garde(range(min = 0.1, max = 60_000.0))]
    pub work_ms: f64,
    /// Target latency in seconds. An answer within it counts with the request's worth.
    #[garde(range(min = 0.01, max = 600.0))]
    pub aim_s: f64,
    /// Time after which the client cancels, in seconds.
    #[garde(range(min = 0.01, max = 600.0))]
    pub give_up_s: f64,
    /// Worth of a request that is answered in time.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub worth: f64,
    /// Quota units that a request uses.
    #[garde(range(min = 0.1, max = 1000.0))]
    pub units: f64,
    /// How often a request may be executed.
    #[garde(skip)]
    pub repeats: Repeats,
    /// Time during which servers ignore repeats of a key, in seconds.
    #[garde(range(min = 0.0, max = 600.0))]
    #[serde(default)]
    pub window_s: f64,
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct PlanOf {
    /// Name of the plan.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// Weight of the plan in the use within quotas.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// Quota of each customer, in units per second.
    #[garde(range(min = 0.01, max = 1e6))]
    pub rate: f64,
    /// Burst size of the quota's token bucket, in seconds of its rate.
    #[garde(range(min = 0.0, max = 600.0))]
    pub burst_s: f64,
    /// Factor on the worth of the plan's requests.
    #[garde(range(min = 0.0, max = 100.0))]
    pub price: f64,
    /// Cost of a request that is forwarded beyond the quota, as a fraction of its worth.
    #[garde(range(min = 0.0, max = 10.0))]
    pub over_cost: f64,
    /// Hard ceiling as a multiple of the quota; 0 for no ceiling.
    #[garde(range(min = 0.0, max = 100.0))]
    #[serde(default)]
    pub ceiling: f64,
}

/// Customers and their client programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct ClientsOf {
    /// Use within the quotas, as a fraction of the capacity of all servers.
    #[garde(range(min = 0.001, max = 3.0))]
    pub load: f64,
    /// Fraction of the customers that use nearly all of their quota.
    #[garde(range(min = 0.0, max = 1.0))]
    pub full: f64,
    /// Fraction of the customers that request up to `greedy_times` their quota for long periods.
    #[garde(range(min = 0.0, max = 1.0))]
    pub greedy: f64,
    /// Multiple of the quota for `greedy` customers.
    #[garde(range(min = 1.0, max = 1000.0))]
    pub greedy_times: f64,
    /// Fraction of the customers that request up to `flash_times` their quota in occasional short bursts.
    #[garde(range(min = 0.0, max = 1.0))]
    pub flash: f64,
    /// Multiple of the quota for `flash` customers.
    #[garde(range(min = 1.0, max = 1000.0))]
    pub flash_times: f64,
    /// Duration of such a burst, minimum and maximum, in seconds.
    #[garde(custom(span(0.01, 600.0)))]
    pub flash_s: [f64; 2],
    /// Number of limiters that receive a customer's requests, minimum and maximum.
    #[garde(custom(whole_span(1, 4)))]
    pub spread: [u32; 2],
    /// Interval between changes of a customer's distribution over these limiters, minimum and maximum, in seconds.
    #[garde(custom(span(0.1, 3600.0)))]
    pub shift_s: [f64; 2],
    /// Maximum number of retries by a client.
    #[garde(range(min = 0, max = 20))]
    pub retries: u32,
    /// Wait before the first retry, minimum and maximum, in milliseconds; doubled for each further retry.
    #[garde(custom(span(0.0, 60_000.0)))]
    pub backoff_ms: [f64; 2],
    /// Fraction of the clients that follow the limiter's advice on when to retry.
    #[garde(range(min = 0.0, max = 1.0))]
    pub obey: f64,
    /// Time-out of a try as a fraction of the class's `give_up_s`, minimum and maximum.
    #[garde(custom(span(0.01, 1.0)))]
    pub patience: [f64; 2],
    /// Fraction of the customers whose requests come through proxies that ask a limiter about each (external
    /// processor).
    #[garde(range(min = 0.0, max = 1.0))]
    pub proxied: f64,
    /// Fraction of the tries whose client disconnects without waiting for the answer.
    #[garde(range(min = 0.0, max = 1.0))]
    pub leave: f64,
}

/// Kind of a fault or load change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// All customers, or those of `plan`, send `times` as many requests.
    Surge,
    /// A number of `firms` together add `share` of the traffic, in equal parts.
    Flood,
    /// `per_s` requests per second, each of a customer on `plan` that has not been seen before.
    Strangers,
    /// The server processes in `nodes` exit at once and restart in slow start after `for_s`.
    Exit,
    /// The server list marks `nodes` as draining; they exit after `after_s` and restart in slow start after `for_s`.
    Drain,
    /// `nodes` keep all connections and accept requests, but process none.
    Stall,
    /// `nodes` process nothing for `length_s` in each interval of `every_s`.
    Pause,
    /// `nodes` take `times` as long for each request.
    Slow,
    /// `nodes` answer a `share` of the requests with an error after executing them.
    Errors,
    /// `nodes` reset the connection of a `share` of the requests instead of answering.
    Resets,
    /// The machines of `nodes` are unreachable: no connection is established or reset.
    Vanish,
    /// `building` is partitioned from the others.
    Cut,
    /// `region` is partitioned from the others: requests, messages and updates of the server list do not cross.
    /// Within the region everything works, including its own registry.
    Part,
    /// A further `share` of the messages between limiters is lost; `from` and `to` restrict this to some links.
    Lossy,
    /// Messages between limiters are delayed by `late_ms`, drawn for each message; `from` and `to` restrict this to
    /// some links.
    Late,
    /// A `share` of the messages is delivered twice.
    Twice,
    /// A `share` of the messages is delivered with a corrupted byte.
    Garble,
    /// Messages pass only between limiters that share one of `groups`.
    Groups,
    /// No limiter, or none of `limiters`, receives changes of the server list.
    RosterSilent,
    /// `nodes` refuse new connections from `limiters`; open connections stay.
    Refuse,
    /// `nodes` accept connections from `limiters`, but neither read nor write on any of them.
    Mute,
    /// A `share` of the requests from `limiters` to `nodes` is cut off before the last byte. With `discovery`, this
    /// applies to the data from discovery to the limiters.
    Break,
    /// Answers from `nodes` to `limiters` are delayed by `late_ms`.
    Hold,
    /// Each connection between `limiters` and `nodes` carries at most `per_s` bytes per second in each direction.
    Trickle,
    /// `limiters` receive SIGTERM and restart `for_s` after their exit.
    Restart,
    /// All limiters are restarted one after another at intervals of `every_s`; each is down for `down_s`.
    Rolling,
    /// `limiters` are killed and restart after `for_s`. With `stumbles`, the given number of starts fail before one
    /// succeeds. With `moment`, each is killed when it next holds a request at that stage.
    Kill,
    /// `limiters` stall (do not run) and then continue.
    Freeze,
    /// `limiters` have too little CPU time: they stall for a `share` of each 100 ms.
    Starve,
}

/// Stage of a request that a limiter holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Moment {
    /// Received from the client, not yet forwarded.
    Taken,
    /// Forwarded, not yet answered.
    Sent,
}

/// An entry of the timeline: a fault or a load change. Which of the optional keys apply depends on `what`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Kind of the fault or load change.
    #[garde(skip)]
    pub what: What,
    /// Begin, in seconds from the start of the run.
    #[garde(range(min = 0.0, max = 7200.0))]
    pub at_s: f64,
    /// Duration, in seconds.
    #[garde(range(min = 0.001, max = 7200.0))]
    pub for_s: f64,
    /// Affected servers, by index from 0.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<Vec<u32>>,
    /// Affected servers as a fraction of all, evenly spaced over the list.
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node_share: Option<f64>,
    /// Affected limiters, by position from 0.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limiters: Option<Vec<u32>>,
    /// Affected limiters as a fraction of all, drawn from the seed.
    #[garde(inner(range(min = 0.0, max = 1.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limiter_share: Option<f64>,
    /// Senders of the affected messages, by position from 0; all if omitted.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Vec<u32>>,
    /// Receivers of the affected messages, by position from 0; all if omitted.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<Vec<u32>>,
    /// Groups of limiters, by position from 0; groups may overlap.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub groups: Option<Vec<Vec<u32>>>,
    /// Additional delay, minimum and maximum, in milliseconds.
    #[garde(inner(custom(span(0.0, 600_000.0))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<[f64; 2]>,
    /// Number of failed starts of a limiter.
    #[garde(inner(range(min = 0, max = 20)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stumbles: Option<u32>,
    /// Whether a fault of connections applies to those to discovery rather than to servers.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub discovery: Option<bool>,
    /// Stage of a request at which its limiter is killed.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moment: Option<Moment>,
    /// Affected building, by index from 0.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub building: Option<u32>,
    /// Affected region, by index from 0.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<u32>,
    /// Name of the affected plan.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<String>,
    /// Factor on the demand or on the processing time.
    #[garde(inner(range(min = 0.0, max = 1000.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<f64>,
    /// Fraction of the traffic, the requests, the messages or the time, as `what` defines it.
    #[garde(inner(range(min = 0.0, max = 10.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Number of customers.
    #[garde(inner(range(min = 1, max = 1000)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub firms: Option<u32>,
    /// Rate per second: requests, or bytes for `trickle`.
    #[garde(inner(range(min = 0.01, max = 1e6)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub per_s: Option<f64>,
    /// Time from the drain notice to the exit, in seconds.
    #[garde(inner(range(min = 0.0, max = 7200.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_s: Option<f64>,
    /// Interval between repetitions, in seconds.
    #[garde(inner(range(min = 0.01, max = 7200.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every_s: Option<f64>,
    /// Duration of each repetition, in seconds.
    #[garde(inner(range(min = 0.001, max = 7200.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub length_s: Option<f64>,
    /// Time for which each limiter is down, in seconds.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub down_s: Option<f64>,
}

/// Validates a range: both ends within `low..=high`, the lower end first.
fn span(low: f64, high: f64) -> impl FnOnce(&[f64; 2], &()) -> garde::Result {
    move |[from, to], _| {
        let valid = (low..=high).contains(from) && (low..=high).contains(to) && from <= to;
        valid.then_some(()).ok_or_else(|| {
            garde::Error::new(format!("two numbers from {low} to {high}, the lower first, are expected"))
        })
    }
}

/// As [`span`], for integers.
fn whole_span(low: u32, high: u32) -> impl FnOnce(&[u32; 2], &()) -> garde::Result {
    move |[from, to], _| span(f64::from(low), f64::from(high))(&[f64::from(*from), f64::from(*to)], &())
}

impl Trouble {
    /// A fault without any of the optional keys.
    pub fn new(what: What, at_s: f64, for_s: f64) -> Trouble {
        Trouble {
            what,
            at_s,
            for_s,
            nodes: None,
            node_share: None,
            limiters: None,
            limiter_share: None,
            from: None,
            to: None,
            groups: None,
            late_ms: None,
            stumbles: None,
            discovery: None,
            moment: None,
            building: None,
            region: None,
            plan: None,
            times: None,
            share: None,
            firms: None,
            per_s: None,
            after_s: None,
            every_s: None,
            length_s: None,
            down_s: None,
        }
    }

    /// Whether a fault of connections applies to those to discovery.
    pub fn targets_discovery(&self) -> bool {
        self.discovery == Some(true)
    }
}

impl Scenario {
    /// Index of the plan with the given name.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|p| p.name == name)
    }

    /// Mean of a value over the classes, weighted by their shares.
    pub fn mean(&self, value: impl Fn(&ClassOf) -> f64) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share * value(c)).sum::<f64>() / shares
    }

    /// Rate of requests within the quotas, per second.
    pub fn requests_per_s(&self) -> f64 {
        let speed = (self.nodes.speed[0] + self.nodes.speed[1]) / 2.0;
        let capacity = f64::from(self.nodes.count) * self.nodes.cores * speed * 1000.0;
        self.clients.load * capacity / self.mean(|c| c.work_ms)
    }

    /// Units of the largest request class.
    pub fn largest_request_units(&self) -> f64 {
        self.classes.iter().map(|c| c.units).fold(0.0, f64::max)
    }

    /// Token bucket of a customer on a plan: its rate in units per second, and its size in units, which is at least
    /// that of the largest request.
    pub fn quota(&self, plan: usize) -> (f64, f64) {
        let p = &self.plans[plan];
        (p.rate, (p.rate * p.burst_s).max(self.largest_request_units()))
    }

    /// Fraction of the use within quotas that belongs to a plan.
    pub fn plan_share(&self, plan: usize) -> f64 {
        self.plans[plan].share / self.plans.iter().map(|p| p.share).sum::<f64>()
    }

    /// Parameters of a server with the given speed.
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

    /// Settings of the limiter at a position.
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
            // Tolerance of the ceiling: 10% of its burst or one largest request, whichever is more.
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

    /// Indices of the servers that a fault affects.
    pub fn affected_servers(&self, fault: &Trouble) -> Vec<usize> {
        match (&fault.nodes, fault.node_share) {
            (Some(nodes), _) => nodes.iter().map(|n| *n as usize).collect(),
            (None, Some(share)) => {
                let (total, affected) =
                    (self.nodes.count as usize, (f64::from(self.nodes.count) * share).round() as usize);
                // Evenly spaced over the list, and therefore over the buildings.
                (0..affected).map(|n| n * total / affected.max(1)).collect()
            }
            (None, None) => Vec::new(),
        }
    }
}

impl Scenario {
    /// Returns the scenario with each `limiter_share` replaced by a list of limiters that is drawn from the seed.
    pub fn resolve_random_targets(&self, seed: u64) -> Scenario {
        let mut resolved = self.clone();
        for (n, t) in resolved.timeline.iter_mut().enumerate() {
            if let Some(share) = t.limiter_share.take() {
                let mut rng = crate::draws::stream(seed, "who", n as u64);
                let mut all: Vec<u32> = (0..self.limiters.count).collect();
                let count = (f64::from(self.limiters.count) * share).round() as usize;
                for at in 0..count {
                    let other = crate::draws::between(&mut rng, [at as f64, all.len() as f64]) as usize;
                    let other = other.min(all.len() - 1);
                    all.swap(at, other);
                }
                all.truncate(count);
                all.sort_unstable();
                t.limiters = Some(all);
            }
        }
        resolved
    }

    /// Faults that the simulation does not support, each with the reason.
    pub fn unsupported_in_simulation(&self) -> Vec<ScenarioError> {
        let unsupported = |(n, t): (usize, &Trouble)| {
            let reason = match t.what {
                What::Refuse | What::Mute | What::Break | What::Hold | What::Trickle => {
                    "it has no connections to corrupt or delay"
                }
                What::Starve => "its limiters take no time to decide",
                What::Kill if t.stumbles.is_some() => "its limiters start in no time",
                What::Kill if t.moment.is_some() => "it kills at the given time, whatever a limiter holds",
                _ => return None,
            };
            let message = format!(
                "\"{}\" runs with real processes only (`marldeal faults`), not in the simulation: {reason}",
                fault_name(t.what)
            );
            Some(ScenarioError { key: format!("timeline[{n}].what"), message })
        };
        self.timeline.iter().enumerate().filter_map(unsupported).collect()
    }
}

/// Name of a fault as in scenario files (snake case).
pub fn fault_name(what: What) -> String {
    format!("{what:?}").chars().fold(String::new(), |mut name, c| {
        if c.is_uppercase() && !name.is_empty() {
            name.push('_');
        }
        name.extend(c.to_lowercase());
        name
    })
}
