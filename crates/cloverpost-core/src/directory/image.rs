//! A VM's copy of all tables.

use std::time::Duration;

use crate::directory::encoded::newest;
use crate::directory::fetch::Fetched;
use crate::directory::{
    Change, Configuration, Era, Evacuation, Member, Order, Patch, Progress, Table, Upstream,
    Version,
};

/// A copy of all tables that a VM follows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    /// The configuration; one row at most.
    pub configuration: Table<Configuration>,
    /// Rollouts that operators ordered, by service.
    pub orders: Table<Order>,
    /// Evacuated availability zones, by name.
    pub evacuations: Table<Evacuation>,
    /// Upstreams, by incarnation.
    pub upstreams: Table<Upstream>,
    /// States of rollouts, by service.
    pub progress: Table<Progress>,
    /// Entry VMs, by name.
    pub members: Table<Member>,
}

/// Changes of one table, or of several tables that share a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum Rows {
    /// Tables that operators write.
    Operators {
        /// Changed configurations.
        configuration: Vec<Change<Configuration>>,
        /// Changed orders.
        orders: Vec<Change<Order>>,
        /// Changed evacuations.
        evacuations: Vec<Change<Evacuation>>,
    },
    /// Changed upstreams.
    Upstreams(Vec<Change<Upstream>>),
    /// Changed states of rollouts.
    Progress(Vec<Change<Progress>>),
    /// Changed entry VMs.
    Members(Vec<Change<Member>>),
}

/// A response of the store with rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The rows.
    pub rows: Rows,
    /// The store's era.
    pub era: Era,
    /// Version up to which the rows are complete.
    pub version: Version,
    /// The store's clock, in milliseconds since an arbitrary epoch.
    pub now_ms: u64,
    /// Rows that could not be decoded; they are treated as absent.
    pub unreadable: Vec<Unreadable>,
}

/// A row that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Its key.
    pub key: String,
    /// Version of its write.
    pub version: Version,
    /// Reason of the failure.
    pub reason: String,
}

impl Page {
    /// Appends the rows of `next`, the following page. Changes between the two reads are delivered
    /// again by the feed, which continues from the version of the first page.
    pub fn join(&mut self, next: Self) {
        self.unreadable.extend(next.unreadable);
        match (&mut self.rows, next.rows) {
            (
                Rows::Operators {
                    configuration,
                    orders,
                    evacuations,
                },
                Rows::Operators {
                    configuration: more,
                    orders: more_orders,
                    evacuations: more_evacuations,
                },
            ) => {
                configuration.extend(more);
                orders.extend(more_orders);
                evacuations.extend(more_evacuations);
            }
            (Rows::Upstreams(rows), Rows::Upstreams(more)) => rows.extend(more),
            (Rows::Progress(rows), Rows::Progress(more)) => rows.extend(more),
            (Rows::Members(rows), Rows::Members(more)) => rows.extend(more),
            // Unreachable: pages of different tables are read separately.
            _ => {}
        }
    }
}

impl Image {
    /// Applies the changes of a feed, and returns whether a value changed.
    pub fn apply(&mut self, page: Page) -> bool {
        let version = page.version;
        match page.rows {
            Rows::Operators {
                configuration,
                orders,
                evacuations,
            } => {
                let mut differs = self.configuration.apply(configuration, version);
                differs |= self.orders.apply(orders, version);
                differs |= self.evacuations.apply(evacuations, version);
                differs
            }
            Rows::Upstreams(changes) => self.upstreams.apply(changes, version),
            Rows::Progress(changes) => self.progress.apply(changes, version),
            Rows::Members(changes) => self.members.apply(changes, version),
        }
    }

    /// Replaces a table with the result of a full read, and returns whether a value changed.
    pub fn replace(&mut self, page: Page) -> bool {
        let version = page.version;
        match page.rows {
            Rows::Operators {
                configuration,
                orders,
                evacuations,
            } => {
                let mut differs = self.configuration.replace(configuration, version);
                differs |= self.orders.replace(orders, version);
                differs |= self.evacuations.replace(evacuations, version);
                differs
            }
            Rows::Upstreams(rows) => self.upstreams.replace(rows, version),
            Rows::Progress(rows) => self.progress.replace(rows, version),
            Rows::Members(rows) => self.members.replace(rows, version),
        }
    }

    /// Applies a peer's update, and returns whether a value changed.
    pub fn update(&mut self, update: Update) -> bool {
        let mut differs = false;
        if let Some(patch) = update.orders {
            differs |= self.orders.patch(patch);
        }
        if let Some(patch) = update.evacuations {
            differs |= self.evacuations.patch(patch);
        }
        if let Some(patch) = update.upstreams {
            differs |= self.upstreams.patch(patch);
        }
        if let Some(patch) = update.progress {
            differs |= self.progress.patch(patch);
        }
        if let Some(patch) = update.members {
            differs |= self.members.patch(patch);
        }
        differs
    }

    /// Applies a configuration fetched from peers, and returns whether a value changed.
    pub fn replace_configuration(&mut self, fetched: Fetched<Configuration>) -> bool {
        self.configuration.replace(fetched.rows, fetched.version)
    }

    /// Applies upstreams fetched from peers, and returns whether a value changed.
    pub fn replace_upstreams(&mut self, fetched: Fetched<Upstream>) -> bool {
        self.upstreams
            .replace(fetched.rows, fetched.snapshot_version)
    }

    /// The changes that a copy complete up to `versions` lacks. Of the configuration only the
    /// version is included.
    #[must_use]
    pub fn since(&self, versions: &Versions) -> Update {
        let exceeds_message = self.upstreams.exceeds_message(versions.upstreams);
        let upstreams = if exceeds_message {
            None
        } else {
            self.upstreams.since(versions.upstreams)
        };
        Update {
            follows: false,
            returned: None,
            configuration: newest(&self.configuration),
            orders: self.orders.since(versions.orders),
            evacuations: self.evacuations.since(versions.evacuations),
            upstreams,
            upstreams_to_fetch: exceeds_message.then(|| newest(&self.upstreams)),
            progress: self.progress.since(versions.progress),
            members: self.members.since(versions.members),
        }
    }

    /// The version up to which each table is complete.
    #[must_use]
    pub const fn versions(&self) -> Versions {
        Versions {
            configuration: self.configuration.version,
            orders: self.orders.version,
            evacuations: self.evacuations.version,
            upstreams: self.upstreams.version,
            progress: self.progress.version,
            members: self.members.version,
        }
    }

    /// The version of the newest change in each table.
    #[must_use]
    pub fn changes(&self) -> Versions {
        Versions {
            configuration: newest(&self.configuration),
            orders: self.orders.changed,
            evacuations: self.evacuations.changed,
            upstreams: self.upstreams.changed,
            progress: self.progress.changed,
            members: self.members.changed,
        }
    }
}

/// Changes that a peer's image has and the receiver's lacks, by table.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Update {
    /// Whether the peer follows the store and none of its calls currently fails, so that it will
    /// soon learn of any missing change.
    pub follows: bool,
    /// Time since the peer regained access to the store, if that was recent. Entries of running
    /// upstreams may then be missing.
    pub returned: Option<Duration>,
    /// Version of the configuration, which is fetched separately.
    pub configuration: Version,
    /// Of the orders.
    pub orders: Option<Patch<Order>>,
    /// Of the evacuations.
    pub evacuations: Option<Patch<Evacuation>>,
    /// Of the upstreams.
    pub upstreams: Option<Patch<Upstream>>,
    /// Version of the newest upstream, if the changes exceed the size of a message. The table is
    /// then fetched separately.
    pub upstreams_to_fetch: Option<Version>,
    /// Of the states of rollouts.
    pub progress: Option<Patch<Progress>>,
    /// Of the entry VMs.
    pub members: Option<Patch<Member>>,
}

/// A version of each table of an [`Image`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Versions {
    /// Of the configuration.
    pub configuration: Version,
    /// Of the orders.
    pub orders: Version,
    /// Of the evacuations.
    pub evacuations: Version,
    /// Of the upstreams.
    pub upstreams: Version,
    /// Of the states of rollouts.
    pub progress: Version,
    /// Of the entry VMs.
    pub members: Version,
}

impl Versions {
    /// Whether any table of `other` except the configuration is newer. If `self` holds the
    /// versions up to which a copy is complete and `other` the newest changes of another copy,
    /// this tells whether the first copy lacks any change.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        self.is_missing_orders(other)
            || self.upstreams < other.upstreams
            || self.progress < other.progress
            || self.members < other.members
    }

    /// Like [`Self::is_older_than`], for the tables of operator orders only. The other tables
    /// change so often that copies rarely have the same version.
    #[must_use]
    pub fn is_missing_orders(&self, other: &Self) -> bool {
        self.orders < other.orders || self.evacuations < other.evacuations
    }
}
