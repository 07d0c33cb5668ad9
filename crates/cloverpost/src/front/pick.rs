//! Picks the entry and the upstream for a request.

use std::sync::Arc;

use cloverpost_core::catalogue;
use cloverpost_core::choice;
use cloverpost_core::id;
use cloverpost_core::refusal::{Code, Refusal};

use crate::front::State;
use crate::overload;
use crate::plan;
use crate::snapshot;
use crate::upstream;

/// Attempts to reserve a slot before the pool counts as full.
const RESERVE_ATTEMPTS: usize = 4;

/// Returns the entry for `name`, which is an entry or a class.
pub fn entry<'a>(
    catalogue: &'a catalogue::Catalogue,
    organisation: &'a catalogue::Organisation,
    halted: &plan::Halted,
    name: &str,
) -> Result<&'a catalogue::Entry, Refusal> {
    let entry = name.parse().ok().and_then(|name| catalogue.entry(&name));
    // Plain services do not accept chat requests.
    if let Some(entry) = entry.filter(|entry| entry.kind == catalogue::Kind::Model) {
        return named_entry(organisation, halted, entry);
    }
    let class = name.parse().ok().and_then(|name| catalogue.class(&name));
    match class {
        Some(class) => class_entry(catalogue, organisation, halted, class),
        None => Err(Refusal::not_run(
            Code::UnknownModel,
            format!("neither an entry nor a class is named `{name}`"),
        )),
    }
}

/// Checks that `entry` accepts new requests of `organisation`.
fn named_entry<'a>(
    organisation: &catalogue::Organisation,
    halted: &plan::Halted,
    entry: &'a catalogue::Entry,
) -> Result<&'a catalogue::Entry, Refusal> {
    check_permission(organisation, entry)?;
    check_accepts_new(entry)?;
    if halted.allows(entry) {
        return Ok(entry);
    }
    let message = format!("`{}` was found bad and is halted", entry.name);
    Err(Refusal {
        retry_after: None,
        ..Refusal::not_run(Code::NoUpstream, message)
    })
}

/// Refuses requests for an entry that is draining or withdrawn. The refusal has no
/// `Retry-After`, since a retry would be refused too.
pub fn check_accepts_new(entry: &catalogue::Entry) -> Result<(), Refusal> {
    if entry.state.accepts_new_requests() {
        return Ok(());
    }
    let message = format!("`{}` takes no new requests", entry.name);
    Err(Refusal {
        retry_after: None,
        ..Refusal::not_run(Code::NoUpstream, message)
    })
}

/// Refuses requests for an entry that `organisation` may not use.
pub fn check_permission(
    organisation: &catalogue::Organisation,
    entry: &catalogue::Entry,
) -> Result<(), Refusal> {
    if organisation.permits(&entry.name) {
        return Ok(());
    }
    let message = format!("`{}` may not use `{}`", organisation.name, entry.name);
    Err(Refusal::not_run(Code::NotPermitted, message))
}

/// Returns the cheapest permitted entry that meets the quality target of `class`, or the
/// one of the highest quality if none does.
fn class_entry<'a>(
    catalogue: &'a catalogue::Catalogue,
    organisation: &'a catalogue::Organisation,
    halted: &plan::Halted,
    class: &'a catalogue::Class,
) -> Result<&'a catalogue::Entry, Refusal> {
    let serving = || {
        catalogue
            .permitted(organisation, &class.name)
            .filter(|entry| {
                entry.state.accepts_new_requests() && entry.kind == catalogue::Kind::Model
            })
            .filter(|entry| halted.allows(entry))
    };
    // Without a plan, a version that is being rolled out has no share of the requests. It is
    // used only if there is no other entry.
    let cheapest = serving()
        .filter(|entry| entry.replaces.is_none())
        .filter(|entry| entry.quality >= class.quality_target)
        .min_by_key(|entry| entry.price);
    let best = || serving().max_by_key(|entry| (entry.replaces.is_none(), entry.quality));
    cheapest.or_else(best).ok_or_else(|| {
        let message = format!(
            "`{}` may use no serving entry of class `{}`",
            organisation.name, class.name
        );
        Refusal::not_run(Code::NotPermitted, message)
    })
}

/// Reserves a slot on an upstream of `pool`, preferring upstreams that are not in `tried`.
///
/// Returns `None` if every upstream is full or the pool has none.
pub fn reserve_slot(
    state: &State,
    pool: &id::Pool,
    affinity: Option<choice::Affinity>,
    tried: &[id::Vm],
) -> Option<upstream::Slot> {
    let snapshot = state.snapshot.load();
    let upstreams = snapshot.pool(pool);
    let queue = snapshot.queues.get(pool)?;
    let accepts = snapshot::Upstream::accepts_requests;
    let untried =
        |upstream: &snapshot::Upstream| accepts(upstream) && !tried.contains(&upstream.name);
    reserve_on_any(state, upstreams, queue, untried, affinity)
        .or_else(|| reserve_on_any(state, upstreams, queue, accepts, affinity))
}

/// Chooses a usable upstream and reserves a slot on it.
///
/// Chooses again if another thread reserved the last slot of the chosen upstream first.
fn reserve_on_any(
    state: &State,
    upstreams: &[snapshot::Upstream],
    queue: &Arc<overload::Queue>,
    usable: impl Fn(&snapshot::Upstream) -> bool,
    affinity: Option<choice::Affinity>,
) -> Option<upstream::Slot> {
    let options = choice::Options::default();
    for _ in 0..RESERVE_ATTEMPTS {
        let now = state.clock.now();
        let rng = &mut rand::rng();
        let chosen = choice::choose(upstreams, &usable, affinity, &options, now, rng)?;
        if let Some(slot) = upstream::Slot::acquire(chosen.clone(), Arc::clone(queue)) {
            return Some(slot);
        }
    }
    None
}
