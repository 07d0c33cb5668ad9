//! Sends the requests and runs the checks.

use std::ops::Range;
use std::time::Duration;

use cloverpost_core::{catalogue as core_catalogue, id};
use futures_util::StreamExt;

use crate::demo::balancer::Balancer;
use crate::demo::workload::{Exchange, Workload};
use crate::demo::{Report, checks, outage};
use crate::site::{EntryVm, Error, Site, catalogue};

/// Requests in flight at once.
const WORKERS: usize = 16;
/// Time within which the VMs must stop using a draining upstream.
const DRAIN_DEADLINE: Duration = Duration::from_secs(3);
/// Delay until the balancer notices that a VM is not ready; half the drain delay of the VMs.
const READYZ_DELAY: Duration = Duration::from_millis(50);
/// Delay in the second half until VMs are stopped.
const STOP_DELAY: Duration = Duration::from_millis(50);

/// Options of a demo run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of requests.
    pub requests: usize,
    /// Whether to kill a VM halfway through.
    pub kill: bool,
}

/// Runs the demo on `site` and closes it.
pub async fn run(mut site: Site, options: Options) -> Result<Report, Error> {
    let workload = Workload::new();
    let half = options.requests / 2;
    let quarter = half / 2;
    let vms = site.caller_addrs();
    let balancer = Balancer::new(vms.clone());
    let mut before = send(&workload, &balancer, 0..quarter).await;
    let (during, outage) = tokio::join!(
        send(&workload, &balancer, quarter..half),
        outage::check(&site, &workload, &vms)
    );
    before.extend(during);

    let revision = withdraw_old(&site).await?;
    let in_force = site.wait_in_force(revision).await?;

    site.mark_leaving(0);
    tokio::time::sleep(DRAIN_DEADLINE).await;
    let runs_before = site.engines[0].handle().journal().runs().len();

    // Requests continue to all VMs while one shuts down and, with `kill`, another is killed.
    let vm_to_stop = site.vms.pop();
    let vm_to_kill = options.kill.then(|| site.vms.remove(0));
    let killed = vm_to_kill.as_ref().map(EntryVm::caller_addr);
    let (after, ()) = tokio::join!(send(&workload, &balancer, half..options.requests), async {
        tokio::time::sleep(STOP_DELAY).await;
        if let Some(vm) = vm_to_kill {
            vm.kill();
        }
        if let Some(vm) = vm_to_stop {
            let address = vm.caller_addr();
            tokio::join!(vm.close(), async {
                tokio::time::sleep(READYZ_DELAY).await;
                balancer.remove(address);
            });
        }
    });
    let mut all = before.clone();
    all.extend(after.iter().cloned());
    let mut tallies = vec![
        checks::permitted(&all),
        checks::withdrawn(&after),
        checks::sessions(&all),
        checks::complete_responses(&all),
        checks::refusals(&site, &all),
        checks::at_most_once(&site, &all),
        checks::drained(&site, runs_before),
        checks::none_truncated(&all, killed),
        checks::all_settled(&all),
        outage,
    ];
    tallies.push(checks::bills(&site, &all).await);
    let replies = || all.iter().flat_map(Exchange::replies);
    let report = Report {
        sent: all.iter().map(|exchange| exchange.attempts.len()).sum(),
        answered: replies().filter(|reply| reply.is_success()).count(),
        refused: replies().filter(|reply| !reply.is_success()).count(),
        in_force,
        tallies,
    };
    site.close().await;
    Ok(report)
}

/// Withdraws the old version through the operator interface.
async fn withdraw_old(site: &Site) -> Result<id::Revision, Error> {
    let current = site.operator().show().await?;
    let entry = catalogue::OLD
        .parse()
        .map_err(|error: id::Error| Error::Start(error.to_string()))?;
    let changed = core_catalogue::Catalogue::from_toml(&current.text)
        .map_err(|error| Error::Start(error.to_string()))?
        .withdraw(&entry, core_catalogue::withdraw::Mode::AtOnce)
        .map_err(|error| Error::Start(error.to_string()))?;
    site.apply("withdraw the old version", changed.to_toml())
        .await
}

async fn send(workload: &Workload, balancer: &Balancer, indices: Range<usize>) -> Vec<Exchange> {
    futures_util::stream::iter(indices)
        .map(|index| workload.send(index, balancer))
        .buffer_unordered(WORKERS)
        .collect()
        .await
}
