//! A socket that tells when bytes come in and when bytes have gone out, and one that can be looked at beside its owner.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// What is told.
pub trait IoObserver: Unpin {
    /// A read was tried and brought so many bytes. An error ends the connection.
    fn on_read(&mut self, _: &mut Context<'_>, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
    /// So many bytes were written.
    fn on_written(&mut self, _bytes: usize) {}
    /// All that there was to write has been written.
    fn on_flushed(&mut self) {}
}

/// What lies in a socket, unread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Nothing, and the other side may still send.
    Nothing,
    /// Bytes.
    Bytes,
    /// Nothing, and nothing more will come: the other side has closed or reset it.
    Closed,
}

/// A socket that another part of the program can look at while its owner reads and writes it, until it is taken away.
#[derive(Debug, Clone)]
pub struct SharedSocket(Rc<RefCell<Option<TcpStream>>>);

impl SharedSocket {
    /// Of a socket.
    pub fn new(stream: TcpStream) -> SharedSocket {
        SharedSocket(Rc::new(RefCell::new(Some(stream))))
    }

    /// What the kernel holds at this very moment, whether or not the event loop has been told: one system call.
    pub fn unread(&self) -> Unread {
        let stream = self.0.borrow();
        let Some(stream) = &*stream else { return Unread::Closed };
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

    /// The other side sends nothing more, behind whatever it has sent and is still unread.
    pub fn remote_closed(&self) -> bool {
        if self.unread() == Unread::Closed {
            return true;
        }
        let stream = self.0.borrow();
        let Some(stream) = &*stream else { return true };
        let ready = pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Takes the socket away: for all others it has ended.
    pub fn take(&self) -> Option<TcpStream> {
        self.0.borrow_mut().take()
    }

    /// Makes a call once the socket is ready for it, until it neither finds it busy nor is interrupted. The event loop's own
    /// calls take one that moves fewer bytes than asked for as a sign that nothing more lies there (epoll(7)); that holds
    /// for Linux as it is, and not where a call comes short for another reason: the rest would never be heard of.
    fn once_ready<T>(
        &self,
        mut ready: impl FnMut(&TcpStream) -> Poll<io::Result<()>>,
        mut call: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        let stream = self.0.borrow();
        let Some(stream) = &*stream else { return Poll::Ready(Err(io::ErrorKind::NotConnected.into())) };
        loop {
            std::task::ready!(ready(stream))?;
            match call(stream) {
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.once_ready(|s| s.poll_read_ready(cx), |s| s.try_read_buf(to).map(drop))
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.once_ready(|s| s.poll_write_ready(cx), |s| s.try_write(data))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.once_ready(|s| s.poll_write_ready(cx), |s| s.try_write_vectored(data))
    }
    fn is_write_vectored(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(TcpStream::is_write_vectored)
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket holds nothing back.
        Poll::Ready(self.0.borrow().as_ref().map(drop).ok_or_else(|| io::ErrorKind::NotConnected.into()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self.0.borrow_mut() {
            Some(stream) => Pin::new(stream).poll_shutdown(cx),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

/// A socket and what it tells.
pub struct ObservedStream<T, S = TcpStream> {
    /// The socket.
    pub stream: S,
    /// What it tells.
    pub observer: T,
    /// What was read of it before: comes first.
    pub prefix: Bytes,
}

impl<T: IoObserver, S: AsyncRead + Unpin> AsyncRead for ObservedStream<T, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = to.filled().len();
        if !self.prefix.is_empty() {
            let count = self.prefix.len().min(to.remaining());
            to.put_slice(&self.prefix.split_to(count));
            return Poll::Ready(self.observer.on_read(cx, count));
        }
        let done = Pin::new(&mut self.stream).poll_read(cx, to);
        match self.observer.on_read(cx, to.filled().len() - before) {
            Ok(()) => done,
            Err(e) => Poll::Ready(Err(e)),
        }
    }
}

impl<T: IoObserver, S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<T, S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, data);
        if let Poll::Ready(Ok(bytes)) = &done {
            self.observer.on_written(*bytes);
        }
        done
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        if let Poll::Ready(Ok(bytes)) = &done {
            self.observer.on_written(*bytes);
        }
        done
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(done, Poll::Ready(Ok(()))) {
            self.observer.on_flushed();
        }
        done
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
