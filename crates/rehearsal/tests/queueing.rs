//! Compares the server model with known results of queueing theory, within 2%.

use marldeal_rehearsal::draws::{self, gap, work, Law};
use marldeal_rehearsal::server_model::{Completion, Job, ServerModel, ServerParameters};

fn model(cores: f64, slots: usize) -> ServerParameters {
    ServerParameters {
        cores,
        slots,
        queue: 1_000_000,
        speed: 1.0,
        cold_share: 0.17,
        cold_ms: 14_000.0,
        fall_multiple: 4.0,
        fall_ms: 0.0,
        thrash: 0.0,
        connections: 1000,
        table_tax: 0.0,
        handshake_ms: 0.0,
        cancel_stops: true,
    }
}

/// Mean sojourn time of Poisson arrivals at a server with the given load. The first 5% of the jobs are not counted.
fn sojourn(model: ServerParameters, law: Law, load: f64, jobs: u64, seed: u64) -> f64 {
    let mean = 100.0;
    let per_ms = load * model.cores / mean;
    let mut server = ServerModel::warm(model, 0.0);
    let (mut arrivals, mut works) = (draws::stream(seed, "arrivals", 0), draws::stream(seed, "work", 0));
    let (mut arrived_at, mut sum, mut counted) = (vec![0.0; jobs as usize], 0.0, 0u64);
    let mut next = gap(&mut arrivals, per_ms);
    let (mut done, mut key) = (Vec::<Completion>::new(), 0);
    while key < jobs || server.held() > 0 {
        match server.next_due().filter(|due| key >= jobs || *due <= next) {
            Some(due) => {
                server.due(due, &mut done);
                for d in done.drain(..).filter(|d| d.key > jobs / 20) {
                    sum += due - arrived_at[d.key as usize];
                    counted += 1;
                }
            }
            None => {
                arrived_at[key as usize] = next;
                let job = Job { key, work: work(&mut works, law, mean), sender_notified: false };
                server.arrive(next, job, false).expect("queue has space");
                key += 1;
                next += gap(&mut arrivals, per_ms);
            }
        }
    }
    sum / counted as f64
}

/// Asserts that a measured value differs from the expected one by less than 2%.
fn assert_close(measured: f64, expected: f64, what: &str) {
    assert!((measured / expected - 1.0).abs() < 0.02, "{what}: {measured:.2}, {expected:.2} expected");
}

/// Erlang's C formula: the probability that an arrival waits in M/M/c.
fn erlang_c(c: u32, load: f64) -> f64 {
    let offered = load * f64::from(c);
    let blocked = (1..=c).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

#[test]
fn m_m_c_matches_erlang_c() {
    for (c, load) in [(1, 0.5), (1, 0.7), (4, 0.8), (8, 0.9)] {
        let wait = erlang_c(c, load) * 100.0 / (f64::from(c) * (1.0 - load));
        let model = model(f64::from(c), c as usize);
        let jobs = if load > 0.85 { 3_000_000 } else { 1_000_000 };
        assert_close(
            sojourn(model, Law::Exponential, load, jobs, 3),
            100.0 + wait,
            &format!("M/M/{c} at {load}"),
        );
    }
}

#[test]
fn m_g_1_matches_pollaczek_khinchine() {
    for (law, variation) in [(Law::Fixed, 0.0), (Law::Lognormal, 0.6_f64)] {
        let load = 0.7;
        let wait = load * 100.0 * (1.0 + variation * variation) / (2.0 * (1.0 - load));
        assert_close(
            sojourn(model(1.0, 1), law, load, 1_500_000, 5),
            100.0 + wait,
            &format!("M/G/1 {law:?}"),
        );
    }
}

/// Under processor sharing, the mean does not depend on the distribution of the work.
#[test]
fn processor_sharing_is_insensitive_to_the_distribution_of_work() {
    for law in [Law::Fixed, Law::Lognormal, Law::Exponential] {
        assert_close(
            sojourn(model(1.0, 10_000), law, 0.7, 800_000, 7),
            100.0 / 0.3,
            &format!("M/G/1-PS {law:?}"),
        );
    }
}

/// A server that has just started and always has jobs completes work according to the integral of its slow start.
#[test]
fn server_in_slow_start_follows_its_ramp() {
    let mut server = ServerModel::warm(model(4.0, 4), 0.0);
    server.exit(0.0);
    server.start(1000.0);
    (0..100_000).for_each(|key| {
        server.arrive(1000.0, Job { key, work: 1.0, sender_notified: false }, false).expect("queue has space")
    });
    let mut done = Vec::new();
    for (seconds, expected) in [
        (1.0, 0.17 + 0.83 / 28.0),
        (7.0, 7.0 * 0.17 + 0.83 * 49.0 / 28.0),
        (14.0, 14.0 * 0.585),
        (16.0, 10.19),
    ] {
        let at = 1000.0 + seconds * 1000.0;
        while let Some(due) = server.next_due().filter(|due| *due <= at) {
            server.due(due, &mut done);
        }
        assert_close(done.len() as f64, 4000.0 * expected, &format!("work done {seconds} s after the start"));
        let share = (0.17 + 0.83 * seconds / 14.0_f64).min(1.0);
        assert!((server.share(at) - share).abs() < 1e-9);
    }
}

/// A server in slow start crashes when it receives more than 4 times its capacity for 2 s.
#[test]
fn server_in_slow_start_crashes_only_above_the_given_multiple() {
    let crashes = |multiple: f64| {
        let mut server =
            ServerModel::warm(ServerParameters { fall_ms: 2000.0, slots: 100_000, ..model(4.0, 4) }, 0.0);
        server.exit(0.0);
        server.start(0.0);
        // The server's capacity in its first two seconds times the multiple, as evenly spaced jobs of 10 ms.
        let capacity = 4.0 * (2000.0 * 0.17 + 0.83 * 2000.0 * 2000.0 / 28_000.0);
        let jobs = (capacity * multiple / 10.0) as u64;
        (0..jobs).any(|key| {
            let at = key as f64 * 2000.0 / jobs as f64;
            server.arrive(at, Job { key, work: 10.0, sender_notified: true }, false).is_err()
        })
    };
    assert!(!crashes(3.9));
    assert!(crashes(4.3));
}
