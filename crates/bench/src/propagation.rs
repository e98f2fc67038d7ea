//! Measures how long a change of the server list takes to reach many limiter processes. The management listener of
//! each limiter reports how many servers it has discovered.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::Args;
use marldeal_capacity::slopes::{MeasurementSetup, Series, Slopes};
use marldeal_standin::discovery::{update_line, Discovery};

use crate::process::{Process, Setup};

#[derive(Args)]
pub struct Options {
    /// File for the slopes.
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// Numbers of limiters, each at most 300.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 100, 300])]
    limiters: Vec<u32>,
    /// Number of servers in the list.
    #[arg(long, default_value_t = 4800)]
    servers: u32,
    /// Number of changes per number of limiters. The slowest counts.
    #[arg(long, default_value_t = 5)]
    changes: u32,
}

/// Maximum time for a change. After this time it counts as lost.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the number of servers in a limiter's list.
fn discovered_count(management: SocketAddr) -> Option<u32> {
    let mut stream = TcpStream::connect(management).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(b"stats\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.lines().find_map(|l| l.strip_prefix("discovered=")?.parse().ok())
}

/// Waits until all limiters have the given number of servers. Returns the milliseconds until the first limiter and
/// until the last one.
fn wait_for_count(limiters: &[Process], servers: u32) -> Result<(f64, f64), String> {
    let started = Instant::now();
    let mut waiting: Vec<SocketAddr> = limiters.iter().map(|l| l.addr).collect();
    let mut first = None;
    while !waiting.is_empty() {
        if started.elapsed() > TIMEOUT {
            return Err(format!("{} limiters have not received a change after {TIMEOUT:?}", waiting.len()));
        }
        waiting.retain(|addr| discovered_count(*addr) != Some(servers));
        if waiting.len() < limiters.len() {
            first = first.or(Some(started.elapsed().as_secs_f64() * 1000.0));
        }
    }
    Ok((first.unwrap_or(0.0), started.elapsed().as_secs_f64() * 1000.0))
}

/// Measures the propagation times, prints them and writes the slopes.
///
/// # Errors
/// Describes the failure in one line.
pub fn run(program: &Path, options: &Options) -> Result<(), String> {
    if options.limiters.iter().any(|n| !(1..=300).contains(n)) {
        return Err("--limiters: expected numbers from 1 to 300".to_string());
    }
    let arguments = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let ids: Vec<String> = (0..=options.servers).map(|n| format!("s-{n:08x}")).collect();
    let list = |version: u64, servers: usize| {
        let entries: Vec<_> = ids[..servers].iter().map(|id| (id.as_str(), addr, "active")).collect();
        update_line(version, true, &entries)
    };
    let servers = options.servers as usize;
    let mut points = [Vec::new(), Vec::new()];
    for count in &options.limiters {
        let discovery = Discovery::shared(list(1, servers));
        let setup = Setup { managed: true, limiters: *count, memory_mb: 256.0, ..Setup::default() };
        let limiters: Result<Vec<Process>, String> =
            (0..*count).map(|_| Process::configured(program, discovery.addr, &setup)).collect();
        let limiters = limiters?;
        wait_for_count(&limiters, options.servers)?;
        let (mut max_ms, mut version) = (0.0f64, 1);
        for n in 0..options.changes {
            // Adds a server and removes it again. Sends a change, not the full list.
            let state = if n % 2 == 0 { "active" } else { "left" };
            version += 1;
            discovery.announce(&update_line(version, false, &[(ids[servers].as_str(), addr, state)]));
            let (first_ms, last_ms) = wait_for_count(&limiters, options.servers + u32::from(n % 2 == 0))?;
            println!("{count} limiters, change {n}: received by the first limiter after {first_ms:.1} ms, by the last after {last_ms:.1} ms");
            max_ms = max_ms.max(last_ms);
        }
        let memory_mb: f64 = limiters.iter().filter_map(|l| l.resident().ok()).sum::<f64>() / 1e6;
        points[0].push((f64::from(*count), max_ms));
        points[1].push((f64::from(*count), memory_mb / f64::from(*count)));
    }
    let [notification_ms, memory_mb] = points;
    let series = |figure: &str, points| Series {
        figure: figure.to_string(),
        along: "limiters".to_string(),
        ground: MeasurementSetup::Processes,
        run: format!("marldeal-bench {arguments}"),
        points,
    };
    let slopes =
        Slopes { series: vec![series("told_ms", notification_ms), series("memory_mb_each", memory_mb)] };
    std::fs::write(&options.out, slopes.to_toml()).map_err(|e| format!("{}: {e}", options.out.display()))
}
