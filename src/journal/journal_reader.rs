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

/// entries asked for in one page.
const PAGE_ENTRIES: usize = 500;

/// wait after a call that failed.
const RETRY_MS: u64 = 100;

/// what a reader wants done.
#[derive(Clone, Debug)]
pub enum ReadStep {
    /// make a call and report its result.
    Call(PlatformRequest),
    /// the journal is read; sealed too, when the reader was asked to.
    Done,
    /// the journal holds something that cannot be understood; it is tried again later.
    Damaged(String),
}

/// reads the journal of another incarnation and seals it unless only a committed part counts.
#[derive(Debug)]
pub struct JournalReader {
    me: Incarnation,
    journal: Incarnation,
    through: Option<u64>,
    entries: BTreeMap<u64, Vec<Record>>,
    last_key: String,
    last_number: u64,
    /// whether the last entry seen is a seal.
    ends_sealed: bool,
    step: ReaderStep,
    wrote_seal: bool,
}

/// what a reader does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReaderStep {
    /// read the next page at this time.
    ListAt(u64),
    /// write the seal at this time.
    SealAt(u64),
    /// look for entries behind the seal at this time.
    VerifyAt(u64),
    /// wait for a reply to a list.
    Listing,
    /// wait for a reply to a seal.
    Sealing,
    /// wait for a reply to the look behind the seal.
    Verifying,
    /// nothing is left to do.
    Finished,
}

impl JournalReader {
    /// a reader of the entries up to `through`, or of all of them with a seal behind.
    pub fn new(me: Incarnation, journal: Incarnation, through: Option<u64>) -> Self {
        Self {
            me,
            journal,
            through,
            entries: BTreeMap::new(),
            last_key: String::new(),
            last_number: 0,
            ends_sealed: false,
            step: ReaderStep::ListAt(0),
            wrote_seal: false,
        }
    }

    /// whether everything is read.
    pub fn is_finished(&self) -> bool {
        self.step == ReaderStep::Finished
    }

    /// whether this reader wrote the seal.
    pub fn wrote_seal(&self) -> bool {
        self.wrote_seal
    }

    /// records of the entries that count, in their order.
    ///
    /// Entries are deleted in increasing order and numbers have no holes, so whatever stands
    /// before a hole is a delayed write or the rest of an interrupted clean-up.
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

    /// starts what is due.
    pub fn poll(&mut self, now: Now) -> Option<ReadStep> {
        match self.step {
            ReaderStep::ListAt(at) if now.ms >= at => {
                self.step = ReaderStep::Listing;
                Some(ReadStep::Call(PlatformRequest::List {
                    prefix: format!("{JOURNAL_PREFIX}{}/", self.journal),
                    after: self.last_key.clone(),
                    limit: PAGE_ENTRIES,
                    with_values: true,
                }))
            }
            ReaderStep::SealAt(at) if now.ms >= at => {
                self.step = ReaderStep::Sealing;
                Some(ReadStep::Call(self.seal_request()))
            }
            ReaderStep::VerifyAt(at) if now.ms >= at => {
                self.step = ReaderStep::Verifying;
                Some(ReadStep::Call(self.verify_request()))
            }
            _ => None,
        }
    }

    /// takes the reply to the call in flight.
    pub fn reply(&mut self, now: Now, result: PlatformResult) -> Option<ReadStep> {
        match (self.step, result) {
            (ReaderStep::Listing, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.take_page(now, objects, more)
            }
            (ReaderStep::Sealing, Ok(PlatformReply::Written { .. })) => {
                self.step = ReaderStep::VerifyAt(now.ms);
                None
            }
            (ReaderStep::Verifying, Ok(PlatformReply::Page { objects, .. })) if objects.is_empty() => {
                self.wrote_seal = true;
                self.finish()
            }
            // The number was free because its entry had been deleted: this seal stops nobody.
            (ReaderStep::Verifying, Ok(PlatformReply::Page { .. })) => {
                self.step = ReaderStep::ListAt(now.ms);
                None
            }
            (ReaderStep::Verifying, Err(error)) => {
                self.step = ReaderStep::VerifyAt(now.ms + retry_ms(&error));
                None
            }
            (ReaderStep::Verifying, Ok(_)) => {
                self.step = ReaderStep::VerifyAt(now.ms + RETRY_MS);
                None
            }
            // Another seal, this reader's own seal, or one more entry of the owner took the number.
            (ReaderStep::Sealing, Err(PlatformError::Conflict)) => {
                self.step = ReaderStep::ListAt(now.ms);
                None
            }
            (ReaderStep::Sealing, Err(error)) => {
                self.step = ReaderStep::SealAt(now.ms + retry_ms(&error));
                None
            }
            (ReaderStep::Listing, Err(error)) => {
                self.step = ReaderStep::ListAt(now.ms + retry_ms(&error));
                None
            }
            (ReaderStep::Listing, Ok(_)) => {
                self.step = ReaderStep::ListAt(now.ms + RETRY_MS);
                None
            }
            (ReaderStep::Sealing, Ok(_)) => {
                self.step = ReaderStep::SealAt(now.ms + RETRY_MS);
                None
            }
            _ => None,
        }
    }

    fn take_page(&mut self, now: Now, objects: Vec<Object>, more: bool) -> Option<ReadStep> {
        for object in objects {
            let entry = match decode::<JournalEntry>(&object.value) {
                Ok(entry) => entry,
                Err(error) => {
                    self.step = ReaderStep::ListAt(now.ms + RETRY_MS * 10);
                    return Some(ReadStep::Damaged(format!("{}: {error:#}", object.key)));
                }
            };
            let Some((_, number)) = parse_journal_key(&object.key) else { continue };
            let beyond = self.through.is_some_and(|through| number > through);
            if beyond {
                return self.finish();
            }
            self.last_key = object.key;
            self.last_number = number;
            match entry.body {
                EntryBody::Seal(_) => self.ends_sealed = true,
                EntryBody::Batch(batch) => {
                    // A seal before other entries stands on a number that had been deleted; so do those before it.
                    if std::mem::take(&mut self.ends_sealed) {
                        self.entries.clear();
                    }
                    self.entries.insert(number, batch.records);
                }
            }
        }
        if more {
            self.step = ReaderStep::ListAt(now.ms);
            return None;
        }
        if self.through.is_some() || self.ends_sealed {
            return self.finish();
        }
        self.step = ReaderStep::SealAt(now.ms);
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

    /// asks for whatever stands behind the seal: an owner that goes on always keeps its last entry.
    fn verify_request(&self) -> PlatformRequest {
        PlatformRequest::List {
            prefix: format!("{JOURNAL_PREFIX}{}/", self.journal),
            after: journal_key(&self.journal, self.last_number + 1),
            limit: 1,
            with_values: false,
        }
    }

    fn finish(&mut self) -> Option<ReadStep> {
        self.step = ReaderStep::Finished;
        Some(ReadStep::Done)
    }
}

fn retry_ms(error: &PlatformError) -> u64 {
    match error {
        PlatformError::RateLimited { retry_after_ms } => *retry_after_ms,
        _ => RETRY_MS,
    }
}
