//! The cost of a request must not grow with the number of limiters: messages between limiters, and servers examined.
//! Counts are compared rather than times, so that the result is the same on every machine. With the feature
//! `planted`, the test also has to detect two faults that violate no rule.

#[cfg(feature = "planted")]
use fawnhill::planted;
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::size;
use marldeal_rehearsal::world::World;

/// Numbers of limiters. With fewer than nine, each limiter uses every server and therefore examines all of them.
const SIZES: [u32; 3] = [10, 18, 30];
/// Maximum growth of a cost from the smallest size to any other.
const MAX_GROWTH: f64 = 1.5;

/// Messages per request and servers examined per request, while one twentieth of all servers is replaced.
fn costs(limiters: u32) -> [f64; 2] {
    let full_size = size::find("replaced").expect("a scenario");
    let scenario = Scenario { seconds: 6.0, regions: 1, ..size::scaled_to(&full_size, limiters) };
    let before = servers_examined();
    let f = World::new(&scenario, 1).expect("valid settings").play(|_| {}).figures;
    assert_eq!(f.broken_count, 0, "{limiters} limiters: {:?}", f.broken);
    let requests = f.ends.asked as f64;
    [f.messages[0] as f64 / requests, (servers_examined() - before) as f64 / requests]
}

#[cfg(feature = "planted")]
fn servers_examined() -> u64 {
    planted::checks_counted()
}

#[cfg(not(feature = "planted"))]
fn servers_examined() -> u64 {
    0
}

/// Largest growth of each cost from the smallest size, as a factor.
fn growth() -> [f64; 2] {
    let all = SIZES.map(costs);
    println!("messages and servers examined per request at {SIZES:?} limiters: {all:.2?}");
    let factor = |n: usize| all.iter().map(|c| c[n] / all[0][n].max(1e-9)).fold(0.0, f64::max);
    [factor(0), factor(1)]
}

/// A single test, since a planted fault affects the whole process.
#[test]
fn what_a_request_costs_does_not_grow_with_the_tier() {
    let [messages, examined] = growth();
    assert!(messages < MAX_GROWTH, "messages per request grow by a factor of {messages:.2}");
    assert!(examined < MAX_GROWTH, "servers examined per request grow by a factor of {examined:.2}");
    #[cfg(feature = "planted")]
    {
        assert!(servers_examined() > 0, "no examined server was counted");
        planted::activate(Some(planted::Fault::Sweep));
        let [_, examined] = growth();
        assert!(
            examined > MAX_GROWTH,
            "a sweep over all servers on each request is not detected: {examined:.2}"
        );
        planted::activate(Some(planted::Fault::Shout));
        let [messages, _] = growth();
        assert!(
            messages > MAX_GROWTH,
            "a message to every peer on each change is not detected: {messages:.2}"
        );
        planted::activate(None);
    }
}
