//! `Query` messages.

use crate::dynamodb::{Item, Key, Values};

/// `Query` request for the items of a partition, in ascending order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Query {
    /// Name of the table.
    pub table_name: String,
    /// Key condition, always [`super::KEY_CONDITION`].
    pub key_condition_expression: String,
    /// Value of the placeholder `:pk`.
    pub expression_attribute_values: Values,
    /// Whether the read is strongly consistent.
    pub consistent_read: bool,
    /// Maximum number of items. The response may hold fewer, see [`super::MAX_PAGE_BYTES`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
    /// Returns only items after this key, which need not exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub exclusive_start_key: Option<Key>,
}

/// Response to [`Query`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct QueryOutput {
    /// Items of this page.
    pub items: Vec<Item>,
    /// Start key of the next page, if there may be more items.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_evaluated_key: Option<Key>,
}
