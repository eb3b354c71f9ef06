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

/// prefix of the keys of slot objects.
const SLOT_PREFIX: &str = "slot/";

/// key that chooses the sweeping instance.
const SWEEP_KEY: &str = "journal/sweep";

/// objects in one page.
const PAGE_OBJECTS: usize = 500;

/// what follows every number in the order of keys.
const AFTER_NUMBERS: &str = "~";

/// deletes the journals that no slot needs, all but the seals that keep paused owners out.
///
/// A journal is sealed before the slots are asked whether one names it, so that no entry which a slot may
/// need later can join those that are deleted.
#[derive(Debug)]
pub struct Sweeper {
    me: Incarnation,
    period_ms: u64,
    step: SweepStep,
    due_ms: u64,
    waiting: bool,
    journals: BTreeSet<Incarnation>,
    ready: BTreeMap<Incarnation, Vec<u64>>,
    settled: BTreeSet<Incarnation>,
}

/// what the sweep does next.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SweepStep {
    /// wait for the next search.
    Rest,
    /// list the journals, page by page.
    Journals { after: String },
    /// list the slots, page by page; the last time, all journals that are left are sealed.
    Slots { after: String, last_time: bool },
    /// take the next journal that no slot names.
    Next,
    /// list the numbers of its entries.
    Entries { journal: Incarnation, numbers: Vec<u64> },
    /// read its last entry.
    Last { journal: Incarnation, numbers: Vec<u64> },
    /// seal it: its owner is gone, but may be paused.
    Seal { journal: Incarnation, numbers: Vec<u64> },
    /// look for entries behind the seal: an owner that goes on always keeps its last entry.
    Verify { journal: Incarnation, numbers: Vec<u64> },
    /// delete the entries that are left, the oldest of each journal first.
    Delete,
}

impl Sweeper {
    /// a sweeper that searches every `period_ms`.
    pub fn new(me: Incarnation, period_ms: u64, now: Now) -> Self {
        Self {
            me,
            period_ms,
            step: SweepStep::Rest,
            due_ms: now.ms + period_ms,
            waiting: false,
            journals: BTreeSet::new(),
            ready: BTreeMap::new(),
            settled: BTreeSet::new(),
        }
    }

    /// the call that is due.
    pub fn poll(&mut self, now: Now, view: &MemberView) -> Option<PlatformRequest> {
        if self.waiting || now.ms < self.due_ms {
            return None;
        }
        if self.step == SweepStep::Rest {
            self.due_ms = now.ms + self.period_ms;
            let chosen = view.preferred(SWEEP_KEY).is_some_and(|member| member.incarnation == self.me);
            if !chosen {
                return None;
            }
            self.journals.clear();
            self.ready.clear();
            self.step = SweepStep::Journals { after: String::new() };
        }
        if self.step == SweepStep::Next {
            self.take_next(now, view);
        }
        let request = self.request()?;
        self.waiting = true;
        Some(request)
    }

    /// takes a reply.
    pub fn reply(&mut self, now: Now, result: PlatformResult) {
        self.waiting = false;
        let step = std::mem::replace(&mut self.step, SweepStep::Rest);
        self.step = match (step, result) {
            (SweepStep::Journals { .. }, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.take_journals(&objects, more)
            }
            (SweepStep::Slots { last_time, .. }, Ok(PlatformReply::Page { objects, more, .. })) => {
                self.take_slots(&objects, more, last_time)
            }
            (SweepStep::Entries { journal, numbers }, Ok(PlatformReply::Page { objects, more, .. })) => {
                take_entries(journal, numbers, &objects, more)
            }
            (SweepStep::Last { journal, numbers }, Ok(PlatformReply::Object(object))) => {
                self.take_last(journal, numbers, &object)
            }
            (SweepStep::Seal { journal, numbers }, Ok(PlatformReply::Written { .. })) => {
                SweepStep::Verify { journal, numbers }
            }
            (SweepStep::Verify { journal, numbers }, Ok(PlatformReply::Page { objects, .. })) => {
                // With entries behind it the seal stands on a number that had been deleted, and stops nobody.
                if objects.is_empty() {
                    self.ready.insert(journal, numbers);
                }
                SweepStep::Next
            }
            (SweepStep::Delete, Ok(_) | Err(PlatformError::NotFound)) => self.deleted(),
            // Whatever is left is found by the next search.
            _ => SweepStep::Rest,
        };
        if self.step == SweepStep::Rest {
            self.due_ms = now.ms + self.period_ms;
        }
    }

    fn request(&self) -> Option<PlatformRequest> {
        Some(match &self.step {
            SweepStep::Rest | SweepStep::Next => return None,
            SweepStep::Journals { after } => list(JOURNAL_PREFIX.to_owned(), after.clone(), false),
            SweepStep::Slots { after, .. } => list(SLOT_PREFIX.to_owned(), after.clone(), true),
            SweepStep::Entries { journal, numbers } => {
                let after = numbers.last().map(|number| journal_key(journal, *number)).unwrap_or_default();
                list(format!("{JOURNAL_PREFIX}{journal}/"), after, false)
            }
            SweepStep::Last { journal, numbers } => {
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
                let (journal, numbers) = self.ready.first_key_value()?;
                PlatformRequest::Delete { key: journal_key(journal, *numbers.first()?) }
            }
        })
    }

    /// notes the journals of a page and skips the rest of the last one.
    fn take_journals(&mut self, objects: &[Object], more: bool) -> SweepStep {
        let found = objects.iter().filter_map(|object| parse_journal_key(&object.key));
        self.journals.extend(found.map(|(journal, _)| journal));
        let last = objects.last().and_then(|object| parse_journal_key(&object.key));
        match last {
            Some((journal, _)) if more => {
                SweepStep::Journals { after: format!("{JOURNAL_PREFIX}{journal}/{AFTER_NUMBERS}") }
            }
            _ => SweepStep::Slots { after: String::new(), last_time: false },
        }
    }

    /// strikes out the journals that slots name.
    fn take_slots(&mut self, objects: &[Object], more: bool, last_time: bool) -> SweepStep {
        for object in objects {
            let Ok(slot) = decode::<SlotObject>(&object.value) else {
                // A slot that cannot be understood may name any journal.
                return SweepStep::Rest;
            };
            let named = slot.sources.iter().map(|source| source.incarnation.as_str());
            for name in named.chain(slot.owner.as_deref()) {
                self.journals.remove(&Incarnation::from(name));
                self.ready.remove(&Incarnation::from(name));
            }
        }
        match objects.last() {
            Some(object) if more => SweepStep::Slots { after: object.key.clone(), last_time },
            _ if last_time => self.start_deleting(),
            _ => SweepStep::Next,
        }
    }

    fn start_deleting(&mut self) -> SweepStep {
        self.settled.extend(self.ready.keys().cloned());
        self.ready.retain(|_, numbers| !numbers.is_empty());
        if self.ready.is_empty() { SweepStep::Rest } else { SweepStep::Delete }
    }

    /// the oldest entry of the first journal is gone.
    fn deleted(&mut self) -> SweepStep {
        if let Some(mut journal) = self.ready.first_entry() {
            journal.get_mut().remove(0);
        }
        self.ready.retain(|_, numbers| !numbers.is_empty());
        if self.ready.is_empty() { SweepStep::Rest } else { SweepStep::Delete }
    }

    /// decides by the last entry: a seal of the owner's own means that it stopped by itself and can go too.
    fn take_last(&mut self, journal: Incarnation, mut numbers: Vec<u64>, object: &Object) -> SweepStep {
        let Ok(entry) = decode::<JournalEntry>(&object.value) else { return SweepStep::Rest };
        match entry.body {
            EntryBody::Seal(seal) if seal.by == journal.as_str() => {}
            // The seal of a successor stays: it is all that stops an owner which is paused and unaware.
            EntryBody::Seal(_) => {
                numbers.pop();
            }
            EntryBody::Batch(_) => return SweepStep::Seal { journal, numbers },
        }
        self.ready.insert(journal, numbers);
        SweepStep::Next
    }

    fn take_next(&mut self, now: Now, view: &MemberView) {
        while let Some(journal) = self.journals.pop_first() {
            // A member that is not known to be gone may be about to get a slot; its journal can wait.
            let present = view.find(&journal).is_some_and(|member| !member.is_gone());
            if present || self.settled.contains(&journal) {
                continue;
            }
            self.step = SweepStep::Entries { journal, numbers: Vec::new() };
            return;
        }
        self.step = SweepStep::Rest;
        if !self.ready.is_empty() {
            self.step = SweepStep::Slots { after: String::new(), last_time: true };
        }
        self.due_ms = if self.step == SweepStep::Rest { now.ms + self.period_ms } else { 0 };
    }
}

fn take_entries(journal: Incarnation, mut numbers: Vec<u64>, objects: &[Object], more: bool) -> SweepStep {
    numbers
        .extend(objects.iter().filter_map(|object| parse_journal_key(&object.key)).map(|(_, number)| number));
    match (more, numbers.is_empty()) {
        (true, _) => SweepStep::Entries { journal, numbers },
        (false, true) => SweepStep::Next,
        (false, false) => SweepStep::Last { journal, numbers },
    }
}

fn list(prefix: String, after: String, with_values: bool) -> PlatformRequest {
    PlatformRequest::List { prefix, after, limit: PAGE_OBJECTS, with_values }
}
