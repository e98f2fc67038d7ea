//! Budgets of a whole fleet, divided among its limiters into parts that never sum to more than the whole.
//!
//! A budget is so many [`Grains`]: a share of a rate and its store, or of a number at once. A [`Divider`](divider::Divider)
//! grants parts for a time; a [`Member`](member::Member) acts on what it holds until its own steady clock says that the
//! time is over. Parts are escrow (O'Neil, "The Escrow Transactional Method", 1986; Barbará-Millá and Garcia-Molina, "The
//! Demarcation Protocol", 1994) with a lease on each (Gray and Cheriton, 1989): one that is lost comes back at its end,
//! neither sooner nor twice.
//!
//! **Invariant:** at every instant of true time the parts that anyone may act on, those on the way included, sum to at most
//! the whole, under loss, doubling, reordering, restart, pause and partition, as long as clocks run within [`Terms::drift_ppm`]
//! of true time and at most one divider grants at a time. It rests on four rules:
//! 1. A member counts its time from when it *asked*, its divider from when it *granted*, and longer by the drift.
//! 2. What a member says of a part only ever lowers it (`left`), so that words doubled or out of order change nothing.
//! 3. What a member has passed on to another counts at the divider until the end of the part it was taken from.
//! 4. A new divider grants nothing until all that an earlier one granted is over; it only goes on with parts that are held.
//!
//! Nothing here does I/O or reads a clock: times are arguments, in milliseconds of the caller's own steady clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod divider;
pub mod member;
pub mod shares;

/// The unit in which budgets are divided; whole numbers, so that sums are exact.
pub type Grains = u64;

/// Milliseconds of one process's steady clock.
pub type Millis = u64;

/// One start of a limiter: its position, and a number that no other start of it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Its position in the fleet.
    pub position: u32,
    /// Tells one start from another.
    pub born: u32,
}

/// A part's name. Each divider numbers its own; a part that was passed on has the giver's start and count beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    /// The divider's term of office, its fence.
    pub epoch: u64,
    /// Its number within it.
    pub number: u64,
    /// The member that passed it on, and how many it had passed on before.
    pub from: Option<(MemberId, u64)>,
}

/// How long parts last, and how far clocks are trusted. The same at all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a part lasts from the moment at which its member asked.
    pub term_ms: Millis,
    /// How far a steady clock may run from true time, in millionths; below a million.
    pub drift_ppm: u64,
}

impl Terms {
    /// How long a divider counts a part from when it granted it: its own clock may run fast, the member's slow.
    pub fn counted_ms(&self) -> Millis {
        let (fast, slow) = (1_000_000 + self.drift_ppm, 1_000_000 - self.drift_ppm);
        (self.term_ms * fast).div_ceil(slow) + 1
    }

    /// How long the receiver of a part passed on may count it, of what is left by the giver's clock.
    pub fn passed_ms(&self, left: Millis) -> Millis {
        left * (1_000_000 - self.drift_ppm) / (1_000_000 + self.drift_ppm)
    }
}

/// What a member says to the divider.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Say {
    /// It wants so many grains more. `ask` counts its questions.
    More {
        /// Number of the question; each later one has a higher one.
        ask: u64,
        /// How many.
        want: Grains,
    },
    /// It holds so much of a part and wants to go on with it.
    Renew {
        /// Number of the question.
        ask: u64,
        /// Which part.
        part: PartId,
        /// What it still holds of it.
        left: Grains,
    },
    /// It has given back all of a part but this.
    Keeps {
        /// Which part.
        part: PartId,
        /// What it still holds of it.
        left: Grains,
    },
}

/// The divider's answer: the member may act on so many grains for so long from its question on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// The question that it answers.
    pub ask: u64,
    /// Which part.
    pub part: PartId,
    /// How much of it, at most.
    pub grains: Grains,
    /// For how long, from when the member asked and by the member's clock.
    pub for_ms: Millis,
}
