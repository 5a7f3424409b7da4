//! An in-memory table with the subset of DynamoDB's JSON protocol that the fleet uses.

use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time during which a transaction that repeats a client request token is not applied again.
const TOKEN_TTL: Duration = Duration::from_secs(600);
/// Largest number of actions in one transaction.
const MAX_ACTIONS: usize = 100;

type Item = Map<String, Value>;
type ItemKey = (String, String);

/// An error answer of the table service.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TableError {
    /// Name of the exception.
    pub(super) kind: &'static str,
    /// Cancellation codes of the actions of a cancelled transaction, in their order.
    pub(super) reasons: Vec<&'static str>,
}

impl TableError {
    /// Creates an error without cancellation codes.
    pub(super) fn new(kind: &'static str) -> TableError {
        TableError {
            kind,
            reasons: Vec::new(),
        }
    }

    /// Returns the body of the error answer.
    pub(super) fn body(&self) -> Vec<u8> {
        let mut body = json!({
            "__type": format!("com.amazonaws.dynamodb.v20120810#{}", self.kind),
            "message": self.kind,
        });
        if !self.reasons.is_empty() {
            let reasons: Vec<Value> = self.reasons.iter().map(|c| json!({ "Code": c })).collect();
            body["CancellationReasons"] = Value::Array(reasons);
        }
        body.to_string().into_bytes()
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct GetItem {
    key: Item,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Query {
    key_condition_expression: String,
    expression_attribute_values: Item,
    #[serde(default)]
    exclusive_start_key: Option<Item>,
    #[serde(default)]
    limit: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Transaction {
    transact_items: Vec<Action>,
    #[serde(default)]
    client_request_token: Option<String>,
}

#[derive(Deserialize)]
enum Action {
    Put(Change),
    Delete(Change),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Change {
    /// Present in a put.
    #[serde(default)]
    item: Item,
    /// Present in a delete.
    #[serde(default)]
    key: Item,
    #[serde(default)]
    condition_expression: Option<String>,
    #[serde(default)]
    expression_attribute_names: BTreeMap<String, String>,
    #[serde(default)]
    expression_attribute_values: Item,
}

/// Rows by partition and sort key.
#[derive(Debug, Default)]
pub(super) struct Rows {
    items: BTreeMap<ItemKey, Item>,
    tokens: BTreeMap<String, (Instant, Vec<u8>)>,
}

impl Rows {
    /// Answers `GetItem`.
    pub(super) fn get(&self, body: &[u8]) -> Result<Value, TableError> {
        let request: GetItem = parse(body)?;
        let item = self.items.get(&key_of(&request.key)?);
        Ok(item.map_or_else(|| json!({}), |item| json!({ "Item": item })))
    }

    /// Answers `Query`: `pk = :pk`, with `begins_with(sk, :prefix)` or without.
    pub(super) fn query(&self, body: &[u8]) -> Result<Value, TableError> {
        let request: Query = parse(body)?;
        let values = &request.expression_attribute_values;
        let partition = text(values, ":pk")?;
        let prefix = match request.key_condition_expression.as_str() {
            "pk = :pk" => String::new(),
            "pk = :pk AND begins_with(sk, :prefix)" => text(values, ":prefix")?,
            _ => return Err(invalid()),
        };
        let after = request
            .exclusive_start_key
            .as_ref()
            .map(key_of)
            .transpose()?;
        let limit = request.limit.unwrap_or(usize::MAX);
        let mut found = self
            .items
            .range((partition.clone(), prefix.clone())..)
            .take_while(|((pk, sk), _)| *pk == partition && sk.starts_with(&prefix))
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let page: Vec<(&ItemKey, &Item)> = found.by_ref().take(limit).collect();
        let items: Vec<&Item> = page.iter().map(|(_, item)| *item).collect();
        let mut answer = json!({ "Items": items, "Count": items.len() });
        if let (Some(_), Some(((pk, sk), _))) = (found.next(), page.last()) {
            answer["LastEvaluatedKey"] = json!({ "pk": { "S": pk }, "sk": { "S": sk } });
        }
        Ok(answer)
    }

    /// Answers `TransactWriteItems` and returns the number of rows written.
    pub(super) fn transact(&mut self, body: &[u8]) -> Result<usize, TableError> {
        let request: Transaction = parse(body)?;
        self.tokens.retain(|_, (at, _)| at.elapsed() < TOKEN_TTL);
        let token = request.client_request_token;
        if let Some((_, earlier)) = token.as_ref().and_then(|token| self.tokens.get(token)) {
            return match earlier == body {
                true => Ok(0),
                false => Err(TableError::new("IdempotentParameterMismatchException")),
            };
        }
        let mut changes = BTreeMap::new();
        let mut reasons = Vec::new();
        for action in request.transact_items {
            let (change, key) = match &action {
                Action::Put(change) => (change, key_of(&change.item)?),
                Action::Delete(change) => (change, key_of(&change.key)?),
            };
            let holds = condition_holds(change, self.items.get(&key))?;
            reasons.push(if holds {
                "None"
            } else {
                "ConditionalCheckFailed"
            });
            let item = match action {
                Action::Put(change) => Some(change.item),
                Action::Delete(_) => None,
            };
            // Like DynamoDB, refuse two actions on one item in a transaction.
            if changes.insert(key, item).is_some() {
                return Err(invalid());
            }
        }
        if reasons.is_empty() || reasons.len() > MAX_ACTIONS {
            return Err(invalid());
        }
        if reasons.contains(&"ConditionalCheckFailed") {
            return Err(TableError {
                kind: "TransactionCanceledException",
                reasons,
            });
        }
        for (key, item) in changes {
            match item {
                Some(item) => drop(self.items.insert(key, item)),
                None => drop(self.items.remove(&key)),
            }
        }
        if let Some(token) = token {
            self.tokens.insert(token, (Instant::now(), body.to_vec()));
        }
        Ok(reasons.len())
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|_| invalid())
}

fn invalid() -> TableError {
    TableError::new("ValidationException")
}

fn text(item: &Item, name: &str) -> Result<String, TableError> {
    let value = item.get(name).and_then(|value| value["S"].as_str());
    match value {
        Some(value) if !value.is_empty() => Ok(value.to_string()),
        _ => Err(invalid()),
    }
}

fn key_of(item: &Item) -> Result<ItemKey, TableError> {
    Ok((text(item, "pk")?, text(item, "sk")?))
}

/// Evaluates `attribute_not_exists(pk)` and `#name = :value`.
fn condition_holds(change: &Change, row: Option<&Item>) -> Result<bool, TableError> {
    let Some(expression) = &change.condition_expression else {
        return Ok(true);
    };
    if expression == "attribute_not_exists(pk)" {
        return Ok(row.is_none());
    }
    let (name, value) = expression.split_once(" = ").ok_or_else(invalid)?;
    let name = change
        .expression_attribute_names
        .get(name)
        .ok_or_else(invalid)?;
    let value = change
        .expression_attribute_values
        .get(value)
        .ok_or_else(invalid)?;
    Ok(row.and_then(|row| row.get(name)) == Some(value))
}
