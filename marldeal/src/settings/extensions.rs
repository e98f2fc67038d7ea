//! What the platform does not give, switched on by a file of its own: TOML, unknown keys refused.

use std::net::SocketAddr;
use std::path::Path;

use hyper::header::HeaderName;
use marldeal_external::{ProcessorConfig, RetryMode};
use serde::Deserialize;

use crate::front::head::HeaderLayout;
use crate::logging;
use crate::settings::errors::{self, ConfigError};

/// The file as it is written.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    external_processor: Option<Processor>,
    final_answers: Option<FinalAnswers>,
    prefetch: Option<Prefetch>,
    log: logging::Options,
}

/// What is kept of final answers by idempotency key.
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

/// Units of quotas that are held ahead of need.
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Processor {
    listen: Option<SocketAddr>,
    retries: HowRetries,
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

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum HowRetries {
    Presented,
    Looped,
    None,
}

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

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Defaults {
    plan: Option<String>,
    time_left_s: Option<f64>,
    weight: Option<String>,
}

impl Default for Headers {
    fn default() -> Headers {
        let own = |name: &HeaderName| name.as_str().to_string();
        let layout = HeaderLayout::default();
        Headers {
            correlation: own(&layout.correlation),
            plan: own(&layout.plan),
            time_left: own(&layout.time_left),
            weight: own(&layout.weight),
            key: own(&layout.key),
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
            retries: HowRetries::Presented,
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

/// The external processor, as it is to serve.
#[derive(Debug, Clone)]
pub struct ExternalProcessor {
    /// Where proxies connect.
    pub listen: SocketAddr,
    /// What the state machine holds.
    pub config: ProcessorConfig,
    /// Which header tells what.
    pub layout: HeaderLayout,
    /// Connections held at most; further ones are closed at once.
    pub max_connections: usize,
    /// Streams open at once on one connection (RFC 9113, SETTINGS_MAX_CONCURRENT_STREAMS).
    pub max_concurrent_streams: u32,
    /// Longest message taken in, in bytes.
    pub max_message_bytes: usize,
    /// A stream that has not presented a request within so many milliseconds is ended.
    pub first_message_ms: f64,
    /// No stream lives longer, in milliseconds.
    pub stream_ms: f64,
    /// A connection whose proxy answers no PING (RFC 9113, section 6.7) within this time is closed, in milliseconds.
    pub keepalive_ms: f64,
    /// Proxies are asked for more time while the module holds a request.
    pub override_message_timeout: bool,
    /// Proxies are told to choose their route anew.
    pub clear_route_cache: bool,
    /// An answer with a body counts as served when its trailers or its stream's end have come.
    pub response_trailers: bool,
}

/// What is switched on.
#[derive(Debug, Clone, Default)]
pub struct Extensions {
    /// The external processor.
    pub external_processor: Option<ExternalProcessor>,
    /// Final answers that are kept by idempotency key.
    pub final_answers: Option<marldeal_outcomes::Limits>,
    /// Customers for which units of quotas are held ahead of need at most; nothing where none are.
    pub prefetch: Option<usize>,
    /// What is logged, and how.
    pub log: logging::Options,
}

impl Extensions {
    /// Reads a file. All mistakes at once.
    pub fn from_file(path: &Path) -> Result<Extensions, Vec<ConfigError>> {
        let name = path.display().to_string();
        let whole = |e: String| vec![ConfigError::new(&name, "", e.trim_end())];
        let text = std::fs::read_to_string(path).map_err(|e| whole(e.to_string()))?;
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| whole(e.to_string()))?;
        let value = serde_json::to_value(table).map_err(|e| whole(e.to_string()))?;
        let file: File = errors::deserialize(&name, value)?;
        let mut found = Vec::new();
        let external_processor = file.external_processor.map(|p| p.checked(&name, &mut found));
        let final_answers = file.final_answers.map(|f| f.checked(&name, &mut found));
        let prefetch = file.prefetch.map(|p| p.max_customers);
        if let Some(most) = prefetch.filter(|most| !(1..=1_000_000).contains(most)) {
            let what = format!("{most} is not between 1 and 1000000");
            found.push(ConfigError::new(&name, "prefetch.max_customers", what));
        }
        if found.is_empty() {
            Ok(Extensions { external_processor, final_answers, prefetch, log: file.log })
        } else {
            Err(found)
        }
    }
}

impl FinalAnswers {
    fn checked(self, file: &str, found: &mut Vec<ConfigError>) -> marldeal_outcomes::Limits {
        let mut figure = |key: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                let what = format!("{value} is not between {least} and {most}");
                found.push(ConfigError::new(file, &format!("final_answers.{key}"), what));
            }
        };
        figure("max_answers", self.max_answers as f64, 1.0, 1e7);
        figure("max_mb", self.max_mb, 0.01, 4096.0);
        let max_bytes = (self.max_mb * f64::from(1 << 20)) as usize;
        marldeal_outcomes::Limits { max_answers: self.max_answers, max_bytes }
    }
}

impl Processor {
    fn checked(self, file: &str, found: &mut Vec<ConfigError>) -> ExternalProcessor {
        let mut wrong = |key: &str, what: String| {
            found.push(ConfigError::new(file, &format!("external_processor.{key}"), what));
        };
        let listen = self.listen.unwrap_or_else(|| {
            wrong("listen", "missing, an address and port is expected".to_string());
            SocketAddr::from(([127, 0, 0, 1], 0))
        });
        let figures = [
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
        for (key, value, least, most) in figures {
            if !(least..=most).contains(&value) {
                wrong(key, format!("{value} is not between {least} and {most}"));
            }
        }
        let mut name = |key: &str, text: &str| {
            text.to_ascii_lowercase().parse::<HeaderName>().unwrap_or_else(|_| {
                wrong(&format!("headers.{key}"), format!("'{text}' is not a header name"));
                HeaderName::from_static("x-unnamed")
            })
        };
        let headers = &self.headers;
        let layout = HeaderLayout {
            correlation: name("correlation", &headers.correlation),
            plan: name("plan", &headers.plan),
            time_left: name("time_left", &headers.time_left),
            weight: name("weight", &headers.weight),
            key: name("key", &headers.key),
            class: headers.class.as_deref().map(|text| name("class", text)),
            customer: headers.customer.as_deref().map(|text| name("customer", text)),
            default_plan: self.defaults.plan,
            default_time_left_s: self.defaults.time_left_s,
            default_weight: self.defaults.weight,
        };
        if layout.default_time_left_s.is_some_and(|s| !(0.0..=3600.0).contains(&s)) {
            wrong("defaults.time_left_s", "a number of seconds from 0 to 3600 is expected".to_string());
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
                    HowRetries::Presented => RetryMode::NewStream,
                    HowRetries::Looped => RetryMode::SameStream,
                    HowRetries::None => RetryMode::None,
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
