//! A test environment in which real limiters fail together: processes of the built program on loopback, with
//! servers, discovery and clients from the simulation's models, and faults between them.
//!
//! It decides nothing for a limiter and asks none: what servers, proxies and clients see is held against the
//! five rules (`marldeal_rehearsal::rules`) and against further invariants (`marldeal_rehearsal::observe`). A
//! plan is a scenario of the simulation; [`environment::unsupported`] says which parts of one only the
//! simulation can run.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod datagrams;
pub mod environment;
pub mod figures;
pub mod plans;
pub mod processes;
pub mod resources;
pub mod streams;
mod tasks;
