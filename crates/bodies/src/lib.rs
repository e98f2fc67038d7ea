//! Bytes of bodies that are held in memory under one budget, and the progress that is asked of whoever sends one.
//!
//! What is held is counted from when it is held until the last handle on it is dropped. It does *not* read sockets or a
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
//! assert!(!second.push(&[0; 64 << 10]), "no room beside the first");
//! drop(body);
//! assert!(second.push(&[0; 64 << 10]));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// Bytes that may be held at once.
#[derive(Debug)]
pub struct Budget {
    max_bytes: Cell<usize>,
    held: Cell<usize>,
}

impl Budget {
    /// So many bytes.
    pub fn new(most: usize) -> Rc<Budget> {
        Rc::new(Budget { max_bytes: Cell::new(most), held: Cell::new(0) })
    }

    /// Bytes held now.
    pub fn used_bytes(&self) -> usize {
        self.held.get()
    }

    /// Most bytes that may be held.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes.get()
    }

    /// Another bound from now on. What is held beyond it stays until it is dropped.
    pub fn set_max_bytes(&self, most: usize) {
        self.max_bytes.set(most);
    }

    fn take(&self, bytes: usize) -> bool {
        let fits = self.held.get() + bytes <= self.max_bytes.get();
        if fits {
            self.held.set(self.held.get() + bytes);
        }
        fits
    }
}

/// Bytes of a block: what one allocation holds.
const BLOCK: usize = 64 << 10;
/// Share of the budget that one body may hold.
const MOST_PART: usize = 8;

/// A body that is held, in blocks. Handles on it are cheap to clone.
#[derive(Debug)]
pub struct BufferedBody {
    budget: Rc<Budget>,
    taken: usize,
    blocks: Vec<Bytes>,
    open: BytesMut,
    length: usize,
    /// How long it is in all, where that was told.
    told: Option<usize>,
}

impl BufferedBody {
    /// Nothing yet, of `told` bytes in all if that is known.
    pub fn new(budget: &Rc<Budget>, told: Option<usize>) -> BufferedBody {
        BufferedBody {
            budget: budget.clone(),
            taken: 0,
            blocks: Vec::new(),
            open: BytesMut::new(),
            length: 0,
            told,
        }
    }

    /// Holds more bytes; false, and nothing is held of them, if the budget has no room or this body's part is full.
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        let room = self.open.capacity() - self.open.len();
        if bytes.len() > room {
            let more = bytes.len() - room;
            // Small bodies take what they are; large ones whole blocks.
            let still = self.told.map_or(0, |told| told.saturating_sub(self.length + room));
            let takes = if still >= more { still.min(BLOCK).max(more) } else { more.max(self.next_block()) };
            let part = (self.budget.max_bytes() / MOST_PART).max(BLOCK);
            if self.taken + takes > part || !self.budget.take(takes) {
                return false;
            }
            self.taken += takes;
            let (now, rest) = bytes.split_at(room);
            self.open.extend_from_slice(now);
            self.length += now.len();
            bytes = rest;
            self.close_block();
            self.open = BytesMut::with_capacity(takes);
        }
        self.open.extend_from_slice(bytes);
        self.length += bytes.len();
        true
    }

    /// Doubles from 1 KiB on, so that a body of unknown length that stays small takes little.
    fn next_block(&self) -> usize {
        (self.length * 2).clamp(1 << 10, BLOCK)
    }

    fn close_block(&mut self) {
        if !self.open.is_empty() {
            self.blocks.push(std::mem::take(&mut self.open).freeze());
        }
    }

    /// Bytes held of the body.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// All blocks in their order.
    pub fn blocks(&mut self) -> &[Bytes] {
        self.close_block();
        &self.blocks
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.taken);
    }
}

/// The progress that is asked of a sender: so much time to begin with, and more for what it has sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MinDataRate {
    /// Milliseconds to spare.
    pub grace_ms: f64,
    /// Bytes a second at least.
    pub bytes_per_s: f64,
}

impl MinDataRate {
    /// Until when, in milliseconds after it began, a sender of so many bytes is waited for.
    pub fn deadline_ms(&self, sent: u64) -> f64 {
        self.grace_ms + sent as f64 * 1000.0 / self.bytes_per_s
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_small_body_of_known_length_takes_no_more_than_it_is() {
        let budget = Budget::new(1 << 20);
        let mut body = BufferedBody::new(&budget, Some(212));
        assert!(body.push(&[1; 100]) && body.push(&[1; 112]));
        assert_eq!((budget.used_bytes(), body.blocks().len()), (212, 1));
    }

    #[test]
    fn one_body_cannot_take_the_whole_budget() {
        let budget = Budget::new(8 << 20);
        let mut body = BufferedBody::new(&budget, None);
        let held = (0..1000).take_while(|_| body.push(&[0; 16 << 10])).count() * (16 << 10);
        assert!((900 << 10..=1 << 20).contains(&held), "{held}");
        let mut other = BufferedBody::new(&budget, None);
        assert!(other.push(&[0; 1000]));
    }

    #[test]
    fn a_sender_gets_more_time_with_what_it_sends() {
        let pace = MinDataRate { grace_ms: 2400.0, bytes_per_s: 64_000.0 };
        assert_eq!((pace.deadline_ms(0), pace.deadline_ms(128_000)), (2400.0, 4400.0));
    }

    proptest! {
        /// In any pieces and under any budget: what was taken reads as it was written, the budget is never passed, and
        /// all of it comes back.
        #[test]
        fn bytes_stay_and_the_budget_holds(
            pieces in prop::collection::vec((0usize..3, 0usize..40_000), 0..60),
            most in 1usize..600_000,
            told in prop::option::of(0usize..200_000),
        ) {
            let budget = Budget::new(most);
            let mut bodies: Vec<(BufferedBody, Vec<u8>)> = (0..3).map(|_| (BufferedBody::new(&budget, told), Vec::new())).collect();
            for (n, (which, length)) in pieces.into_iter().enumerate() {
                let (held, truth) = &mut bodies[which];
                let piece = vec![n as u8; length];
                let before = held.len();
                if held.push(&piece) {
                    truth.extend_from_slice(&piece);
                } else {
                    prop_assert_eq!(held.len(), before);
                }
                prop_assert!(budget.used_bytes() <= most);
            }
            for (held, truth) in &mut bodies {
                prop_assert_eq!(held.blocks().concat(), &truth[..]);
            }
            drop(bodies);
            prop_assert_eq!(budget.used_bytes(), 0);
        }
    }
}
