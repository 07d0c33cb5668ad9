//! Stand-ins and scenarios of the review. `run.sh` of each case starts one scenario.

mod client;
mod doubt;
mod http;
mod json;
mod load;
mod names;
mod replica;
mod site;
mod store;
mod unframed;
mod uploads;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// What a scenario has found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
    let result = match arguments[..] {
        ["store", address] => store::run(address).map(|()| Verdict::Held),
        [
            "replica",
            address,
            id,
            service,
            zone,
            store,
            events,
            gap_ms,
            framing,
            confidence,
        ] => {
            let number = |text: &str| text.parse().unwrap_or_default();
            let millis = |text: &str| Duration::from_millis(text.parse().unwrap_or_default());
            let (first_ms, gap_ms) = gap_ms.split_once('+').unwrap_or((gap_ms, gap_ms));
            let options = replica::Options {
                address: address.to_owned(),
                id: id.to_owned(),
                service: service.to_owned(),
                zone: zone.to_owned(),
                store: store.to_owned(),
                events: number(events),
                first: millis(first_ms),
                gap: millis(gap_ms),
                is_unframed: framing == "unframed",
                confidence: confidence.parse().unwrap_or_default(),
            };
            replica::run(options).map(|()| Verdict::Held)
        }
        ["scenario", name, directory, trouble] => {
            let directory = Path::new(directory);
            match name {
                "unframed" => unframed::play(directory, trouble != "0"),
                "doubt" => doubt::play(directory, trouble != "0"),
                "names" => names::play(directory, trouble != "0"),
                "uploads" => uploads::play(directory, trouble != "0"),
                _ => Err(io::ErrorKind::InvalidInput.into()),
            }
        }
        _ => Err(io::ErrorKind::InvalidInput.into()),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
