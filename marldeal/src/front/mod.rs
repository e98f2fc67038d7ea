//! What clients and proxies speak to: requests come in here and final answers go out.

mod accept_queue;
mod answer;
pub mod clients;
mod connection;
pub mod external;
pub mod head;
pub mod proxy_messages;
