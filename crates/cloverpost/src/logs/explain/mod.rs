//! Reconstructs the course of one request from the logs of all VMs.
//!
//! Each line with the request's id is a step. A step is preceded by the state that its
//! VM had last logged for the configuration, the store and the upstream that the step
//! names.

mod line;

pub use line::Line;

use std::collections::BTreeSet;
use std::fmt::Write;

/// Messages that report the state of the configuration and of the store, by subject.
const VM_STATE: [&[&str]; 3] = [
    &["configuration in force"],
    &["the store came back from a copy"],
    &["the store does not answer", "the store answers again"],
];
/// Messages that report the state of an upstream.
const UPSTREAM_STATE: [&str; 4] = [
    "an upstream that was removed stands in the store's copy and is not used",
    "upstream left out for a while",
    "upstream takes work",
    "upstream gets no more work",
];

/// Describes the course of request `id`; `None` if no line has this id.
#[must_use]
pub fn explain(lines: &[Line], id: &str) -> Option<String> {
    let mut lines: Vec<_> = lines.iter().collect();
    lines.sort_by(|one, other| one.cmp_time(other));
    let steps: Vec<_> = (0..lines.len())
        .filter(|index| lines[*index].text("id") == id)
        .collect();
    if steps.is_empty() {
        return None;
    }
    let mut written = BTreeSet::new();
    let mut text = format!("request {id}\n");
    for step in steps {
        for state in preceding_state(&lines[..step], lines[step]) {
            if written.insert(state) {
                write_line(&mut text, lines[state], "believed");
            }
        }
        write_line(&mut text, lines[step], "");
    }
    Some(text)
}

/// Indices in `before` of the last state changes that `step` depended on, oldest first.
fn preceding_state(before: &[&Line], step: &Line) -> BTreeSet<usize> {
    let last = |is_wanted: &dyn Fn(&Line) -> bool| {
        before
            .iter()
            .rposition(|line| line.vm == step.vm && is_wanted(line))
    };
    let vm_state = VM_STATE
        .iter()
        .filter_map(|messages| last(&|line| messages.contains(&line.message())));
    let upstream = step.text("upstream");
    let upstream_state = last(&|line| {
        !upstream.is_empty()
            && line.text("upstream") == upstream
            && UPSTREAM_STATE.contains(&line.message())
    });
    vm_state.chain(upstream_state).collect()
}

/// Appends a line: timestamp, VM, `kind`, message and details.
fn write_line(text: &mut String, line: &Line, kind: &str) {
    let (timestamp, vm, message, details) =
        (&line.timestamp, &line.vm, line.message(), line.details());
    writeln!(
        text,
        "{timestamp:>12}  {vm:<20} {kind:<9}{message}: {details}"
    )
    .expect("writing to a string does not fail");
}
