//! Storage of the catalogue text.

/// Maximum length of a text stored in the row, in bytes. Common table services
/// limit rows to 400 KB, including the other attributes.
pub const MAX_INLINE_LEN: usize = 300 * 1024;

/// Catalogue text of a revision, or a reference to it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Stored in the row.
    Inline(String),
    /// Stored in the object store, under this name.
    Object(String),
}
