//! Decision logic of a rate limiter and load balancer that enforces customer quotas in front of a shared back end.
//!
//! [`interface`] defines the settings, events and actions; [`policy::Limiter`] turns events into actions.
//! The crate uses no clock, thread, network or shared state: the caller passes the time with each event.
//!
//! ```
//! use fawnhill::*;
//!
//! let lookup = Class {
//!     aim_ms: 1000.0, late_worth: 0.0, effect: Effect::Safe, group: KeyGroup::All, window_ms: 0.0,
//! };
//! let basic = Plan {
//!     rate: 4.0, burst: 8.0, open: 0, ceiling_rate: 0.0, ceiling_burst: 0.0, ceiling_slack: 0.0,
//! };
//! let settings = Settings {
//!     limiters: 1, position: 0, zone: 0, classes: vec![lookup], plans: vec![basic], round_ms: 1.0,
//!     max_attempts: 3, connect_timeout_ms: 250.0, may_probe: false, may_tell: false, may_cancel: true,
//!     may_advise: false, messages_per_s: 0.0, must_subscribe: false, cold_share: 0.2, cold_ms: 10_000.0,
//!     fall_multiple: 3.0, fall_ms: 2000.0, firms: 10_000,
//! };
//! let mut limiter = Limiter::new(settings.clone(), 42, 0.0)?;
//! let mut actions = Vec::new();
//!
//! let entry = ServerEntry {
//!     server: "10.0.0.1:80".into(), zone: 0, cell: 0, condition: Condition::Serving, weight: 1.0, started: 0.0,
//! };
//! limiter.handle(0.0, Event::Servers { whole: true, entries: [entry].into() }, &mut actions);
//!
//! let request = Request {
//!     id: 1, class: 0, plan: 0, customer: 7, budget_ms: 3000.0, units: 1.0, spread: 1, first: 0,
//! };
//! limiter.handle(5.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
//!
//! // Invalid settings are rejected, and the error names the setting.
//! let error = Limiter::new(Settings { limiters: 0, ..settings }, 42, 0.0).unwrap_err();
//! assert!(error.contains("limiters"));
//! # Ok::<(), String>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accounts;
mod customers;
mod decision_trace;
mod hand_over;
pub mod interface;
pub mod limiter_state;
mod message;
pub mod planted;
pub mod policy;
mod prefetch;
mod selection;
mod server_health;
mod servers;
mod slow_start;
mod state;
mod uploads;
mod validation;

pub use decision_trace::{Decision, DecisionTrace, Reason};
pub use interface::*;
pub use message::{line_kinds, LineKind};
pub use policy::Limiter;
pub use prefetch::PrefetchCounts;
pub use uploads::COMPLETION_BIT;
pub use validation::validation_errors;
