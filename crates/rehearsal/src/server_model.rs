//! The parameters of a booking node: cores that share their time among requests in work, a bounded waiting room, a cold start
//! with falling over, pauses, and a table of connections.
//!
//! It knows no clock, no network and no limiter: the time is an argument. While `n` requests are in work, each gets
//! `speed · share(t) · efficiency · min(1, cores / n)` milliseconds of work a millisecond (egalitarian processor sharing;
//! with as many slots as cores this is first come, first served). `share(t)` rises evenly from the cold share to one.
//! All requests in work progress alike, so one running total decides who is done next, and the total is inverted in
//! closed form: no small steps, no drift.

use std::collections::VecDeque;

use fawnhill::Millis;

/// What a node is made of.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerParameters {
    /// Requests that progress at full speed side by side.
    pub cores: f64,
    /// Requests in work at most.
    pub slots: usize,
    /// Requests that wait at most; beyond it they are turned away unseen.
    pub queue: usize,
    /// Work done a millisecond by one core when warm.
    pub speed: f64,
    /// Capacity of a node that has just started, as a share.
    pub cold_share: f64,
    /// Time until it is warm.
    pub cold_ms: Millis,
    /// A cold node falls over when sent this many times what it can do...
    pub fall_multiple: f64,
    /// ...within a window of this length; 0 for never.
    pub fall_ms: Millis,
    /// Share of its capacity that is lost when `slots + queue` requests are held, in proportion.
    pub thrash: f64,
    /// Connections that it holds at most.
    pub connections: usize,
    /// Share of its capacity that a full table of connections takes, in proportion.
    pub table_tax: f64,
    /// Work that a new connection costs.
    pub handshake_ms: Millis,
    /// Work of a request stops when it is called off; else it runs on.
    pub cancel_stops: bool,
}

impl ServerParameters {
    /// Work that it can do in a millisecond when warm.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }
}

/// What a node has been asked to do: `key` is the caller's.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// The caller's name for it, unique while it is held.
    pub key: u64,
    /// Milliseconds of work on one core.
    pub work: Millis,
    /// The sender had been told that this node started: counts for whose fault a fall is.
    pub sender_notified: bool,
}

/// Why a request was not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No room, or it drains: turned away unseen.
    Full,
    /// It has fallen over by this very request, and all that it held is lost.
    Overloaded,
    /// It does not run.
    Down,
}

/// What became of a request that was called off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// It had not begun.
    Waiting,
    /// It had begun and stopped.
    Stopped,
    /// It runs on.
    RunsOn,
    /// It is not held.
    Unknown,
}

/// A request that is done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Completion {
    /// Which.
    pub key: u64,
    /// The work that it took.
    pub work: Millis,
    /// It had been called off and ran on.
    pub cancelled: bool,
}

/// A fall: who had pushed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadFailure {
    /// When.
    pub at: Millis,
    /// Share of the work that came from senders who had been told of its start.
    pub notified_share: f64,
}

#[derive(Debug, Clone, Copy)]
struct Working {
    job: Job,
    ends: f64,
    called_off: bool,
}

/// One booking node.
#[derive(Debug, Clone)]
pub struct ServerModel {
    parameters: ServerParameters,
    running: bool,
    /// When it started; nothing for long ago (warm).
    started: Option<Millis>,
    drains: bool,
    /// Stalled or paused: nothing progresses.
    halted: bool,
    slowness: f64,
    working: Vec<Working>,
    waiting: VecDeque<Job>,
    /// Work that each request in work has had since the node is there.
    total: f64,
    /// When `total` was brought up to date.
    at: Millis,
    connections: usize,
    pushes: VecDeque<(Millis, Millis, bool)>,
    fall: Option<OverloadFailure>,
    completed_work_ms: f64,
}

/// Slack of the fall-over budget: this many mean pushes, "for chance".
const FALL_SLACK_PUSHES: f64 = 2.0;
/// Rounding: a request with less work left than this is done.
const NOTHING_MS: f64 = 1e-6;

impl ServerModel {
    /// A node that has run for long.
    pub fn warm(parameters: ServerParameters, now: Millis) -> ServerModel {
        ServerModel {
            parameters,
            running: true,
            started: None,
            drains: false,
            halted: false,
            slowness: 1.0,
            working: Vec::new(),
            waiting: VecDeque::new(),
            total: 0.0,
            at: now,
            connections: 0,
            pushes: VecDeque::new(),
            fall: None,
            completed_work_ms: 0.0,
        }
    }

    /// What it is made of.
    pub fn parameters(&self) -> &ServerParameters {
        &self.parameters
    }

    /// Its process runs.
    pub fn running(&self) -> bool {
        self.running
    }

    /// When it last started; 0 for long ago, as the roster tells it.
    pub fn started(&self) -> Millis {
        self.started.unwrap_or(0.0)
    }

    /// Requests in work and waiting.
    pub fn held(&self) -> usize {
        self.working.len() + self.waiting.len()
    }

    /// Work done so far, in milliseconds of one core.
    pub fn completed_work_ms(&self) -> f64 {
        self.completed_work_ms
    }

    /// Its fall, if it fell since its last start.
    pub fn overload_failure(&self) -> Option<OverloadFailure> {
        self.fall
    }

    /// Its process starts, cold.
    pub fn start(&mut self, now: Millis) {
        self.settle(now);
        self.running = true;
        self.started = Some(now);
        (self.drains, self.halted, self.fall) = (false, false, None);
        self.pushes.clear();
    }

    /// Its process ends; what it held is given back, as lost, also what had been called off and ran on.
    pub fn exit(&mut self, now: Millis) -> Vec<u64> {
        self.settle(now);
        (self.running, self.connections) = (false, 0);
        let mut lost: Vec<u64> = self.working.drain(..).map(|w| w.job.key).collect();
        lost.extend(self.waiting.drain(..).map(|j| j.key));
        lost
    }

    /// From now on it turns new requests away and completes what it has.
    pub fn drain(&mut self) {
        self.drains = true;
    }

    /// Stops all progress, or lets it go on. Connections stay open and requests are still taken in.
    pub fn halt(&mut self, now: Millis, halted: bool) {
        self.settle(now);
        self.halted = halted;
    }

    /// Its work takes this many times as long.
    pub fn slow(&mut self, now: Millis, times: f64) {
        self.settle(now);
        self.slowness = times;
    }

    /// Share of its warm capacity that it has by its age alone.
    pub fn share(&self, now: Millis) -> f64 {
        let Some(age) = self.started.map(|s| now - s) else { return 1.0 };
        let ServerParameters { cold_share, cold_ms, .. } = self.parameters;
        (cold_share + (1.0 - cold_share) * (age / cold_ms).clamp(0.0, 1.0)).min(1.0)
    }

    /// A new connection: false if its table is full or nobody listens. Costs it work.
    pub fn connect(&mut self, now: Millis) -> bool {
        if !self.running || self.connections >= self.parameters.connections {
            return false;
        }
        self.settle(now);
        self.connections += 1;
        true
    }

    /// So many connections have been closed.
    pub fn disconnect(&mut self, now: Millis, connections: usize) {
        self.settle(now);
        self.connections = self.connections.saturating_sub(connections);
    }

    /// A request has come whole; `handshake` adds the cost of its connection.
    pub fn arrive(&mut self, now: Millis, mut job: Job, handshake: bool) -> Result<(), Rejection> {
        if !self.running {
            return Err(Rejection::Down);
        }
        self.settle(now);
        if handshake {
            job.work += self.parameters.handshake_ms;
        }
        if self.pushed(now, job) {
            return Err(Rejection::Overloaded);
        }
        if self.drains
            || (self.working.len() >= self.parameters.slots && self.waiting.len() >= self.parameters.queue)
        {
            return Err(Rejection::Full);
        }
        self.waiting.push_back(job);
        self.fill();
        Ok(())
    }

    /// Work that is still to be done for a request, 0 if it is not held.
    pub fn remaining_work(&mut self, now: Millis, key: u64) -> Millis {
        self.settle(now);
        let working = self.working.iter().find(|w| w.job.key == key).map(|w| (w.ends - self.total).max(0.0));
        working.or(self.waiting.iter().find(|j| j.key == key).map(|j| j.work)).unwrap_or(0.0)
    }

    /// Takes back a request: its client has left or its limiter waits no longer.
    pub fn cancel(&mut self, now: Millis, key: u64) -> Cancellation {
        self.settle(now);
        if let Some(at) = self.waiting.iter().position(|j| j.key == key) {
            self.waiting.remove(at);
            return Cancellation::Waiting;
        }
        let Some(at) = self.working.iter().position(|w| w.job.key == key && !w.called_off) else {
            return Cancellation::Unknown;
        };
        if self.parameters.cancel_stops && !self.halted {
            let left = (self.working[at].ends - self.total).max(0.0);
            self.completed_work_ms += (self.working[at].job.work - left).max(0.0);
            self.working.swap_remove(at);
            self.fill();
            return Cancellation::Stopped;
        }
        self.working[at].called_off = true;
        Cancellation::RunsOn
    }

    /// When the next request is done, if nothing else happens.
    pub fn next_due(&self) -> Option<Millis> {
        let left = self.working.iter().map(|w| w.ends).min_by(f64::total_cmp)? - self.total;
        let rate = self.rate();
        (rate > 0.0).then(|| self.after(left.max(0.0) / rate))
    }

    /// Gives out what is done by now.
    pub fn due(&mut self, now: Millis, out: &mut Vec<Completion>) {
        self.settle(now);
        // Of several that end at one moment the order is that of their keys, not of the table.
        let from = out.len();
        let mut at = 0;
        while at < self.working.len() {
            let left = self.working[at].ends - self.total;
            if left > NOTHING_MS * self.working[at].job.work.max(1.0) {
                at += 1;
                continue;
            }
            let Working { job, called_off, .. } = self.working.swap_remove(at);
            self.completed_work_ms += job.work;
            out.push(Completion { key: job.key, work: job.work, cancelled: called_off });
        }
        out[from..].sort_by_key(|d| d.key);
        self.fill();
    }

    fn fill(&mut self) {
        while self.working.len() < self.parameters.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            self.working.push(Working { job, ends: self.total + job.work, called_off: false });
        }
    }

    /// Work a millisecond that each request in work gets when the share of capacity is one.
    fn rate(&self) -> f64 {
        if self.halted || !self.running || self.working.is_empty() {
            return 0.0;
        }
        let m = &self.parameters;
        let fullness = self.held() as f64 / (m.slots + m.queue) as f64;
        let table = self.connections as f64 / m.connections.max(1) as f64;
        let efficiency = (1.0 - m.thrash * fullness) * (1.0 - m.table_tax * table);
        m.speed / self.slowness * efficiency * (m.cores / self.working.len() as f64).min(1.0)
    }

    /// Brings the running total up to `now`.
    fn settle(&mut self, now: Millis) {
        let rate = self.rate();
        if rate > 0.0 {
            self.total += rate * (self.grown(now) - self.grown(self.at));
        }
        self.at = self.at.max(now);
    }

    /// Integral of the share of capacity from the start (or from 0 for a warm node) to `t`.
    fn grown(&self, t: Millis) -> f64 {
        let Some(started) = self.started else { return t };
        let ServerParameters { cold_share: a, cold_ms, .. } = self.parameters;
        let age = t - started;
        let ramp = age.clamp(0.0, cold_ms);
        let grown = if cold_ms > 0.0 { a * ramp + (1.0 - a) * ramp * ramp / (2.0 * cold_ms) } else { 0.0 };
        grown + (age - ramp).max(0.0)
    }

    /// When the integral has grown by `more` since the total was brought up to date.
    fn after(&self, more: f64) -> Millis {
        let Some(started) = self.started else { return self.at + more };
        let ServerParameters { cold_share: a, cold_ms, .. } = self.parameters;
        let goal = self.grown(self.at) + more;
        let whole = cold_ms * (1.0 + a) / 2.0;
        if goal >= whole {
            return started + cold_ms + (goal - whole);
        }
        if a >= 1.0 {
            return started + goal;
        }
        // a·s + (1 − a)·s² / 2T = goal, solved for s in the form that does not cancel for small goals.
        let b = (1.0 - a) / cold_ms;
        started + 2.0 * goal / (a + (a * a + 2.0 * b * goal).sqrt())
    }

    /// Notes what reaches it while it is cold; true if that pushes it over. The budget of the window that ends now, or
    /// of the first whole one after its start: multiple × capacity over the window, and some slack.
    fn pushed(&mut self, now: Millis, job: Job) -> bool {
        let Some(started) = self.started else { return false };
        let ServerParameters { cold_ms, fall_ms, fall_multiple, .. } = self.parameters;
        if fall_ms <= 0.0 || now - started > cold_ms {
            return false;
        }
        self.pushes.push_back((now, job.work, job.sender_notified));
        let end = now.max(started + fall_ms);
        while self.pushes.front().is_some_and(|p| p.0 < end - fall_ms) {
            self.pushes.pop_front();
        }
        let sent: f64 = self.pushes.iter().map(|p| p.1).sum();
        let told: f64 = self.pushes.iter().filter(|p| p.2).map(|p| p.1).sum();
        let mean = sent / self.pushes.len() as f64;
        let could = self.parameters.capacity() * (self.grown(end) - self.grown(end - fall_ms));
        if sent <= fall_multiple * could + FALL_SLACK_PUSHES * mean {
            return false;
        }
        self.fall = Some(OverloadFailure { at: now, notified_share: told / sent });
        true
    }
}
