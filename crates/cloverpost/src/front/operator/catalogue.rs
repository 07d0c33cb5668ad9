//! Reads and edits the catalogue.

use bytes::Bytes;
use cloverpost_core::id;
use cloverpost_core::spread::Edition;
use cloverpost_platform::Platform;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::clock;
use crate::front::operator::{Error, OperatorApi};
use crate::front::{Body, response, upload};
use crate::revisions::{Record, write};
use crate::settings;

/// Id of an edit, which makes a retry after a lost response idempotent.
const EDIT: HeaderName = HeaderName::from_static("cloverpost-edit");
/// Operator's description of an edit.
const COMMENT: HeaderName = HeaderName::from_static("cloverpost-comment");
/// Maximum number of revisions in a list.
const MAX_LISTED: usize = 100;

impl<P: Platform> OperatorApi<P> {
    /// Returns the newest catalogue as TOML, with its revision as `ETag`.
    pub(super) async fn read_catalogue(&self) -> Result<Response<Body>, Error> {
        let newest = self.revisions.newest(id::Revision::default()).await?;
        let (number, text) = match newest {
            Some(record) => (record.number, self.revisions.text(&record).await?),
            None => (id::Revision::default(), String::new()),
        };
        let mut response = Response::new(Body::from(Bytes::from(text)));
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/toml");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Ok(tag) = HeaderValue::try_from(format!("\"{number}\"")) {
            headers.insert(header::ETAG, tag);
        }
        Ok(response)
    }

    /// Writes the body as the successor of the revision in `If-Match`.
    pub(super) async fn edit_catalogue(
        &self,
        operator: &settings::Operator,
        incoming: http::Request<Incoming>,
    ) -> Result<Response<Body>, Error> {
        let (head, body) = incoming.into_parts();
        let base = base_revision(&head.headers)?;
        let edit = edit_id(&head.headers)?;
        let mut upload = upload::Upload::new(body, &self.state.settings.limits);
        let body = upload.read().await;
        upload.discard();
        let body = body.map_err(|refusal| Error::Body(Box::new(refusal)))?;
        let text = String::from_utf8(body.to_vec())
            .map_err(|_| Error::Invalid("the catalogue is no UTF-8".to_owned()))?;
        let editor = operator.name.parse();
        let new_edit = write::Edit {
            base,
            edit,
            editor: editor.map_err(|_| Error::UnknownKey)?,
            stamp: clock::stamp(),
            comment: comment(&head.headers),
            text,
        };
        let write_started = self.state.clock.now();
        let text = new_edit.text.clone();
        match self.revisions.write(new_edit).await {
            Ok(write::Outcome::Accepted(record)) => {
                let edition = Edition::new(record.number, text);
                // Fails only during shutdown.
                let _ = self.spread.accepted(write_started, edition).await;
                Ok(accepted(&record))
            }
            Ok(write::Outcome::Conflict(record)) => Err(Error::Conflict(record.map(Box::new))),
            Err(write::Error::Invalid(errors)) => Err(Error::Invalid(errors.to_string())),
            Err(write::Error::NotAccepted(error)) => Err(Error::Unavailable(error.to_string())),
            Err(write::Error::Unknown(error)) => Err(Error::Unknown(error.to_string())),
        }
    }

    /// Lists the newest revisions with their editors, newest first.
    pub(super) async fn list_revisions(&self) -> Result<Response<Body>, Error> {
        let records = self.revisions.history(MAX_LISTED).await?;
        let list: Vec<_> = records.iter().map(to_json).collect();
        Ok(response::json(
            StatusCode::OK,
            &serde_json::json!({"revisions": list}),
        ))
    }

    /// Returns a revision and the VMs on which it is in force.
    pub(super) async fn read_revision(&self, number: &str) -> Result<Response<Body>, Error> {
        let number = number.parse().map_err(|_| Error::UnknownPath)?;
        let record = self.revisions.read(number).await?;
        let record = record.ok_or(Error::UnknownPath)?;
        let mut body = to_json(&record);
        let status = self.spread.status(number).await;
        let status = status.map_err(|error| Error::Unavailable(error.to_string()))?;
        body["held"] = status.held.into();
        body["in_force"] = status.in_force.into();
        body["in_force_on"] = vm_names(&status.in_force_on);
        body["not_yet"] = vm_names(&status.not_yet);
        Ok(response::json(StatusCode::OK, &body))
    }
}

fn vm_names(vms: &[id::Vm]) -> serde_json::Value {
    vms.iter().map(id::Vm::as_str).collect()
}

fn to_json(record: &Record) -> serde_json::Value {
    serde_json::json!({
        "revision": record.number.get(),
        "before": record.predecessor.get(),
        "edit": record.edit.to_string(),
        "editor": record.editor.to_string(),
        "stamp_ms": record.stamp.as_millis(),
        "comment": record.comment,
        "hash": record.hash,
    })
}

fn accepted(record: &Record) -> Response<Body> {
    response::json(StatusCode::OK, &to_json(record))
}

/// Parses the revision in `If-Match`.
fn base_revision(headers: &http::HeaderMap) -> Result<id::Revision, Error> {
    let expected = "want a header `If-Match: \"REVISION\"`, 0 for the first edit";
    let value = headers
        .get(header::IF_MATCH)
        .ok_or(Error::Header(expected))?;
    let text = value.to_str().map_err(|_| Error::Header(expected))?;
    text.trim_matches('"')
        .parse()
        .map_err(|_| Error::Header(expected))
}

/// Parses the id of an edit, or generates one if the header is missing.
fn edit_id(headers: &http::HeaderMap) -> Result<id::Edit, Error> {
    let expected = "want `Cloverpost-Edit` to be up to 32 hexadecimal digits";
    match headers.get(EDIT) {
        None => Ok(id::Edit::random(&mut rand::rng())),
        Some(value) => {
            let text = value.to_str().map_err(|_| Error::Header(expected))?;
            text.parse().map_err(|_| Error::Header(expected))
        }
    }
}

fn comment(headers: &http::HeaderMap) -> String {
    let value = headers.get(COMMENT).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
