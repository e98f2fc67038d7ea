//! Bodies on their way: a request's to a server, held or piped; an answer's to its client, whole or in chunks.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use marldeal_bodies::{Budget, BufferedBody, MinDataRate};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep};

/// Longest answer that is read whole before it is passed on, and longest body that counts as a small one.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Longest body of a request.
pub const MAX_REQUEST_BODY_BYTES: u64 = 64 << 20;
/// A pipe on which either side stands still for so long has broken.
pub const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a request's sender is asked for: the platform's slowest client writes 64 kB a second.
pub const MIN_UPLOAD_RATE: MinDataRate = MinDataRate { grace_ms: 2400.0, bytes_per_s: 60_000.0 };

/// A request's body.
#[derive(Debug)]
pub enum Payload {
    /// All of it is here, and may be sent again.
    Buffered {
        /// Its bytes.
        blocks: Vec<Bytes>,
        /// How many.
        length: usize,
        /// Keeps its place in the budget.
        held: Option<BufferedBody>,
    },
    /// It is still to come, and can be sent once.
    Streamed(Rc<StreamedBody>),
}

impl Payload {
    /// A whole one.
    pub fn held(mut held: BufferedBody) -> Payload {
        Payload::Buffered { blocks: held.blocks().to_vec(), length: held.len(), held: Some(held) }
    }

    /// The bytes of a small one that is here.
    pub fn small(&self) -> Option<&[u8]> {
        match self {
            Payload::Buffered { blocks, .. } if blocks.len() <= 1 => Some(blocks.first().map_or(&[], |b| b)),
            _ => None,
        }
    }
}

/// A body that is passed on as it comes.
#[derive(Debug)]
pub struct StreamedBody {
    /// What has been read of it already.
    first: RefCell<(VecDeque<Bytes>, Option<BufferedBody>)>,
    rest: RefCell<Incoming>,
    told: Option<u64>,
    began: Instant,
    came: Cell<u64>,
    /// All of it has come.
    ended: Cell<bool>,
}

impl StreamedBody {
    /// With what was held of it, and a piece that found no room.
    pub fn new(
        mut held: BufferedBody,
        piece: Bytes,
        rest: Incoming,
        told: Option<u64>,
        began: Instant,
    ) -> StreamedBody {
        let mut first: VecDeque<Bytes> = held.blocks().iter().cloned().collect();
        first.extend((!piece.is_empty()).then_some(piece));
        let came = first.iter().map(|b| b.len() as u64).sum();
        let ended = Cell::new(told == Some(came));
        StreamedBody {
            first: RefCell::new((first, Some(held))),
            rest: RefCell::new(rest),
            told,
            began,
            came: Cell::new(came),
            ended,
        }
    }

    /// The sender is waited for until then.
    fn until(&self) -> Instant {
        self.began + Duration::from_secs_f64(MIN_UPLOAD_RATE.deadline_ms(self.came.get()) / 1000.0)
    }

    fn poll_piece(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let mut first = self.first.borrow_mut();
        if let Some(piece) = first.0.pop_front() {
            return Poll::Ready(Some(Ok(piece)));
        }
        first.1 = None;
        loop {
            let frame = std::task::ready!(Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx));
            let piece = match frame {
                None => {
                    self.ended.set(true);
                    return Poll::Ready(None);
                }
                Some(Err(e)) => return Poll::Ready(Some(Err(io::Error::other(e)))),
                // Trailers end here.
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if !piece.is_empty() {
                self.came.set(self.came.get() + piece.len() as u64);
                // One whose length was not told: what has gone cannot be called back, the rest need not follow.
                if self.came.get() > MAX_REQUEST_BODY_BYTES {
                    return Poll::Ready(Some(Err(io::Error::other("the body is too long"))));
                }
                self.ended.set(self.told == Some(self.came.get()));
                return Poll::Ready(Some(Ok(piece)));
            }
        }
    }

    /// Reads off what is remaining, at the sender's pace, so that it sees its answer; false if it does not come.
    pub async fn discard_rest(&self) -> bool {
        while !self.ended.get() {
            let piece = std::future::poll_fn(|cx| self.poll_piece(cx));
            match tokio::time::timeout_at(self.until(), piece).await {
                Ok(Some(Ok(_))) => {}
                Ok(None) => return true,
                Ok(Some(Err(_))) | Err(_) => return false,
            }
        }
        true
    }
}

/// How far a message on a connection has gone.
pub trait Progress {
    /// The connection has taken its last byte in.
    fn body_consumed(&self);
}

/// A body that tells its progress when its last byte has been taken.
pub struct TrackedBody<B, P> {
    body: B,
    progress: Rc<P>,
}

impl<B: Body, P: Progress> TrackedBody<B, P> {
    /// Of a body; an empty one has been taken from the start, for the connection never asks it.
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
    /// Of a held payload: blocks, and bytes that are remaining.
    Buffered(std::vec::IntoIter<Bytes>, u64),
    /// Of a piped one, and when its sender is late.
    Streamed(Rc<StreamedBody>, Pin<Box<Sleep>>),
}

impl OutgoingBody {
    /// Of a payload.
    pub fn new(payload: &Payload) -> OutgoingBody {
        match payload {
            Payload::Buffered { blocks, length, .. } => {
                OutgoingBody::Buffered(blocks.clone().into_iter(), *length as u64)
            }
            Payload::Streamed(pipe) => {
                OutgoingBody::Streamed(pipe.clone(), Box::pin(tokio::time::sleep_until(pipe.until())))
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
            OutgoingBody::Streamed(pipe, late) => match pipe.poll_piece(cx) {
                Poll::Ready(piece) => {
                    late.as_mut().reset(pipe.until());
                    Poll::Ready(piece.map(|p| p.map(Frame::data)))
                }
                Poll::Pending => late.as_mut().poll(cx).map(|()| Some(Err(io::ErrorKind::TimedOut.into()))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Buffered(_, remaining) => *remaining == 0,
            OutgoingBody::Streamed(pipe, _) => pipe.ended.get() && pipe.first.borrow().0.is_empty(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let remaining = match self {
            OutgoingBody::Buffered(_, remaining) => Some(*remaining),
            // As the connection has not taken any of it yet when it asks.
            OutgoingBody::Streamed(pipe, _) => pipe.told,
        };
        remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A part of an answer that is passed on as it comes. Without [`Chunk::End`] it was broken off.
#[derive(Debug)]
pub enum Chunk {
    /// More of it.
    Data(Bytes),
    /// That was all.
    End,
}

/// An answer's body on its way to a client.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it is here.
    Buffered(Bytes),
    /// It comes as its reader takes it.
    Streamed {
        /// Its chunks.
        chunks: mpsc::Receiver<Chunk>,
        /// Bytes that are still to come, where they were told.
        remaining: Option<u64>,
        /// There are no more.
        ended: bool,
    },
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
                        *remaining = remaining.map(|l| l.saturating_sub(bytes.len() as u64));
                        Poll::Ready(Some(Ok(Frame::data(bytes))))
                    }
                    Some(Chunk::End) => {
                        *ended = true;
                        Poll::Ready(None)
                    }
                    // The reader must be able to tell: the connection ends in the middle.
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

/// Reads a request's body into memory as far as there is room; what finds none is to be piped.
///
/// # Errors
/// It did not come, or not at the pace that is asked for.
pub async fn receive(mut body: Incoming, budget: &Rc<Budget>) -> Result<Payload, ReceiveError> {
    let began = Instant::now();
    let told = body.size_hint().exact();
    let mut held = BufferedBody::new(budget, told.and_then(|told| usize::try_from(told).ok()));
    if body.is_end_stream() {
        return Ok(Payload::held(held));
    }
    if told.is_some_and(|told| told > MAX_REQUEST_BODY_BYTES) {
        return Err(ReceiveError::TooLarge(body));
    }
    loop {
        let until = began + Duration::from_secs_f64(MIN_UPLOAD_RATE.deadline_ms(held.len() as u64) / 1000.0);
        let piece = match tokio::time::timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(Payload::held(held)),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Err(ReceiveError::Incomplete),
            Err(_) => return Err(ReceiveError::TimedOut),
        };
        if !held.push(&piece) {
            return Ok(Payload::Streamed(Rc::new(StreamedBody::new(held, piece, body, told, began))));
        }
    }
}

/// Why a body was not taken in.
#[derive(Debug)]
pub enum ReceiveError {
    /// It says that it is longer than any may be.
    TooLarge(Incoming),
    /// It did not come whole.
    Incomplete,
    /// It came too slowly.
    TimedOut,
}
