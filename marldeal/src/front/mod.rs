//! The fronts: they take requests from clients and proxies, and return the final answers.

mod accept_queue;
mod answer;
pub mod clients;
mod connection;
pub mod external;
pub mod head;
pub mod proxy_messages;
