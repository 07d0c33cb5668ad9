//! Authenticates operators by their key.

use cloverpost_core::catalogue;

use crate::front::auth;
use crate::front::operator::Error;
use crate::settings;

/// Returns the operator that owns the key of the request.
pub fn operator<'a>(
    headers: &http::HeaderMap,
    operators: &'a [settings::Operator],
) -> Result<&'a settings::Operator, Error> {
    let key = auth::key(headers).ok_or(Error::UnknownKey)?;
    let hash = catalogue::KeyHash::of(key);
    operators
        .iter()
        .find(|operator| operator.key == hash)
        .ok_or(Error::UnknownKey)
}
