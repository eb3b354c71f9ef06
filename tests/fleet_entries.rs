//! odd entries of another writer among those of the replicas.

mod fleet;

use fleet::ClientRequest;
use fleet::Fleet;
use test_case::test_case;

/// an entry as a replica writes it, with one more field.
fn entry(address: &str, slots: &str, more: &str) -> String {
    format!(
        r#"{{"service":"tools","address":"{address}","zone":"zone-a","version":"v1","slots":{slots},"state":"ready",
        "cold_remaining_ms":0,"seq":1,"born":1,"more":{more}}}"#
    )
}

/// a list in a list, and so on.
fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// whether a replica that is added now gets requests.
fn new_replica_is_used(fleet: &mut Fleet, id: &str) {
    fleet.add_replica(id, "tools", 0);
    let mut number = 0;
    let added = fleet.tools.len() - 1;
    fleet.wait("the new replica gets a request", || {
        number += 1;
        let request = format!("{id}-{number}");
        fleet.doors[0].send(&ClientRequest::post("/send/letter", &request, &request));
        fleet.tools[added].asked() > 0
    });
}

/// Guards against a list of replicas that stops because of one entry that cannot be read.
#[test_case("nested", &entry("no address", "6", &nested(125)); "nested below the limit of parsers")]
#[test_case("deep", &entry("no address", "6", &nested(100_000)); "nested deeply")]
#[test_case("large", &entry("127.0.0.1:1", "1e400", "0"); "number too large")]
#[test_case("unused", &entry("no address", "6", "1e400"); "unused number too large")]
#[test_case("port", &entry("127.0.0.1:70000", "6", "0"); "port out of range")]
#[test_case("text", "{\"service\":"; "no JSON")]
#[test_case("list", "[1]"; "no object")]
fn list_goes_on_beside_an_odd_entry(name: &str, entry: &str) {
    let mut fleet = Fleet::start(&format!("entries-{name}"), 1);
    fleet.put_bytes("servers/a-odd", entry.as_bytes());
    new_replica_is_used(&mut fleet, "tool-watched");
    fleet.restart_all();
    new_replica_is_used(&mut fleet, "tool-listed");
    let lines = fleet.doors[0].lines_with("replica entry cannot be parsed");
    assert!(lines.iter().any(|line| line.contains("servers/a-odd")), "a line names the entry: {lines:?}");
}
