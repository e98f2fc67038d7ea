//! Time passed on: the time that an attempt names to its server is at most what the client has left then, plus
//! 0.15 s, also when the process is held up for that long. Clients, servers and the signals that stop the process
//! are in this test; the limiter is a real process. The rule is the soak judge's.
//!
//! Either signals stop the process at random moments, or one write is held up right after the clock has been read.
//!
//! `MARLDEAL_FULL=1` plays 200 cases on each path instead of 20. A run with fewer fails.

mod stubs;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as Phase;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as Verdict;
use marldeal_soak::history::{Effect, Event, History, Millis, Terms, What};
use marldeal_soak::judge::{judge, Rule};
use marldeal_standin::message;
use marldeal_standin::proxy::{headers, request_headers, set_header, Stream, RETRY_HEADER};
use marldeal_standin::traffic::{Call, Customer, Kind};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use stubs::*;

const CASES: usize = 20;
/// Requests that one process gets at most: after that many failures it would give up its servers.
const REQUESTS_OF_A_LIMITER: u64 = 80;
const CASES_IN_FULL: usize = 200;
/// Longest time for which the process is held up.
const MAX_HOLD_MS: u64 = 150;
/// The client's time.
const BUDGET_S: f64 = 3.0;
/// How long a server works before it turns an attempt away or breaks its connection.
const WORK: Duration = Duration::from_millis(40);

fn wanted_cases() -> usize {
    if std::env::var_os("MARLDEAL_FULL").is_some() {
        CASES_IN_FULL
    } else {
        CASES
    }
}

fn asked(request: u64) -> What {
    let budget_ms = BUDGET_S * 1000.0;
    What::Asked { request, limiter: 0, effect: Effect::Safe, budget_ms, kept: false, process: 0 }
}

/// The machine's monotonic clock, which the process under test reads too.
fn monotonic_ms() -> Millis {
    let reading = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC).expect("a clock");
    Duration::from(reading).as_secs_f64() * 1000.0
}

/// How long a process, or `thread-self`, has waited for a processor since its start (`schedstat` in `/proc`, the
/// second number).
fn processor_wait_ms(process: &str) -> Millis {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).expect("scheduling statistics");
    let nanoseconds = text.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    nanoseconds.expect("a number") / 1e6
}

/// How long a process and this thread have waited for a processor since their starts.
fn wait_of_both_ms(process: u32) -> Millis {
    processor_wait_ms(&process.to_string()) + processor_wait_ms("thread-self")
}

/// What clients and servers have seen, with the test's own clock.
struct Recorder {
    started: Instant,
    /// The machine's monotonic clock at that moment.
    started_monotonic_ms: Millis,
    events: Mutex<Vec<Event>>,
    attempts: AtomicU64,
    /// How long servers have waited for a processor before they read the attempts of a request.
    server_waits: Mutex<HashMap<u64, Millis>>,
    over: AtomicBool,
}

impl Recorder {
    fn start() -> Arc<Recorder> {
        let recorder = Arc::new(Recorder {
            started: Instant::now(),
            started_monotonic_ms: monotonic_ms(),
            events: Mutex::default(),
            attempts: AtomicU64::new(0),
            server_waits: Mutex::default(),
            over: AtomicBool::new(false),
        });
        let lateness = recorder.clone();
        std::thread::spawn(move || lateness.record_lateness());
        recorder
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn record(&self, at: Millis, what: What) {
        self.events.lock().expect("lock").push(Event { at, what });
    }

    /// Records when this test's threads do not run in time.
    fn record_lateness(&self) {
        const INTERVAL_MS: Millis = 2.0;
        while !self.over.load(Ordering::SeqCst) {
            let due = self.now() + INTERVAL_MS;
            std::thread::sleep(Duration::from_secs_f64(INTERVAL_MS / 1000.0));
            let by_ms = self.now() - due;
            if by_ms > 1.0 {
                self.record(self.now(), What::HarnessLate { by_ms });
            }
        }
    }

    /// Records that a hold-up that this test has caused was longer than it should be, on a machine that is busy.
    fn held_too_long(&self, at: Millis, by_ms: Millis) {
        self.record(at, What::HarnessLate { by_ms });
    }

    /// Records how long the process, and the servers of this test, have waited for a processor during a request.
    fn record_processor_wait(&self, request: u64, process: u32, waited_before: Millis) {
        let by_servers = self.server_waits.lock().expect("lock").remove(&request).unwrap_or(0.0);
        let by_ms = wait_of_both_ms(process) - waited_before + by_servers;
        if by_ms > 1.0 {
            self.held_too_long(self.now(), by_ms);
        }
    }

    /// Records the writes that were held up for longer than they should be, by the process's log.
    fn record_long_holds(&self, log: &str) {
        for line in log.lines().filter_map(|line| line.strip_prefix("shim: held up until ")) {
            let mut numbers =
                line.split(|c: char| !c.is_ascii_digit()).filter_map(|n| n.parse::<Millis>().ok());
            let (until, by_ms) = (numbers.next().expect("a time"), numbers.next().expect("a span"));
            self.held_too_long(until - self.started_monotonic_ms, by_ms);
        }
    }

    /// Records that a client is about to send a request.
    fn asked(&self, request: u64) {
        self.record(self.now(), asked(request));
    }

    /// Records an attempt as it has come to a server.
    fn arrived(&self, request: u64, left_s: f64) {
        let at = self.now();
        let attempt = self.attempts.fetch_add(1, Ordering::SeqCst);
        self.record(at, What::Arrived { attempt, request, server: 0, begun: at, left_ms: left_s * 1000.0 });
    }

    /// Stops the record.
    fn history(&self) -> History {
        self.over.store(true, Ordering::SeqCst);
        self.history_so_far()
    }

    fn history_so_far(&self) -> History {
        let mut events = self.events.lock().expect("lock").clone();
        events.sort_by(|a, b| a.at.total_cmp(&b.at));
        history_of(events)
    }
}

/// What a server does with the first attempt of a request; later ones are served.
#[derive(Clone, Copy)]
enum FirstAttempt {
    Served,
    Unprocessed,
    Reset,
}

fn request_number(message: &Message) -> u64 {
    let id = message.header("x-correlation-id").expect("a correlation id");
    id.trim_start_matches("c-").parse().expect("a number")
}

/// Serves the connections of a listener.
fn serve(recorder: Arc<Recorder>, first: FirstAttempt, listener: TcpListener) {
    let seen = Arc::new(Mutex::new(HashMap::<u64, usize>::new()));
    let mut waited_before = processor_wait_ms("thread-self");
    for stream in listener.incoming().map_while(Result::ok) {
        let waited = processor_wait_ms("thread-self");
        let waited_ms = waited - std::mem::replace(&mut waited_before, waited);
        let (recorder, seen) = (recorder.clone(), seen.clone());
        std::thread::spawn(move || serve_connection(&recorder, first, &seen, stream, waited_ms));
    }
}

fn serve_connection(
    recorder: &Recorder,
    first: FirstAttempt,
    seen: &Mutex<HashMap<u64, usize>>,
    mut stream: TcpStream,
    mut waited_ms: Millis,
) {
    let _ = stream.set_nodelay(true);
    let mut waited_before = 0.0;
    while let Some(message) = message::read(&mut stream) {
        let request = request_number(&message);
        let left = message.header("x-time-left").and_then(|v| v.parse().ok()).expect("a time left");
        recorder.arrived(request, left);
        let waited = processor_wait_ms("thread-self");
        waited_ms += waited - std::mem::replace(&mut waited_before, waited);
        let waited_ms = std::mem::take(&mut waited_ms);
        // An attempt that its limiter has given up may be read after its request has ended.
        recorder.held_too_long(recorder.now(), waited_ms);
        *recorder.server_waits.lock().expect("lock").entry(request).or_insert(0.0) += waited_ms;
        let attempt = {
            let mut seen = seen.lock().expect("lock");
            let count = seen.entry(request).or_insert(0);
            *count += 1;
            *count
        };
        match first {
            FirstAttempt::Unprocessed if attempt == 1 => {
                std::thread::sleep(WORK);
                let text = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                let _ = stream.write_all(text.as_bytes());
            }
            FirstAttempt::Reset if attempt == 1 => {
                std::thread::sleep(WORK);
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            _ => drop(write_ok(&mut stream, "fine")),
        }
    }
}

/// Starts servers that treat first attempts so.
fn start_servers(recorder: &Arc<Recorder>, first: FirstAttempt, count: usize) -> Vec<SocketAddr> {
    (0..count)
        .map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let addr = listener.local_addr().expect("an address");
            let recorder = recorder.clone();
            std::thread::spawn(move || serve(recorder, first, listener));
            addr
        })
        .collect()
}

/// Sends a request and reads its answer, if one comes.
fn ask(recorder: &Recorder, limiter: SocketAddr, process: u32, request: u64) {
    let Ok(mut client) = TcpStream::connect(limiter) else { return };
    let waited_before = wait_of_both_ms(process);
    let text = get("look", "")
        .replace("X-Correlation-Id: c-1", &format!("X-Correlation-Id: c-{request}"))
        .replace("X-Time-Left: 3.0", &format!("X-Time-Left: {BUDGET_S}"));
    recorder.asked(request);
    let _ = client.write_all(text.as_bytes());
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("time-out");
    let _ = message::read(&mut client);
    recorder.record_processor_wait(request, process, waited_before);
}

/// Stops and continues a process at random moments until it is dropped.
struct Stopper {
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<usize>>,
}

impl Stopper {
    fn start(recorder: &Arc<Recorder>, process: u32, seed: u64) -> Stopper {
        let recorder = recorder.clone();
        let over = Arc::new(AtomicBool::new(false));
        let stop = over.clone();
        let thread = std::thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(seed);
            let process = Pid::from_raw(process as i32);
            let mut stops = 0;
            while !stop.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(rng.u64(20..100)));
                let stopped_at = recorder.now();
                let _ = kill(process, Signal::SIGSTOP);
                std::thread::sleep(Duration::from_millis(rng.u64(50..MAX_HOLD_MS)));
                let _ = kill(process, Signal::SIGCONT);
                let too_long_ms = recorder.now() - stopped_at - MAX_HOLD_MS as Millis;
                if too_long_ms > 0.0 {
                    recorder.held_too_long(recorder.now(), too_long_ms);
                }
                stops += 1;
            }
            stops
        });
        Stopper { over, thread: Some(thread) }
    }

    fn finish(mut self) -> usize {
        self.over.store(true, Ordering::SeqCst);
        self.thread.take().map_or(0, |thread| thread.join().expect("the signals"))
    }
}

/// How far the named times exceed what the clients have left, sorted, for attempts of this number within their
/// request.
fn excesses(history: &History, attempt_number: usize) -> Vec<Millis> {
    let mut deadlines = HashMap::new();
    let mut attempts: HashMap<u64, usize> = HashMap::new();
    let mut excesses = Vec::new();
    for event in &history.events {
        match event.what {
            What::Asked { request, budget_ms, .. } => drop(deadlines.insert(request, event.at + budget_ms)),
            What::Arrived { request, begun, left_ms, .. } => {
                let number = attempts.entry(request).or_insert(0);
                *number += 1;
                if *number == attempt_number {
                    excesses.push(left_ms - (deadlines[&request] - begun).max(0.0));
                }
            }
            _ => {}
        }
    }
    excesses.sort_by(f64::total_cmp);
    excesses
}

/// How many attempts of this number came while neither this test nor the process waited long for a processor.
/// The judge makes allowance for the others, so they show less and do not count.
fn punctual_cases(history: &History, attempt_number: usize) -> usize {
    const LONGEST_WAIT_MS: Millis = 10.0;
    let late = |event: &Event| match event.what {
        What::HarnessLate { by_ms } if by_ms > LONGEST_WAIT_MS => Some(event.at),
        _ => None,
    };
    let late: Vec<Millis> = history.events.iter().filter_map(late).collect();
    let mut requests: HashMap<u64, (Millis, usize)> = HashMap::new();
    let mut cases = 0;
    for event in &history.events {
        match event.what {
            What::Asked { request, .. } => drop(requests.insert(request, (event.at, 0))),
            What::Arrived { request, .. } => {
                let (asked_at, number) = requests.get_mut(&request).expect("a request that was asked");
                *number += 1;
                let near = |at: &Millis| (*asked_at - 20.0..=event.at + 100.0).contains(at);
                cases += usize::from(*number == attempt_number && !late.iter().any(near));
            }
            _ => {}
        }
    }
    cases
}

/// Judges the named times and the number of cases on the path.
fn assert_time_left(path: &str, history: &History, attempt_number: usize, cases: usize) {
    let excesses = excesses(history, attempt_number);
    let found = punctual_cases(history, attempt_number);
    let largest = excesses.last().copied().unwrap_or(f64::NAN);
    let late = history.events.iter().filter_map(|event| match event.what {
        What::HarnessLate { by_ms } => Some(by_ms),
        _ => None,
    });
    let latest = late.fold(0.0, f64::max);
    println!("{path}: {found} cases, largest excess {largest:.1} ms, this test late by up to {latest:.1} ms");
    assert!(found >= cases, "{path}: too few cases, {found} of {cases}");
    let breaches: Vec<String> =
        judge(history).into_iter().filter(|b| b.rule == Rule::TimeLeft).map(|b| b.to_string()).collect();
    assert!(breaches.is_empty(), "{path}: {breaches:#?}");
}

fn server_list(round: u64, addresses: &[SocketAddr]) -> String {
    let names: Vec<String> = (0..addresses.len()).map(|n| format!("s-{round}-{n}")).collect();
    let entries: Vec<_> =
        names.iter().zip(addresses).map(|(name, addr)| (name.as_str(), *addr, "active")).collect();
    update_line(round + 2, true, &entries)
}

/// Plays requests one after another until the path has this many cases more.
fn play_in_turn(recorder: &Recorder, limiter: &Limiter, first_request: u64, attempt_number: usize) {
    let mut rng = fastrand::Rng::with_seed(first_request);
    let before = punctual_cases(&recorder.history_so_far(), attempt_number);
    for request in first_request..first_request + REQUESTS_OF_A_LIMITER {
        ask(recorder, limiter.addr, limiter.id(), request);
        std::thread::sleep(Duration::from_millis(rng.u64(60..250)));
        if punctual_cases(&recorder.history_so_far(), attempt_number) >= before + CASES {
            return;
        }
    }
}

/// A history under the terms of the test's configuration.
fn history_of(events: Vec<Event>) -> History {
    let terms = Terms {
        drain_grace_ms: 1000.0,
        window_ms: 8000.0,
        kill_after_ms: 3000.0,
        capacity_per_s: 1000.0,
        cold: (0.2, 9000.0),
        fall: (3.0, 2000.0),
    };
    History { terms, events }
}

/// How the process is held up.
#[derive(Clone, Copy)]
enum HoldUp {
    /// By signals at random moments.
    Signals,
    /// Before every other write, which is after the clock has been read, and then not for 0.25 s.
    BeforeWrites,
}

impl HoldUp {
    fn calls(self, seed: u64) -> FailingCalls {
        match self {
            HoldUp::Signals => FailingCalls::default(),
            HoldUp::BeforeWrites => FailingCalls {
                held_writes: 500,
                hold_ms: MAX_HOLD_MS as u32 - 1,
                seed: seed as u32 + 1,
                ..FailingCalls::default()
            },
        }
    }

    fn stopper(self, recorder: &Arc<Recorder>, limiter: &Limiter, seed: u64) -> Option<Stopper> {
        matches!(self, HoldUp::Signals).then(|| Stopper::start(recorder, limiter.id(), seed))
    }

    /// Panics if the process was held up too seldom to show anything.
    fn assert_frequent(self, history: &History, stops: usize, cases: usize) {
        let held = || {
            let all = [1, 2].into_iter().flat_map(|number| excesses(history, number));
            all.filter(|excess| *excess > 100.0).count()
        };
        let (found, wanted) = match self {
            HoldUp::Signals => (stops, cases / 4),
            HoldUp::BeforeWrites => (held(), cases / 10),
        };
        assert!(found >= wanted, "held up too seldom: {found} times, not {wanted}");
    }
}

/// Plays requests to one process after another until the path has enough cases.
fn play_path(path: &str, first: FirstAttempt, attempt_number: usize, hold_up: HoldUp) {
    let recorder = Recorder::start();
    let cases = wanted_cases();
    let mut stops = 0;
    for first_request in (0..cases as u64 / 4).map(|n| n * REQUESTS_OF_A_LIMITER) {
        let servers = start_servers(&recorder, first, 3);
        let limiter = Limiter::with_failing_calls(&[], |c| c, &hold_up.calls(first_request));
        limiter.discovery.push(&server_list(0, &servers));
        wait_for("readiness", || ready(&limiter) == 200);
        let stopper = hold_up.stopper(&recorder, &limiter, first_request);
        play_in_turn(&recorder, &limiter, first_request, attempt_number);
        stops += stopper.map_or(0, Stopper::finish);
        recorder.record_long_holds(&limiter.log());
        if punctual_cases(&recorder.history_so_far(), attempt_number) >= cases {
            break;
        }
    }
    let history = recorder.history();
    hold_up.assert_frequent(&history, stops, cases);
    assert_time_left(path, &history, attempt_number, cases);
}

/// The request of a client that comes over a proxy.
fn proxied_call(request: u64) -> Call {
    Call {
        at_ms: 0.0,
        limiter: 0,
        name: format!("c-{request}"),
        customer: Customer { id: 0xb4d65521, plan: "basic".into(), units_per_s: 1.0, spread: 1, first: 0 },
        kind: Kind { class: "look".into(), keyed: false, share: 1.0, units: 1.0, budget_s: BUDGET_S },
    }
}

/// Presents a request as a proxy does, and reports its first attempt as turned away after some work. Records
/// the times that the proxy is to name to the servers of both attempts.
async fn present(recorder: &Recorder, channel: &tonic::transport::Channel, process: u32, request: u64) {
    let mut stream = Stream::open(channel.clone()).await.expect("a stream");
    recorder.asked(request);
    let waited_before = wait_of_both_ms(process);
    assert!(stream.send(request_headers(&proxied_call(request).request(), Some(1))).await);
    let granted = stream.next().await.ok().and_then(|answer| answer.response);
    let Some(Verdict::RequestHeaders(granted)) = granted else { return };
    let time_left = |response| set_header(response, "x-time-left")?.parse::<f64>().ok();
    recorder.arrived(request, time_left(granted.response.as_ref()).expect("a time left"));
    tokio::time::sleep(WORK).await;
    let turned_away = vec![(":status", "503".to_string()), ("x-unprocessed", "1".to_string())];
    assert!(stream.send(Phase::ResponseHeaders(headers(turned_away, true))).await);
    let retried = stream.next().await.ok().and_then(|answer| answer.response);
    let Some(Verdict::ResponseHeaders(retried)) = retried else { return };
    if set_header(retried.response.as_ref(), RETRY_HEADER).is_some() {
        recorder.arrived(request, time_left(retried.response.as_ref()).expect("a time left"));
    }
    recorder.record_processor_wait(request, process, waited_before);
}

async fn play_proxied(path: &str, hold_up: HoldUp) {
    let recorder = Recorder::start();
    let servers: Vec<Stub> = (0..3).map(|_| Stub::new(|_, stream| write_ok(stream, "fine"))).collect();
    let names = ["s-0", "s-1", "s-2"];
    let list: Vec<_> =
        names.into_iter().zip(&servers).map(|(name, server)| (name, server, "active")).collect();
    let cases = wanted_cases();
    let mut stops = 0;
    for first_request in (0..cases as u64 / 4).map(|n| n * REQUESTS_OF_A_LIMITER) {
        let extension = "[external_processor]\nlisten = \"127.0.0.1:0\"\n";
        let calls = hold_up.calls(first_request);
        let limiter = Limiter::with_failing_calls_and_extensions(&list, &calls, extension);
        let endpoint =
            tonic::transport::Endpoint::from_shared(format!("http://{}", limiter.processor_addr()));
        let channel = endpoint.expect("an address").connect().await.expect("a connection");
        let stopper = hold_up.stopper(&recorder, &limiter, first_request);
        let mut rng = fastrand::Rng::with_seed(first_request);
        let before = punctual_cases(&recorder.history_so_far(), 2);
        for request in first_request..first_request + REQUESTS_OF_A_LIMITER {
            present(&recorder, &channel, limiter.id(), request).await;
            tokio::time::sleep(Duration::from_millis(rng.u64(60..250))).await;
            if punctual_cases(&recorder.history_so_far(), 2) >= before + CASES {
                break;
            }
        }
        stops += stopper.map_or(0, Stopper::finish);
        recorder.record_long_holds(&limiter.log());
        if punctual_cases(&recorder.history_so_far(), 2) >= cases {
            break;
        }
    }
    let history = recorder.history();
    hold_up.assert_frequent(&history, stops, cases);
    assert_time_left(&format!("{path}, first attempt"), &history, 1, cases);
    assert_time_left(&format!("{path}, second attempt"), &history, 2, cases);
}

#[tokio::test]
async fn proxies_are_told_what_is_left_while_the_process_is_stopped() {
    play_proxied("proxy, stopped", HoldUp::Signals).await;
}

#[tokio::test]
async fn proxies_are_told_what_is_left_while_writes_are_held_up() {
    play_proxied("proxy, writes held up", HoldUp::BeforeWrites).await;
}

/// A listener whose accept queue is full, and the connection that fills it: others are established only once
/// there is room, when their SYN is sent again after one second.
fn full_listener() -> (TcpListener, TcpStream) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("bind");
    listener.listen(0).expect("listen");
    let listener = TcpListener::from(listener);
    let addr = listener.local_addr().expect("an address");
    (listener, TcpStream::connect(addr).expect("connect"))
}

/// Each round has a new limiter and new servers, to which all connections come up late: their SYN is lost, and
/// sent again after a second. A limiter that has seen fast answers would give such attempts up sooner.
#[test]
fn attempts_on_late_connections_name_what_is_left_while_the_process_is_stopped() {
    const SERVERS_OF_A_ROUND: u64 = 12;
    /// Rounds in which this test itself ran late show nothing, and more of them are played.
    const MAX_ROUNDS_PER_CASE: u64 = 3;
    let recorder = Recorder::start();
    let cases = wanted_cases();
    let mut stops = 0;
    for round in 0..MAX_ROUNDS_PER_CASE * cases as u64 {
        let full: Vec<_> = (0..SERVERS_OF_A_ROUND).map(|_| full_listener()).collect();
        let addresses: Vec<_> =
            full.iter().map(|(listener, _)| listener.local_addr().expect("bound")).collect();
        let slow = |c: String| c.replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":6000"#);
        let limiter = Limiter::with_config(&[], slow);
        limiter.discovery.push(&server_list(round, &addresses));
        limiter.wait_log(&format!("server s-{round}-{} at", SERVERS_OF_A_ROUND - 1));
        let stopper = Stopper::start(&recorder, limiter.id(), round);
        let clients: Vec<_> = (0..SERVERS_OF_A_ROUND)
            .map(|n| {
                let (recorder, addr, process) = (recorder.clone(), limiter.addr, limiter.id());
                std::thread::spawn(move || ask(&recorder, addr, process, round * SERVERS_OF_A_ROUND + n))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(500));
        for (listener, filler) in full {
            let filled = listener.accept().expect("the filler");
            drop((filler, filled));
            let server = recorder.clone();
            std::thread::spawn(move || serve(server, FirstAttempt::Served, listener));
        }
        clients.into_iter().for_each(|client| client.join().expect("a client"));
        stops += stopper.finish();
        let history = recorder.history_so_far();
        if late_arrivals(&history) >= cases && punctual_cases(&history, 1) >= cases {
            break;
        }
    }
    assert!(stops >= cases / 4, "too few stops: {stops}");
    let history = recorder.history();
    let late = late_arrivals(&history);
    println!("{late} attempts came late");
    assert!(late >= cases, "too few cases: {late} of {cases} attempts came late");
    assert_time_left("late connection, stopped", &history, 1, cases);
}

/// How many attempts came to their server half a second after their request or later.
fn late_arrivals(history: &History) -> usize {
    let mut asked = HashMap::new();
    let late = |event: &&Event| match event.what {
        What::Asked { request, .. } => {
            asked.insert(request, event.at);
            false
        }
        What::Arrived { request, .. } => event.at - asked[&request] > 500.0,
        _ => false,
    };
    history.events.iter().filter(late).count()
}

/// The check can fail: a second attempt that names the whole time of its client, and too few cases.
#[test]
fn planted_faults_are_found() {
    let arrived = |attempt, at, left_ms| Event {
        at,
        what: What::Arrived { attempt, request: 1, server: 0, begun: at, left_ms },
    };
    let events = vec![Event { at: 0.0, what: asked(1) }, arrived(1, 5.0, 2995.0), arrived(2, 200.0, 3000.0)];
    let good = history_of(events[..2].to_vec());
    assert_time_left("planted", &good, 1, 1);
    assert!(std::panic::catch_unwind(|| assert_time_left("planted", &good, 1, 2)).is_err(), "too few");
    let bad = history_of(events);
    assert_eq!(excesses(&bad, 2), [200.0]);
    assert!(std::panic::catch_unwind(|| assert_time_left("planted", &bad, 2, 1)).is_err());
}

#[test]
fn first_attempts_name_what_is_left_while_the_process_is_stopped() {
    play_path("first attempt, stopped", FirstAttempt::Served, 1, HoldUp::Signals);
}

#[test]
fn first_attempts_name_what_is_left_while_writes_are_held_up() {
    play_path("first attempt, writes held up", FirstAttempt::Served, 1, HoldUp::BeforeWrites);
}

#[test]
fn retries_after_unprocessed_attempts_name_what_is_left_while_the_process_is_stopped() {
    play_path("second attempt after 503, stopped", FirstAttempt::Unprocessed, 2, HoldUp::Signals);
}

#[test]
fn retries_after_unprocessed_attempts_name_what_is_left_while_writes_are_held_up() {
    play_path("second attempt after 503, writes held up", FirstAttempt::Unprocessed, 2, HoldUp::BeforeWrites);
}

#[test]
fn retries_after_resets_name_what_is_left_while_the_process_is_stopped() {
    play_path("second attempt after a reset, stopped", FirstAttempt::Reset, 2, HoldUp::Signals);
}

#[test]
fn retries_after_resets_name_what_is_left_while_writes_are_held_up() {
    play_path("second attempt after a reset, writes held up", FirstAttempt::Reset, 2, HoldUp::BeforeWrites);
}
