//! The state of a limiter as plain data that another process can take over. Times are relative to the export,
//! so that the two clocks need not agree. What a reader accepts of it is decided in `marldeal-snapshot`, what
//! it means in `policy.rs`.

use serde::{Deserialize, Serialize};

use crate::interface::*;
use crate::state::*;

/// Maximum number of exported customer records, and of accounts; of the others only the deficits are exported.
const MAX_RECORDS: usize = 20_000;

/// A decaying sum: its current value and its span.
type DecayedSum = (f64, Millis);
/// A token bucket: its level, and the age of that level.
type Level = (f64, Millis);
/// A deficit sketch: its seed, and the remaining time of each cell.
type Sketch = (u64, Vec<(u32, Millis)>);

/// Exported state of a limiter. Fields are encoded by position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimiterState {
    /// Time since the limiter's start, and its incarnation.
    pub started: (Millis, u32),
    /// Servers by id.
    pub servers: Vec<(String, ServerState)>,
    /// Records of customers as a member.
    pub customers: Vec<(CustomerId, CustomerState)>,
    /// Accounts of customers as a quota owner.
    pub accounts: Vec<(CustomerId, AccountState)>,
    /// Grants given as a quota owner: position and incarnation of the member, its request, customer, units, and
    /// whether it was granted, counts as open, and is done.
    pub grants: Vec<(u32, u32, RequestId, CustomerId, f64, [bool; 3])>,
    /// Units leased under ceilings: age, customer, units.
    pub leased: Vec<(Millis, CustomerId, f64)>,
    /// Open grants: age and key.
    pub open_grants: Vec<(Millis, (u32, u32, RequestId))>,
    /// Deficits of evicted customers: equal shares, stores, ceilings.
    pub deficits: [Sketch; 3],
    /// State of the feedback.
    pub feedback: FeedbackState,
}

/// State of a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerState {
    /// Smoothed latency in milliseconds.
    pub latency: Millis,
    /// Smoothed error rate.
    pub errors: f64,
    /// Consecutive silent attempts.
    pub silences: u32,
    /// Remaining ejection, and length of the last ejection.
    pub ejected: (Millis, Millis),
    /// Remaining time for which the server counts as full.
    pub full: Millis,
    /// Time since its last answer.
    pub since_answer: Millis,
    /// Time since it counts as cold, and its cold-start bucket.
    pub cold: Option<(Millis, Level)>,
    /// Recent answers.
    pub answers: DecayedSum,
}

/// A member's record of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CustomerState {
    /// The equal share.
    pub equal_share: Level,
    /// Units in the quota owner's store by the last reply.
    pub store_left: f64,
    /// Demand as a multiple of the quota by the last reply, and the age of that reply.
    pub demand: (f32, Millis),
    /// Units refused by chance since the last ask.
    pub unreported: f32,
    /// Number of limiters in its set.
    pub spread: u16,
    /// Index of its plan.
    pub plan: u8,
    /// Seen more than once.
    pub seen_before: bool,
}

/// A quota owner's account of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AccountState {
    /// Age of the levels.
    pub ago: Millis,
    /// Units in the store, in the owner's part of the ceiling, and leased under it.
    pub levels: [f64; 3],
    /// Decayed sums of units asked for and units granted.
    pub rates: [f64; 2],
    /// Requests that are granted and not done.
    pub open: u32,
    /// Index of its plan.
    pub plan: u8,
    /// Rank of the quota owner.
    pub rank: u8,
}

/// State of the feedback.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedbackState {
    /// Slot limit and numBigQueries.
    pub limit: [f64; 2],
    /// Means of own latency, overall latency and refusals as full: sum and count.
    pub means: [(DecayedSum, DecayedSum); 3],
    /// Good answers, their target latencies, hold rate, admit rate, cancelled slots, attempts due.
    pub rates: [DecayedSum; 6],
    /// Typical latency, attempts per server, recent servers, reply wait, retry budget.
    pub figures: [f64; 5],
    /// Units of recent requests.
    pub units: Vec<f64>,
}

impl LimiterState {
    /// Checks that the state can belong to these settings.
    ///
    /// # Errors
    /// The first value that does not fit.
    pub fn validate(&self, settings: &Settings) -> Result<(), String> {
        let plans = settings.plans.len();
        let finite = |x: &f64| x.is_finite();
        let customer = |(_, c): &(CustomerId, CustomerState)| {
            usize::from(c.plan) < plans
                && c.spread > 0
                && finite(&c.equal_share.0)
                && finite(&c.equal_share.1)
                && finite(&c.store_left)
        };
        let account = |(_, a): &(CustomerId, AccountState)| {
            let values = a.levels.iter().chain(&a.rates).chain([&a.ago]);
            usize::from(a.plan) < plans && a.rank < 3 && values.into_iter().all(finite)
        };
        let server =
            |(_, s): &(String, ServerState)| finite(&s.latency) && finite(&s.errors) && finite(&s.answers.0);
        let f = &self.feedback;
        let values = f.limit.iter().chain(&f.figures).chain(&f.units);
        let sums = f.means.iter().flat_map(|(a, b)| [a, b]).chain(&f.rates);
        let spans = sums.clone().all(|(value, span)| finite(value) && finite(span) && *span > 0.0);
        match () {
            () if !self.customers.iter().all(customer) => {
                Err("a customer record has an unknown plan, no limiters or a value that is not finite"
                    .to_string())
            }
            () if !self.accounts.iter().all(account) => {
                Err("an account has an unknown plan or rank or a value that is not finite".to_string())
            }
            () if !self.servers.iter().all(server) => {
                Err("a server has a value that is not finite".to_string())
            }
            () if !spans || !values.into_iter().all(finite) => {
                Err("the feedback has a value that is not finite or a span that is not positive".to_string())
            }
            () => Ok(()),
        }
    }
}

fn decayed_sum(f: &DecayingSum, now: Millis) -> DecayedSum {
    (f.value(now), f.span)
}

fn decaying_sum((sum, span): DecayedSum, now: Millis) -> DecayingSum {
    DecayingSum { sum, at: now, span }
}

fn decaying_mean((sum, count): (DecayedSum, DecayedSum), now: Millis) -> DecayingMean {
    DecayingMean { sum: decaying_sum(sum, now), count: decaying_sum(count, now) }
}

impl Limiter {
    /// The listed servers, in the order of their ids.
    pub fn server_entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.iter().map(|server| &server.entry)
    }

    /// The state at `now`. Of customers beyond a bound only the deficits are exported.
    pub fn export_state(&self, now: Millis) -> LimiterState {
        let ago = |at: Millis| now - at;
        let mut deficits = [&self.deficits.equal_shares, &self.deficits.stores, &self.deficits.ceilings]
            .map(|d| d.remaining(now));
        let (customers, more_customers): (Vec<_>, Vec<_>) =
            self.customers.iter().enumerate().partition(|(n, _)| *n < MAX_RECORDS);
        let (accounts, more_accounts): (Vec<_>, Vec<_>) =
            self.accounts.iter().enumerate().partition(|(n, _)| *n < MAX_RECORDS);
        if !more_customers.is_empty() || !more_accounts.is_empty() {
            let mut all = self.deficits.clone();
            more_customers
                .iter()
                .for_each(|(_, (id, c))| all.equal_shares.record(&(**id, c.plan), c.full_at(&self.settings)));
            for (_, (id, a)) in more_accounts {
                let (store, ceiling) =
                    a.full_at(&self.settings.plans[usize::from(a.plan)], self.ceilings_from());
                all.stores.record(&(*id, a.plan), store);
                all.ceilings.record(&(*id, a.plan), ceiling);
            }
            deficits = [&all.equal_shares, &all.stores, &all.ceilings].map(|d| d.remaining(now));
        }
        let means = [&self.own_latency, &self.latency, &self.refused_full];
        let rates = [
            &self.completed,
            &self.completed_targets,
            &self.hold_rate,
            &self.admit_rate,
            &self.cancelled_slots,
            &self.attempt_demand,
        ];
        LimiterState {
            started: (ago(self.started_at), self.incarnation),
            servers: self
                .servers
                .iter()
                .map(|s| (s.entry.server.to_string(), server_state(s, now)))
                .collect(),
            customers: customers.into_iter().map(|(_, (id, c))| (*id, customer_state(c, now))).collect(),
            accounts: accounts.into_iter().map(|(_, (id, a))| (*id, account_state(a, now))).collect(),
            grants: self
                .grants
                .iter()
                .map(|(k, g)| (k.0, k.1, k.2, g.customer, g.units, [g.granted, g.open, g.done]))
                .collect(),
            leased: self.leases.export().map(|(at, customer, units)| (ago(at), customer, units)).collect(),
            open_grants: self.open_grants.iter().map(|(at, key)| (ago(*at), *key)).collect(),
            deficits,
            feedback: FeedbackState {
                limit: [self.slot_limit, self.num_big_queries],
                means: means.map(|m| (decayed_sum(&m.sum, now), decayed_sum(&m.count, now))),
                rates: rates.map(|r| decayed_sum(r, now)),
                figures: [
                    self.typical_latency,
                    self.attempts_per_server,
                    self.recent_servers,
                    self.reply_wait_ms,
                    self.retry_budget,
                ],
                units: self.recent_units.iter().copied().collect(),
            },
        }
    }

    /// Replaces this limiter's state by an exported one as of `now`; the server list stays its own. With
    /// `same_limiter` the exporter has stopped and this process continues in its place, also towards its peers.
    /// Otherwise accounts start as at any start.
    pub fn import_state(&mut self, now: Millis, state: &LimiterState, same_limiter: bool) {
        let at = |ago: Millis| now - ago;
        if same_limiter {
            (self.started_at, self.incarnation) = (at(state.started.0), state.started.1);
            self.older_peer_seen = true;
            for (id, a) in &state.accounts {
                let [store, ceiling, leased] = a.levels;
                let [demand, admitted] = a.rates;
                let account = Account {
                    at: at(a.ago),
                    store,
                    ceiling,
                    leased,
                    demand,
                    admitted,
                    open: a.open,
                    plan: a.plan,
                    rank: a.rank,
                };
                let _ = self.accounts.insert(now, *id, account);
            }
            for (from, incarnation, id, customer, units, [granted, open, done]) in &state.grants {
                let grant =
                    Grant { customer: *customer, units: *units, granted: *granted, open: *open, done: *done };
                let _ = self.grants.insert(now, (*from, *incarnation, *id), grant);
            }
            self.leases
                .import(state.leased.iter().map(|(ago, customer, units)| (at(*ago), *customer, *units)));
            self.open_grants = state.open_grants.iter().map(|(ago, key)| (at(*ago), *key)).collect();
            let [equal_shares, stores, ceilings] = &state.deficits;
            self.deficits.equal_shares.restore(now, equal_shares);
            self.deficits.stores.restore(now, stores);
            self.deficits.ceilings.restore(now, ceilings);
        }
        for (id, c) in &state.customers {
            // The exporter may still spend its share of a ceiling.
            let has_ceiling = self.settings.plans[usize::from(c.plan)].ceiling_rate > 0.0;
            let equal_share = if same_limiter || !has_ceiling {
                (c.equal_share.0, at(c.equal_share.1))
            } else {
                (0.0, now)
            };
            let customer = Customer {
                equal_share: TokenBucket { level: equal_share.0, at: equal_share.1 },
                store_left: c.store_left,
                demand_at: at(c.demand.1),
                demand: c.demand.0,
                unreported: c.unreported,
                spread: c.spread,
                plan: c.plan,
                seen_before: c.seen_before,
            };
            let _ = self.customers.insert(now, *id, customer);
        }
        for (id, server) in &state.servers {
            let import = |s: &mut Server| import_server(s, server, now);
            self.servers.update(self.now, id, import);
        }
        let f = &state.feedback;
        [self.slot_limit, self.num_big_queries] = f.limit;
        [self.own_latency, self.latency, self.refused_full] = f.means.map(|m| decaying_mean(m, now));
        [
            self.completed,
            self.completed_targets,
            self.hold_rate,
            self.admit_rate,
            self.cancelled_slots,
            self.attempt_demand,
        ] = f.rates.map(|r| decaying_sum(r, now));
        [
            self.typical_latency,
            self.attempts_per_server,
            self.recent_servers,
            self.reply_wait_ms,
            self.retry_budget,
        ] = f.figures;
        self.recent_units = f.units.iter().copied().collect();
    }
}

fn import_server(s: &mut Server, state: &ServerState, now: Millis) {
    let at = |ago: Millis| now - ago;
    (s.latency, s.errors, s.silences) = (state.latency, state.errors, state.silences);
    (s.ejected_until, s.ejection_ms) = (now + state.ejected.0, state.ejected.1);
    (s.full_until, s.last_answer) = (now + state.full, at(state.since_answer));
    s.answers = decaying_sum(state.answers, now);
    // The server list may report a later start, whose bucket is still empty.
    if let (Some((ago, (level, level_ago))), Some(from)) = (state.cold, s.cold_since) {
        if at(ago) + 1.0 >= from {
            s.cold_bucket = TokenBucket { level, at: at(level_ago) };
        }
    }
}

fn server_state(s: &Server, now: Millis) -> ServerState {
    ServerState {
        latency: s.latency,
        errors: s.errors,
        silences: s.silences,
        ejected: ((s.ejected_until - now).max(0.0), s.ejection_ms),
        full: (s.full_until - now).max(0.0),
        since_answer: now - s.last_answer,
        cold: s.cold_since.map(|from| (now - from, (s.cold_bucket.level, now - s.cold_bucket.at))),
        answers: decayed_sum(&s.answers, now),
    }
}

fn customer_state(c: &Customer, now: Millis) -> CustomerState {
    CustomerState {
        equal_share: (c.equal_share.level, now - c.equal_share.at),
        store_left: c.store_left,
        demand: (c.demand, now - c.demand_at),
        unreported: c.unreported,
        spread: c.spread,
        plan: c.plan,
        seen_before: c.seen_before,
    }
}

fn account_state(a: &Account, now: Millis) -> AccountState {
    AccountState {
        ago: now - a.at,
        levels: [a.store, a.ceiling, a.leased],
        rates: [a.demand, a.admitted],
        open: a.open,
        plan: a.plan,
        rank: a.rank,
    }
}
