//! Carries out what a plan says.

use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::net::TcpListener;

use crate::client;
use crate::history::{Limiter, Millis, Server, What};
use crate::limiter;
use crate::plan::Trouble;
use crate::run::Stage;
use crate::server;
use crate::world::State;

/// What a watch that has fallen silent misses counts as told after this; what a new place has, after a reload.
const SILENT_MS: Millis = 6000.0;
const RELOADED_MS: Millis = 4000.0;
/// Clients go on connecting for so long after SIGTERM.
const FRONT_MS: Millis = 300.0;
/// Before a process that was ended is started again.
const DOWN_MS: (Millis, Millis) = (50.0, 500.0);
/// A server that was gone comes back after this.
const GONE_MS: Millis = 700.0;

async fn pause(ms: Millis) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
}

/// Lets a trouble happen, to its end.
pub async fn happens(stage: Rc<Stage>, trouble: Trouble) {
    let world = &stage.world;
    match trouble {
        Trouble::Stop(limiter, ms) => stop(&stage, limiter, ms).await,
        Trouble::Reload(limiter) => reload(&stage, limiter).await,
        Trouble::Restart(limiter) => restart(&stage, limiter).await,
        Trouble::Kill(limiter) => kill(&stage, limiter).await,
        Trouble::Drain(server, ms) => drain(&stage, server, ms).await,
        Trouble::Crash(server, ms) => crash(&stage, server, ms).await,
        Trouble::Hang(server, ms) => world.hosts.borrow_mut()[server].hangs_until = world.now() + ms,
        Trouble::Reset(server) => reset(&stage, server).await,
        Trouble::AgentAway(limiter, ms) => agent_away(&stage, limiter, ms).await,
        Trouble::WatchEnds(limiter) => world.places[limiter].watches_end.notify_waiters(),
        Trouble::WatchMute(limiter) => mute(&stage, limiter, SILENT_MS).await,
        Trouble::ClientsLeave(limiter) => world.places[limiter].leave.notify_waiters(),
        Trouble::Crowd(limiter, count) => client::crowd(world.clone(), limiter, count).await,
    }
}

fn signal(stage: &Stage, limiter: Limiter, what: Signal) {
    if let Some(process) = &stage.processes.borrow()[limiter] {
        process.signal(what);
    }
}

async fn stop(stage: &Rc<Stage>, limiter: Limiter, ms: Millis) {
    let stops = &stage.stops[limiter];
    stops.set(stops.get() + 1);
    if stops.get() == 1 {
        stage.world.record(What::Stopped { limiter, over: false });
        signal(stage, limiter, Signal::SIGSTOP);
    }
    pause(ms).await;
    stops.set(stops.get() - 1);
    if stops.get() == 0 {
        signal(stage, limiter, Signal::SIGCONT);
        stage.world.record(What::Stopped { limiter, over: true });
    }
}

/// Watches of a limiter that stand now tell nothing more; what they miss counts as told after so long.
async fn mute(stage: &Rc<Stage>, limiter: Limiter, ms: Millis) {
    let (world, place) = (&stage.world, &stage.world.places[limiter]);
    place.first_heard.set(place.watches.get() + 1);
    let until = world.now() + ms;
    place.mute_until.set(place.mute_until.get().max(until));
    pause(ms + 1.0).await;
    world.tell_if_reached(limiter);
}

async fn reload(stage: &Rc<Stage>, limiter: Limiter) {
    let place = &stage.world.places[limiter];
    if stage.processes.borrow()[limiter].is_none() || !place.open.get() {
        return;
    }
    place.agent.set(1 - place.agent.get());
    let written = limiter::write_configuration(&stage.world, &stage.program, limiter, &stage.peers);
    if let Err(why) = written {
        return stage.fails(why);
    }
    signal(stage, limiter, Signal::SIGHUP);
    mute(stage, limiter, RELOADED_MS).await;
}

async fn agent_away(stage: &Rc<Stage>, limiter: Limiter, ms: Millis) {
    let (world, place) = (&stage.world, &stage.world.places[limiter]);
    if place.away.replace(true) {
        return;
    }
    pause(ms).await;
    place.away.set(false);
    // What it gets at its return counts at once.
    world.tell_if_reached(limiter);
    world.changed.send_modify(|times| *times += 1);
}

/// Takes a limiter's process away from all others; nothing if another trouble has it.
fn take(stage: &Stage, limiter: Limiter) -> Option<limiter::Process> {
    stage.processes.borrow_mut()[limiter].take()
}

async fn restart(stage: &Rc<Stage>, limiter: Limiter) {
    if !stage.world.places[limiter].open.get() || stage.processes.borrow()[limiter].is_none() {
        return;
    }
    stage.world.record(What::Terminated { limiter });
    signal(stage, limiter, Signal::SIGTERM);
    pause(FRONT_MS).await;
    stage.world.places[limiter].open.set(false);
    let mut left = stage.world.terms.kill_after_ms - FRONT_MS;
    loop {
        let ended = stage.processes.borrow_mut()[limiter].as_mut().map(limiter::Process::ended);
        match ended {
            // Another trouble has taken it.
            None => return,
            Some(Some(well)) => {
                stage.world.record(What::Exited { limiter, well });
                break;
            }
            Some(None) if left <= 0.0 => break,
            Some(None) => {}
        }
        pause(10.0).await;
        // The platform waits for one that stands still as if it ran; here its time stands still too.
        left -= if stage.stops[limiter].get() > 0 { 0.0 } else { 10.0 };
    }
    if let Some(mut process) = take(stage, limiter) {
        process.kill().await;
    }
    begin_again(stage, limiter).await;
}

async fn kill(stage: &Rc<Stage>, limiter: Limiter) {
    if !stage.world.places[limiter].open.get() {
        return;
    }
    let Some(mut process) = take(stage, limiter) else { return };
    stage.world.places[limiter].open.set(false);
    stage.world.record(What::Killed { limiter });
    process.kill().await;
    begin_again(stage, limiter).await;
}

async fn begin_again(stage: &Rc<Stage>, limiter: Limiter) {
    pause(stage.world.between(DOWN_MS.0, DOWN_MS.1)).await;
    let world = &stage.world;
    // What its agent has counts from the first moment of the new process.
    world.tell_if_reached(limiter);
    match limiter::start(world, &stage.program, limiter, &stage.peers).await {
        Ok(process) => {
            if stage.stops[limiter].get() > 0 {
                process.signal(Signal::SIGSTOP);
            }
            stage.processes.borrow_mut()[limiter] = Some(process);
        }
        Err(why) => return stage.fails(why),
    }
    if limiter::ready(world, limiter).await {
        world.record(What::Ready { limiter });
        world.places[limiter].open.set(true);
    }
}

/// Ends listener and connections of a server's process.
fn end_life(stage: &Stage, server: Server) {
    stage.world.hosts.borrow()[server].life.send_modify(|life| *life += 1);
}

/// Starts a server's process at its address; it is cold.
async fn start_server(stage: &Rc<Stage>, server: Server) {
    let addr = stage.world.hosts.borrow()[server].addr;
    let listener = match TcpListener::bind(addr).await {
        Ok(listener) => listener,
        Err(e) => return stage.fails(format!("server {server} does not start again: {e}")),
    };
    tokio::task::spawn_local(server::serve(stage.world.clone(), server, listener));
    stage.world.record(What::ServerStarted { server });
    stage.world.forget_told(server);
    stage.world.publish(server, State::Active, true);
}

async fn drain(stage: &Rc<Stage>, server: Server, ms: Millis) {
    if stage.busy_servers.borrow_mut().insert(server) {
        stage.world.publish(server, State::Leaving, false);
        pause(ms).await;
        end_life(stage, server);
        stage.world.publish(server, State::Left, false);
        pause(GONE_MS).await;
        start_server(stage, server).await;
        stage.busy_servers.borrow_mut().remove(&server);
    }
}

async fn crash(stage: &Rc<Stage>, server: Server, ms: Millis) {
    if stage.busy_servers.borrow_mut().insert(server) {
        end_life(stage, server);
        pause(ms).await;
        start_server(stage, server).await;
        stage.busy_servers.borrow_mut().remove(&server);
    }
}

/// Breaks off all connections of a server, which goes on listening.
async fn reset(stage: &Rc<Stage>, server: Server) {
    if stage.busy_servers.borrow_mut().insert(server) {
        let addr = stage.world.hosts.borrow()[server].addr;
        end_life(stage, server);
        pause(1.0).await;
        match TcpListener::bind(addr).await {
            Ok(listener) => {
                drop(tokio::task::spawn_local(server::serve(stage.world.clone(), server, listener)))
            }
            Err(e) => stage.fails(format!("server {server} does not listen again: {e}")),
        }
        stage.busy_servers.borrow_mut().remove(&server);
    }
}
