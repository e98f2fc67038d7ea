//! Errors of system calls that are likely to pass: a lack of descriptors, ports, buffers or memory on this
//! host, a network that is down for a moment, an interrupted call. They say nothing about the remote side and
//! are no reason to give up.

use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long a call that fails with such an error is retried, and at which interval.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Descriptors, buffers or memory have run out. Closing connections may help.
const RESOURCE_EXHAUSTION: [Errno; 4] = [Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM];
/// Other local causes.
const OTHER_TRANSIENT: [Errno; 6] =
    [Errno::INTR, Errno::AGAIN, Errno::CONNABORTED, Errno::ADDRNOTAVAIL, Errno::NETDOWN, Errno::NETUNREACH];

fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    error.raw_os_error().is_some_and(|n| errnos.iter().any(|known| known.raw_os_error() == n))
}

/// Whether this host has run out of descriptors, buffers or memory.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    is_one_of(error, &RESOURCE_EXHAUSTION)
}

/// Whether the call failed for a local reason that is likely to pass.
pub fn is_transient(error: &io::Error) -> bool {
    is_resource_exhaustion(error) || is_one_of(error, &OTHER_TRANSIENT)
}

/// Retries a call that fails with a transient error, for up to 5 s.
///
/// # Errors
/// The error of the last call.
pub async fn retry<T, F: Future<Output = io::Result<T>>>(mut call: impl FnMut() -> F) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call().await {
            Err(error) if is_transient(&error) && started.elapsed() < RETRY_TIMEOUT => {
                tokio::time::sleep(RETRY_INTERVAL).await
            }
            result => return result,
        }
    }
}

/// Like [`retry`], for a blocking call before anything is served.
///
/// # Errors
/// The error of the last call.
pub fn retry_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && started.elapsed() < RETRY_TIMEOUT => {
                std::thread::sleep(RETRY_INTERVAL)
            }
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn local_resource_errors_are_transient_and_remote_refusals_are_not() {
        let error = |e: Errno| io::Error::from_raw_os_error(e.raw_os_error());
        assert!(
            is_resource_exhaustion(&error(Errno::NFILE))
                && !is_resource_exhaustion(&error(Errno::CONNABORTED))
        );
        assert!([Errno::NFILE, Errno::INTR, Errno::ADDRNOTAVAIL, Errno::NETUNREACH]
            .iter()
            .all(|e| is_transient(&error(*e))));
        assert!(![Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH]
            .iter()
            .any(|e| is_transient(&error(*e))));
    }

    #[test]
    fn transient_errors_are_retried_and_other_errors_are_not() {
        let mut failures_left = 3;
        let result = retry_blocking(|| match failures_left {
            0 => Ok("done"),
            _ => {
                failures_left -= 1;
                Err(io::Error::from_raw_os_error(Errno::NFILE.raw_os_error()))
            }
        });
        assert_eq!((result.ok(), failures_left), (Some("done"), 0));
        let mut calls = 0;
        let refused = retry_blocking(|| {
            calls += 1;
            Err::<(), _>(io::ErrorKind::PermissionDenied.into())
        });
        assert!(refused.is_err() && calls == 1);
    }
}
