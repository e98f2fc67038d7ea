//! Buffering of a response that arrives piece by piece: when it is passed on, and when its server no longer counts as
//! giving it.

use crate::progress::Millis;

/// Largest response that is buffered whole, in bytes.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;
/// Longest time after the head for which a response of unknown length is buffered. Until it is passed on, a response
/// that breaks off can be requested again.
const MAX_BUFFERING_MS: Millis = 500.0;
/// Longest time between two pieces of a response that may be a long one.
const MAX_GAP_MS: Millis = 2000.0;
/// Longest time between two pieces of a response that is announced as a short one.
const MAX_SHORT_RESPONSE_GAP_MS: Millis = 500.0;

/// How far a response has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseBuffering {
    declared_length: Option<u64>,
    received: usize,
    head_at: Millis,
    last_piece_at: Millis,
    /// When the client's first byte is due for the response to be in time.
    first_byte_due: Millis,
}

impl ResponseBuffering {
    /// A response whose head has arrived. Infinity as `first_byte_due` sets no time for the first byte.
    pub fn new(now: Millis, declared_length: Option<u64>, first_byte_due: Millis) -> ResponseBuffering {
        ResponseBuffering { declared_length, received: 0, head_at: now, last_piece_at: now, first_byte_due }
    }

    /// Takes a piece of the body into account.
    pub fn receive(&mut self, now: Millis, bytes: usize) {
        self.received += bytes;
        self.last_piece_at = now;
    }

    /// Whether any of the body has arrived.
    pub fn has_begun(&self) -> bool {
        self.received > 0
    }

    /// Whether the response is too long to be buffered.
    pub fn is_too_long(&self) -> bool {
        let declared_too_long =
            self.declared_length.is_some_and(|bytes| bytes > MAX_BUFFERED_RESPONSE_BYTES as u64);
        declared_too_long || self.received > MAX_BUFFERED_RESPONSE_BYTES
    }

    /// When the response is passed on although it is not complete; `None` as long as nothing of it has arrived, and for
    /// one that is announced as short.
    pub fn pass_on_at(&self) -> Option<Millis> {
        if self.is_too_long() {
            return Some(self.last_piece_at);
        }
        let may_be_long = self.declared_length.is_none();
        (may_be_long && self.has_begun()).then_some(self.ends_at().min(self.first_byte_due))
    }

    /// Until when a response is buffered for which nobody waits.
    pub fn ends_at(&self) -> Millis {
        self.head_at + MAX_BUFFERING_MS
    }

    /// When the server no longer counts as giving the response, unless another piece arrives before.
    pub fn stalls_at(&self) -> Millis {
        let declared_short = self.declared_length.is_some() && !self.is_too_long();
        self.last_piece_at + if declared_short { MAX_SHORT_RESPONSE_GAP_MS } else { MAX_GAP_MS }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn response_of_unknown_length_is_passed_on_once_it_has_begun_and_before_its_first_byte_is_due() {
        let mut response = ResponseBuffering::new(100.0, None, 400.0);
        assert_eq!((response.pass_on_at(), response.stalls_at()), (None, 2100.0));
        response.receive(150.0, 10);
        assert_eq!((response.pass_on_at(), response.stalls_at()), (Some(400.0), 2150.0));
        let mut without_target = ResponseBuffering::new(100.0, None, f64::INFINITY);
        without_target.receive(150.0, 10);
        assert_eq!(without_target.pass_on_at(), Some(600.0));
        without_target.receive(200.0, MAX_BUFFERED_RESPONSE_BYTES);
        assert_eq!(without_target.pass_on_at(), Some(200.0));
    }

    #[test]
    fn response_of_known_length_is_passed_on_at_once_if_it_is_long_and_never_if_it_is_short() {
        let long = ResponseBuffering::new(100.0, Some(65_537), 400.0);
        assert_eq!((long.pass_on_at(), long.stalls_at()), (Some(100.0), 2100.0));
        let mut short = ResponseBuffering::new(100.0, Some(65_536), 400.0);
        short.receive(200.0, 65_535);
        assert_eq!((short.pass_on_at(), short.stalls_at()), (None, 700.0));
    }
}
