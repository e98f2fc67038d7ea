//! The fronts: they take requests from clients and proxies, and return the final answers.

mod accept_queue;
mod answer;
pub mod clients;
mod connection;
pub mod external;
pub mod head;
pub mod proxy_messages;
mod transfer;

/// Longest head of a request, and with it the size of a client connection's read buffer, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
