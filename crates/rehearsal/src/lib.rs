//! Simulation of incidents on one machine: real limiters in a virtual world of servers, network, clients and faults.
//!
//! This crate opens no socket, reads no clock and decides nothing for a limiter. A [`scenario::Scenario`] describes
//! what is simulated. [`world::World`] runs it under a seed with the real engine and decision module.
//! [`rules::Oracle`] checks every attempt and answer against the five rules, and [`figures::Figures`] hold the
//! measured service. The same scenario and seed give the same figures, byte for byte.
//!
//! ```
//! use marldeal_rehearsal::{scenario::Scenario, world::World};
//!
//! let text = "seconds = 5\n[[timeline]]\nwhat = \"stall\"\nnodes = [0]\nat_s = 2\nfor_s = 2";
//! let scenario = Scenario::read(text).expect("a good scenario");
//! let run = World::new(&scenario, 7)?.play(|_| {});
//! assert_eq!(run.figures.broken_count, 0);
//! assert!(run.figures.ends.asked > 0);
//! # Ok::<(), String>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod account;
pub mod causes;
pub mod clients;
pub mod draws;
pub mod figures;
pub mod library;
pub mod network;
pub mod observe;
pub mod planner;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod search;
pub mod server_model;
pub mod shrink;
pub mod size;
pub mod slow_start;
pub mod trials;
pub mod world;
