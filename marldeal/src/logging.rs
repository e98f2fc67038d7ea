//! Logging to standard error, as plain lines for people or as one JSON object per line for programs.
//!
//! Log lines are `tracing` events. Events that a program may act on have an `event` field and further fields, whose
//! names are stable between versions. The plain format shows only the message.

mod line_queue;

use std::fmt;
use std::io;
use std::sync::OnceLock;
use std::time::Duration;

use tracing::{info, Event, Level, Subscriber};
use tracing_subscriber::fmt::format::{debug_fn, Writer};
use tracing_subscriber::fmt::writer::BoxMakeWriter;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

use line_queue::LineQueue;

/// How long the end of the process waits for the last lines to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// The name of the limiter and the message.
    #[default]
    Plain,
    /// One JSON object per line with all fields.
    Json,
}

/// What is logged, and in which format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Options {
    /// Format of the lines.
    pub form: Format,
    /// Also logs the life cycle of each request and connection (accepted, sent, ended, answered, closed) with
    /// reasons. This takes several lines per request and is meant for debugging, not for normal operation.
    pub requests: bool,
}

/// Formats events as the name of the limiter and the message.
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

/// Initializes logging for this process. Only the first call has an effect.
pub fn init(name: &str, options: Options) {
    let level = if options.requests { Level::DEBUG } else { Level::INFO };
    let lines = tracing_subscriber::fmt().with_writer(writer()).log_internal_errors(false);
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

/// Writes through the queue, or directly if the process has no thread to spare.
fn writer() -> BoxMakeWriter {
    let report =
        |lines| info!(event = "log_dropped", lines, "{lines} log lines were dropped: nobody read them");
    match LineQueue::start(io::stderr(), report) {
        Ok(queue) => {
            let queue = QUEUE.get_or_init(|| queue);
            BoxMakeWriter::new(|| queue.clone())
        }
        Err(_) => BoxMakeWriter::new(io::stderr),
    }
}

/// Number of log lines that were dropped because nobody read them or they could not be written.
pub fn dropped_lines() -> u64 {
    QUEUE.get().map_or(0, LineQueue::dropped)
}

/// Waits at its end, for a short time, until the last lines have been written.
#[derive(Debug)]
pub struct FinalLines;

impl Drop for FinalLines {
    fn drop(&mut self) {
        if let Some(queue) = QUEUE.get() {
            queue.wait_until_written(FINAL_WRITE_TIMEOUT);
        }
    }
}
