//! What a limiter knows about a server by its answers: its expected time, its ejection, and whether and in which
//! order it may get a request.

use crate::interface::*;
use crate::planted::{self, Fault};
use crate::state::Server;

/// Weight of the newest sample in a server's smoothed latency and errors.
const NEWEST_WEIGHT: f64 = 0.2;
/// Smoothed error rate at which a server is ejected.
const EJECT_ERROR_FRACTION: f64 = 0.4;
/// Consecutive silent attempts at which a server is ejected.
const EJECT_SILENCES: u32 = 3;
/// First and longest ejection; the time doubles in between.
const MIN_EJECTION_MS: Millis = 1000.0;
const MAX_EJECTION_MS: Millis = 8000.0;
/// Time for which a full server gets no requests.
const FULL_SERVER_PAUSE_MS: Millis = 100.0;
/// Minimum weight of a server.
pub(crate) const MIN_WEIGHT: f64 = 0.1;
/// Factor on the expected time in another zone: a mild preference for the own zone.
const CROSS_ZONE_FACTOR: f64 = 1.05;
/// Recent answers of a server at which its own latency weighs as much as the typical one.
const TRUSTED_ANSWERS: f64 = 3.0;
/// Recent answers, times the latency in milliseconds, that no longer change the latency as a 64-bit number.
const NEGLIGIBLE_ANSWERS: f64 = 1e-17;

/// A number with a total order.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ordered(pub f64);

impl Ord for Ordered {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Ordered {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Ordered {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Ordered {}

/// The factors of a server's expected time beside its latency. Ejected servers with equal factors and the
/// typical latency have exactly the same expected time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimeFactors {
    /// The product of all factors, by which the servers are ordered.
    pub product: Ordered,
    pub load: Ordered,
    pub zone: Ordered,
    pub errors: Ordered,
}

/// Whether and in which order a server may get a request, as of the last change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Standing {
    /// It gets none: it drains, is silent, or is full.
    Closed,
    /// It accepts requests.
    Open,
    /// It is cold: a share of its capacity is counted from check to check.
    Cold,
    /// It is ejected, the last choice, and its latency is the typical one.
    Ejected(TimeFactors),
    /// It is ejected, and its own answers count in its latency.
    EjectedWithAnswers,
}

/// The latency of a server without recent answers.
pub(crate) fn typical_latency_ms(typical: Millis) -> Millis {
    (typical * TRUSTED_ANSWERS / TRUSTED_ANSWERS).max(1.0)
}

impl Server {
    /// The server's own latency, weighted by its recent answers, against the typical latency of all servers.
    pub(crate) fn latency(&self, now: Millis, typical: Millis) -> Millis {
        let trust = if self.latency > 0.0 { self.answers.value(now) } else { 0.0 };
        (self.latency * trust + typical * TRUSTED_ANSWERS) / (trust + TRUSTED_ANSWERS)
    }

    /// Size relative to other servers.
    pub(crate) fn weight(&self) -> f64 {
        self.entry.weight.max(MIN_WEIGHT)
    }

    /// Expected time of one more request at this server.
    pub(crate) fn expected_ms(&self, now: Millis, typical: Millis, zone: u32) -> f64 {
        let latency = self.latency(now, typical).max(1.0);
        let factors = self.time_factors(zone);
        factors.load.0 * latency * factors.zone.0 * factors.errors.0
    }

    fn time_factors(&self, zone: u32) -> TimeFactors {
        let cross = if self.entry.zone == zone { 1.0 } else { CROSS_ZONE_FACTOR };
        let load = f64::from(self.outstanding + 1) / self.weight();
        let errors = 1.0 + 4.0 * self.errors;
        let [product, load, zone, errors] = [load * cross * errors, load, cross, errors].map(Ordered);
        TimeFactors { product, load, zone, errors }
    }

    /// Until when its own answers count in the latency: later, the latency is exactly the typical one.
    fn answers_count_until(&self) -> Millis {
        if self.latency <= 0.0 {
            return f64::NEG_INFINITY;
        }
        let ratio = self.answers.sum * self.latency.max(1.0) / NEGLIGIBLE_ANSWERS;
        self.answers.at + self.answers.span * ratio.ln() + 1.0
    }

    /// Whether the server list states that it accepts requests.
    pub(crate) fn is_listed_as_serving(&self) -> bool {
        self.entry.condition == Condition::Serving
    }

    /// Whether and in which order it may get a request, and until when that holds unless it changes.
    pub(crate) fn standing(&self, now: Millis, zone: u32) -> (Standing, Millis) {
        if !self.is_listed_as_serving() || self.is_silent() {
            return (Standing::Closed, f64::INFINITY);
        }
        if now < self.full_until {
            return (Standing::Closed, self.full_until);
        }
        if self.cold_since.is_some() {
            return (Standing::Cold, f64::INFINITY);
        }
        let is_ejected = now < self.ejected_until;
        if !is_ejected {
            return (Standing::Open, f64::INFINITY);
        }
        let answers_count_until = self.answers_count_until();
        if now >= answers_count_until {
            (Standing::Ejected(self.time_factors(zone)), self.ejected_until)
        } else {
            (Standing::EjectedWithAnswers, self.ejected_until.min(answers_count_until))
        }
    }

    /// Takes the end of an attempt into account. `cancelled`: this limiter cancelled it for its silence.
    pub(crate) fn record_outcome(&mut self, now: Millis, outcome: Outcome, took: Millis, cancelled: bool) {
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            (self.silences, self.last_answer) = (0, now);
            self.answers.add(now, 1.0);
        }
        match outcome {
            Outcome::Ok => {
                self.errors *= 1.0 - NEWEST_WEIGHT;
                if now >= self.ejected_until {
                    self.ejection_ms = 0.0;
                }
                self.latency += if self.latency > 0.0 { NEWEST_WEIGHT } else { 1.0 } * (took - self.latency);
            }
            Outcome::Error => {
                self.errors += NEWEST_WEIGHT * (1.0 - self.errors);
                if self.errors >= EJECT_ERROR_FRACTION {
                    self.errors = EJECT_ERROR_FRACTION / 2.0;
                    self.eject(now, "failing");
                }
            }
            Outcome::Full => self.full_until = now + FULL_SERVER_PAUSE_MS,
            Outcome::Cancelled if !cancelled => {}
            Outcome::NotSent => {}
            _ => self.record_silence(now),
        }
    }

    pub(crate) fn record_silence(&mut self, now: Millis) {
        self.silences += 1;
        if self.silences >= EJECT_SILENCES {
            self.eject(now, "silent");
        }
    }

    /// Handles that the server has begun a response.
    pub(crate) fn record_sign_of_life(&mut self, now: Millis) {
        (self.silences, self.last_answer) = (0, now);
    }

    /// Whether all recent attempts were silent, with one more outstanding that probes the server.
    pub(crate) fn is_silent(&self) -> bool {
        self.silences >= EJECT_SILENCES && self.outstanding > self.streaming
    }

    fn eject(&mut self, now: Millis, reason: &'static str) {
        if now >= self.ejected_until {
            self.ejection_ms = (self.ejection_ms * 2.0).clamp(MIN_EJECTION_MS, MAX_EJECTION_MS);
            self.ejected_until = now + self.ejection_ms;
            self.ejection_reason = Some(reason);
        }
    }

    /// Whether a new request may be sent: the server serves, is not full, and a cold server's share is not used
    /// up.
    pub(crate) fn accepts(
        &mut self,
        now: Millis,
        rate: f64,
        mean_weight: f64,
        own: bool,
        settings: &Settings,
    ) -> bool {
        let serves = self.is_listed_as_serving() || planted::is_active(Fault::Drain);
        if !serves || now < self.full_until || self.is_silent() {
            return false;
        }
        let Some(from) = self.cold_since.filter(|_| !planted::is_active(Fault::Cold)) else { return true };
        let age = (now - from) / settings.cold_ms.max(1.0);
        if age >= 1.0 {
            self.cold_since = None;
            return true;
        }
        // Rate of a warm server of this size times the capacity reached so far, and up to twice that: warm servers are
        // usually half busy, and cold ones take the load while a fleet is replaced. Half of the multiple is
        // left for heavier requests.
        let share = settings.cold_share + (1.0 - settings.cold_share) * age.max(0.0);
        let rate = rate * (self.weight() / mean_weight);
        self.cold_bucket.fill(now, rate * share * (settings.fall_multiple / 2.0).min(2.0), 1.0);
        own && self.cold_bucket.level >= 1.0
    }
}
