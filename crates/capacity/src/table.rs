//! Each role's needs at a size against their bounds.

use crate::fit::Value;
use crate::size::Size;
use crate::slopes::{Series, Slopes};
use crate::InputError;

/// How a need stands to its bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// Within it: so much of the bound is left, as a share.
    Met(f64),
    /// Beyond it, by so many times.
    Missed(f64),
    /// The need is told and there is no bound for it.
    NoBound,
    /// There is nothing that carries it, or nothing here that could measure it.
    NotAnswered,
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Verdict::Met(room) => write!(f, "met, room {:.0}%", 100.0 * room),
            Verdict::Missed(times) => write!(f, "MISSED by {times:.1} times"),
            Verdict::NoBound => f.write_str("told"),
            Verdict::NotAnswered => f.write_str("NOT ANSWERED"),
        }
    }
}

/// One need.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Whose.
    pub role: &'static str,
    /// Of what.
    pub resource: String,
    /// How much of it; nothing where it cannot be told.
    pub need: Option<f64>,
    /// How much there may be.
    pub bound: Option<f64>,
    /// In what.
    pub unit: &'static str,
    /// How the two stand.
    pub verdict: Verdict,
    /// What carries it, or what would tell.
    pub basis: &'static str,
    /// Figures it rests on, each with its ground, and how far its points lie from a line.
    pub sources: Vec<String>,
    /// Beyond the largest size measured, which was this.
    pub extrapolated_from: Option<f64>,
}

/// Seconds of a year.
const YEAR_S: f64 = 365.0 * 86_400.0;
/// Keepers of a tenant (`src/accounts.rs`), and limiters whose own a server is (`src/policy.rs`).
const KEEPERS: f64 = 3.0;
/// Milliseconds of its tier's limiters over which a call to a registry that must be asked is spread, and the most
/// (`marldeal/src/upstream/asking.rs`).
const SPREAD_MS: f64 = 60.0;
const MOST_SPREAD_S: f64 = 20.0;

/// Adds figures of several series up, and notes where they come from.
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

    /// `times` the figure at a size; of `above` only what it is more than at nothing.
    fn add(mut self, figure: &str, along: &str, size: f64, times: f64) -> Result<Self, InputError> {
        let (fit, series) = self.slopes.fit(figure, along)?;
        self.note(series, fit.max_deviation, fit.at(size));
        self.value += times * fit.at(size).value;
        Ok(self)
    }

    /// What the figure grows by from nothing to a size, along the fitted line.
    fn grow(mut self, figure: &str, along: &str, size: f64) -> Result<Self, InputError> {
        let (fit, series) = self.slopes.fit(figure, along)?;
        self.note(series, fit.max_deviation, fit.at(size));
        self.value += (fit.at(size).value - fit.at(0.0).value).max(0.0);
        Ok(self)
    }

    fn note(&mut self, series: &Series, worst: f64, at: Value) {
        let ground = format!("{:?}", series.ground).to_lowercase();
        let off = 100.0 * worst;
        self.sources.push(format!("{} by {} ({ground}, {off:.0}% off a line)", series.figure, series.along));
        if at.extrapolated {
            self.extrapolated_from = Some(self.extrapolated_from.unwrap_or(f64::INFINITY).min(at.largest));
        }
    }

    fn row(self, role: &'static str, what: impl Into<String>, bound: Option<f64>, unit: &'static str) -> Row {
        let Sum { value, sources, extrapolated_from, .. } = self;
        Row { sources, extrapolated_from, ..told(role, what, value, bound, unit, "") }
    }
}

fn told(
    role: &'static str,
    what: impl Into<String>,
    need: f64,
    bound: Option<f64>,
    unit: &'static str,
    by: &'static str,
) -> Row {
    let verdict = match bound {
        None => Verdict::NoBound,
        Some(bound) if need <= bound => Verdict::Met(1.0 - need / bound),
        Some(bound) => Verdict::Missed(need / bound),
    };
    Row {
        role,
        resource: what.into(),
        need: Some(need),
        bound,
        unit,
        verdict,
        basis: by,
        sources: Vec::new(),
        extrapolated_from: None,
    }
}

fn open(
    role: &'static str,
    what: impl Into<String>,
    bound: Option<f64>,
    unit: &'static str,
    by: &'static str,
) -> Row {
    Row {
        role,
        resource: what.into(),
        need: None,
        bound,
        unit,
        verdict: Verdict::NotAnswered,
        basis: by,
        sources: Vec::new(),
        extrapolated_from: None,
    }
}

/// The table of a size. `prefetch`: units of quotas are held ahead of need.
///
/// # Errors
/// A series that has not been measured.
pub fn table(size: &Size, slopes: &Slopes, prefetch: bool) -> Result<Vec<Row>, InputError> {
    let (tier, servers, tenants) =
        (size.limiters_per_tier(), size.servers_per_tier(), size.tenants_per_tier());
    let sum = || Sum::new(slopes);
    let way = if prefetch { "prefetch_" } else { "" };
    let figure = |name: &str| format!("{way}{name}");
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
                .grow("memory_mb", "tenants", tenants)?
                .grow("memory_mb", "peers", tier)?
                .grow("memory_mb", "open", per_limiter * size.traffic.open_s)?
                .row("limiter", "memory", Some(control.memory_mb), "MB")
        },
        {
            let list = slopes.at("change_bytes", "servers", servers)?.value * size.changes.list_per_s;
            let words = sum().add(&figure("control_kb_per_s"), "limiters", tier, 1.0)?;
            let list_sources = sum().add("change_bytes", "servers", servers, 0.0)?.sources;
            let mut row = Sum { value: words.value + list / 1000.0, ..words }.row(
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
    rows.push(open(
        "limiter",
        "processor for words",
        None,
        "% of a core",
        "not split from requests: a process that two of its kind answer would tell",
    ));
    rows.push(open(
        "limiter",
        "time added where the nearest server stands in another region",
        Some(size.traffic.added_ms),
        "ms",
        "a tier in each region and no server of another in its list: an arrangement; one tier over regions opens connections to all of them",
    ));
    let spread_s = (tier * SPREAD_MS / 1000.0).min(MOST_SPREAD_S);
    rows.push(told(
        "caller of discovery",
        "calls that a registry gets when all lose their watch at once",
        tier / spread_s,
        Some(1000.0 / SPREAD_MS),
        "a second",
        "calls spread over the tier (where the list must be asked for)",
    ));
    let keepers = KEEPERS.min(tier);
    rows.push(Row {
        basis: "bounded tables by tenant, what is forgotten is carried on as a debt",
        ..sum().grow("memory_mb", "tenants", tenants * keepers / tier)?.row(
            "keeper of tenants",
            format!("memory for {:.0} accounts", tenants * keepers / tier),
            Some(control.memory_mb),
            "MB",
        )
    });
    rows.push(open(
        "control machines",
        format!("what {} of them do", control.machines),
        Some(f64::from(control.machines)),
        "machines",
        "nothing runs on them yet: limiters ask one another, discovery is the platform's",
    ));
    rows.push(open(
        "path of a changed configuration",
        format!("{:.0} a day, in force everywhere", size.changes.configurations_a_day),
        Some(size.changes.in_force_s),
        "s",
        "nothing brings a configuration to the limiters; SIGHUP takes up only where discovery is",
    ));
    rows.push(open(
        "routes",
        format!("{} of them", size.traffic.routes),
        None,
        "",
        "the program has one back end and no routes; a tier a service is an arrangement of processes",
    ));
    let share = |gone: f64, of: f64| of / (of - gone).max(1e-9);
    let zones = f64::from(size.fleet.zones);
    let limiters = f64::from(size.fleet.limiters);
    let machines = limiters + f64::from(size.fleet.servers);
    let failures = &size.failures;
    rows.push(told(
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
    let least = size.limiters_in_smallest_tier();
    rows.push(told(
        "path of a failed machine",
        format!("what the others of a tier of {least:.0} bear, in processor"),
        rows_value(&rows, "processor for requests at the peak") * share(1.0, least.max(1.0 + 1e-9)),
        Some(100.0),
        "% of a core",
        "clients come again elsewhere",
    ));
    rows.push(told(
        "path of a failed rack",
        format!(
            "{:.0} a year, {} machines: what the others bear",
            failures.racks_a_year, failures.machines_a_rack
        ),
        share(f64::from(failures.machines_a_rack), machines),
        None,
        "times",
        "limiters of one tier must stand in different racks: an arrangement",
    ));
    rows.push(told(
        "path of a lost zone",
        format!("{:.0} a year: what the others bear", failures.zones_a_year),
        share(1.0, zones),
        None,
        "times",
        "a tier's limiters in different zones; each learns of silent servers by itself",
    ));
    rows.push(told(
        "path of parted regions",
        format!("apart for {:.0} s: times a quota that each tenant may use on both sides", failures.regions_apart_s),
        f64::from(size.fleet.regions.min(2)),
        None,
        "times",
        "no quota is shared between tiers; within one tier over regions each side falls back on even parts, under a ceiling on owned ones",
    ));
    if failures.zones_a_year > 0.0 {
        rows.push(told(
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

fn rows_value(rows: &[Row], what: &str) -> f64 {
    rows.iter().find(|row| row.resource == what).and_then(|row| row.need).unwrap_or(f64::NAN)
}

/// A resource against the number of limiters, with its bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Curve {
    /// Which.
    pub name: String,
    /// Limiters, and how much.
    pub points: Vec<(f64, f64)>,
    /// How much there may be.
    pub bound: f64,
}

/// What was measured along the number of limiters, with its bound.
///
/// # Errors
/// A series that has not been measured.
pub fn curves(size: &Size, slopes: &Slopes) -> Result<Vec<Curve>, InputError> {
    let bounds = [
        ("wait_ms_p99", "wait before the first attempt, p99, ms", size.traffic.added_ms),
        ("control_kb_per_s", "control, in and out, KB/s", size.control.kb_per_s),
        ("messages_in_per_s", "words taken in a second", size.control.messages_per_s),
    ];
    let mut curves = Vec::new();
    for (figure, name, bound) in bounds {
        for (way, with) in [("", "without prefetch"), ("prefetch_", "with prefetch")] {
            let (fit, _) = slopes.fit(&format!("{way}{figure}"), "limiters")?;
            curves.push(Curve { name: format!("{name} ({with})"), points: fit.points, bound });
        }
    }
    Ok(curves)
}
