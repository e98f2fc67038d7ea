//! Pairs of events that race each other, on real sockets and in a forced order. `docs/design/rare-moments.md`
//! lists them.

mod stubs;

use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use marldeal_standin::addresses::unused_addresses;
use stubs::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Writes one chunk of a chunked body.
fn write_chunk(stream: &mut TcpStream, text: &str) {
    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
}

/// A discovery agent that hands each accepted connection to the test, unanswered.
fn discovery_agent() -> (std::net::SocketAddr, mpsc::Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let addr = listener.local_addr().expect("an address");
    let (give, calls) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            if give.send(stream).is_err() {
                return;
            }
        }
    });
    (addr, calls)
}

/// The next call to the agent. Panics after the time `within`.
fn next_call(calls: &mpsc::Receiver<TcpStream>, within: Duration, what: &str) -> TcpStream {
    calls.recv_timeout(within).unwrap_or_else(|_| panic!("no {what} within {within:?}"))
}

/// Answers every call with this list until the condition holds: calls that the limiter has abandoned may
/// precede the one that it waits for. Returns the streams, all still open.
fn answer_until(calls: &mpsc::Receiver<TcpStream>, list: &str, holds: impl Fn() -> bool) -> Vec<TcpStream> {
    let began = Instant::now();
    let mut open = Vec::new();
    while !holds() {
        assert!(began.elapsed() < TEST_TIMEOUT, "the condition did not hold within {TEST_TIMEOUT:?}");
        if let Ok(mut stream) = calls.recv_timeout(Duration::from_millis(20)) {
            let _ = stream.write_all(HEAD.as_bytes());
            write_chunk(&mut stream, list);
            open.push(stream);
        }
    }
    open
}

/// The status of the readiness check.
fn ready_status(limiter: &LimiterWithRawDiscovery) -> u16 {
    limiter.send_request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status
}

const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// An agent that was down has accepted a call without an answer and is back: its list counts as received at
/// once, and the grace period may be short. Guards against a limiter that waits for the unanswered call. The
/// time allowed is far above the quarter of the grace period that the limiter needs, and below the 4.5 s for
/// which one call is waited for.
#[test]
fn unanswered_call_to_the_agent_is_not_waited_for() {
    let (addr, calls) = discovery_agent();
    let limiter = LimiterWithRawDiscovery::start(addr, |c| c);
    let unanswered = next_call(&calls, TEST_TIMEOUT, "first call");
    let again = next_call(&calls, Duration::from_millis(2500), "second call beside the first");
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let list = update_line(2, true, &[("s-1", server.addr, "active")]);
    let _open = answer_until(&calls, &list, || ready_status(&limiter) == 200);
    drop(again);
    drop(unanswered);
    assert_eq!(limiter.send_request(&get("look", "")).body, "fine");
}

/// The agent comes back and reports at once that the server drains: no request may go there any more.
#[test]
fn drain_reported_when_the_agent_returns_is_followed() {
    let (addr, calls) = discovery_agent();
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let limiter = LimiterWithRawDiscovery::start(addr, |c| c);
    let list = update_line(2, true, &[("s-1", server.addr, "active")]);
    let watches = answer_until(&calls, &list, || ready_status(&limiter) == 200);
    // The agent is down: the watch is reset, and the next call stays unanswered.
    drop(watches);
    let unanswered = next_call(&calls, TEST_TIMEOUT, "call that stays unanswered");
    // The agent is back: further calls are answered.
    let back = Instant::now();
    let list = update_line(3, false, &[("s-1", server.addr, "leaving")]);
    let _open = answer_until(&calls, &list, || ready_status(&limiter) == 503);
    assert!(back.elapsed() < Duration::from_millis(4000), "{:?}", back.elapsed());
    assert_eq!(limiter.send_request(&get("look", "")).status, 429);
    assert_eq!(server.request_count(), 0);
    drop(unanswered);
}

/// Guards against a watch that never counts as silent because bytes trickle in that complete no line.
#[test]
fn trickling_watch_counts_as_silent() {
    let (addr, calls) = discovery_agent();
    let _node = LimiterWithRawDiscovery::start(addr, |c| c);
    let mut first = next_call(&calls, TEST_TIMEOUT, "first call");
    let _ = first.write_all(HEAD.as_bytes());
    let (stop, stopped) = mpsc::channel::<()>();
    let trickle = std::thread::spawn(move || {
        while stopped.recv_timeout(Duration::from_millis(100)) == Err(mpsc::RecvTimeoutError::Timeout) {
            write_chunk(&mut first, " ");
        }
    });
    // Calls from before the answer come first and are skipped.
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(1500) {
        let _ = calls.recv_timeout(Duration::from_millis(100));
    }
    drop(next_call(&calls, Duration::from_secs(10), "new watch in place of the one that trickles"));
    drop(stop);
    trickle.join().expect("the trickle ends");
}

/// Watches that end without an update are reopened at once every time. Guards against a backoff that grows up
/// to 1.5 s though the agent answers: the grace period may be a quarter of a second.
#[test]
fn reset_watches_without_updates_are_reopened_at_once() {
    let (addr, calls) = discovery_agent();
    let _node = LimiterWithRawDiscovery::start(addr, |c| c);
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    for n in 0..12 {
        let mut watch = next_call(&calls, TEST_TIMEOUT, "watch");
        // The time to the first watch includes the start of the process.
        longest = if n < 2 { longest } else { longest.max(last.elapsed()) };
        last = Instant::now();
        let _ = watch.write_all(HEAD.as_bytes());
        write_chunk(&mut watch, "\n");
    }
    assert!(longest < Duration::from_millis(500), "{longest:?}");
}

/// Guards against a list that spans many lines and arrives in pieces being rejected at its first line.
#[test]
fn indented_list_in_pieces_is_read() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let limiter = Limiter::start(&[]);
    let compact = update_line(5, true, &[("s-1", server.addr, "active")]);
    let value: serde_json::Value = serde_json::from_str(&compact).expect("a list");
    let indented = serde_json::to_string_pretty(&value).expect("text") + "\n";
    for piece in indented.as_bytes().chunks(7) {
        limiter.discovery.push(std::str::from_utf8(piece).expect("plain text"));
    }
    wait_for("the indented list", || ready(&limiter) == 200);
    assert_eq!(send_request(&limiter, &get("look", "")).body, "fine");
    assert_eq!(limiter.discovery.watches().len(), 1, "the watch stays the same");
}

/// A client writes several requests at once and closes while the first is outstanding: the unread requests hide
/// the close. Guards against a server that works on for a disconnected client, and against later requests sent
/// for it.
#[test]
fn close_behind_pipelined_requests_is_detected() {
    let (ended_sender, ended_receiver) = mpsc::channel();
    let ended_sender = std::sync::Mutex::new(ended_sender);
    // Holds what it gets until the limiter closes the connection.
    let server = Stub::new(move |_, stream| {
        let ended = matches!(std::io::Read::read(stream, &mut [0]), Ok(0) | Err(_));
        let _ = ended_sender.lock().expect("lock").send(ended);
        false
    });
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], |c| {
        c.replace(r#""AimMs":1000"#, r#""AimMs":40000"#)
    });
    let one = |n: u32| get("look", "").replace("c-1", &format!("c-{n}")).replace("Left: 3.0", "Left: 50.0");
    let mut client = TcpStream::connect(limiter.addr).expect("connect");
    client.write_all((one(1) + &one(2) + &one(3) + &one(4)).as_bytes()).expect("write");
    wait_for("the first at the server", || server.request_count() == 1);
    drop(client);
    assert_eq!(ended_receiver.recv_timeout(Duration::from_secs(8)), Ok(true), "the attempt is cancelled");
    // By now the connection is closed, and the requests behind the first have been dropped with it.
    assert_eq!(ready(&limiter), 200);
    assert_eq!(server.request_count(), 1);
}

/// The same while a request waits for a peer's message that never comes: after 0.4 s the equal share would
/// admit it.
#[test]
fn close_behind_further_bytes_is_detected_while_waiting_for_a_peer() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("time-out");
    let own = unused_addresses(1)[0];
    let at = peer.local_addr().expect("an address");
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], |c| {
        c.replace(r#""Balancers":1"#, r#""Balancers":2"#)
            .replace(r#""Rate":0,"StoreSize":0"#, r#""Rate":4,"StoreSize":40,"AtOnce":9"#)
            .replacen('{', &format!(r#"{{"peer_listen":"{own}","peers":["{own}","{at}"],"#), 1)
    });
    // A customer whose first quota owner is the peer is found by trying.
    let request = |customer: u32, n: u32| {
        get("look", "")
            .replace("00000000b4d65521", &format!("{customer:016x}"))
            .replace("spread=1", "spread=2")
            .replace("c-1", &format!("c-{customer}-{n}"))
    };
    peer.set_read_timeout(Some(Duration::from_millis(200))).expect("time-out");
    let mut buffer = [0; 256];
    let owned_by_peer = (1..40).find(|customer| {
        let mut client = TcpStream::connect(limiter.addr).expect("connect");
        client.write_all(request(*customer, 0).as_bytes()).expect("write");
        let peer_asked = peer.recv(&mut buffer).is_ok();
        read_answer(&mut client);
        peer_asked
    });
    let customer = owned_by_peer.expect("the peer is the first quota owner of one of them");
    while peer.recv(&mut buffer).is_ok() {}
    let before = server.request_count();
    let mut client = TcpStream::connect(limiter.addr).expect("connect");
    client.write_all((request(customer, 1) + &request(customer, 2)).as_bytes()).expect("write");
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("time-out");
    peer.recv(&mut buffer).expect("the message for the first request");
    drop(client);
    // This request is sent later and reaches the server after any request of the closed connection.
    assert_eq!(send_request(&limiter, &request(customer, 3)).status, 200);
    let ids: Vec<_> =
        server.requests()[before..].iter().filter_map(|s| s.header("x-correlation-id")).collect();
    assert_eq!(ids, [format!("c-{customer}-3")]);
}

/// A booking waits for a connection that is established late, and its client disconnects meanwhile. Guards
/// against a booking that is sent for a disconnected client: once sent, it would run to its end.
#[test]
fn booking_of_a_client_that_disconnects_during_the_connect_is_not_sent() {
    let (addr, listener, filler) = full_listener();
    let limiter =
        Limiter::with_config(&[], |c| c.replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":6000"#));
    limiter.discovery.push(&update_line(2, true, &[("s-1", addr, "active")]));
    wait_for("readiness", || ready(&limiter) == 200);
    let mut client = TcpStream::connect(limiter.addr).expect("connect");
    let long = post("book", "k1", "", "x").replace("X-Time-Left: 3.0", "X-Time-Left: 8.0");
    client.write_all(long.as_bytes()).expect("write");
    wait_for("the connect", || is_connecting(addr));
    drop(client);
    let (mut late, _) = accept_after_filler(&listener, filler);
    late.set_read_timeout(Some(TEST_TIMEOUT)).expect("time-out");
    let mut text = String::new();
    std::io::Read::read_to_string(&mut late, &mut text).expect("an end");
    assert_eq!(text, "", "nothing is sent for a disconnected client");
}

/// The first attempt at a booking may have run, and the connection for the second is established only after the
/// window in which servers drop repeats. Guards against a booking that takes effect twice.
#[test]
fn retry_connected_after_the_repeat_window_is_not_sent() {
    let (addr, listener, filler) = full_listener();
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let first = Stub::new(move |_, stream| {
        let _ = released.lock().expect("lock").recv_timeout(TEST_TIMEOUT);
        write!(stream, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n").is_ok()
    });
    let limiter = Limiter::with_config(&[("s-1", &first, "active")], |c| {
        c.replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":6000"#)
            .replace(r#""WindowMs":8000"#, r#""WindowMs":900"#)
            .replace(r#""AimMs":2500"#, r#""AimMs":6000"#)
    });
    let mut client = TcpStream::connect(limiter.addr).expect("connect");
    let long = post("book", "k1", "", "x").replace("X-Time-Left: 3.0", "X-Time-Left: 8.0");
    client.write_all(long.as_bytes()).expect("write");
    wait_for("the first attempt", || first.request_count() == 1);
    limiter.discovery.push(&update_line(2, false, &[("s-2", addr, "active")]));
    limiter.wait_log("server s-2 at");
    release.send(()).expect("the first server waits");
    wait_for("the second attempt's connect", || is_connecting(addr));
    let (mut late, _) = accept_after_filler(&listener, filler);
    late.set_read_timeout(Some(TEST_TIMEOUT)).expect("time-out");
    let mut text = String::new();
    std::io::Read::read_to_string(&mut late, &mut text).expect("an end");
    assert_eq!(text, "", "the repeat window is over");
    assert_eq!(read_answer(&mut client).status, 502);
}

/// A listener whose accept queue is full: the next connection is established once the queue has space, when its
/// SYN is retransmitted after one second. Also returns the connection that fills the queue.
fn full_listener() -> (std::net::SocketAddr, TcpListener, TcpStream) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("bind");
    listener.listen(0).expect("listen");
    let listener = TcpListener::from(listener);
    let addr = listener.local_addr().expect("an address");
    (addr, listener, TcpStream::connect(addr).expect("connect"))
}

/// Frees such a queue and accepts the connection that is established then.
fn accept_after_filler(listener: &TcpListener, filler: TcpStream) -> (TcpStream, std::net::SocketAddr) {
    let filled = listener.accept().expect("the filler");
    drop((filler, filled));
    listener.accept().expect("the late one")
}

/// Whether a connection to this address is being established.
fn is_connecting(addr: std::net::SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let port = format!(":{:04X}", addr.port());
    // State 02 is SYN_SENT.
    table
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>())
        .any(|l| l[2].ends_with(&port) && l[3] == "02")
}

/// A limiter starts with an old list, and requests are in its accept queue before the discovery agent has
/// answered. The agent's list counts from the start. Guards against a request that is sent to a draining
/// server.
#[test]
fn no_request_follows_the_old_list_before_the_agent_answers() {
    let (addr, calls) = discovery_agent();
    let (old, new) = (Stub::new(|_, s| write_ok(s, "old")), Stub::new(|_, s| write_ok(s, "new")));
    let known = update_line(1, true, &[("s-1", old.addr, "active")]);
    // Target latencies that leave the agent its full time to answer.
    let limiter = LimiterWithRawDiscovery::start(addr, |c| {
        c.replace(r#"{"version":1,"full":true,"servers":[]}"#, known.trim())
            .replace(r#""AimMs":1000"#, r#""AimMs":9000"#)
            .replace(r#""AimMs":2500"#, r#""AimMs":9000"#)
    });
    let mut client = TcpStream::connect(limiter.addr).expect("connect");
    client.write_all(get("look", "").as_bytes()).expect("write");
    let mut watch = next_call(&calls, TEST_TIMEOUT, "watch");
    // Long enough for the request to be sent, and far less than the time for which a silent agent is waited for.
    std::thread::sleep(Duration::from_millis(300));
    let _ = watch.write_all(HEAD.as_bytes());
    write_chunk(
        &mut watch,
        &update_line(2, true, &[("s-1", old.addr, "leaving"), ("s-2", new.addr, "active")]),
    );
    assert_eq!(read_answer(&mut client).body, "new");
    assert_eq!(old.request_count(), 0);
}

/// Connections that arrive while the process ends are in its accept queue. Guards against a request written to
/// one of them being reset when the process ends.
#[test]
fn requests_on_late_connections_are_refused_not_reset() {
    let (server, release) = server_with_held_requests();
    let mut limiter = Limiter::with_config(&[("s-1", &server, "active")], |c| {
        c.replace(r#""MayTell":true"#, r#""MayTell":true,"RetryAfter":true"#)
    });
    let mut slow = TcpStream::connect(limiter.addr).expect("connect");
    slow.write_all(post("book", "k1", "", "slow").as_bytes()).expect("write");
    wait_for("the slow request to arrive", || server.request_count() == 1);
    limiter.signal("TERM");
    limiter.wait_log("turned away from now on");
    let mut late: Vec<_> = (0..40).map(|_| TcpStream::connect(limiter.addr).expect("connect")).collect();
    for (n, stream) in late.iter_mut().enumerate() {
        let request = if n % 2 == 0 { get("look", "") } else { post("book", &format!("l{n}"), "", "x") };
        stream.write_all(request.as_bytes()).expect("write");
    }
    for stream in &mut late {
        let answer = read_answer(stream);
        assert_eq!(answer.status, 429);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    }
    assert_eq!(server.request_count(), 1);
    release.store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(read_answer(&mut slow).body, "done");
    assert_eq!(limiter.exit_code(), Some(0));
}

/// Clients may wait longer than the platform waits before SIGKILL. Guards against a request that is still open
/// then: all servers hang, and a late answer would still have some worth.
#[test]
fn requests_after_sigterm_are_answered_before_sigkill() {
    let server = Stub::new(|_, _| {
        std::thread::sleep(TEST_TIMEOUT);
        false
    });
    let mut limiter = Limiter::with_config(&[("s-1", &server, "active")], |c| {
        c.replace(
            r#""AimMs":1000,"Effect":"read_like","LateWorth":0"#,
            r#""AimMs":1000,"Effect":"read_like","LateWorth":0.5,"DeadlineMs":1500"#,
        )
    });
    let mut kept = TcpStream::connect(limiter.addr).expect("connect");
    exchange(&mut kept, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    limiter.signal("TERM");
    limiter.wait_log("finishing");
    let began = Instant::now();
    let answer = exchange(&mut kept, &get("look", "").replace("X-Time-Left: 3.0", "X-Time-Left: 9.0"));
    // The answer is due after 2.2 s at the earliest; without the limit it would take 9 s.
    assert!(
        [429, 502].contains(&answer.status) && began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(limiter.exit_code(), Some(0));
}

/// Stops the process with SIGSTOP, runs `meanwhile`, and continues it.
fn while_stopped(limiter: &LimiterWithRawDiscovery, meanwhile: impl FnOnce()) {
    limiter.signal("STOP");
    // The process may run on for a moment after the signal.
    std::thread::sleep(Duration::from_millis(50));
    meanwhile();
    limiter.signal("CONT");
}

/// The limiter stalls for longer than the grace period; meanwhile its agent reports that a server drains, and
/// requests arrive. When it continues, all of that is pending. Guards against requests that are sent on before
/// the list is read.
#[test]
fn drain_reported_during_a_stall_is_followed() {
    for round in 0..6 {
        let (addr, calls) = discovery_agent();
        let server = Stub::new(|_, stream| write_ok(stream, "fine"));
        let limiter = LimiterWithRawDiscovery::start(addr, |c| c);
        let list = update_line(2, true, &[("s-1", server.addr, "active")]);
        let mut watches = answer_until(&calls, &list, || ready_status(&limiter) == 200);
        let mut clients: Vec<_> =
            (0..8).map(|_| TcpStream::connect(limiter.addr).expect("connect")).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let request = get("look", "").replace("c-1", &format!("c-{round}-{n}"));
            assert_eq!(exchange(client, &request).body, "fine");
        }
        // Idle connections are reused only after a short pause.
        std::thread::sleep(Duration::from_millis(50));
        let before = server.request_count();
        while_stopped(&limiter, || {
            for (n, client) in clients.iter_mut().enumerate() {
                let request = get("look", "")
                    .replace("c-1", &format!("d-{round}-{n}"))
                    .replace("Left: 3.0", "Left: 9.0");
                client.write_all(request.as_bytes()).expect("write");
            }
            for watch in &mut watches {
                write_chunk(watch, &update_line(3, false, &[("s-1", server.addr, "leaving")]));
            }
            std::thread::sleep(Duration::from_millis(1300));
        });
        for client in &mut clients {
            assert_eq!(read_answer(client).status, 429);
        }
        assert_eq!(server.request_count(), before, "no new request, round {round}");
    }
}

/// Clients send a request and disconnect while the limiter stalls. Guards against attempts for disconnected
/// clients: a request read after the stall looks new, and the close comes behind it.
#[test]
fn client_that_disconnects_during_a_stall_gets_no_attempt() {
    for round in 0..6 {
        let (addr, calls) = discovery_agent();
        let server = Stub::new(|_, stream| write_ok(stream, "fine"));
        let limiter = LimiterWithRawDiscovery::start(addr, |c| c);
        let list = update_line(2, true, &[("s-1", server.addr, "active")]);
        let _watches = answer_until(&calls, &list, || ready_status(&limiter) == 200);
        let mut clients: Vec<_> =
            (0..8).map(|_| TcpStream::connect(limiter.addr).expect("connect")).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let request = get("look", "").replace("c-1", &format!("c-{round}-{n}"));
            assert_eq!(exchange(client, &request).body, "fine");
        }
        std::thread::sleep(Duration::from_millis(50));
        let before = server.request_count();
        while_stopped(&limiter, || {
            for (n, mut client) in clients.drain(..).enumerate() {
                let request =
                    post("book", &format!("{round}-{n}"), "", "x").replace("Left: 3.0", "Left: 9.0");
                client.write_all(request.as_bytes()).expect("write");
            }
            std::thread::sleep(Duration::from_millis(400));
        });
        assert_eq!(ready_status(&limiter), 200);
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(server.request_count(), before, "no request of a disconnected client, round {round}");
    }
}

/// Clients connect and send requests without a pause while the process ends. Guards against the last
/// connections, which the kernel has accepted, being reset when the process exits.
#[test]
fn connections_accepted_as_the_process_ends_are_answered() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    for round in 0..4 {
        let mut limiter = Limiter::start(&[("s-1", &server, "active")]);
        let addr = limiter.addr;
        limiter.signal("TERM");
        let clients: Vec<_> = (0..8)
            .map(|n| {
                std::thread::spawn(move || {
                    let mut lost = 0;
                    for m in 0.. {
                        // The connection is refused or times out: no request was accepted.
                        let Ok(mut client) = TcpStream::connect_timeout(&addr, Duration::from_millis(300))
                        else {
                            break;
                        };
                        let request = get("look", "").replace("c-1", &format!("c-{round}-{n}-{m}"));
                        if client.write_all(request.as_bytes()).is_err() {
                            continue;
                        }
                        let mut text = String::new();
                        client.set_read_timeout(Some(Duration::from_millis(300))).expect("time-out");
                        let _ = std::io::Read::read_to_string(&mut client, &mut text);
                        lost += usize::from(!text.starts_with("HTTP/1.1 "));
                    }
                    lost
                })
            })
            .collect();
        let lost: usize = clients.into_iter().map(|client| client.join().expect("a client")).sum();
        assert_eq!(lost, 0, "requests that were written and never answered, round {round}");
        assert_eq!(limiter.exit_code(), Some(0));
    }
}

/// Part of a request has arrived when the process is stopped, and the rest arrives meanwhile. After the stall
/// the request is old and complete. Guards against a connection that is closed as too slow before its pending
/// bytes have been read.
#[test]
fn rest_of_a_request_that_arrived_during_a_stall_is_read() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let (addr, calls) = discovery_agent();
    let limiter = LimiterWithRawDiscovery::start(addr, |c| c);
    let list = update_line(2, true, &[("s-1", server.addr, "active")]);
    let _watches = answer_until(&calls, &list, || ready_status(&limiter) == 200);
    let mut clients: Vec<_> = (0..12).map(|_| TcpStream::connect(limiter.addr).expect("connect")).collect();
    let request =
        |n: usize| get("look", "").replace("c-1", &format!("c-{n}")).replace("Left: 3.0", "Left: 30.0");
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(&request(n).as_bytes()[..50]).expect("write");
    }
    std::thread::sleep(Duration::from_millis(100));
    while_stopped(&limiter, || {
        for (n, client) in clients.iter_mut().enumerate() {
            client.write_all(&request(n).as_bytes()[50..]).expect("write");
        }
        std::thread::sleep(Duration::from_millis(2800));
    });
    for client in &mut clients {
        assert_eq!(read_answer(client).body, "fine");
    }
}

/// A request is in the accept queue while its limiter starts and waits for a silent agent. Guards against a
/// server that is given more time than the client has left, and against an answer after that time.
#[test]
fn time_in_the_accept_queue_during_the_start_counts() {
    let (addr, _calls) = discovery_agent();
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let known = update_line(1, true, &[("s-1", server.addr, "active")]);
    let limiter = LimiterWithRawDiscovery::start(addr, |c| {
        c.replace(r#"{"version":1,"full":true,"servers":[]}"#, known.trim())
            .replace(r#""AimMs":1000"#, r#""AimMs":9000"#)
            .replace(r#""AimMs":2500"#, r#""AimMs":9000"#)
    });
    let began = Instant::now();
    let mut client = TcpStream::connect(limiter.addr).expect("connect");
    client.write_all(get("look", "").replace("Left: 3.0", "Left: 9.0").as_bytes()).expect("write");
    assert_eq!(read_answer(&mut client).body, "fine");
    let waited = began.elapsed().as_secs_f64();
    let time_left: f64 =
        server.requests()[0].header("x-time-left").expect("a time").parse().expect("a number");
    assert!(waited > 1.0, "the agent is waited for: {waited}");
    assert!(time_left <= 9.0 - waited + 0.2, "sent {time_left} s of time left after {waited} s");
}
