//! `marldeal rehearse scale`: simulates tiers of increasing size and reports how each figure grows.

use std::path::PathBuf;
use std::time::Instant;

use marldeal_capacity::slopes::{MeasurementSetup, Series, Slopes};
use marldeal_rehearsal::figures::Figures;
use marldeal_rehearsal::report::{self, Size};
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::size;
use marldeal_rehearsal::world::World;

/// Output files and the limit on growth.
pub struct Output {
    /// File for an HTML page of growth curves.
    pub report: Option<PathBuf>,
    /// File for the slopes.
    pub slopes: Option<PathBuf>,
    /// File for all figures as JSON.
    pub json: Option<PathBuf>,
    /// Maximum factor by which messages and work per request may grow.
    pub max_growth: Option<f64>,
}

/// Simulates tiers of increasing size and prints their figures.
///
/// # Errors
/// Describes an invalid size, a violated rule or a figure that grows too fast.
pub fn run(
    scenario: &Scenario,
    limiters: &[u32],
    prefetch: bool,
    seed: u64,
    output: &Output,
) -> Result<(), String> {
    let mut sizes: Vec<Size> = Vec::new();
    let mut all_figures: Vec<Figures> = Vec::new();
    let mut decision_us: Vec<f64> = Vec::new();
    for count in limiters {
        let mut sized = size::scaled_to(scenario, *count);
        if prefetch {
            sized.limiters.prefetch = *count;
        }
        if let Some(error) = sized.validation_errors().first() {
            return Err(format!("with {count} limiters: {error}"));
        }
        let started = Instant::now();
        let world = World::new(&sized, seed)?;
        let customers = world.customer_count();
        let run = world.with_decision_time().play(|_| {});
        let elapsed_s = started.elapsed().as_secs_f64();
        let total_decision_us = run.decision_time.unwrap_or_default().as_secs_f64() * 1e6;
        let mut figures = figures(&sized, customers, &run.figures, elapsed_s);
        figures.push((DECISION_TIME, total_decision_us / run.figures.ends.asked.max(1) as f64));
        println!("{count} limiters");
        figures.iter().for_each(|(name, value)| println!("  {name:<30}{value:>14.4}"));
        decision_us.push(figures.last().map_or(0.0, |f| f.1));
        sizes.push(Size { limiters: *count, figures });
        all_figures.push(run.figures);
    }
    if let Some(path) = &output.report {
        write(path, &report::growth(&format!("Tiers of increasing size: {}", scenario.name), &sizes)?)?;
    }
    if let Some(path) = &output.json {
        write(path, &serde_json::to_string_pretty(&all_figures).map_err(|e| e.to_string())?)?;
    }
    if let Some(path) = &output.slopes {
        write(path, &slopes(limiters, &all_figures, &decision_us, prefetch).to_toml())?;
    }
    if let Some(f) = all_figures.iter().find(|f| f.broken_count > 0) {
        return Err(format!("rule violated: {:?}", f.broken.first()));
    }
    match output.max_growth {
        Some(max) => check_growth(&sizes, max),
        None => Ok(()),
    }
}

fn write(path: &std::path::Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Selects one figure of a run.
type Select = fn(&Figures) -> f64;

/// Figures that must not grow with the size of the tier.
const PER_REQUEST: [&str; 2] = ["messages per request", DECISION_TIME];
const DECISION_TIME: &str = "decision time per request, us";

/// Returns the named figures of one size.
fn figures(scenario: &Scenario, customers: usize, f: &Figures, elapsed_s: f64) -> Vec<(&'static str, f64)> {
    let (requests, messages) = (f.ends.asked.max(1) as f64, f.messages[0] as f64);
    let share = |count: u64| count as f64 / f.added.sent_on.max(1) as f64;
    vec![
        ("servers", f64::from(scenario.nodes.count)),
        ("customers", customers as f64),
        ("requests per second", f.ends.asked as f64 / scenario.seconds),
        ("messages per second", messages / scenario.seconds),
        ("messages per limiter-second", messages / scenario.seconds / f64::from(scenario.limiters.count)),
        ("messages per request", messages / requests),
        ("messages lost", f.messages[1] as f64 / messages.max(1.0)),
        ("message bytes per request", f.message_bytes as f64 / requests),
        ("messages in per second, max", f.control.messages_in[1]),
        ("control bytes per second, max", f.control.bytes_in[1] + f.control.bytes_out[1]),
        ("waited for a message", share(f.added.waited)),
        ("queued", share(f.added.queued)),
        ("new connection", share(f.added.connected)),
        ("added p50, ms", f.added.ms[0]),
        ("added p99, ms", f.added.ms[1]),
        ("added p99.9, ms", f.added.ms[2]),
        ("of which sending asks p99, ms", f.added.ask_ms[1]),
        ("of which messages p99, ms", f.added.word_ms[1]),
        ("of which queueing p99, ms", f.added.queue_ms[1]),
        ("of which handshakes p99, ms", f.added.handshake_ms[1]),
        ("time to refusal p99, ms", f.added.refused_ms[1]),
        ("refused", f.ends.refused as f64 / requests),
        ("score deduction beyond quotas", f.deductions[0]),
        ("service", f.whole),
        ("worst plan", f.worst_plan),
        ("score", f.score),
        ("servers failed", f64::from(f.falls)),
        ("rules violated", f.broken_count as f64),
        ("virtual seconds per second", scenario.seconds / elapsed_s),
        ("events per second", f.events as f64 / elapsed_s),
        ("peak memory so far, MB", peak_memory_mb()),
    ]
}

/// Returns the slopes along the number of limiters that `marldeal capacity` needs.
fn slopes(limiters: &[u32], all_figures: &[Figures], decision_us: &[f64], prefetch: bool) -> Slopes {
    let selected: [(&str, Select); 6] = [
        ("wait_ms_p99", |f| f.added.ms[1]),
        ("wait_ms_p999", |f| f.added.ms[2]),
        ("control_kb_per_s", |f| (f.control.bytes_in[1] + f.control.bytes_out[1]) / 1000.0),
        ("messages_in_per_s", |f| f.control.messages_in[1]),
        ("waited_share", |f| f.added.waited as f64 / f.added.sent_on.max(1) as f64),
        ("service", |f| f.whole),
    ];
    let arguments = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
    let series = |name: &str, values: Vec<f64>| Series {
        figure: if prefetch { format!("prefetch_{name}") } else { name.to_string() },
        along: "limiters".to_string(),
        ground: MeasurementSetup::Hollow,
        run: format!("marldeal {arguments}"),
        points: limiters.iter().map(|n| f64::from(*n)).zip(values).collect(),
    };
    let mut all: Vec<Series> = selected
        .iter()
        .map(|(name, select)| series(name, all_figures.iter().map(select).collect()))
        .collect();
    all.push(series("deciding_us_a_request", decision_us.to_vec()));
    Slopes { series: all }
}

/// Checks that no per-request figure grows by more than a factor of `max` from the first size to any other.
fn check_growth(sizes: &[Size], max: f64) -> Result<(), String> {
    let figure = |size: &Size, name: &str| size.figures.iter().find(|f| f.0 == name).map_or(0.0, |f| f.1);
    let (Some(first), true) = (sizes.first(), sizes.len() > 1) else { return Ok(()) };
    for name in PER_REQUEST {
        let base = figure(first, name);
        for size in &sizes[1..] {
            let factor = figure(size, name) / base;
            if base > 0.0 && factor > max {
                return Err(format!(
                    "{name} grows by a factor of {factor:.2} from {} to {} limiters, the limit is {max}",
                    first.limiters, size.limiters
                ));
            }
        }
    }
    Ok(())
}

/// Returns the peak resident memory of this process in MB, 0 if the kernel does not report it.
fn peak_memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().strip_suffix(" kB"))
        .and_then(|kb| kb.trim().parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}
