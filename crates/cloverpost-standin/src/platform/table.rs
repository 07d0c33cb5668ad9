//! Table.

use bytes::Bytes;
use cloverpost_platform::dynamodb::{self, Operation};
use cloverpost_platform::table::{Key, Outcome, Row, Table as _, Write};
use cloverpost_platform::{fault, memory};
use hyper::{Request, StatusCode};

use crate::platform::reply;

/// Error type of a request that is not supported or exceeds the limits.
const INVALID: &str = "ValidationException";

/// Error type of a throttled request, which had no effect.
const THROTTLED: &str = "ThrottlingException";

/// Default maximum number of items in a query response.
const DEFAULT_LIMIT: usize = 1000;

/// Reason why a request failed.
enum Error {
    /// The request is invalid or not supported.
    Invalid(String),
    /// The service failed.
    Fault(fault::Fault),
}

/// Handles a request.
pub async fn handle(
    table: &memory::Table,
    request: &Request<Bytes>,
) -> Result<reply::Reply, reply::NoResponse> {
    let handled = match operation(request) {
        Ok(Operation::GetItem) => get(table, request.body()).await,
        Ok(Operation::Query) => query(table, request.body()).await,
        Ok(Operation::TransactWriteItems) => transact(table, request.body()).await,
        Err(error) => Err(error),
    };
    match handled {
        Ok(reply) => Ok(reply),
        Err(Error::Invalid(reason)) => Ok(error_response(&dynamodb::ErrorResponse::new(
            INVALID, reason,
        ))),
        Err(Error::Fault(fault)) => {
            let rejection =
                error_response(&dynamodb::ErrorResponse::new(THROTTLED, &*fault.reason));
            reply::fault_response(&fault, rejection)
        }
    }
}

fn operation(request: &Request<Bytes>) -> Result<Operation, Error> {
    let target = request.headers().get(dynamodb::TARGET_HEADER);
    let target = target.and_then(|value| value.to_str().ok()).unwrap_or("");
    target.parse().map_err(|error| invalid(&error))
}

async fn get(table: &memory::Table, body: &Bytes) -> Result<reply::Reply, Error> {
    let get: dynamodb::GetItem = serde_json::from_slice(body).map_err(|error| invalid(&error))?;
    let key: Key = get.key.try_into().map_err(|error| invalid(&error))?;
    let row = table.read(&key).await.map_err(Error::Fault)?;
    let item = row.map(|row| (key, row).into());
    Ok(ok(&dynamodb::GetItemOutput { item }))
}

async fn query(table: &memory::Table, body: &Bytes) -> Result<reply::Reply, Error> {
    let query: dynamodb::Query = serde_json::from_slice(body).map_err(|error| invalid(&error))?;
    if query.key_condition_expression != dynamodb::KEY_CONDITION {
        return Err(invalid(&"unsupported key condition"));
    }
    let partition = query.expression_attribute_values.get(":pk");
    let partition = partition.ok_or_else(|| invalid(&"no :pk"))?.clone();
    let partition = partition.into_text().map_err(|error| invalid(&error))?;
    let after = query.exclusive_start_key.map(Key::try_from).transpose();
    let after = after
        .map_err(|error| invalid(&error))?
        .map_or(String::new(), |key| key.sort);
    let limit = query.limit.unwrap_or(DEFAULT_LIMIT);
    let rows = table.list(&partition, &after, limit).await;
    Ok(ok(&page(rows.map_err(Error::Fault)?, limit)))
}

/// Truncates `rows` to one page and sets the start key of the next if there may be more rows.
fn page(rows: Vec<(Key, Row)>, limit: usize) -> dynamodb::QueryOutput {
    let mut output = dynamodb::QueryOutput::default();
    let mut bytes = 0;
    let all = rows.len();
    let mut last = None;
    for (key, row) in rows {
        bytes += row.value.len();
        if bytes > dynamodb::MAX_PAGE_BYTES && last.is_some() {
            break;
        }
        last = Some(key.clone());
        output.items.push((key, row).into());
    }
    if output.items.len() < all || all == limit {
        output.last_evaluated_key = last.map(Into::into);
    }
    output
}

async fn transact(table: &memory::Table, body: &Bytes) -> Result<reply::Reply, Error> {
    let transaction: dynamodb::TransactWriteItems =
        serde_json::from_slice(body).map_err(|error| invalid(&error))?;
    let writes = transaction.transact_items.into_iter().map(Write::try_from);
    let writes: Vec<Write> = writes
        .collect::<Result<_, _>>()
        .map_err(|error| invalid(&error))?;
    match table.write(writes).await.map_err(Error::Fault)? {
        Outcome::Written => Ok(ok(&serde_json::Map::new())),
        Outcome::Conflict => Ok(error_response(&dynamodb::ErrorResponse::condition_failed())),
    }
}

fn ok(output: &impl serde::Serialize) -> reply::Reply {
    reply::json(StatusCode::OK, dynamodb::CONTENT_TYPE, output)
}

fn error_response(error: &dynamodb::ErrorResponse) -> reply::Reply {
    reply::json(StatusCode::BAD_REQUEST, dynamodb::CONTENT_TYPE, error)
}

fn invalid(reason: &impl ToString) -> Error {
    Error::Invalid(reason.to_string())
}
