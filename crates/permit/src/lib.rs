//! The one place that decides whether something may be sent, repeated, closed or accepted at this moment. It is asked at the
//! last moment before the bytes go out, not when the decision was made: a process may stand still in between, and a
//! connection may come up late. It does *not* read a clock, look at sockets or keep state: what is known, and as of when, is
//! an argument, and where that is too old the answer names what has to be looked at first.
//!
//! [`violation`] holds what has happened against the same rules, by other facts than those that the decision was made by.
//!
//! ```
//! use marldeal_permit::{may_send, Attempt, Check, ClientState, Denied, Effect, Verdict};
//!
//! let attempt = Attempt {
//!     now: 1000.0,
//!     client: ClientState::Connected { checked_at: 990.0 },
//!     server_accepts: true,
//!     server_list_current: true,
//!     deadline: 4000.0,
//!     effect: Effect::Keyed { window_ms: 8000.0 },
//!     may_have_run: None,
//!     another_outstanding: false,
//! };
//! assert_eq!(may_send(&attempt), Verdict::Allowed);
//! let later = Attempt { now: 1500.0, ..attempt };
//! assert_eq!(may_send(&later), Verdict::CheckFirst(Check::Client));
//! let left = Attempt { client: ClientState::Disconnected, ..later };
//! assert_eq!(may_send(&left), Verdict::Denied(Denied::ClientDisconnected));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accepting;
mod closing;
mod sending;
pub mod violation;

pub use accepting::{may_accept, StartupState};
pub use closing::{may_close, CloseReason, Connection, KeepReason};
pub use sending::{
    may_retry, may_send, usable_window_ms, Attempt, Check, ClientState, Denied, Effect, Verdict,
    MAX_CLIENT_CHECK_AGE_MS, MAX_STALL_MS,
};

/// A moment or a length of time in milliseconds.
pub type Millis = f64;
