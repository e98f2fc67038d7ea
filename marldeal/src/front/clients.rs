//! The clients of the direct front: accepted, looked after, and let go at the end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use marldeal_lifecycle::eviction::{self, Activity, Candidate};
use marldeal_lifecycle::{Command, Lifecycle, Phase};
use marldeal_permit::CloseReason;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;
use tracing::{debug, info};

use crate::driver::Driver;
use crate::front::accept_queue;
use crate::front::answer::LATE_TIME;
use crate::front::connection::{connection, Client};
use crate::front::head::HeaderLayout;
use crate::payload::TRANSFER_IDLE_TIMEOUT;
use crate::transient;
use crate::upgrade::{SuccessorHandle, TransferredConnection};

/// A client that has sent a part of a head, or has connected and said nothing, is cut off after this time from the
/// first byte on, however it trickles: the platform's slowest takes 2 s.
const PART_TIME: Duration = Duration::from_millis(2300);
/// One that has been answered and stays idle.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// How often that is seen to.
const SWEEP: Duration = Duration::from_millis(250);
/// Connections beyond the bound that are accepted before one has made way for each.
const SPARE: usize = 8;
/// Accepting that fails for want of descriptors is tried again after this time; until it has failed for so long the want may
/// pass by itself.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);
const ACCEPT_PATIENCE: Duration = Duration::from_millis(100);
/// How often it is seen whether there is room again, or an end to wait for.
const TICK: Duration = Duration::from_millis(50);
/// Connections that are turned away at once while this process ends, and how long one of them may take to ask.
const MOST_LATE: usize = 64;
/// Before the process ends it turns away for so long what still comes: clients whose request crossed the close of their
/// connection come again on a new one. Then nobody can connect any more, and whoever was accepted by then is waited for.
const LAST_TIME: Duration = Duration::from_millis(100);
const LAST_MOST: Duration = Duration::from_millis(700);

/// The open client connections, by number.
#[derive(Default)]
pub(super) struct Clients {
    pub(super) all: RefCell<BTreeMap<u64, Rc<Client>>>,
    pub(super) closed: Notify,
    pub(super) layout: Rc<HeaderLayout>,
    pub(super) successor: Rc<SuccessorHandle>,
}

impl Clients {
    /// Cuts connections that have asked nothing, or sent a part of a request, for too long. A few passes a
    /// second cost less than a timer for each request.
    async fn sweep(&self, driver: &Driver) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let closes = driver.with_lifecycle(Lifecycle::closes_idle);
            let idle = if closes { Duration::ZERO } else { IDLE_TIME };
            for client in self.all.borrow().values().filter(|c| !c.busy.get()) {
                if client.answering.get() {
                    // Its reader stands still.
                    if client.used.get().elapsed() > TRANSFER_IDLE_TIMEOUT {
                        client.end(CloseReason::Stalled);
                    }
                    continue;
                }
                // Half a request is waited for also then: its client may count it as taken soon.
                let most = if client.late { LATE_TIME } else { PART_TIME };
                let part = client.begun.get().is_some_and(|at| at.elapsed() > most);
                let says_nothing = client.begun.get().is_none() || !client.spoke.get();
                if part {
                    client.end(CloseReason::Stalled);
                } else if says_nothing && client.used.get().elapsed() >= idle {
                    client.end(CloseReason::Idle);
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
        let standing = all.values().map(|c| Candidate {
            activity: match () {
                () if c.answering.get() || c.leaving.get() => Activity::RequestOpen,
                () if c.begun.get().is_some() => Activity::PartialRequest,
                () => Activity::Idle,
            },
            inactive_ms: c.used.get().elapsed().as_secs_f64() * 1000.0,
        });
        if let Some(client) = eviction::select_candidate(standing).and_then(|at| all.values().nth(at)) {
            // It is gone once its task has run: until then it is not chosen again.
            client.leaving.set(true);
            client.end(CloseReason::MakesWay);
        }
    }
}

/// Connections that come from a predecessor, and where they go with a successor.
pub struct Handover {
    /// From a predecessor.
    pub arrivals: mpsc::UnboundedReceiver<TransferredConnection>,
    /// To a successor.
    pub successor: Rc<SuccessorHandle>,
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
    let clients = Rc::new(Clients { successor: handover.successor, ..Clients::default() });
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
        let (phase, accepts) = (driver.phase(), driver.with_lifecycle(Lifecycle::accepts_connections));
        let turns_away = driver.with_lifecycle(Lifecycle::rejects_connections);
        if turns_away && !std::mem::replace(&mut away, true) {
            info!("new connections are turned away from now on");
        }
        let over = clients.all.borrow().len() as isize
            - driver.share_of(driver.config.max_client_connections) as isize;
        if over >= 0 && accepts {
            clients.evict();
        }
        // What waits to be accepted is not held up by those that are on their way out.
        let room = match turns_away {
            // They hold no place that those who were here before could miss.
            true => over < 0 && clients.late() < MOST_LATE,
            false => over < SPARE as isize && accepts && driver.may_accept_connections(),
        };
        let tick = over >= 0 || !matches!(phase, Phase::Warming | Phase::Serving);
        let closes = driver.with_lifecycle(Lifecycle::closes_idle);
        if phase == Phase::HandingOver {
            listener = None;
        }
        if phase == Phase::HandingOver && clients.successor.is_accepting() {
            clients.pass_on();
        }
        if closes && !closing {
            clients.all.borrow().values().for_each(|c| c.close.notify_one());
        }
        closing = closes;
        if driver
            .with_lifecycle(|life, now| life.may_exit(now, clients.owe(), !clients.all.borrow().is_empty()))
        {
            let since = last.get_or_insert_with(Instant::now).elapsed();
            let Some(queue) = &listener else { return };
            if since >= LAST_TIME {
                if handover.own_listener && !std::mem::replace(&mut shut_out, true) {
                    accept_queue::shut_out(queue);
                }
                for stream in accept_queue::in_queue(queue) {
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
                Err(e) if !transient::is_resource_exhaustion(&e) => tokio::task::yield_now().await,
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
                let _ = driver.handle_command(Command::Stop);
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
fn adopt(driver: &Rc<Driver>, clients: &Rc<Clients>, number: u64, passed: TransferredConnection) {
    let TransferredConnection { stream, request_age: begun, read_ahead: read } = passed;
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
    let late = driver.with_lifecycle(Lifecycle::rejects_connections);
    let client = Rc::new(Client::new(clients.layout.clone(), clients.successor.clone(), late));
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
