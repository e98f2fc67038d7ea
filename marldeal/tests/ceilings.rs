//! Hard ceilings, judged by the units of the requests that have come whole to a server.

mod stubs;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use stubs::{post, read_answer, write_ok, Limiter, Stub};

/// Depth (units), rate (units per second) and slack (units) of the ceiling.
const DEPTH: f64 = 100.0;
const RATE: f64 = 25.0;
const SLACK: f64 = 1.0;
/// Number and units of the requests whose bodies take long.
const UPLOADS: usize = 15;
const UPLOAD_UNITS: usize = 4;
/// Length of their bodies, and the part that arrives at once, in bytes. Bodies over 1.6 MB are streamed.
const UPLOAD_BYTES: usize = 1_900_000;
const SENT_AT_ONCE: usize = 1_700_000;
/// The rest follows after this time, in which what the uploads have taken is filled up again.
const UPLOAD_TIME: Duration = Duration::from_secs(4);
/// Number of short requests of one unit.
const SHORT_REQUESTS: usize = 62;

/// Begins a request and returns its connection and what remains to be sent.
fn begin(limiter: &Limiter, key: &str, units: usize, length: usize, sent: usize) -> (TcpStream, String) {
    let request = post("book", key, "", &"b".repeat(length));
    let request = request.replace("units=1,", &format!("units={units},"));
    let (first, rest) = request.split_at(sent);
    let mut stream = TcpStream::connect(limiter.addr).expect("connect");
    stream.set_read_timeout(Some(marldeal_standin::TIMEOUT)).expect("time-out");
    stream.write_all(first.as_bytes()).expect("write");
    (stream, rest.to_string())
}

fn send_rest(requests: &mut [(TcpStream, String)]) {
    for (stream, rest) in requests {
        stream.write_all(rest.as_bytes()).expect("write");
    }
}

/// Guards against uploads that have taken their units long before they come whole to a server, beside a store that has
/// filled up meanwhile. A request takes its units when its first attempt has come whole to a server.
#[test]
fn uploads_that_come_whole_together_keep_the_ceiling() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let plan = format!(
        r#""Rate":400,"StoreSize":1600,"HardRate":{RATE},"NeverOverDepth":{DEPTH},"CeilingSlack":{SLACK}"#
    );
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], |config| {
        config.replace(r#""Rate":0,"StoreSize":0"#, &plan).replace(r#""memory_mb":192"#, r#""memory_mb":60"#)
    });
    let mut uploads: Vec<_> = (0..UPLOADS)
        .map(|n| begin(&limiter, &format!("upload-{n}"), UPLOAD_UNITS, UPLOAD_BYTES, SENT_AT_ONCE))
        .collect();
    std::thread::sleep(UPLOAD_TIME);
    let mut short: Vec<_> =
        (0..SHORT_REQUESTS).map(|n| begin(&limiter, &format!("short-{n}"), 1, 2, 10)).collect();
    let began = Instant::now();
    send_rest(&mut uploads);
    send_rest(&mut short);
    for (stream, _) in uploads.iter_mut().chain(&mut short) {
        read_answer(stream);
    }
    let bound = DEPTH + SLACK + RATE * began.elapsed().as_secs_f64();
    let units = |body: &str| if body.len() == UPLOAD_BYTES { UPLOAD_UNITS } else { 1 };
    let forwarded: usize = server.requests().iter().map(|request| units(&request.body)).sum();
    assert!(forwarded as f64 <= bound, "{forwarded} units forwarded, allowed are {bound}");
}
