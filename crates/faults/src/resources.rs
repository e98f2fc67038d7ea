//! Whether this machine has room for a run, asked before anything is started.

use marldeal_rehearsal::scenario::Scenario;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// Memory of one limiter with thin traffic, and of the ground itself, in MB: measured, with a third to spare.
const LIMITER_MB: f64 = 12.0;
const ENVIRONMENT_MB: f64 = 300.0;
/// Descriptors of the ground beside those counted below.
const OTHER_DESCRIPTORS: f64 = 200.0;
/// Connections of a limiter to nodes, and of clients to it, that are open at once: in seconds of its requests. Seen at 100
/// limiters with 7 requests a second requests_per_s, calm and cut off; `Fleet::descriptors` says what a run came to.
const SERVER_CONNECTIONS_S: f64 = 2.5;
const CLIENT_CONNECTIONS_S: f64 = 1.5;

/// What a run takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceNeeds {
    /// Descriptors of the ground.
    pub descriptors: u64,
    /// Memory of all.
    pub memory_mb: f64,
}

impl ResourceNeeds {
    /// Of a scenario of which `proxies` ways have a relay of their own.
    pub fn for_scenario(scenario: &Scenario, proxies: usize) -> ResourceNeeds {
        let limiters = f64::from(scenario.limiters.count);
        let requests_per_s = scenario.requests_per_s() / limiters;
        let server_connections = (requests_per_s * SERVER_CONNECTIONS_S).max(8.0);
        // A way with a relay costs a connection more on requests_per_s side of it.
        let hops = if proxies > 0 { 3.0 } else { 1.0 };
        let listeners = f64::from(scenario.nodes.count) + proxies as f64;
        // A face, a log and a process handle for requests_per_s; both ends of nothing but our own are here.
        let descriptors = OTHER_DESCRIPTORS
            + listeners
            + limiters * (3.0 + server_connections * hops + requests_per_s * CLIENT_CONNECTIONS_S);
        ResourceNeeds { descriptors: descriptors as u64, memory_mb: ENVIRONMENT_MB + limiters * LIMITER_MB }
    }

    /// Makes room where the limit may be raised.
    ///
    /// # Errors
    /// One plain line: what there is too little of.
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
    fn what_cannot_fit_is_refused_with_the_number_needed() {
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
