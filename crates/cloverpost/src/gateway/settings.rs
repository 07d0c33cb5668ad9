//! Settings of an entry VM in front of a store.
//!
//! The settings file is a flat TOML table. All faults of a file are reported together.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use cloverpost_core::{balance, clients, cold, directory, escalation, id, startup, throttle};

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this VM.
    pub vm: id::Vm,
    /// Availability zone of this VM.
    pub zone: id::AvailabilityZone,
    /// Listening address for callers.
    pub caller_addr: SocketAddr,
    /// Listening address for readiness and metrics.
    pub operator_addr: SocketAddr,
    /// Additional listening address for metrics.
    pub metrics_addr: Option<SocketAddr>,
    /// Listening address for peers.
    pub peer_addr: SocketAddr,
    /// Address advertised to peers, if it differs because of address translation or a relay.
    pub peer_advertised_addr: Option<SocketAddr>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Time without requests after which a session ends.
    pub session_gap: Duration,
    /// Retries allowed per request to a service, over all VMs.
    pub retry_share: f64,
    /// Fraction of the retry budget that may be saved for bursts of failures.
    pub retry_kept: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Additional retries allowed over all VMs.
    pub retry_slack: u32,
    /// Share of a service's requests that an unproven version may receive.
    pub exposure_share: f64,
    /// Additional requests that an unproven version may receive, over all VMs.
    pub exposure_slack: f64,
    /// Load allowed on a cold upstream beyond the rate of its service; read only at startup.
    pub cold: cold::Options,
    /// Load allowed on an upstream beyond the rate limit that it states; read only at startup.
    pub throttle: throttle::Options,
    /// Weights for choosing an upstream; read only at startup.
    pub choice: balance::Options,
    /// Weights for choosing a model.
    pub escalation: escalation::Options,
    /// Time within which a leaving upstream must stop receiving new requests; read only at
    /// startup.
    pub leave: Duration,
    /// Maximum number of open file descriptors.
    pub max_descriptors: u32,
    /// Capacity of this VM.
    pub size: directory::Size,
    /// Limit on the requests that wait for the first configuration; read only at startup.
    pub startup: startup::Capacity,
    /// Memory for clients; read only at startup.
    pub memory: clients::Shares,
    /// Whether the whole site starts for the first time.
    pub is_new_site: bool,
}

/// A fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The file is not valid TOML.
    Syntax(String),
    /// Unknown setting name.
    UnknownName(String),
    /// A required setting is missing: name, accepted form.
    Missing(&'static str, &'static str),
    /// A setting has an invalid value: name, value, accepted form.
    Invalid(&'static str, String, &'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(reason) => write!(f, "not TOML: {reason}"),
            Self::UnknownName(name) => write!(f, "{name}: no setting has this name"),
            Self::Missing(name, form) => write!(f, "{name} is required: expected {form}"),
            Self::Invalid(name, value, form) => {
                write!(f, "{name}: invalid value `{value}`: expected {form}")
            }
        }
    }
}

/// All faults of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// Default of `retry-kept`.
const DEFAULT_RETRY_KEPT: f64 = 0.25;

const ADDRESS_FORM: &str = "IP:PORT, such as 10.0.0.1:8080";
const NAME_FORM: &str = "1 to 64 characters of a-z A-Z 0-9 . _ -";
const SECONDS_FORM: &str = "a number of seconds from 0 to 86400";
const SHARE_FORM: &str = "a number from 0 to 1";
const OVERAGE_FORM: &str = "a number from 0 to 100";
const WORTH_FORM: &str = "a number from 0 to 1000000";
const WEIGHT_FORM: &str = "a number from 0 to 1000";
/// Accepted form of a model's confidence.
const CONFIDENCE_FORM: &str = "a number from 0 to 100";
const COUNT_FORM: &str = "an integer from 0 to 4294967295";

const BOOL_FORM: &str = "true or false";

/// All setting names.
const SETTING_NAMES: [&str; 42] = [
    "vm",
    "zone",
    "caller-addr",
    "operator-addr",
    "metrics-addr",
    "peer-addr",
    "peer-advertised-addr",
    "store-addr",
    "stop-grace-s",
    "session-gap-s",
    "retry-share",
    "retry-kept",
    "retry-window-s",
    "retry-slack",
    "exposure-share",
    "exposure-slack",
    "cold-overage",
    "cold-slack",
    "limit-overage",
    "limit-slack",
    "limit-window-s",
    "choice-home",
    "choice-others",
    "choice-far",
    "choice-running",
    "choice-full",
    "choice-failing",
    "choice-slow",
    "choice-spread",
    "leave-ms",
    "escalation-size-worth",
    "escalation-rank-part",
    "escalation-even",
    "escalation-spread",
    "escalation-price-weight",
    "escalation-delay-weight",
    "escalation-second-weight",
    "max-descriptors",
    "core-share",
    "link-mbit",
    "memory-mb",
    "new-site",
];

impl FromStr for Settings {
    type Err = Faults;

    fn from_str(text: &str) -> Result<Self, Faults> {
        let table = text
            .parse::<toml::Table>()
            .map_err(|error| Faults(vec![Fault::Syntax(error.message().to_owned())]))?;
        let mut reader = Reader::new(&table);
        let settings = reader.read();
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(Faults(reader.faults)),
        }
    }
}

/// Parses settings and collects their faults.
struct Reader<'a> {
    table: &'a toml::Table,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    fn new(table: &'a toml::Table) -> Self {
        let unknown = table
            .keys()
            .filter(|name| !SETTING_NAMES.contains(&name.as_str()));
        let faults = unknown
            .map(|name| Fault::UnknownName(name.clone()))
            .collect();
        Self { table, faults }
    }

    fn read(&mut self) -> Option<Settings> {
        let vm = self.parsed("vm", NAME_FORM);
        let zone = self.parsed("zone", NAME_FORM);
        let caller_addr = self.parsed("caller-addr", ADDRESS_FORM);
        let operator_addr = self.parsed("operator-addr", ADDRESS_FORM);
        let metrics_addr = self.optional("metrics-addr", ADDRESS_FORM);
        let peer_addr = self.parsed("peer-addr", ADDRESS_FORM);
        let peer_advertised_addr = self.optional("peer-advertised-addr", ADDRESS_FORM);
        let store_addr = self.parsed("store-addr", ADDRESS_FORM);
        let stop_grace = self.seconds("stop-grace-s", 8.0);
        let session_gap = self.seconds("session-gap-s", 5.0);
        let retry_share = self.number("retry-share", 0.2, 10.0, "a number from 0 to 10");
        let retry_kept = self.number("retry-kept", DEFAULT_RETRY_KEPT, 1.0, SHARE_FORM);
        let retry_window = self.seconds("retry-window-s", 10.0);
        let retry_slack = self.count("retry-slack", 10);
        let exposure_share = self.number("exposure-share", 0.1, 1.0, SHARE_FORM);
        let exposure_slack = self.number("exposure-slack", 0.0, 1e6, "a number from 0 to 1000000");
        let cold = self.cold();
        let throttle = self.throttle();
        let choice = self.choice();
        let escalation = self.escalation();
        let leave = self.count("leave-ms", 2_000);
        let max_descriptors = self.count("max-descriptors", 1024);
        let size = self.size();
        let megabytes = self.megabytes();
        let is_new_site = self.bool("new-site", false);
        Some(Settings {
            vm: vm?,
            zone: zone?,
            caller_addr: caller_addr?,
            operator_addr: operator_addr?,
            metrics_addr,
            peer_addr: peer_addr?,
            peer_advertised_addr,
            store_addr: store_addr?,
            stop_grace: stop_grace?,
            session_gap: session_gap?,
            retry_share: retry_share?,
            retry_kept: retry_kept?,
            retry_window: retry_window?,
            retry_slack: retry_slack?,
            exposure_share: exposure_share?,
            exposure_slack: exposure_slack?,
            cold: cold?,
            throttle: throttle?,
            choice: choice?,
            escalation: escalation?,
            leave: Duration::from_millis(leave?.into()),
            max_descriptors: max_descriptors?,
            size: size?,
            startup: startup::Capacity::of_memory(megabytes?),
            memory: clients::Shares::of_memory(megabytes?),
            is_new_site: is_new_site?,
        })
    }

    fn size(&mut self) -> Option<directory::Size> {
        let cores = self.number(
            "core-share",
            0.0,
            1000.0,
            "a number of cores from 0 to 1000",
        );
        let link = self.number(
            "link-mbit",
            0.0,
            1e6,
            "a number of Mbit/s from 0 to 1000000",
        );
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // bounded above
        Some(directory::Size {
            core_percent: (cores? * 100.0).round() as u32,
            link_mbit: link?.round() as u32,
        })
    }

    /// Memory of the VM; 0 if it is not known.
    fn megabytes(&mut self) -> Option<u32> {
        let memory = self.number("memory-mb", 0.0, 1e6, "a number of MB from 0 to 1000000");
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // bounded above
        memory.map(|megabytes| megabytes.round() as u32)
    }

    fn cold(&mut self) -> Option<cold::Options> {
        let default = cold::Options::default();
        let overage = self.number(
            "cold-overage",
            default.overage,
            100.0,
            "a number from 0 to 100",
        );
        let slack = self.number(
            "cold-slack",
            default.slack,
            1e6,
            "a number from 0 to 1000000",
        );
        Some(cold::Options {
            overage: overage?,
            slack: slack?,
        })
    }

    fn throttle(&mut self) -> Option<throttle::Options> {
        let default = throttle::Options::default();
        let overage = self.number("limit-overage", default.overage, 100.0, OVERAGE_FORM);
        let slack = self.number("limit-slack", default.slack, 1e6, WORTH_FORM);
        let window = self.seconds("limit-window-s", default.window.as_secs_f64());
        Some(throttle::Options {
            overage: overage?,
            slack: slack?,
            window: window?,
        })
    }

    fn choice(&mut self) -> Option<balance::Options> {
        let default = balance::Options::default();
        let home = self.number("choice-home", default.home, 1.0, SHARE_FORM);
        let others = self.number("choice-others", default.others, 1.0, SHARE_FORM);
        let far = self.number("choice-far", default.far, 1000.0, WEIGHT_FORM);
        let running = self.number("choice-running", default.running, 1000.0, WEIGHT_FORM);
        let full = self.number("choice-full", default.full, 1000.0, WEIGHT_FORM);
        let failing = self.number("choice-failing", default.failing, 1000.0, WEIGHT_FORM);
        let slow = self.number("choice-slow", default.slow, 1000.0, WEIGHT_FORM);
        let spread = self.number("choice-spread", default.spread, 1000.0, WEIGHT_FORM);
        Some(balance::Options {
            home: home?,
            others: others?,
            far: far?,
            running: running?,
            full: full?,
            failing: failing?,
            slow: slow?,
            spread: spread?,
            ..default
        })
    }

    fn escalation(&mut self) -> Option<escalation::Options> {
        let default = escalation::Options::default();
        let rank_part = self.number("escalation-rank-part", default.rank_part, 1.0, SHARE_FORM);
        let even = self.number("escalation-even", default.even, 100.0, CONFIDENCE_FORM);
        let spread = self.number("escalation-spread", default.spread, 100.0, CONFIDENCE_FORM);
        let price_weight = self.number(
            "escalation-price-weight",
            default.price_weight,
            1000.0,
            WEIGHT_FORM,
        );
        let delay_weight = self.number(
            "escalation-delay-weight",
            default.delay_weight,
            1000.0,
            WEIGHT_FORM,
        );
        let second_weight = self.number(
            "escalation-second-weight",
            default.second_weight,
            1000.0,
            WEIGHT_FORM,
        );
        let size_worth = self.number("escalation-size-worth", default.size_worth, 1e6, WORTH_FORM);
        Some(escalation::Options {
            size_worth: size_worth?,
            rank_part: rank_part?,
            even: even?,
            // Zero would cause a division by zero.
            spread: spread?.max(0.1),
            price_weight: price_weight?,
            delay_weight: delay_weight?,
            second_weight: second_weight?,
        })
    }

    fn parsed<T: FromStr>(&mut self, name: &'static str, form: &'static str) -> Option<T> {
        let Some(value) = self.table.get(name) else {
            self.faults.push(Fault::Missing(name, form));
            return None;
        };
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        self.value_or_fault(parsed, name, value, form)
    }

    fn optional<T: FromStr>(&mut self, name: &'static str, form: &'static str) -> Option<T> {
        self.table
            .contains_key(name)
            .then(|| self.parsed(name, form))?
    }

    fn number(
        &mut self,
        name: &'static str,
        default: f64,
        max: f64,
        form: &'static str,
    ) -> Option<f64> {
        let Some(value) = self.table.get(name) else {
            return Some(default);
        };
        #[allow(clippy::cast_precision_loss)] // settings are small
        let whole = value.as_integer().map(|number| number as f64);
        let number = value.as_float().or(whole);
        let number = number.filter(|number| (0.0..=max).contains(number));
        self.value_or_fault(number, name, value, form)
    }

    fn seconds(&mut self, name: &'static str, default: f64) -> Option<Duration> {
        /// Maximum of time settings: one day.
        const MAX: f64 = 86_400.0;
        self.number(name, default, MAX, SECONDS_FORM)
            .map(Duration::from_secs_f64)
    }

    fn count(&mut self, name: &'static str, default: u32) -> Option<u32> {
        let Some(value) = self.table.get(name) else {
            return Some(default);
        };
        let count = value
            .as_integer()
            .and_then(|count| u32::try_from(count).ok());
        self.value_or_fault(count, name, value, COUNT_FORM)
    }

    fn bool(&mut self, name: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.table.get(name) else {
            return Some(default);
        };
        self.value_or_fault(value.as_bool(), name, value, BOOL_FORM)
    }

    fn value_or_fault<T>(
        &mut self,
        parsed: Option<T>,
        name: &'static str,
        value: &toml::Value,
        form: &'static str,
    ) -> Option<T> {
        if parsed.is_none() {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            self.faults.push(Fault::Invalid(name, value, form));
        }
        parsed
    }
}
