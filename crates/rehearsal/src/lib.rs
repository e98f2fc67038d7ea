//! Incidents rehearsed on one machine: real limiters in a virtual world of nodes, network, clients and faults.
//!
//! This crate opens no socket, reads no clock and decides nothing for a limiter. [`scenario::Scenario`] says what is
//! rehearsed, [`world::World`] plays it under one seed with the real engine and decision module, [`rules::Oracle`] holds
//! every send and answer against the five rules, and [`figures::Figures`] are the service as the brief counts it. The
//! same scenario and seed give the same figures, byte for byte.
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
pub mod trials;
pub mod world;
