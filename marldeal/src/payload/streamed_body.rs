//! A request's body that is passed on to a server while its client sends it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use marldeal_bodies::{BufferedBody, Millis, ProgressClock};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{MAX_REQUEST_BODY_BYTES, MIN_UPLOAD_RATE, TRANSFER_IDLE_TIMEOUT};
use crate::front::MAX_HEAD_BYTES;

/// Most bytes of a body that the HTTP server may hold between the socket and this body: a full read buffer, and a
/// chunk that has not been fetched.
const MAX_BYTES_IN_TRANSIT: u64 = 2 * MAX_HEAD_BYTES as u64;

/// A request body that is passed on while it is received.
#[derive(Debug)]
pub struct StreamedBody {
    /// The chunks read before streaming began, and their share of the memory budget.
    prefix: RefCell<(VecDeque<Bytes>, Option<BufferedBody>)>,
    rest: RefCell<Incoming>,
    declared_length: Option<u64>,
    /// The progress of the client, in milliseconds since `clock_origin`. It runs while more of the body is awaited.
    clock: Cell<ProgressClock>,
    clock_origin: Instant,
    received: Cell<u64>,
    /// The body has been received in full.
    ended: Cell<bool>,
    /// More of the body was asked for, and the client had not sent it.
    awaits_client: Cell<bool>,
    /// When a chunk was last passed on.
    passed_on_at: Cell<Instant>,
    /// The end of the body, received and not allowed yet.
    withheld: RefCell<Option<WithheldEnd>>,
    /// The end of the body may be passed on.
    end_allowed: Cell<bool>,
    /// Nothing more of the body is passed on: the rest is discarded.
    discarding: Cell<bool>,
    /// Why the body will never be whole.
    failure: Cell<Option<BodyFailure>>,
    /// Notified when the body has failed.
    failed: Notify,
}

/// Why a body that is passed on while it is received will never be whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFailure {
    /// Its framing is unsound, or its connection ended within it.
    Incomplete,
    /// It is longer than [`MAX_REQUEST_BODY_BYTES`].
    TooLarge,
    /// Its client has stopped sending, or sends too slowly.
    TimedOut,
}

/// A clock that starts when the client is first waited for.
fn paused_clock() -> ProgressClock {
    let mut clock = ProgressClock::new(MIN_UPLOAD_RATE, 0.0);
    clock.pause(0.0);
    clock
}

impl From<BodyFailure> for io::Error {
    fn from(failure: BodyFailure) -> io::Error {
        match failure {
            BodyFailure::Incomplete => io::ErrorKind::UnexpectedEof.into(),
            BodyFailure::TooLarge => io::Error::other("the request body is too large"),
            BodyFailure::TimedOut => io::ErrorKind::TimedOut.into(),
        }
    }
}

/// The end of a body: without it no server has received the body whole.
#[derive(Debug)]
struct WithheldEnd {
    /// The last chunk, or nothing at the end of a body without a declared length.
    chunk: Option<Bytes>,
    /// Of the task that passes the body on.
    waker: Waker,
}

impl StreamedBody {
    /// Continues a body of which `buffered` has been read, and `chunk` did not fit into the memory budget.
    pub fn new(
        mut buffered: BufferedBody,
        chunk: Bytes,
        rest: Incoming,
        declared_length: Option<u64>,
    ) -> StreamedBody {
        let mut prefix: VecDeque<Bytes> = buffered.blocks().iter().cloned().collect();
        prefix.extend((!chunk.is_empty()).then_some(chunk));
        let received = prefix.iter().map(|b| b.len() as u64).sum();
        let ended = Cell::new(declared_length == Some(received));
        StreamedBody {
            prefix: RefCell::new((prefix, Some(buffered))),
            rest: RefCell::new(rest),
            declared_length,
            clock: Cell::new(paused_clock()),
            clock_origin: Instant::now(),
            received: Cell::new(received),
            ended,
            awaits_client: Cell::new(false),
            passed_on_at: Cell::new(Instant::now()),
            withheld: RefCell::default(),
            end_allowed: Cell::new(false),
            discarding: Cell::new(false),
            failure: Cell::new(None),
            failed: Notify::new(),
        }
    }

    /// Whether all of the body has been received.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Why the body will never be whole, if that is known.
    pub fn failure(&self) -> Option<BodyFailure> {
        self.failure.get()
    }

    /// Completes when it is known that the body will never be whole.
    pub async fn wait_for_failure(&self) -> BodyFailure {
        loop {
            if let Some(failure) = self.failure.get() {
                return failure;
            }
            self.failed.notified().await;
        }
    }

    /// Records that the body will never be whole; the first reason stands.
    pub(super) fn fail(&self, failure: BodyFailure) -> io::Error {
        let failure = self.failure.get().unwrap_or(failure);
        self.failure.set(Some(failure));
        self.failed.notify_one();
        failure.into()
    }

    /// Whether the server has taken nothing of the body for this long, though more of it has arrived.
    pub fn is_not_taken_for(&self, duration: Duration) -> bool {
        let waits = self.awaits_client.get() || self.end_is_withheld();
        !waits && self.passed_on_at.get().elapsed() >= duration
    }

    /// The length that the client has declared, in bytes.
    pub fn declared_length(&self) -> Option<u64> {
        self.declared_length
    }

    /// Whether all of the body has been received and passed on.
    pub fn is_exhausted(&self) -> bool {
        self.ended.get() && self.prefix.borrow().0.is_empty() && !self.end_is_withheld()
    }

    /// Whether all of the body has been received, and its end waits for [`StreamedBody::allow_end`].
    pub(super) fn end_is_withheld(&self) -> bool {
        self.withheld.borrow().is_some()
    }

    /// Lets the end of the body be passed on.
    pub fn allow_end(&self) {
        self.end_allowed.set(true);
        if let Some(end) = &*self.withheld.borrow() {
            end.waker.wake_by_ref();
        }
    }

    /// Whether the client is known to have more of the body to send, while the server takes what arrives. `unread` is
    /// the number of bytes that the client's socket holds, if that is known.
    ///
    /// A server that takes nothing leaves the client's last bytes unread, so that their arrival cannot be told from
    /// what was received. Then only a declared length shows that more is to come.
    pub fn is_arriving(&self, unread: Option<u64>) -> bool {
        if self.ended.get() {
            return false;
        }
        if self.awaits_client.get() {
            return true;
        }
        let arrived_at_most = unread.map(|unread| self.received.get() + MAX_BYTES_IN_TRANSIT + unread);
        let more_to_come =
            arrived_at_most.zip(self.declared_length).is_some_and(|(arrived, length)| arrived < length);
        more_to_come && self.passed_on_at.get().elapsed() < TRANSFER_IDLE_TIMEOUT
    }

    /// When the client has to have sent more of the body; `None` while it is held back.
    pub(super) fn receive_deadline(&self) -> Option<Instant> {
        let expires_at = self.clock.get().expires_at()?;
        Some(self.clock_origin + Duration::from_secs_f64(expires_at.max(0.0) / 1000.0))
    }

    /// Gives the body up if the client has made no progress in time, although it was not held back. `unread` is the
    /// number of bytes that the client's socket holds, if that is known.
    pub fn check_progress(&self, unread: Option<u64>) {
        if self.ended.get() || self.end_is_withheld() {
            return;
        }
        // Bytes that are unread have arrived, though the process may not have run since.
        let nothing_unread = unread.is_none_or(|bytes| bytes == 0);
        let is_awaited = nothing_unread && (self.awaits_client.get() || self.lacks_more_than_is_in_transit());
        self.update_clock(|clock, now| if is_awaited { clock.resume(now) } else { clock.pause(now) });
        if self.receive_deadline().is_some_and(|deadline| deadline <= Instant::now()) {
            self.fail(BodyFailure::TimedOut);
        }
    }

    /// Whether the client has more to send than this process may hold unread.
    fn lacks_more_than_is_in_transit(&self) -> bool {
        let arrived_at_most = self.received.get() + MAX_BYTES_IN_TRANSIT;
        self.declared_length.is_some_and(|length| arrived_at_most < length)
    }

    fn update_clock(&self, update: impl FnOnce(&mut ProgressClock, Millis)) {
        let mut clock = self.clock.get();
        update(&mut clock, self.clock_origin.elapsed().as_secs_f64() * 1000.0);
        self.clock.set(clock);
    }

    /// Returns the next chunk, or nothing at the end of the body. The last of them is withheld until it is allowed.
    pub(super) fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(failure) = self.failure.get() {
            return Poll::Ready(Some(Err(failure.into())));
        }
        // What the server has of the body must not look like all of it.
        if self.discarding.get() {
            return Poll::Pending;
        }
        let received = match self.withheld.take() {
            Some(end) => Poll::Ready(end.chunk.map(Ok)),
            None => self.poll_next(cx),
        };
        let chunk = self.withhold_end(received, cx);
        self.awaits_client.set(chunk.is_pending() && !self.end_is_withheld());
        if chunk.is_ready() {
            self.passed_on_at.set(Instant::now());
        }
        chunk
    }

    fn withhold_end(
        &self,
        received: Poll<Option<io::Result<Bytes>>>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Bytes>>> {
        let chunk = match received {
            Poll::Ready(None) => None,
            Poll::Ready(Some(Ok(chunk))) if self.is_exhausted() => Some(chunk),
            other => return other,
        };
        if self.end_allowed.get() {
            return Poll::Ready(chunk.map(Ok));
        }
        let waker = cx.waker().clone();
        self.withheld.replace(Some(WithheldEnd { chunk, waker }));
        Poll::Pending
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut prefix = self.prefix.borrow_mut();
        if let Some(chunk) = prefix.0.pop_front() {
            return Poll::Ready(Some(Ok(chunk)));
        }
        prefix.1 = None;
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx) else {
                self.update_clock(ProgressClock::resume);
                return Poll::Pending;
            };
            let chunk = match frame {
                None => {
                    self.ended.set(true);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.fail(BodyFailure::Incomplete)))),
                // Trailers are not passed on.
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if !chunk.is_empty() {
                self.received.set(self.received.get() + chunk.len() as u64);
                self.update_clock(|clock, now| {
                    clock.received(now, chunk.len() as u64);
                    clock.pause(now);
                });
                // Reached only if no length was declared. What has been sent cannot be recalled, but the rest
                // is not sent.
                if self.received.get() > MAX_REQUEST_BODY_BYTES {
                    return Poll::Ready(Some(Err(self.fail(BodyFailure::TooLarge))));
                }
                self.ended.set(self.declared_length == Some(self.received.get()));
                return Poll::Ready(Some(Ok(chunk)));
            }
        }
    }

    /// Reads and discards the rest of the body at the client's rate, so that the client reads its answer.
    /// Returns false if the rest is not received in time.
    pub async fn discard_rest(&self) -> bool {
        self.discarding.set(true);
        while !self.ended.get() {
            if self.failure.get().is_some() {
                return false;
            }
            self.update_clock(ProgressClock::resume);
            let deadline = self.receive_deadline().unwrap_or_else(Instant::now);
            let chunk = std::future::poll_fn(|cx| self.poll_next(cx));
            match tokio::time::timeout_at(deadline, chunk).await {
                Ok(Some(Ok(_))) => {}
                Ok(None) => return true,
                Ok(Some(Err(_))) => return false,
                Err(_) => {
                    self.fail(BodyFailure::TimedOut);
                    return false;
                }
            }
        }
        true
    }
}
