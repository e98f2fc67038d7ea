//! What clients and proxies speak to: requests come in here and final answers go out.

mod answer;
pub mod clients;
mod connection;
pub mod external;
pub mod head;
mod last;
pub mod words;
