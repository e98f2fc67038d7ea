//! A soak test: a few dozen real limiters as processes on loopback, with clients, servers and discovery agents on raw sockets
//! round them, and troubles that meet in twos and threes at one moment: a process that stands still, a reload, a restart, a
//! drain, a client that leaves, calls that fail.
//!
//! [`judge`] holds what was seen from outside against the rules; nothing that a limiter says of itself counts in its favour.
//! A run is drawn from a seed ([`plan`]), and a breach names it. Real processes do not repeat to the microsecond: the same
//! seed gives the same troubles, not the same interleaving.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agent;
pub mod client;
pub mod command;
pub mod environment;
pub mod faults;
pub mod history;
pub mod http;
pub mod judge;
pub mod limiter;
pub mod plan;
pub mod run;
pub mod server;
pub mod shim;
