//! `marldeal demo`: simulated servers and discovery, two limiters as separate processes, and traffic of some
//! customers, all on loopback. One server is drained half way.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marldeal_standin::addresses::unused_addresses;
use marldeal_standin::client::Client;
use marldeal_standin::discovery::{update_line, Discovery};
use marldeal_standin::server::{Script, Server};
use marldeal_standin::traffic::{generate, Customer, Kind};
use tokio::time::Instant;

use marldeal_faults::processes::{self, ConfigFiles, Process, Program};

const LIMITERS: u32 = 2;
const SERVERS: usize = 3;
const SEED: u64 = 7;

/// Name, units per second and burst in units of each plan.
const PLANS: [(&str, f64, f64); 3] = [("small-yard", 1.5, 6.0), ("mill", 4.0, 16.0), ("fleet", 16.0, 32.0)];

fn config(position: usize, discovery: SocketAddr, peers: &[SocketAddr]) -> serde_json::Value {
    let plan = |(name, rate, burst): &(&str, f64, f64)| {
        let ceiling = if *name == "fleet" { 2.0 } else { 0.0 };
        serde_json::json!({"Name": name, "Rate": rate, "StoreSize": burst, "HardRate": rate * ceiling,
            "NeverOverDepth": burst * ceiling, "CeilingSlack": 6.0})
    };
    serde_json::json!({
        "name": format!("limiter-{position}"), "listen": "127.0.0.1:0", "discovery": discovery,
        "seed": format!("{:x}", SEED + position as u64),
        "peer_listen": peers[position], "peers": peers,
        "settings": {
            "Balancers": LIMITERS, "Position": position, "Zone": "a", "Dcs": ["a"], "RoundMs": 4,
            "Discovery": "automatic",
            "Classes": [
                {"Name": "slot-check", "AimMs": 1000, "Effect": "read_like"},
                {"Name": "pickup-book", "AimMs": 2500, "Effect": "idempotency_key", "KeyScope": "all",
                 "WindowMs": 8000}],
            "TiersOfService": PLANS.iter().map(plan).collect::<Vec<_>>(),
            "Bounds": {"MostTries": 3, "DialTimeoutMs": 250, "Cancelling": true, "MayTell": true,
                       "RetryAfter": true},
            "Obligations": {"StartCapacity": 0.2, "ColdMs": 9000, "FallMultiple": 3, "TipAfterMs": 2000},
            "Domain": {"MailPerS": 60}
        }
    })
}

/// Results of the requests of one plan.
#[derive(Default)]
struct Row {
    served: u32,
    refused: u32,
    failed: u32,
    units: f64,
    latency_ms: Vec<f64>,
}

impl Row {
    fn latency_quantile(&self, quantile: f64) -> f64 {
        let mut sorted = self.latency_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        sorted.get((last as f64 * quantile).round() as usize).copied().unwrap_or(0.0)
    }
}

fn customers() -> Vec<Customer> {
    let customer = |id, plan: usize, units_per_s| Customer {
        id,
        plan: PLANS[plan].0.into(),
        units_per_s,
        spread: LIMITERS,
        first: id as u32 % LIMITERS,
    };
    // Each plan has one customer well within its quota, one near it and one far beyond it.
    vec![
        customer(1, 0, 0.8),
        customer(2, 0, 1.4),
        customer(3, 0, 5.0),
        customer(4, 1, 2.0),
        customer(5, 1, 3.8),
        customer(6, 1, 12.0),
        customer(7, 2, 8.0),
        customer(8, 2, 15.0),
        customer(9, 2, 60.0),
    ]
}

/// Runs the demonstration for the given time and prints its results.
///
/// # Errors
/// Describes in one line what could not be started.
pub fn run(seconds: f64) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("cannot start: {e}"))?.block_on(demonstrate(seconds))
}

async fn demonstrate(seconds: f64) -> Result<(), String> {
    let servers: Vec<Server> = (0..SERVERS)
        .map(|_| Server::scripted(Script { work_ms: 30, cores: 4, ..Script::default() }))
        .collect();
    let server_list = |version, drained: Option<usize>| {
        let ids = ["node-0", "node-1", "node-2"];
        let entry =
            |n: usize| (ids[n], servers[n].addr, if drained == Some(n) { "leaving" } else { "active" });
        update_line(version, true, &(0..SERVERS).map(entry).collect::<Vec<_>>())
    };
    let discovery = Discovery::shared(server_list(1, None));
    let peers = unused_addresses(LIMITERS as usize);
    let (program, files) = (Program::current()?, ConfigFiles::new(0)?);
    let mut limiters = Vec::new();
    for n in 0..LIMITERS as usize {
        limiters.push(Process::start(&program, &files, &config(n, discovery.addr, &peers)).await?);
    }
    let client = Arc::new(Client::default());
    println!(
        "{SERVERS} servers, {LIMITERS} limiters, {} customers on loopback; starting ...",
        customers().len()
    );
    for limiter in &limiters {
        processes::wait_until_ready(&client, limiter.addr).await?;
    }

    let kind =
        |class: &str, keyed, share, units| Kind { class: class.into(), keyed, share, units, budget_s: 3.0 };
    let kinds = [kind("slot-check", false, 0.62, 1.0), kind("pickup-book", true, 0.38, 2.0)];
    let calls = generate(SEED, &customers(), &kinds, LIMITERS, seconds);
    let started = Instant::now();
    let (sender, mut results) = tokio::sync::mpsc::unbounded_channel();
    for call in &calls {
        let (call, client, sender) = (call.clone(), client.clone(), sender.clone());
        let addr = limiters[call.limiter].addr;
        tokio::spawn(async move {
            let at = started + Duration::from_secs_f64(call.at_ms / 1000.0);
            tokio::time::sleep_until(at).await;
            let answer = client.exchange(addr, call.request()).await;
            let latency_ms = at.elapsed().as_secs_f64() * 1000.0;
            let _ = sender.send((call, answer.map(|a| a.status().as_u16()), latency_ms));
        });
    }
    drop(sender);
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    let mut drained = None;
    let half_way = started + Duration::from_secs_f64(seconds / 2.0);
    let mut tick = tokio::time::interval(Duration::from_millis(500));
    let live = std::io::stdout().is_terminal();
    loop {
        tokio::select! {
            result = results.recv() => {
                let Some((call, status, latency_ms)) = result else { break };
                let row = rows.entry(call.customer.plan.clone()).or_default();
                match status {
                    Ok(200) => {
                        row.served += 1;
                        row.units += call.kind.units;
                        row.latency_ms.push(latency_ms);
                    }
                    Ok(429 | 503) => row.refused += 1,
                    _ => row.failed += 1,
                }
            }
            () = tokio::time::sleep_until(half_way), if drained.is_none() => {
                let before = servers[2].request_count();
                discovery.announce(&server_list(2, Some(2)));
                drained = Some((Instant::now(), before));
            }
            _ = tick.tick(), if live => print_progress(started, seconds, &rows, drained.is_some()),
        }
    }
    if live {
        println!();
    }
    println!(
        "\n{:<12}{:>8}{:>9}{:>8}{:>10}{:>10}{:>12}",
        "plan", "served", "refused", "failed", "p50 ms", "p99 ms", "quota used"
    );
    for (plan, rate, burst) in PLANS {
        let row = rows.entry(plan.to_string()).or_default();
        let quota_units =
            customers().iter().filter(|c| c.plan == plan).count() as f64 * (rate * seconds + burst);
        let (p50, p99) = (row.latency_quantile(0.5), row.latency_quantile(0.99));
        let used_percent = 100.0 * row.units / quota_units;
        let Row { served, refused, failed, .. } = row;
        println!("{plan:<12}{served:>8}{refused:>9}{failed:>8}{p50:>10.0}{p99:>10.0}{used_percent:>11.0}%");
    }
    let request_counts: Vec<usize> = servers.iter().map(Server::request_count).collect();
    println!(
        "\nrequests per server: {request_counts:?}; the last server was drained after {:.0} s",
        seconds / 2.0
    );
    if let Some((_, before)) = drained {
        println!(
            "of its {} requests, {} arrived after the drain was announced",
            request_counts[2],
            request_counts[2] - before
        );
    }
    Ok(())
}

fn print_progress(started: Instant, seconds: f64, rows: &BTreeMap<String, Row>, drained: bool) {
    let sum = |count: fn(&Row) -> u32| rows.values().map(count).sum::<u32>();
    let (served, refused, failed) = (sum(|r| r.served), sum(|r| r.refused), sum(|r| r.failed));
    let elapsed = started.elapsed().as_secs_f64().min(seconds);
    let note = if drained { ", one server drained" } else { "" };
    print!(
        "\r{elapsed:>5.1} of {seconds:.0} s: {served} served, {refused} refused, {failed} failed{note}   "
    );
    let _ = std::io::stdout().flush();
}
