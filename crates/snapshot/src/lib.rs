//! What a limiter knows, as versioned and bounded bytes, and what a reader believes of it by its age.
//!
//! The bytes say which version wrote them, for which settings, and when; what is cut, garbled, too large, of another
//! version or of other settings is refused whole, with the reason. What is whole is believed by its [`SnapshotKind`] and age. It
//! does *not* read a clock, open a socket or touch the decision module: bytes and moments are arguments.
//!
//! ```
//! use marldeal_snapshot::{assess, Assessment, SnapshotKind, ReadError, Snapshot};
//! # use fawnhill::{Limiter, Settings};
//! # let settings = Settings {
//! #     limiters: 1, position: 0, zone: 0, classes: vec![], plans: vec![], round_ms: 1.0,
//! #     max_attempts: 3, connect_timeout_ms: 250.0, may_probe: false, may_tell: false, may_cancel: true,
//! #     may_advise: false, messages_per_s: 0.0, must_subscribe: false, cold_share: 0.2, cold_ms: 10_000.0,
//! #     fall_multiple: 3.0, fall_ms: 2000.0, firms: 10_000,
//! # };
//! let limiter = Limiter::new(settings.clone(), 42, 0.0)?;
//! let snapshot = Snapshot { kind: SnapshotKind::Final, written_ms: 500.0, next_request: 7, knowledge: limiter.export_state(500.0) };
//! let bytes = snapshot.to_bytes(&settings);
//! let read = Snapshot::from_bytes(&bytes, &settings).expect("what was written");
//! assert!(matches!(assess(read, 510.0), Assessment::SameLimiter { .. }));
//! assert_eq!(Snapshot::from_bytes(&bytes[..40], &settings), Err(ReadError::Truncated));
//! # Ok::<(), String>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;

use fawnhill::limiter_state::LimiterState;
use fawnhill::{Millis, RequestId, Settings};
use serde::{Deserialize, Serialize};

/// Says that these are a snapshot's bytes.
const MARK: [u8; 4] = *b"MDSN";
/// This version of what follows the head. Another one is not read: an upkind that changes it starts cautiously.
pub const VERSION: u16 = 1;
/// Mark, version, fingerprint of the settings, length, checksum.
const HEAD: usize = 4 + 2 + 4 + 4 + 4;
/// Most bytes of a snapshot: some 50,000 records.
pub const MAX_BYTES: usize = 4 << 20;
/// Knowledge older than this is not believed at all, in milliseconds.
pub const MAX_AGE_MS: Millis = 60_000.0;
/// Errors and silence of a server fade over this time.
const HEALTH_MS: Millis = 10_000.0;
/// A last snapshot that is older tells of a reader that slept: what it was told to go on with is not so any more.
const LAST_MS: Millis = 5000.0;

/// What the writer did after it wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotKind {
    /// It went on granting and spending.
    Running,
    /// It had stopped before it wrote: the reader goes on in its place.
    Final,
}

/// What a limiter knew at a moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// What the writer did then.
    pub kind: SnapshotKind,
    /// When, in milliseconds of Unix time.
    pub written_ms: Millis,
    /// The writer's requests have numbers below this.
    pub next_request: RequestId,
    /// What it knew.
    pub knowledge: LimiterState,
}

/// Why bytes are no snapshot to go by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// They end before they should, or go on.
    Truncated,
    /// They do not begin as one.
    NotASnapshot,
    /// Another version wrote them.
    Version(u16),
    /// They were written under other settings.
    Settings,
    /// There are more of them than may be.
    TooLarge(usize),
    /// The checksum does not fit them, or they make no sense.
    Corrupt(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReadError::Truncated => f.write_str("the snapshot did not come whole"),
            ReadError::NotASnapshot => f.write_str("these bytes are no snapshot"),
            ReadError::Version(v) => write!(f, "the snapshot is of version {v}, {VERSION} is expected"),
            ReadError::Settings => f.write_str("the snapshot was written under other settings"),
            ReadError::TooLarge(n) => write!(f, "the snapshot has {n} bytes, {MAX_BYTES} at most are read"),
            ReadError::Corrupt(what) => write!(f, "the snapshot is garbled: {what}"),
        }
    }
}

impl Snapshot {
    /// As bytes, for a reader under the same settings.
    pub fn to_bytes(&self, settings: &Settings) -> Vec<u8> {
        let mut kept = self.clone();
        loop {
            // Nothing in it cannot be written; what cannot be is told as nothing, which a reader refuses.
            let body = postcard::to_stdvec(&kept).unwrap_or_default();
            if HEAD + body.len() <= MAX_BYTES {
                let mut bytes = Vec::with_capacity(HEAD + body.len());
                bytes.extend_from_slice(&MARK);
                bytes.extend_from_slice(&VERSION.to_be_bytes());
                bytes.extend_from_slice(&fingerprint(settings).to_be_bytes());
                bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
                bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
                bytes.extend_from_slice(&body);
                return bytes;
            }
            // The accounts come last to go: what they tell is not known elsewhere.
            let k = &mut kept.knowledge;
            k.customers.truncate(k.customers.len() / 2);
            k.grants.truncate(k.grants.len() / 2);
            if k.customers.len() + k.grants.len() < 1000 {
                k.accounts.truncate(k.accounts.len() / 2);
                k.servers.truncate(k.servers.len() / 2);
            }
        }
    }

    /// Reads bytes whole or not at all.
    ///
    /// # Errors
    /// Why nothing of them is believed.
    pub fn from_bytes(bytes: &[u8], settings: &Settings) -> Result<Snapshot, ReadError> {
        if bytes.len() > MAX_BYTES {
            return Err(ReadError::TooLarge(bytes.len()));
        }
        if bytes.len() < MARK.len() || bytes[..MARK.len()] != MARK {
            return Err(ReadError::NotASnapshot);
        }
        let Some((head, body)) = bytes.split_at_checked(HEAD) else { return Err(ReadError::Truncated) };
        let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let version = u16::from_be_bytes([head[4], head[5]]);
        if version != VERSION {
            return Err(ReadError::Version(version));
        }
        if word(6) != fingerprint(settings) {
            return Err(ReadError::Settings);
        }
        if body.len() != word(10) as usize {
            return Err(ReadError::Truncated);
        }
        if crc32fast::hash(body) != word(14) {
            return Err(ReadError::Corrupt("the checksum does not fit".to_string()));
        }
        let read: Snapshot = postcard::from_bytes(body).map_err(|e| ReadError::Corrupt(e.to_string()))?;
        read.knowledge.fits(settings).map_err(ReadError::Corrupt)?;
        if !read.written_ms.is_finite() {
            return Err(ReadError::Corrupt("the moment makes no sense".to_string()));
        }
        Ok(read)
    }
}

/// Tells settings apart: indexes of plans and classes mean something only under their own.
fn fingerprint(settings: &Settings) -> u32 {
    crc32fast::hash(format!("{settings:?}").as_bytes())
}

/// What a reader makes of a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub enum Assessment {
    /// It is the same limiter from now on.
    SameLimiter {
        /// As of now.
        knowledge: LimiterState,
        /// Its requests have numbers from here on.
        next_request: RequestId,
    },
    /// It starts anew, and knows this of servers, rates and demand.
    Hints {
        /// As of now, discounted.
        knowledge: LimiterState,
    },
    /// It starts anew.
    Expired {
        /// How old the snapshot is, in milliseconds.
        age_ms: Millis,
    },
}

/// Requests that a writer may still number after its last snapshot.
const NUMBERS_APART: RequestId = 1 << 20;

/// What is believed at `now` (Unix time in milliseconds). Clocks that went back count as no age.
pub fn assess(snapshot: Snapshot, now: Millis) -> Assessment {
    let age_ms = (now - snapshot.written_ms).max(0.0);
    let mut knowledge = snapshot.knowledge;
    match snapshot.kind {
        _ if age_ms > MAX_AGE_MS => Assessment::Expired { age_ms },
        SnapshotKind::Final if age_ms <= LAST_MS => {
            later(&mut knowledge, age_ms);
            Assessment::SameLimiter {
                knowledge,
                next_request: snapshot.next_request.wrapping_add(NUMBERS_APART),
            }
        }
        SnapshotKind::Running | SnapshotKind::Final => {
            later(&mut knowledge, age_ms);
            discount(&mut knowledge, age_ms);
            Assessment::Hints { knowledge }
        }
    }
}

/// The same, told so much later.
fn later(k: &mut LimiterState, ms: Millis) {
    k.started.0 += ms;
    let fade = |(sum, span): &mut (f64, Millis)| *sum *= (-ms / *span).exp();
    for (_, s) in &mut k.servers {
        s.ejected.0 = (s.ejected.0 - ms).max(0.0);
        s.full = (s.full - ms).max(0.0);
        s.since_answer += ms;
        fade(&mut s.answers);
        if let Some((since, level)) = &mut s.cold {
            *since += ms;
            level.1 += ms;
        }
    }
    for (_, c) in &mut k.customers {
        c.equal_share.1 += ms;
        c.demand.1 += ms;
    }
    k.accounts.iter_mut().for_each(|(_, a)| a.ago += ms);
    k.leased.iter_mut().for_each(|(ago, ..)| *ago += ms);
    k.open_grants.iter_mut().for_each(|(ago, _)| *ago += ms);
    for (_, cells) in &mut k.deficits {
        cells.iter_mut().for_each(|(_, owes)| *owes -= ms);
        cells.retain(|(_, owes)| *owes > 0.0);
    }
    let f = &mut k.feedback;
    f.means.iter_mut().for_each(|(sum, count)| {
        fade(sum);
        fade(count);
    });
    f.rates.iter_mut().for_each(fade);
}

/// What an old word on a server or a customer is still worth.
fn discount(k: &mut LimiterState, ms: Millis) {
    let stays = (-ms / HEALTH_MS).exp();
    for (_, s) in &mut k.servers {
        s.errors *= stays;
        s.answers.0 *= stays;
        s.silences = (f64::from(s.silences) * stays) as u32;
        // What its part held has been spent by others meanwhile, as far as is known here.
        if let Some((_, level)) = &mut s.cold {
            *level = (0.0, 0.0);
        }
    }
    for (_, c) in &mut k.customers {
        // What filled up meanwhile was there to be spent meanwhile.
        c.equal_share.1 = 0.0;
        c.store_left = 0.0;
    }
}
