//! Errors of system calls that pass by themselves: a want of descriptors, ports, buffers or memory on this machine, a network
//! that is down for a moment, an interrupted call. They say nothing of the other side, and are no reason to give up.

use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long a call that fails so is made again, and how often.
const PATIENCE: Duration = Duration::from_secs(5);
const EVERY: Duration = Duration::from_millis(20);

/// Descriptors, buffers or memory are wanting: to close something may help.
const WANTING: [Errno; 4] = [Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM];
/// Other reasons on this side.
const PASSING: [Errno; 6] =
    [Errno::INTR, Errno::AGAIN, Errno::CONNABORTED, Errno::ADDRNOTAVAIL, Errno::NETDOWN, Errno::NETUNREACH];

fn is_one_of(error: &io::Error, numbers: &[Errno]) -> bool {
    error.raw_os_error().is_some_and(|n| numbers.iter().any(|known| known.raw_os_error() == n))
}

/// Descriptors, buffers or memory are wanting on this machine.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    is_one_of(error, &WANTING)
}

/// The call failed for a reason on this side that passes by itself.
pub fn is_transient(error: &io::Error) -> bool {
    is_resource_exhaustion(error) || is_one_of(error, &PASSING)
}

/// Makes a call again while it fails for a reason that passes, for 5 s at most.
///
/// # Errors
/// That of the last call.
pub async fn retry<T, F: Future<Output = io::Result<T>>>(mut call: impl FnMut() -> F) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match call().await {
            Err(error) if is_transient(&error) && began.elapsed() < PATIENCE => {
                tokio::time::sleep(EVERY).await
            }
            done => return done,
        }
    }
}

/// The same for a call that blocks, before anything is served.
///
/// # Errors
/// That of the last call.
pub fn retry_blocking<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && began.elapsed() < PATIENCE => std::thread::sleep(EVERY),
            done => return done,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_want_on_this_side_passes_and_a_refusal_of_the_other_does_not() {
        let of = |e: Errno| io::Error::from_raw_os_error(e.raw_os_error());
        assert!(
            is_resource_exhaustion(&of(Errno::NFILE)) && !is_resource_exhaustion(&of(Errno::CONNABORTED))
        );
        assert!([Errno::NFILE, Errno::INTR, Errno::ADDRNOTAVAIL, Errno::NETUNREACH]
            .iter()
            .all(|e| is_transient(&of(*e))));
        assert!(![Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH]
            .iter()
            .any(|e| is_transient(&of(*e))));
    }

    #[test]
    fn a_call_is_made_again_until_it_passes_and_not_after_another_error() {
        let mut left = 3;
        let done = retry_blocking(|| match left {
            0 => Ok("done"),
            _ => {
                left -= 1;
                Err(io::Error::from_raw_os_error(Errno::NFILE.raw_os_error()))
            }
        });
        assert_eq!((done.ok(), left), (Some("done"), 0));
        let mut calls = 0;
        let refused = retry_blocking(|| {
            calls += 1;
            Err::<(), _>(io::ErrorKind::PermissionDenied.into())
        });
        assert!(refused.is_err() && calls == 1);
    }
}
