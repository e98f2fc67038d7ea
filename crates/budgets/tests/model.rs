//! All that can happen to three members and their dividers with so many steps of each kind: messages lost, doubled, late and out
//! of order, members that die, dividers that follow one another, parts passed on, clocks that run apart. At every state what
//! anyone may act on is within the whole; arrivals of what is on its way are steps too, so that it counts with it.

use std::collections::BTreeSet;

use marldeal_budgets::divider::Divider;
#[cfg(feature = "planted")]
use marldeal_budgets::divider::Planted;
use marldeal_budgets::member::{Member, Passed};
use marldeal_budgets::{Grains, Grant, MemberId, Say, Terms};
use stateright::{Checker, Model, Property};

const WHOLE: Grains = 2;
const MEMBERS: usize = 3;
/// A step of time, in milliseconds.
const TICK: u64 = 1000;

/// A message on its way; it stays there once it has been heard, so that it may come again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Mail {
    Said(MemberId, Say),
    Granted(MemberId, Grant),
    Asked(MemberId, MemberId, u64),
    Passed(MemberId, Passed),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Fleet {
    now: u64,
    divider: Divider,
    members: Vec<(MemberId, Member)>,
    mail: BTreeSet<Mail>,
    epochs: u64,
    /// Steps taken of each kind.
    taken: [u8; KINDS],
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Time,
    Wants(usize),
    Renews(usize),
    GivesBack(usize),
    AsksOther(usize, usize),
    Dies(usize),
    DividerDies,
    Arrives(Mail),
}

/// Kinds of steps that are bounded, in the order above. Arrivals are not: a message that never arrives is lost.
const KINDS: usize = 7;

impl Step {
    fn kind(&self) -> Option<usize> {
        match self {
            Step::Time => Some(0),
            Step::Wants(_) => Some(1),
            Step::Renews(_) => Some(2),
            Step::GivesBack(_) => Some(3),
            Step::AsksOther(..) => Some(4),
            Step::Dies(_) => Some(5),
            Step::DividerDies => Some(6),
            Step::Arrives(_) => None,
        }
    }
}

/// Members' clocks run at true time; the divider's is faster by so many thousandths.
#[derive(Clone)]
struct Game {
    terms: Terms,
    divider_fast: u64,
    most: [u8; KINDS],
    want: Grains,
    #[cfg(feature = "planted")]
    planted: Option<Planted>,
}

impl Game {
    fn divider(&self, epoch: u64, now: u64) -> Divider {
        let now = self.at_divider(now);
        let made = match epoch {
            1 => Divider::first(epoch, WHOLE, self.terms, now),
            _ => Divider::following(epoch, WHOLE, self.terms, now),
        };
        #[cfg(feature = "planted")]
        if let Some(planted) = self.planted {
            return made.with(planted);
        }
        made
    }

    fn at_divider(&self, now: u64) -> u64 {
        now + now * self.divider_fast / 1000
    }

    fn arrives(&self, fleet: &mut Fleet, mail: Mail) -> Option<()> {
        let now = fleet.now;
        match mail {
            Mail::Said(from, say) => {
                let grant = fleet.divider.hear(self.at_divider(now), from, &say, WHOLE);
                fleet.mail.extend(grant.map(|g| Mail::Granted(from, g)));
            }
            Mail::Granted(to, grant) => member_of(fleet, to)?.granted(now, &grant),
            Mail::Asked(from, to, ask) => {
                let passed = member_of(fleet, to)?.passes(now, from, ask, 1)?;
                fleet.mail.insert(Mail::Passed(from, passed));
            }
            Mail::Passed(to, passed) => member_of(fleet, to)?.takes(now, &passed),
        }
        Some(())
    }
}

fn member_of(fleet: &mut Fleet, id: MemberId) -> Option<&mut Member> {
    fleet.members.iter_mut().find(|(of, _)| *of == id).map(|(_, member)| member)
}

impl Model for Game {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let of = |position| MemberId { position, born: 0 };
        let members = (0..MEMBERS as u32).map(|p| (of(p), Member::new(of(p), self.terms))).collect();
        let (divider, mail) = (self.divider(1, 0), BTreeSet::new());
        vec![Fleet { now: 0, divider, members, mail, epochs: 1, taken: [0; KINDS] }]
    }

    fn actions(&self, fleet: &Fleet, steps: &mut Vec<Step>) {
        let mut all = vec![Step::Time, Step::DividerDies];
        for m in 0..MEMBERS {
            all.extend([Step::GivesBack(m), Step::Renews(m), Step::Dies(m)]);
            // The members are alike at the start: the second asks after the first, the third after both.
            let fresh = |n: usize| fleet.members[n].1 == Member::new(fleet.members[n].0, self.terms);
            if (0..m).all(|n| !fresh(n)) {
                all.push(Step::Wants(m));
                all.extend((0..MEMBERS).filter(|o| *o != m).map(|o| Step::AsksOther(m, o)));
            }
        }
        let may = |s: &Step| s.kind().is_some_and(|kind| fleet.taken[kind] < self.most[kind]);
        steps.extend(all.into_iter().filter(may));
        steps.extend(fleet.mail.iter().cloned().map(Step::Arrives));
    }

    fn next_state(&self, last: &Fleet, step: Step) -> Option<Fleet> {
        let mut fleet = last.clone();
        if let Some(kind) = step.kind() {
            fleet.taken[kind] += 1;
        }
        let now = fleet.now;
        match step {
            Step::Time => {
                fleet.now += TICK;
                // What is over makes no difference between states.
                fleet.divider.settle(self.at_divider(fleet.now));
                fleet.members.iter_mut().for_each(|(_, member)| member.settle(now + TICK));
            }
            Step::Wants(m) => {
                let (id, member) = &mut fleet.members[m];
                let say = member.wants(now, self.want);
                fleet.mail.insert(Mail::Said(*id, say));
            }
            Step::Renews(m) => {
                let (id, member) = &mut fleet.members[m];
                let part = member.parts().next()?.0;
                let say = member.renews(now, part)?;
                fleet.mail.insert(Mail::Said(*id, say));
            }
            Step::GivesBack(m) => {
                let (id, member) = &mut fleet.members[m];
                let (part, grains, _) = member.parts().next()?;
                let say = member.gives_back(now, part, grains / 2)?;
                fleet.mail.insert(Mail::Said(*id, say));
            }
            Step::AsksOther(m, other) => {
                let to = fleet.members[other].0;
                let (id, member) = &mut fleet.members[m];
                let Say::More { ask, .. } = member.wants(now, 1) else { return None };
                fleet.mail.insert(Mail::Asked(*id, to, ask));
            }
            Step::Dies(m) => {
                let (id, member) = &mut fleet.members[m];
                if member.holds(now) == 0 {
                    return None;
                }
                id.born += 1;
                *member = Member::new(*id, self.terms);
            }
            Step::DividerDies => {
                fleet.epochs += 1;
                fleet.divider = self.divider(fleet.epochs, now);
            }
            Step::Arrives(mail) => self.arrives(&mut fleet, mail)?,
        }
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN, |_, fleet: &Fleet| held(fleet) <= WHOLE),
            Property::sometimes("all of it is held", |_, fleet: &Fleet| held(fleet) == WHOLE),
        ]
    }
}

const WITHIN: &str = "parts sum to at most the whole";

fn held(fleet: &Fleet) -> Grains {
    fleet.members.iter().map(|(_, m)| m.holds(fleet.now)).sum()
}

/// Clocks 20% apart, so that it shows within few steps of time.
fn game(most: [u8; KINDS], want: Grains) -> Game {
    Game {
        terms: Terms { term_ms: 3 * TICK, drift_ppm: 200_000 },
        divider_fast: 200,
        most,
        want,
        #[cfg(feature = "planted")]
        planted: None,
    }
}

fn holds(game: Game) {
    let most = game.most;
    let checked = game.checker().spawn_bfs().join();
    println!("{most:?}: {} states", checked.unique_state_count());
    checked.assert_properties();
}

#[test]
fn parts_that_are_wanted_and_gone_on_with_stay_within_the_whole() {
    holds(game([4, 3, 1, 0, 0, 0, 0], 1));
}

#[test]
fn parts_given_back_stay_within_the_whole() {
    holds(game([4, 2, 1, 1, 0, 0, 0], 2));
}

#[test]
fn parts_passed_on_stay_within_the_whole() {
    holds(game([4, 2, 1, 0, 1, 0, 0], 2));
}

#[test]
fn members_that_die_lose_their_parts_until_their_end() {
    holds(game([5, 2, 1, 0, 0, 1, 0], 2));
}

#[test]
fn a_divider_that_follows_another_grants_nothing_twice() {
    holds(game([6, 2, 1, 0, 0, 0, 1], 2));
}

/// The checker itself can fail: with clocks further apart than is stated.
#[test]
fn clocks_further_apart_than_stated_are_found() {
    let apart = Game { divider_fast: 1500, ..game([2, 3, 0, 0, 0, 0, 0], 1) };
    assert!(apart.checker().spawn_bfs().join().discovery(WITHIN).is_some());
}

#[cfg(feature = "planted")]
#[test]
fn planted_faults_are_found() {
    let early = Game { divider_fast: 600, ..game([2, 3, 0, 0, 0, 0, 0], 1) };
    let twice = game([1, 2, 0, 1, 0, 0, 0], 2);
    for (planted, game) in [(Planted::Early, early), (Planted::Twice, twice)] {
        let found = |planted| {
            let game = Game { planted, ..game.clone() };
            game.checker().spawn_bfs().join().discovery(WITHIN).is_some()
        };
        assert!(found(Some(planted)), "{planted:?}");
        assert!(!found(None), "{planted:?}: found without it");
    }
}
