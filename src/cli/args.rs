//! Arguments of the command line.

// Two empty lines in a doc comment separate the short help text from the long one.

use super::admin_args::{
    AdminStatus, Customers, Targets, Teams, Token, admin_status, customers, targets, teams, token,
};
use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A fleet of routers that sends returning chats to the engine that caches their context.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(command))]
pub(crate) enum Command {
    /// Run one router until SIGTERM or SIGINT, then drain it
    ///
    ///
    /// Prints the addresses it listens on as its first line of output. Exits with 0 after a drain
    /// that cut no call, 1 on a failure, 2 on problems in the settings, and 3 if the drain limit
    /// passed with calls in flight.
    #[bpaf(command)]
    Run {
        /// Settings file of the router; see docs/configuration.md
        #[bpaf(short, long, argument("FILE"))]
        config: PathBuf,
    },
    /// Run one router on the users' platform until SIGTERM or SIGINT, then drain it
    ///
    ///
    /// Reads the platform's settings file from SEQUOIARIDGE_BOOT; see docs/platform.md. Logs go to
    /// standard output. Exits like `run`.
    #[bpaf(command)]
    Edge {
        /// Only read the settings file and say whether it is valid
        #[bpaf(long)]
        check: bool,
        /// Only show whether a running router is ready, and its counters; ADDRESS is its readiness
        /// address, as in its settings
        #[bpaf(long, argument("ADDRESS"))]
        status: Option<SocketAddr>,
        /// With --status, on the instance of that router: release a request or a part of prompts that
        /// is held, at all routers; SUSPECT is as --status shows it
        #[bpaf(long, argument("SUSPECT"))]
        release: Option<String>,
    },
    /// Show what the logs say about one request, in order of time
    ///
    ///
    /// Reads the lines of JSON that `edge` writes, from one router or several, and prints time,
    /// event and details of those about the request. Exits with 1 if there are none.
    #[bpaf(command)]
    Explain {
        /// Log file; standard input if it is not given
        #[bpaf(long, argument("FILE"))]
        log: Option<PathBuf>,
        /// Id of the request's attempt
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Read a settings file, or a configuration of the users' platform, and report every problem
    ///
    ///
    /// A configuration is checked for errors, for entries that can never match and for limits that
    /// contradict each other. With --in-force, what differs from that version is listed, too. Each
    /// finding is one line with the path of its field. Exits with 0 if there is no error and with 2 if
    /// there is one.
    #[bpaf(command)]
    Check(#[bpaf(external(checked))] Checked),
    /// Show and change the targets of classes of work
    ///
    ///
    /// Operators create classes and give each class targets, which the fleet aims to meet. Each
    /// change is in force on all routers within seconds.
    #[bpaf(command)]
    Targets(#[bpaf(external(targets))] Targets),
    /// Show and change the customers on whose behalf callers send requests
    ///
    ///
    /// Needs the token of a team of administrators.
    #[bpaf(command)]
    Customers(#[bpaf(external(customers))] Customers),
    /// Show and change the teams of operators
    ///
    ///
    /// Needs the token of a team of administrators.
    #[bpaf(command)]
    Teams(#[bpaf(external(teams))] Teams),
    /// Show the state of the fleet as one router sees it
    ///
    ///
    /// Counts are those of the router that is asked, since its start.
    #[bpaf(command)]
    Status(#[bpaf(external(admin_status))] AdminStatus),
    /// Print a new random token and its digest, or the digest of a token in a file
    ///
    ///
    /// Give the token to its owner and put the digest into the configuration, which never contains
    /// tokens.
    #[bpaf(command)]
    Token(#[bpaf(external(token))] Token),
    /// Run a fake engine, service or platform, for tests
    #[bpaf(command)]
    Fake(#[bpaf(external(fake))] Fake),
    /// Run a small fleet on loopback in one process, to try things out
    ///
    ///
    /// Starts two routers, three engines, a service and a platform, and prints their addresses and
    /// commands to try. Needs no settings and keeps nothing after it stops.
    #[bpaf(command)]
    Dev {
        /// Port of the first router for callers; the next port is for operators; 0 takes free ports
        #[bpaf(long, argument("PORT"), fallback(8080), display_fallback)]
        port: u16,
    },
}

/// What to check.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Checked {
    /// A settings file.
    Settings {
        /// Settings file to read
        #[bpaf(short, long, argument("FILE"))]
        config: PathBuf,
    },
    /// A configuration of the users' platform.
    Manifest {
        /// Configuration to check, in the form in which operators write it to the platform's store
        #[bpaf(long, argument("FILE"))]
        manifest: PathBuf,
        /// Configuration in force, to compare with
        #[bpaf(long, argument("FILE"))]
        in_force: Option<PathBuf>,
        /// Print each finding as a line of JSON with severity, path and message
        #[bpaf(long)]
        json: bool,
    },
}

/// Which fake to run.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Fake {
    /// Run an engine that answers chats with text derived from a hash of the request
    #[bpaf(command)]
    Engine {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"), fallback(loopback()), display_fallback)]
        listen: SocketAddr,
        /// Name of the instance
        #[bpaf(long, argument("ID"))]
        id: String,
        /// Model that the engine serves
        #[bpaf(long, argument("MODEL"))]
        model: String,
        /// Requests that run at the same time
        #[bpaf(long, argument("COUNT"), fallback(8), display_fallback)]
        capacity: usize,
        /// Microseconds for each prompt token that is not cached
        #[bpaf(long, argument("MICROS"), fallback(20), display_fallback)]
        prompt_token: u64,
        /// Microseconds for each output token
        #[bpaf(long, argument("MICROS"), fallback(1000), display_fallback)]
        output_token: u64,
    },
    /// Run a plain service that counts each call it runs
    #[bpaf(command)]
    Service {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"), fallback(loopback()), display_fallback)]
        listen: SocketAddr,
        /// Name of the instance
        #[bpaf(long, argument("ID"))]
        id: String,
        /// Name of the service
        #[bpaf(long, argument("NAME"))]
        name: String,
        /// Calls that run at the same time
        #[bpaf(long, argument("COUNT"), fallback(8), display_fallback)]
        capacity: usize,
        /// Milliseconds that a call takes
        #[bpaf(long, argument("MILLIS"), fallback(1), display_fallback)]
        delay: u64,
    },
    /// Run a platform: table service, object store and membership list, all in memory
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"), fallback(loopback()), display_fallback)]
        listen: SocketAddr,
    },
}

/// Loopback address with port 0, which takes a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
