//! Request and response bodies in transit: a request's body to a server, buffered or streamed, and a response's
//! body to a client, buffered or in chunks.

mod streamed_body;

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use marldeal_bodies::{Budget, BufferedBody, MinDataRate, ProgressClock};
use tokio::sync::mpsc;
use tokio::time::Instant;

pub use streamed_body::{BodyFailure, StreamedBody};

/// Largest request body.
pub const MAX_REQUEST_BODY_BYTES: u64 = 64 << 20;
/// A transfer on which either side makes no progress for this long is broken off.
pub const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The rate at which a client has to send a request's body. The platform's slowest client writes 64 kB/s.
pub const MIN_UPLOAD_RATE: MinDataRate = MinDataRate { grace_ms: 2400.0, bytes_per_s: 60_000.0 };

/// A request's body.
#[derive(Debug)]
pub enum Payload {
    /// The body has been received in full and may be sent more than once.
    Buffered {
        /// The bytes of the body.
        blocks: Vec<Bytes>,
        /// Length in bytes.
        length: usize,
        /// Keeps the bytes accounted for in the memory budget.
        reservation: Option<BufferedBody>,
    },
    /// The body is still being received and can be sent only once.
    Streamed(Rc<StreamedBody>),
}

impl Payload {
    /// A body that has been received in full.
    pub fn buffered(mut buffered: BufferedBody) -> Payload {
        Payload::Buffered {
            blocks: buffered.blocks().to_vec(),
            length: buffered.len(),
            reservation: Some(buffered),
        }
    }

    /// The bytes, if the body is buffered in at most one block.
    pub fn small(&self) -> Option<&[u8]> {
        match self {
            Payload::Buffered { blocks, .. } if blocks.len() <= 1 => Some(blocks.first().map_or(&[], |b| b)),
            _ => None,
        }
    }
}

/// Tracks how far a message has been written to a connection.
pub trait Progress {
    /// The connection has taken the last byte of the body.
    fn body_consumed(&self);
}

/// A body that reports when its last byte has been taken.
pub struct TrackedBody<B, P> {
    body: B,
    progress: Rc<P>,
}

impl<B: Body, P: Progress> TrackedBody<B, P> {
    /// Wraps a body. An empty body is reported at once, since the connection never polls it.
    pub fn new(body: B, progress: Rc<P>) -> TrackedBody<B, P> {
        if body.is_end_stream() {
            progress.body_consumed();
        }
        TrackedBody { body, progress }
    }
}

impl<B: Body + Unpin, P: Progress> Body for TrackedBody<B, P> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) || self.body.is_end_stream() {
            self.progress.body_consumed();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request's body on its way to a server.
pub enum OutgoingBody {
    /// The blocks of a buffered body, and the number of bytes not taken yet.
    Buffered(std::vec::IntoIter<Bytes>, u64),
    /// A streamed body.
    Streamed(Upload),
}

/// A streamed body on its way to a server.
pub struct Upload {
    body: Rc<StreamedBody>,
    /// Called when all of the body has been received, and all but its end passed on.
    on_received: Box<dyn Fn()>,
}

impl Upload {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let mut chunk = self.body.poll_chunk(cx);
        if self.body.end_is_withheld() {
            (self.on_received)();
            chunk = self.body.poll_chunk(cx);
        }
        chunk.map(|chunk| chunk.map(|frame| frame.map(Frame::data)))
    }
}

impl OutgoingBody {
    /// The body to send for a payload. `on_received` is called when all of a streamed body has been received, and all
    /// but its end passed on; the end waits for [`StreamedBody::allow_end`].
    pub fn new(payload: &Payload, on_received: impl Fn() + 'static) -> OutgoingBody {
        match payload {
            Payload::Buffered { blocks, length, .. } => {
                OutgoingBody::Buffered(blocks.clone().into_iter(), *length as u64)
            }
            Payload::Streamed(body) => {
                OutgoingBody::Streamed(Upload { body: body.clone(), on_received: Box::new(on_received) })
            }
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            OutgoingBody::Buffered(blocks, remaining) => {
                let block = blocks.next();
                *remaining -= block.as_ref().map_or(0, |b| b.len() as u64);
                Poll::Ready(block.map(|b| Ok(Frame::data(b))))
            }
            OutgoingBody::Streamed(upload) => upload.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Buffered(_, remaining) => *remaining == 0,
            OutgoingBody::Streamed(upload) => upload.body.is_exhausted(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let remaining = match self {
            OutgoingBody::Buffered(_, remaining) => Some(*remaining),
            // The connection asks before it has taken any of the body.
            OutgoingBody::Streamed(upload) => upload.body.declared_length(),
        };
        remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A part of a streamed response. If the channel ends without [`Chunk::End`], the response was cut off.
#[derive(Debug)]
pub enum Chunk {
    /// More bytes of the body.
    Data(Bytes),
    /// The end of the body.
    End,
}

/// A response's body on its way to a client.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body.
    Buffered(Bytes),
    /// The body is passed on at the rate at which the client reads it.
    Streamed {
        /// The chunks of the body.
        chunks: mpsc::Receiver<Chunk>,
        /// Bytes that are still to come, if the length is known.
        remaining: Option<u64>,
        /// The last chunk has been received.
        ended: bool,
    },
}

impl ResponseBody {
    /// Whether the body is passed on while a server sends it.
    pub fn is_streamed(&self) -> bool {
        matches!(self, ResponseBody::Streamed { .. })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            ResponseBody::Streamed { ended: true, .. } => Poll::Ready(None),
            ResponseBody::Streamed { chunks, remaining, ended } => {
                match std::task::ready!(chunks.poll_recv(cx)) {
                    Some(Chunk::Data(bytes)) => {
                        *remaining =
                            remaining.map(|bytes_left| bytes_left.saturating_sub(bytes.len() as u64));
                        Poll::Ready(Some(Ok(Frame::data(bytes))))
                    }
                    Some(Chunk::End) => {
                        *ended = true;
                        Poll::Ready(None)
                    }
                    // The client has to notice the truncation, so the connection ends within the body.
                    None => Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_empty(),
            ResponseBody::Streamed { remaining, ended, .. } => *ended || *remaining == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Streamed { remaining: Some(remaining), .. } => SizeHint::with_exact(*remaining),
            ResponseBody::Streamed { .. } => SizeHint::default(),
        }
    }
}

/// Reads a request's body into memory as far as the budget allows. A body that does not fit is streamed.
///
/// # Errors
/// The body is too large, incomplete, or was sent more slowly than [`MIN_UPLOAD_RATE`].
pub async fn receive(mut body: Incoming, budget: &Rc<Budget>) -> Result<Payload, ReceiveError> {
    let started = Instant::now();
    let mut clock = ProgressClock::new(MIN_UPLOAD_RATE, 0.0);
    let declared_length = body.size_hint().exact();
    let mut buffered = BufferedBody::new(
        budget,
        declared_length.and_then(|declared_length| usize::try_from(declared_length).ok()),
    );
    if body.is_end_stream() {
        return Ok(Payload::buffered(buffered));
    }
    if declared_length.is_some_and(|declared_length| declared_length > MAX_REQUEST_BODY_BYTES) {
        return Err(ReceiveError::TooLarge(body));
    }
    loop {
        let expires_at = clock.expires_at().unwrap_or_default();
        let deadline = started + Duration::from_secs_f64(expires_at.max(0.0) / 1000.0);
        let chunk = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(None) => return Ok(Payload::buffered(buffered)),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Err(ReceiveError::Failed(BodyFailure::Incomplete)),
            Err(_) => return Err(ReceiveError::Failed(BodyFailure::TimedOut)),
        };
        clock.received(started.elapsed().as_secs_f64() * 1000.0, chunk.len() as u64);
        if !buffered.push(&chunk) {
            return Ok(Payload::Streamed(Rc::new(StreamedBody::new(buffered, chunk, body, declared_length))));
        }
    }
}

/// Why a request's body was not received.
#[derive(Debug)]
pub enum ReceiveError {
    /// The declared length exceeds [`MAX_REQUEST_BODY_BYTES`].
    TooLarge(Incoming),
    /// The body will never be whole.
    Failed(BodyFailure),
}
