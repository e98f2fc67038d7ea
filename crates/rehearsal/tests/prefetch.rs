//! Units held ahead of need, in whole worlds: no rule breaks in any scenario, whoever of the limiters holds them, and 99 of
//! 100 requests wait for nobody.

use marldeal_rehearsal::figures::Figures;
use marldeal_rehearsal::scenario::{Scenario, Trouble, What};
use marldeal_rehearsal::world::World;
use marldeal_rehearsal::{library, size, trials};

fn play(scenario: &Scenario, seed: u64) -> Figures {
    World::new(scenario, seed).expect("legal settings").play(|_| {}).figures
}

fn ahead(scenario: &Scenario, limiters: u32) -> Scenario {
    let mut scenario = scenario.clone();
    scenario.limiters.prefetch = limiters;
    scenario
}

#[test]
fn the_whole_library_keeps_the_rules_with_all_half_or_one_of_them() {
    for (name, _) in library::ALL {
        let scenario = library::find(name).expect("a scenario");
        let all = scenario.limiters.count;
        for some in [all, all / 2 + 1, 1] {
            for f in trials::play(&ahead(&scenario, some), &[1, 2, 3], |_| {}).expect("played") {
                assert_eq!(f.broken_count, 0, "{name}, {some} of {all}, seed {}: {:?}", f.seed, f.broken);
            }
        }
    }
}

/// The size that is planned for, in small: the time added is that of the network, and hardly anyone waits for a word.
#[test]
fn ninety_nine_of_a_hundred_requests_wait_for_nobody_at_any_size() {
    for limiters in [3, 4, 12] {
        let calm =
            Scenario { regions: 1, ..size::scaled_to(&size::find("calm").expect("a scenario"), limiters) };
        let (without, with) = (play(&ahead(&calm, 0), 1), play(&ahead(&calm, limiters), 1));
        let share = |f: &Figures| f.added.waited as f64 / f.added.sent_on as f64;
        assert!(share(&without) > 0.05, "{limiters}: {:?}", without.added);
        assert!(share(&with) < 0.01 && with.added.ms[1] <= 2.7, "{limiters}: {:?}", with.added);
        assert!(with.whole > 0.985 && with.broken_count == 0, "{limiters}: {}", with.whole);
        // What it costs in words: they stay within the allowance.
        let [_, most] = with.control.messages_in;
        assert!(most <= calm.limiters.messages_per_s * 1.05, "{limiters}: {most} messages a second");
    }
}

/// The hard cases over one another, at all and at half of the limiters: words lost, late, twice and spoilt, a building cut
/// off, limiters killed in the middle, and one that stands still while it holds units.
#[test]
fn words_lost_late_twice_limiters_killed_and_stopped_break_nothing() {
    let trouble =
        |text: &str| Scenario::read(text).unwrap_or_else(|wrong| panic!("{wrong:?}")).timeline.remove(0);
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
    .map(|text| trouble(&format!("[limiters]\ncount = 3\n[[timeline]]\n{text}\n")))
    .collect();
    assert!(timeline.iter().any(|t| t.what == What::Freeze));
    let scenario = Scenario { seconds: 26.0, timeline, ..Scenario::default() };
    for some in [3, 2] {
        for f in
            trials::play(&ahead(&scenario, some), &(1..=10).collect::<Vec<u64>>(), |_| {}).expect("played")
        {
            assert_eq!(f.broken_count, 0, "{some} of 3, seed {}: {:?}", f.seed, f.broken);
        }
    }
}
