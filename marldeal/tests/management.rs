//! The management interface: status, stats, and the switch between standby and active.

mod stubs;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use stubs::{
    exchange, get, post, read_answer, ready, send_request, server_with_held_requests, update_line, wait_for,
    write_ok, Limiter, Stub,
};

/// Every request is counted once, the counts match what the clients saw, and the attempts match what the
/// servers saw.
#[test]
fn stats_match_what_clients_and_servers_saw() {
    let server = Stub::new(|seen, stream| match seen.body.as_str() {
        "fail" => write!(stream, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").is_ok(),
        "full" => write!(stream, "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n").is_ok(),
        "slow" => {
            std::thread::sleep(Duration::from_millis(700));
            write_ok(stream, "done")
        }
        _ => write_ok(stream, "done"),
    });
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| c);
    let text = limiter.management_call(b"stats\n");
    assert!(text.starts_with("SUCCESS") && text.ends_with("\nEOT\n"), "{text}");
    for name in
        ["succeeded.look", "succeeded.book", "declined.look", "declined.book", "aborted.look", "aborted.book"]
    {
        assert!(text.contains(&format!("\n{name}=0\n")), "{name} in {text}");
    }
    assert_eq!((limiter.stat("discovered"), limiter.stat("ejected")), (1, 0));
    let mut client = TcpStream::connect(limiter.addr).expect("connect");
    assert_eq!(exchange(&mut client, &get("look", "")).status, 200);
    assert_eq!(exchange(&mut client, &post("book", "k1", "", "fail")).status, 502);
    assert_eq!(exchange(&mut client, &post("book", "k2", "", "full")).status, 429);
    // Malformed requests, with a known class and without one.
    assert_eq!(send_request(&limiter, &get("look", "").replace("units=1", "units=0")).status, 400);
    assert_eq!(send_request(&limiter, &get("lock", "")).status, 400);
    let mut disconnected = TcpStream::connect(limiter.addr).expect("connect");
    disconnected.write_all(post("book", "k3", "", "slow").as_bytes()).expect("write");
    wait_for("the slow request to be open", || limiter.stat("outstanding") == 1);
    drop(disconnected);
    wait_for("the request to end", || limiter.stat("outstanding") == 0);
    assert_eq!((limiter.stat("succeeded.look"), limiter.stat("succeeded.book")), (1, 0));
    assert_eq!((limiter.stat("declined.look"), limiter.stat("declined.book")), (0, 1));
    // The malformed request; the failed one and the one whose client disconnected.
    assert_eq!((limiter.stat("aborted.look"), limiter.stat("aborted.book")), (1, 2));
    assert_eq!(limiter.stat("forwards"), server.requests().len() as u64);
}

/// A socket whose port refuses connections, and is given to nobody else, for as long as the socket is held.
fn refusing_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket
}

/// Guards against counting an attempt that a server never received completely.
#[test]
fn attempt_that_reached_no_server_is_not_counted() {
    let refusing = refusing_socket();
    let dead = refusing.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
    let server = Stub::new(|_, stream| write_ok(stream, "done"));
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| c);
    limiter.discovery.push(&update_line(2, true, &[("s-2", dead, "active")]));
    wait_for("the new list", || limiter.log().contains("s-2"));
    assert_eq!(send_request(&limiter, &get("look", "")).status, 429);
    assert_eq!(limiter.stat("forwards"), 0);
    wait_for("the server to be avoided", || {
        send_request(&limiter, &get("look", ""));
        limiter.stat("ejected") == 1
    });
}

#[test]
fn reloads_are_counted() {
    let server = Stub::new(|_, stream| write_ok(stream, "done"));
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| c);
    limiter.reload(|c| c);
    wait_for("an applied reload", || limiter.stat("sighup_applied") == 1);
    limiter.reload(|_| "{".to_string());
    wait_for("a rejected reload", || limiter.stat("sighup_rejected") == 1);
    assert_eq!(limiter.stat("sighup_applied"), 1);
}

/// In standby readiness fails at once, further requests are served, each answer closes its connection, and idle
/// connections are closed. `active` ends the standby.
#[test]
fn standby_closes_connections_and_active_keeps_them_again() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| c);
    assert_eq!(limiter.management_call(b"status\n"), "SUCCESS serving\n");
    assert_eq!(limiter.management_call(b"active\n"), "SUCCESS serving\n");
    let connect = || {
        let stream = TcpStream::connect(limiter.addr).expect("connect");
        stream.set_read_timeout(Some(marldeal_standin::TIMEOUT)).expect("time-out");
        stream
    };
    let (mut kept, mut idle, mut silent) = (connect(), connect(), connect());
    assert_eq!(exchange(&mut kept, &get("look", "")).status, 200);
    assert_eq!(exchange(&mut idle, &get("look", "")).status, 200);
    assert_eq!(limiter.management_call(b"standby\n"), "SUCCESS standby\n");
    assert_eq!(ready(&limiter), 503);
    assert_eq!(
        limiter.management_call(b"status\n"),
        "SUCCESS standby\n",
        "standby, not unready: a server is available"
    );
    let answer = exchange(&mut kept, &get("look", ""));
    assert_eq!((answer.status, answer.header("connection").as_deref()), (200, Some("close")));
    assert_eq!(kept.read(&mut [0; 16]).expect("a clean end"), 0);
    assert_eq!(send_request(&limiter, &get("look", "")).status, 200, "new connections are still served");
    assert_eq!(limiter.management_call(b"standby\n"), "SUCCESS standby\n");
    assert_eq!(idle.read(&mut [0; 16]).expect("a clean end"), 0, "closed after its last answer");
    assert_eq!(silent.read(&mut [0; 16]).expect("a clean end"), 0, "closed though it never sent a request");
    assert_eq!(limiter.management_call(b"active\n"), "SUCCESS serving\n");
    assert_eq!(ready(&limiter), 200);
    let mut again = connect();
    assert_eq!(exchange(&mut again, &get("look", "")).header("connection"), None);
    assert_eq!(exchange(&mut again, &get("look", "")).status, 200, "the connection is kept again");
}

/// Requests from before the standby are answered, however long that takes.
#[test]
fn standby_loses_no_request() {
    let (server, release) = server_with_held_requests();
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| c);
    let mut slow = TcpStream::connect(limiter.addr).expect("connect");
    slow.write_all(post("book", "k", "", "slow").as_bytes()).expect("write");
    wait_for("the request to arrive", || server.requests().len() == 1);
    let mut idle = TcpStream::connect(limiter.addr).expect("connect");
    assert_eq!(exchange(&mut idle, &get("look", "")).status, 200);
    limiter.management_call(b"standby\n");
    idle.set_read_timeout(Some(marldeal_standin::TIMEOUT)).expect("time-out");
    assert_eq!(idle.read(&mut [0; 16]).expect("a clean end"), 0, "idle connections are closed");
    release.store(true, Ordering::SeqCst);
    assert_eq!(read_answer(&mut slow).body, "done");
}

/// A process that is stopping says so and cannot be made active again.
#[test]
fn sigterm_in_standby_cannot_be_cancelled() {
    let (server, release) = server_with_held_requests();
    let mut limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| c);
    let mut slow = TcpStream::connect(limiter.addr).expect("connect");
    slow.write_all(post("book", "k", "", "slow").as_bytes()).expect("write");
    wait_for("the request to arrive", || server.requests().len() == 1);
    limiter.management_call(b"standby\n");
    limiter.signal("TERM");
    limiter.wait_log("finishing");
    assert!(limiter.management_call(b"active\n").starts_with("FAILURE this process is stopping"));
    assert!(limiter.management_call(b"stats\n").contains("outstanding=1"));
    release.store(true, Ordering::SeqCst);
    assert_eq!(read_answer(&mut slow).body, "done");
    assert_eq!(limiter.exit_code(), Some(0));
}

/// Management connections that send nothing, a partial line or garbage do not delay others.
#[test]
fn malformed_calls_do_not_delay_others() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| c);
    let mut held = Vec::new();
    for n in 0..200 {
        let mut stream = TcpStream::connect(limiter.management_addr()).expect("connect");
        let _ = stream.write_all([&b""[..], b"sta", b"\0\xff"][n % 3]);
        held.push(stream);
        if n % 20 == 0 {
            assert_eq!(limiter.management_call(b"status\n"), "SUCCESS serving\n");
        }
    }
    assert_eq!(limiter.management_call(b"status\n"), "SUCCESS serving\n");
    for (bytes, why) in [
        (&b"\n"[..], "no call"),
        (b"restart\n", "unknown call"),
        (b"maint-on\n", "unknown call"),
        (&[b'x'; 5000], "the line is too long"),
        (b"status\xc3\n", "a call is written in ASCII"),
    ] {
        let answer = limiter.management_call(bytes);
        assert_eq!(answer, format!("FAILURE {why}; the calls are status, stats, standby, active\n"));
    }
    assert_eq!(
        limiter.management_call(b"status\r\nstandby\r\n"),
        "SUCCESS serving\n",
        "one call per connection"
    );
    let mut half = TcpStream::connect(limiter.management_addr()).expect("connect");
    half.write_all(b"standby").expect("write");
    half.shutdown(std::net::Shutdown::Write).expect("shutdown");
    let mut answer = String::new();
    half.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("FAILURE the line did not come whole"), "{answer}");
    assert_eq!(ready(&limiter), 200, "the partial call had no effect");
}

/// Management calls are answered while clients hold all descriptors that they may use.
#[test]
fn management_is_answered_while_clients_hold_all_descriptors() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |c| {
        c.replace(r#""sockets":1024"#, r#""sockets":100"#)
    });
    let clients: Vec<_> = (0..150).map(|_| TcpStream::connect(limiter.addr).expect("connect")).collect();
    for _ in 0..20 {
        assert!(limiter.management_call(b"stats\n").ends_with("EOT\n"));
    }
    drop(clients);
}
