use std::fmt;
use std::str::FromStr;

use anyhow::Context;

use crate::schema::ChatMessage;

/// a BLAKE3 digest. The digest of a message history is a hash chain over its messages.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

impl Digest {
    /// digest of an empty history.
    pub const EMPTY: Self = Self([0; 32]);

    /// digest of raw bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// digest of the history with digest `self` after `message` is appended.
    pub fn extend(self, message: &ChatMessage) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        // Serialization of a message cannot fail: its keys are strings and its numbers are finite.
        let _ = serde_json::to_writer(&mut hasher, message);
        Self(*hasher.finalize().as_bytes())
    }

    /// digest of the history with digest `self` after all of `messages` are appended in order.
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
