//! The table of what each role needs at a given size, compared with the bounds for it.

use crate::fit::Value;
use crate::size::Size;
use crate::slopes::{Series, Slopes};
use crate::InputError;

/// Result of comparing a need with its bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The need is within the bound. The value is the unused share of the bound, from 0 to 1.
    Met(f64),
    /// The need exceeds the bound. The value is need divided by bound.
    Missed(f64),
    /// The need is known, but has no bound.
    NoBound,
    /// The need is unknown: the feature does not exist, or nothing measures it.
    NotAnswered,
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Verdict::Met(unused) => write!(f, "met, room {:.0}%", 100.0 * unused),
            Verdict::Missed(times) => write!(f, "MISSED by {times:.1} times"),
            Verdict::NoBound => f.write_str("told"),
            Verdict::NotAnswered => f.write_str("NOT ANSWERED"),
        }
    }
}

/// One row of the table: a need and its bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The role that has the need, such as a limiter.
    pub role: &'static str,
    /// What is needed.
    pub resource: String,
    /// Amount needed, in `unit`; `None` if unknown.
    pub need: Option<f64>,
    /// Maximum amount, in `unit`, if there is one.
    pub bound: Option<f64>,
    /// Unit of `need` and `bound`.
    pub unit: &'static str,
    /// How the need compares with the bound.
    pub verdict: Verdict,
    /// The mechanism that meets the need, or what would be needed to measure it.
    pub basis: &'static str,
    /// Measured series behind the need, each with its setup and the largest deviation of its points from the line.
    pub sources: Vec<String>,
    /// Set if the need is extrapolated: the largest size that was measured.
    pub extrapolated_from: Option<f64>,
}

/// Seconds in a year.
const YEAR_S: f64 = 365.0 * 86_400.0;
/// Number of quota owners of a tenant (`src/accounts.rs`), and of limiters that prefer a given server
/// (`src/policy.rs`).
const QUOTA_OWNERS: f64 = 3.0;
/// Calls to a registry that requires polling are spread over this many milliseconds per limiter of the tier
/// (`marldeal/src/upstream/asking.rs`).
const SPREAD_PER_LIMITER_MS: f64 = 60.0;
/// Maximum time, in seconds, over which these calls are spread.
const MAX_SPREAD_S: f64 = 20.0;

/// A sum of values from several series that records its sources.
struct Sum<'a> {
    slopes: &'a Slopes,
    value: f64,
    sources: Vec<String>,
    extrapolated_from: Option<f64>,
}

impl<'a> Sum<'a> {
    fn new(slopes: &'a Slopes) -> Sum<'a> {
        Sum { slopes, value: 0.0, sources: Vec::new(), extrapolated_from: None }
    }

    /// Adds `times` the figure's value at `size`.
    fn add(mut self, figure: &str, along: &str, size: f64, times: f64) -> Result<Self, InputError> {
        let (fit, series) = self.slopes.fit(figure, along)?;
        self.record_source(series, fit.max_deviation, fit.value_at(size));
        self.value += times * fit.value_at(size).value;
        Ok(self)
    }

    /// Adds the figure's increase from size 0 to `size`.
    fn add_growth(mut self, figure: &str, along: &str, size: f64) -> Result<Self, InputError> {
        let (fit, series) = self.slopes.fit(figure, along)?;
        self.record_source(series, fit.max_deviation, fit.value_at(size));
        self.value += (fit.value_at(size).value - fit.value_at(0.0).value).max(0.0);
        Ok(self)
    }

    /// Records a series as a source of the sum, and whether its value is extrapolated.
    fn record_source(&mut self, series: &Series, max_deviation: f64, value: Value) {
        let setup = format!("{:?}", series.ground).to_lowercase();
        let off_percent = 100.0 * max_deviation;
        self.sources
            .push(format!("{} by {} ({setup}, {off_percent:.0}% off a line)", series.figure, series.along));
        if value.extrapolated {
            self.extrapolated_from =
                Some(self.extrapolated_from.unwrap_or(f64::INFINITY).min(value.largest_measured));
        }
    }

    /// Makes the sum a row of the table.
    fn row(
        self,
        role: &'static str,
        resource: impl Into<String>,
        bound: Option<f64>,
        unit: &'static str,
    ) -> Row {
        let Sum { value, sources, extrapolated_from, .. } = self;
        Row { sources, extrapolated_from, ..row_of_need(role, resource, value, bound, unit, "") }
    }
}

/// A row whose need is known.
fn row_of_need(
    role: &'static str,
    resource: impl Into<String>,
    need: f64,
    bound: Option<f64>,
    unit: &'static str,
    basis: &'static str,
) -> Row {
    let verdict = match bound {
        None => Verdict::NoBound,
        Some(bound) if need <= bound => Verdict::Met(1.0 - need / bound),
        Some(bound) => Verdict::Missed(need / bound),
    };
    Row {
        role,
        resource: resource.into(),
        need: Some(need),
        bound,
        unit,
        verdict,
        basis,
        sources: Vec::new(),
        extrapolated_from: None,
    }
}

/// A row whose need is unknown.
fn row_of_unknown_need(
    role: &'static str,
    resource: impl Into<String>,
    bound: Option<f64>,
    unit: &'static str,
    basis: &'static str,
) -> Row {
    Row {
        role,
        resource: resource.into(),
        need: None,
        bound,
        unit,
        verdict: Verdict::NotAnswered,
        basis,
        sources: Vec::new(),
        extrapolated_from: None,
    }
}

/// Computes the table for a size. `prefetch` says whether limiters request quota units before they are needed.
///
/// # Errors
/// A series is missing: it has not been measured.
pub fn table(size: &Size, slopes: &Slopes, prefetch: bool) -> Result<Vec<Row>, InputError> {
    let (tier, servers, tenants) =
        (size.limiters_per_tier(), size.servers_per_tier(), size.tenants_per_tier());
    let sum = || Sum::new(slopes);
    let prefix = if prefetch { "prefetch_" } else { "" };
    let figure = |name: &str| format!("{prefix}{name}");
    let per_limiter = size.requests_per_limiter();
    let control = &size.control;
    let mut rows = vec![
        Row {
            basis: "prefetch of quota units; without it a keeper's word is waited for",
            ..sum()
                .add(&figure("wait_ms_p99"), "limiters", tier, 1.0)?
                .add("added_ms_p99", "servers", servers, 1.0)?
                .row("limiter", "time added to a request, p99", Some(size.traffic.added_ms), "ms")
        },
        Row {
            basis: "prefetch of quota units",
            ..sum()
                .add(&figure("wait_ms_p999"), "limiters", tier, 1.0)?
                .add("added_ms_p999", "servers", servers, 1.0)?
                .row("limiter", "time added to a request, p99.9", None, "ms")
        },
        Row {
            basis: "changes of the list, each taken in by itself",
            ..sum().add("changing_idle_percent", "servers", servers, 1.0)?.row(
                "limiter",
                "processor for control while the list changes, words apart",
                Some(control.cpu_percent),
                "% of a core",
            )
        },
        Row {
            basis: "bounded tables; bodies under one budget",
            ..sum()
                .add("memory_mb", "servers", servers, 1.0)?
                .add_growth("memory_mb", "tenants", tenants)?
                .add_growth("memory_mb", "peers", tier)?
                .add_growth("memory_mb", "open", per_limiter * size.traffic.open_s)?
                .row("limiter", "memory", Some(control.memory_mb), "MB")
        },
        {
            let list = slopes.value_at("change_bytes", "servers", servers)?.value * size.changes.list_per_s;
            let messages = sum().add(&figure("control_kb_per_s"), "limiters", tier, 1.0)?;
            let list_sources = sum().add("change_bytes", "servers", servers, 0.0)?.sources;
            let mut row = Sum { value: messages.value + list / 1000.0, ..messages }.row(
                "limiter",
                "control, in and out, at the limiter with most",
                Some(control.kb_per_s),
                "KB/s",
            );
            row.sources.extend(list_sources);
            row.basis = "words between limiters of one tier; changes of the list";
            row
        },
        Row {
            basis: "an allowance, with waiting asks first",
            ..sum().add(&figure("messages_in_per_s"), "limiters", tier, 1.0)?.row(
                "limiter",
                "words taken in, at the limiter with most",
                Some(control.messages_per_s),
                "a second",
            )
        },
        {
            let us = sum().add("changing_cpu_us_a_request", "servers", servers, 1.0)?;
            let mut row = Sum { value: us.value * per_limiter / 1e4, ..us }.row(
                "limiter",
                "processor for requests at the peak",
                Some(100.0),
                "% of a core",
            );
            row.basis = "one thread";
            row
        },
        {
            let us = sum().add("unreachable_cpu_us_a_request", "servers", servers, 1.0)?;
            let mut row = Sum { value: us.value * per_limiter / 1e4, ..us }.row(
                "limiter",
                "processor when no server can be reached",
                Some(100.0),
                "% of a core",
            );
            row.basis = "looks at every server of its list: a loop to be bounded";
            row
        },
        {
            let list = sum().add("list_kb", "servers", servers, 1.0)?;
            let mut row = Sum { value: list.value / control.kb_per_s, ..list }.row(
                "caller of discovery",
                "a whole list, at the rate that control may have",
                Some(size.changes.in_force_s),
                "s",
            );
            row.basis = "one whole list a start; changes after it";
            row
        },
    ];
    rows.push(row_of_unknown_need(
        "limiter",
        "processor for words",
        None,
        "% of a core",
        "not split from requests: a process that two of its kind answer would tell",
    ));
    rows.push(row_of_unknown_need(
        "limiter",
        "time added where the nearest server stands in another region",
        Some(size.traffic.added_ms),
        "ms",
        "a tier in each region and no server of another in its list: an arrangement; one tier over regions opens connections to all of them",
    ));
    let spread_s = (tier * SPREAD_PER_LIMITER_MS / 1000.0).min(MAX_SPREAD_S);
    rows.push(row_of_need(
        "caller of discovery",
        "calls that a registry gets when all lose their watch at once",
        tier / spread_s,
        Some(1000.0 / SPREAD_PER_LIMITER_MS),
        "a second",
        "calls spread over the tier (where the list must be asked for)",
    ));
    let owners = QUOTA_OWNERS.min(tier);
    rows.push(Row {
        basis: "bounded tables by tenant, what is forgotten is carried on as a debt",
        ..sum().add_growth("memory_mb", "tenants", tenants * owners / tier)?.row(
            "keeper of tenants",
            format!("memory for {:.0} accounts", tenants * owners / tier),
            Some(control.memory_mb),
            "MB",
        )
    });
    rows.push(row_of_unknown_need(
        "control machines",
        format!("what {} of them do", control.machines),
        Some(f64::from(control.machines)),
        "machines",
        "nothing runs on them yet: limiters ask one another, discovery is the platform's",
    ));
    rows.push(row_of_unknown_need(
        "path of a changed configuration",
        format!("{:.0} a day, in force everywhere", size.changes.configurations_a_day),
        Some(size.changes.in_force_s),
        "s",
        "nothing brings a configuration to the limiters; SIGHUP takes up only where discovery is",
    ));
    rows.push(row_of_unknown_need(
        "routes",
        format!("{} of them", size.traffic.routes),
        None,
        "",
        "the program has one back end and no routes; a tier a service is an arrangement of processes",
    ));
    let load_factor = |lost: f64, total: f64| total / (total - lost).max(1e-9);
    let zones = f64::from(size.fleet.zones);
    let limiters = f64::from(size.fleet.limiters);
    let machines = limiters + f64::from(size.fleet.servers);
    let failures = &size.failures;
    rows.push(row_of_need(
        "path of a failed machine",
        format!(
            "{:.0} fail and {:.0} are restarted a day: one every so long",
            failures.machines_a_day, failures.restarts_a_day
        ),
        86_400.0 / (failures.machines_a_day + failures.restarts_a_day).max(1e-9),
        None,
        "s",
        "one limiter of a tier gone: the others bear its clients (next row)",
    ));
    let smallest_tier = size.limiters_in_smallest_tier();
    rows.push(row_of_need(
        "path of a failed machine",
        format!("what the others of a tier of {smallest_tier:.0} bear, in processor"),
        need_of(&rows, "processor for requests at the peak")
            * load_factor(1.0, smallest_tier.max(1.0 + 1e-9)),
        Some(100.0),
        "% of a core",
        "clients come again elsewhere",
    ));
    rows.push(row_of_need(
        "path of a failed rack",
        format!(
            "{:.0} a year, {} machines: what the others bear",
            failures.racks_a_year, failures.machines_a_rack
        ),
        load_factor(f64::from(failures.machines_a_rack), machines),
        None,
        "times",
        "limiters of one tier must stand in different racks: an arrangement",
    ));
    rows.push(row_of_need(
        "path of a lost zone",
        format!("{:.0} a year: what the others bear", failures.zones_a_year),
        load_factor(1.0, zones),
        None,
        "times",
        "a tier's limiters in different zones; each learns of silent servers by itself",
    ));
    rows.push(row_of_need(
        "path of parted regions",
        format!("apart for {:.0} s: times a quota that each tenant may use on both sides", failures.regions_apart_s),
        f64::from(size.fleet.regions.min(2)),
        None,
        "times",
        "no quota is shared between tiers; within one tier over regions each side falls back on even parts, under a ceiling on owned ones",
    ));
    if failures.zones_a_year > 0.0 {
        rows.push(row_of_need(
            "path of a lost zone",
            "one every so long",
            YEAR_S / failures.zones_a_year / 86_400.0,
            None,
            "days",
            "",
        ));
    }
    Ok(rows)
}

/// The need of the row for a resource; NaN if there is none.
fn need_of(rows: &[Row], resource: &str) -> f64 {
    rows.iter().find(|row| row.resource == resource).and_then(|row| row.need).unwrap_or(f64::NAN)
}

/// A resource as a function of the number of limiters, with its bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Curve {
    /// Name of the resource.
    pub name: String,
    /// Number of limiters, and amount of the resource.
    pub points: Vec<(f64, f64)>,
    /// Maximum amount.
    pub bound: f64,
}

/// The resources measured for several numbers of limiters, with and without prefetch.
///
/// # Errors
/// A series is missing: it has not been measured.
pub fn curves(size: &Size, slopes: &Slopes) -> Result<Vec<Curve>, InputError> {
    let bounds = [
        ("wait_ms_p99", "wait before the first attempt, p99, ms", size.traffic.added_ms),
        ("control_kb_per_s", "control, in and out, KB/s", size.control.kb_per_s),
        ("messages_in_per_s", "words taken in a second", size.control.messages_per_s),
    ];
    let mut curves = Vec::new();
    for (figure, name, bound) in bounds {
        for (prefix, mode) in [("", "without prefetch"), ("prefetch_", "with prefetch")] {
            let (fit, _) = slopes.fit(&format!("{prefix}{figure}"), "limiters")?;
            curves.push(Curve { name: format!("{name} ({mode})"), points: fit.points, bound });
        }
    }
    Ok(curves)
}
