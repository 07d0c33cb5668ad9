//! The `cloverpost` program: parses arguments and dispatches to the library crates.
#![deny(unsafe_code, rust_2018_idioms)]

mod catalogue;
mod explain;
mod failure;
mod flags;
mod gateway;
mod measure;
mod serve;
mod signal;
mod standin;

use std::process::ExitCode;

use failure::Failure;

fn main() -> ExitCode {
    if std::env::args()
        .skip(1)
        .any(|argument| argument == "--version")
    {
        println!("cloverpost {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = match flags::Cloverpost::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

fn run(flags: flags::Cloverpost) -> Result<(), Failure> {
    use flags::CloverpostCmd as Command;
    match flags.subcommand {
        Command::Serve(flags) => serve::run(flags),
        Command::Gateway(flags) => gateway::run(&flags),
        Command::Explain(flags) => explain::run(&flags),
        Command::Catalogue(flags) => catalogue::run(flags),
        Command::Standin(flags) => standin::run(flags),
        Command::Demo(flags) => measure::demo(&flags),
        Command::Bench(flags) => measure::bench(&flags),
    }
}

/// Builds the multi-threaded Tokio runtime.
fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::runtime(format!("cannot start the async runtime: {error}")))
}
