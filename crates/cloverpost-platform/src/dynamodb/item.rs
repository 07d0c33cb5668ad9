//! Items, the encoded form of rows.

use crate::dynamodb::{Attribute, TypeMismatch};
use crate::table;

/// Key of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// Partition key, a string.
    pub pk: Attribute,
    /// Sort key, a string.
    pub sk: Attribute,
}

/// A row encoded as attributes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Item {
    /// Partition key, a string.
    pub pk: Attribute,
    /// Sort key, a string.
    pub sk: Attribute,
    /// Version, a number.
    pub version: Attribute,
    /// Content, binary.
    pub value: Attribute,
}

impl From<table::Key> for Key {
    fn from(key: table::Key) -> Self {
        Self {
            pk: Attribute::S(key.partition),
            sk: Attribute::S(key.sort),
        }
    }
}

impl TryFrom<Key> for table::Key {
    type Error = TypeMismatch;

    fn try_from(key: Key) -> Result<Self, TypeMismatch> {
        Ok(Self {
            partition: key.pk.into_text()?,
            sort: key.sk.into_text()?,
        })
    }
}

impl From<(table::Key, table::Row)> for Item {
    fn from((key, row): (table::Key, table::Row)) -> Self {
        let Key { pk, sk } = key.into();
        Self {
            pk,
            sk,
            version: Attribute::number(row.version),
            value: Attribute::bytes(&row.value),
        }
    }
}

impl TryFrom<Item> for (table::Key, table::Row) {
    type Error = TypeMismatch;

    fn try_from(item: Item) -> Result<Self, TypeMismatch> {
        let row = table::Row {
            version: item.version.to_number()?,
            value: item.value.to_bytes()?,
        };
        let key = Key {
            pk: item.pk,
            sk: item.sk,
        };
        Ok((key.try_into()?, row))
    }
}
