//! A small deployment for one case: the store, servers and routers, each router and server a process.

use crate::server::epoch_ms;
use crate::store::Store;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Host of every route.
pub const HOST: &str = "site.example";
/// Key of the only tenant.
pub const KEY: &str = "key-1";

/// What was sent, answered and run, in the order of time.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record file of a case.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record");
        Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Writes a line, with the time since the start of the case.
    pub fn note(&self, line: &str) {
        let time = self.start.elapsed().as_secs_f64();
        let line = format!("{time:9.3} s  {line}");
        println!("{line}");
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{line}");
    }
}

/// A process that ends with this value.
pub struct Process {
    child: Child,
    /// Address for requests.
    pub address: SocketAddr,
    /// Id or name.
    pub name: String,
    born: u64,
    log: PathBuf,
}

impl Process {
    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "kill -s {name}"
        );
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// What the process has logged.
    pub fn log(&self) -> String {
        let bytes = std::fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

unsafe extern "C" {
    fn prctl(option: i32, signal: u64, ...) -> i32;
}

/// Starts a process that the kernel kills when this program ends, however it ends.
fn spawn(command: &mut Command) -> std::io::Result<Child> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call between fork and exec is a single system call without memory of its own.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
    command.spawn()
}

/// A small deployment.
pub struct Site {
    /// The store.
    pub store: Store,
    store_address: SocketAddr,
    /// The record of the case.
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
    folder: PathBuf,
    program: PathBuf,
}

impl Site {
    /// Starts a site whose configuration has four routes, like those of the site `medida-gdl`.
    pub fn start(case: &Path) -> Site {
        let program = PathBuf::from("target/release/sequoiaridge");
        if !program.exists() {
            eprintln!("{} is not built", program.display());
            std::process::exit(2);
        }
        let folder = std::env::temp_dir().join(format!("case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let (store, store_address) = Store::start();
        store.put("op", "config", &configuration(1));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&case.join("record.txt"));
        record.note(if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        Site {
            store,
            store_address,
            record,
            trouble,
            folder,
            program,
        }
    }

    /// Starts a server that is not listed yet.
    pub fn server(&self, id: &str, delay: Duration) -> Process {
        let address = free_address();
        let log = self.folder.join(format!("{id}.log"));
        let own = std::env::current_exe().expect("the path of this program");
        let mut command = Command::new(own);
        command
            .args(["server", id, &address.to_string()])
            .arg(&log)
            .arg(delay.as_millis().to_string())
            .stdout(Stdio::null());
        let child = spawn(&mut command).expect("a server");
        wait_for(|| TcpStream::connect(address).is_ok(), "a server listens");
        Process {
            child,
            address,
            name: id.to_string(),
            born: epoch_ms(),
            log,
        }
    }

    /// Writes the row of a server.
    pub fn list(&self, server: &Process, state: &str) {
        let row = format!(
            r#"{{"service":"svc","address":"{}","zone":"zapopan","version":"v1","slots":48,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
            server.address, server.born
        );
        self.store.put("servers", &server.name, &row);
        self.record.note(&format!(
            "the store lists server {} as {state}",
            server.name
        ));
    }

    /// Starts a router with the command of the deploy file, and waits until it is ready.
    pub fn router(&self, name: &str) -> Process {
        let [callers, readiness] = [free_address(), free_address()];
        let peers = free_address().port();
        let settings = self.folder.join(format!("{name}.toml"));
        let text = settings_text(name, callers, readiness, peers, self.store_address);
        std::fs::write(&settings, text).expect("the settings");
        let log = self.folder.join(format!("{name}.log"));
        let output = File::create(&log).expect("a log");
        let mut command = Command::new(&self.program);
        command
            .arg("edge")
            .env("SEQUOIARIDGE_BOOT", &settings)
            .stdout(output.try_clone().expect("a log"))
            .stderr(output);
        let child = spawn(&mut command).expect("a router");
        let router = Process {
            child,
            address: callers,
            name: name.to_string(),
            born: 0,
            log,
        };
        wait_for(|| is_ready(readiness), "a router is ready");
        self.record.note(&format!("router {name} is ready"));
        router
    }

    /// Copies what a server ran into the record.
    pub fn record_runs(&self, server: &Process) {
        for line in server.log().lines() {
            self.record
                .note(&format!("server {} logged: {line}", server.name));
        }
    }

    /// Copies the lines of a router's log that name an attempt into the record.
    pub fn record_log(&self, router: &Process, attempt: &str) {
        for line in router.log().lines().filter(|line| line.contains(attempt)) {
            let line: String = line.chars().take(400).collect();
            self.record
                .note(&format!("router {} logged: {line}", router.name));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A free address for a process that binds it later, below the ephemeral ports of Linux.
pub fn free_address() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let first = std::process::id().wrapping_mul(7919);
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 12_000 + u16::try_from(next.wrapping_add(first) % 20_000).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits until a condition holds; the case cannot run if it does not within 10 s.
pub fn wait_for(condition: impl Fn() -> bool, what: &str) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    eprintln!("not within 10 s: {what}");
    std::process::exit(2);
}

fn is_ready(readiness: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(readiness) else {
        return false;
    };
    let request = "GET /sequoiaridge/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut head = [0; 12];
    std::io::Read::read_exact(&mut stream, &mut head).is_ok() && head.ends_with(b"200")
}

fn configuration(version: u64) -> String {
    let route = |prefix: &str, kind: &str, timeout: u32, attempts: u32, resumable: bool| {
        format!(
            r#"{{"name":"{prefix}","host":"{HOST}","path_prefix":"/{prefix}/","route_kind":"{kind}","timeout_ms":{timeout},"goal_ms":600,"priority":1,"service":"svc","max_attempts":{attempts},"anonymous":false,"sticky":false,"resumable":{resumable}}}"#
        )
    };
    let routes = [
        route("read", "idempotent", 10000, 2, false),
        route("order", "non_idempotent", 10000, 1, false),
        route("chat", "streaming", 12000, 2, true),
        route("talk", "streaming", 10000, 1, false),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"svc","health_path":"/healthz","max_conns":300}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bakery","api_keys":["{KEY}"]}}]}}"#,
        routes.join(",")
    )
}

/// A settings file as `DEPLOY.md` of the users' pages shows it, with the figures of `medida-gdl`.
fn settings_text(
    name: &str,
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: u16,
    store: SocketAddr,
) -> String {
    format!(
        r#"node_name = "{name}"
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zapopan"
region = "occidente"
internal_ports = [{peers}, {peers}]
bootstrap = false
discovery = "platform"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zapopan = "occidente"
[listen]
frontend = "{callers}"
readiness = "{readiness}"
[limits]
cpu_quota = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 56
reuse_window_s = 10
cap_factor = 2
[platform]
address = "{store}"
form = "table"
"#
    )
}
