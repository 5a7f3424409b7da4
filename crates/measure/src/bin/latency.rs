//! Latency and throughput of calls through one router, compared with calling the engine directly.
//!
//! `latency [CALLS]` starts a platform, an engine and a router in this process on loopback. It
//! sends the same chat completions to engine and router in alternate turns, so that other load on
//! the host affects both alike.

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::HeaderMap;
use sequoiaridge_core::{
    Change, Class, Customer, Member, MemberState, Role, SystemClock, Targets, Team, token_digest,
};
use sequoiaridge_fakes::engine::{Engine, EngineConfig};
use sequoiaridge_fakes::platform::{Platform, PlatformCommand, PlatformConfig, list_entry};
use sequoiaridge_http::{Client, ClientConfig};
use sequoiaridge_router::Router;
use sequoiaridge_settings::{Environment, Settings};
use sequoiaridge_store::{AppendOutcome, ConfigLog, HttpObjectStore, HttpTable};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

type BoxError = Box<dyn Error + Send + Sync>;

const TOKEN: &str = "latency-caller";
const MODEL: &str = "small";
/// Number of calls in each turn of one path.
const CALLS_PER_TURN: usize = 200;
/// Numbers of concurrent calls that are measured.
const CONCURRENCY: [usize; 2] = [1, 32];
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

fn main() -> Result<(), BoxError> {
    let calls = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(measure(calls.unwrap_or(4000)))
}

async fn measure(calls: usize) -> Result<(), BoxError> {
    let platform = Platform::start(loopback(), PlatformConfig::default())?;
    let engine = Engine::start(
        loopback(),
        EngineConfig {
            models: vec![MODEL.to_string()],
            capacity: 256,
            prompt_token: Duration::ZERO,
            output_token: Duration::ZERO,
            ..EngineConfig::default()
        },
    )?;
    configure(platform.address()).await?;
    let router = Router::start(settings(platform.address())?, Arc::new(SystemClock::new())).await?;
    let member = Member {
        id: "engine-1".to_string(),
        role: Role::Engine,
        domain: "domain-1".to_string(),
        region: "local".to_string(),
        state: MemberState::Live,
        address: engine.address(),
        capacity: 256,
        serves: vec![MODEL.to_string()],
        deduplicates: false,
    };
    let members = vec![list_entry(&member)];
    platform.apply(PlatformCommand::Members { members });
    let client = Client::new(ClientConfig::default());
    ready(&client, router.callers()).await?;
    for parallel in CONCURRENCY {
        let mut paths = [
            Path::new("direct", engine.address())?,
            Path::new("router", router.callers())?,
        ];
        for _ in 0..(calls / CALLS_PER_TURN).max(1) {
            for path in &mut paths {
                path.turn(&client, parallel).await?;
            }
        }
        paths.iter().for_each(|path| path.print(parallel));
    }
    router.drain().await;
    Ok(())
}

/// One path to the engine, with the measurements of its calls.
struct Path {
    name: &'static str,
    address: SocketAddr,
    delays: Histogram<u64>,
    time: Duration,
    calls: usize,
}

impl Path {
    fn new(name: &'static str, address: SocketAddr) -> Result<Path, BoxError> {
        Ok(Path {
            name,
            address,
            delays: Histogram::new(3)?,
            time: Duration::ZERO,
            calls: 0,
        })
    }

    /// Sends `CALLS_PER_TURN` calls, `parallel` at a time.
    async fn turn(&mut self, client: &Client, parallel: usize) -> Result<(), BoxError> {
        let start = Instant::now();
        let mut tasks = Vec::new();
        for task in 0..parallel {
            let (client, address) = (client.clone(), self.address);
            tasks.push(tokio::spawn(async move {
                let mut delays = Vec::new();
                for _ in 0..CALLS_PER_TURN / parallel {
                    let start = Instant::now();
                    call(&client, address, task).await?;
                    delays.push(start.elapsed());
                }
                Ok::<_, BoxError>(delays)
            }));
        }
        for task in tasks {
            for delay in task.await?? {
                self.delays.record(delay.as_micros() as u64)?;
                self.calls += 1;
            }
        }
        self.time += start.elapsed();
        Ok(())
    }

    fn print(&self, parallel: usize) {
        let at = |q| self.delays.value_at_quantile(q);
        println!(
            "{parallel} at a time, {}: {} calls, p50 {} us, p95 {} us, p99 {} us, {:.0} calls/s",
            self.name,
            self.calls,
            at(0.50),
            at(0.95),
            at(0.99),
            self.calls as f64 / self.time.as_secs_f64()
        );
    }
}

/// Sends one chat completion and reads its whole answer.
async fn call(client: &Client, address: SocketAddr, chat: usize) -> Result<(), BoxError> {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", format!("Bearer {TOKEN}").parse()?);
    headers.insert("x-work-class", "chat".parse()?);
    headers.insert("x-chat-id", chat.into());
    headers.insert("content-type", "application/json".parse()?);
    let body = format!(
        "{{\"model\":\"{MODEL}\",\"stream\":false,\"max_tokens\":8,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Name the tide tables of harbour {chat}.\"}}]}}"
    );
    let method = http::Method::POST;
    let path = "/v1/chat/completions";
    let answer = client.send(address, method, path, &headers, Bytes::from(body));
    let answer = answer.await?;
    let status = answer.status;
    answer.bytes(MAX_ANSWER_BYTES).await?;
    if !status.is_success() {
        return Err(format!("{address} answered {status}").into());
    }
    Ok(())
}

/// Waits until the router serves calls.
async fn ready(client: &Client, callers: SocketAddr) -> Result<(), BoxError> {
    for _ in 0..100 {
        if call(client, callers, 0).await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("the router did not serve calls within 10 s".into())
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn settings(platform: SocketAddr) -> Result<Settings, BoxError> {
    let text = format!(
        "id: router-1\ndomain: domain-1\nregion: local\n\
         listen: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}\n\
         platform: {{table: '{platform}', objects: '{platform}', members: '{platform}'}}\n\
         drain: {{limit: 5}}\n"
    );
    let environment = Environment {
        peer_key: Some(token_digest("latency")),
        previous_peer_key: None,
    };
    Settings::parse(&text, &environment).map_err(|problems| {
        let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
        problems.join("; ").into()
    })
}

/// Writes a team, a customer and a class.
async fn configure(platform: SocketAddr) -> Result<(), BoxError> {
    let client = Client::new(ClientConfig::default());
    let table = Arc::new(HttpTable::new(platform, "sequoiaridge", client.clone()));
    let objects = Arc::new(HttpObjectStore::new(platform, "sequoiaridge", client));
    let log = ConfigLog::new(table, objects, Arc::new(SystemClock::new()));
    let changes = [
        Change::SetTeam {
            name: "dev".to_string(),
            team: Team {
                tokens: [token_digest("latency-operator")].into(),
                admin: true,
            },
        },
        Change::SetCustomer {
            name: "dev".to_string(),
            customer: Customer {
                tokens: [token_digest(TOKEN)].into(),
            },
        },
        Change::SetClass {
            name: "chat".to_string(),
            class: Class {
                team: "dev".to_string(),
                targets: Targets::default(),
            },
        },
    ];
    for (base, change) in changes.iter().enumerate() {
        match log.append(base as u64, change).await? {
            AppendOutcome::Committed(_) => {}
            other => return Err(format!("the configuration was not written: {other:?}").into()),
        }
    }
    Ok(())
}
