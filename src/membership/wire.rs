use std::io;

use anyhow::Context;
use anyhow::bail;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::member::Member;
use crate::schema::Datagram;
use crate::schema::DatagramSender;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;
use crate::schema::PackedDatagram;
use crate::schema::PackedRecord;

/// maximum size of a datagram, its tag included.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// length of the authentication tag of a datagram.
pub const DATAGRAM_TAG_BYTES: usize = 16;
/// size of the IPv4 and UDP headers, which count towards the byte rate.
const HEADER_BYTES: usize = 28;

/// size of a datagram on the network in bytes, including its tag and the IPv4 and UDP headers.
pub fn wire_bytes(datagram: &Datagram) -> usize {
    encoded_bytes(&PackedDatagram::from(datagram)) + DATAGRAM_TAG_BYTES + HEADER_BYTES
}

/// encodes a datagram as CBOR, without its tag.
pub fn encode_datagram(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    // Wire types always serialise, and writing to a Vec cannot fail.
    let _ = ciborium::into_writer(&PackedDatagram::from(datagram), &mut bytes);
    bytes
}

/// decodes a datagram; the caller has verified its tag for `cluster`.
pub fn decode_datagram(cluster: &str, bytes: &[u8]) -> anyhow::Result<Datagram> {
    let packed: PackedDatagram = ciborium::from_reader(bytes).context("cannot decode the datagram")?;
    let sender = DatagramSender {
        name: packed.n,
        incarnation: packed.i,
        refutation: packed.r,
        release_version: packed.v,
    };
    let mut records = Vec::with_capacity(packed.k.len());
    for record in packed.k {
        records.push(MemberRecord::try_from(record)?);
    }
    Ok(Datagram { cluster: cluster.to_owned(), sender, body: packed.b, view_digest: packed.d, records })
}

/// encoded size of a record in bytes.
pub(super) fn record_bytes(record: &MemberRecord) -> usize {
    encoded_bytes(&PackedRecord::from(record))
}

fn encoded_bytes(value: &impl Serialize) -> usize {
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

/// builds the record of a member for other instances.
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

impl From<&Datagram> for PackedDatagram {
    fn from(datagram: &Datagram) -> Self {
        Self {
            n: datagram.sender.name.clone(),
            i: datagram.sender.incarnation.clone(),
            r: datagram.sender.refutation,
            v: datagram.sender.release_version,
            d: datagram.view_digest,
            b: datagram.body.clone(),
            k: datagram.records.iter().map(PackedRecord::from).collect(),
        }
    }
}

impl From<&MemberRecord> for PackedRecord {
    fn from(record: &MemberRecord) -> Self {
        let health = match record.health {
            MemberHealth::Alive => 0,
            MemberHealth::Suspect => 1,
            MemberHealth::Dead => 2,
            MemberHealth::Left => 3,
        };
        Self {
            n: record.name.clone(),
            i: record.incarnation.clone(),
            r: record.refutation,
            h: health,
            l: record.leaving,
            g: record.region.clone(),
            z: record.zone.clone(),
            m: record.mesh.clone(),
            c: record.callers.clone(),
            v: record.release_version,
        }
    }
}

impl TryFrom<PackedRecord> for MemberRecord {
    type Error = anyhow::Error;

    fn try_from(packed: PackedRecord) -> Result<Self, Self::Error> {
        let health = match packed.h {
            0 => MemberHealth::Alive,
            1 => MemberHealth::Suspect,
            2 => MemberHealth::Dead,
            3 => MemberHealth::Left,
            other => bail!("unknown member health {other}"),
        };
        Ok(Self {
            name: packed.n,
            incarnation: packed.i,
            refutation: packed.r,
            health,
            leaving: packed.l,
            region: packed.g,
            zone: packed.z,
            mesh: packed.m,
            callers: packed.c,
            release_version: packed.v,
        })
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
            mesh: record.mesh.parse().context("invalid mesh address of a member")?,
            callers: record.callers.parse().context("invalid client address of a member")?,
            release_version: record.release_version,
        })
    }
}
