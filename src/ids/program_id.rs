use std::fmt;
use std::sync::Arc;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::SlotId;

/// separates a sub-agent's own part from the identifier of its root program.
const CHILD_SEPARATOR: char = '.';

/// names a program; a sub-agent's name starts with that of its root, so both share a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProgramId(Arc<str>);

impl ProgramId {
    /// names a new root program of `workspace`.
    pub fn generate() -> Self {
        Self(Uuid::now_v7().simple().to_string().into())
    }

    /// names the sub-agent `own` of this program.
    pub fn child(&self, own: &str) -> Self {
        Self(format!("{}{CHILD_SEPARATOR}{own}", self.0).into())
    }

    /// the root program whose budget and slot this one shares.
    pub fn root(&self) -> Self {
        match self.0.split_once(CHILD_SEPARATOR) {
            Some((root, _)) => Self(root.into()),
            None => self.clone(),
        }
    }

    /// tells whether this is a root program.
    pub fn is_root(&self) -> bool {
        !self.0.contains(CHILD_SEPARATOR)
    }

    /// the slot that this program hashes to.
    pub fn slot(&self, slot_count: u32) -> SlotId {
        let root = self.0.split(CHILD_SEPARATOR).next().unwrap_or_default();
        SlotId((xxh3_64(root.as_bytes()) % u64::from(slot_count)) as u32)
    }

    /// the text that stands in messages and records.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ProgramId {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}
