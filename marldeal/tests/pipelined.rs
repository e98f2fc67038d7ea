//! Several requests at once on one connection, at a process that closes its connections: each that has been read is
//! answered.

mod stubs;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use marldeal_standin::message::read;
use marldeal_standin::TIMEOUT;
use stubs::upgrade_environment::{wait_until_serving, Environment};
use stubs::{get, post, wait_for, write_ok, Limiter, Stub};

/// How long a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(150);
/// Requests that a client sends at once. They take longer than a process keeps connections that stops or is in standby.
const AT_ONCE: usize = 10;
const CONNECTIONS: usize = 4;
/// How long a process that stops accepts new connections, with the settings of these tests.
const ACCEPTS_AFTER_SIGTERM: Duration = Duration::from_millis(600);

fn slow_server() -> Stub {
    Stub::new(|_, stream| {
        std::thread::sleep(SERVICE_TIME);
        write_ok(stream, "fine")
    })
}

/// A connection on which look-ups and bookings have been sent at once.
fn send_at_once(addr: SocketAddr, connection: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("connect");
    stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
    let request = |n: usize| match n % 2 {
        0 => get("look", "").replace("c-1", &format!("c-{connection}-{n}")),
        _ => post("book", &format!("{connection}-{n}"), "", "some bytes"),
    };
    let requests: String = (0..AT_ONCE).map(request).collect();
    stream.write_all(requests.as_bytes()).expect("write");
    stream
}

fn send_on_all(addr: SocketAddr) -> Vec<TcpStream> {
    (0..CONNECTIONS).map(|connection| send_at_once(addr, connection)).collect()
}

/// The status of each answer on a connection until that ends, or until all requests are answered, and whether the last
/// one announces that it ends.
fn answers(stream: &mut TcpStream) -> (Vec<u16>, bool) {
    let (mut statuses, mut closes) = (Vec::new(), false);
    while statuses.len() < AT_ONCE {
        let Some(answer) = read(stream) else { break };
        statuses.push(answer.status);
        closes = answer.header("connection").as_deref() == Some("close");
    }
    (statuses, closes)
}

fn check_all_served(streams: Vec<TcpStream>) {
    let seen: Vec<_> = streams.into_iter().map(|mut stream| answers(&mut stream)).collect();
    assert_eq!(seen, vec![(vec![200; AT_ONCE], true); CONNECTIONS]);
}

/// Guards against requests in the HTTP server's buffer that are lost when the answer to the one before them closes the
/// connection, in standby.
#[test]
fn requests_behind_others_are_answered_in_standby() {
    let server = slow_server();
    let limiter = Limiter::with_management(&[("s-1", &server, "active")], |config| config);
    let streams = send_on_all(limiter.addr);
    wait_for("the first requests", || server.requests().len() >= CONNECTIONS);
    assert!(limiter.management_call(b"standby\n").starts_with("SUCCESS"));
    check_all_served(streams);
    assert_eq!(server.requests().len(), CONNECTIONS * AT_ONCE);
}

/// The same after SIGTERM, once the process closes its connections.
#[test]
fn requests_behind_others_are_answered_after_sigterm() {
    let server = slow_server();
    let mut limiter = Limiter::start(&[("s-1", &server, "active")]);
    let streams = send_on_all(limiter.addr);
    wait_for("the first requests", || server.requests().len() >= CONNECTIONS);
    limiter.signal("TERM");
    check_all_served(streams);
    assert_eq!(limiter.exit_code(), Some(0));
}

/// The same on new connections that a process refuses since it stops.
#[test]
fn requests_behind_others_on_late_connections_are_refused() {
    let server = Stub::new(|_, stream| {
        std::thread::sleep(ACCEPTS_AFTER_SIGTERM * 3);
        write_ok(stream, "fine")
    });
    let limiter = Limiter::start(&[("s-1", &server, "active")]);
    let mut open = TcpStream::connect(limiter.addr).expect("connect");
    open.write_all(get("look", "").as_bytes()).expect("write");
    wait_for("the open request", || server.requests().len() == 1);
    let terminated = Instant::now();
    limiter.signal("TERM");
    limiter.wait_log("new connections are turned away from now on");
    assert!(terminated.elapsed() < ACCEPTS_AFTER_SIGTERM * 2);
    let mut late = send_at_once(limiter.addr, 1);
    assert_eq!(answers(&mut late), (vec![429; AT_ONCE], true));
}

/// The same in an upgrade: the old process answers, or passes the requests on with their connection.
#[test]
fn requests_behind_others_are_answered_through_an_upgrade() {
    let server = slow_server();
    let environment = Environment::new(&[("s-1", &server, "active")]);
    let old = environment.start();
    wait_until_serving(&old);
    let new = environment.start();
    wait_until_serving(&new);
    let streams = send_on_all(environment.connect().peer_addr().expect("an address"));
    wait_for("the first requests", || server.requests().len() >= CONNECTIONS);
    old.signal("TERM");
    for mut stream in streams {
        assert_eq!(answers(&mut stream), (vec![200; AT_ONCE], false));
    }
    assert_eq!(server.requests().len(), CONNECTIONS * AT_ONCE);
}
