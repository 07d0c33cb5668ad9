//! The `cloverpost demo` and `cloverpost bench` commands.

use cloverpost_bench::{demo, hop, policy, slopes};

use crate::failure::{Failure, parse};
use crate::{flags, signal};

/// Expected syntax of counts, for error messages.
const COUNT: &str = "a positive integer";

/// Runs the demo site in this process.
pub fn demo(flags: &flags::Demo) -> Result<(), Failure> {
    let vms = parse("--vms", flags.vms.clone(), 3, COUNT)?;
    let requests = match &flags.requests {
        None => None,
        Some(text) => Some(parse("--requests", Some(text.clone()), 0, COUNT)?),
    };
    crate::runtime()?.block_on(async {
        let site = demo::Site::start(vms).await.map_err(Failure::runtime)?;
        let Some(requests) = requests else {
            println!("{}", site.welcome());
            signal::stop().await;
            site.close().await;
            return Ok(());
        };
        let options = demo::Options {
            requests,
            kill: flags.kill,
        };
        let report = demo::run(site, options).await.map_err(Failure::runtime)?;
        print!("{report}");
        if report.is_kept() {
            return Ok(());
        }
        Err(Failure::runtime("at least one promise was broken"))
    })
}

/// Runs one of the benchmarks.
pub fn bench(flags: &flags::Bench) -> Result<(), Failure> {
    match &flags.subcommand {
        flags::BenchCmd::Hop(flags) => {
            let defaults = hop::Options::default();
            let options = hop::Options {
                rate: parse("--rate", flags.rate.clone(), defaults.rate, COUNT)?,
                requests: parse(
                    "--requests",
                    flags.requests.clone(),
                    defaults.requests,
                    COUNT,
                )?,
            };
            let report = crate::runtime()?
                .block_on(hop::run(options))
                .map_err(Failure::runtime)?;
            print!("{report}");
            Ok(())
        }
        flags::BenchCmd::Policy(flags) => policy(flags),
        flags::BenchCmd::Slopes(flags) => slopes(flags),
    }
}

/// Runs a simulation scenario of the routing policies.
fn policy(flags: &flags::Policy) -> Result<(), Failure> {
    let scenarios = join_names(policy::Scenario::ALL);
    let scenario = flags.scenario.clone().unwrap_or_default();
    let invalid = format!("--scenario: invalid value `{scenario}`: expected one of {scenarios}");
    let scenario = scenario.parse().map_err(|_| Failure::usage(invalid))?;
    let policy = match &flags.policy {
        None => None,
        Some(text) => {
            let policies = join_names(policy::Policy::ALL);
            let invalid = format!("--policy: invalid value `{text}`: expected one of {policies}");
            Some(text.parse().map_err(|_| Failure::usage(invalid))?)
        }
    };
    let report = policy::run(&policy::Options {
        scenario,
        seed: parse("--seed", flags.seed.clone(), 1, "a non-negative integer")?,
        policy,
    });
    if flags.json {
        println!("{}", report.to_json().map_err(Failure::runtime)?);
    } else {
        print!("{report}");
    }
    if let Some(path) = &flags.plot {
        report.plot(path).map_err(Failure::runtime)?;
    }
    Ok(())
}

fn join_names(all: &[impl std::fmt::Display]) -> String {
    let names: Vec<_> = all.iter().map(ToString::to_string).collect();
    names.join(", ")
}

/// Measures the control-plane cost per unit.
fn slopes(flags: &flags::Slopes) -> Result<(), Failure> {
    let options = slopes::Options { quick: flags.quick };
    let report = slopes::run(options).map_err(Failure::runtime)?;
    print!("{report}");
    if let Some(path) = &flags.json {
        let json = report.to_json().map_err(Failure::runtime)?;
        std::fs::write(path, json).map_err(Failure::runtime)?;
    }
    if let Some(path) = &flags.plot {
        report.plot(path).map_err(Failure::runtime)?;
    }
    Ok(())
}
