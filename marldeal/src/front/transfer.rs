//! The transfer on a client connection, an upload or an answer, as far as it is measured and may be ended.

use std::cell::Cell;

use marldeal_lifecycle::transfers::{Direction, Transfer, TransferMeter};
use tokio::sync::Notify;

/// The transfer on a client connection.
#[derive(Default)]
pub(super) struct ClientTransfer {
    direction: Cell<Option<Direction>>,
    /// Since the transfer was first looked at.
    meter: Cell<Option<TransferMeter>>,
    uses_server: Cell<bool>,
    bytes_read: Cell<u64>,
    bytes_written: Cell<u64>,
    is_refused: Cell<bool>,
    refused: Notify,
}

impl ClientTransfer {
    /// Begins a transfer. `uses_server`: it holds a connection to a server.
    pub(super) fn begin(&self, direction: Direction, uses_server: bool) {
        self.end();
        self.direction.set(Some(direction));
        self.uses_server.set(uses_server);
    }

    /// The upload holds a connection to a server from now on.
    pub(super) fn begin_streaming(&self) {
        self.uses_server.set(true);
    }

    /// Handles that the transfer is complete or has broken off.
    pub(super) fn end(&self) {
        self.direction.set(None);
        self.meter.set(None);
        self.is_refused.set(false);
    }

    pub(super) fn on_read(&self, bytes: usize) {
        self.bytes_read.set(self.bytes_read.get() + bytes as u64);
    }

    pub(super) fn on_written(&self, bytes: usize) {
        self.bytes_written.set(self.bytes_written.get() + bytes as u64);
    }

    /// Measures the transfer; `None` if there is none.
    pub(super) fn observe(&self, now: f64) -> Option<Transfer> {
        let direction = self.direction.get().filter(|_| !self.is_refused.get())?;
        let bytes = match direction {
            Direction::Upload => self.bytes_read.get(),
            Direction::Download => self.bytes_written.get(),
        };
        let mut meter = self.meter.get().unwrap_or_else(|| TransferMeter::new(now, bytes));
        meter.sample(now, bytes);
        self.meter.set(Some(meter));
        Some(meter.transfer(now, direction, self.uses_server.get()))
    }

    /// Refuses the upload that is under way.
    pub(super) fn refuse(&self) {
        self.is_refused.set(true);
        self.refused.notify_one();
    }

    /// Completes when the upload is refused.
    pub(super) async fn wait_for_refusal(&self) {
        while !self.is_refused.get() {
            self.refused.notified().await;
        }
    }
}
