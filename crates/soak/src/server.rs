//! Servers: they record each attempt and treat it as drawn at random.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::environment::{Environment, ServerState};
use crate::history::{Attempt, Millis, Outcome, Request, Server, What};
use crate::http::{self, Buffer};
use crate::slow_peers::{self, LongAnswer};

/// How a server treats an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    Serve(Millis),
    Error,
    Reject,
    Reset(Millis),
}

/// Serves as one process of a server until its generation changes.
pub async fn serve(environment: Rc<Environment>, server: Server, listener: TcpListener) {
    let mut generation = environment.servers.borrow()[server].generation.subscribe();
    loop {
        tokio::select! {
            _ = generation.changed() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (environment, generation) = (environment.clone(), generation.clone());
                tokio::task::spawn_local(async move {
                    let _ = serve_connection(&environment, server, stream, generation).await;
                });
            }
        }
    }
}

async fn serve_connection(
    environment: &Environment,
    server: Server,
    mut stream: TcpStream,
    mut generation: watch::Receiver<u64>,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut buffer = Buffer::default();
    loop {
        let mut begun = None;
        let message = loop {
            if let Some((head, first_bytes)) = buffer.take_marked_head(slow_peers::EARLY_ANSWER) {
                return answer_early(environment, &mut stream, &head, first_bytes).await;
            }
            if let Some(message) = buffer.take() {
                break message;
            }
            let more = tokio::select! {
                _ = generation.changed() => return end_connection(environment, server, stream).await,
                more = buffer.fill(&mut stream) => more?,
            };
            if !more {
                return Ok(());
            }
            begun.get_or_insert_with(|| environment.now());
        };
        let begun = begun.unwrap_or_else(|| environment.now());
        let named = message.header("x-correlation-id").and_then(|id| Request::from_str_radix(id, 16).ok());
        let Some(request) = named else {
            stream.write_all(http::format_answer("404 Not Found", "", "").as_bytes()).await?;
            continue;
        };
        let left_s: f64 = message.header("x-time-left").and_then(|v| v.parse().ok()).unwrap_or(f64::INFINITY);
        let attempt = environment.number();
        environment.record(What::Arrived { attempt, request, server, begun, left_ms: left_s * 1000.0 });
        if let Some(answer) = LongAnswer::parse(&message.first_line) {
            return give_long_answer(environment, server, stream, generation, request, answer).await;
        }
        let behaviour = tokio::select! {
            _ = generation.changed() => {
                record_end(environment, attempt, Outcome::Reset);
                return end_connection(environment, server, stream).await;
            }
            behaviour = work_on(environment, server, &mut stream) => behaviour,
        };
        let Some(behaviour) = behaviour else {
            record_end(environment, attempt, Outcome::GivenUp);
            return Ok(());
        };
        let (outcome, text) = match behaviour {
            Behaviour::Serve(_) => {
                (Outcome::Served, http::format_answer("200 OK", "", &answer_body(attempt)))
            }
            Behaviour::Error => (Outcome::Error, http::format_answer("500 Broken", "", "")),
            Behaviour::Reject => {
                (Outcome::Unprocessed, http::format_answer("503 Full", "X-Unprocessed: 1\r\n", ""))
            }
            Behaviour::Reset(_) => {
                record_end(environment, attempt, Outcome::Reset);
                return reset_connection(stream);
            }
        };
        record_end(environment, attempt, outcome);
        stream.write_all(text.as_bytes()).await?;
    }
}

/// Returns the body of an answer, which names its attempt.
fn answer_body(attempt: Attempt) -> String {
    format!("attempt {attempt}")
}

/// Returns the attempt that a body names.
pub fn attempt_in_body(text: &str) -> Option<Attempt> {
    text.strip_prefix("attempt ")?.parse().ok()
}

fn record_end(environment: &Environment, attempt: Attempt, outcome: Outcome) {
    environment.record(What::Over { attempt, outcome });
}

/// Works on an attempt; `None` if its limiter closes the connection.
async fn work_on(environment: &Environment, server: Server, stream: &mut TcpStream) -> Option<Behaviour> {
    let drains = environment.servers.borrow()[server].state != ServerState::Active;
    let behaviour = match environment.draw(|rng| rng.u32(0..100)) {
        _ if drains && environment.chance(0.5) => Behaviour::Reject,
        0..=3 => Behaviour::Reject,
        4..=6 => Behaviour::Error,
        7..=8 => Behaviour::Reset(environment.between(0.0, 60.0)),
        9..=11 => Behaviour::Serve(environment.between(300.0, 900.0)),
        _ => Behaviour::Serve(environment.between(5.0, 60.0)),
    };
    let duration_ms = match behaviour {
        Behaviour::Serve(ms) | Behaviour::Reset(ms) => ms,
        Behaviour::Error | Behaviour::Reject => 2.0,
    };
    let until = environment.now() + duration_ms;
    let mut byte = [0];
    loop {
        let wait = until.max(environment.servers.borrow()[server].hung_until) - environment.now();
        if wait <= 0.0 {
            return Some(behaviour);
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(wait / 1000.0)) => {}
            // A limiter sends nothing before the answer, so a read returns only at the close.
            _ = stream.read(&mut byte) => return None,
        }
    }
}

/// Answers 200 before the body of a request has been read, and reads on.
async fn answer_early(
    environment: &Environment,
    stream: &mut TcpStream,
    head: &http::Message,
    first_bytes: Vec<u8>,
) -> io::Result<()> {
    let named = head.header("x-correlation-id").and_then(|id| Request::from_str_radix(id, 16).ok());
    stream.write_all(http::format_answer("200 OK", "", "").as_bytes()).await?;
    if let (true, Some(request)) = (http::discard_body(stream, head, first_bytes).await?, named) {
        environment.record(What::UnsoundArrived { request });
    }
    Ok(())
}

/// Gives a long answer, slowly, unless the server's process ends.
async fn give_long_answer(
    environment: &Environment,
    server: Server,
    mut stream: TcpStream,
    mut generation: watch::Receiver<u64>,
    request: Request,
    answer: LongAnswer,
) -> io::Result<()> {
    environment.record(What::GivingBegan { request });
    let body_begun = Cell::new(false);
    let ended = tokio::select! {
        _ = generation.changed() => None,
        written = answer.write(&mut stream, &body_begun) => Some(written),
    };
    let cut_off = matches!(ended, Some(Err(_)));
    environment.record(What::GivingEnded { request, cut_off, body_begun: body_begun.get() });
    match ended {
        None => end_connection(environment, server, stream).await,
        Some(written) => written,
    }
}

/// Ends a connection of a process that has ended: it is reset, or stays open and silent if the machine has vanished. What is
/// written to it then is recorded.
async fn end_connection(environment: &Environment, server: Server, mut stream: TcpStream) -> io::Result<()> {
    if !environment.servers.borrow()[server].vanished {
        return reset_connection(stream);
    }
    let mut buffer = Buffer::default();
    while let Some(message) = http::read_message(&mut stream, &mut buffer).await? {
        let named = message.header("x-correlation-id").and_then(|id| Request::from_str_radix(id, 16).ok());
        let restarted_at = environment.servers.borrow()[server].restarted_at;
        if let Some(request) = named {
            let after_start_ms = environment.now() - restarted_at;
            environment.record(What::SentToVanished { request, server, after_start_ms });
        }
    }
    Ok(())
}

/// Resets a connection.
fn reset_connection(stream: TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}
