//! settings are checked whole: every fault with its place and line.

use flamingostand::settings;
use flamingostand::settings::LoadError;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

fn example(change: impl Fn(&mut Value)) -> String {
    let mut value: Value = serde_json::from_str(settings::EXAMPLE).expect("JSON");
    change(&mut value);
    format!("{value:#}")
}

fn places(text: &str) -> Vec<String> {
    match settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.list.into_iter().map(|finding| finding.place).collect(),
    }
}

#[test]
fn whole_example() {
    let settings = settings::parse(settings::EXAMPLE).expect("the example is good");
    assert_eq!(settings.listen.mesh.port(), 7403);
    assert_eq!(settings.slot_count, 64);
    assert_eq!(settings.membership.probe_ms, 400, "left out, so the default");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"), "the key is printed");
    let other = include_str!("../examples/settings/munster-a-1.json");
    settings::parse(other).expect("the other example is good");
}

#[test_case("/listen/callers", json!("localhost:7401"), &["/listen/callers"]; "name for address")]
#[test_case("/listen/callers", json!("0.0.0.0:7401"), &["/listen/callers"]; "unspecified address")]
#[test_case("/listen/mesh", json!("127.0.0.1:7401"), &["/listen/mesh"]; "same port twice")]
#[test_case("/listen/operators", json!("0.0.0.0:7401"), &["/listen/operators"]; "overlapping port")]
#[test_case("/listen/mesh", json!("127.0.0.1:0"), &["/listen/mesh"]; "port zero")]
#[test_case("/platform/address", json!("127.0.0.1:7402"), &["/platform/address"]; "own port")]
#[test_case("/platform/timeout_ms", json!(0), &["/platform/timeout_ms"]; "zero timeout")]
#[test_case("/limits/max_turn_bytes", json!(6_000_000), &["/limits/max_turn_bytes"]; "turn beyond entry")]
#[test_case("/cluster/mesh_key", json!("g".repeat(64)), &["/cluster/mesh_key"]; "key not hexadecimal")]
#[test_case("/operator_keys/0/key_hash", json!("B".repeat(64)), &["/operator_keys/0/key_hash"]; "upper case")]
#[test_case("/log/format", json!("xml"), &["/log/format"]; "unknown format")]
#[test_case("/limits/max_speed", json!(1), &["/limits/max_speed"]; "unknown key")]
#[test_case("/thread_count", json!("2"), &["/thread_count"]; "wrong type")]
fn one_fault(place: &str, wrong: Value, expected: &[&str]) {
    let text = example(|value| {
        let (parent, name) = place.rsplit_once('/').expect("a pointer");
        let parent = value.pointer_mut(parent).expect("the parent");
        match parent {
            Value::Array(items) => items[name.parse::<usize>().expect("an index")] = wrong.clone(),
            _ => parent[name] = wrong.clone(),
        }
    });
    assert_eq!(places(&text), expected);
}

#[test]
fn many_faults() {
    let text = example(|value| {
        value["listen"]["callers"] = json!("nowhere");
        value["cluster"]["mesh_key"] = json!("z".repeat(64));
        value["membership"] = json!({ "probe_ms": 0, "probe_timeout_ms": 900 });
        let key = value["operator_keys"][0].clone();
        value["operator_keys"].as_array_mut().expect("keys").push(key);
    });
    let findings = settings::parse(&text).expect_err("faulty");
    let expected = [
        "/listen/callers",
        "/cluster/mesh_key",
        "/operator_keys/1/key_hash",
        "/membership/probe_ms",
        "/membership/probe_timeout_ms",
    ];
    let found: Vec<&str> = findings.list.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(found, expected, "{findings}");
    for finding in &findings.list {
        let line = text.lines().nth(finding.line.expect("a line") - 1).expect("within the text");
        let name = finding.place.rsplit('/').next().expect("a name");
        assert!(line.contains(name), "{finding}: {line}");
    }
}

#[test]
fn missing_file() {
    let error = settings::load("/nonexistent/settings.json".as_ref()).expect_err("no such file");
    assert!(matches!(error, LoadError::Unreadable { .. }), "{error}");
}

#[test]
fn operator_lookup() {
    let hash = flamingostand::ctl::hash_key("abc\n").expect("a key");
    let text = example(|value| value["operator_keys"][0]["key_hash"] = json!(hash));
    let settings = settings::parse(&text).expect("good settings");
    assert_eq!(settings.operator_of("abc"), Some("ana"));
    assert_eq!(settings.operator_of("abd"), None);
}
