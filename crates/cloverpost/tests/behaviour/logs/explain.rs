//! Reconstruction of a request's course from logs.

use cloverpost::logs::explain::{Line, explain};

fn lines(text: &str) -> Vec<Line> {
    let lines = text.lines();
    lines.filter_map(|line| Line::parse(line, "vm-1")).collect()
}

const LOG: &str = r#"
{"time":"T01","message":"configuration in force","now":"Some(3)"}
{"time":"T02","message":"upstream takes work","upstream":"i-1"}
{"time":"T03","message":"upstream left out for a while","upstream":"i-1","why":"Silent"}
not a log line
{"time":"T05","message":"request ended","id":"a1","outcome":"timed_out","status":504}
{"time":"T04","message":"attempt did not succeed","id":"a1","upstream":"i-1","result":"timed_out"}
{"time":"T04","message":"request ended","id":"a2","outcome":"answered"}
"#;

#[test]
fn steps_are_in_order_of_time_after_the_state_they_depend_on() {
    let course = explain(&lines(LOG), "a1").unwrap();
    let seen: Vec<_> = course
        .lines()
        .map(|line| line.split_whitespace().next().unwrap())
        .collect();
    assert_eq!(seen, ["request", "T01", "T03", "T04", "T05"]);
    assert!(course.contains("believed upstream left out for a while: upstream=i-1 why=Silent"));
    assert!(course.contains("request ended: outcome=timed_out status=504"));
}

#[test]
fn the_return_of_the_store_from_a_copy_is_told() {
    let mut all = lines(LOG);
    let text = r#"{"time":"T03","message":"the store came back from a copy","now":"2"}"#;
    all.extend(Line::parse(text, "vm-1"));
    let course = explain(&all, "a1").unwrap();
    assert!(course.contains("believed the store came back from a copy: now=2"));
}

#[test]
fn the_state_of_another_vm_is_omitted() {
    let mut all = lines(LOG);
    all.extend(Line::parse(
        r#"{"time":"T03","message":"the store does not answer"}"#,
        "vm-2",
    ));
    assert!(!explain(&all, "a1").unwrap().contains("the store"));
}

#[test]
fn lines_with_collector_prefixes_are_ordered_by_numeric_time() {
    // Numeric timestamps must not be compared as text: 10.5 sorts after 2.5.
    let text = r#"
  -3.5 edge-1 {"time":"T03","message":"configuration in force","now":"Some(3)"}
  10.5 edge-2 {"time":"T01","message":"request ended","id":"a1"}
   2.5 edge-1 {"time":"T02","message":"attempt did not succeed","id":"a1"}
"#;
    let course = explain(&lines(text), "a1").unwrap();
    let at = |text: &str| course.find(text).unwrap();
    assert!(at("-3.5") < at("2.5") && at("2.5") < at("10.5"), "{course}");
}

#[test]
fn an_unknown_request_has_no_course() {
    assert_eq!(explain(&lines(LOG), "a3"), None);
}
