//! Adapter between a simulator's JSON lines and the decision module: the message and settings types, and their
//! translation into the module's types. The limiter process reads the same settings from its configuration file.
#![forbid(unsafe_code)]

pub mod wire;
