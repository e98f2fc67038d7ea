//! Attempts at servers and the pool of their connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use fawnhill::{Outcome, RequestId, ServerId};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::HeaderName;
use hyper::Request;
use hyper_util::rt::TokioIo;
use marldeal_engine::outcomes;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at};
use tracing::{debug, info};

use crate::driver::{AttemptJob, Driver, Upstream};
use crate::front::head::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT};
use crate::payload::{
    Chunk, OutgoingBody, Progress, TrackedBody, MAX_BUFFERED_RESPONSE_BYTES, TRANSFER_IDLE_TIMEOUT,
};
use crate::settings::config::Config;
use crate::socket::{IoObserver, ObservedStream, SharedSocket, Unread};
use crate::transient;

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// Most bytes read from a server at once: with one piece on its way, what a streamed answer takes.
const MOST_READ: usize = 32 << 10;
/// An answer of unknown length is held for so long to be read whole, so that a broken one can be tried again.
const MOST_HOLD: Duration = Duration::from_millis(500);

/// A connection is used again only after this rest: what a server writes right behind an answer has come by
/// then, and shows that it is of no further use.
const SETTLE: Duration = Duration::from_millis(10);

type Written = Box<dyn Fn(RequestId, u32)>;

/// How far the request on a connection has been written.
struct Writing {
    /// Is told that a request's last byte has been written.
    written: Written,
    /// Which one is on its way, and not written whole yet.
    what: Cell<Option<(RequestId, u32)>>,
    /// The connection has taken its last byte in.
    taken: Cell<bool>,
    /// Bytes of it have gone out.
    wrote: Cell<bool>,
}

impl Writing {
    fn begin(&self, job: &AttemptJob) {
        self.what.set(Some((job.id, job.attempt)));
        self.taken.set(false);
        self.wrote.set(false);
    }
}

impl Progress for Writing {
    fn body_consumed(&self) {
        self.taken.set(true);
    }
}

impl IoObserver for Rc<Writing> {
    fn on_written(&mut self, bytes: usize) {
        if bytes > 0 {
            Cell::set(&self.wrote, true);
        }
    }
    fn on_flushed(&mut self) {
        if self.taken.get() && self.wrote.get() {
            if let Some((id, attempt)) = self.what.take() {
                (self.written)(id, attempt);
            }
        }
    }
}

type Sent = TrackedBody<OutgoingBody, Writing>;
type Wire = TokioIo<ObservedStream<Rc<Writing>, SharedSocket>>;

/// A connection and what drives it. Nothing else does: dropping it closes the socket.
struct Link {
    sender: SendRequest<Sent>,
    connection: Connection<Wire, Sent>,
    writing: Rc<Writing>,
    socket: SharedSocket,
    _room: Room,
}

/// A place among the connections that may be open; free again when it is dropped.
struct Room(Rc<Cell<usize>>);

impl Drop for Room {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Idle {
    link: Link,
    since: Instant,
}

/// Idle connections by server, and a bound on all that are open. Not by address: a new server at the address
/// of one that has gone must not be sent requests on that one's connections.
struct Pool {
    idle: HashMap<ServerId, Vec<Idle>>,
    idle_for: Duration,
    /// All open ones, idle or not.
    open: Rc<Cell<usize>>,
}

impl Pool {
    /// Drops what has been idle for `idle_ms`.
    fn new(idle_ms: f64) -> Pool {
        let idle_for = Duration::from_secs_f64(idle_ms / 1000.0);
        Pool { idle: HashMap::new(), idle_for, open: Rc::default() }
    }

    /// Closes the idle connections to a server.
    fn drop_idle(&mut self, server: &ServerId) {
        self.idle.remove(server);
    }

    /// Closes what has been idle for long.
    fn sweep(&mut self) {
        let idle_for = self.idle_for;
        self.idle.retain(|_, links| {
            links.retain(|l| l.since.elapsed() < idle_for);
            !links.is_empty()
        });
    }

    /// The connection used last that is still good. One that the server has closed, or has written to
    /// unasked, is dropped here, before use: a request written to it would end as a reset, or be given what
    /// the server wrote as its answer.
    /// The event loop may not have been told yet of what has come: the kernel is asked as well.
    fn take(&mut self, server: &ServerId) -> Option<Link> {
        let links = self.idle.get_mut(server)?;
        while let Some(at) = links.iter().rposition(|l| l.since.elapsed() >= SETTLE) {
            let Idle { mut link, since } = links.remove(at);
            if since.elapsed() < self.idle_for && link.alive() && link.quiet() {
                return Some(link);
            }
        }
        None
    }

    /// Room for one more connection; the one idle for longest makes way.
    fn reserve(&mut self, most: usize) -> Option<Room> {
        if self.open.get() >= most {
            self.drop_oldest()?;
        }
        self.open.set(self.open.get() + 1);
        Some(Room(self.open.clone()))
    }

    /// Closes the connection idle for longest; nothing if none is idle.
    fn drop_oldest(&mut self) -> Option<()> {
        let oldest = self.idle.iter().filter(|(_, l)| !l.is_empty()).min_by_key(|(_, l)| l[0].since);
        let server = oldest.map(|(server, _)| server.clone())?;
        self.idle.get_mut(&server)?.remove(0);
        Some(())
    }

    /// Closes idle ones until no more than so many are open.
    fn trim(&mut self, most: usize) {
        while self.open.get() > most && self.drop_oldest().is_some() {}
    }

    fn put(&mut self, server: &ServerId, link: Link) {
        self.idle.entry(server.clone()).or_default().push(Idle { link, since: Instant::now() });
    }
}

impl Link {
    /// Nothing lies in its socket: neither a close nor bytes, which the next request would get as its answer.
    fn quiet(&self) -> bool {
        self.socket.unread() == Unread::Nothing
    }

    /// Looks at the connection without waiting.
    fn alive(&mut self) -> bool {
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        let ended = Pin::new(&mut self.connection).poll(&mut context).is_ready();
        !ended && self.sender.is_ready()
    }
}

/// Carries attempts to servers over HTTP/1.1.
pub struct Servers {
    pool: RefCell<Pool>,
}

impl Servers {
    /// With the bounds that the configuration sets.
    pub fn new(config: &Config) -> Rc<Servers> {
        Rc::new(Servers { pool: RefCell::new(Pool::new(config.server_idle_ms)) })
    }

    /// Drops idle connections in time, for ever.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.pool.borrow_mut().sweep();
        }
    }
}

impl Upstream for Rc<Servers> {
    fn start(&self, driver: Rc<Driver>, job: AttemptJob, stopped: oneshot::Receiver<Outcome>) {
        tokio::task::spawn_local(attempt(self.clone(), driver, job, stopped));
    }
    fn close_idle(&self, server: &ServerId) {
        self.pool.borrow_mut().drop_idle(server);
    }
    fn trim(&self, most: usize) {
        self.pool.borrow_mut().trim(most);
    }
}

/// Makes one attempt and reports its end. What is stopped closes its connection first: the `select` has
/// dropped it when the module hears of the end, so that a request never has two attempts out.
async fn attempt(
    servers: Rc<Servers>,
    driver: Rc<Driver>,
    job: AttemptJob,
    stopped: oneshot::Receiver<Outcome>,
) {
    let (outcome, body) = tokio::select! {
        biased;
        Ok(how) = stopped => (how, None),
        end = exchange(&servers, &driver, &job) => end,
    };
    driver.attempt_ended(&job, outcome, body);
}

async fn exchange(servers: &Servers, driver: &Rc<Driver>, job: &AttemptJob) -> (Outcome, Option<Bytes>) {
    if driver.check_permission(job).await.is_err() {
        return (Outcome::NotSent, None);
    }
    let Some(addr) = driver.server_address(&job.server) else { return (Outcome::NotSent, None) };
    let pooled = servers.pool.borrow_mut().take(&job.server);
    let mut link = match pooled {
        Some(link) => link,
        None => match connect(servers, driver, addr).await {
            // The wait for a connection may have outlived whatever allowed the attempt.
            Ok(_) if driver.check_permission(job).await.is_err() => return (Outcome::NotSent, None),
            Ok(link) => link,
            Err(outcome) => return (outcome, None),
        },
    };
    if driver.server_address(&job.server) != Some(addr) {
        return (Outcome::NotSent, None);
    }
    let now = driver.now();
    job.content.attempt_sent_at.set(Some(now));
    let (id, attempt) = (job.id, job.attempt);
    debug!(event = "sent", request = id, attempt, server = %job.server, "request {id}: attempt {attempt} to {}", job.server);
    let left_ms = (job.deadline - now).min(job.content.budget_ms);
    link.writing.begin(job);
    let Ok(request) = request(job, addr, left_ms, &link.writing) else { return (Outcome::NotSent, None) };
    let Link { sender, connection, writing, .. } = &mut link;
    let answer = async {
        let answer = match sender.try_send_request(request).await {
            Ok(answer) => answer,
            // One that is given back, or whose last byte was not written, never ran; of any other it is not known.
            Err(mut e) => match e.take_message().is_some() || writing.what.get().is_some() {
                true => return (Outcome::NoConnection, None),
                false => return (Outcome::Severed, None),
            },
        };
        let (head, body) = answer.into_parts();
        let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|v| v == "1");
        let outcome = outcomes::from_response(head.status.as_u16(), unprocessed);
        take_answer(driver, job, outcome, body).await
    };
    let (outcome, body, mut ended) = drive(answer, connection).await;
    // Only a connection whose answer was read to its end may serve again.
    ended |= !matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
    // Nor one of a server that takes nothing new by now: nobody would close it.
    if !ended && driver.server_address(&job.server) == Some(addr) && link.alive() {
        servers.pool.borrow_mut().put(&job.server, link);
    }
    (outcome, body)
}

/// Takes an answer's body in: a short one whole, a longer one piece by piece to its client.
async fn take_answer(
    driver: &Rc<Driver>,
    job: &AttemptJob,
    outcome: Outcome,
    mut body: Incoming,
) -> (Outcome, Option<Bytes>) {
    let told = body.size_hint().exact();
    let mut whole = BytesMut::new();
    let mut longer = told.is_some_and(|told| told > MAX_BUFFERED_RESPONSE_BYTES as u64);
    let hold = tokio::time::Instant::now() + MOST_HOLD;
    while !longer {
        let frame = match told {
            Some(_) => body.frame().await,
            // One that comes slowly may be a long one.
            None => match timeout_at(hold, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break,
            },
        };
        match frame {
            None => return (outcome, (outcome == Outcome::Ok).then(|| whole.freeze())),
            Some(Err(_)) => return (Outcome::Severed, None),
            Some(Ok(frame)) => whole.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
        }
        longer = whole.len() > MAX_BUFFERED_RESPONSE_BYTES;
    }
    // What an error has to say at such length nobody hears.
    if outcome != Outcome::Ok {
        return (outcome, None);
    }
    let Some(pieces) = driver.begin_streaming(job, told) else { return (Outcome::Cancelled, None) };
    let mut next = whole.freeze();
    loop {
        if !next.is_empty()
            && !matches!(timeout(TRANSFER_IDLE_TIMEOUT, pieces.send(Chunk::Data(next))).await, Ok(Ok(())))
        {
            driver.reader_disconnected(job.id);
            return (Outcome::Cancelled, None);
        }
        next = match timeout(TRANSFER_IDLE_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) => {
                let _ = pieces.send(Chunk::End).await;
                return (Outcome::Ok, None);
            }
            // The client can tell: its answer ends in the middle.
            Ok(Some(Err(_))) | Err(_) => return (Outcome::Severed, None),
        };
    }
}

/// Waits for the answer while the connection works; tells also whether that has ended.
async fn drive(
    answer: impl Future<Output = (Outcome, Option<Bytes>)>,
    connection: &mut Connection<Wire, Sent>,
) -> (Outcome, Option<Bytes>, bool) {
    tokio::pin!(answer);
    let mut ended = false;
    loop {
        tokio::select! {
            biased;
            (outcome, body) = &mut answer => return (outcome, body, ended),
            _ = &mut *connection, if !ended => ended = true,
        }
    }
}

async fn connect(servers: &Servers, driver: &Rc<Driver>, addr: SocketAddr) -> Result<Link, Outcome> {
    let most = driver.share_of(driver.config.max_server_connections);
    let room = servers.pool.borrow_mut().reserve(most).ok_or(Outcome::NotSent)?;
    let limit = Duration::from_secs_f64(driver.config.settings.connect_timeout_ms.max(1.0) / 1000.0);
    let stream = match timeout(limit, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        // Want of descriptors or ports here says nothing about the server: it must not count as silent.
        Ok(Err(e)) if transient::is_transient(&e) => {
            info!("connect: {e}");
            return Err(Outcome::NotSent);
        }
        Ok(Err(_)) | Err(_) => return Err(Outcome::NoConnection),
    };
    let driver = driver.clone();
    link(stream, Box::new(move |id, attempt| driver.attempt_written(id, attempt)), room).await
}

async fn link(stream: TcpStream, written: Written, room: Room) -> Result<Link, Outcome> {
    let _ = stream.set_nodelay(true);
    let writing =
        Rc::new(Writing { written, what: Cell::new(None), taken: Cell::new(false), wrote: Cell::new(false) });
    let socket = SharedSocket::new(stream);
    let wire = TokioIo::new(ObservedStream {
        stream: socket.clone(),
        observer: writing.clone(),
        prefix: Bytes::new(),
    });
    let made = http1::Builder::new().max_buf_size(MOST_READ).handshake(wire).await;
    let (sender, connection) = made.map_err(|_| Outcome::NoConnection)?;
    Ok(Link { sender, connection, writing, socket, _room: room })
}

fn request(
    job: &AttemptJob,
    addr: SocketAddr,
    left_ms: f64,
    writing: &Rc<Writing>,
) -> hyper::http::Result<Request<Sent>> {
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
    request.body(TrackedBody::new(OutgoingBody::new(&content.body), writing.clone()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;

    /// A server closes an idle connection, or writes to it unasked, and the event loop has not been told when the next
    /// request is to go out on it: the loop does not run between the two, since the test blocks its only thread. Guards
    /// against a booking that is written there and ends as one that may have run.
    #[test]
    fn what_the_event_loop_has_not_been_told_of_an_idle_connection_is_asked_of_the_kernel() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let server: ServerId = "s-1".into();
        for unasked in [false, true] {
            runtime.block_on(async {
                let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
                let addr = listener.local_addr().expect("an address");
                let mut pool = Pool::new(10_000.0);
                let (mut far, mut kept) = (Vec::new(), Vec::new());
                for _ in 0..3 {
                    let room = pool.reserve(9).expect("room");
                    let stream = TcpStream::connect(addr).await.expect("connect");
                    far.push(listener.accept().expect("accept").0);
                    let link = link(stream, Box::new(|_, _| {}), room).await.map_err(drop).expect("a link");
                    pool.put(&server, link);
                }
                std::thread::sleep(SETTLE * 2);
                // The first stays open; the one used last comes first.
                let open = far.remove(0);
                for mut stream in far {
                    match unasked {
                        true => stream.write_all(b"HTTP/1.1 408 Late\r\n\r\n").expect("write"),
                        false => stream.shutdown(std::net::Shutdown::Write).expect("close"),
                    }
                    kept.push(stream);
                }
                let last = pool.idle.get_mut(&server).and_then(|links| links.last_mut()).expect("idle ones");
                assert!(last.link.alive() && !last.link.quiet(), "the crossing was forced");
                let sure = pool.take(&server).expect("the one that is open");
                assert!(sure.quiet());
                assert_eq!(pool.open.get(), 1, "the dead ones were closed");
                drop((sure, open, kept));
                assert_eq!(pool.open.get(), 0);
            });
        }
    }
}
