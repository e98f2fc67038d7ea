//! `marldeal rehearse`: scenarios played with the real limiters in a virtual world.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use marldeal_rehearsal::figures::Figures;
use marldeal_rehearsal::planner::{self, Goal};
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::search::{self, Bounds};
use marldeal_rehearsal::world::World;
use marldeal_rehearsal::{library, report, shrink, size, trials};

use super::scale;
use super::scenarios::{bar, print, read};

/// One figure of a run.
type Of = fn(&Figures) -> f64;

/// What to rehearse.
#[derive(Args)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct Rehearse {
    /// A scenario: a name of `rehearse list`, or a TOML file.
    #[arg(required = true)]
    scenario: Option<String>,
    #[command(flatten)]
    seeds: Seeds,
    /// Plays it on real sockets and in real time too, with real limiters, and says whether both agree.
    #[arg(long)]
    sockets: bool,
    /// Writes one self-contained HTML page (of the first seed; with --sockets, of what was played there).
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
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after another from the first.
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
    /// Names the scenarios that come with the program.
    List,
    /// Prints a scenario as a file, with every key.
    Show {
        /// A name, or a TOML file.
        scenario: String,
    },
    /// Prints the JSON Schema of scenario files.
    Schema,
    /// Compares two scenarios on the same seeds, or two files written with --json.
    Compare {
        /// The first.
        first: String,
        /// The second.
        second: String,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Looks for the parameters of a scenario that hurt most.
    Search {
        /// A name, or a TOML file.
        scenario: String,
        /// The seed of the search and of the first run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Generations of eight candidates.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=1000))]
        generations: u32,
        /// No figure goes beyond this many times what the scenario says.
        #[arg(long, default_value_t = 2.0)]
        factor: f64,
        /// Writes the scenario that was found.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Finds the fewest nodes with which a scenario keeps a score under every seed.
    Plan {
        /// A name, or a TOML file.
        scenario: String,
        /// The score that is wanted under every seed.
        #[arg(long, default_value_t = 0.95)]
        score: f64,
        /// Fewest nodes to look at.
        #[arg(long, default_value_t = 4)]
        least: u32,
        /// Most nodes to look at.
        #[arg(long, default_value_t = 24)]
        most: u32,
        #[command(flatten)]
        seeds: Seeds,
    },
    /// Plays growing tiers and prints what grows how.
    Scale {
        /// Numbers of limiters.
        #[arg(long, value_delimiter = ',', default_values_t = [3, 10, 30])]
        limiters: Vec<u32>,
        /// Nodes for each limiter.
        #[arg(long, default_value_t = 3.3)]
        nodes_each: f64,
        /// Seconds of each.
        #[arg(long)]
        seconds: Option<f64>,
        /// Messages a second that each limiter takes in.
        #[arg(long, default_value_t = 60.0)]
        messages: f64,
        /// Quotas as a part of the usual: smaller ones make more firms of the same use.
        #[arg(long, default_value_t = 1.0)]
        quota: f64,
        /// A scenario to grow instead: a name of `rehearse list`, one of the size that is planned for (size/calm,
        /// size/zone-lost, size/regions-parted, size/replaced), or a TOML file; with its own nodes and load for each limiter.
        #[arg(long, value_name = "SCENARIO", conflicts_with_all = ["nodes_each", "messages", "quota"])]
        like: Option<String>,
        /// Regions, instead of the scenario's own.
        #[arg(long)]
        regions: Option<u32>,
        /// All limiters hold units of quotas ahead of need.
        #[arg(long)]
        prefetch: bool,
        /// Seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Writes what was measured along the number of limiters as slopes, for `marldeal capacity`.
        #[arg(long, value_name = "FILE")]
        slopes: Option<PathBuf>,
        /// Writes the figures of all sizes as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Fails if messages, or the limiters' work, for each request grow by more than this many times from the first size to
        /// any other.
        #[arg(long, value_name = "TIMES")]
        most_growth: Option<f64>,
        /// Writes growth curves as one self-contained HTML page.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
}

/// Does it.
///
/// # Errors
/// In words for the person who called: what is wrong with the scenario, or that a rule was broken.
pub fn run(what: Rehearse) -> Result<(), String> {
    match (what.command, what.scenario) {
        (Some(Command::List), _) => {
            let about = |name: &str| library::find(name).map(|s| s.about).unwrap_or_default();
            print(library::ALL.iter().map(|(name, _)| format!("{name:<24}{}\n", about(name))));
            Ok(())
        }
        (Some(Command::Show { scenario }), _) => {
            print([scenario_of(&scenario)?.write()]);
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
                return Err("--least: from 1 to --most is expected".to_string());
            }
            plan(&scenario, Goal { score, nodes: [least, most] }, &seeds.all())
        }
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
            let mut of = match &like {
                Some(name) => grown_of(name)?,
                None => {
                    let mut of = Scenario { seconds: 20.0, ..Scenario::default() };
                    of.nodes.count = (f64::from(of.limiters.count) * nodes_each).round().max(1.0) as u32;
                    of.limiters.messages_per_s = messages;
                    of.plans.iter_mut().for_each(|p| p.rate *= quota);
                    of
                }
            };
            of.seconds = seconds.unwrap_or(of.seconds);
            of.regions = regions.unwrap_or(of.regions);
            let out = scale::Out { report, slopes, json, most_growth };
            scale::run(&of, &limiters, prefetch, seed, &out)
        }
        (None, Some(scenario)) if what.sockets => on_sockets(&scenario, &what.seeds, what.report.as_deref()),
        (None, Some(scenario)) => play(&scenario, &what.seeds, what.report.as_deref(), what.json.as_deref()),
        (None, None) => Err("a scenario is expected; `marldeal rehearse list` names some".to_string()),
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Runs that shrinking may take.
const MOST_RUNS: u32 = 120;

fn scenario_of(name: &str) -> Result<Scenario, String> {
    read(name, "rehearse", library::find)
}

fn play(name: &str, seeds: &Seeds, page: Option<&Path>, json: Option<&Path>) -> Result<(), String> {
    let scenario = scenario_of(name)?;
    let began = Instant::now();
    let bar = bar(if seeds.seeds > 1 { seeds.seeds } else { scenario.seconds.ceil() as u64 });
    let first = (page.is_some() || seeds.seeds == 1).then(|| {
        let world = World::new(&scenario, seeds.seed)?;
        Ok::<_, String>(world.play(|second| {
            if seeds.seeds == 1 {
                bar.set_position(second as u64);
            }
        }))
    });
    let first = first.transpose()?;
    if let (Some(path), Some(run)) = (page, &first) {
        write(path, &report::page(&scenario, &run.figures, &run.seconds, "")?)?;
    }
    let all = match first {
        Some(run) if seeds.seeds == 1 => vec![run.figures],
        _ => trials::play(&scenario, &seeds.all(), |_| bar.inc(1))?,
    };
    bar.finish_and_clear();
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
        write(path, &text)?;
    }
    match all.as_slice() {
        [one] => print_one(&scenario, one),
        many => print_many(&scenario, many),
    }
    let (events, took) = (all.iter().map(|f| f.events).sum::<u64>(), began.elapsed().as_secs_f64());
    eprintln!(
        "{:.0} virtual seconds in {took:.1} s, {:.0} events a second",
        scenario.seconds * all.len() as f64,
        events as f64 / took.max(1e-9)
    );
    match all.iter().find(|f| f.broken_count > 0) {
        Some(figures) => Err(broken(&scenario, figures)),
        None => Ok(()),
    }
}

/// How far a figure on sockets may lie from the same in the virtual world: the network there has no delay of its own,
/// messages take another time, and arrivals meet nodes in another order.
const BAND: f64 = 0.04;
/// What the figures of a run on sockets leave out.
const UNSEEN: &str = "Played on sockets: ways across buildings cost nothing there and stand as 0; whether one attempt was over before the \
    next began is not judged.";
/// The same for the median time to an answer, as a share.
const LATENCY_BAND: f64 = 0.15;

fn on_sockets(name: &str, seeds: &Seeds, page: Option<&Path>) -> Result<(), String> {
    let scenario = scenario_of(name)?;
    if seeds.seeds != 1 {
        return Err("--seeds: one seed is played on sockets".to_string());
    }
    let bar = bar(scenario.seconds.ceil() as u64);
    let watched = bar.clone();
    let program = marldeal_faults::processes::Program::current()?;
    let progress = move |s| watched.set_position(s as u64);
    let real =
        marldeal_faults::environment::run_scenario(&scenario, seeds.seed, &program, Vec::new(), progress)?;
    bar.finish_and_clear();
    let virtually = World::new(&scenario, seeds.seed)?.play(|_| {});
    if let Some(path) = page {
        write(path, &report::page(&scenario, &real.figures, &real.seconds, UNSEEN)?)?;
    }
    print_one(&scenario, &real.figures);
    println!("{UNSEEN}");
    let share = |f: &Figures, of: u64| of as f64 / f.ends.asked.max(1) as f64;
    let median = |f: &Figures| f.plans.iter().map(|p| p.latency_ms[0]).sum::<f64>() / f.plans.len() as f64;
    let rows: [(&str, f64, f64, f64); 6] = [
        ("whole", virtually.figures.whole, real.figures.whole, BAND),
        ("worst plan", virtually.figures.worst_plan, real.figures.worst_plan, 2.0 * BAND),
        (
            "in time",
            share(&virtually.figures, virtually.figures.ends.in_time),
            share(&real.figures, real.figures.ends.in_time),
            BAND,
        ),
        (
            "refused",
            share(&virtually.figures, virtually.figures.ends.refused),
            share(&real.figures, real.figures.ends.refused),
            BAND,
        ),
        (
            "failed",
            share(&virtually.figures, virtually.figures.ends.failed),
            share(&real.figures, real.figures.ends.failed),
            BAND,
        ),
        (
            "median ms",
            median(&virtually.figures),
            median(&real.figures),
            LATENCY_BAND * median(&virtually.figures),
        ),
    ];
    println!("\n{:<12}{:>10}{:>10}{:>10}", "", "virtual", "sockets", "band");
    let mut beyond = Vec::new();
    for (name, a, b, band) in rows {
        let agrees = (a - b).abs() <= band;
        println!(
            "{name:<12}{a:>10.4}{b:>10.4}{band:>10.4}  {}",
            if agrees { "agrees" } else { "BEYOND THE BAND" }
        );
        if !agrees {
            beyond.push(name);
        }
    }
    if let Some(first) = real.first_violation() {
        return Err(format!("broken on sockets: {first}"));
    }
    match beyond.as_slice() {
        [] => Ok(()),
        some => Err(format!("sockets and virtual world differ in {}: a finding", some.join(", "))),
    }
}

/// What was broken, and the shortest scenario that breaks it.
fn broken(scenario: &Scenario, figures: &Figures) -> String {
    let Some(first) = figures.broken.first() else { return "a rule was broken".to_string() };
    let shrunk = shrink::shrink(scenario, figures.seed, first.rule, MOST_RUNS);
    format!(
        "rule broken: {:?} at {:.3} s of {:?}, seed {}: {}\nshortest scenario found in {} runs:\n\n{}",
        first.rule,
        first.at_s,
        scenario.name,
        figures.seed,
        first.what,
        shrunk.runs,
        shrunk.scenario.write()
    )
}

fn print_one(scenario: &Scenario, f: &Figures) {
    println!("{}, seed {}: score {:.4}", scenario.name, f.seed, f.score);
    println!("whole {:.4}   worst 10 s {:.4}   worst plan {:.4}", f.whole, f.worst_10s, f.worst_plan);
    let [over, late, waste, mail, crossing] = f.deductions;
    println!("points off: over quota {over:.2}, late failures {late:.2}, waste {waste:.2}, messages {mail:.2}, crossing {crossing:.2}");
    println!(
        "\n{:<14}{:>8}{:>8}{:>9}{:>7}{:>9}{:>8}{:>6}{:>8}{:>8}",
        "plan", "service", "asked", "in time", "late", "refused", "failed", "left", "p50 ms", "p99 ms"
    );
    for p in &f.plans {
        let e = &p.ends;
        println!(
            "{:<14}{:>8.4}{:>8}{:>9}{:>7}{:>9}{:>8}{:>6}{:>8.0}{:>8.0}",
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
        "\n{:.3} attempts a try, {} connections, {} messages ({} lost), wasted work {:.3} ({:.4} for clients who had left), {} nodes fell, {} rules broken",
        f.attempts_a_try, f.connections, f.messages[0], f.messages[1], f.wasted, f.for_nobody, f.falls, f.broken_count
    );
}

fn print_many(scenario: &Scenario, all: &[Figures]) {
    println!("{}, {} seeds from {}", scenario.name, all.len(), all[0].seed);
    println!("{:<16}{:>8}{:>8}{:>8}{:>8}", "", "least", "median", "mean", "most");
    let rows: [(&str, Of); 6] = [
        ("score", |f| f.score),
        ("whole", |f| f.whole),
        ("worst 10 s", |f| f.worst_10s),
        ("worst plan", |f| f.worst_plan),
        ("wasted work", |f| f.wasted),
        ("nodes fallen", |f| f64::from(f.falls)),
    ];
    for (name, of) in rows {
        let values: Vec<f64> = all.iter().map(of).collect();
        if let Some(s) = trials::spread(&values) {
            println!("{name:<16}{:>8.4}{:>8.4}{:>8.4}{:>8.4}", s.least, s.median, s.mean, s.most);
        }
    }
    let broken: Vec<u64> = all.iter().filter(|f| f.broken_count > 0).map(|f| f.seed).collect();
    println!("rules broken under {} seeds: {:?}", broken.len(), &broken[..broken.len().min(20)]);
}

fn compare(first: &str, second: &str, seeds: &[u64]) -> Result<(), String> {
    let of = |name: &str| -> Result<Vec<Figures>, String> {
        if name.ends_with(".json") {
            let text = std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?;
            return serde_json::from_str(&text)
                .map_err(|e| format!("{name}: figures of `rehearse --json` are expected: {e}"));
        }
        let bar = bar(seeds.len() as u64);
        let played = trials::play(&scenario_of(name)?, seeds, |_| bar.inc(1));
        bar.finish_and_clear();
        played
    };
    let (a, b) = (of(first)?, of(second)?);
    let pairs: Vec<(&Figures, &Figures)> =
        a.iter().filter_map(|x| b.iter().find(|y| y.seed == x.seed).map(|y| (x, y))).collect();
    if pairs.is_empty() {
        return Err(format!("{first} and {second} have no seed in common"));
    }
    println!("{first} against {second}, {} seeds in common", pairs.len());
    println!("{:<16}{:>9}{:>9}{:>10}{:>22}  verdict", "", "first", "second", "mean diff", "95% interval");
    let rows: [(&str, bool, Of); 8] = [
        ("score", true, |f| f.score),
        ("whole", true, |f| f.whole),
        ("worst 10 s", true, |f| f.worst_10s),
        ("worst plan", true, |f| f.worst_plan),
        ("wasted work", false, |f| f.wasted),
        ("for nobody", false, |f| f.for_nobody),
        ("attempts a try", false, |f| f.attempts_a_try),
        ("messages", false, |f| f.messages[0] as f64),
    ];
    for (name, judged, of) in rows {
        let x: Vec<f64> = pairs.iter().map(|p| of(p.0)).collect();
        let y: Vec<f64> = pairs.iter().map(|p| of(p.1)).collect();
        let (Some(d), Some(sx), Some(sy)) =
            (trials::difference(&x, &y), trials::spread(&x), trials::spread(&y))
        else {
            continue;
        };
        let interval = format!("{:+.4} to {:+.4}", d.interval[0], d.interval[1]);
        let verdict = if judged { d.verdict() } else { "" };
        println!("{name:<16}{:>9.4}{:>9.4}{:>+10.4}{interval:>22}  {verdict}", sx.mean, sy.mean, d.mean);
    }
    Ok(())
}

fn find_worst(name: &str, seed: u64, bounds: Bounds, out: Option<&Path>) -> Result<(), String> {
    let scenario = scenario_of(name)?;
    let bar = bar(u64::from(bounds.generations));
    let found = search::search(&scenario, seed, bounds, |generation, score| {
        bar.set_position(u64::from(generation));
        bar.set_message(format!("worst score {score:.4}"));
    })?;
    bar.finish_and_clear();
    println!(
        "{} candidates: score {:.4} as given, {:.4} at the worst",
        found.candidates, found.given, found.score
    );
    if let Some(path) = out {
        write(path, &found.scenario.write())?;
    }
    for (line, was) in changes(&scenario, &found.scenario) {
        println!("{line} (was {was})");
    }
    if found.broken {
        return Err(format!("a rule is broken under seed {seed} or the next with these parameters"));
    }
    Ok(())
}

/// The lines of the second file that differ from those of the first, and what those were.
fn changes(first: &Scenario, second: &Scenario) -> Vec<(String, String)> {
    let (a, b) = (first.write(), second.write());
    let differ = a.lines().zip(b.lines()).filter(|(x, y)| x != y);
    differ.map(|(x, y)| (y.to_string(), x.split('=').nth(1).unwrap_or("").trim().to_string())).collect()
}

fn plan(name: &str, goal: Goal, seeds: &[u64]) -> Result<(), String> {
    let scenario = scenario_of(name)?;
    let spinner = indicatif::ProgressBar::new_spinner();
    spinner.enable_steady_tick(Duration::from_millis(200));
    let plan = planner::plan(&scenario, seeds, goal, |t| {
        spinner.set_message(format!("{} nodes: {:.4}", t.nodes, t.least));
    })?;
    spinner.finish_and_clear();
    println!("{:>6}{:>10}{:>10}", "nodes", "least", "mean");
    for t in &plan.tried {
        println!("{:>6}{:>10.4}{:>10.4}  {}", t.nodes, t.least, t.mean, if t.good { "good" } else { "" });
    }
    match plan.nodes {
        Some(nodes) => println!("{nodes} nodes keep a score of {} under {} seeds", goal.score, seeds.len()),
        None => println!("{} nodes do not keep a score of {}", goal.nodes[1], goal.score),
    }
    Ok(())
}

/// A scenario to grow.
fn grown_of(name: &str) -> Result<Scenario, String> {
    match name.strip_prefix("size/").and_then(size::find) {
        Some(scenario) => Ok(scenario),
        None => scenario_of(name),
    }
}
