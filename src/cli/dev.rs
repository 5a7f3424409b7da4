//! The command `sequoiaridge dev`: a small fleet in one process.

use super::{block_on, exit, failed, logs, terminated};
use sequoiaridge::core::{
    Change, Class, Customer, Member, MemberState, Repeat, Role, SystemClock, Targets, Team,
    token_digest,
};
use sequoiaridge::fakes::engine::{Engine, EngineConfig};
use sequoiaridge::fakes::platform::{Platform, PlatformCommand, PlatformConfig, list_entry};
use sequoiaridge::fakes::service::{Service, ServiceConfig};
use sequoiaridge::http::{Client, ClientConfig};
use sequoiaridge::router::Router;
use sequoiaridge::settings::{Environment, LogFormat, LogLevel, Settings};
use sequoiaridge::store::{AppendOutcome, ConfigLog, HttpObjectStore, HttpTable};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Tokens of the development fleet; they are not secret.
const CALLER_TOKEN: &str = "dev-caller";
const OPERATOR_TOKEN: &str = "dev-operator";
const TEAM: &str = "dev";
const MODEL: &str = "small";
const SERVICE: &str = "booking";

/// Runs the fleet until SIGTERM or SIGINT.
pub(crate) fn dev(port: u16) -> u8 {
    logs::start(LogFormat::Text, LogLevel::Warn);
    block_on(async {
        match Fleet::start(port).await {
            Ok(fleet) => {
                fleet.describe();
                terminated().await;
                fleet.stop().await;
                exit::OK
            }
            Err(error) => failed(&error.to_string()),
        }
    })
}

struct Fleet {
    platform: Platform,
    engines: Vec<Engine>,
    service: Service,
    routers: Vec<Router>,
}

impl Fleet {
    async fn start(port: u16) -> Result<Fleet, Box<dyn Error>> {
        let platform = Platform::start(loopback(0), PlatformConfig::default())?;
        let engines = (1..=3).map(engine).collect::<io::Result<Vec<_>>>()?;
        let config = ServiceConfig {
            id: "booking-1".to_string(),
            name: SERVICE.to_string(),
            ..ServiceConfig::default()
        };
        let service = Service::start(loopback(0), config)?;
        configure(platform.address()).await?;
        let mut routers = Vec::new();
        for (number, port) in [(1, port), (2, 0)] {
            let settings = settings(number, port, platform.address())?;
            routers.push(Router::start(settings, Arc::new(SystemClock::new())).await?);
        }
        let fleet = Fleet {
            platform,
            engines,
            service,
            routers,
        };
        let members = fleet.members().iter().map(list_entry).collect();
        fleet.platform.apply(PlatformCommand::Members { members });
        fleet.ready().await?;
        Ok(fleet)
    }

    fn members(&self) -> Vec<Member> {
        let entry = |id: String, role, domain: usize, address, serves: Vec<String>| Member {
            id,
            role,
            domain: format!("domain-{}", domain % 2 + 1),
            region: "local".to_string(),
            state: MemberState::Live,
            address,
            capacity: if serves.is_empty() { 0 } else { 8 },
            serves,
            deduplicates: false,
        };
        let routers = self.routers.iter().enumerate().map(|(at, router)| {
            entry(
                format!("router-{}", at + 1),
                Role::Router,
                at,
                router.peers(),
                Vec::new(),
            )
        });
        let engines = self.engines.iter().enumerate().map(|(at, engine)| {
            let serves = vec![MODEL.to_string()];
            entry(
                format!("engine-{}", at + 1),
                Role::Engine,
                at,
                engine.address(),
                serves,
            )
        });
        let serves = vec![SERVICE.to_string()];
        let id = "booking-1".to_string();
        let service = entry(id, Role::Service, 0, self.service.address(), serves);
        routers.chain(engines).chain([service]).collect()
    }

    /// Waits until both routers are ready, and 1.5 s more so that they have probed their endpoints.
    async fn ready(&self) -> Result<(), Box<dyn Error>> {
        let client = Client::new(ClientConfig::default());
        for _ in 0..100 {
            let mut ready = 0;
            for router in &self.routers {
                let (headers, body) = Default::default();
                let path = "/ready";
                let sent =
                    client.send(router.operators(), hyper::Method::GET, path, &headers, body);
                ready += usize::from(sent.await.is_ok_and(|answer| answer.status.is_success()));
            }
            if ready == self.routers.len() {
                tokio::time::sleep(Duration::from_millis(1500)).await;
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the routers did not become ready within 10 s".into())
    }

    fn describe(&self) {
        let (callers, operators) = (self.routers[0].callers(), self.routers[0].operators());
        println!("two routers, three engines, a service and a platform run on loopback");
        for (at, router) in self.routers.iter().enumerate() {
            let (number, callers, operators) = (at + 1, router.callers(), router.operators());
            println!("  router-{number}   callers http://{callers}   operators http://{operators}");
        }
        println!(
            "\nSend a chat; send it again with more messages, and it goes to the same engine:"
        );
        println!(
            "  curl -N http://{callers}/v1/chat/completions -H 'authorization: Bearer {CALLER_TOKEN}' \\\n    \
             -H 'x-work-class: chat' -H 'x-chat-id: 1' -d '{{\"model\":\"{MODEL}\",\"stream\":true,\
             \"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"Scale this recipe to 40 covers.\"}}]}}'"
        );
        println!("\nBook once, even if you repeat the command:");
        println!(
            "  curl http://{callers}/services/{SERVICE}/orders -H 'authorization: Bearer {CALLER_TOKEN}' \\\n    \
             -H 'x-work-class: booking' -H 'idempotency-key: order-1' -d '{{\"item\":\"masa\"}}'"
        );
        // The program may not be in PATH, for instance under `cargo run`.
        let program = std::env::current_exe()
            .map_or("sequoiaridge".into(), |path| path.display().to_string());
        println!("\nCreate a class, set its targets and show the state of the fleet:");
        println!("  export SEQUOIARIDGE_OPERATORS={operators} SEQUOIARIDGE_TOKEN={OPERATOR_TOKEN}");
        println!("  {program} targets set menu --team {TEAM} --first-token 1 --answered 0.95");
        println!("  {program} targets list");
        println!("  {program} status");
        println!("  curl http://{operators}/metrics");
        println!("\nPress Ctrl-C to stop.");
    }

    async fn stop(self) {
        for router in self.routers {
            router.drain().await;
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn engine(number: usize) -> io::Result<Engine> {
    let config = EngineConfig {
        id: format!("engine-{number}"),
        models: vec![MODEL.to_string()],
        output_token: Duration::from_millis(20),
        ..EngineConfig::default()
    };
    Engine::start(loopback(0), config)
}

/// Parses the settings of one router from text in the form of a settings file.
fn settings(number: usize, port: u16, platform: SocketAddr) -> Result<Settings, Box<dyn Error>> {
    let operators = match port {
        0 => 0,
        port => port.checked_add(1).ok_or("--port must be below 65535")?,
    };
    let text = format!(
        "id: router-{number}\ndomain: domain-{number}\nregion: local\n\
         listen: {{callers: '127.0.0.1:{port}', operators: '127.0.0.1:{operators}', peers: '127.0.0.1:0'}}\n\
         platform: {{table: '{platform}', objects: '{platform}', members: '{platform}'}}\n\
         drain: {{limit: 5}}\n"
    );
    let key = hex_key(&format!(
        "development key of process {}",
        std::process::id()
    ));
    let environment = Environment {
        peer_key: Some(key),
        previous_peer_key: None,
    };
    Settings::parse(&text, &environment).map_err(|problems| {
        let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
        problems.join("; ").into()
    })
}

/// Derives a key of 32 bytes, in hexadecimal, from a text.
fn hex_key(text: &str) -> String {
    token_digest(text)
}

/// Writes the first configuration: a team, a customer and three classes.
async fn configure(platform: SocketAddr) -> Result<(), Box<dyn Error>> {
    let client = Client::new(ClientConfig::default());
    let table = Arc::new(HttpTable::new(platform, "sequoiaridge", client.clone()));
    let objects = Arc::new(HttpObjectStore::new(platform, "sequoiaridge", client));
    let log = ConfigLog::new(table, objects, Arc::new(SystemClock::new()));
    let class = |name: &str, targets| Change::SetClass {
        name: name.to_string(),
        class: Class {
            team: TEAM.to_string(),
            targets,
        },
    };
    let booking = Targets {
        first_token: 2.0,
        repeat: Repeat::Never,
        ..Targets::default()
    };
    let changes = [
        Change::SetTeam {
            name: TEAM.to_string(),
            team: Team {
                tokens: [token_digest(OPERATOR_TOKEN)].into(),
                admin: true,
            },
        },
        Change::SetCustomer {
            name: "dev".to_string(),
            customer: Customer {
                tokens: [token_digest(CALLER_TOKEN)].into(),
            },
        },
        class("default", Targets::default()),
        class("chat", Targets::default()),
        class("booking", booking),
    ];
    for (base, change) in changes.iter().enumerate() {
        match log.append(base as u64, change).await? {
            AppendOutcome::Committed(_) => {}
            other => return Err(format!("the configuration was not written: {other:?}").into()),
        }
    }
    Ok(())
}
