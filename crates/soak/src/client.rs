//! Clients: they send requests, wait, disconnect early, keep idle connections, ask again when an idle
//! connection was closed under them, and some send requests slowly or incompletely.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::environment::Environment;
use crate::history::{Effect, Limiter, Millis, Request, What};
use crate::http::{self, Buffer};
use crate::server::attempt_in_body;

/// Mean time between an answer and the client's next request.
const MEAN_THINK_TIME_MS: Millis = 350.0;
/// Share of requests whose client disconnects before the answer.
const DISCONNECT_SHARE: f64 = 0.12;
/// Share of requests that are written in two pieces with a pause between.
const SLOW_WRITE_SHARE: f64 = 0.06;
/// Share of requests whose client waits only a short time.
const SHORT_BUDGET_SHARE: f64 = 0.04;
/// Share of pauses between requests that are long.
const LONG_PAUSE_SHARE: f64 = 0.03;
/// Interval between incomplete requests of a client, at least and at most, and how long the end of one is
/// waited for.
const MIN_INCOMPLETE_INTERVAL_MS: Millis = 2000.0;
const MAX_INCOMPLETE_INTERVAL_MS: Millis = 9000.0;
const INCOMPLETE_REQUEST_WAIT: Duration = Duration::from_millis(8000);

async fn pause(ms: Millis) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
}

/// A connection to a limiter.
struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    /// Requests sent on it.
    request_count: u32,
    process: u32,
}

/// How an exchange ended.
#[derive(Debug, PartialEq, Eq)]
enum ExchangeEnd {
    Answered { kept: bool },
    Disconnected,
    Broken(Request),
}

/// Sends requests until clients are done.
pub async fn run_client(environment: Rc<Environment>, limiter: Limiter) {
    let mut connection: Option<Connection> = None;
    while !environment.clients_done.get() {
        let think = environment.draw(|rng| -MEAN_THINK_TIME_MS * (1.0 - rng.f64()).ln());
        pause(if environment.chance(LONG_PAUSE_SHARE) {
            think + environment.between(2000.0, 6000.0)
        } else {
            think
        })
        .await;
        if connection.is_none() {
            connection = connect(&environment, limiter).await;
        }
        let Some(mut open) = connection.take() else { continue };
        match exchange(&environment, limiter, &mut open).await {
            ExchangeEnd::Answered { kept: true } => connection = Some(open),
            ExchangeEnd::Answered { kept: false } | ExchangeEnd::Disconnected => {}
            ExchangeEnd::Broken(request) if open.request_count > 1 => {
                ask_again(&environment, limiter, request).await
            }
            ExchangeEnd::Broken(_) => {}
        }
    }
    // A connection that is still open stays idle until the limiter ends it.
    if let Some(mut open) = connection {
        let _ = http::read_message(&mut open.stream, &mut open.buffer).await;
    }
}

async fn connect(environment: &Environment, limiter: Limiter) -> Option<Connection> {
    let entry = &environment.limiters[limiter];
    while !entry.accepts_clients.get() {
        if environment.clients_done.get() {
            return None;
        }
        pause(20.0).await;
    }
    connect_unconditionally(environment, limiter).await
}

async fn connect_unconditionally(environment: &Environment, limiter: Limiter) -> Option<Connection> {
    let entry = &environment.limiters[limiter];
    let process = entry.process_number.get();
    let stream = TcpStream::connect(entry.addr.get()).await.ok()?;
    let _ = stream.set_nodelay(true);
    Some(Connection { stream, buffer: Buffer::default(), request_count: 0, process })
}

/// Sends a request once more on a new connection after the limiter closed the idle connection it was sent on.
async fn ask_again(environment: &Environment, limiter: Limiter, request: Request) {
    let anew = environment.number();
    environment.record(What::AskedAnew { request, anew });
    if let Some(mut open) = connect_unconditionally(environment, limiter).await {
        exchange_numbered(environment, limiter, &mut open, anew).await;
    }
}

async fn exchange(environment: &Environment, limiter: Limiter, open: &mut Connection) -> ExchangeEnd {
    let request = environment.number();
    exchange_numbered(environment, limiter, open, request).await
}

async fn exchange_numbered(
    environment: &Environment,
    limiter: Limiter,
    open: &mut Connection,
    request: Request,
) -> ExchangeEnd {
    let effect = environment.draw(|rng| {
        *rng.choice(&[Effect::Safe, Effect::Safe, Effect::Keyed, Effect::Unsafe]).unwrap_or(&Effect::Safe)
    });
    let budget_ms = if environment.chance(SHORT_BUDGET_SHARE) {
        environment.between(5.0, 100.0)
    } else {
        environment.between(600.0, 2500.0)
    };
    let text = request_text(environment, limiter, request, effect, budget_ms);
    open.request_count += 1;
    let kept = open.request_count > 1;
    if write(environment, &mut open.stream, &text).await.is_err() {
        // The request was not written whole, so no answer is due.
        return ExchangeEnd::Broken(request);
    }
    environment.record(What::Asked { request, limiter, effect, budget_ms, kept, process: open.process });
    let disconnects = async {
        match environment.chance(DISCONNECT_SHARE) {
            true => pause(environment.between(0.0, 150.0)).await,
            false => environment.limiters[limiter].disconnect_clients.notified().await,
        }
    };
    tokio::select! {
        biased;
        answer = http::read_message(&mut open.stream, &mut open.buffer) => match answer {
            Ok(Some(answer)) => {
                let status = answer.status().unwrap_or(0);
                environment.record(What::Answered { request, status, body_of: attempt_in_body(&answer.body) });
                let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                ExchangeEnd::Answered { kept: !closes }
            }
            Ok(None) | Err(_) => {
                environment.record(What::Unanswered { request });
                ExchangeEnd::Broken(request)
            }
        },
        () = disconnects => {
            environment.record(What::Left { request });
            ExchangeEnd::Disconnected
        }
    }
}

/// Returns a request in the platform's form. Half of the requests count against a quota, about which limiters
/// exchange messages.
fn request_text(
    environment: &Environment,
    limiter: Limiter,
    request: Request,
    effect: Effect,
    budget_ms: Millis,
) -> String {
    let (method, class) = match effect {
        Effect::Safe => ("GET", "look"),
        Effect::Keyed => ("POST", "book"),
        Effect::Unsafe => ("POST", "pay"),
    };
    let plan = if environment.chance(0.5) { "free" } else { "rated" };
    let customer = environment.draw(|rng| rng.u64(1..60));
    let limiters = environment.limiters.len();
    let first = (limiter + limiters - environment.draw(|rng| rng.usize(0..3.min(limiters)))) % limiters;
    let mut text = format!(
        "{method} /{class}/{customer:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\nX-Tariff: {plan}\r\n\
         X-Time-Left: {:.3}\r\nX-Weight: units=1,spread={},first={first}\r\n",
        Environment::correlation_id(request),
        budget_ms / 1000.0,
        3.min(limiters),
    );
    if effect == Effect::Keyed {
        text += &format!("Idempotency-Key: {request:032x}\r\n");
    }
    text + if effect == Effect::Safe { "\r\n" } else { "Content-Length: 5\r\n\r\nlot=7" }
}

/// Writes a request; some are written in two pieces.
async fn write(environment: &Environment, stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let (first, rest) = match environment.chance(SLOW_WRITE_SHARE) {
        true => text.split_at(environment.draw(|rng| rng.usize(1..text.len()))),
        false => (text, ""),
    };
    stream.write_all(first.as_bytes()).await?;
    if !rest.is_empty() {
        pause(environment.between(50.0, 600.0)).await;
        stream.write_all(rest.as_bytes()).await?;
    }
    Ok(())
}

/// Sends a part of a request now and then, on a new connection or after an answer, and keeps the connection
/// open.
pub async fn send_incomplete_requests(environment: Rc<Environment>, limiter: Limiter) {
    loop {
        pause(environment.between(MIN_INCOMPLETE_INTERVAL_MS, MAX_INCOMPLETE_INTERVAL_MS)).await;
        if environment.clients_done.get() {
            return;
        }
        let Some(mut open) = connect(&environment, limiter).await else { return };
        if environment.chance(0.5)
            && exchange(&environment, limiter, &mut open).await != (ExchangeEnd::Answered { kept: true })
        {
            continue;
        }
        let text = request_text(&environment, limiter, environment.number(), Effect::Safe, 1000.0);
        let length = environment.draw(|rng| rng.usize(1..text.len() - 4));
        let started = environment.now();
        if open.stream.write_all(&text.as_bytes()[..length]).await.is_err() {
            continue;
        }
        let ended = tokio::time::timeout(
            INCOMPLETE_REQUEST_WAIT,
            http::read_message(&mut open.stream, &mut open.buffer),
        )
        .await;
        environment.record(What::HalfEnded {
            limiter,
            after_ms: ended.is_ok().then(|| environment.now() - started),
        });
    }
}

/// Opens connections that send nothing and stay open.
pub async fn open_idle_connections(environment: Rc<Environment>, limiter: Limiter, count: u32) {
    let mut idle = Vec::new();
    for _ in 0..count {
        idle.extend(connect_unconditionally(&environment, limiter).await);
    }
    pause(4000.0).await;
}
