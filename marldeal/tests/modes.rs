//! The same recorded traffic over three limiters with peers, in direct mode, in external mode through stand-in
//! proxies, and in both at once: the units admitted per customer agree within a bound that is fixed before the
//! run.
//!
//! The bound per customer is derived in `docs/design/external-processor.md`: its burst, one second of its rate
//! and the largest request.

mod stubs;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marldeal_standin::addresses::unused_addresses;
use marldeal_standin::client::Client;
use marldeal_standin::proxy::{Proxy, RetryMode};
use marldeal_standin::server::{Fault, Script};
use marldeal_standin::traffic::{generate, sample_traffic, Call};
use stubs::{Limiter, Stub};

const LIMITERS: u32 = 3;
const SECONDS: f64 = 18.0;
const SEED: u64 = 0x5eed;
/// Units of the largest request.
const MAX_REQUEST_UNITS: f64 = 2.0;

/// Name, rate (units per second) and burst (units) of each plan.
const PLANS: [(&str, f64, f64); 3] = [("small-yard", 1.5, 6.0), ("mill", 4.0, 16.0), ("fleet", 16.0, 32.0)];

const SETTINGS: &str = r#"{"Balancers":3,"Position":POSITION,"Zone":"a","Dcs":["a"],"RoundMs":4,"Discovery":"automatic",
"Classes":[{"Name":"slot-check","AimMs":1000,"Effect":"read_like","LateWorth":0},
{"Name":"pickup-book","AimMs":2500,"Effect":"idempotency_key","KeyScope":"all","WindowMs":8000}],
"TiersOfService":[{"Name":"small-yard","Rate":1.5,"StoreSize":6},{"Name":"mill","Rate":4,"StoreSize":16},
{"Name":"fleet","Rate":16,"StoreSize":32,"HardRate":32,"NeverOverDepth":64,"CeilingSlack":6}],
"Bounds":{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"MayTell":true,"RetryAfter":true},
"Obligations":{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000},"Domain":{"MailPerS":60}}"#;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    Direct,
    External,
    Mixed,
}

/// Demand of the greedy customer in units per second: more than five times its ceiling.
const GREEDY_UNITS_PER_S: f64 = 180.0;

/// Per customer: units admitted, requests admitted, requests refused.
type Counts = BTreeMap<u64, (f64, u32, u32)>;

struct Fleet {
    servers: Vec<Stub>,
    limiters: Vec<Limiter>,
}

fn start() -> Fleet {
    // Some requests never run and some may have run, so that the traffic includes retries.
    let faults = |n: usize| vec![(50 + n..55 + n, Fault::Unprocessed), (120..122, Fault::Error)];
    let script = |n| Script { work_ms: 15, faults: faults(n), ..Script::default() };
    let stubs: Vec<_> = (0..6).map(|n| Stub::scripted(script(n))).collect();
    let ids: Vec<String> = (0..6).map(|n| format!("s-{n}")).collect();
    let entries: Vec<_> =
        ids.iter().zip(&stubs).map(|(id, server)| (id.as_str(), server, "active")).collect();
    let peer_addrs = unused_addresses(LIMITERS as usize);
    let peers: Vec<String> = peer_addrs.iter().map(|a| format!("\"{a}\"")).collect();
    let limiter = |position: usize| {
        let alter = |config: String| {
            let at = config.find(r#""settings""#).expect("settings");
            let settings = SETTINGS.replace("POSITION", &position.to_string());
            let own = peer_addrs[position];
            let peers = peers.join(",");
            format!(
                "{}\"peer_listen\":\"{own}\",\"peers\":[{peers}],\"settings\":{settings}}}",
                &config[..at]
            )
        };
        Limiter::with_external_processor(&entries, alter, "")
    };
    Fleet { limiters: (0..LIMITERS as usize).map(limiter).collect(), servers: stubs }
}

/// Sends the calls at their times to their limiters, directly or through proxies, and counts the answers.
async fn replay(mode: Mode, fleet: &Fleet, calls: &[Call]) -> Counts {
    let mut proxies = Vec::new();
    for limiter in &fleet.limiters {
        let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::PerTry).await.expect("a proxy");
        proxies.push(Arc::new(proxy));
    }
    let client = Arc::new(Client::default());
    let began = tokio::time::Instant::now() + Duration::from_millis(100);
    let mut pending = Vec::new();
    for (number, call) in calls.iter().enumerate() {
        let (call, proxy) = (call.clone(), proxies[call.limiter].clone());
        let (client, addr) = (client.clone(), fleet.limiters[call.limiter].addr);
        let external = mode == Mode::External || (mode == Mode::Mixed && number % 2 == 0);
        pending.push(tokio::spawn(async move {
            tokio::time::sleep_until(began + Duration::from_secs_f64(call.at_ms / 1000.0)).await;
            let status = if external {
                proxy.handle(&call.request()).await.expect("a final answer").status
            } else {
                client.exchange(addr, call.request()).await.expect("a final answer").status().as_u16()
            };
            (call.customer.id, call.kind.units, status)
        }));
    }
    let mut counts_by_customer = Counts::new();
    for answer in pending {
        let (customer, units, status) = answer.await.expect("an answer");
        let counts = counts_by_customer.entry(customer).or_default();
        match status {
            200 => (counts.0, counts.1) = (counts.0 + units, counts.1 + 1),
            429 => counts.2 += 1,
            // The request was admitted; the server failed.
            502 => (counts.0, counts.1) = (counts.0 + units, counts.1 + 1),
            other => panic!("status {other} in {mode:?}"),
        }
    }
    counts_by_customer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quotas_agree_between_direct_external_and_mixed_mode() {
    let (customers, kinds) = sample_traffic(GREEDY_UNITS_PER_S);
    let calls = generate(SEED, &customers, &kinds, LIMITERS, SECONDS);
    assert!(calls.len() >= 3000, "{}", calls.len());
    let fleets = [Mode::Direct, Mode::External, Mode::Mixed].map(|mode| (mode, start()));
    let [direct, external, mixed] = &fleets;
    let (a, b, c) = tokio::join!(
        replay(direct.0, &direct.1, &calls),
        replay(external.0, &external.1, &calls),
        replay(mixed.0, &mixed.1, &calls)
    );
    for (mode, fleet) in &fleets {
        let max_concurrent = fleet.servers.iter().map(Stub::max_concurrent_requests).max();
        assert_eq!(max_concurrent, Some(1), "{mode:?}: two attempts of a request were at a server at once");
    }
    let mut out_of_bound = Vec::new();
    for customer in customers {
        let (_, rate, burst) = PLANS.iter().find(|(name, ..)| *name == customer.plan).expect("a plan");
        let bound = burst + rate + MAX_REQUEST_UNITS;
        let units = [&a, &b, &c].map(|counts| counts[&customer.id].0);
        let (min, max) = units.iter().fold((f64::MAX, 0.0_f64), |(l, m), u| (l.min(*u), m.max(*u)));
        println!("customer {} on {}: units {units:?}, bound {bound}", customer.id, customer.plan);
        if max - min > bound {
            out_of_bound.push((customer.id, units, bound));
        }
    }
    assert!(out_of_bound.is_empty(), "seed {SEED:#x}: beyond the bound: {out_of_bound:?}");
    let refused = |counts: &Counts| counts.values().map(|c| c.2).sum::<u32>();
    assert!(
        refused(&a) > 300 && refused(&b) > 300 && refused(&c) > 300,
        "customers beyond their quotas are refused"
    );
}
