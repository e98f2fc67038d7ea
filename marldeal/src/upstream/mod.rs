//! What lies behind the limiter: servers and discovery.

pub mod asking;
pub mod discovery;
pub mod servers;
