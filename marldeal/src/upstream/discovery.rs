//! The watch on the list of servers. Carries out what [`WatchController`] decides.

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
use crate::upstream::watch_controller::{CallId, Millis, StartReason, Step, WatchController, WatchSource};

/// A source of the list and the last version known from it. Versions of different sources are not comparable.
struct Source {
    addr: SocketAddr,
    number: u32,
    version: Option<u64>,
}

/// Watches the configured source for ever. After a reload the old watch continues beside the new one until that
/// has received its list. Changes that the old source sends until then are applied, later ones are ignored.
pub async fn watch(driver: Rc<Driver>) {
    let mut version = driver.config.known_servers.as_ref().map(|known| known.version);
    loop {
        let sources = &driver.sources;
        let source =
            Source { addr: sources.addr.get(), number: sources.current.get(), version: version.take() };
        tokio::task::spawn_local(watch_source(driver.clone(), source));
        sources.changed.notified().await;
    }
}

/// How a source is watched.
fn watch_controller(driver: &Driver, source: &Source) -> WatchController {
    let settings = &driver.config.settings;
    let reason = match (source.version, source.number) {
        (Some(_), 0) => StartReason::KnownList,
        (None, 0) => StartReason::NoList,
        _ => StartReason::NewAddress,
    };
    let kind = if settings.must_subscribe {
        let seed = driver.config.seed ^ u64::from(source.number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        WatchSource::Registry(RegistryBackoff::new(settings.limiters, seed))
    } else {
        WatchSource::agent(driver.config.drain_grace_ms)
    };
    WatchController::new(kind, 0.0, reason)
}

/// Aborts a connection's task when dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A call that was answered and has become the watch.
struct Watch {
    call: CallId,
    body: Incoming,
    decoder: WatchDecoder,
    _connection: AbortOnDrop,
}

/// The response to a call.
struct CallResponse {
    connection: AbortOnDrop,
    body: Incoming,
    socket: SharedSocket,
}

/// Watches one source, starting from its last known version. Ends when a newer source has delivered its list.
async fn watch_source(driver: Rc<Driver>, mut source: Source) {
    let started = Instant::now();
    let now = || started.elapsed().as_secs_f64() * 1000.0;
    let mut controller = watch_controller(&driver, &source);
    let mut refreshes = driver.list_refresh.subscribe();
    let mut full_refreshes = *refreshes.borrow();
    let mut calls = JoinSet::new();
    let mut pending: HashMap<CallId, AbortHandle> = HashMap::new();
    let mut watch: Option<Watch> = None;
    let mut last_error = String::new();
    loop {
        if watch.is_none() {
            driver.set_watch_socket(source.number, None);
        }
        while let Some(step) = controller.step(now()) {
            match step {
                Step::Begin(call) => {
                    let opening = open_watch(source.addr, source.version);
                    pending.insert(call, calls.spawn_local(async move { (call, opening.await) }));
                }
                Step::Close(call, reason) => {
                    pending.remove(&call).inspect(AbortHandle::abort);
                    if watch.take_if(|w| w.call == call).is_some() {
                        info!("discovery: {reason}; watching again");
                    }
                }
            }
        }
        let due = started + Duration::from_secs_f64(controller.next_due().clamp(0.0, 1e9) / 1000.0);
        // Received bytes are handled before timers. After a stall, bytes that waited here must not be taken for
        // silence.
        let reason = tokio::select! {
            biased;
            received = next_bytes(&mut watch) => match received {
                _ if driver.sources.last_received.get() > source.number => None,
                Ok(bytes) => process_bytes(&driver, &mut source, &mut watch, &mut controller, &bytes, now()).err(),
                Err(reason) => Some(reason),
            },
            Some(done) = calls.join_next(), if !calls.is_empty() => {
                // A call that was cancelled has been removed from the controller already.
                let Ok((call, response)) = done else { continue };
                pending.remove(&call);
                match response {
                    Ok(CallResponse { connection, body, socket }) => {
                        if controller.answered(now(), call) {
                            last_error.clear();
                            driver.set_watch_socket(source.number, Some(socket));
                            watch = Some(Watch { call, body, decoder: WatchDecoder::default(), _connection: connection });
                        }
                    }
                    Err(reason) => {
                        controller.ended(now(), call);
                        if reason != last_error {
                            info!("discovery: {reason}; retrying");
                        }
                        last_error = reason;
                    }
                }
                None
            }
            Ok(()) = refreshes.changed() => {
                let requested = *refreshes.borrow_and_update();
                if std::mem::replace(&mut full_refreshes, requested) != requested {
                    source.version = None;
                }
                watch = None;
                controller.restart(now()).iter().for_each(|call| drop(pending.remove(call).inspect(AbortHandle::abort)));
                None
            }
            () = tokio::time::sleep_until(due.into()) => None,
        };
        if driver.sources.last_received.get() > source.number {
            driver.set_watch_socket(source.number, None);
            return info!("discovery: another source speaks; {} is watched no more", source.addr);
        }
        if let Some(reason) = reason {
            info!("discovery: {reason}; watching again");
            watch.take().into_iter().for_each(|w| controller.ended(now(), w.call));
        }
    }
}

/// The next bytes of the watch. Never completes while there is no watch.
async fn next_bytes(watch: &mut Option<Watch>) -> Result<Bytes, String> {
    let Some(watch) = watch else { return std::future::pending().await };
    match watch.body.frame().await {
        None => Err("ended".to_string()),
        Some(Err(e)) => Err(e.to_string()),
        Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
    }
}

/// Decodes received bytes and applies the messages in them.
fn process_bytes(
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
        // The changes of an invalid list are lost, so the watch is reopened from the last valid version.
        let list = serde_json::from_slice::<ServerList>(&bytes).map_err(|e| format!("bad line: {e}"))?;
        let version = list.version;
        source.version = Some(version);
        driver.sources.last_received.set(source.number);
        let (update, notes) = server_update(list, &driver.config.names);
        notes.iter().for_each(|note| info!("{note}"));
        driver.update_servers(update, source.addr, version);
    }
    Ok(())
}

/// Makes one call. Returns once the response's head has been received.
async fn open_watch(addr: SocketAddr, after: Option<u64>) -> Result<CallResponse, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    let socket = SharedSocket::new(stream);
    let io = TokioIo::new(socket.clone());
    let (mut sender, connection) = http1::handshake(io).await.map_err(|e| e.to_string())?;
    let task = tokio::task::spawn_local(async move { drop(connection.await) });
    let connection = AbortOnDrop(task.abort_handle());
    let path = match after {
        Some(version) => format!("/api/targets?watch=1&after={version}"),
        None => "/api/targets?watch=1".to_string(),
    };
    let request = hyper::Request::get(path)
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|e| e.to_string())?;
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    if response.status() != hyper::StatusCode::OK {
        return Err(format!("the source answered with status {}", response.status()));
    }
    Ok(CallResponse { connection, body: response.into_body(), socket })
}
