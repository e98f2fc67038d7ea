//! Exhaustive model check of three members and their allocators with a bounded number of steps of each kind:
//! messages lost, duplicated, delayed and reordered, members that restart, allocators that are replaced,
//! leases transferred, clocks that drift apart. In every state the units that members may use sum to at most
//! the budget. Deliveries are steps too, so that units in transit are covered.

use std::collections::BTreeSet;

use marldeal_budgets::allocator::Allocator;
#[cfg(feature = "planted")]
use marldeal_budgets::allocator::PlantedFault;
use marldeal_budgets::member::{Member, Transfer};
use marldeal_budgets::{Grant, LeaseTerms, MemberId, MemberMessage, Units};
use stateright::{Checker, Model, Property};

const BUDGET: Units = 2;
const MEMBER_COUNT: usize = 3;
/// Time that passes in one [`Step::Tick`], in milliseconds.
const TICK_MS: u64 = 1000;

/// A message in transit. It stays in transit after its delivery, so that it may be delivered again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    ToAllocator(MemberId, MemberMessage),
    Grant(MemberId, Grant),
    TransferRequest(MemberId, MemberId, u64),
    Transfer(MemberId, Transfer),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct FleetState {
    now: u64,
    allocator: Allocator,
    members: Vec<(MemberId, Member)>,
    messages: BTreeSet<Message>,
    epochs: u64,
    /// Number of steps taken so far of each kind.
    step_counts: [u8; STEP_KINDS],
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Tick,
    Acquire(usize),
    Renew(usize),
    Release(usize),
    RequestTransfer(usize, usize),
    Restart(usize),
    ReplaceAllocator,
    Deliver(Message),
}

/// Number of step kinds that are bounded, which are the first ones of [`Step`]. Deliveries are not bounded: a
/// message that is never delivered is lost.
const STEP_KINDS: usize = 7;

impl Step {
    fn kind(&self) -> Option<usize> {
        match self {
            Step::Tick => Some(0),
            Step::Acquire(_) => Some(1),
            Step::Renew(_) => Some(2),
            Step::Release(_) => Some(3),
            Step::RequestTransfer(..) => Some(4),
            Step::Restart(_) => Some(5),
            Step::ReplaceAllocator => Some(6),
            Step::Deliver(_) => None,
        }
    }
}

/// The model. Members' clocks run at true time and the allocator's runs fast.
#[derive(Clone)]
struct LeaseModel {
    terms: LeaseTerms,
    /// How much faster the allocator's clock runs, in thousandths.
    allocator_drift_per_mille: u64,
    /// Maximum number of steps of each kind.
    max_steps: [u8; STEP_KINDS],
    /// Units requested by [`Step::Acquire`].
    wanted: Units,
    #[cfg(feature = "planted")]
    planted: Option<PlantedFault>,
}

impl LeaseModel {
    fn new_allocator(&self, epoch: u64, now: u64) -> Allocator {
        let now = self.allocator_time(now);
        let allocator = match epoch {
            1 => Allocator::first(epoch, BUDGET, self.terms, now),
            _ => Allocator::successor(epoch, BUDGET, self.terms, now),
        };
        #[cfg(feature = "planted")]
        if let Some(planted) = self.planted {
            return allocator.with_fault(planted);
        }
        allocator
    }

    fn allocator_time(&self, now: u64) -> u64 {
        now + now * self.allocator_drift_per_mille / 1000
    }

    fn deliver(&self, state: &mut FleetState, message: Message) -> Option<()> {
        let now = state.now;
        match message {
            Message::ToAllocator(from, message) => {
                let grant = state.allocator.handle(self.allocator_time(now), from, &message, BUDGET);
                state.messages.extend(grant.map(|g| Message::Grant(from, g)));
            }
            Message::Grant(to, grant) => find_member(state, to)?.apply_grant(now, &grant),
            Message::TransferRequest(from, to, sequence) => {
                let transfer = find_member(state, to)?.transfer(now, from, sequence, 1)?;
                state.messages.insert(Message::Transfer(from, transfer));
            }
            Message::Transfer(to, transfer) => find_member(state, to)?.accept_transfer(now, &transfer),
        }
        Some(())
    }
}

fn find_member(state: &mut FleetState, id: MemberId) -> Option<&mut Member> {
    state.members.iter_mut().find(|(member_id, _)| *member_id == id).map(|(_, member)| member)
}

impl Model for LeaseModel {
    type State = FleetState;
    type Action = Step;

    fn init_states(&self) -> Vec<FleetState> {
        let id = |position| MemberId { position, incarnation: 0 };
        let members = (0..MEMBER_COUNT as u32).map(|p| (id(p), Member::new(id(p), self.terms))).collect();
        let (allocator, messages) = (self.new_allocator(1, 0), BTreeSet::new());
        vec![FleetState { now: 0, allocator, members, messages, epochs: 1, step_counts: [0; STEP_KINDS] }]
    }

    fn actions(&self, state: &FleetState, steps: &mut Vec<Step>) {
        let mut all = vec![Step::Tick, Step::ReplaceAllocator];
        for m in 0..MEMBER_COUNT {
            all.extend([Step::Release(m), Step::Renew(m), Step::Restart(m)]);
            // Members are interchangeable at the start. To reduce the states, the second requests only after
            // the first and the third only after both.
            let fresh = |n: usize| state.members[n].1 == Member::new(state.members[n].0, self.terms);
            if (0..m).all(|n| !fresh(n)) {
                all.push(Step::Acquire(m));
                all.extend((0..MEMBER_COUNT).filter(|o| *o != m).map(|o| Step::RequestTransfer(m, o)));
            }
        }
        let allowed = |s: &Step| s.kind().is_some_and(|kind| state.step_counts[kind] < self.max_steps[kind]);
        steps.extend(all.into_iter().filter(allowed));
        steps.extend(state.messages.iter().cloned().map(Step::Deliver));
    }

    fn next_state(&self, last: &FleetState, step: Step) -> Option<FleetState> {
        let mut state = last.clone();
        if let Some(kind) = step.kind() {
            state.step_counts[kind] += 1;
        }
        let now = state.now;
        match step {
            Step::Tick => {
                state.now += TICK_MS;
                // Expired leases are removed, so that states that differ only in them are equal.
                state.allocator.expire(self.allocator_time(state.now));
                state.members.iter_mut().for_each(|(_, member)| member.expire(now + TICK_MS));
            }
            Step::Acquire(m) => {
                let (id, member) = &mut state.members[m];
                let message = member.acquire(now, self.wanted);
                state.messages.insert(Message::ToAllocator(*id, message));
            }
            Step::Renew(m) => {
                let (id, member) = &mut state.members[m];
                let lease = member.leases().next()?.0;
                let message = member.renew(now, lease)?;
                state.messages.insert(Message::ToAllocator(*id, message));
            }
            Step::Release(m) => {
                let (id, member) = &mut state.members[m];
                let (lease, units, _) = member.leases().next()?;
                let message = member.release(now, lease, units / 2)?;
                state.messages.insert(Message::ToAllocator(*id, message));
            }
            Step::RequestTransfer(m, other) => {
                let to = state.members[other].0;
                let (id, member) = &mut state.members[m];
                let MemberMessage::Acquire { sequence, .. } = member.acquire(now, 1) else { return None };
                state.messages.insert(Message::TransferRequest(*id, to, sequence));
            }
            Step::Restart(m) => {
                let (id, member) = &mut state.members[m];
                if member.usable(now) == 0 {
                    return None;
                }
                id.incarnation += 1;
                *member = Member::new(*id, self.terms);
            }
            Step::ReplaceAllocator => {
                state.epochs += 1;
                state.allocator = self.new_allocator(state.epochs, now);
            }
            Step::Deliver(message) => self.deliver(&mut state, message)?,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_BUDGET, |_, state: &FleetState| usable(state) <= BUDGET),
            Property::sometimes("the whole budget is held", |_, state: &FleetState| usable(state) == BUDGET),
        ]
    }
}

const WITHIN_BUDGET: &str = "usable units sum to at most the budget";

fn usable(state: &FleetState) -> Units {
    state.members.iter().map(|(_, m)| m.usable(state.now)).sum()
}

/// A model in which clocks are 20% apart, so that the drift has an effect within a few ticks.
fn model(max_steps: [u8; STEP_KINDS], wanted: Units) -> LeaseModel {
    LeaseModel {
        terms: LeaseTerms { lease_ms: 3 * TICK_MS, max_drift_ppm: 200_000 },
        allocator_drift_per_mille: 200,
        max_steps,
        wanted,
        #[cfg(feature = "planted")]
        planted: None,
    }
}

fn check(model: LeaseModel) {
    let max_steps = model.max_steps;
    let checked = model.checker().spawn_bfs().join();
    println!("{max_steps:?}: {} states", checked.unique_state_count());
    checked.assert_properties();
}

#[test]
fn acquired_and_renewed_leases_stay_within_the_budget() {
    check(model([4, 3, 1, 0, 0, 0, 0], 1));
}

#[test]
fn released_leases_stay_within_the_budget() {
    check(model([4, 2, 1, 1, 0, 0, 0], 2));
}

#[test]
fn transferred_leases_stay_within_the_budget() {
    check(model([4, 2, 1, 0, 1, 0, 0], 2));
}

#[test]
fn leases_of_a_restarted_member_count_until_they_expire() {
    check(model([5, 2, 1, 0, 0, 1, 0], 2));
}

#[test]
fn successor_allocator_grants_no_outstanding_units() {
    check(model([6, 2, 1, 0, 0, 0, 1], 2));
}

/// Shows that the model check can fail: clocks drift further apart than the terms allow.
#[test]
fn drift_beyond_the_terms_violates_the_invariant() {
    let excessive_drift = LeaseModel { allocator_drift_per_mille: 1500, ..model([2, 3, 0, 0, 0, 0, 0], 1) };
    assert!(excessive_drift.checker().spawn_bfs().join().discovery(WITHIN_BUDGET).is_some());
}

#[cfg(feature = "planted")]
#[test]
fn planted_faults_are_found() {
    let early_expiry = LeaseModel { allocator_drift_per_mille: 600, ..model([2, 3, 0, 0, 0, 0, 0], 1) };
    let repeated_release = model([1, 2, 0, 1, 0, 0, 0], 2);
    for (planted, model) in
        [(PlantedFault::EarlyExpiry, early_expiry), (PlantedFault::RepeatedRelease, repeated_release)]
    {
        let violated = |planted| {
            let model = LeaseModel { planted, ..model.clone() };
            model.checker().spawn_bfs().join().discovery(WITHIN_BUDGET).is_some()
        };
        assert!(violated(Some(planted)), "{planted:?}: fault not detected");
        assert!(!violated(None), "{planted:?}: violated without the fault");
    }
}
