//! Which VMs follow the store.

use cloverpost_core::directory::{Member, Row, Table, Version};
use cloverpost_core::id;

fn table(vms: &[(&str, &str)]) -> Table<Member> {
    let mut table = Table::default();
    for (vm, zone) in vms {
        let value = Member {
            vm: vm.parse().unwrap(),
            zone: zone.parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            seen_ms: 0,
        };
        let version = Version::new(1);
        table.rows.insert((*vm).to_owned(), Row { version, value });
    }
    table
}

fn watchers(table: &Table<Member>, zone: &str) -> Vec<String> {
    let zone: id::AvailabilityZone = zone.parse().unwrap();
    let members = table.rows.values().map(|row| &row.value);
    let watching = members.filter(|one| one.zone == zone && table.is_watcher(&one.vm, &zone));
    watching.map(|one| one.vm.to_string()).collect()
}

#[test]
fn two_vms_of_a_zone_follow_however_many_there_are() {
    let names: Vec<_> = (0..35).map(|number| format!("vm-{number}")).collect();
    let vms: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
    assert_eq!(watchers(&table(&vms), "a").len(), 2);
}

#[test]
fn in_a_small_zone_all_follow() {
    let table = table(&[("vm-1", "a"), ("vm-2", "a"), ("vm-3", "b")]);
    assert_eq!(watchers(&table, "a").len(), 2);
    assert_eq!(watchers(&table, "b"), ["vm-3"]);
}

#[test]
fn a_vm_that_is_not_listed_follows_for_itself() {
    // A VM that has just started is not on its own copy of the list. If it waited to be
    // told, it might wait for VMs that are gone.
    let table = table(&[("vm-1", "a"), ("vm-2", "a"), ("vm-3", "a")]);
    assert!(table.is_watcher(&"vm-9".parse().unwrap(), &"a".parse().unwrap()));
}
