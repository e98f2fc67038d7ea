//! Stand-ins for the systems around marldeal, for tests and demos: back-end servers, the discovery agent, the shared
//! counter, clients, and proxies that ask an external processor.
//!
//! They implement public specifications and the project's protocol, and do not depend on how marldeal decides. Faults
//! are scripted, addresses are loopback addresses, and the kernel chooses
//! the ports of what listens at once.
//!
//! ```
//! use marldeal_standin::server::{Fault, Script, Server};
//!
//! // The second request to this server is answered with 500; all others are served after 1 ms.
//! let script = Script { work_ms: 1, faults: vec![(1..2, Fault::Error)], ..Script::default() };
//! let server = Server::scripted(script);
//! assert!(server.addr.ip().is_loopback());
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod addresses;
pub mod client;
pub mod counter;
pub mod discovery;
pub mod message;
#[cfg(feature = "proxy")]
pub mod proxy;
pub mod server;
pub mod traffic;

use std::time::{Duration, Instant};

/// Maximum time that [`wait_for`] waits for a condition, and [`message::read_answer`] for an answer.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
///
/// # Panics
/// If the condition does not hold within [`TIMEOUT`]; the message names `what`.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
