//! The `cloverpost explain` command.

use std::io::Read;
use std::path::Path;

use cloverpost::logs::explain::{self, Line};

use crate::failure::Failure;
use crate::flags;

/// VM name shown for log lines whose VM is not known.
const UNKNOWN_VM: &str = "-";

/// Prints the timeline of a request from the logs of the VMs.
pub fn run(flags: &flags::Explain) -> Result<(), Failure> {
    let lines = read_lines(&flags.files)?;
    let id = &flags.id;
    let timeline = explain::explain(&lines, id).ok_or_else(|| {
        Failure::usage(format!(
            "request {id} not found in {} log lines",
            lines.len()
        ))
    })?;
    print!("{timeline}");
    Ok(())
}

fn read_lines(files: &[std::path::PathBuf]) -> Result<Vec<Line>, Failure> {
    if files.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| Failure::runtime(format!("standard input: {error}")))?;
        return Ok(parse_lines(&text, UNKNOWN_VM));
    }
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| Failure::usage(format!("{}: {error}", file.display())))?;
        lines.extend(parse_lines(&text, vm_name(file)));
    }
    Ok(lines)
}

fn parse_lines(text: &str, vm: &str) -> Vec<Line> {
    text.lines()
        .filter_map(|line| Line::parse(line, vm))
        .collect()
}

/// Returns the VM name, which is the file name of its log without the extension.
fn vm_name(file: &Path) -> &str {
    let stem = file.file_stem().and_then(std::ffi::OsStr::to_str);
    stem.unwrap_or(UNKNOWN_VM)
}
