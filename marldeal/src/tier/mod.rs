//! Messages between limiters.

pub mod peers;
