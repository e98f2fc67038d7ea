//! `marldeal rehearse slow-start`: judges what all limiters together send to servers in slow start.

use marldeal_rehearsal::slow_start::{
    full_trials, max_requests, play, small_trials, Trial, TrialResult, Verdict, Window,
};
use marldeal_rehearsal::world::BEGIN_MS;

/// Plays the scenarios under each seed and prints a line for each.
///
/// # Errors
/// Counts the scenarios with a breach or with too few cases.
pub fn run(small: bool, limiters: Option<u32>, senders: bool, seeds: &[u64]) -> Result<(), String> {
    let mut trials = if small { small_trials() } else { full_trials() };
    trials.retain(|trial| limiters.is_none_or(|count| trial.limiters == count));
    print_header();
    let results = play(&trials, seeds, |_| {})?;
    for result in &results {
        print_result(result);
        if let Some(worst) = result.findings.worst.as_ref().filter(|_| senders) {
            print_senders(result.worst_seed, worst);
        }
    }
    let count = |verdict| results.iter().filter(|result| result.findings.verdict() == verdict).count();
    let (breached, too_few) = (count(Verdict::Breached), count(Verdict::TooFew));
    match breached + too_few {
        0 => Ok(()),
        _ => Err(format!(
            "of {} scenarios {breached} with breaches, {too_few} with too few cases",
            results.len()
        )),
    }
}

fn print_header() {
    println!(
        "{:>8}{:>8}{:>7}{:>8}{:>7}  {:<14}{:>7}{:>9}{:>15}{:>8}{:>9}{:>11}  verdict",
        "limiters",
        "servers",
        "sizes",
        "return",
        "cap/s",
        "condition",
        "cases",
        "requests",
        "N",
        "worst",
        "breaches",
        "unnotified"
    );
}

fn print_result(result: &TrialResult) {
    let Trial { limiters, servers, capacity_per_s, sizes, returning, condition } = result.trial;
    let found = &result.findings;
    let (low, high) = found.n_range.unwrap_or_default();
    println!(
        "{limiters:>8}{servers:>8}{:>7}{:>8}{capacity_per_s:>7}  {:<14}{:>7}{:>9}{:>15}{:>8.3}{:>9}{:>11}  {}",
        sizes.name(),
        returning.name(),
        condition.name(),
        found.cases,
        found.requests,
        format!("{low:.1}-{high:.1}"),
        found.worst_ratio(),
        found.breaches.len(),
        found.unnotified,
        found.verdict()
    );
    for (seed, breaches) in &result.breached_seeds {
        println!("{:>16} seed {seed}: {breaches} breaches", "");
    }
}

/// Prints who sent what in a window.
fn print_senders(seed: u64, window: &Window) {
    println!(
        "{:>16} seed {seed}, server {}, {:.2} s, age {:.2} s: {} received, N {:.2}, at most {:.2}, {:.0}% notified",
        "",
        window.server,
        (window.at - BEGIN_MS) / 1000.0,
        window.age_ms / 1000.0,
        window.received,
        window.n,
        max_requests(window.n),
        100.0 * window.notified_share
    );
    let senders: Vec<String> =
        window.senders.iter().map(|(limiter, count)| format!("{limiter}:{count}")).collect();
    println!("{:>16} requests by limiter: {}", "", senders.join(" "));
}
