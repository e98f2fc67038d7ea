//! What commands that play scenarios share.

use std::io::Write;
use std::path::Path;

use indicatif::{ProgressBar, ProgressStyle};
use marldeal_rehearsal::scenario::Scenario;

/// A scenario by the name that `find` knows, or from a file; `command` lists the names.
///
/// # Errors
/// A line a mistake.
pub fn read(name: &str, command: &str, find: fn(&str) -> Option<Scenario>) -> Result<Scenario, String> {
    if let Some(scenario) = find(name) {
        return Ok(scenario);
    }
    if !Path::new(name).exists() {
        return Err(format!(
            "nothing known and no file is named {name:?}; `marldeal {command} list` names what is known"
        ));
    }
    let text = std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?;
    let lines = |wrong: Vec<_>| wrong.iter().map(|w| format!("{name}: {w}")).collect::<Vec<_>>().join("\n");
    Scenario::read(&text).map_err(lines)
}

/// Says something whole; a reader that has gone has read enough.
pub fn print(text: impl IntoIterator<Item = String>) {
    let text: String = text.into_iter().collect();
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}

/// Progress, on a terminal alone.
pub fn bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    bar
}
