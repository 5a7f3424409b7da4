//! From a failed request's id to its cause, with the log lines of the real program alone.

#[path = "../platform/tests/support/mod.rs"]
mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use support::client::{get, post};
use support::server::Act;
use support::{Site, eventually};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sequoiaridge");

/// A router as a process of its own.
struct Program {
    child: Child,
    callers: SocketAddr,
}

impl Program {
    async fn start(name: &str, site: &Site) -> Program {
        let [callers, readiness] = [free(), free()];
        let peers = free().port();
        let text = format!(
            r#"node_name = "{name}"
ip = "127.0.0.1"
zone = "a"
internal_ports = [{peers}, {peers}]
listen = {{ frontend = "{callers}", readiness = "{readiness}" }}
limits = {{ memory_mb = 260 }}
platform = {{ address = "{}" }}
[bounds]
drain_ms = 2000
config_apply_ms = 2000
grace_s = 6
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 56
reuse_window_s = 10
cap_factor = 2
"#,
            site.store.address
        );
        let child = spawn(&settings(name, &text));
        let program = Program { child, callers };
        eventually("the router is ready", || async {
            let ready = get(readiness, "/sequoiaridge/readyz").await;
            ready.is_some_and(|answer| answer.status == 200)
        })
        .await;
        program
    }

    /// Stops the program and returns what it wrote.
    fn stop(mut self) -> String {
        // Lines are written in batches; the last one follows within a second.
        std::thread::sleep(Duration::from_secs(1));
        self.child.kill().expect("the program runs");
        let mut text = String::new();
        let mut output = self.child.stdout.take().expect("an output");
        output.read_to_string(&mut text).expect("text");
        self.child.wait().expect("an end");
        text
    }
}

fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("the file");
    path
}

fn spawn(settings: &PathBuf) -> Child {
    Command::new(PROGRAM)
        .arg("edge")
        .env("SEQUOIARIDGE_BOOT", settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts")
}

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
    let program = Program::start("explained", &site).await;
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

    let output = program.stop();
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
    let path = settings("bad", "node_name = \"x\"\nip = \"nowhere\"\n");
    let output = spawn(&path).wait_with_output().expect("an end");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).expect("text");
    assert_eq!(message.lines().count(), 1, "{message}");
    assert!(message.contains("bad.toml"), "{message}");
}
