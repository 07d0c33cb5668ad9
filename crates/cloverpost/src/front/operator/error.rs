//! Errors of operators' requests and their responses.

use cloverpost_core::refusal::Refusal;
use http::{Response, StatusCode};

use crate::front::{Body, response};
use crate::revisions;

/// Reason why a request of an operator failed.
#[derive(Debug)]
pub enum Error {
    /// No operator owns the key.
    UnknownKey,
    /// No such path or revision.
    UnknownPath,
    /// The path does not support the method.
    WrongMethod,
    /// A header is missing or malformed; the text states the expected form.
    Header(&'static str),
    /// The body could not be read.
    Body(Box<Refusal>),
    /// The edit is not a valid catalogue; the text lists the errors.
    Invalid(String),
    /// Another edit was accepted first.
    Conflict(Option<Box<revisions::Record>>),
    /// The store is unavailable; nothing was changed.
    Unavailable(String),
    /// The outcome of the write is unknown; the edit may have been accepted.
    Unknown(String),
}

impl Error {
    /// Builds the response for the error.
    pub fn response(self) -> Response<Body> {
        let (status, code, message) = match self {
            Self::UnknownKey => (
                StatusCode::UNAUTHORIZED,
                "unknown_key",
                "want a header `Authorization: Bearer KEY` with an operator's key".to_owned(),
            ),
            Self::UnknownPath => (
                StatusCode::NOT_FOUND,
                "unknown_path",
                "nothing here".to_owned(),
            ),
            Self::WrongMethod => (
                StatusCode::METHOD_NOT_ALLOWED,
                "wrong_method",
                "this path takes GET and PUT".to_owned(),
            ),
            Self::Header(expected) => (
                StatusCode::BAD_REQUEST,
                "malformed_header",
                expected.to_owned(),
            ),
            Self::Body(refusal) => return response::refusal(&refusal),
            Self::Invalid(errors) => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "invalid_catalogue",
                errors,
            ),
            Self::Conflict(record) => return conflict(record.as_deref()),
            Self::Unavailable(reason) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "store_unavailable",
                format!("nothing was changed: {reason}"),
            ),
            Self::Unknown(reason) => (
                StatusCode::BAD_GATEWAY,
                "outcome_unknown",
                format!(
                    "the edit may have been accepted; repeat it with the same edit id: {reason}"
                ),
            ),
        };
        let body = serde_json::json!({"error": {"code": code, "message": message}});
        response::json(status, &body)
    }
}

fn conflict(record: Option<&revisions::Record>) -> Response<Body> {
    let message = record.map_or_else(
        || "the catalogue has no revision yet".to_owned(),
        |record| format!("revision {} was made by {}", record.number, record.editor),
    );
    let body = serde_json::json!({"error": {
        "code": "revision_conflict",
        "message": message,
        "revision": record.map(|record| record.number.get()),
        "editor": record.map(|record| record.editor.to_string()),
    }});
    response::json(StatusCode::CONFLICT, &body)
}

impl From<revisions::Error> for Error {
    fn from(error: revisions::Error) -> Self {
        Self::Unavailable(error.to_string())
    }
}
