//! Tracks how far the request on a connection to a server has been written.

use std::cell::Cell;
use std::rc::Rc;

use fawnhill::RequestId;
use tokio::sync::Notify;

use crate::driver::AttemptJob;
use crate::payload::Progress;
use crate::socket::IoObserver;

type AttemptCallback = Box<dyn Fn(RequestId, u32)>;

/// What is called as the request on a connection makes progress, with its id and the number of its attempt.
pub(super) struct ProgressCallbacks {
    /// All of a streamed body has been received, and all but its end passed on.
    pub(super) body_received: AttemptCallback,
    /// The last byte of the request has been written.
    pub(super) written: AttemptCallback,
}

/// Tracks how far the request on a connection has been written.
pub(super) struct WriteTracker {
    callbacks: ProgressCallbacks,
    /// The request and attempt that are being written. Empty once they have been written in full.
    current: Cell<Option<(RequestId, u32)>>,
    /// The connection has taken the last byte of the request.
    body_consumed: Cell<bool>,
    /// Bytes of the request have been written to the socket.
    bytes_written: Cell<bool>,
    /// Nothing more can be written.
    connection_ended: Cell<bool>,
    /// Notified when the request has been written, or the connection has ended.
    changed: Notify,
}

impl WriteTracker {
    pub(super) fn new(callbacks: ProgressCallbacks) -> Rc<WriteTracker> {
        Rc::new(WriteTracker {
            callbacks,
            current: Cell::new(None),
            body_consumed: Cell::new(false),
            bytes_written: Cell::new(false),
            connection_ended: Cell::new(false),
            changed: Notify::new(),
        })
    }

    /// Begins to track the request of a job.
    pub(super) fn begin(&self, job: &AttemptJob) {
        self.current.set(Some((job.id, job.attempt)));
        self.body_consumed.set(false);
        self.bytes_written.set(false);
    }

    /// Handles that all of a streamed body has been received, and all but its end passed on.
    pub(super) fn body_received(&self) {
        if let Some((id, attempt)) = self.current.get() {
            (self.callbacks.body_received)(id, attempt);
        }
    }

    /// Whether the last byte of the request has been written.
    pub(super) fn is_written(&self) -> bool {
        self.current.get().is_none()
    }

    /// Handles that the connection has ended.
    pub(super) fn end_connection(&self) {
        self.connection_ended.set(true);
        self.changed.notify_one();
    }

    /// Whether the connection has ended.
    pub(super) fn connection_has_ended(&self) -> bool {
        self.connection_ended.get()
    }

    /// Completes when the request has been written, or the connection has ended.
    pub(super) async fn changed(&self) {
        self.changed.notified().await
    }
}

impl Progress for WriteTracker {
    fn body_consumed(&self) {
        self.body_consumed.set(true);
    }
}

impl IoObserver for Rc<WriteTracker> {
    fn on_written(&mut self, bytes: usize) {
        if bytes > 0 {
            self.bytes_written.set(true);
        }
    }
    fn on_flushed(&mut self) {
        if self.body_consumed.get() && self.bytes_written.get() {
            if let Some((id, attempt)) = self.current.take() {
                (self.callbacks.written)(id, attempt);
                self.changed.notify_one();
            }
        }
    }
}
