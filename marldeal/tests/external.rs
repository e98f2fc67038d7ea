//! The external processor on sockets: the real program, stand-in proxies that ask it and enforce what it says, and
//! stand-in nodes. Each test causes the failure it is named after.

mod stubs;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use envoy_types::pb::envoy::service::auth::v3 as auth;
use envoy_types::pb::envoy::service::ext_proc::v3 as ext;
use envoy_types::pb::envoy::service::ratelimit::v3 as rls;
use ext::processing_request::Request as Phase;
use ext::processing_response::Response as Verdict;
use marldeal_standin::proxy::*;
use marldeal_standin::server::{Fault, Script};
use marldeal_standin::traffic::{Call, Customer, Kind};
use stubs::*;
use tonic::transport::{Channel, Endpoint};
use tonic::Code;

fn call(name: &str, class: &str) -> Call {
    Call {
        at_ms: 0.0,
        limiter: 0,
        name: name.to_string(),
        customer: Customer { id: 0xb4d65521, plan: "basic".into(), units_per_s: 1.0, spread: 1, first: 0 },
        kind: Kind { class: class.into(), keyed: class == "book", share: 1.0, units: 1.0, budget_s: 3.0 },
    }
}

/// A quota of a few units, 4 at least, that fills by one in two seconds.
fn quota(units: u32) -> impl Fn(String) -> String {
    move |c| {
        c.replace(r#""Rate":0,"StoreSize":0"#, &format!(r#""Rate":0.5,"StoreSize":{units}"#))
            .replace(r#""Cancelling":true"#, r#""Cancelling":true,"RetryAfter":true"#)
    }
}

fn same(config: String) -> String {
    config
}

async fn channel(addr: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{addr}"))
        .expect("an address")
        .connect()
        .await
        .expect("a connection")
}

async fn presented(channel: &Channel, call: &Call, count: Option<u32>) -> Stream {
    let stream = Stream::open(channel.clone()).await.expect("a stream");
    assert!(stream.send(request_headers(&call.request(), count)).await);
    stream
}

/// What a stream is told next, in short.
async fn told(stream: &mut Stream) -> String {
    match stream.next().await {
        Ok(answer) => match answer.response {
            Some(Verdict::RequestHeaders(r)) => {
                format!("go {}", set_header(r.response.as_ref(), DESTINATION_HEADER).unwrap_or_default())
            }
            Some(Verdict::ResponseHeaders(r)) => match set_header(r.response.as_ref(), RETRY_HEADER) {
                Some(node) => format!("retry {node}"),
                None => "pass".to_string(),
            },
            Some(Verdict::ImmediateResponse(r)) => r.status.map_or(0, |s| s.code).to_string(),
            other => format!("{other:?}"),
        },
        Err(ProcessorError::Stream(status)) => format!("{:?}", status.code()),
        Err(ProcessorError::NoAnswer) => "end".to_string(),
        Err(ProcessorError::Unexpected(what)) => what,
    }
}

fn answered(status: u16, more: &[(&str, &str)]) -> Phase {
    let mut pairs = vec![(":status", status.to_string())];
    pairs.extend(more.iter().map(|(name, value)| (*name, value.to_string())));
    Phase::ResponseHeaders(headers(pairs, true))
}

/// Stops the program; the line that it ends with tells what was left open.
fn stop(node: &mut Node) -> String {
    node.signal("TERM");
    assert_eq!(node.exit_code(), Some(0));
    node.wait_log("external processor: ");
    let log = node.log();
    log.lines().rev().find(|l| l.contains("external processor: ")).expect("a last line").to_string()
}

#[tokio::test]
async fn a_proxy_is_told_where_to_send_and_passes_the_answer_on() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], same, "");
    let channel = channel(node.processor()).await;
    let mut stream = presented(&channel, &call("c-1", "look"), Some(1)).await;
    let answer = stream.next().await.expect("an answer");
    assert_eq!(metadata(&answer, "envoy.lb", DESTINATION_HEADER), Some(server.addr.to_string()));
    let mode = answer.mode_override.expect("a mode");
    assert_eq!(
        (mode.response_header_mode, mode.response_body_mode),
        (1, 0),
        "headers are asked for, bodies not"
    );
    let Some(Verdict::RequestHeaders(go)) = answer.response else { panic!("not let in") };
    let header = |name| set_header(go.response.as_ref(), name).expect(name);
    assert_eq!(header(DESTINATION_HEADER), server.addr.to_string());
    assert!(header("x-envoy-upstream-rq-timeout-ms").parse::<u64>().is_ok_and(|ms| ms <= 3000));
    assert!(header("x-time-left").parse::<f64>().is_ok_and(|s| s <= 3.0));
    stream.send(answered(200, &[])).await;
    assert_eq!(told(&mut stream).await, "pass");

    let proxy = Proxy::connect(node.processor(), RetryMode::PerTry).await.expect("a proxy");
    let done = proxy.handle(&call("c-2", "book").request()).await.expect("an answer");
    assert_eq!((done.status, &done.body[..]), (200, &b"booked"[..]));
    assert_eq!(server.request_count(), 1, "the first stream was only talk");
    assert!(stop(&mut node).contains("0 open"));
}

#[tokio::test]
async fn beyond_its_quota_a_firm_is_refused_with_advice() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], quota(4), "");
    let proxy = Proxy::connect(node.processor(), RetryMode::None).await.expect("a proxy");
    let mut statuses = Vec::new();
    for n in 0..6 {
        let done = proxy.handle(&call(&format!("c-{n}"), "look").request()).await.expect("an answer");
        assert_eq!(done.retry_after.is_some(), done.status == 429);
        statuses.push(done.status);
    }
    assert_eq!(statuses, [200, 200, 200, 200, 429, 429]);
    // Direct mode counts with it: the same account is empty there too.
    assert_eq!(ask(&node, &get("look", "")).status, 429);
    assert_eq!(server.request_count(), 4);
}

/// Both shapes of a further attempt: the first answer never ran, the second serves; the firm pays once.
#[tokio::test]
async fn a_further_attempt_is_carried_out_by_the_proxy_in_both_shapes() {
    for (shape, extension) in
        [(RetryMode::PerTry, "retries = \"presented\""), (RetryMode::SameStream, "retries = \"looped\"")]
    {
        let script = Script { faults: vec![(0..2, Fault::Unprocessed)], ..Script::default() };
        let servers = [Stub::scripted(script), Stub::scripted(Script::default())];
        let all = [("s-1", &servers[0], "active"), ("s-2", &servers[1], "active")];
        let node = Node::proxied(&all, quota(4), extension);
        let proxy = Proxy::connect(node.processor(), shape).await.expect("a proxy");
        let mut attempts = 0;
        for n in 0..4 {
            let done = proxy.handle(&call(&format!("c-{n}"), "book").request()).await.expect("an answer");
            assert_eq!(done.status, 200, "{shape:?}");
            attempts += done.servers.len();
        }
        assert_eq!(servers[0].request_count() + servers[1].request_count(), attempts);
        let last = proxy.handle(&call("c-9", "book").request()).await.expect("an answer");
        assert_eq!(last.status, 429, "four tries were paid for, whatever their attempts");
    }
}

/// What has run, or may have, ends as a failure that promises nothing: 502, not the node's 500.
#[tokio::test]
async fn a_keyed_request_that_keeps_failing_ends_as_502() {
    let script = Script { faults: vec![(0..99, Fault::Error)], ..Script::default() };
    let server = Stub::scripted(script);
    let node = Node::proxied(&[("s-1", &server, "active")], same, "retries = \"looped\"");
    let proxy = Proxy::connect(node.processor(), RetryMode::SameStream).await.expect("a proxy");
    let done = proxy.handle(&call("c-1", "book").request()).await.expect("an answer");
    assert_eq!(done.status, 502);
    assert!((1..=3).contains(&server.request_count()) && server.max_concurrent_requests() == 1);
}

/// A node that is never reached has not run anything: a refusal, and no unit of doubt.
#[tokio::test]
async fn a_node_that_cannot_be_reached_is_a_refusal() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], same, "retries = \"looped\"");
    server.close();
    let proxy = Proxy::connect(node.processor(), RetryMode::SameStream).await.expect("a proxy");
    let done = proxy.handle(&call("c-1", "book").request()).await.expect("an answer");
    assert_eq!((done.status, server.request_count()), (429, 0));
}

#[tokio::test]
async fn bad_heads_are_answered_as_in_direct_mode() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], same, "");
    let channel = channel(node.processor()).await;
    type Change = fn(&mut Vec<(&'static str, String)>);
    let changes: [(&str, Change); 8] = [
        ("400", |h| h.retain(|(n, _)| *n != "x-weight")),
        ("400", |h| h.retain(|(n, _)| *n != "x-correlation-id")),
        ("400", |h| h.push(("x-tariff", "other".into()))),
        ("400", |h| h.push(("bad name", "x".into()))),
        ("400", |h| h.push((ATTEMPT_COUNT_HEADER, "0".into()))),
        ("404", |h| h.iter_mut().filter(|(n, _)| *n == ":path").for_each(|(_, v)| *v = "/look".into())),
        ("405", |h| h.iter_mut().filter(|(n, _)| *n == ":method").for_each(|(_, v)| *v = "POST".into())),
        ("431", |h| h.extend((0..200).map(|_| ("x-more", String::new())))),
    ];
    for (expected, change) in changes {
        let call = call("c-1", "look");
        let (method, path) = call.method_and_path();
        let mut pairs = vec![(":method", method.to_string()), (":path", path)];
        pairs.extend(call.headers());
        change(&mut pairs);
        let mut stream = Stream::open(channel.clone()).await.expect("a stream");
        stream.send(Phase::RequestHeaders(headers(pairs, true))).await;
        assert_eq!(told(&mut stream).await, expected);
    }
    assert!(stop(&mut node).contains("presented: 0"));
}

/// Headers of a proxy's own choice tell class, customer and plan; the path is the member firm's.
#[tokio::test]
async fn headers_are_mapped_as_the_extension_file_says() {
    let server = Stub::scripted(Script::default());
    let extension =
        "[external_processor.headers]\nclass = \"x-kind\"\ncustomer = \"x-firm\"\nplan = \"x-plan\"\n\
                     [external_processor.defaults]\ntime_left_s = 1.5\nweight = \"units=1,spread=1,first=0\"";
    let node = Node::proxied(&[("s-1", &server, "active")], same, extension);
    let mut stream = Stream::open(channel(node.processor()).await).await.expect("a stream");
    let pairs = [
        (":method", "PUT"),
        (":path", "/any/thing/at/all"),
        ("x-correlation-id", "c-1"),
        ("x-kind", "look"),
        ("x-firm", "00000000b4d65521"),
        ("x-plan", "basic"),
    ];
    let pairs = pairs.iter().map(|(n, v)| (*n, v.to_string())).collect();
    stream.send(Phase::RequestHeaders(headers(pairs, true))).await;
    assert_eq!(told(&mut stream).await, format!("go {}", server.addr));
}

/// The proxy leaves while the module still holds the request, for its only node drains: nothing remains open, nothing
/// was sent, and no unit stays taken.
#[tokio::test]
async fn a_proxy_that_cancels_before_the_verdict_leaves_nothing_behind() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], quota(4), "");
    node.discovery.push(&update_line(2, true, &[("s-1", server.addr, "leaving")]));
    node.wait_log("Draining");
    let channel = channel(node.processor()).await;
    for n in 0..3 {
        let mut stream = presented(&channel, &call(&format!("c-{n}"), "look"), Some(1)).await;
        let early = tokio::time::timeout(Duration::from_millis(30), stream.next()).await;
        assert!(early.is_err(), "the module holds it: {early:?}");
        drop(stream);
    }
    // Answered behind the cancels on the same connection: they have come by then.
    let mut bad = Stream::open(channel.clone()).await.expect("a stream");
    bad.send(Phase::RequestHeaders(headers(Vec::new(), true))).await;
    assert_eq!(told(&mut bad).await, "400");
    tokio::time::sleep(Duration::from_millis(50)).await;
    node.discovery.push(&update_line(3, true, &[("s-1", server.addr, "active")]));
    node.wait_log("Serving");
    wait_for("readiness", || ready(&node) == 200);
    // Had the three kept their units, one would be left.
    for n in 0..3 {
        let mut stream = presented(&channel, &call(&format!("d-{n}"), "look"), Some(1)).await;
        assert!(told(&mut stream).await.starts_with("go"), "unit {n} of the four is there");
        stream.send(answered(200, &[])).await;
        assert_eq!(told(&mut stream).await, "pass");
    }
    let line = stop(&mut node);
    assert!(line.contains("0 open") && line.contains("taken: 6, let_in: 3, again: 0"), "{line}");
}

/// Leaving after the verdict is another matter: the attempt may have reached the node, and its units stay taken, as
/// when a client of direct mode leaves.
#[tokio::test]
async fn a_proxy_that_cancels_after_the_verdict_has_spent_its_units() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], quota(4), "again_ms = 50");
    let channel = channel(node.processor()).await;
    for n in 0..4 {
        let mut stream = presented(&channel, &call(&format!("c-{n}"), "book"), Some(1)).await;
        assert!(told(&mut stream).await.starts_with("go"));
        drop(stream);
    }
    let mut stream = presented(&channel, &call("c-9", "book"), Some(1)).await;
    assert_eq!(told(&mut stream).await, "429");
    drop(stream);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let line = stop(&mut node);
    assert!(line.contains("0 open") && line.contains("unreported: 4"), "{line}");
}

/// The same request on two streams and on two connections at once: one is let in, the others hear that it is open.
#[tokio::test]
async fn a_request_presented_twice_at_once_is_let_in_once() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], same, "");
    let one = channel(node.processor()).await;
    let other = channel(node.processor()).await;
    let call = call("c-1", "book");
    let mut first = presented(&one, &call, Some(1)).await;
    assert!(told(&mut first).await.starts_with("go"));
    for (channel, count) in [(&one, Some(1)), (&other, Some(1)), (&other, None), (&one, Some(7))] {
        let mut second = presented(channel, &call, count).await;
        assert_eq!(told(&mut second).await, "409");
    }
    // One that asks something else under that name is no repeat of it; neither is one of the direct front.
    let mut different = call.clone();
    different.customer.id += 1;
    let mut second = presented(&other, &different, Some(1)).await;
    assert_eq!(told(&mut second).await, "409");
    assert_eq!(ask(&node, &get("look", "")).status, 409, "its id is c-1 as well");
    first.send(answered(200, &[])).await;
    assert_eq!(told(&mut first).await, "pass");
    // Served: the answer cannot be given again.
    let mut late = presented(&other, &call, Some(2)).await;
    assert_eq!(told(&mut late).await, "409");
}

/// The next try comes while the stream of the last one seems to be there still: it waits for its end, then goes on,
/// and never beside it.
#[tokio::test]
async fn the_next_presentation_waits_for_the_stream_before_it() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], same, "handover_ms = 5000");
    let (one, other) = (channel(node.processor()).await, channel(node.processor()).await);
    let call = call("c-1", "book");
    let mut first = presented(&one, &call, Some(1)).await;
    assert!(told(&mut first).await.starts_with("go"));
    let mut second = presented(&other, &call, Some(2)).await;
    let early = tokio::time::timeout(Duration::from_millis(100), second.next()).await;
    assert!(early.is_err(), "told something beside the attempt that is out: {early:?}");
    drop(first);
    assert!(told(&mut second).await.starts_with("go"));
    second.send(answered(200, &[])).await;
    assert_eq!(told(&mut second).await, "pass");
    drop(second);
    assert!(stop(&mut node).contains("taken: 1,"));
}

/// A later try of a request that this limiter does not know: what may have run elsewhere is not sent again.
#[tokio::test]
async fn an_unknown_later_try_of_a_keyed_request_fails() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], same, "");
    let channel = channel(node.processor()).await;
    let mut stream = presented(&channel, &call("c-1", "book"), Some(2)).await;
    assert_eq!(told(&mut stream).await, "502");
    let mut stream = presented(&channel, &call("c-2", "look"), Some(2)).await;
    assert!(told(&mut stream).await.starts_with("go"), "one that is safe to repeat goes on");
}

/// The same request presented to two limiters: neither knows of the other's. What is held: one attempt at a time at
/// each. What is not: both let it in, and it is paid for twice. A keyed one takes effect once, by its key.
#[tokio::test]
async fn two_limiters_both_let_the_same_request_in() {
    let server = Stub::scripted(Script::default());
    let nodes = [0, 1].map(|_| Node::proxied(&[("s-1", &server, "active")], quota(2), ""));
    for node in &nodes {
        let proxy = Proxy::connect(node.processor(), RetryMode::PerTry).await.expect("a proxy");
        let done = proxy.handle(&call("c-1", "book").request()).await.expect("an answer");
        assert_eq!(done.status, 200);
    }
    let keys: Vec<_> = server.requests().iter().map(|m| m.header("idempotency-key")).collect();
    assert_eq!(keys, [Some("key-c-1".to_string()), Some("key-c-1".to_string())]);
}

/// A proxy that never reports: the module's time for the request bounds it, the final answer comes unasked, and the
/// open slots come free.
#[tokio::test]
async fn a_proxy_that_never_reports_hears_the_final_answer_unasked() {
    let server = Stub::scripted(Script::default());
    let open = |c: String| c.replace(r#""Rate":0,"StoreSize":0"#, r#""Rate":0,"StoreSize":0,"AtOnce":2"#);
    let node = Node::proxied(&[("s-1", &server, "active")], open, "");
    let channel = channel(node.processor()).await;
    let mut silent = Vec::new();
    for n in 0..2 {
        let mut stream = presented(&channel, &call(&format!("c-{n}"), "look"), Some(1)).await;
        assert!(told(&mut stream).await.starts_with("go"));
        silent.push(stream);
    }
    let mut third = presented(&channel, &call("c-3", "look"), Some(1)).await;
    assert_eq!(told(&mut third).await, "429", "two are out at once");
    for mut stream in silent {
        // Safe to repeat: a refusal, though it may be running.
        assert_eq!(told(&mut stream).await, "429");
    }
    let mut fourth = presented(&channel, &call("c-4", "look"), Some(1)).await;
    assert!(told(&mut fourth).await.starts_with("go"), "the slots are free again");
}

/// A flood of streams on one connection takes what that connection may have, and no other's turn.
#[tokio::test]
async fn a_flood_of_streams_leaves_other_proxies_their_turn() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], same, "max_concurrent_streams = 16");
    let flooding = channel(node.processor()).await;
    let flood: Vec<_> = (0..400)
        .map(|n| {
            let channel = flooding.clone();
            tokio::spawn(async move {
                let mut stream = presented(&channel, &call(&format!("f-{n}"), "look"), Some(1)).await;
                let told = told(&mut stream).await;
                tokio::time::sleep(Duration::from_secs(5)).await;
                told
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let proxy = Proxy::connect(node.processor(), RetryMode::None).await.expect("a proxy");
    let began = Instant::now();
    for n in 0..20 {
        let done = proxy.handle(&call(&format!("c-{n}"), "look").request()).await.expect("an answer");
        assert_eq!(done.status, 200);
    }
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    flood.iter().for_each(|task| task.abort());
    drop(flooding);
    drop(proxy);
    let line = stop(&mut node);
    assert!(line.contains("presented: 36,"), "16 streams of the flood, 20 of the other: {line}");
}

/// More than may be open: turned away at once, and harmlessly.
#[tokio::test]
async fn beyond_the_bound_on_open_requests_a_presentation_is_turned_away() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], same, "max_open_requests = 3");
    let channel = channel(node.processor()).await;
    let mut open = Vec::new();
    for n in 0..3 {
        let mut stream = presented(&channel, &call(&format!("c-{n}"), "book"), Some(1)).await;
        assert!(told(&mut stream).await.starts_with("go"));
        open.push(stream);
    }
    let mut more = presented(&channel, &call("c-9", "book"), Some(1)).await;
    assert_eq!(told(&mut more).await, "503");
}

#[tokio::test]
async fn messages_out_of_order_end_the_stream_with_the_reason() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], same, "max_message_bytes = 4096");
    let channel = channel(node.processor()).await;
    let open = || async { Stream::open(channel.clone()).await.expect("a stream") };

    let mut stream = open().await;
    stream.send(answered(200, &[])).await;
    assert_eq!(told(&mut stream).await, "InvalidArgument");

    let mut stream = open().await;
    stream.send(Phase::RequestBody(ext::HttpBody::default())).await;
    assert_eq!(told(&mut stream).await, "InvalidArgument");

    let mut stream = open().await;
    stream.send_message(ext::ProcessingRequest::default()).await;
    assert_eq!(told(&mut stream).await, "InvalidArgument");

    let mut stream = presented(&channel, &call("c-1", "look"), Some(1)).await;
    assert!(told(&mut stream).await.starts_with("go"));
    stream.send(request_headers(&call("c-2", "look").request(), Some(1))).await;
    assert_eq!(told(&mut stream).await, "InvalidArgument");

    let mut stream = presented(&channel, &call("c-3", "look"), Some(1)).await;
    assert!(told(&mut stream).await.starts_with("go"));
    stream.send(Phase::ResponseHeaders(headers(vec![(":status", "many".to_string())], true))).await;
    assert_eq!(told(&mut stream).await, "InvalidArgument");

    let mut stream = open().await;
    let long = headers(vec![("x-long", "x".repeat(8192))], true);
    stream.send(Phase::RequestHeaders(long)).await;
    assert_eq!(told(&mut stream).await, "OutOfRange");

    // What a proxy may send though nobody asked: it is told to carry on, in the order of its messages.
    let mut stream = presented(&channel, &call("c-4", "book"), Some(1)).await;
    stream.send(Phase::RequestBody(ext::HttpBody { end_of_stream: true, ..Default::default() })).await;
    assert!(told(&mut stream).await.starts_with("go"));
    let body = stream.next().await.expect("an answer").response;
    assert!(matches!(body, Some(Verdict::RequestBody(_))), "{body:?}");
    stream.send(answered(200, &[])).await;
    assert_eq!(told(&mut stream).await, "pass");
    stream.send(Phase::ResponseTrailers(ext::HttpTrailers::default())).await;
    let trailers = stream.next().await.expect("an answer").response;
    assert!(matches!(trailers, Some(Verdict::ResponseTrailers(_))), "{trailers:?}");
    drop(stream);
    // What broke the order after its verdict is an orphan until nobody can come back for it.
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert!(stop(&mut node).contains("0 open"));
}

/// A message with a field that this version does not know.
#[derive(Clone, PartialEq, prost::Message)]
struct Newer {
    #[prost(message, optional, tag = "2")]
    request_headers: Option<ext::HttpHeaders>,
    #[prost(string, tag = "900")]
    unheard: String,
}

#[tokio::test]
async fn unknown_fields_are_passed_over() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], same, "");
    let mut grpc = tonic::client::Grpc::new(channel(node.processor()).await);
    grpc.ready().await.expect("ready");
    let Phase::RequestHeaders(known) = request_headers(&call("c-1", "look").request(), None) else {
        panic!()
    };
    let message = Newer { request_headers: Some(known), unheard: "of".to_string() };
    let path = "/envoy.service.ext_proc.v3.ExternalProcessor/Process".parse().expect("a path");
    let codec = tonic_prost::ProstCodec::<Newer, ext::ProcessingResponse>::default();
    let requests = tokio_stream::StreamExt::chain(tokio_stream::once(message), tokio_stream::pending());
    let answers = grpc.streaming(tonic::Request::new(requests), path, codec).await.expect("a stream");
    let answer = answers.into_inner().message().await.expect("no error").expect("an answer");
    assert!(matches!(answer.response, Some(Verdict::RequestHeaders(_))), "{answer:?}");
}

#[tokio::test]
async fn in_observability_mode_nothing_is_answered_or_decided() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], quota(1), "");
    let mut stream = Stream::open(channel(node.processor()).await).await.expect("a stream");
    for n in 0..3 {
        let request = Some(request_headers(&call(&format!("c-{n}"), "look").request(), None));
        stream
            .send_message(ext::ProcessingRequest { request, observability_mode: true, ..Default::default() })
            .await;
    }
    let answer = tokio::time::timeout(Duration::from_millis(300), stream.next()).await;
    assert!(answer.is_err(), "{answer:?}");
    drop(stream);
    assert_eq!(ask(&node, &get("look", "")).status, 200, "the quota's one unit is there still");
    let line = stop(&mut node);
    assert!(line.contains("3 observed") && line.contains("presented: 0,"), "{line}");
}

/// A half-open proxy: it said hello and answers no PING. It is cut, and what it carried is over.
#[tokio::test]
async fn a_connection_that_answers_no_ping_is_closed() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], same, "keepalive_ms = 200");
    let mut raw = TcpStream::connect(node.processor()).expect("connect");
    raw.set_read_timeout(Some(Duration::from_secs(10))).expect("time-out");
    // Preface and an empty SETTINGS frame (RFC 9113, sections 3.4 and 6.5).
    raw.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").expect("write");
    let mut all = Vec::new();
    let ended = raw.read_to_end(&mut all);
    assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
}

/// Connections that say nothing, and more of them than may be open: cut, and the others are served.
#[tokio::test]
async fn silent_connections_keep_nobody_out_for_long() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], same, "max_connections = 4");
    let mut silent: Vec<TcpStream> =
        (0..4).map(|_| TcpStream::connect(node.processor()).expect("connect")).collect();
    node.wait_log("external processor on");
    std::thread::sleep(Duration::from_millis(100));
    let mut refused = TcpStream::connect(node.processor()).expect("connect");
    refused.set_read_timeout(Some(Duration::from_secs(10))).expect("time-out");
    assert_eq!(refused.read(&mut [0; 8]).unwrap_or(0), 0, "one too many is closed at once");
    node.wait_log("4 connections are open");
    for stream in &mut silent {
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("time-out");
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
    }
    let proxy = Proxy::connect(node.processor(), RetryMode::None).await.expect("a proxy");
    assert_eq!(proxy.handle(&call("c-1", "look").request()).await.expect("an answer").status, 200);
}

fn framed(message: &ext::ProcessingRequest) -> Bytes {
    let body = prost::Message::encode_to_vec(message);
    let mut all = vec![0];
    all.extend_from_slice(&(body.len() as u32).to_be_bytes());
    all.extend_from_slice(&body);
    all.into()
}

/// A proxy that gives no flow-control window: its verdicts cannot be told, yet nobody else waits and nothing is left.
#[tokio::test]
async fn stalled_flow_control_holds_up_nobody_else() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], same, "again_ms = 50");
    let tcp = tokio::net::TcpStream::connect(node.processor()).await.expect("connect");
    let (h2, connection) = h2::client::Builder::new()
        .initial_window_size(0)
        .handshake::<_, Bytes>(tcp)
        .await
        .expect("a handshake");
    let driving = tokio::spawn(async move { drop(connection.await) });
    let mut stalled = Vec::new();
    let mut h2 = h2.ready().await.expect("ready");
    for n in 0..32 {
        let request = hyper::Request::post(format!(
            "http://{}/envoy.service.ext_proc.v3.ExternalProcessor/Process",
            node.processor()
        ))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(())
        .expect("a request");
        let (answer, mut body) = h2.send_request(request, false).expect("a stream");
        let request = Some(request_headers(&call(&format!("s-{n}"), "look").request(), None));
        let message = ext::ProcessingRequest { request, ..Default::default() };
        body.send_data(framed(&message), false).expect("sent");
        stalled.push((answer, body));
        h2 = h2.ready().await.expect("ready");
    }
    let proxy = Proxy::connect(node.processor(), RetryMode::None).await.expect("a proxy");
    for n in 0..20 {
        let done = proxy.handle(&call(&format!("c-{n}"), "look").request()).await.expect("an answer");
        assert_eq!(done.status, 200);
    }
    drop((stalled, h2, proxy));
    driving.abort();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let line = stop(&mut node);
    assert!(line.contains("0 open") && line.contains("presented: 52,"), "{line}");
}

/// SIGTERM while decisions are open: those end well, new streams are turned away (GOAWAY), and the program ends.
#[tokio::test]
async fn a_drain_finishes_what_is_open_and_takes_nothing_new() {
    let server = Stub::scripted(Script::default());
    let mut node = Node::proxied(&[("s-1", &server, "active")], same, "");
    let one = channel(node.processor()).await;
    let mut open = presented(&one, &call("c-1", "book"), Some(1)).await;
    assert!(told(&mut open).await.starts_with("go"));
    node.signal("TERM");
    node.wait_log("SIGTERM: finishing");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(TcpStream::connect(node.processor()).is_err(), "the listener is closed");
    open.send(answered(200, &[])).await;
    assert_eq!(told(&mut open).await, "pass");
    drop(open);
    assert_eq!(node.exit_code(), Some(0));
    assert!(node.log().contains("0 open, 0 observed"), "{}", node.log());
}

/// The two smaller protocols decide from the same core: a firm's units are the same ones.
#[tokio::test]
async fn authorization_and_rate_limit_service_share_the_quota() {
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], quota(4), "assumed_ms = 10");
    let channel = channel(node.processor()).await;

    let mut authorization = auth::authorization_client::AuthorizationClient::new(channel.clone());
    let check = |name: &str| {
        let request = call(name, "look").request();
        let headers = request.headers().iter();
        let http = auth::attribute_context::HttpRequest {
            method: "GET".to_string(),
            path: request.uri().to_string(),
            headers: headers.map(|(n, v)| (n.to_string(), v.to_str().unwrap_or("").to_string())).collect(),
            ..Default::default()
        };
        let request = auth::attribute_context::Request { http: Some(http), ..Default::default() };
        auth::CheckRequest {
            attributes: Some(auth::AttributeContext { request: Some(request), ..Default::default() }),
        }
    };
    let answer = authorization.check(check("a-1")).await.expect("an answer").into_inner();
    assert_eq!(answer.status.map(|s| s.code), Some(0));
    let Some(auth::check_response::HttpResponse::OkResponse(ok)) = answer.http_response else { panic!() };
    assert!(ok.headers.iter().any(|h| h.header.as_ref().is_some_and(|h| h.key == DESTINATION_HEADER)));
    // The same request again is no further attempt here: this protocol cannot say so.
    let again = authorization.check(check("a-1")).await.expect("an answer").into_inner();
    assert_ne!(again.status.map(|s| s.code), Some(0));

    let mut limits = rls::rate_limit_service_client::RateLimitServiceClient::new(channel.clone());
    let entry = |key: &str, value: &str| {
        envoy_types::pb::envoy::extensions::common::ratelimit::v3::rate_limit_descriptor::Entry {
            key: key.to_string(),
            value: value.to_string(),
        }
    };
    let entries = vec![
        entry(":path", "/look/00000000b4d65521"),
        entry("x-tariff", "basic"),
        entry("x-time-left", "3.0"),
        entry("x-weight", "units=1,spread=1,first=0"),
    ];
    let descriptor = envoy_types::pb::envoy::extensions::common::ratelimit::v3::RateLimitDescriptor {
        entries: entries.clone(),
        ..Default::default()
    };
    let request = rls::RateLimitRequest {
        descriptors: vec![descriptor],
        domain: "booking".into(),
        ..Default::default()
    };
    // One of the four units went to the check above.
    for _ in 0..3 {
        let ok = limits.should_rate_limit(request.clone()).await.expect("an answer").into_inner();
        assert_eq!(ok.overall_code, rls::rate_limit_response::Code::Ok as i32);
    }
    let over = limits.should_rate_limit(request).await.expect("an answer").into_inner();
    assert_eq!(over.overall_code, rls::rate_limit_response::Code::OverLimit as i32);
    assert!(over.response_headers_to_add.iter().any(|h| h.key == "retry-after"));
    let empty = limits.should_rate_limit(rls::RateLimitRequest::default()).await.expect_err("no descriptor");
    assert_eq!(empty.code(), Code::InvalidArgument);
    let denied = authorization.check(check("a-2")).await.expect("an answer").into_inner();
    let Some(auth::check_response::HttpResponse::DeniedResponse(denied)) = denied.http_response else {
        panic!()
    };
    assert_eq!(denied.status.map(|s| s.code), Some(429));
    assert_eq!(server.request_count(), 0);
}

/// With trailers asked for, a good answer counts once it has come whole: a proxy that breaks off before that reports a
/// request that may have run, not a served one.
#[tokio::test]
async fn with_trailers_an_answer_counts_once_it_has_come_whole() {
    let server = Stub::scripted(Script::default());
    let mut node =
        Node::proxied(&[("s-1", &server, "active")], same, "response_trailers = true\nagain_ms = 50");
    let channel = channel(node.processor()).await;
    let begun = || Phase::ResponseHeaders(headers(vec![(":status", "200".to_string())], false));
    let mut whole = presented(&channel, &call("c-1", "book"), Some(1)).await;
    let answer = whole.next().await.expect("an answer");
    assert_eq!(answer.mode_override.map(|m| m.response_trailer_mode), Some(1), "trailers are asked for");
    whole.send(begun()).await;
    assert_eq!(told(&mut whole).await, "pass");
    for _ in 0..2 {
        whole.send(Phase::ResponseTrailers(ext::HttpTrailers::default())).await;
        assert!(matches!(
            whole.next().await.expect("an answer").response,
            Some(Verdict::ResponseTrailers(_))
        ));
    }
    let mut broken = presented(&channel, &call("c-2", "book"), Some(1)).await;
    assert!(told(&mut broken).await.starts_with("go"));
    broken.send(begun()).await;
    assert_eq!(told(&mut broken).await, "pass");
    drop(broken);
    drop(whole);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let line = stop(&mut node);
    assert!(
        line.contains("0 open") && line.contains("served: 1,") && line.contains("unreported: 1"),
        "{line}"
    );
}

#[tokio::test]
async fn the_health_service_says_when_requests_can_be_served() {
    use tonic_health::pb::{health_client::HealthClient, HealthCheckRequest};
    let server = Stub::scripted(Script::default());
    let node = Node::proxied(&[("s-1", &server, "active")], same, "");
    let mut health = HealthClient::new(channel(node.processor()).await);
    let mut status = 0;
    for _ in 0..100 {
        let request = HealthCheckRequest { service: String::new() };
        status = health.check(request).await.expect("an answer").into_inner().status;
        if status == 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(status, 1);
    node.discovery.push(&update_line(2, true, &[]));
    for _ in 0..100 {
        let request = HealthCheckRequest { service: String::new() };
        status = health.check(request).await.expect("an answer").into_inner().status;
        if status == 2 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("still {status} without a server");
}

#[test]
fn a_bad_extension_file_is_refused_with_its_key() {
    let check = |text: &str| {
        let path = std::env::temp_dir().join(format!("marldeal-bad-{}.toml", std::process::id()));
        std::fs::write(&path, text).expect("written");
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_marldeal"));
        let output = command.arg("check").arg(&path).output().expect("the program starts");
        let _ = std::fs::remove_file(path);
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let (code, text) = check(
        "[external_processor]\nlisten = \"nowhere\"\nmax_conections = 3\nagain_ms = \"soon\"\nretries = \"often\"\n",
    );
    assert_eq!(code, Some(1));
    let keys = ["listen", "max_conections", "again_ms", "retries"];
    for key in keys {
        assert!(text.contains(&format!("external_processor.{key}: ")), "{key}: {text}");
    }
    assert_eq!(text.lines().count(), keys.len(), "{text}");
    let (code, text) =
        check("[external_processor]\nstream_ms = 0\n[external_processor.headers]\nkey = \"a b\"\n");
    assert_eq!((code, text.lines().count()), (Some(1), 3), "listen, stream_ms and headers.key: {text}");
    let (code, text) = check("[external_processor]\nlisten = \"127.0.0.1:0\"\n");
    assert_eq!(code, Some(0), "{text}");
}
