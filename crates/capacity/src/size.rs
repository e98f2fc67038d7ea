//! The size that is planned for, and the bounds that hold there, as operators write them.

use garde::Validate;
use serde::Deserialize;

use crate::InputError;

/// A size with its bounds.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// What there is.
    #[garde(dive)]
    pub fleet: Fleet,
    /// What is asked for.
    #[garde(dive)]
    pub traffic: Traffic,
    /// What control may cost a limiter.
    #[garde(dive)]
    pub control: Control,
    /// What changes.
    #[garde(dive)]
    pub changes: Changes,
    /// What fails.
    #[garde(dive)]
    pub failures: Failures,
    /// How the fleet is divided.
    #[garde(dive)]
    pub arrangement: Arrangement,
}

/// Machines and where they stand.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Limiters.
    #[garde(range(min = 1, max = 100_000))]
    pub limiters: u32,
    /// Servers.
    #[garde(range(min = 1, max = 10_000_000))]
    pub servers: u32,
    /// Services that the servers belong to.
    #[garde(range(min = 1, max = 1_000_000))]
    pub services: u32,
    /// Regions.
    #[garde(range(min = 1, max = 1000))]
    pub regions: u32,
    /// Zones over all regions.
    #[garde(range(min = 1, max = 10_000))]
    pub zones: u32,
}

/// Requests and whose they are.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Requests a second at the peak.
    #[garde(range(min = 0.001, max = 1e9))]
    pub requests_per_s: f64,
    /// Routes.
    #[garde(range(min = 1, max = 100_000_000))]
    pub routes: u32,
    /// Tenants.
    #[garde(range(min = 1, max = 1_000_000_000))]
    pub tenants: u32,
    /// Milliseconds that may be added to a request, for 99 in 100.
    #[garde(range(min = 0.001, max = 60_000.0))]
    pub added_ms: f64,
    /// Seconds that a request is open, the longest usual one.
    #[garde(range(min = 0.001, max = 3600.0))]
    pub open_s: f64,
}

/// What control may cost a limiter.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Per cent of one core.
    #[garde(range(min = 0.001, max = 100.0))]
    pub cpu_percent: f64,
    /// Memory of the process, in MB.
    #[garde(range(min = 0.1, max = 1e6))]
    pub memory_mb: f64,
    /// Kilobytes a second, in and out.
    #[garde(range(min = 0.001, max = 1e6))]
    pub kb_per_s: f64,
    /// Messages between limiters that one takes in a second.
    #[garde(range(min = 0.1, max = 1e6))]
    pub messages_per_s: f64,
    /// Machines set aside for control.
    #[garde(range(min = 0, max = 100_000))]
    pub machines: u32,
}

/// What changes.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Changes of configuration a day.
    #[garde(range(min = 0.0, max = 1e9))]
    pub configurations_a_day: f64,
    /// Seconds within which each is in force everywhere.
    #[garde(range(min = 0.001, max = 86_400.0))]
    pub in_force_s: f64,
    /// Changes of the list of servers a second while a release goes on.
    #[garde(range(min = 0.0, max = 1e6))]
    pub list_per_s: f64,
}

/// What fails.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines that fail on an ordinary day.
    #[garde(range(min = 0.0, max = 1e6))]
    pub machines_a_day: f64,
    /// Machines restarted or replaced on an ordinary day.
    #[garde(range(min = 0.0, max = 1e6))]
    pub restarts_a_day: f64,
    /// Racks or switches that go in a year.
    #[garde(range(min = 0.0, max = 1e6))]
    pub racks_a_year: f64,
    /// Machines behind one of them.
    #[garde(range(min = 1, max = 100_000))]
    pub machines_a_rack: u32,
    /// Zones that go in a year.
    #[garde(range(min = 0.0, max = 1e6))]
    pub zones_a_year: f64,
    /// Seconds for which regions lose each other.
    #[garde(range(min = 0.0, max = 1e7))]
    pub regions_apart_s: f64,
}

/// How the fleet is divided into tiers, of which each stands before servers of its own and holds quotas of its own.
#[derive(Debug, Clone, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Arrangement {
    /// Tiers; 1 for one of all limiters.
    #[garde(range(min = 1, max = 100_000))]
    pub tiers: u32,
    /// Tiers in which a tenant is a tenant.
    #[garde(range(min = 1, max = 100_000))]
    pub tiers_a_tenant: u32,
}

impl Size {
    /// Reads a file.
    ///
    /// # Errors
    /// Each mistake with its key.
    pub fn parse(text: &str) -> Result<Size, Vec<InputError>> {
        let size: Size = crate::read(text)?;
        let mut wrong = Vec::new();
        let mut expect = |good: bool, key: &str, what: &str| {
            if !good {
                wrong.push(InputError { key: key.to_string(), what: what.to_string() });
            }
        };
        let (fleet, tiers) = (&size.fleet, size.arrangement.tiers);
        expect(fleet.regions <= fleet.zones, "fleet.regions", "at most as many as zones are expected");
        expect(tiers <= fleet.limiters, "arrangement.tiers", "at most as many as limiters are expected");
        expect(tiers <= fleet.servers, "arrangement.tiers", "at most as many as servers are expected");
        expect(
            size.arrangement.tiers_a_tenant <= tiers,
            "arrangement.tiers_a_tenant",
            "at most as many as tiers are expected",
        );
        if wrong.is_empty() {
            Ok(size)
        } else {
            Err(wrong)
        }
    }

    /// Limiters of the largest tier.
    pub fn limiters_per_tier(&self) -> f64 {
        f64::from(self.fleet.limiters.div_ceil(self.arrangement.tiers))
    }

    /// Limiters of the smallest tier.
    pub fn limiters_in_smallest_tier(&self) -> f64 {
        f64::from(self.fleet.limiters / self.arrangement.tiers)
    }

    /// Servers of a tier.
    pub fn servers_per_tier(&self) -> f64 {
        f64::from(self.fleet.servers.div_ceil(self.arrangement.tiers))
    }

    /// Tenants of a tier.
    pub fn tenants_per_tier(&self) -> f64 {
        let held = f64::from(self.traffic.tenants) * f64::from(self.arrangement.tiers_a_tenant);
        (held / f64::from(self.arrangement.tiers)).min(f64::from(self.traffic.tenants))
    }

    /// Requests a second of one limiter, of the smallest tier.
    pub fn requests_per_limiter(&self) -> f64 {
        let tier = self.traffic.requests_per_s / f64::from(self.arrangement.tiers);
        tier / self.limiters_in_smallest_tier()
    }
}
