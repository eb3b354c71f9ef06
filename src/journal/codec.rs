use anyhow::Context;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::Incarnation;
use crate::journal::ByteCounter;
use crate::schema::Record;

/// key prefix of all journals.
pub const JOURNAL_PREFIX: &str = "journal/";

/// platform key of a journal's entry; keys sort by entry number.
pub fn journal_key(incarnation: &Incarnation, number: u64) -> String {
    format!("{JOURNAL_PREFIX}{incarnation}/{number:012}")
}

/// splits an entry's key into incarnation and entry number; `None` for any other key.
pub fn parse_journal_key(key: &str) -> Option<(Incarnation, u64)> {
    let (incarnation, number) = key.strip_prefix(JOURNAL_PREFIX)?.split_once('/')?;
    Some((Incarnation::from(incarnation), number.parse().ok()?))
}

/// encodes an object to store on the platform, as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory cannot fail, and the generated types have only encodable values.
    ciborium::into_writer(value, &mut bytes).expect("wire types can be encoded");
    bytes
}

/// decodes an object that `encode` made.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> anyhow::Result<T> {
    ciborium::from_reader(bytes).context("decode an object of the platform")
}

/// encoded size of a record, in bytes.
pub fn record_bytes(record: &Record) -> u64 {
    let mut counter = ByteCounter::default();
    // Writing to the counter cannot fail.
    ciborium::into_writer(record, &mut counter).expect("records can be encoded");
    counter.count
}
