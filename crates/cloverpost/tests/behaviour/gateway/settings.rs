//! Parsing of gateway settings.

use std::time::Duration;

use cloverpost::gateway::Settings;
use cloverpost_core::{balance, escalation};

const REQUIRED: &str = r#"
vm = "vm-1"
zone = "a"
caller-addr = "10.0.0.1:80"
operator-addr = "10.0.0.1:81"
peer-addr = "10.0.0.1:82"
store-addr = "10.0.0.9:83"
"#;

#[test]
fn optional_settings_have_defaults() {
    let settings: Settings = REQUIRED.parse().unwrap();
    assert_eq!(settings.stop_grace, Duration::from_secs(8));
    assert_eq!(settings.retry_window, Duration::from_secs(10));
}

#[test]
fn accepts_integers_and_fractions() {
    let text =
        format!("{REQUIRED}stop-grace-s = 6\nsession-gap-s = 8.5\nexposure-share = 0.0975\n");
    let settings: Settings = text.parse().unwrap();
    assert_eq!(settings.stop_grace, Duration::from_secs(6));
    assert_eq!(settings.session_gap, Duration::from_millis(8_500));
}

#[test]
fn vm_capacity_is_rounded_to_integers() {
    let text = format!("{REQUIRED}core-share = 0.12\nlink-mbit = 20.0\n");
    let settings: Settings = text.parse().unwrap();
    let size = (settings.size.core_percent, settings.size.link_mbit);
    assert_eq!(size, (12, 20));
}

#[test]
fn all_faults_are_reported_together() {
    let text = r#"
        vm = "a b"
        caller-addr = "not-an-address"
        stop-grace-s = -1
        exposure-share = 2
        retry-slack = "many"
        core-share = "half"
        new-site = 1
        a-name-to-come = 1
    "#;
    let message = text.parse::<Settings>().unwrap_err().to_string();
    let named = [
        "a-name-to-come: no setting",
        "vm: invalid value `a b`",
        "zone is required: expected ",
        "caller-addr: invalid value `not-an-address`",
        "operator-addr is required: expected ",
        "peer-addr is required: expected ",
        "store-addr is required: expected ",
        "stop-grace-s: invalid value `-1`",
        "exposure-share: invalid value `2`",
        "retry-slack: invalid value `many`",
        "core-share: invalid value `half`",
        "new-site: invalid value `1`",
    ];
    for name in named {
        assert!(message.contains(name), "{name} in {message}");
    }
    assert_eq!(message.lines().count(), named.len(), "{message}");
}

#[test]
fn speeds_are_learnt_only_if_set() {
    // Existing deployments keep their choice of upstreams.
    let settings: Settings = REQUIRED.parse().unwrap();
    assert!(!settings.choice.learn_speed);
    let settings: Settings = format!("{REQUIRED}learn-speed = true\n").parse().unwrap();
    assert!(settings.choice.learn_speed);
    let fault = format!("{REQUIRED}learn-speed = 1\n")
        .parse::<Settings>()
        .unwrap_err();
    assert!(
        fault
            .to_string()
            .starts_with("learn-speed: invalid value `1`")
    );
}

#[test]
fn reports_invalid_toml() {
    assert!(
        "vm = "
            .parse::<Settings>()
            .unwrap_err()
            .to_string()
            .starts_with("not TOML")
    );
}

#[test]
fn decision_weights_have_defaults_and_bounds() {
    let settings: Settings = REQUIRED.parse().unwrap();
    assert_eq!(settings.escalation, escalation::Options::default());
    assert_eq!(settings.choice, balance::Options::default());
    let text = format!("{REQUIRED}escalation-even = 40\nchoice-home = 0\nchoice-far = 0.5\n");
    let settings: Settings = text.parse().unwrap();
    assert!((settings.escalation.even - 40.0).abs() < f64::EPSILON);
    assert!(settings.choice.home.abs() < f64::EPSILON);
    assert!((settings.choice.far - 0.5).abs() < f64::EPSILON);
    let wrong =
        format!("{REQUIRED}escalation-even = 101\nchoice-home = 2\nchoice-far = \"near\"\n");
    let message = wrong.parse::<Settings>().unwrap_err().to_string();
    assert_eq!(message.lines().count(), 3, "{message}");
}
