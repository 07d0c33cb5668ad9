//! Retry budgets.
//!
//! Retries are a share of first attempts. When upstreams fail, each request
//! fails and asks for a retry; without a budget the load doubles just when
//! capacity is gone, and the failure feeds itself. With it the added load stays
//! under the share, whatever fails.
//!
//! A small floor lets quiet classes retry at all: a share of few first attempts
//! is less than one retry.

mod bucket;
mod credit;
mod options;
mod recent;
mod share;
mod terms;

pub use credit::Credit;
pub use options::Options;
pub use share::{ParseShare, Share};
pub use terms::Terms;

use std::collections::BTreeMap;

use crate::budget::bucket::Bucket;
use crate::id;
use crate::time;

/// What one VM may retry, class by class.
///
/// Classes do not share: a class whose upstreams all fail cannot use up the
/// retries of another.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    buckets: BTreeMap<id::Class, Bucket>,
}

impl Budget {
    /// A budget without traffic yet.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            buckets: BTreeMap::new(),
        }
    }

    /// Notes a first attempt.
    pub fn first(&mut self, class: &id::Class, now: time::Moment) {
        let options = self.options;
        self.bucket(class, now).first(options);
    }

    /// Takes one retry; `false` if the class has none left and must give up.
    #[must_use]
    pub fn retry(&mut self, class: &id::Class, now: time::Moment) -> bool {
        self.bucket(class, now).retry()
    }

    fn bucket(&mut self, class: &id::Class, now: time::Moment) -> &mut Bucket {
        let options = self.options;
        if !self.buckets.contains_key(class) {
            let bucket = Bucket::full(options, now);
            self.buckets.insert(class.clone(), bucket);
        }
        let bucket = self.buckets.get_mut(class).expect("inserted above");
        bucket.advance(options, now);
        bucket
    }
}
