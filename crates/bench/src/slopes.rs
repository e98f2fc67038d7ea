//! What one limiter on one core costs, by servers listed, tenants, peers and open requests: points for
//! `marldeal capacity`. Each figure at three sizes at least; times are differences to the node asked without a limiter.

use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use marldeal_capacity::slopes::{MeasurementSetup, Series, Slopes};
use marldeal_standin::discovery::{update_line, Discovery};
use rand::RngExt;
use tokio::net::TcpListener;

use crate::direct::node;
use crate::firms::{flood, open_loop, Connection, Tally};
use crate::process::{Process, Setup};

#[derive(Args)]
pub struct Options {
    /// Where the slopes are written.
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// Servers listed.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 480, 1600, 4800])]
    servers: Vec<u32>,
    /// Tenants seen.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 3200, 32_000])]
    tenants: Vec<u32>,
    /// Limiters of the tier.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 100, 520])]
    peers: Vec<u32>,
    /// Requests open at once.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 400, 1600])]
    open: Vec<u32>,
    /// Requests a second.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
}

/// Changes of the list a second, where it changes.
const CHANGES_PER_S: u32 = 10;
/// Until a limiter that has just started has its list and is warm.
const SETTLE: Duration = Duration::from_millis(1500);
/// Servers for each limiter of a tier, as the size that is planned for has them.
const SERVERS_EACH: f64 = 9.23;
const SEED: u64 = 1;

/// Figures while they come in.
struct Points {
    run: String,
    series: Vec<Series>,
}

impl Points {
    fn add(&mut self, figure: &str, along: &str, size: f64, value: f64) {
        println!("{figure} at {size} {along}: {value:.4}");
        match self.series.iter_mut().find(|s| (s.figure.as_str(), s.along.as_str()) == (figure, along)) {
            Some(s) => s.points.push((size, value)),
            None => self.series.push(Series {
                figure: figure.to_string(),
                along: along.to_string(),
                ground: MeasurementSetup::Process,
                run: self.run.clone(),
                points: vec![(size, value)],
            }),
        }
    }
}

fn list(servers: u32, addr: SocketAddr) -> String {
    let ids: Vec<String> = (0..servers).map(|n| format!("s-{n:08x}")).collect();
    let lines: Vec<(&str, SocketAddr, &str)> = ids.iter().map(|id| (id.as_str(), addr, "active")).collect();
    update_line(1, true, &lines)
}

fn change(version: u64, server: u32, addr: SocketAddr, state: &str) -> String {
    update_line(version, false, &[(&format!("s-{server:08x}"), addr, state)])
}

/// CPU of a process over so long, as a share of a core.
async fn idle(limiter: &Process, length: Duration) -> Result<f64, String> {
    let cpu = limiter.cpu()?;
    tokio::time::sleep(length).await;
    Ok((limiter.cpu()? - cpu) / length.as_secs_f64())
}

/// Many tenants ask; CPU microseconds a request above what the limiter takes when idle.
async fn ask(
    limiter: &Process,
    options: &Options,
    tenants: u64,
    base: u64,
    idle: f64,
) -> Result<(Arc<Tally>, f64), String> {
    let (cpu, length) = (limiter.cpu()?, Duration::from_secs(options.seconds));
    let drawn = move |rng: &mut rand::rngs::SmallRng| rng.random_range(0..tenants);
    let tally = open_loop(limiter.addr, options.rate, length, SEED, base, drawn).await?;
    let used = limiter.cpu()? - cpu - idle * length.as_secs_f64();
    Ok((tally.clone(), used * 1e6 / tally.all() as f64))
}

async fn by_servers(
    program: &Path,
    options: &Options,
    live: SocketAddr,
    points: &mut Points,
) -> Result<(), String> {
    let length = Duration::from_secs(options.seconds);
    let drawn = |rng: &mut rand::rngs::SmallRng| rng.random_range(0..100);
    let bare = open_loop(live, options.rate, length, SEED, 1 << 60, drawn).await?;
    // A port that nobody listens on: connections are refused at once.
    let gone =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(|e| e.to_string())?;
    for servers in &options.servers {
        let size = f64::from(*servers);
        let tier = Setup {
            limiters: (size / SERVERS_EACH).round().max(1.0) as u32,
            memory_mb: 256.0,
            sockets: 8192,
            ..Setup::default()
        };
        let text = list(*servers, live);
        points.add("list_kb", "servers", size, text.len() as f64 / 1000.0);
        points.add("change_bytes", "servers", size, change(2, 0, live, "draining").len() as f64);
        let discovery = Discovery::shared(text);
        let limiter = Process::configured(program, discovery.addr, &tier)?;
        tokio::time::sleep(SETTLE).await;
        points.add("memory_mb", "servers", size, limiter.resident()? / 1e6);
        let quiet = idle(&limiter, length).await?;
        points.add("idle_percent", "servers", size, 100.0 * quiet);
        let (tally, us) = ask(&limiter, options, 100, 1 << 48, quiet).await?;
        points.add("cpu_us_a_request", "servers", size, us);
        for (name, quantile) in [("added_ms_p50", 0.5), ("added_ms_p99", 0.99), ("added_ms_p999", 0.999)] {
            points.add(name, "servers", size, tally.ms(quantile) - bare.ms(quantile));
        }
        let changing = async {
            for n in 0..2 * options.seconds as u32 * CHANGES_PER_S {
                tokio::time::sleep(Duration::from_secs(1) / CHANGES_PER_S).await;
                let state = if n % 2 == 0 { "draining" } else { "active" };
                discovery.push(&change(u64::from(n) + 2, n / 2 % servers, live, state));
            }
        };
        let measured = async {
            let busy = idle(&limiter, length).await?;
            let (tally, us) = ask(&limiter, options, 100, 2 << 48, busy).await?;
            Ok::<_, String>((busy, us, tally.ms(0.99)))
        };
        let (_, measured) = tokio::join!(changing, measured);
        let (busy, us, p99) = measured?;
        points.add("changing_idle_percent", "servers", size, 100.0 * busy);
        points.add("changing_cpu_us_a_request", "servers", size, us);
        points.add("changing_added_ms_p99", "servers", size, p99 - bare.ms(0.99));
        drop(limiter);
        let discovery = Discovery::shared(list(*servers, gone));
        let limiter = Process::configured(program, discovery.addr, &tier)?;
        tokio::time::sleep(SETTLE).await;
        let (_, us) = ask(&limiter, options, 100, 3 << 48, quiet).await?;
        points.add("unreachable_cpu_us_a_request", "servers", size, us);
    }
    Ok(())
}

async fn by_tenants(
    program: &Path,
    options: &Options,
    discovery: SocketAddr,
    points: &mut Points,
) -> Result<(), String> {
    for tenants in &options.tenants {
        let size = f64::from(*tenants);
        let setup = Setup {
            plan: r#"{"Name":"basic","Rate":1000,"StoreSize":4000}"#.to_string(),
            memory_mb: 256.0,
            ..Setup::default()
        };
        let limiter = Process::configured(program, discovery, &setup)?;
        tokio::time::sleep(SETTLE).await;
        let all = u64::from(*tenants);
        let named = move |number: u64| (number < all).then_some(number);
        flood(limiter.addr, 32, 1 << 50, Arc::new(AtomicBool::new(false)), named).await?;
        points.add("memory_mb", "tenants", size, limiter.resident()? / 1e6);
        let quiet = idle(&limiter, Duration::from_secs(2)).await?;
        let (_, us) = ask(&limiter, options, all, 2 << 50, quiet).await?;
        points.add("cpu_us_a_request", "tenants", size, us);
        points.add("idle_percent", "tenants", size, 100.0 * quiet);
    }
    Ok(())
}

async fn by_peers(
    program: &Path,
    options: &Options,
    discovery: SocketAddr,
    points: &mut Points,
) -> Result<(), String> {
    // Takes datagrams in and answers none.
    let sink = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let sink = sink.local_addr().map_err(|e| e.to_string())?;
    for peers in &options.peers {
        let size = f64::from(*peers);
        let setup = Setup { limiters: *peers, peers: Some(sink), memory_mb: 256.0, ..Setup::default() };
        let limiter = Process::configured(program, discovery, &setup)?;
        tokio::time::sleep(SETTLE).await;
        points.add("memory_mb", "peers", size, limiter.resident()? / 1e6);
        points.add("idle_percent", "peers", size, 100.0 * idle(&limiter, Duration::from_secs(4)).await?);
    }
    Ok(())
}

async fn by_open(program: &Path, options: &Options, points: &mut Points) -> Result<(), String> {
    // A node that accepts and says nothing.
    let mute = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let addr = mute.local_addr().map_err(|e| e.to_string())?;
    std::thread::spawn(move || {
        let held: Vec<_> = mute.incoming().map_while(Result::ok).take(20_000).collect();
        drop(held);
    });
    for open in &options.open {
        let setup = Setup { memory_mb: 1024.0, sockets: 16_384, ..Setup::default() };
        let discovery = Discovery::shared(list(30, addr));
        let limiter = Process::configured(program, discovery.addr, &setup)?;
        tokio::time::sleep(SETTLE).await;
        let at = limiter.addr;
        let asking: Vec<_> = (0..*open)
            .map(|n| {
                tokio::spawn(async move {
                    if let Ok(mut connection) = Connection::open(at).await {
                        let _ = connection.ask(u64::from(n % 100), (7 << 52) + u64::from(n)).await;
                    }
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(2)).await;
        points.add("memory_mb", "open", f64::from(*open), limiter.resident()? / 1e6);
        asking.iter().for_each(tokio::task::JoinHandle::abort);
    }
    Ok(())
}

/// Measures, prints and writes.
///
/// # Errors
/// One plain line.
pub fn run(program: &Path, options: &Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let words = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
    let mut points = Points { run: format!("marldeal-bench {words}"), series: Vec::new() };
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        let live = listener.local_addr().map_err(|e| e.to_string())?;
        tokio::spawn(node(listener));
        by_servers(program, options, live, &mut points).await?;
        let few = Discovery::shared(list(30, live));
        by_tenants(program, options, few.addr, &mut points).await?;
        by_peers(program, options, few.addr, &mut points).await?;
        by_open(program, options, &mut points).await
    })?;
    let slopes = Slopes { series: points.series };
    std::fs::write(&options.out, slopes.to_toml()).map_err(|e| format!("{}: {e}", options.out.display()))
}
