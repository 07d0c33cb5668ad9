//! Selects the entries that a chat request runs on.

use std::sync::Arc;

use cloverpost_core::catalogue;
use cloverpost_core::refusal::Refusal;

use crate::front::{State, pick};

/// Entries selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct Selected<'a> {
    /// Runs the request first.
    pub first: &'a catalogue::Entry,
    /// Runs the request if the first response fails its rating.
    pub second: Option<&'a catalogue::Entry>,
    /// Whether the first entry is on trial, so that its response is always rated.
    pub trial: bool,
}

impl<'a> Selected<'a> {
    /// Selects `entry` alone, without a trial.
    pub const fn only(entry: &'a catalogue::Entry) -> Self {
        Self {
            first: entry,
            second: None,
            trial: false,
        }
    }
}

/// Selects entries for `name`, which is an entry or a class.
pub fn select<'a>(
    state: &State,
    catalogue: &'a catalogue::Catalogue,
    organisation: &'a catalogue::Organisation,
    name: &str,
) -> Result<Selected<'a>, Refusal> {
    if let Some(selected) = select_by_plan(state, catalogue, organisation, name) {
        return Ok(selected);
    }
    let halted = Arc::clone(&state.snapshot.load().halted);
    pick::entry(catalogue, organisation, &halted, name).map(Selected::only)
}

/// Selects entries by the plan, limited to those that the catalogue in force allows.
///
/// The plan may be several seconds old and still include an entry that was withdrawn or
/// that the organisation lost permission for since.
fn select_by_plan<'a>(
    state: &State,
    catalogue: &'a catalogue::Catalogue,
    organisation: &'a catalogue::Organisation,
    name: &str,
) -> Option<Selected<'a>> {
    let is_entry = name
        .parse()
        .is_ok_and(|name| catalogue.entry(&name).is_some());
    if is_entry {
        return None;
    }
    let class = catalogue.class(&name.parse().ok()?)?;
    let snapshot = state.snapshot.load();
    let selection = snapshot.selections.get(&organisation.name, &class.name)?;
    let attempt = selection.draw(&mut state.ratings.rng());
    let usable = |name| {
        let entry = catalogue.entry(name)?;
        let serves = entry.state.accepts_new_requests() && entry.kind == catalogue::Kind::Model;
        let usable = serves
            && snapshot.halted.allows(entry)
            && entry.class == class.name
            && organisation.permits(name);
        usable.then_some(entry)
    };
    let second = attempt.second.and_then(usable);
    // Responses of latency-first classes are never held for a verdict, even if the plan
    // predates the class's setting.
    let cascaded = second.filter(|_| !class.latency_first);
    match usable(attempt.first) {
        Some(first) => Some(Selected {
            first,
            second: cascaded,
            trial: attempt.trial,
        }),
        None => second.map(Selected::only),
    }
}
