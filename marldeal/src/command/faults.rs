//! `marldeal faults`: plans played with limiters as real processes, and faults between them.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use marldeal_faults::figures::Run;
use marldeal_faults::processes::Program;
use marldeal_faults::{environment, plans};
use marldeal_rehearsal::figures::Figures;
use marldeal_rehearsal::observe::{Invariant, NoneIdle};
use marldeal_rehearsal::report::{self, Extra};
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::world::World;

use super::scenarios::{bar, print, read};

/// What to do with plans.
#[derive(Args)]
pub struct Faults {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a plan; exit code 1 if a rule or an invariant is broken.
    Run(Box<Play>),
    /// Names the plans that come with the program.
    List,
    /// Shows a plan as a file, to be changed.
    Show {
        /// A name of `faults list` or of `rehearse list`.
        plan: String,
    },
    /// Reads plans and names each mistake, also what processes cannot play.
    Check {
        /// TOML files, or names.
        #[arg(required = true)]
        plans: Vec<String>,
    },
}

#[derive(Args)]
struct Play {
    /// A name of `faults list` or of `rehearse list`, or a TOML file.
    plan: String,
    /// So many limiters, with as many nodes and as much load for each as the plan has.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=300))]
    limiters: Option<u32>,
    /// One seed, or the first and the last with two dots between them.
    #[arg(long, default_value = "1", value_parser = seeds)]
    seeds: Seeds,
    /// The same seeds in the virtual world beside it, as far as that can play the plan.
    #[arg(long)]
    beside: bool,
    /// Counts a server that is idle for over 2 s while others queue as broken.
    #[arg(long)]
    none_idle: bool,
    /// Writes one self-contained HTML page of the first seed, or the first that breaks something.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Writes the figures of all seeds as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy)]
struct Seeds(u64, u64);

fn seeds(text: &str) -> Result<Seeds, String> {
    let number = |t: &str| t.trim().parse::<u64>().map_err(|_| format!("{t:?} is not a seed"));
    let (first, last) = match text.split_once("..") {
        Some((a, b)) => (number(a)?, number(b)?),
        None => (number(text)?, number(text)?),
    };
    match last.checked_sub(first) {
        Some(0..=9999) => Ok(Seeds(first, last)),
        _ => Err("the first seed and a later last one, 10,000 at most, are expected".to_string()),
    }
}

/// How long a server may stand idle while others queue, where that is judged.
const IDLE_MS: f64 = 2000.0;

/// Does what is asked.
///
/// # Errors
/// One plain line, or a line a mistake.
pub fn run(what: Faults) -> Result<(), String> {
    match what.command {
        Command::List => {
            let about = |text: &str| Scenario::read(text).map(|s| s.about).unwrap_or_default();
            print(plans::ALL.iter().map(|(name, text)| format!("{name:<24}{}\n", about(text))));
            Ok(())
        }
        Command::Show { plan } => {
            print([plan_of(&plan)?.write()]);
            Ok(())
        }
        Command::Check { plans } => check(&plans),
        Command::Run(play_it) => play(&play_it),
    }
}

fn plan_of(name: &str) -> Result<Scenario, String> {
    read(name, "faults", plans::find)
}

fn check(names: &[String]) -> Result<(), String> {
    let mut wrong = 0;
    for name in names {
        match plan_of(name) {
            Ok(plan) => {
                let cannot = environment::unsupported(&plan);
                for line in &cannot {
                    println!("{name}: {line}");
                }
                wrong += usize::from(!cannot.is_empty());
                if cannot.is_empty() {
                    let also = if plan.not_virtual().is_empty() { ", in the virtual world too" } else { "" };
                    println!("{name}: good{also}");
                }
            }
            Err(lines) => {
                println!("{lines}");
                wrong += 1;
            }
        }
    }
    if wrong == 0 {
        Ok(())
    } else {
        Err(format!("{wrong} of {} plans cannot be played", names.len()))
    }
}

fn play(what: &Play) -> Result<(), String> {
    let mut plan = plan_of(&what.plan)?;
    if let Some(limiters) = what.limiters {
        plan = plans::sized(&plan, limiters);
        if let Some(wrong) = plan.mistakes().first() {
            return Err(format!("with {limiters} limiters: {wrong}"));
        }
    }
    let program = Program::current()?;
    let mut all: Vec<Run> = Vec::new();
    let mut beside: Vec<Figures> = Vec::new();
    println!("{}", HEAD);
    for seed in what.seeds.0..=what.seeds.1 {
        let bar = bar(plan.seconds.ceil() as u64);
        bar.set_message(format!("seed {seed}"));
        let watched = bar.clone();
        let mut judges: Vec<Box<dyn Invariant>> = Vec::new();
        if what.none_idle {
            judges.push(Box::new(NoneIdle::new(IDLE_MS)));
        }
        let run = environment::run_scenario(&plan, seed, &program, judges, move |s| {
            watched.set_position(s as u64)
        })?;
        bar.finish_and_clear();
        println!("{}", row(&plan, seed, &run));
        if what.beside && plan.not_virtual().is_empty() {
            let figures = World::new(&plan, seed)?.play(|_| {}).figures;
            println!("{}", virtual_row(&plan, &figures));
            beside.push(figures);
        }
        all.push(run);
    }
    let shown = all.iter().find(|r| r.violation_count() > 0).or(all.first());
    let Some(shown) = shown else { return Ok(()) };
    for (title, rows) in tables(&plan, shown) {
        println!("\n{title} (seed {})", shown.figures.seed);
        rows.iter().for_each(|(name, value)| println!("  {name:<68}{value}"));
    }
    if let Some(path) = &what.report {
        let drawn = plan.drawn(shown.figures.seed);
        let note = note(shown);
        let page = report::page_with(&drawn, &shown.figures, &shown.seconds, &note, &tables(&plan, shown))?;
        std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if let Some(path) = &what.json {
        let of = |r: &Run| serde_json::json!({"service": r.figures, "fleet": r.fleet});
        let text =
            serde_json::json!({"processes": all.iter().map(of).collect::<Vec<_>>(), "virtual": beside});
        std::fs::write(path, text.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let broken: Vec<u64> = all.iter().filter(|r| r.violation_count() > 0).map(|r| r.figures.seed).collect();
    match shown.first_violation() {
        None => Ok(()),
        Some(first) => Err(format!(
            "broken under {} of {} seeds ({broken:?}); seed {}: {first}\nagain: marldeal faults run {} --limiters {} --seeds {}",
            broken.len(),
            all.len(),
            shown.figures.seed,
            what.plan,
            plan.limiters.count,
            shown.figures.seed
        )),
    }
}

fn note(run: &Run) -> String {
    let late = &run.fleet.lateness;
    let own = format!(
        "The ground itself woke up {:.1} ms late in 99 of 100 cases, {:.0} ms at most.",
        late.p99_ms, late.most_ms
    );
    if late.distorts_times() {
        format!("{own} Times below are the ground's own as much as the limiters': this machine is too small for this run.")
    } else {
        own
    }
}

const HEAD: &str = "seed        service  refused  load of a server over its part     a request          words    cpu    broken\n\
                    \x20                    inside   largest (chance)  p99   least   attempts  handsh.  sent  ms";

/// Shares of one whole.
fn over(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

fn row(plan: &Scenario, seed: u64, run: &Run) -> String {
    let (f, fleet) = (&run.figures, &run.fleet);
    let asked = f.ends.asked.max(1) as f64;
    let load = &fleet.load;
    format!(
        "{seed:<10}{:>9.4}{:>9.4}{:>10.2} {:>8}{:>6.2}{:>7.2}{:>11.3}{:>9.3}{:>6.2}{:>6.2}{:>8}  {}",
        f.whole,
        over(fleet.outcomes.refused_inside, fleet.outcomes.inside),
        load.mean_largest[0],
        format!("({:.2})", load.mean_largest[1]),
        load.seen[1],
        load.seen[2],
        f.attempts as f64 / asked,
        f.connections as f64 / asked,
        f.messages[0] as f64 / asked,
        fleet.cpu_ms.iter().sum::<f64>() / asked,
        run.violation_count(),
        if fleet.lateness.distorts_times() { "the ground was late" } else { "" },
    ) + &format!("  {} limiters", plan.limiters.count)
}

fn virtual_row(plan: &Scenario, f: &Figures) -> String {
    let asked = f.ends.asked.max(1) as f64;
    format!(
        " virtual  {:>9.4}{:>9}{:>10} {:>8}{:>6}{:>7}{:>11.3}{:>9.3}{:>6.2}{:>6}{:>8}    {} limiters",
        f.whole,
        "",
        "",
        "",
        "",
        "",
        f.attempts as f64 / asked,
        f.connections as f64 / asked,
        f.messages[0] as f64 / asked,
        "",
        f.broken_count,
        plan.limiters.count
    )
}

/// What is said of a run beside its service.
fn tables(plan: &Scenario, run: &Run) -> Vec<Extra> {
    let (f, fleet) = (&run.figures, &run.fleet);
    let asked = f.ends.asked.max(1) as f64;
    let sorted = |all: &[f64]| {
        let mut all = all.to_vec();
        all.sort_by(f64::total_cmp);
        all
    };
    let most = |all: &[f64]| all.iter().copied().fold(0.0, f64::max);
    let middle = |all: &[f64]| sorted(all).get(all.len() / 2).copied().unwrap_or(0.0);
    let heard: Vec<f64> = fleet.words.received.iter().map(|n| *n as f64 / plan.seconds).collect();
    let line = |name: &str, value: String| (name.to_string(), value);
    let load = &fleet.load;
    let three = |[a, b, c]: [f64; 3]| format!("{a:.2}, {b:.2}, {c:.2}");
    let o = &fleet.outcomes;
    let whole = vec![
        line("limiters, nodes, requests a second and limiter", {
            let each = asked / plan.seconds / f64::from(plan.limiters.count);
            format!("{}, {}, {each:.1}", plan.limiters.count, plan.nodes.count)
        }),
        line("worth refused inside the quotas", format!("{:.4}", over(o.refused_inside, o.inside))),
        line("units sent on beyond the quotas", format!("{:.4}", over(o.units[1], o.units[0]))),
        line("load of a server over its part in 1 s: largest, 99th, least", three(load.seen)),
        line("the same by chance alone", three(load.by_chance)),
        line(
            "largest in a window, mean over the windows (by chance)",
            format!("{:.2} ({:.2})", load.mean_largest[0], load.mean_largest[1]),
        ),
        line(
            "attempts, connections a request",
            format!("{:.3}, {:.3}", f.attempts as f64 / asked, f.connections as f64 / asked),
        ),
        line(
            "words sent a request, share lost; heard a second, most by one",
            format!(
                "{:.2}, {:.3}; {:.1}",
                f.messages[0] as f64 / asked,
                over(f.messages[1] as f64, f.messages[0] as f64),
                most(&heard)
            ),
        ),
        line(
            "CPU a request, ms; of a limiter: median, most",
            format!(
                "{:.2}; {:.0}, {:.0}",
                fleet.cpu_ms.iter().sum::<f64>() / asked,
                middle(&fleet.cpu_ms),
                most(&fleet.cpu_ms)
            ),
        ),
        line(
            "memory of a limiter, MB: median, most",
            format!("{:.1}, {:.1}", middle(&fleet.memory_mb), most(&fleet.memory_mb)),
        ),
        line("most descriptors of the ground", fleet.descriptors.to_string()),
        line(
            "the ground's own lateness, ms: median, 99th, most",
            format!(
                "{:.1}, {:.1}, {:.1}",
                fleet.lateness.p50_ms, fleet.lateness.p99_ms, fleet.lateness.most_ms
            ),
        ),
    ];
    let rules = vec![
        line("rules of the brief, and further invariants, broken", {
            format!("{}, {}", f.broken_count, fleet.breach_count)
        }),
        line("tries lost; late within 2 s; excused", format!("{}; {}; {}", o.lost, o.late, o.excused)),
        line("limiters crashed; killed after SIGTERM", format!("{}; {}", o.crashes, o.hung)),
        line(
            "killed holding a request that was not sent on; that was",
            format!("{}; {}", o.killed_taken, o.killed_sent),
        ),
        line("words too long", fleet.words.too_long.to_string()),
        line("nodes pushed over", f.falls.to_string()),
    ];
    let mut tables = vec![("The fleet".to_string(), whole), ("Judged from outside".to_string(), rules)];
    let said = f.broken.iter().take(10).map(|b| (format!("{:?} at {:.3} s", b.rule, b.at_s), b.what.clone()));
    let breaches = fleet.breaches.iter().take(10).map(|b| (b.invariant.clone(), b.what.clone()));
    let notes = fleet.notes.iter().take(10).map(|n| ("said outside the log's form".to_string(), n.clone()));
    let broken: Vec<(String, String)> = said.chain(breaches).chain(notes).collect();
    if !broken.is_empty() {
        tables.push(("What was broken".to_string(), broken));
    }
    tables
}
