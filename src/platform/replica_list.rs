//! the list of replicas, in which each replica writes its own entry.

use serde::Deserialize;

use crate::routing::ReplicaEntry;

/// prefix of the entries; the rest of a key is the id of the replica.
pub const REPLICA_PREFIX: &str = "servers/";

/// an entry; other writers leave out fields or give them other types.
#[derive(Deserialize)]
struct EntryWire {
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: StateWire,
    /// Unix milliseconds of the start of the replica, at the top level of what it says of itself.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateWire {
    Ready,
    Draining,
}

/// id of the replica that an entry belongs to.
pub fn replica_id(key: &str) -> Option<&str> {
    key.strip_prefix(REPLICA_PREFIX)
}

/// reads an entry; one that cannot be read names no replica.
pub fn parse_replica(key: &str, value: &[u8]) -> Result<ReplicaEntry, String> {
    let id = replica_id(key).ok_or("not the key of a replica")?;
    let wire: EntryWire = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let address = wire.address.parse().map_err(|_| format!("{:?} is no address", wire.address))?;
    Ok(ReplicaEntry {
        id: id.to_owned(),
        service: wire.service,
        address,
        zone: wire.zone,
        slots: wire.slots,
        leaving: matches!(wire.state, StateWire::Draining),
        started_unix_ms: wire.born,
    })
}
