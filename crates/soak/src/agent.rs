//! Discovery agents. Each limiter has two, since a reload changes its configuration from one to the other.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::environment::Environment;
use crate::history::Limiter;
use crate::http::{self, Buffer};

/// Interval between empty lines on an open watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);
/// Share of watch requests that a silent agent never answers; it answers the others when it is no longer
/// silent.
const IGNORED_WATCH_SHARE: f64 = 0.5;
/// Share of first answers that hold the full list whatever was asked for.
const FULL_LIST_SHARE: f64 = 0.5;

/// Serves one agent of a limiter until the end of the run.
pub async fn serve(environment: Rc<Environment>, limiter: Limiter, agent: usize, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let environment = environment.clone();
        tokio::task::spawn_local(async move {
            let _ = serve_watch(&environment, limiter, agent, stream).await;
        });
    }
}

/// Whether this agent is silent, or the limiter's configuration names the other one.
fn is_silent(environment: &Environment, limiter: Limiter, agent: usize) -> bool {
    let entry = &environment.limiters[limiter];
    entry.agent_silent.get() || entry.active_agent.get() != agent
}

async fn serve_watch(
    environment: &Environment,
    limiter: Limiter,
    agent: usize,
    mut stream: TcpStream,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let entry = &environment.limiters[limiter];
    let Some(request) = http::read_message(&mut stream, &mut Buffer::default()).await? else { return Ok(()) };
    let mut changes = environment.changed.subscribe();
    if is_silent(environment, limiter, agent) && environment.chance(IGNORED_WATCH_SHARE) {
        std::future::pending::<()>().await;
    }
    while is_silent(environment, limiter, agent) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let number = entry.watch_count.get() + 1;
    entry.watch_count.set(number);
    let after = request
        .first_line
        .split("after=")
        .nth(1)
        .and_then(|v| v.split_whitespace().next()?.parse::<u64>().ok());
    let after = after.filter(|_| !environment.chance(FULL_LIST_SHARE));
    let mut sent = environment.version.get();
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    write_chunk(&mut stream, &environment.server_list(after)).await?;
    // The limiter is notified by a new watch, so earlier muted watches no longer matter.
    entry.muted_until.set(0.0);
    environment.notify(limiter);
    loop {
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                if !is_silent(environment, limiter, agent) && entry.first_unmuted_watch.get() <= number {
                    write_chunk(&mut stream, "\n").await?;
                }
            }
            () = entry.close_watches.notified() => return Ok(()),
        }
        if is_silent(environment, limiter, agent) || entry.first_unmuted_watch.get() > number {
            continue;
        }
        if environment.version.get() > sent {
            let list = environment.server_list(Some(sent));
            sent = environment.version.get();
            write_chunk(&mut stream, &list).await?;
        }
    }
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}
