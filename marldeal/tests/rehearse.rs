//! `marldeal rehearse` on the command line.

use std::path::PathBuf;
use std::process::{Command, Output};

use marldeal_rehearsal::scenario::Scenario;

fn rehearse(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal"));
    command.arg("rehearse").args(arguments).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A temporary file, removed when it is dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, content: &str) -> File {
        let path = std::env::temp_dir().join(format!("marldeal-{}-{name}", std::process::id()));
        std::fs::write(&path, content).expect("written");
        File(path)
    }
    fn path(&self) -> &str {
        self.0.to_str().expect("a plain path")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn scenario_output_is_reproducible_and_a_report_is_written() {
    let (page, json) = (File::new("page.html", ""), File::new("figures.json", ""));
    let run = || rehearse(&["bad-nodes", "--seed", "3", "--report", page.path(), "--json", json.path()]);
    let (first, second) = (run(), run());
    assert!(first.status.success(), "{}", text(&first.stderr));
    assert_eq!(text(&first.stdout), text(&second.stdout));
    let html = std::fs::read_to_string(&page.0).expect("a page");
    assert!(
        html.matches("<svg").count() >= 7 && html.contains("slow, nodes 1, times 3"),
        "plots and the timeline"
    );
    assert!(
        !["<script", "src=", "href="].iter().any(|s| html.contains(s)),
        "the page loads nothing external"
    );
    let rows = |a: &str, b: &str| text(&rehearse(&["compare", a, b, "--seeds", "6"]).stdout);
    let verdict =
        |rows: &str| rows.lines().find(|l| l.starts_with("score")).map(|l| l[67..].trim().to_string());
    assert_eq!(verdict(&rows("near-capacity", "quiet-day")).as_deref(), Some("better"));
    assert_eq!(verdict(&rows("quiet-day", "near-capacity")).as_deref(), Some("worse"));
    assert_eq!(verdict(&rows("quiet-day", "quiet-day")).as_deref(), Some("cannot tell"));
    assert!(rows(json.path(), json.path()).contains("1 seeds in common"));
}

#[test]
fn errors_name_file_and_key() {
    let file = File::new("wrong.toml", "[[timeline]]\nwhat = \"drain\"\nnodes = [77]\nat_s = 1\nfor_s = 9\n");
    let output = rehearse(&[file.path()]);
    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    for part in [file.path(), "timeline[0].nodes: numbers below 10", "timeline[0].after_s: missing"] {
        assert!(error.contains(part), "{part:?} in {error}");
    }
    let unknown = text(&rehearse(&["no-such-day"]).stderr);
    assert!(unknown.contains("no-such-day") && unknown.contains("rehearse list"), "{unknown}");
    let impossible = text(&rehearse(&["half-behind-proxies", "--sockets"]).stderr);
    assert!(impossible.contains("clients.proxied: proxies run in the simulation only"), "{impossible}");
}

/// Real limiters, servers and clients on loopback, with an exit, a drain and a restarted limiter. The
/// difference between these figures and the simulated ones is measured elsewhere (`rehearse --sockets`), since
/// a busy machine changes them.
#[test]
fn scenario_runs_on_sockets() {
    let scenario = "seconds = 7\n[clients]\nload = 0.3\n\
        [[timeline]]\nwhat = \"exit\"\nnodes = [2]\nat_s = 1\nfor_s = 2\n\
        [[timeline]]\nwhat = \"drain\"\nnodes = [4]\nat_s = 1\nafter_s = 1\nfor_s = 3\n\
        [[timeline]]\nwhat = \"restart\"\nlimiters = [1]\nat_s = 2\nfor_s = 0.5\n";
    let file = File::new("sockets.toml", scenario);
    let output = rehearse(&[file.path(), "--sockets"]);
    let out = text(&output.stdout);
    assert!(out.contains(", 0 rules violated"), "{out}{}", text(&output.stderr));
    let plans = Scenario::default().plans;
    for plan in &plans {
        let row = out.lines().find(|l| l.starts_with(&plan.name)).unwrap_or_else(|| panic!("no row: {out}"));
        let figures: Vec<f64> = row.split_whitespace().skip(1).filter_map(|n| n.parse().ok()).collect();
        let (requests, ends): (f64, f64) = (figures[1], figures[2..7].iter().sum());
        assert!(figures[2] > 0.0 && requests == ends, "some are served, and each request has one end: {row}");
    }
}
