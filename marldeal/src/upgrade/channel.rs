//! The Unix socket between two processes of one limiter.

use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};

use bytes::BytesMut;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::UnixStream;

use super::frame::Frame;

/// Most descriptors accepted with one read.
const MAX_DESCRIPTORS_PER_READ: usize = 32;

/// Exchanges frames over a Unix socket, with the descriptors that accompany them.
pub(super) struct FrameChannel {
    stream: UnixStream,
    buffer: BytesMut,
    descriptors: VecDeque<OwnedFd>,
}

impl FrameChannel {
    /// Exchanges frames over a connected socket.
    pub(super) fn new(stream: UnixStream) -> FrameChannel {
        FrameChannel { stream, buffer: BytesMut::new(), descriptors: VecDeque::new() }
    }

    /// Sends a frame, with the descriptor that accompanies it.
    pub(super) async fn send(&mut self, frame: &Frame, descriptor: Option<&TcpStream>) -> io::Result<()> {
        let bytes = frame.to_bytes();
        let (mut sent, mut descriptor) = (0, descriptor.map(AsFd::as_fd));
        while sent < bytes.len() {
            self.stream.writable().await?;
            let slices = [IoSlice::new(&bytes[sent..])];
            let fds: Vec<_> = descriptor.into_iter().collect();
            let written = self.stream.try_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !fds.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(&fds));
                }
                Ok(sendmsg(&self.stream, &slices, &mut control, SendFlags::NOSIGNAL)?)
            });
            match written {
                Ok(count) => {
                    sent += count;
                    // The descriptor is sent with the first bytes.
                    descriptor = None;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Returns the next frame with its descriptor, or nothing at the end of the stream. Cancel-safe: no bytes
    /// are lost if the future is dropped between two reads.
    pub(super) async fn receive(&mut self) -> io::Result<Option<(Frame, Option<OwnedFd>)>> {
        loop {
            if let Some(frame) = Frame::decode(&mut self.buffer).map_err(io::Error::other)? {
                let has_descriptor = matches!(frame, Frame::Connection { .. });
                let fd = if has_descriptor { self.descriptors.pop_front() } else { None };
                return Ok(Some((frame, fd)));
            }
            self.stream.readable().await?;
            let mut chunk = [0; 16 << 10];
            let FrameChannel { stream, descriptors, .. } = self;
            let read = stream.try_io(Interest::READABLE, || {
                let mut space =
                    [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut slices = [IoSliceMut::new(&mut chunk)];
                let read = recvmsg(&*stream, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC)?;
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(fds) = message {
                        descriptors.extend(fds);
                    }
                }
                Ok(read.bytes)
            });
            match read {
                Ok(0) => return Ok(None),
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}
