//! A proxy that asks an external processor about each request (`envoy.service.ext_proc.v3`) and carries out its
//! answers: it forwards the request to the server that `x-gateway-destination-endpoint` names, reports the response
//! headers, and gives its client either that response or the processor's immediate one.
//!
//! It follows the comments of the published protocol definition: one HTTP request per stream, one answer to each
//! message, and an `ImmediateResponse` ends the request at any time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3 as ext;
use envoy_types::pb::google::protobuf::{value::Kind, Struct, Value};
use ext::external_processor_client::ExternalProcessorClient;
use ext::processing_request::Request as Phase;
use ext::processing_response::Response as Verdict;
use hyper::Request;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::Streaming;

use crate::client::{Client, ExchangeError};

/// Header that names the chosen server, as in the endpoint picker protocol of the Gateway API inference extension.
pub const DESTINATION_HEADER: &str = "x-gateway-destination-endpoint";
/// Header that the processor sets on a response after which the request is to be retried.
pub const RETRY_HEADER: &str = "x-marldeal-retry";
/// Header with the number of the proxy's attempt, from 1.
pub const ATTEMPT_COUNT_HEADER: &str = "x-envoy-attempt-count";

/// How the proxy makes a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// The filter runs once per attempt: each attempt opens a new stream and sends the request headers again.
    PerTry,
    /// All attempts use one stream: the answer to the response headers names the next server.
    SameStream,
    /// No further attempts.
    None,
}

/// The response that the proxy gives its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalResponse {
    /// Status code.
    pub status: u16,
    /// The server's body, or the one of the processor's immediate response.
    pub body: Bytes,
    /// Value of `retry-after`, unchanged.
    pub retry_after: Option<String>,
    /// Servers that the request was sent to, in order.
    pub servers: Vec<SocketAddr>,
}

/// Why the proxy has no response for its client.
#[derive(Debug)]
pub enum ProcessorError {
    /// The processor ended the stream with an error.
    Stream(tonic::Status),
    /// The processor ended the stream, or did not answer in time.
    NoAnswer,
    /// The processor's answer does not fit the message, with the details.
    Unexpected(String),
}

/// Maximum time that the proxy waits for the processor's answer to one message, and for a server if the processor sets
/// no time limit.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// A stream to the processor, for one HTTP request.
pub struct Stream {
    requests: mpsc::Sender<ext::ProcessingRequest>,
    responses: Streaming<ext::ProcessingResponse>,
}

/// Number of messages that a stream buffers.
const BUFFERED_MESSAGES: usize = 4;

impl Stream {
    /// Opens a stream.
    ///
    /// # Errors
    /// The status with which the processor refuses the stream.
    pub async fn open(channel: Channel) -> Result<Stream, tonic::Status> {
        let (requests, queued) = mpsc::channel(BUFFERED_MESSAGES);
        let responses = ExternalProcessorClient::new(channel).process(ReceiverStream::new(queued)).await?;
        Ok(Stream { requests, responses: responses.into_inner() })
    }

    /// Sends a message for a phase of the request. Returns false if the stream has ended.
    pub async fn send(&self, phase: Phase) -> bool {
        self.send_message(ext::ProcessingRequest { request: Some(phase), ..Default::default() }).await
    }

    /// Sends a complete message. Returns false if the stream has ended.
    pub async fn send_message(&self, message: ext::ProcessingRequest) -> bool {
        self.requests.send(message).await.is_ok()
    }

    /// Waits for the next message, skipping those that only ask for more time.
    ///
    /// # Errors
    /// [`ProcessorError`], if the stream ends or no message comes in time.
    pub async fn next(&mut self) -> Result<ext::ProcessingResponse, ProcessorError> {
        loop {
            match tokio::time::timeout(MESSAGE_TIMEOUT, self.responses.message()).await {
                Ok(Ok(Some(answer))) if answer.response.is_none() => {}
                Ok(Ok(Some(answer))) => return Ok(answer),
                Ok(Ok(None)) | Err(_) => return Err(ProcessorError::NoAnswer),
                Ok(Err(status)) => return Err(ProcessorError::Stream(status)),
            }
        }
    }
}

/// Converts headers to the protocol's message.
pub fn headers(pairs: Vec<(&str, String)>, end_of_stream: bool) -> ext::HttpHeaders {
    let headers = pairs
        .into_iter()
        .map(|(key, value)| HeaderValue {
            key: key.to_string(),
            raw_value: value.into_bytes(),
            ..HeaderValue::default()
        })
        .collect();
    ext::HttpHeaders { headers: Some(HeaderMap { headers }), end_of_stream, ..Default::default() }
}

/// The message with the request headers. `count` is the number of the attempt, from 1, if the proxy sends it.
pub fn request_headers(request: &Request<Bytes>, count: Option<u32>) -> Phase {
    let uri = request.uri();
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let mut pairs = vec![
        (":method", request.method().to_string()),
        (":path", path.to_string()),
        (":scheme", "http".to_string()),
        (":authority", "service.internal".to_string()),
    ];
    let text = |value: &hyper::header::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    pairs.extend(request.headers().iter().map(|(name, value)| (name.as_str(), text(value))));
    if let Some(count) = count {
        pairs.push((ATTEMPT_COUNT_HEADER, count.to_string()));
    }
    Phase::RequestHeaders(headers(pairs, request.body().is_empty()))
}

/// The value that a response's header mutation sets a header to, if it sets it.
pub fn set_header(response: Option<&ext::CommonResponse>, name: &str) -> Option<String> {
    let mutation = response?.header_mutation.as_ref()?;
    let header = mutation.set_headers.iter().filter_map(|h| h.header.as_ref()).find(|h| h.key == name)?;
    Some(if header.raw_value.is_empty() {
        header.value.clone()
    } else {
        String::from_utf8_lossy(&header.raw_value).into_owned()
    })
}

/// Converts the processor's immediate response.
fn immediate(response: &ext::ImmediateResponse, servers: Vec<SocketAddr>) -> FinalResponse {
    let common = ext::CommonResponse { header_mutation: response.headers.clone(), ..Default::default() };
    FinalResponse {
        status: response.status.as_ref().map_or(200, |s| s.code as u16),
        body: response.body.clone().into(),
        retry_after: set_header(Some(&common), "retry-after"),
        servers,
    }
}

/// The result of an attempt at a server, as reported in response headers.
struct AttemptResult {
    status: u16,
    unprocessed: bool,
    /// `%RESPONSE_FLAGS%`: `UF` if no connection was established, `UC` if it was lost, `UT` on a time-out.
    flags: Option<&'static str>,
    body: Bytes,
}

/// A proxy that asks one external processor.
pub struct Proxy {
    channel: Channel,
    client: Client,
    retry_mode: RetryMode,
}

impl Proxy {
    /// Connects to the processor.
    ///
    /// # Errors
    /// No connection could be established.
    pub async fn connect(
        processor: SocketAddr,
        retry_mode: RetryMode,
    ) -> Result<Proxy, tonic::transport::Error> {
        let channel = Endpoint::from_shared(format!("http://{processor}"))?.connect().await?;
        Ok(Proxy { channel, client: Client::default(), retry_mode })
    }

    /// Handles a request: asks the processor, carries out its answers and reports the results.
    ///
    /// # Errors
    /// The processor failed. A real proxy would answer 500 or apply its configured failure mode.
    pub async fn handle(&self, request: &Request<Bytes>) -> Result<FinalResponse, ProcessorError> {
        let mut servers = Vec::new();
        let mut count = 1;
        loop {
            let mut stream = Stream::open(self.channel.clone()).await.map_err(ProcessorError::Stream)?;
            let sent_count = (self.retry_mode == RetryMode::PerTry).then_some(count);
            stream.send(request_headers(request, sent_count)).await;
            let mut target = match stream.next().await?.response {
                Some(Verdict::ImmediateResponse(r)) => return Ok(immediate(&r, servers)),
                Some(Verdict::RequestHeaders(r)) => destination(r.response.as_ref(), DESTINATION_HEADER)?,
                other => {
                    return Err(ProcessorError::Unexpected(format!("{other:?} in answer to request headers")))
                }
            };
            // Each iteration makes one attempt on this stream.
            let new_stream = loop {
                servers.push(target.0);
                let attempt = self.attempt(request, target);
                // The processor may send an immediate response at any time; it cancels the attempt.
                let result = tokio::select! {
                    biased;
                    unsolicited = stream.next() => match unsolicited?.response {
                        Some(Verdict::ImmediateResponse(r)) => return Ok(immediate(&r, servers)),
                        other => return Err(ProcessorError::Unexpected(format!("unsolicited {other:?}"))),
                    },
                    result = attempt => result,
                };
                stream.send(response_headers(&result)).await;
                let answer = match stream.next().await?.response {
                    Some(Verdict::ImmediateResponse(r)) => return Ok(immediate(&r, servers)),
                    Some(Verdict::ResponseHeaders(r)) => r.response,
                    other => {
                        return Err(ProcessorError::Unexpected(format!(
                            "{other:?} in answer to response headers"
                        )))
                    }
                };
                if set_header(answer.as_ref(), RETRY_HEADER).is_some() {
                    match self.retry_mode {
                        RetryMode::SameStream => target = destination(answer.as_ref(), RETRY_HEADER)?,
                        RetryMode::PerTry => break true,
                        RetryMode::None => break false,
                    }
                    continue;
                }
                return Ok(FinalResponse {
                    status: result.status,
                    body: result.body,
                    retry_after: None,
                    servers,
                });
            };
            drop(stream);
            if !new_stream {
                return Ok(FinalResponse { status: 503, body: Bytes::new(), retry_after: None, servers });
            }
            count += 1;
        }
    }

    /// Makes one attempt at a server.
    async fn attempt(
        &self,
        request: &Request<Bytes>,
        (addr, limit): (SocketAddr, Duration),
    ) -> AttemptResult {
        let mut request = request.clone();
        let time_left = format!("{:.3}", limit.as_secs_f64());
        if let Ok(time_left) = time_left.parse() {
            request.headers_mut().insert("x-time-left", time_left);
        }
        let failed = |status, flags| AttemptResult { status, unprocessed: false, flags, body: Bytes::new() };
        match tokio::time::timeout(limit, self.client.exchange(addr, request)).await {
            Ok(Ok(answer)) => AttemptResult {
                status: answer.status().as_u16(),
                unprocessed: answer.headers().get("x-unprocessed").is_some_and(|v| v == "1"),
                flags: None,
                body: answer.into_body(),
            },
            Ok(Err(ExchangeError::NotConnected)) => failed(503, Some("UF")),
            Ok(Err(ExchangeError::ConnectionLost)) => failed(503, Some("UC")),
            Err(_) => failed(504, Some("UT")),
        }
    }
}

/// The message with the response headers of an attempt.
fn response_headers(result: &AttemptResult) -> Phase {
    let mut pairs = vec![(":status", result.status.to_string())];
    if result.unprocessed {
        pairs.push(("x-unprocessed", "1".to_string()));
    }
    if let Some(flags) = result.flags {
        pairs.push(("x-envoy-response-flags", flags.to_string()));
    }
    Phase::ResponseHeaders(headers(pairs, result.body.is_empty()))
}

/// The server that a header names, and the time limit for an attempt there.
fn destination(
    response: Option<&ext::CommonResponse>,
    header: &str,
) -> Result<(SocketAddr, Duration), ProcessorError> {
    let unexpected = |reason: &str| ProcessorError::Unexpected(format!("request admitted, but {reason}"));
    let server = set_header(response, header).ok_or_else(|| unexpected("no server is named"))?;
    let addr = server.parse().map_err(|_| unexpected("the server's address is invalid"))?;
    let limit = set_header(response, "x-envoy-upstream-rq-timeout-ms")
        .and_then(|ms| ms.parse().ok())
        .map_or(MESSAGE_TIMEOUT, Duration::from_millis);
    Ok((addr, limit))
}

/// The string in field `field` of the given namespace of an answer's dynamic metadata.
pub fn metadata(answer: &ext::ProcessingResponse, namespace: &str, field: &str) -> Option<String> {
    let Some(Value { kind: Some(Kind::StructValue(Struct { fields })) }) =
        answer.dynamic_metadata.as_ref()?.fields.get(namespace)
    else {
        return None;
    };
    match fields.get(field)?.kind.as_ref()? {
        Kind::StringValue(text) => Some(text.clone()),
        _ => None,
    }
}
