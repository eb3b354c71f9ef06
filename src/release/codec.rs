//! CBOR of the objects that releases keep on the platform.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// encodes a wire type.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory fails only for types that serde cannot represent; wire types always can.
    ciborium::into_writer(value, &mut bytes).expect("wire types serialise");
    bytes
}

/// decodes a wire type; a newer writer may have added fields.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
