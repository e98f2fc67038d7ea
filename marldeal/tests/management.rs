//! What operators call: status, figures, sending clients away and taking them again.

mod stubs;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stubs::{
    ask, exchange, get, held, post, read_answer, ready, update_line, wait_for, write_ok, Node, Stub,
};

/// Every request ends in one count, the counts are what the clients saw, and attempts are those that nodes saw.
#[test]
fn figures_are_what_clients_and_nodes_saw() {
    let server = Stub::new(|seen, stream| match seen.body.as_str() {
        "fail" => write!(stream, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").is_ok(),
        "full" => write!(stream, "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n").is_ok(),
        "slow" => {
            std::thread::sleep(Duration::from_millis(700));
            write_ok(stream, "done")
        }
        _ => write_ok(stream, "done"),
    });
    let node = Node::managed(&[("s-1", &server, "active")], |c| c);
    let text = node.operator(b"stats\n");
    assert!(text.starts_with("SUCCESS") && text.ends_with("\nEOT\n"), "{text}");
    for name in
        ["succeeded.look", "succeeded.book", "declined.look", "declined.book", "aborted.look", "aborted.book"]
    {
        assert!(text.contains(&format!("\n{name}=0\n")), "{name} in {text}");
    }
    assert_eq!((node.figure("discovered"), node.figure("ejected")), (1, 0));
    let mut client = TcpStream::connect(node.addr).expect("connect");
    assert_eq!(exchange(&mut client, &get("look", "")).status, 200);
    assert_eq!(exchange(&mut client, &post("book", "k1", "", "fail")).status, 502);
    assert_eq!(exchange(&mut client, &post("book", "k2", "", "full")).status, 429);
    // Bad input with a known class, and with none.
    assert_eq!(ask(&node, &get("look", "").replace("units=1", "units=0")).status, 400);
    assert_eq!(ask(&node, &get("lock", "")).status, 400);
    let mut gone = TcpStream::connect(node.addr).expect("connect");
    gone.write_all(post("book", "k3", "", "slow").as_bytes()).expect("write");
    wait_for("the slow one to be open", || node.figure("outstanding") == 1);
    drop(gone);
    wait_for("its end", || node.figure("outstanding") == 0);
    assert_eq!((node.figure("succeeded.look"), node.figure("succeeded.book")), (1, 0));
    assert_eq!((node.figure("declined.look"), node.figure("declined.book")), (0, 1));
    // The bad one; the failed one and the one whose client left.
    assert_eq!((node.figure("aborted.look"), node.figure("aborted.book")), (1, 2));
    assert_eq!(node.figure("forwards"), server.requests().len() as u64);
}

/// Guards against counting an attempt that a server never got whole.
#[test]
fn an_attempt_that_reached_nobody_is_no_forward() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let dead = listener.local_addr().expect("an address");
    let server = Stub::new(|_, stream| write_ok(stream, "done"));
    let node = Node::managed(&[("s-1", &server, "active")], |c| c);
    drop(listener);
    node.discovery.push(&update_line(2, true, &[("s-2", dead, "active")]));
    wait_for("the new list", || node.log().contains("s-2"));
    assert_eq!(ask(&node, &get("look", "")).status, 429);
    assert_eq!(node.figure("forwards"), 0);
    wait_for("the server to be avoided", || {
        ask(&node, &get("look", ""));
        node.figure("ejected") == 1
    });
}

#[test]
fn reloads_are_counted() {
    let server = Stub::new(|_, stream| write_ok(stream, "done"));
    let node = Node::managed(&[("s-1", &server, "active")], |c| c);
    node.reload(|c| c);
    wait_for("a good reload", || node.figure("sighup_applied") == 1);
    node.reload(|_| "{".to_string());
    wait_for("a bad one", || node.figure("sighup_rejected") == 1);
    assert_eq!(node.figure("sighup_applied"), 1);
}

/// In standby: no at once; what still comes is served; each answer closes its connection, and idle ones are closed.
/// `active` takes clients again.
#[test]
fn standby_sends_clients_away_and_active_takes_them_again() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let node = Node::managed(&[("s-1", &server, "active")], |c| c);
    assert_eq!(node.operator(b"status\n"), "SUCCESS serving\n");
    assert_eq!(node.operator(b"active\n"), "SUCCESS serving\n");
    let connect = || {
        let stream = TcpStream::connect(node.addr).expect("connect");
        stream.set_read_timeout(Some(marldeal_standin::TIMEOUT)).expect("time-out");
        stream
    };
    let (mut kept, mut idle, mut silent) = (connect(), connect(), connect());
    assert_eq!(exchange(&mut kept, &get("look", "")).status, 200);
    assert_eq!(exchange(&mut idle, &get("look", "")).status, 200);
    assert_eq!(node.operator(b"standby\n"), "SUCCESS standby\n");
    assert_eq!(ready(&node), 503);
    assert_eq!(node.operator(b"status\n"), "SUCCESS standby\n", "it could serve");
    let answer = exchange(&mut kept, &get("look", ""));
    assert_eq!((answer.status, answer.header("connection").as_deref()), (200, Some("close")));
    assert_eq!(kept.read(&mut [0; 16]).expect("a clean end"), 0);
    assert_eq!(ask(&node, &get("look", "")).status, 200, "new connections are still served");
    assert_eq!(node.operator(b"standby\n"), "SUCCESS standby\n");
    assert_eq!(idle.read(&mut [0; 16]).expect("a clean end"), 0, "closed though nothing was asked");
    assert_eq!(silent.read(&mut [0; 16]).expect("a clean end"), 0, "and one that never asked");
    assert_eq!(node.operator(b"active\n"), "SUCCESS serving\n");
    assert_eq!(ready(&node), 200);
    let mut again = connect();
    assert_eq!(exchange(&mut again, &get("look", "")).header("connection"), None);
    assert_eq!(exchange(&mut again, &get("look", "")).status, 200, "kept again");
}

/// What was asked before the standby is answered, however long that takes.
#[test]
fn standby_loses_no_request() {
    let (server, release) = held();
    let node = Node::managed(&[("s-1", &server, "active")], |c| c);
    let mut slow = TcpStream::connect(node.addr).expect("connect");
    slow.write_all(post("book", "k", "", "slow").as_bytes()).expect("write");
    wait_for("the request to arrive", || server.requests().len() == 1);
    let mut idle = TcpStream::connect(node.addr).expect("connect");
    assert_eq!(exchange(&mut idle, &get("look", "")).status, 200);
    node.operator(b"standby\n");
    idle.set_read_timeout(Some(marldeal_standin::TIMEOUT)).expect("time-out");
    assert_eq!(idle.read(&mut [0; 16]).expect("a clean end"), 0, "idle ones go");
    release.store(true, Ordering::SeqCst);
    assert_eq!(read_answer(&mut slow).body, "done");
}

/// A process that ends says so and takes no command back.
#[test]
fn standby_then_sigterm_ends_and_an_end_is_not_called_off() {
    let (server, release) = held();
    let mut node = Node::managed(&[("s-1", &server, "active")], |c| c);
    let mut slow = TcpStream::connect(node.addr).expect("connect");
    slow.write_all(post("book", "k", "", "slow").as_bytes()).expect("write");
    wait_for("the request to arrive", || server.requests().len() == 1);
    node.operator(b"standby\n");
    node.signal("TERM");
    node.wait_log("finishing");
    assert!(node.operator(b"active\n").starts_with("FAILURE this process is stopping"));
    assert!(node.operator(b"stats\n").contains("outstanding=1"));
    release.store(true, Ordering::SeqCst);
    assert_eq!(read_answer(&mut slow).body, "done");
    assert_eq!(node.exit_code(), Some(0));
}

/// Callers that say nothing, half a line or nonsense hold up nobody, and nothing of them grows.
#[test]
fn bad_callers_do_not_delay_a_whole_call() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let node = Node::managed(&[("s-1", &server, "active")], |c| c);
    let mut held = Vec::new();
    for n in 0..200 {
        let mut stream = TcpStream::connect(node.management()).expect("connect");
        let _ = stream.write_all([&b""[..], b"sta", b"\0\xff"][n % 3]);
        held.push(stream);
        if n % 20 == 0 {
            assert_eq!(node.operator(b"status\n"), "SUCCESS serving\n");
        }
    }
    assert_eq!(node.operator(b"status\n"), "SUCCESS serving\n");
    for (bytes, why) in [
        (&b"\n"[..], "no call"),
        (b"restart\n", "unknown call"),
        (b"maint-on\n", "unknown call"),
        (&[b'x'; 5000], "the line is too long"),
        (b"status\xc3\n", "a call is written in ASCII"),
    ] {
        let answer = node.operator(bytes);
        assert_eq!(answer, format!("FAILURE {why}; the calls are status, stats, standby, active\n"));
    }
    assert_eq!(node.operator(b"status\r\nstandby\r\n"), "SUCCESS serving\n", "one call a connection");
    let mut half = TcpStream::connect(node.management()).expect("connect");
    half.write_all(b"standby").expect("write");
    half.shutdown(std::net::Shutdown::Write).expect("shutdown");
    let mut answer = String::new();
    half.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("FAILURE the line did not come whole"), "{answer}");
    assert_eq!(ready(&node), 200, "no half call was taken for one");
}

/// Every descriptor that clients may have is taken: operators are answered all the same.
#[test]
fn operators_are_answered_while_clients_hold_all_they_may() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let node =
        Node::managed(&[("s-1", &server, "active")], |c| c.replace(r#""sockets":1024"#, r#""sockets":100"#));
    let crowd: Vec<_> = (0..150).map(|_| TcpStream::connect(node.addr).expect("connect")).collect();
    for _ in 0..20 {
        assert!(node.operator(b"stats\n").ends_with("EOT\n"));
    }
    drop(crowd);
}
