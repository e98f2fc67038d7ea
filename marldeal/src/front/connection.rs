//! One client connection: its state, timeouts and close.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use marldeal_lifecycle::eviction::{Activity, Candidate};
use marldeal_lifecycle::transfers::{Direction, Transfer};
use marldeal_lifecycle::Lifecycle;
use marldeal_permit::{may_close, CloseReason, Connection, KeepReason};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::debug;

use crate::driver::Driver;
use crate::front::answer::respond;
use crate::front::clients::Clients;
use crate::front::head::HeaderLayout;
use crate::front::transfer::ClientTransfer;
use crate::front::MAX_HEAD_BYTES;
use crate::payload::{Progress, TrackedBody};
use crate::socket::{IoObserver, ObservedStream, SharedSocket, Unread};
use crate::upgrade::{SuccessorHandle, TransferredConnection};

/// While new customers flood in, a connection that was refused is delayed by this time multiplied by the number of
/// open connections, before its next request is handled. Answering the flood then takes about a fifth of a core,
/// and requests of known customers do not wait behind all of the flood in each turn of the event loop.
const FLOOD_DELAY_PER_CONNECTION: Duration = Duration::from_micros(80);
/// Bytes that arrived while the connection was queued are read within this time after it is accepted.
const QUEUED_READ_WINDOW: Duration = Duration::from_millis(50);
/// A close is deferred for at most this many turns of the event loop to read unread bytes.
const MAX_CLOSE_DEFERRALS: u32 = 8;
/// How often to check for a disconnect that is hidden behind bytes sent after the open request.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a client connection that other tasks see.
pub(super) struct Client {
    /// Number of the connection, for the log.
    pub(super) connection_id: u64,
    /// A request has arrived and has no answer yet.
    pub(super) request_open: Cell<bool>,
    /// The body of that request is still arriving.
    pub(super) reading_body: Cell<bool>,
    pub(super) last_active: Cell<Instant>,
    /// Bytes have been received.
    pub(super) bytes_seen: Cell<bool>,
    /// When the request that is still incomplete began; a new connection counts as having begun one.
    pub(super) partial_request_since: Cell<Option<Instant>>,
    /// The next request is handled no earlier than this.
    pub(super) delayed_until: Cell<Option<Instant>>,
    /// The longest time that the connection, and its first request with it, may have waited to be accepted.
    pub(super) queue_wait: Cell<Duration>,
    pub(super) layout: Rc<HeaderLayout>,
    /// A request is open, or the last byte of its answer has not been taken by the connection or has not been
    /// written.
    pub(super) answering: Cell<bool>,
    pub(super) response_consumed: Cell<bool>,
    /// The process that takes over this connection, and the signal to check for it.
    pub(super) successor: Rc<SuccessorHandle>,
    pub(super) hand_over: Notify,
    /// Its requests are refused: it was opened while this process stops, or had sent nothing when that no longer
    /// accepted requests.
    pub(super) late: Cell<bool>,
    /// Selected for eviction.
    pub(super) evicting: Cell<bool>,
    /// Closes the connection between requests.
    pub(super) close_gracefully: Notify,
    /// Closes the connection at once, for the reason in `close_reason`.
    pub(super) close_now: Notify,
    pub(super) close_reason: Cell<CloseReason>,
    /// It stalled, but was kept because it held unread bytes.
    pub(super) close_deferred: Cell<bool>,
    /// The upload or answer that is under way.
    pub(super) transfer: ClientTransfer,
    /// The last read returned nothing: the HTTP server has consumed everything and notices when the client closes.
    /// Otherwise bytes are left behind the open request, and the server reads no further.
    pub(super) read_drained: Cell<bool>,
}

impl Client {
    pub(super) fn new(
        connection_id: u64,
        layout: Rc<HeaderLayout>,
        successor: Rc<SuccessorHandle>,
        late: bool,
    ) -> Client {
        let now = Instant::now();
        Client {
            connection_id,
            request_open: Cell::new(false),
            reading_body: Cell::new(false),
            last_active: Cell::new(now),
            bytes_seen: Cell::new(false),
            partial_request_since: Cell::new(Some(now)),
            delayed_until: Cell::new(None),
            queue_wait: Cell::new(Duration::ZERO),
            layout,
            answering: Cell::new(false),
            response_consumed: Cell::new(true),
            successor,
            hand_over: Notify::new(),
            late: Cell::new(late),
            evicting: Cell::new(false),
            close_gracefully: Notify::new(),
            close_now: Notify::new(),
            close_reason: Cell::new(CloseReason::Idle),
            close_deferred: Cell::new(false),
            transfer: ClientTransfer::default(),
            read_drained: Cell::new(false),
        }
    }

    /// Completes when the client has disconnected during its open request, where bytes sent after the request hide
    /// that from the HTTP server. It is polled whenever the connection is, and costs nothing as long as clients
    /// send one request at a time.
    pub(super) async fn wait_for_disconnect(&self, socket: &SharedSocket) {
        let mut poll_timer: Option<std::pin::Pin<Box<tokio::time::Sleep>>> = None;
        std::future::poll_fn(|context| {
            if !self.request_open.get() || self.read_drained.get() {
                poll_timer = None;
                return Poll::Pending;
            }
            loop {
                if socket.remote_closed() {
                    return Poll::Ready(());
                }
                let poll_timer =
                    poll_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(DISCONNECT_POLL_INTERVAL)));
                ready!(poll_timer.as_mut().poll(context));
                poll_timer.as_mut().reset(Instant::now() + DISCONNECT_POLL_INTERVAL);
            }
        })
        .await
    }

    /// Whether bytes follow the open request, in the HTTP server's buffer or in the socket. They may be further requests,
    /// which have been taken and are owed an answer, so that this request's answer must not close the connection.
    async fn may_have_further_requests(&self, socket: &SharedSocket) -> bool {
        if !self.read_drained.get() {
            // With an empty buffer the HTTP server tries to read before it polls this again.
            tokio::task::yield_now().await;
        }
        !self.read_drained.get() || socket.unread() == Unread::Bytes
    }

    /// Whether the connection may be closed now.
    pub(super) fn may_close(&self, socket: &SharedSocket, why: CloseReason) -> bool {
        let unread = socket.unread() == Unread::Bytes;
        let connection = Connection {
            request_open: self.request_open.get(),
            unread,
            already_deferred: self.close_deferred.get(),
        };
        let keep_reason = may_close(connection, why).err();
        self.close_deferred.set(keep_reason == Some(KeepReason::UnreadData));
        keep_reason.is_none()
    }

    /// Whether nothing has arrived since the connection was opened.
    pub(super) fn awaits_first_request(&self) -> bool {
        self.partial_request_since.get().is_some() && !self.bytes_seen.get()
    }

    /// The connection as a candidate for eviction.
    pub(super) fn eviction_candidate(&self, now: f64) -> Candidate {
        let inactive_ms = self.last_active.get().elapsed().as_secs_f64() * 1000.0;
        // An answer is cut only for the budget of transfers: its client may be taking what the system holds.
        let is_stalled_upload = |t: &Transfer| t.direction == Direction::Upload && t.stands_still();
        let stalled = self.transfer.observe(now).filter(is_stalled_upload);
        match stalled {
            Some(transfer) if !self.evicting.get() => {
                Candidate { activity: Activity::StalledTransfer, inactive_ms: transfer.inactive_ms }
            }
            _ if self.answering.get() || self.evicting.get() => {
                Candidate { activity: Activity::RequestOpen, inactive_ms }
            }
            _ if self.partial_request_since.get().is_some() => {
                Candidate { activity: Activity::PartialRequest, inactive_ms }
            }
            _ => Candidate { activity: Activity::Idle, inactive_ms },
        }
    }

    /// Asks the connection to close for the given reason.
    pub(super) fn request_close(&self, why: CloseReason) {
        self.close_reason.set(why);
        self.close_now.notify_one();
    }

    /// Records that bytes have arrived: the beginning of a request, unless they belong to a body.
    pub(super) fn bytes_received(&self) {
        // Bytes that arrive this late did not wait in the queue with the connection.
        if !self.bytes_seen.get() && self.last_active.get().elapsed() > QUEUED_READ_WINDOW {
            self.queue_wait.set(Duration::ZERO);
        }
        self.bytes_seen.set(true);
        self.last_active.set(Instant::now());
        if !self.reading_body.get() && self.partial_request_since.get().is_none() {
            self.partial_request_since.set(Some(Instant::now()));
        }
    }
}

/// Observes the socket, since hyper reports received bytes only once a head is complete.
impl IoObserver for Rc<Client> {
    fn on_read(&mut self, _: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        self.read_drained.set(bytes == 0);
        if bytes > 0 {
            self.transfer.on_read(bytes);
            self.bytes_received();
        }
        Ok(())
    }
    fn on_written(&mut self, bytes: usize) {
        self.transfer.on_written(bytes);
        self.last_active.set(Instant::now());
    }
    fn on_flushed(&mut self) {
        if self.response_consumed.get() {
            self.answering.set(false);
            self.transfer.end();
            if self.successor.is_accepting() {
                self.hand_over.notify_one();
            }
        }
    }
}

impl Progress for Client {
    fn body_consumed(&self) {
        self.response_consumed.set(true);
    }
}

/// Serves a connection until it ends. `read_ahead` holds bytes that another process has read from it.
pub(super) async fn run_connection(
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    client: &Rc<Client>,
    stream: TcpStream,
    read_ahead: Bytes,
) -> Closed {
    let stream = SharedSocket::new(stream);
    let socket = stream.clone();
    let service = service_fn(|request| {
        let (driver, clients, client) = (driver.clone(), clients.clone(), client.clone());
        let socket = socket.clone();
        client.request_open.set(true);
        client.answering.set(true);
        client.response_consumed.set(false);
        client.reading_body.set(true);
        async move {
            let mut answer = respond(&driver, &client, &socket, request).await;
            if answer.status() == StatusCode::TOO_MANY_REQUESTS && driver.refuses_new_customers() {
                let open = u32::try_from(clients.connections.borrow().len()).unwrap_or(u32::MAX);
                client
                    .delayed_until
                    .set(Some(Instant::now() + FLOOD_DELAY_PER_CONNECTION.saturating_mul(open)));
            }
            let keeps_alive =
                driver.with_lifecycle(Lifecycle::keeps_alive) || clients.successor.is_accepting();
            let closes = client.late.get() || !keeps_alive;
            if closes && !client.may_have_further_requests(&socket).await {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            client.request_open.set(false);
            client.reading_body.set(false);
            client.transfer.begin(Direction::Download, answer.body().is_streamed());
            if answer.body().is_streamed() {
                socket.bound_send_buffer();
            }
            client.last_active.set(Instant::now());
            Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, client)))
        }
    });
    let mut serving =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).auto_date_header(false).serve_connection(
            TokioIo::new(ObservedStream { stream, observer: client.clone(), prefix: read_ahead }),
            service,
        );
    let disconnected = client.wait_for_disconnect(&socket);
    tokio::pin!(disconnected);
    let (mut closing, mut deferrals) = (false, 0);
    loop {
        tokio::select! {
            biased;
            // An error here is due to the client: it disconnected or sent something that is not HTTP.
            ended = &mut serving => return match ended {
                Ok(()) if closing => Closed::ByUs(CloseReason::Idle),
                Ok(()) => Closed::ByClient,
                Err(error) => {
                    log_broken_connection(client.connection_id, &error);
                    Closed::Broken
                }
            },
            () = &mut disconnected => return Closed::ByClient,
            () = client.hand_over.notified() => if !client.answering.get() {
                let parts = serving.into_parts();
                let request_age = client.partial_request_since.get().map(|at| at.elapsed());
                let stream = parts.io.into_inner().stream.take().map(TcpStream::into_std);
                let Some(Ok(stream)) = stream else { return Closed::Broken };
                let transferred = TransferredConnection { stream, request_age, read_ahead: parts.read_buf };
                // If the successor has exited, the connection ends here.
                clients.successor.hand_over(transferred);
                return Closed::PassedOn;
            },
            // The connection is kept if a request has arrived between the signal and now.
            () = client.close_now.notified() => {
                let why = client.close_reason.get();
                if client.may_close(&socket, why) {
                    return Closed::ByUs(why);
                }
                client.evicting.set(false);
            }
            () = client.close_gracefully.notified(), if !closing => {
                // The answer to an open request closes the connection, unless further requests follow. If its head has
                // been written already, the connection is closed once it is idle.
                if client.request_open.get() || client.answering.get() {
                    continue;
                }
                // Unread bytes may be a request: they are read before the connection is closed.
                let has_unread_request = !client.may_close(&socket, CloseReason::Idle);
                if has_unread_request && deferrals < MAX_CLOSE_DEFERRALS {
                    deferrals += 1;
                    tokio::task::yield_now().await;
                    client.close_gracefully.notify_one();
                    continue;
                }
                closing = true;
                std::pin::Pin::new(&mut serving).graceful_shutdown();
            }
        }
    }
}

/// Logs why a connection could not be read or written any further.
fn log_broken_connection(connection: u64, error: &hyper::Error) {
    debug!(event = "broken", connection, %error, "connection {connection}: {error}");
}

/// How a client connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Closed {
    /// The client closed it, or it was closed after an answer.
    ByClient,
    /// It was reset, or what arrived is not HTTP.
    Broken,
    /// Another process has taken it over.
    PassedOn,
    /// This process closed it.
    ByUs(CloseReason),
}
