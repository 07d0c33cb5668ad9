//! A platform outage.

use std::net::SocketAddr;
use std::time::Duration;

use crate::demo::Tally;
use crate::demo::workload::Workload;
use crate::site::{Site, catalogue};

/// Delay before service is checked. It exceeds the validity of a confirmation by the store,
/// so that only a majority of the VMs can confirm the catalogue.
const CHECK_DELAY: Duration = Duration::from_secs(4);

/// Takes the platform down and checks that chat continues and that bookings, which need the
/// store, are refused and do not run.
pub async fn check(site: &Site, workload: &Workload, vms: &[SocketAddr]) -> Tally {
    let mut tally = Tally::new("service goes on while the store is down");
    set_platform_down(site, true);
    tokio::time::sleep(CHECK_DELAY).await;
    for (index, vm) in vms.iter().enumerate() {
        let prompt = format!("outage-{index}");
        let caller = workload.harrowgate();
        let reply = caller
            .chat(*vm, catalogue::CLASS, &prompt, true, None)
            .await;
        let answered = reply
            .as_ref()
            .is_ok_and(|reply| reply.is_success() && reply.is_complete());
        tally.check(answered, || format!("{prompt}: {reply:?}"));

        let reply = caller
            .book(*vm, catalogue::ROSTER, Some(&prompt), &prompt)
            .await;
        let refused = reply
            .as_ref()
            .is_ok_and(|reply| reply.status == 503 && reply.header("cloverpost-ran") == Some("no"));
        let runs = site.service.handle().journal().count_by_key(&prompt);
        tally.check(refused && runs == 0, || {
            format!("booking {prompt}: {reply:?}")
        });
    }
    set_platform_down(site, false);
    tally
}

fn set_platform_down(site: &Site, down: bool) {
    site.platform.table.faults().set_down(down);
    site.platform.objects.faults().set_down(down);
    site.platform.vms.faults().set_down(down);
}
