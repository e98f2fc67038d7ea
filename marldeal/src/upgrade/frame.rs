//! The frames that two processes of one limiter exchange during an upgrade. No I/O. A frame consists of its
//! kind, the length of its body and the body. A connection's frame is accompanied by one file descriptor.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use marldeal_snapshot::MAX_BYTES;

/// The version of this protocol.
pub const VERSION: u8 = 1;
/// Kind and length.
const HEADER_BYTES: usize = 5;
/// Longest body: a snapshot, or the bytes read of one request.
const MAX_BODY_BYTES: usize = MAX_BYTES;

/// A message between the two processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// From the new process: its protocol version.
    Hello(u8),
    /// From the old process: a snapshot of its state.
    Snapshot(Bytes),
    /// From the old process: a client's connection.
    Connection {
        /// How long ago the incomplete request on the connection began, in milliseconds, if there is one.
        request_age_ms: Option<u32>,
        /// Bytes that were read from the connection but not consumed.
        read_ahead: Bytes,
    },
    /// From the old process: another new process is connected already.
    Busy,
    /// After the final snapshot, in both directions. The new process sends none before it has received one, since old
    /// processes of earlier releases do not know them.
    Message(LinkMessage),
}

/// A message of the decision module that passes between the two processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkMessage {
    /// The position of the peer that it is for, or that it came from. `None` for a message between the two processes
    /// themselves.
    pub peer: Option<u32>,
    /// The message.
    pub body: Bytes,
}

/// The position that stands for none.
const NO_PEER: u32 = u32::MAX;

/// Describes a frame for the log, without its bytes, which belong to clients.
impl fmt::Display for Frame {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Frame::Hello(version) => write!(f, "says hello in version {version}"),
            Frame::Snapshot(bytes) => write!(f, "sends a snapshot of {} bytes", bytes.len()),
            Frame::Connection { .. } => f.write_str("passes a connection"),
            Frame::Busy => f.write_str("is busy"),
            Frame::Message(_) => f.write_str("sends a message"),
        }
    }
}

impl Frame {
    /// Encodes the frame.
    pub fn to_bytes(&self) -> Bytes {
        let mut body = BytesMut::new();
        let kind = match self {
            Frame::Hello(version) => {
                body.put_u8(*version);
                1
            }
            Frame::Snapshot(bytes) => {
                body.extend_from_slice(bytes);
                2
            }
            Frame::Connection { request_age_ms, read_ahead } => {
                body.put_u32(request_age_ms.map_or(u32::MAX, |ms| ms.min(u32::MAX - 1)));
                body.extend_from_slice(read_ahead);
                3
            }
            Frame::Busy => 4,
            Frame::Message(message) => {
                body.put_u32(message.peer.unwrap_or(NO_PEER));
                body.extend_from_slice(&message.body);
                5
            }
        };
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
        frame.put_u8(kind);
        frame.put_u32(body.len() as u32);
        frame.extend_from_slice(&body);
        frame.freeze()
    }

    /// Removes the first frame from `bytes`. Returns nothing until it is complete.
    ///
    /// # Errors
    /// The bytes are not a valid frame.
    pub fn decode(bytes: &mut BytesMut) -> Result<Option<Frame>, &'static str> {
        if bytes.len() < HEADER_BYTES {
            return Ok(None);
        }
        let (kind, length) =
            (bytes[0], u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]) as usize);
        if length > MAX_BODY_BYTES {
            return Err("a frame is too long");
        }
        if bytes.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        bytes.advance(HEADER_BYTES);
        let mut body = bytes.split_to(length).freeze();
        match (kind, length) {
            (1, 1) => Ok(Some(Frame::Hello(body[0]))),
            (2, _) => Ok(Some(Frame::Snapshot(body))),
            (3, 4..) => {
                let request_age_ms = Some(body.get_u32()).filter(|ms| *ms != u32::MAX);
                Ok(Some(Frame::Connection { request_age_ms, read_ahead: body }))
            }
            (4, 0) => Ok(Some(Frame::Busy)),
            (5, 4..) => {
                let peer = Some(body.get_u32()).filter(|position| *position != NO_PEER);
                Ok(Some(Frame::Message(LinkMessage { peer, body })))
            }
            _ => Err("a frame makes no sense"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn any_frame() -> impl Strategy<Value = Frame> {
        let bytes = || prop::collection::vec(any::<u8>(), 0..50).prop_map(Bytes::from);
        prop_oneof![
            any::<u8>().prop_map(Frame::Hello),
            bytes().prop_map(Frame::Snapshot),
            (prop::option::of(0..u32::MAX - 1), bytes())
                .prop_map(|(request_age_ms, read_ahead)| Frame::Connection { request_age_ms, read_ahead }),
            Just(Frame::Busy),
            (prop::option::of(0..NO_PEER), bytes())
                .prop_map(|(peer, body)| Frame::Message(LinkMessage { peer, body })),
        ]
    }

    proptest! {
        /// However the bytes are split into reads, the decoded frames are those that were written.
        #[test]
        fn frames_are_decoded_whatever_the_read_sizes(frames in prop::collection::vec(any_frame(), 0..8), piece in 1usize..40) {
            let all: Vec<u8> = frames.iter().flat_map(|f| f.to_bytes()).collect();
            let (mut buffer, mut read) = (BytesMut::new(), Vec::new());
            for part in all.chunks(piece) {
                buffer.extend_from_slice(part);
                while let Some(frame) = Frame::decode(&mut buffer).expect("frames") {
                    read.push(frame);
                }
            }
            prop_assert_eq!(read, frames);
            prop_assert!(buffer.is_empty());
        }

        /// No input makes the decoder panic, or wait for more bytes than a frame may hold.
        #[test]
        fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
            let mut buffer = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = Frame::decode(&mut buffer) {}
            let mut long = BytesMut::from(&[2u8, 0xff, 0xff, 0xff, 0xff][..]);
            prop_assert!(Frame::decode(&mut long).is_err());
        }
    }
}
