//! What lies behind the limiter: servers and discovery.

pub mod asking;
pub mod discovery;
pub mod framing;
pub mod resumption;
pub mod servers;
