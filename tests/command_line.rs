//! Exit codes, messages and output of the command line that operators and start scripts use.

mod support;

use sequoiaridge::core::token_digest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use support::fleet::{Fleet, OPERATOR};
use support::temp_file;

/// Exit code and output of a command.
#[derive(Debug)]
struct RunResult {
    code: i32,
    stdout: String,
    stderr: String,
}

/// Runs the binary as the operator of the test fleet.
fn run(operators: SocketAddr, line: &str) -> RunResult {
    let output = Command::new(env!("CARGO_BIN_EXE_sequoiaridge"))
        .args(line.split(' '))
        .env("SEQUOIARIDGE_OPERATORS", operators.to_string())
        .env("SEQUOIARIDGE_TOKEN", OPERATOR)
        .env_remove("SEQUOIARIDGE_PEER_KEY")
        .output()
        .expect("the binary runs");
    RunResult {
        code: output.status.code().expect("an exit code"),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Guards against a `set` that changes targets that were not given, or does not print what it did.
#[tokio::test(flavor = "multi_thread")]
async fn targets_are_set_one_by_one() {
    let fleet = Fleet::start(2, 1, 0).await;
    let at = fleet.routers[1].address("operators");
    let new = run(at, "targets set menus --answered 0.9");
    assert_eq!(new.code, 5, "{new:?}");
    assert!(new.stderr.contains("give --team to create it"), "{new:?}");
    let new = run(at, "targets set menus --answered 0.9 --team team");
    assert_eq!(new.code, 0, "{new:?}");
    let version = fleet.status(0).await.expect("a status")["version"].clone();
    let committed = format!("committed as version {version}, in force on router-0, router-1\n");
    assert_eq!(new.stdout, committed);

    let set = run(at, "targets set --deadline 12.5 menus --repeat never");
    assert_eq!(set.code, 0, "{set:?}");
    let got = run(at, "targets get menus --output json");
    let got: serde_json::Value = serde_json::from_str(&got.stdout).expect("one JSON value");
    let targets = serde_json::json!({"first_token": 0.64, "between_tokens": 0.03, "answered": 0.9,
        "deadline": 12.5, "repeat": "never"});
    assert_eq!(got["class"]["targets"], targets);

    let same = run(at, "targets set menus --answered 0.9");
    assert_eq!(same.code, 0);
    assert!(same.stdout.contains("nothing to change"), "{same:?}");
    let bad = run(at, "targets set menus --answered 2 --deadline 0.1");
    assert_eq!(bad.code, 5);
    assert!(bad.stderr.contains("answered is 2"), "{bad:?}");
    assert!(bad.stderr.contains("below the deadline"), "{bad:?}");
    let status = run(at, "status");
    for part in [
        "configuration version",
        "menus",
        "engine-0",
        "by router-0",
        "router-1",
    ] {
        assert!(status.stdout.contains(part), "{part}: {status:?}");
    }
    // A reader that closes the pipe early, such as `head`, is not an error.
    let mut early = Command::new(env!("CARGO_BIN_EXE_sequoiaridge"))
        .args(["status", "--operators", &at.to_string()])
        .env("SEQUOIARIDGE_TOKEN", OPERATOR)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    drop(early.stdout.take());
    assert_eq!(early.wait().unwrap().code(), Some(0));
    assert_eq!(run(at, "targets remove menus").code, 0);
    assert!(!run(at, "targets list").stdout.contains("menus"));
}

/// Guards against customers and teams that cannot be managed from the command line, and against
/// generated tokens that do not have the printed digest.
#[tokio::test(flavor = "multi_thread")]
async fn customers_and_teams_are_set_by_digest() {
    let fleet = Fleet::start(1, 1, 0).await;
    let at = fleet.routers[0].address("operators");
    let new = run(at, "token");
    let words: Vec<&str> = new.stdout.split_whitespace().collect();
    assert_eq!((words[0], words[2]), ("token", "digest"), "{new:?}");
    assert_eq!(words[3], token_digest(words[1]));
    assert_ne!(run(at, "token").stdout, new.stdout);
    let file = temp_file("token", &format!("{}\n", words[1]));
    let file = file.to_str().unwrap();
    let digest = run(at, &format!("token --digest-of {file}"));
    assert_eq!(digest.stdout, format!("digest {}\n", words[3]));

    let set = run(at, &format!("teams set cooks --token-digest {}", words[3]));
    assert_eq!(set.code, 0, "{set:?}");
    let set = run(
        at,
        &format!("customers set acme --token-digest {}", words[3]),
    );
    assert_eq!(set.code, 0, "{set:?}");
    let refused = run(at, &format!("customers list --token-file {file}"));
    assert_eq!(refused.code, 5, "{refused:?}");
    assert!(refused.stderr.contains("admin"), "{refused:?}");
    assert!(run(at, "customers list").stdout.contains("acme"));
    assert_eq!(run(at, "customers remove acme").code, 0);
    assert_eq!(run(at, "teams remove cooks").code, 0);
    let gone = run(at, "teams remove cooks");
    assert_eq!(gone.code, 5, "{gone:?}");
    assert!(gone.stderr.contains("\"cooks\" does not exist"), "{gone:?}");
}

/// Starts a fake router that answers a read with a class and a write with `answer`, which has the
/// form `STATUS|BODY`. If `answer` is empty, it closes the connection on a write without an answer.
fn fake_router(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buffer = [0; 4096];
            let length = stream.read(&mut buffer).unwrap_or(0);
            let read = r#"{"version":7,"class":{"team":"t","targets":{"first_token":1.0,"between_tokens":0.1,"answered":0.9,"deadline":9.0,"repeat":"allowed"}}}"#;
            let (status, body) = match buffer[..length].starts_with(b"GET") {
                true => ("200 OK", read),
                false => answer.split_once('|').unwrap_or(("", "")),
            };
            if !status.is_empty() {
                let head = format!(
                    "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all(format!("{head}{body}").as_bytes());
            }
        }
    });
    address
}

/// Guards against scripts that are wrong about whether a change was made: each outcome of a change
/// has a distinct exit code and a message that says what to do.
#[test]
fn each_end_of_a_change_has_its_exit_code() {
    let conflict = r#"409 Conflict|{"result":"conflict","version":9}"#;
    let unknown = r#"504 Gateway Timeout|{"result":"unknown-read-again","problems":["it may have been made"]}"#;
    let down = r#"503 Service Unavailable|{"result":"refused","problems":["the change was not made: the platform is down"]}"#;
    for (answer, code, words) in [
        (conflict, 4, "nothing was changed"),
        (unknown, 7, "look at the entry"),
        (down, 6, "not made"),
        ("500 Internal Server Error|", 7, "look at the entry"),
        ("200 OK|{}", 7, "not understood"),
        ("", 7, "look at the entry"),
    ] {
        let ran = run(fake_router(answer), "targets set menus --answered 0.95");
        assert_eq!(ran.code, code, "{answer}: {ran:?}");
        assert!(ran.stderr.contains(words), "{answer}: {ran:?}");
    }
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let ran = run(nobody, "targets set menus --answered 0.95");
    assert_eq!(ran.code, 6, "{ran:?}");
    assert!(
        ran.stderr.contains("could not connect to 127.0.0.1:1"),
        "{ran:?}"
    );
}

/// Guards against wrong arguments that are accepted, or refused without an explanation.
#[test]
fn mistakes_in_arguments_are_explained() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    for (line, words) in [
        ("targets set menus --repeat maybe", "'allowed' or 'never'"),
        ("targets set Menus! --answered 0.9", "a-z"),
        ("customers set acme", "--token-digest"),
        ("status --output xml", "'text' or 'json'"),
        ("status --token-file /does/not/exist", "/does/not/exist"),
        ("status --weight 3", "--weight"),
        ("check --config /does/not/exist", "/does/not/exist"),
    ] {
        let ran = run(nobody, line);
        assert_eq!(ran.code, 2, "{line}: {ran:?}");
        assert!(ran.stderr.contains(words), "{line}: {ran:?}");
    }
    for (line, words) in [
        ("targets set --help", "the exit code is 4"),
        ("run --help", "Exits with 0 after a drain"),
    ] {
        let help = run(nobody, line);
        assert_eq!(help.code, 0);
        // Help texts are wrapped to the width of the terminal.
        let text: Vec<&str> = help.stdout.split_whitespace().collect();
        assert!(text.join(" ").contains(words), "{line}: {help:?}");
    }
}

/// Settings without a mistake.
const SETTINGS: &str = "id: r1\ndomain: d1\nregion: g1\n\
    listen: {callers: '127.0.0.1:1', operators: '127.0.0.1:2', peers: '127.0.0.1:3'}\n\
    platform: {table: '127.0.0.1:4', objects: '127.0.0.1:4', members: '127.0.0.1:4'}\n\
    peers: {key: '5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a'}\n";

/// Guards against settings that are accepted in spite of a mistake, and against messages that name
/// neither the field nor how to correct it.
#[test]
fn check_reports_every_mistake_in_settings() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let check = |name: &str, text: &str| {
        let file = temp_file(name, text);
        run(
            nobody,
            &format!("check --config {}", file.to_str().unwrap()),
        )
    };
    let good = check("good.yaml", SETTINGS);
    assert_eq!(good.code, 0, "{good:?}");
    for (name, added, words) in [
        ("unknown.yaml", "weight: 3\n", &["weight", "remove it"][..]),
        (
            "type.yaml",
            "load: {multiple: much}\n",
            &["load.multiple", "number"],
        ),
        (
            "range.yaml",
            "load: {multiple: 99}\n",
            &["load.multiple", "99", "1.01 to 10"],
        ),
        ("twice.yaml", "id: r2\n", &["id", "remove the other"]),
        (
            "unit.yaml",
            "drain: {limit: 5s}\n",
            &["drain.limit", "seconds"],
        ),
        ("broken.yaml", "load: {multiple: 2\n", &["broken.yaml"]),
        (
            "two.yaml",
            "weight: 3\nload: {multiple: 99}\n",
            &["weight", "load.multiple"],
        ),
    ] {
        let ran = check(name, &format!("{SETTINGS}{added}"));
        assert_eq!(ran.code, 2, "{name}: {ran:?}");
        for word in words {
            assert!(ran.stderr.contains(word), "{name}: {word}: {ran:?}");
        }
        assert!(
            !ran.stderr.contains("5a5a5a"),
            "{name}: the message shows the key: {ran:?}"
        );
    }
}

/// A configuration of the users' platform with one route.
fn platform_configuration(version: u32, goal: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"read","host":"a.example","path_prefix":"/read/",
        "route_kind":"idempotent","timeout_ms":1000,"goal_ms":{goal},"service":"app"}}],
        "services":[{{"name":"app","health_path":"/healthz","max_conns":10}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1024,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}}}"#
    )
}

/// Guards against a check whose exit code does not tell a script whether a configuration may be sent, and
/// against findings without the path of the operators' own field.
#[test]
fn a_configuration_is_checked_before_it_is_sent() {
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let old = temp_file("in-force.json", &platform_configuration(7, 300));
    let new = temp_file("next.json", &platform_configuration(8, 2000));
    let (old, new) = (old.display(), new.display());
    let checked = run(unused, &format!("check --manifest {new} --in-force {old}"));
    assert_eq!(checked.code, 0, "{checked:?}");
    let lines: Vec<&str> = checked.stdout.lines().collect();
    assert!(
        lines[0].starts_with("warning: routes[read].goal_ms: "),
        "{lines:?}"
    );
    assert!(
        lines[1].starts_with("change: routes[read].goal_ms: "),
        "{lines:?}"
    );
    let back = run(
        unused,
        &format!("check --manifest {old} --in-force {new} --json"),
    );
    assert_eq!(back.code, 2, "{back:?}");
    let first = back.stdout.lines().next().expect("a finding");
    let first: serde_json::Value = serde_json::from_str(first).expect("JSON");
    assert_eq!(first["severity"], "error");
    assert_eq!(first["path"], "version");
    let broken = temp_file("broken.json", "{}");
    let broken = run(unused, &format!("check --manifest {}", broken.display()));
    assert_eq!(broken.code, 2, "{broken:?}");
    assert!(
        broken.stderr.contains("is not a configuration"),
        "{broken:?}"
    );
}
