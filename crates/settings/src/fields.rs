//! Description of a field.

use crate::secret::KEY_BYTES;

/// Longest name in bytes.
const MAX_NAME: usize = 64;

/// Kind of value that a field takes, with its limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name of an instance, domain, region, table or bucket.
    Name,
    /// An IP address with a port to listen on; port 0 takes a free one.
    Listen,
    /// An IP address with a port.
    Address,
    /// A list of IP addresses with ports.
    Addresses,
    /// A key of 32 bytes in hexadecimal, which is never printed.
    Key,
    /// A digest of 32 bytes in hexadecimal. It is never printed, because an operator may have put
    /// the token itself in its place.
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

/// Value of a field that is not given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Preset {
    /// There is none: the field must be given.
    Required,
    /// The field may be absent.
    Absent,
    /// A number.
    Number(f64),
    /// A word.
    Text(&'static str),
    /// An empty list.
    Empty,
}

/// One field of the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Section and name, such as `links.silence`.
    pub path: &'static str,
    /// Kind and limits of the value.
    pub kind: Kind,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Value if the field is not given.
    pub preset: Preset,
}

impl Field {
    /// Section of the field; empty at the top level.
    pub fn section(&self) -> &'static str {
        self.path.split_once('.').map_or("", |(section, _)| section)
    }

    /// Name of the field within its section.
    pub fn name(&self) -> &'static str {
        self.path
            .split_once('.')
            .map_or(self.path, |(_, name)| name)
    }

    /// The default in words.
    pub fn default_text(&self) -> String {
        match self.preset {
            Preset::Required => "required".to_string(),
            Preset::Absent => "none".to_string(),
            Preset::Number(number) => number.to_string(),
            Preset::Text(text) => text.to_string(),
            Preset::Empty => "empty".to_string(),
        }
    }

    /// The limits in words.
    pub fn limits(&self) -> String {
        match self.kind {
            Kind::Name => format!("1 to {MAX_NAME} characters of a-z, 0-9, '-', '_' and '.'"),
            Kind::Listen => "IP address and port; port 0 takes a free port".to_string(),
            Kind::Address => "IP address and port, port not 0".to_string(),
            Kind::Addresses => "IP addresses and ports, ports not 0, no duplicates".to_string(),
            Kind::Key | Kind::Digest => format!("{} hexadecimal digits", 2 * KEY_BYTES),
            Kind::Seconds(low, high) | Kind::Number(low, high) => format!("{low} to {high}"),
            Kind::Count(low, high) => format!("{low} to {high}"),
            Kind::Choice(words) => words.join(", "),
        }
    }

    /// Whether values of the field must not appear in messages.
    pub fn hidden(&self) -> bool {
        matches!(self.kind, Kind::Key | Kind::Digest)
    }

    /// The value that the field takes, for messages about a wrong type.
    pub(crate) fn wanted(&self) -> &'static str {
        match self.kind {
            Kind::Name | Kind::Choice(_) => "a text",
            Kind::Listen | Kind::Address => "an address in quotes",
            Kind::Addresses => "a list of addresses",
            Kind::Key | Kind::Digest => "hexadecimal digits in quotes",
            Kind::Seconds(..) => "a number of seconds",
            Kind::Number(..) => "a number",
            Kind::Count(..) => "a whole number",
        }
    }
}

/// Whether a text is a valid name.
pub(crate) fn valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    (1..=MAX_NAME).contains(&name.len()) && name.bytes().all(allowed)
}
