//! Parsing and validation of input files, line fits, and the table. A missing series must be an error, never a zero.

use marldeal_capacity::fit::{fit, MAX_DEVIATION};
use marldeal_capacity::size::Size;
use marldeal_capacity::slopes::{MeasurementSetup, Series, Slopes};
use marldeal_capacity::table::{curves, table, Verdict};
use proptest::prelude::*;

const SIZE: &str = include_str!("../../../deploy/size/two-years.toml");

fn series(figure: &str, along: &str, points: &[(f64, f64)]) -> Series {
    Series {
        figure: figure.to_string(),
        along: along.to_string(),
        ground: MeasurementSetup::Process,
        run: "a test".to_string(),
        points: points.to_vec(),
    }
}

/// Every series that the table needs, with invented values.
fn slopes() -> Slopes {
    let by_servers = |figure: &str, values: [f64; 3]| {
        series(figure, "servers", &[(30.0, values[0]), (480.0, values[1]), (4800.0, values[2])])
    };
    let by_limiters = |figure: &str, values: [f64; 3]| {
        series(figure, "limiters", &[(3.0, values[0]), (30.0, values[1]), (520.0, values[2])])
    };
    let mut all = vec![
        by_servers("added_ms_p99", [0.3, 0.4, 0.5]),
        by_servers("added_ms_p999", [0.4, 0.5, 0.6]),
        by_servers("changing_idle_percent", [0.5, 0.6, 1.4]),
        by_servers("memory_mb", [7.0, 8.0, 11.0]),
        by_servers("change_bytes", [160.0, 160.0, 160.0]),
        by_servers("changing_cpu_us_a_request", [100.0, 100.0, 100.0]),
        by_servers("unreachable_cpu_us_a_request", [50.0, 130.0, 370.0]),
        by_servers("list_kb", [4.4, 70.0, 700.0]),
        series("memory_mb", "tenants", &[(100.0, 10.0), (3200.0, 11.0), (32_000.0, 16.0)]),
        series("memory_mb", "peers", &[(3.0, 7.0), (100.0, 7.0), (520.0, 7.0)]),
        series("memory_mb", "open", &[(100.0, 9.0), (400.0, 15.0), (1600.0, 39.0)]),
    ];
    for (prefix, times) in [("", 100.0), ("prefetch_", 1.0)] {
        all.push(by_limiters(&format!("{prefix}wait_ms_p99"), [1.0 * times, 1.2 * times, 1.5 * times]));
        all.push(by_limiters(&format!("{prefix}wait_ms_p999"), [20.0, 25.0, 30.0]));
        all.push(by_limiters(&format!("{prefix}control_kb_per_s"), [10.0, 11.0, 12.0]));
        all.push(by_limiters(&format!("{prefix}messages_in_per_s"), [50.0, 55.0, 61.0]));
    }
    Slopes { series: all }
}

#[test]
fn fit_needs_three_sizes_and_reports_deviation() {
    assert!(fit(&[(1.0, 1.0), (2.0, 2.0)]).is_none(), "two points always lie on a line");
    assert!(fit(&[(1.0, 1.0), (1.0, 2.0), (2.0, 3.0)]).is_none(), "two sizes");
    let straight = fit(&[(10.0, 25.0), (20.0, 45.0), (40.0, 85.0)]).expect("a line");
    assert!(
        (straight.slope - 2.0).abs() < 1e-9
            && (straight.intercept - 5.0).abs() < 1e-9
            && !straight.is_nonlinear()
    );
    let bent = fit(&[(10.0, 10.0), (100.0, 10.0), (1000.0, 100.0)]).expect("a line");
    assert!(bent.is_nonlinear() && bent.max_deviation > MAX_DEVIATION);
}

#[test]
fn extrapolation_is_marked_and_follows_the_steeper_slope() {
    let bent = fit(&[(10.0, 10.0), (100.0, 10.0), (1000.0, 100.0)]).expect("a line");
    let inside = bent.value_at(550.0);
    assert!(!inside.extrapolated && (inside.value - 55.0).abs() < 1e-9, "{inside:?}");
    let beyond = bent.value_at(2000.0);
    assert!(beyond.extrapolated && beyond.largest_measured == 1000.0 && beyond.value >= 199.0, "{beyond:?}");
}

#[test]
fn table_has_met_missed_and_unanswered_rows() {
    let size = Size::parse(SIZE).expect("the committed size");
    let rows = table(&size, &slopes(), false).expect("all measured");
    let row = |resource: &str| {
        rows.iter().find(|r| r.resource.starts_with(resource)).unwrap_or_else(|| panic!("no row {resource}"))
    };
    let added = row("time added to a request, p99");
    assert_eq!(added.need, Some(150.5));
    assert!(matches!(added.verdict, Verdict::Missed(times) if (times - 150.5 / 2.7).abs() < 1e-9));
    assert!(
        matches!(row("processor for control").verdict, Verdict::Missed(times) if (times - 1.4 / 1.1).abs() < 1e-9)
    );
    assert!(matches!(row("memory").verdict, Verdict::Met(unused) if unused > 0.8));
    assert_eq!(row("510 a day").verdict, Verdict::NotAnswered);
    // 12 KB/s of messages, and 10 changes of 160 bytes per second.
    assert!((row("control, in and out").need.expect("a need") - 13.6).abs() < 1e-9);
    assert!(rows.iter().all(|r| r.need.is_none_or(f64::is_finite)));
    let with = table(&size, &slopes(), true).expect("all measured");
    let added = with.iter().find(|r| r.resource.ends_with("p99")).expect("the row");
    assert!(matches!(added.verdict, Verdict::Met(_)), "{added:?}");
    assert!(added.sources.iter().any(|s| s.starts_with("prefetch_wait_ms_p99 by limiters")), "{added:?}");
}

#[test]
fn error_names_the_missing_series() {
    let size = Size::parse(SIZE).expect("the committed size");
    for n in 0..slopes().series.len() {
        let mut fewer = slopes();
        let removed = fewer.series.remove(n);
        let both = table(&size, &fewer, false).and_then(|_| table(&size, &fewer, true));
        let error = both.expect_err(&removed.figure).to_string();
        assert!(error.contains(&removed.figure) && error.contains("has not been measured"), "{error}");
    }
    assert!(curves(&size, &Slopes::default()).is_err());
}

#[test]
fn errors_in_files_name_the_key() {
    let size = |from: &str, to: &str| {
        let text = SIZE.replacen(from, to, 1);
        assert_ne!(text, SIZE, "{from}");
        Size::parse(&text).expect_err(to).iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    };
    for (from, to, expected) in [
        ("limiters = 520", "limiters = 0", "fleet.limiters"),
        ("limiters = 520", "limitrs = 520", "limitrs"),
        ("regions = 3", "regions = 30", "fleet.regions: must not exceed the number of zones"),
        ("tiers = 1\n", "tiers = 600\n", "arrangement.tiers: must not exceed the number of limiters"),
        ("added_ms = 2.7", "added_ms = \"2.7\"", "traffic.added_ms"),
        ("machines = 6\n", "", "control"),
        ("in_force_s = 20", "in_force_s = -20", "changes.in_force_s"),
    ] {
        let errors = size(from, to);
        assert!(errors.contains(expected), "{to:?}: {errors:?}");
    }
    let slopes = |text: &str| {
        Slopes::parse(text).expect_err(text).iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    };
    let one = "[[series]]\nfigure = \"a\"\nalong = \"b\"\nground = \"process\"\nrun = \"r\"\n";
    let good = "points = [[1.0, 1.0], [2.0, 1.0], [3.0, 1.0]]\n";
    assert!(slopes(&format!("{one}points = [[1.0, 1.0], [2.0, 2.0]]\n"))
        .contains("series[0].points: expected at least three sizes"));
    assert!(slopes(&format!("{one}{good}{one}{good}")).contains("series[1].figure: a along b occurs twice"));
    assert!(slopes(&format!("{one}points = [[-1.0, 1.0]]\n")).contains("series[0].points"));
    assert!(slopes(&one.replace("process", "guess")).contains("ground"));
    let mut two = Slopes::parse(&format!("{one}{good}")).expect("good");
    assert!(two.merge(two.clone()).expect_err("twice").to_string().contains("in two files"));
}

proptest! {
    /// For any points, the value between two sizes lies between their values, and a file read back equals what was
    /// written.
    #[test]
    fn interpolated_values_lie_between_neighbours(
        ys in proptest::collection::vec(0.0f64..1e6, 3..8),
        at in 0.0f64..1.0,
    ) {
        let points: Vec<(f64, f64)> = ys.iter().enumerate().map(|(n, y)| (10.0 * (n + 1) as f64, *y)).collect();
        let line = fit(&points).expect("three sizes or more");
        for pair in points.windows(2) {
            let value = line.value_at(pair[0].0 + at * (pair[1].0 - pair[0].0)).value;
            let (min, max) = (pair[0].1.min(pair[1].1), pair[0].1.max(pair[1].1));
            prop_assert!(value >= min - 1e-6 && value <= max + 1e-6);
        }
        let file = Slopes { series: vec![series("f", "n", &points)] };
        prop_assert_eq!(Slopes::parse(&file.to_toml()).expect("a file it wrote"), file);
    }
}
