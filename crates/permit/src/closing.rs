//! Whether a client's connection may be closed now.

/// Why a connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
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
    pub reread: bool,
}

/// Why it stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kept {
    /// An answer is owed on it.
    AnswerOwed,
    /// What lies unread may be a request: it has to be read first, and the close would reset it.
    Unread,
}

/// Whether a connection may be closed now. What lies unread is read first: while the process stood still the rest of a request
/// may have come. One that stalled is kept for that once, since a sender that trickles would never end.
///
/// # Errors
/// Why not.
pub fn may_close(connection: Connection, why: Closing) -> Result<(), Kept> {
    match why {
        _ if connection.request_open => Err(Kept::AnswerOwed),
        Closing::Stalled if connection.unread && !connection.reread => Err(Kept::Unread),
        Closing::Stalled => Ok(()),
        Closing::Idle | Closing::MakesWay if connection.unread => Err(Kept::Unread),
        Closing::Idle | Closing::MakesWay => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_owed_or_unread_keeps_a_connection_open() {
        let of = |request_open, unread| Connection { request_open, unread, reread: false };
        for why in [Closing::Idle, Closing::MakesWay, Closing::Stalled] {
            assert_eq!(may_close(of(true, false), why), Err(Kept::AnswerOwed));
            assert_eq!(may_close(of(false, false), why), Ok(()));
        }
        assert_eq!(may_close(of(false, true), Closing::Idle), Err(Kept::Unread));
        assert_eq!(may_close(of(false, true), Closing::MakesWay), Err(Kept::Unread));
        assert_eq!(may_close(of(false, true), Closing::Stalled), Err(Kept::Unread));
        assert_eq!(may_close(Connection { reread: true, ..of(false, true) }, Closing::Stalled), Ok(()));
    }
}
