//! What the driver knows when an attempt is about to be sent, and the checks that `marldeal_permit` requires
//! first.

use std::rc::Rc;
use std::time::Duration;

use fawnhill::planted::{self, Fault};
use fawnhill::{Effect, Request, RequestId};
use marldeal_permit::violation::{ViolationCounts, WrittenAttempt};
use marldeal_permit::{may_accept, may_send, Attempt, Check, ClientState, Denied, StartupState, Verdict};
use tokio::time::Instant;
use tracing::{info, warn};

use super::{AttemptJob, Driver, State};
use crate::socket::{SharedSocket, Unread};

/// How long to wait for updates from discovery after a stall, where the watch has ended meanwhile or is silent,
/// and how often to look.
const LIST_WAIT_TIMEOUT: Duration = Duration::from_millis(60);
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Turns of the event loop after which the bytes read from the watch's socket have been handled.
const LIST_WAIT_YIELDS: usize = 3;

/// Converts the effect of a class to the type that the permission uses.
fn effect_of(effect: Effect, window_ms: f64) -> marldeal_permit::Effect {
    match effect {
        Effect::Safe => marldeal_permit::Effect::Safe,
        Effect::Keyed => marldeal_permit::Effect::Keyed { window_ms },
        Effect::Unsafe => marldeal_permit::Effect::Unsafe,
    }
}

impl Driver {
    /// Whether client connections may be accepted.
    pub fn may_accept_connections(&self) -> bool {
        let settings = &self.config.settings;
        let target_latencies = settings.classes.iter().map(|class| class.aim_ms);
        may_accept(&StartupState {
            list_received: self.list_received.get(),
            uses_registry: settings.must_subscribe,
            elapsed_ms: self.elapsed_ms(),
            min_target_latency_ms: target_latencies.fold(f64::INFINITY, f64::min),
        })
    }

    /// What a second execution of a request would do.
    pub fn effect(&self, request: &Request) -> marldeal_permit::Effect {
        if planted::is_active(Fault::Effect) {
            return marldeal_permit::Effect::Safe;
        }
        let class = self.config.settings.classes.get(request.class);
        class.map_or(marldeal_permit::Effect::Unsafe, |c| effect_of(c.effect, c.window_ms))
    }

    /// Decides whether an attempt may be sent if it is sent at once. Checks the client's socket and waits for
    /// updates from discovery where that is needed.
    ///
    /// # Errors
    /// The reason why it may not be sent. The request of a client that has disconnected is cancelled.
    pub async fn check_permission(self: &Rc<Self>, job: &AttemptJob) -> Result<(), Denied> {
        loop {
            match self.verdict(job) {
                Verdict::Allowed => return Ok(()),
                Verdict::CheckFirst(Check::Client) => self.check_client(job.id),
                Verdict::CheckFirst(Check::ServerList) => self.wait_for_server_list().await,
                Verdict::Denied(why) => {
                    self.denied_attempts.set(self.denied_attempts.get() + 1);
                    let (request, attempt, server) = (job.id, job.attempt, &job.server);
                    let correlation = &job.content.correlation_id;
                    info!(event = "denied", request, ?correlation, attempt, %server, %why, "request {request} ({correlation:?}): attempt {attempt} is not sent: {why}");
                    return Err(why);
                }
            }
        }
    }

    fn verdict(&self, job: &AttemptJob) -> Verdict {
        let now = self.now();
        let state = self.state.borrow();
        let client = match state.direct_requests.get(&job.id) {
            Some(request) => ClientState::Connected { checked_at: request.connected_at.get() },
            None => ClientState::Disconnected,
        };
        may_send(&Attempt {
            now,
            client,
            server_accepts: state.listed.contains_key(&job.server)
                && state.engine.accepts_requests(&job.server),
            server_list_current: self.server_list_is_current(now),
            deadline: job.deadline,
            effect: job.content.effect,
            may_have_run: job.content.may_have_run_since.get(),
            another_outstanding: earlier_attempt_outstanding(&state, job.id, job.attempt),
        })
    }

    /// When a client was last known to be connected, on the decision module's clock. These facts prove it:
    ///
    /// - a read of its socket that found neither bytes nor a close ([`SharedSocket::seen_open_at`]), which the HTTP
    ///   server makes behind the last byte of each request, so that a request needs no further system call;
    /// - the check by [`Driver::check_permission`].
    ///
    /// That the request has arrived proves nothing: its bytes and the close may have waited in the kernel together
    /// while the process was stalled or accepted no connections. Nor does a check prove anything of a client whose
    /// body is still arriving and whose socket holds unread bytes: the close may be queued at the client's system
    /// behind bytes for which this one has no room. The front looks for that where bytes may have waited.
    pub(super) fn last_seen_connected(&self, client: &SharedSocket) -> f64 {
        let age_ms = |at: std::time::Instant| at.elapsed().as_secs_f64() * 1000.0;
        client.seen_open_at().map_or(f64::NEG_INFINITY, |at| self.now() - age_ms(at))
    }

    /// Whether bytes that were read since `began` may have waited for this process, because it was stalled then or
    /// had not read all that arrived during a stall.
    pub fn stalled_since(&self, began: f64) -> bool {
        self.stall_detector.borrow_mut().may_have_queued_since(self.now(), began)
    }

    /// Asks the kernel whether a client is still connected: the event loop may not have been notified yet, and bytes
    /// behind the request may precede the close.
    fn check_client(self: &Rc<Self>, id: RequestId) {
        let disconnected = {
            let state = self.state.borrow();
            let Some(request) = state.direct_requests.get(&id) else { return };
            request.connected_at.set(self.now());
            request.client.remote_closed()
        };
        if disconnected {
            self.client_disconnected(id);
        }
    }

    /// After a stall, a list update may still be unread behind the requests that arrived meanwhile.
    fn server_list_is_current(&self, now: f64) -> bool {
        let stall_end = self.stall_detector.borrow_mut().last_stall_end(now);
        self.config.settings.must_subscribe
            || stall_end.is_none_or(|stall_end| stall_end <= self.list_current_at.get())
    }

    /// Waits until the updates that discovery has sent by now have been handled. A watch that has ended is
    /// reopened meanwhile.
    async fn wait_for_server_list(&self) {
        let started_at = self.now();
        let deadline = Instant::now() + LIST_WAIT_TIMEOUT;
        while !self.watch_sockets_are_empty() && Instant::now() < deadline {
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
        }
        for _ in 0..LIST_WAIT_YIELDS {
            tokio::task::yield_now().await;
        }
        self.list_current_at.set(started_at);
    }

    /// Whether at least one watch is open and no socket of a watch holds unread bytes.
    fn watch_sockets_are_empty(&self) -> bool {
        let watch_sockets = self.watch_sockets.borrow();
        !watch_sockets.is_empty() && watch_sockets.values().all(|socket| socket.unread() == Unread::Nothing)
    }

    /// Sets the socket over which a source of the list is watched; `None` if it is not watched at present.
    pub fn set_watch_socket(&self, source: u32, socket: Option<SharedSocket>) {
        match socket {
            Some(socket) => drop(self.watch_sockets.borrow_mut().insert(source, socket)),
            None => drop(self.watch_sockets.borrow_mut().remove(&source)),
        }
    }

    /// How often each rule was violated.
    pub fn violations(&self) -> ViolationCounts {
        self.violations.get()
    }

    /// Checks an attempt whose last byte has been written against the rules, and records a violation.
    pub(super) fn check_written(&self, state: &State, request: RequestId, attempt: u32) {
        let Some(outstanding) = state.outstanding.get(&(request, attempt)) else { return };
        let written = WrittenAttempt {
            now: self.now(),
            request_open: state.direct_requests.contains_key(&request),
            outstanding: 1 + usize::from(earlier_attempt_outstanding(state, request, attempt)),
            deadline: outstanding.deadline,
        };
        if let Some(rule) = written.violation() {
            let mut counts = self.violations.get();
            counts.record(rule);
            self.violations.set(counts);
            warn!(event = "violation", %rule, request, attempt, "request {request}, attempt {attempt}: {rule}");
        }
    }
}

/// Whether an earlier attempt of the request is outstanding.
fn earlier_attempt_outstanding(state: &State, id: RequestId, attempt: u32) -> bool {
    (0..attempt).any(|earlier| state.outstanding.contains_key(&(id, earlier)))
}
