//! The node model against known results of queueing theory: within 2%.

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

/// Mean time in the node and mean wait, of Poisson arrivals at a load.
fn sojourn(model: ServerParameters, law: Law, load: f64, jobs: u64, seed: u64) -> f64 {
    let mean = 100.0;
    let per_ms = load * model.cores / mean;
    let mut node = ServerModel::warm(model, 0.0);
    let (mut arrivals, mut works) = (draws::stream(seed, "arrivals", 0), draws::stream(seed, "work", 0));
    let (mut came, mut sum, mut counted) = (vec![0.0; jobs as usize], 0.0, 0u64);
    let mut next = gap(&mut arrivals, per_ms);
    let (mut done, mut key) = (Vec::<Completion>::new(), 0);
    while key < jobs || node.held() > 0 {
        match node.next_due().filter(|due| key >= jobs || *due <= next) {
            Some(due) => {
                node.due(due, &mut done);
                for d in done.drain(..).filter(|d| d.key > jobs / 20) {
                    sum += due - came[d.key as usize];
                    counted += 1;
                }
            }
            None => {
                came[key as usize] = next;
                let job = Job { key, work: work(&mut works, law, mean), sender_notified: false };
                node.arrive(next, job, false).expect("room");
                key += 1;
                next += gap(&mut arrivals, per_ms);
            }
        }
    }
    sum / counted as f64
}

fn close(seen: f64, known: f64, what: &str) {
    assert!((seen / known - 1.0).abs() < 0.02, "{what}: {seen:.2} seen, {known:.2} known");
}

/// Erlang's C formula: the chance that an arrival waits in M/M/c.
fn erlang_c(c: u32, load: f64) -> f64 {
    let offered = load * f64::from(c);
    let blocked = (1..=c).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

#[test]
fn m_m_c_waits_as_erlang_says() {
    for (c, load) in [(1, 0.5), (1, 0.7), (4, 0.8), (8, 0.9)] {
        let wait = erlang_c(c, load) * 100.0 / (f64::from(c) * (1.0 - load));
        let model = model(f64::from(c), c as usize);
        let jobs = if load > 0.85 { 3_000_000 } else { 1_000_000 };
        close(sojourn(model, Law::Exponential, load, jobs, 3), 100.0 + wait, &format!("M/M/{c} at {load}"));
    }
}

#[test]
fn m_g_1_waits_as_pollaczek_and_khinchine_say() {
    for (law, variation) in [(Law::Fixed, 0.0), (Law::Lognormal, 0.6_f64)] {
        let load = 0.7;
        let wait = load * 100.0 * (1.0 + variation * variation) / (2.0 * (1.0 - load));
        close(sojourn(model(1.0, 1), law, load, 1_500_000, 5), 100.0 + wait, &format!("M/G/1 {law:?}"));
    }
}

/// Under processor sharing the mean does not depend on the law of the work.
#[test]
fn shared_cores_do_not_care_for_the_law_of_work() {
    for law in [Law::Fixed, Law::Lognormal, Law::Exponential] {
        close(sojourn(model(1.0, 10_000), law, 0.7, 800_000, 7), 100.0 / 0.3, &format!("M/G/1-PS {law:?}"));
    }
}

/// Jobs without end for a node that has just started: what it has done follows the ramp's integral.
#[test]
fn a_cold_node_warms_along_its_ramp() {
    let mut node = ServerModel::warm(model(4.0, 4), 0.0);
    node.exit(0.0);
    node.start(1000.0);
    (0..100_000).for_each(|key| {
        node.arrive(1000.0, Job { key, work: 1.0, sender_notified: false }, false).expect("room")
    });
    let mut done = Vec::new();
    for (seconds, known) in [
        (1.0, 0.17 + 0.83 / 28.0),
        (7.0, 7.0 * 0.17 + 0.83 * 49.0 / 28.0),
        (14.0, 14.0 * 0.585),
        (16.0, 10.19),
    ] {
        let at = 1000.0 + seconds * 1000.0;
        while let Some(due) = node.next_due().filter(|due| *due <= at) {
            node.due(due, &mut done);
        }
        close(done.len() as f64, 4000.0 * known, &format!("work done {seconds} s after the start"));
        let share = (0.17 + 0.83 * seconds / 14.0_f64).min(1.0);
        assert!((node.share(at) - share).abs() < 1e-9);
    }
}

/// Rule 1.2 of the brief: over 4 times what it can do, for 2 s.
#[test]
fn a_cold_node_falls_at_the_stated_multiple_and_not_below() {
    let fallen = |multiple: f64| {
        let mut node =
            ServerModel::warm(ServerParameters { fall_ms: 2000.0, slots: 100_000, ..model(4.0, 4) }, 0.0);
        node.exit(0.0);
        node.start(0.0);
        // What the node can do in its first two seconds, times the multiple, in even pieces of 10 ms.
        let could = 4.0 * (2000.0 * 0.17 + 0.83 * 2000.0 * 2000.0 / 28_000.0);
        let pieces = (could * multiple / 10.0) as u64;
        (0..pieces).any(|key| {
            let at = key as f64 * 2000.0 / pieces as f64;
            node.arrive(at, Job { key, work: 10.0, sender_notified: true }, false).is_err()
        })
    };
    assert!(!fallen(3.9));
    assert!(fallen(4.3));
}
