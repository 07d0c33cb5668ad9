//! Parsing and validation of settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::settings::definitions::{self, Setting};
use crate::settings::{Input, Limits, Operator, Secret, Settings};

/// Minimum header limit that the HTTP library accepts, in bytes.
const MIN_HEADERS: usize = 8_192;

/// A missing or invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Flag of the setting, with leading dashes.
    pub flag: String,
    /// Environment variable of the setting.
    pub variable: String,
    /// Value that was set, or `None` if it is missing. Secrets are redacted.
    pub value: Option<String>,
    /// Accepted form.
    pub form: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            flag,
            variable,
            value,
            form,
        } = self;
        match value {
            Some(value) => write!(
                f,
                "{flag} ({variable}): invalid value `{value}`: expected {form}"
            ),
            None => write!(f, "{flag} ({variable}) is required: expected {form}"),
        }
    }
}

impl std::error::Error for Error {}

/// All missing or invalid settings, in the order in which they are read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors(pub Vec<Error>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(Error::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Errors {}

impl Errors {
    /// Returns the value, or records the error.
    fn ok_or_record<T>(&mut self, result: Result<T, Error>) -> Option<T> {
        result.map_err(|error| self.0.push(error)).ok()
    }
}

impl Settings {
    /// Reads and validates every setting. Reports all errors at once, so that an
    /// operator can correct them in one restart.
    pub fn read(input: &Input) -> Result<Self, Errors> {
        let mut errors = Errors(Vec::new());
        let settings = Self::read_all(input, &mut errors);
        settings.filter(|_| errors.0.is_empty()).ok_or(errors)
    }

    /// Reads every setting and records the errors. Returns `None` if one is missing or
    /// invalid.
    fn read_all(input: &Input, errors: &mut Errors) -> Option<Self> {
        let vm = errors.ok_or_record(parse(input, &definitions::VM_ID));
        let zone = errors.ok_or_record(parse(input, &definitions::ZONE));
        let region = errors.ok_or_record(parse(input, &definitions::REGION));
        let caller_addr = errors.ok_or_record(parse(input, &definitions::CALLER_ADDR));
        let operator_addr = errors.ok_or_record(parse(input, &definitions::OPERATOR_ADDR));
        let peer_addr = errors.ok_or_record(parse(input, &definitions::PEER_ADDR));
        let platform_url = errors.ok_or_record(url(input, &definitions::PLATFORM_URL));
        let peer_keys = errors.ok_or_record(secrets(
            input,
            &definitions::PEER_KEY,
            &definitions::PEER_KEY_PREVIOUS,
        ));
        let session_keys = errors.ok_or_record(secrets(
            input,
            &definitions::SESSION_KEY,
            &definitions::SESSION_KEY_PREVIOUS,
        ));
        let operators = errors.ok_or_record(operators(input, &definitions::OPERATOR_KEYS));
        let log_format = errors.ok_or_record(parse(input, &definitions::LOG_FORMAT));
        let log_level = errors.ok_or_record(parse(input, &definitions::LOG_LEVEL));
        let limits = limits(input, errors);
        let drain_delay = errors.ok_or_record(duration(input, &definitions::DRAIN_DELAY));
        let drain_limit = errors.ok_or_record(duration(input, &definitions::DRAIN_LIMIT));
        let platform_timeout = errors.ok_or_record(duration(input, &definitions::PLATFORM_TIMEOUT));
        Some(Self {
            vm: vm?,
            zone: zone?,
            region: region?,
            caller_addr: caller_addr?,
            operator_addr: operator_addr?,
            peer_addr: peer_addr?,
            platform_url: platform_url?,
            peer_keys: peer_keys?,
            session_keys: session_keys?,
            operators: operators?,
            log_format: log_format?,
            log_level: log_level?,
            limits: limits?,
            drain_delay: drain_delay?,
            drain_limit: drain_limit?,
            platform_timeout: platform_timeout?,
        })
    }
}

fn limits(input: &Input, errors: &mut Errors) -> Option<Limits> {
    let max_body = errors.ok_or_record(positive(input, &definitions::MAX_BODY));
    let max_headers = errors.ok_or_record(max_headers(input));
    let header_timeout = errors.ok_or_record(duration(input, &definitions::HEADER_TIMEOUT));
    let body_timeout = errors.ok_or_record(duration(input, &definitions::BODY_TIMEOUT));
    let max_attempts = errors.ok_or_record(positive(input, &definitions::MAX_ATTEMPTS));
    Some(Limits {
        max_body: max_body?,
        max_headers: max_headers?,
        header_timeout: header_timeout?,
        body_timeout: body_timeout?,
        max_attempts: max_attempts?,
    })
}

fn max_headers(input: &Input) -> Result<usize, Error> {
    let max_headers: usize = parse(input, &definitions::MAX_HEADERS)?;
    if max_headers < MIN_HEADERS {
        return Err(invalid(&definitions::MAX_HEADERS, &max_headers.to_string()));
    }
    Ok(max_headers)
}

/// The value of the flag, the environment variable or the default, in this order.
fn raw_value(input: &Input, setting: &Setting) -> Result<String, Error> {
    input
        .flag(setting.flag)
        .or_else(|| input.variable(&setting.variable()))
        .or(setting.default)
        .map(str::to_owned)
        .ok_or_else(|| Error {
            flag: format!("--{}", setting.flag),
            variable: setting.variable(),
            value: None,
            form: setting.form,
        })
}

fn parse<T: FromStr>(input: &Input, setting: &Setting) -> Result<T, Error> {
    let text = raw_value(input, setting)?;
    text.parse().map_err(|_| invalid(setting, &text))
}

/// Parses a number and rejects zero.
fn positive<T: FromStr + Default + PartialEq>(
    input: &Input,
    setting: &Setting,
) -> Result<T, Error> {
    let number: T = parse(input, setting)?;
    if number == T::default() {
        return Err(invalid(setting, "0"));
    }
    Ok(number)
}

fn duration(input: &Input, setting: &Setting) -> Result<Duration, Error> {
    parse(input, setting).map(|duration: humantime::Duration| duration.into())
}

/// Parses an `http` URL with an authority.
fn url(input: &Input, setting: &Setting) -> Result<http::Uri, Error> {
    let url: http::Uri = parse(input, setting)?;
    let has_http = url.scheme() == Some(&http::uri::Scheme::HTTP);
    if has_http && url.authority().is_some() {
        Ok(url)
    } else {
        Err(invalid(setting, &url.to_string()))
    }
}

/// The current secret, followed by the previous one if it is set.
fn secrets(input: &Input, current: &Setting, previous: &Setting) -> Result<Vec<Secret>, Error> {
    let mut secrets = vec![secret(input, current)?];
    if !raw_value(input, previous)?.is_empty() {
        secrets.push(secret(input, previous)?);
    }
    Ok(secrets)
}

fn secret(input: &Input, setting: &Setting) -> Result<Secret, Error> {
    raw_value(input, setting)?
        .parse()
        .map_err(|_| invalid(setting, "(hidden)"))
}

fn operators(input: &Input, setting: &Setting) -> Result<Vec<Operator>, Error> {
    let text = raw_value(input, setting)?;
    text.split(',')
        .filter(|entry| !entry.is_empty())
        .map(|entry| entry.trim().parse().map_err(|_| invalid(setting, entry)))
        .collect()
}

fn invalid(setting: &Setting, value: &str) -> Error {
    Error {
        flag: format!("--{}", setting.flag),
        variable: setting.variable(),
        value: Some(value.to_owned()),
        form: setting.form,
    }
}
