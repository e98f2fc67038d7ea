//! The life of one client's connection: what has come on it, how long it has stood, and how it comes to its end.

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
use marldeal_lifecycle::Lifecycle;
use marldeal_permit::{may_close, CloseReason, Connection, KeepReason};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::driver::Driver;
use crate::front::answer::respond;
use crate::front::clients::Clients;
use crate::front::head::HeaderLayout;
use crate::payload::{Progress, TrackedBody};
use crate::socket::{IoObserver, ObservedStream, SharedSocket, Unread};
use crate::upgrade::{SuccessorHandle, TransferredConnection};

/// Longest head of a request.
const MOST_HEAD: usize = 16 << 10;
/// In a flood of new names a connection that was refused rests for so long, times the connections that are open, before
/// its next request is taken up: answers to the flood then take a fifth or so of the core, and usual firms' requests do
/// not wait behind all of them in each turn.
const REST_EACH: Duration = Duration::from_micros(80);
/// What lay in the queue with its connection is read within this after that is accepted.
const READ_SOON: Duration = Duration::from_millis(50);
/// A close waits so many turns of the event loop for what lies unread.
const MOST_POSTPONED: u32 = 8;
/// How often it is looked whether a client has left behind what it has sent beyond its open request.
const LOOK: Duration = Duration::from_millis(50);

/// One client connection, as the others see it.
pub(super) struct Client {
    /// A request of it has come and has no answer yet.
    pub(super) busy: Cell<bool>,
    /// The body of that is still to come.
    pub(super) reading: Cell<bool>,
    pub(super) used: Cell<Instant>,
    /// Bytes of a request have come on it.
    pub(super) spoke: Cell<bool>,
    /// When the request that has not come whole began; a new connection owes one from the start.
    pub(super) begun: Cell<Option<Instant>>,
    /// Its next request is taken up then.
    pub(super) rest: Cell<Option<Instant>>,
    /// It may have waited so long to be accepted, and its first request with it.
    pub(super) waited: Cell<Duration>,
    pub(super) layout: Rc<HeaderLayout>,
    /// The same, or the last byte of its answer is still to be taken by the connection, or to be written.
    pub(super) answering: Cell<bool>,
    pub(super) taken: Cell<bool>,
    /// Where it goes once another process has taken this one's place, and when to look.
    pub(super) successor: Rc<SuccessorHandle>,
    pub(super) pass: Notify,
    /// It came while this process ends: what it asks is refused.
    pub(super) late: bool,
    /// It has been told to make way.
    pub(super) leaving: Cell<bool>,
    /// Close between requests.
    pub(super) close: Notify,
    /// Close at once, and why.
    pub(super) cut: Notify,
    pub(super) closing: Cell<CloseReason>,
    /// It stalled, and was kept since bytes lay unread.
    pub(super) reread: Cell<bool>,
    /// The last read brought nothing: the HTTP server has used up what came, and hears when the client closes. Bytes that
    /// it has left lie behind the open request, and it reads no further.
    pub(super) drained: Cell<bool>,
}

impl Client {
    pub(super) fn new(layout: Rc<HeaderLayout>, successor: Rc<SuccessorHandle>, late: bool) -> Client {
        let now = Instant::now();
        Client {
            busy: Cell::new(false),
            reading: Cell::new(false),
            used: Cell::new(now),
            spoke: Cell::new(false),
            begun: Cell::new(Some(now)),
            rest: Cell::new(None),
            waited: Cell::new(Duration::ZERO),
            layout,
            answering: Cell::new(false),
            taken: Cell::new(true),
            successor,
            pass: Notify::new(),
            late,
            leaving: Cell::new(false),
            close: Notify::new(),
            cut: Notify::new(),
            closing: Cell::new(CloseReason::Idle),
            reread: Cell::new(false),
            drained: Cell::new(false),
        }
    }

    /// Waits until the client turns out to have left while its request is open, hidden by what it has sent behind it. It is
    /// polled whenever the connection is, and costs nothing as long as clients send one request at a time.
    pub(super) async fn left(&self, socket: &SharedSocket) {
        let mut look: Option<std::pin::Pin<Box<tokio::time::Sleep>>> = None;
        std::future::poll_fn(|context| {
            if !self.busy.get() || self.drained.get() {
                look = None;
                return Poll::Pending;
            }
            loop {
                if socket.remote_closed() {
                    return Poll::Ready(());
                }
                let look = look.get_or_insert_with(|| Box::pin(tokio::time::sleep(LOOK)));
                ready!(look.as_mut().poll(context));
                look.as_mut().reset(Instant::now() + LOOK);
            }
        })
        .await
    }

    /// Whether its connection may be closed at this moment.
    pub(super) fn may_close(&self, socket: &SharedSocket, why: CloseReason) -> bool {
        let unread = socket.unread() == Unread::Bytes;
        let connection =
            Connection { request_open: self.busy.get(), unread, already_deferred: self.reread.get() };
        let kept = may_close(connection, why).err();
        self.reread.set(kept == Some(KeepReason::UnreadData));
        kept.is_none()
    }

    /// Is told to end, and why.
    pub(super) fn end(&self, why: CloseReason) {
        self.closing.set(why);
        self.cut.notify_one();
    }

    /// Bytes have come: the first of a request, unless they are its body.
    pub(super) fn bytes_received(&self) {
        // What comes only now did not wait with the connection.
        if !self.spoke.get() && self.used.get().elapsed() > READ_SOON {
            self.waited.set(Duration::ZERO);
        }
        self.spoke.set(true);
        self.used.set(Instant::now());
        if !self.reading.get() && self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
        }
    }
}

/// Hyper says only once a head is whole that bytes have come.
impl IoObserver for Rc<Client> {
    fn on_read(&mut self, _: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        self.drained.set(bytes == 0);
        if bytes > 0 {
            self.bytes_received();
        }
        Ok(())
    }
    fn on_written(&mut self, _: usize) {
        self.used.set(Instant::now());
    }
    fn on_flushed(&mut self) {
        if self.taken.get() {
            self.answering.set(false);
            if self.successor.is_accepting() {
                self.pass.notify_one();
            }
        }
    }
}

impl Progress for Client {
    fn body_consumed(&self) {
        self.taken.set(true);
    }
}

pub(super) async fn connection(
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    client: &Rc<Client>,
    stream: TcpStream,
    read: Bytes,
) -> Closed {
    let stream = SharedSocket::new(stream);
    let socket = stream.clone();
    let service = service_fn(|request| {
        let (driver, clients, client) = (driver.clone(), clients.clone(), client.clone());
        let socket = socket.clone();
        client.busy.set(true);
        client.answering.set(true);
        client.taken.set(false);
        client.reading.set(true);
        async move {
            let mut answer = respond(&driver, &client, &socket, request).await;
            if answer.status() == StatusCode::TOO_MANY_REQUESTS && driver.refuses_new_customers() {
                let open = u32::try_from(clients.all.borrow().len()).unwrap_or(u32::MAX);
                client.rest.set(Some(Instant::now() + REST_EACH.saturating_mul(open)));
            }
            if !driver.with_lifecycle(Lifecycle::keeps_alive) && !clients.successor.is_accepting() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            client.busy.set(false);
            client.reading.set(false);
            client.used.set(Instant::now());
            Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, client)))
        }
    });
    let mut serving = http1::Builder::new().max_buf_size(MOST_HEAD).auto_date_header(false).serve_connection(
        TokioIo::new(ObservedStream { stream, observer: client.clone(), prefix: read }),
        service,
    );
    let left = client.left(&socket);
    tokio::pin!(left);
    let (mut closing, mut postponed) = (false, 0);
    loop {
        tokio::select! {
            biased;
            // An error here is the client's: it left, or sent what is no HTTP.
            ended = &mut serving => return match ended {
                Ok(()) if closing => Closed::ByUs(CloseReason::Idle),
                Ok(()) => Closed::ByClient,
                Err(_) => Closed::Broken,
            },
            () = &mut left => return Closed::ByClient,
            () = client.pass.notified() => if !client.answering.get() {
                let parts = serving.into_parts();
                let begun = client.begun.get().map(|at| at.elapsed());
                let stream = parts.io.into_inner().stream.take().map(TcpStream::into_std);
                let Some(Ok(stream)) = stream else { return Closed::Broken };
                let passed = TransferredConnection { stream, request_age: begun, read_ahead: parts.read_buf };
                // The heir has gone: the connection ends here.
                clients.successor.hand_over(passed);
                return Closed::PassedOn;
            },
            // A request that came in between the word to cut and this has been taken: it stays.
            () = client.cut.notified() => {
                let why = client.closing.get();
                if client.may_close(&socket, why) {
                    return Closed::ByUs(why);
                }
                client.leaving.set(false);
            }
            () = client.close.notified(), if !closing => {
                // What lies unread may be a request: it is read before the connection is closed under it.
                let asks = !client.busy.get() && !client.answering.get() && !client.may_close(&socket, CloseReason::Idle);
                if asks && postponed < MOST_POSTPONED {
                    postponed += 1;
                    tokio::task::yield_now().await;
                    client.close.notify_one();
                    continue;
                }
                closing = true;
                std::pin::Pin::new(&mut serving).graceful_shutdown();
            }
        }
    }
}

/// How a client's connection came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Closed {
    /// Its client closed it, or it was closed behind an answer.
    ByClient,
    /// It broke, or what came on it is no HTTP.
    Broken,
    /// Another process goes on with it.
    PassedOn,
    /// This process ended it.
    ByUs(CloseReason),
}
