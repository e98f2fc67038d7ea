//! Reads the backlog after a stall of the process: until that is done, data may be as old as the stall.

use std::rc::Rc;

use super::Driver;

/// Turns of the event loop after a stall, until everything that had arrived by its end has been read. A turn accepts 128
/// connections and takes up 1024 readable sockets at most.
const BACKLOG_TURNS: usize = 16;

impl Driver {
    /// After a stall, starts a task that reports when everything that arrived meanwhile has been read.
    pub(super) fn track_backlog(self: &Rc<Self>) {
        let backlog = self.stall_detector.borrow_mut().backlog_since(self.now());
        let Some(stall_end) = backlog else { return };
        if self.backlog_tracked.replace(stall_end) == stall_end {
            return;
        }
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..BACKLOG_TURNS {
                tokio::task::yield_now().await;
            }
            driver.stall_detector.borrow_mut().backlog_read(driver.now(), stall_end);
        });
    }
}
