//! Parses and validates catalogues from TOML, and serialises them.

use std::collections::{BTreeMap, HashMap, btree_map};
use std::fmt;

use crate::catalogue::locate;
use crate::catalogue::{Catalogue, Class, Entry, Kind, Organisation, Upstream};

/// Why a text was rejected as a catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is not TOML, or does not match the schema; the message gives the
    /// location.
    Shape(String),
    /// The text matches the schema but fails validation.
    Faults(Vec<Fault>),
}

/// A validation error and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Invalid item, such as `entry brief-large`.
    pub item: String,
    /// Invalid field.
    pub field: &'static str,
    /// Why the field is invalid.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.item, self.field, self.reason)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shape(message) => f.write_str(message.trim_end()),
            Self::Faults(faults) => {
                let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for Error {}

/// The file's schema, before references are resolved.
#[derive(Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default, rename = "class")]
    classes: Vec<Class>,
    #[serde(default, rename = "pool")]
    pools: Vec<Upstream>,
    #[serde(default, rename = "entry")]
    entries: Vec<Entry>,
    #[serde(default, rename = "organisation")]
    organisations: Vec<Organisation>,
}

/// Converts a TOML error, naming the item in which it occurred, if any.
fn schema_error(text: &str, error: &toml::de::Error) -> Error {
    let item = error
        .span()
        .and_then(|span| locate::item_at(text, span.start));
    Error::Shape(match item {
        Some(item) => format!("{item}: {error}"),
        None => error.to_string(),
    })
}

impl Catalogue {
    /// Parses a catalogue from TOML `text`, or returns all of its validation errors.
    pub fn from_toml(text: &str) -> Result<Self, Error> {
        let file: File = toml::from_str(text).map_err(|error| schema_error(text, &error))?;
        let mut faults = Vec::new();
        let mut catalogue = index_items(file, &mut faults);
        check_entries(&catalogue, &mut faults);
        check_organisations(&catalogue, &mut faults);
        index_keys(&mut catalogue, &mut faults);
        if faults.is_empty() {
            Ok(catalogue)
        } else {
            Err(Error::Faults(faults))
        }
    }

    /// Serialises the catalogue as TOML that [`Catalogue::from_toml`] accepts.
    ///
    /// # Panics
    ///
    /// Never: every catalogue can be represented in TOML.
    #[must_use]
    pub fn to_toml(&self) -> String {
        let file = File {
            classes: self.classes.values().cloned().collect(),
            pools: self.pools.values().cloned().collect(),
            entries: self.entries.values().cloned().collect(),
            organisations: self.organisations.values().cloned().collect(),
        };
        toml::to_string(&file).expect("every catalogue can be represented in TOML")
    }
}

fn index_items(file: File, faults: &mut Vec<Fault>) -> Catalogue {
    Catalogue {
        classes: index_by_name("class", file.classes, |class| class.name.clone(), faults),
        pools: index_by_name("pool", file.pools, |pool| pool.name.clone(), faults),
        entries: index_by_name("entry", file.entries, |entry| entry.name.clone(), faults),
        organisations: index_by_name(
            "organisation",
            file.organisations,
            |organisation| organisation.name.clone(),
            faults,
        ),
        organisation_by_key: HashMap::new(),
    }
}

fn index_by_name<T, N>(
    what: &str,
    items: Vec<T>,
    name: impl Fn(&T) -> N,
    faults: &mut Vec<Fault>,
) -> BTreeMap<N, T>
where
    N: Ord + fmt::Display,
{
    let mut map = BTreeMap::new();
    for item in items {
        match map.entry(name(&item)) {
            btree_map::Entry::Vacant(slot) => {
                slot.insert(item);
            }
            btree_map::Entry::Occupied(slot) => {
                faults.push(fault(what, slot.key(), "name", "duplicate name"));
            }
        }
    }
    map
}

fn check_entries(catalogue: &Catalogue, faults: &mut Vec<Fault>) {
    for entry in catalogue.entries.values() {
        let mut report = |field, reason: String| {
            faults.push(fault("entry", &entry.name, field, reason));
        };
        if !catalogue.classes.contains_key(&entry.class) {
            report("class", format!("no class is named `{}`", entry.class));
        }
        if !catalogue.pools.contains_key(&entry.pool) {
            report("pool", format!("no pool is named `{}`", entry.pool));
        }
        if entry.kind == Kind::Model && entry.model.is_none() {
            report("model", "a model entry needs it".to_owned());
        }
        if entry.owner.trim().is_empty() {
            report("owner", "must not be empty".to_owned());
        }
        check_replacement(catalogue, entry, &mut report);
    }
}

fn check_replacement(
    catalogue: &Catalogue,
    entry: &Entry,
    report: &mut impl FnMut(&'static str, String),
) {
    let Some(name) = &entry.replaces else {
        return;
    };
    match catalogue.entries.get(name) {
        None => report("replaces", format!("no entry is named `{name}`")),
        Some(replaced) if replaced.name == entry.name => {
            report("replaces", "an entry cannot replace itself".to_owned());
        }
        Some(replaced) if replaced.class != entry.class => {
            report("replaces", format!("`{name}` belongs to a different class"));
        }
        Some(_) => {}
    }
}

fn check_organisations(catalogue: &Catalogue, faults: &mut Vec<Fault>) {
    for organisation in catalogue.organisations.values() {
        for entry in &organisation.entries {
            if !catalogue.entries.contains_key(entry) {
                let reason = format!("no entry is named `{entry}`");
                faults.push(fault("organisation", &organisation.name, "entries", reason));
            }
        }
        if organisation.keys.is_empty() {
            let reason = "must list at least one key";
            faults.push(fault("organisation", &organisation.name, "keys", reason));
        }
    }
}

fn index_keys(catalogue: &mut Catalogue, faults: &mut Vec<Fault>) {
    for organisation in catalogue.organisations.values() {
        for key in &organisation.keys {
            let owner = organisation.name.clone();
            if catalogue.organisation_by_key.insert(*key, owner).is_some() {
                let reason = format!("duplicate key {key}");
                faults.push(fault("organisation", &organisation.name, "keys", reason));
            }
        }
    }
}

fn fault(
    what: &str,
    name: &impl fmt::Display,
    field: &'static str,
    reason: impl Into<String>,
) -> Fault {
    Fault {
        item: format!("{what} {name}"),
        field,
        reason: reason.into(),
    }
}
