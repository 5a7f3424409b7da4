//! What all cases share: the record, routers as processes, the balancer and clients' requests.

use crate::guard;
use crate::http::Channel;
use crate::server::{Server, wall_ms};
use crate::store::Store;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const HOST: &str = "site.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
/// Ports that are given to routers and servers.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 20_000;
const PROGRAM: &str = "target/release/sequoiaridge";

/// The file `record.txt` of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}

/// A free port of the loopback address. It is below the ephemeral ports, so that no connection
/// takes it before its process starts.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id().wrapping_mul(7919) + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + (offset % u32::from(PORTS)) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return SocketAddr::from(([127, 0, 0, 1], port));
        }
    }
}

/// A port that is free for UDP and TCP.
fn free_peer_port() -> u16 {
    loop {
        let port = free_address().port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A route of the manifest.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub goal_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

/// The manifest with these routes, all to one service.
pub fn manifest(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            let gap = if route.kind == "streaming" { r#","gap_target_ms":300"# } else { "" };
            format!(
                r#"{{"name":"r-{index}","host":"{HOST}","path_prefix":"{}","route_kind":"{}","timeout_ms":{},"goal_ms":{},"priority":1,"service":"app","max_attempts":{},"anonymous":false,"sticky":false,"resumable":{}{gap}}}"#,
                route.prefix, route.kind, route.timeout_ms, route.goal_ms, route.attempts, route.resumable
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// A router process. It keeps its addresses when it starts again.
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Router {
    /// Starts a router with the settings of a machine of medida-gdl.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Router {
        let (callers, readiness, peers) = (free_address(), free_address(), free_peer_port());
        let text = format!(
            r#"node_name = "{name}"
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "occidente"
internal_ports = [{peers},{peers}]
seed_nodes = []
bootstrap = false
in_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
[listen]
frontend = "{callers}"
readiness = "{readiness}"
[limits]
cpu_quota = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
outer_bound_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 56
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
cap_factor = 2
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
row_bytes = 65536
history_s = 20
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Router {
            name: name.to_string(),
            callers,
            readiness,
            settings,
            log,
            child,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.readiness)
    }

    pub fn signal(&self, name: &str) {
        // The shell has `kill` everywhere.
        let command = format!("kill -{name} {}", self.pid());
        let status = Command::new("sh").args(["-c", command.as_str()]).status();
        assert!(status.is_ok_and(|status| status.success()), "{command}");
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        guard::tell(&format!("-{}", self.child.id()));
    }

    /// Starts the process again, after it has ended.
    pub fn start_again(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, &self.log);
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let child = Command::new(PROGRAM)
        .arg("edge")
        .env("SEQUOIARIDGE_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("target/release/sequoiaridge");
    guard::tell(&format!("+{}", child.id()));
    child
}

/// What the platform's readiness probe sees.
pub fn is_ready(readiness: SocketAddr) -> bool {
    let request = format!("GET /sequoiaridge/readyz HTTP/1.1\r\nHost: {readiness}\r\n\r\n");
    let answer = Channel::open(readiness)
        .map(|mut channel| channel.call(request.as_bytes(), Duration::from_millis(900)));
    answer.is_ok_and(|answer| answer.status == 200)
}

/// A small deployment in a temporary folder.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub folder: PathBuf,
    pub runs: PathBuf,
    servers: usize,
}

impl Site {
    pub fn start(case: &Path, routes: &[Route]) -> Site {
        let folder =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), wall_ms()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        guard::start(&folder);
        let store = Store::start();
        store.put("op", "config", Some(&manifest(7, routes)));
        Site {
            record: Record::create(case),
            store,
            runs: folder.join("runs.log"),
            folder,
            servers: 0,
        }
    }

    /// Starts a server and lists it.
    pub fn server(&mut self) -> Server {
        self.server_at(free_address())
    }

    pub fn server_at(&mut self, address: SocketAddr) -> Server {
        self.servers += 1;
        let id = format!(
            "i-{:08x}",
            0x7f3a_91c2u32.wrapping_add(self.servers as u32 * 7919)
        );
        let server = Server::start(&id, address, self.runs.clone());
        self.list(&server, "ready", 1);
        server
    }

    pub fn list(&self, server: &Server, state: &str, sequence: u64) {
        self.store
            .put("servers", &server.id, Some(&server.row(state, sequence)));
        self.record.note(&format!(
            "store: servers/{} is {state}, sequence {sequence}, at {}",
            server.id, server.address
        ));
    }

    pub fn unlist(&self, server: &Server) {
        self.store.put("servers", &server.id, None);
        self.record
            .note(&format!("store: servers/{} is removed", server.id));
    }

    /// Starts a router and waits until it is ready.
    pub fn router(&self, name: &str, zone: &str) -> Option<Router> {
        let router = Router::start(&self.folder, name, zone, self.store.address);
        self.record.note(&format!(
            "router {name} starts, pid {}, callers {}",
            router.pid(),
            router.callers
        ));
        let ready = eventually(Duration::from_secs(10), || router.is_ready());
        ready.then_some(router)
    }

    /// What all servers have run, one line for each event.
    pub fn runs(&self) -> Vec<String> {
        let log = std::fs::read_to_string(&self.runs).unwrap_or_default();
        log.lines().map(str::to_string).collect()
    }

    /// The server that began to run an attempt, if any did.
    pub fn ran_at(&self, attempt: &str) -> Option<String> {
        let mark = format!(" RUN {attempt} ");
        let line = self.runs().into_iter().find(|line| line.contains(&mark))?;
        line.split(' ').nth(1).map(str::to_string)
    }

    /// Copies what the servers ran into the record.
    pub fn note_runs(&self) {
        for line in self.runs() {
            self.record.note(&format!("server: {line}"));
        }
    }
}

pub fn eventually(time: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Id of a client's attempt.
pub fn attempt_id(number: usize) -> String {
    format!("{:016x}", 0x9c41_d07b_e2a3_0000u64 + number as u64)
}

/// A client's request without a body, or with `Content-Length`.
pub fn request(
    method: &str,
    path: &str,
    attempt: &str,
    limit: Duration,
    body: &str,
    more: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {}\r\nX-Api-Key: {KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    )
    .into_bytes()
}
