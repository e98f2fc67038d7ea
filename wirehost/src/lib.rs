//! The settings and messages that the operators write, in the module's terms. The real limiter reads the same
//! settings from its configuration.
#![forbid(unsafe_code)]

pub mod wire;
