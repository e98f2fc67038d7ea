//! The answer to one request of the direct front: read, taken by the driver, waited for.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fawnhill::RequestId;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};
use marldeal_engine::counters::RequestOutcome;
use tokio::time::{timeout, Instant};
use tracing::debug;

use crate::driver::{Answer, Driver, RequestContent};
use crate::front::connection::Client;
use crate::front::head;
use crate::payload::{self, Payload, ReceiveError, ResponseBody};
use crate::socket::SharedSocket;

/// Connections that are turned away at once while this process ends, and how long one of them may take to ask.
pub(super) const LATE_TIME: Duration = Duration::from_millis(400);
/// A body that is too large is read on for so long and so far, so that its sender sees the answer.
const MOST_DISCARDED: usize = 1 << 20;
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Tells the module that a client has gone, when its connection ends before the answer.
struct Waiting<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.id);
    }
}

pub(super) async fn respond(
    driver: &Rc<Driver>,
    client: &Client,
    socket: &SharedSocket,
    request: hyper::Request<Incoming>,
) -> Response<ResponseBody> {
    // What comes from here on, but for this request's body, belongs to the next one.
    client.begun.set(None);
    if request.uri().path() == "/-/ready" {
        let status = if driver.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return plain(status, "");
    }
    let (head, body) = request.into_parts();
    if client.late {
        // Its sender reads the answer once it has sent all.
        let _ = timeout(LATE_TIME, discard(body)).await;
        if let Some(class) = head::named_class(&driver.config, &client.layout, &head) {
            driver.update_counters(|ledger| ledger.record_answered_locally(class, RequestOutcome::Declined));
        }
        let mut answer =
            refusal(f64::from(driver.config.settings.may_advise) * LATE_TIME.as_secs_f64() * 1000.0);
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return answer;
    }
    let mut rested_ms = client.waited.take().as_secs_f64() * 1000.0;
    if let Some(until) = client.rest.take() {
        let came = Instant::now();
        tokio::time::sleep_until(until).await;
        rested_ms += came.elapsed().as_secs_f64() * 1000.0;
    }
    let mut read = match head::parse(&driver.config, &client.layout, &head) {
        Ok(read) => read,
        Err((status, why)) => {
            if let Some(class) = head::named_class(&driver.config, &client.layout, &head) {
                driver
                    .update_counters(|ledger| ledger.record_answered_locally(class, RequestOutcome::Aborted));
            }
            return bad(status, why);
        }
    };
    let taken = payload::receive(body, &driver.body_budget).await;
    client.reading.set(false);
    let body = match taken {
        Ok(body) => body,
        Err(ReceiveError::TooLarge(body)) => {
            let _ = timeout(DISCARD_TIME, discard(body)).await;
            return bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Err(ReceiveError::Incomplete) => return bad(StatusCode::BAD_REQUEST, "the body did not come whole"),
        Err(ReceiveError::TimedOut) => {
            return bad(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")
        }
    };
    let empty = matches!(body, Payload::Buffered { length: 0, .. });
    if head.method == Method::GET && !empty {
        return bad(StatusCode::BAD_REQUEST, "a GET has no body");
    }
    let pipe = match &body {
        Payload::Streamed(pipe) => Some(pipe.clone()),
        Payload::Buffered { .. } => None,
    };
    // The client's time has run while its connection waited to be accepted, or rested.
    read.request.budget_ms = (read.request.budget_ms - rested_ms).max(0.0);
    let content = RequestContent {
        method: head.method,
        target: read.target,
        correlation_id: read.correlation_id,
        idempotency_key: read.idempotency_key,
        body,
        budget_ms: read.request.budget_ms,
        answer_retention_ms: driver.answer_retention_ms(&read.request),
        effect: driver.effect(&read.request),
        may_have_run_since: Cell::new(None),
        attempt_sent_at: Cell::new(None),
    };
    if let Some(body) = driver.cached_answer(&content) {
        driver.update_counters(|ledger| {
            ledger.record_answered_locally(read.request.class, RequestOutcome::Succeeded)
        });
        return Response::new(ResponseBody::Buffered(body));
    }
    // It lay behind another one, and its client left while that was open: nothing is owed, and nothing goes out for it.
    if !client.drained.get() && socket.remote_closed() {
        return bad(StatusCode::BAD_REQUEST, "its client has left");
    }
    let class = read.request.class;
    let correlation = content.correlation_id.clone();
    let Some((id, answered)) = driver.submit(content, read.request, socket.clone()) else {
        driver.update_counters(|ledger| ledger.record_answered_locally(class, RequestOutcome::Aborted));
        return bad(StatusCode::CONFLICT, "a request with this X-Correlation-Id is open");
    };
    debug!(event = "taken", request = id, ?correlation, class, "request {id} is taken");
    let waiting = Waiting { driver, id };
    let answer = answered.await;
    drop(waiting);
    // A sender reads its answer once it has sent all. Of one that streams the server still takes the rest.
    let sent_all = match (&pipe, &answer) {
        (None, _) | (_, Ok(Answer::Streamed(..))) => true,
        (Some(pipe), _) => pipe.discard_rest().await,
    };
    let mut answer = match answer {
        Ok(Answer::Served(body)) => Response::new(ResponseBody::Buffered(body)),
        Ok(Answer::Streamed(pieces, left)) => {
            Response::new(ResponseBody::Streamed { chunks: pieces, remaining: left, ended: false })
        }
        Ok(Answer::Refused(retry_ms)) => refusal(retry_ms),
        Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, ""),
    };
    if !sent_all {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Guards against an answer lost in a reset, which closing a socket with unread bytes would cause.
async fn discard(mut body: Incoming) {
    let mut seen = 0;
    while let Some(Ok(frame)) = body.frame().await {
        seen += frame.data_ref().map_or(0, Bytes::len);
        if seen > MOST_DISCARDED {
            return;
        }
    }
}

/// Trying again is harmless, after so many milliseconds if not 0.
fn refusal(retry_ms: f64) -> Response<ResponseBody> {
    let mut answer = plain(StatusCode::TOO_MANY_REQUESTS, "");
    if retry_ms > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_ms / 1000.0)) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::Buffered(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Answers what cannot be taken. Its body may be unread, so the connection ends.
fn bad(status: StatusCode, why: &'static str) -> Response<ResponseBody> {
    let mut answer = plain(status, why);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
