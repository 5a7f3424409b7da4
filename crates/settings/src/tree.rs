//! YAML tree with the position of each value, so that all problems can be reported at once.

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Error, Location, NonFiniteFloatPolicy, Options, Spanned};
use std::fmt;

/// A YAML value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Tree {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Spanned<Tree>>),
    Map(Vec<(Spanned<String>, Spanned<Tree>)>),
}

impl Tree {
    /// Parses a document. Duplicate keys are kept, so that they can be reported by name and
    /// line.
    pub(crate) fn parse(text: &str) -> Result<Spanned<Tree>, Error> {
        let mut options = Options::default();
        options.duplicate_keys = DuplicateKeyPolicy::PassThrough;
        // A snippet in an error message could reveal a key. So could the parser's error for an
        // unquoted key such as 12e999..., which YAML parses as an infinite number; the field's
        // check rejects that number instead.
        options.with_snippet = false;
        options.non_finite_float_policy = NonFiniteFloatPolicy::PassThrough;
        serde_saphyr::from_str_with_options(text, options)
    }

    /// Returns the type of the value as text, for messages.
    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            Tree::Null => "no value",
            Tree::Bool => "true or false",
            Tree::Number(_) => "a number",
            Tree::Text(_) => "a text",
            Tree::List(_) => "a list",
            Tree::Map(_) => "a section",
        }
    }
}

/// Returns the line and column, as far as they are known.
pub(crate) fn position(location: Location) -> (Option<u64>, Option<u64>) {
    let known = |number| (number > 0).then_some(number);
    (known(location.line()), known(location.column()))
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }

    fn visit_none<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Tree, E> {
        Ok(Tree::Bool)
    }

    fn visit_i64<E>(self, value: i64) -> Result<Tree, E> {
        Ok(Tree::Number(value as f64))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Tree, E> {
        Ok(Tree::Number(value as f64))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Tree, E> {
        Ok(Tree::Number(value as f64))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Tree, E> {
        Ok(Tree::Number(value as f64))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Tree, E> {
        Ok(Tree::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Tree, E> {
        Ok(Tree::Text(value.to_string()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Tree::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Tree::Map(entries))
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Tree, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}
