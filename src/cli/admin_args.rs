//! Arguments of the commands for operators.

use bpaf::Bpaf;
use sequoiaridge::core::{Repeat, valid_name};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// Address of the router, token of the operator, and form of the output.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Connection {
    /// Address for operators of any router, as IP address and port
    #[bpaf(long, env("SEQUOIARIDGE_OPERATORS"), argument("ADDRESS"))]
    pub(crate) operators: SocketAddr,
    /// File that holds the operator's token; without it, the token is read from the environment
    /// variable SEQUOIARIDGE_TOKEN
    #[bpaf(long, argument("FILE"))]
    pub(crate) token_file: Option<PathBuf>,
    #[bpaf(external(output))]
    pub(crate) output: Output,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    Text,
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Output, String> {
        match text {
            "text" => Ok(Output::Text),
            "json" => Ok(Output::Json),
            _ => Err("use 'text' or 'json'".to_string()),
        }
    }
}

fn output() -> impl bpaf::Parser<Output> {
    use bpaf::Parser;
    bpaf::long("output")
        .help("Form of the output: text for people or json for programs, one line [default: text]")
        .argument("FORM")
        .fallback(Output::Text)
}

/// Name of a class, customer or team.
#[derive(Clone, Debug)]
pub(crate) struct Name(pub(crate) String);

impl FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Name, String> {
        let rule = "a name has 1 to 64 characters of a-z, 0-9, '-', '_' and '.'";
        valid_name(text)
            .then(|| Name(text.to_string()))
            .ok_or_else(|| rule.to_string())
    }
}

/// Whether calls may run more than once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RepeatArgument(pub(crate) Repeat);

impl FromStr for RepeatArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<RepeatArgument, String> {
        match text {
            "allowed" => Ok(RepeatArgument(Repeat::Allowed)),
            "never" => Ok(RepeatArgument(Repeat::Never)),
            _ => Err("use 'allowed' or 'never'".to_string()),
        }
    }
}

/// Targets that a command changes; all others stay.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct TargetChanges {
    /// Seconds to the first token for 95 in 100 calls, 0.01 to 600
    #[bpaf(long, argument("SECONDS"))]
    pub(crate) first_token: Option<f64>,
    /// Seconds between tokens for 95 in 100 gaps, 0.001 to 60
    #[bpaf(long, argument("SECONDS"))]
    pub(crate) between_tokens: Option<f64>,
    /// Share of calls that must be answered, 0.5 to 0.9999
    #[bpaf(long, argument("SHARE"))]
    pub(crate) answered: Option<f64>,
    /// Seconds after which a call is given up, 0.1 to 3600 and above the first token
    #[bpaf(long, argument("SECONDS"))]
    pub(crate) deadline: Option<f64>,
    /// Whether a call may run more than once: allowed, or never, and then each call needs an
    /// idempotency key
    #[bpaf(long, argument("WHEN"))]
    pub(crate) repeat: Option<RepeatArgument>,
    /// Team that owns the class; needed for a new class
    #[bpaf(long, argument("TEAM"))]
    pub(crate) team: Option<Name>,
}

/// The `targets` commands.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Targets {
    /// List the classes that the token may see, with their targets
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        connection: Connection,
    },
    /// Show the targets of one class
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        connection: Connection,
        /// Name of the class
        #[bpaf(positional("NAME"))]
        name: Name,
    },
    /// Set targets of a class, or create the class
    ///
    ///
    /// Reads the class and changes only the targets that are given. A new class needs --team; its
    /// other targets are first token 0.64 s, between tokens 0.03 s, answered 0.99, deadline 60 s
    /// and repeat allowed. If another operator changes the configuration in between, nothing is
    /// changed and the exit code is 4.
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        target_changes: TargetChanges,
        /// Name of the class
        #[bpaf(positional("NAME"))]
        name: Name,
    },
    /// Remove a class; calls that name it are refused from then on
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        connection: Connection,
        /// Name of the class
        #[bpaf(positional("NAME"))]
        name: Name,
    },
}

/// The `customers` commands.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Customers {
    /// List the customers with the number of their tokens
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        connection: Connection,
    },
    /// Create a customer or replace all of its tokens
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        connection: Connection,
        /// Digest of a token, as 'sequoiaridge token' prints it; repeat the option for several
        #[bpaf(long, argument("DIGEST"), some("give at least one --token-digest"))]
        token_digest: Vec<String>,
        /// Name of the customer
        #[bpaf(positional("NAME"))]
        name: Name,
    },
    /// Remove a customer; its callers are refused from then on
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        connection: Connection,
        /// Name of the customer
        #[bpaf(positional("NAME"))]
        name: Name,
    },
}

/// The `teams` commands.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Teams {
    /// List the teams with the number of their tokens
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        connection: Connection,
    },
    /// Create a team or replace all of its tokens and its rights
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        connection: Connection,
        /// Digest of a token, as 'sequoiaridge token' prints it; repeat the option for several
        #[bpaf(long, argument("DIGEST"), some("give at least one --token-digest"))]
        token_digest: Vec<String>,
        /// The team administers customers, teams and the classes of all teams
        #[bpaf(long)]
        admin: bool,
        /// Name of the team
        #[bpaf(positional("NAME"))]
        name: Name,
    },
    /// Remove a team that owns no class
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        connection: Connection,
        /// Name of the team
        #[bpaf(positional("NAME"))]
        name: Name,
    },
}

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct AdminStatus {
    #[bpaf(external)]
    pub(crate) connection: Connection,
}

/// Arguments of `token`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Token {
    /// Print the digest of the token in this file instead of a new token
    #[bpaf(long, argument("FILE"))]
    pub(crate) digest_of: Option<PathBuf>,
    #[bpaf(external(output))]
    pub(crate) output: Output,
}
