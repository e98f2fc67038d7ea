//! Built-in plans: scenarios of the simulation, made for real processes.

use marldeal_rehearsal::scenario::Scenario;

/// Name and text of each plan.
pub const ALL: &[(&str, &str)] = &[
    ("calm", include_str!("../plans/calm.toml")),
    ("woken-together", include_str!("../plans/woken-together.toml")),
    ("stopped-past-deadlines", include_str!("../plans/stopped-past-deadlines.toml")),
    ("one-way", include_str!("../plans/one-way.toml")),
    ("each-its-own-partition", include_str!("../plans/each-its-own-partition.toml")),
    ("twice-and-late", include_str!("../plans/twice-and-late.toml")),
    ("killed-at-work", include_str!("../plans/killed-at-work.toml")),
    ("seven-in-ten", include_str!("../plans/seven-in-ten.toml")),
    ("one-after-another", include_str!("../plans/one-after-another.toml")),
    ("mute-to-a-third", include_str!("../plans/mute-to-a-third.toml")),
    ("discovery-spoilt", include_str!("../plans/discovery-spoilt.toml")),
    ("discovery-silent", include_str!("../plans/discovery-silent.toml")),
    ("third-cut-off", include_str!("../plans/third-cut-off.toml")),
    ("hangs-on-sigterm", include_str!("../plans/hangs-on-sigterm.toml")),
    ("streams-spoilt", include_str!("../plans/streams-spoilt.toml")),
    ("slow-cores", include_str!("../plans/slow-cores.toml")),
];

/// Returns the plan of that name, or else the scenario of the simulation; `None` if there is neither.
pub fn find(name: &str) -> Option<Scenario> {
    let plan = ALL.iter().find(|(known, _)| *known == name).and_then(|(_, text)| Scenario::read(text).ok());
    plan.or_else(|| marldeal_rehearsal::library::find(name))
}

pub use marldeal_rehearsal::size::scaled_to;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn plans_are_valid_described_and_supported() {
        for (name, text) in ALL {
            let plan = Scenario::read(text).unwrap_or_else(|wrong| panic!("{name}: {wrong:?}"));
            assert!(!plan.about.is_empty(), "{name}");
            assert_eq!(crate::environment::unsupported(&plan), Vec::<String>::new(), "{name}");
        }
    }

    #[test]
    fn resized_plan_keeps_the_load_per_limiter() {
        let calm = find("calm").expect("a plan");
        let each = |s: &Scenario| s.requests_per_s() / f64::from(s.limiters.count);
        let large = scaled_to(&calm, 300);
        assert_eq!(large.limiters.count, 300);
        assert!((each(&large) / each(&calm) - 1.0).abs() < 0.1, "{} {}", each(&large), each(&calm));
    }
}
