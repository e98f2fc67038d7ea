//! The accept queue of a process that is about to exit: connections that the kernel has accepted are answered, and
//! new ones are blocked.

use std::io;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

use crate::transient;

/// Position of the flags in a TCP header (RFC 9293, section 3.1), and the flag of a segment that opens a connection.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
/// Number of bytes of a segment that the filter keeps: all.
const KEEP_ALL: u32 = u32::MAX;
/// A packet filter (classic BPF) that drops the segments that open a connection. It sees each segment from its TCP
/// header on. The other segments pass, so that a handshake that has begun is completed: its client counts it as
/// established before the listener does.
const DROP_SYN: [SockFilter; 4] = [
    // BPF_LD | BPF_B | BPF_ABS: loads the flags.
    SockFilter::new(0x30, 0, 0, TCP_FLAGS_OFFSET),
    // BPF_JMP | BPF_JSET | BPF_K: skips one instruction unless the flag is set.
    SockFilter::new(0x45, 0, 1, TCP_SYN),
    // BPF_RET | BPF_K
    SockFilter::new(0x06, 0, 0, 0),
    SockFilter::new(0x06, 0, 0, KEEP_ALL),
];
/// Failures to accept after which the rest of the queue is left for the next call.
const MAX_FAILURES: usize = 8;
/// Connections that are accepted in one call.
const MAX_TAKEN: usize = 256;

/// Blocks new connections at a listener. Their clients get no answer, and are refused once the listener is closed;
/// queued connections stay, and handshakes that have begun are completed. Only for a listener that no other process
/// shares. If the system refuses the filter, nothing changes.
pub fn block_new_connections(listener: &TcpListener) {
    let _ = SockRef::from(listener).attach_filter(&DROP_SYN);
}

/// Connections from a listener's queue.
pub struct Taken {
    /// The accepted connections.
    pub streams: Vec<TcpStream>,
    /// No connection was left in the queue.
    pub queue_empty: bool,
}

/// Accepts the connections in a listener's queue, whether or not the event loop has been notified of them. Some are
/// left if there are very many, or if accepting fails.
pub fn take_queued(listener: &TcpListener) -> Taken {
    let mut taken = Taken { streams: Vec::new(), queue_empty: false };
    let mut failures = 0;
    while failures < MAX_FAILURES && taken.streams.len() < MAX_TAKEN {
        match next(listener) {
            Ok(stream) => taken.streams.push(stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                taken.queue_empty = true;
                break;
            }
            Err(e) if transient::is_transient(&e) => failures += 1,
            Err(_) => break,
        }
    }
    taken
}

fn next(listener: &TcpListener) -> io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}
