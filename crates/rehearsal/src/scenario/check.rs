//! Scenarios read and checked: every mistake is named with its key.

use super::*;

/// One thing that is wrong in a scenario: its key, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong {
    /// The key, with dots between tables.
    pub key: String,
    /// What was expected.
    pub what: String,
}

impl Wrong {
    fn new(key: impl Into<String>, what: impl Into<String>) -> Wrong {
        Wrong { key: key.into(), what: what.into() }
    }
}

impl std::fmt::Display for Wrong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.key.as_str() {
            "" => f.write_str(&self.what),
            key => write!(f, "{key}: {}", self.what),
        }
    }
}

/// Most firms and most requests (as a bound on memory) that a scenario may come to.
pub const MAX_CUSTOMERS: usize = 2_000_000;
const MOST_REQUESTS: f64 = 50_000_000.0;
/// Most pairs of a node and a limiter; each takes some 150 bytes.
const MOST_PAIRS: u64 = 4_000_000;

impl Scenario {
    /// Reads a scenario and checks it. All mistakes of values are named, or the first of form.
    pub fn read(text: &str) -> Result<Scenario, Vec<Wrong>> {
        let reader =
            toml::Deserializer::parse(text).map_err(|e| vec![Wrong::new("", e.to_string().trim())])?;
        let scenario: Scenario = serde_path_to_error::deserialize(reader).map_err(|e| {
            let key = Some(e.path().to_string()).filter(|p| p != ".").unwrap_or_default();
            vec![Wrong::new(key, e.inner().message())]
        })?;
        match scenario.validation_errors() {
            none if none.is_empty() => Ok(scenario),
            some => Err(some),
        }
    }

    /// As a file.
    pub fn write(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// What is wrong with its values.
    pub fn validation_errors(&self) -> Vec<Wrong> {
        let mut found: Vec<Wrong> = match self.validate() {
            Ok(()) => Vec::new(),
            Err(report) => {
                report.iter().map(|(path, error)| Wrong::new(path.to_string(), error.message())).collect()
            }
        };
        if self.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            found.push(Wrong::new("classes", "one share above 0 is expected"));
        }
        if self.plans.iter().map(|p| p.share).sum::<f64>() <= 0.0 {
            found.push(Wrong::new("plans", "one share above 0 is expected"));
        }
        if self.regions > self.buildings {
            found.push(Wrong::new("regions", "at most as many as buildings are expected"));
        }
        for (n, class) in self.classes.iter().enumerate() {
            if class.aim_s > class.give_up_s {
                found.push(Wrong::new(format!("classes[{n}].aim_s"), "at most give_up_s is expected"));
            }
            if class.repeats == Repeats::Keyed && class.window_s <= 0.0 {
                found.push(Wrong::new(
                    format!("classes[{n}].window_s"),
                    "more than 0 is expected for a keyed class",
                ));
            }
        }
        for (n, plan) in self.plans.iter().enumerate() {
            if plan.ceiling > 0.0 && plan.ceiling < 1.0 {
                found.push(Wrong::new(format!("plans[{n}].ceiling"), "0 or at least 1 is expected"));
            }
        }
        for (n, trouble) in self.timeline.iter().enumerate() {
            self.check_trouble(n, trouble, &mut found);
        }
        // Each limiter knows each node.
        if u64::from(self.nodes.count) * u64::from(self.limiters.count) > MOST_PAIRS {
            let most = format!("nodes times limiters of {MOST_PAIRS} at most are expected");
            found.push(Wrong::new("limiters.count", most));
        }
        if found.is_empty() && self.requests_per_s() * self.seconds > MOST_REQUESTS {
            let most = format!("load and seconds for {MOST_REQUESTS:.0} requests at most are expected");
            found.push(Wrong::new("clients.load", most));
        }
        found
    }

    /// Which keys a trouble must have; it may have no other.
    fn check_trouble(&self, n: usize, t: &Trouble, found: &mut Vec<Wrong>) {
        use What::*;
        let has = [
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
        let named = fault_name(t.what);
        for (name, there, allowed, needed) in has {
            if there && !allowed {
                found.push(Wrong::new(key(name), format!("not expected for \"{named}\"")));
            } else if !there && allowed && needed {
                found.push(Wrong::new(key(name), format!("missing: \"{named}\" needs it")));
            }
        }
        let needs_limiters = matches!(t.what, Restart | Kill | Freeze | Starve);
        let may_limiters =
            needs_limiters || matches!(t.what, RosterSilent | Refuse | Mute | Break | Hold | Trickle);
        match (may_limiters, &t.limiters, t.limiter_share) {
            (true, None, None) if needs_limiters => {
                found.push(Wrong::new(key("limiters"), "missing: limiters or limiter_share is expected"));
            }
            (true, Some(_), Some(_)) => {
                found.push(Wrong::new(
                    key("limiter_share"),
                    "limiters or limiter_share is expected, not both",
                ));
            }
            (true, ..) | (false, None, None) => {}
            (false, ..) => found.push(Wrong::new(key("limiters"), format!("not expected for \"{named}\""))),
        }
        let on_nodes = matches!(
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
        match (on_nodes, &t.nodes, t.node_share) {
            (true, None, None) if t.targets_discovery() => {}
            (true, ..) if t.targets_discovery() => {
                found.push(Wrong::new(key("discovery"), "nodes or discovery is expected, not both"));
            }
            (true, None, None) => {
                found.push(Wrong::new(key("nodes"), "missing: nodes or node_share is expected"))
            }
            (true, Some(_), Some(_)) => {
                found.push(Wrong::new(key("node_share"), "nodes or node_share is expected, not both"))
            }
            (false, None, None) | (true, ..) => {}
            (false, ..) => found.push(Wrong::new(key("nodes"), format!("not expected for \"{named}\""))),
        }
        let below = |list: &Option<Vec<u32>>, most: u32| list.iter().flatten().all(|i| *i < most);
        if !below(&t.nodes, self.nodes.count) {
            found.push(Wrong::new(key("nodes"), format!("numbers below {} are expected", self.nodes.count)));
        }
        let grouped = t.groups.as_ref().map(|groups| groups.concat());
        for (name, list) in
            [("limiters", &t.limiters), ("from", &t.from), ("to", &t.to), ("groups", &grouped)]
        {
            if !below(list, self.limiters.count) {
                let what = format!("numbers below {} are expected", self.limiters.count);
                found.push(Wrong::new(key(name), what));
            }
        }
        if matches!(t.what, Starve | Break) && t.share.is_some_and(|s| s > 1.0) {
            found.push(Wrong::new(key("share"), "at most 1 is expected"));
        }
        if t.building.is_some_and(|b| b >= self.buildings) {
            found.push(Wrong::new(key("building"), format!("a number below {} is expected", self.buildings)));
        }
        if t.region.is_some_and(|r| r >= self.regions) {
            found.push(Wrong::new(key("region"), format!("a number below {} is expected", self.regions)));
        }
        if let Some(plan) = t.plan.as_ref().filter(|p| self.plan(p).is_none()) {
            let names: Vec<&str> = self.plans.iter().map(|p| p.name.as_str()).collect();
            found.push(Wrong::new(
                key("plan"),
                format!("no plan {plan:?}; one of {} is expected", names.join(", ")),
            ));
        }
        if t.what == Pause && t.length_s >= t.every_s {
            found.push(Wrong::new(key("length_s"), "less than every_s is expected"));
        }
        if t.what == Drain && t.after_s.is_some_and(|a| a >= t.for_s) {
            found.push(Wrong::new(key("after_s"), "less than for_s is expected"));
        }
    }
}

/// The JSON Schema of scenario files.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Scenario)).unwrap_or_default()
}
