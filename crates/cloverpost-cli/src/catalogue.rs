//! The `cloverpost catalogue` commands.

use std::time::Duration;

use cloverpost::operate::Client;
use cloverpost_core::{catalogue, id};

use crate::failure::Failure;
use crate::flags;

/// Interval between status requests while waiting for a revision to be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a catalogue subcommand.
pub fn run(flags: flags::Catalogue) -> Result<(), Failure> {
    crate::runtime()?.block_on(command(flags))
}

async fn command(flags: flags::Catalogue) -> Result<(), Failure> {
    use flags::CatalogueCmd as Command;
    match flags.subcommand {
        Command::Show(flags) => {
            let catalogue = client(flags.url, flags.key)?
                .show()
                .await
                .map_err(Failure::runtime)?;
            eprintln!("revision {}", catalogue.revision);
            print!("{}", catalogue.text);
            Ok(())
        }
        Command::Apply(flags) => apply(flags).await,
        Command::Withdraw(flags) => withdraw(flags).await,
        Command::History(flags) => {
            let client = client(flags.url, flags.key)?;
            print_json(
                &client
                    .read("/catalogue/revisions")
                    .await
                    .map_err(Failure::runtime)?,
            );
            Ok(())
        }
        Command::Status(flags) => status(flags).await,
    }
}

async fn apply(flags: flags::Apply) -> Result<(), Failure> {
    let text = std::fs::read_to_string(&flags.file)
        .map_err(|error| Failure::usage(format!("{}: {error}", flags.file.display())))?;
    catalogue::Catalogue::from_toml(&text)
        .map_err(|error| Failure::usage(format!("{}:\n{error}", flags.file.display())))?;
    let client = client(flags.url, flags.key)?;
    let base = match flags.base {
        Some(base) => base.parse().map_err(|_| {
            Failure::usage(format!(
                "--base: invalid value `{base}`: expected a revision number"
            ))
        })?,
        None => client.show().await.map_err(Failure::runtime)?.revision,
    };
    edit(&client, base, flags.comment, text).await
}

async fn withdraw(flags: flags::Withdraw) -> Result<(), Failure> {
    let entry: id::Entry = flags.entry.parse().map_err(Failure::usage)?;
    let mode = if flags.at_once {
        catalogue::withdraw::Mode::AtOnce
    } else {
        catalogue::withdraw::Mode::Draining
    };
    let client = client(flags.url, flags.key)?;
    let current = client.show().await.map_err(Failure::runtime)?;
    let changed = catalogue::Catalogue::from_toml(&current.text)
        .map_err(Failure::runtime)?
        .withdraw(&entry, mode)
        .map_err(Failure::usage)?;
    let comment = flags.comment.unwrap_or_else(|| format!("withdraw {entry}"));
    edit(&client, current.revision, Some(comment), changed.to_toml()).await
}

async fn edit(
    client: &Client,
    base: id::Revision,
    comment: Option<String>,
    text: String,
) -> Result<(), Failure> {
    let edit = id::Edit::random(&mut rand::rng());
    let revision = client
        .apply(base, edit, &comment.unwrap_or_default(), text)
        .await
        .map_err(Failure::runtime)?;
    println!("accepted as revision {revision}");
    Ok(())
}

async fn status(flags: flags::Status) -> Result<(), Failure> {
    let client = client(flags.url, flags.key)?;
    let path = format!("/catalogue/revisions/{}", flags.revision);
    loop {
        let status = client.read(&path).await.map_err(Failure::runtime)?;
        if !flags.wait || status["in_force"] == true {
            print_json(&status);
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn client(url: Option<String>, key: Option<String>) -> Result<Client, Failure> {
    let url = flag_or_env(url, "CLOVERPOST_OPERATOR_URL")
        .unwrap_or_else(|| "http://127.0.0.1:8081".to_owned());
    let key = flag_or_env(key, "CLOVERPOST_OPERATOR_KEY").ok_or_else(|| {
        Failure::usage("--key (CLOVERPOST_OPERATOR_KEY) is required: expected an operator key")
    })?;
    Ok(Client::new(&url, &key))
}

fn flag_or_env(flag: Option<String>, variable: &str) -> Option<String> {
    flag.or_else(|| std::env::var(variable).ok())
}

fn print_json(value: &serde_json::Value) {
    println!("{value:#}");
}
