use crate::clock::Now;
use crate::journal::journal_key;
use crate::owner::Owner;
use crate::owner::owner::STALL_MS;
use crate::owner::platform_calls::Purpose;
use crate::platform::PlatformError;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::program::Outbox;

/// deletion of entries of the own journal that a snapshot has replaced.
#[derive(Debug, Default)]
pub(super) struct Trim {
    /// last entry that may be deleted.
    through: u64,
    deleting: bool,
    retry_at_ms: u64,
    /// entries written when the last snapshot was completed.
    entries_at_snapshot: u64,
    /// bytes written when the last snapshot was completed.
    bytes_at_snapshot: u64,
}

impl Owner {
    /// appends snapshots of adopted slots, and of all slots once the journal has grown enough.
    ///
    /// Returns whether a slot no longer needs the journals that it was loaded from.
    pub(super) fn snapshot(&mut self, now: Now, out: &mut Outbox) -> bool {
        let adopted = self.programs.take_adopted(self.journal.committed());
        for slot in &adopted {
            self.ownership.clear_sources(now, *slot);
        }
        if let Some(through) = self.programs.take_compacted(self.journal.committed()) {
            self.trim.through = through;
            self.trim.entries_at_snapshot = self.journal.last_number();
            self.trim.bytes_at_snapshot = self.journal.written_bytes();
        }
        let entries = self.journal.last_number() - self.trim.entries_at_snapshot;
        let bytes = self.journal.written_bytes() - self.trim.bytes_at_snapshot;
        let grown = entries >= u64::from(self.settings.state.compact_entries)
            || bytes >= self.settings.state.compact_bytes;
        let adopting = self.programs.adopting_slots().next().is_some();
        if grown && !adopting && !self.programs.is_compacting() {
            self.programs.start_compaction(self.journal.appended(), self.journal.last_number());
        }
        let free_bytes = self.settings.state.max_entry_bytes / 2;
        if self.journal.pending_bytes() < free_bytes {
            self.programs.append_snapshots(free_bytes, out);
        }
        !adopted.is_empty()
    }

    /// deletes the oldest entry if a snapshot has replaced it and no move of a slot may need it.
    pub(super) fn trim(&mut self, now: Now, out: &mut Outbox) {
        let first = self.journal.first_number();
        let due = first <= self.trim.through && !self.trim.deleting && now.ms >= self.trim.retry_at_ms;
        if !due || self.ownership.needs_old_entries() {
            return;
        }
        self.trim.deleting = true;
        let request = PlatformRequest::Delete { key: journal_key(&self.settings.me, first) };
        out.actions.push(self.calls.start(Purpose::Trim, request));
    }

    /// makes the sweeper's next call, unless this instance is leaving.
    pub(super) fn sweep(&mut self, now: Now, out: &mut Outbox) {
        if self.leaving_since_ms.is_some() {
            return;
        }
        let Some(view) = self.ownership.view() else { return };
        if let Some(request) = self.sweeper.poll(now, view) {
            out.actions.push(self.calls.start(Purpose::Sweep, request));
        }
    }

    pub(super) fn handle_trimmed(&mut self, now: Now, result: &PlatformResult) {
        self.trim.deleting = false;
        match result {
            Ok(_) | Err(PlatformError::NotFound) => self.journal.handle_first_deleted(),
            Err(_) => self.trim.retry_at_ms = now.ms + STALL_MS,
        }
    }
}
