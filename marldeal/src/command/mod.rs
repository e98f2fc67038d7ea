//! The subcommands of the program, one module each.

pub mod capacity;
pub mod demo;
pub mod faults;
pub mod rehearse;
pub mod scale;
mod scenarios;
mod slow_start;
