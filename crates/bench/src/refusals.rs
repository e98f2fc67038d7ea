//! Measures the CPU time that the engine takes for a request by number of listed servers, without sockets: requests that
//! are refused for each cause, and served ones. Times are relative to the smallest number of servers.

use clap::Args;

use crate::outage::{Case, Counts, ListChange, Run, CASES, LIST_CHANGES};

/// Virtual time between two readings of the CPU time.
const MEASURED_BLOCK_MS: f64 = 200.0;
/// Changes of the server list between two readings of the CPU time.
const CHANGES_PER_BLOCK: u32 = 20;

/// Options of `marldeal-bench refusals`.
#[derive(Args)]
pub struct Options {
    /// Numbers of servers in the list. Ratios are to the first.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 300, 4800])]
    servers: Vec<u32>,
    /// Requests per second of virtual time.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Virtual seconds before the measurement.
    #[arg(long, default_value_t = 2.0)]
    warm_up: f64,
    /// CPU milliseconds of each measurement at least. The kernel counts CPU time in steps of up to 4 ms.
    #[arg(long, default_value_t = 200.0)]
    cpu_ms: f64,
    /// Number of measurements of each case. The least time counts, since noise of the machine only adds time.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// Every limiter uses all servers, as the only one of its tier. Otherwise the tier grows with the servers.
    #[arg(long)]
    single: bool,
}

/// CPU time that this thread has used, in microseconds.
fn thread_cpu_us() -> Result<f64, String> {
    let path = "/proc/thread-self/schedstat";
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let nanoseconds = text.split_whitespace().next().and_then(|field| field.parse::<f64>().ok());
    nanoseconds.map(|ns| ns / 1000.0).ok_or_else(|| format!("{path}: no CPU time"))
}

/// CPU microseconds per request, and what was counted, in the fastest round.
fn measure(case: Case, servers: u32, options: &Options) -> Result<(f64, Counts), String> {
    let mut run = Run::new(case, servers, options.single);
    run.run(options.warm_up * 1000.0, options.rate);
    let mut fastest = (f64::MAX, Counts::default());
    for _ in 0..options.rounds {
        run.counts = Counts::default();
        let started = thread_cpu_us()?;
        let mut used_us = 0.0;
        while used_us < options.cpu_ms * 1000.0 {
            run.run(MEASURED_BLOCK_MS, options.rate);
            used_us = thread_cpu_us()? - started;
        }
        let us = used_us / run.counts.requests as f64;
        if us < fastest.0 {
            fastest = (us, run.counts);
        }
    }
    Ok(fastest)
}

/// CPU microseconds per change of the server list.
fn measure_list_change(change: ListChange, servers: u32, options: &Options) -> Result<f64, String> {
    let mut run = Run::new(Case::Served, servers, options.single);
    let (started, mut changes, mut used_us) = (thread_cpu_us()?, 0, 0.0);
    while used_us < options.cpu_ms * 1000.0 {
        (0..CHANGES_PER_BLOCK).for_each(|n| run.change_list(change, changes + n));
        changes += CHANGES_PER_BLOCK;
        used_us = thread_cpu_us()? - started;
    }
    Ok(used_us / f64::from(changes))
}

/// Measures and prints all cases, and changes of the server list.
///
/// # Errors
/// The CPU time of this thread cannot be read.
pub fn run(options: &Options) -> Result<(), String> {
    for case in CASES {
        let mut first = None;
        for servers in &options.servers {
            let (us, counts) = measure(case, *servers, options)?;
            let ratio = us / *first.get_or_insert(us);
            let per_request = |count: u64| count as f64 / counts.requests as f64;
            println!(
                "{case:?} at {servers} servers: {us:.2} us a request, ratio {ratio:.2}, served {:.3}, attempts {:.2}",
                per_request(counts.served),
                per_request(counts.attempts)
            );
        }
    }
    for change in LIST_CHANGES {
        for servers in &options.servers {
            let us = measure_list_change(change, *servers, options)?;
            println!("{change:?} change of a list of {servers} servers: {us:.2} us");
        }
    }
    Ok(())
}
