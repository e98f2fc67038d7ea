//! All decisions of one limiter. The types it speaks are in `src/interface.rs`.
//!
//! The ordinary path is CASA's (`docs/design.md`): a quota gate, then cost-scaled slots under a moving limit.

use marldeal_firms::Evictability;
use marldeal_permit::may_retry;

use crate::accounts::{even, part, GRANT_MS};
use crate::customers::{keeper, most, MOST_TERMS, TOLD_MS};
use crate::interface::*;
use crate::message::{has_room, message, read_message, Ask, Done, Line, Word};
use crate::planted::{self, Fault};
use crate::prefetch::is_ahead;
use crate::slow_start::Start;
pub use crate::state::Limiter;
use crate::state::*;
use crate::validation::check;

// Feedback (CASA).
/// Slot limit at the start: generous; it binds once the error turns positive.
const START_LIMIT: f64 = 4096.0;
/// Slots a server that the limits of all limiters together keep at least: a lower limit starves itself.
const LEAST_SLOTS: f64 = 6.0;
/// Share of the aim that smoothed latency may reach; above it the error is positive. Low, since latency tells
/// of a queue only once the queue is served: at half the aim a flood had filled the servers by then.
const AIM_PART: f64 = 0.25;
/// Milliseconds between two steps of the feedback, and in which numBigQueries moves by error times damping.
const STEP_MS: Millis = 100.0;
const FULL_STEP_MS: Millis = 1000.0;
/// Most that alpha may be: with more, one costly request fills a bound limit and the back end idles.
const MOST_ALPHA: f64 = 2.0;
/// Latency, hold and admit rates are smoothed over so many samples, within these milliseconds.
const SAMPLES: f64 = 20.0;
const SMOOTH_MS: (Millis, Millis) = (1000.0, 10_000.0);
/// Growth of the limit in one step with a negative error, while over half is used: unused, it tells nothing.
const LIMIT_GROWTH: f64 = 0.03;
/// Recent requests whose units set the class bounds; share of the aim that a request may be held.
const UNITS_KEPT: usize = 256;
const HOLD_PART: f64 = 0.25;

// Quotas: members and keepers.
/// Longest wait for ceilings to fill at a start; a peer that started so much earlier serves already.
const MOST_SETTLE_MS: Millis = 5000.0;
const ELDER_MS: Millis = 2000.0;
/// Share of the quota's store that must be left, as far as a member knows, for it to spend without asking.
const ROOM_PART: f64 = 0.5;
/// A member lets this many times the quota pass to the keeper, whose store decides exactly.
const ASK_OVER: f64 = 1.5;
/// Asks to one keeper before the next is asked; misses in a row at which it counts as silent, and for how
/// many milliseconds.
const ASKS: u32 = 2;
const SILENT_MISSES: u32 = 3;
const SILENT_MS: Millis = 1000.0;
/// A word is late after this many usual waits; the usual wait at the start and the least it is taken
/// for, in milliseconds, since some words queue; weight of the newest.
const LATE_TIMES: f64 = 2.5;
const WAIT_MS: (Millis, Millis) = (40.0, 20.0);
const NEWEST_WAIT: f64 = 0.1;
/// Share of the aim in which keepers are asked; then the even part decides.
const WORD_PART: f64 = 0.4;
/// Share of the receivers' message allowance that this limiter asks with, and seconds of it sent in one go:
/// as much comes back in words, and as much is asked of it.
const MAIL_PART: (f64, f64) = (0.4, 0.2);
/// Seconds of the allowance that may wait to be sent, and of it what lines of customers not seen before may.
const MAIL_WAIT_S: (f64, f64) = (1.0, 0.1);
/// Asks heard after a pause of so many milliseconds are old.
const STALL_MS: Millis = 500.0;
/// Held requests that may be over already, at which they are gone through.
const HELD_OVER: usize = 64;

// Servers, attempts.
/// Weight of the newest latency or error in a server's smoothed figures, and of the newest latency in the
/// usual one of all servers.
const NEWEST: f64 = 0.2;
const NEWEST_USUAL: f64 = 0.05;
/// Smoothed share of errors, and silent attempts in a row, at which a server is set aside; an attempt is
/// silent at the earliest after so many times the server's usual latency.
const BAD_ERRORS: f64 = 0.4;
const BAD_SILENCES: u32 = 3;
const SLOW_TIMES: f64 = 6.0;
/// First and longest time that a server is set aside, in milliseconds; it doubles in between.
const ASIDE_MS: (Millis, Millis) = (1000.0, 8000.0);
/// Milliseconds that a full server is passed over; share of the aim after which silence is acted on.
const FULL_MS: Millis = 100.0;
const CHECK_PART: f64 = 0.4;
/// Retries that each first attempt pays for, and most that can be saved up.
const RETRY_PART: (f64, f64) = (0.2, 20.0);
/// Least size of a server that counts; factor on its expected time in another zone, a mild preference;
/// milliseconds for the pace of sends, the guide for cold servers, and for the number of servers sent to.
const LEAST_WEIGHT: f64 = 0.1;
const CROSS_ZONE: f64 = 1.05;
const PACE_MS: Millis = 5000.0;
const FLEET_MS: Millis = 15_000.0;
/// Limiters whose own a server is, and servers that are a limiter's own at least: among fewer it learns
/// sooner which are slow, and what it has out there holds it back.
const USERS: f64 = 8.0;
const LEAST_CHOICES: f64 = 2.0;
/// Factor on the time of one set aside or just tried, the last choice.
const LAST_TIMES: f64 = 1e6;
/// Lists that tell a new process how things have stood for long.
const FIRST_LISTS: u32 = 2;
/// Answers of a server within the pace time at which its own latency weighs as much as the usual one.
const TRUST: f64 = 3.0;

impl Limiter {
    /// A limiter that has just started. Settings that cannot be served are an error that names the value.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, String> {
        check(&settings)?;
        let most = most(&settings);
        Ok(Limiter {
            limit: START_LIMIT,
            big: START_LIMIT,
            retries: RETRY_PART.1,
            wait_ms: WAIT_MS.0,
            ..Limiter::blank(settings, seed, now, (SMOOTH_MS.0, PACE_MS), &most)
        })
    }

    /// Whether clients may come: the ceilings kept here, which start as if spent, have filled, or others
    /// serve already and are short of this limiter.
    pub fn is_ready(&self, now: Millis) -> bool {
        let fill_ms = |p: &Plan| 1000.0 * (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate;
        let ceiled = self.settings.plans.iter().filter(|p| p.ceiling_rate > 0.0);
        let longest = ceiled.map(|p| GRANT_MS + fill_ms(p)).fold(0.0, f64::max).min(MOST_SETTLE_MS);
        self.joined || !self.settings.may_tell || now - self.ceilings_from() >= longest
    }

    /// Servers of the list that get nothing now if it can be helped: set aside, or silent.
    pub fn avoided_servers(&self, now: Millis) -> usize {
        self.servers.values().filter(|s| now < s.aside_until || s.falls_silent()).count()
    }

    /// Takes one event in and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.now - self.stepped > STALL_MS {
            self.woke = self.now;
        }
        if !self.started {
            self.started = true;
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
            Event::AttemptEnded { id, attempt, outcome, took_ms, settled, units, .. } => {
                if self.attempts.contains_key(&(id, attempt)) || settled {
                    self.requests.entry(id).and_modify(|r| r.true_units = units);
                    self.on_attempt_ended(id, attempt, outcome, took_ms);
                    self.after_attempt(id, outcome, settled, out);
                    self.pump(out);
                }
            }
            Event::ClientDisconnected { id } => drop(self.withdraw(id, false, out)),
            Event::Wake { token } => self.on_wake(token, out),
            Event::MessageReceived { from, body } => self.on_heard(from, &body, out),
            Event::Probed { .. } | Event::Counted { .. } => {}
        }
    }

    // ---- Requests and their answers ----

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
        self.units.push_back(request.units);
        self.units.drain(..self.units.len().saturating_sub(UNITS_KEPT));
        if self.thinned(&request) {
            out.push(Action::Refuse { id: request.id, retry_ms: self.advice(&request) });
            return;
        }
        let aim = self.settings.classes[request.class].aim_ms;
        // Two rounds early: a wake-up comes up to one round late, and the answer takes its way too.
        let deadline = (request.budget_ms - 2.0 * self.settings.round_ms).max(0.0);
        out.push(Action::Wake { after_ms: deadline, token: token(request.id, WAKE_DEADLINE) });
        if aim < deadline {
            out.push(Action::Wake { after_ms: aim, token: token(request.id, WAKE_AIM) });
        }
        let id = request.id;
        let plan = &self.settings.plans[request.plan];
        let bound = plan.rate > 0.0 || plan.open > 0 || plan.ceiling_rate > 0.0;
        self.requests.insert(id, Open::new(request, self.now, self.now + deadline));
        let go = if bound { Self::spend } else { Self::dispatch };
        go(self, id, out);
    }

    /// Sends a request on if its slots fit and a server may have it; holds it otherwise.
    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.wanted.add(self.now, 1.0);
        if !self.try_send(id, out) {
            if self.held.len() > 2 * self.requests.len() + HELD_OVER {
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
        let fits = self.occupied <= 0.0 || self.busy_slots() + slots <= self.limit;
        let server = if fits { self.choose(id) } else { None };
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
            self.retries = (self.retries + RETRY_PART.0).min(RETRY_PART.1);
        }
        let class = request.request.class;
        let check_ms = self.settings.classes[class].aim_ms * CHECK_PART;
        let attempt = request.attempts;
        (request.attempts, request.out, request.last) = (attempt + 1, true, Some(server.clone()));
        let mut place = (0, 0);
        if let Some(s) = self.servers.get_mut(&server) {
            place = (s.entry.zone, s.entry.cell);
            s.out += 1;
            s.cold.level -= 1.0;
        }
        self.occupied += slots;
        let record =
            Attempt { server: server.clone(), place, sent: self.now, slots, class, cancelled: false };
        self.attempts.insert((id, attempt), record);
        out.push(Action::Send { id, server, cap_ms: 0.0 });
        out.push(Action::Wake { after_ms: check_ms, token: token(id, WAKE_CHECK) });
    }

    /// A long body is on its way, at the pace of whoever reads or writes it: its server has done its work, or
    /// begins later, so that it takes no room from the others, and no deadline calls it off.
    fn on_streaming(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        let Some(record) = self.attempts.get_mut(&(id, request.attempts.saturating_sub(1))) else { return };
        self.occupied = (self.occupied - std::mem::take(&mut record.slots)).max(0.0);
    }

    /// Books the end of an attempt: slots, server health, latency, true units.
    fn on_attempt_ended(&mut self, id: RequestId, n: u32, outcome: Outcome, took: Millis) {
        let Some(attempt) = self.attempts.remove(&(id, n)) else { return };
        self.occupied = (self.occupied - attempt.slots).max(0.0);
        if outcome == Outcome::Cancelled {
            self.ghosts.add(self.now, attempt.slots);
        }
        let aim = self.settings.classes[attempt.class].aim_ms;
        let proved = matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
        // One called off because its client left says nothing of its server.
        if !proved && (outcome != Outcome::Cancelled || attempt.cancelled) {
            // One heavy request says no more than that it missed its aim: a mean of clipped values is not
            // driven by a few. Guards against heavy tails and stuck servers throttling everyone.
            self.own.add(self.now, (took / aim).min(1.0));
            self.latency.add(self.now, (took / aim).min(1.0));
        }
        if outcome == Outcome::Ok {
            self.done.add(self.now, 1.0);
            self.aims.add(self.now, aim);
            self.usual += if self.usual > 0.0 { NEWEST_USUAL } else { 1.0 } * (took - self.usual);
        }
        self.full.add(self.now, if outcome == Outcome::Full { 1.0 } else { 0.0 });
        if let Some(s) = self.servers.get_mut(&attempt.server) {
            s.out = s.out.saturating_sub(1);
            s.note(self.now, outcome, took, attempt.cancelled);
        }
        if let Some(r) = self.requests.get_mut(&id) {
            r.out = false;
            if !proved && r.may_have_run.is_none() {
                r.may_have_run = Some((attempt.sent, attempt.place.0, attempt.place.1));
            }
        }
    }

    /// Goes on after an attempt ended: another attempt where it is safe and paid for, else an end.
    fn after_attempt(&mut self, id: RequestId, outcome: Outcome, settled: bool, out: &mut Vec<Action>) {
        if settled || outcome == Outcome::Ok {
            return drop(self.close(id, out));
        }
        let repeat = self.requests.get(&id).is_some_and(|r| self.may_repeat(r)) && self.retries >= 1.0;
        if !repeat {
            return self.end(id, out);
        }
        self.retries -= 1.0;
        self.dispatch(id, out);
    }

    /// Whether the rules and the time left allow another attempt.
    fn may_repeat(&self, request: &Open) -> bool {
        let class = &self.settings.classes[request.request.class];
        let late = self.now - request.arrived > class.aim_ms && class.late_worth <= 0.0;
        let spent = request.attempts >= self.settings.max_attempts || self.now >= request.deadline;
        if request.out || request.streaming || late || spent {
            return false;
        }
        // A wake-up comes up to one round late.
        let at = self.now + self.settings.round_ms;
        let since = request.may_have_run.map(|(sent, ..)| sent);
        planted::is_active(Fault::Effect) || may_retry(at, repeated(class), since).is_ok()
    }

    /// Gives the final answer: a refusal where nothing can have run, else a failure that promises nothing.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.withdraw(id, true, out) else { return };
        let safe = self.settings.classes[request.request.class].effect == Effect::Safe;
        if safe || (request.may_have_run.is_none() && !request.out) {
            out.push(Action::Refuse { id, retry_ms: self.advice(&request.request) });
        } else {
            out.push(Action::Fail { id });
        }
    }

    /// Closes a request and calls off what is out for it. Where its client has left, the server is not to
    /// blame, and what may take effect goes on to its end.
    fn withdraw(&mut self, id: RequestId, late: bool, out: &mut Vec<Action>) -> Option<Open> {
        let request = self.close(id, out)?;
        let class = &self.settings.classes[request.request.class];
        if request.out && self.settings.may_cancel && (late || class.effect == Effect::Safe) {
            let attempt = request.attempts - 1;
            self.attempts.entry((id, attempt)).and_modify(|a| a.cancelled |= late);
            out.push(Action::Cancel { id, attempt });
        }
        Some(request)
    }

    /// When a refused client may come back: once the quota has given as much as it asks for; without a quota
    /// on the rate, after the time that a request may be held.
    fn advice(&self, request: &Request) -> Millis {
        let rate = self.settings.plans[request.plan].rate;
        let hold_ms = self.settings.classes[request.class].aim_ms * HOLD_PART;
        f64::from(self.settings.may_advise) * if rate > 0.0 { 1000.0 * request.units / rate } else { hold_ms }
    }

    /// Takes a request off the books and tells its keeper what it really used.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<Open> {
        let open = self.requests.remove(&id)?;
        self.settle_ahead(&open);
        let Some(keeper) = open.keeper else { return Some(open) };
        let units = open.request.units;
        let used = if open.attempts == 0 { 0.0 } else { open.true_units.unwrap_or(units) };
        let done = Done { id, used: used as f32 };
        if keeper == self.settings.position {
            // Nobody asks about it again: its record goes at once, whatever the pace of requests.
            self.on_done((keeper, self.incarnation, id), done.used);
            self.grants.remove(&(keeper, self.incarnation, id));
        } else if used != units || self.settings.plans[open.request.plan].open > 0 {
            self.tell(keeper, Line::Done(done), true, out);
        }
        Some(open)
    }

    /// Sends held requests on, the oldest first, and ends those whose time runs short.
    fn pump(&mut self, out: &mut Vec<Action>) {
        for _ in 0..self.held.len() {
            let Some(id) = self.held.pop_front() else { return };
            let Some(request) = self.requests.get_mut(&id).filter(|r| r.held) else { continue };
            let hold_ms = self.settings.classes[request.request.class].aim_ms * HOLD_PART;
            let short = request.attempts == 0 && self.now - request.let_in > hold_ms;
            request.held = false;
            // A repeat that was held may have outlived the time in which servers drop it: asked again here.
            if short || self.lapsed(&self.requests[&id]) || !self.may_repeat(&self.requests[&id]) {
                self.end(id, out);
            } else if !self.try_send(id, out) {
                return self.held.push_front(id);
            }
        }
    }

    fn on_wake(&mut self, wake: u64, out: &mut Vec<Action>) {
        if wake == WAKE_STEP {
            return self.step(out);
        }
        if wake == WAKE_MAIL {
            self.mail_due = false;
            return self.send_mail(out);
        }
        let id = (wake >> 3) as RequestId;
        let Some(request) = self.requests.get(&id).filter(|r| !r.streaming) else { return };
        match wake & 7 {
            WAKE_DEADLINE if self.now >= request.deadline => self.end(id, out),
            // Nothing is earned after the aim: ending now frees the server and saves the price of a late end.
            WAKE_AIM if self.settings.classes[request.request.class].late_worth <= 0.0 => self.end(id, out),
            WAKE_CHECK => self.check_silence(id, out),
            WAKE_WORD => self.check_word(id, out),
            _ => {}
        }
    }

    /// Guards against servers that take work and answer nothing (hang, vanish, cut link): an attempt at a
    /// server that has shown no life since it was sent is called off and sent elsewhere. It may harm where a
    /// server is merely idle and the request heavy; the retry budget bounds that.
    fn check_silence(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.out) else { return };
        let attempt = request.attempts - 1;
        let class = &self.settings.classes[request.request.class];
        let Some(record) = self.attempts.get_mut(&(id, attempt)) else { return };
        if self.now - record.sent < class.aim_ms * CHECK_PART - 1.0 || record.cancelled {
            return;
        }
        let Some(server) = self.servers.get_mut(&record.server) else { return };
        if server.last_answer >= record.sent {
            return;
        }
        let after_ms = server.latency(self.now, self.usual) * SLOW_TIMES - (self.now - record.sent);
        if after_ms > 1.0 {
            return out.push(Action::Wake { after_ms, token: token(id, WAKE_CHECK) });
        }
        // What a silent server holds takes no room from the others.
        self.occupied = (self.occupied - std::mem::take(&mut record.slots)).max(0.0);
        let repeats = class.effect != Effect::Unsafe && request.attempts < self.settings.max_attempts;
        if repeats && self.settings.may_cancel && self.retries >= 1.0 {
            record.cancelled = true;
            out.push(Action::Cancel { id, attempt });
        } else {
            server.silent(self.now);
        }
    }

    // ---- CASA: classes, slots, feedback ----

    fn set_bounds(&mut self) {
        let mut sorted: Vec<f64> = self.units.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        if let Some(last) = sorted.len().checked_sub(1) {
            self.bounds = [0.0, sorted[last / 4], sorted[last / 2], sorted[last * 3 / 4]];
        }
    }

    /// Slots that a request occupies: alpha * l / lmax + 1.
    fn slots(&self, units: f64) -> f64 {
        let lower = self.bounds.iter().rev().find(|b| units >= **b).copied().unwrap_or(0.0);
        (self.limit / self.big - 1.0) * lower / self.bounds[3].max(1e-9) + 1.0
    }

    /// Slots out, with those called off a moment ago: a cancel need not stop the work.
    fn busy_slots(&self) -> f64 {
        self.occupied + self.ghosts.value(self.now)
    }

    /// One step of the feedback. The limit moves first and numBigQueries in proportion, so that alpha
    /// moves by the damped feedback alone.
    fn feedback(&mut self) {
        // Smoothed latency over the target, minus one, plus the share refused as full.
        let full = self.full.value(self.now).unwrap_or(0.0);
        let error = self.latency.value(self.now).map_or(-1.0, |l| l / AIM_PART - 1.0) + full;
        let (held, admitted) = (self.hold_rate.rate(self.now), self.admit_rate.rate(self.now));
        let before = self.limit;
        // Little's law: what the back end finishes in the target time; more than that out only waits there.
        let target_s = AIM_PART * self.aims.value(self.now) / self.done.value(self.now).max(1.0) / 1000.0;
        let least = LEAST_SLOTS * self.servers.len() as f64 / f64::from(self.settings.limiters);
        let bound = (self.done.rate(self.now) * target_s).max(least).max(2.0);
        if error > 0.0 {
            self.limit = self.limit.min(bound);
        } else if self.busy_slots() * 2.0 > self.limit {
            self.limit = (self.limit * (1.0 + LIMIT_GROWTH)).max(bound).min(START_LIMIT);
        }
        let factor = if error > 0.0 { held } else { admitted } / (held + admitted + 1.0);
        self.big = (self.big * self.limit / before - error * factor * STEP_MS / FULL_STEP_MS)
            .clamp((self.limit / (MOST_ALPHA + 1.0)).max(1.0), self.limit);
    }

    fn step(&mut self, out: &mut Vec<Action>) {
        self.stepped = self.now;
        self.respan();
        // Over all that served of late: the first of a fleet to come back is not all there is.
        let serving = self.servers.values().filter(|s| s.entry.condition == Condition::Serving).count();
        self.fleet = (self.fleet * (1.0 - STEP_MS / FLEET_MS)).max(serving as f64);
        // A cold one's part comes from those limiters alone whose own it is.
        let users_part = self.order.len() as f64 / self.choices().max(1) as f64;
        self.pace = users_part * self.wanted.rate(self.now) / self.fleet.max(1.0);
        self.set_bounds();
        self.feedback();
        self.pump(out);
        out.extend(self.servers.iter_mut().filter_map(|(id, s)| s.watch(id)).map(Action::Log));
        self.drop_idle();
        self.look_ahead(out);
        out.extend(self.watch_firms().map(Action::Log));
        out.push(Action::Wake { after_ms: STEP_MS, token: WAKE_STEP });
    }

    /// One limiter of hundreds sees a few requests a second: rates and latency go over enough of them.
    fn respan(&mut self) {
        let per_ms = self.admit_rate.rate(self.now) / 1000.0;
        let span = (SAMPLES / per_ms.max(1e-9)).clamp(SMOOTH_MS.0, SMOOTH_MS.1);
        let Limiter { own, latency, full, done, aims, hold_rate, admit_rate, now, .. } = self;
        let means = [own, latency, full].into_iter().flat_map(|m| [&mut m.sum, &mut m.count]);
        for fading in means.chain([done, aims, hold_rate, admit_rate]) {
            fading.respan(*now, span);
        }
    }

    // ---- Quotas and ceilings: the member ----

    /// The chance by which summed demand passes the quota refuses at once. It also keeps a flood of one
    /// customer from drowning its keeper in asks; what is refused so is told with the next ask. So is a
    /// stranger refused while new names come too fast to be remembered.
    fn thinned(&mut self, request: &Request) -> bool {
        let now = self.now;
        let chance_in = self.rng.f64();
        let Some(c) = self.customer(request) else { return true };
        if now - c.told_at > TOLD_MS {
            c.unasked = 0.0;
            return false;
        }
        let refuse = chance_in < 1.0 - ASK_OVER / f64::from(c.told).max(1e-9);
        c.unasked += if refuse { request.units as f32 } else { 0.0 };
        refuse
    }

    /// Spends from a part owned here while the first keeper's store has room, and tells it: to wait for its
    /// word would only cost time. The part is the even one, under a ceiling that of the ceiling.
    fn spend(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).map(|open| open.request.clone()) else { return };
        let (me, plan) = (self.settings.position, &self.settings.plans[request.plan]);
        let first = keeper(request.customer, (request.first, request.spread), self.settings.limiters, 0);
        let Some(first) = first.filter(|k| *k != me && self.settings.may_tell && plan.open == 0) else {
            return self.ask(id, out);
        };
        let (units, (rate, most)) = (request.units, even(plan, request.spread));
        let (part, plenty) = (self.room_part(ROOM_PART, request.customer), self.plenty(&request));
        let Some(c) = self.customers.get_mut(&request.customer) else { return };
        c.even.fill(self.now, rate, if plan.ceiling_rate > 0.0 { most } else { most.max(units) });
        // A part that never holds such a request is none: a hundred members would each let one through.
        let own = plenty || (most >= units && c.even.level >= units);
        let (least, usual) = (plan.burst * part, c.known);
        let room = own && c.room - units >= least;
        let more = room && c.room - 2.0 * units >= least && c.even.level >= 2.0 * units;
        let mut line = self.ask_of(&request);
        self.expect_like(&request, more, out);
        // What cannot be told is not spent unasked: its keeper would grant the same units again.
        if !room || !self.may_post(first, &Line::Ask(line), usual) {
            let ways = [Self::dispatch, Self::end, Self::ask];
            return ways[self.spend_ahead(id) as usize](self, id, out);
        }
        if let Some(c) = self.customers.get_mut(&request.customer) {
            (c.even.level, c.room) = (c.even.level - units, c.room - units);
        }
        self.requests.entry(id).and_modify(|r| r.keeper = Some(first));
        line.spent = true;
        self.tell(first, Line::Ask(line), usual, out);
        self.dispatch(id, out);
    }

    pub(crate) fn ask_of(&self, request: &Request) -> Ask {
        Ask {
            id: request.id,
            customer: request.customer,
            plan: request.plan as u8,
            first: request.first as u16,
            spread: request.spread as u16,
            units: request.units as f32,
            unasked: self.customers.get(&request.customer).map_or(0.0, |c| c.unasked),
            spent: false,
        }
    }

    /// Asks the first keeper that is not silent; where none is left, the even part decides.
    fn ask(&mut self, id: RequestId, out: &mut Vec<Action>) {
        loop {
            let Some(open) = self.requests.get(&id) else { return };
            let request = &open.request;
            let aim = self.settings.classes[request.class].aim_ms;
            let silent = |k: u32| {
                let missed = self.missed.get(&k);
                missed.is_some_and(|m| m.misses >= SILENT_MISSES && self.now - m.at < SILENT_MS)
            };
            let set = (request.first, request.spread);
            let Some(keeper) = keeper(request.customer, set, self.settings.limiters, open.rank)
                .filter(|_| self.now - open.arrived < WORD_PART * aim)
            else {
                return self.by_even_part(id, out);
            };
            let ask = self.ask_of(request);
            let usual = self.customers.get(&request.customer).is_some_and(|c| c.known);
            if keeper == self.settings.position {
                // A later keeper's part of a ceiling is small, and it is a member too.
                let last = open.rank == 0 || self.settings.plans[request.plan].ceiling_rate <= 0.0;
                let word = self.judge(keeper, self.incarnation, &ask);
                if let Some(word) = word.filter(|word| word.granted || last) {
                    return self.on_word(keeper, &word, out);
                }
            } else if self.settings.may_tell
                && !silent(keeper)
                && self.may_post(keeper, &Line::Ask(ask), usual)
            {
                let now = self.now;
                self.requests.entry(id).and_modify(|r| (r.asked, r.asks) = (Some((keeper, now)), r.asks + 1));
                let after_ms = self.wait_ms * LATE_TIMES + 2.0 * self.settings.round_ms;
                out.push(Action::Wake { after_ms, token: token(id, WAKE_WORD) });
                return self.tell(keeper, Line::Ask(ask), usual, out);
            }
            self.requests.entry(id).and_modify(|r| (r.rank, r.asks) = (r.rank + 1, 0));
        }
    }

    /// A late word is asked for again, then the next keeper is asked. Guards against lost messages, and
    /// keepers that are dead, stalled or cut off.
    fn check_word(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let late = self.wait_ms * LATE_TIMES;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some((keeper, at)) = open.asked else { return };
        // The usual wait has grown since the ask: without another look a lost word would never be missed.
        if self.now - at < late {
            let after_ms = at + late - self.now + self.settings.round_ms;
            return out.push(Action::Wake { after_ms, token: token(id, WAKE_WORD) });
        }
        let missed = self.missed.entry(keeper).or_insert(Missed { misses: 0, at });
        *missed = Missed { misses: missed.misses + 1, at: self.now };
        open.asked = None;
        if open.asks >= ASKS {
            (open.rank, open.asks) = (open.rank + 1, 0);
        }
        self.ask(id, out);
    }

    /// Takes a keeper's word in, wherever it comes in time.
    fn on_word(&mut self, from: u32, word: &Word, out: &mut Vec<Action>) {
        if let Some(c) = self.customers.get_mut(&word.customer) {
            (c.told, c.told_at, c.unasked) = (word.over, self.now, 0.0);
            c.room = f64::from(word.left);
        }
        self.word_ahead(from, word);
        let own = from == self.settings.position;
        let waits = |r: &&mut Open| r.attempts == 0 && r.keeper.is_none() && (own || r.asked.is_some());
        let Some(open) = self.requests.get_mut(&word.id).filter(waits) else { return };
        if let Some((_, at)) = open.asked.take().filter(|a| a.0 == from) {
            // Counted from the first ask (RFC 6298, 3): a word just after a repeat answers the first one,
            // and waits taken for short would soon be asked again before any word can have come.
            let before = f64::from(open.asks - 1) * self.wait_ms * LATE_TIMES;
            let took = self.now - at + before;
            self.wait_ms = (self.wait_ms + NEWEST_WAIT * (took - self.wait_ms)).max(WAIT_MS.1);
        }
        open.let_in = self.now;
        open.keeper = word.granted.then_some(from);
        if !word.granted || self.lapsed(&self.requests[&word.id]) {
            self.end(word.id, out);
        } else {
            self.dispatch(word.id, out);
        }
    }

    /// No keeper answers: the even part of rate and burst, one request at least; under a cap on attempts out
    /// alone, its even part in the time of one aim. A member's part of a ceiling may be less than a request:
    /// then it is spent on the chance that it makes of one, so that the members' parts are not passed on the
    /// whole, however many ask at once (randomised rounding).
    fn by_even_part(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let chance = self.rng.f64();
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (request, units) = (&open.request, open.request.units);
        let plan = &self.settings.plans[request.plan];
        let Some(c) = self.customers.get_mut(&request.customer) else { return };
        let ceiled = plan.ceiling_rate > 0.0;
        let (mut rate, mut most) = even(plan, request.spread);
        if rate <= 0.0 {
            most = f64::from(plan.open) * units / f64::from(request.spread);
            rate = most * 1000.0 / self.settings.classes[request.class].aim_ms;
        }
        c.even.fill(self.now, rate, if ceiled { most } else { most.max(units) });
        let enough = c.even.level >= units || (ceiled && chance * units < c.even.level);
        c.even.level = if enough || ceiled { (c.even.level - units).max(0.0) } else { c.even.level };
        if !enough {
            return self.end(id, out);
        }
        open.let_in = self.now;
        self.dispatch(id, out);
    }

    /// Units granted under a ceiling and not spent in time count no more against the keeper's depth.
    fn lapsed(&self, open: &Open) -> bool {
        let ceiled = self.settings.plans[open.request.plan].ceiling_rate > 0.0;
        open.attempts == 0 && ceiled && self.now - open.lent_from > GRANT_MS
    }

    // ---- Quotas and ceilings: the keeper ----

    /// The keeper's word on an ask; the same again for a repeat. One that has no record, since none could
    /// go for it, is judged by what it owes and gets nothing that would have to be remembered.
    pub(crate) fn judge(&mut self, from: u32, born: u32, ask: &Ask) -> Option<Word> {
        let (now, me, from_ms) = (self.now, self.settings.position, self.ceilings_from());
        let plan = self.settings.plans.get(usize::from(ask.plan))?.clone();
        let rank = self.rank(ask)?;
        let (id, customer, key, kept) = (ask.id, ask.customer, (from, born, ask.id), self.lent.keeps(ask.id));
        let recorded = self.recorded(ask, rank);
        let mut passing = if recorded { None } else { Some(self.fresh_account(ask, rank)) };
        let Limiter { accounts, grants, lent, opened, counts, .. } = self;
        let a = passing.as_mut().or_else(|| accounts.get_mut(&customer))?;
        let word = |granted, a: &Account| {
            let (over, left) = (a.over(now, &plan), a.store.max(0.0) as f32);
            Word { id, customer, born, granted, kept, over, left }
        };
        if let Some(g) = grants.get(&key) {
            return Some(word(g.granted, a));
        }
        let units = f64::from(ask.units);
        a.refresh(now, &plan, rank, from_ms);
        let inside = plan.rate <= 0.0 || a.store >= units;
        let room = plan.open == 0 || (a.open < plan.open && recorded && opened.len() < MOST_TERMS);
        let ceiled = plan.ceiling_rate > 0.0;
        let lowest = -plan.ceiling_slack * part(&plan, a.rank);
        let under = !ceiled || (recorded && lent.len() < MOST_TERMS && a.ceiling - units >= lowest);
        // What a member has spent takes its units in any case, but from the quota alone: it had its own part
        // of the ceiling.
        let free = ask.spent || planted::is_active(Fault::Ceiling);
        let mut granted = (free || (inside && room && under)) && ask.plan == a.plan;
        // Its end must be heard of, and its repeat be known.
        let open = granted && !ask.spent && plan.open > 0;
        if recorded && (granted || from != me) {
            let any =
                |_: &GrantKey, g: &Grant| if g.open { Evictability::Pinned } else { Evictability::Lossless };
            grants.evict_if_full(any);
            let grant = Grant { customer, units, granted, open, done: !granted };
            granted &= grants.insert(now, key, grant).is_ok() || !open;
        }
        // One that asks ahead and gets nothing asks again: that is no demand.
        let asked = if granted || !is_ahead(ask.id) { units } else { 0.0 };
        a.demand += asked + f64::from(ask.unasked);
        if granted {
            a.store = (a.store - units).max(-plan.burst);
            a.let_in += units;
        }
        if granted && !ask.spent {
            a.ceiling -= units;
            if ceiled {
                a.lent += units;
                lent.lend(now, key, customer, units);
            }
            if open {
                a.open += 1;
                opened.push_back((now, key));
            }
        }
        let word = word(granted, a);
        if let Some(a) = passing {
            counts.decided_without_record += 1;
            self.carry_on(customer, &a);
        }
        Some(word)
    }

    /// A granted request has ended: its place is free, and the quota takes what it really used.
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
        let most = self.settings.plans[usize::from(a.plan)].burst;
        a.store -= f64::from(used).min(grant.units + most) - grant.units;
        // Its member says that nothing of it will be spent any more.
        if let Some(units) = self.lent.done(&key) {
            a.give_back(units);
            a.ceiling += (units - f64::from(used)).max(0.0);
        }
    }

    // ---- Messages ----

    /// Whether a line to a peer would still go out in time.
    fn may_post(&self, to: u32, line: &Line, usual: bool) -> bool {
        let wait_s = if usual { MAIL_WAIT_S.0 } else { self.stranger_wait_s(MAIL_WAIT_S.1) };
        (self.outbox.len() as f64) < (self.settings.messages_per_s * wait_s).max(2.0)
            || self.outbox.iter().any(|(p, lines)| *p == to && has_room(lines, line))
    }

    /// Puts a line into the next message to a peer, and sends what the allowance lets through. Where too
    /// much waits already, the line is lost, as any may be: an ask is repeated, units that are not given back
    /// stay spent.
    pub(crate) fn tell(&mut self, to: u32, line: Line, usual: bool, out: &mut Vec<Action>) {
        if !self.may_post(to, &line, usual) {
            return;
        }
        match self.outbox.iter_mut().find(|(p, lines)| *p == to && has_room(lines, &line)) {
            Some((_, lines)) => lines.push(line),
            None => self.outbox.push_back((to, vec![line])),
        }
        self.send_mail(out);
    }

    fn send_mail(&mut self, out: &mut Vec<Action>) {
        let rate = self.settings.messages_per_s * MAIL_PART.0;
        let most = (rate * MAIL_PART.1).max(1.0);
        self.mail.fill(self.now, rate, most);
        let share = self.own.value(self.now);
        while self.mail.level >= 1.0 {
            let Some((to, lines)) = self.next_mail(most) else { break };
            self.mail.level -= 1.0;
            out.push(Action::SendMessage { to: Some(to), body: message(self.incarnation, share, &lines) });
        }
        if !self.mail_due && !self.outbox.is_empty() && rate > 0.0 {
            self.mail_due = true;
            let lacking = self.mail_needed(most).1 - self.mail.level;
            let after_ms = (lacking * 1000.0 / rate).max(self.settings.round_ms.max(1.0));
            out.push(Action::Wake { after_ms, token: WAKE_MAIL });
        }
    }

    fn on_heard(&mut self, from: u32, body: &[u8], out: &mut Vec<Action>) {
        if from >= self.settings.limiters || from == self.settings.position {
            return;
        }
        // A peer costs what its allowance lets through, whatever it sends.
        let rate = self.settings.messages_per_s;
        let mail = self.allowance.entry(from).or_insert(Store { level: rate.max(1.0), at: self.now });
        mail.fill(self.now, rate, rate.max(1.0));
        if mail.level < 1.0 {
            return;
        }
        mail.level -= 1.0;
        let Some((born, share, lines)) = read_message(body) else { return };
        let mut words = Vec::new();
        self.missed.remove(&from);
        let older_ms = self.incarnation.wrapping_sub(born);
        self.joined |= older_ms < u32::MAX / 2 && f64::from(older_ms) >= ELDER_MS;
        share.into_iter().for_each(|share| self.latency.add(self.now, share));
        for line in lines {
            match line {
                // After a stall the members that asked have gone on: an answer would only waste units.
                Line::Ask(ask) if self.woke < self.now => {
                    words.extend(self.judge(from, born, &ask).map(Line::Word));
                }
                Line::Word(word) if word.born == self.incarnation => self.on_word(from, &word, out),
                Line::Done(done) => self.on_done((from, born, done.id), done.used),
                _ => {}
            }
        }
        // Words go at the pace of the asks taken in: paced like these, a keeper of whom many ask falls
        // behind and is asked all again. A word is shorter than its ask, so that one message holds them.
        if !words.is_empty() {
            let body = message(self.incarnation, self.own.value(self.now), &words);
            out.push(Action::SendMessage { to: Some(from), body });
        }
    }

    // ---- Servers ----

    fn on_servers(&mut self, whole: bool, entries: &[ServerEntry], out: &mut Vec<Action>) {
        let starts: Vec<Start> = entries.iter().map(|e| self.start_of(e)).collect();
        self.lists = self.lists.saturating_add(1);
        self.servers.retain(|id, _| !whole || entries.iter().any(|e| e.server == *id));
        for (e, start) in entries.iter().zip(starts) {
            if e.condition == Condition::Gone {
                self.servers.remove(&e.server);
                continue;
            }
            let now = self.now;
            let fresh = || Server::new(e.clone(), now, PACE_MS);
            let s = self.servers.entry(e.server.clone()).or_insert_with(fresh);
            if let Some(since) = start.cold_since(now, self.settings.cold_ms) {
                s.cold_from = Some(since);
                // Hundreds of limiters that each think one send harmless would push it over: each starts
                // somewhere between none and one, so that they come one after the other.
                s.cold = Store { level: self.rng.f64(), at: now };
            }
            s.entry = e.clone();
        }
        self.order = self.servers.keys().cloned().collect();
        self.pump(out);
    }

    /// What a line of the list says of its server's start. The first list of a process is the one that was handed to it, the
    /// second discovery's first: what later ones tell for the first time is news.
    fn start_of(&self, entry: &ServerEntry) -> Start {
        let before = self.servers.get(&entry.server).map(|s| s.entry.started);
        Start { told: entry.started, before, news: before.is_some() || self.lists >= FIRST_LISTS }
    }

    /// How many servers are this limiter's own: each has some limiters whose own it is.
    fn choices(&self) -> usize {
        let all = self.order.len();
        ((USERS * all as f64 / f64::from(self.settings.limiters)).max(LEAST_CHOICES) as usize).min(all)
    }

    /// The server with the least expected time among some that may have the request.
    fn choose(&mut self, id: RequestId) -> Option<ServerId> {
        let choices = self.choices();
        let Limiter { requests, servers, order, settings, rng, now, pace, usual, .. } = self;
        let (request, all) = (requests.get(&id)?, order.len());
        // Golden ratio: limiters side by side, which share customers, start far apart, and all evenly. What
        // their own servers cannot take goes to others, again far apart: a lost one's neighbours would drown.
        let from = |ratio: f64| ((f64::from(settings.position) * ratio).fract() * all as f64) as usize;
        let (start, others) = (from(0.618_034), from(0.754_878));
        let own = |at: usize| (at + all - start) % all < choices;
        let (mut best, mut seen): (Option<(f64, &ServerId)>, usize) = (None, 0);
        let others = (others..others + all).filter(|at| !own(at % all));
        for at in (start..start + choices).chain(others).map(|at| planted::count_check(at % all)) {
            let id = &order[at];
            let Some(s) = servers.get_mut(id) else { continue };
            if !s.may_have(*now, *pace, own(at), settings) || !in_group(request, s, settings) {
                continue;
            }
            let last = *now < s.aside_until || request.last.as_ref() == Some(id);
            let factor = if last { LAST_TIMES } else { 1.0 + 0.1 * rng.f64() };
            let time = s.expected(*now, *usual, settings.zone) * factor;
            if best.is_none_or(|b| time < b.0) {
                best = Some((time, id));
            }
            seen += usize::from(!last);
            if seen == choices && !planted::is_active(Fault::Sweep) {
                break;
            }
        }
        best.map(|b| b.1.clone())
    }
}

impl Server {
    /// Its own latency as far as its answers are enough to trust, else the usual one of all servers.
    fn latency(&self, now: Millis, usual: Millis) -> Millis {
        let trust = if self.latency > 0.0 { self.heard.value(now) } else { 0.0 };
        (self.latency * trust + usual * TRUST) / (trust + TRUST)
    }

    /// Time that one more request is expected to take there.
    fn expected(&self, now: Millis, usual: Millis, zone: u32) -> f64 {
        let latency = self.latency(now, usual).max(1.0);
        let cross = if self.entry.zone == zone { 1.0 } else { CROSS_ZONE };
        let load = f64::from(self.out + 1) / self.entry.weight.max(LEAST_WEIGHT);
        load * latency * cross * (1.0 + 4.0 * self.errors)
    }

    fn note(&mut self, now: Millis, outcome: Outcome, took: Millis, cancelled: bool) {
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            (self.silences, self.last_answer) = (0, now);
            self.heard.add(now, 1.0);
        }
        match outcome {
            Outcome::Ok => {
                self.errors *= 1.0 - NEWEST;
                if now >= self.aside_until {
                    self.aside_for = 0.0;
                }
                self.latency += if self.latency > 0.0 { NEWEST } else { 1.0 } * (took - self.latency);
            }
            Outcome::Error => {
                self.errors += NEWEST * (1.0 - self.errors);
                if self.errors >= BAD_ERRORS {
                    self.errors = BAD_ERRORS / 2.0;
                    self.set_aside(now, "failing");
                }
            }
            Outcome::Full => self.full_until = now + FULL_MS,
            Outcome::Cancelled if !cancelled => {}
            Outcome::NotSent => {}
            _ => self.silent(now),
        }
    }

    fn silent(&mut self, now: Millis) {
        self.silences += 1;
        if self.silences >= BAD_SILENCES {
            self.set_aside(now, "silent");
        }
    }

    /// Silent at every attempt of late, with one more out to show whether it lives.
    fn falls_silent(&self) -> bool {
        self.silences >= BAD_SILENCES && self.out > 0
    }

    fn set_aside(&mut self, now: Millis, why: &'static str) {
        if now >= self.aside_until {
            self.aside_for = (self.aside_for * 2.0).clamp(ASIDE_MS.0, ASIDE_MS.1);
            self.aside_until = now + self.aside_for;
            self.aside_why = Some(why);
        }
    }

    /// Whether anything new may go there now: serving, not full, and within a cold one's part.
    fn may_have(&mut self, now: Millis, pace: f64, own: bool, settings: &Settings) -> bool {
        let serves = self.entry.condition == Condition::Serving || planted::is_active(Fault::Drain);
        if !serves || now < self.full_until || self.falls_silent() {
            return false;
        }
        let Some(from) = self.cold_from.filter(|_| !planted::is_active(Fault::Cold)) else { return true };
        let age = (now - from) / settings.cold_ms.max(1.0);
        if age >= 1.0 {
            self.cold_from = None;
            return true;
        }
        // A warm server's pace times the capacity reached, and up to twice it, since warm ones are half busy
        // as a rule and cold ones carry a fleet that is replaced. Half the multiple is for heavier requests.
        let share = settings.cold_share + (1.0 - settings.cold_share) * age.max(0.0);
        self.cold.fill(now, pace * share * (settings.fall_multiple / 2.0).min(2.0), 1.0);
        own && self.cold.level >= 1.0
    }
}

/// What a second execution of a class's request would do, in the terms of the permission.
fn repeated(class: &Class) -> marldeal_permit::Effect {
    match class.effect {
        Effect::Safe => marldeal_permit::Effect::Safe,
        Effect::Keyed => marldeal_permit::Effect::Keyed { window_ms: class.window_ms },
        Effect::Unsafe => marldeal_permit::Effect::Unsafe,
    }
}

/// A keyed request that may have run stays in the group of servers that drops its repeats.
fn in_group(request: &Open, server: &Server, settings: &Settings) -> bool {
    let class = &settings.classes[request.request.class];
    match (class.effect, request.may_have_run) {
        (Effect::Keyed, Some((_, zone, cell))) => match class.group {
            KeyGroup::All => true,
            KeyGroup::Zone => server.entry.zone == zone,
            KeyGroup::Cell => server.entry.cell == cell,
        },
        _ => true,
    }
}
