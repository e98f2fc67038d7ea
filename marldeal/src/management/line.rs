//! The line protocol of the operators' listener: one call per connection. No I/O.

use std::fmt::Write;

use marldeal_engine::counters::RequestOutcome;

use crate::driver::DriverStats;

/// The calls that operators can make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process can serve.
    Status,
    /// Asks for the counters and gauges.
    Stats,
    /// Stops taking clients.
    Standby,
    /// Takes clients again.
    Active,
}

/// Longest line that is accepted, including its end.
pub const MAX_LINE_BYTES: usize = 64;

/// The result of parsing the bytes received so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parsed {
    /// The line is not complete yet.
    Incomplete,
    /// A valid call.
    Call(Call),
    /// Not a valid call, and the reason.
    Invalid(&'static str),
}

const CALLS: [(&str, Call); 4] =
    [("status", Call::Status), ("stats", Call::Stats), ("standby", Call::Standby), ("active", Call::Active)];

/// Parses the received bytes. Only the first line counts. `ended` says that no more bytes will follow.
pub fn parse(bytes: &[u8], ended: bool) -> Parsed {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return match () {
            () if bytes.len() >= MAX_LINE_BYTES => Parsed::Invalid("the line is too long"),
            () if ended && !bytes.is_empty() => Parsed::Invalid("the line did not come whole"),
            () if ended => Parsed::Invalid("no call"),
            () => Parsed::Incomplete,
        };
    };
    if end >= MAX_LINE_BYTES {
        return Parsed::Invalid("the line is too long");
    }
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]).trim_ascii();
    match CALLS.iter().find(|(name, _)| name.as_bytes() == line) {
        Some((_, call)) => Parsed::Call(*call),
        None if line.is_empty() => Parsed::Invalid("no call"),
        None if !line.is_ascii() => Parsed::Invalid("a call is written in ASCII"),
        None => Parsed::Invalid("unknown call"),
    }
}

/// Formats all counters and gauges, one per line. `class_names` are the names of the classes in their order.
pub fn stats_lines(class_names: &[String], stats: &DriverStats) -> String {
    let mut text = String::new();
    for (label, outcome) in [
        ("succeeded", RequestOutcome::Succeeded),
        ("declined", RequestOutcome::Declined),
        ("aborted", RequestOutcome::Aborted),
    ] {
        for (class, name) in class_names.iter().enumerate() {
            let _ = writeln!(text, "{label}.{name}={}", stats.request_counters.finished(class, outcome));
        }
    }
    let totals = [
        ("forwards", stats.request_counters.forwarded()),
        ("outstanding", stats.request_counters.outstanding()),
        ("discovered", stats.discovered as u64),
        ("ejected", stats.ejected as u64),
        ("sighup_applied", stats.reloads.applied),
        ("sighup_rejected", stats.reloads.rejected),
        ("denied", stats.denied),
        ("transfers_ended", stats.ended_transfers),
        ("violations", stats.violations),
        ("log_dropped", stats.log_dropped),
    ];
    for (name, value) in totals {
        let _ = writeln!(text, "{name}={value}");
    }
    text
}

/// The answer to a successful call: one line, or the statistics and a final `EOT` line.
pub fn success(message: &str, stats: Option<&str>) -> String {
    match stats {
        Some(stats) => format!("SUCCESS {message}\n{stats}EOT\n"),
        None => format!("SUCCESS {message}\n"),
    }
}

/// The answer to a call that failed.
pub fn failure(reason: &str) -> String {
    format!("FAILURE {reason}\n")
}

/// The answer to an invalid call. It lists the valid ones.
pub fn invalid_call(reason: &str) -> String {
    let names: Vec<&str> = CALLS.iter().map(|(name, _)| *name).collect();
    failure(&format!("{reason}; the calls are {}", names.join(", ")))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn first_line_is_the_call_and_may_end_in_crlf() {
        assert_eq!(parse(b"stat", false), Parsed::Incomplete);
        assert_eq!(parse(b"status\n", false), Parsed::Call(Call::Status));
        assert_eq!(parse(b"standby\r\n", false), Parsed::Call(Call::Standby));
        assert_eq!(parse(b"active\nstandby\n", false), Parsed::Call(Call::Active));
        assert_eq!(parse(b" stats \n", true), Parsed::Call(Call::Stats));
    }

    #[test]
    fn invalid_calls_are_rejected() {
        for (bytes, ended) in [
            (&b"\n"[..], false),
            (b"", true),
            (b"status", true),
            (b"Status\n", false),
            (b"maint-on\n", false),
            (b"stats now\n", false),
            (b"st\xc3\xa4tus\n", false),
            (b"status\0\n", false),
            (&[b'x'; MAX_LINE_BYTES], false),
        ] {
            assert!(matches!(parse(bytes, ended), Parsed::Invalid(_)), "{bytes:?}");
        }
        assert_eq!(
            invalid_call("unknown call"),
            "FAILURE unknown call; the calls are status, stats, standby, active\n"
        );
    }

    proptest! {
        /// However the bytes are split into reads, the result is the same, and the parser never waits for more
        /// than the maximum.
        #[test]
        fn parsing_in_pieces_equals_parsing_the_whole(bytes in prop::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>(), b'a'..=b'z'], 0..100)) {
            let whole = parse(&bytes, true);
            let first = (0..=bytes.len()).map(|n| parse(&bytes[..n], false)).find(|r| *r != Parsed::Incomplete);
            if let Some(first) = first {
                prop_assert_eq!(first, whole);
            }
            prop_assert!(bytes.len() < MAX_LINE_BYTES || parse(&bytes, false) != Parsed::Incomplete);
        }
    }
}
