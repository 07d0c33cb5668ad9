//! Set-up of structured logs.
//!
//! Log lines report state changes; frequent events are counted in [`crate::metrics`].

pub mod explain;
mod format;
mod writer;

pub use format::Format;

use std::fmt;
use std::io;
use std::time::SystemTime;

/// A global logger is already installed.
#[derive(Debug)]
pub struct Error(log::SetLoggerError);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for Error {}

/// Sends log lines of `level` and above to standard error in `format`.
pub fn init(format: Format, level: log::LevelFilter) -> Result<(), Error> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("cloverpost", level)
        .level_for("cloverpost_core", level)
        .level_for("cloverpost_standin", level)
        .format(move |out, message, record| match format {
            Format::Text => out.finish(format_args!(
                "{} {:5} {} {message}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level(),
                record.target(),
            )),
            Format::Json => out.finish(format_args!("{}", line(message, record))),
        })
        .chain(io::stderr())
        .apply()
        .map_err(Error)
}

/// Sends log lines of `level` and above to standard output, one JSON object a line.
/// Never blocks on a slow reader: lines that do not fit into the queue are dropped,
/// and a separate line reports how many.
pub fn init_bounded(level: log::LevelFilter) -> Result<(), Error> {
    let writer = writer::Writer::start(io::stdout());
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("cloverpost", level)
        .level_for("cloverpost_core", level)
        .level_for("cloverpost_adapter", level)
        .chain(fern::Output::call(move |record| {
            writer.write(line(record.args(), record).to_string());
        }))
        .apply()
        .map_err(Error)
}

/// Converts a record to a JSON object, with its key-value pairs as further fields.
fn line(message: &fmt::Arguments<'_>, record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = Fields(serde_json::Map::new());
    fields.put(
        "time",
        humantime::format_rfc3339_millis(SystemTime::now())
            .to_string()
            .into(),
    );
    fields.put("level", record.level().as_str().into());
    fields.put("target", record.target().into());
    fields.put("message", message.to_string().into());
    // `Fields::visit_pair` always returns `Ok`.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0)
}

/// Collects the key-value pairs of a record.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl Fields {
    fn put(&mut self, key: &str, value: serde_json::Value) {
        self.0.insert(key.to_owned(), value);
    }
}

impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let unsigned = || value.to_u64().map(serde_json::Value::from);
        let signed = || value.to_i64().map(serde_json::Value::from);
        let boolean = || value.to_bool().map(serde_json::Value::from);
        let json = unsigned().or_else(signed).or_else(boolean);
        self.put(
            key.as_str(),
            json.unwrap_or_else(|| value.to_string().into()),
        );
        Ok(())
    }
}
