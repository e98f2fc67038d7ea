//! What the limiter is told: configuration, extensions, the list of servers, and what is wrong in them.

pub mod config;
pub mod errors;
pub mod extensions;
pub mod server_list;
