//! The line protocol of the operators' listener: one call to a connection, without I/O.

use std::fmt::Write;

use marldeal_engine::counters::RequestOutcome;

use crate::driver::DriverStats;

/// What may be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Status,
    /// The figures.
    Stats,
    /// Send clients away.
    Standby,
    /// Take clients again.
    Active,
}

/// Longest call taken in, its end included.
pub const MOST_LINE: usize = 64;

/// What came so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// No whole line yet.
    More,
    /// A whole call.
    Call(Call),
    /// No call, and why.
    Bad(&'static str),
}

const CALLS: [(&str, Call); 4] =
    [("status", Call::Status), ("stats", Call::Stats), ("standby", Call::Standby), ("active", Call::Active)];

/// Reads what has come; the first line counts, whatever follows it. `ended`: nothing more comes.
pub fn read(bytes: &[u8], ended: bool) -> Read {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return match () {
            () if bytes.len() >= MOST_LINE => Read::Bad("the line is too long"),
            () if ended && !bytes.is_empty() => Read::Bad("the line did not come whole"),
            () if ended => Read::Bad("no call"),
            () => Read::More,
        };
    };
    if end >= MOST_LINE {
        return Read::Bad("the line is too long");
    }
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]).trim_ascii();
    match CALLS.iter().find(|(name, _)| name.as_bytes() == line) {
        Some((_, call)) => Read::Call(*call),
        None if line.is_empty() => Read::Bad("no call"),
        None if !line.is_ascii() => Read::Bad("a call is written in ASCII"),
        None => Read::Bad("unknown call"),
    }
}

/// All figures, a line each, for classes of these names.
pub fn figures(names: &[String], figures: &DriverStats) -> String {
    let mut text = String::new();
    for (what, end) in [
        ("succeeded", RequestOutcome::Succeeded),
        ("declined", RequestOutcome::Declined),
        ("aborted", RequestOutcome::Aborted),
    ] {
        for (class, name) in names.iter().enumerate() {
            let _ = writeln!(text, "{what}.{name}={}", figures.request_counters.finished(class, end));
        }
    }
    let rest = [
        ("forwards", figures.request_counters.forwarded()),
        ("outstanding", figures.request_counters.outstanding()),
        ("discovered", figures.discovered as u64),
        ("ejected", figures.ejected as u64),
        ("sighup_applied", figures.reloads.applied),
        ("sighup_rejected", figures.reloads.rejected),
        ("denied", figures.denied),
        ("violations", figures.violations),
    ];
    for (name, figure) in rest {
        let _ = writeln!(text, "{name}={figure}");
    }
    text
}

/// The answer to a call that went well: one line, or the figures and a last line.
pub fn success(said: &str, figures: Option<&str>) -> String {
    match figures {
        Some(figures) => format!("SUCCESS {said}\n{figures}EOT\n"),
        None => format!("SUCCESS {said}\n"),
    }
}

/// The answer to anything else.
pub fn failure(why: &str) -> String {
    format!("FAILURE {why}\n")
}

/// The answer to what is no call, with those that are.
pub fn no_call(why: &str) -> String {
    let names: Vec<&str> = CALLS.iter().map(|(name, _)| *name).collect();
    failure(&format!("{why}; the calls are {}", names.join(", ")))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_first_line_counts_and_ends_may_be_crlf() {
        assert_eq!(read(b"stat", false), Read::More);
        assert_eq!(read(b"status\n", false), Read::Call(Call::Status));
        assert_eq!(read(b"standby\r\n", false), Read::Call(Call::Standby));
        assert_eq!(read(b"active\nstandby\n", false), Read::Call(Call::Active));
        assert_eq!(read(b" stats \n", true), Read::Call(Call::Stats));
    }

    #[test]
    fn what_is_no_call_is_named() {
        for (bytes, ended) in [
            (&b"\n"[..], false),
            (b"", true),
            (b"status", true),
            (b"Status\n", false),
            (b"maint-on\n", false),
            (b"stats now\n", false),
            (b"st\xc3\xa4tus\n", false),
            (b"status\0\n", false),
            (&[b'x'; MOST_LINE], false),
        ] {
            assert!(matches!(read(bytes, ended), Read::Bad(_)), "{bytes:?}");
        }
        assert_eq!(
            no_call("unknown call"),
            "FAILURE unknown call; the calls are status, stats, standby, active\n"
        );
    }

    proptest! {
        /// However the bytes fall into reads, the result is the same, and no more than the bound is waited for.
        #[test]
        fn pieces_read_as_the_whole(bytes in prop::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>(), b'a'..=b'z'], 0..100)) {
            let whole = read(&bytes, true);
            let first = (0..=bytes.len()).map(|n| read(&bytes[..n], false)).find(|r| *r != Read::More);
            if let Some(first) = first {
                prop_assert_eq!(first, whole);
            }
            prop_assert!(bytes.len() < MOST_LINE || read(&bytes, false) != Read::More);
        }
    }
}
