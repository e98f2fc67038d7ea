//! What has happened, held against the rules while a process runs: counted, and told to whoever keeps the log.

use std::fmt;

use crate::sending::MAX_STALL_MS;
use crate::Millis;

/// A rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was written for a request that had its final answer, or whose client had left.
    SentAfterEnd,
    /// An attempt was written after its client's time, by more than a process may be held up.
    SentAfterDeadline,
    /// An attempt was written while another one was out.
    SentWhileOutstanding,
    /// A request had no answer at its deadline and was given one by the backstop.
    AnsweredByBackstop,
}

impl Violation {
    /// All of them.
    pub const ALL: [Violation; 4] = [
        Violation::SentAfterEnd,
        Violation::SentAfterDeadline,
        Violation::SentWhileOutstanding,
        Violation::AnsweredByBackstop,
    ];

    /// Its name in logs and figures, the same from version to version.
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

/// An attempt whose last byte has been written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WrittenAttempt {
    /// The time.
    pub now: Millis,
    /// Its request has no final answer yet, and its client has not left as far as is known.
    pub request_open: bool,
    /// Attempts of its request that are out, itself among them.
    pub outstanding: usize,
    /// When its client gives up; infinite while a body is on its way.
    pub deadline: Millis,
}

impl WrittenAttempt {
    /// The rule that it breaks, if it breaks one.
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

/// How often each rule was broken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViolationCounts([u64; Violation::ALL.len()]);

impl ViolationCounts {
    /// One more.
    pub fn record(&mut self, violation: Violation) {
        self.0[violation as usize] += 1;
    }

    /// How often this one.
    pub fn count(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// How often any.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_broken_rule_is_named_and_counted() {
        let good = WrittenAttempt { now: 1000.0, request_open: true, outstanding: 1, deadline: 1000.0 };
        assert_eq!(good.violation(), None);
        assert_eq!(WrittenAttempt { now: 1150.0, ..good }.violation(), None, "held up as long as it may be");
        let cases = [
            (WrittenAttempt { outstanding: 2, ..good }, Violation::SentWhileOutstanding),
            (WrittenAttempt { request_open: false, ..good }, Violation::SentAfterEnd),
            (WrittenAttempt { now: 1151.0, ..good }, Violation::SentAfterDeadline),
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
