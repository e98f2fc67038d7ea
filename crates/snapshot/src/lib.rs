//! Encodes a limiter's state for its successor as versioned bytes of bounded size, and decides by its age how much of
//! it the successor may use.
//!
//! The encoding names its version, the settings it was written under and the time of writing. The age is measured on the
//! monotonic clock that both processes share; a wall clock may be stepped between them. Bytes that are truncated,
//! corrupt, too large, of another version or of other settings are rejected as a whole, with the reason. An intact
//! snapshot is used according to its [`SnapshotKind`] and its age. This crate reads no clock, opens no socket and does
//! not call the decision module: bytes and times are arguments.
//!
//! ```
//! use marldeal_snapshot::moments::{MonotonicTime, WallTime};
//! use marldeal_snapshot::{assess, Assessment, ReadError, Snapshot, SnapshotKind};
//! # use fawnhill::{Limiter, Settings};
//! # let settings = Settings {
//! #     limiters: 1, position: 0, zone: 0, classes: vec![], plans: vec![], round_ms: 1.0,
//! #     max_attempts: 3, connect_timeout_ms: 250.0, may_probe: false, may_tell: false, may_cancel: true,
//! #     may_advise: false, messages_per_s: 0.0, must_subscribe: false, cold_share: 0.2, cold_ms: 10_000.0,
//! #     fall_multiple: 3.0, fall_ms: 2000.0, firms: 10_000,
//! # };
//! let limiter = Limiter::new(settings.clone(), 42, 0.0)?;
//! let state = limiter.export_state(500.0);
//! let snapshot = Snapshot {
//!     kind: SnapshotKind::Final,
//!     wall_time: WallTime::from_unix_millis(500.0),
//!     next_request: 7,
//!     state,
//!     written_at: Some(MonotonicTime::from_millis(20.0)),
//!     server_list: None,
//!     unfinished: Vec::new(),
//! };
//! let bytes = snapshot.to_bytes(&settings);
//! let read = Snapshot::from_bytes(&bytes, &settings).expect("bytes just encoded");
//! assert!(matches!(assess(read, MonotonicTime::from_millis(30.0)), Assessment::SameLimiter { .. }));
//! assert_eq!(Snapshot::from_bytes(&bytes[..40], &settings), Err(ReadError::Truncated));
//! # Ok::<(), String>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod moments;
pub mod server_list;

use std::fmt;

use fawnhill::limiter_state::LimiterState;
use fawnhill::{Millis, RequestId, Settings};
use moments::{MonotonicTime, WallTime};
use serde::{Deserialize, Serialize};
use server_list::ServerList;

/// The first bytes of each snapshot.
const MAGIC: [u8; 4] = *b"MDSN";
/// Version of the encoding after the header. Other versions are not read: after an upgrade that changes it, the new
/// process starts without the old one's state.
pub const VERSION: u16 = 1;
/// Length of the header in bytes: magic bytes, version, fingerprint of the settings, body length, checksum.
const HEADER_LEN: usize = 4 + 2 + 4 + 4 + 4;
/// Maximum size of an encoded snapshot in bytes; holds about 50,000 records.
pub const MAX_BYTES: usize = 4 << 20;
/// Maximum number of unfinished requests in a snapshot that is too large otherwise.
const MAX_UNFINISHED: usize = 10_000;
/// A snapshot older than this is not used at all, in milliseconds.
pub const MAX_AGE_MS: Millis = 60_000.0;
/// Time constant, in milliseconds, of the decay of a server's error rate and unanswered attempts.
const HEALTH_DECAY_MS: Millis = 10_000.0;
/// Maximum age, in milliseconds, of a final snapshot whose reader continues as the same limiter. A larger age means
/// that the reader stalled, and the state has changed since.
const MAX_FINAL_AGE_MS: Millis = 5000.0;

/// Whether the writer went on after it wrote the snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotKind {
    /// The writer went on granting and spending quota units.
    Running,
    /// The writer had stopped before it wrote; the reader continues in its place.
    Final,
}

/// A limiter's state at one point in time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Whether the writer went on afterwards.
    pub kind: SnapshotKind,
    /// Time of writing by the writer's wall clock, for readers of releases that measure the age by it.
    pub wall_time: WallTime,
    /// All request IDs that the writer has assigned are below this.
    pub next_request: RequestId,
    /// The state.
    pub state: LimiterState,
    /// Time of writing; none from a release that did not write it. Encoded behind the other fields, where older
    /// readers ignore it.
    #[serde(skip)]
    pub written_at: Option<MonotonicTime>,
    /// The servers that the writer knows; none from a release that did not write them. Encoded last, and only behind the
    /// time of writing.
    #[serde(skip)]
    pub server_list: Option<ServerList>,
    /// Correlation ids of requests that the writer may still run, or that may have run without an answer. Encoded behind the
    /// server list, and only with it.
    #[serde(skip)]
    pub unfinished: Vec<Vec<u8>>,
}

/// Why bytes were rejected as a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// Their number differs from the length in the header.
    Truncated,
    /// They do not start with the magic bytes.
    NotASnapshot,
    /// They have this other version.
    Version(u16),
    /// They were written under other settings.
    Settings,
    /// This many bytes exceed [`MAX_BYTES`].
    TooLarge(usize),
    /// The checksum does not match, or the content is invalid, with the details.
    Corrupt(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReadError::Truncated => f.write_str("snapshot is incomplete or has trailing bytes"),
            ReadError::NotASnapshot => f.write_str("data is not a snapshot"),
            ReadError::Version(v) => write!(f, "snapshot has version {v}, expected {VERSION}"),
            ReadError::Settings => f.write_str("snapshot was written under different settings"),
            ReadError::TooLarge(n) => write!(f, "snapshot has {n} bytes, the maximum is {MAX_BYTES}"),
            ReadError::Corrupt(reason) => write!(f, "snapshot is corrupt: {reason}"),
        }
    }
}

impl Snapshot {
    /// Encodes the snapshot for a reader with the same settings, dropping records until it fits [`MAX_BYTES`].
    pub fn to_bytes(&self, settings: &Settings) -> Vec<u8> {
        let mut reduced = self.clone();
        loop {
            // Encoding these types does not fail. If it did, the body would be empty, and a reader would reject it.
            let mut body = postcard::to_stdvec(&reduced).unwrap_or_default();
            if let Some(written_at) = reduced.written_at {
                body.extend(postcard::to_stdvec(&written_at).unwrap_or_default());
                if let Some(server_list) = &reduced.server_list {
                    body.extend(postcard::to_stdvec(server_list).unwrap_or_default());
                    body.extend(postcard::to_stdvec(&reduced.unfinished).unwrap_or_default());
                }
            }
            if HEADER_LEN + body.len() <= MAX_BYTES {
                let mut bytes = Vec::with_capacity(HEADER_LEN + body.len());
                bytes.extend_from_slice(&MAGIC);
                bytes.extend_from_slice(&VERSION.to_be_bytes());
                bytes.extend_from_slice(&fingerprint(settings).to_be_bytes());
                bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
                bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
                bytes.extend_from_slice(&body);
                return bytes;
            }
            reduced.drop_records();
        }
    }

    /// Drops some of the records. Accounts are dropped late, as no other limiter has their contents, then the deficits of
    /// customers without a record. The server list goes last, since without it the reader would send requests to servers
    /// that drain. Leases and open grants, whose numbers the decision module bounds, stay.
    fn drop_records(&mut self) {
        let state = &mut self.state;
        state.customers.truncate(state.customers.len() / 2);
        state.grants.truncate(state.grants.len() / 2);
        self.unfinished.truncate(MAX_UNFINISHED);
        if state.customers.len() + state.grants.len() >= 1000 {
            return;
        }
        state.accounts.truncate(state.accounts.len() / 2);
        state.servers.truncate(state.servers.len() / 2);
        if !state.accounts.is_empty() || !state.servers.is_empty() {
            return;
        }
        if state.deficits.iter().all(|(_, cells)| cells.is_empty()) {
            self.server_list = None;
        }
        state.deficits.iter_mut().for_each(|(_, cells)| cells.truncate(cells.len() / 2));
    }

    /// Decodes a snapshot, as a whole or not at all.
    ///
    /// # Errors
    /// The reason for which the bytes are rejected.
    pub fn from_bytes(bytes: &[u8], settings: &Settings) -> Result<Snapshot, ReadError> {
        if bytes.len() > MAX_BYTES {
            return Err(ReadError::TooLarge(bytes.len()));
        }
        if bytes.len() < MAGIC.len() || bytes[..MAGIC.len()] != MAGIC {
            return Err(ReadError::NotASnapshot);
        }
        let Some((head, body)) = bytes.split_at_checked(HEADER_LEN) else { return Err(ReadError::Truncated) };
        let u32_at = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let version = u16::from_be_bytes([head[4], head[5]]);
        if version != VERSION {
            return Err(ReadError::Version(version));
        }
        if u32_at(6) != fingerprint(settings) {
            return Err(ReadError::Settings);
        }
        if body.len() != u32_at(10) as usize {
            return Err(ReadError::Truncated);
        }
        if crc32fast::hash(body) != u32_at(14) {
            return Err(ReadError::Corrupt("the checksum does not match".to_string()));
        }
        let read = decode(body).map_err(|e| ReadError::Corrupt(e.to_string()))?;
        read.state.validate(settings).map_err(ReadError::Corrupt)?;
        let times_are_finite =
            read.wall_time.unix_millis().is_finite() && read.written_at.is_none_or(MonotonicTime::is_finite);
        if !times_are_finite {
            return Err(ReadError::Corrupt("the time of writing is not a finite number".to_string()));
        }
        if !read.server_list.as_ref().is_none_or(ServerList::is_finite) {
            return Err(ReadError::Corrupt("the server list has a value that is not finite".to_string()));
        }
        Ok(read)
    }

    /// Takes the server list out, brought forward to `now`; none if there is none, or if the snapshot has expired.
    pub fn take_server_list(&mut self, now: MonotonicTime) -> Option<ServerList> {
        let age_ms = self.age_ms(now);
        let mut list = self.server_list.take().filter(|_| age_ms <= MAX_AGE_MS)?;
        list.advance(age_ms);
        Some(list)
    }

    /// Age at `now`. A `now` before the time of writing counts as age 0, and so does a snapshot without a monotonic time:
    /// its writer sends it over a connection as soon as it is written.
    fn age_ms(&self, now: MonotonicTime) -> Millis {
        self.written_at.map_or(0.0, |written_at| now.since(written_at))
    }
}

/// Decodes the body. A release that did not write the monotonic time, the server list or the unfinished requests ends
/// before it.
fn decode(body: &[u8]) -> postcard::Result<Snapshot> {
    let (mut read, rest) = postcard::take_from_bytes::<Snapshot>(body)?;
    if rest.is_empty() {
        return Ok(read);
    }
    let (written_at, rest) = postcard::take_from_bytes(rest)?;
    read.written_at = Some(written_at);
    if rest.is_empty() {
        return Ok(read);
    }
    let (server_list, rest) = postcard::take_from_bytes(rest)?;
    read.server_list = Some(server_list);
    if !rest.is_empty() {
        read.unfinished = postcard::from_bytes(rest)?;
    }
    Ok(read)
}

/// A checksum of the settings: indexes of plans and classes are valid only under the settings they were written with.
fn fingerprint(settings: &Settings) -> u32 {
    crc32fast::hash(format!("{settings:?}").as_bytes())
}

/// How a reader may use a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub enum Assessment {
    /// The reader continues as the same limiter.
    SameLimiter {
        /// The writer's state, brought forward to the present.
        state: LimiterState,
        /// First request ID that the reader assigns.
        next_request: RequestId,
    },
    /// The reader starts as a new limiter, with this state of servers, rates and demand.
    Hints {
        /// The writer's state, brought forward to the present and discounted by age.
        state: LimiterState,
    },
    /// The reader starts as a new limiter without any state.
    Expired {
        /// Age of the snapshot, in milliseconds.
        age_ms: Millis,
    },
}

/// Number of request IDs skipped after a final snapshot, because the writer may still assign some of them.
const REQUEST_ID_GAP: RequestId = 1 << 20;

/// Decides how the state in a snapshot is used at `now`.
pub fn assess(snapshot: Snapshot, now: MonotonicTime) -> Assessment {
    let age_ms = snapshot.age_ms(now);
    let mut state = snapshot.state;
    match snapshot.kind {
        _ if age_ms > MAX_AGE_MS => Assessment::Expired { age_ms },
        SnapshotKind::Final if age_ms <= MAX_FINAL_AGE_MS => {
            advance(&mut state, age_ms);
            Assessment::SameLimiter {
                state,
                next_request: snapshot.next_request.wrapping_add(REQUEST_ID_GAP),
            }
        }
        SnapshotKind::Running | SnapshotKind::Final => {
            advance(&mut state, age_ms);
            discount(&mut state, age_ms);
            Assessment::Hints { state }
        }
    }
}

/// Brings the state forward by `elapsed_ms`: times grow older, rates decay.
fn advance(state: &mut LimiterState, elapsed_ms: Millis) {
    state.started.0 += elapsed_ms;
    let decay = |(sum, span): &mut (f64, Millis)| *sum *= (-elapsed_ms / *span).exp();
    for (_, server) in &mut state.servers {
        server.ejected.0 = (server.ejected.0 - elapsed_ms).max(0.0);
        server.full = (server.full - elapsed_ms).max(0.0);
        server.since_answer += elapsed_ms;
        decay(&mut server.answers);
        if let Some((since, level)) = &mut server.cold {
            *since += elapsed_ms;
            level.1 += elapsed_ms;
        }
    }
    for (_, customer) in &mut state.customers {
        customer.equal_share.1 += elapsed_ms;
        customer.demand.1 += elapsed_ms;
    }
    state.accounts.iter_mut().for_each(|(_, a)| a.ago += elapsed_ms);
    state.leased.iter_mut().for_each(|(ago, ..)| *ago += elapsed_ms);
    state.open_grants.iter_mut().for_each(|(ago, _)| *ago += elapsed_ms);
    for (_, cells) in &mut state.deficits {
        cells.iter_mut().for_each(|(_, remaining_ms)| *remaining_ms -= elapsed_ms);
        cells.retain(|(_, remaining_ms)| *remaining_ms > 0.0);
    }
    let feedback = &mut state.feedback;
    feedback.means.iter_mut().for_each(|(sum, count)| {
        decay(sum);
        decay(count);
    });
    feedback.rates.iter_mut().for_each(decay);
}

/// Reduces what may have changed since the snapshot: errors of servers decay, allowances count as spent.
fn discount(state: &mut LimiterState, elapsed_ms: Millis) {
    let remaining = (-elapsed_ms / HEALTH_DECAY_MS).exp();
    for (_, server) in &mut state.servers {
        server.errors *= remaining;
        server.answers.0 *= remaining;
        server.silences = (f64::from(server.silences) * remaining) as u32;
        // Others may have spent this server's slow-start allowance since the snapshot.
        if let Some((_, level)) = &mut server.cold {
            *level = (0.0, 0.0);
        }
    }
    for (_, customer) in &mut state.customers {
        // The writer may have spent what was refilled since the snapshot.
        customer.equal_share.1 = 0.0;
        customer.store_left = 0.0;
    }
}
