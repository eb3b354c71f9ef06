use std::fmt;
use std::str::FromStr;

use anyhow::Context;

use crate::schema::MeshHello;

/// length of the authentication tag of a frame.
const FRAME_TAG_BYTES: usize = 16;

/// role of one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// the end that dialed.
    Client,
    /// the end that accepted.
    Server,
}

impl Side {
    /// role of the other end.
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

/// secret key that the instances of a deployment share; authenticates connections, frames and datagrams.
#[derive(Clone, PartialEq, Eq)]
pub struct MeshKey([u8; 32]);

impl MeshKey {
    /// proof that `side` has the key and received both hello messages of this connection.
    pub fn proof(&self, side: Side, client: &MeshHello, server: &MeshHello) -> blake3::Hash {
        let mut hasher = self.hasher("flamingostand mesh proof 1");
        hasher.update(side.label());
        hash_transcript(&mut hasher, client, server);
        hasher.finalize()
    }

    /// MAC state for the frames that `side` sends, with a key derived from both hello messages.
    pub fn frame_mac(&self, side: Side, client: &MeshHello, server: &MeshHello) -> FrameMac {
        let mut hasher = self.hasher("flamingostand mesh frames 1");
        hasher.update(side.label());
        hash_transcript(&mut hasher, client, server);
        FrameMac { key: *hasher.finalize().as_bytes(), frame_count: 0 }
    }

    /// authentication tag of a datagram; covers the name of the deployment (`cluster`) too.
    pub fn datagram_tag<const N: usize>(&self, cluster: &str, bytes: &[u8]) -> [u8; N] {
        let mut hasher = self.hasher("flamingostand datagram 1");
        hash_part(&mut hasher, cluster.as_bytes());
        hasher.update(bytes);
        let mut tag = [0; N];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }

    /// proof that a process with the key passes on a request; covers the name of the deployment (`cluster`) too.
    pub fn request_proof(&self, cluster: &str, bytes: &[u8]) -> blake3::Hash {
        let mut hasher = self.hasher("flamingostand passed request 1");
        hash_part(&mut hasher, cluster.as_bytes());
        hasher.update(bytes);
        hasher.finalize()
    }

    fn hasher(&self, purpose: &str) -> blake3::Hasher {
        blake3::Hasher::new_keyed(&blake3::derive_key(purpose, &self.0))
    }
}

impl fmt::Debug for MeshKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("MeshKey(redacted)")
    }
}

impl FromStr for MeshKey {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).context("mesh key is not 64 hexadecimal digits")?;
        Ok(Self(*hash.as_bytes()))
    }
}

/// MAC state of one direction of a connection; a modified, reordered or replayed frame fails verification.
#[derive(Clone)]
pub struct FrameMac {
    key: [u8; 32],
    frame_count: u64,
}

impl FrameMac {
    /// appends the tag to the next frame.
    pub fn append_tag(&mut self, frame: &mut Vec<u8>) {
        let tag = self.next_tag(frame);
        frame.extend_from_slice(&tag);
    }

    /// verifies the tag of the next frame and returns the frame without it; `None` if the tag is wrong.
    pub fn verify<'a>(&mut self, frame: &'a [u8]) -> Option<&'a [u8]> {
        let (bytes, tag) = frame.split_at_checked(frame.len().checked_sub(FRAME_TAG_BYTES)?)?;
        tags_equal(&self.next_tag(bytes), tag).then_some(bytes)
    }

    fn next_tag(&mut self, bytes: &[u8]) -> [u8; FRAME_TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.frame_count.to_be_bytes());
        hasher.update(bytes);
        self.frame_count += 1;
        let mut tag = [0; FRAME_TAG_BYTES];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }
}

impl fmt::Debug for FrameMac {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "FrameMac({})", self.frame_count)
    }
}

/// compares tags in constant time.
pub(super) fn tags_equal(left: &[u8], right: &[u8]) -> bool {
    let differing = left.iter().zip(right).fold(0, |differing, (left, right)| differing | (left ^ right));
    left.len() == right.len() && differing == 0
}

fn hash_transcript(hasher: &mut blake3::Hasher, client: &MeshHello, server: &MeshHello) {
    for hello in [client, server] {
        hasher.update(&hello.protocol_version.to_be_bytes());
        for part in [&hello.cluster, &hello.incarnation, &hello.name, &hello.nonce, &hello.mesh] {
            hash_part(hasher, part.as_bytes());
        }
    }
}

fn hash_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_be_bytes());
    hasher.update(part);
}
