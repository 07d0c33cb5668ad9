//! Responses of the store.

use crate::billing::ledger::{Append, Ledger, View};
use crate::billing::{Account, Pending, Segment};
use crate::time;

/// The response of the store to a step.
#[derive(Clone, Debug)]
pub enum Response {
    /// The head of the account and its row version.
    Account(Option<(u64, Account)>),
    /// Segments in ascending order from the first requested one; empty only if none
    /// of the requested segments exists.
    Segments(Vec<Segment>),
    /// The append took effect.
    Written(Box<Append>),
    /// The append failed because the version of the account has changed.
    Conflict,
    /// The call failed and had no effect.
    Failed,
    /// The call failed and may have taken effect or may still do so.
    Lost,
}

impl Ledger {
    /// Handles the response to the outstanding step and removes the records from
    /// `pending` that are now known to be in the store.
    pub fn answer(&mut self, response: Response, pending: &mut Pending, now: time::Moment) {
        self.outstanding = false;
        match response {
            Response::Account(head) => self.set_account(head),
            Response::Segments(segments) => self.segments(&segments, pending),
            Response::Written(append) => self.written(*append, pending),
            // The new segments must be read before the append is retried: one of
            // them may contain its records.
            Response::Conflict => self.view = View::Unread,
            Response::Failed => return self.back_off(now),
            // The account is read back to find out whether the append took effect. If
            // it takes effect later, it fails on the version or makes the next append
            // conflict.
            Response::Lost => {
                self.view = View::Unread;
                return self.back_off(now);
            }
        }
        self.retry_delay = self.options.backoff;
    }

    /// Records the account, and whether some of its segments are still unread.
    fn set_account(&mut self, head: Option<(u64, Account)>) {
        let (version, account) = head.unwrap_or_else(|| (0, Account::empty()));
        let read_from = *self.read_from.get_or_insert(account.next);
        self.view = if read_from < account.next {
            View::Head { version, account }
        } else {
            View::Current { version, account }
        };
    }

    fn segments(&mut self, segments: &[Segment], pending: &mut Pending) {
        for segment in segments {
            pending.remove(&Pending::requests(&segment.records));
        }
        if let View::Head { version, account } = self.view.clone() {
            let last = segments.last().map(|segment| segment.number.next());
            self.read_from = Some(last.unwrap_or(account.next));
            self.set_account(Some((version, account)));
        }
    }

    fn written(&mut self, append: Append, pending: &mut Pending) {
        pending.remove(&Pending::requests(&append.segment.records));
        self.read_from = Some(append.account.next);
        self.view = View::Current {
            version: append.version + 1,
            account: append.account,
        };
    }

    fn back_off(&mut self, now: time::Moment) {
        self.retry_at = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(self.options.backoff_max);
    }
}
