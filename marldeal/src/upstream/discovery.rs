//! The watch on the list of servers: carries out what [`WatchController`] decides.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};
use tracing::info;

use crate::driver::Driver;
use crate::settings::server_list::{server_update, ServerList};
use crate::socket::SharedSocket;
use crate::upstream::framing::{WatchDecoder, WatchMessage};
use crate::upstream::registry_backoff::RegistryBackoff;
use crate::upstream::watch_controller::{CallId, Millis, Step, WatchController, WatchSource};

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
    let mut version = driver.config.known_servers.as_ref().map(|known| known.version);
    loop {
        let sources = &driver.sources;
        let source =
            Source { addr: sources.addr.get(), number: sources.current.get(), version: version.take() };
        tokio::task::spawn_local(keep(driver.clone(), source));
        sources.changed.notified().await;
    }
}

/// How a source is asked, and how long the first call waits.
fn watch_controller(driver: &Driver, source: &Source) -> WatchController {
    let settings = &driver.config.settings;
    if !settings.must_subscribe {
        return WatchController::new(WatchSource::agent(driver.config.drain_grace_ms), 0.0, 0.0);
    }
    let seed = driver.config.seed ^ u64::from(source.number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut backoff = RegistryBackoff::new(settings.limiters, seed);
    // What was known last serves until this limiter's turn comes; with nothing known there is nothing to wait with. A
    // new place is asked by all soon.
    let wait = match (source.version, source.number) {
        (Some(_), 0) => backoff.initial_wait(),
        (None, 0) => Duration::ZERO,
        _ => backoff.urgent_wait(),
    };
    WatchController::new(WatchSource::Registry(backoff), 0.0, wait.as_secs_f64() * 1000.0)
}

/// Ends a connection's task when it is dropped.
struct Abort(AbortHandle);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answered call.
struct Watch {
    call: CallId,
    body: Incoming,
    decoder: WatchDecoder,
    _connection: Abort,
}

/// A call that was answered.
struct Answered {
    connection: Abort,
    body: Incoming,
    socket: SharedSocket,
}

/// Keeps one source watched from the last version on. The one that serves no more is left when its watch ends, or when a
/// newer one has told its list.
async fn keep(driver: Rc<Driver>, mut source: Source) {
    let began = Instant::now();
    let now = || began.elapsed().as_secs_f64() * 1000.0;
    let mut controller = watch_controller(&driver, &source);
    let mut wishes = driver.list_refresh.subscribe();
    let mut whole = *wishes.borrow();
    let mut calls = JoinSet::new();
    let mut waiting: HashMap<CallId, AbortHandle> = HashMap::new();
    let mut watch: Option<Watch> = None;
    let mut said = String::new();
    loop {
        if watch.is_none() {
            driver.set_watch_socket(source.number, None);
        }
        while let Some(step) = controller.step(now()) {
            match step {
                Step::Begin(call) => {
                    let asks = ask(source.addr, source.version);
                    waiting.insert(call, calls.spawn_local(async move { (call, asks.await) }));
                }
                Step::Close(call, why) => {
                    waiting.remove(&call).inspect(AbortHandle::abort);
                    if watch.take_if(|w| w.call == call).is_some() {
                        info!("discovery: {why}; watching again");
                    }
                }
            }
        }
        let due = began + Duration::from_secs_f64(controller.next_due().clamp(0.0, 1e9) / 1000.0);
        // What has come goes before what is due: after a pause, what waited here must not be taken for silence.
        let why = tokio::select! {
            biased;
            frame = frame(&mut watch) => match frame {
                _ if driver.sources.last_received.get() > source.number => None,
                Ok(bytes) => hear(&driver, &mut source, &mut watch, &mut controller, &bytes, now()).err(),
                Err(why) => Some(why),
            },
            Some(done) = calls.join_next(), if !calls.is_empty() => {
                // One that was called off is out of the controller already.
                let Ok((call, answer)) = done else { continue };
                waiting.remove(&call);
                match answer {
                    Ok(Answered { connection, body, socket }) => {
                        if controller.answered(now(), call) {
                            said.clear();
                            driver.set_watch_socket(source.number, Some(socket));
                            watch = Some(Watch { call, body, decoder: WatchDecoder::default(), _connection: connection });
                        }
                    }
                    Err(why) => {
                        controller.ended(now(), call);
                        if why != said {
                            info!("discovery: {why}; tried again");
                        }
                        said = why;
                    }
                }
                None
            }
            Ok(()) = wishes.changed() => {
                let wanted = *wishes.borrow_and_update();
                if std::mem::replace(&mut whole, wanted) != wanted {
                    source.version = None;
                }
                watch = None;
                controller.restart(now()).iter().for_each(|call| drop(waiting.remove(call).inspect(AbortHandle::abort)));
                None
            }
            () = tokio::time::sleep_until(due.into()) => None,
        };
        if driver.sources.last_received.get() > source.number {
            driver.set_watch_socket(source.number, None);
            return info!("discovery: another source speaks; {} is watched no more", source.addr);
        }
        if let Some(why) = why {
            info!("discovery: {why}; watching again");
            watch.take().into_iter().for_each(|w| controller.ended(now(), w.call));
        }
    }
}

/// What comes next on the watch; nothing ever while there is none.
async fn frame(watch: &mut Option<Watch>) -> Result<Bytes, String> {
    let Some(watch) = watch else { return std::future::pending().await };
    match watch.body.frame().await {
        None => Err("ended".to_string()),
        Some(Err(e)) => Err(e.to_string()),
        Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
    }
}

/// Takes in what has come on the watch.
fn hear(
    driver: &Rc<Driver>,
    source: &mut Source,
    watch: &mut Option<Watch>,
    controller: &mut WatchController,
    bytes: &[u8],
    now: Millis,
) -> Result<(), String> {
    let Some(watch) = watch else { return Ok(()) };
    watch.decoder.push(bytes);
    while let Some(message) = watch.decoder.next_message()? {
        controller.message_received(now, message != WatchMessage::Heartbeat);
        let WatchMessage::List(bytes) = message else { continue };
        // What a bad one held is missing from now on: the watch begins anew where it was still whole.
        let list = serde_json::from_slice::<ServerList>(&bytes).map_err(|e| format!("bad line: {e}"))?;
        source.version = Some(list.version);
        driver.sources.last_received.set(source.number);
        let (news, notes) = server_update(list, &driver.config.names);
        notes.iter().for_each(|note| info!("{note}"));
        driver.update_servers(news);
    }
    Ok(())
}

/// One call, until its answer begins.
async fn ask(addr: SocketAddr, after: Option<u64>) -> Result<Answered, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    let socket = SharedSocket::new(stream);
    let wire = TokioIo::new(socket.clone());
    let (mut sender, connection) = http1::handshake(wire).await.map_err(|e| e.to_string())?;
    let task = tokio::task::spawn_local(async move { drop(connection.await) });
    let connection = Abort(task.abort_handle());
    let path = match after {
        Some(v) => format!("/api/targets?watch=1&after={v}"),
        None => "/api/targets?watch=1".to_string(),
    };
    let request = hyper::Request::get(path)
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
    if answer.status() != hyper::StatusCode::OK {
        return Err(format!("answered {}", answer.status()));
    }
    Ok(Answered { connection, body: answer.into_body(), socket })
}
