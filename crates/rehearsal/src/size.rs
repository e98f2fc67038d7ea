//! The size that is planned for, as scenarios: the whole of it takes minutes and gigabytes, a small form seconds.

use crate::scenario::Scenario;

/// Name of each scenario, and its file.
pub const ALL: &[(&str, &str)] = &[
    ("calm", include_str!("../scenarios/size/calm.toml")),
    ("zone-lost", include_str!("../scenarios/size/zone-lost.toml")),
    ("regions-parted", include_str!("../scenarios/size/regions-parted.toml")),
    ("replaced", include_str!("../scenarios/size/replaced.toml")),
];

/// The scenario of that name at its whole size; nothing if there is none.
pub fn find(name: &str) -> Option<Scenario> {
    let (_, text) = ALL.iter().find(|(known, _)| *known == name)?;
    Scenario::read(text).ok()
}

/// The same with another number of limiters, and as many nodes and as much load for each.
pub fn scaled_to(scenario: &Scenario, limiters: u32) -> Scenario {
    let mut sized = scenario.clone();
    let times = f64::from(limiters) / f64::from(scenario.limiters.count);
    sized.limiters.count = limiters;
    sized.limiters.prefetch = (f64::from(scenario.limiters.prefetch) * times).round() as u32;
    sized.nodes.count = (f64::from(scenario.nodes.count) * times).round().max(2.0) as u32;
    sized
}
