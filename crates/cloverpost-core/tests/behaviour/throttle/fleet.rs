//! Sums over the VMs of a fleet.

use std::time::Duration;

use cloverpost_core::throttle::{Options, Register};
use proptest::prelude::*;
use rstest::rstest;

use super::{at, members, rate, registers, senders, upstream};

/// Window in which the upstream counts.
const WINDOW_MS: u64 = 4_000;

/// Lets every VM send whenever it may, each `step_ms`, and returns the times of the sends.
fn greedy_sends(registers: &mut [Register], from_ms: u64, to_ms: u64, step_ms: u64) -> Vec<u64> {
    let mut sends = Vec::new();
    for now in (from_ms..to_ms).step_by(usize::try_from(step_ms).unwrap()) {
        for register in registers.iter_mut() {
            while register.admits(&upstream(), at(now)) {
                register.record_send(&upstream(), at(now));
                sends.push(now);
            }
        }
    }
    sends
}

/// Most sends in any window.
fn peak(sends: &[u64]) -> usize {
    let in_window = |(index, from): (usize, &u64)| {
        let window = sends[index..].iter();
        window.take_while(|at| **at < from + WINDOW_MS).count()
    };
    sends.iter().enumerate().map(in_window).max().unwrap_or(0)
}

fn tell(registers: &mut [Register], per_second: f64, now: u64) {
    for register in registers {
        register.record_response(&upstream(), Some(rate(per_second)), at(now), at(now), now);
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // small and positive
fn tolerated(per_second: f64) -> usize {
    (per_second * 6.0 + 5.0) as usize
}

#[rstest]
fn busy_vms_use_the_rate_and_stay_within_what_is_tolerated(
    #[values(9, 66, 295, 630)] vms: usize,
    #[values(0.5, 2.1, 3.1, 20.0)] per_second: f64,
) {
    let mut registers = registers(vms);
    let mut sends = Vec::new();
    for from in (0..40_000).step_by(10_000) {
        tell(&mut registers, per_second, from);
        sends.extend(greedy_sends(&mut registers, from, from + 10_000, 50));
    }
    assert!(
        peak(&sends) <= tolerated(per_second),
        "{} sends",
        peak(&sends)
    );
    let settled = sends.iter().filter(|at| **at >= 8_000).count();
    let expected = per_second * 32.0;
    let used = f64::from(u32::try_from(settled).unwrap()) / expected;
    assert!((0.8..=1.2).contains(&used), "used {used}");
}

#[rstest]
fn a_burst_after_a_pause_stays_within_what_is_tolerated(
    #[values(9, 66, 630)] vms: usize,
    #[values(2.1, 20.0, 100.0)] per_second: f64,
) {
    let mut registers = registers(vms);
    tell(&mut registers, per_second, 0);
    let sends = greedy_sends(&mut registers, 15_000, 25_000, 20);
    assert!(
        peak(&sends) <= tolerated(per_second),
        "{} sends",
        peak(&sends)
    );
}

// Guards against all VMs asking at once whether a limit of which nobody hears has ended.
#[rstest]
fn vms_without_news_ask_in_turn(#[values(9, 66, 630)] vms: usize) {
    let mut registers = registers(vms);
    tell(&mut registers, 2.1, 0);
    let sends = greedy_sends(&mut registers, 25_000, 325_000, 100);
    assert!(peak(&sends) <= tolerated(2.1), "{} sends", peak(&sends));
    assert!(sends.len() > 200, "{} sends", sends.len());
}

// Guards against VMs with different member lists, of which each takes itself for a sender.
#[test]
fn vms_with_two_member_lists_stay_within_what_is_tolerated() {
    let all = members(80);
    let register = |own: usize| {
        let known = if own.is_multiple_of(4) {
            &all[..60]
        } else {
            &all[..]
        };
        Register::new(Options::default(), senders(own, known))
    };
    let mut registers: Vec<_> = (0..80).map(register).collect();
    tell(&mut registers, 2.1, 0);
    let sends = greedy_sends(&mut registers, 0, 40_000, 50);
    assert!(peak(&sends) <= tolerated(2.1), "{} sends", peak(&sends));
}

// Guards against senders that are all held back until the same moment.
#[test]
fn a_lower_rate_is_used_evenly() {
    let mut registers = registers(24);
    tell(&mut registers, 9.0, 0);
    greedy_sends(&mut registers, 0, 5_000, 50);
    tell(&mut registers, 2.1, 5_000);
    let sends = greedy_sends(&mut registers, 5_000, 17_000, 50);
    let gaps = sends.windows(2).map(|pair| pair[1] - pair[0]);
    assert!({ gaps }.max() < Some(1_500), "{sends:?}");
}

proptest! {
    // Guards against requests saved up under an earlier, higher limit.
    #[test]
    fn a_limit_that_falls_is_kept(
        vms in 2..90_usize,
        high in 4.0..40.0_f64,
        low in 0.5..4.0_f64,
        change in 1_000..9_000_u64,
    ) {
        let mut registers = registers(vms);
        tell(&mut registers, high, 0);
        greedy_sends(&mut registers, 0, change, 50);
        tell(&mut registers, low, change);
        let sends = greedy_sends(&mut registers, change, change + 20_000, 50);
        prop_assert!(peak(&sends) <= tolerated(low), "{} sends", peak(&sends));
    }

    // Guards against a fleet whose VMs join one after the other and take over as senders.
    #[test]
    fn vms_that_join_do_not_add_to_the_rate(
        vms in 4..40_usize,
        per_second in 0.5..10.0_f64,
    ) {
        let all = members(vms);
        let register = |own| Register::new(Options::default(), senders(own, &all[..2]));
        let mut registers: Vec<_> = (0..vms).map(register).collect();
        tell(&mut registers, per_second, 0);
        let mut sends = greedy_sends(&mut registers, 0, 3_000, 50);
        for known in 3..=vms {
            let now = 3_000 + u64::try_from(known).unwrap() * 200;
            for (own, register) in registers.iter_mut().enumerate() {
                register.set_senders(senders(own, &all[..known]), at(now));
            }
            sends.extend(greedy_sends(&mut registers, now, now + 200, 50));
        }
        prop_assert!(peak(&sends) <= tolerated(per_second), "{} sends", peak(&sends));
    }
}

#[test]
fn the_usual_load_is_back_within_two_seconds_after_the_end() {
    let mut registers = registers(24);
    tell(&mut registers, 2.1, 0);
    for register in &mut registers {
        for received in [110, 120] {
            register.record_response(&upstream(), None, at(100), at(received), received);
        }
    }
    let back = at(120) + Duration::from_millis(1_500);
    assert!(
        registers
            .iter()
            .all(|register| register.rate(&upstream(), back).is_none())
    );
}
