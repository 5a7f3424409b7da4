//! The settings of a router. `docs/configuration.md` lists the meaning, unit, default and limits of
//! each field.

use crate::reader::Reader;
use crate::values::Values;
use crate::{Environment, Problem, ProblemKind, Secret};
use sequoiaridge_core::{DomainId, RegionId, RouterId};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// File name in messages about settings that do not come from a file.
const NO_FILE: &str = "settings";

/// Settings of one router process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Id of the instance.
    pub id: RouterId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Addresses on which the process listens.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Other routers.
    pub peers: Peers,
    /// Bound on the load of engines.
    pub load: Load,
    /// Probes of endpoints.
    pub health: Health,
    /// Retry budgets.
    pub retry: Retry,
    /// Requests that crash endpoints.
    pub quarantine: Quarantine,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Fleet configuration.
    pub config: Config,
    /// Connections between routers.
    pub links: Links,
    /// Index of displaced chats.
    pub cache: Cache,
    /// Limits for callers.
    pub limits: Limits,
    /// Planned stop (drain).
    pub drain: Drain,
    /// Log output.
    pub log: Log,
    /// First operator.
    pub bootstrap: Bootstrap,
}

/// Addresses on which the process listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// UDP and TCP for other routers.
    pub peers: SocketAddr,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Membership list.
    pub members: SocketAddr,
    /// Name of the table.
    pub table_name: String,
    /// Name of the bucket.
    pub bucket: String,
    /// Timeout of a request.
    pub timeout: Duration,
}

/// Other routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Routers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates messages between routers.
    pub key: Secret,
    /// Previous key, which is also accepted during a key rotation.
    pub previous_key: Option<Secret>,
}

/// Bound on the load of engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Maximum load of an engine, as a multiple of the mean.
    pub multiple: f64,
    /// Time for which a new owner also counts the load that an engine reports about itself.
    pub settle: Duration,
}

/// Probes of endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// Time between probes of an endpoint.
    pub interval: Duration,
    /// Age of the last successful probe beyond which an endpoint gets no new work.
    pub leave_bound: Duration,
    /// Timeout of a probe.
    pub silence: Duration,
}

/// Retry budgets, one for each class and customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Retry {
    /// Fraction of a retry that each call adds to its budget.
    pub share: f64,
    /// Maximum number of retries that a budget holds.
    pub burst: u32,
}

/// Requests that crash endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Crashes after which a request is refused.
    pub strikes: u32,
    /// Time for which such a request is refused.
    pub hold: Duration,
}

/// Claims on idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claims {
    /// Time after which a claim is removed.
    pub retention: Duration,
}

/// Fleet configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time without contact to the platform and to peers after which new calls are refused.
    pub isolation: Duration,
    /// Time within which an accepted change must be in force at all routers.
    pub in_force: Duration,
}

/// Connections between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Links {
    /// Time without data after which a connection is dropped.
    pub silence: Duration,
    /// Time between keepalive frames on a quiet stream.
    pub keepalive: Duration,
    /// Idle time after which a pooled connection is not reused.
    pub idle: Duration,
}

/// Index of displaced chats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cache {
    /// Time after a join in which the second-ranked owner is asked for chats.
    pub lookback: Duration,
    /// Maximum number of chats in the index.
    pub chats: usize,
}

/// Limits for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body: usize,
    /// Time within which a request must arrive.
    pub arrival: Duration,
    /// Maximum number of calls that wait for each group.
    pub waiting: usize,
    /// Threads that serve connections.
    pub threads: usize,
}

/// Planned stop (drain).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time after which calls that are still in flight are cut.
    pub limit: Duration,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Failures that need attention.
    Error,
    /// Conditions that may need attention.
    Warn,
    /// Ordinary events.
    Info,
    /// Details for diagnosis.
    Debug,
    /// Every step.
    Trace,
}

impl LogLevel {
    /// Returns the name of the level in `tracing` filters.
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}

/// First operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bootstrap {
    /// Digest of the first operator's token, which is accepted while no team exists; see
    /// [`sequoiaridge_core::token_digest`].
    pub operator_token_digest: Option<String>,
}

impl Settings {
    /// Reads a file and the environment of the process.
    ///
    /// # Errors
    ///
    /// All problems in both.
    pub fn load(path: &Path) -> Result<Settings, Vec<Problem>> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::read(&file, &text, &Environment::from_process()),
            Err(error) => {
                let remedy = match error.kind() {
                    ErrorKind::NotFound => "create the file or give the path of an existing one",
                    ErrorKind::PermissionDenied => "make it readable for the user of the process",
                    ErrorKind::InvalidData => "save it as UTF-8 text",
                    _ => "give the path of a readable text file",
                };
                let mut reader = Reader::new(&file);
                let kind = ProblemKind::Unreadable(error.to_string());
                reader.report((None, None), "", kind, remedy);
                Err(reader.problems)
            }
        }
    }

    /// Reads settings from a YAML string.
    ///
    /// # Errors
    ///
    /// All problems in the string and the environment.
    pub fn parse(text: &str, environment: &Environment) -> Result<Settings, Vec<Problem>> {
        Settings::read(NO_FILE, text, environment)
    }

    fn read(file: &str, text: &str, environment: &Environment) -> Result<Settings, Vec<Problem>> {
        let mut reader = Reader::new(file);
        reader.read(text);
        // After a syntax error, every field would also be reported as missing.
        if !(reader.problems.iter()).any(|p| matches!(p.kind, ProblemKind::Syntax(_))) {
            reader.complete(environment);
            reader.check_conflicts();
        }
        reader.finish()
    }

    /// Builds settings from values. Returns `None` if a required value is missing.
    pub(crate) fn from_values(v: &Values) -> Option<Settings> {
        Some(Settings {
            id: v.text("id")?,
            domain: v.text("domain")?,
            region: v.text("region")?,
            listen: Listen {
                callers: v.address("listen.callers")?,
                operators: v.address("listen.operators")?,
                peers: v.address("listen.peers")?,
            },
            platform: Platform {
                table: v.address("platform.table")?,
                objects: v.address("platform.objects")?,
                members: v.address("platform.members")?,
                table_name: v.text("platform.table_name")?,
                bucket: v.text("platform.bucket")?,
                timeout: v.seconds("platform.timeout")?,
            },
            peers: Peers {
                seeds: v.addresses("peers.seeds")?,
                key: v.key("peers.key")?,
                previous_key: v.key("peers.previous_key"),
            },
            load: Load {
                multiple: v.number("load.multiple")?,
                settle: v.seconds("load.settle")?,
            },
            health: Health {
                interval: v.seconds("health.interval")?,
                leave_bound: v.seconds("health.leave_bound")?,
                silence: v.seconds("health.silence")?,
            },
            retry: Retry {
                share: v.number("retry.share")?,
                burst: v.count("retry.burst")?,
            },
            quarantine: Quarantine {
                strikes: v.count("quarantine.strikes")?,
                hold: v.seconds("quarantine.hold")?,
            },
            claims: Claims {
                retention: v.seconds("claims.retention")?,
            },
            config: Config {
                isolation: v.seconds("config.isolation")?,
                in_force: v.seconds("config.in_force")?,
            },
            links: Links {
                silence: v.seconds("links.silence")?,
                keepalive: v.seconds("links.keepalive")?,
                idle: v.seconds("links.idle")?,
            },
            cache: Cache {
                lookback: v.seconds("cache.lookback")?,
                chats: v.count("cache.chats")?,
            },
            limits: Limits {
                body: v.count("limits.body")?,
                arrival: v.seconds("limits.arrival")?,
                waiting: v.count("limits.waiting")?,
                threads: v.count("limits.threads")?,
            },
            drain: Drain {
                limit: v.seconds("drain.limit")?,
            },
            log: Log {
                format: match v.text("log.format")?.as_str() {
                    "json" => LogFormat::Json,
                    _ => LogFormat::Text,
                },
                level: match v.text("log.level")?.as_str() {
                    "error" => LogLevel::Error,
                    "warn" => LogLevel::Warn,
                    "debug" => LogLevel::Debug,
                    "trace" => LogLevel::Trace,
                    _ => LogLevel::Info,
                },
            },
            bootstrap: Bootstrap {
                operator_token_digest: v.text("bootstrap.operator_token_digest"),
            },
        })
    }
}
