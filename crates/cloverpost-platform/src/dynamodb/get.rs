//! `GetItem` messages.

use crate::dynamodb::{Item, Key};

/// `GetItem` request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItem {
    /// Name of the table.
    pub table_name: String,
    /// Key of the item.
    pub key: Key,
    /// Whether the read is strongly consistent.
    pub consistent_read: bool,
}

/// Response to [`GetItem`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct GetItemOutput {
    /// The item, if it exists.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub item: Option<Item>,
}
