//! The accept queue: how many connections wait in it, and its end in a process that is about to exit, where connections that
//! the kernel has accepted are answered and new ones are blocked.

use std::fs::File;
use std::io::{self, Read};
use std::net::{SocketAddr, SocketAddrV4};

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

/// The kernel's table of TCP sockets over IPv4. Listeners stand first in it.
const TCP_TABLE: &str = "/proc/self/net/tcp";
/// Bytes of the table that are read: some two hundred listeners.
const MAX_TABLE_BYTES: u64 = 32 << 10;
/// The state of a listener in the table.
const STATE_LISTEN: &str = "0A";

/// Number of connections that wait to be accepted at an address; `None` if the kernel does not tell.
pub fn queue_length(addr: SocketAddr) -> Option<u64> {
    let SocketAddr::V4(addr) = addr else { return None };
    let mut table = Vec::new();
    File::open(TCP_TABLE).ok()?.take(MAX_TABLE_BYTES).read_to_end(&mut table).ok()?;
    queue_length_in(&String::from_utf8_lossy(&table), addr)
}

/// Finds a listener in the table. Its receive queue is its accept queue (proc_net_tcp in the kernel's documentation).
fn queue_length_in(table: &str, addr: SocketAddrV4) -> Option<u64> {
    let ip = u32::from_ne_bytes(addr.ip().octets());
    let local_address = format!("{ip:08X}:{:04X}", addr.port());
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, _remote, state) = (fields.next()?, fields.next()?, fields.next()?);
        let (_, receive_queue) = fields.next()?.split_once(':')?;
        let is_listener = local == local_address && state == STATE_LISTEN;
        is_listener.then(|| u64::from_str_radix(receive_queue, 16).ok()).flatten()
    })
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waiting_connections_are_counted() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        assert_eq!(queue_length(addr), Some(0));
        let clients: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(addr).expect("connect")).collect();
        assert_eq!(queue_length(addr), Some(3));
        listener.accept().expect("accept");
        assert_eq!(queue_length(addr), Some(2));
        drop(clients);
        drop(listener);
        assert_eq!(queue_length(addr), None);
    }

    #[test]
    fn table_without_the_listener_or_with_other_contents_tells_nothing() {
        let addr = SocketAddrV4::new([127, 0, 0, 1].into(), 80);
        assert_eq!(queue_length_in("", addr), None);
        assert_eq!(queue_length_in("sl local\n 0: x y\n", addr), None);
    }
}
