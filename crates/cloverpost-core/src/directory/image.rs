//! One VM's copy of all tables.

use crate::directory::{Change, Configuration, Member, Order, Progress, Table, Upstream, Version};

/// A copy of all tables that a VM follows.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Image {
    /// The configuration; one row at most.
    pub configuration: Table<Configuration>,
    /// Roll-outs that operators ordered, by service.
    pub orders: Table<Order>,
    /// Upstreams, by incarnation.
    pub upstreams: Table<Upstream>,
    /// States of roll-outs, by service.
    pub progress: Table<Progress>,
    /// Entry VMs, by name.
    pub members: Table<Member>,
}

/// Changes of one table, or of two that share a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum Rows {
    /// What operators wrote.
    Operators {
        /// Changed configurations.
        configuration: Vec<Change<Configuration>>,
        /// Changed orders.
        orders: Vec<Change<Order>>,
    },
    /// Changed upstreams.
    Upstreams(Vec<Change<Upstream>>),
    /// Changed states of roll-outs.
    Progress(Vec<Change<Progress>>),
    /// Changed entry VMs.
    Members(Vec<Change<Member>>),
}

/// An answer of the store about rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The rows.
    pub rows: Rows,
    /// Version up to which they are whole.
    pub version: Version,
    /// The store's clock, in milliseconds of an arbitrary start.
    pub now_ms: u64,
    /// Rows that could not be read; they count as absent.
    pub unreadable: Vec<Unreadable>,
}

/// A row that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Its key.
    pub key: String,
    /// Version of its write.
    pub version: Version,
    /// What is wrong with it.
    pub reason: String,
}

impl Image {
    /// Takes in the changes of a feed; whether a value changed.
    pub fn apply(&mut self, page: Page) -> bool {
        let version = page.version;
        match page.rows {
            Rows::Operators {
                configuration,
                orders,
            } => {
                let one = self.configuration.apply(configuration, version);
                let other = self.orders.apply(orders, version);
                one || other
            }
            Rows::Upstreams(changes) => self.upstreams.apply(changes, version),
            Rows::Progress(changes) => self.progress.apply(changes, version),
            Rows::Members(changes) => self.members.apply(changes, version),
        }
    }

    /// Takes a whole read in place of a table; whether a value changed.
    pub fn replace(&mut self, page: Page) -> bool {
        let version = page.version;
        match page.rows {
            Rows::Operators {
                configuration,
                orders,
            } => {
                let one = self.configuration.replace(whole(configuration, version));
                let other = self.orders.replace(whole(orders, version));
                one || other
            }
            Rows::Upstreams(rows) => self.upstreams.replace(whole(rows, version)),
            Rows::Progress(rows) => self.progress.replace(whole(rows, version)),
            Rows::Members(rows) => self.members.replace(whole(rows, version)),
        }
    }

    /// Takes whatever `other` has newer; whether a value changed.
    pub fn merge(&mut self, other: Self) -> bool {
        let configuration = self.configuration.replace(other.configuration);
        let orders = self.orders.replace(other.orders);
        let upstreams = self.upstreams.replace(other.upstreams);
        let progress = self.progress.replace(other.progress);
        let members = self.members.replace(other.members);
        configuration || orders || upstreams || progress || members
    }

    /// The tables that are newer here than in `versions`; the others empty.
    #[must_use]
    pub fn newer_than(&self, versions: &Versions) -> Self {
        Self {
            configuration: newer(&self.configuration, versions.configuration),
            orders: newer(&self.orders, versions.orders),
            upstreams: newer(&self.upstreams, versions.upstreams),
            progress: newer(&self.progress, versions.progress),
            members: newer(&self.members, versions.members),
        }
    }

    /// The version of each table.
    #[must_use]
    pub const fn versions(&self) -> Versions {
        Versions {
            configuration: self.configuration.version,
            orders: self.orders.version,
            upstreams: self.upstreams.version,
            progress: self.progress.version,
            members: self.members.version,
        }
    }
}

/// The version of each table of an [`Image`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Versions {
    /// Of the configuration.
    pub configuration: Version,
    /// Of the orders.
    pub orders: Version,
    /// Of the upstreams.
    pub upstreams: Version,
    /// Of the states of roll-outs.
    pub progress: Version,
    /// Of the entry VMs.
    pub members: Version,
}

impl Versions {
    /// Whether anything of `other` is newer.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        self.configuration < other.configuration
            || self.orders < other.orders
            || self.upstreams < other.upstreams
            || self.progress < other.progress
            || self.members < other.members
    }

    /// Whether `other` has a newer version of anything that operators write. Of
    /// the rest everybody has another version at every moment.
    #[must_use]
    pub fn is_behind(&self, other: &Self) -> bool {
        self.configuration < other.configuration || self.orders < other.orders
    }
}

fn newer<T: Clone>(table: &Table<T>, than: Version) -> Table<T> {
    if table.version > than {
        table.clone()
    } else {
        Table::default()
    }
}

fn whole<T>(rows: Vec<Change<T>>, version: Version) -> Table<T> {
    let rows = rows.into_iter().filter_map(|change| {
        let value = change.value?;
        let row = crate::directory::Row {
            version: change.version,
            value,
        };
        Some((change.key, row))
    });
    Table {
        version,
        rows: rows.collect(),
    }
}
