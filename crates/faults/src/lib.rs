//! A ground on which real limiters fail together: processes of the built program on loopback, with nodes, discovery and
//! clients from the rehearsal's models, and faults thrown between them.
//!
//! It decides nothing for a limiter and asks none: what nodes, relays and clients see is held against the five rules
//! (`marldeal_rehearsal::rules`) and against further invariants (`marldeal_rehearsal::observe`). A plan is a scenario of the
//! rehearsal; [`ground::mistakes`] says what of one only the virtual world can play.
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
