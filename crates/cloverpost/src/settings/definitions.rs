//! Definitions of the settings: flag, accepted form and default.

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Flag, without leading dashes.
    pub flag: &'static str,
    /// Accepted form, shown in help and errors.
    pub form: &'static str,
    /// Default value; `None` makes the setting required.
    pub default: Option<&'static str>,
}

impl Setting {
    /// Name of the setting's environment variable.
    #[must_use]
    pub fn variable(&self) -> String {
        format!("CLOVERPOST_{}", self.flag.replace('-', "_").to_uppercase())
    }
}

/// Accepted form of addresses.
const ADDRESS: &str = "IP:PORT, such as 127.0.0.1:8080";
/// Accepted form of durations.
const DURATION: &str = "a duration, such as 500ms, 5s or 2m";
/// Accepted form of names.
const NAME: &str = "1 to 64 characters of a-z A-Z 0-9 . _ -";
/// Accepted form of secrets.
const SECRET: &str = "at least 16 characters";
/// Accepted form of counts.
const COUNT: &str = "a positive integer";

macro_rules! settings {
    ($($name:ident = $flag:literal, $form:expr, $default:expr;)*) => {
        $(pub(super) const $name: Setting = Setting {
            flag: $flag,
            form: $form,
            default: $default,
        };)*

        /// Every setting.
        pub const ALL: &[Setting] = &[$($name,)*];
    };
}

settings! {
    VM_ID = "vm-id", NAME, None;
    ZONE = "zone", NAME, None;
    REGION = "region", NAME, None;
    CALLER_ADDR = "caller-addr", ADDRESS, Some("127.0.0.1:8080");
    OPERATOR_ADDR = "operator-addr", ADDRESS, Some("127.0.0.1:8081");
    PEER_ADDR = "peer-addr", ADDRESS, Some("127.0.0.1:8082");
    PLATFORM_URL = "platform-url", "http://IP:PORT", None;
    PEER_KEY = "peer-key", SECRET, None;
    PEER_KEY_PREVIOUS = "peer-key-previous", SECRET, Some("");
    SESSION_KEY = "session-key", SECRET, None;
    SESSION_KEY_PREVIOUS = "session-key-previous", SECRET, Some("");
    OPERATOR_KEYS = "operator-keys", "NAME=sha256:DIGITS, separated by commas", Some("");
    LOG_FORMAT = "log-format", "text or json", Some("text");
    LOG_LEVEL = "log-level", "off, error, warn, info, debug or trace", Some("info");
    MAX_BODY = "max-body", COUNT, Some("4194304");
    MAX_HEADERS = "max-headers", "an integer of at least 8192", Some("65536");
    HEADER_TIMEOUT = "header-timeout", DURATION, Some("10s");
    BODY_TIMEOUT = "body-timeout", DURATION, Some("30s");
    MAX_ATTEMPTS = "max-attempts", COUNT, Some("3");
    DRAIN_DELAY = "drain-delay", DURATION, Some("2s");
    DRAIN_LIMIT = "drain-limit", DURATION, Some("120s");
    PLATFORM_TIMEOUT = "platform-timeout", DURATION, Some("2s");
}
