//! Upgrades a limiter from one process to the next. The old process hands its role, its state and its clients'
//! connections to the new one over a Unix socket in `$TMPDIR`. `docs/design/operations.md` gives the reasons
//! for this design.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use marldeal_lifecycle::{Command, Phase};
use marldeal_snapshot::SnapshotKind;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::timeout;

use crate::driver::{Driver, LinkRole};
use crate::tier::peers;
use channel::FrameChannel;
use frame::{Frame, LinkMessage};
use tracing::info;

mod channel;
pub mod frame;
pub mod inherit;

/// How long the other process may take to send or accept a frame before it is given up.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval at which binding an address is retried while the other process still holds it.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A client's connection on its way from one process to the other. No bytes are waiting to be written on it.
#[derive(Debug)]
pub struct TransferredConnection {
    /// The connection.
    pub stream: TcpStream,
    /// How long ago the incomplete request on the connection began, if there is one.
    pub request_age: Option<Duration>,
    /// Bytes that were read from the connection but not consumed.
    pub read_ahead: Bytes,
}

/// Passes connections to the process that has taken over.
#[derive(Debug, Default)]
pub struct SuccessorHandle {
    connections: RefCell<Option<mpsc::UnboundedSender<TransferredConnection>>>,
    /// A successor is connected.
    connected: Cell<bool>,
    disconnected: Notify,
}

impl SuccessorHandle {
    /// Whether a successor accepts connections.
    pub fn is_accepting(&self) -> bool {
        self.connections.borrow().is_some()
    }

    /// Passes a connection to the successor. It is closed if there is none any more.
    pub fn hand_over(&self, connection: TransferredConnection) {
        if let Some(connections) = &*self.connections.borrow() {
            let _ = connections.send(connection);
        }
    }

    /// Stops passing connections, and waits for a limited time until the successor has received those passed
    /// before.
    pub async fn finish(&self) {
        drop(self.connections.borrow_mut().take());
        let disconnected = async {
            while self.connected.get() {
                self.disconnected.notified().await;
            }
        };
        let _ = timeout(RESPONSE_TIMEOUT, disconnected).await;
    }
}

/// The path of the upgrade socket. Each limiter has its own, so that several can share a directory.
pub fn socket_path(name: &str) -> PathBuf {
    let sanitized: String =
        name.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').take(32).collect();
    std::env::temp_dir().join(format!("marldeal-{sanitized}.upgrade"))
}

/// Connects to the process that serves as this limiter now, if there is one. A socket file left behind by a
/// dead process refuses connections.
pub async fn connect_to_predecessor(path: &Path) -> Option<UnixStream> {
    UnixStream::connect(path).await.ok().filter(is_same_user)
}

/// Whether the process at the other end belongs to the same user.
fn is_same_user(stream: &UnixStream) -> bool {
    stream.peer_cred().is_ok_and(|peer| peer.uid() == rustix::process::getuid().as_raw())
}

// ---- The new process ----

/// Warms up beside a predecessor and takes over when that hands over, ends or stays silent. Then receives its
/// connections until there are no more.
pub async fn take_over(
    driver: Rc<Driver>,
    stream: UnixStream,
    endpoint: &UpgradeEndpoint,
    arrivals: mpsc::UnboundedSender<TransferredConnection>,
) {
    let mut channel = FrameChannel::new(stream);
    let reason = loop {
        let takeover_reason = match channel.send(&Frame::Hello(frame::VERSION), None).await {
            Ok(()) => warm_up(&driver, &mut channel).await,
            Err(e) => Some(format!("cannot write to the predecessor: {e}")),
        };
        if let Some(reason) = takeover_reason {
            break reason;
        }
        // Another process is to take over first. This one comes after it.
        tokio::time::sleep(RESPONSE_TIMEOUT / 10).await;
        match connect_to_predecessor(&endpoint.path).await {
            Some(stream) => channel = FrameChannel::new(stream),
            None => break "the predecessor has gone".to_string(),
        }
    };
    info!("{reason}");
    let _ = driver.handle_command(Command::TakeOver);
    tokio::task::spawn_local(receive_peer_messages(driver.clone()));
    tokio::task::spawn_local(accept_successors(driver.clone(), endpoint.clone()));
    receive_from_predecessor(&driver, &mut channel, arrivals).await;
    driver.disconnect_link(LinkRole::Predecessor);
    driver.set_overlapping(endpoint.successor.connected.get());
    info!("the predecessor has gone");
}

/// Receives the predecessor's connections and messages, and sends it messages, until it has gone.
async fn receive_from_predecessor(
    driver: &Rc<Driver>,
    channel: &mut FrameChannel,
    arrivals: mpsc::UnboundedSender<TransferredConnection>,
) {
    let (sender, mut messages) = mpsc::unbounded_channel();
    loop {
        let received = tokio::select! {
            received = channel.receive() => received,
            Some(message) = messages.recv() => match send_message(channel, message).await {
                Ok(()) => continue,
                Err(e) => Err(e),
            },
        };
        match received {
            Ok(Some((Frame::Connection { request_age_ms, read_ahead }, Some(fd)))) => {
                let stream = TcpStream::from(fd);
                let request_age = request_age_ms.map(|ms| Duration::from_millis(ms.into()));
                if stream.peer_addr().is_ok() {
                    let _ = arrivals.send(TransferredConnection { stream, request_age, read_ahead });
                }
            }
            Ok(Some((Frame::Message(message), _))) => {
                driver.connect_link(LinkRole::Predecessor, sender.clone());
                driver.receive_link_message(LinkRole::Predecessor, message);
            }
            Ok(Some((Frame::Snapshot(_), _))) => info!("ignored a snapshot that arrived too late"),
            Ok(Some((other, _))) => info!("the predecessor {other} out of turn"),
            Ok(None) => return,
            Err(e) => return info!("the predecessor: {e}"),
        }
    }
}

/// Sends a message of the decision module to the other process.
async fn send_message(channel: &mut FrameChannel, message: LinkMessage) -> io::Result<()> {
    let frame = Frame::Message(message);
    timeout(RESPONSE_TIMEOUT, channel.send(&frame, None)).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}

/// Restores snapshots until the final one. Returns the reason to take over, or nothing if another process is to
/// do so first.
async fn warm_up(driver: &Rc<Driver>, channel: &mut FrameChannel) -> Option<String> {
    let mut snapshots = 0;
    loop {
        let received = match snapshots {
            0 => match timeout(RESPONSE_TIMEOUT, channel.receive()).await {
                Ok(received) => received,
                Err(_) => return Some("the predecessor is silent: taking over without it".to_string()),
            },
            _ => channel.receive().await,
        };
        let reason = match received {
            Ok(Some((Frame::Snapshot(bytes), _))) => {
                snapshots += 1;
                let summary = driver.restore_snapshot(&bytes);
                if snapshots == 1 {
                    info!("warming up beside a predecessor: {summary}");
                    continue;
                }
                format!("the predecessor hands over: {summary}")
            }
            Ok(Some((Frame::Busy, _))) => return None,
            Ok(Some((other, _))) => format!("the predecessor {other} out of turn"),
            Ok(None) => "the predecessor ended before it handed over".to_string(),
            Err(e) => format!("the predecessor: {e}"),
        };
        return Some(reason);
    }
}

/// Binds the address for peers' datagrams, retrying while another process holds it, and receives messages
/// there.
pub async fn receive_peer_messages(driver: Rc<Driver>) {
    let mut logged = false;
    loop {
        match driver.open_peer_socket().await {
            Ok(Some(socket)) => return peers::listen(driver.clone(), socket).await,
            Ok(None) => return,
            Err(e) => {
                if !std::mem::replace(&mut logged, true) {
                    info!("peer_listen: {e}; tried again until it is free");
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        if matches!(driver.phase(), Phase::Stopping | Phase::HandingOver) {
            return;
        }
    }
}

// ---- The old process ----

/// The upgrade socket of a limiter, and the link to this process's successor.
#[derive(Debug, Clone)]
pub struct UpgradeEndpoint {
    /// The path of the Unix socket.
    pub path: PathBuf,
    /// Passes connections to the successor.
    pub successor: Rc<SuccessorHandle>,
}

/// Accepts successors. Sends each a snapshot, and hands over to one of them when this process is asked to end.
pub async fn accept_successors(driver: Rc<Driver>, endpoint: UpgradeEndpoint) {
    let listener = match bind(&endpoint.path) {
        Ok(listener) => listener,
        Err(e) => return info!("{}: {e}; successors will start without a snapshot", endpoint.path.display()),
    };
    // Once this process has handed over, new processes have to find its successor.
    while driver.phase() != Phase::HandingOver {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    continue;
                }
            },
            () = driver.phase_changed.notified() => continue,
        };
        if is_same_user(&stream) {
            tokio::task::spawn_local(handle_successor(
                driver.clone(),
                endpoint.successor.clone(),
                FrameChannel::new(stream),
            ));
        }
    }
}

async fn handle_successor(driver: Rc<Driver>, successor: Rc<SuccessorHandle>, mut channel: FrameChannel) {
    if successor.connected.replace(true) {
        let _ = timeout(RESPONSE_TIMEOUT, channel.send(&Frame::Busy, None)).await;
        return;
    }
    driver.set_overlapping(true);
    let reason = serve_successor(&driver, &mut channel, &successor).await;
    info!("a successor: {reason}");
    drop(successor.connections.borrow_mut().take());
    successor.connected.set(false);
    successor.disconnected.notify_waiters();
    driver.set_overlapping(false);
}

/// Replaces the old socket file atomically, so that a connecting process always finds one of the two.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}

/// Serves one successor until it has received everything or has disconnected. Returns a description of the
/// outcome.
async fn serve_successor(
    driver: &Rc<Driver>,
    channel: &mut FrameChannel,
    successor: &Rc<SuccessorHandle>,
) -> String {
    match timeout(RESPONSE_TIMEOUT, channel.receive()).await {
        Ok(Ok(Some((Frame::Hello(frame::VERSION), _)))) => {}
        Ok(Ok(Some((Frame::Hello(version), _)))) => return format!("it speaks protocol version {version}"),
        _ => return "it did not send a valid hello".to_string(),
    }
    let running_snapshot = Frame::Snapshot(driver.snapshot(SnapshotKind::Running).into());
    if !matches!(timeout(RESPONSE_TIMEOUT, channel.send(&running_snapshot, None)).await, Ok(Ok(()))) {
        return "it did not accept the snapshot".to_string();
    }
    info!("a successor warms up");
    // Until this process is asked to end.
    while !matches!(driver.phase(), Phase::Stopping | Phase::HandingOver) {
        tokio::select! {
            () = driver.phase_changed.notified() => {}
            // A successor sends nothing at this stage, so a completed read means that it has disconnected.
            _ = channel.receive() => return "it has gone; this process serves on".to_string(),
        }
    }
    let _ = driver.handle_command(Command::HandOver);
    driver.close_peer_socket();
    driver.close_idle_connections();
    // From the final snapshot on this process asks its successor for the units of what it still receives.
    let (sender, messages) = mpsc::unbounded_channel();
    driver.connect_link(LinkRole::Successor, sender);
    let outcome = hand_over(driver, channel, successor, messages).await;
    driver.disconnect_link(LinkRole::Successor);
    outcome
}

/// Sends the final snapshot and then connections and messages, until this process has no more connections or the
/// successor has gone. Returns a description of the outcome.
async fn hand_over(
    driver: &Rc<Driver>,
    channel: &mut FrameChannel,
    successor: &Rc<SuccessorHandle>,
    mut messages: mpsc::UnboundedReceiver<LinkMessage>,
) -> String {
    let final_snapshot = Frame::Snapshot(driver.snapshot(SnapshotKind::Final).into());
    if !matches!(timeout(RESPONSE_TIMEOUT, channel.send(&final_snapshot, None)).await, Ok(Ok(()))) {
        return "it did not accept the final snapshot; this process closes the connections".to_string();
    }
    let (sender, mut connections) = mpsc::unbounded_channel();
    *successor.connections.borrow_mut() = Some(sender);
    driver.phase_changed.notify_waiters();
    let mut count = 0;
    loop {
        let sent = tokio::select! {
            biased;
            Some(message) = messages.recv() => send_message(channel, message).await.is_ok(),
            received = channel.receive() => match received {
                Ok(Some((Frame::Message(message), _))) => {
                    driver.receive_link_message(LinkRole::Successor, message);
                    true
                }
                Ok(Some((other, _))) => {
                    info!("a successor {other} out of turn");
                    true
                }
                Ok(None) | Err(_) => false,
            },
            connection = connections.recv() => match connection {
                Some(connection) => {
                    count += 1;
                    send_connection(channel, connection).await.is_ok()
                }
                None => return format!("it accepted {count} connections"),
            },
        };
        if !sent {
            return format!("it has gone after {count} connections");
        }
    }
}

/// Passes a client's connection to the successor.
async fn send_connection(channel: &mut FrameChannel, connection: TransferredConnection) -> io::Result<()> {
    let TransferredConnection { stream, request_age, read_ahead } = connection;
    let request_age_ms = request_age.map(|d| u32::try_from(d.as_millis()).unwrap_or(u32::MAX - 1));
    let frame = Frame::Connection { request_age_ms, read_ahead };
    let sent = timeout(RESPONSE_TIMEOUT, channel.send(&frame, Some(&stream))).await;
    sent.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}
