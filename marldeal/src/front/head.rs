//! The one reader of a request's head, for every front.

use fawnhill::{Effect, Request};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, StatusCode};

use crate::settings::config::Config;

/// Names the request.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Marks repeats of one effect.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Seconds that the sender will wait.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
const PLAN: HeaderName = HeaderName::from_static("x-tariff");
const WEIGHT: HeaderName = HeaderName::from_static("x-weight");

/// The longest time left that makes sense, in seconds, and the longest that is kept in mind.
const MOST_TIME_LEFT: f64 = 3600.0;
const KEPT_TIME_LEFT: f64 = 60.0;

/// Which header tells what. The default is the platform's protocol.
#[derive(Debug, Clone)]
pub struct HeaderLayout {
    /// Names the request.
    pub correlation: HeaderName,
    /// Names the plan.
    pub plan: HeaderName,
    /// Seconds that the client will wait.
    pub time_left: HeaderName,
    /// `units`, `spread` and `first`.
    pub weight: HeaderName,
    /// Marks repeats of one effect.
    pub key: HeaderName,
    /// Names the class, in place of the first part of the path; the method is not looked at then.
    pub class: Option<HeaderName>,
    /// Names the customer, in place of the last part of the path.
    pub customer: Option<HeaderName>,
    /// The plan where no header names one.
    pub default_plan: Option<String>,
    /// The seconds where no header tells any.
    pub default_time_left_s: Option<f64>,
    /// The weight where no header tells one.
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

/// What a request's head says.
#[derive(Debug)]
pub struct RequestHead {
    /// In the module's terms; its id is still to be given.
    pub request: Request,
    /// Path and query.
    pub target: hyper::Uri,
    /// `X-Correlation-Id`.
    pub correlation_id: HeaderValue,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
}

/// A status, and one plain line on what was wrong.
pub type Rejection = (StatusCode, &'static str);

/// Reads a head whole; what is malformed or unknown reaches neither the module nor a server.
pub fn parse(
    config: &Config,
    layout: &HeaderLayout,
    head: &hyper::http::request::Parts,
) -> Result<RequestHead, Rejection> {
    let bad = |why| (StatusCode::BAD_REQUEST, why);
    // Guards against a request hidden in a body, where two readers frame it differently (RFC 9112, 6.1): one coding, and no
    // length beside it.
    if let Some(coding) = head.headers.get(TRANSFER_ENCODING) {
        let alone = head.headers.get_all(TRANSFER_ENCODING).iter().nth(1).is_none();
        if !alone || !coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked") {
            return Err((StatusCode::NOT_IMPLEMENTED, "no coding but chunked is known"));
        }
        if head.headers.contains_key(CONTENT_LENGTH) {
            return Err(bad("a body has a coding or a length, not both"));
        }
    }
    let named = [&layout.correlation, &layout.key, &layout.time_left, &layout.plan, &layout.weight];
    let named = named.into_iter().chain(&layout.class).chain(&layout.customer);
    if named.into_iter().any(|name| head.headers.get_all(name).iter().nth(1).is_some()) {
        return Err(bad("a header that may come once comes twice"));
    }
    let names = &config.names;
    let settings = &config.settings;
    let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    let (mut class, mut customer) = (None, None);
    if layout.class.is_none() || layout.customer.is_none() {
        let mut parts = head.uri.path().strip_prefix('/').unwrap_or_default().split('/');
        (class, customer) = (parts.next(), parts.next());
        if customer.is_none() || parts.next().is_some() {
            return Err((StatusCode::NOT_FOUND, "no such path"));
        }
    }
    let class = layout.class.as_ref().map_or(class, text);
    let customer = layout.customer.as_ref().map_or(customer, text);
    let class = class.and_then(|c| names.class(c)).ok_or_else(|| bad("unknown class"))?;
    let customer = customer
        .filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))
        .and_then(|c| u64::from_str_radix(c, 16).ok())
        .filter(|c| *c < 1 << 33)
        .ok_or_else(|| bad("the customer is not 16 hex digits below 2^33"))?;
    let effect = settings.classes.get(class).map_or(Effect::Unsafe, |c| c.effect);
    let method = if effect == Effect::Safe { Method::GET } else { Method::POST };
    if head.method != method && layout.class.is_none() {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "not this class's method"));
    }
    let plan = text(&layout.plan).or(layout.default_plan.as_deref());
    let plan = plan.and_then(|p| names.plan(p)).ok_or_else(|| bad("no known X-Tariff"))?;
    let left_s = match text(&layout.time_left) {
        Some(told) => told.parse::<f64>().ok(),
        None => layout.default_time_left_s,
    };
    let left_s =
        left_s.filter(|t| (0.0..=MOST_TIME_LEFT).contains(t)).ok_or_else(|| bad("no good X-Time-Left"))?;
    let (units, spread, first) = text(&layout.weight)
        .or(layout.default_weight.as_deref())
        .and_then(|w| weight(w, settings.limiters, config.max_units))
        .ok_or_else(|| bad("no good X-Weight"))?;
    let correlation_id =
        full(&head.headers, &layout.correlation).ok_or_else(|| bad("no X-Correlation-Id"))?;
    let idempotency_key = full(&head.headers, &layout.key);
    if effect == Effect::Keyed && idempotency_key.is_none() {
        return Err(bad("no Idempotency-Key"));
    }
    let target = head.uri.path_and_query().ok_or_else(|| bad("no path"))?.clone().into();
    let request = Request {
        id: 0,
        class,
        plan,
        customer,
        budget_ms: left_s.min(KEPT_TIME_LEFT) * 1000.0,
        units,
        spread,
        first,
    };
    Ok(RequestHead { request, target, correlation_id, idempotency_key })
}

/// The class that a head names, good or bad as the rest of it may be.
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

fn full(headers: &HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    headers.get(name).filter(|v| !v.is_empty()).cloned()
}

/// `units=2,spread=3,first=1`, in any order; other names are passed over.
fn weight(text: &str, limiters: u32, most: f64) -> Option<(f64, u32, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        match name.trim() {
            "units" => units = value.trim().parse::<f64>().ok().filter(|u| *u > 0.0 && *u <= most),
            "spread" => spread = value.trim().parse::<u32>().ok().filter(|s| (1..=limiters).contains(s)),
            "first" => first = value.trim().parse::<u32>().ok().filter(|f| *f < limiters),
            _ => {}
        }
    }
    Some((units?, spread?, first?))
}
