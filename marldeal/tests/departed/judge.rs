//! Judges a recorded list of cases: in each a client closed, and an attempt for it may have begun.

use std::fmt;

/// An attempt that begins later than this after the close is a violation.
pub const MAX_ATTEMPT_AFTER_CLOSE_MS: f64 = 100.0;
/// A path with fewer cases is not judged as passed.
pub const MIN_CASES_PER_PATH: usize = 20;

/// What a request goes through when its client closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// The process is stopped; the client connects, writes its request and closes.
    NewConnection,
    /// The same while accepting fails for lack of file descriptors.
    FailingAccept,
    /// The same on a connection that has been used before.
    KeptConnection,
    /// The head was read before the stop; the body and the close follow during it.
    LateBody,
    /// The body is too long to be buffered, so that its first attempt begins while it is being read.
    StreamedBody,
    /// Several requests at once, and a close behind them.
    Pipelined,
    /// The connection passes to a successor process, which is stopped.
    HandOver,
    /// The request is held until a server accepts requests.
    Queued,
    /// The request waits for a peer's message; further bytes precede the close.
    PeerWait,
    /// The connection to the server is established late.
    LateServer,
    /// The first attempt is refused by the server, and the request may be sent again.
    Retry,
}

/// One request of a client that closed. Times are in milliseconds on one clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Case {
    /// What the request went through.
    pub path: Path,
    /// When the client's close had been made.
    pub closed_ms: f64,
    /// When a server received the last attempt, if there was one.
    pub attempt_ms: Option<f64>,
}

/// A reason for which a recorded list does not pass.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Finding {
    /// An attempt began too long after the close.
    Late {
        /// Its path.
        path: Path,
        /// Time between the close and the attempt, in milliseconds.
        after_ms: f64,
    },
    /// There are too few cases to judge the path.
    TooFew {
        /// The path.
        path: Path,
        /// The number of its cases.
        cases: usize,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Finding::Late { path, after_ms } => {
                write!(f, "{path:?}: an attempt began {after_ms:.0} ms after the close")
            }
            Finding::TooFew { path, cases } => {
                write!(f, "{path:?}: too few cases: {cases} of {MIN_CASES_PER_PATH}")
            }
        }
    }
}

/// Judges the cases of the given paths. No findings mean that every path passed.
pub fn judge(cases: &[Case], paths: &[Path]) -> Vec<Finding> {
    let late = cases.iter().filter_map(|case| {
        let after_ms = case.attempt_ms? - case.closed_ms;
        (after_ms > MAX_ATTEMPT_AFTER_CLOSE_MS).then_some(Finding::Late { path: case.path, after_ms })
    });
    let too_few = paths.iter().filter_map(|path| {
        let cases = cases.iter().filter(|case| case.path == *path).count();
        (cases < MIN_CASES_PER_PATH).then_some(Finding::TooFew { path: *path, cases })
    });
    late.chain(too_few).collect()
}
