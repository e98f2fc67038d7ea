//! What the driver knows when an attempt is about to go out, and the looks that `marldeal_permit` asks for first.

use std::rc::Rc;
use std::time::Duration;

use fawnhill::planted::{self, Fault};
use fawnhill::{Effect, Outcome, Request, RequestId};
use marldeal_permit::violation::{ViolationCounts, WrittenAttempt};
use marldeal_permit::{may_accept, may_send, Attempt, Check, ClientState, Denied, StartupState, Verdict};
use tokio::time::Instant;
use tracing::{info, warn};

use super::{AttemptJob, Driver, State};
use crate::socket::{SharedSocket, Unread};

/// How long what discovery has told is waited for after the process stood still, where its watch has ended meanwhile or is
/// silent; and how often it is looked at.
const LIST_PATIENCE: Duration = Duration::from_millis(60);
const LIST_LOOK: Duration = Duration::from_millis(1);
/// Turns of the event loop in which what has been read from the watch's socket is taken in.
const LIST_TURNS: usize = 3;

/// What a second execution of a request would do, in the terms of the permission.
fn effect_of(effect: Effect, window_ms: f64) -> marldeal_permit::Effect {
    match effect {
        Effect::Safe => marldeal_permit::Effect::Safe,
        Effect::Keyed => marldeal_permit::Effect::Keyed { window_ms },
        Effect::Unsafe => marldeal_permit::Effect::Unsafe,
    }
}

/// An attempt that ended so may have run.
pub(super) fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
}

impl Driver {
    /// Connections may be accepted.
    pub fn may_accept_connections(&self) -> bool {
        let settings = &self.config.settings;
        let aims = settings.classes.iter().map(|class| class.aim_ms);
        may_accept(&StartupState {
            list_received: self.told.get(),
            uses_registry: settings.must_subscribe,
            elapsed_ms: self.since_start_ms(),
            min_target_latency_ms: aims.fold(f64::INFINITY, f64::min),
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

    /// Whether an attempt may go out, if it does so at once. Looks at the client's socket, and waits for what discovery has
    /// told, where that is needed.
    ///
    /// # Errors
    /// Why it may not; a client that has left is withdrawn.
    pub async fn check_permission(self: &Rc<Self>, job: &AttemptJob) -> Result<(), Denied> {
        loop {
            match self.verdict(job) {
                Verdict::Allowed => return Ok(()),
                Verdict::CheckFirst(Check::Client) => self.look_at_client(job.id),
                Verdict::CheckFirst(Check::ServerList) => self.read_list().await,
                Verdict::Denied(why) => {
                    self.denied.set(self.denied.get() + 1);
                    let (request, attempt, server) = (job.id, job.attempt, &job.server);
                    info!(event = "denied", request, attempt, %server, %why, "request {request}: attempt {attempt} is not sent: {why}");
                    return Err(why);
                }
            }
        }
    }

    fn verdict(&self, job: &AttemptJob) -> Verdict {
        let now = self.now();
        let state = self.state.borrow();
        let client = match state.direct.get(&job.id) {
            Some(direct) => ClientState::Connected { checked_at: direct.seen.get() },
            None => ClientState::Disconnected,
        };
        may_send(&Attempt {
            now,
            client,
            server_accepts: state.addresses.contains_key(&job.server)
                && state.engine.accepts_requests(&job.server),
            server_list_current: self.list_is_read(now),
            deadline: job.deadline,
            effect: job.content.effect,
            may_have_run: job.content.may_have_run_since.get(),
            another_outstanding: earlier_out(&state, job.id, job.attempt),
        })
    }

    /// Asks the kernel whether a client is still there: the event loop may not have been told yet.
    fn look_at_client(self: &Rc<Self>, id: RequestId) {
        let left = {
            let state = self.state.borrow();
            let Some(direct) = state.direct.get(&id) else { return };
            direct.seen.set(self.now());
            direct.client.unread() == Unread::Closed
        };
        if left {
            self.client_disconnected(id);
        }
    }

    /// A list that was told while the process stood still may lie unread behind the requests that came meanwhile.
    fn list_is_read(&self, now: f64) -> bool {
        let woke = self.pauses.borrow_mut().last_stall_end(now);
        self.config.settings.must_subscribe || woke.is_none_or(|woke| woke <= self.list_read.get())
    }

    /// Waits until what discovery has told by now is taken in. A watch that has ended is opened anew meanwhile.
    async fn read_list(&self) {
        let woke_at = self.now();
        let until = Instant::now() + LIST_PATIENCE;
        while !self.watches_are_empty() && Instant::now() < until {
            tokio::time::sleep(LIST_LOOK).await;
        }
        for _ in 0..LIST_TURNS {
            tokio::task::yield_now().await;
        }
        self.list_read.set(woke_at);
    }

    /// Each watch stands, and nothing lies in its socket.
    fn watches_are_empty(&self) -> bool {
        let watches = self.watches.borrow();
        !watches.is_empty() && watches.values().all(|socket| socket.unread() == Unread::Nothing)
    }

    /// A source of the list is watched over this socket from now on, or over none.
    pub fn set_watch_socket(&self, source: u32, socket: Option<SharedSocket>) {
        match socket {
            Some(socket) => drop(self.watches.borrow_mut().insert(source, socket)),
            None => drop(self.watches.borrow_mut().remove(&source)),
        }
    }

    /// How often each rule was broken.
    pub fn violations(&self) -> ViolationCounts {
        self.violations.get()
    }

    /// Holds an attempt that was written whole against the rules.
    pub(super) fn check_written(&self, state: &State, request: RequestId, attempt: u32) {
        let Some(out) = state.out.get(&(request, attempt)) else { return };
        let written = WrittenAttempt {
            now: self.now(),
            request_open: state.direct.contains_key(&request),
            outstanding: 1 + usize::from(earlier_out(state, request, attempt)),
            deadline: out.deadline,
        };
        if let Some(rule) = written.violation() {
            let mut counts = self.violations.get();
            counts.record(rule);
            self.violations.set(counts);
            warn!(event = "violation", %rule, request, attempt, "request {request}, attempt {attempt}: {rule}");
        }
    }
}

/// An earlier attempt of a request is out.
fn earlier_out(state: &State, id: RequestId, attempt: u32) -> bool {
    (0..attempt).any(|earlier| state.out.contains_key(&(id, earlier)))
}
