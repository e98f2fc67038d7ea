//! Clients that close while their request has not been sent on, on processes and raw sockets: an attempt that begins
//! more than 100 ms after the close is a violation, whatever the request went through. Each test plays one path
//! (`departed/judge.rs`) with at least 20 cases, and with at least as many as `MARLDEAL_DEPARTED_CASES` says.

mod departed;
mod stubs;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use command_fds::{CommandFdExt, FdMapping};
use departed::judge::{judge, Case, Finding, Path, MIN_CASES_PER_PATH};
use departed::{
    request, text, while_stopped, with_unsafe_class, Attempts, Control, Ending, Form, Record, ENDINGS, FORMS,
    SETTLING_TIME,
};
use marldeal_standin::addresses::unused_addresses;
use marldeal_standin::{message, TIMEOUT};
use stubs::*;
use tempfile::TempDir;

/// Every form with every ending.
fn forms_and_endings() -> impl Iterator<Item = (Form, Ending)> {
    FORMS.into_iter().flat_map(|form| ENDINGS.into_iter().map(move |ending| (form, ending)))
}

fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr).expect("connect")
}

/// Lengths of whole requests that one read fills exactly, with its neighbours, or that two reads fill.
const READ_SIZES: [usize; 4] = [8191, 8192, 8193, 16384];

/// Clients that connect, write a whole request and close; the last one stays.
fn send_and_leave(record: &mut Record, addr: SocketAddr) -> Control {
    for (form, ending) in forms_and_endings() {
        let (id, mut client) = (record.next_id(), connect(addr));
        client.write_all((text(form, &id) + record.further()).as_bytes()).expect("write");
        record.leave(client, ending, [id]);
    }
    for total in READ_SIZES {
        let (id, mut client) = (record.next_id(), connect(addr));
        let head_bytes = long_request(&id, total, false).len() - total;
        client.write_all(long_request(&id, total - head_bytes, false).as_bytes()).expect("write");
        record.leave(client, Ending::Close, [id]);
    }
    Control::new(connect(addr), &record.next_id())
}

#[test]
fn request_and_close_on_a_new_connection_during_a_stall() {
    let mut record = Record::new(Path::NewConnection);
    let server = record.attempts.server();
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], with_unsafe_class);
    while record.wants_more() {
        let stall = record.stall();
        while_stopped(&limiter, stall, || send_and_leave(&mut record, limiter.addr)).assert_served();
    }
    record.assert_passes();
}

#[test]
fn request_and_close_while_accepting_fails() {
    let mut record = Record::new(Path::FailingAccept);
    let server = record.attempts.server();
    let files = TempDir::new().expect("a directory");
    let blocked = files.path().join("no-accept");
    let limiter = Limiter::with_failing_accept(&[("s-1", &server, "active")], with_unsafe_class, &blocked);
    while record.wants_more() {
        std::fs::write(&blocked, "").expect("a file");
        std::thread::sleep(SETTLING_TIME);
        let control = send_and_leave(&mut record, limiter.addr);
        std::thread::sleep(record.stall().max(Duration::from_millis(500)));
        std::fs::remove_file(&blocked).expect("the file exists");
        control.assert_served();
    }
    record.assert_passes();
}

#[test]
fn request_and_close_on_a_kept_connection_during_a_stall() {
    let mut record = Record::new(Path::KeptConnection);
    let server = record.attempts.server();
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], with_unsafe_class);
    while record.wants_more() {
        let mut kept = Vec::new();
        for (form, ending) in forms_and_endings() {
            let mut client = connect(limiter.addr);
            assert_eq!(exchange(&mut client, &text(form, &record.next_id())).status, 200);
            kept.push((client, form, ending));
        }
        let stall = record.stall();
        let control = while_stopped(&limiter, stall, || {
            for (mut client, form, ending) in kept {
                let id = record.next_id();
                client.write_all((text(form, &id) + record.further()).as_bytes()).expect("write");
                record.leave(client, ending, [id]);
            }
            Control::new(connect(limiter.addr), &record.next_id())
        });
        control.assert_served();
    }
    record.assert_passes();
}

#[test]
fn late_body_and_close_during_a_stall() {
    let mut record = Record::new(Path::LateBody);
    let server = record.attempts.server();
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], with_unsafe_class);
    while record.wants_more() {
        let mut begun = Vec::new();
        for ending in ENDINGS {
            for form in [Form::Length, Form::Chunked, Form::Length, Form::Chunked] {
                let (id, mut client) = (record.next_id(), connect(limiter.addr));
                let (head, body) = request(form, &id);
                client.write_all(head.as_bytes()).expect("write");
                begun.push((client, id, body, ending));
            }
        }
        std::thread::sleep(SETTLING_TIME);
        let stall = record.stall();
        let control = while_stopped(&limiter, stall, || {
            for (mut client, id, body, ending) in begun {
                client.write_all((body + record.further()).as_bytes()).expect("write");
                record.leave(client, ending, [id]);
            }
            Control::new(connect(limiter.addr), &record.next_id())
        });
        control.assert_served();
    }
    record.assert_passes();
}

/// Half of the batches during a stall, the other half while the first request is at the server.
#[test]
fn pipelined_requests_and_close() {
    let mut record = Record::new(Path::Pipelined);
    let attempts = record.attempts.clone();
    let server = Stub::new(move |message, stream| {
        attempts.record(message);
        std::thread::sleep(Duration::from_millis(300));
        write_ok(stream, "fine")
    });
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], with_unsafe_class);
    while record.wants_more() {
        let play = |record: &mut Record| {
            for (form, ending) in forms_and_endings() {
                let ids = [record.next_id(), record.next_id()];
                let mut client = connect(limiter.addr);
                let both = text(form, &ids[0]) + &text(form, &ids[1]);
                client.write_all((both + record.further()).as_bytes()).expect("write");
                record.leave(client, ending, ids);
            }
            Control::new(connect(limiter.addr), &record.next_id())
        };
        let control = match record.batch() % 2 {
            0 => play(&mut record),
            _ => while_stopped(&limiter, record.stall(), || play(&mut record)),
        };
        control.assert_served();
        std::thread::sleep(Duration::from_millis(400));
    }
    record.assert_passes();
}

/// What two processes of one limiter share.
struct Upgrade {
    listener: TcpListener,
    files: TempDir,
    _discovery: Discovery,
}

impl Upgrade {
    fn new(server: &Stub) -> Upgrade {
        let discovery = Discovery::shared(update_line(1, true, &[("s-1", server.addr, "active")]));
        let files = TempDir::new().expect("a directory");
        let config = with_unsafe_class(config(discovery.addr));
        std::fs::write(files.path().join("config.json"), config).expect("written");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        Upgrade { listener, files, _discovery: discovery }
    }

    fn start(&self) -> Process {
        let fd = OwnedFd::from(self.listener.try_clone().expect("a descriptor"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal"));
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(name);
        }
        let config: PathBuf = self.files.path().join("config.json");
        command
            .env("ROUTER_CONFIG", config)
            .env("TMPDIR", self.files.path())
            .env("ROUTER_MGMT", "127.0.0.1:0")
            .env("ROUTER_ACCEPT_FD", "3")
            .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
            .expect("one descriptor");
        let process = Process::start(&mut command);
        process.wait_log("serves on ");
        process
    }

    fn connect(&self) -> TcpStream {
        connect(self.listener.local_addr().expect("an address"))
    }
}

/// Idle connections, and connections with part of a request, pass to a successor that is stopped; the rest of the
/// request and the close follow.
#[test]
fn request_and_close_while_the_connection_is_handed_over() {
    let mut record = Record::new(Path::HandOver);
    let server = record.attempts.server();
    while record.wants_more() {
        let upgrade = Upgrade::new(&server);
        let mut old = upgrade.start();
        wait_for("the old process", || old.management_call(b"status\n").starts_with("SUCCESS"));
        let new = upgrade.start();
        new.wait_log("warming up beside a predecessor");
        wait_for("the new process", || new.management_call(b"status\n").starts_with("SUCCESS"));
        // Both accept: with the new one stopped, these connections belong to the old one.
        new.signal("STOP");
        std::thread::sleep(SETTLING_TIME);
        let mut kept = Vec::new();
        for (partial, (form, ending)) in
            [0, 40].into_iter().flat_map(|partial| forms_and_endings().map(move |both| (partial, both)))
        {
            let mut client = upgrade.connect();
            assert_eq!(exchange(&mut client, &text(form, &record.next_id())).status, 200);
            let id = record.next_id();
            let text = text(form, &id);
            client.write_all(&text.as_bytes()[..partial]).expect("write");
            kept.push((client, id, text[partial..].to_string(), ending));
        }
        std::thread::sleep(SETTLING_TIME);
        old.signal("TERM");
        std::thread::sleep(4 * SETTLING_TIME);
        for (mut client, id, rest, ending) in kept {
            client.write_all((rest + record.further()).as_bytes()).expect("write");
            record.leave(client, ending, [id]);
        }
        std::thread::sleep(Duration::from_millis(400));
        new.signal("CONT");
        assert_eq!(old.exit_code(), Some(0));
        assert!(old.log().contains("it accepted 24 connections"), "{}", old.log());
        Control::new(upgrade.connect(), &record.next_id()).assert_served();
    }
    record.assert_passes();
}

/// The only server drains, so that requests are held, and accepts requests again during the stall.
#[test]
fn close_while_the_request_is_held() {
    let mut record = Record::new(Path::Queued);
    let server = record.attempts.server();
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], with_unsafe_class);
    let mut version = 1;
    while record.wants_more() {
        let mut announce = |state: &str| {
            version += 1;
            limiter.discovery.push(&update_line(version, true, &[("s-1", server.addr, state)]));
        };
        announce("leaving");
        wait_for("the drain", || ready(&limiter) == 503);
        let mut held = Vec::new();
        for (form, ending) in forms_and_endings() {
            let (id, mut client) = (record.next_id(), connect(limiter.addr));
            client.write_all(text(form, &id).as_bytes()).expect("write");
            held.push((client, id, ending));
        }
        let control = Control::new(connect(limiter.addr), &record.next_id());
        std::thread::sleep(2 * SETTLING_TIME);
        let (batch, stall) = (record.batch(), record.stall());
        while_stopped(&limiter, stall, || {
            if batch.is_multiple_of(2) {
                announce("active");
            }
            for (n, (mut client, id, ending)) in held.into_iter().enumerate() {
                if n % 2 == 0 {
                    client.write_all(text(Form::NoBody, "further").as_bytes()).expect("write");
                }
                record.leave(client, ending, [id]);
            }
            if !batch.is_multiple_of(2) {
                announce("active");
            }
        });
        control.assert_served();
    }
    record.assert_passes();
}

/// A peer that never answers: after some 0.1 s the equal share admits the request. The process is stopped before that
/// time and continues after it. Customers whose first quota owner is not the peer are served at once and are no cases.
#[test]
fn close_behind_further_bytes_while_waiting_for_a_peer() {
    let mut record = Record::new(Path::PeerWait);
    let server = record.attempts.server();
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let own = unused_addresses(1)[0];
    let at = peer.local_addr().expect("an address");
    let limiter = Limiter::with_config(&[("s-1", &server, "active")], |c| {
        with_unsafe_class(c)
            .replace(r#""Balancers":1"#, r#""Balancers":2"#)
            .replace(r#""Rate":0,"StoreSize":0"#, r#""Rate":4,"StoreSize":40,"AtOnce":9"#)
            .replacen('{', &format!(r#"{{"peer_listen":"{own}","peers":["{own}","{at}"],"#), 1)
    });
    let mut customer = 0;
    while record.wants_more() {
        let mut waiting = Vec::new();
        let began = Instant::now();
        for (form, ending) in forms_and_endings().chain(forms_and_endings()) {
            let (id, mut client) = (record.next_id(), connect(limiter.addr));
            customer += 1;
            let text = text(form, &id)
                .replace("00000000b4d65521", &format!("{customer:016x}"))
                .replace("spread=1", "spread=2");
            client.write_all(text.as_bytes()).expect("write");
            waiting.push((client, id, ending));
        }
        std::thread::sleep(Duration::from_millis(40).saturating_sub(began.elapsed()));
        waiting.retain(|(_, id, _)| !record.attempts.has_begun(id));
        let (control, ..) = waiting.pop().expect("some wait for the peer");
        // The client closes some 140 ms before the process continues, or longer.
        let stall = Duration::from_millis(if record.batch().is_multiple_of(2) { 400 } else { 150 });
        while_stopped(&limiter, stall, || {
            for (mut client, id, ending) in waiting {
                client.write_all(b"GET /look").expect("write");
                record.leave(client, ending, [id]);
            }
        });
        let mut control = control;
        assert_eq!(read_answer(&mut control).status, 200, "the client that stayed is served");
        // A peer that misses replies is not asked for 1 s.
        std::thread::sleep(Duration::from_millis(1100));
    }
    record.assert_passes();
}

/// The number of connections to this address that are being established.
fn connecting(addr: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let port = format!(":{:04X}", addr.port());
    let lines = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    // State 02 is SYN_SENT.
    lines.filter(|l| l[2].ends_with(&port) && l[3] == "02").count()
}

/// Accepts connections and serves requests on them. An attempt is recorded when its head has arrived, and a connection
/// on which nothing is sent is not recorded.
fn serve_on(listener: TcpListener, attempts: Attempts) {
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let attempts = attempts.clone();
            std::thread::spawn(move || {
                while let Some(head) = next_head(&stream) {
                    attempts.record(&Message { head, ..Message::default() });
                    if message::read(&mut stream).is_none() || !write_ok(&mut stream, "fine") {
                        return;
                    }
                }
            });
        }
    });
}

/// Waits for the head of the next request and leaves it unread. `None` if the connection ends first.
fn next_head(stream: &TcpStream) -> Option<String> {
    let mut buffer = [0; 4096];
    loop {
        let length = stream.peek(&mut buffer).ok().filter(|length| *length > 0)?;
        let text = String::from_utf8_lossy(&buffer[..length]);
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            return Some(head.to_string());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A request of the unsafe class whose body of this many bytes has a length or is sent in one chunk.
fn long_request(id: &str, bytes: usize, chunked: bool) -> String {
    let (head, _) = request(if chunked { Form::Chunked } else { Form::Length }, id);
    let body = "x".repeat(bytes);
    match chunked {
        true => format!("{head}{bytes:x}\r\n{body}\r\n0\r\n\r\n"),
        false => head.replace("Content-Length: 5", &format!("Content-Length: {bytes}")) + &body,
    }
}

/// Bodies that are longer than the share of one request in the least memory that is accepted, during a stall and
/// while accepting fails. Clients that stay are served, or are refused without an attempt.
#[test]
fn long_body_and_close_during_a_stall() {
    let mut record = Record::new(Path::StreamedBody);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    serve_on(listener, record.attempts.clone());
    let files = TempDir::new().expect("a directory");
    let blocked = files.path().join("no-accept");
    let with_little_memory =
        |c: String| with_unsafe_class(c).replace(r#""memory_mb":192"#, r#""memory_mb":20"#);
    let limiter = Limiter::with_failing_accept(&[], with_little_memory, &blocked);
    limiter.discovery.push(&update_line(2, true, &[("s-1", addr, "active")]));
    wait_for("readiness", || ready(&limiter) == 200);
    let mut refused = 0;
    while record.wants_more() {
        let play = |record: &mut Record| {
            for ending in ENDINGS {
                for (bytes, chunked) in
                    [(460_000, false), (500_000, false), (600_000, false), (500_000, true)]
                {
                    let (id, mut client) = (record.next_id(), connect(limiter.addr));
                    client.write_all(long_request(&id, bytes, chunked).as_bytes()).expect("write");
                    record.leave(client, ending, [id]);
                }
            }
            let (id, mut staying) = (record.next_id(), connect(limiter.addr));
            staying.write_all(long_request(&id, 600_000, false).as_bytes()).expect("write");
            (Control::new(connect(limiter.addr), &record.next_id()), staying, id)
        };
        let (control, mut staying, id) = match record.batch() % 2 {
            0 => while_stopped(&limiter, record.stall(), || play(&mut record)),
            _ => {
                std::fs::write(&blocked, "").expect("a file");
                std::thread::sleep(SETTLING_TIME);
                let played = play(&mut record);
                std::thread::sleep(Duration::from_millis(500));
                std::fs::remove_file(&blocked).expect("the file exists");
                played
            }
        };
        control.assert_served();
        match read_answer(&mut staying).status {
            429 => {
                refused += 1;
                assert!(!record.attempts.has_begun(&id), "a refused request was not sent");
            }
            status => assert_eq!(status, 200),
        }
    }
    eprintln!("{refused} clients that stayed were refused");
    record.assert_passes();
}

/// A server whose accept queue is full: connections are established when the queue has space and the SYN is sent
/// again, one second after the first.
#[test]
fn close_while_the_connection_to_the_server_is_established() {
    let mut record = Record::new(Path::LateServer);
    while record.wants_more() {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind");
        socket.listen(0).expect("listen");
        let addr = socket.local_addr().expect("an address").as_socket().expect("IPv4");
        let filler = connect(addr);
        let limiter = Limiter::with_config(&[], |c| {
            with_unsafe_class(c).replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":6000"#)
        });
        limiter.discovery.push(&update_line(2, true, &[("s-1", addr, "active")]));
        wait_for("readiness", || ready(&limiter) == 200);
        let mut waiting = Vec::new();
        for (form, ending) in forms_and_endings() {
            let (id, mut client) = (record.next_id(), connect(limiter.addr));
            client.write_all(text(form, &id).as_bytes()).expect("write");
            waiting.push((client, id, ending));
        }
        let control = Control::new(connect(limiter.addr), &record.next_id());
        wait_for("the connects", || connecting(addr) > waiting.len());
        while_stopped(&limiter, Duration::from_millis(1200), || {
            for (n, (mut client, id, ending)) in waiting.into_iter().enumerate() {
                if n % 2 == 0 {
                    client.write_all(b"GET /look").expect("write");
                }
                record.leave(client, ending, [id]);
            }
            socket.listen(128).expect("listen");
            serve_on(TcpListener::from(socket), record.attempts.clone());
            drop(filler);
        });
        control.assert_served();
    }
    record.assert_passes();
}

/// The server holds each first attempt, and refuses it during the stall.
#[test]
fn close_before_a_retry() {
    let mut record = Record::new(Path::Retry);
    while record.wants_more() {
        let release = Arc::new(AtomicBool::new(false));
        let (attempts, held) = (record.attempts.clone(), release.clone());
        let server = Stub::new(move |message, stream| {
            if attempts.record(message) > 1 {
                return write_ok(stream, "fine");
            }
            let began = Instant::now();
            while !held.load(Ordering::SeqCst) && began.elapsed() < TIMEOUT {
                std::thread::sleep(Duration::from_millis(5));
            }
            write!(stream, "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n").is_ok()
        });
        let limiter = Limiter::with_config(&[("s-1", &server, "active")], with_unsafe_class);
        let before = record.attempts.request_count();
        let mut waiting = Vec::new();
        let control = Control::new(connect(limiter.addr), &record.next_id());
        for (form, ending) in forms_and_endings() {
            let (id, mut client) = (record.next_id(), connect(limiter.addr));
            client.write_all(text(form, &id).as_bytes()).expect("write");
            waiting.push((client, id, ending));
        }
        wait_for("the first attempts", || record.attempts.request_count() == before + waiting.len() + 1);
        let stall = record.stall();
        while_stopped(&limiter, stall, || {
            release.store(true, Ordering::SeqCst);
            std::thread::sleep(SETTLING_TIME);
            for (n, (mut client, id, ending)) in waiting.into_iter().enumerate() {
                if n % 2 == 0 {
                    client.write_all(b"GET /look").expect("write");
                }
                record.leave(client, ending, [id]);
            }
        });
        control.assert_served();
    }
    record.assert_passes();
}

// ---- The judge ----

/// A fabricated list with enough cases, none of them late.
fn fabricated(path: Path, cases: usize) -> Vec<Case> {
    let case = |n: usize| Case {
        path,
        closed_ms: 1000.0 * n as f64,
        attempt_ms: n.is_multiple_of(2).then_some(1000.0 * n as f64 + 100.0),
    };
    (0..cases).map(case).collect()
}

#[test]
fn judge_passes_a_list_without_late_attempts() {
    let cases = fabricated(Path::Queued, MIN_CASES_PER_PATH);
    assert_eq!(judge(&cases, &[Path::Queued]), []);
    // An attempt that began before the close is none after it.
    let before = Case { path: Path::Queued, closed_ms: 900.0, attempt_ms: Some(100.0) };
    assert_eq!(judge(&[cases, vec![before]].concat(), &[Path::Queued]), []);
}

#[test]
fn judge_finds_one_late_attempt_among_many() {
    let mut cases = fabricated(Path::Retry, 200);
    cases.push(Case { path: Path::Retry, closed_ms: 50.0, attempt_ms: Some(150.5) });
    assert_eq!(judge(&cases, &[Path::Retry]), [Finding::Late { path: Path::Retry, after_ms: 100.5 }]);
}

#[test]
fn judge_reports_too_few_cases() {
    let cases = [fabricated(Path::Queued, MIN_CASES_PER_PATH - 1), fabricated(Path::Retry, 200)].concat();
    let findings = judge(&cases, &[Path::Queued, Path::Retry, Path::HandOver]);
    let queued = Finding::TooFew { path: Path::Queued, cases: MIN_CASES_PER_PATH - 1 };
    assert_eq!(findings, [queued, Finding::TooFew { path: Path::HandOver, cases: 0 }]);
    assert!(queued.to_string().contains("too few"), "{queued}");
}
