//! A library that makes system calls of one process fail in ways that Linux documents. It is compiled from
//! `shim/failing_calls.c` with the C compiler that Rust links with, and loaded by `LD_PRELOAD` only into the
//! processes that a test starts.

use std::path::{Path, PathBuf};
use std::process::Command;

use tempfile::TempDir;

const SOURCE: &str = include_str!("../shim/failing_calls.c");

/// Which calls fail, and how often. Probabilities are in thousandths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailingCalls {
    /// Reads from TCP sockets return fewer bytes than are available.
    pub short_reads: u32,
    /// Writes to TCP sockets take fewer bytes than fit.
    pub short_writes: u32,
    /// Reads, writes, accepts and waits fail with EINTR.
    pub interrupted: u32,
    /// Accepts fail with ECONNABORTED, ENFILE, ENOBUFS or EMFILE.
    pub accepts: u32,
    /// Connects fail with EADDRNOTAVAIL, ENETUNREACH or ENOBUFS.
    pub connects: u32,
    /// Reads fail with ETIMEDOUT or EHOSTUNREACH.
    pub broken: u32,
    /// The process is held up before it writes to a TCP socket, for [`FailingCalls::hold_ms`], and then not for 0.25 s.
    pub held_writes: u32,
    /// How long it is held up, in milliseconds.
    pub hold_ms: u32,
    /// Number of first calls of `socket` for IPv4 that fail.
    pub first_sockets: u32,
    /// Number of first calls of `bind` that fail.
    pub first_binds: u32,
    /// Offset of the wall clock in milliseconds; the monotonic clock is exact.
    pub wall_clock_ms: i64,
    /// Seed of the random choice of calls that fail.
    pub seed: u32,
}

impl FailingCalls {
    fn variables(&self) -> Vec<(String, String)> {
        let named = [
            ("SHIM_SHORT_READ", i64::from(self.short_reads)),
            ("SHIM_SHORT_WRITE", i64::from(self.short_writes)),
            ("SHIM_EINTR", i64::from(self.interrupted)),
            ("SHIM_ACCEPT", i64::from(self.accepts)),
            ("SHIM_CONNECT", i64::from(self.connects)),
            ("SHIM_BROKEN", i64::from(self.broken)),
            ("SHIM_HOLD", i64::from(self.held_writes)),
            ("SHIM_HOLD_MS", i64::from(self.hold_ms)),
            ("SHIM_SOCKET_FAILS", i64::from(self.first_sockets)),
            ("SHIM_BIND_FAILS", i64::from(self.first_binds)),
            ("SHIM_CLOCK_STEP_MS", self.wall_clock_ms),
            ("SHIM_SEED", i64::from(self.seed)),
        ];
        named.into_iter().map(|(name, value)| (name.to_string(), value.to_string())).collect()
    }
}

/// The compiled library; its file is removed when this is dropped.
#[derive(Debug)]
pub struct Shim {
    directory: TempDir,
}

impl Shim {
    /// Compiles the library.
    ///
    /// # Errors
    /// There is no C compiler, or it rejects the source.
    pub fn build() -> Result<Shim, String> {
        let directory =
            TempDir::with_prefix("marldeal-shim-").map_err(|e| format!("cannot create a directory: {e}"))?;
        let source = directory.path().join("failing_calls.c");
        std::fs::write(&source, SOURCE).map_err(|e| format!("{}: {e}", source.display()))?;
        let shim = Shim { directory };
        let output = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(shim.path())
            .arg(&source)
            .arg("-ldl")
            .output()
            .map_err(|e| format!("cannot run the C compiler: {e}"))?;
        match output.status.success() {
            true => Ok(shim),
            false => Err(format!("the shim does not compile: {}", String::from_utf8_lossy(&output.stderr))),
        }
    }

    fn path(&self) -> PathBuf {
        self.directory.path().join("failing_calls.so")
    }

    /// Returns the environment variables that make the calls of a process fail.
    pub fn environment(&self, calls: &FailingCalls) -> Vec<(String, String)> {
        let mut all = calls.variables();
        all.push(("LD_PRELOAD".to_string(), self.path().display().to_string()));
        all
    }

    /// Returns the environment variables that make opens of one file fail as long as another file exists.
    pub fn failing_open(&self, path: &Path, while_exists: &Path) -> Vec<(String, String)> {
        let mut all = self.environment(&FailingCalls::default());
        all.push(("SHIM_OPEN_PATH".to_string(), path.display().to_string()));
        all.push(("SHIM_OPEN_WHILE".to_string(), while_exists.display().to_string()));
        all
    }
}
