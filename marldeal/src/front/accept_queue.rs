//! The last connections of a process that ends: whoever its machine has accepted is answered, and nobody else is accepted.

use std::io;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

use crate::transient;

/// A packet filter that lets nothing through: the one instruction `BPF_RET | BPF_K` with 0 bytes to keep.
const NOTHING: [SockFilter; 1] = [SockFilter::new(0x06, 0, 0, 0)];
/// Failures in a row of taking from the queue, after which it counts as empty.
const MOST_FAILURES: usize = 8;

/// Keeps new connections from coming up at a listener. Their clients hear nothing, or are refused once the process has gone;
/// the queue stays as it is. Only for a listener that no other process shares. Where the system refuses it nothing changes.
pub fn shut_out(listener: &TcpListener) {
    let _ = SockRef::from(listener).attach_filter(&NOTHING);
}

/// Takes all connections that lie in the queue of a listener at this moment, whether or not the event loop has been told.
pub fn in_queue(listener: &TcpListener) -> Vec<TcpStream> {
    let mut all = Vec::new();
    let mut failures = 0;
    while failures < MOST_FAILURES {
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
