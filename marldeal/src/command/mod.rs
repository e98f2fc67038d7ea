//! The sub-commands of the program, one file each.

pub mod capacity;
pub mod demo;
pub mod faults;
pub mod rehearse;
pub mod scale;
mod scenarios;
