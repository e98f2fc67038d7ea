//! Responses that a server gives before it has received the whole request, whose body is still being streamed to it.
//!
//! Such a response is not passed on before the request has come whole from its client: the rest may turn out unsound, and
//! no unsound request is answered as served. Until then the request is sent on for as long as the server takes it. If
//! the server has stopped taking it, the rest is read and discarded (RFC 9112, section 9.5, lets a server answer early and
//! close).

use std::time::Duration;

use crate::driver::AttemptJob;
use crate::payload::Payload;
use crate::upstream::write_tracker::WriteTracker;

/// A server that has answered and takes nothing of the request for this long has stopped taking it.
const STOPPED_READING_TIMEOUT: Duration = Duration::from_secs(1);
/// How often that is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the request of a job has come whole from its client. Returns at once if its body is buffered. Never returns
/// if the request turns out unsound: its front answers it then, which cancels the attempt.
pub(super) async fn wait_for_whole_request(job: &AttemptJob, tracker: &WriteTracker) {
    let Payload::Streamed(upload) = &job.content.body else { return };
    while !tracker.is_written() {
        if tracker.connection_has_ended() || upload.is_not_taken_for(STOPPED_READING_TIMEOUT) {
            upload.discard_rest().await;
            break;
        }
        let _ = tokio::time::timeout(POLL_INTERVAL, tracker.changed()).await;
    }
    never_if_unsound(job).await;
}

/// Never returns if the request of a job is known to be unsound or to have broken off. The server is not to be blamed for
/// what became of such an attempt.
pub(super) async fn never_if_unsound(job: &AttemptJob) {
    if let Payload::Streamed(upload) = &job.content.body {
        if upload.failure().is_some() {
            std::future::pending().await
        }
    }
}
