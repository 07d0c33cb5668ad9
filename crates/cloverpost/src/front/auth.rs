//! Authenticates callers by their key.

use cloverpost_core::catalogue;
use cloverpost_core::refusal::{Code, Refusal};
use http::header;

/// Authentication scheme and separator; compared case-insensitively.
const SCHEME: &str = "bearer ";

/// Returns the key in an `Authorization: Bearer KEY` header.
pub fn key(headers: &http::HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| key.trim())
}

/// Returns the organisation that owns the key of the request.
pub fn organisation<'a>(
    headers: &http::HeaderMap,
    catalogue: &'a catalogue::Catalogue,
) -> Result<&'a catalogue::Organisation, Refusal> {
    let Some(key) = key(headers) else {
        let message = "want a header `Authorization: Bearer KEY`";
        return Err(Refusal::not_run(Code::UnknownKey, message));
    };
    catalogue
        .organisation_of(key)
        .ok_or_else(|| Refusal::not_run(Code::UnknownKey, "no organisation owns this key"))
}
