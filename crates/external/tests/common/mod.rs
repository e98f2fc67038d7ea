//! Settings for tests: three request classes, and plans with and without quotas.
#![allow(dead_code)]

use std::sync::Arc;

use fawnhill::*;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
pub const SMALL_PLAN: usize = 0;
pub const MEDIUM_PLAN: usize = 1;
pub const CEILING_PLAN: usize = 2;
pub const UNLIMITED_PLAN: usize = 3;
/// How long servers remember an idempotency key, from when the first attempt that may have run was sent.
pub const WINDOW_MS: f64 = 2000.0;

fn class(effect: Effect, aim_ms: f64) -> Class {
    Class { aim_ms, late_worth: 0.0, effect, group: KeyGroup::All, window_ms: WINDOW_MS }
}

fn plan(rate: f64, burst: f64, ceiling: f64) -> Plan {
    Plan {
        rate,
        burst,
        open: 0,
        ceiling_rate: rate * ceiling,
        ceiling_burst: burst * ceiling,
        ceiling_slack: if ceiling > 0.0 { 3.0 } else { 0.0 },
    }
}

pub fn settings(limiters: u32, position: u32) -> Settings {
    Settings {
        limiters,
        position,
        zone: 0,
        classes: vec![
            class(Effect::Safe, 1000.0),
            class(Effect::Keyed, 2500.0),
            class(Effect::Unsafe, 1000.0),
        ],
        plans: vec![plan(1.5, 6.0, 0.0), plan(4.0, 16.0, 0.0), plan(16.0, 32.0, 2.0), plan(0.0, 0.0, 0.0)],
        round_ms: 4.0,
        max_attempts: 3,
        connect_timeout_ms: 250.0,
        may_probe: false,
        may_tell: limiters > 1,
        may_cancel: true,
        may_advise: true,
        messages_per_s: 60.0,
        must_subscribe: false,
        cold_share: 0.2,
        cold_ms: 9000.0,
        fall_multiple: 3.0,
        fall_ms: 2000.0,
        firms: 10_000,
    }
}

pub fn entry(n: u32, condition: Condition) -> ServerEntry {
    let server: ServerId = Arc::from(format!("s-{n}"));
    ServerEntry { server, zone: 0, cell: 0, condition, weight: 1.0, started: 0.0 }
}

pub fn request(class: usize, plan: usize, customer: u64) -> Request {
    Request { id: 0, class, plan, customer, budget_ms: 3000.0, units: 1.0, spread: 1, first: 0 }
}
