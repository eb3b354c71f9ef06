use std::collections::BTreeMap;

use crate::clock::Now;
use crate::ids::Incarnation;
use crate::journal::JOURNAL_PREFIX;
use crate::journal::decode;
use crate::journal::encode;
use crate::journal::journal_key;
use crate::journal::parse_journal_key;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::EntryBody;
use crate::schema::JournalEntry;
use crate::schema::Record;
use crate::schema::Seal;

/// page size of a listing, in entries.
const PAGE_ENTRIES: usize = 500;

/// retry delay after a failed call.
const RETRY_MS: u64 = 100;

/// an effect of a reader for its caller.
#[derive(Clone, Debug)]
pub enum ReadStep {
    /// call the platform and report the result.
    Call(PlatformRequest),
    /// the journal was read; it is sealed, unless only entries up to a given one were to be read.
    Done,
    /// an entry cannot be decoded, for the reason given; the reader retries later.
    Damaged(String),
}

/// reads the journal of another incarnation; seals it unless only entries up to a given one are needed.
#[derive(Debug)]
pub struct JournalReader {
    me: Incarnation,
    journal: Incarnation,
    /// last entry to read; `None` to read and seal the whole journal.
    through: Option<u64>,
    entries: BTreeMap<u64, Vec<Record>>,
    last_key: String,
    last_number: u64,
    /// whether the last entry read is a seal.
    ends_sealed: bool,
    state: ReaderState,
    wrote_seal: bool,
}

/// what a reader does next, or waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReaderState {
    /// list the next page at this time.
    ListAt(u64),
    /// write the seal at this time.
    SealAt(u64),
    /// list the entries after the seal at this time.
    VerifyAt(u64),
    /// waits for a page of entries.
    Listing,
    /// waits for the write of the seal.
    Sealing,
    /// waits for the entries after the seal.
    Verifying,
    /// all is read.
    Finished,
}

impl JournalReader {
    /// reads the entries up to `through`, or all of them and seals the journal.
    pub fn new(me: Incarnation, journal: Incarnation, through: Option<u64>) -> Self {
        Self {
            me,
            journal,
            through,
            entries: BTreeMap::new(),
            last_key: String::new(),
            last_number: 0,
            ends_sealed: false,
            state: ReaderState::ListAt(0),
            wrote_seal: false,
        }
    }

    /// whether the journal was read.
    pub fn is_finished(&self) -> bool {
        self.state == ReaderState::Finished
    }

    /// whether this reader wrote the seal.
    pub fn wrote_seal(&self) -> bool {
        self.wrote_seal
    }

    /// records of the valid entries, in order.
    ///
    /// Entries are written without gaps and deleted in increasing order, so whatever comes before a gap is a
    /// delayed write of a deleted entry or the rest of an interrupted deletion, and is ignored.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        let mut start = u64::MAX;
        for number in self.entries.keys().rev() {
            if start != u64::MAX && number + 1 != start {
                break;
            }
            start = *number;
        }
        self.entries.range(start..).flat_map(|(_, records)| records)
    }

    /// the next step that is due.
    pub fn poll(&mut self, now: Now) -> Option<ReadStep> {
        match self.state {
            ReaderState::ListAt(at) if now.ms >= at => {
                self.state = ReaderState::Listing;
                Some(ReadStep::Call(PlatformRequest::List {
                    prefix: format!("{JOURNAL_PREFIX}{}/", self.journal),
                    after: self.last_key.clone(),
                    limit: PAGE_ENTRIES,
                    with_values: true,
                }))
            }
            ReaderState::SealAt(at) if now.ms >= at => {
                self.state = ReaderState::Sealing;
                Some(ReadStep::Call(self.seal_request()))
            }
            ReaderState::VerifyAt(at) if now.ms >= at => {
                self.state = ReaderState::Verifying;
                Some(ReadStep::Call(self.verify_request()))
            }
            _ => None,
        }
    }

    /// handles the reply to the call in flight.
    pub fn reply(&mut self, now: Now, result: PlatformResult) -> Option<ReadStep> {
        match (self.state, result) {
            (ReaderState::Listing, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.handle_page(now, objects, more)
            }
            (ReaderState::Sealing, Ok(PlatformReply::Written { .. })) => {
                self.state = ReaderState::VerifyAt(now.ms);
                None
            }
            (ReaderState::Verifying, Ok(PlatformReply::Page { objects, .. })) if objects.is_empty() => {
                self.wrote_seal = true;
                self.finish()
            }
            // The seal took the number of a deleted entry, so it does not stop the owner.
            (ReaderState::Verifying, Ok(PlatformReply::Page { .. })) => {
                self.state = ReaderState::ListAt(now.ms);
                None
            }
            (ReaderState::Verifying, Err(error)) => {
                self.state = ReaderState::VerifyAt(now.ms + retry_ms(&error));
                None
            }
            (ReaderState::Verifying, Ok(_)) => {
                self.state = ReaderState::VerifyAt(now.ms + RETRY_MS);
                None
            }
            // The number has another reader's seal, this reader's seal whose reply was lost, or a new entry.
            (ReaderState::Sealing, Err(PlatformError::Conflict)) => {
                self.state = ReaderState::ListAt(now.ms);
                None
            }
            (ReaderState::Sealing, Err(error)) => {
                self.state = ReaderState::SealAt(now.ms + retry_ms(&error));
                None
            }
            (ReaderState::Listing, Err(error)) => {
                self.state = ReaderState::ListAt(now.ms + retry_ms(&error));
                None
            }
            (ReaderState::Listing, Ok(_)) => {
                self.state = ReaderState::ListAt(now.ms + RETRY_MS);
                None
            }
            (ReaderState::Sealing, Ok(_)) => {
                self.state = ReaderState::SealAt(now.ms + RETRY_MS);
                None
            }
            _ => None,
        }
    }

    fn handle_page(&mut self, now: Now, objects: Vec<Object>, more: bool) -> Option<ReadStep> {
        for object in objects {
            let entry = match decode::<JournalEntry>(&object.value) {
                Ok(entry) => entry,
                Err(error) => {
                    self.state = ReaderState::ListAt(now.ms + RETRY_MS * 10);
                    return Some(ReadStep::Damaged(format!("{}: {error:#}", object.key)));
                }
            };
            let Some((_, number)) = parse_journal_key(&object.key) else { continue };
            let past_end = self.through.is_some_and(|through| number > through);
            if past_end {
                return self.finish();
            }
            self.last_key = object.key;
            self.last_number = number;
            match entry.body {
                EntryBody::Seal(_) => self.ends_sealed = true,
                EntryBody::Batch(batch) => {
                    // A seal before other entries took a deleted entry's number; all before are deleted too.
                    if std::mem::take(&mut self.ends_sealed) {
                        self.entries.clear();
                    }
                    self.entries.insert(number, batch.records);
                }
            }
        }
        if more {
            self.state = ReaderState::ListAt(now.ms);
            return None;
        }
        if self.through.is_some() || self.ends_sealed {
            return self.finish();
        }
        self.state = ReaderState::SealAt(now.ms);
        None
    }

    fn seal_request(&self) -> PlatformRequest {
        let number = self.last_number + 1;
        let entry = JournalEntry {
            incarnation: self.journal.to_string(),
            mark: format!("{}-seals-{number}", self.me),
            body: EntryBody::Seal(Seal { by: self.me.to_string() }),
        };
        PlatformRequest::Create { key: journal_key(&self.journal, number), value: encode(&entry) }
    }

    /// lists what comes after the seal: an owner that went on past it always keeps its last entry.
    fn verify_request(&self) -> PlatformRequest {
        PlatformRequest::List {
            prefix: format!("{JOURNAL_PREFIX}{}/", self.journal),
            after: journal_key(&self.journal, self.last_number + 1),
            limit: 1,
            with_values: false,
        }
    }

    fn finish(&mut self) -> Option<ReadStep> {
        self.state = ReaderState::Finished;
        Some(ReadStep::Done)
    }
}

fn retry_ms(error: &PlatformError) -> u64 {
    match error {
        PlatformError::RateLimited { retry_after_ms } => *retry_after_ms,
        _ => RETRY_MS,
    }
}
