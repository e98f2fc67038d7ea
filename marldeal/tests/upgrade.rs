//! Two processes of one limiter: the place, the accounts and the clients' connections go from one to the other.

mod stubs;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

use command_fds::{CommandFdExt, FdMapping};
use marldeal::upgrade::frame::{Frame, VERSION};
use marldeal_standin::discovery::{update_line, Discovery};
use marldeal_standin::TIMEOUT;
use stubs::{config, exchange, get, held, post, read_answer, wait_for, write_ok, Process, Stub};

/// What the platform holds: the listening socket, the directory that is left, discovery.
struct Place {
    listener: TcpListener,
    addr: SocketAddr,
    dir: PathBuf,
    discovery: Discovery,
}

impl Place {
    fn new(servers: &[(&str, &Stub, &str)]) -> Place {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let dir = std::env::temp_dir().join(format!("marldeal-up-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let entries: Vec<_> = servers.iter().map(|(id, stub, state)| (*id, stub.addr, *state)).collect();
        let discovery = Discovery::shared(update_line(1, true, &entries));
        std::fs::write(dir.join("config.json"), config(discovery.addr)).expect("written");
        Place { listener, addr, dir, discovery }
    }

    fn alter(self, alter: impl Fn(String) -> String) -> Place {
        let path = self.dir.join("config.json");
        let text = std::fs::read_to_string(&path).expect("there");
        std::fs::write(path, alter(text)).expect("written");
        self
    }

    /// Starts the program once more.
    fn start(&self) -> Process {
        let fd = OwnedFd::from(self.listener.try_clone().expect("a descriptor"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal"));
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(name);
        }
        command
            .env("ROUTER_CONFIG", self.dir.join("config.json"))
            .env("TMPDIR", &self.dir)
            .env("ROUTER_MGMT", "127.0.0.1:0")
            .env("ROUTER_ACCEPT_FD", "3")
            .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
            .expect("one descriptor");
        let process = Process::start(&mut command);
        process.wait_log("serves on ");
        process
    }

    /// The Unix socket's name.
    fn path(&self) -> PathBuf {
        self.dir.join("marldeal-n0.upgrade")
    }

    fn ask(&self, request: &str) -> stubs::Message {
        exchange(&mut self.connect(), request)
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("connect");
        stream.set_read_timeout(Some(TIMEOUT)).expect("time-out");
        stream
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn wait_yes(process: &Process) {
    wait_for("a yes", || process.operator(b"status\n").starts_with("SUCCESS"));
}

fn fine() -> Stub {
    Stub::new(|_, stream| write_ok(stream, "fine"))
}

/// Units a second and at once of a plan with a quota.
const RATE: f64 = 0.4;
const STORE: f64 = 3.0;

fn quota(config: String) -> String {
    config.replace(r#""Rate":0,"StoreSize":0"#, &format!(r#""Rate":{RATE},"StoreSize":{STORE}"#))
}

/// Asks for a unit ten times on one connection; how many were let in.
fn ask_ten(stream: &mut TcpStream) -> usize {
    (0..10).filter(|_| exchange(stream, &get("look", "")).status == 200).count()
}

/// What a firm may have had since then from one limiter.
fn allowance(since: Instant) -> usize {
    (STORE + RATE * since.elapsed().as_secs_f64()) as usize
}

fn warming(place: &Place) -> (Process, Process) {
    let old = place.start();
    wait_yes(&old);
    let new = place.start();
    new.wait_log("warming up beside a predecessor");
    (old, new)
}

/// Clients keep their connections, and requests that never stop come to one end each: nobody is refused, reset or cut.
#[test]
fn an_upgrade_under_load_loses_nothing() {
    let server = fine();
    let place = Place::new(&[("s-1", &server, "active")]);
    let (mut old, new) = warming(&place);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let (stop, mut stream) = (stop.clone(), place.connect());
            std::thread::spawn(move || {
                let mut served = 0;
                while !stop.load(Ordering::SeqCst) {
                    let request = post("book", &format!("{n}-{served}"), "", "x");
                    assert_eq!(exchange(&mut stream, &request).status, 200, "the same connection serves on");
                    served += 1;
                }
                served
            })
        })
        .collect();
    // Connections that are kept and ask nothing meanwhile.
    let mut kept: Vec<_> = (0..20).map(|_| place.connect()).collect();
    kept.iter_mut().for_each(|stream| assert_eq!(exchange(stream, &get("look", "")).status, 200));
    let silent = place.connect();
    wait_yes(&new);
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    new.wait_log("the predecessor has gone");
    wait_for("requests at the new one", || new.figure("succeeded.book") > 50);
    stop.store(true, Ordering::SeqCst);
    let served: usize = clients.into_iter().map(|c| c.join().expect("no client met an error")).sum();
    kept.iter_mut().for_each(|stream| assert_eq!(exchange(stream, &get("look", "")).status, 200));
    drop(silent);
    let seen = server.requests();
    assert_eq!(seen.len(), served + 40, "each ran once");
    assert_eq!(new.operator(b"status\n"), "SUCCESS serving\n");
}

/// A firm that has used all it may gets nothing more from the new process, and what the old one has taken it finishes.
#[test]
fn no_allowance_is_there_twice_and_what_was_taken_is_finished() {
    let (server, release) = held();
    let place = Place::new(&[("s-1", &server, "active")]).alter(quota);
    let (mut old, new) = warming(&place);
    let began = Instant::now();
    let mut slow = place.connect();
    slow.write_all(post("book", "a", "", "slow").as_bytes()).expect("write");
    wait_for("the slow one", || server.requests().len() == 1);
    let before = ask_ten(&mut place.connect());
    assert!(before >= 2, "the slow one has one unit, two are left: {before}");
    wait_yes(&new);
    old.signal("TERM");
    new.wait_log("goes on as the same limiter");
    let after = ask_ten(&mut place.connect());
    assert!(1 + before + after <= allowance(began), "{after} more");
    release.store(true, Ordering::SeqCst);
    assert_eq!(read_answer(&mut slow).body, "done");
    assert_eq!(old.exit_code(), Some(0));
    // Its connection has gone to the new one.
    assert_eq!(exchange(&mut slow, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status, 200);
}

/// Half a request that the old one has read is answered by the new one.
#[test]
fn half_a_request_goes_along() {
    let server = fine();
    let place = Place::new(&[("s-1", &server, "active")]);
    let (mut old, new) = warming(&place);
    let request = get("look", "");
    let mut half = place.connect();
    half.write_all(&request.as_bytes()[..60]).expect("write");
    // Another one's answer shows that the loop has come by.
    assert_eq!(place.ask(&get("look", "").replace("c-1", "c-2")).status, 200);
    wait_yes(&new);
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    half.write_all(&request.as_bytes()[60..]).expect("write");
    assert_eq!(read_answer(&mut half).status, 200);
    assert_eq!(new.figure("succeeded.look"), 1);
}

#[test]
fn two_upgrades_in_a_row() {
    let server = fine();
    let place = Place::new(&[("s-1", &server, "active")]).alter(quota);
    let mut kept = place.connect();
    let mut old = place.start();
    wait_yes(&old);
    let began = Instant::now();
    let mut let_in = ask_ten(&mut kept);
    assert!(let_in >= 3, "{let_in}");
    for _ in 0..3 {
        let new = place.start();
        new.wait_log("warming up beside a predecessor");
        wait_yes(&new);
        old.signal("TERM");
        assert_eq!(old.exit_code(), Some(0));
        old = new;
        let_in += ask_ten(&mut kept);
    }
    assert!(let_in <= allowance(began), "{let_in}");
}

/// The new process dies while it warms up: the old one serves on, and the next upgrade goes well.
#[test]
fn a_successor_that_dies_costs_nothing() {
    let server = fine();
    let place = Place::new(&[("s-1", &server, "active")]);
    let (mut old, new) = warming(&place);
    new.signal("KILL");
    old.wait_log("it has gone; this process serves on");
    assert_eq!(place.ask(&get("look", "")).status, 200);
    let next = place.start();
    next.wait_log("warming up beside a predecessor");
    wait_yes(&next);
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(place.ask(&get("look", "")).status, 200);
    assert_eq!(next.figure("succeeded.look"), 1);
}

/// The old process is killed between its first snapshot and its last: the new one serves, with ceilings as at a start.
#[test]
fn an_old_process_that_is_killed_is_followed_all_the_same() {
    let server = fine();
    let place = Place::new(&[("s-1", &server, "active")]);
    let (old, new) = warming(&place);
    old.signal("KILL");
    new.wait_log("the predecessor ended before it handed over");
    assert_eq!(place.ask(&get("look", "")).status, 200);
    assert_eq!(new.figure("succeeded.look"), 1);
}

/// Nobody follows: SIGTERM ends it as ever, and the next start finds a name that nobody listens at.
#[test]
fn a_left_over_name_is_no_predecessor() {
    let server = fine();
    let place = Place::new(&[("s-1", &server, "active")]);
    let old = place.start();
    wait_yes(&old);
    old.signal("KILL");
    wait_for("the name", || place.path().exists());
    drop(old);
    let new = place.start();
    wait_yes(&new);
    assert_eq!(new.operator(b"status\n"), "SUCCESS serving\n");
    assert!(!new.log().contains("predecessor"), "{}", new.log());
    assert_eq!(place.ask(&get("look", "")).status, 200);
    // A file that is no socket is in nobody's way either.
    drop(new);
    std::fs::remove_file(place.path()).expect("the name");
    std::fs::write(place.path(), b"left over").expect("written");
    let new = place.start();
    wait_yes(&new);
}

/// What discovery tells during the overlap binds both, and a reload reaches whom it is sent to.
#[test]
fn a_drain_and_a_reload_in_the_overlap() {
    let (leaving, staying) = (fine(), fine());
    let place = Place::new(&[("s-1", &leaving, "active"), ("s-2", &staying, "active")]);
    let (mut old, new) = warming(&place);
    wait_yes(&new);
    old.signal("HUP");
    wait_for("the reload", || old.figure("sighup_applied") == 1);
    wait_for("both watches", || place.discovery.watches().len() >= 2);
    let list = [("s-1", leaving.addr, "leaving"), ("s-2", staying.addr, "active")];
    place.discovery.announce(&update_line(2, true, &list));
    wait_for("the notice at both", || [&old, &new].iter().all(|p| p.log().contains("Draining")));
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    for n in 0..20 {
        assert_eq!(place.ask(&get("look", "").replace("c-1", &format!("d-{n}"))).status, 200);
    }
    assert_eq!((leaving.requests().len(), staying.requests().len()), (0, 20));
}

/// Plays a predecessor that says these bytes and goes on as the closure says; the new process serves in the end.
fn beside(says: Vec<u8>, then: impl Fn(UnixStream) + Send + 'static, expected: &str) {
    let server = fine();
    let place = Place::new(&[("s-1", &server, "active")]);
    let listener = UnixListener::bind(place.path()).expect("the name");
    let playing = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a successor");
        let mut hello = [0; 6];
        stream.read_exact(&mut hello).expect("hello");
        assert_eq!(hello, Frame::Hello(VERSION).to_bytes()[..]);
        let _ = stream.write_all(&says);
        then(stream);
    });
    let new = place.start();
    new.wait_log(expected);
    wait_for("service", || place.ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status == 200);
    assert_eq!(place.ask(&get("look", "")).status, 200);
    drop(new);
    playing.join().expect("the part was played");
}

fn snapshot(bytes: &[u8]) -> Vec<u8> {
    Frame::Snapshot(bytes.to_vec().into()).to_bytes().to_vec()
}

/// Holds the connection until the other process ends.
fn hold(mut stream: UnixStream) {
    let _ = stream.read(&mut [0; 16]);
}

#[test]
fn a_predecessor_that_is_silent_is_not_waited_for() {
    beside(Vec::new(), hold, "the predecessor is silent");
}

#[test]
fn half_a_snapshot_is_none() {
    beside(snapshot(&[7; 500])[..200].to_vec(), drop, "the predecessor ended before it handed over");
}

#[test]
fn garbled_snapshots_are_not_believed() {
    beside([snapshot(b"noise"), snapshot(b"MDSN\0\x01")].concat(), drop, "data is not a snapshot");
}

#[test]
fn a_snapshot_of_another_version_is_not_believed() {
    let foreign = snapshot(&[&b"MDSN\0\x63"[..], &[0; 40]].concat());
    beside([foreign.clone(), foreign].concat(), drop, "version 99");
}

/// What clients have written is nobody's to read in a log.
#[test]
fn nothing_of_a_request_is_logged() {
    let passed =
        Frame::Connection { request_age_ms: None, read_ahead: b"GET /secret".to_vec().into() }.to_bytes();
    beside(passed.to_vec(), drop, "the predecessor passes a connection out of turn");
}

#[test]
fn a_frame_beyond_all_bounds_ends_the_talk() {
    beside(vec![2, 0xff, 0xff, 0xff, 0xff, 1, 2, 3], drop, "a frame is too long");
}

#[test]
fn a_descriptor_that_is_none_is_named() {
    let server = fine();
    let place = Place::new(&[("s-1", &server, "active")]);
    for (value, expected) in
        [("x", "'x' is not a descriptor"), ("2", "descriptor 2 is no listening TCP socket")]
    {
        let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal"));
        command.env("ROUTER_CONFIG", place.dir.join("config.json")).env("ROUTER_ACCEPT_FD", value);
        let output = command.output().expect("it starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1));
        assert!(text.contains("ROUTER_ACCEPT_FD") && text.contains(expected), "{text}");
    }
}
