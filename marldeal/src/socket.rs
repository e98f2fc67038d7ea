//! A stream that reports reads and writes to an observer, a socket that can be inspected while another task owns it,
//! and a stream that is read and written until it would block.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of a bounded send buffer, of which the kernel allocates twice as much. A reader at 64 kB/s shows progress every
/// two seconds.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Receives the events of an [`ObservedStream`].
pub trait IoObserver: Unpin {
    /// A read was attempted and returned this many bytes. An error ends the connection.
    fn on_read(&mut self, _: &mut Context<'_>, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
    /// This many bytes were written.
    fn on_written(&mut self, _bytes: usize) {}
    /// All pending bytes have been written.
    fn on_flushed(&mut self) {}
}

/// What a socket holds unread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Nothing, and the remote side may still send.
    Nothing,
    /// At least one byte.
    Bytes,
    /// Nothing, and nothing more will arrive: the remote side has closed or reset the connection.
    Closed,
}

/// A socket that other tasks can inspect while its owner reads and writes it, until it is taken out.
#[derive(Debug, Clone)]
pub struct SharedSocket(Rc<RefCell<Option<DrainingStream>>>);

impl SharedSocket {
    /// Shares a socket.
    pub fn new(stream: TcpStream) -> SharedSocket {
        SharedSocket(Rc::new(RefCell::new(Some(DrainingStream::new(stream)))))
    }

    /// Asks the kernel what is unread at this moment, whether or not the event loop has been notified. Costs
    /// one system call.
    pub fn unread(&self) -> Unread {
        let stream = self.0.borrow();
        let Some(DrainingStream { stream, .. }) = &*stream else { return Unread::Closed };
        loop {
            return match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
                Ok(0) => Unread::Closed,
                Ok(_) => Unread::Bytes,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
                Err(_) => Unread::Closed,
            };
        }
    }

    /// Asks the kernel how many bytes are unread at this moment. Returns nothing if the connection has ended or the
    /// kernel does not tell. Costs one system call.
    pub fn unread_bytes(&self) -> Option<u64> {
        let stream = self.0.borrow();
        rustix::io::ioctl_fionread(&stream.as_ref()?.stream).ok()
    }

    /// Asks the kernel whether the remote side has closed or reset the connection, or has stopped sending, even if
    /// bytes that it sent before are still unread, and whether or not the event loop has been notified. Costs one
    /// system call.
    pub fn remote_closed(&self) -> bool {
        let stream = self.0.borrow();
        let Some(DrainingStream { stream, .. }) = &*stream else { return true };
        let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
        loop {
            match poll(&mut polled, Some(&Timespec::default())) {
                Ok(ready) => return ready > 0,
                Err(Errno::INTR) => {}
                Err(_) => return true,
            }
        }
    }

    /// Bounds what the kernel holds of bytes that the remote side has not taken, so that its progress shows here. Without
    /// that a slow reader of a long answer looks for many seconds as if it had stopped.
    pub fn bound_send_buffer(&self) {
        if let Some(DrainingStream { stream, .. }) = &*self.0.borrow() {
            // Where the system refuses, progress shows later.
            let _ = SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        }
    }

    /// When a read last found nothing unread and no close, which proves that the remote side was connected then.
    /// A read that returned bytes proves nothing, since a close may lie behind them, and neither does a read that
    /// was not tried because the event loop has reported nothing.
    pub fn seen_open_at(&self) -> Option<Instant> {
        self.0.borrow().as_ref().and_then(|stream| stream.seen_open_at.get())
    }

    /// Takes the socket out. For all other holders the connection has ended.
    pub fn take(&self) -> Option<TcpStream> {
        self.0.borrow_mut().take().map(|taken| taken.stream)
    }

    /// Calls `call` with the socket, or fails if it has been taken out.
    fn poll_open<T>(
        &self,
        call: impl FnOnce(Pin<&mut DrainingStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match &mut *self.0.borrow_mut() {
            Some(stream) => call(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_open(|s| s.poll_read(cx, buffer))
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_open(|s| s.poll_write(cx, data))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_open(|s| s.poll_write_vectored(cx, data))
    }
    fn is_write_vectored(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(DrainingStream::is_write_vectored)
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_open(|s| s.poll_flush(cx))
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_open(|s| s.poll_shutdown(cx))
    }
}

/// A TCP stream that stays ready until a call reports that it would block. Tokio's own stream takes a transfer of
/// fewer bytes than requested as a sign that the socket is drained (epoll(7)). That holds on Linux, but not where
/// calls return short for another reason: there, no further readiness would be reported for the remaining bytes.
#[derive(Debug)]
pub struct DrainingStream {
    stream: TcpStream,
    /// When a read last found nothing unread and no close.
    seen_open_at: Cell<Option<Instant>>,
}

impl DrainingStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> DrainingStream {
        DrainingStream { stream, seen_open_at: Cell::new(None) }
    }

    /// The wrapped stream.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads, and notes when there was nothing to read.
    fn try_read(&self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let read = self.stream.try_read_buf(buffer);
        if read.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
            self.seen_open_at.set(Some(Instant::now()));
        }
        read.map(drop)
    }

    /// Calls `call` when the socket is ready, and again while it reports that the socket is not ready or the
    /// call was interrupted.
    fn poll_io<T>(
        &self,
        mut poll_ready: impl FnMut(&TcpStream) -> Poll<io::Result<()>>,
        mut call: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            std::task::ready!(poll_ready(&self.stream))?;
            match call(&self.stream) {
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for DrainingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_io(|s| s.poll_read_ready(cx), |_| self.try_read(buffer))
    }
}

impl AsyncWrite for DrainingStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_io(|s| s.poll_write_ready(cx), |s| s.try_write(data))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_io(|s| s.poll_write_ready(cx), |s| s.try_write_vectored(data))
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP socket has no user-space buffer to flush.
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A stream whose reads and writes are reported to an observer.
pub struct ObservedStream<T, S = DrainingStream> {
    /// The stream.
    pub stream: S,
    /// Is notified of reads and writes.
    pub observer: T,
    /// Bytes that were read from the stream before. They are returned first.
    pub prefix: Bytes,
}

impl<T: IoObserver, S: AsyncRead + Unpin> AsyncRead for ObservedStream<T, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        if !self.prefix.is_empty() {
            let count = self.prefix.len().min(buffer.remaining());
            buffer.put_slice(&self.prefix.split_to(count));
            return Poll::Ready(self.observer.on_read(cx, count));
        }
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        match self.observer.on_read(cx, buffer.filled().len() - filled_before) {
            Ok(()) => result,
            Err(e) => Poll::Ready(Err(e)),
        }
    }
}

impl<T: IoObserver, S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<T, S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, data);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.observer.on_written(*bytes);
        }
        result
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.observer.on_written(*bytes);
        }
        result
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.observer.on_flushed();
        }
        result
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
