//! Cost of idle routers: processor time, memory and control traffic of each, for given numbers of
//! routers and endpoints. docs/CAPACITY.md uses its figures.
//!
//! ```console
//! $ cargo bench --bench capacity -- 8 20 20
//! ```
//!
//! The arguments are the number of routers, the number of endpoints and the seconds to measure.
//! Routers run as separate processes in four failure domains. All endpoints in the membership list
//! have the address of one fake engine, which answers the probes of all of them.

mod memory;
#[path = "../tests/support/mod.rs"]
mod support;

use sequoiaridge::core::{Member, MemberState, Role};
use sequoiaridge::fakes::platform::{PlatformCommand, list_entry};
use std::net::SocketAddr;
use std::time::Duration;
use support::fleet::{Fleet, RouterOptions, configure};
use support::{Caller, Process};

/// Clock ticks per second in /proc/PID/stat.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time before the measurement in which gossip and probes settle.
const WARM_UP: Duration = Duration::from_secs(8);
const DOMAINS: usize = 4;

/// Resources that one router has used so far: seconds of processor time, and bytes.
#[derive(Clone, Copy, Default)]
struct Usage {
    cpu: f64,
    memory: f64,
    sent: f64,
    received: f64,
}

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let [routers, endpoints, seconds] = numbers[..] else {
        println!("usage: cargo bench --bench capacity -- ROUTERS ENDPOINTS SECONDS");
        return;
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(measure(
        routers,
        endpoints,
        Duration::from_secs(seconds as u64),
    ));
}

async fn measure(routers: usize, endpoints: usize, time: Duration) {
    let platform = Process::start(&["fake", "platform"]);
    configure(platform.address("http")).await;
    let engine = Process::start(&["fake", "engine", "--id", "engine", "--model", "small"]);
    let mut members = Vec::new();
    let key = "5a".repeat(32);
    let options = RouterOptions {
        peer_key: &key,
        settings: "",
    };
    let processes: Vec<Process> = (0..routers)
        .map(|number| {
            let router =
                Fleet::spawn_router(platform.address("http"), &[], number, DOMAINS, &options);
            members.push(member(
                number,
                "router",
                Role::Router,
                router.address("peers"),
            ));
            router
        })
        .collect();
    let address = engine.address("http");
    members.extend((0..endpoints).map(|at| member(at, "engine", Role::Engine, address)));
    let body = PlatformCommand::Members {
        members: members.iter().map(list_entry).collect(),
    };
    let operator = Caller::new(support::fleet::OPERATOR);
    let body = serde_json::to_vec(&body).expect("a command is valid JSON");
    let sent = operator.send(
        platform.address("http"),
        http::Method::POST,
        "/control",
        &[],
        body,
    );
    assert_eq!(sent.await.expect("the platform answers").status, 200);
    tokio::time::sleep(WARM_UP).await;
    let before = usage(&operator, &processes).await;
    tokio::time::sleep(time).await;
    let after = usage(&operator, &processes).await;
    report(routers, endpoints, time, &before, &after);
}

fn member(number: usize, kind: &str, role: Role, address: SocketAddr) -> Member {
    let serves = if role == Role::Router {
        Vec::new()
    } else {
        vec!["small".to_string()]
    };
    Member {
        id: format!("{kind}-{number}"),
        role,
        domain: format!("domain-{}", number % DOMAINS),
        region: "local".to_string(),
        state: MemberState::Live,
        address,
        capacity: if serves.is_empty() { 0 } else { 8 },
        serves,
        deduplicates: false,
    }
}

async fn usage(operator: &Caller, processes: &[Process]) -> Vec<Usage> {
    let mut all = Vec::new();
    for process in processes {
        let address = process.address("operators");
        let sent = operator.send(address, http::Method::GET, "/metrics", &[], "");
        let text = sent.await.expect("metrics").text();
        let bytes = |direction: &str| -> f64 {
            let counted = text.lines().filter(|line| {
                line.starts_with("sequoiaridge_control_traffic_bytes_total")
                    && line.contains(&format!("direction=\"{direction}\""))
                    // The list comes from the platform, not over the connections between routers.
                    && !line.contains("kind=\"list\"")
            });
            counted
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum()
        };
        let id = process.id();
        all.push(Usage {
            cpu: cpu_seconds(id),
            memory: memory::resident_bytes(&id.to_string()),
            sent: bytes("sent"),
            received: bytes("received"),
        });
    }
    all
}

/// Returns the user and system time of a process in seconds.
fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn report(routers: usize, endpoints: usize, time: Duration, before: &[Usage], after: &[Usage]) {
    let seconds = time.as_secs_f64();
    let rates: Vec<Usage> = before
        .iter()
        .zip(after)
        .map(|(b, a)| Usage {
            cpu: (a.cpu - b.cpu) / seconds * 100.0,
            memory: a.memory / 1e6,
            sent: (a.sent - b.sent) / seconds / 1e3,
            received: (a.received - b.received) / seconds / 1e3,
        })
        .collect();
    let mean = |get: fn(&Usage) -> f64| rates.iter().map(get).sum::<f64>() / rates.len() as f64;
    let most = |get: fn(&Usage) -> f64| rates.iter().map(get).fold(0.0, f64::max);
    println!(
        "routers {routers} endpoints {endpoints}: cpu {:.2} % (most {:.2}), memory {:.1} MB (most {:.1}), \
         sent {:.2} KB/s (most {:.2}), received {:.2} KB/s (most {:.2})",
        mean(|u| u.cpu),
        most(|u| u.cpu),
        mean(|u| u.memory),
        most(|u| u.memory),
        mean(|u| u.sent),
        most(|u| u.sent),
        mean(|u| u.received),
        most(|u| u.received),
    );
}
