//! `marldeal capacity`: computes from measured slopes what a planned size needs, and compares it with its bounds.
//! Without a size and slopes, those of `docs/CAPACITY.md` are used, which are part of the program.

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
    /// The planned size with its bounds (TOML; `deploy/size/` has examples). Without it and without slopes, the table of
    /// a tier for each service with prefetch is printed, the first of `docs/CAPACITY.md`.
    #[arg(long, value_name = "FILE", requires = "slopes")]
    size: Option<PathBuf>,
    /// Slope files, as written by `marldeal-bench slopes` and `marldeal rehearse scale --slopes`.
    #[arg(long, value_name = "FILE", requires = "size", num_args = 1..)]
    slopes: Vec<PathBuf>,
    /// Assumes that the limiters prefetch quota units.
    #[arg(long, requires = "size")]
    prefetch: bool,
    /// Writes a self-contained HTML page that plots each resource and its bound against the number of limiters.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
}

/// The size of the first table of the capacity page, with its path.
const DEFAULT_SIZE: (&str, &str) =
    ("deploy/size/one-tier-a-service.toml", include_str!("../../../deploy/size/one-tier-a-service.toml"));
/// The slopes of the capacity page, with their paths.
const DEFAULT_SLOPES: [(&str, &str); 4] = [
    ("docs/capacity/process.toml", include_str!("../../../docs/capacity/process.toml")),
    ("docs/capacity/told.toml", include_str!("../../../docs/capacity/told.toml")),
    ("docs/capacity/tier.toml", include_str!("../../../docs/capacity/tier.toml")),
    ("docs/capacity/tier-prefetch.toml", include_str!("../../../docs/capacity/tier-prefetch.toml")),
];

/// A file with its content.
type Input = (PathBuf, String);

/// The size and the slopes to use: those of the options, or those of the capacity page.
fn inputs(options: &Capacity) -> Result<(Input, Vec<Input>), String> {
    let built_in = |(path, text): (&str, &str)| (PathBuf::from(path), text.to_string());
    let Some(size) = &options.size else {
        return Ok((built_in(DEFAULT_SIZE), DEFAULT_SLOPES.map(built_in).into()));
    };
    let from_file = |path: &PathBuf| Ok::<_, String>((path.clone(), read(path)?));
    let slopes = options.slopes.iter().map(from_file).collect::<Result<_, _>>()?;
    Ok((from_file(size)?, slopes))
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
    let ((size_path, size_text), slope_files) = inputs(options)?;
    let size = Size::parse(&size_text).map_err(|errors| describe(&size_path, &errors))?;
    let mut slopes = Slopes::default();
    for (path, text) in &slope_files {
        let parsed = Slopes::parse(text).map_err(|errors| describe(path, &errors))?;
        slopes.merge(parsed).map_err(|error| describe(path, &[error]))?;
    }
    let prefetch = options.prefetch || options.size.is_none();
    let rows = table(&size, &slopes, prefetch).map_err(|error| error.to_string())?;
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
