//! Finds the catalogue item at which parsing failed.
//!
//! The TOML parser reports only line and column, which does not identify an entry among
//! hundreds of similar ones.

use std::collections::BTreeMap;

use toml::Spanned;

/// Items by kind, with their fields left unparsed.
type Items = BTreeMap<String, Vec<Spanned<toml::Table>>>;

/// The item at `offset`, such as `entry brief-large`.
///
/// `None` if the text is not TOML or the offset precedes every item.
pub fn item_at(text: &str, offset: usize) -> Option<String> {
    let items: Items = toml::from_str(text).ok()?;
    let all = items
        .iter()
        .flat_map(|(kind, items)| items.iter().map(move |item| (kind, item)));
    let (kind, item) = all
        .filter(|(_, item)| item.span().start <= offset)
        .max_by_key(|(_, item)| item.span().start)?;
    let name = item.get_ref().get("name").and_then(toml::Value::as_str);
    Some(match name {
        Some(name) => format!("{kind} {name}"),
        None => format!("{kind} without a name"),
    })
}
