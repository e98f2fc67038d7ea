//! A request of a known firm through the engine, let in and refused, with 100, 10,000 and 1,000,000 firms remembered;
//! and one of a stranger that a full table turns away.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
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

struct World {
    engine: Engine,
    out: Vec<Output>,
    now: f64,
    name: u64,
}

impl World {
    fn new(rate: f64, firms: u32) -> World {
        let mut engine = Engine::new(settings(rate, firms), 1, 0.0).expect("legal settings");
        let mut out = Vec::new();
        let condition = Condition::Serving;
        let entry =
            ServerEntry { server: "s".into(), zone: 0, cell: 0, condition, weight: 1.0, started: 0.0 };
        engine.handle(0.0, Input::Servers { whole: true, entries: [entry].into() }, &mut out);
        World { engine, out, now: 0.0, name: 0 }
    }

    /// One request, answered at once if it is sent on, 20 us after the one before.
    fn request(&mut self, customer: u64) {
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
        let name = self.name.to_be_bytes().as_slice().into();
        let id = self.engine.handle(self.now, Input::Request { name, request }, &mut self.out);
        let id = id.expect("a new name");
        if self.out.iter().any(|o| matches!(o, Output::Send { .. })) {
            self.engine.handle(self.now, Input::ended(id, 0, Outcome::Ok), &mut self.out);
        }
        self.out.clear();
        if self.engine.next_due().is_some_and(|due| due <= self.now) {
            self.engine.handle(self.now, Input::Due, &mut self.out);
            self.out.clear();
        }
    }
}

fn firms(c: &mut Criterion) {
    for (what, rate) in [("let in", 1e6), ("refused", 1e-6)] {
        let mut group = c.benchmark_group(what);
        for firms in [100u64, 10_000, 1_000_000] {
            let mut world = World::new(rate, 2_000_000);
            (0..firms).for_each(|firm| world.request(firm));
            let mut next = 0u64;
            group.bench_function(BenchmarkId::from_parameter(firms), |b| {
                b.iter(|| {
                    next = next.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    world.request((next >> 33) % firms);
                });
            });
        }
    }
    let mut world = World::new(1.0, 10_000);
    let mut next = 0u64;
    (0..200_000).for_each(|firm| world.request(firm));
    c.bench_function("stranger turned away", |b| {
        b.iter(|| {
            next += 1;
            world.request((1 << 32) + next);
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().warm_up_time(std::time::Duration::from_secs(1))
        .measurement_time(std::time::Duration::from_secs(3)).sample_size(20);
    targets = firms
}
criterion_main!(benches);
