//! What clients and proxies speak to: requests come in here and final answers go out.

pub mod clients;
pub mod external;
pub mod head;
mod last;
pub mod words;
