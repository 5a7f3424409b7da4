//! Description of a settings field.

use crate::secret::KEY_BYTES;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// Kind of value that a field takes, with its limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// A name of an instance, domain, region, table or bucket.
    Name,
    /// An IP address with a port to listen on; port 0 selects a free one.
    Listen,
    /// An IP address with a port.
    Address,
    /// A list of IP addresses with ports.
    Addresses,
    /// A key of 32 bytes in hexadecimal, which is never printed.
    Key,
    /// A digest of 32 bytes in hexadecimal. It is never printed, because an operator may have
    /// entered the token itself by mistake.
    Digest,
    /// A duration in seconds.
    Seconds(f64, f64),
    /// A number without a unit.
    Number(f64, f64),
    /// A whole number.
    Count(u64, u64),
    /// One of several words.
    Choice(&'static [&'static str]),
}

/// Default of a field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// There is no default: the field must be given.
    Required,
    /// The field is optional.
    Absent,
    /// A number.
    Number(f64),
    /// A word.
    Text(&'static str),
    /// An empty list.
    EmptyList,
}

/// One field of the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Section and name, such as `links.silence`.
    pub path: &'static str,
    /// Kind of the value, with its limits.
    pub kind: FieldKind,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Value that applies if the field is not given.
    pub default: DefaultValue,
}

impl Field {
    /// Returns the section of the field; empty at the top level.
    pub fn section(&self) -> &'static str {
        self.path.split_once('.').map_or("", |(section, _)| section)
    }

    /// Returns the name of the field within its section.
    pub fn name(&self) -> &'static str {
        self.path
            .split_once('.')
            .map_or(self.path, |(_, name)| name)
    }

    /// Returns the default as text.
    pub fn default_text(&self) -> String {
        match self.default {
            DefaultValue::Required => "required".to_string(),
            DefaultValue::Absent => "none".to_string(),
            DefaultValue::Number(number) => number.to_string(),
            DefaultValue::Text(text) => text.to_string(),
            DefaultValue::EmptyList => "empty".to_string(),
        }
    }

    /// Returns the limits as text.
    pub fn limits(&self) -> String {
        match self.kind {
            FieldKind::Name => {
                format!("1 to {MAX_NAME_BYTES} characters of a-z, 0-9, '-', '_' and '.'")
            }
            FieldKind::Listen => "IP address and port; port 0 takes a free port".to_string(),
            FieldKind::Address => "IP address and port, port not 0".to_string(),
            FieldKind::Addresses => {
                "IP addresses and ports, ports not 0, no duplicates".to_string()
            }
            FieldKind::Key | FieldKind::Digest => format!("{} hexadecimal digits", 2 * KEY_BYTES),
            FieldKind::Seconds(low, high) | FieldKind::Number(low, high) => {
                format!("{low} to {high}")
            }
            FieldKind::Count(low, high) => format!("{low} to {high}"),
            FieldKind::Choice(words) => words.join(", "),
        }
    }

    /// Returns whether values of the field must not appear in messages.
    pub fn is_secret(&self) -> bool {
        matches!(self.kind, FieldKind::Key | FieldKind::Digest)
    }

    /// Describes the type that the field takes, for messages about a wrong type.
    pub(crate) fn expected_type(&self) -> &'static str {
        match self.kind {
            FieldKind::Name | FieldKind::Choice(_) => "a text",
            FieldKind::Listen | FieldKind::Address => "an address in quotes",
            FieldKind::Addresses => "a list of addresses",
            FieldKind::Key | FieldKind::Digest => "hexadecimal digits in quotes",
            FieldKind::Seconds(..) => "a number of seconds",
            FieldKind::Number(..) => "a number",
            FieldKind::Count(..) => "a whole number",
        }
    }
}

/// Returns whether a string is a valid name.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}
