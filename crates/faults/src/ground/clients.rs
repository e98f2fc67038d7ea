//! Clients on loopback: the model says who asks when, and what a client does next.

use bytes::Bytes;
use hyper::{Request, Response};
use marldeal_engine::Answer;
use marldeal_rehearsal::clients::{End, Got, Say};
use marldeal_rehearsal::scenario::Repeats;
use marldeal_standin::client::ExchangeError;

use super::*;

pub(super) async fn ask(stage: Rc<Stage>) {
    loop {
        let due = {
            let state = stage.state.borrow();
            state.clients.next_due().map(|at| state.instant(at))
        };
        match due {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = stage.clients_changed.notified() => continue,
            },
            None => stage.clients_changed.notified().await,
        }
        let mut said = Vec::new();
        {
            let mut state = stage.state.borrow_mut();
            let now = state.now();
            state.clients.due(now, &mut said);
        }
        hear(&stage, said);
    }
}

fn hear(stage: &Rc<Stage>, said: Vec<Say>) {
    for say in said {
        let mut guard = stage.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        match say {
            Say::Send(of) => send(stage, state, now, of),
            Say::Leave(try_id) => {
                if let Some(sent) = state.tries.remove(&try_id) {
                    state.past.insert(try_id, (sent.of.limiter, sent.deadline));
                    state.oracle.leaves_now(now, try_id, true);
                    state.oracle.gone(try_id);
                    if now < sent.deadline {
                        sent.task.abort();
                    } else {
                        // It listens on for a while: late and never are told apart.
                        spawn_local(loses(stage.clone(), sent));
                    }
                }
            }
            Say::Over { last, how } => {
                let plan = state.clients.firms()[last.firm].plan;
                let inside = state.inside.remove(&last.job).unwrap_or(false);
                if let Some(worth) = state.asked_inside.remove(&last.job) {
                    state.outcomes.refused_inside += if how == End::Refused { worth } else { 0.0 };
                }
                state.recorder.over(now, plan, &last, how, inside);
            }
        }
    }
}

fn send(stage: &Rc<Stage>, state: &mut State, now: f64, of: Try) {
    let (firm, class) = (state.clients.firms()[of.firm].clone(), state.scenario.classes[of.class].clone());
    if of.turn == 0 {
        while state.asked.len() <= of.firm {
            state.oracle.enlist(now, state.clients.firms()[state.asked.len()].plan);
            state.asked.push(Store::full(now, f64::INFINITY));
        }
        let (rate, most) = state.scenario.quota(firm.plan);
        let inside = of.firm < state.usual && state.asked[of.firm].take(now, rate, most, class.units);
        state.recorder.asked(now, firm.plan, of.class, inside);
        if inside {
            let worth = class.worth * state.scenario.plans[firm.plan].price;
            state.outcomes.inside += worth;
            state.asked_inside.insert(of.job, worth);
        }
    }
    let keyed = class.repeats == Repeats::Keyed;
    let weight = format!("units={},spread={},first={}", class.units, firm.spread, firm.first);
    let mut request = Request::builder()
        .method(if class.repeats == Repeats::Safe { "GET" } else { "POST" })
        .uri(format!("/{}/{:016x}", class.name, firm.customer))
        .header("host", "service.internal")
        .header("x-correlation-id", format!("{:016x}", of.id))
        .header("x-tariff", state.scenario.plans[firm.plan].name.as_str())
        .header("x-time-left", format!("{:.4}", of.budget_ms / 1000.0))
        .header("x-weight", weight);
    if keyed {
        request = request.header("idempotency-key", format!("{:016x}", of.job));
    }
    let body = if class.repeats == Repeats::Safe { Bytes::new() } else { Bytes::from_static(b"lot=7") };
    let Ok(request) = request.body(body) else {
        state.trouble = Some(format!("class {:?} cannot stand in a path", class.name));
        return;
    };
    let (addr, try_id, limiter) = (state.addrs[of.limiter], of.id, of.limiter);
    let deadline = now + of.budget_ms;
    state.oracle.taken(try_id, of.firm, of.class, limiter, deadline);
    state.recorder.taken(now, limiter);
    let (of_stage, began) = (stage.clone(), now);
    let task = spawn_local(async move {
        let came = of_stage.client.exchange(addr, request).await;
        let mut said = Vec::new();
        {
            let mut guard = of_stage.state.borrow_mut();
            let state = &mut *guard;
            let now = state.now();
            let got = match &came {
                Ok(answer) => Got::Answer(read(answer)),
                Err(_) => Got::Nothing,
            };
            if let Some(sent) = state.tries.remove(&try_id) {
                state.past.insert(try_id, (limiter, sent.deadline));
                match got {
                    Got::Answer(answer) => {
                        state.oracle.answered(now, try_id, answer, !state.held_to(limiter, began))
                    }
                    Got::Nothing => {
                        state.oracle.gone(try_id);
                        // A limiter that was never reached has taken nothing.
                        if came.is_err_and(|e| e == ExchangeError::ConnectionLost) {
                            spawn_local(breaks_off(of_stage.clone(), limiter, try_id, began));
                        }
                    }
                }
            } else if matches!(got, Got::Answer(_)) {
                // Its client has given up, and only listens on.
                state.outcomes.late += 1;
            }
            state.clients.got(now, try_id, got, &mut said);
        }
        hear(&of_stage, said);
        of_stage.clients_changed.notify_one();
    });
    state.tries.insert(try_id, Sent { of, deadline, at: now, arrived: false, task: task.abort_handle() });
}

/// A client whose time is over waits for the grace; what has not come then is lost.
async fn loses(stage: Rc<Stage>, sent: Sent) {
    let until = stage.state.borrow().instant(sent.deadline + GRACE_MS);
    tokio::time::sleep_until(until).await;
    if sent.task.is_finished() {
        return;
    }
    sent.task.abort();
    let mut state = stage.state.borrow_mut();
    if state.held_to(sent.of.limiter, sent.deadline - sent.of.budget_ms) {
        state.outcomes.lost += 1;
        let what = format!(
            "limiter {}, try {}: no answer by its deadline, nor {GRACE_MS:.0} ms later",
            sent.of.limiter, sent.of.id
        );
        state.breaks(Rule::Answer, what);
    } else {
        state.outcomes.excused += 1;
    }
}

/// A connection has ended without the answer. That a process has died shows a moment later.
async fn breaks_off(stage: Rc<Stage>, limiter: usize, try_id: u64, began: f64) {
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut state = stage.state.borrow_mut();
    if state.held_to(limiter, began) {
        state.outcomes.lost += 1;
        state.breaks(
            Rule::Answer,
            format!("limiter {limiter}, try {try_id}: its connection ended without an answer"),
        );
    } else {
        state.outcomes.excused += 1;
    }
}

fn read(answer: &Response<Bytes>) -> Answer {
    match answer.status().as_u16() {
        200 => Answer::Served,
        429 | 503 => {
            let told = answer.headers().get("retry-after").and_then(|v| v.to_str().ok());
            let seconds = told.and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
            Answer::Refused { retry_ms: seconds * 1000.0 }
        }
        _ => Answer::Failed,
    }
}
