//! A soak test: a few dozen real limiters as processes on loopback, with clients, servers and discovery agents
//! on raw sockets, and faults that coincide in twos and threes: a stopped process, a reload, a restart, a
//! drain, a client that disconnects, system calls that fail.
//!
//! [`judge`] checks the observations against the rules; nothing that a limiter reports counts in its favour. A
//! run is drawn from a seed ([`plan`]), and a breach names it. Real processes do not repeat exactly: the same
//! seed gives the same faults, not the same interleaving.
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
pub mod slow_peers;
