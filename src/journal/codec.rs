use anyhow::Context;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::Incarnation;
use crate::journal::ByteCounter;
use crate::schema::Record;

/// prefix of the keys of all journals.
pub const JOURNAL_PREFIX: &str = "journal/";

/// key of one entry of a journal.
pub fn journal_key(incarnation: &Incarnation, number: u64) -> String {
    format!("{JOURNAL_PREFIX}{incarnation}/{number:012}")
}

/// incarnation and number of an entry's key.
pub fn parse_journal_key(key: &str) -> Option<(Incarnation, u64)> {
    let (incarnation, number) = key.strip_prefix(JOURNAL_PREFIX)?.split_once('/')?;
    Some((Incarnation::from(incarnation), number.parse().ok()?))
}

/// encodes an object of the platform.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail, and the generated types hold only encodable values.
    ciborium::into_writer(value, &mut bytes).expect("a wire type encodes");
    bytes
}

/// decodes an object of the platform.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> anyhow::Result<T> {
    ciborium::from_reader(bytes).context("decode an object of the platform")
}

/// encoded size of one record.
pub fn record_bytes(record: &Record) -> u64 {
    let mut counter = ByteCounter::default();
    // The counter never fails.
    ciborium::into_writer(record, &mut counter).expect("a record encodes");
    counter.count
}
