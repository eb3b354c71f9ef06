//! format of the list of replicas, in which each replica registers itself.

use serde::Deserialize;

use crate::routing::ReplicaEntry;

/// key prefix of the entries, followed by the id of the replica.
pub const REPLICA_PREFIX: &str = "servers/";

/// an entry. Entries of other writers lack fields or have other types, and fail to parse.
#[derive(Deserialize)]
struct EntryWire {
    service: String,
    address: String,
    zone: String,
    /// version of its software, not of the weights that it has loaded.
    version: String,
    slots: u32,
    state: StateWire,
    /// Unix time of the replica's start in milliseconds, at the top level of the entry; 0 if absent.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateWire {
    Ready,
    Draining,
}

/// id of the replica whose entry has this key.
pub fn replica_id(key: &str) -> Option<&str> {
    key.strip_prefix(REPLICA_PREFIX)
}

/// parses an entry; one that fails to parse stands for no replica.
pub fn parse_replica(key: &str, value: &[u8]) -> Result<ReplicaEntry, String> {
    let id = replica_id(key).ok_or("not the key of a replica")?;
    let wire: EntryWire = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let address = wire
        .address
        .parse()
        .map_err(|_| format!("address {:?} is not an IP address with a port", wire.address))?;
    Ok(ReplicaEntry {
        id: id.to_owned(),
        service: wire.service,
        address,
        zone: wire.zone,
        version: wire.version,
        slots: wire.slots,
        leaving: matches!(wire.state, StateWire::Draining),
        started_unix_ms: wire.born,
    })
}
