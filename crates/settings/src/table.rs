//! Table of all fields: the only place that defines defaults and limits.

use crate::fields::{DefaultValue, Field, FieldKind};

/// A day in seconds.
const DAY: f64 = 86_400.0;

/// All fields, in the order of `docs/configuration.md`. The defaults are those of `docs/design.md`.
pub const FIELDS: &[Field] = &[
    required("id", FieldKind::Name),
    required("domain", FieldKind::Name),
    required("region", FieldKind::Name),
    required("listen.callers", FieldKind::Listen),
    required("listen.operators", FieldKind::Listen),
    required("listen.peers", FieldKind::Listen),
    required("platform.table", FieldKind::Address),
    required("platform.objects", FieldKind::Address),
    required("platform.members", FieldKind::Address),
    text("platform.table_name", FieldKind::Name, "sequoiaridge"),
    text("platform.bucket", FieldKind::Name, "sequoiaridge"),
    seconds("platform.timeout", 2.0, 0.05, 60.0),
    other("peers.seeds", FieldKind::Addresses, DefaultValue::EmptyList),
    required("peers.key", FieldKind::Key),
    other("peers.previous_key", FieldKind::Key, DefaultValue::Absent),
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
    text("log.format", FieldKind::Choice(&["text", "json"]), "text"),
    text(
        "log.level",
        FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "info",
    ),
    other(
        "bootstrap.operator_token_digest",
        FieldKind::Digest,
        DefaultValue::Absent,
    ),
];

const fn other(path: &'static str, kind: FieldKind, default: DefaultValue) -> Field {
    Field {
        path,
        kind,
        unit: "",
        default,
    }
}

const fn required(path: &'static str, kind: FieldKind) -> Field {
    other(path, kind, DefaultValue::Required)
}

const fn text(path: &'static str, kind: FieldKind, default: &'static str) -> Field {
    other(path, kind, DefaultValue::Text(default))
}

const fn number(path: &'static str, default: f64, low: f64, high: f64) -> Field {
    other(
        path,
        FieldKind::Number(low, high),
        DefaultValue::Number(default),
    )
}

const fn seconds(path: &'static str, default: f64, low: f64, high: f64) -> Field {
    Field {
        path,
        kind: FieldKind::Seconds(low, high),
        unit: "s",
        default: DefaultValue::Number(default),
    }
}

const fn count(path: &'static str, unit: &'static str, default: f64, low: u64, high: u64) -> Field {
    Field {
        path,
        kind: FieldKind::Count(low, high),
        unit,
        default: DefaultValue::Number(default),
    }
}
