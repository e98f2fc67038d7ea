//! What each request costs must not grow with the tier: words between limiters, and servers looked at. Counts, so that the
//! verdict is the same everywhere. With the feature `planted` two faults that break no rule are found by it.

#[cfg(feature = "planted")]
use fawnhill::planted;
use marldeal_rehearsal::scenario::Scenario;
use marldeal_rehearsal::size;
use marldeal_rehearsal::world::World;

/// With fewer than nine limiters each server is everybody's own, and a limiter looks at all that there are.
const SIZES: [u32; 3] = [10, 18, 30];
/// From the smallest size to any other.
const MOST_TIMES: f64 = 1.5;

/// Messages and looks at servers for each request, while a twentieth of all is replaced.
fn costs(limiters: u32) -> [f64; 2] {
    let of = size::find("replaced").expect("a scenario");
    let scenario = Scenario { seconds: 6.0, regions: 1, ..size::scaled_to(&of, limiters) };
    let before = looks();
    let f = World::new(&scenario, 1).expect("legal settings").play(|_| {}).figures;
    assert_eq!(f.broken_count, 0, "{limiters} limiters: {:?}", f.broken);
    let asked = f.ends.asked as f64;
    [f.messages[0] as f64 / asked, (looks() - before) as f64 / asked]
}

#[cfg(feature = "planted")]
fn looks() -> u64 {
    planted::checks_counted()
}

#[cfg(not(feature = "planted"))]
fn looks() -> u64 {
    0
}

/// How many times each cost grows from the smallest size, at the most.
fn growth() -> [f64; 2] {
    let all = SIZES.map(costs);
    println!("messages and looks a request at {SIZES:?} limiters: {all:.2?}");
    let times = |n: usize| all.iter().map(|c| c[n] / all[0][n].max(1e-9)).fold(0.0, f64::max);
    [times(0), times(1)]
}

/// One test, for what is planted is planted in the whole process.
#[test]
fn what_a_request_costs_does_not_grow_with_the_tier() {
    let [messages, looked] = growth();
    assert!(messages < MOST_TIMES, "messages a request grow {messages:.2} times");
    assert!(looked < MOST_TIMES, "servers looked at a request grow {looked:.2} times");
    #[cfg(feature = "planted")]
    {
        assert!(looks() > 0, "looks are counted");
        planted::activate(Some(planted::Fault::Sweep));
        let [_, looked] = growth();
        assert!(looked > MOST_TIMES, "work for each server on each request is found: {looked:.2}");
        planted::activate(Some(planted::Fault::Shout));
        let [messages, _] = growth();
        assert!(messages > MOST_TIMES, "a word to every peer on each change is found: {messages:.2}");
        planted::activate(None);
    }
}
