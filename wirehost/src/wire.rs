//! The wire's messages as they are written, and their translation into the module's plain types.

use std::collections::BTreeMap;
use std::sync::Arc;

use fawnhill::interface as lib;
use serde::{Deserialize, Serialize};

/// One line of input.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Batch {
    /// The clock.
    pub moment_ms: f64,
    /// Number of the batch.
    #[serde(rename = "turn")]
    pub turn: u64,
    /// Its events.
    #[serde(rename = "in")]
    pub events: Vec<In>,
}

/// One line of output.
#[derive(Serialize)]
pub struct Reply {
    /// Number of the batch that this answers.
    pub turn: u64,
    /// What to do.
    pub steps: Vec<Out>,
}

/// An event of the wire.
#[derive(Deserialize)]
#[serde(tag = "m", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "PascalCase")]
#[allow(missing_docs)]
pub enum In {
    NewInstance { limiter_id: String, seed: u64, setup: Box<Setup> },
    Down { limiter_id: String },
    Census { page: u32, elements: Vec<Element> },
    BackendsChanged { limiter_id: String, scope: Scope, page: Option<u32> },
    WorkItem(Box<WorkItem>),
    Streaming { limiter_id: String, ticket: u32 },
    AttemptEnd(Box<AttemptEnd>),
    ClientGone { limiter_id: String, ticket: u32 },
    TimeoutFired { limiter_id: String, key_back: u64 },
    StatusBack { limiter_id: String, server: String, outcome: Code, telemetry: Option<Telemetry> },
    Heard { limiter_id: String, who: u32, body: String },
    Total { limiter_id: String, entry_name: u64, outcome: Code, sum: Option<f64> },
}

/// A client request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct WorkItem {
    pub limiter_id: String,
    pub ticket: u32,
    pub service: String,
    pub plan: String,
    pub client_id: String,
    pub budget_ms: f64,
    pub price_units: f64,
    pub entry_points: u32,
    pub set_from: u32,
}

/// The end of an attempt.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct AttemptEnd {
    pub limiter_id: String,
    pub ticket: u32,
    pub trial: u32,
    pub outcome: Code,
    pub duration_ms: f64,
    #[serde(default)]
    pub no_more: bool,
    pub actual: Option<f64>,
    pub telemetry: Option<Telemetry>,
}

/// A load report.
#[derive(Deserialize)]
#[allow(missing_docs)]
pub struct Telemetry {
    pub svc_ms: Option<f64>,
    pub busy_reqs: Option<f64>,
}

/// A line of a server list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Element {
    pub server: String,
    pub site: String,
    pub stripe: Option<u32>,
    pub condition: Condition,
    pub weight: Option<f64>,
    pub start_time_ms: Option<f64>,
}

/// What a list says of a server.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Condition {
    InService,
    Terminating,
    Terminated,
}

/// What a list event carries.
#[derive(Deserialize, PartialEq, Clone, Copy)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Scope {
    Delta,
    Full,
    Cached,
    Failed,
}

/// Outcome codes.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Code {
    Completed,
    Errored,
    Saturated,
    Overdue,
    RefusedConn,
    Severed,
    Recalled,
    Superseded,
}

/// The settings of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Setup {
    pub balancers: u32,
    pub position: u32,
    pub zone: String,
    pub dcs: Vec<String>,
    pub round_ms: f64,
    pub discovery: Discovery,
    pub classes: Vec<Class>,
    pub tiers_of_service: Vec<Plan>,
    pub bounds: Bounds,
    pub obligations: Obligations,
    pub domain: Domain,
}

/// How server lists come.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Discovery {
    Automatic,
    Subscribe,
}

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Class {
    pub name: String,
    pub aim_ms: f64,
    pub effect: Effect,
    pub key_scope: Option<KeyScope>,
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub window_ms: f64,
    /// How long a client waits at most, where the settings say so.
    pub deadline_ms: Option<f64>,
}

/// Effects of a class.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Effect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

/// Key groups.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

/// A plan.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
#[derive(Default)]
#[allow(missing_docs)]
pub struct Plan {
    pub name: String,
    pub rate: f64,
    pub store_size: f64,
    pub at_once: u32,
    pub hard_rate: f64,
    pub never_over_depth: f64,
    pub ceiling_slack: f64,
}

/// What a site allows.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Bounds {
    pub most_tries: u32,
    pub dial_timeout_ms: f64,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub may_tell: bool,
    #[serde(default)]
    pub cancelling: bool,
    #[serde(default)]
    pub retry_after: bool,
    /// A server closes a connection that has stood idle for so long; absent on sites without connections.
    pub idle_close_ms: Option<f64>,
}

/// Figures of the rules.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Obligations {
    pub start_capacity: f64,
    pub cold_ms: f64,
    pub fall_multiple: f64,
    pub tip_after_ms: f64,
    /// Nothing new goes to a server that drains after this time; absent where the settings do not say.
    pub drain_grace_ms: Option<f64>,
}

/// The service's own settings.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Domain {
    pub mail_per_s: f64,
    /// Most units of one request, where the settings say so.
    pub units_top: Option<f64>,
}

/// An action on the wire.
#[derive(Serialize)]
#[serde(tag = "m", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "PascalCase")]
#[allow(missing_docs)]
pub enum Out {
    PassOn { limiter_id: Arc<str>, ticket: u32, cap_ms: f64, server: Arc<str> },
    UndoSend { limiter_id: Arc<str>, ticket: u32, trial: u32 },
    Decline { limiter_id: Arc<str>, ticket: u32, backoff_ms: f64 },
    Lose { limiter_id: Arc<str>, ticket: u32 },
    Sleep { limiter_id: Arc<str>, after_ms: f64, key_back: u64 },
    Probe { limiter_id: Arc<str>, server: Arc<str> },
    ShutIdle { limiter_id: Arc<str>, server: Arc<str> },
    Tell { limiter_id: Arc<str>, dest: Dest, body: String },
    AddAndGet { limiter_id: Arc<str>, entry_name: u64, add: f64, lifetime_ms: f64 },
    Follow { limiter_id: Arc<str>, on: bool },
    Snapshot { limiter_id: Arc<str> },
    Remark { limiter_id: Arc<str>, line: String },
}

/// Receiver of a message.
#[derive(Serialize)]
#[serde(untagged)]
#[allow(missing_docs)]
pub enum Dest {
    One(u32),
    All(&'static str),
}

/// Names that the wire uses for what the module knows by index.
pub struct Names {
    classes: BTreeMap<String, usize>,
    plans: BTreeMap<String, usize>,
    zones: BTreeMap<String, u32>,
}

impl Names {
    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// The classes in the order of their indexes.
    pub fn classes(&self) -> Vec<String> {
        let mut all: Vec<_> = self.classes.iter().collect();
        all.sort_by_key(|(_, at)| **at);
        all.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The index of a plan.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.get(name).copied()
    }

    /// The index of a zone.
    pub fn zone(&self, name: &str) -> Result<u32, String> {
        self.zones.get(name).copied().ok_or_else(|| format!("unknown zone '{name}'"))
    }

    /// A request in the module's terms.
    pub fn request(&self, w: &WorkItem) -> Result<lib::Request, String> {
        let class = self.class(&w.service);
        let plan = self.plan(&w.plan);
        Ok(lib::Request {
            id: w.ticket,
            class: class.ok_or_else(|| format!("unknown class '{}'", w.service))?,
            plan: plan.ok_or_else(|| format!("unknown plan '{}'", w.plan))?,
            customer: u64::from_str_radix(&w.client_id, 16)
                .map_err(|_| format!("ClientId '{}' is not 16 hex digits", w.client_id))?,
            budget_ms: w.budget_ms,
            units: w.price_units,
            spread: w.entry_points,
            first: w.set_from,
        })
    }
}

fn indexed(names: impl Iterator<Item = String>) -> BTreeMap<String, usize> {
    names.enumerate().map(|(i, n)| (n, i)).collect()
}

/// Customers remembered where no memory limit says how many.
pub const FIRMS: u32 = 100_000;

/// Settings in the module's terms, and the names that belong to them.
pub fn settings(s: Setup) -> Result<(lib::Settings, Names), String> {
    let names = Names {
        classes: indexed(s.classes.iter().map(|c| c.name.clone())),
        plans: indexed(s.tiers_of_service.iter().map(|p| p.name.clone())),
        zones: s.dcs.iter().cloned().zip(0..).collect(),
    };
    let classes = s.classes.into_iter().map(class).collect::<Result<Vec<_>, _>>()?;
    let plans = s.tiers_of_service.iter().map(plan).collect();
    let settings = lib::Settings {
        limiters: s.balancers,
        position: s.position,
        zone: names.zone(&s.zone)?,
        classes,
        plans,
        round_ms: s.round_ms,
        max_attempts: s.bounds.most_tries,
        connect_timeout_ms: s.bounds.dial_timeout_ms,
        may_probe: s.bounds.probes,
        may_tell: s.bounds.may_tell,
        may_cancel: s.bounds.cancelling,
        may_advise: s.bounds.retry_after,
        messages_per_s: s.domain.mail_per_s,
        must_subscribe: s.discovery == Discovery::Subscribe,
        cold_share: s.obligations.start_capacity,
        cold_ms: s.obligations.cold_ms,
        fall_multiple: s.obligations.fall_multiple,
        fall_ms: s.obligations.tip_after_ms,
        firms: FIRMS,
    };
    Ok((settings, names))
}

fn class(c: Class) -> Result<lib::Class, String> {
    let effect = match c.effect {
        Effect::ReadLike => lib::Effect::Safe,
        Effect::IdempotencyKey => lib::Effect::Keyed,
        Effect::NonIdempotent => lib::Effect::Unsafe,
    };
    let group = match (c.key_scope, effect) {
        (Some(KeyScope::All), _) => lib::KeyGroup::All,
        (Some(KeyScope::Zone), _) => lib::KeyGroup::Zone,
        (Some(KeyScope::Cell), _) => lib::KeyGroup::Cell,
        (None, lib::Effect::Keyed) => return Err(format!("class '{}' is keyed without KeyScope", c.name)),
        (None, _) => lib::KeyGroup::All,
    };
    Ok(lib::Class { aim_ms: c.aim_ms, late_worth: c.late_worth, effect, group, window_ms: c.window_ms })
}

fn plan(p: &Plan) -> lib::Plan {
    lib::Plan {
        rate: p.rate,
        burst: p.store_size,
        open: p.at_once,
        ceiling_rate: p.hard_rate,
        ceiling_burst: p.never_over_depth,
        ceiling_slack: p.ceiling_slack,
    }
}

impl Code {
    /// The outcome in the module's terms.
    pub fn outcome(self) -> lib::Outcome {
        match self {
            Code::Completed => lib::Outcome::Ok,
            Code::Errored => lib::Outcome::Error,
            Code::Saturated => lib::Outcome::Full,
            Code::Overdue => lib::Outcome::TimedOut,
            Code::RefusedConn => lib::Outcome::NoConnection,
            Code::Severed => lib::Outcome::Severed,
            Code::Recalled => lib::Outcome::Cancelled,
            Code::Superseded => lib::Outcome::NotSent,
        }
    }
}

/// A load report in the module's terms.
pub fn load(t: Option<Telemetry>) -> lib::Load {
    t.map_or_else(lib::Load::default, |t| lib::Load { inflight: t.busy_reqs, service_ms: t.svc_ms })
}

/// A line of a server list in the module's terms.
pub fn entry(e: &Element, names: &Names) -> Result<lib::ServerEntry, String> {
    Ok(lib::ServerEntry {
        server: Arc::from(e.server.as_str()),
        zone: names.zone(&e.site)?,
        cell: e.stripe.unwrap_or_default(),
        condition: match e.condition {
            Condition::InService => lib::Condition::Serving,
            Condition::Terminating => lib::Condition::Draining,
            Condition::Terminated => lib::Condition::Gone,
        },
        weight: e.weight.unwrap_or_default(),
        started: e.start_time_ms.unwrap_or_default(),
    })
}

/// An action as the wire writes it.
pub fn action(limiter_id: Arc<str>, a: lib::Action) -> Out {
    use lib::Action as A;
    match a {
        A::Send { id, server, cap_ms } => Out::PassOn { limiter_id, ticket: id, cap_ms, server },
        A::Cancel { id, attempt } => Out::UndoSend { limiter_id, ticket: id, trial: attempt },
        A::Refuse { id, retry_ms } => Out::Decline { limiter_id, ticket: id, backoff_ms: retry_ms },
        A::Fail { id } => Out::Lose { limiter_id, ticket: id },
        A::Wake { after_ms, token } => Out::Sleep { limiter_id, after_ms, key_back: token },
        A::Probe { server } => Out::Probe { limiter_id, server },
        A::CloseIdle { server } => Out::ShutIdle { limiter_id, server },
        A::SendMessage { to, body } => {
            let dest = to.map_or(Dest::All("*"), Dest::One);
            Out::Tell { limiter_id, dest, body: to_hex(&body) }
        }
        A::Count { name, add, life_ms } => {
            Out::AddAndGet { limiter_id, entry_name: name, add, lifetime_ms: life_ms }
        }
        A::Subscribe(on) => Out::Follow { limiter_id, on },
        A::FetchList => Out::Snapshot { limiter_id },
        A::Log(line) => Out::Remark { limiter_id, line },
    }
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |n: u8| char::from(DIGITS[usize::from(n)]);
    bytes.iter().flat_map(|b| [digit(b >> 4), digit(b & 15)]).collect()
}

/// Bytes from hex digits.
pub fn from_hex(text: &str) -> Result<Vec<u8>, String> {
    let digits: Option<Vec<u8>> =
        text.chars().map(|c| c.to_digit(16).and_then(|d| u8::try_from(d).ok())).collect();
    match digits {
        Some(d) if d.len() % 2 == 0 => Ok(d.chunks(2).map(|p| p[0] << 4 | p[1]).collect()),
        _ => Err(format!("Body '{text}' is not hex")),
    }
}
