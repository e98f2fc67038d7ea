//! A socket that tells when bytes come in and when bytes have gone out.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is told.
pub trait Tap: Unpin {
    /// A read was tried and brought so many bytes. An error ends the connection.
    fn read(&mut self, _: &mut Context<'_>, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
    /// So many bytes were written.
    fn wrote(&mut self, _bytes: usize) {}
    /// All that there was to write has been written.
    fn flushed(&mut self) {}
}

/// A socket and what it tells.
pub struct Tapped<T> {
    /// The socket.
    pub stream: TcpStream,
    /// What it tells.
    pub tap: T,
    /// What was read of it before: comes first.
    pub read: Bytes,
}

impl<T: Tap> AsyncRead for Tapped<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = to.filled().len();
        if !self.read.is_empty() {
            let count = self.read.len().min(to.remaining());
            to.put_slice(&self.read.split_to(count));
            return Poll::Ready(self.tap.read(cx, count));
        }
        let done = Pin::new(&mut self.stream).poll_read(cx, to);
        match self.tap.read(cx, to.filled().len() - before) {
            Ok(()) => done,
            Err(e) => Poll::Ready(Err(e)),
        }
    }
}

impl<T: Tap> AsyncWrite for Tapped<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, data);
        if let Poll::Ready(Ok(bytes)) = &done {
            self.tap.wrote(*bytes);
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
            self.tap.wrote(*bytes);
        }
        done
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(done, Poll::Ready(Ok(()))) {
            self.tap.flushed();
        }
        done
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
