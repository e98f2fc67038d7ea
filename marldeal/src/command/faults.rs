//! `marldeal faults`: runs plans with limiters as real processes and injects faults between them.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use marldeal_faults::figures::Run;
use marldeal_faults::processes::Program;
use marldeal_faults::{environment, plans};
use marldeal_rehearsal::figures::Figures;
use marldeal_rehearsal::observe::{Invariant, NoIdleServer};
use marldeal_rehearsal::report::{self, ExtraTable};
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::world::World;

use super::scenarios::{bar, print, read};

/// Options of `marldeal faults`.
#[derive(Args)]
pub struct Faults {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a plan. The exit code is 1 if a rule or an invariant is violated.
    Run(Box<RunOptions>),
    /// Lists the built-in plans.
    List,
    /// Prints a plan as a TOML file, with all keys.
    Show {
        /// A name from `faults list` or `rehearse list`.
        plan: String,
    },
    /// Checks plans and prints all errors, including what cannot be run with processes.
    Check {
        /// TOML files, or names from `faults list` or `rehearse list`.
        #[arg(required = true)]
        plans: Vec<String>,
    },
}

#[derive(Args)]
struct RunOptions {
    /// A name from `faults list` or `rehearse list`, or a TOML file.
    plan: String,
    /// Number of limiters. Servers and load are scaled, so that each limiter has as many servers and as much load as
    /// in the plan.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=300))]
    limiters: Option<u32>,
    /// One seed, or the first and last seed as FIRST..LAST.
    #[arg(long, default_value = "1", value_parser = seeds)]
    seeds: Seeds,
    /// Also simulates the plan with the same seeds, if the simulation supports it.
    #[arg(long)]
    beside: bool,
    /// Counts a server that is idle for more than 2 s while others queue as a violation.
    #[arg(long)]
    none_idle: bool,
    /// Writes a self-contained HTML page of the first seed with a violation, or else of the first seed.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Writes the figures of all seeds as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// The first and the last seed.
#[derive(Debug, Clone, Copy)]
struct Seeds(u64, u64);

fn seeds(text: &str) -> Result<Seeds, String> {
    let seed = |t: &str| t.trim().parse::<u64>().map_err(|_| format!("{t:?} is not a seed"));
    let (first, last) = match text.split_once("..") {
        Some((a, b)) => (seed(a)?, seed(b)?),
        None => (seed(text)?, seed(text)?),
    };
    match last.checked_sub(first) {
        Some(0..=9999) => Ok(Seeds(first, last)),
        _ => Err("expected FIRST..LAST with LAST not below FIRST, at most 10,000 seeds".to_string()),
    }
}

/// Maximum time for which a server may be idle while others queue, with `--none-idle`.
const MAX_IDLE_MS: f64 = 2000.0;

/// Runs the command.
///
/// # Errors
/// Describes the failure in one line, or each error of a plan on its own line.
pub fn run(options: Faults) -> Result<(), String> {
    match options.command {
        Command::List => {
            let about = |text: &str| Scenario::read(text).map(|s| s.about).unwrap_or_default();
            print(plans::ALL.iter().map(|(name, text)| format!("{name:<24}{}\n", about(text))));
            Ok(())
        }
        Command::Show { plan } => {
            print([load_plan(&plan)?.write()]);
            Ok(())
        }
        Command::Check { plans } => check(&plans),
        Command::Run(options) => run_plan(&options),
    }
}

/// Returns a built-in plan, or reads one from a file.
fn load_plan(name: &str) -> Result<Scenario, String> {
    read(name, "faults", plans::find)
}

/// Prints all errors in the plans.
fn check(names: &[String]) -> Result<(), String> {
    let mut invalid = 0;
    for name in names {
        match load_plan(name) {
            Ok(plan) => {
                let errors = environment::unsupported(&plan);
                for error in &errors {
                    println!("{name}: {error}");
                }
                invalid += usize::from(!errors.is_empty());
                if errors.is_empty() {
                    let also = if plan.unsupported_in_simulation().is_empty() {
                        ", also in the simulation"
                    } else {
                        ""
                    };
                    println!("{name}: good{also}");
                }
            }
            Err(lines) => {
                println!("{lines}");
                invalid += 1;
            }
        }
    }
    if invalid == 0 {
        Ok(())
    } else {
        Err(format!("{invalid} of {} plans cannot be run", names.len()))
    }
}

/// Runs a plan with each seed and prints the results.
fn run_plan(options: &RunOptions) -> Result<(), String> {
    let mut plan = load_plan(&options.plan)?;
    if let Some(limiters) = options.limiters {
        plan = plans::scaled_to(&plan, limiters);
        if let Some(error) = plan.validation_errors().first() {
            return Err(format!("with {limiters} limiters: {error}"));
        }
    }
    let program = Program::current()?;
    let mut runs: Vec<Run> = Vec::new();
    let mut simulated: Vec<Figures> = Vec::new();
    println!("{}", HEADER);
    for seed in options.seeds.0..=options.seeds.1 {
        let bar = bar(plan.seconds.ceil() as u64);
        bar.set_message(format!("seed {seed}"));
        let progress_bar = bar.clone();
        let mut invariants: Vec<Box<dyn Invariant>> = Vec::new();
        if options.none_idle {
            invariants.push(Box::new(NoIdleServer::new(MAX_IDLE_MS)));
        }
        let run = environment::run_scenario(&plan, seed, &program, invariants, move |s| {
            progress_bar.set_position(s as u64)
        })?;
        bar.finish_and_clear();
        println!("{}", table_row(&plan, seed, &run));
        if options.beside && plan.unsupported_in_simulation().is_empty() {
            let figures = World::new(&plan, seed)?.play(|_| {}).figures;
            println!("{}", simulated_row(&plan, &figures));
            simulated.push(figures);
        }
        runs.push(run);
    }
    let shown = runs.iter().find(|r| r.violation_count() > 0).or(runs.first());
    let Some(shown) = shown else { return Ok(()) };
    for (title, rows) in detail_tables(&plan, shown) {
        println!("\n{title} (seed {})", shown.figures.seed);
        rows.iter().for_each(|(name, value)| println!("  {name:<68}{value}"));
    }
    if let Some(path) = &options.report {
        let drawn = plan.resolve_random_targets(shown.figures.seed);
        let note = lateness_note(shown);
        let page = report::page_with_tables(
            &drawn,
            &shown.figures,
            &shown.seconds,
            &note,
            &detail_tables(&plan, shown),
        )?;
        std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if let Some(path) = &options.json {
        let to_json = |r: &Run| serde_json::json!({"service": r.figures, "fleet": r.fleet});
        let text = serde_json::json!({"processes": runs.iter().map(to_json).collect::<Vec<_>>(), "virtual": simulated});
        std::fs::write(path, text.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let violating_seeds: Vec<u64> =
        runs.iter().filter(|r| r.violation_count() > 0).map(|r| r.figures.seed).collect();
    match shown.first_violation() {
        None => Ok(()),
        Some(first) => Err(format!(
            "violations with {} of {} seeds ({violating_seeds:?}); seed {}: {first}\nto repeat: marldeal faults run {} --limiters {} --seeds {}",
            violating_seeds.len(),
            runs.len(),
            shown.figures.seed,
            options.plan,
            plan.limiters.count,
            shown.figures.seed
        )),
    }
}

/// Returns the note on how late the test environment's timers were.
fn lateness_note(run: &Run) -> String {
    let lateness = &run.fleet.lateness;
    let text = format!(
        "Timers of the test environment fired {:.1} ms late at the 99th percentile, {:.0} ms at most.",
        lateness.p99_ms, lateness.most_ms
    );
    if lateness.distorts_times() {
        format!("{text} The times below include this lateness as well as the limiters': this machine is too small for this run.")
    } else {
        text
    }
}

/// Header of the table of runs.
const HEADER: &str = "seed        service  refused load of a server over its share         per request             violations\n\
                    \x20                     inside       max (chance)   p99    min   attempts  handsh.  msgs CPU ms";

/// Returns `part / whole`, or 0 if `whole` is 0.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

/// Formats the row of a run with processes.
fn table_row(plan: &Scenario, seed: u64, run: &Run) -> String {
    let (f, fleet) = (&run.figures, &run.fleet);
    let requests = f.ends.asked.max(1) as f64;
    let load = &fleet.load;
    format!(
        "{seed:<10}{:>9.4}{:>9.4}{:>10.2} {:>8}{:>6.2}{:>7.2}{:>11.3}{:>9.3}{:>6.2}{:>6.2}{:>8}  {}",
        f.whole,
        ratio(fleet.outcomes.refused_inside, fleet.outcomes.inside),
        load.mean_largest[0],
        format!("({:.2})", load.mean_largest[1]),
        load.seen[1],
        load.seen[2],
        f.attempts as f64 / requests,
        f.connections as f64 / requests,
        f.messages[0] as f64 / requests,
        fleet.cpu_ms.iter().sum::<f64>() / requests,
        run.violation_count(),
        if fleet.lateness.distorts_times() { "the test environment was late" } else { "" },
    ) + &format!("  {} limiters", plan.limiters.count)
}

/// Formats the row of a simulated run.
fn simulated_row(plan: &Scenario, f: &Figures) -> String {
    let requests = f.ends.asked.max(1) as f64;
    format!(
        " virtual  {:>9.4}{:>9}{:>10} {:>8}{:>6}{:>7}{:>11.3}{:>9.3}{:>6.2}{:>6}{:>8}    {} limiters",
        f.whole,
        "",
        "",
        "",
        "",
        "",
        f.attempts as f64 / requests,
        f.connections as f64 / requests,
        f.messages[0] as f64 / requests,
        "",
        f.broken_count,
        plan.limiters.count
    )
}

/// Returns the tables of details of a run.
fn detail_tables(plan: &Scenario, run: &Run) -> Vec<ExtraTable> {
    let (f, fleet) = (&run.figures, &run.fleet);
    let requests = f.ends.asked.max(1) as f64;
    let sorted = |values: &[f64]| {
        let mut values = values.to_vec();
        values.sort_by(f64::total_cmp);
        values
    };
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let median = |values: &[f64]| sorted(values).get(values.len() / 2).copied().unwrap_or(0.0);
    let received_per_s: Vec<f64> = fleet.words.received.iter().map(|n| *n as f64 / plan.seconds).collect();
    let line = |name: &str, value: String| (name.to_string(), value);
    let load = &fleet.load;
    let format_three = |[a, b, c]: [f64; 3]| format!("{a:.2}, {b:.2}, {c:.2}");
    let outcomes = &fleet.outcomes;
    let fleet_rows = vec![
        line("limiters, servers, requests per second and limiter", {
            let per_limiter_s = requests / plan.seconds / f64::from(plan.limiters.count);
            format!("{}, {}, {per_limiter_s:.1}", plan.limiters.count, plan.nodes.count)
        }),
        line(
            "worth refused within the quotas",
            format!("{:.4}", ratio(outcomes.refused_inside, outcomes.inside)),
        ),
        line(
            "units admitted beyond the quotas",
            format!("{:.4}", ratio(outcomes.units[1], outcomes.units[0])),
        ),
        line("load of a server over its share in 1 s: max, 99th percentile, min", format_three(load.seen)),
        line("the same by chance alone", format_three(load.by_chance)),
        line(
            "max in a window, mean over the windows (by chance)",
            format!("{:.2} ({:.2})", load.mean_largest[0], load.mean_largest[1]),
        ),
        line(
            "attempts, connections per request",
            format!("{:.3}, {:.3}", f.attempts as f64 / requests, f.connections as f64 / requests),
        ),
        line(
            "messages sent per request, share lost; max received per second",
            format!(
                "{:.2}, {:.3}; {:.1}",
                f.messages[0] as f64 / requests,
                ratio(f.messages[1] as f64, f.messages[0] as f64),
                max(&received_per_s)
            ),
        ),
        line(
            "CPU per request, ms; per limiter: median, max",
            format!(
                "{:.2}; {:.0}, {:.0}",
                fleet.cpu_ms.iter().sum::<f64>() / requests,
                median(&fleet.cpu_ms),
                max(&fleet.cpu_ms)
            ),
        ),
        line(
            "memory of a limiter, MB: median, max",
            format!("{:.1}, {:.1}", median(&fleet.memory_mb), max(&fleet.memory_mb)),
        ),
        line("max descriptors of the test environment", fleet.descriptors.to_string()),
        line(
            "timer lateness of the test environment, ms: median, 99th, max",
            format!(
                "{:.1}, {:.1}, {:.1}",
                fleet.lateness.p50_ms, fleet.lateness.p99_ms, fleet.lateness.most_ms
            ),
        ),
    ];
    let rule_rows = vec![
        line("violations of rules, of further invariants", {
            format!("{}, {}", f.broken_count, fleet.breach_count)
        }),
        line(
            "requests lost; late within 2 s; excused",
            format!("{}; {}; {}", outcomes.lost, outcomes.late, outcomes.excused),
        ),
        line("limiters crashed; killed after SIGTERM", format!("{}; {}", outcomes.crashes, outcomes.hung)),
        line(
            "limiters killed with a request not yet sent; already sent",
            format!("{}; {}", outcomes.killed_taken, outcomes.killed_sent),
        ),
        line("messages too long", fleet.words.too_long.to_string()),
        line("servers failed by overload", f.falls.to_string()),
    ];
    let mut tables =
        vec![("The fleet".to_string(), fleet_rows), ("Observed from outside".to_string(), rule_rows)];
    let violations =
        f.broken.iter().take(10).map(|b| (format!("{:?} at {:.3} s", b.rule, b.at_s), b.what.clone()));
    let breaches = fleet.breaches.iter().take(10).map(|b| (b.invariant.clone(), b.what.clone()));
    let notes = fleet.notes.iter().take(10).map(|n| ("not in the log format".to_string(), n.clone()));
    let all: Vec<(String, String)> = violations.chain(breaches).chain(notes).collect();
    if !all.is_empty() {
        tables.push(("Violations".to_string(), all));
    }
    tables
}
