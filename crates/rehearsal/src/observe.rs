//! Observations of a fleet from outside, and invariants over them. Each invariant is a state machine without I/O that
//! gets observations with their times and never queries a limiter. The virtual world, real processes and a model
//! checker can use the same invariants.

use std::collections::BTreeMap;

use fawnhill::{LineKind, Millis, RequestId};
use serde::{Deserialize, Serialize};

/// Something that was observed from outside, or that a limiter logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Observation<'a> {
    /// A server has received an attempt completely.
    Arrived {
        /// The server.
        server: usize,
        /// The try that the attempt belongs to.
        try_id: u64,
        /// The limiter that sent it.
        limiter: usize,
        /// When the client gives the try up.
        deadline: Millis,
        /// Whether the limiter was stopped or starved at some time since it accepted the try.
        stopped: bool,
    },
    /// The proxy has received a datagram from a limiter, or has delivered it to another.
    Datagram {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// Whether it was delivered to the receiver. Otherwise it was received from the sender.
        delivered: bool,
        /// The kinds of its lines.
        lines: &'a [LineKind],
    },
    /// The load of a server, observed once a second.
    Load {
        /// The server.
        server: usize,
        /// Whether it accepts requests and is warm.
        ready: bool,
        /// Requests in service and queued.
        held: usize,
        /// Maximum number of requests in service.
        slots: usize,
    },
    /// A limiter reports that it performs a duty under a fencing number.
    Acts {
        /// The limiter.
        limiter: usize,
        /// The duty.
        duty: &'a str,
        /// The fencing number.
        number: u64,
    },
    /// A limiter holds a share of a budget until a given time.
    Holds {
        /// The limiter.
        limiter: usize,
        /// The budget.
        budget: &'a str,
        /// The share that it holds; 0 returns it.
        part: f64,
        /// The whole budget.
        whole: f64,
        /// When the share expires, in true time.
        until: Millis,
    },
    /// The process of a limiter has exited.
    LimiterExited {
        /// The limiter.
        limiter: usize,
    },
}

/// A breach of an invariant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Name of the invariant.
    pub invariant: String,
    /// When it was observed, in milliseconds of the observer's clock.
    pub at_ms: Millis,
    /// Description of the breach.
    pub what: String,
}

/// A property of a fleet that has to hold at all times.
pub trait Invariant {
    /// A descriptive name.
    fn name(&self) -> &'static str;
    /// Handles an observation. Returns a description if it breaks the invariant.
    fn observe(&mut self, now: Millis, event: &Observation<'_>) -> Option<String>;
}

/// Several invariants and their breaches.
#[derive(Default)]
pub struct InvariantSet {
    invariants: Vec<Box<dyn Invariant>>,
    breaches: Vec<Breach>,
    count: u64,
}

/// Maximum number of breaches that are recorded; all are counted.
const MAX_RECORDED_BREACHES: usize = 100;

impl InvariantSet {
    /// Creates a set of the given invariants.
    pub fn new(invariants: Vec<Box<dyn Invariant>>) -> InvariantSet {
        InvariantSet { invariants, ..InvariantSet::default() }
    }

    /// Passes an observation to all invariants.
    pub fn observe(&mut self, now: Millis, event: &Observation<'_>) {
        for invariant in &mut self.invariants {
            if let Some(what) = invariant.observe(now, event) {
                self.count += 1;
                if self.breaches.len() < MAX_RECORDED_BREACHES {
                    self.breaches.push(Breach { invariant: invariant.name().into(), at_ms: now, what });
                }
            }
        }
    }

    /// The recorded breaches, the first ones.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Number of all breaches.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// No attempt reaches a server after the deadline of its client, not even from a limiter that was stopped meanwhile.
pub struct NothingAfterDeadline {
    /// Maximum time between sending and observing an attempt.
    pub slack_ms: Millis,
}

impl Invariant for NothingAfterDeadline {
    fn name(&self) -> &'static str {
        "nothing is sent on after its deadline"
    }
    fn observe(&mut self, now: Millis, event: &Observation<'_>) -> Option<String> {
        let Observation::Arrived { server, try_id, limiter, deadline, stopped } = event else { return None };
        let late = now - deadline;
        (late > self.slack_ms).then(|| {
            let suffix = if *stopped { ", which had been stopped" } else { "" };
            format!(
                "limiter {limiter}{suffix}: try {try_id} reaches server {server} {late:.0} ms after its deadline"
            )
        })
    }
}

/// A limiter replies at most once to each ask that reaches it, so that asks from before a partition are not answered
/// again.
#[derive(Default)]
pub struct OneReplyPerAsk {
    /// By receiver, sender and request: number of asks received that have no reply yet, and when the last was
    /// received.
    asked: BTreeMap<(usize, usize, RequestId), (u32, Millis)>,
    last_cleanup: Millis,
}

/// Time for which asks are remembered. No request waits that long for a reply.
const ASK_RETENTION_MS: Millis = 60_000.0;

impl Invariant for OneReplyPerAsk {
    fn name(&self) -> &'static str {
        "each question is answered once"
    }
    fn observe(&mut self, now: Millis, event: &Observation<'_>) -> Option<String> {
        let Observation::Datagram { from, to, delivered, lines } = event else { return None };
        let mut breach = None;
        for line in *lines {
            match line {
                LineKind::Ask(id) if *delivered => {
                    let asked = self.asked.entry((*to, *from, *id)).or_insert((0, now));
                    *asked = (asked.0 + 1, now);
                }
                LineKind::Reply(id) if !delivered => match self.asked.get_mut(&(*from, *to, *id)) {
                    Some((unanswered @ 1.., _)) => *unanswered -= 1,
                    _ => {
                        let what = format!(
                            "limiter {from} answers request {id} of limiter {to}, which asks nothing"
                        );
                        breach = Some(what);
                    }
                },
                _ => {}
            }
        }
        if now - self.last_cleanup > ASK_RETENTION_MS {
            self.last_cleanup = now;
            self.asked.retain(|_, (_, at)| now - *at < ASK_RETENTION_MS);
        }
        breach
    }
}

/// At most one limiter performs a duty under a fencing number, and the numbers never decrease.
#[derive(Default)]
pub struct OneActorPerNumber {
    last: BTreeMap<String, (u64, usize)>,
}

impl Invariant for OneActorPerNumber {
    fn name(&self) -> &'static str {
        "at most one acts under a number"
    }
    fn observe(&mut self, _: Millis, event: &Observation<'_>) -> Option<String> {
        let Observation::Acts { limiter, duty, number } = event else { return None };
        let last = self.last.get(*duty).copied();
        match last {
            Some((n, other)) if *number == n && other != *limiter => {
                Some(format!("{duty}: limiters {other} and {limiter} both act under {number}"))
            }
            Some((n, other)) if *number < n => Some(format!(
                "{duty}: limiter {limiter} acts under {number} after limiter {other} did under {n}"
            )),
            _ => {
                self.last.insert((*duty).to_string(), (*number, *limiter));
                None
            }
        }
    }
}

/// The shares of a budget that limiters hold at the same time never exceed the whole budget.
#[derive(Default)]
pub struct SharesWithinTotal {
    held: BTreeMap<String, BTreeMap<usize, (f64, Millis)>>,
}

/// Relative tolerance for rounding of sums.
const SUM_TOLERANCE: f64 = 1e-6;

impl Invariant for SharesWithinTotal {
    fn name(&self) -> &'static str {
        "parts never sum to more than the whole"
    }
    fn observe(&mut self, now: Millis, event: &Observation<'_>) -> Option<String> {
        match event {
            Observation::Holds { limiter, budget, part, whole, until } => {
                let parts = self.held.entry((*budget).to_string()).or_default();
                parts.insert(*limiter, (*part, *until));
                parts.retain(|_, (part, until)| *part > 0.0 && *until > now);
                let sum: f64 = parts.values().map(|(part, _)| part).sum();
                (sum > whole * (1.0 + SUM_TOLERANCE))
                    .then(|| format!("{budget}: {} limiters hold {sum:.3} of {whole:.3}", parts.len()))
            }
            // The share of an exited limiter is not used until it expires.
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

/// No ready server is idle for longer than a limit while others queue requests.
pub struct NoIdleServer {
    /// Maximum idle time in milliseconds.
    pub max_idle_ms: Millis,
    servers: BTreeMap<usize, (bool, usize, usize, Option<Millis>)>,
}

impl NoIdleServer {
    /// Creates the invariant with a maximum idle time in milliseconds.
    pub fn new(max_idle_ms: Millis) -> NoIdleServer {
        NoIdleServer { max_idle_ms, servers: BTreeMap::new() }
    }
}

impl Invariant for NoIdleServer {
    fn name(&self) -> &'static str {
        "no server idle while others queue"
    }
    fn observe(&mut self, now: Millis, event: &Observation<'_>) -> Option<String> {
        let Observation::Load { server, ready, held, slots } = event else { return None };
        let others_queue = self.servers.iter().any(|(n, (_, held, slots, _))| n != server && held > slots);
        let idle = *ready && *held == 0 && others_queue;
        let since = self.servers.get(server).and_then(|n| n.3);
        let since = if idle { since.or(Some(now)) } else { None };
        let breach = since.filter(|s| now - s > self.max_idle_ms);
        // After a breach the idle time is counted from now.
        let next_since = if breach.is_some() { Some(now) } else { since };
        self.servers.insert(*server, (*ready, *held, *slots, next_since));
        breach.map(|s| format!("server {server} has been idle for {:.0} ms while others queue", now - s))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn breaches_of(invariant: &mut dyn Invariant, observations: &[(Millis, Observation<'_>)]) -> Vec<String> {
        observations.iter().filter_map(|(at, event)| invariant.observe(*at, event)).collect()
    }

    #[test]
    fn shared_and_decreasing_fencing_numbers_are_breaches() {
        let acts = |limiter, number| (0.0, Observation::Acts { limiter, duty: "registry", number });
        let valid = [acts(1, 4), acts(1, 4), acts(2, 5), acts(1, 6)];
        assert!(breaches_of(&mut OneActorPerNumber::default(), &valid).is_empty());
        let invalid =
            breaches_of(&mut OneActorPerNumber::default(), &[acts(1, 4), acts(2, 4), acts(2, 5), acts(1, 4)]);
        assert_eq!(invalid.len(), 2, "{invalid:?}");
        assert!(
            invalid[0].contains("both act under 4") && invalid[1].contains("acts under 4 after"),
            "{invalid:?}"
        );
    }

    #[test]
    fn an_ask_received_twice_may_get_two_replies_and_no_more() {
        let datagram = |at: Millis, from, to, delivered, lines| {
            (at, Observation::Datagram { from, to, delivered, lines })
        };
        let (ask, reply) = ([LineKind::Ask(7)], [LineKind::Reply(7)]);
        let valid = [
            datagram(0.0, 1, 2, true, &ask),
            datagram(1.0, 1, 2, true, &ask),
            datagram(2.0, 2, 1, false, &reply),
        ];
        let mut invariant = OneReplyPerAsk::default();
        assert!(breaches_of(&mut invariant, &valid).is_empty());
        assert!(breaches_of(&mut invariant, &[datagram(3.0, 2, 1, false, &reply)]).is_empty());
        assert_eq!(breaches_of(&mut invariant, &[datagram(4.0, 2, 1, false, &reply)]).len(), 1);
        // An ask that was lost on its way needs no reply.
        let mut invariant = OneReplyPerAsk::default();
        let lost = [datagram(0.0, 1, 2, false, &ask), datagram(1.0, 2, 1, false, &reply)];
        assert_eq!(breaches_of(&mut invariant, &lost).len(), 1);
    }

    #[test]
    fn shares_count_until_they_expire() {
        let holds = |at, limiter, part, until| {
            (at, Observation::Holds { limiter, budget: "retries", part, whole: 10.0, until })
        };
        let mut invariant = SharesWithinTotal::default();
        assert!(
            breaches_of(&mut invariant, &[holds(0.0, 1, 6.0, 100.0), holds(50.0, 2, 4.0, 500.0)]).is_empty()
        );
        assert_eq!(breaches_of(&mut invariant, &[holds(99.0, 3, 1.0, 900.0)]).len(), 1);
        assert!(
            breaches_of(&mut invariant, &[holds(101.0, 3, 6.0, 900.0)]).is_empty(),
            "the first share has expired"
        );
        let mut invariant = SharesWithinTotal::default();
        let exited = (1.0, Observation::LimiterExited { limiter: 1 });
        assert!(breaches_of(&mut invariant, &[holds(0.0, 1, 9.0, 1e9), exited, holds(2.0, 2, 9.0, 1e9)])
            .is_empty());
    }

    #[test]
    fn an_idle_server_is_a_breach_only_while_another_queues() {
        let load = |at, server, held| (at, Observation::Load { server, ready: true, held, slots: 4 });
        let calm = [load(0.0, 0, 0), load(0.0, 1, 3), load(9000.0, 0, 0), load(9000.0, 1, 4)];
        assert!(breaches_of(&mut NoIdleServer::new(2000.0), &calm).is_empty());
        let invalid =
            [load(0.0, 1, 9), load(0.0, 0, 0), load(1000.0, 0, 0), load(3000.0, 0, 0), load(4000.0, 0, 1)];
        assert_eq!(breaches_of(&mut NoIdleServer::new(2000.0), &invalid).len(), 1);
    }

    #[test]
    fn an_attempt_after_its_deadline_and_the_slack_is_a_breach() {
        let arrived = |at: Millis| {
            (at, Observation::Arrived { server: 0, try_id: 7, limiter: 2, deadline: 100.0, stopped: true })
        };
        let mut invariant = NothingAfterDeadline { slack_ms: 50.0 };
        assert!(breaches_of(&mut invariant, &[arrived(149.0)]).is_empty());
        assert!(breaches_of(&mut invariant, &[arrived(151.0)])[0].contains("had been stopped"));
    }
}
