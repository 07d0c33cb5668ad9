//! The course of a request, from logs.

use cloverpost::logs::explain::{Line, explain};

fn lines(text: &str) -> Vec<Line> {
    let lines = text.lines();
    lines.filter_map(|line| Line::parse(line, "vm-1")).collect()
}

const LOG: &str = r#"
{"time":"T01","message":"configuration in force","now":"Some(3)"}
{"time":"T02","message":"upstream takes work","upstream":"i-1"}
{"time":"T03","message":"upstream left out for a while","upstream":"i-1","why":"Silent"}
not a line of ours
{"time":"T05","message":"request ended","id":"a1","outcome":"timed_out","status":504}
{"time":"T04","message":"attempt did not succeed","id":"a1","upstream":"i-1","result":"timed_out"}
{"time":"T04","message":"request ended","id":"a2","outcome":"answered"}
"#;

#[test]
fn a_request_is_told_in_order_of_time_with_the_beliefs_behind_each_step() {
    let told = explain(&lines(LOG), "a1").unwrap();
    let seen: Vec<_> = told
        .lines()
        .map(|line| line.split_whitespace().next().unwrap())
        .collect();
    assert_eq!(seen, ["request", "T01", "T03", "T04", "T05"]);
    assert!(told.contains("believed upstream left out for a while: upstream=i-1 why=Silent"));
    assert!(told.contains("request ended: outcome=timed_out status=504"));
}

#[test]
fn what_another_vm_believed_is_left_out() {
    let mut all = lines(LOG);
    all.extend(Line::parse(
        r#"{"time":"T03","message":"the store does not answer"}"#,
        "vm-2",
    ));
    assert!(!explain(&all, "a1").unwrap().contains("the store"));
}

#[test]
fn lines_of_several_vms_in_one_stream_are_told_apart_by_their_prefix() {
    // Collectors put a time and a name before each line. Times are numbers there, so the
    // tenth second must not come before the second.
    let text = r#"
  -3.5 edge-1 {"time":"T03","message":"configuration in force","now":"Some(3)"}
  10.5 edge-2 {"time":"T01","message":"request ended","id":"a1"}
   2.5 edge-1 {"time":"T02","message":"attempt did not succeed","id":"a1"}
"#;
    let told = explain(&lines(text), "a1").unwrap();
    let at = |text: &str| told.find(text).unwrap();
    assert!(at("-3.5") < at("2.5") && at("2.5") < at("10.5"), "{told}");
}

#[test]
fn a_request_of_which_nothing_is_known_has_no_course() {
    assert_eq!(explain(&lines(LOG), "a3"), None);
}
