//! Client of the table.

use bytes::Bytes;
use hyper::{Method, Response, StatusCode, Uri, header};

use crate::dynamodb::{self, Attribute, Operation};
use crate::fault;
use crate::http::{Options, client};
use crate::table::{self, Key, Outcome, Row, Write};

/// Client of the table.
#[derive(Clone, Debug)]
pub struct Table(client::Client);

impl Table {
    /// Creates a client of the table under `base`.
    #[must_use]
    pub fn new(base: Uri, options: Options) -> Self {
        Self(client::Client::new(base, options))
    }

    async fn call(
        &self,
        operation: Operation,
        input: &impl serde::Serialize,
    ) -> Result<Response<Bytes>, fault::Fault> {
        let request = self
            .0
            .request(Method::POST, "/")
            .header(header::CONTENT_TYPE, dynamodb::CONTENT_TYPE)
            .header(dynamodb::TARGET_HEADER, operation.target());
        self.0.send(request, client::encode(input)?).await
    }

    async fn query_page(
        &self,
        partition: &str,
        after: Option<dynamodb::Key>,
        limit: usize,
    ) -> Result<dynamodb::QueryOutput, fault::Fault> {
        let query = dynamodb::Query {
            table_name: self.0.options().table.clone(),
            key_condition_expression: dynamodb::KEY_CONDITION.to_owned(),
            expression_attribute_values: dynamodb::Values::default()
                .with(":pk", Attribute::text(partition)),
            consistent_read: true,
            limit: Some(limit),
            exclusive_start_key: after,
        };
        let response = self.call(Operation::Query, &query).await?;
        client::parse_json(&response)
    }

    async fn query(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(Key, Row)>, fault::Fault> {
        let mut rows = Vec::new();
        let mut after = (!after.is_empty()).then(|| Key::new(partition, after).into());
        while rows.len() < limit {
            let page = self
                .query_page(partition, after, limit - rows.len())
                .await?;
            for item in page.items {
                rows.push(item.try_into().map_err(invalid_item)?);
            }
            after = page.last_evaluated_key;
            if after.is_none() {
                break;
            }
        }
        Ok(rows)
    }

    async fn get_item(&self, key: &Key) -> Result<Option<Row>, fault::Fault> {
        let get = dynamodb::GetItem {
            table_name: self.0.options().table.clone(),
            key: key.clone().into(),
            consistent_read: true,
        };
        let response = self.call(Operation::GetItem, &get).await?;
        let output: dynamodb::GetItemOutput = client::parse_json(&response)?;
        let Some(item) = output.item else {
            return Ok(None);
        };
        let (_, row): (Key, Row) = item.try_into().map_err(invalid_item)?;
        Ok(Some(row))
    }
}

impl table::Table for Table {
    async fn read(&self, key: &Key) -> Result<Option<Row>, fault::Fault> {
        self.get_item(key).await.map_err(client::without_effect)
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(Key, Row)>, fault::Fault> {
        self.query(partition, after, limit)
            .await
            .map_err(client::without_effect)
    }

    async fn write(&self, writes: Vec<Write>) -> Result<Outcome, fault::Fault> {
        table::validate(&writes)?;
        let table_name = &self.0.options().table;
        let item = |write| dynamodb::TransactItem::new(table_name, write);
        let transaction = dynamodb::TransactWriteItems {
            transact_items: writes.into_iter().map(item).collect(),
        };
        let response = self
            .call(Operation::TransactWriteItems, &transaction)
            .await?;
        outcome(&response)
    }
}

fn outcome(response: &Response<Bytes>) -> Result<Outcome, fault::Fault> {
    if response.status() == StatusCode::OK {
        return Ok(Outcome::Written);
    }
    let error: dynamodb::ErrorResponse =
        serde_json::from_slice(response.body()).unwrap_or_default();
    if response.status() == StatusCode::BAD_REQUEST && error.is_condition_failed() {
        return Ok(Outcome::Conflict);
    }
    let mut fault = client::unexpected_status(response);
    fault.reason = format!("{} {}", fault.reason, error.name());
    Err(fault)
}

fn invalid_item(error: dynamodb::TypeMismatch) -> fault::Fault {
    fault::Fault::without_effect(error.to_string())
}
