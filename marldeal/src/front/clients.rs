//! The clients of the direct front: accepts connections, limits and times them out, and drains them when the
//! process ends.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use marldeal_lifecycle::eviction;
use marldeal_lifecycle::final_drain::{Facts, FinalDrain, Step};
use marldeal_lifecycle::queue_age::QueueAge;
use marldeal_lifecycle::transfers::{self, Direction, Transfer};
use marldeal_lifecycle::{Command, Lifecycle, Phase};
use marldeal_permit::CloseReason;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;
use tracing::{debug, info};

use crate::driver::Driver;
use crate::front::accept_queue;
use crate::front::answer::LATE_REQUEST_TIMEOUT;
use crate::front::connection::{run_connection, Client};
use crate::front::head::HeaderLayout;
use crate::payload::TRANSFER_IDLE_TIMEOUT;
use crate::transient;
use crate::upgrade::{SuccessorHandle, TransferredConnection};

/// A connection is closed this long after the first byte of a request whose head is still incomplete, or after it
/// was opened without sending anything, however slowly bytes keep coming: the platform's slowest client takes 2 s.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(2300);
/// A connection that stays idle after an answer is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How often these timeouts are checked, and how often while idle connections are closed at once.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
const CLOSING_SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// The same while there are many transfers.
const CROWDED_SWEEP_INTERVAL: Duration = Duration::from_millis(25);
/// Connections beyond the limit that may be open until one has been evicted for each.
const MAX_PENDING_EVICTIONS: usize = 8;
/// After a failure for lack of file descriptors, accepting is retried after this delay; an idle connection is
/// evicted only when it has kept failing for `ACCEPT_EVICTION_DELAY`, since the shortage may pass by itself.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
const ACCEPT_EVICTION_DELAY: Duration = Duration::from_millis(100);
/// How often the length of the accept queue is looked at while connections may be waiting.
const QUEUE_OBSERVATION_MS: f64 = 50.0;
/// How often the limit on connections and the conditions for exit are checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Connections that may be open at a time to be refused while this process stops.
const MAX_LATE_CONNECTIONS: usize = 64;

/// The open client connections, by number.
#[derive(Default)]
pub(super) struct Clients {
    pub(super) connections: RefCell<BTreeMap<u64, Rc<Client>>>,
    pub(super) connection_closed: Notify,
    pub(super) layout: Rc<HeaderLayout>,
    pub(super) successor: Rc<SuccessorHandle>,
}

impl Clients {
    /// Closes connections that have sent nothing, or only part of a request, for too long. A few passes a second
    /// cost less than a timer for each request.
    async fn sweep(&self, driver: &Driver) {
        let (mut closes, mut crowded) = (false, false);
        loop {
            let interval = match () {
                () if closes => CLOSING_SWEEP_INTERVAL,
                () if crowded => CROWDED_SWEEP_INTERVAL,
                () => SWEEP_INTERVAL,
            };
            tokio::time::sleep(interval).await;
            crowded = self.end_slow_transfers(driver);
            closes = driver.with_lifecycle(Lifecycle::closes_idle);
            let idle = if closes { Duration::ZERO } else { IDLE_TIMEOUT };
            for client in self.connections.borrow().values().filter(|c| !c.request_open.get()) {
                if client.answering.get() {
                    // The client does not read its answer.
                    if client.last_active.get().elapsed() > TRANSFER_IDLE_TIMEOUT {
                        client.request_close(CloseReason::Stalled);
                    }
                    continue;
                }
                // A partial request, or the first one, is waited for even then: its client may be about to send it.
                let timeout = if client.late.get() { LATE_REQUEST_TIMEOUT } else { PARTIAL_REQUEST_TIMEOUT };
                let timed_out = client.partial_request_since.get().is_some_and(|at| at.elapsed() > timeout);
                let no_partial_request = client.partial_request_since.get().is_none();
                if timed_out {
                    client.request_close(CloseReason::Stalled);
                } else if no_partial_request && client.last_active.get().elapsed() >= idle {
                    client.request_close(CloseReason::Idle);
                }
            }
        }
    }

    /// Ends transfers that stand still or crawl, if they take too many connections. Returns whether there are so many
    /// transfers that this may be necessary soon.
    fn end_slow_transfers(&self, driver: &Driver) -> bool {
        let connections = self.connections.borrow();
        let is_full = connections.len() >= driver.share_of(driver.config.max_client_connections);
        let (now, limits) = (driver.now(), driver.transfer_limits());
        let limits = if is_full { limits.under_pressure() } else { limits };
        let observed = connections.values().filter_map(|c| Some((c, c.transfer.observe(now)?)));
        let (clients, transfers): (Vec<&Rc<Client>>, Vec<Transfer>) = observed.unzip();
        for at in transfers::select_excess(&transfers, &limits) {
            end_transfer(driver, clients[at], transfers[at]);
        }
        transfers.len() > limits.slow.min(limits.slow_at_servers)
    }

    /// Tells idle connections to move to the successor; the others follow once they have their answer.
    fn hand_over(&self) {
        self.connections
            .borrow()
            .values()
            .filter(|c| !c.answering.get())
            .for_each(|c| c.hand_over.notify_one());
    }

    /// Closes idle connections, and others after the answer that they wait for. Connections on which a request has
    /// begun are closed after its answer. If the process ends, those that have sent nothing are refused from now on.
    fn close_gracefully(&self, ends: bool) {
        for client in self.connections.borrow().values() {
            if client.partial_request_since.get().is_none() {
                client.close_gracefully.notify_one();
            }
            if ends && client.awaits_first_request() {
                client.late.set(true);
            }
        }
    }

    /// Whether an answer is outstanding, or a connection that has been answered is still open. Connections that
    /// have not sent a whole request, and those that are refused, are not waited for: clients keep opening new
    /// ones, and would delay the exit for ever.
    fn has_active_connections(&self) -> bool {
        self.connections
            .borrow()
            .values()
            .any(|c| !c.late.get() && (c.answering.get() || c.partial_request_since.get().is_none()))
    }

    /// The number of open connections whose requests are refused.
    fn late_count(&self) -> usize {
        self.connections.borrow().values().filter(|c| c.late.get()).count()
    }

    /// The number of connections whose client waits to be refused, or may be about to complete a request.
    fn unfinished_count(&self) -> usize {
        let unfinished = |c: &&Rc<Client>| c.late.get() || c.partial_request_since.get().is_some();
        self.connections.borrow().values().filter(unfinished).count()
    }

    /// Closes the least valuable connection. Guards against crowds of clients that hold connections, send partial
    /// requests or do not go on with a transfer, and would keep other clients out.
    fn evict_one(&self, driver: &Driver) {
        let now = driver.now();
        let connections = self.connections.borrow();
        let candidates = connections.values().map(|client| client.eviction_candidate(now));
        let selected = eviction::select_candidate(candidates).and_then(|at| connections.values().nth(at));
        let Some(client) = selected else { return };
        match client.transfer.observe(now) {
            Some(transfer) => end_transfer(driver, client, transfer),
            None => {
                // Its task still has to run: it is not selected again until then.
                client.evicting.set(true);
                client.request_close(CloseReason::MakesWay);
            }
        }
    }
}

/// Ends a transfer for others: an upload is refused, an answer is cut.
fn end_transfer(driver: &Driver, client: &Client, transfer: Transfer) {
    driver.record_ended_transfer();
    let connection = client.connection_id;
    debug!(
        event = "transfer_ended",
        connection,
        ?transfer,
        "connection {connection}: {transfer:?} is ended for others"
    );
    match transfer.direction {
        Direction::Upload => client.transfer.refuse(),
        Direction::Download => client.request_close(CloseReason::SlowTransfer),
    }
}

/// How connections pass between this process and its predecessor or successor.
pub struct Handover {
    /// Connections from the predecessor.
    pub arrivals: mpsc::UnboundedReceiver<TransferredConnection>,
    /// The successor, which takes over this process's connections.
    pub successor: Rc<SuccessorHandle>,
    /// Whether no other process shares the listener.
    pub own_listener: bool,
}

/// Accepts and serves connections until `stop` completes, then finishes the accepted requests and returns.
pub async fn serve(
    driver: &Rc<Driver>,
    listener: TcpListener,
    mut handover: Handover,
    stop: impl Future<Output = &'static str>,
) {
    let clients = Rc::new(Clients { successor: handover.successor, ..Clients::default() });
    let (swept_clients, sweep_driver) = (clients.clone(), driver.clone());
    tokio::task::spawn_local(async move { swept_clients.sweep(&sweep_driver).await });
    let mut listener = Some(listener);
    let mut connection_id = 0u64;
    let mut accept_failing_since: Option<Instant> = None;
    let mut queue_age = QueueAge::default();
    queue_age.begin_waiting(driver.now());
    let mut queue_observed_at = f64::NEG_INFINITY;
    let listen_addr = listener.as_ref().and_then(|listener| listener.local_addr().ok());
    tokio::pin!(stop);
    let mut stopped = false;
    // Whether idle connections are closed, and if so, whether the process ends.
    let mut closing: Option<bool> = None;
    let (mut rejection_logged, mut drain) = (false, FinalDrain::default());
    loop {
        let (phase, accepts) = (driver.phase(), driver.with_lifecycle(Lifecycle::accepts_connections));
        let rejects = driver.with_lifecycle(Lifecycle::rejects_connections);
        if rejects && !std::mem::replace(&mut rejection_logged, true) {
            info!("new connections are turned away from now on");
        }
        let excess = clients.connections.borrow().len() as isize
            - driver.share_of(driver.config.max_client_connections) as isize;
        if excess >= 0 && accepts {
            clients.evict_one(driver);
        }
        // Queued connections do not have to wait until evicted ones have closed.
        let can_accept = match rejects {
            // Late connections take no place from those that were open before.
            true => excess < 0 && clients.late_count() < MAX_LATE_CONNECTIONS,
            false => excess < MAX_PENDING_EVICTIONS as isize && accepts && driver.may_accept_connections(),
        };
        let polls = excess >= 0 || !matches!(phase, Phase::Warming | Phase::Serving);
        let closes = driver.with_lifecycle(Lifecycle::closes_idle);
        if phase == Phase::HandingOver {
            listener = None;
        }
        if phase == Phase::HandingOver && clients.successor.is_accepting() {
            clients.hand_over();
        }
        let ends = matches!(phase, Phase::Stopping | Phase::HandingOver);
        if closes && closing != Some(ends) {
            clients.close_gracefully(ends);
        }
        closing = closes.then_some(ends);
        let blocked_listener = listener.as_ref().filter(|_| drain.blocks_connections());
        let taken = blocked_listener.map(accept_queue::take_queued);
        let queue_empty = taken.as_ref().is_some_and(|taken| taken.queue_empty);
        for stream in taken.into_iter().flat_map(|taken| taken.streams) {
            connection_id += 1;
            open_connection(driver, &clients, connection_id, stream, PriorState::default());
        }
        let facts = driver.with_lifecycle(|life, now| Facts {
            may_exit: life.may_exit(
                now,
                clients.has_active_connections(),
                !clients.connections.borrow().is_empty(),
            ),
            remaining_ms: life.remaining_ms(now),
            listener_open: listener.is_some(),
            listener_shared: !handover.own_listener,
            queue_empty,
            unfinished_clients: clients.unfinished_count(),
        });
        match drain.next_step(driver.now(), &facts) {
            Step::Exit => return,
            Step::BlockNewConnections => {
                listener.iter().for_each(accept_queue::block_new_connections);
                continue;
            }
            Step::CloseListener => {
                listener = None;
                continue;
            }
            Step::Continue => {}
        }
        if !can_accept {
            queue_age.begin_waiting(driver.now());
        }
        if queue_age.may_be_waiting() && driver.now() - queue_observed_at >= QUEUE_OBSERVATION_MS {
            queue_observed_at = driver.now();
            if let Some(length) = listen_addr.and_then(accept_queue::queue_length) {
                queue_age.observed(driver.now(), length);
            }
        }
        let accept = std::future::poll_fn(|cx| {
            let Some(listener) = &listener else { return Poll::Pending };
            let accepted = listener.poll_accept(cx);
            if accepted.is_pending() {
                queue_age.emptied();
            }
            accepted
        });
        tokio::select! {
            accepted = accept, if can_accept => match accepted {
                Ok((stream, _)) => {
                    connection_id += 1;
                    accept_failing_since = None;
                    let queue_wait = Duration::from_secs_f64(queue_age.accepted(driver.now()).max(0.0) / 1000.0);
                    open_connection(driver, &clients, connection_id, stream, PriorState { queue_wait, ..PriorState::default() });
                }
                // The connection was aborted or the call interrupted: the next call may succeed.
                Err(e) if !transient::is_resource_exhaustion(&e) => tokio::task::yield_now().await,
                // Out of file descriptors: queued connections are accepted a little later, and if the shortage
                // lasts, an idle connection is evicted.
                Err(e) => {
                    queue_age.begin_waiting(driver.now());
                    let since = *accept_failing_since.get_or_insert_with(|| {
                        info!(event = "accept", "accept: {e}");
                        Instant::now()
                    });
                    if since.elapsed() >= ACCEPT_EVICTION_DELAY {
                        clients.evict_one(driver);
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            why = &mut stop, if !stopped => {
                stopped = true;
                info!(event = "finishing", %why, "{why}: finishing");
                let _ = driver.handle_command(Command::Stop);
            }
            () = driver.phase_changed.notified() => {}
            Some(transferred) = handover.arrivals.recv() => {
                connection_id += 1;
                adopt_connection(driver, &clients, connection_id, transferred);
            }
            () = clients.connection_closed.notified() => {}
            () = tokio::time::sleep(POLL_INTERVAL), if polls => {}
        }
    }
}

/// Takes over a connection that another process, or this one, held before.
fn adopt_connection(
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    connection_id: u64,
    transferred: TransferredConnection,
) {
    let TransferredConnection { stream, request_age, read_ahead } = transferred;
    let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) else { return };
    let request_began =
        request_age.map(|waited| Instant::now().checked_sub(waited).unwrap_or_else(Instant::now));
    open_connection(
        driver,
        clients,
        connection_id,
        stream,
        PriorState { inherited: Some((request_began, read_ahead)), ..PriorState::default() },
    );
}

/// What happened to a connection before it was opened here.
#[derive(Default)]
struct PriorState {
    /// For a connection from another process: when its partial request began, and the bytes that were read of it.
    inherited: Option<(Option<Instant>, Bytes)>,
    /// The longest time that it may have waited in the accept queue.
    queue_wait: Duration,
}

fn open_connection(
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    connection_id: u64,
    stream: TcpStream,
    before: PriorState,
) {
    let _ = stream.set_nodelay(true);
    let late = driver.with_lifecycle(Lifecycle::rejects_connections);
    let client = Rc::new(Client::new(connection_id, clients.layout.clone(), clients.successor.clone(), late));
    let mut read_ahead = Bytes::new();
    client.queue_wait.set(before.queue_wait);
    if let Some((request_began, bytes)) = before.inherited {
        client.partial_request_since.set(request_began);
        client.bytes_seen.set(!bytes.is_empty());
        read_ahead = bytes;
    }
    clients.connections.borrow_mut().insert(connection_id, client.clone());
    let (driver, clients) = (driver.clone(), clients.clone());
    tokio::task::spawn_local(async move {
        let why = run_connection(&driver, &clients, &client, stream, read_ahead).await;
        debug!(
            event = "closed",
            connection = connection_id,
            ?why,
            "connection {connection_id} closed: {why:?}"
        );
        clients.connections.borrow_mut().remove(&connection_id);
        clients.connection_closed.notify_one();
    });
}
