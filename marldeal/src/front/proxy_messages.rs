//! Converts between the messages of Envoy's protocols and the types of this program (`envoy.service.ext_proc.v3`,
//! `envoy.service.auth.v3`, `envoy.service.ratelimit.v3`).

use envoy_types::pb::envoy::config::core::v3 as core;
use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::{processing_mode, ProcessingMode};
use envoy_types::pb::envoy::r#type::v3::HttpStatus;
use envoy_types::pb::envoy::service::ext_proc::v3 as ext;
use envoy_types::pb::google::protobuf::{value::Kind, Struct, Value};
use ext::processing_response::Response as Message;
use fawnhill::Outcome;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::StatusCode;
use marldeal_engine::outcomes;
use marldeal_external::{Conflict, Verdict};

use crate::driver::ProxyReply;
use crate::front::head::{Rejection, TIME_LEFT};

/// Names the chosen server, as in the endpoint picker protocol of the Gateway API inference extension.
pub const DESTINATION_HEADER: &str = "x-gateway-destination-endpoint";
/// The dynamic metadata namespace under which that protocol repeats the server.
const METADATA_NAMESPACE: &str = "envoy.lb";
/// Marks a response after which the proxy is to retry; names the next server.
pub const RETRY_HEADER: &str = "x-marldeal-retry";
/// The number of the proxy's attempt, from 1.
pub const ATTEMPT_COUNT_HEADER: &str = "x-envoy-attempt-count";
/// Tells the proxy how long the attempt may take (Envoy, "x-envoy-upstream-rq-timeout-ms").
const TIMEOUT_HEADER: &str = "x-envoy-upstream-rq-timeout-ms";
/// `%RESPONSE_FLAGS%` of the proxy's access log, if the proxy adds them to local replies.
const RESPONSE_FLAGS_HEADER: &str = "x-envoy-response-flags";

/// Most headers that a message may have.
const MAX_HEADERS: usize = 128;

fn header_value(header: &core::HeaderValue) -> &[u8] {
    if header.raw_value.is_empty() {
        header.value.as_bytes()
    } else {
        &header.raw_value
    }
}

/// Builds the head that an HTTP/1.1 front would have read, and returns it with the proxy's count of its attempts.
pub fn request_head<'a>(
    headers: impl ExactSizeIterator<Item = (&'a str, &'a [u8])>,
) -> Result<(Parts, Option<u32>), Rejection> {
    let bad_request = |why| (StatusCode::BAD_REQUEST, why);
    if headers.len() > MAX_HEADERS {
        return Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "too many headers"));
    }
    let (mut parts, ()) = hyper::Request::new(()).into_parts();
    let (mut method, mut path) = (None, None);
    for (name, value) in headers {
        match name {
            ":method" => method = hyper::Method::from_bytes(value).ok(),
            ":path" => path = hyper::Uri::try_from(value).ok(),
            _ if name.starts_with(':') => {}
            _ => {
                let name =
                    HeaderName::from_bytes(name.as_bytes()).map_err(|_| bad_request("a bad header name"))?;
                let value = HeaderValue::from_bytes(value).map_err(|_| bad_request("a bad header value"))?;
                // The proxy handles the framing of the body.
                if name != TRANSFER_ENCODING {
                    parts.headers.append(name, value);
                }
            }
        }
    }
    parts.method = method.ok_or_else(|| bad_request("no good :method"))?;
    parts.uri = path.ok_or_else(|| bad_request("no good :path"))?;
    let count = match parts.headers.get(ATTEMPT_COUNT_HEADER) {
        None => None,
        Some(count) => {
            let count = count.to_str().ok().and_then(|c| c.parse::<u32>().ok()).filter(|c| *c > 0);
            Some(count.ok_or_else(|| bad_request("no good x-envoy-attempt-count"))?)
        }
    };
    Ok((parts, count))
}

/// The headers of an ext_proc message, as pairs of name and value.
pub fn header_pairs(headers: &ext::HttpHeaders) -> Vec<(&str, &[u8])> {
    headers.headers.as_ref().map_or_else(Vec::new, |map| header_map_pairs(map).collect())
}

/// The headers of a header map, as pairs of name and value.
pub fn header_map_pairs(map: &core::HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    map.headers.iter().map(|h| (h.key.as_str(), header_value(h)))
}

/// The outcome of an attempt, from its response headers and attributes.
pub fn attempt_outcome(
    headers: &ext::HttpHeaders,
    message: &ext::ProcessingRequest,
) -> Result<Outcome, &'static str> {
    let all = header_pairs(headers);
    let find = |name: &str| all.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    let text = |name: &str| find(name).and_then(|v| std::str::from_utf8(v).ok());
    let status = text(":status").and_then(|s| s.parse::<u16>().ok()).ok_or("no good :status")?;
    if status != 200 {
        let from_flags = text(RESPONSE_FLAGS_HEADER)
            .and_then(outcomes::from_response_flags)
            .or_else(|| outcome_from_attributes(message));
        if let Some(outcome) = from_flags {
            return Ok(outcome);
        }
    }
    Ok(outcomes::from_response(status, find("x-unprocessed") == Some(b"1")))
}

/// The outcome that the attribute `response.flags` stands for; it is a bit field or text.
fn outcome_from_attributes(message: &ext::ProcessingRequest) -> Option<Outcome> {
    message.attributes.values().find_map(|all| match all.fields.get("response.flags")?.kind.as_ref()? {
        Kind::NumberValue(bits) if *bits >= 0.0 => outcomes::from_response_flag_bits(*bits as u64),
        Kind::StringValue(text) => outcomes::from_response_flags(text),
        _ => None,
    })
}

/// A header that replaces all of the same name.
pub fn set_header(name: &str, value: &str) -> core::HeaderValueOption {
    core::HeaderValueOption {
        header: Some(core::HeaderValue {
            key: name.to_string(),
            raw_value: value.as_bytes().to_vec(),
            ..Default::default()
        }),
        append_action: core::header_value_option::HeaderAppendAction::OverwriteIfExistsOrAdd as i32,
        ..Default::default()
    }
}

/// The headers that describe a granted attempt to a proxy. The server is named in `destination_header`.
pub fn grant_headers(destination_header: &str, reply: &ProxyReply) -> Vec<core::HeaderValueOption> {
    let server = reply.server_addr.map(|n| n.to_string()).unwrap_or_default();
    let remaining_ms = reply.remaining_ms.max(1.0);
    vec![
        set_header(destination_header, &server),
        set_header(TIMEOUT_HEADER, &format!("{}", remaining_ms as u64)),
        set_header(TIME_LEFT.as_str(), &format!("{:.3}", remaining_ms / 1000.0)),
    ]
}

/// The chosen server as dynamic metadata.
pub fn destination_metadata(reply: &ProxyReply) -> Option<Struct> {
    let text = |text: String| Value { kind: Some(Kind::StringValue(text)) };
    let server =
        Struct { fields: [(DESTINATION_HEADER.to_string(), text(reply.server_addr?.to_string()))].into() };
    let server = Value { kind: Some(Kind::StructValue(server)) };
    Some(Struct { fields: [(METADATA_NAMESPACE.to_string(), server)].into() })
}

/// Status, text and retry advice in milliseconds of a final answer that the limiter gives itself.
pub fn final_answer(verdict: &Verdict) -> (StatusCode, &'static str, f64) {
    match verdict {
        Verdict::Refuse { retry_ms } => (StatusCode::TOO_MANY_REQUESTS, "", *retry_ms),
        Verdict::Busy => (StatusCode::SERVICE_UNAVAILABLE, "too many requests are open here", 0.0),
        Verdict::Conflict(Conflict::Open) => {
            (StatusCode::CONFLICT, "a request with this X-Correlation-Id is open", 0.0)
        }
        Verdict::Conflict(Conflict::Served) => (StatusCode::CONFLICT, "this request has been served", 0.0),
        Verdict::Conflict(Conflict::Mismatch) => {
            (StatusCode::CONFLICT, "another request has this X-Correlation-Id", 0.0)
        }
        _ => (StatusCode::BAD_GATEWAY, "", 0.0),
    }
}

/// The value of `Retry-After`, or `None` without retry advice.
pub fn retry_after(retry_ms: f64) -> Option<String> {
    (retry_ms > 0.0).then(|| format!("{:.3}", retry_ms / 1000.0))
}

/// A message that ends the request at the proxy with this answer.
pub fn immediate_response(status: StatusCode, text: &str, retry_ms: f64) -> ext::ProcessingResponse {
    let headers = retry_after(retry_ms).map(|value| ext::HeaderMutation {
        set_headers: vec![set_header(RETRY_AFTER.as_str(), &value)],
        ..Default::default()
    });
    response(Message::ImmediateResponse(ext::ImmediateResponse {
        status: Some(HttpStatus { code: i32::from(status.as_u16()) }),
        headers,
        body: text.as_bytes().to_vec(),
        details: format!("marldeal_{}", status.as_u16()),
        ..Default::default()
    }))
}

fn response(message: Message) -> ext::ProcessingResponse {
    ext::ProcessingResponse { response: Some(message), ..Default::default() }
}

fn headers_response(
    set_headers: Vec<core::HeaderValueOption>,
    remove: &[&str],
    clear_route_cache: bool,
) -> ext::HeadersResponse {
    let remove_headers = remove.iter().map(ToString::to_string).collect();
    ext::HeadersResponse {
        response: Some(ext::CommonResponse {
            header_mutation: Some(ext::HeaderMutation { set_headers, remove_headers }),
            clear_route_cache,
            ..Default::default()
        }),
    }
}

/// The message that carries a verdict, in reply to the proxy or unsolicited.
pub fn verdict(reply: &ProxyReply, clear_route_cache: bool, trailers: bool) -> ext::ProcessingResponse {
    use processing_mode::{BodySendMode, HeaderSendMode};
    match &reply.verdict {
        Verdict::Admit(_) => {
            let headers = headers_response(grant_headers(DESTINATION_HEADER, reply), &[], clear_route_cache);
            let trailers = if trailers { HeaderSendMode::Send } else { HeaderSendMode::Skip };
            ext::ProcessingResponse {
                dynamic_metadata: destination_metadata(reply),
                mode_override: Some(ProcessingMode {
                    request_header_mode: HeaderSendMode::Default as i32,
                    response_header_mode: HeaderSendMode::Send as i32,
                    request_body_mode: BodySendMode::None as i32,
                    response_body_mode: BodySendMode::None as i32,
                    request_trailer_mode: HeaderSendMode::Skip as i32,
                    response_trailer_mode: trailers as i32,
                }),
                ..response(Message::RequestHeaders(headers))
            }
        }
        Verdict::Retry(_) => ext::ProcessingResponse {
            dynamic_metadata: destination_metadata(reply),
            ..response(Message::ResponseHeaders(headers_response(
                grant_headers(RETRY_HEADER, reply),
                &[],
                false,
            )))
        },
        // The header is reserved for this limiter: one that a server set is removed.
        Verdict::PassThrough => {
            response(Message::ResponseHeaders(headers_response(Vec::new(), &[RETRY_HEADER], false)))
        }
        other => {
            let (status, text, retry_ms) = final_answer(other);
            immediate_response(status, text, retry_ms)
        }
    }
}

/// The reply to a phase that needs no decision: continue unchanged. `None` for header phases.
pub fn continue_response(phase: &ext::processing_request::Request) -> Option<ext::ProcessingResponse> {
    use ext::processing_request::Request as Phase;
    Some(response(match phase {
        Phase::RequestBody(_) => Message::RequestBody(ext::BodyResponse::default()),
        Phase::ResponseBody(_) => Message::ResponseBody(ext::BodyResponse::default()),
        Phase::RequestTrailers(_) => Message::RequestTrailers(ext::TrailersResponse::default()),
        Phase::ResponseTrailers(_) => Message::ResponseTrailers(ext::TrailersResponse::default()),
        Phase::RequestHeaders(_) | Phase::ResponseHeaders(_) => return None,
    }))
}

/// A message that extends the proxy's timeout for the reply to its message.
pub fn extend_message_timeout(ms: f64) -> ext::ProcessingResponse {
    let seconds = (ms / 1000.0).floor();
    ext::ProcessingResponse {
        override_message_timeout: Some(envoy_types::pb::google::protobuf::Duration {
            seconds: seconds as i64,
            nanos: ((ms / 1000.0 - seconds) * 1e9) as i32,
        }),
        ..Default::default()
    }
}
