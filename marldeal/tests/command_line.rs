//! The program's commands `demo` and `check`, and a start without a configuration.

use std::process::{Command, Output};

fn marldeal(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marldeal"));
    command.env_remove("ROUTER_CONFIG").args(arguments).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn demo_prints_a_table_and_reports_the_drain() {
    let output = marldeal(&["demo", "--seconds", "3"]);
    let out = text(&output.stdout);
    assert!(output.status.success(), "{out}{}", text(&output.stderr));
    for plan in ["small-yard", "mill", "fleet"] {
        let row =
            out.lines().find(|l| l.starts_with(plan)).unwrap_or_else(|| panic!("no row of {plan}: {out}"));
        let served = row.split_whitespace().nth(1).and_then(|n| n.parse::<u32>().ok());
        assert!(served.is_some_and(|n| n > 0), "{row}");
    }
    assert!(out.contains("drained"), "{out}");
}

#[test]
fn start_without_a_configuration_fails_with_a_message() {
    let output = marldeal(&[]);
    assert_eq!(
        (output.status.code(), text(&output.stderr).trim()),
        (Some(1), "marldeal: ROUTER_CONFIG is not set")
    );
}

#[test]
fn check_reports_every_error_of_a_configuration() {
    let path = std::env::temp_dir().join(format!("marldeal-check-{}.json", std::process::id()));
    let file = |listen: &str, balancers: i32, rate: f64, seed: &str| {
        format!(
            r#"{{"name":"n","listen":"{listen}","discovery":"127.0.0.1:1","seed":"{seed}","settings":
            {{"Balancers":{balancers},"Position":0,"Zone":"a","Dcs":["a"],"RoundMs":4,"Discovery":"automatic",
            "Classes":[{{"Name":"look","AimMs":1000,"Effect":"read_like"}}],
            "TiersOfService":[{{"Name":"basic","Rate":{rate}}}],"Bounds":{{"MostTries":3,"DialTimeoutMs":250}},
            "Obligations":{{"StartCapacity":0.2,"ColdMs":9000,"FallMultiple":3,"TipAfterMs":2000}},
            "Domain":{{"MailPerS":60}}}}}}"#
        )
    };
    let check = |text_of: String| {
        std::fs::write(&path, text_of).expect("written");
        let output = marldeal(&["check", &path.display().to_string()]);
        (output.status.code(), text(&output.stdout))
    };
    let good = file("127.0.0.1:0", 1, 1.0, "5");
    assert_eq!(check(good.clone()).0, Some(0));
    let (code, out) = check(file("nowhere", 0, -1.0, "xyz"));
    assert_eq!(code, Some(1));
    for key in ["listen: 'nowhere'", "seed: 'xyz'", "limiters must be", "plan 0"] {
        assert!(out.contains(key), "{key}: {out}");
    }
    let wrong =
        good.replace("\"RoundMs\":4", "\"RoundMs\":\"four\"").replace("\"AimMs\":1000", "\"AimMs\":[]");
    let (_, out) = check(wrong);
    assert!(out.contains("settings.RoundMs: ") && out.contains("settings.Classes[0].AimMs: "), "{out}");
    let small = good.replace("\"seed\"", "\"limits\":{\"memory_mb\":4,\"sockets\":8},\"seed\"");
    let (code, out) = check(small);
    assert_eq!(code, Some(1));
    for what in ["limits.memory_mb: 4 MB is too small, 18 MB", "limits.sockets: 8 is too few, 64"] {
        assert!(out.contains(what), "{what}: {out}");
    }
    let output = marldeal(&["check", "nothing-here.json", "what.yaml"]);
    let out = text(&output.stdout);
    assert!(out.contains("nothing-here.json: ") && out.contains("what.yaml: "), "{out}");
    let _ = std::fs::remove_file(path);
}
