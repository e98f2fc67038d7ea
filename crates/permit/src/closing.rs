//! Decides whether a client's connection may be closed now.

/// Why a connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// No request has arrived on the connection for a long time, or the process is ending.
    Idle,
    /// The connection is evicted to make room for another one. The variant name appears in log lines.
    MakesWay,
    /// Part of a request has arrived, and the rest did not follow in time.
    Stalled,
    /// Slow transfers take too many connections, and this one makes the least progress.
    SlowTransfer,
}

/// State of a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection {
    /// A request has been read and has no final answer yet.
    pub request_open: bool,
    /// The socket holds received bytes that have not been read.
    pub unread: bool,
    /// A close was already deferred because of unread bytes, and they have been read since.
    pub already_deferred: bool,
}

/// Why a connection has to stay open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// A request on the connection has not been answered.
    AnswerPending,
    /// The unread bytes may be a request: they have to be read first, since closing now would reset the connection.
    UnreadData,
}

/// Whether a connection may be closed now. Unread bytes are read first, since the rest of a request may have arrived
/// while the process was stalled. A connection with a stalled request is spared for that reason only once: otherwise
/// a client that sends its request in small pieces could keep it open for ever.
///
/// # Errors
/// The reason to keep the connection open, if it may not be closed.
pub fn may_close(connection: Connection, why: CloseReason) -> Result<(), KeepReason> {
    match why {
        _ if connection.request_open => Err(KeepReason::AnswerPending),
        CloseReason::Stalled if connection.unread && !connection.already_deferred => {
            Err(KeepReason::UnreadData)
        }
        CloseReason::Stalled | CloseReason::SlowTransfer => Ok(()),
        CloseReason::Idle | CloseReason::MakesWay if connection.unread => Err(KeepReason::UnreadData),
        CloseReason::Idle | CloseReason::MakesWay => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pending_answer_or_unread_data_keeps_a_connection_open() {
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
