//! Clients on loopback: the client model says who sends a request when, and what a client does next.

use bytes::Bytes;
use hyper::{Request, Response};
use marldeal_engine::Answer;
use marldeal_rehearsal::clients::{ClientAction, ClientOutcome, TryResult};
use marldeal_rehearsal::scenario::Repeats;
use marldeal_standin::client::ExchangeError;

use super::*;

pub(super) async fn run_clients(environment: Rc<Environment>) {
    loop {
        let due = {
            let state = environment.state.borrow();
            state.clients.next_due().map(|at| state.instant(at))
        };
        match due {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = environment.clients_changed.notified() => continue,
            },
            None => environment.clients_changed.notified().await,
        }
        let mut actions = Vec::new();
        {
            let mut state = environment.state.borrow_mut();
            let now = state.now();
            state.clients.due(now, &mut actions);
        }
        handle_actions(&environment, actions);
    }
}

fn handle_actions(environment: &Rc<Environment>, actions: Vec<ClientAction>) {
    for action in actions {
        let mut guard = environment.state.borrow_mut();
        let state = &mut *guard;
        let now = state.now();
        match action {
            ClientAction::Send(of) => send(environment, state, now, of),
            ClientAction::Disconnect(try_id) => {
                if let Some(sent) = state.sent_requests.remove(&try_id) {
                    state.abandoned.insert(try_id, (sent.request.limiter, sent.deadline));
                    state.oracle.client_disconnected(now, try_id, true);
                    state.oracle.disconnect_received(try_id);
                    if now < sent.deadline {
                        sent.task.abort();
                    } else {
                        // The exchange stays open for the grace period, so that a late answer is distinguished from a
                        // missing one.
                        spawn_local(report_if_unanswered(environment.clone(), sent));
                    }
                }
            }
            ClientAction::Finished { last, outcome } => {
                let plan = state.clients.customers()[last.customer].plan;
                let inside = state.within_quota.remove(&last.job).unwrap_or(false);
                if let Some(worth) = state.worth_within_quota.remove(&last.job) {
                    state.outcomes.refused_inside +=
                        if outcome == ClientOutcome::Refused { worth } else { 0.0 };
                }
                state.recorder.finished(now, plan, &last, outcome, inside);
            }
        }
    }
}

fn send(environment: &Rc<Environment>, state: &mut State, now: f64, of: Try) {
    let (customer, class) =
        (state.clients.customers()[of.customer].clone(), state.scenario.classes[of.class].clone());
    if of.earlier_tries == 0 {
        while state.quota_stores.len() <= of.customer {
            state.oracle.add_customer(now, state.clients.customers()[state.quota_stores.len()].plan);
            state.quota_stores.push(TokenBucket::full(now, f64::INFINITY));
        }
        let (rate, burst) = state.scenario.quota(customer.plan);
        let inside = of.customer < state.usual_customers
            && state.quota_stores[of.customer].take(now, rate, burst, class.units);
        state.recorder.request_made(now, customer.plan, of.class, inside);
        if inside {
            let worth = class.worth * state.scenario.plans[customer.plan].price;
            state.outcomes.inside += worth;
            state.worth_within_quota.insert(of.job, worth);
        }
    }
    let keyed = class.repeats == Repeats::Keyed;
    let weight = format!("units={},spread={},first={}", class.units, customer.spread, customer.first);
    let mut request = Request::builder()
        .method(if class.repeats == Repeats::Safe { "GET" } else { "POST" })
        .uri(format!("/{}/{:016x}", class.name, customer.id))
        .header("host", "service.internal")
        .header("x-correlation-id", format!("{:016x}", of.id))
        .header("x-tariff", state.scenario.plans[customer.plan].name.as_str())
        .header("x-time-left", format!("{:.4}", of.budget_ms / 1000.0))
        .header("x-weight", weight);
    if keyed {
        request = request.header("idempotency-key", format!("{:016x}", of.job));
    }
    let body = if class.repeats == Repeats::Safe { Bytes::new() } else { Bytes::from_static(b"lot=7") };
    let Ok(request) = request.body(body) else {
        state.failure = Some(format!("class {:?} cannot be part of a path", class.name));
        return;
    };
    let (addr, try_id, limiter) = (state.addrs[of.limiter], of.id, of.limiter);
    let deadline = now + of.budget_ms;
    state.oracle.try_accepted(try_id, of.customer, of.class, limiter, deadline);
    state.recorder.try_accepted(now, limiter);
    let (task_environment, began) = (environment.clone(), now);
    let task = spawn_local(async move {
        let result = task_environment.client.exchange(addr, request).await;
        let mut actions = Vec::new();
        {
            let mut guard = task_environment.state.borrow_mut();
            let state = &mut *guard;
            let now = state.now();
            let outcome = match &result {
                Ok(answer) => TryResult::Answer(parse_answer(answer)),
                Err(_) => TryResult::NoAnswer,
            };
            if let Some(sent) = state.sent_requests.remove(&try_id) {
                state.abandoned.insert(try_id, (limiter, sent.deadline));
                match outcome {
                    TryResult::Answer(answer) => {
                        state.oracle.try_answered(now, try_id, answer, !state.is_accountable(limiter, began))
                    }
                    TryResult::NoAnswer => {
                        state.oracle.disconnect_received(try_id);
                        // A limiter that could not be reached has not taken the request.
                        if result.is_err_and(|e| e == ExchangeError::ConnectionLost) {
                            spawn_local(report_lost_connection(
                                task_environment.clone(),
                                limiter,
                                try_id,
                                began,
                            ));
                        }
                    }
                }
            } else if matches!(outcome, TryResult::Answer(_)) {
                // The client has given up; only the exchange is still open.
                state.outcomes.late += 1;
            }
            state.clients.try_ended(now, try_id, outcome, &mut actions);
        }
        handle_actions(&task_environment, actions);
        task_environment.clients_changed.notify_one();
    });
    state.sent_requests.insert(
        try_id,
        SentRequest { request: of, deadline, sent_at: now, arrived: false, task: task.abort_handle() },
    );
}

/// Waits for the grace period after a client's deadline; a request that is unanswered by then is lost.
async fn report_if_unanswered(environment: Rc<Environment>, sent: SentRequest) {
    let until = environment.state.borrow().instant(sent.deadline + GRACE_MS);
    tokio::time::sleep_until(until).await;
    if sent.task.is_finished() {
        return;
    }
    sent.task.abort();
    let mut state = environment.state.borrow_mut();
    if state.is_accountable(sent.request.limiter, sent.deadline - sent.request.budget_ms) {
        state.outcomes.lost += 1;
        let what = format!(
            "limiter {}, try {}: no answer by its deadline, nor {GRACE_MS:.0} ms later",
            sent.request.limiter, sent.request.id
        );
        state.record_violation(Rule::Answer, what);
    } else {
        state.outcomes.excused += 1;
    }
}

/// Records a connection that ended without the answer. The exit of a process becomes visible a moment after the
/// end of its connections, hence the delay.
async fn report_lost_connection(environment: Rc<Environment>, limiter: usize, try_id: u64, began: f64) {
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut state = environment.state.borrow_mut();
    if state.is_accountable(limiter, began) {
        state.outcomes.lost += 1;
        state.record_violation(
            Rule::Answer,
            format!("limiter {limiter}, try {try_id}: its connection ended without an answer"),
        );
    } else {
        state.outcomes.excused += 1;
    }
}

fn parse_answer(answer: &Response<Bytes>) -> Answer {
    match answer.status().as_u16() {
        200 => Answer::Served,
        429 | 503 => {
            let retry_after = answer.headers().get("retry-after").and_then(|v| v.to_str().ok());
            let seconds = retry_after.and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
            Answer::Refused { retry_ms: seconds * 1000.0 }
        }
        _ => Answer::Failed,
    }
}
