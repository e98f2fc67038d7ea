//! Settings, a limiter with a simulated clock and a simulated network for tests of the decision module.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use fawnhill::*;

/// Classes of [`settings`], by effect.
pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
/// Plans of [`settings`]: a token bucket, a hard ceiling, a limit on concurrent attempts, no limit.
pub const RATE_LIMITED: usize = 0;
pub const WITH_CEILING: usize = 1;
pub const CONCURRENCY_LIMITED: usize = 2;
pub const UNLIMITED: usize = 3;

fn class(effect: Effect, late_worth: f64) -> Class {
    Class { aim_ms: 1000.0, late_worth, effect, group: KeyGroup::All, window_ms: 3000.0 }
}

fn plan(rate: f64, burst: f64, open: u32, ceiling: f64) -> Plan {
    Plan {
        rate,
        burst,
        open,
        ceiling_rate: ceiling * rate,
        ceiling_burst: ceiling * burst,
        ceiling_slack: if ceiling > 0.0 { 3.0 } else { 0.0 },
    }
}

/// Settings of one of three limiters, with the classes and plans named by the constants above.
pub fn settings(position: u32) -> Settings {
    Settings {
        limiters: 3,
        position,
        zone: 0,
        classes: vec![class(Effect::Safe, 0.0), class(Effect::Keyed, 0.0), class(Effect::Unsafe, 0.0)],
        plans: vec![
            plan(6.0, 12.0, 0, 0.0),
            // The quota is far above the ceiling, so that only the ceiling takes effect.
            Plan { rate: 60.0, burst: 300.0, ..plan(6.0, 30.0, 0, 2.0) },
            plan(0.0, 0.0, 6, 0.0),
            plan(0.0, 0.0, 0, 0.0),
        ],
        round_ms: 4.0,
        max_attempts: 3,
        connect_timeout_ms: 250.0,
        may_probe: true,
        may_tell: true,
        may_cancel: true,
        may_advise: false,
        messages_per_s: 100.0,
        must_subscribe: false,
        cold_share: 0.2,
        cold_ms: 10_000.0,
        fall_multiple: 3.0,
        fall_ms: 2000.0,
        firms: 10_000,
    }
}

pub fn server_id(n: u32) -> ServerId {
    Arc::from(format!("10.0.0.{n}:80"))
}

pub fn server_entry(n: u32) -> ServerEntry {
    let condition = Condition::Serving;
    ServerEntry { server: server_id(n), zone: 0, cell: 0, condition, weight: 1.0, started: 0.0 }
}

pub fn request(id: RequestId, class: usize, plan: usize) -> Request {
    Request { id, class, plan, customer: 7, budget_ms: 3000.0, units: 1.0, spread: 3, first: 0 }
}

/// A limiter with a simulated clock that the test advances; timers fire when they are due.
pub struct SimulatedLimiter {
    pub inner: Limiter,
    pub now: Millis,
    /// Pending timers: due time (its bits, which sort like the value), order of creation, token.
    timers: BinaryHeap<Reverse<(u64, usize, u64)>>,
    timers_created: usize,
}

impl SimulatedLimiter {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let now = 100_000.0;
        let inner = Limiter::new(settings, 1, now).expect("valid settings");
        let mut limiter = SimulatedLimiter { inner, now, timers: BinaryHeap::new(), timers_created: 0 };
        limiter.update_servers(true, (0..servers).map(server_entry).collect());
        limiter
    }

    /// Handles an event and returns the actions without timers and log lines. Attempts that are cancelled end
    /// at once.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.inner.handle(self.now, event, &mut actions);
        for a in &actions {
            if let Action::Wake { after_ms, token } = a {
                self.timers_created += 1;
                self.timers.push(Reverse(((self.now + after_ms).to_bits(), self.timers_created, *token)));
            }
        }
        actions.retain(|a| !matches!(a, Action::Wake { .. } | Action::Log(_)));
        let cancelled: Vec<_> = actions
            .iter()
            .filter_map(|a| if let Action::Cancel { id, attempt } = a { Some((*id, *attempt)) } else { None })
            .collect();
        for (id, attempt) in cancelled {
            actions.extend(self.end_attempt(id, attempt, Outcome::Cancelled, 1000.0));
        }
        actions
    }

    /// Number of pending timers that the limiter still needs.
    pub fn needed_timers(&self) -> usize {
        self.timers.iter().filter(|t| self.inner.wake_is_needed(t.0 .2)).count()
    }

    /// Advances the clock and fires the timers that fall due.
    pub fn advance(&mut self, ms: Millis) -> Vec<Action> {
        let end = self.now + ms;
        let mut all = Vec::new();
        while let Some(Reverse((due, _, token))) = self.timers.peek().copied() {
            if f64::from_bits(due) > end {
                break;
            }
            self.timers.pop();
            self.now = self.now.max(f64::from_bits(due));
            // A driver may skip timers that the limiter does not need, so they must have no effect.
            let needed = self.inner.wake_is_needed(token);
            let actions = self.handle(Event::Wake { token });
            assert!(needed || actions.is_empty(), "a timer that was not needed led to {actions:?}");
            all.extend(actions);
        }
        self.now = end;
        all
    }

    pub fn update_servers(&mut self, whole: bool, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::Servers { whole, entries: entries.into() })
    }

    pub fn submit(&mut self, r: Request) -> Vec<Action> {
        self.handle(Event::Request(r))
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        took_ms: Millis,
    ) -> Vec<Action> {
        let settled = outcome == Outcome::Ok;
        let load = Load::default();
        self.handle(Event::AttemptEnded { id, attempt, outcome, took_ms, settled, units: None, load })
    }
}

/// The servers to which attempts were sent.
pub fn sent_to(actions: &[Action]) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

/// Whether a request was refused.
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

/// Whether a request failed.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Several limiters and the messages between them, which may be delayed, lost and reordered.
pub struct SimulatedNetwork {
    pub limiters: Vec<SimulatedLimiter>,
    pub now: Millis,
    /// Messages in transit: arrival time, sender, receiver, body.
    in_transit: Vec<(Millis, u32, u32, Vec<u8>)>,
    rng: fastrand::Rng,
    /// Probability with which a message is lost.
    pub loss: f64,
    /// Minimum and maximum delay of a message.
    pub delay_ms: (Millis, Millis),
    /// Each limiter stalls until this time: its clock and timers stand still and it receives no messages.
    pub stalled_until: Vec<Millis>,
    pub messages_sent: u32,
}

impl SimulatedNetwork {
    pub fn new(all: Vec<Settings>, servers: u32, seed: u64) -> Self {
        let limiters: Vec<SimulatedLimiter> =
            all.into_iter().map(|s| SimulatedLimiter::new(s, servers)).collect();
        let (now, stalled_until) = (limiters[0].now, vec![0.0; limiters.len()]);
        let rng = fastrand::Rng::with_seed(seed);
        SimulatedNetwork {
            limiters,
            now,
            in_transit: Vec::new(),
            rng,
            loss: 0.0,
            delay_ms: (2.0, 10.0),
            stalled_until,
            messages_sent: 0,
        }
    }

    /// Puts a limiter's messages in transit and returns its other actions.
    fn transmit(&mut self, from: usize, actions: Vec<Action>) -> Vec<Action> {
        let mut rest = Vec::new();
        for a in actions {
            let Action::SendMessage { to: Some(to), body } = a else {
                rest.push(a);
                continue;
            };
            self.messages_sent += 1;
            assert!(body.len() <= 256, "message of {} bytes exceeds 256 bytes", body.len());
            if self.rng.f64() >= self.loss {
                let delay = self.delay_ms.0 + self.rng.f64() * (self.delay_ms.1 - self.delay_ms.0);
                self.in_transit.push((self.now + delay, from as u32, to, body));
            }
        }
        rest
    }

    /// Handles an event at one limiter and returns its actions other than messages.
    pub fn handle(&mut self, position: usize, event: Event) -> Vec<Action> {
        self.limiters[position].now = self.limiters[position].now.max(self.now);
        let actions = self.limiters[position].handle(event);
        self.transmit(position, actions)
    }

    /// Ends the first attempt of a request with a successful answer.
    pub fn complete(&mut self, position: usize, id: RequestId, took_ms: Millis) {
        let (attempt, outcome, load) = (0, Outcome::Ok, Load::default());
        self.handle(
            position,
            Event::AttemptEnded { id, attempt, outcome, took_ms, settled: true, units: None, load },
        );
    }

    /// Advances the clock in steps of one round. Returns the actions of all limiters, each with its limiter's
    /// position.
    pub fn advance(&mut self, ms: Millis) -> Vec<(usize, Action)> {
        let mut all = Vec::new();
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 4.0).min(end);
            for p in 0..self.limiters.len() {
                if self.now < self.stalled_until[p] {
                    continue;
                }
                let step = (self.now - self.limiters[p].now).max(0.0);
                let mut actions = self.limiters[p].advance(step);
                let (arrived, later) = std::mem::take(&mut self.in_transit)
                    .into_iter()
                    .partition(|m| m.2 == p as u32 && m.0 <= self.now);
                self.in_transit = later;
                for (_, from, _, body) in arrived {
                    actions.extend(self.limiters[p].handle(Event::MessageReceived { from, body }));
                }
                all.extend(self.transmit(p, actions).into_iter().map(|a| (p, a)));
            }
        }
        all
    }

    pub fn restart(&mut self, p: usize, settings: Settings, servers: u32, seed: u64) {
        let inner = Limiter::new(settings, seed, self.now).expect("valid settings");
        self.limiters[p] =
            SimulatedLimiter { inner, now: self.now, timers: BinaryHeap::new(), timers_created: 0 };
        self.limiters[p].update_servers(true, (0..servers).map(server_entry).collect());
    }
}
