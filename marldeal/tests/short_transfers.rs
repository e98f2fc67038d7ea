//! Reads and writes of the program transfer a few bytes each, and the rest stays in the socket or the buffer. The
//! kernel reports such a socket once: it is an event of an edge-triggered wait, and nothing new happens. All fronts
//! serve as before, alone and in spells of half a second.

mod stubs;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use envoy_types::pb::envoy::service::auth::v3 as auth;
use marldeal_standin::message;
use stubs::*;
use tonic::transport::Endpoint;

const CLIENTS: usize = 40;
const RUN_TIME: Duration = Duration::from_secs(2);
/// A connection that starves is closed after 2.3 s at the earliest.
const MAX_LATENCY: Duration = Duration::from_millis(2000);
const ANSWER_BYTES: usize = 2000;

/// Every read and write that could transfer more than one byte is short.
const SHORT: FailingCalls = FailingCalls {
    short_reads: 1000,
    short_writes: 1000,
    short_spell_ms: 0,
    interrupted: 0,
    accepts: 0,
    connects: 0,
    broken: 0,
    slow_us: 0,
    defer_accept_s: 0,
    held_writes: 0,
    hold_ms: 0,
    first_sockets: 0,
    first_binds: 0,
    wall_clock_ms: 0,
    seed: 17,
};

/// What the clients saw.
#[derive(Debug, Default)]
struct Seen {
    answered: usize,
    /// Requests without a whole answer within [`MAX_LATENCY`].
    starved: usize,
    longest: Duration,
}

/// Sends requests one after another on kept connections, until the time is over.
fn run_client(addr: SocketAddr, client: usize) -> Seen {
    let mut seen = Seen::default();
    let began = Instant::now();
    'connections: while began.elapsed() < RUN_TIME {
        let mut stream = TcpStream::connect(addr).expect("connect");
        stream.set_read_timeout(Some(MAX_LATENCY)).expect("time-out");
        while began.elapsed() < RUN_TIME {
            let sent_at = Instant::now();
            let key = format!("k{client}-{}-{}", seen.answered, seen.starved);
            let written = stream.write_all(post("book", &key, "", &"x".repeat(500)).as_bytes());
            let answer = written.ok().and_then(|()| message::read(&mut stream));
            if !answer.is_some_and(|a| a.status == 200 && a.body.len() == ANSWER_BYTES) {
                seen.starved += 1;
                continue 'connections;
            }
            seen.answered += 1;
            seen.longest = seen.longest.max(sent_at.elapsed());
        }
    }
    seen
}

fn run_clients(addr: SocketAddr) -> Seen {
    let clients: Vec<_> = (0..CLIENTS).map(|n| std::thread::spawn(move || run_client(addr, n))).collect();
    let mut all = Seen::default();
    for client in clients {
        let seen = client.join().expect("a client");
        all.answered += seen.answered;
        all.starved += seen.starved;
        all.longest = all.longest.max(seen.longest);
    }
    all
}

/// Describes connections that starved.
fn violation(seen: &Seen) -> Option<String> {
    (seen.starved > 0 || seen.longest > MAX_LATENCY || seen.answered < CLIENTS).then(|| format!("{seen:?}"))
}

fn answering_server() -> Stub {
    Stub::new(|_, stream| write_ok(stream, &"y".repeat(ANSWER_BYTES)))
}

#[test]
fn short_reads_and_writes_starve_no_connection() {
    for (name, calls) in [
        ("none", FailingCalls { short_reads: 0, short_writes: 0, ..SHORT }),
        ("reads", FailingCalls { short_writes: 0, ..SHORT }),
        ("writes", FailingCalls { short_reads: 0, ..SHORT }),
        ("both", SHORT),
        ("one in five", FailingCalls { short_reads: 200, short_writes: 200, ..SHORT }),
        ("both in spells", FailingCalls { short_spell_ms: 500, ..SHORT }),
    ] {
        let server = answering_server();
        let limiter = Limiter::with_failing_calls(&[("s-1", &server, "active")], |c| c, &calls);
        let seen = run_clients(limiter.addr);
        println!("{name}: {seen:?}");
        assert_eq!(violation(&seen), None, "{name}");
    }
}

/// Guards against an operator's call that is read in part and never answered.
#[test]
fn management_calls_are_answered_despite_short_reads_and_writes() {
    let server = answering_server();
    let limiter = Limiter::with_all_fronts_and_failing_calls(&[("s-1", &server, "active")], &SHORT);
    for _ in 0..20 {
        let mut stream = TcpStream::connect(limiter.management_addr()).expect("connect");
        stream.set_read_timeout(Some(MAX_LATENCY)).expect("time-out");
        stream.write_all(b"stats\n").expect("write");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("SUCCESS") && answer.contains("outstanding=0"), "{answer}");
    }
}

/// Guards against proxies that wait for a verdict on a request that was read in part.
#[tokio::test]
async fn proxies_are_answered_despite_short_reads_and_writes() {
    let server = answering_server();
    let limiter = Limiter::with_all_fronts_and_failing_calls(&[("s-1", &server, "active")], &SHORT);
    let endpoint = Endpoint::from_shared(format!("http://{}", limiter.processor_addr())).expect("an address");
    let channel = endpoint.timeout(MAX_LATENCY).connect().await.expect("a connection");
    let mut authorization = auth::authorization_client::AuthorizationClient::new(channel);
    for n in 0..20 {
        let pairs = [
            ("x-correlation-id", format!("c-{n}")),
            ("x-tariff", "basic".to_string()),
            ("x-time-left", "3.0".to_string()),
            ("x-weight", "units=1,spread=1,first=0".to_string()),
        ];
        let http = auth::attribute_context::HttpRequest {
            method: "GET".to_string(),
            path: "/look/00000000b4d65521".to_string(),
            headers: pairs.into_iter().map(|(name, value)| (name.to_string(), value)).collect(),
            ..Default::default()
        };
        let request = auth::attribute_context::Request { http: Some(http), ..Default::default() };
        let check = auth::CheckRequest {
            attributes: Some(auth::AttributeContext { request: Some(request), ..Default::default() }),
        };
        let answer = authorization.check(check).await.expect("an answer in time").into_inner();
        assert_eq!(answer.status.map(|s| s.code), Some(0), "request {n}");
    }
}

/// The check finds a server that reads a part of a request and is never told of the rest.
#[test]
fn starving_connections_are_found() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut starving = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let answered =
                message::read(&mut stream).is_some_and(|_| write_ok(&mut stream, &"y".repeat(ANSWER_BYTES)));
            let _ = stream.read(&mut [0; 64]);
            starving.push((answered, stream));
        }
    });
    let seen = run_clients(addr);
    assert!(seen.starved > 0 && violation(&seen).is_some(), "{seen:?}");
}
