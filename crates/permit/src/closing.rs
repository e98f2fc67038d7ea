//! Whether a client's connection may be closed now.

/// Why a connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Nothing has been asked on it for long, or the process ends.
    Idle,
    /// It makes way for another one.
    MakesWay,
    /// A part of a request has come on it, and the rest does not follow in time.
    Stalled,
}

/// A client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection {
    /// A request of it has been read and has no final answer.
    pub request_open: bool,
    /// Bytes that it has sent lie unread.
    pub unread: bool,
    /// It was kept for that before, and has been read since.
    pub already_deferred: bool,
}

/// Why it stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// An answer is owed on it.
    AnswerPending,
    /// What lies unread may be a request: it has to be read first, and the close would reset it.
    UnreadData,
}

/// Whether a connection may be closed now. What lies unread is read first: while the process stood still the rest of a request
/// may have come. One that stalled is kept for that once, since a sender that trickles would never end.
///
/// # Errors
/// Why not.
pub fn may_close(connection: Connection, why: CloseReason) -> Result<(), KeepReason> {
    match why {
        _ if connection.request_open => Err(KeepReason::AnswerPending),
        CloseReason::Stalled if connection.unread && !connection.already_deferred => {
            Err(KeepReason::UnreadData)
        }
        CloseReason::Stalled => Ok(()),
        CloseReason::Idle | CloseReason::MakesWay if connection.unread => Err(KeepReason::UnreadData),
        CloseReason::Idle | CloseReason::MakesWay => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_owed_or_unread_keeps_a_connection_open() {
        let of = |request_open, unread| Connection { request_open, unread, already_deferred: false };
        for why in [CloseReason::Idle, CloseReason::MakesWay, CloseReason::Stalled] {
            assert_eq!(may_close(of(true, false), why), Err(KeepReason::AnswerPending));
            assert_eq!(may_close(of(false, false), why), Ok(()));
        }
        assert_eq!(may_close(of(false, true), CloseReason::Idle), Err(KeepReason::UnreadData));
        assert_eq!(may_close(of(false, true), CloseReason::MakesWay), Err(KeepReason::UnreadData));
        assert_eq!(may_close(of(false, true), CloseReason::Stalled), Err(KeepReason::UnreadData));
        assert_eq!(
            may_close(Connection { already_deferred: true, ..of(false, true) }, CloseReason::Stalled),
            Ok(())
        );
    }
}
