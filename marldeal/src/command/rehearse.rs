//! `marldeal rehearse`: scenarios simulated with the real limiter code in virtual time.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use marldeal_rehearsal::figures::Figures;
use marldeal_rehearsal::planner::{self, Goal};
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::search::{self, Bounds};
use marldeal_rehearsal::world::World;
use marldeal_rehearsal::{causes, library, report, shrink, size, trials};

use super::scale;
use super::scenarios::{bar, print, read};
use super::slow_start;

/// Selects one figure of a run.
type Select = fn(&Figures) -> f64;

/// Options of `marldeal rehearse`.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct Rehearse {
    /// The scenario: a name from `rehearse list`, or a TOML file.
    #[arg(required = true)]
    scenario: Option<String>,
    #[command(flatten)]
    seeds: Seeds,
    /// Also runs the scenario in real time with limiter processes on real sockets, and compares both results.
    #[arg(long)]
    sockets: bool,
    /// Writes a self-contained HTML page for the first seed; with --sockets, for the run on sockets.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Writes the figures of all seeds as JSON, for `rehearse compare`.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Args)]
struct Seeds {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seeds: u64,
}

impl Seeds {
    fn all(&self) -> Vec<u64> {
        (0..self.seeds).map(|n| self.seed.wrapping_add(n)).collect()
    }
}

#[derive(Subcommand)]
enum Command {
    /// Lists the built-in scenarios.
    List,
    /// Prints a scenario as a TOML file, with all keys.
    Show {
        /// A name from `rehearse list`, or a TOML file.
        scenario: String,
    },
    /// Prints the JSON Schema of scenario files.
    Schema,
    /// Compares two scenarios on the same seeds, or two files that were written with --json.
    Compare {
        /// The first scenario or file.
        first: String,
        /// The second scenario or file.
        second: String,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Searches for the parameters of a scenario with the lowest score.
    Search {
        /// A name from `rehearse list`, or a TOML file.
        scenario: String,
        /// The seed of the search and of the first run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of generations, each of eight candidates.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=1000))]
        generations: u32,
        /// Maximum factor by which a parameter may exceed its value in the scenario.
        #[arg(long, default_value_t = 2.0)]
        factor: f64,
        /// Writes the scenario that was found as a TOML file.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Finds the smallest number of servers with which a scenario reaches a score with every seed.
    Plan {
        /// A name from `rehearse list`, or a TOML file.
        scenario: String,
        /// The score to reach with every seed.
        #[arg(long, default_value_t = 0.95)]
        score: f64,
        /// Smallest number of servers to try.
        #[arg(long, default_value_t = 4)]
        least: u32,
        /// Largest number of servers to try.
        #[arg(long, default_value_t = 24)]
        most: u32,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Judges what all limiters together send to servers in slow start, from 1 to 300 limiters.
    SlowStart {
        /// Plays only the few scenarios that the tests play.
        #[arg(long)]
        small: bool,
        /// Plays only scenarios with this number of limiters.
        #[arg(long)]
        limiters: Option<u32>,
        /// Prints the senders of the worst window of each scenario.
        #[arg(long)]
        senders: bool,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Counts what servers were doing when requests were refused, while servers join and come back during a burst.
    Causes {
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Simulates tiers of increasing size and prints how each figure grows.
    Scale {
        /// Numbers of limiters, separated by commas.
        #[arg(long, value_delimiter = ',', default_values_t = [3, 10, 30])]
        limiters: Vec<u32>,
        /// Servers per limiter.
        #[arg(long, default_value_t = 3.3)]
        nodes_each: f64,
        /// Duration of each run, in virtual seconds.
        #[arg(long)]
        seconds: Option<f64>,
        /// Messages per second that each limiter receives.
        #[arg(long, default_value_t = 60.0)]
        messages: f64,
        /// Factor on all quotas. Smaller quotas give more customers with the same total use.
        #[arg(long, default_value_t = 1.0)]
        quota: f64,
        /// The scenario to scale instead, with its own servers and load per limiter: a name from `rehearse list`, a
        /// scenario of the planned size (size/calm, size/zone-lost, size/regions-parted, size/replaced), or a TOML
        /// file.
        #[arg(long, value_name = "SCENARIO", conflicts_with_all = ["nodes_each", "messages", "quota"])]
        like: Option<String>,
        /// Number of regions, overriding the scenario's.
        #[arg(long)]
        regions: Option<u32>,
        /// All limiters prefetch quota units.
        #[arg(long)]
        prefetch: bool,
        /// Seed of the runs.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Writes the slopes along the number of limiters, for `marldeal capacity`.
        #[arg(long, value_name = "FILE")]
        slopes: Option<PathBuf>,
        /// Writes the figures of all sizes as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Fails if messages per request, or the limiters' work per request, grow by more than this factor from the
        /// first size to any other.
        #[arg(long, value_name = "TIMES")]
        most_growth: Option<f64>,
        /// Writes a self-contained HTML page of growth curves.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
}

/// Runs the command.
///
/// # Errors
/// Describes what is wrong with the scenario, or which rule was violated.
pub fn run(options: Rehearse) -> Result<(), String> {
    match (options.command, options.scenario) {
        (Some(Command::List), _) => {
            let about = |name: &str| library::find(name).map(|s| s.about).unwrap_or_default();
            print(library::ALL.iter().map(|(name, _)| format!("{name:<24}{}\n", about(name))));
            Ok(())
        }
        (Some(Command::Show { scenario }), _) => {
            print([load_scenario(&scenario)?.write()]);
            Ok(())
        }
        (Some(Command::Schema), _) => {
            print([marldeal_rehearsal::scenario::schema() + "\n"]);
            Ok(())
        }
        (Some(Command::Compare { first, second, seeds }), _) => compare(&first, &second, &seeds.all()),
        (Some(Command::Search { scenario, seed, generations, factor, out }), _) => {
            let bounds = Bounds { generations, factor: factor.max(1.0), ..Bounds::default() };
            find_worst(&scenario, seed, bounds, out.as_deref())
        }
        (Some(Command::Plan { scenario, score, least, most, seeds }), _) => {
            if least < 1 || least > most {
                return Err("--least: expected a number from 1 to --most".to_string());
            }
            plan(&scenario, Goal { score, nodes: [least, most] }, &seeds.all())
        }
        (Some(Command::SlowStart { small, limiters, senders, seeds }), _) => {
            slow_start::run(small, limiters, senders, &seeds.all())
        }
        (Some(Command::Causes { seeds }), _) => count_causes(&seeds.all()),
        (
            Some(Command::Scale {
                limiters,
                nodes_each,
                seconds,
                messages,
                quota,
                like,
                regions,
                prefetch,
                seed,
                slopes,
                json,
                most_growth,
                report,
            }),
            _,
        ) => {
            let mut scaled = match &like {
                Some(name) => scenario_to_scale(name)?,
                None => {
                    let mut scenario = Scenario { seconds: 20.0, ..Scenario::default() };
                    scenario.nodes.count =
                        (f64::from(scenario.limiters.count) * nodes_each).round().max(1.0) as u32;
                    scenario.limiters.messages_per_s = messages;
                    scenario.plans.iter_mut().for_each(|p| p.rate *= quota);
                    scenario
                }
            };
            scaled.seconds = seconds.unwrap_or(scaled.seconds);
            scaled.regions = regions.unwrap_or(scaled.regions);
            let output = scale::Output { report, slopes, json, max_growth: most_growth };
            scale::run(&scaled, &limiters, prefetch, seed, &output)
        }
        (None, Some(scenario)) if options.sockets => {
            run_on_sockets(&scenario, &options.seeds, options.report.as_deref())
        }
        (None, Some(scenario)) => {
            run_simulated(&scenario, &options.seeds, options.report.as_deref(), options.json.as_deref())
        }
        (None, None) => {
            Err("expected a scenario; `marldeal rehearse list` prints the built-in ones".to_string())
        }
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Maximum number of runs for shrinking a scenario.
const MAX_SHRINK_RUNS: u32 = 120;

/// Returns a built-in scenario, or reads one from a file.
fn load_scenario(name: &str) -> Result<Scenario, String> {
    read(name, "rehearse", library::find)
}

/// Simulates a scenario with all seeds and prints the figures.
fn run_simulated(
    name: &str,
    seeds: &Seeds,
    report_path: Option<&Path>,
    json: Option<&Path>,
) -> Result<(), String> {
    let scenario = load_scenario(name)?;
    let started = Instant::now();
    let bar = bar(if seeds.seeds > 1 { seeds.seeds } else { scenario.seconds.ceil() as u64 });
    let first = (report_path.is_some() || seeds.seeds == 1).then(|| {
        let world = World::new(&scenario, seeds.seed)?;
        Ok::<_, String>(world.play(|second| {
            if seeds.seeds == 1 {
                bar.set_position(second as u64);
            }
        }))
    });
    let first = first.transpose()?;
    if let (Some(path), Some(run)) = (report_path, &first) {
        write(path, &report::page(&scenario, &run.figures, &run.seconds, "")?)?;
    }
    let all_figures = match first {
        Some(run) if seeds.seeds == 1 => vec![run.figures],
        _ => trials::play(&scenario, &seeds.all(), |_| bar.inc(1))?,
    };
    bar.finish_and_clear();
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&all_figures).map_err(|e| e.to_string())?;
        write(path, &text)?;
    }
    match all_figures.as_slice() {
        [one] => print_one(&scenario, one),
        many => print_many(&scenario, many),
    }
    let (events, elapsed_s) =
        (all_figures.iter().map(|f| f.events).sum::<u64>(), started.elapsed().as_secs_f64());
    eprintln!(
        "{:.0} virtual seconds in {elapsed_s:.1} s, {:.0} events per second",
        scenario.seconds * all_figures.len() as f64,
        events as f64 / elapsed_s.max(1e-9)
    );
    match all_figures.iter().find(|f| f.broken_count > 0) {
        Some(figures) => Err(describe_violation(&scenario, figures)),
        None => Ok(()),
    }
}

/// Maximum difference between a figure on sockets and in the simulation. On sockets the network adds no delay,
/// messages take a different time, and requests reach the servers in a different order.
const TOLERANCE: f64 = 0.04;
/// Note on the figures that a run on sockets does not have.
const NOT_MEASURED: &str =
    "Run on sockets: paths between buildings cost nothing there and count as 0; whether an attempt had ended before the \
    next one started is not checked.";
/// Maximum difference of the median latency, as a fraction.
const LATENCY_TOLERANCE: f64 = 0.15;

/// Runs a scenario on sockets and in the simulation, and compares the figures.
fn run_on_sockets(name: &str, seeds: &Seeds, report_path: Option<&Path>) -> Result<(), String> {
    let scenario = load_scenario(name)?;
    if seeds.seeds != 1 {
        return Err("--seeds: only one seed can be run on sockets".to_string());
    }
    let bar = bar(scenario.seconds.ceil() as u64);
    let progress_bar = bar.clone();
    let program = marldeal_faults::processes::Program::current()?;
    let progress = move |s| progress_bar.set_position(s as u64);
    let real =
        marldeal_faults::environment::run_scenario(&scenario, seeds.seed, &program, Vec::new(), progress)?;
    bar.finish_and_clear();
    let simulated = World::new(&scenario, seeds.seed)?.play(|_| {});
    if let Some(path) = report_path {
        write(path, &report::page(&scenario, &real.figures, &real.seconds, NOT_MEASURED)?)?;
    }
    print_one(&scenario, &real.figures);
    println!("{NOT_MEASURED}");
    let share = |f: &Figures, count: u64| count as f64 / f.ends.asked.max(1) as f64;
    let median = |f: &Figures| f.plans.iter().map(|p| p.latency_ms[0]).sum::<f64>() / f.plans.len() as f64;
    let rows: [(&str, f64, f64, f64); 6] = [
        ("service", simulated.figures.whole, real.figures.whole, TOLERANCE),
        ("worst plan", simulated.figures.worst_plan, real.figures.worst_plan, 2.0 * TOLERANCE),
        (
            "in time",
            share(&simulated.figures, simulated.figures.ends.in_time),
            share(&real.figures, real.figures.ends.in_time),
            TOLERANCE,
        ),
        (
            "refused",
            share(&simulated.figures, simulated.figures.ends.refused),
            share(&real.figures, real.figures.ends.refused),
            TOLERANCE,
        ),
        (
            "failed",
            share(&simulated.figures, simulated.figures.ends.failed),
            share(&real.figures, real.figures.ends.failed),
            TOLERANCE,
        ),
        (
            "median ms",
            median(&simulated.figures),
            median(&real.figures),
            LATENCY_TOLERANCE * median(&simulated.figures),
        ),
    ];
    println!("\n{:<12}{:>10}{:>10}{:>10}", "", "simulated", "sockets", "tolerance");
    let mut differing = Vec::new();
    for (name, expected, measured, tolerance) in rows {
        let agrees = (expected - measured).abs() <= tolerance;
        println!(
            "{name:<12}{expected:>10.4}{measured:>10.4}{tolerance:>10.4}  {}",
            if agrees { "agrees" } else { "DIFFERS" }
        );
        if !agrees {
            differing.push(name);
        }
    }
    if let Some(first) = real.first_violation() {
        return Err(format!("rule violated on sockets: {first}"));
    }
    match differing.as_slice() {
        [] => Ok(()),
        names => Err(format!("sockets and simulation differ in {}", names.join(", "))),
    }
}

/// Describes the first violation, with the shortest scenario found that shows it.
fn describe_violation(scenario: &Scenario, figures: &Figures) -> String {
    let Some(first) = figures.broken.first() else { return "a rule was violated".to_string() };
    let shrunk = shrink::shrink(scenario, figures.seed, first.rule, MAX_SHRINK_RUNS);
    format!(
        "rule violated: {:?} at {:.3} s of {:?}, seed {}: {}\nshortest scenario found in {} runs:\n\n{}",
        first.rule,
        first.at_s,
        scenario.name,
        figures.seed,
        first.what,
        shrunk.runs,
        shrunk.scenario.write()
    )
}

/// Prints, for each seed, what servers were doing when requests of a throng were refused.
fn count_causes(seeds: &[u64]) -> Result<(), String> {
    println!(
        "{:>6}{:>9}{:>14}{:>11}{:>11}{:>8}{:>8}",
        "seed", "refused", "beyond quota", "cold room", "warm full", "idle", "none"
    );
    for seed in seeds {
        let c = causes::play_throng(*seed)?;
        println!(
            "{seed:>6}{:>9}{:>14}{:>11}{:>11}{:>8}{:>8}",
            c.refused, c.beyond_quota, c.cold_room, c.warm_full, c.idle, c.unexplained
        );
    }
    Ok(())
}

/// Prints the figures of one run.
fn print_one(scenario: &Scenario, f: &Figures) {
    println!("{}, seed {}: score {:.4}", scenario.name, f.seed, f.score);
    println!("service {:.4}   worst 10 s {:.4}   worst plan {:.4}", f.whole, f.worst_10s, f.worst_plan);
    let [over, late, waste, messages, crossing] = f.deductions;
    println!("deductions: over quota {over:.2}, late failures {late:.2}, waste {waste:.2}, messages {messages:.2}, between buildings {crossing:.2}");
    println!(
        "\n{:<14}{:>8}{:>10}{:>9}{:>7}{:>9}{:>8}{:>11}{:>8}{:>8}",
        "plan",
        "service",
        "requests",
        "in time",
        "late",
        "refused",
        "failed",
        "cancelled",
        "p50 ms",
        "p99 ms"
    );
    for p in &f.plans {
        let e = &p.ends;
        println!(
            "{:<14}{:>8.4}{:>10}{:>9}{:>7}{:>9}{:>8}{:>11}{:>8.0}{:>8.0}",
            p.plan,
            p.service,
            e.asked,
            e.in_time,
            e.late,
            e.refused,
            e.failed,
            e.left,
            p.latency_ms[0],
            p.latency_ms[2]
        );
    }
    println!(
        "\n{:.3} attempts per request, {} connections, {} messages ({} lost), wasted work {:.3} ({:.4} for disconnected clients), {} servers failed, {} rules violated",
        f.attempts_a_try, f.connections, f.messages[0], f.messages[1], f.wasted, f.for_nobody, f.falls, f.broken_count
    );
}

/// Prints how the figures vary between seeds.
fn print_many(scenario: &Scenario, all_figures: &[Figures]) {
    println!("{}, {} seeds from {}", scenario.name, all_figures.len(), all_figures[0].seed);
    println!("{:<16}{:>8}{:>8}{:>8}{:>8}", "", "min", "median", "mean", "max");
    let rows: [(&str, Select); 6] = [
        ("score", |f| f.score),
        ("service", |f| f.whole),
        ("worst 10 s", |f| f.worst_10s),
        ("worst plan", |f| f.worst_plan),
        ("wasted work", |f| f.wasted),
        ("servers failed", |f| f64::from(f.falls)),
    ];
    for (name, select) in rows {
        let values: Vec<f64> = all_figures.iter().map(select).collect();
        if let Some(s) = trials::spread(&values) {
            println!("{name:<16}{:>8.4}{:>8.4}{:>8.4}{:>8.4}", s.least, s.median, s.mean, s.most);
        }
    }
    let violating_seeds: Vec<u64> =
        all_figures.iter().filter(|f| f.broken_count > 0).map(|f| f.seed).collect();
    println!(
        "rules violated with {} seeds: {:?}",
        violating_seeds.len(),
        &violating_seeds[..violating_seeds.len().min(20)]
    );
}

/// Prints the differences between two scenarios, or between two files of figures.
fn compare(first: &str, second: &str, seeds: &[u64]) -> Result<(), String> {
    let figures_of = |name: &str| -> Result<Vec<Figures>, String> {
        if name.ends_with(".json") {
            let text = std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?;
            return serde_json::from_str(&text)
                .map_err(|e| format!("{name}: expected figures of `rehearse --json`: {e}"));
        }
        let bar = bar(seeds.len() as u64);
        let figures = trials::play(&load_scenario(name)?, seeds, |_| bar.inc(1));
        bar.finish_and_clear();
        figures
    };
    let (a, b) = (figures_of(first)?, figures_of(second)?);
    let pairs: Vec<(&Figures, &Figures)> =
        a.iter().filter_map(|x| b.iter().find(|y| y.seed == x.seed).map(|y| (x, y))).collect();
    if pairs.is_empty() {
        return Err(format!("{first} and {second} have no seed in common"));
    }
    println!("{first} against {second}, {} seeds in common", pairs.len());
    println!("{:<16}{:>9}{:>9}{:>10}{:>22}  verdict", "", "first", "second", "mean diff", "95% interval");
    let rows: [(&str, bool, Select); 8] = [
        ("score", true, |f| f.score),
        ("service", true, |f| f.whole),
        ("worst 10 s", true, |f| f.worst_10s),
        ("worst plan", true, |f| f.worst_plan),
        ("wasted work", false, |f| f.wasted),
        ("cancelled work", false, |f| f.for_nobody),
        ("attempts/request", false, |f| f.attempts_a_try),
        ("messages", false, |f| f.messages[0] as f64),
    ];
    for (name, has_verdict, select) in rows {
        let x: Vec<f64> = pairs.iter().map(|p| select(p.0)).collect();
        let y: Vec<f64> = pairs.iter().map(|p| select(p.1)).collect();
        let (Some(d), Some(sx), Some(sy)) =
            (trials::difference(&x, &y), trials::spread(&x), trials::spread(&y))
        else {
            continue;
        };
        let interval = format!("{:+.4} to {:+.4}", d.interval[0], d.interval[1]);
        let verdict = if has_verdict { d.verdict() } else { "" };
        println!("{name:<16}{:>9.4}{:>9.4}{:>+10.4}{interval:>22}  {verdict}", sx.mean, sy.mean, d.mean);
    }
    Ok(())
}

/// Searches for the parameters with the lowest score and prints them.
fn find_worst(name: &str, seed: u64, bounds: Bounds, output: Option<&Path>) -> Result<(), String> {
    let scenario = load_scenario(name)?;
    let bar = bar(u64::from(bounds.generations));
    let found = search::search(&scenario, seed, bounds, |generation, score| {
        bar.set_position(u64::from(generation));
        bar.set_message(format!("lowest score {score:.4}"));
    })?;
    bar.finish_and_clear();
    println!(
        "{} candidates: score {:.4} as given, {:.4} at the lowest",
        found.candidates, found.given, found.score
    );
    if let Some(path) = output {
        write(path, &found.scenario.write())?;
    }
    for (line, was) in changes(&scenario, &found.scenario) {
        println!("{line} (was {was})");
    }
    if found.broken {
        return Err(format!("a rule is violated with seed {seed} or the next one under these parameters"));
    }
    Ok(())
}

/// Returns the lines of the second scenario that differ from the first, each with the first's value.
fn changes(first: &Scenario, second: &Scenario) -> Vec<(String, String)> {
    let (a, b) = (first.write(), second.write());
    let differing = a.lines().zip(b.lines()).filter(|(x, y)| x != y);
    differing.map(|(x, y)| (y.to_string(), x.split('=').nth(1).unwrap_or("").trim().to_string())).collect()
}

/// Searches for the smallest number of servers that reaches a score, and prints the numbers tried.
fn plan(name: &str, goal: Goal, seeds: &[u64]) -> Result<(), String> {
    let scenario = load_scenario(name)?;
    let spinner = indicatif::ProgressBar::new_spinner();
    spinner.enable_steady_tick(Duration::from_millis(200));
    let plan = planner::plan(&scenario, seeds, goal, |t| {
        spinner.set_message(format!("{} servers: {:.4}", t.nodes, t.least));
    })?;
    spinner.finish_and_clear();
    println!("{:>7}{:>10}{:>10}", "servers", "min", "mean");
    for t in &plan.tried {
        println!("{:>7}{:>10.4}{:>10.4}  {}", t.nodes, t.least, t.mean, if t.good { "good" } else { "" });
    }
    match plan.nodes {
        Some(nodes) => println!("{nodes} servers reach a score of {} with {} seeds", goal.score, seeds.len()),
        None => println!("{} servers do not reach a score of {}", goal.nodes[1], goal.score),
    }
    Ok(())
}

/// Returns the scenario to scale: one of the planned size, another built-in one, or one from a file.
fn scenario_to_scale(name: &str) -> Result<Scenario, String> {
    match name.strip_prefix("size/").and_then(size::find) {
        Some(scenario) => Ok(scenario),
        None => load_scenario(name),
    }
}
