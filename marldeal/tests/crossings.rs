//! Two events that cross, on real sockets, the order forced: `docs/design/rare-moments.md` lists them.

mod stubs;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
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

const PATIENT: Duration = Duration::from_secs(15);

/// An agent that was away swallowed a call and is back: what it has counts as told at once, and the grace may be short.
/// Guards against a limiter that waits for the swallowed call. The time allowed lies far over the quarter of the grace that
/// it takes, and under the 4.5 s that one call was waited for.
#[test]
fn a_call_that_the_agent_swallowed_is_not_waited_for() {
    let (addr, calls) = agent();
    let node = Bare::start(addr, |c| c);
    let swallowed = call(&calls, PATIENT, "first call");
    let mut answered = call(&calls, Duration::from_millis(2500), "second call beside the first");
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let _ = answered.write_all(HEAD.as_bytes());
    say(&mut answered, &line(2, true, &[("s-1", server.addr, "active")]));
    wait_for("readiness", || node.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status == 200);
    drop(swallowed);
    assert_eq!(node.ask(&get("look", "")).body, "fine");
}

/// The agent is back, tells at once that the server drains, and a request comes: none may go there any more.
#[test]
fn a_drain_told_at_the_agents_return_is_kept() {
    let (addr, calls) = agent();
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let node = Bare::start(addr, |c| c);
    let mut first = call(&calls, PATIENT, "first call");
    let _ = first.write_all(HEAD.as_bytes());
    say(&mut first, &line(2, true, &[("s-1", server.addr, "active")]));
    wait_for("readiness", || node.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status == 200);
    // Away: the watch is reset, and what is asked from here on is swallowed.
    drop(first);
    let swallowed = call(&calls, PATIENT, "call that is swallowed");
    // Back: whoever asks now hears it.
    let back = Instant::now();
    let mut second = call(&calls, Duration::from_millis(2500), "call after the return");
    let _ = second.write_all(HEAD.as_bytes());
    say(&mut second, &line(3, false, &[("s-1", server.addr, "leaving")]));
    wait_for("the drain", || node.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status == 503);
    assert!(back.elapsed() < Duration::from_millis(4000), "{:?}", back.elapsed());
    assert_eq!(node.ask(&get("look", "")).status, 429);
    assert_eq!(server.arrivals(), 0);
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
    let compact = line(5, true, &[("s-1", server.addr, "active")]);
    let value: serde_json::Value = serde_json::from_str(&compact).expect("a list");
    let indented = serde_json::to_string_pretty(&value).expect("text") + "\n";
    for piece in indented.as_bytes().chunks(7) {
        node.discovery.push(std::str::from_utf8(piece).expect("plain text"));
    }
    wait_for("the indented list", || ready(&node) == 200);
    assert_eq!(ask(&node, &get("look", "")).body, "fine");
    assert_eq!(node.discovery.watches().len(), 1, "on the watch that it came on");
}
