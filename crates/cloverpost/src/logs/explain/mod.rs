//! The course of one request, told from the logs of all VMs.
//!
//! Each line that bears the request's id is a step. Before a step stand the beliefs
//! that it rested on: the last that its VM had said of the configuration and of the
//! store, and of the upstream that the step names.

mod line;

pub use line::Line;

use std::collections::BTreeSet;
use std::fmt::Write;

/// Messages of beliefs about a VM's surroundings, by what they speak of.
const SURROUNDINGS: [&[&str]; 2] = [
    &["configuration in force"],
    &["the store does not answer", "the store answers again"],
];
/// Messages of beliefs about an upstream.
const UPSTREAM: [&str; 3] = [
    "upstream left out for a while",
    "upstream takes work",
    "upstream gets no more work",
];

/// The course of request `id`; `None` if no line tells of it.
#[must_use]
pub fn explain(lines: &[Line], id: &str) -> Option<String> {
    let mut lines: Vec<_> = lines.iter().collect();
    lines.sort_by(|one, other| one.order(other));
    let steps: Vec<_> = (0..lines.len())
        .filter(|at| lines[*at].text("id") == id)
        .collect();
    if steps.is_empty() {
        return None;
    }
    let mut told = BTreeSet::new();
    let mut text = format!("request {id}\n");
    for step in steps {
        for belief in beliefs(&lines[..step], lines[step]) {
            if told.insert(belief) {
                write_line(&mut text, lines[belief], "believed");
            }
        }
        write_line(&mut text, lines[step], "");
    }
    Some(text)
}

/// Places in `before` of the beliefs behind `step`, in order of time.
fn beliefs(before: &[&Line], step: &Line) -> BTreeSet<usize> {
    let last = |is_wanted: &dyn Fn(&Line) -> bool| {
        before
            .iter()
            .rposition(|line| line.vm == step.vm && is_wanted(line))
    };
    let surroundings = SURROUNDINGS
        .iter()
        .filter_map(|messages| last(&|line| messages.contains(&line.message())));
    let upstream = step.text("upstream");
    let of_upstream = last(&|line| {
        !upstream.is_empty()
            && line.text("upstream") == upstream
            && UPSTREAM.contains(&line.message())
    });
    surroundings.chain(of_upstream).collect()
}

fn write_line(text: &mut String, line: &Line, kind: &str) {
    let (at, vm, message, details) = (&line.at, &line.vm, line.message(), line.details());
    writeln!(text, "{at:>12}  {vm:<20} {kind:<9}{message}: {details}").expect("a string takes all");
}
