//! What is counted of requests and attempts: taken, ended, written to servers. Each process counts from 0.

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a server's answer.
    Succeeded,
    /// Not served; trying again is harmless.
    Declined,
    /// With no promise, or with nobody there to hear.
    Aborted,
}

/// The requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Class {
    taken: u64,
    ends: [u64; 3],
}

/// The counters: every request that is taken ends in exactly one count.
#[derive(Debug, Clone, Default)]
pub struct RequestCounters {
    classes: Vec<Class>,
    forwards: u64,
}

impl RequestCounters {
    /// Nothing counted, for so many classes.
    pub fn new(classes: usize) -> RequestCounters {
        RequestCounters { classes: vec![Class::default(); classes], ..RequestCounters::default() }
    }

    /// A request of a class has come whole.
    pub fn record_received(&mut self, class: usize) {
        if let Some(c) = self.classes.get_mut(class) {
            c.taken += 1;
        }
    }

    /// A request that was taken has ended.
    pub fn record_finished(&mut self, class: usize, outcome: RequestOutcome) {
        if let Some(c) = self.classes.get_mut(class) {
            c.ends[outcome as usize] += 1;
        }
    }

    /// An attempt has been written whole to a server.
    pub fn record_forwarded(&mut self) {
        self.forwards += 1;
    }

    /// A front has ended a request itself: the engine never saw it.
    pub fn record_answered_locally(&mut self, class: usize, outcome: RequestOutcome) {
        self.record_received(class);
        self.record_finished(class, outcome);
    }

    /// Attempts written whole to servers.
    pub fn forwarded(&self) -> u64 {
        self.forwards
    }

    /// How many requests of a class ended so.
    pub fn finished(&self, class: usize, outcome: RequestOutcome) -> u64 {
        self.classes.get(class).map_or(0, |c| c.ends[outcome as usize])
    }

    /// Requests taken and not ended.
    pub fn outstanding(&self) -> u64 {
        self.classes.iter().map(|c| c.taken - c.ends.iter().sum::<u64>()).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_taken_is_outstanding_until_its_one_end() {
        let mut counters = RequestCounters::new(2);
        for (class, outcome) in
            [(0, RequestOutcome::Succeeded), (0, RequestOutcome::Declined), (1, RequestOutcome::Aborted)]
        {
            counters.record_received(class);
            assert_eq!(counters.outstanding(), 1);
            counters.record_finished(class, outcome);
        }
        counters.record_answered_locally(1, RequestOutcome::Aborted);
        assert_eq!(
            (
                counters.outstanding(),
                counters.finished(1, RequestOutcome::Aborted),
                counters.finished(0, RequestOutcome::Succeeded)
            ),
            (0, 2, 1)
        );
    }
}
