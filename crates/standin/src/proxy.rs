//! A proxy that asks an external processor about each request (`envoy.service.ext_proc.v3`) and enforces what it is
//! told: it forwards to the node that `x-gateway-destination-endpoint` names, reports the response headers, and gives
//! its client either that response or the processor's immediate one.
//!
//! Written from the published proto comments: one HTTP request a stream, one answer for each message, and an
//! `ImmediateResponse` at any time ends the request.

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

/// Names the chosen node, as the endpoint picker protocol of the Gateway API inference extension has it.
pub const DESTINATION_HEADER: &str = "x-gateway-destination-endpoint";
/// Set by the processor on a response that is to be tried again.
pub const RETRY_HEADER: &str = "x-marldeal-retry";
/// Counts the attempts of a proxy, from 1.
pub const ATTEMPT_COUNT_HEADER: &str = "x-envoy-attempt-count";

/// How the proxy carries out a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// The filter runs once for each try: a new stream presents the request again.
    PerTry,
    /// One stream for the request: the answer to response headers names the next node.
    SameStream,
    /// No further attempts.
    None,
}

/// What the proxy's client got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalResponse {
    /// Status of the answer.
    pub status: u16,
    /// The node's body, or the processor's text.
    pub body: Bytes,
    /// `retry-after`, as it came.
    pub retry_after: Option<String>,
    /// Nodes that the request was written to, in order.
    pub servers: Vec<SocketAddr>,
}

/// Why the proxy has no answer for its client.
#[derive(Debug)]
pub enum ProcessorError {
    /// The processor ended the stream with an error.
    Stream(tonic::Status),
    /// It ended the stream, or left it silent for longer than a proxy waits.
    NoAnswer,
    /// It said what does not fit the message.
    Unexpected(String),
}

/// Longest that the proxy waits for the processor's answer to one message, and for a node that has no time limit.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// A stream to the processor, for one HTTP request.
pub struct Stream {
    to: mpsc::Sender<ext::ProcessingRequest>,
    from: Streaming<ext::ProcessingResponse>,
}

/// Messages that a stream buffers.
const BUFFERED: usize = 4;

impl Stream {
    /// Opens one.
    ///
    /// # Errors
    /// The processor's status.
    pub async fn open(channel: Channel) -> Result<Stream, tonic::Status> {
        let (to, requests) = mpsc::channel(BUFFERED);
        let answers = ExternalProcessorClient::new(channel).process(ReceiverStream::new(requests)).await?;
        Ok(Stream { to, from: answers.into_inner() })
    }

    /// Sends one message; false if the stream has ended.
    pub async fn send(&self, phase: Phase) -> bool {
        self.send_message(ext::ProcessingRequest { request: Some(phase), ..Default::default() }).await
    }

    /// Sends one message with all its fields; false if the stream has ended.
    pub async fn send_message(&self, message: ext::ProcessingRequest) -> bool {
        self.to.send(message).await.is_ok()
    }

    /// The next message, passing over those that only ask for more time.
    ///
    /// # Errors
    /// [`ProcessorError`], when the stream ends or stays silent.
    pub async fn next(&mut self) -> Result<ext::ProcessingResponse, ProcessorError> {
        loop {
            match tokio::time::timeout(MESSAGE_TIMEOUT, self.from.message()).await {
                Ok(Ok(Some(answer))) if answer.response.is_none() => {}
                Ok(Ok(Some(answer))) => return Ok(answer),
                Ok(Ok(None)) | Err(_) => return Err(ProcessorError::NoAnswer),
                Ok(Err(status)) => return Err(ProcessorError::Stream(status)),
            }
        }
    }
}

/// Headers in the form of the protocol.
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

/// The request headers that a proxy sends, on its attempt number `count` from 1, if it counts.
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

/// What a header mutation sets a header to.
pub fn set_header(response: Option<&ext::CommonResponse>, name: &str) -> Option<String> {
    let mutation = response?.header_mutation.as_ref()?;
    let found = mutation.set_headers.iter().filter_map(|h| h.header.as_ref()).find(|h| h.key == name)?;
    Some(if found.raw_value.is_empty() {
        found.value.clone()
    } else {
        String::from_utf8_lossy(&found.raw_value).into_owned()
    })
}

fn immediate(response: &ext::ImmediateResponse, servers: Vec<SocketAddr>) -> FinalResponse {
    let common = ext::CommonResponse { header_mutation: response.headers.clone(), ..Default::default() };
    FinalResponse {
        status: response.status.as_ref().map_or(200, |s| s.code as u16),
        body: response.body.clone().into(),
        retry_after: set_header(Some(&common), "retry-after"),
        servers,
    }
}

/// What became of one attempt at a node, in the terms of response headers.
struct AttemptResult {
    status: u16,
    unprocessed: bool,
    /// `%RESPONSE_FLAGS%`: `UF` for a connection that never came about, `UC` for one that broke, `UT` for time.
    flags: Option<&'static str>,
    body: Bytes,
}

/// A proxy before one processor.
pub struct Proxy {
    channel: Channel,
    client: Client,
    shape: RetryMode,
}

impl Proxy {
    /// A proxy with one connection to the processor.
    ///
    /// # Errors
    /// No connection could be made.
    pub async fn connect(processor: SocketAddr, shape: RetryMode) -> Result<Proxy, tonic::transport::Error> {
        let channel = Endpoint::from_shared(format!("http://{processor}"))?.connect().await?;
        Ok(Proxy { channel, client: Client::default(), shape })
    }

    /// Carries a request through: asks, enforces, reports.
    ///
    /// # Errors
    /// [`ProcessorError`] with the processor; a real proxy would answer 500 or go by its failure mode.
    pub async fn handle(&self, request: &Request<Bytes>) -> Result<FinalResponse, ProcessorError> {
        let mut servers = Vec::new();
        let mut count = 1;
        loop {
            let mut stream = Stream::open(self.channel.clone()).await.map_err(ProcessorError::Stream)?;
            let told = (self.shape == RetryMode::PerTry).then_some(count);
            stream.send(request_headers(request, told)).await;
            let mut target = match stream.next().await?.response {
                Some(Verdict::ImmediateResponse(r)) => return Ok(immediate(&r, servers)),
                Some(Verdict::RequestHeaders(r)) => destination(r.response.as_ref(), DESTINATION_HEADER)?,
                other => return Err(ProcessorError::Unexpected(format!("{other:?} to request headers"))),
            };
            // One round for each attempt on this stream.
            let again = loop {
                servers.push(target.0);
                let attempt = self.attempt(request, target);
                // An immediate response may come unasked: the attempt is called off then.
                let tried = tokio::select! {
                    biased;
                    unasked = stream.next() => match unasked?.response {
                        Some(Verdict::ImmediateResponse(r)) => return Ok(immediate(&r, servers)),
                        other => return Err(ProcessorError::Unexpected(format!("{other:?} unasked"))),
                    },
                    tried = attempt => tried,
                };
                stream.send(response_headers(&tried)).await;
                let answer = match stream.next().await?.response {
                    Some(Verdict::ImmediateResponse(r)) => return Ok(immediate(&r, servers)),
                    Some(Verdict::ResponseHeaders(r)) => r.response,
                    other => {
                        return Err(ProcessorError::Unexpected(format!("{other:?} to response headers")))
                    }
                };
                if set_header(answer.as_ref(), RETRY_HEADER).is_some() {
                    match self.shape {
                        RetryMode::SameStream => target = destination(answer.as_ref(), RETRY_HEADER)?,
                        RetryMode::PerTry => break true,
                        RetryMode::None => break false,
                    }
                    continue;
                }
                return Ok(FinalResponse {
                    status: tried.status,
                    body: tried.body,
                    retry_after: None,
                    servers,
                });
            };
            drop(stream);
            if !again {
                return Ok(FinalResponse { status: 503, body: Bytes::new(), retry_after: None, servers });
            }
            count += 1;
        }
    }

    /// One attempt at a node.
    async fn attempt(
        &self,
        request: &Request<Bytes>,
        (addr, limit): (SocketAddr, Duration),
    ) -> AttemptResult {
        let mut request = request.clone();
        let left = format!("{:.3}", limit.as_secs_f64());
        if let Ok(left) = left.parse() {
            request.headers_mut().insert("x-time-left", left);
        }
        let local = |status, flags| AttemptResult { status, unprocessed: false, flags, body: Bytes::new() };
        match tokio::time::timeout(limit, self.client.exchange(addr, request)).await {
            Ok(Ok(answer)) => AttemptResult {
                status: answer.status().as_u16(),
                unprocessed: answer.headers().get("x-unprocessed").is_some_and(|v| v == "1"),
                flags: None,
                body: answer.into_body(),
            },
            Ok(Err(ExchangeError::NotConnected)) => local(503, Some("UF")),
            Ok(Err(ExchangeError::ConnectionLost)) => local(503, Some("UC")),
            Err(_) => local(504, Some("UT")),
        }
    }
}

fn response_headers(tried: &AttemptResult) -> Phase {
    let mut pairs = vec![(":status", tried.status.to_string())];
    if tried.unprocessed {
        pairs.push(("x-unprocessed", "1".to_string()));
    }
    if let Some(flags) = tried.flags {
        pairs.push(("x-envoy-response-flags", flags.to_string()));
    }
    Phase::ResponseHeaders(headers(pairs, tried.body.is_empty()))
}

/// The node that a header names, and the time that an attempt there may take.
fn destination(
    response: Option<&ext::CommonResponse>,
    header: &str,
) -> Result<(SocketAddr, Duration), ProcessorError> {
    let wrong = |what: &str| ProcessorError::Unexpected(format!("let in, but {what}"));
    let node = set_header(response, header).ok_or_else(|| wrong("no node is named"))?;
    let addr = node.parse().map_err(|_| wrong("the node's address makes no sense"))?;
    let limit = set_header(response, "x-envoy-upstream-rq-timeout-ms")
        .and_then(|ms| ms.parse().ok())
        .map_or(MESSAGE_TIMEOUT, Duration::from_millis);
    Ok((addr, limit))
}

/// A string field of the dynamic metadata `space.field` of an answer.
pub fn metadata(answer: &ext::ProcessingResponse, space: &str, field: &str) -> Option<String> {
    let Some(Value { kind: Some(Kind::StructValue(Struct { fields })) }) =
        answer.dynamic_metadata.as_ref()?.fields.get(space)
    else {
        return None;
    };
    match fields.get(field)?.kind.as_ref()? {
        Kind::StringValue(text) => Some(text.clone()),
        _ => None,
    }
}
