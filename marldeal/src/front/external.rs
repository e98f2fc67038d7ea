//! The external processor front: proxies ask about each request over gRPC and carry out the verdicts.
//!
//! Each stream runs in the task of its connection. Its events go to the driver through one channel, and verdicts
//! come back through another. The crate `marldeal-external` decides the verdicts.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::Context;
use std::time::Duration;

use envoy_types::pb::envoy::service::auth::v3 as auth;
use envoy_types::pb::envoy::service::ext_proc::v3 as ext;
use envoy_types::pb::envoy::service::ratelimit::v3 as rls;
use envoy_types::pb::google::rpc;
use ext::external_processor_server::{ExternalProcessor as Service, ExternalProcessorServer};
use ext::processing_request::Request as Phase;
use hyper::http::request::Parts;
use hyper::StatusCode;
use marldeal_external::{Input, Presentation, StreamId, Verdict};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, Instant, Sleep};
use tokio_stream::Stream;
use tonic::transport::server::{Connected, TcpConnectInfo};
use tonic::{Request, Response, Status, Streaming};
use tracing::info;

use crate::driver::{Driver, ProxyReply};
use crate::front::head::{self, Rejection, RequestHead};
use crate::front::proxy_messages;
use crate::settings::config::Config;
use crate::settings::extensions::ExternalProcessor;
use crate::socket::{DrainingStream, IoObserver, ObservedStream};

/// A proxy is asked for more time after it has waited this long: well before Envoy's default timeout of 200 ms.
const TIMEOUT_EXTENSION_DELAY: Duration = Duration::from_millis(50);
/// Verdicts that may be queued for a stream: the one it waits for, and an unsolicited one.
const REPLY_QUEUE_LENGTH: usize = 4;
/// Answers to phases that need no decision, deferred until the verdict before them has been sent.
const MAX_DEFERRED_RESPONSES: usize = 8;
/// Length of the HTTP/2 connection preface (RFC 9113, section 3.4), and how long a new connection may take to send
/// it.
const PREFACE_BYTES: usize = 24;
const PREFACE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long open streams are waited for after SIGTERM.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(20);
/// How often the health service is updated.
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);

type DriverInput = (Input, Option<mpsc::Sender<ProxyReply>>);

/// State shared by all streams.
struct FrontState {
    config: Arc<Config>,
    options: ExternalProcessor,
    inputs: mpsc::UnboundedSender<DriverInput>,
    next_stream: AtomicU64,
    observed_messages: AtomicU64,
}

impl FrontState {
    /// Parses the head that a proxy presents, as the direct front parses heads.
    fn parse_head(
        &self,
        head: Result<(Parts, Option<u32>), Rejection>,
    ) -> Result<(RequestHead, Option<u32>), Rejection> {
        let (parts, attempt) = head?;
        Ok((head::parse(&self.config, &self.options.layout, &parts)?, attempt))
    }

    /// Presents a request to the driver as a new stream.
    fn present(&self, head: RequestHead, attempt: Option<u32>) -> (StreamHandle, mpsc::Receiver<ProxyReply>) {
        let stream = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let (replies, receiver) = mpsc::channel(REPLY_QUEUE_LENGTH);
        let presentation = Presentation {
            correlation_id: head.correlation_id.as_bytes().into(),
            key: head.idempotency_key.map(|key| key.as_bytes().into()),
            attempt,
            request: head.request,
        };
        let handle = StreamHandle { stream, inputs: self.inputs.clone() };
        handle.send(Input::Presented { stream, presentation }, Some(replies));
        (handle, receiver)
    }
}

/// Registers a stream with the driver, and reports its end when dropped.
struct StreamHandle {
    stream: StreamId,
    inputs: mpsc::UnboundedSender<DriverInput>,
}

impl StreamHandle {
    /// Sends an event to the driver. The channel is bounded by the streams: each sends at most one event for each
    /// of its verdicts, and its end.
    fn send(&self, input: Input, replies: Option<mpsc::Sender<ProxyReply>>) {
        let _ = self.inputs.send((input, replies));
    }
}

impl Drop for StreamHandle {
    fn drop(&mut self) {
        self.send(Input::Closed { stream: self.stream }, None);
    }
}

/// The state of a stream.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// No request has been presented.
    AwaitingRequest,
    /// Waits for the verdict on its request.
    AwaitingAdmission,
    /// The proxy carries out an attempt.
    AttemptGranted,
    /// Waits for the verdict on an attempt's outcome.
    AwaitingResult,
    /// A successful answer is on its way to the client; it counts once it is complete.
    AwaitingTrailers,
    /// The answer is complete, and this has been reported.
    TrailersReceived,
    /// Nothing more is decided for this stream.
    Done,
}

type ResponseStream = Pin<Box<dyn Stream<Item = Result<ext::ProcessingResponse, Status>> + Send>>;

struct Processor(Arc<FrontState>);

#[tonic::async_trait]
impl Service for Processor {
    type ProcessStream = ResponseStream;

    async fn process(
        &self,
        request: Request<Streaming<ext::ProcessingRequest>>,
    ) -> Result<Response<ResponseStream>, Status> {
        Ok(Response::new(Box::pin(process(self.0.clone(), request.into_inner()))))
    }
}

fn process(
    front: Arc<FrontState>,
    mut inbound: Streaming<ext::ProcessingRequest>,
) -> impl Stream<Item = Result<ext::ProcessingResponse, Status>> {
    let invalid = |why: &str| Err(Status::invalid_argument(why));
    let millis = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    async_stream::stream! {
        let options = &front.options;
        let mut stage = Stage::AwaitingRequest;
        let mut registered: Option<(StreamHandle, mpsc::Receiver<ProxyReply>)> = None;
        let mut budget_ms = 0.0;
        let mut deferred = Vec::new();
        let opened = Instant::now();
        let stream_deadline = opened + millis(options.stream_ms);
        let mut extend_at: Option<Instant> = None;
        let timer = sleep_until(opened + millis(options.first_message_ms));
        tokio::pin!(timer);
        loop {
            let reply = async {
                match &mut registered {
                    Some((_, replies)) => replies.recv().await,
                    None => std::future::pending().await,
                }
            };
            let message = tokio::select! {
                biased;
                reply = reply => {
                    let Some(reply) = reply else { break };
                    if extend_at.take().is_some() {
                        timer.as_mut().reset(stream_deadline);
                    }
                    match (&reply.verdict, stage) {
                        // The answer is already being passed to the client.
                        (Verdict::PassThrough, Stage::AwaitingTrailers | Stage::TrailersReceived) => {
                            registered = None;
                            stage = Stage::Done;
                            continue;
                        }
                        (Verdict::Admit(_), _) => stage = Stage::AttemptGranted,
                        (Verdict::Retry(_), _) if options.config.retry_mode == marldeal_external::RetryMode::SameStream => {
                            stage = Stage::AttemptGranted;
                        }
                        (Verdict::PassThrough | Verdict::Retry(_), _) => {
                            registered = None;
                            stage = Stage::Done;
                        }
                        // The final message of the stream.
                        _ => {
                            yield Ok(proxy_messages::verdict(&reply, false, false));
                            break;
                        }
                    }
                    yield Ok(proxy_messages::verdict(&reply, options.clear_route_cache, options.response_trailers));
                    for answer in deferred.drain(..) {
                        yield Ok(answer);
                    }
                    continue;
                }
                message = inbound.message() => message,
                () = &mut timer => {
                    if extend_at.take().is_some() {
                        timer.as_mut().reset(stream_deadline);
                        if options.override_message_timeout {
                            yield Ok(proxy_messages::extend_message_timeout(budget_ms));
                        }
                        continue;
                    }
                    yield Err(Status::deadline_exceeded("the stream has been open for too long"));
                    break;
                }
            };
            let message = match message {
                Ok(Some(message)) => message,
                // The proxy is done with the request, or has disconnected.
                Ok(None) => {
                    if let (Stage::AwaitingTrailers, Some((handle, _))) = (stage, &registered) {
                        handle.send(responded(handle, fawnhill::Outcome::Ok), None);
                    }
                    break;
                }
                // The stream was reset, or the message was too long or malformed; the status has said so.
                Err(status) => {
                    yield Err(status);
                    break;
                }
            };
            if message.observability_mode {
                front.observed_messages.fetch_add(1, Ordering::Relaxed);
                timer.as_mut().reset(stream_deadline);
                continue;
            }
            match &message.request {
                Some(Phase::RequestHeaders(headers)) if stage == Stage::AwaitingRequest => {
                    match front.parse_head(proxy_messages::request_head(proxy_messages::header_pairs(headers).into_iter())) {
                        Ok((head, attempt)) => {
                            budget_ms = head.request.budget_ms;
                            registered = Some(front.present(head, attempt));
                            stage = Stage::AwaitingAdmission;
                            let at = Instant::now() + TIMEOUT_EXTENSION_DELAY;
                            extend_at = Some(at);
                            timer.as_mut().reset(at);
                        }
                        Err((status, why)) => {
                            yield Ok(proxy_messages::immediate_response(status, why, 0.0));
                            break;
                        }
                    }
                }
                Some(Phase::RequestHeaders(_)) => {
                    yield invalid("a second request_headers on one stream");
                    break;
                }
                Some(Phase::ResponseHeaders(headers)) if stage == Stage::AttemptGranted => {
                    let Some((handle, _)) = &registered else { break };
                    match proxy_messages::attempt_outcome(headers, &message) {
                        Ok(fawnhill::Outcome::Ok) if options.response_trailers && !headers.end_of_stream => {
                            stage = Stage::AwaitingTrailers;
                            let reply = ProxyReply { verdict: Verdict::PassThrough, server_addr: None, remaining_ms: 0.0 };
                            yield Ok(proxy_messages::verdict(&reply, false, false));
                        }
                        Ok(outcome) => {
                            handle.send(responded(handle, outcome), None);
                            stage = Stage::AwaitingResult;
                            let at = Instant::now() + TIMEOUT_EXTENSION_DELAY;
                            extend_at = Some(at);
                            timer.as_mut().reset(at);
                        }
                        Err(why) => {
                            yield invalid(why);
                            break;
                        }
                    }
                }
                // A verdict was sent unsolicited, or the decision module gave the request up, while this message
                // was on its way.
                Some(Phase::ResponseHeaders(_)) if stage == Stage::Done => {
                    yield invalid("response_headers after the last word");
                    break;
                }
                Some(Phase::ResponseHeaders(_)) => {
                    yield invalid("response_headers without a granted attempt");
                    break;
                }
                Some(phase) => {
                    if stage == Stage::AwaitingRequest {
                        yield invalid("a body or trailers before request_headers");
                        break;
                    }
                    if let (Phase::ResponseTrailers(_), Stage::AwaitingTrailers, Some((handle, _))) = (phase, stage, &registered) {
                        handle.send(responded(handle, fawnhill::Outcome::Ok), None);
                        stage = Stage::TrailersReceived;
                    }
                    let Some(answer) = proxy_messages::continue_response(phase) else { break };
                    if !matches!(stage, Stage::AwaitingAdmission | Stage::AwaitingResult) {
                        yield Ok(answer);
                    } else if deferred.len() < MAX_DEFERRED_RESPONSES {
                        deferred.push(answer);
                    } else {
                        yield Err(Status::resource_exhausted("too many messages before the answer"));
                        break;
                    }
                }
                None => {
                    yield invalid("a message without a phase");
                    break;
                }
            }
        }
    }
}

fn responded(handle: &StreamHandle, outcome: fawnhill::Outcome) -> Input {
    Input::Responded { stream: handle.stream, outcome }
}

/// Decides a single request without a stream; the outcome of its attempt is not reported.
async fn decide(
    front: &FrontState,
    head: Result<(RequestHead, Option<u32>), Rejection>,
) -> Result<ProxyReply, Rejection> {
    let (head, attempt) = head?;
    let (handle, mut replies) = front.present(head, attempt);
    let reply = replies.recv().await.ok_or((StatusCode::BAD_GATEWAY, "the limiter stops"))?;
    if matches!(reply.verdict, Verdict::Admit(_)) {
        handle.send(Input::Unreported { stream: handle.stream }, None);
    }
    Ok(reply)
}

/// Status, text and retry advice in milliseconds for a request that is not admitted; `None` if it is.
fn denial(decided: &Result<ProxyReply, Rejection>) -> Option<(StatusCode, &'static str, f64)> {
    match decided {
        Ok(ProxyReply { verdict: Verdict::Admit(_), .. }) => None,
        Ok(reply) => Some(proxy_messages::final_answer(&reply.verdict)),
        Err((status, why)) => Some((*status, why, 0.0)),
    }
}

struct Authorization(Arc<FrontState>);

#[tonic::async_trait]
impl auth::authorization_server::Authorization for Authorization {
    async fn check(
        &self,
        request: Request<auth::CheckRequest>,
    ) -> Result<Response<auth::CheckResponse>, Status> {
        let request = request.into_inner();
        let http = request.attributes.and_then(|a| a.request).and_then(|r| r.http);
        let http = http.ok_or_else(|| Status::invalid_argument("attributes.request.http is missing"))?;
        let mut pairs: Vec<(&str, &[u8])> =
            vec![(":method", http.method.as_bytes()), (":path", http.path.as_bytes())];
        match &http.header_map {
            Some(map) => pairs.extend(proxy_messages::header_map_pairs(map)),
            None => pairs.extend(http.headers.iter().map(|(k, v)| (k.as_str(), v.as_bytes()))),
        }
        pairs.retain(|(name, _)| !name.starts_with(':') || matches!(*name, ":method" | ":path"));
        pairs.dedup_by(|b, a| a.0 == b.0 && a.0.starts_with(':'));
        let decided =
            decide(&self.0, self.0.parse_head(proxy_messages::request_head(pairs.into_iter()))).await;
        let answer = match (&decided, denial(&decided)) {
            (Ok(reply), None) => auth::CheckResponse {
                status: Some(rpc::Status::default()),
                dynamic_metadata: proxy_messages::destination_metadata(reply),
                http_response: Some(auth::check_response::HttpResponse::OkResponse(auth::OkHttpResponse {
                    headers: proxy_messages::grant_headers(proxy_messages::DESTINATION_HEADER, reply),
                    ..Default::default()
                })),
            },
            (_, denied) => {
                let (status, why, retry_ms) = denied.unwrap_or((StatusCode::BAD_GATEWAY, "", 0.0));
                let headers = proxy_messages::retry_after(retry_ms)
                    .map(|v| proxy_messages::set_header("retry-after", &v));
                let code = envoy_types::pb::envoy::r#type::v3::HttpStatus { code: status.as_u16().into() };
                auth::CheckResponse {
                    status: Some(rpc::Status {
                        code: tonic::Code::PermissionDenied as i32,
                        message: why.to_string(),
                        ..Default::default()
                    }),
                    http_response: Some(auth::check_response::HttpResponse::DeniedResponse(
                        auth::DeniedHttpResponse {
                            status: Some(code),
                            headers: headers.into_iter().collect(),
                            body: why.to_string(),
                        },
                    )),
                    ..Default::default()
                }
            }
        };
        Ok(Response::new(answer))
    }
}

struct RateLimit(Arc<FrontState>);

#[tonic::async_trait]
impl rls::rate_limit_service_server::RateLimitService for RateLimit {
    async fn should_rate_limit(
        &self,
        request: Request<rls::RateLimitRequest>,
    ) -> Result<Response<rls::RateLimitResponse>, Status> {
        let request = request.into_inner();
        // Entries are named after the headers (and pseudo headers) that they were taken from. All descriptors of a
        // message belong to one request.
        let mut pairs: Vec<(&str, &[u8])> = Vec::new();
        for entry in request.descriptors.iter().flat_map(|d| &d.entries) {
            if !pairs.iter().any(|(key, _)| *key == entry.key) {
                pairs.push((&entry.key, entry.value.as_bytes()));
            }
        }
        if !pairs.iter().any(|(key, _)| *key == ":method") {
            pairs.push((":method", b"GET"));
        }
        // This protocol does not identify requests: each question counts as a new request.
        let correlation = self.0.options.layout.correlation.clone();
        let name = format!("rls-{}", self.0.next_stream.fetch_add(1, Ordering::Relaxed));
        if !pairs.iter().any(|(key, _)| *key == correlation.as_str()) {
            pairs.push((correlation.as_str(), name.as_bytes()));
        }
        let decided =
            decide(&self.0, self.0.parse_head(proxy_messages::request_head(pairs.into_iter()))).await;
        let denied = denial(&decided);
        if let Some((status, why, _)) = denied.filter(|(status, ..)| status.is_client_error()) {
            if status != StatusCode::TOO_MANY_REQUESTS {
                return Err(Status::invalid_argument(why));
            }
        }
        let code = if denied.is_none() {
            rls::rate_limit_response::Code::Ok
        } else {
            rls::rate_limit_response::Code::OverLimit
        };
        let retry_after = denied.and_then(|(.., retry_ms)| proxy_messages::retry_after(retry_ms));
        let header = retry_after.map(|value| envoy_types::pb::envoy::config::core::v3::HeaderValue {
            key: "retry-after".to_string(),
            value,
            ..Default::default()
        });
        Ok(Response::new(rls::RateLimitResponse {
            overall_code: code as i32,
            response_headers_to_add: header.into_iter().collect(),
            ..Default::default()
        }))
    }
}

/// Holds a proxy's permit to be connected. A connection that does not send the HTTP/2 preface in time is closed,
/// so that silent ones do not keep others out.
struct Proxy {
    bytes_seen: usize,
    preface_timeout: Option<Pin<Box<Sleep>>>,
    _permit: OwnedSemaphorePermit,
}

impl IoObserver for Proxy {
    fn on_read(&mut self, cx: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        let Some(preface_timeout) = &mut self.preface_timeout else { return Ok(()) };
        self.bytes_seen += bytes;
        if self.bytes_seen >= PREFACE_BYTES {
            self.preface_timeout = None;
        } else if preface_timeout.as_mut().poll(cx).is_ready() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}

impl Connected for ObservedStream<Proxy> {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.get_ref().connect_info()
    }
}

/// Accepts connections of proxies. One that exceeds the limit is closed at once, so that the proxy can try
/// elsewhere.
fn accept(listener: TcpListener, max_open: usize) -> impl Stream<Item = io::Result<ObservedStream<Proxy>>> {
    let permits = Arc::new(Semaphore::new(max_open));
    let mut full_logged = false;
    async_stream::stream! {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => match permits.clone().try_acquire_owned() {
                    Ok(permit) => {
                        full_logged = false;
                        let _ = stream.set_nodelay(true);
                        let preface_timeout = Some(Box::pin(tokio::time::sleep(PREFACE_TIMEOUT)));
                        yield Ok(ObservedStream { stream: DrainingStream::new(stream), observer: Proxy { bytes_seen: 0, preface_timeout, _permit: permit }, prefix: bytes::Bytes::new() });
                    }
                    Err(_) => {
                        if !std::mem::replace(&mut full_logged, true) {
                            info!("external processor: {max_open} connections are open, {from} was closed");
                        }
                    }
                },
                // Out of file descriptors, or the proxy has already disconnected.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }
}

/// Serves proxies until `stop` turns true, then sends GOAWAY and finishes the open streams.
pub async fn serve(
    driver: Rc<Driver>,
    options: ExternalProcessor,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    driver.enable_external_processor(options.config);
    let (inputs, mut input_receiver) = mpsc::unbounded_channel::<DriverInput>();
    let front = Arc::new(FrontState {
        config: driver.config.clone(),
        options: options.clone(),
        inputs,
        next_stream: AtomicU64::new(0),
        observed_messages: AtomicU64::new(0),
    });
    let input_driver = driver.clone();
    tokio::task::spawn_local(async move {
        while let Some((input, replies)) = input_receiver.recv().await {
            input_driver.handle_proxy_input(input, replies);
        }
    });
    let (health, health_service) = tonic_health::server::health_reporter();
    let health_driver = driver.clone();
    tokio::task::spawn_local(async move {
        let mut reported = None;
        loop {
            let ready = health_driver.is_ready();
            if reported.replace(ready) != Some(ready) {
                let status = if ready {
                    tonic_health::ServingStatus::Serving
                } else {
                    tonic_health::ServingStatus::NotServing
                };
                health.set_service_status("", status).await;
                health.set_service_status("envoy.service.ext_proc.v3.ExternalProcessor", status).await;
            }
            tokio::time::sleep(HEALTH_INTERVAL).await;
        }
    });
    let max_message_bytes = options.max_message_bytes;
    let server = tonic::transport::Server::builder()
        .max_concurrent_streams(options.max_concurrent_streams)
        .http2_keepalive_interval(Some(Duration::from_secs_f64(options.keepalive_ms / 1000.0)))
        .http2_keepalive_timeout(Some(Duration::from_secs_f64(options.keepalive_ms / 1000.0)))
        .http2_max_header_list_size(16 << 10)
        .initial_stream_window_size(64 << 10)
        .initial_connection_window_size(1 << 20)
        .add_service(
            ExternalProcessorServer::new(Processor(front.clone()))
                .max_decoding_message_size(max_message_bytes),
        )
        .add_service(
            auth::authorization_server::AuthorizationServer::new(Authorization(front.clone()))
                .max_decoding_message_size(max_message_bytes),
        )
        .add_service(
            rls::rate_limit_service_server::RateLimitServiceServer::new(RateLimit(front.clone()))
                .max_decoding_message_size(max_message_bytes),
        )
        .add_service(health_service);
    let mut shutdown_stop = stop.clone();
    let shutdown = async move { drop(shutdown_stop.wait_for(|stop| *stop).await) };
    let incoming = accept(listener, options.max_connections);
    let drain_timeout = async move {
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(MAX_DRAIN_TIME).await;
    };
    tokio::select! {
        served = server.serve_with_incoming_shutdown(incoming, shutdown) => {
            if let Err(e) = served {
                info!("external processor: {e}");
            }
        }
        () = drain_timeout => info!("external processor: stopped with streams still open"),
    }
    let (open, counts) = driver.proxied_request_counts();
    let observed = front.observed_messages.load(Ordering::Relaxed);
    info!("external processor: {open} open, {observed} observed, {counts:?}");
}
