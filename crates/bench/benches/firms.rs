//! A request of a known firm through the engine, let in and refused, with 100, 10,000 and 1,000,000 firms remembered;
//! and one of a stranger that a full table turns away.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

#[path = "../src/world.rs"]
mod world;
use world::World;

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
