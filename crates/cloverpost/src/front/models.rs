//! `GET /v1/models`.

use cloverpost_core::catalogue;
use http::{Response, StatusCode};

use crate::front::{Body, response};

/// Lists the models that `organisation` may use and that accept new requests.
pub fn list(
    catalogue: &catalogue::Catalogue,
    organisation: &catalogue::Organisation,
) -> Response<Body> {
    let models: Vec<_> = organisation
        .entries
        .iter()
        .filter_map(|name| catalogue.entry(name))
        .filter(|entry| entry.kind == catalogue::Kind::Model && entry.state.accepts_new_requests())
        .map(|entry| {
            serde_json::json!({
                "id": entry.name.as_str(),
                "object": "model",
                "created": 0,
                "owned_by": entry.owner,
            })
        })
        .collect();
    let list = serde_json::json!({"object": "list", "data": models});
    response::json(StatusCode::OK, &list)
}
