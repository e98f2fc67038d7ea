//! What clients, servers and discovery saw of a run, in the order in which it happened. Times are milliseconds of the
//! harness's own steady clock.

use std::fmt;

/// A moment or a length of time in milliseconds.
pub type Millis = f64;

/// A limiter, by its position.
pub type Limiter = usize;
/// A server, by its number.
pub type Server = usize;
/// A request of a client; a client that asks again has a new one.
pub type Request = u64;
/// An attempt that came to a server.
pub type Attempt = u64;

/// What a second execution of a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// No harm.
    Safe,
    /// None while servers remember its key.
    Keyed,
    /// Harm.
    Unsafe,
}

/// How an attempt ended at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered 200.
    Served,
    /// Answered 500: it may have run.
    Error,
    /// Answered 503 with `X-Unprocessed: 1`: it never ran.
    Unprocessed,
    /// The limiter closed the connection.
    GivenUp,
    /// The server broke the connection off: it may have run.
    Reset,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// The last byte of a request was written.
    Asked {
        /// Which.
        request: Request,
        /// To whom.
        limiter: Limiter,
        /// What a second execution would do.
        effect: Effect,
        /// How long its client waits.
        budget_ms: Millis,
        /// Requests came on its connection before.
        kept: bool,
        /// Which number the limiter's process has.
        process: u32,
    },
    /// Its client closed the connection, with no answer so far.
    Left {
        /// Which.
        request: Request,
    },
    /// A whole answer came.
    Answered {
        /// To which.
        request: Request,
        /// The status.
        status: u16,
        /// The attempt that its body names.
        body_of: Option<Attempt>,
    },
    /// Its connection ended with no whole answer.
    Unanswered {
        /// Which.
        request: Request,
    },
    /// Its client asked again on a new connection, as one does whose request crossed the end of a resting one.
    AskedAnew {
        /// Which.
        request: Request,
        /// Under this number.
        anew: Request,
    },
    /// A client that has sent a part of a request, and stays, was ended.
    HalfEnded {
        /// By whom.
        limiter: Limiter,
        /// How long after its first byte; nothing if it was not.
        after_ms: Option<Millis>,
    },
    /// An attempt has come whole.
    Arrived {
        /// Which.
        attempt: Attempt,
        /// Of which request.
        request: Request,
        /// Where.
        server: Server,
        /// When its first byte came.
        begun: Millis,
        /// The time that it names.
        left_ms: Millis,
    },
    /// An attempt is over.
    Over {
        /// Which.
        attempt: Attempt,
        /// How.
        outcome: Outcome,
    },
    /// What counts as told to a limiter: whether a server takes work.
    Told {
        /// To whom.
        limiter: Limiter,
        /// Of which.
        server: Server,
        /// New work may go there.
        takes: bool,
    },
    /// A server's process started: it is cold.
    ServerStarted {
        /// Which.
        server: Server,
    },
    /// A limiter's process stood still, or goes on.
    Stopped {
        /// Which.
        limiter: Limiter,
        /// It goes on.
        over: bool,
    },
    /// A limiter's process was started.
    Started {
        /// Which.
        limiter: Limiter,
        /// Which of its processes.
        process: u32,
    },
    /// It is ready for the first time.
    Ready {
        /// Which.
        limiter: Limiter,
    },
    /// It was told to end.
    Terminated {
        /// Which.
        limiter: Limiter,
    },
    /// It was killed.
    Killed {
        /// Which.
        limiter: Limiter,
    },
    /// It ended by itself.
    Exited {
        /// Which.
        limiter: Limiter,
        /// It had been told to, and said that all went well.
        well: bool,
    },
    /// It logged that it broke a rule.
    Confessed {
        /// Which.
        limiter: Limiter,
        /// The line.
        line: String,
    },
    /// The harness itself was late: nothing that looks late by less than this is anybody's fault.
    HarnessLate {
        /// By so much.
        by_ms: Millis,
    },
}

/// Something that happened, and when.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When.
    pub at: Millis,
    /// What.
    pub what: What,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:>9.1} {:?}", self.at, self.what)
    }
}

/// What limiters were told to keep to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Grace of a drain.
    pub drain_grace_ms: Millis,
    /// Servers drop repeats for so long.
    pub window_ms: Millis,
    /// SIGKILL comes no sooner than this after SIGTERM.
    pub kill_after_ms: Millis,
    /// What a warm server can do in a second.
    pub capacity_per_s: f64,
    /// Share of that at a start, and how long it takes to be warm.
    pub cold: (f64, Millis),
    /// A server falls at so many times what it can do, for so long.
    pub fall: (f64, Millis),
}

/// A run.
#[derive(Debug, Clone)]
pub struct History {
    /// What was to be kept.
    pub terms: Terms,
    /// What happened.
    pub events: Vec<Event>,
}

impl History {
    /// Events that name a request.
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
            | What::Arrived { request, .. } => *request == wanted,
            What::AskedAnew { request, anew } => *request == wanted || *anew == wanted,
            What::Over { attempt, .. } => attempts.contains(attempt),
            _ => false,
        })
    }
}
