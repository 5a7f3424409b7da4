//! A fleet of separate processes: the fake platform, fake engines and services, and routers.

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

/// Token of the customer `customer`.
pub const CALLER: &str = "caller-token";
/// Token of a second customer, `other`.
pub const OTHER_CALLER: &str = "other-caller-token";
/// Token of the team `team`, which has administrator rights.
pub const OPERATOR: &str = "operator-token";

/// Settings of a router other than its identity and its addresses.
pub struct RouterOptions<'a> {
    /// Peer key in hexadecimal.
    pub peer_key: &'a str,
    /// Further settings, in YAML.
    pub settings: &'a str,
}

/// A fleet whose processes are killed when it is dropped.
pub struct Fleet {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub routers: Vec<Process>,
    pub caller: Caller,
    pub operator: Caller,
    /// Settings in YAML that are added to those of each router.
    pub settings: String,
    members: Vec<Member>,
    /// Peer key in hexadecimal. Each fleet has its own key: tests run in parallel, and a router of
    /// another fleet may take the port of a router that ended.
    pub peer_key: String,
}

impl Fleet {
    /// Starts a fleet and waits until every router sees every endpoint up.
    pub async fn start(routers: usize, engines: usize, services: usize) -> Fleet {
        Fleet::start_with(routers, engines, services, "").await
    }

    /// Starts a fleet whose routers have further settings, in YAML, and waits as [`Fleet::start`]
    /// does.
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
            peer_key: format!("{:032x}{:032x}", random::<u128>(), random::<u128>()),
        };
        (0..engines).for_each(|_| fleet.add_engine());
        (0..services).for_each(|_| fleet.add_service());
        (0..routers).for_each(|_| fleet.add_router());
        fleet.publish().await;
        fleet.wait_ready().await;
        fleet
    }

    /// Starts one more engine. The routers learn of it from [`Fleet::publish`].
    pub fn add_engine(&mut self) {
        let number = self.engines.len();
        let id = format!("engine-{number}");
        let engine = start_engine(&id);
        let address = engine.address("http");
        self.engines.push(engine);
        self.add_member(&id, Role::Engine, number, address, "small");
    }

    /// Replaces an engine that ended by a new process with the same id. The routers learn its
    /// address from [`Fleet::publish`].
    pub fn restart_engine(&mut self, number: usize) {
        let id = format!("engine-{number}");
        self.engines[number] = start_engine(&id);
        let address = self.engines[number].address("http");
        let mut members = self.members.iter_mut();
        members.find(|member| member.id == id).unwrap().address = address;
    }

    /// Starts one more instance of the booking service. The routers learn of it from
    /// [`Fleet::publish`].
    pub fn add_service(&mut self) {
        let number = self.services.len();
        let id = format!("booking-{number}");
        let args = ["fake", "service", "--id", &id, "--name", "booking"];
        let service = Process::start(&args);
        let address = service.address("http");
        self.services.push(service);
        self.add_member(&id, Role::Service, number, address, "booking");
    }

    /// Starts one more router, whose seeds are the routers that were started before.
    pub fn add_router(&mut self) {
        let number = self.routers.len();
        let id = format!("router-{number}");
        let router = self.start_router(number);
        let address = router.address("peers");
        self.routers.push(router);
        self.add_member(&id, Role::Router, number, address, "");
    }

    /// Replaces a router that ended by a new process with the same id, on new ports.
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
        Fleet::spawn_router(
            self.platform.address("http"),
            &seeds,
            number,
            2,
            &self.router_options(),
        )
    }

    fn router_options(&self) -> RouterOptions<'_> {
        RouterOptions {
            peer_key: &self.peer_key,
            settings: &self.settings,
        }
    }

    /// Starts a router as a process, in failure domain `number % domains`.
    pub fn spawn_router(
        platform: SocketAddr,
        seeds: &[SocketAddr],
        number: usize,
        domains: usize,
        options: &RouterOptions<'_>,
    ) -> Process {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("'{seed}'")).collect();
        let text = format!(
            "id: router-{number}\ndomain: domain-{}\nregion: local\n\
             listen: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}}\n\
             platform: {{table: '{platform}', objects: '{platform}', members: '{platform}'}}\n\
             peers: {{key: '{}', seeds: [{}]}}\n{}",
            number % domains,
            options.peer_key,
            seeds.join(", "),
            options.settings,
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

    /// Replaces the platform's membership list by the members of this fleet.
    pub async fn publish(&self) {
        let members = self.members.iter().map(list_entry).collect();
        self.send_command(PlatformCommand::Members { members })
            .await;
    }

    /// Removes a member from the list that [`Fleet::publish`] sends next. Its process goes on.
    pub fn remove_member(&mut self, id: &str) {
        self.members.retain(|member| member.id != id);
    }

    /// Sends a command to the fake platform, such as to fail, to recover or to change its list.
    pub async fn send_command(&self, command: PlatformCommand) {
        let body = serde_json::to_vec(&command).unwrap();
        let address = self.platform.address("http");
        let reply = self
            .operator
            .send(address, Method::POST, "/control", &[], body)
            .await;
        assert_eq!(reply.expect("the platform answers").status, 200);
    }

    /// Waits until every router sees every endpoint up.
    pub async fn wait_ready(&self) {
        for number in 0..self.routers.len() {
            let expected = self.engines.len() + self.services.len();
            eventually("the router sees every endpoint up", || async {
                self.up_endpoints(number).await >= expected
            })
            .await;
        }
    }

    /// Returns how many endpoints a router sees up; 0 if it gives no status.
    pub async fn up_endpoints(&self, number: usize) -> usize {
        match self.status(number).await {
            Some(status) => status["endpoints"]
                .as_array()
                .map_or(0, |all| all.iter().filter(|e| e["state"] == "up").count()),
            None => 0,
        }
    }

    /// Returns the status that one router reports; `None` if it does not answer with 200.
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

    /// Returns the number of the router that owns an endpoint, according to the status of the
    /// router `seen_by`.
    pub async fn owner_of(&self, endpoint: &str, seen_by: usize) -> usize {
        let status = self.status(seen_by).await.expect("the router answers");
        let endpoints = status["endpoints"].as_array().expect("a list");
        let entry = endpoints.iter().find(|entry| entry["id"] == endpoint);
        let owner = entry.expect("the endpoint is known")["owner"].as_str();
        let number = owner.and_then(|id| id.strip_prefix("router-"));
        number.expect("a router").parse().expect("a number")
    }

    /// Sets the targets of a class of the team `team`, and waits until they are in force at every
    /// router. Panics if the answer names a router where they are not.
    pub async fn set_targets(&self, name: &str, targets: Targets) {
        let class = serde_json::json!({ "team": "team", "targets": targets });
        let status = self.status(0).await.expect("the router answers");
        let base = status["version"].as_u64().expect("a version");
        let reply = self.put_class(0, name, &class.to_string(), base).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        let pending = reply.json()["pending"].clone();
        assert_eq!(pending, serde_json::json!([]), "{}", reply.text());
    }

    /// Returns the calls that the services ran, of all instances together.
    pub async fn journal(&self) -> Vec<JournalEntry> {
        let mut journal = Vec::new();
        for number in 0..self.services.len() {
            let entries = self.service(number).journal().await;
            journal.extend(entries.expect("the service answers"));
        }
        journal
    }

    /// Sends a chat of one turn in a new task.
    pub fn spawn_chat(&self, router: usize, id: &str, stream: bool) -> JoinHandle<Reply> {
        let (caller, address, id) = (
            self.caller.clone(),
            self.caller_address(router),
            id.to_string(),
        );
        tokio::spawn(async move { caller.chat(address, &id, &["Scale it."], stream).await })
    }

    /// Returns the address at which a router takes calls.
    pub fn caller_address(&self, number: usize) -> SocketAddr {
        self.routers[number].address("callers")
    }

    /// Returns the control client of an engine.
    pub fn engine(&self, number: usize) -> Control {
        Control::new(self.engines[number].address("http"))
    }

    /// Returns the control client of an instance of the booking service.
    pub fn service(&self, number: usize) -> Control {
        Control::new(self.services[number].address("http"))
    }

    /// Returns how often the services ran a call with this idempotency key, of all instances
    /// together.
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

    /// Sets a class as an operator, with `base` as the version that the change is based on.
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

/// Starts a fake engine that takes 3 ms for each output token.
fn start_engine(id: &str) -> Process {
    let args = ["fake", "engine", "--id", id, "--model", "small"];
    Process::start(&[&args[..], &["--output-token", "3000"]].concat())
}

/// Writes the configuration that all tests use, in 5 versions: a team, two customers and the
/// classes `chat`, whose calls may be repeated, and `booking`, whose calls must not be.
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
        let outcome = log
            .append(base as u64, change)
            .await
            .expect("the platform answers");
        assert_eq!(outcome, AppendOutcome::Committed(base as u64 + 1));
    }
}

/// Upper bound on the time that a fleet takes for what it does every second.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
