//! A fake that runs in a separate process.

use bytes::Bytes;
use hyper::{Method, Request};
use sequoiaridge_fakes::control::Control;
use sequoiaridge_fakes::service::{Service, ServiceConfig};
use sequoiaridge_http::{Client, ClientConfig, ClientError};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt;
use std::process::{Command, Stdio};
use std::time::Duration;

/// Set in the child process.
const CHILD: &str = "SEQUOIARIDGE_FAKES_CHILD";
/// Prefix of the output line with the child's address.
const ADDRESS_PREFIX: &str = "listening on ";
/// Time after which the child exits by itself, so that a failed test leaves no process behind.
const CHILD_LIFETIME: Duration = Duration::from_secs(20);
const SIGABRT: i32 = 6;

/// Guards against a crash command that leaves the process running. The test runs itself as the
/// child.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crash_command_aborts_a_separate_process() {
    if std::env::var_os(CHILD).is_some() {
        let config = ServiceConfig {
            abort: true,
            ..ServiceConfig::default()
        };
        let service = Service::start((Ipv4Addr::LOCALHOST, 0).into(), config).unwrap();
        println!("\n{ADDRESS_PREFIX}{}", service.address());
        return tokio::time::sleep(CHILD_LIFETIME).await;
    }
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args([
            "--exact",
            "crash_command_aborts_a_separate_process",
            "--nocapture",
        ])
        .env(CHILD, "1")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut lines = lines.map(|line| line.unwrap());
    let address = lines.find_map(|line| line.strip_prefix(ADDRESS_PREFIX).map(str::to_string));
    let address: SocketAddr = address.unwrap().parse().unwrap();
    let control = Control::new(address);
    control.crash_on("poison", Duration::ZERO).await.unwrap();
    let request = Request::builder().method(Method::POST).uri("/x");
    let request = request.body(Bytes::from("a poison pill")).unwrap();
    let timeout = Duration::from_secs(5);
    let client = Client::new(ClientConfig::default());
    let broken = client.send_fresh(address, request, timeout, timeout).await;
    assert_eq!(broken.unwrap_err(), ClientError::Broken(address));
    assert_eq!(child.wait().unwrap().signal(), Some(SIGABRT));
}
