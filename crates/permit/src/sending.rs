//! Whether an attempt, first or further, may go out now.

use std::fmt;

use crate::Millis;

/// A client that was connected so long ago may have left: an attempt that begins more than 100 ms after its close is a break,
/// and word of the close may lie unread behind a full turn of the event loop.
pub const MAX_CLIENT_CHECK_AGE_MS: Millis = 50.0;
/// A process may be held up for so long between reading its clock and writing.
pub const MAX_STALL_MS: Millis = 150.0;
/// Share of the window in which servers drop repeats that being held up may cost at most, where the window is short.
const MAX_STALL_FRACTION: f64 = 0.25;

/// What a second execution of a request would do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// No harm.
    Safe,
    /// None, as long as servers remember its key.
    Keyed {
        /// How long they do, from when it first may have run.
        window_ms: Millis,
    },
    /// Harm.
    Unsafe,
}

/// The client that waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ClientState {
    /// Its connection was open when it was last looked at.
    Connected {
        /// When that was.
        checked_at: Millis,
    },
    /// It has closed or reset its connection, or has its answer.
    Disconnected,
}

/// An attempt that is about to go out, and what is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attempt {
    /// The time.
    pub now: Millis,
    /// Who waits for it.
    pub client: ClientState,
    /// The server is in the list, where it was, and takes new work.
    pub server_accepts: bool,
    /// All that discovery has told by now has been read.
    pub server_list_current: bool,
    /// When its client gives up.
    pub deadline: Millis,
    /// What a second execution would do.
    pub effect: Effect,
    /// When the first attempt that may have run went out.
    pub may_have_run: Option<Millis>,
    /// Another attempt of the same request is out.
    pub another_outstanding: bool,
}

/// What has to be looked at before the question can be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// Whether the client is still there.
    Client,
    /// What discovery has told and nobody has read.
    ServerList,
}

/// Why an attempt may not go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// Nobody waits for it.
    ClientDisconnected,
    /// Its client's time is over.
    DeadlinePassed,
    /// The server drains, is gone, or is elsewhere.
    ServerUnavailable,
    /// Two would be out at once.
    AnotherOutstanding,
    /// Servers may have forgotten its key by the time it arrives.
    KeyExpired,
    /// An earlier attempt may have run, and a second execution would do harm.
    MayHaveRun,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Denied::ClientDisconnected => "its client has disconnected",
            Denied::DeadlinePassed => "its deadline has passed",
            Denied::ServerUnavailable => "the server takes nothing new",
            Denied::AnotherOutstanding => "another attempt is out",
            Denied::KeyExpired => "servers may have forgotten its key",
            Denied::MayHaveRun => "an earlier attempt may have run",
        })
    }
}

/// The answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may go out, if the bytes do so at once.
    Allowed,
    /// Something has to be looked at; then to be asked again.
    CheckFirst(Check),
    /// It may not.
    Denied(Denied),
}

/// How much of a window in which servers drop repeats can be used: a process that is held up writes later than it decides.
pub fn usable_window_ms(window_ms: Millis) -> Millis {
    window_ms - MAX_STALL_MS.min(window_ms * MAX_STALL_FRACTION)
}

/// Whether a further attempt may be made at all, `since` when the first one that may have run went out.
///
/// # Errors
/// Why not.
pub fn may_retry(now: Millis, effect: Effect, since: Option<Millis>) -> Result<(), Denied> {
    match (effect, since) {
        (_, None) | (Effect::Safe, _) => Ok(()),
        (Effect::Unsafe, Some(_)) => Err(Denied::MayHaveRun),
        (Effect::Keyed { window_ms }, Some(since)) if now - since < usable_window_ms(window_ms) => Ok(()),
        (Effect::Keyed { .. }, Some(_)) => Err(Denied::KeyExpired),
    }
}

/// Whether an attempt may go out now. What rules it out for good comes before what has to be looked at.
pub fn may_send(attempt: &Attempt) -> Verdict {
    let Attempt { now, effect, may_have_run, .. } = *attempt;
    if attempt.another_outstanding {
        return Verdict::Denied(Denied::AnotherOutstanding);
    }
    if now >= attempt.deadline {
        return Verdict::Denied(Denied::DeadlinePassed);
    }
    if let Err(why) = may_retry(now, effect, may_have_run) {
        return Verdict::Denied(why);
    }
    let checked_at = match attempt.client {
        ClientState::Disconnected => return Verdict::Denied(Denied::ClientDisconnected),
        ClientState::Connected { checked_at } => checked_at,
    };
    if !attempt.server_accepts {
        return Verdict::Denied(Denied::ServerUnavailable);
    }
    if !attempt.server_list_current {
        return Verdict::CheckFirst(Check::ServerList);
    }
    if now - checked_at > MAX_CLIENT_CHECK_AGE_MS {
        return Verdict::CheckFirst(Check::Client);
    }
    Verdict::Allowed
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn good() -> Attempt {
        Attempt {
            now: 1000.0,
            client: ClientState::Connected { checked_at: 1000.0 },
            server_accepts: true,
            server_list_current: true,
            deadline: 2000.0,
            effect: Effect::Unsafe,
            may_have_run: None,
            another_outstanding: false,
        }
    }

    #[test]
    fn each_rule_alone_denies_or_asks_for_a_look() {
        let keyed = Effect::Keyed { window_ms: 1000.0 };
        let cases = [
            (good(), Verdict::Allowed),
            (Attempt { another_outstanding: true, ..good() }, Verdict::Denied(Denied::AnotherOutstanding)),
            (Attempt { now: 2000.0, ..good() }, Verdict::Denied(Denied::DeadlinePassed)),
            (
                Attempt { client: ClientState::Disconnected, ..good() },
                Verdict::Denied(Denied::ClientDisconnected),
            ),
            (Attempt { server_accepts: false, ..good() }, Verdict::Denied(Denied::ServerUnavailable)),
            (Attempt { may_have_run: Some(999.0), ..good() }, Verdict::Denied(Denied::MayHaveRun)),
            (
                Attempt { effect: keyed, may_have_run: Some(149.0), ..good() },
                Verdict::Denied(Denied::KeyExpired),
            ),
            (Attempt { effect: keyed, may_have_run: Some(151.0), ..good() }, Verdict::Allowed),
            (Attempt { effect: Effect::Safe, may_have_run: Some(0.0), ..good() }, Verdict::Allowed),
            (Attempt { server_list_current: false, ..good() }, Verdict::CheckFirst(Check::ServerList)),
            (
                Attempt { client: ClientState::Connected { checked_at: 949.0 }, ..good() },
                Verdict::CheckFirst(Check::Client),
            ),
        ];
        for (attempt, verdict) in cases {
            assert_eq!(may_send(&attempt), verdict, "{attempt:?}");
        }
    }

    #[test]
    fn a_short_window_keeps_three_quarters() {
        assert_eq!((usable_window_ms(8000.0), usable_window_ms(400.0)), (7850.0, 300.0));
        assert_eq!(usable_window_ms(f64::INFINITY), f64::INFINITY);
    }

    proptest! {
        /// Whatever is known, what is allowed keeps every rule, also if it is written as late as a process may be held up.
        #[test]
        fn what_is_allowed_keeps_every_rule(
            now in 0.0..5000.0f64, checked_at in 0.0..5000.0f64, connected in any::<bool>(), accepts in any::<bool>(),
            read in any::<bool>(), deadline in 0.0..5000.0f64, window_ms in 1.0..9000.0f64, kind in 0u8..3,
            ran in prop::option::of(0.0..5000.0f64), another_outstanding in any::<bool>(),
        ) {
            let client = if connected { ClientState::Connected { checked_at } } else { ClientState::Disconnected };
            let effect = [Effect::Safe, Effect::Keyed { window_ms }, Effect::Unsafe][usize::from(kind)];
            let attempt = Attempt { now, client, server_accepts: accepts, server_list_current: read, deadline, effect, may_have_run: ran, another_outstanding };
            if may_send(&attempt) == Verdict::Allowed {
                prop_assert!(connected && now - checked_at <= MAX_CLIENT_CHECK_AGE_MS);
                prop_assert!(accepts && read && !another_outstanding && now < deadline);
                if let (Effect::Keyed { window_ms }, Some(ran)) = (effect, ran) {
                    prop_assert!(now + MAX_STALL_MS.min(window_ms / 4.0) - ran <= window_ms + 1e-9);
                }
                prop_assert!(effect != Effect::Unsafe || ran.is_none());
            }
        }
    }
}
