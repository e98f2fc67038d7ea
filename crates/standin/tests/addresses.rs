//! Addresses that are free until a limiter listens on them.

use std::net::UdpSocket;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marldeal_standin::addresses::unused_addresses;

/// Guards against a limiter whose address another test environment takes before it listens.
#[test]
fn environments_of_one_process_share_no_host() {
    let [first, second] = [(); 2].map(|()| unused_addresses(3));
    assert!(first.iter().all(|at| second.iter().all(|other| at.ip() != other.ip())), "{first:?} {second:?}");
}

/// Guards against a limiter that ends at its start with "Address already in use": a process that another thread
/// starts holds a copy of every open socket until it runs its own program.
#[test]
fn addresses_are_free_while_other_threads_start_processes() {
    const THREADS: usize = 4;
    // Each has a network of its own, so that copies of this test's sockets are in no way.
    const ENVIRONMENTS: usize = 150;
    const LIMITERS: usize = 9;
    let program = std::env::current_exe().expect("the path of this test");
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let mut command = Command::new(&program);
                    command.arg("--list").stdout(Stdio::null());
                    assert!(command.status().expect("a process").success());
                }
            });
        }
        let addresses_after_pause = |_| {
            std::thread::sleep(Duration::from_millis(2));
            unused_addresses(LIMITERS)
        };
        let taken: Vec<String> = (0..ENVIRONMENTS)
            .flat_map(addresses_after_pause)
            .filter_map(|at| UdpSocket::bind(at).err().map(|error| format!("{at}: {error}")))
            .collect();
        done.store(true, Ordering::Relaxed);
        assert!(
            taken.is_empty(),
            "{} of {} are taken: {:?}",
            taken.len(),
            ENVIRONMENTS * LIMITERS,
            taken.first()
        );
    });
}
