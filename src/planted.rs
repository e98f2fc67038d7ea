//! Faults planted on purpose, for rehearsals that must find them. Without the feature `planted` there are none, and asking
//! costs nothing.

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// Now and then no final answer is given (engine).
    Answer = 1,
    /// A keyed request is sent again after its window, an unsafe one after it may have run (module).
    Effect = 2,
    /// The notice of a drain is not heeded (module and engine).
    Drain = 3,
    /// A cold server is taken for a warm one (module).
    Cold = 4,
    /// A keeper grants whatever is asked for under a ceiling (module).
    Ceiling = 5,
    /// A limiter that was stopped past a deadline sends the request on when it goes on (engine).
    Thaw = 6,
    /// A limiter that hears a peer again after a silence hears what came before it once more (engine).
    Echo = 7,
    /// A limiter looks at every server for each request (module).
    Sweep = 8,
    /// A limiter tells every peer of each change of the roster (engine).
    Shout = 9,
}

impl Fault {
    /// By its name in small letters.
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
        ];
        all.into_iter().find(|f| format!("{f:?}").eq_ignore_ascii_case(name))
    }
}

#[cfg(feature = "planted")]
static CHOSEN: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

#[cfg(feature = "planted")]
static LOOKS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Counts a look at a server; gives its place back.
#[cfg(feature = "planted")]
pub fn count_check(at: usize) -> usize {
    LOOKS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    at
}

/// Looks at servers of all limiters of this process so far.
#[cfg(feature = "planted")]
pub fn checks_counted() -> u64 {
    LOOKS.load(std::sync::atomic::Ordering::Relaxed)
}

/// Counts nothing.
#[cfg(not(feature = "planted"))]
#[inline(always)]
pub const fn count_check(at: usize) -> usize {
    at
}

/// Plants one fault in all limiters of this process, or none.
#[cfg(feature = "planted")]
pub fn activate(fault: Option<Fault>) {
    CHOSEN.store(fault.map_or(0, |f| f as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether a fault is planted.
#[cfg(feature = "planted")]
pub fn is_active(fault: Fault) -> bool {
    CHOSEN.load(std::sync::atomic::Ordering::Relaxed) == fault as u8
}

/// Whether a fault is planted: none is.
#[cfg(not(feature = "planted"))]
#[inline(always)]
pub const fn is_active(_: Fault) -> bool {
    false
}
