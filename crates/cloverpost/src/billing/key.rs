//! Keys of billing rows.

use cloverpost_core::{billing, id};
use cloverpost_platform::table;

/// Partition of all accounts.
pub const ACCOUNTS: &str = "billing/vm";

/// Key of the account of `vm`.
pub fn account(vm: &id::Vm) -> table::Key {
    table::Key::new(ACCOUNTS, vm.as_str())
}

/// Partition of the segments of `vm`.
pub fn segments(vm: &id::Vm) -> String {
    format!("billing/segment/{vm}")
}

/// Key of the segment `number` of `vm`.
pub fn segment(vm: &id::Vm, number: billing::Number) -> table::Key {
    table::Key::new(segments(vm), sort_key(number))
}

/// Sort key of the segment `number`.
pub fn sort_key(number: billing::Number) -> String {
    format!("{:020}", number.get())
}
