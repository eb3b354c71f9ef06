use std::fmt;
use std::str::FromStr;

use anyhow::Context;

use crate::schema::MeshHello;

/// length of the tag of a frame.
const FRAME_TAG_BYTES: usize = 16;

/// which end of a connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// the end that connected.
    Client,
    /// the end that accepted.
    Server,
}

impl Side {
    /// the other end.
    pub fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }

    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"client",
            Self::Server => b"server",
        }
    }
}

/// the secret that instances of one deployment share.
#[derive(Clone, PartialEq, Eq)]
pub struct MeshKey([u8; 32]);

impl MeshKey {
    /// proof that `side` knows the key and saw both greetings of this connection.
    pub fn proof(&self, side: Side, client: &MeshHello, server: &MeshHello) -> blake3::Hash {
        let mut hasher = self.hasher("flamingostand mesh proof 1");
        hasher.update(side.label());
        write_transcript(&mut hasher, client, server);
        hasher.finalize()
    }

    /// seals the frames that `side` sends on the connection of these greetings.
    pub fn seal(&self, side: Side, client: &MeshHello, server: &MeshHello) -> FrameSeal {
        let mut hasher = self.hasher("flamingostand mesh frames 1");
        hasher.update(side.label());
        write_transcript(&mut hasher, client, server);
        FrameSeal { key: *hasher.finalize().as_bytes(), count: 0 }
    }

    /// tag of a datagram within a deployment.
    pub fn datagram_tag<const N: usize>(&self, cluster: &str, bytes: &[u8]) -> [u8; N] {
        let mut hasher = self.hasher("flamingostand datagram 1");
        write_part(&mut hasher, cluster.as_bytes());
        hasher.update(bytes);
        let mut tag = [0; N];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }

    fn hasher(&self, purpose: &str) -> blake3::Hasher {
        blake3::Hasher::new_keyed(&blake3::derive_key(purpose, &self.0))
    }
}

impl fmt::Debug for MeshKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("MeshKey(hidden)")
    }
}

impl FromStr for MeshKey {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).context("a mesh key is 64 hexadecimal digits")?;
        Ok(Self(*hash.as_bytes()))
    }
}

/// tags the frames of one direction of a connection; a frame that was changed, moved or repeated does not open.
#[derive(Clone)]
pub struct FrameSeal {
    key: [u8; 32],
    count: u64,
}

impl FrameSeal {
    /// appends the tag of the next frame.
    pub fn seal(&mut self, frame: &mut Vec<u8>) {
        let tag = self.next_tag(frame);
        frame.extend_from_slice(&tag);
    }

    /// checks the tag of the next frame and returns what it covers.
    pub fn open<'a>(&mut self, frame: &'a [u8]) -> Option<&'a [u8]> {
        let (bytes, tag) = frame.split_at_checked(frame.len().checked_sub(FRAME_TAG_BYTES)?)?;
        tags_equal(&self.next_tag(bytes), tag).then_some(bytes)
    }

    fn next_tag(&mut self, bytes: &[u8]) -> [u8; FRAME_TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_be_bytes());
        hasher.update(bytes);
        self.count += 1;
        let mut tag = [0; FRAME_TAG_BYTES];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }
}

impl fmt::Debug for FrameSeal {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "FrameSeal({})", self.count)
    }
}

/// compares tags in a time that does not depend on where they differ.
pub(super) fn tags_equal(left: &[u8], right: &[u8]) -> bool {
    let differing = left.iter().zip(right).fold(0, |differing, (left, right)| differing | (left ^ right));
    left.len() == right.len() && differing == 0
}

fn write_transcript(hasher: &mut blake3::Hasher, client: &MeshHello, server: &MeshHello) {
    for hello in [client, server] {
        hasher.update(&hello.protocol_version.to_be_bytes());
        for part in [&hello.cluster, &hello.incarnation, &hello.name, &hello.nonce, &hello.mesh] {
            write_part(hasher, part.as_bytes());
        }
    }
}

fn write_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_be_bytes());
    hasher.update(part);
}
