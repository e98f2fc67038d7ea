//! Clients: they ask, wait, leave early, rest on their connections, ask again where one ended under them, and some misbehave.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::history::{Effect, Limiter, Millis, Request, What};
use crate::server::body_of;
use crate::wire::{self, Buffer};
use crate::world::World;

/// Mean time between one answer and the next request of a client.
const THINK_MS: Millis = 350.0;
/// Shares of requests: clients leave before the answer, write slowly, have hardly any time; and clients rest for long.
const LEAVES: f64 = 0.12;
const SLOWLY: f64 = 0.06;
const HURRIED: f64 = 0.04;
const RESTS: f64 = 0.03;
/// Half requests are sent so often, and waited for so long.
const HALF_EVERY_MS: (Millis, Millis) = (2000.0, 9000.0);
const HALF_WAIT: Duration = Duration::from_millis(8000);

async fn pause(ms: Millis) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
}

/// A connection to a limiter.
struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    /// Requests that came on it.
    asked: u32,
    process: u32,
}

/// How an exchange ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Answered { kept: bool },
    Left,
    Broken(Request),
}

/// One client, that asks as long as clients ask.
pub async fn ask(world: Rc<World>, limiter: Limiter) {
    let mut connection: Option<Connection> = None;
    while !world.over.get() {
        let think = world.draw(|rng| -THINK_MS * (1.0 - rng.f64()).ln());
        pause(if world.chance(RESTS) { think + world.between(2000.0, 6000.0) } else { think }).await;
        if connection.is_none() {
            connection = connect(&world, limiter).await;
        }
        let Some(mut open) = connection.take() else { continue };
        match exchange(&world, limiter, &mut open).await {
            End::Answered { kept: true } => connection = Some(open),
            End::Answered { kept: false } | End::Left => {}
            End::Broken(request) if open.asked > 1 => again(&world, limiter, request).await,
            End::Broken(_) => {}
        }
    }
    // What is still open rests until the end of the run: the limiter ends it.
    if let Some(mut open) = connection {
        let _ = wire::read(&mut open.stream, &mut open.buffer).await;
    }
}

async fn connect(world: &World, limiter: Limiter) -> Option<Connection> {
    let place = &world.places[limiter];
    while !place.open.get() {
        if world.over.get() {
            return None;
        }
        pause(20.0).await;
    }
    connect_anyway(world, limiter).await
}

async fn connect_anyway(world: &World, limiter: Limiter) -> Option<Connection> {
    let place = &world.places[limiter];
    let process = place.process.get();
    let stream = TcpStream::connect(place.addr.get()).await.ok()?;
    let _ = stream.set_nodelay(true);
    Some(Connection { stream, buffer: Buffer::default(), asked: 0, process })
}

/// A request that crossed the end of a resting connection is sent once more on a new one.
async fn again(world: &World, limiter: Limiter, request: Request) {
    let anew = world.number();
    world.record(What::AskedAnew { request, anew });
    if let Some(mut open) = connect_anyway(world, limiter).await {
        exchange_as(world, limiter, &mut open, anew).await;
    }
}

async fn exchange(world: &World, limiter: Limiter, open: &mut Connection) -> End {
    let request = world.number();
    exchange_as(world, limiter, open, request).await
}

async fn exchange_as(world: &World, limiter: Limiter, open: &mut Connection, request: Request) -> End {
    let effect = world.draw(|rng| {
        *rng.choice(&[Effect::Safe, Effect::Safe, Effect::Keyed, Effect::Unsafe]).unwrap_or(&Effect::Safe)
    });
    let budget_ms =
        if world.chance(HURRIED) { world.between(5.0, 100.0) } else { world.between(600.0, 2500.0) };
    let text = worded(world, limiter, request, effect, budget_ms);
    open.asked += 1;
    let kept = open.asked > 1;
    if write(world, &mut open.stream, &text).await.is_err() {
        // It was not written whole: nothing is owed.
        return End::Broken(request);
    }
    world.record(What::Asked { request, limiter, effect, budget_ms, kept, process: open.process });
    let leaves = async {
        match world.chance(LEAVES) {
            true => pause(world.between(0.0, 150.0)).await,
            false => world.places[limiter].leave.notified().await,
        }
    };
    tokio::select! {
        biased;
        came = wire::read(&mut open.stream, &mut open.buffer) => match came {
            Ok(Some(answer)) => {
                let status = answer.status().unwrap_or(0);
                world.record(What::Answered { request, status, body_of: body_of(&answer.body) });
                let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                End::Answered { kept: !closes }
            }
            Ok(None) | Err(_) => {
                world.record(What::Unanswered { request });
                End::Broken(request)
            }
        },
        () = leaves => {
            world.record(What::Left { request });
            End::Left
        }
    }
}

/// A request in the platform's form. Half of them ask under a quota, for which limiters ask one another.
fn worded(world: &World, limiter: Limiter, request: Request, effect: Effect, budget_ms: Millis) -> String {
    let (method, class) = match effect {
        Effect::Safe => ("GET", "look"),
        Effect::Keyed => ("POST", "book"),
        Effect::Unsafe => ("POST", "pay"),
    };
    let plan = if world.chance(0.5) { "free" } else { "rated" };
    let customer = world.draw(|rng| rng.u64(1..60));
    let limiters = world.places.len();
    let first = (limiter + limiters - world.draw(|rng| rng.usize(0..3.min(limiters)))) % limiters;
    let mut text = format!(
        "{method} /{class}/{customer:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\nX-Tariff: {plan}\r\n\
         X-Time-Left: {:.3}\r\nX-Weight: units=1,spread={},first={first}\r\n",
        World::correlation(request),
        budget_ms / 1000.0,
        3.min(limiters),
    );
    if effect == Effect::Keyed {
        text += &format!("Idempotency-Key: {request:032x}\r\n");
    }
    text + if effect == Effect::Safe { "\r\n" } else { "Content-Length: 5\r\n\r\nlot=7" }
}

/// Writes a request, some of them in two pieces.
async fn write(world: &World, stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let (first, rest) = match world.chance(SLOWLY) {
        true => text.split_at(world.draw(|rng| rng.usize(1..text.len()))),
        false => (text, ""),
    };
    stream.write_all(first.as_bytes()).await?;
    if !rest.is_empty() {
        pause(world.between(50.0, 600.0)).await;
        stream.write_all(rest.as_bytes()).await?;
    }
    Ok(())
}

/// A client that sends a part of a request now and then, on a new connection or behind an answer, and stays.
pub async fn stop_half_way(world: Rc<World>, limiter: Limiter) {
    loop {
        pause(world.between(HALF_EVERY_MS.0, HALF_EVERY_MS.1)).await;
        if world.over.get() {
            return;
        }
        let Some(mut open) = connect(&world, limiter).await else { return };
        if world.chance(0.5) && exchange(&world, limiter, &mut open).await != (End::Answered { kept: true }) {
            continue;
        }
        let text = worded(&world, limiter, world.number(), Effect::Safe, 1000.0);
        let part = world.draw(|rng| rng.usize(1..text.len() - 4));
        let began = world.now();
        if open.stream.write_all(&text.as_bytes()[..part]).await.is_err() {
            continue;
        }
        let ended = tokio::time::timeout(HALF_WAIT, wire::read(&mut open.stream, &mut open.buffer)).await;
        world.record(What::HalfEnded { limiter, after_ms: ended.is_ok().then(|| world.now() - began) });
    }
}

/// Clients that connect, say nothing and stay.
pub async fn crowd(world: Rc<World>, limiter: Limiter, count: u32) {
    let mut idle = Vec::new();
    for _ in 0..count {
        idle.extend(connect_anyway(&world, limiter).await);
    }
    pause(4000.0).await;
}
