//! Faults of the timeline: what goes wrong, and when.

use nix::sys::signal::Signal;

use super::servers::{announce, end_process, restart_process, set_condition};
use marldeal_rehearsal::scenario::Moment;

use super::*;

/// Period of the stops of a starved limiter; it is stopped for the fault's share of each period.
const STARVATION_PERIOD_MS: f64 = 100.0;

pub(super) async fn run_fault(environment: Rc<Environment>, index: usize) {
    let (t, from, until): (Trouble, _, _) = {
        let state = environment.state.borrow();
        let t = state.scenario.timeline[index].clone();
        let at = |s: f64| state.instant(BEGIN_MS + s * 1000.0);
        let (from, until) = (at(t.at_s), at(t.at_s + t.for_s));
        (t, from, until)
    };
    tokio::time::sleep_until(from).await;
    let servers = environment.state.borrow().scenario.affected_servers(&t);
    let limiters: Vec<usize> = t.limiters.iter().flatten().map(|l| *l as usize).collect();
    let plan = t.plan.as_deref().and_then(|p| environment.state.borrow().scenario.plan(p));
    let change_servers = |change: &dyn Fn(&mut TestServer, f64)| {
        let mut guard = environment.state.borrow_mut();
        let now = guard.now();
        for n in &servers {
            let server = &mut guard.servers[*n];
            change(server, now);
            server.changed.notify_one();
        }
    };
    let change_state = |change: &dyn Fn(&mut State, f64)| {
        let mut guard = environment.state.borrow_mut();
        let now = guard.now();
        change(&mut guard, now);
        environment.clients_changed.notify_one();
    };
    environment.datagrams.network.borrow_mut().begin_fault(index, &t);
    environment.links.start_fault(index, &t, &servers);
    let seconds = |s: Option<f64>| Duration::from_secs_f64(s.unwrap_or(0.0));
    match t.what {
        What::Surge => change_state(&|s, now| s.clients.surge(now, plan, t.times.unwrap_or(1.0))),
        What::Flood => {
            change_state(&|s, now| s.clients.flood(now, t.firms.unwrap_or(1), t.share.unwrap_or(0.0)))
        }
        What::Strangers => {
            change_state(&|s, now| s.clients.strangers(now, t.per_s.map(|p| (p, plan.unwrap_or(0)))))
        }
        What::Exit => {
            servers.iter().for_each(|n| end_process(&environment, &mut environment.state.borrow_mut(), *n));
        }
        What::Drain => {
            for n in &servers {
                let mut state = environment.state.borrow_mut();
                state.servers[*n].simulation.drain();
                set_condition(&environment, &mut state, *n, Condition::Draining);
            }
            tokio::time::sleep(seconds(t.after_s)).await;
            servers.iter().for_each(|n| end_process(&environment, &mut environment.state.borrow_mut(), *n));
        }
        What::Stall => change_servers(&|server, now| server.simulation.set_stalled(now, true)),
        What::Slow => change_servers(&|server, now| {
            server.simulation.set_slowdown(now, t.times.unwrap_or(1.0).max(0.01))
        }),
        What::Errors => change_servers(&|server, _| server.error_share = t.share.unwrap_or(0.0)),
        What::Resets => change_servers(&|server, _| server.reset_share = t.share.unwrap_or(0.0)),
        What::RosterSilent => change_discovery_silence(&environment, &t, 1),
        What::Cut => environment.links.apply_cuts(&environment.datagrams.network.borrow()),
        What::Pause => {
            while tokio::time::Instant::now() < until {
                change_servers(&|server, now| server.simulation.set_stalled(now, true));
                tokio::time::sleep(seconds(t.length_s)).await;
                change_servers(&|server, now| server.simulation.set_stalled(now, false));
                let rest = t.every_s.unwrap_or(1.0) - t.length_s.unwrap_or(0.0);
                tokio::time::sleep(Duration::from_secs_f64(rest.max(0.001))).await;
            }
        }
        What::Restart | What::Kill => {
            for limiter in limiters {
                let graceful = t.what == What::Restart;
                let failed_starts = t.stumbles.unwrap_or(0);
                let (environment, down, moment) = (environment.clone(), seconds(Some(t.for_s)), t.moment);
                spawn_local(async move {
                    if let Some(moment) = moment {
                        wait_for_moment(&environment, limiter, moment).await;
                    }
                    restart(environment, limiter, graceful, down, failed_starts).await;
                });
            }
        }
        What::Rolling => {
            let all = environment.state.borrow().limiters.len();
            for limiter in 0..all {
                spawn_local(restart(environment.clone(), limiter, true, seconds(t.down_s), 0));
                tokio::time::sleep(seconds(t.every_s)).await;
            }
        }
        What::Freeze => {
            set_stopped(&environment, &limiters, true);
            tokio::time::sleep_until(until).await;
            set_stopped(&environment, &limiters, false);
        }
        What::Starve => {
            let stopped = STARVATION_PERIOD_MS * t.share.unwrap_or(0.0);
            let rest = Duration::from_secs_f64((STARVATION_PERIOD_MS - stopped) / 1000.0);
            let stopped = Duration::from_secs_f64(stopped / 1000.0);
            while tokio::time::Instant::now() < until {
                set_stopped(&environment, &limiters, true);
                tokio::time::sleep(stopped).await;
                set_stopped(&environment, &limiters, false);
                tokio::time::sleep(rest).await;
            }
        }
        _ => {}
    }
    tokio::time::sleep_until(until).await;
    if t.what != What::Cut {
        environment.datagrams.network.borrow_mut().end_fault(index, &t);
    }
    environment.links.end_fault(index, &t, &servers);
    match t.what {
        What::Surge => change_state(&|s, now| s.clients.surge(now, plan, 1.0)),
        What::Flood => change_state(&|s, now| s.clients.flood(now, t.firms.unwrap_or(1), 0.0)),
        What::Strangers => change_state(&|s, now| s.clients.strangers(now, None)),
        What::Exit | What::Drain => {
            for n in servers {
                restart_process(&environment, n).await;
            }
        }
        What::Stall => change_servers(&|server, now| server.simulation.set_stalled(now, false)),
        What::Slow => change_servers(&|server, now| server.simulation.set_slowdown(now, 1.0)),
        What::Errors => change_servers(&|server, _| server.error_share = 0.0),
        What::Resets => change_servers(&|server, _| server.reset_share = 0.0),
        What::RosterSilent => {
            change_discovery_silence(&environment, &t, -1);
            announce(&environment);
        }
        What::Cut => {
            environment.datagrams.network.borrow_mut().end_fault(index, &t);
            environment.links.apply_cuts(&environment.datagrams.network.borrow());
            announce(&environment);
        }
        _ => {}
    }
}

fn signal(environment: &Rc<Environment>, limiter: usize, what: Signal) {
    if let Some(process) = &environment.state.borrow().limiters[limiter].process {
        process.signal(what);
    }
}

/// Stops or continues limiters; what was due meanwhile, and just after, is not held against them.
fn set_stopped(environment: &Rc<Environment>, limiters: &[usize], stopped: bool) {
    for limiter in limiters {
        environment.state.borrow_mut().change_hindrances(*limiter, if stopped { 1 } else { -1 });
        signal(environment, *limiter, if stopped { Signal::SIGSTOP } else { Signal::SIGCONT });
    }
}

/// Starts (`by` = 1) or ends (`by` = -1) a silence of discovery towards the groups of the affected limiters.
fn change_discovery_silence(environment: &Rc<Environment>, t: &Trouble, by: i32) {
    let mut state = environment.state.borrow_mut();
    for group in 0..environment.links.group_count() {
        let affects = |l: usize| t.limiters.as_ref().is_none_or(|some| some.contains(&(l as u32)));
        if environment.links.limiters(group).any(affects) {
            state.discovery_silences[group] = state.discovery_silences[group].saturating_add_signed(by);
        }
    }
}

/// How long a limiter that is to be killed at a given moment is watched for that moment; then it is killed at
/// any moment.
const MOMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// A request that was handed to a limiter so long ago, and has not reached a server, is held by the limiter.
const MIN_HELD_MS: f64 = 3.0;

/// Waits until a limiter holds a request that has come that far.
async fn wait_for_moment(environment: &Rc<Environment>, limiter: usize, moment: Moment) {
    let until = tokio::time::Instant::now() + MOMENT_TIMEOUT;
    while tokio::time::Instant::now() < until
        && !mark_if_held(&mut environment.state.borrow_mut(), limiter, moment)
    {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Whether a limiter holds a request that has come that far. Counts the request, since the limiter is killed
/// next.
fn mark_if_held(state: &mut State, limiter: usize, moment: Moment) -> bool {
    let now = state.now();
    let has_reached = |sent: &SentRequest| match moment {
        Moment::Taken => !sent.arrived && now - sent.sent_at >= MIN_HELD_MS,
        Moment::Sent => sent.arrived,
    };
    let held = state.sent_requests.iter().find(|(_, s)| s.request.limiter == limiter && has_reached(s));
    match (held, moment) {
        (Some((try_id, _)), Moment::Taken) => drop(state.killed_before_sending.insert(*try_id)),
        (Some(_), Moment::Sent) => state.outcomes.killed_sent += 1,
        (None, _) => return false,
    }
    true
}

/// Ends a limiter, by SIGTERM or by SIGKILL, and starts it again after `failed_starts` starts that are killed
/// at once.
async fn restart(
    environment: Rc<Environment>,
    limiter: usize,
    graceful: bool,
    down: Duration,
    failed_starts: u32,
) {
    environment.state.borrow_mut().change_hindrances(limiter, 1);
    if graceful {
        signal(&environment, limiter, Signal::SIGTERM);
        let kill_s = environment.state.borrow().scenario.limiters.kill_s;
        let until = tokio::time::Instant::now() + Duration::from_secs_f64(kill_s);
        let has_ended = || {
            let process = &mut environment.state.borrow_mut().limiters[limiter].process;
            process.as_mut().is_none_or(|p| p.exit_status().is_some())
        };
        while !has_ended() && tokio::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        environment.state.borrow_mut().outcomes.hung += u64::from(!has_ended());
    }
    let process = environment.state.borrow_mut().limiters[limiter].process.take();
    if let Some(process) = process {
        let cpu_ms = crate::figures::usage(process.pid).map_or(0.0, |u| u.cpu_ms);
        environment.state.borrow_mut().limiters[limiter].cpu_ms += cpu_ms;
        process.kill().await;
    }
    {
        let mut state = environment.state.borrow_mut();
        let now = state.now();
        state.oracle.limiter_exited(limiter);
        state.invariants.observe(now, &Observation::LimiterExited { limiter });
    }
    tokio::time::sleep(down).await;
    let config = environment.state.borrow().configs[limiter].clone();
    let started = async {
        for _ in 0..failed_starts {
            Process::start_and_kill(&environment.program, &environment.files, &config).await?;
        }
        Process::start(&environment.program, &environment.files, &config).await
    };
    match started.await {
        Ok(process) => {
            attach_process(&environment, limiter, process);
            environment.state.borrow_mut().change_hindrances(limiter, -1);
        }
        Err(why) => {
            environment.state.borrow_mut().failure =
                Some(format!("limiter {limiter} cannot be restarted: {why}"));
        }
    }
}
