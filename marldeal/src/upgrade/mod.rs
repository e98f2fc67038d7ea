//! Two processes of one limiter: the old one hands its place, its knowledge and its clients to the new one over a Unix
//! socket in `$TMPDIR`. `docs/design/operations.md` says why so.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use marldeal_lifecycle::{Command, Phase};
use marldeal_snapshot::SnapshotKind;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::timeout;

use crate::driver::Driver;
use crate::tier::peers;
use frame::Frame;
use tracing::info;

pub mod frame;
pub mod inherit;

/// A process at the other end that says or takes nothing for so long is not waited for.
const PATIENCE: Duration = Duration::from_millis(1500);
/// How often an address is tried that the other process still has.
const AGAIN: Duration = Duration::from_millis(10);
/// Most descriptors that come with one read.
const MOST_DESCRIPTORS: usize = 32;

/// A client's connection on its way from one process to the other, with nothing unwritten on it.
#[derive(Debug)]
pub struct TransferredConnection {
    /// The connection.
    pub stream: TcpStream,
    /// The request that has begun on it has waited so long; none has request_age.
    pub request_age: Option<Duration>,
    /// What has been read of it.
    pub read_ahead: Bytes,
}

/// Where connections go once another process has taken this one's place.
#[derive(Debug, Default)]
pub struct SuccessorHandle {
    to: RefCell<Option<mpsc::UnboundedSender<TransferredConnection>>>,
    /// A successor is attended to.
    attending: Cell<bool>,
    left: Notify,
}

impl SuccessorHandle {
    /// There is one.
    pub fn is_accepting(&self) -> bool {
        self.to.borrow().is_some()
    }

    /// Passes a connection on. One that finds nobody any more ends.
    pub fn hand_over(&self, passed: TransferredConnection) {
        if let Some(to) = &*self.to.borrow() {
            let _ = to.send(passed);
        }
    }

    /// No more is passed on: waits until what was has been taken, for a while.
    pub async fn finish(&self) {
        drop(self.to.borrow_mut().take());
        let gone = async {
            while self.attending.get() {
                self.left.notified().await;
            }
        };
        let _ = timeout(PATIENCE, gone).await;
    }
}

/// The socket's name: one for each limiter, so that several may share a directory.
pub fn path(name: &str) -> PathBuf {
    let plain: String = name.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').take(32).collect();
    std::env::temp_dir().join(format!("marldeal-{plain}.upgrade"))
}

/// The process that serves in this place now, if there is one. A name that a dead one left refuses.
pub async fn predecessor(path: &Path) -> Option<UnixStream> {
    UnixStream::connect(path).await.ok().filter(ours)
}

/// Whether the process at the other end belongs to the same user.
fn ours(stream: &UnixStream) -> bool {
    stream.peer_cred().is_ok_and(|them| them.uid() == rustix::process::getuid().as_raw())
}

// ---- The new process ----

/// Warms up beside a predecessor and takes its place when it hands over, ends or stays silent; then takes its clients
/// in, until it has no more.
pub async fn succeed(
    driver: Rc<Driver>,
    stream: UnixStream,
    at: &UpgradeEndpoint,
    arrivals: mpsc::UnboundedSender<TransferredConnection>,
) {
    let mut line = Line::new(stream);
    let why = loop {
        let said = match line.send(&Frame::Hello(frame::VERSION), None).await {
            Ok(()) => warm_up(&driver, &mut line).await,
            Err(e) => Some(format!("the predecessor cannot be told: {e}")),
        };
        if let Some(why) = said {
            break why;
        }
        // Another one is to take that place: this one comes after it.
        tokio::time::sleep(PATIENCE / 10).await;
        match predecessor(&at.path).await {
            Some(stream) => line = Line::new(stream),
            None => break "the predecessor has gone".to_string(),
        }
    };
    info!("{why}");
    let _ = driver.handle_command(Command::TakeOver);
    tokio::task::spawn_local(hear_peers(driver.clone()));
    tokio::task::spawn_local(offer(driver.clone(), at.clone()));
    loop {
        match line.receive().await {
            Ok(Some((Frame::Connection { request_age_ms, read_ahead }, Some(fd)))) => {
                let stream = TcpStream::from(fd);
                let request_age = request_age_ms.map(|ms| Duration::from_millis(ms.into()));
                if stream.peer_addr().is_ok() {
                    let _ = arrivals.send(TransferredConnection { stream, request_age, read_ahead });
                }
            }
            Ok(Some((Frame::Snapshot(_), _))) => info!("a snapshot that came too late is not read"),
            Ok(Some((other, _))) => info!("the predecessor {other} out of turn"),
            Ok(None) => break,
            Err(e) => {
                info!("the predecessor: {e}");
                break;
            }
        }
    }
    driver.set_overlapping(at.successor.attending.get());
    info!("the predecessor has gone");
}

/// Learns from snapshots until the last one; says why the place is to be taken, or nothing if another one is before
/// this one.
async fn warm_up(driver: &Rc<Driver>, line: &mut Line) -> Option<String> {
    let mut snapshots = 0;
    loop {
        let received = match snapshots {
            0 => match timeout(PATIENCE, line.receive()).await {
                Ok(received) => received,
                Err(_) => return Some("the predecessor is silent: it is not waited for".to_string()),
            },
            _ => line.receive().await,
        };
        let why = match received {
            Ok(Some((Frame::Snapshot(bytes), _))) => {
                snapshots += 1;
                let said = driver.restore_snapshot(&bytes);
                if snapshots == 1 {
                    info!("warming up beside a predecessor: {said}");
                    continue;
                }
                format!("the predecessor hands over: {said}")
            }
            Ok(Some((Frame::Busy, _))) => return None,
            Ok(Some((other, _))) => format!("the predecessor {other} out of turn"),
            Ok(None) => "the predecessor ended before it handed over".to_string(),
            Err(e) => format!("the predecessor: {e}"),
        };
        return Some(why);
    }
}

/// Binds the address for peers' datagrams, which another process may still have, and listens there.
pub async fn hear_peers(driver: Rc<Driver>) {
    let mut told = false;
    loop {
        match driver.open_peer_socket().await {
            Ok(Some(mail)) => return peers::listen(driver.clone(), mail).await,
            Ok(None) => return,
            Err(e) => {
                if !std::mem::replace(&mut told, true) {
                    info!("peer_listen: {e}; tried again until it is free");
                }
                tokio::time::sleep(AGAIN).await;
            }
        }
        if matches!(driver.phase(), Phase::Stopping | Phase::HandingOver) {
            return;
        }
    }
}

// ---- The old process ----

/// Where two processes of one limiter meet, and what of this one goes to the other.
#[derive(Debug, Clone)]
pub struct UpgradeEndpoint {
    /// The Unix socket's name.
    pub path: PathBuf,
    /// To a successor.
    pub successor: Rc<SuccessorHandle>,
}

/// Waits for successors: gives each a snapshot, and one of them this process's place when that ends.
pub async fn offer(driver: Rc<Driver>, at: UpgradeEndpoint) {
    let listener = match bind(&at.path) {
        Ok(listener) => listener,
        Err(e) => return info!("{}: {e}; upgrades start cautiously", at.path.display()),
    };
    // Once it has handed over, who comes is to find the successor.
    while driver.phase() != Phase::HandingOver {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    tokio::time::sleep(AGAIN).await;
                    continue;
                }
            },
            () = driver.phase_changed.notified() => continue,
        };
        if ours(&stream) {
            tokio::task::spawn_local(meet(driver.clone(), at.successor.clone(), Line::new(stream)));
        }
    }
}

async fn meet(driver: Rc<Driver>, successor: Rc<SuccessorHandle>, mut line: Line) {
    if successor.attending.replace(true) {
        let _ = timeout(PATIENCE, line.send(&Frame::Busy, None)).await;
        return;
    }
    driver.set_overlapping(true);
    let why = attend(&driver, &mut line, &successor).await;
    info!("a successor: {why}");
    drop(successor.to.borrow_mut().take());
    successor.attending.set(false);
    successor.left.notify_waiters();
    driver.set_overlapping(false);
}

/// A new name is put in the place of the old one in one step: whoever comes finds one of both.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let fresh = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&fresh);
    let listener = UnixListener::bind(&fresh)?;
    std::fs::rename(&fresh, path)?;
    Ok(listener)
}

/// One successor, until it has all or is gone; says which.
async fn attend(driver: &Rc<Driver>, line: &mut Line, successor: &Rc<SuccessorHandle>) -> String {
    match timeout(PATIENCE, line.receive()).await {
        Ok(Ok(Some((Frame::Hello(frame::VERSION), _)))) => {}
        Ok(Ok(Some((Frame::Hello(version), _)))) => return format!("it speaks version {version}"),
        _ => return "it says nothing that is expected".to_string(),
    }
    let warm = Frame::Snapshot(driver.snapshot(SnapshotKind::Running).into());
    if !matches!(timeout(PATIENCE, line.send(&warm, None)).await, Ok(Ok(()))) {
        return "it does not take the snapshot in".to_string();
    }
    info!("a successor warms up");
    // Until this process is told to end.
    while !matches!(driver.phase(), Phase::Stopping | Phase::HandingOver) {
        tokio::select! {
            () = driver.phase_changed.notified() => {}
            // It has nothing to say: a read tells that it is gone.
            _ = line.receive() => return "it has gone; this process serves on".to_string(),
        }
    }
    let _ = driver.handle_command(Command::HandOver);
    driver.close_peer_socket();
    driver.close_idle_connections();
    let last = Frame::Snapshot(driver.snapshot(SnapshotKind::Final).into());
    if !matches!(timeout(PATIENCE, line.send(&last, None)).await, Ok(Ok(()))) {
        return "it does not take the last snapshot in; connections are closed here".to_string();
    }
    let (pass, mut passed) = mpsc::unbounded_channel();
    *successor.to.borrow_mut() = Some(pass);
    driver.phase_changed.notify_waiters();
    let mut count = 0;
    while let Some(TransferredConnection { stream, request_age, read_ahead }) = passed.recv().await {
        let request_age_ms = request_age.map(|d| u32::try_from(d.as_millis()).unwrap_or(u32::MAX - 1));
        let frame = Frame::Connection { request_age_ms, read_ahead };
        if !matches!(timeout(PATIENCE, line.send(&frame, Some(&stream))).await, Ok(Ok(()))) {
            return format!("it takes no more connections after {count}");
        }
        count += 1;
    }
    format!("it took {count} connections")
}

// ---- Frames and descriptors ----

/// Frames over a Unix socket, and the descriptors beside them.
struct Line {
    stream: UnixStream,
    buffer: BytesMut,
    descriptors: std::collections::VecDeque<OwnedFd>,
}

impl Line {
    fn new(stream: UnixStream) -> Line {
        Line { stream, buffer: BytesMut::new(), descriptors: Default::default() }
    }

    async fn send(&mut self, frame: &Frame, with: Option<&TcpStream>) -> io::Result<()> {
        let bytes = frame.to_bytes();
        let (mut sent, mut with) = (0, with.map(AsFd::as_fd));
        while sent < bytes.len() {
            self.stream.writable().await?;
            let piece = [IoSlice::new(&bytes[sent..])];
            let fds: Vec<_> = with.into_iter().collect();
            let written = self.stream.try_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !fds.is_empty() {
                    control.push(SendAncillaryMessage::ScmRights(&fds));
                }
                Ok(sendmsg(&self.stream, &piece, &mut control, SendFlags::NOSIGNAL)?)
            });
            match written {
                Ok(count) => {
                    sent += count;
                    // It goes with the first bytes.
                    with = None;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// The next frame, with its descriptor; nothing at the end. May be dropped between two reads: nothing is lost.
    async fn receive(&mut self) -> io::Result<Option<(Frame, Option<OwnedFd>)>> {
        loop {
            if let Some(frame) = Frame::take(&mut self.buffer).map_err(io::Error::other)? {
                let connection = matches!(frame, Frame::Connection { .. });
                let fd = if connection { self.descriptors.pop_front() } else { None };
                return Ok(Some((frame, fd)));
            }
            self.stream.readable().await?;
            let mut piece = [0; 16 << 10];
            let Line { stream, descriptors, .. } = self;
            let read = stream.try_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut into = [IoSliceMut::new(&mut piece)];
                let read = recvmsg(&*stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(fds) = message {
                        descriptors.extend(fds);
                    }
                }
                Ok(read.bytes)
            });
            match read {
                Ok(0) => return Ok(None),
                Ok(count) => self.buffer.extend_from_slice(&piece[..count]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}
