//! Computation of entitlements and transfers.

/// Returns the units that each VM is entitled to, in the order of `demands`.
///
/// If the limit covers the total demand, each VM is entitled to its demand plus an equal
/// part of the remainder, so that noise in small demands moves few units. Otherwise
/// `even_fraction` of the limit is split evenly, so that a VM without demand can admit
/// its next request, and the rest in proportion to demand.
pub(super) fn entitlements(limit: u64, demands: &[u64], even_fraction: f64) -> Vec<u64> {
    let total: u64 = demands.iter().sum();
    let count = u64::try_from(demands.len()).unwrap_or(u64::MAX).max(1);
    if total <= limit {
        let rest = (limit - total) / count;
        return demands.iter().map(|demand| demand + rest).collect();
    }
    let even = share_of(even_fraction, limit);
    let by_demand = |demand: &u64| even / count + scaled(limit - even, *demand, total);
    demands.iter().map(by_demand).collect()
}

/// Returns the units that the VM at `index` transfers to each member: its surplus, in
/// proportion to the deficits of the others.
///
/// All VMs with a surplus use the same proportions, so together their transfers cover the
/// deficits without exceeding them.
pub(super) fn transfers(
    index: usize,
    held: &[u64],
    entitlements: &[u64],
    min_transfer_fraction: f64,
) -> Vec<u64> {
    let excess = |index: usize| held[index].saturating_sub(entitlements[index]);
    let deficit = |index: usize| entitlements[index].saturating_sub(held[index]);
    let indices = || 0..held.len();
    let total_deficit: u64 = indices().map(deficit).sum();
    let total_excess: u64 = indices().map(excess).sum();
    let surplus = excess(index);
    if surplus <= share_of(min_transfer_fraction, entitlements[index]) {
        return Vec::new();
    }
    let divisor = total_deficit.max(total_excess);
    indices()
        .map(|receiver| scaled(surplus, deficit(receiver), divisor))
        .collect()
}

/// Returns `amount * part / whole`, rounded down, without overflow.
fn scaled(amount: u64, part: u64, whole: u64) -> u64 {
    let scaled = u128::from(amount) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Returns the fraction `share`, from 0 to 1, of `amount`, with `share` rounded down to
/// thousandths.
fn share_of(share: f64, amount: u64) -> u64 {
    const WHOLE: u64 = 1_000;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // 0 to 1000
    let thousandths = (share.clamp(0.0, 1.0) * 1_000.0) as u64;
    scaled(amount, thousandths, WHOLE)
}
