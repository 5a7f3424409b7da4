//! The command `sequoiaridge status`.

use super::admin::show;
use super::admin_args::AdminStatus;
use super::admin_client::{AdminClient, Failure};
use sequoiaridge::core::Targets;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The parts of the status answer that are shown.
#[derive(Deserialize)]
struct Status {
    router: String,
    domain: String,
    phase: String,
    isolated: bool,
    version: u64,
    platform: String,
    platform_quiet: Option<f64>,
    in_flight: i64,
    routers: Vec<Router>,
    endpoints: Vec<Endpoint>,
    classes: BTreeMap<String, Class>,
    refusals: BTreeMap<String, u64>,
    retries: BTreeMap<String, u64>,
    control_bytes: BTreeMap<String, ControlBytes>,
    claims: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
struct Router {
    id: String,
    domain: String,
    state: String,
    version: u64,
    quiet: Option<f64>,
}

#[derive(Deserialize)]
struct Endpoint {
    id: String,
    domain: String,
    serves: Vec<String>,
    owner: String,
    state: String,
    reason: String,
    outstanding: u32,
    bound: u64,
    capacity: u32,
}

#[derive(Deserialize)]
struct Class {
    targets: Targets,
    calls: BTreeMap<String, u64>,
    answered: Option<f64>,
    first_token_p95: Option<f64>,
    between_tokens_p95: Option<f64>,
    missed: Vec<String>,
}

#[derive(Deserialize)]
struct ControlBytes {
    sent: u64,
    received: u64,
}

/// Returns the state of the fleet as one router sees it.
pub(crate) async fn status(command: AdminStatus) -> Result<String, Failure> {
    let admin = AdminClient::new(&command.connection)?;
    let answer = admin.get("status").await?;
    show(&admin, &answer, |answer| Ok(describe(&answer.read()?)))
}

fn describe(status: &Status) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_all(&mut text, status);
    text.trim_end().to_string()
}

fn write_all(out: &mut String, status: &Status) -> std::fmt::Result {
    let isolated = if status.isolated { ", isolated" } else { "" };
    writeln!(
        out,
        "router {} in {}: {}{isolated}, configuration version {}, {} calls in flight",
        status.router, status.domain, status.phase, status.version, status.in_flight
    )?;
    match status.platform_quiet {
        Some(quiet) => writeln!(
            out,
            "platform {}, last answer {quiet:.1} s ago",
            status.platform
        )?,
        None => writeln!(out, "platform {}", status.platform)?,
    }
    write_routers(out, &status.routers)?;
    write_endpoints(out, &status.endpoints)?;
    write_classes(out, &status.classes)?;
    write_counts(out, "REFUSALS", &status.refusals)?;
    write_counts(out, "RETRIES", &status.retries)?;
    write_counts(out, "CLAIMS", &status.claims)?;
    writeln!(
        out,
        "\n{:<24} {:>12} {:>12}",
        "CONTROL BYTES", "SENT", "RECEIVED"
    )?;
    for (kind, bytes) in &status.control_bytes {
        writeln!(out, "{kind:<24} {:>12} {:>12}", bytes.sent, bytes.received)?;
    }
    Ok(())
}

fn write_routers(out: &mut String, routers: &[Router]) -> std::fmt::Result {
    writeln!(
        out,
        "\n{:<20} {:<16} {:<8} {:>8} LAST HEARD",
        "ROUTER", "DOMAIN", "STATE", "VERSION"
    )?;
    for router in routers {
        let quiet = match router.quiet {
            Some(quiet) => format!("{quiet:.1} s ago"),
            None => "-".to_string(),
        };
        writeln!(
            out,
            "{:<20} {:<16} {:<8} {:>8} {quiet}",
            router.id, router.domain, router.state, router.version
        )?;
    }
    Ok(())
}

fn write_endpoints(out: &mut String, endpoints: &[Endpoint]) -> std::fmt::Result {
    writeln!(
        out,
        "\n{:<20} {:<16} {:<12} {:<16} {:<8} {:>11} {:>5} {:>8} REASON",
        "ENDPOINT", "DOMAIN", "SERVES", "OWNER", "STATE", "OUTSTANDING", "BOUND", "CAPACITY"
    )?;
    for endpoint in endpoints {
        writeln!(
            out,
            "{:<20} {:<16} {:<12} {:<16} {:<8} {:>11} {:>5} {:>8} {}",
            endpoint.id,
            endpoint.domain,
            endpoint.serves.join(","),
            endpoint.owner,
            endpoint.state,
            endpoint.outstanding,
            endpoint.bound,
            endpoint.capacity,
            endpoint.reason
        )?;
    }
    Ok(())
}

fn write_classes(out: &mut String, classes: &BTreeMap<String, Class>) -> std::fmt::Result {
    writeln!(
        out,
        "\n{:<20} {:>8} {:>20} {:>23} {:>23} MISSED",
        "CLASS", "CALLS", "ANSWERED / TARGET", "FIRST TOKEN / TARGET", "BETWEEN TOKENS / TARGET"
    )?;
    let seconds = |value: Option<f64>| value.map_or("-".to_string(), |v| format!("{v:.3}"));
    for (name, class) in classes {
        let calls: u64 = class.calls.values().sum();
        let answered = class
            .answered
            .map_or("-".to_string(), |v| format!("{v:.4}"));
        let answered = format!("{answered} / {}", class.targets.answered);
        let first = seconds(class.first_token_p95);
        let first = format!("{first} / {} s", class.targets.first_token);
        let between = seconds(class.between_tokens_p95);
        let between = format!("{between} / {} s", class.targets.between_tokens);
        let missed = match class.missed.is_empty() {
            true => "-".to_string(),
            false => class.missed.join(", "),
        };
        writeln!(
            out,
            "{name:<20} {calls:>8} {answered:>20} {first:>23} {between:>23} {missed}"
        )?;
    }
    Ok(())
}

/// Writes the counts that are not zero.
fn write_counts(out: &mut String, title: &str, counts: &BTreeMap<String, u64>) -> std::fmt::Result {
    writeln!(out, "\n{title:<24} {:>12}", "COUNT")?;
    let nonzero = counts.iter().filter(|(_, count)| **count > 0);
    for (name, count) in nonzero.clone() {
        writeln!(out, "{name:<24} {count:>12}")?;
    }
    if nonzero.count() == 0 {
        writeln!(out, "none")?;
    }
    Ok(())
}
