//! Byte streams through a peer.

use std::time::Duration;

use cloverpost::peer::tunnel::{self, Rejection};
use cloverpost::peer::{self, Links, Tunnel};
use cloverpost_core::directory;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::fixture::{bind, keys, options, target, vm};

fn wanted() -> directory::Tunnel {
    directory::Tunnel {
        service: "app".parse().unwrap(),
        upstream: "i-1".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
    }
}

/// Opens a tunnel between two VMs; returns both ends and what has to live as long.
async fn open() -> (Tunnel, Tunnel, (Links, Links)) {
    let (a, _) = vm("a").await;
    let (b, _) = vm("b").await;
    let mut inbox = b.take_tunnels().unwrap();
    let to_b = target(&b);
    let opening = a.open_tunnel(&to_b, wanted());
    let accepting = async {
        let incoming = inbox.recv().await.unwrap();
        assert_eq!(
            (&incoming.from, &incoming.tunnel),
            (a.identity(), &wanted())
        );
        incoming.accept().unwrap()
    };
    let (opened, accepted) = tokio::join!(opening, accepting);
    (opened.unwrap().0, accepted, (a, b))
}

#[tokio::test]
async fn bytes_pass_in_both_directions_until_each_end_is_through() {
    let (mut near, mut far, _links) = open().await;
    near.write_all(b"to the upstream").await.unwrap();
    near.shutdown().await.unwrap();
    let mut read = String::new();
    far.read_to_string(&mut read).await.unwrap();
    assert_eq!(read, "to the upstream");
    far.write_all(b"to the caller").await.unwrap();
    far.shutdown().await.unwrap();
    read.clear();
    near.read_to_string(&mut read).await.unwrap();
    assert_eq!(read, "to the caller");
}

// Guards against a response that looks complete although the connection behind it was cut off.
#[tokio::test]
async fn an_end_that_is_dropped_is_an_error_at_the_other() {
    let (mut near, mut far, _links) = open().await;
    far.write_all(b"half").await.unwrap();
    let mut half = [0; 4];
    near.read_exact(&mut half).await.unwrap();
    drop(far);
    assert!(near.read(&mut half).await.is_err());
}

// Guards against a peer that buffers without bound what the other end does not read.
#[tokio::test]
async fn a_writer_waits_for_the_reader() {
    let (mut near, mut far, _links) = open().await;
    let chunk = vec![7; 1024 * 1024];
    let writing = tokio::time::timeout(Duration::from_millis(300), far.write_all(&chunk));
    assert!(writing.await.is_err());
    let reading = async {
        let mut read = vec![0; 64 * 1024];
        near.read_exact(&mut read).await.unwrap();
    };
    let writing = far.write_all(&chunk[..32 * 1024]);
    let both = async { tokio::join!(reading, writing) };
    let ((), written) = tokio::time::timeout(Duration::from_secs(5), both)
        .await
        .unwrap();
    written.unwrap();
}

#[rstest]
#[case(Rejection::UpstreamDown)]
#[case(Rejection::UpstreamUnreachable)]
#[case(Rejection::UnknownUpstream)]
#[case(Rejection::Busy)]
#[tokio::test]
async fn the_reason_of_a_rejection_reaches_the_other_vm(#[case] rejection: Rejection) {
    let (a, _) = vm("a").await;
    let (b, _) = vm("b").await;
    let mut inbox = b.take_tunnels().unwrap();
    let to_b = target(&b);
    let opening = a.open_tunnel(&to_b, wanted());
    let rejecting = async { inbox.recv().await.unwrap().reject(rejection) };
    let (opened, ()) = tokio::join!(opening, rejecting);
    assert_eq!(opened.unwrap_err(), tunnel::Error::Rejected(rejection));
}

// Guards against strangers that use a VM to reach upstreams.
#[tokio::test]
async fn a_vm_with_another_key_gets_no_tunnel() {
    let stranger = peer::Options {
        keys: keys("another", None),
        ..options("a")
    };
    let (a, _a) = bind(stranger).await;
    let (b, _b) = vm("b").await;
    let mut inbox = b.take_tunnels().unwrap();
    assert!(a.open_tunnel(&target(&b), wanted()).await.is_err());
    assert!(inbox.try_recv().is_err());
}

// Guards against new work on a link whose other end is stopping, and against the loss of open work.
#[tokio::test]
async fn a_vm_that_stops_takes_no_further_tunnels_and_keeps_open_ones() {
    let (a, _) = vm("a").await;
    let (b, _) = vm("b").await;
    let mut inbox = b.take_tunnels().unwrap();
    let to_b = target(&b);
    let opening = a.open_tunnel(&to_b, wanted());
    let accepting = async { inbox.recv().await.unwrap().accept().unwrap() };
    let (opened, mut far) = tokio::join!(opening, accepting);
    let (mut near, liveness) = opened.unwrap();
    assert!(!liveness.is_over());
    b.drain_tunnels();
    super::fixture::wait_until(|| liveness.is_over()).await;
    far.write_all(b"done").await.unwrap();
    let mut read = [0; 4];
    near.read_exact(&mut read).await.unwrap();
    assert_eq!(&read, b"done");
}
