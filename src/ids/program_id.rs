use std::fmt;
use std::sync::Arc;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::SlotId;

/// separates the names of sub-agents from the identifier of their root program.
const CHILD_SEPARATOR: char = '.';

/// identifies a program. A sub-agent's identifier starts with that of its root program, so both share a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProgramId(Arc<str>);

impl ProgramId {
    /// generates the identifier of a new root program.
    pub fn generate() -> Self {
        Self(Uuid::now_v7().simple().to_string().into())
    }

    /// identifier of the sub-agent `name` of this program.
    pub fn child(&self, name: &str) -> Self {
        Self(format!("{}{CHILD_SEPARATOR}{name}", self.0).into())
    }

    /// the root program, whose budget and slot this one shares.
    pub fn root(&self) -> Self {
        match self.0.split_once(CHILD_SEPARATOR) {
            Some((root, _)) => Self(root.into()),
            None => self.clone(),
        }
    }

    /// whether this is a root program.
    pub fn is_root(&self) -> bool {
        !self.0.contains(CHILD_SEPARATOR)
    }

    /// slot, out of `slot_count`, that the identifier of the root program hashes to.
    pub fn slot(&self, slot_count: u32) -> SlotId {
        let root = self.0.split(CHILD_SEPARATOR).next().unwrap_or_default();
        SlotId((xxh3_64(root.as_bytes()) % u64::from(slot_count)) as u32)
    }

    /// text form in messages and records.
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
