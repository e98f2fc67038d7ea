//! What goes wrong, and when.

use nix::sys::signal::Signal;

use super::nodes::{announce, exit, publish, start};
use marldeal_rehearsal::scenario::Moment;

use super::*;

/// Of each of these a starved limiter stands still for a share.
const SLICE_MS: f64 = 100.0;

pub(super) async fn happens(stage: Rc<Stage>, trouble: usize) {
    let (t, from, until): (Trouble, _, _) = {
        let state = stage.state.borrow();
        let t = state.scenario.timeline[trouble].clone();
        let at = |s: f64| state.instant(BEGIN_MS + s * 1000.0);
        let (from, until) = (at(t.at_s), at(t.at_s + t.for_s));
        (t, from, until)
    };
    tokio::time::sleep_until(from).await;
    let nodes = stage.state.borrow().scenario.nodes_of(&t);
    let limiters: Vec<usize> = t.limiters.iter().flatten().map(|l| *l as usize).collect();
    let plan = t.plan.as_deref().and_then(|p| stage.state.borrow().scenario.plan(p));
    let each = |change: &dyn Fn(&mut Host, f64)| {
        let mut guard = stage.state.borrow_mut();
        let now = guard.now();
        for n in &nodes {
            let host = &mut guard.hosts[*n];
            change(host, now);
            host.changed.notify_one();
        }
    };
    let with = |change: &dyn Fn(&mut State, f64)| {
        let mut guard = stage.state.borrow_mut();
        let now = guard.now();
        change(&mut guard, now);
        stage.clients_changed.notify_one();
    };
    stage.mail.post.borrow_mut().begins(trouble, &t);
    stage.ways.begins(trouble, &t, &nodes);
    let second = |s: Option<f64>| Duration::from_secs_f64(s.unwrap_or(0.0));
    match t.what {
        What::Surge => with(&|s, now| s.clients.surge(now, plan, t.times.unwrap_or(1.0))),
        What::Flood => with(&|s, now| s.clients.flood(now, t.firms.unwrap_or(1), t.share.unwrap_or(0.0))),
        What::Strangers => with(&|s, now| s.clients.strangers(now, t.per_s.map(|p| (p, plan.unwrap_or(0))))),
        What::Exit => {
            nodes.iter().for_each(|n| exit(&stage, &mut stage.state.borrow_mut(), *n));
        }
        What::Drain => {
            for n in &nodes {
                let mut state = stage.state.borrow_mut();
                state.hosts[*n].node.drain();
                publish(&stage, &mut state, *n, Condition::Draining);
            }
            tokio::time::sleep(second(t.after_s)).await;
            nodes.iter().for_each(|n| exit(&stage, &mut stage.state.borrow_mut(), *n));
        }
        What::Stall => each(&|h, now| h.node.halt(now, true)),
        What::Slow => each(&|h, now| h.node.slow(now, t.times.unwrap_or(1.0).max(0.01))),
        What::Errors => each(&|h, _| h.errors = t.share.unwrap_or(0.0)),
        What::Resets => each(&|h, _| h.resets = t.share.unwrap_or(0.0)),
        What::RosterSilent => hushes(&stage, &t, 1),
        What::Cut => stage.ways.cuts(&stage.mail.post.borrow()),
        What::Pause => {
            while tokio::time::Instant::now() < until {
                each(&|h, now| h.node.halt(now, true));
                tokio::time::sleep(second(t.length_s)).await;
                each(&|h, now| h.node.halt(now, false));
                let rest = t.every_s.unwrap_or(1.0) - t.length_s.unwrap_or(0.0);
                tokio::time::sleep(Duration::from_secs_f64(rest.max(0.001))).await;
            }
        }
        What::Restart | What::Kill => {
            for limiter in limiters {
                let gently = t.what == What::Restart;
                let stumbles = t.stumbles.unwrap_or(0);
                let (stage, down, moment) = (stage.clone(), second(Some(t.for_s)), t.moment);
                spawn_local(async move {
                    if let Some(moment) = moment {
                        meets(&stage, limiter, moment).await;
                    }
                    restart(stage, limiter, gently, down, stumbles).await;
                });
            }
        }
        What::Rolling => {
            let all = stage.state.borrow().limiters.len();
            for limiter in 0..all {
                spawn_local(restart(stage.clone(), limiter, true, second(t.down_s), 0));
                tokio::time::sleep(second(t.every_s)).await;
            }
        }
        What::Freeze => {
            stands(&stage, &limiters, true);
            tokio::time::sleep_until(until).await;
            stands(&stage, &limiters, false);
        }
        What::Starve => {
            let still = SLICE_MS * t.share.unwrap_or(0.0);
            let rest = Duration::from_secs_f64((SLICE_MS - still) / 1000.0);
            let still = Duration::from_secs_f64(still / 1000.0);
            while tokio::time::Instant::now() < until {
                stands(&stage, &limiters, true);
                tokio::time::sleep(still).await;
                stands(&stage, &limiters, false);
                tokio::time::sleep(rest).await;
            }
        }
        _ => {}
    }
    tokio::time::sleep_until(until).await;
    if t.what != What::Cut {
        stage.mail.post.borrow_mut().ends(trouble, &t);
    }
    stage.ways.ends(trouble, &t, &nodes);
    match t.what {
        What::Surge => with(&|s, now| s.clients.surge(now, plan, 1.0)),
        What::Flood => with(&|s, now| s.clients.flood(now, t.firms.unwrap_or(1), 0.0)),
        What::Strangers => with(&|s, now| s.clients.strangers(now, None)),
        What::Exit | What::Drain => {
            for n in nodes {
                start(&stage, n).await;
            }
        }
        What::Stall => each(&|h, now| h.node.halt(now, false)),
        What::Slow => each(&|h, now| h.node.slow(now, 1.0)),
        What::Errors => each(&|h, _| h.errors = 0.0),
        What::Resets => each(&|h, _| h.resets = 0.0),
        What::RosterSilent => {
            hushes(&stage, &t, -1);
            announce(&stage);
        }
        What::Cut => {
            stage.mail.post.borrow_mut().ends(trouble, &t);
            stage.ways.cuts(&stage.mail.post.borrow());
            announce(&stage);
        }
        _ => {}
    }
}

fn signal(stage: &Rc<Stage>, limiter: usize, what: Signal) {
    if let Some(process) = &stage.state.borrow().limiters[limiter].process {
        process.signal(what);
    }
}

/// Limiters stand still, or go on; what they owed meanwhile, and just after, is not held against them.
fn stands(stage: &Rc<Stage>, limiters: &[usize], still: bool) {
    for limiter in limiters {
        stage.state.borrow_mut().hinders(*limiter, if still { 1 } else { -1 });
        signal(stage, *limiter, if still { Signal::SIGSTOP } else { Signal::SIGCONT });
    }
}

/// Discovery is silent towards some limiters, or all, or is so no longer.
fn hushes(stage: &Rc<Stage>, t: &Trouble, by: i32) {
    let mut state = stage.state.borrow_mut();
    for side in 0..stage.ways.sides() {
        let befalls = |l: usize| t.limiters.as_ref().is_none_or(|some| some.contains(&(l as u32)));
        if stage.ways.limiters(side).any(befalls) {
            state.silent[side] = state.silent[side].saturating_add_signed(by);
        }
    }
}

/// How long a limiter is waited for that is to be killed at a moment; then it is killed at any.
const MEETS: Duration = Duration::from_secs(3);
/// A request that was handed to a limiter so long ago, and is nowhere else, is held by it.
const HELD_MS: f64 = 3.0;

/// Waits until a limiter holds a request that has come that far.
async fn meets(stage: &Rc<Stage>, limiter: usize, moment: Moment) {
    let until = tokio::time::Instant::now() + MEETS;
    while tokio::time::Instant::now() < until && !holds(&mut stage.state.borrow_mut(), limiter, moment) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Whether a limiter holds a request that has come that far; it is counted, since its limiter is killed for it.
fn holds(state: &mut State, limiter: usize, moment: Moment) -> bool {
    let now = state.now();
    let that_far = |sent: &Sent| match moment {
        Moment::Taken => !sent.arrived && now - sent.at >= HELD_MS,
        Moment::Sent => sent.arrived,
    };
    let held = state.tries.iter().find(|(_, s)| s.of.limiter == limiter && that_far(s));
    match (held, moment) {
        (Some((try_id, _)), Moment::Taken) => drop(state.killed_before.insert(*try_id)),
        (Some(_), Moment::Sent) => state.outcomes.killed_sent += 1,
        (None, _) => return false,
    }
    true
}

/// Ends a limiter, by SIGTERM or at once, and starts it again; so often it dies as it starts.
async fn restart(stage: Rc<Stage>, limiter: usize, gently: bool, down: Duration, stumbles: u32) {
    stage.state.borrow_mut().hinders(limiter, 1);
    if gently {
        signal(&stage, limiter, Signal::SIGTERM);
        let kill_s = stage.state.borrow().scenario.limiters.kill_s;
        let until = tokio::time::Instant::now() + Duration::from_secs_f64(kill_s);
        let ended = || {
            let process = &mut stage.state.borrow_mut().limiters[limiter].process;
            process.as_mut().is_none_or(|p| p.ended().is_some())
        };
        while !ended() && tokio::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        stage.state.borrow_mut().outcomes.hung += u64::from(!ended());
    }
    let process = stage.state.borrow_mut().limiters[limiter].process.take();
    if let Some(process) = process {
        let used = crate::figures::usage(process.pid).map_or(0.0, |u| u.cpu_ms);
        stage.state.borrow_mut().limiters[limiter].cpu_ms += used;
        process.end().await;
    }
    {
        let mut state = stage.state.borrow_mut();
        let now = state.now();
        state.oracle.died(limiter);
        state.judges.see(now, &Seen::Died { limiter });
    }
    tokio::time::sleep(down).await;
    let config = stage.state.borrow().configs[limiter].clone();
    let started = async {
        for _ in 0..stumbles {
            Process::stumble(&stage.program, &stage.files, &config).await?;
        }
        Process::start(&stage.program, &stage.files, &config).await
    };
    match started.await {
        Ok(process) => {
            takes_up(&stage, limiter, process);
            stage.state.borrow_mut().hinders(limiter, -1);
        }
        Err(why) => {
            stage.state.borrow_mut().trouble = Some(format!("limiter {limiter} does not start again: {why}"));
        }
    }
}
