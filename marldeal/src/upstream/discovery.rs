//! The watch on the list of servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::info;

use crate::driver::Driver;
use crate::settings::roster::{news, List};
use crate::upstream::asking::{self, Asking};

/// Beats come every 2 s; after two missed ones the watch counts as broken.
const SILENCE: Duration = Duration::from_millis(4500);
/// Longest line taken in.
const MOST_LINE: usize = 4 << 20;

/// One source and how far its versions are known: those of another source say nothing here.
struct Source {
    addr: SocketAddr,
    number: u32,
    version: Option<u64>,
}

/// Watches for ever where the configuration says. After a reload the old watch goes on beside the new one
/// until that has told its list: what the old place tells meanwhile is not lost, and what it tells later is
/// not heard.
pub async fn watch(driver: Rc<Driver>) {
    let mut version = driver.config.known.as_ref().map(|known| known.version);
    // What was known last serves until this limiter's turn comes; with nothing known there is nothing to wait with.
    let mut asking = asking(&driver, 0);
    if version.is_some() {
        tokio::time::sleep(asking.first()).await;
    }
    loop {
        let sources = &driver.sources;
        let source =
            Source { addr: sources.addr.get(), number: sources.newest.get(), version: version.take() };
        tokio::task::spawn_local(keep(driver.clone(), source));
        sources.turned.notified().await;
    }
}

fn asking(driver: &Driver, stream: u64) -> Asking {
    let settings = &driver.config.settings;
    let source = match settings.must_subscribe {
        true => asking::Source::Shared { limiters: settings.limiters },
        false => asking::Source::Agent,
    };
    Asking::new(source, driver.config.seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Keeps one source watched; a watch that ends, breaks or falls silent is begun anew from the last version,
/// unless there is a newer source by then.
async fn keep(driver: Rc<Driver>, mut source: Source) {
    let mut asking = asking(&driver, u64::from(source.number) + 1);
    loop {
        let before = source.version;
        let why = follow(&driver, &mut source).await;
        if driver.sources.newest.get() != source.number {
            return info!("discovery: {why}; {} is watched no more", source.addr);
        }
        let wait = asking.again(source.version != before);
        info!("discovery: {why}; watching again in {} ms", wait.as_millis());
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = driver.list_wanted.notified() => {}
        }
        if driver.take_whole_wanted() {
            source.version = None;
        }
    }
}

/// One watch, until it ends; says why.
async fn follow(driver: &Rc<Driver>, source: &mut Source) -> String {
    let connect = async {
        let stream = TcpStream::connect(source.addr).await.map_err(|e| e.to_string())?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let task = Abort(tokio::task::spawn_local(async move { drop(connection.await) }));
        let path = match source.version {
            Some(v) => format!("/api/targets?watch=1&after={v}"),
            None => "/api/targets?watch=1".to_string(),
        };
        let request = hyper::Request::get(path)
            .header("host", source.addr.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|e| e.to_string())?;
        let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
        if answer.status() != hyper::StatusCode::OK {
            return Err(format!("answered {}", answer.status()));
        }
        Ok((task, answer.into_body()))
    };
    match timeout(SILENCE, connect).await {
        Ok(Ok((_task, body))) => read(driver, body, source).await,
        Ok(Err(why)) => why,
        Err(_) => "no answer".to_string(),
    }
}

struct Abort(tokio::task::JoinHandle<()>);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn read(driver: &Rc<Driver>, mut body: Incoming, source: &mut Source) -> String {
    let mut buffer = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = timeout(SILENCE, body.frame()) => frame,
            () = driver.list_wanted.notified() => return "asked for anew".to_string(),
        };
        let frame = match frame {
            Err(_) => return "silent".to_string(),
            Ok(None) => return "ended".to_string(),
            Ok(Some(Err(e))) => return e.to_string(),
            Ok(Some(Ok(frame))) => frame,
        };
        if driver.sources.told.get() > source.number {
            return "another source speaks".to_string();
        }
        let Some(data) = frame.data_ref() else { continue };
        // A chunk may end within a line: what is left waits for the rest.
        let mut from = buffer.len();
        buffer.extend_from_slice(data);
        while let Some(end) = buffer[from..].iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(from + end + 1);
            from = 0;
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match serde_json::from_slice::<List>(&line) {
                Ok(list) => {
                    source.version = Some(list.version);
                    driver.sources.told.set(source.number);
                    let (news, notes) = news(list, &driver.config.names);
                    notes.iter().for_each(|note| info!("{note}"));
                    driver.servers(news);
                }
                // What the line held is missing from now on: the watch begins anew where it was still whole.
                Err(e) => return format!("bad line: {e}"),
            }
        }
        if buffer.len() > MOST_LINE {
            return "line too long".to_string();
        }
    }
}
