//! A change of the list told to many real limiters: how long until the last of them has it, as its operators' listener says.

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
    /// Where the slopes are written.
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// Numbers of limiters, 300 at most.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 100, 300])]
    limiters: Vec<u32>,
    /// Servers listed.
    #[arg(long, default_value_t = 4800)]
    servers: u32,
    /// Changes of each size; the longest counts.
    #[arg(long, default_value_t = 5)]
    changes: u32,
}

/// No change takes longer, or the limiter has lost it.
const MOST: Duration = Duration::from_secs(30);

/// Servers that a limiter has in its list.
fn discovered(at: SocketAddr) -> Option<u32> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(b"stats\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.lines().find_map(|l| l.strip_prefix("discovered=")?.parse().ok())
}

/// Milliseconds until all have so many servers; the least and the most of them.
fn all_have(limiters: &[Process], servers: u32) -> Result<(f64, f64), String> {
    let began = Instant::now();
    let mut waits: Vec<SocketAddr> = limiters.iter().map(|l| l.addr).collect();
    let mut first = None;
    while !waits.is_empty() {
        if began.elapsed() > MOST {
            return Err(format!("{} limiters have not heard of a change after {MOST:?}", waits.len()));
        }
        waits.retain(|at| discovered(*at) != Some(servers));
        if waits.len() < limiters.len() {
            first = first.or(Some(began.elapsed().as_secs_f64() * 1000.0));
        }
    }
    Ok((first.unwrap_or(0.0), began.elapsed().as_secs_f64() * 1000.0))
}

/// Measures, prints and writes.
///
/// # Errors
/// One plain line.
pub fn run(program: &Path, options: &Options) -> Result<(), String> {
    if options.limiters.iter().any(|n| !(1..=300).contains(n)) {
        return Err("--limiters: from 1 to 300 are expected".to_string());
    }
    let words = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let ids: Vec<String> = (0..=options.servers).map(|n| format!("s-{n:08x}")).collect();
    let list = |version: u64, servers: usize| {
        let lines: Vec<_> = ids[..servers].iter().map(|id| (id.as_str(), addr, "active")).collect();
        update_line(version, true, &lines)
    };
    let servers = options.servers as usize;
    let mut points = [Vec::new(), Vec::new()];
    for count in &options.limiters {
        let discovery = Discovery::shared(list(1, servers));
        let setup = Setup { managed: true, limiters: *count, memory_mb: 256.0, ..Setup::default() };
        let limiters: Result<Vec<Process>, String> =
            (0..*count).map(|_| Process::configured(program, discovery.addr, &setup)).collect();
        let limiters = limiters?;
        all_have(&limiters, options.servers)?;
        let (mut longest, mut version) = (0.0f64, 1);
        for n in 0..options.changes {
            // One server more, then one fewer: told as a change, where `announce` would tell the whole list.
            let state = if n % 2 == 0 { "active" } else { "left" };
            version += 1;
            discovery.announce(&update_line(version, false, &[(ids[servers].as_str(), addr, state)]));
            let (first, last) = all_have(&limiters, options.servers + u32::from(n % 2 == 0))?;
            println!("{count} limiters, change {n}: the first looked at has it after {first:.1} ms, the last {last:.1} ms");
            longest = longest.max(last);
        }
        let memory: f64 = limiters.iter().filter_map(|l| l.resident().ok()).sum::<f64>() / 1e6;
        points[0].push((f64::from(*count), longest));
        points[1].push((f64::from(*count), memory / f64::from(*count)));
    }
    let [told, memory] = points;
    let series = |figure: &str, points| Series {
        figure: figure.to_string(),
        along: "limiters".to_string(),
        ground: MeasurementSetup::Processes,
        run: format!("marldeal-bench {words}"),
        points,
    };
    let slopes = Slopes { series: vec![series("told_ms", told), series("memory_mb_each", memory)] };
    std::fs::write(&options.out, slopes.to_toml()).map_err(|e| format!("{}: {e}", options.out.display()))
}
