//! Requests whose bodies are passed on while they are received, under a hard ceiling: they take their units when they
//! have come whole to a server, long after the first grant.

mod common;
use common::*;
use fawnhill::*;

/// Depth (units), rate (units per second) and slack (units) of the ceiling of [`WITH_CEILING`].
const DEPTH: f64 = 60.0;
const RATE: f64 = 12.0;
const SLACK: f64 = 3.0;
/// Units beyond the slack that show the fault.
const MIN_EXCESS: f64 = 5.0;
const LIMITERS: usize = 3;
/// Bursts begin after this time each, and take this long. The ceiling fills in 5 s.
const PERIOD_MS: Millis = 8000.0;
const BURST_MS: Millis = 1200.0;
const PERIODS: u32 = 6;
const STEP_MS: Millis = 20.0;
const QUIET_REQUESTS_PER_STEP: f64 = 0.02;
/// Longer than a quota owner counts units as granted.
const LONG_UPLOAD_MS: Millis = 2000.0;

/// When the last bytes of a body are passed on.
#[derive(Clone, Copy, PartialEq)]
enum End {
    /// Once the decision module allows it.
    Withheld,
    /// At once: the fault that these tests are to find.
    PassedOn,
}

/// Three limiters under the load of one customer, and the ceiling as the servers see it.
struct Load {
    network: SimulatedNetwork,
    rng: fastrand::Rng,
    end: End,
    next_id: RequestId,
    /// Uploads whose bodies are arriving: time of the last byte, limiter, request.
    arriving: Vec<(Millis, usize, RequestId)>,
    burst_began: Millis,
    /// The requests of this time are uploads.
    uploads: bool,
    level: f64,
    lowest: f64,
    uploads_served: u32,
}

impl Load {
    fn new(seed: u64, end: End) -> Load {
        let mut network = SimulatedNetwork::new((0..LIMITERS as u32).map(settings).collect(), 3, seed);
        network.loss = 0.1;
        network.advance(8000.0);
        Load {
            network,
            rng: fastrand::Rng::with_seed(seed),
            end,
            next_id: 0,
            arriving: Vec::new(),
            burst_began: 0.0,
            uploads: false,
            level: DEPTH,
            lowest: DEPTH,
            uploads_served: 0,
        }
    }

    /// A request has come whole to a server and is answered.
    fn serve(&mut self, limiter: usize, id: RequestId) {
        self.level -= 1.0;
        self.lowest = self.lowest.min(self.level);
        self.network.complete(limiter, id, 5.0);
    }

    fn handle_actions(&mut self, limiter: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, .. } if self.uploads => {
                    self.network.handle(limiter, Event::Streaming { id });
                    // Most bodies end during the next burst.
                    let jitter = self.rng.f64() * if self.rng.u8(..) < 200 { BURST_MS } else { PERIOD_MS };
                    self.arriving.push((self.burst_began + PERIOD_MS + jitter, limiter, id));
                }
                Action::Send { id, .. } => self.serve(limiter, id),
                Action::CompleteBody { id, .. } => {
                    self.uploads_served += 1;
                    self.serve(limiter, id);
                }
                Action::Fail { id } => panic!("request {id} failed, though no server has it whole"),
                _ => {}
            }
        }
    }

    fn submit(&mut self, limiter: usize) {
        let id = self.next_id;
        self.next_id += 1;
        let actions = self.network.handle(limiter, Event::Request(request(id, UNSAFE, WITH_CEILING)));
        self.handle_actions(limiter, actions);
    }

    fn end_bodies(&mut self) {
        let now = self.network.now;
        let (ended, arriving) = self.arriving.drain(..).partition(|(at, ..)| *at <= now);
        self.arriving = arriving;
        for (_, limiter, id) in ended as Vec<(Millis, usize, RequestId)> {
            match self.end {
                End::PassedOn => self.serve(limiter, id),
                End::Withheld => {
                    let actions = self.network.handle(limiter, Event::BodyReceived { id });
                    self.handle_actions(limiter, actions);
                }
            }
        }
    }

    fn advance(&mut self, ms: Millis) {
        for (limiter, action) in self.network.advance(ms) {
            self.handle_actions(limiter, vec![action]);
        }
        self.level = (self.level + RATE * ms / 1000.0).min(DEPTH);
    }
}

/// Alternates between bursts and quiet times, in which the ceiling fills up, and between uploads and short requests. Returns the load at its end.
fn run(seed: u64, end: End) -> Load {
    let mut load = Load::new(seed, end);
    for period in 0..PERIODS {
        (load.burst_began, load.uploads) = (load.network.now, period % 2 == 0);
        while load.network.now < load.burst_began + PERIOD_MS {
            let in_burst = load.network.now < load.burst_began + BURST_MS;
            let requests = match in_burst {
                true => load.rng.usize(0..8),
                false => usize::from(load.rng.f64() < QUIET_REQUESTS_PER_STEP),
            };
            for _ in 0..requests {
                let limiter = load.rng.usize(0..LIMITERS);
                load.submit(limiter);
            }
            load.end_bodies();
            load.advance(STEP_MS);
        }
    }
    load
}

/// Guards against uploads that take units which their quota owner has filled up again.
#[test]
fn uploads_whose_ends_come_at_any_time_keep_the_ceiling() {
    let mut uploads_served = 0;
    for seed in 0..30 {
        let load = run(seed, End::Withheld);
        assert!(load.lowest >= -SLACK - 1e-6, "the ceiling's store went to {}, seed {seed}", load.lowest);
        uploads_served += load.uploads_served;
    }
    assert!(uploads_served > 30 * 30, "{uploads_served}");
}

/// The check above finds uploads whose ends are passed on at once.
#[test]
fn uploads_that_take_expired_units_are_found() {
    let lowest = (0..30).map(|seed| run(seed, End::PassedOn).lowest).fold(DEPTH, f64::min);
    assert!(lowest < -SLACK - MIN_EXCESS, "{lowest}");
}

/// One limiter with an upload of class [`UNSAFE`] that has been sent and has taken long.
fn long_upload(plan: usize) -> SimulatedLimiter {
    let mut limiter = SimulatedLimiter::new(Settings { limiters: 1, may_cancel: false, ..settings(0) }, 3);
    limiter.advance(8000.0);
    assert_eq!(sent_to(&limiter.submit(request(1, UNSAFE, plan))).len(), 1);
    limiter.handle(Event::Streaming { id: 1 });
    limiter.advance(LONG_UPLOAD_MS);
    limiter
}

/// Spends the ceiling of all units.
fn exhaust(limiter: &mut SimulatedLimiter) {
    for id in 100..200 {
        if !sent_to(&limiter.submit(request(id, SAFE, WITH_CEILING))).is_empty() {
            limiter.end_attempt(id, 0, Outcome::Ok, 5.0);
        }
    }
}

fn completed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::CompleteBody { id: 1, attempt: 0 }))
}

/// A body that nobody has to count, or that is counted still, is not held up.
#[test]
fn end_of_a_body_without_a_ceiling_or_with_a_fresh_grant_is_passed_on_at_once() {
    let mut limiter = long_upload(RATE_LIMITED);
    assert!(completed(&limiter.handle(Event::BodyReceived { id: 1 })));
    let mut limiter = SimulatedLimiter::new(Settings { limiters: 1, ..settings(0) }, 3);
    limiter.advance(8000.0);
    limiter.submit(request(1, UNSAFE, WITH_CEILING));
    limiter.handle(Event::Streaming { id: 1 });
    exhaust(&mut limiter);
    assert!(completed(&limiter.handle(Event::BodyReceived { id: 1 })));
}

/// Without units the client is told that repeating is harmless, also where attempts are not cancelled otherwise, and the
/// server, which has nothing to answer, does not count as slow.
#[test]
fn upload_without_units_at_its_end_is_refused() {
    let mut limiter = long_upload(WITH_CEILING);
    exhaust(&mut limiter);
    let actions = limiter.handle(Event::BodyReceived { id: 1 });
    assert!(refused(&actions) && !failed(&actions) && !completed(&actions), "{actions:?}");
    assert!(actions.iter().any(|a| matches!(a, Action::Cancel { id: 1, attempt: 0 })), "{actions:?}");
}

/// Guards against an attempt that nobody ends: its client leaves while units are asked for, or the quota owners are
/// silent.
#[test]
fn attempt_whose_body_is_held_back_ends() {
    for leaves in [true, false] {
        let mut limiter = SimulatedLimiter::new(settings(0), 3);
        limiter.advance(8000.0);
        // Without a reply the equal share admits some of these requests.
        let upload = (1..50).find(|id| {
            let mut actions = limiter.submit(request(*id, UNSAFE, WITH_CEILING));
            actions.extend(limiter.advance(900.0));
            !sent_to(&actions).is_empty()
        });
        let id = upload.expect("an upload that was sent");
        limiter.handle(Event::Streaming { id });
        limiter.advance(LONG_UPLOAD_MS);
        let mut actions = limiter.handle(Event::BodyReceived { id });
        if leaves {
            actions.extend(limiter.handle(Event::ClientDisconnected { id }));
        }
        actions.extend(limiter.advance(1000.0));
        let ended = |a: &Action| match a {
            Action::Cancel { id: ended, .. } => *ended == id,
            Action::CompleteBody { id: ended, .. } => *ended == id && !leaves,
            _ => false,
        };
        assert!(actions.iter().any(ended), "the client leaves: {leaves}; {actions:?}");
    }
}

/// The quota counts an upload once, although units are asked for twice.
#[test]
fn units_of_the_quota_are_taken_once() {
    let plans = |mut settings: Settings| {
        // The ceiling is far above the quota, which does not fill.
        settings.plans[WITH_CEILING] = Plan {
            rate: 1e-3,
            burst: 2.0,
            open: 1,
            ceiling_rate: 100.0,
            ceiling_burst: 200.0,
            ceiling_slack: 3.0,
        };
        Settings { limiters: 1, ..settings }
    };
    let mut limiter = SimulatedLimiter::new(plans(settings(0)), 3);
    limiter.advance(8000.0);
    assert_eq!(sent_to(&limiter.submit(request(1, UNSAFE, WITH_CEILING))).len(), 1);
    limiter.handle(Event::Streaming { id: 1 });
    limiter.advance(LONG_UPLOAD_MS);
    assert!(completed(&limiter.handle(Event::BodyReceived { id: 1 })));
    limiter.end_attempt(1, 0, Outcome::Ok, 5.0);
    assert_eq!(sent_to(&limiter.submit(request(2, UNSAFE, WITH_CEILING))).len(), 1, "the second unit");
    limiter.end_attempt(2, 0, Outcome::Ok, 5.0);
    assert!(sent_to(&limiter.submit(request(3, UNSAFE, WITH_CEILING))).is_empty(), "no third");
}
