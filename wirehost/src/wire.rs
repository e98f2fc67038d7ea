//! The simulator's JSON messages, and their translation into the types of the decision module.
//!
//! The names of fields and variants are fixed by the JSON format.

use std::collections::BTreeMap;
use std::sync::Arc;

use fawnhill::interface as module;
use serde::{Deserialize, Serialize};

/// One line of input: the events of one simulation step.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Batch {
    /// Current time in milliseconds.
    pub moment_ms: f64,
    /// Sequence number of the batch.
    #[serde(rename = "turn")]
    pub turn: u64,
    /// Events in the order in which they are handled.
    #[serde(rename = "in")]
    pub events: Vec<InputEvent>,
}

/// One line of output: the reply to a batch.
#[derive(Serialize)]
pub struct Reply {
    /// Sequence number of the batch that this replies to.
    pub turn: u64,
    /// Actions in the order in which they were decided.
    pub steps: Vec<OutputAction>,
}

/// An input event.
#[derive(Deserialize)]
#[serde(tag = "m", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "PascalCase")]
#[allow(missing_docs)]
pub enum InputEvent {
    /// Starts a limiter.
    NewInstance { limiter_id: String, seed: u64, setup: Box<Setup> },
    /// A limiter has stopped.
    Down { limiter_id: String },
    /// A page of a server list, which later events refer to by its number.
    Census { page: u32, elements: Vec<Element> },
    /// A server list, or a change to it, reaches a limiter, or could not be fetched.
    BackendsChanged { limiter_id: String, scope: Scope, page: Option<u32> },
    /// A client request arrives at a limiter.
    WorkItem(Box<WorkItem>),
    /// The answer to a request has begun to stream.
    Streaming { limiter_id: String, ticket: u32 },
    /// An attempt has ended.
    AttemptEnd(Box<AttemptEnd>),
    /// The client of a request has disconnected.
    ClientGone { limiter_id: String, ticket: u32 },
    /// A timer that was set by [`OutputAction::Sleep`] has expired.
    TimeoutFired { limiter_id: String, key_back: u64 },
    /// A probe of a server has ended.
    StatusBack { limiter_id: String, server: String, outcome: OutcomeCode, telemetry: Option<Telemetry> },
    /// A message from a peer was received.
    Heard { limiter_id: String, who: u32, body: String },
    /// An operation on a shared counter has ended.
    Total { limiter_id: String, entry_name: u64, outcome: OutcomeCode, sum: Option<f64> },
}

/// A client request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct WorkItem {
    pub limiter_id: String,
    /// Request number.
    pub ticket: u32,
    /// Name of the request class.
    pub service: String,
    pub plan: String,
    /// Customer as 16 hex digits.
    pub client_id: String,
    /// Time until the client gives up.
    pub budget_ms: f64,
    /// Size of the request in quota units.
    pub price_units: f64,
    /// Number of limiters that receive requests of this customer.
    pub entry_points: u32,
    /// Position of the first of these limiters.
    pub set_from: u32,
}

/// The end of an attempt.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct AttemptEnd {
    pub limiter_id: String,
    /// Request number.
    pub ticket: u32,
    /// Number of the attempt within the request, from 0.
    pub trial: u32,
    pub outcome: OutcomeCode,
    pub duration_ms: f64,
    /// The request is complete: no further answer is expected.
    #[serde(default)]
    pub no_more: bool,
    /// Actual size of the request in quota units, if it was an estimate.
    pub actual: Option<f64>,
    pub telemetry: Option<Telemetry>,
}

/// Load report of a server.
#[derive(Deserialize)]
#[allow(missing_docs)]
pub struct Telemetry {
    /// Recent service time without queueing.
    pub svc_ms: Option<f64>,
    /// Number of requests that the server is processing.
    pub busy_reqs: Option<f64>,
}

/// An entry of a server list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Element {
    pub server: String,
    /// Name of the zone.
    pub site: String,
    /// Number of the cell.
    pub stripe: Option<u32>,
    pub condition: Condition,
    /// Capacity relative to the other servers.
    pub weight: Option<f64>,
    /// When the server last started.
    pub start_time_ms: Option<f64>,
}

/// State of a server according to the list.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Condition {
    InService,
    Terminating,
    Terminated,
}

/// Content of a server list event.
#[derive(Deserialize, PartialEq, Clone, Copy)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Scope {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list from a cache.
    Cached,
    /// The list could not be fetched.
    Failed,
}

/// Outcome of an attempt, a probe or a counter operation.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum OutcomeCode {
    Completed,
    Errored,
    Saturated,
    Overdue,
    RefusedConn,
    Severed,
    Recalled,
    Superseded,
}

/// Settings of a limiter.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Setup {
    /// Number of limiters.
    pub balancers: u32,
    /// Position of this limiter among them, from 0.
    pub position: u32,
    /// Zone of this limiter.
    pub zone: String,
    /// Names of all zones.
    pub dcs: Vec<String>,
    /// Minimum interval between two batches.
    pub round_ms: f64,
    pub discovery: Discovery,
    pub classes: Vec<Class>,
    /// Customer plans.
    pub tiers_of_service: Vec<Plan>,
    pub bounds: Bounds,
    pub obligations: Obligations,
    pub domain: Domain,
}

/// How server lists are delivered.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Discovery {
    /// Sent without being asked for.
    Automatic,
    /// Sent only to subscribers.
    Subscribe,
}

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Class {
    pub name: String,
    /// Target latency.
    pub aim_ms: f64,
    pub effect: Effect,
    /// Servers that deduplicate a keyed request together.
    pub key_scope: Option<KeyScope>,
    /// Fraction of the full value that an answer after the target latency has.
    #[serde(default)]
    pub late_worth: f64,
    /// How long servers remember an idempotency key.
    #[serde(default)]
    pub window_ms: f64,
    /// Longest time that a client waits, if the settings specify it.
    pub deadline_ms: Option<f64>,
}

/// Effect of executing a request of a class more than once.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Effect {
    /// Harmless.
    ReadLike,
    /// Dropped by servers that remember the idempotency key.
    IdempotencyKey,
    /// Harmful.
    NonIdempotent,
}

/// Which servers share the idempotency keys that they remember.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum KeyScope {
    /// All servers.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// A customer plan.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
#[derive(Default)]
#[allow(missing_docs)]
pub struct Plan {
    pub name: String,
    /// Quota in units per second.
    pub rate: f64,
    /// Size of the quota's token bucket in units.
    pub store_size: f64,
    /// Maximum number of outstanding requests.
    pub at_once: u32,
    /// Hard ceiling in units per second.
    pub hard_rate: f64,
    /// Size of the ceiling's token bucket in units.
    pub never_over_depth: f64,
    /// Units by which the ceiling's token bucket may be overdrawn.
    pub ceiling_slack: f64,
}

/// Limits and permissions of a site.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Bounds {
    /// Maximum number of attempts per request.
    pub most_tries: u32,
    /// Time after which a connection attempt has failed.
    pub dial_timeout_ms: f64,
    /// Servers may be probed.
    #[serde(default)]
    pub probes: bool,
    /// Peers may be sent messages.
    #[serde(default)]
    pub may_tell: bool,
    /// Attempts may be cancelled.
    #[serde(default)]
    pub cancelling: bool,
    /// Refusals may say when to retry.
    #[serde(default)]
    pub retry_after: bool,
    /// Idle time after which a server closes a connection; absent on sites without connections.
    pub idle_close_ms: Option<f64>,
}

/// Parameters of the servers' behaviour that the rules depend on.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Obligations {
    /// Minimum fraction of its capacity that a server has right after its start.
    pub start_capacity: f64,
    /// Time after which a started server has its full capacity.
    pub cold_ms: f64,
    /// A cold server fails under this multiple of its current capacity.
    pub fall_multiple: f64,
    /// How long the overload has to last for that.
    pub tip_after_ms: f64,
    /// Time after which no new requests may be sent to a draining server; absent if the settings do not specify it.
    pub drain_grace_ms: Option<f64>,
}

/// Settings specific to the service.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Domain {
    /// Messages from peers that a limiter accepts per second.
    pub mail_per_s: f64,
    /// Maximum size of a request in quota units, if the settings specify it.
    pub units_top: Option<f64>,
}

/// An action that a limiter requests.
#[derive(Serialize)]
#[serde(tag = "m", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "PascalCase")]
#[allow(missing_docs)]
pub enum OutputAction {
    /// Send an attempt to a server; it times out after `cap_ms`, unless that is 0.
    PassOn { limiter_id: Arc<str>, ticket: u32, cap_ms: f64, server: Arc<str> },
    /// Cancel an attempt.
    UndoSend { limiter_id: Arc<str>, ticket: u32, trial: u32 },
    /// Refuse a request, with advice on when to retry; 0 for none.
    Decline { limiter_id: Arc<str>, ticket: u32, backoff_ms: f64 },
    /// Answer a request with an error.
    Lose { limiter_id: Arc<str>, ticket: u32 },
    /// Set a timer.
    Sleep { limiter_id: Arc<str>, after_ms: f64, key_back: u64 },
    /// Probe a server.
    Probe { limiter_id: Arc<str>, server: Arc<str> },
    /// Close the idle connections to a server.
    ShutIdle { limiter_id: Arc<str>, server: Arc<str> },
    /// Send a message to one peer or to all.
    Tell { limiter_id: Arc<str>, dest: Destination, body: String },
    /// Add to a shared counter and return its value.
    AddAndGet { limiter_id: Arc<str>, entry_name: u64, add: f64, lifetime_ms: f64 },
    /// Subscribe to the server list, or cancel the subscription.
    Follow { limiter_id: Arc<str>, on: bool },
    /// Fetch the server list.
    Snapshot { limiter_id: Arc<str> },
    /// Write a log line.
    Remark { limiter_id: Arc<str>, line: String },
}

/// Recipient of a message.
#[derive(Serialize)]
#[serde(untagged)]
#[allow(missing_docs)]
pub enum Destination {
    /// The peer at a position.
    One(u32),
    /// All peers, written as `*`.
    All(&'static str),
}

/// Maps the names used in messages and settings to the indexes that the decision module uses.
pub struct Names {
    classes: BTreeMap<String, usize>,
    plans: BTreeMap<String, usize>,
    zones: BTreeMap<String, u32>,
}

impl Names {
    /// Index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// Names of the classes in the order of their indexes.
    pub fn classes(&self) -> Vec<String> {
        let mut all: Vec<_> = self.classes.iter().collect();
        all.sort_by_key(|(_, at)| **at);
        all.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Index of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.get(name).copied()
    }

    /// Index of a zone.
    ///
    /// # Errors
    /// The zone is unknown.
    pub fn zone(&self, name: &str) -> Result<u32, String> {
        self.zones.get(name).copied().ok_or_else(|| format!("unknown zone '{name}'"))
    }

    /// Translates a request.
    ///
    /// # Errors
    /// The class or plan is unknown, or the customer is not 16 hex digits.
    pub fn request(&self, item: &WorkItem) -> Result<module::Request, String> {
        let class = self.class(&item.service);
        let plan = self.plan(&item.plan);
        Ok(module::Request {
            id: item.ticket,
            class: class.ok_or_else(|| format!("unknown class '{}'", item.service))?,
            plan: plan.ok_or_else(|| format!("unknown plan '{}'", item.plan))?,
            customer: u64::from_str_radix(&item.client_id, 16)
                .map_err(|_| format!("ClientId '{}' is not 16 hex digits", item.client_id))?,
            budget_ms: item.budget_ms,
            units: item.price_units,
            spread: item.entry_points,
            first: item.set_from,
        })
    }
}

fn index_by_name(names: impl Iterator<Item = String>) -> BTreeMap<String, usize> {
    names.enumerate().map(|(i, n)| (n, i)).collect()
}

/// Maximum number of customers with a record if no memory limit determines it.
pub const DEFAULT_MAX_CUSTOMERS: u32 = 100_000;

/// Translates settings, and returns the name indexes that belong to them.
///
/// # Errors
/// The limiter's zone is unknown, or a keyed class has no `KeyScope`.
pub fn settings(setup: Setup) -> Result<(module::Settings, Names), String> {
    let names = Names {
        classes: index_by_name(setup.classes.iter().map(|c| c.name.clone())),
        plans: index_by_name(setup.tiers_of_service.iter().map(|p| p.name.clone())),
        zones: setup.dcs.iter().cloned().zip(0..).collect(),
    };
    let classes = setup.classes.into_iter().map(class).collect::<Result<Vec<_>, _>>()?;
    let plans = setup.tiers_of_service.iter().map(plan).collect();
    let settings = module::Settings {
        limiters: setup.balancers,
        position: setup.position,
        zone: names.zone(&setup.zone)?,
        classes,
        plans,
        round_ms: setup.round_ms,
        max_attempts: setup.bounds.most_tries,
        connect_timeout_ms: setup.bounds.dial_timeout_ms,
        may_probe: setup.bounds.probes,
        may_tell: setup.bounds.may_tell,
        may_cancel: setup.bounds.cancelling,
        may_advise: setup.bounds.retry_after,
        messages_per_s: setup.domain.mail_per_s,
        must_subscribe: setup.discovery == Discovery::Subscribe,
        cold_share: setup.obligations.start_capacity,
        cold_ms: setup.obligations.cold_ms,
        fall_multiple: setup.obligations.fall_multiple,
        fall_ms: setup.obligations.tip_after_ms,
        firms: DEFAULT_MAX_CUSTOMERS,
    };
    Ok((settings, names))
}

fn class(c: Class) -> Result<module::Class, String> {
    let effect = match c.effect {
        Effect::ReadLike => module::Effect::Safe,
        Effect::IdempotencyKey => module::Effect::Keyed,
        Effect::NonIdempotent => module::Effect::Unsafe,
    };
    let group = match (c.key_scope, effect) {
        (Some(KeyScope::All), _) => module::KeyGroup::All,
        (Some(KeyScope::Zone), _) => module::KeyGroup::Zone,
        (Some(KeyScope::Cell), _) => module::KeyGroup::Cell,
        (None, module::Effect::Keyed) => {
            return Err(format!(
                "class '{}' needs a KeyScope, since its requests have idempotency keys",
                c.name
            ))
        }
        (None, _) => module::KeyGroup::All,
    };
    Ok(module::Class { aim_ms: c.aim_ms, late_worth: c.late_worth, effect, group, window_ms: c.window_ms })
}

fn plan(p: &Plan) -> module::Plan {
    module::Plan {
        rate: p.rate,
        burst: p.store_size,
        open: p.at_once,
        ceiling_rate: p.hard_rate,
        ceiling_burst: p.never_over_depth,
        ceiling_slack: p.ceiling_slack,
    }
}

impl OutcomeCode {
    /// Translates an outcome.
    pub fn outcome(self) -> module::Outcome {
        match self {
            OutcomeCode::Completed => module::Outcome::Ok,
            OutcomeCode::Errored => module::Outcome::Error,
            OutcomeCode::Saturated => module::Outcome::Full,
            OutcomeCode::Overdue => module::Outcome::TimedOut,
            OutcomeCode::RefusedConn => module::Outcome::NoConnection,
            OutcomeCode::Severed => module::Outcome::Severed,
            OutcomeCode::Recalled => module::Outcome::Cancelled,
            OutcomeCode::Superseded => module::Outcome::NotSent,
        }
    }
}

/// Translates a load report; absent values stay absent.
pub fn load(telemetry: Option<Telemetry>) -> module::Load {
    telemetry.map_or_else(module::Load::default, |telemetry| module::Load {
        inflight: telemetry.busy_reqs,
        service_ms: telemetry.svc_ms,
    })
}

/// Translates an entry of a server list.
///
/// # Errors
/// The zone is unknown.
pub fn entry(element: &Element, names: &Names) -> Result<module::ServerEntry, String> {
    Ok(module::ServerEntry {
        server: Arc::from(element.server.as_str()),
        zone: names.zone(&element.site)?,
        cell: element.stripe.unwrap_or_default(),
        condition: match element.condition {
            Condition::InService => module::Condition::Serving,
            Condition::Terminating => module::Condition::Draining,
            Condition::Terminated => module::Condition::Gone,
        },
        weight: element.weight.unwrap_or_default(),
        started: element.start_time_ms.unwrap_or_default(),
    })
}

/// Translates an action of the decision module.
pub fn action(limiter_id: Arc<str>, a: module::Action) -> OutputAction {
    use module::Action as A;
    match a {
        A::Send { id, server, cap_ms } => OutputAction::PassOn { limiter_id, ticket: id, cap_ms, server },
        A::Cancel { id, attempt } => OutputAction::UndoSend { limiter_id, ticket: id, trial: attempt },
        A::Refuse { id, retry_ms } => OutputAction::Decline { limiter_id, ticket: id, backoff_ms: retry_ms },
        A::Fail { id } => OutputAction::Lose { limiter_id, ticket: id },
        A::Wake { after_ms, token } => OutputAction::Sleep { limiter_id, after_ms, key_back: token },
        A::Probe { server } => OutputAction::Probe { limiter_id, server },
        A::CloseIdle { server } => OutputAction::ShutIdle { limiter_id, server },
        A::SendMessage { to, body } => {
            let dest = to.map_or(Destination::All("*"), Destination::One);
            OutputAction::Tell { limiter_id, dest, body: to_hex(&body) }
        }
        // An instance of the simulator has no other process to hand over to.
        A::SendHandoverMessage { .. } => {
            let line = "a message to another process of this limiter was dropped".to_string();
            OutputAction::Remark { limiter_id, line }
        }
        // Requests of the simulator have no bodies.
        A::CompleteBody { .. } => {
            OutputAction::Remark { limiter_id, line: "the end of a body was dropped".to_string() }
        }
        A::Count { name, add, life_ms } => {
            OutputAction::AddAndGet { limiter_id, entry_name: name, add, lifetime_ms: life_ms }
        }
        A::Subscribe(on) => OutputAction::Follow { limiter_id, on },
        A::FetchList => OutputAction::Snapshot { limiter_id },
        A::Log(line) => OutputAction::Remark { limiter_id, line },
        A::Trace(trace) => {
            let line = format!("request {}: {}", trace.id, trace.decision);
            OutputAction::Remark { limiter_id, line }
        }
    }
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |n: u8| char::from(DIGITS[usize::from(n)]);
    bytes.iter().flat_map(|b| [digit(b >> 4), digit(b & 15)]).collect()
}

/// Decodes hex digits.
///
/// # Errors
/// The text contains another character or an odd number of digits.
pub fn from_hex(text: &str) -> Result<Vec<u8>, String> {
    let digits: Option<Vec<u8>> =
        text.chars().map(|c| c.to_digit(16).and_then(|d| u8::try_from(d).ok())).collect();
    match digits {
        Some(d) if d.len() % 2 == 0 => Ok(d.chunks(2).map(|p| p[0] << 4 | p[1]).collect()),
        _ => Err(format!("Body '{text}' is not an even number of hex digits")),
    }
}
