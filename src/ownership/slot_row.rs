use crate::clock::Now;
use crate::ids::Incarnation;
use crate::ownership::slot_write::SlotWrite;
use crate::schema::JournalSource;
use crate::schema::SlotObject;

/// identifies a journal and how much of it to read.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceKey {
    /// the journal.
    pub journal: Incarnation,
    /// last entry to read; `None` reads up to the seal.
    pub through: Option<u64>,
}

impl From<&JournalSource> for SourceKey {
    fn from(source: &JournalSource) -> Self {
        Self { journal: Incarnation::from(source.incarnation.as_str()), through: source.through }
    }
}

/// phase of a slot at this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// owned by another incarnation or by none.
    Idle,
    /// takeover: the journal of its gone owner is being sealed and read.
    Sealing,
    /// owned here; its sources are being read.
    Loading,
    /// owned here, with its state in memory.
    Serving,
    /// handover: it moves to the next owner after the work in flight has ended.
    Draining,
}

/// one slot as seen by this incarnation.
#[derive(Clone, Debug)]
pub(super) struct SlotRow {
    /// version of the object.
    pub(super) version: u64,
    /// the object, once seen.
    pub(super) object: Option<SlotObject>,
    /// phase of the slot here.
    pub(super) phase: Phase,
    /// pending write of the object.
    pub(super) write: Option<SlotWrite>,
}

impl SlotRow {
    /// a slot whose object was not seen yet.
    pub(super) fn unknown() -> Self {
        Self { version: 0, object: None, phase: Phase::Idle, write: None }
    }

    /// the owner named in the object.
    pub(super) fn owner(&self) -> Option<Incarnation> {
        Some(Incarnation::from(self.object.as_ref()?.owner.as_deref()?))
    }

    /// journals that the owner has not yet copied into its own.
    pub(super) fn sources(&self) -> &[JournalSource] {
        self.object.as_ref().map_or(&[], |object| &object.sources)
    }

    /// epoch of the object.
    pub(super) fn epoch(&self) -> u64 {
        self.object.as_ref().map_or(0, |object| object.epoch)
    }

    /// stores a newer object; false if the version is not newer.
    pub(super) fn observe(&mut self, version: u64, object: Option<SlotObject>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.object = object;
        true
    }

    /// sets the pending write, due at once.
    pub(super) fn start_write(&mut self, now: Now, write: SlotWrite) {
        self.write = Some(SlotWrite { retry_at_ms: now.ms, ..write });
    }
}
