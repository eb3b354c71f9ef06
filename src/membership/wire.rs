use std::io;

use anyhow::Context;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::member::Member;
use crate::schema::MemberRecord;

/// largest datagram, its tag included.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// length of the tag that authenticates a datagram.
pub const DATAGRAM_TAG_BYTES: usize = 16;
/// IPv4 and UDP headers, which count towards the byte rate.
const HEADER_BYTES: usize = 28;

/// bytes that a datagram takes on the network, headers and tag included.
pub fn counted_bytes(value: &impl Serialize) -> usize {
    encoded_bytes(value) + DATAGRAM_TAG_BYTES + HEADER_BYTES
}

/// bytes that a value takes in CBOR.
pub(super) fn encoded_bytes(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter(0);
    // Counting cannot fail, and wire types always serialise.
    let _ = ciborium::into_writer(value, &mut counter);
    counter.0
}

struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// builds the record of a member that others are sent.
pub(super) fn record(member: &Member, refutation: u32) -> MemberRecord {
    MemberRecord {
        name: member.name.clone(),
        incarnation: member.incarnation.as_str().to_owned(),
        refutation,
        health: member.health,
        leaving: member.leaving,
        region: member.region.clone(),
        zone: member.zone.clone(),
        mesh: member.mesh.to_string(),
        callers: member.callers.to_string(),
        release_version: member.release_version,
    }
}

impl TryFrom<&MemberRecord> for Member {
    type Error = anyhow::Error;

    fn try_from(record: &MemberRecord) -> Result<Self, Self::Error> {
        Ok(Self {
            name: record.name.clone(),
            incarnation: Incarnation::from(record.incarnation.as_str()),
            health: record.health,
            leaving: record.leaving,
            region: record.region.clone(),
            zone: record.zone.clone(),
            mesh: record.mesh.parse().context("mesh address of a member")?,
            callers: record.callers.parse().context("callers' address of a member")?,
            release_version: record.release_version,
        })
    }
}
