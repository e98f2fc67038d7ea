//! The model of a back-end server: cores that share their time among the requests in service, a bounded queue, a cold
//! start during which overload makes the server fail, stalls, and a connection table.
//!
//! The model knows no clock, network or limiter: the time is an argument. While `n` requests are in service, each
//! gets `speed · share(t) · efficiency · min(1, cores / n)` milliseconds of work per millisecond (egalitarian
//! processor sharing; with as many slots as cores this is first come, first served). `share(t)` rises linearly from
//! the cold share to one. All requests in service progress at the same rate, so one running total decides which
//! completes next. The total is inverted in closed form, which needs no time steps and does not drift.

use std::collections::VecDeque;

use fawnhill::Millis;

/// Parameters of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerParameters {
    /// Number of requests that progress at full speed at the same time.
    pub cores: f64,
    /// Maximum number of requests in service.
    pub slots: usize,
    /// Maximum number of queued requests; further ones are rejected before they run.
    pub queue: usize,
    /// Work per millisecond of one core when warm, in milliseconds.
    pub speed: f64,
    /// Share of its capacity that a server has when it has just started.
    pub cold_share: f64,
    /// Time from the start until the server is warm.
    pub cold_ms: Millis,
    /// A cold server fails when it is sent more than this multiple of the work that it can do...
    pub fall_multiple: f64,
    /// ...within a window of this length; 0 disables the failure.
    pub fall_ms: Millis,
    /// Share of the capacity that is lost when `slots + queue` requests are held; fewer requests cost proportionally
    /// less.
    pub thrash: f64,
    /// Maximum number of connections.
    pub connections: usize,
    /// Share of the capacity that a full connection table costs; fewer connections cost proportionally less.
    pub table_tax: f64,
    /// Work that a new connection costs.
    pub handshake_ms: Millis,
    /// Whether work on a request stops when it is cancelled. Otherwise it runs to its end.
    pub cancel_stops: bool,
}

impl ServerParameters {
    /// Work per millisecond of all cores when warm, in milliseconds.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }
}

/// A request as the server sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Key chosen by the caller, unique among the requests that the server holds.
    pub key: u64,
    /// Milliseconds of work on one core.
    pub work: Millis,
    /// Whether the sender had been notified that this server started; decides who is to blame for an overload
    /// failure.
    pub sender_notified: bool,
}

/// Why a request was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// Slots and queue are full, or the server is draining. The request did not run.
    Full,
    /// The request overloaded the cold server, which failed and lost all requests that it held.
    Overloaded,
    /// The server is not running.
    Down,
}

/// The effect of cancelling a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// The request was queued and is removed.
    Waiting,
    /// The request was in service and is stopped.
    Stopped,
    /// The request is in service and runs to its end.
    RunsOn,
    /// The server does not hold the request.
    Unknown,
}

/// A completed request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Completion {
    /// The key of its job.
    pub key: u64,
    /// The work that it took.
    pub work: Millis,
    /// Whether it had been cancelled and ran to its end nevertheless.
    pub cancelled: bool,
}

/// The overload failure of a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadFailure {
    /// When the server failed.
    pub at: Millis,
    /// Share of the work in the window that came from senders who had been notified of its start.
    pub notified_share: f64,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    job: Job,
    /// Value of the running total at which the job is complete.
    ends: f64,
    cancel_requested: bool,
}

/// A back-end server.
#[derive(Debug, Clone)]
pub struct ServerModel {
    parameters: ServerParameters,
    running: bool,
    /// When it started; `None` if it has always been warm.
    started: Option<Millis>,
    draining: bool,
    /// Nothing progresses.
    stalled: bool,
    /// Factor by which work takes longer.
    slowdown: f64,
    in_service: Vec<Running>,
    waiting: VecDeque<Job>,
    /// Work that a request in service since the beginning would have received.
    total: f64,
    /// When `total` was last updated.
    at: Millis,
    connections: usize,
    /// Arrivals in the current window of a cold server: time, work, and whether the sender had been notified.
    recent_arrivals: VecDeque<(Millis, Millis, bool)>,
    overload_failure: Option<OverloadFailure>,
    completed_work_ms: f64,
}

/// Slack of the overload limit, in mean arrivals, so that a single large request at a low rate causes no failure.
const OVERLOAD_SLACK_ARRIVALS: f64 = 2.0;
/// Rounding tolerance: a request with less remaining work than this is complete, relative to its size.
const WORK_TOLERANCE_MS: f64 = 1e-6;

impl ServerModel {
    /// Creates a running server that is warm.
    pub fn warm(parameters: ServerParameters, now: Millis) -> ServerModel {
        ServerModel {
            parameters,
            running: true,
            started: None,
            draining: false,
            stalled: false,
            slowdown: 1.0,
            in_service: Vec::new(),
            waiting: VecDeque::new(),
            total: 0.0,
            at: now,
            connections: 0,
            recent_arrivals: VecDeque::new(),
            overload_failure: None,
            completed_work_ms: 0.0,
        }
    }

    /// Keeps the server from failing under overload in slow start.
    pub fn disable_overload_failure(&mut self) {
        self.parameters.fall_ms = 0.0;
    }

    /// The parameters of the server.
    pub fn parameters(&self) -> &ServerParameters {
        &self.parameters
    }

    /// Whether the process of the server runs.
    pub fn running(&self) -> bool {
        self.running
    }

    /// When the server last started; 0 if it has always been warm, as in the server list.
    pub fn started(&self) -> Millis {
        self.started.unwrap_or(0.0)
    }

    /// Number of requests in service and queued.
    pub fn held(&self) -> usize {
        self.in_service.len() + self.waiting.len()
    }

    /// Work done so far, in milliseconds of one core. Work of cancelled requests counts as far as it was done.
    pub fn completed_work_ms(&self) -> f64 {
        self.completed_work_ms
    }

    /// The overload failure since the last start, if there was one.
    pub fn overload_failure(&self) -> Option<OverloadFailure> {
        self.overload_failure
    }

    /// Starts the process, cold.
    pub fn start(&mut self, now: Millis) {
        self.advance(now);
        self.running = true;
        self.started = Some(now);
        (self.draining, self.stalled, self.overload_failure) = (false, false, None);
        self.recent_arrivals.clear();
    }

    /// Ends the process and returns the keys of the requests that it held, cancelled ones that still ran included.
    pub fn exit(&mut self, now: Millis) -> Vec<u64> {
        self.advance(now);
        (self.running, self.connections) = (false, 0);
        let mut lost: Vec<u64> = self.in_service.drain(..).map(|w| w.job.key).collect();
        lost.extend(self.waiting.drain(..).map(|j| j.key));
        lost
    }

    /// Drains the server: from now on it rejects new requests and completes those that it holds.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Stalls the server, or ends the stall. Connections stay open and requests are still accepted.
    pub fn set_stalled(&mut self, now: Millis, stalled: bool) {
        self.advance(now);
        self.stalled = stalled;
    }

    /// Makes work take `factor` times as long; 1 is normal speed.
    pub fn set_slowdown(&mut self, now: Millis, factor: f64) {
        self.advance(now);
        self.slowdown = factor;
    }

    /// Share of the warm capacity that the server has at its age.
    pub fn share(&self, now: Millis) -> f64 {
        let Some(age) = self.started.map(|s| now - s) else { return 1.0 };
        let ServerParameters { cold_share, cold_ms, .. } = self.parameters;
        (cold_share + (1.0 - cold_share) * (age / cold_ms).clamp(0.0, 1.0)).min(1.0)
    }

    /// Opens a connection. Returns false if the connection table is full or the server is down.
    pub fn connect(&mut self, now: Millis) -> bool {
        if !self.running || self.connections >= self.parameters.connections {
            return false;
        }
        self.advance(now);
        self.connections += 1;
        true
    }

    /// Closes a number of connections.
    pub fn disconnect(&mut self, now: Millis, connections: usize) {
        self.advance(now);
        self.connections = self.connections.saturating_sub(connections);
    }

    /// Accepts a request that was received completely; `handshake` adds the cost of a new connection.
    ///
    /// # Errors
    /// The reason for which the request is rejected.
    pub fn arrive(&mut self, now: Millis, mut job: Job, handshake: bool) -> Result<(), Rejection> {
        if !self.running {
            return Err(Rejection::Down);
        }
        self.advance(now);
        if handshake {
            job.work += self.parameters.handshake_ms;
        }
        if self.record_arrival(now, job) {
            return Err(Rejection::Overloaded);
        }
        if self.draining
            || (self.in_service.len() >= self.parameters.slots && self.waiting.len() >= self.parameters.queue)
        {
            return Err(Rejection::Full);
        }
        self.waiting.push_back(job);
        self.start_waiting();
        Ok(())
    }

    /// Remaining work of a request; 0 if the server does not hold it.
    pub fn remaining_work(&mut self, now: Millis, key: u64) -> Millis {
        self.advance(now);
        let in_service =
            self.in_service.iter().find(|w| w.job.key == key).map(|w| (w.ends - self.total).max(0.0));
        in_service.or(self.waiting.iter().find(|j| j.key == key).map(|j| j.work)).unwrap_or(0.0)
    }

    /// Cancels a request whose client has disconnected or whose limiter no longer waits.
    pub fn cancel(&mut self, now: Millis, key: u64) -> Cancellation {
        self.advance(now);
        if let Some(at) = self.waiting.iter().position(|j| j.key == key) {
            self.waiting.remove(at);
            return Cancellation::Waiting;
        }
        let Some(at) = self.in_service.iter().position(|w| w.job.key == key && !w.cancel_requested) else {
            return Cancellation::Unknown;
        };
        if self.parameters.cancel_stops && !self.stalled {
            let left = (self.in_service[at].ends - self.total).max(0.0);
            self.completed_work_ms += (self.in_service[at].job.work - left).max(0.0);
            self.in_service.swap_remove(at);
            self.start_waiting();
            return Cancellation::Stopped;
        }
        self.in_service[at].cancel_requested = true;
        Cancellation::RunsOn
    }

    /// When the next request completes if nothing else happens.
    pub fn next_due(&self) -> Option<Millis> {
        let left = self.in_service.iter().map(|w| w.ends).min_by(f64::total_cmp)? - self.total;
        let rate = self.rate();
        (rate > 0.0).then(|| self.time_after(left.max(0.0) / rate))
    }

    /// Appends the requests that are complete by now.
    pub fn due(&mut self, now: Millis, out: &mut Vec<Completion>) {
        self.advance(now);
        // Requests that complete at the same time are ordered by key, not by their place in the table.
        let from = out.len();
        let mut at = 0;
        while at < self.in_service.len() {
            let left = self.in_service[at].ends - self.total;
            if left > WORK_TOLERANCE_MS * self.in_service[at].job.work.max(1.0) {
                at += 1;
                continue;
            }
            let Running { job, cancel_requested, .. } = self.in_service.swap_remove(at);
            self.completed_work_ms += job.work;
            out.push(Completion { key: job.key, work: job.work, cancelled: cancel_requested });
        }
        out[from..].sort_by_key(|d| d.key);
        self.start_waiting();
    }

    fn start_waiting(&mut self) {
        while self.in_service.len() < self.parameters.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            self.in_service.push(Running { job, ends: self.total + job.work, cancel_requested: false });
        }
    }

    /// Work per millisecond that each request in service gets when the share of capacity is one.
    fn rate(&self) -> f64 {
        if self.stalled || !self.running || self.in_service.is_empty() {
            return 0.0;
        }
        let m = &self.parameters;
        let fullness = self.held() as f64 / (m.slots + m.queue) as f64;
        let table = self.connections as f64 / m.connections.max(1) as f64;
        let efficiency = (1.0 - m.thrash * fullness) * (1.0 - m.table_tax * table);
        m.speed / self.slowdown * efficiency * (m.cores / self.in_service.len() as f64).min(1.0)
    }

    /// Updates the running total to `now`.
    fn advance(&mut self, now: Millis) {
        let rate = self.rate();
        if rate > 0.0 {
            self.total += rate * (self.share_integral(now) - self.share_integral(self.at));
        }
        self.at = self.at.max(now);
    }

    /// Integral of the share of capacity from the start to `t`; from 0 for a server that has always been warm.
    fn share_integral(&self, t: Millis) -> f64 {
        let Some(started) = self.started else { return t };
        let ServerParameters { cold_share: a, cold_ms, .. } = self.parameters;
        let age = t - started;
        let ramp = age.clamp(0.0, cold_ms);
        let integral = if cold_ms > 0.0 { a * ramp + (1.0 - a) * ramp * ramp / (2.0 * cold_ms) } else { 0.0 };
        integral + (age - ramp).max(0.0)
    }

    /// When the integral will have grown by `more` since the total was last updated.
    fn time_after(&self, more: f64) -> Millis {
        let Some(started) = self.started else { return self.at + more };
        let ServerParameters { cold_share: a, cold_ms, .. } = self.parameters;
        let target = self.share_integral(self.at) + more;
        let ramp_integral = cold_ms * (1.0 + a) / 2.0;
        if target >= ramp_integral {
            return started + cold_ms + (target - ramp_integral);
        }
        if a >= 1.0 {
            return started + target;
        }
        // a·s + (1 − a)·s² / 2T = target, solved for s in the form without cancellation for small targets.
        let b = (1.0 - a) / cold_ms;
        started + 2.0 * target / (a + (a * a + 2.0 * b * target).sqrt())
    }

    /// Records an arrival at a cold server. Returns true if it overloads the server: the work sent within the window
    /// exceeds the multiple of what the server can do in it, plus slack. The window ends now, or is the first full
    /// one after the start.
    fn record_arrival(&mut self, now: Millis, job: Job) -> bool {
        let Some(started) = self.started else { return false };
        let ServerParameters { cold_ms, fall_ms, fall_multiple, .. } = self.parameters;
        if fall_ms <= 0.0 || now - started > cold_ms {
            return false;
        }
        self.recent_arrivals.push_back((now, job.work, job.sender_notified));
        let end = now.max(started + fall_ms);
        while self.recent_arrivals.front().is_some_and(|p| p.0 < end - fall_ms) {
            self.recent_arrivals.pop_front();
        }
        let sent: f64 = self.recent_arrivals.iter().map(|p| p.1).sum();
        let notified: f64 = self.recent_arrivals.iter().filter(|p| p.2).map(|p| p.1).sum();
        let mean = sent / self.recent_arrivals.len() as f64;
        let capacity =
            self.parameters.capacity() * (self.share_integral(end) - self.share_integral(end - fall_ms));
        if sent <= fall_multiple * capacity + OVERLOAD_SLACK_ARRIVALS * mean {
            return false;
        }
        self.overload_failure = Some(OverloadFailure { at: now, notified_share: notified / sent });
        true
    }
}
