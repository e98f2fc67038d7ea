//! Decides whether something may be sent, retried, closed or accepted at this moment; all such decisions are made here.
//! The caller asks immediately before it acts, not when it plans the action: the process may stall in between, and a
//! connection may be established late. The crate reads no clock, inspects no sockets and keeps no state. The caller
//! passes in the facts and when they were established; if they are too old, the answer names the one to refresh first.
//!
//! [`violation`] checks afterwards what was written against the same rules, using facts gathered independently of the
//! decision.
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
//! let disconnected = Attempt { client: ClientState::Disconnected, ..later };
//! assert_eq!(may_send(&disconnected), Verdict::Denied(Denied::ClientDisconnected));
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

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
