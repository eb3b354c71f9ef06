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

/// initial backoff after a failed write.
const FIRST_RETRY_MS: u64 = 50;

/// maximum backoff after a failed write.
const MAX_RETRY_MS: u64 = 1000;

/// commits that may exceed the rate limit in a burst.
const BURST_COMMITS: u64 = 10;

/// allowance for the encoding of an entry around its records.
const ENTRY_OVERHEAD_BYTES: u64 = 512;

/// an effect of the journal for its owner.
#[derive(Clone, Debug)]
pub enum JournalStep {
    /// call the platform and report the result.
    Call(PlatformRequest),
    /// these records are committed, in this order.
    Committed(Vec<Record>),
    /// a probe found no seal, so the fences requested before it have passed.
    FencePassed,
    /// another incarnation sealed this journal.
    Sealed,
}

/// the writer of this incarnation's journal; at most one commit is in flight.
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
    in_flight: Option<Commit>,
    last_commit_ms: u64,
    /// time per commit at this instance's share of the platform's writes.
    commit_interval_ms: u64,
    /// when the commits so far would have ended, had each taken its interval.
    paced_until_ms: u64,
    written_bytes: u64,
    sealed: bool,
    fence_requested: bool,
    closing: bool,
    /// whether the own seal was started.
    closed: bool,
    /// commits and probes ever started.
    started: u64,
    /// those of them that succeeded.
    succeeded: u64,
}

/// a commit in flight; every attempt writes the same content.
#[derive(Debug)]
struct Commit {
    value: Vec<u8>,
    mark: String,
    records: Vec<Record>,
    started_ms: u64,
    failures: u32,
    step: CommitStep,
    /// whether to write nothing, and only read the next number to check that it has no seal.
    probe: bool,
}

/// what a commit waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommitStep {
    /// a reply of the platform.
    Replying,
    /// the time to write the entry again.
    WriteAt(u64),
    /// the time to read the entry.
    ReadAt(u64),
}

impl JournalWriter {
    /// creates an empty journal; `gather_ms` is the minimum time between a commit and the next.
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
            in_flight: None,
            last_commit_ms: 0,
            commit_interval_ms: 0,
            paced_until_ms: 0,
            written_bytes: 0,
            sealed: false,
            fence_requested: false,
            closing: false,
            closed: false,
            started: 0,
            succeeded: 0,
        }
    }

    /// limits the rate of commits, apart from bursts, to one per interval.
    pub fn set_commit_interval(&mut self, interval_ms: u64) {
        self.commit_interval_ms = interval_ms;
    }

    /// appends a record and returns its position, counted from 1.
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

    /// number of records committed.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// whether every record is committed and no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// encoded bytes of the records that wait for a commit.
    pub fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    /// number of the last committed entry; 0 before the first.
    pub fn last_number(&self) -> u64 {
        self.next_number - 1
    }

    /// number of the oldest entry that was not deleted.
    pub fn first_number(&self) -> u64 {
        self.first_number
    }

    /// encoded bytes of all entries written, without the seal.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// age of the commit in flight; 0 without one.
    pub fn stalled_ms(&self, now: Now) -> u64 {
        match &self.in_flight {
            Some(commit) => now.ms.saturating_sub(commit.started_ms),
            None => 0,
        }
    }

    /// records that the caller deleted the oldest entry.
    pub fn handle_first_deleted(&mut self) {
        self.first_number += 1;
    }

    /// ends the journal with an own seal, once all records are committed.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// whether the own seal is written, or none is needed because the journal is empty.
    pub fn is_closed(&self) -> bool {
        (self.closed || self.next_number == 1) && self.in_flight.is_none()
    }

    /// requests a fence: proof that no other incarnation has sealed the journal by now. Returns its number.
    ///
    /// A commit that starts later is such proof; without one, the next number is read.
    pub fn request_fence(&mut self) -> u64 {
        self.fence_requested = true;
        self.started + 1
    }

    /// whether a requested fence has passed.
    pub fn fence_passed(&self, fence: u64) -> bool {
        self.succeeded >= fence
    }

    /// the next step that is due.
    pub fn poll(&mut self, now: Now) -> Option<JournalStep> {
        if self.sealed {
            return None;
        }
        if let Some(commit) = &mut self.in_flight {
            let key = journal_key(&self.me, self.next_number);
            let request = match commit.step {
                CommitStep::WriteAt(at) if now.ms >= at => {
                    PlatformRequest::Create { key, value: commit.value.clone() }
                }
                CommitStep::ReadAt(at) if now.ms >= at => PlatformRequest::Get { key },
                _ => return None,
            };
            commit.step = CommitStep::Replying;
            return Some(JournalStep::Call(request));
        }
        let gather_over = self.next_number == 1 || now.ms >= self.last_commit_ms + self.gather_ms;
        let closing = self.closing && !self.closed && self.next_number > 1;
        let within_rate = self.paced_until_ms <= now.ms + BURST_COMMITS * self.commit_interval_ms;
        let commit_due = within_rate && !self.pending.is_empty();
        if !gather_over || !(commit_due || self.fence_requested || closing) {
            return None;
        }
        let key = journal_key(&self.me, self.next_number);
        let commit = match (commit_due, closing && self.pending.is_empty()) {
            (true, _) => self.start_batch(now),
            (false, true) => self.start_seal(now),
            (false, false) => Commit::probe(now),
        };
        if !commit.probe {
            self.paced_until_ms = self.paced_until_ms.max(now.ms) + self.commit_interval_ms;
        }
        let request = match commit.probe {
            true => PlatformRequest::Get { key },
            false => PlatformRequest::Create { key, value: commit.value.clone() },
        };
        self.in_flight = Some(commit);
        self.fence_requested = false;
        self.started += 1;
        Some(JournalStep::Call(request))
    }

    /// handles the reply to the call in flight.
    pub fn reply(&mut self, now: Now, result: &PlatformResult) -> Option<JournalStep> {
        let commit = self.in_flight.as_mut()?;
        if commit.probe {
            return self.handle_probe_reply(now, result);
        }
        match result {
            Ok(PlatformReply::Written { .. }) => return Some(self.finish_commit(now)),
            Ok(PlatformReply::Object(object)) => {
                let own = decode::<JournalEntry>(&object.value).is_ok_and(|entry| entry.mark == commit.mark);
                if own {
                    return Some(self.finish_commit(now));
                }
                self.sealed = true;
                return Some(JournalStep::Sealed);
            }
            // An earlier attempt of this commit, or a seal, has the number.
            Err(PlatformError::Conflict) => commit.step = CommitStep::ReadAt(now.ms),
            // A reply was lost, so an attempt may have taken effect; writing the same content again is safe.
            Err(PlatformError::Unknown | PlatformError::NotFound) => {
                commit.step = CommitStep::WriteAt(now.ms + backoff_ms(commit.failures));
                commit.failures += 1;
            }
            Err(PlatformError::RateLimited { retry_after_ms }) => {
                commit.step = CommitStep::WriteAt(now.ms + (*retry_after_ms).min(MAX_RETRY_MS));
                commit.failures += 1;
            }
            Ok(_) | Err(_) => {
                commit.step = CommitStep::WriteAt(now.ms + backoff_ms(commit.failures));
                commit.failures += 1;
            }
        }
        None
    }

    fn handle_probe_reply(&mut self, now: Now, result: &PlatformResult) -> Option<JournalStep> {
        match result {
            Err(PlatformError::NotFound) => {
                self.in_flight = None;
                self.succeeded += 1;
                self.last_commit_ms = now.ms;
                return Some(JournalStep::FencePassed);
            }
            Ok(PlatformReply::Object(_)) => {
                self.sealed = true;
                return Some(JournalStep::Sealed);
            }
            _ => {}
        }
        let commit = self.in_flight.as_mut()?;
        commit.step = CommitStep::ReadAt(now.ms + backoff_ms(commit.failures));
        commit.failures += 1;
        None
    }

    /// starts the own seal; no write of this incarnation can be in flight after it.
    fn start_seal(&mut self, now: Now) -> Commit {
        let mark = format!("{}-{}", self.me, self.next_number);
        let entry = JournalEntry {
            incarnation: self.me.to_string(),
            mark: mark.clone(),
            body: EntryBody::Seal(Seal { by: self.me.to_string() }),
        };
        self.closed = true;
        Commit { value: encode(&entry), mark, probe: false, ..Commit::probe(now) }
    }

    fn finish_commit(&mut self, now: Now) -> JournalStep {
        let records = self.in_flight.take().map(|commit| commit.records).unwrap_or_default();
        self.next_number += 1;
        self.succeeded += 1;
        self.committed += records.len() as u64;
        self.last_commit_ms = now.ms;
        JournalStep::Committed(records)
    }

    fn start_batch(&mut self, now: Now) -> Commit {
        let mut records = Vec::new();
        let mut total_bytes = ENTRY_OVERHEAD_BYTES;
        while let Some((_, bytes)) = self.pending.front() {
            if !records.is_empty() && total_bytes + bytes > self.max_entry_bytes {
                break;
            }
            total_bytes += bytes;
            self.pending_bytes -= bytes;
            let (record, _) = self.pending.pop_front().expect("the queue is not empty");
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
        Commit {
            value,
            mark,
            records,
            started_ms: now.ms,
            failures: 0,
            step: CommitStep::Replying,
            probe: false,
        }
    }
}

impl Commit {
    fn probe(now: Now) -> Self {
        Self {
            value: Vec::new(),
            mark: String::new(),
            records: Vec::new(),
            started_ms: now.ms,
            failures: 0,
            step: CommitStep::Replying,
            probe: true,
        }
    }
}

fn backoff_ms(failures: u32) -> u64 {
    (FIRST_RETRY_MS << failures.min(8)).min(MAX_RETRY_MS)
}
