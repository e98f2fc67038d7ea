//! What limiters say to one another.

pub mod peers;
