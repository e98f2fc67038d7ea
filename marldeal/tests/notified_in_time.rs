//! Notified in time: whatever order of events a watch on the list of servers meets, the limiter has read what
//! discovery holds at the latest 6 s after discovery had it and could be reached.
//!
//! The simulated source runs against the real decisions (`WatchController`, `RegistryBackoff`, `WatchDecoder`)
//! under a simulated clock. The judge knows only what the source knows: from when on the limiter cannot have
//! read the present list, and when it reads one again. A change counts as made at the worst moment, right when
//! the watch stops to carry changes. The clocks of the operators' terms:
//!
//! - 6 s from a reset, a failed or refused call, a new start of the list;
//! - 6 s from when a watch falls silent;
//! - 6 s from when discovery can be reached again: its return, or the call that it did not receive;
//! - 4 s from a reload that names another address.
//!
//! `MARLDEAL_FULL=1` plays every combination of the spacings instead of equal ones.

use std::collections::VecDeque;

use marldeal::upstream::framing::{WatchDecoder, WatchMessage};
use marldeal::upstream::registry_backoff::RegistryBackoff;
use marldeal::upstream::watch_controller::{CallId, Millis, StartReason, Step, WatchController, WatchSource};

/// The longest time from when discovery has a change and can be reached until the limiter has read it.
const NOTICE_MS: Millis = 6000.0;
/// The same after a reload that names another address.
const RELOAD_NOTICE_MS: Millis = 4000.0;
/// How long after a reload the old address keeps its watches open.
const OLD_ADDRESS_MS: Millis = 1500.0;
const HEARTBEAT_MS: Millis = 2000.0;
/// From the head of an answer to its first list: usually, and where the source is slow to write it.
const FIRST_LIST_MS: Millis = 5.0;
const SLOW_FIRST_LIST_MS: Millis = 500.0;
/// Between the pieces of a list.
const PIECE_INTERVAL_MS: Millis = 400.0;
/// A run that has not ended by then counts as never notified.
const LONGEST_RUN_MS: Millis = 60_000.0;
/// Drain grace of the limiter, from which the interval of calls to an agent follows.
const GRACE_MS: Millis = 1000.0;

const LINE: &str = "{\"version\":7,\"full\":true,\"servers\":[{\"id\":\"s-1\"}]}\n";
const PIECES: [&str; 3] =
    ["{\n  \"version\": 8,\n  \"servers\": [", "\n    {\n      \"id\": \"s-1\"\n", "    }\n  ]\n}\n"];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The next call is refused.
    CallRefused,
    /// The next call is answered with an error.
    CallFails,
    /// The next call never reaches the source and is never answered.
    CallSwallowed,
    /// The next call opens a watch whose first list comes half a second later.
    OpenedBeforeList,
    /// The watch falls silent.
    Silent,
    /// The watch is reset.
    Reset,
    /// The source sends its whole list.
    List,
    /// The source sends an indented list in pieces.
    ListInPieces,
    /// The source sends a change.
    Update,
    /// Discovery falls silent and receives nothing.
    Away,
    /// Discovery can be reached again. Watches from before are of no further use.
    Back,
    /// The limiter wants the list from the start.
    Restart,
    /// SIGHUP with another address.
    Reload,
}

const EVENTS: [Event; 13] = [
    Event::CallRefused,
    Event::CallFails,
    Event::CallSwallowed,
    Event::OpenedBeforeList,
    Event::Silent,
    Event::Reset,
    Event::List,
    Event::ListInPieces,
    Event::Update,
    Event::Away,
    Event::Back,
    Event::Restart,
    Event::Reload,
];

/// Just below and above each time-out of the controller, and at once.
const SPACINGS_MS: [Millis; 13] =
    [0.0, 49.0, 51.0, 249.0, 251.0, 649.0, 651.0, 1199.0, 1999.0, 2999.0, 3001.0, 4999.0, 5001.0];
/// The spacings that the full form combines.
const COMBINED_SPACINGS_MS: [Millis; 5] = [0.0, 51.0, 651.0, 2999.0, 3001.0];

/// A fault built into the controller, which the judge has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlantedFault {
    /// The watch counts as silent only after 8 s.
    LongSilence,
    /// A watch that was reset is not reopened.
    ResetNotNoticed,
}

/// What a call gets.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Served { first_list_ms: Millis },
    Refused,
    Fails,
    Swallowed,
}

struct Call {
    id: CallId,
    fate: Fate,
    done_at: Millis,
}

struct Watch {
    id: CallId,
    decoder: WatchDecoder,
    silent: bool,
    next_heartbeat: Millis,
    /// Text on its way, and whether it ends with the present list.
    sending: VecDeque<(Millis, &'static str, bool)>,
    ends_at: Millis,
}

/// The limiter's side and the network of one address.
struct Connection {
    controller: WatchController,
    calls: Vec<Call>,
    watch: Option<Watch>,
    /// While not reloaded away from.
    current: bool,
    /// With a planted fault: the controller does nothing any more.
    stuck: bool,
}

/// Which deployment is played.
#[derive(Debug, Clone, Copy)]
enum Deployment {
    Agent,
    Registry { limiters: u32 },
}

impl Deployment {
    fn source(self, seed: u64) -> WatchSource {
        match self {
            Deployment::Agent => WatchSource::agent(GRACE_MS),
            Deployment::Registry { limiters } => WatchSource::Registry(RegistryBackoff::new(limiters, seed)),
        }
    }

    /// From a call to the head of its answer.
    fn answer_ms(self) -> Millis {
        match self {
            Deployment::Agent => 5.0,
            Deployment::Registry { .. } => 50.0,
        }
    }
}

/// The longest time without the present list, by the limit that holds for it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Worst {
    usual_ms: Millis,
    after_reload_ms: Millis,
}

impl Worst {
    fn breaks_a_limit(&self) -> bool {
        self.usual_ms > NOTICE_MS || self.after_reload_ms > RELOAD_NOTICE_MS
    }
}

/// The time since which the limiter cannot have read the present list.
#[derive(Debug, Clone, Copy)]
struct Stale {
    since: Millis,
    reloaded: bool,
}

struct Simulation {
    deployment: Deployment,
    fault: Option<PlantedFault>,
    seed: u64,
    now: Millis,
    away: bool,
    fates: VecDeque<Fate>,
    connections: Vec<Connection>,
    stale: Option<Stale>,
    worst: Worst,
}

impl Simulation {
    /// A limiter whose watch has just received a heartbeat.
    fn with_open_watch(deployment: Deployment, fault: Option<PlantedFault>, seed: u64) -> Simulation {
        let mut simulation = Simulation::starting(deployment, fault, seed, StartReason::NoList);
        simulation.run_until_notified();
        let heartbeat = simulation.connections[0].watch.as_ref().map_or(0.0, |w| w.next_heartbeat);
        simulation.run_until(heartbeat + 1.0);
        simulation.worst = Worst::default();
        simulation
    }

    /// A limiter that starts.
    fn starting(
        deployment: Deployment,
        fault: Option<PlantedFault>,
        seed: u64,
        reason: StartReason,
    ) -> Simulation {
        let mut simulation = Simulation {
            deployment,
            fault,
            seed,
            now: 0.0,
            away: false,
            fates: VecDeque::new(),
            connections: Vec::new(),
            stale: Some(Stale { since: 0.0, reloaded: false }),
            worst: Worst::default(),
        };
        simulation.connect(reason);
        simulation
    }

    fn connect(&mut self, reason: StartReason) {
        let source = self.deployment.source(self.seed + self.connections.len() as u64);
        let controller = WatchController::new(source, self.now, reason);
        self.connections.iter_mut().for_each(|c| c.current = false);
        self.connections.push(Connection {
            controller,
            calls: Vec::new(),
            watch: None,
            current: true,
            stuck: false,
        });
    }

    /// The limiter cannot read the present list from now on; an earlier moment stands.
    fn becomes_stale(&mut self) {
        self.stale.get_or_insert(Stale { since: self.now, reloaded: false });
    }

    /// What the limiter misses counts from now on, since it could not be had before.
    fn clock_restarts(&mut self) {
        if let Some(stale) = &mut self.stale {
            *stale = Stale { since: self.now, reloaded: false };
        }
    }

    /// The limiter has read the present list.
    fn notified(&mut self) {
        let Some(stale) = self.stale.take() else { return };
        let took_ms = self.now - stale.since;
        let worst = if stale.reloaded { &mut self.worst.after_reload_ms } else { &mut self.worst.usual_ms };
        *worst = worst.max(took_ms);
    }

    fn apply(&mut self, event: Event) {
        let served_late = Fate::Served { first_list_ms: SLOW_FIRST_LIST_MS };
        match event {
            Event::CallRefused => self.fates.push_back(Fate::Refused),
            Event::CallFails => self.fates.push_back(Fate::Fails),
            Event::CallSwallowed => self.fates.push_back(Fate::Swallowed),
            Event::OpenedBeforeList => self.fates.push_back(served_late),
            Event::Silent => self.fall_silent(),
            Event::Reset => {
                if let Some(watch) = self.current().watch.as_mut() {
                    watch.ends_at = 0.0;
                    self.becomes_stale();
                }
            }
            Event::List | Event::Update => self.send(&[LINE]),
            Event::ListInPieces => self.send(&PIECES),
            Event::Away => {
                self.away = true;
                self.connections.iter_mut().filter_map(|c| c.watch.as_mut()).for_each(|w| w.silent = true);
                self.connections.iter_mut().flat_map(|c| &mut c.calls).for_each(|c| c.swallow());
                self.becomes_stale();
            }
            Event::Back => {
                if std::mem::replace(&mut self.away, false) {
                    self.clock_restarts();
                }
            }
            Event::Restart => {
                for connection in &mut self.connections {
                    for id in connection.controller.restart(self.now) {
                        connection.close(id);
                    }
                }
                self.becomes_stale();
            }
            Event::Reload => {
                let ends_at = self.now + OLD_ADDRESS_MS;
                self.connections
                    .iter_mut()
                    .filter_map(|c| c.watch.as_mut())
                    .for_each(|w| w.ends_at = ends_at);
                self.connect(StartReason::NewAddress);
                self.stale = Some(Stale { since: self.now, reloaded: true });
            }
        }
    }

    /// A watch that falls silent tells nothing from now on: the clock of 6 s begins here.
    fn fall_silent(&mut self) {
        if let Some(watch) = self.current().watch.as_mut().filter(|w| !w.silent) {
            watch.silent = true;
            self.becomes_stale();
            self.clock_restarts();
        }
    }

    fn send(&mut self, pieces: &[&'static str]) {
        let now = self.now;
        let Some(watch) = self.current().watch.as_mut().filter(|w| !w.silent) else { return };
        let start = watch.sending.back().map_or(now, |(at, ..)| at.max(now));
        for (n, piece) in pieces.iter().enumerate() {
            let at = start + PIECE_INTERVAL_MS * n as f64;
            watch.sending.push_back((at, piece, n + 1 == pieces.len()));
        }
        self.becomes_stale();
    }

    fn current(&mut self) -> &mut Connection {
        self.connections.last_mut().expect("a source")
    }

    fn next_due(&self) -> Millis {
        self.connections.iter().map(|c| c.next_due(self.fault)).fold(f64::INFINITY, f64::min)
    }

    fn run_until(&mut self, end: Millis) {
        loop {
            self.settle();
            let next = self.next_due().max(self.now);
            if next > end {
                break;
            }
            self.now = next;
        }
        self.now = end;
    }

    fn run_until_notified(&mut self) {
        let end = self.now + LONGEST_RUN_MS;
        self.settle();
        while self.stale.is_some() && self.now < end {
            self.now = self.next_due().max(self.now).min(end);
            self.settle();
        }
        self.notified();
    }

    /// Does everything that is due now.
    fn settle(&mut self) {
        for _ in 0..100 {
            let mut busy = false;
            let mut n = 0;
            // A delivered list removes the connections before its own.
            while n < self.connections.len() {
                busy |= self.step_controller(n) | self.finish_calls(n) | self.deliver(n);
                n += 1;
            }
            if !busy {
                return;
            }
        }
        panic!("the controller does not come to rest at {} ms", self.now);
    }

    fn step_controller(&mut self, n: usize) -> bool {
        let (now, fault) = (self.now, self.fault);
        let Some(step) = self.connections[n].step(now, fault) else { return false };
        match step {
            Step::Close(id, _) => self.connections[n].close(id),
            Step::Begin(id) => {
                let current = self.connections[n].current;
                let usual = Fate::Served { first_list_ms: FIRST_LIST_MS };
                let fate = match (self.away, current) {
                    (true, _) => Fate::Swallowed,
                    (false, false) => Fate::Refused,
                    (false, true) => self.fates.pop_front().unwrap_or(usual),
                };
                if fate == Fate::Swallowed && current {
                    self.clock_restarts();
                }
                let done_at = match fate {
                    Fate::Served { .. } | Fate::Fails => now + self.deployment.answer_ms(),
                    Fate::Refused => now,
                    Fate::Swallowed => f64::INFINITY,
                };
                self.connections[n].calls.push(Call { id, fate, done_at });
            }
        }
        true
    }

    fn finish_calls(&mut self, n: usize) -> bool {
        let now = self.now;
        let connection = &mut self.connections[n];
        let Some(at) = connection.calls.iter().position(|c| c.done_at <= now) else { return false };
        let call = connection.calls.remove(at);
        match call.fate {
            Fate::Served { first_list_ms } => {
                if connection.controller.answered(now, call.id) {
                    connection.watch = Some(Watch {
                        id: call.id,
                        decoder: WatchDecoder::default(),
                        silent: false,
                        next_heartbeat: now + HEARTBEAT_MS,
                        sending: [(now + first_list_ms, LINE, true)].into(),
                        ends_at: f64::INFINITY,
                    });
                }
            }
            _ => connection.controller.ended(now, call.id),
        }
        true
    }

    /// Delivers what the watch sends, and its end.
    fn deliver(&mut self, n: usize) -> bool {
        let (now, fault) = (self.now, self.fault);
        let connection = &mut self.connections[n];
        let Some(watch) = &mut connection.watch else { return false };
        if watch.ends_at <= now {
            let id = watch.id;
            connection.watch = None;
            match fault {
                Some(PlantedFault::ResetNotNoticed) => connection.stuck = true,
                _ => connection.controller.ended(now, id),
            }
            return true;
        }
        if watch.silent {
            return false;
        }
        let (text, complete) = match watch.sending.front() {
            Some((at, text, complete)) if *at <= now => (*text, *complete),
            None if watch.next_heartbeat <= now => ("\n", false),
            _ => return false,
        };
        match watch.sending.pop_front() {
            Some(_) => watch.next_heartbeat = now + HEARTBEAT_MS,
            None => watch.next_heartbeat += HEARTBEAT_MS,
        }
        watch.decoder.push(text.as_bytes());
        let mut has_list = false;
        while let Some(message) = watch.decoder.next_message().expect("valid messages") {
            has_list |= message != WatchMessage::Heartbeat;
            connection.controller.message_received(now, message != WatchMessage::Heartbeat);
        }
        let all_sent = watch.sending.is_empty();
        if has_list {
            // A newer source has told: the older ones are watched no more.
            self.connections.drain(..n);
            if complete && all_sent && self.connections[0].current {
                self.notified();
            }
        }
        true
    }
}

impl Call {
    fn swallow(&mut self) {
        (self.fate, self.done_at) = (Fate::Swallowed, f64::INFINITY);
    }
}

impl Connection {
    fn close(&mut self, id: CallId) {
        self.calls.retain(|c| c.id != id);
        self.watch.take_if(|w| w.id == id);
    }

    fn next_due(&self, fault: Option<PlantedFault>) -> Millis {
        let calls = self.calls.iter().map(|c| c.done_at);
        let watch = self.watch.iter().flat_map(|w| {
            let sends = w.sending.front().map_or(w.next_heartbeat, |(at, ..)| *at);
            [w.ends_at, if w.silent { f64::INFINITY } else { sends }]
        });
        let decision = match fault {
            _ if self.stuck => f64::INFINITY,
            Some(PlantedFault::LongSilence) if self.watch.is_some() => self.silence_ends_late(),
            _ => self.controller.next_due(),
        };
        calls.chain(watch).chain([decision]).fold(f64::INFINITY, f64::min)
    }

    /// With the planted fault, a silent watch is noticed this late.
    fn silence_ends_late(&self) -> Millis {
        self.controller.next_due() + 5000.0
    }

    fn step(&mut self, now: Millis, fault: Option<PlantedFault>) -> Option<Step> {
        let watched = self.watch.is_some();
        if self.stuck || fault == Some(PlantedFault::LongSilence) && watched && now < self.silence_ends_late()
        {
            return None;
        }
        self.controller.step(now)
    }
}

/// Plays an order of events on an open watch, and returns the longest times without the present list.
fn play(simulation: &mut Simulation, order: &[Event], spacings: &[Millis]) -> Worst {
    for (n, event) in order.iter().enumerate() {
        if n > 0 {
            simulation.run_until(simulation.now + spacings[n - 1]);
        }
        simulation.apply(*event);
    }
    if simulation.away {
        simulation.run_until(simulation.now + 1000.0);
        simulation.apply(Event::Back);
    }
    simulation.run_until_notified();
    simulation.worst
}

fn orders() -> impl Iterator<Item = [Event; 4]> {
    let digit = |number: usize, place: u32| EVENTS[number / EVENTS.len().pow(place) % EVENTS.len()];
    (0..EVENTS.len().pow(4)).map(move |n| [digit(n, 3), digit(n, 2), digit(n, 1), digit(n, 0)])
}

fn spacings() -> Vec<[Millis; 3]> {
    if std::env::var_os("MARLDEAL_FULL").is_none() {
        return SPACINGS_MS.iter().map(|ms| [*ms; 3]).collect();
    }
    let all = || COMBINED_SPACINGS_MS.into_iter();
    all().flat_map(|a| all().flat_map(move |b| all().map(move |c| [a, b, c]))).collect()
}

/// The result of all orders of a deployment.
#[derive(Debug, Default)]
struct Summary {
    runs: usize,
    broken: usize,
    usual: (Millis, String),
    after_reload: (Millis, String),
}

fn play_all(deployment: Deployment, fault: Option<PlantedFault>) -> Summary {
    let mut summary = Summary::default();
    let spacings = spacings();
    for order in orders() {
        for spacing in &spacings {
            let seed = summary.runs as u64;
            let mut simulation = Simulation::with_open_watch(deployment, fault, seed);
            let worst = play(&mut simulation, &order, spacing);
            summary.runs += 1;
            summary.broken += usize::from(worst.breaks_a_limit());
            let named = |ms: Millis| (ms, format!("{order:?} spaced {spacing:?} ms, seed {seed}"));
            if worst.usual_ms > summary.usual.0 {
                summary.usual = named(worst.usual_ms);
            }
            if worst.after_reload_ms > summary.after_reload.0 {
                summary.after_reload = named(worst.after_reload_ms);
            }
        }
    }
    println!(
        "{deployment:?}: {} runs, {} over a limit; worst {:.0} ms ({}); after a reload {:.0} ms ({})",
        summary.runs,
        summary.broken,
        summary.usual.0,
        summary.usual.1,
        summary.after_reload.0,
        summary.after_reload.1
    );
    summary
}

fn assert_all_in_time(deployment: Deployment) {
    let summary = play_all(deployment, None);
    assert_eq!(summary.broken, 0, "{summary:?}");
    assert!(summary.usual.0 > 1000.0 || matches!(deployment, Deployment::Agent), "too easy: {summary:?}");
}

#[test]
fn changes_from_an_agent_are_read_in_time_in_every_order_of_four_events() {
    assert_all_in_time(Deployment::Agent);
}

#[test]
fn changes_from_the_registry_of_a_small_tier_are_read_in_time_in_every_order_of_four_events() {
    assert_all_in_time(Deployment::Registry { limiters: 12 });
}

#[test]
fn changes_from_the_registry_of_a_large_tier_are_read_in_time_in_every_order_of_four_events() {
    assert_all_in_time(Deployment::Registry { limiters: 300 });
}

/// A limiter that starts, with or without a known list, while up to three calls are refused.
#[test]
fn a_limiter_that_starts_reads_the_list_in_time() {
    for deployment in
        [Deployment::Agent, Deployment::Registry { limiters: 12 }, Deployment::Registry { limiters: 300 }]
    {
        for reason in [StartReason::NoList, StartReason::KnownList] {
            for (refused, seed) in (0..4).flat_map(|refused| (0..100).map(move |seed| (refused, seed))) {
                let mut simulation = Simulation::starting(deployment, None, seed, reason);
                simulation.fates.extend(std::iter::repeat_n(Fate::Refused, refused));
                simulation.run_until_notified();
                assert!(
                    !simulation.worst.breaks_a_limit(),
                    "{deployment:?}, {reason:?}, {refused} refused, seed {seed}: {:?}",
                    simulation.worst
                );
            }
        }
    }
}

/// A registry that takes 4.5 s for each answer is heard: a call is not given up for a later one.
#[test]
fn a_slow_registry_is_heard() {
    for limiters in [3, 12, 300] {
        let source = WatchSource::Registry(RegistryBackoff::new(limiters, 1));
        let mut controller = WatchController::new(source, 0.0, StartReason::NoList);
        let (mut now, mut answers): (Millis, VecDeque<(Millis, CallId)>) = (0.0, VecDeque::new());
        let heard_at = loop {
            while let Some(step) = controller.step(now) {
                match step {
                    Step::Begin(id) => answers.push_back((now + 4500.0, id)),
                    Step::Close(id, _) => answers.retain(|(_, call)| *call != id),
                }
            }
            let first = answers.front().map_or(f64::INFINITY, |(at, _)| *at);
            now = controller.next_due().min(first).max(now);
            if first <= now && controller.answered(now, answers.pop_front().expect("an answer").1) {
                break now;
            }
            assert!(now < LONGEST_RUN_MS, "{limiters} limiters: never heard");
        };
        assert!(heard_at <= NOTICE_MS, "{limiters} limiters: heard after {heard_at} ms");
    }
}

/// The check can fail: a controller with a longer limit for silence, and one that does not reopen after a
/// reset, both break the limit.
#[test]
fn planted_faults_are_found() {
    let found = |fault, order: [Event; 4]| {
        let mut simulation = Simulation::with_open_watch(Deployment::Agent, Some(fault), 1);
        play(&mut simulation, &order, &[0.0; 3]).breaks_a_limit()
    };
    let quiet = [Event::Update, Event::List, Event::Update];
    let with = |event| [event, quiet[0], quiet[1], quiet[2]];
    assert!(found(PlantedFault::LongSilence, with(Event::Silent)));
    assert!(found(PlantedFault::ResetNotNoticed, with(Event::Reset)));
    assert!(!found(PlantedFault::LongSilence, with(Event::Reset)), "each fault shows where it acts");
    assert!(!found(PlantedFault::ResetNotNoticed, with(Event::Silent)));
}
