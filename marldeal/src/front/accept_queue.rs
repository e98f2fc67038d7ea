//! The accept queue of a process that is about to exit: connections that the kernel has accepted are answered, and
//! new ones are blocked.

use std::io;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

use crate::transient;

/// A packet filter that drops everything: the single instruction `BPF_RET | BPF_K` with 0 bytes to keep.
const DROP_ALL: [SockFilter; 1] = [SockFilter::new(0x06, 0, 0, 0)];
/// Consecutive failures to accept, after which the queue counts as empty.
const MAX_CONSECUTIVE_FAILURES: usize = 8;

/// Blocks new connections at a listener. Their clients get no answer, or are refused once the process has exited;
/// queued connections stay. Only for a listener that no other process shares. If the system refuses the filter,
/// nothing changes.
pub fn block_new_connections(listener: &TcpListener) {
    let _ = SockRef::from(listener).attach_filter(&DROP_ALL);
}

/// Accepts all connections in a listener's queue, whether or not the event loop has been notified of them.
pub fn take_queued(listener: &TcpListener) -> Vec<TcpStream> {
    let mut all = Vec::new();
    let mut failures = 0;
    while failures < MAX_CONSECUTIVE_FAILURES {
        match next(listener) {
            Ok(stream) => all.push(stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) if transient::is_transient(&e) => failures += 1,
            Err(_) => break,
        }
    }
    all
}

fn next(listener: &TcpListener) -> io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}
