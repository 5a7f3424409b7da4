//! From a failed request's id to its cause, with the log lines of the real program alone.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::time::Duration;
use support::Site;
use support::client::post;
use support::program::{Program, spawn, write_settings};
use support::server::Act;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// The lines about one request, as pairs of an event's name and its detail.
fn lines(output: &str, id: &str) -> Vec<(String, String)> {
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

/// Guards against a refused, a broken and a late request whose cause nobody can find afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn the_lines_of_a_request_lead_to_its_cause() {
    let site = Site::start(1).await;
    let program = Program::start(PROGRAM, FOLDER, "explained", site.store.address);
    program.ready().await;
    let callers = program.callers;
    let server = &site.servers[0];

    server.acts(&[Act::Refuse(503)]);
    let refused = post(callers, "/order/1", "refused-1")
        .await
        .expect("an answer");
    assert_eq!(refused.status, 503);
    server.acts(&[Act::Break]);
    let broken = post(callers, "/order/2", "broken-1")
        .await
        .expect("an answer");
    assert_eq!(broken.status, 502);
    server.acts(&[Act::Slow(Duration::from_secs(9))]);
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
        let lines = lines(&output, id);
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

/// Guards against a program that starts with settings it does not understand, or says so at length.
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
