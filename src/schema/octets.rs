use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// shared bytes, written as one byte string where the format has them.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Octets(Arc<[u8]>);

impl Octets {
    /// the bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Octets {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for Octets {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "Octets({} bytes)", self.0.len())
    }
}

impl Serialize for Octets {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Octets {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(OctetsVisitor)
    }
}

struct OctetsVisitor;

impl<'de> Visitor<'de> for OctetsVisitor {
    type Value = Octets;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Octets, E> {
        Ok(Octets(bytes.into()))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Octets, E> {
        Ok(Octets(bytes.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Octets, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = sequence.next_element::<u8>()? {
            bytes.push(byte);
        }
        Ok(Octets(bytes.into()))
    }
}
