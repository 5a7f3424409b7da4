//! Checks a YAML tree against the table of fields.

use crate::fields::{Field, Kind, Preset, valid_name};
use crate::table::FIELDS;
use crate::tree::{Tree, place};
use crate::values::{Place, Value, Values};
use crate::{Environment, Mistake, PEER_KEY, PREVIOUS_PEER_KEY, Problem, Secret};
use serde_saphyr::Spanned;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Name under which mistakes in environment variables are reported.
const ENVIRONMENT: &str = "environment";

/// Reads values and collects mistakes.
pub(crate) struct Reader {
    file: String,
    pub(crate) values: Values,
    pub(crate) problems: Vec<Problem>,
}

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
                let at = error.location().map_or((None, None), place);
                let mistake = Mistake::Syntax(error.to_string());
                self.report(at, "", mistake, "correct the YAML at this place");
            }
        }
    }

    /// Takes keys from the environment, then fills in defaults.
    pub(crate) fn complete(&mut self, environment: &Environment) {
        self.read_variable("peers.key", PEER_KEY, &environment.peer_key);
        let previous = &environment.previous_peer_key;
        self.read_variable("peers.previous_key", PREVIOUS_PEER_KEY, previous);
        for field in FIELDS {
            let given = self.values.values.contains_key(field.path);
            // A mistake in the field or its whole section is reported only once.
            let mut reported = self.problems.iter().map(|problem| &problem.field);
            if given || reported.any(|name| [field.path, field.section()].contains(&&**name)) {
                continue;
            }
            let value = match field.preset {
                Preset::Absent => continue,
                Preset::Required => {
                    self.report((None, None), field.path, Mistake::Missing, &add(field));
                    continue;
                }
                Preset::Number(number) => Value::Number(number),
                Preset::Text(text) => Value::Text(text.to_string()),
                Preset::Empty => Value::Addresses(Vec::new()),
            };
            self.values.values.insert(field.path, (value, (None, None)));
        }
    }

    /// Adds a mistake.
    pub(crate) fn report(&mut self, at: Place, field: &str, mistake: Mistake, remedy: &str) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line: at.0,
            column: at.1,
            field: field.to_string(),
            mistake,
            remedy: remedy.to_string(),
        });
    }

    fn read_section(&mut self, section: &'static str, tree: Spanned<Tree>) {
        let at = place(tree.referenced);
        match tree.value {
            Tree::Null => {}
            Tree::Map(entries) => self.read_entries(section, entries),
            other => {
                let wanted = "a section of fields".to_string();
                let found = other.kind();
                let remedy = format!("write its fields as `name: value`: {}", names(section));
                self.report(at, section, Mistake::WrongType { found, wanted }, &remedy);
            }
        }
    }

    fn read_entries(&mut self, section: &'static str, entries: Entries) {
        let mut seen = BTreeMap::new();
        for (key, tree) in entries {
            let at = place(key.referenced);
            let path = join(section, &key.value);
            if let Some(first) = seen.insert(key.value, at) {
                let mistake = Mistake::Duplicate(first.0.unwrap_or_default());
                self.report(
                    at,
                    &path,
                    mistake,
                    "keep one of the two and remove the other",
                );
                continue;
            }
            if let Some(field) = FIELDS.iter().find(|field| field.path == path) {
                self.read_field(field, tree);
            } else if let Some(inner) = sections().find(|inner| *inner == path) {
                self.read_section(inner, tree);
            } else {
                let remedy = format!("remove it or use one of: {}", names(section));
                self.report(at, &path, Mistake::Unknown, &remedy);
            }
        }
    }

    fn read_field(&mut self, field: &'static Field, tree: Spanned<Tree>) {
        let at = place(tree.referenced);
        if let Kind::Addresses = field.kind {
            return self.read_list(field, tree);
        }
        match check(field, &tree.value) {
            Ok(value) => drop(self.values.values.insert(field.path, (value, at))),
            Err(mistake) => {
                let remedy = remedy(field, &mistake);
                self.report(at, field.path, mistake, &remedy);
            }
        }
    }

    fn read_list(&mut self, field: &'static Field, tree: Spanned<Tree>) {
        let at = place(tree.referenced);
        let Tree::List(items) = tree.value else {
            let mistake = wrong_type(field, &tree.value);
            let remedy = remedy(field, &mistake);
            return self.report(at, field.path, mistake, &remedy);
        };
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let before = self.problems.len();
        for item in items {
            let item_at = place(item.referenced);
            match check_address(field, &item.value) {
                Ok(address) if addresses.contains(&address) => {
                    let mistake = Mistake::Conflict(format!("{address} is given twice"));
                    self.report(item_at, field.path, mistake, "remove the duplicate");
                }
                Ok(address) => addresses.push(address),
                Err(mistake) => {
                    let remedy = remedy(field, &mistake);
                    self.report(item_at, field.path, mistake, &remedy);
                }
            }
        }
        if self.problems.len() == before {
            let value = Value::Addresses(addresses);
            self.values.values.insert(field.path, (value, at));
        }
    }

    fn read_variable(&mut self, path: &'static str, name: &str, value: &Option<String>) {
        let Some(text) = value else { return };
        if let Some(key) = Secret::from_hex(text) {
            // The file's key is not in force, so a mistake in it does not matter.
            self.problems.retain(|problem| problem.field != path);
            let entry = (Value::Key(key), (None, None));
            self.values.values.insert(path, entry);
            return;
        }
        let Some(field) = FIELDS.iter().find(|field| field.path == path) else {
            return;
        };
        self.values.values.remove(path);
        let mistake = out_of_range(field, text.clone());
        self.problems.push(Problem {
            file: ENVIRONMENT.to_string(),
            line: None,
            column: None,
            field: path.to_string(),
            remedy: format!("set {name} to {} or unset it", field.limits()),
            mistake,
        });
    }
}

fn check(field: &Field, tree: &Tree) -> Result<Value, Mistake> {
    match (field.kind, tree) {
        (Kind::Seconds(low, high) | Kind::Number(low, high), Tree::Number(number)) => {
            let within = (low..=high).contains(number);
            let value = Value::Number(*number);
            within
                .then_some(value)
                .ok_or_else(|| out_of_range(field, number.to_string()))
        }
        (Kind::Count(low, high), Tree::Number(number)) => {
            let within = (low as f64..=high as f64).contains(number) && number.fract() == 0.0;
            let value = Value::Number(*number);
            within
                .then_some(value)
                .ok_or_else(|| out_of_range(field, number.to_string()))
        }
        (Kind::Listen | Kind::Address, tree) => check_address(field, tree).map(Value::Address),
        (Kind::Key, Tree::Text(text)) => {
            let key = Secret::from_hex(text).map(Value::Key);
            key.ok_or_else(|| out_of_range(field, text.clone()))
        }
        (Kind::Name | Kind::Digest | Kind::Choice(_), Tree::Text(text)) => {
            let valid = match field.kind {
                Kind::Choice(words) => words.contains(&text.as_str()),
                Kind::Digest => Secret::from_hex(text).is_some(),
                _ => valid_name(text),
            };
            let value = || Value::Text(text.clone());
            valid
                .then(value)
                .ok_or_else(|| out_of_range(field, text.clone()))
        }
        _ => Err(wrong_type(field, tree)),
    }
}

fn check_address(field: &Field, tree: &Tree) -> Result<SocketAddr, Mistake> {
    let Tree::Text(text) = tree else {
        return Err(wrong_type(field, tree));
    };
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 || field.kind == Kind::Listen => Ok(address),
        _ => Err(out_of_range(field, text.clone())),
    }
}

fn wrong_type(field: &Field, tree: &Tree) -> Mistake {
    Mistake::WrongType {
        found: tree.kind(),
        wanted: format!("{} ({})", field.wanted(), field.limits()),
    }
}

fn out_of_range(field: &Field, value: String) -> Mistake {
    let value = if field.hidden() {
        format!("a text of {} characters", value.chars().count())
    } else {
        value
    };
    let unit = field.unit;
    let space = if unit.is_empty() { "" } else { " " };
    Mistake::OutOfRange {
        value,
        limits: format!("{}{space}{unit}", field.limits()),
    }
}

fn remedy(field: &Field, mistake: &Mistake) -> String {
    let example = match field.kind {
        Kind::Listen | Kind::Address => "such as \"10.0.0.1:7000\"",
        Kind::Addresses => "such as [\"10.0.0.1:7002\"]",
        Kind::Key => "made for example with `openssl rand -hex 32`",
        Kind::Name => "in quotes if it looks like a number",
        Kind::Digest => "the BLAKE3 digest of the token, not the token",
        _ => "",
    };
    let comma = if example.is_empty() { "" } else { ", " };
    match field.preset {
        Preset::Number(_) | Preset::Text(_) => {
            let change = match mistake {
                Mistake::WrongType { .. } => format!("write {}", field.wanted()),
                _ => "change it".to_string(),
            };
            let preset = field.default_text();
            format!("{change}, or remove it for the default of {preset}")
        }
        _ => format!("set it to {}{comma}{example}", field.wanted()),
    }
}

fn add(field: &Field) -> String {
    if field.path == "peers.key" {
        return format!("set {PEER_KEY} or peers.key to {}", field.limits());
    }
    format!("add it: {}", field.limits())
}

fn join(section: &str, name: &str) -> String {
    if section.is_empty() {
        name.to_string()
    } else {
        format!("{section}.{name}")
    }
}

fn sections() -> impl Iterator<Item = &'static str> {
    let sections = FIELDS.iter().map(Field::section);
    sections.filter(|section| !section.is_empty())
}

fn names(section: &str) -> String {
    let fields = FIELDS.iter().filter(|field| field.section() == section);
    let mut names: Vec<_> = fields.map(Field::name).collect();
    if section.is_empty() {
        names.extend(sections());
        names.dedup();
    }
    names.join(", ")
}
