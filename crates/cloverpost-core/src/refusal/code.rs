//! Error codes of refusals.

use std::fmt;
use std::time::Duration;

/// Defines each code with its HTTP status, group, text and retry delay.
macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $status:literal, $kind:literal, $text:literal, $retry:expr;)*) => {
        /// Why a request was refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// HTTP status of the code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Error type of the code, as expected by OpenAI-compatible clients.
            #[must_use]
            pub const fn kind(self) -> &'static str {
                match self { $(Self::$name => $kind,)* }
            }

            /// The code as sent in the response body.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Delay after which the caller may retry; `None` if retrying does not help.
            #[must_use]
            pub const fn retry_after(self) -> Option<Duration> {
                match self { $(Self::$name => $retry,)* }
            }
        }
    };
}

/// Retry delay after a temporary shortage.
const SHORT_DELAY: Option<Duration> = Some(Duration::from_secs(1));
/// Retry delay after a platform failure that takes longer to recover.
const LONG_DELAY: Option<Duration> = Some(Duration::from_secs(5));

codes! {
    /// The body is not JSON of the expected schema.
    MalformedBody = 400, "invalid_request_error", "malformed_body", None;
    /// A header is missing or invalid.
    MalformedHeader = 400, "invalid_request_error", "malformed_header", None;
    /// The API key is missing or unknown.
    UnknownKey = 401, "authentication_error", "unknown_key", None;
    /// The organisation may not use the entry.
    NotPermitted = 403, "permission_error", "not_permitted", None;
    /// No entry or class has the requested name.
    UnknownModel = 404, "invalid_request_error", "unknown_model", None;
    /// The path does not exist.
    UnknownPath = 404, "invalid_request_error", "unknown_path", None;
    /// The path does not support the method.
    WrongMethod = 405, "invalid_request_error", "wrong_method", None;
    /// The client did not send its request in time.
    SlowClient = 408, "invalid_request_error", "slow_client", None;
    /// A request with the same idempotency key is in progress.
    InProgress = 409, "conflict_error", "in_progress", SHORT_DELAY;
    /// The catalogue has changed since the revision that the edit is based on.
    Conflict = 409, "conflict_error", "revision_conflict", None;
    /// The session's version is no longer in service, or the session has expired.
    SessionEnded = 410, "session_error", "session_ended", None;
    /// The body exceeds the size limit.
    BodyTooLarge = 413, "invalid_request_error", "body_too_large", None;
    /// The idempotency key was used with a different body.
    KeyReused = 422, "conflict_error", "key_reused", None;
    /// The request crashed upstreams and is quarantined.
    Quarantined = 422, "upstream_error", "quarantined", None;
    /// The organisation exceeded its limit.
    OverLimit = 429, "rate_limit_error", "over_limit", SHORT_DELAY;
    /// The headers exceed the size limit.
    HeadersTooLarge = 431, "invalid_request_error", "headers_too_large", None;
    /// The upstream failed, or its answer was incomplete.
    UpstreamFailed = 502, "upstream_error", "upstream_failed", SHORT_DELAY;
    /// No upstream could accept the request.
    NoUpstream = 503, "capacity_error", "no_upstream", SHORT_DELAY;
    /// The router is shedding load.
    Overloaded = 503, "capacity_error", "overloaded", SHORT_DELAY;
    /// The request requires the store, which is unavailable.
    StoreUnavailable = 503, "platform_error", "store_unavailable", LONG_DELAY;
    /// The VM's catalogue is not confirmed.
    Unconfirmed = 503, "platform_error", "catalogue_unconfirmed", LONG_DELAY;
    /// The VM is shutting down.
    Stopping = 503, "capacity_error", "stopping", SHORT_DELAY;
    /// The request exceeded its time limit.
    TimedOut = 504, "upstream_error", "timed_out", SHORT_DELAY;
    /// The VM that held the claim on the idempotency key failed; the outcome is unknown.
    OutcomeUnknown = 502, "upstream_error", "outcome_unknown", None;
    /// Internal error of the router.
    Internal = 500, "internal_error", "internal", SHORT_DELAY;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
