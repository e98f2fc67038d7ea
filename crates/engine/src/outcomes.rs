//! The one table of outcomes: what an answer, or a proxy's word on why there is none, says of an attempt.

use fawnhill::Outcome;

/// What an answer's status says. `unprocessed` tells that it carried `X-Unprocessed: 1`: turned away unseen.
pub fn from_response(status: u16, unprocessed: bool) -> Outcome {
    match status {
        200 => Outcome::Ok,
        503 | 504 if unprocessed => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// What the flags of a proxy's access log (`%RESPONSE_FLAGS%`, Envoy's "access logging") say of an attempt that got no
/// answer from its server; nothing if they name no failure of the upstream. Where several are told, the one that
/// leaves more open counts: an attempt that may have run is never taken for one that has not.
pub fn from_response_flags(flags: &str) -> Option<Outcome> {
    let told = |names: &[&str]| flags.split(',').any(|flag| names.contains(&flag.trim()));
    if told(&["UC", "UR", "UPE"]) {
        Some(Outcome::Severed)
    } else if told(&["UT", "SI", "DT"]) {
        Some(Outcome::TimedOut)
    } else if told(&["DC", "DR"]) {
        Some(Outcome::Cancelled)
    } else if told(&["UF"]) {
        Some(Outcome::NoConnection)
    } else if told(&["UH", "UO", "NR", "NC"]) {
        Some(Outcome::NotSent)
    } else {
        None
    }
}

/// The same for flags told as a bit field (Envoy's attribute `response.flags`).
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
    fn only_the_mark_makes_a_refusal_one_that_never_ran() {
        assert_eq!(from_response(503, true), Outcome::Full);
        assert_eq!(from_response(504, true), Outcome::Full);
        assert_eq!(from_response(503, false), Outcome::Error);
        assert_eq!(from_response(500, true), Outcome::Error);
        assert_eq!(from_response(200, false), Outcome::Ok);
    }

    #[test]
    fn of_several_flags_the_more_doubtful_counts() {
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
