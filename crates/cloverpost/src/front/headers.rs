//! Headers between callers and the router.

use http::HeaderName;
use http::header;

/// Whether a refused request ran.
pub const RAN: HeaderName = HeaderName::from_static("cloverpost-ran");
/// Identity of the request.
pub const REQUEST: HeaderName = HeaderName::from_static("cloverpost-request");
/// Token of the session.
pub const SESSION: HeaderName = HeaderName::from_static("cloverpost-session");
/// Entry that answered.
pub const VERSION: HeaderName = HeaderName::from_static("cloverpost-version");

/// Headers that concern one connection only and are never passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers of a caller that an upstream gets.
///
/// The caller's key stays here: an upstream that logs its headers would
/// otherwise hold keys of every organisation.
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
            || is_own(name)
    };
    kept(headers, dropped)
}

/// Headers of an upstream, less those that concern one connection.
#[must_use]
pub fn passed_on(headers: &http::HeaderMap) -> http::HeaderMap {
    kept(headers, concerns_connection)
}

/// Whether a header concerns one connection or how it carries a body.
#[must_use]
pub fn concerns_connection(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || *name == header::CONTENT_LENGTH || name.as_str() == "keep-alive"
}

/// Headers of an upstream that a caller gets.
#[must_use]
pub fn to_caller(headers: &http::HeaderMap) -> http::HeaderMap {
    let dropped = |name: &HeaderName| {
        HOP_BY_HOP.contains(name) || *name == header::CONTENT_LENGTH || is_own(name)
    };
    kept(headers, dropped)
}

fn is_own(name: &HeaderName) -> bool {
    name.as_str().starts_with("cloverpost-") || *name == crate::upstream::REQUEST_ID
}

fn kept(headers: &http::HeaderMap, dropped: impl Fn(&HeaderName) -> bool) -> http::HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| !dropped(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
