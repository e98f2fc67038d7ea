//! What clients, servers and discovery observed in a run, in the order of time. Times are milliseconds of the
//! test environment's own monotonic clock.

use std::fmt;

/// A point in time or a duration in milliseconds.
pub type Millis = f64;

/// A limiter, by position.
pub type Limiter = usize;
/// A server, by number.
pub type Server = usize;
/// A request of a client; a request that is asked again has a new number.
pub type Request = u64;
/// An attempt that reached a server.
pub type Attempt = u64;

/// Effect of executing a request twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// No harm.
    Safe,
    /// No harm while servers remember the idempotency key.
    Keyed,
    /// Harm.
    Unsafe,
}

/// How an attempt ended at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered 200.
    Served,
    /// Answered 500; it may have run.
    Error,
    /// Answered 503 with `X-Unprocessed: 1`; it did not run.
    Unprocessed,
    /// The limiter closed the connection.
    GivenUp,
    /// The server reset the connection; it may have run.
    Reset,
}

/// An event.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// A client wrote the last byte of a request.
    Asked {
        /// The request.
        request: Request,
        /// The limiter.
        limiter: Limiter,
        /// Effect of a second execution.
        effect: Effect,
        /// How long the client waits.
        budget_ms: Millis,
        /// Whether the connection carried requests before.
        kept: bool,
        /// Number of the limiter's process.
        process: u32,
    },
    /// The client closed the connection without an answer.
    Left {
        /// The request.
        request: Request,
    },
    /// A whole answer arrived.
    Answered {
        /// The request.
        request: Request,
        /// The status.
        status: u16,
        /// The attempt that the body names.
        body_of: Option<Attempt>,
    },
    /// The connection ended without a whole answer.
    Unanswered {
        /// The request.
        request: Request,
    },
    /// The client asked again on a new connection, because the limiter closed the idle connection on which the
    /// request was sent.
    AskedAnew {
        /// The request.
        request: Request,
        /// Its new number.
        anew: Request,
    },
    /// The end of a connection on which a client sent only a part of a request.
    HalfEnded {
        /// The limiter.
        limiter: Limiter,
        /// Time from the first byte to the end; `None` if the limiter did not end it.
        after_ms: Option<Millis>,
    },
    /// A client asked for a long answer.
    AskedForLong {
        /// The request.
        request: Request,
        /// The limiter.
        limiter: Limiter,
        /// How long the client waits.
        budget_ms: Millis,
        /// Number of the limiter's process.
        process: u32,
    },
    /// The answer to a request for a long answer ended.
    LongAnswered {
        /// The request.
        request: Request,
        /// Its status; 0 without an answer.
        status: u16,
        /// Whether all of it arrived.
        whole: bool,
    },
    /// A crowd began or ceased to press on a limiter.
    CrowdPresses {
        /// The limiter.
        limiter: Limiter,
        /// Whether it ceased.
        over: bool,
    },
    /// A server began to give a long answer.
    GivingBegan {
        /// The request.
        request: Request,
    },
    /// A server ended a long answer.
    GivingEnded {
        /// The request.
        request: Request,
        /// Whether the limiter closed the connection before the answer was whole.
        cut_off: bool,
        /// Whether any of the body had been written.
        body_begun: bool,
    },
    /// A request that is not sound was answered, or its connection ended.
    UnsoundEnded {
        /// The request.
        request: Request,
        /// The limiter.
        limiter: Limiter,
        /// Number of the limiter's process.
        process: u32,
        /// The status of the answer.
        status: Option<u16>,
    },
    /// A server received a request whole that is not sound.
    UnsoundArrived {
        /// The request.
        request: Request,
    },
    /// A request was written to a process of a server that has vanished, over a connection from before.
    SentToVanished {
        /// The limiter's request.
        request: Request,
        /// The server.
        server: Server,
        /// Time since its next process started; negative before.
        after_start_ms: Millis,
    },
    /// An attempt arrived whole.
    Arrived {
        /// The attempt.
        attempt: Attempt,
        /// The request that it is for.
        request: Request,
        /// The server.
        server: Server,
        /// When its first byte arrived.
        begun: Millis,
        /// The remaining time that it names.
        left_ms: Millis,
    },
    /// An attempt ended.
    Over {
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: Outcome,
    },
    /// From now on a limiter counts as notified whether a server takes work.
    Told {
        /// The limiter.
        limiter: Limiter,
        /// The server.
        server: Server,
        /// Whether new work may be sent to it.
        takes: bool,
    },
    /// A server's process started cold.
    ServerStarted {
        /// The server.
        server: Server,
    },
    /// A limiter's process was stopped or continued.
    Stopped {
        /// The limiter.
        limiter: Limiter,
        /// Whether it was continued.
        over: bool,
    },
    /// A limiter's process was started.
    Started {
        /// The limiter.
        limiter: Limiter,
        /// Number of the process.
        process: u32,
    },
    /// A limiter's process became ready.
    Ready {
        /// The limiter.
        limiter: Limiter,
    },
    /// A limiter was asked to end.
    Terminated {
        /// The limiter.
        limiter: Limiter,
    },
    /// A limiter was killed.
    Killed {
        /// The limiter.
        limiter: Limiter,
    },
    /// A limiter's process ended without being killed.
    Exited {
        /// The limiter.
        limiter: Limiter,
        /// Whether it had been asked to end, and exited with success.
        well: bool,
    },
    /// A limiter logged that it broke a rule, or a line in an unknown form.
    Confessed {
        /// The limiter.
        limiter: Limiter,
        /// The line.
        line: String,
    },
    /// The test environment itself was late; events that look late by less than this are held against nobody.
    HarnessLate {
        /// By how much.
        by_ms: Millis,
    },
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When it happened.
    pub at: Millis,
    /// What happened.
    pub what: What,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:>9.1} {:?}", self.at, self.what)
    }
}

/// Terms that limiters have to keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Grace of a drain.
    pub drain_grace_ms: Millis,
    /// How long servers drop repeats of a request.
    pub window_ms: Millis,
    /// Shortest time between SIGTERM and SIGKILL.
    pub kill_after_ms: Millis,
    /// Requests a second that a warm server can process.
    pub capacity_per_s: f64,
    /// Share of this capacity at the start of a server, and the time until it is warm.
    pub cold: (f64, Millis),
    /// A server is overloaded at so many times its capacity, kept up for so long.
    pub fall: (f64, Millis),
}

/// All that was observed in a run.
#[derive(Debug, Clone)]
pub struct History {
    /// The terms to keep.
    pub terms: Terms,
    /// The events.
    pub events: Vec<Event>,
}

impl History {
    /// Returns the events of a request.
    pub fn of_request(&self, wanted: Request) -> impl Iterator<Item = &Event> {
        let attempts: Vec<Attempt> = self
            .events
            .iter()
            .filter_map(|e| match e.what {
                What::Arrived { attempt, request, .. } if request == wanted => Some(attempt),
                _ => None,
            })
            .collect();
        self.events.iter().filter(move |e| match &e.what {
            What::Asked { request, .. }
            | What::Left { request }
            | What::Answered { request, .. }
            | What::Unanswered { request }
            | What::AskedForLong { request, .. }
            | What::LongAnswered { request, .. }
            | What::GivingBegan { request }
            | What::GivingEnded { request, .. }
            | What::UnsoundEnded { request, .. }
            | What::UnsoundArrived { request }
            | What::SentToVanished { request, .. }
            | What::Arrived { request, .. } => *request == wanted,
            What::AskedAnew { request, anew } => *request == wanted || *anew == wanted,
            What::Over { attempt, .. } => attempts.contains(attempt),
            _ => false,
        })
    }

    /// Returns the events of a limiter's processes from `from` to `until`: starts, stops, kills and ends.
    pub fn of_processes(&self, wanted: Limiter, from: Millis, until: Millis) -> impl Iterator<Item = &Event> {
        let within = self.events.iter().filter(move |e| e.at >= from && e.at <= until);
        within.filter(move |e| match &e.what {
            What::Stopped { limiter, .. }
            | What::Started { limiter, .. }
            | What::Ready { limiter }
            | What::Terminated { limiter }
            | What::Killed { limiter }
            | What::Exited { limiter, .. } => *limiter == wanted,
            _ => false,
        })
    }
}
