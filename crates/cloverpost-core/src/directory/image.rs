//! A VM's copy of all tables.

use std::time::Duration;

use crate::directory::encoded::newest;
use crate::directory::fetch::Fetched;
use crate::directory::{
    Change, Configuration, Era, Evacuation, Member, Order, Patch, Progress, Superseded, Table,
    Upstream, Version,
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
    /// Applies the changes of a feed, and returns whether a value changed. Changes of a later era
    /// than the copy of the table are ignored: only a full read has what precedes them.
    pub fn apply(&mut self, page: Page) -> bool {
        let version = page.version;
        match page.rows {
            Rows::Operators {
                configuration,
                orders,
                evacuations,
            } => {
                let mut differs = self.take_configuration(configuration);
                differs |= self.change_orders(|table| table.apply(orders, version));
                differs |= self.evacuations.apply(evacuations, version);
                differs
            }
            Rows::Upstreams(changes) => {
                self.change_upstreams(changes, |table, rows| table.apply(rows, version))
            }
            Rows::Progress(changes) => {
                let outlasts = Progress::outlasts;
                self.progress.apply_unless(changes, version, outlasts)
            }
            Rows::Members(changes) => self.members.apply(changes, version),
        }
    }

    /// Replaces a table with the result of a full read, and returns whether a value changed. What
    /// is known of an earlier era and the store has lost is kept, except for upstreams, which
    /// register again by themselves.
    pub fn replace(&mut self, page: Page) -> bool {
        let version = page.version;
        match page.rows {
            Rows::Operators {
                configuration,
                orders,
                evacuations,
            } => {
                let mut differs = self.take_configuration(configuration);
                differs |= self.change_orders(|table| table.restore(orders, version, never));
                differs |= self.evacuations.restore(evacuations, version, never);
                differs
            }
            Rows::Upstreams(rows) => {
                self.change_upstreams(rows, |table, rows| table.replace(rows, version))
            }
            Rows::Progress(rows) => self.progress.restore(rows, version, Progress::outlasts),
            Rows::Members(rows) => self.members.restore(rows, version, never),
        }
    }

    /// Applies a peer's update, and returns whether a value changed.
    pub fn update(&mut self, update: Update) -> bool {
        let mut differs = false;
        if let Some(patch) = update.orders {
            differs |= self.change_orders(|table| table.restore_patch(patch, never));
        }
        if let Some(patch) = update.evacuations {
            differs |= self.evacuations.restore_patch(patch, never);
        }
        if let Some(patch) = update.upstreams {
            let Patch {
                base,
                version,
                changes,
                overruled,
            } = patch;
            differs |= self.change_upstreams(changes, |table, changes| {
                table.patch(Patch {
                    base,
                    version,
                    changes,
                    overruled,
                })
            });
        }
        if let Some(patch) = update.progress {
            differs |= self.progress.restore_patch(patch, Progress::outlasts);
        }
        if let Some(patch) = update.members {
            differs |= self.members.restore_patch(patch, never);
        }
        differs
    }

    /// Takes the newest of `rows` if its number is higher than that of the known configuration,
    /// whichever era and source they are from, and returns whether it did.
    fn take_configuration(&mut self, rows: Vec<Change<Configuration>>) -> bool {
        let rows = rows.into_iter().filter(|row| row.value.is_some());
        let version = |row: &Change<Configuration>| row.value.as_ref().map(Configuration::version);
        let Some(newest) = rows.max_by_key(version) else {
            return false;
        };
        let version = version(&newest).unwrap_or_default();
        let row = Change { version, ..newest };
        let differs = self.configuration.replace(vec![row], version);
        // The number alone decides between configurations, so former ones are not needed.
        self.configuration.superseded = Superseded::default();
        differs
    }

    /// Changes the orders, and assigns rollouts to the rows of orders that operators wrote again.
    fn change_orders(&mut self, change: impl FnOnce(&mut Table<Order>) -> bool) -> bool {
        let before = self.orders.rows.clone();
        let overruled = self.orders.overruled.clone();
        let era = self.orders.version.era();
        let differs = change(&mut self.orders);
        let is_new_era = self.orders.version.era() > era;
        for (service, row) in &self.orders.rows {
            let was_lost = is_new_era || overruled.contains_key(service);
            let Some(known) = before.get(service).filter(|_| was_lost) else {
                continue;
            };
            if known.value != row.value || known.version == row.version {
                continue;
            }
            let progress = self.progress.rows.get(service).map(|row| &row.value);
            if let Some(progress) =
                progress.filter(|one| one.belongs_to(&known.value, known.version))
            {
                let order = row.version;
                self.progress.amend(
                    service,
                    Progress {
                        order,
                        ..progress.clone()
                    },
                );
            }
        }
        differs
    }

    /// Changes the upstreams by `rows`, which `change` applies, but keeps the leavings that are
    /// known of earlier eras. A process that leaves does not come back: a row of a later era that
    /// says otherwise is from the store's copy, or was written again before the process says again
    /// that it leaves.
    fn change_upstreams(
        &mut self,
        mut rows: Vec<Change<Upstream>>,
        change: impl FnOnce(&mut Table<Upstream>, Vec<Change<Upstream>>) -> bool,
    ) -> bool {
        let mut leaving = Vec::new();
        for row in &mut rows {
            let Some(known) = self.known_leaving(row) else {
                continue;
            };
            leaving.push((row.key.clone(), known));
            if let Some(value) = &mut row.value {
                value.is_leaving = true;
            }
        }
        let differs = change(&mut self.upstreams, rows);
        for (key, version) in leaving {
            // The earlier version tells peers, too, that rows of later eras do not end it.
            let row = self.upstreams.rows.get_mut(&key);
            if let Some(row) = row.filter(|row| row.value.is_leaving) {
                row.version = version;
            }
        }
        differs
    }

    /// Version of the row by which the process in `row`, which says nothing of it, is known to
    /// leave.
    fn known_leaving(&self, row: &Change<Upstream>) -> Option<Version> {
        let value = row.value.as_ref()?;
        let table = &self.upstreams;
        let former = || table.superseded.of(&row.key).last();
        let known = table.rows.get(&row.key).or_else(former)?;
        let is_earlier_era = known.version.era() < row.version.era();
        let is_newer = known.version > row.version;
        let leaves = (is_earlier_era || is_newer) && known.value.leaves_after(value);
        leaves.then_some(known.version)
    }

    /// Applies a configuration fetched from peers, and returns whether a value changed.
    pub fn replace_configuration(&mut self, fetched: Fetched<Configuration>) -> bool {
        self.take_configuration(fetched.rows)
    }

    /// Applies upstreams fetched from peers, and returns whether a value changed.
    pub fn replace_upstreams(&mut self, fetched: Fetched<Upstream>) -> bool {
        let version = fetched.snapshot_version;
        self.change_upstreams(fetched.rows, |table, rows| table.replace(rows, version))
    }

    /// Takes the store's word where the copy kept what it knew of an earlier era. States of
    /// rollouts whose order stands are kept until they are written again. Returns the table and
    /// key of each row.
    pub fn release_overruled(&mut self) -> Vec<(&'static str, String)> {
        let orders = self.orders.release_overruled(|_| true);
        let evacuations = self.evacuations.release_overruled(|_| true);
        let members = self.members.release_overruled(|_| true);
        let ordered = &self.orders.rows;
        let progress = self
            .progress
            .release_overruled(|service| !ordered.contains_key(service));
        let released = [
            ("orders", orders),
            ("evacuations", evacuations),
            ("members", members),
            ("progress", progress),
        ];
        let released = released.into_iter();
        let released =
            released.flat_map(|(table, keys)| keys.into_iter().map(move |key| (table, key)));
        released.collect()
    }

    /// Whether the states of rollouts are of an earlier era than their orders. They are read only
    /// while a rollout may be open.
    #[must_use]
    pub fn has_outdated_progress(&self) -> bool {
        let version = self.progress.version;
        version > Version::default() && version.era() < self.orders.version.era()
    }

    /// Keys for which the copy keeps what it knows of an earlier era, by table.
    pub fn overruled(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let orders = self.orders.overruled.keys().map(|key| ("orders", key));
        let evacuations = self.evacuations.overruled.keys();
        let evacuations = evacuations.map(|key| ("evacuations", key));
        let progress = self.progress.overruled.keys().map(|key| ("progress", key));
        let members = self.members.overruled.keys().map(|key| ("members", key));
        let all = orders.chain(evacuations).chain(progress).chain(members);
        all.map(|(table, key)| (table, key.as_str()))
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

/// No known value is newer by itself than one that the store says.
fn never<T>(_known: &T, _stored: &T) -> bool {
    false
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

impl Update {
    /// The latest era of the tables.
    #[must_use]
    pub fn era(&self) -> Era {
        let eras = [
            era(self.orders.as_ref()),
            era(self.evacuations.as_ref()),
            era(self.upstreams.as_ref()),
            era(self.progress.as_ref()),
            era(self.members.as_ref()),
        ];
        eras.into_iter().max().unwrap_or_default()
    }
}

fn era<T>(patch: Option<&Patch<T>>) -> Era {
    patch.map_or(Era::default(), |patch| patch.version.era())
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
