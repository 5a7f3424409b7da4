//! Reader that checks a YAML tree against the table of fields.

use crate::fields::{DefaultValue, Field, FieldKind, is_valid_name};
use crate::table::FIELDS;
use crate::tree::{Tree, position};
use crate::values::{Position, Value, Values};
use crate::{Environment, PEER_KEY, PREVIOUS_PEER_KEY, Problem, ProblemKind, Secret};
use serde_saphyr::Spanned;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// File name under which problems in environment variables are reported.
const ENVIRONMENT: &str = "environment";

/// Reads values and collects problems.
pub(crate) struct Reader {
    file: String,
    pub(crate) values: Values,
    pub(crate) problems: Vec<Problem>,
}

/// Keys and values of a YAML mapping.
type Entries = Vec<(Spanned<String>, Spanned<Tree>)>;

impl Reader {
    /// Creates a reader that names `file` in its messages.
    pub(crate) fn new(file: &str) -> Reader {
        Reader {
            file: file.to_string(),
            values: Values::default(),
            problems: Vec::new(),
        }
    }

    /// Reads the text of a file.
    pub(crate) fn read(&mut self, text: &str) {
        match Tree::parse(text) {
            Ok(tree) => self.read_section("", tree),
            Err(error) => {
                let at = error.location().map_or((None, None), position);
                let kind = ProblemKind::Syntax(error.to_string());
                self.report(at, "", kind, "correct the YAML at this place");
            }
        }
    }

    /// Applies keys from the environment, then fills in defaults and reports missing fields.
    pub(crate) fn complete(&mut self, environment: &Environment) {
        self.read_variable("peers.key", PEER_KEY, &environment.peer_key);
        let previous = &environment.previous_peer_key;
        self.read_variable("peers.previous_key", PREVIOUS_PEER_KEY, previous);
        for field in FIELDS {
            let given = self.values.entries.contains_key(field.path);
            // If the field or its whole section was already reported, it is not reported again as
            // missing.
            let mut reported = self.problems.iter().map(|problem| &problem.field);
            if given || reported.any(|name| [field.path, field.section()].contains(&&**name)) {
                continue;
            }
            let value = match field.default {
                DefaultValue::Absent => continue,
                DefaultValue::Required => {
                    self.report(
                        (None, None),
                        field.path,
                        ProblemKind::Missing,
                        &missing_remedy(field),
                    );
                    continue;
                }
                DefaultValue::Number(number) => Value::Number(number),
                DefaultValue::Text(text) => Value::Text(text.to_string()),
                DefaultValue::EmptyList => Value::Addresses(Vec::new()),
            };
            self.values
                .entries
                .insert(field.path, (value, (None, None)));
        }
    }

    /// Adds a problem.
    pub(crate) fn report(&mut self, at: Position, field: &str, kind: ProblemKind, remedy: &str) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line: at.0,
            column: at.1,
            field: field.to_string(),
            kind,
            remedy: remedy.to_string(),
        });
    }

    /// Reads a section; the empty name stands for the top level.
    fn read_section(&mut self, section: &'static str, tree: Spanned<Tree>) {
        let at = position(tree.referenced);
        match tree.value {
            Tree::Null => {}
            Tree::Map(entries) => self.read_entries(section, entries),
            other => {
                let expected = "a section of fields".to_string();
                let found = other.type_name();
                let remedy = format!(
                    "write its fields as `name: value`: {}",
                    field_names(section)
                );
                self.report(
                    at,
                    section,
                    ProblemKind::WrongType { found, expected },
                    &remedy,
                );
            }
        }
    }

    fn read_entries(&mut self, section: &'static str, entries: Entries) {
        let mut seen = BTreeMap::new();
        for (key, tree) in entries {
            let at = position(key.referenced);
            let path = join_path(section, &key.value);
            if let Some(first) = seen.insert(key.value, at) {
                let kind = ProblemKind::Duplicate(first.0.unwrap_or_default());
                self.report(at, &path, kind, "keep one of the two and remove the other");
                continue;
            }
            if let Some(field) = FIELDS.iter().find(|field| field.path == path) {
                self.read_field(field, tree);
            } else if let Some(inner) = sections().find(|inner| *inner == path) {
                self.read_section(inner, tree);
            } else {
                let remedy = format!("remove it or use one of: {}", field_names(section));
                self.report(at, &path, ProblemKind::Unknown, &remedy);
            }
        }
    }

    fn read_field(&mut self, field: &'static Field, tree: Spanned<Tree>) {
        let at = position(tree.referenced);
        if let FieldKind::Addresses = field.kind {
            return self.read_list(field, tree);
        }
        match check_value(field, &tree.value) {
            Ok(value) => drop(self.values.entries.insert(field.path, (value, at))),
            Err(kind) => {
                let remedy = remedy(field, &kind);
                self.report(at, field.path, kind, &remedy);
            }
        }
    }

    fn read_list(&mut self, field: &'static Field, tree: Spanned<Tree>) {
        let at = position(tree.referenced);
        let Tree::List(items) = tree.value else {
            let kind = wrong_type(field, &tree.value);
            let remedy = remedy(field, &kind);
            return self.report(at, field.path, kind, &remedy);
        };
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let before = self.problems.len();
        for item in items {
            let item_at = position(item.referenced);
            match check_address(field, &item.value) {
                Ok(address) if addresses.contains(&address) => {
                    let kind = ProblemKind::Conflict(format!("{address} is given twice"));
                    self.report(item_at, field.path, kind, "remove the duplicate");
                }
                Ok(address) => addresses.push(address),
                Err(kind) => {
                    let remedy = remedy(field, &kind);
                    self.report(item_at, field.path, kind, &remedy);
                }
            }
        }
        if self.problems.len() == before {
            let value = Value::Addresses(addresses);
            self.values.entries.insert(field.path, (value, at));
        }
    }

    /// Reads a key from the environment, which takes precedence over the file.
    fn read_variable(&mut self, path: &'static str, name: &str, value: &Option<String>) {
        let Some(text) = value else { return };
        if let Some(key) = Secret::from_hex(text) {
            // The key in the file is not used, so problems with it do not matter.
            self.problems.retain(|problem| problem.field != path);
            let entry = (Value::Key(key), (None, None));
            self.values.entries.insert(path, entry);
            return;
        }
        let Some(field) = FIELDS.iter().find(|field| field.path == path) else {
            return;
        };
        self.values.entries.remove(path);
        let kind = invalid_value(field, text.clone());
        self.problems.push(Problem {
            file: ENVIRONMENT.to_string(),
            line: None,
            column: None,
            field: path.to_string(),
            remedy: format!("set {name} to {} or unset it", field.limits()),
            kind,
        });
    }
}

/// Checks the type and limits of a value.
fn check_value(field: &Field, tree: &Tree) -> Result<Value, ProblemKind> {
    match (field.kind, tree) {
        (FieldKind::Seconds(low, high) | FieldKind::Number(low, high), Tree::Number(number)) => {
            let within = (low..=high).contains(number);
            let value = Value::Number(*number);
            within
                .then_some(value)
                .ok_or_else(|| invalid_value(field, number.to_string()))
        }
        (FieldKind::Count(low, high), Tree::Number(number)) => {
            let within = (low as f64..=high as f64).contains(number) && number.fract() == 0.0;
            let value = Value::Number(*number);
            within
                .then_some(value)
                .ok_or_else(|| invalid_value(field, number.to_string()))
        }
        (FieldKind::Listen | FieldKind::Address, tree) => {
            check_address(field, tree).map(Value::Address)
        }
        (FieldKind::Key, Tree::Text(text)) => {
            let key = Secret::from_hex(text).map(Value::Key);
            key.ok_or_else(|| invalid_value(field, text.clone()))
        }
        (FieldKind::Name | FieldKind::Digest | FieldKind::Choice(_), Tree::Text(text)) => {
            let valid = match field.kind {
                FieldKind::Choice(words) => words.contains(&text.as_str()),
                FieldKind::Digest => Secret::from_hex(text).is_some(),
                _ => is_valid_name(text),
            };
            let value = || Value::Text(text.clone());
            valid
                .then(value)
                .ok_or_else(|| invalid_value(field, text.clone()))
        }
        _ => Err(wrong_type(field, tree)),
    }
}

fn check_address(field: &Field, tree: &Tree) -> Result<SocketAddr, ProblemKind> {
    let Tree::Text(text) = tree else {
        return Err(wrong_type(field, tree));
    };
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 || field.kind == FieldKind::Listen => Ok(address),
        _ => Err(invalid_value(field, text.clone())),
    }
}

fn wrong_type(field: &Field, tree: &Tree) -> ProblemKind {
    ProblemKind::WrongType {
        found: tree.type_name(),
        expected: format!("{} ({})", field.expected_type(), field.limits()),
    }
}

/// Returns the problem of a value outside the limits. A secret value is replaced by its length.
fn invalid_value(field: &Field, value: String) -> ProblemKind {
    let value = if field.is_secret() {
        format!("a text of {} characters", value.chars().count())
    } else {
        value
    };
    let unit = field.unit;
    let space = if unit.is_empty() { "" } else { " " };
    ProblemKind::InvalidValue {
        value,
        limits: format!("{}{space}{unit}", field.limits()),
    }
}

/// Returns what to do about an invalid value.
fn remedy(field: &Field, kind: &ProblemKind) -> String {
    let example = match field.kind {
        FieldKind::Listen | FieldKind::Address => "such as \"10.0.0.1:7000\"",
        FieldKind::Addresses => "such as [\"10.0.0.1:7002\"]",
        FieldKind::Key => "made for example with `openssl rand -hex 32`",
        FieldKind::Name => "in quotes if it looks like a number",
        FieldKind::Digest => "the BLAKE3 digest of the token, not the token",
        _ => "",
    };
    let comma = if example.is_empty() { "" } else { ", " };
    match field.default {
        DefaultValue::Number(_) | DefaultValue::Text(_) => {
            let change = match kind {
                ProblemKind::WrongType { .. } => format!("write {}", field.expected_type()),
                _ => "change it".to_string(),
            };
            let default = field.default_text();
            format!("{change}, or remove it for the default of {default}")
        }
        _ => format!("set it to {}{comma}{example}", field.expected_type()),
    }
}

/// Returns what to do about a missing field.
fn missing_remedy(field: &Field) -> String {
    if field.path == "peers.key" {
        return format!("set {PEER_KEY} or peers.key to {}", field.limits());
    }
    format!("add it: {}", field.limits())
}

fn join_path(section: &str, name: &str) -> String {
    if section.is_empty() {
        name.to_string()
    } else {
        format!("{section}.{name}")
    }
}

/// Returns the section of each field in a section, with repetitions.
fn sections() -> impl Iterator<Item = &'static str> {
    let sections = FIELDS.iter().map(Field::section);
    sections.filter(|section| !section.is_empty())
}

/// Lists the fields of a section for messages; at the top level also the sections.
fn field_names(section: &str) -> String {
    let fields = FIELDS.iter().filter(|field| field.section() == section);
    let mut names: Vec<_> = fields.map(Field::name).collect();
    if section.is_empty() {
        names.extend(sections());
        names.dedup();
    }
    names.join(", ")
}
