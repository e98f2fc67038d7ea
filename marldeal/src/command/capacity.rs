//! `marldeal capacity`: computes from measured slopes what a planned size needs, and compares it with its bounds.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use clap::Args;
use marldeal_capacity::size::Size;
use marldeal_capacity::slopes::Slopes;
use marldeal_capacity::table::{curves, table, Row};
use marldeal_capacity::InputError;
use marldeal_rehearsal::report;

use super::scenarios::print;

/// Options of `marldeal capacity`.
#[derive(Args)]
pub struct Capacity {
    /// The planned size with its bounds (TOML; `deploy/size/` has examples).
    #[arg(long, value_name = "FILE")]
    size: PathBuf,
    /// Slope files, as written by `marldeal-bench slopes` and `marldeal rehearse scale --slopes`.
    #[arg(long, value_name = "FILE", required = true, num_args = 1..)]
    slopes: Vec<PathBuf>,
    /// Assumes that the limiters prefetch quota units.
    #[arg(long)]
    prefetch: bool,
    /// Writes a self-contained HTML page that plots each resource and its bound against the number of limiters.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
}

/// Reads a file.
fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Formats errors with the path of their file, one per line.
fn describe(path: &Path, errors: &[InputError]) -> String {
    errors.iter().map(|e| format!("{}: {e}", path.display())).collect::<Vec<_>>().join("\n")
}

/// Prints the table.
///
/// # Errors
/// Describes each error in the files on its own line, or names the missing slope.
pub fn run(options: &Capacity) -> Result<(), String> {
    let size = Size::parse(&read(&options.size)?).map_err(|errors| describe(&options.size, &errors))?;
    let mut slopes = Slopes::default();
    for path in &options.slopes {
        let parsed = Slopes::parse(&read(path)?).map_err(|errors| describe(path, &errors))?;
        slopes.merge(parsed).map_err(|error| describe(path, &[error]))?;
    }
    let rows = table(&size, &slopes, options.prefetch).map_err(|error| error.to_string())?;
    print([markdown_table(&rows), measured_by(&slopes)]);
    if let Some(path) = &options.report {
        let curves = curves(&size, &slopes).map_err(|error| error.to_string())?;
        let curves: Vec<_> = curves.into_iter().map(|c| (c.name, c.points, c.bound)).collect();
        let page = report::bounds("Resources against the number of limiters", &curves)?;
        std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

/// Formats the table as Markdown, so that a page can include it unchanged.
fn markdown_table(rows: &[Row]) -> String {
    let figure = |value: Option<f64>| match value {
        None => "-".to_string(),
        Some(v) if v >= 1000.0 => format!("{v:.0}"),
        Some(v) => format!("{v:.2}"),
    };
    let mut out = String::from("| role | what | need | bound | | verdict | carried by | rests on |\n");
    out.push_str("| --- | --- | ---: | ---: | --- | --- | --- | --- |\n");
    for r in rows {
        let mut sources = r.sources.join("; ");
        if let Some(largest) = r.extrapolated_from {
            sources.push_str(&format!(" **extrapolated beyond {largest}**"));
        }
        out.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} | {} | {} |\n",
            r.role,
            r.resource,
            figure(r.need),
            figure(r.bound),
            r.unit,
            r.verdict,
            r.basis,
            sources
        ));
    }
    out
}

/// Lists the commands that measured the slopes.
fn measured_by(slopes: &Slopes) -> String {
    let commands: BTreeSet<&str> = slopes.series.iter().map(|s| s.run.as_str()).collect();
    let lines: Vec<String> = commands.iter().map(|run| format!("- `{run}`\n")).collect();
    format!("\nMeasured by:\n{}", lines.concat())
}
