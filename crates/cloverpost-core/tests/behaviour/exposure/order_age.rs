//! Assumed age of an order at its arrival.

use std::time::Duration;

use cloverpost_core::exposure;
use rstest::rstest;

const RECENT: Duration = Duration::from_millis(100);
const LONG_AGO: Duration = Duration::from_mins(1);

/// Guards against rollouts that complete after their time because the VM that begins them had the order
/// from a peer, which had waited for the store.
#[rstest]
#[case::from_the_store(Some(RECENT), None)]
#[case::from_a_peer(None, Some(RECENT))]
#[case::from_a_peer_after_an_earlier_outage(Some(LONG_AGO), Some(RECENT))]
fn an_order_that_arrives_as_the_store_recovers_is_late(
    #[case] observed: Option<Duration>,
    #[case] reported: Option<Duration>,
) {
    let age = exposure::order_age(observed, reported);
    assert_eq!(age, Duration::from_millis(300));
}

#[rstest]
#[case::without_an_outage(None, None)]
#[case::long_after_an_outage(Some(LONG_AGO), Some(LONG_AGO))]
fn an_order_arrives_in_time_otherwise(
    #[case] observed: Option<Duration>,
    #[case] reported: Option<Duration>,
) {
    assert_eq!(exposure::order_age(observed, reported), Duration::ZERO);
}
