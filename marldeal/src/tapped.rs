//! A socket that tells when bytes come in.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is told.
pub trait Tap: Unpin {
    /// A read was tried and brought so many bytes. An error ends the connection.
    fn read(&mut self, cx: &mut Context<'_>, bytes: usize) -> io::Result<()>;
}

/// A socket and what it tells.
pub struct Tapped<T> {
    /// The socket.
    pub stream: TcpStream,
    /// What it tells.
    pub tap: T,
}

impl<T: Tap> AsyncRead for Tapped<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = to.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, to);
        match self.tap.read(cx, to.filled().len() - before) {
            Ok(()) => done,
            Err(e) => Poll::Ready(Err(e)),
        }
    }
}

impl<T: Tap> AsyncWrite for Tapped<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, data)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
