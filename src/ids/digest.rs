use std::fmt;
use std::str::FromStr;

use anyhow::Context;

use crate::schema::ChatMessage;

/// a BLAKE3 digest; of a history it chains over the messages.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

impl Digest {
    /// digest of a history without messages.
    pub const EMPTY: Self = Self([0; 32]);

    /// digest of plain bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// digest of the history that `self` stands for, extended by `message`.
    pub fn extend(self, message: &ChatMessage) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        // A message always serialises: its keys are strings and its numbers finite.
        let _ = serde_json::to_writer(&mut hasher, message);
        Self(*hasher.finalize().as_bytes())
    }

    /// digest of the history that `self` stands for, extended by all of `messages`.
    pub fn extend_all(self, messages: &[ChatMessage]) -> Self {
        let mut digest = self;
        for message in messages {
            digest = digest.extend(message);
        }
        digest
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(out, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).context("a digest is 64 hexadecimal digits")?;
        Ok(Self(*hash.as_bytes()))
    }
}
