//! Decisions of one limiter; `src/interface.rs` holds the types of its events and actions.
//!
//! The admission path follows CASA (`docs/design.md`): a quota check, then cost-scaled slots under an adaptive
//! limit.

use std::collections::HashSet;

use marldeal_firms::Evictability;
use marldeal_permit::may_retry;

use crate::accounts::{ceiling_fraction, equal_share, GRANT_LIFETIME_MS};
use crate::customers::{capacities, quota_owner, MAX_OUTSTANDING_GRANTS, REPLY_VALIDITY_MS};
use crate::decision_trace::{Decision, Reason};
use crate::interface::*;
use crate::message::{decode_message, encode_message, fits_in_message, Ask, Done, Line, Reply};
use crate::planted::{self, Fault};
use crate::prefetch::is_prefetch;
use crate::slow_start::Start;
pub use crate::state::Limiter;
use crate::state::*;
use crate::validation::validate;

// Feedback (CASA).
/// Initial slot limit: generous, it takes effect once the error turns positive.
const INITIAL_SLOT_LIMIT: f64 = 4096.0;
/// Minimum slots per server over the limits of all limiters together. Under a lower limit too few requests finish
/// to raise it again.
const MIN_SLOTS_PER_SERVER: f64 = 6.0;
/// Fraction of the target latency that the smoothed latency may reach; above it the error is positive. The value
/// is low since latency shows a queue only after the queue was served: at half the target latency a flood had
/// already filled the servers.
const TARGET_FRACTION: f64 = 0.25;
/// Interval between two steps of the feedback.
const STEP_MS: Millis = 100.0;
/// Time in which numBigQueries moves by error times damping.
const DAMPING_MS: Millis = 1000.0;
/// Upper bound of alpha. With a larger one a single costly request fills a low limit and the back end idles.
const MAX_ALPHA: f64 = 2.0;
/// Number of samples over which latency, hold rate and admit rate are smoothed.
const SMOOTHING_SAMPLES: f64 = 20.0;
/// Bounds of the time over which they are smoothed.
const MIN_SMOOTHING_MS: Millis = 1000.0;
const MAX_SMOOTHING_MS: Millis = 10_000.0;
/// Growth of the limit per step while the error is negative and more than half of the limit is in use. An unused
/// limit says nothing about capacity.
const LIMIT_GROWTH: f64 = 0.03;
/// Number of recent requests whose units set the class bounds.
const MAX_RECENT_UNITS: usize = 256;
/// Fraction of the target latency for which a request may be held.
const MAX_HOLD_FRACTION: f64 = 0.25;

// Quotas: members (the limiters that receive a customer's requests) and quota owners.
/// Longest wait for ceilings to fill at startup.
const MAX_STARTUP_WAIT_MS: Millis = 5000.0;
/// A peer that started this much earlier already serves.
const OLDER_PEER_MS: Millis = 2000.0;
/// Fraction of the quota's store that must be left, as far as a member knows, before it spends without asking.
const MIN_STORE_FRACTION: f64 = 0.5;
/// Multiple of the quota that a member forwards to the quota owner, whose store decides exactly.
const ASK_DEMAND_MULTIPLE: f64 = 1.5;
/// Asks to one quota owner before the next one is asked.
const ASKS_PER_OWNER: u32 = 2;
/// Consecutive missed replies after which a quota owner counts as silent.
const MAX_MISSED_REPLIES: u32 = 3;
/// Time for which a silent quota owner is skipped.
const SILENT_OWNER_MS: Millis = 1000.0;
/// A reply is late after this multiple of the smoothed reply wait.
const LATE_REPLY_MULTIPLE: f64 = 2.5;
/// Smoothed reply wait at the start, and its minimum, since some replies queue.
const INITIAL_REPLY_WAIT_MS: Millis = 40.0;
const MIN_REPLY_WAIT_MS: Millis = 20.0;
/// Weight of the newest sample in the smoothed reply wait.
const REPLY_WAIT_WEIGHT: f64 = 0.1;
/// Fraction of the target latency in which quota owners are asked; after it the equal share decides.
const ASK_TIME_FRACTION: f64 = 0.4;
/// Fraction of the receivers' message rate that this limiter uses to ask. As much again returns in replies, and
/// peers ask this limiter as much.
const SEND_RATE_FRACTION: f64 = 0.4;
/// Seconds of that rate which may be sent in one burst.
const SEND_BURST_S: f64 = 0.2;
/// Seconds of the message rate that may wait in the outbox.
const MAX_QUEUE_S: f64 = 1.0;
/// Seconds of the message rate that may wait when a line of a customer not seen before is added.
const MAX_NEW_CUSTOMER_QUEUE_S: f64 = 0.1;
/// Length of a pause after which received asks count as outdated.
const STALL_MS: Millis = 500.0;
/// Number of possibly finished requests in the hold queue that triggers its clean-up.
const HELD_CLEANUP_SLACK: usize = 64;

// Servers and attempts.
/// Weight of the newest sample in the typical latency of all servers.
const NEWEST_TYPICAL_WEIGHT: f64 = 0.05;
/// An attempt counts as silent after this multiple of the server's typical latency at the earliest.
const SILENCE_LATENCY_MULTIPLE: f64 = 6.0;
/// Fraction of the target latency after which silence is acted on.
const SILENCE_CHECK_FRACTION: f64 = 0.4;
/// Retries that each first attempt adds to the retry budget.
const RETRY_BUDGET_FRACTION: f64 = 0.2;
/// Maximum of the retry budget, and its value at the start.
const MAX_RETRY_BUDGET: f64 = 20.0;
/// Time over which the attempt rate is taken, which guides the load of cold servers.
const ATTEMPT_RATE_MS: Millis = 5000.0;
/// Time over which the number of recently serving servers decays.
const FLEET_MEMORY_MS: Millis = 15_000.0;
/// Number of server lists that describe the state before this process started.
const INITIAL_LISTS: u32 = 2;
/// Number of list entries up to which servers are added and removed one by one, each of which moves the others.
const MAX_SINGLE_CHANGES: usize = 16;

impl Limiter {
    /// Creates a limiter.
    ///
    /// # Errors
    /// The first setting that is out of range.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, String> {
        validate(&settings)?;
        let capacities = capacities(&settings);
        Ok(Limiter {
            slot_limit: INITIAL_SLOT_LIMIT,
            num_big_queries: INITIAL_SLOT_LIMIT,
            retry_budget: MAX_RETRY_BUDGET,
            reply_wait_ms: INITIAL_REPLY_WAIT_MS,
            ..Limiter::blank(settings, seed, now, (MIN_SMOOTHING_MS, ATTEMPT_RATE_MS), &capacities)
        })
    }

    /// Whether clients may be accepted: the ceilings owned here, which start empty, have filled, or peers
    /// already serve and only lack this limiter.
    pub fn is_ready(&self, now: Millis) -> bool {
        let fill_ms = |p: &Plan| 1000.0 * (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate;
        let with_ceiling = self.settings.plans.iter().filter(|p| p.ceiling_rate > 0.0);
        let longest =
            with_ceiling.map(|p| GRANT_LIFETIME_MS + fill_ms(p)).fold(0.0, f64::max).min(MAX_STARTUP_WAIT_MS);
        self.older_peer_seen || !self.settings.may_tell || now - self.ceilings_from() >= longest
    }

    /// Number of listed servers that are ejected or silent and get requests only as a last choice.
    pub fn avoided_servers(&self, now: Millis) -> usize {
        self.servers.iter().filter(|s| now < s.ejected_until || s.is_silent()).count()
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.now - self.last_step > STALL_MS {
            self.resumed_at = self.now;
        }
        if !self.has_started {
            self.has_started = true;
            out.push(Action::Wake { after_ms: STEP_MS, token: WAKE_STEP });
            if self.settings.must_subscribe {
                out.push(Action::Subscribe(true));
            }
        }
        match event {
            Event::Servers { whole, entries } => self.on_servers(whole, &entries, out),
            Event::ListFailed => out.push(Action::Subscribe(true)),
            Event::Request(request) => self.on_request(request, out),
            Event::Streaming { id } => self.on_streaming(id),
            Event::ResponseProgress { id, state } => self.on_response_progress(id, state, out),
            Event::BodyReceived { id } => self.on_body_received(id, out),
            Event::AttemptEnded { id, attempt, outcome, took_ms, settled, units, .. } => {
                if self.attempts.contains_key(&(id, attempt)) || settled {
                    self.requests.entry(id).and_modify(|r| r.actual_units = units);
                    self.on_attempt_ended(id, attempt, outcome, took_ms);
                    self.after_attempt(id, outcome, settled, out);
                    self.send_held(out);
                }
            }
            Event::ClientDisconnected { id } => {
                drop(self.cancel_request(id, Reason::ClientDisconnected, out));
            }
            Event::Wake { token } => self.on_wake(token, out),
            Event::MessageReceived { from, body } => self.on_message(from, &body, out),
            Event::HandoverMessage { body } => self.on_handover_message(&body, out),
            Event::KillExpected { at } => self.on_kill_expected(at, out),
            Event::Probed { .. } | Event::Counted { .. } => {}
        }
    }

    // ---- Requests and answers ----

    fn on_request(&mut self, mut request: Request, out: &mut Vec<Action>) {
        if self.requests.contains_key(&request.id)
            || request.class >= self.settings.classes.len()
            || request.plan >= self.settings.plans.len()
        {
            return;
        }
        request.spread = request.spread.clamp(1, self.settings.limiters);
        request.first %= self.settings.limiters;
        // The class bounds are the quartiles of the recent units.
        self.recent_units.push_back(request.units);
        self.recent_units.drain(..self.recent_units.len().saturating_sub(MAX_RECENT_UNITS));
        if self.refused_by_chance(&request) {
            self.trace(request.id, Decision::Refused(Reason::DemandExceedsQuota), out);
            out.push(Action::Refuse { id: request.id, retry_ms: self.retry_after_ms(&request) });
            return;
        }
        let target_ms = self.settings.classes[request.class].aim_ms;
        let deadline = (request.budget_ms - self.answer_lead_ms()).max(0.0);
        out.push(Action::Wake { after_ms: deadline, token: wake_token(request.id, WAKE_DEADLINE) });
        if target_ms < deadline {
            out.push(Action::Wake { after_ms: target_ms, token: wake_token(request.id, WAKE_TARGET) });
        }
        let id = request.id;
        let plan = &self.settings.plans[request.plan];
        let has_quota = plan.rate > 0.0 || plan.open > 0 || plan.ceiling_rate > 0.0;
        self.requests.insert(id, OpenRequest::new(request, self.now, self.now + deadline));
        let next_step = if has_quota { Self::spend_own_share } else { Self::dispatch };
        next_step(self, id, out);
    }

    /// How long before a deadline the answer is given: a wake-up comes up to one round late, and the answer needs time
    /// to reach the client.
    fn answer_lead_ms(&self) -> Millis {
        2.0 * self.settings.round_ms
    }

    /// Brings the deadlines of open requests forward, so that all are answered before the process may be killed.
    fn on_kill_expected(&mut self, at: Millis, out: &mut Vec<Action>) {
        let (now, deadline) = (self.now, at - self.answer_lead_ms());
        for (id, request) in self.requests.iter_mut().filter(|(_, request)| request.deadline > deadline) {
            request.deadline = deadline;
            let after_ms = (deadline - now).max(0.0);
            out.push(Action::Wake { after_ms, token: wake_token(*id, WAKE_DEADLINE) });
        }
    }

    /// Sends a request if its slots fit and a server accepts it, and holds it otherwise.
    pub(crate) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.attempt_demand.add(self.now, 1.0);
        if !self.try_send(id, out) {
            if self.held.len() > 2 * self.requests.len() + HELD_CLEANUP_SLACK {
                let Limiter { held, requests, .. } = self;
                held.retain(|id| requests.get(id).is_some_and(|r| r.held));
            }
            self.held.push_back(id);
            self.hold_rate.add(self.now, 1.0);
        }
    }

    fn try_send(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(open) = self.requests.get(&id) else { return true };
        let slots = self.slots(open.request.units);
        let fits = self.occupied_slots <= 0.0 || self.busy_slots() + slots <= self.slot_limit;
        let server = if fits { self.choose_server(id) } else { None };
        let sent = server.is_some();
        if let Some(server) = server {
            self.send(id, server, slots, out);
        }
        self.requests.entry(id).and_modify(|r| r.held = !sent);
        sent
    }

    fn send(&mut self, id: RequestId, server: ServerId, slots: f64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.attempts == 0 {
            self.admit_rate.add(self.now, 1.0);
            self.retry_budget = (self.retry_budget + RETRY_BUDGET_FRACTION).min(MAX_RETRY_BUDGET);
        }
        let class = request.request.class;
        let check_ms = self.settings.classes[class].aim_ms * SILENCE_CHECK_FRACTION;
        let attempt = request.attempts;
        (request.attempts, request.outstanding, request.last_server) =
            (attempt + 1, true, Some(server.clone()));
        let sent = |s: &mut Server| {
            s.outstanding += 1;
            s.cold_bucket.level -= 1.0;
            (s.entry.zone, s.entry.cell)
        };
        let location = self.servers.update(self.now, &server, sent).unwrap_or_default();
        self.occupied_slots += slots;
        let record = Attempt {
            server: server.clone(),
            location,
            sent: self.now,
            slots,
            class,
            cancelled: false,
            streaming: false,
        };
        self.attempts.insert((id, attempt), record);
        out.push(Action::Send { id, server, cap_ms: 0.0 });
        out.push(Action::Wake { after_ms: check_ms, token: wake_token(id, WAKE_SILENCE_CHECK) });
    }

    /// Handles the start of a long body, which runs at the speed of the client or the server. Its server has
    /// finished its work, or starts later, so the attempt no longer occupies slots and no deadline cancels it.
    fn on_streaming(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        let Some(record) = self.attempts.get_mut(&(id, request.attempts.saturating_sub(1))) else { return };
        self.occupied_slots = (self.occupied_slots - std::mem::take(&mut record.slots)).max(0.0);
        if !std::mem::replace(&mut record.streaming, true) {
            self.servers.update(self.now, &record.server, |s| s.streaming += 1);
        }
    }

    /// Handles the progress of a response that arrives piece by piece. Its server has finished its work, so the attempt no
    /// longer occupies slots, and as long as it gives the response neither the target latency nor the check for silent
    /// servers ends the attempt.
    fn on_response_progress(&mut self, id: RequestId, state: ResponseState, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.outstanding) else { return };
        request.response = Some(state);
        let (attempt, elapsed_ms) = (request.attempts - 1, self.now - request.arrived);
        if let Some(record) = self.attempts.get_mut(&(id, attempt)) {
            self.occupied_slots = (self.occupied_slots - std::mem::take(&mut record.slots)).max(0.0);
            if state.is_arriving() {
                let now = self.now;
                self.servers.update(now, &record.server, |s| s.record_sign_of_life(now));
            }
        }
        if state == ResponseState::Stalled {
            let class = &self.settings.classes[request.request.class];
            let kind = if elapsed_ms >= class.aim_ms { WAKE_TARGET } else { WAKE_SILENCE_CHECK };
            self.on_wake(wake_token(id, kind), out);
        }
    }

    /// Accounts for the end of an attempt: slots, server health, latency, actual units.
    fn on_attempt_ended(&mut self, id: RequestId, n: u32, outcome: Outcome, took: Millis) {
        let Some(attempt) = self.attempts.remove(&(id, n)) else { return };
        self.occupied_slots = (self.occupied_slots - attempt.slots).max(0.0);
        if outcome == Outcome::Cancelled {
            self.cancelled_slots.add(self.now, attempt.slots);
        }
        let target_ms = self.settings.classes[attempt.class].aim_ms;
        let not_executed = matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
        // An attempt cancelled because its client disconnected says nothing about the server.
        if !not_executed && (outcome != Outcome::Cancelled || attempt.cancelled) {
            // Samples are clipped at the target latency, so that a few heavy requests or stuck servers do not
            // raise the mean and throttle everyone.
            self.own_latency.add(self.now, (took / target_ms).min(1.0));
            self.latency.add(self.now, (took / target_ms).min(1.0));
        }
        if outcome == Outcome::Ok {
            self.completed.add(self.now, 1.0);
            self.completed_targets.add(self.now, target_ms);
            self.typical_latency += if self.typical_latency > 0.0 { NEWEST_TYPICAL_WEIGHT } else { 1.0 }
                * (took - self.typical_latency);
        }
        self.refused_full.add(self.now, if outcome == Outcome::Full { 1.0 } else { 0.0 });
        let now = self.now;
        self.servers.update(now, &attempt.server, |s| {
            s.outstanding = s.outstanding.saturating_sub(1);
            s.streaming = s.streaming.saturating_sub(u32::from(attempt.streaming));
            s.record_outcome(now, outcome, took, attempt.cancelled);
        });
        if let Some(r) = self.requests.get_mut(&id) {
            (r.outstanding, r.response) = (false, None);
            if !not_executed && r.may_have_run.is_none() {
                r.may_have_run = Some((attempt.sent, attempt.location.0, attempt.location.1));
            }
        }
    }

    /// Continues after an attempt: retries where that is safe and within the budget, or gives the final answer.
    fn after_attempt(&mut self, id: RequestId, outcome: Outcome, settled: bool, out: &mut Vec<Action>) {
        if settled || outcome == Outcome::Ok {
            return drop(self.close(id, out));
        }
        let may_retry =
            self.requests.get(&id).is_some_and(|r| self.may_retry_request(r)) && self.retry_budget >= 1.0;
        if !may_retry {
            return self.give_final_answer(id, Reason::NoRetryAllowed, out);
        }
        self.trace(id, Decision::Retried(outcome), out);
        self.retry_budget -= 1.0;
        self.dispatch(id, out);
    }

    /// Whether the rules and the remaining time allow another attempt.
    fn may_retry_request(&self, request: &OpenRequest) -> bool {
        let class = &self.settings.classes[request.request.class];
        let late = self.now - request.arrived > class.aim_ms && class.late_worth <= 0.0;
        let exhausted = request.attempts >= self.settings.max_attempts || self.now >= request.deadline;
        if request.outstanding || request.streaming || late || exhausted {
            return false;
        }
        // A wake-up comes up to one round late.
        let at = self.now + self.settings.round_ms;
        let since = request.may_have_run.map(|(sent, ..)| sent);
        planted::is_active(Fault::Effect) || may_retry(at, effect_of_retry(class), since).is_ok()
    }

    /// Gives the final answer: a refusal if no attempt can have run, otherwise a failure that promises nothing.
    fn give_final_answer(&mut self, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
        let Some(request) = self.cancel_request(id, reason, out) else { return };
        let incomplete = request.completion == Completion::Asked;
        let safe = self.settings.classes[request.request.class].effect == Effect::Safe;
        if safe || incomplete || (request.may_have_run.is_none() && !request.outstanding) {
            self.trace(id, Decision::Refused(reason), out);
            out.push(Action::Refuse { id, retry_ms: self.retry_after_ms(&request.request) });
        } else {
            self.trace(id, Decision::Failed(reason), out);
            out.push(Action::Fail { id });
        }
    }

    /// Closes a request and cancels its outstanding attempt. If the client disconnected, the server is not
    /// blamed, and an attempt with an effect runs to its end. An attempt whose body is held back has no effect, and its
    /// server is not blamed.
    fn cancel_request(
        &mut self,
        id: RequestId,
        reason: Reason,
        out: &mut Vec<Action>,
    ) -> Option<OpenRequest> {
        let late = reason != Reason::ClientDisconnected;
        let request = self.close(id, out)?;
        let class = &self.settings.classes[request.request.class];
        let incomplete = request.completion == Completion::Asked;
        let may_cancel = self.settings.may_cancel && (late || class.effect == Effect::Safe);
        if request.outstanding && (incomplete || may_cancel) {
            let attempt = request.attempts - 1;
            self.attempts.entry((id, attempt)).and_modify(|a| a.cancelled |= late && !incomplete);
            self.trace(id, Decision::Cancelled(attempt, reason), out);
            out.push(Action::Cancel { id, attempt });
        }
        Some(request)
    }

    /// Time after which a refused client may come back: when the quota has refilled the request's units, or
    /// without a rate quota, after the longest hold time.
    fn retry_after_ms(&self, request: &Request) -> Millis {
        let rate = self.settings.plans[request.plan].rate;
        let hold_ms = self.settings.classes[request.class].aim_ms * MAX_HOLD_FRACTION;
        f64::from(self.settings.may_advise) * if rate > 0.0 { 1000.0 * request.units / rate } else { hold_ms }
    }

    /// Removes a request and reports its actual units to the quota owner.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<OpenRequest> {
        let open = self.requests.remove(&id)?;
        self.settle_prefetched(&open);
        let Some(owner) = open.owner else { return Some(open) };
        let units = open.request.units;
        let used = if open.attempts == 0 { 0.0 } else { open.actual_units.unwrap_or(units) };
        if self.holds_accounts_of(owner) || used != units || self.settings.plans[open.request.plan].open > 0 {
            self.report_use(owner, open.grant_id, used, out);
        }
        Some(open)
    }

    /// Reports to a quota owner how many units of a grant were used; nothing more will be.
    pub(crate) fn report_use(&mut self, owner: u32, grant_id: RequestId, used: f64, out: &mut Vec<Action>) {
        let done = Done { id: grant_id, used: used as f32 };
        if !self.holds_accounts_of(owner) {
            return self.send_line(owner, Line::Done(done), true, out);
        }
        // Nobody asks about this grant again, so its record is removed at once, whatever the request rate.
        self.on_done((owner, self.incarnation, grant_id), done.used);
        self.grants.remove(&(owner, self.incarnation, grant_id));
    }

    /// Sends held requests, the oldest first, and ends those that were held for too long.
    fn send_held(&mut self, out: &mut Vec<Action>) {
        for _ in 0..self.held.len() {
            let Some(id) = self.held.pop_front() else { return };
            let Some(request) = self.requests.get_mut(&id).filter(|r| r.held) else { continue };
            let hold_ms = self.settings.classes[request.request.class].aim_ms * MAX_HOLD_FRACTION;
            let held_too_long = request.attempts == 0 && self.now - request.admitted_at > hold_ms;
            request.held = false;
            // A retry that was held may have outlived the time in which servers drop repeats, so the rules are
            // checked again.
            if held_too_long
                || self.lease_expired(&self.requests[&id])
                || !self.may_retry_request(&self.requests[&id])
            {
                let reason = if held_too_long { Reason::HeldTooLong } else { Reason::NoRetryAllowed };
                self.give_final_answer(id, reason, out);
            } else if !self.try_send(id, out) {
                return self.held.push_front(id);
            }
        }
    }

    fn on_wake(&mut self, wake: u64, out: &mut Vec<Action>) {
        if wake == WAKE_STEP {
            return self.step(out);
        }
        if wake == WAKE_SEND {
            self.send_scheduled = false;
            return self.flush_messages(out);
        }
        let id = (wake >> 3) as RequestId;
        if wake & 7 == WAKE_REPLY {
            return self.check_reply(id, out);
        }
        let Some(request) = self.requests.get(&id).filter(|r| !r.streaming) else { return };
        match wake & 7 {
            // What has arrived of a response is passed on at the client's deadline.
            WAKE_DEADLINE if request.response == Some(ResponseState::Body) => {}
            WAKE_DEADLINE if self.now >= request.deadline => {
                self.give_final_answer(id, Reason::DeadlinePassed, out)
            }
            WAKE_TARGET | WAKE_SILENCE_CHECK if request.is_being_answered() => {}
            // Nothing is earned after the target latency: ending now frees the server and saves the cost of a
            // late end.
            WAKE_TARGET if self.settings.classes[request.request.class].late_worth <= 0.0 => {
                self.give_final_answer(id, Reason::TargetLatencyPassed, out)
            }
            WAKE_SILENCE_CHECK => self.check_silence(id, out),
            _ => {}
        }
    }

    /// Guards against servers that accept work and answer nothing (hung, vanished, cut off): an attempt at a server
    /// without any answer since it was sent is cancelled and sent elsewhere. This may hurt a heavy request at
    /// an otherwise idle server; the retry budget bounds that.
    fn check_silence(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.outstanding) else { return };
        let attempt = request.attempts - 1;
        let class = &self.settings.classes[request.request.class];
        let Some(record) = self.attempts.get_mut(&(id, attempt)) else { return };
        if self.now - record.sent < class.aim_ms * SILENCE_CHECK_FRACTION - 1.0 || record.cancelled {
            return;
        }
        let Some(server) = self.servers.get(&record.server) else { return };
        // A response that has stalled is no sign of life any more.
        let has_stalled = request.response == Some(ResponseState::Stalled);
        if server.last_answer >= record.sent && !has_stalled {
            return;
        }
        let after_ms = server.latency(self.now, self.typical_latency) * SILENCE_LATENCY_MULTIPLE
            - (self.now - record.sent);
        if after_ms > 1.0 {
            return out.push(Action::Wake { after_ms, token: wake_token(id, WAKE_SILENCE_CHECK) });
        }
        // A silent server's attempt no longer occupies slots.
        self.occupied_slots = (self.occupied_slots - std::mem::take(&mut record.slots)).max(0.0);
        let may_repeat = class.effect != Effect::Unsafe && request.attempts < self.settings.max_attempts;
        if may_repeat && self.settings.may_cancel && self.retry_budget >= 1.0 {
            record.cancelled = true;
            self.trace(id, Decision::Cancelled(attempt, Reason::ServerSilent), out);
            out.push(Action::Cancel { id, attempt });
        } else {
            let (now, server) = (self.now, record.server.clone());
            self.servers.update(now, &server, |s| s.record_silence(now));
        }
    }

    // ---- CASA: classes, slots, feedback ----

    fn update_class_bounds(&mut self) {
        let mut sorted: Vec<f64> = self.recent_units.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        if let Some(last) = sorted.len().checked_sub(1) {
            self.class_bounds = [0.0, sorted[last / 4], sorted[last / 2], sorted[last * 3 / 4]];
        }
    }

    /// Slots that a request occupies: alpha * l / lmax + 1.
    fn slots(&self, units: f64) -> f64 {
        let lower = self.class_bounds.iter().rev().find(|b| units >= **b).copied().unwrap_or(0.0);
        (self.slot_limit / self.num_big_queries - 1.0) * lower / self.class_bounds[3].max(1e-9) + 1.0
    }

    /// Slots in use, including those of recently cancelled attempts: a cancel need not stop the work.
    fn busy_slots(&self) -> f64 {
        self.occupied_slots + self.cancelled_slots.value(self.now)
    }

    /// One step of the feedback. The limit moves first and numBigQueries in proportion, so that only the damped
    /// feedback moves alpha.
    fn update_limit(&mut self) {
        // Error: smoothed latency over the target fraction, minus one, plus the fraction refused as full.
        let full = self.refused_full.value(self.now).unwrap_or(0.0);
        let error = self.latency.value(self.now).map_or(-1.0, |l| l / TARGET_FRACTION - 1.0) + full;
        let (held, admitted) = (self.hold_rate.rate(self.now), self.admit_rate.rate(self.now));
        let before = self.slot_limit;
        // Little's law: what the back end finishes within the target time. Anything beyond that only queues
        // there.
        let target_s = TARGET_FRACTION * self.completed_targets.value(self.now)
            / self.completed.value(self.now).max(1.0)
            / 1000.0;
        let min_limit = MIN_SLOTS_PER_SERVER * self.servers.len() as f64 / f64::from(self.settings.limiters);
        let bound = (self.completed.rate(self.now) * target_s).max(min_limit).max(2.0);
        if error > 0.0 {
            self.slot_limit = self.slot_limit.min(bound);
        } else if self.busy_slots() * 2.0 > self.slot_limit {
            self.slot_limit = (self.slot_limit * (1.0 + LIMIT_GROWTH)).max(bound).min(INITIAL_SLOT_LIMIT);
        }
        let factor = if error > 0.0 { held } else { admitted } / (held + admitted + 1.0);
        self.num_big_queries = (self.num_big_queries * self.slot_limit / before
            - error * factor * STEP_MS / DAMPING_MS)
            .clamp((self.slot_limit / (MAX_ALPHA + 1.0)).max(1.0), self.slot_limit);
    }

    fn step(&mut self, out: &mut Vec<Action>) {
        self.last_step = self.now;
        self.update_spans();
        // Counts all recently serving servers: after an outage the first server to return is not the whole
        // fleet.
        let serving = self.servers.serving() as f64;
        self.recent_servers = (self.recent_servers * (1.0 - STEP_MS / FLEET_MEMORY_MS)).max(serving);
        // A cold server gets requests only from the limiters that have it among their own.
        let scale = self.servers.len() as f64 / self.own_server_count().max(1) as f64;
        self.attempts_per_server = scale * self.attempt_demand.rate(self.now) / self.recent_servers.max(1.0);
        self.update_class_bounds();
        self.update_limit();
        self.send_held(out);
        out.extend(self.servers.take_ejection_logs().into_iter().map(Action::Log));
        self.evict_idle();
        self.review_prefetches(out);
        out.extend(self.log_customer_pressure().map(Action::Log));
        out.push(Action::Wake { after_ms: STEP_MS, token: WAKE_STEP });
    }

    /// Adapts the smoothing time to the request rate: one of hundreds of limiters sees a few requests per
    /// second.
    fn update_spans(&mut self) {
        let per_ms = self.admit_rate.rate(self.now) / 1000.0;
        let span = (SMOOTHING_SAMPLES / per_ms.max(1e-9)).clamp(MIN_SMOOTHING_MS, MAX_SMOOTHING_MS);
        let Limiter {
            own_latency,
            latency,
            refused_full,
            completed,
            completed_targets,
            hold_rate,
            admit_rate,
            now,
            ..
        } = self;
        let means = [own_latency, latency, refused_full].into_iter().flat_map(|m| [&mut m.sum, &mut m.count]);
        for sum in means.chain([completed, completed_targets, hold_rate, admit_rate]) {
            sum.set_span(*now, span);
        }
    }

    // ---- Quotas and ceilings: the member ----

    /// Refuses a request with the probability by which the total demand exceeds the quota. This keeps one
    /// customer's flood from overloading its quota owner with asks; the refused units are reported with the
    /// next ask. Also refuses new customers that arrive too fast to be remembered.
    fn refused_by_chance(&mut self, request: &Request) -> bool {
        let now = self.now;
        let draw = self.rng.f64();
        let Some(c) = self.customer_record(request) else { return true };
        if now - c.demand_at > REPLY_VALIDITY_MS {
            c.unreported = 0.0;
            return false;
        }
        let refuse = draw < 1.0 - ASK_DEMAND_MULTIPLE / f64::from(c.demand).max(1e-9);
        c.unreported += if refuse { request.units as f32 } else { 0.0 };
        refuse
    }

    /// Spends from this limiter's equal share (of the quota, or of the ceiling's part for members) while the
    /// first quota owner's store has enough left, and notifies the owner. Waiting for its reply would only add
    /// latency.
    fn spend_own_share(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.retired {
            return self.ask_owner(id, out);
        }
        let Some(request) = self.requests.get(&id).map(|open| open.request.clone()) else { return };
        let (me, plan) = (self.settings.position, &self.settings.plans[request.plan]);
        let first = quota_owner(request.customer, (request.first, request.spread), self.settings.limiters, 0);
        let Some(first) = first.filter(|k| *k != me && self.settings.may_tell && plan.open == 0) else {
            return self.ask_owner(id, out);
        };
        let (units, (rate, capacity)) = (request.units, equal_share(plan, request.spread));
        let (min_fraction, ample) =
            (self.min_store_fraction(MIN_STORE_FRACTION, request.customer), self.has_ample_store(&request));
        let Some(c) = self.customers.get_mut(&request.customer) else { return };
        c.equal_share.fill(
            self.now,
            rate,
            if plan.ceiling_rate > 0.0 { capacity } else { capacity.max(units) },
        );
        // A share too small for such a request is not used: otherwise each of a hundred members would admit
        // one.
        let enough = ample || (capacity >= units && c.equal_share.level >= units);
        let (min_left, seen_before) = (plan.burst * min_fraction, c.seen_before);
        let unasked = enough && c.store_left - units >= min_left;
        let more = unasked && c.store_left - 2.0 * units >= min_left && c.equal_share.level >= 2.0 * units;
        let mut line = self.ask_for(&request);
        self.record_use(&request, more, out);
        // Units that cannot be reported are not spent without asking, since the owner would grant the same
        // units again.
        if !unasked || !self.can_send(first, &Line::Ask(line), seen_before) {
            let next_steps = [Self::dispatch, Self::refuse_without_units, Self::ask_owner];
            return next_steps[self.spend_prefetched(id) as usize](self, id, out);
        }
        if let Some(c) = self.customers.get_mut(&request.customer) {
            (c.equal_share.level, c.store_left) = (c.equal_share.level - units, c.store_left - units);
        }
        self.requests.entry(id).and_modify(|r| r.owner = Some(first));
        line.already_spent = true;
        self.send_line(first, Line::Ask(line), seen_before, out);
        self.dispatch(id, out);
    }

    pub(crate) fn ask_for(&self, request: &Request) -> Ask {
        Ask {
            id: request.id,
            customer: request.customer,
            plan: request.plan as u8,
            first: request.first as u16,
            spread: request.spread as u16,
            units: request.units as f32,
            unreported: self.customers.get(&request.customer).map_or(0.0, |c| c.unreported),
            already_spent: false,
        }
    }

    /// Asks the first quota owner that is not silent; without one the equal share decides.
    pub(crate) fn ask_owner(&mut self, id: RequestId, out: &mut Vec<Action>) {
        loop {
            let Some(open) = self.requests.get(&id) else { return };
            let request = &open.request;
            let target_ms = self.settings.classes[request.class].aim_ms;
            let silent = |k: u32| {
                let missed = self.missed_replies.get(&k);
                missed.is_some_and(|m| m.misses >= MAX_MISSED_REPLIES && self.now - m.at < SILENT_OWNER_MS)
            };
            let set = (request.first, request.spread);
            let Some(owner) = quota_owner(request.customer, set, self.settings.limiters, open.rank)
                .filter(|_| self.now - open.asked_from < ASK_TIME_FRACTION * target_ms)
            else {
                return self.spend_equal_share(id, out);
            };
            let ask = Ask { id: open.grant_id, ..self.ask_for(request) };
            let seen_before = self.customers.get(&request.customer).is_some_and(|c| c.seen_before);
            if self.holds_accounts_of(owner) {
                // A later owner's part of a ceiling is small, and this limiter has its share as a member too.
                let decisive = open.rank == 0 || self.settings.plans[request.plan].ceiling_rate <= 0.0;
                let reply = self.answer_ask(owner, self.incarnation, &ask);
                if let Some(reply) = reply.filter(|reply| reply.granted || decisive) {
                    return self.on_reply(owner, &reply, out);
                }
            } else if (owner == self.settings.position || self.settings.may_tell)
                && !silent(owner)
                && self.can_send(owner, &Line::Ask(ask), seen_before)
            {
                let now = self.now;
                self.requests
                    .entry(id)
                    .and_modify(|r| (r.pending_ask, r.asks) = (Some((owner, now)), r.asks + 1));
                let after_ms = self.reply_wait_ms * LATE_REPLY_MULTIPLE + 2.0 * self.settings.round_ms;
                out.push(Action::Wake { after_ms, token: wake_token(id, WAKE_REPLY) });
                return self.send_line(owner, Line::Ask(ask), seen_before, out);
            }
            self.requests.entry(id).and_modify(|r| (r.rank, r.asks) = (r.rank + 1, 0));
        }
    }

    /// Repeats an ask whose reply is late, then asks the next owner. Guards against lost messages and owners
    /// that are dead, stalled or cut off.
    fn check_reply(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let late = self.reply_wait_ms * LATE_REPLY_MULTIPLE;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some((owner, at)) = open.pending_ask else { return };
        // The smoothed wait has grown since the ask. Without another check a lost reply would never be noticed.
        if self.now - at < late {
            let after_ms = at + late - self.now + self.settings.round_ms;
            return out.push(Action::Wake { after_ms, token: wake_token(id, WAKE_REPLY) });
        }
        let missed = self.missed_replies.entry(owner).or_insert(MissedReplies { misses: 0, at });
        *missed = MissedReplies { misses: missed.misses + 1, at: self.now };
        open.pending_ask = None;
        if open.asks >= ASKS_PER_OWNER {
            (open.rank, open.asks) = (open.rank + 1, 0);
        }
        self.ask_owner(id, out);
    }

    fn refuse_without_units(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.give_final_answer(id, Reason::NoUnits, out);
    }

    /// Applies a quota owner's reply to the customer's record and to the request that waits for it.
    pub(crate) fn on_reply(&mut self, from: u32, reply: &Reply, out: &mut Vec<Action>) {
        if let Some(c) = self.customers.get_mut(&reply.customer) {
            (c.demand, c.demand_at, c.unreported) = (reply.demand, self.now, 0.0);
            c.store_left = f64::from(reply.store_left);
        }
        self.on_prefetch_reply(from, reply);
        let own = from == self.settings.position;
        let waits =
            |r: &&mut OpenRequest| r.awaits_units() && r.owner.is_none() && (own || r.pending_ask.is_some());
        let Some(id) = self.request_of_ask(reply.id) else { return };
        let Some(open) = self.requests.get_mut(&id).filter(waits) else { return };
        if let Some((_, at)) = open.pending_ask.take().filter(|a| a.0 == from) {
            // The wait counts from the first ask (RFC 6298, section 3): a reply just after a repeat answers the
            // first ask, and an underestimated wait would cause repeats before any reply can arrive.
            let before = f64::from(open.asks - 1) * self.reply_wait_ms * LATE_REPLY_MULTIPLE;
            let took = self.now - at + before;
            self.reply_wait_ms =
                (self.reply_wait_ms + REPLY_WAIT_WEIGHT * (took - self.reply_wait_ms)).max(MIN_REPLY_WAIT_MS);
        }
        open.admitted_at = self.now;
        open.owner = reply.granted.then_some(from);
        if !reply.granted || self.lease_expired(&self.requests[&id]) {
            self.refuse_without_units(id, out);
        } else {
            self.proceed(id, out);
        }
    }

    /// Decides without a quota owner: by the equal share of rate and burst, at least one request. Without a
    /// rate quota, the share of the outstanding attempts in one target latency is used. A member's share of a
    /// ceiling may be smaller than one request; it is then spent with a probability equal to its fraction of
    /// the request (randomised rounding), so that the members' shares together stay within the ceiling however
    /// many decide at once.
    fn spend_equal_share(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.retired {
            return self.refuse_without_units(id, out);
        }
        let draw = self.rng.f64();
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (request, units) = (&open.request, open.request.units);
        let plan = &self.settings.plans[request.plan];
        // The record of a customer without recent requests may have been evicted during an upload.
        let Some(c) = self.customers.get_mut(&request.customer) else {
            return self.refuse_without_units(id, out);
        };
        let has_ceiling = plan.ceiling_rate > 0.0;
        let (mut rate, mut capacity) = equal_share(plan, request.spread);
        if rate <= 0.0 {
            capacity = f64::from(plan.open) * units / f64::from(request.spread);
            rate = capacity * 1000.0 / self.settings.classes[request.class].aim_ms;
        }
        c.equal_share.fill(self.now, rate, if has_ceiling { capacity } else { capacity.max(units) });
        let enough = c.equal_share.level >= units || (has_ceiling && draw * units < c.equal_share.level);
        c.equal_share.level =
            if enough || has_ceiling { (c.equal_share.level - units).max(0.0) } else { c.equal_share.level };
        if !enough {
            return self.refuse_without_units(id, out);
        }
        open.admitted_at = self.now;
        self.proceed(id, out);
    }

    /// Whether this process decides for a quota owner: it is the owner and has not handed its accounts over.
    fn holds_accounts_of(&self, owner: u32) -> bool {
        owner == self.settings.position && !self.retired
    }

    /// Whether units granted under a ceiling were not spent in time; the quota owner no longer counts them.
    fn lease_expired(&self, open: &OpenRequest) -> bool {
        let has_ceiling = self.settings.plans[open.request.plan].ceiling_rate > 0.0;
        open.awaits_units() && has_ceiling && self.now - open.leased_from > GRANT_LIFETIME_MS
    }

    // ---- Quotas and ceilings: the quota owner ----

    /// The quota owner's reply to an ask; a repeated ask gets the same reply. If no record could be evicted for
    /// a new account, the decision uses the recorded deficit and grants nothing that would have to be
    /// remembered.
    pub(crate) fn answer_ask(&mut self, from: u32, incarnation: u32, ask: &Ask) -> Option<Reply> {
        let (now, me, fills_from) = (self.now, self.settings.position, self.ceilings_from());
        let plan = self.settings.plans.get(usize::from(ask.plan))?.clone();
        let rank = self.rank(ask)?;
        let (id, customer, key, long_lease) =
            (ask.id, ask.customer, (from, incarnation, ask.id), self.leases.is_long(ask.id));
        let recorded = self.ensure_account(ask, rank);
        let mut temporary = if recorded { None } else { Some(self.new_account(ask, rank)) };
        let Limiter { accounts, grants, leases, open_grants, counts, .. } = self;
        let a = temporary.as_mut().or_else(|| accounts.get_mut(&customer))?;
        let reply = |granted, a: &Account| {
            let (demand, store_left) = (a.demand_multiple(now, &plan), a.store.max(0.0) as f32);
            Reply { id, customer, incarnation, granted, long_lease, demand, store_left }
        };
        if let Some(g) = grants.get(&key) {
            return Some(reply(g.granted, a));
        }
        let units = f64::from(ask.units);
        a.refresh(now, &plan, rank, fills_from);
        let within_quota = plan.rate <= 0.0 || a.store >= units;
        let under_limit =
            plan.open == 0 || (a.open < plan.open && recorded && open_grants.len() < MAX_OUTSTANDING_GRANTS);
        let has_ceiling = plan.ceiling_rate > 0.0;
        let floor = -plan.ceiling_slack * ceiling_fraction(&plan, a.rank);
        let within_ceiling =
            !has_ceiling || (recorded && leases.len() < MAX_OUTSTANDING_GRANTS && a.ceiling - units >= floor);
        // Already spent units are deducted in any case, but only from the quota: the member used its own share
        // of the ceiling.
        let unconditional = ask.already_spent || planted::is_active(Fault::Ceiling);
        let mut granted =
            (unconditional || (within_quota && under_limit && within_ceiling)) && ask.plan == a.plan;
        // The end of such a request must be received, and its repeat recognised.
        let open = granted && !ask.already_spent && plan.open > 0;
        if recorded && (granted || from != me) {
            let unless_open =
                |_: &GrantKey, g: &Grant| if g.open { Evictability::Pinned } else { Evictability::Lossless };
            grants.evict_if_full(unless_open);
            let grant = Grant { customer, units, granted, open, done: !granted };
            granted &= grants.insert(now, key, grant).is_ok() || !open;
        }
        // A refused prefetch ask is repeated by its member and does not count as demand.
        let counted = if granted || !is_prefetch(ask.id) { units } else { 0.0 };
        a.demand += counted + f64::from(ask.unreported);
        if granted {
            a.store = (a.store - units).max(-plan.burst);
            a.admitted += units;
        }
        if granted && !ask.already_spent {
            a.ceiling -= units;
            if has_ceiling {
                a.leased += units;
                leases.add(now, key, customer, units);
            }
            if open {
                a.open += 1;
                open_grants.push_back((now, key));
            }
        }
        let reply = reply(granted, a);
        if let Some(a) = temporary {
            counts.decided_without_record += 1;
            self.record_deficit(customer, &a);
        }
        Some(reply)
    }

    /// Handles the end of a granted request: it is no longer open, and the quota is corrected to the units
    /// actually used.
    pub(crate) fn on_done(&mut self, key: GrantKey, used: f32) {
        let Some(grant) = self.grants.get_mut(&key) else { return };
        let Some(a) = self.accounts.get_mut(&grant.customer) else { return };
        if grant.done {
            return;
        }
        grant.done = true;
        if grant.open {
            grant.open = false;
            a.open = a.open.saturating_sub(1);
        }
        let capacity = self.settings.plans[usize::from(a.plan)].burst;
        a.store -= f64::from(used).min(grant.units + capacity) - grant.units;
        // The member will spend nothing more of this lease.
        if let Some(units) = self.leases.release(&key) {
            a.release_lease(units);
            a.ceiling += (units - f64::from(used)).max(0.0);
        }
    }

    // ---- Messages ----

    /// Whether a line to a peer would still be sent in time.
    fn can_send(&self, to: u32, line: &Line, seen_before: bool) -> bool {
        if to == self.settings.position {
            return self.retired;
        }
        let wait_s =
            if seen_before { MAX_QUEUE_S } else { self.new_customer_queue_s(MAX_NEW_CUSTOMER_QUEUE_S) };
        (self.outbox.len() as f64) < (self.settings.messages_per_s * wait_s).max(2.0)
            || self.outbox.iter().any(|(p, lines)| *p == to && fits_in_message(lines, line))
    }

    /// Adds a line to the next message to a peer and sends what the message rate allows. With too much in the
    /// outbox the line is dropped, as any message may be lost: an ask is repeated, and units that are not
    /// returned stay spent.
    pub(crate) fn send_line(&mut self, to: u32, line: Line, seen_before: bool, out: &mut Vec<Action>) {
        if !self.can_send(to, &line, seen_before) {
            return;
        }
        if to == self.settings.position {
            return self.send_handover_line(line, out);
        }
        match self.outbox.iter_mut().find(|(p, lines)| *p == to && fits_in_message(lines, &line)) {
            Some((_, lines)) => lines.push(line),
            None => self.outbox.push_back((to, vec![line])),
        }
        self.flush_messages(out);
    }

    fn flush_messages(&mut self, out: &mut Vec<Action>) {
        let rate = self.settings.messages_per_s * SEND_RATE_FRACTION;
        let capacity = (rate * SEND_BURST_S).max(1.0);
        self.send_bucket.fill(self.now, rate, capacity);
        let share = self.own_latency.value(self.now);
        while self.send_bucket.level >= 1.0 {
            let Some((to, lines)) = self.take_next_message(capacity) else { break };
            self.send_bucket.level -= 1.0;
            out.push(Action::SendMessage {
                to: Some(to),
                body: encode_message(self.incarnation, share, &lines),
            });
        }
        if !self.send_scheduled && !self.outbox.is_empty() && rate > 0.0 {
            self.send_scheduled = true;
            let lacking = self.next_message(capacity).1 - self.send_bucket.level;
            let after_ms = (lacking * 1000.0 / rate).max(self.settings.round_ms.max(1.0));
            out.push(Action::Wake { after_ms, token: WAKE_SEND });
        }
    }

    fn on_message(&mut self, from: u32, body: &[u8], out: &mut Vec<Action>) {
        if from >= self.settings.limiters || from == self.settings.position {
            return;
        }
        // A peer can cost no more than its allowance, whatever it sends.
        let rate = self.settings.messages_per_s;
        let bucket = self.allowance.entry(from).or_insert(TokenBucket { level: rate.max(1.0), at: self.now });
        bucket.fill(self.now, rate, rate.max(1.0));
        if bucket.level < 1.0 {
            return;
        }
        bucket.level -= 1.0;
        let Some((incarnation, share, lines)) = decode_message(body) else { return };
        let mut replies = Vec::new();
        self.missed_replies.remove(&from);
        let older_ms = self.incarnation.wrapping_sub(incarnation);
        self.older_peer_seen |= older_ms < u32::MAX / 2 && f64::from(older_ms) >= OLDER_PEER_MS;
        share.into_iter().for_each(|share| self.latency.add(self.now, share));
        for line in lines {
            match line {
                // After a stall the asking members have moved on, and a grant would only waste units.
                Line::Ask(ask) if self.resumed_at < self.now && !self.retired => {
                    replies.extend(self.answer_ask(from, incarnation, &ask).map(Line::Reply));
                }
                Line::Reply(reply) if reply.incarnation == self.incarnation => {
                    self.on_reply(from, &reply, out)
                }
                Line::Done(done) => self.on_done((from, incarnation, done.id), done.used),
                _ => {}
            }
        }
        // Replies are sent at the rate of the received asks. Under a limit of their own, an owner asked by many
        // would fall behind and be asked again. A reply is shorter than its ask, so one message holds them all.
        if !replies.is_empty() {
            let body = encode_message(self.incarnation, self.own_latency.value(self.now), &replies);
            out.push(Action::SendMessage { to: Some(from), body });
        }
    }

    // ---- Servers ----

    fn on_servers(&mut self, whole: bool, entries: &[ServerEntry], out: &mut Vec<Action>) {
        let starts: Vec<Start> = entries.iter().map(|e| self.reported_start(e)).collect();
        self.lists_received = self.lists_received.saturating_add(1);
        let (now, cold_ms) = (self.now, self.settings.cold_ms);
        let Limiter { servers, rng, .. } = self;
        let mut apply = |s: &mut Server, entry: &ServerEntry, start: &Start| {
            if let Some(since) = start.cold_since(now, cold_ms) {
                s.cold_since = Some(since);
                // Hundreds of limiters that each send one request at once would overload a cold server. Each
                // starts with a random level, so that their requests are spread over time.
                s.cold_bucket = TokenBucket { level: rng.f64(), at: now };
            }
            s.entry = entry.clone();
        };
        let fresh = |entry: &ServerEntry| Server::new(entry.clone(), now, ATTEMPT_RATE_MS);
        let stays = |e: &ServerEntry| e.condition != Condition::Gone && servers.get(&e.server).is_some();
        if !whole && entries.iter().all(stays) {
            for (e, start) in entries.iter().zip(&starts) {
                servers.update(now, &e.server, |s| apply(s, e, start));
            }
        } else if !whole && entries.len() <= MAX_SINGLE_CHANGES {
            for (e, start) in entries.iter().zip(&starts) {
                match e.condition {
                    Condition::Gone => servers.remove(&e.server),
                    _ => apply(servers.get_or_insert(&e.server, || fresh(e)), e, start),
                }
            }
            servers.rebuild(now);
        } else {
            servers.relist(now, |by_id| {
                if whole {
                    let listed: HashSet<&ServerId> = entries.iter().map(|e| &e.server).collect();
                    by_id.retain(|id, _| listed.contains(id));
                }
                for (e, start) in entries.iter().zip(&starts) {
                    if e.condition == Condition::Gone {
                        by_id.remove(&e.server);
                        continue;
                    }
                    apply(by_id.entry(e.server.clone()).or_insert_with(|| fresh(e)), e, start);
                }
            });
        }
        let serving = self.servers.iter().filter(|s| s.is_listed_as_serving());
        // Stepwise, so that the mean of equal weights is exactly their value.
        self.mean_weight =
            serving.zip(1_u32..).fold(1.0, |mean, (s, n)| mean + (s.weight() - mean) / f64::from(n));
        self.send_held(out);
    }

    /// What a list entry says about the server's start. The first list is handed over to the process, the
    /// second is the first of discovery; starts that appear in later lists are new.
    fn reported_start(&self, entry: &ServerEntry) -> Start {
        let reported_before = self.servers.get(&entry.server).map(|s| s.entry.started);
        Start {
            reported: entry.started,
            reported_before,
            is_new: reported_before.is_some() || self.lists_received >= INITIAL_LISTS,
        }
    }
}

/// The effect of a second execution, in the terms of the permit crate.
fn effect_of_retry(class: &Class) -> marldeal_permit::Effect {
    match class.effect {
        Effect::Safe => marldeal_permit::Effect::Safe,
        Effect::Keyed => marldeal_permit::Effect::Keyed { window_ms: class.window_ms },
        Effect::Unsafe => marldeal_permit::Effect::Unsafe,
    }
}
