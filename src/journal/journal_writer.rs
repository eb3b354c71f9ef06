use std::collections::VecDeque;

use crate::clock::Now;
use crate::ids::Incarnation;
use crate::journal::decode;
use crate::journal::encode;
use crate::journal::journal_key;
use crate::journal::record_bytes;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::Batch;
use crate::schema::EntryBody;
use crate::schema::JournalEntry;
use crate::schema::Record;
use crate::schema::Seal;

/// first wait after a commit that the platform did not take.
const FIRST_RETRY_MS: u64 = 50;

/// longest wait after a commit that the platform did not take.
const MAX_RETRY_MS: u64 = 1000;

/// commits that may follow each other without the pause that bounds their rate.
const BURST_COMMITS: u64 = 10;

/// bytes of an entry around its records.
const ENTRY_OVERHEAD_BYTES: u64 = 512;

/// what a journal wants done.
#[derive(Clone, Debug)]
pub enum JournalStep {
    /// make a call and report its result.
    Call(PlatformRequest),
    /// these records last, in this order.
    Committed(Vec<Record>),
    /// this journal was not sealed when it was last asked about.
    Fenced,
    /// another incarnation sealed this journal.
    Sealed,
}

/// the journal of this incarnation; at most one commit is in flight.
#[derive(Debug)]
pub struct JournalWriter {
    me: Incarnation,
    gather_ms: u64,
    max_entry_bytes: u64,
    pending: VecDeque<(Record, u64)>,
    pending_bytes: u64,
    appended: u64,
    committed: u64,
    next_number: u64,
    first_number: u64,
    flight: Option<Flight>,
    last_commit_ms: u64,
    /// time between two commits that keeps to this instance's share of the platform's writes.
    pause_ms: u64,
    /// when the commits so far are paid for at that rate.
    paid_until_ms: u64,
    written_bytes: u64,
    sealed: bool,
    fence_wanted: bool,
    closing: bool,
    closed: bool,
    started: u64,
    settled: u64,
}

/// one commit from its first attempt until it is settled; its content never changes.
#[derive(Debug)]
struct Flight {
    value: Vec<u8>,
    mark: String,
    records: Vec<Record>,
    started_ms: u64,
    failures: u32,
    step: FlightStep,
    /// whether nothing is written: the next number is read to see that no seal stands there.
    probe: bool,
}

/// what a commit in flight waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlightStep {
    /// the reply of the platform.
    Replying,
    /// the time of the next attempt to write.
    WriteAt(u64),
    /// the time of the next attempt to read back.
    ReadAt(u64),
}

impl JournalWriter {
    /// an empty journal.
    pub fn new(me: Incarnation, gather_ms: u64, max_entry_bytes: u64) -> Self {
        Self {
            me,
            gather_ms,
            max_entry_bytes,
            pending: VecDeque::new(),
            pending_bytes: 0,
            appended: 0,
            committed: 0,
            next_number: 1,
            first_number: 1,
            flight: None,
            last_commit_ms: 0,
            pause_ms: 0,
            paid_until_ms: 0,
            written_bytes: 0,
            sealed: false,
            fence_wanted: false,
            closing: false,
            closed: false,
            started: 0,
            settled: 0,
        }
    }

    /// bounds the rate of commits beyond a burst.
    pub fn set_pause(&mut self, pause_ms: u64) {
        self.pause_ms = pause_ms;
    }

    /// adds a record behind all others and returns its position.
    pub fn append(&mut self, record: Record) -> u64 {
        let bytes = record_bytes(&record);
        self.pending.push_back((record, bytes));
        self.pending_bytes += bytes;
        self.appended += 1;
        self.appended
    }

    /// number of records ever appended.
    pub fn appended(&self) -> u64 {
        self.appended
    }

    /// number of records that last.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// whether every record lasts.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.flight.is_none()
    }

    /// bytes that wait for the next commit.
    pub fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    /// number of the last entry that lasts; 0 before the first.
    pub fn last_number(&self) -> u64 {
        self.next_number - 1
    }

    /// number of the oldest entry that was not deleted.
    pub fn first_number(&self) -> u64 {
        self.first_number
    }

    /// encoded bytes of all entries written.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// how long the commit in flight has been waiting; 0 without one.
    pub fn stalled_ms(&self, now: Now) -> u64 {
        match &self.flight {
            Some(flight) => now.ms.saturating_sub(flight.started_ms),
            None => 0,
        }
    }

    /// the oldest entry is deleted by the caller.
    pub fn deleted_first(&mut self) {
        self.first_number += 1;
    }

    /// the owner stops by itself: its last entry is a seal of its own.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// whether nothing is left to write, the own seal included.
    pub fn is_closed(&self) -> bool {
        (self.closed || self.next_number == 1) && self.flight.is_none()
    }

    /// asks for proof that this journal is not sealed by now; returns what `is_fenced` is asked with.
    ///
    /// A commit that starts from now on is such a proof; without one the next number is read.
    pub fn fence(&mut self) -> u64 {
        self.fence_wanted = true;
        self.started + 1
    }

    /// whether a fence has its proof.
    pub fn is_fenced(&self, fence: u64) -> bool {
        self.settled >= fence
    }

    /// starts what is due.
    pub fn poll(&mut self, now: Now) -> Option<JournalStep> {
        if self.sealed {
            return None;
        }
        if let Some(flight) = &mut self.flight {
            let key = journal_key(&self.me, self.next_number);
            let request = match flight.step {
                FlightStep::WriteAt(at) if now.ms >= at => {
                    PlatformRequest::Create { key, value: flight.value.clone() }
                }
                FlightStep::ReadAt(at) if now.ms >= at => PlatformRequest::Get { key },
                _ => return None,
            };
            flight.step = FlightStep::Replying;
            return Some(JournalStep::Call(request));
        }
        let gathered = self.next_number == 1 || now.ms >= self.last_commit_ms + self.gather_ms;
        let closing = self.closing && !self.closed && self.next_number > 1;
        let paid = self.paid_until_ms <= now.ms + BURST_COMMITS * self.pause_ms;
        let commit_due = paid && !self.pending.is_empty();
        if !gathered || !(commit_due || self.fence_wanted || closing) {
            return None;
        }
        let key = journal_key(&self.me, self.next_number);
        let flight = match (commit_due, closing && self.pending.is_empty()) {
            (true, _) => self.take_batch(now),
            (false, true) => self.own_seal(now),
            (false, false) => Flight::probe(now),
        };
        if !flight.probe {
            self.paid_until_ms = self.paid_until_ms.max(now.ms) + self.pause_ms;
        }
        let request = match flight.probe {
            true => PlatformRequest::Get { key },
            false => PlatformRequest::Create { key, value: flight.value.clone() },
        };
        self.flight = Some(flight);
        self.fence_wanted = false;
        self.started += 1;
        Some(JournalStep::Call(request))
    }

    /// takes the reply to the call in flight.
    pub fn reply(&mut self, now: Now, result: &PlatformResult) -> Option<JournalStep> {
        let flight = self.flight.as_mut()?;
        if flight.probe {
            return self.probe_reply(now, result);
        }
        match result {
            Ok(PlatformReply::Written { .. }) => return Some(self.commit(now)),
            Ok(PlatformReply::Object(object)) => {
                let mine = decode::<JournalEntry>(&object.value).is_ok_and(|entry| entry.mark == flight.mark);
                if mine {
                    return Some(self.commit(now));
                }
                self.sealed = true;
                return Some(JournalStep::Sealed);
            }
            // The number is taken: by an earlier attempt of this commit, or by a seal.
            Err(PlatformError::Conflict) => flight.step = FlightStep::ReadAt(now.ms),
            // The reply to an earlier attempt was lost; writing again is harmless, since the content is the same.
            Err(PlatformError::Unknown | PlatformError::NotFound) => {
                flight.step = FlightStep::WriteAt(now.ms + backoff_ms(flight.failures));
                flight.failures += 1;
            }
            Err(PlatformError::RateLimited { retry_after_ms }) => {
                flight.step = FlightStep::WriteAt(now.ms + (*retry_after_ms).min(MAX_RETRY_MS));
                flight.failures += 1;
            }
            Ok(_) | Err(_) => {
                flight.step = FlightStep::WriteAt(now.ms + backoff_ms(flight.failures));
                flight.failures += 1;
            }
        }
        None
    }

    fn probe_reply(&mut self, now: Now, result: &PlatformResult) -> Option<JournalStep> {
        match result {
            Err(PlatformError::NotFound) => {
                self.flight = None;
                self.settled += 1;
                self.last_commit_ms = now.ms;
                return Some(JournalStep::Fenced);
            }
            Ok(PlatformReply::Object(_)) => {
                self.sealed = true;
                return Some(JournalStep::Sealed);
            }
            _ => {}
        }
        let flight = self.flight.as_mut()?;
        flight.step = FlightStep::ReadAt(now.ms + backoff_ms(flight.failures));
        flight.failures += 1;
        None
    }

    /// a seal of the owner's own, after which nothing of this incarnation can be on its way.
    fn own_seal(&mut self, now: Now) -> Flight {
        let mark = format!("{}-{}", self.me, self.next_number);
        let entry = JournalEntry {
            incarnation: self.me.to_string(),
            mark: mark.clone(),
            body: EntryBody::Seal(Seal { by: self.me.to_string() }),
        };
        self.closed = true;
        Flight { value: encode(&entry), mark, probe: false, ..Flight::probe(now) }
    }

    fn commit(&mut self, now: Now) -> JournalStep {
        let records = self.flight.take().map(|flight| flight.records).unwrap_or_default();
        self.next_number += 1;
        self.settled += 1;
        self.committed += records.len() as u64;
        self.last_commit_ms = now.ms;
        JournalStep::Committed(records)
    }

    fn take_batch(&mut self, now: Now) -> Flight {
        let mut records = Vec::new();
        let mut total_bytes = ENTRY_OVERHEAD_BYTES;
        while let Some((_, bytes)) = self.pending.front() {
            if !records.is_empty() && total_bytes + bytes > self.max_entry_bytes {
                break;
            }
            total_bytes += bytes;
            self.pending_bytes -= bytes;
            let (record, _) = self.pending.pop_front().expect("the queue has a front");
            records.push(record);
        }
        let mark = format!("{}-{}", self.me, self.next_number);
        let entry = JournalEntry {
            incarnation: self.me.to_string(),
            mark: mark.clone(),
            body: EntryBody::Batch(Batch { records }),
        };
        let value = encode(&entry);
        self.written_bytes += value.len() as u64;
        let records = match entry.body {
            EntryBody::Batch(batch) => batch.records,
            EntryBody::Seal(_) => Vec::new(),
        };
        Flight {
            value,
            mark,
            records,
            started_ms: now.ms,
            failures: 0,
            step: FlightStep::Replying,
            probe: false,
        }
    }
}

impl Flight {
    fn probe(now: Now) -> Self {
        Self {
            value: Vec::new(),
            mark: String::new(),
            records: Vec::new(),
            started_ms: now.ms,
            failures: 0,
            step: FlightStep::Replying,
            probe: true,
        }
    }
}

fn backoff_ms(failures: u32) -> u64 {
    (FIRST_RETRY_MS << failures.min(8)).min(MAX_RETRY_MS)
}
