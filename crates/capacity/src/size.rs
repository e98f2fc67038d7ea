//! The planned size of a deployment and its bounds, as operators write them.

use garde::Validate;
use serde::Deserialize;

use crate::InputError;

/// A planned size with its bounds.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Machines and where they are.
    #[garde(dive)]
    pub fleet: Fleet,
    /// Requests and whose they are.
    #[garde(dive)]
    pub traffic: Traffic,
    /// Bounds on the control work of a limiter.
    #[garde(dive)]
    pub control: Control,
    /// Changes of configuration and of the server list.
    #[garde(dive)]
    pub changes: Changes,
    /// Expected failures.
    #[garde(dive)]
    pub failures: Failures,
    /// How the limiters and servers are divided into tiers.
    #[garde(dive)]
    pub arrangement: Arrangement,
}

/// Machines and where they are.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of limiters.
    #[garde(range(min = 1, max = 100_000))]
    pub limiters: u32,
    /// Number of servers.
    #[garde(range(min = 1, max = 10_000_000))]
    pub servers: u32,
    /// Number of services that the servers belong to.
    #[garde(range(min = 1, max = 1_000_000))]
    pub services: u32,
    /// Number of regions.
    #[garde(range(min = 1, max = 1000))]
    pub regions: u32,
    /// Number of zones in all regions.
    #[garde(range(min = 1, max = 10_000))]
    pub zones: u32,
}

/// Requests and whose they are.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Peak rate, in requests per second.
    #[garde(range(min = 0.001, max = 1e9))]
    pub requests_per_s: f64,
    /// Number of routes.
    #[garde(range(min = 1, max = 100_000_000))]
    pub routes: u32,
    /// Number of tenants.
    #[garde(range(min = 1, max = 1_000_000_000))]
    pub tenants: u32,
    /// Maximum time that a limiter may add to a request at the 99th percentile, in milliseconds.
    #[garde(range(min = 0.001, max = 60_000.0))]
    pub added_ms: f64,
    /// Time that the longest ordinary request is open, in seconds.
    #[garde(range(min = 0.001, max = 3600.0))]
    pub open_s: f64,
}

/// Bounds on the control work of a limiter: what it spends on messages and lists rather than on requests.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// CPU time, in percent of one core.
    #[garde(range(min = 0.001, max = 100.0))]
    pub cpu_percent: f64,
    /// Memory of the process, in MB.
    #[garde(range(min = 0.1, max = 1e6))]
    pub memory_mb: f64,
    /// Traffic in both directions together, in KB/s.
    #[garde(range(min = 0.001, max = 1e6))]
    pub kb_per_s: f64,
    /// Messages from other limiters that a limiter receives per second.
    #[garde(range(min = 0.1, max = 1e6))]
    pub messages_per_s: f64,
    /// Number of machines reserved for control.
    #[garde(range(min = 0, max = 100_000))]
    pub machines: u32,
}

/// Changes of configuration and of the server list.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Changes of configuration per day.
    #[garde(range(min = 0.0, max = 1e9))]
    pub configurations_a_day: f64,
    /// Time within which a change must be in force everywhere, in seconds.
    #[garde(range(min = 0.001, max = 86_400.0))]
    pub in_force_s: f64,
    /// Changes of the server list per second during a release.
    #[garde(range(min = 0.0, max = 1e6))]
    pub list_per_s: f64,
}

/// Expected failures.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines that fail per ordinary day.
    #[garde(range(min = 0.0, max = 1e6))]
    pub machines_a_day: f64,
    /// Machines restarted or replaced per ordinary day.
    #[garde(range(min = 0.0, max = 1e6))]
    pub restarts_a_day: f64,
    /// Racks or switches that fail per year.
    #[garde(range(min = 0.0, max = 1e6))]
    pub racks_a_year: f64,
    /// Machines in one rack or behind one switch.
    #[garde(range(min = 1, max = 100_000))]
    pub machines_a_rack: u32,
    /// Zones that fail per year.
    #[garde(range(min = 0.0, max = 1e6))]
    pub zones_a_year: f64,
    /// Time for which regions cannot reach each other, in seconds.
    #[garde(range(min = 0.0, max = 1e7))]
    pub regions_apart_s: f64,
}

/// How the fleet is divided into tiers. Each tier has servers and quotas of its own.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Arrangement {
    /// Number of tiers; 1 if all limiters form one tier.
    #[garde(range(min = 1, max = 100_000))]
    pub tiers: u32,
    /// Number of tiers that serve any one tenant.
    #[garde(range(min = 1, max = 100_000))]
    pub tiers_a_tenant: u32,
}

impl Size {
    /// Parses the text of a file.
    ///
    /// # Errors
    /// All invalid values with their keys, or the first syntax error.
    pub fn parse(text: &str) -> Result<Size, Vec<InputError>> {
        let size: Size = crate::parse(text)?;
        let mut errors = Vec::new();
        let mut expect = |valid: bool, key: &str, what: &str| {
            if !valid {
                errors.push(InputError { key: key.to_string(), what: what.to_string() });
            }
        };
        let (fleet, tiers) = (&size.fleet, size.arrangement.tiers);
        expect(fleet.regions <= fleet.zones, "fleet.regions", "must not exceed the number of zones");
        expect(tiers <= fleet.limiters, "arrangement.tiers", "must not exceed the number of limiters");
        expect(tiers <= fleet.servers, "arrangement.tiers", "must not exceed the number of servers");
        expect(
            size.arrangement.tiers_a_tenant <= tiers,
            "arrangement.tiers_a_tenant",
            "must not exceed the number of tiers",
        );
        if errors.is_empty() {
            Ok(size)
        } else {
            Err(errors)
        }
    }

    /// Number of limiters in the largest tier.
    pub fn limiters_per_tier(&self) -> f64 {
        f64::from(self.fleet.limiters.div_ceil(self.arrangement.tiers))
    }

    /// Number of limiters in the smallest tier.
    pub fn limiters_in_smallest_tier(&self) -> f64 {
        f64::from(self.fleet.limiters / self.arrangement.tiers)
    }

    /// Number of servers of the largest tier.
    pub fn servers_per_tier(&self) -> f64 {
        f64::from(self.fleet.servers.div_ceil(self.arrangement.tiers))
    }

    /// Average number of tenants per tier, at most the number of all tenants.
    pub fn tenants_per_tier(&self) -> f64 {
        let assignments = f64::from(self.traffic.tenants) * f64::from(self.arrangement.tiers_a_tenant);
        (assignments / f64::from(self.arrangement.tiers)).min(f64::from(self.traffic.tenants))
    }

    /// Peak rate of a limiter in the smallest tier, in requests per second.
    pub fn requests_per_limiter(&self) -> f64 {
        let tier_rate = self.traffic.requests_per_s / f64::from(self.arrangement.tiers);
        tier_rate / self.limiters_in_smallest_tier()
    }
}
