//! `marldeal capacity` and `rehearse scale` on the command line: the tables of the committed page follow from
//! the committed slopes, missing inputs are named, and growth beyond the limit ends with an error.

use std::path::PathBuf;
use std::process::{Command, Output};

fn marldeal(arguments: &[&str]) -> Output {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal"));
    command.current_dir(root).args(arguments).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

const SLOPES: [&str; 4] = [
    "docs/capacity/process.toml",
    "docs/capacity/told.toml",
    "docs/capacity/tier.toml",
    "docs/capacity/tier-prefetch.toml",
];

fn table(size: &str, more: &[&str]) -> Output {
    let mut arguments = vec!["capacity", "--size", size, "--slopes"];
    arguments.extend(SLOPES);
    arguments.extend(more);
    marldeal(&arguments)
}

/// The page contains the tables that the command prints, line by line.
#[test]
fn page_contains_the_tables_from_the_committed_slopes() {
    let page =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/CAPACITY.md")).expect("a page");
    for (size, more) in [
        ("deploy/size/one-tier-a-service.toml", &["--prefetch"][..]),
        ("deploy/size/two-years.toml", &["--prefetch"][..]),
        ("deploy/size/two-years.toml", &[][..]),
    ] {
        let output = table(size, more);
        assert!(output.status.success(), "{}", text(&output.stderr));
        let out = text(&output.stdout);
        let rows: Vec<&str> = out.lines().filter(|l| l.starts_with("| ")).collect();
        assert!(rows.len() > 15, "{out}");
        assert!(
            page.contains(&rows.join("\n")),
            "{size} {more:?}: the page has another table than\n{}",
            rows.join("\n")
        );
    }
}

/// Without arguments, the first table of the page is printed, also outside the source tree.
#[test]
fn table_of_the_page_is_printed_without_arguments() {
    let dir = tempfile::tempdir().expect("a directory");
    let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal"));
    let bare = command.current_dir(dir.path()).arg("capacity").output().expect("the program starts");
    assert!(bare.status.success(), "{}", text(&bare.stderr));
    let full = table("deploy/size/one-tier-a-service.toml", &["--prefetch"]);
    assert!(text(&full.stdout).starts_with("| role | what | need | bound |"));
    assert_eq!(text(&bare.stdout), text(&full.stdout));
    // A size needs slopes, and slopes need a size.
    for half in [["--size", "deploy/size/two-years.toml"], ["--slopes", SLOPES[0]]] {
        let output = marldeal(&[&["capacity"][..], &half[..]].concat());
        assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
    }
}

#[test]
fn report_shows_each_resource_with_its_bound() {
    let dir = tempfile::tempdir().expect("a directory");
    let page = dir.path().join("page.html");
    let output = table("deploy/size/two-years.toml", &["--report", page.to_str().expect("a plain path")]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let html = std::fs::read_to_string(&page).expect("a page");
    assert!(html.matches("<svg").count() == 6 && html.contains("bound 2.7") && !html.contains("<script"));
}

#[test]
fn missing_and_invalid_inputs_are_reported_with_their_location() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = |name: &str, content: &str| -> PathBuf {
        let at = dir.path().join(name);
        std::fs::write(&at, content).expect("written");
        at
    };
    let size = path("size.toml", "[fleet]\nlimiters = 3\n");
    let error = text(&table(size.to_str().expect("plain"), &[]).stderr);
    assert!(error.contains("size.toml") && error.contains("fleet"), "{error}");
    let incomplete = marldeal(&[
        "capacity",
        "--size",
        "deploy/size/two-years.toml",
        "--slopes",
        "docs/capacity/told.toml",
    ]);
    let error = text(&incomplete.stderr);
    assert_eq!(incomplete.status.code(), Some(1));
    assert!(error.contains("has not been measured"), "{error}");
    let duplicate =
        marldeal(&["capacity", "--size", "deploy/size/two-years.toml", "--slopes", SLOPES[0], SLOPES[0]]);
    assert!(text(&duplicate.stderr).contains("in two files"), "{}", text(&duplicate.stderr));
}

#[test]
fn growing_tiers_write_slopes_and_fail_beyond_the_growth_limit() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = |name: &str| dir.path().join(name).to_str().expect("a plain path").to_string();
    let (slopes, json) = (path("slopes.toml"), path("figures.json"));
    let scale = |limiters: &str, more: &[&str]| {
        let mut arguments =
            vec!["rehearse", "scale", "--like", "size/calm", "--regions", "1", "--seconds", "3"];
        arguments.extend(["--limiters", limiters, "--slopes", &slopes, "--json", &json]);
        arguments.extend(more);
        marldeal(&arguments)
    };
    let output = scale("3,4,6", &["--prefetch"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let written = std::fs::read_to_string(&slopes).expect("slopes");
    let read = marldeal_capacity::slopes::Slopes::parse(&written).expect("good slopes");
    let series = read.find("prefetch_wait_ms_p99", "limiters").expect("the series");
    assert_eq!(series.points.iter().map(|p| p.0).collect::<Vec<_>>(), [3.0, 4.0, 6.0]);
    assert!(series.run.starts_with("marldeal rehearse scale --like size/calm"), "{}", series.run);
    // A single limiter sends no messages, so the sizes start at two.
    let failed = scale("2,6", &["--most-growth", "0.1"]);
    assert_eq!(failed.status.code(), Some(1));
    assert!(text(&failed.stderr).contains("per request grows by a factor"), "{}", text(&failed.stderr));
}

#[test]
fn extension_file_is_read_and_its_errors_are_reported() {
    let dir = tempfile::tempdir().expect("a directory");
    let check = |content: &str| {
        let at = dir.path().join("extensions.toml");
        std::fs::write(&at, content).expect("written");
        let output = marldeal(&["check", at.to_str().expect("a plain path")]);
        (output.status.success(), text(&output.stdout))
    };
    assert!(check("[prefetch]\n").0);
    assert!(check("[prefetch]\nmax_customers = 10\n").0);
    for (content, expected) in [
        ("[prefetch]\nmax_customers = 0\n", "prefetch.max_customers: 0 is not between 1 and 1000000"),
        ("[prefetch]\nmax_customer = 5\n", "max_customer"),
    ] {
        let (valid, output) = check(content);
        assert!(!valid && output.contains(expected), "{output}");
    }
}
