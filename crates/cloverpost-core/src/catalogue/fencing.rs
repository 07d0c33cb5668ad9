//! Support for fencing tokens in engines.

/// How an engine treats an [`Order`](crate::order::Order) with a stale fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// It rejects the order.
    Checked,
    /// It accepts the order. The default, because it is the safer assumption.
    #[default]
    Ignored,
}
