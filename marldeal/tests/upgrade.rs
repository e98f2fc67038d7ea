//! An upgrade between two processes of one limiter: the listening socket, the quota accounts and the clients'
//! connections pass from the old process to the new one.

mod stubs;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use marldeal::upgrade::frame::{Frame, VERSION};
use marldeal_standin::discovery::update_line;
use marldeal_standin::message::read;
use stubs::upgrade_environment::{start_with_successor, wait_until_serving, Environment};
use stubs::{exchange, get, post, read_answer, server_with_held_requests, wait_for, write_ok, Process, Stub};

/// A server that answers every request with 200.
fn ok_server() -> Stub {
    Stub::new(|_, stream| write_ok(stream, "fine"))
}

/// Rate (units per second) of the plan with a quota.
const RATE: f64 = 0.4;
/// Burst (units) of the plan with a quota.
const BURST: f64 = 3.0;

fn quota(config: String) -> String {
    config.replace(r#""Rate":0,"StoreSize":0"#, &format!(r#""Rate":{RATE},"StoreSize":{BURST}"#))
}

/// Sends ten requests of one unit each on one connection and returns how many were admitted.
fn send_ten(stream: &mut TcpStream) -> usize {
    (0..10).filter(|_| exchange(stream, &get("look", "")).status == 200).count()
}

/// The units that one limiter may have admitted for a customer since `since`.
fn max_admitted(since: Instant) -> usize {
    (BURST + RATE * since.elapsed().as_secs_f64()) as usize
}

/// During an upgrade clients keep their connections and each request is answered once: none is refused, reset
/// or cut off.
#[test]
fn upgrade_under_load_loses_no_request() {
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]);
    let (mut old, new) = start_with_successor(&environment);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let (stop, mut stream) = (stop.clone(), environment.connect());
            std::thread::spawn(move || {
                let mut served = 0;
                while !stop.load(Ordering::SeqCst) {
                    let request = post("book", &format!("{n}-{served}"), "", "x");
                    assert_eq!(
                        exchange(&mut stream, &request).status,
                        200,
                        "the connection survives the upgrade"
                    );
                    served += 1;
                }
                served
            })
        })
        .collect();
    // Idle connections that are kept during the upgrade.
    let mut kept: Vec<_> = (0..20).map(|_| environment.connect()).collect();
    kept.iter_mut().for_each(|stream| assert_eq!(exchange(stream, &get("look", "")).status, 200));
    let silent = environment.connect();
    wait_until_serving(&new);
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    new.wait_log("the predecessor has gone");
    wait_for("requests at the new process", || new.stat("succeeded.book") > 50);
    stop.store(true, Ordering::SeqCst);
    let served: usize = clients.into_iter().map(|c| c.join().expect("no client got an error")).sum();
    kept.iter_mut().for_each(|stream| assert_eq!(exchange(stream, &get("look", "")).status, 200));
    drop(silent);
    let seen = server.requests();
    assert_eq!(seen.len(), served + 40, "each request ran once");
    assert_eq!(new.management_call(b"status\n"), "SUCCESS serving\n");
}

/// A customer that has used up its quota gets no more from the new process, and the old one finishes accepted
/// requests.
#[test]
fn quota_is_not_granted_twice_and_accepted_requests_finish() {
    let (server, release) = server_with_held_requests();
    let environment = Environment::new(&[("s-1", &server, "active")]).alter(quota);
    let (mut old, new) = start_with_successor(&environment);
    let began = Instant::now();
    let mut slow = environment.connect();
    slow.write_all(post("book", "a", "", "slow").as_bytes()).expect("write");
    wait_for("the slow request", || server.requests().len() == 1);
    let before = send_ten(&mut environment.connect());
    assert!(before >= 2, "the slow request has one unit, two remain: {before}");
    wait_until_serving(&new);
    old.signal("TERM");
    new.wait_log("goes on as the same limiter");
    let after = send_ten(&mut environment.connect());
    assert!(1 + before + after <= max_admitted(began), "{after} more admitted after the upgrade");
    release.store(true, Ordering::SeqCst);
    assert_eq!(read_answer(&mut slow).body, "done");
    assert_eq!(old.exit_code(), Some(0));
    // Its connection has passed to the new process.
    assert_eq!(exchange(&mut slow, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status, 200);
}

/// Longest deadline of the settings in the test of SIGKILL.
const LONGEST_DEADLINE: Duration = Duration::from_millis(1500);
/// SIGKILL follows SIGTERM after the longest deadline and 0.7 s.
const SIGKILL_AFTER: Duration = LONGEST_DEADLINE.saturating_add(Duration::from_millis(700));
fn with_longest_deadline(config: String) -> String {
    let deadline = format!(r#""LateWorth":0,"DeadlineMs":{}"#, LONGEST_DEADLINE.as_millis());
    config.replace(r#""LateWorth":0"#, &deadline)
}

/// The bookings arrive whole this long after SIGTERM.
const BODY_COMPLETE_AFTER: Duration = Duration::from_millis(1700);

/// Ends the old process as the platform does, and then completes the bookings. Returns the status of each answer, or
/// nothing where the connection ended without one.
fn complete_bookings_while_ending(old: &Process, bookings: Vec<(TcpStream, String)>) -> Vec<Option<u16>> {
    let terminated = Instant::now();
    old.signal("TERM");
    let complete = |(mut stream, rest): (TcpStream, String)| {
        std::thread::spawn(move || {
            std::thread::sleep(BODY_COMPLETE_AFTER);
            stream.write_all(rest.as_bytes()).expect("write");
            read(&mut stream).map(|answer| answer.status)
        })
    };
    let clients: Vec<_> = bookings.into_iter().map(complete).collect();
    std::thread::sleep(SIGKILL_AFTER.saturating_sub(terminated.elapsed()));
    old.signal("KILL");
    clients.into_iter().map(|client| client.join().expect("the client ends")).collect()
}

/// Guards against bookings that are open when the platform kills their process. Their bodies arrive whole long after
/// SIGTERM, one is held in memory and one is streamed, and their server takes longer than the process has left. A
/// process that hands over and one that just stops have to answer alike.
#[test]
fn bookings_that_arrive_late_at_an_ending_process_are_answered_before_sigkill() {
    for upgraded in [true, false] {
        let server = Stub::new(|_, stream| {
            std::thread::sleep(Duration::from_secs(3));
            write_ok(stream, "too late")
        });
        let environment = Environment::new(&[("s-1", &server, "active")])
            .alter(|config| with_longest_deadline(config).replace(r#""memory_mb":192"#, r#""memory_mb":20"#));
        let old = environment.start();
        wait_until_serving(&old);
        let new = upgraded.then(|| {
            let new = environment.start();
            wait_until_serving(&new);
            new
        });
        let bookings = [("held", 1000, 500), ("streamed", 700_000, 600_000)].map(|(key, length, sent)| {
            let request = post("book", key, "", &"b".repeat(length));
            let request = request.replace("X-Time-Left: 3.0", "X-Time-Left: 8.0");
            let (first, rest) = request.split_at(sent);
            let mut stream = environment.connect();
            stream.write_all(first.as_bytes()).expect("write");
            (stream, rest.to_string())
        });
        wait_for("the streamed booking", || old.stat("outstanding") == 1);
        let answers = complete_bookings_while_ending(&old, bookings.into());
        // The server may have run them.
        assert_eq!(answers, [Some(502), Some(502)], "upgraded: {upgraded}");
        drop(new);
    }
}

/// How a process comes to its end.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Ending {
    Stopped,
    StoppedInStandby,
    Upgraded,
}

/// How long new clients may still arrive after a limiter has reported that it is not ready.
const READINESS_LAG: Duration = Duration::from_millis(600);
/// Length of the uploads. Under the default limit on memory bodies over 5,033,164 bytes are streamed.
const UPLOAD_BYTES: usize = 5_090_000;
/// The end of an upload that a client still has to send when its limiter is asked to end.
const UPLOAD_REST: usize = 50_000;
const CHUNK_BYTES: usize = 10_000;

/// A booking whose body has a declared length, or comes in chunks.
fn upload(key: &str, chunked: bool) -> String {
    if !chunked {
        return post("book", key, "", &"b".repeat(UPLOAD_BYTES));
    }
    let head = post("book", key, "", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
    head + &chunk.repeat(UPLOAD_BYTES / CHUNK_BYTES) + "0\r\n\r\n"
}

/// Begins an upload and returns the rest that its client has to send.
fn begin_upload(environment: &Environment, chunked: bool, rest: usize) -> (TcpStream, String) {
    let request =
        upload(&format!("{chunked}-{rest}"), chunked).replace("X-Time-Left: 3.0", "X-Time-Left: 8.0");
    let (first, rest) = request.split_at(request.len() - rest);
    let mut stream = environment.connect();
    stream.write_all(first.as_bytes()).expect("write");
    (stream, rest.to_string())
}

/// Guards against uploads that are open when the platform kills their process, because they keep the time that they had
/// before SIGTERM: their server takes nothing of them, so that nothing more is reported of them from then on.
#[test]
fn uploads_at_a_server_that_reads_nothing_are_answered_before_sigkill() {
    let answers = [Ending::Stopped, Ending::StoppedInStandby, Ending::Upgraded].map(|ending| {
        let hanging = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = hanging.local_addr().expect("an address");
        let environment =
            Environment::with_addresses(&[("s-1", addr, "active")]).alter(with_longest_deadline);
        let old = environment.start();
        wait_until_serving(&old);
        let uploads: Vec<_> = [(false, 0), (true, 0), (false, UPLOAD_REST), (true, UPLOAD_REST)]
            .map(|(chunked, rest)| begin_upload(&environment, chunked, rest))
            .into();
        wait_for("the uploads", || old.stat("outstanding") == uploads.len() as u64);
        let new = (ending == Ending::Upgraded).then(|| {
            let new = environment.start();
            wait_until_serving(&new);
            new
        });
        if ending == Ending::StoppedInStandby {
            assert!(old.management_call(b"standby\n").starts_with("SUCCESS"));
        }
        std::thread::sleep(READINESS_LAG);
        let answers = complete_bookings_while_ending(&old, uploads);
        drop(new);
        answers
    });
    // No server can have begun them.
    assert_eq!(answers, [[Some(429); 4]; 3], "{answers:?}");
}

/// Depth (units) and rate (units per second) of the hard ceiling in the tests below. Its slack is one unit.
const CEILING_DEPTH: f64 = 100.0;
const CEILING_RATE: f64 = 25.0;
/// What the first quota owner holds of the depth, where the quota is far above the ceiling.
const FIRST_OWNER_SHARE: f64 = 0.62;

/// A plan whose quota never binds, under a hard ceiling.
fn ceiling(config: String) -> String {
    let plan = format!(
        r#""Rate":400,"StoreSize":1600,"HardRate":{CEILING_RATE},"NeverOverDepth":{CEILING_DEPTH},"CeilingSlack":1"#
    );
    config.replace(r#""Rate":0,"StoreSize":0"#, &plan)
}

/// A booking of which a process has read all but the last byte.
struct UnfinishedBooking(TcpStream);

impl UnfinishedBooking {
    fn begin(environment: &Environment, request: &str) -> UnfinishedBooking {
        let mut stream = environment.connect();
        stream.write_all(&request.as_bytes()[..request.len() - 1]).expect("write");
        UnfinishedBooking(stream)
    }

    fn send_rest(&mut self) {
        self.0.write_all(b"x").expect("write");
    }

    fn status(mut self) -> u16 {
        read_answer(&mut self.0).status
    }
}

/// Guards against two processes that grant from the same accounts. The old process has handed over, and then receives
/// the last bytes of many bookings; the new one receives as many requests of the same customer. Together they stay
/// within the hard ceiling, and the old process gets units from the new one instead of refusing everything.
#[test]
fn hard_ceiling_holds_while_an_old_process_finishes_its_requests() {
    const REQUESTS: usize = 80;
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]).alter(ceiling);
    let (old, new) = start_with_successor(&environment);
    wait_until_serving(&old);
    let mut bookings: Vec<_> = (0..REQUESTS)
        .map(|n| UnfinishedBooking::begin(&environment, &post("book", &format!("old-{n}"), "", "xx")))
        .collect();
    // An answer to another request shows that the event loop has read them.
    assert_eq!(environment.send_request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status, 200);
    wait_until_serving(&new);
    old.signal("TERM");
    new.wait_log("goes on as the same limiter");
    let began = Instant::now();
    bookings.iter_mut().for_each(UnfinishedBooking::send_rest);
    let served = |bookings: Vec<UnfinishedBooking>| {
        bookings.into_iter().map(UnfinishedBooking::status).filter(|s| *s == 200).count()
    };
    let by_old = served(bookings);
    let mut requests: Vec<_> = (0..REQUESTS)
        .map(|n| UnfinishedBooking::begin(&environment, &post("book", &format!("new-{n}"), "", "xx")))
        .collect();
    requests.iter_mut().for_each(UnfinishedBooking::send_rest);
    let by_new = served(requests);
    let bound = CEILING_DEPTH + 1.0 + CEILING_RATE * began.elapsed().as_secs_f64();
    let forwarded = server.requests().len();
    assert!(forwarded as f64 <= bound, "{forwarded} forwarded ({by_old} and {by_new}), allowed are {bound}");
    let share = CEILING_DEPTH * FIRST_OWNER_SHARE;
    assert!(by_old as f64 >= share / 2.0, "{by_old} of the bookings were served, the store held {share}");
}

/// Guards against bookings at a process that has handed over whose quota another limiter owns: its messages and the
/// replies pass through the new process, which holds the address for datagrams.
#[test]
fn quota_owners_at_other_limiters_answer_a_process_that_has_handed_over() {
    let pid = std::process::id();
    let host = format!("127.88.{}.{}", pid >> 8 & 0xff, pid & 0xff);
    let tier = |config: String, position: u32| {
        let peers = format!(r#""{host}:7940","{host}:7941""#);
        let addresses = format!(r#""peer_listen":"{host}:794{position}","peers":[{peers}],"known":"#);
        ceiling(config)
            .replace(r#""Balancers":1,"Position":0"#, &format!(r#""Balancers":2,"Position":{position}"#))
            .replace(r#""known":"#, &addresses)
    };
    let server = ok_server();
    let servers = [("s-1", &server, "active")];
    let environment = Environment::new(&servers).alter(|config| tier(config, 0));
    let old = environment.start();
    let _peer = stubs::Limiter::with_config(&servers, |config| tier(config, 1));
    wait_until_serving(&old);
    let new = environment.start();
    wait_until_serving(&new);
    // Of many customers each limiter owns some. A later owner and the members hold a twentieth of the depth, and less
    // than a booking of 20 units.
    let mut bookings: Vec<_> = (0..8)
        .map(|n| {
            let request = post("book", &n.to_string(), "", "xx").replace("b4d65521", &format!("b4d6550{n}"));
            UnfinishedBooking::begin(&environment, &request.replace("units=1,spread=1", "units=20,spread=2"))
        })
        .collect();
    assert_eq!(environment.send_request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status, 200);
    old.signal("TERM");
    new.wait_log("goes on as the same limiter");
    bookings.iter_mut().for_each(UnfinishedBooking::send_rest);
    let statuses: Vec<_> = bookings.into_iter().map(UnfinishedBooking::status).collect();
    assert_eq!(statuses, [200; 8]);
}

/// A partial request that the old process has read is completed and answered by the new one.
#[test]
fn partial_request_is_handed_over() {
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]);
    let (mut old, new) = start_with_successor(&environment);
    let request = get("look", "");
    let mut half = environment.connect();
    half.write_all(&request.as_bytes()[..60]).expect("write");
    // An answer to another request shows that the event loop has read the partial one.
    assert_eq!(environment.send_request(&get("look", "").replace("c-1", "c-2")).status, 200);
    wait_until_serving(&new);
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    half.write_all(&request.as_bytes()[60..]).expect("write");
    assert_eq!(read_answer(&mut half).status, 200);
    assert_eq!(new.stat("succeeded.look"), 1);
}

#[test]
fn repeated_upgrades_keep_the_quota() {
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]).alter(quota);
    let mut kept = environment.connect();
    let mut old = environment.start();
    wait_until_serving(&old);
    let began = Instant::now();
    let mut admitted = send_ten(&mut kept);
    assert!(admitted >= 3, "{admitted}");
    for _ in 0..3 {
        let new = environment.start();
        new.wait_log("warming up beside a predecessor");
        wait_until_serving(&new);
        old.signal("TERM");
        assert_eq!(old.exit_code(), Some(0));
        old = new;
        admitted += send_ten(&mut kept);
    }
    assert!(admitted <= max_admitted(began), "{admitted}");
}

/// The wall clock is stepped between the starts of the two processes. Guards against a snapshot whose age is
/// computed from wall-clock times: the new process would start without the accounts, or refill the quota for
/// time that has not passed.
#[test]
fn quota_is_kept_when_the_wall_clock_is_stepped_between_the_processes() {
    for ahead_ms in [3000, 3_600_000, -3000, -3_600_000] {
        let server = ok_server();
        let environment = Environment::new(&[("s-1", &server, "active")]).alter(quota);
        let mut kept = environment.connect();
        let mut old = environment.start();
        wait_until_serving(&old);
        let began = Instant::now();
        let mut admitted = send_ten(&mut kept);
        let new = environment.start_with_wall_clock(ahead_ms);
        new.wait_log("warming up beside a predecessor");
        wait_until_serving(&new);
        old.signal("TERM");
        new.wait_log("goes on as the same limiter");
        assert_eq!(old.exit_code(), Some(0));
        admitted += send_ten(&mut kept);
        let allowed = max_admitted(began);
        assert!(admitted <= allowed, "clock ahead by {ahead_ms} ms: {admitted} admitted, {allowed} allowed");
    }
}

/// The new process is killed while it warms up: the old one serves on, and the next upgrade succeeds.
#[test]
fn killed_successor_does_not_disturb_service() {
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]);
    let (mut old, new) = start_with_successor(&environment);
    new.signal("KILL");
    old.wait_log("it has gone; this process serves on");
    assert_eq!(environment.send_request(&get("look", "")).status, 200);
    let next = environment.start();
    next.wait_log("warming up beside a predecessor");
    wait_until_serving(&next);
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(environment.send_request(&get("look", "")).status, 200);
    assert_eq!(next.stat("succeeded.look"), 1);
}

/// The old process is killed between its first and last snapshot: the new one serves, with ceilings as at a
/// fresh start.
#[test]
fn killed_predecessor_is_replaced() {
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]);
    let (old, new) = start_with_successor(&environment);
    old.signal("KILL");
    new.wait_log("the predecessor ended before it handed over");
    assert_eq!(environment.send_request(&get("look", "")).status, 200);
    assert_eq!(new.stat("succeeded.look"), 1);
}

/// A process was killed and left its upgrade socket behind: the next start finds a path on which no process
/// listens.
#[test]
fn stale_upgrade_socket_is_no_predecessor() {
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]);
    let old = environment.start();
    wait_until_serving(&old);
    old.signal("KILL");
    wait_for("the upgrade socket", || environment.path().exists());
    drop(old);
    let new = environment.start();
    wait_until_serving(&new);
    assert_eq!(new.management_call(b"status\n"), "SUCCESS serving\n");
    assert!(!new.log().contains("predecessor"), "{}", new.log());
    assert_eq!(environment.send_request(&get("look", "")).status, 200);
    // A file that is not a socket does not prevent a start either.
    drop(new);
    std::fs::remove_file(environment.path()).expect("the upgrade socket");
    std::fs::write(environment.path(), b"left over").expect("written");
    let new = environment.start();
    wait_until_serving(&new);
}

/// While both processes run, both follow updates of the server list, and a reload affects only the process
/// signalled.
#[test]
fn drain_and_reload_while_both_processes_run() {
    let (leaving, staying) = (ok_server(), ok_server());
    let environment = Environment::new(&[("s-1", &leaving, "active"), ("s-2", &staying, "active")]);
    let (mut old, new) = start_with_successor(&environment);
    wait_until_serving(&new);
    old.signal("HUP");
    wait_for("the reload", || old.stat("sighup_applied") == 1);
    wait_for("both watches", || environment.discovery.watches().len() >= 2);
    let list = [("s-1", leaving.addr, "leaving"), ("s-2", staying.addr, "active")];
    environment.discovery.announce(&update_line(2, true, &list));
    wait_for("the drain at both processes", || [&old, &new].iter().all(|p| p.log().contains("Draining")));
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    for n in 0..20 {
        assert_eq!(environment.send_request(&get("look", "").replace("c-1", &format!("d-{n}"))).status, 200);
    }
    assert_eq!((leaving.requests().len(), staying.requests().len()), (0, 20));
}

/// Acts as a predecessor that sends these bytes and then runs the closure; the new process must log `expected`
/// and serve.
fn start_after_predecessor(bytes: Vec<u8>, then: impl Fn(UnixStream) + Send + 'static, expected: &str) {
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]);
    let listener = UnixListener::bind(environment.path()).expect("the upgrade socket");
    let playing = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a successor");
        let mut hello = [0; 6];
        stream.read_exact(&mut hello).expect("hello");
        assert_eq!(hello, Frame::Hello(VERSION).to_bytes()[..]);
        let _ = stream.write_all(&bytes);
        then(stream);
    });
    let new = environment.start();
    new.wait_log(expected);
    wait_for("readiness", || {
        environment.send_request("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status == 200
    });
    assert_eq!(environment.send_request(&get("look", "")).status, 200);
    drop(new);
    playing.join().expect("the predecessor thread succeeded");
}

fn snapshot(bytes: &[u8]) -> Vec<u8> {
    Frame::Snapshot(bytes.to_vec().into()).to_bytes().to_vec()
}

/// Keeps the connection open until the other process closes it.
fn wait_for_close(mut stream: UnixStream) {
    let _ = stream.read(&mut [0; 16]);
}

#[test]
fn silent_predecessor_is_not_waited_for() {
    start_after_predecessor(Vec::new(), wait_for_close, "the predecessor is silent");
}

#[test]
fn partial_snapshot_is_ignored() {
    start_after_predecessor(
        snapshot(&[7; 500])[..200].to_vec(),
        drop,
        "the predecessor ended before it handed over",
    );
}

#[test]
fn garbled_snapshots_are_rejected() {
    start_after_predecessor(
        [snapshot(b"noise"), snapshot(b"MDSN\0\x01")].concat(),
        drop,
        "data is not a snapshot",
    );
}

#[test]
fn snapshot_of_another_version_is_rejected() {
    let foreign = snapshot(&[&b"MDSN\0\x63"[..], &[0; 40]].concat());
    start_after_predecessor([foreign.clone(), foreign].concat(), drop, "version 99");
}

/// Guards against bytes of clients' requests in the log.
#[test]
fn request_bytes_are_not_logged() {
    let passed =
        Frame::Connection { request_age_ms: None, read_ahead: b"GET /secret".to_vec().into() }.to_bytes();
    start_after_predecessor(passed.to_vec(), drop, "the predecessor passes a connection out of turn");
}

#[test]
fn oversized_frame_ends_the_handover() {
    start_after_predecessor(vec![2, 0xff, 0xff, 0xff, 0xff, 1, 2, 3], drop, "a frame is too long");
}

#[test]
fn invalid_descriptor_is_reported() {
    let server = ok_server();
    let environment = Environment::new(&[("s-1", &server, "active")]);
    for (value, expected) in
        [("x", "'x' is not a descriptor"), ("2", "descriptor 2 is no listening TCP socket")]
    {
        let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal"));
        command.env("ROUTER_CONFIG", environment.dir.join("config.json")).env("ROUTER_ACCEPT_FD", value);
        let output = command.output().expect("it starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1));
        assert!(text.contains("ROUTER_ACCEPT_FD") && text.contains(expected), "{text}");
    }
}
