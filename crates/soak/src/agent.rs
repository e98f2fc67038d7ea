//! The discovery agents: two for each limiter, since a new configuration names the other one.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::history::Limiter;
use crate::wire::{self, Buffer};
use crate::world::World;

/// Between two empty lines.
const BEAT: Duration = Duration::from_millis(2000);
/// Share of calls that an agent which is away swallows for good; it answers the others when it is back.
const SWALLOWED: f64 = 0.5;
/// Share of first answers that are the whole list, whatever was asked for.
const WHOLE: f64 = 0.5;

/// Serves one agent of a limiter, for ever.
pub async fn serve(world: Rc<World>, limiter: Limiter, which: usize, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let world = world.clone();
        tokio::task::spawn_local(async move {
            let _ = watch(&world, limiter, which, stream).await;
        });
    }
}

/// The limiter's configuration names another agent, or this one is away.
fn silent(world: &World, limiter: Limiter, which: usize) -> bool {
    let place = &world.places[limiter];
    place.away.get() || place.agent.get() != which
}

async fn watch(world: &World, limiter: Limiter, which: usize, mut stream: TcpStream) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let place = &world.places[limiter];
    let Some(call) = wire::read(&mut stream, &mut Buffer::default()).await? else { return Ok(()) };
    let mut changes = world.changed.subscribe();
    if silent(world, limiter, which) && world.chance(SWALLOWED) {
        std::future::pending::<()>().await;
    }
    while silent(world, limiter, which) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let number = place.watches.get() + 1;
    place.watches.set(number);
    let after =
        call.first.split("after=").nth(1).and_then(|v| v.split_whitespace().next()?.parse::<u64>().ok());
    let after = after.filter(|_| !world.chance(WHOLE));
    let mut sent = world.version.get();
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    say(&mut stream, &world.list(after)).await?;
    // It has been told by a new watch: what was mute is past.
    place.mute_until.set(0.0);
    world.tell(limiter);
    loop {
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep(BEAT) => {
                if !silent(world, limiter, which) && place.first_heard.get() <= number {
                    say(&mut stream, "\n").await?;
                }
            }
            () = place.watches_end.notified() => return Ok(()),
        }
        if silent(world, limiter, which) || place.first_heard.get() > number {
            continue;
        }
        if world.version.get() > sent {
            let list = world.list(Some(sent));
            sent = world.version.get();
            say(&mut stream, &list).await?;
        }
    }
}

async fn say(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
