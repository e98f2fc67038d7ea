//! Settings: the configuration, extensions, the server list, and errors in them.

pub mod config;
pub mod errors;
pub mod extensions;
pub mod server_list;
