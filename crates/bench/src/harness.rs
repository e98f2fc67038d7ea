//! Drives the engine alone, for measurements without sockets.

use fawnhill::{Class, Condition, Effect, KeyGroup, Outcome, Plan, Request, ServerEntry, Settings};
use marldeal_engine::{Engine, Input, Output};

/// Settings of a limiter with one class and one plan.
pub fn settings(rate: f64, max_customers: u32) -> Settings {
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
        firms: max_customers,
    }
}

/// An engine whose clock advances with its requests.
pub struct EngineHarness {
    engine: Engine,
    outputs: Vec<Output>,
    now: f64,
    last_correlation_id: u64,
}

impl EngineHarness {
    /// Creates a limiter with one server and one plan, whose table holds `max_customers`.
    pub fn new(rate: f64, max_customers: u32) -> EngineHarness {
        let mut engine = Engine::new(settings(rate, max_customers), 1, 0.0).expect("valid settings");
        let mut outputs = Vec::new();
        let condition = Condition::Serving;
        let entry =
            ServerEntry { server: "s".into(), zone: 0, cell: 0, condition, weight: 1.0, started: 0.0 };
        engine.handle(0.0, Input::Servers { whole: true, entries: [entry].into() }, &mut outputs);
        EngineHarness { engine, outputs, now: 0.0, last_correlation_id: 0 }
    }

    /// Submits a request 20 us after the previous one. If it is admitted, its attempt ends at once.
    pub fn request(&mut self, customer: u64) {
        self.now += 0.02;
        self.last_correlation_id += 1;
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
        let correlation_id = self.last_correlation_id.to_be_bytes().as_slice().into();
        let id = self.engine.handle(self.now, Input::Request { correlation_id, request }, &mut self.outputs);
        let id = id.expect("a new correlation id");
        if self.outputs.iter().any(|o| matches!(o, Output::Send { .. })) {
            self.engine.handle(self.now, Input::attempt_ended(id, 0, Outcome::Ok), &mut self.outputs);
        }
        self.outputs.clear();
        if self.engine.next_due().is_some_and(|due| due <= self.now) {
            self.engine.handle(self.now, Input::TimerExpired, &mut self.outputs);
            self.outputs.clear();
        }
    }

    /// Runs all timers that expire within `duration_ms` without requests, and returns the microseconds that each call
    /// took.
    #[allow(dead_code)]
    pub fn run_timers(&mut self, duration_ms: f64) -> Vec<f64> {
        let end = self.now + duration_ms;
        let mut call_us = Vec::new();
        while let Some(due) = self.engine.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            let started = std::time::Instant::now();
            self.engine.handle(self.now, Input::TimerExpired, &mut self.outputs);
            call_us.push(started.elapsed().as_secs_f64() * 1e6);
            self.outputs.clear();
        }
        call_us
    }
}
