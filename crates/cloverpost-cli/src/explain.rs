//! `cloverpost explain`.

use std::io::Read;
use std::path::Path;

use cloverpost::logs::explain::{self, Line};

use crate::failure::Failure;
use crate::flags;

/// Name of a VM whose lines do not say which it is.
const NAMELESS: &str = "-";

/// Prints the course of a request.
pub fn run(flags: &flags::Explain) -> Result<(), Failure> {
    let lines = lines(&flags.files)?;
    let id = &flags.id;
    let course = explain::explain(&lines, id)
        .ok_or_else(|| Failure::wrong(format!("{id}: none of {} lines has it", lines.len())))?;
    print!("{course}");
    Ok(())
}

fn lines(files: &[std::path::PathBuf]) -> Result<Vec<Line>, Failure> {
    if files.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| Failure::failed(format!("standard input: {error}")))?;
        return Ok(parse(&text, NAMELESS));
    }
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| Failure::wrong(format!("{}: {error}", file.display())))?;
        lines.extend(parse(&text, name(file)));
    }
    Ok(lines)
}

fn parse(text: &str, vm: &str) -> Vec<Line> {
    text.lines()
        .filter_map(|line| Line::parse(line, vm))
        .collect()
}

/// A log is named after its VM.
fn name(file: &Path) -> &str {
    let stem = file.file_stem().and_then(std::ffi::OsStr::to_str);
    stem.unwrap_or(NAMELESS)
}
