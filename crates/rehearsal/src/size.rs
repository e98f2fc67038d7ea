//! Scenarios at the planned size of the deployment. A run at full size takes minutes and gigabytes of memory; scaled
//! down it takes seconds.

use crate::scenario::Scenario;

/// Name and TOML text of each scenario.
pub const ALL: &[(&str, &str)] = &[
    ("calm", include_str!("../scenarios/size/calm.toml")),
    ("zone-lost", include_str!("../scenarios/size/zone-lost.toml")),
    ("regions-parted", include_str!("../scenarios/size/regions-parted.toml")),
    ("replaced", include_str!("../scenarios/size/replaced.toml")),
];

/// Returns the scenario with the given name at full size, if there is one.
pub fn find(name: &str) -> Option<Scenario> {
    let (_, text) = ALL.iter().find(|(known, _)| *known == name)?;
    Scenario::read(text).ok()
}

/// Returns the scenario with another number of limiters, and the same number of servers and the same load per
/// limiter.
pub fn scaled_to(scenario: &Scenario, limiters: u32) -> Scenario {
    let mut scaled = scenario.clone();
    let factor = f64::from(limiters) / f64::from(scenario.limiters.count);
    scaled.limiters.count = limiters;
    scaled.limiters.prefetch = (f64::from(scenario.limiters.prefetch) * factor).round() as u32;
    scaled.nodes.count = (f64::from(scenario.nodes.count) * factor).round().max(2.0) as u32;
    scaled
}
