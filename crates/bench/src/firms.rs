//! Many firms and floods of names against the program on one core: latency, CPU, memory, and what honest firms get.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use clap::Args;
use hdrhistogram::Histogram;
use marldeal_standin::discovery::{update_line, Discovery};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::process::Process;

/// Latency is kept in microseconds up to a minute, to three digits.
const MOST_US: u64 = 60_000_000;

#[derive(Args)]
pub struct Options {
    /// Seconds of each flood.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Connections that ask as fast as they are answered, in fills and floods.
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Firms that the wide part goes up to.
    #[arg(long, default_value_t = 1_000_000)]
    firms: u64,
    /// Requests a second of the open loop.
    #[arg(long, default_value_t = 3000.0)]
    rate: f64,
    /// Seed of names and arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Memory limits of the floods, in MB.
    #[arg(long, value_delimiter = ',', default_value = "48,192")]
    memory_mb: Vec<f64>,
    /// Only what a refusal costs: 100 firms far beyond their quotas, for 10 s.
    #[arg(long)]
    refusals_only: bool,
    /// Leaves the wide part out.
    #[arg(long)]
    floods_only: bool,
}

/// A connection that carries one request after another, with as little work as a load generator may do.
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub(crate) async fn open(addr: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::with_capacity(1024) })
    }

    /// The status of the answer to a `GET` for a firm.
    pub(crate) async fn ask(&mut self, firm: u64, name: u64) -> std::io::Result<u16> {
        let text = format!(
            "GET /look/{firm:016x} HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: f-{name:x}\r\nX-Tariff: basic\r\n\
             X-Time-Left: 5.0\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n"
        );
        self.stream.write_all(text.as_bytes()).await?;
        self.buffer.clear();
        loop {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
            let head = std::str::from_utf8(&self.buffer[..end]).unwrap_or_default().to_ascii_lowercase();
            let length = head.split_once("content-length: ").map_or("0", |(_, rest)| rest);
            let length: usize = length.split("\r\n").next().and_then(|n| n.parse().ok()).unwrap_or(0);
            if self.buffer.len() >= end + 4 + length {
                return Ok(head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0));
            }
        }
    }
}

/// What became of requests.
pub(crate) struct Tally {
    latency: Mutex<Histogram<u64>>,
    served: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

impl Tally {
    fn new() -> Arc<Tally> {
        let latency = Histogram::new_with_bounds(1, MOST_US, 3).expect("legal bounds");
        let zero = || AtomicU64::new(0);
        Arc::new(Tally { latency: Mutex::new(latency), served: zero(), refused: zero(), other: zero() })
    }

    fn note(&self, status: std::io::Result<u16>, since: Instant) {
        let us = u64::try_from(since.elapsed().as_micros()).unwrap_or(MOST_US).clamp(1, MOST_US);
        self.latency.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(us);
        let count = match status {
            Ok(200) => &self.served,
            Ok(429) => &self.refused,
            _ => &self.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    fn counts(&self) -> (u64, u64, u64) {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (get(&self.served), get(&self.refused), get(&self.other))
    }

    pub(crate) fn all(&self) -> u64 {
        let (served, refused, other) = self.counts();
        served + refused + other
    }

    pub(crate) fn ms(&self, quantile: f64) -> f64 {
        let latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn row(&self, what: &str, seconds: f64) -> String {
        let (served, refused, other) = self.counts();
        format!(
            "{what}: {:.0}/s, served {served}, refused {refused}, other {other}, p50 {:.2} ms, p99 {:.2} ms",
            self.all() as f64 / seconds,
            self.ms(0.5),
            self.ms(0.99)
        )
    }
}

/// Requests due at moments that do not depend on answers (open loop): latency counts from the moment a request was
/// due, so that a limiter that stalls is not spared the requests that it held up.
pub(crate) async fn open_loop(
    addr: SocketAddr,
    rate: f64,
    length: Duration,
    seed: u64,
    base: u64,
    firm: impl Fn(&mut SmallRng) -> u64 + Send + Sync + 'static,
) -> Result<Arc<Tally>, String> {
    const LANES: u64 = 64;
    let (tally, firm) = (Tally::new(), Arc::new(firm));
    let began = Instant::now() + Duration::from_millis(50);
    let mut lanes = Vec::new();
    for lane in 0..LANES {
        let (tally, firm) = (tally.clone(), firm.clone());
        let mut connection = Connection::open(addr).await.map_err(|e| e.to_string())?;
        lanes.push(tokio::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(seed ^ lane << 32);
            let gaps = Exp::new(rate / LANES as f64).expect("a rate");
            let (mut due, mut name) = (began, base + (lane << 32));
            loop {
                due += Duration::from_secs_f64(gaps.sample(&mut rng));
                if due > began + length {
                    return;
                }
                tokio::time::sleep_until(due.into()).await;
                name += 1;
                let firm = firm(&mut rng);
                let mut status = connection.ask(firm, name).await;
                if status.is_err() {
                    // A kept connection may have been closed between requests: once more on a new one.
                    match Connection::open(addr).await {
                        Ok(new) => connection = new,
                        Err(_) => return,
                    }
                    status = connection.ask(firm, name).await;
                }
                tally.note(status, due);
            }
        }));
    }
    for lane in lanes {
        lane.await.map_err(|e| e.to_string())?;
    }
    Ok(tally)
}

/// As fast as answers come, until `firm` has no more to name or `stop` is set.
pub(crate) async fn flood(
    addr: SocketAddr,
    connections: usize,
    base: u64,
    stop: Arc<AtomicBool>,
    firm: impl Fn(u64) -> Option<u64> + Send + Sync + 'static,
) -> Result<Arc<Tally>, String> {
    let (tally, firm, next) = (Tally::new(), Arc::new(firm), Arc::new(AtomicU64::new(0)));
    let mut workers = Vec::new();
    for _ in 0..connections {
        let (tally, firm, next, stop) = (tally.clone(), firm.clone(), next.clone(), stop.clone());
        workers.push(tokio::spawn(async move {
            let Ok(mut connection) = Connection::open(addr).await else { return };
            while !stop.load(Ordering::Relaxed) {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(firm) = firm(number) else { return };
                let began = Instant::now();
                let status = connection.ask(firm, base + number).await;
                let broken = status.is_err();
                tally.note(status, began);
                if broken {
                    match Connection::open(addr).await {
                        Ok(new) => connection = new,
                        Err(_) => return,
                    }
                }
            }
        }));
    }
    for worker in workers {
        worker.await.map_err(|e| e.to_string())?;
    }
    Ok(tally)
}

/// A bijection on 32 bits: new names in no order.
pub(crate) fn scattered(number: u64) -> u64 {
    let n = (number as u32).wrapping_mul(0x9e37_79b1);
    u64::from(n ^ n >> 15)
}

/// Memory by firms held, the idle CPU, and the open loop over few and many firms.
async fn wide(program: &Path, discovery: SocketAddr, options: &Options) -> Result<(), String> {
    let plan = r#"{"Name":"basic","Rate":5,"StoreSize":20}"#;
    let limiter = Process::limiter_with(program, discovery, plan, 2048.0)?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut points = vec![(0.0, limiter.resident()?)];
    let length = Duration::from_secs(20);
    let measure = async |firms: u64, base: u64| {
        let cpu = limiter.cpu()?;
        let drawn = move |rng: &mut SmallRng| rng.random_range(0..firms);
        let tally = open_loop(limiter.addr, options.rate, length, options.seed, base, drawn).await?;
        let us = (limiter.cpu()? - cpu) * 1e6 / tally.all() as f64;
        println!("{}, CPU {us:.1} us a request", tally.row(&format!("{firms} firms"), length.as_secs_f64()));
        Ok::<_, String>((tally.ms(0.99), us))
    };
    let few = measure(1000, 1 << 56).await?;
    for part in 1..=4u64 {
        let (from, to) = (options.firms * (part - 1) / 4, options.firms * part / 4);
        let named = move |number: u64| (from + number < to).then_some(from + number);
        let stop = Arc::new(AtomicBool::new(false));
        let tally = flood(limiter.addr, options.connections, (1 + part) << 56, stop, named).await?;
        points.push((to as f64, limiter.resident()?));
        println!(
            "filled to {to}: {:?} served, refused, other; resident {:.1} MB",
            tally.counts(),
            limiter.resident()? / 1e6
        );
    }
    let cpu = limiter.cpu()?;
    tokio::time::sleep(Duration::from_secs(10)).await;
    println!("without requests: {:.2} s of CPU in 10 s", limiter.cpu()? - cpu);
    let many = measure(options.firms, 9 << 56).await?;
    println!("many to few: p99 {:.2}, CPU {:.2}", many.0 / few.0, many.1 / few.1);
    // Least squares: bytes for each firm held.
    let n = points.len() as f64;
    let (mx, my) = (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let slope = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>()
        / points.iter().map(|p| (p.0 - mx).powi(2)).sum::<f64>();
    println!("resident memory: {slope:.0} bytes a firm");
    Ok(())
}

/// What a refusal costs: 100 firms, as fast as they are answered.
async fn refusals(program: &Path, discovery: SocketAddr, options: &Options) -> Result<(), String> {
    let plan = r#"{"Name":"basic","Rate":5,"StoreSize":20}"#;
    let limiter = Process::limiter_with(program, discovery, plan, 192.0)?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let (cpu, hundred) = (limiter.cpu()?, |number: u64| Some(number % 100));
    let asking = tokio::spawn(flood(limiter.addr, options.connections, 1 << 56, stop.clone(), hundred));
    tokio::time::sleep(Duration::from_secs(10)).await;
    stop.store(true, Ordering::Relaxed);
    let tally = asking.await.map_err(|e| e.to_string())??;
    let us = (limiter.cpu()? - cpu) * 1e6 / tally.all() as f64;
    println!("{}, CPU {us:.1} us a request", tally.row("100 firms beyond their quotas", 10.0));
    Ok(())
}

/// Steps in which a million firms fall due, by the engine alone.
pub fn passes() {
    let mut world = crate::world::World::new(1e6, 1_000_000);
    (0..1_000_000).for_each(|firm| world.request(firm));
    let mut took = world.rest(200_000.0);
    took.sort_by(f64::total_cmp);
    let at = |share: f64| took.get(((took.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0.0);
    println!("{} passes: p50 {:.0} us, p99 {:.0} us, most {:.0} us", took.len(), at(0.5), at(0.99), at(1.0));
}

/// 300 honest firms, calm and beside nothing but new names as fast as they are answered.
async fn beside(
    program: &Path,
    discovery: SocketAddr,
    memory_mb: f64,
    options: &Options,
) -> Result<(), String> {
    let plan = r#"{"Name":"basic","Rate":5,"StoreSize":20}"#;
    let limiter = Process::limiter_with(program, discovery, plan, memory_mb)?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    // Zipf over 300 firms, the first of which asks for less than its quota.
    let honest = |rng: &mut SmallRng| Zipf::new(300.0, 0.5).expect("legal").sample(rng) as u64;
    let calm = open_loop(limiter.addr, 100.0, Duration::from_secs(15), options.seed, 1 << 56, honest).await?;
    println!("{memory_mb} MB, {}", calm.row("honest, calm", 15.0));
    let stop = Arc::new(AtomicBool::new(false));
    let names = |number| Some((1 << 32) + scattered(number));
    let flooding = tokio::spawn(flood(limiter.addr, options.connections, 2 << 56, stop.clone(), names));
    let length = Duration::from_secs(options.seconds);
    let cpu = limiter.cpu()?;
    let watch = async {
        let mut most = 0.0f64;
        for _ in 0..options.seconds * 4 {
            tokio::time::sleep(Duration::from_millis(250)).await;
            most = most.max(limiter.resident()?);
        }
        Ok::<_, String>(most)
    };
    let (loaded, most) =
        tokio::join!(open_loop(limiter.addr, 100.0, length, options.seed + 1, 3 << 56, honest), watch);
    let (loaded, most) = (loaded?, most?);
    stop.store(true, Ordering::Relaxed);
    let strangers = flooding.await.map_err(|e| e.to_string())??;
    let us = (limiter.cpu()? - cpu) * 1e6 / (strangers.all() + loaded.all()) as f64;
    let seconds = options.seconds as f64;
    println!("{memory_mb} MB, {}", loaded.row("honest, flooded", seconds));
    println!("{memory_mb} MB, {}, CPU {us:.1} us a request", strangers.row("strangers", seconds));
    let share = |t: &Tally| t.counts().0 as f64 / t.all() as f64;
    println!(
        "{memory_mb} MB: most resident {:.1} MB; honest keep {:.4} of their calm service, p99 {:.2} times",
        most / f64::from(1 << 20),
        share(&loaded) / share(&calm),
        loaded.ms(0.99) / calm.ms(0.99)
    );
    if most > memory_mb * f64::from(1 << 20) {
        return Err(format!("the memory limit of {memory_mb} MB was passed"));
    }
    Ok(())
}

/// Measures and prints.
pub fn run(program: &Path, options: &Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        tokio::spawn(crate::direct::node(listener));
        let discovery = Discovery::shared(update_line(1, true, &[("s-1", addr, "active")]));
        if options.refusals_only {
            return refusals(program, discovery.addr, options).await;
        }
        if !options.floods_only {
            wide(program, discovery.addr, options).await?;
        }
        for memory_mb in &options.memory_mb {
            beside(program, discovery.addr, *memory_mb, options).await?;
        }
        Ok(())
    })
}
