//! Measures the cost of one limiter on one core by servers in the list, tenants, peers and open requests, for
//! `marldeal capacity`. Each figure is measured at three sizes or more. Times are relative to requests that go
//! directly to the server.

use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use marldeal_capacity::slopes::{MeasurementSetup, Series, Slopes};
use marldeal_standin::addresses::unused_addresses;
use marldeal_standin::discovery::{update_line, Discovery};
use rand::RngExt;
use tokio::net::TcpListener;

use crate::customers::{flood, open_loop, Connection, Tally};
use crate::direct::serve;
use crate::process::{Process, Setup};

#[derive(Args)]
pub struct Options {
    /// File for the slopes.
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// Numbers of servers in the list.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 480, 1600, 4800])]
    servers: Vec<u32>,
    /// Numbers of tenants.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 3200, 32_000])]
    tenants: Vec<u32>,
    /// Numbers of limiters in the tier.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 100, 520])]
    peers: Vec<u32>,
    /// Numbers of concurrently open requests.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 400, 1600])]
    open: Vec<u32>,
    /// Requests per second.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
}

/// Changes of the server list per second, in measurements with changes.
const CHANGES_PER_S: u32 = 10;
/// Time after which a started limiter has received its server list and is warm.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Servers per limiter in the planned size.
const SERVERS_PER_LIMITER: f64 = 9.23;
const SEED: u64 = 1;

/// The series measured so far.
struct Measurements {
    run: String,
    series: Vec<Series>,
}

impl Measurements {
    /// Adds a point to the series of a figure, and prints it.
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

/// Returns the full server list.
fn full_list(servers: u32, addr: SocketAddr) -> String {
    let ids: Vec<String> = (0..servers).map(|n| format!("s-{n:08x}")).collect();
    let entries: Vec<(&str, SocketAddr, &str)> = ids.iter().map(|id| (id.as_str(), addr, "active")).collect();
    update_line(1, true, &entries)
}

/// Returns a list change that sets the state of one server.
fn list_change(version: u64, server: u32, addr: SocketAddr, state: &str) -> String {
    update_line(version, false, &[(&format!("s-{server:08x}"), addr, state)])
}

/// Measures the CPU use of a process without requests, as a share of a core.
async fn idle_share(limiter: &Process, duration: Duration) -> Result<f64, String> {
    let cpu = limiter.cpu()?;
    tokio::time::sleep(duration).await;
    Ok((limiter.cpu()? - cpu) / duration.as_secs_f64())
}

/// Sends requests of random tenants. Returns the counts and the CPU microseconds per request, less the idle CPU.
async fn load(
    limiter: &Process,
    options: &Options,
    tenants: u64,
    first_correlation_id: u64,
    idle_share: f64,
) -> Result<(Arc<Tally>, f64), String> {
    let (cpu, duration) = (limiter.cpu()?, Duration::from_secs(options.seconds));
    let random_tenant = move |rng: &mut rand::rngs::SmallRng| rng.random_range(0..tenants);
    let tally =
        open_loop(limiter.addr, options.rate, duration, SEED, first_correlation_id, random_tenant).await?;
    let used = limiter.cpu()? - cpu - idle_share * duration.as_secs_f64();
    Ok((tally.clone(), used * 1e6 / tally.total() as f64))
}

/// Measures the figures that depend on the number of servers in the list.
async fn measure_by_servers(
    program: &Path,
    options: &Options,
    server: SocketAddr,
    measurements: &mut Measurements,
) -> Result<(), String> {
    let duration = Duration::from_secs(options.seconds);
    let random_tenant = |rng: &mut rand::rngs::SmallRng| rng.random_range(0..100);
    let direct = open_loop(server, options.rate, duration, SEED, 1 << 60, random_tenant).await?;
    // Nothing listens there: connections are refused at once.
    let unreachable = unused_addresses(1)[0];
    for servers in &options.servers {
        let size = f64::from(*servers);
        let setup = Setup {
            limiters: (size / SERVERS_PER_LIMITER).round().max(1.0) as u32,
            memory_mb: 256.0,
            sockets: 8192,
            ..Setup::default()
        };
        let text = full_list(*servers, server);
        measurements.add("list_kb", "servers", size, text.len() as f64 / 1000.0);
        measurements.add("change_bytes", "servers", size, list_change(2, 0, server, "draining").len() as f64);
        let discovery = Discovery::shared(text);
        let limiter = Process::configured(program, discovery.addr, &setup)?;
        tokio::time::sleep(SETTLE_TIME).await;
        measurements.add("memory_mb", "servers", size, limiter.resident()? / 1e6);
        let idle = idle_share(&limiter, duration).await?;
        measurements.add("idle_percent", "servers", size, 100.0 * idle);
        let (tally, us) = load(&limiter, options, 100, 1 << 48, idle).await?;
        measurements.add("cpu_us_a_request", "servers", size, us);
        for (name, quantile) in [("added_ms_p50", 0.5), ("added_ms_p99", 0.99), ("added_ms_p999", 0.999)] {
            measurements.add(name, "servers", size, tally.latency_ms(quantile) - direct.latency_ms(quantile));
        }
        let changing = async {
            for n in 0..2 * options.seconds as u32 * CHANGES_PER_S {
                tokio::time::sleep(Duration::from_secs(1) / CHANGES_PER_S).await;
                let state = if n % 2 == 0 { "draining" } else { "active" };
                discovery.push(&list_change(u64::from(n) + 2, n / 2 % servers, server, state));
            }
        };
        let measured = async {
            let changing_idle = idle_share(&limiter, duration).await?;
            let (tally, us) = load(&limiter, options, 100, 2 << 48, changing_idle).await?;
            Ok::<_, String>((changing_idle, us, tally.latency_ms(0.99)))
        };
        let (_, measured) = tokio::join!(changing, measured);
        let (changing_idle, us, p99) = measured?;
        measurements.add("changing_idle_percent", "servers", size, 100.0 * changing_idle);
        measurements.add("changing_cpu_us_a_request", "servers", size, us);
        measurements.add("changing_added_ms_p99", "servers", size, p99 - direct.latency_ms(0.99));
        drop(limiter);
        let discovery = Discovery::shared(full_list(*servers, unreachable));
        let limiter = Process::configured(program, discovery.addr, &setup)?;
        tokio::time::sleep(SETTLE_TIME).await;
        let (_, us) = load(&limiter, options, 100, 3 << 48, idle).await?;
        measurements.add("unreachable_cpu_us_a_request", "servers", size, us);
    }
    Ok(())
}

/// Measures the figures that depend on the number of tenants.
async fn measure_by_tenants(
    program: &Path,
    options: &Options,
    discovery: SocketAddr,
    measurements: &mut Measurements,
) -> Result<(), String> {
    for tenants in &options.tenants {
        let size = f64::from(*tenants);
        let setup = Setup {
            plan: r#"{"Name":"basic","Rate":1000,"StoreSize":4000}"#.to_string(),
            memory_mb: 256.0,
            ..Setup::default()
        };
        let limiter = Process::configured(program, discovery, &setup)?;
        tokio::time::sleep(SETTLE_TIME).await;
        let count = u64::from(*tenants);
        let next_tenant = move |number: u64| (number < count).then_some(number);
        flood(limiter.addr, 32, 1 << 50, Arc::new(AtomicBool::new(false)), next_tenant).await?;
        measurements.add("memory_mb", "tenants", size, limiter.resident()? / 1e6);
        let idle = idle_share(&limiter, Duration::from_secs(2)).await?;
        let (_, us) = load(&limiter, options, count, 2 << 50, idle).await?;
        measurements.add("cpu_us_a_request", "tenants", size, us);
        measurements.add("idle_percent", "tenants", size, 100.0 * idle);
    }
    Ok(())
}

/// Measures the figures that depend on the number of peers.
async fn measure_by_peers(
    program: &Path,
    options: &Options,
    discovery: SocketAddr,
    measurements: &mut Measurements,
) -> Result<(), String> {
    // Receives datagrams and sends none.
    let sink = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let sink = sink.local_addr().map_err(|e| e.to_string())?;
    for peers in &options.peers {
        let size = f64::from(*peers);
        let setup = Setup { limiters: *peers, peers: Some(sink), memory_mb: 256.0, ..Setup::default() };
        let limiter = Process::configured(program, discovery, &setup)?;
        tokio::time::sleep(SETTLE_TIME).await;
        measurements.add("memory_mb", "peers", size, limiter.resident()? / 1e6);
        measurements.add(
            "idle_percent",
            "peers",
            size,
            100.0 * idle_share(&limiter, Duration::from_secs(4)).await?,
        );
    }
    Ok(())
}

/// Measures the figures that depend on the number of open requests.
async fn measure_by_open(
    program: &Path,
    options: &Options,
    measurements: &mut Measurements,
) -> Result<(), String> {
    // A server that accepts connections and never answers.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    std::thread::spawn(move || {
        let connections: Vec<_> = listener.incoming().map_while(Result::ok).take(20_000).collect();
        drop(connections);
    });
    for open in &options.open {
        let setup = Setup { memory_mb: 1024.0, sockets: 16_384, ..Setup::default() };
        let discovery = Discovery::shared(full_list(30, addr));
        let limiter = Process::configured(program, discovery.addr, &setup)?;
        tokio::time::sleep(SETTLE_TIME).await;
        let limiter_addr = limiter.addr;
        let requests: Vec<_> = (0..*open)
            .map(|n| {
                tokio::spawn(async move {
                    if let Ok(mut connection) = Connection::open(limiter_addr).await {
                        let _ = connection.get(u64::from(n % 100), (7 << 52) + u64::from(n)).await;
                    }
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(2)).await;
        measurements.add("memory_mb", "open", f64::from(*open), limiter.resident()? / 1e6);
        requests.iter().for_each(tokio::task::JoinHandle::abort);
    }
    Ok(())
}

/// Measures and prints all figures and writes the slopes.
///
/// # Errors
/// Describes the failure in one line.
pub fn run(program: &Path, options: &Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let arguments = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
    let mut measurements = Measurements { run: format!("marldeal-bench {arguments}"), series: Vec::new() };
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        let server = listener.local_addr().map_err(|e| e.to_string())?;
        tokio::spawn(serve(listener));
        measure_by_servers(program, options, server, &mut measurements).await?;
        let discovery = Discovery::shared(full_list(30, server));
        measure_by_tenants(program, options, discovery.addr, &mut measurements).await?;
        measure_by_peers(program, options, discovery.addr, &mut measurements).await?;
        measure_by_open(program, options, &mut measurements).await
    })?;
    let slopes = Slopes { series: measurements.series };
    std::fs::write(&options.out, slopes.to_toml()).map_err(|e| format!("{}: {e}", options.out.display()))
}
