//! Reservation of memory for responses.

use std::time::Duration;

use cloverpost::gateway::buffers::Buffers;

const MEGABYTE: usize = 1024 * 1024;

/// Whether `bytes` can be reserved now.
async fn is_free(buffers: &Buffers, bytes: usize) -> bool {
    let reserve = buffers.reserve(bytes);
    tokio::time::timeout(Duration::from_millis(20), reserve)
        .await
        .is_ok()
}

// Guards against responses that take more memory together than there is for them.
#[tokio::test]
async fn a_reservation_waits_while_others_hold_the_memory() {
    let buffers = Buffers::default();
    let first = buffers.reserve(8 * MEGABYTE).await;
    let second = buffers.reserve(8 * MEGABYTE).await;
    assert!(!is_free(&buffers, 1024).await);
    drop(first);
    assert!(is_free(&buffers, 8 * MEGABYTE).await);
    drop(second);
}

// Guards against a short response without a length that holds the memory of the longest.
#[tokio::test]
async fn bytes_hold_only_their_own_length_until_they_are_dropped() {
    let buffers = Buffers::default();
    let reservation = buffers.reserve(16 * MEGABYTE).await;
    let bytes = reservation.attach(vec![7; MEGABYTE]);
    assert_eq!(bytes.len(), MEGABYTE);
    let part = bytes.slice(10..20);
    drop(bytes);
    assert!(is_free(&buffers, 15 * MEGABYTE).await);
    assert!(!is_free(&buffers, 16 * MEGABYTE).await);
    drop(part);
    assert!(is_free(&buffers, 16 * MEGABYTE).await);
}

// Guards against a request that waits for ever.
#[tokio::test]
async fn more_than_all_memory_counts_as_all() {
    assert!(is_free(&Buffers::default(), usize::MAX).await);
}
