//! Measures a limiter on one core with many customers and under floods of unknown customers: latency, CPU, memory,
//! and the service of the known customers.

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

/// Maximum recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

#[derive(Args)]
pub struct Options {
    /// Duration of each flood, in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Number of connections that send as fast as they are answered, while filling the table and in floods.
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Maximum number of customers in the measurement with many customers.
    #[arg(long, default_value_t = 1_000_000)]
    firms: u64,
    /// Requests per second of the open loop.
    #[arg(long, default_value_t = 3000.0)]
    rate: f64,
    /// Seed of customers and arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Memory limits of the limiters under flood, in MB.
    #[arg(long, value_delimiter = ',', default_value = "48,192")]
    memory_mb: Vec<f64>,
    /// Measures only the cost of a refusal: 100 customers far beyond their quotas, for 10 s.
    #[arg(long)]
    refusals_only: bool,
    /// Skips the measurement with many customers.
    #[arg(long)]
    floods_only: bool,
}

/// A connection that sends one request after another, with as little work in the load generator as possible.
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

    /// Sends a `GET` for a customer and returns the status of the answer.
    pub(crate) async fn get(&mut self, customer: u64, correlation_id: u64) -> std::io::Result<u16> {
        let text = format!(
            "GET /look/{customer:016x} HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: f-{correlation_id:x}\r\nX-Tariff: basic\r\n\
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

/// Counts and latencies of requests by outcome.
pub(crate) struct Tally {
    latency: Mutex<Histogram<u64>>,
    served: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

impl Tally {
    fn new() -> Arc<Tally> {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
        let zero = || AtomicU64::new(0);
        Arc::new(Tally { latency: Mutex::new(latency), served: zero(), refused: zero(), other: zero() })
    }

    fn record(&self, status: std::io::Result<u16>, due: Instant) {
        let us = u64::try_from(due.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US).clamp(1, MAX_LATENCY_US);
        self.latency.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(us);
        let count = match status {
            Ok(200) => &self.served,
            Ok(429) => &self.refused,
            _ => &self.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the numbers of served, refused and other requests.
    fn counts(&self) -> (u64, u64, u64) {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (get(&self.served), get(&self.refused), get(&self.other))
    }

    /// Returns the number of all requests.
    pub(crate) fn total(&self) -> u64 {
        let (served, refused, other) = self.counts();
        served + refused + other
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        let latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Formats the counts and latencies as one line.
    fn summary(&self, label: &str, seconds: f64) -> String {
        let (served, refused, other) = self.counts();
        format!(
            "{label}: {:.0}/s, served {served}, refused {refused}, other {other}, p50 {:.2} ms, p99 {:.2} ms",
            self.total() as f64 / seconds,
            self.latency_ms(0.5),
            self.latency_ms(0.99)
        )
    }
}

/// Sends requests at times that do not depend on the answers (open loop). Latency counts from the time at which a
/// request was due, so that it includes the requests that a stalled limiter delays.
pub(crate) async fn open_loop(
    addr: SocketAddr,
    rate: f64,
    duration: Duration,
    seed: u64,
    first_correlation_id: u64,
    customer: impl Fn(&mut SmallRng) -> u64 + Send + Sync + 'static,
) -> Result<Arc<Tally>, String> {
    const CONNECTIONS: u64 = 64;
    let (tally, customer) = (Tally::new(), Arc::new(customer));
    let started = Instant::now() + Duration::from_millis(50);
    let mut tasks = Vec::new();
    for number in 0..CONNECTIONS {
        let (tally, customer) = (tally.clone(), customer.clone());
        let mut connection = Connection::open(addr).await.map_err(|e| e.to_string())?;
        tasks.push(tokio::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(seed ^ number << 32);
            let gaps = Exp::new(rate / CONNECTIONS as f64).expect("a positive rate");
            let (mut due, mut correlation_id) = (started, first_correlation_id + (number << 32));
            loop {
                due += Duration::from_secs_f64(gaps.sample(&mut rng));
                if due > started + duration {
                    return;
                }
                tokio::time::sleep_until(due.into()).await;
                correlation_id += 1;
                let customer = customer(&mut rng);
                let mut status = connection.get(customer, correlation_id).await;
                if status.is_err() {
                    // The limiter may have closed the idle connection between requests: retry once on a new one.
                    match Connection::open(addr).await {
                        Ok(new) => connection = new,
                        Err(_) => return,
                    }
                    status = connection.get(customer, correlation_id).await;
                }
                tally.record(status, due);
            }
        }));
    }
    for task in tasks {
        task.await.map_err(|e| e.to_string())?;
    }
    Ok(tally)
}

/// Sends requests as fast as they are answered, until `customer` returns `None` or `stop` is set.
pub(crate) async fn flood(
    addr: SocketAddr,
    connections: usize,
    first_correlation_id: u64,
    stop: Arc<AtomicBool>,
    customer: impl Fn(u64) -> Option<u64> + Send + Sync + 'static,
) -> Result<Arc<Tally>, String> {
    let (tally, customer, next) = (Tally::new(), Arc::new(customer), Arc::new(AtomicU64::new(0)));
    let mut workers = Vec::new();
    for _ in 0..connections {
        let (tally, customer, next, stop) = (tally.clone(), customer.clone(), next.clone(), stop.clone());
        workers.push(tokio::spawn(async move {
            let Ok(mut connection) = Connection::open(addr).await else { return };
            while !stop.load(Ordering::Relaxed) {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(customer) = customer(number) else { return };
                let sent = Instant::now();
                let status = connection.get(customer, first_correlation_id + number).await;
                let failed = status.is_err();
                tally.record(status, sent);
                if failed {
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

/// A bijection on 32 bits, which gives distinct customers in scattered order.
pub(crate) fn scatter(number: u64) -> u64 {
    let n = (number as u32).wrapping_mul(0x9e37_79b1);
    u64::from(n ^ n >> 15)
}

/// Measures memory by number of customers, idle CPU, and the open loop with few and many customers.
async fn measure_many_customers(
    program: &Path,
    discovery: SocketAddr,
    options: &Options,
) -> Result<(), String> {
    let plan = r#"{"Name":"basic","Rate":5,"StoreSize":20}"#;
    let limiter = Process::limiter_with(program, discovery, plan, 2048.0)?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut memory_points = vec![(0.0, limiter.resident()?)];
    let duration = Duration::from_secs(20);
    let measure = async |customers: u64, first_correlation_id: u64| {
        let cpu = limiter.cpu()?;
        let random_customer = move |rng: &mut SmallRng| rng.random_range(0..customers);
        let tally = open_loop(
            limiter.addr,
            options.rate,
            duration,
            options.seed,
            first_correlation_id,
            random_customer,
        )
        .await?;
        let cpu_us = (limiter.cpu()? - cpu) * 1e6 / tally.total() as f64;
        println!(
            "{}, CPU {cpu_us:.1} us per request",
            tally.summary(&format!("{customers} customers"), duration.as_secs_f64())
        );
        Ok::<_, String>((tally.latency_ms(0.99), cpu_us))
    };
    let few = measure(1000, 1 << 56).await?;
    for part in 1..=4u64 {
        let (from, to) = (options.firms * (part - 1) / 4, options.firms * part / 4);
        let next_customer = move |number: u64| (from + number < to).then_some(from + number);
        let stop = Arc::new(AtomicBool::new(false));
        let tally = flood(limiter.addr, options.connections, (1 + part) << 56, stop, next_customer).await?;
        memory_points.push((to as f64, limiter.resident()?));
        println!(
            "filled to {to} customers: {:?} served, refused, other; resident {:.1} MB",
            tally.counts(),
            limiter.resident()? / 1e6
        );
    }
    let cpu = limiter.cpu()?;
    tokio::time::sleep(Duration::from_secs(10)).await;
    println!("idle: {:.2} s of CPU in 10 s", limiter.cpu()? - cpu);
    let many = measure(options.firms, 9 << 56).await?;
    println!("ratio of many to few customers: p99 {:.2}, CPU {:.2}", many.0 / few.0, many.1 / few.1);
    // Least squares fit: bytes per customer.
    let n = memory_points.len() as f64;
    let (mean_x, mean_y) = (
        memory_points.iter().map(|p| p.0).sum::<f64>() / n,
        memory_points.iter().map(|p| p.1).sum::<f64>() / n,
    );
    let slope = memory_points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>()
        / memory_points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    println!("resident memory: {slope:.0} bytes per customer");
    Ok(())
}

/// Measures the cost of a refusal: 100 customers send as fast as they are answered.
async fn measure_refusals(program: &Path, discovery: SocketAddr, options: &Options) -> Result<(), String> {
    let plan = r#"{"Name":"basic","Rate":5,"StoreSize":20}"#;
    let limiter = Process::limiter_with(program, discovery, plan, 192.0)?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let (cpu, next_customer) = (limiter.cpu()?, |number: u64| Some(number % 100));
    let flooding =
        tokio::spawn(flood(limiter.addr, options.connections, 1 << 56, stop.clone(), next_customer));
    tokio::time::sleep(Duration::from_secs(10)).await;
    stop.store(true, Ordering::Relaxed);
    let tally = flooding.await.map_err(|e| e.to_string())??;
    let cpu_us = (limiter.cpu()? - cpu) * 1e6 / tally.total() as f64;
    println!("{}, CPU {cpu_us:.1} us per request", tally.summary("100 customers beyond their quotas", 10.0));
    Ok(())
}

/// Measures the engine's timer calls that evict a million customers.
pub fn run_passes() {
    let mut harness = crate::harness::EngineHarness::new(1e6, 1_000_000);
    (0..1_000_000).for_each(|customer| harness.request(customer));
    let mut call_us = harness.run_timers(200_000.0);
    call_us.sort_by(f64::total_cmp);
    let quantile =
        |share: f64| call_us.get(((call_us.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0.0);
    println!(
        "{} passes: p50 {:.0} us, p99 {:.0} us, max {:.0} us",
        call_us.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

/// Measures 300 known customers, first alone and then during a flood of requests of unknown customers.
async fn measure_flood(
    program: &Path,
    discovery: SocketAddr,
    memory_mb: f64,
    options: &Options,
) -> Result<(), String> {
    let plan = r#"{"Name":"basic","Rate":5,"StoreSize":20}"#;
    let limiter = Process::limiter_with(program, discovery, plan, memory_mb)?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    // Zipf distribution over 300 customers. Even the most active one stays within its quota.
    let known_customer =
        |rng: &mut SmallRng| Zipf::new(300.0, 0.5).expect("valid parameters").sample(rng) as u64;
    let alone =
        open_loop(limiter.addr, 100.0, Duration::from_secs(15), options.seed, 1 << 56, known_customer)
            .await?;
    println!("{memory_mb} MB, {}", alone.summary("known customers, alone", 15.0));
    let stop = Arc::new(AtomicBool::new(false));
    let unknown_customer = |number| Some((1 << 32) + scatter(number));
    let flooding =
        tokio::spawn(flood(limiter.addr, options.connections, 2 << 56, stop.clone(), unknown_customer));
    let duration = Duration::from_secs(options.seconds);
    let cpu = limiter.cpu()?;
    let watch_memory = async {
        let mut max_resident = 0.0f64;
        for _ in 0..options.seconds * 4 {
            tokio::time::sleep(Duration::from_millis(250)).await;
            max_resident = max_resident.max(limiter.resident()?);
        }
        Ok::<_, String>(max_resident)
    };
    let (flooded, max_resident) = tokio::join!(
        open_loop(limiter.addr, 100.0, duration, options.seed + 1, 3 << 56, known_customer),
        watch_memory
    );
    let (flooded, max_resident) = (flooded?, max_resident?);
    stop.store(true, Ordering::Relaxed);
    let unknown = flooding.await.map_err(|e| e.to_string())??;
    let cpu_us = (limiter.cpu()? - cpu) * 1e6 / (unknown.total() + flooded.total()) as f64;
    let seconds = options.seconds as f64;
    println!("{memory_mb} MB, {}", flooded.summary("known customers, flooded", seconds));
    println!(
        "{memory_mb} MB, {}, CPU {cpu_us:.1} us per request",
        unknown.summary("unknown customers", seconds)
    );
    let share = |t: &Tally| t.counts().0 as f64 / t.total() as f64;
    println!(
        "{memory_mb} MB: max resident {:.1} MB; known customers keep {:.4} of their service, p99 {:.2} times as long",
        max_resident / f64::from(1 << 20),
        share(&flooded) / share(&alone),
        flooded.latency_ms(0.99) / alone.latency_ms(0.99)
    );
    if max_resident > memory_mb * f64::from(1 << 20) {
        return Err(format!("the memory limit of {memory_mb} MB was exceeded"));
    }
    Ok(())
}

/// Runs the measurements and prints the results.
pub fn run(program: &Path, options: &Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        tokio::spawn(crate::direct::serve(listener));
        let discovery = Discovery::shared(update_line(1, true, &[("s-1", addr, "active")]));
        if options.refusals_only {
            return measure_refusals(program, discovery.addr, options).await;
        }
        if !options.floods_only {
            measure_many_customers(program, discovery.addr, options).await?;
        }
        for memory_mb in &options.memory_mb {
            measure_flood(program, discovery.addr, *memory_mb, options).await?;
        }
        Ok(())
    })
}
