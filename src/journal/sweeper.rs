use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Now;
use crate::ids::Incarnation;
use crate::journal::JOURNAL_PREFIX;
use crate::journal::decode;
use crate::journal::encode;
use crate::journal::journal_key;
use crate::journal::parse_journal_key;
use crate::member::MemberView;
use crate::platform::Object;
use crate::platform::PlatformError;
use crate::platform::PlatformReply;
use crate::platform::PlatformRequest;
use crate::platform::PlatformResult;
use crate::schema::EntryBody;
use crate::schema::JournalEntry;
use crate::schema::Seal;
use crate::schema::SlotObject;

/// key prefix of slot objects.
const SLOT_PREFIX: &str = "slot/";

/// key that is hashed to choose the sweeping instance.
const SWEEP_KEY: &str = "journal/sweep";

/// page size of a listing, in objects.
const PAGE_OBJECTS: usize = 500;

/// sorts after the entry numbers in a key.
const PAST_ENTRIES: &str = "~";

/// deletes the journals that no slot refers to, except the seals that fence off paused owners.
///
/// A journal is sealed before the final listing of the slots that may refer to it, so that no entry that a
/// slot needs later can be added to those that are deleted.
#[derive(Debug)]
pub struct Sweeper {
    me: Incarnation,
    period_ms: u64,
    step: SweepStep,
    due_ms: u64,
    in_flight: bool,
    /// journals found that no slot refers to so far.
    candidates: BTreeSet<Incarnation>,
    /// sealed journals, with the numbers of the entries to delete.
    deletable: BTreeMap<Incarnation, Vec<u64>>,
    /// journals whose deletion was started; later sweeps skip them, and the seal that may be left of each.
    swept: BTreeSet<Incarnation>,
}

/// the next step of a sweep.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SweepStep {
    /// wait for the next sweep.
    Idle,
    /// list the journals, page by page.
    Journals { after: String },
    /// list the slots, page by page; in the final listing, all journals that are left are sealed.
    Slots { after: String, is_final: bool },
    /// choose the next journal that no slot refers to.
    NextJournal,
    /// list the entries of a journal.
    Entries { journal: Incarnation, numbers: Vec<u64> },
    /// read its last entry.
    LastEntry { journal: Incarnation, numbers: Vec<u64> },
    /// seal it, since its owner may only be paused.
    Seal { journal: Incarnation, numbers: Vec<u64> },
    /// list the entries after the seal: an owner that went on past it always keeps its last entry.
    Verify { journal: Incarnation, numbers: Vec<u64> },
    /// delete the entries, journal by journal, oldest first.
    Delete,
}

impl Sweeper {
    /// starts a sweep every `period_ms`, if this instance is chosen for it.
    pub fn new(me: Incarnation, period_ms: u64, now: Now) -> Self {
        Self {
            me,
            period_ms,
            step: SweepStep::Idle,
            due_ms: now.ms + period_ms,
            in_flight: false,
            candidates: BTreeSet::new(),
            deletable: BTreeMap::new(),
            swept: BTreeSet::new(),
        }
    }

    /// the next call that is due.
    pub fn poll(&mut self, now: Now, view: &MemberView) -> Option<PlatformRequest> {
        if self.in_flight || now.ms < self.due_ms {
            return None;
        }
        if self.step == SweepStep::Idle {
            self.due_ms = now.ms + self.period_ms;
            let chosen = view.preferred(SWEEP_KEY).is_some_and(|member| member.incarnation == self.me);
            if !chosen {
                return None;
            }
            self.candidates.clear();
            self.deletable.clear();
            self.step = SweepStep::Journals { after: String::new() };
        }
        if self.step == SweepStep::NextJournal {
            self.next_journal(now, view);
        }
        let request = self.request()?;
        self.in_flight = true;
        Some(request)
    }

    /// handles the reply to the call in flight.
    pub fn reply(&mut self, now: Now, result: PlatformResult) {
        self.in_flight = false;
        let step = std::mem::replace(&mut self.step, SweepStep::Idle);
        self.step = match (step, result) {
            (SweepStep::Journals { .. }, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.add_journals(&objects, more)
            }
            (SweepStep::Slots { is_final, .. }, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.exclude_named(&objects, more, is_final)
            }
            (SweepStep::Entries { journal, numbers }, Ok(PlatformReply::Page { objects, more, .. })) => {
                add_entries(journal, numbers, &objects, more)
            }
            (SweepStep::LastEntry { journal, numbers }, Ok(PlatformReply::Object(object))) => {
                self.check_last_entry(journal, numbers, &object)
            }
            (SweepStep::Seal { journal, numbers }, Ok(PlatformReply::Written { .. })) => {
                SweepStep::Verify { journal, numbers }
            }
            (SweepStep::Verify { journal, numbers }, Ok(PlatformReply::Page { objects, .. })) => {
                // With entries after it, the seal took a deleted entry's number and stops nobody.
                if objects.is_empty() {
                    self.deletable.insert(journal, numbers);
                }
                SweepStep::NextJournal
            }
            (SweepStep::Delete, Ok(_) | Err(PlatformError::NotFound)) => self.handle_deleted(),
            // The next sweep starts over, but skips journals in `swept` even if their deletion failed.
            _ => SweepStep::Idle,
        };
        if self.step == SweepStep::Idle {
            self.due_ms = now.ms + self.period_ms;
        }
    }

    fn request(&self) -> Option<PlatformRequest> {
        Some(match &self.step {
            SweepStep::Idle | SweepStep::NextJournal => return None,
            SweepStep::Journals { after } => list(JOURNAL_PREFIX.to_owned(), after.clone(), false),
            SweepStep::Slots { after, .. } => list(SLOT_PREFIX.to_owned(), after.clone(), true),
            SweepStep::Entries { journal, numbers } => {
                let after = numbers.last().map(|number| journal_key(journal, *number)).unwrap_or_default();
                list(format!("{JOURNAL_PREFIX}{journal}/"), after, false)
            }
            SweepStep::LastEntry { journal, numbers } => {
                PlatformRequest::Get { key: journal_key(journal, *numbers.last()?) }
            }
            SweepStep::Seal { journal, numbers } => {
                let number = numbers.last()? + 1;
                let entry = JournalEntry {
                    incarnation: journal.to_string(),
                    mark: format!("{}-sweeps-{number}", self.me),
                    body: EntryBody::Seal(Seal { by: self.me.to_string() }),
                };
                PlatformRequest::Create { key: journal_key(journal, number), value: encode(&entry) }
            }
            SweepStep::Verify { journal, numbers } => {
                let after = journal_key(journal, numbers.last()? + 1);
                list(format!("{JOURNAL_PREFIX}{journal}/"), after, false)
            }
            SweepStep::Delete => {
                let (journal, numbers) = self.deletable.first_key_value()?;
                PlatformRequest::Delete { key: journal_key(journal, *numbers.first()?) }
            }
        })
    }

    /// adds the journals of a page; the next page skips the remaining entries of the last one.
    fn add_journals(&mut self, objects: &[Object], more: bool) -> SweepStep {
        let found = objects.iter().filter_map(|object| parse_journal_key(&object.key));
        self.candidates.extend(found.map(|(journal, _)| journal));
        let last = objects.last().and_then(|object| parse_journal_key(&object.key));
        match last {
            Some((journal, _)) if more => {
                SweepStep::Journals { after: format!("{JOURNAL_PREFIX}{journal}/{PAST_ENTRIES}") }
            }
            _ => SweepStep::Slots { after: String::new(), is_final: false },
        }
    }

    /// excludes the journals that the slots of a page refer to.
    fn exclude_named(&mut self, objects: &[Object], more: bool, is_final: bool) -> SweepStep {
        for object in objects {
            let Ok(slot) = decode::<SlotObject>(&object.value) else {
                // A slot that cannot be decoded may refer to any journal.
                return SweepStep::Idle;
            };
            let named = slot.sources.iter().map(|source| source.incarnation.as_str());
            for name in named.chain(slot.owner.as_deref()) {
                self.candidates.remove(&Incarnation::from(name));
                self.deletable.remove(&Incarnation::from(name));
            }
        }
        match objects.last() {
            Some(object) if more => SweepStep::Slots { after: object.key.clone(), is_final },
            _ if is_final => self.start_deleting(),
            _ => SweepStep::NextJournal,
        }
    }

    fn start_deleting(&mut self) -> SweepStep {
        self.swept.extend(self.deletable.keys().cloned());
        self.deletable.retain(|_, numbers| !numbers.is_empty());
        if self.deletable.is_empty() { SweepStep::Idle } else { SweepStep::Delete }
    }

    /// removes the entry that was deleted.
    fn handle_deleted(&mut self) -> SweepStep {
        if let Some(mut journal) = self.deletable.first_entry() {
            journal.get_mut().remove(0);
        }
        self.deletable.retain(|_, numbers| !numbers.is_empty());
        if self.deletable.is_empty() { SweepStep::Idle } else { SweepStep::Delete }
    }

    /// decides by the last entry; the owner's own seal can be deleted too, since the owner has stopped.
    fn check_last_entry(
        &mut self,
        journal: Incarnation,
        mut numbers: Vec<u64>,
        object: &Object,
    ) -> SweepStep {
        let Ok(entry) = decode::<JournalEntry>(&object.value) else { return SweepStep::Idle };
        match entry.body {
            EntryBody::Seal(seal) if seal.by == journal.as_str() => {}
            // A successor's seal stays: nothing else stops an owner that was paused and resumes.
            EntryBody::Seal(_) => {
                numbers.pop();
            }
            EntryBody::Batch(_) => return SweepStep::Seal { journal, numbers },
        }
        self.deletable.insert(journal, numbers);
        SweepStep::NextJournal
    }

    fn next_journal(&mut self, now: Now, view: &MemberView) {
        while let Some(journal) = self.candidates.pop_first() {
            // A member that is not gone may be about to acquire a slot; a later sweep takes its journal.
            let present = view.find(&journal).is_some_and(|member| !member.is_gone());
            if present || self.swept.contains(&journal) {
                continue;
            }
            self.step = SweepStep::Entries { journal, numbers: Vec::new() };
            return;
        }
        self.step = SweepStep::Idle;
        if !self.deletable.is_empty() {
            self.step = SweepStep::Slots { after: String::new(), is_final: true };
        }
        self.due_ms = if self.step == SweepStep::Idle { now.ms + self.period_ms } else { 0 };
    }
}

fn add_entries(journal: Incarnation, mut numbers: Vec<u64>, objects: &[Object], more: bool) -> SweepStep {
    numbers
        .extend(objects.iter().filter_map(|object| parse_journal_key(&object.key)).map(|(_, number)| number));
    match (more, numbers.is_empty()) {
        (true, _) => SweepStep::Entries { journal, numbers },
        (false, true) => SweepStep::NextJournal,
        (false, false) => SweepStep::LastEntry { journal, numbers },
    }
}

fn list(prefix: String, after: String, with_values: bool) -> PlatformRequest {
    PlatformRequest::List { prefix, after, limit: PAGE_OBJECTS, with_values }
}
