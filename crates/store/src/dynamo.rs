//! The subset of DynamoDB's JSON protocol that the fleet needs: request bodies and response
//! parsers.

use crate::{Attribute, Cond, Key, Op, Page, Row, TableError};
use sequoiaridge_core::Nonce;
use serde_json::{Map, Value, json};

/// Partition key attribute: the part of a key before the first slash.
const PARTITION: &str = "pk";
/// Sort key attribute: the rest of the key.
const SORT: &str = "sk";

/// Operations of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    Get,
    Query,
    Transact,
}

impl Operation {
    /// Value of the `X-Amz-Target` header.
    pub(crate) fn target(self) -> &'static str {
        match self {
            Operation::Get => "DynamoDB_20120810.GetItem",
            Operation::Query => "DynamoDB_20120810.Query",
            Operation::Transact => "DynamoDB_20120810.TransactWriteItems",
        }
    }
}

/// Body of a `GetItem` request; `None` if the key has no partition.
pub(crate) fn get_body(table: &str, key: &str) -> Option<Value> {
    Some(json!({ "TableName": table, "Key": key_item(key)?, "ConsistentRead": true }))
}

/// Body of a `Query` request; `None` if a key has no partition.
pub(crate) fn query_body(
    table: &str,
    prefix: &str,
    after: Option<&str>,
    limit: usize,
) -> Option<Value> {
    let (partition, prefix) = prefix.split_once('/')?;
    let mut condition = "pk = :pk".to_string();
    let mut values = json!({ ":pk": { "S": partition } });
    if !prefix.is_empty() {
        condition.push_str(" AND begins_with(sk, :prefix)");
        values[":prefix"] = json!({ "S": prefix });
    }
    let mut body = json!({
        "TableName": table,
        "KeyConditionExpression": condition,
        "ExpressionAttributeValues": values,
        "ConsistentRead": true,
        "Limit": limit,
    });
    if let Some(after) = after {
        body["ExclusiveStartKey"] = key_item(after)?;
    }
    Some(body)
}

/// Body of a `TransactWriteItems` request; `None` if a key has no partition.
pub(crate) fn transact_body(table: &str, ops: &[Op], token: Nonce) -> Option<Value> {
    let items: Option<Vec<Value>> = ops.iter().map(|op| transact_item(table, op)).collect();
    Some(json!({
        "TransactItems": items?,
        "ClientRequestToken": format!("{token:032x}"),
    }))
}

/// Row of a `GetItem` response; the outer `None` means that the response is malformed.
pub(crate) fn get_response(body: &[u8]) -> Option<Option<Row>> {
    let response: Map<String, Value> = serde_json::from_slice(body).ok()?;
    match response.get("Item") {
        None => Some(None),
        Some(item) => Some(Some(row_of(item)?.1)),
    }
}

/// Rows of a `Query` response; `None` if it is malformed.
pub(crate) fn query_response(body: &[u8]) -> Option<Page> {
    let response: Value = serde_json::from_slice(body).ok()?;
    let items = response["Items"].as_array()?;
    let rows: Option<Vec<(Key, Row)>> = items.iter().map(row_of).collect();
    let next = match &response["LastEvaluatedKey"] {
        Value::Null => None,
        last => Some(row_of(last)?.0),
    };
    Some(Page { rows: rows?, next })
}

/// The error that a response with a 4xx status stands for.
pub(crate) fn response_error(body: &[u8]) -> TableError {
    let Ok(response) = serde_json::from_slice::<Value>(body) else {
        return TableError::Unknown;
    };
    let kind = response["__type"].as_str().unwrap_or_default();
    match kind.rsplit('#').next().unwrap_or_default() {
        "TransactionCanceledException" => cancellation_error(&response),
        // A transaction with the same token is still in progress.
        "TransactionInProgressException" | "" => TableError::Unknown,
        _ => TableError::Refused,
    }
}

/// The error of a cancelled transaction: a conflict at the first failed condition. A transaction
/// that was cancelled for another reason, such as `TransactionConflict` or `ThrottlingError`, can
/// be retried.
fn cancellation_error(response: &Value) -> TableError {
    let reasons = response["CancellationReasons"].as_array();
    let failed = reasons.and_then(|reasons| {
        let mut codes = reasons.iter().map(|reason| reason["Code"].as_str());
        codes.position(|code| code == Some("ConditionalCheckFailed"))
    });
    failed.map_or(TableError::Refused, |index| TableError::Conflict { index })
}

fn transact_item(table: &str, op: &Op) -> Option<Value> {
    let mut body = json!({ "TableName": table });
    let cond = match op {
        Op::Put { key, value, cond } => {
            let mut item = key_item(key)?;
            for (name, attribute) in value.attributes() {
                item[name] = attribute_value(attribute);
            }
            body["Item"] = item;
            cond
        }
        Op::Delete { key, cond } => {
            body["Key"] = key_item(key)?;
            cond
        }
    };
    match cond {
        Cond::None => {}
        Cond::Absent => body["ConditionExpression"] = json!("attribute_not_exists(pk)"),
        Cond::Equals { attribute, value } => {
            body["ConditionExpression"] = json!("#a = :v");
            body["ExpressionAttributeNames"] = json!({ "#a": attribute });
            body["ExpressionAttributeValues"] = json!({ ":v": attribute_value(value) });
        }
    }
    Some(match op {
        Op::Put { .. } => json!({ "Put": body }),
        Op::Delete { .. } => json!({ "Delete": body }),
    })
}

/// The key attributes of a row; `None` if one would be empty, which the service does not allow.
fn key_item(key: &str) -> Option<Value> {
    let (partition, sort) = key.split_once('/')?;
    let valid = !partition.is_empty() && !sort.is_empty();
    valid.then(|| json!({ PARTITION: { "S": partition }, SORT: { "S": sort } }))
}

fn attribute_value(attribute: &Attribute) -> Value {
    match attribute {
        Attribute::Text(text) => json!({ "S": text }),
        Attribute::Number(number) => json!({ "N": number.to_string() }),
    }
}

fn row_of(item: &Value) -> Option<(Key, Row)> {
    let (mut partition, mut sort) = (None, None);
    let mut row = Row::new();
    for (name, value) in item.as_object()? {
        let attribute = match (value["S"].as_str(), value["N"].as_str()) {
            (Some(text), _) => Attribute::Text(text.to_string()),
            (None, Some(number)) => Attribute::Number(number.parse().ok()?),
            (None, None) => return None,
        };
        match (name.as_str(), attribute) {
            (PARTITION, Attribute::Text(text)) => partition = Some(text),
            (SORT, Attribute::Text(text)) => sort = Some(text),
            (name, attribute) => row = row.with(name, attribute),
        }
    }
    Some((format!("{}/{}", partition?, sort?), row))
}
