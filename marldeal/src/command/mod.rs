//! The sub-commands of the program, one file each.

pub mod children;
pub mod demo;
pub mod on_sockets;
pub mod rehearse;
