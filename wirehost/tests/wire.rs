//! Runs the adapter as a process on hand-written batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"Balancers":2,"Position":0,"Zone":"a","Dcs":["a","b"],"RoundMs":4,"Discovery":"automatic",
"Classes":[{"Name":"look","AimMs":1000,"Effect":"read_like","LateWorth":0,"Unheard":1}],
"TiersOfService":[{"Name":"basic","Rate":0,"StoreSize":0}],
"Bounds":{"MostTries":3,"DialTimeoutMs":250,"Cancelling":true,"MayTell":true},
"Obligations":{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000},"Domain":{"MailPerS":60}}"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fawnhill-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    let mut text = lines.join("\n");
    text.push('\n');
    // The write may fail if the adapter has already exited on an error; the tests check its exit status.
    let _ = child.stdin.take().expect("standard input is piped").write_all(text.as_bytes());
    child.wait_with_output().expect("failed to wait for the adapter")
}

fn batch(turn: u32, events: &str) -> String {
    format!(r#"{{"MomentMs":{},"turn":{turn},"in":[{events}]}}"#, 1000 + turn * 10)
}

fn start() -> String {
    let setup = SETUP.replace('\n', "");
    let server_entry = |a: &str| {
        format!(r#"{{"Server":"{a}","Site":"a","Machine":"m","Stripe":0,"Condition":"in_service"}}"#)
    };
    let census = format!(r#"{{"m":"CENSUS","Page":3,"Elements":[{}]}}"#, server_entry("s:1"));
    let instance = |n: u32| {
        format!(
            r#"{{"m":"NEW_INSTANCE","LimiterId":"limiter-{n}","Seed":{n},"Setup":{setup}}},
            {{"m":"BACKENDS_CHANGED","LimiterId":"limiter-{n}","Scope":"cached","Version":1,"Page":3}}"#
        )
        .replace('\n', "")
    };
    let second_census = census.replace("s:1", "s:2");
    batch(1, &format!("{census},{},{second_census},{}", instance(0), instance(1)))
}

fn work(n: u32, ticket: u32) -> String {
    format!(
        r#"{{"m":"WORK_ITEM","LimiterId":"limiter-{n}","Ticket":{ticket},"Service":"look","Plan":"basic",
        "ClientId":"00000000000000ff","BudgetMs":900.5,"PriceUnits":1,"EntryPoints":2,"SetFrom":0,"New":[1]}}"#
    )
    .replace('\n', "")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("output is UTF-8")
}

#[test]
fn each_batch_gets_one_reply_and_end_of_input_is_a_success() {
    let output = run(&[batch(0, ""), start(), batch(2, &work(0, 5))]);
    assert!(output.status.success());
    let text = stdout_text(&output);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3);
    assert_eq!(lines[0], r#"{"turn":0,"steps":[]}"#);
    assert!(lines[2].contains(r#""m":"PASS_ON","LimiterId":"limiter-0","Ticket":5"#), "{}", lines[2]);
}

#[test]
fn a_page_sent_again_applies_only_to_later_events() {
    let output = run(&[start(), batch(2, &format!("{},{}", work(0, 5), work(1, 6)))]);
    let text = stdout_text(&output);
    assert!(text.contains(r#""Ticket":5,"CapMs":0.0,"Server":"s:1""#), "{text}");
    assert!(text.contains(r#""Ticket":6,"CapMs":0.0,"Server":"s:2""#), "{text}");
}

#[test]
fn an_outcome_a_stop_and_a_restart_are_handled_in_one_batch() {
    let end = r#"{"m":"ATTEMPT_END","LimiterId":"limiter-0","Ticket":5,"Trial":0,"Server":"s:1","Outcome":"errored","DurationMs":2}"#;
    let down = r#"{"m":"DOWN","LimiterId":"limiter-1"}"#;
    let restart =
        start().split_once("\"in\":[").expect("the batch has events").1.trim_end_matches("]}").to_string();
    let output =
        run(&[start(), batch(2, &work(0, 5)), batch(3, &format!("{end},{down},{restart},{}", work(1, 9)))]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = stdout_text(&output);
    let last = text.lines().last().expect("at least one reply");
    assert!(last.contains(r#""Ticket":5"#) && last.contains(r#""Ticket":9"#), "{last}");
}

#[test]
fn malformed_input_fails_with_a_one_line_error() {
    let cases = [
        ("nonsense".to_string(), "line 2"),
        (r#"{"turn":2,"in":[]}"#.to_string(), "MomentMs"),
        (batch(2, r#"{"m":"SURPRISE","LimiterId":"limiter-0"}"#), "SURPRISE"),
        (batch(2, &work(0, 5).replace(r#""BudgetMs":900.5,"#, "")), "BudgetMs"),
        (batch(2, &work(0, 5).replace("look", "gaze")), "gaze"),
        (batch(2, &work(0, 5).replace("basic", "gold")), "gold"),
        (batch(2, &work(0, 5).replace("00ff", "zzzz")), "ClientId"),
        (batch(2, &work(7, 5)), "limiter-7"),
        (batch(2, r#"{"m":"HEARD","LimiterId":"limiter-0","Who":1,"Body":"abc"}"#), "Body"),
        (
            batch(
                2,
                r#"{"m":"BACKENDS_CHANGED","LimiterId":"limiter-0","Scope":"full","Version":2,"Page":9}"#,
            ),
            "page 9",
        ),
        (
            batch(
                2,
                r#"{"m":"TOTAL","LimiterId":"limiter-0","EntryName":1,"Outcome":"fine","DurationMs":1}"#,
            ),
            "fine",
        ),
        (start().replace("\"turn\":1", "\"turn\":2").replace("read_like", "perhaps"), "perhaps"),
        (
            start().replace("\"turn\":1", "\"turn\":2").replace("\"Balancers\":2", "\"Balancers\":0"),
            "limiters",
        ),
    ];
    for (line, expected) in cases {
        let output = run(&[start(), line.clone()]);
        let error = String::from_utf8(output.stderr.clone()).expect("output is UTF-8");
        assert!(!output.status.success(), "{line}");
        assert!(error.contains(expected) && error.lines().count() == 1, "{expected}: {error}");
        assert_eq!(
            stdout_text(&output).lines().count(),
            1,
            "expected only the reply to the valid batch: {line}"
        );
    }
}
