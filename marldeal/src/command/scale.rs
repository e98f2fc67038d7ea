//! `marldeal rehearse scale`: growing tiers, and what grows how.

use std::path::PathBuf;
use std::time::Instant;

use marldeal_capacity::slopes::{MeasurementSetup, Series, Slopes};
use marldeal_rehearsal::figures::Figures;
use marldeal_rehearsal::report::{self, Size};
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::size;
use marldeal_rehearsal::world::World;

/// Where results go, and what is too much.
pub struct Out {
    /// A page of curves.
    pub report: Option<PathBuf>,
    /// A file of slopes.
    pub slopes: Option<PathBuf>,
    /// All figures.
    pub json: Option<PathBuf>,
    /// Messages and work for each request may grow so many times.
    pub most_growth: Option<f64>,
}

/// Plays growing tiers and prints what grows how.
///
/// # Errors
/// In words: what is wrong with a size, that a rule was broken, or that something grows too fast.
pub fn run(of: &Scenario, limiters: &[u32], prefetch: bool, seed: u64, out: &Out) -> Result<(), String> {
    let mut sizes: Vec<Size> = Vec::new();
    let mut all: Vec<Figures> = Vec::new();
    let mut decided: Vec<f64> = Vec::new();
    for count in limiters {
        let mut s = size::sized(of, *count);
        if prefetch {
            s.limiters.prefetch = *count;
        }
        if let Some(wrong) = s.mistakes().first() {
            return Err(format!("with {count} limiters: {wrong}"));
        }
        let began = Instant::now();
        let world = World::new(&s, seed)?;
        let firms = world.firms();
        let run = world.timed().play(|_| {});
        let took = began.elapsed().as_secs_f64();
        let deciding_us = run.deciding.unwrap_or_default().as_secs_f64() * 1e6;
        let mut figures = figures(&s, firms, &run.figures, took);
        figures.push((DECIDING, deciding_us / run.figures.ends.asked.max(1) as f64));
        println!("{count} limiters");
        figures.iter().for_each(|(name, value)| println!("  {name:<30}{value:>14.4}"));
        decided.push(figures.last().map_or(0.0, |f| f.1));
        sizes.push(Size { limiters: *count, figures });
        all.push(run.figures);
    }
    if let Some(path) = &out.report {
        write(path, &report::growth(&format!("Growing tiers: {}", of.name), &sizes)?)?;
    }
    if let Some(path) = &out.json {
        write(path, &serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?)?;
    }
    if let Some(path) = &out.slopes {
        write(path, &slopes(limiters, &all, &decided, prefetch).to_toml())?;
    }
    if let Some(f) = all.iter().find(|f| f.broken_count > 0) {
        return Err(format!("rule broken: {:?}", f.broken.first()));
    }
    match out.most_growth {
        Some(most) => grows_by(&sizes, most),
        None => Ok(()),
    }
}

fn write(path: &std::path::Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// One figure of a run.
type Of = fn(&Figures) -> f64;

/// What must not grow with the tier.
const FOR_EACH: [&str; 2] = ["messages a request", DECIDING];
const DECIDING: &str = "deciding a request, us";

fn figures(s: &Scenario, firms: usize, f: &Figures, took: f64) -> Vec<(&'static str, f64)> {
    let (asked, sent) = (f.ends.asked.max(1) as f64, f.messages[0] as f64);
    let share = |part: u64| part as f64 / f.added.sent_on.max(1) as f64;
    vec![
        ("nodes", f64::from(s.nodes.count)),
        ("firms", firms as f64),
        ("requests a second", f.ends.asked as f64 / s.seconds),
        ("messages a second", sent / s.seconds),
        ("messages a limiter and second", sent / s.seconds / f64::from(s.limiters.count)),
        ("messages a request", sent / asked),
        ("messages lost", f.messages[1] as f64 / sent.max(1.0)),
        ("message bytes a request", f.message_bytes as f64 / asked),
        ("words taken in, most", f.control.messages_in[1]),
        ("control bytes a second, most", f.control.bytes_in[1] + f.control.bytes_out[1]),
        ("waited for a word", share(f.added.waited)),
        ("queued", share(f.added.queued)),
        ("new connection", share(f.added.connected)),
        ("added p50, ms", f.added.ms[0]),
        ("added p99, ms", f.added.ms[1]),
        ("added p99.9, ms", f.added.ms[2]),
        ("of it asks going out p99, ms", f.added.ask_ms[1]),
        ("of it words p99, ms", f.added.word_ms[1]),
        ("of it queueing p99, ms", f.added.queue_ms[1]),
        ("of it handshakes p99, ms", f.added.handshake_ms[1]),
        ("until a refusal p99, ms", f.added.refused_ms[1]),
        ("refused", f.ends.refused as f64 / asked),
        ("points off beyond quotas", f.deductions[0]),
        ("service", f.whole),
        ("worst plan", f.worst_plan),
        ("score", f.score),
        ("nodes fallen", f64::from(f.falls)),
        ("rules broken", f.broken_count as f64),
        ("virtual seconds a second", s.seconds / took),
        ("events a second", f.events as f64 / took),
        ("most memory so far, MB", resident_mb()),
    ]
}

/// What `marldeal capacity` asks for along the number of limiters.
fn slopes(limiters: &[u32], all: &[Figures], decided: &[f64], prefetch: bool) -> Slopes {
    let of: [(&str, Of); 6] = [
        ("wait_ms_p99", |f| f.added.ms[1]),
        ("wait_ms_p999", |f| f.added.ms[2]),
        ("control_kb_per_s", |f| (f.control.bytes_in[1] + f.control.bytes_out[1]) / 1000.0),
        ("messages_in_per_s", |f| f.control.messages_in[1]),
        ("waited_share", |f| f.added.waited as f64 / f.added.sent_on.max(1) as f64),
        ("service", |f| f.whole),
    ];
    let words = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
    let series = |name: &str, values: Vec<f64>| Series {
        figure: if prefetch { format!("prefetch_{name}") } else { name.to_string() },
        along: "limiters".to_string(),
        ground: MeasurementSetup::Hollow,
        run: format!("marldeal {words}"),
        points: limiters.iter().map(|n| f64::from(*n)).zip(values).collect(),
    };
    let mut all: Vec<Series> =
        of.iter().map(|(name, value)| series(name, all.iter().map(value).collect())).collect();
    all.push(series("deciding_us_a_request", decided.to_vec()));
    Slopes { series: all }
}

fn grows_by(sizes: &[Size], most: f64) -> Result<(), String> {
    let of = |size: &Size, name: &str| size.figures.iter().find(|f| f.0 == name).map_or(0.0, |f| f.1);
    let (Some(first), true) = (sizes.first(), sizes.len() > 1) else { return Ok(()) };
    for name in FOR_EACH {
        let least = of(first, name);
        for size in &sizes[1..] {
            let times = of(size, name) / least;
            if least > 0.0 && times > most {
                return Err(format!(
                    "{name} grows {times:.2} times from {} to {} limiters, {most} at most are expected",
                    first.limiters, size.limiters
                ));
            }
        }
    }
    Ok(())
}

/// Most memory that this process has held, in MB; 0 where the kernel does not tell.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().strip_suffix(" kB"))
        .and_then(|kb| kb.trim().parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}
