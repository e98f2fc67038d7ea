//! The log on standard error: plain lines for people, or one JSON object a line for programs.
//!
//! What happens is told with `tracing` events. Those that a program may act on carry `event` (what happened) and further
//! fields, whose names stay the same from version to version; the plain form shows the message alone.

use std::fmt;

use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::{debug_fn, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// The limiter's name and the message.
    #[default]
    Plain,
    /// One JSON object a line with all fields.
    Json,
}

/// What is logged, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// How lines are written.
    pub form: Format,
    /// Also the life of each request and connection: taken, sent, ended, answered, closed, with the reason. Several lines a
    /// request: for a hunt, not for every day.
    pub requests: bool,
}

/// Name and message, as operators have always read them.
struct Plain {
    name: String,
}

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, ctx: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        write!(to, "{}: ", self.name)?;
        ctx.format_fields(to.by_ref(), event)?;
        writeln!(to)
    }
}

/// Starts the log of this process; the first call counts.
pub fn init(name: &str, options: Options) {
    // A log that nobody reads any more must not end the limiter: errors of writing are passed over.
    let level = if options.requests { Level::DEBUG } else { Level::INFO };
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false);
    let lines = lines.with_max_level(level);
    let _ = match options.form {
        Format::Plain => {
            let message = debug_fn(|to, field, value| match field.name() {
                "message" => write!(to, "{value:?}"),
                _ => Ok(()),
            });
            let plain = Plain { name: name.to_string() };
            tracing::subscriber::set_global_default(lines.event_format(plain).fmt_fields(message).finish())
        }
        Format::Json => tracing::subscriber::set_global_default(lines.json().flatten_event(true).finish()),
    };
}
