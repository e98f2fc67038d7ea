//! Decides when a watch on the list of servers is opened, given up and reopened. No I/O and no clock: the time
//! is an argument of every call, so that tests can try any order of events.
//!
//! Two cases must not go wrong. The limiter is expected to know an agent's list from the moment the agent
//! returns, so it must not be waiting for a call that was lost while the agent was unreachable. And a watch
//! that has fallen silent is broken, including one on which bytes still arrive but no message is ever
//! completed.

use std::collections::VecDeque;

use crate::upstream::registry_backoff::RegistryBackoff;

/// Milliseconds of any monotonic clock.
pub type Millis = f64;
/// Identifies a call and the watch that it becomes.
pub type CallId = u64;

/// Heartbeats arrive every 2 s, so one that is a full second late has been missed. The limiter is expected to
/// know changes from 6 s after the watch fell silent, which leaves 3 s to reopen it.
pub const WATCH_SILENCE_TIMEOUT_MS: Millis = 3000.0;
/// Calls to an agent that may be pending at once. The oldest is kept, so that a slow answer is still received.
/// Those behind it are replaced, so that there is always a recent call that a returning agent has received.
const MAX_PENDING_CALLS: usize = 8;
/// The interval between calls to an agent, as a fraction of the drain grace, and its bounds in milliseconds.
const CALL_INTERVAL_FRACTION: f64 = 0.25;
const CALL_INTERVAL_BOUNDS_MS: (Millis, Millis) = (25.0, 250.0);
/// How long a call to an agent may take to be answered.
const AGENT_ANSWER_TIMEOUT_MS: Millis = 5000.0;
/// The same for a shared registry, at least: a call that has its place in the registry's queue is not given up.
/// One that the registry never received has others beside it.
const MIN_REGISTRY_ANSWER_TIMEOUT_MS: Millis = 5000.0;
/// Calls to a registry that may be pending at once, and how long after one that is not answered the next begins.
const MAX_REGISTRY_CALLS: usize = 3;
const REGISTRY_CALL_INTERVAL_MS: Millis = 3000.0;
/// Longest waits before a call to a registry. The limiter is expected to know a change 6 s after the registry had
/// it and could be reached, even if three calls in a row fail: one of these waits, or the silence time-out or the
/// interval above, plus three retry waits and four answers is less.
const MAX_START_WAIT_MS: Millis = 3000.0;
const MAX_WAIT_AFTER_LIST_MS: Millis = 2000.0;
const MAX_RETRY_WAIT_MS: Millis = 650.0;
/// After a reload names another address, the time is 4 s.
const MAX_NEW_ADDRESS_WAIT_MS: Millis = 1500.0;
/// Four of these waits, with answers, are less than 6 s too. They are used after this many short ones while no
/// call is pending.
const MAX_LATER_RETRY_WAIT_MS: Millis = 1200.0;
const SHORT_RETRY_WAITS: u32 = 3;

/// Which kind of source is watched.
#[derive(Debug)]
pub enum WatchSource {
    /// An agent on the same host. Calls to it are cheap and answered at once, so they are repeated at an
    /// interval.
    Agent {
        /// Milliseconds from one call to the next.
        interval_ms: Millis,
    },
    /// A registry that the tier shares. Its calls are spread over time.
    Registry(RegistryBackoff),
}

impl WatchSource {
    /// An agent, for a limiter that has to observe drains within `grace_ms`.
    pub fn agent(grace_ms: Millis) -> WatchSource {
        WatchSource::Agent {
            interval_ms: (grace_ms * CALL_INTERVAL_FRACTION)
                .clamp(CALL_INTERVAL_BOUNDS_MS.0, CALL_INTERVAL_BOUNDS_MS.1),
        }
    }

    /// The wait before the first call.
    fn first_wait_ms(&mut self, reason: StartReason) -> Millis {
        let WatchSource::Registry(backoff) = self else { return 0.0 };
        match reason {
            StartReason::NoList => 0.0,
            StartReason::KnownList => {
                let wait = backoff.initial_wait();
                backoff.limited_ms(wait, MAX_START_WAIT_MS)
            }
            StartReason::NewAddress => {
                let wait = backoff.urgent_wait();
                backoff.limited_ms(wait, MAX_NEW_ADDRESS_WAIT_MS)
            }
        }
    }

    /// How long a call may take to be answered.
    fn answer_timeout_ms(&self) -> Millis {
        match self {
            WatchSource::Agent { .. } => AGENT_ANSWER_TIMEOUT_MS,
            WatchSource::Registry(backoff) => backoff.queue_ms().max(MIN_REGISTRY_ANSWER_TIMEOUT_MS),
        }
    }

    /// Milliseconds from one call to the next while none is answered.
    fn call_interval_ms(&self) -> Millis {
        match self {
            WatchSource::Agent { interval_ms } => *interval_ms,
            WatchSource::Registry(_) => REGISTRY_CALL_INTERVAL_MS,
        }
    }

    /// Calls that may be pending at once.
    fn max_pending_calls(&self) -> usize {
        match self {
            WatchSource::Agent { .. } => MAX_PENDING_CALLS,
            WatchSource::Registry(_) => MAX_REGISTRY_CALLS,
        }
    }
}

/// Why a source is watched from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReason {
    /// The process has started without a list.
    NoList,
    /// The process has started with a known list, which is used until it is this limiter's turn to call.
    KnownList,
    /// A reload has named this address. It is called by all limiters soon.
    NewAddress,
}

/// An action for the caller to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Start this call.
    Begin(CallId),
    /// Close this call or watch, for the given reason.
    Close(CallId, &'static str),
}

/// The pending calls and the watch of one source.
#[derive(Debug)]
pub struct WatchController {
    source: WatchSource,
    /// Unanswered calls and when each began.
    calls: VecDeque<(CallId, Millis)>,
    /// The watch, when its last complete message arrived, and whether it has brought a list.
    watch: Option<(CallId, Millis, bool)>,
    /// When the next call is due, or nothing while there is a watch.
    next_call: Option<Millis>,
    /// Calls and watches without a list that have failed since the last watch that brought one.
    failures: u32,
    last_call: CallId,
}

impl WatchController {
    /// The state before the first call.
    pub fn new(mut source: WatchSource, now: Millis, reason: StartReason) -> WatchController {
        let wait_ms = source.first_wait_ms(reason);
        WatchController {
            source,
            calls: VecDeque::new(),
            watch: None,
            next_call: Some(now + wait_ms),
            failures: 0,
            last_call: 0,
        }
    }

    /// When [`WatchController::step`] has something to do, if nothing else happens before.
    pub fn next_due(&self) -> Millis {
        let answer_due = self.calls.front().map(|(_, began)| began + self.source.answer_timeout_ms());
        let silent_at = self.watch.map(|(_, last_message, _)| last_message + WATCH_SILENCE_TIMEOUT_MS);
        [self.next_call, answer_due, silent_at].into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// Returns the next action that is due, or nothing if there is none. Call it until it returns nothing.
    pub fn step(&mut self, now: Millis) -> Option<Step> {
        if let Some((call, ..)) =
            self.watch.filter(|(_, last_message, _)| now >= last_message + WATCH_SILENCE_TIMEOUT_MS)
        {
            self.watch_lost(now, true);
            return Some(Step::Close(call, "silent"));
        }
        if let Some((call, began)) = self.calls.front().copied() {
            let late = now >= began + self.source.answer_timeout_ms();
            if late || self.watch.is_some() {
                self.calls.pop_front();
                return Some(Step::Close(call, "not answered in time"));
            }
        }
        if self.calls.len() > self.source.max_pending_calls() {
            let (call, _) = self.calls.remove(1)?;
            return Some(Step::Close(call, "not answered in time"));
        }
        self.next_call.filter(|at| now >= *at)?;
        self.last_call += 1;
        self.calls.push_back((self.last_call, now));
        self.next_call = Some(now + self.source.call_interval_ms());
        Some(Step::Begin(self.last_call))
    }

    /// A call was answered. It becomes the watch, unless there is a watch already or the call was closed.
    /// Returns whether it did.
    pub fn answered(&mut self, now: Millis, call: CallId) -> bool {
        let before = self.calls.len();
        self.calls.retain(|(c, _)| *c != call);
        let accepted = self.calls.len() < before && self.watch.is_none();
        if accepted {
            (self.watch, self.next_call) = (Some((call, now, false)), None);
        }
        accepted
    }

    /// The watch has received a complete message: a heartbeat, or a list if `has_list`.
    pub fn message_received(&mut self, now: Millis, has_list: bool) {
        if let Some((_, last_message, list_received)) = &mut self.watch {
            (*last_message, *list_received) = (now, *list_received | has_list);
            if has_list {
                self.failures = 0;
            }
        }
    }

    /// A call or a watch has ended by itself.
    pub fn ended(&mut self, now: Millis, call: CallId) {
        if self.watch.is_some_and(|(watch, ..)| watch == call) {
            return self.watch_lost(now, false);
        }
        let before = self.calls.len();
        self.calls.retain(|(c, _)| *c != call);
        if self.calls.len() < before && self.watch.is_none() {
            self.call_failed(now);
        }
    }

    /// A call has ended without an answer. For an agent, the next call is scheduled already.
    fn call_failed(&mut self, now: Millis) {
        let WatchSource::Registry(backoff) = &mut self.source else { return };
        self.failures += 1;
        let short = self.failures <= SHORT_RETRY_WAITS || !self.calls.is_empty();
        let max_wait_ms = if short { MAX_RETRY_WAIT_MS } else { MAX_LATER_RETRY_WAIT_MS };
        let wait = backoff.next_wait(false);
        let retry_at = now + backoff.limited_ms(wait, max_wait_ms);
        self.next_call = Some(self.next_call.map_or(retry_at, |at| at.min(retry_at)));
    }

    /// The list is wanted again from the start. Returns the calls and the watch to close: pending calls asked
    /// for changes to the old list.
    pub fn restart(&mut self, now: Millis) -> Vec<CallId> {
        let closed =
            self.calls.drain(..).map(|(call, _)| call).chain(self.watch.take().map(|w| w.0)).collect();
        self.next_call = Some(now);
        closed
    }

    /// The watch has ended or fallen silent. An agent is called again soon, whether or not the watch has
    /// brought a list.
    fn watch_lost(&mut self, now: Millis, silent: bool) {
        let has_list = self.watch.take().is_some_and(|(.., has_list)| has_list);
        self.next_call = Some(match &mut self.source {
            // An agent that accepts and closes connections is not called without a pause.
            WatchSource::Agent { interval_ms } => {
                let last = self.calls.back().map(|(_, began)| *began);
                last.map_or(now + if silent { 0.0 } else { *interval_ms / 5.0 }, |began| began + *interval_ms)
                    .max(now)
            }
            WatchSource::Registry(backoff) => {
                let wait = if silent { backoff.urgent_wait() } else { backoff.next_wait(has_list) };
                let current = has_list && !silent;
                let max_wait_ms = if current { MAX_WAIT_AFTER_LIST_MS } else { MAX_RETRY_WAIT_MS };
                now + backoff.limited_ms(wait, max_wait_ms)
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Simulates a source that is unreachable for a while and loses the calls of that time, as a host behind a
    /// network partition does: they are never answered. Returns when the limiter has a watch again.
    fn reconnected_at(source: WatchSource, outage: (Millis, Millis), answer_ms: Millis) -> Millis {
        let mut controller = WatchController::new(source, 0.0, StartReason::NoList);
        let mut answers: Vec<(Millis, CallId)> = Vec::new();
        let mut now = 0.0;
        while now < 60_000.0 {
            while let Some(step) = controller.step(now) {
                match step {
                    Step::Begin(call) if now < outage.0 || now >= outage.1 => {
                        answers.push((now + answer_ms, call))
                    }
                    Step::Begin(_) => {}
                    Step::Close(call, _) => answers.retain(|(_, c)| *c != call),
                }
            }
            answers.sort_by(|a, b| a.0.total_cmp(&b.0));
            let first = answers.first().map_or(f64::INFINITY, |a| a.0);
            now = controller.next_due().min(first).max(now);
            if first <= now && controller.answered(now, answers.remove(0).1) {
                return now;
            }
        }
        f64::INFINITY
    }

    /// Guards against a limiter that waits for a call that its agent never received. With one call at a time
    /// and 4.5 s for it, the list arrived up to 4.5 s after the agent's return, with a drain grace of 1 s or
    /// less.
    #[test]
    fn an_agent_that_returns_is_reached_within_a_fraction_of_the_grace() {
        for grace_ms in [100.0, 250.0, 400.0, 1000.0, 5000.0] {
            for outage_end in (0..40).map(|n| 3000.0 + 37.0 * f64::from(n)) {
                let at = reconnected_at(WatchSource::agent(grace_ms), (0.0, outage_end), 5.0);
                assert!(
                    at - outage_end <= grace_ms * 0.26 + 5.0,
                    "grace {grace_ms}: {} ms after",
                    at - outage_end
                );
            }
        }
    }

    /// Guards against calls that are replaced before an agent that is slow, or short of CPU time, can answer
    /// them.
    #[test]
    fn a_slow_agent_is_still_reached() {
        for grace_ms in [250.0, 1000.0] {
            let interval_ms = grace_ms * CALL_INTERVAL_FRACTION;
            let at = reconnected_at(WatchSource::agent(grace_ms), (0.0, 0.0), interval_ms * 7.5);
            assert!(at <= interval_ms * 7.5, "{at}");
            let at = reconnected_at(WatchSource::agent(grace_ms), (0.0, 0.0), 4900.0);
            assert!(at <= 4900.0, "an agent that takes 4.9 s to answer was reached after {at} ms");
        }
    }

    /// Guards against a registry that is reachable again but is called only after a wait that grew with its
    /// failures. The limiter is expected to know a change 6 s after the registry could be reached.
    #[test]
    fn a_small_tier_reaches_a_registry_within_6_s_of_its_return() {
        for seed in 0..40 {
            for limiters in [1, 3, 12, 30] {
                let outage_end = 30_000.0 + 97.0 * seed as f64;
                let at = reconnected_at(
                    WatchSource::Registry(RegistryBackoff::new(limiters, seed)),
                    (0.0, outage_end),
                    200.0,
                );
                assert!(
                    at - outage_end <= 6000.0,
                    "{limiters} limiters, seed {seed}: {} ms after",
                    at - outage_end
                );
            }
        }
    }

    #[derive(Debug, Clone, Copy)]
    enum Event {
        Wait(Millis),
        Answer(usize),
        End(usize),
        Message(bool),
        Restart,
    }

    fn any_event() -> impl Strategy<Value = Event> {
        prop_oneof![
            (0.0..1500.0).prop_map(Event::Wait),
            (0usize..9).prop_map(Event::Answer),
            (0usize..9).prop_map(Event::End),
            any::<bool>().prop_map(Event::Message),
            Just(Event::Restart),
        ]
    }

    proptest! {
        /// For any order of answers, ends, messages and restarts: the number of calls is bounded, there is at
        /// most one watch and never one beside a pending call, no watch stays silent for longer than allowed,
        /// and without a watch there is always a call that is pending or due soon.
        #[test]
        fn every_order_of_events_leaves_a_watch_or_a_pending_call(
            registry in any::<bool>(), events in prop::collection::vec(any_event(), 1..60),
        ) {
            let source = match registry {
                true => WatchSource::Registry(RegistryBackoff::new(5, 7)),
                false => WatchSource::agent(1000.0),
            };
            let max_open = if registry { MAX_REGISTRY_CALLS } else { MAX_PENDING_CALLS };
            let mut controller = WatchController::new(source, 0.0, StartReason::NoList);
            let (mut now, mut open, mut watch): (f64, Vec<CallId>, Option<(CallId, f64)>) = (0.0, Vec::new(), None);
            for event in events {
                let until = now + if let Event::Wait(ms) = event { ms } else { 0.0 };
                loop {
                    while let Some(step) = controller.step(now) {
                        match step {
                            Step::Begin(call) => open.push(call),
                            Step::Close(call, _) => {
                                open.retain(|c| *c != call);
                                watch = watch.filter(|w| w.0 != call);
                            }
                        }
                    }
                    prop_assert!(open.len() <= max_open);
                    prop_assert!(watch.is_none() || open.is_empty());
                    prop_assert!(watch.is_none_or(|w| now < w.1 + WATCH_SILENCE_TIMEOUT_MS));
                    let max_wait_ms = if registry { REGISTRY_CALL_INTERVAL_MS } else { 250.0 };
                    prop_assert!(controller.next_due() > now && (watch.is_some() || controller.next_due() <= now + max_wait_ms));
                    if controller.next_due() > until { break }
                    now = controller.next_due();
                }
                now = until;
                match event {
                    Event::Wait(_) => {}
                    Event::Answer(n) => if let Some(call) = open.get(n).copied() {
                        open.retain(|c| *c != call);
                        prop_assert!(controller.answered(now, call));
                        prop_assert!(!controller.answered(now, call), "twice");
                        watch = Some((call, now));
                    },
                    Event::End(n) => match (open.get(n).copied(), watch) {
                        (Some(call), _) => { open.retain(|c| *c != call); controller.ended(now, call); }
                        (None, Some((call, _))) => { watch = None; controller.ended(now, call); }
                        (None, None) => controller.ended(now, 999_999),
                    },
                    Event::Message(has_list) => {
                        controller.message_received(now, has_list);
                        watch = watch.map(|w| (w.0, now));
                    }
                    Event::Restart => {
                        let closed = controller.restart(now);
                        prop_assert_eq!(closed.len(), open.len() + usize::from(watch.is_some()));
                        (open, watch) = (Vec::new(), None);
                        prop_assert!(controller.next_due() <= now);
                    }
                }
            }
        }
    }
}
