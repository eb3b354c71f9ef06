use std::collections::HashMap;

use crate::schema::StreamVersion;

/// the software that began each stream that a caller may still take up. Merging is idempotent and
/// commutative.
#[derive(Debug, Default)]
pub(super) struct StreamVersions {
    /// by id of the attempt that brought the first event.
    rows: HashMap<String, StreamRow>,
}

#[derive(Debug)]
struct StreamRow {
    began: StreamVersion,
    expires_ms: u64,
    number: u64,
}

/// result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// it was known.
    Unchanged,
    /// it is a new stream.
    Added,
    /// it changed the record with this change number.
    Changed(u64),
}

impl StreamVersions {
    /// merges a record, which gets the change number `number` if anything changes.
    pub fn merge(&mut self, now_ms: u64, began: &StreamVersion, number: u64) -> Merged {
        let expires_ms = now_ms + began.keep_ms;
        let Some(row) = self.rows.get_mut(&began.request) else {
            let row = StreamRow { began: began.clone(), expires_ms, number };
            self.rows.insert(began.request.clone(), row);
            return Merged::Added;
        };
        if !merge_stream(&mut row.began, began) {
            return Merged::Unchanged;
        }
        let previous = std::mem::replace(&mut row.number, number);
        row.expires_ms = row.expires_ms.max(expires_ms);
        Merged::Changed(previous)
    }

    /// the software that began a stream.
    pub fn get(&self, request: &str) -> Option<&StreamVersion> {
        self.rows.get(request).map(|row| &row.began)
    }

    /// drops streams that no caller takes up any more; returns their change numbers.
    pub fn expire(&mut self, now_ms: u64) -> Vec<u64> {
        let expired = self.rows.extract_if(|_, row| now_ms >= row.expires_ms);
        expired.map(|(_, row)| row.number).collect()
    }

    /// streams that may still be taken up.
    pub fn len(&self) -> usize {
        self.rows.len()
    }
}

/// merges what two records say about one stream; `true` if `known` changes.
///
/// Two versions for one attempt leave it open which of them brought the events, so neither counts.
pub(super) fn merge_stream(known: &mut StreamVersion, other: &StreamVersion) -> bool {
    if known.version.is_none() || (known.version == other.version && known.service == other.service) {
        return false;
    }
    known.version = None;
    known.keep_ms = known.keep_ms.max(other.keep_ms);
    true
}
