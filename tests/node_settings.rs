//! settings of doors and ledger nodes are checked whole.

use flamingostand::settings::NodeRole;
use flamingostand::settings::NodeSettings;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

fn settings(change: impl Fn(&mut Value)) -> String {
    let mut value = json!({
        "cluster": { "name": "fleet", "mesh_key": "0a".repeat(32) },
        "instance": { "name": "ledger-1", "region": "r", "zone": "z" },
        "mesh": "10.0.0.1:7000",
        "platform": { "address": "10.0.0.2:80", "form": "named" },
        "ledger": { "data_dir": "/data" },
        "tolerance": { "lost_disks": 1 },
        "bounds": { "grace_s": 0.5, "directory_ttl_ms": 1 },
    });
    change(&mut value);
    format!("{value:#}")
}

fn places(change: impl Fn(&mut Value)) -> Vec<String> {
    match NodeSettings::parse(&settings(change)) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.list.into_iter().map(|finding| finding.place).collect(),
    }
}

#[test]
fn good_settings() {
    let settings = NodeSettings::parse(&settings(|_| {})).expect("good settings");
    assert!(matches!(settings.role, NodeRole::Ledger(_)));
    assert!(settings.ledger_seeds.is_empty() && settings.metrics.is_none());
}

#[test_case(|value| value["mesh"] = json!("nowhere"), "/mesh"; "no address")]
#[test_case(|value| value["mesh"] = json!("10.0.0.1:0"), "/mesh"; "no port")]
#[test_case(|value| value["ledger"] = Value::Null, ""; "no role")]
#[test_case(|value| value["ledger_seeds"] = json!(["10.0.0.1:1", "x"]), "/ledger_seeds/1"; "bad seed")]
#[test_case(|value| value["cluster"]["mesh_key"] = json!("zz".repeat(32)), "/cluster/mesh_key"; "bad key")]
#[test_case(|value| value["colour"] = json!("pink"), "/colour"; "unknown field")]
fn faulty_settings(change: fn(&mut Value), place: &str) {
    assert_eq!(places(change), [place]);
}

#[test]
fn findings_come_together() {
    let found = places(|value| {
        value["mesh"] = json!("nowhere");
        value["platform"]["address"] = json!("nowhere");
    });
    assert_eq!(found, ["/mesh", "/platform/address"]);
}
