//! Addresses that are free until a limiter listens on them.

use marldeal_faults::processes::datagram_addresses;

/// Guards against a limiter whose address another test environment takes before it listens.
#[test]
fn environments_of_one_process_share_no_host_for_datagrams() {
    let [first, second] = [(); 2].map(|()| datagram_addresses(3).expect("addresses"));
    assert!(first.iter().all(|at| second.iter().all(|other| at.ip() != other.ip())), "{first:?} {second:?}");
}
