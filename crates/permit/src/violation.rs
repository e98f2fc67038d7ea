//! Checks attempts that have been written against the sending rules, and counts the violations.

use std::fmt;

use crate::sending::MAX_STALL_MS;
use crate::Millis;

/// A rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was written for a request that had its final answer or whose client had disconnected.
    SentAfterEnd,
    /// An attempt was written after the client's deadline by more than [`MAX_STALL_MS`].
    SentAfterDeadline,
    /// An attempt was written while another one of the same request was outstanding.
    SentWhileOutstanding,
    /// A request had no answer at its deadline and was answered by the backstop timer.
    AnsweredByBackstop,
}

impl Violation {
    /// All violations, in declaration order.
    pub const ALL: [Violation; 4] = [
        Violation::SentAfterEnd,
        Violation::SentAfterDeadline,
        Violation::SentWhileOutstanding,
        Violation::AnsweredByBackstop,
    ];

    /// Name in logs and metrics; stable across versions.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SentAfterEnd => "sent_after_end",
            Violation::SentAfterDeadline => "sent_after_deadline",
            Violation::SentWhileOutstanding => "sent_beside_another",
            Violation::AnsweredByBackstop => "answered_by_backstop",
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// State of a request when the last byte of one of its attempts has been written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WrittenAttempt {
    /// Current time.
    pub now: Millis,
    /// The request has no final answer, and its client is not known to have disconnected.
    pub request_open: bool,
    /// Number of outstanding attempts of the request, including this one.
    pub outstanding: usize,
    /// Time at which the client gives up; infinite while a body is being transferred.
    pub deadline: Millis,
}

impl WrittenAttempt {
    /// The rule that the write violated, if any.
    pub fn violation(&self) -> Option<Violation> {
        if self.outstanding > 1 {
            return Some(Violation::SentWhileOutstanding);
        }
        if !self.request_open {
            return Some(Violation::SentAfterEnd);
        }
        (self.now > self.deadline + MAX_STALL_MS).then_some(Violation::SentAfterDeadline)
    }
}

/// Number of violations of each rule.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViolationCounts([u64; Violation::ALL.len()]);

impl ViolationCounts {
    /// Counts one violation.
    pub fn record(&mut self, violation: Violation) {
        self.0[violation as usize] += 1;
    }

    /// Number of violations of one rule.
    pub fn count(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// Number of violations of all rules.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_violation_is_detected_and_counted() {
        let valid = WrittenAttempt { now: 1000.0, request_open: true, outstanding: 1, deadline: 1000.0 };
        assert_eq!(valid.violation(), None);
        assert_eq!(
            WrittenAttempt { now: 1150.0, ..valid }.violation(),
            None,
            "delayed by the longest stall that is allowed for"
        );
        let cases = [
            (WrittenAttempt { outstanding: 2, ..valid }, Violation::SentWhileOutstanding),
            (WrittenAttempt { request_open: false, ..valid }, Violation::SentAfterEnd),
            (WrittenAttempt { now: 1151.0, ..valid }, Violation::SentAfterDeadline),
        ];
        let mut counts = ViolationCounts::default();
        for (written, violation) in cases {
            assert_eq!(written.violation(), Some(violation));
            counts.record(violation);
            assert_eq!(counts.count(violation), 1);
        }
        assert_eq!((counts.total(), counts.count(Violation::AnsweredByBackstop)), (3, 0));
    }
}
