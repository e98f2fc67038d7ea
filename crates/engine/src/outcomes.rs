//! Mapping of server responses and proxy failure flags to attempt outcomes.

use fawnhill::Outcome;

/// Returns the outcome of an attempt that was answered with `status`. `unprocessed` says whether the response carried
/// `X-Unprocessed: 1`, by which a server states that it rejected the request without processing it.
pub fn from_response(status: u16, unprocessed: bool) -> Outcome {
    match status {
        200 => Outcome::Ok,
        503 | 504 if unprocessed => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Whether an attempt that ended so may have been executed by its server.
pub fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
}

/// Returns the outcome of an attempt that got no response from its server, by the response flags of a proxy
/// (`%RESPONSE_FLAGS%` in Envoy's access logs), or `None` if no flag names an upstream failure.
///
/// Of several flags the most uncertain one counts, so that an attempt that may have run is never reported as one that
/// has not.
pub fn from_response_flags(flags: &str) -> Option<Outcome> {
    let has_any = |names: &[&str]| flags.split(',').any(|flag| names.contains(&flag.trim()));
    if has_any(&["UC", "UR", "UPE"]) {
        Some(Outcome::Severed)
    } else if has_any(&["UT", "SI", "DT"]) {
        Some(Outcome::TimedOut)
    } else if has_any(&["DC", "DR"]) {
        Some(Outcome::Cancelled)
    } else if has_any(&["UF"]) {
        Some(Outcome::NoConnection)
    } else if has_any(&["UH", "UO", "NR", "NC"]) {
        Some(Outcome::NotSent)
    } else {
        None
    }
}

/// Same as [`from_response_flags`] for flags given as a bit field (Envoy's attribute `response.flags`).
pub fn from_response_flag_bits(bits: u64) -> Option<Outcome> {
    const NAMES: [(u64, &str); 8] = [
        (0x2, "UH"),
        (0x4, "UT"),
        (0x10, "UR"),
        (0x20, "UF"),
        (0x40, "UC"),
        (0x80, "UO"),
        (0x100, "NR"),
        (0x1000, "DC"),
    ];
    let names: Vec<&str> = NAMES.iter().filter(|(bit, _)| bits & bit != 0).map(|(_, name)| *name).collect();
    from_response_flags(&names.join(","))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_an_unprocessed_response_counts_as_not_run() {
        assert_eq!(from_response(503, true), Outcome::Full);
        assert_eq!(from_response(504, true), Outcome::Full);
        assert_eq!(from_response(503, false), Outcome::Error);
        assert_eq!(from_response(500, true), Outcome::Error);
        assert_eq!(from_response(200, false), Outcome::Ok);
    }

    #[test]
    fn most_uncertain_of_several_flags_counts() {
        assert_eq!(from_response_flags("UF"), Some(Outcome::NoConnection));
        assert_eq!(from_response_flags("URX,UF"), Some(Outcome::NoConnection));
        assert_eq!(from_response_flags("UF,UC"), Some(Outcome::Severed));
        assert_eq!(from_response_flags("UH , UT"), Some(Outcome::TimedOut));
        assert_eq!(from_response_flags("UO"), Some(Outcome::NotSent));
        assert_eq!(from_response_flags("-"), None);
        assert_eq!(from_response_flags(""), None);
        assert_eq!(from_response_flag_bits(0x20), Some(Outcome::NoConnection));
        assert_eq!(from_response_flag_bits(0x60), Some(Outcome::Severed));
        assert_eq!(from_response_flag_bits(0), None);
    }
}
