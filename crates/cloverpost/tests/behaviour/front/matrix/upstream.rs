//! Faults of all upstreams.

use std::time::Duration;

use cloverpost_standin::script::{Fault, Point, Rule};
use rstest::rstest;

use super::{
    COMPLETE, Call, FAILED, FAILED_RAN, NOT_RUN, Options, Outcome, QUARANTINED, QUARANTINED_RAN,
    TIMED_OUT, TIMED_OUT_RAN, TRUNCATED, call_with_fault, expected,
};

/// Time limit of the classes in tests of stalls.
const SHORT_TIME_LIMIT: Duration = Duration::from_millis(1_500);
/// Time until a crashed upstream restarts; longer than any test.
const DOWNTIME: Duration = Duration::from_mins(10);

#[rstest]
#[case::cut_before_start(Fault::CloseConnection { at: Point::BeforeStart }, [QUARANTINED, QUARANTINED, QUARANTINED, FAILED, FAILED])]
#[case::cut_before_headers(Fault::CloseConnection { at: Point::BeforeHeaders }, [QUARANTINED, QUARANTINED, QUARANTINED, FAILED, FAILED])]
#[case::cut_after_headers(Fault::CloseConnection { at: Point::AfterHeaders }, [QUARANTINED_RAN, QUARANTINED_RAN, QUARANTINED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::cut_midway(Fault::CloseConnection { at: Point::AfterChunks(1) }, [QUARANTINED_RAN, TRUNCATED, QUARANTINED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::cut_before_the_end(Fault::CloseConnection { at: Point::BeforeEnd }, [QUARANTINED_RAN, TRUNCATED, QUARANTINED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::crash_before_start(Fault::Crash { at: Point::BeforeStart, downtime: DOWNTIME }, [QUARANTINED, QUARANTINED, QUARANTINED, FAILED, FAILED])]
#[case::crash_before_headers(Fault::Crash { at: Point::BeforeHeaders, downtime: DOWNTIME }, [QUARANTINED, QUARANTINED, QUARANTINED, FAILED, FAILED])]
#[case::crash_after_headers(Fault::Crash { at: Point::AfterHeaders, downtime: DOWNTIME }, [QUARANTINED_RAN, QUARANTINED_RAN, QUARANTINED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::crash_midway(Fault::Crash { at: Point::AfterChunks(1), downtime: DOWNTIME }, [QUARANTINED_RAN, TRUNCATED, QUARANTINED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::crash_before_the_end(Fault::Crash { at: Point::BeforeEnd, downtime: DOWNTIME }, [QUARANTINED_RAN, TRUNCATED, QUARANTINED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::ends_early_after_headers(Fault::EndEarly { at: Point::AfterHeaders }, [FAILED_RAN, QUARANTINED_RAN, FAILED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::ends_early_midway(Fault::EndEarly { at: Point::AfterChunks(1) }, [FAILED_RAN, TRUNCATED, FAILED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::ends_early_before_the_end(Fault::EndEarly { at: Point::BeforeEnd }, [FAILED_RAN, TRUNCATED, FAILED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::garbled(Fault::MalformedChunk, [FAILED_RAN, TRUNCATED, FAILED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::crossed(Fault::OtherResponse, [FAILED, FAILED, FAILED, FAILED, FAILED])]
#[case::doubled(Fault::DuplicateResponse, [FAILED_RAN, COMPLETE, FAILED_RAN, FAILED_RAN, FAILED_RAN])]
#[case::late(Fault::Delay { at: Point::AfterHeaders, duration: Duration::from_millis(20) }, [COMPLETE, COMPLETE, COMPLETE, COMPLETE, COMPLETE])]
#[case::refused_with_proof(Fault::Reject { status: 429, not_started: true }, [NOT_RUN, NOT_RUN, NOT_RUN, NOT_RUN, NOT_RUN])]
#[case::refused_without_proof(Fault::Reject { status: 500, not_started: false }, [FAILED, FAILED, FAILED, Outcome::ServiceError(500), Outcome::ServiceError(500)])]
#[case::status_beyond_http(Fault::Reject { status: 600, not_started: false }, [FAILED, FAILED, FAILED, FAILED, FAILED])]
#[case::status_beyond_http_with_proof(Fault::Reject { status: 999, not_started: true }, [FAILED, FAILED, FAILED, FAILED, FAILED])]
#[tokio::test]
async fn a_fault_of_every_upstream_is_reported_accurately(
    #[case] fault: Fault,
    #[case] outcome: [Outcome; 5],
    #[values(Call::Plain, Call::Streamed, Call::Session, Call::Keyed, Call::Keyless)] call: Call,
) {
    let rule = Rule {
        times: None,
        ..Rule::once(fault)
    };
    let actual = call_with_fault(Options::default(), rule, call).await;
    assert_eq!(actual, expected(call, outcome));
}

#[rstest]
#[case::before_start(Point::BeforeStart, [TIMED_OUT, TIMED_OUT, TIMED_OUT, TIMED_OUT, TIMED_OUT])]
#[case::before_headers(Point::BeforeHeaders, [TIMED_OUT, TIMED_OUT, TIMED_OUT, TIMED_OUT, TIMED_OUT])]
#[case::after_headers(Point::AfterHeaders, [TIMED_OUT_RAN, TIMED_OUT_RAN, TIMED_OUT_RAN, TIMED_OUT_RAN, TIMED_OUT_RAN])]
#[case::midway(Point::AfterChunks(1), [TIMED_OUT_RAN, TRUNCATED, TIMED_OUT_RAN, TIMED_OUT_RAN, TIMED_OUT_RAN])]
#[case::before_the_end(Point::BeforeEnd, [TIMED_OUT_RAN, TRUNCATED, TIMED_OUT_RAN, TIMED_OUT_RAN, TIMED_OUT_RAN])]
#[tokio::test]
async fn a_stalled_response_ends_at_the_time_limit(
    #[case] at: Point,
    #[case] outcome: [Outcome; 5],
    #[values(Call::Plain, Call::Streamed, Call::Session, Call::Keyed, Call::Keyless)] call: Call,
) {
    let options = Options {
        time_limit: SHORT_TIME_LIMIT,
        ..Options::default()
    };
    let rule = Rule {
        times: None,
        ..Rule::once(Fault::Stall { at })
    };
    assert_eq!(
        call_with_fault(options, rule, call).await,
        expected(call, outcome)
    );
}
