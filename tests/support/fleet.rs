//! A fleet of separate processes: platform, engines, services and routers.

use super::{Caller, Process, Reply, eventually, temp_file};
use http::Method;
use rand::random;
use sequoiaridge::core::{
    Change, Class, Customer, Member, MemberState, Repeat, Role, SystemClock, Targets, Team,
    token_digest,
};
use sequoiaridge::fakes::control::{Control, JournalEntry};
use sequoiaridge::fakes::platform::{PlatformCommand, list_entry};
use sequoiaridge::http::{Client, ClientConfig};
use sequoiaridge::store::{AppendOutcome, ConfigLog, HttpObjectStore, HttpTable};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

pub const CALLER: &str = "caller-token";
/// Token of a second customer.
pub const OTHER_CALLER: &str = "other-caller-token";
pub const OPERATOR: &str = "operator-token";

/// Settings of a router beyond its identity and addresses.
pub struct RouterExtras<'a> {
    /// Peer key in hexadecimal.
    pub key: &'a str,
    /// Further lines, in YAML.
    pub settings: &'a str,
}

/// A fleet whose processes end with it.
pub struct Fleet {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub routers: Vec<Process>,
    pub caller: Caller,
    pub operator: Caller,
    /// Lines that are added to the settings of each router.
    pub settings: String,
    members: Vec<Member>,
    /// Peer key in hexadecimal. Each fleet has its own: tests run side by side, and the port of a
    /// router that ended may be taken by a router of another fleet.
    pub key: String,
}

impl Fleet {
    /// Starts a fleet and waits until it serves.
    pub async fn start(routers: usize, engines: usize, services: usize) -> Fleet {
        Fleet::start_with(routers, engines, services, "").await
    }

    /// Starts a fleet whose routers have further settings, in YAML.
    pub async fn start_with(
        routers: usize,
        engines: usize,
        services: usize,
        settings: &str,
    ) -> Fleet {
        let platform = Process::start(&["fake", "platform"]);
        configure(platform.address("http")).await;
        let mut fleet = Fleet {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            caller: Caller::new(CALLER),
            operator: Caller::new(OPERATOR),
            settings: settings.to_string(),
            members: Vec::new(),
            key: format!("{:032x}{:032x}", random::<u128>(), random::<u128>()),
        };
        (0..engines).for_each(|_| fleet.add_engine());
        (0..services).for_each(|_| fleet.add_service());
        (0..routers).for_each(|_| fleet.add_router());
        fleet.publish().await;
        fleet.wait_ready().await;
        fleet
    }

    /// Starts one more engine; [`Fleet::publish`] makes it known.
    pub fn add_engine(&mut self) {
        let number = self.engines.len();
        let id = format!("engine-{number}");
        let engine = start_engine(&id);
        let address = engine.address("http");
        self.engines.push(engine);
        self.add_member(&id, Role::Engine, number, address, "small");
    }

    /// Replaces an engine that ended by a new process of the same name; [`Fleet::publish`] makes its
    /// address known.
    pub fn restart_engine(&mut self, number: usize) {
        let id = format!("engine-{number}");
        self.engines[number] = start_engine(&id);
        let address = self.engines[number].address("http");
        let mut members = self.members.iter_mut();
        members.find(|member| member.id == id).unwrap().address = address;
    }

    /// Starts one more instance of the booking service.
    pub fn add_service(&mut self) {
        let number = self.services.len();
        let id = format!("booking-{number}");
        let args = ["fake", "service", "--id", &id, "--name", "booking"];
        let service = Process::start(&args);
        let address = service.address("http");
        self.services.push(service);
        self.add_member(&id, Role::Service, number, address, "booking");
    }

    /// Starts one more router.
    pub fn add_router(&mut self) {
        let number = self.routers.len();
        let id = format!("router-{number}");
        let router = self.start_router(number);
        let address = router.address("peers");
        self.routers.push(router);
        self.add_member(&id, Role::Router, number, address, "");
    }

    /// Replaces a router that ended by a new process of the same name.
    pub fn restart_router(&mut self, number: usize) {
        let id = format!("router-{number}");
        self.routers[number] = self.start_router(number);
        let address = self.routers[number].address("peers");
        let entry = self
            .members
            .iter_mut()
            .find(|member| member.id == id)
            .unwrap();
        entry.address = address;
    }

    fn start_router(&self, number: usize) -> Process {
        let seeds: Vec<_> = self.routers.iter().map(|r| r.address("peers")).collect();
        Fleet::router(
            self.platform.address("http"),
            &seeds,
            number,
            2,
            &self.own_settings(),
        )
    }

    fn own_settings(&self) -> RouterExtras<'_> {
        RouterExtras {
            key: &self.key,
            settings: &self.settings,
        }
    }

    /// Starts a router as a process.
    pub fn router(
        platform: SocketAddr,
        seeds: &[SocketAddr],
        number: usize,
        domains: usize,
        extras: &RouterExtras<'_>,
    ) -> Process {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("'{seed}'")).collect();
        let text = format!(
            "id: router-{number}\ndomain: domain-{}\nregion: local\n\
             listen: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}\n\
             platform: {{table: '{platform}', objects: '{platform}', members: '{platform}'}}\n\
             peers: {{key: '{}', seeds: [{}]}}\n{}",
            number % domains,
            extras.key,
            seeds.join(", "),
            extras.settings,
        );
        let file = temp_file(&format!("router-{number}-{}.yaml", platform.port()), &text);
        Process::start(&["run", "--config", file.to_str().unwrap()])
    }

    fn add_member(
        &mut self,
        id: &str,
        role: Role,
        number: usize,
        address: SocketAddr,
        serves: &str,
    ) {
        let serves: Vec<String> = Some(serves.to_string())
            .filter(|name| !name.is_empty())
            .into_iter()
            .collect();
        self.members.push(Member {
            id: id.to_string(),
            role,
            domain: format!("domain-{}", number % 2),
            region: "local".to_string(),
            state: MemberState::Live,
            address,
            capacity: if serves.is_empty() { 0 } else { 8 },
            serves,
            deduplicates: false,
        });
    }

    /// Puts the members into the platform's list.
    pub async fn publish(&self) {
        let members = self.members.iter().map(list_entry).collect();
        self.order(PlatformCommand::Members { members }).await;
    }

    /// Marks a member as leaving, or removes it, in the next published list.
    pub fn unlist(&mut self, id: &str) {
        self.members.retain(|member| member.id != id);
    }

    /// Orders a failure of the platform.
    pub async fn order(&self, order: PlatformCommand) {
        let body = serde_json::to_vec(&order).unwrap();
        let address = self.platform.address("http");
        let reply = self
            .operator
            .send(address, Method::POST, "/control", &[], body)
            .await;
        assert_eq!(reply.expect("the platform answers").status, 200);
    }

    /// Waits until every router serves and sees all endpoints up.
    pub async fn wait_ready(&self) {
        for number in 0..self.routers.len() {
            let expected = self.engines.len() + self.services.len();
            eventually("the router sees every endpoint up", || async {
                self.up_endpoints(number).await >= expected
            })
            .await;
        }
    }

    /// Number of endpoints that a router sees up.
    pub async fn up_endpoints(&self, number: usize) -> usize {
        match self.status(number).await {
            Some(status) => status["endpoints"]
                .as_array()
                .map_or(0, |all| all.iter().filter(|e| e["state"] == "up").count()),
            None => 0,
        }
    }

    /// State of the fleet as one router reports it.
    pub async fn status(&self, number: usize) -> Option<serde_json::Value> {
        let address = self.routers[number].address("operators");
        let sent = self
            .operator
            .send(address, Method::GET, "/admin/v1/status", &[], "");
        sent.await
            .ok()
            .filter(|reply| reply.status == 200)
            .map(|reply| reply.json())
    }

    /// Number of the router that owns an endpoint, as another router sees it.
    pub async fn owner_of(&self, endpoint: &str, seen_by: usize) -> usize {
        let status = self.status(seen_by).await.expect("the router answers");
        let endpoints = status["endpoints"].as_array().expect("a list");
        let entry = endpoints.iter().find(|entry| entry["id"] == endpoint);
        let owner = entry.expect("the endpoint is known")["owner"].as_str();
        let number = owner.and_then(|id| id.strip_prefix("router-"));
        number.expect("a router").parse().expect("a number")
    }

    /// Sets targets of a class, with the team that all classes have, and waits until every router has
    /// them in force.
    pub async fn set_targets(&self, name: &str, targets: Targets) {
        let class = serde_json::json!({ "team": "team", "targets": targets });
        let status = self.status(0).await.expect("the router answers");
        let base = status["version"].as_u64().expect("a version");
        let reply = self.put_class(0, name, &class.to_string(), base).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        let pending = reply.json()["pending"].clone();
        assert_eq!(pending, serde_json::json!([]), "{}", reply.text());
    }

    /// What all services ran.
    pub async fn journal(&self) -> Vec<JournalEntry> {
        let mut journal = Vec::new();
        for number in 0..self.services.len() {
            let entries = self.service(number).journal().await;
            journal.extend(entries.expect("the service answers"));
        }
        journal
    }

    /// Sends a chat of one turn in a task of its own.
    pub fn spawn_chat(&self, router: usize, id: &str, stream: bool) -> JoinHandle<Reply> {
        let (caller, address, id) = (self.caller.clone(), self.callers(router), id.to_string());
        tokio::spawn(async move { caller.chat(address, &id, &["Scale it."], stream).await })
    }

    /// Address of a router for callers.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.routers[number].address("callers")
    }

    /// Controls an engine.
    pub fn engine(&self, number: usize) -> Control {
        Control::new(self.engines[number].address("http"))
    }

    /// Controls an instance of the booking service.
    pub fn service(&self, number: usize) -> Control {
        Control::new(self.services[number].address("http"))
    }

    /// How often the services ran a call with this key, together.
    pub async fn runs_of(&self, key: &str) -> u64 {
        let mut runs = 0;
        for number in 0..self.services.len() {
            runs += self
                .service(number)
                .runs_of(key)
                .await
                .expect("the service answers");
        }
        runs
    }

    /// Puts a class as an operator, based on a version.
    pub async fn put_class(&self, router: usize, name: &str, class: &str, base: u64) -> Reply {
        let address = self.routers[router].address("operators");
        let (path, base) = (format!("/admin/v1/classes/{name}"), base.to_string());
        let headers = [("if-match", base.as_str())];
        self.operator
            .send(address, Method::PUT, &path, &headers, class.to_string())
            .await
            .expect("the operators' address answers")
    }
}

/// Starts a process of an engine that takes 3 ms for each token.
fn start_engine(id: &str) -> Process {
    let args = ["fake", "engine", "--id", id, "--model", "small"];
    Process::start(&[&args[..], &["--output-token", "3000"]].concat())
}

/// Writes the configuration that all tests use: a team, two customers and the classes `chat`, whose calls
/// may be repeated, and `booking`, whose calls must not.
pub async fn configure(platform: SocketAddr) {
    let client = Client::new(ClientConfig::default());
    let table = Arc::new(HttpTable::new(platform, "sequoiaridge", client.clone()));
    let objects = Arc::new(HttpObjectStore::new(platform, "sequoiaridge", client));
    let log = ConfigLog::new(table, objects, Arc::new(SystemClock::new()));
    let class = |name: &str, targets| Change::SetClass {
        name: name.to_string(),
        class: Class {
            team: "team".to_string(),
            targets,
        },
    };
    let chat = Targets {
        first_token: 2.0,
        deadline: 20.0,
        ..Targets::default()
    };
    let booking = Targets {
        repeat: Repeat::Never,
        ..chat.clone()
    };
    let changes = [
        Change::SetTeam {
            name: "team".to_string(),
            team: Team {
                tokens: [token_digest(OPERATOR)].into(),
                admin: true,
            },
        },
        Change::SetCustomer {
            name: "customer".to_string(),
            customer: Customer {
                tokens: [token_digest(CALLER)].into(),
            },
        },
        class("chat", chat),
        class("booking", booking),
        Change::SetCustomer {
            name: "other".to_string(),
            customer: Customer {
                tokens: [token_digest(OTHER_CALLER)].into(),
            },
        },
    ];
    for (base, change) in changes.iter().enumerate() {
        let accept = log
            .append(base as u64, change)
            .await
            .expect("the platform answers");
        assert_eq!(accept, AppendOutcome::Committed(base as u64 + 1));
    }
}

/// Time that a fleet may take for what it does every second.
pub const SETTLE: Duration = Duration::from_secs(3);
