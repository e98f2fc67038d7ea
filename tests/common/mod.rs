//! Settings and a driver for tests of the decision module.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use fawnhill::*;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
pub const RATED: usize = 0;
pub const CEILED: usize = 1;
pub const OPEN: usize = 2;
pub const FREE: usize = 3;

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

/// Three limiters; plans by the constants above.
pub fn settings(position: u32) -> Settings {
    Settings {
        limiters: 3,
        position,
        zone: 0,
        classes: vec![class(Effect::Safe, 0.0), class(Effect::Keyed, 0.0), class(Effect::Unsafe, 0.0)],
        plans: vec![
            plan(6.0, 12.0, 0, 0.0),
            // A quota far above the ceiling, so that the ceiling alone is tested.
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

pub fn server(n: u32) -> ServerId {
    Arc::from(format!("10.0.0.{n}:80"))
}

pub fn entry(n: u32) -> ServerEntry {
    let condition = Condition::Serving;
    ServerEntry { server: server(n), zone: 0, cell: 0, condition, weight: 1.0, started: 0.0 }
}

pub fn request(id: RequestId, class: usize, plan: usize) -> Request {
    Request { id, class, plan, customer: 7, budget_ms: 3000.0, units: 1.0, spread: 3, first: 0 }
}

/// A limiter with a clock that the test moves; wake-ups come when they are due.
pub struct Rig {
    pub limiter: Limiter,
    pub now: Millis,
    /// By moment (its bits, which sort as it does) and the order in which they were asked for.
    wakes: BinaryHeap<Reverse<(u64, usize, u64)>>,
    asked: usize,
}

impl Rig {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let now = 100_000.0;
        let limiter = Limiter::new(settings, 1, now).expect("legal settings");
        let mut rig = Rig { limiter, now, wakes: BinaryHeap::new(), asked: 0 };
        rig.list(true, (0..servers).map(entry).collect());
        rig
    }

    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.limiter.handle(self.now, event, &mut out);
        for a in &out {
            if let Action::Wake { after_ms, token } = a {
                self.asked += 1;
                self.wakes.push(Reverse(((self.now + after_ms).to_bits(), self.asked, *token)));
            }
        }
        out.retain(|a| !matches!(a, Action::Wake { .. } | Action::Log(_)));
        let cancels: Vec<_> = out
            .iter()
            .filter_map(|a| if let Action::Cancel { id, attempt } = a { Some((*id, *attempt)) } else { None })
            .collect();
        for (id, attempt) in cancels {
            out.extend(self.ended(id, attempt, Outcome::Cancelled, 1000.0));
        }
        out
    }

    /// Wake-ups that were asked for and still mean something.
    pub fn wanted(&self) -> usize {
        self.wakes.iter().filter(|w| self.limiter.wake_is_needed(w.0 .2)).count()
    }

    /// Lets time pass, with the wake-ups that fall into it.
    pub fn pass(&mut self, ms: Millis) -> Vec<Action> {
        let end = self.now + ms;
        let mut out = Vec::new();
        while let Some(Reverse((at, _, token))) = self.wakes.peek().copied() {
            if f64::from_bits(at) > end {
                break;
            }
            self.wakes.pop();
            self.now = self.now.max(f64::from_bits(at));
            // What the limiter says it does not want may be left out: it must do nothing.
            let wanted = self.limiter.wake_is_needed(token);
            let did = self.give(Event::Wake { token });
            assert!(wanted || did.is_empty(), "an unwanted wake-up led to {did:?}");
            out.extend(did);
        }
        self.now = end;
        out
    }

    pub fn list(&mut self, whole: bool, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.give(Event::Servers { whole, entries: entries.into() })
    }

    pub fn ask(&mut self, r: Request) -> Vec<Action> {
        self.give(Event::Request(r))
    }

    pub fn ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome, took_ms: Millis) -> Vec<Action> {
        let settled = outcome == Outcome::Ok;
        let load = Load::default();
        self.give(Event::AttemptEnded { id, attempt, outcome, took_ms, settled, units: None, load })
    }
}

pub fn sent(actions: &[Action]) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Several limiters and the messages between them: late, perhaps lost, in any order that delays give.
pub struct Net {
    pub rigs: Vec<Rig>,
    pub now: Millis,
    mail: Vec<(Millis, u32, u32, Vec<u8>)>,
    rng: fastrand::Rng,
    pub loss: f64,
    pub delay_ms: (Millis, Millis),
    /// Nothing happens at a limiter before this moment.
    pub stalled: Vec<Millis>,
    pub told: u32,
}

impl Net {
    pub fn new(all: Vec<Settings>, servers: u32, seed: u64) -> Self {
        let rigs: Vec<Rig> = all.into_iter().map(|s| Rig::new(s, servers)).collect();
        let (now, stalled) = (rigs[0].now, vec![0.0; rigs.len()]);
        let rng = fastrand::Rng::with_seed(seed);
        Net { rigs, now, mail: Vec::new(), rng, loss: 0.0, delay_ms: (2.0, 10.0), stalled, told: 0 }
    }

    /// Posts what a limiter tells; gives its other actions back.
    fn post(&mut self, from: usize, actions: Vec<Action>) -> Vec<Action> {
        let mut rest = Vec::new();
        for a in actions {
            let Action::SendMessage { to: Some(to), body } = a else {
                rest.push(a);
                continue;
            };
            self.told += 1;
            assert!(body.len() <= 256, "a message of {} bytes", body.len());
            if self.rng.f64() >= self.loss {
                let late = self.delay_ms.0 + self.rng.f64() * (self.delay_ms.1 - self.delay_ms.0);
                self.mail.push((self.now + late, from as u32, to, body));
            }
        }
        rest
    }

    pub fn give(&mut self, limiter: usize, event: Event) -> Vec<Action> {
        self.rigs[limiter].now = self.rigs[limiter].now.max(self.now);
        let actions = self.rigs[limiter].give(event);
        self.post(limiter, actions)
    }

    /// The first attempt of a request has served it.
    pub fn served(&mut self, limiter: usize, id: RequestId, took_ms: Millis) {
        let (attempt, outcome, load) = (0, Outcome::Ok, Load::default());
        self.give(
            limiter,
            Event::AttemptEnded { id, attempt, outcome, took_ms, settled: true, units: None, load },
        );
    }

    /// Lets time pass in steps of a round; what each limiter did comes back with its position.
    pub fn pass(&mut self, ms: Millis) -> Vec<(usize, Action)> {
        let mut out = Vec::new();
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 4.0).min(end);
            for p in 0..self.rigs.len() {
                if self.now < self.stalled[p] {
                    continue;
                }
                let step = (self.now - self.rigs[p].now).max(0.0);
                let mut actions = self.rigs[p].pass(step);
                let (due, later) = std::mem::take(&mut self.mail)
                    .into_iter()
                    .partition(|m| m.2 == p as u32 && m.0 <= self.now);
                self.mail = later;
                for (_, from, _, body) in due {
                    actions.extend(self.rigs[p].give(Event::MessageReceived { from, body }));
                }
                out.extend(self.post(p, actions).into_iter().map(|a| (p, a)));
            }
        }
        out
    }

    pub fn restart(&mut self, p: usize, settings: Settings, servers: u32, seed: u64) {
        let limiter = Limiter::new(settings, seed, self.now).expect("legal settings");
        self.rigs[p] = Rig { limiter, now: self.now, wakes: BinaryHeap::new(), asked: 0 };
        self.rigs[p].list(true, (0..servers).map(entry).collect());
    }
}
