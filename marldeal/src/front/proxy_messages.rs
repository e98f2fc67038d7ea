//! The external processor's messages in this program's terms, and back (`envoy.service.ext_proc.v3`,
//! `envoy.service.auth.v3`, `envoy.service.ratelimit.v3`).

use envoy_types::pb::envoy::config::core::v3 as core;
use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::{processing_mode, ProcessingMode};
use envoy_types::pb::envoy::r#type::v3::HttpStatus;
use envoy_types::pb::envoy::service::ext_proc::v3 as ext;
use envoy_types::pb::google::protobuf::{value::Kind, Struct, Value};
use ext::processing_response::Response as Answer;
use fawnhill::Outcome;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::StatusCode;
use marldeal_engine::outcomes;
use marldeal_external::{Conflict, Verdict};

use crate::driver::ProxyReply;
use crate::front::head::{Rejection, TIME_LEFT};

/// Names the chosen node: endpoint picker protocol of the Gateway API inference extension.
pub const DESTINATION: &str = "x-gateway-destination-endpoint";
/// The namespace under which that protocol repeats it as dynamic metadata.
const METADATA: &str = "envoy.lb";
/// Set on a response that is to be tried again; names the next node.
pub const RETRY: &str = "x-marldeal-retry";
/// Which attempt of the proxy this is, from 1.
pub const ATTEMPT_COUNT: &str = "x-envoy-attempt-count";
/// Tells the proxy how long the attempt may take (Envoy, "x-envoy-upstream-rq-timeout-ms").
const TIMEOUT: &str = "x-envoy-upstream-rq-timeout-ms";
/// `%RESPONSE_FLAGS%` of the proxy's access log, where it adds them to a local reply.
const FLAGS: &str = "x-envoy-response-flags";

/// Most headers of a message that are read.
const MOST_HEADERS: usize = 128;

fn value(header: &core::HeaderValue) -> &[u8] {
    if header.raw_value.is_empty() {
        header.value.as_bytes()
    } else {
        &header.raw_value
    }
}

/// The request's head as any HTTP/1.1 front would have read it, and the proxy's count of its attempts.
pub fn head<'a>(
    headers: impl ExactSizeIterator<Item = (&'a str, &'a [u8])>,
) -> Result<(Parts, Option<u32>), Rejection> {
    let bad = |why| (StatusCode::BAD_REQUEST, why);
    if headers.len() > MOST_HEADERS {
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
                let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| bad("a bad header name"))?;
                let value = HeaderValue::from_bytes(value).map_err(|_| bad("a bad header value"))?;
                // How the body is framed is the proxy's matter.
                if name != TRANSFER_ENCODING {
                    parts.headers.append(name, value);
                }
            }
        }
    }
    parts.method = method.ok_or_else(|| bad("no good :method"))?;
    parts.uri = path.ok_or_else(|| bad("no good :path"))?;
    let count = match parts.headers.get(ATTEMPT_COUNT) {
        None => None,
        Some(count) => {
            let count = count.to_str().ok().and_then(|c| c.parse::<u32>().ok()).filter(|c| *c > 0);
            Some(count.ok_or_else(|| bad("no good x-envoy-attempt-count"))?)
        }
    };
    Ok((parts, count))
}

/// The pairs of an ext_proc message.
pub fn pairs(headers: &ext::HttpHeaders) -> Vec<(&str, &[u8])> {
    headers.headers.as_ref().map_or_else(Vec::new, |map| map_pairs(map).collect())
}

/// The pairs of a header map.
pub fn map_pairs(map: &core::HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    map.headers.iter().map(|h| (h.key.as_str(), value(h)))
}

/// What response headers say of the attempt.
pub fn outcome(
    headers: &ext::HttpHeaders,
    message: &ext::ProcessingRequest,
) -> Result<Outcome, &'static str> {
    let all = pairs(headers);
    let find = |name: &str| all.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    let text = |name: &str| find(name).and_then(|v| std::str::from_utf8(v).ok());
    let status = text(":status").and_then(|s| s.parse::<u16>().ok()).ok_or("no good :status")?;
    if status != 200 {
        let told = text(FLAGS).and_then(outcomes::from_response_flags).or_else(|| attribute_flags(message));
        if let Some(outcome) = told {
            return Ok(outcome);
        }
    }
    Ok(outcomes::from_response(status, find("x-unprocessed") == Some(b"1")))
}

/// The attribute `response.flags`, as a bit field or as a text.
fn attribute_flags(message: &ext::ProcessingRequest) -> Option<Outcome> {
    message.attributes.values().find_map(|all| match all.fields.get("response.flags")?.kind.as_ref()? {
        Kind::NumberValue(bits) if *bits >= 0.0 => outcomes::from_response_flag_bits(*bits as u64),
        Kind::StringValue(text) => outcomes::from_response_flags(text),
        _ => None,
    })
}

/// A header that replaces any of its name.
pub fn set(name: &str, value: &str) -> core::HeaderValueOption {
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

/// The headers that tell a proxy about a granted attempt; `named` is the one that names the node.
pub fn grant(named: &str, word: &ProxyReply) -> Vec<core::HeaderValueOption> {
    let node = word.node.map(|n| n.to_string()).unwrap_or_default();
    let left_ms = word.left_ms.max(1.0);
    vec![
        set(named, &node),
        set(TIMEOUT, &format!("{}", left_ms as u64)),
        set(TIME_LEFT.as_str(), &format!("{:.3}", left_ms / 1000.0)),
    ]
}

/// The chosen node as dynamic metadata.
pub fn metadata(word: &ProxyReply) -> Option<Struct> {
    let text = |text: String| Value { kind: Some(Kind::StringValue(text)) };
    let node = Struct { fields: [(DESTINATION.to_string(), text(word.node?.to_string()))].into() };
    let node = Value { kind: Some(Kind::StructValue(node)) };
    Some(Struct { fields: [(METADATA.to_string(), node)].into() })
}

/// A final answer of this limiter's own: status, text, and advice in milliseconds.
pub fn refusal(verdict: &Verdict) -> (StatusCode, &'static str, f64) {
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

/// The value of `Retry-After`, where there is advice.
pub fn retry_after(retry_ms: f64) -> Option<String> {
    (retry_ms > 0.0).then(|| format!("{:.3}", retry_ms / 1000.0))
}

/// Ends the request at the proxy.
pub fn immediate(status: StatusCode, text: &str, retry_ms: f64) -> ext::ProcessingResponse {
    let headers = retry_after(retry_ms).map(|value| ext::HeaderMutation {
        set_headers: vec![set(RETRY_AFTER.as_str(), &value)],
        ..Default::default()
    });
    answer(Answer::ImmediateResponse(ext::ImmediateResponse {
        status: Some(HttpStatus { code: i32::from(status.as_u16()) }),
        headers,
        body: text.as_bytes().to_vec(),
        details: format!("marldeal_{}", status.as_u16()),
        ..Default::default()
    }))
}

fn answer(answer: Answer) -> ext::ProcessingResponse {
    ext::ProcessingResponse { response: Some(answer), ..Default::default() }
}

fn common(
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

/// A verdict as the answer to a message, or unasked.
pub fn verdict(word: &ProxyReply, clear_route_cache: bool, trailers: bool) -> ext::ProcessingResponse {
    use processing_mode::{BodySendMode, HeaderSendMode};
    match &word.verdict {
        Verdict::Admit(_) => {
            let headers = common(grant(DESTINATION, word), &[], clear_route_cache);
            let trailers = if trailers { HeaderSendMode::Send } else { HeaderSendMode::Skip };
            ext::ProcessingResponse {
                dynamic_metadata: metadata(word),
                mode_override: Some(ProcessingMode {
                    request_header_mode: HeaderSendMode::Default as i32,
                    response_header_mode: HeaderSendMode::Send as i32,
                    request_body_mode: BodySendMode::None as i32,
                    response_body_mode: BodySendMode::None as i32,
                    request_trailer_mode: HeaderSendMode::Skip as i32,
                    response_trailer_mode: trailers as i32,
                }),
                ..answer(Answer::RequestHeaders(headers))
            }
        }
        Verdict::Retry(_) => ext::ProcessingResponse {
            dynamic_metadata: metadata(word),
            ..answer(Answer::ResponseHeaders(common(grant(RETRY, word), &[], false)))
        },
        // A node's word must not pass for this limiter's.
        Verdict::PassThrough => answer(Answer::ResponseHeaders(common(Vec::new(), &[RETRY], false))),
        other => {
            let (status, text, retry_ms) = refusal(other);
            immediate(status, text, retry_ms)
        }
    }
}

/// The answer to a phase that decides nothing here: go on, unchanged.
pub fn carry_on(phase: &ext::processing_request::Request) -> Option<ext::ProcessingResponse> {
    use ext::processing_request::Request as Phase;
    Some(answer(match phase {
        Phase::RequestBody(_) => Answer::RequestBody(ext::BodyResponse::default()),
        Phase::ResponseBody(_) => Answer::ResponseBody(ext::BodyResponse::default()),
        Phase::RequestTrailers(_) => Answer::RequestTrailers(ext::TrailersResponse::default()),
        Phase::ResponseTrailers(_) => Answer::ResponseTrailers(ext::TrailersResponse::default()),
        Phase::RequestHeaders(_) | Phase::ResponseHeaders(_) => return None,
    }))
}

/// Asks the proxy to wait longer for the answer to its message.
pub fn more_time(ms: f64) -> ext::ProcessingResponse {
    let seconds = (ms / 1000.0).floor();
    ext::ProcessingResponse {
        override_message_timeout: Some(envoy_types::pb::google::protobuf::Duration {
            seconds: seconds as i64,
            nanos: ((ms / 1000.0 - seconds) * 1e9) as i32,
        }),
        ..Default::default()
    }
}
