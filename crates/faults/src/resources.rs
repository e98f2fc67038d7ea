//! Checks that the machine has the resources for a run before anything is started.

use marldeal_rehearsal::scenario::Scenario;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// Memory of one limiter with little traffic, and of the test environment itself, in MB, with a third to spare.
const LIMITER_MB: f64 = 12.0;
const ENVIRONMENT_MB: f64 = 300.0;
/// Descriptors of the test environment beside those counted below.
const OTHER_DESCRIPTORS: f64 = 200.0;
/// Open connections of a limiter to servers, and of clients to it, as seconds of its requests. Measured with
/// 100 limiters of 7 requests a second each, without faults and cut off; `Fleet::descriptors` says what a run
/// used.
const SERVER_CONNECTIONS_S: f64 = 2.5;
const CLIENT_CONNECTIONS_S: f64 = 1.5;

/// Resources that a run needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceNeeds {
    /// Descriptors of the test environment.
    pub descriptors: u64,
    /// Memory of all processes, in MB.
    pub memory_mb: f64,
}

impl ResourceNeeds {
    /// Estimates the needs of a scenario in which `proxies` links have a proxy.
    pub fn for_scenario(scenario: &Scenario, proxies: usize) -> ResourceNeeds {
        let limiters = f64::from(scenario.limiters.count);
        let requests_per_s = scenario.requests_per_s() / limiters;
        let server_connections = (requests_per_s * SERVER_CONNECTIONS_S).max(8.0);
        // A proxy adds a connection on each of its two sides.
        let hops = if proxies > 0 { 3.0 } else { 1.0 };
        let listeners = f64::from(scenario.nodes.count) + proxies as f64;
        // Each limiter takes a proxy socket, a log and a process handle; only the sockets of this process count
        // here.
        let descriptors = OTHER_DESCRIPTORS
            + listeners
            + limiters * (3.0 + server_connections * hops + requests_per_s * CLIENT_CONNECTIONS_S);
        ResourceNeeds { descriptors: descriptors as u64, memory_mb: ENVIRONMENT_MB + limiters * LIMITER_MB }
    }

    /// Checks the needs, and raises the limit of descriptors where that is allowed.
    ///
    /// # Errors
    /// Says which resource is too small.
    pub fn check(&self) -> Result<(), String> {
        let limit = getrlimit(Resource::Nofile);
        let (now, most) = (limit.current.unwrap_or(u64::MAX), limit.maximum.unwrap_or(u64::MAX));
        if self.descriptors > most {
            return Err(format!(
                "too few descriptors: {} are needed, this process may open {most} (`ulimit -n`)",
                self.descriptors
            ));
        }
        if self.descriptors > now {
            let raised = Rlimit { current: Some(most), maximum: limit.maximum };
            setrlimit(Resource::Nofile, raised).map_err(|e| format!("descriptors: {e}"))?;
        }
        let free_mb = procfs::Current::current()
            .ok()
            .and_then(|m: procfs::Meminfo| m.mem_available)
            .map(|bytes| bytes as f64 / f64::from(1 << 20));
        match free_mb {
            Some(free) if free < self.memory_mb => {
                Err(format!("too little memory: {:.0} MB are needed, {free:.0} MB are free", self.memory_mb))
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn missing_resources_are_refused_with_the_number_needed() {
        let mut scenario = Scenario::default();
        scenario.limiters.count = 300;
        let small = ResourceNeeds::for_scenario(&Scenario::default(), 0);
        let large = ResourceNeeds::for_scenario(&scenario, 0);
        assert!(small.descriptors < large.descriptors && small.memory_mb < large.memory_mb);
        assert!(ResourceNeeds::for_scenario(&scenario, 50).descriptors > large.descriptors);
        let never = ResourceNeeds { descriptors: u64::MAX - 1, ..small };
        if getrlimit(Resource::Nofile).maximum.is_some() {
            assert!(never.check().is_err_and(|why| why.contains(&format!("{} are needed", u64::MAX - 1))));
        }
        let huge = ResourceNeeds { memory_mb: 1e12, ..small };
        assert!(huge.check().is_err_and(|why| why.contains("too little memory")));
    }
}
