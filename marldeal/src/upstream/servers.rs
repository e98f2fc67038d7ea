//! Attempts at servers, and the pool of connections to them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fawnhill::{Outcome, RequestId, ServerId};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::HeaderName;
use hyper::Request;
use hyper_util::rt::TokioIo;
use marldeal_engine::outcomes;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::{debug, info};

use crate::driver::{AttemptJob, Driver, Upstream};
use crate::front::head::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT};
use crate::payload::{OutgoingBody, Payload, TrackedBody};
use crate::settings::config::Config;
use crate::socket::{ObservedStream, SharedSocket, Unread};
use crate::transient;
use crate::upstream::write_tracker::{ProgressCallbacks, WriteTracker};
use crate::upstream::{early_response, response};

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// Largest read from a server. With one chunk queued for the client, this bounds the memory of a streamed
/// response.
const MAX_READ_BYTES: usize = 32 << 10;

/// A connection is reused only after it has been idle for this long. Anything that the server writes behind a response,
/// such as a second response, has arrived by then and shows that the connection is unusable.
const IDLE_BEFORE_REUSE: Duration = Duration::from_millis(40);
/// The same while connections are scarce and no server is known to write without a request.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);
/// Connections are scarce from this fraction of the bound on open ones.
const SCARCE_FRACTION: f64 = 0.5;
/// How long servers are known to write without a request after one of them did. Servers run the same program.
const UNREQUESTED_BYTES_MEMORY: Duration = Duration::from_secs(600);

type RequestBody = TrackedBody<OutgoingBody, WriteTracker>;
type ServerIo = TokioIo<ObservedStream<Rc<WriteTracker>, SharedSocket>>;

/// A connection and the future that drives it. Nothing else polls that future, so dropping this closes the
/// socket.
struct ServerConnection {
    sender: SendRequest<RequestBody>,
    connection: Connection<ServerIo, RequestBody>,
    tracker: Rc<WriteTracker>,
    socket: SharedSocket,
    _slot: OpenSlot,
}

/// A slot for an open connection, or for one that carries a transfer. Dropping it frees the slot.
pub(super) struct OpenSlot(Rc<Cell<usize>>);

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct IdleConnection {
    connection: ServerConnection,
    since: Instant,
}

/// Idle connections by server, the one that has been idle for longest first, and a bound on all open ones. The key is not
/// the address: a new server at the address of a removed one must not receive requests over the removed server's
/// connections.
struct ConnectionPool {
    idle: HashMap<ServerId, VecDeque<IdleConnection>>,
    idle_timeout: Duration,
    /// The number of open connections, idle or not.
    open: Rc<Cell<usize>>,
    /// The number of connections that carry transfers.
    transfers: Rc<Cell<usize>>,
    /// When an idle connection was last found with bytes that no request had asked for.
    unrequested_bytes_at: Option<Instant>,
}

impl ConnectionPool {
    /// Connections are closed after they have been idle for `idle_ms`.
    fn new(idle_ms: f64) -> ConnectionPool {
        let idle_timeout = Duration::from_secs_f64(idle_ms / 1000.0);
        ConnectionPool {
            idle: HashMap::new(),
            idle_timeout,
            open: Rc::default(),
            transfers: Rc::default(),
            unrequested_bytes_at: None,
        }
    }

    /// Closes the idle connections to a server.
    fn drop_idle(&mut self, server: &ServerId) {
        self.idle.remove(server);
    }

    /// Closes connections that have been idle for too long.
    fn sweep(&mut self) {
        let idle_timeout = self.idle_timeout;
        self.idle.retain(|_, connections| {
            connections.retain(|l| l.since.elapsed() < idle_timeout);
            !connections.is_empty()
        });
    }

    /// How long a connection has to have been idle before it is reused, with at most `max_open` open ones.
    fn idle_before_reuse(&self, max_open: usize) -> Duration {
        let scarce = self.open.get() as f64 >= SCARCE_FRACTION * max_open as f64;
        let unrequested = self.unrequested_bytes_at.is_some_and(|at| at.elapsed() < UNREQUESTED_BYTES_MEMORY);
        if scarce && !unrequested {
            MIN_IDLE_BEFORE_REUSE
        } else {
            IDLE_BEFORE_REUSE
        }
    }

    /// Returns the most recently used connection that is still usable. A connection that the server has closed,
    /// or has written to without a request, is closed here: a request written to it would end in a reset, or
    /// would be given those bytes as its response. The event loop may not have seen the event yet, so the
    /// kernel is asked as well.
    fn checkout(&mut self, server: &ServerId, max_open: usize) -> Option<ServerConnection> {
        let now = Instant::now();
        loop {
            let latest = now.checked_sub(self.idle_before_reuse(max_open))?;
            let connections = self.idle.get_mut(server)?;
            let idle_long_enough = connections.partition_point(|idle| idle.since <= latest);
            let IdleConnection { mut connection, since } =
                connections.remove(idle_long_enough.checked_sub(1)?)?;
            match connection.socket.unread() {
                Unread::Bytes => self.unrequested_bytes_at = Some(now),
                Unread::Closed => {}
                Unread::Nothing if now - since < self.idle_timeout && connection.is_alive() => {
                    return Some(connection);
                }
                Unread::Nothing => {}
            }
        }
    }

    /// Reserves a slot for one more connection. If all are taken, the connection that has been idle for longest
    /// is closed.
    fn reserve(&mut self, max_open: usize) -> Option<OpenSlot> {
        if self.open.get() >= max_open {
            self.drop_oldest()?;
        }
        self.open.set(self.open.get() + 1);
        Some(OpenSlot(self.open.clone()))
    }

    /// Reserves a connection for a transfer, if fewer than `max_transfers` carry one.
    fn reserve_transfer(&self, max_transfers: usize) -> Option<OpenSlot> {
        if self.transfers.get() >= max_transfers {
            return None;
        }
        self.transfers.set(self.transfers.get() + 1);
        Some(OpenSlot(self.transfers.clone()))
    }

    /// Closes the connection that has been idle for longest. Returns nothing if none is idle.
    fn drop_oldest(&mut self) -> Option<()> {
        let oldest = self.idle.iter().filter(|(_, l)| !l.is_empty()).min_by_key(|(_, l)| l[0].since);
        let server = oldest.map(|(server, _)| server.clone())?;
        self.idle.get_mut(&server)?.pop_front();
        Some(())
    }

    /// Closes idle connections until at most `max_open` connections are open.
    fn trim(&mut self, max_open: usize) {
        while self.open.get() > max_open && self.drop_oldest().is_some() {}
    }

    fn return_idle(&mut self, server: &ServerId, connection: ServerConnection) {
        self.idle
            .entry(server.clone())
            .or_default()
            .push_back(IdleConnection { connection, since: Instant::now() });
    }
}

impl ServerConnection {
    /// Polls the connection once, without waiting, and returns whether it is still open.
    fn is_alive(&mut self) -> bool {
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        let ended = Pin::new(&mut self.connection).poll(&mut context).is_ready();
        !ended && self.sender.is_ready()
    }
}

/// Makes attempts at servers over HTTP/1.1.
pub struct HttpUpstream {
    pool: RefCell<ConnectionPool>,
}

impl HttpUpstream {
    /// Creates an upstream with the configured bounds.
    pub fn new(config: &Config) -> Rc<HttpUpstream> {
        Rc::new(HttpUpstream { pool: RefCell::new(ConnectionPool::new(config.server_idle_ms)) })
    }

    /// Reserves one of the connections that transfers may take; `None` if they have taken all of these. The others are
    /// kept for requests and answers that are passed on whole.
    pub(super) fn reserve_transfer(&self, driver: &Driver) -> Option<OpenSlot> {
        self.pool.borrow().reserve_transfer(driver.transfer_limits().at_servers)
    }

    /// Closes idle connections periodically. Never returns.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.pool.borrow_mut().sweep();
        }
    }
}

impl Upstream for Rc<HttpUpstream> {
    fn start(&self, driver: Rc<Driver>, job: AttemptJob, stopped: oneshot::Receiver<Outcome>) {
        tokio::task::spawn_local(attempt(self.clone(), driver, job, stopped));
    }
    fn close_idle(&self, server: &ServerId) {
        self.pool.borrow_mut().drop_idle(server);
    }
    fn trim(&self, max_open: usize) {
        self.pool.borrow_mut().trim(max_open);
    }
}

/// Makes one attempt and reports how it ended. A cancelled attempt closes its connection first: the `select`
/// has dropped it before the driver learns of the end, so a request never has two attempts outstanding.
async fn attempt(
    upstream: Rc<HttpUpstream>,
    driver: Rc<Driver>,
    job: AttemptJob,
    stopped: oneshot::Receiver<Outcome>,
) {
    let (outcome, body) = tokio::select! {
        biased;
        Ok(outcome) = stopped => (outcome, None),
        result = exchange(&upstream, &driver, &job) => result,
    };
    driver.attempt_ended(&job, outcome, body);
}

async fn exchange(
    upstream: &HttpUpstream,
    driver: &Rc<Driver>,
    job: &AttemptJob,
) -> (Outcome, Option<Bytes>) {
    if driver.check_permission(job).await.is_err() {
        return (Outcome::NotSent, None);
    }
    let Some(instance) = driver.server_instance(&job.server) else { return (Outcome::NotSent, None) };
    let transfer = match &job.content.body {
        Payload::Buffered { .. } => None,
        Payload::Streamed(_) => match upstream.reserve_transfer(driver) {
            Some(slot) => Some(slot),
            None => return (Outcome::NotSent, None),
        },
    };
    let max_open = driver.share_of(driver.config.max_server_connections);
    let pooled = upstream.pool.borrow_mut().checkout(&job.server, max_open);
    let mut conn = match pooled {
        Some(pooled) => pooled,
        None => match connect(upstream, driver, instance.addr).await {
            // The permission may have lapsed while the connection was opened.
            Ok(_) if driver.check_permission(job).await.is_err() => return (Outcome::NotSent, None),
            Ok(connected) => connected,
            Err(outcome) => return (outcome, None),
        },
    };
    if driver.server_instance(&job.server) != Some(instance) {
        return (Outcome::NotSent, None);
    }
    let now = driver.now();
    job.content.attempt_sent_at.set(Some(now));
    let (id, attempt) = (job.id, job.attempt);
    debug!(event = "sent", request = id, attempt, server = %job.server, "request {id}: attempt {attempt} to {}", job.server);
    let left_ms = driver.time_left_ms(job.deadline).min(job.content.budget_ms);
    conn.tracker.begin(job);
    let Ok(request) = request(job, instance.addr, left_ms, &conn.tracker) else {
        return (Outcome::NotSent, None);
    };
    let ServerConnection { sender, connection, tracker, .. } = &mut conn;
    let response = async {
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            // If the request is given back or its last byte was not written, the server did not run it.
            // Otherwise that is unknown.
            Err(mut e) => {
                early_response::never_if_unsound(job).await;
                return match e.take_message().is_some() || !tracker.is_written() {
                    true => (Outcome::NoConnection, None),
                    false => (Outcome::Severed, None),
                };
            }
        };
        let (head, body) = response.into_parts();
        log_response(id, attempt, head.status.as_u16(), &body);
        let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|v| v == "1");
        let outcome = outcomes::from_response(head.status.as_u16(), unprocessed);
        let result = response::receive(upstream, driver, job, outcome, body, tracker, transfer).await;
        early_response::never_if_unsound(job).await;
        result
    };
    let (outcome, body, mut ended) = run_connection(response, connection, tracker).await;
    // A connection is reused only if its response was read to the end.
    ended |= !matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
    // Nor is it reused if the server no longer accepts requests, since nothing would close it.
    if !ended && driver.server_instance(&job.server) == Some(instance) && conn.is_alive() {
        upstream.pool.borrow_mut().return_idle(&job.server, conn);
    }
    (outcome, body)
}

/// Logs the head of a response.
fn log_response(request: RequestId, attempt: u32, status: u16, body: &Incoming) {
    let length = body.size_hint().exact();
    debug!(
        event = "response",
        request,
        attempt,
        status,
        length,
        "request {request}: attempt {attempt} is answered {status}, length {length:?}"
    );
}

/// Waits for the response while driving the connection. Also returns whether the connection has ended.
async fn run_connection(
    response: impl Future<Output = (Outcome, Option<Bytes>)>,
    connection: &mut Connection<ServerIo, RequestBody>,
    tracker: &WriteTracker,
) -> (Outcome, Option<Bytes>, bool) {
    tokio::pin!(response);
    let mut ended = false;
    loop {
        tokio::select! {
            biased;
            (outcome, body) = &mut response => return (outcome, body, ended),
            _ = &mut *connection, if !ended => {
                ended = true;
                tracker.end_connection();
            }
        }
    }
}

async fn connect(
    upstream: &HttpUpstream,
    driver: &Rc<Driver>,
    addr: SocketAddr,
) -> Result<ServerConnection, Outcome> {
    let max_open = driver.share_of(driver.config.max_server_connections);
    let slot = upstream.pool.borrow_mut().reserve(max_open).ok_or(Outcome::NotSent)?;
    let connect_timeout =
        Duration::from_secs_f64(driver.config.settings.connect_timeout_ms.max(1.0) / 1000.0);
    let stream = match timeout(connect_timeout, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        // A lack of descriptors or ports on this host says nothing about the server, which must not count as
        // unreachable.
        Ok(Err(e)) if transient::is_transient(&e) => {
            info!("cannot open a connection to a server: {e}");
            return Err(Outcome::NotSent);
        }
        Ok(Err(_)) | Err(_) => return Err(Outcome::NoConnection),
    };
    let (receiving, writing) = (driver.clone(), driver.clone());
    let callbacks = ProgressCallbacks {
        body_received: Box::new(move |id, attempt| receiving.body_received(id, attempt)),
        written: Box::new(move |id, attempt| writing.attempt_written(id, attempt)),
    };
    handshake(stream, callbacks, slot).await
}

async fn handshake(
    stream: TcpStream,
    callbacks: ProgressCallbacks,
    slot: OpenSlot,
) -> Result<ServerConnection, Outcome> {
    let _ = stream.set_nodelay(true);
    let tracker = WriteTracker::new(callbacks);
    let socket = SharedSocket::new(stream);
    let io = TokioIo::new(ObservedStream {
        stream: socket.clone(),
        observer: tracker.clone(),
        prefix: Bytes::new(),
    });
    let handshaken = http1::Builder::new().max_buf_size(MAX_READ_BYTES).handshake(io).await;
    let (sender, connection) = handshaken.map_err(|_| Outcome::NoConnection)?;
    Ok(ServerConnection { sender, connection, tracker, socket, _slot: slot })
}

fn request(
    job: &AttemptJob,
    addr: SocketAddr,
    left_ms: f64,
    tracker: &Rc<WriteTracker>,
) -> hyper::http::Result<Request<RequestBody>> {
    let content = &job.content;
    let mut request = Request::builder()
        .method(content.method.clone())
        .uri(content.target.clone())
        .header(hyper::header::HOST, addr.to_string())
        .header(CORRELATION_ID, content.correlation_id.clone())
        .header(TIME_LEFT, format!("{:.3}", (left_ms / 1000.0).max(0.001)));
    if let Some(key) = &content.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, key.clone());
    }
    let receiving = tracker.clone();
    let body = OutgoingBody::new(&content.body, move || receiving.body_received());
    request.body(TrackedBody::new(body, tracker.clone()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;

    /// A server closes an idle connection, or writes to it without a request, and the event loop has not seen
    /// that yet when the next request is to be sent on it. The test forces this by blocking its only thread.
    /// Guards against a request that is written there and ends as one that may have run.
    #[test]
    fn idle_connections_with_events_pending_in_the_kernel_are_not_reused() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let server: ServerId = "s-1".into();
        for unasked in [false, true] {
            runtime.block_on(async {
                let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
                let addr = listener.local_addr().expect("an address");
                let mut pool = ConnectionPool::new(10_000.0);
                let (mut server_sides, mut closing) = (Vec::new(), Vec::new());
                for _ in 0..3 {
                    let slot = pool.reserve(9).expect("slot");
                    let stream = TcpStream::connect(addr).await.expect("connect");
                    server_sides.push(listener.accept().expect("accept").0);
                    let callbacks = ProgressCallbacks {
                        body_received: Box::new(|_, _| {}),
                        written: Box::new(|_, _| {}),
                    };
                    let connection =
                        handshake(stream, callbacks, slot).await.map_err(drop).expect("a connection");
                    pool.return_idle(&server, connection);
                }
                std::thread::sleep(IDLE_BEFORE_REUSE * 2);
                // The first connection stays open. The most recently used one is tried first.
                let open = server_sides.remove(0);
                for mut stream in server_sides {
                    match unasked {
                        true => stream.write_all(b"HTTP/1.1 408 Late\r\n\r\n").expect("write"),
                        false => stream.shutdown(std::net::Shutdown::Write).expect("close"),
                    }
                    closing.push(stream);
                }
                let last = pool
                    .idle
                    .get_mut(&server)
                    .and_then(|connections| connections.back_mut())
                    .expect("idle connections");
                assert!(
                    last.connection.is_alive() && last.connection.socket.unread() != Unread::Nothing,
                    "the event loop has not seen the close or the bytes"
                );
                let usable = pool.checkout(&server, 9).expect("the open connection");
                assert_eq!(usable.socket.unread(), Unread::Nothing);
                assert_eq!(pool.open.get(), 1, "unusable connections are closed");
                drop((usable, open, closing));
                assert_eq!(pool.open.get(), 0);
            });
        }
    }
}
