//! The engine alone, for measurements without sockets.

use fawnhill::{Class, Condition, Effect, KeyGroup, Outcome, Plan, Request, ServerEntry, Settings};
use marldeal_engine::{Engine, Input, Output};

fn settings(rate: f64, firms: u32) -> Settings {
    Settings {
        limiters: 1,
        position: 0,
        zone: 0,
        classes: vec![Class {
            aim_ms: 1000.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            group: KeyGroup::All,
            window_ms: 0.0,
        }],
        plans: vec![Plan {
            rate,
            burst: 4.0 * rate,
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
        messages_per_s: 60.0,
        must_subscribe: false,
        cold_share: 0.2,
        cold_ms: 10_000.0,
        fall_multiple: 3.0,
        fall_ms: 2000.0,
        firms,
    }
}

/// One engine on a clock that its requests move.
pub struct World {
    engine: Engine,
    out: Vec<Output>,
    now: f64,
    name: u64,
}

impl World {
    /// A limiter of one plan that remembers so many firms, before one server.
    pub fn new(rate: f64, firms: u32) -> World {
        let mut engine = Engine::new(settings(rate, firms), 1, 0.0).expect("legal settings");
        let mut out = Vec::new();
        let condition = Condition::Serving;
        let entry =
            ServerEntry { server: "s".into(), zone: 0, cell: 0, condition, weight: 1.0, started: 0.0 };
        engine.handle(0.0, Input::Servers { whole: true, entries: [entry].into() }, &mut out);
        World { engine, out, now: 0.0, name: 0 }
    }

    /// One request, answered at once if it is sent on, 20 us after the one before.
    pub fn request(&mut self, customer: u64) {
        self.now += 0.02;
        self.name += 1;
        let request = Request {
            id: 0,
            class: 0,
            plan: 0,
            customer,
            budget_ms: 3000.0,
            units: 1.0,
            spread: 1,
            first: 0,
        };
        let correlation_id = self.name.to_be_bytes().as_slice().into();
        let id = self.engine.handle(self.now, Input::Request { correlation_id, request }, &mut self.out);
        let id = id.expect("a new name");
        if self.out.iter().any(|o| matches!(o, Output::Send { .. })) {
            self.engine.handle(self.now, Input::attempt_ended(id, 0, Outcome::Ok), &mut self.out);
        }
        self.out.clear();
        if self.engine.next_due().is_some_and(|due| due <= self.now) {
            self.engine.handle(self.now, Input::TimerExpired, &mut self.out);
            self.out.clear();
        }
    }

    /// Microseconds that each call takes in which the module does what is due, for so many milliseconds.
    #[allow(dead_code)]
    pub fn rest(&mut self, ms: f64) -> Vec<f64> {
        let end = self.now + ms;
        let mut took = Vec::new();
        while let Some(due) = self.engine.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            let began = std::time::Instant::now();
            self.engine.handle(self.now, Input::TimerExpired, &mut self.out);
            took.push(began.elapsed().as_secs_f64() * 1e6);
            self.out.clear();
        }
        took
    }
}
