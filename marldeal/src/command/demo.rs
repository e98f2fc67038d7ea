//! `marldeal demo`: stand-in nodes and discovery, two limiters as processes of their own, and some firms' traffic, all
//! on loopback, with a drain half way.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marldeal_standin::client::Client;
use marldeal_standin::discovery::{update_line, Discovery};
use marldeal_standin::server::{Script, Server};
use marldeal_standin::traffic::{generate, Customer, Kind};
use tokio::time::Instant;

use marldeal_faults::processes::{self, ConfigFiles, Process, Program};

const LIMITERS: u32 = 2;
const NODES: usize = 3;
const SEED: u64 = 7;

/// Name, units a second, and units at once of each plan.
const PLANS: [(&str, f64, f64); 3] = [("small-yard", 1.5, 6.0), ("mill", 4.0, 16.0), ("fleet", 16.0, 32.0)];

fn config(position: usize, discovery: SocketAddr, mail: &[SocketAddr]) -> serde_json::Value {
    let plan = |(name, rate, store): &(&str, f64, f64)| {
        let ceiling = if *name == "fleet" { 2.0 } else { 0.0 };
        serde_json::json!({"Name": name, "Rate": rate, "StoreSize": store, "HardRate": rate * ceiling,
            "NeverOverDepth": store * ceiling, "CeilingSlack": 6.0})
    };
    serde_json::json!({
        "name": format!("limiter-{position}"), "listen": "127.0.0.1:0", "discovery": discovery,
        "seed": format!("{:x}", SEED + position as u64),
        "peer_listen": mail[position], "peers": mail,
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

/// What came of a plan's requests.
#[derive(Default)]
struct Row {
    served: u32,
    refused: u32,
    failed: u32,
    units: f64,
    took_ms: Vec<f64>,
}

impl Row {
    fn percentile(&self, share: f64) -> f64 {
        let mut sorted = self.took_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().saturating_sub(1);
        sorted.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
    }
}

fn firms() -> Vec<Customer> {
    let firm = |id, plan: usize, units_per_s| Customer {
        id,
        plan: PLANS[plan].0.into(),
        units_per_s,
        spread: LIMITERS,
        first: id as u32 % LIMITERS,
    };
    // On each plan one firm well inside its quota, one near it, one far beyond.
    vec![
        firm(1, 0, 0.8),
        firm(2, 0, 1.4),
        firm(3, 0, 5.0),
        firm(4, 1, 2.0),
        firm(5, 1, 3.8),
        firm(6, 1, 12.0),
        firm(7, 2, 8.0),
        firm(8, 2, 15.0),
        firm(9, 2, 60.0),
    ]
}

/// Runs it for `seconds` and prints what came of it.
///
/// # Errors
/// One plain line: what could not be started.
pub fn run(seconds: f64) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("cannot start: {e}"))?.block_on(play(seconds))
}

async fn play(seconds: f64) -> Result<(), String> {
    let nodes: Vec<Server> =
        (0..NODES).map(|_| Server::scripted(Script { work_ms: 30, cores: 4, ..Script::default() })).collect();
    let roster = |version, drained: Option<usize>| {
        let ids = ["node-0", "node-1", "node-2"];
        let entry = |n: usize| (ids[n], nodes[n].addr, if drained == Some(n) { "leaving" } else { "active" });
        update_line(version, true, &(0..NODES).map(entry).collect::<Vec<_>>())
    };
    let discovery = Discovery::shared(roster(1, None));
    let mail = processes::datagram_addresses(LIMITERS as usize)?;
    let (program, files) = (Program::current()?, ConfigFiles::new(0)?);
    let mut limiters = Vec::new();
    for n in 0..LIMITERS as usize {
        limiters.push(Process::start(&program, &files, &config(n, discovery.addr, &mail)).await?);
    }
    let client = Arc::new(Client::default());
    println!("{NODES} nodes, {LIMITERS} limiters, {} firms on loopback; starting ...", firms().len());
    for limiter in &limiters {
        processes::wait_until_ready(&client, limiter.addr).await?;
    }

    let kind =
        |class: &str, keyed, share, units| Kind { class: class.into(), keyed, share, units, budget_s: 3.0 };
    let kinds = [kind("slot-check", false, 0.62, 1.0), kind("pickup-book", true, 0.38, 2.0)];
    let calls = generate(SEED, &firms(), &kinds, LIMITERS, seconds);
    let began = Instant::now();
    let (done, mut finished) = tokio::sync::mpsc::unbounded_channel();
    for call in &calls {
        let (call, client, done) = (call.clone(), client.clone(), done.clone());
        let addr = limiters[call.limiter].addr;
        tokio::spawn(async move {
            let at = began + Duration::from_secs_f64(call.at_ms / 1000.0);
            tokio::time::sleep_until(at).await;
            let answer = client.exchange(addr, call.request()).await;
            let took_ms = at.elapsed().as_secs_f64() * 1000.0;
            let _ = done.send((call, answer.map(|a| a.status().as_u16()), took_ms));
        });
    }
    drop(done);
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    let mut drained = None;
    let half = began + Duration::from_secs_f64(seconds / 2.0);
    let mut tick = tokio::time::interval(Duration::from_millis(500));
    let live = std::io::stdout().is_terminal();
    loop {
        tokio::select! {
            one = finished.recv() => {
                let Some((call, status, took_ms)) = one else { break };
                let row = rows.entry(call.customer.plan.clone()).or_default();
                match status {
                    Ok(200) => {
                        row.served += 1;
                        row.units += call.kind.units;
                        row.took_ms.push(took_ms);
                    }
                    Ok(429 | 503) => row.refused += 1,
                    _ => row.failed += 1,
                }
            }
            () = tokio::time::sleep_until(half), if drained.is_none() => {
                let before = nodes[2].request_count();
                discovery.announce(&roster(2, Some(2)));
                drained = Some((Instant::now(), before));
            }
            _ = tick.tick(), if live => progress(began, seconds, &rows, drained.is_some()),
        }
    }
    if live {
        println!();
    }
    println!(
        "\n{:<12}{:>8}{:>9}{:>8}{:>10}{:>10}{:>12}",
        "plan", "served", "refused", "failed", "p50 ms", "p99 ms", "quota used"
    );
    for (plan, rate, store) in PLANS {
        let row = rows.entry(plan.to_string()).or_default();
        let quota = firms().iter().filter(|f| f.plan == plan).count() as f64 * (rate * seconds + store);
        let (p50, p99) = (row.percentile(0.5), row.percentile(0.99));
        let used = 100.0 * row.units / quota;
        let Row { served, refused, failed, .. } = row;
        println!("{plan:<12}{served:>8}{refused:>9}{failed:>8}{p50:>10.0}{p99:>10.0}{used:>11.0}%");
    }
    let arrivals: Vec<usize> = nodes.iter().map(Server::request_count).collect();
    println!("\nrequests at the nodes: {arrivals:?}; the last was drained after {:.0} s", seconds / 2.0);
    if let Some((_, before)) = drained {
        println!("of its {} requests, {} came after the notice was sent", arrivals[2], arrivals[2] - before);
    }
    Ok(())
}

fn progress(began: Instant, seconds: f64, rows: &BTreeMap<String, Row>, drained: bool) {
    let sum = |of: fn(&Row) -> u32| rows.values().map(of).sum::<u32>();
    let (served, refused, failed) = (sum(|r| r.served), sum(|r| r.refused), sum(|r| r.failed));
    let now = began.elapsed().as_secs_f64().min(seconds);
    let note = if drained { ", one node drained" } else { "" };
    print!("\r{now:>5.1} of {seconds:.0} s: {served} served, {refused} refused, {failed} failed{note}   ");
    let _ = std::io::stdout().flush();
}
