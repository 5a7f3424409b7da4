//! The table of all fields: the only place for defaults and limits.

use crate::fields::{Field, Kind, Preset};

/// A day in seconds.
const DAY: f64 = 86_400.0;

/// Every field, in the order of `docs/configuration.md`. Defaults are the figures of
/// `docs/design.md`.
pub const FIELDS: &[Field] = &[
    required("id", Kind::Name),
    required("domain", Kind::Name),
    required("region", Kind::Name),
    required("listen.callers", Kind::Listen),
    required("listen.operators", Kind::Listen),
    required("listen.peers", Kind::Listen),
    required("platform.table", Kind::Address),
    required("platform.objects", Kind::Address),
    required("platform.members", Kind::Address),
    text("platform.table_name", Kind::Name, "sequoiaridge"),
    text("platform.bucket", Kind::Name, "sequoiaridge"),
    seconds("platform.timeout", 2.0, 0.05, 60.0),
    other("peers.seeds", Kind::Addresses, Preset::Empty),
    required("peers.key", Kind::Key),
    other("peers.previous_key", Kind::Key, Preset::Absent),
    number("load.multiple", 1.25, 1.01, 10.0),
    seconds("load.settle", 3.0, 0.1, 60.0),
    seconds("health.interval", 1.0, 0.05, 60.0),
    seconds("health.leave_bound", 3.0, 0.1, 60.0),
    seconds("health.silence", 1.0, 0.05, 60.0),
    number("retry.share", 0.1, 0.0, 1.0),
    count("retry.burst", "retries", 10.0, 0, 1000),
    count("quarantine.strikes", "crashes", 3.0, 1, 100),
    seconds("quarantine.hold", 600.0, 1.0, DAY),
    seconds("claims.retention", DAY, 3600.0, 30.0 * DAY),
    seconds("config.isolation", 4.0, 0.5, 60.0),
    seconds("config.in_force", 4.0, 0.5, 60.0),
    seconds("links.silence", 3.0, 0.1, 60.0),
    seconds("links.keepalive", 1.0, 0.05, 30.0),
    seconds("links.idle", 5.0, 0.1, 600.0),
    seconds("cache.lookback", 1800.0, 0.0, DAY),
    count("cache.chats", "chats", 50_000.0, 1, 1_000_000),
    count("limits.body", "bytes", 4_194_304.0, 1024, 67_108_864),
    seconds("limits.arrival", 10.0, 0.1, 600.0),
    count("limits.waiting", "calls", 1000.0, 1, 100_000),
    count("limits.threads", "threads", 2.0, 1, 64),
    seconds("drain.limit", 120.0, 0.001, 3600.0),
    text("log.format", Kind::Choice(&["text", "json"]), "text"),
    text(
        "log.level",
        Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "info",
    ),
    other(
        "bootstrap.operator_token_digest",
        Kind::Digest,
        Preset::Absent,
    ),
];

const fn other(path: &'static str, kind: Kind, preset: Preset) -> Field {
    Field {
        path,
        kind,
        unit: "",
        preset,
    }
}

const fn required(path: &'static str, kind: Kind) -> Field {
    other(path, kind, Preset::Required)
}

const fn text(path: &'static str, kind: Kind, preset: &'static str) -> Field {
    other(path, kind, Preset::Text(preset))
}

const fn number(path: &'static str, preset: f64, low: f64, high: f64) -> Field {
    other(path, Kind::Number(low, high), Preset::Number(preset))
}

const fn seconds(path: &'static str, preset: f64, low: f64, high: f64) -> Field {
    Field {
        path,
        kind: Kind::Seconds(low, high),
        unit: "s",
        preset: Preset::Number(preset),
    }
}

const fn count(path: &'static str, unit: &'static str, preset: f64, low: u64, high: u64) -> Field {
    Field {
        path,
        kind: Kind::Count(low, high),
        unit,
        preset: Preset::Number(preset),
    }
}
