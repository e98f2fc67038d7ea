//! Stand-ins for the systems round marldeal, written from public specifications and the project's protocol: booking
//! nodes, the discovery agent, clients, and proxies that ask an external processor. Faults are scripted, addresses
//! are loopback, ports come from the kernel. Nothing here knows how marldeal decides.
//!
//! ```
//! use marldeal_standin::server::{Fault, Script, Server};
//!
//! // The second request to this node is answered 500; all others are served after 1 ms.
//! let script = Script { work_ms: 1, faults: vec![(1..2, Fault::Error)], ..Script::default() };
//! let server = Server::scripted(script);
//! assert!(server.addr.ip().is_loopback());
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod counter;
pub mod discovery;
pub mod message;
#[cfg(feature = "proxy")]
pub mod proxy;
pub mod server;
pub mod traffic;

use std::time::{Duration, Instant};

/// Longest that [`wait_for`] waits, and that [`message::read`] waits for an answer.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until something holds.
///
/// # Panics
/// When it does not hold within [`TIMEOUT`]; the message names `what`.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < TIMEOUT, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
