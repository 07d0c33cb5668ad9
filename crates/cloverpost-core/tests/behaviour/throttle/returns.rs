//! Times for rejected callers to return.

use std::time::Duration;

use cloverpost_core::throttle::Returns;

use super::{at, rate};

#[test]
fn rejected_callers_return_one_after_the_other() {
    let service = "app".parse().unwrap();
    let mut returns = Returns::default();
    let mut assign = |now| returns.assign(&service, rate(6.0), 3, at(now));
    let waits = [0, 0, 100].map(&mut assign);
    assert_eq!(waits, [500, 1_000, 1_400].map(Duration::from_millis));
    let later = assign(60_000);
    assert_eq!(later, Duration::from_millis(500));
}

#[test]
fn no_caller_is_sent_away_for_long() {
    let service = "app".parse().unwrap();
    let mut returns = Returns::default();
    let longest = (0..1_000).map(|_| returns.assign(&service, rate(0.0), 9, at(0)));
    assert_eq!(longest.max(), Some(Duration::from_secs(10)));
}
