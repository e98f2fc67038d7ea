//! Counters of requests and attempts: received, finished, forwarded to servers. Each process counts from 0.

/// How a request ended, as seen by its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client got the answer of a server.
    Succeeded,
    /// The request was not served, and repeating it is harmless.
    Declined,
    /// The request failed without any guarantee that it did not run, or its client disconnected.
    Aborted,
}

/// Counters of one request class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ClassCounters {
    received: u64,
    /// Finished requests, indexed by [`RequestOutcome`].
    finished: [u64; 3],
}

/// Request and attempt counters. Every received request is counted as finished exactly once.
#[derive(Debug, Clone, Default)]
pub struct RequestCounters {
    classes: Vec<ClassCounters>,
    forwarded: u64,
}

impl RequestCounters {
    /// Creates counters at 0 for the given number of classes.
    pub fn new(classes: usize) -> RequestCounters {
        RequestCounters { classes: vec![ClassCounters::default(); classes], ..RequestCounters::default() }
    }

    /// Counts a request that was received whole.
    pub fn record_received(&mut self, class: usize) {
        if let Some(c) = self.classes.get_mut(class) {
            c.received += 1;
        }
    }

    /// Counts the end of a received request.
    pub fn record_finished(&mut self, class: usize, outcome: RequestOutcome) {
        if let Some(c) = self.classes.get_mut(class) {
            c.finished[outcome as usize] += 1;
        }
    }

    /// Counts an attempt that was written whole to a server.
    pub fn record_forwarded(&mut self) {
        self.forwarded += 1;
    }

    /// Counts a request that a front end answered itself, without passing it to the engine.
    pub fn record_answered_locally(&mut self, class: usize, outcome: RequestOutcome) {
        self.record_received(class);
        self.record_finished(class, outcome);
    }

    /// Returns the number of attempts that were written whole to servers.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns the number of requests of a class that ended with `outcome`.
    pub fn finished(&self, class: usize, outcome: RequestOutcome) -> u64 {
        self.classes.get(class).map_or(0, |c| c.finished[outcome as usize])
    }

    /// Returns the number of requests that were received and have not finished.
    pub fn outstanding(&self) -> u64 {
        self.classes.iter().map(|c| c.received - c.finished.iter().sum::<u64>()).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn received_request_is_outstanding_until_it_finishes() {
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
