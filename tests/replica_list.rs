//! reading replica entries; other writers than this project may have written them.

use flamingostand::platform::parse_replica;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

fn entry(change: impl Fn(&mut Value)) -> Vec<u8> {
    let mut entry = json!({
        "service": "models", "address": "10.0.0.9:8080", "zone": "zone-a", "version": "v1", "slots": 12,
        "state": "ready", "cold_remaining_ms": 0, "seq": 4, "born": 1_700_000_000_123_u64,
    });
    change(&mut entry);
    entry.to_string().into_bytes()
}

#[test]
fn good_entry() {
    let read = parse_replica("servers/i-1", &entry(|_| {})).expect("an entry");
    assert_eq!((read.id.as_str(), read.slots, read.leaving), ("i-1", 12, false));
    assert_eq!((read.started_unix_ms, read.version.as_str()), (1_700_000_000_123, "v1"));
    let read =
        parse_replica("servers/i-1", &entry(|entry| entry["state"] = json!("draining"))).expect("an entry");
    assert!(read.leaving);
}

#[test_case("service", json!(7); "service of another type")]
#[test_case("address", json!("nowhere"); "no address")]
#[test_case("slots", json!("many"); "slots of another type")]
#[test_case("state", json!("sleeping"); "unknown state")]
#[test_case("zone", Value::Null; "no zone")]
#[test_case("version", Value::Null; "no version")]
#[test_case("version", json!(2); "version of another type")]
fn faulty_entry(field: &str, value: Value) {
    let bytes = entry(|entry| entry[field] = value.clone());
    assert!(parse_replica("servers/i-1", &bytes).is_err());
}

#[test]
fn unreadable_entry() {
    assert!(parse_replica("servers/i-1", b"\xff\x00").is_err());
    assert!(parse_replica("others/i-1", &entry(|_| {})).is_err());
}
