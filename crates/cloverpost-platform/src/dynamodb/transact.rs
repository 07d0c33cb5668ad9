//! `TransactWriteItems` messages.

use std::fmt;

use crate::dynamodb::{self, Attribute, Key, Names, TypeMismatch, Values};
use crate::table::{self, Condition};

/// `TransactWriteItems` request, which applies all writes or none.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactWriteItems {
    /// Writes of the transaction.
    pub transact_items: Vec<TransactItem>,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum TransactItem {
    /// Sets the value and adds 1 to the version.
    Update(Update),
    /// Deletes the item.
    Delete(Delete),
}

/// Sets the value of an item and adds 1 to its version, which starts at 0 for a new item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Update {
    /// Name of the table.
    pub table_name: String,
    /// Key of the item.
    pub key: Key,
    /// Update expression, always [`dynamodb::SET_VALUE`].
    pub update_expression: String,
    /// Precondition, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub condition_expression: Option<String>,
    /// Attribute name for the alias `#value`.
    pub expression_attribute_names: Names,
    /// Values of `:value`, `:one` and, for a version condition, `:v`.
    pub expression_attribute_values: Values,
}

/// Deletes an item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Delete {
    /// Name of the table.
    pub table_name: String,
    /// Key of the item.
    pub key: Key,
    /// Precondition, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub condition_expression: Option<String>,
    /// Value of `:v` for a version condition.
    #[serde(skip_serializing_if = "Values::is_empty", default)]
    pub expression_attribute_values: Values,
}

/// A write that is not part of the supported subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsupported {
    /// The update expression is not [`dynamodb::SET_VALUE`] with an increment of 1.
    Update,
    /// The condition is neither [`dynamodb::IF_ABSENT`] nor [`dynamodb::IF_VERSION`].
    Condition,
    /// An attribute is missing or has the wrong type.
    Attribute,
}

impl TransactItem {
    /// Encodes a write to the table `table_name`.
    #[must_use]
    pub fn new(table_name: &str, write: table::Write) -> Self {
        let (condition_expression, values) = condition(write.condition);
        let table_name = table_name.to_owned();
        let key = write.key.into();
        let Some(value) = write.value else {
            return Self::Delete(Delete {
                table_name,
                key,
                condition_expression,
                expression_attribute_values: values,
            });
        };
        Self::Update(Update {
            table_name,
            key,
            update_expression: dynamodb::SET_VALUE.to_owned(),
            condition_expression,
            expression_attribute_names: Names::default().with("#value", "value"),
            expression_attribute_values: values
                .with(":value", Attribute::bytes(&value))
                .with(":one", Attribute::number(1)),
        })
    }
}

impl TryFrom<TransactItem> for table::Write {
    type Error = Unsupported;

    fn try_from(item: TransactItem) -> Result<Self, Unsupported> {
        match item {
            TransactItem::Update(update) => update.try_into(),
            TransactItem::Delete(delete) => delete.try_into(),
        }
    }
}

impl TryFrom<Update> for table::Write {
    type Error = Unsupported;

    fn try_from(update: Update) -> Result<Self, Unsupported> {
        let values = &update.expression_attribute_values;
        let step = values.get(":one").ok_or(Unsupported::Attribute)?;
        if update.update_expression != dynamodb::SET_VALUE || step.to_number()? != 1 {
            return Err(Unsupported::Update);
        }
        let value = values.get(":value").ok_or(Unsupported::Attribute)?;
        Ok(Self {
            condition: parse(update.condition_expression.as_deref(), values)?,
            value: Some(value.to_bytes()?),
            key: update.key.try_into()?,
        })
    }
}

impl TryFrom<Delete> for table::Write {
    type Error = Unsupported;

    fn try_from(delete: Delete) -> Result<Self, Unsupported> {
        let values = &delete.expression_attribute_values;
        Ok(Self {
            condition: parse(delete.condition_expression.as_deref(), values)?,
            value: None,
            key: delete.key.try_into()?,
        })
    }
}

/// Returns the expression of a condition and the values of its placeholders.
fn condition(condition: Condition) -> (Option<String>, Values) {
    let values = Values::default();
    match condition {
        Condition::Any => (None, values),
        Condition::Absent => (Some(dynamodb::IF_ABSENT.to_owned()), values),
        Condition::Version(version) => (
            Some(dynamodb::IF_VERSION.to_owned()),
            values.with(":v", Attribute::number(version)),
        ),
    }
}

fn parse(expression: Option<&str>, values: &Values) -> Result<Condition, Unsupported> {
    match expression {
        None => Ok(Condition::Any),
        Some(dynamodb::IF_ABSENT) => Ok(Condition::Absent),
        Some(dynamodb::IF_VERSION) => {
            let version = values.get(":v").ok_or(Unsupported::Attribute)?;
            Ok(Condition::Version(version.to_number()?))
        }
        Some(_) => Err(Unsupported::Condition),
    }
}

impl From<TypeMismatch> for Unsupported {
    fn from(_: TypeMismatch) -> Self {
        Self::Attribute
    }
}

impl fmt::Display for Unsupported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Update => "unsupported update expression",
            Self::Condition => "unsupported condition expression",
            Self::Attribute => "an attribute is missing or of another type",
        })
    }
}

impl std::error::Error for Unsupported {}
