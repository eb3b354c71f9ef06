//! the check of input against the schema reports every fault with its place.

use flamingostand::schema::OpenBody;
use flamingostand::schema::Settings;
use flamingostand::schema::check_text;
use flamingostand::schema::line_of_pointer;
use test_case::test_case;

const SETTINGS: &str = r#"{
  "cluster": { "name": "rokopis", "mesh_key": "too short", "slot_count": 0 },
  "instance": { "name": "entry-1", "region": "ljubljana", "zone": "ljubljana-a" },
  "listen": { "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "mesh": "127.0.0.1:3", "extra": 1 },
  "platform": { "address": "127.0.0.1:4" },
  "operator_keys": []
}"#;

#[test]
fn all_findings() {
    let findings = check_text::<Settings>("Settings", SETTINGS).expect_err("the settings are faulty");
    let mut places: Vec<(String, Option<usize>)> =
        findings.list.iter().map(|finding| (finding.place.clone(), finding.line)).collect();
    places.sort();
    let expected =
        [("/cluster/mesh_key", 2), ("/cluster/slot_count", 2), ("/listen/extra", 4), ("/operator_keys", 6)];
    let expected: Vec<(String, Option<usize>)> =
        expected.iter().map(|(place, line)| ((*place).to_owned(), Some(*line))).collect();
    assert_eq!(places, expected);
}

#[test]
fn broken_json() {
    let findings = check_text::<OpenBody>("OpenBody", "{\n\"agent_program\": }").expect_err("not JSON");
    assert_eq!(findings.list[0].line, Some(2));
}

#[test_case("/a", 2; "first key")]
#[test_case("/b/1/c", 5; "in an array")]
#[test_case("/b/1", 4; "array element")]
fn pointer_line(pointer: &str, line: usize) {
    let text = "{\n\"a\": \"x, {y}\",\n\"b\": [ {\"q\": [1,2]},\n{\n\"c\": 3 } ]\n}";
    assert_eq!(line_of_pointer(text, pointer), Some(line));
}
