//! Carries out the faults of a plan.

use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::net::TcpListener;

use crate::client;
use crate::environment::ServerState;
use crate::history::{Limiter, Millis, Server, What};
use crate::limiter;
use crate::plan::Fault;
use crate::run::TestRun;
use crate::server;
use crate::slow_peers;

/// Time after which a limiter has to have replaced a muted watch. What the watch missed counts as notified from
/// then on.
const MUTED_WATCH_DETECTION_MS: Millis = 6000.0;
/// The same for the watch at the other agent after a reload.
const RELOAD_DETECTION_MS: Millis = 4000.0;
/// Time after SIGTERM in which clients still connect.
const CONNECT_AFTER_SIGTERM_MS: Millis = 300.0;
/// Share of the restarts in which signals come in series, and the longest time between two of them.
const SIGNAL_SERIES_SHARE: f64 = 0.5;
const SIGNAL_SERIES_INTERVAL_MS: Millis = 400.0;
/// Time before a process that ended is started again, at least and at most.
const MIN_DOWN_MS: Millis = 50.0;
const MAX_DOWN_MS: Millis = 500.0;
/// How long connections to a vanished machine are observed after it has come back.
const VANISHED_MS: Millis = 2500.0;
/// Time before a removed server comes back.
const REMOVED_MS: Millis = 700.0;

async fn pause(ms: Millis) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
}

/// Carries out a fault to its end.
pub async fn run_fault(test_run: Rc<TestRun>, fault: Fault) {
    let environment = &test_run.environment;
    match fault {
        Fault::Stop(limiter, ms) => stop(&test_run, limiter, ms).await,
        Fault::Reload(limiter) => reload(&test_run, limiter).await,
        Fault::Restart(limiter) => restart(&test_run, limiter).await,
        Fault::Kill(limiter) => kill(&test_run, limiter).await,
        Fault::Drain(server, ms) => drain(&test_run, server, ms).await,
        Fault::Crash(server, ms) => crash(&test_run, server, ms).await,
        Fault::Vanish(server, ms) => vanish(&test_run, server, ms).await,
        Fault::Hang(server, ms) => {
            environment.servers.borrow_mut()[server].hung_until = environment.now() + ms
        }
        Fault::Reset(server) => reset(&test_run, server).await,
        Fault::SilenceAgent(limiter, ms) => silence_agent(&test_run, limiter, ms).await,
        Fault::CloseWatch(limiter) => environment.limiters[limiter].close_watches.notify_waiters(),
        Fault::SilenceWatch(limiter) => mute_watches(&test_run, limiter, MUTED_WATCH_DETECTION_MS).await,
        Fault::DisconnectClients(limiter) => {
            environment.limiters[limiter].disconnect_clients.notify_waiters()
        }
        Fault::SlowCrowd(limiter, count) => slow_peers::press(environment.clone(), limiter, count).await,
        Fault::IdleConnections(limiter, count) => {
            client::open_idle_connections(environment.clone(), limiter, count).await
        }
    }
}

fn signal(test_run: &TestRun, limiter: Limiter, what: Signal) {
    if let Some(process) = &test_run.processes.borrow()[limiter] {
        process.signal(what);
    }
}

async fn stop(test_run: &Rc<TestRun>, limiter: Limiter, ms: Millis) {
    let stop_counts = &test_run.stop_counts[limiter];
    stop_counts.set(stop_counts.get() + 1);
    if stop_counts.get() == 1 {
        test_run.environment.record(What::Stopped { limiter, over: false });
        signal(test_run, limiter, Signal::SIGSTOP);
    }
    pause(ms).await;
    stop_counts.set(stop_counts.get() - 1);
    if stop_counts.get() == 0 {
        signal(test_run, limiter, Signal::SIGCONT);
        test_run.environment.record(What::Stopped { limiter, over: true });
    }
}

/// Mutes the limiter's present watches; what they miss counts as notified after `ms`.
async fn mute_watches(test_run: &Rc<TestRun>, limiter: Limiter, ms: Millis) {
    let (environment, entry) = (&test_run.environment, &test_run.environment.limiters[limiter]);
    entry.first_unmuted_watch.set(entry.watch_count.get() + 1);
    let until = environment.now() + ms;
    entry.muted_until.set(entry.muted_until.get().max(until));
    pause(ms + 1.0).await;
    environment.notify_if_reachable(limiter);
}

async fn reload(test_run: &Rc<TestRun>, limiter: Limiter) {
    let entry = &test_run.environment.limiters[limiter];
    if test_run.processes.borrow()[limiter].is_none() || !entry.accepts_clients.get() {
        return;
    }
    entry.active_agent.set(1 - entry.active_agent.get());
    let written =
        limiter::write_configuration(&test_run.environment, &test_run.program, limiter, &test_run.peers);
    if let Err(why) = written {
        return test_run.record_failure(why);
    }
    signal(test_run, limiter, Signal::SIGHUP);
    mute_watches(test_run, limiter, RELOAD_DETECTION_MS).await;
}

async fn silence_agent(test_run: &Rc<TestRun>, limiter: Limiter, ms: Millis) {
    let (environment, entry) = (&test_run.environment, &test_run.environment.limiters[limiter]);
    if entry.agent_silent.replace(true) {
        return;
    }
    pause(ms).await;
    entry.agent_silent.set(false);
    // The list that the agent sends on its return counts as notified at once.
    environment.notify_if_reachable(limiter);
    environment.changed.send_modify(|times| *times += 1);
}

/// Takes a limiter's process, so that no other fault handles it; `None` if another fault has taken it.
fn take_process(test_run: &TestRun, limiter: Limiter) -> Option<limiter::Process> {
    test_run.processes.borrow_mut()[limiter].take()
}

async fn restart(test_run: &Rc<TestRun>, limiter: Limiter) {
    if !test_run.environment.limiters[limiter].accepts_clients.get()
        || test_run.processes.borrow()[limiter].is_none()
    {
        return;
    }
    test_run.environment.record(What::Terminated { limiter });
    signal(test_run, limiter, Signal::SIGTERM);
    if test_run.environment.chance(SIGNAL_SERIES_SHARE) {
        tokio::task::spawn_local(send_signals(test_run.clone(), limiter));
    }
    pause(CONNECT_AFTER_SIGTERM_MS).await;
    test_run.environment.limiters[limiter].accepts_clients.set(false);
    let mut left = test_run.environment.terms.kill_after_ms - CONNECT_AFTER_SIGTERM_MS;
    loop {
        let exit = test_run.processes.borrow_mut()[limiter].as_mut().map(limiter::Process::exited_well);
        match exit {
            // Another fault has taken the process.
            None => return,
            Some(Some(well)) => {
                test_run.environment.record(What::Exited { limiter, well });
                break;
            }
            Some(None) if left <= 0.0 => break,
            Some(None) => {}
        }
        pause(10.0).await;
        // The platform counts stopped time too. Here the time of a stopped process does not count.
        left -= if test_run.stop_counts[limiter].get() > 0 { 0.0 } else { 10.0 };
    }
    if let Some(mut process) = take_process(test_run, limiter) {
        process.kill().await;
    }
    start_again(test_run, limiter).await;
}

/// Sends further signals to a process that has been asked to end, which change nothing.
async fn send_signals(test_run: Rc<TestRun>, limiter: Limiter) {
    let process_number = &test_run.environment.limiters[limiter].process_number;
    let process = process_number.get();
    for what in [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM] {
        pause(test_run.environment.between(0.0, SIGNAL_SERIES_INTERVAL_MS)).await;
        if process_number.get() != process {
            return;
        }
        signal(&test_run, limiter, what);
    }
}

async fn kill(test_run: &Rc<TestRun>, limiter: Limiter) {
    if !test_run.environment.limiters[limiter].accepts_clients.get() {
        return;
    }
    let Some(mut process) = take_process(test_run, limiter) else { return };
    test_run.environment.limiters[limiter].accepts_clients.set(false);
    test_run.environment.record(What::Killed { limiter });
    process.kill().await;
    start_again(test_run, limiter).await;
}

async fn start_again(test_run: &Rc<TestRun>, limiter: Limiter) {
    pause(test_run.environment.between(MIN_DOWN_MS, MAX_DOWN_MS)).await;
    let environment = &test_run.environment;
    // The present list counts as notified from the first moment of the new process.
    environment.notify_if_reachable(limiter);
    match limiter::start(environment, &test_run.program, limiter, &test_run.peers).await {
        Ok(process) => {
            if test_run.stop_counts[limiter].get() > 0 {
                process.signal(Signal::SIGSTOP);
            }
            test_run.processes.borrow_mut()[limiter] = Some(process);
        }
        Err(why) => return test_run.record_failure(why),
    }
    if limiter::wait_until_ready(environment, limiter).await {
        environment.record(What::Ready { limiter });
        environment.limiters[limiter].accepts_clients.set(true);
    }
}

/// Closes the listener and the connections of a server's process.
fn end_server_process(test_run: &TestRun, server: Server) {
    test_run.environment.servers.borrow_mut()[server].restarted_at = f64::INFINITY;
    test_run.environment.servers.borrow()[server].generation.send_modify(|generation| *generation += 1);
}

/// Starts a server's process at its address; it starts cold.
async fn start_server(test_run: &Rc<TestRun>, server: Server) {
    let addr = test_run.environment.servers.borrow()[server].addr;
    let listener = match TcpListener::bind(addr).await {
        Ok(listener) => listener,
        Err(e) => return test_run.record_failure(format!("server {server} cannot be restarted: {e}")),
    };
    tokio::task::spawn_local(server::serve(test_run.environment.clone(), server, listener));
    test_run.environment.record(What::ServerStarted { server });
    test_run.environment.servers.borrow_mut()[server].restarted_at = test_run.environment.now();
    test_run.environment.forget_notified(server);
    test_run.environment.publish(server, ServerState::Active, true);
}

async fn drain(test_run: &Rc<TestRun>, server: Server, ms: Millis) {
    if test_run.busy_servers.borrow_mut().insert(server) {
        test_run.environment.publish(server, ServerState::Leaving, false);
        pause(ms).await;
        end_server_process(test_run, server);
        test_run.environment.publish(server, ServerState::Removed, false);
        pause(REMOVED_MS).await;
        start_server(test_run, server).await;
        test_run.busy_servers.borrow_mut().remove(&server);
    }
}

async fn crash(test_run: &Rc<TestRun>, server: Server, ms: Millis) {
    if test_run.busy_servers.borrow_mut().insert(server) {
        end_server_process(test_run, server);
        pause(ms).await;
        start_server(test_run, server).await;
        test_run.busy_servers.borrow_mut().remove(&server);
    }
}

/// Lets a server's machine vanish and come back.
async fn vanish(test_run: &Rc<TestRun>, server: Server, ms: Millis) {
    if test_run.busy_servers.borrow_mut().insert(server) {
        test_run.environment.servers.borrow_mut()[server].vanished = true;
        end_server_process(test_run, server);
        pause(ms).await;
        start_server(test_run, server).await;
        pause(VANISHED_MS).await;
        test_run.environment.servers.borrow_mut()[server].vanished = false;
        test_run.busy_servers.borrow_mut().remove(&server);
    }
}

/// Resets all connections of a server, which goes on listening.
async fn reset(test_run: &Rc<TestRun>, server: Server) {
    if test_run.busy_servers.borrow_mut().insert(server) {
        let addr = test_run.environment.servers.borrow()[server].addr;
        end_server_process(test_run, server);
        pause(1.0).await;
        match TcpListener::bind(addr).await {
            Ok(listener) => {
                drop(tokio::task::spawn_local(server::serve(test_run.environment.clone(), server, listener)))
            }
            Err(e) => test_run.record_failure(format!("server {server} cannot listen again: {e}")),
        }
        test_run.busy_servers.borrow_mut().remove(&server);
    }
}
