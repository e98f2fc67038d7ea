//! Reads the configuration again on SIGHUP. If the file cannot be read or is invalid, the reload is retried for
//! a while: the file may still be half written or the process may lack descriptors, and nobody sends the signal
//! twice.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::time::Instant;

use crate::driver::Driver;

/// What caused a reload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadTrigger {
    /// A SIGHUP.
    Signal,
    /// The previous reload failed.
    Retry,
}

/// How long after the signal a failed reload is retried, and at which interval. The limiter is expected to use
/// a new discovery address from 4 s after the signal.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Reloads the configuration after each signal. Runs until the signal stream ends.
pub async fn on_hangup(driver: Rc<Driver>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        let mut deadline = Instant::now() + RETRY_TIMEOUT;
        let mut loaded = driver.reload(ReloadTrigger::Signal);
        while !loaded && Instant::now() < deadline {
            let trigger = tokio::select! {
                signal = hangup.recv() => match signal {
                    Some(()) => ReloadTrigger::Signal,
                    None => return,
                },
                () = tokio::time::sleep(RETRY_INTERVAL) => ReloadTrigger::Retry,
            };
            if trigger == ReloadTrigger::Signal {
                deadline = Instant::now() + RETRY_TIMEOUT;
            }
            loaded = driver.reload(trigger);
        }
    }
}
