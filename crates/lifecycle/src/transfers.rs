//! Bounds the part of the connections that slow transfers may take: uploads and long answers that stand still or crawl. The
//! rest is kept for ordinary requests. The transfers that make the least progress are ended first.

use crate::Millis;

/// A transfer counts as slow from this age on, and while clients wait to be accepted.
const MIN_SLOW_AGE_MS: Millis = 300.0;
const MIN_SLOW_AGE_UNDER_PRESSURE_MS: Millis = 100.0;
/// An upload of which nothing has arrived for this long stands still.
const UPLOAD_STALL_MS: Millis = 100.0;
/// A download of which its client has taken nothing for this long stands still. Socket buffers hide the progress of a
/// client that reads slowly for a while.
const DOWNLOAD_STALL_MS: Millis = 3000.0;
/// A download below this rate crawls; half of what the slowest clients of the platform are allowed.
const MIN_DOWNLOAD_BYTES_PER_S: f64 = 32_000.0;
/// Time over which the rate of a transfer is taken.
const RATE_WINDOW_MS: Millis = 6000.0;
/// Fraction of the client connections, and of the server connections, that slow transfers may take.
const SLOW_FRACTION: f64 = 0.5;
/// Fraction of the server connections that all transfers together may take at a time.
const TRANSFER_FRACTION: f64 = 0.75;

/// Direction of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// A client sends the body of its request.
    Upload,
    /// A client takes its answer.
    Download,
}

/// A transfer between a client and this process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transfer {
    /// Its direction.
    pub direction: Direction,
    /// Time since it began.
    pub age_ms: Millis,
    /// Time since the client last sent or took a byte.
    pub inactive_ms: Millis,
    /// The rate at which the client sends or takes bytes, if it has been measured.
    pub bytes_per_s: Option<f64>,
    /// It holds a connection to a server.
    pub uses_server: bool,
}

/// How far a transfer is behind; greater ones are ended first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Rank {
    /// A slow upload that keeps going, by the time at which it began: the newest is ended first.
    Slow(f64),
    /// A download that crawls, by its rate.
    Crawling(f64),
    /// A transfer that stands still, by the time since its last byte.
    Stalled(Millis),
}

impl Transfer {
    fn is_slow(&self, limits: &TransferLimits) -> bool {
        self.age_ms >= limits.min_slow_age_ms
    }

    /// Whether its client does not go on with it.
    pub fn stands_still(&self) -> bool {
        let stall_ms = match self.direction {
            Direction::Upload => UPLOAD_STALL_MS,
            Direction::Download => DOWNLOAD_STALL_MS,
        };
        self.inactive_ms >= stall_ms
    }

    /// How far the transfer is behind; `None` for one that must go on: an answer that its client keeps taking.
    fn rank(&self) -> Option<Rank> {
        if self.stands_still() {
            return Some(Rank::Stalled(self.inactive_ms));
        }
        match self.direction {
            Direction::Upload => Some(Rank::Slow(-self.age_ms)),
            Direction::Download => {
                let rate = self.bytes_per_s.filter(|rate| *rate < MIN_DOWNLOAD_BYTES_PER_S)?;
                Some(Rank::Crawling(-rate))
            }
        }
    }
}

/// How many connections transfers may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TransferLimits {
    /// Age from which on a transfer counts as slow.
    pub min_slow_age_ms: Millis,
    /// Client connections of slow transfers.
    pub slow: usize,
    /// Server connections of slow transfers.
    pub slow_at_servers: usize,
    /// Server connections of all transfers.
    pub at_servers: usize,
}

impl TransferLimits {
    /// The limits of a process that may open so many connections.
    pub fn new(client_connections: usize, server_connections: usize) -> TransferLimits {
        let part = |connections: usize, fraction: f64| ((connections as f64 * fraction) as usize).max(1);
        TransferLimits {
            min_slow_age_ms: MIN_SLOW_AGE_MS,
            slow: part(client_connections, SLOW_FRACTION),
            slow_at_servers: part(server_connections, SLOW_FRACTION),
            at_servers: part(server_connections, TRANSFER_FRACTION),
        }
    }

    /// The limits while no client connection is free, so that clients may be waiting to be accepted.
    pub fn under_pressure(self) -> TransferLimits {
        TransferLimits { min_slow_age_ms: MIN_SLOW_AGE_UNDER_PRESSURE_MS, ..self }
    }
}

/// Indices of the transfers to end now: those that are furthest behind, as many as slow transfers are over the limits. A
/// download that its client keeps taking is never among them, even if the limits stay exceeded.
pub fn select_excess(transfers: &[Transfer], limits: &TransferLimits) -> Vec<usize> {
    let slow: Vec<usize> = (0..transfers.len()).filter(|at| transfers[*at].is_slow(limits)).collect();
    let slow_at_servers = slow.iter().filter(|at| transfers[**at].uses_server).count();
    let mut excess = slow.len().saturating_sub(limits.slow);
    let mut excess_at_servers = slow_at_servers.saturating_sub(limits.slow_at_servers);
    if excess == 0 && excess_at_servers == 0 {
        return Vec::new();
    }
    let mut ranked: Vec<(Rank, usize)> =
        slow.iter().filter_map(|at| Some((transfers[*at].rank()?, *at))).collect();
    ranked.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(std::cmp::Ordering::Equal));
    let mut selected = Vec::new();
    for (_, at) in ranked {
        let frees_server = transfers[at].uses_server && excess_at_servers > 0;
        if excess > 0 || frees_server {
            selected.push(at);
            excess = excess.saturating_sub(1);
            excess_at_servers = excess_at_servers.saturating_sub(usize::from(transfers[at].uses_server));
        }
    }
    selected
}

/// Measures the rate of a transfer and the time since its last byte.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TransferMeter {
    began_at: Millis,
    progress_at: Millis,
    bytes: u64,
    window_began_at: Millis,
    window_bytes: u64,
    bytes_per_s: Option<f64>,
}

impl TransferMeter {
    /// Begins to measure a transfer. `bytes` is a counter of which only the growth matters.
    pub fn new(now: Millis, bytes: u64) -> TransferMeter {
        TransferMeter {
            began_at: now,
            progress_at: now,
            bytes,
            window_began_at: now,
            window_bytes: bytes,
            bytes_per_s: None,
        }
    }

    /// Takes the present value of the counter into account.
    pub fn sample(&mut self, now: Millis, bytes: u64) {
        if bytes > self.bytes {
            (self.bytes, self.progress_at) = (bytes, now);
        }
        let window_ms = now - self.window_began_at;
        if window_ms >= RATE_WINDOW_MS {
            self.bytes_per_s = Some((bytes - self.window_bytes) as f64 * 1000.0 / window_ms);
            (self.window_began_at, self.window_bytes) = (now, bytes);
        }
    }

    /// The transfer as it stands.
    pub fn transfer(&self, now: Millis, direction: Direction, uses_server: bool) -> Transfer {
        Transfer {
            direction,
            age_ms: now - self.began_at,
            inactive_ms: now - self.progress_at,
            bytes_per_s: self.bytes_per_s,
            uses_server,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIMITS: TransferLimits =
        TransferLimits { min_slow_age_ms: 300.0, slow: 2, slow_at_servers: 1, at_servers: 2 };

    fn upload(age_ms: Millis, inactive_ms: Millis) -> Transfer {
        Transfer { direction: Direction::Upload, age_ms, inactive_ms, bytes_per_s: None, uses_server: false }
    }

    fn download(age_ms: Millis, bytes_per_s: Option<f64>) -> Transfer {
        Transfer { direction: Direction::Download, age_ms, inactive_ms: 0.0, bytes_per_s, uses_server: true }
    }

    #[test]
    fn transfers_that_stand_still_go_first_and_those_that_keep_going_last() {
        let transfers = [upload(900.0, 0.0), upload(800.0, 500.0), upload(700.0, 600.0), upload(400.0, 0.0)];
        assert_eq!(select_excess(&transfers, &LIMITS), [2, 1]);
        assert_eq!(select_excess(&transfers[..2], &LIMITS), [0; 0]);
        let young = [upload(100.0, 100.0); 9];
        assert_eq!(select_excess(&young, &LIMITS), [0; 0], "they are not known to be slow");
        assert_eq!(select_excess(&young, &LIMITS.under_pressure()).len(), 7);
    }

    #[test]
    fn answers_that_their_clients_keep_taking_are_never_ended() {
        let transfers = [download(9000.0, Some(64_000.0)), download(9000.0, None), upload(400.0, 0.0)];
        assert_eq!(select_excess(&transfers, &LIMITS), [2]);
        let crawling = [download(9000.0, Some(64_000.0)), download(9000.0, Some(16_000.0))];
        assert_eq!(select_excess(&crawling, &LIMITS), [1]);
    }

    #[test]
    fn meter_shows_rate_and_inactivity() {
        let mut meter = TransferMeter::new(0.0, 100);
        for second in 1..=7 {
            meter.sample(f64::from(second) * 1000.0, 100 + u64::from(second as u32) * 16_000);
        }
        let transfer = meter.transfer(7500.0, Direction::Download, true);
        assert_eq!((transfer.age_ms, transfer.inactive_ms), (7500.0, 500.0));
        assert_eq!(transfer.bytes_per_s, Some(16_000.0));
    }

    fn transfers() -> impl Strategy<Value = Vec<Transfer>> {
        let transfer =
            (any::<bool>(), 0.0f64..9000.0, 0.0f64..5000.0, prop::option::of(0.0f64..1e5), any::<bool>());
        let build = |(is_upload, age_ms, inactive_ms, bytes_per_s, uses_server)| Transfer {
            direction: if is_upload { Direction::Upload } else { Direction::Download },
            age_ms,
            inactive_ms,
            bytes_per_s,
            uses_server,
        };
        prop::collection::vec(transfer.prop_map(build), 0..60)
    }

    proptest! {
        /// For any transfers: no more are ended than necessary, what is left is within the limits or consists of answers
        /// that their clients keep taking, and nothing is ended while something that is further behind goes on.
        #[test]
        fn least_progress_is_ended_first_and_no_more_than_the_excess(
            transfers in transfers(),
            slow in 1usize..20,
            slow_at_servers in 1usize..20,
        ) {
            let limits = TransferLimits { min_slow_age_ms: 300.0, slow, slow_at_servers, at_servers: 40 };
            let selected = select_excess(&transfers, &limits);
            let is_left = |at: &usize| !selected.contains(at) && transfers[*at].is_slow(&limits);
            let left: Vec<usize> = (0..transfers.len()).filter(is_left).collect();
            let at_servers = left.iter().filter(|at| transfers[**at].uses_server).count();
            let may_end = |at: &usize| transfers[*at].rank().is_some();
            prop_assert!(left.len() <= slow || !left.iter().any(may_end));
            let may_end_at_server = |at: &usize| transfers[*at].uses_server && may_end(at);
            prop_assert!(at_servers <= slow_at_servers || !left.iter().any(may_end_at_server));
            let slow_count = left.len() + selected.len();
            let slow_count_at_servers = at_servers + selected.iter().filter(|at| transfers[**at].uses_server).count();
            let excess = slow_count.saturating_sub(slow) + slow_count_at_servers.saturating_sub(slow_at_servers);
            prop_assert!(selected.len() <= excess);
            for at in &selected {
                let rank = transfers[*at].rank();
                prop_assert!(rank.is_some() && transfers[*at].is_slow(&limits));
                let behind = |other: &usize| transfers[*other].uses_server && transfers[*other].rank() > rank;
                prop_assert!(!left.iter().any(behind));
            }
        }
    }
}
