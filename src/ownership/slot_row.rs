use crate::clock::Now;
use crate::ids::Incarnation;
use crate::ownership::slot_write::SlotWrite;
use crate::schema::JournalSource;
use crate::schema::SlotObject;

/// names what is read of one journal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceKey {
    /// the journal.
    pub journal: Incarnation,
    /// its last entry that counts; all up to the seal without it.
    pub through: Option<u64>,
}

impl From<&JournalSource> for SourceKey {
    fn from(source: &JournalSource) -> Self {
        Self { journal: Incarnation::from(source.incarnation.as_str()), through: source.through }
    }
}

/// what this incarnation does with a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// nothing: it is another's, or nobody's.
    Idle,
    /// the journal of its dead owner is being sealed and read.
    Sealing,
    /// it is ours, and its sources are being read.
    Loading,
    /// its state is in memory.
    Serving,
    /// it is given away once nothing is under way.
    Draining,
}

/// one slot as this incarnation knows it.
#[derive(Clone, Debug)]
pub(super) struct SlotRow {
    /// version of the object.
    pub(super) version: u64,
    /// the object, once seen.
    pub(super) object: Option<SlotObject>,
    /// what this incarnation does with it.
    pub(super) phase: Phase,
    /// a write of the object that is not settled.
    pub(super) write: Option<SlotWrite>,
}

impl SlotRow {
    /// a slot of which nothing is known.
    pub(super) fn unknown() -> Self {
        Self { version: 0, object: None, phase: Phase::Idle, write: None }
    }

    /// the owner that the object names.
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

    /// takes a newer object.
    pub(super) fn observe(&mut self, version: u64, object: Option<SlotObject>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.object = object;
        true
    }

    /// starts a write of the object.
    pub(super) fn start_write(&mut self, now: Now, write: SlotWrite) {
        self.write = Some(SlotWrite { retry_at_ms: now.ms, ..write });
    }
}
