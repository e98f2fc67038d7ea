//! Connections to servers, and discovery of the list of servers.

pub mod discovery;
mod early_response;
pub mod framing;
pub mod registry_backoff;
mod response;
pub mod servers;
pub mod watch_controller;
mod write_tracker;
