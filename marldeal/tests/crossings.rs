//! Two events that cross, on real sockets, the order forced: `docs/design/rare-moments.md` lists them.

mod stubs;

use std::io::Write;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use stubs::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn say(stream: &mut TcpStream, text: &str) {
    let _ = write!(stream, "{:x}\r\n{text}\r\n", text.len());
}

/// An agent that hands each call to the test, unanswered.
fn agent() -> (std::net::SocketAddr, mpsc::Receiver<TcpStream>) {
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

/// The next call within so long.
fn call(calls: &mpsc::Receiver<TcpStream>, within: Duration, what: &str) -> TcpStream {
    calls.recv_timeout(within).unwrap_or_else(|_| panic!("no {what} within {within:?}"))
}

/// Answers every call with this list until something holds: a call that the limiter has given up may lie before the one
/// that it waits for. The streams, all open.
fn answer_until(calls: &mpsc::Receiver<TcpStream>, list: &str, holds: impl Fn() -> bool) -> Vec<TcpStream> {
    let began = Instant::now();
    let mut open = Vec::new();
    while !holds() {
        assert!(began.elapsed() < PATIENT, "in vain");
        if let Ok(mut stream) = calls.recv_timeout(Duration::from_millis(20)) {
            let _ = stream.write_all(HEAD.as_bytes());
            say(&mut stream, list);
            open.push(stream);
        }
    }
    open
}

fn readiness(node: &Bare) -> u16 {
    node.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status
}

const PATIENT: Duration = Duration::from_secs(15);

/// An agent that was away swallowed a call and is back: what it has counts as told at once, and the grace may be short.
/// Guards against a limiter that waits for the swallowed call. The time allowed lies far over the quarter of the grace that
/// it takes, and under the 4.5 s that one call was waited for.
#[test]
fn a_call_that_the_agent_swallowed_is_not_waited_for() {
    let (addr, calls) = agent();
    let node = Bare::start(addr, |c| c);
    let swallowed = call(&calls, PATIENT, "first call");
    let again = call(&calls, Duration::from_millis(2500), "second call beside the first");
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let list = update_line(2, true, &[("s-1", server.addr, "active")]);
    let _open = answer_until(&calls, &list, || readiness(&node) == 200);
    drop(again);
    drop(swallowed);
    assert_eq!(node.ask(&get("look", "")).body, "fine");
}

/// The agent is back, tells at once that the server drains, and a request comes: none may go there any more.
#[test]
fn a_drain_told_at_the_agents_return_is_kept() {
    let (addr, calls) = agent();
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let node = Bare::start(addr, |c| c);
    let list = update_line(2, true, &[("s-1", server.addr, "active")]);
    let watches = answer_until(&calls, &list, || readiness(&node) == 200);
    // Away: the watch is reset, and what is asked from here on is swallowed.
    drop(watches);
    let swallowed = call(&calls, PATIENT, "call that is swallowed");
    // Back: whoever asks now hears it.
    let back = Instant::now();
    let list = update_line(3, false, &[("s-1", server.addr, "leaving")]);
    let _open = answer_until(&calls, &list, || readiness(&node) == 503);
    assert!(back.elapsed() < Duration::from_millis(4000), "{:?}", back.elapsed());
    assert_eq!(node.ask(&get("look", "")).status, 429);
    assert_eq!(server.request_count(), 0);
    drop(swallowed);
}

/// Guards against a watch that never counts as silent, since bytes trickle on it that end no word.
#[test]
fn a_watch_that_trickles_is_silent() {
    let (addr, calls) = agent();
    let _node = Bare::start(addr, |c| c);
    let mut first = call(&calls, PATIENT, "first call");
    let _ = first.write_all(HEAD.as_bytes());
    let (stop, stopped) = mpsc::channel::<()>();
    let trickle = std::thread::spawn(move || {
        while stopped.recv_timeout(Duration::from_millis(100)) == Err(mpsc::RecvTimeoutError::Timeout) {
            say(&mut first, " ");
        }
    });
    // Calls from before the answer come first.
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(1500) {
        let _ = calls.recv_timeout(Duration::from_millis(100));
    }
    drop(call(&calls, Duration::from_secs(10), "new watch in place of the one that trickles"));
    drop(stop);
    trickle.join().expect("the trickle ends");
}

/// Watches that end, quiet as they were, are opened anew at once however often. Guards against waits that grow up to 1.5 s
/// while an agent costs nothing to ask: the grace may be a quarter of a second.
#[test]
fn quiet_watches_that_are_reset_are_no_failures() {
    let (addr, calls) = agent();
    let _node = Bare::start(addr, |c| c);
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    for n in 0..12 {
        let mut watch = call(&calls, PATIENT, "watch");
        // The time to the first is the program's start.
        longest = if n < 2 { longest } else { longest.max(last.elapsed()) };
        last = Instant::now();
        let _ = watch.write_all(HEAD.as_bytes());
        say(&mut watch, "\n");
    }
    assert!(longest < Duration::from_millis(500), "{longest:?}");
}

/// Guards against a list over many lines, split at any byte, that is given up at its first line.
#[test]
fn lists_may_come_indented_and_in_pieces() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let node = Node::start(&[]);
    let compact = update_line(5, true, &[("s-1", server.addr, "active")]);
    let value: serde_json::Value = serde_json::from_str(&compact).expect("a list");
    let indented = serde_json::to_string_pretty(&value).expect("text") + "\n";
    for piece in indented.as_bytes().chunks(7) {
        node.discovery.push(std::str::from_utf8(piece).expect("plain text"));
    }
    wait_for("the indented list", || ready(&node) == 200);
    assert_eq!(ask(&node, &get("look", "")).body, "fine");
    assert_eq!(node.discovery.watches().len(), 1, "on the watch that it came on");
}

/// Several requests in one write, and the client closes while the first is out: what lies behind it hides the close. Guards
/// against a server that works on for a client who has left, and against the later ones being sent on for nobody.
#[test]
fn a_close_behind_pipelined_requests_is_seen() {
    let (left, leaves) = mpsc::channel();
    let left = std::sync::Mutex::new(left);
    // Holds what it gets until the limiter closes the connection.
    let server = Stub::new(move |_, stream| {
        let ended = matches!(std::io::Read::read(stream, &mut [0]), Ok(0) | Err(_));
        let _ = left.lock().expect("lock").send(ended);
        false
    });
    let node =
        Node::with(&[("s-1", &server, "active")], |c| c.replace(r#""AimMs":1000"#, r#""AimMs":40000"#));
    let one = |n: u32| get("look", "").replace("c-1", &format!("c-{n}")).replace("Left: 3.0", "Left: 50.0");
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all((one(1) + &one(2) + &one(3) + &one(4)).as_bytes()).expect("write");
    wait_for("the first at the server", || server.request_count() == 1);
    drop(client);
    assert_eq!(leaves.recv_timeout(Duration::from_secs(8)), Ok(true), "the attempt is called off");
    // By now its connection is gone: the requests behind have been dropped with it.
    assert_eq!(ready(&node), 200);
    assert_eq!(server.request_count(), 1);
}

/// The same while a request waits for a peer's word that never comes: after 0.4 s the even part would send it on.
#[test]
fn a_close_while_a_word_is_waited_for_is_seen_behind_further_bytes() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    peer.set_read_timeout(Some(PATIENT)).expect("time-out");
    let own = UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let at = peer.local_addr().expect("an address");
    let node = Node::with(&[("s-1", &server, "active")], |c| {
        c.replace(r#""Balancers":1"#, r#""Balancers":2"#)
            .replace(r#""Rate":0,"StoreSize":0"#, r#""Rate":4,"StoreSize":40,"AtOnce":9"#)
            .replacen('{', &format!(r#"{{"peer_listen":"{own}","peers":["{own}","{at}"],"#), 1)
    });
    // A customer whose first keeper is the peer: found by asking.
    let request = |customer: u32, n: u32| {
        get("look", "")
            .replace("00000000b4d65521", &format!("{customer:016x}"))
            .replace("spread=1", "spread=2")
            .replace("c-1", &format!("c-{customer}-{n}"))
    };
    peer.set_read_timeout(Some(Duration::from_millis(200))).expect("time-out");
    let mut buffer = [0; 256];
    let theirs = (1..40).find(|customer| {
        let mut client = TcpStream::connect(node.addr).expect("connect");
        client.write_all(request(*customer, 0).as_bytes()).expect("write");
        let asked = peer.recv(&mut buffer).is_ok();
        read_answer(&mut client);
        asked
    });
    let customer = theirs.expect("one of them is kept by the peer");
    while peer.recv(&mut buffer).is_ok() {}
    let before = server.request_count();
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all((request(customer, 1) + &request(customer, 2)).as_bytes()).expect("write");
    peer.set_read_timeout(Some(PATIENT)).expect("time-out");
    peer.recv(&mut buffer).expect("the first one's ask");
    drop(client);
    // It asks later and is sent on later.
    assert_eq!(ask(&node, &request(customer, 3)).status, 200);
    let ids: Vec<_> =
        server.requests()[before..].iter().filter_map(|s| s.header("x-correlation-id")).collect();
    assert_eq!(ids, [format!("c-{customer}-3")]);
}

/// A booking waits for a connection that comes up late, and its client leaves meanwhile. Guards against a booking that goes
/// out for nobody: once out it would go on to its end.
#[test]
fn a_booking_whose_client_left_while_its_connection_came_up_is_not_sent() {
    let (addr, listener, filler) = full();
    let node = Node::with(&[], |c| c.replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":6000"#));
    node.discovery.push(&update_line(2, true, &[("s-1", addr, "active")]));
    wait_for("readiness", || ready(&node) == 200);
    let mut client = TcpStream::connect(node.addr).expect("connect");
    let long = post("book", "k1", "", "x").replace("X-Time-Left: 3.0", "X-Time-Left: 8.0");
    client.write_all(long.as_bytes()).expect("write");
    wait_for("the connect", || connecting(addr));
    drop(client);
    let (mut late, _) = second_in_queue(&listener, filler);
    late.set_read_timeout(Some(PATIENT)).expect("time-out");
    let mut text = String::new();
    std::io::Read::read_to_string(&mut late, &mut text).expect("an end");
    assert_eq!(text, "", "what its client no longer waits for");
}

/// The first attempt at a booking may have run; the connection for the second comes up when servers drop its repeats no
/// longer. Guards against a booking that takes effect twice.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_sent() {
    let (addr, listener, filler) = full();
    let (told, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let first = Stub::new(move |_, stream| {
        let _ = wait.lock().expect("lock").recv_timeout(PATIENT);
        write!(stream, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n").is_ok()
    });
    let node = Node::with(&[("s-1", &first, "active")], |c| {
        c.replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":6000"#)
            .replace(r#""WindowMs":8000"#, r#""WindowMs":900"#)
            .replace(r#""AimMs":2500"#, r#""AimMs":6000"#)
    });
    let mut client = TcpStream::connect(node.addr).expect("connect");
    let long = post("book", "k1", "", "x").replace("X-Time-Left: 3.0", "X-Time-Left: 8.0");
    client.write_all(long.as_bytes()).expect("write");
    wait_for("the first attempt", || first.request_count() == 1);
    node.discovery.push(&update_line(2, false, &[("s-2", addr, "active")]));
    node.wait_log("server s-2 at");
    told.send(()).expect("the first server waits");
    wait_for("the second attempt's connect", || connecting(addr));
    let (mut late, _) = second_in_queue(&listener, filler);
    late.set_read_timeout(Some(PATIENT)).expect("time-out");
    let mut text = String::new();
    std::io::Read::read_to_string(&mut late, &mut text).expect("an end");
    assert_eq!(text, "", "the window is over");
    assert_eq!(read_answer(&mut client).status, 502);
}

/// A listener whose queue of connections is full: the next one comes up when there is room, at the retry of its first
/// packet after a second.
fn full() -> (std::net::SocketAddr, TcpListener, TcpStream) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("bind");
    listener.listen(0).expect("listen");
    let listener = TcpListener::from(listener);
    let addr = listener.local_addr().expect("an address");
    (addr, listener, TcpStream::connect(addr).expect("connect"))
}

/// Makes room in such a queue; the connection that comes then.
fn second_in_queue(listener: &TcpListener, filler: TcpStream) -> (TcpStream, std::net::SocketAddr) {
    let filled = listener.accept().expect("the filler");
    drop((filler, filled));
    listener.accept().expect("the late one")
}

/// A connection to this address has been begun and is not up.
fn connecting(addr: std::net::SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let port = format!(":{:04X}", addr.port());
    // 02: SYN_SENT.
    table
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>())
        .any(|l| l[2].ends_with(&port) && l[3] == "02")
}

/// A limiter that starts has an old list, and requests lie in its queue of connections before discovery has said a word.
/// What the agent has counts as told from the first moment. Guards against one that is sent to a server which drains.
#[test]
fn nothing_is_sent_by_the_old_list_before_the_agent_has_spoken() {
    let (addr, calls) = agent();
    let (old, new) = (Stub::new(|_, s| write_ok(s, "old")), Stub::new(|_, s| write_ok(s, "new")));
    let known = update_line(1, true, &[("s-1", old.addr, "active")]);
    // Aims that leave the word its whole time.
    let node = Bare::start(addr, |c| {
        c.replace(r#"{"version":1,"full":true,"servers":[]}"#, known.trim())
            .replace(r#""AimMs":1000"#, r#""AimMs":9000"#)
            .replace(r#""AimMs":2500"#, r#""AimMs":9000"#)
    });
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all(get("look", "").as_bytes()).expect("write");
    let mut watch = call(&calls, PATIENT, "watch");
    // Time enough for it to go out, and far less than a silent agent is waited for.
    std::thread::sleep(Duration::from_millis(300));
    let _ = watch.write_all(HEAD.as_bytes());
    say(&mut watch, &update_line(2, true, &[("s-1", old.addr, "leaving"), ("s-2", new.addr, "active")]));
    assert_eq!(read_answer(&mut client).body, "new");
    assert_eq!(old.request_count(), 0);
}

/// Connections that come late while the process ends lie in its queue. Guards against a request that was written to one of
/// them, and taken so, being reset when the process ends.
#[test]
fn requests_on_connections_that_come_too_late_are_refused_not_reset() {
    let (server, release) = held();
    let mut node = Node::with(&[("s-1", &server, "active")], |c| {
        c.replace(r#""MayTell":true"#, r#""MayTell":true,"RetryAfter":true"#)
    });
    let mut slow = TcpStream::connect(node.addr).expect("connect");
    slow.write_all(post("book", "k1", "", "slow").as_bytes()).expect("write");
    wait_for("the slow request to arrive", || server.request_count() == 1);
    node.signal("TERM");
    node.wait_log("turned away from now on");
    let mut late: Vec<_> = (0..40).map(|_| TcpStream::connect(node.addr).expect("connect")).collect();
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
    assert_eq!(node.exit_code(), Some(0));
}

/// Clients may wait longer than the platform waits before it kills. Guards against a request that is still open then: all
/// servers hang, and a late answer would still be worth something.
#[test]
fn what_comes_after_sigterm_is_answered_before_sigkill() {
    let server = Stub::new(|_, _| {
        std::thread::sleep(PATIENT);
        false
    });
    let mut node = Node::with(&[("s-1", &server, "active")], |c| {
        c.replace(
            r#""AimMs":1000,"Effect":"read_like","LateWorth":0"#,
            r#""AimMs":1000,"Effect":"read_like","LateWorth":0.5,"DeadlineMs":1500"#,
        )
    });
    let mut kept = TcpStream::connect(node.addr).expect("connect");
    exchange(&mut kept, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    node.signal("TERM");
    node.wait_log("finishing");
    let began = Instant::now();
    let answer = exchange(&mut kept, &get("look", "").replace("X-Time-Left: 3.0", "X-Time-Left: 9.0"));
    // Of 2.2 s at the earliest; without a bound it would be 9.
    assert!(
        [429, 502].contains(&answer.status) && began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(node.exit_code(), Some(0));
}

/// Processes that stood still, and what came for them meanwhile.
fn stopped(node: &Bare, meanwhile: impl FnOnce()) {
    node.signal("STOP");
    // Until it stands, a signal may still find it at work.
    std::thread::sleep(Duration::from_millis(50));
    meanwhile();
    node.signal("CONT");
}

/// The limiter stands still for longer than the grace; meanwhile its agent tells that a server drains, and requests come.
/// On waking all of that lies there at once. Guards against requests that are read and sent on before the list is read.
#[test]
fn a_drain_told_while_the_process_stood_still_is_kept() {
    for turn in 0..6 {
        let (addr, calls) = agent();
        let server = Stub::new(|_, stream| write_ok(stream, "fine"));
        let node = Bare::start(addr, |c| c);
        let list = update_line(2, true, &[("s-1", server.addr, "active")]);
        let mut watches = answer_until(&calls, &list, || readiness(&node) == 200);
        let mut clients: Vec<_> = (0..8).map(|_| TcpStream::connect(node.addr).expect("connect")).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let request = get("look", "").replace("c-1", &format!("c-{turn}-{n}"));
            assert_eq!(exchange(client, &request).body, "fine");
        }
        // Idle connections rest a little before they are used again.
        std::thread::sleep(Duration::from_millis(50));
        let before = server.request_count();
        stopped(&node, || {
            for (n, client) in clients.iter_mut().enumerate() {
                let request = get("look", "")
                    .replace("c-1", &format!("d-{turn}-{n}"))
                    .replace("Left: 3.0", "Left: 9.0");
                client.write_all(request.as_bytes()).expect("write");
            }
            for watch in &mut watches {
                say(watch, &update_line(3, false, &[("s-1", server.addr, "leaving")]));
            }
            std::thread::sleep(Duration::from_millis(1300));
        });
        for client in &mut clients {
            assert_eq!(read_answer(client).status, 429);
        }
        assert_eq!(server.request_count(), before, "nothing new, turn {turn}");
    }
}

/// Clients ask and leave while the limiter stands still. Guards against attempts for nobody: what it reads on waking looks new,
/// and the close lies behind it.
#[test]
fn a_client_that_left_while_the_process_stood_still_gets_no_attempt() {
    for turn in 0..6 {
        let (addr, calls) = agent();
        let server = Stub::new(|_, stream| write_ok(stream, "fine"));
        let node = Bare::start(addr, |c| c);
        let list = update_line(2, true, &[("s-1", server.addr, "active")]);
        let _watches = answer_until(&calls, &list, || readiness(&node) == 200);
        let mut clients: Vec<_> = (0..8).map(|_| TcpStream::connect(node.addr).expect("connect")).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let request = get("look", "").replace("c-1", &format!("c-{turn}-{n}"));
            assert_eq!(exchange(client, &request).body, "fine");
        }
        std::thread::sleep(Duration::from_millis(50));
        let before = server.request_count();
        stopped(&node, || {
            for (n, mut client) in clients.drain(..).enumerate() {
                let request = post("book", &format!("{turn}-{n}"), "", "x").replace("Left: 3.0", "Left: 9.0");
                client.write_all(request.as_bytes()).expect("write");
            }
            std::thread::sleep(Duration::from_millis(400));
        });
        assert_eq!(readiness(&node), 200);
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(server.request_count(), before, "nothing for those who left, turn {turn}");
    }
}

/// Clients connect and ask without a break while the process comes to its end. Guards against the last ones, which the
/// machine has accepted, being reset when the process goes away.
#[test]
fn whoever_was_accepted_as_the_process_ends_is_answered() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    for turn in 0..4 {
        let mut node = Node::start(&[("s-1", &server, "active")]);
        let addr = node.addr;
        node.signal("TERM");
        let clients: Vec<_> = (0..8)
            .map(|n| {
                std::thread::spawn(move || {
                    let mut lost = 0;
                    for m in 0.. {
                        // Refused, or not heard of any more: nothing was taken.
                        let Ok(mut client) = TcpStream::connect_timeout(&addr, Duration::from_millis(300))
                        else {
                            break;
                        };
                        let request = get("look", "").replace("c-1", &format!("c-{turn}-{n}-{m}"));
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
        assert_eq!(lost, 0, "requests that were written and never answered, turn {turn}");
        assert_eq!(node.exit_code(), Some(0));
    }
}

/// A part of a request has come when the process is stopped, the rest comes meanwhile. On waking the request is old, and
/// whole. Guards against a connection that is cut as stalled before what lies there has been read.
#[test]
fn the_rest_of_a_request_that_came_while_the_process_stood_still_is_read() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let (addr, calls) = agent();
    let node = Bare::start(addr, |c| c);
    let list = update_line(2, true, &[("s-1", server.addr, "active")]);
    let _watches = answer_until(&calls, &list, || readiness(&node) == 200);
    let mut clients: Vec<_> = (0..12).map(|_| TcpStream::connect(node.addr).expect("connect")).collect();
    let request =
        |n: usize| get("look", "").replace("c-1", &format!("c-{n}")).replace("Left: 3.0", "Left: 30.0");
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(&request(n).as_bytes()[..50]).expect("write");
    }
    std::thread::sleep(Duration::from_millis(100));
    stopped(&node, || {
        for (n, client) in clients.iter_mut().enumerate() {
            client.write_all(&request(n).as_bytes()[50..]).expect("write");
        }
        std::thread::sleep(Duration::from_millis(2800));
    });
    for client in &mut clients {
        assert_eq!(read_answer(client).body, "fine");
    }
}

/// A request lies in the queue of connections while its limiter starts and waits for its agent, which says nothing. Guards
/// against a server that is told more time than the client has left, and against an answer after it.
#[test]
fn the_time_in_the_queue_of_a_start_counts() {
    let (addr, _calls) = agent();
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let known = update_line(1, true, &[("s-1", server.addr, "active")]);
    let node = Bare::start(addr, |c| {
        c.replace(r#"{"version":1,"full":true,"servers":[]}"#, known.trim())
            .replace(r#""AimMs":1000"#, r#""AimMs":9000"#)
            .replace(r#""AimMs":2500"#, r#""AimMs":9000"#)
    });
    let began = Instant::now();
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all(get("look", "").replace("Left: 3.0", "Left: 9.0").as_bytes()).expect("write");
    assert_eq!(read_answer(&mut client).body, "fine");
    let waited = began.elapsed().as_secs_f64();
    let told: f64 = server.requests()[0].header("x-time-left").expect("a time").parse().expect("a number");
    assert!(waited > 1.0, "the agent is waited for: {waited}");
    assert!(told <= 9.0 - waited + 0.2, "told {told} s after {waited} s");
}
