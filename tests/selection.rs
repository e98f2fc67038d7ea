//! The choice of a server by index against the choice by a check of every server: two limiters with the same seed
//! get the same events in random order (fixed seeds), and everything that they do and export must be equal.
//! `cargo test -p fawnhill --features planted --test selection`.
#![cfg(feature = "planted")]

use std::collections::{BTreeMap, BTreeSet};

use fawnhill::planted::{self, Fault};
use fawnhill::*;

/// Worlds that are played, and events in each.
const WORLDS: u64 = 160;
const EVENTS: u32 = 4000;
/// Events after which the exported states are compared.
const EVENTS_PER_EXPORT: u32 = 50;
/// Time without any events, after which old answers of a server count no more.
const LONG_PAUSE_MS: Millis = 600_000.0;

/// Longest time between two events while all servers are ejected.
const OUTAGE_PACE_MS: Millis = 300.0;

/// What the servers of a world do for a while.
#[derive(Debug, Clone, Copy)]
enum Mood {
    /// Nearly all attempts are answered.
    Healthy,
    /// No connection can be opened.
    Unreachable,
    /// Attempts are not answered.
    Hanging,
    /// Attempts end with errors or broken connections.
    Failing,
    /// Servers refuse attempts as full.
    Full,
    /// All outcomes are equally likely.
    Mixed,
}

const MOODS: [Mood; 6] =
    [Mood::Healthy, Mood::Unreachable, Mood::Hanging, Mood::Failing, Mood::Full, Mood::Mixed];

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Severed,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// What happened in a world, so that the test shows what it covers.
#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    refused: u64,
    failed: u64,
    ejections: u64,
    /// Servers checked by the scan and with the index.
    checked: [u64; 2],
}

/// Two limiters that get the same events, and what is outstanding at them.
struct World {
    rng: fastrand::Rng,
    now: Millis,
    settings: Settings,
    scanning: Limiter,
    indexed: Limiter,
    servers: u32,
    mood: Mood,
    /// Response times: the shortest, and the range above it.
    response_ms: (Millis, Millis),
    /// Longest time between two events. In a slow world requests are few, in a fast one all servers are soon ejected.
    pace_ms: Millis,
    next_id: RequestId,
    open: BTreeSet<RequestId>,
    attempt_counts: BTreeMap<RequestId, u32>,
    outstanding: Vec<(RequestId, u32)>,
    wakes: Vec<(Millis, u64)>,
    counts: Counts,
}

fn class(effect: Effect, group: KeyGroup) -> Class {
    Class { aim_ms: 1000.0, late_worth: 0.5, effect, group, window_ms: 60_000.0 }
}

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let limiters = [1, 2, 3, 10, 52][rng.usize(0..5)];
    Settings {
        limiters,
        position: rng.u32(0..limiters),
        zone: 0,
        classes: vec![
            class(Effect::Safe, KeyGroup::All),
            class(Effect::Keyed, KeyGroup::All),
            class(Effect::Keyed, KeyGroup::Zone),
            class(Effect::Keyed, KeyGroup::Cell),
            class(Effect::Unsafe, KeyGroup::All),
        ],
        plans: vec![Plan {
            rate: 0.0,
            burst: 0.0,
            open: 0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
        }],
        round_ms: 1.0,
        max_attempts: 3,
        connect_timeout_ms: 250.0,
        may_probe: false,
        may_tell: false,
        may_cancel: true,
        may_advise: true,
        messages_per_s: 0.0,
        must_subscribe: false,
        cold_share: 0.2,
        cold_ms: 10_000.0,
        fall_multiple: 3.0,
        fall_ms: 2000.0,
        firms: 1000,
    }
}

/// Does something with the choice by a check of every server.
fn scanning<R>(act: impl FnOnce() -> R) -> R {
    planted::activate(Some(Fault::Scan));
    let result = act();
    planted::activate(None);
    result
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut rng);
        let limiter = || Limiter::new(settings.clone(), seed, 0.0).expect("valid settings");
        let servers = [1, 2, 5, 30, 60, 90, 150, 400][rng.usize(0..8)];
        let pace_ms = [0.5, 3.0, 20.0][rng.usize(0..3)];
        let response_ms = [(0.1, 0.5), (0.5, 2.0), (10.0, 0.0), (5.0, 50.0)][rng.usize(0..4)];
        let mut world = World {
            now: 0.0,
            scanning: limiter(),
            indexed: limiter(),
            servers,
            mood: Mood::Healthy,
            response_ms,
            pace_ms,
            next_id: 1,
            open: BTreeSet::new(),
            attempt_counts: BTreeMap::new(),
            outstanding: Vec::new(),
            wakes: Vec::new(),
            counts: Counts::default(),
            rng,
            settings,
        };
        let all = (0..servers).map(|n| world.entry(n)).collect();
        world.handle(Event::Servers { whole: true, entries: all });
        world
    }

    fn entry(&mut self, n: u32) -> ServerEntry {
        let rng = &mut self.rng;
        let condition = match rng.u32(0..20) {
            0 | 1 => Condition::Draining,
            _ => Condition::Serving,
        };
        // Some have started just now and are cold.
        let started = if rng.u32(0..10) == 0 { self.now - rng.f64() * 2000.0 } else { 0.0 };
        ServerEntry {
            server: format!("s-{n:04}").into(),
            zone: n % 2,
            cell: n % 4,
            condition,
            weight: [0.05, 0.5, 1.0, 1.0, 1.0, 2.0][rng.usize(0..6)],
            started,
        }
    }

    /// Passes an event to both limiters, compares what they do, and records it.
    fn handle(&mut self, event: Event) {
        let (mut expected, mut actions) = (Vec::new(), Vec::new());
        let start = planted::checks_counted();
        scanning(|| self.scanning.handle(self.now, event.clone(), &mut expected));
        let between = planted::checks_counted();
        self.indexed.handle(self.now, event.clone(), &mut actions);
        self.counts.checked[0] += between - start;
        self.counts.checked[1] += planted::checks_counted() - between;
        assert_eq!(expected, actions, "at {} ms: {event:?}", self.now);
        let mut cancelled = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, .. } => {
                    let count = self.attempt_counts.entry(id).or_default();
                    self.outstanding.push((id, *count));
                    *count += 1;
                    self.counts.sent += 1;
                }
                Action::Cancel { id, attempt } => cancelled.push((id, attempt)),
                Action::Refuse { id, .. } => {
                    self.open.remove(&id);
                    self.counts.refused += 1;
                }
                Action::Fail { id } => {
                    self.open.remove(&id);
                    self.counts.failed += 1;
                }
                Action::Wake { after_ms, token } => self.wakes.push((self.now + after_ms, token)),
                Action::Log(line) => self.counts.ejections += u64::from(line.contains("ejected")),
                _ => {}
            }
        }
        for attempt in cancelled {
            if let Some(at) = self.outstanding.iter().position(|a| *a == attempt) {
                self.outstanding.swap_remove(at);
                self.end_attempt(attempt, Outcome::Cancelled);
            }
        }
    }

    fn end_attempt(&mut self, (id, attempt): (RequestId, u32), outcome: Outcome) {
        let took_ms = self.response_ms.0 + self.rng.f64() * self.response_ms.1;
        let settled = outcome == Outcome::Ok || !self.open.contains(&id);
        if settled {
            self.open.remove(&id);
        }
        let load = Load::default();
        self.handle(Event::AttemptEnded { id, attempt, outcome, took_ms, settled, units: None, load });
    }

    fn outcome(&mut self) -> Outcome {
        let any = OUTCOMES[self.rng.usize(0..OUTCOMES.len())];
        let usual = match self.mood {
            Mood::Healthy => Outcome::Ok,
            Mood::Unreachable => Outcome::NoConnection,
            Mood::Hanging => Outcome::TimedOut,
            Mood::Failing if self.rng.bool() => Outcome::Error,
            Mood::Failing => Outcome::Severed,
            Mood::Full => Outcome::Full,
            Mood::Mixed => any,
        };
        if self.rng.u32(0..50) == 0 {
            any
        } else {
            usual
        }
    }

    /// Lets time pass and delivers the wake-ups that are due, in their order.
    fn advance(&mut self, by: Millis) {
        let until = self.now + by;
        loop {
            let due = self.wakes.iter().enumerate().min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            let Some((at, (time, token))) = due.map(|(at, wake)| (at, *wake)).filter(|(_, w)| w.0 <= until)
            else {
                break;
            };
            self.wakes.swap_remove(at);
            self.now = self.now.max(time);
            if self.indexed.wake_is_needed(token) {
                self.handle(Event::Wake { token });
            }
        }
        self.now = until;
    }

    fn submit(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        self.open.insert(id);
        let class = self.rng.usize(0..self.settings.classes.len());
        let units = f64::from(self.rng.u32(1..4));
        let customer = self.rng.u64(0..10);
        self.handle(Event::Request(Request {
            id,
            class,
            plan: 0,
            customer,
            budget_ms: 3000.0,
            units,
            spread: 1,
            first: 0,
        }));
    }

    fn change_list(&mut self) {
        let whole = self.rng.u32(0..20) == 0;
        let count = if whole { self.servers } else { self.rng.u32(1..4) };
        let entries: Vec<_> = (0..count)
            .filter_map(|n| {
                // A few more than at first, so that some join; a whole list leaves some out.
                let n = if whole { n } else { self.rng.u32(0..self.servers + 3) };
                let mut entry = self.entry(n);
                match self.rng.u32(0..20) {
                    0 if whole => return None,
                    0 | 1 if !whole => entry.condition = Condition::Gone,
                    2 => (entry.zone, entry.cell) = (self.rng.u32(0..3), self.rng.u32(0..5)),
                    _ => {}
                }
                Some(entry)
            })
            .collect();
        self.handle(Event::Servers { whole, entries: entries.into() });
    }

    /// Ejects all servers for longer than the world lasts. Their answers are of different numbers and ages, and lose
    /// their weight one after another.
    fn eject_all(&mut self) {
        let mut state = self.indexed.export_state(self.now);
        for (_, server) in &mut state.servers {
            server.ejected = (LONG_PAUSE_MS * 100.0, 8000.0);
            server.latency = self.rng.f64() * 100.0;
            server.answers.0 = (self.rng.f64() * 20.0 - 10.0).exp();
        }
        state.feedback.figures[0] = 20.0;
        for limiter in [&mut self.scanning, &mut self.indexed] {
            limiter.import_state(self.now, &state, true);
        }
    }

    /// Replaces both limiters by others that import their state.
    fn hand_over(&mut self, seed: u64) {
        let all: std::sync::Arc<[_]> = (0..self.servers).map(|n| self.entry(n)).collect();
        let state = self.indexed.export_state(self.now);
        (self.open, self.outstanding, self.wakes) = Default::default();
        let limiter = || Limiter::new(self.settings.clone(), seed, self.now).expect("valid settings");
        (self.scanning, self.indexed) = (limiter(), limiter());
        self.handle(Event::Servers { whole: true, entries: all });
        for limiter in [&mut self.scanning, &mut self.indexed] {
            limiter.import_state(self.now, &state, true);
        }
    }

    /// Whether there are pauses without events, and other processes that take over.
    fn has_pauses(&self) -> bool {
        self.pace_ms > 1.0 && self.pace_ms < OUTAGE_PACE_MS
    }

    fn step(&mut self, n: u32) {
        match self.rng.u32(0..1000) {
            0..=1 => self.mood = MOODS[self.rng.usize(0..MOODS.len())],
            4 if self.has_pauses() => {
                let by = self.rng.f64() * LONG_PAUSE_MS;
                self.advance(by);
            }
            5 if self.has_pauses() => self.hand_over(u64::from(n)),
            6..=10 => self.change_list(),
            11..=15 => {
                if let Some(id) = self.open.pop_first() {
                    self.handle(Event::ClientDisconnected { id });
                }
            }
            16..=420 => self.submit(),
            421..=760 if !self.outstanding.is_empty() => {
                let at = self.rng.usize(0..self.outstanding.len());
                let attempt = self.outstanding.swap_remove(at);
                let outcome = self.outcome();
                self.end_attempt(attempt, outcome);
            }
            _ => {
                let by = self.rng.f64() * self.pace_ms;
                self.advance(by);
            }
        }
        if n.is_multiple_of(EVENTS_PER_EXPORT) {
            let states = [&self.scanning, &self.indexed].map(|limiter| limiter.export_state(self.now));
            assert_eq!(states[0], states[1], "at {} ms", self.now);
            let avoided = [&self.scanning, &self.indexed].map(|limiter| limiter.avoided_servers(self.now));
            assert_eq!(avoided[0], avoided[1], "at {} ms", self.now);
        }
    }
}

/// A single test, since a planted fault affects the whole process.
#[test]
fn index_and_scan_choose_the_same_servers() {
    let mut total = Counts::default();
    for seed in 0..WORLDS {
        let mut world = World::new(seed);
        if seed.is_multiple_of(4) {
            (world.mood, world.pace_ms) = (Mood::Unreachable, OUTAGE_PACE_MS);
            world.eject_all();
        }
        for n in 0..EVENTS {
            world.step(n);
        }
        total.sent += world.counts.sent;
        total.refused += world.counts.refused;
        total.failed += world.counts.failed;
        total.ejections += world.counts.ejections;
        for which in 0..2 {
            total.checked[which] += world.counts.checked[which];
        }
    }
    println!("{WORLDS} worlds of {EVENTS} events: {total:?}");
    assert!(total.sent > 10_000 && total.refused > 10_000 && total.failed > 1000 && total.ejections > 1000);
    assert!(total.checked[1] < total.checked[0], "the index saves no checks: {:?}", total.checked);
}
