//! Planned stops of a VM.

use cloverpost_core::refusal::Ran;
use cloverpost_standin::script::{Fault, Point, Rule};
use rstest::rstest;

use super::call::{Call, Outcome};
use super::caller;
use super::cluster::{Cluster, Options};

// Guards against requests that are cut without a response as the process ends, although they ran.
#[rstest]
#[case::plain(Call::Plain)]
#[case::keyed(Call::Keyed)]
#[case::keyless(Call::Keyless)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_outlasts_a_stop_gets_a_response(#[case] call: Call) {
    let flags = vec![
        ("drain-delay", "200ms".to_owned()),
        ("drain-limit", "500ms".to_owned()),
    ];
    let options = Options {
        flags,
        ..Options::default()
    };
    let mut cluster = Cluster::start(options).await;
    let at = Point::BeforeHeaders;
    cluster.inject(&Rule::once(Fault::Stall { at }));
    let request = tokio::spawn(caller::send(call.request(cluster.vm(0), None)));
    cluster.wait_for_runs(|runs| !runs.is_empty()).await;
    cluster.vms.remove(0).close().await;
    let reply = request.await.unwrap().expect("a response");
    assert_eq!(
        call.check(&cluster, Some(&reply)),
        Outcome::Refused(504, Ran::Unknown)
    );
}
