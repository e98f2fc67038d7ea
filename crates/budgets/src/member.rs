//! The leases that one limiter holds of a budget, with their expiry by its own clock.

use std::collections::BTreeMap;

use crate::{Grant, LeaseId, LeaseTerms, MemberId, MemberMessage, Millis, Units};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HeldLease {
    units: Units,
    expires_at: Millis,
}

/// A request that has not been answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingRequest {
    sequence: u64,
    sent_at: Millis,
    /// The lease to renew; `None` if a new lease is requested.
    lease: Option<LeaseId>,
}

/// Units that one member transfers to another without the allocator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Transfer {
    /// Sequence number of the receiver's request.
    pub sequence: u64,
    /// The receiver's lease, which names the sender.
    pub lease: LeaseId,
    /// Units transferred.
    pub units: Units,
    /// Validity by the receiver's clock, from when the receiver sent its request.
    pub valid_ms: Millis,
}

/// One incarnation of a limiter as the holder of leases of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    id: MemberId,
    terms: LeaseTerms,
    leases: BTreeMap<LeaseId, HeldLease>,
    pending: Vec<PendingRequest>,
    last_sequence: u64,
    transfers: u64,
    /// The last transfer to each other member: a repeated request gets the same one.
    last_transfers: BTreeMap<MemberId, Transfer>,
}

/// Maximum number of pending requests; the oldest is abandoned for the next.
const MAX_PENDING: usize = 16;

impl Member {
    /// Creates a member that holds no leases. Leases of an earlier incarnation are lost to it.
    pub fn new(id: MemberId, terms: LeaseTerms) -> Member {
        Member {
            id,
            terms,
            leases: BTreeMap::new(),
            pending: Vec::new(),
            last_sequence: 0,
            transfers: 0,
            last_transfers: BTreeMap::new(),
        }
    }

    /// Units that it may use now, by its own clock.
    pub fn usable(&self, now: Millis) -> Units {
        self.leases.values().filter(|l| now < l.expires_at).map(|l| l.units).sum()
    }

    /// Its leases with the units that it holds of each and the time at which each expires.
    pub fn leases(&self) -> impl Iterator<Item = (LeaseId, Units, Millis)> + '_ {
        self.leases.iter().map(|(lease, l)| (*lease, l.units, l.expires_at))
    }

    /// Removes expired leases, and pending requests whose answer would already have expired.
    pub fn expire(&mut self, now: Millis) {
        self.leases.retain(|_, l| now < l.expires_at);
        let lease_ms = self.terms.lease_ms;
        self.pending.retain(|p| now < p.sent_at + lease_ms);
        let leases = &self.leases;
        self.last_transfers.retain(|_, transfer| {
            leases.keys().any(|l| (l.epoch, l.number) == (transfer.lease.epoch, transfer.lease.number))
        });
    }

    fn add_pending(&mut self, now: Millis, lease: Option<LeaseId>) -> u64 {
        self.expire(now);
        self.last_sequence += 1;
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(PendingRequest { sequence: self.last_sequence, sent_at: now, lease });
        self.last_sequence
    }

    /// Requests a new lease from the allocator, or a transfer from another member.
    pub fn acquire(&mut self, now: Millis, wanted: Units) -> MemberMessage {
        MemberMessage::Acquire { sequence: self.add_pending(now, None), wanted }
    }

    /// Requests the renewal of a lease. `None` if it does not hold the lease, or the lease was transferred to
    /// it.
    pub fn renew(&mut self, now: Millis, lease: LeaseId) -> Option<MemberMessage> {
        let sequence = self.add_pending(now, Some(lease));
        let remaining = self.leases.get(&lease).filter(|_| lease.transferred_by.is_none())?.units;
        Some(MemberMessage::Renew { sequence, lease, remaining })
    }

    /// Releases all units of a lease but `keep`. The released units are no longer usable when this returns.
    pub fn release(&mut self, now: Millis, lease: LeaseId, keep: Units) -> Option<MemberMessage> {
        self.expire(now);
        let held = self.leases.get_mut(&lease).filter(|_| lease.transferred_by.is_none())?;
        held.units = held.units.min(keep);
        Some(MemberMessage::Release { lease, remaining: held.units })
    }

    /// Applies a grant from the allocator; ignored unless its request is pending.
    pub fn apply_grant(&mut self, now: Millis, grant: &Grant) {
        let matches = |p: &PendingRequest| {
            p.sequence == grant.sequence && p.lease.is_none_or(|lease| lease == grant.lease)
        };
        let Some(index) = self.pending.iter().position(matches) else { return };
        let request = self.pending.remove(index);
        let expires_at = request.sent_at + grant.valid_ms;
        match request.lease {
            // Units may have been released or transferred since the request was sent.
            Some(lease) => {
                if let Some(held) = self.leases.get_mut(&lease) {
                    held.units = held.units.min(grant.units);
                    held.expires_at = held.expires_at.max(expires_at);
                }
            }
            None => drop(self.leases.insert(grant.lease, HeldLease { units: grant.units, expires_at })),
        }
        self.expire(now);
    }

    /// Transfers up to `wanted` units to a member that has requested them. They are no longer usable here
    /// when this returns.
    pub fn transfer(&mut self, now: Millis, to: MemberId, sequence: u64, wanted: Units) -> Option<Transfer> {
        self.expire(now);
        if let Some(last) = self.last_transfers.get(&to).filter(|last| last.sequence >= sequence) {
            return Some(*last).filter(|last| last.sequence == sequence);
        }
        // From the lease that expires last. A transferred lease can't be transferred again.
        let candidates =
            self.leases.iter_mut().filter(|(lease, l)| lease.transferred_by.is_none() && l.units > 0);
        let (lease, held) = candidates.max_by_key(|(_, l)| l.expires_at)?;
        let units = wanted.min(held.units);
        let valid_ms = self.terms.transfer_ms(held.expires_at - now);
        if units == 0 || valid_ms == 0 {
            return None;
        }
        held.units -= units;
        self.transfers += 1;
        let lease = LeaseId { transferred_by: Some((self.id, self.transfers)), ..*lease };
        let transfer = Transfer { sequence, lease, units, valid_ms };
        self.last_transfers.insert(to, transfer);
        Some(transfer)
    }

    /// Accepts a transfer from another member; ignored unless its request is pending.
    pub fn accept_transfer(&mut self, now: Millis, transfer: &Transfer) {
        self.apply_grant(
            now,
            &Grant {
                sequence: transfer.sequence,
                lease: transfer.lease,
                units: transfer.units,
                valid_ms: transfer.valid_ms,
            },
        );
    }
}
