//! Readers of the log that stand still or leave.

mod stubs;

use std::net::TcpStream;

use stubs::{exchange, post, wait_for, write_ok, Limiter, LogReader, Stub};

/// Each of them takes several log lines, which together fill pipe and queue.
const REQUESTS: usize = 4000;

fn limiter() -> (Limiter, Stub) {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    (Limiter::logging_requests(&[("s-1", &server, "active")]), server)
}

/// Sends requests one after another; an answer that does not come is a panic.
fn send_requests(limiter: &Limiter, kind: &str, number: usize) {
    let mut client = TcpStream::connect(limiter.addr).expect("a connection");
    client.set_read_timeout(Some(marldeal_standin::TIMEOUT)).expect("time-out");
    for n in 0..number {
        let answer = exchange(&mut client, &post("book", &format!("{kind}-{n}"), "", "x"));
        assert_eq!(answer.status, 200, "request {n}: {}", answer.head);
    }
}

/// Guards against a limiter that answers nothing more once its log waits to be read. What was dropped is counted, and
/// logged when the log is read again.
#[test]
fn reader_that_stands_still_stops_no_request() {
    let (limiter, _server) = limiter();
    limiter.set_log_reader(LogReader::StandsStill);
    send_requests(&limiter, "unread", REQUESTS);
    assert!(limiter.stat("log_dropped") > 0);
    limiter.set_log_reader(LogReader::Reads);
    limiter.wait_log(" log lines were dropped");
    send_requests(&limiter, "read-again", 1);
    limiter.wait_log(&format!("request {REQUESTS} was accepted"));
    let (log, dropped) = (limiter.log(), limiter.stat("log_dropped"));
    assert_eq!(log.matches(" log lines were dropped").count(), 1);
    assert!(log.contains(&format!("{dropped} log lines were dropped")), "stats said {dropped}");
}

/// Guards against a limiter that ends, or counts nothing, when writes to its log fail.
#[test]
fn reader_that_leaves_stops_no_request() {
    let (limiter, _server) = limiter();
    limiter.set_log_reader(LogReader::Leaves);
    send_requests(&limiter, "unread", 100);
    wait_for("lines that cannot be written", || limiter.stat("log_dropped") > 0);
}

/// The last lines before the end of the process are written, and its end does not wait long for a reader.
#[test]
fn last_lines_are_written_and_a_reader_is_not_waited_for() {
    let (mut limiter, _server) = limiter();
    send_requests(&limiter, "read", 500);
    limiter.signal("TERM");
    assert_eq!(limiter.exit_code(), Some(0));
    limiter.wait_log("stops");

    let (mut limiter, _server) = self::limiter();
    limiter.set_log_reader(LogReader::StandsStill);
    send_requests(&limiter, "unread", REQUESTS);
    limiter.signal("TERM");
    assert_eq!(limiter.exit_code(), Some(0));
}
