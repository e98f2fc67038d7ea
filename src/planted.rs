//! Planted faults for rehearsals, which must find them. Without the feature `planted` there are none, and the
//! checks compile to nothing.

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// Some requests get no final answer (engine).
    Answer = 1,
    /// A keyed request is retried after its window, an unsafe one after it may have run (this crate).
    Effect = 2,
    /// Draining is ignored (this crate and the engine).
    Drain = 3,
    /// A cold server counts as warm (this crate).
    Cold = 4,
    /// A quota owner grants every ask under a ceiling (this crate).
    Ceiling = 5,
    /// A limiter that was stopped past a deadline sends the request when it resumes (engine).
    Thaw = 6,
    /// A limiter that receives from a peer after a silence handles that peer's earlier messages once more
    /// (engine).
    Echo = 7,
    /// A limiter checks every server for each request (this crate).
    Sweep = 8,
    /// A limiter notifies every peer of each change of the server list (engine).
    Shout = 9,
    /// A limiter looks for a server that accepts a request by checking one after another (this crate).
    Scan = 10,
}

impl Fault {
    /// The fault with this name, in any case.
    pub fn from_name(name: &str) -> Option<Fault> {
        let all = [
            Fault::Answer,
            Fault::Effect,
            Fault::Drain,
            Fault::Cold,
            Fault::Ceiling,
            Fault::Thaw,
            Fault::Echo,
            Fault::Sweep,
            Fault::Shout,
            Fault::Scan,
        ];
        all.into_iter().find(|f| format!("{f:?}").eq_ignore_ascii_case(name))
    }
}

#[cfg(feature = "planted")]
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

#[cfg(feature = "planted")]
static CHECKS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Counts the check of a server and returns its index.
#[cfg(feature = "planted")]
pub fn count_check(at: usize) -> usize {
    CHECKS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    at
}

/// Number of server checks by all limiters of this process.
#[cfg(feature = "planted")]
pub fn checks_counted() -> u64 {
    CHECKS.load(std::sync::atomic::Ordering::Relaxed)
}

/// Returns the index and counts nothing.
#[cfg(not(feature = "planted"))]
#[inline(always)]
pub const fn count_check(at: usize) -> usize {
    at
}

/// Activates one fault in all limiters of this process, or none.
#[cfg(feature = "planted")]
pub fn activate(fault: Option<Fault>) {
    ACTIVE.store(fault.map_or(0, |f| f as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether a fault is active.
#[cfg(feature = "planted")]
pub fn is_active(fault: Fault) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == fault as u8
}

/// Always false: no fault can be active.
#[cfg(not(feature = "planted"))]
#[inline(always)]
pub const fn is_active(_: Fault) -> bool {
    false
}
