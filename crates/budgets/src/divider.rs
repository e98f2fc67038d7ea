//! Who divides: it counts what is out, grants what is free, and takes back what is surely over.

use std::collections::BTreeMap;

use crate::{Grains, Grant, MemberId, Millis, PartId, Say, Terms};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Out {
    owner: MemberId,
    grains: Grains,
    /// Its owner has surely stopped by then.
    over_at: Millis,
}

/// Divides one budget. At most one divider of a budget may grant at a time: whoever holds that duty makes one, with a higher
/// epoch than any before, once the earlier holder has surely stopped.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Divider {
    terms: Terms,
    epoch: u64,
    whole: Grains,
    /// What an earlier divider granted is over by then; nothing new is granted before.
    free_from: Millis,
    granted: u64,
    out: BTreeMap<PartId, Out>,
    /// What members have passed on to others, until when it counts.
    passed: Vec<(Millis, Grains)>,
    /// The last question of each member for more, and its answer: a repeat gets the same part.
    answered: BTreeMap<MemberId, Grant>,
    #[cfg(feature = "planted")]
    planted: Option<Planted>,
}

/// A fault planted for the tests that must find it.
#[cfg(feature = "planted")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Planted {
    /// Parts are taken back at their term, without the bound on clocks.
    Early,
    /// A part given back counts anew each time that it is said.
    Twice,
}

impl Divider {
    /// The very first divider of a budget, of which nothing has been granted.
    pub fn first(epoch: u64, whole: Grains, terms: Terms, now: Millis) -> Divider {
        Divider {
            terms,
            epoch,
            whole,
            free_from: now,
            granted: 0,
            out: BTreeMap::new(),
            passed: Vec::new(),
            answered: BTreeMap::new(),
            #[cfg(feature = "planted")]
            planted: None,
        }
    }

    /// One that follows others, all of whom have surely stopped granting: it starts from the worst case.
    pub fn following(epoch: u64, whole: Grains, terms: Terms, now: Millis) -> Divider {
        Divider { free_from: now + terms.counted_ms(), ..Divider::first(epoch, whole, terms, now) }
    }

    /// The same with a fault.
    #[cfg(feature = "planted")]
    pub fn with(self, planted: Planted) -> Divider {
        Divider { planted: Some(planted), ..self }
    }

    #[cfg(feature = "planted")]
    fn is(&self, fault: Planted) -> bool {
        self.planted == Some(fault)
    }

    fn counted_ms(&self) -> Millis {
        #[cfg(feature = "planted")]
        if self.is(Planted::Early) {
            return self.terms.term_ms;
        }
        self.terms.counted_ms()
    }

    /// Changes the whole. Where more is out than the new whole, nothing is granted until enough has come back.
    pub fn set_whole(&mut self, whole: Grains) {
        self.whole = whole;
    }

    /// What is out, as far as it is known; before an earlier divider's parts are over, that is not all.
    pub fn out(&self) -> Grains {
        let passed: Grains = self.passed.iter().map(|(_, grains)| grains).sum();
        self.out.values().map(|o| o.grains).sum::<Grains>() + passed
    }

    /// What may be granted now.
    pub fn free(&self, now: Millis) -> Grains {
        if now < self.free_from {
            0
        } else {
            self.whole.saturating_sub(self.out())
        }
    }

    /// Takes back what is surely over.
    pub fn settle(&mut self, now: Millis) {
        self.out.retain(|_, o| o.over_at > now);
        self.passed.retain(|(over_at, _)| *over_at > now);
        let out = &self.out;
        self.answered.retain(|_, grant| out.contains_key(&grant.part));
    }

    /// Hears a member; its answer, if there is one. `most` bounds what it may get, as the shares of all have it.
    pub fn hear(&mut self, now: Millis, from: MemberId, say: &Say, most: Grains) -> Option<Grant> {
        self.settle(now);
        match say {
            Say::More { ask, want } => self.more(now, from, *ask, (*want).min(most)),
            Say::Renew { ask, part, left } => self.renew(now, from, *ask, *part, *left),
            Say::Keeps { part, left } => {
                if let Some(out) = self.out.get_mut(part).filter(|o| o.owner == from) {
                    #[cfg(feature = "planted")]
                    if self.planted == Some(Planted::Twice) {
                        out.grains = out.grains.saturating_sub(1);
                        return None;
                    }
                    out.grains = out.grains.min(*left);
                }
                None
            }
        }
    }

    fn more(&mut self, now: Millis, from: MemberId, ask: u64, want: Grains) -> Option<Grant> {
        if let Some(last) = self.answered.get(&from).filter(|last| last.ask >= ask) {
            return Some(*last).filter(|last| last.ask == ask);
        }
        let grains = want.min(self.free(now));
        if grains == 0 {
            return None;
        }
        self.granted += 1;
        let part = PartId { epoch: self.epoch, number: self.granted, from: None };
        self.out.insert(part, Out { owner: from, grains, over_at: now + self.counted_ms() });
        let grant = Grant { ask, part, grains, for_ms: self.terms.term_ms };
        self.answered.insert(from, grant);
        Some(grant)
    }

    fn renew(&mut self, now: Millis, from: MemberId, ask: u64, part: PartId, left: Grains) -> Option<Grant> {
        let over_at = now + self.counted_ms();
        // A part of an earlier divider that is still held goes on; nobody can have been granted its grains meanwhile.
        let goes_on = part.epoch < self.epoch && part.from.is_none() && now < self.free_from;
        if goes_on && !self.out.contains_key(&part) && self.out() + left <= self.whole {
            self.out.insert(part, Out { owner: from, grains: left, over_at });
        }
        let out = self.out.get_mut(&part).filter(|o| o.owner == from)?;
        let passed = out.grains.saturating_sub(left);
        if passed > 0 {
            // What it lacks may be with others, who may act on it until the old end.
            self.passed.push((out.over_at, passed));
            out.grains = left;
        }
        out.over_at = out.over_at.max(over_at);
        Some(Grant { ask, part, grains: out.grains, for_ms: self.terms.term_ms })
    }
}
