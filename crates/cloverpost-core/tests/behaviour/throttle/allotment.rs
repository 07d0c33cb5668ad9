//! Division of a rate among VMs.

use cloverpost_core::throttle::{Allotment, Options};
use proptest::prelude::*;
use rstest::rstest;

use super::rate;

/// Requests that are tolerated in a window.
fn tolerated(per_second: f64) -> f64 {
    let options = Options::default();
    per_second * options.overage * options.window.as_secs_f64() + options.slack
}

#[allow(clippy::cast_precision_loss)] // small counts
fn sum_per_window(allotment: &Allotment) -> f64 {
    (allotment.senders * allotment.per_window) as f64
}

#[rstest]
#[case(2.1, 9, 9, 1)]
#[case(2.1, 66, 13, 1)]
#[case(2.1, 295, 13, 1)]
#[case(2.1, 630, 13, 1)]
#[case(20.0, 9, 9, 10)]
#[case(20.0, 66, 46, 2)]
#[case(20.0, 630, 93, 1)]
#[case(0.0, 9, 4, 1)]
fn as_many_vms_send_as_the_upstream_tolerates(
    #[case] per_second: f64,
    #[case] vms: usize,
    #[case] senders: usize,
    #[case] per_window: usize,
) {
    let allotment = Allotment::new(rate(per_second), vms, &Options::default());
    assert_eq!(
        (allotment.senders, allotment.per_window),
        (senders, per_window)
    );
}

proptest! {
    #[test]
    fn senders_stay_within_three_quarters_of_what_is_tolerated(
        per_second in 0.0..500.0_f64,
        vms in 1..700_usize,
    ) {
        let allotment = Allotment::new(rate(per_second), vms, &Options::default());
        prop_assert!(allotment.senders <= vms);
        prop_assert!(sum_per_window(&allotment) <= 0.75 * tolerated(per_second.max(0.25)));
    }

    #[test]
    fn senders_can_use_the_whole_rate(per_second in 0.3..500.0_f64, vms in 1..700_usize) {
        let allotment = Allotment::new(rate(per_second), vms, &Options::default());
        let window = allotment.window.as_secs_f64();
        prop_assert!(sum_per_window(&allotment) >= 0.9 * per_second * window);
    }

    #[test]
    fn every_vm_gets_a_turn(per_second in 0.3..50.0_f64, vms in 1..700_usize) {
        let allotment = Allotment::new(rate(per_second), vms, &Options::default());
        for rank in 0..vms {
            let mut turns = 0..u32::try_from(2 * vms).unwrap();
            let has_turn = turns.any(|turn| {
                allotment.includes_in_turn(rank, vms, allotment.interval * turn)
            });
            prop_assert!(has_turn, "rank {rank}");
        }
    }
}
