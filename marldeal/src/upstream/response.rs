//! Receives the body of a server's response: buffers a short one, and streams a long or slow one to the client.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use fawnhill::{Outcome, ResponseState};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use marldeal_bodies::{Millis, ResponseBuffering};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use crate::driver::{AttemptJob, Driver};
use crate::payload::{Chunk, Payload, TRANSFER_IDLE_TIMEOUT};
use crate::upstream::early_response;
use crate::upstream::servers::{HttpUpstream, OpenSlot};
use crate::upstream::write_tracker::WriteTracker;

/// The next frame of a body: `None` at its end, an error if it breaks off.
type NextFrame = Option<hyper::Result<Frame<Bytes>>>;

/// What happened while a response is buffered.
enum Event {
    Frame(NextFrame),
    /// What has arrived has to be passed on.
    PassOn,
    /// The server no longer counts as giving the response.
    Stalled,
}

/// Receives a response's body. A short one is returned whole, a longer one is streamed to the client, as is one that its
/// server is still writing when the client's first byte is due.
#[allow(clippy::too_many_arguments)]
pub(super) async fn receive(
    upstream: &HttpUpstream,
    driver: &Rc<Driver>,
    job: &AttemptJob,
    outcome: Outcome,
    mut body: Incoming,
    tracker: &WriteTracker,
    transfer: Option<OpenSlot>,
) -> (Outcome, Option<Bytes>) {
    let declared_length = body.size_hint().exact();
    let mut buffering = ResponseBuffering::new(driver.now(), declared_length, job.content.first_byte_due);
    let mut buffered = BytesMut::new();
    let mut reported = None;
    while !buffering.is_too_long() {
        // A short response arrives with its head as a rule: its end needs no further look.
        if body.is_end_stream() {
            return end_of_response(driver, job, outcome, tracker, buffered).await;
        }
        match next_event(driver, job, outcome, &mut body, &buffering, &mut reported).await {
            Event::Frame(None) => return end_of_response(driver, job, outcome, tracker, buffered).await,
            Event::Frame(Some(Err(_))) => return (Outcome::Severed, None),
            Event::Frame(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                buffering.receive(driver.now(), data.len());
                buffered.extend_from_slice(&data);
            }
            Event::PassOn => break,
            Event::Stalled => report(driver, job, ResponseState::Stalled, &mut reported),
        }
    }
    // The body of a long error response is not used.
    if outcome != Outcome::Ok {
        return (outcome, None);
    }
    let Some(_slot) = transfer.or_else(|| upstream.reserve_transfer(driver)) else {
        driver.decline_streaming(job);
        return (Outcome::Cancelled, None);
    };
    hold_early_response(driver, job, tracker).await;
    let Some(chunks) = driver.begin_streaming(job, declared_length) else {
        return (Outcome::Cancelled, None);
    };
    stream(driver, job, buffered.freeze(), body, chunks).await
}

/// The result of a response that has arrived whole.
async fn end_of_response(
    driver: &Rc<Driver>,
    job: &AttemptJob,
    outcome: Outcome,
    tracker: &WriteTracker,
    buffered: BytesMut,
) -> (Outcome, Option<Bytes>) {
    if outcome != Outcome::Ok {
        return (outcome, None);
    }
    hold_early_response(driver, job, tracker).await;
    (outcome, Some(buffered.freeze()))
}

/// Holds a response back until its request has come whole. The request may have run from now on.
async fn hold_early_response(driver: &Rc<Driver>, job: &AttemptJob, tracker: &WriteTracker) {
    if !tracker.is_written() && matches!(job.content.body, Payload::Streamed(_)) {
        driver.response_progress(job, ResponseState::Body);
        early_response::wait_for_whole_request(job, tracker).await;
    }
}

/// Waits for the next event of a response that is buffered. If it has to wait, the decision module learns how far the
/// response has arrived.
async fn next_event(
    driver: &Rc<Driver>,
    job: &AttemptJob,
    outcome: Outcome,
    body: &mut Incoming,
    buffering: &ResponseBuffering,
    reported: &mut Option<ResponseState>,
) -> Event {
    let mut frame = pin!(body.frame());
    if let Some(frame) = poll_once(frame.as_mut()).await {
        return Event::Frame(frame);
    }
    // What the socket holds already is read first.
    tokio::task::yield_now().await;
    if let Some(frame) = poll_once(frame.as_mut()).await {
        return Event::Frame(frame);
    }
    if outcome != Outcome::Ok {
        // The body is read only so that the connection can be reused.
        return match timeout_at(Instant::from_std(driver.instant(buffering.ends_at())), frame).await {
            Ok(frame) => Event::Frame(frame),
            Err(_) => Event::PassOn,
        };
    }
    let has_stalled = driver.now() >= buffering.stalls_at();
    if !has_stalled {
        let state = if buffering.has_begun() { ResponseState::Body } else { ResponseState::Head };
        report(driver, job, state, reported);
    }
    let pass_on_at = buffering.pass_on_at().unwrap_or(f64::INFINITY);
    tokio::select! {
        biased;
        frame = frame => Event::Frame(frame),
        () = job.content.pass_on.notified() => Event::PassOn,
        () = wait_until(driver, pass_on_at) => Event::PassOn,
        () = wait_until(driver, buffering.stalls_at()), if !has_stalled => Event::Stalled,
    }
}

/// Notifies the driver of a state of the response, unless it knows.
fn report(driver: &Rc<Driver>, job: &AttemptJob, state: ResponseState, reported: &mut Option<ResponseState>) {
    if reported.replace(state) != Some(state) {
        driver.response_progress(job, state);
    }
}

/// Polls a future once: nothing if it is not ready.
async fn poll_once<F: Future>(mut future: std::pin::Pin<&mut F>) -> Option<F::Output> {
    std::future::poll_fn(|context| {
        Poll::Ready(match future.as_mut().poll(context) {
            Poll::Ready(output) => Some(output),
            Poll::Pending => None,
        })
    })
    .await
}

/// Waits until a time of the decision module's clock; for ever if that is infinite.
async fn wait_until(driver: &Driver, at: Millis) {
    match at.is_finite() {
        true => sleep_until(Instant::from_std(driver.instant(at))).await,
        false => std::future::pending().await,
    }
}

/// Streams a response to the client at the client's pace. `buffered` has arrived already.
async fn stream(
    driver: &Rc<Driver>,
    job: &AttemptJob,
    buffered: Bytes,
    mut body: Incoming,
    chunks: mpsc::Sender<Chunk>,
) -> (Outcome, Option<Bytes>) {
    let mut next = buffered;
    loop {
        if !next.is_empty()
            && !matches!(timeout(TRANSFER_IDLE_TIMEOUT, chunks.send(Chunk::Data(next))).await, Ok(Ok(())))
        {
            driver.reader_disconnected(job.id);
            return (Outcome::Cancelled, None);
        }
        next = match timeout(TRANSFER_IDLE_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) => {
                let _ = chunks.send(Chunk::End).await;
                return (Outcome::Ok, None);
            }
            // The client can tell, since its response ends early.
            Ok(Some(Err(_))) | Err(_) => return (Outcome::Severed, None),
        };
    }
}
