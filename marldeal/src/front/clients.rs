//! The HTTP server towards clients.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use fawnhill::RequestId;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use marldeal_engine::ledger::End;
use marldeal_lifecycle::worth::{self, Doing, Standing};
use marldeal_lifecycle::{Command, Lifecycle, Phase};
use marldeal_permit::{may_close, Closing, Connection, Kept};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{timeout, Instant};
use tracing::{debug, info};

use crate::driver::{Answer, Content, Driver};
use crate::front::head::{self, Layout};
use crate::front::last;
use crate::payload::{self, Payload, Progress, Refused, Reply, Watched, STILL};
use crate::tapped::{Shared, Tap, Tapped, Unread};
use crate::transient;
use crate::upgrade::{Heir, Passed};

/// Longest head of a request.
const MOST_HEAD: usize = 16 << 10;
/// A client that has sent a part of a head, or has connected and said nothing, is cut off after this time from the
/// first byte on, however it trickles: the platform's slowest takes 2 s.
const PART_TIME: Duration = Duration::from_millis(2300);
/// One that has been answered and stays idle.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// How often that is seen to.
const SWEEP: Duration = Duration::from_millis(250);
/// Connections beyond the bound that are accepted before one has made way for each.
const SPARE: usize = 8;
/// In a flood of new names a connection that was refused rests for so long, times the connections that are open, before
/// its next request is taken up: answers to the flood then take a fifth or so of the core, and usual firms' requests do
/// not wait behind all of them in each turn.
const REST_EACH: Duration = Duration::from_micros(80);
/// Accepting that fails for want of descriptors is tried again after this time; until it has failed for so long the want may
/// pass by itself.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);
const ACCEPT_PATIENCE: Duration = Duration::from_millis(100);
/// What lay in the queue with its connection is read within this after that is accepted.
const READ_SOON: Duration = Duration::from_millis(50);
/// How often it is seen whether there is room again, or an end to wait for.
const TICK: Duration = Duration::from_millis(50);
/// Connections that are turned away at once while this process ends, and how long one of them may take to ask.
const MOST_LATE: usize = 64;
const LATE_TIME: Duration = Duration::from_millis(400);
/// Before the process ends it turns away for so long what still comes: clients whose request crossed the close of their
/// connection come again on a new one. Then nobody can connect any more, and whoever was accepted by then is waited for.
const LAST_TIME: Duration = Duration::from_millis(100);
const LAST_MOST: Duration = Duration::from_millis(700);
/// A close waits so many turns of the event loop for what lies unread.
const MOST_POSTPONED: u32 = 8;
/// How often it is looked whether a client has left behind what it has sent beyond its open request.
const LOOK: Duration = Duration::from_millis(50);
/// A body that is too large is read on for so long and so far, so that its sender sees the answer.
const MOST_DISCARDED: usize = 1 << 20;
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// One client connection, as the others see it.
struct Client {
    /// A request of it has come and has no answer yet.
    busy: Cell<bool>,
    /// The body of that is still to come.
    reading: Cell<bool>,
    used: Cell<Instant>,
    /// Bytes of a request have come on it.
    spoke: Cell<bool>,
    /// When the request that has not come whole began; a new connection owes one from the start.
    begun: Cell<Option<Instant>>,
    /// Its next request is taken up then.
    rest: Cell<Option<Instant>>,
    /// It may have waited so long to be accepted, and its first request with it.
    waited: Cell<Duration>,
    layout: Rc<Layout>,
    /// The same, or the last byte of its answer is still to be taken by the connection, or to be written.
    answering: Cell<bool>,
    taken: Cell<bool>,
    /// Where it goes once another process has taken this one's place, and when to look.
    heir: Rc<Heir>,
    pass: Notify,
    /// It came while this process ends: what it asks is refused.
    late: bool,
    /// It has been told to make way.
    leaving: Cell<bool>,
    /// Close between requests.
    close: Notify,
    /// Close at once, and why.
    cut: Notify,
    closing: Cell<Closing>,
    /// It stalled, and was kept since bytes lay unread.
    reread: Cell<bool>,
    /// The last read brought nothing: the HTTP server has used up what came, and hears when the client closes. Bytes that
    /// it has left lie behind the open request, and it reads no further.
    drained: Cell<bool>,
}

impl Client {
    fn new(layout: Rc<Layout>, heir: Rc<Heir>, late: bool) -> Client {
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
            heir,
            pass: Notify::new(),
            late,
            leaving: Cell::new(false),
            close: Notify::new(),
            cut: Notify::new(),
            closing: Cell::new(Closing::Idle),
            reread: Cell::new(false),
            drained: Cell::new(false),
        }
    }

    /// Waits until the client turns out to have left while its request is open, hidden by what it has sent behind it. It is
    /// polled whenever the connection is, and costs nothing as long as clients send one request at a time.
    async fn left(&self, socket: &Shared) {
        let mut look: Option<std::pin::Pin<Box<tokio::time::Sleep>>> = None;
        std::future::poll_fn(|context| {
            if !self.busy.get() || self.drained.get() {
                look = None;
                return Poll::Pending;
            }
            loop {
                if socket.closed() {
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
    fn may_close(&self, socket: &Shared, why: Closing) -> bool {
        let unread = socket.unread() == Unread::Bytes;
        let connection = Connection { request_open: self.busy.get(), unread, reread: self.reread.get() };
        let kept = may_close(connection, why).err();
        self.reread.set(kept == Some(Kept::Unread));
        kept.is_none()
    }

    /// Is told to end, and why.
    fn end(&self, why: Closing) {
        self.closing.set(why);
        self.cut.notify_one();
    }

    /// Bytes have come: the first of a request, unless they are its body.
    fn heard(&self) {
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
impl Tap for Rc<Client> {
    fn read(&mut self, _: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        self.drained.set(bytes == 0);
        if bytes > 0 {
            self.heard();
        }
        Ok(())
    }
    fn wrote(&mut self, _: usize) {
        self.used.set(Instant::now());
    }
    fn flushed(&mut self) {
        if self.taken.get() {
            self.answering.set(false);
            if self.heir.is_there() {
                self.pass.notify_one();
            }
        }
    }
}

impl Progress for Client {
    fn taken(&self) {
        self.taken.set(true);
    }
}

/// The open client connections, by number.
#[derive(Default)]
struct Clients {
    all: RefCell<BTreeMap<u64, Rc<Client>>>,
    closed: Notify,
    layout: Rc<Layout>,
    heir: Rc<Heir>,
}

impl Clients {
    /// Cuts connections that have asked nothing, or sent a part of a request, for too long. A few passes a
    /// second cost less than a timer for each request.
    async fn sweep(&self, driver: &Driver) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let closes = driver.life(Lifecycle::closes_idle);
            let idle = if closes { Duration::ZERO } else { IDLE_TIME };
            for client in self.all.borrow().values().filter(|c| !c.busy.get()) {
                if client.answering.get() {
                    // Its reader stands still.
                    if client.used.get().elapsed() > STILL {
                        client.end(Closing::Stalled);
                    }
                    continue;
                }
                // Half a request is waited for also then: its client may count it as taken soon.
                let most = if client.late { LATE_TIME } else { PART_TIME };
                let part = client.begun.get().is_some_and(|at| at.elapsed() > most);
                let says_nothing = client.begun.get().is_none() || !client.spoke.get();
                if part {
                    client.end(Closing::Stalled);
                } else if says_nothing && client.used.get().elapsed() >= idle {
                    client.end(Closing::Idle);
                }
            }
        }
    }

    /// Sends those on which nothing is owed to another process, and the others once they have their answer.
    fn pass_on(&self) {
        self.all.borrow().values().filter(|c| !c.answering.get()).for_each(|c| c.pass.notify_one());
    }

    /// Whether an answer is owed or on its way. Connections that have not asked are not waited for: bad clients
    /// open new ones without end, and a limiter that lingers for them is missed.
    fn owe(&self) -> bool {
        self.all.borrow().values().any(|c| c.answering.get() || c.begun.get().is_none())
    }

    /// Connections that came too late and are still there.
    fn late(&self) -> usize {
        self.all.borrow().values().filter(|c| c.late).count()
    }

    /// Cuts the connection that is worth least. Guards against crowds that hold connections, or send a request's half, in
    /// place of the clients that ask.
    fn evict(&self) {
        let all = self.all.borrow();
        let standing = all.values().map(|c| Standing {
            doing: match () {
                () if c.answering.get() || c.leaving.get() => Doing::Open,
                () if c.begun.get().is_some() => Doing::Half,
                () => Doing::Idle,
            },
            still: c.used.get().elapsed().as_secs_f64() * 1000.0,
        });
        if let Some(client) = worth::least_worthy(standing).and_then(|at| all.values().nth(at)) {
            // It is gone once its task has run: until then it is not chosen again.
            client.leaving.set(true);
            client.end(Closing::MakesWay);
        }
    }
}

/// Connections that come from a predecessor, and where they go with a successor.
pub struct Handover {
    /// From a predecessor.
    pub arrivals: mpsc::UnboundedReceiver<Passed>,
    /// To a successor.
    pub heir: Rc<Heir>,
    /// No other process shares the listener.
    pub own_listener: bool,
}

/// Accepts and serves until `stop`, then finishes what was taken and returns.
pub async fn serve(
    driver: &Rc<Driver>,
    listener: TcpListener,
    mut handover: Handover,
    stop: impl Future<Output = &'static str>,
) {
    let clients = Rc::new(Clients { heir: handover.heir, ..Clients::default() });
    let (sweeping, lives) = (clients.clone(), driver.clone());
    tokio::task::spawn_local(async move { sweeping.sweep(&lives).await });
    let mut listener = Some(listener);
    let mut number = 0u64;
    let mut failing: Option<Instant> = None;
    // Since when connections may have waited in the queue: what comes out of it until it is empty may be as old.
    let mut unaccepted = Some(Instant::now());
    tokio::pin!(stop);
    let (mut stopped, mut closing) = (false, false);
    let (mut away, mut last, mut shut_out) = (false, None, false);
    loop {
        let (phase, accepts) = (driver.phase(), driver.life(Lifecycle::accepts));
        let turns_away = driver.life(Lifecycle::turns_away);
        if turns_away && !std::mem::replace(&mut away, true) {
            info!("new connections are turned away from now on");
        }
        let over = clients.all.borrow().len() as isize - driver.room(driver.config.most_clients) as isize;
        if over >= 0 && accepts {
            clients.evict();
        }
        // What waits to be accepted is not held up by those that are on their way out.
        let room = match turns_away {
            // They hold no place that those who were here before could miss.
            true => over < 0 && clients.late() < MOST_LATE,
            false => over < SPARE as isize && accepts && driver.informed(),
        };
        let tick = over >= 0 || !matches!(phase, Phase::Warming | Phase::Serving);
        let closes = driver.life(Lifecycle::closes_idle);
        if phase == Phase::HandingOver {
            listener = None;
        }
        if phase == Phase::HandingOver && clients.heir.is_there() {
            clients.pass_on();
        }
        if closes && !closing {
            clients.all.borrow().values().for_each(|c| c.close.notify_one());
        }
        closing = closes;
        if driver.life(|life, now| life.ends(now, clients.owe(), !clients.all.borrow().is_empty())) {
            let since = last.get_or_insert_with(Instant::now).elapsed();
            let Some(queue) = &listener else { return };
            if since >= LAST_TIME {
                if handover.own_listener && !std::mem::replace(&mut shut_out, true) {
                    last::shut_out(queue);
                }
                for stream in last::in_queue(queue) {
                    number += 1;
                    open(driver, &clients, number, stream, Before::default());
                }
                if clients.late() == 0 || since >= LAST_MOST {
                    return;
                }
            }
        }
        if !room {
            unaccepted.get_or_insert_with(Instant::now);
        }
        let accept = std::future::poll_fn(|cx| {
            let Some(listener) = &listener else { return Poll::Pending };
            let accepted = listener.poll_accept(cx);
            if accepted.is_pending() {
                unaccepted = None;
            }
            accepted
        });
        tokio::select! {
            accepted = accept, if room => match accepted {
                Ok((stream, _)) => {
                    number += 1;
                    failing = None;
                    let waited = unaccepted.map_or(Duration::ZERO, |since| since.elapsed());
                    open(driver, &clients, number, stream, Before { waited, ..Before::default() });
                }
                // The connection was aborted, or the call interrupted: the next one may do.
                Err(e) if !transient::is_want(&e) => tokio::task::yield_now().await,
                // Out of descriptors: what waits to be accepted is taken a little later, and where that does not pass by
                // itself an idle connection makes way.
                Err(e) => {
                    let since = *failing.get_or_insert_with(|| {
                        info!(event = "accept", "accept: {e}");
                        Instant::now()
                    });
                    if since.elapsed() >= ACCEPT_PATIENCE {
                        clients.evict();
                    }
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            },
            why = &mut stop, if !stopped => {
                stopped = true;
                info!(event = "finishing", %why, "{why}: finishing");
                let _ = driver.command(Command::Stop);
            }
            () = driver.phase_changed.notified() => {}
            Some(passed) = handover.arrivals.recv() => {
                number += 1;
                adopt(driver, &clients, number, passed);
            }
            () = clients.closed.notified() => {}
            () = tokio::time::sleep(TICK), if tick => {}
        }
    }
}

/// Takes in a connection that another process, or this one, held before.
fn adopt(driver: &Rc<Driver>, clients: &Rc<Clients>, number: u64, passed: Passed) {
    let Passed { stream, begun, read } = passed;
    let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) else { return };
    let begun = begun.map(|waited| Instant::now().checked_sub(waited).unwrap_or_else(Instant::now));
    open(driver, clients, number, stream, Before { passed: Some((begun, read)), ..Before::default() });
}

/// What of a connection lies before its opening here.
#[derive(Default)]
struct Before {
    /// Another process had it: when the request began that has not come whole, and what was read.
    passed: Option<(Option<Instant>, Bytes)>,
    /// It may have waited so long in the queue.
    waited: Duration,
}

fn open(driver: &Rc<Driver>, clients: &Rc<Clients>, number: u64, stream: TcpStream, before: Before) {
    let _ = stream.set_nodelay(true);
    let late = driver.life(Lifecycle::turns_away);
    let client = Rc::new(Client::new(clients.layout.clone(), clients.heir.clone(), late));
    let mut read = Bytes::new();
    client.waited.set(before.waited);
    if let Some((begun, bytes)) = before.passed {
        client.begun.set(begun);
        client.spoke.set(!bytes.is_empty());
        read = bytes;
    }
    clients.all.borrow_mut().insert(number, client.clone());
    let (driver, clients) = (driver.clone(), clients.clone());
    tokio::task::spawn_local(async move {
        let why = connection(&driver, &clients, &client, stream, read).await;
        debug!(event = "closed", connection = number, ?why, "connection {number} is closed: {why:?}");
        clients.all.borrow_mut().remove(&number);
        clients.closed.notify_one();
    });
}

async fn connection(
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    client: &Rc<Client>,
    stream: TcpStream,
    read: Bytes,
) -> Closed {
    let stream = Shared::new(stream);
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
            if answer.status() == StatusCode::TOO_MANY_REQUESTS && driver.flooding() {
                let open = u32::try_from(clients.all.borrow().len()).unwrap_or(u32::MAX);
                client.rest.set(Some(Instant::now() + REST_EACH.saturating_mul(open)));
            }
            if !driver.life(Lifecycle::keeps_alive) && !clients.heir.is_there() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            client.busy.set(false);
            client.reading.set(false);
            client.used.set(Instant::now());
            Ok::<_, Infallible>(answer.map(|body| Watched::new(body, client)))
        }
    });
    let mut serving = http1::Builder::new()
        .max_buf_size(MOST_HEAD)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(Tapped { stream, tap: client.clone(), read }), service);
    let left = client.left(&socket);
    tokio::pin!(left);
    let (mut closing, mut postponed) = (false, 0);
    loop {
        tokio::select! {
            biased;
            // An error here is the client's: it left, or sent what is no HTTP.
            ended = &mut serving => return match ended {
                Ok(()) if closing => Closed::ByUs(Closing::Idle),
                Ok(()) => Closed::ByClient,
                Err(_) => Closed::Broken,
            },
            () = &mut left => return Closed::ByClient,
            () = client.pass.notified() => if !client.answering.get() {
                let parts = serving.into_parts();
                let begun = client.begun.get().map(|at| at.elapsed());
                let stream = parts.io.into_inner().stream.take().map(TcpStream::into_std);
                let Some(Ok(stream)) = stream else { return Closed::Broken };
                let passed = Passed { stream, begun, read: parts.read_buf };
                // The heir has gone: the connection ends here.
                clients.heir.pass(passed);
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
                let asks = !client.busy.get() && !client.answering.get() && !client.may_close(&socket, Closing::Idle);
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
enum Closed {
    /// Its client closed it, or it was closed behind an answer.
    ByClient,
    /// It broke, or what came on it is no HTTP.
    Broken,
    /// Another process goes on with it.
    PassedOn,
    /// This process ended it.
    ByUs(Closing),
}

/// Tells the module that a client has gone, when its connection ends before the answer.
struct Waiting<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.driver.client_gone(self.id);
    }
}

async fn respond(
    driver: &Rc<Driver>,
    client: &Client,
    socket: &Shared,
    request: hyper::Request<Incoming>,
) -> Response<Reply> {
    // What comes from here on, but for this request's body, belongs to the next one.
    client.begun.set(None);
    if request.uri().path() == "/-/ready" {
        let status = if driver.ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return plain(status, "");
    }
    let (head, body) = request.into_parts();
    if client.late {
        // Its sender reads the answer once it has sent all.
        let _ = timeout(LATE_TIME, discard(body)).await;
        if let Some(class) = head::class(&driver.config, &client.layout, &head) {
            driver.count(|ledger| ledger.passed(class, End::Declined));
        }
        let mut answer =
            refusal(f64::from(driver.config.settings.may_advise) * LATE_TIME.as_secs_f64() * 1000.0);
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return answer;
    }
    let mut rested_ms = client.waited.take().as_secs_f64() * 1000.0;
    if let Some(until) = client.rest.take() {
        let came = Instant::now();
        tokio::time::sleep_until(until).await;
        rested_ms += came.elapsed().as_secs_f64() * 1000.0;
    }
    let mut read = match head::read(&driver.config, &client.layout, &head) {
        Ok(read) => read,
        Err((status, why)) => {
            if let Some(class) = head::class(&driver.config, &client.layout, &head) {
                driver.count(|ledger| ledger.passed(class, End::Aborted));
            }
            return bad(status, why);
        }
    };
    let taken = payload::take_in(body, &driver.bodies).await;
    client.reading.set(false);
    let body = match taken {
        Ok(body) => body,
        Err(Refused::TooLarge(body)) => {
            let _ = timeout(DISCARD_TIME, discard(body)).await;
            return bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Err(Refused::Broken) => return bad(StatusCode::BAD_REQUEST, "the body did not come whole"),
        Err(Refused::Late) => return bad(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    };
    let empty = matches!(body, Payload::Held { length: 0, .. });
    if head.method == Method::GET && !empty {
        return bad(StatusCode::BAD_REQUEST, "a GET has no body");
    }
    let pipe = match &body {
        Payload::Piped(pipe) => Some(pipe.clone()),
        Payload::Held { .. } => None,
    };
    // The client's time has run while its connection waited to be accepted, or rested.
    read.request.budget_ms = (read.request.budget_ms - rested_ms).max(0.0);
    let content = Content {
        method: head.method,
        target: read.target,
        correlation: read.correlation,
        key: read.key,
        body,
        budget_ms: read.request.budget_ms,
        keep_ms: driver.keep_ms(&read.request),
        effect: driver.effect(&read.request),
        may_have_run: Cell::new(None),
        sent: Cell::new(None),
    };
    if let Some(body) = driver.recorded(&content) {
        driver.count(|ledger| ledger.passed(read.request.class, End::Succeeded));
        return Response::new(Reply::Whole(body));
    }
    // It lay behind another one, and its client left while that was open: nothing is owed, and nothing goes out for it.
    if !client.drained.get() && socket.closed() {
        return bad(StatusCode::BAD_REQUEST, "its client has left");
    }
    let class = read.request.class;
    let correlation = content.correlation.clone();
    let Some((id, answered)) = driver.request(content, read.request, socket.clone()) else {
        driver.count(|ledger| ledger.passed(class, End::Aborted));
        return bad(StatusCode::CONFLICT, "a request with this X-Correlation-Id is open");
    };
    debug!(event = "taken", request = id, ?correlation, class, "request {id} is taken");
    let waiting = Waiting { driver, id };
    let answer = answered.await;
    drop(waiting);
    // A sender reads its answer once it has sent all. Of one that streams the server still takes the rest.
    let sent_all = match (&pipe, &answer) {
        (None, _) | (_, Ok(Answer::Streamed(..))) => true,
        (Some(pipe), _) => pipe.read_off().await,
    };
    let mut answer = match answer {
        Ok(Answer::Served(body)) => Response::new(Reply::Whole(body)),
        Ok(Answer::Streamed(pieces, left)) => Response::new(Reply::Pieces { pieces, left, ended: false }),
        Ok(Answer::Refused(retry_ms)) => refusal(retry_ms),
        Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, ""),
    };
    if !sent_all {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Guards against an answer lost in a reset, which closing a socket with unread bytes would cause.
async fn discard(mut body: Incoming) {
    let mut seen = 0;
    while let Some(Ok(frame)) = body.frame().await {
        seen += frame.data_ref().map_or(0, Bytes::len);
        if seen > MOST_DISCARDED {
            return;
        }
    }
}

/// Trying again is harmless, after so many milliseconds if not 0.
fn refusal(retry_ms: f64) -> Response<Reply> {
    let mut answer = plain(StatusCode::TOO_MANY_REQUESTS, "");
    if retry_ms > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_ms / 1000.0)) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

fn plain(status: StatusCode, text: &'static str) -> Response<Reply> {
    let mut answer = Response::new(Reply::Whole(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Answers what cannot be taken. Its body may be unread, so the connection ends.
fn bad(status: StatusCode, why: &'static str) -> Response<Reply> {
    let mut answer = plain(status, why);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
