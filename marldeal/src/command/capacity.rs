//! `marldeal capacity`: what a size needs, from measured slopes, against its bounds.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use clap::Args;
use marldeal_capacity::size::Size;
use marldeal_capacity::slopes::Slopes;
use marldeal_capacity::table::{curves, table, Row};
use marldeal_capacity::InputError;
use marldeal_rehearsal::report;

use super::scenarios::print;

/// What to hold against what.
#[derive(Args)]
pub struct Capacity {
    /// The size that is planned for, with its bounds (TOML; `deploy/size/` has examples).
    #[arg(long, value_name = "FILE")]
    size: PathBuf,
    /// Files of slopes that commands wrote (`marldeal-bench slopes`, `marldeal rehearse scale --slopes`).
    #[arg(long, value_name = "FILE", required = true, num_args = 1..)]
    slopes: Vec<PathBuf>,
    /// The limiters hold units of quotas ahead of need.
    #[arg(long)]
    prefetch: bool,
    /// Writes one self-contained HTML page: each resource against the number of limiters, with its bound.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
}

fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn named(path: &Path, wrong: &[InputError]) -> String {
    wrong.iter().map(|w| format!("{}: {w}", path.display())).collect::<Vec<_>>().join("\n")
}

/// Prints the table.
///
/// # Errors
/// A line a mistake in the files, or the slope that is missing.
pub fn run(what: &Capacity) -> Result<(), String> {
    let size = Size::parse(&text(&what.size)?).map_err(|wrong| named(&what.size, &wrong))?;
    let mut slopes = Slopes::default();
    for path in &what.slopes {
        let more = Slopes::parse(&text(path)?).map_err(|wrong| named(path, &wrong))?;
        slopes.merge(more).map_err(|wrong| named(path, &[wrong]))?;
    }
    let rows = table(&size, &slopes, what.prefetch).map_err(|wrong| wrong.to_string())?;
    print([shown(&rows), runs(&slopes)]);
    if let Some(path) = &what.report {
        let curves = curves(&size, &slopes).map_err(|wrong| wrong.to_string())?;
        let curves: Vec<_> = curves.into_iter().map(|c| (c.name, c.points, c.bound)).collect();
        let page = report::bounds("Resources against the number of limiters", &curves)?;
        std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

/// The table as Markdown, so that a page can hold it as it is.
fn shown(rows: &[Row]) -> String {
    let figure = |value: Option<f64>| match value {
        None => "-".to_string(),
        Some(v) if v >= 1000.0 => format!("{v:.0}"),
        Some(v) => format!("{v:.2}"),
    };
    let mut out = String::from("| role | what | need | bound | | verdict | carried by | rests on |\n");
    out.push_str("| --- | --- | ---: | ---: | --- | --- | --- | --- |\n");
    for r in rows {
        let mut rests = r.sources.join("; ");
        if let Some(largest) = r.extrapolated_from {
            rests.push_str(&format!(" **extrapolated beyond {largest}**"));
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
            rests
        ));
    }
    out
}

/// The commands that gave the slopes.
fn runs(slopes: &Slopes) -> String {
    let all: BTreeSet<&str> = slopes.series.iter().map(|s| s.run.as_str()).collect();
    let lines: Vec<String> = all.iter().map(|run| format!("- `{run}`\n")).collect();
    format!("\nMeasured by:\n{}", lines.concat())
}
