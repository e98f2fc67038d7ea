//! The configuration is read again on SIGHUP. A file that cannot be read, or makes no sense, is tried again for a while: it
//! may be half written still, or the process may be short of descriptors, and nobody sends the signal twice.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::time::Instant;

use crate::driver::Driver;

/// Which reading after a signal it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadTrigger {
    /// The one that the signal asked for.
    Signal,
    /// The one before found no good file.
    Retry,
}

/// How long after the signal it is tried again, and how often. What a new place of discovery has counts 4 s after the signal.
const PATIENCE: Duration = Duration::from_secs(30);
const EVERY: Duration = Duration::from_millis(200);

/// Reads the configuration again after each signal, for ever.
pub async fn on_hangup(driver: Rc<Driver>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        let mut until = Instant::now() + PATIENCE;
        let mut read = driver.reload(ReloadTrigger::Signal);
        while !read && Instant::now() < until {
            let trigger = tokio::select! {
                again = hangup.recv() => match again {
                    Some(()) => ReloadTrigger::Signal,
                    None => return,
                },
                () = tokio::time::sleep(EVERY) => ReloadTrigger::Retry,
            };
            if trigger == ReloadTrigger::Signal {
                until = Instant::now() + PATIENCE;
            }
            read = driver.reload(trigger);
        }
    }
}
