//! Runs seeds one after another and reports which rules were broken and by what.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use tempfile::TempDir;

use crate::environment::Environment;
use crate::history::{Event, History, Millis, What};
use crate::judge::{judge, Breach, Rule};
use crate::plan::Plan;
use crate::run::{request_log_lines, run_plan, RunConfig};
use crate::shim::{FailingCalls, Shim};

/// Breaches that are reported in full.
const MAX_REPORTED: usize = 6;
/// Events of the limiter's processes this long before and after a request are shown with it.
const TRACE_MARGIN_MS: Millis = 1000.0;

/// What to run.
pub struct Arguments {
    /// Path of the built limiter.
    pub program: PathBuf,
    /// One seed, or `FROM..TO`.
    pub seeds: String,
    /// Number of limiters.
    pub limiters: usize,
    /// Number of servers.
    pub servers: usize,
    /// How long clients send requests.
    pub seconds: f64,
    /// Whether system calls of every third limiter fail now and then.
    pub failing_calls: bool,
    /// Where logs and histories are kept; otherwise they go to a temporary directory.
    pub keep: Option<PathBuf>,
    /// Environment variables for every limiter.
    pub variables: Vec<(String, String)>,
}

/// Runs one seed and returns its history and the breaches found.
///
/// # Errors
/// Says what the test environment could not do.
pub fn run_seed(arguments: &Arguments, seed: u64, files: &Path) -> Result<(History, Vec<Breach>), String> {
    let plan = Plan::draw(seed, arguments.limiters, arguments.servers, arguments.seconds * 1000.0);
    let shim = match arguments.failing_calls {
        true => Some(Shim::build()?),
        false => None,
    };
    let variables = (0..arguments.limiters)
        .map(|n| {
            let mut all = arguments.variables.clone();
            if let Some(shim) = shim.as_ref().filter(|_| n % 3 == 0) {
                all.extend(shim.environment(&draw_failing_calls(seed, n)));
            }
            all
        })
        .collect();
    let config = RunConfig { program: arguments.program.clone(), variables, files: files.to_path_buf() };
    let history = run_plan(&plan, config)?;
    let breaches = judge(&history);
    Ok((history, breaches))
}

/// Returns failure rates that are high enough for failing calls to coincide with other faults, and low enough
/// to leave requests that succeed. The wall clock of some limiters is off by an hour, either way.
fn draw_failing_calls(seed: u64, limiter: usize) -> FailingCalls {
    FailingCalls {
        short_reads: 100,
        short_writes: 100,
        interrupted: 20,
        accepts: 50,
        connects: 10,
        wall_clock_ms: [0, 3_600_000, -3_600_000][limiter / 3 % 3],
        seed: (seed as u32).wrapping_mul(1000).wrapping_add(limiter as u32),
        ..FailingCalls::default()
    }
}

fn parse_seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let number = |text: &str| text.trim().parse::<u64>().map_err(|_| format!("'{text}' is not a seed"));
    match text.split_once("..") {
        Some((from, to)) => Ok(number(from)?..=number(to)?),
        None => number(text).map(|seed| seed..=seed),
    }
}

/// Runs all seeds and returns how many of them broke a rule.
///
/// # Errors
/// Says what the test environment could not do.
pub fn run(arguments: &Arguments, mut report: impl FnMut(&str)) -> Result<u32, String> {
    let mut broken = 0;
    for seed in parse_seeds(&arguments.seeds)? {
        let temporary =
            TempDir::with_prefix("marldeal-soak-").map_err(|e| format!("cannot create a directory: {e}"))?;
        let files = match &arguments.keep {
            Some(kept) => kept.join(format!("seed-{seed}")),
            None => temporary.path().to_path_buf(),
        };
        std::fs::create_dir_all(&files).map_err(|e| format!("{}: {e}", files.display()))?;
        let (history, breaches) = run_seed(arguments, seed, &files)?;
        report(&summary(seed, &history, &breaches));
        if !breaches.is_empty() {
            report(&format!("  by rule: {}", counts_by_rule(&breaches)));
        }
        for breach in breaches.iter().take(MAX_REPORTED) {
            report(&format!("  {breach}"));
            for line in request_trace(&history, &files, breach) {
                report(&format!("    {line}"));
            }
        }
        if breaches.len() > MAX_REPORTED {
            report(&format!("  and {} more", breaches.len() - MAX_REPORTED));
        }
        if arguments.keep.is_some() {
            let text: String = history.events.iter().map(|e| format!("{e}\n")).collect();
            std::fs::write(files.join("history.txt"), text)
                .map_err(|e| format!("{}: {e}", files.display()))?;
        }
        broken += u32::from(!breaches.is_empty());
    }
    Ok(broken)
}

/// Returns how often each rule was broken.
fn counts_by_rule(breaches: &[Breach]) -> String {
    let mut counts: BTreeMap<Rule, u32> = BTreeMap::new();
    for breach in breaches {
        *counts.entry(breach.rule).or_default() += 1;
    }
    let counts: Vec<String> = counts.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
    counts.join(", ")
}

/// Returns the events of the request that a breach is about, and what its limiter logged of it.
pub fn request_trace(history: &History, files: &Path, breach: &Breach) -> Vec<String> {
    let Some(request) = breach.request else { return Vec::new() };
    let mut events: Vec<&Event> = history.of_request(request).collect();
    let limiter = history.events.iter().find_map(|e| match e.what {
        What::Asked { request: asked, limiter, .. } if asked == request => Some(limiter),
        _ => None,
    });
    if let Some(limiter) = limiter {
        let from = events.first().map_or(breach.at, |e| e.at) - TRACE_MARGIN_MS;
        events.extend(history.of_processes(limiter, from, breach.at + TRACE_MARGIN_MS));
    }
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut lines: Vec<String> = events.into_iter().map(ToString::to_string).collect();
    if let Some(limiter) = limiter {
        lines.extend(
            request_log_lines(files, limiter, &Environment::correlation_id(request))
                .into_iter()
                .map(|l| format!("log {l}")),
        );
    }
    lines
}

fn summary(seed: u64, history: &History, breaches: &[Breach]) -> String {
    let count = |wanted: fn(&What) -> bool| history.events.iter().filter(|e| wanted(&e.what)).count();
    let asked = count(|w| matches!(w, What::Asked { .. }));
    let served = count(|w| matches!(w, What::Answered { status: 200, .. }));
    let refused = count(|w| matches!(w, What::Answered { status: 429 | 503, .. }));
    let failed = count(|w| matches!(w, What::Answered { .. })) - served - refused;
    let left = count(|w| matches!(w, What::Left { .. }));
    let (attempts, stops) = (
        count(|w| matches!(w, What::Arrived { .. })),
        count(|w| matches!(w, What::Stopped { over: false, .. })),
    );
    let starts = count(|w| matches!(w, What::Started { .. }));
    let late = count(|w| matches!(w, What::HarnessLate { .. }));
    let long = count(|w| matches!(w, What::LongAnswered { .. }));
    let long_whole = count(|w| matches!(w, What::LongAnswered { whole: true, status: 200, .. }));
    let unsound = count(|w| matches!(w, What::UnsoundEnded { .. }));
    let incomplete = count(|w| matches!(w, What::HalfEnded { .. }));
    format!(
        "seed {seed}: {} rules broken; {asked} asked, {served} served, {refused} refused, {failed} failed, {left} left, \
         {attempts} attempts; {long_whole} of {long} long answers whole, {unsound} unsound and {incomplete} incomplete requests; \
         {starts} starts, {stops} stops; harness late {late} times",
        breaches.len()
    )
}
