//! Error responses.

/// Namespace of error types.
const NAMESPACE: &str = "com.amazonaws.dynamodb.v20120810#";

/// Error type of a cancelled transaction.
const CANCELED: &str = "TransactionCanceledException";

/// Cancellation code of a write whose condition failed.
const CONDITION_FAILED: &str = "ConditionalCheckFailed";

/// Body of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct ErrorResponse {
    /// Error type, prefixed with a namespace and `#`.
    #[serde(rename = "__type")]
    pub kind: String,
    /// Human-readable description.
    #[serde(alias = "Message")]
    pub message: String,
    /// One reason per write of a cancelled transaction.
    #[serde(rename = "CancellationReasons", skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<CancellationReason>,
}

/// Reason for which a write cancelled its transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct CancellationReason {
    /// Cancellation code, or the string `None` for a write that is not the cause.
    pub code: String,
}

impl ErrorResponse {
    /// Creates an error response of type `name`.
    #[must_use]
    pub fn new(name: &str, message: impl Into<String>) -> Self {
        Self {
            kind: format!("{NAMESPACE}{name}"),
            message: message.into(),
            reasons: Vec::new(),
        }
    }

    /// Creates the error response of a transaction with a failed condition.
    #[must_use]
    pub fn condition_failed() -> Self {
        let reason = CancellationReason {
            code: CONDITION_FAILED.to_owned(),
        };
        Self {
            reasons: vec![reason],
            ..Self::new(CANCELED, "a condition did not hold")
        }
    }

    /// Returns whether the transaction was cancelled by a failed condition. Transactions cancelled
    /// for other reasons, such as a conflict with another transaction, may be retried.
    #[must_use]
    pub fn is_condition_failed(&self) -> bool {
        let failed = |reason: &CancellationReason| reason.code == CONDITION_FAILED;
        self.name() == CANCELED && self.reasons.iter().any(failed)
    }

    /// Returns the error type without its namespace.
    #[must_use]
    pub fn name(&self) -> &str {
        let (_, name) = self.kind.rsplit_once('#').unwrap_or(("", &self.kind));
        name
    }
}
