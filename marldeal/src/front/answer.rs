//! Answers one request of the direct front: reads and checks it, submits it to the driver and waits for the
//! answer.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fawnhill::RequestId;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};
use marldeal_engine::counters::RequestOutcome;
use marldeal_lifecycle::transfers::Direction;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};
use tracing::debug;

use crate::driver::{Answer, Driver, RequestContent};
use crate::front::connection::Client;
use crate::front::head;
use crate::payload::{self, BodyFailure, Payload, ReceiveError, ResponseBody, StreamedBody};
use crate::socket::{SharedSocket, Unread};

/// How long a request that arrives while this process stops may take to be read before it is refused.
pub(super) const LATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// The rest of a body that is too large is read up to this many bytes and this long, so that its sender sees the
/// answer.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to wait for a close that may follow bytes which the client's system has not sent yet, and how often to
/// look.
const CLOSE_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(50);
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How often to check whether a client is still sending the body that is passed on.
const BODY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Notifies the driver of a disconnect when the client's connection ends before the answer.
struct DisconnectGuard<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.id);
    }
}

/// Answers one request. `socket` is the socket of the client that sent it.
pub(super) async fn respond(
    driver: &Rc<Driver>,
    client: &Client,
    socket: &SharedSocket,
    request: hyper::Request<Incoming>,
) -> Response<ResponseBody> {
    let began = driver.now();
    // Bytes that arrive from here on, except this request's body, belong to the next request.
    client.partial_request_since.set(None);
    if request.uri().path() == "/-/ready" {
        let status = if driver.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return text_response(status, "");
    }
    let (head, body) = request.into_parts();
    if client.late.get() {
        // The client reads the answer only after it has sent everything.
        let _ = timeout(LATE_REQUEST_TIMEOUT, discard(body)).await;
        if let Some(class) = head::named_class(&driver.config, &client.layout, &head) {
            driver.update_counters(|counters| {
                counters.record_answered_locally(class, RequestOutcome::Declined)
            });
        }
        return refusal(
            f64::from(driver.config.settings.may_advise) * LATE_REQUEST_TIMEOUT.as_secs_f64() * 1000.0,
        );
    }
    let mut delay_ms = client.queue_wait.take().as_secs_f64() * 1000.0;
    if let Some(until) = client.delayed_until.take() {
        let arrived_at = Instant::now();
        tokio::time::sleep_until(until).await;
        delay_ms += arrived_at.elapsed().as_secs_f64() * 1000.0;
    }
    let mut parsed = match head::parse(&driver.config, &client.layout, &head) {
        Ok(parsed) => parsed,
        Err((status, why)) => {
            if let Some(class) = head::named_class(&driver.config, &client.layout, &head) {
                driver.update_counters(|counters| {
                    counters.record_answered_locally(class, RequestOutcome::Aborted)
                });
            }
            return rejection(client, status, why);
        }
    };
    let received = if body.is_end_stream() {
        payload::receive(body, &driver.body_budget).await
    } else {
        client.transfer.begin(Direction::Upload, false);
        tokio::select! {
            biased;
            received = payload::receive(body, &driver.body_budget) => received,
            () = client.transfer.wait_for_refusal() => {
                driver.update_counters(|counters| {
                    counters.record_answered_locally(parsed.request.class, RequestOutcome::Declined)
                });
                return refuse_transfer(client);
            }
        }
    };
    client.reading_body.set(false);
    let body = match received {
        Ok(body) => body,
        Err(ReceiveError::TooLarge(body)) => {
            let _ = timeout(DISCARD_TIMEOUT, discard(body)).await;
            return reject_body(client, BodyFailure::TooLarge);
        }
        Err(ReceiveError::Failed(failure)) => return reject_body(client, failure),
    };
    let empty = matches!(body, Payload::Buffered { length: 0, .. });
    if head.method == Method::GET && !empty {
        return rejection(client, StatusCode::BAD_REQUEST, "a GET has no body");
    }
    // Bytes that waited, and a body that goes on: the close may be behind bytes that have not been read.
    if let Payload::Streamed(pipe) = &body {
        if delay_ms > 0.0 || driver.stalled_since(began) {
            match presence_behind_unread(socket).await {
                Presence::Connected => {}
                Presence::Disconnected => {
                    return rejection(client, StatusCode::BAD_REQUEST, "its client has left")
                }
                Presence::Unknown => {
                    driver.update_counters(|counters| {
                        counters.record_answered_locally(parsed.request.class, RequestOutcome::Declined)
                    });
                    let sent_all = discard_upload(client, pipe).await;
                    let answer = refusal(0.0);
                    return if sent_all { answer } else { closing(answer) };
                }
            }
        }
    }
    let pipe = match &body {
        Payload::Streamed(pipe) => {
            client.transfer.begin_streaming();
            Some(pipe.clone())
        }
        Payload::Buffered { .. } => {
            client.transfer.end();
            None
        }
    };
    // The client's time ran while its connection waited to be accepted or was delayed.
    parsed.request.budget_ms = (parsed.request.budget_ms - delay_ms).max(0.0);
    let content = RequestContent {
        method: head.method,
        target: parsed.target,
        correlation_id: parsed.correlation_id,
        idempotency_key: parsed.idempotency_key,
        body,
        budget_ms: parsed.request.budget_ms,
        first_byte_due: match &pipe {
            Some(_) => f64::INFINITY,
            None => driver.first_byte_due(&parsed.request) - delay_ms,
        },
        pass_on: Notify::new(),
        answer_retention_ms: driver.answer_retention_ms(&parsed.request),
        effect: driver.effect(&parsed.request),
        may_have_run_since: Cell::new(None),
        attempt_sent_at: Cell::new(None),
    };
    if let Some(body) = driver.cached_answer(&content) {
        driver.update_counters(|counters| {
            counters.record_answered_locally(parsed.request.class, RequestOutcome::Succeeded)
        });
        return Response::new(ResponseBody::Buffered(body));
    }
    // The request was queued behind another one, and the client disconnected during that one: no attempt is made.
    if !client.read_drained.get() && socket.remote_closed() {
        return rejection(client, StatusCode::BAD_REQUEST, "its client has left");
    }
    let class = parsed.request.class;
    let correlation = content.correlation_id.clone();
    let Some((id, receiver)) = driver.submit(content, parsed.request, socket.clone()) else {
        driver.update_counters(|counters| counters.record_answered_locally(class, RequestOutcome::Aborted));
        return rejection(client, StatusCode::CONFLICT, "a request with this X-Correlation-Id is open");
    };
    let connection = client.connection_id;
    let buffered = pipe.is_none();
    debug!(
        event = "taken",
        request = id,
        ?correlation,
        class,
        connection,
        buffered,
        "request {id} was accepted on connection {connection}"
    );
    let guard = DisconnectGuard { driver, id };
    let answer = match &pipe {
        Some(pipe) => tokio::select! {
            biased;
            answer = receiver => answer,
            failure = pipe.wait_for_failure() => {
                drop(guard);
                return reject_body(client, failure);
            }
            () = refused_upload(driver, client, id) => {
                drop(guard);
                return refuse_transfer(client);
            }
            never = report_arriving_body(driver, client, id, pipe, socket) => match never {},
        },
        None => receiver.await,
    };
    drop(guard);
    // A client reads its answer only after it has sent the whole body. If the answer is streamed, the server still
    // takes the rest of the body.
    let sent_all = match (&pipe, &answer) {
        (None, _) | (_, Ok(Answer::Streamed(..))) => true,
        (Some(pipe), _) => discard_upload(client, pipe).await,
    };
    if let Some(failure) = pipe.as_ref().filter(|_| !sent_all).and_then(|pipe| pipe.failure()) {
        return reject_body(client, failure);
    }
    let mut answer = match answer {
        Ok(Answer::Served(body)) => Response::new(ResponseBody::Buffered(body)),
        Ok(Answer::Streamed(chunks, remaining)) => {
            Response::new(ResponseBody::Streamed { chunks, remaining, ended: false })
        }
        Ok(Answer::Refused(retry_ms)) => refusal(retry_ms),
        Ok(Answer::Failed) | Err(_) => text_response(StatusCode::BAD_GATEWAY, ""),
    };
    if !sent_all {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Discards the rest of an upload, so that its client reads the answer. Returns false if the rest has not been received:
/// the client makes no progress, or too little beside many others.
async fn discard_upload(client: &Client, body: &StreamedBody) -> bool {
    tokio::select! {
        received_all = body.discard_rest() => received_all,
        () = client.transfer.wait_for_refusal() => false,
    }
}

/// Completes when the upload has been refused because slow transfers take too many connections. One that a server may
/// have received whole goes on.
async fn refused_upload(driver: &Rc<Driver>, client: &Client, id: RequestId) {
    client.transfer.wait_for_refusal().await;
    if !driver.refuse_upload(id) {
        std::future::pending().await
    }
}

/// Gives the body up once its client makes no progress. Until then notifies the driver for as long as the client is known
/// to be sending it. Nothing else shows the client's last
/// byte while a server takes no bytes, since the body is read only as the server takes it. Never returns.
async fn report_arriving_body(
    driver: &Rc<Driver>,
    client: &Client,
    id: RequestId,
    body: &StreamedBody,
    socket: &SharedSocket,
) -> Infallible {
    loop {
        if body.has_ended() {
            client.transfer.end();
        }
        let unread = socket.unread_bytes();
        body.check_progress(unread);
        if body.is_arriving(unread) {
            driver.body_arriving(id);
        }
        tokio::time::sleep(BODY_POLL_INTERVAL).await;
    }
}

/// What is known of the client whose body is still arriving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    /// Everything that it has sent has been read, and it has not closed.
    Connected,
    /// It has closed.
    Disconnected,
    /// Bytes are unread, and a close may follow them that could not arrive yet for lack of room in the socket.
    Unknown,
}

/// Waits until a close has arrived that the client may have made behind unread bytes. The bytes are not read.
async fn presence_behind_unread(socket: &SharedSocket) -> Presence {
    let deadline = Instant::now() + CLOSE_ARRIVAL_TIMEOUT;
    loop {
        if socket.remote_closed() {
            return Presence::Disconnected;
        }
        if socket.unread() == Unread::Nothing {
            return Presence::Connected;
        }
        if Instant::now() >= deadline {
            return Presence::Unknown;
        }
        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
    }
}

/// Reads and drops a body. Closing a socket with unread bytes would cause a reset, which could destroy the answer.
async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

/// A refusal that tells the client when to retry, in milliseconds, unless that is 0.
fn refusal(retry_ms: f64) -> Response<ResponseBody> {
    let mut answer = text_response(StatusCode::TOO_MANY_REQUESTS, "");
    if retry_ms > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_ms / 1000.0)) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::Buffered(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Answers a request that cannot be accepted. Its body may be unread, so the connection is closed.
fn rejection(client: &Client, status: StatusCode, why: &'static str) -> Response<ResponseBody> {
    let connection = client.connection_id;
    debug!(
        event = "rejected",
        connection,
        status = status.as_u16(),
        why,
        "connection {connection}: a request is answered {status}: {why}"
    );
    closing(text_response(status, why))
}

/// Refuses a request whose upload makes too little progress beside many others. The rest of its body is not read.
fn refuse_transfer(client: &Client) -> Response<ResponseBody> {
    let connection = client.connection_id;
    debug!(event = "transfer_refused", connection, "connection {connection}: a slow upload is refused");
    closing(refusal(0.0))
}

/// Answers a request whose body will never be whole.
fn reject_body(client: &Client, failure: BodyFailure) -> Response<ResponseBody> {
    match failure {
        BodyFailure::Incomplete => rejection(client, StatusCode::BAD_REQUEST, "the body did not come whole"),
        BodyFailure::TooLarge => rejection(client, StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyFailure::TimedOut => {
            rejection(client, StatusCode::REQUEST_TIMEOUT, "the body did not come in time")
        }
    }
}

/// Marks an answer as the last one on its connection.
fn closing(mut answer: Response<ResponseBody>) -> Response<ResponseBody> {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
