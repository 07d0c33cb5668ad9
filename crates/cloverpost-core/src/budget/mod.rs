//! Retry budgets.
//!
//! Retries are limited to a share of first attempts, which prevents retry storms: without a
//! budget, failing upstreams would cause every request to be retried and double the load.
//!
//! [`Budget`] limits the retries of each VM separately. [`Credit`] limits the repeats of requests
//! to a service so that the repeats of all VMs together stay within the limit of the fleet.
//!
//! A small floor rate of [`Budget`] allows retries in classes with so little traffic that the
//! share is less than one retry.

mod bucket;
mod credit;
mod limits;
mod options;
mod share;
mod window;

pub use credit::Credit;
pub use limits::Limits;
pub use options::Options;
pub use share::{ParseShare, Share};

use std::collections::BTreeMap;

use crate::budget::bucket::Bucket;
use crate::id;
use crate::time;

/// Retry budgets of one VM by traffic class.
///
/// Classes are isolated: a class whose upstreams all fail cannot use up the retries of
/// another.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    buckets: BTreeMap<id::Class, Bucket>,
}

impl Budget {
    /// Creates a budget without any traffic classes.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            buckets: BTreeMap::new(),
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, class: &id::Class, now: time::Moment) {
        let options = self.options;
        self.bucket(class, now).earn(options);
    }

    /// Takes one retry; returns `false` if the budget of the class is exhausted.
    #[must_use]
    pub fn try_take_retry(&mut self, class: &id::Class, now: time::Moment) -> bool {
        self.bucket(class, now).try_take()
    }

    fn bucket(&mut self, class: &id::Class, now: time::Moment) -> &mut Bucket {
        let options = self.options;
        if !self.buckets.contains_key(class) {
            let bucket = Bucket::full(options, now);
            self.buckets.insert(class.clone(), bucket);
        }
        let bucket = self.buckets.get_mut(class).expect("inserted above");
        bucket.refill(options, now);
        bucket
    }
}
