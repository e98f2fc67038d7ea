//! When a watch on the list of servers is opened, given up and opened anew. No I/O and no clock: the time is an argument of
//! every call, so that all orders of a few events can be tried.
//!
//! Two things may not be missed. What an agent has counts as told from the first moment of its return, so that a call that
//! it swallowed while it was away must not be what its limiter waits for. And a watch that has fallen silent is broken, also
//! one on which bytes trickle and no word ever ends.

use std::collections::VecDeque;

use crate::upstream::asking::Asking;

/// Milliseconds of any clock that only goes forward.
pub type Millis = f64;
/// A call, and the watch that comes of it.
pub type Call = u64;

/// Beats come every 2 s; a whole second behind its time, one has been missed. What a silent watch misses counts as told
/// 6 s after it fell silent: as much again is left to open it anew.
pub const SILENCE_MS: Millis = 3000.0;
/// Calls that may wait for an agent at once. The oldest is kept, so that one that is slow to answer is heard; those behind it
/// make way, so that there is always a young one, which an agent that comes back has not swallowed.
const MOST_CALLS: usize = 8;
/// Share of the grace for drains after which an agent is called again, and the bounds of that time in milliseconds.
const EVERY_PART: f64 = 0.25;
const EVERY_MS: (Millis, Millis) = (25.0, 250.0);
/// So long an answer may take; a change counts as told 6 s after it could be reached. Another call to a registry that all
/// share would only lengthen its line.
const AGENT_PATIENCE_MS: Millis = 5000.0;
const REGISTRY_PATIENCE_MS: Millis = 3000.0;

/// Who is asked.
#[derive(Debug)]
pub enum Whom {
    /// An agent beside this limiter, which answers at once and at no cost: it is called again so often.
    Agent {
        /// Milliseconds from one call to the next.
        every_ms: Millis,
    },
    /// A registry that a tier shares: one call at a time, with waits in between.
    Registry(Asking),
}

impl Whom {
    /// An agent, for a limiter that must keep drains within a grace.
    pub fn agent(grace_ms: Millis) -> Whom {
        Whom::Agent { every_ms: (grace_ms * EVERY_PART).clamp(EVERY_MS.0, EVERY_MS.1) }
    }

    /// How long the answer to a call is waited for.
    fn patience_ms(&self) -> Millis {
        match self {
            Whom::Agent { .. } => AGENT_PATIENCE_MS,
            Whom::Registry(_) => REGISTRY_PATIENCE_MS,
        }
    }
}

/// What is to be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Begin this call.
    Begin(Call),
    /// Nobody waits for this call or watch any more: close it.
    Close(Call, &'static str),
}

/// One source's calls and its watch.
#[derive(Debug)]
pub struct Resumption {
    whom: Whom,
    /// Calls that have no answer yet, and when each began.
    calls: VecDeque<(Call, Millis)>,
    /// The watch, when it last said something whole, and whether it has told anything.
    watch: Option<(Call, Millis, bool)>,
    /// When the next call is due; nothing while a watch stands.
    next: Option<Millis>,
    number: Call,
}

impl Resumption {
    /// Nothing asked yet; the first call is due after a wait.
    pub fn new(whom: Whom, now: Millis, wait_ms: Millis) -> Resumption {
        Resumption { whom, calls: VecDeque::new(), watch: None, next: Some(now + wait_ms), number: 0 }
    }

    /// When [`Resumption::step`] has something to do, if nothing else happens before.
    pub fn due(&self) -> Millis {
        let patience = self.calls.front().map(|(_, began)| began + self.whom.patience_ms());
        let silent = self.watch.map(|(_, heard, _)| heard + SILENCE_MS);
        [self.next, patience, silent].into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// What is to be done now, one thing at a time, until there is nothing.
    pub fn step(&mut self, now: Millis) -> Option<Step> {
        if let Some((call, ..)) = self.watch.filter(|(_, heard, _)| now >= heard + SILENCE_MS) {
            self.broken(now, true);
            return Some(Step::Close(call, "silent"));
        }
        if let Some((call, began)) = self.calls.front().copied() {
            let late = now >= began + self.whom.patience_ms();
            if late || self.watch.is_some() {
                self.calls.pop_front();
                if late && self.watch.is_none() && matches!(self.whom, Whom::Registry(_)) {
                    self.again(now, false, false);
                }
                return Some(Step::Close(call, "no answer"));
            }
        }
        if self.calls.len() > MOST_CALLS {
            let (call, _) = self.calls.remove(1)?;
            return Some(Step::Close(call, "no answer"));
        }
        self.next.filter(|at| now >= *at)?;
        self.number += 1;
        self.calls.push_back((self.number, now));
        self.next = match self.whom {
            Whom::Agent { every_ms } => Some(now + every_ms),
            Whom::Registry(_) => None,
        };
        Some(Step::Begin(self.number))
    }

    /// A call was answered: it is the watch from now on, unless there is one already, or nobody waits for it.
    pub fn answered(&mut self, now: Millis, call: Call) -> bool {
        let before = self.calls.len();
        self.calls.retain(|(c, _)| *c != call);
        let takes = self.calls.len() < before && self.watch.is_none();
        if takes {
            (self.watch, self.next) = (Some((call, now, false)), None);
        }
        takes
    }

    /// The watch has said something whole: a beat, or what has changed.
    pub fn heard(&mut self, now: Millis, told: bool) {
        if let Some((_, heard, any)) = &mut self.watch {
            (*heard, *any) = (now, *any | told);
        }
    }

    /// A call or a watch has ended by itself.
    pub fn ended(&mut self, now: Millis, call: Call) {
        if self.watch.is_some_and(|(watch, ..)| watch == call) {
            return self.broken(now, false);
        }
        let before = self.calls.len();
        self.calls.retain(|(c, _)| *c != call);
        // Of an agent the next call is due anyway.
        if self.calls.len() < before && self.watch.is_none() && matches!(self.whom, Whom::Registry(_)) {
            self.again(now, false, false);
        }
    }

    /// The list is wanted anew: the watch to close, if there is one. A call that waits asks for the old state; it is to be
    /// closed as well.
    pub fn anew(&mut self, now: Millis) -> Vec<Call> {
        let closed =
            self.calls.drain(..).map(|(call, _)| call).chain(self.watch.take().map(|w| w.0)).collect();
        self.next = Some(now);
        closed
    }

    /// The watch has ended or fallen silent. One that has spoken did its work, told news or not: an agent is asked at once.
    fn broken(&mut self, now: Millis, silent: bool) {
        let told = self.watch.take().is_some_and(|(.., told)| told);
        self.again(now, told, silent);
    }

    fn again(&mut self, now: Millis, told: bool, silent: bool) {
        self.next = Some(match &mut self.whom {
            // Not before its time: one that accepts and closes is not asked without a rest.
            Whom::Agent { every_ms } => {
                let last = self.calls.back().map(|(_, began)| *began);
                last.map_or(now + if silent { 0.0 } else { *every_ms / 5.0 }, |began| began + *every_ms)
                    .max(now)
            }
            Whom::Registry(asking) if silent => now + asking.urgent().as_secs_f64() * 1000.0,
            Whom::Registry(asking) => now + asking.again(told).as_secs_f64() * 1000.0,
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A source that is away for a while and swallows what is asked then, as a host that is cut off does: calls of that time
    /// hang for good. When the limiter has a watch after its return.
    fn back_after(whom: Whom, away: (Millis, Millis), answer_ms: Millis) -> Millis {
        let mut machine = Resumption::new(whom, 0.0, 0.0);
        let mut answers: Vec<(Millis, Call)> = Vec::new();
        let mut now = 0.0;
        while now < 60_000.0 {
            while let Some(step) = machine.step(now) {
                match step {
                    Step::Begin(call) if now < away.0 || now >= away.1 => {
                        answers.push((now + answer_ms, call))
                    }
                    Step::Begin(_) => {}
                    Step::Close(call, _) => answers.retain(|(_, c)| *c != call),
                }
            }
            answers.sort_by(|a, b| a.0.total_cmp(&b.0));
            let first = answers.first().map_or(f64::INFINITY, |a| a.0);
            now = machine.due().min(first).max(now);
            if first <= now && machine.answered(now, answers.remove(0).1) {
                return now;
            }
        }
        f64::INFINITY
    }

    /// Guards against a limiter that waits for a call which its agent swallowed: with one call at a time and 4.5 s for it,
    /// the list came up to 4.5 s after the agent's return, where the grace for drains is 1 s or less.
    #[test]
    fn an_agent_that_returns_is_heard_within_a_part_of_the_grace() {
        for grace_ms in [100.0, 250.0, 400.0, 1000.0, 5000.0] {
            for back in (0..40).map(|n| 3000.0 + 37.0 * f64::from(n)) {
                let at = back_after(Whom::agent(grace_ms), (0.0, back), 5.0);
                assert!(at - back <= grace_ms * 0.26 + 5.0, "grace {grace_ms}: {} ms after", at - back);
            }
        }
    }

    /// Guards against calls that make way before an agent that is slow to answer, or a process short of its core, can.
    #[test]
    fn an_agent_that_is_slow_is_heard_all_the_same() {
        for grace_ms in [250.0, 1000.0] {
            let every_ms = grace_ms * EVERY_PART;
            let at = back_after(Whom::agent(grace_ms), (0.0, 0.0), every_ms * 7.5);
            assert!(at <= every_ms * 7.5, "{at}");
            let at = back_after(Whom::agent(grace_ms), (0.0, 0.0), 4900.0);
            assert!(at <= 4900.0, "an agent that takes 4.9 s to answer was heard after {at} ms");
        }
    }

    /// Guards against a registry that is back and is asked only after a wait that grew with its failures: a change counts as
    /// told 6 s after it could be reached.
    #[test]
    fn a_registry_that_returns_is_heard_within_6_s_by_a_small_tier() {
        for seed in 0..40 {
            for limiters in [1, 3, 12, 30] {
                let back = 30_000.0 + 97.0 * seed as f64;
                let at = back_after(Whom::Registry(Asking::new(limiters, seed)), (0.0, back), 200.0);
                assert!(at - back <= 6000.0, "{limiters} limiters, seed {seed}: {} ms after", at - back);
            }
        }
    }

    #[derive(Debug, Clone, Copy)]
    enum Happens {
        Wait(Millis),
        Answer(usize),
        End(usize),
        Word(bool),
        Anew,
    }

    fn happens() -> impl Strategy<Value = Happens> {
        prop_oneof![
            (0.0..1500.0).prop_map(Happens::Wait),
            (0usize..9).prop_map(Happens::Answer),
            (0usize..9).prop_map(Happens::End),
            any::<bool>().prop_map(Happens::Word),
            Just(Happens::Anew),
        ]
    }

    proptest! {
        /// In any order of answers, ends, words and wishes: a few calls at most, one watch at most and never one beside a
        /// call that still waits, none that has been silent for longer than it may be, and without a watch there is always a
        /// call that waits or one that is due soon.
        #[test]
        fn no_order_of_events_leaves_it_without_a_way_on(
            registry in any::<bool>(), events in prop::collection::vec(happens(), 1..60),
        ) {
            let whom = match registry {
                true => Whom::Registry(Asking::new(5, 7)),
                false => Whom::agent(1000.0),
            };
            let most = if registry { 1 } else { MOST_CALLS };
            let mut machine = Resumption::new(whom, 0.0, 0.0);
            let (mut now, mut open, mut watch): (f64, Vec<Call>, Option<(Call, f64)>) = (0.0, Vec::new(), None);
            for event in events {
                let until = now + if let Happens::Wait(ms) = event { ms } else { 0.0 };
                loop {
                    while let Some(step) = machine.step(now) {
                        match step {
                            Step::Begin(call) => open.push(call),
                            Step::Close(call, _) => {
                                open.retain(|c| *c != call);
                                watch = watch.filter(|w| w.0 != call);
                            }
                        }
                    }
                    prop_assert!(open.len() <= most);
                    prop_assert!(watch.is_none() || open.is_empty());
                    prop_assert!(watch.is_none_or(|w| now < w.1 + SILENCE_MS));
                    let soon = if registry { 6000.0 } else { 250.0 };
                    prop_assert!(machine.due() > now && (watch.is_some() || machine.due() <= now + soon));
                    if machine.due() > until { break }
                    now = machine.due();
                }
                now = until;
                match event {
                    Happens::Wait(_) => {}
                    Happens::Answer(n) => if let Some(call) = open.get(n).copied() {
                        open.retain(|c| *c != call);
                        prop_assert!(machine.answered(now, call));
                        prop_assert!(!machine.answered(now, call), "twice");
                        watch = Some((call, now));
                    },
                    Happens::End(n) => match (open.get(n).copied(), watch) {
                        (Some(call), _) => { open.retain(|c| *c != call); machine.ended(now, call); }
                        (None, Some((call, _))) => { watch = None; machine.ended(now, call); }
                        (None, None) => machine.ended(now, 999_999),
                    },
                    Happens::Word(told) => {
                        machine.heard(now, told);
                        watch = watch.map(|w| (w.0, now));
                    }
                    Happens::Anew => {
                        let closed = machine.anew(now);
                        prop_assert_eq!(closed.len(), open.len() + usize::from(watch.is_some()));
                        (open, watch) = (Vec::new(), None);
                        prop_assert!(machine.due() <= now);
                    }
                }
            }
        }
    }
}
