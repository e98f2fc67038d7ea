//! Bodies in transit: bytes buffered in memory under a shared budget, the progress required of a sender, and the buffering
//! of a response that arrives piece by piece.
//!
//! Buffered bytes count against the budget until the buffer is dropped. The crate reads neither sockets nor a
//! clock: bytes and times are arguments.
//!
//! ```
//! use marldeal_bodies::{Budget, BufferedBody};
//!
//! let budget = Budget::new(64 << 10);
//! let mut body = BufferedBody::new(&budget, Some(5));
//! assert!(body.push(b"hello"));
//! assert_eq!((body.len(), body.blocks().concat()), (5, b"hello".to_vec()));
//! let mut second = BufferedBody::new(&budget, None);
//! assert!(!second.push(&[0; 64 << 10]), "exceeds the budget while the first body is buffered");
//! drop(body);
//! assert!(second.push(&[0; 64 << 10]));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod progress;
mod response;

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

pub use progress::{Millis, MinDataRate, ProgressClock};
pub use response::{ResponseBuffering, MAX_BUFFERED_RESPONSE_BYTES};

/// A limit on the bytes that all buffered bodies may occupy together.
#[derive(Debug)]
pub struct Budget {
    max_bytes: Cell<usize>,
    used: Cell<usize>,
}

impl Budget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<Budget> {
        Rc::new(Budget { max_bytes: Cell::new(max_bytes), used: Cell::new(0) })
    }

    /// Bytes reserved now.
    pub fn used_bytes(&self) -> usize {
        self.used.get()
    }

    /// Maximum number of bytes that may be reserved.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes.get()
    }

    /// Changes the limit. Bytes already reserved beyond it stay reserved until their buffers are dropped.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.max_bytes.set(max_bytes);
    }

    /// Reserves `bytes`; returns false and reserves nothing if they exceed the budget.
    fn try_reserve(&self, bytes: usize) -> bool {
        let fits = self.used.get() + bytes <= self.max_bytes.get();
        if fits {
            self.used.set(self.used.get() + bytes);
        }
        fits
    }
}

/// Maximum size of a block, which is one allocation, in bytes; only a single larger push gets a larger block.
const BLOCK_BYTES: usize = 64 << 10;
/// One body may occupy at most the budget divided by this, so that a few large bodies can't use up the
/// budget.
const BODY_SHARE_DIVISOR: usize = 8;

/// A body buffered in blocks. Clones of the blocks share their memory.
#[derive(Debug)]
pub struct BufferedBody {
    budget: Rc<Budget>,
    /// Bytes reserved from the budget.
    reserved: usize,
    /// Completed blocks.
    blocks: Vec<Bytes>,
    /// The block that is being filled.
    current: BytesMut,
    length: usize,
    /// Total length of the body, if known in advance.
    expected_length: Option<usize>,
}

impl BufferedBody {
    /// Creates an empty buffer. `expected_length` is the total length of the body, if known.
    pub fn new(budget: &Rc<Budget>, expected_length: Option<usize>) -> BufferedBody {
        BufferedBody {
            budget: budget.clone(),
            reserved: 0,
            blocks: Vec::new(),
            current: BytesMut::new(),
            length: 0,
            expected_length,
        }
    }

    /// Appends bytes. Returns false and appends nothing if they exceed the budget or this body's share of it.
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        let spare = self.current.capacity() - self.current.len();
        if bytes.len() > spare {
            let excess = bytes.len() - spare;
            // A body of known length reserves no more than it needs, and at most one block at a time.
            let remaining = self.expected_length.map_or(0, |total| total.saturating_sub(self.length + spare));
            let new_block = if remaining >= excess {
                remaining.min(BLOCK_BYTES).max(excess)
            } else {
                excess.max(self.next_block())
            };
            let share = (self.budget.max_bytes() / BODY_SHARE_DIVISOR).max(BLOCK_BYTES);
            if self.reserved + new_block > share || !self.budget.try_reserve(new_block) {
                return false;
            }
            self.reserved += new_block;
            let (head, rest) = bytes.split_at(spare);
            self.current.extend_from_slice(head);
            self.length += head.len();
            bytes = rest;
            self.finish_block();
            self.current = BytesMut::with_capacity(new_block);
        }
        self.current.extend_from_slice(bytes);
        self.length += bytes.len();
        true
    }

    /// Size of the next block if the length is unknown: doubles from 1 KiB on, so that a small body reserves
    /// little.
    fn next_block(&self) -> usize {
        (self.length * 2).clamp(1 << 10, BLOCK_BYTES)
    }

    fn finish_block(&mut self) {
        if !self.current.is_empty() {
            self.blocks.push(std::mem::take(&mut self.current).freeze());
        }
    }

    /// Number of bytes buffered.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// All blocks in order. Completes the block that is being filled.
    pub fn blocks(&mut self) -> &[Bytes] {
        self.finish_block();
        &self.blocks
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.reserved);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn small_body_of_known_length_reserves_only_its_length() {
        let budget = Budget::new(1 << 20);
        let mut body = BufferedBody::new(&budget, Some(212));
        assert!(body.push(&[1; 100]) && body.push(&[1; 112]));
        assert_eq!((budget.used_bytes(), body.blocks().len()), (212, 1));
    }

    #[test]
    fn one_body_cannot_use_the_whole_budget() {
        let budget = Budget::new(8 << 20);
        let mut body = BufferedBody::new(&budget, None);
        let buffered = (0..1000).take_while(|_| body.push(&[0; 16 << 10])).count() * (16 << 10);
        assert!((900 << 10..=1 << 20).contains(&buffered), "{buffered} bytes buffered");
        let mut other = BufferedBody::new(&budget, None);
        assert!(other.push(&[0; 1000]));
    }

    proptest! {
        /// For any sequence of pushes and any budget: the buffered bytes equal those pushed, the budget is
        /// never exceeded, and all of it is released at the end.
        #[test]
        fn buffered_bytes_are_intact_and_within_the_budget(
            pushes in prop::collection::vec((0usize..3, 0usize..40_000), 0..60),
            max_bytes in 1usize..600_000,
            expected_length in prop::option::of(0usize..200_000),
        ) {
            let budget = Budget::new(max_bytes);
            let mut bodies: Vec<(BufferedBody, Vec<u8>)> =
                (0..3).map(|_| (BufferedBody::new(&budget, expected_length), Vec::new())).collect();
            for (n, (index, length)) in pushes.into_iter().enumerate() {
                let (body, expected) = &mut bodies[index];
                let bytes = vec![n as u8; length];
                let before = body.len();
                if body.push(&bytes) {
                    expected.extend_from_slice(&bytes);
                } else {
                    prop_assert_eq!(body.len(), before);
                }
                prop_assert!(budget.used_bytes() <= max_bytes);
            }
            for (body, expected) in &mut bodies {
                prop_assert_eq!(body.blocks().concat(), &expected[..]);
            }
            drop(bodies);
            prop_assert_eq!(budget.used_bytes(), 0);
        }
    }
}
