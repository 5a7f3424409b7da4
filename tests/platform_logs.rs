//! The log of the real program, and the commands that read it, lead from a failed request's id to
//! its cause.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::time::Duration;
use support::Site;
use support::client::post;
use support::program::{RouterProcess, spawn, write_settings};
use support::server::Behavior;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// Returns the log lines about one request, each as the name of the event and the message.
fn lines_about(output: &str, id: &str) -> Vec<(String, String)> {
    let lines = output.lines().map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).expect("a line of JSON");
        line["fields"].clone()
    });
    let about = lines.filter(|fields| fields["request"] == id);
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_string();
    about
        .map(|fields| (text(&fields["name"]), text(&fields["message"])))
        .collect()
}

/// Runs `edge --status` against a router.
fn status_of(address: &str) -> std::process::Output {
    let mut command = std::process::Command::new(PROGRAM);
    command.args(["edge", "--status", address]);
    command.output().expect("the program runs")
}

/// Guards against a running router that does not show operators what it serves and refuses.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_of_a_running_router_is_shown() {
    let site = Site::start(1).await;
    let program = RouterProcess::start(PROGRAM, FOLDER, "status", site.store.address);
    program.wait_ready().await;
    site.servers[0].set_behaviors(&[Behavior::Refuse(503)]);
    let refused = post(program.callers, "/order/1", "refused-1").await;
    assert_eq!(refused.expect("an answer").status, 503);
    let address = program.readiness.to_string();
    let shown = status_of(&address);
    let text = String::from_utf8(shown.stdout).expect("text");
    for line in [
        "ready yes",
        "version 1",
        "requests 1",
        "answers status=503 1",
        "refusals reason=endpoint-refused 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}: {text}");
    }
    assert!(!text.contains("bucket"), "{text}");
    drop(program);

    let gone = status_of(&address);
    assert_eq!(gone.status.code(), Some(6));
    let error = String::from_utf8(gone.stderr).expect("text");
    assert!(error.contains(&address), "{error}");
}

/// Guards against failed requests whose cause cannot be found in the log: one that the server
/// refused, one whose connection broke and one that took too long.
#[tokio::test(flavor = "multi_thread")]
async fn the_lines_of_a_request_lead_to_its_cause() {
    let site = Site::start(1).await;
    let program = RouterProcess::start(PROGRAM, FOLDER, "explained", site.store.address);
    program.wait_ready().await;
    let callers = program.callers;
    let server = &site.servers[0];

    server.set_behaviors(&[Behavior::Refuse(503)]);
    let refused = post(callers, "/order/1", "refused-1")
        .await
        .expect("an answer");
    assert_eq!(refused.status, 503);
    server.set_behaviors(&[Behavior::Disconnect]);
    let broken = post(callers, "/order/2", "broken-1")
        .await
        .expect("an answer");
    assert_eq!(broken.status, 502);
    server.set_behaviors(&[Behavior::Slow(Duration::from_secs(9))]);
    let late = post(callers, "/order/3", "late-1")
        .await
        .expect("an answer");
    assert_eq!(late.status, 504);

    let output = program.output();
    for (id, reason, verdict, status) in [
        ("refused-1", "endpoint-refused", "not-run", 503),
        ("broken-1", "endpoint-broke", "may-have-run", 502),
        ("late-1", "endpoint-silent", "may-have-run", 504),
    ] {
        let lines = lines_about(&output, id);
        let find = |event: &str| {
            let line = lines.iter().find(|(name, _)| name == event);
            line.unwrap_or_else(|| panic!("no {event} for {id} in {lines:?}"))
                .1
                .clone()
        };
        let placed = find("call-placed");
        assert!(
            placed.contains("endpoint=i-0") && placed.contains("requests="),
            "{placed}"
        );
        let failed = find("attempt-failed");
        for part in [
            "endpoint=i-0",
            &format!("reason={reason}"),
            &format!("verdict={verdict}"),
        ] {
            assert!(failed.contains(part), "{failed}");
        }
        let end = find("call-refused");
        assert!(end.contains(&format!("status={status}")), "{end}");
    }
}

/// Guards against operators who must search the log by hand: `explain` prints the lines about one
/// request in order of time, and exits with 1 if there are none.
#[test]
fn explain_shows_the_lines_of_one_request() {
    let line = |time: u32, name: &str, id: &str| {
        format!(
            r#"r1 {{"timestamp":"2026-01-01T00:00:0{time}Z","fields":{{"message":"m{time}","code":1,"name":"{name}","request":"{id}"}}}}"#
        )
    };
    let log = [
        line(2, "call-refused", "a1"),
        line(1, "call-placed", "a1"),
        line(1, "call-placed", "a12"),
        "no line of JSON about a1".to_string(),
    ];
    let path = std::path::Path::new(FOLDER).join("explain.log");
    std::fs::write(&path, log.join("\n")).expect("the file");
    let explain = |id: &str| {
        let mut command = std::process::Command::new(PROGRAM);
        command.args(["explain", id, "--log"]).arg(&path);
        command.output().expect("the program runs")
    };
    let output = explain("a1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    let names: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_whitespace().nth(1))
        .collect();
    assert_eq!(names, ["call-placed", "call-refused"]);
    assert_eq!(explain("a9").status.code(), Some(1));
}

/// Guards against a program that starts with settings that it does not understand, or prints more
/// than one line about them.
#[test]
fn bad_settings_end_the_program_with_one_line() {
    let text = "node_name = \"x\"\nip = \"nowhere\"\n";
    let path = write_settings(FOLDER, "bad", text);
    let output = spawn(PROGRAM, &path).wait_with_output().expect("an end");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).expect("text");
    assert_eq!(message.lines().count(), 1, "{message}");
    assert!(message.contains("bad.toml"), "{message}");
}
