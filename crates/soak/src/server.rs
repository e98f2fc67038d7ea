//! Servers: they note each attempt, and do with it what a draw says.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::history::{Attempt, Millis, Outcome, Request, Server, What};
use crate::wire::{self, Buffer};
use crate::world::{State, World};

/// What a server does with an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Act {
    Serve(Millis),
    Error,
    TurnAway,
    Reset(Millis),
}

/// Serves as one process of a server, until its life ends.
pub async fn serve(world: Rc<World>, server: Server, listener: TcpListener) {
    let mut life = world.hosts.borrow()[server].life.subscribe();
    loop {
        tokio::select! {
            _ = life.changed() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (world, life) = (world.clone(), life.clone());
                tokio::task::spawn_local(async move {
                    let _ = connection(&world, server, stream, life).await;
                });
            }
        }
    }
}

async fn connection(
    world: &World,
    server: Server,
    mut stream: TcpStream,
    mut life: watch::Receiver<u64>,
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
                _ = life.changed() => return reset(stream),
                more = buffer.fill(&mut stream) => more?,
            };
            if !more {
                return Ok(());
            }
            begun.get_or_insert_with(|| world.now());
        };
        let begun = begun.unwrap_or_else(|| world.now());
        let named = message.header("x-correlation-id").and_then(|id| Request::from_str_radix(id, 16).ok());
        let Some(request) = named else {
            stream.write_all(wire::answer("404 Not Found", "", "").as_bytes()).await?;
            continue;
        };
        let left_s: f64 = message.header("x-time-left").and_then(|v| v.parse().ok()).unwrap_or(f64::INFINITY);
        let attempt = world.number();
        world.record(What::Arrived { attempt, request, server, begun, left_ms: left_s * 1000.0 });
        let act = tokio::select! {
            _ = life.changed() => {
                over(world, attempt, Outcome::Reset);
                return reset(stream);
            }
            act = work(world, server, &mut stream) => act,
        };
        let Some(act) = act else {
            over(world, attempt, Outcome::GivenUp);
            return Ok(());
        };
        let (outcome, text) = match act {
            Act::Serve(_) => (Outcome::Served, wire::answer("200 OK", "", &body(attempt))),
            Act::Error => (Outcome::Error, wire::answer("500 Broken", "", "")),
            Act::TurnAway => (Outcome::Unprocessed, wire::answer("503 Full", "X-Unprocessed: 1\r\n", "")),
            Act::Reset(_) => {
                over(world, attempt, Outcome::Reset);
                return reset(stream);
            }
        };
        over(world, attempt, outcome);
        stream.write_all(text.as_bytes()).await?;
    }
}

/// The body of an answer: it names its attempt.
fn body(attempt: Attempt) -> String {
    format!("attempt {attempt}")
}

/// The attempt that a body names.
pub fn body_of(text: &str) -> Option<Attempt> {
    text.strip_prefix("attempt ")?.parse().ok()
}

fn over(world: &World, attempt: Attempt, outcome: Outcome) {
    world.record(What::Over { attempt, outcome });
}

/// Works on an attempt; nothing where its limiter gives it up.
async fn work(world: &World, server: Server, stream: &mut TcpStream) -> Option<Act> {
    let drains = world.hosts.borrow()[server].state != State::Active;
    let act = match world.draw(|rng| rng.u32(0..100)) {
        _ if drains && world.chance(0.5) => Act::TurnAway,
        0..=3 => Act::TurnAway,
        4..=6 => Act::Error,
        7..=8 => Act::Reset(world.between(0.0, 60.0)),
        9..=11 => Act::Serve(world.between(300.0, 900.0)),
        _ => Act::Serve(world.between(5.0, 60.0)),
    };
    let takes = match act {
        Act::Serve(ms) | Act::Reset(ms) => ms,
        Act::Error | Act::TurnAway => 2.0,
    };
    let until = world.now() + takes;
    let mut byte = [0];
    loop {
        let wait = until.max(world.hosts.borrow()[server].hangs_until) - world.now();
        if wait <= 0.0 {
            return Some(act);
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(wait / 1000.0)) => {}
            // Nothing may come but the end.
            _ = stream.read(&mut byte) => return None,
        }
    }
}

/// Breaks a connection off.
fn reset(stream: TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}
