//! Headers exchanged with callers, and filters for headers that are passed on.

use http::HeaderName;
use http::header;

/// Whether a refused request ran: `yes`, `no` or `unknown`.
pub const RAN: HeaderName = HeaderName::from_static("cloverpost-ran");
/// Id of the request.
pub const REQUEST: HeaderName = HeaderName::from_static("cloverpost-request");
/// Token of the session.
pub const SESSION: HeaderName = HeaderName::from_static("cloverpost-session");
/// Entry that produced the response.
pub const VERSION: HeaderName = HeaderName::from_static("cloverpost-version");

/// Hop-by-hop headers, which are never passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the headers of a request to send to an upstream.
///
/// The caller's key is removed, so that it does not appear in the logs of upstreams.
#[must_use]
pub fn to_upstream(headers: &http::HeaderMap) -> http::HeaderMap {
    let dropped = |name: &HeaderName| {
        HOP_BY_HOP.contains(name)
            || [
                header::AUTHORIZATION,
                header::HOST,
                header::CONTENT_LENGTH,
                header::EXPECT,
            ]
            .contains(name)
            || is_internal(name)
    };
    without(headers, dropped)
}

/// Returns `headers` without those that apply to a single connection.
#[must_use]
pub fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    without(headers, is_connection_specific)
}

/// Whether a header applies to a single connection or to the framing of a body.
#[must_use]
pub fn is_connection_specific(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || *name == header::CONTENT_LENGTH || name.as_str() == "keep-alive"
}

/// Returns the headers of a response to send to the caller.
#[must_use]
pub fn to_caller(headers: &http::HeaderMap) -> http::HeaderMap {
    let dropped = |name: &HeaderName| {
        HOP_BY_HOP.contains(name) || *name == header::CONTENT_LENGTH || is_internal(name)
    };
    without(headers, dropped)
}

fn is_internal(name: &HeaderName) -> bool {
    name.as_str().starts_with("cloverpost-") || *name == crate::upstream::REQUEST_ID
}

fn without(headers: &http::HeaderMap, dropped: impl Fn(&HeaderName) -> bool) -> http::HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| !dropped(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
