//! Cases of the review, each with the stand-ins that it needs.
//!
//! `case NAME FOLDER` starts the router's processes, a store, replicas and clients on loopback, writes
//! `record.txt` to FOLDER and exits with 1 if the rule was broken, 0 if it held and 2 if the case could
//! not run. With `TROUBLE=0` the disruption is left out.

mod between;
mod caller;
mod drain;
mod fetch;
mod http;
mod json;
mod length;
mod pinned;
mod process;
mod relay;
mod replica;
mod silent;
mod site;
mod store;
mod vm;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match words[..] {
        ["replica", ref options @ ..] => {
            process::serve(options);
            return ExitCode::SUCCESS;
        }
        [name, folder] => {
            let folder = PathBuf::from(folder);
            match name {
                "drain" => drain::run(&folder, has_trouble),
                "fetch" => fetch::run(&folder, has_trouble),
                "length" => length::run(&folder, has_trouble),
                "pinned" => pinned::run(&folder, has_trouble),
                "silent" => silent::run(&folder, has_trouble),
                _ => None,
            }
        }
        _ => None,
    };
    match run {
        Some(Verdict::Held) => ExitCode::SUCCESS,
        Some(Verdict::Broken) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
