//! Prefetched quota units in whole scenarios: no rule is violated, whichever limiters prefetch, and 99% of the
//! requests do not wait for a peer.

use marldeal_rehearsal::figures::Figures;
use marldeal_rehearsal::scenario::{Scenario, Trouble, What};
use marldeal_rehearsal::world::World;
use marldeal_rehearsal::{library, size, trials};

fn play(scenario: &Scenario, seed: u64) -> Figures {
    World::new(scenario, seed).expect("valid settings").play(|_| {}).figures
}

/// The scenario with the given number of limiters that prefetch.
fn with_prefetch(scenario: &Scenario, limiters: u32) -> Scenario {
    let mut scenario = scenario.clone();
    scenario.limiters.prefetch = limiters;
    scenario
}

#[test]
fn built_in_scenarios_violate_no_rule_with_all_half_or_one_limiter_prefetching() {
    for (name, _) in library::ALL {
        let scenario = library::find(name).expect("a scenario");
        let count = scenario.limiters.count;
        for prefetching in [count, count / 2 + 1, 1] {
            for f in trials::play(&with_prefetch(&scenario, prefetching), &[1, 2, 3], |_| {})
                .expect("scenario runs")
            {
                assert_eq!(
                    f.broken_count, 0,
                    "{name}, {prefetching} of {count}, seed {}: {:?}",
                    f.seed, f.broken
                );
            }
        }
    }
}

/// The planned size, scaled down: the added time is that of the network, and hardly any request waits for a message.
#[test]
fn ninety_nine_percent_of_requests_wait_for_no_peer_at_any_size() {
    for limiters in [3, 4, 12] {
        let calm =
            Scenario { regions: 1, ..size::scaled_to(&size::find("calm").expect("a scenario"), limiters) };
        let (without, with) = (play(&with_prefetch(&calm, 0), 1), play(&with_prefetch(&calm, limiters), 1));
        let share = |f: &Figures| f.added.waited as f64 / f.added.sent_on as f64;
        assert!(share(&without) > 0.05, "{limiters}: {:?}", without.added);
        assert!(share(&with) < 0.01 && with.added.ms[1] <= 2.7, "{limiters}: {:?}", with.added);
        assert!(with.whole > 0.985 && with.broken_count == 0, "{limiters}: {}", with.whole);
        // The rate of messages stays within its limit.
        let [_, max_rate] = with.control.messages_in;
        assert!(
            max_rate <= calm.limiters.messages_per_s * 1.05,
            "{limiters}: {max_rate} messages per second"
        );
    }
}

/// Overlapping faults with three and with two of three limiters prefetching: messages lost, delayed, duplicated and
/// corrupted, a building partitioned, a limiter killed, and one that stalls while it holds units.
#[test]
fn overlapping_message_faults_kills_and_stalls_violate_no_rule() {
    let fault =
        |text: &str| Scenario::read(text).unwrap_or_else(|errors| panic!("{errors:?}")).timeline.remove(0);
    let timeline: Vec<Trouble> = [
        "what = \"lossy\"\nshare = 0.3\nat_s = 2\nfor_s = 20",
        "what = \"late\"\nlate_ms = [0, 900]\nat_s = 4\nfor_s = 8",
        "what = \"twice\"\nshare = 0.5\nat_s = 3\nfor_s = 20",
        "what = \"garble\"\nshare = 0.1\nat_s = 3\nfor_s = 20",
        "what = \"freeze\"\nlimiters = [1]\nat_s = 6\nfor_s = 4",
        "what = \"kill\"\nlimiters = [0]\nat_s = 12\nfor_s = 1",
        "what = \"cut\"\nbuilding = 2\nat_s = 14\nfor_s = 6",
        "what = \"flood\"\nfirms = 3\nshare = 0.5\nat_s = 5\nfor_s = 15",
    ]
    .iter()
    .map(|text| fault(&format!("[limiters]\ncount = 3\n[[timeline]]\n{text}\n")))
    .collect();
    assert!(timeline.iter().any(|t| t.what == What::Freeze));
    let scenario = Scenario { seconds: 26.0, timeline, ..Scenario::default() };
    for prefetching in [3, 2] {
        for f in trials::play(&with_prefetch(&scenario, prefetching), &(1..=10).collect::<Vec<u64>>(), |_| {})
            .expect("scenario runs")
        {
            assert_eq!(f.broken_count, 0, "{prefetching} of 3, seed {}: {:?}", f.seed, f.broken);
        }
    }
}
