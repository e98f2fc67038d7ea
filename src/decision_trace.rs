//! Records of why a request was refused, failed, cancelled or retried, for the operator's request log. They are made only
//! while tracing is enabled ([`Limiter::enable_tracing`]) and have no influence on decisions.

use std::fmt;

use crate::interface::*;
use crate::state::Limiter;

/// Why a request was ended, or an attempt cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its customer's demand exceeds the quota by far, or new customers arrive too fast.
    DemandExceedsQuota,
    /// Neither a quota owner nor this limiter's own share granted its units.
    NoUnits,
    /// No server had room for it in time.
    HeldTooLong,
    /// The target latency has passed, and a later answer is worth nothing.
    TargetLatencyPassed,
    /// The client's deadline is about to pass.
    DeadlinePassed,
    /// The last attempt ended without an answer, and the rules, the time left or the retry budget allow no other.
    NoRetryAllowed,
    /// The server has shown no sign of life since the attempt was sent.
    ServerSilent,
    /// The client has disconnected.
    ClientDisconnected,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Reason::DemandExceedsQuota => "the demand exceeds the quota",
            Reason::NoUnits => "no units were granted",
            Reason::HeldTooLong => "no server had room in time",
            Reason::TargetLatencyPassed => "the target latency has passed",
            Reason::DeadlinePassed => "the deadline is about to pass",
            Reason::NoRetryAllowed => "no further attempt is allowed",
            Reason::ServerSilent => "the server is silent",
            Reason::ClientDisconnected => "the client has disconnected",
        })
    }
}

/// What was decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It was refused.
    Refused(Reason),
    /// It failed.
    Failed(Reason),
    /// Its attempt of this number was cancelled.
    Cancelled(u32, Reason),
    /// It gets another attempt after one that ended so.
    Retried(Outcome),
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Decision::Refused(reason) => write!(f, "refused: {reason}"),
            Decision::Failed(reason) => write!(f, "failed: {reason}"),
            Decision::Cancelled(attempt, reason) => write!(f, "attempt {attempt} cancelled: {reason}"),
            Decision::Retried(outcome) => write!(f, "retried after {outcome:?}"),
        }
    }
}

/// A decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionTrace {
    /// Id of the request.
    pub id: RequestId,
    /// What was decided.
    pub decision: Decision,
}

impl Limiter {
    /// Emits an [`Action::Trace`] for each decision that ends or repeats an attempt, from now on.
    pub fn enable_tracing(&mut self) {
        self.tracing = true;
    }

    pub(crate) fn trace(&self, id: RequestId, decision: Decision, out: &mut Vec<Action>) {
        if self.tracing {
            out.push(Action::Trace(DecisionTrace { id, decision }));
        }
    }
}
