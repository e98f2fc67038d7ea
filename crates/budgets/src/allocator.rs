//! The allocator of a budget: counts outstanding leases, grants available units and reclaims leases that have
//! expired.

use std::collections::BTreeMap;

use crate::{Grant, LeaseId, LeaseTerms, MemberId, MemberMessage, Millis, Units};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OutstandingLease {
    owner: MemberId,
    units: Units,
    /// By then the owner has stopped using the lease, whatever the drift of its clock.
    expires_at: Millis,
}

/// Allocates one budget. At most one allocator of a budget may grant at a time: its successor is created with
/// a higher epoch than any before, after the earlier one is certain to have stopped.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Allocator {
    terms: LeaseTerms,
    epoch: u64,
    budget: Units,
    /// All leases of earlier allocators have expired by then; no new lease is granted before.
    grants_from: Millis,
    granted: u64,
    leases: BTreeMap<LeaseId, OutstandingLease>,
    /// Units that members have transferred to others, with the time until which they count.
    transferred: Vec<(Millis, Units)>,
    /// The last grant of a new lease to each member: a repeated request gets the same one.
    last_grants: BTreeMap<MemberId, Grant>,
    #[cfg(feature = "planted")]
    planted: Option<PlantedFault>,
}

/// A deliberate fault that the tests have to detect.
#[cfg(feature = "planted")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PlantedFault {
    /// Leases expire at the allocator without the margin for clock drift.
    EarlyExpiry,
    /// A repeated release lowers the outstanding units each time.
    RepeatedRelease,
}

impl Allocator {
    /// Creates the first allocator of a budget, of which nothing has been granted.
    pub fn first(epoch: u64, budget: Units, terms: LeaseTerms, now: Millis) -> Allocator {
        Allocator {
            terms,
            epoch,
            budget,
            grants_from: now,
            granted: 0,
            leases: BTreeMap::new(),
            transferred: Vec::new(),
            last_grants: BTreeMap::new(),
            #[cfg(feature = "planted")]
            planted: None,
        }
    }

    /// Creates the successor of earlier allocators, all of which have stopped granting. It assumes that the
    /// whole budget is outstanding until their leases have expired.
    pub fn successor(epoch: u64, budget: Units, terms: LeaseTerms, now: Millis) -> Allocator {
        Allocator {
            grants_from: now + terms.allocator_lease_ms(),
            ..Allocator::first(epoch, budget, terms, now)
        }
    }

    /// The same allocator with a planted fault.
    #[cfg(feature = "planted")]
    pub fn with_fault(self, planted: PlantedFault) -> Allocator {
        Allocator { planted: Some(planted), ..self }
    }

    #[cfg(feature = "planted")]
    fn has_fault(&self, fault: PlantedFault) -> bool {
        self.planted == Some(fault)
    }

    fn lease_ms(&self) -> Millis {
        #[cfg(feature = "planted")]
        if self.has_fault(PlantedFault::EarlyExpiry) {
            return self.terms.lease_ms;
        }
        self.terms.allocator_lease_ms()
    }

    /// Changes the budget. If more than the new budget is outstanding, nothing is granted until enough has
    /// come back.
    pub fn set_budget(&mut self, budget: Units) {
        self.budget = budget;
    }

    /// Units known to be outstanding. Until leases of earlier allocators have expired, there may be more.
    pub fn outstanding(&self) -> Units {
        let transferred: Units = self.transferred.iter().map(|(_, units)| units).sum();
        self.leases.values().map(|l| l.units).sum::<Units>() + transferred
    }

    /// Units that may be granted in new leases now.
    pub fn available(&self, now: Millis) -> Units {
        if now < self.grants_from {
            0
        } else {
            self.budget.saturating_sub(self.outstanding())
        }
    }

    /// Removes leases and transfers that have expired.
    pub fn expire(&mut self, now: Millis) {
        self.leases.retain(|_, l| l.expires_at > now);
        self.transferred.retain(|(expires_at, _)| *expires_at > now);
        let leases = &self.leases;
        self.last_grants.retain(|_, grant| leases.contains_key(&grant.lease));
    }

    /// Handles a message from a member and returns the answer, if there is one. `max_units` limits a new
    /// lease, as the member's share of the budget requires.
    pub fn handle(
        &mut self,
        now: Millis,
        from: MemberId,
        message: &MemberMessage,
        max_units: Units,
    ) -> Option<Grant> {
        self.expire(now);
        match message {
            MemberMessage::Acquire { sequence, wanted } => {
                self.acquire(now, from, *sequence, (*wanted).min(max_units))
            }
            MemberMessage::Renew { sequence, lease, remaining } => {
                self.renew(now, from, *sequence, *lease, *remaining)
            }
            MemberMessage::Release { lease, remaining } => {
                if let Some(outstanding) = self.leases.get_mut(lease).filter(|l| l.owner == from) {
                    #[cfg(feature = "planted")]
                    if self.planted == Some(PlantedFault::RepeatedRelease) {
                        outstanding.units = outstanding.units.saturating_sub(1);
                        return None;
                    }
                    outstanding.units = outstanding.units.min(*remaining);
                }
                None
            }
        }
    }

    fn acquire(&mut self, now: Millis, from: MemberId, sequence: u64, wanted: Units) -> Option<Grant> {
        if let Some(last) = self.last_grants.get(&from).filter(|last| last.sequence >= sequence) {
            return Some(*last).filter(|last| last.sequence == sequence);
        }
        let units = wanted.min(self.available(now));
        if units == 0 {
            return None;
        }
        self.granted += 1;
        let lease = LeaseId { epoch: self.epoch, number: self.granted, transferred_by: None };
        self.leases.insert(lease, OutstandingLease { owner: from, units, expires_at: now + self.lease_ms() });
        let grant = Grant { sequence, lease, units, valid_ms: self.terms.lease_ms };
        self.last_grants.insert(from, grant);
        Some(grant)
    }

    fn renew(
        &mut self,
        now: Millis,
        from: MemberId,
        sequence: u64,
        lease: LeaseId,
        remaining: Units,
    ) -> Option<Grant> {
        let expires_at = now + self.lease_ms();
        // A lease of an earlier allocator is taken over while no new leases are granted: its units can't have
        // been granted to another member meanwhile.
        let taken_over = lease.epoch < self.epoch && lease.transferred_by.is_none() && now < self.grants_from;
        if taken_over && !self.leases.contains_key(&lease) && self.outstanding() + remaining <= self.budget {
            self.leases.insert(lease, OutstandingLease { owner: from, units: remaining, expires_at });
        }
        let outstanding = self.leases.get_mut(&lease).filter(|l| l.owner == from)?;
        let transferred = outstanding.units.saturating_sub(remaining);
        if transferred > 0 {
            // The missing units may have been transferred to others, who may use them until the lease's
            // previous expiry.
            self.transferred.push((outstanding.expires_at, transferred));
            outstanding.units = remaining;
        }
        outstanding.expires_at = outstanding.expires_at.max(expires_at);
        Some(Grant { sequence, lease, units: outstanding.units, valid_ms: self.terms.lease_ms })
    }
}
