//! The HTTP client of the table service.

use crate::dynamo::{self, Operation};
use crate::platform;
use crate::{Op, Page, Row, StoreFuture, Table, TableError};
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method};
use sequoiaridge_core::{Nonce, Verdict};
use sequoiaridge_http::Client;
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum size of a response body in bytes; the service ends a page of a query at 1 MiB.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A [`Table`] that speaks DynamoDB's JSON protocol.
#[derive(Clone, Debug)]
pub struct HttpTable {
    server: SocketAddr,
    table: String,
    client: Client,
}

impl HttpTable {
    /// Creates a client of `table` at `server`.
    pub fn new(server: SocketAddr, table: impl Into<String>, client: Client) -> HttpTable {
        HttpTable {
            server,
            table: table.into(),
            client,
        }
    }

    /// Sends an operation. A `body` of `None` means that a key is invalid.
    async fn call(&self, operation: Operation, body: Option<Value>) -> Result<Bytes, TableError> {
        let body = body.ok_or(TableError::Refused)?;
        let mut headers = HeaderMap::new();
        headers.insert(
            HeaderName::from_static("x-amz-target"),
            HeaderValue::from_static(operation.target()),
        );
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/x-amz-json-1.0"),
        );
        let body = Bytes::from(body.to_string());
        let (client, server) = (&self.client, self.server);
        let exchange = platform::send(
            client,
            server,
            Method::POST,
            "/",
            &headers,
            body,
            MAX_RESPONSE_BYTES,
        );
        match exchange.await {
            Ok((status, response)) if status.is_success() => Ok(response),
            Ok((status, response)) if status.is_client_error() => {
                Err(dynamo::response_error(&response))
            }
            Ok(_) => Err(TableError::Unknown),
            Err(Verdict::NotRun) => Err(TableError::Refused),
            Err(_) => Err(TableError::Unknown),
        }
    }
}

impl Table for HttpTable {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move {
            let body = dynamo::get_body(&self.table, key);
            let response = self.call(Operation::Get, body).await?;
            dynamo::get_response(&response).ok_or(TableError::Unknown)
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> StoreFuture<'a, Result<Page, TableError>> {
        Box::pin(async move {
            let body = dynamo::query_body(&self.table, prefix, after, limit);
            let response = self.call(Operation::Query, body).await?;
            dynamo::query_response(&response).ok_or(TableError::Unknown)
        })
    }

    fn commit(&self, ops: Vec<Op>, token: Nonce) -> StoreFuture<'_, Result<(), TableError>> {
        Box::pin(async move {
            let body = dynamo::transact_body(&self.table, &ops, token);
            self.call(Operation::Transact, body).await.map(drop)
        })
    }
}
