//! Decides whether an attempt, the first one or a retry, may be sent now.

use std::fmt;

use crate::Millis;

/// Maximum age of the last check that the client is connected. Starting an attempt more than 100 ms after the client
/// has closed its connection is a violation, and a full turn of the event loop may pass before the close is read.
pub const MAX_CLIENT_CHECK_AGE_MS: Millis = 50.0;
/// Longest stall that is allowed for between reading the clock and writing the request.
pub const MAX_STALL_MS: Millis = 150.0;
/// Largest fraction of a key's deduplication window that is reserved for a stall; applies to short windows.
const MAX_STALL_FRACTION: f64 = 0.25;

/// Effect of executing a request a second time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// A second execution is harmless.
    Safe,
    /// Servers drop a second execution as long as they remember the request's idempotency key.
    Keyed {
        /// How long servers remember the key, counted from when the request may first have run.
        window_ms: Millis,
    },
    /// A second execution does harm.
    Unsafe,
}

/// State of the client that waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ClientState {
    /// The client's connection was open at the last check.
    Connected {
        /// Time of that check.
        checked_at: Millis,
    },
    /// The client has closed or reset its connection, or has received its answer.
    Disconnected,
}

/// An attempt that is about to be sent, and the facts that the decision depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attempt {
    /// Current time.
    pub now: Millis,
    /// State of the client that made the request.
    pub client: ClientState,
    /// The server is listed under the same address as when it was picked, and takes new requests.
    pub server_accepts: bool,
    /// Every server list update that discovery has sent so far has been read.
    pub server_list_current: bool,
    /// Time at which the client gives up.
    pub deadline: Millis,
    /// Effect of a second execution of the request.
    pub effect: Effect,
    /// When the first attempt that a server may have executed was sent, if there was one.
    pub may_have_run: Option<Millis>,
    /// Another attempt of the same request is outstanding.
    pub another_outstanding: bool,
}

/// A fact that has to be refreshed before the question can be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// Whether the client is still connected.
    Client,
    /// Server list updates that discovery has sent and that have not been read yet.
    ServerList,
}

/// Why an attempt may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The client no longer waits for the answer.
    ClientDisconnected,
    /// The client's deadline has passed.
    DeadlinePassed,
    /// The server drains, was removed, or has moved to another address.
    ServerUnavailable,
    /// Two attempts of the request would be outstanding at once.
    AnotherOutstanding,
    /// Servers may have forgotten the idempotency key by the time the attempt arrives.
    KeyExpired,
    /// An earlier attempt may have been executed, and a second execution would do harm.
    MayHaveRun,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Denied::ClientDisconnected => "the client has disconnected",
            Denied::DeadlinePassed => "the deadline has passed",
            Denied::ServerUnavailable => "the server takes no new requests",
            Denied::AnotherOutstanding => "another attempt of the request is outstanding",
            Denied::KeyExpired => "servers may have forgotten the idempotency key",
            Denied::MayHaveRun => "an earlier attempt may have been executed",
        })
    }
}

/// Answer to the question whether an attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt may be sent, provided that its bytes are written at once.
    Allowed,
    /// The named fact has to be refreshed, and the question asked again.
    CheckFirst(Check),
    /// The attempt may not be sent.
    Denied(Denied),
}

/// Usable part of the window in which servers remember an idempotency key. The rest covers a stall between the decision
/// and the write.
pub fn usable_window_ms(window_ms: Millis) -> Millis {
    window_ms - MAX_STALL_MS.min(window_ms * MAX_STALL_FRACTION)
}

/// Whether a retry may be made at all. `since` is when the first attempt that a server may have executed was sent.
///
/// # Errors
/// The reason, if a retry is not allowed.
pub fn may_retry(now: Millis, effect: Effect, since: Option<Millis>) -> Result<(), Denied> {
    match (effect, since) {
        (_, None) | (Effect::Safe, _) => Ok(()),
        (Effect::Unsafe, Some(_)) => Err(Denied::MayHaveRun),
        (Effect::Keyed { window_ms }, Some(since)) if now - since < usable_window_ms(window_ms) => Ok(()),
        (Effect::Keyed { .. }, Some(_)) => Err(Denied::KeyExpired),
    }
}

/// Whether an attempt may be sent now. Reasons that rule it out for good take precedence over facts to
/// refresh.
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

    fn allowed_attempt() -> Attempt {
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
    fn each_rule_alone_denies_or_requires_a_check() {
        let keyed = Effect::Keyed { window_ms: 1000.0 };
        let cases = [
            (allowed_attempt(), Verdict::Allowed),
            (
                Attempt { another_outstanding: true, ..allowed_attempt() },
                Verdict::Denied(Denied::AnotherOutstanding),
            ),
            (Attempt { now: 2000.0, ..allowed_attempt() }, Verdict::Denied(Denied::DeadlinePassed)),
            (
                Attempt { client: ClientState::Disconnected, ..allowed_attempt() },
                Verdict::Denied(Denied::ClientDisconnected),
            ),
            (
                Attempt { server_accepts: false, ..allowed_attempt() },
                Verdict::Denied(Denied::ServerUnavailable),
            ),
            (Attempt { may_have_run: Some(999.0), ..allowed_attempt() }, Verdict::Denied(Denied::MayHaveRun)),
            (
                Attempt { effect: keyed, may_have_run: Some(149.0), ..allowed_attempt() },
                Verdict::Denied(Denied::KeyExpired),
            ),
            (Attempt { effect: keyed, may_have_run: Some(151.0), ..allowed_attempt() }, Verdict::Allowed),
            (
                Attempt { effect: Effect::Safe, may_have_run: Some(0.0), ..allowed_attempt() },
                Verdict::Allowed,
            ),
            (
                Attempt { server_list_current: false, ..allowed_attempt() },
                Verdict::CheckFirst(Check::ServerList),
            ),
            (
                Attempt { client: ClientState::Connected { checked_at: 949.0 }, ..allowed_attempt() },
                Verdict::CheckFirst(Check::Client),
            ),
        ];
        for (attempt, verdict) in cases {
            assert_eq!(may_send(&attempt), verdict, "{attempt:?}");
        }
    }

    #[test]
    fn three_quarters_of_a_short_window_are_usable() {
        assert_eq!((usable_window_ms(8000.0), usable_window_ms(400.0)), (7850.0, 300.0));
        assert_eq!(usable_window_ms(f64::INFINITY), f64::INFINITY);
    }

    proptest! {
        /// For arbitrary facts, an allowed attempt satisfies every rule, even if the write is delayed by the longest
        /// stall that is allowed for.
        #[test]
        fn an_allowed_attempt_satisfies_every_rule(
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
