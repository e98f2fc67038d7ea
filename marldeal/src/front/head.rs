//! Parses the head of a request, for all fronts.

use fawnhill::{Effect, Request};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, StatusCode};

use crate::settings::config::Config;

/// Identifies the request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Marks repeats of a request that must take effect only once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Seconds that the sender will wait.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
const PLAN: HeaderName = HeaderName::from_static("x-tariff");
const WEIGHT: HeaderName = HeaderName::from_static("x-weight");

/// Longest time left that is accepted, and the cap applied to it, in seconds.
const MAX_TIME_LEFT_S: f64 = 3600.0;
const TIME_LEFT_CAP_S: f64 = 60.0;

/// The headers that carry a request's attributes. The default is the platform's protocol.
#[derive(Debug, Clone)]
pub struct HeaderLayout {
    /// Identifies the request.
    pub correlation: HeaderName,
    /// Names the plan.
    pub plan: HeaderName,
    /// Seconds that the client will wait.
    pub time_left: HeaderName,
    /// Carries `units`, `spread` and `first`.
    pub weight: HeaderName,
    /// Carries the idempotency key.
    pub key: HeaderName,
    /// Names the class, instead of the first segment of the path; the method is not checked then.
    pub class: Option<HeaderName>,
    /// Names the customer, instead of the last segment of the path.
    pub customer: Option<HeaderName>,
    /// The plan if no header names one.
    pub default_plan: Option<String>,
    /// The time left in seconds if no header gives it.
    pub default_time_left_s: Option<f64>,
    /// The weight if no header gives it.
    pub default_weight: Option<String>,
}

impl Default for HeaderLayout {
    fn default() -> HeaderLayout {
        HeaderLayout {
            correlation: CORRELATION_ID,
            plan: PLAN,
            time_left: TIME_LEFT,
            weight: WEIGHT,
            key: IDEMPOTENCY_KEY,
            class: None,
            customer: None,
            default_plan: None,
            default_time_left_s: None,
            default_weight: None,
        }
    }
}

/// The contents of a request's head.
#[derive(Debug)]
pub struct RequestHead {
    /// The request for the decision module, with its id still to be assigned.
    pub request: Request,
    /// Path and query.
    pub target: hyper::Uri,
    /// `X-Correlation-Id`.
    pub correlation_id: HeaderValue,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
}

/// A status, and one line that says what was wrong.
pub type Rejection = (StatusCode, &'static str);

/// Parses and checks a whole head. Requests that are malformed or name something unknown reach neither the
/// decision module nor a server.
///
/// # Errors
/// The status and text with which the request is to be rejected.
pub fn parse(
    config: &Config,
    layout: &HeaderLayout,
    head: &hyper::http::request::Parts,
) -> Result<RequestHead, Rejection> {
    let bad_request = |why| (StatusCode::BAD_REQUEST, why);
    // Guards against request smuggling, where two readers frame a body differently (RFC 9112, section 6.1): only
    // one transfer coding is accepted, and no length beside it.
    if let Some(coding) = head.headers.get(TRANSFER_ENCODING) {
        let single = head.headers.get_all(TRANSFER_ENCODING).iter().nth(1).is_none();
        if !single || !coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked") {
            return Err((StatusCode::NOT_IMPLEMENTED, "no coding but chunked is known"));
        }
        if head.headers.contains_key(CONTENT_LENGTH) {
            return Err(bad_request("a body has a coding or a length, not both"));
        }
    }
    let single_headers = [&layout.correlation, &layout.key, &layout.time_left, &layout.plan, &layout.weight];
    let single_headers = single_headers.into_iter().chain(&layout.class).chain(&layout.customer);
    if single_headers.into_iter().any(|name| head.headers.get_all(name).iter().nth(1).is_some()) {
        return Err(bad_request("a header that may come once comes twice"));
    }
    let names = &config.names;
    let settings = &config.settings;
    let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    let (mut class, mut customer) = (None, None);
    if layout.class.is_none() || layout.customer.is_none() {
        let mut segments = head.uri.path().strip_prefix('/').unwrap_or_default().split('/');
        (class, customer) = (segments.next(), segments.next());
        if customer.is_none() || segments.next().is_some() {
            return Err((StatusCode::NOT_FOUND, "no such path"));
        }
    }
    let class = layout.class.as_ref().map_or(class, text);
    let customer = layout.customer.as_ref().map_or(customer, text);
    let class = class.and_then(|c| names.class(c)).ok_or_else(|| bad_request("unknown class"))?;
    let customer = customer
        .filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))
        .and_then(|c| u64::from_str_radix(c, 16).ok())
        .filter(|c| *c < 1 << 33)
        .ok_or_else(|| bad_request("the customer is not 16 hex digits below 2^33"))?;
    let effect = settings.classes.get(class).map_or(Effect::Unsafe, |c| c.effect);
    let method = if effect == Effect::Safe { Method::GET } else { Method::POST };
    if head.method != method && layout.class.is_none() {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "not this class's method"));
    }
    let plan = text(&layout.plan).or(layout.default_plan.as_deref());
    let plan = plan.and_then(|p| names.plan(p)).ok_or_else(|| bad_request("no known X-Tariff"))?;
    let time_left_s = match text(&layout.time_left) {
        Some(seconds) => seconds.parse::<f64>().ok(),
        None => layout.default_time_left_s,
    };
    let time_left_s = time_left_s
        .filter(|t| (0.0..=MAX_TIME_LEFT_S).contains(t))
        .ok_or_else(|| bad_request("no good X-Time-Left"))?;
    let (units, spread, first) = text(&layout.weight)
        .or(layout.default_weight.as_deref())
        .and_then(|w| parse_weight(w, settings.limiters, config.max_units))
        .ok_or_else(|| bad_request("no good X-Weight"))?;
    let correlation_id =
        nonempty(&head.headers, &layout.correlation).ok_or_else(|| bad_request("no X-Correlation-Id"))?;
    let idempotency_key = nonempty(&head.headers, &layout.key);
    if effect == Effect::Keyed && idempotency_key.is_none() {
        return Err(bad_request("no Idempotency-Key"));
    }
    let target = head.uri.path_and_query().ok_or_else(|| bad_request("no path"))?.clone().into();
    let request = Request {
        id: 0,
        class,
        plan,
        customer,
        budget_ms: time_left_s.min(TIME_LEFT_CAP_S) * 1000.0,
        units,
        spread,
        first,
    };
    Ok(RequestHead { request, target, correlation_id, idempotency_key })
}

/// The class that a head names, even if the rest of the head is invalid.
pub fn named_class(
    config: &Config,
    layout: &HeaderLayout,
    head: &hyper::http::request::Parts,
) -> Option<usize> {
    let named = match &layout.class {
        Some(name) => head.headers.get(name)?.to_str().ok()?.trim(),
        None => head.uri.path().strip_prefix('/')?.split('/').next()?,
    };
    config.names.class(named)
}

fn nonempty(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    headers.get(name).filter(|v| !v.is_empty()).cloned()
}

/// Parses `units=2,spread=3,first=1`, in any order; other names are ignored.
fn parse_weight(text: &str, limiters: u32, max_units: f64) -> Option<(f64, u32, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        match name.trim() {
            "units" => units = value.trim().parse::<f64>().ok().filter(|u| *u > 0.0 && *u <= max_units),
            "spread" => spread = value.trim().parse::<u32>().ok().filter(|s| (1..=limiters).contains(s)),
            "first" => first = value.trim().parse::<u32>().ok().filter(|f| *f < limiters),
            _ => {}
        }
    }
    Some((units?, spread?, first?))
}
