//! What observers see of a fleet, and invariants over it: each a state machine without I/O that is told what was seen and
//! when, and never asks a limiter. The virtual world, real processes and a model checker can feed the same ones.

use std::collections::BTreeMap;

use fawnhill::{LineKind, Millis, RequestId};
use serde::{Deserialize, Serialize};

/// One thing that was seen from outside, or that a limiter told in its log.
#[derive(Debug, Clone, PartialEq)]
pub enum Observation<'a> {
    /// An attempt has come whole to a node.
    Arrived {
        /// At which node.
        node: usize,
        /// Of which try.
        try_id: u64,
        /// From which limiter.
        limiter: usize,
        /// When its client gives the try up.
        deadline: Millis,
        /// Its limiter was stopped, or starved, at some time since it took the try.
        stopped: bool,
    },
    /// A datagram between limiters that the relay has taken from its sender, or delivered to its receiver.
    Datagram {
        /// Who sent it.
        from: usize,
        /// To whom.
        to: usize,
        /// It was delivered to its receiver; else taken from its sender.
        delivered: bool,
        /// What it says.
        lines: &'a [LineKind],
    },
    /// Once a second: what a node holds, and how many it can have in work.
    Load {
        /// Which node.
        node: usize,
        /// It takes work, and is warm.
        ready: bool,
        /// Requests in work and waiting.
        held: usize,
        /// Requests that it works on side by side.
        slots: usize,
    },
    /// A limiter says that it acts for a duty under a number.
    Acts {
        /// Which limiter.
        limiter: usize,
        /// Which duty.
        duty: &'a str,
        /// The fence.
        number: u64,
    },
    /// A limiter holds a part of a budget until then.
    Holds {
        /// Which limiter.
        limiter: usize,
        /// Which budget.
        budget: &'a str,
        /// How much; 0 gives it back.
        part: f64,
        /// The whole.
        whole: f64,
        /// Until when by true time.
        until: Millis,
    },
    /// A limiter's process has ended.
    LimiterExited {
        /// Which limiter.
        limiter: usize,
    },
}

/// An invariant that was broken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Its name.
    pub invariant: String,
    /// When, in the milliseconds of the observer.
    pub at_ms: Millis,
    /// What happened.
    pub what: String,
}

/// A statement about a fleet that has to hold at every moment.
pub trait Invariant {
    /// Its name, in words.
    fn name(&self) -> &'static str;
    /// Something was seen; what breaks the invariant, if it does.
    fn observe(&mut self, now: Millis, seen: &Observation<'_>) -> Option<String>;
}

/// Several invariants and what was broken of them.
#[derive(Default)]
pub struct InvariantSet {
    all: Vec<Box<dyn Invariant>>,
    breaches: Vec<Breach>,
    count: u64,
}

/// Most breaches that are written down.
const MOST: usize = 100;

impl InvariantSet {
    /// With these invariants.
    pub fn new(all: Vec<Box<dyn Invariant>>) -> InvariantSet {
        InvariantSet { all, ..InvariantSet::default() }
    }

    /// Tells all of them.
    pub fn observe(&mut self, now: Millis, seen: &Observation<'_>) {
        for judge in &mut self.all {
            if let Some(what) = judge.observe(now, seen) {
                self.count += 1;
                if self.breaches.len() < MOST {
                    self.breaches.push(Breach { invariant: judge.name().into(), at_ms: now, what });
                }
            }
        }
    }

    /// The first breaches.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// How many there were.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Nothing arrives at a node for a client whose time is over: also not from a limiter that was stopped meanwhile.
pub struct NothingAfterDeadline {
    /// How much later than sent an attempt may be seen.
    pub slack_ms: Millis,
}

impl Invariant for NothingAfterDeadline {
    fn name(&self) -> &'static str {
        "nothing is sent on after its deadline"
    }
    fn observe(&mut self, now: Millis, seen: &Observation<'_>) -> Option<String> {
        let Observation::Arrived { node, try_id, limiter, deadline, stopped } = seen else { return None };
        let late = now - deadline;
        (late > self.slack_ms).then(|| {
            let how = if *stopped { ", which had been stopped" } else { "" };
            format!(
                "limiter {limiter}{how}: try {try_id} reaches node {node} {late:.0} ms after its deadline"
            )
        })
    }
}

/// Each question that reaches a keeper is answered once at most: what was asked before a partition is not answered again.
#[derive(Default)]
pub struct OneReplyPerAsk {
    /// By keeper, asker and request: questions that reached the keeper and are not answered yet, and when the last did.
    asked: BTreeMap<(usize, usize, RequestId), (u32, Millis)>,
    swept: Millis,
}

/// A question that is so old is answered no more: no request waits so long.
const ASK_KEPT_MS: Millis = 60_000.0;

impl Invariant for OneReplyPerAsk {
    fn name(&self) -> &'static str {
        "each question is answered once"
    }
    fn observe(&mut self, now: Millis, seen: &Observation<'_>) -> Option<String> {
        let Observation::Datagram { from, to, delivered, lines } = seen else { return None };
        let mut broken = None;
        for line in *lines {
            match line {
                LineKind::Ask(id) if *delivered => {
                    let asked = self.asked.entry((*to, *from, *id)).or_insert((0, now));
                    *asked = (asked.0 + 1, now);
                }
                LineKind::Reply(id) if !delivered => match self.asked.get_mut(&(*from, *to, *id)) {
                    Some((waiting @ 1.., _)) => *waiting -= 1,
                    _ => {
                        let what = format!(
                            "limiter {from} answers request {id} of limiter {to}, which asks nothing"
                        );
                        broken = Some(what);
                    }
                },
                _ => {}
            }
        }
        if now - self.swept > ASK_KEPT_MS {
            self.swept = now;
            self.asked.retain(|_, (_, at)| now - *at < ASK_KEPT_MS);
        }
        broken
    }
}

/// At most one limiter acts for a duty under a number, and numbers never fall.
#[derive(Default)]
pub struct OneActorPerNumber {
    last: BTreeMap<String, (u64, usize)>,
}

impl Invariant for OneActorPerNumber {
    fn name(&self) -> &'static str {
        "at most one acts under a number"
    }
    fn observe(&mut self, _: Millis, seen: &Observation<'_>) -> Option<String> {
        let Observation::Acts { limiter, duty, number } = seen else { return None };
        let last = self.last.get(*duty).copied();
        match last {
            Some((n, who)) if *number == n && who != *limiter => {
                Some(format!("{duty}: limiters {who} and {limiter} both act under {number}"))
            }
            Some((n, who)) if *number < n => Some(format!(
                "{duty}: limiter {limiter} acts under {number} after limiter {who} did under {n}"
            )),
            _ => {
                self.last.insert((*duty).to_string(), (*number, *limiter));
                None
            }
        }
    }
}

/// The parts of a budget that limiters may act on at one moment never sum to more than the whole.
#[derive(Default)]
pub struct SharesWithinTotal {
    held: BTreeMap<String, BTreeMap<usize, (f64, Millis)>>,
}

/// Rounding of sums.
const NOTHING: f64 = 1e-6;

impl Invariant for SharesWithinTotal {
    fn name(&self) -> &'static str {
        "parts never sum to more than the whole"
    }
    fn observe(&mut self, now: Millis, seen: &Observation<'_>) -> Option<String> {
        match seen {
            Observation::Holds { limiter, budget, part, whole, until } => {
                let parts = self.held.entry((*budget).to_string()).or_default();
                parts.insert(*limiter, (*part, *until));
                parts.retain(|_, (part, until)| *part > 0.0 && *until > now);
                let sum: f64 = parts.values().map(|(part, _)| part).sum();
                (sum > whole * (1.0 + NOTHING))
                    .then(|| format!("{budget}: {} limiters hold {sum:.3} of {whole:.3}", parts.len()))
            }
            // What it held is lost until its end: nobody acts on it.
            Observation::LimiterExited { limiter } => {
                for parts in self.held.values_mut() {
                    parts.remove(limiter);
                }
                None
            }
            _ => None,
        }
    }
}

/// No ready server is idle for long while others queue.
pub struct NoIdleServer {
    /// For how long it may be.
    pub for_ms: Millis,
    nodes: BTreeMap<usize, (bool, usize, usize, Option<Millis>)>,
}

impl NoIdleServer {
    /// One that allows so many milliseconds.
    pub fn new(for_ms: Millis) -> NoIdleServer {
        NoIdleServer { for_ms, nodes: BTreeMap::new() }
    }
}

impl Invariant for NoIdleServer {
    fn name(&self) -> &'static str {
        "no server idle while others queue"
    }
    fn observe(&mut self, now: Millis, seen: &Observation<'_>) -> Option<String> {
        let Observation::Load { node, ready, held, slots } = seen else { return None };
        let queues = self.nodes.iter().any(|(n, (_, held, slots, _))| n != node && held > slots);
        let idle = *ready && *held == 0 && queues;
        let since = self.nodes.get(node).and_then(|n| n.3);
        let since = if idle { since.or(Some(now)) } else { None };
        let broken = since.filter(|s| now - s > self.for_ms);
        // Told once; it counts anew from here.
        let kept = if broken.is_some() { Some(now) } else { since };
        self.nodes.insert(*node, (*ready, *held, *slots, kept));
        broken.map(|s| format!("node {node} has been idle for {:.0} ms while others queue", now - s))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(judge: &mut dyn Invariant, seen: &[(Millis, Observation<'_>)]) -> Vec<String> {
        seen.iter().filter_map(|(at, seen)| judge.observe(*at, seen)).collect()
    }

    #[test]
    fn two_under_one_number_and_a_number_that_falls_are_seen() {
        let acts = |limiter, number| (0.0, Observation::Acts { limiter, duty: "registry", number });
        let good = [acts(1, 4), acts(1, 4), acts(2, 5), acts(1, 6)];
        assert!(told(&mut OneActorPerNumber::default(), &good).is_empty());
        let bad = told(&mut OneActorPerNumber::default(), &[acts(1, 4), acts(2, 4), acts(2, 5), acts(1, 4)]);
        assert_eq!(bad.len(), 2, "{bad:?}");
        assert!(bad[0].contains("both act under 4") && bad[1].contains("acts under 4 after"), "{bad:?}");
    }

    #[test]
    fn a_question_that_came_twice_may_be_answered_twice_and_no_more() {
        let words = |at: Millis, from, to, delivered, lines| {
            (at, Observation::Datagram { from, to, delivered, lines })
        };
        let (ask, word) = ([LineKind::Ask(7)], [LineKind::Reply(7)]);
        let good =
            [words(0.0, 1, 2, true, &ask), words(1.0, 1, 2, true, &ask), words(2.0, 2, 1, false, &word)];
        let mut judge = OneReplyPerAsk::default();
        assert!(told(&mut judge, &good).is_empty());
        assert!(told(&mut judge, &[words(3.0, 2, 1, false, &word)]).is_empty());
        assert_eq!(told(&mut judge, &[words(4.0, 2, 1, false, &word)]).len(), 1);
        // A question that was lost on its way is no question.
        let mut judge = OneReplyPerAsk::default();
        let lost = [words(0.0, 1, 2, false, &ask), words(1.0, 2, 1, false, &word)];
        assert_eq!(told(&mut judge, &lost).len(), 1);
    }

    #[test]
    fn parts_count_until_their_end_and_no_longer() {
        let holds = |at, limiter, part, until| {
            (at, Observation::Holds { limiter, budget: "retries", part, whole: 10.0, until })
        };
        let mut judge = SharesWithinTotal::default();
        assert!(told(&mut judge, &[holds(0.0, 1, 6.0, 100.0), holds(50.0, 2, 4.0, 500.0)]).is_empty());
        assert_eq!(told(&mut judge, &[holds(99.0, 3, 1.0, 900.0)]).len(), 1);
        assert!(told(&mut judge, &[holds(101.0, 3, 6.0, 900.0)]).is_empty(), "the first has ended");
        let mut judge = SharesWithinTotal::default();
        let died = (1.0, Observation::LimiterExited { limiter: 1 });
        assert!(told(&mut judge, &[holds(0.0, 1, 9.0, 1e9), died, holds(2.0, 2, 9.0, 1e9)]).is_empty());
    }

    #[test]
    fn an_idle_node_counts_only_while_another_queues() {
        let load = |at, node, held| (at, Observation::Load { node, ready: true, held, slots: 4 });
        let calm = [load(0.0, 0, 0), load(0.0, 1, 3), load(9000.0, 0, 0), load(9000.0, 1, 4)];
        assert!(told(&mut NoIdleServer::new(2000.0), &calm).is_empty());
        let bad =
            [load(0.0, 1, 9), load(0.0, 0, 0), load(1000.0, 0, 0), load(3000.0, 0, 0), load(4000.0, 0, 1)];
        assert_eq!(told(&mut NoIdleServer::new(2000.0), &bad).len(), 1);
    }

    #[test]
    fn an_attempt_after_its_deadline_is_seen_beyond_the_slack() {
        let arrived = |at: Millis| {
            (at, Observation::Arrived { node: 0, try_id: 7, limiter: 2, deadline: 100.0, stopped: true })
        };
        let mut judge = NothingAfterDeadline { slack_ms: 50.0 };
        assert!(told(&mut judge, &[arrived(149.0)]).is_empty());
        assert!(told(&mut judge, &[arrived(151.0)])[0].contains("had been stopped"));
    }
}
