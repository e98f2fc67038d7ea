//! Clients that close before their request is sent on, and a record of when they did and when attempts began.

pub mod judge;

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stubs::{get, read_answer, write_ok, Message, Process, Stub};
use judge::{judge, Case, Finding, Path};

/// The number of cases in a path is at least this variable's value, [`judge::MIN_CASES_PER_PATH`] without it. The
/// full form has 200.
const CASES_VARIABLE: &str = "MARLDEAL_DEPARTED_CASES";
/// Time for a signal or a request to reach the process.
pub const SETTLING_TIME: Duration = Duration::from_millis(30);
/// Stalls from the last close to the moment at which the process runs again, used in turn.
const STALLS: [Duration; 3] =
    [Duration::from_millis(150), Duration::from_millis(350), Duration::from_millis(800)];

/// The number of batches that each path has at least.
const MIN_BATCHES: usize = 2;

/// The number of cases that each path has at least.
pub fn wanted_cases() -> usize {
    let asked = std::env::var(CASES_VARIABLE).ok();
    asked.map_or(judge::MIN_CASES_PER_PATH, |n| n.parse().expect("a number of cases"))
}

/// How a client ends its request. All of these count as a close, as in `SharedSocket::unread`: a client that has
/// shut down its writing side gets no answer either.
#[derive(Debug, Clone, Copy)]
pub enum Ending {
    Close,
    HalfClose,
    Reset,
}

pub const ENDINGS: [Ending; 3] = [Ending::Close, Ending::HalfClose, Ending::Reset];

/// How a request's body is sent. Requests with a body belong to a class that is unsafe to repeat.
#[derive(Debug, Clone, Copy)]
pub enum Form {
    NoBody,
    EmptyBody,
    Length,
    Chunked,
}

pub const FORMS: [Form; 4] = [Form::NoBody, Form::EmptyBody, Form::Length, Form::Chunked];

/// Head and body of a request with this id.
pub fn request(form: Form, id: &str) -> (String, String) {
    let (class, method, framing, body) = match form {
        Form::NoBody => ("look", "GET", "", ""),
        Form::EmptyBody => ("pay", "POST", "Content-Length: 0\r\n", ""),
        Form::Length => ("pay", "POST", "Content-Length: 5\r\n", "hello"),
        Form::Chunked => ("pay", "POST", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"),
    };
    let head = get(class, framing).replacen("GET", method, 1).replace("c-1", id);
    (head.replace("X-Time-Left: 3.0", "X-Time-Left: 20.0"), body.to_string())
}

/// The whole request.
pub fn text(form: Form, id: &str) -> String {
    let (head, body) = request(form, id);
    head + &body
}

/// Adds the unsafe class, and target latencies that leave requests time to wait. The list of servers is sent to
/// subscribers only: otherwise attempts wait after a stall until discovery has been heard, which hides how the
/// client is checked.
pub fn with_unsafe_class(config: String) -> String {
    config
        .replace(
            r#""Classes":["#,
            r#""Classes":[{"Name":"pay","AimMs":40000,"Effect":"non_idempotent","LateWorth":0},"#,
        )
        .replace(r#""AimMs":1000"#, r#""AimMs":40000"#)
        .replace("automatic", "subscribe")
}

/// When attempts reached the servers, by request id.
#[derive(Clone, Default)]
pub struct Attempts(Arc<Mutex<HashMap<String, Vec<Instant>>>>);

impl Attempts {
    /// Records an attempt now and returns how many the request has had.
    pub fn record(&self, message: &Message) -> usize {
        let id = message.header("x-correlation-id").unwrap_or_default();
        let mut all = self.0.lock().expect("lock");
        let times = all.entry(id).or_default();
        times.push(Instant::now());
        times.len()
    }
    /// The number of requests with at least one attempt.
    pub fn request_count(&self) -> usize {
        self.0.lock().expect("lock").len()
    }
    /// Whether the request has had an attempt.
    pub fn has_begun(&self, id: &str) -> bool {
        self.last(id).is_some()
    }
    fn last(&self, id: &str) -> Option<Instant> {
        self.0.lock().expect("lock").get(id)?.last().copied()
    }
    /// A server that records its attempts and serves them.
    pub fn server(&self) -> Stub {
        let attempts = self.clone();
        Stub::new(move |message, stream| {
            attempts.record(message);
            write_ok(stream, "fine")
        })
    }
}

/// The clients of a path that have closed, and the attempts that reached a server.
pub struct Record {
    path: Path,
    started: Instant,
    pub attempts: Attempts,
    closed: Vec<(String, Instant)>,
    /// Half-closed connections, which stay open on the client's side until the end.
    half_closed: Vec<TcpStream>,
    batches: usize,
    numbered: usize,
}

impl Record {
    pub fn new(path: Path) -> Record {
        Record {
            path,
            started: Instant::now(),
            attempts: Attempts::default(),
            closed: Vec::new(),
            half_closed: Vec::new(),
            batches: 0,
            numbered: 0,
        }
    }

    /// Whether another batch of cases is needed. Batches differ by their number, so there are at least
    /// [`MIN_BATCHES`].
    pub fn wants_more(&mut self) -> bool {
        self.batches += 1;
        self.closed.len() < wanted_cases() || self.batches <= MIN_BATCHES
    }
    /// The number of this batch, from 1.
    pub fn batch(&self) -> usize {
        self.batches
    }
    /// The stall of this batch.
    pub fn stall(&self) -> Duration {
        STALLS[self.batches % STALLS.len()]
    }
    /// What clients of this batch send behind their request: the beginning of another one in every second batch.
    pub fn further(&self) -> &'static str {
        ["GET /look", ""][self.batches % 2]
    }
    /// A new request id.
    pub fn next_id(&mut self) -> String {
        self.numbered += 1;
        format!("{:?}-{}", self.path, self.numbered)
    }

    /// Ends a client whose requests have these ids.
    pub fn leave(&mut self, stream: TcpStream, ending: Ending, ids: impl IntoIterator<Item = String>) {
        match ending {
            Ending::Close => drop(stream),
            Ending::Reset => {
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger");
                drop(stream);
            }
            Ending::HalfClose => {
                stream.shutdown(Shutdown::Write).expect("shutdown");
                self.half_closed.push(stream);
            }
        }
        // Taken after the close, so that the time up to an attempt is never overstated.
        let at = Instant::now();
        self.closed.extend(ids.into_iter().map(|id| (id, at)));
    }

    /// The recorded cases.
    fn cases(&self) -> Vec<Case> {
        let ms = |at: Instant| at.duration_since(self.started).as_secs_f64() * 1000.0;
        let case = |(id, at): &(String, Instant)| Case {
            path: self.path,
            closed_ms: ms(*at),
            attempt_ms: self.attempts.last(id).map(ms),
        };
        self.closed.iter().map(case).collect()
    }

    /// Judges the recorded cases and reports their numbers.
    pub fn assert_passes(&self) {
        std::thread::sleep(10 * SETTLING_TIME);
        let cases = self.cases();
        let findings = judge(&cases, &[self.path]);
        let late = findings.iter().filter(|f| matches!(f, Finding::Late { .. })).count();
        let begun = cases.iter().filter(|c| c.attempt_ms.is_some()).count();
        eprintln!(
            "{:?}: {} cases in {} batches, {begun} with an attempt, {late} of them late",
            self.path,
            cases.len(),
            self.batches - 1
        );
        let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
        assert!(lines.is_empty(), "{}", lines.join("\n"));
    }
}

/// A client that stays: its request has to be served, or a batch without attempts would show nothing.
pub struct Control(TcpStream);

impl Control {
    pub fn new(mut stream: TcpStream, id: &str) -> Control {
        stream.write_all(text(Form::Length, id).as_bytes()).expect("write");
        Control(stream)
    }
    pub fn assert_served(mut self) {
        assert_eq!(read_answer(&mut self.0).status, 200, "the client that stayed is served");
    }
}

/// Stops a process with SIGSTOP, runs `meanwhile`, and continues it `stall` later.
pub fn while_stopped<T>(process: &Process, stall: Duration, meanwhile: impl FnOnce() -> T) -> T {
    process.signal("STOP");
    // The process may run on for a moment after the signal.
    std::thread::sleep(SETTLING_TIME);
    let result = meanwhile();
    std::thread::sleep(stall);
    process.signal("CONT");
    result
}
