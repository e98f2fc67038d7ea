//! The sub-commands of the program, one file each.

pub mod demo;
pub mod faults;
pub mod rehearse;
mod scenarios;
