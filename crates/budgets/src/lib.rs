//! Budgets shared by all limiters, leased to them in amounts that never sum to more than the budget.
//!
//! A budget is a number of [`Units`]: shares of a rate and its token bucket, or of a concurrency limit. An
//! [`Allocator`](allocator::Allocator) grants leases; a [`Member`](member::Member) uses the units that it
//! holds until the lease expires by its own steady clock. Leases combine escrow (O'Neil, "The Escrow
//! Transactional Method", 1986; Barbará-Millá and Garcia-Molina, "The Demarcation Protocol", 1994) with
//! expiry (Gray and Cheriton, 1989): a lost lease is available again when it expires, neither earlier nor
//! more than once.
//!
//! **Invariant:** at every instant of true time the units that members may use, including those in transit,
//! sum to at most the budget. This holds under loss, duplication, reordering, restart, pause and partition,
//! as long as clocks run within [`LeaseTerms::max_drift_ppm`] of true time and at most one allocator grants
//! at a time. It rests on four rules:
//! 1. A member measures a lease from when it *sent its request*, the allocator from when it *granted* it, and
//!    longer by the drift.
//! 2. A member's report of a lease (`remaining`) only ever lowers its amount, so that duplicate or reordered
//!    messages have no effect.
//! 3. Units that a member has transferred to another count at the allocator until the original lease expires.
//! 4. A new allocator grants no new lease until all leases of earlier allocators have expired; until then it
//!    only renews leases that are held.
//!
//! The crate does no I/O and reads no clock: times are arguments, in milliseconds of the caller's steady
//! clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod allocator;
pub mod member;
pub mod shares;

/// Amount of a budget. Integer, so that sums are exact.
pub type Units = u64;

/// Milliseconds of one process's steady clock.
pub type Millis = u64;

/// One incarnation of a limiter: its position, and a number that differs between its starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Position of the limiter in the fleet.
    pub position: u32,
    /// Distinguishes the starts of the limiter at this position.
    pub incarnation: u32,
}

/// Identifies a lease. Each allocator numbers its own; a transferred lease also names the member that
/// transferred it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId {
    /// Epoch of the allocator, used as a fencing token.
    pub epoch: u64,
    /// Number of the lease within the epoch.
    pub number: u64,
    /// The member that transferred the lease, and the number of this transfer among those of that member,
    /// from 1.
    pub transferred_by: Option<(MemberId, u64)>,
}

/// Duration of leases and the assumed bound on clock drift. The same at all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Duration of a lease from the moment at which its member sent the request.
    pub lease_ms: Millis,
    /// Maximum drift of a steady clock against true time, in parts per million; below a million.
    pub max_drift_ppm: u64,
}

impl LeaseTerms {
    /// How long the allocator counts a lease from when it granted it: its clock may run fast and the member's
    /// slow.
    pub fn allocator_lease_ms(&self) -> Millis {
        let (fast, slow) = (1_000_000 + self.max_drift_ppm, 1_000_000 - self.max_drift_ppm);
        (self.lease_ms * fast).div_ceil(slow) + 1
    }

    /// How long the receiver of a transfer may use it, where `remaining` is left of the lease by the sender's
    /// clock.
    pub fn transfer_ms(&self, remaining: Millis) -> Millis {
        remaining * (1_000_000 - self.max_drift_ppm) / (1_000_000 + self.max_drift_ppm)
    }
}

/// A message from a member to the allocator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberMessage {
    /// Requests a new lease.
    Acquire {
        /// Sequence number of the message; increases with each message of the member that expects an answer.
        sequence: u64,
        /// Units wanted.
        wanted: Units,
    },
    /// Requests the renewal of a lease.
    Renew {
        /// Sequence number of the message.
        sequence: u64,
        /// The lease.
        lease: LeaseId,
        /// Units that the member still holds of it.
        remaining: Units,
    },
    /// Releases all units of a lease but the remaining ones. Not answered.
    Release {
        /// The lease.
        lease: LeaseId,
        /// Units that the member still holds of it.
        remaining: Units,
    },
}

/// The allocator's answer to [`MemberMessage::Acquire`] or [`MemberMessage::Renew`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// Sequence number of the message that it answers.
    pub sequence: u64,
    /// The lease.
    pub lease: LeaseId,
    /// Maximum number of units that the member may use of it.
    pub units: Units,
    /// Validity by the member's clock, from when the member sent its request.
    pub valid_ms: Millis,
}
