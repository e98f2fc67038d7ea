//! An upgrade while discovery is silent: what the old process was told of the servers binds the new one.

mod stubs;

use std::net::SocketAddr;

use marldeal_standin::discovery::{update_line, Discovery};
use stubs::upgrade_environment::{wait_until_serving, Environment};
use stubs::{get, write_ok, Process, Stub};

/// Requests sent one after another.
const REQUESTS: usize = 60;

fn ok_server() -> Stub {
    Stub::new(|_, stream| write_ok(stream, "fine"))
}

/// Sends requests and returns how many each server got.
fn requests_by_server<const N: usize>(environment: &Environment, servers: &[Stub; N]) -> [usize; N] {
    let before = servers.each_ref().map(|server| server.requests().len());
    for n in 0..REQUESTS {
        let request = get("look", "").replace("c-1", &format!("c-{n}"));
        assert_eq!(environment.send_request(&request).status, 200);
    }
    let mut counts = servers.each_ref().map(|server| server.requests().len());
    counts.iter_mut().zip(before).for_each(|(count, before)| *count -= before);
    counts
}

/// The configuration with a list of its own, as the platform writes it at the start.
fn with_known_list(environment: Environment, list: &str) -> Environment {
    let known = list.trim_end().to_string();
    environment.alter(|config| config.replace(r#"{"version":1,"full":true,"servers":[]}"#, &known))
}

/// Ends the old process once the new one serves.
fn replace(old: Process, environment: &Environment) -> Process {
    let new = environment.start();
    wait_until_serving(&new);
    old.signal("TERM");
    new.wait_log("the predecessor has gone");
    new
}

/// Four servers of which the configuration lists the first three. Discovery has told the old process that the first and
/// the third drain, that the second has left and that there is a fourth, and then falls silent.
struct Told {
    environment: Environment,
    servers: [Stub; 4],
    addrs: [SocketAddr; 4],
    old: Process,
}

/// Version of the list that the old process has been told.
const TOLD_VERSION: u64 = 5;

fn start_told(configured_version: u64) -> Told {
    let servers = [ok_server(), ok_server(), ok_server(), ok_server()];
    let addrs = servers.each_ref().map(|server| server.addr);
    let told = [("s-1", addrs[0], "leaving"), ("s-3", addrs[2], "leaving"), ("s-4", addrs[3], "active")];
    let environment = Environment::with_addresses(&told);
    environment.discovery.announce(&update_line(TOLD_VERSION, true, &told));
    let configured = [("s-1", addrs[0], "active"), ("s-2", addrs[1], "active"), ("s-3", addrs[2], "active")];
    let environment = with_known_list(environment, &update_line(configured_version, true, &configured));
    let old = environment.start();
    wait_until_serving(&old);
    old.wait_log("server s-4");
    environment.discovery.set_silent(true);
    Told { environment, servers, addrs, old }
}

/// Guards against requests to a server that drains, or has left, since the new process knows only the older list of its
/// configuration. A server that has joined since gets the requests. Discovery's next word goes on from there.
#[test]
fn servers_that_the_old_process_was_told_of_bind_the_new_one() {
    let Told { environment, servers, addrs, old } = start_told(1);
    let new = replace(old, &environment);
    assert_eq!(requests_by_server(&environment, &servers), [0, 0, 0, REQUESTS], "{}", new.log());
    let later = [("s-1", addrs[0], "active"), ("s-3", addrs[2], "leaving"), ("s-4", addrs[3], "leaving")];
    environment.discovery.announce(&update_line(TOLD_VERSION + 1, true, &later));
    environment.discovery.set_silent(false);
    new.wait_log(&format!("server s-4 at {}: Draining", addrs[3]));
    assert_eq!(requests_by_server(&environment, &servers), [REQUESTS, 0, 0, 0]);
}

/// Guards against what is left of a chain of upgrades in one silence: the list passes on from process to process.
#[test]
fn list_passes_through_several_upgrades_in_one_silence() {
    let Told { environment, servers, old, .. } = start_told(1);
    let second = replace(old, &environment);
    let _third = replace(second, &environment);
    assert_eq!(requests_by_server(&environment, &servers), [0, 0, 0, REQUESTS]);
}

/// A configuration that is newer than what the old process was told is not replaced by it.
#[test]
fn newer_list_of_the_configuration_binds() {
    let Told { environment, servers, addrs, old } = start_told(1);
    let newer = [("s-2", addrs[1], "active"), ("s-3", addrs[2], "leaving")];
    let configured = update_line(TOLD_VERSION + 1, true, &newer);
    let environment = environment.alter(|config| {
        let mut config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        config["known"] = serde_json::from_str(&configured).expect("JSON");
        config.to_string()
    });
    let _new = replace(old, &environment);
    let counts = requests_by_server(&environment, &servers);
    assert_eq!(counts, [0, REQUESTS, 0, 0]);
}

/// Guards against a drain that is told between the first snapshot and the last one.
#[test]
fn drain_told_while_the_new_process_warms_up_binds_it() {
    let servers = [ok_server(), ok_server()];
    let addrs = servers.each_ref().map(|server| server.addr);
    let active = [("s-1", addrs[0], "active"), ("s-2", addrs[1], "active")];
    let environment = Environment::with_addresses(&active);
    let environment = with_known_list(environment, &update_line(1, true, &active));
    let old = environment.start();
    wait_until_serving(&old);
    // New calls are not answered, the watch of the old process goes on.
    environment.discovery.set_silent(true);
    let new = environment.start();
    wait_until_serving(&new);
    environment.discovery.announce(&update_line(2, true, &[("s-1", addrs[0], "leaving"), active[1]]));
    old.wait_log(&format!("server s-1 at {}: Draining", addrs[0]));
    old.signal("TERM");
    new.wait_log("the predecessor has gone");
    assert_eq!(requests_by_server(&environment, &servers), [0, REQUESTS]);
}

/// Guards against a new process that goes back to the discovery service of the environment, which is still that of the
/// old process's start. That one was moved by SIGHUP and was told of a drain at the new place. The old place still
/// speaks, or is silent.
#[test]
fn new_process_follows_a_reload_of_the_old_one() {
    for old_place_silent in [false, true] {
        let servers = [ok_server(), ok_server()];
        let addrs = servers.each_ref().map(|server| server.addr);
        let (first, second) = (("s-1", addrs[0], "active"), ("s-2", addrs[1], "active"));
        let environment = Environment::with_addresses(&[first, second]);
        let old_place = environment.discovery.addr;
        let draining = [("s-1", addrs[0], "leaving"), second];
        let new_place = Discovery::shared(update_line(1, true, &draining));
        let old = environment.start_with_discovery(old_place);
        wait_until_serving(&old);
        let new_addr = new_place.addr.to_string();
        let environment = environment.alter(|config| config.replace(&old_place.to_string(), &new_addr));
        old.signal("HUP");
        old.wait_log(&format!("server s-1 at {}: Draining", addrs[0]));
        environment.discovery.set_silent(old_place_silent);
        new_place.set_silent(true);
        let new = environment.start_with_discovery(old_place);
        wait_until_serving(&new);
        old.signal("TERM");
        new.wait_log("the predecessor has gone");
        assert_eq!(requests_by_server(&environment, &servers), [0, REQUESTS], "{old_place_silent}");
        new_place.announce(&update_line(2, true, &[first, ("s-2", addrs[1], "leaving")]));
        new_place.set_silent(false);
        new.wait_log(&format!("server s-2 at {}: Draining", addrs[1]));
        assert_eq!(requests_by_server(&environment, &servers), [REQUESTS, 0], "{old_place_silent}");
    }
}
