//! A soak test: real limiters as processes on loopback under overlapping troubles, judged from outside by their rules.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod shim;
