//! The built-in scenarios. `docs/operate/rehearsal.md` describes a drill for each.

use crate::scenario::Scenario;

/// Name and TOML text of each scenario.
pub const ALL: &[(&str, &str)] = &[
    ("quiet-day", include_str!("../scenarios/quiet-day.toml")),
    ("reopening-day", include_str!("../scenarios/reopening-day.toml")),
    ("near-capacity", include_str!("../scenarios/near-capacity.toml")),
    ("fleet-restarted", include_str!("../scenarios/fleet-restarted.toml")),
    ("half-started-together", include_str!("../scenarios/half-started-together.toml")),
    ("stalled-node", include_str!("../scenarios/stalled-node.toml")),
    ("slow-drains", include_str!("../scenarios/slow-drains.toml")),
    ("building-cut-off", include_str!("../scenarios/building-cut-off.toml")),
    ("heals-during-drain", include_str!("../scenarios/heals-during-drain.toml")),
    ("flood-by-three", include_str!("../scenarios/flood-by-three.toml")),
    ("strangers", include_str!("../scenarios/strangers.toml")),
    ("rolling-restart", include_str!("../scenarios/rolling-restart.toml")),
    ("limiter-lost", include_str!("../scenarios/limiter-lost.toml")),
    ("limiter-stands-still", include_str!("../scenarios/limiter-stands-still.toml")),
    ("bad-nodes", include_str!("../scenarios/bad-nodes.toml")),
    ("lost-messages", include_str!("../scenarios/lost-messages.toml")),
    ("half-behind-proxies", include_str!("../scenarios/half-behind-proxies.toml")),
];

/// Returns the scenario with the given name, if there is one.
pub fn find(name: &str) -> Option<Scenario> {
    let (_, text) = ALL.iter().find(|(known, _)| *known == name)?;
    Scenario::read(text).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_scenario_is_valid_and_survives_a_round_trip() {
        for (name, text) in ALL {
            let scenario = Scenario::read(text).unwrap_or_else(|errors| panic!("{name}: {errors:?}"));
            assert!(!scenario.about.is_empty(), "{name} has no description");
            assert_eq!(Scenario::read(&scenario.write()), Ok(scenario), "{name}");
        }
    }
}
