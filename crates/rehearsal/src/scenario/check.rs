//! Reading and validation of scenarios. Each error names its key.

use super::*;

/// An error in a scenario: its key, and what is expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError {
    /// Path of the key, with dots between tables; empty for a syntax error.
    pub key: String,
    /// What is expected, or why the text cannot be parsed.
    pub message: String,
}

impl ScenarioError {
    fn new(key: impl Into<String>, message: impl Into<String>) -> ScenarioError {
        ScenarioError { key: key.into(), message: message.into() }
    }
}

impl std::fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.key.as_str() {
            "" => f.write_str(&self.message),
            key => write!(f, "{key}: {}", self.message),
        }
    }
}

/// Maximum number of customers in a scenario; limits the memory use.
pub const MAX_CUSTOMERS: usize = 2_000_000;
/// Maximum number of requests in a scenario; limits the memory use.
const MAX_REQUESTS: f64 = 50_000_000.0;
/// Maximum number of pairs of a server and a limiter; each uses about 150 bytes.
const MAX_PAIRS: u64 = 4_000_000;

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// The first syntax or type error, or else all invalid values.
    pub fn read(text: &str) -> Result<Scenario, Vec<ScenarioError>> {
        let reader = toml::Deserializer::parse(text)
            .map_err(|e| vec![ScenarioError::new("", e.to_string().trim())])?;
        let scenario: Scenario = serde_path_to_error::deserialize(reader).map_err(|e| {
            let key = Some(e.path().to_string()).filter(|p| p != ".").unwrap_or_default();
            vec![ScenarioError::new(key, e.inner().message())]
        })?;
        match scenario.validation_errors() {
            errors if errors.is_empty() => Ok(scenario),
            errors => Err(errors),
        }
    }

    /// Formats the scenario as TOML.
    pub fn write(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// All invalid values.
    pub fn validation_errors(&self) -> Vec<ScenarioError> {
        let mut errors: Vec<ScenarioError> = match self.validate() {
            Ok(()) => Vec::new(),
            Err(report) => report
                .iter()
                .map(|(path, error)| ScenarioError::new(path.to_string(), error.message()))
                .collect(),
        };
        if self.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            errors.push(ScenarioError::new("classes", "at least one share above 0 is expected"));
        }
        if self.plans.iter().map(|p| p.share).sum::<f64>() <= 0.0 {
            errors.push(ScenarioError::new("plans", "at least one share above 0 is expected"));
        }
        if self.regions > self.buildings {
            errors.push(ScenarioError::new("regions", "at most as many as buildings are expected"));
        }
        for (n, class) in self.classes.iter().enumerate() {
            if class.aim_s > class.give_up_s {
                errors
                    .push(ScenarioError::new(format!("classes[{n}].aim_s"), "at most give_up_s is expected"));
            }
            if class.repeats == Repeats::Keyed && class.window_s <= 0.0 {
                errors.push(ScenarioError::new(
                    format!("classes[{n}].window_s"),
                    "more than 0 is expected for a keyed class",
                ));
            }
        }
        for (n, plan) in self.plans.iter().enumerate() {
            if plan.ceiling > 0.0 && plan.ceiling < 1.0 {
                errors.push(ScenarioError::new(format!("plans[{n}].ceiling"), "0 or at least 1 is expected"));
            }
        }
        for (n, fault) in self.timeline.iter().enumerate() {
            self.check_fault(n, fault, &mut errors);
        }
        // Each limiter has an entry for each server.
        if u64::from(self.nodes.count) * u64::from(self.limiters.count) > MAX_PAIRS {
            let message = format!("nodes times limiters of at most {MAX_PAIRS} is expected");
            errors.push(ScenarioError::new("limiters.count", message));
        }
        if errors.is_empty() && self.requests_per_s() * self.seconds > MAX_REQUESTS {
            let message = format!("load and seconds for at most {MAX_REQUESTS:.0} requests are expected");
            errors.push(ScenarioError::new("clients.load", message));
        }
        errors
    }

    /// Checks that an entry of the timeline has the keys that its kind requires, and no others.
    fn check_fault(&self, n: usize, t: &Trouble, errors: &mut Vec<ScenarioError>) {
        use What::*;
        let keys = [
            ("times", t.times.is_some(), matches!(t.what, Surge | Slow), true),
            ("plan", t.plan.is_some(), matches!(t.what, Surge | Strangers), t.what == Strangers),
            ("firms", t.firms.is_some(), t.what == Flood, true),
            (
                "share",
                t.share.is_some(),
                matches!(t.what, Flood | Errors | Resets | Lossy | Twice | Garble | Break | Starve),
                true,
            ),
            ("per_s", t.per_s.is_some(), matches!(t.what, Strangers | Trickle), true),
            ("after_s", t.after_s.is_some(), t.what == Drain, true),
            ("every_s", t.every_s.is_some(), matches!(t.what, Pause | Rolling), true),
            ("length_s", t.length_s.is_some(), t.what == Pause, true),
            ("down_s", t.down_s.is_some(), t.what == Rolling, true),
            ("building", t.building.is_some(), t.what == Cut, true),
            ("region", t.region.is_some(), t.what == Part, true),
            ("from", t.from.is_some(), matches!(t.what, Lossy | Late | Twice | Garble), false),
            ("to", t.to.is_some(), matches!(t.what, Lossy | Late | Twice | Garble), false),
            ("groups", t.groups.is_some(), t.what == Groups, true),
            ("late_ms", t.late_ms.is_some(), matches!(t.what, Late | Hold), true),
            ("stumbles", t.stumbles.is_some(), t.what == Kill, false),
            ("moment", t.moment.is_some(), t.what == Kill, false),
            (
                "discovery",
                t.discovery.is_some(),
                matches!(t.what, Refuse | Mute | Break | Hold | Trickle),
                false,
            ),
        ];
        let key = |name: &str| format!("timeline[{n}].{name}");
        let fault = fault_name(t.what);
        for (name, present, allowed, required) in keys {
            if present && !allowed {
                errors.push(ScenarioError::new(key(name), format!("not expected for \"{fault}\"")));
            } else if !present && allowed && required {
                errors.push(ScenarioError::new(key(name), format!("missing: \"{fault}\" requires it")));
            }
        }
        let requires_limiters = matches!(t.what, Restart | Kill | Freeze | Starve);
        let allows_limiters =
            requires_limiters || matches!(t.what, RosterSilent | Refuse | Mute | Break | Hold | Trickle);
        match (allows_limiters, &t.limiters, t.limiter_share) {
            (true, None, None) if requires_limiters => {
                errors.push(ScenarioError::new(
                    key("limiters"),
                    "missing: limiters or limiter_share is expected",
                ));
            }
            (true, Some(_), Some(_)) => {
                errors.push(ScenarioError::new(
                    key("limiter_share"),
                    "limiters or limiter_share is expected, not both",
                ));
            }
            (true, ..) | (false, None, None) => {}
            (false, ..) => {
                errors.push(ScenarioError::new(key("limiters"), format!("not expected for \"{fault}\"")))
            }
        }
        let on_servers = matches!(
            t.what,
            Exit | Drain
                | Stall
                | Pause
                | Slow
                | Errors
                | Resets
                | Vanish
                | Refuse
                | Mute
                | Break
                | Hold
                | Trickle
        );
        match (on_servers, &t.nodes, t.node_share) {
            (true, None, None) if t.targets_discovery() => {}
            (true, ..) if t.targets_discovery() => {
                errors.push(ScenarioError::new(key("discovery"), "nodes or discovery is expected, not both"));
            }
            (true, None, None) => {
                errors.push(ScenarioError::new(key("nodes"), "missing: nodes or node_share is expected"))
            }
            (true, Some(_), Some(_)) => errors
                .push(ScenarioError::new(key("node_share"), "nodes or node_share is expected, not both")),
            (false, None, None) | (true, ..) => {}
            (false, ..) => {
                errors.push(ScenarioError::new(key("nodes"), format!("not expected for \"{fault}\"")))
            }
        }
        let below = |list: &Option<Vec<u32>>, limit: u32| list.iter().flatten().all(|i| *i < limit);
        if !below(&t.nodes, self.nodes.count) {
            errors.push(ScenarioError::new(
                key("nodes"),
                format!("numbers below {} are expected", self.nodes.count),
            ));
        }
        let grouped = t.groups.as_ref().map(|groups| groups.concat());
        for (name, list) in
            [("limiters", &t.limiters), ("from", &t.from), ("to", &t.to), ("groups", &grouped)]
        {
            if !below(list, self.limiters.count) {
                let message = format!("numbers below {} are expected", self.limiters.count);
                errors.push(ScenarioError::new(key(name), message));
            }
        }
        if matches!(t.what, Starve | Break) && t.share.is_some_and(|s| s > 1.0) {
            errors.push(ScenarioError::new(key("share"), "at most 1 is expected"));
        }
        if t.building.is_some_and(|b| b >= self.buildings) {
            errors.push(ScenarioError::new(
                key("building"),
                format!("a number below {} is expected", self.buildings),
            ));
        }
        if t.region.is_some_and(|r| r >= self.regions) {
            errors.push(ScenarioError::new(
                key("region"),
                format!("a number below {} is expected", self.regions),
            ));
        }
        if let Some(plan) = t.plan.as_ref().filter(|p| self.plan(p).is_none()) {
            let names: Vec<&str> = self.plans.iter().map(|p| p.name.as_str()).collect();
            errors.push(ScenarioError::new(
                key("plan"),
                format!("no plan {plan:?}; one of {} is expected", names.join(", ")),
            ));
        }
        if t.what == Pause && t.length_s >= t.every_s {
            errors.push(ScenarioError::new(key("length_s"), "less than every_s is expected"));
        }
        if t.what == Drain && t.after_s.is_some_and(|a| a >= t.for_s) {
            errors.push(ScenarioError::new(key("after_s"), "less than for_s is expected"));
        }
    }
}

/// JSON Schema of scenario files.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Scenario)).unwrap_or_default()
}
