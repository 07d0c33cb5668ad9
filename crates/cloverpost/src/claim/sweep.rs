//! Deletes claims whose retention period has ended.

use cloverpost_core::claim::{self, Claimant, State, VersionedRow};
use cloverpost_core::time;
use cloverpost_platform::{fault, objects, table};
use futures_util::future;

use crate::claim::{Claims, Liveness, manifest, scoped_key, store};

/// Number of hours swept before the start of the retention period. Older rows
/// remain only if no sweep ran for that long.
const SWEPT_HOURS: usize = 48;
/// Number of manifests listed in one call.
const PAGE_SIZE: usize = 100;

/// Result of a sweep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Number of rows deleted.
    pub deleted: usize,
    /// Number of rows kept, because the claimant is alive, the row could not be read or
    /// the deletion failed.
    pub kept: usize,
}

impl<T, O, L> Claims<T, O, L>
where
    T: table::Table,
    O: objects::Objects,
    L: Liveness,
{
    /// Deletes claims whose retention period has ended at `now`. Concurrent sweeps are
    /// safe but redundant.
    pub async fn sweep(&self, now: time::Timestamp) -> Result<Outcome, fault::Fault> {
        // One more hour of margin, since the wall clocks of VMs differ.
        let retention = self.0.options.retention;
        let newest = manifest::Hour::of(now).earlier(retention).before();
        let hours = std::iter::successors(Some(newest), |hour| Some(hour.before()));
        let mut outcome = Outcome::default();
        for hour in hours.take(SWEPT_HOURS) {
            self.sweep_hour(hour, &mut outcome).await?;
        }
        Ok(outcome)
    }

    async fn sweep_hour(
        &self,
        hour: manifest::Hour,
        outcome: &mut Outcome,
    ) -> Result<(), fault::Fault> {
        let partition = hour.partition();
        let mut after = String::new();
        loop {
            let table = self.0.store.table();
            let page = table.list(&partition, &after, PAGE_SIZE).await?;
            let Some((last, _)) = page.last() else {
                return Ok(());
            };
            after.clone_from(&last.sort);
            for (key, row) in page {
                self.sweep_manifest(hour, key, &row, outcome).await?;
            }
        }
    }

    /// Deletes the rows of a manifest, then the manifest if no row was kept.
    async fn sweep_manifest(
        &self,
        hour: manifest::Hour,
        key: table::Key,
        row: &table::Row,
        outcome: &mut Outcome,
    ) -> Result<(), fault::Fault> {
        let scoped_keys = manifest::Manifest::decode(&row.value).map_or(Vec::new(), |list| list.0);
        let rows = scoped_keys
            .iter()
            .map(|scoped_key| self.sweep_row(hour, scoped_key));
        let outcomes = future::join_all(rows).await;
        let kept = outcomes
            .iter()
            .filter(|outcome| **outcome == RowOutcome::Kept)
            .count();
        outcome.kept += kept;
        outcome.deleted += outcomes
            .iter()
            .filter(|outcome| **outcome == RowOutcome::Deleted)
            .count();
        if kept == 0 {
            let condition = table::Condition::Version(row.version);
            let write = table::Write::delete(key, condition);
            self.0.store.table().write(vec![write]).await?;
        }
        Ok(())
    }

    async fn sweep_row(
        &self,
        hour: manifest::Hour,
        scoped_key: &scoped_key::ScopedKey,
    ) -> RowOutcome {
        let seen = match self.0.store.read(scoped_key).await {
            Ok(Some(seen)) => seen,
            Ok(None) => return RowOutcome::Skipped,
            Err(store::Error::Unavailable | store::Error::Unreadable) => return RowOutcome::Kept,
        };
        // The key was released and claimed again; a later manifest lists the new claim.
        if manifest::Hour::of(seen.row.at) > hour {
            return RowOutcome::Skipped;
        }
        if self.may_be_running(&seen) {
            return RowOutcome::Kept;
        }
        match self.0.store.delete(scoped_key, seen.version).await {
            Ok(table::Outcome::Written) => RowOutcome::Deleted,
            _ => RowOutcome::Kept,
        }
    }

    fn may_be_running(&self, seen: &VersionedRow) -> bool {
        let claimant: &Claimant = &seen.row.claimant;
        let dead = claimant.precedes(&self.0.claimant)
            || self.0.liveness.liveness(claimant) == claim::Liveness::Dead;
        seen.row.state == State::Running && !dead
    }
}

/// Result of sweeping one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowOutcome {
    Deleted,
    /// The row is absent or belongs to a later claim.
    Skipped,
    Kept,
}
