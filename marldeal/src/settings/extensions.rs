//! Extensions, which the platform's configuration does not cover. They are enabled by a TOML file of their own, in
//! which unknown keys are errors.

use std::net::SocketAddr;
use std::path::Path;

use hyper::header::HeaderName;
use marldeal_external::{ProcessorConfig, RetryMode};
use serde::Deserialize;

use crate::front::head::HeaderLayout;
use crate::logging;
use crate::settings::errors::{self, ConfigError};

/// The extension file.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct ExtensionFile {
    external_processor: Option<Processor>,
    final_answers: Option<FinalAnswers>,
    prefetch: Option<Prefetch>,
    log: logging::Options,
}

/// Limits of the final answers kept by idempotency key.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FinalAnswers {
    max_answers: usize,
    max_mb: f64,
}

impl Default for FinalAnswers {
    fn default() -> FinalAnswers {
        let bounds = marldeal_outcomes::Limits::default();
        FinalAnswers { max_answers: bounds.max_answers, max_mb: bounds.max_bytes as f64 / f64::from(1 << 20) }
    }
}

/// Prefetching of quota units.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Prefetch {
    max_customers: usize,
}

impl Default for Prefetch {
    fn default() -> Prefetch {
        Prefetch { max_customers: 1 << 16 }
    }
}

/// The external processor.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Processor {
    listen: Option<SocketAddr>,
    retries: RetrySetting,
    push_final_answers: bool,
    override_message_timeout: bool,
    clear_route_cache: bool,
    response_trailers: bool,
    max_connections: usize,
    max_concurrent_streams: u32,
    max_open_requests: usize,
    max_standing_verdicts: usize,
    max_message_bytes: usize,
    again_ms: f64,
    handover_ms: f64,
    assumed_ms: f64,
    first_message_ms: f64,
    stream_ms: f64,
    keepalive_ms: f64,
    headers: Headers,
    defaults: Defaults,
}

/// How a retry reaches the limiter.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum RetrySetting {
    /// The proxy presents a retry on a new stream.
    Presented,
    /// The proxy sends a retry on the stream of the first attempt.
    Looped,
    /// The proxy does not retry.
    None,
}

/// Names of the headers that carry the properties of a request.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Headers {
    correlation: String,
    plan: String,
    time_left: String,
    weight: String,
    key: String,
    class: Option<String>,
    customer: Option<String>,
}

/// Values for requests without the corresponding header.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Defaults {
    plan: Option<String>,
    time_left_s: Option<f64>,
    weight: Option<String>,
}

impl Default for Headers {
    fn default() -> Headers {
        let text = |name: &HeaderName| name.as_str().to_string();
        let layout = HeaderLayout::default();
        Headers {
            correlation: text(&layout.correlation),
            plan: text(&layout.plan),
            time_left: text(&layout.time_left),
            weight: text(&layout.weight),
            key: text(&layout.key),
            class: None,
            customer: None,
        }
    }
}

impl Default for Processor {
    fn default() -> Processor {
        let config = ProcessorConfig::default();
        Processor {
            listen: None,
            retries: RetrySetting::Presented,
            push_final_answers: config.push_final_answers,
            override_message_timeout: true,
            clear_route_cache: true,
            response_trailers: false,
            max_connections: 32,
            max_concurrent_streams: 256,
            max_open_requests: config.max_open_requests,
            max_standing_verdicts: config.max_standing_verdicts,
            max_message_bytes: 64 << 10,
            again_ms: config.next_presentation_timeout_ms,
            handover_ms: config.handover_timeout_ms,
            assumed_ms: config.unreported_attempt_ms,
            first_message_ms: 2000.0,
            stream_ms: 120_000.0,
            keepalive_ms: 5000.0,
            headers: Headers::default(),
            defaults: Defaults::default(),
        }
    }
}

/// Validated settings of the external processor.
#[derive(Debug, Clone)]
pub struct ExternalProcessor {
    /// Address on which proxies connect.
    pub listen: SocketAddr,
    /// Settings of the state machine.
    pub config: ProcessorConfig,
    /// Headers that carry the properties of a request.
    pub layout: HeaderLayout,
    /// Maximum number of open connections. Further connections are closed at once.
    pub max_connections: usize,
    /// Maximum number of concurrent streams per connection (RFC 9113, SETTINGS_MAX_CONCURRENT_STREAMS).
    pub max_concurrent_streams: u32,
    /// Maximum size of a received message, in bytes.
    pub max_message_bytes: usize,
    /// Time within which a new stream must present a request, in milliseconds. Otherwise the stream is ended.
    pub first_message_ms: f64,
    /// Maximum lifetime of a stream, in milliseconds.
    pub stream_ms: f64,
    /// Time within which a proxy must answer a PING (RFC 9113, section 6.7), in milliseconds. Otherwise its
    /// connection is closed.
    pub keepalive_ms: f64,
    /// Asks proxies to extend their message timeout while the module holds a request.
    pub override_message_timeout: bool,
    /// Asks proxies to clear their route cache and select the route again.
    pub clear_route_cache: bool,
    /// Counts an answer with a body as served only when its trailers or the end of its stream have arrived.
    pub response_trailers: bool,
}

/// The enabled extensions.
#[derive(Debug, Clone, Default)]
pub struct Extensions {
    /// The external processor, if enabled.
    pub external_processor: Option<ExternalProcessor>,
    /// Limits of the final answers kept by idempotency key; `None` keeps none.
    pub final_answers: Option<marldeal_outcomes::Limits>,
    /// Maximum number of customers for which quota units are prefetched; `None` disables prefetching.
    pub prefetch: Option<usize>,
    /// What is logged, and in which format.
    pub log: logging::Options,
}

impl Extensions {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Returns all errors that were found.
    pub fn from_file(path: &Path) -> Result<Extensions, Vec<ConfigError>> {
        let name = path.display().to_string();
        let file_error = |e: String| vec![ConfigError::new(&name, "", e.trim_end())];
        let text = std::fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| file_error(e.to_string()))?;
        let value = serde_json::to_value(table).map_err(|e| file_error(e.to_string()))?;
        let file: ExtensionFile = errors::deserialize(&name, value)?;
        let mut errors_found = Vec::new();
        let external_processor = file.external_processor.map(|p| p.validate(&name, &mut errors_found));
        let final_answers = file.final_answers.map(|f| f.validate(&name, &mut errors_found));
        let prefetch = file.prefetch.map(|p| p.max_customers);
        if let Some(customers) = prefetch.filter(|customers| !(1..=1_000_000).contains(customers)) {
            let message = format!("{customers} is not between 1 and 1000000");
            errors_found.push(ConfigError::new(&name, "prefetch.max_customers", message));
        }
        if errors_found.is_empty() {
            Ok(Extensions { external_processor, final_answers, prefetch, log: file.log })
        } else {
            Err(errors_found)
        }
    }
}

impl FinalAnswers {
    fn validate(self, file: &str, errors_found: &mut Vec<ConfigError>) -> marldeal_outcomes::Limits {
        let mut check_range = |key: &str, value: f64, min: f64, max: f64| {
            if !(min..=max).contains(&value) {
                let message = format!("{value} is not between {min} and {max}");
                errors_found.push(ConfigError::new(file, &format!("final_answers.{key}"), message));
            }
        };
        check_range("max_answers", self.max_answers as f64, 1.0, 1e7);
        check_range("max_mb", self.max_mb, 0.01, 4096.0);
        let max_bytes = (self.max_mb * f64::from(1 << 20)) as usize;
        marldeal_outcomes::Limits { max_answers: self.max_answers, max_bytes }
    }
}

impl Processor {
    fn validate(self, file: &str, errors_found: &mut Vec<ConfigError>) -> ExternalProcessor {
        let mut error = |key: &str, message: String| {
            errors_found.push(ConfigError::new(file, &format!("external_processor.{key}"), message));
        };
        let listen = self.listen.unwrap_or_else(|| {
            error("listen", "missing, expected an IP address with a port".to_string());
            SocketAddr::from(([127, 0, 0, 1], 0))
        });
        let ranges = [
            ("max_connections", self.max_connections as f64, 1.0, 65_536.0),
            ("max_concurrent_streams", f64::from(self.max_concurrent_streams), 1.0, 65_536.0),
            ("max_open_requests", self.max_open_requests as f64, 1.0, 1e6),
            ("max_standing_verdicts", self.max_standing_verdicts as f64, 1.0, 1e6),
            ("max_message_bytes", self.max_message_bytes as f64, 1024.0, 4_194_304.0),
            ("again_ms", self.again_ms, 0.0, 60_000.0),
            ("handover_ms", self.handover_ms, 0.0, 10_000.0),
            ("assumed_ms", self.assumed_ms, 0.0, 60_000.0),
            ("first_message_ms", self.first_message_ms, 1.0, 60_000.0),
            ("stream_ms", self.stream_ms, 100.0, 3_600_000.0),
            ("keepalive_ms", self.keepalive_ms, 100.0, 600_000.0),
        ];
        for (key, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                error(key, format!("{value} is not between {min} and {max}"));
            }
        }
        let mut header_name = |key: &str, text: &str| {
            text.to_ascii_lowercase().parse::<HeaderName>().unwrap_or_else(|_| {
                error(&format!("headers.{key}"), format!("'{text}' is not a header name"));
                HeaderName::from_static("x-unnamed")
            })
        };
        let headers = &self.headers;
        let layout = HeaderLayout {
            correlation: header_name("correlation", &headers.correlation),
            plan: header_name("plan", &headers.plan),
            time_left: header_name("time_left", &headers.time_left),
            weight: header_name("weight", &headers.weight),
            key: header_name("key", &headers.key),
            class: headers.class.as_deref().map(|text| header_name("class", text)),
            customer: headers.customer.as_deref().map(|text| header_name("customer", text)),
            default_plan: self.defaults.plan,
            default_time_left_s: self.defaults.time_left_s,
            default_weight: self.defaults.weight,
        };
        if layout.default_time_left_s.is_some_and(|s| !(0.0..=3600.0).contains(&s)) {
            error("defaults.time_left_s", "expected a number of seconds from 0 to 3600".to_string());
        }
        ExternalProcessor {
            listen,
            config: ProcessorConfig {
                max_open_requests: self.max_open_requests,
                max_standing_verdicts: self.max_standing_verdicts,
                next_presentation_timeout_ms: self.again_ms,
                handover_timeout_ms: self.handover_ms,
                unreported_attempt_ms: self.assumed_ms,
                retry_mode: match self.retries {
                    RetrySetting::Presented => RetryMode::NewStream,
                    RetrySetting::Looped => RetryMode::SameStream,
                    RetrySetting::None => RetryMode::None,
                },
                push_final_answers: self.push_final_answers,
            },
            layout,
            max_connections: self.max_connections,
            max_concurrent_streams: self.max_concurrent_streams,
            max_message_bytes: self.max_message_bytes,
            first_message_ms: self.first_message_ms,
            stream_ms: self.stream_ms,
            keepalive_ms: self.keepalive_ms,
            override_message_timeout: self.override_message_timeout,
            clear_route_cache: self.clear_route_cache,
            response_trailers: self.response_trailers,
        }
    }
}
