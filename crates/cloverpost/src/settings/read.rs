//! Reads and checks settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::settings::catalogue::{self, Setting};
use crate::settings::{Given, Limits, Operator, Secret, Settings};

/// Smallest header block that the HTTP library takes, in bytes.
const MIN_HEADERS: usize = 8_192;

/// A setting that is missing or wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Flag of the setting, with its dashes.
    pub flag: String,
    /// Variable of the setting.
    pub variable: String,
    /// Value that was given; `None` if none was. Secrets are not repeated.
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
            Some(value) => write!(f, "{flag} ({variable}): `{value}` is wrong: want {form}"),
            None => write!(f, "{flag} ({variable}) is required: want {form}"),
        }
    }
}

impl std::error::Error for Error {}

/// Everything that is missing or wrong, in the order of the settings.
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
    /// The value; its error is kept.
    fn take<T>(&mut self, result: Result<T, Error>) -> Option<T> {
        result.map_err(|error| self.0.push(error)).ok()
    }
}

impl Settings {
    /// Reads every setting from `given` and checks it. All faults are told at once:
    /// an operator who mends one at a time restarts as often as there are faults.
    pub fn read(given: &Given) -> Result<Self, Errors> {
        let mut errors = Errors(Vec::new());
        let settings = Self::read_all(given, &mut errors);
        settings.filter(|_| errors.0.is_empty()).ok_or(errors)
    }

    fn read_all(given: &Given, errors: &mut Errors) -> Option<Self> {
        let vm = errors.take(one(given, &catalogue::VM_ID));
        let zone = errors.take(one(given, &catalogue::ZONE));
        let region = errors.take(one(given, &catalogue::REGION));
        let caller_addr = errors.take(one(given, &catalogue::CALLER_ADDR));
        let operator_addr = errors.take(one(given, &catalogue::OPERATOR_ADDR));
        let peer_addr = errors.take(one(given, &catalogue::PEER_ADDR));
        let platform_url = errors.take(url(given, &catalogue::PLATFORM_URL));
        let peer = (&catalogue::PEER_KEY, &catalogue::PEER_KEY_PREVIOUS);
        let peer_keys = errors.take(secrets(given, peer.0, peer.1));
        let session = (&catalogue::SESSION_KEY, &catalogue::SESSION_KEY_PREVIOUS);
        let session_keys = errors.take(secrets(given, session.0, session.1));
        let operators = errors.take(operators(given, &catalogue::OPERATOR_KEYS));
        let log_format = errors.take(one(given, &catalogue::LOG_FORMAT));
        let log_level = errors.take(one(given, &catalogue::LOG_LEVEL));
        let limits = limits(given, errors);
        let drain_delay = errors.take(duration(given, &catalogue::DRAIN_DELAY));
        let drain_limit = errors.take(duration(given, &catalogue::DRAIN_LIMIT));
        let platform_timeout = errors.take(duration(given, &catalogue::PLATFORM_TIMEOUT));
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

fn limits(given: &Given, errors: &mut Errors) -> Option<Limits> {
    let max_body = errors.take(positive(given, &catalogue::MAX_BODY));
    let max_headers = errors.take(headers(given));
    let header_timeout = errors.take(duration(given, &catalogue::HEADER_TIMEOUT));
    let body_timeout = errors.take(duration(given, &catalogue::BODY_TIMEOUT));
    let max_attempts = errors.take(positive(given, &catalogue::MAX_ATTEMPTS));
    Some(Limits {
        max_body: max_body?,
        max_headers: max_headers?,
        header_timeout: header_timeout?,
        body_timeout: body_timeout?,
        max_attempts: max_attempts?,
    })
}

fn headers(given: &Given) -> Result<usize, Error> {
    let max_headers: usize = one(given, &catalogue::MAX_HEADERS)?;
    if max_headers < MIN_HEADERS {
        return Err(wrong(&catalogue::MAX_HEADERS, &max_headers.to_string()));
    }
    Ok(max_headers)
}

fn text(given: &Given, setting: &Setting) -> Result<String, Error> {
    given
        .flag(setting.flag)
        .or_else(|| given.variable(&setting.variable()))
        .or(setting.default)
        .map(str::to_owned)
        .ok_or_else(|| Error {
            flag: format!("--{}", setting.flag),
            variable: setting.variable(),
            value: None,
            form: setting.form,
        })
}

fn one<T: FromStr>(given: &Given, setting: &Setting) -> Result<T, Error> {
    let text = text(given, setting)?;
    text.parse().map_err(|_| wrong(setting, &text))
}

fn positive<T: FromStr + Default + PartialEq>(
    given: &Given,
    setting: &Setting,
) -> Result<T, Error> {
    let number: T = one(given, setting)?;
    if number == T::default() {
        return Err(wrong(setting, "0"));
    }
    Ok(number)
}

fn duration(given: &Given, setting: &Setting) -> Result<Duration, Error> {
    one(given, setting).map(|duration: humantime::Duration| duration.into())
}

fn url(given: &Given, setting: &Setting) -> Result<http::Uri, Error> {
    let url: http::Uri = one(given, setting)?;
    let has_http = url.scheme() == Some(&http::uri::Scheme::HTTP);
    if has_http && url.authority().is_some() {
        Ok(url)
    } else {
        Err(wrong(setting, &url.to_string()))
    }
}

/// The present secret, then the previous one if it is given.
fn secrets(given: &Given, present: &Setting, previous: &Setting) -> Result<Vec<Secret>, Error> {
    let mut secrets = vec![secret(given, present)?];
    if !text(given, previous)?.is_empty() {
        secrets.push(secret(given, previous)?);
    }
    Ok(secrets)
}

fn secret(given: &Given, setting: &Setting) -> Result<Secret, Error> {
    text(given, setting)?
        .parse()
        .map_err(|_| wrong(setting, "(hidden)"))
}

fn operators(given: &Given, setting: &Setting) -> Result<Vec<Operator>, Error> {
    let text = text(given, setting)?;
    text.split(',')
        .filter(|part| !part.is_empty())
        .map(|part| part.trim().parse().map_err(|_| wrong(setting, part)))
        .collect()
}

fn wrong(setting: &Setting, value: &str) -> Error {
    Error {
        flag: format!("--{}", setting.flag),
        variable: setting.variable(),
        value: Some(value.to_owned()),
        form: setting.form,
    }
}
