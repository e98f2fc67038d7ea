//! Servers: they record each attempt and treat it as drawn at random.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::environment::{Environment, ServerState};
use crate::history::{Attempt, Millis, Outcome, Request, Server, What};
use crate::http::{self, Buffer};

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
            if let Some(message) = buffer.take() {
                break message;
            }
            let more = tokio::select! {
                _ = generation.changed() => return reset_connection(stream),
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
        let behaviour = tokio::select! {
            _ = generation.changed() => {
                record_end(environment, attempt, Outcome::Reset);
                return reset_connection(stream);
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

/// Resets a connection.
fn reset_connection(stream: TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}
