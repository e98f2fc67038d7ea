//! Helpers shared by the commands that run scenarios.

use std::io::Write;
use std::path::Path;

use indicatif::{ProgressBar, ProgressStyle};
use marldeal_rehearsal::scenario::Scenario;

/// Returns a built-in scenario that `find` knows by name, or reads one from a file. `command` is the command whose
/// `list` prints the names.
///
/// # Errors
/// Describes each error of the file on its own line.
pub fn read(name: &str, command: &str, find: fn(&str) -> Option<Scenario>) -> Result<Scenario, String> {
    if let Some(scenario) = find(name) {
        return Ok(scenario);
    }
    if !Path::new(name).exists() {
        return Err(format!(
            "{name:?} is neither a known name nor a file; `marldeal {command} list` prints the known names"
        ));
    }
    let text = std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?;
    let lines = |errors: Vec<_>| errors.iter().map(|e| format!("{name}: {e}")).collect::<Vec<_>>().join("\n");
    Scenario::read(&text).map_err(lines)
}

/// Writes text to standard output. Write errors are ignored, since the reader may have closed the pipe.
pub fn print(text: impl IntoIterator<Item = String>) {
    let text: String = text.into_iter().collect();
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}

/// Creates a progress bar, which is shown only on a terminal.
pub fn bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    bar
}
