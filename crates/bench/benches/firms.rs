//! Measures the engine alone: admitted and refused requests of known customers, with 100, 10,000 and 1,000,000 customers
//! in the table, and requests of unknown customers that a full table rejects.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

#[path = "../src/harness.rs"]
mod harness;
use harness::EngineHarness;

fn customers(c: &mut Criterion) {
    for (group_name, rate) in [("admitted", 1e6), ("refused", 1e-6)] {
        let mut group = c.benchmark_group(group_name);
        for customers in [100u64, 10_000, 1_000_000] {
            let mut harness = EngineHarness::new(rate, 2_000_000);
            (0..customers).for_each(|customer| harness.request(customer));
            let mut next = 0u64;
            group.bench_function(BenchmarkId::from_parameter(customers), |b| {
                b.iter(|| {
                    next = next.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    harness.request((next >> 33) % customers);
                });
            });
        }
    }
    let mut harness = EngineHarness::new(1.0, 10_000);
    let mut next = 0u64;
    (0..200_000).for_each(|customer| harness.request(customer));
    c.bench_function("unknown customer rejected", |b| {
        b.iter(|| {
            next += 1;
            harness.request((1 << 32) + next);
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().warm_up_time(std::time::Duration::from_secs(1))
        .measurement_time(std::time::Duration::from_secs(3)).sample_size(20);
    targets = customers
}
criterion_main!(benches);
