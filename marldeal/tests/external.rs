//! The external processor on sockets: the real program, stand-in proxies that consult it and enforce its verdicts,
//! and stub servers. Each test causes the failure it is named after.

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

/// Gives the plan a burst of `units` units, refilled by one unit every two seconds, and turns on `RetryAfter`.
fn with_quota(units: u32) -> impl Fn(String) -> String {
    move |c| {
        c.replace(r#""Rate":0,"StoreSize":0"#, &format!(r#""Rate":0.5,"StoreSize":{units}"#))
            .replace(r#""Cancelling":true"#, r#""Cancelling":true,"RetryAfter":true"#)
    }
}

fn unchanged(config: String) -> String {
    config
}

async fn channel(addr: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{addr}"))
        .expect("an address")
        .connect()
        .await
        .expect("a connection")
}

/// Opens a stream and sends the request headers, with `count` as the proxy's attempt count.
async fn present(channel: &Channel, call: &Call, count: Option<u32>) -> Stream {
    let stream = Stream::open(channel.clone()).await.expect("a stream");
    assert!(stream.send(request_headers(&call.request(), count)).await);
    stream
}

/// The next message on a stream, abbreviated: `go SERVER`, `retry SERVER`, `pass`, a status, a gRPC code or `end`.
async fn next_verdict(stream: &mut Stream) -> String {
    match stream.next().await {
        Ok(answer) => match answer.response {
            Some(Verdict::RequestHeaders(r)) => {
                format!("go {}", set_header(r.response.as_ref(), DESTINATION_HEADER).unwrap_or_default())
            }
            Some(Verdict::ResponseHeaders(r)) => match set_header(r.response.as_ref(), RETRY_HEADER) {
                Some(server) => format!("retry {server}"),
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

/// The message in which a proxy reports the head of a server's answer.
fn response_headers(status: u16, more: &[(&str, &str)]) -> Phase {
    let mut pairs = vec![(":status", status.to_string())];
    pairs.extend(more.iter().map(|(name, value)| (*name, value.to_string())));
    Phase::ResponseHeaders(headers(pairs, true))
}

/// Stops the program and returns its last log line of the external processor, which counts what was left open.
fn stop(limiter: &mut Limiter) -> String {
    limiter.signal("TERM");
    assert_eq!(limiter.exit_code(), Some(0));
    limiter.wait_log("external processor: ");
    let log = limiter.log();
    log.lines()
        .rev()
        .find(|l| l.contains("external processor: "))
        .expect("a line of the external processor")
        .to_string()
}

#[tokio::test]
async fn proxy_gets_a_destination_and_passes_the_answer_on() {
    let server = Stub::scripted(Script::default());
    let mut limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "");
    let channel = channel(limiter.processor_addr()).await;
    let mut stream = present(&channel, &call("c-1", "look"), Some(1)).await;
    let answer = stream.next().await.expect("an answer");
    assert_eq!(metadata(&answer, "envoy.lb", DESTINATION_HEADER), Some(server.addr.to_string()));
    let mode = answer.mode_override.expect("a mode");
    assert_eq!(
        (mode.response_header_mode, mode.response_body_mode),
        (1, 0),
        "response headers are requested, bodies are not"
    );
    let Some(Verdict::RequestHeaders(go)) = answer.response else { panic!("not admitted") };
    let header = |name| set_header(go.response.as_ref(), name).expect(name);
    assert_eq!(header(DESTINATION_HEADER), server.addr.to_string());
    assert!(header("x-envoy-upstream-rq-timeout-ms").parse::<u64>().is_ok_and(|ms| ms <= 3000));
    assert!(header("x-time-left").parse::<f64>().is_ok_and(|s| s <= 3.0));
    stream.send(response_headers(200, &[])).await;
    assert_eq!(next_verdict(&mut stream).await, "pass");

    let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::PerTry).await.expect("a proxy");
    let done = proxy.handle(&call("c-2", "book").request()).await.expect("an answer");
    assert_eq!((done.status, &done.body[..]), (200, &b"booked"[..]));
    assert_eq!(server.request_count(), 1, "the first stream sent nothing to the server");
    assert!(stop(&mut limiter).contains("0 open"));
}

#[tokio::test]
async fn customer_beyond_its_quota_is_refused_with_retry_after() {
    let server = Stub::scripted(Script::default());
    let limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], with_quota(4), "");
    let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::None).await.expect("a proxy");
    let mut statuses = Vec::new();
    for n in 0..6 {
        let done = proxy.handle(&call(&format!("c-{n}"), "look").request()).await.expect("an answer");
        assert_eq!(done.retry_after.is_some(), done.status == 429);
        statuses.push(done.status);
    }
    assert_eq!(statuses, [200, 200, 200, 200, 429, 429]);
    // Direct mode draws on the same quota, which is used up there too.
    assert_eq!(send_request(&limiter, &get("look", "")).status, 429);
    assert_eq!(server.request_count(), 4);
}

/// Both forms of a retry: the first attempt never ran, the second one is served; the customer is charged once.
#[tokio::test]
async fn proxy_carries_out_a_retry_in_both_modes() {
    for (shape, extension) in
        [(RetryMode::PerTry, "retries = \"presented\""), (RetryMode::SameStream, "retries = \"looped\"")]
    {
        let script = Script { faults: vec![(0..2, Fault::Unprocessed)], ..Script::default() };
        let servers = [Stub::scripted(script), Stub::scripted(Script::default())];
        let all = [("s-1", &servers[0], "active"), ("s-2", &servers[1], "active")];
        let limiter = Limiter::with_external_processor(&all, with_quota(4), extension);
        let proxy = Proxy::connect(limiter.processor_addr(), shape).await.expect("a proxy");
        let mut attempts = 0;
        for n in 0..4 {
            let done = proxy.handle(&call(&format!("c-{n}"), "book").request()).await.expect("an answer");
            assert_eq!(done.status, 200, "{shape:?}");
            attempts += done.servers.len();
        }
        assert_eq!(servers[0].request_count() + servers[1].request_count(), attempts);
        let last = proxy.handle(&call("c-9", "book").request()).await.expect("an answer");
        assert_eq!(last.status, 429, "four requests were charged, however many attempts they took");
    }
}

/// A request that ran or may have run ends as 502, which does not allow a retry, instead of the server's 500.
#[tokio::test]
async fn keyed_request_that_keeps_failing_ends_as_502() {
    let script = Script { faults: vec![(0..99, Fault::Error)], ..Script::default() };
    let server = Stub::scripted(script);
    let limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "retries = \"looped\"");
    let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::SameStream).await.expect("a proxy");
    let done = proxy.handle(&call("c-1", "book").request()).await.expect("an answer");
    assert_eq!(done.status, 502);
    assert!((1..=3).contains(&server.request_count()) && server.max_concurrent_requests() == 1);
}

/// A request whose server could not be reached did not run, so it is refused.
#[tokio::test]
async fn unreachable_server_leads_to_a_refusal() {
    let server = Stub::scripted(Script::default());
    let limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "retries = \"looped\"");
    server.close();
    let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::SameStream).await.expect("a proxy");
    let done = proxy.handle(&call("c-1", "book").request()).await.expect("an answer");
    assert_eq!((done.status, server.request_count()), (429, 0));
}

#[tokio::test]
async fn malformed_heads_are_answered_as_in_direct_mode() {
    let server = Stub::scripted(Script::default());
    let mut limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "");
    let channel = channel(limiter.processor_addr()).await;
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
        assert_eq!(next_verdict(&mut stream).await, expected);
    }
    assert!(stop(&mut limiter).contains("presented: 0"));
}

/// Class, customer and plan are read from headers chosen in the settings; the path is the tenant's own.
#[tokio::test]
async fn headers_are_mapped_as_configured() {
    let server = Stub::scripted(Script::default());
    let extension =
        "[external_processor.headers]\nclass = \"x-kind\"\ncustomer = \"x-firm\"\nplan = \"x-plan\"\n\
                     [external_processor.defaults]\ntime_left_s = 1.5\nweight = \"units=1,spread=1,first=0\"";
    let limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, extension);
    let mut stream = Stream::open(channel(limiter.processor_addr()).await).await.expect("a stream");
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
    assert_eq!(next_verdict(&mut stream).await, format!("go {}", server.addr));
}

/// The proxy cancels while the core still holds the request because its only server drains: nothing stays open,
/// nothing was sent, and no unit stays charged.
#[tokio::test]
async fn cancellation_before_the_verdict_releases_the_request() {
    let server = Stub::scripted(Script::default());
    let mut limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], with_quota(4), "");
    limiter.discovery.push(&update_line(2, true, &[("s-1", server.addr, "leaving")]));
    limiter.wait_log("Draining");
    let channel = channel(limiter.processor_addr()).await;
    for n in 0..3 {
        let mut stream = present(&channel, &call(&format!("c-{n}"), "look"), Some(1)).await;
        let early = tokio::time::timeout(Duration::from_millis(30), stream.next()).await;
        assert!(early.is_err(), "the core holds the request: {early:?}");
        drop(stream);
    }
    // This answer comes after the cancellations on the same connection, so they have arrived by then.
    let mut bad = Stream::open(channel.clone()).await.expect("a stream");
    bad.send(Phase::RequestHeaders(headers(Vec::new(), true))).await;
    assert_eq!(next_verdict(&mut bad).await, "400");
    tokio::time::sleep(Duration::from_millis(50)).await;
    limiter.discovery.push(&update_line(3, true, &[("s-1", server.addr, "active")]));
    limiter.wait_log("Serving");
    wait_for("readiness", || ready(&limiter) == 200);
    // Only one unit would be left if the three cancelled requests were still charged.
    for n in 0..3 {
        let mut stream = present(&channel, &call(&format!("d-{n}"), "look"), Some(1)).await;
        assert!(next_verdict(&mut stream).await.starts_with("go"), "unit {n} of the four is available");
        stream.send(response_headers(200, &[])).await;
        assert_eq!(next_verdict(&mut stream).await, "pass");
    }
    let line = stop(&mut limiter);
    assert!(line.contains("0 open") && line.contains("taken: 6, let_in: 3, again: 0"), "{line}");
}

/// After the verdict the attempt may have reached the server, so its units stay charged, as when a client of
/// direct mode disconnects.
#[tokio::test]
async fn cancellation_after_the_verdict_keeps_the_units_charged() {
    let server = Stub::scripted(Script::default());
    let mut limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], with_quota(4), "again_ms = 50");
    let channel = channel(limiter.processor_addr()).await;
    for n in 0..4 {
        let mut stream = present(&channel, &call(&format!("c-{n}"), "book"), Some(1)).await;
        assert!(next_verdict(&mut stream).await.starts_with("go"));
        drop(stream);
    }
    let mut stream = present(&channel, &call("c-9", "book"), Some(1)).await;
    assert_eq!(next_verdict(&mut stream).await, "429");
    drop(stream);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let line = stop(&mut limiter);
    assert!(line.contains("0 open") && line.contains("unreported: 4"), "{line}");
}

/// The same request on several streams and connections at once: one is admitted, the others get 409.
#[tokio::test]
async fn request_presented_twice_at_once_is_admitted_once() {
    let server = Stub::scripted(Script::default());
    let limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "");
    let one = channel(limiter.processor_addr()).await;
    let other = channel(limiter.processor_addr()).await;
    let call = call("c-1", "book");
    let mut first = present(&one, &call, Some(1)).await;
    assert!(next_verdict(&mut first).await.starts_with("go"));
    for (channel, count) in [(&one, Some(1)), (&other, Some(1)), (&other, None), (&one, Some(7))] {
        let mut second = present(channel, &call, count).await;
        assert_eq!(next_verdict(&mut second).await, "409");
    }
    // A different request with the same id is no repeat; neither is one of direct mode.
    let mut different = call.clone();
    different.customer.id += 1;
    let mut second = present(&other, &different, Some(1)).await;
    assert_eq!(next_verdict(&mut second).await, "409");
    assert_eq!(send_request(&limiter, &get("look", "")).status, 409, "its id is c-1 too");
    first.send(response_headers(200, &[])).await;
    assert_eq!(next_verdict(&mut first).await, "pass");
    // The request was served, and its answer cannot be given again.
    let mut late = present(&other, &call, Some(2)).await;
    assert_eq!(next_verdict(&mut late).await, "409");
}

/// A repeated presentation arrives while the previous stream still seems open: it waits until that one has
/// ended and never runs beside it.
#[tokio::test]
async fn next_presentation_waits_for_the_previous_stream() {
    let server = Stub::scripted(Script::default());
    let mut limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "handover_ms = 5000");
    let (one, other) = (channel(limiter.processor_addr()).await, channel(limiter.processor_addr()).await);
    let call = call("c-1", "book");
    let mut first = present(&one, &call, Some(1)).await;
    assert!(next_verdict(&mut first).await.starts_with("go"));
    let mut second = present(&other, &call, Some(2)).await;
    let early = tokio::time::timeout(Duration::from_millis(100), second.next()).await;
    assert!(early.is_err(), "answered while the first attempt was open: {early:?}");
    drop(first);
    assert!(next_verdict(&mut second).await.starts_with("go"));
    second.send(response_headers(200, &[])).await;
    assert_eq!(next_verdict(&mut second).await, "pass");
    drop(second);
    assert!(stop(&mut limiter).contains("taken: 1,"));
}

/// A repeated keyed request that this limiter does not know may have run elsewhere, so it is not sent again.
#[tokio::test]
async fn unknown_retry_of_a_keyed_request_fails() {
    let server = Stub::scripted(Script::default());
    let limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "");
    let channel = channel(limiter.processor_addr()).await;
    let mut stream = present(&channel, &call("c-1", "book"), Some(2)).await;
    assert_eq!(next_verdict(&mut stream).await, "502");
    let mut stream = present(&channel, &call("c-2", "look"), Some(2)).await;
    assert!(
        next_verdict(&mut stream).await.starts_with("go"),
        "a request that is safe to repeat is admitted"
    );
}

/// The same request presented to two limiters, which do not know of each other's: both admit it and it is
/// charged twice, with one attempt at a time at each. A keyed request still takes effect once, by its key.
#[tokio::test]
async fn two_limiters_both_admit_the_same_request() {
    let server = Stub::scripted(Script::default());
    let limiters =
        [0, 1].map(|_| Limiter::with_external_processor(&[("s-1", &server, "active")], with_quota(2), ""));
    for limiter in &limiters {
        let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::PerTry).await.expect("a proxy");
        let done = proxy.handle(&call("c-1", "book").request()).await.expect("an answer");
        assert_eq!(done.status, 200);
    }
    let keys: Vec<_> = server.requests().iter().map(|m| m.header("idempotency-key")).collect();
    assert_eq!(keys, [Some("key-c-1".to_string()), Some("key-c-1".to_string())]);
}

/// A proxy never reports a result: when the time of the request is up, the final answer is sent unasked and the
/// slots become free.
#[tokio::test]
async fn proxy_that_never_reports_gets_the_final_answer_unasked() {
    let server = Stub::scripted(Script::default());
    let open = |c: String| c.replace(r#""Rate":0,"StoreSize":0"#, r#""Rate":0,"StoreSize":0,"AtOnce":2"#);
    let limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], open, "");
    let channel = channel(limiter.processor_addr()).await;
    let mut silent = Vec::new();
    for n in 0..2 {
        let mut stream = present(&channel, &call(&format!("c-{n}"), "look"), Some(1)).await;
        assert!(next_verdict(&mut stream).await.starts_with("go"));
        silent.push(stream);
    }
    let mut third = present(&channel, &call("c-3", "look"), Some(1)).await;
    assert_eq!(next_verdict(&mut third).await, "429", "two requests are open");
    for mut stream in silent {
        // Refused though it may be running, since it is safe to repeat.
        assert_eq!(next_verdict(&mut stream).await, "429");
    }
    let mut fourth = present(&channel, &call("c-4", "look"), Some(1)).await;
    assert!(next_verdict(&mut fourth).await.starts_with("go"), "the slots are free again");
}

/// A flood of streams on one connection is limited to that connection's share and does not delay other proxies.
#[tokio::test]
async fn flood_of_streams_does_not_delay_other_proxies() {
    let server = Stub::scripted(Script::default());
    let mut limiter = Limiter::with_external_processor(
        &[("s-1", &server, "active")],
        unchanged,
        "max_concurrent_streams = 16",
    );
    let flooding = channel(limiter.processor_addr()).await;
    let flood: Vec<_> = (0..400)
        .map(|n| {
            let channel = flooding.clone();
            tokio::spawn(async move {
                let mut stream = present(&channel, &call(&format!("f-{n}"), "look"), Some(1)).await;
                let verdict = next_verdict(&mut stream).await;
                tokio::time::sleep(Duration::from_secs(5)).await;
                verdict
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::None).await.expect("a proxy");
    let began = Instant::now();
    for n in 0..20 {
        let done = proxy.handle(&call(&format!("c-{n}"), "look").request()).await.expect("an answer");
        assert_eq!(done.status, 200);
    }
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    flood.iter().for_each(|task| task.abort());
    drop(flooding);
    drop(proxy);
    let line = stop(&mut limiter);
    assert!(line.contains("presented: 36,"), "16 streams of the flood and 20 of the other proxy: {line}");
}

/// A request beyond the limit on open requests is rejected at once with 503.
#[tokio::test]
async fn request_over_the_limit_on_open_requests_is_rejected() {
    let server = Stub::scripted(Script::default());
    let limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "max_open_requests = 3");
    let channel = channel(limiter.processor_addr()).await;
    let mut open = Vec::new();
    for n in 0..3 {
        let mut stream = present(&channel, &call(&format!("c-{n}"), "book"), Some(1)).await;
        assert!(next_verdict(&mut stream).await.starts_with("go"));
        open.push(stream);
    }
    let mut rejected = present(&channel, &call("c-9", "book"), Some(1)).await;
    assert_eq!(next_verdict(&mut rejected).await, "503");
}

#[tokio::test]
async fn out_of_order_messages_end_the_stream_with_an_error() {
    let server = Stub::scripted(Script::default());
    let mut limiter = Limiter::with_external_processor(
        &[("s-1", &server, "active")],
        unchanged,
        "max_message_bytes = 4096",
    );
    let channel = channel(limiter.processor_addr()).await;
    let open = || async { Stream::open(channel.clone()).await.expect("a stream") };

    let mut stream = open().await;
    stream.send(response_headers(200, &[])).await;
    assert_eq!(next_verdict(&mut stream).await, "InvalidArgument");

    let mut stream = open().await;
    stream.send(Phase::RequestBody(ext::HttpBody::default())).await;
    assert_eq!(next_verdict(&mut stream).await, "InvalidArgument");

    let mut stream = open().await;
    stream.send_message(ext::ProcessingRequest::default()).await;
    assert_eq!(next_verdict(&mut stream).await, "InvalidArgument");

    let mut stream = present(&channel, &call("c-1", "look"), Some(1)).await;
    assert!(next_verdict(&mut stream).await.starts_with("go"));
    stream.send(request_headers(&call("c-2", "look").request(), Some(1))).await;
    assert_eq!(next_verdict(&mut stream).await, "InvalidArgument");

    let mut stream = present(&channel, &call("c-3", "look"), Some(1)).await;
    assert!(next_verdict(&mut stream).await.starts_with("go"));
    stream.send(Phase::ResponseHeaders(headers(vec![(":status", "many".to_string())], true))).await;
    assert_eq!(next_verdict(&mut stream).await, "InvalidArgument");

    let mut stream = open().await;
    let long = headers(vec![("x-long", "x".repeat(8192))], true);
    stream.send(Phase::RequestHeaders(long)).await;
    assert_eq!(next_verdict(&mut stream).await, "OutOfRange");

    // Messages that a proxy may send unasked are answered with `continue`, in the order in which they were sent.
    let mut stream = present(&channel, &call("c-4", "book"), Some(1)).await;
    stream.send(Phase::RequestBody(ext::HttpBody { end_of_stream: true, ..Default::default() })).await;
    assert!(next_verdict(&mut stream).await.starts_with("go"));
    let body = stream.next().await.expect("an answer").response;
    assert!(matches!(body, Some(Verdict::RequestBody(_))), "{body:?}");
    stream.send(response_headers(200, &[])).await;
    assert_eq!(next_verdict(&mut stream).await, "pass");
    stream.send(Phase::ResponseTrailers(ext::HttpTrailers::default())).await;
    let trailers = stream.next().await.expect("an answer").response;
    assert!(matches!(trailers, Some(Verdict::ResponseTrailers(_))), "{trailers:?}");
    drop(stream);
    // A request whose stream ended after its verdict stays open until it can no longer be presented again.
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert!(stop(&mut limiter).contains("0 open"));
}

/// A message with a field that this version does not know.
#[derive(Clone, PartialEq, prost::Message)]
struct NewerMessage {
    #[prost(message, optional, tag = "2")]
    request_headers: Option<ext::HttpHeaders>,
    #[prost(string, tag = "900")]
    unheard: String,
}

#[tokio::test]
async fn unknown_fields_are_ignored() {
    let server = Stub::scripted(Script::default());
    let limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "");
    let mut grpc = tonic::client::Grpc::new(channel(limiter.processor_addr()).await);
    grpc.ready().await.expect("ready");
    let Phase::RequestHeaders(known) = request_headers(&call("c-1", "look").request(), None) else {
        panic!()
    };
    let message = NewerMessage { request_headers: Some(known), unheard: "of".to_string() };
    let path = "/envoy.service.ext_proc.v3.ExternalProcessor/Process".parse().expect("a path");
    let codec = tonic_prost::ProstCodec::<NewerMessage, ext::ProcessingResponse>::default();
    let requests = tokio_stream::StreamExt::chain(tokio_stream::once(message), tokio_stream::pending());
    let answers = grpc.streaming(tonic::Request::new(requests), path, codec).await.expect("a stream");
    let answer = answers.into_inner().message().await.expect("no error").expect("an answer");
    assert!(matches!(answer.response, Some(Verdict::RequestHeaders(_))), "{answer:?}");
}

#[tokio::test]
async fn observability_mode_answers_and_decides_nothing() {
    let server = Stub::scripted(Script::default());
    let mut limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], with_quota(1), "");
    let mut stream = Stream::open(channel(limiter.processor_addr()).await).await.expect("a stream");
    for n in 0..3 {
        let request = Some(request_headers(&call(&format!("c-{n}"), "look").request(), None));
        stream
            .send_message(ext::ProcessingRequest { request, observability_mode: true, ..Default::default() })
            .await;
    }
    let answer = tokio::time::timeout(Duration::from_millis(300), stream.next()).await;
    assert!(answer.is_err(), "{answer:?}");
    drop(stream);
    assert_eq!(
        send_request(&limiter, &get("look", "")).status,
        200,
        "the one unit of the quota is still available"
    );
    let line = stop(&mut limiter);
    assert!(line.contains("3 observed") && line.contains("presented: 0,"), "{line}");
}

/// A half-open connection, on which PINGs stay unanswered after the preface, is closed.
#[tokio::test]
async fn connection_without_ping_answers_is_closed() {
    let server = Stub::scripted(Script::default());
    let limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "keepalive_ms = 200");
    let mut raw = TcpStream::connect(limiter.processor_addr()).expect("connect");
    raw.set_read_timeout(Some(Duration::from_secs(10))).expect("time-out");
    // Preface and an empty SETTINGS frame (RFC 9113, sections 3.4 and 6.5).
    raw.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0").expect("write");
    let mut all = Vec::new();
    let ended = raw.read_to_end(&mut all);
    assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
}

/// Silent connections beyond the connection limit are closed, and other proxies are served.
#[tokio::test]
async fn silent_connections_are_closed() {
    let server = Stub::scripted(Script::default());
    let limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "max_connections = 4");
    let mut silent: Vec<TcpStream> =
        (0..4).map(|_| TcpStream::connect(limiter.processor_addr()).expect("connect")).collect();
    limiter.wait_log("external processor on");
    std::thread::sleep(Duration::from_millis(100));
    let mut refused = TcpStream::connect(limiter.processor_addr()).expect("connect");
    refused.set_read_timeout(Some(Duration::from_secs(10))).expect("time-out");
    assert_eq!(refused.read(&mut [0; 8]).unwrap_or(0), 0, "the connection over the limit is closed at once");
    limiter.wait_log("4 connections are open");
    for stream in &mut silent {
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("time-out");
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
    }
    let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::None).await.expect("a proxy");
    assert_eq!(proxy.handle(&call("c-1", "look").request()).await.expect("an answer").status, 200);
}

/// A message in the length-prefixed framing of gRPC.
fn framed(message: &ext::ProcessingRequest) -> Bytes {
    let body = prost::Message::encode_to_vec(message);
    let mut all = vec![0];
    all.extend_from_slice(&(body.len() as u32).to_be_bytes());
    all.extend_from_slice(&body);
    all.into()
}

/// A proxy without a flow-control window cannot receive its verdicts: no other proxy waits, and nothing stays
/// open.
#[tokio::test]
async fn stalled_flow_control_does_not_delay_other_proxies() {
    let server = Stub::scripted(Script::default());
    let mut limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "again_ms = 50");
    let tcp = tokio::net::TcpStream::connect(limiter.processor_addr()).await.expect("connect");
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
            limiter.processor_addr()
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
    let proxy = Proxy::connect(limiter.processor_addr(), RetryMode::None).await.expect("a proxy");
    for n in 0..20 {
        let done = proxy.handle(&call(&format!("c-{n}"), "look").request()).await.expect("an answer");
        assert_eq!(done.status, 200);
    }
    drop((stalled, h2, proxy));
    driving.abort();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let line = stop(&mut limiter);
    assert!(line.contains("0 open") && line.contains("presented: 52,"), "{line}");
}

/// SIGTERM while requests are open: these are finished, new streams are rejected (GOAWAY), and the process ends.
#[tokio::test]
async fn sigterm_finishes_open_requests_and_accepts_no_new_ones() {
    let server = Stub::scripted(Script::default());
    let mut limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "");
    let one = channel(limiter.processor_addr()).await;
    let mut open = present(&one, &call("c-1", "book"), Some(1)).await;
    assert!(next_verdict(&mut open).await.starts_with("go"));
    limiter.signal("TERM");
    limiter.wait_log("SIGTERM: finishing");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(TcpStream::connect(limiter.processor_addr()).is_err(), "the listener is closed");
    open.send(response_headers(200, &[])).await;
    assert_eq!(next_verdict(&mut open).await, "pass");
    drop(open);
    assert_eq!(limiter.exit_code(), Some(0));
    assert!(limiter.log().contains("0 open, 0 observed"), "{}", limiter.log());
}

/// The authorization and rate-limit protocols use the same core, so a customer's units are shared with them.
#[tokio::test]
async fn authorization_and_rate_limit_service_share_the_quota() {
    let server = Stub::scripted(Script::default());
    let limiter =
        Limiter::with_external_processor(&[("s-1", &server, "active")], with_quota(4), "assumed_ms = 10");
    let channel = channel(limiter.processor_addr()).await;

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
    // The same request again does not count as a retry, since this protocol cannot express one.
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
    // The check above used one of the four units.
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

/// With trailers requested, an answer counts as served only once it is complete: a proxy that breaks off
/// earlier leaves a request that may have run.
#[tokio::test]
async fn with_trailers_an_answer_counts_once_complete() {
    let server = Stub::scripted(Script::default());
    let mut limiter = Limiter::with_external_processor(
        &[("s-1", &server, "active")],
        unchanged,
        "response_trailers = true\nagain_ms = 50",
    );
    let channel = channel(limiter.processor_addr()).await;
    let begun = || Phase::ResponseHeaders(headers(vec![(":status", "200".to_string())], false));
    let mut complete = present(&channel, &call("c-1", "book"), Some(1)).await;
    let answer = complete.next().await.expect("an answer");
    assert_eq!(answer.mode_override.map(|m| m.response_trailer_mode), Some(1), "trailers are requested");
    complete.send(begun()).await;
    assert_eq!(next_verdict(&mut complete).await, "pass");
    for _ in 0..2 {
        complete.send(Phase::ResponseTrailers(ext::HttpTrailers::default())).await;
        assert!(matches!(
            complete.next().await.expect("an answer").response,
            Some(Verdict::ResponseTrailers(_))
        ));
    }
    let mut broken = present(&channel, &call("c-2", "book"), Some(1)).await;
    assert!(next_verdict(&mut broken).await.starts_with("go"));
    broken.send(begun()).await;
    assert_eq!(next_verdict(&mut broken).await, "pass");
    drop(broken);
    drop(complete);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let line = stop(&mut limiter);
    assert!(
        line.contains("0 open") && line.contains("served: 1,") && line.contains("unreported: 1"),
        "{line}"
    );
}

#[tokio::test]
async fn health_service_reports_readiness() {
    use tonic_health::pb::{health_client::HealthClient, HealthCheckRequest};
    let server = Stub::scripted(Script::default());
    let limiter = Limiter::with_external_processor(&[("s-1", &server, "active")], unchanged, "");
    let mut health = HealthClient::new(channel(limiter.processor_addr()).await);
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
    limiter.discovery.push(&update_line(2, true, &[]));
    for _ in 0..100 {
        let request = HealthCheckRequest { service: String::new() };
        status = health.check(request).await.expect("an answer").into_inner().status;
        if status == 2 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("health status is still {status} without a server");
}

#[test]
fn invalid_extension_file_is_rejected_with_its_keys() {
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
