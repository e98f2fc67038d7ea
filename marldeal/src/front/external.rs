//! The external processor: proxies ask about each request over gRPC and carry out what they are told.
//!
//! Each stream runs in its connection's task and speaks with the driver by two channels: what it said goes one way,
//! verdicts come back the other. What a verdict is, `marldeal-external` decides.

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
use crate::socket::{IoObserver, ObservedStream};

/// A proxy is asked for more time once it has waited so long: well before the 200 ms that Envoy waits by default.
const NUDGE: Duration = Duration::from_millis(50);
/// Verdicts that may wait for a stream: the answer it is owed, and one unasked.
const WORDS: usize = 4;
/// Answers to phases that decide nothing, kept back until the verdict before them is told.
const MOST_KEPT_BACK: usize = 8;
/// Bytes of the HTTP/2 connection preface (RFC 9113, section 3.4), and how long a new connection has for it.
const PREFACE: usize = 24;
const PREFACE_TIME: Duration = Duration::from_secs(2);
/// After SIGTERM, streams that carry a request are waited for no longer.
const DRAIN_MOST: Duration = Duration::from_secs(20);
/// How often readiness is told to the health service.
const HEALTH: Duration = Duration::from_millis(250);

type Said = (Input, Option<mpsc::Sender<ProxyReply>>);

/// What all streams share.
struct Front {
    config: Arc<Config>,
    options: ExternalProcessor,
    said: mpsc::UnboundedSender<Said>,
    next: AtomicU64,
    observed: AtomicU64,
}

impl Front {
    /// Reads what a proxy presents, with the one reader of heads.
    fn read(
        &self,
        head: Result<(Parts, Option<u32>), Rejection>,
    ) -> Result<(RequestHead, Option<u32>), Rejection> {
        let (parts, count) = head?;
        Ok((head::parse(&self.config, &self.options.layout, &parts)?, count))
    }

    /// Presents a request on a stream of its own.
    fn present(&self, told: RequestHead, attempt: Option<u32>) -> (Leave, mpsc::Receiver<ProxyReply>) {
        let stream = self.next.fetch_add(1, Ordering::Relaxed);
        let (words, heard) = mpsc::channel(WORDS);
        let presentation = Presentation {
            correlation_id: told.correlation_id.as_bytes().into(),
            key: told.idempotency_key.map(|key| key.as_bytes().into()),
            attempt,
            request: told.request,
        };
        let leave = Leave { stream, said: self.said.clone() };
        leave.say(Input::Presented { stream, presentation }, Some(words));
        (leave, heard)
    }
}

/// A stream as the driver knows it. Its end is told however it comes about.
struct Leave {
    stream: StreamId,
    said: mpsc::UnboundedSender<Said>,
}

impl Leave {
    /// Bounded by the streams: each says no more than it has verdicts for, and its end.
    fn say(&self, input: Input, words: Option<mpsc::Sender<ProxyReply>>) {
        let _ = self.said.send((input, words));
    }
}

impl Drop for Leave {
    fn drop(&mut self) {
        self.say(Input::Closed { stream: self.stream }, None);
    }
}

/// Where a stream stands.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// No request yet.
    Fresh,
    /// Owed a verdict on its request.
    Asked,
    /// The proxy carries an attempt.
    Granted,
    /// Owed a verdict on what came of it.
    Answering,
    /// A good answer is on its way to the client, and counts once it has come whole.
    Trailing,
    /// It has come whole, and has been told so.
    Trailed,
    /// Nothing more is decided here.
    Done,
}

type Answers = Pin<Box<dyn Stream<Item = Result<ext::ProcessingResponse, Status>> + Send>>;

struct Processor(Arc<Front>);

#[tonic::async_trait]
impl Service for Processor {
    type ProcessStream = Answers;

    async fn process(
        &self,
        request: Request<Streaming<ext::ProcessingRequest>>,
    ) -> Result<Response<Answers>, Status> {
        Ok(Response::new(Box::pin(process(self.0.clone(), request.into_inner()))))
    }
}

fn process(
    front: Arc<Front>,
    mut inbound: Streaming<ext::ProcessingRequest>,
) -> impl Stream<Item = Result<ext::ProcessingResponse, Status>> {
    let invalid = |why: &str| Err(Status::invalid_argument(why));
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    async_stream::stream! {
        let options = &front.options;
        let mut stage = Stage::Fresh;
        let mut held: Option<(Leave, mpsc::Receiver<ProxyReply>)> = None;
        let mut budget_ms = 0.0;
        let mut kept_back = Vec::new();
        let opened = Instant::now();
        let end = opened + ms(options.stream_ms);
        let mut nudge: Option<Instant> = None;
        let alarm = sleep_until(opened + ms(options.first_message_ms));
        tokio::pin!(alarm);
        loop {
            let word = async {
                match &mut held {
                    Some((_, words)) => words.recv().await,
                    None => std::future::pending().await,
                }
            };
            let message = tokio::select! {
                biased;
                word = word => {
                    let Some(word) = word else { break };
                    if nudge.take().is_some() {
                        alarm.as_mut().reset(end);
                    }
                    match (&word.verdict, stage) {
                        // Its answer is on its way already.
                        (Verdict::PassThrough, Stage::Trailing | Stage::Trailed) => {
                            held = None;
                            stage = Stage::Done;
                            continue;
                        }
                        (Verdict::Admit(_), _) => stage = Stage::Granted,
                        (Verdict::Retry(_), _) if options.config.retry_mode == marldeal_external::RetryMode::SameStream => {
                            stage = Stage::Granted;
                        }
                        (Verdict::PassThrough | Verdict::Retry(_), _) => {
                            held = None;
                            stage = Stage::Done;
                        }
                        // The last word of the stream.
                        _ => {
                            yield Ok(proxy_messages::verdict(&word, false, false));
                            break;
                        }
                    }
                    yield Ok(proxy_messages::verdict(&word, options.clear_route_cache, options.response_trailers));
                    for answer in kept_back.drain(..) {
                        yield Ok(answer);
                    }
                    continue;
                }
                message = inbound.message() => message,
                () = &mut alarm => {
                    if nudge.take().is_some() {
                        alarm.as_mut().reset(end);
                        if options.override_message_timeout {
                            yield Ok(proxy_messages::more_time(budget_ms));
                        }
                        continue;
                    }
                    yield Err(Status::deadline_exceeded("the stream has been open for too long"));
                    break;
                }
            };
            let message = match message {
                Ok(Some(message)) => message,
                // The proxy is done with its request, or has left.
                Ok(None) => {
                    if let (Stage::Trailing, Some((leave, _))) = (stage, &held) {
                        leave.say(responded(leave, fawnhill::Outcome::Ok), None);
                    }
                    break;
                }
                // Reset, over-long, or no message: all that can be said has been.
                Err(status) => {
                    yield Err(status);
                    break;
                }
            };
            if message.observability_mode {
                front.observed.fetch_add(1, Ordering::Relaxed);
                alarm.as_mut().reset(end);
                continue;
            }
            match &message.request {
                Some(Phase::RequestHeaders(headers)) if stage == Stage::Fresh => {
                    match front.read(proxy_messages::head(proxy_messages::pairs(headers).into_iter())) {
                        Ok((told, count)) => {
                            budget_ms = told.request.budget_ms;
                            held = Some(front.present(told, count));
                            stage = Stage::Asked;
                            let at = Instant::now() + NUDGE;
                            nudge = Some(at);
                            alarm.as_mut().reset(at);
                        }
                        Err((status, why)) => {
                            yield Ok(proxy_messages::immediate(status, why, 0.0));
                            break;
                        }
                    }
                }
                Some(Phase::RequestHeaders(_)) => {
                    yield invalid("a second request_headers on one stream");
                    break;
                }
                Some(Phase::ResponseHeaders(headers)) if stage == Stage::Granted => {
                    let Some((leave, _)) = &held else { break };
                    match proxy_messages::outcome(headers, &message) {
                        Ok(fawnhill::Outcome::Ok) if options.response_trailers && !headers.end_of_stream => {
                            stage = Stage::Trailing;
                            let word = ProxyReply { verdict: Verdict::PassThrough, node: None, left_ms: 0.0 };
                            yield Ok(proxy_messages::verdict(&word, false, false));
                        }
                        Ok(outcome) => {
                            leave.say(responded(leave, outcome), None);
                            stage = Stage::Answering;
                            let at = Instant::now() + NUDGE;
                            nudge = Some(at);
                            alarm.as_mut().reset(at);
                        }
                        Err(why) => {
                            yield invalid(why);
                            break;
                        }
                    }
                }
                // Its verdict came unasked, or the module gave it up, as this was on its way.
                Some(Phase::ResponseHeaders(_)) if stage == Stage::Done => {
                    yield invalid("response_headers after the last word");
                    break;
                }
                Some(Phase::ResponseHeaders(_)) => {
                    yield invalid("response_headers without a granted attempt");
                    break;
                }
                Some(phase) => {
                    if stage == Stage::Fresh {
                        yield invalid("a body or trailers before request_headers");
                        break;
                    }
                    if let (Phase::ResponseTrailers(_), Stage::Trailing, Some((leave, _))) = (phase, stage, &held) {
                        leave.say(responded(leave, fawnhill::Outcome::Ok), None);
                        stage = Stage::Trailed;
                    }
                    let Some(answer) = proxy_messages::carry_on(phase) else { break };
                    if !matches!(stage, Stage::Asked | Stage::Answering) {
                        yield Ok(answer);
                    } else if kept_back.len() < MOST_KEPT_BACK {
                        kept_back.push(answer);
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

fn responded(leave: &Leave, outcome: fawnhill::Outcome) -> Input {
    Input::Responded { stream: leave.stream, outcome }
}

/// One question without a stream: nobody tells what comes of it.
async fn ask(
    front: &Front,
    told: Result<(RequestHead, Option<u32>), Rejection>,
) -> Result<ProxyReply, Rejection> {
    let (told, count) = told?;
    let (leave, mut words) = front.present(told, count);
    let word = words.recv().await.ok_or((StatusCode::BAD_GATEWAY, "the limiter stops"))?;
    if matches!(word.verdict, Verdict::Admit(_)) {
        leave.say(Input::Unreported { stream: leave.stream }, None);
    }
    Ok(word)
}

/// Status, text and advice of what is not let in; nothing if it is.
fn turned_away(asked: &Result<ProxyReply, Rejection>) -> Option<(StatusCode, &'static str, f64)> {
    match asked {
        Ok(ProxyReply { verdict: Verdict::Admit(_), .. }) => None,
        Ok(word) => Some(proxy_messages::refusal(&word.verdict)),
        Err((status, why)) => Some((*status, why, 0.0)),
    }
}

struct Authorization(Arc<Front>);

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
            Some(map) => pairs.extend(proxy_messages::map_pairs(map)),
            None => pairs.extend(http.headers.iter().map(|(k, v)| (k.as_str(), v.as_bytes()))),
        }
        pairs.retain(|(name, _)| !name.starts_with(':') || matches!(*name, ":method" | ":path"));
        pairs.dedup_by(|b, a| a.0 == b.0 && a.0.starts_with(':'));
        let asked = ask(&self.0, self.0.read(proxy_messages::head(pairs.into_iter()))).await;
        let answer = match (&asked, turned_away(&asked)) {
            (Ok(word), None) => auth::CheckResponse {
                status: Some(rpc::Status::default()),
                dynamic_metadata: proxy_messages::metadata(word),
                http_response: Some(auth::check_response::HttpResponse::OkResponse(auth::OkHttpResponse {
                    headers: proxy_messages::grant(proxy_messages::DESTINATION, word),
                    ..Default::default()
                })),
            },
            (_, away) => {
                let (status, why, retry_ms) = away.unwrap_or((StatusCode::BAD_GATEWAY, "", 0.0));
                let headers =
                    proxy_messages::retry_after(retry_ms).map(|v| proxy_messages::set("retry-after", &v));
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

struct RateLimit(Arc<Front>);

#[tonic::async_trait]
impl rls::rate_limit_service_server::RateLimitService for RateLimit {
    async fn should_rate_limit(
        &self,
        request: Request<rls::RateLimitRequest>,
    ) -> Result<Response<rls::RateLimitResponse>, Status> {
        let request = request.into_inner();
        // Entries are named as the headers (and pseudo headers) that they were taken from; all descriptors of a
        // request speak of the one request.
        let mut pairs: Vec<(&str, &[u8])> = Vec::new();
        for entry in request.descriptors.iter().flat_map(|d| &d.entries) {
            if !pairs.iter().any(|(key, _)| *key == entry.key) {
                pairs.push((&entry.key, entry.value.as_bytes()));
            }
        }
        if !pairs.iter().any(|(key, _)| *key == ":method") {
            pairs.push((":method", b"GET"));
        }
        // This protocol names no request: each question is one of its own.
        let correlation = self.0.options.layout.correlation.clone();
        let name = format!("rls-{}", self.0.next.fetch_add(1, Ordering::Relaxed));
        if !pairs.iter().any(|(key, _)| *key == correlation.as_str()) {
            pairs.push((correlation.as_str(), name.as_bytes()));
        }
        let asked = ask(&self.0, self.0.read(proxy_messages::head(pairs.into_iter()))).await;
        let away = turned_away(&asked);
        if let Some((status, why, _)) = away.filter(|(status, ..)| status.is_client_error()) {
            if status != StatusCode::TOO_MANY_REQUESTS {
                return Err(Status::invalid_argument(why));
            }
        }
        let code = if away.is_none() {
            rls::rate_limit_response::Code::Ok
        } else {
            rls::rate_limit_response::Code::OverLimit
        };
        let advice = away.and_then(|(.., retry_ms)| proxy_messages::retry_after(retry_ms));
        let header = advice.map(|value| envoy_types::pb::envoy::config::core::v3::HeaderValue {
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

/// A proxy's place among the connections that may be open. One that is slow to say that it speaks HTTP/2 is cut, so that
/// silent ones do not keep the others out.
struct Proxy {
    seen: usize,
    late: Option<Pin<Box<Sleep>>>,
    _place: OwnedSemaphorePermit,
}

impl IoObserver for Proxy {
    fn on_read(&mut self, cx: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        let Some(late) = &mut self.late else { return Ok(()) };
        self.seen += bytes;
        if self.seen >= PREFACE {
            self.late = None;
        } else if late.as_mut().poll(cx).is_ready() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}

impl Connected for ObservedStream<Proxy> {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

/// Accepts proxies; one too many is closed at once, so that it hears and goes elsewhere.
fn accepted(listener: TcpListener, most: usize) -> impl Stream<Item = io::Result<ObservedStream<Proxy>>> {
    let places = Arc::new(Semaphore::new(most));
    let mut full = false;
    async_stream::stream! {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => match places.clone().try_acquire_owned() {
                    Ok(place) => {
                        full = false;
                        let _ = stream.set_nodelay(true);
                        let late = Some(Box::pin(tokio::time::sleep(PREFACE_TIME)));
                        yield Ok(ObservedStream { stream, observer: Proxy { seen: 0, late, _place: place }, prefix: bytes::Bytes::new() });
                    }
                    Err(_) => {
                        if !std::mem::replace(&mut full, true) {
                            info!("external processor: {most} connections are open, {from} was closed");
                        }
                    }
                },
                // Out of descriptors, or the proxy has gone already.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }
}

/// Serves proxies until `stop` turns true, then tells them so (GOAWAY) and finishes what was begun.
pub async fn serve(
    driver: Rc<Driver>,
    options: ExternalProcessor,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    driver.enable_external_processor(options.config);
    let (said, mut heard) = mpsc::unbounded_channel::<Said>();
    let front = Arc::new(Front {
        config: driver.config.clone(),
        options: options.clone(),
        said,
        next: AtomicU64::new(0),
        observed: AtomicU64::new(0),
    });
    let listening = driver.clone();
    tokio::task::spawn_local(async move {
        while let Some((input, words)) = heard.recv().await {
            listening.handle_proxy_input(input, words);
        }
    });
    let (health, healthy) = tonic_health::server::health_reporter();
    let asking = driver.clone();
    tokio::task::spawn_local(async move {
        let mut told = None;
        loop {
            let ready = asking.is_ready();
            if told.replace(ready) != Some(ready) {
                let status = if ready {
                    tonic_health::ServingStatus::Serving
                } else {
                    tonic_health::ServingStatus::NotServing
                };
                health.set_service_status("", status).await;
                health.set_service_status("envoy.service.ext_proc.v3.ExternalProcessor", status).await;
            }
            tokio::time::sleep(HEALTH).await;
        }
    });
    let most = options.max_message_bytes;
    let server = tonic::transport::Server::builder()
        .max_concurrent_streams(options.max_concurrent_streams)
        .http2_keepalive_interval(Some(Duration::from_secs_f64(options.keepalive_ms / 1000.0)))
        .http2_keepalive_timeout(Some(Duration::from_secs_f64(options.keepalive_ms / 1000.0)))
        .http2_max_header_list_size(16 << 10)
        .initial_stream_window_size(64 << 10)
        .initial_connection_window_size(1 << 20)
        .add_service(ExternalProcessorServer::new(Processor(front.clone())).max_decoding_message_size(most))
        .add_service(
            auth::authorization_server::AuthorizationServer::new(Authorization(front.clone()))
                .max_decoding_message_size(most),
        )
        .add_service(
            rls::rate_limit_service_server::RateLimitServiceServer::new(RateLimit(front.clone()))
                .max_decoding_message_size(most),
        )
        .add_service(healthy);
    let mut stopping = stop.clone();
    let signal = async move { drop(stopping.wait_for(|stop| *stop).await) };
    let incoming = accepted(listener, options.max_connections);
    let forced = async move {
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(DRAIN_MOST).await;
    };
    tokio::select! {
        served = server.serve_with_incoming_shutdown(incoming, signal) => {
            if let Err(e) = served {
                info!("external processor: {e}");
            }
        }
        () = forced => info!("external processor: streams were left open"),
    }
    let (open, counts) = driver.proxied_request_counts();
    let observed = front.observed.load(Ordering::Relaxed);
    info!("external processor: {open} open, {observed} observed, {counts:?}");
}
