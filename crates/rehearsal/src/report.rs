//! Report of a run as one self-contained HTML page: figures, the timeline, and plots in which the faults are marked.
//!
//! No information depends on colour alone: lines differ in their markers, heat maps in their lightness, and each
//! plot has a table or a legend in words. Plots are narrow and laid out in as many columns as fit, so that a phone
//! shows them at their full size.

use maud::{html, Markup, PreEscaped, DOCTYPE};
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::figures::{Figures, Second};
use crate::scenario::{fault_name, Scenario, Trouble};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (420, 240);
/// Maximum number of rows of a heat map; with more servers or limiters, several are averaged in one row.
const MAX_ROWS: usize = 40;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Space above the values for the marks of the faults, as a fraction of the height of the values.
const HEADROOM_FRACTION: f64 = 0.22;
/// Characters that stand for the markers of the lines in a legend.
const MARKER_CHARS: [&str; 4] = ["\u{25cb}", "\u{2715}", "\u{25a0}", "\u{25b2}"];

/// A line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Style sheet of the pages.
const STYLE: &str = "body{font:16px/1.45 system-ui,sans-serif;margin:0 auto;max-width:1320px;padding:12px;color:#111;\
background:#fff}h1{font-size:1.4em;margin:.2em 0}h2{font-size:1.1em;margin:1.2em 0 .3em}table{border-collapse:collapse;\
font-variant-numeric:tabular-nums}td,th{padding:2px 9px;border-bottom:1px solid #bbb;text-align:right}\
td:first-child,th:first-child{text-align:left}.wide{overflow-x:auto}.plots{display:grid;gap:14px;\
grid-template-columns:repeat(auto-fit,minmax(min(100%,370px),1fr))}figure{margin:0}figcaption{font-weight:600}\
svg{width:100%;height:auto}.bad{border-left:6px solid #900;padding-left:8px}";

/// Formats the page of a run. `note` is shown above the figures if it is not empty.
///
/// # Errors
/// If a plot cannot be drawn.
pub fn page(
    scenario: &Scenario,
    figures: &Figures,
    seconds: &[Second],
    note: &str,
) -> Result<String, String> {
    page_with_tables(scenario, figures, seconds, note, &[])
}

/// A further table of a page: its title, and rows of a name and a formatted value.
pub type ExtraTable = (String, Vec<(String, String)>);

/// Like [`page`], with further tables.
///
/// # Errors
/// If a plot cannot be drawn.
pub fn page_with_tables(
    scenario: &Scenario,
    figures: &Figures,
    seconds: &[Second],
    note: &str,
    extra: &[ExtraTable],
) -> Result<String, String> {
    let plots = time_plots(scenario, seconds).map_err(|e| format!("plot: {e}"))?;
    let title = format!("{}, seed {}", scenario.name, figures.seed);
    let body = html! {
        h1 { (title) }
        p { (scenario.about) }
        @if !note.is_empty() { p { (note) } }
        (rule_summary(figures))
        h2 { "Service" }
        div class="wide" { (service_table(figures)) }
        h2 { "Plans" }
        div class="wide" { (plan_table(figures)) }
        @for (title, rows) in extra {
            h2 { (title) }
            div class="wide" { table { @for (name, value) in rows { tr { td { (name) } td { (value) } } } } }
        }
        @if !scenario.timeline.is_empty() {
            h2 { "Faults and load changes" }
            p { "Each is marked by its number above the plots, with a bar for its duration." }
            div class="wide" { (timeline_table(scenario)) }
        }
        h2 { "Over time" }
        (plot_grid(&plots))
    };
    Ok(document(&title, body))
}

fn rule_summary(f: &Figures) -> Markup {
    if f.broken_count == 0 {
        return html! { p { strong { "No rule violated." } " Score " (format!("{:.4}", f.score)) "." } };
    }
    html! {
        div class="bad" {
            p { strong { (f.broken_count) " rule violations." } " The score is 0." }
            ul { @for b in f.broken.iter().take(20) { li { (format!("{:.3} s, {:?}: {}", b.at_s, b.rule, b.what)) } } }
        }
    }
}

fn service_table(f: &Figures) -> Markup {
    let [over_quota, late_failures, wasted, messages, cross_zone] = f.deductions;
    let rows = [
        ("whole run", format!("{:.4}", f.whole)),
        ("worst 10 s", format!("{:.4}", f.worst_10s)),
        ("worst plan", format!("{:.4}", f.worst_plan)),
        ("deduction: forwarded beyond quotas", format!("{over_quota:.3}")),
        ("deduction: late failures", format!("{late_failures:.3}")),
        ("deduction: wasted work", format!("{wasted:.3}")),
        ("deduction: messages", format!("{messages:.3}")),
        ("deduction: attempts in other buildings", format!("{cross_zone:.3}")),
        ("attempts per try", format!("{:.3}", f.attempts_a_try)),
        ("messages sent, not delivered", format!("{}, {}", f.messages[0], f.messages[1])),
        ("connections opened", f.connections.to_string()),
        ("server crashes", f.falls.to_string()),
    ];
    html! { table { @for (name, value) in rows { tr { td { (name) } td { (value) } } } } }
}

fn plan_table(f: &Figures) -> Markup {
    html! {
        table {
            tr { th { "plan" } th { "service" } th { "requests" } th { "in time" } th { "late" } th { "refused" } th { "failed" }
                th { "abandoned" } th { "p50 ms" } th { "p99 ms" } th { "p99.9 ms" } }
            @for p in &f.plans {
                tr {
                    td { (p.plan) } td { (format!("{:.4}", p.service)) } td { (p.ends.asked) } td { (p.ends.in_time) }
                    td { (p.ends.late) } td { (p.ends.refused) } td { (p.ends.failed) } td { (p.ends.left) }
                    td { (format!("{:.0}", p.latency_ms[0])) } td { (format!("{:.0}", p.latency_ms[2])) }
                    td { (format!("{:.0}", p.latency_ms[3])) }
                }
            }
        }
    }
}

fn timeline_table(scenario: &Scenario) -> Markup {
    html! {
        table {
            tr { th { "no." } th { "from s" } th { "for s" } th style="text-align:left" { "what" } }
            @for (n, t) in scenario.timeline.iter().enumerate() {
                tr { td { (n + 1) } td { (t.at_s) } td { (t.for_s) } td style="text-align:left" { (describe(t)) } }
            }
        }
    }
}

/// Describes an entry of the timeline: its kind and its keys.
fn describe(t: &Trouble) -> String {
    let mut text = fault_name(t.what).replace('_', " ");
    let list = |list: &[u32]| list.iter().map(u32::to_string).collect::<Vec<_>>().join(", ");
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            text += &format!(", {name} {value}");
        }
    };
    let number = |v: Option<f64>| v.map(|v| v.to_string());
    add("nodes", t.nodes.as_deref().map(list));
    add("share of nodes", number(t.node_share));
    add("limiters", t.limiters.as_deref().map(list));
    add("share of limiters", number(t.limiter_share));
    add("from", t.from.as_deref().map(list));
    add("to", t.to.as_deref().map(list));
    add("groups", t.groups.as_ref().map(|g| g.iter().map(|g| list(g)).collect::<Vec<_>>().join(" | ")));
    add("late ms", t.late_ms.map(|[a, b]| format!("{a} to {b}")));
    add("stumbles", t.stumbles.map(|n| n.to_string()));
    add("moment", t.moment.map(|m| format!("{m:?}").to_lowercase()));
    add("to", t.targets_discovery().then(|| "discovery".to_string()));
    add("building", t.building.map(|b| b.to_string()));
    add("plan", t.plan.clone());
    add("firms", t.firms.map(|f| f.to_string()));
    add("times", number(t.times));
    add("share", number(t.share));
    add("per second", number(t.per_s));
    add("exit after s", number(t.after_s));
    add("every s", number(t.every_s));
    add("length s", number(t.length_s));
    add("down s", number(t.down_s));
    text
}

fn time_plots(
    scenario: &Scenario,
    seconds: &[Second],
) -> Result<Vec<(String, String)>, Box<dyn std::error::Error>> {
    let per_second = |values: Vec<f64>| -> Vec<(f64, f64)> {
        values.into_iter().enumerate().map(|(x, y)| (x as f64 + 0.5, y)).collect()
    };
    // Seconds after the last arrival are not shown, since every line falls to 0 there.
    let count = (scenario.seconds.ceil() as usize).min(seconds.len());
    let seconds = &seconds[..count];
    let series = |f: &dyn Fn(&Second) -> f64| per_second(seconds.iter().map(f).collect());
    let mut drawn = Vec::new();
    let mut add_plot = |caption: &str, log: bool, lines: Vec<Line>| -> DrawResult {
        let axes = Axes { x: "s", x_log: false, y_log: log };
        let svg = draw(|area| {
            let (chart, top) = line_plot(area, &lines, axes)?;
            draw_faults(area, &chart, scenario, top)
        })?;
        drawn.push((with_legend(caption, &lines), svg));
        Ok(())
    };
    add_plot(
        "Requests per second, by outcome",
        false,
        vec![
            Line { name: "in time".into(), points: series(&|s| s.ends.in_time as f64) },
            Line { name: "late".into(), points: series(&|s| s.ends.late as f64) },
            Line { name: "refused".into(), points: series(&|s| s.ends.refused as f64) },
            Line {
                name: "failed or abandoned".into(),
                points: series(&|s| (s.ends.failed + s.ends.left) as f64),
            },
        ],
    )?;
    add_plot(
        "Time to the final answer, ms",
        true,
        vec![
            Line { name: "median".into(), points: series(&|s| s.latency_ms[0].max(1.0)) },
            Line { name: "p99".into(), points: series(&|s| s.latency_ms[1].max(1.0)) },
        ],
    )?;
    let by_plan = (0..scenario.plans.len().min(4)).map(|p| Line {
        name: scenario.plans[p].name.clone(),
        // Mean over five seconds, since a single second has few requests of a small plan.
        points: per_second(
            (0..seconds.len())
                .map(|n| {
                    let window = &seconds[n.saturating_sub(4)..=n];
                    let sum = |which: usize| window.iter().map(|s| s.worth[p][which]).sum::<f64>();
                    if sum(0) > 0.0 {
                        (sum(1) / sum(0)).min(1.0)
                    } else {
                        1.0
                    }
                })
                .collect(),
        ),
    });
    add_plot("Service within the quotas by plan, mean over 5 s", false, by_plan.collect())?;
    add_plot(
        "Messages between limiters per second",
        false,
        vec![Line { name: "sent".into(), points: series(&|s| s.messages as f64) }],
    )?;
    let cells = |value: fn(&Second) -> &Vec<f32>| -> Vec<Vec<f32>> {
        seconds.iter().map(|s| group_rows(value(s))).collect()
    };
    for (caption, values) in [
        ("Utilization of each server (darker is busier)", cells(|s| &s.busy)),
        ("Requests at each server (darker is more)", cells(|s| &s.held)),
        ("Requests received by each limiter (darker is more)", cells(|s| &s.taken)),
    ] {
        drawn.push((caption.to_string(), draw(|area| heat_map(area, scenario, &values))?));
    }
    Ok(drawn)
}

/// Averages groups of neighbouring values so that no more than `MAX_ROWS` remain.
fn group_rows(values: &[f32]) -> Vec<f32> {
    let group = values.len().div_ceil(MAX_ROWS).max(1);
    values.chunks(group).map(|c| c.iter().sum::<f32>() / c.len() as f32).collect()
}

fn draw(plot: impl Fn(&Area) -> DrawResult) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        plot(&area)?;
        area.present()?;
    }
    Ok(svg)
}

/// Line colours; all have a high contrast on white.
const COLORS: [RGBColor; 4] =
    [RGBColor(0, 60, 140), RGBColor(170, 60, 0), RGBColor(90, 90, 90), RGBColor(0, 0, 0)];

/// Axes of a plot: the unit of the horizontal one, and which are logarithmic.
#[derive(Clone, Copy)]
struct Axes {
    x: &'static str,
    x_log: bool,
    y_log: bool,
}

/// Position of a value on an axis.
fn axis_position(value: f64, log: bool) -> f64 {
    if log {
        value.max(1e-3).log10()
    } else {
        value
    }
}

/// Appends the legend to a caption: the marker and the name of each line.
fn with_legend(caption: &str, lines: &[Line]) -> String {
    let name = |(n, l): (usize, &Line)| format!("{} {}", MARKER_CHARS[n % MARKER_CHARS.len()], l.name);
    let legend: Vec<String> = lines.iter().enumerate().map(name).collect();
    format!("{caption}: {}", legend.join(", "))
}

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws lines. Returns the chart and the upper end of its values.
fn line_plot<'a>(
    area: &Area<'a>,
    lines: &[Line],
    axes: Axes,
) -> Result<(Chart<'a>, f64), Box<dyn std::error::Error>> {
    // `plotters` has different types for linear and logarithmic axes. To use one type, logarithms are computed here
    // and reversed in the labels.
    let points = || lines.iter().flat_map(|l| &l.points);
    let range = |of: &dyn Fn(&(f64, f64)) -> f64, log| {
        let minimum = points().map(of).fold(f64::INFINITY, f64::min);
        let maximum = points().map(of).fold(f64::NEG_INFINITY, f64::max);
        let low = if log { axis_position(minimum, true).floor() } else { 0.0 };
        (low, axis_position(maximum, log).max(low + 1e-6))
    };
    let (left, right) = range(&|p| p.0, axes.x_log);
    let (low, high) = range(&|p| p.1, axes.y_log);
    let top = high + (high - low) * 0.03;
    let mut chart = ChartBuilder::on(area);
    chart.margin(4).margin_right(10).x_label_area_size(26).y_label_area_size(46);
    let mut chart = chart.build_cartesian_2d(left..right, low..top + (top - low) * HEADROOM_FRACTION)?;
    let label = |v: &f64, log| format_number(if log { 10f64.powf(*v) } else { *v });
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(WHITE)
        .x_desc(axes.x)
        .x_labels(7)
        .y_labels(6)
        .x_label_formatter(&|v| label(v, axes.x_log))
        .y_label_formatter(&|v| if *v > top { String::new() } else { label(v, axes.y_log) })
        .draw()?;
    for (n, line) in lines.iter().enumerate() {
        let color = COLORS[n % COLORS.len()];
        let at = |p: &(f64, f64)| (axis_position(p.0, axes.x_log), axis_position(p.1, axes.y_log));
        let points: Vec<(f64, f64)> = line.points.iter().map(at).collect();
        chart.draw_series(LineSeries::new(points.clone(), color.stroke_width(1 + (n as u32 + 1) % 2)))?;
        let interval = (points.len() / 12).max(1);
        let marked = points.iter().skip(n * interval / 4).step_by(interval);
        chart.draw_series(marked.map(|p| EmptyElement::at(*p) + marker(n, (0, 0), color)))?;
    }
    Ok((chart, top))
}

/// Markers that differ in shape: a ring, a cross, a filled square, a triangle.
fn marker<'b>(n: usize, at: (i32, i32), color: RGBColor) -> DynElement<'static, SVGBackend<'b>, (i32, i32)> {
    match n % 4 {
        0 => Circle::new(at, 3, color.stroke_width(1)).into_dyn(),
        1 => Cross::new(at, 3, color.stroke_width(2)).into_dyn(),
        2 => Rectangle::new([(at.0 - 3, at.1 - 3), (at.0 + 3, at.1 + 3)], color.filled()).into_dyn(),
        _ => TriangleMarker::new(at, 4, color.filled()).into_dyn(),
    }
}

/// Draws a heat map: a column for each second, a row for each machine or group of machines.
fn heat_map(area: &Area<'_>, scenario: &Scenario, values: &[Vec<f32>]) -> DrawResult {
    let (length, rows) =
        (values.len().max(2) as f64, values.iter().map(Vec::len).max().unwrap_or(1).max(1) as f64);
    let maximum = values.iter().flatten().copied().fold(1e-9_f32, f32::max);
    let mut chart = ChartBuilder::on(area);
    chart.margin(4).margin_right(10).x_label_area_size(26).y_label_area_size(46);
    let mut chart = chart.build_cartesian_2d(0.0..length, 0.0..rows * (1.0 + HEADROOM_FRACTION))?;
    let number = |v: &f64| if v.fract() == 0.0 && *v < rows { format!("{v:.0}") } else { String::new() };
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("s")
        .y_desc(format!("number (darkest: {})", format_number(f64::from(maximum))))
        .x_labels(7)
        .x_label_formatter(&|v| format_number(*v))
        .y_label_formatter(&number)
        .draw()?;
    let rectangles = values.iter().enumerate().flat_map(|(x, column)| {
        column.iter().enumerate().map(move |(y, value)| {
            let lightness = 255 - (f64::from(value / maximum) * 235.0) as u8;
            let corners = [(x as f64, y as f64), (x as f64 + 1.0, y as f64 + 1.0)];
            Rectangle::new(corners, RGBColor(lightness, lightness, lightness).filled())
        })
    });
    chart.draw_series(rectangles)?;
    draw_faults(area, &chart, scenario, rows)
}

/// Marks the entries of the timeline above the values: a number and a bar for each.
fn draw_faults(area: &Area<'_>, chart: &Chart<'_>, scenario: &Scenario, top: f64) -> DrawResult {
    let (length, values) =
        (chart.as_coord_spec().x_spec().range().end, chart.as_coord_spec().y_spec().range());
    let ((_, upper), (_, edge)) = (chart.backend_coord(&(0.0, values.end)), chart.backend_coord(&(0.0, top)));
    let lanes = ((edge - upper - 4) / 9).max(1);
    for (n, t) in scenario.timeline.iter().enumerate().filter(|(_, t)| t.at_s < length) {
        let from = chart.backend_coord(&(t.at_s, top));
        let to = chart.backend_coord(&((t.at_s + t.for_s).min(length), values.start));
        let y = upper + 3 + 9 * (n as i32 % lanes);
        area.draw(&PathElement::new([(from.0, y), (from.0, to.1)], BLACK.mix(0.35).stroke_width(1)))?;
        area.draw(&PathElement::new([(from.0, y), (to.0, y)], BLACK.stroke_width(3)))?;
        area.draw(&Text::new((n + 1).to_string(), (from.0 + 2, y + 1), ("sans-serif", 12).into_font()))?;
    }
    Ok(())
}

fn format_number(v: f64) -> String {
    match v.abs() {
        a if a >= 1e6 => format!("{:.0}M", v / 1e6),
        a if a >= 10_000.0 => format!("{:.0}k", v / 1000.0),
        a if a >= 10.0 || a.fract() == 0.0 => format!("{v:.0}"),
        _ => format!("{v:.2}"),
    }
}

/// Figures of a tier of one size, for [`growth`].
#[derive(Debug, Clone, PartialEq)]
pub struct Size {
    /// Number of limiters.
    pub limiters: u32,
    /// Figures by name, the same names in the same order for each size.
    pub figures: Vec<(&'static str, f64)>,
}

/// Formats the page of tiers of different sizes: a table, and a plot of each figure against the number of limiters,
/// on logarithmic axes.
///
/// # Errors
/// If a plot cannot be drawn.
pub fn growth(title: &str, sizes: &[Size]) -> Result<String, String> {
    let names: Vec<&'static str> =
        sizes.first().map(|s| s.figures.iter().map(|f| f.0).collect()).unwrap_or_default();
    let mut plots = Vec::new();
    for (n, name) in names.iter().enumerate() {
        let points = sizes.iter().map(|s| (f64::from(s.limiters), s.figures[n].1)).collect();
        let line = [Line { name: name.to_string(), points }];
        let y_log = sizes.iter().all(|s| s.figures[n].1 > 1.0);
        let axes = Axes { x: "limiters", x_log: true, y_log };
        let svg = draw(|area| line_plot(area, &line, axes).map(drop)).map_err(|e| format!("plot: {e}"))?;
        plots.push((name.to_string(), svg));
    }
    let body = html! {
        h1 { (title) }
        div class="wide" {
            table {
                tr { th { "limiters" } @for name in &names { th { (name) } } }
                @for s in sizes { tr { td { (s.limiters) } @for (_, v) in &s.figures { td { (format!("{v:.4}")) } } } }
            }
        }
        (plot_grid(&plots))
    };
    Ok(document(title, body))
}

/// Name of a resource, its measured use by number of limiters, and its bound.
pub type BoundedCurve = (String, Vec<(f64, f64)>, f64);

/// Formats a page of curves against the number of limiters, each with its bound.
///
/// # Errors
/// If a plot cannot be drawn.
pub fn bounds(title: &str, curves: &[BoundedCurve]) -> Result<String, String> {
    let mut plots = Vec::new();
    for (name, points, bound) in curves {
        let endpoints = [points.first(), points.last()].into_iter().flatten();
        let lines = [
            Line { name: "measured".to_string(), points: points.clone() },
            Line { name: format!("bound, {bound}"), points: endpoints.map(|p| (p.0, *bound)).collect() },
        ];
        let axes = Axes { x: "limiters", x_log: true, y_log: false };
        let svg = draw(|area| line_plot(area, &lines, axes).map(drop)).map_err(|e| format!("plot: {e}"))?;
        plots.push((format!("{name}: \u{25cb} measured, \u{2715} bound {bound}"), svg));
    }
    let body = html! {
        h1 { (title) }
        div class="wide" {
            table {
                tr { th { "resource" } th { "bound" } th { "limiters: measured" } }
                @for (name, points, bound) in curves {
                    tr { td { (name) } td { (bound) }
                        td { @for (n, v) in points { (format!("{n}: {v:.2}  ")) } } }
                }
            }
        }
        (plot_grid(&plots))
    };
    Ok(document(title, body))
}

fn plot_grid(plots: &[(String, String)]) -> Markup {
    html! { div class="plots" { @for (caption, svg) in plots { figure { figcaption { (caption) } (PreEscaped(svg)) } } } }
}

fn document(title: &str, body: Markup) -> String {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body { (body) }
        }
    };
    page.into_string()
}
