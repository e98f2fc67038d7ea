//! The same recorded traffic over three limiters with peers, in direct mode, in external mode through stand-in
//! proxies, and in both at once: units let in per firm agree within a bound that is stated before the run.
//!
//! The bound per firm is derived in `docs/design/external-processor.md`: its store, a second of its rate and one
//! largest request.

mod stubs;

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use marldeal_standin::client::Client;
use marldeal_standin::proxy::{Proxy, RetryMode};
use marldeal_standin::server::{Fault, Script};
use marldeal_standin::traffic::{generate, sample_traffic, Call};
use stubs::{Node, Stub};

const LIMITERS: u32 = 3;
const SECONDS: f64 = 18.0;
const SEED: u64 = 0x5eed;
const LARGEST: f64 = 2.0;

/// Name, rate and store of each plan.
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

/// The greedy firm asks for more than five times its ceiling.
const GREEDY: f64 = 180.0;

/// Addresses for datagrams between limiters, on a loopback address of this process's own: the limiters have to be
/// told all of them before any of them has bound its own.
fn mail(mode: Mode) -> Vec<SocketAddr> {
    let pid = std::process::id();
    let ip = [127, 64 + mode as u8, (pid >> 8) as u8, (pid as u8).max(1)];
    let sockets: Vec<_> =
        (0..LIMITERS).map(|_| UdpSocket::bind(SocketAddr::from((ip, 0))).expect("a port")).collect();
    sockets.iter().map(|s| s.local_addr().expect("an address")).collect()
}

/// By firm: units let in, requests let in, requests refused.
type Figures = BTreeMap<u64, (f64, u32, u32)>;

struct Fleet {
    nodes: Vec<Stub>,
    limiters: Vec<Node>,
}

fn start(mode: Mode) -> Fleet {
    // A few answers that never ran and some that may have: further attempts belong to the traffic.
    let faults = |n: usize| vec![(50 + n..55 + n, Fault::Unprocessed), (120..122, Fault::Error)];
    let script = |n| Script { work_ms: 15, faults: faults(n), ..Script::default() };
    let nodes: Vec<_> = (0..6).map(|n| Stub::scripted(script(n))).collect();
    let ids: Vec<String> = (0..6).map(|n| format!("s-{n}")).collect();
    let servers: Vec<_> = ids.iter().zip(&nodes).map(|(id, node)| (id.as_str(), node, "active")).collect();
    let mail = mail(mode);
    let peers: Vec<String> = mail.iter().map(|a| format!("\"{a}\"")).collect();
    let limiter = |position: usize| {
        let alter = |config: String| {
            let at = config.find(r#""settings""#).expect("settings");
            let settings = SETTINGS.replace("POSITION", &position.to_string());
            let own = mail[position];
            let peers = peers.join(",");
            format!(
                "{}\"peer_listen\":\"{own}\",\"peers\":[{peers}],\"settings\":{settings}}}",
                &config[..at]
            )
        };
        Node::proxied(&servers, alter, "")
    };
    Fleet { limiters: (0..LIMITERS as usize).map(limiter).collect(), nodes }
}

async fn play(mode: Mode, fleet: &Fleet, calls: &[Call]) -> Figures {
    let mut proxies = Vec::new();
    for limiter in &fleet.limiters {
        let proxy = Proxy::connect(limiter.processor(), RetryMode::PerTry).await.expect("a proxy");
        proxies.push(Arc::new(proxy));
    }
    let client = Arc::new(Client::default());
    let began = tokio::time::Instant::now() + Duration::from_millis(100);
    let mut asked = Vec::new();
    for (number, call) in calls.iter().enumerate() {
        let (call, proxy) = (call.clone(), proxies[call.limiter].clone());
        let (client, addr) = (client.clone(), fleet.limiters[call.limiter].addr);
        let external = mode == Mode::External || (mode == Mode::Mixed && number % 2 == 0);
        asked.push(tokio::spawn(async move {
            tokio::time::sleep_until(began + Duration::from_secs_f64(call.at_ms / 1000.0)).await;
            let status = if external {
                proxy.handle(&call.request()).await.expect("a final answer").status
            } else {
                client.exchange(addr, call.request()).await.expect("a final answer").status().as_u16()
            };
            (call.customer.id, call.kind.units, status)
        }));
    }
    let mut figures = Figures::new();
    for one in asked {
        let (customer, units, status) = one.await.expect("an answer");
        let of = figures.entry(customer).or_default();
        match status {
            200 => (of.0, of.1) = (of.0 + units, of.1 + 1),
            429 => of.2 += 1,
            // It was let in; that it failed is a node's doing.
            502 => (of.0, of.1) = (of.0 + units, of.1 + 1),
            other => panic!("status {other} in {mode:?}"),
        }
    }
    figures
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quotas_come_out_alike_in_direct_external_and_mixed_mode() {
    let (firms, kinds) = sample_traffic(GREEDY);
    let calls = generate(SEED, &firms, &kinds, LIMITERS, SECONDS);
    assert!(calls.len() >= 3000, "{}", calls.len());
    let fleets = [Mode::Direct, Mode::External, Mode::Mixed].map(|mode| (mode, start(mode)));
    let [direct, external, mixed] = &fleets;
    let (a, b, c) = tokio::join!(
        play(direct.0, &direct.1, &calls),
        play(external.0, &external.1, &calls),
        play(mixed.0, &mixed.1, &calls)
    );
    for (mode, fleet) in &fleets {
        let at_once = fleet.nodes.iter().map(Stub::max_concurrent_requests).max();
        assert_eq!(at_once, Some(1), "{mode:?}: a request was at a node twice at once");
    }
    let mut wrong = Vec::new();
    for firm in firms {
        let (_, rate, store) = PLANS.iter().find(|(name, ..)| *name == firm.plan).expect("a plan");
        let bound = store + rate + LARGEST;
        let units = [&a, &b, &c].map(|figures| figures[&firm.id].0);
        let (least, most) = units.iter().fold((f64::MAX, 0.0_f64), |(l, m), u| (l.min(*u), m.max(*u)));
        println!("firm {} on {}: units {units:?}, bound {bound}", firm.id, firm.plan);
        if most - least > bound {
            wrong.push((firm.id, units, bound));
        }
    }
    assert!(wrong.is_empty(), "seed {SEED:#x}: beyond the bound: {wrong:?}");
    let refused = |figures: &Figures| figures.values().map(|f| f.2).sum::<u32>();
    assert!(
        refused(&a) > 300 && refused(&b) > 300 && refused(&c) > 300,
        "firms beyond their quotas are refused"
    );
}
