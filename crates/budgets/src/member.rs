//! What one limiter holds of a budget, and when it has to stop.

use std::collections::BTreeMap;

use crate::{Grains, Grant, MemberId, Millis, PartId, Say, Terms};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    grains: Grains,
    until: Millis,
}

/// A question that has not been answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Open {
    ask: u64,
    at: Millis,
    /// The part to go on with, if it is no question for more.
    part: Option<PartId>,
}

/// A part that one member passes on to another, with no divider in between.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Passed {
    /// The receiver's question.
    pub ask: u64,
    /// Its name.
    pub part: PartId,
    /// How much.
    pub grains: Grains,
    /// For how long from when the receiver asked, by its clock.
    pub for_ms: Millis,
}

/// One start of a limiter as the holder of parts of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    id: MemberId,
    terms: Terms,
    held: BTreeMap<PartId, Held>,
    open: Vec<Open>,
    asks: u64,
    passes: u64,
    /// The last question of each other member, and what it was passed: a repeat gets the same.
    answered: BTreeMap<MemberId, Passed>,
}

/// Questions that are open at most; the oldest is given up for the next.
const MOST_OPEN: usize = 16;

impl Member {
    /// One that holds nothing: what an earlier start held is lost to it.
    pub fn new(id: MemberId, terms: Terms) -> Member {
        Member {
            id,
            terms,
            held: BTreeMap::new(),
            open: Vec::new(),
            asks: 0,
            passes: 0,
            answered: BTreeMap::new(),
        }
    }

    /// What it may act on at this moment of its own clock.
    pub fn holds(&self, now: Millis) -> Grains {
        self.held.values().filter(|h| now < h.until).map(|h| h.grains).sum()
    }

    /// Its parts, what it holds of each, and until when.
    pub fn parts(&self) -> impl Iterator<Item = (PartId, Grains, Millis)> + '_ {
        self.held.iter().map(|(part, h)| (*part, h.grains, h.until))
    }

    /// Forgets parts whose time is over and questions that no answer can make useful any more.
    pub fn settle(&mut self, now: Millis) {
        self.held.retain(|_, h| now < h.until);
        let term = self.terms.term_ms;
        self.open.retain(|o| now < o.at + term);
        let held = &self.held;
        self.answered.retain(|_, passed| {
            held.keys().any(|p| (p.epoch, p.number) == (passed.part.epoch, passed.part.number))
        });
    }

    fn asks(&mut self, now: Millis, part: Option<PartId>) -> u64 {
        self.settle(now);
        self.asks += 1;
        if self.open.len() == MOST_OPEN {
            self.open.remove(0);
        }
        self.open.push(Open { ask: self.asks, at: now, part });
        self.asks
    }

    /// Asks the divider, or another member, for more.
    pub fn wants(&mut self, now: Millis, want: Grains) -> Say {
        Say::More { ask: self.asks(now, None), want }
    }

    /// Asks to go on with a part; nothing if it holds none of it, or was passed it on.
    pub fn renews(&mut self, now: Millis, part: PartId) -> Option<Say> {
        let ask = self.asks(now, Some(part));
        let left = self.held.get(&part).filter(|_| part.from.is_none())?.grains;
        Some(Say::Renew { ask, part, left })
    }

    /// Gives back all of a part but `keep`; it has stopped acting on the rest when this returns.
    pub fn gives_back(&mut self, now: Millis, part: PartId, keep: Grains) -> Option<Say> {
        self.settle(now);
        let held = self.held.get_mut(&part).filter(|_| part.from.is_none())?;
        held.grains = held.grains.min(keep);
        Some(Say::Keeps { part, left: held.grains })
    }

    /// Takes a divider's answer in, if it still waits for it.
    pub fn granted(&mut self, now: Millis, grant: &Grant) {
        let waits = |o: &Open| o.ask == grant.ask && o.part.is_none_or(|part| part == grant.part);
        let Some(at) = self.open.iter().position(waits) else { return };
        let open = self.open.remove(at);
        let until = open.at + grant.for_ms;
        match open.part {
            // Some of it may have gone since it asked.
            Some(part) => {
                if let Some(held) = self.held.get_mut(&part) {
                    held.grains = held.grains.min(grant.grains);
                    held.until = held.until.max(until);
                }
            }
            None => drop(self.held.insert(grant.part, Held { grains: grant.grains, until })),
        }
        self.settle(now);
    }

    /// Passes some of what it holds on to a member that has asked it; it has stopped acting on that when this returns.
    pub fn passes(&mut self, now: Millis, to: MemberId, ask: u64, want: Grains) -> Option<Passed> {
        self.settle(now);
        if let Some(last) = self.answered.get(&to).filter(|last| last.ask >= ask) {
            return Some(*last).filter(|last| last.ask == ask);
        }
        // From the part that lasts longest; a part that was passed on goes no further.
        let own = self.held.iter_mut().filter(|(part, h)| part.from.is_none() && h.grains > 0);
        let (part, held) = own.max_by_key(|(_, h)| h.until)?;
        let grains = want.min(held.grains);
        let for_ms = self.terms.passed_ms(held.until - now);
        if grains == 0 || for_ms == 0 {
            return None;
        }
        held.grains -= grains;
        self.passes += 1;
        let part = PartId { from: Some((self.id, self.passes)), ..*part };
        let passed = Passed { ask, part, grains, for_ms };
        self.answered.insert(to, passed);
        Some(passed)
    }

    /// Takes what another member has passed on, if it still waits for it.
    pub fn takes(&mut self, now: Millis, passed: &Passed) {
        self.granted(
            now,
            &Grant { ask: passed.ask, part: passed.part, grains: passed.grains, for_ms: passed.for_ms },
        );
    }
}
