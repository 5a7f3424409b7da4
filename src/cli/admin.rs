//! The commands for operators: `targets`, `customers`, `teams` and `token`.

use super::admin_args::{
    Connection, Customers, Name, Output, TargetChanges, Targets, Teams, Token,
};
use super::admin_client::{AdminClient, Answer, Committed, Failure, read_token};
use super::{block_on, exit, failed};
use http::Method;
use sequoiaridge::core::{
    Class, Customer, Repeat, Targets as CoreTargets, Team, Version, token_digest,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{ErrorKind, Write};

/// Runs a command and returns the exit code. The command's text goes to standard output, a failure
/// to standard error.
pub(crate) fn report<F: Future<Output = Result<String, Failure>>>(command: F) -> u8 {
    block_on(async {
        match command.await {
            Ok(text) => print(&text),
            Err(failure) => {
                failure
                    .messages
                    .iter()
                    .for_each(|line| eprintln!("error: {line}"));
                failure.code
            }
        }
    })
}

/// Writes to standard output. A broken pipe is no failure: a reader such as `head` closes it once
/// it has read enough.
fn print(text: &str) -> u8 {
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            failed(&format!("cannot write the output: {error}"))
        }
        _ => exit::OK,
    }
}

/// The version in an answer whose other parts are not needed.
#[derive(Deserialize)]
struct VersionOnly {
    version: Version,
}

#[derive(Deserialize)]
struct OneClass {
    version: Version,
    class: Class,
}

#[derive(Deserialize)]
struct Classes {
    version: Version,
    classes: BTreeMap<String, Class>,
}

#[derive(Deserialize)]
struct Entry {
    tokens: usize,
    #[serde(default)]
    admin: bool,
}

#[derive(Deserialize)]
struct CustomerList {
    version: Version,
    customers: BTreeMap<String, Entry>,
}

#[derive(Deserialize)]
struct TeamList {
    version: Version,
    teams: BTreeMap<String, Entry>,
}

/// Runs a `targets` command.
pub(crate) async fn targets(command: Targets) -> Result<String, Failure> {
    match command {
        Targets::List { connection } => {
            let admin = AdminClient::new(&connection)?;
            let answer = admin.get("classes").await?;
            show(&admin, &answer, |answer| {
                let Classes { version, classes } = answer.read()?;
                Ok(class_table(version, &classes))
            })
        }
        Targets::Get { connection, name } => {
            let admin = AdminClient::new(&connection)?;
            let answer = admin.get(&format!("classes/{}", name.0)).await?;
            show(&admin, &answer, |answer| {
                let OneClass { version, class } = answer.read()?;
                Ok(class_table(version, &[(name.0.clone(), class)].into()))
            })
        }
        Targets::Set {
            connection,
            target_changes,
            name,
        } => set_targets(&connection, &target_changes, &name).await,
        Targets::Remove { connection, name } => remove(&connection, "classes", &name).await,
    }
}

async fn set_targets(
    connection: &Connection,
    changes: &TargetChanges,
    name: &Name,
) -> Result<String, Failure> {
    let admin = AdminClient::new(connection)?;
    let path = format!("classes/{}", name.0);
    let (version, class, old) = match admin.find(&path).await? {
        Ok(answer) => {
            let OneClass { version, class } = answer.read()?;
            (version, class.clone(), Some(class))
        }
        Err(version) => {
            let team = changes.team.as_ref().ok_or_else(|| {
                let message = format!(
                    "class {:?} does not exist; give --team to create it",
                    name.0
                );
                Failure::new(exit::REFUSED, message)
            })?;
            let (team, targets) = (team.0.clone(), CoreTargets::default());
            (version, Class { team, targets }, None)
        }
    };
    let new = apply_changes(class, changes);
    if old.as_ref() == Some(&new) {
        return Ok(match admin.json() {
            true => format!("{{\"result\":\"unchanged\",\"version\":{version}}}"),
            false => format!(
                "nothing to change; class {:?} already has these targets",
                name.0
            ),
        });
    }
    put(&admin, &path, version, &new).await
}

/// Returns the class with the given changes; all other targets stay.
fn apply_changes(mut class: Class, changes: &TargetChanges) -> Class {
    let targets = &mut class.targets;
    targets.first_token = changes.first_token.unwrap_or(targets.first_token);
    targets.between_tokens = changes.between_tokens.unwrap_or(targets.between_tokens);
    targets.answered = changes.answered.unwrap_or(targets.answered);
    targets.deadline = changes.deadline.unwrap_or(targets.deadline);
    targets.repeat = changes.repeat.map_or(targets.repeat, |repeat| repeat.0);
    if let Some(team) = &changes.team {
        class.team = team.0.clone();
    }
    class
}

/// Runs a `customers` command.
pub(crate) async fn customers(command: Customers) -> Result<String, Failure> {
    match command {
        Customers::List { connection } => {
            let admin = AdminClient::new(&connection)?;
            let answer = admin.get("customers").await?;
            show(&admin, &answer, |answer| {
                let CustomerList { version, customers } = answer.read()?;
                let mut text = format!("version {version}\n{:<32} {:>6}", "CUSTOMER", "TOKENS");
                for (name, entry) in &customers {
                    text.push_str(&format!("\n{name:<32} {:>6}", entry.tokens));
                }
                Ok(text)
            })
        }
        Customers::Set {
            connection,
            token_digest,
            name,
        } => {
            let tokens = token_digest.into_iter().collect();
            replace(&connection, "customers", &name, &Customer { tokens }).await
        }
        Customers::Remove { connection, name } => remove(&connection, "customers", &name).await,
    }
}

/// Runs a `teams` command.
pub(crate) async fn teams(command: Teams) -> Result<String, Failure> {
    match command {
        Teams::List { connection } => {
            let admin = AdminClient::new(&connection)?;
            let answer = admin.get("teams").await?;
            show(&admin, &answer, |answer| {
                let TeamList { version, teams } = answer.read()?;
                let mut text = format!("version {version}\n{:<32} {:>6} ADMIN", "TEAM", "TOKENS");
                for (name, entry) in &teams {
                    let admin = if entry.admin { "yes" } else { "no" };
                    text.push_str(&format!("\n{name:<32} {:>6} {admin}", entry.tokens));
                }
                Ok(text)
            })
        }
        Teams::Set {
            connection,
            token_digest,
            admin,
            name,
        } => {
            let tokens = token_digest.into_iter().collect();
            replace(&connection, "teams", &name, &Team { tokens, admin }).await
        }
        Teams::Remove { connection, name } => remove(&connection, "teams", &name).await,
    }
}

/// Returns a new token with its digest, or only the digest of a token in a file.
pub(crate) async fn token(command: Token) -> Result<String, Failure> {
    let (token, shown) = match &command.digest_of {
        Some(file) => (read_token(file)?.trim().to_string(), false),
        None => (new_token(), true),
    };
    let digest = token_digest(&token);
    Ok(match (command.output, shown) {
        (Output::Json, true) => format!("{{\"token\":\"{token}\",\"digest\":\"{digest}\"}}"),
        (Output::Json, false) => format!("{{\"digest\":\"{digest}\"}}"),
        (Output::Text, true) => format!("token  {token}\ndigest {digest}"),
        (Output::Text, false) => format!("digest {digest}"),
    })
}

/// Returns a token of 256 random bits in hexadecimal.
fn new_token() -> String {
    let bytes: [u8; 32] = rand::random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Creates or replaces an entry. It cannot be edited, because the API returns only the number of
/// its tokens.
async fn replace<T: Serialize>(
    connection: &Connection,
    kind: &str,
    name: &Name,
    entry: &T,
) -> Result<String, Failure> {
    let admin = AdminClient::new(connection)?;
    let path = format!("{kind}/{}", name.0);
    let version = match admin.find(&path).await? {
        Ok(answer) => answer.read::<VersionOnly>()?.version,
        Err(version) => version,
    };
    put(&admin, &path, version, entry).await
}

async fn put<T: Serialize>(
    admin: &AdminClient<'_>,
    path: &str,
    base: Version,
    entry: &T,
) -> Result<String, Failure> {
    let body = serde_json::to_string(entry).expect("entries are valid JSON");
    let answer = admin.change(Method::PUT, path, base, body).await?;
    show_committed(admin, &answer)
}

async fn remove(connection: &Connection, kind: &str, name: &Name) -> Result<String, Failure> {
    let admin = AdminClient::new(connection)?;
    let path = format!("{kind}/{}", name.0);
    let version = admin.get(&path).await?.read::<VersionOnly>()?.version;
    let answer = admin.change(Method::DELETE, &path, version, String::new());
    show_committed(&admin, &answer.await?)
}

/// Shows a change that was committed. If the answer cannot be parsed, it is not known whether the
/// change was made.
fn show_committed(admin: &AdminClient<'_>, answer: &Answer) -> Result<String, Failure> {
    let result = show(admin, answer, |answer| {
        Ok(answer.read::<Committed>()?.describe())
    });
    result.map_err(|failure| Failure {
        code: exit::UNKNOWN,
        ..failure
    })
}

/// Returns the answer as JSON, or as text made by `describe`.
pub(crate) fn show(
    admin: &AdminClient<'_>,
    answer: &Answer,
    describe: impl FnOnce(&Answer) -> Result<String, Failure>,
) -> Result<String, Failure> {
    match admin.json() {
        true => Ok(answer.json().to_string()),
        false => describe(answer),
    }
}

fn class_table(version: Version, classes: &BTreeMap<String, Class>) -> String {
    let mut text = format!(
        "version {version}\n{:<20} {:<12} {:>11} {:>14} {:>8} {:>8} REPEAT",
        "CLASS", "TEAM", "FIRST TOKEN", "BETWEEN TOKENS", "ANSWERED", "DEADLINE"
    );
    for (name, Class { team, targets }) in classes {
        let repeat = match targets.repeat {
            Repeat::Allowed => "allowed",
            Repeat::Never => "never",
        };
        text.push_str(&format!(
            "\n{name:<20} {team:<12} {:>9} s {:>12} s {:>8} {:>6} s {repeat}",
            targets.first_token, targets.between_tokens, targets.answered, targets.deadline
        ));
    }
    text
}
