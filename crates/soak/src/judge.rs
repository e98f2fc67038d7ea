//! Judges a history by the rules. The judge knows nothing of how limiters decide; only what was observed from
//! outside counts.

mod answers;
mod attempts;
mod processes;
mod slow_peers;

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use crate::history::{
    Attempt, Effect, Event, History, Limiter, Millis, Outcome, Request, Server, Terms, What,
};

/// Tolerance for the delays of sockets, added to each time limit of the rules.
const SLACK_MS: Millis = 50.0;
/// Longest time that a process may be delayed between reading its clock and writing.
const MAX_PROCESS_DELAY_MS: Millis = 150.0;

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was taken gets exactly one final answer, in time.
    Answer,
    /// An answer 200 was made by a server for this request.
    Forged,
    /// Nothing is sent for a client that has disconnected.
    ClientLeft,
    /// Nothing is sent after the client's deadline, or after the final answer.
    Afterwards,
    /// Two attempts of a request are never open at once.
    Together,
    /// A request that may have run is repeated only where that does no harm.
    Repeat,
    /// A request is refused only where asking again does no harm.
    Refusal,
    /// Nothing new is sent to a draining server.
    Drain,
    /// The time named to a server is at most what the client has left.
    TimeLeft,
    /// A cold server is not overloaded.
    Cold,
    /// A client that stops in the middle of a request is disconnected.
    Half,
    /// A long answer that its server is giving is not cut off.
    CutOff,
    /// A request that is not sound is not answered as served, and no server receives it whole.
    Unsound,
    /// Nothing is written to the process of a server that has been replaced by another.
    Vanished,
    /// Processes neither crash nor hang, and are ready soon.
    Process,
    /// No limiter reports that it broke a rule itself.
    Confessed,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When it was broken.
    pub at: Millis,
    /// What happened.
    pub what: String,
    /// The request concerned.
    pub request: Option<Request>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at, self.what)
    }
}

/// An attempt as its server saw it.
#[derive(Debug, Clone)]
struct AttemptRecord {
    attempt: Attempt,
    server: Server,
    begun: Millis,
    arrived: Millis,
    left_ms: Millis,
    over: Option<(Millis, Outcome)>,
}

impl AttemptRecord {
    /// Whether it may have run, as far as its limiter can know.
    fn may_have_run(&self) -> bool {
        !matches!(self.over, Some((_, Outcome::Unprocessed)))
    }
}

/// A request with its attempts and its end.
#[derive(Debug, Clone)]
struct RequestRecord {
    id: Request,
    limiter: Limiter,
    /// Number of the limiter's process that the client was connected to.
    process: u32,
    effect: Effect,
    at: Millis,
    budget_ms: Millis,
    kept: bool,
    client_left: Option<Millis>,
    answered: Option<(Millis, u16, Option<Attempt>)>,
    unanswered: Option<Millis>,
    asked_again: bool,
    attempts: Vec<AttemptRecord>,
}

/// A time in which a limiter's process was stopped.
#[derive(Debug, Clone, Copy)]
struct Stall {
    limiter: Limiter,
    from: Millis,
    until: Millis,
}

/// The kill of a limiter's process.
#[derive(Debug, Clone, Copy)]
struct Kill {
    limiter: Limiter,
    process: u32,
    at: Millis,
}

/// A history, indexed by request and by limiter.
struct HistoryIndex<'a> {
    terms: Terms,
    events: &'a [Event],
    requests: BTreeMap<Request, RequestRecord>,
    stalls: Vec<Stall>,
    kills: Vec<Kill>,
    harness_lateness: Vec<(Millis, Millis)>,
    end: Millis,
}

impl<'a> HistoryIndex<'a> {
    fn new(history: &'a History) -> HistoryIndex<'a> {
        let mut index = HistoryIndex {
            terms: history.terms,
            events: &history.events,
            requests: BTreeMap::new(),
            stalls: Vec::new(),
            kills: Vec::new(),
            harness_lateness: Vec::new(),
            end: history.events.last().map_or(0.0, |e| e.at),
        };
        let mut request_of_attempt: HashMap<Attempt, Request> = HashMap::new();
        let mut stopped_since: HashMap<Limiter, Millis> = HashMap::new();
        let mut running_process: HashMap<Limiter, u32> = HashMap::new();
        for event in &history.events {
            index.add(event, &mut request_of_attempt, &mut stopped_since);
            index.add_process_event(event, &mut running_process);
        }
        let end = index.end;
        index.stalls.extend(stopped_since.into_iter().map(|(limiter, from)| Stall {
            limiter,
            from,
            until: end,
        }));
        index
    }

    fn add(
        &mut self,
        event: &Event,
        request_of_attempt: &mut HashMap<Attempt, Request>,
        stopped_since: &mut HashMap<Limiter, Millis>,
    ) {
        let at = event.at;
        match event.what {
            What::Asked { request, limiter, effect, budget_ms, kept, process } => {
                let asked = RequestRecord {
                    id: request,
                    limiter,
                    process,
                    effect,
                    at,
                    budget_ms,
                    kept,
                    client_left: None,
                    answered: None,
                    unanswered: None,
                    asked_again: false,
                    attempts: Vec::new(),
                };
                self.requests.insert(request, asked);
            }
            What::Left { request } => self.update(request, |r| r.client_left = Some(at)),
            What::Answered { request, status, body_of } => {
                self.update(request, |r| r.answered = Some((at, status, body_of)));
            }
            What::Unanswered { request } => self.update(request, |r| r.unanswered = Some(at)),
            What::AskedAnew { request, .. } => self.update(request, |r| r.asked_again = true),
            What::Arrived { attempt, request, server, begun, left_ms } => {
                request_of_attempt.insert(attempt, request);
                let new = AttemptRecord { attempt, server, begun, arrived: at, left_ms, over: None };
                self.update(request, |r| r.attempts.push(new));
            }
            What::Over { attempt, outcome } => {
                let Some(request) = request_of_attempt.get(&attempt).copied() else { return };
                self.update(request, |r| {
                    if let Some(t) = r.attempts.iter_mut().find(|t| t.attempt == attempt) {
                        t.over = Some((at, outcome));
                    }
                });
            }
            What::Stopped { limiter, over: false } => drop(stopped_since.insert(limiter, at)),
            What::Stopped { limiter, over: true } => {
                if let Some(from) = stopped_since.remove(&limiter) {
                    self.stalls.push(Stall { limiter, from, until: at });
                }
            }
            What::HarnessLate { by_ms } => self.harness_lateness.push((at, by_ms)),
            _ => {}
        }
    }

    fn add_process_event(&mut self, event: &Event, running_process: &mut HashMap<Limiter, u32>) {
        match event.what {
            What::Started { limiter, process } => drop(running_process.insert(limiter, process)),
            What::Killed { limiter } => {
                let process = running_process.get(&limiter).copied().unwrap_or_default();
                self.kills.push(Kill { limiter, process, at: event.at });
            }
            _ => {}
        }
    }

    fn update(&mut self, request: Request, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(asked) = self.requests.get_mut(&request) {
            change(asked);
        }
    }

    /// Returns how late the test environment itself was around a time.
    fn lateness(&self, from: Millis, until: Millis) -> Millis {
        let near =
            self.harness_lateness.iter().filter(|(at, by)| *at >= from - 20.0 && *at - by <= until + 20.0);
        near.map(|(_, by)| *by).fold(0.0, f64::max)
    }

    /// Returns how long a limiter was stopped within a time.
    fn stalled_ms(&self, limiter: Limiter, from: Millis, until: Millis) -> Millis {
        let within = |p: &Stall| (p.until.min(until) - p.from.max(from)).max(0.0);
        self.stalls.iter().filter(|p| p.limiter == limiter).map(within).sum()
    }

    /// Whether the process that the client of a request was connected to was killed by a time. It may have been killed
    /// just before the request was written: the kernel accepts connections and bytes until the process is gone.
    fn process_killed(&self, record: &RequestRecord, until: Millis) -> bool {
        let of_process = |kill: &&Kill| kill.limiter == record.limiter && kill.process == record.process;
        self.kills.iter().filter(of_process).any(|kill| kill.at <= until)
    }
}

impl HistoryIndex<'_> {
    /// Whether a process of a limiter was killed, or replaced by a later one, by a time.
    fn process_ended(&self, limiter: Limiter, process: u32, until: Millis) -> bool {
        let killed = |kill: &Kill| (kill.limiter, kill.process) == (limiter, process) && kill.at <= until;
        let replaced = |event: &Event| matches!(event.what, What::Started { limiter: l, process: p } if l == limiter && p > process);
        self.kills.iter().any(killed) || self.events.iter().any(|e| e.at <= until && replaced(e))
    }

    /// Whether a limiter had been notified by a time of the last start of a server before that time.
    fn told_of_start(&self, limiter: Limiter, server: Server, by: Millis) -> bool {
        let mut told = false;
        for event in self.events.iter().take_while(|event| event.at <= by) {
            match event.what {
                What::ServerStarted { server: s } if s == server => told = false,
                What::Told { limiter: l, server: s, takes: true } if (l, s) == (limiter, server) => {
                    told = true
                }
                _ => {}
            }
        }
        told
    }
}

/// Returns all breaches of the rules in the order of time.
pub fn judge(history: &History) -> Vec<Breach> {
    let index = HistoryIndex::new(history);
    let mut breaches = Vec::new();
    for request in index.requests.values() {
        answers::judge(&index, request, &mut breaches);
        attempts::judge(&index, request, &mut breaches);
    }
    attempts::drains(&index, &mut breaches);
    attempts::cold_servers(&index, &mut breaches);
    processes::judge(&index, &mut breaches);
    slow_peers::judge(&index, &mut breaches);
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaches
}

#[cfg(test)]
mod tests;
